//! Several pooler processes in front of stand-in members. A relay between every ordered pair of poolers can
//! lose, delay, duplicate, corrupt and block traffic. All processes are killed when the rig is dropped.

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

/// How long a process may take to start listening or to exit: far longer than it takes unless it fails.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(20);
const PEER_KEY: &str = "5be2a07c11d4403f9e7a6c2d8b1f0e935be2a07c11d4403f9e7a6c2d8b1f0e93";

static RIG_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Settings like those of a deployment: bounded reads, session reads, reads without a bound, and writes that
/// should take at most a second.
const SETTINGS: &str = r#"{"classes":[
{"name":"browse","aim":0.75,"deadline":2.5,"effect":"read_like","value":1},
{"name":"own-orders","aim":0.4,"deadline":1.5,"effect":"read_like","value":1},
{"name":"reports","aim":0.75,"deadline":3,"effect":"read_like","value":1},
{"name":"order-write","aim":1,"deadline":3,"effect":"idempotency_key","group":"cell","dedupWindow":2,"value":1}],
"customers":[{"name":"acme","quotaPerS":100000}],"zones":["here","there"],"zone":ZONE,"fleetSize":FLEET,"tick":0.005,
"registryMode":"subscribe","invariants":{"askWithin":10,"coldFrom":0.2,"warmUp":1,"tipMultiple":3,"fall":1},
"limits":{"cancel":true,"connectTimeout":0.25,"keepalive":15,"maxAttempts":6,"maxRetryAfter":0.5,"probes":PROBES,"retryAfter":true},
"specifics":{"consistency":["bounded","session","any","write"],"stalenessBound":[3,0,0,0],"whenBehind":"refuse","writeMarks":"remembered"}}"#;

/// The configuration of a rig.
#[derive(Clone, Debug)]
pub struct RigConfig {
    pub instances: usize,
    /// Whether the instances exchange state.
    pub exchange_state: bool,
    /// Whether each instance stores its state in a folder.
    pub state_folders: bool,
    /// The lag of the replica.
    pub replica_lag: Duration,
    pub probes: bool,
    /// Number of control instances, which keep the session directory in place of a state exchange among
    /// all instances. None where 0.
    pub control: usize,
}

/// A pooler of the rig.
pub struct Instance {
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    process: Process,
}

/// Pooler processes, their relays and the stand-in members.
pub struct Rig {
    pub config: RigConfig,
    pub store: Arc<Store>,
    pub instances: Vec<Instance>,
    /// Relays, indexed by the sending and then by the receiving instance.
    pub relays: Vec<Vec<Option<Relay>>>,
    /// The control instances, if there are any.
    pub control: Option<ControlInstances>,
    program: PathBuf,
    folder: PathBuf,
    peer_addresses: Vec<SocketAddr>,
}

