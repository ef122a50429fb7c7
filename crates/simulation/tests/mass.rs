//! Hundreds of poolers that exchange no state, through the faults of a large fleet.

mod fleet;

use fleet::settings;
use routing::interface::*;
use routing::Policy;
use rstest::rstest;
use simulation::{Fault, RunResult, World, WorldConfig};

/// 120 members in 30 groups and three zones, with a load below a third of their capacity.
fn config(seed: u64, poolers: usize, fleet_size: u32) -> WorldConfig {
    let (zones, groups, replicas) = (3, 30, 3);
    let (requests_per_s, service_time, capacity, list_delay) = (1_500.0, 0.05, 40.0, 1.0);
    // Discovery can answer list requests of 300 poolers within the 6 s after which a drain counts as known.
    let (list_request_time, settings) = (0.013, settings(fleet_size));
    WorldConfig {
        seed,
        poolers,
        zones,
        groups,
        replicas,
        requests_per_s,
        service_time,
        capacity,
        list_delay,
        list_request_time,
        settings,
    }
}

fn assert_no_breaches(result: &RunResult, min_served_ratio: f64) {
    assert_eq!(result.breaches, [] as [String; 0], "{result:?}");
    assert!(result.served as f64 >= min_served_ratio * result.requests as f64, "{result:?}");
}

#[test]
fn same_seed_gives_same_run() {
    let run = |seed| {
        let mut world = World::new(config(seed, 50, 50));
        world.schedule_fault(0.5, Fault::IsolateZone(1, true));
        world.schedule_fault(0.7, Fault::RestartPooler(3));
        world.run(2.0)
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1).trace, run(2).trace);
}

/// Guards discovery, probes and handshakes against overload when 300 poolers start at the same instant.
#[test]
fn simultaneous_start_of_300_poolers_stays_within_request_and_probe_budgets() {
    let result = World::new(config(1, 300, 300)).run(5.0);
    assert_no_breaches(&result, 0.95);
    assert!(result.list_requests <= 600, "more than two list requests per pooler: {result:?}");
    assert!(result.probes <= 300 * 20 + result.requests * 6 / 10, "{result:?}");
    assert!(result.pooler_member_pairs <= 300 * 120 / 2, "more than half of all possible pairs: {result:?}");
}

/// At most one pooler in ten may refuse all its requests for 4 s, with no attempt in between.
fn assert_few_serve_nobody(result: &RunResult, poolers: usize) {
    assert!(result.poolers_serving_nobody.len() * 10 <= poolers, "{result:?}");
}

/// Members get up to one and a half times their capacity. Guards against a pooler whose observations of
/// overloaded members keep it from ever sending to them again.
#[rstest]
#[case::usual_load(8, 300, 1_500.0)]
#[case::one_and_a_half_times_the_load(9, 300, 2_250.0)]
#[case::load_beyond_capacity(10, 300, 7_200.0)]
#[case::few_poolers(11, 30, 7_200.0)]
fn at_most_a_tenth_of_the_poolers_serve_nobody_under_load(
    #[case] seed: u64,
    #[case] poolers: usize,
    #[case] rate: f64,
) {
    let result =
        World::new(WorldConfig { requests_per_s: rate, ..config(seed, poolers, poolers as u32) }).run(9.0);
    assert_few_serve_nobody(&result, poolers);
}

#[test]
fn replacing_half_of_the_members_while_poolers_restart_breaks_no_rule() {
    let mut world = World::new(config(2, 300, 300));
    for m in (0..120).step_by(2) {
        let at = 2.0 + f64::from(m as u32) * 0.08;
        world.schedule_fault(at, Fault::ReplaceMember(m));
        world.schedule_fault(at + 0.5, Fault::DrainMember(m));
        world.schedule_fault(at + 3.0, Fault::StopMember(m));
    }
    (0..300).step_by(10).for_each(|n| world.schedule_fault(4.0 + n as f64 * 0.01, Fault::RestartPooler(n)));
    let result = world.run(16.0);
    assert_few_serve_nobody(&result, 300);
    assert_no_breaches(&result, 0.8);
}

#[test]
fn isolated_zone_is_avoided_from_both_sides() {
    let mut world = World::new(config(3, 300, 300));
    world.schedule_fault(2.0, Fault::IsolateZone(0, true));
    world.schedule_fault(7.0, Fault::IsolateZone(0, false));
    assert_no_breaches(&world.run(10.0), 0.6);
}

