//! Clock of a run: Unix time at the start of the process plus the monotonic time since then. Processes of one
//! host agree to far less than a millisecond unless the system clock is set during a run.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that returns Unix time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_at_start: f64,
    started_at: Instant,
}

impl Default for Clock {
    fn default() -> Clock {
        let unix_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Clock { unix_at_start, started_at: Instant::now() }
    }
}

impl Clock {
    /// Returns the current Unix time (seconds).
    pub fn now(&self) -> f64 {
        self.unix_at_start + self.started_at.elapsed().as_secs_f64()
    }
}
