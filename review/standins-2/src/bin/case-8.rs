//! A successor takes over (`--take-over`), answers writes, and is killed in its trial; the old process serves on.

use std::net::SocketAddr;

use review_standins_2::client::{Answer, Client};
use review_standins_2::db::{Log, Machine};
use review_standins_2::discovery::{entry, Discovery};
use review_standins_2::pooler::{free_address, settings, wait_for_log, Pooler};
use review_standins_2::{not_run, sleep_ms, wait_until, Case, BROKEN, HELD};

const SESSIONS: usize = 8;

fn main() {
    let case = Case::from_args();
    let code = run(&case);
    std::process::exit(code);
}

struct Requests<'a> {
    case: &'a Case,
    number: u64,
}

impl Requests<'_> {
    fn send(&mut self, client: &mut Client, class: &str, deadline: u64, statement: &str) -> Answer {
        self.number += 1;
        let id = format!("{:016x}", self.number);
        let key = if class == "order-write" { format!(",k={id}") } else { String::new() };
        let comment = format!("/* id={id},c={class},t=kolkata-shops,d={deadline}{key},cluster=2 */");
        let answer = client.query(&format!("{comment} {statement}"), 6_000);
        self.case.record.line(format!("request {id} {class} {statement}: {}", answer.text()));
        answer
    }

    fn write(&mut self, client: &mut Client, session: &str, value: &str) -> Answer {
        let statement = format!("INSERT INTO items (id, doc) VALUES ('{session}', '{value}') RETURNING doc");
        self.send(client, "order-write", 3_000, &statement)
    }

    fn read(&mut self, client: &mut Client, session: &str) -> Answer {
        self.send(client, "own-orders", 1_500, &format!("SELECT doc FROM items WHERE id = '{session}'"))
    }
}

fn connect(address: SocketAddr) -> Client {
    Client::connect(address, "app", "shop").unwrap_or_else(|error| not_run(&error.to_string()))
}

fn run(case: &Case) -> i32 {
    let log = Log::default();
    let work = |sql: &str| if sql.starts_with("SHOW") { 0 } else { 20 };
    let primary = Machine::start("s-1", (true, true), &log, &case.record, work);
    let replica = Machine::start("s-2", (false, true), &log, &case.record, work);
    let entries = [&primary, &replica]
        .map(|m| (m.name().to_string(), entry(m.name(), m.address(), "salt-lake", 2, "SERVING")));
    let discovery = Discovery::start(entries.to_vec(), &case.record);
    let listen = free_address();
    let operator = format!(
        "[control]\nsocket = {:?}\n[daemon]\nhandover = {:?}\npid_file = {:?}\n",
        case.text_path("control"),
        case.text_path("handover"),
        case.text_path("pid")
    );
    let (list, settings) = (discovery.list(), settings(true));
    let addresses = (listen, discovery.address);
    let mut old = Pooler::start(case, "old", addresses, (&list, &settings), &operator, "");
    old.wait_for(listen);
    let mut requests = Requests { case, number: 0 };
    let mut client = connect(listen);
    let sessions: Vec<String> = (0..SESSIONS).map(|n| format!("7f3a9c21e0b4{n:04x}")).collect();
    // Each session writes once, and reads that.
    for session in &sessions {
        let written = wait_until(10_000, || requests.write(&mut client, session, "one").is_ok());
        let read = written && wait_until(5_000, || requests.read(&mut client, session).is_ok());
        if !read {
            not_run("the first requests are not served");
        }
    }
    // A read that the replica answers lets its position be known.
    sleep_ms(300);
    for session in &sessions {
        requests.read(&mut client, session);
    }
    // From here on the replica lags.
    replica.set_delay(6_000);
    let mut new = Pooler::start(case, "new", addresses, (&list, &settings), &operator, "--take-over");
    if !wait_for_log(case, "new", "handover.taken", 10_000) {
        not_run("the successor does not take over");
    }
    sleep_ms(200);
    let mut second = connect(listen);
    let mut written = Vec::new();
    for session in &sessions {
        let answer = requests.write(&mut second, session, "two");
        if answer.is_ok() {
            written.push(session.clone());
        }
    }
    if written.len() < SESSIONS / 2 {
        not_run("the successor does not serve writes");
    }
    if case.trouble {
        case.record.line("the successor is killed (SIGKILL)");
        new.kill();
        if !wait_for_log(case, "old", "handover.back", 10_000) {
            not_run("the old process does not serve on");
        }
    } else if !wait_for_log(case, "new", "handover.stands", 20_000) {
        not_run("the successor does not stand");
    }
    let (mut stale, mut served) = (0, 0);
    for round in 0..3 {
        let mut reader = connect(listen);
        for session in &written {
            let answer = requests.read(&mut reader, session);
            served += usize::from(answer.is_ok());
            if answer.is_ok() && answer.value.as_deref() != Some("two") {
                stale += 1;
                case.record.line(format!(
                    "STALE, round {round}: session {session} wrote 'two', and reads {:?}",
                    answer.value
                ));
            }
        }
        sleep_ms(300);
    }
    if served < written.len() {
        not_run(&format!("only {served} reads were served"));
    }
    let text = format!(
        "{} sessions wrote by the successor; {stale} of {served} reads after it did not see that",
        written.len()
    );
    case.end(if stale > 0 { BROKEN } else { HELD }, &text)
}
