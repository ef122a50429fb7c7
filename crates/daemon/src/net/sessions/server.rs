//! A server's connection: how it is opened, TLS and the login there, and its end.

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
    /// It was asked for TLS.
    NegotiatingTls,
    Starting,
    Idle,
    InUse,
    /// Only asks for what another connection does to end.
    Cancelling,
}

pub(super) struct ServerConnection {
    pub(super) stream: TcpStream,
    pub(super) link: Transport,
    pub(super) flow: ServerMessageReader,
    pub(super) state: ServerState,
    pub(super) key: Key,
    pub(super) member: MemberId,
    pub(super) address: SocketAddr,
    pub(super) remote: Option<ServerSessionState>,
    /// A login at the server that has begun; what has been proved by its end.
    pub(super) login: Option<scram::Client>,
    pub(super) cancel_key: (u32, u32),
    pub(super) deadline: f64,
    pub(super) client: Option<Slot>,
    /// It may be told to end what it does, at a time that nobody knows: nobody else may have it.
    pub(super) tainted: bool,
    /// Its server is drained: taken away then.
    pub(super) drain_until: Option<f64>,
}

impl Sessions {
    /// Begins a connection, for a session or for whoever comes.
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
        let until = now + self.connect_timeout;
        let backend = self.new_connection(stream, key.clone(), member, address, until);
        let backend = ServerConnection { client: slot, ..backend };
        let place = self.servers.insert(backend);
        self.pools.opened(now, &key, place.number());
        if !self.register_connection(place, context) {
            return self.fail_connection(place, Outcome::NotSent, context);
        }
        if let Some(conn) = slot.and_then(|slot| self.conns.get_mut(slot)) {
            conn.server = Some(place);
        }
    }

    pub(super) fn new_connection(
        &self,
        stream: TcpStream,
        key: Key,
        member: MemberId,
        address: SocketAddr,
        until: f64,
    ) -> ServerConnection {
        let _ = stream.set_nodelay(true);
        let link = Transport::new(None, &self.budget);
        let remote = Some(ServerSessionState::new(self.pool.statements as usize));
        let (state, flow, cancel) = (ServerState::Connecting, ServerMessageReader::default(), (0, 0));
        let (client, tainted, drain) = (None, false, None);
        let login = None;
        ServerConnection {
            stream,
            link,
            flow,
            state,
            key,
            member,
            address,
            remote,
            login,
            cancel_key: cancel,
            deadline: until,
            client,
            tainted,
            drain_until: drain,
        }
    }

    pub(super) fn register_connection(&mut self, place: Slot, context: &mut Context) -> bool {
        let Some(backend) = self.servers.get_mut(place) else { return false };
        let (token, both) = (Source::SessionServer(place).into(), Interest::READABLE | Interest::WRITABLE);
        context.reactor.registry.register(&mut backend.stream, token, both).is_ok()
    }

    /// A server's connection may be read from or written to, or has ended.
    pub fn on_server_ready(&mut self, place: Slot, context: &mut Context) {
        let Some(backend) = self.servers.get_mut(place) else { return };
        match backend.state {
            ServerState::InUse => {
                if let Some(slot) = backend.client {
                    self.on_ready(slot, context);
                }
            }
            ServerState::Connecting | ServerState::NegotiatingTls | ServerState::Starting => {
                if let Err(outcome) = self.advance_handshake(place, context) {
                    self.fail_connection(place, outcome, context);
                }
            }
            // Nothing is owed on it: what comes is its end, or makes it of no use.
            ServerState::Idle => {
                if !self.is_alive(place) {
                    self.close_connection(place);
                    self.serve_waiting_sessions(context);
                }
            }
            ServerState::Cancelling => {
                let connected = backend.stream.peer_addr().is_ok();
                if connected && !matches!(backend.link.process_io(&mut backend.stream), Ok(Fill::Drained)) {
                    self.servers.remove(place);
                }
            }
        }
    }

    /// Goes on with the beginning of a connection; how that failed.
    pub(super) fn advance_handshake(&mut self, place: Slot, context: &mut Context) -> Result<(), Outcome> {
        let Some(backend) = self.servers.get_mut(place) else { return Ok(()) };
        if backend.state == ServerState::Connecting {
            if backend.stream.peer_addr().is_err() {
                return match backend.stream.take_error() {
                    Ok(None) => Ok(()),
                    _ => Err(Outcome::ConnectFailed),
                };
            }
            let first = match &self.server_tls {
                Some(_) => wire::ssl_request(),
                None => startup_message(backend),
            };
            backend.state =
                if self.server_tls.is_some() { ServerState::NegotiatingTls } else { ServerState::Starting };
            backend.link.outbox.push(&first).map_err(|_| Outcome::NotSent)?;
        }
        let told = |fault: &tls::TlsError, backend: &ServerConnection| {
            if !matches!(fault, tls::TlsError::Io(_)) {
                logging::warn!(event = "pool.server_tls", member = &*backend.member, "no TLS: {fault}");
            }
            Outcome::ConnectFailed
        };
        let turned = backend.link.process_io(&mut backend.stream);
        let mut fill = turned.map_err(|fault| told(&fault, backend))?;
        if backend.state == ServerState::NegotiatingTls {
            match &*backend.link.inbox.take(2) {
                [] if fill == Fill::Drained => return Ok(()),
                [b'S'] => {}
                // Turned down, or something in the clear behind it, which somebody else may have put there.
                _ => return Err(told(&tls::TlsError::NotTls, backend)),
            }
            let Some(client) = &self.server_tls else { return Err(Outcome::NotSent) };
            let address = backend.address.ip().to_string();
            let name = self.pool.server_tls_name.as_ref().unwrap_or(&address);
            let session = Session::new(client, name, &self.budget).map_err(|fault| told(&fault, backend))?;
            backend.link.start_tls(session, &self.budget);
            backend.state = ServerState::Starting;
            let first = startup_message(backend);
            backend.link.outbox.push(&first).map_err(|_| Outcome::NotSent)?;
            let turned = backend.link.process_io(&mut backend.stream);
            fill = turned.map_err(|fault| told(&fault, backend))?;
        }
        while let Some(piece) =
            backend.flow.next(&mut backend.link.inbox).map_err(|_| Outcome::ConnectFailed)?
        {
            let Piece::Message(message) = piece else { return Err(Outcome::ConnectFailed) };
            match message.kind {
                b'R' => {
                    if let Err(fault) = authenticate(backend, &message.body, &self.pool, &mut self.rng) {
                        let member = &*backend.member;
                        logging::warn!(event = "pool.password", member, "the server's login: {fault}");
                        return Err(Outcome::ConnectFailed);
                    }
                    let turned = backend.link.process_io(&mut backend.stream);
                    fill = turned.map_err(|fault| told(&fault, backend))?;
                }
                b'S' => {
                    if let (Some((name, value)), Some(remote)) =
                        (pgwire::read_parameter_status(&message.body), &mut backend.remote)
                    {
                        remote.parameters.insert(name.into(), value.into());
                    }
                }
                b'K' => backend.cancel_key = wire::read_backend_key(&message.body).unwrap_or_default(),
                b'N' => {}
                b'Z' => {
                    let told = backend.remote.as_ref().map(|remote| remote.parameters.clone());
                    self.server_settings.extend(told.unwrap_or_default());
                    self.finish_handshake(place, context);
                    return Ok(());
                }
                b'E' => {
                    let (number, _) = pgwire::error_code(&message.body);
                    let (member, words) = (&*backend.member, wire::read_error_text(&message.body));
                    logging::warn!(
                        event = "pool.refused",
                        member,
                        "the server turns a connection away: {words}"
                    );
                    let full = number == sqlstate::TOO_MANY_CONNECTIONS;
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

    /// A connection can be used.
    pub(super) fn finish_handshake(&mut self, place: Slot, context: &mut Context) {
        let Some(backend) = self.servers.get_mut(place) else { return };
        let (member, primary) = (backend.member.clone(), backend.remote.as_ref().and_then(reported_role));
        self.record_role(&member, primary, context);
        let Some(backend) = self.servers.get_mut(place) else { return };
        match backend.client {
            Some(slot) if backend.drain_until.is_none() => self.attach(slot, place, context),
            Some(slot) => {
                // Its server was drained meanwhile.
                self.close_connection(place);
                self.detach(slot, Outcome::NotSent, None, context);
            }
            None => self.return_connection(place, context),
        }
    }

    /// Whether an idle connection has not ended meanwhile without that having been looked at.
    pub(super) fn is_alive(&mut self, slot: Slot) -> bool {
        let Some(backend) = self.servers.get_mut(slot) else { return false };
        let same = self.members.get(&backend.member).is_some_and(|member| member.address == backend.address);
        same && matches!(backend.link.process_io(&mut backend.stream), Ok(Fill::Drained))
            && backend.link.inbox.is_empty()
    }

    /// A connection could not be made.
    pub(super) fn fail_connection(&mut self, place: Slot, outcome: Outcome, context: &mut Context) {
        let client = self.servers.get_mut(place).and_then(|backend| backend.client);
        self.close_connection(place);
        if let Some(slot) = client {
            if let Some(conn) = self.conns.get_mut(slot) {
                conn.server = None;
            }
            self.detach(slot, outcome, None, context);
        }
        self.serve_waiting_sessions(context);
    }

    pub(super) fn close_connection(&mut self, place: Slot) {
        if let Some(backend) = self.servers.remove(place) {
            self.pools.closed(&backend.key, place.number());
        }
    }
}

/// Takes a step of the login at a server.
pub(super) fn authenticate(
    backend: &mut ServerConnection,
    body: &[u8],
    pool: &Pool,
    rng: &mut fastrand::Rng,
) -> Result<(), String> {
    let words = |fault: scram::ScramError| fault.to_string();
    let answer = match wire::read_authentication(body) {
        // A server that skips the proof that it knows the password is not the one that was meant.
        Authentication::Complete if backend.login.is_none() => return Ok(()),
        asked @ Authentication::Mechanisms(_) if asked.offers(MECHANISM) || asked.offers(MECHANISM_PLUS) => {
            let endpoint = backend.link.channel_binding();
            let (mechanism, channel) = match &endpoint {
                Some(bytes) if asked.offers(MECHANISM_PLUS) => (MECHANISM_PLUS, ChannelBinding::Bound(bytes)),
                // The server finds out whether its offer was struck out on the way.
                Some(_) => (MECHANISM, ChannelBinding::NotUsed),
                None => (MECHANISM, ChannelBinding::Unsupported),
            };
            let (login, first) = scram::Client::begin(&nonce(rng), channel);
            backend.login = Some(login);
            wire::sasl_initial_response(mechanism, &first)
        }
        Authentication::SaslContinue(step) => {
            let file =
                pool.server_password_file.as_ref().ok_or("it asks for a password, and none is kept here")?;
            let login = backend.login.as_mut().ok_or("a step before the first")?;
            wire::message_of_strings(
                b'p',
                &[],
                login.answer(step, &files::read_password(file)?).map_err(words)?.as_bytes(),
            )
        }
        Authentication::SaslFinal(last) => {
            let login = backend.login.take().ok_or("a step before the first")?;
            return login.finish(last).map_err(words);
        }
        _ => return Err("it asks for what is not spoken here".into()),
    };
    backend.link.outbox.push(&answer).map_err(|_| "no memory left".to_string())
}

/// The first message of a session at a server.
pub(super) fn startup_message(backend: &ServerConnection) -> Vec<u8> {
    wire::startup_message(&[("user", &backend.key.user), ("database", &backend.key.database)])
}

/// Whether a server is the primary, as far as it has told; it does so from PostgreSQL 14 on.
pub(super) fn reported_role(remote: &ServerSessionState) -> Option<bool> {
    remote.parameters.get("in_hot_standby").map(|standby| standby == "off")
}
