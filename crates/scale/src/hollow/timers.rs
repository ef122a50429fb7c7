//! Timers of all poolers of a process. Timers are never cancelled: their owner checks whether they still
//! apply.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const NANOS_PER_SECOND: f64 = 1e9;

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The pooler starts.
    Start,
    /// A timer of the policy, with its cookie.
    Policy(u64),
    /// The connections to discovery are due for a check.
    Discovery,
    /// The state exchange or the session directory is due.
    Peers,
    /// The next request of the modelled load is due.
    Request,
}

/// The pooler and its generation that a timer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Owner {
    /// Index of the pooler in this process.
    pub index: usize,
    /// Increases with each start and kill of the pooler. Timers of earlier generations are ignored.
    pub generation: u32,
}

/// Pending timers, earliest first; those with equal times in the order in which they were set.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(u64, u64, Owner, TimerKind)>>,
    set_count: u64,
    /// Maximum delay of a timer since the last call of [`Timers::take_max_delay`] (seconds).
    max_delay: f64,
}

impl Timers {
    pub fn set(&mut self, at: f64, owner: Owner, kind: TimerKind) {
        self.set_count += 1;
        self.heap.push(Reverse(((at * NANOS_PER_SECOND) as u64, self.set_count, owner, kind)));
    }

    /// Returns the time until the next timer.
    pub fn time_to_next(&self, now: f64) -> Option<Duration> {
        let Reverse((at, ..)) = self.heap.peek()?;
        let seconds = *at as f64 / NANOS_PER_SECOND - now;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO))
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn pop_due(&mut self, now: f64) -> Option<(Owner, TimerKind)> {
        let Reverse((at, _, owner, kind)) = *self.heap.peek()?;
        let delay = now - at as f64 / NANOS_PER_SECOND;
        if delay < 0.0 {
            return None;
        }
        self.heap.pop();
        self.max_delay = self.max_delay.max(delay);
        Some((owner, kind))
    }

    /// Returns the maximum delay of a timer since the last call (seconds).
    pub fn take_max_delay(&mut self) -> f64 {
        std::mem::take(&mut self.max_delay)
    }
}
