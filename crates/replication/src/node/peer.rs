//! State about a peer.

use super::*;

/// How an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    Left,
    Ended,
}

/// What a peer reports about an instance that answers neither that peer nor this instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerCoverage {
    /// How far the peer has read the instance's log.
    pub upto: u64,
    /// Number of entries on the peer's roster when it reported.
    pub roster: u64,
    /// End of the coverage.
    pub until: f64,
    /// End of the instance's promise to the peer to answer writes only with a majority.
    pub majority_only_until: f64,
}

/// Progress that a peer has acknowledged; it counts once this instance knows the peer's roster up to
/// `required_roster`.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAck {
    pub log: u64,
    pub roster: u64,
    pub required_roster: u64,
}

/// A peer.
#[derive(Debug)]
pub(crate) struct Peer {
    pub identity: Identity,
    /// Copy of the peer's log.
    pub copy: Log,
    /// Grants that take effect once the copy and the known roster have reached the given numbers: log number,
    /// roster number, end of the lease, end of the promise to answer writes only with a majority.
    pub(super) pending_grants: Vec<(u64, u64, f64, f64)>,
    /// End of the lease in effect.
    pub lease_until: f64,
    /// Until this time the peer answers no write without a majority.
    pub majority_only_until: f64,
    /// Coverage of this peer by others while it is unreachable.
    pub(super) coverage: BTreeMap<Arc<str>, PeerCoverage>,
    /// Whether the peer has ever granted a lease: facts that it has published since are known here, or known
    /// to be missing.
    pub has_granted: bool,
    /// The highest number that the peer is known to have published.
    pub announced_upto: u64,
    /// When a message last arrived.
    pub last_heard_at: f64,
    /// When the latest answered request was sent.
    pub confirmed_at: f64,
    /// Unanswered requests: number and time.
    pub(super) pending_requests: VecDeque<(u64, f64)>,
    pub(super) next_request_at: f64,
    pub(super) unreachable: bool,
    /// Number up to which the peer has acknowledged this instance's log, as far as that counts.
    pub acked_upto: u64,
    /// Number up to which the peer has received this instance's log.
    pub(super) received_upto: u64,
    /// Acknowledgements that do not count yet.
    pub(super) pending_acks: Vec<PendingAck>,
    /// Number of the peer on this instance's roster.
    pub(super) roster_number: u64,
    /// Number up to which the peer's roster is known here.
    pub(super) known_roster: u64,
    /// Number up to which the peer has acknowledged this instance's roster, as far as that counts.
    pub(super) acked_roster: u64,
    /// Number up to which the peer has received this instance's roster.
    pub(super) received_roster: u64,
    /// When the peer is next sent the entries of the roster that it does not know.
    pub(super) next_roster_at: f64,
    /// End of the lease granted to the peer, on this instance's clock.
    pub(super) granted_until: f64,
    /// Number up to which this instance's log has been pushed to the peer.
    pub(super) pushed_upto: u64,
    pub(super) pushed_at: f64,
    pub(super) retransmit_delay: f64,
    /// Whether an acknowledgement is to be sent to the peer.
    pub(super) ack_pending: bool,
    /// While this lasts, the peer's log is acknowledged only up to these numbers, since other peers rely on
    /// coverage: end time, log number, roster number.
    pub(super) ack_limit: Option<(f64, u64, u64)>,
    /// Ticket that delays leases to the peer until the lessees of this instance know of it.
    pub(super) admission: Option<Ticket>,
    /// Whether the peer counts for majorities.
    pub counted: bool,
    /// How and when the instance ended.
    pub ended: Option<(EndReason, f64)>,
    /// The highest message number that has arrived.
    pub(super) last_number: u64,
    /// Replay protection: a bitmap of the 64 numbers up to `last_number` that have arrived.
    pub(super) replay_window: u64,
    pub(super) next_view: usize,
    /// Whether the peer's log is read from a stream.
    pub(super) has_stream: bool,
}

impl Peer {
    pub(super) fn new(identity: Identity, now: f64) -> Peer {
        let never = f64::NEG_INFINITY;
        Peer {
            identity,
            copy: Log::default(),
            pending_grants: Vec::new(),
            lease_until: never,
            majority_only_until: never,
            coverage: BTreeMap::new(),
            has_granted: false,
            announced_upto: 0,
            last_heard_at: never,
            confirmed_at: never,
            pending_requests: VecDeque::new(),
            next_request_at: now,
            unreachable: false,
            acked_upto: 0,
            received_upto: 0,
            pending_acks: Vec::new(),
            roster_number: 0,
            known_roster: 0,
            acked_roster: 0,
            received_roster: 0,
            next_roster_at: never,
            granted_until: never,
            pushed_upto: 0,
            pushed_at: never,
            retransmit_delay: RETRANSMIT_DELAY,
            ack_pending: false,
            ack_limit: None,
            admission: None,
            counted: false,
            ended: None,
            last_number: 0,
            replay_window: 0,
            next_view: 0,
            has_stream: false,
        }
    }

    pub fn is_active(&self) -> bool {
        self.ended.is_none()
    }

    /// Returns the numbers up to which the peer's log and roster may be acknowledged.
    pub(super) fn ackable_upto(&self, now: f64) -> (u64, u64) {
        match self.ack_limit {
            // [R3] The lessees of this instance have to know of the peer before its writes may count on this
            // instance.
            _ if self.admission.is_some() => (0, 0),
            Some((until, upto, roster)) if now < until => {
                (upto.min(self.copy.complete_upto()), roster.min(self.known_roster))
            }
            _ => (self.copy.complete_upto(), self.known_roster),
        }
    }

    pub(super) fn read_progress(&self, now: f64) -> ReadProgress {
        let (acked_upto, acked_roster) = self.ackable_upto(now);
        ReadProgress {
            acked_upto,
            received_upto: self.copy.upto(),
            acked_roster,
            received_roster: self.known_roster,
        }
    }

    /// Returns true if no message with this number has arrived before, and records it.
    pub(super) fn accept_number(&mut self, number: u64) -> bool {
        if number > self.last_number {
            let shift = number - self.last_number;
            self.replay_window = if shift >= 64 { 0 } else { self.replay_window << shift } | 1;
            self.last_number = number;
            return true;
        }
        let age = self.last_number - number;
        if age >= 64 || self.replay_window & (1 << age) != 0 {
            return false;
        }
        self.replay_window |= 1 << age;
        true
    }
}
