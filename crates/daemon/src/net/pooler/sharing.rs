//! Where instances talk: writes of sessions wait until enough others know of them, reads of sessions need what all of them
//! have written, and what others say of members reaches the decisions.

use exchange::Answer;
use routing::interface::{self, Arrival, Conclusion, Consistency, MemberId, Outcome, RequestId};
use routing::Policy;

use super::Pooler;
use crate::net::coordination::{Coordination, WriteTicket};
use crate::net::event_loop::TimerKind;
use crate::net::Context;

/// What a request has to do with other instances.
#[derive(Default)]
pub(super) struct SharingState {
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

impl SharingState {
    /// Whether it has been served and is only waited for.
    pub fn is_served(&self) -> bool {
        self.answer.is_some()
    }
}

impl Pooler {
    /// A request of a session has come. Hands the arrival back where it goes on at once.
    pub(super) fn coordinate_arrival(
        &mut self,
        mut arrival: Arrival,
        consistency: Consistency,
        context: &mut Context,
    ) -> Option<Arrival> {
        let now = context.reactor.now();
        let (Some(coordination), Some(session)) = (&mut self.coordination, arrival.session.clone()) else {
            return Some(arrival);
        };
        let shared = &mut self.requests.get_mut(&arrival.id)?.sharing;
        if consistency == Consistency::Session {
            let floor = coordination.required_position(now, &session);
            (arrival.session_position, shared.floor) = (Some(floor), Some(floor));
            return Some(arrival);
        }
        let Some(ticket) = coordination.begin_write(now, &session, arrival.time_left.min(LONGEST_WRITE))
        else {
            self.turn_away(&arrival.id, context);
            return None;
        };
        shared.ticket = Some(ticket);
        if coordination.may_send(now, ticket) {
            return Some(arrival);
        }
        let until = now + coordination.max_write_hold().min(arrival.time_left * HOLD_SHARE);
        context.reactor.set_timer(until, TimerKind::Peers);
        self.awaiting_peers.push(arrival.id.clone());
        shared.held = Some(Box::new((arrival, until)));
        self.advance_sharing(context);
        None
    }

    /// An attempt of a request goes to a member.
    pub(super) fn record_attempt_target(&mut self, id: &RequestId, member: &MemberId, attempt: usize) {
        if self.coordination.is_none() {
            return;
        }
        let Some(shared) = self.requests.get_mut(id).map(|request| &mut request.sharing) else { return };
        if shared.floor.is_some_and(|floor| !self.policy.has_reached(member, floor)) {
            shared.unsure.push(attempt);
        }
    }

    /// What is concluded from the outcome of an attempt, held against what its answer must have seen by what this instance knows,
    /// and by what others have told.
    pub(super) fn assess_outcome(
        &self,
        id: &RequestId,
        (attempt, elapsed): (usize, f64),
        outcome: Outcome,
        (position, primary): (Option<f64>, Option<bool>),
    ) -> Conclusion {
        let own = self.policy.assess_answer(id, (attempt, elapsed), outcome, (position, primary));
        if self.coordination.is_none() || own == Conclusion::TooOld {
            return own;
        }
        let Some(shared) = self.requests.get(id).map(|request| &request.sharing) else { return own };
        let Some(floor) = shared.floor.filter(|_| outcome == Outcome::Ok) else { return own };
        // One that says itself that it is no primary has not seen what only that one has.
        let deposed = floor == f64::INFINITY && primary == Some(false);
        if deposed || shared.unsure.contains(&attempt) {
            return Policy::assess_freshness(primary, position, floor, elapsed);
        }
        own
    }

    /// A request has been served. Hands the value back where it may be answered at once.
    pub(super) fn coordinate_answer(
        &mut self,
        id: &RequestId,
        position: Option<f64>,
        value: Vec<u8>,
        context: &mut Context,
    ) -> Option<Vec<u8>> {
        let now = context.reactor.now();
        let Some(coordination) = &mut self.coordination else { return Some(value) };
        let shared = &mut self.requests.get_mut(id)?.sharing;
        let Some(ticket) = shared.ticket else { return Some(value) };
        // As the decisions remember it: an answer that does not tell the commit leaves no doubt that it was before now.
        let commit = position.filter(|position| *position <= now).unwrap_or(now);
        coordination.record_commit(now, ticket, commit);
        if coordination.may_answer(now, ticket) {
            return Some(value);
        }
        let until = coordination.answer_deadline(ticket);
        if until.is_finite() {
            context.reactor.set_timer(until, TimerKind::Peers);
        }
        shared.answer = Some(value);
        self.awaiting_peers.push(id.clone());
        None
    }

