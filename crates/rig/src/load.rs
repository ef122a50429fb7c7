//! Sessions that write through one instance, read through another immediately, and sometimes again after a
//! delay.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use peers::{query, startup, Wire};

/// The results of a load.
#[derive(Clone)]
pub struct LoadTotals {
    /// Reads immediately after a write, and how many of them returned an older value than the last write
    /// answered.
    pub reads: u64,
    pub stale_reads: u64,
    /// Reads after a delay, and how many of them returned an older value.
    pub delayed_reads: u64,
    pub stale_delayed_reads: u64,
    /// Writes answered, and requests refused, failed, or not answered in time.
    pub writes: u64,
    pub refused: u64,
    pub failed: u64,
    pub unanswered: u64,
    /// The error of the first failed request.
    pub first_failure: Option<String>,
    /// Latency of the writes (microseconds).
    pub write_latency_us: Histogram<u64>,
}

impl Default for LoadTotals {
    fn default() -> LoadTotals {
        let write_latency_us = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of a histogram");
        LoadTotals {
            reads: 0,
            stale_reads: 0,
            delayed_reads: 0,
            stale_delayed_reads: 0,
            writes: 0,
            refused: 0,
            failed: 0,
            unanswered: 0,
            first_failure: None,
            write_latency_us,
        }
    }
}

/// The result of a request.
enum RequestResult {
    Value(u64),
    Refused,
    Failed(String),
    Unanswered,
}

impl LoadTotals {
    fn record_failure(&mut self, message: String) {
        self.failed += 1;
        self.first_failure.get_or_insert(message);
    }
}

/// Sessions that send requests until the load is finished or dropped.
pub struct Load {
    stopping: Arc<AtomicBool>,
    totals: Arc<Mutex<LoadTotals>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

static IDS: AtomicU64 = AtomicU64::new(1);

impl Load {
    /// Starts a number of sessions, each of which moves at random between the instances. `read_delay` is the
    /// delay of the second read; there is none where it is zero.
    pub fn new(addresses: Vec<SocketAddr>, sessions: usize, read_delay: Duration, seed: u64) -> Load {
        let (stopping, totals) =
            (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(LoadTotals::default())));
        let threads: Vec<_> = (0..sessions)
            .map(|session| {
                let (addresses, stopping, totals) = (addresses.clone(), stopping.clone(), totals.clone());
                std::thread::spawn(move || {
                    let rng = fastrand::Rng::with_seed(seed.wrapping_mul(1_000) + session as u64);
                    Session { addresses, rng, name: format!("k{seed:x}-{session}"), last_written: 0 }
                        .run(&stopping, &totals, read_delay);
                })
            })
            .collect();
        Load { stopping, threads, totals }
    }

    /// Returns the results so far.
    pub fn totals(&self) -> LoadTotals {
        self.totals.lock().expect("the totals").clone()
    }

    /// Stops the sessions and returns the results.
    pub fn finish(mut self) -> LoadTotals {
        self.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a session ends");
        }
        self.totals()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

struct Session {
    addresses: Vec<SocketAddr>,
    rng: fastrand::Rng,
    name: String,
    /// The number of the last write that was answered.
    last_written: u64,
}

impl Session {
    fn run(&mut self, stopping: &AtomicBool, totals: &Mutex<LoadTotals>, read_delay: Duration) {
        let mut number = 0;
        while !stopping.load(Ordering::Relaxed) {
            number += 1;
            let (a, b, c) = (
                self.rng.usize(..self.addresses.len()),
                self.rng.usize(..self.addresses.len()),
                self.rng.usize(..self.addresses.len()),
            );
            let started_at = Instant::now();
            let result = self.write(a, number);
            let served = matches!(result, RequestResult::Value(_));
            if let Ok(mut totals) = totals.lock() {
                match result {
                    RequestResult::Value(_) => {
                        totals.writes += 1;
                        let _ = totals.write_latency_us.record(started_at.elapsed().as_micros() as u64);
                    }
                    RequestResult::Refused => totals.refused += 1,
                    RequestResult::Failed(message) => totals.record_failure(message),
                    RequestResult::Unanswered => totals.unanswered += 1,
                }
            }
            if served {
                self.last_written = number;
            }
            self.read(b, totals, false);
            if !read_delay.is_zero() && self.rng.f64() < 0.1 {
                std::thread::sleep(read_delay);
                self.read(c, totals, true);
            } else {
                std::thread::sleep(Duration::from_millis(self.rng.u64(..20)));
            }
        }
    }

    fn write(&mut self, at: usize, number: u64) -> RequestResult {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        let sql = format!(
            "/* id={id:016x},c=order-write,t=acme,d=3000,k={id:016x},cluster=2 */ \
             INSERT INTO items (id, doc) VALUES ('{}', '\\x{number:016x}') RETURNING doc",
            self.name
        );
        self.send_request(at, &sql)
    }

    fn read(&mut self, at: usize, totals: &Mutex<LoadTotals>, delayed: bool) {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        let sql = format!(
            "/* id={id:016x},c=own-orders,t=acme,d=1500,cluster=2 */ SELECT doc FROM items WHERE id = '{}'",
            self.name
        );
        let result = self.send_request(at, &sql);
        let Ok(mut totals) = totals.lock() else { return };
        match result {
            RequestResult::Value(value) => {
                let stale = u64::from(value < self.last_written);
                if delayed {
                    (totals.delayed_reads, totals.stale_delayed_reads) =
                        (totals.delayed_reads + 1, totals.stale_delayed_reads + stale);
                } else {
                    (totals.reads, totals.stale_reads) = (totals.reads + 1, totals.stale_reads + stale);
                }
            }
            RequestResult::Refused => totals.refused += 1,
            RequestResult::Failed(message) => totals.record_failure(message),
            RequestResult::Unanswered => totals.unanswered += 1,
        }
    }

    /// Sends a request to one instance on a new connection.
    fn send_request(&mut self, at: usize, sql: &str) -> RequestResult {
        let Ok(stream) = TcpStream::connect_timeout(&self.addresses[at], Duration::from_millis(500)) else {
            return RequestResult::Unanswered;
        };
        let mut wire = Wire::from_stream(stream);
        let _ = wire.0.set_read_timeout(Some(Duration::from_millis(3_500)));
        if !wire.try_send(&[startup(), query(sql)].concat()) {
            return RequestResult::Unanswered;
        }
        wire.answer();
        let messages = wire.answer();
        let row = messages.iter().find(|(kind, _)| *kind == b'D');
        if let Some((_, body)) = row {
            let bytes = body.get(6..14).and_then(|bytes| bytes.try_into().ok());
            return bytes.map_or_else(
                || RequestResult::Failed("a row without a value".into()),
                |bytes| RequestResult::Value(u64::from_be_bytes(bytes)),
            );
        }
        match messages.iter().find(|(kind, _)| *kind == b'E') {
            Some((_, body)) if String::from_utf8_lossy(body).contains("C53300") => RequestResult::Refused,
            Some((_, body)) if String::from_utf8_lossy(body).contains("C57P03") => RequestResult::Refused,
            Some((_, body)) => {
                let message = String::from_utf8_lossy(body).replace('\0', " ");
                RequestResult::Failed(format!("{sql}: {message}"))
            }
            None => RequestResult::Unanswered,
        }
    }
}
