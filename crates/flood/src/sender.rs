//! Threads that send a flood until they are stopped.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::form::{Form, Target};

/// Bytes that a client encodes and writes at a time.
const BATCH_BYTES: usize = 32 * 1024;
/// How long a client waits when it can neither write nor read (microseconds).
const IDLE_WAIT_US: u64 = 200;
/// Maximum number of connections that a client keeps open without sending on them.
const MAX_OPEN: usize = 300;
/// How long a client waits before it connects again (milliseconds).
const RECONNECT_DELAY_MS: u64 = 2;

/// Numbers for messages and connections, unique in the process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A connection to the pooler, with or without encryption, that does not block.
pub trait Stream: Read + Write + Send {}

impl<T: Read + Write + Send> Stream for T {}

/// Opens a connection that does not block, before its startup message.
pub type Connect = Arc<dyn Fn() -> io::Result<Box<dyn Stream>> + Send + Sync>;

/// Clients that flood a pooler until they are stopped.
pub struct Flood {
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts clients that flood the pooler at this address over plain connections.
    pub fn start(address: SocketAddr, form: Form, clients: usize, reads: bool, target: &Target) -> Flood {
        let connect: Connect = Arc::new(move || {
            let stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            stream.set_nonblocking(true)?;
            Ok(Box::new(stream) as Box<dyn Stream>)
        });
        Flood::start_over(connect, form, clients, reads, target)
    }

    /// Starts clients that flood a pooler over connections from `connect`. They read their answers if `reads`.
    pub fn start_over(connect: Connect, form: Form, clients: usize, reads: bool, target: &Target) -> Flood {
        let stopping = Arc::new(AtomicBool::new(false));
        let sender = |_| {
            let sender = Sender {
                connect: connect.clone(),
                form,
                reads,
                target: target.clone(),
                stopping: stopping.clone(),
            };
            std::thread::spawn(move || sender.run())
        };
        let threads = (0..clients).map(sender).collect();
        Flood { stopping, threads }
    }

    /// Stops all clients and waits for them.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.end();
    }
}

/// One flooding client.
struct Sender {
    connect: Connect,
    form: Form,
    reads: bool,
    target: Target,
    stopping: Arc<AtomicBool>,
}

impl Sender {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    fn run(&self) {
        // Connections that stay open, the oldest first.
        let mut open = VecDeque::new();
        while !self.is_stopping() {
            match (self.connect)() {
                Ok(mut stream) => {
                    let ended = self.run_connection(&mut *stream);
                    if self.form.stays() && ended.is_ok() {
                        open.push_back(stream);
                        if open.len() > MAX_OPEN {
                            open.pop_front();
                        }
                    }
                }
                Err(_) => std::thread::sleep(Duration::from_millis(RECONNECT_DELAY_MS)),
            }
        }
    }

    /// Sends on a connection until it ends, the flood is stopped, or its only batch is sent.
    fn run_connection(&self, stream: &mut dyn Stream) -> io::Result<()> {
        let mut unsent = self.form.opening(next_number());
        let mut written = 0;
        self.refill(&mut unsent);
        while !self.is_stopping() {
            if written == unsent.len() {
                if self.form.sends_once() {
                    return Ok(());
                }
                (written, unsent) = (0, Vec::new());
                self.refill(&mut unsent);
            }
            let wrote = match stream.write(&unsent[written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    written += count;
                    true
                }
                Err(error) if would_block(&error) => false,
                Err(error) => return Err(error),
            };
            let read = self.reads && discard_available(stream)?;
            if !wrote && !read {
                std::thread::sleep(Duration::from_micros(IDLE_WAIT_US));
            }
        }
        Ok(())
    }

    /// Appends messages up to the size of a batch.
    fn refill(&self, unsent: &mut Vec<u8>) {
        loop {
            self.form.push(unsent, next_number(), &self.target);
            if self.form.sends_once() || unsent.len() >= BATCH_BYTES {
                return;
            }
        }
    }
}

fn next_number() -> u64 {
    NEXT_NUMBER.fetch_add(1, Ordering::Relaxed)
}

fn would_block(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Reads and discards what has arrived. Returns true if there was something.
fn discard_available(stream: &mut dyn Stream) -> io::Result<bool> {
    let mut chunk = [0; 64 * 1024];
    match stream.read(&mut chunk) {
        Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
        Ok(_) => Ok(true),
        Err(error) if would_block(&error) => Ok(false),
        Err(error) => Err(error),
    }
}
