//! Clients that send one request at a time and measure how long each answer takes.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::wire::startup;

/// Pause between two requests of a probe (milliseconds).
const REQUEST_INTERVAL_MS: u64 = 20;
/// A probe stops waiting for an answer after this time (seconds).
const ANSWER_TIMEOUT_S: u64 = 6;

/// Encodes a probe's request; the number is unique in the process.
type Request = Arc<dyn Fn(u64) -> Vec<u8> + Send + Sync>;

/// Numbers for requests, unique in the process.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// What the probes have seen.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Answers with a row.
    pub served: usize,
    /// Answers with an error.
    pub errors: usize,
    /// Requests whose connection ended before their answer; they were sent again.
    pub closed: usize,
    /// Requests without an answer in the time that a probe waits.
    pub unanswered: usize,
    /// The time of each answer (seconds), in ascending order.
    pub latencies: Vec<f64>,
}

impl Summary {
    /// Returns the longest time of an answer (seconds); infinite if one is missing.
    pub fn worst(&self) -> f64 {
        if self.unanswered > 0 {
            return f64::INFINITY;
        }
        self.latencies.last().copied().unwrap_or(f64::INFINITY)
    }

    /// Returns the median time of an answer (seconds).
    pub fn median(&self) -> f64 {
        self.latencies.get(self.latencies.len() / 2).copied().unwrap_or(f64::INFINITY)
    }

    fn add(&mut self, other: Summary) {
        self.served += other.served;
        self.errors += other.errors;
        self.closed += other.closed;
        self.unanswered += other.unanswered;
        self.latencies.extend(other.latencies);
    }
}

/// Probes that run until they are stopped.
pub struct Probes {
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Summary>>,
}

impl Probes {
    /// Starts probes that send the requests of `request` to the pooler at this address.
    pub fn start(
        address: SocketAddr,
        count: usize,
        request: impl Fn(u64) -> Vec<u8> + Send + Sync + 'static,
    ) -> Probes {
        Probes::start_with(address, count, false, request)
    }

    /// Starts probes that open a connection for each request. The time in which the system
    /// accepts a connection does not count: while its queue has no room, the connection is no pooler's.
    pub fn start_connecting(
        address: SocketAddr,
        count: usize,
        request: impl Fn(u64) -> Vec<u8> + Send + Sync + 'static,
    ) -> Probes {
        Probes::start_with(address, count, true, request)
    }

    fn start_with(
        address: SocketAddr,
        count: usize,
        reconnects: bool,
        request: impl Fn(u64) -> Vec<u8> + Send + Sync + 'static,
    ) -> Probes {
        let stopping = Arc::new(AtomicBool::new(false));
        let request: Request = Arc::new(request);
        let probe = |_| {
            let (request, stopping) = (request.clone(), stopping.clone());
            let probe = Probe { address, reconnects, request, stopping };
            std::thread::spawn(move || probe.run())
        };
        let threads = (0..count).map(probe).collect();
        Probes { stopping, threads }
    }

    /// Stops all probes and returns what they have seen.
    pub fn stop(mut self) -> Summary {
        self.stopping.store(true, Ordering::Relaxed);
        let mut summary = Summary::default();
        for thread in self.threads.drain(..) {
            summary.add(thread.join().unwrap_or_default());
        }
        summary.latencies.sort_by(f64::total_cmp);
        summary
    }
}

impl Drop for Probes {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// One probe.
struct Probe {
    address: SocketAddr,
    /// Whether each request has a connection of its own.
    reconnects: bool,
    request: Request,
    stopping: Arc<AtomicBool>,
}

impl Probe {
    fn run(&self) -> Summary {
        let mut summary = Summary::default();
        let mut connection = None;
        while !self.stopping.load(Ordering::Relaxed) {
            let bytes = (self.request)(NEXT_REQUEST.fetch_add(1, Ordering::Relaxed));
            if self.reconnects {
                connection = None;
            }
            self.measure(&bytes, &mut connection, &mut summary);
            std::thread::sleep(Duration::from_millis(REQUEST_INTERVAL_MS));
        }
        summary
    }

    /// Sends a request until it is answered, on a new connection where the former one has ended.
    fn measure(&self, request: &[u8], connection: &mut Option<TcpStream>, summary: &mut Summary) {
        let mut started_at = Instant::now();
        let limit = Duration::from_secs(ANSWER_TIMEOUT_S);
        while started_at.elapsed() < limit {
            if connection.is_none() {
                let connecting_since = Instant::now();
                let stream = TcpStream::connect(self.address).ok();
                if self.reconnects {
                    started_at += connecting_since.elapsed();
                }
                *connection = stream.and_then(|stream| start_session(stream, limit).ok());
            }
            let Some(stream) = connection else {
                if self.stopping.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(REQUEST_INTERVAL_MS));
                continue;
            };
            match stream.write_all(request).and_then(|()| read_answer(stream)) {
                Ok(served) => {
                    summary.latencies.push(started_at.elapsed().as_secs_f64());
                    *if served { &mut summary.served } else { &mut summary.errors } += 1;
                    return;
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
                Err(_) => {
                    summary.closed += 1;
                    *connection = None;
                }
            }
        }
        summary.unanswered += 1;
        *connection = None;
    }
}

/// Completes the startup on a new connection.
fn start_session(mut stream: TcpStream, limit: Duration) -> io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(&startup("app"))?;
    read_answer(&mut stream)?;
    Ok(stream)
}

/// Reads up to ReadyForQuery. Returns true if there was a row.
fn read_answer(stream: &mut TcpStream) -> io::Result<bool> {
    let mut served = false;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        stream.read_exact(&mut body)?;
        match head[0] {
            b'Z' => return Ok(served),
            b'D' => served = true,
            _ => {}
        }
    }
}
