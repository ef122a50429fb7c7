//! A process that can be started, killed, terminated, paused and resumed.

use std::process::{Child, Command};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

use crate::START_STOP_TIMEOUT;

/// A process that may or may not have been started.
#[derive(Default)]
pub(crate) struct Process {
    child: Option<Child>,
    stopped: bool,
}

impl Process {
    /// Starts the process.
    pub fn start(&mut self, command: &mut Command) {
        self.child = Some(command.spawn().expect("the program starts"));
        self.stopped = false;
    }

    /// Returns true if the process has been started and is not paused.
    pub fn is_running(&self) -> bool {
        self.child.is_some() && !self.stopped
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stopped = false;
    }

    /// Sends SIGTERM and waits for the exit.
    pub fn terminate(&mut self, name: &str) {
        self.signal(Signal::TERM);
        if let Some(mut child) = self.child.take() {
            let started_at = Instant::now();
            while child.try_wait().ok().flatten().is_none() {
                assert!(started_at.elapsed() < START_STOP_TIMEOUT, "{name} does not exit after SIGTERM");
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Sends SIGSTOP or SIGCONT.
    pub fn set_stopped(&mut self, stopped: bool) {
        self.signal(if stopped { Signal::STOP } else { Signal::CONT });
        self.stopped = stopped;
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
