//! Latency of a member relative to that of the same classes at other members. In a large fleet each pooler
//! gets few answers from a member, whose load is mostly that of other poolers: the estimate has to work with
//! few answers, and also uses attempts that were abandoned before their answer.

use crate::demand::decay_factor;

/// Weight of the initial assumption (a ratio of 1), in answers.
const PRIOR_ANSWERS: f64 = 2.0;
/// Maximum weight of the past answers, so that a change shows within about ten answers.
const MAX_ANSWERS: f64 = 8.0;
/// Maximum ratio that one answer contributes: some requests take very long by themselves.
const MAX_RATIO: f64 = 10.0;

/// Running mean of the ratio of latency to the mean latency of the class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RelativeLatency {
    mean: f64,
    /// Weight of the mean in answers, as of `updated_at`.
    answers: f64,
    updated_at: f64,
}

impl Default for RelativeLatency {
    fn default() -> Self {
        RelativeLatency { mean: 1.0, answers: 0.0, updated_at: f64::NEG_INFINITY }
    }
}

impl RelativeLatency {
    fn weight(&self, now: f64, half_life: f64) -> f64 {
        self.answers * decay_factor(now - self.updated_at, half_life)
    }

    /// Returns the ratio to expect now; it approaches 1 while there are no answers.
    pub fn ratio(&self, now: f64, half_life: f64) -> f64 {
        let answers = self.weight(now, half_life);
        (PRIOR_ANSWERS + answers * self.mean) / (PRIOR_ANSWERS + answers)
    }

    /// Records an answer whose latency was `ratio` times that of its class.
    pub fn record(&mut self, now: f64, half_life: f64, ratio: f64) {
        let answers = self.weight(now, half_life);
        let mean = (self.mean * answers + ratio.min(MAX_RATIO)) / (answers + 1.0);
        *self = RelativeLatency { mean, answers: (answers + 1.0).min(MAX_ANSWERS), updated_at: now };
    }
}
