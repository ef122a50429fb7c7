//! Handover from a running pooler to its successor, under continuous load.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use flood::{Flood, Form, Probes, Target};
use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const VALUE: &[u8] = b"\x9f";

/// The configuration of a pooler with handover, with a primary and a replica.
struct Fixture {
    member: AnsweringMember,
    _replica: AnsweringMember,
    discovery: Discovery,
    operator: OperatorFolder,
    settings: String,
    list: String,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        Fixture::with(name, |_| answer_with_role(VALUE, "writer"), |_| answer_with_role(VALUE, "reader"))
    }

    /// Like `new`, with the answers of the primary and the replica.
    fn with(
        name: &str,
        primary: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static,
        replica: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static,
    ) -> Fixture {
        let member = AnsweringMember::new(primary);
        let operator = OperatorFolder::new(name, "");
        let path = |name: &str| operator.0.join(name).to_str().unwrap().to_string();
        let (handover, pid) = (path("handover"), path("pid"));
        let settings = format!(
            "[daemon]\nhandover = {handover:?}\npid_file = {pid:?}\ntrial_s = 0.5\ndrain_for_s = 5.0\n"
        );
        operator.write("dewferry.toml", &settings);
        // With a replica, a read that the primary answers slowly has another member.
        let replica = AnsweringMember::new(replica);
        let list = list(41, true, &[member.list_entry("s-1", "here"), replica.list_entry("s-2", "here")]);
        Fixture { member, _replica: replica, discovery: Discovery::listen(), operator, settings, list }
    }

    fn start(&self) -> Pooler {
        Pooler::start_with_operator(PROGRAM, &self.list, &self.discovery, &self.operator)
    }

    /// Starts a successor of `old` at the same address.
    fn start_successor(&self, old: &Pooler) -> Pooler {
        let address = old.address.to_string();
        Pooler::start_successor(PROGRAM, &self.list, &self.discovery, &self.operator, &address)
    }

    fn pid(&self) -> u32 {
        std::fs::read_to_string(self.operator.0.join("pid")).unwrap().trim().parse().unwrap()
    }
}

