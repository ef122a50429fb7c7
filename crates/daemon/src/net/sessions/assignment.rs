//! Assignment of server connections to sessions, and their release.

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
use crate::net::event_loop::{Slot, Source};
use crate::net::{Context, Event};

/// A session's pending request for a server connection.
pub(super) struct PendingRequest {
    pub(super) id: RequestId,
    pub(super) tenant: String,
    pub(super) group: u32,
    /// True if only the primary is acceptable.
    pub(super) primary: bool,
}

/// The member that was assigned to a session.
pub(super) struct ServerAssignment {
    pub(super) id: RequestId,
    pub(super) attempt: usize,
    pub(super) member: MemberId,
    /// When the member was assigned (seconds).
    pub(super) assigned_at: f64,
    /// Until when further requests of the client may be written to the server (seconds).
    pub(super) fresh_until: f64,
    /// When the attempt is abandoned unless the session is attached to a connection (seconds).
    pub(super) attach_deadline: f64,
    pub(super) tenant: String,
    /// True if the session is attached to a connection, which may have run a statement.
    pub(super) attached: bool,
    /// How long the server has been busy in total (seconds), and since when it is busy now. Requests that a client has
    /// sent ahead count with their mean time: they are none that took long.
    pub(super) busy_time: f64,
    pub(super) busy_since: Option<f64>,
    /// Requests that the server has completed since then.
    pub(super) completed_requests: u32,
}

impl ServerAssignment {
    /// Records whether the server is busy.
    pub(super) fn update_busy_time(&mut self, busy: bool, now: f64) {
        match (self.busy_since, busy) {
            (None, true) => (self.busy_since, self.completed_requests) = (Some(now), 0),
            (Some(since), false) => {
                self.busy_time += (now - since) / f64::from(self.completed_requests.max(1));
                self.busy_since = None;
            }
            _ => {}
        }
    }
}

impl Sessions {
    pub(super) fn request_server(&mut self, slot: Slot, request: &ServerRequest, context: &mut Context) {
        let Some(conn) = self.clients.get_mut(slot) else { return };
        let route = self.table.route(&RouteRequest {
            user: &conn.user,
            database: &conn.database,
            application: &request.application,
            comment: request.comment.as_deref(),
            class: request.class.as_deref(),
            read_only: request.read_only,
        });
        self.requests += 1;
        let id: RequestId = format!("session-{}-{}", slot.number(), self.requests).into();
        let (tenant, group, primary) = (route.tenant.clone(), route.group, route.primary_only);
        conn.pending_request = Some(PendingRequest { id: id.clone(), tenant, group, primary });
        let routed = RoutedServerRequest { id, class: route.class, tenant: route.tenant, group };
        context.events.push_back(Event::ServerRequested(slot, Box::new(routed)));
        self.probe_for_primary(context);
    }

