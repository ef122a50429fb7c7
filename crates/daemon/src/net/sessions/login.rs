//! New clients: the listener, TLS, authentication, and the creation of a session from the client's options.

use std::collections::BTreeMap;
use std::rc::Rc;

use mio::Interest;
use operator::PoolMode;
use pgwire::session::{self as wire, FirstMessage};
use pgwire::{error_response, sqlstate};
use pooling::{Mode, Session as Pooled};
use scram::{ChannelBinding, MECHANISM, MECHANISM_PLUS};
use tls::{Session, Transport};

use super::client::{ClientConnection, Stage, Step};
use super::Sessions;
use crate::net::event_loop::{Slot, Source};
use crate::net::Context;

/// Maximum number of characters of a user's name in the log.
const MAX_LOGGED_CHARS: usize = 64;
/// Maximum number of connections accepted in a turn.
const MAX_ACCEPTS_PER_TURN: usize = 16;

impl Sessions {
    /// Accepts waiting connections up to the limit; those beyond a turn's share wait for the next turn. At the limit, a
    /// new connection replaces one whose client has not finished its login or a message.
    pub fn accept(&mut self, context: &mut Context) {
        if self.paused {
            return;
        }
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let replaceable = if self.is_full() { self.replaceable(context) } else { None };
            if replaceable.is_none() && self.is_full() {
                return;
            }
            let Some(listener) = &self.listener else { return };
            // After an error, waiting connections are accepted by the next check of time limits.
            let Ok((stream, address)) = listener.accept() else { return };
            replaceable.into_iter().for_each(|slot| self.refuse_unfinished(slot, context));
            let _ = stream.set_nodelay(true);
            let transport = Transport::new(None, &self.budget);
            let unset: Rc<str> = "".into();
            let slot = self.clients.insert(ClientConnection {
                stream,
                transport,
                stage: Stage::Startup,
                session: None,
                session_charge: self.budget.charge(),
                login: None,
                options: Vec::new(),
                peer_ip: address.ip(),
                reject_at: 0.0,
                user: unset.clone(),
                database: unset,
                secret: 0,
                server: None,
                pending_request: None,
                assignment: None,
                state_since: context.reactor.now(),
                busy: false,
                unfinished_since: None,
                unread_since: None,
            });
            let Some(conn) = self.clients.get_mut(slot) else { return };
            let (token, both) = (Source::SessionClient(slot).into(), Interest::READABLE | Interest::WRITABLE);
            if context.reactor.registry.register(&mut conn.stream, token, both).is_err() {
                self.clients.remove(slot);
            }
        }
        context.reactor.continue_later(Source::SessionListener);
    }

    /// Returns true if clients hold all places.
    fn is_full(&self) -> bool {
        self.clients.len() >= self.pool.clients as usize
    }

    pub(super) fn handle_startup(&mut self, slot: Slot, first: FirstMessage, context: &mut Context) -> Step {
        let Some(conn) = self.clients.get_mut(slot) else { return Step::Waiting };
        let pushed = match first {
            FirstMessage::Encryption => match &self.tls {
                None => conn.transport.outbox.push(b"N"),
                // A client that sends data before the reply to its TLS request, or requests TLS twice,
                // violates the protocol.
                Some(_) if !conn.transport.inbox.is_empty() || conn.transport.has_tls() => {
                    return Step::Closed
                }
                Some(server) => {
                    let Ok(session) = Session::accept(server, &self.budget) else { return Step::Closed };
                    // Written without reading: data that a fast client sends meanwhile is TLS already.
                    let outbox = &mut conn.transport.outbox;
                    let replied = outbox.push(b"S").is_ok() && outbox.drain(&mut conn.stream).is_ok();
                    if !replied || !conn.transport.is_flushed() {
                        return Step::Closed;
                    }
                    conn.transport.start_tls(session, &self.budget);
                    return Step::Progress;
                }
            },
            FirstMessage::Session(_) if self.pool.tls_required && !conn.transport.has_tls() => {
                conn.stage = Stage::Ending;
                conn.transport.outbox.push(&error_response(
                    "FATAL",
                    sqlstate::INVALID_AUTHORIZATION,
                    "only TLS is served here",
                    None,
                ))
            }
            FirstMessage::Cancel(number, secret) => {
                self.cancel(number, secret, context);
                return Step::Closed;
            }
            FirstMessage::Unknown => {
                conn.stage = Stage::Ending;
                conn.transport.outbox.push(&error_response(
                    "FATAL",
                    sqlstate::FEATURE_NOT_SUPPORTED,
                    "unknown protocol",
                    None,
                ))
            }
            FirstMessage::Session(options) if self.users.is_some() => {
                let Some(conn) = self.clients.get_mut(slot) else { return Step::Waiting };
                (conn.stage, conn.options) = (Stage::Login, options);
                let offered: &[&str] = match conn.transport.channel_binding() {
                    Some(_) => &[MECHANISM_PLUS, MECHANISM],
                    None => &[MECHANISM],
                };
                conn.transport.outbox.push(&wire::authentication_sasl(offered))
            }
            FirstMessage::Session(options) => {
                let welcome = self.welcome(slot, &options);
                let Some(conn) = self.clients.get_mut(slot) else { return Step::Waiting };
                match welcome {
                    Ok(bytes) => {
                        conn.stage = Stage::Running;
                        conn.transport.outbox.push(&bytes)
                    }
                    Err(text) => {
                        conn.stage = Stage::Ending;
                        conn.transport.outbox.push(&error_response(
                            "FATAL",
                            sqlstate::FEATURE_NOT_SUPPORTED,
                            &text,
                            None,
                        ))
                    }
                }
            }
        };
        if pushed.is_ok() {
            Step::Progress
        } else {
            Step::Closed
        }
    }

    /// Processes an authentication message of a client.
    pub(super) fn handle_login(&mut self, slot: Slot, body: &[u8], context: &mut Context) -> Step {
        let now = context.reactor.now();
        let Some(conn) = self.clients.get_mut(slot) else { return Step::Waiting };
        let user =
            conn.options.iter().find(|(name, _)| name == "user").map_or("", |(_, user)| user).to_string();
        let result = match conn.login.take() {
            None => {
                let verifier = self.users.as_ref().and_then(|users| users.get(&user));
                let nonce = nonce(&mut self.rng);
                let endpoint = conn.transport.channel_binding();
                let chosen = match (wire::read_sasl_initial_response(body), &endpoint) {
                    (Some((MECHANISM_PLUS, step)), Some(bytes)) => Ok((step, ChannelBinding::Bound(bytes))),
                    (Some((MECHANISM, step)), Some(_)) => Ok((step, ChannelBinding::NotUsed)),
                    (Some((MECHANISM, step)), None) => Ok((step, ChannelBinding::Unsupported)),
                    _ => Err(scram::ScramError::Malformed),
                };
                let result = chosen.and_then(|(step, channel)| {
                    scram::Server::begin(step, &user, verifier, &nonce, &self.unknown_user_secret, channel)
                });
                result.map(|(server, challenge)| {
                    conn.login = Some(server);
                    wire::authentication_sasl_step(false, &challenge)
                })
            }
            Some(server) => {
                let step = std::str::from_utf8(body).unwrap_or_default();
                server.finish(step).map(|last| wire::authentication_sasl_step(true, &last))
            }
        };
        let done = conn.login.is_none();
        match result {
            Ok(bytes) if !done => self.send_to_client(slot, &bytes),
            Ok(mut bytes) => {
                let (options, peer_ip) = (std::mem::take(&mut conn.options), conn.peer_ip);
                self.failed_logins.record_success(peer_ip);
                match self.welcome(slot, &options) {
                    Ok(welcome) => {
                        bytes.extend(welcome);
                        self.clients.get_mut(slot).into_iter().for_each(|conn| conn.stage = Stage::Running);
                    }
                    Err(text) => {
                        bytes.extend(error_response("FATAL", sqlstate::FEATURE_NOT_SUPPORTED, &text, None));
                        self.clients.get_mut(slot).into_iter().for_each(|conn| conn.stage = Stage::Ending);
                    }
                }
                self.send_to_client(slot, &bytes)
            }
            Err(fault) => {
                context.counters.malformed += 1;
                let wait = self.failed_logins.record_failure(now, conn.peer_ip);
                let user: String = user.chars().take(MAX_LOGGED_CHARS).collect();
                logging::warn!(event = "pool.login", user, "{fault}");
                (conn.stage, conn.reject_at) = (Stage::Rejected, now + wait);
                Step::Waiting
            }
        }
    }

    /// Creates a session from a client's options; returns the messages that the client is sent.
    pub(super) fn welcome(&mut self, slot: Slot, options: &[(String, String)]) -> Result<Vec<u8>, String> {
        let secret = self.rng.u32(..);
        let Some(conn) = self.clients.get_mut(slot) else { return Err("gone".into()) };
        let (mut user, mut database, mut start) = (None, None, BTreeMap::new());
        for (name, value) in options {
            match name.as_str() {
                "user" => user = Some(value.as_str()),
                "database" => database = Some(value.as_str()),
                "replication" if value == "false" || value == "off" => {}
                "replication" => return Err("replication is not served".into()),
                "options" if value.trim().is_empty() => {}
                "options" => parse_options(value, &mut start).ok_or("options: accepted: -c name=value")?,
                // Options of later protocol versions, which can be ignored.
                name if name.starts_with("_pq_.") => {}
                name => drop(start.insert(name.to_lowercase(), setting_literal(name, value))),
            }
        }
        let user = user.filter(|user| !user.is_empty()).ok_or("no user")?;
        (conn.user, conn.database, conn.secret) = (user.into(), database.unwrap_or(user).into(), secret);
        let mode = match self.pool.mode {
            PoolMode::Statement => Mode::Statement,
            PoolMode::Transaction => Mode::Transaction,
            PoolMode::Session => Mode::Session,
        };
        let session = Pooled::new(mode, start, self.server_settings.clone());
        let session = session.with_stateless_functions(self.stateless_functions.clone());
        conn.session = Some(Box::new(session));
        let mut bytes = wire::message_of_strings(b'R', &[], &[0; 4]);
        for (name, value) in &self.server_settings {
            bytes.extend(wire::message_of_strings(b'S', &[name, value], &[]));
        }
        bytes.extend(wire::backend_key_data((slot.number() as u32, secret)));
        bytes.extend(wire::ready_for_query(b'I'));
        Ok(bytes)
    }
}