/// Clients that send queries without a pause; half of them keep their connection, the others open one for
/// each query.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    failures: Arc<Mutex<Vec<String>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    fn new(address: std::net::SocketAddr) -> Load {
        let (stop, served, failures) = (Arc::default(), Arc::default(), Arc::default());
        let mut load = Load { stop, served, failures, threads: Vec::new() };
        for thread in 0..4 {
            let (stop, served, failures) = (load.stop.clone(), load.served.clone(), load.failures.clone());
            load.threads.push(std::thread::spawn(move || {
                let mut kept_wire: Option<Wire> = None;
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let mut wire = kept_wire.take().unwrap_or_else(|| {
                        let mut wire = Wire::from_stream(std::net::TcpStream::connect(address).unwrap());
                        wire.send(&startup());
                        wire.answer();
                        wire
                    });
                    let class = if number % 2 == 0 { "order-write" } else { "reports" };
                    let sent = wire.try_send(&query(&request_sql(&format!("{thread}-{number}"), class)));
                    let answer = if sent { wire.answer() } else { Vec::new() };
                    match answer.first() {
                        Some((b'T', _)) => {
                            served.fetch_add(1, Ordering::SeqCst);
                            kept_wire = (thread % 2 == 0).then_some(wire);
                        }
                        // A kept connection that ended between requests: the pooler has not accepted the
                        // query.
                        None if number > 0 && thread % 2 == 0 => {}
                        Some((_, message)) => {
                            failures
                                .lock()
                                .unwrap()
                                .push(format!("{number}: {}", String::from_utf8_lossy(message)));
                        }
                        None => failures.lock().unwrap().push(format!("{number}: no answer")),
                    }
                }
            }));
        }
        load
    }

    /// Waits for `count` more answers.
    fn wait_for_answers(&self, count: usize) {
        let (until, started) = (self.served.load(Ordering::SeqCst) + count, Instant::now());
        while self.served.load(Ordering::SeqCst) < until {
            assert!(started.elapsed() < Duration::from_secs(20), "no request is served any more");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn finish(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        Arc::try_unwrap(self.failures).unwrap().into_inner().unwrap()
    }
}

#[test]
fn an_upgrade_under_load_loses_no_request() {
    let fixture = Fixture::new("upgrade-load");
    let mut old = fixture.start();
    let address = old.address;
    let load = Load::new(address);
    load.wait_for_answers(100);
    let first = old.pid();
    assert_eq!(fixture.pid(), first);
    let mut new = fixture.start_successor(&old);
    assert!(new.wait_for_log("handover.known").contains("members=2"));
    new.wait_for_log("handover.stands");
    assert_eq!(old.wait_for_exit().code(), Some(0));
    assert_eq!((new.address, fixture.pid()), (address, new.pid()));
    load.wait_for_answers(100);
    // The successor owns the exclusive resources: it accepts changes, and can hand over in turn.
    assert_eq!(new.run_config(&["status"]).0, 0);
    let third = fixture.start_successor(&new);
    third.wait_for_log("handover.stands");
    assert_eq!(new.wait_for_exit().code(), Some(0));
    load.wait_for_answers(100);
    assert_eq!(load.finish(), Vec::<String>::new());
    assert_eq!(third.run_config(&["status"]).0, 0);
    assert!(fixture.member.count() > 300);
}

/// The old process answers all commands of one connection that are pending when the successor takes over, in
/// order.
#[test]
fn pipelined_commands_are_answered_in_order_during_an_upgrade() {
    const SLOW: Duration = Duration::from_millis(600);
    let answer = |role: &'static str| {
        move |sql: &str| {
            let id = sql.split("id=").nth(1).and_then(|rest| rest.split(',').next()).unwrap_or_default();
            // The first takes longest, so the replies to the later ones wait.
            match id {
                "owed-1" => std::thread::sleep(SLOW),
                "owed-2" => std::thread::sleep(SLOW / 3),
                _ => {}
            }
            answer_with_role(id.as_bytes(), role)
        }
    };
    let fixture = Fixture::with("upgrade-owed", answer("writer"), answer("reader"));
    let mut old = fixture.start();
    let mut wire = Wire::from_stream(std::net::TcpStream::connect(old.address).unwrap());
    wire.send(&startup());
    wire.answer();
    // From this answer on the primary is known.
    wire.send(&query(&request_sql("first", "order-write")));
    wire.answer();
    let commands = [
        ("owed-1", "reports", "7f3a"),
        ("owed-2", "order-write", "99aa"),
        ("waits-3", "order-write", "7f3a"),
        ("owed-4", "reports", "99aa"),
    ];
    let on_row = |(id, class, row): (&str, &str, &str)| query(&request_sql(id, class).replace("7f3a", row));
    wire.send(&commands.map(on_row).concat());
    wait_for_counter(&old, "taken", 1 + commands.len() as u64);
    let new = fixture.start_successor(&old);
    new.wait_for_log("handover.taken");
    for (id, ..) in commands {
        if id == "waits-3" {
            // This command waits for the first and has not been sent, so it is refused, in order.
            assert_eq!(wire.error().0, "53300");
            continue;
        }
        let answer = wire.answer();
        assert_eq!(answer.first().map(|(kind, _)| *kind), Some(b'T'), "{id}: {answer:?}");
        assert_eq!(&answer[1].1[6..], id.as_bytes());
    }
    new.wait_for_log("handover.stands");
    assert_eq!(old.wait_for_exit().code(), Some(0));
}

