//! Which connection to a server a session gets, and how it lets go of it.

use std::net::SocketAddr;

use exchange::Answer;
use pgwire::sqlstate;
use pooling::{Acquisition, DetachReason, Disposition, Key, ServerRequest, ServerSessionState};
use route::RouteRequest;
use routing::interface::{MemberId, Outcome, RequestId};

use super::client::Step;
use super::members::Member;
use super::server::{reported_role, ServerConnection, ServerState};
use super::{Detachment, RoutedServerRequest, Sessions};
use crate::net::event_loop::{Slot, TimerKind};
use crate::net::{Context, Event};

/// What a session waits for.
pub(super) struct PendingRequest {
    pub(super) id: RequestId,
    pub(super) tenant: String,
    pub(super) group: u32,
    /// Whether only the primary will do.
    pub(super) primary: bool,
}

/// A server that was named for a session.
pub(super) struct ServerAssignment {
    pub(super) id: RequestId,
    pub(super) attempt: usize,
    pub(super) member: MemberId,
    pub(super) give_up: f64,
    pub(super) tenant: String,
    /// Whether the session is on a connection, which may have run something.
    pub(super) attached: bool,
    /// For how long the server was busy, and since when it is.
    pub(super) busy_time: f64,
    pub(super) busy_since: Option<f64>,
}

impl Sessions {
    pub(super) fn request_server(&mut self, slot: Slot, want: &ServerRequest, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let route = self.table.route(&RouteRequest {
            user: &conn.user,
            database: &conn.database,
            application: &want.application,
            comment: want.comment.as_deref(),
            class: want.class.as_deref(),
            read_only: want.read_only,
        });
        self.requests += 1;
        let id: RequestId = format!("session-{}-{}", slot.number(), self.requests).into();
        let (tenant, group, primary) = (route.tenant.clone(), route.group, route.primary_only);
        conn.pending_request = Some(PendingRequest { id: id.clone(), tenant, group, primary });
        let wanted = RoutedServerRequest { id, class: route.class, tenant: route.tenant, group };
        context.events.push_back(Event::ServerRequested(slot, Box::new(wanted)));
        self.probe_for_primary(context);
    }

