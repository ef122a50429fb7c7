//! Checks actions against [`routing::permission`] once more before they take effect, with everything sent and
//! received up to now: before an attempt is sent and before a refusal is given to a client. A denied action
//! is not carried out. It is counted as a violation if the policy should not have decided on it, and as
//! withheld if the conditions have changed since the decision.

use exchange::Answer;
use routing::interface::{MemberId, Outcome, Report, RequestId};
use routing::permission::Denial;

use super::names::for_log;
use super::{Pooler, ReplyTarget};
use crate::net::{Context, Event, ServerTask, TaskResult};

/// Minimum interval between two reads of pending list updates while events are handled (seconds). After the
/// process was delayed, such updates may be queued behind any number of requests, but count as known from
/// their arrival on.
const LIST_REFRESH_INTERVAL: f64 = 0.01;
/// A client is assumed to be connected for this time after its last activity (seconds).
const CLIENT_ACTIVITY_GRACE: f64 = 0.02;

/// Logs and counts a violation: the policy decided on an action that is not permitted.
pub(super) fn report_violation(id: &RequestId, denial: Denial, context: &mut Context) {
    context.counters.violations.count(denial);
    logging::error!(
        event = "rule.violation",
        id = for_log(id),
        denial = denial.name(),
        "action not permitted and not carried out: a fault of the policy"
    );
}

impl Pooler {
    /// Reads pending updates of the list, unless that was done within the last `LIST_REFRESH_INTERVAL`, so
    /// that no attempt is sent by an older list.
    pub(super) fn refresh_list(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        if now - self.list_read_at < LIST_REFRESH_INTERVAL {
            return;
        }
        self.list_read_at = now;
        self.discovery.read_pending(context);
        self.registry.iter_mut().for_each(|registry| registry.read_pending(context));
        self.handle_events(context);
    }

    /// Checks whether an attempt of a request may be sent now.
    pub(super) fn may_begin(&mut self, id: &RequestId, context: &Context) -> Result<(), Denial> {
        let now = context.reactor.now();
        let Some(request) = self.requests.get(id) else { return Err(Denial::Answered) };
        request.history.may_begin(now)?;
        match request.reply_target {
            Some(ReplyTarget::Client(client))
                if self.clients.has_left(client, now - CLIENT_ACTIVITY_GRACE) =>
            {
                Err(Denial::ClientLeft)
            }
            _ => Ok(()),
        }
    }

    /// Ends an attempt that is not permitted, with the outcome `NotSent`.
    pub(super) fn end_unsent_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        member: MemberId,
        denial: Denial,
        context: &mut Context,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        // These conditions can change after the decision, and only this check sees whether the client is
        // still connected.
        match denial {
            Denial::OutOfTime | Denial::DedupWindowOver | Denial::ClientLeft => {
                context.counters.withheld.count(denial);
                logging::debug!(
                    event = "attempt.withheld",
                    id = for_log(&id),
                    attempt,
                    denial = denial.name()
                );
            }
            _ => report_violation(&id, denial, context),
        }
        if let (Denial::ClientLeft, Some(ReplyTarget::Client(client))) = (denial, request.reply_target) {
            context.events.push_back(Event::ClientLeft(client));
        }
        context.events.push_back(Event::TaskEnded(Box::new(TaskResult {
            task: ServerTask::Attempt(id, attempt, request.statement.clone()),
            member,
            outcome: Outcome::NotSent,
            elapsed: 0.0,
            position: None,
            primary: None,
            report: Report::default(),
            value: Vec::new(),
        })));
    }

    /// Replaces a refusal that is not permitted with a failure: a request may be refused only if repeating it
    /// is harmless.
    pub(super) fn permitted_answer(&self, id: &RequestId, answer: Answer, context: &mut Context) -> Answer {
        let Some(request) = self.requests.get(id) else { return answer };
        match (&answer, request.history.may_refuse()) {
            (Answer::Refused(_), Err(denial)) if request.reply_target.is_some() => {
                report_violation(id, denial, context);
                Answer::Failed
            }
            _ => answer,
        }
    }
}
