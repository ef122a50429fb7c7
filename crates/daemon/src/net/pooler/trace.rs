//! What the log tells of single requests: where each attempt went, what came of it, and why a request was given up. Lines of
//! attempts are for the level "debug"; a request that is not served is told of at "info", with its attempts.

use routing::interface::{AttemptSummary, Conclusion, Explanation, MemberId, Outcome, RequestId};

use crate::numbers::Numbers;

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
    (received, concluded): (Outcome, Conclusion),
    (position, primary): (Option<f64>, Option<bool>),
) {
    logging::debug!(
        event = "attempt.ended",
        id = &**id,
        attempt,
        member = &**member,
        received = %received.log_name(),
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

/// A request has been given up: refused or failed.
pub(super) fn given_up(explanation: &Explanation, numbers: &Numbers) {
    let Explanation { id, class, waited, reason, attempts } = explanation;
    let attempts: Vec<String> = attempts.iter().map(words).collect();
    let (class, waited_ms, attempts) = (numbers.class_name(*class), waited * MILLIS, attempts.join("; "));
    logging::info!(event = "request.given_up", id = &**id, reason = ?reason, class, waited_ms, attempts);
}

/// An attempt in a line of the log.
fn words(attempt: &AttemptSummary) -> String {
    let ended = match attempt.ended {
        None => "out".into(),
        Some((outcome, Conclusion::AsReceived)) => outcome.log_name().into(),
        Some((outcome, Conclusion::TooOld)) => format!("{}, too old", outcome.log_name()),
    };
    format!("{} {ended}, sent {:.0} ms ago", attempt.member, attempt.age * MILLIS)
}
