//! The pooler's side of the directory. Sessions that the pooler owns cost no messages. A session that arrives
//! is claimed at its group; its former owner is asked for its last write, or the former owner's lease is
//! waited out. Reads whose required position is unproven go to the primary.

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

/// Identifies a write that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a read of a session requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRequirement {
    /// A server whose data has reached this position (Unix ms).
    AtLeast(Millis),
    /// The primary.
    Primary(PrimaryReason),
}

/// Why a read must go to the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryReason {
    /// The session's group has not answered the claim yet.
    Claiming,
    /// A former owner has not answered yet, and its lease is not over.
    FormerOwner,
    /// An earlier write whose outcome is unknown may still commit.
    OpenWrite,
    /// There is no quorum of the session's group.
    NoQuorum,
    /// A limit is reached.
    LimitReached,
    /// This pooler has returned its leases.
    Left,
}

/// How a write has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Committed at this position (Unix ms).
    Committed(Millis),
    /// It may still commit, until its deadline.
    InDoubt,
    /// It has not run and will not run.
    NotRun,
}

/// State of the directory as a pooler sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Sessions that are tracked, owned or not.
    pub sessions: usize,
    /// Incomplete claims.
    pub claiming: usize,
    /// Writes in flight.
    pub writes: usize,
    /// Groups with a quorum.
    pub groups: usize,
    /// Control instances at which the pooler has a lease.
    pub instances: usize,
}

/// Counters of a pooler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Claims that were started.
    pub claims: u64,
    /// Claims that were completed.
    pub completed: u64,
    /// Claims that were abandoned.
    pub failed: u64,
    /// Former owners that handed over a session.
    pub handovers: u64,
    /// Former owners whose leases were waited out.
    pub expired_owners: u64,
    /// Sessions that were handed over to other poolers.
    pub handed_off: u64,
    /// Sessions that were revoked before a handover was requested.
    pub revoked: u64,
}

#[derive(Clone, Copy, Debug)]
struct Write {
    session: SessionKey,
    deadline: Millis,
    sent: bool,
    ended: bool,
    /// The session was handed over while this write was in flight: the new owner allows for its answer until
    /// this time.
    answerable_until: Millis,
}

/// A pooler's view of the directory.
#[derive(Debug)]
pub struct Client {
    timing: Timing,
    placement: Placement,
    channel: Channel,
    /// The address at which other poolers reach this one.
    address: SocketAddr,
    /// By control instance.
    leases: Vec<HeldLease>,
    next_heartbeat: Millis,
    sessions: BTreeMap<SessionKey, Session>,
    /// Sessions in the order in which they are checked for being idle, with the time of the check.
    idle_checks: VecDeque<(Millis, SessionKey)>,
    /// Claims with unanswered requests, by the time of their next retransmission.
    claim_timers: BTreeSet<(Millis, SessionKey)>,
    writes: BTreeMap<u64, Write>,
    last_ticket: u64,
    /// Upper bound of the positions that sessions which are no longer tracked wrote through this pooler.
    released_position: Millis,
    has_left: bool,
    rng: fastrand::Rng,
    counts: ClientCounts,
    outbox: Vec<Datagram>,
}

impl Client {
    /// A pooler that starts now; other poolers reach it at `address`.
    pub fn new(
        me: ProcessId,
        address: SocketAddr,
        keys: Keys,
        timing: Timing,
        placement: Placement,
        now: Millis,
    ) -> Client {
        let leases = placement.instances().iter().map(|instance| HeldLease::new(instance.address)).collect();
        Client {
            timing,
            channel: Channel::new(me, placement.digest(), keys),
            placement,
            address,
            leases,
            next_heartbeat: now,
            sessions: BTreeMap::new(),
            idle_checks: VecDeque::new(),
            claim_timers: BTreeSet::new(),
            writes: BTreeMap::new(),
            last_ticket: 0,
            released_position: 0,
            has_left: false,
            rng: fastrand::Rng::with_seed(me.name ^ me.incarnation),
            counts: ClientCounts::default(),
            outbox: Vec::new(),
        }
    }

    /// What a read of a session requires if it arrives now.
    pub fn read_requirement(&mut self, now: Millis, session: SessionKey) -> ReadRequirement {
        if let Err(reason) = self.ensure_owned(now, session) {
            return ReadRequirement::Primary(reason);
        }
        let Some(session) = self.sessions.get_mut(&session) else {
            return ReadRequirement::Primary(PrimaryReason::LimitReached);
        };
        let floor = session.claim.as_ref().map_or(Millis::MAX, |claim| claim.floor);
        match session.watermark.required_position(now, &self.timing) {
            Some(position) => ReadRequirement::AtLeast(position.max(floor)),
            None => ReadRequirement::Primary(PrimaryReason::OpenWrite),
        }
    }

