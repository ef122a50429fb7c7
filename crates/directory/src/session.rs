//! What a pooler knows of one session: its claim, the former owners to be resolved, and the positions of its
//! writes.

use std::net::SocketAddr;

use crate::identity::Ballot;
use crate::lease::Term;
use crate::message::FormerOwner;
use crate::placement::MAX_GROUP_MEMBERS;
use crate::timing::{with_clock_margin, Millis, Timing};

/// Bounds of what a session has written, as its owner knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WriteWatermark {
    /// Position of its last commit (Unix ms); 0 for none.
    pub position: Millis,
    /// Writes whose outcome is unknown may commit until this time. Until then reads go to the primary;
    /// afterwards this time counts as their position.
    pub open_until: Millis,
}

impl WriteWatermark {
    /// Returns the position that reads require at the time `now`. None if they must go to the primary.
    pub fn required_position(&mut self, now: Millis, timing: &Timing) -> Option<Millis> {
        if now < self.open_until {
            return None;
        }
        if self.open_until > 0 {
            self.raise(self.open_until + timing.clock_error);
            self.open_until = 0;
        }
        Some(self.position)
    }

    /// Raises the position of the last commit.
    pub fn raise(&mut self, position: Millis) {
        self.position = self.position.max(position);
    }

    /// Writes may commit until the given time.
    pub fn extend_open(&mut self, until: Millis) {
        self.open_until = self.open_until.max(until);
    }

    /// A position that covers all writes.
    pub fn upper_bound(&self, timing: &Timing) -> Millis {
        let open = if self.open_until > 0 { self.open_until + timing.clock_error } else { 0 };
        self.position.max(open)
    }
}

/// A former owner that must have stopped before the new owner serves the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FormerOwnerState {
    /// The ballot of its claim.
    pub ballot: Ballot,
    /// The address at which it is reached.
    pub address: SocketAddr,
    /// When its lease is over.
    pub lease_ends_at: Millis,
    /// It has handed over the session, or its lease is over.
    pub resolved: bool,
}

/// A claim of this pooler, incomplete or complete.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The counter of its ballot.
    pub counter: u64,
    /// When it was started.
    pub started_at: Millis,
    /// The lease under which it is recorded, by member of the group.
    pub recorded_under: [Option<Term>; MAX_GROUP_MEMBERS],
    /// The floor that the member reported, by member that has recorded the claim: sessions without a record
    /// there were last written before this time.
    pub floors: [Millis; MAX_GROUP_MEMBERS],
    /// The lowest floor derived from a quorum whose members all held the claim at the same time.
    pub floor: Millis,
    /// Whether the member refused the claim, by member.
    pub refused: [bool; MAX_GROUP_MEMBERS],
    /// Former owners that members have named.
    pub former_owners: Vec<FormerOwnerState>,
    /// When unanswered requests are sent again.
    pub resend_at: Millis,
    /// The delay before the next retransmission; doubles each time.
    pub resend_delay: Millis,
    /// It has been complete at some time.
    pub completed: bool,
    /// How many former owners had been reported to the members as resolved.
    pub reported_count: usize,
}

impl Claim {
    /// A claim that no member has answered.
    pub fn new(now: Millis, counter: u64, resend_delay: Millis) -> Claim {
        Claim {
            counter,
            started_at: now,
            recorded_under: [None; MAX_GROUP_MEMBERS],
            floors: [0; MAX_GROUP_MEMBERS],
            floor: Millis::MAX,
            refused: [false; MAX_GROUP_MEMBERS],
            former_owners: Vec::new(),
            resend_at: now + resend_delay,
            resend_delay,
            completed: false,
            reported_count: 0,
        }
    }

    /// Adds a former owner that a member named. Returns true if it was not known.
    pub fn add_former(&mut self, now: Millis, former: &FormerOwner) -> bool {
        let lease_ends_at = now + with_clock_margin(Millis::from(former.remaining_lease));
        if let Some(known) = self.former_owners.iter_mut().find(|known| known.ballot == former.ballot) {
            known.lease_ends_at = known.lease_ends_at.max(lease_ends_at);
            return false;
        }
        self.former_owners.push(FormerOwnerState {
            ballot: former.ballot,
            address: former.address,
            lease_ends_at,
            resolved: false,
        });
        true
    }

    /// Returns true if all former owners are resolved.
    pub fn all_resolved(&self) -> bool {
        self.former_owners.iter().all(|former| former.resolved)
    }

    /// Returns when all former owners will be resolved at the latest.
    pub fn resolved_at_latest(&self) -> Millis {
        let unresolved = self.former_owners.iter().filter(|former| !former.resolved);
        unresolved.map(|former| former.lease_ends_at).max().unwrap_or(0)
    }

    /// Resolves the former owners whose leases are over; returns whether there were any. Writes that they
    /// have sent may still commit for the write bound.
    pub fn resolve_expired(&mut self, now: Millis, timing: &Timing, watermark: &mut WriteWatermark) -> bool {
        let mut any = false;
        for former in
            self.former_owners.iter_mut().filter(|former| !former.resolved && former.lease_ends_at <= now)
        {
            former.resolved = true;
            watermark.extend_open(former.lease_ends_at + timing.write_bound);
            any = true;
        }
        any
    }
}

/// A session, as a pooler knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    /// Its group.
    pub group: usize,
    /// The highest ballot counter seen so far.
    pub highest_counter: u64,
    /// The pooler's own claim; none if it was released or abandoned, revoked or handed over.
    pub claim: Option<Claim>,
    /// No new claim is started before this time.
    pub retry_at: Millis,
    /// Claims that failed since the last complete one.
    pub failures: u32,
    /// Bounds of what the session has written.
    pub watermark: WriteWatermark,
    /// When the session was last used.
    pub used_at: Millis,
    /// The tickets of its unfinished writes.
    pub writes: Vec<u64>,
}

impl Session {
    /// Drops the claim and keeps the floor that it has established.
    pub fn drop_claim(&mut self) -> Option<Claim> {
        let claim = self.claim.take()?;
        if claim.completed {
            self.watermark.raise(claim.floor);
        }
        Some(claim)
    }
}

impl Session {
    /// A session about which nothing is known.
    pub fn new(now: Millis, group: usize) -> Session {
        Session {
            group,
            highest_counter: 0,
            claim: None,
            retry_at: 0,
            failures: 0,
            watermark: WriteWatermark::default(),
            used_at: now,
            writes: Vec::new(),
        }
    }
}
