//! When the list of members is asked for. One service answers all proxies in turn: calls that have waited too long fail, and
//! have taken its time all the same. Proxies that come back together, or are turned down together, must not call
//! together again, or none of them is ever answered.

/// First back-off, as a share of the time within which the list must be asked for; doubles with each failure ...
const FIRST: f64 = 1.0 / 16.0;
/// ... up to this share of it.
const MOST: f64 = 0.5;
/// A call that waited in vain stood in a line that long: the next one comes so many times as long after.
const LINE: f64 = 2.0;
/// Time that the service is taken to need for a call (seconds): what proxies that start together leave each other.
const CALL: f64 = 0.04;
/// Share of the time within which the list must be asked for that a start may wait at the most.
const START_MOST: f64 = 0.4;

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
    /// Until then the list that is held may be behind what counts as told unless it is heard.
    hurry: f64,
}

impl Calls {
    /// One of so many proxies has started with a list at hand, `draw` (0 to 1) its own: where all start together, they call one
    /// after another.
    pub fn started(&mut self, now: f64, within: f64, fleet: u32, draw: f64) {
        self.again = now + draw * (f64::from(fleet) * CALL).min(within * START_MOST);
    }

    /// Whether to call now; the call counts as made. Should it stay without an answer, it is made again well within the
    /// time allowed.
    pub fn due(&mut self, now: f64, within: f64) -> bool {
        let due = !self.following && now >= self.again;
        if due {
            (self.called, self.again) = (Some(now), now + within * MOST);
        }
        due
    }

    /// The call, or what was followed, has failed. Whether that is new.
    pub fn failed(&mut self, now: f64, within: f64, draw: f64) -> bool {
        let (hurried, called) = (now < self.hurry, self.called.take().filter(|_| now >= self.hurry));
        let doubled = f64::from(1u32 << if hurried { 0 } else { self.failures.min(4) });
        let line = called.map_or(0.0, |called| (now - called) * LINE);
        let wait = (within * FIRST).max(line) * doubled;
        self.again = now + wait.min(within * MOST) * (0.5 + draw);
        (self.following, self.failures) = (false, self.failures + 1);
        self.failures == 1
    }

    /// What was followed says nothing any more, or a call hangs, at one of so many proxies. Whether that is new.
    pub fn silent(&mut self, now: f64, within: f64, fleet: u32, draw: f64) -> bool {
        let hung = self.called.take().is_some();
        // A service that takes calls and never answers is asked like one that is down.
        if hung && self.failures > 0 && now >= self.hurry {
            return self.failed(now, within, draw);
        }
        if !hung || self.failures == 0 {
            self.hurry = now + HURRY;
        }
        let spread = if hung { SPREAD_OF_HUNG } else { SPREAD };
        self.again = now + draw * spread * (1.0 - 1.0 / f64::from(fleet.max(1)));
        (self.following, self.failures) = (false, self.failures + 1);
        self.failures == 1
    }

    /// News has come: the list is followed. Whether it was lost before.
    pub fn told(&mut self) -> bool {
        (self.following, self.called, self.hurry) = (true, None, 0.0);
        std::mem::take(&mut self.failures) > 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A service that answers `RATE` calls a second in turn; one that has waited `PATIENCE` fails, and takes its time.
    const RATE: f64 = 20.0;
    const PATIENCE: f64 = 2.0;

    /// So many proxies that start in one instant: when the last of them follows the list, and how many calls failed.
    fn together(fleet: u32, seed: u64) -> (f64, usize) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut calls = vec![Calls::default(); fleet as usize];
        calls.iter_mut().for_each(|c| c.started(100.0, 10.0, fleet, rng.f64()));
        let (mut free, mut failed, mut last) = (100.0f64, 0, 100.0);
        let mut answers: Vec<(f64, usize, bool)> = Vec::new();
        for step in 0..6_000 {
            let now = 100.0 + f64::from(step) * 0.01;
            for (n, c) in calls.iter_mut().enumerate().filter(|_| step % 10 == 0) {
                if c.due(now, 10.0) {
                    free = free.max(now) + 1.0 / RATE;
                    let good = free - now <= PATIENCE;
                    answers.push((if good { free } else { now + PATIENCE }, n, good));
                }
            }
            answers.retain(|&(at, n, good)| {
                if at <= now && good {
                    calls[n].told();
                    last = now;
                } else if at <= now {
                    calls[n].failed(now, 10.0, rng.f64());
                    failed += 1;
                }
                at > now
            });
        }
        assert!(calls.iter().all(|c| c.following), "{fleet} proxies, seed {seed}");
        (last - 100.0, failed)
    }

    /// Of a hundred proxies sixty failed together, called together again, and none was answered for ten seconds.
    #[test]
    fn proxies_that_start_together_are_all_answered() {
        for seed in 0..20 {
            let (last, failed) = together(100, seed);
            assert!(last < 10.0 && failed < 50, "{last} s, {failed} failures");
            let (last, _) = together(5, seed);
            assert!(last < 1.0, "{last} s for five");
        }
    }

    #[test]
    fn what_fails_at_once_is_asked_again_soon_and_then_seldom() {
        let mut calls = Calls::default();
        let mut waits = Vec::new();
        let mut now = 100.0;
        for _ in 0..8 {
            assert!(calls.due(now, 10.0));
            calls.failed(now, 10.0, 0.5);
            waits.push(calls.again - now);
            now = calls.again;
        }
        assert_eq!(waits, [0.625, 1.25, 2.5, 5.0, 5.0, 5.0, 5.0, 5.0]);
        assert!(calls.due(now, 10.0) && calls.told() && !calls.due(now + 100.0, 10.0));
    }

    /// A call that hung counted as one that had stood in line for five seconds, and the next came 5.5 s after it.
    #[test]
    fn what_falls_silent_is_called_for_within_what_counts_as_told() {
        for (fleet, draw) in [(1, 1.0), (6, 0.0), (6, 1.0), (350, 1.0)] {
            let mut calls = Calls::default();
            assert!(calls.due(100.0, 10.0));
            assert!(calls.silent(103.0, 10.0, fleet, draw), "a call that hangs");
            assert!(calls.again <= 103.5, "{calls:?}");
            calls.told();
            assert!(calls.silent(110.0, 10.0, fleet, draw), "a watch");
            assert!(calls.again <= 112.0 && (fleet > 1 || calls.again == 110.0), "{calls:?}");
            assert!(
                fleet == 1 || draw == 0.0 || calls.again > 111.5,
                "they leave each other room: {calls:?}"
            );
            // Turned down again and again: the calls keep coming until what was hidden counts as told.
            let (mut now, mut made) = (calls.again, 0);
            while now < 113.0 {
                assert!(calls.due(now, 10.0));
                calls.failed(now, 10.0, draw);
                assert!(calls.again - now < 1.0, "{calls:?}");
                now = calls.again;
                made += 1;
            }
            assert!((1..=10).contains(&made), "{made} calls of one proxy");
        }
    }

    #[test]
    fn a_service_that_takes_calls_and_never_answers_is_asked_less_and_less() {
        let mut calls = Calls::default();
        let (mut now, mut made) = (100.0f64, 0);
        while now < 200.0 {
            now = now.max(calls.again);
            assert!(calls.due(now, 10.0));
            now += 3.0;
            calls.silent(now, 10.0, 300, 0.5);
            made += 1;
        }
        assert!(made < 18, "{made} calls in 100 s");
    }
}
