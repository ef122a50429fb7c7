//! Clients of the pooler: single connections, idle or with a statement, and a steady load.

use crate::error::socket_error;
use crate::MeasureError;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time limit for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of items that statements read and write.
const ITEM_KEYS: u64 = 1_000;
/// Timeout that clients of the typical mix announce (ms).
const LONG_TIMEOUT_MS: u64 = 8_500;
/// Timeout that clients announce whose statements should leave no timers behind (ms).
const SHORT_TIMEOUT_MS: u64 = 250;
/// Number of statements that the shares of a mix refer to.
const MIX_PARTS: u64 = 10;
/// Pause after an iteration in which no statement was due and no answer arrived.
const IDLE_SLEEP: Duration = Duration::from_micros(200);
const READ_BUFFER_BYTES: usize = 4 * 1024;
const HEADER_BYTES: usize = 5;
const READY_FOR_QUERY: u8 = b'Z';
const DATA_ROW: u8 = b'D';

/// Which statements are sent, and to how many groups.
#[derive(Clone, Debug)]
pub struct Mix {
    pub groups: usize,
    /// Bounded reads in ten statements. Statements that are neither bounded nor session reads are writes.
    pub bounded_reads: u64,
    /// Reads of the session's own writes in ten statements.
    pub session_reads: u64,
    /// Timeout of the client (ms): the pooler keeps a timer for each statement until then.
    pub timeout_ms: u64,
}

impl Mix {
    /// Six bounded reads, two session reads and two writes in ten statements, evenly over the groups.
    pub fn typical(groups: usize) -> Mix {
        Mix { groups, bounded_reads: 6, session_reads: 2, timeout_ms: LONG_TIMEOUT_MS }
    }

    /// Bounded reads only, with a short timeout.
    pub fn short_reads(groups: usize) -> Mix {
        Mix { groups, bounded_reads: MIX_PARTS, session_reads: 0, timeout_ms: SHORT_TIMEOUT_MS }
    }

    /// Writes only, with a short timeout.
    pub fn short_writes(groups: usize) -> Mix {
        Mix { groups, bounded_reads: 0, session_reads: 0, timeout_ms: SHORT_TIMEOUT_MS }
    }

    /// A statement with a random group and key.
    fn statement(&self, random: &mut fastrand::Rng) -> Vec<u8> {
        let group = random.usize(..self.groups);
        self.statement_in(group, random)
    }

    /// A statement in the given group, with a random key.
    pub fn statement_in(&self, group: usize, random: &mut fastrand::Rng) -> Vec<u8> {
        let (id, key, sample) = (random.u64(..), random.u64(..ITEM_KEYS), random.u64(..MIX_PARTS));
        let timeout = self.timeout_ms;
        let comment = |class: &str| format!("id={id:016x},c={class},t=acme,d={timeout},cluster={group}");
        let sql = if sample < self.bounded_reads + self.session_reads {
            let class = if sample < self.bounded_reads { "browse" } else { "own-orders" };
            format!("/* {} */ SELECT doc FROM items WHERE id = 'k{key}'", comment(class))
        } else {
            format!(
                "/* {},k={id:016x} */ INSERT INTO items (id, doc) VALUES ('k{key}', '\\x9f000321') RETURNING doc",
                comment("order-write")
            )
        };
        peers::query(&sql)
    }
}

/// The connection of one client.
pub struct ClientConnection {
    stream: TcpStream,
    input: Vec<u8>,
}

/// How a statement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Served,
    Error,
}

impl ClientConnection {
    /// Connects and completes the startup.
    pub fn connect(address: SocketAddr) -> Result<ClientConnection, MeasureError> {
        let stream = TcpStream::connect(address).map_err(socket_error("a client's connection"))?;
        stream.set_nodelay(true).map_err(socket_error("a client's connection"))?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).map_err(socket_error("a client's connection"))?;
        let mut connection = ClientConnection { stream, input: Vec::new() };
        connection.send(&peers::startup())?;
        connection.wait_for_answer()?;
        Ok(connection)
    }

    /// Sends a message.
    pub fn send(&mut self, message: &[u8]) -> Result<(), MeasureError> {
        self.stream.write_all(message).map_err(socket_error("a client's statement"))
    }

    /// Sends a statement and waits for its answer. Returns true if it was served.
    pub fn query(&mut self, statement: &[u8]) -> Result<bool, MeasureError> {
        self.send(statement)?;
        Ok(self.wait_for_answer()? == Answer::Served)
    }

    fn wait_for_answer(&mut self) -> Result<Answer, MeasureError> {
        loop {
            if let Some(answer) = self.take_answer() {
                return Ok(answer);
            }
            self.read()?;
        }
    }

    fn read(&mut self) -> Result<usize, MeasureError> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        match self.stream.read(&mut buffer) {
            Ok(0) => Err(MeasureError::NoAnswer { what: "a client's connection was closed" }),
            Ok(count) => {
                self.input.extend(&buffer[..count]);
                Ok(count)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(0),
            Err(cause) => Err(MeasureError::Socket { what: "a client's answer", cause }),
        }
    }

    /// Consumes all messages up to ReadyForQuery, once it has arrived.
    fn take_answer(&mut self) -> Option<Answer> {
        let (mut at, mut answer) = (0, Answer::Error);
        loop {
            let header = self.input.get(at..at + HEADER_BYTES)?;
            let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize + 1;
            let kind = header[0];
            if self.input.len() < at + length {
                return None;
            }
            at += length;
            if kind == DATA_ROW {
                answer = Answer::Served;
            }
            if kind == READY_FOR_QUERY {
                self.input.drain(..at);
                return Some(answer);
            }
        }
    }
}

