//! A fleet of real processes under its supervisor: starts, crashes, a killed supervisor, rolling restarts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const INSTANCES: usize = 5;

static NEXT_ID: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);

/// A fleet of poolers with one member.
struct Fixture {
    folder: OperatorFolder,
    file: PathBuf,
    listen: SocketAddr,
    supervisor: Child,
    _discovery: Discovery,
    _member: AnsweringMember,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let folder = OperatorFolder::new(name, "");
        let (member, discovery) =
            (AnsweringMember::new(|_| answer_with_role(b"\x9f", "writer")), Discovery::listen());
        let list = list(41, true, &[member.list_entry("s-1", "here")]);
        let platform = folder.0.join("platform.json");
        std::fs::write(&platform, platform_config(&list, &discovery)).unwrap();
        // Consecutive ports that are free now, below the range of ephemeral ports.
        let free = |from: u16| {
            (from..from + INSTANCES as u16).all(|p| std::net::TcpListener::bind(("127.0.0.1", p)).is_ok())
        };
        let first = 10_000 + (std::process::id() % 15_000) as u16 + name.len() as u16 * 100;
        let port = (first..32_000).chain(10_000..first).step_by(INSTANCES).find(|port| free(*port)).unwrap();
        let listen = SocketAddr::from(([127, 0, 0, 1], port));
        let (dir, operator) = (folder.0.join("fleet"), folder.0.join("dewferry.toml"));
        std::fs::write(&operator, "[daemon]\ndrain_for_s = 5.0\n").unwrap();
        let file = folder.0.join("fleet.toml");
        let text = format!(
            "dir = {dir:?}\nplatform = {platform:?}\noperator = {operator:?}\nlisten = \"{listen}\"\ninstances = {INSTANCES}\n\
             spread_s = 0.2\nbatch = 2\nsettle_s = 0.3\nready_within_s = 5.0\ncrash_within_s = 3.0\n"
        );
        std::fs::write(&file, text).unwrap();
        let supervisor = run(&file);
        Fixture { folder, file, listen, supervisor, _discovery: discovery, _member: member }
    }

    fn run_verb(&self, verb: &str) -> (i32, String) {
        let output = Command::new(PROGRAM).args(["fleet", verb]).arg(&self.file).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap(), String::from_utf8(text).unwrap())
    }

    fn rows(&self) -> Vec<serde_json::Value> {
        let output =
            Command::new(PROGRAM).args(["fleet", "status", "--json"]).arg(&self.file).output().unwrap();
        serde_json::from_slice::<serde_json::Value>(&output.stdout)
            .map(|answer| answer["instances"].as_array().cloned().unwrap_or_default())
            .unwrap_or_default()
    }

    fn pids(&self) -> Vec<u64> {
        self.rows().iter().map(|row| row["pid"].as_u64().unwrap_or_default()).collect()
    }

    /// Waits until all instances are ready and `holds` is true.
    fn wait_until_ready(&self, holds: impl Fn(&[serde_json::Value]) -> bool) {
        let started = Instant::now();
        loop {
            let rows = self.rows();
            let ready = rows.len() == INSTANCES
                && rows.iter().all(|row| row["state"] == "ready" && row["life"] == "ready");
            if ready && holds(&rows) {
                return;
            }
            assert!(started.elapsed() < Duration::from_secs(30), "{rows:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn wait_until_rolled(&self) {
        let started = Instant::now();
        while self.run_verb("status").1.contains("a roll is under way") {
            let log = || std::fs::read_to_string(self.folder.0.join("fleet/n0/log")).unwrap();
            assert!(started.elapsed() < Duration::from_secs(20), "{} {}", self.run_verb("status").1, log());
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a read to an instance; returns whether it is served.
    fn read_is_served(&self, n: usize) -> bool {
        let address = SocketAddr::new(self.listen.ip(), self.listen.port() + n as u16);
        let Ok(stream) = std::net::TcpStream::connect(address) else { return false };
        let mut wire = Wire::from_stream(stream);
        // An instance that closes the connection here has accepted no request.
        if !wire.try_send(&startup()) {
            return false;
        }
        wire.answer();
        // Two concurrent requests must not have the same id.
        let id = NEXT_ID.fetch_add(1, std::sync::atomic::Ordering::SeqCst).to_string();
        wire.try_send(&query(&request_sql(&id, "reports")))
            && wire.answer().first().is_some_and(|message| message.0 == b'T')
    }
}

fn run(file: &PathBuf) -> Child {
    Command::new(PROGRAM).args(["fleet", "run"]).arg(file).stdout(Stdio::null()).spawn().unwrap()
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let pids = self.pids();
        let _ = self.supervisor.kill();
        let _ = self.supervisor.wait();
        for pid in pids.into_iter().filter(|pid| *pid > 1) {
            let _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
        }
    }
}

#[test]
fn instances_outlive_their_supervisor_and_are_adopted_by_the_next() {
    let mut fixture = Fixture::new("fleet-found");
    fixture.wait_until_ready(|_| true);
    assert!((0..INSTANCES).all(|n| fixture.read_is_served(n)));
    // A killed instance is restarted, and no other instance is.
    let before = fixture.pids();
    Command::new("kill").args(["-9", &before[2].to_string()]).status().unwrap();
    fixture.wait_until_ready(|rows| rows[2]["pid"].as_u64() != Some(before[2]));
    let after = fixture.pids();
    assert!((0..INSTANCES).all(|n| (after[n] == before[n]) == (n != 2)), "{before:?} {after:?}");
    // After the supervisor is killed the instances still serve, and the next supervisor adopts them.
    fixture.supervisor.kill().unwrap();
    fixture.supervisor.wait().unwrap();
    assert!((0..INSTANCES).all(|n| fixture.read_is_served(n)));
    assert_eq!(fixture.run_verb("status").0, 2);
    fixture.supervisor = run(&fixture.file);
    fixture.wait_until_ready(|_| true);
    assert_eq!(fixture.pids(), after);
    // A second supervisor beside it does not start.
    let second = Command::new(PROGRAM).args(["fleet", "run"]).arg(&fixture.file).output().unwrap();
    assert_eq!(second.status.code(), Some(2));
    assert_eq!(fixture.run_verb("stop").0, 0);
    assert!(fixture.supervisor.wait().unwrap().success());
    assert!(!(0..INSTANCES).any(|n| fixture.read_is_served(n)));
}

#[test]
fn a_roll_loses_no_request_and_a_failing_roll_is_rolled_back() {
    let fixture = Fixture::new("fleet-roll");
    fixture.wait_until_ready(|_| true);
    let operator = fixture.folder.0.join("dewferry.toml");
    let valid_settings = "[daemon]\ndrain_for_s = 5.0\n[tenant.new]\nquota_per_s = 5\n";
    let before = fixture.pids();
    std::fs::write(&operator, valid_settings).unwrap();
    // One client for each instance sends reads to it, and to the next instance when the read is not served.
    let stop = std::sync::atomic::AtomicBool::new(false);
    let served = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..INSTANCES)
            .map(|n| {
                let (fixture, stop) = (&fixture, &stop);
                scope.spawn(move || {
                    let mut served = 0;
                    while !stop.load(std::sync::atomic::Ordering::SeqCst) {
                        let found =
                            (0..INSTANCES).any(|other| fixture.read_is_served((n + other) % INSTANCES));
                        assert!(found, "no instance serves");
                        served += 1;
                    }
                    served
                })
            })
            .collect();
        assert_eq!(fixture.run_verb("roll").0, 0);
        assert_eq!(fixture.run_verb("roll").0, 1, "a second roll was started beside the first");
        fixture.wait_until_rolled();
        stop.store(true, std::sync::atomic::Ordering::SeqCst);
        clients.into_iter().map(|client| client.join().unwrap()).sum::<usize>()
    });
    assert!(served > INSTANCES);
    fixture.wait_until_ready(|rows| {
        rows.iter().enumerate().all(|(n, row)| row["pid"].as_u64() != Some(before[n]))
    });
    // An invalid file changes nothing.
    let pids_before = fixture.pids();
    std::fs::write(&operator, "[pool]\nlisten = \"127.0.0.1:1\"\n").unwrap();
    let (code, output_text) = fixture.run_verb("roll");
    assert!(code == 1 && output_text.contains("pool.write_class"), "{output_text}");
    assert_eq!(fixture.pids(), pids_before);
    // A valid file with which a second instance cannot start, since both use the same port, is rolled back.
    let shared_port = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    std::fs::write(
        &operator,
        format!("{valid_settings}[pool]\nlisten = \"{shared_port}\"\nwrite_class = \"order-write\"\n"),
    )
    .unwrap();
    assert_eq!(fixture.run_verb("roll").0, 0);
    fixture.wait_until_rolled();
    fixture.wait_until_ready(|_| true);
    let after = fixture.pids();
    assert_ne!((after[0], after[1]), (pids_before[0], pids_before[1]));
    assert_eq!(after[2..], pids_before[2..], "instances that the roll had not reached were restarted");
    let text = std::fs::read_to_string(fixture.folder.0.join("fleet/n0/dewferry.toml")).unwrap();
    assert!(text.contains("quota_per_s = 5") && !text.contains("write_class"), "{text}");
    assert!((0..INSTANCES).all(|n| fixture.read_is_served(n)));
}

#[test]
fn an_invalid_fleet_file_is_reported_with_its_key() {
    let folder = OperatorFolder::new("fleet-file", "");
    let file = folder.0.join("fleet.toml");
    let run = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let output = Command::new(PROGRAM).args(["fleet", "status"]).arg(&file).output().unwrap();
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8(output.stderr).unwrap()
    };
    let base = "dir = \"/d\"\nplatform = \"/p\"\noperator = \"/o\"\nlisten = \"127.0.0.1:6400\"\n";
    assert!(run(base).contains("instances"));
    assert!(run(&format!("{base}instances = 0\n")).contains("instances: 0; accepted: 1 to 4096"));
    assert!(run(&format!("{base}instances = 4\nbatches = 2\n")).contains("batches"));
    assert!(
        run(&format!("{base}instances = 4\nspread_s = -1.0\n")).contains("spread_s: -1; accepted: 0 to 3600")
    );
    let port = base.replace("6400", "65535");
    assert!(run(&format!("{port}instances = 4\n")).contains("listen: no 4 ports from 127.0.0.1:65535 on"));
}
