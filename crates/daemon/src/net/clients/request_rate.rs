//! The rate of a connection's requests.

/// Half-life of the rate (seconds).
const HALF_LIFE: f64 = 0.25;

/// An exponentially decaying count of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestRate {
    /// The decayed number of requests as of `updated_at`.
    count: f64,
    updated_at: f64,
}

impl RequestRate {
    /// Records a request.
    pub fn record(&mut self, now: f64) {
        *self = RequestRate { count: self.decayed(now) + 1.0, updated_at: now };
    }

    /// Returns the requests per second of late.
    pub fn per_second(&self, now: f64) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / HALF_LIFE
    }

    fn decayed(&self, now: f64) -> f64 {
        self.count * 0.5f64.powf((now - self.updated_at).max(0.0) / HALF_LIFE)
    }
}
