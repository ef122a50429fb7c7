//! Claims of sessions: starting, retransmitting, completing and giving them up.

use super::{Client, PrimaryReason};
use crate::channel::Fault;
use crate::identity::{Ballot, SessionKey};
use crate::lease::Term;
use crate::message::{Body, ClaimVerdict, FormerOwner, Header, Notice};
use crate::placement::MAX_GROUP_MEMBERS;
use crate::session::{Claim, Session};
use crate::timing::{bounds, Millis};

/// A failed claim is started again after a random part of this time (ms), doubled with each failure.
const FIRST_BACKOFF: Millis = 50;

impl Client {
    /// Checks that a session is owned; claims it if it is not.
    pub(super) fn ensure_owned(&mut self, now: Millis, key: SessionKey) -> Result<(), PrimaryReason> {
        if self.has_left {
            return Err(PrimaryReason::Left);
        }
        if !self.sessions.contains_key(&key) && !self.open_session(now, key) {
            return Err(PrimaryReason::LimitReached);
        }
        self.advance(now, key);
        let Some(session) = self.sessions.get_mut(&key) else { return Err(PrimaryReason::LimitReached) };
        session.used_at = now;
        let group = session.group;
        let lapsed = session.claim.as_ref().is_some_and(|claim| claim.completed);
        let Some(session) = self.sessions.get(&key) else { return Err(PrimaryReason::LimitReached) };
        if self.owns(now, session) {
            self.resend_to_missing_members(now, key);
            return Ok(());
        }
        if !self.has_quorum(now, group) {
            return Err(PrimaryReason::NoQuorum);
        }
        match &session.claim {
            // A late reply has named another former owner.
            Some(claim) if !claim.all_resolved() => Err(PrimaryReason::FormerOwner),
            Some(_) if !lapsed => Err(PrimaryReason::Claiming),
            None if now < session.retry_at => Err(PrimaryReason::Claiming),
            _ => Err(self.start_claim(now, key)),
        }
    }

    /// Returns true if a session that is not owned yet is certain to be owned before `deadline`.
    pub(super) fn will_own_by(&self, now: Millis, key: SessionKey, deadline: Millis) -> bool {
        let Some(session) = self.sessions.get(&key) else { return false };
        let Some(claim) = &session.claim else { return false };
        self.valid_until(session.group, claim) > now && claim.resolved_at_latest() < deadline
    }

    /// Returns true if this pooler owns a session.
    pub(super) fn owns(&self, now: Millis, session: &Session) -> bool {
        session.claim.as_ref().is_some_and(|claim| {
            claim.completed && claim.all_resolved() && self.valid_until(session.group, claim) > now
        })
    }

    /// Returns true if leases at a quorum of a group's members are valid.
    pub(super) fn has_quorum(&self, now: Millis, group: usize) -> bool {
        let members = self.placement.members(group).iter();
        let valid = members.filter(|instance| self.leases[**instance].ends_at(&self.timing) > now);
        valid.count() >= self.placement.quorum()
    }

