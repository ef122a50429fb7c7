//! Clients of the pooler: connections that rest or wait, and a steady load.

use crate::error::socket;
use crate::MeasureError;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(10);
/// Sessions that write and read their own writes.
const KEYS: u64 = 1_000;
/// How long clients wait for an answer (ms), and those that are to leave no timers behind.
const LONG_MS: u64 = 8_500;
const SHORT_MS: u64 = 250;
/// Statements of the mix in ten.
const TENTH: u64 = 10;
/// The pause after a turn in which nothing was due and nothing came.
const PAUSE: Duration = Duration::from_micros(200);
const READ: usize = 4 * 1024;
const HEAD: usize = 5;
const READY: u8 = b'Z';
const ROW: u8 = b'D';

/// Which statements are asked, in which groups.
#[derive(Clone, Debug)]
pub struct Mix {
    pub groups: usize,
    /// In ten statements: bounded reads, then reads of the session's own writes; the rest are writes.
    pub bounded: u64,
    pub own: u64,
    /// How long the client waits (ms): the pooler keeps a timer for each statement until then.
    pub patience_ms: u64,
}

impl Mix {
    /// Six bounded reads, two session reads and two writes in ten, evenly over the groups.
    pub fn typical(groups: usize) -> Mix {
        Mix { groups, bounded: 6, own: 2, patience_ms: LONG_MS }
    }

    /// Bounded reads alone, whose clients wait for a moment only.
    pub fn short_reads(groups: usize) -> Mix {
        Mix { groups, bounded: TENTH, own: 0, patience_ms: SHORT_MS }
    }

    /// Writes alone, whose clients wait for a moment only.
    pub fn short_writes(groups: usize) -> Mix {
        Mix { groups, bounded: 0, own: 0, patience_ms: SHORT_MS }
    }

    /// One statement; its group and key are drawn.
    fn statement(&self, random: &mut fastrand::Rng) -> Vec<u8> {
        let group = random.usize(..self.groups);
        self.statement_in(group, random)
    }

    /// One statement in this group.
    pub fn statement_in(&self, group: usize, random: &mut fastrand::Rng) -> Vec<u8> {
        let (id, key, draw) = (random.u64(..), random.u64(..KEYS), random.u64(..TENTH));
        let patience = self.patience_ms;
        let told = |class: &str| format!("id={id:016x},c={class},t=acme,d={patience},cluster={group}");
        let sql = if draw < self.bounded + self.own {
            let class = if draw < self.bounded { "browse" } else { "own-orders" };
            format!("/* {} */ SELECT doc FROM items WHERE id = 'k{key}'", told(class))
        } else {
            format!(
                "/* {},k={id:016x} */ INSERT INTO items (id, doc) VALUES ('k{key}', '\\x9f000321') RETURNING doc",
                told("order-write")
            )
        };
        peers::query(&sql)
    }
}

/// One client's connection.
pub struct Wire {
    stream: TcpStream,
    input: Vec<u8>,
}

/// How a statement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Served,
    Error,
}

impl Wire {
    /// Connects and takes the welcome.
    pub fn connect(address: SocketAddr) -> Result<Wire, MeasureError> {
        let stream = TcpStream::connect(address).map_err(socket("a client's connection"))?;
        stream.set_nodelay(true).map_err(socket("a client's connection"))?;
        stream.set_read_timeout(Some(PATIENCE)).map_err(socket("a client's connection"))?;
        let mut wire = Wire { stream, input: Vec::new() };
        wire.send(&peers::startup())?;
        wire.wait()?;
        Ok(wire)
    }

    /// Sends a message.
    pub fn send(&mut self, message: &[u8]) -> Result<(), MeasureError> {
        self.stream.write_all(message).map_err(socket("a client's statement"))
    }

    /// Sends a statement and waits for its answer; whether it was served.
    pub fn query(&mut self, statement: &[u8]) -> Result<bool, MeasureError> {
        self.send(statement)?;
        Ok(self.wait()? == Answer::Served)
    }

    fn wait(&mut self) -> Result<Answer, MeasureError> {
        loop {
            if let Some(answer) = self.take() {
                return Ok(answer);
            }
            self.read()?;
        }
    }

