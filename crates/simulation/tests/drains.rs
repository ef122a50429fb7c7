//! Drains are observed by the whole fleet even if the watches on the list fail: 350 poolers, and one
//! discovery that answers list requests one after another and needs nearly four seconds for all poolers. The
//! oracle counts a drain as known 6 s after the watch fell silent, and then allows 0.25 s of grace.

mod fleet;

use fleet::settings;
use rstest::rstest;
use simulation::{Fault, RunResult, World, WorldConfig};

const POOLERS: usize = 350;
const MEMBERS: usize = 120;

fn world(seed: u64) -> World {
    world_with_poolers(seed, POOLERS)
}

fn world_with_poolers(seed: u64, poolers: usize) -> World {
    let settings = settings(poolers as u32);
    let (zones, groups, replicas) = (3, 30, 3);
    let (requests_per_s, service_time, capacity) = (1_500.0, 0.05, 40.0);
    let (list_delay, list_request_time) = (0.1, 0.011);
    World::new(WorldConfig {
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
    })
}

/// Drains a quarter of the members, all of them replicas, at a time after the start (seconds). They stay up.
fn schedule_drains(world: &mut World, at: f64) {
    (1..MEMBERS).step_by(4).for_each(|m| world.schedule_fault(at, Fault::DrainMember(m)));
}

fn assert_no_breaches(result: &RunResult, max_list_requests: usize) {
    assert_eq!(result.breaches, [] as [String; 0], "{result:?}");
    assert!(result.served as f64 >= 0.8 * result.requests as f64, "{result:?}");
    assert!(result.list_requests <= max_list_requests, "list requests: {result:?}");
}

/// At the early times many list requests are still in discovery's queue and hang; later all poolers have a
/// watch.
#[rstest]
#[case::requests_queued(1, 1.5)]
#[case::half_of_the_watches_open(2, 2.5)]
#[case::all_watches_open(3, 7.0)]
#[case::all_watches_open(4, 9.1)]
fn drain_is_observed_after_watches_fall_silent(#[case] seed: u64, #[case] at: f64) {
    let mut world = world(seed);
    world.schedule_fault(at, Fault::SilenceDiscoveryConnections);
    schedule_drains(&mut world, at + 0.1);
    assert_no_breaches(&world.run(at + 12.0), POOLERS * 3);
}

#[test]
fn drain_is_observed_after_watches_are_reset() {
    let mut world = world(5);
    world.schedule_fault(7.0, Fault::ResetDiscoveryConnections);
    schedule_drains(&mut world, 9.0);
    assert_no_breaches(&world.run(25.0), POOLERS * 5);
}

#[test]
fn drain_right_after_discovery_returns_is_observed() {
    let mut world = world(6);
    world.schedule_fault(7.0, Fault::DiscoveryDown(true));
    world.schedule_fault(11.0, Fault::DiscoveryDown(false));
    schedule_drains(&mut world, 11.5);
    assert_no_breaches(&world.run(27.0), POOLERS * 8);
}

/// Whatever the length of the outage, drains that began during it count as known 6 s after discovery's
/// return, for one pooler and for a whole fleet.
#[rstest]
#[case::one_pooler(11, 1, 3.0, 7_000)]
#[case::short_outage(12, POOLERS, 3.0, POOLERS * 9)]
#[case::long_outage(13, POOLERS, 40.0, POOLERS * 15)]
fn drain_during_a_discovery_outage_is_observed_after_its_return(
    #[case] seed: u64,
    #[case] poolers: usize,
    #[case] outage: f64,
    #[case] max_list_requests: usize,
) {
    let mut world = world_with_poolers(seed, poolers);
    world.schedule_fault(7.0, Fault::DiscoveryDown(true));
    world.schedule_fault(7.0 + outage, Fault::DiscoveryDown(false));
    schedule_drains(&mut world, 7.0 + outage - 0.5);
    assert_no_breaches(&world.run(16.0 + outage), max_list_requests);
}

/// As above, but discovery accepts list requests without answering, so that each request is abandoned.
#[rstest]
#[case::one_pooler(14, 1)]
#[case::whole_fleet(15, POOLERS)]
fn drain_while_discovery_hangs_is_observed_after_its_return(#[case] seed: u64, #[case] poolers: usize) {
    let mut world = world_with_poolers(seed, poolers);
    world.schedule_fault(7.0, Fault::DiscoveryHangs(true));
    world.schedule_fault(7.0, Fault::ResetDiscoveryConnections);
    world.schedule_fault(47.0, Fault::DiscoveryHangs(false));
    schedule_drains(&mut world, 46.5);
    assert_no_breaches(&world.run(56.0), poolers * 16);
}

/// List requests sent within these two seconds are never answered; the drain begins in the middle.
#[test]
fn drain_is_observed_while_list_requests_hang() {
    let mut world = world(7);
    world.schedule_fault(0.5, Fault::DiscoveryHangs(true));
    world.schedule_fault(2.5, Fault::DiscoveryHangs(false));
    schedule_drains(&mut world, 1.5);
    assert_no_breaches(&world.run(14.0), POOLERS * 3);
}
