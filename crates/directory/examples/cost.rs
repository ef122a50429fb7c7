//! What the directory costs a pooler and a control instance, by the number of poolers, on a virtual network; and what an
//! arrival of a session waits. Prints tables; `--help` tells the options.

#[path = "../tests/network/mod.rs"]
mod network;

use argh::FromArgs;
use directory::timing::bounds;
use directory::{Client, Placement, PrimaryReason, ProcessId, ReadRequirement, Replica, Timing};
use hdrhistogram::Histogram;
use network::{keys, machines, session_key, Cost, Net, Shape, World};

/// What the session directory costs by the number of poolers, on a virtual network.
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
    /// sessions that arrive at each pooler a second (default 7.3: 4,385 connections that live ten minutes)
    #[argh(option, default = "7.3")]
    arrivals: f64,
    /// share of the arrivals that another pooler owns (default 0.5)
    #[argh(option, default = "0.5")]
    moved: f64,
    /// virtual seconds that are measured (default 5)
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
    /// measure the memory of that many sessions at a pooler and records at a control instance instead
    #[argh(switch)]
    memory: bool,
}

/// Sessions of a pooler at the target, and records of a control instance: 5.7 million by groups of three on 13 machines.
const POOLER_SESSIONS: usize = 4_385;
const CONTROL_RECORDS: usize = 1_315_000;

struct Row {
    poolers: usize,
    pooler: Cost,
    control: Cost,
    seconds: f64,
    waits: Histogram<u64>,
}

impl Row {
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
        "{} control instances, groups of {}, {} arrivals a second a pooler, {:.0}% of them owned elsewhere",
        options.machines,
        options.group,
        options.arrivals,
        100.0 * options.moved
    );
    println!("bytes with IP and UDP headers; processor of this machine\n");
    println!("| poolers | a pooler: sent B/s | received B/s | messages/s | core | a control instance: sent B/s | received B/s | messages/s | core | arrival p50 ms | p99 ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let rows: Vec<Row> = sizes.iter().map(|size| measured(&options, *size)).collect();
    fit(&rows);
}

/// Mean of some seats.
fn mean(world: &World, seats: std::ops::Range<usize>) -> Cost {
    let count = seats.len() as u64;
    let mut sum = Cost::default();
    for seat in seats {
        let cost = world.cost(seat);
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

fn measured(options: &Options, poolers: usize) -> Row {
    let shape = Shape { poolers, machines: options.machines, group_size: options.group, ..Shape::default() };
    let way = (options.way / 5, options.way);
    let net = Net { way, loss: options.loss, ..Net::default() };
    let mut world = World::new(options.seed, shape, net);
    world.start_all();
    world.measure = true;
    let mut load = Load::new(options, &world);
    // Until as many sessions are known as move.
    load.run(&mut world, 2_000_000);
    world.reset_costs();
    load.waits.reset();
    load.run(&mut world, options.seconds * 1_000_000);
    let first = world.pooler(0);
    let row = Row {
        poolers,
        pooler: mean(&world, first..first + poolers),
        control: mean(&world, 0..options.machines),
        seconds: options.seconds as f64,
        waits: load.waits,
    };
    print(&row);
    row
}

/// Sessions that arrive.
struct Load {
    rng: fastrand::Rng,
    between: f64,
    moved: f64,
    next: f64,
    sessions: usize,
    /// Sessions that have arrived and their poolers, of which some move.
    known: Vec<(usize, usize)>,
    /// Arrivals that are not owned yet: session, pooler, since.
    waiting: Vec<(usize, usize, u64)>,
    waits: Histogram<u64>,
}

/// Time between two looks at what waits (µs).
const TURN: u64 = 100;

impl Load {
    fn new(options: &Options, world: &World) -> Load {
        let between = 1e6 / (options.arrivals * world.poolers() as f64);
        Load {
            rng: fastrand::Rng::with_seed(options.seed),
            between,
            moved: options.moved,
            next: world.now as f64,
            sessions: 0,
            known: Vec::new(),
            waiting: Vec::new(),
            waits: Histogram::new(3).expect("a histogram"),
        }
    }

    fn run(&mut self, world: &mut World, time: u64) {
        let until = world.now + time;
        while world.now < until {
            while self.next <= world.now as f64 {
                self.next += self.between;
                self.arrive(world);
            }
            world.run(TURN);
            let waiting = std::mem::take(&mut self.waiting);
            for (session, pooler, since) in waiting {
                if self.need(world, session, pooler) {
                    self.waiting.push((session, pooler, since));
                } else {
                    self.waits.record(world.now - since).expect("a histogram that grows");
                }
            }
        }
    }

    fn arrive(&mut self, world: &mut World) {
        let pooler = self.rng.usize(..world.poolers());
        let moves = !self.known.is_empty() && self.rng.f64() < self.moved;
        let session = if moves {
            let known = self.rng.usize(..self.known.len());
            self.known[known].1 = pooler;
            self.known[known].0
        } else {
            self.sessions += 1;
            self.known.push((self.sessions, pooler));
            self.sessions
        };
        self.need(world, session, pooler);
        self.waiting.push((session, pooler, world.now));
    }

    /// Asks what a read of the session needs; whether it has to wait.
    fn need(&mut self, world: &mut World, session: usize, pooler: usize) -> bool {
        let seat = world.pooler(pooler);
        let need = world.with(seat, |client, now| client.read_requirement(now, session_key(session)));
        matches!(
            need,
            Some(ReadRequirement::Primary(
                PrimaryReason::Claiming | PrimaryReason::FormerOwner | PrimaryReason::NoQuorum
            ))
        )
    }
}

fn print(row: &Row) {
    let second = |count: u64| count as f64 / row.seconds;
    println!(
        "| {} | {:.0} | {:.0} | {:.1} | {:.3}% | {:.0} | {:.0} | {:.0} | {:.2}% | {:.2} | {:.2} |",
        row.poolers,
        second(row.pooler.sent_bytes),
        second(row.pooler.received_bytes),
        second(row.pooler.sent + row.pooler.received),
        100.0 * row.core(),
        second(row.control.sent_bytes),
        second(row.control.received_bytes),
        second(row.control.sent + row.control.received),
        100.0 * row.control.busy.as_secs_f64() / row.seconds,
        row.waits.value_at_quantile(0.5) as f64 / 1e3,
        row.waits.value_at_quantile(0.99) as f64 / 1e3,
    );
}

/// The straight line through what a pooler costs, by the least squares, and how far it misses.
fn fit(rows: &[Row]) {
    if rows.len() < 3 {
        return;
    }
    for (what, unit, cost) in [
        ("bytes a second of a pooler, both ways", "B/s", rows.iter().map(Row::bytes).collect::<Vec<f64>>()),
        ("core of a pooler", "%", rows.iter().map(|row| 100.0 * row.core()).collect()),
    ] {
        let sizes: Vec<f64> = rows.iter().map(|row| row.poolers as f64).collect();
        let count = sizes.len() as f64;
        let (mean_size, mean_cost) = (sizes.iter().sum::<f64>() / count, cost.iter().sum::<f64>() / count);
        let spread: f64 = sizes.iter().map(|size| (size - mean_size).powi(2)).sum();
        let together: f64 =
            sizes.iter().zip(&cost).map(|(size, cost)| (size - mean_size) * (cost - mean_cost)).sum();
        let slope = together / spread;
        let start = mean_cost - slope * mean_size;
        let miss = sizes.iter().zip(&cost).map(|(size, cost)| (start + slope * size - cost).abs());
        let miss = miss.fold(0.0, f64::max);
        println!("\n{what}: {start:.4} + {slope:.7} x poolers {unit}; misses by {miss:.4} at the most");
    }
}

/// Resident memory (bytes).
fn resident() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").ok();
    let pages = pages.and_then(|text| text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()));
    pages.unwrap_or(0.0) * 4_096.0
}

