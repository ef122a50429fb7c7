//! Scenarios of reads whose members fall behind between the decision and the last byte, or that answer from older data
//! than they state. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;
use routing::permission::Denial;

const BOUNDED: usize = 1;
const FRESH: usize = 4;
/// The bound of the class `BOUNDED`.
const BOUND: f64 = 0.5;

/// Members answer from the data that they have; both replicas are known to be fresh.
fn serving_stale() -> Drive {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, probes: false, ..settings() });
    d.report_fresh("r");
    d
}

fn may_write(d: &mut Drive, id: &str, attempt: usize) -> Result<f64, Denial> {
    d.policy.may_write(&id.into(), attempt, d.now)
}

fn withdraw(d: &mut Drive, id: &str, attempt: usize) -> Vec<Action> {
    assert_eq!(may_write(d, id, attempt), Err(Denial::Behind));
    d.handle(Event::WriteDenied { id: id.into(), attempt })
}

/// Reports a position that meets the bound for another 50 ms.
fn report_old(d: &mut Drive, member: &str) {
    let report = Report { position: Some(d.now - BOUND + 0.05), primary: Some(false) };
    d.handle(Event::ProbeEnded { member: member.into(), outcome: Outcome::Ok, report });
}

/// A read of an ordinary client, whose answer is streamed.
fn streamed(id: &str, class: usize) -> Event {
    let Event::Arrival(arrival) = Event::arrival(id, class, 0, 1.8) else { unreachable!() };
    Event::Arrival(Arrival { streams_answer: true, ..arrival })
}

/// Guards review case 3: the position was enough at the decision, and not when the connection had come up.
#[test]
fn a_read_that_waits_past_its_bound_goes_to_the_next_fresh_replica_in_the_same_step() {
    let mut d = serving_stale();
    d.now += 0.3;
    assert_eq!(sent(&d.request("x", BOUNDED)), ["r"]);
    assert_eq!(may_write(&mut d, "x", 0), Ok(100.0 + BOUND - 0.15));
    d.now += 0.25;
    d.report_fresh("far");
    assert_eq!(sent(&withdraw(&mut d, "x", 0)), ["far"]);
    assert!(may_write(&mut d, "x", 1).is_ok());
    d.ended("x", "far", 1, Outcome::Ok);
    assert_eq!(d.policy.tracked_requests(), 0);
}

#[test]
fn a_read_may_be_written_if_its_replica_is_known_to_be_fresh_again() {
    let mut d = serving_stale();
    d.now += 0.4;
    assert_eq!(sent(&d.request("x", BOUNDED)), ["r"]);
    d.now += 0.2;
    assert_eq!(may_write(&mut d, "x", 0), Err(Denial::Behind));
    d.report_fresh("r");
    assert!(may_write(&mut d, "x", 0).is_ok());
}

/// Guards against reads that go round in circles, and against a request that loses its attempts by what was not sent.
#[test]
fn withdrawn_reads_cost_no_attempt_and_end_at_the_primary() {
    let settings = Settings {
        when_behind: WhenBehind::ServeStale,
        probes: false,
        max_attempts: 1,
        connect_timeout: 0.1,
        ..settings()
    };
    let mut d = Drive::new(settings);
    report_old(&mut d, "r");
    assert_eq!(sent(&d.request("x", BOUNDED)), ["r"]);
    for (attempt, next) in ["far", "r", "p"].into_iter().enumerate() {
        d.now += 0.1;
        // The other replica is known to be just fresh enough each time.
        report_old(&mut d, if attempt == 1 { "r" } else { "far" });
        let actions = withdraw(&mut d, "x", attempt);
        assert_eq!((sent(&actions), finals(&actions)), (vec![next], 0), "{attempt}");
    }
    assert!(may_write(&mut d, "x", 3).is_ok());
}

/// Guards against load and failures that are counted for what was never sent.
#[test]
fn a_withdrawn_read_leaves_no_mark_at_its_member_and_in_the_retry_budget() {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, probes: false, ..settings() });
    let in_flight = |d: &Drive| {
        d.policy.observations().iter().map(|seen| (seen.in_flight, seen.suspected)).collect::<Vec<_>>()
    };
    for n in 0..60 {
        report_old(&mut d, "r");
        let id = format!("x{n}");
        assert_eq!(sent(&d.request(&id, BOUNDED)), ["r"], "{n}");
        d.now += 0.1;
        assert_eq!(sent(&withdraw(&mut d, &id, 0)), ["p"], "{n}");
        d.ended(&id, "p", 1, Outcome::Ok);
        assert!(in_flight(&d).iter().all(|seen| *seen == (0, false)), "{n}: {:?}", in_flight(&d));
    }
}

