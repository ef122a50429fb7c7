//! A server's connection: how it is opened, TLS and the login there, and its end.

use std::net::SocketAddr;

use buffer::Fill;
use mio::net::TcpStream;
use mio::Interest;
use operator::Pool;
use pgwire::session::{self as wire, Authentication, Piece, ServerMessageReader};
use pgwire::sqlstate;
use pooling::{Key, Remote};
use routing::interface::{MemberId, Outcome};
use scram::{Channel, MECHANISM, MECHANISM_PLUS};
use tls::{Link, Session};

use super::login::nonce;
use super::Sessions;
use crate::files;
use crate::net::event_loop::{Slot, Source};
use crate::net::Context;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerState {
    Connecting,
    /// It was asked for TLS.
    Asking,
    Starting,
    Idle,
    Used,
    /// Only asks for what another connection does to end.
    Cancelling,
}

pub(super) struct Backend {
    pub(super) stream: TcpStream,
    pub(super) link: Link,
    pub(super) flow: ServerMessageReader,
    pub(super) state: ServerState,
    pub(super) key: Key,
    pub(super) member: MemberId,
    pub(super) address: SocketAddr,
    pub(super) remote: Option<Remote>,
    /// A login at the server that has begun; what has been proved by its end.
    pub(super) login: Option<scram::Client>,
    pub(super) cancel: (u32, u32),
    pub(super) until: f64,
    pub(super) client: Option<Slot>,
    /// It may be told to end what it does, at a time that nobody knows: nobody else may have it.
    pub(super) tainted: bool,
    /// Its server is drained: taken away then.
    pub(super) drain: Option<f64>,
}

impl Sessions {
    /// Begins a connection, for a session or for whoever comes.
    pub(super) fn open(
        &mut self,
        slot: Option<Slot>,
        key: Key,
        member: MemberId,
        address: SocketAddr,
        context: &mut Context,
    ) {
        let now = context.reactor.now();
        let Ok(stream) = TcpStream::connect(address) else {
            return slot.into_iter().for_each(|slot| self.part(slot, Outcome::ConnectFailed, None, context));
        };
        let until = now + self.connect_timeout;
        let backend = self.backend(stream, key.clone(), member, address, until);
        let backend = Backend { client: slot, ..backend };
        let place = self.backends.insert(backend);
        self.pools.opened(now, &key, place.number());
        if !self.register(place, context) {
            return self.fail(place, Outcome::NotSent, context);
        }
        if let Some(conn) = slot.and_then(|slot| self.conns.get_mut(slot)) {
            conn.backend = Some(place);
        }
    }

    pub(super) fn backend(
        &self,
        stream: TcpStream,
        key: Key,
        member: MemberId,
        address: SocketAddr,
        until: f64,
    ) -> Backend {
        let _ = stream.set_nodelay(true);
        let link = Link::new(None, &self.budget);
        let remote = Some(Remote::new(self.pool.statements as usize));
        let (state, flow, cancel) = (ServerState::Connecting, ServerMessageReader::default(), (0, 0));
        let (client, tainted, drain) = (None, false, None);
        let login = None;
        Backend {
            stream,
            link,
            flow,
            state,
            key,
            member,
            address,
            remote,
            login,
            cancel,
            until,
            client,
            tainted,
            drain,
        }
    }

    pub(super) fn register(&mut self, place: Slot, context: &mut Context) -> bool {
        let Some(backend) = self.backends.get_mut(place) else { return false };
        let (token, both) = (Source::Backend(place).into(), Interest::READABLE | Interest::WRITABLE);
        context.reactor.registry.register(&mut backend.stream, token, both).is_ok()
    }

    /// A server's connection may be read from or written to, or has ended.
    pub fn ready_server(&mut self, place: Slot, context: &mut Context) {
        let Some(backend) = self.backends.get_mut(place) else { return };
        match backend.state {
            ServerState::Used => {
                if let Some(slot) = backend.client {
                    self.ready(slot, context);
                }
            }
            ServerState::Connecting | ServerState::Asking | ServerState::Starting => {
                if let Err(outcome) = self.begin(place, context) {
                    self.fail(place, outcome, context);
                }
            }
            // Nothing is owed on it: what comes is its end, or makes it of no use.
            ServerState::Idle => {
                if !self.is_alive(place) {
                    self.close(place);
                    self.turns(context);
                }
            }
            ServerState::Cancelling => {
                let connected = backend.stream.peer_addr().is_ok();
                if connected && !matches!(backend.link.turn(&mut backend.stream), Ok(Fill::Drained)) {
                    self.backends.remove(place);
                }
            }
        }
    }

