//! Claims of sessions: begun where one arrives, repeated, complete or given up.

use super::{Client, PrimaryReason};
use crate::channel::Fault;
use crate::identity::{Ballot, SessionKey};
use crate::lease::Term;
use crate::message::{Body, ClaimVerdict, FormerOwner, Header, Notice};
use crate::placement::MAX_GROUP_MEMBERS;
use crate::session::{Claim, Session};
use crate::timing::{bounds, Millis};

/// A claim that was given up is begun anew after a random part of this (ms), doubled with each failure.
const FIRST_BACKOFF: Millis = 50;

impl Client {
    /// Whether a session is owned; claims it where it is not.
    pub(super) fn own(&mut self, now: Millis, key: SessionKey) -> Result<(), PrimaryReason> {
        if self.left {
            return Err(PrimaryReason::Left);
        }
        if !self.sessions.contains_key(&key) && !self.open_session(now, key) {
            return Err(PrimaryReason::LimitReached);
        }
        self.advance(now, key);
        let Some(session) = self.sessions.get_mut(&key) else { return Err(PrimaryReason::LimitReached) };
        session.used = now;
        let group = session.group;
        let lapsed = session.claim.as_ref().is_some_and(|claim| claim.completed);
        let Some(session) = self.sessions.get(&key) else { return Err(PrimaryReason::LimitReached) };
        if self.owns(now, session) {
            self.complete_members(now, key);
            return Ok(());
        }
        if !self.has_quorum(now, group) {
            return Err(PrimaryReason::NoQuorum);
        }
        match &session.claim {
            // A late answer has named one more former owner.
            Some(claim) if !claim.is_settled() => Err(PrimaryReason::FormerOwner),
            Some(_) if !lapsed => Err(PrimaryReason::Claiming),
            None if now < session.retry_at => Err(PrimaryReason::Claiming),
            _ => Err(self.begin_claim(now, key)),
        }
    }

    /// Whether a session that is not owned yet will be before a deadline, come what may.
    pub(super) fn will_own(&self, now: Millis, key: SessionKey, deadline: Millis) -> bool {
        let Some(session) = self.sessions.get(&key) else { return false };
        let Some(claim) = &session.claim else { return false };
        self.valid_until(session.group, claim) > now && claim.settled_at() < deadline
    }

    /// Whether a session is owned.
    pub(super) fn owns(&self, now: Millis, session: &Session) -> bool {
        session.claim.as_ref().is_some_and(|claim| {
            claim.completed && claim.is_settled() && self.valid_until(session.group, claim) > now
        })
    }

    /// Whether enough members of a group have granted a lease.
    pub(super) fn has_quorum(&self, now: Millis, group: usize) -> bool {
        let members = self.placement.members(group).iter();
        let live = members.filter(|machine| self.leases[**machine].until(&self.terms) > now);
        live.count() >= self.placement.quorum()
    }

