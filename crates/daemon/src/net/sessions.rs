//! Ordinary clients and the server connections that they share. Moves the bytes; what they mean to a session is
//! [`pooling::Session`]'s to say, which connection it gets [`pooling::Pools`]', and which member the policy's.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::rc::Rc;

use buffer::{Budget, Fill};
use exchange::Answer;
use listing::Listing;
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use operator::{Pool, PoolMode};
use pgwire::session::{self as wire, First, Flow, Login, Piece};
use pgwire::{code, error};
use pooling::{Action, Choice, Cut, Ended, Key, Mode, Pace, Pools, Remote, Session as Pooled, Want};
use route::{Ask, Table};
use routing::interface::{ListKind, MemberId, Outcome, Phase, RequestId};
use scram::{Channel, Guesses, Users, MECHANISM, MECHANISM_PLUS};
use tls::{Link, Session};

use super::event_loop::{Due, Slot, Slots, Source};
use super::{Context, Event};
use crate::files;

/// How often time limits are looked at (seconds).
const SWEEP: f64 = 0.1;
/// How long a client may take to say who it is, and to read why it is sent away (seconds).
const PROMPT: f64 = 2.0;
/// Bytes that wait for one side past which nothing more is taken from the other. With the longest message on top they
/// still fit a buffer.
const ROOM: usize = 8 * 1024;
/// Most steps of one session before others have their turn.
const TURN: usize = 16;
/// How often servers are asked for the primary that somebody waits for (seconds).
const SCOUT: f64 = 0.5;
/// How long a request to cancel may take (seconds), and how many may be under way.
const CANCEL: f64 = 2.0;
pub(crate) const MOST_CANCELS: usize = 8;

/// What a session needs a server for, placed.
#[derive(Debug)]
pub(crate) struct Wanted {
    pub id: RequestId,
    pub class: String,
    pub tenant: String,
    pub group: u32,
}

/// How a session's use of a server ended.
#[derive(Debug)]
pub(crate) struct Parted {
    pub id: RequestId,
    pub attempt: usize,
    pub member: MemberId,
    pub outcome: Outcome,
    /// For how long the server was busy (seconds).
    pub elapsed: f64,
    /// Whether the server has shown what it is.
    pub primary: Option<bool>,
}

/// What a session waits for.
struct Waiting {
    id: RequestId,
    tenant: String,
    group: u32,
    /// Whether only the primary will do.
    primary: bool,
}

/// A server as the list names it.
struct Member {
    address: SocketAddr,
    active: bool,
    group: u32,
    /// Whether it is the primary, as far as it has said.
    primary: Option<bool>,
}

/// A server that was named for a session.
struct Job {
    id: RequestId,
    attempt: usize,
    member: MemberId,
    give_up: f64,
    tenant: String,
    /// Whether the session is on a connection, which may have run something.
    begun: bool,
    /// For how long the server was busy, and since when it is.
    busy: f64,
    since: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    First,
    /// Its password is asked for.
    Login,
    /// It was wrong: the answer is held back until then.
    Held,
    Running,
    Ending,
}

struct Conn {
    stream: TcpStream,
    link: Link,
    stage: Stage,
    session: Option<Box<Pooled>>,
    /// A login that has begun.
    login: Option<scram::Server>,
    options: Vec<(String, String)>,
    from: IpAddr,
    until: f64,
    user: Rc<str>,
    database: Rc<str>,
    secret: u32,
    backend: Option<Slot>,
    /// What it waits for until it is on a server.
    wanted: Option<Waiting>,
    job: Option<Job>,
    /// When it came to be what it is: begun, busy, or idle.
    since: f64,
    busy: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Connecting,
    /// It was asked for TLS.
    Asking,
    Starting,
    Idle,
    Used,
    /// Only asks for what another connection does to end.
    Cancelling,
}

struct Backend {
    stream: TcpStream,
    link: Link,
    flow: Flow,
    at: At,
    key: Key,
    member: MemberId,
    address: SocketAddr,
    remote: Option<Remote>,
    /// A login at the server that has begun; what has been proved by its end.
    login: Option<scram::Client>,
    cancel: (u32, u32),
    until: f64,
    client: Option<Slot>,
    /// It may be told to end what it does, at a time that nobody knows: nobody else may have it.
    tainted: bool,
    /// Its server is drained: taken away then.
    drain: Option<f64>,
}

/// What a step came to.
enum Step {
    Moved,
    Still,
    Over,
}

