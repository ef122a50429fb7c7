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
pub struct Rules {
    /// What a repeat can do.
    pub effect: Effect,
    /// Where repeats of a keyed request are dropped.
    pub dedup: Dedup,
    /// For how long they are (seconds).
    pub window: f64,
    /// Time within which a connection is made or fails (seconds): a further attempt may take so long to be written.
    pub connect: f64,
    /// Most attempts.
    pub attempts: u32,
    /// Whether two attempts may be out together.
    pub copies: bool,
    /// When its client stops waiting (seconds).
    pub deadline: f64,
}

impl Default for Rules {
    /// Rules of a request that may be attempted once, whenever that is.
    fn default() -> Rules {
        Rules {
            effect: Effect::Unsafe,
            dedup: Dedup::Cell,
            window: 0.0,
            connect: 0.0,
            attempts: 1,
            copies: false,
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
    SecondCopy,
    /// It may have run, and may not run twice.
    NeverRepeat,
    /// It may have run, and repeats of it are dropped no longer.
    WindowOver,
    /// The member takes nothing new.
    Drained,
    /// The client has left.
    ClientGone,
    /// A refusal would say that it never ran, which is not certain.
    MayHaveRun,
    /// A connection may not be closed by this side while an answer is owed on it.
    AnswerOwed,
}

impl Denial {
    /// All of them, in the order of their counters.
    pub const ALL: [Denial; 10] = [
        Denial::Answered,
        Denial::OutOfTime,
        Denial::AttemptsSpent,
        Denial::SecondCopy,
        Denial::NeverRepeat,
        Denial::WindowOver,
        Denial::Drained,
        Denial::ClientGone,
        Denial::MayHaveRun,
        Denial::AnswerOwed,
    ];

    /// Its name in counters.
    pub fn name(self) -> &'static str {
        match self {
            Denial::Answered => "answered",
            Denial::OutOfTime => "out_of_time",
            Denial::AttemptsSpent => "attempts_spent",
            Denial::SecondCopy => "second_copy",
            Denial::NeverRepeat => "never_repeat",
            Denial::WindowOver => "window_over",
            Denial::Drained => "drained",
            Denial::ClientGone => "client_gone",
            Denial::MayHaveRun => "may_have_run",
            Denial::AnswerOwed => "answer_owed",
        }
    }
}

/// What was done about one request, and what is certain of it.
#[derive(Clone, Debug)]
pub struct History {
    rules: Rules,
    /// When each attempt was begun (seconds), and what is certain of it; at most as many as the rules allow.
    attempts: Vec<(f64, Evidence)>,
    answered: bool,
}

impl History {
    /// Of a request for which nothing has been done.
    pub fn new(rules: Rules) -> History {
        History { rules, attempts: Vec::new(), answered: false }
    }

    /// Whether a further attempt may be begun now.
    pub fn may_begin(&self, now: f64) -> Result<(), Denial> {
        let out = self.attempts.iter().filter(|(_, evidence)| *evidence == Evidence::Out).count();
        if self.answered {
            return Err(Denial::Answered);
        }
        if out >= if self.rules.copies { MOST_COPIES } else { 1 } {
            return Err(Denial::SecondCopy);
        }
        if self.may_have_run() {
            match self.rules.effect {
                Effect::Safe => {}
                Effect::Unsafe => return Err(Denial::NeverRepeat),
                Effect::Keyed if now >= self.window_end() - self.rules.connect => {
                    return Err(Denial::WindowOver);
                }
                Effect::Keyed => {}
            }
        }
        if self.attempts.len() as u32 >= self.rules.attempts {
            return Err(Denial::AttemptsSpent);
        }
        if now >= self.rules.deadline {
            return Err(Denial::OutOfTime);
        }
        Ok(())
    }

    /// An attempt is begun; its number, from 0.
    pub fn begin(&mut self, now: f64) -> usize {
        self.attempts.push((now, Evidence::Out));
        self.attempts.len() - 1
    }

    /// Until when the attempt begun last may be written (seconds). A repeat that waits for its connection may not be written after
    /// its window.
    pub fn write_by(&self) -> f64 {
        let earlier = &self.attempts[..self.attempts.len().saturating_sub(1)];
        let repeats = earlier.iter().any(|(_, evidence)| !evidence.proves_untouched());
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
        self.attempts.iter().any(|(_, evidence)| !evidence.proves_untouched())
    }

    /// When repeats of it cease to be dropped (seconds); never where nothing can have run.
    pub fn window_end(&self) -> f64 {
        let first = self.attempts.iter().find(|(_, evidence)| !evidence.proves_untouched());
        first.map_or(f64::INFINITY, |(begun, _)| begun + self.rules.window)
    }
}

#[cfg(test)]
mod tests;
