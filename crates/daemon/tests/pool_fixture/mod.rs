//! A primary and a replica behind the running program, for the tests of ordinary clients.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use peers::*;
use postgres::{Client, NoTls, SimpleQueryMessage};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

/// Returns a name for a folder that no other test of the process has.
pub fn unique_name(name: &str) -> String {
    static NAMES: AtomicUsize = AtomicUsize::new(0);
    format!("pool-{name}-{}", NAMES.fetch_add(1, Ordering::SeqCst))
}

/// A primary and a replica behind a pooler.
pub struct Fixture {
    pub primary: Postgres,
    pub replica: Postgres,
    pub pooler: Pooler,
    pub address: SocketAddr,
    pub discovery: Discovery,
    pub operator: OperatorFolder,
}

impl Fixture {
    pub fn new(name: &str, more: &str) -> Fixture {
        Fixture::with_servers(Postgres::new("s-0", false), Postgres::new("s-1", true), name, more)
    }

    pub fn with_servers(primary: Postgres, replica: Postgres, name: &str, more: &str) -> Fixture {
        let discovery = Discovery::listen();
        let settings = format!(
            "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\nread_class = \"reports\"\ngroup = 2\n{more}"
        );
        let operator = OperatorFolder::new(&unique_name(name), &settings);
        let entries = [&primary, &replica].map(|server| server.list_entry("SERVING"));
        let pooler = Pooler::start_with_operator(PROGRAM, &list(41, true, &entries), &discovery, &operator);
        let line = pooler.wait_for_log("ordinary clients connect to ");
        let address = line.split("connect to ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
        Fixture { primary, replica, pooler, address, discovery, operator }
    }

    /// Like `new`, and waits until the primary is known: until then a read may go to either server.
    pub fn with_known_primary(name: &str, more: &str) -> Fixture {
        let fixture = Fixture::new(name, more);
        assert_eq!(value(&mut fixture.client(), "BEGIN; SELECT who; COMMIT"), "s-0");
        fixture
    }

    pub fn client(&self) -> Client {
        let text = format!("host=127.0.0.1 port={} user=app dbname=shop", self.address.port());
        Client::connect(&text, NoTls).unwrap()
    }
}

/// Returns the first value of a simple query's result.
pub fn value(client: &mut Client, sql: &str) -> String {
    let rows = client.simple_query(sql).unwrap();
    let row = rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(String::from),
        _ => None,
    });
    row.unwrap_or_default()
}

pub fn wait_until(until: impl Fn() -> bool) {
    let started = Instant::now();
    while !until() {
        assert!(started.elapsed() < Duration::from_secs(20));
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the SQLSTATE of an error; empty where there is none.
pub fn code(result: Result<impl Sized, postgres::Error>) -> String {
    result.err().and_then(|error| error.code().map(|code| code.code().to_string())).unwrap_or_default()
}
