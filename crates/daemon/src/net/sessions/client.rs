//! A client's connection: the bytes between it and its session, and what the session wants done.

use std::net::{IpAddr, Shutdown};
use std::rc::Rc;

use buffer::Fill;
use mio::net::TcpStream;
use pgwire::session::{self as wire, Piece};
use pgwire::{error_response, sqlstate};
use pooling::{Action, Cut, Session as Pooled};
use routing::interface::Outcome;
use tls::Link;

use super::assignment::{Job, Waiting};
use super::server::ServerState;
use super::Sessions;
use crate::net::event_loop::{Due, Slot};
use crate::net::{Context, Event};

/// Bytes that wait for one side past which nothing more is taken from the other. With the longest message on top they
/// still fit a buffer.
pub(super) const PENDING_LIMIT: usize = 8 * 1024;
/// Most steps of one session before others have their turn.
pub(super) const STEPS_PER_TURN: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    First,
    /// Its password is asked for.
    Login,
    /// It was wrong: the answer is held back until then.
    Held,
    Running,
    Ending,
}

pub(super) struct Conn {
    pub(super) stream: TcpStream,
    pub(super) link: Link,
    pub(super) stage: Stage,
    pub(super) session: Option<Box<Pooled>>,
    /// A login that has begun.
    pub(super) login: Option<scram::Server>,
    pub(super) options: Vec<(String, String)>,
    pub(super) from: IpAddr,
    pub(super) until: f64,
    pub(super) user: Rc<str>,
    pub(super) database: Rc<str>,
    pub(super) secret: u32,
    pub(super) backend: Option<Slot>,
    /// What it waits for until it is on a server.
    pub(super) wanted: Option<Waiting>,
    pub(super) job: Option<Job>,
    /// When it came to be what it is: begun, busy, or idle.
    pub(super) since: f64,
    pub(super) busy: bool,
}

/// What a step came to.
pub(super) enum Step {
    Moved,
    Still,
    Over,
}

impl Sessions {
    /// A client's connection may be read from or written to, or has its turn.
    pub fn ready(&mut self, slot: Slot, context: &mut Context) {
        for _ in 0..STEPS_PER_TURN {
            match self.step(slot, context) {
                Step::Moved => {}
                Step::Still => return self.clock(slot, context.reactor.now()),
                Step::Over => return self.remove(slot, context),
            }
        }
        self.clock(slot, context.reactor.now());
        context.reactor.timer(context.reactor.now(), Due::Session(slot));
    }

