//! Cost of the directory for a pooler and for a control instance, by the number of poolers, on a virtual
//! network; and how long a session that arrives waits. Prints tables; `--help` lists the options.

#[path = "../tests/network/mod.rs"]
mod network;

use argh::FromArgs;
use directory::timing::bounds;
use directory::{Client, Placement, PrimaryReason, ProcessId, ReadRequirement, Replica, Timing};
use hdrhistogram::Histogram;
use network::{control_instances, keys, session_key, Cost, NetworkConfig, World, WorldConfig};

/// Cost of the session directory by the number of poolers, on a virtual network.
#[derive(FromArgs)]
struct Options {
    /// numbers of poolers, with commas (default 50,100,200,400,800,1300)
    #[argh(option, default = "String::from(\"50,100,200,400,800,1300\")")]
    poolers: String,
    /// control instances, 3 to 64 (default 13)
    #[argh(option, default = "13")]
    machines: usize,
    /// members of a group: 1, 3 or 5 (default 3)
    #[argh(option, default = "3")]
    group: usize,
    /// sessions that arrive at each pooler per second (default 7.3: 4,385 connections that live ten minutes)
    #[argh(option, default = "7.3")]
    arrivals: f64,
    /// share of the arrivals whose session another pooler owns (default 0.5)
    #[argh(option, default = "0.5")]
    moved: f64,
    /// virtual seconds to measure (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// longest one-way delay of a datagram, in microseconds; the shortest is a fifth of it (default 1000)
    #[argh(option, default = "1000")]
    way: u64,
    /// share of datagrams that are lost (default 0)
    #[argh(option, default = "0.0")]
    loss: f64,
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// measure the memory of the sessions of a pooler and of the records of a control instance instead
    #[argh(switch)]
    memory: bool,
}

/// Sessions of a pooler at the target size, and records of a control instance: 5.7 million in groups of three
/// on 13 control instances.
const POOLER_SESSIONS: usize = 4_385;
const CONTROL_RECORDS: usize = 1_315_000;

struct CostRow {
    poolers: usize,
    pooler: Cost,
    control: Cost,
    seconds: f64,
    wait_times: Histogram<u64>,
}

impl CostRow {
    fn bytes(&self) -> f64 {
        (self.pooler.sent_bytes + self.pooler.received_bytes) as f64 / self.seconds
    }

    fn core(&self) -> f64 {
        self.pooler.busy.as_secs_f64() / self.seconds
    }
}