#[derive(Default)]
struct LoadTotals {
    stop: AtomicBool,
    served: AtomicU64,
    errors: AtomicU64,
    /// A connection failed, which ended the load.
    failed: AtomicBool,
}

/// A steady load with its own connections, on its own thread until it is dropped. Each connection has one
/// statement in flight at a time; a statement waits while no connection is free.
pub struct Load {
    totals: Arc<LoadTotals>,
    thread: Option<JoinHandle<()>>,
}

impl Load {
    /// Connects `clients` clients and sends at `rate` (statements per second over all clients).
    pub fn start(
        address: SocketAddr,
        clients: usize,
        rate: f64,
        mix: Mix,
        seed: u64,
    ) -> Result<Load, MeasureError> {
        let mut connections = Vec::new();
        for _ in 0..clients {
            let connection = ClientConnection::connect(address)?;
            connection.stream.set_nonblocking(true).map_err(socket_error("a client's connection"))?;
            connections.push(connection);
        }
        let totals = Arc::new(LoadTotals::default());
        let thread_totals = totals.clone();
        let random = fastrand::Rng::with_seed(seed);
        let thread = std::thread::spawn(move || {
            let load_loop = LoadLoop { connections, rate, mix, random };
            if load_loop.run(&thread_totals).is_err() {
                thread_totals.failed.store(true, Ordering::SeqCst);
            }
        });
        Ok(Load { totals, thread: Some(thread) })
    }

    /// Number of statements served so far.
    pub fn served(&self) -> Result<u64, MeasureError> {
        if self.totals.failed.load(Ordering::SeqCst) {
            return Err(MeasureError::NoAnswer { what: "a client of the load lost its connection" });
        }
        Ok(self.totals.served.load(Ordering::SeqCst))
    }

    /// Number of statements answered with an error so far.
    pub fn errors(&self) -> u64 {
        self.totals.errors.load(Ordering::SeqCst)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.totals.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct LoadLoop {
    connections: Vec<ClientConnection>,
    rate: f64,
    mix: Mix,
    random: fastrand::Rng,
}

impl LoadLoop {
    fn run(mut self, totals: &LoadTotals) -> Result<(), MeasureError> {
        let started_at = Instant::now();
        let mut free: Vec<usize> = (0..self.connections.len()).collect();
        let mut busy: Vec<usize> = Vec::new();
        let mut sent = 0;
        while !totals.stop.load(Ordering::SeqCst) {
            let due = (started_at.elapsed().as_secs_f64() * self.rate) as u64;
            let mut idle = true;
            while sent < due {
                let Some(client) = free.pop() else { break };
                let statement = self.mix.statement(&mut self.random);
                self.connections[client].send(&statement)?;
                busy.push(client);
                sent += 1;
                idle = false;
            }
            let mut waiting = Vec::with_capacity(busy.len());
            for client in busy {
                if self.receive_answer(client, totals)? {
                    free.push(client);
                    idle = false;
                } else {
                    waiting.push(client);
                }
            }
            busy = waiting;
            if idle {
                std::thread::sleep(IDLE_SLEEP);
            }
        }
        Ok(())
    }

    /// Reads from a client's connection. Returns true once its answer is complete.
    fn receive_answer(&mut self, client: usize, totals: &LoadTotals) -> Result<bool, MeasureError> {
        let connection = &mut self.connections[client];
        if connection.read()? == 0 {
            return Ok(false);
        }
        match connection.take_answer() {
            Some(Answer::Served) => totals.served.fetch_add(1, Ordering::SeqCst),
            Some(Answer::Error) => totals.errors.fetch_add(1, Ordering::SeqCst),
            None => return Ok(false),
        };
        Ok(true)
    }
}
