use super::*;

/// A service that answers so many calls a second in turn; one that has waited `PATIENCE` fails, and takes its time.
struct Service {
    rate: f64,
    free_at: f64,
    /// It turns calls down at once until then, or takes them and says nothing.
    down_until: f64,
    hangs_until: f64,
}

const REQUEST_TIMEOUT: f64 = 1.0;
/// A call without an answer for so long is given up.
const HUNG_AFTER: f64 = 3.0;

/// What became of a call.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Answered,
    TurnedDown,
    Hung,
}

impl Service {
    /// When a call made now comes to its end, and to which.
    fn call(&mut self, now: f64) -> (f64, End) {
        if now < self.hangs_until {
            return (now + HUNG_AFTER, End::Hung);
        }
        if now < self.down_until {
            return (now + 0.001, End::TurnedDown);
        }
        self.free_at = self.free_at.max(now) + 1.0 / self.rate;
        let waits = self.free_at - now;
        if waits <= REQUEST_TIMEOUT {
            (self.free_at, End::Answered)
        } else {
            (now + REQUEST_TIMEOUT, End::TurnedDown)
        }
    }
}

/// What was seen of so many proxies at a service.
struct Seen {
    /// How long after 100 s the last of them followed the list.
    last: f64,
    /// Calls that came to nothing.
    vain: usize,
    /// Most calls in any second.
    most: usize,
}

/// So many proxies call until all follow the list; `begin` says how each of them begins at 100 s.
fn together(fleet: u32, mut service: Service, begin: impl Fn(&mut ListRequests, f64), seed: u64) -> Seen {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut calls = vec![ListRequests::default(); fleet as usize];
    calls.iter_mut().for_each(|c| begin(c, rng.f64()));
    let mut ends: Vec<(f64, usize, End)> = Vec::new();
    let (mut last, mut vain, mut made) = (100.0, 0, Vec::new());
    for step in 0..9_000u32 {
        let now = 100.0 + f64::from(step) * 0.01;
        for (n, c) in calls.iter_mut().enumerate().filter(|_| step % 10 == 0) {
            if c.take_due(now) {
                let (at, end) = service.call(now);
                ends.push((at, n, end));
                made.push(now);
            }
        }
        ends.retain(|&(at, n, end)| {
            if at <= now {
                match end {
                    End::Answered => {
                        calls[n].on_update(now);
                        last = now;
                    }
                    End::TurnedDown => {
                        calls[n].on_failure(now, 10.0, rng.f64());
                    }
                    End::Hung => {
                        calls[n].on_silence(now, fleet, rng.f64());
                    }
                }
                vain += usize::from(end != End::Answered);
            }
            at > now
        });
    }
    assert!(calls.iter().all(|c| c.following), "{fleet} proxies, seed {seed}");
    let most = made.iter().map(|from| made.iter().filter(|at| (*from..from + 1.0).contains(*at)).count());
    Seen { last: last - 100.0, vain, most: most.max().unwrap_or(0) }
}

fn at_once(rate: f64) -> Service {
    Service { rate, free_at: 0.0, down_until: 0.0, hangs_until: 0.0 }
}

/// A hundred at 20 calls a second need five seconds for themselves alone, so that some of them fail.
/// Of a hundred proxies sixty failed together, called together again, and none was answered for ten seconds.
#[test]
fn proxies_that_start_together_are_all_answered() {
    for seed in 0..20 {
        for (fleet, rate, within) in
            [(100, 20.0, 10.0), (100, 30.0, 6.0), (300, 80.0, 5.0), (350, 77.0, 6.0), (5, 20.0, 1.0)]
        {
            let start = |c: &mut ListRequests, draw| c.on_start(100.0, fleet, draw);
            let seen = together(fleet, at_once(rate), start, seed);
            assert!(seen.last < within, "{} s for {fleet}, {} in vain, seed {seed}", seen.last, seen.vain);
            assert!(seen.vain * 2 < fleet as usize, "{} of {fleet} in vain, seed {seed}", seen.vain);
        }
    }
}

/// A change that was made while calls were turned down counts as told 6 s after discovery is back, however long it was away.
#[test]
fn after_an_outage_the_whole_fleet_hears_within_six_seconds() {
    for seed in 0..10 {
        for (fleet, away) in
            [(1, 3.0), (1, 60.0), (20, 60.0), (300, 4.0), (300, 20.0), (300, 60.0), (350, 60.0)]
        {
            let service = Service { down_until: 100.0 + away, ..at_once(80.0) };
            let lost = |c: &mut ListRequests, draw| assert!(c.on_failure(100.0, 10.0, draw));
            let seen = together(fleet, service, lost, seed);
            assert!(seen.last < away + 6.0, "{} s for {fleet}, away {away} s, seed {seed}", seen.last);
            // Its price while discovery is away: the first ones come soon, later a quarter of the fleet a second.
            assert!(seen.most <= 3 + fleet as usize * 2, "{} calls in a second of {fleet}", seen.most);
        }
    }
}

/// The same where discovery takes calls and says nothing: each is given up after 3 s.
#[test]
fn after_a_silence_the_whole_fleet_hears_within_six_seconds() {
    for seed in 0..10 {
        for (fleet, away) in [(1, 3.0), (1, 60.0), (20, 60.0), (300, 20.0), (300, 60.0), (350, 60.0)] {
            let service = Service { hangs_until: 100.0 + away, ..at_once(80.0) };
            let lost = |c: &mut ListRequests, draw| assert!(c.on_silence(100.0, fleet, draw));
            let seen = together(fleet, service, lost, seed);
            assert!(seen.last < away + 6.0, "{} s for {fleet}, away {away} s, seed {seed}", seen.last);
        }
    }
}

