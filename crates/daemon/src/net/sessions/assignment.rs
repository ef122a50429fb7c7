//! Which connection to a server a session gets, and how it lets go of it.

use std::net::SocketAddr;

use exchange::Answer;
use pgwire::sqlstate;
use pooling::{Choice, Cut, Ended, Key, Remote, Want};
use route::RouteRequest;
use routing::interface::{MemberId, Outcome, RequestId};

use super::client::Step;
use super::members::Member;
use super::server::{role, Backend, ServerState};
use super::{Parted, Sessions, Wanted};
use crate::net::event_loop::{Due, Slot};
use crate::net::{Context, Event};

/// What a session waits for.
pub(super) struct Waiting {
    pub(super) id: RequestId,
    pub(super) tenant: String,
    pub(super) group: u32,
    /// Whether only the primary will do.
    pub(super) primary: bool,
}

/// A server that was named for a session.
pub(super) struct Job {
    pub(super) id: RequestId,
    pub(super) attempt: usize,
    pub(super) member: MemberId,
    pub(super) give_up: f64,
    pub(super) tenant: String,
    /// Whether the session is on a connection, which may have run something.
    pub(super) begun: bool,
    /// For how long the server was busy, and since when it is.
    pub(super) busy: f64,
    pub(super) since: Option<f64>,
}

impl Sessions {
    pub(super) fn want(&mut self, slot: Slot, want: &Want, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let route = self.table.route(&RouteRequest {
            user: &conn.user,
            database: &conn.database,
            application: &want.application,
            comment: want.comment.as_deref(),
            class: want.class.as_deref(),
            read_only: want.reads,
        });
        self.requests += 1;
        let id: RequestId = format!("session-{}-{}", slot.number(), self.requests).into();
        let (tenant, group, primary) = (route.tenant.clone(), route.group, route.primary_only);
        conn.wanted = Some(Waiting { id: id.clone(), tenant, group, primary });
        let wanted = Wanted { id, class: route.class, tenant: route.tenant, group };
        context.events.push_back(Event::Wanted(slot, Box::new(wanted)));
        self.probe_for_primary(context);
    }

    /// A server is named for a session. The end of this attempt is told by an event.
    pub fn give(
        &mut self,
        slot: Slot,
        id: &RequestId,
        attempt: usize,
        member: &MemberId,
        timeout: f64,
        context: &mut Context,
    ) {
        let now = context.reactor.now();
        let Some(conn) = self.conns.get_mut(slot) else {
            let (id, member) = (id.clone(), member.clone());
            let parted =
                Parted { id, attempt, member, outcome: Outcome::NotSent, elapsed: 0.0, primary: None };
            return context.events.push_back(Event::Parted(Box::new(parted)));
        };
        let tenant = conn.wanted.as_ref().map(|wanted| wanted.tenant.clone()).unwrap_or_default();
        conn.job = Some(Job {
            id: id.clone(),
            attempt,
            member: member.clone(),
            give_up: now + timeout,
            tenant,
            begun: false,
            busy: 0.0,
            since: None,
        });
        self.find(slot, context);
    }

    /// Finds a connection to the server that is named for a session.
    pub(super) fn find(&mut self, slot: Slot, context: &mut Context) {
        loop {
            let now = context.reactor.now();
            let Some(conn) = self.conns.get_mut(slot) else { return };
            let (Some(job), Some(session)) = (&conn.job, &conn.session) else { return };
            let Some(Member { address, active: true, .. }) = self.members.get(&job.member) else {
                return self.part(slot, Outcome::NotSent, None, context);
            };
            let (address, member, tenant, state) =
                (*address, job.member.clone(), job.tenant.clone(), session.state());
            let database = conn.database.clone();
            let Some(conn) = self.conns.get(slot) else { return };
            let key = Key { member: (*member).into(), user: self.user(conn), database };
            match self.pools.take(now, &key, state, &tenant, slot.number()) {
                Choice::Wait => return,
                Choice::Reuse(number) => {
                    let backend = Slot::of(number);
                    if self.is_alive(backend) {
                        return self.attach(slot, backend, context);
                    }
                    self.close(backend);
                }
                Choice::Instead(number) => {
                    self.close(Slot::of(number));
                    return self.open(Some(slot), key, member, address, context);
                }
                Choice::Open => match self.unclaimed(&key, address) {
                    Some(place) => return self.claim(slot, place),
                    None => return self.open(Some(slot), key, member, address, context),
                },
            }
        }
    }

    /// A connection that is being made for nobody: of a probe for the primary, or of a session that no longer wants it.
    pub(super) fn unclaimed(&self, key: &Key, address: SocketAddr) -> Option<Slot> {
        let opening =
            |state| matches!(state, ServerState::Connecting | ServerState::Asking | ServerState::Starting);
        let fits =
            |b: &Backend| b.key == *key && b.address == address && b.client.is_none() && b.drain.is_none();
        self.backends
            .iter()
            .find(|(_, backend)| opening(backend.state) && fits(backend))
            .map(|(place, _)| place)
    }

    /// A connection that is being made for nobody is made for this session from now on.
    pub(super) fn claim(&mut self, slot: Slot, place: Slot) {
        if let (Some(conn), Some(backend)) = (self.conns.get_mut(slot), self.backends.get_mut(place)) {
            (conn.backend, backend.client) = (Some(place), Some(slot));
        }
    }

