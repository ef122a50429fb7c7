//! A daemon handed over to its successor, both of them running programs, with clients that do not stop asking.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const VALUE: &[u8] = b"\x9f";

/// A daemon that can be succeeded, before a machine of its own.
struct World {
    db: AnsweringMember,
    _replica: AnsweringMember,
    discovery: Discovery,
    operator: OperatorFolder,
    settings: String,
    list: String,
}

impl World {
    fn new(name: &str) -> World {
        World::with(name, |_| answer_with_role(VALUE, "writer"), |_| answer_with_role(VALUE, "reader"))
    }

    /// One whose primary and replica answer like this.
    fn with(
        name: &str,
        primary: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static,
        replica: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static,
    ) -> World {
        let db = AnsweringMember::new(primary);
        let operator = OperatorFolder::new(name, "");
        let path = |name: &str| operator.0.join(name).to_str().unwrap().to_string();
        let (handover, pid) = (path("handover"), path("pid"));
        let settings = format!(
            "[daemon]\nhandover = {handover:?}\npid_file = {pid:?}\ntrial_s = 0.5\ndrain_for_s = 5.0\n"
        );
        operator.write("dewferry.toml", &settings);
        // A read that one of them is slow to answer has another to go to.
        let replica = AnsweringMember::new(replica);
        let list = list(41, true, &[db.list_entry("s-1", "here"), replica.list_entry("s-2", "here")]);
        World { db, _replica: replica, discovery: Discovery::listen(), operator, settings, list }
    }

    fn start(&self) -> Pooler {
        Pooler::start_with_operator(PROGRAM, &self.list, &self.discovery, &self.operator)
    }

    /// A successor of the daemon that listens there.
    fn succeed(&self, old: &Pooler) -> Pooler {
        let address = old.address.to_string();
        Pooler::start_successor(PROGRAM, &self.list, &self.discovery, &self.operator, &address)
    }

    fn pid(&self) -> u32 {
        std::fs::read_to_string(self.operator.0.join("pid")).unwrap().trim().parse().unwrap()
    }
}

/// Clients that ask without pause, each query on a connection of its own or on one that it keeps.
struct Load {
    over: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    bad: Arc<Mutex<Vec<String>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    fn new(address: std::net::SocketAddr) -> Load {
        let (over, served, bad) = (Arc::default(), Arc::default(), Arc::default());
        let mut load = Load { over, served, bad, threads: Vec::new() };
        for thread in 0..4 {
            let (over, served, bad) = (load.over.clone(), load.served.clone(), load.bad.clone());
            load.threads.push(std::thread::spawn(move || {
                let mut kept: Option<Wire> = None;
                for number in 0.. {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    let mut wire = kept.take().unwrap_or_else(|| {
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
                            kept = (thread % 2 == 0).then_some(wire);
                        }
                        // A kept connection that ended between requests: what was asked on it has not been taken.
                        None if number > 0 && thread % 2 == 0 => {}
                        Some((_, words)) => {
                            bad.lock().unwrap().push(format!("{number}: {}", String::from_utf8_lossy(words)));
                        }
                        None => bad.lock().unwrap().push(format!("{number}: no answer")),
                    }
                }
            }));
        }
        load
    }

