//! Replies of the server: what they answer, what they change in the session, and when the connection is released.

use pgwire::session::{self as wire, Piece};
use pgwire::{error_code, sqlstate, Message};
use sql::Pin;

use super::{Action, DetachReason, Disposition, Mode, Session, Stage};
use crate::expected::{ExpectedReply, PendingStatement};
use crate::owed::{Answered, Skipped};
use crate::server_state::StatementDigest;
use crate::settings::Effect;

impl Session {
    /// Handles a message, or a part of one, from the server.
    pub fn handle_server_piece(&mut self, piece: Piece, out: &mut Vec<Action>) {
        if self.stage != Stage::Attached {
            // It was read together with a message that has cost the server its connection.
            return;
        }
        if self.owed.replies.is_empty() && is_reply(&piece) {
            return self.unexpected_reply(out);
        }
        let message = match piece {
            Piece::Part { bytes, is_last } => {
                self.within_message = !is_last;
                return out.push(Action::SendToClient(bytes));
            }
            Piece::Message(message) => message,
        };
        let setup = matches!(self.owed.replies.front(), Some(ExpectedReply::Setup));
        match message.kind {
            b'S' => {
                if let Some((name, value)) = pgwire::read_parameter_status(&message.body) {
                    self.server_state.parameters.insert(name.into(), value.into());
                }
                if !setup {
                    self.report_parameters(out);
                }
            }
            b'A' if !self.may_listen() => {}
            b'I' if self.owed.replies.front_is_empty_query() => {
                self.owed.empty_query_answered();
            }
            b'Z' => self.handle_ready(message.body.first().copied().unwrap_or(b'I'), out),
            b'E' if setup => {
                // The server rejects a setting of the session.
                out.push(Action::ReleaseServer(Disposition::Close));
                self.detach();
                let text = wire::read_error_text(&message.body);
                self.end_with_error(sqlstate::INVALID_PARAMETER_VALUE, &text, out);
            }
            // The server says why it is about to end the connection. No query of the client is answered by that.
            b'E' if self.owed.replies.is_empty() || self.owed.replies.front_is_empty_query() => {}
            b'E' => self.handle_error(&message, out),
            _ if setup => {}
            kind @ (b'1' | b'2' | b'3') => {
                let forward = match (kind, self.owed.replies.front()) {
                    (b'1', Some(ExpectedReply::Parse { forward, .. })) => *forward,
                    (b'2', Some(ExpectedReply::Bind)) | (b'3', Some(ExpectedReply::Close)) => true,
                    (b'3', Some(ExpectedReply::CloseStatement(_))) => false,
                    _ => return self.unexpected_reply(out),
                };
                if let Some(ExpectedReply::Parse { digest, named: true, .. }) = self.owed.replies.pop_front()
                {
                    self.statement_prepared(&digest);
                }
                if forward {
                    out.push(Action::SendToClient(wire::empty_message(kind)));
                }
            }
            b'C' => {
                self.statement_completed(wire::read_command_tag(&message.body));
                out.push(Action::SendToClient(wire::copy_message(&message)));
            }
            kind => {
                if kind == b'G' && matches!(self.owed.replies.front(), Some(ExpectedReply::Execute(_))) {
                    self.owed.copy_started();
                }
                match self.owed.replies.front() {
                    Some(ExpectedReply::Describe) if matches!(kind, b'T' | b'n') => {
                        self.owed.replies.pop_front();
                    }
                    Some(ExpectedReply::Execute(_)) if matches!(kind, b's' | b'I') => {
                        let ended = self.owed.execute_ended();
                        self.pins.extend(ended.into_iter().flat_map(|statement| statement.pins));
                    }
                    _ => {}
                }
                out.push(Action::SendToClient(wire::copy_message(&message)));
            }
        }
        self.send_local_replies(out);
    }

    /// Returns true if the session may have subscribed to notifications, itself or by a function.
    fn may_listen(&self) -> bool {
        self.pins.contains(&Pin::Listen) || self.pins.contains(&Pin::Unknown)
    }

    /// Handles a message that answers no request: the connection's state is unreliable, so it is closed.
    fn unexpected_reply(&mut self, out: &mut Vec<Action>) {
        out.push(Action::ReleaseServer(Disposition::Close));
        self.server_detached(DetachReason::Lost, out);
    }

    /// Handles that the server has prepared a statement, unless it is closed and prepared again meanwhile.
    fn statement_prepared(&mut self, digest: &StatementDigest) {
        if !self.owed.replies.contains_parse(digest) {
            self.server_state.confirm_statement(digest);
        }
    }

