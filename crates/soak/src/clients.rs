//! Clients: each holds a connection to one pooler and asks on it, one request after another, for as long as it stays open.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;

use crate::place::{self, Kind};
use crate::plan::{Consistency, Effect, Plan};
use crate::record::{Answer, Event, Id, Record, Value};
use crate::wire;

/// Port of every pooler; each has an address of its own.
const PORT: u16 = 15_600;
/// How long after its time an answer is still waited for (seconds): far past what any rule allows.
const WAITS_MORE: f64 = 3.0;
/// Longest pause between two requests of a client (seconds).
const PAUSE: f64 = 0.12;
/// One request in so many is not waited for to its end, and one client in so many connections sends half a message.
const LEAVES_ONE_IN: u32 = 25;
const BAD_ONE_IN: u32 = 12;
/// How long a bad client waits to be told or closed (seconds).
const BAD_WAITS: u64 = 8;
/// Pause after a connection could not be made (milliseconds).
const AGAIN_MS: u64 = 30;

/// Where a pooler listens.
pub fn address(pooler: usize) -> SocketAddr {
    place::address(Kind::Poolers, pooler as u8, 1, PORT)
}

/// What clients of all poolers share.
pub struct Clients {
    pub plan: Plan,
    pub record: Arc<Record>,
    pub unix_at_start: f64,
    pub ends: AtomicBool,
    /// Poolers to which no new connection is made now.
    pub closed: Vec<AtomicBool>,
    next: AtomicU64,
}

/// How a wait for an answer ended.
enum Came {
    Answer(Answer),
    Closed,
    Silent,
}

impl Clients {
    /// None yet.
    pub fn new(plan: Plan, record: Arc<Record>, unix_at_start: f64) -> Arc<Clients> {
        let closed = (0..plan.poolers).map(|_| AtomicBool::new(true)).collect();
        let (ends, next) = (AtomicBool::new(false), AtomicU64::new(1));
        Arc::new(Clients { plan, record, unix_at_start, ends, closed, next })
    }

    fn over(&self) -> bool {
        self.ends.load(Ordering::Relaxed)
    }

    /// One client, until the end of the run.
    pub fn run(&self, pooler: usize, client: usize) {
        let mut rng = Rng::with_seed(self.plan.seed ^ (client as u64) << 20);
        let mut session = Session { commit: None };
        while !self.over() {
            let Some(stream) = self.connect(pooler) else {
                std::thread::sleep(Duration::from_millis(AGAIN_MS));
                continue;
            };
            if rng.u32(..BAD_ONE_IN) == 0 {
                self.half_a_message(pooler, stream);
            } else {
                self.talk((pooler, client), stream, &mut session, &mut rng);
            }
        }
    }