    /// Goes on with the beginning of a connection; how that failed.
    pub(super) fn begin(&mut self, place: Slot, context: &mut Context) -> Result<(), Outcome> {
        let Some(backend) = self.backends.get_mut(place) else { return Ok(()) };
        if backend.state == ServerState::Connecting {
            if backend.stream.peer_addr().is_err() {
                return match backend.stream.take_error() {
                    Ok(None) => Ok(()),
                    _ => Err(Outcome::ConnectFailed),
                };
            }
            let first = match &self.server_tls {
                Some(_) => wire::ssl_request(),
                None => hello(backend),
            };
            backend.state =
                if self.server_tls.is_some() { ServerState::Asking } else { ServerState::Starting };
            backend.link.outbox.push(&first).map_err(|_| Outcome::NotSent)?;
        }
        let told = |fault: &tls::Fault, backend: &Backend| {
            if !matches!(fault, tls::Fault::Broken(_)) {
                logging::warn!(event = "pool.server_tls", member = &*backend.member, "no TLS: {fault}");
            }
            Outcome::ConnectFailed
        };
        let turned = backend.link.turn(&mut backend.stream);
        let mut fill = turned.map_err(|fault| told(&fault, backend))?;
        if backend.state == ServerState::Asking {
            match &*backend.link.inbox.take(2) {
                [] if fill == Fill::Drained => return Ok(()),
                [b'S'] => {}
                // Turned down, or something in the clear behind it, which somebody else may have put there.
                _ => return Err(told(&tls::Fault::NotTls, backend)),
            }
            let Some(client) = &self.server_tls else { return Err(Outcome::NotSent) };
            let address = backend.address.ip().to_string();
            let name = self.pool.server_tls_name.as_ref().unwrap_or(&address);
            let session = Session::new(client, name, &self.budget).map_err(|fault| told(&fault, backend))?;
            backend.link.secure(session, &self.budget);
            backend.state = ServerState::Starting;
            let first = hello(backend);
            backend.link.outbox.push(&first).map_err(|_| Outcome::NotSent)?;
            let turned = backend.link.turn(&mut backend.stream);
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
                    let turned = backend.link.turn(&mut backend.stream);
                    fill = turned.map_err(|fault| told(&fault, backend))?;
                }
                b'S' => {
                    if let (Some((name, value)), Some(remote)) =
                        (pgwire::read_parameter_status(&message.body), &mut backend.remote)
                    {
                        remote.told.insert(name.into(), value.into());
                    }
                }
                b'K' => backend.cancel = wire::read_backend_key(&message.body).unwrap_or_default(),
                b'N' => {}
                b'Z' => {
                    let told = backend.remote.as_ref().map(|remote| remote.told.clone());
                    self.told.extend(told.unwrap_or_default());
                    self.begun(place, context);
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
    pub(super) fn begun(&mut self, place: Slot, context: &mut Context) {
        let Some(backend) = self.backends.get_mut(place) else { return };
        let (member, primary) = (backend.member.clone(), backend.remote.as_ref().and_then(role));
        self.learn(&member, primary, context);
        let Some(backend) = self.backends.get_mut(place) else { return };
        match backend.client {
            Some(slot) if backend.drain.is_none() => self.attach(slot, place, context),
            Some(slot) => {
                // Its server was drained meanwhile.
                self.close(place);
                self.part(slot, Outcome::NotSent, None, context);
            }
            None => self.rest(place, context),
        }
    }

    /// Whether an idle connection has not ended meanwhile without that having been looked at.
    pub(super) fn is_alive(&mut self, slot: Slot) -> bool {
        let Some(backend) = self.backends.get_mut(slot) else { return false };
        let same = self.members.get(&backend.member).is_some_and(|member| member.address == backend.address);
        same && matches!(backend.link.turn(&mut backend.stream), Ok(Fill::Drained))
            && backend.link.inbox.is_empty()
    }

    /// A connection could not be made.
    pub(super) fn fail(&mut self, place: Slot, outcome: Outcome, context: &mut Context) {
        let client = self.backends.get_mut(place).and_then(|backend| backend.client);
        self.close(place);
        if let Some(slot) = client {
            if let Some(conn) = self.conns.get_mut(slot) {
                conn.backend = None;
            }
            self.part(slot, outcome, None, context);
        }
        self.turns(context);
    }

    pub(super) fn close(&mut self, place: Slot) {
        if let Some(backend) = self.backends.remove(place) {
            self.pools.closed(&backend.key, place.number());
        }
    }
}

/// Takes a step of the login at a server.
pub(super) fn authenticate(
    backend: &mut Backend,
    body: &[u8],
    pool: &Pool,
    rng: &mut fastrand::Rng,
) -> Result<(), String> {
    let words = |fault: scram::Fault| fault.to_string();
    let answer = match wire::read_authentication(body) {
        // A server that skips the proof that it knows the password is not the one that was meant.
        Authentication::Complete if backend.login.is_none() => return Ok(()),
        asked @ Authentication::Mechanisms(_) if asked.offers(MECHANISM) || asked.offers(MECHANISM_PLUS) => {
            let endpoint = backend.link.endpoint();
            let (mechanism, channel) = match &endpoint {
                Some(bytes) if asked.offers(MECHANISM_PLUS) => (MECHANISM_PLUS, Channel::Bound(bytes)),
                // The server finds out whether its offer was struck out on the way.
                Some(_) => (MECHANISM, Channel::Unbound),
                None => (MECHANISM, Channel::Open),
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
                login.answer(step, &files::password(file)?).map_err(words)?.as_bytes(),
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
pub(super) fn hello(backend: &Backend) -> Vec<u8> {
    wire::startup_message(&[("user", &backend.key.user), ("database", &backend.key.database)])
}

/// Whether a server is the primary, as far as it has told; it does so from PostgreSQL 14 on.
pub(super) fn role(remote: &Remote) -> Option<bool> {
    remote.told.get("in_hot_standby").map(|standby| standby == "off")
}
