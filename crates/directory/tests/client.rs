//! A pooler with control instances and other poolers, in single steps.

mod network;

use directory::{PrimaryReason, ReadRequirement, WriteOutcome};
use network::{session_key, NetworkConfig, World, WorldConfig};
use rstest::rstest;

const SESSION: usize = 1;
const MS: u64 = 1_000;

fn world() -> World {
    let mut world = World::new(
        1,
        WorldConfig { poolers: 3, control_instances: 3, ..WorldConfig::default() },
        NetworkConfig::default(),
    );
    world.start_all();
    world
}

fn read_requirement(world: &mut World, pooler: usize) -> ReadRequirement {
    let slot = world.pooler(pooler);
    world
        .with_client(slot, |client, now| client.read_requirement(now, session_key(SESSION)))
        .expect("pooler is running")
}

/// Makes a pooler the owner of the session.
fn make_owner(world: &mut World, pooler: usize) {
    read_requirement(world, pooler);
    world.run(10 * MS);
    assert!(!matches!(
        read_requirement(world, pooler),
        ReadRequirement::Primary(PrimaryReason::Claiming | PrimaryReason::FormerOwner)
    ));
}

#[test]
fn an_owner_sends_nothing_for_its_session() {
    let mut world = world();
    make_owner(&mut world, 0);
    let slot = world.pooler(0);
    world.run(900 * MS);
    let sent = world.cost(slot).sent;
    for _ in 0..1_000 {
        world.with_client(slot, |client, now| client.read_requirement(now, session_key(SESSION)));
    }
    assert_eq!(world.cost(slot).sent, sent);
}

#[test]
fn handover_transfers_the_position_of_the_last_write() {
    let mut world = world();
    make_owner(&mut world, 0);
    let slot = world.pooler(0);
    let position = world.clock(slot) + 60_000;
    world.with_client(slot, |client, now| {
        let ticket = client.begin_write(now, session_key(SESSION), 1_000).unwrap();
        assert!(client.may_send(now, ticket));
        client.end_write(now, ticket, WriteOutcome::Committed(position));
        assert!(client.may_answer(now, ticket));
        client.forget(now, ticket);
    });
    make_owner(&mut world, 1);
    assert_eq!(read_requirement(&mut world, 1), ReadRequirement::AtLeast(position));
    let slot = world.pooler(0);
    assert!(!world.client(slot).unwrap().is_owner(world.clock(slot), session_key(SESSION)));
}

#[test]
fn write_in_flight_at_the_former_owner_keeps_reads_on_the_primary_and_may_be_answered() {
    let mut world = world();
    make_owner(&mut world, 0);
    let slot = world.pooler(0);
    let ticket = world
        .with_client(slot, |client, now| {
            let ticket = client.begin_write(now, session_key(SESSION), 1_000).unwrap();
            assert!(client.may_send(now, ticket));
            ticket
        })
        .unwrap();
    make_owner(&mut world, 1);
    assert_eq!(read_requirement(&mut world, 1), ReadRequirement::Primary(PrimaryReason::OpenWrite));
    let answers = world.with_client(slot, |client, now| {
        client.end_write(now, ticket, WriteOutcome::Committed(now));
        client.may_answer(now, ticket)
    });
    assert_eq!(answers, Some(true));
    world.run(1_200 * MS);
    assert!(matches!(read_requirement(&mut world, 1), ReadRequirement::AtLeast(_)));
}

#[rstest]
#[case("killed")]
#[case("stopped")]
#[case("cut off")]
fn lease_of_an_unresponsive_former_owner_is_waited_out(#[case] failure: &str) {
    let mut world = world();
    make_owner(&mut world, 0);
    let slot = world.pooler(0);
    match failure {
        "killed" => world.kill(slot),
        "stopped" => world.pause(slot),
        _ => world.isolate(slot, true),
    }
    let started_at = world.now;
    let other = world.pooler(1);
    let ticket = world
        .with_client(other, |client, now| client.begin_write(now, session_key(SESSION), 3_000).unwrap())
        .unwrap();
    world.run(100 * MS);
    assert_eq!(read_requirement(&mut world, 1), ReadRequirement::Primary(PrimaryReason::FormerOwner));
    // A write whose time limit is longer than the lease is sent while the lease is waited out.
    assert_eq!(world.with_client(other, |client, now| client.may_send(now, ticket)), Some(true));
    let mut answered = None;
    while answered.is_none() && world.now < started_at + 3_000 * MS {
        world.run(10 * MS);
        let allowed = world.with_client(other, |client, now| client.may_answer(now, ticket)) == Some(true);
        answered = allowed.then_some(world.now - started_at);
    }
    let waited = answered.expect("answered") / MS;
    assert!((1_000..2_800).contains(&waited), "{failure}: {waited} ms");
    world.with_client(other, |client, now| client.forget(now, ticket));
    // Writes of the former owner may commit for as long as a write may take.
    assert_eq!(read_requirement(&mut world, 1), ReadRequirement::Primary(PrimaryReason::OpenWrite));
    world.run(4_000 * MS);
    assert!(matches!(read_requirement(&mut world, 1), ReadRequirement::AtLeast(_)));
}

#[test]
fn without_a_quorum_reads_go_to_the_primary_and_no_write_is_sent() {
    let mut world = world();
    make_owner(&mut world, 0);
    world.kill(0);
    world.run(5_000 * MS);
    assert!(
        matches!(read_requirement(&mut world, 0), ReadRequirement::AtLeast(_)),
        "one failed member is tolerated"
    );
    world.kill(1);
    world.run(2_100 * MS);
    assert_eq!(read_requirement(&mut world, 0), ReadRequirement::Primary(PrimaryReason::NoQuorum));
    let slot = world.pooler(0);
    let sends = world.with_client(slot, |client, now| {
        let ticket = client.begin_write(now, session_key(SESSION), 1_000).unwrap();
        client.may_send(now, ticket)
    });
    assert_eq!(sends, Some(false));
    world.start(0);
    world.start(1);
    world.run(8_000 * MS);
    make_owner(&mut world, 0);
}

#[test]
fn a_pooler_that_left_owns_nothing_and_delays_no_claim() {
    let mut world = world();
    make_owner(&mut world, 0);
    let slot = world.pooler(0);
    assert_eq!(world.with_client(slot, |client, _| client.leave()), Some(true));
    world.run(5 * MS);
    world.kill(slot);
    make_owner(&mut world, 1);
    assert_eq!(reason_after_leaving(&mut world), PrimaryReason::Left);
}

fn reason_after_leaving(world: &mut World) -> PrimaryReason {
    let slot = world.pooler(2);
    world
        .with_client(slot, |client, now| {
            client.leave();
            match client.read_requirement(now, session_key(SESSION)) {
                ReadRequirement::Primary(reason) => reason,
                other => panic!("{other:?}"),
            }
        })
        .expect("pooler is running")
}

#[test]
fn tracked_sessions_and_claims_are_bounded() {
    let mut world = world();
    let slot = world.pooler(0);
    let max_sessions = directory::timing::bounds::SESSIONS;
    for session in 0..max_sessions + 100 {
        world.with_client(slot, |client, now| client.read_requirement(now, session_key(session)));
        if session % 1_000 == 0 {
            world.run(20 * MS);
        }
    }
    let status = world.client(slot).unwrap().status(world.clock(slot));
    assert!(status.sessions <= max_sessions, "{status:?}");
    assert!(status.claiming <= directory::timing::bounds::CLAIMS, "{status:?}");
}
