//! Leases of poolers, from both sides. A pooler counts its lease at a control instance from the sending of a
//! heartbeat; the control instance counts it from the receipt and adds a margin. A claim is valid while a
//! quorum of the group's members have recorded it under leases that are still valid.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::identity::{Ballot, ProcessId, SessionKey};
use crate::message::{Notice, Revocation};
use crate::timing::{bounds, Millis, Timing};

/// Identifies a lease: the incarnation of the control instance that granted it, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Term {
    /// The incarnation of the control instance.
    pub incarnation: u64,
    /// The number of the lease.
    pub number: u32,
}

/// A pooler's lease at one control instance, as the pooler knows it.
#[derive(Debug)]
pub struct HeldLease {
    /// The address at which the control instance is reached.
    pub address: SocketAddr,
    term: Option<Term>,
    /// When the latest acknowledged heartbeat was sent.
    confirmed_sent_at: Millis,
    /// Heartbeats that await an acknowledgement: number, time of sending.
    unacknowledged: VecDeque<(u64, Millis)>,
    revoked_up_to: u64,
    /// Notices, and the number of the first heartbeat that carried each.
    notices: VecDeque<(Notice, Option<u64>)>,
}

impl HeldLease {
    /// The state before the first lease.
    pub fn new(address: SocketAddr) -> HeldLease {
        HeldLease {
            address,
            term: None,
            confirmed_sent_at: 0,
            unacknowledged: VecDeque::new(),
            revoked_up_to: 0,
            notices: VecDeque::new(),
        }
    }

    /// Returns the identity of the lease, whether it has ended or not.
    pub fn term(&self) -> Option<Term> {
        self.term
    }

    /// Returns when the lease ends; 0 if there is none.
    pub fn ends_at(&self, timing: &Timing) -> Millis {
        match self.term {
            Some(_) if self.confirmed_sent_at > 0 => self.confirmed_sent_at + timing.lease,
            _ => 0,
        }
    }

    /// Revocations up to this number have been carried out.
    pub fn revoked_up_to(&self) -> u64 {
        self.revoked_up_to
    }

    /// Queues a notice for the next heartbeat.
    pub fn notify(&mut self, notice: Notice) {
        if self.notices.len() < bounds::NOTICES {
            self.notices.push_back((notice, None));
        }
    }

    /// Returns the notices for the next heartbeat.
    pub fn notices(&self) -> Vec<Notice> {
        self.notices.iter().take(bounds::ENTRIES_PER_DATAGRAM).map(|(notice, _)| *notice).collect()
    }

    /// Records that a heartbeat was sent.
    pub fn heartbeat_sent(&mut self, now: Millis, number: u64) {
        if self.unacknowledged.len() == bounds::HEARTBEATS {
            self.unacknowledged.pop_front();
        }
        self.unacknowledged.push_back((number, now));
        for (_, first_heartbeat) in self.notices.iter_mut().take(bounds::ENTRIES_PER_DATAGRAM) {
            first_heartbeat.get_or_insert(number);
        }
    }

    /// Handles the acknowledgement of a heartbeat. Returns false if it belongs to an earlier lease. The
    /// caller carries out the revocations in it.
    pub fn heartbeat_acknowledged(
        &mut self,
        heartbeat: u64,
        term: Term,
        complete: bool,
        revocations: &[Revocation],
    ) -> bool {
        let order = |term: &Term| (term.incarnation, term.number);
        if self.term.as_ref().is_some_and(|known| order(known) > order(&term)) {
            return false;
        }
        if self.term != Some(term) {
            (self.term, self.confirmed_sent_at, self.revoked_up_to) = (Some(term), 0, 0);
        }
        let highest = revocations.iter().map(|revocation| revocation.number).max().unwrap_or(0);
        self.revoked_up_to = self.revoked_up_to.max(highest);
        while self.notices.front().is_some_and(|(_, first)| first.is_some_and(|first| first <= heartbeat)) {
            self.notices.pop_front();
        }
        // Counted from the sending of the heartbeat: the acknowledgement may have been delayed by the
        // network.
        let sent_at =
            self.unacknowledged.iter().find(|(number, _)| *number == heartbeat).map(|(_, sent_at)| *sent_at);
        if let Some(sent_at) = sent_at.filter(|_| complete) {
            self.confirmed_sent_at = self.confirmed_sent_at.max(sent_at);
            self.unacknowledged.retain(|(number, _)| *number > heartbeat);
        }
        true
    }

    /// The control instance reported that there is no lease.
    pub fn mark_lost(&mut self) {
        self.confirmed_sent_at = 0;
    }
}

/// A pooler's lease, as the control instance that granted it knows it.
#[derive(Debug)]
pub struct GrantedLease {
    /// The address at which the pooler is reached.
    pub address: SocketAddr,
    /// The number of the lease.
    pub term: u32,
    /// When it ends.
    pub expires_at: Millis,
    revocations: VecDeque<Revocation>,
    last_revocation: u64,
    /// There were more revocations than can be stored: the lease is no longer renewed.
    overflowed: bool,
}