/// Returns a nonce: printable and without commas, as SCRAM requires.
pub(super) fn nonce(rng: &mut fastrand::Rng) -> String {
    (0..24).map(|_| rng.alphanumeric()).collect()
}

/// Parses settings in the form of a command line: `-c name=value`, or `--name=value`.
pub(super) fn parse_options(options: &str, into: &mut BTreeMap<String, String>) -> Option<()> {
    let mut args = options.split_whitespace();
    while let Some(word) = args.next() {
        let pair = match word.strip_prefix("--") {
            Some(pair) => pair,
            None => match word.strip_prefix("-c")? {
                "" => args.next()?,
                pair => pair,
            },
        };
        let (name, value) = pair.split_once('=')?;
        let name = name.replace('-', "_").to_lowercase();
        let valid_name =
            !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_' || c == '.');
        into.insert(name.clone(), valid_name.then(|| setting_literal(&name, value))?);
    }
    Some(())
}

/// Returns a setting's value as an SQL literal.
pub(super) fn setting_literal(name: &str, value: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "_$\", ".contains(c);
    // A list of names: a quoted string would be a single name.
    if name.eq_ignore_ascii_case("search_path") && !value.is_empty() && value.chars().all(plain) {
        return value.to_string();
    }
    format!("'{}'", value.replace('\'', "''").replace('\\', ""))
}
