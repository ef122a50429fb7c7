//! The ends of attempts, the final answers of requests, and clients that leave.

use exchange::Answer;
use routing::interface::{self, AttemptEnded, Conclusion, Evidence, Outcome, RequestId};
use transaction::RequestFailure;

use super::{trace, Pooler, ReplyTarget};
use crate::counters::count_outcome;
use crate::net::event_loop::Slot;
use crate::net::sessions::Detachment;
use crate::net::{Context, Event, ServerTask, TaskResult};

impl Pooler {
    /// A session has been detached from its server, or could not be attached to it.
    pub(super) fn handle_detachment(&mut self, detachment: Detachment, context: &mut Context) {
        let Detachment { id, attempt, member, outcome, elapsed, primary } = detachment;
        count_outcome(&mut context.counters.attempt_outcomes, outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        // The end of a withdrawn attempt may be reported after the next attempt was begun.
        request.attempts_in_flight.retain(|(number, _)| *number != attempt);
        let conclusion = Conclusion::AsReceived;
        request.history.end(attempt, Evidence::of(outcome, conclusion));
        let finished = request.reply_target.is_none();
        if finished {
            if let Some(changes) = &mut self.changes {
                let failure = (outcome != Outcome::Ok).then_some(RequestFailure::Failed);
                let now = context.reactor.now();
                changes.record_request(now, (request.class_id, request.group), false, failure, elapsed);
            }
        }
        let report = interface::Report::default();
        let attempt_ended = AttemptEnded {
            id: id.clone(),
            member,
            attempt,
            outcome,
            conclusion,
            finished,
            elapsed,
            position: None,
            primary,
            report,
        };
        let actions = self.decide(interface::Event::AttemptEnded(attempt_ended), context);
        self.remove_if_finished(&id, context.reactor.now());
        self.carry_out(actions, context);
    }

    /// A client has left: its requests need no answers any more, and their attempts are cancelled.
    pub(super) fn handle_client_left(&mut self, client: Slot, context: &mut Context) {
        for id in self.in_flight.take_all(client) {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            context.counters.requests_abandoned += 1;
            request.reply_target = None;
            request.client_left = true;
            request.history.close();
            self.notify_policy(interface::Event::ClientLeft { id: id.clone() }, context);
            self.cancel_attempts(&id, context);
            self.remove_if_finished(&id, context.reactor.now());
        }
    }

    /// Sends the final answer of a request, unless it has been answered or its client has left.
    pub(super) fn answer(&mut self, id: &RequestId, answer: Answer, context: &mut Context) {
        let answer = self.permitted_answer(id, answer, context);
        let Some(request) = self.requests.get_mut(id) else { return };
        request.history.close();
        if let Some(client) = request.reply_target.take() {
            if let Some(changes) = &mut self.changes {
                let failure = match answer {
                    Answer::Served(_) => None,
                    Answer::Refused(_) => Some(RequestFailure::Refused),
                    Answer::Failed | Answer::Invalid(_) => Some(RequestFailure::Failed),
                };
                let now = context.reactor.now();
                changes.record_request(
                    now,
                    (request.class_id, request.group),
                    request.repeat,
                    failure,
                    now - request.arrived_at,
                );
            }
            match client {
                ReplyTarget::Client(client) => {
                    if let Some((command, released)) = self.in_flight.finish(client, id) {
                        let released = released.into_iter().map(|id| Event::RequestReleased(client, id));
                        context.events.extend(released);
                        self.clients.answer(client, command, answer, context);
                    }
                }
                ReplyTarget::Session(slot) => {
                    self.sessions.iter_mut().for_each(|sessions| sessions.refuse(slot, &answer, context));
                }
            }
        }
        self.remove_if_finished(id, context.reactor.now());
    }

    /// Cancels the attempts in flight of a request.
    pub(super) fn cancel_attempts(&mut self, id: &RequestId, context: &mut Context) {
        let attempts =
            self.requests.get(id).map(|request| request.attempts_in_flight.clone()).unwrap_or_default();
        for (attempt, slot) in attempts {
            slot.into_iter().for_each(|slot| self.servers.cancel(slot, id, attempt, context));
        }
    }

    /// Removes a request that has neither a pending reply nor an attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: &RequestId, now: f64) {
        if self
            .requests
            .get(id)
            .is_some_and(|request| request.reply_target.is_none() && request.attempts_in_flight.is_empty())
        {
            if let Some(request) = self.requests.remove(id) {
                if request.client_left && request.history.may_have_had_an_effect() {
                    self.departed.insert(id, now);
                }
                self.release_write_ticket(&request.sharing, now);
            }
        }
    }

    pub(super) fn handle_task_result(&mut self, result: TaskResult, context: &mut Context) {
        let TaskResult { task, member, outcome, elapsed, position, primary, report, value } = result;
        let ServerTask::Attempt(id, attempt, _) = task else {
            count_outcome(&mut context.counters.probe_outcomes, outcome);
            return self.notify_policy(interface::Event::ProbeEnded { member, outcome, report }, context);
        };
        let reported = (position, primary);
        let conclusion = self.policy.assess_answer(&id, (attempt, elapsed), outcome, reported);
        trace::attempt_ended(&id, (attempt, elapsed), &member, (outcome, conclusion), reported);
        count_outcome(&mut context.counters.attempt_outcomes, outcome);
        if let (Conclusion::TooOld, Some(request)) = (conclusion, self.requests.get(&id)) {
            context.counters.too_old.count(request.consistency);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.history.end(attempt, Evidence::of(outcome, conclusion));
        // A hedged attempt may still be in flight: the policy needs its end as well, since it counts the
        // attempts at each member.
        request.attempts_in_flight.retain(|(number, _)| *number != attempt);
        let served = outcome == Outcome::Ok && conclusion == Conclusion::AsReceived;
        let finished = served || request.reply_target.is_none();
        let attempt_ended = AttemptEnded {
            id: id.clone(),
            member,
            attempt,
            outcome,
            conclusion,
            finished,
            elapsed,
            position,
            primary,
            report,
        };
        // The policy processes the member's state in the answer before the client can react to the answer.
        let actions = self.decide(interface::Event::AttemptEnded(attempt_ended), context);
        if !served {
            self.remove_if_finished(&id, context.reactor.now());
        } else if let Some(value) = self.coordinate_answer(&id, position, value, context) {
            self.answer(&id, Answer::Served(value), context);
        }
        self.carry_out(actions, context);
    }
}
