//! Scenarios of members that answer most requests with errors, and do so at once. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

/// A primary and a home replica that is known to be fresh.
fn primary_and_replica(settings: Settings) -> Drive {
    let mut d = Drive::new(settings);
    d.list(ListKind::Full, vec![entry("p", 0, true), entry("r", 0, false)]);
    d.report_fresh("r");
    d
}

/// Ends an attempt with an error after `elapsed` seconds.
fn failed(d: &mut Drive, id: &str, member: &str, attempt: usize, elapsed: f64) -> Vec<Action> {
    d.ended_after(id, member, attempt, Outcome::Error, elapsed)
}

/// With two members left that answered four of five requests with errors, each read was given up after two
/// attempts.
#[test]
fn a_read_is_retried_on_members_with_errors_if_no_other_is_left() {
    let mut d = primary_and_replica(settings());
    let mut next = d.request("a", 1);
    let mut tried = Vec::new();
    while let Some(target) = sent(&next).first().map(|m| m.to_string()) {
        next = failed(&mut d, "a", &target, tried.len(), 0.002);
        tried.push(target);
    }
    assert_eq!(tried.len(), settings().max_attempts as usize, "{tried:?}");
    assert!(tried.contains(&"p".to_string()) && tried.contains(&"r".to_string()), "{tried:?}");
    assert_eq!(next.iter().filter(|a| matches!(a, Action::Refuse { .. })).count(), 1);
}

/// A primary ejected for its errors got no requests, and writes, which need it, were queued until given up.
#[test]
fn a_primary_that_answers_with_errors_still_gets_writes() {
    let mut d = primary_and_replica(settings());
    for i in 0..6 {
        let id = format!("w{i}");
        assert_eq!(sent(&d.request(&id, 5)), ["p"], "write {i}");
        failed(&mut d, &id, "p", 0, 0.002);
    }
    assert!(d.actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("member p suspected"))));
    // A primary that refuses connections gets no further requests.
    d.request("x", 0);
    d.ended("x", "p", 0, Outcome::ConnectFailed);
    assert_eq!(sent(&d.request("y", 5)), [] as [&str; 0]);
}

/// Errors that came at once used up the retry budget, which is meant for overloads.
#[test]
fn a_retry_is_charged_the_time_of_the_failed_attempt() {
    let second = |elapsed: f64| {
        let mut d = primary_and_replica(settings());
        let again = (0..200).filter(|i| {
            let id = format!("a{i}");
            let first = d.request(&id, 3);
            let target = sent(&first)[0].to_string();
            let next = failed(&mut d, &id, &target, 0, elapsed);
            let other = sent(&next).first().map(|m| m.to_string());
            if let Some(other) = &other {
                d.ended_with(&id, other, 1, Outcome::Ok, None, None);
            }
            other.is_some()
        });
        again.count()
    };
    assert_eq!(second(0.0005), 200);
    let slow = second(1.0);
    assert!(slow < 60, "{slow} of 200 retried after long attempts");
}
