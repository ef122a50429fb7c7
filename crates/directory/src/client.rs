//! The side of a pooler. Sessions that it owns cost no message; one that arrives is claimed at its group, and its former
//! owner is asked for what it wrote, or its lease outwaited. What is not proven goes to the primary.

mod claims;
mod peers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use replication::Keys;

use crate::channel::{Channel, Fault};
use crate::identity::{Ballot, ProcessId, SessionKey};
use crate::lease::HeldLease;
use crate::message::{Body, Notice};
use crate::placement::Placement;
use crate::session::Session;
use crate::timing::{bounds, Millis, Timing};
use crate::Datagram;

/// A write that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a session's read needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRequirement {
    /// Data up to this position (Unix ms).
    AtLeast(Millis),
    /// The primary.
    Primary(PrimaryReason),
}

/// Why only the primary will do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryReason {
    /// The session's group has not answered yet.
    Claiming,
    /// A former owner has not answered yet, and its lease is not over.
    FormerOwner,
    /// A write that was sent elsewhere may commit still.
    OpenWrite,
    /// There is no quorum of the session's group.
    NoQuorum,
    /// A bound is reached.
    LimitReached,
    /// This pooler has given its leases back.
    Left,
}

/// How a write has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was committed at this position (Unix ms).
    Committed(Millis),
    /// It may be committed still, until its deadline.
    InDoubt,
    /// It has not run and will not.
    NotRun,
}

/// How the directory looks to a pooler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Sessions that are known, owned or not.
    pub sessions: usize,
    /// Claims that are not complete.
    pub claiming: usize,
    /// Writes under way.
    pub writes: usize,
    /// Groups with a quorum.
    pub groups: usize,
    /// Control instances with a lease.
    pub instances: usize,
}

/// What is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Claims that were begun, completed, and given up.
    pub claims: u64,
    /// See above.
    pub completed: u64,
    /// See above.
    pub failed: u64,
    /// Former owners that handed over, and that were outwaited.
    pub handovers: u64,
    /// See above.
    pub expired_owners: u64,
    /// Sessions that were handed over to others.
    pub handed_off: u64,
    /// Sessions that were revoked before anybody had asked for them.
    pub revoked: u64,
}

#[derive(Clone, Copy, Debug)]
struct Write {
    session: SessionKey,
    deadline: Millis,
    sent: bool,
    ended: bool,
    /// The session was handed over while this was under way: the new owner has been told to allow for its answer so long.
    covered_until: Millis,
}

/// A pooler's view of the directory.
#[derive(Debug)]
pub struct Client {
    terms: Timing,
    placement: Placement,
    channel: Channel,
    /// Where other poolers reach this one.
    address: SocketAddr,
    /// By control instance.
    leases: Vec<HeldLease>,
    next_heartbeat: Millis,
    sessions: BTreeMap<SessionKey, Session>,
    /// Sessions by when they were seen to have rested.
    resting: VecDeque<(Millis, SessionKey)>,
    /// Claims that are not complete, by when they are looked at again.
    repeats: BTreeSet<(Millis, SessionKey)>,
    writes: BTreeMap<u64, Write>,
    last_ticket: u64,
    /// Sessions that are not known wrote through this pooler at this position at the latest.
    forgotten: Millis,
    left: bool,
    rng: fastrand::Rng,
    counts: ClientCounts,
    out: Vec<Datagram>,
}

impl Client {
    /// A pooler that starts now; others reach it at `address`.
    pub fn new(
        me: ProcessId,
        address: SocketAddr,
        keys: Keys,
        terms: Timing,
        placement: Placement,
        now: Millis,
    ) -> Client {
        let leases = placement.instances().iter().map(|machine| HeldLease::new(machine.address)).collect();
        Client {
            terms,
            channel: Channel::new(me, placement.digest(), keys),
            placement,
            address,
            leases,
            next_heartbeat: now,
            sessions: BTreeMap::new(),
            resting: VecDeque::new(),
            repeats: BTreeSet::new(),
            writes: BTreeMap::new(),
            last_ticket: 0,
            forgotten: 0,
            left: false,
            rng: fastrand::Rng::with_seed(me.name ^ me.incarnation),
            counts: ClientCounts::default(),
            out: Vec::new(),
        }
    }

    /// What a read of a session needs that comes now.
    pub fn read_requirement(&mut self, now: Millis, session: SessionKey) -> ReadRequirement {
        if let Err(why) = self.own(now, session) {
            return ReadRequirement::Primary(why);
        }
        let Some(session) = self.sessions.get_mut(&session) else {
            return ReadRequirement::Primary(PrimaryReason::LimitReached);
        };
        let floor = session.claim.as_ref().map_or(Millis::MAX, |claim| claim.floor);
        match session.marks.needed(now, &self.terms) {
            Some(position) => ReadRequirement::AtLeast(position.max(floor)),
            None => ReadRequirement::Primary(PrimaryReason::OpenWrite),
        }
    }

