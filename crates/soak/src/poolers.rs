//! The pooler processes under test: starts, signals, stops and checks them.

use std::fs::File;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;

use crate::clients::{self, Clients};
use crate::discovery::{self, Discovery};
use crate::plan::{Plan, POOLER_MEMORY_MB};
use crate::record::{Event, Record};
use crate::wire;

/// How long clients still open connections after SIGTERM (seconds).
const ACCEPT_GRACE: f64 = 0.3;
/// A planned restart sends SIGKILL after the longest deadline of a class, at most `MAX_DEADLINE` (seconds),
/// plus `KILL_GRACE` (seconds).
const MAX_DEADLINE: f64 = 3.0;
const KILL_GRACE: f64 = 0.7;
/// How long a pooler may take to become ready before the wait for it ends (seconds).
const READY_TIMEOUT: f64 = 20.0;
const READY_CHECK_INTERVAL_MS: u64 = 10;
const MAX_SOCKETS: u64 = 600;
/// Maximum size of a pooler's log for each second of the run (bytes): what the rate limit lets through of some ten
/// kinds of lines at once, whatever clients send.
const MAX_LOG_BYTES_PER_S: f64 = 50_000.0;
/// Texts in log lines that report a fault of the pooler itself.
const FAULT_MARKERS: [&str; 2] = ["rule.violation", "panicked"];

/// The current process of a pooler.
#[derive(Default)]
struct PoolerProcess {
    child: Option<Child>,
    /// Whether its configuration names the second address of discovery.
    uses_second_address: bool,
    starts: u64,
}

/// All poolers.
pub struct Poolers {
    program: PathBuf,
    folder: PathBuf,
    shim: Option<PathBuf>,
    plan: Plan,
    processes: Vec<Mutex<PoolerProcess>>,
    /// Held while a pooler is paused, and while it is restarted.
    pause_locks: Vec<Mutex<()>>,
    restart_locks: Vec<Mutex<()>>,
    record: Arc<Record>,
    discovery: Arc<Discovery>,
    clients: Arc<Clients>,
}

impl Poolers {
    /// Creates the poolers; none is started.
    pub fn new(
        program: &Path,
        folder: &Path,
        shim: Option<PathBuf>,
        plan: Plan,
        (record, discovery, clients): (Arc<Record>, Arc<Discovery>, Arc<Clients>),
    ) -> Arc<Poolers> {
        let processes = (0..plan.poolers).map(|_| Mutex::default()).collect();
        let pause_locks = (0..plan.poolers).map(|_| Mutex::default()).collect();
        let restart_locks = (0..plan.poolers).map(|_| Mutex::default()).collect();
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        Arc::new(Poolers {
            program,
            folder,
            shim,
            plan,
            processes,
            pause_locks,
            restart_locks,
            record,
            discovery,
            clients,
        })
    }

