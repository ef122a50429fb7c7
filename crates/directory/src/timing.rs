//! Times that all processes of a directory share, and the limits of the state that one process keeps.

/// Milliseconds, as a point in time or as a duration.
pub type Millis = u64;

/// The rates of two clocks differ by at most this part of a duration (given as a divisor).
const CLOCK_RATE_MARGIN_DIVISOR: Millis = 10;
/// Added to the rate margin for rounding (milliseconds).
const ROUNDING_MARGIN: Millis = 10;

/// Times that the processes of a directory must agree on; they are part of the digest that each message
/// carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Lifetime of a pooler's lease, counted from the sending of a heartbeat (ms).
    pub lease: Millis,
    /// Time between two heartbeats (ms).
    pub heartbeat: Millis,
    /// Maximum time from the start of a write to its commit at a database (ms).
    pub write_bound: Millis,
    /// Largest difference between a host's clock and the clock of the positions (ms).
    pub clock_error: Millis,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { lease: 2_000, heartbeat: 500, write_bound: 3_000, clock_error: 100 }
    }
}

impl Timing {
    /// Lifetime of a lease at a control instance, counted from the receipt of a heartbeat (ms).
    pub fn granted_lease(&self) -> Millis {
        with_clock_margin(self.lease)
    }

    /// How long a control instance answers nothing after its start (ms). No lease that its previous
    /// incarnation granted, and no claim under such a lease, lasts longer.
    pub fn startup_silence(&self) -> Millis {
        with_clock_margin(self.granted_lease())
    }
}

/// A duration measured by another clock, extended so that it has passed on this clock too.
pub fn with_clock_margin(duration: Millis) -> Millis {
    duration.saturating_add(duration / CLOCK_RATE_MARGIN_DIVISOR).saturating_add(ROUNDING_MARGIN)
}

/// Limits of the state that one process keeps. Reaching a limit never weakens consistency: a claim is
/// refused, and reads go to the primary.
pub mod bounds {
    use super::Millis;

    /// Maximum size of a datagram, including its seal (bytes).
    pub const MAX_DATAGRAM_BYTES: usize = 1_200;
    /// Senders whose message numbers are remembered; the one silent for longest is dropped.
    pub const SENDERS: usize = 2_048;
    /// Poolers with a lease at one control instance; a further pooler gets none.
    pub const POOLERS: usize = 2_048;
    /// Ended leases that a control instance remembers individually; the oldest is dropped.
    pub const ENDED_LEASES: usize = 8_192;
    /// Session records of one control instance; a further claim is refused.
    pub const RECORDS: usize = 2_500_000;
    /// Unresolved former owners of one record; a further claim is refused.
    pub const FORMER_OWNERS: usize = 8;
    /// Pending revocations for one pooler at one control instance; beyond that its lease is not renewed and
    /// ends.
    pub const REVOCATIONS: usize = 4_096;
    /// Revocations, or notices, in one datagram.
    pub const ENTRIES_PER_DATAGRAM: usize = 16;
    /// Sessions that a pooler tracks; the one idle for longest is released.
    pub const SESSIONS: usize = 20_000;
    /// Incomplete claims of a pooler; reads of further sessions go to the primary.
    pub const CLAIMS: usize = 4_096;
    /// Writes of a pooler in flight; a further write is not sent.
    pub const WRITES: usize = 65_536;
    /// Pending notices of a pooler for one control instance; a further notice is dropped, which costs a
    /// handover request when the session is claimed later.
    pub const NOTICES: usize = 4_096;
    /// Heartbeats to one control instance that await a reply; the oldest is dropped.
    pub const HEARTBEATS: usize = 16;
    /// A session idle for this long is released, and a lease that ended this long ago is forgotten (ms).
    pub const IDLE_RETENTION: Millis = 60_000;
    /// A claim that no quorum has accepted within this time is abandoned (ms).
    pub const CLAIM_TIMEOUT: Millis = 1_000;
    /// Time until the first retransmission of a request (ms), longer than a round trip to another region;
    /// doubles up to [`MAX_RETRY_DELAY`].
    pub const FIRST_RETRY_DELAY: Millis = 200;
    /// Maximum time between two retransmissions of a request (ms).
    pub const MAX_RETRY_DELAY: Millis = 800;
}
