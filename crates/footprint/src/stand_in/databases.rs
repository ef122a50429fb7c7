//! Databases that answer each statement at once, all on one thread, each on a loopback address of its own.

use crate::error::socket;
use crate::{Databases, MeasureError, Ports};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::io::{self, ErrorKind, Read, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long the thread waits for events before it looks whether it is to hold, to release or to end.
const TURN: Duration = Duration::from_millis(5);
const EVENTS: usize = 1_024;
const READ: usize = 16 * 1024;
/// A frame's type and length.
const HEAD: usize = 5;
/// What a pooler asks when it probes.
const PROBE: &[u8] = b"SHOW usage\0";
/// What tells a write from a read.
const WRITE: &[u8] = b"INSERT INTO";
const VALUE: &[u8] = b"\x9f\x00\x03\x21\x7e\x55\x10\x02";

#[derive(Default)]
struct Shared {
    over: AtomicBool,
    hold: AtomicBool,
    held: AtomicU64,
    statements: AtomicU64,
    probes: AtomicU64,
    connections: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
}

/// The servers, on a thread of their own until this goes.
pub struct DatabaseServers {
    pub databases: Databases,
    shared: Arc<Shared>,
}

impl DatabaseServers {
    /// Starts so many databases in groups; the first of each group is its primary.
    pub fn start(
        ports: &mut Ports,
        count: usize,
        group_size: usize,
    ) -> Result<DatabaseServers, MeasureError> {
        let listeners = ports.listeners(count)?;
        let mut addresses = Vec::new();
        for listener in &listeners {
            listener.set_nonblocking(true).map_err(socket("a database"))?;
            addresses.push(listener.local_addr().map_err(socket("a database"))?);
        }
        let databases = Databases { addresses, group_size };
        let shared = Arc::new(Shared::default());
        let servers = Servers::new(listeners, group_size, shared.clone()).map_err(socket("databases"))?;
        std::thread::spawn(move || servers.run());
        Ok(DatabaseServers { databases, shared })
    }

    /// Whether statements are held from now on in place of being answered; those that are held are answered when this ends.
    pub fn set_hold_answers(&self, hold: bool) {
        self.shared.hold.store(hold, Ordering::SeqCst);
    }

    /// Statements that are held at present.
    pub fn held_count(&self) -> u64 {
        self.shared.held.load(Ordering::SeqCst)
    }

    /// Statements that came so far, without probes.
    pub fn statements(&self) -> u64 {
        self.shared.statements.load(Ordering::SeqCst)
    }

    /// Probes that came so far.
    pub fn probes(&self) -> u64 {
        self.shared.probes.load(Ordering::SeqCst)
    }

    /// Connections that are open at present.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Bytes that came from the pooler and that went to it so far.
    pub fn bytes(&self) -> (u64, u64) {
        (self.shared.bytes_in.load(Ordering::SeqCst), self.shared.bytes_out.load(Ordering::SeqCst))
    }
}

impl Drop for DatabaseServers {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
    }
}

struct Connection {
    stream: TcpStream,
    primary: bool,
    greeted: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    /// A statement came and waits to be answered.
    held: bool,
}

struct Servers {
    poll: Poll,
    listeners: Vec<TcpListener>,
    group_size: usize,
    connections: Slab<Connection>,
    shared: Arc<Shared>,
    holding: bool,
}

impl Servers {
    fn new(
        listeners: Vec<std::net::TcpListener>,
        group_size: usize,
        shared: Arc<Shared>,
    ) -> io::Result<Servers> {
        let poll = Poll::new()?;
        let mut listeners: Vec<TcpListener> = listeners.into_iter().map(TcpListener::from_std).collect();
        for (index, listener) in listeners.iter_mut().enumerate() {
            poll.registry().register(listener, Token(index), Interest::READABLE)?;
        }
        Ok(Servers { poll, listeners, group_size, connections: Slab::new(), shared, holding: false })
    }

    fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS);
        while !self.shared.over.load(Ordering::SeqCst) {
            match self.poll.poll(&mut events, Some(TURN)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return,
                Ok(()) => {}
            }
            let tokens: Vec<usize> = events.iter().map(|event| event.token().0).collect();
            for token in tokens {
                match token.checked_sub(self.listeners.len()) {
                    None => self.accept(token),
                    Some(key) => self.turn(key),
                }
            }
            self.look_at_hold();
        }
    }

    fn accept(&mut self, index: usize) {
        let primary = index.is_multiple_of(self.group_size);
        while let Ok((mut stream, _)) = self.listeners[index].accept() {
            let _ = stream.set_nodelay(true);
            let entry = self.connections.vacant_entry();
            let token = Token(self.listeners.len() + entry.key());
            let both = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut stream, token, both).is_err() {
                continue;
            }
            self.shared.connections.fetch_add(1, Ordering::SeqCst);
            let (input, output) = (Vec::new(), Vec::new());
            entry.insert(Connection { stream, primary, greeted: false, input, output, held: false });
        }
    }

    fn turn(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.turn(&self.shared, self.holding) {
            return;
        }
        if self.connections.remove(key).held {
            self.shared.held.fetch_sub(1, Ordering::SeqCst);
        }
        self.shared.connections.fetch_sub(1, Ordering::SeqCst);
    }

    /// Answers what was held once holding has ended.
    fn look_at_hold(&mut self) {
        let holds = self.shared.hold.load(Ordering::SeqCst);
        if std::mem::replace(&mut self.holding, holds) && !holds {
            for (_, connection) in &mut self.connections {
                if std::mem::take(&mut connection.held) {
                    connection.output.extend(served(connection.primary));
                    connection.write(&self.shared);
                }
            }
            self.shared.held.store(0, Ordering::SeqCst);
        }
    }
}

impl Connection {
    /// Reads, answers and writes as far as it goes; false once the connection has ended.
    fn turn(&mut self, shared: &Shared, holding: bool) -> bool {
        let open = self.read(shared);
        while let Some(message) = self.take() {
            self.answer(&message, shared, holding);
        }
        open && self.write(shared)
    }

    fn read(&mut self, shared: &Shared) -> bool {
        let mut buffer = [0; READ];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return false,
                Ok(count) => {
                    shared.bytes_in.fetch_add(count as u64, Ordering::Relaxed);
                    self.input.extend(&buffer[..count]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    fn write(&mut self, shared: &Shared) -> bool {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(count) => {
                    shared.bytes_out.fetch_add(count as u64, Ordering::Relaxed);
                    self.output.drain(..count);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// The next whole message, with its type; the first on a connection has none and is passed on as a whole.
    fn take(&mut self) -> Option<Vec<u8>> {
        let at = if self.greeted { 1 } else { 0 };
        let length = self.input.get(at..at + 4)?;
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize + at;
        (self.input.len() >= length).then(|| self.input.drain(..length).collect())
    }

    fn answer(&mut self, message: &[u8], shared: &Shared, holding: bool) {
        if !self.greeted {
            self.greeted = true;
            self.output.extend(peers::frame(b'R', &[0; 4]));
            self.output.extend(peers::frame(b'Z', b"I"));
        } else if message.get(HEAD..) == Some(PROBE) {
            shared.probes.fetch_add(1, Ordering::Relaxed);
            self.output.extend(usage(self.primary));
        } else if message[0] == b'Q' {
            shared.statements.fetch_add(1, Ordering::Relaxed);
            if !self.primary && is_write(message) {
                self.output.extend(read_only());
            } else if holding {
                self.held = true;
                shared.held.fetch_add(1, Ordering::SeqCst);
            } else {
                self.output.extend(served(self.primary));
            }
        }
    }
}

fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

fn is_write(message: &[u8]) -> bool {
    message.windows(WRITE.len()).any(|words| words == WRITE)
}

/// The error with which a replica turns a write away.
fn read_only() -> Vec<u8> {
    let error = b"SERROR\0VERROR\0C25006\0Mcannot execute INSERT in a read-only transaction\0\0";
    [peers::frame(b'E', error), peers::frame(b'Z', b"I")].concat()
}

/// A row, the server's role and its position.
fn served(primary: bool) -> Vec<u8> {
    let status = |name: &str, value: &str| peers::frame(b'S', [name, "\0", value, "\0"].concat().as_bytes());
    let role = if primary { "writer" } else { "reader" };
    let position = format!("{:.3}", now() * 1e3);
    let mut answer = peers::row(VALUE);
    answer.extend(status("server_role", role));
    answer.extend(status("commit_clock", &position));
    answer.extend(peers::frame(b'Z', b"I"));
    answer
}

/// The answer to a probe: position and role.
fn usage(primary: bool) -> Vec<u8> {
    let report = format!("x0={:.3},x1={}", now(), u8::from(primary));
    [peers::row(report.as_bytes()), peers::frame(b'Z', b"I")].concat()
}
