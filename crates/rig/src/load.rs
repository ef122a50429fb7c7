//! Sessions that write through one instance and read through another at once, and again later.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use peers::{query, startup, Wire};

/// What came of it.
#[derive(Clone)]
pub struct LoadTotals {
    /// Reads right behind a write, and those of them that saw less than was answered.
    pub reads: u64,
    pub stale_reads: u64,
    /// Reads some seconds later, and those of them that saw less.
    pub delayed_reads: u64,
    pub stale_delayed_reads: u64,
    /// Writes answered, and requests refused, failed, or not answered in time.
    pub writes: u64,
    pub refused: u64,
    pub failed: u64,
    pub unanswered: u64,
    /// What the first failed request was told.
    pub first_failure: Option<String>,
    /// What writes took (microseconds).
    pub write_latency_us: Histogram<u64>,
}

impl Default for LoadTotals {
    fn default() -> LoadTotals {
        let took = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of a histogram");
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
            write_latency_us: took,
        }
    }
}

/// What a request came to.
enum Came {
    Value(u64),
    Refused,
    Failed(String),
    Silent,
}

impl LoadTotals {
    fn note_failure(&mut self, words: String) {
        self.failed += 1;
        self.first_failure.get_or_insert(words);
    }
}

/// Sessions at work, until it is dropped or ended.
pub struct Load {
    over: Arc<AtomicBool>,
    sums: Arc<Mutex<LoadTotals>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

static IDS: AtomicU64 = AtomicU64::new(1);

impl Load {
    /// So many sessions, each of which moves at random; `later` is the pause before the second read.
    pub fn new(places: Vec<SocketAddr>, sessions: usize, later: Duration, seed: u64) -> Load {
        let (over, sums) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(LoadTotals::default())));
        let threads: Vec<_> = (0..sessions)
            .map(|session| {
                let (places, over, sums) = (places.clone(), over.clone(), sums.clone());
                std::thread::spawn(move || {
                    let rng = fastrand::Rng::with_seed(seed.wrapping_mul(1_000) + session as u64);
                    Session { places, rng, name: format!("k{seed:x}-{session}"), written: 0 }
                        .run(&over, &sums, later);
                })
            })
            .collect();
        Load { over, threads, sums }
    }

    /// What has come of it so far.
    pub fn totals(&self) -> LoadTotals {
        self.sums.lock().expect("sums").clone()
    }

    /// Ends it.
    pub fn finish(mut self) -> LoadTotals {
        self.over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a session ends");
        }
        self.totals()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

struct Session {
    places: Vec<SocketAddr>,
    rng: fastrand::Rng,
    name: String,
    /// The number that was answered last.
    written: u64,
}

impl Session {
    fn run(&mut self, over: &AtomicBool, sums: &Mutex<LoadTotals>, later: Duration) {
        let mut number = 0;
        while !over.load(Ordering::Relaxed) {
            number += 1;
            let (a, b, c) = (
                self.rng.usize(..self.places.len()),
                self.rng.usize(..self.places.len()),
                self.rng.usize(..self.places.len()),
            );
            let begun = Instant::now();
            let came = self.write(a, number);
            let served = matches!(came, Came::Value(_));
            if let Ok(mut sums) = sums.lock() {
                match came {
                    Came::Value(_) => {
                        sums.writes += 1;
                        let _ = sums.write_latency_us.record(begun.elapsed().as_micros() as u64);
                    }
                    Came::Refused => sums.refused += 1,
                    Came::Failed(words) => sums.note_failure(words),
                    Came::Silent => sums.unanswered += 1,
                }
            }
            if served {
                self.written = number;
            }
            self.read(b, sums, false);
            if !later.is_zero() && self.rng.f64() < 0.1 {
                std::thread::sleep(later);
                self.read(c, sums, true);
            } else {
                std::thread::sleep(Duration::from_millis(self.rng.u64(..20)));
            }
        }
    }

    fn write(&mut self, at: usize, number: u64) -> Came {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        let sql = format!(
            "/* id={id:016x},c=order-write,t=acme,d=3000,k={id:016x},cluster=2 */ \
             INSERT INTO items (id, doc) VALUES ('{}', '\\x{number:016x}') RETURNING doc",
            self.name
        );
        self.ask(at, &sql)
    }

    fn read(&mut self, at: usize, sums: &Mutex<LoadTotals>, later: bool) {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        let sql = format!(
            "/* id={id:016x},c=own-orders,t=acme,d=1500,cluster=2 */ SELECT doc FROM items WHERE id = '{}'",
            self.name
        );
        let came = self.ask(at, &sql);
        let Ok(mut sums) = sums.lock() else { return };
        match came {
            Came::Value(value) => {
                let stale = u64::from(value < self.written);
                if later {
                    (sums.delayed_reads, sums.stale_delayed_reads) =
                        (sums.delayed_reads + 1, sums.stale_delayed_reads + stale);
                } else {
                    (sums.reads, sums.stale_reads) = (sums.reads + 1, sums.stale_reads + stale);
                }
            }
            Came::Refused => sums.refused += 1,
            Came::Failed(words) => sums.note_failure(words),
            Came::Silent => sums.unanswered += 1,
        }
    }

    /// Asks one instance, on a connection of its own.
    fn ask(&mut self, at: usize, sql: &str) -> Came {
        let Ok(stream) = TcpStream::connect_timeout(&self.places[at], Duration::from_millis(500)) else {
            return Came::Silent;
        };
        let mut wire = Wire::from_stream(stream);
        let _ = wire.0.set_read_timeout(Some(Duration::from_millis(3_500)));
        if !wire.try_send(&[startup(), query(sql)].concat()) {
            return Came::Silent;
        }
        wire.answer();
        let messages = wire.answer();
        let row = messages.iter().find(|(kind, _)| *kind == b'D');
        if let Some((_, body)) = row {
            let bytes = body.get(6..14).and_then(|bytes| bytes.try_into().ok());
            return bytes.map_or_else(
                || Came::Failed("a row without a value".into()),
                |bytes| Came::Value(u64::from_be_bytes(bytes)),
            );
        }
        match messages.iter().find(|(kind, _)| *kind == b'E') {
            Some((_, body)) if String::from_utf8_lossy(body).contains("C53300") => Came::Refused,
            Some((_, body)) if String::from_utf8_lossy(body).contains("C57P03") => Came::Refused,
            Some((_, body)) => {
                let words = String::from_utf8_lossy(body).replace('\0', " ");
                Came::Failed(format!("{sql}: {words}"))
            }
            None => Came::Silent,
        }
    }
}