    /// A request is done with.
    pub(super) fn release_write_ticket(&mut self, shared: &SharingState, now: f64) {
        if let (Some(coordination), Some(ticket)) = (&mut self.coordination, shared.ticket) {
            coordination.end_write(now, ticket);
        }
    }

    /// Looks whether what waits for others may go on, hears and tells what there is, and sends it.
    pub(super) fn advance_sharing(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        let Some(coordination) = &mut self.coordination else { return };
        if let Some(peers) = coordination.peers() {
            let beats = peers.take_report_due(now);
            if beats || peers.node.take_changed() {
                self.exchange(beats, context);
            }
        }
        for id in std::mem::take(&mut self.awaiting_peers) {
            self.goes_on(id, context);
        }
        self.coordination.iter_mut().for_each(|coordination| coordination.send_pending(context));
    }

    fn goes_on(&mut self, id: RequestId, context: &mut Context) {
        let now = context.reactor.now();
        let Some(coordination) = &mut self.coordination else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ticket) = request.sharing.ticket else { return };
        if request.sharing.held.is_some() {
            if request.reply_target.is_none() {
                request.sharing.held = None;
                return self.remove_if_finished(&id, now);
            }
            if coordination.may_send(now, ticket) {
                if let Some(held) = request.sharing.held.take() {
                    let (mut arrival, _) = *held;
                    arrival.time_left -= now - request.arrived_at;
                    return self.notify_policy(interface::Event::Arrival(arrival), context);
                }
            }
            let over = request.sharing.held.as_ref().is_some_and(|held| now >= held.1);
            if over || coordination.cannot_be_sent(now, ticket) {
                request.sharing.held = None;
                return self.turn_away(&id, context);
            }
        } else if request.sharing.answer.is_some() {
            if coordination.may_answer(now, ticket) {
                if let Some(value) = request.sharing.answer.take() {
                    return self.answer(&id, Answer::Served(value), context);
                }
            }
            if now >= coordination.answer_deadline(ticket) {
                request.sharing.answer = None;
                return self.answer(&id, Answer::Failed, context);
            }
        } else {
            return;
        }
        self.awaiting_peers.push(id);
    }

    /// Refuses a write that has not been sent.
    fn turn_away(&mut self, id: &RequestId, context: &mut Context) {
        super::trace::turned_away(id, "others cannot know of the write in time");
        let backoff = self.lifecycle.jittered_backoff(self.retry_after);
        self.answer(id, Answer::Refused(backoff), context);
    }

    /// Tells the others how members look, and takes in what they say.
    fn exchange(&mut self, tells: bool, context: &mut Context) {
        let now = context.reactor.now();
        let found = self.policy.observations();
        let Some(peers) = self.coordination.as_mut().and_then(Coordination::peers) else { return };
        if tells {
            peers.report_observations(now, &found);
            let generation = self.changes.as_ref().map_or(0, |c| c.transaction.current().number);
            peers.node.report_versions(
                now,
                self.discovery.list_version(),
                generation,
                env!("CARGO_PKG_VERSION"),
            );
        }
        let (heard, instances) = (peers.peer_reports(now, &found), peers.node.reachable_instances() as u32);
        let mut actions = Vec::new();
        self.policy.apply_peer_reports(now, &heard, instances, &mut actions);
        self.carry_out(actions, context);
    }

    /// The list tells something of members.
    pub(super) fn share_list(&mut self, listings: &[listing::Listing], context: &mut Context) {
        let now = context.reactor.now();
        let version = self.discovery.list_version();
        let source = source_of(self.registry.is_some(), self.discovery.address());
        if let Some(peers) = self.coordination.as_mut().and_then(Coordination::peers) {
            let members = listings.iter().map(|listing| (&*listing.name, listing.started_at, listing.phase));
            peers.report_list(now, (source, version), members);
        }
    }

    /// This instance ends.
    pub(super) fn announce_shutdown(&mut self, context: &Context) {
        if let Some(coordination) = &mut self.coordination {
            coordination.announce_shutdown(|| context.reactor.now());
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