/// Guards a client that has left, or that another attempt has answered, while its read waited.
#[test]
fn a_withdrawn_read_whose_client_has_left_is_forgotten() {
    let mut d = serving_stale();
    d.request("x", BOUNDED);
    d.handle(Event::ClientLeft { id: "x".into() });
    d.now += BOUND + 0.1;
    let actions = d.handle(Event::WriteDenied { id: "x".into(), attempt: 0 });
    assert_eq!((sent(&actions), finals(&actions)), (vec![], 0));
    assert_eq!(d.policy.tracked_requests(), 0);
}

#[test]
fn a_fresh_read_is_not_written_to_a_primary_that_was_deposed_meanwhile() {
    let mut d = serving_stale();
    assert_eq!(sent(&d.request("x", FRESH)), ["p"]);
    d.now += 0.1;
    let report = Report { position: Some(d.now), primary: Some(true) };
    d.handle(Event::ProbeEnded { member: "r".into(), outcome: Outcome::Ok, report });
    assert_eq!(sent(&withdraw(&mut d, "x", 0)), ["r"]);
    assert!(may_write(&mut d, "x", 1).is_ok());
}

/// Guards against a process that was held up between the check and the write: its answer is not passed on.
#[test]
fn an_answer_to_a_read_that_was_written_past_its_bound_is_too_old() {
    let mut d = serving_stale();
    d.now += 0.4;
    d.request("x", BOUNDED);
    assert!(may_write(&mut d, "x", 0).is_ok());
    d.now += 0.15;
    assert_eq!(d.policy.record_written(&"x".into(), 0, d.now), Some((d.now - BOUND, 100.0)));
    d.now += 0.05;
    // The replica caught up while it answered.
    for stated in [(Some(d.now), Some(false)), (None, Some(false)), (None, None)] {
        let conclusion = d.policy.assess_answer(&"x".into(), (0, 0.2), Outcome::Ok, stated);
        assert_eq!(conclusion, Conclusion::TooOld, "{stated:?}");
    }
}

/// Guards against a member that has lost data, or another under its name.
#[test]
fn an_answer_from_below_the_position_that_its_member_had_reached_is_too_old() {
    let mut d = serving_stale();
    d.request("x", BOUNDED);
    d.policy.record_written(&"x".into(), 0, d.now);
    let assess =
        |position| d.policy.assess_answer(&"x".into(), (0, 0.1), Outcome::Ok, (Some(position), Some(false)));
    assert_eq!(assess(100.0 - BOUND - 0.01), Conclusion::TooOld);
    assert_eq!(assess(100.0 - BOUND), Conclusion::AsReceived);
}

/// Guards ordinary clients where members check positions: members do not know what such a statement requires.
#[test]
fn a_streamed_read_goes_to_a_replica_only_if_that_is_known_to_be_fresh() {
    let mut d = Drive::new(Settings { probes: false, ..settings() });
    assert_eq!(sent(&d.request("checked", BOUNDED)), ["r"], "members check it");
    assert_eq!(sent(&d.handle(streamed("streamed", BOUNDED))), ["p"]);
    d.report_fresh("r");
    assert_eq!(sent(&d.handle(streamed("known", BOUNDED))), ["r"]);
    // It cannot be withheld, so it keeps a distance from the bound.
    d.now += BOUND - 0.14;
    assert_eq!(may_write(&mut d, "known", 0), Err(Denial::Behind));
}