    /// A session is on a connection from now on.
    pub(super) fn attach(&mut self, slot: Slot, place: Slot, context: &mut Context) {
        let (Some(conn), Some(backend)) = (self.conns.get_mut(slot), self.backends.get_mut(place)) else {
            return;
        };
        let (Some(job), Some(session)) = (&mut conn.job, &mut conn.session) else { return };
        let primary = backend.remote.as_ref().and_then(role);
        if conn.wanted.as_ref().is_some_and(|wanted| wanted.primary) && primary == Some(false) {
            // Turned away untouched: a write would only be refused there.
            conn.backend = None;
            self.part(slot, Outcome::Miss, primary, context);
            return self.rest(place, context);
        }
        (backend.state, backend.client, conn.backend) = (ServerState::Used, Some(slot), Some(place));
        job.begun = true;
        conn.wanted = None;
        context.events.push_back(Event::Begun(job.id.clone()));
        let mut actions = Vec::new();
        session.attach(backend.remote.take().unwrap_or_default(), &mut actions);
        if let Step::Over = self.act(slot, actions, context) {
            return self.remove(slot, context);
        }
        context.reactor.timer(context.reactor.now(), Due::Session(slot));
    }

    /// Nobody uses a connection any more; it waits for the next, or is closed.
    pub(super) fn rest(&mut self, place: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let Some(backend) = self.backends.get_mut(place) else { return };
        let state = backend.remote.as_ref().map_or(0, Remote::state);
        let still = backend.link.is_flushed() && backend.link.inbox.is_empty();
        let sound = !backend.tainted && backend.drain.is_none() && still;
        (backend.state, backend.client) = (ServerState::Idle, None);
        if !self.pools.put(now, &backend.key, place.number(), state) || !sound {
            self.close(place);
        }
        self.turns(context);
    }

    /// Those who wait for a connection, as long as there are any.
    pub(super) fn turns(&mut self, context: &mut Context) {
        while let Some(ticket) = self.pools.turn(context.reactor.now()) {
            self.find(Slot::of(ticket), context);
        }
    }

    /// A session lets go of its connection.
    pub(super) fn release(&mut self, slot: Slot, ended: Ended, outcome: Outcome, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let remote = conn.session.as_mut().map(|session| session.take_remote());
        let place = conn.backend.take();
        self.clock(slot, context.reactor.now());
        self.part(slot, outcome, remote.as_ref().and_then(role), context);
        let Some(place) = place else { return };
        if let Some(backend) = self.backends.get_mut(place) {
            backend.remote = remote;
        }
        match ended {
            Ended::Kept => self.rest(place, context),
            Ended::Closed => {
                self.close(place);
                self.turns(context);
            }
        }
    }

    /// Tells how a session's use of a server ended.
    pub(super) fn part(&mut self, slot: Slot, outcome: Outcome, role: Option<bool>, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let Some(job) = conn.job.take() else { return };
        self.pools.give_up(slot.number());
        let denied = conn.session.as_mut().is_some_and(|session| session.take_denied());
        let Job { id, attempt, member, busy, .. } = job;
        let primary = if denied { Some(false) } else { role };
        match outcome {
            // What it is after that is to be asked anew.
            Outcome::ConnectFailed | Outcome::Reset => self.learn(&member, None, context),
            _ if primary.is_some() => self.learn(&member, primary, context),
            _ => {}
        }
        let parted = Parted { id, attempt, member, outcome, elapsed: busy, primary };
        context.events.push_back(Event::Parted(Box::new(parted)));
    }

    /// A session's connection is taken from it, or has ended.
    pub(super) fn cut(&mut self, slot: Slot, cut: Cut, outcome: Outcome, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let mut actions = Vec::new();
        if let Some(session) = &mut conn.session {
            session.lost(cut, &mut actions);
        }
        self.release(slot, Ended::Closed, outcome, context);
        match self.act(slot, actions, context) {
            Step::Over => self.remove(slot, context),
            _ => context.reactor.timer(context.reactor.now(), Due::Session(slot)),
        }
    }

    /// No server is to be had for what a session wants.
    pub fn refused(&mut self, slot: Slot, answer: &Answer, context: &mut Context) {
        self.abandon_attempt(slot, context);
        let Some(conn) = self.conns.get_mut(slot) else { return };
        conn.wanted = None;
        let mut detail = None;
        let (number, what) = match answer {
            Answer::Refused(backoff) => {
                let millis = Some((backoff * 1000.0).ceil()).filter(|millis| *millis > 0.0);
                detail = millis.map(|millis| (millis as u64).to_string());
                (sqlstate::TOO_MANY_CONNECTIONS, "refused: try again later")
            }
            Answer::Invalid(what) => (sqlstate::INVALID_PARAMETER_VALUE, *what),
            Answer::Failed | Answer::Served(_) => (sqlstate::SYSTEM_ERROR, "no server was reached"),
        };
        let mut actions = Vec::new();
        if let Some(session) = &mut conn.session {
            session.refused(number, what, detail.as_deref(), &mut actions);
        }
        match self.act(slot, actions, context) {
            Step::Over => self.remove(slot, context),
            _ => context.reactor.timer(context.reactor.now(), Due::Session(slot)),
        }
    }

    /// An attempt is withdrawn before anything was sent.
    pub fn withdraw(&mut self, slot: Slot, attempt: usize, context: &mut Context) {
        let job = self.conns.get_mut(slot).and_then(|conn| conn.job.as_ref());
        if job.is_some_and(|job| job.attempt == attempt) {
            self.abandon_attempt(slot, context);
        }
    }

    /// What was begun for a session that has not got its connection yet goes on for nobody.
    pub(super) fn abandon_attempt(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        if conn.job.as_ref().is_none_or(|job| job.begun) {
            return;
        }
        if let Some(backend) = conn.backend.take().and_then(|place| self.backends.get_mut(place)) {
            backend.client = None;
        }
        self.part(slot, Outcome::Cancelled, None, context);
    }
}
