//! Ordinary clients and the server connections that they share. This module moves the bytes;
//! [`pooling::Session`] interprets them, [`pooling::Pools`] chooses the server connection, and the routing
//! policy the member.

mod assignment;
mod cancel;
mod client;
mod limits;
mod login;
mod members;
mod report;
mod reset;
mod server;
mod unfinished;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::rc::Rc;

use buffer::Budget;
use mio::net::TcpListener;
use mio::Interest;
use operator::Pool;
use pgwire::{error_response, sqlstate};
use pooling::{PoolLimits, Pools, StatelessFunctions};
use route::Table;
use routing::interface::{MemberId, Outcome, RequestId};
use scram::{FailedLogins, Users};

use super::event_loop::{Slot, Slots, Source, TimerKind};
use super::Context;
use crate::files;
use assignment::log_cut_message;
use client::ClientConnection;
use limits::SWEEP_INTERVAL;
use members::Member;
use server::ServerConnection;

/// Maximum number of cancel requests in flight.
pub(crate) const MAX_CANCELS: usize = 8;

/// A session's request for a server connection, with its class, tenant and group.
#[derive(Debug)]
pub(crate) struct RoutedServerRequest {
    pub id: RequestId,
    pub class: String,
    pub tenant: String,
    pub group: u32,
}

/// How a session's use of a server connection ended.
#[derive(Debug)]
pub(crate) struct Detachment {
    pub id: RequestId,
    pub attempt: usize,
    pub member: MemberId,
    pub outcome: Outcome,
    /// How long the server was busy (seconds).
    pub elapsed: f64,
    /// Whether the server is the primary, if it has reported or shown it.
    pub primary: Option<bool>,
}

/// All ordinary clients, their listener, and the server connections.
pub(crate) struct Sessions {
    listener: Option<TcpListener>,
    /// True while another process accepts from the listener.
    paused: bool,
    /// True once the process shuts down: sessions end between two requests.
    ending: bool,
    clients: Slots<ClientConnection>,
    servers: Slots<ServerConnection>,
    pools: Pools,
    pool: Pool,
    table: Table,
    members: HashMap<MemberId, Member>,
    /// No server is probed for its role before then.
    next_primary_probe: f64,
    /// Functions that leave nothing in a session, for new sessions.
    stateless_functions: Rc<StatelessFunctions>,
    /// The last settings reported by a server; they are sent to new clients.
    server_settings: BTreeMap<String, String>,
    /// The users that may connect; `None` if there is no list of users and anybody may.
    users: Option<Users>,
    failed_logins: FailedLogins,
    /// The TLS context for clients; `None` if TLS is not offered.
    tls: Option<tls::ServerContext>,
    /// The TLS context for servers; `None` if TLS is not used.
    server_tls: Option<tls::ClientContext>,
    /// Key for the salts that are sent for unknown users, so that they look like those of known ones.
    unknown_user_secret: [u8; 32],
    budget: Budget,
    connect_timeout: f64,
    requests: u64,
    rng: fastrand::Rng,
}

impl Sessions {
    pub fn new(
        mut listener: TcpListener,
        pool: &Pool,
        table: Table,
        (budget, connect_timeout, seed): (Budget, f64, u64),
        context: &mut Context,
    ) -> io::Result<Sessions> {
        context.reactor.registry.register(
            &mut listener,
            Source::SessionListener.into(),
            Interest::READABLE,
        )?;
        let now = context.reactor.now();
        context.reactor.set_timer(now + SWEEP_INTERVAL, TimerKind::SessionSweep);
        let pool_limits = PoolLimits {
            max_connections: pool.servers as usize,
            max_per_key: pool.servers_each as usize,
            reserve_per_key: pool.servers_reserve as usize,
            reserve_after: pool.reserve_after_s,
            idle_timeout: pool.server_idle_s,
            min_per_key: pool.servers_least as usize,
            max_lifetime: pool.server_lifetime_s,
        };
        let mut unknown_user_secret = [0; 32];
        files::fill_random(&mut unknown_user_secret).map_err(io::Error::other)?;
        let default_settings =
            [("server_version", "15.0"), ("server_encoding", "UTF8"), ("client_encoding", "UTF8")]
                .into_iter()
                .chain([
                    ("DateStyle", "ISO, MDY"),
                    ("integer_datetimes", "on"),
                    ("standard_conforming_strings", "on"),
                ]);
        Ok(Sessions {
            listener: Some(listener),
            paused: false,
            ending: false,
            clients: Slots::new(),
            servers: Slots::new(),
            pools: Pools::new(pool_limits, seed),
            pool: pool.clone(),
            table,
            members: HashMap::new(),
            next_primary_probe: 0.0,
            stateless_functions: stateless_functions(pool),
            server_settings: default_settings
                .map(|(name, value)| (name.to_string(), value.to_string()))
                .collect(),
            users: pool
                .users
                .as_ref()
                .map(|file| files::read_users(file))
                .transpose()
                .map_err(io::Error::other)?,
            failed_logins: FailedLogins::default(),
            tls: files::pool_tls(pool, now).map_err(io::Error::other)?,
            server_tls: files::server_tls(pool, now).map_err(io::Error::other)?,
            unknown_user_secret,
            budget,
            connect_timeout,
            requests: 0,
            rng: fastrand::Rng::with_seed(seed ^ 0x5e55),
        })
    }

