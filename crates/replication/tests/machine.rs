//! Two or three instances driven step by step: unauthentic, replayed and newer messages, name conflicts, torn
//! and outdated files, logs that are far behind.

use std::net::SocketAddr;

use replication::disk::{compacted, next_start, parse, Record};
use replication::fact::{Fact, MemberStatus};
use replication::message::{decode, encode, Body, Header, VERSION};
use replication::node::{PrimaryReason, MIN_FACTS_TO_STREAM};
use replication::{Identity, Keys, Node, NodeConfig, Notice, ReadRequirement};

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn address(n: u8) -> SocketAddr {
    ([127, 0, 0, n], 7000).into()
}

fn identity(name: &str, n: u8, start: u64) -> Identity {
    Identity { name: name.into(), zone: "z".into(), address: address(n), start, renewal: 0 }
}

fn node(name: &str, n: u8, start: u64, now: f64) -> Node {
    let config = NodeConfig { seeds: vec![address(1), address(2)], ..NodeConfig::default() };
    Node::new(identity(name, n, start), Keys::parse([KEY]).unwrap(), config, u64::from(n), now, None)
}

/// Runs two nodes for `seconds` in steps of a millisecond; returns all datagrams sent.
fn run(a: &mut Node, b: &mut Node, now: &mut f64, seconds: f64) -> Vec<Vec<u8>> {
    let until = *now + seconds;
    let mut sent = Vec::new();
    while *now < until {
        *now += 0.001;
        a.tick(*now);
        b.tick(*now);
        for (to, bytes) in a.take_datagrams().into_iter().chain(b.take_datagrams()) {
            sent.push(bytes.clone());
            match to {
                to if to == a.identity().address => a.receive(*now, &bytes),
                _ => b.receive(*now, &bytes),
            }
        }
    }
    sent
}

fn connected_pair() -> (Node, Node, f64) {
    let (mut a, mut b, mut now) = (node("a", 1, 1, 100.0), node("b", 2, 2, 100.0), 100.0);
    run(&mut a, &mut b, &mut now, 0.5);
    // Leases are requested only while sessions read.
    for _ in 0..20 {
        a.read_requirement(now, "s");
        b.read_requirement(now, "s");
        run(&mut a, &mut b, &mut now, 0.1);
    }
    (a, b, now)
}

/// Runs a write through `a` from its beginning to its answer.
fn run_write(a: &mut Node, b: &mut Node, now: &mut f64, session: &str, position: f64) {
    let ticket = a.begin_write(*now, session);
    while !a.may_send(*now, ticket) {
        run(a, b, now, 0.002);
    }
    a.end_write(*now, ticket, Some(position));
    while !a.may_answer(*now, ticket) {
        run(a, b, now, 0.002);
    }
    a.forget(*now, ticket);
}

#[test]
fn answered_write_is_required_by_reads_at_the_peer_at_once() {
    let (mut a, mut b, mut now) = connected_pair();
    for n in 0..50 {
        let position = now;
        run_write(&mut a, &mut b, &mut now, "s", position);
        // Even while messages are in flight, a requirement below the write's position must not be returned.
        match b.read_requirement(now, "s") {
            ReadRequirement::AtLeast(known) => assert!(known >= position, "{n}"),
            ReadRequirement::Primary(_) => {}
        }
        run(&mut a, &mut b, &mut now, 0.02);
        assert_eq!(b.read_requirement(now, "s"), ReadRequirement::AtLeast(position), "{n}");
        assert!(
            matches!(b.read_requirement(now, "other"), ReadRequirement::AtLeast(floor) if floor < position)
        );
    }
}

