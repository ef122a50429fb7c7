//! Log lines about single requests: the member and result of each attempt, and why a request was not served.
//! Attempts are logged at the level "debug"; a request that was not served is logged at "info", with its
//! attempts.

use routing::interface::{AttemptSummary, Conclusion, Explanation, MemberId, Outcome, RequestId};

use super::names::for_log;
use crate::numbers::Numbers;

const MILLIS: f64 = 1000.0;

/// Logs that an attempt is sent to a member.
pub(super) fn attempt_sent(id: &RequestId, attempt: usize, member: &MemberId, timeout: f64) {
    let timeout_ms = timeout * MILLIS;
    logging::debug!(event = "attempt.sent", id = for_log(id), attempt, member = &**member, timeout_ms);
}

/// When an attempt was decided on, its connection was ready, and its last byte was written, or would have been
/// (seconds on the clock of the event loop).
pub(super) struct Moments {
    pub decided_at: f64,
    pub ready_at: f64,
    pub written_at: f64,
}

/// Logs that the last byte of an attempt has been written, with the position that its answer must reflect and the one
/// that its member is known to have reached.
pub(super) fn attempt_written(
    id: &RequestId,
    attempt: usize,
    member: &MemberId,
    moments: &Moments,
    known: Option<(f64, f64)>,
) {
    let Moments { decided_at, ready_at, written_at } = *moments;
    let (required, position) = known.unwrap_or((f64::NAN, f64::NAN));
    logging::debug!(
        event = "attempt.written",
        id = for_log(id),
        attempt,
        member = &**member,
        decided_at,
        ready_at,
        written_at,
        required,
        position
    );
}

/// Logs that an attempt is not written, since its member may be behind what the read must reflect.
pub(super) fn attempt_withdrawn(id: &RequestId, attempt: usize, member: &MemberId, moments: &Moments) {
    let Moments { decided_at, ready_at, written_at: withdrawn_at } = *moments;
    logging::debug!(
        event = "attempt.withdrawn",
        id = for_log(id),
        attempt,
        member = &**member,
        decided_at,
        ready_at,
        withdrawn_at
    );
}

/// Logs the end of an attempt: the outcome received, and the conclusion about its freshness.
pub(super) fn attempt_ended(
    id: &RequestId,
    (attempt, elapsed): (usize, f64),
    member: &MemberId,
    (received, concluded): (Outcome, Conclusion),
    (position, primary): (Option<f64>, Option<bool>),
) {
    logging::debug!(
        event = "attempt.ended",
        id = for_log(id),
        attempt,
        member = &**member,
        received = %received.log_name(),
        concluded = ?concluded,
        elapsed_ms = elapsed * MILLIS,
        position = ?position,
        primary = ?primary,
    );
}

/// Logs that a request is refused before any attempt was sent.
pub(super) fn refused_unsent(id: &RequestId, reason: &str) {
    logging::info!(
        event = "request.turned_away",
        id = for_log(id),
        reason,
        "refused before any attempt was sent"
    );
}

/// Logs that the policy has refused or failed a request, with the reason.
pub(super) fn request_given_up(explanation: &Explanation, numbers: &Numbers) {
    let Explanation { id, class, waited, reason, attempts } = explanation;
    let attempts: Vec<String> = attempts.iter().map(describe_attempt).collect();
    let (class, waited_ms, attempts) = (numbers.class_name(*class), waited * MILLIS, attempts.join("; "));
    logging::info!(event = "request.given_up", id = for_log(id), reason = ?reason, class, waited_ms, attempts);
}

/// Describes an attempt for a log line.
fn describe_attempt(attempt: &AttemptSummary) -> String {
    let outcome = match attempt.ended {
        None => "in flight".into(),
        Some((outcome, Conclusion::AsReceived)) => outcome.log_name().into(),
        Some((outcome, Conclusion::TooOld)) => format!("{}, too old", outcome.log_name()),
    };
    format!("{} {outcome}, sent {:.0} ms ago", attempt.member, attempt.age * MILLIS)
}
