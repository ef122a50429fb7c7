//! A client's connection: moves bytes between the client and its session, and carries out the session's
//! actions.

use std::net::{IpAddr, Shutdown};
use std::rc::Rc;

use buffer::{Charge, Fill};
use mio::net::TcpStream;
use pgwire::session::{self as wire, Piece};
use pgwire::sqlstate;
use pooling::{Action, DetachReason, Session as Pooled};
use routing::interface::Outcome;
use tls::Transport;

use super::assignment::{PendingRequest, ServerAssignment};
use super::server::ServerState;
use super::Sessions;
use crate::net::event_loop::{Slot, Source};
use crate::net::{Context, Event};

/// While more than this number of bytes waits for one side, no more data is read from the other. Together
/// with the longest message it fits into a buffer.
pub(super) const PENDING_LIMIT: usize = 8 * 1024;
/// Memory that a session may always take for what its client has sent (bytes). Beyond it the session is ended where
/// the memory for all is exhausted.
const FREE_SESSION_BYTES: usize = 16 * 1024;
/// Maximum number of messages of one side that are handled in a step.
const MAX_MESSAGES_PER_STEP: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Startup,
    /// Waits for the client's authentication.
    Login,
    /// The authentication failed: the error is withheld until `reject_at`.
    Rejected,
    Running,
    Ending,
}

pub(super) struct ClientConnection {
    pub(super) stream: TcpStream,
    pub(super) transport: Transport,
    pub(super) stage: Stage,
    pub(super) session: Option<Box<Pooled>>,
    /// The memory charged for what the session keeps of what its client has sent.
    pub(super) session_charge: Charge,
    /// An authentication in progress.
    pub(super) login: Option<scram::Server>,
    pub(super) options: Vec<(String, String)>,
    pub(super) peer_ip: IpAddr,
    pub(super) reject_at: f64,
    pub(super) user: Rc<str>,
    pub(super) database: Rc<str>,
    pub(super) secret: u32,
    pub(super) server: Option<Slot>,
    /// The request that is pending until the session is attached to a server connection.
    pub(super) pending_request: Option<PendingRequest>,
    pub(super) assignment: Option<ServerAssignment>,
    /// When the present state began: started, busy, or idle.
    pub(super) state_since: f64,
    pub(super) busy: bool,
    /// Since when a message that the client has begun between two requests has been incomplete.
    pub(super) unfinished_since: Option<f64>,
    /// Since when the process shuts down and the client has not read what it was sent.
    pub(super) unread_since: Option<f64>,
}

/// The result of a step.
pub(super) enum Step {
    Progress,
    Waiting,
    Closed,
}

