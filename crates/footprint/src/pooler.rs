//! The process that is measured.

use crate::error::file;
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

/// How long the process may take to listen, to print its counters or to answer a call.
const PATIENCE: Duration = Duration::from_secs(10);
/// Lines of the log that are told where the process does not come up.
const LAST_LINES: usize = 3;

/// Each pooler has a folder of its own.
static STARTED: AtomicUsize = AtomicUsize::new(0);

/// What the process counts since its start, as far as the runs need it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Attempts sent to databases.
    pub sent: u64,
    pub probed: u64,
    /// Connections made to databases.
    pub connected: u64,
    /// Connections of clients closed because they had rested for too long.
    pub rested: u64,
    /// Lists and changes of the list taken.
    pub lists: u64,
}

impl Counters {
    /// Reads the line that SIGUSR1 asks for.
    fn parse(line: &str) -> Counters {
        let number = |name: &str| {
            let word = line.split_whitespace().find_map(|word| word.strip_prefix(name));
            word.and_then(|digits| digits.parse().ok()).unwrap_or(0)
        };
        Counters {
            served: number("served="),
            refused: number("refused="),
            failed: number("failed="),
            sent: number("sent="),
            probed: number("probed="),
            connected: number("connected="),
            rested: number("rested="),
            lists: number("lists="),
        }
    }
}

/// One process of `dewferry serve`. Killed when this goes.
pub struct Pooler {
    child: Child,
    log: Receiver<String>,
    folder: PathBuf,
    pub address: SocketAddr,
    pub process: Process,
}

impl Pooler {
    /// Starts the program on this configuration and waits until it listens.
    pub fn start(program: &Path, platform: &Platform) -> Result<Pooler, MeasureError> {
        Pooler::begin(program, platform, None)
    }

    /// The same with an operator's file, a control socket and a history on disk.
    pub fn start_with_operator(
        program: &Path,
        platform: &Platform,
        operator: &str,
    ) -> Result<Pooler, MeasureError> {
        Pooler::begin(program, platform, Some(operator))
    }

    fn begin(program: &Path, platform: &Platform, operator: Option<&str>) -> Result<Pooler, MeasureError> {
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("dewferry-footprint-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(file(&folder))?;
        let path = folder.join("platform.json");
        std::fs::write(&path, platform.text()).map_err(file(&path))?;
        let mut command = Command::new(program);
        command.args(["serve", "--config"]).arg(&path);
        if let Some(operator) = operator {
            let path = folder.join("dewferry.toml");
            std::fs::write(&path, operator_file(&folder, operator)).map_err(file(&path))?;
            command.arg("--operator").arg(path);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child =
            command.spawn().map_err(|cause| MeasureError::Program { path: program.into(), cause })?;
        let log = follow(&mut child);
        let (address, process) = (platform.listen, Process(child.id()));
        let pooler = Pooler { child, log, folder, address, process };
        pooler.logged("listens on ")?;
        Ok(pooler)
    }

    /// What the process has used so far.
    pub fn sample(&self) -> Result<Sample, MeasureError> {
        Ok(self.process.sample()?)
    }

    /// What the process has counted so far. All that came before is dealt with when this returns.
    pub fn counters(&self) -> Result<Counters, MeasureError> {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            kill_process(pid, Signal::USR1).map_err(|errno| MeasureError::Socket {
                what: "a signal to the pooler",
                cause: errno.into(),
            })?;
        }
        let line = self.logged("taken=").map_err(|_| MeasureError::NoAnswer { what: "counters" })?;
        Ok(Counters::parse(&line))
    }

    /// Where the process takes calls of operators.
    pub fn control_socket(&self) -> PathBuf {
        self.folder.join("control")
    }

    /// The text of an operator's file for this process with these settings.
    pub fn operator_text(&self, settings: &str) -> String {
        operator_file(&self.folder, settings)
    }

    /// Waits for a line of the log that holds `text`.
    fn logged(&self, text: &str) -> Result<String, MeasureError> {
        let until = Instant::now() + PATIENCE;
        let mut last = VecDeque::new();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.log.recv_timeout(left) {
                Ok(line) if line.contains(text) => return Ok(line),
                Ok(line) => last.push_back(line),
                Err(_) => {
                    let log = last.into_iter().collect::<Vec<String>>().join("; ");
                    return Err(MeasureError::NotListening { log });
                }
            }
            if last.len() > LAST_LINES {
                last.pop_front();
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

/// Passes the log's lines on, so that the process never waits for a reader.
fn follow(child: &mut Child) -> Receiver<String> {
    let (lines, log) = channel();
    if let Some(stderr) = child.stderr.take() {
        std::thread::spawn(move || {
            BufReader::new(stderr).lines().map_while(Result::ok).try_for_each(|line| lines.send(line))
        });
    }
    log
}