fn main() {
    let options: Options = argh::from_env();
    if options.memory {
        return memory();
    }
    let sizes: Vec<usize> = options.poolers.split(',').filter_map(|size| size.trim().parse().ok()).collect();
    println!(
        "{} control instances, groups of {}, {} arrivals per second and pooler, {:.0}% of them owned by another pooler",
        options.machines,
        options.group,
        options.arrivals,
        100.0 * options.moved
    );
    println!("bytes with IP and UDP headers; processor of this host\n");
    println!("| poolers | a pooler: sent B/s | received B/s | messages/s | core | a control instance: sent B/s | received B/s | messages/s | core | arrival p50 ms | p99 ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let rows: Vec<CostRow> = sizes.iter().map(|size| measure_cost(&options, *size)).collect();
    fit(&rows);
}

/// Mean cost of the processes in some slots.
fn mean(world: &World, slots: std::ops::Range<usize>) -> Cost {
    let count = slots.len() as u64;
    let mut sum = Cost::default();
    for slot in slots {
        let cost = world.cost(slot);
        sum.sent += cost.sent;
        sum.sent_bytes += cost.sent_bytes;
        sum.received += cost.received;
        sum.received_bytes += cost.received_bytes;
        sum.busy += cost.busy;
    }
    Cost {
        sent: sum.sent / count,
        sent_bytes: sum.sent_bytes / count,
        received: sum.received / count,
        received_bytes: sum.received_bytes / count,
        busy: sum.busy / count as u32,
    }
}

fn measure_cost(options: &Options, poolers: usize) -> CostRow {
    let config = WorldConfig {
        poolers,
        control_instances: options.machines,
        group_size: options.group,
        ..WorldConfig::default()
    };
    let latency = (options.way / 5, options.way);
    let network_config = NetworkConfig { latency, loss: options.loss, ..NetworkConfig::default() };
    let mut world = World::new(options.seed, config, network_config);
    world.start_all();
    world.measure = true;
    let mut load = Load::new(options, &world);
    // Warm-up, so that there are sessions that can move.
    load.run(&mut world, 2_000_000);
    world.reset_costs();
    load.wait_times.reset();
    load.run(&mut world, options.seconds * 1_000_000);
    let first = world.pooler(0);
    let row = CostRow {
        poolers,
        pooler: mean(&world, first..first + poolers),
        control: mean(&world, 0..options.machines),
        seconds: options.seconds as f64,
        wait_times: load.wait_times,
    };
    print(&row);
    row
}

/// The load: sessions that arrive at poolers.
struct Load {
    rng: fastrand::Rng,
    arrival_interval: f64,
    moved: f64,
    next: f64,
    sessions: usize,
    /// Sessions that have arrived and their poolers; some of them move.
    arrived: Vec<(usize, usize)>,
    /// Arrivals whose session is not owned yet: session, pooler, time of arrival.
    waiting: Vec<(usize, usize, u64)>,
    wait_times: Histogram<u64>,
}

/// Time between two checks of waiting arrivals (µs).
const CHECK_INTERVAL_US: u64 = 100;

impl Load {
    fn new(options: &Options, world: &World) -> Load {
        let arrival_interval = 1e6 / (options.arrivals * world.poolers() as f64);
        Load {
            rng: fastrand::Rng::with_seed(options.seed),
            arrival_interval,
            moved: options.moved,
            next: world.now as f64,
            sessions: 0,
            arrived: Vec::new(),
            waiting: Vec::new(),
            wait_times: Histogram::new(3).expect("a histogram"),
        }
    }

    fn run(&mut self, world: &mut World, time: u64) {
        let until = world.now + time;
        while world.now < until {
            while self.next <= world.now as f64 {
                self.next += self.arrival_interval;
                self.arrive(world);
            }
            world.run(CHECK_INTERVAL_US);
            let waiting = std::mem::take(&mut self.waiting);
            for (session, pooler, since) in waiting {
                if self.must_wait(world, session, pooler) {
                    self.waiting.push((session, pooler, since));
                } else {
                    self.wait_times.record(world.now - since).expect("a histogram that grows");
                }
            }
        }
    }

    fn arrive(&mut self, world: &mut World) {
        let pooler = self.rng.usize(..world.poolers());
        let moves = !self.arrived.is_empty() && self.rng.f64() < self.moved;
        let session = if moves {
            let index = self.rng.usize(..self.arrived.len());
            self.arrived[index].1 = pooler;
            self.arrived[index].0
        } else {
            self.sessions += 1;
            self.arrived.push((self.sessions, pooler));
            self.sessions
        };
        self.must_wait(world, session, pooler);
        self.waiting.push((session, pooler, world.now));
    }

    /// Queries what a read of the session requires; returns whether it has to wait.
    fn must_wait(&mut self, world: &mut World, session: usize, pooler: usize) -> bool {
        let slot = world.pooler(pooler);
        let requirement =
            world.with_client(slot, |client, now| client.read_requirement(now, session_key(session)));
        matches!(
            requirement,
            Some(ReadRequirement::Primary(
                PrimaryReason::Claiming | PrimaryReason::FormerOwner | PrimaryReason::NoQuorum
            ))
        )
    }
}

fn print(row: &CostRow) {
    let per_second = |count: u64| count as f64 / row.seconds;
    println!(
        "| {} | {:.0} | {:.0} | {:.1} | {:.3}% | {:.0} | {:.0} | {:.0} | {:.2}% | {:.2} | {:.2} |",
        row.poolers,
        per_second(row.pooler.sent_bytes),
        per_second(row.pooler.received_bytes),
        per_second(row.pooler.sent + row.pooler.received),
        100.0 * row.core(),
        per_second(row.control.sent_bytes),
        per_second(row.control.received_bytes),
        per_second(row.control.sent + row.control.received),
        100.0 * row.control.busy.as_secs_f64() / row.seconds,
        row.wait_times.value_at_quantile(0.5) as f64 / 1e3,
        row.wait_times.value_at_quantile(0.99) as f64 / 1e3,
    );
}

/// Prints the least-squares line through the cost of a pooler, and its largest deviation.
fn fit(rows: &[CostRow]) {
    if rows.len() < 3 {
        return;
    }
    for (name, unit, cost) in [
        (
            "bytes per second of a pooler, sent and received",
            "B/s",
            rows.iter().map(CostRow::bytes).collect::<Vec<f64>>(),
        ),
        ("core of a pooler", "%", rows.iter().map(|row| 100.0 * row.core()).collect()),
    ] {
        let sizes: Vec<f64> = rows.iter().map(|row| row.poolers as f64).collect();
        let count = sizes.len() as f64;
        let (mean_size, mean_cost) = (sizes.iter().sum::<f64>() / count, cost.iter().sum::<f64>() / count);
        let variance: f64 = sizes.iter().map(|size| (size - mean_size).powi(2)).sum();
        let covariance: f64 =
            sizes.iter().zip(&cost).map(|(size, cost)| (size - mean_size) * (cost - mean_cost)).sum();
        let slope = covariance / variance;
        let intercept = mean_cost - slope * mean_size;
        let deviation = sizes.iter().zip(&cost).map(|(size, cost)| (intercept + slope * size - cost).abs());
        let deviation = deviation.fold(0.0, f64::max);
        println!("\n{name}: {intercept:.4} + {slope:.7} x poolers {unit}; largest deviation {deviation:.4}");
    }
}

/// Resident memory (bytes).
fn resident() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").ok();
    let pages = pages.and_then(|text| text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()));
    pages.unwrap_or(0.0) * 4_096.0
}

