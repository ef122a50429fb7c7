use super::*;
use rstest::rstest;

const NOW: f64 = 1000.0;

fn access(consistency: Consistency, key: Option<&str>) -> Access {
    Access { group: 2, key: key.map(String::from), consistency }
}

fn arrival(id: &str) -> Arrival {
    Arrival {
        id: id.into(),
        class: 0,
        group: 2,
        time_left: 2.0,
        required_position: None,
        session: None,
        tenant: 0,
        predicted_work: None,
        repeat: false,
        client_rate: 0.0,
        session_position: None,
        streams_answer: false,
    }
}

/// Inserts requests of one connection; the ids are their indices. Returns for each whether it has to wait.
fn in_flight(requests: &[Access]) -> (InFlight, Slot, Vec<bool>) {
    let (mut in_flight, client) = (InFlight::default(), Slot::from_number(7));
    let mut must_wait = Vec::new();
    for (index, access) in requests.iter().enumerate() {
        let command = CommandNumber::from(index as u64);
        let result = in_flight.insert((client, command), access.clone(), arrival(&index.to_string()), NOW);
        must_wait.push(result.is_none());
    }
    (in_flight, client, must_wait)
}

fn released(in_flight: &mut InFlight, client: Slot, id: &str) -> Vec<String> {
    let (_, released) = in_flight.finish(client, &id.into()).expect("the request is in flight");
    let arrivals = released.into_iter().filter(|id| in_flight.release(client, id).is_some());
    arrivals.map(|id| id.to_string()).collect()
}

#[rstest]
#[case::session(Consistency::Session, true)]
#[case::fresh(Consistency::Fresh, true)]
#[case::write(Consistency::Write, true)]
#[case::bounded(Consistency::Bounded(3.0), false)]
#[case::any(Consistency::Any, false)]
fn reads_bound_to_own_writes_and_writes_wait_for_earlier_write_of_same_row(
    #[case] later: Consistency,
    #[case] must_wait: bool,
) {
    let write = access(Consistency::Write, Some("a"));
    assert_eq!(in_flight(&[write.clone(), access(later, Some("a"))]).2, [false, must_wait]);
    assert_eq!(in_flight(&[write.clone(), access(later, Some("b"))]).2, [false, false]);
    assert_eq!(in_flight(&[write.clone(), access(later, None)]).2, [false, must_wait]);
    let elsewhere = Access { group: 3, ..access(later, Some("a")) };
    assert_eq!(in_flight(&[write, elsewhere]).2, [false, false]);
}

#[test]
fn waiting_request_is_released_by_last_answer_that_it_waits_for() {
    let (write, read) = (access(Consistency::Write, Some("a")), access(Consistency::Session, Some("a")));
    let (mut in_flight, client, must_wait) = in_flight(&[read.clone(), read.clone(), write, read]);
    assert_eq!(must_wait, [false, false, true, true]);
    assert_eq!(released(&mut in_flight, client, "1"), [""; 0]);
    assert_eq!(released(&mut in_flight, client, "0"), ["2"]);
    assert_eq!(released(&mut in_flight, client, "2"), ["3"]);
    assert_eq!(released(&mut in_flight, client, "3"), [""; 0]);
    assert!(!in_flight.has_requests(client) && in_flight.client_count() == 0);
}

#[test]
fn waiting_requests_expire_unless_released() {
    let write = access(Consistency::Write, Some("a"));
    let (mut in_flight, client, _) = in_flight(&[write.clone(), write.clone(), write]);
    let expires_at = NOW + 2.0 * WAIT_SHARE;
    assert!(in_flight.expired(client, expires_at - 0.001).is_empty());
    assert_eq!(in_flight.expired(client, expires_at).len(), 2);
    assert_eq!(released(&mut in_flight, client, "0"), ["1"]);
    assert_eq!(in_flight.expired(client, expires_at).len(), 1, "a released request no longer expires");
    assert_eq!(in_flight.take_all(client).len(), 2);
    assert!(in_flight.expired(client, expires_at).is_empty());
}

/// Guards issue 55: the requests that one client sent ahead filled the members' queues, and others were refused.
#[test]
fn a_connection_with_its_share_waits_while_many_requests_run() {
    let (mut in_flight, greedy) = (InFlight::default(), Slot::from_number(7));
    let read = || access(Consistency::Any, None);
    let mut insert = |client: u64, n: u64| {
        let key = (Slot::from_number(client), CommandNumber::from(n));
        in_flight.insert(key, read(), arrival(&format!("{client}-{n}")), NOW).is_some()
    };
    assert!((0..CROWDED_RUNNING as u64).all(|n| insert(7, n)), "nobody else is there");
    assert!(!insert(7, 100), "its share is spent");
    assert!((0..MAX_RUNNING_WHILE_CROWDED as u64).all(|n| insert(8, n)), "another client has its own share");
    assert!(!insert(8, 100));
    // The requests that run are still too many: one that ends makes no room for a connection beyond its share.
    assert_eq!(released(&mut in_flight, greedy, "7-0"), Vec::<String>::new());
    assert_eq!(released(&mut in_flight, Slot::from_number(8), "8-0"), ["8-100"]);
    in_flight.take_all(Slot::from_number(8));
    assert_eq!(released(&mut in_flight, greedy, "7-1"), ["7-100"]);
}
