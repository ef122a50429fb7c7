//! Child processes of a run: workers, which exchange one JSON document per line with the command, and other
//! programs. None outlives the command: a worker exits at the end of its input, and the kernel kills every
//! child process when its parent exits.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command as Program, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::Duration;

use rustix::process::{getppid, set_parent_process_death_signal, Signal};

use crate::error::ScaleError;
use crate::protocol::{Assignment, Command, Reply};

/// Argument that makes this program a worker.
pub const WORKER_SUBCOMMAND: &str = "worker";
/// Argument that makes this program execute another one, which is killed when the command exits.
pub const EXEC_SUBCOMMAND: &str = "bound";
/// Time limit for the reply of a worker.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Asks the kernel to kill this process when its parent exits.
pub fn exit_with_parent() -> std::io::Result<()> {
    set_parent_process_death_signal(Some(Signal::KILL))?;
    // The parent may have exited before the call above; the process is then a child of init.
    match getppid() {
        Some(parent) if !parent.is_init() => Ok(()),
        _ => Err(std::io::Error::other("the parent process has exited")),
    }
}

/// Replaces this process with the program given by the arguments, which is killed when the command exits.
/// Returns only if that fails.
pub fn exec_program(mut arguments: impl Iterator<Item = std::ffi::OsString>) -> std::io::Error {
    let Some(program) = arguments.next() else { return std::io::Error::other("no program given") };
    match exit_with_parent() {
        Ok(()) => Program::new(program).args(arguments).exec(),
        Err(error) => error,
    }
}

/// Returns a command that runs `program` through [`EXEC_SUBCOMMAND`], so that it is killed when this process
/// exits.
pub fn killed_with_parent(command: &PathBuf, program: &PathBuf) -> Program {
    let mut wrapper = Program::new(command);
    wrapper.arg(EXEC_SUBCOMMAND).arg(program);
    wrapper
}

/// A child process that is killed when this value is dropped.
pub struct KillOnDrop(pub Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A worker process.
pub struct Worker {
    process: KillOnDrop,
    input: ChildStdin,
    replies: Receiver<String>,
    name: String,
}

impl Worker {
    /// Starts this program as a worker and waits until it is ready.
    pub fn start(command: &PathBuf, name: &str, assignment: &Assignment) -> Result<Worker, ScaleError> {
        let failed = |error: &dyn std::fmt::Display| ScaleError::Process(format!("{name}: {error}"));
        let mut program = Program::new(command);
        program.arg(WORKER_SUBCOMMAND).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut process = KillOnDrop(program.spawn().map_err(|error| failed(&error))?);
        let (input, output) = (process.0.stdin.take(), process.0.stdout.take());
        let (Some(mut input), Some(output)) = (input, output) else {
            return Err(failed(&"its standard input or output is missing"));
        };
        let (sender, replies) = channel();
        std::thread::spawn(move || {
            BufReader::new(output).lines().map_while(Result::ok).try_for_each(|line| sender.send(line))
        });
        let text = serde_json::to_string(assignment).map_err(|error| failed(&error))?;
        writeln!(input, "{text}").map_err(|error| failed(&error))?;
        let mut worker = Worker { process, input, replies, name: name.to_string() };
        match worker.reply()? {
            Reply::Ready => Ok(worker),
            other => Err(worker.error(&format!("unexpected reply: {other:?}"))),
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.process.0.id()
    }

    /// Sends a command. The caller reads its reply with [`Worker::reply`].
    pub fn send(&mut self, command: &Command) -> Result<(), ScaleError> {
        let text = serde_json::to_string(command).map_err(|error| self.error(&error.to_string()))?;
        writeln!(self.input, "{text}").map_err(|error| self.error(&error.to_string()))
    }

    /// Waits for the reply to the oldest command without one.
    pub fn reply(&mut self) -> Result<Reply, ScaleError> {
        let line = self.replies.recv_timeout(REPLY_TIMEOUT).map_err(|error| match error {
            RecvTimeoutError::Timeout => {
                self.error(&format!("no reply within {} s", REPLY_TIMEOUT.as_secs()))
            }
            RecvTimeoutError::Disconnected => self.error("the process has exited"),
        })?;
        match serde_json::from_str(&line) {
            Ok(Reply::Failed(why)) => Err(self.error(&why)),
            Ok(reply) => Ok(reply),
            Err(error) => Err(self.error(&format!("invalid reply: {error}"))),
        }
    }

    /// Sends a command and waits for its reply.
    pub fn request(&mut self, command: &Command) -> Result<Reply, ScaleError> {
        self.send(command)?;
        self.reply()
    }

    fn error(&self, why: &str) -> ScaleError {
        ScaleError::Process(format!("{}: {why}", self.name))
    }
}