#[test]
fn the_old_process_resumes_if_its_successor_is_killed_at_any_step() {
    let fixture = Fixture::new("upgrade-killed");
    let old = fixture.start();
    let load = Load::new(old.address);
    load.wait_for_answers(50);
    // Killed once it has the descriptors, once it accepts clients, and at an arbitrary time in between.
    for (step, line) in ["handover.known", "handover.taken", "listens on "].into_iter().enumerate() {
        let mut new = fixture.start_successor(&old);
        if line != "listens on " {
            new.wait_for_log(line);
        }
        new.kill();
        old.wait_for_log("handover.back");
        load.wait_for_answers(50);
        assert_eq!(old.run_config(&["status"]).0, 0, "after step {step}");
    }
    // The killed successors have not damaged the history: a change is accepted and survives the handover.
    let changed = format!("{}[tenant.new]\nquota_per_s = 5\n", fixture.settings);
    let file = fixture.operator.write("changed.toml", &changed);
    let (code, message) = old.run_config(&["apply", &file, "--confirm-within", "60"]);
    assert_eq!(code, 0, "{message}");
    assert_eq!(old.run_config(&["confirm"]).0, 0);
    let new = fixture.start_successor(&old);
    new.wait_for_log("handover.stands");
    assert!(new.run_config(&["show"]).1.contains("quota_per_s = 5"));
    // Only answers in flight in a killed process are lost.
    let failures = load.finish();
    assert!(failures.len() <= 4, "{failures:?}");
}

#[test]
fn a_successor_that_fails_during_its_trial_hands_back() {
    let fixture = Fixture::new("upgrade-bad");
    let old = fixture.start();
    let load = Load::new(old.address);
    load.wait_for_answers(50);
    // A new configuration that drains all members, so that no request can be served.
    let good = &fixture.settings;
    fixture
        .operator
        .write("dewferry.toml", &format!("{good}[override]\n\"s-1\" = \"drain\"\n\"s-2\" = \"drain\"\n"));
    let mut new = fixture.start_successor(&old);
    new.wait_for_log("handover.yielded");
    assert_eq!(new.wait_for_exit().code(), Some(5));
    old.wait_for_log("handover.back");
    fixture.operator.write("dewferry.toml", good);
    load.wait_for_answers(100);
    assert_eq!(old.run_config(&["status"]).0, 0);
    drop(load.finish());
}

#[test]
fn a_draining_process_is_not_taken_over_and_a_take_over_without_one_fails() {
    let fixture = Fixture::new("upgrade-denied");
    let mut old = fixture.start();
    let expect_refusal = |reason: &str| {
        let output = std::process::Command::new(PROGRAM)
            .args(["serve", "--take-over", "--config"])
            .arg(old.platform_file())
            .arg("--operator")
            .arg(fixture.operator.file())
            .output()
            .unwrap();
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code() == Some(2) && message.contains(reason), "{message}");
    };
    let mut open_client = client(&old);
    open_client.send(&query(&request_sql("1", "reports")));
    assert_eq!(open_client.answer()[0].0, b'T');
    old.signal("TERM");
    old.wait_for_log("asked to end");
    expect_refusal("draining");
    assert_eq!(old.wait_for_exit().code(), Some(0));
    let output = std::process::Command::new(PROGRAM)
        .args(["serve", "--take-over", "--config", "/nowhere", "--operator", "/nowhere"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
}

/// Guards issue 55: while clients flooded, a hand-over took as long as they did, and others waited.
#[test]
fn a_flood_delays_neither_the_handover_nor_other_clients() {
    let fixture = Fixture::new("upgrade-flood");
    let mut old = fixture.start();
    let probes = Probes::start(old.address, 4, |n| {
        flood::query(&format!(
            "/* id=a{n:x},c=reports,t=acme,d=250,cluster=2 */ SELECT doc FROM items WHERE id = 'p'"
        ))
    });
    let target = Target { class: "reports".into(), group: 2, id_prefix: "x".into() };
    let flood = Flood::start(old.address, Form::NewClasses, 6, true, &target);
    std::thread::sleep(Duration::from_millis(500));
    let started_at = Instant::now();
    let new = fixture.start_successor(&old);
    assert_eq!(old.wait_for_exit().code(), Some(0));
    assert!(started_at.elapsed() < Duration::from_secs(4), "{:?}", started_at.elapsed());
    std::thread::sleep(Duration::from_secs(1));
    let summary = probes.stop();
    flood.stop();
    assert_eq!(fixture.pid(), new.pid());
    assert!(summary.worst() <= 0.75, "an answer after {:.3} s", summary.worst());
}
