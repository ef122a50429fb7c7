//! Interface of the modelled load to the tracking of session writes: the state exchange or the session
//! directory.

use directory::{SessionKey, WriteOutcome};

pub(super) const MILLIS_PER_SECOND: f64 = 1e3;
/// Maximum duration of a write (seconds): the deadline of the class of writes.
const MAX_WRITE_TIME: f64 = 3.0;

/// Identifies a write that has begun.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket(u64);

/// Tracking of session writes. Times and positions are in Unix seconds.
pub(super) trait Sessions {
    /// Returns the position that a read requires, or `None` if only the primary may serve it.
    fn required_position(&mut self, now: f64, session: &str) -> Option<f64>;
    /// Begins a write. Returns `None` if a limit is reached.
    fn begin_write(&mut self, now: f64, session: &str) -> Option<Ticket>;
    /// Returns true if the write may be sent.
    fn may_send(&mut self, now: f64, write: Ticket) -> bool;
    /// Returns true if no write has a prospect of being sent soon.
    fn cannot_be_sent(&mut self, now: f64) -> bool;
    /// Records that the write was committed at this position.
    fn write_committed(&mut self, now: f64, write: Ticket, position: f64);
    /// Returns true if the write may be answered.
    fn may_answer(&mut self, now: f64, write: Ticket) -> bool;
    /// Ends the tracking of the write.
    fn forget(&mut self, now: f64, write: Ticket);
}

impl Sessions for replication::Node {
    fn required_position(&mut self, now: f64, session: &str) -> Option<f64> {
        match replication::Node::read_requirement(self, now, session) {
            replication::ReadRequirement::AtLeast(position) => Some(position),
            replication::ReadRequirement::Primary(_) => None,
        }
    }

    fn begin_write(&mut self, now: f64, session: &str) -> Option<Ticket> {
        Some(Ticket(replication::Node::begin_write(self, now, session).0))
    }

    fn may_send(&mut self, now: f64, write: Ticket) -> bool {
        replication::Node::may_send(self, now, replication::Ticket(write.0))
    }

    fn cannot_be_sent(&mut self, now: f64) -> bool {
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

/// Converts seconds to milliseconds.
pub(super) fn millis(seconds: f64) -> u64 {
    (seconds * MILLIS_PER_SECOND) as u64
}

impl Sessions for directory::Client {
    fn required_position(&mut self, now: f64, session: &str) -> Option<f64> {
        match directory::Client::read_requirement(self, millis(now), SessionKey::new(session)) {
            directory::ReadRequirement::AtLeast(position) => Some(position as f64 / MILLIS_PER_SECOND),
            directory::ReadRequirement::Primary(_) => None,
        }
    }

    fn begin_write(&mut self, now: f64, session: &str) -> Option<Ticket> {
        let (key, max_time) = (SessionKey::new(session), millis(MAX_WRITE_TIME));
        directory::Client::begin_write(self, millis(now), key, max_time).map(|ticket| Ticket(ticket.0))
    }

    fn may_send(&mut self, now: f64, write: Ticket) -> bool {
        directory::Client::may_send(self, millis(now), directory::Ticket(write.0))
    }

    fn cannot_be_sent(&mut self, _now: f64) -> bool {
        false
    }

    fn write_committed(&mut self, now: f64, write: Ticket, position: f64) {
        // Rounded up, as in the real pooler: a position rounded down would let a read miss the write.
        let position = (position * MILLIS_PER_SECOND).ceil() as u64;
        self.end_write(millis(now), directory::Ticket(write.0), WriteOutcome::Committed(position));
    }

    fn may_answer(&mut self, now: f64, write: Ticket) -> bool {
        directory::Client::may_answer(self, millis(now), directory::Ticket(write.0))
    }

    fn forget(&mut self, now: f64, write: Ticket) {
        directory::Client::forget(self, millis(now), directory::Ticket(write.0));
    }
}