/// Calls of one proxy grow rarer, and stay as frequent as what counts as told needs.
#[test]
fn what_fails_is_asked_again_soon_and_then_every_four_to_five_seconds() {
    let mut calls = ListRequests::default();
    let mut waits = Vec::new();
    let mut now = 100.0;
    for _ in 0..8 {
        assert!(calls.take_due(now));
        calls.on_failure(now, 10.0, 0.5);
        waits.push(calls.next_request_at - now);
        now = calls.next_request_at;
    }
    assert_eq!(waits, [0.625, 1.25, 2.5, 4.5, 4.5, 4.5, 4.5, 4.5]);
    assert!(calls.take_due(now) && calls.on_update(now) && !calls.take_due(now + 100.0));
    // Over a fleet of 300: 67 calls a second where they are turned down, and where they hang.
    for hangs in [false, true] {
        let (mut calls, mut now, mut made) = (ListRequests::default(), 100.0f64, 0);
        while now < 200.0 {
            now = now.max(calls.next_request_at);
            assert!(calls.take_due(now));
            made += 1;
            let from = now;
            if hangs {
                now += HUNG_AFTER;
                calls.on_silence(now, 300, 0.5);
            } else {
                calls.on_failure(now, 10.0, 0.5);
            }
            assert!(calls.next_request_at - from <= 5.0, "{calls:?}");
        }
        assert!(made <= 27, "{made} calls in 100 s");
    }
}

/// A call that hung counted as one that had stood in line for five seconds, and the next came 5.5 s after it.
#[test]
fn what_falls_silent_is_called_for_within_what_counts_as_told() {
    for (fleet, draw) in [(1, 1.0), (6, 0.0), (6, 1.0), (350, 1.0)] {
        let mut calls = ListRequests::default();
        assert!(calls.take_due(100.0));
        assert!(calls.on_silence(103.0, fleet, draw), "a call that hangs");
        assert!(calls.next_request_at <= 103.5, "{calls:?}");
        calls.on_update(103.5);
        assert!(calls.on_silence(110.0, fleet, draw), "a watch");
        assert!(calls.next_request_at <= 112.0 && (fleet > 1 || calls.next_request_at == 110.0), "{calls:?}");
        assert!(
            fleet == 1 || draw == 0.0 || calls.next_request_at > 111.5,
            "they leave each other room: {calls:?}"
        );
        // Turned down again and again: the calls keep coming until what was hidden counts as told.
        let (mut now, mut made) = (calls.next_request_at, 0);
        while now < 113.0 {
            assert!(calls.take_due(now));
            calls.on_failure(now, 10.0, draw);
            assert!(calls.next_request_at - now < 1.0, "{calls:?}");
            now = calls.next_request_at;
            made += 1;
        }
        assert!((1..=10).contains(&made), "{made} calls of one proxy");
    }
}

/// A service that is slow and was away is heard within what counts as told, too: calls came 4 to 5 s apart, whatever an answer took.
#[test]
fn calls_come_closer_together_where_answers_are_slow() {
    for (slow, most) in [(0.1, 5.0), (1.5, 4.2), (2.5, 3.2), (3.5, 2.2), (20.0, 5.0)] {
        let mut calls = ListRequests::default();
        assert!(calls.take_due(100.0));
        // Its calls are answered late; those made beside the first do not count as the beginning.
        calls.on_silence(103.0, 5, 0.5);
        assert!(calls.take_due(104.0));
        calls.on_update(100.0 + slow);
        let mut now = 200.0;
        for _ in 0..10 {
            calls.on_failure(now, 10.0, 1.0);
            assert!(calls.next_request_at - now <= most, "{slow}: {calls:?}");
            now = calls.next_request_at;
            assert!(calls.take_due(now));
        }
        assert!(calls.next_request_at - now >= 1.0, "{slow}: not all the time");
    }
}

/// Discovery was back and took 3.3 s for an answer, which nobody could know: one of 24 that had just been turned down called 3.8 s later.
#[test]
fn few_call_often_enough_to_be_heard_by_a_service_that_is_back_and_slow() {
    for fleet in [1, 24, 30] {
        let mut calls = ListRequests::default();
        calls.on_start(0.0, fleet, 0.0);
        let mut now = 100.0;
        for _ in 0..10 {
            calls.take_due(now);
            calls.on_failure(now, 10.0, 1.0);
            assert!(calls.next_request_at - now <= 2.201, "{fleet}: {calls:?}");
            now = calls.next_request_at;
        }
        assert!(calls.next_request_at - 100.0 > 10.0, "{fleet}: not all the time");
    }
    // Those of many stay spread over what the service needs for all of them.
    let mut calls = ListRequests::default();
    calls.on_start(0.0, 300, 0.0);
    (0..6).for_each(|n| {
        calls.take_due(100.0 + 5.0 * f64::from(n));
        calls.on_failure(100.0 + 5.0 * f64::from(n), 10.0, 1.0);
    });
    assert!(calls.next_request_at - 125.0 > 4.0, "{calls:?}");
}

/// A fleet that few calls are spread for is taken in by a service as fast as it is taken to be.
#[test]
fn a_small_fleet_is_heard_after_an_outage_by_a_service_that_takes_its_time() {
    for seed in 0..10 {
        for fleet in [5, 24, 40] {
            let service = Service { down_until: 160.0, ..at_once(25.0) };
            let begin = |c: &mut ListRequests, draw: f64| {
                c.on_start(100.0, fleet, draw);
                assert!(c.on_failure(100.0, 10.0, draw));
            };
            let seen = together(fleet, service, begin, seed);
            assert!(seen.last < 66.0, "{} s for {fleet}, seed {seed}", seen.last);
        }
    }
}
