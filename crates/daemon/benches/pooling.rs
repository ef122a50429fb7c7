//! Measures PostgreSQL clients directly at a server, and through the pooler in statement and transaction
//! mode: requests per second, latencies and server connections; and the memory of an idle session. Run with
//! `cargo bench -p dewferry --bench pooling`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use peers::*;
use postgres::{Client, NoTls};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const CLIENTS: usize = 16;
const RUN_TIME: Duration = Duration::from_secs(4);
/// The number of idle sessions.
const IDLE_SESSIONS: usize = 10_000;

fn connect(address: SocketAddr) -> Client {
    let text = format!("host=127.0.0.1 port={} user=app dbname=shop", address.port());
    Client::connect(&text, NoTls).unwrap()
}

/// Runs clients without a pause, each with a statement prepared once.
fn run_clients(name: &str, address: SocketAddr, server: &Postgres, transactions: bool) {
    let stop = AtomicBool::new(false);
    let started = Instant::now();
    let times = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let stop = &stop;
                scope.spawn(move || {
                    let mut client = connect(address);
                    let echo = client.prepare("SELECT $1").unwrap();
                    let mut times = Histogram::<u64>::new(3).unwrap();
                    while !stop.load(Ordering::Relaxed) {
                        let started = Instant::now();
                        if transactions {
                            let mut transaction = client.transaction().unwrap();
                            transaction.query_one(&echo, &[&"x"]).unwrap();
                            transaction.execute("INSERT INTO items VALUES (1)", &[]).unwrap();
                            transaction.commit().unwrap();
                        } else {
                            client.query_one(&echo, &[&"x"]).unwrap();
                        }
                        times.record(started.elapsed().as_micros() as u64).unwrap();
                    }
                    times
                })
            })
            .collect();
        std::thread::sleep(RUN_TIME);
        stop.store(true, Ordering::Relaxed);
        let mut all = Histogram::<u64>::new(3).unwrap();
        clients.into_iter().for_each(|client| all.add(client.join().unwrap()).unwrap());
        all
    });
    let rate = times.len() as f64 / started.elapsed().as_secs_f64();
    println!(
        "{name:42} {rate:8.0} per second  p50 {:6} us  p99 {:6} us  server connections {}",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        server.connections().1
    );
}

/// Starts a pooler with a server of its own.
fn start_pooler(mode: &str, clients: usize) -> (Postgres, Discovery, OperatorFolder, Pooler, SocketAddr) {
    let server = Postgres::new("s-0", false);
    let discovery = Discovery::listen();
    let settings = format!(
        "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\ngroup = 2\nmode = \"{mode}\"\nclients = {clients}\nservers_each = 4\n"
    );
    let operator = OperatorFolder::new(&format!("bench-{mode}"), &settings);
    // The platform's limits allow all clients.
    let platform =
        ["\"memory_mb\":192,\"sockets\":1024", &format!("\"memory_mb\":4000,\"sockets\":{}", clients + 400)];
    let list = list(41, true, &[server.list_entry("SERVING")]);
    let edits = [(platform[0], platform[1])];
    let pooler = Pooler::start_with_operator_and_edits(PROGRAM, &list, &discovery, &operator, &edits);
    let line = pooler.wait_for_log("ordinary clients connect to ");
    let address = line.split("connect to ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    (server, discovery, operator, pooler, address)
}

/// Opens an idle session with a prepared statement. A driver's client would use more descriptors than a
/// process may have.
fn open_idle_session(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    let parameters = b"user\0app\0database\0shop\0\0";
    let length = (8 + parameters.len() as u32).to_be_bytes();
    stream.write_all(&[&length[..], &196_608u32.to_be_bytes(), parameters].concat()).unwrap();
    let wait_until_ready = |mut stream: &TcpStream| loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head).unwrap();
        let length = u32::from_be_bytes(head[1..].try_into().unwrap()) as usize;
        stream.read_exact(&mut vec![0; length - 4]).unwrap();
        if head[0] == b'Z' {
            return;
        }
    };
    wait_until_ready(&stream);
    let parse = b"one\0SELECT $1\0\0\0";
    let length = (4 + parse.len() as u32).to_be_bytes();
    let messages = [&b"P"[..], &length, parse, b"S\0\0\0\x04"].concat();
    (&stream).write_all(&messages).unwrap();
    wait_until_ready(&stream);
    stream
}

/// Resident memory of a process (KiB).
fn resident(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn main() {
    for transactions in [false, true] {
        let workload = if transactions { "transactions of two" } else { "prepared reads" };
        let server = Postgres::new("s-0", false);
        run_clients(&format!("{workload}, direct"), server.address, &server, transactions);
        for mode in ["statement", "transaction"] {
            if transactions && mode == "statement" {
                continue;
            }
            let (server, _discovery, _operator, _pooler, address) = start_pooler(mode, 400);
            run_clients(&format!("{workload}, pooled by {mode}"), address, &server, transactions);
        }
    }
    let (_server, _discovery, _operator, pooler, address) = start_pooler("transaction", IDLE_SESSIONS);
    let before = resident(pooler.pid());
    let idle_sessions: Vec<TcpStream> = (0..IDLE_SESSIONS).map(|_| open_idle_session(address)).collect();
    let added_kib = resident(pooler.pid()) - before;
    drop(idle_sessions);
    println!(
        "an idle session with a prepared statement: {:.1} KiB ({IDLE_SESSIONS} of them)",
        added_kib as f64 / IDLE_SESSIONS as f64
    );
}
