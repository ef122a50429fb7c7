//! Which changes of health count as a regression. All random numbers are seeded.

use transaction::{Health, HealthRules, RequestFailure, Verdict};

const RULES: HealthRules =
    HealthRules { significance: 0.001, min_increase: 0.05, min_requests: 30, checks: 60 };
/// Length of the period before the change (seconds).
const BEFORE: f64 = 15.0;
/// Length of the period since the change (seconds).
const SINCE: f64 = 10.0;

/// Linear congruential generator: the runs stay the same whatever library versions are used.
struct Random(u64);

impl Random {
    fn next_share(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / f64::from(1u32 << 31)
    }
}

/// Traffic of a class: requests per second, share of unserved requests, and mean latency (seconds).
#[derive(Clone, Copy)]
struct Cell {
    class: u16,
    rate: f64,
    bad: f64,
    kind: RequestFailure,
    latency: f64,
}

fn cell(class: u16, rate: f64, bad: f64) -> Cell {
    Cell { class, rate, bad, kind: RequestFailure::Refused, latency: 0.01 }
}

fn record_traffic(health: &mut Health, random: &mut Random, from: f64, to: f64, cells: &[Cell]) {
    for cell in cells {
        let mut now = from;
        loop {
            now += -(1.0 - random.next_share()).ln() / cell.rate;
            if now >= to {
                break;
            }
            let bad = (random.next_share() < cell.bad).then_some(cell.kind);
            let latency = -(1.0 - random.next_share()).ln() * cell.latency;
            health.record(now, cell.class, 3, false, bad, latency);
        }
    }
}

fn judge(seed: u64, before: &[Cell], after: &[Cell]) -> Verdict {
    let (mut health, mut random) = (Health::new(0.0, BEFORE), Random(seed));
    record_traffic(&mut health, &mut random, 0.0, BEFORE, before);
    health.begin_comparison(BEFORE);
    record_traffic(&mut health, &mut random, BEFORE, BEFORE + SINCE, after);
    health.judge(BEFORE + SINCE, &RULES)
}

fn regressed_measure(verdict: Verdict) -> Option<(u16, &'static str)> {
    match verdict {
        Verdict::Fine => None,
        Verdict::Worse(regression) => Some((regression.class, regression.measure)),
    }
}

#[test]
fn no_false_alarm_in_two_thousand_runs_without_a_change() {
    let cells = [cell(0, 200.0, 0.02), cell(1, 20.0, 0.1), cell(2, 5.0, 0.0), cell(3, 60.0, 0.3)];
    let alarms = (0..2_000).filter(|seed| judge(*seed, &cells, &cells) != Verdict::Fine).count();
    assert_eq!(alarms, 0);
}

#[test]
fn regression_of_a_single_small_class_is_found() {
    let before = [cell(0, 500.0, 0.01), cell(1, 6.0, 0.0)];
    let after = [cell(0, 500.0, 0.01), Cell { kind: RequestFailure::Failed, ..cell(1, 6.0, 0.8) }];
    for seed in 0..50 {
        assert_eq!(regressed_measure(judge(seed, &before, &after)), Some((1, "failed")), "{seed}");
    }
}

#[test]
fn few_failures_and_small_increases_raise_no_alarm() {
    let before = [cell(0, 500.0, 0.0), cell(1, 2.0, 0.0)];
    for seed in 0..50 {
        // About twenty requests of the small class, all of them bad: fewer than `min_requests`.
        assert_eq!(judge(seed, &before, &[cell(0, 500.0, 0.0), cell(1, 2.0, 1.0)]), Verdict::Fine, "{seed}");
        // Many requests of the large class: the increase is significant, but below `min_increase`.
        assert_eq!(judge(seed, &before, &[cell(0, 500.0, 0.02)]), Verdict::Fine, "{seed}");
    }
}