    /// The members of a group that hold a claim under their present lease: until when that lasts, and their floors.
    fn holders(&self, group: usize, claim: &Claim) -> impl Iterator<Item = (Millis, Millis)> + '_ {
        let (recorded, floors) = (claim.recorded, claim.floors);
        let members = self.placement.members(group).iter().enumerate();
        members.filter_map(move |(slot, machine)| {
            let lease = &self.leases[*machine];
            let holds = recorded[slot].is_some() && recorded[slot] == lease.term();
            holds.then(|| (lease.until(&self.terms), floors[slot]))
        })
    }

    /// Until when a quorum of the members holds a claim.
    fn valid_until(&self, group: usize, claim: &Claim) -> Millis {
        let mut until = [0; MAX_GROUP_MEMBERS];
        self.holders(group, claim).zip(&mut until).for_each(|((holds, _), until)| *until = holds);
        until.sort_unstable_by(|a, b| b.cmp(a));
        until[self.placement.quorum() - 1]
    }

    /// Owners that are not named wrote before this time: each had a quorum, and any quorum has a member that knew of it.
    fn floor(&self, now: Millis, group: usize, claim: &Claim) -> Millis {
        let mut floors = [Millis::MAX; MAX_GROUP_MEMBERS];
        let holders = self.holders(group, claim).filter(|(until, _)| *until > now);
        holders.zip(&mut floors).for_each(|((_, told), floor)| *floor = told);
        floors.sort_unstable();
        floors[self.placement.quorum() - 1]
    }

    fn open_session(&mut self, now: Millis, key: SessionKey) -> bool {
        if !self.make_room(now) {
            return false;
        }
        let mut session = Session::new(now, self.placement.group(key));
        // It may be one that was forgotten here.
        session.marks.raise(self.forgotten);
        self.sessions.insert(key, session);
        self.resting.push_back((now + bounds::IDLE_RETENTION, key));
        true
    }

    fn begin_claim(&mut self, now: Millis, key: SessionKey) -> PrimaryReason {
        if self.repeats.len() >= bounds::CLAIMS {
            return PrimaryReason::LimitReached;
        }
        let Some(session) = self.sessions.get_mut(&key) else { return PrimaryReason::LimitReached };
        session.drop_claim();
        // Guards against a claim that is turned down because a session has had owners before: whoever claimed it then did
        // so at an earlier time, whatever this pooler knows of that.
        session.highest = now.max(session.highest + 1);
        let claim = Claim::new(now, session.highest, bounds::FIRST_RETRY_DELAY);
        self.repeats.insert((claim.repeat_at, key));
        session.claim = Some(claim);
        self.counts.claims += 1;
        self.send_claim(now, key);
        PrimaryReason::Claiming
    }

    /// Sends a claim to the members that have not recorded it under their present lease.
    fn send_claim(&mut self, now: Millis, key: SessionKey) {
        let Some(session) = self.sessions.get(&key) else { return };
        let Some(claim) = &session.claim else { return };
        let body = Body::Claim { session: key, counter: claim.counter };
        let mut to = Vec::new();
        for (slot, machine) in self.placement.members(session.group).iter().enumerate() {
            let lease = &self.leases[*machine];
            let open = claim.recorded[slot].is_none() || claim.recorded[slot] != lease.term();
            if let Some(term) = lease.term().filter(|_| open && lease.until(&self.terms) > now) {
                to.push((lease.address, term.incarnation));
            }
        }
        for (address, incarnation) in to {
            self.send(address, incarnation, &body);
        }
    }

    fn ask_formers(&mut self, key: SessionKey) {
        let Some(claim) = self.sessions.get(&key).and_then(|session| session.claim.as_ref()) else { return };
        let counter = claim.counter;
        let open: Vec<(std::net::SocketAddr, Ballot)> = claim
            .formers
            .iter()
            .filter(|former| !former.settled)
            .map(|former| (former.address, former.ballot))
            .collect();
        for (address, former) in open {
            let body = Body::Handover { session: key, counter, former };
            self.send(address, former.owner.incarnation, &body);
        }
    }

    /// The time to look at a claim again has come.
    pub(super) fn repeat(&mut self, now: Millis, key: SessionKey, at: Millis) {
        self.advance(now, key);
        let Some(session) = self.sessions.get(&key) else { return };
        let Some(claim) = session.claim.as_ref().filter(|claim| claim.repeat_at == at) else { return };
        let recorded = self.valid_until(session.group, claim) > now;
        let given_up = now >= claim.begun + bounds::CLAIM_TIMEOUT;
        if given_up && !recorded && !claim.completed {
            return self.fail(now, key);
        }
        if given_up && recorded && claim.is_settled() {
            // A member that does not answer is asked again when the session is used.
            return;
        }
        let settled = claim.is_settled();
        self.send_claim(now, key);
        if !settled {
            self.ask_formers(key);
        }
        self.schedule(now, key);
    }

    fn schedule(&mut self, now: Millis, key: SessionKey) {
        let Some(claim) = self.sessions.get_mut(&key).and_then(|session| session.claim.as_mut()) else {
            return;
        };
        let missing = claim.recorded.iter().filter(|recorded| recorded.is_some()).count()
            < self.placement.members(0).len();
        if claim.completed && claim.is_settled() && !missing {
            return;
        }
        claim.repeat_after = (2 * claim.repeat_after).min(bounds::MAX_RETRY_DELAY);
        claim.repeat_at = now + claim.repeat_after;
        let next = claim.formers.iter().filter(|former| !former.settled).map(|former| former.over_at).min();
        claim.repeat_at = next.map_or(claim.repeat_at, |over| claim.repeat_at.min(over.max(now + 1)));
        self.repeats.insert((claim.repeat_at, key));
    }

    /// Asks members that have not recorded a claim, or have lost it, where it has not been done lately.
    fn complete_members(&mut self, now: Millis, key: SessionKey) {
        let Some(session) = self.sessions.get(&key) else { return };
        let Some(claim) = &session.claim else { return };
        let members = self.placement.members(session.group).iter().enumerate();
        let open = |(slot, machine): (usize, &usize)| {
            let term = self.leases[*machine].term();
            term.is_some() && claim.recorded[slot] != term
        };
        if claim.repeat_at + bounds::CLAIM_TIMEOUT > now || !members.into_iter().any(open) {
            return;
        }
        if self.repeats.len() < bounds::CLAIMS {
            self.send_claim(now, key);
            self.schedule(now, key);
        }
    }

    /// Settles former owners whose leases are over, and notes whether a claim is complete.
    pub(super) fn advance(&mut self, now: Millis, key: SessionKey) {
        let terms = self.terms;
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let Some(claim) = session.claim.as_mut() else { return };
        if claim.settle_expired(now, &terms, &mut session.marks) {
            self.counts.expired_owners += 1;
        }
        let Some(session) = self.sessions.get(&key) else { return };
        let Some(claim) = &session.claim else { return };
        let floor = self.floor(now, session.group, claim);
        let complete = claim.is_settled() && self.valid_until(session.group, claim) > now;
        let Some(claim) = self.sessions.get_mut(&key).and_then(|session| session.claim.as_mut()) else {
            return;
        };
        // Before it is complete only those who hold the claim now count: another may own the session meanwhile.
        claim.floor = if claim.completed { claim.floor.min(floor) } else { floor };
        if !complete || (claim.completed && claim.reported == claim.formers.len()) {
            return;
        }
        self.completed(key);
    }

    fn completed(&mut self, key: SessionKey) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let group = session.group;
        session.failures = 0;
        let Some(claim) = session.claim.as_mut() else { return };
        self.counts.completed += u64::from(!claim.completed);
        claim.completed = true;
        let reports = claim.reported < claim.formers.len();
        claim.reported = claim.formers.len();
        let notice = Notice::Settled { session: key, counter: claim.counter };
        let recorded = claim.recorded;
        for (slot, machine) in self.placement.members(group).iter().enumerate() {
            if reports && recorded[slot].is_some() {
                self.leases[*machine].notify(notice);
            }
        }
    }

    /// Gives a claim up; the next one is begun when the session is asked for, after a random while.
    fn fail(&mut self, now: Millis, key: SessionKey) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        session.drop_claim();
        session.failures = (session.failures + 1).min(5);
        let longest = FIRST_BACKOFF << session.failures;
        session.retry_at = now + self.rng.u64(1..=longest);
        self.counts.failed += 1;
    }

    /// A member has answered a claim.
    pub(super) fn claim_replied(
        &mut self,
        now: Millis,
        header: &Header,
        key: SessionKey,
        counter: u64,
        verdict: &ClaimVerdict,
    ) -> Result<(), Fault> {
        let machine = self.placement.instance_index(header.from).ok_or(Fault::Sender)?;
        let Some(session) = self.sessions.get_mut(&key) else { return Ok(()) };
        let members = self.placement.members(session.group);
        let slot = members.iter().position(|member| *member == machine).ok_or(Fault::Sender)?;
        let size = members.len();
        if let ClaimVerdict::Rejected { by } = verdict {
            session.highest = session.highest.max(by.counter);
        }
        let Some(claim) = session.claim.as_mut().filter(|claim| claim.counter == counter) else {
            return Ok(());
        };
        match verdict {
            ClaimVerdict::Accepted { term, formers, floor_age } => {
                claim.recorded[slot] = Some(Term { incarnation: header.from.incarnation, number: *term });
                let floor = now.saturating_add_signed(-floor_age) + self.terms.clock_error;
                claim.floors[slot] = floor;
                self.named(now, key, formers);
            }
            ClaimVerdict::NoLease => self.leases[machine].lost(),
            ClaimVerdict::Rejected { .. } | ClaimVerdict::Full => {
                claim.refused[slot] = true;
                let refused = claim.refused.iter().filter(|refused| **refused).count();
                // A later claim that one member has recorded will have been refused by no quorum.
                let later = matches!(verdict, ClaimVerdict::Rejected { .. });
                if later || refused > size - self.placement.quorum() {
                    self.fail(now, key);
                }
            }
        }
        self.advance(now, key);
        Ok(())
    }

    /// A member has named former owners: those that are new are asked.
    fn named(&mut self, now: Millis, key: SessionKey, formers: &[FormerOwner]) {
        let me = self.channel.process_id();
        let Some(claim) = self.sessions.get_mut(&key).and_then(|session| session.claim.as_mut()) else {
            return;
        };
        let counter = claim.counter;
        let others = formers.iter().take(bounds::FORMERS).filter(|former| former.ballot.owner != me);
        let fresh: Vec<FormerOwner> =
            others.filter(|former| claim.add_former(now, former)).copied().collect();
        for former in fresh {
            let body = Body::Handover { session: key, counter, former: former.ballot };
            self.send(former.address, former.ballot.owner.incarnation, &body);
        }
    }
}
