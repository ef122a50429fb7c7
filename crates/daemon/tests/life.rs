//! A daemon's beginning and end: what a service manager hears, and what becomes of those to whom an answer is owed.

use std::os::unix::net::UnixDatagram;
use std::time::{Duration, Instant};

use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

/// A machine that is no primary: it turns writes away untouched.
fn replica() -> AnsweringMember {
    AnsweringMember::new(|_| {
        [frame(b'E', b"SERROR\0VERROR\0C25006\0Mread only\0\0"), frame(b'Z', b"I")].concat()
    })
}

fn operated(db: &str, name: &str, settings: &str) -> (Pooler, Discovery, OperatorFolder) {
    let discovery = Discovery::listen();
    let operator = OperatorFolder::new(name, settings);
    let pooler =
        Pooler::start_with_operator(PROGRAM, &list(41, true, &[db.to_string()]), &discovery, &operator);
    (pooler, discovery, operator)
}

#[test]
fn those_that_wait_for_a_primary_are_sent_away_at_once() {
    let db = replica();
    let (mut pooler, _discovery, _operator) = operated(&db.list_entry("s-1", "here"), "life-elected", "");
    let mut clients: Vec<Wire> = (0..300).map(|_| client(&pooler)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&query(&request_sql(&format!("w{n}"), "order-write")));
    }
    while !pooler.counters().contains("taken=300 ") {
        std::thread::sleep(Duration::from_millis(10));
    }
    let begun = Instant::now();
    pooler.signal("TERM");
    let mut away: Vec<u64> = Vec::new();
    for client in &mut clients {
        let (code, detail) = client.error();
        assert_eq!(code, "53300");
        away.push(detail.expect("when to come back").parse().unwrap());
        client.expect_closed();
    }
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    // The settings' longest is 500 ms, and not all come back in one beat.
    assert!(away.iter().all(|millis| (250..=500).contains(millis)), "{away:?}");
    away.sort();
    away.dedup();
    assert!(away.len() > 50, "{away:?}");
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    assert!(pooler.wait_for_log(" ends: ").contains("refused=300"));
}

/// Guards the rule on repeats at the end: who waits for a repeat is not told that another try is harmless.
#[test]
fn a_write_that_may_have_run_and_waits_for_its_repeat_is_not_sent_away_as_refused() {
    let db = ScriptedMember::listen();
    let (mut pooler, _discovery, _operator) = operated(&db.list_entry("s-1", "here"), "life-repeat", "");
    let mut writer = client(&pooler);
    writer.send(&query(&request_sql("0", "order-write")));
    let mut wire = db.accept();
    read_query(&mut wire);
    wire.send(&answer_with_role(b"\x9f", "writer"));
    writer.answer();
    writer.send(&query(&request_sql("1", "order-write")));
    assert!(read_query(&mut wire).contains("id=1,"));
    // Its connection breaks after the last byte, and no other can be made: it waits.
    drop((wire, db));
    while !pooler.counters().contains(" reset=1 ") {}
    let mut other = client(&pooler);
    other.send(&query(&request_sql("2", "order-write")));
    while !pooler.counters().contains("taken=3 ") {}
    pooler.signal("TERM");
    assert_eq!(writer.error(), ("58000".to_string(), None));
    assert_eq!(other.error().0, "53300");
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}

#[test]
fn what_outlasts_the_time_to_drain_is_answered_and_logged() {
    let db = ScriptedMember::listen();
    let (mut pooler, _discovery, _operator) =
        operated(&db.list_entry("s-1", "here"), "life-cut", "[daemon]\ndrain_for_s = 1.0\n");
    let (mut reader, mut idle) = (client(&pooler), client(&pooler));
    reader.send(&query(&request_sql("1", "reports")));
    let mut wire = db.accept();
    read_query(&mut wire);
    pooler.signal("TERM");
    idle.expect_closed();
    // The machine never answers: it may have run there.
    assert_eq!(reader.error().0, "58000");
    reader.expect_closed();
    wire.expect_closed();
    pooler.wait_for_log("ending.cut");
    assert_eq!(pooler.wait_for_exit().code(), Some(0), "all that was owed is given");
}

