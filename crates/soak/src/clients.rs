//! Clients: each opens a connection to one pooler and sends requests on it until the connection ends.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;

use crate::addresses::{self, AddressKind};
use crate::plan::{Consistency, Effect, Plan};
use crate::record::{Answer, Event, Id, Record, Value};
use crate::wire;

/// Port of every pooler. Each pooler has its own address.
const PORT: u16 = 15_600;
/// How long a client waits for an answer after the timeout of its request (seconds): far longer than any rule
/// allows.
const ANSWER_GRACE: f64 = 3.0;
/// Maximum delay between two requests of a client (seconds).
const MAX_REQUEST_DELAY: f64 = 0.12;
/// One batch of requests in this many is abandoned by its client before the answer.
const ABANDON_ONE_IN: u32 = 25;
/// One connection in this many sends a truncated message.
const TRUNCATE_ONE_IN: u32 = 12;
/// One batch in this many consists of several pipelined requests.
const PIPELINE_ONE_IN: u32 = 10;
/// One single request in this many is sent in two writes.
const SPLIT_ONE_IN: u32 = 15;
/// Maximum delay between the two writes (seconds).
const MAX_SPLIT_DELAY: f64 = 0.4;
/// Read timeout of a client that sent a truncated message (seconds).
const TRUNCATED_TIMEOUT_S: u64 = 8;
/// Delay after a failed connection attempt (milliseconds).
const RECONNECT_DELAY_MS: u64 = 30;

/// Returns the address at which a pooler listens.
pub fn address(pooler: usize) -> SocketAddr {
    addresses::address(AddressKind::Poolers, pooler as u8, 1, PORT)
}

/// State shared by the clients of all poolers.
pub struct Clients {
    pub plan: Plan,
    pub record: Arc<Record>,
    pub unix_at_start: f64,
    pub stopping: AtomicBool,
    /// Poolers, by index, to which clients open no new connection at present.
    pub unavailable: Vec<AtomicBool>,
    next_id: AtomicU64,
}

/// The result of waiting for an answer.
enum WaitResult {
    Answer(Answer),
    ConnectionClosed,
    Unanswered,
}