    /// Begins a write of a session whose answer is due within `time` (ms). The write is never answered after
    /// that, nor after [`Timing::write_bound`]. None if a limit is reached.
    pub fn begin_write(&mut self, now: Millis, session: SessionKey, time: Millis) -> Option<Ticket> {
        if self.writes.len() >= bounds::WRITES {
            return None;
        }
        // `may_send` decides whether the write may be sent.
        let _ = self.ensure_owned(now, session);
        let state = self.sessions.get_mut(&session)?;
        self.last_ticket += 1;
        state.writes.push(self.last_ticket);
        let deadline = now + time.min(self.timing.write_bound);
        let write = Write { session, deadline, sent: false, ended: false, answerable_until: 0 };
        self.writes.insert(self.last_ticket, write);
        Some(Ticket(self.last_ticket))
    }

    /// Returns true if a write may be sent: its session is owned, or will be owned before the write's
    /// deadline.
    pub fn may_send(&mut self, now: Millis, ticket: Ticket) -> bool {
        let Some(write) = self.writes.get(&ticket.0).copied() else { return false };
        let allowed = now < write.deadline
            && (self.ensure_owned(now, write.session).is_ok()
                || self.will_own_by(now, write.session, write.deadline));
        if let Some(write) = self.writes.get_mut(&ticket.0) {
            write.sent |= allowed;
        }
        allowed
    }

