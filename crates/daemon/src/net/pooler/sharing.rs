//! Coordination with other instances: a session's writes wait until enough instances know of them, a
//! session's reads must see what the session has written through any instance, and peers' reports about
//! members are passed to the policy.

use std::sync::Arc;

use exchange::Answer;
use routing::interface::{self, Arrival, Consistency, RequestId};

use super::Pooler;
use crate::net::coordination::{Coordination, WriteTicket};
use crate::net::event_loop::TimerKind;
use crate::net::Context;

/// State of a request's coordination with other instances.
#[derive(Default)]
pub(super) struct SharingState {
    /// Ticket of a session's write that was announced to other instances.
    ticket: Option<WriteTicket>,
    /// Arrival of a write that may not be sent yet, and when it is refused if it still waits (Unix seconds).
    held_arrival: Option<Box<(Arrival, f64)>>,
    /// Result of a write that was served but may not be answered yet.
    held_answer: Option<Vec<u8>>,
    /// The session of a read whose requirement other instances know, and when they were asked (Unix seconds).
    read_session: Option<(Arc<str>, f64)>,
}

impl SharingState {
    /// Returns true if the request has been served and its answer is being held.
    pub fn is_served(&self) -> bool {
        self.held_answer.is_some()
    }
}

impl Pooler {
    /// Handles a request that has arrived. Returns the arrival if the request may proceed at once.
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
        let sharing = &mut self.requests.get_mut(&arrival.id)?.sharing;
        if consistency == Consistency::Session {
            arrival.session_position = Some(coordination.required_position(now, &session));
            sharing.read_session = Some((session, now));
            return Some(arrival);
        }
        let Some(ticket) = coordination.begin_write(now, &session, arrival.time_left.min(MAX_WRITE_TIME))
        else {
            self.refuse_unsent(&arrival.id, context);
            return None;
        };
        sharing.ticket = Some(ticket);
        if coordination.may_send(now, ticket) {
            return Some(arrival);
        }
        let refuse_at = now + coordination.max_write_hold().min(arrival.time_left * HOLD_SHARE);
        context.reactor.set_timer(refuse_at, TimerKind::Peers);
        self.awaiting_peers.push(arrival.id.clone());
        sharing.held_arrival = Some(Box::new((arrival, refuse_at)));
        self.advance_sharing(context);
        None
    }

    /// Asks again what a session's read must reflect, if time has passed since: the session may have written through
    /// another instance meanwhile.
    pub(super) fn refresh_session_position(&mut self, id: &RequestId, now: f64) {
        let Some(coordination) = &mut self.coordination else { return };
        let sharing = self.requests.get_mut(id).map(|request| &mut request.sharing);
        let Some((session, asked_at)) = sharing.and_then(|sharing| sharing.read_session.as_mut()) else {
            return;
        };
        if now - *asked_at < SESSION_POSITION_VALIDITY {
            return;
        }
        *asked_at = now;
        let position = coordination.required_position(now, session);
        self.policy.raise_session_position(id, position);
    }

    /// Handles a request that has been served. Returns the value if the request may be answered at once.
    pub(super) fn coordinate_answer(
        &mut self,
        id: &RequestId,
        position: Option<f64>,
        value: Vec<u8>,
        context: &mut Context,
    ) -> Option<Vec<u8>> {
        let now = context.reactor.now();
        let Some(coordination) = &mut self.coordination else { return Some(value) };
        let sharing = &mut self.requests.get_mut(id)?.sharing;
        let Some(ticket) = sharing.ticket else { return Some(value) };
        // Consistent with the policy: if the answer contains no commit position, the commit happened at the
        // latest now.
        let commit = position.filter(|position| *position <= now).unwrap_or(now);
        coordination.record_commit(now, ticket, commit);
        if coordination.may_answer(now, ticket) {
            return Some(value);
        }
        let deadline = coordination.answer_deadline(ticket);
        if deadline.is_finite() {
            context.reactor.set_timer(deadline, TimerKind::Peers);
        }
        sharing.held_answer = Some(value);
        self.awaiting_peers.push(id.clone());
        None
    }

    /// Releases the write ticket of a request that has ended.
    pub(super) fn release_write_ticket(&mut self, sharing: &SharingState, now: f64) {
        if let (Some(coordination), Some(ticket)) = (&mut self.coordination, sharing.ticket) {
            coordination.end_write(now, ticket);
        }
    }

    /// Exchanges observations with peers if that is due, re-evaluates the requests that wait for other
    /// instances, and sends pending messages to peers.
    pub(super) fn advance_sharing(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        let Some(coordination) = &mut self.coordination else { return };
        if let Some(peers) = coordination.peers() {
            let report_due = peers.take_report_due(now);
            if report_due || peers.node.take_changed() {
                self.exchange_observations(report_due, context);
            }
        }
        for id in std::mem::take(&mut self.awaiting_peers) {
            self.reevaluate_waiting(id, context);
        }
        self.coordination.iter_mut().for_each(|coordination| coordination.send_pending(context));
    }

    /// Sends, answers or refuses a request that waits for other instances, or lets it wait further.
    fn reevaluate_waiting(&mut self, id: RequestId, context: &mut Context) {
        let now = context.reactor.now();
        let Some(coordination) = &mut self.coordination else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ticket) = request.sharing.ticket else { return };
        if request.sharing.held_arrival.is_some() {
            if request.reply_target.is_none() {
                request.sharing.held_arrival = None;
                return self.remove_if_finished(&id, now);
            }
            if coordination.may_send(now, ticket) {
                if let Some(held_arrival) = request.sharing.held_arrival.take() {
                    let (mut arrival, _) = *held_arrival;
                    arrival.time_left -= now - request.arrived_at;
                    return self.notify_policy(interface::Event::Arrival(arrival), context);
                }
            }
            let expired = request.sharing.held_arrival.as_ref().is_some_and(|held| now >= held.1);
            if expired || coordination.cannot_be_sent(now, ticket) {
                request.sharing.held_arrival = None;
                return self.refuse_unsent(&id, context);
            }
        } else if request.sharing.held_answer.is_some() {
            if coordination.may_answer(now, ticket) {
                if let Some(value) = request.sharing.held_answer.take() {
                    return self.answer(&id, Answer::Served(value), context);
                }
            }
            if now >= coordination.answer_deadline(ticket) {
                request.sharing.held_answer = None;
                return self.answer(&id, Answer::Failed, context);
            }
        } else {
            return;
        }
        self.awaiting_peers.push(id);
    }

    /// Refuses a write that has not been sent.
    fn refuse_unsent(&mut self, id: &RequestId, context: &mut Context) {
        super::trace::refused_unsent(id, "the write could not be announced to other instances in time");
        let backoff = self.lifecycle.jittered_backoff(self.retry_after);
        self.answer(id, Answer::Refused(backoff), context);
    }

    /// Reports this instance's observations of members to its peers if `report` is true, and passes the
    /// peers' reports to the policy.
    fn exchange_observations(&mut self, report: bool, context: &mut Context) {
        let now = context.reactor.now();
        let observations = self.policy.observations();
        let Some(peers) = self.coordination.as_mut().and_then(Coordination::peers) else { return };
        if report {
            peers.report_observations(now, &observations);
            let generation = self.changes.as_ref().map_or(0, |c| c.transaction.current().number);
            peers.node.report_versions(
                now,
                self.discovery.list_version(),
                generation,
                env!("CARGO_PKG_VERSION"),
            );
        }
        let reports = peers.peer_reports(now, &observations);
        let instances = peers.node.reachable_instances() as u32;
        let mut actions = Vec::new();
        self.policy.apply_peer_reports(now, &reports, instances, &mut actions);
        self.carry_out(actions, context);
    }

    /// Reports an update of the list to peers.
    pub(super) fn share_list(&mut self, listings: &[listing::Listing], context: &mut Context) {
        let now = context.reactor.now();
        let version = self.discovery.list_version();
        let source = list_source_id(self.registry.is_some(), self.discovery.address());
        if let Some(peers) = self.coordination.as_mut().and_then(Coordination::peers) {
            let members = listings.iter().map(|listing| (&*listing.name, listing.started_at, listing.phase));
            peers.report_list(now, (source, version), members);
        }
    }

    /// Announces the shutdown of this instance to its peers.
    pub(super) fn announce_shutdown(&mut self, context: &Context) {
        if let Some(coordination) = &mut self.coordination {
            coordination.announce_shutdown(|| context.reactor.now());
        }
    }
}

/// What other instances have said of a session counts for this long as what they say now (seconds): about the time of
/// one step of the event loop.
const SESSION_POSITION_VALIDITY: f64 = 0.001;
/// A write waits for permission to be sent for at most this share of its remaining time. The policy likewise
/// holds unsent requests for a share of their time.
const HOLD_SHARE: f64 = 0.4;
/// Upper bound for the time of a write (seconds). Guards the arithmetic against requests without a time
/// limit.
const MAX_WRITE_TIME: f64 = 86_400.0;

/// Identifies the source of a list among instances: versions of lists from different sources cannot be
/// compared.
fn list_source_id(registry: bool, discovery: std::net::SocketAddr) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    (registry, discovery).hash(&mut hasher);
    hasher.finish()
}
