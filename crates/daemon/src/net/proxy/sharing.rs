//! Where instances talk: writes of sessions wait until enough others know of them, reads of sessions need what all of them
//! have written, and what others say of members reaches the decisions.

use exchange::Answer;
use routing::interface::{self, Arrival, Conclusion, Consistency, MemberId, Outcome, RequestId};
use routing::Policy;

use super::Proxy;
use crate::net::coordination::{Coordination, WriteTicket};
use crate::net::event_loop::Due;
use crate::net::Context;

/// What a request has to do with other instances.
#[derive(Default)]
pub(super) struct Shared {
    /// A write of a session, that others know to be under way.
    ticket: Option<WriteTicket>,
    /// It waits for leave to be sent, until then (seconds).
    held: Option<Box<(Arrival, f64)>>,
    /// It has been served, and waits for leave to be answered.
    answer: Option<Vec<u8>>,
    /// The position that its answer must have seen.
    floor: Option<f64>,
    /// Attempts that went to members not known to have come so far: their answers are looked at.
    unsure: Vec<usize>,
}

impl Shared {
    /// Whether it has been served and is only waited for.
    pub fn is_served(&self) -> bool {
        self.answer.is_some()
    }
}

impl Proxy {
    /// A request of a session has come. Hands the arrival back where it goes on at once.
    pub(super) fn share(
        &mut self,
        mut arrival: Arrival,
        consistency: Consistency,
        context: &mut Context,
    ) -> Option<Arrival> {
        let now = context.reactor.now();
        let (Some(coordination), Some(session)) = (&mut self.coordination, arrival.session.clone()) else {
            return Some(arrival);
        };
        let shared = &mut self.requests.get_mut(&arrival.id)?.shared;
        if consistency == Consistency::Session {
            let floor = coordination.need(now, &session);
            (arrival.own, shared.floor) = (Some(floor), Some(floor));
            return Some(arrival);
        }
        let Some(ticket) = coordination.write_begins(now, &session, arrival.left.min(LONGEST_WRITE)) else {
            self.turn_away(&arrival.id, context);
            return None;
        };
        shared.ticket = Some(ticket);
        if coordination.may_send(now, ticket) {
            return Some(arrival);
        }
        let until = now + coordination.hold().min(arrival.left * HOLD_SHARE);
        context.reactor.timer(until, Due::Peers);
        self.sharing.push(arrival.id.clone());
        shared.held = Some(Box::new((arrival, until)));
        self.go_on(context);
        None
    }

    /// An attempt of a request goes to a member.
    pub(super) fn sends(&mut self, id: &RequestId, member: &MemberId, attempt: usize) {
        if self.coordination.is_none() {
            return;
        }
        let Some(shared) = self.requests.get_mut(id).map(|request| &mut request.shared) else { return };
        if shared.floor.is_some_and(|floor| !self.policy.reaches(member, floor)) {
            shared.unsure.push(attempt);
        }
    }

    /// What is concluded from the outcome of an attempt, held against what its answer must have seen by what this instance knows,
    /// and by what others have told.
    pub(super) fn conclusion(
        &self,
        id: &RequestId,
        (attempt, elapsed): (usize, f64),
        outcome: Outcome,
        (position, primary): (Option<f64>, Option<bool>),
    ) -> Conclusion {
        let own = self.policy.checked(id, (attempt, elapsed), outcome, (position, primary));
        if self.coordination.is_none() || own == Conclusion::TooOld {
            return own;
        }
        let Some(shared) = self.requests.get(id).map(|request| &request.shared) else { return own };
        let Some(floor) = shared.floor.filter(|_| outcome == Outcome::Ok) else { return own };
        // One that says itself that it is no primary has not seen what only that one has.
        let deposed = floor == f64::INFINITY && primary == Some(false);
        if deposed || shared.unsure.contains(&attempt) {
            return Policy::looked_at(primary, position, floor, elapsed);
        }
        own
    }

    /// A request has been served. Hands the value back where it may be answered at once.
    pub(super) fn served(
        &mut self,
        id: &RequestId,
        position: Option<f64>,
        value: Vec<u8>,
        context: &mut Context,
    ) -> Option<Vec<u8>> {
        let now = context.reactor.now();
        let Some(coordination) = &mut self.coordination else { return Some(value) };
        let shared = &mut self.requests.get_mut(id)?.shared;
        let Some(ticket) = shared.ticket else { return Some(value) };
        // As the decisions remember it: an answer that does not tell the commit leaves no doubt that it was before now.
        let commit = position.filter(|position| *position <= now).unwrap_or(now);
        coordination.write_committed(now, ticket, commit);
        if coordination.may_answer(now, ticket) {
            return Some(value);
        }
        let until = coordination.answerable_until(ticket);
        if until.is_finite() {
            context.reactor.timer(until, Due::Peers);
        }
        shared.answer = Some(value);
        self.sharing.push(id.clone());
        None
    }

