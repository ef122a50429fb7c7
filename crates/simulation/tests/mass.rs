//! Hundreds of poolers that share nothing, through the troubles of a large fleet.

mod fleet;

use fleet::settings;
use routing::interface::*;
use routing::Policy;
use rstest::rstest;
use simulation::{Fault, RunResult, World, WorldConfig};

/// Three hundred poolers before 120 machines in 30 groups and three zones, at under a third of what these can do.
fn shape(seed: u64, poolers: usize, fleet_size: u32) -> WorldConfig {
    let (zones, groups, replicas) = (3, 30, 3);
    let (rate, service, capacity, list_delay) = (1_500.0, 0.05, 40.0, 1.0);
    // Discovery can answer all 300 within what counts as told.
    let (call, settings) = (0.013, settings(fleet_size));
    WorldConfig {
        seed,
        poolers,
        zones,
        groups,
        replicas,
        requests_per_s: rate,
        service_time: service,
        capacity,
        list_delay,
        list_request_time: call,
        settings,
    }
}

fn kept(seen: &RunResult, least: f64) {
    assert_eq!(seen.breaches, [] as [String; 0], "{seen:?}");
    assert!(seen.served as f64 >= least * seen.requests as f64, "{seen:?}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut world = World::new(shape(seed, 50, 50));
        world.schedule_fault(0.5, Fault::IsolateZone(1, true));
        world.schedule_fault(0.7, Fault::RestartPooler(3));
        world.run(2.0)
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1).trace, run(2).trace);
}

/// Guards discovery, probes and handshakes against three hundred that start in one instant.
#[test]
fn three_hundred_that_start_in_one_instant_keep_to_their_budget() {
    let seen = World::new(shape(1, 300, 300)).run(5.0);
    kept(&seen, 0.95);
    assert!(seen.list_requests <= 600, "two calls a pooler at the most: {seen:?}");
    assert!(seen.probes <= 300 * 20 + seen.requests * 6 / 10, "{seen:?}");
    assert!(seen.pooler_member_pairs <= 300 * 120 / 2, "half of all that there could be: {seen:?}");
}

/// At most one pooler in ten may turn away all that it gets for 4 s on end, with no attempt in between.
fn few_serve_nobody(seen: &RunResult, poolers: usize) {
    assert!(seen.poolers_serving_nobody.len() * 10 <= poolers, "{seen:?}");
}

/// The machines of 300 poolers get up to half as much again as they can do: what one pooler learns of them must not keep it
/// from ever asking again.
#[rstest]
#[case::of_usual_load(8, 300, 1_500.0)]
#[case::of_half_as_much_again(9, 300, 2_250.0)]
#[case::of_more_than_the_machines_can_do(10, 300, 7_200.0)]
#[case::of_few_poolers(11, 30, 7_200.0)]
fn under_load_few_poolers_serve_nobody(#[case] seed: u64, #[case] poolers: usize, #[case] rate: f64) {
    let seen =
        World::new(WorldConfig { requests_per_s: rate, ..shape(seed, poolers, poolers as u32) }).run(9.0);
    few_serve_nobody(&seen, poolers);
}

#[test]
fn half_of_the_machines_are_replaced_while_a_tenth_of_the_poolers_restarts() {
    let mut world = World::new(shape(2, 300, 300));
    for m in (0..120).step_by(2) {
        let at = 2.0 + f64::from(m as u32) * 0.08;
        world.schedule_fault(at, Fault::ReplaceMember(m));
        world.schedule_fault(at + 0.5, Fault::DrainMember(m));
        world.schedule_fault(at + 3.0, Fault::StopMember(m));
    }
    (0..300).step_by(10).for_each(|n| world.schedule_fault(4.0 + n as f64 * 0.01, Fault::RestartPooler(n)));
    let seen = world.run(16.0);
    few_serve_nobody(&seen, 300);
    kept(&seen, 0.8);
}

#[test]
fn a_zone_that_is_cut_off_is_left_from_within_and_without() {
    let mut world = World::new(shape(3, 300, 300));
    world.schedule_fault(2.0, Fault::IsolateZone(0, true));
    world.schedule_fault(7.0, Fault::IsolateZone(0, false));
    kept(&world.run(10.0), 0.6);
}