#[test]
fn regression_explained_by_load_raises_no_alarm() {
    for seed in 0..50 {
        // Twice the load, with as many requests served as before: the rest is refused, and latency rises.
        let before = [cell(0, 200.0, 0.02), cell(1, 50.0, 0.02)];
        let loaded = [cell(0, 400.0, 0.5), cell(1, 100.0, 0.5)].map(|c| Cell { latency: 0.1, ..c });
        assert_eq!(judge(seed, &before, &loaded), Verdict::Fine, "{seed}");
        // One class grows and takes some capacity of the other: the group is served as before.
        let crowded = [cell(0, 500.0, 0.3), cell(1, 50.0, 0.3)];
        assert_eq!(judge(seed, &before, &crowded), Verdict::Fine, "{seed}");
    }
}

#[test]
fn rise_of_load_does_not_hide_a_broken_class() {
    let before = [cell(0, 200.0, 0.02), cell(1, 50.0, 0.02)];
    let broken = [cell(0, 300.0, 0.1), cell(1, 50.0, 1.0)];
    for seed in 0..50 {
        assert_eq!(regressed_measure(judge(seed, &before, &broken)), Some((1, "refused")), "{seed}");
    }
}

#[test]
fn repeats_after_refusals_do_not_count_as_load() {
    let (mut health, mut random) = (Health::new(0.0, BEFORE), Random(1));
    record_traffic(&mut health, &mut random, 0.0, BEFORE, &[cell(0, 100.0, 0.0)]);
    health.begin_comparison(BEFORE);
    // Half of the requests are refused, and each of those is repeated twice without success.
    for n in 0..1_000 {
        let now = BEFORE + f64::from(n) / 100.0;
        let bad = (n % 2 == 0).then_some(RequestFailure::Refused);
        health.record(now, 0, 3, false, bad, 0.01);
        (0..2).filter(|_| bad.is_some()).for_each(|_| health.record(now, 0, 3, true, bad, 0.01));
    }
    assert_eq!(regressed_measure(health.judge(BEFORE + SINCE, &RULES)), Some((0, "refused")));
}

#[test]
fn quadrupled_latency_is_a_regression() {
    let before = [cell(0, 100.0, 0.0)];
    for seed in 0..50 {
        let slower = [Cell { latency: 0.04, ..before[0] }];
        assert_eq!(regressed_measure(judge(seed, &before, &slower)), Some((0, "latency")), "{seed}");
        let negligible = [0.0003, 0.0009].map(|latency| [Cell { latency, ..before[0] }]);
        assert_eq!(
            regressed_measure(judge(seed, &negligible[0], &negligible[1])),
            None,
            "{seed}: below the negligible latency"
        );
        let slightly_slower = [Cell { latency: 0.012, ..before[0] }];
        assert_eq!(judge(seed, &before, &slightly_slower), Verdict::Fine, "{seed}");
    }
}

#[test]
fn next_change_is_compared_with_the_time_since_the_last_one() {
    let (mut health, mut random) = (Health::new(0.0, BEFORE), Random(1));
    record_traffic(&mut health, &mut random, 0.0, BEFORE, &[cell(0, 100.0, 0.0)]);
    health.begin_comparison(BEFORE);
    record_traffic(&mut health, &mut random, BEFORE, BEFORE + SINCE, &[cell(0, 100.0, 0.5)]);
    assert!(matches!(health.judge(BEFORE + SINCE, &RULES), Verdict::Worse(_)));
    health.end_comparison();
    let end = BEFORE + SINCE;
    record_traffic(&mut health, &mut random, end, end + 2.0 * BEFORE, &[cell(0, 100.0, 0.5)]);
    health.begin_comparison(end + 2.0 * BEFORE);
    record_traffic(
        &mut health,
        &mut random,
        end + 2.0 * BEFORE,
        end + 2.0 * BEFORE + SINCE,
        &[cell(0, 100.0, 0.5)],
    );
    assert_eq!(health.judge(end + 2.0 * BEFORE + SINCE, &RULES), Verdict::Fine);
}
