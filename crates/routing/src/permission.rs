//! The one place that decides whether an attempt may be begun or written now, and whether a request may still be refused.
//! The decisions ask it before each action; whoever carries them out keeps a [`History`] of its own, of what was done
//! and received, and asks again at the moment of writing or answering.

use crate::effect::{Dedup, Effect};
use crate::outcome::Evidence;

/// A process may be held up for so long between reading its clock and writing (seconds): what may run only within a window is
/// written so long before its end.
const HELD_UP: f64 = 0.15;
/// Attempts of one request that may be out together where settings allow copies.
const MOST_COPIES: usize = 2;

/// What the class of a request and the settings allow; fixed when the request is taken in.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRules {
    /// What a repeat can do.
    pub effect: Effect,
    /// Where repeats of a keyed request are dropped.
    pub dedup: Dedup,
    /// For how long they are (seconds).
    pub dedup_window: f64,
    /// Time within which a connection is made or fails (seconds): a further attempt may take so long to be written.
    pub connect_timeout: f64,
    /// Most attempts.
    pub max_attempts: u32,
    /// Whether two attempts may be out together.
    pub allow_hedging: bool,
    /// When its client stops waiting (seconds).
    pub deadline: f64,
}

impl Default for AttemptRules {
    /// Rules of a request that may be attempted once, whenever that is.
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

/// Why something may not be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has had its final answer.
    Answered,
    /// Its client waits no longer.
    OutOfTime,
    /// It has had as many attempts as are allowed.
    AttemptsSpent,
    /// Another attempt is out, and copies are not allowed.
    AlreadyInFlight,
    /// It may have run, and may not run twice.
    NotRepeatable,
    /// It may have run, and repeats of it are dropped no longer.
    DedupWindowOver,
    /// The member takes nothing new.
    Drained,
    /// The client has left.
    ClientLeft,
    /// A refusal would say that it never ran, which is not certain.
    MayHaveRun,
    /// A connection may not be closed by this side while an answer is owed on it.
    ReplyPending,
}

impl Denial {
    /// All of them, in the order of their counters.
    pub const ALL: [Denial; 10] = [
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
    ];

    /// Its name in counters.
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
        }
    }
}

/// What was done about one request, and what is certain of it.
#[derive(Clone, Debug)]
pub struct History {
    rules: AttemptRules,
    /// When each attempt was begun (seconds), and what is certain of it; at most as many as the rules allow.
    attempts: Vec<(f64, Evidence)>,
    answered: bool,
}

impl History {
    /// Of a request for which nothing has been done.
    pub fn new(rules: AttemptRules) -> History {
        History { rules, attempts: Vec::new(), answered: false }
    }

    /// Whether a further attempt may be begun now.
    pub fn may_begin(&self, now: f64) -> Result<(), Denial> {
        let out = self.attempts.iter().filter(|(_, evidence)| *evidence == Evidence::InFlight).count();
        if self.answered {
            return Err(Denial::Answered);
        }
        if out >= if self.rules.allow_hedging { MOST_COPIES } else { 1 } {
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
        if self.attempts.len() as u32 >= self.rules.max_attempts {
            return Err(Denial::AttemptsSpent);
        }
        if now >= self.rules.deadline {
            return Err(Denial::OutOfTime);
        }
        Ok(())
    }

    /// An attempt is begun; its number, from 0.
    pub fn begin(&mut self, now: f64) -> usize {
        self.attempts.push((now, Evidence::InFlight));
        self.attempts.len() - 1
    }

    /// Until when the attempt begun last may be written (seconds). A repeat that waits for its connection may not be written after
    /// its window.
    pub fn write_deadline(&self) -> f64 {
        let earlier = &self.attempts[..self.attempts.len().saturating_sub(1)];
        let repeats = earlier.iter().any(|(_, evidence)| !evidence.proves_not_run());
        if repeats && self.rules.effect == Effect::Keyed {
            return self.rules.deadline.min(self.window_end() - HELD_UP);
        }
        self.rules.deadline
    }

    /// An attempt has ended, by its number.
    pub fn end(&mut self, attempt: usize, evidence: Evidence) {
        if let Some((_, known)) = self.attempts.get_mut(attempt) {
            *known = evidence;
        }
    }

    /// The final answer is given, or nobody waits for it any more.
    pub fn close(&mut self) {
        self.answered = true;
    }

    /// Whether a refusal is true: another try by the client could do no harm.
    pub fn may_refuse(&self) -> Result<(), Denial> {
        let dropped = self.rules.effect == Effect::Keyed && self.rules.dedup == Dedup::All;
        if self.rules.effect == Effect::Safe || dropped || !self.may_have_run() {
            return Ok(());
        }
        Err(Denial::MayHaveRun)
    }

    /// Whether anything may have come of it so far.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|(_, evidence)| !evidence.proves_not_run())
    }

    /// When repeats of it cease to be dropped (seconds); never where nothing can have run.
    pub fn window_end(&self) -> f64 {
        let first = self.attempts.iter().find(|(_, evidence)| !evidence.proves_not_run());
        first.map_or(f64::INFINITY, |(begun, _)| begun + self.rules.dedup_window)
    }
}

#[cfg(test)]
mod tests;