/// The warm-up ramp limits the sum of what all poolers send, whether each pooler sends much or little to a
/// cold member. The load is uneven among the poolers, and the list announces the start up to a second late.
#[rstest]
#[case::twenty_poolers(4, 20, 0.6)]
#[case::twenty_poolers(5, 20, 0.6)]
#[case::thirty_poolers(6, 30, 0.6)]
#[case::thirty_poolers(7, 30, 0.6)]
#[case::three_hundred_poolers(4, 300, 0.7)]
fn cold_zone_is_not_overloaded_by_all_poolers_together(
    #[case] seed: u64,
    #[case] poolers: usize,
    #[case] min_served_ratio: f64,
) {
    // A higher load than in the other tests: the usual load of a warm member exceeds the limit of a cold one.
    let config = config(seed, poolers, poolers as u32);
    let mut world =
        World::new(WorldConfig { requests_per_s: 3_500.0, capacity: 35.0, replicas: 2, ..config });
    for m in (0..90).filter(|m| (m / 3 + m % 3) % 3 == 0) {
        world.schedule_fault(2.0, Fault::StopMember(m));
        world.schedule_fault(5.0, Fault::RestartMember(m));
    }
    assert_no_breaches(&world.run(14.0), min_served_ratio);
}

#[test]
fn list_changes_delayed_by_six_seconds_break_no_rule() {
    let mut world = World::new(WorldConfig { list_delay: 6.0, ..config(5, 300, 300) });
    for m in (0..120).step_by(3) {
        world.schedule_fault(1.0, Fault::ReplaceMember(m));
        world.schedule_fault(2.0, Fault::DrainMember(m));
        world.schedule_fault(5.0, Fault::StopMember(m));
    }
    assert_no_breaches(&world.run(12.0), 0.7);
}

/// Guards the staleness bound: a third of the replicas are frozen for 4.5 s, longer than the bound of three
/// seconds.
#[test]
fn frozen_replicas_are_avoided_before_the_staleness_bound() {
    let mut world = World::new(config(7, 300, 300));
    for m in (1..120).step_by(4) {
        world.schedule_fault(2.0, Fault::FreezeReplica(m, true));
        world.schedule_fault(6.5, Fault::FreezeReplica(m, false));
    }
    assert_no_breaches(&world.run(8.0), 0.8);
}

/// The fleet size is set to 3 or 1 for 300 poolers, and to 300 for 3 poolers.
#[test]
fn wrong_fleet_size_setting_breaks_no_rule() {
    for (poolers, configured) in [(300, 3), (3, 300), (300, 1)] {
        let mut world = World::new(config(6, poolers, configured));
        (0..120).step_by(4).for_each(|m| world.schedule_fault(1.0, Fault::StopMember(m)));
        assert_no_breaches(&world.run(6.0), 0.6);
    }
}

/// Guards against memory growth: the policy's state is bounded by present members and requests, not by past
/// ones.
#[test]
fn policy_state_stays_bounded_over_a_million_requests() {
    let mut policy = Policy::new(settings(300), 1).unwrap();
    let (mut now, mut out, mut max_tracked) = (100.0, Vec::new(), (0, 0, 0));
    let (mut timers, mut timer_count) = (std::collections::BTreeMap::new(), 0u64);
    let entry =
        |m: u32, phase| Entry { member: format!("m{m}").into(), group: m / 4, phase, ..Entry::default() };
    for round in 0..100u32 {
        let first = round * 100;
        let previous = first.saturating_sub(100)..first;
        let list = previous
            .map(|m| entry(m, Phase::Left))
            .chain((first..first + 100).map(|m| entry(m, Phase::Active)));
        policy.handle(now, Event::Members { kind: ListKind::Incremental, entries: list.collect() }, &mut out);
        for n in 0..10_000u32 {
            now += 0.003;
            let id = format!("r{round}-{n}");
            let group = first / 4 + n % 25;
            policy.handle(now, Event::arrival(&id, (n % 4) as usize, group, 1.5), &mut out);
            while let Some((&(at, number), &cookie)) = timers.first_key_value() {
                if at as f64 > now * 1e6 {
                    break;
                }
                timers.remove(&(at, number));
                policy.handle(now, Event::Timer { cookie }, &mut out);
            }
            while let Some(action) = out.pop() {
                match action {
                    Action::Timer { at, cookie } => {
                        timer_count += 1;
                        timers.insert(((at * 1e6) as u64, timer_count), cookie);
                    }
                    Action::Send { id, member, .. } => {
                        let ended = AttemptEnded {
                            id,
                            member,
                            attempt: 0,
                            outcome: Outcome::Ok,
                            conclusion: Conclusion::AsReceived,
                            finished: true,
                            elapsed: 0.01,
                            position: Some(now),
                            primary: Some(true),
                            report: Report::default(),
                        };
                        policy.handle(now, Event::AttemptEnded(ended), &mut out);
                    }
                    _ => {}
                }
            }
        }
        max_tracked = (
            max_tracked.0.max(policy.tracked_members()),
            max_tracked.1.max(policy.tracked_groups()),
            max_tracked.2.max(policy.tracked_requests()),
        );
    }
    // A list lasts 30 s here, and a member that has left is removed after as long: two lists, and the latest
    // one.
    assert!(max_tracked.0 <= 300 && max_tracked.1 <= 75, "members and groups: {max_tracked:?}");
    assert!(max_tracked.2 <= 1_000, "more requests than arrive within their 1.5 s: {max_tracked:?}");
}
