//! A transaction whose server connection is lost, until its client ends it.

use pgwire::session as wire;
use pgwire::{error_response, sqlstate, Message};
use sql::{Control, Kind, Scan, Statement};

use super::{Action, DetachReason, Session, Stage};

impl Session {
    /// Handles a client message in a transaction whose server connection is lost and which the client must end.
    pub(super) fn handle_in_lost_transaction(&mut self, message: Message, out: &mut Vec<Action>) {
        match message.kind {
            b'S' => {
                self.skipping = false;
                if std::mem::take(&mut self.ending_aborted) {
                    self.end_lost_transaction();
                }
                out.push(Action::SendToClient(wire::ready_for_query(self.status)));
            }
            _ if self.skipping => {}
            b'Q' => self.query_in_lost_transaction(&message, out),
            b'P' if wire::read_parse(&message.body)
                .is_some_and(|(_, text, _)| ends_transaction(&sql::scan(text))) =>
            {
                self.ending_aborted = true;
                out.push(Action::SendToClient(wire::empty_message(b'1')));
            }
            b'B' if self.ending_aborted => out.push(Action::SendToClient(wire::empty_message(b'2'))),
            b'D' if self.ending_aborted => out.push(Action::SendToClient(wire::empty_message(b'n'))),
            b'E' if self.ending_aborted => out.push(rolled_back()),
            // Drivers close statements at any time; that does not use the transaction.
            b'C' => out.push(Action::SendToClient(wire::empty_message(b'3'))),
            b'H' | b'd' | b'c' | b'f' => {}
            b'F' => {
                self.reject_in_lost_transaction(out);
                out.push(Action::SendToClient(wire::ready_for_query(self.status)));
            }
            _ => {
                self.reject_in_lost_transaction(out);
                self.skipping = true;
            }
        }
    }

    /// Handles a query. If its first statement ends the transaction, that is done here, and a server runs the others.
    fn query_in_lost_transaction(&mut self, message: &Message, out: &mut Vec<Action>) {
        let Some(text) = wire::read_query(&message.body) else { return self.protocol_violation(out) };
        if !ends_transaction(&sql::scan(text)) {
            self.reject_in_lost_transaction(out);
            return out.push(Action::SendToClient(wire::ready_for_query(self.status)));
        }
        out.push(rolled_back());
        self.end_lost_transaction();
        match sql::blank_first_statement(text).filter(|rest| !sql::scan(rest).statements.is_empty()) {
            Some(rest) => {
                let body = [rest.as_bytes(), b"\0"].concat();
                self.handle_idle(Message { kind: b'Q', body }, out);
            }
            None => out.push(Action::SendToClient(wire::ready_for_query(self.status))),
        }
    }

    /// Answers with an error: the first tells why the transaction was lost, unless the client knows that already.
    fn reject_in_lost_transaction(&mut self, out: &mut Vec<Action>) {
        let aborted =
            (sqlstate::IN_FAILED_TRANSACTION, "the transaction was lost with its server: ROLLBACK ends it");
        let (code, text) = self.detach_reason.take().map_or(aborted, DetachReason::sqlstate_and_message);
        out.push(Action::SendToClient(error_response("ERROR", code, text, None)));
    }

    fn end_lost_transaction(&mut self) {
        (self.stage, self.status, self.detach_reason) = (Stage::Idle, b'I', None);
    }
}

/// The reply to a statement that ends the transaction.
fn rolled_back() -> Action {
    Action::SendToClient(wire::message_of_strings(b'C', &["ROLLBACK"], &[]))
}

/// Returns true if the first statement of a text ends a transaction.
fn ends_transaction(scan: &Scan) -> bool {
    let ends =
        |statement: &Statement| matches!(statement.kind, Kind::Control(Control::Commit | Control::Rollback));
    scan.statements.first().is_some_and(ends)
}
