//! Measures clients that send several requests ahead of the answers, at the platform's front and as ordinary
//! clients: requests per second and the time of a batch. Run with `cargo bench -p dewferry --bench pipelining`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const RUN_TIME: Duration = Duration::from_secs(4);
/// Requests that a client sends ahead.
const BATCH_SIZES: [usize; 4] = [1, 8, 32, 64];
const CLIENTS: usize = 2;

/// Runs clients that send a batch, wait for all of its answers, and send the next.
fn run_clients(name: &str, address: SocketAddr, batch: usize, request: impl Fn(u64) -> Vec<u8> + Sync) {
    let started_at = Instant::now();
    let times = std::thread::scope(|scope| {
        let client = |client: usize| run_client(address, batch, client as u64, &request);
        let clients: Vec<_> = (0..CLIENTS).map(|n| scope.spawn(move || client(n))).collect();
        let mut all = Histogram::<u64>::new(3).unwrap();
        clients.into_iter().for_each(|client| all.add(client.join().unwrap()).unwrap());
        all
    });
    let rate = (times.len() * batch as u64) as f64 / started_at.elapsed().as_secs_f64();
    println!(
        "{name}, {batch:2} ahead {rate:9.0} per second  batch p50 {:6} us  p99 {:6} us",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99)
    );
}

fn run_client(
    address: SocketAddr,
    batch: usize,
    client: u64,
    request: &(impl Fn(u64) -> Vec<u8> + Sync),
) -> Histogram<u64> {
    let mut wire = Wire::from_stream(std::net::TcpStream::connect(address).unwrap());
    wire.send(&startup());
    wire.answer();
    let mut times = Histogram::<u64>::new(3).unwrap();
    let (mut next, started_at) = (client << 40, Instant::now());
    while started_at.elapsed() < RUN_TIME {
        let batch_started_at = Instant::now();
        let mut bytes = Vec::new();
        for _ in 0..batch {
            next += 1;
            bytes.extend(request(next));
        }
        wire.send(&bytes);
        (0..batch).for_each(|_| assert_ne!(wire.answer()[0].0, b'E'));
        times.record(batch_started_at.elapsed().as_micros() as u64).unwrap();
    }
    times
}

fn main() {
    let discovery = Discovery::listen();
    let members = [(); 3].map(|()| AnsweringMember::new(|_| answer_with_role(b"\x9f\x00\x03", "reader")));
    let entries: Vec<String> =
        members.iter().enumerate().map(|(n, member)| member.list_entry(&format!("s-{n}"), "here")).collect();
    let pooler = Pooler::start(PROGRAM, &list(41, true, &entries), &discovery, &[]);
    for batch in BATCH_SIZES {
        run_clients("platform's front", pooler.address, batch, |n| {
            query(&request_sql(&format!("{n:x}"), "reports"))
        });
    }
    let server = Postgres::new("s-0", false);
    let settings = "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\ngroup = 2\n";
    let operator = OperatorFolder::new("bench-pipelining", settings);
    let list = list(41, true, &[server.list_entry("SERVING")]);
    let pooler = Pooler::start_with_operator(PROGRAM, &list, &discovery, &operator);
    let line = pooler.wait_for_log("ordinary clients connect to ");
    let address = line.split("connect to ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    for batch in BATCH_SIZES {
        run_clients("ordinary clients", address, batch, |_| query("SELECT who"));
    }
}
