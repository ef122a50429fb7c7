//! What comparing reads with their bounds at the last byte costs: reads at replicas, load on the primary, latencies and
//! requests a second, calm and with a third of the connections 200 ms late while replicas lag. With `BASELINE=program`
//! another program takes turns with this one.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
/// Rounds in which the programs take turns, and how long each plays (seconds).
const ROUNDS: usize = 3;
const PLAY_TIME: Duration = Duration::from_secs(6);
const CLIENTS: usize = 8;
/// How long a member takes for a request.
const WORK: Duration = Duration::from_millis(2);
const LATE: Duration = Duration::from_millis(200);
const LATE_ONE_IN: usize = 3;
/// The bound of the class `browse` (seconds), and the cycle of the replicas' lag, which exceeds it for a part.
const BOUND: f64 = 1.0;
const LAG_CYCLE: f64 = 4.0;
const LAG_RISE: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    Calm,
    LateAndLagging,
}

struct Shared {
    scenario: Scenario,
    started_at: Instant,
    primary: bool,
    connections: AtomicUsize,
    queries: AtomicUsize,
}

impl Shared {
    /// Returns the replica's lag (seconds): it rises slowly, and falls at the end of each cycle.
    fn lag(&self) -> f64 {
        let in_cycle = self.started_at.elapsed().as_secs_f64() % LAG_CYCLE;
        match self.scenario {
            Scenario::LateAndLagging if !self.primary => 0.01 + LAG_RISE * in_cycle,
            _ => 0.01,
        }
    }

    fn answer(&self, sql: &str) -> Vec<u8> {
        let ready = frame(b'Z', b"I");
        if sql.contains("c=order-write") && !self.primary {
            return [frame(b'E', b"SERROR\0C25006\0\0"), ready].concat();
        }
        let parameter = |name: &str, value: &str| frame(b'S', format!("{name}\0{value}\0").as_bytes());
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64();
        let position = ((now - if self.primary { 0.0 } else { self.lag() }) * 1000.0) as u64;
        let role = if self.primary { "writer" } else { "reader" };
        let value = if self.primary { "primary" } else { "replica" };
        let position = parameter("commit_clock", &position.to_string());
        [row(value.as_bytes()), parameter("server_role", role), position, ready].concat()
    }
}

/// Starts a member. Returns its entry in the list, and what is known of it.
fn start_member(name: &str, zone: &str, primary: bool, scenario: Scenario) -> (String, Arc<Shared>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = list_entry(listener.local_addr().unwrap(), name, zone, "SERVING");
    let (connections, queries) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let shared = Arc::new(Shared { scenario, started_at: Instant::now(), primary, connections, queries });
    let serving = shared.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let shared = serving.clone();
            std::thread::spawn(move || {
                let mut wire = Wire::from_stream(stream);
                let number = shared.connections.fetch_add(1, Ordering::Relaxed);
                let troubled = shared.scenario == Scenario::LateAndLagging;
                if troubled && number.is_multiple_of(LATE_ONE_IN) {
                    std::thread::sleep(LATE);
                }
                complete_startup(&mut wire);
                while let Some((b'Q', body)) = wire.message() {
                    shared.queries.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(WORK);
                    let sql = String::from_utf8_lossy(&body).into_owned();
                    if !wire.try_send(&shared.answer(&sql)) || troubled {
                        return;
                    }
                }
            });
        }
    });
    (entry, shared)
}

/// What one play has measured.
#[derive(Default)]
struct Measured {
    latencies: Vec<f64>,
    at_replicas: usize,
    unserved: usize,
    at_primary: usize,
}

impl Measured {
    fn describe(&mut self) -> String {
        self.latencies.sort_by(f64::total_cmp);
        let percentile = |share: f64| {
            let index = (self.latencies.len() as f64 * share) as usize;
            self.latencies.get(index).copied().unwrap_or_default() * 1000.0
        };
        let served = self.latencies.len() as f64;
        let seconds = PLAY_TIME.as_secs_f64();
        format!(
            "{:.1}% at replicas, primary {:.0}/s, p50 {:.2} ms, p99 {:.1} ms, {:.0} reads/s, {} not served",
            100.0 * self.at_replicas as f64 / served,
            self.at_primary as f64 / seconds,
            percentile(0.5),
            percentile(0.99),
            served / seconds,
            self.unserved
        )
    }
}

fn play(program: &str, scenario: Scenario) -> (Measured, String) {
    let members = [
        start_member("s-0", "here", true, scenario),
        start_member("s-1", "here", false, scenario),
        start_member("s-2", "here", false, scenario),
        start_member("s-3", "there", false, scenario),
    ];
    let discovery = Discovery::listen();
    let entries = members.each_ref().map(|(entry, _)| entry.clone());
    let bound = format!("\"stalenessBound\":[{BOUND},0,0,0]");
    let edits = [
        (r#""stalenessBound":[3,0,0,0]"#, &*bound),
        (r#""connectTimeout":1"#, r#""connectTimeout":0.25"#),
        (r#""probes":false"#, r#""probes":true"#),
    ];
    let pooler = Pooler::start(program, &list(41, true, &entries), &discovery, &edits);
    let (stopping, measured) = (AtomicBool::new(false), Mutex::new(Measured::default()));
    let mut first = client(&pooler);
    first.send(&query(&request_sql("w", "order-write")));
    first.answer();
    let before = members[0].1.queries.load(Ordering::Relaxed);
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (pooler, stopping, measured) = (&pooler, &stopping, &measured);
            scope.spawn(move || {
                let (mut wire, mut mine) = (client(pooler), Measured::default());
                for request in 0.. {
                    if stopping.load(Ordering::Relaxed) {
                        break;
                    }
                    let began = Instant::now();
                    // Some reads that any member may answer keep the positions known.
                    let class = if request % 8 == 0 { "reports" } else { "browse" };
                    wire.send(&query(&request_sql(&format!("{number:x}{request:06x}"), class)));
                    match wire.answer().iter().find(|(kind, _)| *kind == b'D') {
                        Some((_, body)) => {
                            mine.latencies.push(began.elapsed().as_secs_f64());
                            mine.at_replicas += usize::from(body.ends_with(b"replica"));
                        }
                        None => mine.unserved += 1,
                    }
                }
                let mut all = measured.lock().unwrap();
                all.latencies.append(&mut mine.latencies);
                (all.at_replicas, all.unserved) =
                    (all.at_replicas + mine.at_replicas, all.unserved + mine.unserved);
            });
        }
        std::thread::sleep(PLAY_TIME);
        stopping.store(true, Ordering::Relaxed);
    });
    let mut measured = measured.into_inner().unwrap();
    measured.at_primary = members[0].1.queries.load(Ordering::Relaxed) - before;
    (measured, pooler.counters())
}

fn main() {
    let baseline = std::env::var("BASELINE").ok();
    let programs: Vec<(&str, String)> =
        baseline.into_iter().map(|program| ("baseline", program)).chain([("this", PROGRAM.into())]).collect();
    for scenario in [Scenario::Calm, Scenario::LateAndLagging] {
        for round in 0..ROUNDS {
            for (name, program) in &programs {
                let (mut measured, counters) = play(program, scenario);
                let counts: Vec<&str> = counters
                    .split(' ')
                    .filter(|c| c.starts_with("withdrawn") || c.starts_with("too_old"))
                    .collect();
                println!("{scenario:?} {round} {name}: {}; {}", measured.describe(), counts.join(" "));
            }
        }
    }
}
