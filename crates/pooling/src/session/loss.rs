//! The loss of a session's server connection, and what its client is told.

use pgwire::session as wire;
use pgwire::{error_response, sqlstate};

use super::{Action, Session, Stage};
use crate::expected::{ExpectedReply, OwedAnswer, PendingStatement};
use crate::owed::Loss;
use crate::settings::Effect;

/// Why a session loses its server connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetachReason {
    /// The connection ended, or the server violated the protocol.
    Lost,
    /// The server is being drained, and the time for open transactions is over.
    Drained,
    /// The client left its transaction idle for too long.
    IdleInTransaction,
    /// A statement took too long.
    StatementTimeout,
}

impl DetachReason {
    /// Returns the reason's name in the log.
    pub fn log_name(self) -> &'static str {
        match self {
            DetachReason::Lost => "server_lost",
            DetachReason::Drained => "server_drained",
            DetachReason::IdleInTransaction => "idle_in_transaction",
            DetachReason::StatementTimeout => "statement_timeout",
        }
    }

    /// Returns the SQLSTATE and the message for the client.
    pub(super) fn sqlstate_and_message(self) -> (&'static str, &'static str) {
        match self {
            DetachReason::Lost => (
                sqlstate::CONNECTION_FAILURE,
                "the server's connection was lost; what the transaction did is undone",
            ),
            DetachReason::Drained => {
                (sqlstate::ADMIN_SHUTDOWN, "the server is drained; what the transaction did is undone")
            }
            DetachReason::IdleInTransaction => (
                sqlstate::IDLE_IN_TRANSACTION_TIMEOUT,
                "the transaction was idle for too long; what it did is undone",
            ),
            DetachReason::StatementTimeout => {
                (sqlstate::QUERY_CANCELED, "the statement took too long; what the transaction did is undone")
            }
        }
    }
}

impl Session {
    /// Handles that the server connection is lost or taken away. The client's errors distinguish requests
    /// that were certainly rolled back from those that may have been committed. A client that has received a
    /// part of a message gets no error, which it would take for the rest: its connection is closed.
    pub fn server_detached(&mut self, reason: DetachReason, out: &mut Vec<Action>) {
        if self.stage != Stage::Attached {
            return;
        }
        let in_transaction = self.in_transaction();
        let commits = |statement: &PendingStatement| statement.effect == Effect::Commit;
        // A statement outside of a transaction commits by itself.
        let unknown = self.owed.replies.iter().any(|reply| match reply {
            ExpectedReply::Query(statements) => !in_transaction || statements.iter().any(commits),
            ExpectedReply::Execute(statement) => !in_transaction || commits(statement),
            _ => false,
        });
        let (mut code, mut text) = reason.sqlstate_and_message();
        if unknown && reason != DetachReason::StatementTimeout {
            (code, text) = (
                sqlstate::TRANSACTION_RESOLUTION_UNKNOWN,
                "the server's connection was lost: what was asked may have run or not",
            );
        }
        let is_pinned = !self.pins().is_empty();
        let Loss { answers, fails_batch, is_ambiguous } = self.owed.lose();
        let must_end = is_pinned || self.within_message || is_ambiguous;
        let aborted = in_transaction && !unknown;
        self.detach();
        if must_end {
            // Without the rest of its message the client's stream cannot go on, nor without knowing how many answers
            // it is owed; and the state that bound the session to its connection is lost with that.
            return self.end_with_error(code, text, out);
        }
        if aborted {
            (self.stage, self.status) = (Stage::Aborted, b'E');
        }
        let told = answers.contains(&OwedAnswer::FromServer);
        for answer in answers {
            let bytes = match answer {
                OwedAnswer::FromServer => error_response("ERROR", code, text, None),
                OwedAnswer::Local(bytes) => bytes,
            };
            out.push(Action::SendToClient(bytes));
            out.push(Action::SendToClient(wire::ready_for_query(self.status)));
        }
        if fails_batch {
            out.push(Action::SendToClient(error_response("ERROR", code, text, None)));
        } else if aborted && !told {
            self.detach_reason = Some(reason);
        }
    }
}
