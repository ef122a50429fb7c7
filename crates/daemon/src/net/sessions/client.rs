//! A client's connection: the bytes between it and its session, and what the session wants done.

use std::net::{IpAddr, Shutdown};
use std::rc::Rc;

use buffer::Fill;
use mio::net::TcpStream;
use pgwire::session::{self as wire, Piece};
use pgwire::{error_response, sqlstate};
use pooling::{Action, DetachReason, Session as Pooled};
use routing::interface::Outcome;
use tls::Transport;

use super::assignment::{PendingRequest, ServerAssignment};
use super::server::ServerState;
use super::Sessions;
use crate::net::event_loop::{Slot, TimerKind};
use crate::net::{Context, Event};

/// Bytes that wait for one side past which nothing more is taken from the other. With the longest message on top they
/// still fit a buffer.
pub(super) const PENDING_LIMIT: usize = 8 * 1024;
/// Most steps of one session before others have their turn.
pub(super) const MAX_STEPS_PER_ITERATION: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Startup,
    /// Its password is asked for.
    Login,
    /// It was wrong: the answer is held back until then.
    Rejected,
    Running,
    Ending,
}

pub(super) struct ClientConnection {
    pub(super) stream: TcpStream,
    pub(super) link: Transport,
    pub(super) stage: Stage,
    pub(super) session: Option<Box<Pooled>>,
    /// A login that has begun.
    pub(super) login: Option<scram::Server>,
    pub(super) options: Vec<(String, String)>,
    pub(super) peer_ip: IpAddr,
    pub(super) reject_at: f64,
    pub(super) user: Rc<str>,
    pub(super) database: Rc<str>,
    pub(super) secret: u32,
    pub(super) server: Option<Slot>,
    /// What it waits for until it is on a server.
    pub(super) pending_request: Option<PendingRequest>,
    pub(super) assignment: Option<ServerAssignment>,
    /// When it came to be what it is: begun, busy, or idle.
    pub(super) state_since: f64,
    pub(super) busy: bool,
}

/// What a step came to.
pub(super) enum Step {
    Progress,
    Waiting,
    Closed,
}

