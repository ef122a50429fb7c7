//! All db machines in one thread: one event loop over their listeners and connections.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fastrand::Rng;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

use crate::fleet::{address, Fleet};
use crate::plan::{Class, Consistency, Trouble, CONNECT_TIMEOUT};
use crate::record::{Event, Record, Reply};
use crate::wire;

/// How often the loop looks at who is up (milliseconds).
const LOOK_MS: u64 = 4;
/// What a request takes (seconds).
const LEAST_WORK: f64 = 0.003;
const MORE_WORK: f64 = 0.04;
/// One connection in so many takes most of the time that it may.
const LATE_ONE_IN: u32 = 12;

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Startup,
    Greeting,
    Ready,
}

struct Conn {
    machine: usize,
    stream: TcpStream,
    stage: Stage,
    buffer: Vec<u8>,
    /// When the first byte of the message that is being read came.
    began: Option<f64>,
    /// The attempt that has not been answered.
    attempt: Option<u64>,
}

/// What is to be done at a time.
struct Due {
    at: f64,
    conn: usize,
    what: What,
}

enum What {
    Greet,
    Answer { attempt: u64, bytes: Vec<u8>, reply: Reply, ends: bool },
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at)
    }
}

/// The loop.
pub struct Databases {
    fleet: Arc<Mutex<Fleet>>,
    record: Arc<Record>,
    classes: Vec<Class>,
    probes: bool,
    poll: Poll,
    listeners: Vec<Option<TcpListener>>,
    conns: HashMap<usize, Conn>,
    next: usize,
    attempts: u64,
    due: BinaryHeap<Reverse<Due>>,
    rng: Rng,
}

impl Databases {
    /// All machines of a fleet, listening.
    pub fn new(
        fleet: Arc<Mutex<Fleet>>,
        record: Arc<Record>,
        classes: Vec<Class>,
        probes: bool,
        seed: u64,
    ) -> std::io::Result<Databases> {
        let machines = fleet.lock().expect("no holder panics").machines.len();
        let mut databases = Databases {
            fleet,
            record,
            classes,
            probes,
            poll: Poll::new()?,
            listeners: (0..machines).map(|_| None).collect(),
            conns: HashMap::new(),
            next: machines,
            attempts: 0,
            due: BinaryHeap::new(),
            rng: Rng::with_seed(seed),
        };
        databases.look();
        Ok(databases)
    }

    /// Serves until told to end.
    pub fn run(mut self, ends: &AtomicBool) {
        let mut events = Events::with_capacity(1024);
        while !ends.load(Ordering::Relaxed) {
            let _ = self.poll.poll(&mut events, Some(Duration::from_millis(LOOK_MS)));
            for event in &events {
                let Token(place) = event.token();
                if place < self.listeners.len() {
                    self.accept(place);
                } else {
                    self.ready(place);
                }
            }
            self.look();
            let now = self.record.now();
            while self.due.peek().is_some_and(|Reverse(due)| due.at <= now) {
                if let Some(Reverse(due)) = self.due.pop() {
                    self.carry_out(due);
                }
            }
        }
    }

    /// Opens the listeners of machines that are up, and ends all of those that are not.
    fn look(&mut self) {
        let up: Vec<bool> =
            self.fleet.lock().expect("no holder panics").machines.iter().map(|m| m.up).collect();
        for (n, up) in up.into_iter().enumerate() {
            if up && self.listeners[n].is_none() {
                if let Ok(mut listener) = TcpListener::bind(address(n)) {
                    let _ = self.poll.registry().register(&mut listener, Token(n), Interest::READABLE);
                    self.listeners[n] = Some(listener);
                }
            } else if !up && self.listeners[n].take().is_some() {
                let ended: Vec<usize> =
                    self.conns.iter().filter(|(_, c)| c.machine == n).map(|(place, _)| *place).collect();
                ended.into_iter().for_each(|place| self.end(place, Reply::Doubtful));
            }
        }
    }

