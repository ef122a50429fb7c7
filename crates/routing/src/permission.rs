//! The only place that decides whether an attempt may be begun or written now, and whether a request may
//! still be refused. The policy checks before each action. The code that carries out the actions keeps a
//! [`History`] of its own, of what was done and received, and checks again when it writes or answers.

use crate::effect::{Dedup, Effect};
use crate::outcome::Evidence;

/// Maximum pause of the process between reading its clock and writing (seconds): what may run only within a
/// window is written at least this long before the window ends.
pub(crate) const MAX_PROCESS_PAUSE: f64 = 0.15;
/// Maximum number of attempts of one request that were not written, and do not count for that reason.
const MAX_WITHDRAWALS: u32 = 3;
/// Maximum number of attempts of one request in flight if hedging is allowed.
const MAX_ATTEMPTS_IN_FLIGHT: usize = 2;

/// What a request's class and the settings allow; fixed when the request arrives.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRules {
    /// Effect of running the request more than once.
    pub effect: Effect,
    /// Scope in which repeats of a keyed request are dropped.
    pub dedup: Dedup,
    /// How long repeats are dropped (seconds).
    pub dedup_window: f64,
    /// Timeout for a connection (seconds): a further attempt may be written as late as this after it is
    /// begun.
    pub connect_timeout: f64,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Whether two attempts may be in flight (hedging).
    pub allow_hedging: bool,
    /// When the client stops waiting (seconds).
    pub deadline: f64,
}

impl Default for AttemptRules {
    /// Rules of a request that may be attempted once, at any time.
    fn default() -> AttemptRules {
        AttemptRules {
            effect: Effect::Unsafe,
            dedup: Dedup::Group,
            dedup_window: 0.0,
            connect_timeout: 0.0,
            max_attempts: 1,
            allow_hedging: false,
            deadline: f64::INFINITY,
        }
    }
}

/// Why an action is not permitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has had its final answer.
    Answered,
    /// Its client has stopped waiting.
    OutOfTime,
    /// The maximum number of attempts is used up.
    AttemptsSpent,
    /// Another attempt is in flight, and the rules allow no further one beside it.
    AlreadyInFlight,
    /// The request may have run, and must not run twice.
    NotRepeatable,
    /// The request may have run, and its repeats are no longer dropped.
    DedupWindowOver,
    /// The member accepts no new requests.
    Drained,
    /// The client has left.
    ClientLeft,
    /// A refusal would state that the request never ran, which is uncertain.
    MayHaveRun,
    /// This side must not close a connection while a reply is pending on it.
    ReplyPending,
    /// The member may not have reached the position that the read must reflect.
    Behind,
}

impl Denial {
    /// All denials, in the order of their counters.
    pub const ALL: [Denial; 11] = [
        Denial::Answered,
        Denial::OutOfTime,
        Denial::AttemptsSpent,
        Denial::AlreadyInFlight,
        Denial::NotRepeatable,
        Denial::DedupWindowOver,
        Denial::Drained,
        Denial::ClientLeft,
        Denial::MayHaveRun,
        Denial::ReplyPending,
        Denial::Behind,
    ];

    /// Name in counters.
    pub fn name(self) -> &'static str {
        match self {
            Denial::Answered => "answered",
            Denial::OutOfTime => "out_of_time",
            Denial::AttemptsSpent => "attempts_spent",
            Denial::AlreadyInFlight => "second_copy",
            Denial::NotRepeatable => "never_repeat",
            Denial::DedupWindowOver => "window_over",
            Denial::Drained => "drained",
            Denial::ClientLeft => "client_gone",
            Denial::MayHaveRun => "may_have_run",
            Denial::ReplyPending => "answer_owed",
            Denial::Behind => "behind",
        }
    }
}

/// Attempts of one request, and what is certain about them.
#[derive(Clone, Debug)]
pub struct History {
    rules: AttemptRules,
    /// When each attempt was begun (seconds), and what is certain about it; at most `max_attempts` and
    /// `MAX_WITHDRAWALS`.
    attempts: Vec<(f64, Evidence)>,
    /// Number of attempts that do not count, since they were not written.
    withdrawals: u32,
    answered: bool,
}

