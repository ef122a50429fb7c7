//! Leases of poolers, from both sides. A pooler's lease at a control instance counts for the pooler from the sending of a
//! heartbeat, for the control instance from its receipt and a margin longer. A quorum of those members of a group that have
//! recorded a claim must have renewed theirs for the claim to hold.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::identity::{Ballot, ProcessId, SessionKey};
use crate::message::{Notice, Revocation};
use crate::timing::{bounds, Millis, Timing};

/// One lease: the start of the control instance that granted it, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Term {
    /// The start.
    pub incarnation: u64,
    /// The number.
    pub number: u32,
}

/// A pooler's lease at one control instance, as the pooler knows it.
#[derive(Debug)]
pub struct HeldLease {
    /// Where the control instance is reached.
    pub address: SocketAddr,
    term: Option<Term>,
    /// When the latest heartbeat that was confirmed had been sent.
    confirmed: Millis,
    /// Heartbeats that may still be confirmed: number, sent.
    awaited: VecDeque<(u64, Millis)>,
    revoked_up_to: u64,
    /// Notices, and the number of the first heartbeat that carried each.
    notices: VecDeque<(Notice, Option<u64>)>,
}

impl HeldLease {
    /// No lease yet.
    pub fn new(address: SocketAddr) -> HeldLease {
        HeldLease {
            address,
            term: None,
            confirmed: 0,
            awaited: VecDeque::new(),
            revoked_up_to: 0,
            notices: VecDeque::new(),
        }
    }

    /// The lease, ended or not.
    pub fn term(&self) -> Option<Term> {
        self.term
    }

    /// Until when it lasts.
    pub fn until(&self, terms: &Timing) -> Millis {
        match self.term {
            Some(_) if self.confirmed > 0 => self.confirmed + terms.lease,
            _ => 0,
        }
    }

    /// Revocations up to this number have been carried out.
    pub fn revoked_up_to(&self) -> u64 {
        self.revoked_up_to
    }

    /// Adds a notice for the next heartbeat.
    pub fn notify(&mut self, notice: Notice) {
        if self.notices.len() < bounds::NOTICES {
            self.notices.push_back((notice, None));
        }
    }

    /// The notices for a heartbeat.
    pub fn notices(&self) -> Vec<Notice> {
        self.notices.iter().take(bounds::ENTRIES_PER_DATAGRAM).map(|(notice, _)| *notice).collect()
    }

    /// A heartbeat goes out.
    pub fn sent(&mut self, now: Millis, number: u64) {
        if self.awaited.len() == bounds::HEARTBEATS {
            self.awaited.pop_front();
        }
        self.awaited.push_back((number, now));
        for (_, first) in self.notices.iter_mut().take(bounds::ENTRIES_PER_DATAGRAM) {
            first.get_or_insert(number);
        }
    }

    /// An answer has come; false where it is of an earlier lease. Revocations in it are the caller's to carry out.
    pub fn acknowledged(
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
            (self.term, self.confirmed, self.revoked_up_to) = (Some(term), 0, 0);
        }
        let highest = revocations.iter().map(|revocation| revocation.number).max().unwrap_or(0);
        self.revoked_up_to = self.revoked_up_to.max(highest);
        while self.notices.front().is_some_and(|(_, first)| first.is_some_and(|first| first <= heartbeat)) {
            self.notices.pop_front();
        }
        // Counted from the sending of the heartbeat: its answer may have been under way for long.
        let sent = self.awaited.iter().find(|(number, _)| *number == heartbeat).map(|(_, sent)| *sent);
        if let Some(sent) = sent.filter(|_| complete) {
            self.confirmed = self.confirmed.max(sent);
            self.awaited.retain(|(number, _)| *number > heartbeat);
        }
        true
    }

    /// The control instance says that there is no lease.
    pub fn lost(&mut self) {
        self.confirmed = 0;
    }
}

/// A pooler's lease, as a control instance has granted it.
#[derive(Debug)]
pub struct GrantedLease {
    /// Where the pooler is reached.
    pub address: SocketAddr,
    /// Its number.
    pub term: u32,
    /// When it ends.
    pub expires: Millis,
    revocations: VecDeque<Revocation>,
    last_revocation: u64,
    /// There were more revocations than are kept: it is not renewed any more.
    overflowed: bool,
}