    /// Ends a connection from this side.
    fn end(&mut self, place: usize, reply: Reply) {
        if let Some(conn) = self.conns.remove(&place) {
            if let Some(attempt) = conn.attempt {
                self.record.note(Event::Replied { attempt, reply });
            }
        }
    }

    fn trouble(&self, n: usize) -> Trouble {
        self.fleet.lock().expect("no holder panics").machines[n].trouble
    }

    fn accept(&mut self, n: usize) {
        while let Some(Ok((mut stream, _))) = self.listeners[n].as_ref().map(TcpListener::accept) {
            let place = self.next;
            self.next += 1;
            let both = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut stream, Token(place), both).is_ok() {
                let _ = stream.set_nodelay(true);
                let (stage, buffer, began, attempt) = (Stage::Startup, Vec::new(), None, None);
                self.conns.insert(place, Conn { machine: n, stream, stage, buffer, began, attempt });
                self.ready(place);
            }
        }
    }

    /// Reads what there is.
    fn ready(&mut self, place: usize) {
        let Some(conn) = self.conns.get_mut(&place) else { return };
        let now = self.record.now();
        let mut piece = [0; 4096];
        loop {
            match conn.stream.read(&mut piece) {
                Ok(0) => return self.abandoned(place),
                Ok(count) => {
                    conn.began.get_or_insert(now);
                    conn.buffer.extend(&piece[..count]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.abandoned(place),
            }
        }
        self.understand(place, now);
    }

    fn abandoned(&mut self, place: usize) {
        if let Some(attempt) = self.conns.remove(&place).and_then(|conn| conn.attempt) {
            self.record.note(Event::Abandoned { attempt });
        }
    }

    fn understand(&mut self, place: usize, now: f64) {
        let Some(conn) = self.conns.get_mut(&place) else { return };
        match conn.stage {
            Stage::Startup if wire::take_startup(&mut conn.buffer) => {
                conn.stage = Stage::Greeting;
                conn.began = None;
                let machine = conn.machine;
                let late = self.trouble(machine) == Trouble::ConnectsLate || self.rng.u32(..LATE_ONE_IN) == 0;
                let wait = if late { CONNECT_TIMEOUT * 0.9 * self.rng.f64() } else { 0.0 };
                self.due.push(Reverse(Due { at: now + wait, conn: place, what: What::Greet }));
            }
            Stage::Ready => {
                if let Some((b'Q', body)) = wire::take(&mut conn.buffer) {
                    let began = conn.began.take().unwrap_or(now);
                    let sql = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
                    self.asked(place, &sql, (began, now));
                }
            }
            Stage::Startup | Stage::Greeting => {}
        }
    }

    fn asked(&mut self, place: usize, sql: &str, (began, now): (f64, f64)) {
        let Some(conn) = self.conns.get_mut(&place) else { return };
        let n = conn.machine;
        if sql == "SHOW usage" {
            let answer = self.report(n, now);
            return self.answer_later(place, 0, (now, answer), (Reply::Served, false));
        }
        let id = wire::named(sql, "id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or_default();
        let class = wire::named(sql, "c").and_then(|c| c.strip_prefix("class-")?.parse::<usize>().ok());
        let patience = wire::named(sql, "d").and_then(|d| d.parse::<f64>().ok()).unwrap_or_default() / 1000.0;
        self.attempts += 1;
        let attempt = self.attempts;
        conn.attempt = Some(attempt);
        self.record.note_at(now, Event::Arrived { id, attempt, machine: n, began, patience });
        let Some(class) = class.and_then(|class| self.classes.get(class).cloned()) else { return };
        let (bytes, reply, ends) = self.works(n, &class, wire::key(sql), now);
        let trouble = self.trouble(n);
        if trouble == Trouble::Hangs {
            return;
        }
        let work = (LEAST_WORK + MORE_WORK * self.rng.f64()) / self.warmth(n, now);
        let takes = if trouble == Trouble::Resets { 0.0 } else { work };
        self.answer_later(place, attempt, (now + takes, bytes), (reply, ends));
    }

    fn warmth(&self, n: usize, now: f64) -> f64 {
        self.fleet.lock().expect("no holder panics").machines[n].warmth(now)
    }

    /// Carries a request out, or not: what is said to it, and whether the connection ends with that.
    fn works(&mut self, n: usize, class: &Class, session: &str, now: f64) -> (Vec<u8>, Reply, bool) {
        let mut fleet = self.fleet.lock().expect("no holder panics");
        let write = class.consistency == Consistency::Write;
        if fleet.misses(n, class.consistency, session, now) {
            let code = if write { "25006" } else { "72000" };
            return ([told(&fleet, n, now), wire::error(code)].concat(), Reply::Missed, false);
        }
        match fleet.machines[n].trouble {
            Trouble::Full => return (wire::error("53300"), Reply::TurnedAway, false),
            Trouble::Errors => return (wire::error("XX000"), Reply::Doubtful, false),
            Trouble::Resets => return (Vec::new(), Reply::Doubtful, true),
            Trouble::Contradicts => {
                let bytes = [wire::description(), wire::error("53300")].concat();
                return (bytes, Reply::Doubtful, false);
            }
            Trouble::CutsRows => return (wire::row("cut")[..30].to_vec(), Reply::Doubtful, true),
            Trouble::None | Trouble::Hangs | Trouble::ConnectsLate => {}
        }
        if write {
            fleet.commits.insert(session.to_string(), now);
        }
        let machine = &fleet.machines[n];
        let value = format!("{} {}", machine.position(now), u8::from(machine.primary));
        ([wire::row(&value), told(&fleet, n, now), wire::frame(b'Z', b"I")].concat(), Reply::Served, false)
    }

    /// The answer to a probe.
    fn report(&self, n: usize, now: f64) -> Vec<u8> {
        if !self.probes {
            return wire::error("42501");
        }
        let fleet = self.fleet.lock().expect("no holder panics");
        let machine = &fleet.machines[n];
        let position = fleet.unix_at_start + machine.position(now);
        let value = format!("x0={position:.3},x1={}", u8::from(machine.primary));
        [wire::row(&value), wire::frame(b'Z', b"I")].concat()
    }

    fn answer_later(
        &mut self,
        conn: usize,
        attempt: u64,
        (at, bytes): (f64, Vec<u8>),
        (reply, ends): (Reply, bool),
    ) {
        let what = What::Answer { attempt, bytes, reply, ends };
        self.due.push(Reverse(Due { at, conn, what }));
    }

    fn carry_out(&mut self, due: Due) {
        let Some(conn) = self.conns.get_mut(&due.conn) else { return };
        match due.what {
            What::Greet => {
                conn.stage = Stage::Ready;
                let _ = conn.stream.write_all(&wire::welcome());
                // What came meanwhile has no event of its own any more.
                self.understand(due.conn, self.record.now());
            }
            What::Answer { attempt, bytes, reply, ends } => {
                conn.attempt = None;
                if attempt > 0 {
                    self.record.note(Event::Replied { attempt, reply });
                }
                let written = conn.stream.write_all(&bytes);
                if ends || written.is_err() {
                    self.conns.remove(&due.conn);
                }
            }
        }
    }
}

/// The parameters that a machine tells of itself.
fn told(fleet: &Fleet, n: usize, now: f64) -> Vec<u8> {
    let machine = &fleet.machines[n];
    // Positions are rounded down.
    let position = ((fleet.unix_at_start + machine.position(now)) * 1000.0).floor() as u64;
    let role = if machine.primary { "writer" } else { "reader" };
    [wire::parameter("server_role", role), wire::parameter("commit_clock", &position.to_string())].concat()
}
