//! A fleet of real processes under its supervisor: starts, crashes, a supervisor that is killed, rolls.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const COUNT: usize = 5;

static ASKED: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);

/// A fleet before one machine.
struct World {
    folder: OperatorFolder,
    file: PathBuf,
    listen: SocketAddr,
    supervisor: Child,
    _discovery: Discovery,
    _db: AnsweringMember,
}

impl World {
    fn new(name: &str) -> World {
        let folder = OperatorFolder::new(name, "");
        let (db, discovery) =
            (AnsweringMember::new(|_| answer_with_role(b"\x9f", "writer")), Discovery::listen());
        let list = list(41, true, &[db.list_entry("s-1", "here")]);
        let platform = folder.0.join("platform.json");
        std::fs::write(&platform, platform_config(&list, &discovery)).unwrap();
        // Ports that are free now, one behind the other, below those that clients get.
        let free = |from: u16| {
            (from..from + COUNT as u16).all(|p| std::net::TcpListener::bind(("127.0.0.1", p)).is_ok())
        };
        let first = 10_000 + (std::process::id() % 15_000) as u16 + name.len() as u16 * 100;
        let port = (first..32_000).chain(10_000..first).step_by(COUNT).find(|port| free(*port)).unwrap();
        let listen = SocketAddr::from(([127, 0, 0, 1], port));
        let (dir, operator) = (folder.0.join("fleet"), folder.0.join("dewferry.toml"));
        std::fs::write(&operator, "[daemon]\ndrain_for_s = 5.0\n").unwrap();
        let file = folder.0.join("fleet.toml");
        let text = format!(
            "dir = {dir:?}\nplatform = {platform:?}\noperator = {operator:?}\nlisten = \"{listen}\"\ninstances = {COUNT}\n\
             spread_s = 0.2\nbatch = 2\nsettle_s = 0.3\nready_within_s = 5.0\ncrash_within_s = 3.0\n"
        );
        std::fs::write(&file, text).unwrap();
        let supervisor = run(&file);
        World { folder, file, listen, supervisor, _discovery: discovery, _db: db }
    }