impl Sessions {
    /// A client's connection is readable or writable, or its session has its next turn.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        let step = self.step(slot, context);
        if let Step::Closed = step {
            return self.remove_client(slot, context);
        }
        let now = context.reactor.now();
        self.update_busy_time(slot, now);
        let progressed = matches!(step, Step::Progress);
        if let Some(conn) = self.clients.get_mut(slot) {
            conn.update_unfinished(progressed, now);
        }
        if progressed {
            self.charge_session(slot, context);
            context.reactor.continue_later(Source::SessionClient(slot));
        }
    }

    /// Charges what a session keeps of what its client has sent, and ends the session where there is no memory for
    /// it.
    fn charge_session(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.clients.get_mut(slot) else { return };
        let Some(session) = conn.session.as_mut().filter(|_| conn.stage == Stage::Running) else { return };
        let memory = session.memory();
        if memory <= FREE_SESSION_BYTES {
            return conn.session_charge.set_over_budget(memory);
        }
        if conn.session_charge.set(memory).is_ok() {
            return;
        }
        logging::warn!(
            event = "pool.memory",
            bytes = memory,
            "a session is ended: no memory for what it keeps"
        );
        let mut actions = Vec::new();
        session.end_with_error(sqlstate::OUT_OF_MEMORY, "no memory for what the session keeps", &mut actions);
        self.carry_out(slot, actions, context);
    }

    /// Updates the times for which the server is busy and for which the client is idle.
    pub(super) fn update_busy_time(&mut self, slot: Slot, now: f64) {
        let Some(conn) = self.clients.get_mut(slot) else { return };
        let busy = conn.session.as_ref().is_some_and(|session| session.awaits_reply());
        if busy != std::mem::replace(&mut conn.busy, busy) {
            conn.state_since = now;
        }
        conn.assignment.iter_mut().for_each(|assignment| assignment.update_busy_time(busy, now));
    }

    pub(super) fn step(&mut self, slot: Slot, context: &mut Context) -> Step {
        let Some(conn) = self.clients.get_mut(slot) else { return Step::Waiting };
        let Ok(fill) = conn.transport.process_io(&mut conn.stream) else { return Step::Closed };
        let written = conn.transport.is_flushed();
        if conn.stage == Stage::Ending {
            if written {
                let _ = conn.stream.shutdown(Shutdown::Write);
            }
            conn.transport.inbox.skip(conn.transport.inbox.len());
            return if fill == Fill::Ended { Step::Closed } else { Step::Waiting };
        }
        // Writes first, since no event announces the room that this makes. The read that follows reports an
        // error again.
        let server_has_room = conn.server.and_then(|slot| self.servers.get_mut(slot)).is_none_or(|server| {
            let _ =
                server.state != ServerState::InUse || server.transport.process_io(&mut server.stream).is_ok();
            server.transport.outbox.len() < PENDING_LIMIT
        });
        let (mut actions, mut progressed) = (Vec::new(), false);
        if conn.stage == Stage::Rejected {
            return if fill == Fill::Ended { Step::Closed } else { Step::Waiting };
        }
        if conn.stage == Stage::Login {
            return match pgwire::read_message(&mut conn.transport.inbox) {
                Ok(None) if fill == Fill::Drained => Step::Waiting,
                Ok(Some(message)) if message.kind == b'p' => self.handle_login(slot, &message.body, context),
                _ => Step::Closed,
            };
        }
        if conn.stage == Stage::Startup {
            match wire::read_startup(&mut conn.transport.inbox) {
                Ok(None) => {}
                Ok(Some(first)) => return self.handle_startup(slot, first, context),
                Err(_) => return Step::Closed,
            }
        } else if let Some(session) =
            conn.session.as_mut().filter(|_| server_has_room && conn.transport.outbox.len() < PENDING_LIMIT)
        {
            // The session releases its server once what it has sent is answered; its next request gets another.
            let is_stale = conn.assignment.as_ref().is_some_and(|assignment| {
                assignment.fresh_until.is_finite() && context.reactor.now() > assignment.fresh_until
            });
            let pauses = self.ending || is_stale && session.releases_when_answered();
            let mut bytes = 0;
            for _ in 0..MAX_MESSAGES_PER_STEP {
                let full = bytes >= PENDING_LIMIT || !session.accepts_message();
                if full || must_be_carried_out_first(&actions) || pauses && session.is_between_requests() {
                    break;
                }
                match pgwire::read_message(&mut conn.transport.inbox) {
                    Ok(None) => break,
                    Ok(Some(message)) => {
                        bytes += message.body.len() + 5;
                        progressed = true;
                        session.handle_client_message(message, &mut actions);
                    }
                    Err(_) => {
                        let text = "malformed message, or one that is too long";
                        session.end_with_error(sqlstate::PROGRAM_LIMIT_EXCEEDED, text, &mut actions);
                        progressed = true;
                    }
                }
            }
        }
        if progressed {
            return self.carry_out(slot, actions, context);
        }
        if fill == Fill::Ended || conn.transport.is_truncated() {
            return Step::Closed;
        }
        let at_rest = |session: &Pooled| session.is_between_requests() && !session.awaits_reply();
        if self.ending && written && conn.session.as_deref().is_some_and(at_rest) {
            self.end_session(slot, context);
            return Step::Waiting;
        }
        match self.forward_from_server(slot, context) {
            Step::Waiting if fill == Fill::Full && self.is_stuck(slot) => Step::Closed,
            step => step,
        }
    }

    /// Returns true if a message can never be completed: no memory is left for its rest, and nothing else is
    /// in progress.
    pub(super) fn is_stuck(&mut self, slot: Slot) -> bool {
        self.clients.get_mut(slot).is_some_and(|conn| {
            conn.transport.outbox.is_empty()
                && conn
                    .session
                    .as_ref()
                    .is_none_or(|session| session.accepts_message() && !session.awaits_reply())
        })
    }

    /// Forwards data from the server as far as the client's buffer has room.
    pub(super) fn forward_from_server(&mut self, slot: Slot, context: &mut Context) -> Step {
        let Some(conn) = self.clients.get_mut(slot) else { return Step::Waiting };
        let Some(server) = conn
            .server
            .and_then(|slot| self.servers.get_mut(slot))
            .filter(|server| server.state == ServerState::InUse)
        else {
            return Step::Waiting;
        };
        let Some(session) = &mut conn.session else { return Step::Waiting };
        if conn.transport.outbox.len() >= PENDING_LIMIT {
            return Step::Waiting;
        }
        let fill = server.transport.process_io(&mut server.stream);
        let (mut actions, mut bytes, mut malformed) = (Vec::new(), 0, false);
        for _ in 0..MAX_MESSAGES_PER_STEP {
            if bytes >= PENDING_LIMIT || must_be_carried_out_first(&actions) {
                break;
            }
            match server.reader.next(&mut server.transport.inbox) {
                Ok(None) => break,
                Ok(Some(piece)) => {
                    bytes += piece.wire_length();
                    let completed = matches!(&piece, Piece::Message(message) if message.kind == b'Z');
                    conn.assignment.iter_mut().for_each(|a| a.completed_requests += u32::from(completed));
                    session.handle_server_piece(piece, &mut actions);
                }
                Err(_) => {
                    malformed = true;
                    break;
                }
            }
        }
        if bytes > 0 {
            return self.carry_out(slot, actions, context);
        }
        let ended = server.transport.is_truncated() || !matches!(fill, Ok(Fill::Drained | Fill::Full));
        if malformed || ended {
            self.revoke_connection(slot, DetachReason::Lost, Outcome::Reset, context);
            return Step::Progress;
        }
        Step::Waiting
    }

    pub(super) fn send_to_client(&mut self, slot: Slot, bytes: &[u8]) -> Step {
        match self.clients.get_mut(slot).map(|conn| conn.transport.outbox.push(bytes)) {
            Some(Ok(())) => Step::Progress,
            _ => Step::Closed,
        }
    }

    /// Carries out the actions of a session.
    pub(super) fn carry_out(&mut self, slot: Slot, actions: Vec<Action>, context: &mut Context) -> Step {
        for action in actions {
            let Some(conn) = self.clients.get_mut(slot) else { return Step::Waiting };
            match action {
                Action::SendToClient(bytes) => {
                    if conn.transport.outbox.push(&bytes).is_err() {
                        return Step::Closed;
                    }
                }
                Action::SendToServer(bytes) => {
                    let server = conn.server.and_then(|slot| self.servers.get_mut(slot));
                    if server.is_some_and(|server| server.transport.outbox.push(&bytes).is_err()) {
                        return Step::Closed;
                    }
                }
                Action::RequestServer(request) => self.request_server(slot, &request, context),
                Action::ReleaseServer(disposition) => self.release(slot, disposition, Outcome::Ok, context),
                Action::CloseClient => {
                    (conn.stage, conn.state_since) = (Stage::Ending, context.reactor.now())
                }
            }
        }
        Step::Progress
    }

    /// A client has left, or its connection is closed by the pooler.
    pub(super) fn remove_client(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.clients.get_mut(slot) else { return };
        if let Some(request) = conn.pending_request.take() {
            context.events.push_back(Event::ServerRequestAbandoned(request.id));
        }
        let disposition = conn.session.as_mut().and_then(|session| session.client_disconnected());
        match disposition {
            Some(disposition) => self.release(slot, disposition, Outcome::Ok, context),
            None => self.abandon_attempt(slot, context),
        }
        self.clients.remove(slot);
        // New clients may wait for its place.
        context.reactor.continue_later(Source::SessionListener);
    }
}

/// Returns true if these actions must be carried out before the next message is processed.
pub(super) fn must_be_carried_out_first(actions: &[Action]) -> bool {
    matches!(actions.last(), Some(Action::RequestServer(_) | Action::ReleaseServer(_) | Action::CloseClient))
}