/// All ordinary clients, their listener, and the server connections.
pub(crate) struct Sessions {
    listener: Option<TcpListener>,
    /// Another process takes in who comes to it.
    paused: bool,
    conns: Slots<Conn>,
    backends: Slots<Backend>,
    pools: Pools,
    pool: Pool,
    table: Table,
    members: HashMap<MemberId, Member>,
    /// Nobody is asked what it is before then.
    scout: f64,
    /// What a server has told last of its settings: new clients are told the same.
    told: BTreeMap<String, String>,
    /// Those who may connect; anybody where there is no such list.
    users: Option<Users>,
    guesses: Guesses,
    /// What clients' TLS is made from; none is spoken where there is none.
    tls: Option<tls::Server>,
    /// What TLS towards servers is made from; none is spoken where there is none.
    server_tls: Option<tls::Client>,
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
        context.reactor.registry.register(&mut listener, Source::Pooled.into(), Interest::READABLE)?;
        let now = context.reactor.now();
        context.reactor.timer(now + SWEEP, Due::Pools);
        let pace = Pace {
            most: pool.servers as usize,
            each: pool.servers_each as usize,
            reserve: pool.servers_reserve as usize,
            reserve_after: pool.reserve_after_s,
            idle: pool.server_idle_s,
            least: pool.servers_least as usize,
            lifetime: pool.server_lifetime_s,
        };
        let mut key = [0; 32];
        files::random(&mut key).map_err(io::Error::other)?;
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
            backends: Slots::new(),
            pools: Pools::new(pace, seed),
            pool: pool.clone(),
            table,
            members: HashMap::new(),
            scout: 0.0,
            told: told.map(|(name, value)| (name.to_string(), value.to_string())).collect(),
            users: pool
                .users
                .as_ref()
                .map(|file| files::users(file))
                .transpose()
                .map_err(io::Error::other)?,
            guesses: Guesses::default(),
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
    pub fn set(&mut self, pool: &Pool, table: Table, now: f64) {
        self.table = table;
        self.pool.users.clone_from(&pool.users);
        self.reread();
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
    pub fn reread(&mut self) {
        match self.pool.users.as_ref().map(|file| files::users(file)).transpose() {
            Ok(users) => self.users = users,
            Err(fault) => logging::error!(event = "pool.users", "those of before stay: {fault}"),
        }
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// What the sessions do.
    pub fn tell(&self, now: f64) -> control::Sessions {
        let one = |conn: &Conn| {
            let attached = conn.session.as_ref().filter(|session| session.is_attached());
            let state = match (conn.stage, attached) {
                (Stage::First | Stage::Login | Stage::Held, _) => "login",
                (Stage::Ending, _) => "ending",
                (Stage::Running, Some(session)) if session.is_busy() => "busy",
                (Stage::Running, Some(session)) if session.in_transaction() => "transaction",
                (Stage::Running, _) if conn.wanted.is_some() => "waiting",
                (Stage::Running, _) => "idle",
            };
            let backend = conn.backend.and_then(|place| self.backends.get(place));
            let pins = conn.session.iter().flat_map(|session| session.pins());
            control::Session {
                user: conn.user.to_string(),
                database: conn.database.to_string(),
                from: conn.from.to_string(),
                state: state.into(),
                lasts_s: now - conn.since,
                member: backend.map(|backend| backend.member.to_string()),
                bound_by: pins.map(|pin| pin.words().to_string()).collect(),
            }
        };
        let mut list: Vec<control::Session> = self.conns.iter().map(|(_, conn)| one(conn)).collect();
        list.sort_by(|a, b| b.lasts_s.total_cmp(&a.lasts_s));
        let more = list.len().saturating_sub(control::MOST_SESSIONS);
        list.truncate(control::MOST_SESSIONS);
        control::Sessions { list, more, servers: self.pools.count(), waiting: self.pools.waiting() }
    }

    /// The listener, for a successor.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Whether another process takes in who comes to the listener.
    pub fn pause(&mut self, paused: bool, context: &mut Context) {
        self.paused = paused;
        self.accept(context);
    }

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
            let link = Link::new(None, &self.budget);
            let nobody: Rc<str> = "".into();
            let slot = self.conns.insert(Conn {
                stream,
                link,
                stage: Stage::First,
                session: None,
                login: None,
                options: Vec::new(),
                from: address.ip(),
                until: 0.0,
                user: nobody.clone(),
                database: nobody,
                secret: 0,
                backend: None,
                wanted: None,
                job: None,
                since: context.reactor.now(),
                busy: false,
            });
            let Some(conn) = self.conns.get_mut(slot) else { return };
            let (token, both) = (Source::Pool(slot).into(), Interest::READABLE | Interest::WRITABLE);
            if context.reactor.registry.register(&mut conn.stream, token, both).is_err() {
                self.conns.remove(slot);
            }
        }
    }

    /// A client's connection may be read from or written to, or has its turn.
    pub fn ready(&mut self, slot: Slot, context: &mut Context) {
        for _ in 0..TURN {
            match self.step(slot, context) {
                Step::Moved => {}
                Step::Still => return self.clock(slot, context.reactor.now()),
                Step::Over => return self.remove(slot, context),
            }
        }
        self.clock(slot, context.reactor.now());
        context.reactor.timer(context.reactor.now(), Due::Session(slot));
    }

