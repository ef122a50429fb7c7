//! A control instance: leases, records, what it says after a start.

use std::net::SocketAddr;

use directory::channel::Channel;
use directory::message::{Body, ClaimVerdict, Notice};
use directory::timing::bounds;
use directory::{ControlInstance, Fault, Millis, Placement, ProcessId, Replica, SessionKey, Timing};
use replication::Keys;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const OTHER_KEY: &str = "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const START: Millis = 1_000_000;

fn keys() -> Keys {
    Keys::parse([KEY]).unwrap()
}

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + n).into()
}

fn placement(terms: &Timing) -> Placement {
    let machine = |n: u16| ControlInstance { name: format!("c{n}"), region: "r".into(), address: address(n) };
    Placement::new((0..3).map(machine).collect(), 3, terms).unwrap()
}

fn session() -> SessionKey {
    SessionKey::new("a session")
}

/// One control instance, and poolers that speak to it.
struct Bench {
    replica: Replica,
    now: Millis,
}

impl Bench {
    /// A control instance that answers.
    fn new() -> Bench {
        let terms = Timing::default();
        let me = ProcessId::new("c0", 1);
        let replica = Replica::new(me, keys(), terms, placement(&terms), START).unwrap();
        Bench { replica, now: START + terms.startup_silence() }
    }

    fn say(&mut self, from: &mut Channel, body: &Body) -> Option<Body> {
        let (_, bytes) = from.seal(0, body);
        self.replica.receive(self.now, address(100), &bytes).unwrap();
        let (_, reply) = self.replica.take_datagrams().pop()?;
        Some(from.open(self.now, &reply).unwrap().1)
    }

    fn heartbeat(&mut self, from: &mut Channel, term: u32, revoked_up_to: u64, notices: Vec<Notice>) -> Body {
        let body = Body::Heartbeat { address: address(100), term, revoked_up_to, notices };
        self.say(from, &body).unwrap()
    }

    fn claim(&mut self, from: &mut Channel, counter: u64) -> ClaimVerdict {
        match self.say(from, &Body::Claim { session: session(), counter }) {
            Some(Body::ClaimReply { verdict, .. }) => verdict,
            other => panic!("{other:?}"),
        }
    }
}

fn pooler(name: &str) -> Channel {
    Channel::new(ProcessId::new(name, 1), placement(&Timing::default()).digest(), keys())
}

fn formers(verdict: &ClaimVerdict) -> Vec<ProcessId> {
    match verdict {
        ClaimVerdict::Accepted { formers, .. } => formers.iter().map(|former| former.ballot.owner).collect(),
        other => panic!("{other:?}"),
    }
}

fn floor_age(verdict: &ClaimVerdict) -> i64 {
    match verdict {
        ClaimVerdict::Accepted { floor_age, .. } => *floor_age,
        other => panic!("{other:?}"),
    }
}

#[test]
fn nothing_is_answered_before_what_a_former_start_granted_is_over() {
    let terms = Timing::default();
    let mut bench = Bench::new();
    bench.now = START + terms.startup_silence() - 1;
    let heartbeat = Body::Heartbeat { address: address(1), term: 0, revoked_up_to: 0, notices: vec![] };
    assert_eq!(bench.say(&mut pooler("a"), &heartbeat), None);
    bench.now += 1;
    assert!(bench.say(&mut pooler("a"), &heartbeat).is_some());
    assert!(terms.startup_silence() > terms.granted_lease() && terms.granted_lease() > terms.lease);
}

#[test]
fn a_claim_needs_a_lease_and_names_who_claimed_before() {
    let (mut bench, mut a, mut b) = (Bench::new(), pooler("a"), pooler("b"));
    assert_eq!(bench.claim(&mut a, 1), ClaimVerdict::NoLease);
    bench.heartbeat(&mut a, 0, 0, vec![]);
    bench.heartbeat(&mut b, 0, 0, vec![]);
    assert_eq!(formers(&bench.claim(&mut a, 1)), []);
    // Repeated, it is the same claim.
    assert_eq!(formers(&bench.claim(&mut a, 1)), []);
    assert_eq!(formers(&bench.claim(&mut b, 2)), [a.process_id()]);
    assert!(matches!(bench.claim(&mut a, 1), ClaimVerdict::Rejected { by } if by.counter == 2));
}

