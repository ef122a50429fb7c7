//! A server connection: how it is opened, its TLS and authentication, and its end.

use std::net::SocketAddr;

use buffer::Fill;
use mio::net::TcpStream;
use mio::Interest;
use operator::Pool;
use pgwire::session::{self as wire, Authentication, Piece, ServerMessageReader};
use pgwire::sqlstate;
use pooling::{Key, ServerSessionState};
use routing::interface::{MemberId, Outcome};
use scram::{ChannelBinding, MECHANISM, MECHANISM_PLUS};
use tls::{Session, Transport};

use super::login::nonce;
use super::Sessions;
use crate::files;
use crate::net::event_loop::{Slot, Source};
use crate::net::Context;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerState {
    Connecting,
    /// TLS was requested.
    NegotiatingTls,
    Starting,
    Idle,
    /// Ready for a session, which needs permission to write to it.
    Reserved,
    InUse,
    /// The state of a session that has ended is being discarded.
    Resetting,
    /// The connection only carries a cancel request.
    Cancelling,
}

pub(super) struct ServerConnection {
    pub(super) stream: TcpStream,
    pub(super) transport: Transport,
    pub(super) reader: ServerMessageReader,
    pub(super) state: ServerState,
    pub(super) key: Key,
    pub(super) member: MemberId,
    pub(super) address: SocketAddr,
    pub(super) session_state: Option<ServerSessionState>,
    /// An authentication at the server that is in progress.
    pub(super) login: Option<scram::Client>,
    pub(super) cancel_key: (u32, u32),
    pub(super) deadline: f64,
    pub(super) client: Option<Slot>,
    /// The cancellation of this connection's query has been requested and may take effect at any time: no
    /// other session may use the connection.
    pub(super) cancel_requested: bool,
    /// The member is drained: until when the session may use the connection.
    pub(super) drain_until: Option<f64>,
}

impl Sessions {
    /// Opens a connection for a session, or for any.
    pub(super) fn open_connection(
        &mut self,
        slot: Option<Slot>,
        key: Key,
        member: MemberId,
        address: SocketAddr,
        context: &mut Context,
    ) {
        let now = context.reactor.now();
        let Ok(stream) = TcpStream::connect(address) else {
            return slot
                .into_iter()
                .for_each(|slot| self.detach(slot, Outcome::ConnectFailed, None, context));
        };
        let deadline = now + self.connect_timeout;
        let server = self.new_connection(stream, key.clone(), member, address, deadline);
        let server = ServerConnection { client: slot, ..server };
        let server_slot = self.servers.insert(server);
        self.pools.opened(now, &key, server_slot.number());
        if !self.register_connection(server_slot, context) {
            return self.fail_connection(server_slot, Outcome::NotSent, context);
        }
        if let Some(conn) = slot.and_then(|slot| self.clients.get_mut(slot)) {
            conn.server = Some(server_slot);
        }
    }

    pub(super) fn new_connection(
        &self,
        stream: TcpStream,
        key: Key,
        member: MemberId,
        address: SocketAddr,
        deadline: f64,
    ) -> ServerConnection {
        let _ = stream.set_nodelay(true);
        let transport = Transport::new(None, &self.budget);
        let session_state = Some(ServerSessionState::new(self.pool.statements as usize));
        let (state, reader, cancel_key) = (ServerState::Connecting, ServerMessageReader::default(), (0, 0));
        let (client, cancel_requested, drain_until) = (None, false, None);
        let login = None;
        ServerConnection {
            stream,
            transport,
            reader,
            state,
            key,
            member,
            address,
            session_state,
            login,
            cancel_key,
            deadline,
            client,
            cancel_requested,
            drain_until,
        }
    }

    pub(super) fn register_connection(&mut self, server_slot: Slot, context: &mut Context) -> bool {
        let Some(server) = self.servers.get_mut(server_slot) else { return false };
        let (token, both) =
            (Source::SessionServer(server_slot).into(), Interest::READABLE | Interest::WRITABLE);
        context.reactor.registry.register(&mut server.stream, token, both).is_ok()
    }

