//! The control instance's side of the directory. As a member of some groups, a control instance keeps the
//! claims of each session, and a lease for each pooler. It has no disk: after a start it answers nothing
//! until everything that its previous incarnation granted is over, and assumes that every session without a
//! record was written until then.

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
use crate::timing::{bounds, with_clock_margin, Millis, Timing};
use crate::Datagram;

/// Time between two sweeps; each checks a part of the records for claims whose lease has ended (ms),
/// and the time in which sweeps cover all records. Ended leases are remembered individually for that long.
const SWEEP_INTERVAL: Millis = 10;
const SWEEP_PERIOD: Millis = bounds::IDLE_RETENTION;
/// Minimum number of records checked in one sweep.
const MIN_SWEEP_RECORDS: usize = 16;

/// A recorded claim. It is valid as long as the claimant's lease of this number.
#[derive(Clone, Copy, Debug)]
struct RecordedClaim {
    ballot: Ballot,
    term: u32,
}

/// The claims of one session.
#[derive(Debug)]
struct Record {
    latest: RecordedClaim,
    /// Earlier claimants that may still own the session.
    earlier: Vec<RecordedClaim>,
    /// Claimants whose leases have ended wrote before this time.
    floor: Millis,
}

impl Record {
    /// Drops earlier claims whose leases have ended, and raises the floor to cover the writes under ended
    /// leases, including that of the latest claim. The floor of all sessions covers ended leases that are no
    /// longer remembered.
    fn drop_ended_claims(&mut self, leases: &LeaseTable, ended: &EndedLeases) {
        let claims = self.earlier.iter().chain([&self.latest]);
        let floors = claims.filter_map(|claim| ended.floor(claim.ballot.owner, claim.term));
        self.floor = floors.fold(self.floor, Millis::max);
        self.earlier.retain(|claim| is_live(leases, claim));
    }
}

/// Counters of a control instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// Claims recorded.
    pub accepted: u64,
    /// Claims rejected because of a later one.
    pub rejected: u64,
    /// Claims and leases refused because a limit was reached.
    pub full: u64,
    /// Leases that expired without being returned.
    pub expired: u64,
}

/// A control instance.
#[derive(Debug)]
pub struct Replica {
    timing: Timing,
    placement: Placement,
    own_index: usize,
    channel: Channel,
    /// No message is answered before this time.
    silent_until: Millis,
    leases: LeaseTable,
    ended: EndedLeases,
    records: BTreeMap<SessionKey, Record>,
    /// The last record that was swept.
    sweep_cursor: Option<SessionKey>,
    next_sweep: Millis,
    /// Sessions without a record were written before this time.
    floor: Millis,
    counts: ReplicaCounts,
    outbox: Vec<Datagram>,
}

impl Replica {
    /// A control instance that starts now. None if the placement does not contain it.
    pub fn new(
        process: ProcessId,
        keys: Keys,
        timing: Timing,
        placement: Placement,
        now: Millis,
    ) -> Option<Replica> {
        let own_index = placement.instance_index(process)?;
        let silent_until = now + timing.startup_silence();
        Some(Replica {
            timing,
            own_index,
            channel: Channel::new(process, placement.digest(), keys),
            placement,
            silent_until,
            leases: LeaseTable::default(),
            ended: EndedLeases::default(),
            records: BTreeMap::new(),
            sweep_cursor: None,
            next_sweep: now,
            // Guards against owners that only the previous incarnation knew: by then their leases have ended,
            // and the last write sent under such a lease commits within the write bound.
            floor: silent_until + timing.write_bound,
            counts: ReplicaCounts::default(),
            outbox: Vec::new(),
        })
    }

