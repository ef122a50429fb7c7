//! What is counted of requests by time: how many a proxy gets in a second, and what a tenant has saved up of its share.

/// Half-life of what is known of the rate of requests (seconds).
const HALF_LIFE: f64 = 2.0;
/// Requests that a tenant may save up at least: at many proxies a second's part of its share is under one.
const LEAST: f64 = 2.0;

/// The rate of requests that a proxy gets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Demand {
    /// Requests, those of long ago faded.
    count: f64,
    at: f64,
    /// When the first came.
    begun: Option<f64>,
}

impl Demand {
    /// A request has come.
    pub fn take(&mut self, now: f64) {
        let begun = self.begun.unwrap_or(now);
        *self =
            Demand { count: self.count * faded(now - self.at, HALF_LIFE) + 1.0, at: now, begun: Some(begun) };
    }

    /// How many come in a second by now.
    pub fn rate(&self, now: f64) -> f64 {
        // A proxy that has just started has counted for a short time only.
        let counted = 1.0 - faded((now - self.begun.unwrap_or(now)).max(HALF_LIFE / 4.0), HALF_LIFE);
        self.count * faded(now - self.at, HALF_LIFE) * std::f64::consts::LN_2 / HALF_LIFE / counted
    }
}

/// What is left after a time of what counted as 1, with this half-life (both in seconds).
pub(crate) fn faded(time: f64, half_life: f64) -> f64 {
    0.5f64.powf(time.max(0.0) / half_life)
}

/// What a tenant has saved up of its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Share {
    /// Requests.
    saved: f64,
    at: f64,
}

impl Share {
    /// That of a tenant which is new now.
    pub fn new(now: f64) -> Share {
        Share { saved: LEAST, at: now }
    }

    /// Takes one request out of a share of so many a second; whether it was there.
    pub fn take(&mut self, now: f64, rate: f64) -> bool {
        let earned = (now - self.at).max(0.0) * rate;
        let saved = (self.saved + earned).min(rate.max(LEAST));
        *self = Share { saved: (saved - 1.0).max(0.0), at: now };
        saved >= 1.0
    }
}