    /// Changes the routing table, the users and the functions that leave nothing in a new session. If the file
    /// of users cannot be read, the previous users stay in use.
    pub fn reconfigure(&mut self, pool: &Pool, table: Table, now: f64) {
        self.table = table;
        self.stateless_functions = stateless_functions(pool);
        self.pool.users.clone_from(&pool.users);
        self.reload_users();
        let tls = |pool: &Pool| (pool.tls_cert.clone(), pool.tls_key.clone(), pool.tls_client_ca.clone());
        if tls(&self.pool) != tls(pool) {
            match files::pool_tls(pool, now) {
                // Open connections continue with the context that they began with.
                Ok(server) => self.tls = server,
                Err(fault) => logging::error!(event = "pool.tls", "the previous files stay in use: {fault}"),
            }
        }
        (self.pool.tls_cert, self.pool.tls_key, self.pool.tls_client_ca) = tls(pool);
        self.pool.tls_required = pool.tls_required;
    }

    /// Reads the file of users again.
    pub fn reload_users(&mut self) {
        match self.pool.users.as_ref().map(|file| files::read_users(file)).transpose() {
            Ok(users) => self.users = users,
            Err(fault) => logging::error!(event = "pool.users", "the previous users stay in use: {fault}"),
        }
    }

    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Returns the listener, for the successor process.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Sets whether another process accepts from the listener.
    pub fn set_paused(&mut self, paused: bool, context: &mut Context) {
        self.paused = paused;
        self.accept(context);
    }

    /// Accepts no more connections and ends every session that has no pending reply and no open transaction;
    /// ends all sessions if `at_once`.
    pub fn end_sessions(&mut self, at_once: bool, context: &mut Context) {
        self.listener = None;
        self.ending = true;
        let idle: Vec<Slot> = self
            .clients
            .iter()
            .filter(|(_, conn)| {
                at_once || conn.session.as_ref().is_none_or(|s| !s.awaits_reply() && !s.in_transaction())
            })
            .map(|(slot, _)| slot)
            .collect();
        for slot in idle {
            self.end_session(slot, context);
        }
    }

    /// Ends a session because the process shuts down.
    fn end_session(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.clients.get_mut(slot) else { return };
        if conn.session.as_ref().is_some_and(|session| session.is_within_message()) {
            // The client would take an error for the rest of the message.
            conn.assignment.iter().for_each(|assignment| log_cut_message(&assignment.member, "pooler_ends"));
        } else {
            let text = "the pooler ends";
            let error = error_response("FATAL", sqlstate::ADMIN_SHUTDOWN, text, None);
            let _ = conn.transport.outbox.push(&error);
        }
        let _ = conn.transport.process_io(&mut conn.stream);
        self.remove_client(slot, context);
    }
}

/// Returns the functions that leave nothing in a session, by the operator's settings.
fn stateless_functions(pool: &Pool) -> Rc<StatelessFunctions> {
    Rc::new(StatelessFunctions::parse(pool.stateless_functions.as_deref().unwrap_or_default()))
}
