//! The side of a control instance: a member of some of the groups. It keeps, by session, who has claimed it, and by pooler
//! a lease. It has no disk: after a start it answers nothing until everything that its former start has granted is over,
//! and takes every session without a record to have been written until then.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use replication::Keys;

use crate::channel::{Channel, Fault};
use crate::identity::{Ballot, ProcessId, SessionKey};
use crate::lease::{EndedLeases, LeaseTable};
use crate::message::{Body, ClaimVerdict, FormerOwner, Header, Notice};
use crate::placement::Placement;
use crate::timing::{bounds, stretched, Millis, Timing};
use crate::Datagram;

/// Time between two looks at a part of the records for claims whose lease has ended (ms), and the time in which all
/// are looked at: what such claims leave behind is told apart for as long as that.
const SWEEP_INTERVAL: Millis = 10;
const SWEEP_ROUND: Millis = bounds::IDLE_RETENTION;
/// Records looked at in one look at the least.
const SWEEP_LEAST: usize = 16;

/// A claim as it is recorded. It holds as long as the claimant's lease of that number does.
#[derive(Clone, Copy, Debug)]
struct RecordedClaim {
    ballot: Ballot,
    term: u32,
}

/// Who has claimed a session.
#[derive(Debug)]
struct Record {
    latest: RecordedClaim,
    /// Earlier claimants that may own it still.
    earlier: Vec<RecordedClaim>,
    /// Claimants whose leases have ended wrote before this time.
    floor: Millis,
}

impl Record {
    /// Drops earlier claims whose leases have ended, and notes when their owners, and the latest, wrote at the latest.
    /// Of one whose end is forgotten the floor of all sessions tells.
    fn settle_ended(&mut self, leases: &LeaseTable, ended: &EndedLeases) {
        let claims = self.earlier.iter().chain([&self.latest]);
        let floors = claims.filter_map(|claim| ended.floor(claim.ballot.owner, claim.term));
        self.floor = floors.fold(self.floor, Millis::max);
        self.earlier.retain(|claim| is_live(leases, claim));
    }
}

/// What is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// Claims recorded.
    pub accepted: u64,
    /// Claims turned down for a later one.
    pub rejected: u64,
    /// Claims and leases refused at a bound.
    pub full: u64,
    /// Leases that ended without being given back.
    pub expired: u64,
}

/// A control instance.
#[derive(Debug)]
pub struct Replica {
    terms: Timing,
    placement: Placement,
    me: usize,
    channel: Channel,
    /// It answers nothing before.
    silent_until: Millis,
    leases: LeaseTable,
    ended: EndedLeases,
    records: BTreeMap<SessionKey, Record>,
    /// The next record to be looked at for claims that are over.
    swept: Option<SessionKey>,
    next_sweep: Millis,
    /// Sessions without a record wrote before this time.
    floor: Millis,
    counts: ReplicaCounts,
    out: Vec<Datagram>,
}

impl Replica {
    /// A control instance that starts now. None where the placement does not name it.
    pub fn new(
        me: ProcessId,
        keys: Keys,
        terms: Timing,
        placement: Placement,
        now: Millis,
    ) -> Option<Replica> {
        let index = placement.instance_index(me)?;
        let silent_until = now + terms.startup_silence();
        Some(Replica {
            terms,
            me: index,
            channel: Channel::new(me, placement.digest(), keys),
            placement,
            silent_until,
            leases: LeaseTable::default(),
            ended: EndedLeases::default(),
            records: BTreeMap::new(),
            swept: None,
            next_sweep: now,
            // Guards against owners of whom only the former start knew: the last of them lost its lease by then, and the
            // last write that was sent under one commits within the bound.
            floor: silent_until + terms.write_bound,
            counts: ReplicaCounts::default(),
            out: Vec::new(),
        })
    }