/// Guards what a session wrote through other instances, which no member knows: a stated position may be newer than the
/// data that was read. A read that shows it is sent again; the next one relies on it.
#[test]
fn what_other_instances_require_is_not_left_to_a_member_that_may_be_behind() {
    let mut d = Drive::new(settings());
    d.report_fresh("r");
    d.now += 0.3;
    let read = |id: &str| {
        let Event::Arrival(arrival) = of_session(id, 2) else { unreachable!() };
        Event::Arrival(Arrival { session_position: Some(100.2), ..arrival })
    };
    let stated = (Some(d.now), Some(false));
    let assess = |d: &Drive, id: &str| d.policy.assess_answer(&id.into(), (0, 0.01), Outcome::Ok, stated);
    assert_eq!(sent(&d.handle(read("first"))), ["r"]);
    assert_eq!(assess(&d, "first"), Conclusion::TooOld);
    d.report_fresh("r");
    assert_eq!(sent(&d.handle(read("next"))), ["r"]);
    assert_eq!(assess(&d, "next"), Conclusion::AsReceived);
}

#[test]
fn a_replica_that_becomes_the_primary_while_it_answers_is_held_to_what_it_had_at_the_last_byte() {
    let mut d = serving_stale();
    d.now += 0.4;
    d.request("x", BOUNDED);
    d.policy.record_written(&"x".into(), 0, d.now + 0.15);
    let stated = (Some(d.now + 0.2), Some(true));
    assert_eq!(d.policy.assess_answer(&"x".into(), (0, 0.2), Outcome::Ok, stated), Conclusion::TooOld);
}

/// Other instances are asked again before a read is written.
#[test]
fn a_write_elsewhere_is_required_of_a_read_that_waits() {
    let mut d = serving_stale();
    assert_eq!(sent(&d.handle(of_session("x", 2))), ["r"]);
    d.policy.raise_session_position(&"x".into(), 100.1);
    d.now += 0.2;
    assert_eq!(sent(&withdraw(&mut d, "x", 0)), ["p"]);
}

/// Guards a member on trial: a read that was not written has proved nothing.
#[test]
fn a_withdrawn_trial_leaves_the_next_one_to_another_read() {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, probes: false, ..settings() });
    report_old(&mut d, "r");
    d.request("refused", BOUNDED);
    d.ended_after("refused", "r", 0, Outcome::ConnectFailed, 0.0);
    // The ejection is over: one read at a time is tried.
    d.now += 4.0;
    report_old(&mut d, "r");
    assert_eq!(sent(&d.request("trial", BOUNDED)), ["r"]);
    assert_eq!(sent(&d.request("beside", BOUNDED)), ["p"]);
    d.now += 0.1;
    withdraw(&mut d, "trial", 0);
    report_old(&mut d, "r");
    assert_eq!(sent(&d.request("next", BOUNDED)), ["r"]);
}

/// Guards the retry budget: a second copy that was not written costs none.
#[test]
fn withdrawn_second_copies_leave_the_retry_budget_as_it_was() {
    let settings = Settings { allow_hedging: true, ..settings() };
    let settings = Settings { when_behind: WhenBehind::ServeStale, probes: false, ..settings };
    let mut d = Drive::new(settings);
    for n in 0..40 {
        for member in ["r", "far"] {
            let report = Report { position: Some(d.now - 0.05), primary: Some(false) };
            d.handle(Event::ProbeEnded { member: member.into(), outcome: Outcome::Ok, report });
        }
        let id = format!("x{n}");
        assert_eq!(sent(&d.request(&id, BOUNDED)), ["r"], "{n}");
        assert_eq!(sent(&d.advance(0.4)).len(), 1, "{n}: no second copy");
        let actions = d.handle(Event::WriteDenied { id: id.as_str().into(), attempt: 1 });
        assert_eq!((sent(&actions), finals(&actions)), (vec![], 0), "{n}: the first attempt decides");
        d.ended(&id, "r", 0, Outcome::Ok);
        d.now += 1.0;
    }
}

/// Guards members that have just started: what was withdrawn elsewhere does not go there.
#[test]
fn a_cold_replica_gets_no_withdrawn_read() {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, probes: false, ..settings() });
    for n in 0..30 {
        report_old(&mut d, "r");
        let id = format!("x{n}");
        assert_eq!(sent(&d.request(&id, BOUNDED)), ["r"]);
        let cold = Entry { started_at: d.now, ..entry("far", 1, false) };
        d.list(ListKind::Incremental, vec![cold]);
        d.now += 0.1;
        d.report_fresh("far");
        assert_eq!(sent(&withdraw(&mut d, &id, 0)), ["p"], "{n}");
        d.ended(&id, "p", 1, Outcome::Ok);
    }
}
