//! Start and shutdown of the pooler: notifications to the service manager, pending replies and the PID file.

use std::fs::File;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::os::unix::net::UnixDatagram;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

/// A member that is not the primary: it rejects writes without running them.
fn replica() -> AnsweringMember {
    AnsweringMember::new(|_| {
        [frame(b'E', b"SERROR\0VERROR\0C25006\0Mread only\0\0"), frame(b'Z', b"I")].concat()
    })
}

fn start_pooler(member: &str, name: &str, settings: &str) -> (Pooler, Discovery, OperatorFolder) {
    let discovery = Discovery::listen();
    let operator = OperatorFolder::new(name, settings);
    let pooler =
        Pooler::start_with_operator(PROGRAM, &list(41, true, &[member.to_string()]), &discovery, &operator);
    (pooler, discovery, operator)
}

#[test]
fn sigterm_refuses_requests_waiting_for_a_primary_at_once() {
    let member = replica();
    let (mut pooler, _discovery, _operator) =
        start_pooler(&member.list_entry("s-1", "here"), "life-elected", "");
    let mut clients: Vec<Wire> = (0..300).map(|_| client(&pooler)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&query(&request_sql(&format!("w{n}"), "order-write")));
    }
    while !pooler.counters().contains("taken=300 ") {
        std::thread::sleep(Duration::from_millis(10));
    }
    let started = Instant::now();
    pooler.signal("TERM");
    let mut retry_delays: Vec<u64> = Vec::new();
    for client in &mut clients {
        let (code, detail) = client.error();
        assert_eq!(code, "53300");
        retry_delays.push(detail.expect("a retry delay in the detail").parse().unwrap());
        client.expect_closed();
    }
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    // The settings allow at most 500 ms, and the delays are spread so that clients don't all retry at once.
    assert!(retry_delays.iter().all(|millis| (250..=500).contains(millis)), "{retry_delays:?}");
    retry_delays.sort();
    retry_delays.dedup();
    assert!(retry_delays.len() > 50, "{retry_delays:?}");
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    assert!(pooler.wait_for_log(" ends: ").contains("refused=300"));
}

/// Guards issue 55: a client whose first empty query waited for the list kept the process after SIGTERM, for good.
#[test]
fn sigterm_ends_a_process_that_was_never_ready_beside_clients_that_wait_for_it() {
    let discovery = Discovery::listen();
    let mut pooler = Pooler::start(PROGRAM, &list(0, true, &[]), &discovery, &[]);
    let mut waiting = Wire::from_stream(TcpStream::connect(pooler.address).unwrap());
    waiting.send(&[startup(), query("")].concat());
    waiting.answer();
    let started_at = Instant::now();
    pooler.signal("TERM");
    assert_eq!(waiting.error().0, "57P03");
    waiting.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    assert!(started_at.elapsed() < Duration::from_millis(2_500), "{:?}", started_at.elapsed());
}

/// Guards issue 55, signals in series: one that came before a new process had read its configuration ended it.
#[test]
fn signals_that_come_while_the_configuration_is_read_end_nothing() {
    let discovery = Discovery::listen();
    let path = std::env::temp_dir().join(format!("dewferry-starting-{}.json", std::process::id()));
    let later_path = path.with_extension("later");
    let text = platform_config(&list(41, true, &[]), &discovery);
    std::fs::write(&later_path, &text).unwrap();
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut child =
        Command::new(PROGRAM).args(["serve", "--config"]).arg(&path).stderr(Stdio::piped()).spawn().unwrap();
    let signal = |name: &str| {
        let pid = child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    };
    // This returns once the process reads its configuration, which then lasts until the writer closes it.
    let mut pipe = File::options().write(true).open(&path).unwrap();
    signal("HUP");
    signal("USR1");
    std::fs::rename(&later_path, &path).unwrap();
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    std::thread::sleep(Duration::from_millis(300));
    signal("TERM");
    let mut log = String::new();
    child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0), "{log}");
    assert!(log.contains("reloads=1"), "{log}");
    std::fs::remove_file(&path).unwrap();
}

