//! A control instance: leases, records, and the silence after a start.

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

fn placement(timing: &Timing) -> Placement {
    let instance =
        |n: u16| ControlInstance { name: format!("c{n}"), region: "r".into(), address: address(n) };
    Placement::new((0..3).map(instance).collect(), 3, timing).unwrap()
}

fn session() -> SessionKey {
    SessionKey::new("a session")
}

/// One control instance, and the poolers that send it messages.
struct Fixture {
    replica: Replica,
    now: Millis,
}

impl Fixture {
    /// A control instance after its startup silence.
    fn new() -> Fixture {
        let timing = Timing::default();
        let me = ProcessId::new("c0", 1);
        let replica = Replica::new(me, keys(), timing, placement(&timing), START).unwrap();
        Fixture { replica, now: START + timing.startup_silence() }
    }

    fn exchange(&mut self, from: &mut Channel, body: &Body) -> Option<Body> {
        let (_, bytes) = from.seal(0, body);
        self.replica.receive(self.now, address(100), &bytes).unwrap();
        let (_, reply) = self.replica.take_datagrams().pop()?;
        Some(from.open(self.now, &reply).unwrap().1)
    }

    fn heartbeat(&mut self, from: &mut Channel, term: u32, revoked_up_to: u64, notices: Vec<Notice>) -> Body {
        let body = Body::Heartbeat { address: address(100), term, revoked_up_to, notices };
        self.exchange(from, &body).unwrap()
    }

    fn claim(&mut self, from: &mut Channel, counter: u64) -> ClaimVerdict {
        match self.exchange(from, &Body::Claim { session: session(), counter }) {
            Some(Body::ClaimReply { verdict, .. }) => verdict,
            other => panic!("{other:?}"),
        }
    }
}

fn pooler(name: &str) -> Channel {
    Channel::new(ProcessId::new(name, 1), placement(&Timing::default()).digest(), keys())
}

