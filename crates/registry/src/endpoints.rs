//! Whom to call, and when: health by use, full-jitter backoff, and a budget of calls, so that a fleet which loses
//! its registry does not crush it as it comes back.

/// How fast calls may follow one another.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    /// Longest wait before a first new try (seconds); doubles with each failure in a row ...
    pub first_delay: f64,
    /// ... up to this (seconds).
    pub max_delay: f64,
    /// Calls that may be made at once, where none were made for long.
    pub burst: f64,
    /// Calls a second, in the long run.
    pub rate: f64,
    /// Whether a wait is drawn from its whole span, or is always all of it.
    pub jitter: bool,
}

impl Default for Pacing {
    fn default() -> Self {
        Pacing { first_delay: 0.2, max_delay: 10.0, burst: 20.0, rate: 2.0, jitter: true }
    }
}

#[derive(Clone, Debug, Default)]
struct Endpoint {
    /// Failures in a row.
    failures: u32,
    /// Not called before then.
    until: f64,
}

/// The endpoints of one registry.
pub struct Endpoints {
    list: Vec<Endpoint>,
    current: usize,
    pace: Pacing,
    tokens: f64,
    at: f64,
    rng: fastrand::Rng,
}

impl Endpoints {
    /// So many endpoints; which is called first is drawn, so that a fleet spreads over them.
    pub fn new(count: usize, pace: Pacing, seed: u64, now: f64) -> Endpoints {
        let mut rng = fastrand::Rng::with_seed(seed);
        let current = rng.usize(0..count.max(1));
        let list = vec![Endpoint::default(); count.max(1)];
        Endpoints { list, current, pace, tokens: pace.burst, at: now, rng }
    }

    /// The endpoint in use.
    pub fn current(&self) -> usize {
        self.current
    }

    /// When the next call may be made, from `now` on; takes its place in the budget.
    pub fn next_call_at(&mut self, now: f64) -> f64 {
        self.tokens = (self.tokens + (now - self.at).max(0.0) * self.pace.rate).min(self.pace.burst);
        self.at = now;
        self.tokens -= 1.0;
        let budget = if self.tokens >= 0.0 { now } else { now - self.tokens / self.pace.rate };
        budget.max(self.list[self.current].until)
    }

    /// The endpoint in use has answered.
    pub fn record_success(&mut self) {
        self.list[self.current] = Endpoint::default();
    }

    /// The endpoint in use has failed: it rests, and the one that has rested for longest is the next in use.
    pub fn record_failure(&mut self, now: f64) {
        let endpoint = &mut self.list[self.current];
        endpoint.failures = endpoint.failures.saturating_add(1);
        let most = (self.pace.first_delay * f64::from(1u32 << endpoint.failures.min(16).saturating_sub(1)))
            .min(self.pace.max_delay);
        // Anywhere in the whole span: of many clients that fail together, no two come back together.
        endpoint.until = now + most * if self.pace.jitter { self.rng.f64() } else { 1.0 };
        let count = self.list.len();
        let others = (1..count).map(|step| (self.current + step) % count);
        let best = others.min_by(|a, b| self.list[*a].until.total_cmp(&self.list[*b].until));
        if let Some(best) = best.filter(|best| self.list[*best].until <= self.list[self.current].until) {
            self.current = best;
        }
    }

    /// Goes over to another endpoint without holding anything against this one: for a second opinion.
    pub fn use_next(&mut self) {
        self.current = (self.current + 1) % self.list.len();
    }
}