    /// Handles a datagram from `from`.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) -> Result<(), Fault> {
        self.tick(now);
        if self.is_silent(now) {
            return Ok(());
        }
        let (header, body) = self.channel.open(now, bytes)?;
        match body {
            Body::Heartbeat { address, term, revoked_up_to, notices } => {
                self.handle_heartbeat(now, &header, (from, address), (term, revoked_up_to), &notices);
            }
            Body::Claim { session, counter } => self.claim(now, &header, from, session, counter)?,
            Body::Leave => {
                if let Some(ended) = self.leases.end(header.from) {
                    self.ended.record(now, &ended, now);
                }
            }
            _ => {
                self.channel.count(Fault::Sender);
                return Err(Fault::Sender);
            }
        }
        Ok(())
    }

    /// Does what is due at the time `now`.
    pub fn tick(&mut self, now: Millis) {
        while let Some(ended) = self.leases.expire(now) {
            self.counts.expired += 1;
            // The writes of the lease's sessions are lost with their owner. The owner may have sent writes
            // until its lease ended.
            self.ended.record(now, &ended, ended.ended_at + self.timing.write_bound);
        }
        while let Some(floor) = self.ended.remove_expired(now) {
            self.raise_floor(floor);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep();
        }
    }

    /// Returns when [`Replica::tick`] must be called at the latest.
    pub fn next_due(&self) -> Millis {
        self.leases.next_expiry().map_or(Millis::MAX, |expiry| expiry + 1)
    }

    /// Takes the datagrams to be sent.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns true if the control instance is still in its startup silence.
    pub fn is_silent(&self, now: Millis) -> bool {
        now < self.silent_until
    }

    /// Returns the number of records.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of poolers with a lease.
    pub fn poolers(&self) -> usize {
        self.leases.len()
    }

    /// Returns the counters.
    pub fn counts(&self) -> ReplicaCounts {
        self.counts
    }

    /// Returns the number of dropped datagrams by fault.
    pub fn faults(&self) -> &BTreeMap<Fault, u64> {
        self.channel.faults()
    }

    fn handle_heartbeat(
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
            lease.confirm_revocations(revoked_up_to);
        }
        let (revocations, complete) = lease.revocations();
        let term = lease.term;
        if complete {
            self.leases.renew(pooler, now + self.timing.granted_lease());
        }
        notices.iter().for_each(|notice| self.handle_notice(now, pooler, notice));
        let ack = Body::HeartbeatAck { heartbeat: header.number, term, revocations, complete };
        // Sent to the source address, as with claims: `address` is where other poolers reach the sender.
        self.send(from, pooler.incarnation, &ack);
    }

    fn handle_notice(&mut self, now: Millis, pooler: ProcessId, notice: &Notice) {
        let (Notice::ClaimCompleted { session, counter } | Notice::Released { session, counter, .. }) =
            *notice;
        let ballot = Ballot { counter, owner: pooler };
        let Entry::Occupied(mut entry) = self.records.entry(session) else { return };
        match *notice {
            // The owner's own claim stays if a later claim has replaced it meanwhile.
            Notice::ClaimCompleted { .. } => entry.get_mut().earlier.retain(|claim| claim.ballot >= ballot),
            Notice::Released { write_age, .. } => {
                // A record that names other claimants as well is retained: they must be asked.
                let floor = entry.get().floor;
                if entry.get().latest.ballot == ballot && entry.get().earlier.is_empty() {
                    entry.remove();
                    self.raise_floor(floor);
                }
                self.raise_floor(now.saturating_add_signed(-write_age));
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
        if !self.placement.members(group).contains(&self.own_index) {
            self.channel.count(Fault::Sender);
            return Err(Fault::Sender);
        }
        let verdict = self.record_claim(now, session, Ballot { counter, owner: header.from });
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
    fn record_claim(&mut self, now: Millis, session: SessionKey, ballot: Ballot) -> ClaimVerdict {
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
                entry.get_mut().drop_ended_claims(&self.leases, &self.ended);
                if let Some(refusal) = replace_claim(entry.get_mut(), &mut self.leases, session, claim) {
                    return refusal;
                }
            }
        }
        let known = self.records.get(&session).map_or(0, |record| record.floor);
        let floor_age = less_clock_margin(now as i64 - self.floor.max(known) as i64);
        ClaimVerdict::Accepted {
            term,
            former_owners: self.former_owners(now, session, ballot.owner),
            floor_age,
        }
    }

    /// Returns the earlier claimants of a session, without the claimant itself.
    fn former_owners(&self, now: Millis, session: SessionKey, claimant: ProcessId) -> Vec<FormerOwner> {
        let earlier = self.records.get(&session).map_or(&[][..], |record| &record.earlier);
        let others = earlier.iter().filter(|claim| claim.ballot.owner != claimant);
        let former = |claim: &RecordedClaim| {
            let lease = self.leases.get(claim.ballot.owner)?;
            let remaining = lease.expires_at.saturating_sub(now) + 1;
            Some(FormerOwner {
                ballot: claim.ballot,
                address: lease.address,
                remaining_lease: remaining as u32,
            })
        };
        others.filter_map(former).collect()
    }

    fn raise_floor(&mut self, to: Millis) {
        self.floor = self.floor.max(to);
    }

    /// Removes some of the records whose claims have no valid lease.
    fn sweep(&mut self) {
        let from = self.sweep_cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let count =
            self.records.len().div_ceil((SWEEP_PERIOD / SWEEP_INTERVAL) as usize).max(MIN_SWEEP_RECORDS);
        let keys: Vec<SessionKey> =
            self.records.range((from, Bound::Unbounded)).take(count).map(|(key, _)| *key).collect();
        for key in &keys {
            let Entry::Occupied(mut entry) = self.records.entry(*key) else { continue };
            let record = entry.get_mut();
            record.drop_ended_claims(&self.leases, &self.ended);
            let latest = record.latest;
            let remembered = self.ended.floor(latest.ballot.owner, latest.term).is_some();
            if record.earlier.is_empty() && !is_live(&self.leases, &latest) && !remembered {
                let floor = entry.remove().floor;
                self.raise_floor(floor);
            }
        }
        self.sweep_cursor = keys.last().copied().filter(|_| keys.len() == count);
    }

    fn send(&mut self, to: SocketAddr, incarnation: u64, body: &Body) {
        let (_, bytes) = self.channel.seal(incarnation, body);
        self.outbox.push((to, bytes));
    }
}

/// An age measured by this clock, reduced so that it is not too long on any other clock.
fn less_clock_margin(age: i64) -> i64 {
    age - (with_clock_margin(age.unsigned_abs()) - age.unsigned_abs()) as i64
}

/// Replaces the latest claim and queues a revocation for its owner; returns the refusal if the claim cannot
/// be recorded.
fn replace_claim(
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
    // The claimant knows what it wrote under its own earlier claims.
    let earlier: Vec<RecordedClaim> =
        live.into_iter().filter(|claim| claim.ballot.owner != ballot.owner).collect();
    if earlier.len() > bounds::FORMER_OWNERS {
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

/// Returns true if the lease under which a claim was recorded is still valid.
fn is_live(leases: &LeaseTable, claim: &RecordedClaim) -> bool {
    leases.get(claim.ballot.owner).is_some_and(|lease| lease.term == claim.term)
}
