//! Two or three instances by hand: what is not authentic, replayed or of a newer version, names that are taken, folders that
//! are torn or old, logs that are far behind.

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

fn who(name: &str, n: u8, start: u64) -> Identity {
    Identity { name: name.into(), zone: "z".into(), address: address(n), start, renewal: 0 }
}

fn node(name: &str, n: u8, start: u64, now: f64) -> Node {
    let terms = NodeConfig { seeds: vec![address(1), address(2)], ..NodeConfig::default() };
    Node::new(who(name, n, start), Keys::parse([KEY]).unwrap(), terms, u64::from(n), now, None)
}

/// Lets two talk for so long, in steps of a millisecond; all that was sent.
fn talk(a: &mut Node, b: &mut Node, now: &mut f64, seconds: f64) -> Vec<Vec<u8>> {
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

fn pair() -> (Node, Node, f64) {
    let (mut a, mut b, mut now) = (node("a", 1, 1, 100.0), node("b", 2, 2, 100.0), 100.0);
    talk(&mut a, &mut b, &mut now, 0.5);
    // Asked for, leases are there; before, nobody asks.
    for _ in 0..20 {
        a.read_requirement(now, "s");
        b.read_requirement(now, "s");
        talk(&mut a, &mut b, &mut now, 0.1);
    }
    (a, b, now)
}

/// A write through one, from its beginning to its answer.
fn write(a: &mut Node, b: &mut Node, now: &mut f64, session: &str, position: f64) {
    let ticket = a.begin_write(*now, session);
    while !a.may_send(*now, ticket) {
        talk(a, b, now, 0.002);
    }
    a.end_write(*now, ticket, Some(position));
    while !a.may_answer(*now, ticket) {
        talk(a, b, now, 0.002);
    }
    a.forget(*now, ticket);
}

#[test]
fn a_write_answered_by_one_is_known_to_the_other_at_once() {
    let (mut a, mut b, mut now) = pair();
    for n in 0..50 {
        let position = now;
        write(&mut a, &mut b, &mut now, "s", position);
        // Whatever is still on its way: less than the write is never enough.
        match b.read_requirement(now, "s") {
            ReadRequirement::AtLeast(known) => assert!(known >= position, "{n}"),
            ReadRequirement::Primary(_) => {}
        }
        talk(&mut a, &mut b, &mut now, 0.02);
        assert_eq!(b.read_requirement(now, "s"), ReadRequirement::AtLeast(position), "{n}");
        assert!(
            matches!(b.read_requirement(now, "other"), ReadRequirement::AtLeast(floor) if floor < position)
        );
    }
}

#[test]
fn one_that_is_silent_makes_reads_strict_before_writes_are_answered_without_it() {
    let (mut a, mut b, mut now) = pair();
    // b is stopped: nothing reaches it, nothing comes of it.
    let ticket = a.begin_write(now, "s");
    let begun = now;
    while !(a.may_send(now, ticket) && a.may_answer(now, ticket)) {
        now += 0.001;
        a.tick(now);
        a.take_datagrams();
        assert!(now - begun < 5.0, "never answered");
    }
    assert!(now - begun < 0.6, "waited {:.3} s", now - begun);
    assert_eq!(b.read_requirement(now, "s"), ReadRequirement::Primary(PrimaryReason::CatchingUp));
}

#[test]
fn what_is_replayed_forged_or_of_a_newer_version_changes_nothing() {
    let (mut a, mut b, mut now) = pair();
    let sent = talk(&mut a, &mut b, &mut now, 2.0);
    let (before, digest) = (a.counts(), a.digest());
    for bytes in &sent {
        a.receive(now, bytes);
        let mut spoilt = bytes.clone();
        let at = spoilt.len() / 2;
        spoilt[at] ^= 4;
        a.receive(now, &spoilt);
    }
    a.receive(now, b"noise");
    let after = a.counts();
    assert_eq!(after.forged - before.forged, sent.len() as u64 + 1);
    assert_eq!(after.received - before.received, sent.len() as u64);
    // Its own among them were never for it.
    assert!(after.replayed > before.replayed);
    assert_eq!(a.digest(), digest);
    // A newer version has kinds, and fields behind the known ones, that this one does not know.
    let keys = Keys::parse([KEY]).unwrap();
    let head = Header { version: VERSION, from: who("b", 2, 2), number: 1 << 40, to: 1 };
    let mut newer = encode(&head, &Body::Swim(Vec::new()));
    let kind = newer.len() - encode(&head, &Body::Swim(Vec::new())).len();
    let place = newer.iter().rposition(|byte| *byte == 6).unwrap() + kind;
    newer[place] = 200;
    newer.extend_from_slice(b"more");
    assert!(matches!(decode(&newer), Some((_, None))));
    a.receive(now, &keys.seal(newer));
    assert_eq!(a.counts().unknown, after.unknown + 1);
    let mut fact = Fact::Versions { list: 1, generation: 2, program: "p".into() }.encode();
    fact.extend_from_slice(b"a field of tomorrow");
    assert!(Fact::decode(&fact).is_some());
    assert_eq!(Fact::decode(&[99, 1, 2, 3]), None);
}

#[test]
fn of_two_under_one_name_the_earlier_turns_writes_away() {
    let (mut a, mut b, mut now) = pair();
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
fn one_that_was_written_off_and_lives_goes_on_under_a_new_start() {
    let (mut a, mut b, mut now) = pair();
    write(&mut b, &mut a, &mut now, "s", 77.0);
    assert!(a.forget_instance(now, "b") && !a.forget_instance(now, "nobody"));
    talk(&mut a, &mut b, &mut now, 3.0);
    assert!(b.take_notices().iter().any(|notice| matches!(notice, Notice::Renewed(3))));
    assert_eq!(a.digest(), b.digest());
    // What it wrote before is known, or the floor is above it.
    for _ in 0..20 {
        a.read_requirement(now, "s");
        talk(&mut a, &mut b, &mut now, 0.1);
    }
    assert!(
        matches!(a.read_requirement(now, "s"), ReadRequirement::AtLeast(position) if position >= 77.0),
        "{:?}",
        a.read_requirement(now, "s")
    );
}

#[test]
fn a_drain_told_to_one_holds_at_the_other_until_the_list_lifts_it() {
    let (mut a, mut b, mut now) = pair();
    a.report_member_status(now, "s-1", 0.0, 1, 5, MemberStatus::Draining);
    talk(&mut a, &mut b, &mut now, 0.02);
    assert!(b.take_changed());
    assert_eq!(
        (b.member_status("s-1", 0.0), b.member_status("s-2", 0.0)),
        (MemberStatus::Draining, MemberStatus::Serving)
    );
    // Started anew since: it is another machine.
    assert_eq!(b.member_status("s-1", 9.0), MemberStatus::Serving);
    a.report_member_status(now, "s-1", 0.0, 1, 6, MemberStatus::Serving);
    talk(&mut a, &mut b, &mut now, 0.02);
    assert_eq!(b.member_status("s-1", 0.0), MemberStatus::Serving);
}

#[test]
fn a_log_that_is_far_behind_is_read_from_a_stream_that_may_break_at_each_piece() {
    let (mut a, mut b, mut now) = pair();
    for n in 0..3 * MIN_FACTS_TO_STREAM {
        a.report_member_status(now, &format!("m-{n}"), 0.0, 1, n, MemberStatus::Draining);
    }
    // One datagram is enough for it to see how far behind it is.
    a.flush(now + 0.01);
    let first = a.take_datagrams();
    first.iter().for_each(|(_, bytes)| b.receive(now + 0.01, bytes));
    now += 0.02;
    let streams = b.streams_to_open(now);
    assert_eq!(streams.len(), 1, "{streams:?}");
    let (mut pieces, mut breaks) = (0, 0);
    while b.status(now).instances.iter().any(|other| other.to_read > 0) {
        // Each connection lasts for one piece: the next goes on behind it.
        let (who, from) =
            a.parse_stream_request(now, &b.stream_request("a").unwrap()).expect("its question is taken");
        let Some((piece, upto)) = a.stream_piece(now, &who, from) else {
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
    talk(&mut a, &mut b, &mut now, 1.0);
    assert_eq!(a.digest(), b.digest());
}

#[test]
fn a_file_that_is_torn_is_read_as_far_as_it_is_whole() {
    let records = [
        Record::Start(5),
        Record::Seen(who("b", 2, 9)),
        Record::Seen(who("c", 3, 4)),
        Record::Ended(who("c", 3, 4)),
    ];
    let bytes: Vec<u8> = records.iter().flat_map(Record::encode).collect();
    let whole = parse(&bytes);
    assert_eq!((whole.start, whole.seen.clone(), whole.torn_bytes), (5, vec![who("b", 2, 9)], 0));
    assert_eq!(parse(&compacted(&whole)), whole);
    for cut in 0..bytes.len() {
        let part = parse(&bytes[..cut]);
        assert!(part.start <= 5 && part.seen.len() <= 2, "{cut}");
        let mut spoilt = bytes.clone();
        spoilt[cut] ^= 0x10;
        assert!(parse(&spoilt).start <= 5, "{cut}");
    }
    // A clock that went back by an hour, and an old copy of the folder: a start is above all that is known.
    assert_eq!(next_start(Some(&whole), 0.0), 6);
    assert_eq!(next_start(None, 2.0), 2_000_000);
}
