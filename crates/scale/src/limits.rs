//! What a run may take of the machine, checked before it begins and while it lasts.

use std::cell::Cell;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use measure::{Host, Process};

use crate::error::ScaleError;
use crate::layout::{MOST, PORTS};

/// Most processes of a run, the command itself included.
pub const MOST_PROCESSES: usize = 300;
/// Descriptors that a process needs beside those of its poolers.
const SPARE_DESCRIPTORS: u64 = 64;
/// Descriptors of a hollow pooler at the most: its socket towards others and three connections to discovery.
const DESCRIPTORS_EACH: u64 = 4;
/// Pause between two looks at the run's limits.
const LOOK: Duration = Duration::from_millis(250);

/// What a run is going to need at the most.
#[derive(Clone, Copy, Debug)]
pub struct Needs {
    /// Poolers, hollow and real.
    pub poolers: usize,
    /// Databases on the list.
    pub databases: usize,
    /// Processes, the command itself included.
    pub processes: usize,
    /// Hollow poolers of one process.
    pub hollow_per_process: usize,
}

/// The limits of a run.
pub struct Limits {
    most_memory: u64,
    most_seconds: u64,
    begun: Instant,
    interrupted: Arc<AtomicBool>,
    /// The most memory (bytes) and processes that were seen.
    peaks: Cell<(u64, usize)>,
}

impl Limits {
    /// Checks that the machine can hold the plan, and begins to count its time.
    pub fn check(
        machine: &Host,
        needs: Needs,
        most_seconds: u64,
        interrupted: Arc<AtomicBool>,
    ) -> Result<Limits, ScaleError> {
        let within = |what, needed: u64, most: u64| {
            (needed <= most).then_some(()).ok_or(ScaleError::BeyondMachine { what, needed, most })
        };
        within("addresses of poolers", needs.poolers as u64, MOST as u64)?;
        within("addresses of databases", needs.databases as u64, MOST as u64)?;
        within("processes", needs.processes as u64, MOST_PROCESSES as u64)?;
        let hollow = needs.hollow_per_process as u64 * DESCRIPTORS_EACH + SPARE_DESCRIPTORS;
        within("descriptors in a process of hollow poolers", hollow, machine.descriptors)?;
        let discovery = needs.poolers as u64 * 2 + SPARE_DESCRIPTORS;
        within("descriptors in the stand-in for discovery", discovery, machine.descriptors)?;
        // Guards against a port that the kernel has given to a connection when a listener wants it.
        let highest = u64::from(PORTS.into_iter().max().unwrap_or_default());
        within("as the highest port of a listener", highest, u64::from(machine.ephemeral_ports.0) - 1)?;
        Ok(Limits {
            most_memory: machine.memory / 2,
            most_seconds,
            begun: Instant::now(),
            interrupted,
            peaks: Cell::default(),
        })
    }

    /// Checks the time, the memory of these processes, and whether a signal has come.
    pub fn look(&self, processes: &[u32]) -> Result<(), ScaleError> {
        if self.interrupted.load(Ordering::SeqCst) {
            return Err(ScaleError::Interrupted);
        }
        if self.begun.elapsed().as_secs() >= self.most_seconds {
            return Err(ScaleError::Time { most_s: self.most_seconds });
        }
        let samples = processes.iter().filter_map(|pid| Process(*pid).sample().ok());
        let used: u64 = samples.map(|sample| sample.resident).sum();
        let (memory, count) = self.peaks.get();
        self.peaks.set((memory.max(used), count.max(processes.len() + 1)));
        if used > self.most_memory {
            return Err(ScaleError::Memory { used, most: self.most_memory });
        }
        Ok(())
    }

    /// The most memory (bytes) and processes, the command itself included, that were seen.
    pub fn peaks(&self) -> (u64, usize) {
        self.peaks.get()
    }

    /// Lets time pass, with looks at the limits.
    pub fn wait(&self, time: Duration, processes: &[u32]) -> Result<(), ScaleError> {
        let until = Instant::now() + time;
        loop {
            self.look(processes)?;
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(LOOK));
        }
    }
}

#[cfg(test)]
mod tests;
