//! Selects the endpoint and the time of the next call: endpoints are judged by the results of calls, retries
//! use full-jitter backoff, and a budget limits the call rate, so that a fleet which loses its registry does
//! not overload it when it comes back.

/// Limits the rate of calls.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    /// Maximum delay before the first retry (seconds); doubles with each consecutive failure up to
    /// `max_delay`.
    pub first_delay: f64,
    /// Upper bound of the retry delay (seconds).
    pub max_delay: f64,
    /// Calls that may be made at once after an idle period.
    pub burst: f64,
    /// Sustained calls per second.
    pub rate: f64,
    /// Whether a delay is drawn between 0 and its maximum (full jitter), or always is the maximum.
    pub jitter: bool,
}

impl Default for Pacing {
    fn default() -> Self {
        Pacing { first_delay: 0.2, max_delay: 10.0, burst: 20.0, rate: 2.0, jitter: true }
    }
}

#[derive(Clone, Debug, Default)]
struct Endpoint {
    /// Consecutive failures.
    failures: u32,
    /// No call is made before this time.
    not_before: f64,
}

/// The endpoints of one registry.
pub struct Endpoints {
    list: Vec<Endpoint>,
    current: usize,
    pacing: Pacing,
    tokens: f64,
    refilled_at: f64,
    rng: fastrand::Rng,
}

impl Endpoints {
    /// `count` endpoints; the first one in use is selected at random, so that a fleet is distributed over
    /// them.
    pub fn new(count: usize, pacing: Pacing, seed: u64, now: f64) -> Endpoints {
        let mut rng = fastrand::Rng::with_seed(seed);
        let current = rng.usize(0..count.max(1));
        let list = vec![Endpoint::default(); count.max(1)];
        Endpoints { list, current, pacing, tokens: pacing.burst, refilled_at: now, rng }
    }

    /// Returns the endpoint in use.
    pub fn current(&self) -> usize {
        self.current
    }

    /// Returns the time of the next call, at the earliest `now`; consumes one call of the budget.
    pub fn next_call_at(&mut self, now: f64) -> f64 {
        self.tokens =
            (self.tokens + (now - self.refilled_at).max(0.0) * self.pacing.rate).min(self.pacing.burst);
        self.refilled_at = now;
        self.tokens -= 1.0;
        let earliest = if self.tokens >= 0.0 { now } else { now - self.tokens / self.pacing.rate };
        earliest.max(self.list[self.current].not_before)
    }

    /// Records that the endpoint in use has answered.
    pub fn record_success(&mut self) {
        self.list[self.current] = Endpoint::default();
    }

    /// Records that the endpoint in use has failed. It is not used during its backoff; the endpoint whose
    /// backoff ends first becomes the next in use.
    pub fn record_failure(&mut self, now: f64) {
        let endpoint = &mut self.list[self.current];
        endpoint.failures = endpoint.failures.saturating_add(1);
        let max_wait = (self.pacing.first_delay
            * f64::from(1u32 << endpoint.failures.min(16).saturating_sub(1)))
        .min(self.pacing.max_delay);
        // Full jitter: clients that fail together do not retry together.
        endpoint.not_before = now + max_wait * if self.pacing.jitter { self.rng.f64() } else { 1.0 };
        let count = self.list.len();
        let others = (1..count).map(|step| (self.current + step) % count);
        let best = others.min_by(|a, b| self.list[*a].not_before.total_cmp(&self.list[*b].not_before));
        if let Some(best) =
            best.filter(|best| self.list[*best].not_before <= self.list[self.current].not_before)
        {
            self.current = best;
        }
    }

    /// Switches to the next endpoint without recording a failure of this one, for a second opinion.
    pub fn use_next(&mut self) {
        self.current = (self.current + 1) % self.list.len();
    }
}