    /// Waits for so many more answers.
    fn more(&self, count: usize) {
        let (until, begun) = (self.served.load(Ordering::SeqCst) + count, Instant::now());
        while self.served.load(Ordering::SeqCst) < until {
            assert!(begun.elapsed() < Duration::from_secs(20), "nothing is served any more");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn end(self) -> Vec<String> {
        self.over.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        Arc::try_unwrap(self.bad).unwrap().into_inner().unwrap()
    }
}

#[test]
fn an_upgrade_under_load_loses_nothing() {
    let world = World::new("upgrade-load");
    let mut old = world.start();
    let address = old.address;
    let load = Load::new(address);
    load.more(100);
    let first = old.pid();
    assert_eq!(world.pid(), first);
    let mut new = world.succeed(&old);
    assert!(new.wait_for_log("handover.known").contains("members=2"));
    new.wait_for_log("handover.stands");
    assert_eq!(old.wait_for_exit().code(), Some(0));
    assert_eq!((new.address, world.pid()), (address, new.pid()));
    load.more(100);
    // What only one daemon may have is the successor's: it takes changes, and can be succeeded in turn.
    assert_eq!(new.run_config(&["status"]).0, 0);
    let third = world.succeed(&new);
    third.wait_for_log("handover.stands");
    assert_eq!(new.wait_for_exit().code(), Some(0));
    load.more(100);
    assert_eq!(load.end(), Vec::<String>::new());
    assert_eq!(third.run_config(&["status"]).0, 0);
    assert!(world.db.count() > 300);
}

/// Commands of one connection that are owed when the successor takes over: the old daemon answers them all, in their order.
#[test]
fn what_a_client_has_sent_ahead_is_answered_through_an_upgrade() {
    const SLOW: Duration = Duration::from_millis(600);
    let answer = |role: &'static str| {
        move |sql: &str| {
            let id = sql.split("id=").nth(1).and_then(|rest| rest.split(',').next()).unwrap_or_default();
            // The first takes longest: those behind it wait for their turn.
            match id {
                "owed-1" => std::thread::sleep(SLOW),
                "owed-2" => std::thread::sleep(SLOW / 3),
                _ => {}
            }
            answer_with_role(id.as_bytes(), role)
        }
    };
    let world = World::with("upgrade-owed", answer("writer"), answer("reader"));
    let mut old = world.start();
    let mut wire = Wire::from_stream(std::net::TcpStream::connect(old.address).unwrap());
    wire.send(&startup());
    wire.answer();
    // The primary is known from then on.
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
    let new = world.succeed(&old);
    new.wait_for_log("handover.taken");
    for (id, ..) in commands {
        if id == "waits-3" {
            // It waits for the first, and has reached nobody: it is sent away, in its place.
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
fn a_successor_that_is_killed_at_any_step_leaves_the_old_daemon_at_work() {
    let world = World::new("upgrade-killed");
    let old = world.start();
    let load = Load::new(old.address);
    load.more(50);
    // Once it has the descriptors, once it takes in clients, and at a time of chance in between.
    for (step, line) in ["handover.known", "handover.taken", "listens on "].into_iter().enumerate() {
        let mut new = world.succeed(&old);
        if line != "listens on " {
            new.wait_for_log(line);
        }
        new.kill();
        old.wait_for_log("handover.back");
        load.more(50);
        assert_eq!(old.run_config(&["status"]).0, 0, "after step {step}");
    }
    // What the killed ones did to the history does no harm: a change is taken and outlasts the daemon.
    let changed = format!("{}[tenant.new]\nquota_per_s = 5\n", world.settings);
    let file = world.operator.write("changed.toml", &changed);
    let (code, words) = old.run_config(&["apply", &file, "--confirm-within", "60"]);
    assert_eq!(code, 0, "{words}");
    assert_eq!(old.run_config(&["confirm"]).0, 0);
    let new = world.succeed(&old);
    new.wait_for_log("handover.stands");
    assert!(new.run_config(&["show"]).1.contains("quota_per_s = 5"));
    // Answers under way in a process that is killed are lost with it, and no others.
    let bad = load.end();
    assert!(bad.len() <= 4, "{bad:?}");
}

#[test]
fn a_successor_that_fails_its_first_seconds_hands_back() {
    let world = World::new("upgrade-bad");
    let old = world.start();
    let load = Load::new(old.address);
    load.more(50);
    // A new configuration under which nothing can be served: all machines are drained.
    let good = &world.settings;
    world
        .operator
        .write("dewferry.toml", &format!("{good}[override]\n\"s-1\" = \"drain\"\n\"s-2\" = \"drain\"\n"));
    let mut new = world.succeed(&old);
    new.wait_for_log("handover.yielded");
    assert_eq!(new.wait_for_exit().code(), Some(5));
    old.wait_for_log("handover.back");
    world.operator.write("dewferry.toml", good);
    load.more(100);
    assert_eq!(old.run_config(&["status"]).0, 0);
    drop(load.end());
}

#[test]
fn one_that_is_ending_or_does_not_listen_hands_nothing_over() {
    let world = World::new("upgrade-denied");
    let mut old = world.start();
    let refused = |what: &str| {
        let output = std::process::Command::new(PROGRAM)
            .args(["serve", "--take-over", "--config"])
            .arg(old.platform_file())
            .arg("--operator")
            .arg(world.operator.file())
            .output()
            .unwrap();
        let words = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code() == Some(2) && words.contains(what), "{words}");
    };
    let mut held = client(&old);
    held.send(&query(&request_sql("1", "reports")));
    assert_eq!(held.answer()[0].0, b'T');
    old.signal("TERM");
    old.wait_for_log("asked to end");
    refused("draining");
    assert_eq!(old.wait_for_exit().code(), Some(0));
    let output = std::process::Command::new(PROGRAM)
        .args(["serve", "--take-over", "--config", "/nowhere", "--operator", "/nowhere"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
}
