//! Measures how long other clients wait while some flood a pooler, and what memory it takes before, during and a
//! minute after that. Run with `cargo bench -p dewferry --bench floods`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flood::{Flood, Form, Probes, Target};
use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const PROBES: usize = 6;
const CLIENTS: usize = 8;
const FLOOD_TIME: Duration = Duration::from_millis(7_500);
/// How long after the floods the memory is measured again.
const REST_TIME: Duration = Duration::from_secs(60);
const PLATFORM_FORMS: [Form; 6] = [
    Form::EmptyQueries,
    Form::NewClasses,
    Form::NewTenants,
    Form::Unsupported,
    Form::ManyFields,
    Form::HalfQueries,
];
const SESSION_FORMS: [Form; 6] =
    [Form::EmptyQueries, Form::Reads, Form::SetOne, Form::SetNew, Form::NewStatements, Form::EndlessBatch];

/// Returns the resident memory of a pooler (megabytes).
fn resident_mb(pooler: &Pooler) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", pooler.pid())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<f64>().unwrap() / 1024.0
}

/// Runs each flood in turn beside probes, and prints what these and the process's memory show.
fn run_floods(
    name: &str,
    pooler: &Pooler,
    address: SocketAddr,
    forms: &[Form],
    request: impl Fn(u64) -> Vec<u8> + Send + Sync + Copy + 'static,
) {
    let target = Target { class: "reports".into(), group: 2, id_prefix: "x".into() };
    let before_mb = resident_mb(pooler);
    for form in forms {
        let probes = Probes::start(address, PROBES, request);
        let flood = Flood::start(address, *form, CLIENTS, true, &target);
        let (started_at, mut most_mb) = (Instant::now(), 0.0f64);
        while started_at.elapsed() < FLOOD_TIME {
            most_mb = most_mb.max(resident_mb(pooler));
            std::thread::sleep(Duration::from_millis(20));
        }
        let summary = probes.stop();
        flood.stop();
        println!(
            "{name}, {form:?}: worst {:.1} ms, median {:.2} ms, {} served, {} errors, {} closed; at most {most_mb:.0} MB",
            summary.worst() * 1000.0,
            summary.median() * 1000.0,
            summary.served,
            summary.errors,
            summary.closed
        );
    }
    std::thread::sleep(REST_TIME);
    println!("{name}: {before_mb:.0} MB before, {:.0} MB a minute after the last flood", resident_mb(pooler));
}

fn main() {
    let discovery = Discovery::listen();
    let members = [(); 3].map(|()| AnsweringMember::new(|_| answer_with_role(b"\x9f\x00\x03", "reader")));
    let entry = |n: usize| members[n].list_entry(&format!("s-{n}"), "here");
    let pooler = Pooler::start(PROGRAM, &list(41, true, &[entry(0), entry(1), entry(2)]), &discovery, &[]);
    run_floods("platform's front", &pooler, pooler.address, &PLATFORM_FORMS, |n| {
        flood::query(&format!(
            "/* id=a{n:x},c=reports,t=acme,d=250,cluster=2 */ SELECT doc FROM items WHERE id = 'p'"
        ))
    });
    let server = Postgres::new("s-0", false);
    let settings = "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\ngroup = 2\n";
    let operator = OperatorFolder::new("bench-floods", settings);
    let list = list(41, true, &[server.list_entry("SERVING")]);
    let pooler = Pooler::start_with_operator(PROGRAM, &list, &discovery, &operator);
    let line = pooler.wait_for_log("ordinary clients connect to ");
    let address = line.split("connect to ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    run_floods("ordinary clients", &pooler, address, &SESSION_FORMS, |_| flood::query("SELECT who"));
}
