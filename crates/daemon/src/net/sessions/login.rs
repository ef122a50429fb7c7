//! Clients that come: the listener, TLS, the login, and the session that is made of a client's options.

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

impl Sessions {
    /// Takes in all that wait, as far as there are places.
    pub fn accept(&mut self, context: &mut Context) {
        if self.paused {
            return;
        }
        while self.conns.len() < self.pool.clients as usize {
            let Some(listener) = &self.listener else { return };
            // What keeps a new one out is looked at again with the next sweep.
            let Ok((stream, address)) = listener.accept() else { return };
            let _ = stream.set_nodelay(true);
            let link = Transport::new(None, &self.budget);
            let nobody: Rc<str> = "".into();
            let slot = self.conns.insert(ClientConnection {
                stream,
                link,
                stage: Stage::Startup,
                session: None,
                login: None,
                options: Vec::new(),
                peer_ip: address.ip(),
                reject_at: 0.0,
                user: nobody.clone(),
                database: nobody,
                secret: 0,
                server: None,
                pending_request: None,
                assignment: None,
                state_since: context.reactor.now(),
                busy: false,
            });
            let Some(conn) = self.conns.get_mut(slot) else { return };
            let (token, both) = (Source::SessionClient(slot).into(), Interest::READABLE | Interest::WRITABLE);
            if context.reactor.registry.register(&mut conn.stream, token, both).is_err() {
                self.conns.remove(slot);
            }
        }
    }

