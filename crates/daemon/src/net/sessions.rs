//! Ordinary clients and the server connections that they share. Moves the bytes; what they mean to a session is
//! [`pooling::Session`]'s to say, which connection it gets [`pooling::Pools`]', and which member the policy's.

mod assignment;
mod cancel;
mod client;
mod limits;
mod login;
mod members;
mod report;
mod server;

use std::collections::{BTreeMap, HashMap};
use std::io;

use buffer::Budget;
use mio::net::TcpListener;
use mio::Interest;
use operator::Pool;
use pgwire::{error_response, sqlstate};
use pooling::{PoolLimits, Pools};
use route::Table;
use routing::interface::{MemberId, Outcome, RequestId};
use scram::{FailedLogins, Users};

use super::event_loop::{Slot, Slots, Source, TimerKind};
use super::Context;
use crate::files;
use client::ClientConnection;
use limits::SWEEP_INTERVAL;
use members::Member;
use server::ServerConnection;

/// How many requests to cancel may be under way.
pub(crate) const MAX_CANCELS: usize = 8;

/// What a session needs a server for, placed.
#[derive(Debug)]
pub(crate) struct RoutedServerRequest {
    pub id: RequestId,
    pub class: String,
    pub tenant: String,
    pub group: u32,
}

/// How a session's use of a server ended.
#[derive(Debug)]
pub(crate) struct Detachment {
    pub id: RequestId,
    pub attempt: usize,
    pub member: MemberId,
    pub outcome: Outcome,
    /// For how long the server was busy (seconds).
    pub elapsed: f64,
    /// Whether the server has shown what it is.
    pub primary: Option<bool>,
}

/// All ordinary clients, their listener, and the server connections.
pub(crate) struct Sessions {
    listener: Option<TcpListener>,
    /// Another process takes in who comes to it.
    paused: bool,
    conns: Slots<ClientConnection>,
    servers: Slots<ServerConnection>,
    pools: Pools,
    pool: Pool,
    table: Table,
    members: HashMap<MemberId, Member>,
    /// Nobody is asked what it is before then.
    next_primary_probe: f64,
    /// What a server has told last of its settings: new clients are told the same.
    server_settings: BTreeMap<String, String>,
    /// Those who may connect; anybody where there is no such list.
    users: Option<Users>,
    guesses: FailedLogins,
    /// What clients' TLS is made from; none is spoken where there is none.
    tls: Option<tls::ServerContext>,
    /// What TLS towards servers is made from; none is spoken where there is none.
    server_tls: Option<tls::ClientContext>,
    /// Makes up what is told of users that are not known.
    key: [u8; 32],
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
        let pace = PoolLimits {
            max_connections: pool.servers as usize,
            max_per_key: pool.servers_each as usize,
            reserve_per_key: pool.servers_reserve as usize,
            reserve_after: pool.reserve_after_s,
            idle_timeout: pool.server_idle_s,
            min_per_key: pool.servers_least as usize,
            max_lifetime: pool.server_lifetime_s,
        };
        let mut key = [0; 32];
        files::fill_random(&mut key).map_err(io::Error::other)?;
        let told = [("server_version", "15.0"), ("server_encoding", "UTF8"), ("client_encoding", "UTF8")]
            .into_iter()
            .chain([
                ("DateStyle", "ISO, MDY"),
                ("integer_datetimes", "on"),
                ("standard_conforming_strings", "on"),
            ]);
        Ok(Sessions {
            listener: Some(listener),
            paused: false,
            conns: Slots::new(),
            servers: Slots::new(),
            pools: Pools::new(pace, seed),
            pool: pool.clone(),
            table,
            members: HashMap::new(),
            next_primary_probe: 0.0,
            server_settings: told.map(|(name, value)| (name.to_string(), value.to_string())).collect(),
            users: pool
                .users
                .as_ref()
                .map(|file| files::read_users(file))
                .transpose()
                .map_err(io::Error::other)?,
            guesses: FailedLogins::default(),
            tls: files::pool_tls(pool, now).map_err(io::Error::other)?,
            server_tls: files::server_tls(pool, now).map_err(io::Error::other)?,
            key,
            budget,
            connect_timeout,
            requests: 0,
            rng: fastrand::Rng::with_seed(seed ^ 0x5e55),
        })
    }

    /// Where what is asked belongs from now on, and who may ask. A file of users that cannot be read leaves those of
    /// before.
    pub fn reconfigure(&mut self, pool: &Pool, table: Table, now: f64) {
        self.table = table;
        self.pool.users.clone_from(&pool.users);
        self.reload_users();
        let tls = |pool: &Pool| (pool.tls_cert.clone(), pool.tls_key.clone(), pool.tls_client_ca.clone());
        if tls(&self.pool) != tls(pool) {
            match files::pool_tls(pool, now) {
                // Open connections go on under what they began with.
                Ok(server) => self.tls = server,
                Err(fault) => logging::error!(event = "pool.tls", "the files of before stay in use: {fault}"),
            }
        }
        (self.pool.tls_cert, self.pool.tls_key, self.pool.tls_client_ca) = tls(pool);
        self.pool.tls_required = pool.tls_required;
    }

    /// Reads the file of users again.
    pub fn reload_users(&mut self) {
        match self.pool.users.as_ref().map(|file| files::read_users(file)).transpose() {
            Ok(users) => self.users = users,
            Err(fault) => logging::error!(event = "pool.users", "those of before stay: {fault}"),
        }
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// The listener, for a successor.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Whether another process takes in who comes to the listener.
    pub fn set_paused(&mut self, paused: bool, context: &mut Context) {
        self.paused = paused;
        self.accept(context);
    }

    /// Takes in no more, and ends every session that is not in the middle of something; all of them where `now`.
    pub fn end_sessions(&mut self, at_once: bool, context: &mut Context) {
        self.listener = None;
        let idle: Vec<Slot> = self
            .conns
            .iter()
            .filter(|(_, conn)| {
                at_once || conn.session.as_ref().is_none_or(|s| !s.awaits_reply() && !s.in_transaction())
            })
            .map(|(slot, _)| slot)
            .collect();
        for slot in idle {
            let Some(conn) = self.conns.get_mut(slot) else { continue };
            let what = "the pooler ends";
            let _ = conn.link.outbox.push(&error_response("FATAL", sqlstate::ADMIN_SHUTDOWN, what, None));
            let _ = conn.link.process_io(&mut conn.stream);
            self.remove_client(slot, context);
        }
    }
}
