//! The processes of the program: started, signalled, ended, looked at.

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
use crate::plan::{Plan, MEMORY_MB};
use crate::record::{Event, Record};
use crate::wire;

/// New connections still come for so long after SIGTERM (seconds).
const LAST_CONNECTIONS: f64 = 0.3;
/// SIGKILL comes no sooner than the longest deadline, counted as this at most (seconds), and so much more after SIGTERM.
const LONGEST_DEADLINE: f64 = 3.0;
const KILL_AFTER: f64 = 0.7;
/// A process that is not ready after this (seconds) is given up.
const READY_WITHIN: f64 = 20.0;
const LOOK_MS: u64 = 10;
const SOCKETS: u64 = 600;
/// What a line of the log holds that tells of a fault of the program's own.
const FAULTS: [&str; 2] = ["rule.violation", "panicked"];

/// One process, and what is being done to it.
#[derive(Default)]
struct Seat {
    child: Option<Child>,
    /// Which of its addresses of discovery it follows.
    second: bool,
    starts: u64,
}

/// All of them.
pub struct Poolers {
    program: PathBuf,
    folder: PathBuf,
    shim: Option<PathBuf>,
    plan: Plan,
    seats: Vec<Mutex<Seat>>,
    /// Held by whoever holds a process up, and by whoever restarts it.
    stalling: Vec<Mutex<()>>,
    restarting: Vec<Mutex<()>>,
    record: Arc<Record>,
    discovery: Arc<Discovery>,
    clients: Arc<Clients>,
}

impl Poolers {
    /// None started yet.
    pub fn new(
        program: &Path,
        folder: &Path,
        shim: Option<PathBuf>,
        plan: Plan,
        (record, discovery, clients): (Arc<Record>, Arc<Discovery>, Arc<Clients>),
    ) -> Arc<Poolers> {
        let seats = (0..plan.poolers).map(|_| Mutex::default()).collect();
        let stalling = (0..plan.poolers).map(|_| Mutex::default()).collect();
        let restarting = (0..plan.poolers).map(|_| Mutex::default()).collect();
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        Arc::new(Poolers {
            program,
            folder,
            shim,
            plan,
            seats,
            stalling,
            restarting,
            record,
            discovery,
            clients,
        })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.seats.len()
    }