    /// Counts for how long the server is busy, and for how long the client is not.
    pub(super) fn clock(&mut self, slot: Slot, now: f64) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let busy = conn.session.as_ref().is_some_and(|session| session.is_busy());
        if busy != std::mem::replace(&mut conn.busy, busy) {
            conn.since = now;
        }
        if let Some(job) = &mut conn.job {
            match (job.since, busy) {
                (None, true) => job.since = Some(now),
                (Some(since), false) => (job.busy, job.since) = (job.busy + now - since, None),
                _ => {}
            }
        }
    }

    pub(super) fn step(&mut self, slot: Slot, context: &mut Context) -> Step {
        let Some(conn) = self.conns.get_mut(slot) else { return Step::Still };
        let Ok(fill) = conn.link.turn(&mut conn.stream) else { return Step::Over };
        let written = conn.link.is_flushed();
        if conn.stage == Stage::Ending {
            if written {
                let _ = conn.stream.shutdown(Shutdown::Write);
            }
            conn.link.inbox.skip(conn.link.inbox.len());
            return if fill == Fill::Ended { Step::Over } else { Step::Still };
        }
        // Written first: no event tells of the room that this makes. A fault is found out again by reading.
        let room = conn.backend.and_then(|b| self.backends.get_mut(b)).is_none_or(|backend| {
            let _ = backend.state != ServerState::Used || backend.link.turn(&mut backend.stream).is_ok();
            backend.link.outbox.len() < PENDING_LIMIT
        });
        let (mut actions, mut moved) = (Vec::new(), false);
        if conn.stage == Stage::Held {
            return if fill == Fill::Ended { Step::Over } else { Step::Still };
        }
        if conn.stage == Stage::Login {
            return match pgwire::read_message(&mut conn.link.inbox) {
                Ok(None) if fill == Fill::Drained => Step::Still,
                Ok(Some(message)) if message.kind == b'p' => self.login(slot, &message.body, context),
                _ => Step::Over,
            };
        }
        if conn.stage == Stage::First {
            match wire::read_startup(&mut conn.link.inbox) {
                Ok(None) => {}
                Ok(Some(first)) => return self.first(slot, first, context),
                Err(_) => return Step::Over,
            }
        } else if let Some(session) =
            conn.session.as_mut().filter(|_| room && conn.link.outbox.len() < PENDING_LIMIT)
        {
            let mut bytes = 0;
            while bytes < PENDING_LIMIT && session.takes() && !stops(&actions) {
                match pgwire::read_message(&mut conn.link.inbox) {
                    Ok(None) => break,
                    Ok(Some(message)) => {
                        bytes += message.body.len() + 5;
                        moved = true;
                        session.client(message, &mut actions);
                    }
                    Err(_) => {
                        let what = "malformed message, or one that is too long";
                        actions.push(Action::Client(error_response(
                            "FATAL",
                            sqlstate::PROGRAM_LIMIT_EXCEEDED,
                            what,
                            None,
                        )));
                        actions.push(Action::End);
                        moved = true;
                    }
                }
            }
        }
        if moved {
            return self.act(slot, actions, context);
        }
        if fill == Fill::Ended {
            return Step::Over;
        }
        match self.pass_on(slot, context) {
            Step::Still if fill == Fill::Full && self.is_stuck(slot) => Step::Over,
            step => step,
        }
    }

    /// Whether a message can never become whole: no memory is left for its rest, and nothing else is under way.
    pub(super) fn is_stuck(&mut self, slot: Slot) -> bool {
        self.conns.get_mut(slot).is_some_and(|conn| {
            conn.link.outbox.is_empty()
                && conn.session.as_ref().is_none_or(|session| session.takes() && !session.is_busy())
        })
    }

    /// Passes on what the server has said, as far as the client has room for it.
    pub(super) fn pass_on(&mut self, slot: Slot, context: &mut Context) -> Step {
        let Some(conn) = self.conns.get_mut(slot) else { return Step::Still };
        let Some(backend) =
            conn.backend.and_then(|b| self.backends.get_mut(b)).filter(|b| b.state == ServerState::Used)
        else {
            return Step::Still;
        };
        let Some(session) = &mut conn.session else { return Step::Still };
        if conn.link.outbox.len() >= PENDING_LIMIT {
            return Step::Still;
        }
        let fill = backend.link.turn(&mut backend.stream);
        let (mut actions, mut bytes, mut broken) = (Vec::new(), 0, false);
        while bytes < PENDING_LIMIT && !stops(&actions) {
            match backend.flow.next(&mut backend.link.inbox) {
                Ok(None) => break,
                Ok(Some(piece)) => {
                    bytes += match &piece {
                        Piece::Message(message) => message.body.len() + 5,
                        Piece::Part(part) => part.len(),
                    };
                    session.server(piece, &mut actions);
                }
                Err(_) => {
                    broken = true;
                    break;
                }
            }
        }
        if bytes > 0 {
            return self.act(slot, actions, context);
        }
        if broken || !matches!(fill, Ok(Fill::Drained | Fill::Full)) {
            self.cut(slot, Cut::Lost, Outcome::Reset, context);
            return Step::Moved;
        }
        Step::Still
    }

    pub(super) fn push(&mut self, slot: Slot, bytes: &[u8]) -> Step {
        match self.conns.get_mut(slot).map(|conn| conn.link.outbox.push(bytes)) {
            Some(Ok(())) => Step::Moved,
            _ => Step::Over,
        }
    }

    /// Carries out what a session wants.
    pub(super) fn act(&mut self, slot: Slot, actions: Vec<Action>, context: &mut Context) -> Step {
        for action in actions {
            let Some(conn) = self.conns.get_mut(slot) else { return Step::Still };
            match action {
                Action::Client(bytes) => {
                    if conn.link.outbox.push(&bytes).is_err() {
                        return Step::Over;
                    }
                }
                Action::Server(bytes) => {
                    let backend = conn.backend.and_then(|b| self.backends.get_mut(b));
                    if backend.is_some_and(|backend| backend.link.outbox.push(&bytes).is_err()) {
                        return Step::Over;
                    }
                }
                Action::Want(want) => self.want(slot, &want, context),
                Action::Release(ended) => self.release(slot, ended, Outcome::Ok, context),
                Action::End => (conn.stage, conn.since) = (Stage::Ending, context.reactor.now()),
            }
        }
        Step::Moved
    }

    /// A client has left, or is sent away.
    pub(super) fn remove(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        if let Some(wanted) = conn.wanted.take() {
            context.events.push_back(Event::Left(wanted.id));
        }
        let ended = conn.session.as_mut().and_then(|session| session.gone());
        match ended {
            Some(ended) => self.release(slot, ended, Outcome::Ok, context),
            None => self.abandon_attempt(slot, context),
        }
        self.conns.remove(slot);
        self.accept(context);
    }
}

/// Whether what comes next has to wait until these are carried out.
pub(super) fn stops(actions: &[Action]) -> bool {
    matches!(actions.last(), Some(Action::Want(_) | Action::Release(_) | Action::End))
}