    fn ask(&self, verb: &str) -> (i32, String) {
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

    /// Waits until all are ready and this holds.
    fn settled(&self, holds: impl Fn(&[serde_json::Value]) -> bool) {
        let begun = Instant::now();
        loop {
            let rows = self.rows();
            let ready = rows.len() == COUNT
                && rows.iter().all(|row| row["state"] == "ready" && row["life"] == "ready");
            if ready && holds(&rows) {
                return;
            }
            assert!(begun.elapsed() < Duration::from_secs(30), "{rows:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn rolled(&self) {
        let begun = Instant::now();
        while self.ask("status").1.contains("a roll is under way") {
            let log = || std::fs::read_to_string(self.folder.0.join("fleet/n0/log")).unwrap();
            assert!(begun.elapsed() < Duration::from_secs(20), "{} {}", self.ask("status").1, log());
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// A read through an instance.
    fn reads(&self, n: usize) -> bool {
        let address = SocketAddr::new(self.listen.ip(), self.listen.port() + n as u16);
        let Ok(stream) = std::net::TcpStream::connect(address) else { return false };
        let mut wire = Wire::from_stream(stream);
        // One that ends between requests has taken nothing.
        if !wire.try_send(&startup()) {
            return false;
        }
        wire.answer();
        // No two requests of one id at a time.
        let id = ASKED.fetch_add(1, std::sync::atomic::Ordering::SeqCst).to_string();
        wire.try_send(&query(&request_sql(&id, "reports")))
            && wire.answer().first().is_some_and(|message| message.0 == b'T')
    }
}

fn run(file: &PathBuf) -> Child {
    Command::new(PROGRAM).args(["fleet", "run"]).arg(file).stdout(Stdio::null()).spawn().unwrap()
}

impl Drop for World {
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
fn instances_outlive_their_supervisor_and_are_found_again() {
    let mut world = World::new("fleet-found");
    world.settled(|_| true);
    assert!((0..COUNT).all(|n| world.reads(n)));
    // One that is killed comes back, and no other is touched.
    let before = world.pids();
    Command::new("kill").args(["-9", &before[2].to_string()]).status().unwrap();
    world.settled(|rows| rows[2]["pid"].as_u64() != Some(before[2]));
    let after = world.pids();
    assert!((0..COUNT).all(|n| (after[n] == before[n]) == (n != 2)), "{before:?} {after:?}");
    // The supervisor is killed: they serve on; the next one finds them.
    world.supervisor.kill().unwrap();
    world.supervisor.wait().unwrap();
    assert!((0..COUNT).all(|n| world.reads(n)));
    assert_eq!(world.ask("status").0, 2);
    world.supervisor = run(&world.file);
    world.settled(|_| true);
    assert_eq!(world.pids(), after);
    // A second one beside it does not begin.
    let second = Command::new(PROGRAM).args(["fleet", "run"]).arg(&world.file).output().unwrap();
    assert_eq!(second.status.code(), Some(2));
    assert_eq!(world.ask("stop").0, 0);
    assert!(world.supervisor.wait().unwrap().success());
    assert!(!(0..COUNT).any(|n| world.reads(n)));
}

#[test]
fn a_roll_loses_nothing_and_one_that_does_harm_is_undone() {
    let world = World::new("fleet-roll");
    world.settled(|_| true);
    let operator = world.folder.0.join("dewferry.toml");
    let good = "[daemon]\ndrain_for_s = 5.0\n[tenant.new]\nquota_per_s = 5\n";
    let before = world.pids();
    std::fs::write(&operator, good).unwrap();
    // A client of each instance that asks as long as it is there, and goes elsewhere when its connection ends.
    let over = std::sync::atomic::AtomicBool::new(false);
    let served = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..COUNT)
            .map(|n| {
                let (world, over) = (&world, &over);
                scope.spawn(move || {
                    let mut served = 0;
                    while !over.load(std::sync::atomic::Ordering::SeqCst) {
                        let found = (0..COUNT).any(|other| world.reads((n + other) % COUNT));
                        assert!(found, "no instance serves");
                        served += 1;
                    }
                    served
                })
            })
            .collect();
        assert_eq!(world.ask("roll").0, 0);
        assert_eq!(world.ask("roll").0, 1, "one at a time");
        world.rolled();
        over.store(true, std::sync::atomic::Ordering::SeqCst);
        clients.into_iter().map(|client| client.join().unwrap()).sum::<usize>()
    });
    assert!(served > COUNT);
    world.settled(|rows| rows.iter().enumerate().all(|(n, row)| row["pid"].as_u64() != Some(before[n])));
    // A file that does not fit alters nothing.
    let rolled = world.pids();
    std::fs::write(&operator, "[pool]\nlisten = \"127.0.0.1:1\"\n").unwrap();
    let (code, words) = world.ask("roll");
    assert!(code == 1 && words.contains("pool.write_class"), "{words}");
    assert_eq!(world.pids(), rolled);
    // One that fits and with which a second instance cannot come up, since both want one port: undone.
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    std::fs::write(&operator, format!("{good}[pool]\nlisten = \"{taken}\"\nwrite_class = \"order-write\"\n"))
        .unwrap();
    assert_eq!(world.ask("roll").0, 0);
    world.rolled();
    world.settled(|_| true);
    let after = world.pids();
    assert_ne!((after[0], after[1]), (rolled[0], rolled[1]));
    assert_eq!(after[2..], rolled[2..], "what the roll had not come to is left");
    let text = std::fs::read_to_string(world.folder.0.join("fleet/n0/dewferry.toml")).unwrap();
    assert!(text.contains("quota_per_s = 5") && !text.contains("write_class"), "{text}");
    assert!((0..COUNT).all(|n| world.reads(n)));
}

#[test]
fn a_fleet_s_file_that_cannot_be_used_is_told_by_its_key() {
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
