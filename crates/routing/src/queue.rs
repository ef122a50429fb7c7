//! Requests that wait for a member of their group that can take them.

use std::collections::VecDeque;

use crate::interface::Action;
use crate::state::Policy;

/// Queued requests are released to a primary that has fewer requests in flight, as fast as it takes them.
const MAX_RELEASE_IN_FLIGHT: u32 = 6;

impl Policy {
    /// Lets a request wait until a member can take it.
    pub(crate) fn enqueue(&mut self, n: u64, group: u32) {
        let (Some(r), Some(g)) = (self.requests.get_mut(&n), self.groups.get_mut(&group)) else { return };
        if !std::mem::replace(&mut r.queued, true) {
            g.queue.push_back(n);
        }
    }

    /// Re-evaluates queued requests: releases those that can be sent, paced, and ends those out of time.
    pub(crate) fn release_queue(&mut self, group: u32, out: &mut Vec<Action>) {
        let Some(state) = self.groups.get_mut(&group) else { return };
        let queue = std::mem::take(&mut state.queue);
        let primary = state.primary;
        if queue.is_empty() {
            return;
        }
        // Streamed answers may go on for long, and are no sign that the primary has too much to do.
        let streaming = primary.map_or(0, |m| self.streaming_from(m));
        let mut waiting = VecDeque::new();
        for n in queue {
            let Some(request) = self.requests.get_mut(&n).filter(|r| !r.done) else { continue };
            let consistency = self.settings.classes[request.class].consistency;
            let needs_primary = request.needs_primary(consistency);
            let unfinished = |m: usize| self.members[m].in_flight.saturating_sub(streaming);
            let busy = primary.is_some_and(|m| unfinished(m) >= MAX_RELEASE_IN_FLIGHT);
            if needs_primary && busy && request.aim_at > self.now {
                waiting.push_back(n);
                continue;
            }
            request.queued = false;
            self.advance(n, out);
        }
        if let Some(state) = self.groups.get_mut(&group) {
            waiting.append(&mut state.queue);
            state.queue = waiting;
        }
    }

    /// Returns the number of attempts in flight at a member whose answers are being streamed.
    fn streaming_from(&self, m: usize) -> u32 {
        let streaming = self.requests.values().filter(|request| request.streaming);
        streaming.flat_map(|request| &request.attempts).filter(|a| a.open && a.member == m).count() as u32
    }
}
