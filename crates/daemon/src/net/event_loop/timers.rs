//! Timers, and the earliest one of an owner.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::source::Slot;
use super::Reactor;

/// Owner of a timer. Timers cannot be cancelled: the owner checks, when the timer fires, whether it is still
/// relevant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerKind {
    Policy(u64),
    Accept,
    /// The lines that the log's rate limit has left out are to be reported.
    LogSummary,
    ClientSweep,
    Client(Slot),
    /// A request of a client may have waited for earlier requests of its connection for the maximum time.
    InFlight(Slot),
    Server(Slot),
    Discovery,
    ControlConnection(Slot),
    Registry,
    /// A configuration change is to be re-evaluated.
    ConfigChange,
    /// The state machine of the process lifecycle is to be advanced.
    Lifecycle,
    Handover,
    SessionSweep,
    /// The state exchange with peers is to be advanced.
    Peers,
}

struct Timer {
    at: f64,
    /// Sequence number: timers that fire at the same time do so in the order in which they were set.
    number: u64,
    kind: TimerKind,
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Timer {}

/// All pending timers.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<Timer>>,
    timers_set: u64,
    /// Number of pending timers of the policy.
    policy_timers: usize,
}

impl TimerQueue {
    pub fn set(&mut self, at: f64, kind: TimerKind) {
        self.timers_set += 1;
        self.policy_timers += usize::from(matches!(kind, TimerKind::Policy(_)));
        self.timers.push(Reverse(Timer { at, number: self.timers_set, kind }));
    }

    /// Returns the number of pending timers of the policy.
    pub fn policy_timers(&self) -> usize {
        self.policy_timers
    }

    /// Drops the timers of the policy that `is_needed` does not accept.
    pub fn retain_policy_timers(&mut self, is_needed: impl Fn(u64) -> bool) {
        self.timers.retain(|Reverse(timer)| match timer.kind {
            TimerKind::Policy(cookie) => is_needed(cookie),
            _ => true,
        });
        let is_policy_timer = |timer: &&Reverse<Timer>| matches!(timer.0.kind, TimerKind::Policy(_));
        self.policy_timers = self.timers.iter().filter(is_policy_timer).count();
    }

    /// Returns the number of pending timers.
    pub fn len(&self) -> usize {
        self.timers.len()
    }

    /// Returns the time of the next timer.
    pub fn next_at(&self) -> Option<f64> {
        self.timers.peek().map(|Reverse(next)| next.at)
    }

    /// Removes the next timer that is due by `now`.
    pub fn pop_expired(&mut self, now: f64) -> Option<TimerKind> {
        self.next_at().filter(|at| *at <= now)?;
        let Reverse(timer) = self.timers.pop()?;
        self.policy_timers -= usize::from(matches!(timer.kind, TimerKind::Policy(_)));
        Some(timer.kind)
    }
}

/// The earliest pending timer of an owner. Guards against one timer per event: a timer is set only if none
/// that is pending fires before it.
pub(crate) struct EarliestTimer(f64);

impl Default for EarliestTimer {
    fn default() -> EarliestTimer {
        EarliestTimer(f64::INFINITY)
    }
}

impl EarliestTimer {
    /// Records that a timer of the owner has fired.
    pub fn fired(&mut self, now: f64) {
        if self.0 <= now {
            self.0 = f64::INFINITY;
        }
    }

    /// Ensures that a timer of the owner fires at the time `at` or earlier.
    pub fn set(&mut self, at: f64, kind: TimerKind, reactor: &mut Reactor) {
        if at < self.0 {
            self.0 = at;
            reactor.set_timer(at, kind);
        }
    }
}
