//! The time that a client may take, and what happens when it is over.

use pgwire::sqlstate;

use super::{CloseReason, Connection, Stage};
use crate::net::event_loop::{Slot, TimerKind};
use crate::net::Context;

/// How long a client may take to send its first query, to complete a message that it has begun, and to read
/// what it was sent (seconds). Guards against clients that connect only to occupy a connection.
const CLIENT_TIMEOUT: f64 = 2.0;

impl Connection {
    /// Returns true if the client has to act within a time limit.
    fn must_act(&self) -> bool {
        match self.stage {
            Stage::Startup => true,
            Stage::Open => {
                let unasked = !self.has_queried && self.pipeline.is_empty();
                let incomplete = !self.inbox.is_empty() && !self.unprocessed;
                let unfinished = incomplete && self.pipeline.takes_commands();
                unasked || unfinished || !self.outbox.is_empty()
            }
            Stage::Ending => false,
        }
    }

    /// Starts the client's time limit and its timer, or stops it if the client does not have to act.
    pub fn update_timeout(&mut self, slot: Slot, context: &mut Context) {
        if !self.must_act() {
            self.waiting_since = None;
        } else if self.waiting_since.is_none() {
            self.waiting_since = Some(self.active);
        }
        self.timer.set(self.next_deadline(), TimerKind::Client(slot), &mut context.reactor);
    }

    /// Returns the time at which the connection is to be looked at without an event; infinite if there is none.
    fn next_deadline(&self) -> f64 {
        match (self.stage, self.waiting_since) {
            (Stage::Ending, _) if self.unread_data => self.ends_at.min(self.discard_at),
            (Stage::Ending, _) => self.ends_at,
            (_, Some(since)) => self.overdue_at(since),
            (_, None) => f64::INFINITY,
        }
    }

    /// Returns when a client that has had to act since `since` has exceeded its time limit.
    fn overdue_at(&self, since: f64) -> f64 {
        (since + CLIENT_TIMEOUT).min(self.drain_until.unwrap_or(f64::INFINITY))
    }

    /// Notes that the connection's timer has fired.
    pub fn timer_fired(&mut self, now: f64) {
        self.timer.fired(now);
    }

    /// Returns true if the client has exceeded its time limit.
    pub fn is_overdue(&self, now: f64) -> bool {
        self.waiting_since.is_some_and(|since| now >= self.overdue_at(since))
    }

    /// Closes a connection whose client has not sent or read in time. An incomplete message is answered with
    /// an error. A client that began none gets no error, since that could be taken for the answer to a
    /// request that crosses it.
    pub fn end_overdue(
        &mut self,
        slot: Slot,
        serving: bool,
        context: &mut Context,
    ) -> Result<(), CloseReason> {
        context.counters.clients_timed_out += 1;
        if !self.outbox.is_empty() {
            return Err(CloseReason::Peer);
        }
        if self.inbox.is_empty() {
            return self.linger(slot, serving, context);
        }
        self.fatal(sqlstate::PROTOCOL_VIOLATION, "message not completed in time", context)?;
        self.process(slot, serving, context)
    }
}
