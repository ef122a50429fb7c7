//! The measured process.

use crate::error::file_error;
use crate::{MeasureError, Platform};
use measure::{Process, Sample};
use rustix::process::{kill_process, Pid, Signal};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Time limit for the process to listen, or to print its counters.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Number of log lines reported if the process does not listen.
const LOG_TAIL_LINES: usize = 3;

/// Number of the next pooler: each has its own folder.
static NEXT_FOLDER: AtomicUsize = AtomicUsize::new(0);

/// The counters of the process since its start that the runs use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Attempts sent to members.
    pub sent: u64,
    pub probed: u64,
    /// Server connections opened.
    pub connected: u64,
    /// Client connections closed because they were idle for too long (the counter `rested`).
    pub closed_idle: u64,
    /// Full lists and changes of the list received.
    pub lists: u64,
}

impl Counters {
    /// Parses the line that the process prints on SIGUSR1.
    fn parse(line: &str) -> Counters {
        let number = |name: &str| {
            let digits = line.split_whitespace().find_map(|word| word.strip_prefix(name));
            digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
        };
        Counters {
            served: number("served="),
            refused: number("refused="),
            failed: number("failed="),
            sent: number("sent="),
            probed: number("probed="),
            connected: number("connected="),
            closed_idle: number("rested="),
            lists: number("lists="),
        }
    }
}

/// One process of `dewferry serve`. Killed on drop.
pub struct Pooler {
    child: Child,
    log: Receiver<String>,
    folder: PathBuf,
    pub address: SocketAddr,
    pub process: Process,
}

impl Pooler {
    /// Starts the program with the configuration and waits until it listens.
    pub fn start(program: &Path, platform: &Platform) -> Result<Pooler, MeasureError> {
        Pooler::launch(program, platform, None)
    }

    /// Like [`Pooler::start`], with an operator's file, a control socket and a history on disk.
    pub fn start_with_operator(
        program: &Path,
        platform: &Platform,
        operator: &str,
    ) -> Result<Pooler, MeasureError> {
        Pooler::launch(program, platform, Some(operator))
    }

    fn launch(program: &Path, platform: &Platform, operator: Option<&str>) -> Result<Pooler, MeasureError> {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("dewferry-footprint-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(file_error(&folder))?;
        let path = folder.join("platform.json");
        std::fs::write(&path, platform.text()).map_err(file_error(&path))?;
        let mut command = Command::new(program);
        command.args(["serve", "--config"]).arg(&path);
        if let Some(operator) = operator {
            let path = folder.join("dewferry.toml");
            std::fs::write(&path, operator_file(&folder, operator)).map_err(file_error(&path))?;
            command.arg("--operator").arg(path);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child =
            command.spawn().map_err(|cause| MeasureError::Program { path: program.into(), cause })?;
        let log = read_log(&mut child);
        let (address, process) = (platform.listen, Process(child.id()));
        let pooler = Pooler { child, log, folder, address, process };
        pooler.wait_for_log("listens on ")?;
        Ok(pooler)
    }

    /// Memory and processor time of the process so far.
    pub fn sample(&self) -> Result<Sample, MeasureError> {
        Ok(self.process.sample()?)
    }

    /// Requests the counters and waits for them. The process has handled all earlier events when this
    /// returns.
    pub fn counters(&self) -> Result<Counters, MeasureError> {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            kill_process(pid, Signal::USR1).map_err(|errno| MeasureError::Socket {
                what: "a signal to the pooler",
                cause: errno.into(),
            })?;
        }
        let line = self.wait_for_log("taken=").map_err(|_| MeasureError::NoAnswer { what: "counters" })?;
        Ok(Counters::parse(&line))
    }

    /// Path of the control socket.
    pub fn control_socket(&self) -> PathBuf {
        self.folder.join("control")
    }

    /// Contents of an operator's file for this process with the given settings.
    pub fn operator_text(&self, settings: &str) -> String {
        operator_file(&self.folder, settings)
    }

    /// Waits for a log line that contains `text`.
    fn wait_for_log(&self, text: &str) -> Result<String, MeasureError> {
        let deadline = Instant::now() + TIMEOUT;
        let mut tail = VecDeque::new();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.log.recv_timeout(remaining) {
                Ok(line) if line.contains(text) => return Ok(line),
                Ok(line) => tail.push_back(line),
                Err(_) => {
                    let log = tail.into_iter().collect::<Vec<String>>().join("; ");
                    return Err(MeasureError::NotListening { log });
                }
            }
            if tail.len() > LOG_TAIL_LINES {
                tail.pop_front();
            }
        }
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn operator_file(folder: &Path, settings: &str) -> String {
    let folder = folder.display();
    format!("control.socket = \"{folder}/control\"\nstate.dir = \"{folder}/state\"\n{settings}\n")
}

/// Reads the log on a thread, so that the process never blocks on a full pipe.
fn read_log(child: &mut Child) -> Receiver<String> {
    let (lines, log) = channel();
    if let Some(stderr) = child.stderr.take() {
        std::thread::spawn(move || {
            BufReader::new(stderr).lines().map_while(Result::ok).try_for_each(|line| lines.send(line))
        });
    }
    log
}