    /// Counts for how long the server is busy, and for how long the client is not.
    fn clock(&mut self, slot: Slot, now: f64) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let busy = conn.session.as_ref().is_some_and(|session| session.is_busy());
        if busy != std::mem::replace(&mut conn.busy, busy) {
            conn.since = now;
        }
        if let Some(job) = &mut conn.job {
            match (job.since, busy) {
                (None, true) => job.since = Some(now),
                (Some(since), false) => (job.busy, job.since) = (job.busy + now - since, None),
                _ => {}
            }
        }
    }

    fn step(&mut self, slot: Slot, context: &mut Context) -> Step {
        let Some(conn) = self.conns.get_mut(slot) else { return Step::Still };
        let Ok(fill) = conn.link.turn(&mut conn.stream) else { return Step::Over };
        let written = conn.link.is_flushed();
        if conn.stage == Stage::Ending {
            if written {
                let _ = conn.stream.shutdown(Shutdown::Write);
            }
            conn.link.inbox.skip(conn.link.inbox.len());
            return if fill == Fill::Ended { Step::Over } else { Step::Still };
        }
        // Written first: no event tells of the room that this makes. A fault is found out again by reading.
        let room = conn.backend.and_then(|b| self.backends.get_mut(b)).is_none_or(|backend| {
            let _ = backend.at != At::Used || backend.link.turn(&mut backend.stream).is_ok();
            backend.link.outbox.len() < ROOM
        });
        let (mut actions, mut moved) = (Vec::new(), false);
        if conn.stage == Stage::Held {
            return if fill == Fill::Ended { Step::Over } else { Step::Still };
        }
        if conn.stage == Stage::Login {
            return match pgwire::message(&mut conn.link.inbox) {
                Ok(None) if fill == Fill::Drained => Step::Still,
                Ok(Some(message)) if message.kind == b'p' => self.login(slot, &message.body, context),
                _ => Step::Over,
            };
        }
        if conn.stage == Stage::First {
            match wire::first(&mut conn.link.inbox) {
                Ok(None) => {}
                Ok(Some(first)) => return self.first(slot, first, context),
                Err(_) => return Step::Over,
            }
        } else if let Some(session) = conn.session.as_mut().filter(|_| room && conn.link.outbox.len() < ROOM)
        {
            let mut bytes = 0;
            while bytes < ROOM && session.takes() && !stops(&actions) {
                match pgwire::message(&mut conn.link.inbox) {
                    Ok(None) => break,
                    Ok(Some(message)) => {
                        bytes += message.body.len() + 5;
                        moved = true;
                        session.client(message, &mut actions);
                    }
                    Err(_) => {
                        let what = "malformed message, or one that is too long";
                        actions.push(Action::Client(error("FATAL", code::TOO_LARGE, what, None)));
                        actions.push(Action::End);
                        moved = true;
                    }
                }
            }
        }
        if moved {
            return self.act(slot, actions, context);
        }
        if fill == Fill::Ended {
            return Step::Over;
        }
        match self.pass_on(slot, context) {
            Step::Still if fill == Fill::Full && self.is_stuck(slot) => Step::Over,
            step => step,
        }
    }

    /// Whether a message can never become whole: no memory is left for its rest, and nothing else is under way.
    fn is_stuck(&mut self, slot: Slot) -> bool {
        self.conns.get_mut(slot).is_some_and(|conn| {
            conn.link.outbox.is_empty()
                && conn.session.as_ref().is_none_or(|session| session.takes() && !session.is_busy())
        })
    }

    /// Passes on what the server has said, as far as the client has room for it.
    fn pass_on(&mut self, slot: Slot, context: &mut Context) -> Step {
        let Some(conn) = self.conns.get_mut(slot) else { return Step::Still };
        let Some(backend) = conn.backend.and_then(|b| self.backends.get_mut(b)).filter(|b| b.at == At::Used)
        else {
            return Step::Still;
        };
        let Some(session) = &mut conn.session else { return Step::Still };
        if conn.link.outbox.len() >= ROOM {
            return Step::Still;
        }
        let fill = backend.link.turn(&mut backend.stream);
        let (mut actions, mut bytes, mut broken) = (Vec::new(), 0, false);
        while bytes < ROOM && !stops(&actions) {
            match backend.flow.next(&mut backend.link.inbox) {
                Ok(None) => break,
                Ok(Some(piece)) => {
                    bytes += match &piece {
                        Piece::Message(message) => message.body.len() + 5,
                        Piece::Part(part) => part.len(),
                    };
                    session.server(piece, &mut actions);
                }
                Err(_) => {
                    broken = true;
                    break;
                }
            }
        }
        if bytes > 0 {
            return self.act(slot, actions, context);
        }
        if broken || !matches!(fill, Ok(Fill::Drained | Fill::Full)) {
            self.cut(slot, Cut::Lost, Outcome::Reset, context);
            return Step::Moved;
        }
        Step::Still
    }

    fn first(&mut self, slot: Slot, first: First, context: &mut Context) -> Step {
        let Some(conn) = self.conns.get_mut(slot) else { return Step::Still };
        let pushed = match first {
            First::Encryption => match &self.tls {
                None => conn.link.outbox.push(b"N"),
                // Whoever sends more before it is told that there is TLS, or asks for it twice, is no client.
                Some(_) if !conn.link.inbox.is_empty() || conn.link.is_secured() => return Step::Over,
                Some(server) => {
                    let Ok(session) = Session::accept(server, &self.budget) else { return Step::Over };
                    // Written without reading: what a quick client answers meanwhile is TLS already.
                    let outbox = &mut conn.link.outbox;
                    let told = outbox.push(b"S").is_ok() && outbox.drain(&mut conn.stream).is_ok();
                    if !told || !conn.link.is_flushed() {
                        return Step::Over;
                    }
                    conn.link.secure(session, &self.budget);
                    return Step::Moved;
                }
            },
            First::Session(_) if self.pool.tls_required && !conn.link.is_secured() => {
                conn.stage = Stage::Ending;
                conn.link.outbox.push(&error("FATAL", code::NO_TLS, "only TLS is served here", None))
            }
            First::Cancel(number, secret) => {
                self.cancel(number, secret, context);
                return Step::Over;
            }
            First::Unknown => {
                conn.stage = Stage::Ending;
                conn.link.outbox.push(&error("FATAL", code::UNSUPPORTED, "unknown protocol", None))
            }
            First::Session(options) if self.users.is_some() => {
                let Some(conn) = self.conns.get_mut(slot) else { return Step::Still };
                (conn.stage, conn.options) = (Stage::Login, options);
                let offered: &[&str] = match conn.link.endpoint() {
                    Some(_) => &[MECHANISM_PLUS, MECHANISM],
                    None => &[MECHANISM],
                };
                conn.link.outbox.push(&wire::ask_login(offered))
            }
            First::Session(options) => {
                let welcome = self.welcome(slot, &options);
                let Some(conn) = self.conns.get_mut(slot) else { return Step::Still };
                match welcome {
                    Ok(bytes) => {
                        conn.stage = Stage::Running;
                        conn.link.outbox.push(&bytes)
                    }
                    Err(what) => {
                        conn.stage = Stage::Ending;
                        conn.link.outbox.push(&error("FATAL", code::UNSUPPORTED, &what, None))
                    }
                }
            }
        };
        if pushed.is_ok() {
            Step::Moved
        } else {
            Step::Over
        }
    }

    /// A step of a client's login.
    fn login(&mut self, slot: Slot, body: &[u8], context: &mut Context) -> Step {
        let now = context.reactor.now();
        let Some(conn) = self.conns.get_mut(slot) else { return Step::Still };
        let user =
            conn.options.iter().find(|(name, _)| name == "user").map_or("", |(_, user)| user).to_string();
        let result = match conn.login.take() {
            None => {
                let verifier = self.users.as_ref().and_then(|users| users.get(&user));
                let nonce = nonce(&mut self.rng);
                let endpoint = conn.link.endpoint();
                let chosen = match (wire::read_first(body), &endpoint) {
                    (Some((MECHANISM_PLUS, step)), Some(bytes)) => Ok((step, Channel::Bound(bytes))),
                    (Some((MECHANISM, step)), Some(_)) => Ok((step, Channel::Unbound)),
                    (Some((MECHANISM, step)), None) => Ok((step, Channel::Open)),
                    _ => Err(scram::Fault::Malformed),
                };
                let begun = chosen.and_then(|(step, channel)| {
                    scram::Server::begin(step, &user, verifier, &nonce, &self.key, channel)
                });
                begun.map(|(server, told)| {
                    conn.login = Some(server);
                    wire::login_step(false, &told)
                })
            }
            Some(server) => {
                let step = std::str::from_utf8(body).unwrap_or_default();
                server.finish(step).map(|told| wire::login_step(true, &told))
            }
        };
        let done = conn.login.is_none();
        match result {
            Ok(bytes) if !done => self.push(slot, &bytes),
            Ok(mut bytes) => {
                let (options, from) = (std::mem::take(&mut conn.options), conn.from);
                self.guesses.right(from);
                match self.welcome(slot, &options) {
                    Ok(welcome) => {
                        bytes.extend(welcome);
                        self.conns.get_mut(slot).into_iter().for_each(|conn| conn.stage = Stage::Running);
                    }
                    Err(what) => {
                        bytes.extend(error("FATAL", code::UNSUPPORTED, &what, None));
                        self.conns.get_mut(slot).into_iter().for_each(|conn| conn.stage = Stage::Ending);
                    }
                }
                self.push(slot, &bytes)
            }
            Err(fault) => {
                context.counters.malformed += 1;
                let wait = self.guesses.wrong(now, conn.from);
                logging::warn!(event = "pool.login", user, "{fault}");
                (conn.stage, conn.until) = (Stage::Held, now + wait);
                Step::Still
            }
        }
    }

    fn push(&mut self, slot: Slot, bytes: &[u8]) -> Step {
        match self.conns.get_mut(slot).map(|conn| conn.link.outbox.push(bytes)) {
            Some(Ok(())) => Step::Moved,
            _ => Step::Over,
        }
    }

    /// Makes a session of a client's options; what it is told.
    fn welcome(&mut self, slot: Slot, options: &[(String, String)]) -> Result<Vec<u8>, String> {
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
                "options" => settings(value, &mut start).ok_or("options: accepted: -c name=value")?,
                // Of the protocol's next versions: not known, and harmless to pass over.
                name if name.starts_with("_pq_.") => {}
                name => drop(start.insert(name.to_lowercase(), literal(name, value))),
            }
        }
        let user = user.filter(|user| !user.is_empty()).ok_or("no user")?;
        (conn.user, conn.database, conn.secret) = (user.into(), database.unwrap_or(user).into(), secret);
        let mode = match self.pool.mode {
            PoolMode::Statement => Mode::Statement,
            PoolMode::Transaction => Mode::Transaction,
            PoolMode::Session => Mode::Session,
        };
        conn.session = Some(Box::new(Pooled::new(mode, start, self.told.clone())));
        let mut bytes = wire::texts(b'R', &[], &[0; 4]);
        for (name, value) in &self.told {
            bytes.extend(wire::texts(b'S', &[name, value], &[]));
        }
        bytes.extend(wire::key((slot.number() as u32, secret)));
        bytes.extend(wire::ready(b'I'));
        Ok(bytes)
    }

    /// Carries out what a session wants.
    fn act(&mut self, slot: Slot, actions: Vec<Action>, context: &mut Context) -> Step {
        for action in actions {
            let Some(conn) = self.conns.get_mut(slot) else { return Step::Still };
            match action {
                Action::Client(bytes) => {
                    if conn.link.outbox.push(&bytes).is_err() {
                        return Step::Over;
                    }
                }
                Action::Server(bytes) => {
                    let backend = conn.backend.and_then(|b| self.backends.get_mut(b));
                    if backend.is_some_and(|backend| backend.link.outbox.push(&bytes).is_err()) {
                        return Step::Over;
                    }
                }
                Action::Want(want) => self.want(slot, &want, context),
                Action::Release(ended) => self.release(slot, ended, Outcome::Ok, context),
                Action::End => (conn.stage, conn.since) = (Stage::Ending, context.reactor.now()),
            }
        }
        Step::Moved
    }

    fn want(&mut self, slot: Slot, want: &Want, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let route = self.table.route(&Ask {
            user: &conn.user,
            database: &conn.database,
            application: &want.application,
            comment: want.comment.as_deref(),
            class: want.class.as_deref(),
            reads: want.reads,
        });
        self.requests += 1;
        let id: RequestId = format!("session-{}-{}", slot.number(), self.requests).into();
        let (tenant, group, primary) = (route.tenant.clone(), route.group, route.primary);
        conn.wanted = Some(Waiting { id: id.clone(), tenant, group, primary });
        let wanted = Wanted { id, class: route.class, tenant: route.tenant, group };
        context.events.push_back(Event::Wanted(slot, Box::new(wanted)));
        self.scout(context);
    }

    /// Opens connections to servers that may be the primary which somebody waits for, where none is known to be: each
    /// says what it is as it takes a connection. They can be used by whoever comes.
    fn scout(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        if now < self.scout {
            return;
        }
        let known = |group: u32| {
            let mut members = self.members.values();
            members.any(|member| member.group == group && member.active && member.primary == Some(true))
        };
        let waiting = self.conns.iter().filter_map(|(_, conn)| Some((conn, conn.wanted.as_ref()?)));
        let waiting = waiting.filter(|(_, wanted)| wanted.primary && !known(wanted.group));
        let Some((user, database, group)) =
            waiting.map(|(conn, wanted)| (self.user(conn), conn.database.clone(), wanted.group)).next()
        else {
            return;
        };
        self.scout = now + SCOUT;
        let members = self.members.iter().filter(|(_, member)| member.group == group && member.active);
        let members: Vec<_> = members.map(|(name, member)| (name.clone(), member.address)).collect();
        for (member, address) in members {
            let key = Key { member: (*member).into(), user: user.clone(), database: database.clone() };
            let asked = self
                .backends
                .iter()
                .any(|(_, b)| b.key == key && matches!(b.at, At::Connecting | At::Asking | At::Starting));
            if !asked && self.pools.has_room(&key) {
                self.open(None, key, member, address, context);
            }
        }
    }

    /// As whom servers are connected to for a client.
    fn user(&self, conn: &Conn) -> Rc<str> {
        self.pool.server_user.as_deref().map_or_else(|| conn.user.clone(), Into::into)
    }

    /// A server has said, or shown, what it is.
    fn learn(&mut self, member: &MemberId, primary: Option<bool>, context: &mut Context) {
        let Some(known) = self.members.get_mut(member) else { return };
        if let Some(primary) = primary.filter(|_| known.primary != primary) {
            context.events.push_back(Event::Role(member.clone(), primary));
        }
        known.primary = primary;
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
            let parted = Parted { id, attempt, member, outcome: Outcome::Moot, elapsed: 0.0, primary: None };
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
    fn find(&mut self, slot: Slot, context: &mut Context) {
        loop {
            let now = context.reactor.now();
            let Some(conn) = self.conns.get_mut(slot) else { return };
            let (Some(job), Some(session)) = (&conn.job, &conn.session) else { return };
            let Some(Member { address, active: true, .. }) = self.members.get(&job.member) else {
                return self.part(slot, Outcome::Moot, None, context);
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

    /// A connection that is being made for nobody: of a scout, or of a session that no longer wants it.
    fn unclaimed(&self, key: &Key, address: SocketAddr) -> Option<Slot> {
        let made = |at| matches!(at, At::Connecting | At::Asking | At::Starting);
        let fits =
            |b: &Backend| b.key == *key && b.address == address && b.client.is_none() && b.drain.is_none();
        self.backends.iter().find(|(_, backend)| made(backend.at) && fits(backend)).map(|(place, _)| place)
    }

    /// A connection that is being made for nobody is made for this session from now on.
    fn claim(&mut self, slot: Slot, place: Slot) {
        if let (Some(conn), Some(backend)) = (self.conns.get_mut(slot), self.backends.get_mut(place)) {
            (conn.backend, backend.client) = (Some(place), Some(slot));
        }
    }

    /// Whether an idle connection has not ended meanwhile without that having been looked at.
    fn is_alive(&mut self, slot: Slot) -> bool {
        let Some(backend) = self.backends.get_mut(slot) else { return false };
        let same = self.members.get(&backend.member).is_some_and(|member| member.address == backend.address);
        same && matches!(backend.link.turn(&mut backend.stream), Ok(Fill::Drained))
            && backend.link.inbox.is_empty()
    }

    /// Begins a connection, for a session or for whoever comes.
    fn open(
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
            return self.fail(place, Outcome::Moot, context);
        }
        if let Some(conn) = slot.and_then(|slot| self.conns.get_mut(slot)) {
            conn.backend = Some(place);
        }
    }

    fn backend(
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
        let (at, flow, cancel) = (At::Connecting, Flow::default(), (0, 0));
        let (client, tainted, drain) = (None, false, None);
        let login = None;
        Backend {
            stream,
            link,
            flow,
            at,
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

    fn register(&mut self, place: Slot, context: &mut Context) -> bool {
        let Some(backend) = self.backends.get_mut(place) else { return false };
        let (token, both) = (Source::Backend(place).into(), Interest::READABLE | Interest::WRITABLE);
        context.reactor.registry.register(&mut backend.stream, token, both).is_ok()
    }

    /// A session is on a connection from now on.
    fn attach(&mut self, slot: Slot, place: Slot, context: &mut Context) {
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
        (backend.at, backend.client, conn.backend) = (At::Used, Some(slot), Some(place));
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

    /// A server's connection may be read from or written to, or has ended.
    pub fn ready_server(&mut self, place: Slot, context: &mut Context) {
        let Some(backend) = self.backends.get_mut(place) else { return };
        match backend.at {
            At::Used => {
                if let Some(slot) = backend.client {
                    self.ready(slot, context);
                }
            }
            At::Connecting | At::Asking | At::Starting => {
                if let Err(outcome) = self.begin(place, context) {
                    self.fail(place, outcome, context);
                }
            }
            // Nothing is owed on it: what comes is its end, or makes it of no use.
            At::Idle => {
                if !self.is_alive(place) {
                    self.close(place);
                    self.turns(context);
                }
            }
            At::Cancelling => {
                let connected = backend.stream.peer_addr().is_ok();
                if connected && !matches!(backend.link.turn(&mut backend.stream), Ok(Fill::Drained)) {
                    self.backends.remove(place);
                }
            }
        }
    }

    /// Goes on with the beginning of a connection; how that failed.
    fn begin(&mut self, place: Slot, context: &mut Context) -> Result<(), Outcome> {
        let Some(backend) = self.backends.get_mut(place) else { return Ok(()) };
        if backend.at == At::Connecting {
            if backend.stream.peer_addr().is_err() {
                return match backend.stream.take_error() {
                    Ok(None) => Ok(()),
                    _ => Err(Outcome::ConnectFailed),
                };
            }
            let first = match &self.server_tls {
                Some(_) => wire::ask_tls(),
                None => hello(backend),
            };
            backend.at = if self.server_tls.is_some() { At::Asking } else { At::Starting };
            backend.link.outbox.push(&first).map_err(|_| Outcome::Moot)?;
        }
        let told = |fault: &tls::Fault, backend: &Backend| {
            if !matches!(fault, tls::Fault::Broken(_)) {
                logging::warn!(event = "pool.server_tls", member = &*backend.member, "no TLS: {fault}");
            }
            Outcome::ConnectFailed
        };
        let turned = backend.link.turn(&mut backend.stream);
        let mut fill = turned.map_err(|fault| told(&fault, backend))?;
        if backend.at == At::Asking {
            match &*backend.link.inbox.take(2) {
                [] if fill == Fill::Drained => return Ok(()),
                [b'S'] => {}
                // Turned down, or something in the clear behind it, which somebody else may have put there.
                _ => return Err(told(&tls::Fault::NotTls, backend)),
            }
            let Some(client) = &self.server_tls else { return Err(Outcome::Moot) };
            let address = backend.address.ip().to_string();
            let name = self.pool.server_tls_name.as_ref().unwrap_or(&address);
            let session = Session::new(client, name, &self.budget).map_err(|fault| told(&fault, backend))?;
            backend.link.secure(session, &self.budget);
            backend.at = At::Starting;
            let first = hello(backend);
            backend.link.outbox.push(&first).map_err(|_| Outcome::Moot)?;
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
                        (pgwire::parameter(&message.body), &mut backend.remote)
                    {
                        remote.told.insert(name.into(), value.into());
                    }
                }
                b'K' => backend.cancel = wire::read_key(&message.body).unwrap_or_default(),
                b'N' => {}
                b'Z' => {
                    let told = backend.remote.as_ref().map(|remote| remote.told.clone());
                    self.told.extend(told.unwrap_or_default());
                    self.begun(place, context);
                    return Ok(());
                }
                b'E' => {
                    let (number, _) = pgwire::error_code(&message.body);
                    let (member, words) = (&*backend.member, wire::words(&message.body));
                    logging::warn!(
                        event = "pool.refused",
                        member,
                        "the server turns a connection away: {words}"
                    );
                    let full = number == code::TURNED_AWAY;
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
    fn begun(&mut self, place: Slot, context: &mut Context) {
        let Some(backend) = self.backends.get_mut(place) else { return };
        let (member, primary) = (backend.member.clone(), backend.remote.as_ref().and_then(role));
        self.learn(&member, primary, context);
        let Some(backend) = self.backends.get_mut(place) else { return };
        match backend.client {
            Some(slot) if backend.drain.is_none() => self.attach(slot, place, context),
            Some(slot) => {
                // Its server was drained meanwhile.
                self.close(place);
                self.part(slot, Outcome::Moot, None, context);
            }
            None => self.rest(place, context),
        }
    }

    /// Nobody uses a connection any more; it waits for the next, or is closed.
    fn rest(&mut self, place: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let Some(backend) = self.backends.get_mut(place) else { return };
        let state = backend.remote.as_ref().map_or(0, Remote::state);
        let still = backend.link.is_flushed() && backend.link.inbox.is_empty();
        let sound = !backend.tainted && backend.drain.is_none() && still;
        (backend.at, backend.client) = (At::Idle, None);
        if !self.pools.put(now, &backend.key, place.number(), state) || !sound {
            self.close(place);
        }
        self.turns(context);
    }

    /// Those who wait for a connection, as long as there are any.
    fn turns(&mut self, context: &mut Context) {
        while let Some(ticket) = self.pools.turn(context.reactor.now()) {
            self.find(Slot::of(ticket), context);
        }
    }

    /// A connection could not be made.
    fn fail(&mut self, place: Slot, outcome: Outcome, context: &mut Context) {
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

    fn close(&mut self, place: Slot) {
        if let Some(backend) = self.backends.remove(place) {
            self.pools.closed(&backend.key, place.number());
        }
    }

    /// A session lets go of its connection.
    fn release(&mut self, slot: Slot, ended: Ended, outcome: Outcome, context: &mut Context) {
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
    fn part(&mut self, slot: Slot, outcome: Outcome, role: Option<bool>, context: &mut Context) {
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
    fn cut(&mut self, slot: Slot, cut: Cut, outcome: Outcome, context: &mut Context) {
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
        self.let_be(slot, context);
        let Some(conn) = self.conns.get_mut(slot) else { return };
        conn.wanted = None;
        let mut detail = None;
        let (number, what) = match answer {
            Answer::Refused(backoff) => {
                let millis = Some((backoff * 1000.0).ceil()).filter(|millis| *millis > 0.0);
                detail = millis.map(|millis| (millis as u64).to_string());
                (code::TURNED_AWAY, "refused: try again later")
            }
            Answer::Invalid(what) => (code::BAD_VALUE, *what),
            Answer::Failed | Answer::Served(_) => (code::FAILED, "no server was reached"),
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
            self.let_be(slot, context);
        }
    }

    /// What was begun for a session that has not got its connection yet goes on for nobody.
    fn let_be(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        if conn.job.as_ref().is_none_or(|job| job.begun) {
            return;
        }
        if let Some(backend) = conn.backend.take().and_then(|place| self.backends.get_mut(place)) {
            backend.client = None;
        }
        self.part(slot, Outcome::Cancelled, None, context);
    }

    /// A client has left, or is sent away.
    fn remove(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        if let Some(wanted) = conn.wanted.take() {
            context.events.push_back(Event::Left(wanted.id));
        }
        let ended = conn.session.as_mut().and_then(|session| session.gone());
        match ended {
            Some(ended) => self.release(slot, ended, Outcome::Ok, context),
            None => self.let_be(slot, context),
        }
        self.conns.remove(slot);
        self.accept(context);
    }

    /// What a session does is to end. It must be the one whose key is given, and do something.
    fn cancel(&mut self, number: u32, secret: u32, context: &mut Context) {
        let cancels = self.backends.iter().filter(|(_, backend)| backend.at == At::Cancelling).count();
        let found = self.conns.iter().find(|(slot, conn)| {
            slot.number() as u32 == number
                && conn.secret == secret
                && conn.session.as_ref().is_some_and(|s| s.is_busy())
        });
        let Some(place) = found.and_then(|(_, conn)| conn.backend).filter(|_| cancels < MOST_CANCELS) else {
            return;
        };
        let Some(backend) = self.backends.get_mut(place) else { return };
        backend.tainted = true;
        let (bytes, address) = (wire::cancel(backend.cancel), backend.address);
        let (key, member) = (backend.key.clone(), backend.member.clone());
        let Ok(stream) = TcpStream::connect(address) else { return };
        let until = context.reactor.now() + CANCEL;
        let mut asking = self.backend(stream, key, member, address, until);
        asking.at = At::Cancelling;
        if asking.link.outbox.push(&bytes).is_err() {
            return;
        }
        let place = self.backends.insert(asking);
        if !self.register(place, context) {
            self.backends.remove(place);
        }
    }

    /// Takes in what the list says.
    pub fn list(&mut self, kind: ListKind, listings: &[Listing], context: &mut Context) {
        if kind != ListKind::Incremental {
            self.members.values_mut().for_each(|member| member.active = false);
        }
        for Listing { name, address, phase, group, .. } in listings {
            if *phase == Phase::Left {
                self.members.remove(name);
                continue;
            }
            let (address, group, active) = (*address, *group, *phase == Phase::Active);
            let known = self.members.get(name).filter(|known| known.address == address);
            let primary = known.and_then(|known| known.primary);
            self.members.insert(name.clone(), Member { address, active, group, primary });
        }
        if kind != ListKind::Incremental {
            self.members.retain(|name, _| listings.iter().any(|listing| listing.name == *name));
        }
        let until = context.reactor.now() + self.pool.drain_s;
        let gone: Vec<Slot> = self
            .backends
            .iter()
            .filter(|(_, backend)| {
                let member = self.members.get(&backend.member);
                !member.is_some_and(|member| member.active && member.address == backend.address)
            })
            .map(|(place, _)| place)
            .collect();
        for place in gone {
            let Some(backend) = self.backends.get_mut(place) else { continue };
            backend.drain = backend.drain.or(Some(until));
            match (backend.at, backend.client) {
                (At::Idle, _) => self.close(place),
                (At::Used, Some(slot)) => {
                    let Some(conn) = self.conns.get_mut(slot) else { continue };
                    // Between transactions the next one would be new to it.
                    let open = conn.session.as_ref().is_some_and(|s| s.in_transaction() || s.is_busy());
                    if !open {
                        self.cut(slot, Cut::Drained, Outcome::Ok, context);
                    }
                }
                _ => {}
            }
        }
    }

    /// Looks at all that time limits.
    pub fn sweep(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        context.reactor.timer(now + SWEEP, Due::Pools);
        let (mut overdue, mut held) = (Vec::new(), Vec::new());
        for (slot, conn) in self.conns.iter() {
            let lasted = now - conn.since;
            let session = conn.session.as_ref().filter(|session| session.is_attached());
            match (conn.stage, session) {
                (Stage::First | Stage::Login | Stage::Ending, _) if lasted > PROMPT => {
                    overdue.push((slot, None))
                }
                (Stage::Held, _) if now >= conn.until => held.push(slot),
                (Stage::Running, Some(session)) => {
                    let idle =
                        session.in_transaction() && !conn.busy && lasted > self.pool.idle_in_transaction_s;
                    let long = conn.busy && lasted > self.pool.statement_s;
                    let drained =
                        conn.backend.and_then(|place| self.backends.get(place)).and_then(|b| b.drain);
                    if drained.is_some_and(|until| now >= until) {
                        overdue.push((slot, Some((Cut::Drained, Outcome::Ok))));
                    } else if idle {
                        overdue.push((slot, Some((Cut::IdleInTransaction, Outcome::Ok))));
                    } else if long {
                        overdue.push((slot, Some((Cut::Statement, Outcome::Timeout))));
                    }
                }
                _ => {}
            }
        }
        for slot in held {
            let Some(conn) = self.conns.get_mut(slot) else { continue };
            (conn.stage, conn.since) = (Stage::Ending, now);
            let what = "password authentication failed";
            let _ = conn.link.outbox.push(&error("FATAL", code::WRONG_PASSWORD, what, None));
            self.ready(slot, context);
        }
        for (slot, cut) in overdue {
            match cut {
                Some((cut, outcome)) => self.cut(slot, cut, outcome, context),
                None => self.remove(slot, context),
            }
        }
        let late = self
            .conns
            .iter()
            .filter(|(_, conn)| conn.job.as_ref().is_some_and(|job| !job.begun && now > job.give_up));
        let late: Vec<Slot> = late.map(|(slot, _)| slot).collect();
        late.into_iter().for_each(|slot| self.let_be(slot, context));
        let slow: Vec<(Slot, At)> = self
            .backends
            .iter()
            .filter(|(_, b)| now > b.until && !matches!(b.at, At::Idle | At::Used))
            .map(|(place, backend)| (place, backend.at))
            .collect();
        for (place, at) in slow {
            if at == At::Cancelling {
                self.backends.remove(place);
            } else {
                self.fail(place, Outcome::ConnectFailed, context);
            }
        }
        for number in self.pools.due(now) {
            self.close(Slot::of(number));
        }
        self.turns(context);
        self.scout(context);
        self.accept(context);
    }

    /// Takes in no more, and ends every session that is not in the middle of something; all of them where `now`.
    pub fn end(&mut self, at_once: bool, context: &mut Context) {
        self.listener = None;
        let idle: Vec<Slot> = self
            .conns
            .iter()
            .filter(|(_, conn)| {
                at_once || conn.session.as_ref().is_none_or(|s| !s.is_busy() && !s.in_transaction())
            })
            .map(|(slot, _)| slot)
            .collect();
        for slot in idle {
            let Some(conn) = self.conns.get_mut(slot) else { continue };
            let what = "the pooler ends";
            let _ = conn.link.outbox.push(&error("FATAL", code::SHUTDOWN, what, None));
            let _ = conn.link.turn(&mut conn.stream);
            self.remove(slot, context);
        }
    }
}

/// Whether what comes next has to wait until these are carried out.
fn stops(actions: &[Action]) -> bool {
    matches!(actions.last(), Some(Action::Want(_) | Action::Release(_) | Action::End))
}

/// Takes a step of the login at a server.
fn authenticate(
    backend: &mut Backend,
    body: &[u8],
    pool: &Pool,
    rng: &mut fastrand::Rng,
) -> Result<(), String> {
    let words = |fault: scram::Fault| fault.to_string();
    let answer = match wire::login(body) {
        // A server that skips the proof that it knows the password is not the one that was meant.
        Login::Done if backend.login.is_none() => return Ok(()),
        asked @ Login::Mechanisms(_) if asked.has(MECHANISM) || asked.has(MECHANISM_PLUS) => {
            let endpoint = backend.link.endpoint();
            let (mechanism, channel) = match &endpoint {
                Some(bytes) if asked.has(MECHANISM_PLUS) => (MECHANISM_PLUS, Channel::Bound(bytes)),
                // The server finds out whether its offer was struck out on the way.
                Some(_) => (MECHANISM, Channel::Unbound),
                None => (MECHANISM, Channel::Open),
            };
            let (login, first) = scram::Client::begin(&nonce(rng), channel);
            backend.login = Some(login);
            wire::login_first(mechanism, &first)
        }
        Login::Step(step) => {
            let file =
                pool.server_password_file.as_ref().ok_or("it asks for a password, and none is kept here")?;
            let login = backend.login.as_mut().ok_or("a step before the first")?;
            wire::texts(b'p', &[], login.answer(step, &files::password(file)?).map_err(words)?.as_bytes())
        }
        Login::Last(last) => {
            let login = backend.login.take().ok_or("a step before the first")?;
            return login.finish(last).map_err(words);
        }
        _ => return Err("it asks for what is not spoken here".into()),
    };
    backend.link.outbox.push(&answer).map_err(|_| "no memory left".to_string())
}

/// A text that was never used in a login: printable and without commas, as the mechanism wants it.
fn nonce(rng: &mut fastrand::Rng) -> String {
    (0..24).map(|_| rng.alphanumeric()).collect()
}

/// The first message of a session at a server.
fn hello(backend: &Backend) -> Vec<u8> {
    wire::hello(&[("user", &backend.key.user), ("database", &backend.key.database)])
}

/// Whether a server is the primary, as far as it has told; it does so from PostgreSQL 14 on.
fn role(remote: &Remote) -> Option<bool> {
    remote.told.get("in_hot_standby").map(|standby| standby == "off")
}

/// Settings in the form of a command line: `-c name=value`, or `--name=value`.
fn settings(options: &str, into: &mut BTreeMap<String, String>) -> Option<()> {
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
        into.insert(name.clone(), sound.then(|| literal(&name, value))?);
    }
    Some(())
}

/// A setting's value as SQL.
fn literal(name: &str, value: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "_$\", ".contains(c);
    // A list of names: one quoted text would be one name.
    if name.eq_ignore_ascii_case("search_path") && !value.is_empty() && value.chars().all(plain) {
        return value.to_string();
    }
    format!("'{}'", value.replace('\'', "''").replace('\\', ""))
}
