//! Keeps a run within its time limit and its share of the host.

use crate::MeasureError;
use measure::{Host, Process};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The command and the pooler together may use this fraction of the host's memory: one half.
const MEMORY_PARTS: u64 = 2;
/// Descriptors reserved for what is not counted: logs, pipes, epoll.
const SPARE_DESCRIPTORS: u64 = 256;

/// Checks before each measurement that the run may continue.
pub struct Guard {
    host: Host,
    started_at: Instant,
    limit: Duration,
    interrupted: Arc<AtomicBool>,
}

impl Guard {
    /// Starts the time limit. SIGINT and SIGTERM end the run at its next check, so that no process is left
    /// behind.
    pub fn new(limit: Duration) -> Result<Guard, MeasureError> {
        let interrupted = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, interrupted.clone())
                .map_err(|cause| MeasureError::Socket { what: "signals", cause })?;
        }
        Ok(Guard { host: Host::current()?, started_at: Instant::now(), limit, interrupted })
    }

    /// The host of the measurement.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Returns an error unless this process and the pooler may each open `needed` descriptors.
    pub fn check_descriptors(&self, needed: usize) -> Result<(), MeasureError> {
        let allowed = self.host.descriptors.saturating_sub(SPARE_DESCRIPTORS);
        let needed = needed as u64;
        if needed > allowed {
            return Err(MeasureError::TooLarge { what: "open descriptors", needed, allowed });
        }
        Ok(())
    }

    /// Returns an error if the run was interrupted, its time limit has passed, or the memory of this process
    /// and of `processes` exceeds its share of the host.
    pub fn check(&self, processes: &[Process]) -> Result<(), MeasureError> {
        if self.interrupted.load(Ordering::Relaxed) {
            return Err(MeasureError::Interrupted);
        }
        if self.started_at.elapsed() > self.limit {
            return Err(MeasureError::OutOfTime { seconds: self.limit.as_secs() });
        }
        let mut needed = Process::current().sample()?.resident;
        for process in processes {
            needed += process.sample()?.resident;
        }
        let allowed = self.host.memory / MEMORY_PARTS;
        if needed > allowed {
            return Err(MeasureError::TooLarge { what: "bytes of memory", needed, allowed });
        }
        Ok(())
    }
}
