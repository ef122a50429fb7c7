//! Whether the primary may have been deposed without this proxy having heard of it. A member that is no primary any more says so
//! with whatever it answers; where an answer got lost on the way, that may have been in it, and what its data lacks is
//! for no read that needs what only a primary has.

use crate::interface::{Action, AttemptEnded, Conclusion, Consistency, Outcome};
use crate::state::{Policy, Request};

/// Pause before a member is asked once more about its role, in multiples of the connect time-out: what it reports is as old.
const ASKED_AGAIN: f64 = 0.4;
/// An attempt is late at this many mean deviations over the mean of its class.
const LATE: f64 = 4.0;

/// Longest time in which a primary hands over (seconds).
const HANDOVER: f64 = 1.0;

impl Policy {
    /// Notes that a member which was taken for the primary has turned something away as none. While it hands over it takes no
    /// writes, and says with each read that it is the primary still; whoever was told that it is none may not go by that, since
    /// the moment in which another takes over is not told.
    pub(crate) fn note_deposed(&mut self, m: usize, done: &AttemptEnded) {
        let member = &mut self.members[m];
        let turned_away = done.outcome == Outcome::Miss || done.conclusion == Conclusion::TooOld;
        let deposed = turned_away && done.primary == Some(false);
        if deposed && member.role.is_some_and(|(primary, _)| primary) {
            member.handing_over_until = self.now + HANDOVER;
        }
    }

    /// Whether a read is about to go to a primary on the strength of its role alone, while an attempt there, sent since that
    /// was last heard, has ended without an answer or is late.
    fn in_doubt(&self, request: &Request, m: usize) -> bool {
        let member = &self.members[m];
        let read = self.settings.classes[request.class].consistency != Consistency::Write;
        let heard = member.role.map_or(f64::NEG_INFINITY, |(_, at)| at);
        let late = |r: &Request| {
            let usual = &self.latency[r.class];
            let limit = usual.mean + LATE * usual.deviation;
            r.attempts.iter().any(|a| a.open && a.member == m && a.sent > heard && self.now - a.sent > limit)
        };
        // When it said so, a primary stood at the present.
        read && member.position.max(heard) < self.needed(request)
            && (member.unanswered_at > heard || self.requests.values().any(late))
    }

    /// Whether a read waits until the primary has said again that it is one: it is asked, if the allowance goes so far.
    pub(crate) fn asks_whether_primary(&mut self, n: u64, m: usize, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&n).filter(|_| self.settings.probes) else { return false };
        if !self.in_doubt(request, m) || self.now >= request.hold_until {
            return false;
        }
        let member = &self.members[m];
        if !member.probing && self.now - member.probed_at >= self.settings.connect_timeout * ASKED_AGAIN {
            self.ask(m, out);
        }
        let member = &self.members[m];
        member.probing || self.now - member.probed_at < self.settings.connect_timeout * ASKED_AGAIN
    }
}
