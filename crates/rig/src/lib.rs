//! Several processes of the program before stand-in db machines, with a relay between every ordered pair of them that
//! loses, delays, repeats, spoils and cuts. Schedules are drawn by a seed and printed. No process outlives the rig.

mod control;
mod load;
mod process;
mod relay;
mod store;

use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use control::ControlInstances;
pub use load::{Load, LoadTotals};
use process::Process;
pub use relay::{Faults, Relay};
pub use store::Store;

/// Far longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(20);
const KEY: &str = "5be2a07c11d4403f9e7a6c2d8b1f0e935be2a07c11d4403f9e7a6c2d8b1f0e93";

static RIGS: AtomicUsize = AtomicUsize::new(0);

/// Settings as a deployment's might be: a write that should take a second at the most, session reads, bounded reads.
const SETTINGS: &str = r#"{"classes":[
{"name":"browse","aim":0.75,"deadline":2.5,"effect":"read_like","value":1},
{"name":"own-orders","aim":0.4,"deadline":1.5,"effect":"read_like","value":1},
{"name":"reports","aim":0.75,"deadline":3,"effect":"read_like","value":1},
{"name":"order-write","aim":1,"deadline":3,"effect":"idempotency_key","group":"cell","dedupWindow":2,"value":1}],
"customers":[{"name":"acme","quotaPerS":100000}],"zones":["here","there"],"zone":ZONE,"fleetSize":FLEET,"tick":0.005,
"registryMode":"subscribe","invariants":{"askWithin":10,"coldFrom":0.2,"warmUp":1,"tipMultiple":3,"fall":1},
"limits":{"cancel":true,"connectTimeout":0.25,"keepalive":15,"maxAttempts":6,"maxRetryAfter":0.5,"probes":PROBES,"retryAfter":true},
"specifics":{"consistency":["bounded","session","any","write"],"stalenessBound":[3,0,0,0],"whenBehind":"refuse","writeMarks":"remembered"}}"#;

/// What a rig is made of.
#[derive(Clone, Debug)]
pub struct RigConfig {
    pub instances: usize,
    /// Whether they talk.
    pub exchange_state: bool,
    /// Whether each has a folder.
    pub state_folders: bool,
    /// How far the replica is behind.
    pub replica_lag: Duration,
    pub probes: bool,
    /// Control instances that keep whose sessions are whose, in place of talk of all with all; none at 0.
    pub control: usize,
}

/// An instance's place.
pub struct Instance {
    pub name: String,
    /// Where its clients connect.
    pub listen: SocketAddr,
    process: Process,
}

/// All of it.
pub struct Rig {
    pub shape: RigConfig,
    pub store: Arc<Store>,
    pub instances: Vec<Instance>,
    /// The relay from one to another.
    pub relays: Vec<Vec<Option<Relay>>>,
    /// The control instances, where there are any.
    pub control: Option<ControlInstances>,
    program: PathBuf,
    folder: PathBuf,
    peers: Vec<SocketAddr>,
}

