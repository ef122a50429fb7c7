//! Limits on the resources of the host that a run may use, checked before and during the run.

use std::cell::Cell;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use measure::{Host, Process};

use crate::error::ScaleError;
use crate::layout::{MAX_ADDRESSES, PORTS};

/// Maximum number of processes of a run, including the command itself.
pub const MAX_PROCESSES: usize = 300;
/// Descriptors that a process needs in addition to those of its poolers.
const SPARE_DESCRIPTORS: u64 = 64;
/// Maximum number of descriptors of a hollow pooler: its socket for peers and three connections to discovery.
const DESCRIPTORS_PER_POOLER: u64 = 4;
/// Interval between two checks of the run's limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum resources that a run requires.
#[derive(Clone, Copy, Debug)]
pub struct Requirements {
    /// Number of poolers, hollow and real.
    pub poolers: usize,
    /// Number of members on the list.
    pub members: usize,
    /// Number of processes, including the command itself.
    pub processes: usize,
    /// Hollow poolers per process.
    pub hollow_per_process: usize,
}

/// The limits of a run.
pub struct Limits {
    max_memory: u64,
    max_seconds: u64,
    started_at: Instant,
    interrupted: Arc<AtomicBool>,
    /// Maximum memory (bytes) and number of processes observed so far.
    peaks: Cell<(u64, usize)>,
}

impl Limits {
    /// Checks that the host has the required resources, and starts the run's time limit.
    pub fn check(
        host: &Host,
        required: Requirements,
        max_seconds: u64,
        interrupted: Arc<AtomicBool>,
    ) -> Result<Limits, ScaleError> {
        let within = |resource, needed: u64, max: u64| {
            (needed <= max).then_some(()).ok_or(ScaleError::ExceedsHost { resource, needed, max })
        };
        within("addresses of poolers", required.poolers as u64, MAX_ADDRESSES as u64)?;
        within("addresses of database servers", required.members as u64, MAX_ADDRESSES as u64)?;
        within("processes", required.processes as u64, MAX_PROCESSES as u64)?;
        let hollow = required.hollow_per_process as u64 * DESCRIPTORS_PER_POOLER + SPARE_DESCRIPTORS;
        within("descriptors in a process of hollow poolers", hollow, host.descriptors)?;
        let discovery = required.poolers as u64 * 2 + SPARE_DESCRIPTORS;
        within("descriptors in the stand-in for discovery", discovery, host.descriptors)?;
        // Guards against a listener's port that the kernel has already assigned to an outgoing connection.
        let highest = u64::from(PORTS.into_iter().max().unwrap_or_default());
        within("as the highest port of a listener", highest, u64::from(host.ephemeral_ports.0) - 1)?;
        Ok(Limits {
            max_memory: host.memory / 2,
            max_seconds,
            started_at: Instant::now(),
            interrupted,
            peaks: Cell::default(),
        })
    }

    /// Checks for a signal, the time limit and the memory of these processes.
    pub fn check_usage(&self, processes: &[u32]) -> Result<(), ScaleError> {
        if self.interrupted.load(Ordering::SeqCst) {
            return Err(ScaleError::Interrupted);
        }
        if self.started_at.elapsed().as_secs() >= self.max_seconds {
            return Err(ScaleError::TimeLimit { limit_s: self.max_seconds });
        }
        let samples = processes.iter().filter_map(|pid| Process(*pid).sample().ok());
        let used: u64 = samples.map(|sample| sample.resident).sum();
        let (memory, process_count) = self.peaks.get();
        self.peaks.set((memory.max(used), process_count.max(processes.len() + 1)));
        if used > self.max_memory {
            return Err(ScaleError::Memory { used, max: self.max_memory });
        }
        Ok(())
    }

    /// Returns the maximum memory (bytes) and number of processes, including the command itself, observed so
    /// far.
    pub fn peaks(&self) -> (u64, usize) {
        self.peaks.get()
    }

    /// Sleeps for `time` and checks the limits meanwhile.
    pub fn wait(&self, time: Duration, processes: &[u32]) -> Result<(), ScaleError> {
        let deadline = Instant::now() + time;
        loop {
            self.check_usage(processes)?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            std::thread::sleep(remaining.min(CHECK_INTERVAL));
        }
    }
}

#[cfg(test)]
mod tests;