#[test]
fn who_was_displaced_hears_of_it_until_it_says_that_it_has() {
    let (mut bench, mut a, mut b) = (Bench::new(), pooler("a"), pooler("b"));
    bench.heartbeat(&mut a, 0, 0, vec![]);
    bench.heartbeat(&mut b, 0, 0, vec![]);
    bench.claim(&mut a, 1);
    bench.claim(&mut b, 2);
    for _ in 0..2 {
        let Body::HeartbeatAck { term, revocations, complete, .. } = bench.heartbeat(&mut a, 1, 0, vec![])
        else {
            panic!()
        };
        assert_eq!((term, complete, revocations.len()), (1, true, 1));
        assert_eq!((revocations[0].session, revocations[0].below.counter), (session(), 2));
    }
    let Body::HeartbeatAck { revocations, .. } = bench.heartbeat(&mut a, 1, 1, vec![]) else { panic!() };
    assert_eq!(revocations, []);
}

#[test]
fn a_settled_owner_is_named_still_where_it_was_displaced_meanwhile() {
    let (mut bench, mut a, mut b, mut c) = (Bench::new(), pooler("a"), pooler("b"), pooler("c"));
    for pooler in [&mut a, &mut b, &mut c] {
        bench.heartbeat(pooler, 0, 0, vec![]);
    }
    bench.claim(&mut a, 1);
    bench.claim(&mut b, 2);
    bench.claim(&mut c, 3);
    bench.heartbeat(&mut b, 2, 0, vec![Notice::Settled { session: session(), counter: 2 }]);
    assert_eq!(formers(&bench.claim(&mut c, 3)), [b.process_id()]);
}

#[test]
fn a_lease_that_ends_leaves_a_floor_for_its_sessions_alone() {
    let (mut bench, mut a, mut b) = (Bench::new(), pooler("a"), pooler("b"));
    let terms = Timing::default();
    bench.now += 1_000_000;
    bench.heartbeat(&mut a, 0, 0, vec![]);
    bench.claim(&mut a, 1);
    let ended = bench.now + terms.granted_lease();
    bench.now = ended + 100;
    bench.heartbeat(&mut b, 0, 0, vec![]);
    let verdict = bench.claim(&mut b, 2);
    assert_eq!(formers(&verdict), []);
    // Writes that it sent before its end may commit for as long as a write may take.
    let until = -(terms.write_bound as i64) + 100;
    assert!(floor_age(&verdict) <= until && floor_age(&verdict) > 2 * until, "{}", floor_age(&verdict));
    let body = Body::Claim { session: SessionKey::new("another"), counter: 1 };
    let Some(Body::ClaimReply { verdict, .. }) = bench.say(&mut b, &body) else { panic!() };
    assert!(floor_age(&verdict) > 800_000);
}

#[test]
fn after_a_start_all_sessions_have_a_floor() {
    let (mut bench, mut a) = (Bench::new(), pooler("a"));
    bench.heartbeat(&mut a, 0, 0, vec![]);
    assert!(floor_age(&bench.claim(&mut a, 1)) <= -(Timing::default().write_bound as i64));
}

#[test]
fn a_released_session_leaves_no_record() {
    let (mut bench, mut a) = (Bench::new(), pooler("a"));
    bench.heartbeat(&mut a, 0, 0, vec![]);
    bench.claim(&mut a, 1);
    assert_eq!(bench.replica.records(), 1);
    let released = Notice::Released { session: session(), counter: 1, age: 60_000 };
    bench.heartbeat(&mut a, 1, 0, vec![released]);
    assert_eq!(bench.replica.records(), 0);
}

