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
/// One time in so many a client sends several requests at once, and one in so many in two pieces with a pause of so long between
/// them at the most (seconds).
const AHEAD_ONE_IN: u32 = 10;
const SLOW_ONE_IN: u32 = 15;
const SLOW: f64 = 0.4;
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
            let asked = match self.ask((pooler, client), &mut stream, session, rng) {
                Some(asked) => asked,
                None => return,
            };
            // One that leaves does so somewhere in its time.
            if rng.u32(..LEAVES_ONE_IN) == 0 {
                let after = asked[0].patience * rng.f64() * 0.5;
                std::thread::sleep(Duration::from_secs_f64(after));
                let _ = stream.shutdown(Shutdown::Both);
                asked.iter().for_each(|asked| self.record.note(Event::Left { id: asked.id }));
                return;
            }
            for (n, one) in asked.iter().enumerate() {
                match self.wait(&mut stream, &mut buffer, &mut welcomed, one.patience + WAITS_MORE) {
                    Came::Answer(answer) => {
                        self.record.note(Event::Answered { id: one.id, answer });
                        if let (Answer::Served(value), true) = (answer, one.write) {
                            // Writes that were sent at once may be answered in another order than they ran.
                            let commit = session.commit.unwrap_or(f64::NEG_INFINITY);
                            session.commit = Some(commit.max(value.position));
                        }
                    }
                    Came::Closed => {
                        return asked[n..].iter().for_each(|asked| {
                            self.record.note(Event::Closed { id: asked.id });
                        })
                    }
                    Came::Silent => {
                        return asked[n..].iter().for_each(|asked| {
                            self.record.note(Event::Silent { id: asked.id });
                        })
                    }
                }
            }
        }
    }

    /// Sends one request, or several at once, in one piece or in two; none where the connection has ended.
    fn ask(
        &self,
        (pooler, client): (usize, usize),
        stream: &mut TcpStream,
        session: &Session,
        rng: &mut Rng,
    ) -> Option<Vec<Asked>> {
        let count = if rng.u32(..AHEAD_ONE_IN) == 0 { rng.usize(2..=4) } else { 1 };
        let (mut asked, mut bytes) = (Vec::new(), Vec::new());
        for _ in 0..count {
            let class = rng.usize(..self.plan.classes.len());
            let group = rng.usize(..self.plan.groups);
            let id = self.next.fetch_add(1, Ordering::Relaxed);
            let patience = self.plan.classes[class].deadline * (0.4 + 0.6 * rng.f64());
            let sql = self.statement(id, (class, group, client), patience, session);
            bytes.extend(wire::query(&sql));
            let write = self.plan.classes[class].consistency == Consistency::Write;
            asked.push(Asked { id, class, patience, write });
        }
        // One in pieces is sent with its last byte; nothing of those before it is held back.
        if count == 1 && rng.u32(..SLOW_ONE_IN) == 0 {
            stream.write_all(&bytes[..20]).ok()?;
            std::thread::sleep(Duration::from_secs_f64(SLOW * rng.f64()));
            bytes.drain(..20);
        }
        stream.write_all(&bytes).ok()?;
        for (n, Asked { id, class, patience, .. }) in asked.iter().enumerate() {
            let (id, class, patience, behind) = (*id, *class, *patience, n > 0);
            self.record.note(Event::Sent { id, pooler, class, client, patience, behind });
        }
        Some(asked)
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

/// A request that was sent.
struct Asked {
    id: Id,
    class: usize,
    patience: f64,
    write: bool,
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
