//! Asks [`routing::permission`] once more at the sockets' edge, with what was done and received here and what has arrived by
//! now: before an attempt is begun and before a refusal is told. Nothing that is denied is done. What the decisions should not have
//! come to is counted as a violation, what only has become so meanwhile as withheld.

use exchange::Answer;
use routing::interface::{MemberId, Outcome, Report, RequestId};
use routing::permission::Denial;

use super::{Pooler, ReplyTarget};
use crate::net::{Context, Event, ServerTask, TaskResult};

/// What the list's source has sent is looked for at least so often while there is anything to do (seconds). After the process was
/// held up its news may lie behind any number of requests, and what they tell counts as known since they arrived.
const LIST_FRESH: f64 = 0.01;
/// A client that was heard of so lately is taken to be there still (seconds).
const CLIENT_FRESH: f64 = 0.02;

/// The decisions came to something that may not be done.
pub(super) fn report_violation(id: &RequestId, denial: Denial, context: &mut Context) {
    context.counters.violations.count(denial);
    logging::error!(event = "rule.violation", id = &**id, denial = denial.name(), "not done: a fault");
}

impl Pooler {
    /// Takes in what the list's source has sent by now, unless that was just done: nothing is begun on an older list.
    pub(super) fn refresh_list(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        if now - self.list_read_at < LIST_FRESH {
            return;
        }
        self.list_read_at = now;
        self.discovery.read_pending(context);
        self.registry.iter_mut().for_each(|registry| registry.read_pending(context));
        self.handle_events(context);
    }

    /// Whether an attempt of a request may be begun now.
    pub(super) fn may_begin(&mut self, id: &RequestId, context: &Context) -> Result<(), Denial> {
        let now = context.reactor.now();
        let Some(request) = self.requests.get(id) else { return Err(Denial::Answered) };
        request.history.may_begin(now)?;
        match request.reply_target {
            Some(ReplyTarget::Client(client)) if self.clients.has_left(client, now - CLIENT_FRESH) => {
                Err(Denial::ClientLeft)
            }
            _ => Ok(()),
        }
    }

    /// An attempt is not begun: it ends as never sent.
    pub(super) fn end_unsent_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        member: MemberId,
        denial: Denial,
        context: &mut Context,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        // Time passes between a decision and this; whether the client is there is seen here alone.
        match denial {
            Denial::OutOfTime | Denial::DedupWindowOver | Denial::ClientLeft => {
                context.counters.withheld.count(denial);
                logging::debug!(event = "attempt.withheld", id = &*id, attempt, denial = denial.name());
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

    /// The final answer that may be told: a refusal only where it is certain that another try is harmless.
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