    /// A datagram has come from an address.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) -> Result<(), Fault> {
        self.tick(now);
        if self.is_silent(now) {
            return Ok(());
        }
        let (header, body) = self.channel.open(now, bytes)?;
        match body {
            Body::Heartbeat { address, term, revoked_up_to, notices } => {
                self.heartbeat(now, &header, (from, address), (term, revoked_up_to), &notices);
            }
            Body::Claim { session, counter } => self.claim(now, &header, from, session, counter)?,
            Body::Leave => {
                if let Some(ended) = self.leases.end(header.from) {
                    self.ended.note(now, &ended, now);
                }
            }
            _ => {
                self.channel.count(Fault::Sender);
                return Err(Fault::Sender);
            }
        }
        Ok(())
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) {
        while let Some(ended) = self.leases.expire(now) {
            self.counts.expired += 1;
            // What its sessions wrote is known to nobody any more. It may have sent writes until its lease ended.
            self.ended.note(now, &ended, ended.at + self.terms.write_bound);
        }
        while let Some(floor) = self.ended.forget(now) {
            self.raise_floor(floor);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep();
        }
    }

    /// When [`Replica::tick`] should be called at the latest.
    pub fn next_due(&self) -> Millis {
        self.leases.next_expiry().map_or(Millis::MAX, |expiry| expiry + 1)
    }

    /// Datagrams to be sent.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    /// Whether it answers nothing yet.
    pub fn is_silent(&self, now: Millis) -> bool {
        now < self.silent_until
    }

    /// How many records it keeps.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// How many poolers have a lease.
    pub fn poolers(&self) -> usize {
        self.leases.len()
    }

    /// What is counted.
    pub fn counts(&self) -> ReplicaCounts {
        self.counts
    }

    /// How many datagrams were dropped, by their faults.
    pub fn faults(&self) -> &BTreeMap<Fault, u64> {
        self.channel.faults()
    }

    fn heartbeat(
        &mut self,
        now: Millis,
        header: &Header,
        (from, address): (SocketAddr, SocketAddr),
        (term, revoked_up_to): (u32, u64),
        notices: &[Notice],
    ) {
        let pooler = header.from;
        let Some(lease) = self.leases.grant(now, pooler, address) else {
            self.counts.full += 1;
            return;
        };
        lease.address = address;
        if lease.term == term {
            lease.confirm(revoked_up_to);
        }
        let (revocations, complete) = lease.revocations();
        let term = lease.term;
        if complete {
            self.leases.renew(pooler, now + self.terms.granted_lease());
        }
        notices.iter().for_each(|notice| self.notice(now, pooler, notice));
        let ack = Body::HeartbeatAck { heartbeat: header.number, term, revocations, complete };
        // Back the way it came, as with claims: `address` is where other poolers reach it.
        self.send(from, pooler.incarnation, &ack);
    }

    fn notice(&mut self, now: Millis, pooler: ProcessId, notice: &Notice) {
        let (Notice::Settled { session, counter } | Notice::Released { session, counter, .. }) = *notice;
        let ballot = Ballot { counter, owner: pooler };
        let Entry::Occupied(mut entry) = self.records.entry(session) else { return };
        match *notice {
            // The owner itself stays where a later claim has displaced it meanwhile.
            Notice::Settled { .. } => entry.get_mut().earlier.retain(|claim| claim.ballot >= ballot),
            Notice::Released { age, .. } => {
                // A record that names others besides is kept: they have to be asked.
                let floor = entry.get().floor;
                if entry.get().latest.ballot == ballot && entry.get().earlier.is_empty() {
                    entry.remove();
                    self.raise_floor(floor);
                }
                self.raise_floor(now.saturating_add_signed(-age));
            }
        }
    }

    fn claim(
        &mut self,
        now: Millis,
        header: &Header,
        from: SocketAddr,
        session: SessionKey,
        counter: u64,
    ) -> Result<(), Fault> {
        let group = self.placement.group(session);
        if !self.placement.members(group).contains(&self.me) {
            self.channel.count(Fault::Sender);
            return Err(Fault::Sender);
        }
        let verdict = self.judge(now, session, Ballot { counter, owner: header.from });
        match verdict {
            ClaimVerdict::Accepted { .. } => self.counts.accepted += 1,
            ClaimVerdict::Rejected { .. } => self.counts.rejected += 1,
            ClaimVerdict::Full => self.counts.full += 1,
            ClaimVerdict::NoLease => {}
        }
        self.send(from, header.from.incarnation, &Body::ClaimReply { session, counter, verdict });
        Ok(())
    }

    /// Records a claim unless there is a later one.
    fn judge(&mut self, now: Millis, session: SessionKey, ballot: Ballot) -> ClaimVerdict {
        let Some(term) = self.leases.get(ballot.owner).map(|lease| lease.term) else {
            return ClaimVerdict::NoLease;
        };
        let claim = RecordedClaim { ballot, term };
        let full = self.records.len() >= bounds::RECORDS;
        match self.records.entry(session) {
            Entry::Vacant(_) if full => return ClaimVerdict::Full,
            Entry::Vacant(entry) => {
                entry.insert(Record { latest: claim, earlier: Vec::new(), floor: 0 });
            }
            Entry::Occupied(mut entry) => {
                entry.get_mut().settle_ended(&self.leases, &self.ended);
                if let Some(refusal) = displace(entry.get_mut(), &mut self.leases, session, claim) {
                    return refusal;
                }
            }
        }
        let known = self.records.get(&session).map_or(0, |record| record.floor);
        let floor_age = shortened(now as i64 - self.floor.max(known) as i64);
        ClaimVerdict::Accepted { term, formers: self.formers(now, session, ballot.owner), floor_age }
    }

    /// The earlier claimants of a session, but for the one who asks.
    fn formers(&self, now: Millis, session: SessionKey, claimant: ProcessId) -> Vec<FormerOwner> {
        let earlier = self.records.get(&session).map_or(&[][..], |record| &record.earlier);
        let named = earlier.iter().filter(|claim| claim.ballot.owner != claimant);
        let former = |claim: &RecordedClaim| {
            let lease = self.leases.get(claim.ballot.owner)?;
            let left = lease.expires.saturating_sub(now) + 1;
            Some(FormerOwner { ballot: claim.ballot, address: lease.address, lease: left as u32 })
        };
        named.filter_map(former).collect()
    }

    fn raise_floor(&mut self, to: Millis) {
        self.floor = self.floor.max(to);
    }

    /// Forgets some of the claims whose lease has ended.
    fn sweep(&mut self) {
        let from = self.swept.map_or(Bound::Unbounded, Bound::Excluded);
        let count = self.records.len().div_ceil((SWEEP_ROUND / SWEEP_INTERVAL) as usize).max(SWEEP_LEAST);
        let keys: Vec<SessionKey> =
            self.records.range((from, Bound::Unbounded)).take(count).map(|(key, _)| *key).collect();
        for key in &keys {
            let Entry::Occupied(mut entry) = self.records.entry(*key) else { continue };
            let record = entry.get_mut();
            record.settle_ended(&self.leases, &self.ended);
            let latest = record.latest;
            let remembered = self.ended.floor(latest.ballot.owner, latest.term).is_some();
            if record.earlier.is_empty() && !is_live(&self.leases, &latest) && !remembered {
                let floor = entry.remove().floor;
                self.raise_floor(floor);
            }
        }
        self.swept = keys.last().copied().filter(|_| keys.len() == count);
    }

    fn send(&mut self, to: SocketAddr, incarnation: u64, body: &Body) {
        let (_, bytes) = self.channel.seal(incarnation, body);
        self.out.push((to, bytes));
    }
}

