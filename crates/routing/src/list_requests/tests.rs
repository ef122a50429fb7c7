use super::*;

/// Discovery that answers requests one after another at a rate per second. A request that has waited
/// `REQUEST_TIMEOUT` fails, and still takes its time.
struct Discovery {
    rate: f64,
    free_at: f64,
    /// Requests are refused at once before this time ...
    down_until: f64,
    /// ... or get no answer before this time.
    hangs_until: f64,
}

const REQUEST_TIMEOUT: f64 = 1.0;
/// A request without an answer is abandoned after this time (seconds).
const HUNG_AFTER: f64 = 3.0;

/// Outcome of a request.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Answered,
    Refused,
    Hung,
}

impl Discovery {
    /// Returns when a request sent now ends, and how.
    fn request(&mut self, now: f64) -> (f64, End) {
        if now < self.hangs_until {
            return (now + HUNG_AFTER, End::Hung);
        }
        if now < self.down_until {
            return (now + 0.001, End::Refused);
        }
        self.free_at = self.free_at.max(now) + 1.0 / self.rate;
        let waits = self.free_at - now;
        if waits <= REQUEST_TIMEOUT {
            (self.free_at, End::Answered)
        } else {
            (now + REQUEST_TIMEOUT, End::Refused)
        }
    }
}

/// Observations of a fleet.
struct Observed {
    /// Time after 100 s at which the last pooler followed the list.
    last: f64,
    /// Number of requests without an answer.
    unanswered: usize,
    /// Maximum number of requests in any second.
    max_per_second: usize,
}

/// Runs a fleet until all poolers follow the list; `begin` sets the state of each of them at 100 s.
fn run_fleet(
    fleet: u32,
    mut service: Discovery,
    begin: impl Fn(&mut ListRequests, f64),
    seed: u64,
) -> Observed {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut requests = vec![ListRequests::default(); fleet as usize];
    requests.iter_mut().for_each(|c| begin(c, rng.f64()));
    let mut ends: Vec<(f64, usize, End)> = Vec::new();
    let (mut last, mut unanswered, mut made) = (100.0, 0, Vec::new());
    for step in 0..9_000u32 {
        let now = 100.0 + f64::from(step) * 0.01;
        for (n, c) in requests.iter_mut().enumerate().filter(|_| step % 10 == 0) {
            if c.take_due(now) {
                let (at, end) = service.request(now);
                ends.push((at, n, end));
                made.push(now);
            }
        }
        ends.retain(|&(at, n, end)| {
            if at <= now {
                match end {
                    End::Answered => {
                        requests[n].on_update(now);
                        last = now;
                    }
                    End::Refused => {
                        requests[n].on_failure(now, 10.0, rng.f64());
                    }
                    End::Hung => {
                        requests[n].on_silence(now, fleet, rng.f64());
                    }
                }
                unanswered += usize::from(end != End::Answered);
            }
            at > now
        });
    }
    assert!(requests.iter().all(|c| c.following), "{fleet} poolers, seed {seed}");
    let max_per_second =
        made.iter().map(|from| made.iter().filter(|at| (*from..from + 1.0).contains(*at)).count());
    Observed { last: last - 100.0, unanswered, max_per_second: max_per_second.max().unwrap_or(0) }
}

fn discovery(rate: f64) -> Discovery {
    Discovery { rate, free_at: 0.0, down_until: 0.0, hangs_until: 0.0 }
}

/// A hundred poolers at 20 requests per second need five seconds, so that some requests fail. Guards against
/// failed requests being repeated together: sixty of a hundred poolers did so, and none was answered for ten
/// seconds.
#[test]
fn poolers_that_start_together_are_all_answered() {
    for seed in 0..20 {
        for (fleet, rate, within) in
            [(100, 20.0, 10.0), (100, 30.0, 6.0), (300, 80.0, 5.0), (350, 77.0, 6.0), (5, 20.0, 1.0)]
        {
            let start = |c: &mut ListRequests, sample| c.on_start(100.0, fleet, sample);
            let observed = run_fleet(fleet, discovery(rate), start, seed);
            assert!(
                observed.last < within,
                "{} s for {fleet}, {} unanswered, seed {seed}",
                observed.last,
                observed.unanswered
            );
            assert!(
                observed.unanswered * 2 < fleet as usize,
                "{} of {fleet} unanswered, seed {seed}",
                observed.unanswered
            );
        }
    }
}