    /// Returns the number of poolers.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    fn process(&self, n: usize) -> MutexGuard<'_, PoolerProcess> {
        self.processes[n].lock().expect("no holder panics")
    }

    /// Returns the path of a pooler's log.
    pub fn log_path(&self, n: usize) -> PathBuf {
        self.folder.join(format!("pooler-{n}.log"))
    }

    fn config_path(&self, n: usize) -> PathBuf {
        self.folder.join(format!("pooler-{n}.json"))
    }

    fn configure(&self, n: usize, uses_second_address: bool) {
        let (_, list) = self.discovery.full_list();
        let saved_list: serde_json::Value = serde_json::from_str(&list).expect("a valid list");
        let config = json!({
            "name": format!("n{n}"), "listen": clients::address(n).to_string(),
            "discovery": discovery::address(n, uses_second_address).to_string(),
            "seed": format!("{:x}", self.plan.seed ^ n as u64),
            "limits": {"memory_mb": POOLER_MEMORY_MB, "sockets": MAX_SOCKETS}, "known": saved_list,
            "settings": self.plan.settings(n),
        });
        let next = self.folder.join(format!("next-{n}.json"));
        let written = std::fs::write(&next, config.to_string());
        written
            .and_then(|()| std::fs::rename(&next, self.config_path(n)))
            .expect("a configuration is written");
    }

    /// Starts a pooler and waits until it serves.
    pub fn start(&self, n: usize) {
        let uses_second_address = self.process(n).uses_second_address;
        // Changes of the list from now on may be missing in the pooler's configuration.
        let configured_at = self.record.now();
        self.configure(n, uses_second_address);
        let log = File::options().create(true).append(true).open(self.log_path(n)).expect("a log is opened");
        let mut command = Command::new(&self.program);
        command.args(["serve", "--config"]).arg(self.config_path(n)).stdin(Stdio::null()).stderr(log);
        if self.plan.operated {
            let operator = self.folder.join(format!("pooler-{n}.toml"));
            std::fs::write(&operator, "log.level = \"debug\"\n").expect("an operator's file is written");
            command.arg("--operator").arg(operator);
            command.arg("--state").arg(self.folder.join(format!("state-{n}")));
        }
        self.configure_shim(n, &mut command);
        let child = command.spawn().expect("the program starts");
        {
            let mut process = self.process(n);
            process.child = Some(child);
            process.starts += 1;
        }
        self.record.add_at(configured_at, Event::Started { pooler: n });
        let wait_started_at = self.record.now();
        while self.record.now() - wait_started_at < READY_TIMEOUT && self.is_running(n) {
            if answers_query(n) {
                self.record.add(Event::Ready { pooler: n });
                return self.clients.unavailable[n].store(false, Ordering::Relaxed);
            }
            std::thread::sleep(Duration::from_millis(READY_CHECK_INTERVAL_MS));
        }
    }

    fn configure_shim(&self, n: usize, command: &mut Command) {
        let (Some(path), Some(shim)) = (&self.shim, &self.plan.shim) else { return };
        let starts = self.process(n).starts;
        let (at, by) = shim.steps.first().copied().unwrap_or_default();
        let (from, duration) = shim.disk.unwrap_or_default();
        // Only the first process of a pooler sees the step of the clock.
        let by = if starts == 0 { by } else { 0.0 };
        command.env("LD_PRELOAD", path);
        let values = [
            ("SOAK_SEED", (self.plan.seed + n as u64 * 1_000 + starts).to_string()),
            ("SOAK_ONE_IN", shim.one_in.to_string()),
            ("SOAK_STEP_AT", at.to_string()),
            ("SOAK_STEP_BY", by.to_string()),
            ("SOAK_DISK_FROM", from.to_string()),
            ("SOAK_DISK_FOR", duration.to_string()),
        ];
        command.envs(values);
    }

    /// Returns true if a pooler is running, and records an unexpected exit.
    fn is_running(&self, n: usize) -> bool {
        let mut process = self.process(n);
        let exit_status = match &mut process.child {
            Some(child) => child.try_wait().ok().flatten(),
            None => return false,
        };
        if let Some(status) = exit_status {
            process.child = None;
            self.record.add(Event::ExitedUnexpectedly { pooler: n, status: status.to_string() });
        }
        exit_status.is_none()
    }

    fn signal(&self, n: usize, signal: Signal) {
        let pid = self.process(n).child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Pauses a pooler for this time.
    pub fn pause(&self, n: usize, seconds: f64) {
        let Ok(_pause_lock) = self.pause_locks[n].try_lock() else { return };
        // A pooler that is being restarted is paused only as long as the acceptance criteria allow.
        let restart_lock = self.restart_locks[n].try_lock();
        if restart_lock.is_err() && seconds > 0.15 {
            return;
        }
        self.record.add(Event::Paused { pooler: n, paused: true });
        self.signal(n, Signal::STOP);
        std::thread::sleep(Duration::from_secs_f64(seconds));
        self.signal(n, Signal::CONT);
        self.record.add(Event::Paused { pooler: n, paused: false });
    }

    /// Makes a pooler follow discovery at its other address.
    pub fn reload(&self, n: usize) {
        let uses_second_address = {
            let mut process = self.process(n);
            process.uses_second_address = !process.uses_second_address;
            process.uses_second_address
        };
        self.configure(n, uses_second_address);
        self.signal(n, Signal::HUP);
    }

    /// Kills a pooler without SIGTERM and starts it again.
    pub fn kill(&self, n: usize) {
        let Ok(_restart_lock) = self.restart_locks[n].try_lock() else { return };
        self.clients.unavailable[n].store(true, Ordering::Relaxed);
        self.record.add(Event::Killed { pooler: n, planned: false });
        self.end_child(n);
        self.start(n);
    }

    /// Has a pooler print its counters.
    pub fn print_counters(&self, n: usize) {
        self.signal(n, Signal::USR1);
    }

    fn end_child(&self, n: usize) {
        let child = self.process(n).child.take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Restarts a pooler as planned: SIGTERM, SIGKILL, new process.
    pub fn restart(&self, n: usize) {
        let Ok(_restart_lock) = self.restart_locks[n].try_lock() else { return };
        self.signal(n, Signal::TERM);
        std::thread::sleep(Duration::from_secs_f64(ACCEPT_GRACE));
        self.clients.unavailable[n].store(true, Ordering::Relaxed);
        let longest = self.plan.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        let kill_after = longest.min(MAX_DEADLINE) + KILL_GRACE - ACCEPT_GRACE;
        std::thread::sleep(Duration::from_secs_f64(kill_after));
        self.record.add(Event::Killed { pooler: n, planned: true });
        self.end_child(n);
        self.start(n);
    }

    /// Checks all poolers for unexpected exits and for excessive memory.
    pub fn check_processes(&self) {
        for n in 0..self.plan.poolers {
            if let Ok(_restart_lock) = self.restart_locks[n].try_lock() {
                let pid = self.process(n).child.as_ref().map(Child::id);
                self.is_running(n);
                let megabytes = pid.and_then(resident_megabytes).unwrap_or_default();
                if megabytes > POOLER_MEMORY_MB {
                    self.record.add(Event::MemoryExceeded { pooler: n, megabytes });
                }
            }
        }
    }

    /// Stops all poolers and searches their logs for faults.
    pub fn stop_all(&self) {
        for n in 0..self.plan.poolers {
            self.signal(n, Signal::CONT);
            self.signal(n, Signal::TERM);
        }
        std::thread::sleep(Duration::from_millis(1_500));
        for n in 0..self.plan.poolers {
            self.end_child(n);
            let log = std::fs::read_to_string(self.log_path(n)).unwrap_or_default();
            let bytes = log.len() as u64;
            if bytes as f64 > MAX_LOG_BYTES_PER_S * self.record.now() {
                self.record.add(Event::LogTooLong { pooler: n, bytes });
            }
            let faults = log.lines().filter(|line| FAULT_MARKERS.iter().any(|fault| line.contains(fault)));
            for line in faults.take(3) {
                self.record.add(Event::LogFault { pooler: n, line: line.to_string() });
            }
        }
    }
}

impl Drop for Poolers {
    fn drop(&mut self) {
        (0..self.plan.poolers).for_each(|n| self.end_child(n));
    }
}

/// Returns true if a pooler answers an empty query.
fn answers_query(n: usize) -> bool {
    let Ok(mut stream) = TcpStream::connect(clients::address(n)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let messages = [wire::startup(), wire::query("")].concat();
    if stream.write_all(&messages).is_err() {
        return false;
    }
    let (mut buffer, mut chunk) = (Vec::new(), [0; 1024]);
    while let Ok(count) = stream.read(&mut chunk) {
        buffer.extend(&chunk[..count]);
        while let Some((kind, _)) = wire::take_message(&mut buffer) {
            if kind == b'I' {
                return true;
            }
        }
        if count == 0 {
            return false;
        }
    }
    false
}

/// Returns the resident memory of a process (megabytes).
fn resident_megabytes(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kilobytes| kilobytes / 1024)
}
