//! Database servers that answer each statement at once, all on one thread, each on its own loopback address.

use crate::error::socket_error;
use crate::{MeasureError, Members, Ports};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::io::{self, ErrorKind, Read, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long the thread waits for events before it checks whether to hold or release answers, or to stop.
const POLL_TIMEOUT: Duration = Duration::from_millis(5);
const MAX_EVENTS: usize = 1_024;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Size of a message's type and length.
const HEADER_BYTES: usize = 5;
/// The query that a pooler sends as a probe.
const PROBE_QUERY: &[u8] = b"SHOW usage\0";
/// Text by which a write is recognised.
const WRITE_PREFIX: &[u8] = b"INSERT INTO";
const ROW_VALUE: &[u8] = b"\x9f\x00\x03\x21\x7e\x55\x10\x02";

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    hold_answers: AtomicBool,
    held: AtomicU64,
    statements: AtomicU64,
    probes: AtomicU64,
    connections: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
}

/// The database servers, on their own thread until this is dropped.
pub struct DatabaseServers {
    pub members: Members,
    shared: Arc<Shared>,
}

impl DatabaseServers {
    /// Starts `count` database servers in groups; the first of each group is its primary.
    pub fn start(
        ports: &mut Ports,
        count: usize,
        group_size: usize,
    ) -> Result<DatabaseServers, MeasureError> {
        let listeners = ports.listeners(count)?;
        let mut addresses = Vec::new();
        for listener in &listeners {
            listener.set_nonblocking(true).map_err(socket_error("a database server"))?;
            addresses.push(listener.local_addr().map_err(socket_error("a database server"))?);
        }
        let members = Members { addresses, group_size };
        let shared = Arc::new(Shared::default());
        let event_loop = EventLoop::new(listeners, group_size, shared.clone())
            .map_err(socket_error("database servers"))?;
        std::thread::spawn(move || event_loop.run());
        Ok(DatabaseServers { members, shared })
    }

    /// Sets whether the servers hold statements instead of answering them. Held statements are answered when
    /// holding ends.
    pub fn set_hold_answers(&self, hold: bool) {
        self.shared.hold_answers.store(hold, Ordering::SeqCst);
    }

    /// Number of statements held at present.
    pub fn held_count(&self) -> u64 {
        self.shared.held.load(Ordering::SeqCst)
    }

    /// Number of statements received so far, without probes.
    pub fn statements(&self) -> u64 {
        self.shared.statements.load(Ordering::SeqCst)
    }

    /// Number of probes received so far.
    pub fn probes(&self) -> u64 {
        self.shared.probes.load(Ordering::SeqCst)
    }

    /// Number of connections open at present.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Bytes received from the pooler and sent to it so far.
    pub fn bytes(&self) -> (u64, u64) {
        (self.shared.bytes_in.load(Ordering::SeqCst), self.shared.bytes_out.load(Ordering::SeqCst))
    }
}

impl Drop for DatabaseServers {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
    }
}

struct Connection {
    stream: TcpStream,
    primary: bool,
    startup_done: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    /// A statement has arrived and its answer is held.
    held: bool,
}

struct EventLoop {
    poll: Poll,
    listeners: Vec<TcpListener>,
    group_size: usize,
    connections: Slab<Connection>,
    shared: Arc<Shared>,
    holding: bool,
}

impl EventLoop {
    fn new(
        listeners: Vec<std::net::TcpListener>,
        group_size: usize,
        shared: Arc<Shared>,
    ) -> io::Result<EventLoop> {
        let poll = Poll::new()?;
        let mut listeners: Vec<TcpListener> = listeners.into_iter().map(TcpListener::from_std).collect();
        for (index, listener) in listeners.iter_mut().enumerate() {
            poll.registry().register(listener, Token(index), Interest::READABLE)?;
        }
        Ok(EventLoop { poll, listeners, group_size, connections: Slab::new(), shared, holding: false })
    }

