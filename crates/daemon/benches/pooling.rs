//! Ordinary clients directly at a server, and through the pooler by statement and by transaction: requests a second,
//! times, server connections; and what a resting session takes. `cargo bench -p dewferry --bench pooling`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use peers::*;
use postgres::{Client, NoTls};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const CLIENTS: usize = 16;
const PLAYED: Duration = Duration::from_secs(4);
/// Sessions that rest.
const RESTING: usize = 10_000;

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
fn pooled(mode: &str, clients: usize) -> (Postgres, Discovery, OperatorFolder, Pooler, SocketAddr) {
    let server = Postgres::new("s-0", false);
    let discovery = Discovery::listen();
    let settings = format!(
        "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\ngroup = 2\nmode = \"{mode}\"\nclients = {clients}\nservers_each = 4\n"
    );
    let operator = OperatorFolder::new(&format!("bench-{mode}"), &settings);
    // What the platform allows has room for them all.
    let platform =
        ["\"memory_mb\":192,\"sockets\":1024", &format!("\"memory_mb\":4000,\"sockets\":{}", clients + 400)];
    let list = list(41, true, &[server.list_entry("SERVING")]);
    let edits = [(platform[0], platform[1])];
    let pooler = Pooler::start_with_operator_and_edits(PROGRAM, &list, &discovery, &operator, &edits);
    let line = pooler.wait_for_log("ordinary clients connect to ");
    let address = line.split("connect to ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    (server, discovery, operator, pooler, address)
}

/// A client that has prepared a statement and does nothing more. A driver's own would take more descriptors than a
/// process may have.
fn rest(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    let words = b"user\0app\0database\0shop\0\0";
    let length = (8 + words.len() as u32).to_be_bytes();
    stream.write_all(&[&length[..], &196_608u32.to_be_bytes(), words].concat()).unwrap();
    let ready = |mut stream: &TcpStream| loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head).unwrap();
        let length = u32::from_be_bytes(head[1..].try_into().unwrap()) as usize;
        stream.read_exact(&mut vec![0; length - 4]).unwrap();
        if head[0] == b'Z' {
            return;
        }
    };
    ready(&stream);
    let parse = b"one\0SELECT $1\0\0\0";
    let length = (4 + parse.len() as u32).to_be_bytes();
    let asked = [&b"P"[..], &length, parse, b"S\0\0\0\x04"].concat();
    (&stream).write_all(&asked).unwrap();
    ready(&stream);
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
        let what = if transactions { "transactions of two" } else { "prepared reads" };
        let server = Postgres::new("s-0", false);
        play(&format!("{what}, direct"), server.address, &server, transactions);
        for mode in ["statement", "transaction"] {
            if transactions && mode == "statement" {
                continue;
            }
            let (server, _discovery, _operator, _pooler, address) = pooled(mode, 400);
            play(&format!("{what}, pooled by {mode}"), address, &server, transactions);
        }
    }
    let (_server, _discovery, _operator, pooler, address) = pooled("transaction", RESTING);
    let before = resident(pooler.pid());
    let resting: Vec<TcpStream> = (0..RESTING).map(|_| rest(address)).collect();
    let more = resident(pooler.pid()) - before;
    drop(resting);
    println!(
        "a resting session with a prepared statement: {:.1} KiB ({RESTING} of them)",
        more as f64 / RESTING as f64
    );
}