/// Measures the resident memory of sessions at many poolers and of the records of one control instance.
fn memory() {
    const POOLERS: usize = 100;
    let timing = Timing::default();
    let placement = Placement::new(control_instances(13), 3, &timing).expect("a placement");
    // Neither is dropped before the end: freed memory would be used again and hide what the other allocates.
    let control_id = ProcessId::new("c0", 1);
    let mut control = Replica::new(control_id, keys(), timing, placement.clone(), 0).expect("a member");
    let me = ProcessId::new("p", 1);
    let mut channel = directory::channel::Channel::new(me, placement.digest(), keys());
    let from = ([127, 0, 0, 1], 7_000).into();
    let now = timing.startup_silence();
    let heartbeat =
        directory::message::Body::Heartbeat { address: from, term: 0, revoked_up_to: 0, notices: vec![] };
    let (_, bytes) = channel.seal(0, &heartbeat);
    control.receive(now, from, &bytes).expect("a lease");
    let before = resident();
    for session in 0.. {
        if control.records() >= CONTROL_RECORDS {
            break;
        }
        let session = session_key(session);
        let own = placement.instance_index(control_id).expect("a control instance");
        if !placement.members(placement.group(session)).contains(&own) {
            continue;
        }
        let claim = directory::message::Body::Claim { session, counter: 1 };
        control.receive(now, from, &channel.seal(0, &claim).1).expect("a claim");
        control.take_datagrams();
    }
    let total = resident() - before;
    println!(
        "a control instance of {CONTROL_RECORDS} records: {:.0} MB, {:.0} bytes each, bound {} records",
        total / 1e6,
        total / CONTROL_RECORDS as f64,
        bounds::RECORDS
    );

    let before = resident();
    let mut poolers: Vec<Client> = (0..POOLERS)
        .map(|n| {
            let me = ProcessId::new(&format!("p{n}"), 1);
            let address = ([127, 0, 0, 1], 7_000).into();
            Client::new(me, address, keys(), timing, placement.clone(), 1_000_000)
        })
        .collect();
    for (n, pooler) in poolers.iter_mut().enumerate() {
        for session in 0..POOLER_SESSIONS {
            pooler.read_requirement(1_000_000, session_key(n * POOLER_SESSIONS + session));
        }
    }
    let per_pooler = (resident() - before) / POOLERS as f64;
    println!(
        "a pooler of {POOLER_SESSIONS} sessions: {:.2} MB, bound {} sessions",
        per_pooler / 1e6,
        bounds::SESSIONS
    );
}