impl Sessions {
    /// A client's connection may be read from or written to, or has its turn.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        for _ in 0..MAX_STEPS_PER_ITERATION {
            match self.step(slot, context) {
                Step::Progress => {}
                Step::Waiting => return self.update_busy_time(slot, context.reactor.now()),
                Step::Closed => return self.remove_client(slot, context),
            }
        }
        self.update_busy_time(slot, context.reactor.now());
        context.reactor.set_timer(context.reactor.now(), TimerKind::Session(slot));
    }

    /// Counts for how long the server is busy, and for how long the client is not.
    pub(super) fn update_busy_time(&mut self, slot: Slot, now: f64) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let busy = conn.session.as_ref().is_some_and(|session| session.awaits_reply());
        if busy != std::mem::replace(&mut conn.busy, busy) {
            conn.state_since = now;
        }
        if let Some(job) = &mut conn.assignment {
            match (job.busy_since, busy) {
                (None, true) => job.busy_since = Some(now),
                (Some(since), false) => (job.busy_time, job.busy_since) = (job.busy_time + now - since, None),
                _ => {}
            }
        }
    }

    pub(super) fn step(&mut self, slot: Slot, context: &mut Context) -> Step {
        let Some(conn) = self.conns.get_mut(slot) else { return Step::Waiting };
        let Ok(fill) = conn.link.process_io(&mut conn.stream) else { return Step::Closed };
        let written = conn.link.is_flushed();
        if conn.stage == Stage::Ending {
            if written {
                let _ = conn.stream.shutdown(Shutdown::Write);
            }
            conn.link.inbox.skip(conn.link.inbox.len());
            return if fill == Fill::Ended { Step::Closed } else { Step::Waiting };
        }
        // Written first: no event tells of the room that this makes. A fault is found out again by reading.
        let room = conn.server.and_then(|b| self.servers.get_mut(b)).is_none_or(|backend| {
            let _ =
                backend.state != ServerState::InUse || backend.link.process_io(&mut backend.stream).is_ok();
            backend.link.outbox.len() < PENDING_LIMIT
        });
        let (mut actions, mut moved) = (Vec::new(), false);
        if conn.stage == Stage::Rejected {
            return if fill == Fill::Ended { Step::Closed } else { Step::Waiting };
        }
        if conn.stage == Stage::Login {
            return match pgwire::read_message(&mut conn.link.inbox) {
                Ok(None) if fill == Fill::Drained => Step::Waiting,
                Ok(Some(message)) if message.kind == b'p' => self.handle_login(slot, &message.body, context),
                _ => Step::Closed,
            };
        }
        if conn.stage == Stage::Startup {
            match wire::read_startup(&mut conn.link.inbox) {
                Ok(None) => {}
                Ok(Some(first)) => return self.handle_startup(slot, first, context),
                Err(_) => return Step::Closed,
            }
        } else if let Some(session) =
            conn.session.as_mut().filter(|_| room && conn.link.outbox.len() < PENDING_LIMIT)
        {
            let mut bytes = 0;
            while bytes < PENDING_LIMIT && session.accepts_message() && !must_be_carried_out_first(&actions) {
                match pgwire::read_message(&mut conn.link.inbox) {
                    Ok(None) => break,
                    Ok(Some(message)) => {
                        bytes += message.body.len() + 5;
                        moved = true;
                        session.handle_client_message(message, &mut actions);
                    }
                    Err(_) => {
                        let what = "malformed message, or one that is too long";
                        actions.push(Action::SendToClient(error_response(
                            "FATAL",
                            sqlstate::PROGRAM_LIMIT_EXCEEDED,
                            what,
                            None,
                        )));
                        actions.push(Action::CloseClient);
                        moved = true;
                    }
                }
            }
        }
        if moved {
            return self.carry_out(slot, actions, context);
        }
        if fill == Fill::Ended {
            return Step::Closed;
        }
        match self.forward_from_server(slot, context) {
            Step::Waiting if fill == Fill::Full && self.is_stuck(slot) => Step::Closed,
            step => step,
        }
    }

    /// Whether a message can never become whole: no memory is left for its rest, and nothing else is under way.
    pub(super) fn is_stuck(&mut self, slot: Slot) -> bool {
        self.conns.get_mut(slot).is_some_and(|conn| {
            conn.link.outbox.is_empty()
                && conn
                    .session
                    .as_ref()
                    .is_none_or(|session| session.accepts_message() && !session.awaits_reply())
        })
    }

    /// Passes on what the server has said, as far as the client has room for it.
    pub(super) fn forward_from_server(&mut self, slot: Slot, context: &mut Context) -> Step {
        let Some(conn) = self.conns.get_mut(slot) else { return Step::Waiting };
        let Some(backend) =
            conn.server.and_then(|b| self.servers.get_mut(b)).filter(|b| b.state == ServerState::InUse)
        else {
            return Step::Waiting;
        };
        let Some(session) = &mut conn.session else { return Step::Waiting };
        if conn.link.outbox.len() >= PENDING_LIMIT {
            return Step::Waiting;
        }
        let fill = backend.link.process_io(&mut backend.stream);
        let (mut actions, mut bytes, mut broken) = (Vec::new(), 0, false);
        while bytes < PENDING_LIMIT && !must_be_carried_out_first(&actions) {
            match backend.flow.next(&mut backend.link.inbox) {
                Ok(None) => break,
                Ok(Some(piece)) => {
                    bytes += match &piece {
                        Piece::Message(message) => message.body.len() + 5,
                        Piece::Part(part) => part.len(),
                    };
                    session.handle_server_piece(piece, &mut actions);
                }
                Err(_) => {
                    broken = true;
                    break;
                }
            }
        }
        if bytes > 0 {
            return self.carry_out(slot, actions, context);
        }
        if broken || !matches!(fill, Ok(Fill::Drained | Fill::Full)) {
            self.revoke_connection(slot, DetachReason::Lost, Outcome::Reset, context);
            return Step::Progress;
        }
        Step::Waiting
    }

    pub(super) fn send_to_client(&mut self, slot: Slot, bytes: &[u8]) -> Step {
        match self.conns.get_mut(slot).map(|conn| conn.link.outbox.push(bytes)) {
            Some(Ok(())) => Step::Progress,
            _ => Step::Closed,
        }
    }

    /// Carries out what a session wants.
    pub(super) fn carry_out(&mut self, slot: Slot, actions: Vec<Action>, context: &mut Context) -> Step {
        for action in actions {
            let Some(conn) = self.conns.get_mut(slot) else { return Step::Waiting };
            match action {
                Action::SendToClient(bytes) => {
                    if conn.link.outbox.push(&bytes).is_err() {
                        return Step::Closed;
                    }
                }
                Action::SendToServer(bytes) => {
                    let backend = conn.server.and_then(|b| self.servers.get_mut(b));
                    if backend.is_some_and(|backend| backend.link.outbox.push(&bytes).is_err()) {
                        return Step::Closed;
                    }
                }
                Action::RequestServer(want) => self.request_server(slot, &want, context),
                Action::ReleaseServer(ended) => self.release(slot, ended, Outcome::Ok, context),
                Action::CloseClient => {
                    (conn.stage, conn.state_since) = (Stage::Ending, context.reactor.now())
                }
            }
        }
        Step::Progress
    }

    /// A client has left, or is sent away.
    pub(super) fn remove_client(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        if let Some(wanted) = conn.pending_request.take() {
            context.events.push_back(Event::ServerRequestAbandoned(wanted.id));
        }
        let ended = conn.session.as_mut().and_then(|session| session.client_disconnected());
        match ended {
            Some(ended) => self.release(slot, ended, Outcome::Ok, context),
            None => self.abandon_attempt(slot, context),
        }
        self.conns.remove(slot);
        self.accept(context);
    }
}

/// Whether what comes next has to wait until these are carried out.
pub(super) fn must_be_carried_out_first(actions: &[Action]) -> bool {
    matches!(actions.last(), Some(Action::RequestServer(_) | Action::ReleaseServer(_) | Action::CloseClient))
}