    fn run(mut self) {
        let mut events = Events::with_capacity(MAX_EVENTS);
        while !self.shared.stop.load(Ordering::SeqCst) {
            match self.poll.poll(&mut events, Some(POLL_TIMEOUT)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return,
                Ok(()) => {}
            }
            let tokens: Vec<usize> = events.iter().map(|event| event.token().0).collect();
            for token in tokens {
                match token.checked_sub(self.listeners.len()) {
                    None => self.accept(token),
                    Some(key) => self.serve(key),
                }
            }
            self.update_hold();
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
            entry.insert(Connection { stream, primary, startup_done: false, input, output, held: false });
        }
    }

    fn serve(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.serve(&self.shared, self.holding) {
            return;
        }
        if self.connections.remove(key).held {
            self.shared.held.fetch_sub(1, Ordering::SeqCst);
        }
        self.shared.connections.fetch_sub(1, Ordering::SeqCst);
    }

    /// Applies a changed hold setting, and answers the held statements once holding has ended.
    fn update_hold(&mut self) {
        let hold_answers = self.shared.hold_answers.load(Ordering::SeqCst);
        if std::mem::replace(&mut self.holding, hold_answers) && !hold_answers {
            for (_, connection) in &mut self.connections {
                if std::mem::take(&mut connection.held) {
                    connection.output.extend(served_response(connection.primary));
                    connection.write(&self.shared);
                }
            }
            self.shared.held.store(0, Ordering::SeqCst);
        }
    }
}

impl Connection {
    /// Reads, answers and writes until it would block. Returns false once the connection has ended.
    fn serve(&mut self, shared: &Shared, holding: bool) -> bool {
        let open = self.read(shared);
        while let Some(message) = self.take_message() {
            self.answer(&message, shared, holding);
        }
        open && self.write(shared)
    }

    fn read(&mut self, shared: &Shared) -> bool {
        let mut buffer = [0; READ_BUFFER_BYTES];
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

    /// Takes the next complete message, including its type. The first message of a connection has no type.
    fn take_message(&mut self) -> Option<Vec<u8>> {
        let at = if self.startup_done { 1 } else { 0 };
        let length = self.input.get(at..at + 4)?;
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize + at;
        (self.input.len() >= length).then(|| self.input.drain(..length).collect())
    }

    fn answer(&mut self, message: &[u8], shared: &Shared, holding: bool) {
        if !self.startup_done {
            self.startup_done = true;
            self.output.extend(peers::frame(b'R', &[0; 4]));
            self.output.extend(peers::frame(b'Z', b"I"));
        } else if message.get(HEADER_BYTES..) == Some(PROBE_QUERY) {
            shared.probes.fetch_add(1, Ordering::Relaxed);
            self.output.extend(probe_response(self.primary));
        } else if message[0] == b'Q' {
            shared.statements.fetch_add(1, Ordering::Relaxed);
            if !self.primary && is_write(message) {
                self.output.extend(read_only_response());
            } else if holding {
                self.held = true;
                shared.held.fetch_add(1, Ordering::SeqCst);
            } else {
                self.output.extend(served_response(self.primary));
            }
        }
    }
}

fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

fn is_write(message: &[u8]) -> bool {
    message.windows(WRITE_PREFIX.len()).any(|window| window == WRITE_PREFIX)
}

/// The error with which a replica refuses a write.
fn read_only_response() -> Vec<u8> {
    let error = b"SERROR\0VERROR\0C25006\0Mcannot execute INSERT in a read-only transaction\0\0";
    [peers::frame(b'E', error), peers::frame(b'Z', b"I")].concat()
}

/// The answer to a statement: a row, the server's role and its position.
fn served_response(primary: bool) -> Vec<u8> {
    let status = |name: &str, value: &str| peers::frame(b'S', [name, "\0", value, "\0"].concat().as_bytes());
    let role = if primary { "writer" } else { "reader" };
    let position = format!("{:.3}", now() * 1e3);
    let mut answer = peers::row(ROW_VALUE);
    answer.extend(status("server_role", role));
    answer.extend(status("commit_clock", &position));
    answer.extend(peers::frame(b'Z', b"I"));
    answer
}

/// The answer to a probe: position and role.
fn probe_response(primary: bool) -> Vec<u8> {
    let report = format!("x0={:.3},x1={}", now(), u8::from(primary));
    [peers::row(report.as_bytes()), peers::frame(b'Z', b"I")].concat()
}
