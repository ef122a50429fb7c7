//! Latency of each class of requests, estimated from its answers.

/// Weight of a new sample in the running means: they cover about ten answers, and so follow a change quickly.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Initial estimate of a class's latency as a share of its aim, used until there are answers.
const INITIAL_AIM_SHARE: f64 = 0.25;

/// Weight of a new sample in the latency without load: it outlasts an overload of a thousand answers.
const BASE_SAMPLE_WEIGHT: f64 = 1e-3;

/// Running means of the latency of a class (seconds).
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Latency {
    pub mean: f64,
    /// Mean absolute deviation.
    pub deviation: f64,
    /// Latency without load: the lowest mean so far, which rises slowly towards the present mean.
    pub base: f64,
    /// Number of answers in the mean, up to the number that still count; 0 for the initial estimate.
    pub answers: u32,
}

impl Latency {
    /// Initial estimate for a class with this aim (seconds).
    pub fn initial(aim: f64) -> Latency {
        Latency {
            mean: aim * INITIAL_AIM_SHARE,
            deviation: aim * INITIAL_AIM_SHARE,
            base: aim * INITIAL_AIM_SHARE,
            answers: 0,
        }
    }

    /// Records an answer that took `elapsed` seconds.
    pub fn record(&mut self, elapsed: f64) {
        // The initial estimate counts as one answer, so that a few answers correct a wrong one.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.answers + 2));
        self.deviation += weight * ((elapsed - self.mean).abs() - self.deviation);
        self.mean += weight * (elapsed - self.mean);
        self.base = (self.base + BASE_SAMPLE_WEIGHT * (self.mean - self.base)).min(self.mean);
        self.answers = (self.answers + 1).min((1.0 / SAMPLE_WEIGHT) as u32);
    }
}
