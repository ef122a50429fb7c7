//! Timers, and the earliest one of an owner.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::{Rc, Weak};

use super::source::Slot;
use super::Reactor;

/// Timers whose owners have ended are first removed once this many timers are pending.
const MIN_TIMERS_BEFORE_REMOVAL: usize = 512;

/// Owner of a timer. It checks, when the timer fires, whether that is still relevant. Only the timers of an
/// [`EarliestTimer`] are cancelled.
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
    /// Ends with the owner, if the timer is one of an [`EarliestTimer`].
    owner: Option<Weak<()>>,
}

impl Timer {
    /// Returns true if the owner has ended or has set an earlier timer.
    fn is_cancelled(&self) -> bool {
        self.owner.as_ref().is_some_and(|owner| owner.strong_count() == 0)
    }
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
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<Timer>>,
    timers_set: u64,
    /// Cancelled timers are removed when the queue reaches this length.
    remove_cancelled_at: usize,
    /// Number of pending timers of the policy.
    policy_timers: usize,
}

impl Default for TimerQueue {
    fn default() -> TimerQueue {
        TimerQueue {
            timers: BinaryHeap::new(),
            timers_set: 0,
            remove_cancelled_at: MIN_TIMERS_BEFORE_REMOVAL,
            policy_timers: 0,
        }
    }
}

impl TimerQueue {
    /// Sets a timer that stays until it fires.
    pub fn set(&mut self, at: f64, kind: TimerKind) {
        self.policy_timers += usize::from(matches!(kind, TimerKind::Policy(_)));
        self.push(at, kind, None);
    }

    /// Sets a timer that is cancelled when its owner ends.
    fn set_owned(&mut self, at: f64, kind: TimerKind, owner: Weak<()>) {
        self.push(at, kind, Some(owner));
    }

    fn push(&mut self, at: f64, kind: TimerKind, owner: Option<Weak<()>>) {
        self.timers_set += 1;
        self.timers.push(Reverse(Timer { at, number: self.timers_set, kind, owner }));
        if self.timers.len() >= self.remove_cancelled_at {
            self.timers.retain(|Reverse(timer)| !timer.is_cancelled());
            // Cancelled timers are removed many at a time, so that each costs little.
            self.remove_cancelled_at = MIN_TIMERS_BEFORE_REMOVAL.max(2 * self.timers.len());
        }
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
        while self.next_at().is_some_and(|at| at <= now) {
            let Reverse(timer) = self.timers.pop()?;
            self.policy_timers -= usize::from(matches!(timer.kind, TimerKind::Policy(_)));
            if !timer.is_cancelled() {
                return Some(timer.kind);
            }
        }
        None
    }
}

/// The pending timer of an owner, which ends with it. Guards against one timer per event, and against timers of
/// many connections that have ended.
#[derive(Default)]
pub(crate) struct EarliestTimer(Option<PendingTimer>);

struct PendingTimer {
    at: f64,
    /// The timer in the queue is cancelled when this is dropped.
    _owner: Rc<()>,
}

impl EarliestTimer {
    /// Records that a timer of the owner has fired.
    pub fn fired(&mut self, now: f64) {
        self.0.take_if(|pending| pending.at <= now);
    }

    /// Ensures that a timer of the owner fires at the time `at` or earlier.
    pub fn set(&mut self, at: f64, kind: TimerKind, reactor: &mut Reactor) {
        let pending_at = self.0.as_ref().map_or(f64::INFINITY, |pending| pending.at);
        if at < pending_at {
            let owner = Rc::new(());
            reactor.timers.set_owned(at, kind, Rc::downgrade(&owner));
            self.0 = Some(PendingTimer { at, _owner: owner });
        }
    }
}