impl History {
    /// History of a request without attempts.
    pub fn new(rules: AttemptRules) -> History {
        History { rules, attempts: Vec::new(), withdrawals: 0, answered: false }
    }

    /// Checks whether a further attempt may be begun now.
    pub fn may_begin(&self, now: f64) -> Result<(), Denial> {
        let in_flight = self.attempts.iter().filter(|(_, evidence)| *evidence == Evidence::InFlight).count();
        if self.answered {
            return Err(Denial::Answered);
        }
        if in_flight >= if self.rules.allow_hedging { MAX_ATTEMPTS_IN_FLIGHT } else { 1 } {
            return Err(Denial::AlreadyInFlight);
        }
        if self.may_have_run() {
            match self.rules.effect {
                Effect::Safe => {}
                Effect::Unsafe => return Err(Denial::NotRepeatable),
                Effect::Keyed if now >= self.window_end() - self.rules.connect_timeout => {
                    return Err(Denial::DedupWindowOver);
                }
                Effect::Keyed => {}
            }
        }
        if self.attempts.len() as u32 - self.withdrawals >= self.rules.max_attempts {
            return Err(Denial::AttemptsSpent);
        }
        if now >= self.rules.deadline {
            return Err(Denial::OutOfTime);
        }
        Ok(())
    }

    /// Records that an attempt is begun. Returns its number, from 0.
    pub fn begin(&mut self, now: f64) -> usize {
        self.attempts.push((now, Evidence::InFlight));
        self.attempts.len() - 1
    }

    /// Returns until when the latest attempt may be written (seconds). A repeat that waits for its connection
    /// must not be written after its deduplication window.
    pub fn write_deadline(&self) -> f64 {
        let earlier = &self.attempts[..self.attempts.len().saturating_sub(1)];
        let repeats = earlier.iter().any(|(_, evidence)| !evidence.proves_not_run());
        if repeats && self.rules.effect == Effect::Keyed {
            return self.rules.deadline.min(self.window_end() - MAX_PROCESS_PAUSE);
        }
        self.rules.deadline
    }

    /// Records the end of an attempt, by its number.
    pub fn end(&mut self, attempt: usize, evidence: Evidence) {
        if let Some((_, known)) = self.attempts.get_mut(attempt) {
            *known = evidence;
        }
    }

    /// Records that an attempt was not written, since its member may be behind what the read must reflect.
    pub fn withdraw(&mut self, attempt: usize) {
        self.end(attempt, Evidence::NeverRan);
        self.withdrawals = (self.withdrawals + 1).min(MAX_WITHDRAWALS);
    }

    /// Returns true if so many attempts were withdrawn that the primary has to answer the read.
    pub fn withdrawals_spent(&self) -> bool {
        self.withdrawals >= MAX_WITHDRAWALS
    }

    /// Records that the final answer is given, or that the client has stopped waiting for it.
    pub fn close(&mut self) {
        self.answered = true;
    }

    /// Checks whether a refusal would be true: another try by the client can do no harm.
    pub fn may_refuse(&self) -> Result<(), Denial> {
        let dropped = self.rules.effect == Effect::Keyed && self.rules.dedup == Dedup::All;
        if self.rules.effect == Effect::Safe || dropped || !self.may_have_run() {
            return Ok(());
        }
        Err(Denial::MayHaveRun)
    }

    /// Returns true if any attempt may have had an effect.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|(_, evidence)| !evidence.proves_not_run())
    }

    /// Returns true if any attempt may have had an effect that another one could double.
    pub fn may_have_had_an_effect(&self) -> bool {
        self.rules.effect != Effect::Safe && self.may_have_run()
    }

    /// Returns when repeats cease to be dropped (seconds); infinite if nothing can have run.
    pub fn window_end(&self) -> f64 {
        let first = self.attempts.iter().find(|(_, evidence)| !evidence.proves_not_run());
        first.map_or(f64::INFINITY, |(begun, _)| begun + self.rules.dedup_window)
    }
}

#[cfg(test)]
mod tests;
