//! The stand-in members, all in one thread: an event loop over their listeners and connections.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fastrand::Rng;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

use crate::faults::flooded_pooler;
use crate::fleet::{address, Fleet};
use crate::plan::{Class, Consistency, Trouble, CONNECT_TIMEOUT};
use crate::record::{Event, Record, Reply};
use crate::wire;

/// How often the loop checks which members are up (milliseconds).
const CHECK_INTERVAL_MS: u64 = 4;
/// Minimum time that a request takes on a warm member (seconds).
const MIN_WORK: f64 = 0.003;
/// Maximum random time in addition (seconds).
const MAX_EXTRA_WORK: f64 = 0.04;
/// One connection in this many is established slowly, within the connect timeout.
const SLOW_CONNECT_ONE_IN: u32 = 12;

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Startup,
    AwaitingStartupReply,
    Ready,
}

struct Connection {
    member: usize,
    stream: TcpStream,
    stage: Stage,
    buffer: Vec<u8>,
    /// When the first byte of the message being read arrived (seconds of the run).
    first_byte_at: Option<f64>,
    /// The attempt without an answer yet.
    attempt: Option<u64>,
}

/// An action that is due at a time (seconds of the run).
struct ScheduledAction {
    at: f64,
    connection: usize,
    action: Action,
}

enum Action {
    CompleteStartup,
    Answer { attempt: u64, bytes: Vec<u8>, reply: Reply, closes: bool },
}

impl PartialEq for ScheduledAction {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}
impl Eq for ScheduledAction {}
impl PartialOrd for ScheduledAction {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledAction {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at)
    }
}

/// The event loop.
pub struct MemberServers {
    fleet: Arc<Mutex<Fleet>>,
    record: Arc<Record>,
    classes: Vec<Class>,
    answers_probes: bool,
    poll: Poll,
    listeners: Vec<Option<TcpListener>>,
    connections: HashMap<usize, Connection>,
    next_token: usize,
    attempts: u64,
    scheduled: BinaryHeap<Reverse<ScheduledAction>>,
    rng: Rng,
}

impl MemberServers {
    /// Starts listening for all members of a fleet.
    pub fn new(
        fleet: Arc<Mutex<Fleet>>,
        record: Arc<Record>,
        classes: Vec<Class>,
        answers_probes: bool,
        seed: u64,
    ) -> std::io::Result<MemberServers> {
        let members = fleet.lock().expect("no holder panics").members.len();
        let mut servers = MemberServers {
            fleet,
            record,
            classes,
            answers_probes,
            poll: Poll::new()?,
            listeners: (0..members).map(|_| None).collect(),
            connections: HashMap::new(),
            next_token: members,
            attempts: 0,
            scheduled: BinaryHeap::new(),
            rng: Rng::with_seed(seed),
        };
        servers.update_listeners();
        Ok(servers)
    }

    /// Serves until `stopping` is set.
    pub fn run(mut self, stopping: &AtomicBool) {
        let mut events = Events::with_capacity(1024);
        while !stopping.load(Ordering::Relaxed) {
            let _ = self.poll.poll(&mut events, Some(Duration::from_millis(CHECK_INTERVAL_MS)));
            for event in &events {
                let Token(token) = event.token();
                if token < self.listeners.len() {
                    self.accept(token);
                } else {
                    self.on_readable(token);
                }
            }
            self.update_listeners();
            let now = self.record.now();
            while self.scheduled.peek().is_some_and(|Reverse(scheduled)| scheduled.at <= now) {
                if let Some(Reverse(scheduled)) = self.scheduled.pop() {
                    self.run_scheduled(scheduled);
                }
            }
        }
    }

    /// Opens the listeners of members that are up. Closes the listeners and connections of members that are
    /// down.
    fn update_listeners(&mut self) {
        let up: Vec<bool> =
            self.fleet.lock().expect("no holder panics").members.iter().map(|m| m.up).collect();
        for (n, up) in up.into_iter().enumerate() {
            if up && self.listeners[n].is_none() {
                if let Ok(mut listener) = TcpListener::bind(address(n)) {
                    let _ = self.poll.registry().register(&mut listener, Token(n), Interest::READABLE);
                    self.listeners[n] = Some(listener);
                }
            } else if !up && self.listeners[n].take().is_some() {
                let stopped: Vec<usize> =
                    self.connections.iter().filter(|(_, c)| c.member == n).map(|(token, _)| *token).collect();
                stopped.into_iter().for_each(|token| self.close(token, Reply::Unknown));
            }
        }
    }

