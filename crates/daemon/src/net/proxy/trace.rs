//! What the log tells of single requests: where each attempt went, what came of it, and why a request was given up. Lines of
//! attempts are for the level "debug"; a request that is not served is told of at "info", with its attempts.

use routing::interface::{AttemptSummary, Explanation, MemberId, Outcome, RequestId};

use super::Proxy;
use crate::net::Context;

const MILLIS: f64 = 1000.0;

/// An attempt is begun.
pub(super) fn sent(id: &RequestId, attempt: usize, member: &MemberId, timeout: f64) {
    let timeout_ms = timeout * MILLIS;
    logging::debug!(event = "attempt.sent", id = &**id, attempt, member = &**member, timeout_ms);
}

/// An attempt has ended: what was received, and what is concluded from it.
pub(super) fn ended(
    id: &RequestId,
    (attempt, elapsed): (usize, f64),
    member: &MemberId,
    (received, concluded): (Outcome, impl std::fmt::Debug),
    (position, primary): (Option<f64>, Option<bool>),
) {
    logging::debug!(
        event = "attempt.ended",
        id = &**id,
        attempt,
        member = &**member,
        received = ?received,
        concluded = ?concluded,
        elapsed_ms = elapsed * MILLIS,
        position = ?position,
        primary = ?primary,
    );
}

/// A request is refused of which nothing has been sent.
pub(super) fn turned_away(id: &RequestId, reason: &str) {
    logging::info!(event = "request.turned_away", id = &**id, reason, "nothing of it was sent");
}

impl Proxy {
    /// A request is given up: the refusal or failure follows.
    pub(super) fn trace_given_up(&self, explanation: &Explanation, context: &Context) {
        let Explanation { id, reason, attempts } = explanation;
        let Some(request) = self.requests.get(id) else { return };
        let waited_ms = (context.reactor.now() - request.taken) * MILLIS;
        let attempts: Vec<String> = attempts.iter().map(words).collect();
        let (class, attempts) = (self.numbers.name(request.class), attempts.join("; "));
        logging::info!(event = "request.given_up", id = &**id, reason = ?reason, class, waited_ms, attempts);
    }
}

/// An attempt in a line of the log.
fn words(attempt: &AttemptSummary) -> String {
    let ended = attempt.outcome.map_or("out".into(), |outcome| format!("{outcome:?}"));
    format!("{} {ended}, sent {:.0} ms ago", attempt.member, attempt.age * MILLIS)
}