/// Returns a loopback address whose port is free on UDP and TCP. The port is below the ephemeral range, so
/// that no outgoing connection can take it while the process that uses it is down.
fn free_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    loop {
        let candidate = std::process::id() as usize * 131 + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (candidate % 18_000) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Rig {
    /// Starts all instances and waits until they listen.
    pub fn new(program: &str, config: RigConfig) -> Rig {
        let number = RIG_COUNT.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("dewferry-rig-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let store = Store::new(config.replica_lag);
        let peer_addresses: Vec<SocketAddr> = (0..config.instances).map(|_| free_address()).collect();
        let relay =
            |a: usize, b: usize| (a != b).then(|| Relay::new(peer_addresses[b], (a * 1_000 + b) as u64));
        let relays =
            (0..config.instances).map(|a| (0..config.instances).map(|b| relay(a, b)).collect()).collect();
        let new_instance =
            |n| Instance { name: format!("n{n}"), listen: free_address(), process: Process::default() };
        let instances = (0..config.instances).map(new_instance).collect();
        let program = PathBuf::from(program);
        let control = (config.control > 0)
            .then(|| ControlInstances::new(&program, &folder, config.control, config.instances));
        let mut rig = Rig { config, store, instances, relays, control, program, folder, peer_addresses };
        rig.write_key(PEER_KEY);
        if let Some(control) = &mut rig.control {
            (0..control.count()).for_each(|n| control.start(n));
        }
        for n in 0..rig.instances.len() {
            rig.start(n);
        }
        (0..rig.instances.len()).for_each(|n| rig.wait_until_listening(n));
        rig
    }

    /// Writes the key file that all instances read when they start.
    pub fn write_key(&self, text: &str) {
        use std::io::Write;
        use std::os::unix::fs::OpenOptionsExt;
        let path = self.folder.join("key");
        let _ = std::fs::remove_file(&path);
        let mut options = std::fs::OpenOptions::new();
        let mut file = options.write(true).create_new(true).mode(0o600).open(path).expect("a key file");
        file.write_all(text.as_bytes()).expect("a key");
    }

    /// Returns the state folder of an instance.
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
            text += &self.peers_section(n, &control.control_list());
            text += &control.routes(n);
            for (other, relay) in self.relays[n].iter().enumerate() {
                if let Some(relay) = relay {
                    text += &route(&self.peer_addresses[other].to_string(), relay.address);
                }
            }
        } else if self.config.exchange_state {
            // Seeds are reached through the relays, too.
            let seeds = (0..self.peer_addresses.len()).map(|other| match &self.relays[n][other] {
                Some(relay) => format!("\"{}\"", relay.address),
                None => format!("\"{}\"", self.peer_addresses[n]),
            });
            let seeds: Vec<String> = seeds.collect();
            let dir =
                self.config.state_folders.then(|| format!("dir = \"{}\"\n", self.state_folder(n).display()));
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

    /// Returns the beginning of `[peers]` in an instance's operator's file.
    fn peers_section(&self, n: usize, more: &str) -> String {
        let key = self.folder.join("key");
        format!("[peers]\nlisten = \"{}\"\nkeys = [\"{}\"]\n{more}", self.peer_addresses[n], key.display())
    }

    /// Starts an instance.
    pub fn start(&mut self, n: usize) {
        let zone = (n % 2).to_string();
        let settings = SETTINGS
            .replace("ZONE", &zone)
            .replace("FLEET", &self.config.instances.to_string())
            .replace("PROBES", &self.config.probes.to_string());
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

    /// Returns the path of an instance's log.
    pub fn log_file(&self, n: usize) -> PathBuf {
        self.folder.join(format!("n{n}.log"))
    }

    /// Waits until an instance accepts clients.
    pub fn wait_until_listening(&self, n: usize) {
        let started_at = Instant::now();
        while TcpStream::connect(self.instances[n].listen).is_err() {
            let log = || std::fs::read_to_string(self.log_file(n)).unwrap_or_default();
            assert!(started_at.elapsed() < START_STOP_TIMEOUT, "n{n} does not listen: {}", log());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns true if an instance is running and not paused.
    pub fn is_running(&self, n: usize) -> bool {
        self.instances[n].process.is_running()
    }

    /// Sends SIGKILL to an instance and waits for its exit.
    pub fn kill(&mut self, n: usize) {
        self.instances[n].process.kill();
    }

    /// Sends SIGTERM to an instance and waits for its exit.
    pub fn terminate(&mut self, n: usize) {
        let Instance { name, process, .. } = &mut self.instances[n];
        process.terminate(name);
    }

    /// Sends SIGSTOP or SIGCONT to an instance.
    pub fn set_stopped(&mut self, n: usize, stopped: bool) {
        self.instances[n].process.set_stopped(stopped);
    }

    /// Changes the faults of the relays between the instances of `isolated` and the others, in both
    /// directions.
    pub fn change_faults_between(&self, isolated: &[usize], change: impl Fn(&mut Faults)) {
        for (a, row) in self.relays.iter().enumerate() {
            for (b, relay) in row.iter().enumerate() {
                if isolated.contains(&a) != isolated.contains(&b) {
                    relay.iter().for_each(|relay| relay.change_faults(&change));
                }
            }
        }
    }

    /// Changes the faults of all relays between instances.
    pub fn change_all_faults(&self, change: impl Fn(&mut Faults)) {
        self.relays.iter().flatten().flatten().for_each(|relay| relay.change_faults(&change));
    }

    /// Runs `dewferry peers` against an instance and returns its output.
    pub fn run_peers_command(&self, n: usize, args: &[&str]) -> String {
        let output = Command::new(&self.program)
            .arg("peers")
            .args(args)
            .env("DEWFERRY_CONTROL", self.folder.join(format!("control-{n}")))
            .output()
            .expect("the program runs");
        String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
    }

    /// Returns the status that an instance reports of itself and its peers.
    pub fn status(&self, n: usize) -> serde_json::Value {
        serde_json::from_str(&self.run_peers_command(n, &["status", "--json"])).unwrap_or_default()
    }

    /// Waits until all running instances have the same state and count each other as alive or, with control
    /// instances, until they have leases from a quorum of every group. Returns how long that took, or `None`
    /// if it did not happen in `timeout`.
    pub fn wait_until_converged(&self, timeout: Duration) -> Option<Duration> {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            let running: Vec<usize> = (0..self.instances.len()).filter(|n| self.is_running(*n)).collect();
            let all: Vec<serde_json::Value> = running.iter().map(|n| self.status(*n)).collect();
            let converged = match &self.control {
                Some(_) => all.iter().all(has_every_quorum),
                None => all_agree(&all),
            };
            if converged {
                return Some(started_at.elapsed());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }
}

impl Rig {
    /// Carries out `action` while sessions send requests and move at random over all instances. Panics if a
    /// read was stale, if there were too few reads or writes, or if the instances do not converge within
    /// `timeout` afterwards.
    pub fn run_under_load(
        &mut self,
        seed: u64,
        timeout: Duration,
        action: impl FnOnce(&mut Rig),
    ) -> LoadTotals {
        const SESSION_COUNT: usize = 6;
        const READ_DELAY: Duration = Duration::from_millis(1_000);
        const MARGIN: Duration = Duration::from_millis(500);
        let addresses = self.instances.iter().map(|instance| instance.listen).collect();
        let load = Load::new(addresses, SESSION_COUNT, READ_DELAY, seed);
        std::thread::sleep(MARGIN);
        action(self);
        std::thread::sleep(MARGIN);
        let totals = load.finish();
        assert_eq!(
            (totals.stale_reads, totals.stale_delayed_reads),
            (0, 0),
            "of {} and {}",
            totals.reads,
            totals.delayed_reads
        );
        assert!(totals.reads > 50 && totals.writes > 20, "{} reads, {} writes", totals.reads, totals.writes);
        assert!(self.wait_until_converged(timeout).is_some(), "{:#}", self.status(0));
        totals
    }
}

/// Returns true if an instance has leases from a quorum of every group of control instances.
fn has_every_quorum(status: &serde_json::Value) -> bool {
    let groups = status["groups"].as_u64();
    groups.is_some() && status["groups_with_quorum"].as_u64() == groups
}

/// Returns true if the instances have the same state and count each other as alive.
fn all_agree(all: &[serde_json::Value]) -> bool {
    let same = all.iter().all(|status| status["digest"].is_string() && status["digest"] == all[0]["digest"]);
    let alive = |status: &serde_json::Value| {
        let others = status["instances"].as_array().into_iter().flatten();
        others.filter(|other| other["state"] == "alive").count() == all.len()
    };
    same && all.iter().all(alive)
}

/// Returns a route for an operator's file.
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