/// The ramp holds for the sum of what all processes send, whether each sees much of a cold machine or hardly any of it.
/// Traffic is uneven among them, and the list tells of the start up to a second late.
#[rstest]
#[case::of_twenty(4, 20, 0.6)]
#[case::of_twenty(5, 20, 0.6)]
#[case::of_thirty(6, 30, 0.6)]
#[case::of_thirty(7, 30, 0.6)]
#[case::of_three_hundred(4, 300, 0.7)]
fn a_zone_back_cold_is_not_pushed_over_by_all_together(
    #[case] seed: u64,
    #[case] poolers: usize,
    #[case] least: f64,
) {
    // More than on the other days: what a machine gets when it is warm is over what a cold one may have.
    let shape = shape(seed, poolers, poolers as u32);
    let mut world = World::new(WorldConfig { requests_per_s: 3_500.0, capacity: 35.0, replicas: 2, ..shape });
    for m in (0..90).filter(|m| (m / 3 + m % 3) % 3 == 0) {
        world.schedule_fault(2.0, Fault::StopMember(m));
        world.schedule_fault(5.0, Fault::RestartMember(m));
    }
    kept(&world.run(14.0), least);
}

#[test]
fn lists_that_come_six_seconds_late_break_no_rule() {
    let mut world = World::new(WorldConfig { list_delay: 6.0, ..shape(5, 300, 300) });
    for m in (0..120).step_by(3) {
        world.schedule_fault(1.0, Fault::ReplaceMember(m));
        world.schedule_fault(2.0, Fault::DrainMember(m));
        world.schedule_fault(5.0, Fault::StopMember(m));
    }
    kept(&world.run(12.0), 0.7);
}

/// Guards the rule on the age of data: a third of the replicas stand still for four seconds, past the bound of three.
#[test]
fn replicas_that_stand_still_are_left_before_they_are_too_old() {
    let mut world = World::new(shape(7, 300, 300));
    for m in (1..120).step_by(4) {
        world.schedule_fault(2.0, Fault::FreezeReplica(m, true));
        world.schedule_fault(6.5, Fault::FreezeReplica(m, false));
    }
    kept(&world.run(8.0), 0.8);
}

/// 300 poolers told that they are 3 and 3 told that they are 300.
#[test]
fn a_fleet_size_that_is_wrong_by_a_hundred_breaks_no_rule() {
    for (poolers, told) in [(300, 3), (3, 300), (300, 1)] {
        let mut world = World::new(shape(6, poolers, told));
        (0..120).step_by(4).for_each(|m| world.schedule_fault(1.0, Fault::StopMember(m)));
        kept(&world.run(6.0), 0.6);
    }
}

/// Guards memory over a long day: what the policy keeps is bounded by what is there, not by what has been.
#[test]
fn a_million_requests_and_ten_thousand_members_leave_nothing_behind() {
    let mut policy = Policy::new(settings(300), 1).unwrap();
    let (mut now, mut out, mut most) = (100.0, Vec::new(), (0, 0, 0));
    let (mut timers, mut order) = (std::collections::BTreeMap::new(), 0u64);
    let entry =
        |m: u32, phase| Entry { member: format!("m{m}").into(), group: m / 4, phase, ..Entry::default() };
    for round in 0..100u32 {
        let first = round * 100;
        let old = first.saturating_sub(100)..first;
        let list =
            old.map(|m| entry(m, Phase::Left)).chain((first..first + 100).map(|m| entry(m, Phase::Active)));
        policy.handle(now, Event::Members { kind: ListKind::Incremental, entries: list.collect() }, &mut out);
        for n in 0..10_000u32 {
            now += 0.003;
            let id = format!("r{round}-{n}");
            let group = first / 4 + n % 25;
            policy.handle(now, Event::arrival(&id, (n % 4) as usize, group, 1.5), &mut out);
            while let Some((&(at, place), &cookie)) = timers.first_key_value() {
                if at as f64 > now * 1e6 {
                    break;
                }
                timers.remove(&(at, place));
                policy.handle(now, Event::Timer { cookie }, &mut out);
            }
            while let Some(action) = out.pop() {
                match action {
                    Action::Timer { at, cookie } => {
                        order += 1;
                        timers.insert(((at * 1e6) as u64, order), cookie);
                    }
                    Action::Send { id, member, .. } => {
                        let done = AttemptEnded {
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
                        policy.handle(now, Event::AttemptEnded(done), &mut out);
                    }
                    _ => {}
                }
            }
        }
        most = (
            most.0.max(policy.tracked_members()),
            most.1.max(policy.tracked_groups()),
            most.2.max(policy.tracked_requests()),
        );
    }
    // A list lasts 30 s here, and what has left is forgotten after as long: two lists, and one that has just come.
    assert!(most.0 <= 300 && most.1 <= 75, "members and groups: {most:?}");
    assert!(most.2 <= 1_000, "requests of no more than their 1.5 s: {most:?}");
}