impl GrantedLease {
    /// Queues the revocation of a session that another pooler has claimed.
    pub fn revoke(&mut self, session: SessionKey, below: Ballot) {
        if self.revocations.len() >= bounds::REVOCATIONS {
            self.overflowed = true;
            return;
        }
        self.last_revocation += 1;
        self.revocations.push_back(Revocation { number: self.last_revocation, session, below });
    }

    /// The pooler has carried out the revocations up to a number.
    pub fn confirm_revocations(&mut self, up_to: u64) {
        while self.revocations.front().is_some_and(|first| first.number <= up_to) {
            self.revocations.pop_front();
        }
    }

    /// Returns the first pending revocations, and whether these are all.
    pub fn revocations(&self) -> (Vec<Revocation>, bool) {
        let first = self.revocations.iter().take(bounds::ENTRIES_PER_DATAGRAM).copied().collect();
        (first, self.revocations.len() <= bounds::ENTRIES_PER_DATAGRAM && !self.overflowed)
    }
}

/// A lease that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedLease {
    /// The pooler that held it.
    pub pooler: ProcessId,
    /// The number of the lease.
    pub term: u32,
    /// When it ended.
    pub ended_at: Millis,
}

/// Leases that ended recently, each with its floor: sessions claimed under the lease may have been written
/// until then.
#[derive(Debug, Default)]
pub struct EndedLeases {
    floors: BTreeMap<(ProcessId, u32), Millis>,
    by_time: VecDeque<(Millis, (ProcessId, u32))>,
}

impl EndedLeases {
    /// Records an ended lease and its floor.
    pub fn record(&mut self, now: Millis, lease: &EndedLease, floor: Millis) {
        let key = (lease.pooler, lease.term);
        self.floors.insert(key, floor);
        self.by_time.push_back((now, key));
    }

    /// Returns the floor of an ended lease. None if it is not remembered, or has not ended.
    pub fn floor(&self, pooler: ProcessId, term: u32) -> Option<Millis> {
        self.floors.get(&(pooler, term)).copied()
    }

    /// Removes a lease that ended long ago, or the oldest one if there are too many, and returns its floor.
    pub fn remove_expired(&mut self, now: Millis) -> Option<Millis> {
        let (recorded_at, key) = *self.by_time.front()?;
        if recorded_at + bounds::IDLE_RETENTION > now && self.by_time.len() <= bounds::ENDED_LEASES {
            return None;
        }
        self.by_time.pop_front();
        self.floors.remove(&key)
    }
}

/// All leases that a control instance has granted and that have not ended.
#[derive(Debug, Default)]
pub struct LeaseTable {
    granted: BTreeMap<ProcessId, GrantedLease>,
    by_expiry: BTreeSet<(Millis, ProcessId)>,
    last_term: u32,
}

impl LeaseTable {
    /// Returns the lease of a pooler.
    pub fn get(&self, pooler: ProcessId) -> Option<&GrantedLease> {
        self.granted.get(&pooler)
    }

    /// Returns the lease of a pooler, for changes.
    pub fn get_mut(&mut self, pooler: ProcessId) -> Option<&mut GrantedLease> {
        self.granted.get_mut(&pooler)
    }

    /// Returns the number of leases.
    pub fn len(&self) -> usize {
        self.granted.len()
    }

    /// Returns true if there are no leases.
    pub fn is_empty(&self) -> bool {
        self.granted.is_empty()
    }

    /// Returns the lease of a pooler; a new one if it has none. None if there are too many leases.
    pub fn grant(
        &mut self,
        now: Millis,
        pooler: ProcessId,
        address: SocketAddr,
    ) -> Option<&mut GrantedLease> {
        if !self.granted.contains_key(&pooler) {
            if self.granted.len() >= bounds::POOLERS {
                return None;
            }
            self.last_term += 1;
            let lease = GrantedLease {
                address,
                term: self.last_term,
                expires_at: now,
                revocations: VecDeque::new(),
                last_revocation: 0,
                overflowed: false,
            };
            self.granted.insert(pooler, lease);
            self.by_expiry.insert((now, pooler));
        }
        self.granted.get_mut(&pooler)
    }

    /// Extends a lease.
    pub fn renew(&mut self, pooler: ProcessId, until: Millis) {
        if let Some(lease) = self.granted.get_mut(&pooler) {
            self.by_expiry.remove(&(lease.expires_at, pooler));
            lease.expires_at = lease.expires_at.max(until);
            self.by_expiry.insert((lease.expires_at, pooler));
        }
    }

    /// Ends a lease and returns it with its regular end.
    pub fn end(&mut self, pooler: ProcessId) -> Option<EndedLease> {
        let lease = self.granted.remove(&pooler)?;
        self.by_expiry.remove(&(lease.expires_at, pooler));
        Some(EndedLease { pooler, term: lease.term, ended_at: lease.expires_at })
    }

    /// Ends a lease that has expired, if there is one.
    pub fn expire(&mut self, now: Millis) -> Option<EndedLease> {
        let (_, pooler) = self.by_expiry.first().copied().filter(|(expires_at, _)| *expires_at < now)?;
        self.end(pooler)
    }

    /// Returns when the next lease expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at)
    }
}