    /// A request is done with.
    pub(super) fn unshare(&mut self, shared: &Shared, now: f64) {
        if let (Some(coordination), Some(ticket)) = (&mut self.coordination, shared.ticket) {
            coordination.forget(now, ticket);
        }
    }

    /// Looks whether what waits for others may go on, hears and tells what there is, and sends it.
    pub(super) fn go_on(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        let Some(coordination) = &mut self.coordination else { return };
        if let Some(peers) = coordination.peers() {
            let beats = peers.beats(now);
            if beats || peers.node.take_changed() {
                self.exchange(beats, context);
            }
        }
        for id in std::mem::take(&mut self.sharing) {
            self.goes_on(id, context);
        }
        self.coordination.iter_mut().for_each(|coordination| coordination.carry_out(context));
    }

    fn goes_on(&mut self, id: RequestId, context: &mut Context) {
        let now = context.reactor.now();
        let Some(coordination) = &mut self.coordination else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ticket) = request.shared.ticket else { return };
        if request.shared.held.is_some() {
            if request.client.is_none() {
                request.shared.held = None;
                return self.forget(&id, now);
            }
            if coordination.may_send(now, ticket) {
                if let Some(held) = request.shared.held.take() {
                    let (mut arrival, _) = *held;
                    arrival.left -= now - request.taken;
                    return self.tell(interface::Event::Arrival(arrival), context);
                }
            }
            let over = request.shared.held.as_ref().is_some_and(|held| now >= held.1);
            if over || coordination.is_hopeless(now, ticket) {
                request.shared.held = None;
                return self.turn_away(&id, context);
            }
        } else if request.shared.answer.is_some() {
            if coordination.may_answer(now, ticket) {
                if let Some(value) = request.shared.answer.take() {
                    return self.answer(&id, Answer::Served(value), context);
                }
            }
            if now >= coordination.answerable_until(ticket) {
                request.shared.answer = None;
                return self.answer(&id, Answer::Failed, context);
            }
        } else {
            return;
        }
        self.sharing.push(id);
    }

    /// Refuses a write that has not been sent.
    fn turn_away(&mut self, id: &RequestId, context: &mut Context) {
        super::trace::turned_away(id, "others cannot know of the write in time");
        let backoff = self.life.away(self.retry_after);
        self.answer(id, Answer::Refused(backoff), context);
    }

    /// Tells the others how members look, and takes in what they say.
    fn exchange(&mut self, tells: bool, context: &mut Context) {
        let now = context.reactor.now();
        let found = self.policy.observations();
        let Some(peers) = self.coordination.as_mut().and_then(Coordination::peers) else { return };
        if tells {
            peers.tell(now, &found);
            let generation = self.changes.as_ref().map_or(0, |c| c.machine.current().number);
            peers.node.report_versions(now, self.discovery.index(), generation, env!("CARGO_PKG_VERSION"));
        }
        let (heard, instances) = (peers.heard(now, &found), peers.node.reachable_instances() as u32);
        let mut actions = Vec::new();
        self.policy.take_peer_reports(now, &heard, instances, &mut actions);
        self.carry_out(actions, context);
    }

    /// The list tells something of members.
    pub(super) fn share_list(&mut self, listings: &[listing::Listing], context: &mut Context) {
        let now = context.reactor.now();
        let version = self.discovery.index();
        let source = source_of(self.registry.is_some(), self.discovery.address());
        if let Some(peers) = self.coordination.as_mut().and_then(Coordination::peers) {
            let members = listings.iter().map(|listing| (&*listing.name, listing.since, listing.phase));
            peers.list(now, (source, version), members);
        }
    }

    /// This instance ends.
    pub(super) fn part(&mut self, context: &Context) {
        if let Some(coordination) = &mut self.coordination {
            coordination.farewell(|| context.reactor.now());
        }
    }
}

/// Share of a request's time for which it waits for leave to be sent, as the decisions hold one that has reached nobody.
const HOLD_SHARE: f64 = 0.4;
/// Longer than any write may take (seconds): guards the arithmetic against a request without a time of its own.
const LONGEST_WRITE: f64 = 86_400.0;

/// Names a list among instances: versions of one say nothing of another's.
fn source_of(registry: bool, discovery: std::net::SocketAddr) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    (registry, discovery).hash(&mut hasher);
    hasher.finish()
}