    /// A write of a session has come, with so much time (ms) to its answer. It is never answered after that, nor after
    /// [`Timing::write_bound`]. None at a bound.
    pub fn begin_write(&mut self, now: Millis, session: SessionKey, time: Millis) -> Option<Ticket> {
        if self.writes.len() >= bounds::WRITES {
            return None;
        }
        // Whether it may be sent is asked separately.
        let _ = self.own(now, session);
        let known = self.sessions.get_mut(&session)?;
        self.last_ticket += 1;
        known.writes.push(self.last_ticket);
        let deadline = now + time.min(self.terms.write_bound);
        let write = Write { session, deadline, sent: false, ended: false, covered_until: 0 };
        self.writes.insert(self.last_ticket, write);
        Some(Ticket(self.last_ticket))
    }

    /// Whether a write may be sent: the session is owned, or will be before the write has to be answered.
    pub fn may_send(&mut self, now: Millis, ticket: Ticket) -> bool {
        let Some(write) = self.writes.get(&ticket.0).copied() else { return false };
        let may = now < write.deadline
            && (self.own(now, write.session).is_ok() || self.will_own(now, write.session, write.deadline));
        if let Some(write) = self.writes.get_mut(&ticket.0) {
            write.sent |= may;
        }
        may
    }

    /// A write has ended at its database.
    pub fn end_write(&mut self, _now: Millis, ticket: Ticket, end: WriteOutcome) {
        let Some(write) = self.writes.get_mut(&ticket.0) else { return };
        if std::mem::replace(&mut write.ended, true) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&write.session) else { return };
        match end {
            WriteOutcome::Committed(position) => session.marks.raise(position),
            WriteOutcome::InDoubt => session.marks.open(write.deadline),
            WriteOutcome::NotRun => {}
        }
    }

    /// Whether a write that was committed may be answered.
    pub fn may_answer(&mut self, now: Millis, ticket: Ticket) -> bool {
        let Some(write) = self.writes.get(&ticket.0).copied() else { return false };
        now < write.deadline && (now < write.covered_until || self.own(now, write.session).is_ok())
    }

    /// Why a write may not be sent yet; none where its session is owned, or where the write is not known.
    pub fn write_blocked_by(&mut self, now: Millis, ticket: Ticket) -> Option<PrimaryReason> {
        let session = self.writes.get(&ticket.0)?.session;
        self.own(now, session).err()
    }

    /// When a write can no longer be answered; 0 for one that is not known.
    pub fn deadline(&self, ticket: Ticket) -> Millis {
        self.writes.get(&ticket.0).map_or(0, |write| write.deadline)
    }

    /// A write is done with. One that was sent and whose end was not told is in doubt.
    pub fn forget(&mut self, now: Millis, ticket: Ticket) {
        let sent = self.writes.get(&ticket.0).is_some_and(|write| write.sent);
        self.end_write(now, ticket, if sent { WriteOutcome::InDoubt } else { WriteOutcome::NotRun });
        let Some(write) = self.writes.remove(&ticket.0) else { return };
        if let Some(session) = self.sessions.get_mut(&write.session) {
            session.writes.retain(|number| *number != ticket.0);
        }
    }

    /// A datagram has come from an address.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) -> Result<(), Fault> {
        let (header, body) = self.channel.open(now, bytes)?;
        let taken = match body {
            Body::HeartbeatAck { heartbeat, term, revocations, complete } => {
                self.acknowledged(now, &header, heartbeat, term, (&revocations, complete))
            }
            Body::ClaimReply { session, counter, verdict } => {
                self.claim_replied(now, &header, session, counter, &verdict)
            }
            Body::Handover { session, counter, former: _ } => {
                let ballot = Ballot { counter, owner: header.from };
                self.hand_over(now, from, session, ballot, &body)
            }
            Body::HandoverReply { session, counter, former, verdict } => {
                self.handed_over(now, &header, session, (counter, former), verdict)
            }
            Body::Heartbeat { .. } | Body::Claim { .. } | Body::Leave => Err(Fault::Sender),
        };
        taken.inspect_err(|fault| self.channel.count(*fault))
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) {
        if now >= self.next_heartbeat && !self.left {
            self.next_heartbeat = now + self.terms.heartbeat;
            (0..self.leases.len()).for_each(|machine| self.send_heartbeat(now, machine));
        }
        while let Some((at, session)) = self.repeats.first().copied().filter(|(at, _)| *at <= now) {
            self.repeats.remove(&(at, session));
            self.repeat(now, session, at);
        }
        self.release_rested(now);
    }

    /// When [`Client::tick`] should be called at the latest.
    pub fn next_due(&self) -> Millis {
        let heartbeat = if self.left { Millis::MAX } else { self.next_heartbeat };
        let repeat = self.repeats.first().map_or(Millis::MAX, |(at, _)| *at);
        let rest = self.resting.front().map_or(Millis::MAX, |(at, _)| *at);
        heartbeat.min(repeat).min(rest)
    }

    /// Datagrams to be sent.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    /// Gives the leases back, after which nothing is owned any more. False, and nothing is done, while writes are under way.
    pub fn leave(&mut self) -> bool {
        if !self.writes.is_empty() {
            return false;
        }
        self.left = true;
        for lease in &self.leases {
            let (_, bytes) = self.channel.seal(0, &Body::Leave);
            self.out.push((lease.address, bytes));
        }
        true
    }

    /// Whether a session is owned.
    pub fn is_owner(&self, now: Millis, session: SessionKey) -> bool {
        !self.left && self.sessions.get(&session).is_some_and(|session| self.owns(now, session))
    }

    /// How the directory looks to this pooler.
    pub fn status(&self, now: Millis) -> Status {
        let live = |lease: &&HeldLease| lease.until(&self.terms) > now;
        let groups = (0..self.placement.groups()).filter(|group| self.has_quorum(now, *group));
        Status {
            sessions: self.sessions.len(),
            claiming: self.repeats.len(),
            writes: self.writes.len(),
            groups: groups.count(),
            instances: self.leases.iter().filter(live).count(),
        }
    }

    /// What is counted.
    pub fn counts(&self) -> ClientCounts {
        self.counts
    }

    /// How many datagrams were dropped, by their faults.
    pub fn faults(&self) -> &BTreeMap<Fault, u64> {
        self.channel.faults()
    }

    fn send(&mut self, to: SocketAddr, incarnation: u64, body: &Body) -> u64 {
        let (number, bytes) = self.channel.seal(incarnation, body);
        self.out.push((to, bytes));
        number
    }

    fn send_heartbeat(&mut self, now: Millis, machine: usize) {
        let lease = &self.leases[machine];
        let body = Body::Heartbeat {
            address: self.address,
            term: lease.term().map_or(0, |term| term.number),
            revoked_up_to: lease.revoked_up_to(),
            notices: lease.notices(),
        };
        let address = lease.address;
        // To any start of the machine: it may be another than the one that was heard last.
        let number = self.send(address, 0, &body);
        self.leases[machine].sent(now, number);
    }

    /// Gives up sessions that have rested.
    fn release_rested(&mut self, now: Millis) {
        while let Some((_, key)) = self.resting.front().copied().filter(|(at, _)| *at <= now) {
            self.resting.pop_front();
            let Some(session) = self.sessions.get(&key) else { continue };
            let rested = session.used + bounds::IDLE_RETENTION;
            if rested > now || !session.writes.is_empty() {
                self.resting.push_back((rested.max(now + self.terms.heartbeat), key));
            } else {
                self.release(now, key);
            }
        }
    }

    /// Makes room for one more session; whether there is.
    fn make_room(&mut self, now: Millis) -> bool {
        for _ in 0..bounds::ENTRIES_PER_DATAGRAM {
            if self.sessions.len() < bounds::SESSIONS {
                return true;
            }
            let Some((at, key)) = self.resting.pop_front() else { break };
            let in_use = |session: &Session| !session.writes.is_empty() || session.used == now;
            if self.sessions.get(&key).is_some_and(in_use) {
                self.resting.push_back((at, key));
            } else {
                self.release(now, key);
            }
        }
        self.sessions.len() < bounds::SESSIONS
    }

    fn release(&mut self, now: Millis, key: SessionKey) {
        let Some(mut session) = self.sessions.remove(&key) else { return };
        let claim = session.drop_claim();
        let bound = session.marks.bound(&self.terms);
        self.forgotten = self.forgotten.max(bound);
        let Some(claim) = claim else { return };
        let age = now as i64 - (bound + self.terms.clock_error) as i64;
        let notice = Notice::Released { session: key, counter: claim.counter, age };
        for (slot, machine) in self.placement.members(session.group).iter().enumerate() {
            if claim.recorded[slot].is_some() {
                self.leases[*machine].notify(notice);
            }
        }
    }
}