#[test]
fn silent_peer_reads_from_the_primary_before_writes_are_answered_without_it() {
    let (mut a, mut b, mut now) = connected_pair();
    // `b` is stopped: it receives and sends nothing.
    let ticket = a.begin_write(now, "s");
    let started_at = now;
    while !(a.may_send(now, ticket) && a.may_answer(now, ticket)) {
        now += 0.001;
        a.tick(now);
        a.take_datagrams();
        assert!(now - started_at < 5.0, "the write is never answered");
    }
    assert!(now - started_at < 0.6, "waited {:.3} s", now - started_at);
    assert_eq!(b.read_requirement(now, "s"), ReadRequirement::Primary(PrimaryReason::CatchingUp));
}

#[test]
fn replayed_forged_and_newer_messages_change_nothing() {
    let (mut a, mut b, mut now) = connected_pair();
    let sent = run(&mut a, &mut b, &mut now, 2.0);
    let (before, digest) = (a.counts(), a.digest());
    for bytes in &sent {
        a.receive(now, bytes);
        let mut corrupted = bytes.clone();
        let at = corrupted.len() / 2;
        corrupted[at] ^= 4;
        a.receive(now, &corrupted);
    }
    a.receive(now, b"noise");
    let after = a.counts();
    assert_eq!(after.forged - before.forged, sent.len() as u64 + 1);
    assert_eq!(after.received - before.received, sent.len() as u64);
    // The datagrams of `a` itself among them were not meant for it.
    assert!(after.replayed > before.replayed);
    assert_eq!(a.digest(), digest);
    // A newer version has kinds, and trailing fields, that this one does not know.
    let keys = Keys::parse([KEY]).unwrap();
    let header = Header { version: VERSION, from: identity("b", 2, 2), number: 1 << 40, to: 1 };
    let mut newer = encode(&header, &Body::Swim(Vec::new()));
    let kind = newer.len() - encode(&header, &Body::Swim(Vec::new())).len();
    let kind_at = newer.iter().rposition(|byte| *byte == 6).unwrap() + kind;
    newer[kind_at] = 200;
    newer.extend_from_slice(b"more");
    assert!(matches!(decode(&newer), Some((_, None))));
    a.receive(now, &keys.seal(newer));
    assert_eq!(a.counts().unknown, after.unknown + 1);
    let mut fact = Fact::Versions { list: 1, generation: 2, program: "p".into() }.encode();
    fact.extend_from_slice(b"a later field");
    assert!(Fact::decode(&fact).is_some());
    assert_eq!(Fact::decode(&[99, 1, 2, 3]), None);
}

#[test]
fn earlier_of_two_starts_with_one_name_rejects_writes() {
    let (mut a, mut b, mut now) = connected_pair();
    let mut twin = node("a", 3, 50, now);
    for _ in 0..400 {
        now += 0.005;
        twin.tick(now);
        for (to, bytes) in twin.take_datagrams() {
            if to == address(2) {
                b.receive(now, &bytes);
            } else if to == address(1) {
                a.receive(now, &bytes);
            }
        }
        b.tick(now);
        for (_, bytes) in b.take_datagrams() {
            twin.receive(now, &bytes);
        }
        a.tick(now);
        a.take_datagrams();
    }
    assert!(a.take_notices().iter().any(|notice| matches!(notice, Notice::Conflict(_))));
    let ticket = a.begin_write(now, "s");
    assert!(!a.may_send(now + 60.0, ticket) && a.cannot_send_writes(now + 60.0));
    assert_eq!(a.read_requirement(now, "s"), ReadRequirement::Primary(PrimaryReason::SteppedDown));
}

#[test]
fn instance_declared_ended_while_running_continues_under_a_new_start() {
    let (mut a, mut b, mut now) = connected_pair();
    run_write(&mut b, &mut a, &mut now, "s", 77.0);
    assert!(a.forget_instance(now, "b") && !a.forget_instance(now, "nobody"));
    run(&mut a, &mut b, &mut now, 3.0);
    assert!(b.take_notices().iter().any(|notice| matches!(notice, Notice::Renewed(3))));
    assert_eq!(a.digest(), b.digest());
    // Its earlier write is known, or the floor is above it.
    for _ in 0..20 {
        a.read_requirement(now, "s");
        run(&mut a, &mut b, &mut now, 0.1);
    }
    assert!(
        matches!(a.read_requirement(now, "s"), ReadRequirement::AtLeast(position) if position >= 77.0),
        "{:?}",
        a.read_requirement(now, "s")
    );
}