    /// Applies the effect of a completed statement.
    fn statement_completed(&mut self, tag: &str) {
        let Some(PendingStatement { effect, pins }) = self.owed.statement_completed() else { return };
        self.pins.extend(pins);
        if matches!(effect, Effect::DiscardAll | Effect::DeallocateAll) {
            self.prepared.clear_statements();
            self.server_state.clear_statements();
        }
        if effect == Effect::DiscardAll {
            self.prepared.clear_portals();
            self.pins.clear();
            self.class = None;
        }
        if !self.settings.apply(&effect, tag) {
            self.pins.insert(Pin::Setting);
        }
    }

    fn handle_error(&mut self, message: &Message, out: &mut Vec<Action>) {
        let (code, _) = error_code(&message.body);
        self.failed = true;
        self.write_denied |= code == sqlstate::READ_ONLY_TRANSACTION;
        if code == sqlstate::INVALID_STATEMENT_NAME
            || wire::read_error_text(&message.body).contains("cached plan must not change")
        {
            self.server_state.mark_stale();
        }
        out.push(Action::SendToClient(wire::copy_message(message)));
        // An error within a function has a context.
        let ran = code != sqlstate::SYNTAX_ERROR || wire::has_error_context(&message.body);
        match self.owed.replies.front_mut() {
            Some(ExpectedReply::Query(statements)) => {
                // A syntax error is found before any statement of the query is run.
                let failed = std::mem::take(statements).into_iter().filter(|_| ran);
                self.pins.extend(failed.flat_map(|statement| statement.pins));
            }
            Some(ExpectedReply::Execute(statement)) => self.pins.extend(std::mem::take(&mut statement.pins)),
            _ => {}
        }
        for skipped in self.owed.failed() {
            match skipped {
                Skipped::ParseUnnamed => self.server_state.unnamed = None,
                Skipped::Statement(digest) => self.server_state.mark_statement_stale(digest),
            }
        }
        if self.owed.is_ambiguous() && !self.owed.replies.is_empty() {
            self.resolve_syncs(out);
        }
    }

    /// Finds out whether a server whose COPY has failed still answers a Sync that was sent ahead of the data, after
    /// the client has sent the Sync behind it.
    fn resolve_syncs(&mut self, out: &mut Vec<Action>) {
        if self.owed.replies.is_one_sync() {
            return self.send_empty_query(out);
        }
        self.end_unresolved(out);
    }

    /// Ends the client's connection since the server's answers can't be assigned to its messages.
    pub(super) fn end_unresolved(&mut self, out: &mut Vec<Action>) {
        out.push(Action::ReleaseServer(Disposition::Close));
        self.detach();
        let text = "the server's connection was closed: its answers cannot be told apart";
        self.end_with_error(sqlstate::TRANSACTION_RESOLUTION_UNKNOWN, text, out);
    }

    /// Sends a query whose answer comes behind all that the server still says to earlier messages.
    pub(super) fn send_empty_query(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SendToServer(pgwire::query(b"")));
        // A simple query makes the server drop it.
        self.server_state.unnamed = None;
        self.owed.empty_query_sent();
    }

    fn handle_ready(&mut self, status: u8, out: &mut Vec<Action>) {
        match self.owed.ready() {
            Some(Answered::Setup) => {
                self.report_parameters(out);
                return self.release_if_done(out);
            }
            // A call by a function's number ends without a command tag.
            Some(Answered::Query(statements)) => {
                self.pins.extend(statements.into_iter().flat_map(|statement| statement.pins))
            }
            Some(Answered::Sync) => {}
            None => return self.unexpected_reply(out),
        }
        self.status = status;
        let failed = std::mem::take(&mut self.failed);
        if status == b'I' {
            self.settings.end_transaction(failed);
            self.prepared.clear_portals();
        }
        out.push(Action::SendToClient(wire::ready_for_query(status)));
        self.send_local_replies(out);
        self.release_if_done(out);
    }

    /// Releases the server connection if no state of the session depends on it.
    fn release_if_done(&mut self, out: &mut Vec<Action>) {
        let done = self.status == b'I' && self.owed.is_settled();
        if !done || !self.pins.is_empty() || self.mode == Mode::Session {
            return;
        }
        self.detach();
        out.push(Action::ReleaseServer(Disposition::Reuse));
    }
}

/// Returns true if a server sends this in reply to a message of the client only. ReadyForQuery is not counted.
fn is_reply(piece: &Piece) -> bool {
    match piece {
        Piece::Part { .. } => true,
        Piece::Message(message) => !matches!(message.kind, b'A' | b'E' | b'N' | b'S' | b'Z'),
    }
}