/// Sessions of many poolers and records of one control instance, by resident memory.
fn memory() {
    const POOLERS: usize = 100;
    let terms = Timing::default();
    let placement = Placement::new(machines(13), 3, &terms).expect("a placement");
    // Both are kept to the end: what one lets go would be used again, and hide what the other takes.
    let control_id = ProcessId::new("c0", 1);
    let mut control = Replica::new(control_id, keys(), terms, placement.clone(), 0).expect("a member");
    let me = ProcessId::new("p", 1);
    let mut channel = directory::channel::Channel::new(me, placement.digest(), keys());
    let from = ([127, 0, 0, 1], 7_000).into();
    let now = terms.startup_silence();
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
        let own = placement.instance_index(control_id).expect("a machine");
        if !placement.members(placement.group(session)).contains(&own) {
            continue;
        }
        let claim = directory::message::Body::Claim { session, counter: 1 };
        control.receive(now, from, &channel.seal(0, &claim).1).expect("a claim");
        control.take_datagrams();
    }
    let all = resident() - before;
    println!(
        "a control instance of {CONTROL_RECORDS} records: {:.0} MB, {:.0} bytes each, bound {} records",
        all / 1e6,
        all / CONTROL_RECORDS as f64,
        bounds::RECORDS
    );

    let before = resident();
    let mut poolers: Vec<Client> = (0..POOLERS)
        .map(|n| {
            let me = ProcessId::new(&format!("p{n}"), 1);
            let address = ([127, 0, 0, 1], 7_000).into();
            Client::new(me, address, keys(), terms, placement.clone(), 1_000_000)
        })
        .collect();
    for (n, pooler) in poolers.iter_mut().enumerate() {
        for session in 0..POOLER_SESSIONS {
            pooler.read_requirement(1_000_000, session_key(n * POOLER_SESSIONS + session));
        }
    }
    let each = (resident() - before) / POOLERS as f64;
    println!(
        "a pooler of {POOLER_SESSIONS} sessions: {:.2} MB, bound {} sessions",
        each / 1e6,
        bounds::SESSIONS
    );
}
