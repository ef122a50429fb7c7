//! Pipelined transactions of ordinary clients while the primary dies and a replica takes over.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use review_standins_2::client::Client;
use review_standins_2::db::{Log, Machine};
use review_standins_2::discovery::{entry, Discovery};
use review_standins_2::pooler::{free_address, settings, Pooler};
use review_standins_2::{not_run, now_ms, sleep_ms, wire, Case, BROKEN, HELD};

const ROWS: usize = 6;
const CLIENTS: usize = 4;

fn main() {
    let case = Case::from_args();
    let code = run(&case);
    std::process::exit(code);
}

fn run(case: &Case) -> i32 {
    let log = Log::default();
    let work = |sql: &str| if sql.starts_with("INSERT") { 20 } else { 0 };
    let primary = Machine::start("s-1", (true, false), &log, &case.record, work);
    let replica = Machine::start("s-2", (false, false), &log, &case.record, work);
    let others = ["s-3", "s-4"].map(|name| Machine::start(name, (false, false), &log, &case.record, work));
    let entries = [&primary, &replica, &others[0], &others[1]]
        .map(|m| (m.name().to_string(), entry(m.name(), m.address(), "salt-lake", 2, "SERVING")));
    let discovery = Discovery::start(entries.to_vec(), &case.record);
    let (listen, pool) = (free_address(), free_address());
    let operator = format!(
        "[pool]\nlisten = \"{pool}\"\nwrite_class = \"order-write\"\nread_class = \"reports\"\ntenant = \"kolkata-shops\"\ngroup = 2\nclients = 400\nservers = 40\n"
    );
    let mut pooler = Pooler::start(
        case,
        "n1",
        (listen, discovery.address),
        (&discovery.list(), &settings(false)),
        &operator,
        "",
    );
    pooler.wait_for(pool);
    // Until an ordinary write is served, the primary is not known.
    let mut first = Client::connect(pool, "app", "shop").unwrap_or_else(|e| not_run(&e.to_string()));
    let answer = first.query("INSERT INTO orders VALUES ('warm', '0')", 5_000);
    if !answer.is_ok() {
        not_run(&format!("the first write: {}", answer.text()));
    }
    let end_at = now_ms() + 14_000;
    let answers: Arc<Mutex<BTreeMap<String, Vec<String>>>> = Arc::default();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (answers, record) = (answers.clone(), case.record.clone());
            std::thread::spawn(move || client(n, pool, end_at, &answers, &record))
        })
        .collect();
    sleep_ms(1_500);
    if case.trouble {
        primary.die();
        // Given up after 1.8 s, and a replica takes over 1.8 s later.
        sleep_ms(3_600);
        replica.set_primary(true);
    }
    for thread in threads {
        let _ = thread.join();
    }
    // What is told and what is applied, transaction by transaction.
    let mut commits_of: BTreeMap<String, Vec<Vec<String>>> = BTreeMap::new();
    for commit in log.commits() {
        let mut rows: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (key, value) in commit.rows {
            rows.entry(key).or_default().push(value);
        }
        rows.into_iter().for_each(|(key, values)| commits_of.entry(key).or_default().push(values));
    }
    let answers = answers.lock().unwrap();
    let (mut torn, mut whole) = (0, 0);
    for (key, told) in answers.iter() {
        let pieces = commits_of.get(key).cloned().unwrap_or_default();
        let rows: usize = pieces.iter().map(Vec::len).sum();
        // All of a transaction is applied by one commit, or nothing of it.
        if pieces.len() > 1 || rows != 0 && rows != ROWS {
            torn += 1;
            case.record.line(format!(
                "TORN {key}: {rows} of {ROWS} rows, by {} commits {pieces:?}; told {told:?}",
                pieces.len()
            ));
        } else if rows == ROWS {
            whole += 1;
        }
    }
    if whole < 5 {
        not_run(&format!("only {whole} of {} transactions were applied", answers.len()));
    }
    let text =
        format!("{} transactions, {whole} applied as a whole, {torn} applied in pieces", answers.len());
    case.end(if torn > 0 { BROKEN } else { HELD }, &text)
}

/// Sends transactions, each in one write, and reads their answers.
fn client(
    n: usize,
    pool: std::net::SocketAddr,
    end_at: u64,
    answers: &Mutex<BTreeMap<String, Vec<String>>>,
    record: &review_standins_2::Record,
) {
    let mut connection = None;
    for number in 0.. {
        if now_ms() > end_at {
            return;
        }
        let Some(mut client) = connection.take().or_else(|| Client::connect(pool, "app", "shop").ok()) else {
            sleep_ms(100);
            continue;
        };
        let key = format!("t{n}-{number}");
        let mut bytes = wire::query("BEGIN");
        (0..ROWS).for_each(|row| {
            bytes.extend(wire::query(&format!("INSERT INTO orders VALUES ('{key}', '{row}')")))
        });
        bytes.extend(wire::query("COMMIT"));
        record.line(format!("client {n} sends BEGIN, {ROWS} rows of {key}, COMMIT in one write"));
        let sent = client.send(&bytes).is_ok();
        let mut told = Vec::new();
        for _ in 0..ROWS + 2 {
            let answer = client.answer(25_000);
            told.push(answer.text());
            if !sent || answer.ended || answer.silent {
                break;
            }
        }
        record.line(format!("client {n} is told of {key}: {told:?}"));
        let lost = told.len() < ROWS + 2;
        let failed = told.iter().any(|text| text.starts_with("error"));
        answers.lock().unwrap().insert(key, told);
        if failed && !lost {
            let _ = client.query("ROLLBACK", 5_000);
        }
        if !lost {
            connection = Some(client);
        }
        sleep_ms(if failed { 100 } else { 30 });
    }
}
