//! Resets server connections between two sessions: the server discards the state of the one that has ended.

use buffer::Fill;
use pgwire::session::Piece;
use pooling::ServerSessionState;

use super::server::{ServerConnection, ServerState};
use super::Sessions;
use crate::net::event_loop::Slot;
use crate::net::Context;

/// Time limit of a reset (seconds).
const RESET_TIMEOUT: f64 = 2.0;
/// The statement that resets a connection.
const RESET_STATEMENT: &[u8] = b"DISCARD ALL";

/// The progress of a reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Pending,
    Done,
    Failed,
}

impl Sessions {
    /// Has the server discard the state of the session that has ended. The connection is returned to the pool when
    /// that is done, and closed if it fails.
    pub(super) fn reset_connection(&mut self, server_slot: Slot, context: &mut Context) {
        let Some(server) = self.servers.get_mut(server_slot) else { return };
        (server.state, server.client) = (ServerState::Resetting, None);
        server.deadline = context.reactor.now() + RESET_TIMEOUT;
        // What has arrived already is no reply to the reset.
        let has_data = !server.transport.inbox.is_empty();
        if server.cancel_requested || server.drain_until.is_some() || has_data {
            self.close_connection(server_slot);
            return self.serve_waiting_sessions(context);
        }
        if server.transport.outbox.push(&pgwire::query(RESET_STATEMENT)).is_err() {
            return self.abandon_reset(server_slot, context);
        }
        self.advance_reset(server_slot, context);
    }

    /// Continues a reset with what has arrived from the server.
    pub(super) fn advance_reset(&mut self, server_slot: Slot, context: &mut Context) {
        let Some(server) = self.servers.get_mut(server_slot) else { return };
        match read_replies(server) {
            Progress::Pending => {}
            Progress::Done => self.return_connection(server_slot, context),
            Progress::Failed => self.abandon_reset(server_slot, context),
        }
    }

    /// Closes a connection whose reset has failed, or takes too long.
    pub(super) fn abandon_reset(&mut self, server_slot: Slot, context: &mut Context) {
        if let Some(server) = self.servers.get_mut(server_slot) {
            logging::warn!(
                event = "pool.reset_failed",
                member = &*server.member,
                "the state of an ended session was not discarded: its connection is closed"
            );
        }
        self.close_connection(server_slot);
        self.serve_waiting_sessions(context);
    }
}

/// Reads the server's replies to the reset, and applies them to the tracked state of its connection.
fn read_replies(server: &mut ServerConnection) -> Progress {
    let Ok(fill) = server.transport.process_io(&mut server.stream) else { return Progress::Failed };
    loop {
        let message = match server.reader.next(&mut server.transport.inbox) {
            Ok(Some(Piece::Message(message))) => message,
            Ok(None) if fill == Fill::Drained => return Progress::Pending,
            Ok(None | Some(Piece::Part { .. })) | Err(_) => return Progress::Failed,
        };
        let session_state = server.session_state.get_or_insert_with(ServerSessionState::default);
        match message.kind {
            b'S' => {
                if let Some((name, value)) = pgwire::read_parameter_status(&message.body) {
                    session_state.parameters.insert(name.into(), value.into());
                }
            }
            b'C' | b'N' | b'A' => {}
            b'Z' if message.body == [b'I'] => {
                session_state.reset();
                return Progress::Done;
            }
            _ => return Progress::Failed,
        }
    }
}