fn former_owners(verdict: &ClaimVerdict) -> Vec<ProcessId> {
    match verdict {
        ClaimVerdict::Accepted { former_owners, .. } => {
            former_owners.iter().map(|former| former.ballot.owner).collect()
        }
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
fn no_answer_until_grants_of_the_previous_incarnation_are_over() {
    let timing = Timing::default();
    let mut fixture = Fixture::new();
    fixture.now = START + timing.startup_silence() - 1;
    let heartbeat = Body::Heartbeat { address: address(1), term: 0, revoked_up_to: 0, notices: vec![] };
    assert_eq!(fixture.exchange(&mut pooler("a"), &heartbeat), None);
    fixture.now += 1;
    assert!(fixture.exchange(&mut pooler("a"), &heartbeat).is_some());
    assert!(timing.startup_silence() > timing.granted_lease() && timing.granted_lease() > timing.lease);
}

#[test]
fn a_claim_requires_a_lease_and_returns_the_former_owners() {
    let (mut fixture, mut a, mut b) = (Fixture::new(), pooler("a"), pooler("b"));
    assert_eq!(fixture.claim(&mut a, 1), ClaimVerdict::NoLease);
    fixture.heartbeat(&mut a, 0, 0, vec![]);
    fixture.heartbeat(&mut b, 0, 0, vec![]);
    assert_eq!(former_owners(&fixture.claim(&mut a, 1)), []);
    // A repeated claim is the same claim.
    assert_eq!(former_owners(&fixture.claim(&mut a, 1)), []);
    assert_eq!(former_owners(&fixture.claim(&mut b, 2)), [a.process_id()]);
    assert!(matches!(fixture.claim(&mut a, 1), ClaimVerdict::Rejected { by } if by.counter == 2));
}

#[test]
fn revocations_are_repeated_until_confirmed() {
    let (mut fixture, mut a, mut b) = (Fixture::new(), pooler("a"), pooler("b"));
    fixture.heartbeat(&mut a, 0, 0, vec![]);
    fixture.heartbeat(&mut b, 0, 0, vec![]);
    fixture.claim(&mut a, 1);
    fixture.claim(&mut b, 2);
    for _ in 0..2 {
        let Body::HeartbeatAck { term, revocations, complete, .. } = fixture.heartbeat(&mut a, 1, 0, vec![])
        else {
            panic!()
        };
        assert_eq!((term, complete, revocations.len()), (1, true, 1));
        assert_eq!((revocations[0].session, revocations[0].below.counter), (session(), 2));
    }
    let Body::HeartbeatAck { revocations, .. } = fixture.heartbeat(&mut a, 1, 1, vec![]) else { panic!() };
    assert_eq!(revocations, []);
}

#[test]
fn a_completed_claim_that_was_displaced_is_still_a_former_owner() {
    let (mut fixture, mut a, mut b, mut c) = (Fixture::new(), pooler("a"), pooler("b"), pooler("c"));
    for pooler in [&mut a, &mut b, &mut c] {
        fixture.heartbeat(pooler, 0, 0, vec![]);
    }
    fixture.claim(&mut a, 1);
    fixture.claim(&mut b, 2);
    fixture.claim(&mut c, 3);
    fixture.heartbeat(&mut b, 2, 0, vec![Notice::ClaimCompleted { session: session(), counter: 2 }]);
    assert_eq!(former_owners(&fixture.claim(&mut c, 3)), [b.process_id()]);
}

#[test]
fn an_ended_lease_raises_the_floor_of_its_own_sessions_only() {
    let (mut fixture, mut a, mut b) = (Fixture::new(), pooler("a"), pooler("b"));
    let timing = Timing::default();
    fixture.now += 1_000_000;
    fixture.heartbeat(&mut a, 0, 0, vec![]);
    fixture.claim(&mut a, 1);
    let ended = fixture.now + timing.granted_lease();
    fixture.now = ended + 100;
    fixture.heartbeat(&mut b, 0, 0, vec![]);
    let verdict = fixture.claim(&mut b, 2);
    assert_eq!(former_owners(&verdict), []);
    // Writes sent before the lease's end may commit for the write bound.
    let latest = -(timing.write_bound as i64) + 100;
    assert!(floor_age(&verdict) <= latest && floor_age(&verdict) > 2 * latest, "{}", floor_age(&verdict));
    let body = Body::Claim { session: SessionKey::new("another"), counter: 1 };
    let Some(Body::ClaimReply { verdict, .. }) = fixture.exchange(&mut b, &body) else { panic!() };
    assert!(floor_age(&verdict) > 800_000);
}

#[test]
fn after_a_start_all_sessions_have_a_floor() {
    let (mut fixture, mut a) = (Fixture::new(), pooler("a"));
    fixture.heartbeat(&mut a, 0, 0, vec![]);
    assert!(floor_age(&fixture.claim(&mut a, 1)) <= -(Timing::default().write_bound as i64));
}

#[test]
fn a_released_session_leaves_no_record() {
    let (mut fixture, mut a) = (Fixture::new(), pooler("a"));
    fixture.heartbeat(&mut a, 0, 0, vec![]);
    fixture.claim(&mut a, 1);
    assert_eq!(fixture.replica.records(), 1);
    let released = Notice::Released { session: session(), counter: 1, write_age: 60_000 };
    fixture.heartbeat(&mut a, 1, 0, vec![released]);
    assert_eq!(fixture.replica.records(), 0);
}

#[test]
fn claims_are_refused_beyond_the_limit_of_former_owners() {
    let (mut fixture, mut a) = (Fixture::new(), pooler("a"));
    fixture.heartbeat(&mut a, 0, 0, vec![]);
    fixture.claim(&mut a, 1);
    let mut verdict = ClaimVerdict::NoLease;
    for n in 0..=bounds::FORMER_OWNERS as u64 + 1 {
        let mut next = pooler(&format!("p{n}"));
        fixture.heartbeat(&mut next, 0, 0, vec![]);
        verdict = fixture.claim(&mut next, 2 + n);
    }
    assert_eq!(verdict, ClaimVerdict::Full);
}

#[test]
fn a_lease_is_not_renewed_until_all_revocations_were_sent() {
    let (mut fixture, mut a, mut b) = (Fixture::new(), pooler("a"), pooler("b"));
    fixture.heartbeat(&mut a, 0, 0, vec![]);
    fixture.heartbeat(&mut b, 0, 0, vec![]);
    for n in 0..bounds::ENTRIES_PER_DATAGRAM + 1 {
        let session = SessionKey::new(&n.to_string());
        fixture.exchange(&mut a, &Body::Claim { session, counter: 1 });
        fixture.exchange(&mut b, &Body::Claim { session, counter: 2 });
    }
    let Body::HeartbeatAck { revocations, complete, .. } = fixture.heartbeat(&mut a, 1, 0, vec![]) else {
        panic!()
    };
    assert_eq!((revocations.len(), complete), (bounds::ENTRIES_PER_DATAGRAM, false));
    let last = revocations.last().unwrap().number;
    let Body::HeartbeatAck { revocations, complete, .. } = fixture.heartbeat(&mut a, 1, last, vec![]) else {
        panic!()
    };
    assert_eq!((revocations.len(), complete), (1, true));
}

#[test]
fn invalid_datagrams_are_rejected_and_counted_by_fault() {
    let (mut fixture, mut a) = (Fixture::new(), pooler("a"));
    let heartbeat = Body::Heartbeat { address: address(1), term: 0, revoked_up_to: 0, notices: vec![] };
    let (_, valid) = a.seal(0, &heartbeat);
    let now = fixture.now;
    let mut receive = |bytes: &[u8]| fixture.replica.receive(now, address(1), bytes);

    assert_eq!(receive(&vec![0; bounds::MAX_DATAGRAM_BYTES + 1]), Err(Fault::TooLong));
    assert_eq!(receive(b"garbage"), Err(Fault::Key));
    let other = Keys::parse([OTHER_KEY]).unwrap();
    let digest = placement(&Timing::default()).digest();
    let (_, bytes) = Channel::new(a.process_id(), digest, other).seal(0, &heartbeat);
    assert_eq!(receive(&bytes), Err(Fault::Key));
    assert_eq!(receive(&keys().seal(b"garbage".to_vec())), Err(Fault::Malformed));
    let mut other_version = vec![0u8; 40];
    other_version.extend(crc32fast::hash(&other_version).to_be_bytes());
    assert_eq!(receive(&keys().seal(other_version)), Err(Fault::Version));
    let (_, bytes) = Channel::new(a.process_id(), digest + 1, keys()).seal(0, &heartbeat);
    assert_eq!(receive(&bytes), Err(Fault::Directory));
    let (_, bytes) = a.seal(77, &heartbeat);
    assert_eq!(receive(&bytes), Err(Fault::Incarnation));
    assert_eq!(receive(&valid), Ok(()));
    assert_eq!(receive(&valid), Err(Fault::Replayed));
    let ack = Body::HeartbeatAck { heartbeat: 1, term: 1, revocations: vec![], complete: true };
    let (_, bytes) = a.seal(0, &ack);
    assert_eq!(receive(&bytes), Err(Fault::Sender));
    let (_, bytes) =
        Channel::new(ProcessId { incarnation: 0, ..a.process_id() }, digest, keys()).seal(0, &heartbeat);
    assert_eq!(receive(&bytes), Err(Fault::Incarnation));

    let counted: Vec<(Fault, u64)> = fixture.replica.faults().iter().map(|(fault, n)| (*fault, *n)).collect();
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
