//! Scenarios of sessions that read their own writes, or writes that may have run. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

/// Replicas answer from the data they have; the policy remembers sessions' writes; the home replica is fresh.
fn remembering_writes() -> Drive {
    let mut d = Drive::new(Settings {
        when_behind: WhenBehind::ServeStale,
        requests_carry_position: false,
        ..settings()
    });
    d.report_fresh("r");
    d
}

/// The write may be committed and its answer lost on a silent connection: unknown until the write ends.
#[test]
fn a_write_in_flight_raises_the_position_required_by_its_session() {
    let mut d = remembering_writes();
    assert_eq!(sent(&d.handle(of_session("w", 0))), ["p"]);
    d.now += 0.05;
    assert_eq!(sent(&d.handle(of_session("at once", 2))), ["r"], "the write cannot be known yet");
    d.ended("at once", "r", 0, Outcome::Ok);
    d.now += 0.25;
    d.report_fresh("r");
    assert_eq!(
        sent(&d.handle(of_session("near", 2))),
        ["r"],
        "the replica has reached the position that may be known"
    );
    d.ended("near", "r", 0, Outcome::Ok);
    d.now += 0.101;
    assert_eq!(sent(&d.handle(of_session("read", 2))), ["p"]);
    assert_eq!(sent(&d.request("other", 2)), ["r"], "a session without writes reads from the home replica");
}

#[test]
fn a_write_that_may_have_run_raises_the_position_required_by_its_session() {
    for outcome in [Outcome::Reset, Outcome::Timeout, Outcome::Cancelled, Outcome::Error] {
        let mut d = remembering_writes();
        // The class allows no repeat, so the end of this attempt is final.
        d.handle(of_session("w", 5));
        d.now += 0.3;
        d.report_fresh("r");
        d.now += 0.1;
        d.ended("w", "p", 0, outcome);
        assert_eq!(sent(&d.handle(of_session("read", 2))), ["p"], "{outcome:?}");
        d.now += 0.1;
        d.report_fresh("r");
        assert_eq!(sent(&d.handle(of_session("later", 2))), ["r"], "{outcome:?}: the replica has caught up");
    }
}

#[test]
fn a_write_that_cannot_have_run_changes_no_required_position() {
    for outcome in [Outcome::Full, Outcome::Miss, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut d = remembering_writes();
        d.handle(of_session("w", 5));
        d.handle(Event::ClientLeft { id: "w".into() });
        d.ended("w", "p", 0, outcome);
        assert_eq!(sent(&d.handle(of_session("read", 2))), ["r"], "{outcome:?}");
    }
}

/// The required position of a read is determined when it is sent, not when it arrives.
#[test]
fn a_retried_read_sees_a_write_answered_meanwhile() {
    let mut d = remembering_writes();
    d.report_fresh("far");
    d.handle(of_session("w", 0));
    d.now += 0.101;
    assert_eq!(sent(&d.handle(of_session("read", 2))), ["p"]);
    d.now += 0.1;
    d.ended_with("w", "p", 0, Outcome::Ok, Some(true), Some(d.now));
    let next = d.ended("read", "p", 0, Outcome::Reset);
    assert!(!sent(&next).contains(&"r") && !sent(&next).contains(&"far"), "{next:?}");
}

/// If requests carry the required position, the client knows only of writes that were answered.
#[test]
fn writes_are_not_remembered_if_requests_carry_positions() {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, ..settings() });
    d.report_fresh("r");
    d.handle(of_session("w", 0));
    assert_eq!(sent(&d.handle(of_session("read", 2))), ["r"]);
}