/// During shutdown, a request that waits to be repeated must not get the error that calls a further try
/// harmless.
#[test]
fn sigterm_fails_rather_than_refuses_a_write_that_may_have_run() {
    let member = ScriptedMember::listen();
    let (mut pooler, _discovery, _operator) =
        start_pooler(&member.list_entry("s-1", "here"), "life-repeat", "");
    let mut writer = client(&pooler);
    writer.send(&query(&request_sql("0", "order-write")));
    let mut wire = member.accept();
    read_query(&mut wire);
    wire.send(&answer_with_role(b"\x9f", "writer"));
    writer.answer();
    writer.send(&query(&request_sql("1", "order-write")));
    assert!(read_query(&mut wire).contains("id=1,"));
    // The connection breaks after the last byte of the request, and no other can be opened, so the repeat
    // waits.
    drop((wire, member));
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
fn requests_pending_at_the_drain_timeout_get_an_error_and_are_logged() {
    let member = ScriptedMember::listen();
    let (mut pooler, _discovery, _operator) =
        start_pooler(&member.list_entry("s-1", "here"), "life-cut", "[daemon]\ndrain_for_s = 1.0\n");
    let (mut reader, mut idle) = (client(&pooler), client(&pooler));
    reader.send(&query(&request_sql("1", "reports")));
    let mut wire = member.accept();
    read_query(&mut wire);
    pooler.signal("TERM");
    idle.expect_closed();
    // The member never answers, so the request may have run.
    assert_eq!(reader.error().0, "58000");
    reader.expect_closed();
    wire.expect_closed();
    pooler.wait_for_log("ending.cut");
    assert_eq!(pooler.wait_for_exit().code(), Some(0), "a pending reply was not sent");
}

#[test]
fn a_third_signal_ends_the_process_and_logs_the_pending_requests() {
    let member = ScriptedMember::listen();
    let (mut pooler, _discovery, _operator) =
        start_pooler(&member.list_entry("s-1", "here"), "life-third", "");
    let mut reader = client(&pooler);
    reader.send(&query(&request_sql("the-one", "reports")));
    let mut wire = member.accept();
    read_query(&mut wire);
    pooler.signal("TERM");
    pooler.wait_for_log("asked to end");
    // A reload requested during shutdown is rejected.
    pooler.signal("HUP");
    pooler.wait_for_log("not read again");
    pooler.signal("INT");
    // After the second signal no more connections are accepted.
    while std::net::TcpStream::connect(pooler.address).is_ok() {
        std::thread::sleep(Duration::from_millis(5));
    }
    pooler.signal("TERM");
    assert!(pooler.wait_for_log("ending.owed").contains("the-one"));
    assert_eq!(pooler.wait_for_exit().code(), Some(4));
}

#[test]
fn the_service_manager_is_notified_of_each_stage_and_by_the_watchdog() {
    let member = replica();
    let folder = OperatorFolder::new("life-manager", "");
    let path = folder.0.join("notify");
    let manager = UnixDatagram::bind(&path).unwrap();
    manager.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let discovery = Discovery::listen();
    let list = list(41, true, &[member.list_entry("s-1", "here")]);
    let environment = [("NOTIFY_SOCKET", path.to_str().unwrap()), ("WATCHDOG_USEC", "100000")];
    let mut pooler = Pooler::start_with_environment(PROGRAM, &list, &discovery, &folder, &environment);
    let wait_for_notification = |expected: &str| {
        let mut bytes = [0; 512];
        loop {
            let count = match manager.recv(&mut bytes) {
                // A signal interrupted the call before it read anything.
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                result => result.unwrap(),
            };
            let text = std::str::from_utf8(&bytes[..count]).unwrap();
            if text.contains(expected) {
                return text.to_string();
            }
        }
    };
    assert_eq!(wait_for_notification("READY=1"), "READY=1\nSTATUS=serving");
    wait_for_notification("WATCHDOG=1");
    wait_for_notification("WATCHDOG=1");
    pooler.signal("HUP");
    assert!(wait_for_notification("RELOADING=1").contains("MONOTONIC_USEC="));
    wait_for_notification("READY=1");
    pooler.signal("TERM");
    wait_for_notification("STOPPING=1");
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}

#[test]
fn two_poolers_cannot_use_the_same_pid_file() {
    let member = replica();
    let folder = OperatorFolder::new("life-pid", "");
    let pid = folder.0.join("pid");
    // A PID file left by a killed process is replaced.
    std::fs::write(&pid, "4194999\n").unwrap();
    folder.write("dewferry.toml", &format!("[daemon]\npid_file = {:?}\n", pid.to_str().unwrap()));
    let (discovery, list) = (Discovery::listen(), list(41, true, &[member.list_entry("s-1", "here")]));
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
    let error_text = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(error_text.contains(&format!("process {} runs with it", pooler.pid())), "{error_text}");
    assert_eq!(number(&pid), pooler.pid().to_string(), "the PID file was changed");
    pooler.signal("TERM");
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    assert!(!pid.exists());
}
