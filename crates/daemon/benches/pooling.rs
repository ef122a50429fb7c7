//! Ordinary clients directly at a server, and through the pooler by statement and by transaction: requests a second,
//! times, server connections; and what a resting session takes. `cargo bench -p dewferry --bench pooling`.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use peers::*;
use postgres::{Client, NoTls};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const CLIENTS: usize = 16;
const PLAYED: Duration = Duration::from_secs(4);
const RESTING: usize = 300;

fn connect(address: SocketAddr) -> Client {
    let text = format!("host=127.0.0.1 port={} user=app dbname=shop", address.port());
    Client::connect(&text, NoTls).unwrap()
}

/// Plays clients without pause; what they ask is prepared once.
fn play(name: &str, address: SocketAddr, server: &Postgres, transactions: bool) {
    let over = AtomicBool::new(false);
    let begun = Instant::now();
    let times = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let over = &over;
                scope.spawn(move || {
                    let mut client = connect(address);
                    let echo = client.prepare("SELECT $1").unwrap();
                    let mut times = Histogram::<u64>::new(3).unwrap();
                    while !over.load(Ordering::Relaxed) {
                        let begun = Instant::now();
                        if transactions {
                            let mut transaction = client.transaction().unwrap();
                            transaction.query_one(&echo, &[&"x"]).unwrap();
                            transaction.execute("INSERT INTO items VALUES (1)", &[]).unwrap();
                            transaction.commit().unwrap();
                        } else {
                            client.query_one(&echo, &[&"x"]).unwrap();
                        }
                        times.record(begun.elapsed().as_micros() as u64).unwrap();
                    }
                    times
                })
            })
            .collect();
        std::thread::sleep(PLAYED);
        over.store(true, Ordering::Relaxed);
        let mut all = Histogram::<u64>::new(3).unwrap();
        clients.into_iter().for_each(|client| all.add(client.join().unwrap()).unwrap());
        all
    });
    let rate = times.len() as f64 / begun.elapsed().as_secs_f64();
    println!(
        "{name:42} {rate:8.0} a second  p50 {:6} us  p99 {:6} us  server connections {}",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        server.connections().1
    );
}

/// A pooler before a server of its own.
fn pooled(mode: &str) -> (Postgres, Discovery, Operator, Pooler, SocketAddr) {
    let server = Postgres::new("s-0", false);
    let discovery = Discovery::listen();
    let settings = format!(
        "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\ngroup = 2\nmode = \"{mode}\"\nclients = 400\nservers_each = 4\n"
    );
    let operator = Operator::new(&format!("bench-{mode}"), &settings);
    let pooler = Pooler::operated(PROGRAM, &list(41, true, &[server.line("SERVING")]), &discovery, &operator);
    let line = pooler.logged("ordinary clients connect to ");
    let address = line.split("connect to ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    (server, discovery, operator, pooler, address)
}

/// Resident memory of a process (KiB).
fn resident(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn main() {
    for transactions in [false, true] {
        let what = if transactions { "transactions of two" } else { "prepared reads" };
        let server = Postgres::new("s-0", false);
        play(&format!("{what}, direct"), server.address, &server, transactions);
        for mode in ["statement", "transaction"] {
            if transactions && mode == "statement" {
                continue;
            }
            let (server, _discovery, _operator, _pooler, address) = pooled(mode);
            play(&format!("{what}, pooled by {mode}"), address, &server, transactions);
        }
    }
    let (_server, _discovery, _operator, pooler, address) = pooled("transaction");
    let before = resident(pooler.pid());
    let mut resting: Vec<Client> = (0..RESTING).map(|_| connect(address)).collect();
    resting.iter_mut().for_each(|client| drop(client.prepare("SELECT $1").unwrap()));
    let more = resident(pooler.pid()) - before;
    println!(
        "a resting session with a prepared statement: {:.1} KiB ({RESTING} of them)",
        more as f64 / RESTING as f64
    );
}
