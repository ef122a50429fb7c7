//! Rate of requests at a pooler, and the token bucket for a tenant's share.

/// Half-life of the measured rate of requests (seconds).
const HALF_LIFE: f64 = 2.0;
/// Minimum size of a tenant's bucket (requests): in a large fleet a pooler's part of a quota is under one per
/// second.
const MIN_SAVED_REQUESTS: f64 = 2.0;

/// Exponentially decaying count of requests at a pooler.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Demand {
    /// Decayed number of requests as of `updated_at`.
    count: f64,
    updated_at: f64,
    /// When the first request arrived (seconds).
    first_at: Option<f64>,
}

impl Demand {
    /// Records the arrival of a request.
    pub fn record(&mut self, now: f64) {
        let first_at = self.first_at.unwrap_or(now);
        *self = Demand {
            count: self.count * decay_factor(now - self.updated_at, HALF_LIFE) + 1.0,
            updated_at: now,
            first_at: Some(first_at),
        };
    }

    /// Returns the present rate (requests per second).
    pub fn rate(&self, now: f64) -> f64 {
        // Corrects for a pooler that has counted only for a short time.
        let counted =
            1.0 - decay_factor((now - self.first_at.unwrap_or(now)).max(HALF_LIFE / 4.0), HALF_LIFE);
        self.count * decay_factor(now - self.updated_at, HALF_LIFE) * std::f64::consts::LN_2
            / HALF_LIFE
            / counted
    }
}

/// Returns the factor by which a value decays in `elapsed` at this half-life (both in seconds).
pub(crate) fn decay_factor(elapsed: f64, half_life: f64) -> f64 {
    0.5f64.powf(elapsed.max(0.0) / half_life)
}

/// Token bucket of a tenant's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TenantShare {
    /// Saved requests as of `updated_at`.
    saved: f64,
    updated_at: f64,
}

impl TenantShare {
    /// The bucket of a new tenant.
    pub fn new(now: f64) -> TenantShare {
        TenantShare { saved: MIN_SAVED_REQUESTS, updated_at: now }
    }

    /// Takes one request from a share of `rate` requests per second. Returns false if the bucket is empty.
    pub fn try_take(&mut self, now: f64, rate: f64) -> bool {
        let earned = (now - self.updated_at).max(0.0) * rate;
        let saved = (self.saved + earned).min(rate.max(MIN_SAVED_REQUESTS));
        *self = TenantShare { saved: (saved - 1.0).max(0.0), updated_at: now };
        saved >= 1.0
    }
}