/// An address that nobody has, on UDP and TCP: below those that the kernel hands out, or a connection of somebody's could take
/// it while its process is down.
fn free() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    loop {
        let place = std::process::id() as usize * 131 + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (place % 18_000) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Rig {
    /// All instances, started, listening.
    pub fn new(program: &str, shape: RigConfig) -> Rig {
        let number = RIGS.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("dewferry-rig-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let store = Store::new(shape.replica_lag);
        let peers: Vec<SocketAddr> = (0..shape.instances).map(|_| free()).collect();
        let relay = |a: usize, b: usize| (a != b).then(|| Relay::new(peers[b], (a * 1_000 + b) as u64));
        let relays =
            (0..shape.instances).map(|a| (0..shape.instances).map(|b| relay(a, b)).collect()).collect();
        let seat = |n| Instance { name: format!("n{n}"), listen: free(), process: Process::default() };
        let seats = (0..shape.instances).map(seat).collect();
        let program = PathBuf::from(program);
        let control = (shape.control > 0)
            .then(|| ControlInstances::new(&program, &folder, shape.control, shape.instances));
        let mut rig = Rig { shape, store, instances: seats, relays, control, program, folder, peers };
        rig.write_key(KEY);
        if let Some(control) = &mut rig.control {
            (0..control.count()).for_each(|n| control.start(n));
        }
        for n in 0..rig.instances.len() {
            rig.start(n);
        }
        (0..rig.instances.len()).for_each(|n| rig.wait_until_listening(n));
        rig
    }

    /// Puts a key in the file that all read at their start.
    pub fn write_key(&self, text: &str) {
        use std::io::Write;
        use std::os::unix::fs::OpenOptionsExt;
        let path = self.folder.join("key");
        let _ = std::fs::remove_file(&path);
        let mut options = std::fs::OpenOptions::new();
        let mut file = options.write(true).create_new(true).mode(0o600).open(path).expect("a key file");
        file.write_all(text.as_bytes()).expect("a key");
    }

    /// The folder of one.
    pub fn state_folder(&self, n: usize) -> PathBuf {
        self.folder.join(format!("dir-{n}"))
    }

    fn operator(&self, n: usize) -> String {
        let control = self.folder.join(format!("control-{n}"));
        let mut text = format!(
            "control.socket = \"{}\"\ndaemon.drain_for_s = 1.0\nlog.level = \"info\"\n",
            control.display()
        );
        if let Some(control) = &self.control {
            text += &self.peers_section(n, &control.listed());
            text += &control.routes(n);
            for (other, relay) in self.relays[n].iter().enumerate() {
                if let Some(relay) = relay {
                    text += &route(&self.peers[other].to_string(), relay.address);
                }
            }
        } else if self.shape.exchange_state {
            // Each is reached over its relay, by whoever asks at a seed, too.
            let seeds = (0..self.peers.len()).map(|other| match &self.relays[n][other] {
                Some(relay) => format!("\"{}\"", relay.address),
                None => format!("\"{}\"", self.peers[n]),
            });
            let seeds: Vec<String> = seeds.collect();
            let dir =
                self.shape.state_folders.then(|| format!("dir = \"{}\"\n", self.state_folder(n).display()));
            let more = format!("seeds = [{}]\n{}", seeds.join(", "), dir.unwrap_or_default());
            text += &self.peers_section(n, &more);
            for (other, relay) in self.relays[n].iter().enumerate() {
                if let Some(relay) = relay {
                    text += &route(&format!("n{other}"), relay.address);
                }
            }
        }
        text
    }

    /// The beginning of `[peers]` in the operator's file of one.
    fn peers_section(&self, n: usize, more: &str) -> String {
        let key = self.folder.join("key");
        format!("[peers]\nlisten = \"{}\"\nkeys = [\"{}\"]\n{more}", self.peers[n], key.display())
    }

    /// Starts one.
    pub fn start(&mut self, n: usize) {
        let zone = (n % 2).to_string();
        let settings = SETTINGS
            .replace("ZONE", &zone)
            .replace("FLEET", &self.shape.instances.to_string())
            .replace("PROBES", &self.shape.probes.to_string());
        let listen = self.instances[n].listen;
        let text = format!(
            r#"{{"name":"n{n}","listen":"{listen}","discovery":"127.0.0.1:1","seed":"{:x}",
            "limits":{{"memory_mb":192,"sockets":512}},"known":{},"settings":{settings}}}"#,
            fastrand::Rng::new().u64(1..),
            self.store.list()
        );
        let (platform, operator) =
            (self.folder.join(format!("n{n}.json")), self.folder.join(format!("n{n}.toml")));
        std::fs::write(&platform, text).expect("a file");
        std::fs::write(&operator, self.operator(n)).expect("a file");
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.log_file(n)).expect("a log");
        let mut command = Command::new(&self.program);
        command.args(["serve", "--config"]).arg(&platform).arg("--operator").arg(&operator);
        self.instances[n].process.start(command.stderr(Stdio::from(log)));
    }

    /// The log of one.
    pub fn log_file(&self, n: usize) -> PathBuf {
        self.folder.join(format!("n{n}.log"))
    }

    /// Waits until one takes clients in.
    pub fn wait_until_listening(&self, n: usize) {
        let begun = Instant::now();
        while TcpStream::connect(self.instances[n].listen).is_err() {
            let log = || std::fs::read_to_string(self.log_file(n)).unwrap_or_default();
            assert!(begun.elapsed() < PATIENCE, "n{n} does not listen: {}", log());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether one runs.
    pub fn is_running(&self, n: usize) -> bool {
        self.instances[n].process.runs()
    }

    /// SIGKILL.
    pub fn kill(&mut self, n: usize) {
        self.instances[n].process.kill();
    }

    /// SIGTERM, and its end.
    pub fn terminate(&mut self, n: usize) {
        let Instance { name, process, .. } = &mut self.instances[n];
        process.end(name);
    }

    /// SIGSTOP or SIGCONT.
    pub fn set_stopped(&mut self, n: usize, stopped: bool) {
        self.instances[n].process.stop(stopped);
    }

    /// Changes what the relays between two sets do, both ways.
    pub fn change_faults_between(&self, some: &[usize], change: impl Fn(&mut Faults)) {
        for (a, row) in self.relays.iter().enumerate() {
            for (b, relay) in row.iter().enumerate() {
                if some.contains(&a) != some.contains(&b) {
                    relay.iter().for_each(|relay| relay.change_faults(&change));
                }
            }
        }
    }

    /// Changes what all relays do.
    pub fn change_all_faults(&self, change: impl Fn(&mut Faults)) {
        self.relays.iter().flatten().flatten().for_each(|relay| relay.change_faults(&change));
    }

    /// Runs `dewferry peers` at one; what it prints.
    pub fn run_peers_command(&self, n: usize, args: &[&str]) -> String {
        let output = Command::new(&self.program)
            .arg("peers")
            .args(args)
            .env("DEWFERRY_CONTROL", self.folder.join(format!("control-{n}")))
            .output()
            .expect("the program runs");
        String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
    }

    /// What one says of itself and the others.
    pub fn status(&self, n: usize) -> serde_json::Value {
        serde_json::from_str(&self.run_peers_command(n, &["status", "--json"])).unwrap_or_default()
    }

    /// Waits until all that run hold the same and count each other as alive, or have leases of every group of control
    /// instances; how long that took. None where it does not come to that.
    pub fn wait_until_converged(&self, patience: Duration) -> Option<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < patience {
            let running: Vec<usize> = (0..self.instances.len()).filter(|n| self.is_running(*n)).collect();
            let all: Vec<serde_json::Value> = running.iter().map(|n| self.status(*n)).collect();
            let met = match &self.control {
                Some(_) => all.iter().all(has_every_quorum),
                None => all_agree(&all),
            };
            if met {
                return Some(begun.elapsed());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }
}

impl Rig {
    /// Sessions at work, moving at random over all instances, through what is done. Panics where a read was stale, where they
    /// did hardly anything, or where the instances do not meet in `patience` afterwards.
    pub fn run_under_load(
        &mut self,
        seed: u64,
        patience: Duration,
        does: impl FnOnce(&mut Rig),
    ) -> LoadTotals {
        const SESSIONS: usize = 6;
        const LATER: Duration = Duration::from_millis(1_000);
        const MARGIN: Duration = Duration::from_millis(500);
        let places = self.instances.iter().map(|seat| seat.listen).collect();
        let load = Load::new(places, SESSIONS, LATER, seed);
        std::thread::sleep(MARGIN);
        does(self);
        std::thread::sleep(MARGIN);
        let sums = load.finish();
        assert_eq!(
            (sums.stale_reads, sums.stale_delayed_reads),
            (0, 0),
            "of {} and {}",
            sums.reads,
            sums.delayed_reads
        );
        assert!(sums.reads > 50 && sums.writes > 20, "{} reads, {} writes", sums.reads, sums.writes);
        assert!(self.wait_until_converged(patience).is_some(), "{:#}", self.status(0));
        sums
    }
}

/// Whether an instance has leases of a quorum of every group of control instances.
fn has_every_quorum(status: &serde_json::Value) -> bool {
    let groups = status["groups"].as_u64();
    groups.is_some() && status["groups_with_quorum"].as_u64() == groups
}

/// Whether instances that talk hold the same and count each other as alive.
fn all_agree(all: &[serde_json::Value]) -> bool {
    let same = all.iter().all(|status| status["digest"].is_string() && status["digest"] == all[0]["digest"]);
    let alive = |status: &serde_json::Value| {
        let others = status["instances"].as_array().into_iter().flatten();
        others.filter(|other| other["state"] == "alive").count() == all.len()
    };
    same && all.iter().all(alive)
}

/// A route in an operator's file.
fn route(name: &str, address: SocketAddr) -> String {
    format!("[[peers.route]]\nname = \"{name}\"\naddress = \"{address}\"\n")
}

impl Drop for Rig {
    fn drop(&mut self) {
        for n in 0..self.instances.len() {
            self.kill(n);
        }
        if std::thread::panicking() {
            eprintln!("the logs are kept in {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