#[test]
fn drain_reported_by_one_instance_applies_at_the_peer_until_lifted() {
    let (mut a, mut b, mut now) = connected_pair();
    a.report_member_status(now, "s-1", 0.0, 1, 5, MemberStatus::Draining);
    run(&mut a, &mut b, &mut now, 0.02);
    assert!(b.take_changed());
    assert_eq!(
        (b.member_status("s-1", 0.0), b.member_status("s-2", 0.0)),
        (MemberStatus::Draining, MemberStatus::Serving)
    );
    // A later start of the member is not affected.
    assert_eq!(b.member_status("s-1", 9.0), MemberStatus::Serving);
    a.report_member_status(now, "s-1", 0.0, 1, 6, MemberStatus::Serving);
    run(&mut a, &mut b, &mut now, 0.02);
    assert_eq!(b.member_status("s-1", 0.0), MemberStatus::Serving);
}

#[test]
fn lagging_copy_catches_up_from_a_stream_that_breaks_after_each_piece() {
    let (mut a, mut b, mut now) = connected_pair();
    for n in 0..3 * MIN_FACTS_TO_STREAM {
        a.report_member_status(now, &format!("m-{n}"), 0.0, 1, n, MemberStatus::Draining);
    }
    // One datagram shows `b` how far behind it is.
    a.flush(now + 0.01);
    let first = a.take_datagrams();
    first.iter().for_each(|(_, bytes)| b.receive(now + 0.01, bytes));
    now += 0.02;
    let streams = b.streams_to_open(now);
    assert_eq!(streams.len(), 1, "{streams:?}");
    let (mut pieces, mut breaks) = (0, 0);
    while b.status(now).instances.iter().any(|other| other.to_read > 0) {
        // Each connection breaks after one piece; the next one continues after it.
        let (identity, from) =
            a.parse_stream_request(now, &b.stream_request("a").unwrap()).expect("the request is accepted");
        let Some((piece, upto)) = a.stream_piece(now, &identity, from) else {
            now += 0.01;
            continue;
        };
        assert!(upto > from);
        b.receive(now, &piece);
        b.stream_ended("a");
        (pieces, breaks) = (pieces + 1, breaks + 1);
        assert!(pieces < 100);
    }
    assert!(breaks > 2, "{breaks}");
    run(&mut a, &mut b, &mut now, 1.0);
    assert_eq!(a.digest(), b.digest());
}

#[test]
fn torn_or_corrupted_file_is_read_up_to_the_first_invalid_record() {
    let records = [
        Record::Start(5),
        Record::Seen(identity("b", 2, 9)),
        Record::Seen(identity("c", 3, 4)),
        Record::Ended(identity("c", 3, 4)),
    ];
    let bytes: Vec<u8> = records.iter().flat_map(Record::encode).collect();
    let complete = parse(&bytes);
    assert_eq!(
        (complete.start, complete.seen.clone(), complete.torn_bytes),
        (5, vec![identity("b", 2, 9)], 0)
    );
    assert_eq!(parse(&compacted(&complete)), complete);
    for cut in 0..bytes.len() {
        let part = parse(&bytes[..cut]);
        assert!(part.start <= 5 && part.seen.len() <= 2, "{cut}");
        let mut corrupted = bytes.clone();
        corrupted[cut] ^= 0x10;
        assert!(parse(&corrupted).start <= 5, "{cut}");
    }
    // The start number is above all stored ones, even with a clock set back by an hour or an old copy of the
    // folder.
    assert_eq!(next_start(Some(&complete), 0.0), 6);
    assert_eq!(next_start(None, 2.0), 2_000_000);
}
