//! A stand-in for a member, which knows its true position at any time.

/// A member's role and position since an event.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    pub primary: bool,
    /// Position of a replica at `since`.
    position: f64,
    since: f64,
    /// How fast a replica applies the log: 0 if not at all, 1 at the pace of the primary, more to catch up.
    rate: f64,
}

impl Member {
    pub fn primary() -> Member {
        Member { primary: true, position: 0.0, since: 0.0, rate: 1.0 }
    }

    pub fn replica(now: f64, lag: f64) -> Member {
        Member { primary: false, position: now - lag, since: now, rate: 1.0 }
    }

    /// Returns the position of the data that the member answers from at `at`.
    pub fn position(&self, at: f64) -> f64 {
        if self.primary {
            return at;
        }
        (self.position + self.rate * (at - self.since)).min(at)
    }

    /// Returns the position that the member states: in whole milliseconds, rounded down.
    pub fn stated_position(&self, at: f64) -> f64 {
        (self.position(at) * 1000.0).floor() / 1000.0
    }

    /// A replica applies the log at another rate from now on.
    pub fn set_rate(&mut self, now: f64, rate: f64) {
        (self.position, self.since, self.rate) = (self.position(now), now, rate);
    }

    /// The member takes another role. One that is deposed applies nothing at first.
    pub fn set_primary(&mut self, now: f64, primary: bool) {
        self.set_rate(now, 0.0);
        self.primary = primary;
    }
}