    /// Returns the members of a group that hold a claim under their present lease: the end of the lease and
    /// the member's floor.
    fn holders(&self, group: usize, claim: &Claim) -> impl Iterator<Item = (Millis, Millis)> + '_ {
        let (recorded_under, floors) = (claim.recorded_under, claim.floors);
        let members = self.placement.members(group).iter().enumerate();
        members.filter_map(move |(slot, instance)| {
            let lease = &self.leases[*instance];
            let holds = recorded_under[slot].is_some() && recorded_under[slot] == lease.term();
            holds.then(|| (lease.ends_at(&self.timing), floors[slot]))
        })
    }

    /// Until when a quorum of the members holds a claim.
    fn valid_until(&self, group: usize, claim: &Claim) -> Millis {
        let mut until = [0; MAX_GROUP_MEMBERS];
        self.holders(group, claim).zip(&mut until).for_each(|((holds, _), until)| *until = holds);
        until.sort_unstable_by(|a, b| b.cmp(a));
        until[self.placement.quorum() - 1]
    }

    /// Owners that no member has named wrote before this time: each owner had a quorum, and any two quorums
    /// share a member, which knew of that owner.
    fn floor(&self, now: Millis, group: usize, claim: &Claim) -> Millis {
        let mut floors = [Millis::MAX; MAX_GROUP_MEMBERS];
        let holders = self.holders(group, claim).filter(|(until, _)| *until > now);
        holders.zip(&mut floors).for_each(|((_, member_floor), floor)| *floor = member_floor);
        floors.sort_unstable();
        floors[self.placement.quorum() - 1]
    }

    fn open_session(&mut self, now: Millis, key: SessionKey) -> bool {
        if !self.make_room(now) {
            return false;
        }
        let mut session = Session::new(now, self.placement.group(key));
        // The session may be one that was released earlier.
        session.watermark.raise(self.released_position);
        self.sessions.insert(key, session);
        self.idle_checks.push_back((now + bounds::IDLE_RETENTION, key));
        true
    }

    fn start_claim(&mut self, now: Millis, key: SessionKey) -> PrimaryReason {
        if self.claim_timers.len() >= bounds::CLAIMS {
            return PrimaryReason::LimitReached;
        }
        let Some(session) = self.sessions.get_mut(&key) else { return PrimaryReason::LimitReached };
        session.drop_claim();
        // Guards against a claim that is rejected because the session had other owners before: their counters
        // came from an earlier time, so a counter of at least the present time is higher, even if this pooler
        // does not know theirs.
        session.highest_counter = now.max(session.highest_counter + 1);
        let claim = Claim::new(now, session.highest_counter, bounds::FIRST_RETRY_DELAY);
        self.claim_timers.insert((claim.resend_at, key));
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
        for (slot, instance) in self.placement.members(session.group).iter().enumerate() {
            let lease = &self.leases[*instance];
            let unrecorded =
                claim.recorded_under[slot].is_none() || claim.recorded_under[slot] != lease.term();
            if let Some(term) = lease.term().filter(|_| unrecorded && lease.ends_at(&self.timing) > now) {
                to.push((lease.address, term.incarnation));
            }
        }
        for (address, incarnation) in to {
            self.send(address, incarnation, &body);
        }
    }

    fn request_handovers(&mut self, key: SessionKey) {
        let Some(claim) = self.sessions.get(&key).and_then(|session| session.claim.as_ref()) else { return };
        let counter = claim.counter;
        let unresolved: Vec<(std::net::SocketAddr, Ballot)> = claim
            .former_owners
            .iter()
            .filter(|former| !former.resolved)
            .map(|former| (former.address, former.ballot))
            .collect();
        for (address, former) in unresolved {
            let body = Body::Handover { session: key, counter, former };
            self.send(address, former.owner.incarnation, &body);
        }
    }

    /// Handles the retransmission timer of a claim.
    pub(super) fn resend(&mut self, now: Millis, key: SessionKey, at: Millis) {
        self.advance(now, key);
        let Some(session) = self.sessions.get(&key) else { return };
        let Some(claim) = session.claim.as_ref().filter(|claim| claim.resend_at == at) else { return };
        let is_recorded = self.valid_until(session.group, claim) > now;
        let given_up = now >= claim.started_at + bounds::CLAIM_TIMEOUT;
        if given_up && !is_recorded && !claim.completed {
            return self.fail_claim(now, key);
        }
        if given_up && is_recorded && claim.all_resolved() {
            // A member that does not answer is asked again when the session is used.
            return;
        }
        let resolved = claim.all_resolved();
        self.send_claim(now, key);
        if !resolved {
            self.request_handovers(key);
        }
        self.schedule_resend(now, key);
    }

    fn schedule_resend(&mut self, now: Millis, key: SessionKey) {
        let Some(claim) = self.sessions.get_mut(&key).and_then(|session| session.claim.as_mut()) else {
            return;
        };
        let missing = claim.recorded_under.iter().filter(|term| term.is_some()).count()
            < self.placement.members(0).len();
        if claim.completed && claim.all_resolved() && !missing {
            return;
        }
        claim.resend_delay = (2 * claim.resend_delay).min(bounds::MAX_RETRY_DELAY);
        claim.resend_at = now + claim.resend_delay;
        let next_end = claim
            .former_owners
            .iter()
            .filter(|former| !former.resolved)
            .map(|former| former.lease_ends_at)
            .min();
        claim.resend_at = next_end.map_or(claim.resend_at, |end| claim.resend_at.min(end.max(now + 1)));
        self.claim_timers.insert((claim.resend_at, key));
    }

    /// Sends the claim again to members that have not recorded it, or have lost it, unless that was done
    /// recently.
    fn resend_to_missing_members(&mut self, now: Millis, key: SessionKey) {
        let Some(session) = self.sessions.get(&key) else { return };
        let Some(claim) = &session.claim else { return };
        let members = self.placement.members(session.group).iter().enumerate();
        let unrecorded = |(slot, instance): (usize, &usize)| {
            let term = self.leases[*instance].term();
            term.is_some() && claim.recorded_under[slot] != term
        };
        if claim.resend_at + bounds::CLAIM_TIMEOUT > now || !members.into_iter().any(unrecorded) {
            return;
        }
        if self.claim_timers.len() < bounds::CLAIMS {
            self.send_claim(now, key);
            self.schedule_resend(now, key);
        }
    }

    /// Resolves former owners whose leases are over, and updates whether the claim is complete.
    pub(super) fn advance(&mut self, now: Millis, key: SessionKey) {
        let timing = self.timing;
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let Some(claim) = session.claim.as_mut() else { return };
        if claim.resolve_expired(now, &timing, &mut session.watermark) {
            self.counts.expired_owners += 1;
        }
        let Some(session) = self.sessions.get(&key) else { return };
        let Some(claim) = &session.claim else { return };
        let floor = self.floor(now, session.group, claim);
        let complete = claim.all_resolved() && self.valid_until(session.group, claim) > now;
        let Some(claim) = self.sessions.get_mut(&key).and_then(|session| session.claim.as_mut()) else {
            return;
        };
        // Until the claim is complete, only the members that hold it now count: another pooler may have owned
        // the session meanwhile.
        claim.floor = if claim.completed { claim.floor.min(floor) } else { floor };
        if !complete || (claim.completed && claim.reported_count == claim.former_owners.len()) {
            return;
        }
        self.mark_completed(key);
    }

    fn mark_completed(&mut self, key: SessionKey) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let group = session.group;
        session.failures = 0;
        let Some(claim) = session.claim.as_mut() else { return };
        self.counts.completed += u64::from(!claim.completed);
        claim.completed = true;
        let reports = claim.reported_count < claim.former_owners.len();
        claim.reported_count = claim.former_owners.len();
        let notice = Notice::ClaimCompleted { session: key, counter: claim.counter };
        let recorded_under = claim.recorded_under;
        for (slot, instance) in self.placement.members(group).iter().enumerate() {
            if reports && recorded_under[slot].is_some() {
                self.leases[*instance].notify(notice);
            }
        }
    }

    /// Abandons a claim; after a random delay, the next use of the session starts a new one.
    fn fail_claim(&mut self, now: Millis, key: SessionKey) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        session.drop_claim();
        session.failures = (session.failures + 1).min(5);
        let max_backoff = FIRST_BACKOFF << session.failures;
        session.retry_at = now + self.rng.u64(1..=max_backoff);
        self.counts.failed += 1;
    }

    /// Handles a member's reply to a claim.
    pub(super) fn handle_claim_reply(
        &mut self,
        now: Millis,
        header: &Header,
        key: SessionKey,
        counter: u64,
        verdict: &ClaimVerdict,
    ) -> Result<(), Fault> {
        let instance = self.placement.instance_index(header.from).ok_or(Fault::Sender)?;
        let Some(session) = self.sessions.get_mut(&key) else { return Ok(()) };
        let members = self.placement.members(session.group);
        let slot = members.iter().position(|member| *member == instance).ok_or(Fault::Sender)?;
        let size = members.len();
        if let ClaimVerdict::Rejected { by } = verdict {
            session.highest_counter = session.highest_counter.max(by.counter);
        }
        let Some(claim) = session.claim.as_mut().filter(|claim| claim.counter == counter) else {
            return Ok(());
        };
        match verdict {
            ClaimVerdict::Accepted { term, former_owners, floor_age } => {
                claim.recorded_under[slot] =
                    Some(Term { incarnation: header.from.incarnation, number: *term });
                let floor = now.saturating_add_signed(-floor_age) + self.timing.clock_error;
                claim.floors[slot] = floor;
                self.add_former_owners(now, key, former_owners);
            }
            ClaimVerdict::NoLease => self.leases[instance].mark_lost(),
            ClaimVerdict::Rejected { .. } | ClaimVerdict::Full => {
                claim.refused[slot] = true;
                let refused = claim.refused.iter().filter(|refused| **refused).count();
                // A later claim outranks this one at every member, so a single rejection is enough.
                let later = matches!(verdict, ClaimVerdict::Rejected { .. });
                if later || refused > size - self.placement.quorum() {
                    self.fail_claim(now, key);
                }
            }
        }
        self.advance(now, key);
        Ok(())
    }

    /// Adds the former owners that a member named, and asks new ones for a handover.
    fn add_former_owners(&mut self, now: Millis, key: SessionKey, former_owners: &[FormerOwner]) {
        let me = self.channel.process_id();
        let Some(claim) = self.sessions.get_mut(&key).and_then(|session| session.claim.as_mut()) else {
            return;
        };
        let counter = claim.counter;
        let others =
            former_owners.iter().take(bounds::FORMER_OWNERS).filter(|former| former.ballot.owner != me);
        let new_owners: Vec<FormerOwner> =
            others.filter(|former| claim.add_former(now, former)).copied().collect();
        for former in new_owners {
            let body = Body::Handover { session: key, counter, former: former.ballot };
            self.send(former.address, former.ballot.owner.incarnation, &body);
        }
    }
}