    /// A server is named for a session. The end of this attempt is told by an event.
    pub fn assign_server(
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
                Detachment { id, attempt, member, outcome: Outcome::NotSent, elapsed: 0.0, primary: None };
            return context.events.push_back(Event::SessionDetached(Box::new(parted)));
        };
        let tenant = conn.pending_request.as_ref().map(|wanted| wanted.tenant.clone()).unwrap_or_default();
        conn.assignment = Some(ServerAssignment {
            id: id.clone(),
            attempt,
            member: member.clone(),
            give_up: now + timeout,
            tenant,
            attached: false,
            busy_time: 0.0,
            busy_since: None,
        });
        self.find_connection(slot, context);
    }

    /// Finds a connection to the server that is named for a session.
    pub(super) fn find_connection(&mut self, slot: Slot, context: &mut Context) {
        loop {
            let now = context.reactor.now();
            let Some(conn) = self.conns.get_mut(slot) else { return };
            let (Some(job), Some(session)) = (&conn.assignment, &conn.session) else { return };
            let Some(Member { address, active: true, .. }) = self.members.get(&job.member) else {
                return self.detach(slot, Outcome::NotSent, None, context);
            };
            let (address, member, tenant, state) =
                (*address, job.member.clone(), job.tenant.clone(), session.settings_hash());
            let database = conn.database.clone();
            let Some(conn) = self.conns.get(slot) else { return };
            let key = Key { member: (*member).into(), user: self.server_user(conn), database };
            match self.pools.acquire(now, &key, state, &tenant, slot.number()) {
                Acquisition::Wait => return,
                Acquisition::Reuse(number) => {
                    let backend = Slot::from_number(number);
                    if self.is_alive(backend) {
                        return self.attach(slot, backend, context);
                    }
                    self.close_connection(backend);
                }
                Acquisition::ReplaceIdle(number) => {
                    self.close_connection(Slot::from_number(number));
                    return self.open_connection(Some(slot), key, member, address, context);
                }
                Acquisition::Open => match self.unclaimed_connection(&key, address) {
                    Some(place) => return self.claim(slot, place),
                    None => return self.open_connection(Some(slot), key, member, address, context),
                },
            }
        }
    }

    /// A connection that is being made for nobody: of a probe for the primary, or of a session that no longer wants it.
    pub(super) fn unclaimed_connection(&self, key: &Key, address: SocketAddr) -> Option<Slot> {
        let opening = |state| {
            matches!(state, ServerState::Connecting | ServerState::NegotiatingTls | ServerState::Starting)
        };
        let fits = |b: &ServerConnection| {
            b.key == *key && b.address == address && b.client.is_none() && b.drain_until.is_none()
        };
        self.servers
            .iter()
            .find(|(_, backend)| opening(backend.state) && fits(backend))
            .map(|(place, _)| place)
    }

    /// A connection that is being made for nobody is made for this session from now on.
    pub(super) fn claim(&mut self, slot: Slot, place: Slot) {
        if let (Some(conn), Some(backend)) = (self.conns.get_mut(slot), self.servers.get_mut(place)) {
            (conn.server, backend.client) = (Some(place), Some(slot));
        }
    }

    /// A session is on a connection from now on.
    pub(super) fn attach(&mut self, slot: Slot, place: Slot, context: &mut Context) {
        let (Some(conn), Some(backend)) = (self.conns.get_mut(slot), self.servers.get_mut(place)) else {
            return;
        };
        let (Some(job), Some(session)) = (&mut conn.assignment, &mut conn.session) else { return };
        let primary = backend.remote.as_ref().and_then(reported_role);
        if conn.pending_request.as_ref().is_some_and(|wanted| wanted.primary) && primary == Some(false) {
            // Turned away untouched: a write would only be refused there.
            conn.server = None;
            self.detach(slot, Outcome::Miss, primary, context);
            return self.return_connection(place, context);
        }
        (backend.state, backend.client, conn.server) = (ServerState::InUse, Some(slot), Some(place));
        job.attached = true;
        conn.pending_request = None;
        context.events.push_back(Event::SessionAttached(job.id.clone()));
        let mut actions = Vec::new();
        session.attach(backend.remote.take().unwrap_or_default(), &mut actions);
        if let Step::Closed = self.carry_out(slot, actions, context) {
            return self.remove_client(slot, context);
        }
        context.reactor.set_timer(context.reactor.now(), TimerKind::Session(slot));
    }

    /// Nobody uses a connection any more; it waits for the next, or is closed.
    pub(super) fn return_connection(&mut self, place: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let Some(backend) = self.servers.get_mut(place) else { return };
        let state = backend.remote.as_ref().map_or(0, ServerSessionState::settings_hash);
        let still = backend.link.is_flushed() && backend.link.inbox.is_empty();
        let sound = !backend.tainted && backend.drain_until.is_none() && still;
        (backend.state, backend.client) = (ServerState::Idle, None);
        if !self.pools.release(now, &backend.key, place.number(), state) || !sound {
            self.close_connection(place);
        }
        self.serve_waiting_sessions(context);
    }

    /// Those who wait for a connection, as long as there are any.
    pub(super) fn serve_waiting_sessions(&mut self, context: &mut Context) {
        while let Some(ticket) = self.pools.next_ticket(context.reactor.now()) {
            self.find_connection(Slot::from_number(ticket), context);
        }
    }

    /// A session lets go of its connection.
    pub(super) fn release(
        &mut self,
        slot: Slot,
        ended: Disposition,
        outcome: Outcome,
        context: &mut Context,
    ) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let remote = conn.session.as_mut().map(|session| session.take_server_state());
        let place = conn.server.take();
        self.update_busy_time(slot, context.reactor.now());
        self.detach(slot, outcome, remote.as_ref().and_then(reported_role), context);
        let Some(place) = place else { return };
        if let Some(backend) = self.servers.get_mut(place) {
            backend.remote = remote;
        }
        match ended {
            Disposition::Reuse => self.return_connection(place, context),
            Disposition::Close => {
                self.close_connection(place);
                self.serve_waiting_sessions(context);
            }
        }
    }

    /// Tells how a session's use of a server ended.
    pub(super) fn detach(&mut self, slot: Slot, outcome: Outcome, role: Option<bool>, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let Some(job) = conn.assignment.take() else { return };
        self.pools.cancel_wait(slot.number());
        let denied = conn.session.as_mut().is_some_and(|session| session.take_write_denied());
        let ServerAssignment { id, attempt, member, busy_time: busy, .. } = job;
        let primary = if denied { Some(false) } else { role };
        match outcome {
            // What it is after that is to be asked anew.
            Outcome::ConnectFailed | Outcome::Reset => self.record_role(&member, None, context),
            _ if primary.is_some() => self.record_role(&member, primary, context),
            _ => {}
        }
        let parted = Detachment { id, attempt, member, outcome, elapsed: busy, primary };
        context.events.push_back(Event::SessionDetached(Box::new(parted)));
    }

    /// A session's connection is taken from it, or has ended.
    pub(super) fn revoke_connection(
        &mut self,
        slot: Slot,
        cut: DetachReason,
        outcome: Outcome,
        context: &mut Context,
    ) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let mut actions = Vec::new();
        if let Some(session) = &mut conn.session {
            session.server_detached(cut, &mut actions);
        }
        self.release(slot, Disposition::Close, outcome, context);
        match self.carry_out(slot, actions, context) {
            Step::Closed => self.remove_client(slot, context),
            _ => context.reactor.set_timer(context.reactor.now(), TimerKind::Session(slot)),
        }
    }

    /// No server is to be had for what a session wants.
    pub fn refuse(&mut self, slot: Slot, answer: &Answer, context: &mut Context) {
        self.abandon_attempt(slot, context);
        let Some(conn) = self.conns.get_mut(slot) else { return };
        conn.pending_request = None;
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
            session.server_refused(number, what, detail.as_deref(), &mut actions);
        }
        match self.carry_out(slot, actions, context) {
            Step::Closed => self.remove_client(slot, context),
            _ => context.reactor.set_timer(context.reactor.now(), TimerKind::Session(slot)),
        }
    }

    /// An attempt is withdrawn before anything was sent.
    pub fn withdraw_attempt(&mut self, slot: Slot, attempt: usize, context: &mut Context) {
        let job = self.conns.get_mut(slot).and_then(|conn| conn.assignment.as_ref());
        if job.is_some_and(|job| job.attempt == attempt) {
            self.abandon_attempt(slot, context);
        }
    }

    /// What was begun for a session that has not got its connection yet goes on for nobody.
    pub(super) fn abandon_attempt(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        if conn.assignment.as_ref().is_none_or(|job| job.attached) {
            return;
        }
        if let Some(backend) = conn.server.take().and_then(|place| self.servers.get_mut(place)) {
            backend.client = None;
        }
        self.detach(slot, Outcome::Cancelled, None, context);
    }
}