    pub(super) fn handle_startup(&mut self, slot: Slot, first: FirstMessage, context: &mut Context) -> Step {
        let Some(conn) = self.conns.get_mut(slot) else { return Step::Waiting };
        let pushed = match first {
            FirstMessage::Encryption => match &self.tls {
                None => conn.link.outbox.push(b"N"),
                // Whoever sends more before it is told that there is TLS, or asks for it twice, is no client.
                Some(_) if !conn.link.inbox.is_empty() || conn.link.has_tls() => return Step::Closed,
                Some(server) => {
                    let Ok(session) = Session::accept(server, &self.budget) else { return Step::Closed };
                    // Written without reading: what a quick client answers meanwhile is TLS already.
                    let outbox = &mut conn.link.outbox;
                    let told = outbox.push(b"S").is_ok() && outbox.drain(&mut conn.stream).is_ok();
                    if !told || !conn.link.is_flushed() {
                        return Step::Closed;
                    }
                    conn.link.start_tls(session, &self.budget);
                    return Step::Progress;
                }
            },
            FirstMessage::Session(_) if self.pool.tls_required && !conn.link.has_tls() => {
                conn.stage = Stage::Ending;
                conn.link.outbox.push(&error_response(
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
                conn.link.outbox.push(&error_response(
                    "FATAL",
                    sqlstate::FEATURE_NOT_SUPPORTED,
                    "unknown protocol",
                    None,
                ))
            }
            FirstMessage::Session(options) if self.users.is_some() => {
                let Some(conn) = self.conns.get_mut(slot) else { return Step::Waiting };
                (conn.stage, conn.options) = (Stage::Login, options);
                let offered: &[&str] = match conn.link.channel_binding() {
                    Some(_) => &[MECHANISM_PLUS, MECHANISM],
                    None => &[MECHANISM],
                };
                conn.link.outbox.push(&wire::authentication_sasl(offered))
            }
            FirstMessage::Session(options) => {
                let welcome = self.welcome(slot, &options);
                let Some(conn) = self.conns.get_mut(slot) else { return Step::Waiting };
                match welcome {
                    Ok(bytes) => {
                        conn.stage = Stage::Running;
                        conn.link.outbox.push(&bytes)
                    }
                    Err(what) => {
                        conn.stage = Stage::Ending;
                        conn.link.outbox.push(&error_response(
                            "FATAL",
                            sqlstate::FEATURE_NOT_SUPPORTED,
                            &what,
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

    /// A step of a client's login.
    pub(super) fn handle_login(&mut self, slot: Slot, body: &[u8], context: &mut Context) -> Step {
        let now = context.reactor.now();
        let Some(conn) = self.conns.get_mut(slot) else { return Step::Waiting };
        let user =
            conn.options.iter().find(|(name, _)| name == "user").map_or("", |(_, user)| user).to_string();
        let result = match conn.login.take() {
            None => {
                let verifier = self.users.as_ref().and_then(|users| users.get(&user));
                let nonce = nonce(&mut self.rng);
                let endpoint = conn.link.channel_binding();
                let chosen = match (wire::read_sasl_initial_response(body), &endpoint) {
                    (Some((MECHANISM_PLUS, step)), Some(bytes)) => Ok((step, ChannelBinding::Bound(bytes))),
                    (Some((MECHANISM, step)), Some(_)) => Ok((step, ChannelBinding::NotUsed)),
                    (Some((MECHANISM, step)), None) => Ok((step, ChannelBinding::Unsupported)),
                    _ => Err(scram::ScramError::Malformed),
                };
                let begun = chosen.and_then(|(step, channel)| {
                    scram::Server::begin(step, &user, verifier, &nonce, &self.key, channel)
                });
                begun.map(|(server, told)| {
                    conn.login = Some(server);
                    wire::authentication_sasl_step(false, &told)
                })
            }
            Some(server) => {
                let step = std::str::from_utf8(body).unwrap_or_default();
                server.finish(step).map(|told| wire::authentication_sasl_step(true, &told))
            }
        };
        let done = conn.login.is_none();
        match result {
            Ok(bytes) if !done => self.send_to_client(slot, &bytes),
            Ok(mut bytes) => {
                let (options, from) = (std::mem::take(&mut conn.options), conn.peer_ip);
                self.guesses.record_success(from);
                match self.welcome(slot, &options) {
                    Ok(welcome) => {
                        bytes.extend(welcome);
                        self.conns.get_mut(slot).into_iter().for_each(|conn| conn.stage = Stage::Running);
                    }
                    Err(what) => {
                        bytes.extend(error_response("FATAL", sqlstate::FEATURE_NOT_SUPPORTED, &what, None));
                        self.conns.get_mut(slot).into_iter().for_each(|conn| conn.stage = Stage::Ending);
                    }
                }
                self.send_to_client(slot, &bytes)
            }
            Err(fault) => {
                context.counters.malformed += 1;
                let wait = self.guesses.record_failure(now, conn.peer_ip);
                logging::warn!(event = "pool.login", user, "{fault}");
                (conn.stage, conn.reject_at) = (Stage::Rejected, now + wait);
                Step::Waiting
            }
        }
    }

    /// Makes a session of a client's options; what it is told.
    pub(super) fn welcome(&mut self, slot: Slot, options: &[(String, String)]) -> Result<Vec<u8>, String> {
        let secret = self.rng.u32(..);
        let Some(conn) = self.conns.get_mut(slot) else { return Err("gone".into()) };
        let (mut user, mut database, mut start) = (None, None, BTreeMap::new());
        for (name, value) in options {
            match name.as_str() {
                "user" => user = Some(value.as_str()),
                "database" => database = Some(value.as_str()),
                "replication" if value == "false" || value == "off" => {}
                "replication" => return Err("replication is not served".into()),
                "options" if value.trim().is_empty() => {}
                "options" => parse_options(value, &mut start).ok_or("options: accepted: -c name=value")?,
                // Of the protocol's next versions: not known, and harmless to pass over.
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
        conn.session = Some(Box::new(Pooled::new(mode, start, self.server_settings.clone())));
        let mut bytes = wire::message_of_strings(b'R', &[], &[0; 4]);
        for (name, value) in &self.server_settings {
            bytes.extend(wire::message_of_strings(b'S', &[name, value], &[]));
        }
        bytes.extend(wire::backend_key_data((slot.number() as u32, secret)));
        bytes.extend(wire::ready_for_query(b'I'));
        Ok(bytes)
    }
}

/// A text that was never used in a login: printable and without commas, as the mechanism wants it.
pub(super) fn nonce(rng: &mut fastrand::Rng) -> String {
    (0..24).map(|_| rng.alphanumeric()).collect()
}

/// Settings in the form of a command line: `-c name=value`, or `--name=value`.
pub(super) fn parse_options(options: &str, into: &mut BTreeMap<String, String>) -> Option<()> {
    let mut words = options.split_whitespace();
    while let Some(word) = words.next() {
        let pair = match word.strip_prefix("--") {
            Some(pair) => pair,
            None => match word.strip_prefix("-c")? {
                "" => words.next()?,
                pair => pair,
            },
        };
        let (name, value) = pair.split_once('=')?;
        let name = name.replace('-', "_").to_lowercase();
        let sound =
            !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_' || c == '.');
        into.insert(name.clone(), sound.then(|| setting_literal(&name, value))?);
    }
    Some(())
}

/// A setting's value as SQL.
pub(super) fn setting_literal(name: &str, value: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "_$\", ".contains(c);
    // A list of names: one quoted text would be one name.
    if name.eq_ignore_ascii_case("search_path") && !value.is_empty() && value.chars().all(plain) {
        return value.to_string();
    }
    format!("'{}'", value.replace('\'', "''").replace('\\', ""))
}
