//! A pooler against control instances and other poolers, step by step.

mod network;

use directory::{PrimaryReason, ReadRequirement, WriteOutcome};
use network::{session_key, Net, Shape, World};
use rstest::rstest;

const SESSION: usize = 1;
const MS: u64 = 1_000;

fn world() -> World {
    let mut world = World::new(1, Shape { poolers: 3, machines: 3, ..Shape::default() }, Net::default());
    world.start_all();
    world
}

fn need(world: &mut World, pooler: usize) -> ReadRequirement {
    let seat = world.pooler(pooler);
    world.with(seat, |client, now| client.read_requirement(now, session_key(SESSION))).expect("it runs")
}

/// Has a pooler own the session.
fn owned(world: &mut World, pooler: usize) {
    need(world, pooler);
    world.run(10 * MS);
    assert!(!matches!(
        need(world, pooler),
        ReadRequirement::Primary(PrimaryReason::Claiming | PrimaryReason::FormerOwner)
    ));
}

#[test]
fn an_owner_sends_nothing_for_its_session() {
    let mut world = world();
    owned(&mut world, 0);
    let seat = world.pooler(0);
    world.run(900 * MS);
    let sent = world.cost(seat).sent;
    for _ in 0..1_000 {
        world.with(seat, |client, now| client.read_requirement(now, session_key(SESSION)));
    }
    assert_eq!(world.cost(seat).sent, sent);
}

#[test]
fn a_session_that_arrives_brings_its_last_write() {
    let mut world = world();
    owned(&mut world, 0);
    let seat = world.pooler(0);
    let position = world.clock(seat) + 60_000;
    world.with(seat, |client, now| {
        let ticket = client.begin_write(now, session_key(SESSION), 1_000).unwrap();
        assert!(client.may_send(now, ticket));
        client.end_write(now, ticket, WriteOutcome::Committed(position));
        assert!(client.may_answer(now, ticket));
        client.forget(now, ticket);
    });
    owned(&mut world, 1);
    assert_eq!(need(&mut world, 1), ReadRequirement::AtLeast(position));
    let seat = world.pooler(0);
    assert!(!world.client(seat).unwrap().is_owner(world.clock(seat), session_key(SESSION)));
}

#[test]
fn a_write_under_way_at_the_former_owner_keeps_reads_at_the_primary_and_may_be_answered() {
    let mut world = world();
    owned(&mut world, 0);
    let seat = world.pooler(0);
    let ticket = world
        .with(seat, |client, now| {
            let ticket = client.begin_write(now, session_key(SESSION), 1_000).unwrap();
            assert!(client.may_send(now, ticket));
            ticket
        })
        .unwrap();
    owned(&mut world, 1);
    assert_eq!(need(&mut world, 1), ReadRequirement::Primary(PrimaryReason::OpenWrite));
    let answers = world.with(seat, |client, now| {
        client.end_write(now, ticket, WriteOutcome::Committed(now));
        client.may_answer(now, ticket)
    });
    assert_eq!(answers, Some(true));
    world.run(1_200 * MS);
    assert!(matches!(need(&mut world, 1), ReadRequirement::AtLeast(_)));
}

#[rstest]
#[case("killed")]
#[case("stopped")]
#[case("cut off")]
fn the_lease_of_a_former_owner_that_does_not_answer_is_outwaited(#[case] what: &str) {
    let mut world = world();
    owned(&mut world, 0);
    let seat = world.pooler(0);
    match what {
        "killed" => world.kill(seat),
        "stopped" => world.stop(seat),
        _ => world.isolate(seat, true),
    }
    let begun = world.now;
    let other = world.pooler(1);
    let ticket = world
        .with(other, |client, now| client.begin_write(now, session_key(SESSION), 3_000).unwrap())
        .unwrap();
    world.run(100 * MS);
    assert_eq!(need(&mut world, 1), ReadRequirement::Primary(PrimaryReason::FormerOwner));
    // Its work goes on while the lease is outwaited, where its time is longer than that.
    assert_eq!(world.with(other, |client, now| client.may_send(now, ticket)), Some(true));
    let mut answered = None;
    while answered.is_none() && world.now < begun + 3_000 * MS {
        world.run(10 * MS);
        let may = world.with(other, |client, now| client.may_answer(now, ticket)) == Some(true);
        answered = may.then_some(world.now - begun);
    }
    let waited = answered.expect("answered") / MS;
    assert!((1_000..2_800).contains(&waited), "{what}: {waited} ms");
    world.with(other, |client, now| client.forget(now, ticket));
    // What it had sent may commit for as long as a write may take.
    assert_eq!(need(&mut world, 1), ReadRequirement::Primary(PrimaryReason::OpenWrite));
    world.run(4_000 * MS);
    assert!(matches!(need(&mut world, 1), ReadRequirement::AtLeast(_)));
}

#[test]
fn without_a_quorum_everything_goes_to_the_primary_and_no_write_is_sent() {
    let mut world = world();
    owned(&mut world, 0);
    world.kill(0);
    world.run(5_000 * MS);
    assert!(matches!(need(&mut world, 0), ReadRequirement::AtLeast(_)), "a minority costs nothing");
    world.kill(1);
    world.run(2_100 * MS);
    assert_eq!(need(&mut world, 0), ReadRequirement::Primary(PrimaryReason::NoQuorum));
    let seat = world.pooler(0);
    let sends = world.with(seat, |client, now| {
        let ticket = client.begin_write(now, session_key(SESSION), 1_000).unwrap();
        client.may_send(now, ticket)
    });
    assert_eq!(sends, Some(false));
    world.start(0);
    world.start(1);
    world.run(8_000 * MS);
    owned(&mut world, 0);
}

#[test]
fn who_has_left_owns_nothing_and_nobody_waits_for_it() {
    let mut world = world();
    owned(&mut world, 0);
    let seat = world.pooler(0);
    assert_eq!(world.with(seat, |client, _| client.leave()), Some(true));
    world.run(5 * MS);
    world.kill(seat);
    owned(&mut world, 1);
    assert_eq!(need_of_left(&mut world), PrimaryReason::Left);
}

fn need_of_left(world: &mut World) -> PrimaryReason {
    let seat = world.pooler(2);
    world
        .with(seat, |client, now| {
            client.leave();
            match client.read_requirement(now, session_key(SESSION)) {
                ReadRequirement::Primary(why) => why,
                other => panic!("{other:?}"),
            }
        })
        .expect("it runs")
}

#[test]
fn sessions_are_bounded_and_the_one_that_rested_longest_goes() {
    let mut world = world();
    let seat = world.pooler(0);
    let most = directory::timing::bounds::SESSIONS;
    for session in 0..most + 100 {
        world.with(seat, |client, now| client.read_requirement(now, session_key(session)));
        if session % 1_000 == 0 {
            world.run(20 * MS);
        }
    }
    let status = world.client(seat).unwrap().status(world.clock(seat));
    assert!(status.sessions <= most, "{status:?}");
    assert!(status.claiming <= directory::timing::bounds::CLAIMS, "{status:?}");
}