#[test]
fn formers_are_bounded_and_a_claim_beyond_is_refused() {
    let (mut bench, mut a) = (Bench::new(), pooler("a"));
    bench.heartbeat(&mut a, 0, 0, vec![]);
    bench.claim(&mut a, 1);
    let mut verdict = ClaimVerdict::NoLease;
    for n in 0..=bounds::FORMERS as u64 + 1 {
        let mut next = pooler(&format!("p{n}"));
        bench.heartbeat(&mut next, 0, 0, vec![]);
        verdict = bench.claim(&mut next, 2 + n);
    }
    assert_eq!(verdict, ClaimVerdict::Full);
}

#[test]
fn a_pooler_with_too_many_revocations_is_not_renewed() {
    let (mut bench, mut a, mut b) = (Bench::new(), pooler("a"), pooler("b"));
    bench.heartbeat(&mut a, 0, 0, vec![]);
    bench.heartbeat(&mut b, 0, 0, vec![]);
    for n in 0..bounds::ENTRIES_PER_DATAGRAM + 1 {
        let session = SessionKey::new(&n.to_string());
        bench.say(&mut a, &Body::Claim { session, counter: 1 });
        bench.say(&mut b, &Body::Claim { session, counter: 2 });
    }
    let Body::HeartbeatAck { revocations, complete, .. } = bench.heartbeat(&mut a, 1, 0, vec![]) else {
        panic!()
    };
    assert_eq!((revocations.len(), complete), (bounds::ENTRIES_PER_DATAGRAM, false));
    let last = revocations.last().unwrap().number;
    let Body::HeartbeatAck { revocations, complete, .. } = bench.heartbeat(&mut a, 1, last, vec![]) else {
        panic!()
    };
    assert_eq!((revocations.len(), complete), (1, true));
}

#[test]
fn what_is_no_message_of_the_directory_is_counted_by_its_fault() {
    let (mut bench, mut a) = (Bench::new(), pooler("a"));
    let heartbeat = Body::Heartbeat { address: address(1), term: 0, revoked_up_to: 0, notices: vec![] };
    let (_, good) = a.seal(0, &heartbeat);
    let now = bench.now;
    let mut told = |bytes: &[u8]| bench.replica.receive(now, address(1), bytes);

    assert_eq!(told(&vec![0; bounds::MAX_DATAGRAM_BYTES + 1]), Err(Fault::TooLong));
    assert_eq!(told(b"garbage"), Err(Fault::Key));
    let other = Keys::parse([OTHER_KEY]).unwrap();
    let digest = placement(&Timing::default()).digest();
    let (_, bytes) = Channel::new(a.process_id(), digest, other).seal(0, &heartbeat);
    assert_eq!(told(&bytes), Err(Fault::Key));
    assert_eq!(told(&keys().seal(b"garbage".to_vec())), Err(Fault::Malformed));
    let mut older = vec![0u8; 40];
    older.extend(crc32fast::hash(&older).to_be_bytes());
    assert_eq!(told(&keys().seal(older)), Err(Fault::Version));
    let (_, bytes) = Channel::new(a.process_id(), digest + 1, keys()).seal(0, &heartbeat);
    assert_eq!(told(&bytes), Err(Fault::Directory));
    let (_, bytes) = a.seal(77, &heartbeat);
    assert_eq!(told(&bytes), Err(Fault::Incarnation));
    assert_eq!(told(&good), Ok(()));
    assert_eq!(told(&good), Err(Fault::Replayed));
    let ack = Body::HeartbeatAck { heartbeat: 1, term: 1, revocations: vec![], complete: true };
    let (_, bytes) = a.seal(0, &ack);
    assert_eq!(told(&bytes), Err(Fault::Sender));
    let (_, bytes) =
        Channel::new(ProcessId { incarnation: 0, ..a.process_id() }, digest, keys()).seal(0, &heartbeat);
    assert_eq!(told(&bytes), Err(Fault::Incarnation));

    let counted: Vec<(Fault, u64)> = bench.replica.faults().iter().map(|(fault, n)| (*fault, *n)).collect();
    let expected = [
        (Fault::TooLong, 1),
        (Fault::Key, 2),
        (Fault::Malformed, 1),
        (Fault::Version, 1),
        (Fault::Directory, 1),
        (Fault::Incarnation, 2),
        (Fault::Replayed, 1),
        (Fault::Sender, 1),
    ];
    assert_eq!(counted, expected);
}