/// A change made while requests were refused is binding 6 s after discovery is back, however long it was
/// away.
#[test]
fn after_an_outage_the_fleet_has_the_list_within_six_seconds() {
    for seed in 0..10 {
        for (fleet, away) in
            [(1, 3.0), (1, 60.0), (20, 60.0), (300, 4.0), (300, 20.0), (300, 60.0), (350, 60.0)]
        {
            let service = Discovery { down_until: 100.0 + away, ..discovery(80.0) };
            let lost = |c: &mut ListRequests, sample| assert!(c.on_failure(100.0, 10.0, sample));
            let observed = run_fleet(fleet, service, lost, seed);
            assert!(
                observed.last < away + 6.0,
                "{} s for {fleet}, away {away} s, seed {seed}",
                observed.last
            );
            // The cost during the outage: many requests at first, later a quarter of the fleet per second.
            assert!(
                observed.max_per_second <= 3 + fleet as usize * 2,
                "{} requests in a second from {fleet}",
                observed.max_per_second
            );
        }
    }
}

/// The same if discovery accepts requests and does not answer: each is abandoned after 3 s.
#[test]
fn after_a_silence_the_fleet_has_the_list_within_six_seconds() {
    for seed in 0..10 {
        for (fleet, away) in [(1, 3.0), (1, 60.0), (20, 60.0), (300, 20.0), (300, 60.0), (350, 60.0)] {
            let service = Discovery { hangs_until: 100.0 + away, ..discovery(80.0) };
            let lost = |c: &mut ListRequests, sample| assert!(c.on_silence(100.0, fleet, sample));
            let observed = run_fleet(fleet, service, lost, seed);
            assert!(
                observed.last < away + 6.0,
                "{} s for {fleet}, away {away} s, seed {seed}",
                observed.last
            );
        }
    }
}

/// The requests of one pooler become rarer, but stay frequent enough for the 6 s limit.
#[test]
fn failed_requests_are_repeated_soon_and_then_every_four_to_five_seconds() {
    let mut requests = ListRequests::default();
    let mut waits = Vec::new();
    let mut now = 100.0;
    for _ in 0..8 {
        assert!(requests.take_due(now));
        requests.on_failure(now, 10.0, 0.5);
        waits.push(requests.next_request_at - now);
        now = requests.next_request_at;
    }
    assert_eq!(waits, [0.625, 1.25, 2.5, 4.5, 4.5, 4.5, 4.5, 4.5]);
    assert!(requests.take_due(now) && requests.on_update(now) && !requests.take_due(now + 100.0));
    // In a fleet of 300: 67 requests per second, whether they are refused or hang.
    for hangs in [false, true] {
        let (mut requests, mut now, mut made) = (ListRequests::default(), 100.0f64, 0);
        while now < 200.0 {
            now = now.max(requests.next_request_at);
            assert!(requests.take_due(now));
            made += 1;
            let from = now;
            if hangs {
                now += HUNG_AFTER;
                requests.on_silence(now, 300, 0.5);
            } else {
                requests.on_failure(now, 10.0, 0.5);
            }
            assert!(requests.next_request_at - from <= 5.0, "{requests:?}");
        }
        assert!(made <= 27, "{made} requests in 100 s");
    }
}