    /// Assigns a member to a session. The end of this attempt is reported by an event.
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
        let Some(conn) = self.clients.get_mut(slot) else {
            let (id, member) = (id.clone(), member.clone());
            let detachment =
                Detachment { id, attempt, member, outcome: Outcome::NotSent, elapsed: 0.0, primary: None };
            return context.events.push_back(Event::SessionDetached(Box::new(detachment)));
        };
        let tenant = conn.pending_request.as_ref().map(|request| request.tenant.clone()).unwrap_or_default();
        conn.assignment = Some(ServerAssignment {
            id: id.clone(),
            attempt,
            member: member.clone(),
            assigned_at: now,
            fresh_until: f64::INFINITY,
            attach_deadline: now + timeout,
            tenant,
            attached: false,
            busy_time: 0.0,
            busy_since: None,
            completed_requests: 0,
        });
        self.find_connection(slot, context);
    }

    /// Finds a connection to the member that is assigned to a session.
    pub(super) fn find_connection(&mut self, slot: Slot, context: &mut Context) {
        loop {
            let now = context.reactor.now();
            let Some(conn) = self.clients.get_mut(slot) else { return };
            let (Some(assignment), Some(session)) = (&conn.assignment, &conn.session) else { return };
            let Some(Member { address, active: true, .. }) = self.members.get(&assignment.member) else {
                return self.detach(slot, Outcome::NotSent, None, context);
            };
            let (address, member, tenant, settings_hash) =
                (*address, assignment.member.clone(), assignment.tenant.clone(), session.settings_hash());
            let database = conn.database.clone();
            let Some(conn) = self.clients.get(slot) else { return };
            let key = Key { member: (*member).into(), user: self.server_user(conn), database };
            match self.pools.acquire(now, &key, settings_hash, &tenant, slot.number()) {
                Acquisition::Wait => return,
                Acquisition::Reuse(number) => {
                    let server = Slot::from_number(number);
                    if self.is_alive(server) {
                        return self.reserve(slot, server, context);
                    }
                    self.close_connection(server);
                }
                Acquisition::ReplaceIdle(number) => {
                    self.close_connection(Slot::from_number(number));
                    return self.open_connection(Some(slot), key, member, address, context);
                }
                Acquisition::Open => match self.unclaimed_connection(&key, address) {
                    Some(server_slot) => return self.claim(slot, server_slot),
                    None => return self.open_connection(Some(slot), key, member, address, context),
                },
            }
        }
    }

    /// Returns a connection that is being opened for no session: for a probe for the primary, or for a
    /// session that no longer waits for it.
    pub(super) fn unclaimed_connection(&self, key: &Key, address: SocketAddr) -> Option<Slot> {
        let opening = |state| {
            matches!(state, ServerState::Connecting | ServerState::NegotiatingTls | ServerState::Starting)
        };
        let usable_for = |server: &ServerConnection| {
            server.key == *key
                && server.address == address
                && server.client.is_none()
                && server.drain_until.is_none()
        };
        self.servers
            .iter()
            .find(|(_, server)| opening(server.state) && usable_for(server))
            .map(|(server_slot, _)| server_slot)
    }

    /// Gives a connection that is being opened for no session to this session.
    pub(super) fn claim(&mut self, slot: Slot, server_slot: Slot) {
        if let (Some(conn), Some(server)) = (self.clients.get_mut(slot), self.servers.get_mut(server_slot)) {
            (conn.server, server.client) = (Some(server_slot), Some(slot));
        }
    }

    /// Keeps a connection for a session until the session may write to it.
    pub(super) fn reserve(&mut self, slot: Slot, server_slot: Slot, context: &mut Context) {
        let (Some(conn), Some(server)) = (self.clients.get_mut(slot), self.servers.get_mut(server_slot))
        else {
            return;
        };
        (server.state, server.client, conn.server) = (ServerState::Reserved, Some(slot), Some(server_slot));
        context.events.push_back(Event::SessionServerReady(slot, server_slot));
    }

    /// Returns the attempt that a connection is reserved for, with its number.
    pub fn awaiting_permission(&self, slot: Slot, server_slot: Slot) -> Option<(RequestId, usize)> {
        let server = self.servers.get(server_slot)?;
        let is_reserved = server.state == ServerState::Reserved && server.client == Some(slot);
        let assignment = self.clients.get(slot)?.assignment.as_ref()?;
        is_reserved.then(|| (assignment.id.clone(), assignment.attempt))
    }

    /// Returns a reserved connection to the pool, if its session does not wait for it any more.
    pub fn return_unclaimed(&mut self, server_slot: Slot, context: &mut Context) {
        let is_unclaimed =
            |server: &ServerConnection| server.state == ServerState::Reserved && server.client.is_none();
        if self.servers.get(server_slot).is_some_and(is_unclaimed) {
            self.return_connection(server_slot, context);
        }
    }

    /// Takes a session's attempt back before anything is written; the connection is kept for any session. Returns the
    /// member, and when it was assigned (seconds).
    pub fn withdraw_attempt_at(
        &mut self,
        slot: Slot,
        server_slot: Slot,
        context: &mut Context,
    ) -> Option<(MemberId, f64)> {
        let conn = self.clients.get_mut(slot)?;
        conn.server = None;
        let assignment = conn.assignment.take()?;
        self.return_connection(server_slot, context);
        Some((assignment.member, assignment.assigned_at))
    }

    /// Attaches a session to a connection that is reserved for it. Requests of the client may be written to it until
    /// `fresh_until` (seconds).
    pub fn attach(&mut self, slot: Slot, server_slot: Slot, fresh_until: f64, context: &mut Context) {
        if self.servers.get(server_slot).is_some_and(|server| server.drain_until.is_some()) {
            // The member was drained meanwhile.
            self.close_connection(server_slot);
            self.clients.get_mut(slot).into_iter().for_each(|conn| conn.server = None);
            return self.detach(slot, Outcome::NotSent, None, context);
        }
        let (Some(conn), Some(server)) = (self.clients.get_mut(slot), self.servers.get_mut(server_slot))
        else {
            return;
        };
        let (Some(assignment), Some(session)) = (&mut conn.assignment, &mut conn.session) else { return };
        let primary = server.session_state.as_ref().and_then(reported_role);
        if conn.pending_request.as_ref().is_some_and(|request| request.primary) && primary == Some(false) {
            // Released without sending anything: the replica would only refuse a write.
            conn.server = None;
            self.detach(slot, Outcome::Miss, primary, context);
            return self.return_connection(server_slot, context);
        }
        (server.state, server.client, conn.server) = (ServerState::InUse, Some(slot), Some(server_slot));
        (assignment.attached, assignment.fresh_until) = (true, fresh_until);
        conn.pending_request = None;
        context.events.push_back(Event::SessionAttached(assignment.id.clone()));
        let mut actions = Vec::new();
        session.attach(server.session_state.take().unwrap_or_default(), &mut actions);
        if let Step::Closed = self.carry_out(slot, actions, context) {
            return self.remove_client(slot, context);
        }
        context.reactor.continue_later(Source::SessionClient(slot));
    }

    /// Returns a connection that no session uses to the pool, or closes it.
    pub(super) fn return_connection(&mut self, server_slot: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let Some(server) = self.servers.get_mut(server_slot) else { return };
        let settings_hash = server.session_state.as_ref().map_or(0, ServerSessionState::settings_hash);
        let no_data = server.transport.is_flushed() && server.transport.inbox.is_empty();
        let reusable = !server.cancel_requested && server.drain_until.is_none() && no_data;
        (server.state, server.client) = (ServerState::Idle, None);
        if !self.pools.release(now, &server.key, server_slot.number(), settings_hash) || !reusable {
            self.close_connection(server_slot);
        }
        self.serve_waiting_sessions(context);
    }

    /// Serves the sessions that wait for a connection while any are available.
    pub(super) fn serve_waiting_sessions(&mut self, context: &mut Context) {
        while let Some(ticket) = self.pools.next_ticket(context.reactor.now()) {
            self.find_connection(Slot::from_number(ticket), context);
        }
    }

    /// A session releases its connection.
    pub(super) fn release(
        &mut self,
        slot: Slot,
        disposition: Disposition,
        outcome: Outcome,
        context: &mut Context,
    ) {
        let Some(conn) = self.clients.get_mut(slot) else { return };
        let session_state = conn.session.as_mut().map(|session| session.take_server_state());
        let server_slot = conn.server.take();
        self.update_busy_time(slot, context.reactor.now());
        self.detach(slot, outcome, session_state.as_ref().and_then(reported_role), context);
        let Some(server_slot) = server_slot else { return };
        if let Some(server) = self.servers.get_mut(server_slot) {
            server.session_state = session_state;
        }
        match disposition {
            Disposition::Reuse => self.return_connection(server_slot, context),
            Disposition::Reset => self.reset_connection(server_slot, context),
            Disposition::Close => {
                self.close_connection(server_slot);
                self.serve_waiting_sessions(context);
            }
        }
    }

    /// Reports how a session's use of a server connection ended.
    pub(super) fn detach(&mut self, slot: Slot, outcome: Outcome, role: Option<bool>, context: &mut Context) {
        let Some(conn) = self.clients.get_mut(slot) else { return };
        let Some(assignment) = conn.assignment.take() else { return };
        self.pools.cancel_wait(slot.number());
        let denied = conn.session.as_mut().is_some_and(|session| session.take_write_denied());
        let ServerAssignment { id, attempt, member, busy_time: busy, .. } = assignment;
        let primary = if denied { Some(false) } else { role };
        match outcome {
            // The member's role has to be queried again after that.
            Outcome::ConnectFailed | Outcome::Reset => self.record_role(&member, None, context),
            _ if primary.is_some() => self.record_role(&member, primary, context),
            _ => {}
        }
        let detachment = Detachment { id, attempt, member, outcome, elapsed: busy, primary };
        context.events.push_back(Event::SessionDetached(Box::new(detachment)));
    }

    /// Takes the connection from a session, or records that it has ended.
    pub(super) fn revoke_connection(
        &mut self,
        slot: Slot,
        reason: DetachReason,
        outcome: Outcome,
        context: &mut Context,
    ) {
        let Some(conn) = self.clients.get_mut(slot) else { return };
        let mut actions = Vec::new();
        if let Some(session) = &mut conn.session {
            if let Some(assignment) = conn.assignment.as_ref().filter(|_| session.is_within_message()) {
                log_cut_message(&assignment.member, reason.log_name());
            }
            session.server_detached(reason, &mut actions);
        }
        self.release(slot, Disposition::Close, outcome, context);
        match self.carry_out(slot, actions, context) {
            Step::Closed => self.remove_client(slot, context),
            _ => context.reactor.continue_later(Source::SessionClient(slot)),
        }
    }

    /// No server is available for a session's request.
    pub fn refuse(&mut self, slot: Slot, answer: &Answer, context: &mut Context) {
        self.abandon_attempt(slot, context);
        let Some(conn) = self.clients.get_mut(slot) else { return };
        conn.pending_request = None;
        let mut detail = None;
        let (code, text) = match answer {
            Answer::Refused(backoff) => {
                let millis = Some((backoff * 1000.0).ceil()).filter(|millis| *millis > 0.0);
                detail = millis.map(|millis| (millis as u64).to_string());
                (sqlstate::TOO_MANY_CONNECTIONS, "refused: try again later")
            }
            Answer::Invalid(text) => (sqlstate::INVALID_PARAMETER_VALUE, *text),
            Answer::Failed | Answer::Served(_) => (sqlstate::SYSTEM_ERROR, "no server was reached"),
        };
        let mut actions = Vec::new();
        if let Some(session) = &mut conn.session {
            session.server_refused(code, text, detail.as_deref(), &mut actions);
        }
        match self.carry_out(slot, actions, context) {
            Step::Closed => self.remove_client(slot, context),
            _ => context.reactor.continue_later(Source::SessionClient(slot)),
        }
    }

    /// Withdraws an attempt before anything was sent.
    pub fn withdraw_attempt(&mut self, slot: Slot, attempt: usize, context: &mut Context) {
        let assignment = self.clients.get_mut(slot).and_then(|conn| conn.assignment.as_ref());
        if assignment.is_some_and(|assignment| assignment.attempt == attempt) {
            self.abandon_attempt(slot, context);
        }
    }

    /// Detaches a session that has no connection yet; a connection that is being opened for it continues for
    /// any session.
    pub(super) fn abandon_attempt(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.clients.get_mut(slot) else { return };
        if conn.assignment.as_ref().is_none_or(|assignment| assignment.attached) {
            return;
        }
        if let Some(server) = conn.server.take().and_then(|server_slot| self.servers.get_mut(server_slot)) {
            server.client = None;
        }
        self.detach(slot, Outcome::Cancelled, None, context);
    }
}

/// Logs that a client has received only a part of a server's message, and that its connection is closed.
pub(super) fn log_cut_message(member: &MemberId, reason: &str) {
    logging::warn!(
        event = "pool.message_cut",
        member = &**member,
        reason,
        "a message of the server ended early: the client's connection is closed"
    );
}
