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
        session_position: None,
    }
}

/// Requests of one connection, each with what it does; the ids are their places.
fn in_flight(requests: &[Access]) -> (InFlight, Slot, Vec<bool>) {
    let (mut in_flight, client) = (InFlight::default(), Slot::from_number(7));
    let mut waits = Vec::new();
    for (place, access) in requests.iter().enumerate() {
        let command = CommandNumber::from(place as u64);
        let result = in_flight.insert((client, command), access.clone(), arrival(&place.to_string()), NOW);
        waits.push(result.is_err());
    }
    (in_flight, client, waits)
}

fn released(in_flight: &mut InFlight, client: Slot, id: &str) -> Vec<String> {
    let (_, released) = in_flight.finish(client, &id.into()).expect("it is in flight");
    let taken = released.into_iter().filter(|id| in_flight.release(client, id).is_some());
    taken.map(|id| id.to_string()).collect()
}

#[rstest]
#[case::session(Consistency::Session, true)]
#[case::fresh(Consistency::Fresh, true)]
#[case::write(Consistency::Write, true)]
#[case::bounded(Consistency::Bounded(3.0), false)]
#[case::any(Consistency::Any, false)]
fn what_must_see_a_write_of_its_row_waits_for_it(#[case] later: Consistency, #[case] waits: bool) {
    let write = access(Consistency::Write, Some("a"));
    assert_eq!(in_flight(&[write.clone(), access(later, Some("a"))]).2, [false, waits]);
    assert_eq!(in_flight(&[write.clone(), access(later, Some("b"))]).2, [false, false]);
    assert_eq!(in_flight(&[write.clone(), access(later, None)]).2, [false, waits]);
    let elsewhere = Access { group: 3, ..access(later, Some("a")) };
    assert_eq!(in_flight(&[write, elsewhere]).2, [false, false]);
}

#[test]
fn what_waits_is_released_by_the_last_that_it_waits_for() {
    let (write, read) = (access(Consistency::Write, Some("a")), access(Consistency::Session, Some("a")));
    let (mut in_flight, client, waits) = in_flight(&[read.clone(), read.clone(), write, read]);
    assert_eq!(waits, [false, false, true, true]);
    assert_eq!(released(&mut in_flight, client, "1"), [""; 0]);
    assert_eq!(released(&mut in_flight, client, "0"), ["2"]);
    assert_eq!(released(&mut in_flight, client, "2"), ["3"]);
    assert_eq!(released(&mut in_flight, client, "3"), [""; 0]);
    assert!(!in_flight.has_requests(client) && in_flight.client_count() == 0);
}

#[test]
fn what_has_waited_for_long_expires_once() {
    let write = access(Consistency::Write, Some("a"));
    let (mut in_flight, client, _) = in_flight(&[write.clone(), write.clone(), write]);
    let until = NOW + 2.0 * WAIT_SHARE;
    assert!(in_flight.expired(client, until - 0.001).is_empty());
    assert_eq!(in_flight.expired(client, until).len(), 2);
    assert_eq!(released(&mut in_flight, client, "0"), ["1"]);
    assert_eq!(in_flight.expired(client, until).len(), 1, "one that was released has begun");
    assert_eq!(in_flight.take_all(client).len(), 2);
    assert!(in_flight.expired(client, until).is_empty());
}
