//! What the modelled load asks of whoever knows what sessions wrote: other poolers, or the session directory.

use directory::{SessionKey, WriteOutcome};

/// Milliseconds of a second.
pub(super) const MILLISECONDS: f64 = 1e3;
/// How long a write may take (seconds): the deadline of the class of writes.
const WRITE_TIME: f64 = 3.0;

/// A write that has begun.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket(u64);

/// Whoever knows what sessions wrote. Times and positions are Unix seconds.
pub(super) trait Sessions {
    /// The position that a read needs; none where only the primary will do.
    fn need(&mut self, now: f64, session: &str) -> Option<f64>;
    /// A write begins; none at a bound.
    fn write_begins(&mut self, now: f64, session: &str) -> Option<Ticket>;
    /// Whether a write may be sent.
    fn may_send(&mut self, now: f64, write: Ticket) -> bool;
    /// Whether to wait for that is in vain.
    fn is_hopeless(&mut self, now: f64) -> bool;
    /// A write was committed at that position.
    fn write_committed(&mut self, now: f64, write: Ticket, position: f64);
    /// Whether it may be answered.
    fn may_answer(&mut self, now: f64, write: Ticket) -> bool;
    /// A write is done with.
    fn forget(&mut self, now: f64, write: Ticket);
}

impl Sessions for replication::Node {
    fn need(&mut self, now: f64, session: &str) -> Option<f64> {
        match replication::Node::read_requirement(self, now, session) {
            replication::ReadRequirement::AtLeast(position) => Some(position),
            replication::ReadRequirement::Primary(_) => None,
        }
    }

    fn write_begins(&mut self, now: f64, session: &str) -> Option<Ticket> {
        Some(Ticket(replication::Node::begin_write(self, now, session).0))
    }

    fn may_send(&mut self, now: f64, write: Ticket) -> bool {
        replication::Node::may_send(self, now, replication::Ticket(write.0))
    }

    fn is_hopeless(&mut self, now: f64) -> bool {
        self.cannot_send_writes(now)
    }

    fn write_committed(&mut self, now: f64, write: Ticket, position: f64) {
        self.end_write(now, replication::Ticket(write.0), Some(position));
    }

    fn may_answer(&mut self, now: f64, write: Ticket) -> bool {
        replication::Node::may_answer(self, now, replication::Ticket(write.0))
    }

    fn forget(&mut self, now: f64, write: Ticket) {
        replication::Node::forget(self, now, replication::Ticket(write.0));
    }
}

/// Seconds in milliseconds.
pub(super) fn millis(seconds: f64) -> u64 {
    (seconds * MILLISECONDS) as u64
}

impl Sessions for directory::Client {
    fn need(&mut self, now: f64, session: &str) -> Option<f64> {
        match directory::Client::read_requirement(self, millis(now), SessionKey::new(session)) {
            directory::ReadRequirement::AtLeast(position) => Some(position as f64 / MILLISECONDS),
            directory::ReadRequirement::Primary(_) => None,
        }
    }

    fn write_begins(&mut self, now: f64, session: &str) -> Option<Ticket> {
        let (key, time) = (SessionKey::new(session), millis(WRITE_TIME));
        directory::Client::begin_write(self, millis(now), key, time).map(|ticket| Ticket(ticket.0))
    }

    fn may_send(&mut self, now: f64, write: Ticket) -> bool {
        directory::Client::may_send(self, millis(now), directory::Ticket(write.0))
    }

    fn is_hopeless(&mut self, _now: f64) -> bool {
        false
    }

    fn write_committed(&mut self, now: f64, write: Ticket, position: f64) {
        // As in the pooler: cut off, it would let a read see less than the write.
        let position = (position * MILLISECONDS).ceil() as u64;
        self.end_write(millis(now), directory::Ticket(write.0), WriteOutcome::Committed(position));
    }

    fn may_answer(&mut self, now: f64, write: Ticket) -> bool {
        directory::Client::may_answer(self, millis(now), directory::Ticket(write.0))
    }

    fn forget(&mut self, now: f64, write: Ticket) {
        directory::Client::forget(self, millis(now), directory::Ticket(write.0));
    }
}