    fn read(&mut self) -> Result<usize, MeasureError> {
        let mut buffer = [0; READ];
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

    /// Takes all messages up to ReadyForQuery, once that is there.
    fn take(&mut self) -> Option<Answer> {
        let (mut at, mut answer) = (0, Answer::Error);
        loop {
            let head = self.input.get(at..at + HEAD)?;
            let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize + 1;
            let kind = head[0];
            if self.input.len() < at + length {
                return None;
            }
            at += length;
            if kind == ROW {
                answer = Answer::Served;
            }
            if kind == READY {
                self.input.drain(..at);
                return Some(answer);
            }
        }
    }
}

#[derive(Default)]
struct Sums {
    over: AtomicBool,
    served: AtomicU64,
    errors: AtomicU64,
    /// The connection that broke first ended the load.
    broken: AtomicBool,
}

/// A steady load on connections of its own, on a thread of its own until this goes. Each connection has one statement out at
/// a time; a statement that finds none free waits.
pub struct Load {
    sums: Arc<Sums>,
    thread: Option<JoinHandle<()>>,
}

impl Load {
    /// Connects so many clients and asks at this rate (statements a second, all together).
    pub fn start(
        address: SocketAddr,
        clients: usize,
        rate: f64,
        mix: Mix,
        seed: u64,
    ) -> Result<Load, MeasureError> {
        let mut wires = Vec::new();
        for _ in 0..clients {
            let wire = Wire::connect(address)?;
            wire.stream.set_nonblocking(true).map_err(socket("a client's connection"))?;
            wires.push(wire);
        }
        let sums = Arc::new(Sums::default());
        let own = sums.clone();
        let random = fastrand::Rng::with_seed(seed);
        let thread = std::thread::spawn(move || {
            let pace = Pace { wires, rate, mix, random };
            if pace.run(&own).is_err() {
                own.broken.store(true, Ordering::SeqCst);
            }
        });
        Ok(Load { sums, thread: Some(thread) })
    }

    /// Statements that were served so far.
    pub fn served(&self) -> Result<u64, MeasureError> {
        if self.sums.broken.load(Ordering::SeqCst) {
            return Err(MeasureError::NoAnswer { what: "a client of the load lost its connection" });
        }
        Ok(self.sums.served.load(Ordering::SeqCst))
    }

    /// Statements that were answered with an error so far.
    pub fn errors(&self) -> u64 {
        self.sums.errors.load(Ordering::SeqCst)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.sums.over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Pace {
    wires: Vec<Wire>,
    rate: f64,
    mix: Mix,
    random: fastrand::Rng,
}

impl Pace {
    fn run(mut self, sums: &Sums) -> Result<(), MeasureError> {
        let begun = Instant::now();
        let mut free: Vec<usize> = (0..self.wires.len()).collect();
        let mut busy: Vec<usize> = Vec::new();
        let mut sent = 0;
        while !sums.over.load(Ordering::SeqCst) {
            let due = (begun.elapsed().as_secs_f64() * self.rate) as u64;
            let mut idle = true;
            while sent < due {
                let Some(client) = free.pop() else { break };
                let statement = self.mix.statement(&mut self.random);
                self.wires[client].send(&statement)?;
                busy.push(client);
                sent += 1;
                idle = false;
            }
            let mut waiting = Vec::with_capacity(busy.len());
            for client in busy {
                if self.answered(client, sums)? {
                    free.push(client);
                    idle = false;
                } else {
                    waiting.push(client);
                }
            }
            busy = waiting;
            if idle {
                std::thread::sleep(PAUSE);
            }
        }
        Ok(())
    }

    /// Whether a client has its answer.
    fn answered(&mut self, client: usize, sums: &Sums) -> Result<bool, MeasureError> {
        let wire = &mut self.wires[client];
        if wire.read()? == 0 {
            return Ok(false);
        }
        match wire.take() {
            Some(Answer::Served) => sums.served.fetch_add(1, Ordering::SeqCst),
            Some(Answer::Error) => sums.errors.fetch_add(1, Ordering::SeqCst),
            None => return Ok(false),
        };
        Ok(true)
    }
}