impl Clients {
    /// Creates the shared state. All poolers are unavailable until they are ready.
    pub fn new(plan: Plan, record: Arc<Record>, unix_at_start: f64) -> Arc<Clients> {
        let unavailable = (0..plan.poolers).map(|_| AtomicBool::new(true)).collect();
        let (stopping, next_id) = (AtomicBool::new(false), AtomicU64::new(1));
        Arc::new(Clients { plan, record, unix_at_start, stopping, unavailable, next_id })
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Runs one client until the end of the run.
    pub fn run(&self, pooler: usize, client: usize) {
        let mut rng = Rng::with_seed(self.plan.seed ^ (client as u64) << 20);
        let mut session = ClientSession { last_commit: None };
        while !self.is_stopping() {
            let Some(stream) = self.connect(pooler) else {
                std::thread::sleep(Duration::from_millis(RECONNECT_DELAY_MS));
                continue;
            };
            if rng.u32(..TRUNCATE_ONE_IN) == 0 {
                self.send_truncated_message(pooler, stream);
            } else {
                self.run_connection((pooler, client), stream, &mut session, &mut rng);
            }
        }
    }

    fn connect(&self, pooler: usize) -> Option<TcpStream> {
        if self.unavailable[pooler].load(Ordering::Relaxed) {
            return None;
        }
        let mut stream = TcpStream::connect(address(pooler)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(&wire::startup()).ok()?;
        Some(stream)
    }

    /// Sends a truncated message and waits for the pooler to close the connection.
    fn send_truncated_message(&self, pooler: usize, mut stream: TcpStream) {
        let message = wire::query(&"x".repeat(200));
        let _ = stream.set_read_timeout(Some(Duration::from_secs(TRUNCATED_TIMEOUT_S)));
        let started_at = self.record.now();
        if stream.write_all(&message[..50]).is_err() {
            return;
        }
        let (mut buffer, mut chunk) = (Vec::new(), [0; 1024]);
        loop {
            match stream.read(&mut chunk) {
                Ok(count) if count > 0 => buffer.extend(&chunk[..count]),
                _ => break,
            }
            while let Some((kind, _)) = wire::take_message(&mut buffer) {
                if kind == b'E' {
                    break;
                }
            }
        }
        self.record.add(Event::TruncatedMessageEnded { pooler, elapsed: self.record.now() - started_at });
    }

    /// Sends requests on a connection until it ends.
    fn run_connection(
        &self,
        (pooler, client): (usize, usize),
        mut stream: TcpStream,
        session: &mut ClientSession,
        rng: &mut Rng,
    ) {
        let (mut buffer, mut startup_done) = (Vec::new(), false);
        while !self.is_stopping() {
            std::thread::sleep(Duration::from_secs_f64(MAX_REQUEST_DELAY * rng.f64()));
            let sent = match self.send_requests((pooler, client), &mut stream, session, rng) {
                Some(sent) => sent,
                None => return,
            };
            // A client that abandons its requests does so before half of the timeout.
            if rng.u32(..ABANDON_ONE_IN) == 0 {
                let leave_after = sent[0].timeout * rng.f64() * 0.5;
                std::thread::sleep(Duration::from_secs_f64(leave_after));
                let _ = stream.shutdown(Shutdown::Both);
                sent.iter().for_each(|sent| self.record.add(Event::ClientLeft { id: sent.id }));
                return;
            }
            for (n, request) in sent.iter().enumerate() {
                match self.wait_for_answer(
                    &mut stream,
                    &mut buffer,
                    &mut startup_done,
                    request.timeout + ANSWER_GRACE,
                ) {
                    WaitResult::Answer(answer) => {
                        self.record.add(Event::Answered { id: request.id, answer });
                        if let (Answer::Served(value), true) = (answer, request.write) {
                            // Pipelined writes may be answered in another order than they ran.
                            let last_commit = session.last_commit.unwrap_or(f64::NEG_INFINITY);
                            session.last_commit = Some(last_commit.max(value.position));
                        }
                    }
                    WaitResult::ConnectionClosed => {
                        return sent[n..].iter().for_each(|sent| {
                            self.record.add(Event::ConnectionClosed { id: sent.id });
                        })
                    }
                    WaitResult::Unanswered => {
                        return sent[n..].iter().for_each(|sent| {
                            self.record.add(Event::Unanswered { id: sent.id });
                        })
                    }
                }
            }
        }
    }

    /// Sends one request in one or two writes, or several requests in one write. Returns `None` if the
    /// connection has ended.
    fn send_requests(
        &self,
        (pooler, client): (usize, usize),
        stream: &mut TcpStream,
        session: &ClientSession,
        rng: &mut Rng,
    ) -> Option<Vec<SentRequest>> {
        let count = if rng.u32(..PIPELINE_ONE_IN) == 0 { rng.usize(2..=4) } else { 1 };
        let (mut sent, mut bytes) = (Vec::new(), Vec::new());
        for _ in 0..count {
            let class = rng.usize(..self.plan.classes.len());
            let group = rng.usize(..self.plan.groups);
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            let timeout = self.plan.classes[class].deadline * (0.4 + 0.6 * rng.f64());
            let sql = self.statement(id, (class, group, client), timeout, session);
            bytes.extend(wire::query(&sql));
            let write = self.plan.classes[class].consistency == Consistency::Write;
            sent.push(SentRequest { id, class, timeout, write });
        }
        // Only a single request is split: it counts as sent with its last byte.
        if count == 1 && rng.u32(..SPLIT_ONE_IN) == 0 {
            stream.write_all(&bytes[..20]).ok()?;
            std::thread::sleep(Duration::from_secs_f64(MAX_SPLIT_DELAY * rng.f64()));
            bytes.drain(..20);
        }
        stream.write_all(&bytes).ok()?;
        for (n, SentRequest { id, class, timeout, .. }) in sent.iter().enumerate() {
            let (id, class, timeout, pipelined) = (*id, *class, *timeout, n > 0);
            self.record.add(Event::Sent { id, pooler, class, client, timeout, pipelined });
        }
        Some(sent)
    }

    fn statement(
        &self,
        id: Id,
        (class, group, client): (usize, usize, usize),
        timeout: f64,
        session: &ClientSession,
    ) -> String {
        let class_plan = &self.plan.classes[class];
        let has_key = matches!(class_plan.effect, Effect::KeyedInGroup | Effect::KeyedEverywhere);
        let key = if has_key { format!(",k={id:016x}") } else { String::new() };
        let position = match (class_plan.consistency, session.last_commit) {
            (Consistency::Session, Some(last_commit)) if self.plan.carried => {
                format!(",after={}", ((self.unix_at_start + last_commit) * 1000.0).ceil() as u64)
            }
            _ => String::new(),
        };
        let millis = (timeout * 1000.0) as u64;
        format!(
            "/* id={id:016x},c=class-{class},t=acme,d={millis}{key},cluster={group}{position} */ SELECT doc FROM items WHERE id = 'c{client}'"
        )
    }

    /// Waits for the next answer, for at most `max_wait` (seconds).
    fn wait_for_answer(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        startup_done: &mut bool,
        max_wait: f64,
    ) -> WaitResult {
        let deadline = self.record.now() + max_wait;
        let (mut answer, mut chunk) = (None, [0; 4096]);
        loop {
            while let Some((kind, body)) = wire::take_message(buffer) {
                match kind {
                    b'Z' if !*startup_done => *startup_done = true,
                    b'Z' => return answer.map_or(WaitResult::ConnectionClosed, WaitResult::Answer),
                    b'D' => answer = value(&body).map(Answer::Served),
                    b'E' => {
                        let code = String::from_utf8_lossy(&body).into_owned();
                        let refused = code.contains("C53300\0") || code.contains("C57P03\0");
                        answer = Some(if refused { Answer::Refused } else { Answer::Failed });
                    }
                    _ => {}
                }
            }
            let remaining = deadline - self.record.now();
            if remaining <= 0.0 {
                return WaitResult::Unanswered;
            }
            let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(remaining.max(0.001))));
            match stream.read(&mut chunk) {
                // A fatal error is not followed by ReadyForQuery.
                Ok(0) => return answer.map_or(WaitResult::ConnectionClosed, WaitResult::Answer),
                Ok(count) => buffer.extend(&chunk[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return answer.map_or(WaitResult::ConnectionClosed, WaitResult::Answer),
            }
        }
    }
}

/// A request that was sent, and its timeout (seconds).
struct SentRequest {
    id: Id,
    class: usize,
    timeout: f64,
    write: bool,
}

/// The position of the last write reported to the client.
struct ClientSession {
    last_commit: Option<f64>,
}

/// Parses a row as the stand-in members write it.
fn value(row: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(row.get(6..)?).ok()?;
    let mut fields = text.split(' ');
    let (position, primary, attempt) = (fields.next()?, fields.next()?, fields.next()?);
    Some(Value { position: position.parse().ok()?, primary: primary == "1", attempt: attempt.parse().ok()? })
}