#[test]
fn a_third_signal_ends_it_with_what_is_owed_on_record() {
    let db = ScriptedMember::listen();
    let (mut pooler, _discovery, _operator) = operated(&db.list_entry("s-1", "here"), "life-third", "");
    let mut reader = client(&pooler);
    reader.send(&query(&request_sql("the-one", "reports")));
    let mut wire = db.accept();
    read_query(&mut wire);
    pooler.signal("TERM");
    pooler.wait_for_log("asked to end");
    // A change that is asked for now is not read.
    pooler.signal("HUP");
    pooler.wait_for_log("not read again");
    pooler.signal("INT");
    // It is hurried: nobody is taken in any more.
    while std::net::TcpStream::connect(pooler.address).is_ok() {
        std::thread::sleep(Duration::from_millis(5));
    }
    pooler.signal("TERM");
    assert!(pooler.wait_for_log("ending.owed").contains("the-one"));
    assert_eq!(pooler.wait_for_exit().code(), Some(4));
}

#[test]
fn a_service_manager_hears_of_each_stage_and_of_a_loop_that_turns() {
    let db = replica();
    let folder = OperatorFolder::new("life-manager", "");
    let path = folder.0.join("notify");
    let manager = UnixDatagram::bind(&path).unwrap();
    manager.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let discovery = Discovery::listen();
    let list = list(41, true, &[db.list_entry("s-1", "here")]);
    let environment = [("NOTIFY_SOCKET", path.to_str().unwrap()), ("WATCHDOG_USEC", "100000")];
    let mut pooler = Pooler::start_with_environment(PROGRAM, &list, &discovery, &folder, &environment);
    let hear = |what: &str| {
        let mut bytes = [0; 512];
        loop {
            let count = match manager.recv(&mut bytes) {
                // A signal came in the middle: nothing was read.
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                result => result.unwrap(),
            };
            let text = std::str::from_utf8(&bytes[..count]).unwrap();
            if text.contains(what) {
                return text.to_string();
            }
        }
    };
    assert_eq!(hear("READY=1"), "READY=1\nSTATUS=serving");
    hear("WATCHDOG=1");
    hear("WATCHDOG=1");
    pooler.signal("HUP");
    assert!(hear("RELOADING=1").contains("MONOTONIC_USEC="));
    hear("READY=1");
    pooler.signal("TERM");
    hear("STOPPING=1");
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}

#[test]
fn two_daemons_do_not_hold_one_pid_file() {
    let db = replica();
    let folder = OperatorFolder::new("life-pid", "");
    let pid = folder.0.join("pid");
    // What one that was killed has left is taken over.
    std::fs::write(&pid, "4194999\n").unwrap();
    folder.write("dewferry.toml", &format!("[daemon]\npid_file = {:?}\n", pid.to_str().unwrap()));
    let (discovery, list) = (Discovery::listen(), list(41, true, &[db.list_entry("s-1", "here")]));
    let mut pooler = Pooler::start_with_operator(PROGRAM, &list, &discovery, &folder);
    let number = |path: &std::path::Path| std::fs::read_to_string(path).unwrap().trim().to_string();
    assert_eq!(number(&pid), pooler.pid().to_string());
    let second = std::process::Command::new(PROGRAM)
        .args(["serve", "--config"])
        .arg(pooler.platform_file())
        .arg("--operator")
        .arg(folder.file())
        .arg("--state")
        .arg(folder.0.join("other"))
        .output()
        .unwrap();
    assert_eq!(second.status.code(), Some(2));
    let words = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(words.contains(&format!("process {} runs with it", pooler.pid())), "{words}");
    assert_eq!(number(&pid), pooler.pid().to_string(), "left as it was");
    pooler.signal("TERM");
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    assert!(!pid.exists());
}