impl GrantedLease {
    /// A session of the pooler has been claimed by another.
    pub fn revoke(&mut self, session: SessionKey, below: Ballot) {
        if self.revocations.len() >= bounds::REVOCATIONS {
            self.overflowed = true;
            return;
        }
        self.last_revocation += 1;
        self.revocations.push_back(Revocation { number: self.last_revocation, session, below });
    }

    /// The pooler has carried out revocations up to a number.
    pub fn confirm(&mut self, up_to: u64) {
        while self.revocations.front().is_some_and(|first| first.number <= up_to) {
            self.revocations.pop_front();
        }
    }

    /// The first revocations, and whether these are all.
    pub fn revocations(&self) -> (Vec<Revocation>, bool) {
        let first = self.revocations.iter().take(bounds::ENTRIES_PER_DATAGRAM).copied().collect();
        (first, self.revocations.len() <= bounds::ENTRIES_PER_DATAGRAM && !self.overflowed)
    }
}

/// A lease that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedLease {
    /// Whose it was.
    pub pooler: ProcessId,
    /// Its number.
    pub term: u32,
    /// When it ended.
    pub at: Millis,
}

/// Leases that have ended not long ago: by then what was claimed under one had been written.
#[derive(Debug, Default)]
pub struct EndedLeases {
    floors: BTreeMap<(ProcessId, u32), Millis>,
    by_time: VecDeque<(Millis, (ProcessId, u32))>,
}

impl EndedLeases {
    /// Notes a lease and the time before which its sessions were written.
    pub fn note(&mut self, now: Millis, lease: &EndedLease, floor: Millis) {
        let key = (lease.pooler, lease.term);
        self.floors.insert(key, floor);
        self.by_time.push_back((now, key));
    }

    /// The time before which the sessions of a lease were written. None where it is not remembered, or has not ended.
    pub fn floor(&self, pooler: ProcessId, term: u32) -> Option<Millis> {
        self.floors.get(&(pooler, term)).copied()
    }

    /// Forgets one that ended long ago, or the oldest where there are too many; its floor.
    pub fn forget(&mut self, now: Millis) -> Option<Millis> {
        let (noted, key) = *self.by_time.front()?;
        if noted + bounds::IDLE_RETENTION > now && self.by_time.len() <= bounds::ENDED_LEASES {
            return None;
        }
        self.by_time.pop_front();
        self.floors.remove(&key)
    }
}

/// All leases that a control instance has granted.
#[derive(Debug, Default)]
pub struct LeaseTable {
    granted: BTreeMap<ProcessId, GrantedLease>,
    by_expiry: BTreeSet<(Millis, ProcessId)>,
    last_term: u32,
}

impl LeaseTable {
    /// The lease of a pooler.
    pub fn get(&self, pooler: ProcessId) -> Option<&GrantedLease> {
        self.granted.get(&pooler)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, pooler: ProcessId) -> Option<&mut GrantedLease> {
        self.granted.get_mut(&pooler)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.granted.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.granted.is_empty()
    }

    /// The lease of a pooler, a new one where it has none. None where there are too many.
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
                expires: now,
                revocations: VecDeque::new(),
                last_revocation: 0,
                overflowed: false,
            };
            self.granted.insert(pooler, lease);
            self.by_expiry.insert((now, pooler));
        }
        self.granted.get_mut(&pooler)
    }

    /// Moves the end of a lease.
    pub fn renew(&mut self, pooler: ProcessId, until: Millis) {
        if let Some(lease) = self.granted.get_mut(&pooler) {
            self.by_expiry.remove(&(lease.expires, pooler));
            lease.expires = lease.expires.max(until);
            self.by_expiry.insert((lease.expires, pooler));
        }
    }

    /// Ends a lease; which it was, and when it would have ended.
    pub fn end(&mut self, pooler: ProcessId) -> Option<EndedLease> {
        let lease = self.granted.remove(&pooler)?;
        self.by_expiry.remove(&(lease.expires, pooler));
        Some(EndedLease { pooler, term: lease.term, at: lease.expires })
    }

    /// Ends a lease whose time is over.
    pub fn expire(&mut self, now: Millis) -> Option<EndedLease> {
        let (_, pooler) = self.by_expiry.first().copied().filter(|(expires, _)| *expires < now)?;
        self.end(pooler)
    }

    /// When the next lease ends.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.by_expiry.first().map(|(expires, _)| *expires)
    }
}