    /// Closes a connection on the member's side.
    fn close(&mut self, token: usize, reply: Reply) {
        if let Some(connection) = self.connections.remove(&token) {
            if let Some(attempt) = connection.attempt {
                self.record.add(Event::AttemptAnswered { attempt, reply });
            }
        }
    }

    fn trouble(&self, n: usize) -> Trouble {
        self.fleet.lock().expect("no holder panics").members[n].trouble
    }

    fn accept(&mut self, n: usize) {
        while let Some(Ok((mut stream, _))) = self.listeners[n].as_ref().map(TcpListener::accept) {
            let token = self.next_token;
            self.next_token += 1;
            let both = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut stream, Token(token), both).is_ok() {
                let _ = stream.set_nodelay(true);
                let (stage, buffer, first_byte_at, attempt) = (Stage::Startup, Vec::new(), None, None);
                self.connections
                    .insert(token, Connection { member: n, stream, stage, buffer, first_byte_at, attempt });
                self.on_readable(token);
            }
        }
    }

    /// Reads all available data.
    fn on_readable(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let now = self.record.now();
        let mut chunk = [0; 4096];
        loop {
            match connection.stream.read(&mut chunk) {
                Ok(0) => return self.on_pooler_closed(token),
                Ok(count) => {
                    connection.first_byte_at.get_or_insert(now);
                    connection.buffer.extend(&chunk[..count]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.on_pooler_closed(token),
            }
        }
        self.process_input(token, now);
    }

    fn on_pooler_closed(&mut self, token: usize) {
        if let Some(attempt) = self.connections.remove(&token).and_then(|connection| connection.attempt) {
            self.record.add(Event::AttemptAbandoned { attempt });
        }
    }

    fn process_input(&mut self, token: usize, now: f64) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        match connection.stage {
            Stage::Startup if wire::take_startup(&mut connection.buffer) => {
                connection.stage = Stage::AwaitingStartupReply;
                connection.first_byte_at = None;
                let member = connection.member;
                let is_slow =
                    self.trouble(member) == Trouble::ConnectsLate || self.rng.u32(..SLOW_CONNECT_ONE_IN) == 0;
                let drawn = if is_slow { CONNECT_TIMEOUT * 0.9 * self.rng.f64() } else { 0.0 };
                let late =
                    self.fleet.lock().expect("no holder panics").members[member].connects_late(now, token);
                let wait = late.unwrap_or(drawn);
                self.scheduled.push(Reverse(ScheduledAction {
                    at: now + wait,
                    connection: token,
                    action: Action::CompleteStartup,
                }));
            }
            Stage::Ready => {
                if let Some((b'Q', body)) = wire::take_message(&mut connection.buffer) {
                    let first_byte_at = connection.first_byte_at.take().unwrap_or(now);
                    let sql = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
                    self.handle_query(token, &sql, (first_byte_at, now));
                }
            }
            Stage::Startup | Stage::AwaitingStartupReply => {}
        }
    }

    fn handle_query(&mut self, token: usize, sql: &str, (first_byte_at, now): (f64, f64)) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let n = connection.member;
        if sql == "SHOW usage" {
            let answer = self.probe_answer(n, now);
            return self.schedule_answer(token, 0, (now, answer), (Reply::Served, false));
        }
        let id_text = wire::comment_value(sql, "id").unwrap_or_default();
        let flooded = flooded_pooler(id_text);
        let id = u64::from_str_radix(id_text, 16).unwrap_or_default();
        let class =
            wire::comment_value(sql, "c").and_then(|c| c.strip_prefix("class-")?.parse::<usize>().ok());
        let timeout =
            wire::comment_value(sql, "d").and_then(|d| d.parse::<f64>().ok()).unwrap_or_default() / 1000.0;
        self.attempts += 1;
        let attempt = self.attempts;
        connection.attempt = Some(attempt);
        self.record.add_at(
            now,
            match flooded {
                Some(pooler) => Event::FloodArrived { pooler, member: n },
                None => Event::AttemptArrived { id, attempt, member: n, first_byte_at, timeout },
            },
        );
        let Some(class) = class.and_then(|class| self.classes.get(class).cloned()) else { return };
        let (bytes, reply, closes) = self.execute((n, attempt), &class, wire::key(sql), now);
        let trouble = self.trouble(n);
        if trouble == Trouble::Hangs {
            return;
        }
        let work_time = (MIN_WORK + MAX_EXTRA_WORK * self.rng.f64()) / self.capacity_share(n, now);
        let duration = if trouble == Trouble::Resets { 0.0 } else { work_time };
        self.schedule_answer(token, attempt, (now + duration, bytes), (reply, closes));
    }

    fn capacity_share(&self, n: usize, now: f64) -> f64 {
        self.fleet.lock().expect("no holder panics").members[n].capacity_share(now)
    }

    /// Runs or rejects a request. Returns the answer, its outcome, and whether the connection is closed after
    /// it.
    fn execute(
        &mut self,
        (n, attempt): (usize, u64),
        class: &Class,
        session: &str,
        now: f64,
    ) -> (Vec<u8>, Reply, bool) {
        let mut fleet = self.fleet.lock().expect("no holder panics");
        let write = class.consistency == Consistency::Write;
        if fleet.rejects(n, class.consistency, session, now) {
            let code = if write { "25006" } else { "72000" };
            return ([status_parameters(&fleet, n, now), wire::error(code)].concat(), Reply::Miss, false);
        }
        match fleet.members[n].trouble {
            Trouble::Full => return (wire::error("53300"), Reply::Full, false),
            Trouble::Errors => return (wire::error("XX000"), Reply::Unknown, false),
            Trouble::Resets => return (Vec::new(), Reply::Unknown, true),
            Trouble::Contradicts => {
                let bytes = [wire::row_description(), wire::error("53300")].concat();
                return (bytes, Reply::Unknown, false);
            }
            Trouble::CutsRows => return (wire::row("cut")[..30].to_vec(), Reply::Unknown, true),
            Trouble::None | Trouble::Hangs | Trouble::ConnectsLate => {}
        }
        if write {
            fleet.commits.insert(session.to_string(), now);
        }
        let member = &fleet.members[n];
        let value = format!("{} {} {attempt}", member.position(now), u8::from(member.primary));
        (
            [wire::row(&value), status_parameters(&fleet, n, now), wire::frame(b'Z', b"I")].concat(),
            Reply::Served,
            false,
        )
    }

    /// Returns the answer to a probe.
    fn probe_answer(&self, n: usize, now: f64) -> Vec<u8> {
        if !self.answers_probes {
            return wire::error("42501");
        }
        let fleet = self.fleet.lock().expect("no holder panics");
        let member = &fleet.members[n];
        let position = fleet.unix_at_start + member.position(now);
        let value = format!("x0={position:.3},x1={}", u8::from(member.primary));
        [wire::row(&value), wire::frame(b'Z', b"I")].concat()
    }

    fn schedule_answer(
        &mut self,
        connection: usize,
        attempt: u64,
        (at, bytes): (f64, Vec<u8>),
        (reply, closes): (Reply, bool),
    ) {
        let action = Action::Answer { attempt, bytes, reply, closes };
        self.scheduled.push(Reverse(ScheduledAction { at, connection, action }));
    }

    fn run_scheduled(&mut self, scheduled: ScheduledAction) {
        let Some(connection) = self.connections.get_mut(&scheduled.connection) else { return };
        match scheduled.action {
            Action::CompleteStartup => {
                connection.stage = Stage::Ready;
                let _ = connection.stream.write_all(&wire::startup_response());
                // Data that arrived during the startup causes no further event.
                self.process_input(scheduled.connection, self.record.now());
            }
            Action::Answer { attempt, bytes, reply, closes } => {
                connection.attempt = None;
                if attempt > 0 {
                    self.record.add(Event::AttemptAnswered { attempt, reply });
                }
                let written = connection.stream.write_all(&bytes);
                if closes || written.is_err() {
                    self.connections.remove(&scheduled.connection);
                }
            }
        }
    }
}

/// Returns the parameters by which a member reports its role and position.
fn status_parameters(fleet: &Fleet, n: usize, now: f64) -> Vec<u8> {
    let member = &fleet.members[n];
    // Positions are rounded down.
    let position = ((fleet.unix_at_start + member.position(now)) * 1000.0).floor() as u64;
    let role = if member.primary { "writer" } else { "reader" };
    [
        wire::parameter_status("server_role", role),
        wire::parameter_status("commit_clock", &position.to_string()),
    ]
    .concat()
}
