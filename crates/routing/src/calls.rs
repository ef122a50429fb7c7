//! When the list of members is asked for. One service answers all proxies in turn: calls that have waited too long fail, and
//! have taken its time all the same. Proxies that come back together, or are turned down together, must not call
//! together again, or none of them is ever answered.

/// First back-off after a call that failed, as a share of the time within which the list must be asked for; doubles with each
/// failure ...
const FIRST: f64 = 1.0 / 16.0;
/// ... until calls come so long after each other (seconds), and up to a second more by a draw of their own. Whatever has become
/// of the calls before, a change counts as told 6 s after discovery has it and can be reached: the next call comes 5 s after
/// that at the latest, and one second is left for a line. Proxies that all call once in this time come evenly spread over
/// it, which is what a service that has just come back can take in, and nothing shorter would be.
const PERIOD: f64 = 4.0;
/// Calls come closer together where answers were slow: what lies between two of them, the draw and the answer together stay
/// within this (seconds), well inside the 6 s after which a change counts as told ...
const HEARD_WITHIN: f64 = 5.7;
/// ... but no closer than this (seconds), and not where answers take too long for that anyway ...
const PERIOD_LEAST: f64 = 1.0;
/// ... nor after a call that was turned down only after so long (seconds): it stood in a line, which more calls would lengthen.
const STOOD_IN_LINE: f64 = 0.5;
/// A call that waited in vain stood in a line that long: the next one comes so many times as long after.
const LINE: f64 = 2.0;
/// Fewer proxies need not be spread so far: their calls come as close as the service can take them in, but no closer than this
/// (seconds) ...
const PERIOD_OF_FEW: f64 = 1.2;
/// Time that the service is taken to need for a call (seconds): what proxies that start together leave each other ...
const CALL: f64 = 0.04;
/// ... up to this (seconds).
const START_MOST: f64 = 4.0;

/// Whole fleets fall silent in one moment: each calls within so long of noticing it (seconds), at a moment of its own.
/// With the two seconds between the lines of a watch, which come at a moment of its own too, discovery has four
/// seconds for all of them.
const SPREAD: f64 = 2.0;
/// Calls that hang are only those that stood in line when discovery fell silent: they leave each other less (seconds).
const SPREAD_OF_HUNG: f64 = 0.5;
/// What silence hides counts as told six seconds after it began, heard or not. Noticing it takes two of them and a
/// little more; for the rest (seconds) a call that fails is made again without a growing back-off.
const HURRY: f64 = 4.0;

/// The calls for the list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Calls {
    /// The list is followed.
    following: bool,
    /// When the call went out that nothing has been heard of.
    called: Option<f64>,
    again: f64,
    failures: u32,
    /// How many proxies call; 0 where that is not known.
    fleet: u32,
    /// Since when an answer has been waited for, over calls that were made one beside another.
    asked: Option<f64>,
    /// How long the last answer took (seconds).
    slow: f64,
    /// Until then the list that is held may be behind what counts as told unless it is heard.
    hurry: f64,
}

impl Calls {
    /// One of so many proxies has started with a list at hand, `draw` (0 to 1) its own: where all start together, they call one
    /// after another.
    pub fn started(&mut self, now: f64, fleet: u32, draw: f64) {
        self.fleet = fleet;
        self.again = now + draw * (f64::from(fleet) * CALL).min(START_MOST);
    }

    /// Whether to call now; the call counts as made. Should nobody say what became of it, it is made again.
    pub fn due(&mut self, now: f64) -> bool {
        let due = !self.following && now >= self.again;
        if due {
            (self.called, self.again) = (Some(now), now + self.period(PERIOD));
            self.asked = self.asked.or(Some(now));
        }
        due
    }

    /// The call, or what was followed, has failed. Whether that is new.
    pub fn failed(&mut self, now: f64, within: f64, draw: f64) -> bool {
        let called = self.called.take();
        let hurried = now < self.hurry;
        let doubled = f64::from(1u32 << if hurried { 0 } else { self.failures.min(4) });
        // Turned down: the next answer is waited for from the next call on.
        self.asked = None;
        let line = called.filter(|_| !hurried).map_or(0.0, |called| (now - called) * LINE);
        let wait = (within * FIRST).max(line) * doubled * (0.5 + draw);
        let stood = called.is_some_and(|called| now - called >= STOOD_IN_LINE);
        let of_fleet = self.period_of_fleet();
        let period = if stood { of_fleet } else { self.period(of_fleet) };
        self.again = (now + wait).min(called.unwrap_or(now) + period + draw).max(now);
        (self.following, self.failures) = (false, self.failures + 1);
        self.failures == 1
    }

    /// What was followed says nothing any more, or a call hangs, at one of so many proxies. Whether that is new.
    pub fn silent(&mut self, now: f64, fleet: u32, draw: f64) -> bool {
        let hung = self.called.take();
        match hung.filter(|_| self.failures > 0 && now >= self.hurry) {
            // One call after another hangs: a service that comes back announces nothing.
            Some(called) => self.again = (called + self.period(PERIOD) + draw).max(now),
            None => {
                if hung.is_none() || self.failures == 0 {
                    self.hurry = now + HURRY;
                }
                let spread = if hung.is_some() { SPREAD_OF_HUNG } else { SPREAD };
                self.again = now + draw * spread * (1.0 - 1.0 / f64::from(fleet.max(1)));
            }
        }
        (self.following, self.failures) = (false, self.failures + 1);
        self.failures == 1
    }

    /// The longest time between two calls, but for the draw (seconds): less where answers were slow.
    fn period(&self, longest: f64) -> f64 {
        let left = HEARD_WITHIN - 1.0 - self.slow;
        if left < PERIOD_LEAST {
            longest
        } else {
            left.min(longest)
        }
    }

    /// The same after a call that was turned down, where answers are quick: all proxies call once in this time. One that has no answer
    /// yet keeps its place, and needs no other beside it so soon.
    fn period_of_fleet(&self) -> f64 {
        match self.fleet {
            0 => PERIOD,
            fleet => (f64::from(fleet) * CALL).clamp(PERIOD_OF_FEW, PERIOD),
        }
    }

    /// News has come: the list is followed. Whether it was lost before.
    pub fn told(&mut self, now: f64) -> bool {
        if let Some(asked) = self.asked.take() {
            self.slow = now - asked;
        }
        (self.following, self.called, self.hurry) = (true, None, 0.0);
        std::mem::take(&mut self.failures) > 0
    }
}

#[cfg(test)]
mod tests;
