//! Keeps a run within its time and within its share of the machine.

use crate::MeasureError;
use measure::{Host, Process};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The part of the machine's memory that the command and the pooler together may take: one half.
const MEMORY_PARTS: u64 = 2;
/// Descriptors that are left for what is not counted: logs, pipes, epoll.
const SPARE_DESCRIPTORS: u64 = 256;

/// Asked before each measurement whether it may begin.
pub struct Guard {
    machine: Host,
    begun: Instant,
    limit: Duration,
    interrupted: Arc<AtomicBool>,
}

impl Guard {
    /// A guard whose time begins now. SIGINT and SIGTERM end the run at its next measurement, so that no process is left.
    pub fn new(limit: Duration) -> Result<Guard, MeasureError> {
        let interrupted = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, interrupted.clone())
                .map_err(|cause| MeasureError::Socket { what: "signals", cause })?;
        }
        Ok(Guard { machine: Host::current()?, begun: Instant::now(), limit, interrupted })
    }

    /// The machine that is measured on.
    pub fn machine(&self) -> &Host {
        &self.machine
    }

    /// Whether so many descriptors may be opened here, and as many in the pooler.
    pub fn check_descriptors(&self, needed: usize) -> Result<(), MeasureError> {
        let allowed = self.machine.descriptors.saturating_sub(SPARE_DESCRIPTORS);
        let needed = needed as u64;
        if needed > allowed {
            return Err(MeasureError::TooLarge { what: "open descriptors", needed, allowed });
        }
        Ok(())
    }

    /// Whether the run may go on: its time is not over, nobody has interrupted it, and the processes' memory is in bounds.
    pub fn check(&self, processes: &[Process]) -> Result<(), MeasureError> {
        if self.interrupted.load(Ordering::Relaxed) {
            return Err(MeasureError::Interrupted);
        }
        if self.begun.elapsed() > self.limit {
            return Err(MeasureError::OutOfTime { seconds: self.limit.as_secs() });
        }
        let mut needed = Process::current().sample()?.resident;
        for process in processes {
            needed += process.sample()?.resident;
        }
        let allowed = self.machine.memory / MEMORY_PARTS;
        if needed > allowed {
            return Err(MeasureError::TooLarge { what: "bytes of memory", needed, allowed });
        }
        Ok(())
    }
}