    /// A server connection is readable or writable, or has ended.
    pub fn on_server_ready(&mut self, server_slot: Slot, context: &mut Context) {
        let Some(server) = self.servers.get_mut(server_slot) else { return };
        match server.state {
            ServerState::InUse => {
                if let Some(slot) = server.client {
                    self.on_ready(slot, context);
                }
            }
            ServerState::Connecting | ServerState::NegotiatingTls | ServerState::Starting => {
                if let Err(outcome) = self.advance_handshake(server_slot, context) {
                    self.fail_connection(server_slot, outcome, context);
                }
            }
            // No reply is pending: any data is the end of the connection or makes it unusable.
            ServerState::Idle => {
                if !self.is_alive(server_slot) {
                    self.close_connection(server_slot);
                    self.serve_waiting_sessions(context);
                }
            }
            // Its end, if it has one, is noticed by the session that gets it.
            ServerState::Reserved => {}
            ServerState::Resetting => self.advance_reset(server_slot, context),
            ServerState::Cancelling => {
                let connected = server.stream.peer_addr().is_ok();
                if connected && !matches!(server.transport.process_io(&mut server.stream), Ok(Fill::Drained))
                {
                    self.servers.remove(server_slot);
                }
            }
        }
    }

    /// Continues the handshake of a connection; returns the outcome if it failed.
    pub(super) fn advance_handshake(
        &mut self,
        server_slot: Slot,
        context: &mut Context,
    ) -> Result<(), Outcome> {
        let Some(server) = self.servers.get_mut(server_slot) else { return Ok(()) };
        if server.state == ServerState::Connecting {
            if server.stream.peer_addr().is_err() {
                return match server.stream.take_error() {
                    Ok(None) => Ok(()),
                    _ => Err(Outcome::ConnectFailed),
                };
            }
            let first = match &self.server_tls {
                Some(_) => wire::ssl_request(),
                None => startup_message(server),
            };
            server.state =
                if self.server_tls.is_some() { ServerState::NegotiatingTls } else { ServerState::Starting };
            server.transport.outbox.push(&first).map_err(|_| Outcome::NotSent)?;
        }
        let tls_failure = |fault: &tls::TlsError, server: &ServerConnection| {
            if !matches!(fault, tls::TlsError::Io(_)) {
                logging::warn!(
                    event = "pool.server_tls",
                    member = &*server.member,
                    "TLS negotiation failed: {fault}"
                );
            }
            Outcome::ConnectFailed
        };
        let io_result = server.transport.process_io(&mut server.stream);
        let mut fill = io_result.map_err(|fault| tls_failure(&fault, server))?;
        if server.state == ServerState::NegotiatingTls {
            match &*server.transport.inbox.take(2) {
                [] if fill == Fill::Drained => return Ok(()),
                [b'S'] => {}
                // TLS was refused, or plain text follows the reply, which an attacker may have inserted.
                _ => return Err(tls_failure(&tls::TlsError::NotTls, server)),
            }
            let Some(client) = &self.server_tls else { return Err(Outcome::NotSent) };
            let address = server.address.ip().to_string();
            let name = self.pool.server_tls_name.as_ref().unwrap_or(&address);
            let session =
                Session::new(client, name, &self.budget).map_err(|fault| tls_failure(&fault, server))?;
            server.transport.start_tls(session, &self.budget);
            server.state = ServerState::Starting;
            let first = startup_message(server);
            server.transport.outbox.push(&first).map_err(|_| Outcome::NotSent)?;
            let io_result = server.transport.process_io(&mut server.stream);
            fill = io_result.map_err(|fault| tls_failure(&fault, server))?;
        }
        while let Some(piece) =
            server.reader.next(&mut server.transport.inbox).map_err(|_| Outcome::ConnectFailed)?
        {
            let Piece::Message(message) = piece else { return Err(Outcome::ConnectFailed) };
            match message.kind {
                b'R' => {
                    if let Err(fault) = authenticate(server, &message.body, &self.pool, &mut self.rng) {
                        let member = &*server.member;
                        logging::warn!(
                            event = "pool.password",
                            member,
                            "authentication at the server failed: {fault}"
                        );
                        return Err(Outcome::ConnectFailed);
                    }
                    let io_result = server.transport.process_io(&mut server.stream);
                    fill = io_result.map_err(|fault| tls_failure(&fault, server))?;
                }
                b'S' => {
                    if let (Some((name, value)), Some(session_state)) =
                        (pgwire::read_parameter_status(&message.body), &mut server.session_state)
                    {
                        session_state.parameters.insert(name.into(), value.into());
                    }
                }
                b'K' => server.cancel_key = wire::read_backend_key(&message.body).unwrap_or_default(),
                b'N' => {}
                b'Z' => {
                    let parameters =
                        server.session_state.as_ref().map(|session_state| session_state.parameters.clone());
                    self.server_settings.extend(parameters.unwrap_or_default());
                    self.finish_handshake(server_slot, context);
                    return Ok(());
                }
                b'E' => {
                    let (code, _) = pgwire::error_code(&message.body);
                    let (member, text) = (&*server.member, wire::read_error_text(&message.body));
                    logging::warn!(event = "pool.refused", member, "the server refused a connection: {text}");
                    let full = code == sqlstate::TOO_MANY_CONNECTIONS;
                    return Err(if full { Outcome::Full } else { Outcome::ConnectFailed });
                }
                _ => return Err(Outcome::ConnectFailed),
            }
        }
        if fill == Fill::Drained {
            Ok(())
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    /// The handshake of a connection is complete.
    pub(super) fn finish_handshake(&mut self, server_slot: Slot, context: &mut Context) {
        let Some(server) = self.servers.get_mut(server_slot) else { return };
        let (member, primary) =
            (server.member.clone(), server.session_state.as_ref().and_then(reported_role));
        self.record_role(&member, primary, context);
        let Some(server) = self.servers.get_mut(server_slot) else { return };
        match server.client {
            Some(slot) if server.drain_until.is_none() => self.reserve(slot, server_slot, context),
            Some(slot) => {
                // The member was drained meanwhile.
                self.close_connection(server_slot);
                self.detach(slot, Outcome::NotSent, None, context);
            }
            None => self.return_connection(server_slot, context),
        }
    }

    /// Returns true if an idle connection has not ended, reading what has arrived on it.
    pub(super) fn is_alive(&mut self, slot: Slot) -> bool {
        let Some(server) = self.servers.get_mut(slot) else { return false };
        let same = self.members.get(&server.member).is_some_and(|member| member.address == server.address);
        same && matches!(server.transport.process_io(&mut server.stream), Ok(Fill::Drained))
            && server.transport.inbox.is_empty()
    }

    /// A connection could not be opened.
    pub(super) fn fail_connection(&mut self, server_slot: Slot, outcome: Outcome, context: &mut Context) {
        let session_slot = self.servers.get_mut(server_slot).and_then(|server| server.client);
        self.close_connection(server_slot);
        if let Some(slot) = session_slot {
            if let Some(conn) = self.clients.get_mut(slot) {
                conn.server = None;
            }
            self.detach(slot, outcome, None, context);
        }
        self.serve_waiting_sessions(context);
    }

    pub(super) fn close_connection(&mut self, server_slot: Slot) {
        if let Some(server) = self.servers.remove(server_slot) {
            self.pools.closed(&server.key, server_slot.number());
        }
    }
}

/// Processes an authentication message of a server.
pub(super) fn authenticate(
    server: &mut ServerConnection,
    body: &[u8],
    pool: &Pool,
    rng: &mut fastrand::Rng,
) -> Result<(), String> {
    let describe = |fault: scram::ScramError| fault.to_string();
    let answer = match wire::read_authentication(body) {
        // A server that skips the proof that it knows the password may be an impostor.
        Authentication::Complete if server.login.is_none() => return Ok(()),
        requested @ Authentication::Mechanisms(_)
            if requested.offers(MECHANISM) || requested.offers(MECHANISM_PLUS) =>
        {
            let endpoint = server.transport.channel_binding();
            let (mechanism, channel) = match &endpoint {
                Some(bytes) if requested.offers(MECHANISM_PLUS) => {
                    (MECHANISM_PLUS, ChannelBinding::Bound(bytes))
                }
                // The server can detect whether its offer of channel binding was removed on the way.
                Some(_) => (MECHANISM, ChannelBinding::NotUsed),
                None => (MECHANISM, ChannelBinding::Unsupported),
            };
            let (login, first) = scram::Client::begin(&nonce(rng), channel);
            server.login = Some(login);
            wire::sasl_initial_response(mechanism, &first)
        }
        Authentication::SaslContinue(step) => {
            let file = pool
                .server_password_file
                .as_ref()
                .ok_or("the server requests a password, and none is configured")?;
            let login = server.login.as_mut().ok_or("SASL message out of order")?;
            wire::message_of_strings(
                b'p',
                &[],
                login.answer(step, &files::read_password(file)?).map_err(describe)?.as_bytes(),
            )
        }
        Authentication::SaslFinal(last) => {
            let login = server.login.take().ok_or("SASL message out of order")?;
            return login.finish(last).map_err(describe);
        }
        _ => return Err("the server requests an unsupported authentication method".into()),
    };
    server.transport.outbox.push(&answer).map_err(|_| "no memory".to_string())
}

/// The startup message to a server.
pub(super) fn startup_message(server: &ServerConnection) -> Vec<u8> {
    wire::startup_message(&[("user", &server.key.user), ("database", &server.key.database)])
}

/// Returns whether a server is the primary, if it reports that; PostgreSQL does so from version 14 on.
pub(super) fn reported_role(session_state: &ServerSessionState) -> Option<bool> {
    session_state.parameters.get("in_hot_standby").map(|standby| standby == "off")
}
