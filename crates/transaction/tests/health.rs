//! What counts as worse, and what does not. All randomness is seeded.

use transaction::{Health, HealthRules, RequestFailure, Verdict};

const RULES: HealthRules =
    HealthRules { significance: 0.001, min_increase: 0.05, min_requests: 30, checks: 60 };
/// Before the change and since, in seconds.
const BEFORE: f64 = 15.0;
const SINCE: f64 = 10.0;

/// A plain generator, so that the same runs are drawn for ever.
struct Draw(u64);

impl Draw {
    fn part(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / f64::from(1u32 << 31)
    }
}

/// A class in a group: requests a second, the share that fails, and its mean latency (seconds).
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

fn play(health: &mut Health, draw: &mut Draw, from: f64, to: f64, cells: &[Cell]) {
    for cell in cells {
        let mut now = from;
        loop {
            now += -(1.0 - draw.part()).ln() / cell.rate;
            if now >= to {
                break;
            }
            let bad = (draw.part() < cell.bad).then_some(cell.kind);
            let took = -(1.0 - draw.part()).ln() * cell.latency;
            health.record(now, cell.class, 3, false, bad, took);
        }
    }
}

fn judge(seed: u64, before: &[Cell], since: &[Cell]) -> Verdict {
    let (mut health, mut draw) = (Health::new(0.0, BEFORE), Draw(seed));
    play(&mut health, &mut draw, 0.0, BEFORE, before);
    health.begin_comparison(BEFORE);
    play(&mut health, &mut draw, BEFORE, BEFORE + SINCE, since);
    health.judge(BEFORE + SINCE, &RULES)
}

fn measure(verdict: Verdict) -> Option<(u16, &'static str)> {
    match verdict {
        Verdict::Fine => None,
        Verdict::Worse(judged) => Some((judged.class, judged.measure)),
    }
}

#[test]
fn nothing_changed_is_not_worse_in_two_thousand_runs() {
    let cells = [cell(0, 200.0, 0.02), cell(1, 20.0, 0.1), cell(2, 5.0, 0.0), cell(3, 60.0, 0.3)];
    let alarms = (0..2_000).filter(|seed| judge(*seed, &cells, &cells) != Verdict::Fine).count();
    assert_eq!(alarms, 0);
}

#[test]
fn a_small_class_that_alone_fares_worse_is_found() {
    let before = [cell(0, 500.0, 0.01), cell(1, 6.0, 0.0)];
    let since = [cell(0, 500.0, 0.01), Cell { kind: RequestFailure::Failed, ..cell(1, 6.0, 0.8) }];
    for seed in 0..50 {
        assert_eq!(measure(judge(seed, &before, &since)), Some((1, "failed")), "{seed}");
    }
}

#[test]
fn a_handful_of_failures_is_not_enough() {
    let before = [cell(0, 500.0, 0.0), cell(1, 2.0, 0.0)];
    for seed in 0..50 {
        // Some twenty requests of the small class, all bad: too few to say.
        assert_eq!(judge(seed, &before, &[cell(0, 500.0, 0.0), cell(1, 2.0, 1.0)]), Verdict::Fine, "{seed}");
        // Many of the large one, a sure but small rise.
        assert_eq!(judge(seed, &before, &[cell(0, 500.0, 0.02)]), Verdict::Fine, "{seed}");
    }
}

#[test]
fn what_load_alone_explains_is_not_worse() {
    for seed in 0..50 {
        // Twice as much is asked, as much is served as before: the rest is refused, and what is served waits.
        let before = [cell(0, 200.0, 0.02), cell(1, 50.0, 0.02)];
        let loaded = [cell(0, 400.0, 0.5), cell(1, 100.0, 0.5)].map(|c| Cell { latency: 0.1, ..c });
        assert_eq!(judge(seed, &before, &loaded), Verdict::Fine, "{seed}");
        // One class grows and crowds the other out a little: the group is served as before.
        let crowded = [cell(0, 500.0, 0.3), cell(1, 50.0, 0.3)];
        assert_eq!(judge(seed, &before, &crowded), Verdict::Fine, "{seed}");
    }
}

#[test]
fn a_rise_of_load_hides_no_class_that_is_broken() {
    let before = [cell(0, 200.0, 0.02), cell(1, 50.0, 0.02)];
    let broken = [cell(0, 300.0, 0.1), cell(1, 50.0, 1.0)];
    for seed in 0..50 {
        assert_eq!(measure(judge(seed, &before, &broken)), Some((1, "refused")), "{seed}");
    }
}

#[test]
fn refusals_that_bring_repeats_are_no_rise_of_load() {
    let (mut health, mut draw) = (Health::new(0.0, BEFORE), Draw(1));
    play(&mut health, &mut draw, 0.0, BEFORE, &[cell(0, 100.0, 0.0)]);
    health.begin_comparison(BEFORE);
    // Half are refused, each comes again twice, in vain.
    for n in 0..1_000 {
        let now = BEFORE + f64::from(n) / 100.0;
        let bad = (n % 2 == 0).then_some(RequestFailure::Refused);
        health.record(now, 0, 3, false, bad, 0.01);
        (0..2).filter(|_| bad.is_some()).for_each(|_| health.record(now, 0, 3, true, bad, 0.01));
    }
    assert_eq!(measure(health.judge(BEFORE + SINCE, &RULES)), Some((0, "refused")));
}

#[test]
fn answers_that_take_three_times_as_long_are_worse() {
    let before = [cell(0, 100.0, 0.0)];
    for seed in 0..50 {
        let slow = [Cell { latency: 0.04, ..before[0] }];
        assert_eq!(measure(judge(seed, &before, &slow)), Some((0, "latency")), "{seed}");
        let quick = [0.0003, 0.0009].map(|latency| [Cell { latency, ..before[0] }]);
        assert_eq!(measure(judge(seed, &quick[0], &quick[1])), None, "{seed}: too quick to matter");
        let little = [Cell { latency: 0.012, ..before[0] }];
        assert_eq!(judge(seed, &before, &little), Verdict::Fine, "{seed}");
    }
}

#[test]
fn the_next_change_is_compared_with_what_followed_the_last() {
    let (mut health, mut draw) = (Health::new(0.0, BEFORE), Draw(1));
    play(&mut health, &mut draw, 0.0, BEFORE, &[cell(0, 100.0, 0.0)]);
    health.begin_comparison(BEFORE);
    play(&mut health, &mut draw, BEFORE, BEFORE + SINCE, &[cell(0, 100.0, 0.5)]);
    assert!(matches!(health.judge(BEFORE + SINCE, &RULES), Verdict::Worse(_)));
    health.end_comparison();
    let end = BEFORE + SINCE;
    play(&mut health, &mut draw, end, end + 2.0 * BEFORE, &[cell(0, 100.0, 0.5)]);
    health.begin_comparison(end + 2.0 * BEFORE);
    play(&mut health, &mut draw, end + 2.0 * BEFORE, end + 2.0 * BEFORE + SINCE, &[cell(0, 100.0, 0.5)]);
    assert_eq!(health.judge(end + 2.0 * BEFORE + SINCE, &RULES), Verdict::Fine);
}
