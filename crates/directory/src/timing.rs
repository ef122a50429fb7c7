//! What all processes of a directory go by, and the bounds of what one keeps.

/// Milliseconds, as a time or as a duration.
pub type Millis = u64;

/// Part of a duration, as its divisor, by which the rates of two clocks may differ.
const RATE_MARGIN: Millis = 10;
/// What is added to that for rounding (milliseconds).
const ROUNDING: Millis = 10;

/// Times that the processes of a directory must agree on; they are part of what their messages are checked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How long a pooler's lease lasts from the sending of a heartbeat (ms).
    pub lease: Millis,
    /// Time between two heartbeats (ms).
    pub heartbeat: Millis,
    /// The longest time from the beginning of a write to its commit at a database (ms).
    pub write_bound: Millis,
    /// How far the clock of a machine may be from that of the positions (ms).
    pub clock_error: Millis,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { lease: 2_000, heartbeat: 500, write_bound: 3_000, clock_error: 100 }
    }
}

impl Timing {
    /// How long a control instance counts a lease from the receipt of a heartbeat (ms).
    pub fn granted_lease(&self) -> Millis {
        stretched(self.lease)
    }

    /// How long a control instance answers nothing after its start (ms): no lease that its former start has granted, and
    /// no claim that rests on one, outlasts this.
    pub fn startup_silence(&self) -> Millis {
        stretched(self.granted_lease())
    }
}

/// A duration that another clock has measured, long enough by the own one.
pub fn stretched(duration: Millis) -> Millis {
    duration.saturating_add(duration / RATE_MARGIN).saturating_add(ROUNDING)
}

/// Bounds of what one process keeps. At a bound nothing becomes laxer: a claim is refused, and reads go to the primary.
pub mod bounds {
    use super::Millis;

    /// Longest datagram (bytes), its seal included.
    pub const MAX_DATAGRAM_BYTES: usize = 1_200;
    /// Processes whose message numbers are remembered; the one not heard for longest goes.
    pub const SENDERS: usize = 2_048;
    /// Poolers with a lease at one control instance; a further one gets none.
    pub const POOLERS: usize = 2_048;
    /// Leases at one control instance that have ended and whose sessions are still told apart; the oldest goes.
    pub const ENDED_LEASES: usize = 8_192;
    /// Records of sessions at one control instance; a further claim is refused.
    pub const RECORDS: usize = 2_500_000;
    /// Former owners of one record that are not settled; a further claim is refused.
    pub const FORMERS: usize = 8;
    /// Revocations that wait for one pooler at one control instance; beyond, its lease is not renewed and ends.
    pub const REVOCATIONS: usize = 4_096;
    /// Revocations, or notices, in one datagram.
    pub const ENTRIES_PER_DATAGRAM: usize = 16;
    /// Sessions that a pooler knows; the one that has rested for longest is released.
    pub const SESSIONS: usize = 20_000;
    /// Claims of a pooler that are not complete; further sessions read at the primary.
    pub const CLAIMS: usize = 4_096;
    /// Writes of a pooler that are under way; a further one is not sent.
    pub const WRITES: usize = 65_536;
    /// Notices of a pooler that wait for one control instance; a further one is dropped, which costs a later arrival a question.
    pub const NOTICES: usize = 4_096;
    /// Heartbeats to one control instance whose answers are awaited; the oldest goes.
    pub const HEARTBEATS: usize = 16;
    /// A session that has rested for so long is released, and a lease that ended so long ago is forgotten (ms).
    pub const IDLE_RETENTION: Millis = 60_000;
    /// A claim that no quorum has accepted after this is given up (ms).
    pub const CLAIM_TIMEOUT: Millis = 1_000;
    /// Time to the first repeat of a question (ms), longer than the way to another region and back; doubles up to the longest.
    pub const FIRST_RETRY_DELAY: Millis = 200;
    /// See above.
    pub const MAX_RETRY_DELAY: Millis = 800;
}
