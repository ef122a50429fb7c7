//! The replies to a client's commands, serialized.

use exchange::Answer;
use pgwire::sqlstate;

/// The reply to an empty query.
pub(super) fn empty() -> Vec<u8> {
    [pgwire::empty_response(), pgwire::ready_for_query()].concat()
}

/// The reply to an empty query of a process that ends before it could serve.
pub(super) fn ending() -> Vec<u8> {
    error(sqlstate::CANNOT_CONNECT_NOW, "the pooler ends", None)
}

/// The reply to a failed command.
pub(super) fn error(code: &str, text: &str, detail: Option<&str>) -> Vec<u8> {
    [pgwire::error_response("ERROR", code, text, detail), pgwire::ready_for_query()].concat()
}

/// Serializes a final answer as a reply.
pub(super) fn reply(answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Served(mut value) => {
            value.extend(pgwire::ready_for_query());
            value
        }
        Answer::Refused(backoff) => {
            let millis = Some((backoff * 1000.0).ceil()).filter(|millis| *millis > 0.0);
            let detail = millis.map(|millis| (millis as u64).to_string());
            error(sqlstate::TOO_MANY_CONNECTIONS, "refused: try again later", detail.as_deref())
        }
        Answer::Failed => error(sqlstate::SYSTEM_ERROR, "failed: it may have run", None),
        Answer::Invalid(text) => error(sqlstate::INVALID_PARAMETER_VALUE, text, None),
    }
}