/// An age that this clock has measured, short enough by any other.
fn shortened(age: i64) -> i64 {
    age - (stretched(age.unsigned_abs()) - age.unsigned_abs()) as i64
}

/// Puts a claim in the place of the one before, whose owner is told so; or says why not.
fn displace(
    record: &mut Record,
    leases: &mut LeaseTable,
    session: SessionKey,
    claim: RecordedClaim,
) -> Option<ClaimVerdict> {
    let ballot = claim.ballot;
    let recorded = record.earlier.iter().copied().chain([record.latest]);
    let live: Vec<RecordedClaim> = recorded.filter(|claim| is_live(leases, claim)).collect();
    if let Some(later) = live.iter().map(|claim| claim.ballot).max().filter(|later| *later > ballot) {
        return Some(ClaimVerdict::Rejected { by: later });
    }
    // The claimant knows what it knew under its own earlier claims.
    let earlier: Vec<RecordedClaim> =
        live.into_iter().filter(|claim| claim.ballot.owner != ballot.owner).collect();
    if earlier.len() > bounds::FORMERS {
        return Some(ClaimVerdict::Full);
    }
    let displaced = record.latest.ballot;
    if displaced.owner != ballot.owner {
        if let Some(lease) = leases.get_mut(displaced.owner) {
            lease.revoke(session, ballot);
        }
    }
    (record.latest, record.earlier) = (claim, earlier);
    None
}

/// Whether the lease under which a claim was recorded has not ended.
fn is_live(leases: &LeaseTable, claim: &RecordedClaim) -> bool {
    leases.get(claim.ballot.owner).is_some_and(|lease| lease.term == claim.term)
}
