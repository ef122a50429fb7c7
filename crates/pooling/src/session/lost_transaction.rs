//! A transaction whose server connection is lost, until its client ends it.

use std::rc::Rc;

use pgwire::session as wire;
use pgwire::{error_response, sqlstate, Message};
use sql::{Control, Kind, Scan, Statement};

use super::{Action, DetachReason, Session, Stage};
use crate::prepared::PreparedError;
use crate::server_state::PreparedStatement;

/// Why a message of a batch is answered with an error.
enum BatchError {
    /// It needs a transaction that has not failed.
    InLostTransaction,
    Prepared(PreparedError),
}

impl Session {
    /// Handles a client message in a transaction whose server connection is lost and which the client must end.
    pub(super) fn handle_in_lost_transaction(&mut self, message: Message, out: &mut Vec<Action>) {
        let body = &message.body;
        match message.kind {
            b'S' => {
                self.owed.end_batch();
                out.push(Action::SendToClient(wire::ready_for_query(self.status)));
            }
            _ if self.owed.is_skipping() => {}
            b'H' | b'd' | b'c' | b'f' => {}
            b'Q' => self.query_in_lost_transaction(&message, out),
            b'F' => {
                self.reject_in_lost_transaction(out);
                out.push(Action::SendToClient(wire::ready_for_query(self.status)));
            }
            kind => {
                self.owed.begin_batch();
                let answer = match kind {
                    b'P' => {
                        wire::read_parse(body).map(|(name, text, types)| self.parse_end(name, text, types))
                    }
                    b'B' => wire::read_bind(body).map(|(portal, name, _)| self.bind_end(portal, name)),
                    b'D' => wire::read_target(body).map(|(of, name)| self.describe_end(of, name)),
                    b'E' => wire::read_execute(body).map(|portal| self.execute_end(portal)),
                    b'C' => wire::read_target(body).map(|(of, name)| self.close(of, name)),
                    _ => None,
                };
                match answer {
                    Some(Ok(reply)) => out.push(Action::SendToClient(reply)),
                    Some(Err(error)) => self.fail_batch(error, out),
                    None => self.protocol_violation(out),
                }
            }
        }
    }

    /// Prepares a statement that ends the transaction.
    fn parse_end(&mut self, name: &str, text: &str, types: &[u8]) -> Result<Vec<u8>, BatchError> {
        if !is_end_of_transaction(&sql::scan(text)) {
            return Err(BatchError::InLostTransaction);
        }
        self.add_statement(name, text, types).map_err(BatchError::Prepared)?;
        Ok(wire::empty_message(b'1'))
    }

    fn bind_end(&mut self, portal: &str, name: &str) -> Result<Vec<u8>, BatchError> {
        let prepared = self.prepared_end(name)?;
        self.prepared.add_portal(portal, prepared).map_err(BatchError::Prepared)?;
        Ok(wire::empty_message(b'2'))
    }

    fn describe_end(&self, of: u8, name: &str) -> Result<Vec<u8>, BatchError> {
        let no_data = wire::empty_message(b'n');
        if of == b'S' {
            self.prepared_end(name)?;
            return Ok([wire::no_parameters(), no_data].concat());
        }
        self.prepared.portal(name).map(|_| no_data).ok_or(BatchError::InLostTransaction)
    }

    /// Ends the transaction. What follows in the batch is run by a server.
    fn execute_end(&mut self, portal: &str) -> Result<Vec<u8>, BatchError> {
        if self.prepared.portal(portal).is_none() {
            return Err(BatchError::InLostTransaction);
        }
        self.end_lost_transaction();
        Ok(rolled_back())
    }

    /// Closes a statement or a portal, which does not use the transaction.
    fn close(&mut self, of: u8, name: &str) -> Result<Vec<u8>, BatchError> {
        match of {
            b'S' => self.prepared.remove_statement(name),
            _ => self.prepared.remove_portal(name),
        }
        Ok(wire::empty_message(b'3'))
    }

    /// Returns a prepared statement if it ends a transaction.
    fn prepared_end(&self, name: &str) -> Result<Rc<PreparedStatement>, BatchError> {
        let prepared = self.prepared.statement(name).filter(|prepared| is_end_of_transaction(&prepared.scan));
        prepared.cloned().ok_or(BatchError::InLostTransaction)
    }

    /// Answers a message of a batch with an error; the rest of the batch is skipped.
    fn fail_batch(&mut self, error: BatchError, out: &mut Vec<Action>) {
        self.owed.skip_batch();
        match error {
            BatchError::InLostTransaction => self.reject_in_lost_transaction(out),
            BatchError::Prepared(PreparedError { code, text }) => {
                out.push(Action::SendToClient(error_response("ERROR", code, &text, None)))
            }
        }
    }

    /// Handles a query. If its first statement ends the transaction, that is done here, and a server runs the others.
    fn query_in_lost_transaction(&mut self, message: &Message, out: &mut Vec<Action>) {
        let Some(text) = wire::read_query(&message.body) else { return self.protocol_violation(out) };
        self.owed.end_batch();
        if !begins_with_end_of_transaction(&sql::scan(text)) {
            self.reject_in_lost_transaction(out);
            return out.push(Action::SendToClient(wire::ready_for_query(self.status)));
        }
        out.push(Action::SendToClient(rolled_back()));
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
        self.prepared.clear_portals();
        (self.stage, self.status, self.detach_reason) = (Stage::Idle, b'I', None);
    }
}

/// The reply to a statement that ends the transaction.
fn rolled_back() -> Vec<u8> {
    wire::message_of_strings(b'C', &["ROLLBACK"], &[])
}

/// Returns true if the first statement of a text ends a transaction.
fn begins_with_end_of_transaction(scan: &Scan) -> bool {
    scan.statements.first().is_some_and(ends_transaction)
}

/// Returns true if a text is one statement, which ends a transaction.
fn is_end_of_transaction(scan: &Scan) -> bool {
    matches!(&scan.statements[..], [statement] if ends_transaction(statement))
}

/// Returns true if a statement ends a transaction and begins no other: the characteristics that `AND CHAIN` would
/// hand on are lost with the server.
fn ends_transaction(statement: &Statement) -> bool {
    matches!(
        statement.kind,
        Kind::Control(Control::Commit { chain: false } | Control::Rollback { chain: false })
    )
}