    /// Records how a write ended at its database.
    pub fn end_write(&mut self, _now: Millis, ticket: Ticket, outcome: WriteOutcome) {
        let Some(write) = self.writes.get_mut(&ticket.0) else { return };
        if std::mem::replace(&mut write.ended, true) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&write.session) else { return };
        match outcome {
            WriteOutcome::Committed(position) => session.watermark.raise(position),
            WriteOutcome::InDoubt => session.watermark.extend_open(write.deadline),
            WriteOutcome::NotRun => {}
        }
    }

    /// Returns true if a committed write may be answered.
    pub fn may_answer(&mut self, now: Millis, ticket: Ticket) -> bool {
        let Some(write) = self.writes.get(&ticket.0).copied() else { return false };
        now < write.deadline
            && (now < write.answerable_until || self.ensure_owned(now, write.session).is_ok())
    }

    /// Why a write may not be sent yet; none if its session is owned or the write is not known.
    pub fn write_blocked_by(&mut self, now: Millis, ticket: Ticket) -> Option<PrimaryReason> {
        let session = self.writes.get(&ticket.0)?.session;
        self.ensure_owned(now, session).err()
    }

    /// Returns when a write can no longer be answered; 0 if it is not known.
    pub fn deadline(&self, ticket: Ticket) -> Millis {
        self.writes.get(&ticket.0).map_or(0, |write| write.deadline)
    }

    /// Removes a write. If it was sent and its outcome was not reported, it counts as in doubt.
    pub fn forget(&mut self, now: Millis, ticket: Ticket) {
        let sent = self.writes.get(&ticket.0).is_some_and(|write| write.sent);
        self.end_write(now, ticket, if sent { WriteOutcome::InDoubt } else { WriteOutcome::NotRun });
        let Some(write) = self.writes.remove(&ticket.0) else { return };
        if let Some(session) = self.sessions.get_mut(&write.session) {
            session.writes.retain(|number| *number != ticket.0);
        }
    }

    /// Handles a datagram from `from`.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) -> Result<(), Fault> {
        let (header, body) = self.channel.open(now, bytes)?;
        let result = match body {
            Body::HeartbeatAck { heartbeat, term, revocations, complete } => {
                self.handle_heartbeat_ack(now, &header, heartbeat, term, (&revocations, complete))
            }
            Body::ClaimReply { session, counter, verdict } => {
                self.handle_claim_reply(now, &header, session, counter, &verdict)
            }
            Body::Handover { session, counter, former: _ } => {
                let ballot = Ballot { counter, owner: header.from };
                self.handle_handover(now, from, session, ballot, &body)
            }
            Body::HandoverReply { session, counter, former, verdict } => {
                self.handle_handover_reply(now, &header, session, (counter, former), verdict)
            }
            Body::Heartbeat { .. } | Body::Claim { .. } | Body::Leave => Err(Fault::Sender),
        };
        result.inspect_err(|fault| self.channel.count(*fault))
    }

    /// Does what is due at the time `now`.
    pub fn tick(&mut self, now: Millis) {
        if now >= self.next_heartbeat && !self.has_left {
            self.next_heartbeat = now + self.timing.heartbeat;
            (0..self.leases.len()).for_each(|instance| self.send_heartbeat(now, instance));
        }
        while let Some((at, session)) = self.claim_timers.first().copied().filter(|(at, _)| *at <= now) {
            self.claim_timers.remove(&(at, session));
            self.resend(now, session, at);
        }
        self.release_idle(now);
    }

    /// Returns when [`Client::tick`] must be called at the latest.
    pub fn next_due(&self) -> Millis {
        let heartbeat = if self.has_left { Millis::MAX } else { self.next_heartbeat };
        let resend = self.claim_timers.first().map_or(Millis::MAX, |(at, _)| *at);
        let idle_check = self.idle_checks.front().map_or(Millis::MAX, |(at, _)| *at);
        heartbeat.min(resend).min(idle_check)
    }

    /// Takes the datagrams to be sent.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the leases; the pooler then owns no session any more. Returns false, and does nothing, while
    /// writes are in flight.
    pub fn leave(&mut self) -> bool {
        if !self.writes.is_empty() {
            return false;
        }
        self.has_left = true;
        for lease in &self.leases {
            let (_, bytes) = self.channel.seal(0, &Body::Leave);
            self.outbox.push((lease.address, bytes));
        }
        true
    }

    /// Returns true if this pooler owns a session.
    pub fn is_owner(&self, now: Millis, session: SessionKey) -> bool {
        !self.has_left && self.sessions.get(&session).is_some_and(|session| self.owns(now, session))
    }

    /// State of the directory as this pooler sees it.
    pub fn status(&self, now: Millis) -> Status {
        let valid = |lease: &&HeldLease| lease.ends_at(&self.timing) > now;
        let groups = (0..self.placement.groups()).filter(|group| self.has_quorum(now, *group));
        Status {
            sessions: self.sessions.len(),
            claiming: self.claim_timers.len(),
            writes: self.writes.len(),
            groups: groups.count(),
            instances: self.leases.iter().filter(valid).count(),
        }
    }

    /// Returns the counters.
    pub fn counts(&self) -> ClientCounts {
        self.counts
    }

    /// Returns the number of dropped datagrams by fault.
    pub fn faults(&self) -> &BTreeMap<Fault, u64> {
        self.channel.faults()
    }

    fn send(&mut self, to: SocketAddr, incarnation: u64, body: &Body) -> u64 {
        let (number, bytes) = self.channel.seal(incarnation, body);
        self.outbox.push((to, bytes));
        number
    }

    fn send_heartbeat(&mut self, now: Millis, instance: usize) {
        let lease = &self.leases[instance];
        let body = Body::Heartbeat {
            address: self.address,
            term: lease.term().map_or(0, |term| term.number),
            revoked_up_to: lease.revoked_up_to(),
            notices: lease.notices(),
        };
        let address = lease.address;
        // Addressed to any incarnation of the control instance: it may have restarted since its last message.
        let number = self.send(address, 0, &body);
        self.leases[instance].heartbeat_sent(now, number);
    }

    /// Releases idle sessions.
    fn release_idle(&mut self, now: Millis) {
        while let Some((_, key)) = self.idle_checks.front().copied().filter(|(at, _)| *at <= now) {
            self.idle_checks.pop_front();
            let Some(session) = self.sessions.get(&key) else { continue };
            let idle_at = session.used_at + bounds::IDLE_RETENTION;
            if idle_at > now || !session.writes.is_empty() {
                self.idle_checks.push_back((idle_at.max(now + self.timing.heartbeat), key));
            } else {
                self.release(now, key);
            }
        }
    }

    /// Makes room for one more session. Returns true if there is room.
    fn make_room(&mut self, now: Millis) -> bool {
        for _ in 0..bounds::ENTRIES_PER_DATAGRAM {
            if self.sessions.len() < bounds::SESSIONS {
                return true;
            }
            let Some((at, key)) = self.idle_checks.pop_front() else { break };
            let in_use = |session: &Session| !session.writes.is_empty() || session.used_at == now;
            if self.sessions.get(&key).is_some_and(in_use) {
                self.idle_checks.push_back((at, key));
            } else {
                self.release(now, key);
            }
        }
        self.sessions.len() < bounds::SESSIONS
    }

    fn release(&mut self, now: Millis, key: SessionKey) {
        let Some(mut session) = self.sessions.remove(&key) else { return };
        let claim = session.drop_claim();
        let upper_bound = session.watermark.upper_bound(&self.timing);
        self.released_position = self.released_position.max(upper_bound);
        let Some(claim) = claim else { return };
        let write_age = now as i64 - (upper_bound + self.timing.clock_error) as i64;
        let notice = Notice::Released { session: key, counter: claim.counter, write_age };
        for (slot, instance) in self.placement.members(session.group).iter().enumerate() {
            if claim.recorded_under[slot].is_some() {
                self.leases[*instance].notify(notice);
            }
        }
    }
}