    fn connect(&self, pooler: usize) -> Option<TcpStream> {
        if self.closed[pooler].load(Ordering::Relaxed) {
            return None;
        }
        let mut stream = TcpStream::connect(address(pooler)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(&wire::startup()).ok()?;
        Some(stream)
    }

    /// Sends half a message and waits for what is owed to it: an error or the end.
    fn half_a_message(&self, pooler: usize, mut stream: TcpStream) {
        let whole = wire::query(&"x".repeat(200));
        let _ = stream.set_read_timeout(Some(Duration::from_secs(BAD_WAITS)));
        let begun = self.record.now();
        if stream.write_all(&whole[..50]).is_err() {
            return;
        }
        let (mut buffer, mut piece) = (Vec::new(), [0; 1024]);
        loop {
            match stream.read(&mut piece) {
                Ok(count) if count > 0 => buffer.extend(&piece[..count]),
                _ => break,
            }
            while let Some((kind, _)) = wire::take(&mut buffer) {
                if kind == b'E' {
                    break;
                }
            }
        }
        self.record.note(Event::BadClientEnded { pooler, after: self.record.now() - begun });
    }

    /// Asks on a connection until it ends.
    fn talk(
        &self,
        (pooler, client): (usize, usize),
        mut stream: TcpStream,
        session: &mut Session,
        rng: &mut Rng,
    ) {
        let (mut buffer, mut welcomed) = (Vec::new(), false);
        while !self.over() {
            std::thread::sleep(Duration::from_secs_f64(PAUSE * rng.f64()));
            let class = rng.usize(..self.plan.classes.len());
            let group = rng.usize(..self.plan.groups);
            let id = self.next.fetch_add(1, Ordering::Relaxed);
            let deadline = self.plan.classes[class].deadline;
            let patience = deadline * (0.4 + 0.6 * rng.f64());
            let sql = self.statement(id, (class, group, client), patience, session);
            // One that leaves does so somewhere in its time.
            let leaves = (rng.u32(..LEAVES_ONE_IN) == 0).then(|| patience * rng.f64() * 0.5);
            if stream.write_all(&wire::query(&sql)).is_err() {
                return;
            }
            self.record.note(Event::Sent { id, pooler, class, client, patience });
            if let Some(after) = leaves {
                std::thread::sleep(Duration::from_secs_f64(after));
                let _ = stream.shutdown(Shutdown::Both);
                self.record.note(Event::Left { id });
                return;
            }
            match self.wait(&mut stream, &mut buffer, &mut welcomed, patience + WAITS_MORE) {
                Came::Answer(answer) => {
                    self.record.note(Event::Answered { id, answer });
                    let write = self.plan.classes[class].consistency == Consistency::Write;
                    if let (Answer::Served(value), true) = (answer, write) {
                        session.commit = Some(value.position);
                    }
                }
                Came::Closed => return self.record.note(Event::Closed { id }),
                Came::Silent => return self.record.note(Event::Silent { id }),
            }
        }
    }

    fn statement(
        &self,
        id: Id,
        (class, group, client): (usize, usize, usize),
        patience: f64,
        session: &Session,
    ) -> String {
        let of = &self.plan.classes[class];
        let keyed = matches!(of.effect, Effect::KeyedInGroup | Effect::KeyedEverywhere);
        let key = if keyed { format!(",k={id:016x}") } else { String::new() };
        let after = match (of.consistency, session.commit) {
            (Consistency::Session, Some(commit)) if self.plan.carried => {
                format!(",after={}", ((self.unix_at_start + commit) * 1000.0).ceil() as u64)
            }
            _ => String::new(),
        };
        let millis = (patience * 1000.0) as u64;
        format!(
            "/* id={id:016x},c=class-{class},t=acme,d={millis}{key},cluster={group}{after} */ SELECT doc FROM items WHERE id = 'c{client}'"
        )
    }

    /// Waits for an answer.
    fn wait(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>, welcomed: &mut bool, most: f64) -> Came {
        let until = self.record.now() + most;
        let (mut answer, mut piece) = (None, [0; 4096]);
        loop {
            while let Some((kind, body)) = wire::take(buffer) {
                match kind {
                    b'Z' if !*welcomed => *welcomed = true,
                    b'Z' => return answer.map_or(Came::Closed, Came::Answer),
                    b'D' => answer = value(&body).map(Answer::Served),
                    b'E' => {
                        let code = String::from_utf8_lossy(&body).into_owned();
                        let refused = code.contains("C53300\0") || code.contains("C57P03\0");
                        answer = Some(if refused { Answer::Refused } else { Answer::Failed });
                    }
                    _ => {}
                }
            }
            let left = until - self.record.now();
            if left <= 0.0 {
                return Came::Silent;
            }
            let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(left.max(0.001))));
            match stream.read(&mut piece) {
                // A fatal error needs no end of its own.
                Ok(0) => return answer.map_or(Came::Closed, Came::Answer),
                Ok(count) => buffer.extend(&piece[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return answer.map_or(Came::Closed, Came::Answer),
            }
        }
    }
}

/// What a client knows of its own writes.
struct Session {
    commit: Option<f64>,
}

/// The value of a row, as machines here write it.
fn value(row: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(row.get(6..)?).ok()?;
    let (position, primary) = text.split_once(' ')?;
    Some(Value { position: position.parse().ok()?, primary: primary == "1" })
}
