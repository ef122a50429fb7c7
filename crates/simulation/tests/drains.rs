//! Drains kept by the whole fleet, whatever becomes of the watch on the list: 350 poolers, one discovery that answers
//! calls in turn and needs nearly four seconds for all of them. The oracle lets a drain count as heard 6 s after the
//! watch fell silent, and 0.25 s of grace after that.

mod fleet;

use fleet::settings;
use rstest::rstest;
use simulation::{Fault, RunResult, World, WorldConfig};

const POOLERS: usize = 350;
const MACHINES: usize = 120;

fn world(seed: u64) -> World {
    sized(seed, POOLERS)
}

fn sized(seed: u64, poolers: usize) -> World {
    let settings = settings(poolers as u32);
    let (zones, groups, replicas) = (3, 30, 3);
    let (rate, service, capacity) = (1_500.0, 0.05, 40.0);
    let (list_delay, call) = (0.1, 0.011);
    World::new(WorldConfig {
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
    })
}

/// A quarter of the machines, replicas all, are told to drain so many seconds after the start; they stay up.
fn drain(world: &mut World, at: f64) {
    (1..MACHINES).step_by(4).for_each(|m| world.schedule_fault(at, Fault::DrainMember(m)));
}

fn kept(seen: &RunResult, calls: usize) {
    assert_eq!(seen.breaches, [] as [String; 0], "{seen:?}");
    assert!(seen.served as f64 >= 0.8 * seen.requests as f64, "{seen:?}");
    assert!(seen.list_requests <= calls, "calls for the list: {seen:?}");
}

/// Early on many calls are still in line and hang; later all have a watch.
#[rstest]
#[case::while_calls_are_in_line(1, 1.5)]
#[case::while_half_have_a_watch(2, 2.5)]
#[case::with_all_watches_open(3, 7.0)]
#[case::with_all_watches_open(4, 9.1)]
fn watches_that_fall_silent_right_before_a_drain(#[case] seed: u64, #[case] at: f64) {
    let mut world = world(seed);
    world.schedule_fault(at, Fault::SilenceDiscoveryConnections);
    drain(&mut world, at + 0.1);
    kept(&world.run(at + 12.0), POOLERS * 3);
}

#[test]
fn watches_that_are_reset_before_a_drain() {
    let mut world = world(5);
    world.schedule_fault(7.0, Fault::ResetDiscoveryConnections);
    drain(&mut world, 9.0);
    kept(&world.run(25.0), POOLERS * 5);
}

#[test]
fn discovery_that_is_down_and_machines_that_drain_within_a_second_of_its_return() {
    let mut world = world(6);
    world.schedule_fault(7.0, Fault::DiscoveryDown(true));
    world.schedule_fault(11.0, Fault::DiscoveryDown(false));
    drain(&mut world, 11.5);
    kept(&world.run(27.0), POOLERS * 8);
}

/// However long discovery was away, what changed meanwhile is heard within 6 s of its return: by one pooler, by the whole fleet.
#[rstest]
#[case::one_alone(11, 1, 3.0, 7_000)]
#[case::after_a_short_outage(12, POOLERS, 3.0, POOLERS * 9)]
#[case::after_a_long_outage(13, POOLERS, 40.0, POOLERS * 15)]
fn discovery_that_was_down_while_machines_began_to_drain(
    #[case] seed: u64,
    #[case] poolers: usize,
    #[case] away: f64,
    #[case] calls: usize,
) {
    let mut world = sized(seed, poolers);
    world.schedule_fault(7.0, Fault::DiscoveryDown(true));
    world.schedule_fault(7.0 + away, Fault::DiscoveryDown(false));
    drain(&mut world, 7.0 + away - 0.5);
    kept(&world.run(16.0 + away), calls);
}

/// The same where it takes calls and says nothing, so that each of them is given up.
#[rstest]
#[case::one_alone(14, 1)]
#[case::the_fleet(15, POOLERS)]
fn discovery_that_said_nothing_while_machines_began_to_drain(#[case] seed: u64, #[case] poolers: usize) {
    let mut world = sized(seed, poolers);
    world.schedule_fault(7.0, Fault::DiscoveryHangs(true));
    world.schedule_fault(7.0, Fault::ResetDiscoveryConnections);
    world.schedule_fault(47.0, Fault::DiscoveryHangs(false));
    drain(&mut world, 46.5);
    kept(&world.run(56.0), poolers * 16);
}

/// Calls made in these two seconds are never answered; a drain comes in the middle.
#[test]
fn calls_that_hang_around_a_drain() {
    let mut world = world(7);
    world.schedule_fault(0.5, Fault::DiscoveryHangs(true));
    world.schedule_fault(2.5, Fault::DiscoveryHangs(false));
    drain(&mut world, 1.5);
    kept(&world.run(14.0), POOLERS * 3);
}