/// Guards against counting a hung request as queued: the next request then came 5.5 s after it.
#[test]
fn after_a_silence_requests_follow_within_the_binding_time() {
    for (fleet, sample) in [(1, 1.0), (6, 0.0), (6, 1.0), (350, 1.0)] {
        let mut requests = ListRequests::default();
        assert!(requests.take_due(100.0));
        assert!(requests.on_silence(103.0, fleet, sample), "a request that hangs");
        assert!(requests.next_request_at <= 103.5, "{requests:?}");
        requests.on_update(103.5);
        assert!(requests.on_silence(110.0, fleet, sample), "a watch that is silent");
        assert!(
            requests.next_request_at <= 112.0 && (fleet > 1 || requests.next_request_at == 110.0),
            "{requests:?}"
        );
        assert!(
            fleet == 1 || sample == 0.0 || requests.next_request_at > 111.5,
            "the requests are spread: {requests:?}"
        );
        // Refused repeatedly: requests continue at short intervals until the hidden change is binding.
        let (mut now, mut made) = (requests.next_request_at, 0);
        while now < 113.0 {
            assert!(requests.take_due(now));
            requests.on_failure(now, 10.0, sample);
            assert!(requests.next_request_at - now < 1.0, "{requests:?}");
            now = requests.next_request_at;
            made += 1;
        }
        assert!((1..=10).contains(&made), "{made} requests of one pooler");
    }
}

/// Guards the 6 s limit with a slow discovery that was away: intervals were 4 to 5 s however long an answer
/// took.
#[test]
fn slow_answers_shorten_the_interval() {
    for (slow, most) in [(0.1, 5.0), (1.5, 4.2), (2.5, 3.2), (3.5, 2.2), (20.0, 5.0)] {
        let mut requests = ListRequests::default();
        assert!(requests.take_due(100.0));
        // The answers come late; the waiting time counts from the first of the overlapping requests.
        requests.on_silence(103.0, 5, 0.5);
        assert!(requests.take_due(104.0));
        requests.on_update(100.0 + slow);
        let mut now = 200.0;
        for _ in 0..10 {
            requests.on_failure(now, 10.0, 1.0);
            assert!(requests.next_request_at - now <= most, "{slow}: {requests:?}");
            now = requests.next_request_at;
            assert!(requests.take_due(now));
        }
        assert!(requests.next_request_at - now >= 1.0, "{slow}: not below the minimum interval");
    }
}

/// Discovery was back and took 3.3 s for an answer. Guards against too long an interval in a small fleet: one
/// of 24 poolers, just refused, sent its next request 3.8 s later.
#[test]
fn a_small_fleet_has_an_interval_that_fits_a_slow_discovery() {
    for fleet in [1, 24, 30] {
        let mut requests = ListRequests::default();
        requests.on_start(0.0, fleet, 0.0);
        let mut now = 100.0;
        for _ in 0..10 {
            requests.take_due(now);
            requests.on_failure(now, 10.0, 1.0);
            assert!(requests.next_request_at - now <= 2.201, "{fleet}: {requests:?}");
            now = requests.next_request_at;
        }
        assert!(requests.next_request_at - 100.0 > 10.0, "{fleet}: not below the minimum interval");
    }
    // In a large fleet the requests stay spread over the time that discovery needs for all of them.
    let mut requests = ListRequests::default();
    requests.on_start(0.0, 300, 0.0);
    (0..6).for_each(|n| {
        requests.take_due(100.0 + 5.0 * f64::from(n));
        requests.on_failure(100.0 + 5.0 * f64::from(n), 10.0, 1.0);
    });
    assert!(requests.next_request_at - 125.0 > 4.0, "{requests:?}");
}

/// A small fleet is served in time by a discovery that is as fast as assumed.
#[test]
fn a_small_fleet_has_the_list_after_an_outage_of_a_slow_discovery() {
    for seed in 0..10 {
        for fleet in [5, 24, 40] {
            let service = Discovery { down_until: 160.0, ..discovery(25.0) };
            let begin = |c: &mut ListRequests, sample: f64| {
                c.on_start(100.0, fleet, sample);
                assert!(c.on_failure(100.0, 10.0, sample));
            };
            let observed = run_fleet(fleet, service, begin, seed);
            assert!(observed.last < 66.0, "{} s for {fleet}, seed {seed}", observed.last);
        }
    }
}
