//! How long a member takes, against what its like takes elsewhere. At many proxies each sees an answer of a member now
//! and then, and the load behind it is all others': few answers have to tell, and those that nobody waited for
//! to the end tell as much.

use crate::demand::faded;

/// What is assumed of a member counts as so many answers.
const PRIOR: f64 = 2.0;
/// Answers that count at the most, so that a change shows within about ten.
const MOST: f64 = 8.0;
/// Longest multiple that one answer counts for: a few are out for very long by themselves.
const LONGEST: f64 = 10.0;

/// Time to answer over what the class takes elsewhere, by the answers of late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pace {
    mean: f64,
    /// Answers that it stands on.
    answers: f64,
    at: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { mean: 1.0, answers: 0.0, at: f64::NEG_INFINITY }
    }
}

impl Pace {
    fn answers(&self, now: f64, half_life: f64) -> f64 {
        self.answers * faded(now - self.at, half_life)
    }

    /// The multiple to expect now; 1 where nothing has been heard for long.
    pub fn ratio(&self, now: f64, half_life: f64) -> f64 {
        let answers = self.answers(now, half_life);
        (PRIOR + answers * self.mean) / (PRIOR + answers)
    }

    /// An answer took so many times as long as its like does.
    pub fn take(&mut self, now: f64, half_life: f64, multiple: f64) {
        let answers = self.answers(now, half_life);
        let mean = (self.mean * answers + multiple.min(LONGEST)) / (answers + 1.0);
        *self = Pace { mean, answers: (answers + 1.0).min(MOST), at: now };
    }
}
