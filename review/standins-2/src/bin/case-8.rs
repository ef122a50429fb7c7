//! A third of the connections to db machines comes up late, where second copies are allowed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use review_standins_2::client::{Answer, Client};
use review_standins_2::db::{Log, Machine};
use review_standins_2::discovery::{entry, Discovery};
use review_standins_2::pooler::{bergen_settings, free_address, Pooler};
use review_standins_2::{not_run, now_ms, sleep_ms, Case, Record, BROKEN, HELD};

const CLIENTS: usize = 24;
/// How long the clients go on (ms), and how long they wait for an answer: the longest deadline is 5 s.
const RUN_MS: u64 = 40_000;
const WAIT_MS: u64 = 12_000;

fn main() {
    let case = Case::from_args();
    let code = run(&case);
    std::process::exit(code);
}

#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    failed: AtomicUsize,
    missing: AtomicUsize,
}

fn run(case: &Case) -> i32 {
    let log = Log::default();
    let work = |sql: &str| if sql.starts_with("INSERT") { 100 } else { 3 };
    let names = ["s-1", "s-2", "s-3", "s-4"];
    let machines = names.map(|name| Machine::start(name, (name == "s-1", false), &log, &case.record, work));
    let entries =
        machines.iter().map(|m| (m.name().to_string(), entry(m.name(), m.address(), "hall-a", 2, "SERVING")));
    let discovery = Discovery::start(entries.collect(), &case.record);
    let (listen, pool) = (free_address(), free_address());
    let operator = format!(
        "[pool]\nlisten = \"{pool}\"\nwrite_class = \"export-order\"\nread_class = \"tile-read\"\ngroup = 2\nclients = 400\nservers = 96\nservers_each = 24\nserver_lifetime_s = 1\n"
    );
    let mut pooler = Pooler::start(
        case,
        "n1",
        (listen, discovery.address),
        (&discovery.list(), &bergen_settings()),
        &operator,
        "",
    );
    pooler.wait_for(pool);
    let mut first = Client::connect(pool, "app", "shop").unwrap_or_else(|e| not_run(&e.to_string()));
    let answer = first.query("INSERT INTO orders VALUES ('warm', '0')", 5_000);
    if !answer.is_ok() {
        not_run(&format!("the first write: {}", answer.text()));
    }
    if case.trouble {
        machines.iter().for_each(|machine| machine.set_late(3, 200));
    }
    let counts: Arc<Counts> = Arc::default();
    let end_at = now_ms() + RUN_MS;
    let threads: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (counts, record) = (counts.clone(), case.record.clone());
            std::thread::spawn(move || client(n, pool, end_at, &counts, &record))
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let [answered, failed, missing] =
        [&counts.answered, &counts.failed, &counts.missing].map(|count| count.load(Ordering::SeqCst));
    if answered < 100 {
        not_run(&format!("only {answered} statements were answered"));
    }
    let text =
        format!("{answered} statements answered, {failed} of them with an error, {missing} never answered");
    case.end(if missing > 0 { BROKEN } else { HELD }, &text)
}

fn client(n: usize, pool: SocketAddr, end_at: u64, counts: &Counts, record: &Record) {
    let mut connection = None;
    for round in 0.. {
        if now_ms() > end_at {
            return;
        }
        let Some(mut client) = connection.take().or_else(|| Client::connect(pool, "app", "shop").ok()) else {
            sleep_ms(100);
            continue;
        };
        let key = format!("c{n}-{round}");
        let statements = [
            format!("SELECT '{key}' FROM tiles"),
            "BEGIN".to_string(),
            format!("INSERT INTO orders VALUES ('{key}', '1')"),
            "COMMIT".to_string(),
        ];
        let mut usable = true;
        for sql in &statements {
            let answer: Answer = client.query(sql, WAIT_MS);
            if answer.silent {
                counts.missing.fetch_add(1, Ordering::SeqCst);
                record.line(format!("NEVER ANSWERED within {WAIT_MS} ms, client {n}: {sql}, of {key}"));
                usable = false;
                break;
            }
            counts.answered.fetch_add(1, Ordering::SeqCst);
            if !answer.is_ok() {
                counts.failed.fetch_add(1, Ordering::SeqCst);
                record.line(format!("client {n} is told, of {key}, {sql}: {}", answer.text()));
                usable = !answer.ended;
                let _ = client.query("ROLLBACK", WAIT_MS);
                break;
            }
        }
        if usable {
            connection = Some(client);
        }
        sleep_ms(5 + (n as u64 * 7 + round * 13) % 40);
    }
}