    fn seat(&self, n: usize) -> MutexGuard<'_, Seat> {
        self.seats[n].lock().expect("no holder panics")
    }

    /// The log of one.
    pub fn log(&self, n: usize) -> PathBuf {
        self.folder.join(format!("pooler-{n}.log"))
    }

    fn config(&self, n: usize) -> PathBuf {
        self.folder.join(format!("pooler-{n}.json"))
    }

    fn configure(&self, n: usize, second: bool) {
        let (_, list) = self.discovery.whole();
        let known: serde_json::Value = serde_json::from_str(&list).expect("a list of its own");
        let config = json!({
            "name": format!("n{n}"), "listen": clients::address(n).to_string(),
            "discovery": discovery::address(n, second).to_string(), "seed": format!("{:x}", self.plan.seed ^ n as u64),
            "limits": {"memory_mb": MEMORY_MB, "sockets": SOCKETS}, "known": known,
            "settings": self.plan.settings(n),
        });
        let next = self.folder.join(format!("next-{n}.json"));
        let written = std::fs::write(&next, config.to_string());
        written.and_then(|()| std::fs::rename(&next, self.config(n))).expect("a configuration is written");
    }

    /// Starts one and waits until it can serve.
    pub fn start(&self, n: usize) {
        let second = self.seat(n).second;
        // What is listed from now on may not be in its configuration.
        let configured = self.record.now();
        self.configure(n, second);
        let log = File::options().create(true).append(true).open(self.log(n)).expect("a log is opened");
        let mut command = Command::new(&self.program);
        command.args(["serve", "--config"]).arg(self.config(n)).stdin(Stdio::null()).stderr(log);
        if self.plan.operated {
            let operator = self.folder.join(format!("pooler-{n}.toml"));
            std::fs::write(&operator, "log.level = \"debug\"\n").expect("an operator's file is written");
            command.arg("--operator").arg(operator);
            command.arg("--state").arg(self.folder.join(format!("state-{n}")));
        }
        self.prepare_shim(n, &mut command);
        let child = command.spawn().expect("the program starts");
        {
            let mut seat = self.seat(n);
            seat.child = Some(child);
            seat.starts += 1;
        }
        self.record.note_at(configured, Event::Started { pooler: n });
        let begun = self.record.now();
        while self.record.now() - begun < READY_WITHIN && self.runs(n) {
            if answers(n) {
                self.record.note(Event::Ready { pooler: n });
                return self.clients.closed[n].store(false, Ordering::Relaxed);
            }
            std::thread::sleep(Duration::from_millis(LOOK_MS));
        }
    }

    fn prepare_shim(&self, n: usize, command: &mut Command) {
        let (Some(path), Some(shim)) = (&self.shim, &self.plan.shim) else { return };
        let starts = self.seat(n).starts;
        let (at, by) = shim.steps.first().copied().unwrap_or_default();
        let (from, lasts) = shim.disk.unwrap_or_default();
        // The clock is stepped under the process that was started first, and its files fail there.
        let by = if starts == 0 { by } else { 0.0 };
        command.env("LD_PRELOAD", path);
        let values = [
            ("SOAK_SEED", (self.plan.seed + n as u64 * 1_000 + starts).to_string()),
            ("SOAK_ONE_IN", shim.one_in.to_string()),
            ("SOAK_STEP_AT", at.to_string()),
            ("SOAK_STEP_BY", by.to_string()),
            ("SOAK_DISK_FROM", from.to_string()),
            ("SOAK_DISK_FOR", lasts.to_string()),
        ];
        command.envs(values);
    }

    /// Whether one runs; one that has ended by itself is noted.
    fn runs(&self, n: usize) -> bool {
        let mut seat = self.seat(n);
        let ended = match &mut seat.child {
            Some(child) => child.try_wait().ok().flatten(),
            None => return false,
        };
        if let Some(status) = ended {
            seat.child = None;
            self.record.note(Event::Died { pooler: n, how: status.to_string() });
        }
        ended.is_none()
    }

    fn signal(&self, n: usize, signal: Signal) {
        let pid = self.seat(n).child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Holds one up for so long.
    pub fn stall(&self, n: usize, seconds: f64) {
        let Ok(_stalling) = self.stalling[n].try_lock() else { return };
        // One that is being restarted is held up only for as long as the terms have it.
        let held = self.restarting[n].try_lock();
        if held.is_err() && seconds > 0.15 {
            return;
        }
        self.record.note(Event::Stopped { pooler: n, stopped: true });
        self.signal(n, Signal::STOP);
        std::thread::sleep(Duration::from_secs_f64(seconds));
        self.signal(n, Signal::CONT);
        self.record.note(Event::Stopped { pooler: n, stopped: false });
    }

    /// Has one follow its other address.
    pub fn reload(&self, n: usize) {
        let second = {
            let mut seat = self.seat(n);
            seat.second = !seat.second;
            seat.second
        };
        self.configure(n, second);
        self.signal(n, Signal::HUP);
    }

    /// SIGKILL without a word, and a new one.
    pub fn kill(&self, n: usize) {
        let Ok(_held) = self.restarting[n].try_lock() else { return };
        self.clients.closed[n].store(true, Ordering::Relaxed);
        self.record.note(Event::Killed { pooler: n });
        self.end_child(n);
        self.start(n);
    }

    fn end_child(&self, n: usize) {
        let child = self.seat(n).child.take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// A planned restart.
    pub fn restart(&self, n: usize) {
        let Ok(_held) = self.restarting[n].try_lock() else { return };
        self.signal(n, Signal::TERM);
        std::thread::sleep(Duration::from_secs_f64(LAST_CONNECTIONS));
        self.clients.closed[n].store(true, Ordering::Relaxed);
        let longest = self.plan.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        let kill_after = longest.min(LONGEST_DEADLINE) + KILL_AFTER - LAST_CONNECTIONS;
        std::thread::sleep(Duration::from_secs_f64(kill_after));
        self.record.note(Event::Killed { pooler: n });
        self.end_child(n);
        self.start(n);
    }

    /// Looks at all of them: who has ended by itself, and who takes too much memory.
    pub fn look(&self) {
        for n in 0..self.plan.poolers {
            if let Ok(_held) = self.restarting[n].try_lock() {
                let pid = self.seat(n).child.as_ref().map(Child::id);
                self.runs(n);
                let megabytes = pid.and_then(resident).unwrap_or_default();
                if megabytes > MEMORY_MB {
                    self.record.note(Event::TooLarge { pooler: n, megabytes });
                }
            }
        }
    }

    /// Asks all to end, waits for that, and looks at their logs.
    pub fn end(&self) {
        for n in 0..self.plan.poolers {
            self.signal(n, Signal::CONT);
            self.signal(n, Signal::TERM);
        }
        std::thread::sleep(Duration::from_millis(1_500));
        for n in 0..self.plan.poolers {
            self.end_child(n);
            let log = std::fs::read_to_string(self.log(n)).unwrap_or_default();
            let faults = log.lines().filter(|line| FAULTS.iter().any(|fault| line.contains(fault)));
            for line in faults.take(3) {
                self.record.note(Event::LogFault { pooler: n, line: line.to_string() });
            }
        }
    }
}

impl Drop for Poolers {
    fn drop(&mut self) {
        (0..self.plan.poolers).for_each(|n| self.end_child(n));
    }
}

/// Whether a pooler answers an empty query.
fn answers(n: usize) -> bool {
    let Ok(mut stream) = TcpStream::connect(clients::address(n)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let asked = [wire::startup(), wire::query("")].concat();
    if stream.write_all(&asked).is_err() {
        return false;
    }
    let (mut buffer, mut piece) = (Vec::new(), [0; 1024]);
    while let Ok(count) = stream.read(&mut piece) {
        buffer.extend(&piece[..count]);
        while let Some((kind, _)) = wire::take(&mut buffer) {
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

/// Resident memory of a process (megabytes).
fn resident(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kilobytes| kilobytes / 1024)
}
