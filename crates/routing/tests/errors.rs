//! Scenarios of members that answer with errors: at once, and most of the time. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

/// A primary and a replica at home, known to be fresh.
fn pair(settings: Settings) -> Drive {
    let mut d = Drive::new(settings);
    d.list(ListKind::Full, vec![entry("p", 0, true), entry("r", 0, false)]);
    d.freshen("r");
    d
}

/// The end of an attempt with an error after so long (seconds).
fn failed(d: &mut Drive, id: &str, member: &str, attempt: usize, elapsed: f64) -> Vec<Action> {
    d.ended_after(id, member, attempt, Outcome::Error, elapsed)
}

/// Two of a group were left, both with four errors in five answers: each read was given up after two tries.
#[test]
fn a_read_goes_on_with_members_that_err_where_nobody_else_is_left() {
    let mut d = pair(settings());
    let mut next = d.ask("a", 1);
    let mut tried = Vec::new();
    while let Some(goal) = sent(&next).first().map(|m| m.to_string()) {
        next = failed(&mut d, "a", &goal, tried.len(), 0.002);
        tried.push(goal);
    }
    assert_eq!(tried.len(), settings().max_attempts as usize, "{tried:?}");
    assert!(tried.contains(&"p".to_string()) && tried.contains(&"r".to_string()), "{tried:?}");
    assert_eq!(next.iter().filter(|a| matches!(a, Action::Refuse { .. })).count(), 1);
}

/// A primary suspected for its errors was left alone, and writes were held until given up: nobody stands in for it.
#[test]
fn a_primary_that_errs_gets_its_writes() {
    let mut d = pair(settings());
    for i in 0..6 {
        let id = format!("w{i}");
        assert_eq!(sent(&d.ask(&id, 5)), ["p"], "write {i}");
        failed(&mut d, &id, "p", 0, 0.002);
    }
    assert!(d.acts.iter().any(|a| matches!(a, Action::Log(line) if line.contains("member p suspected"))));
    // One to which no connection comes up is held back from.
    d.ask("x", 0);
    d.answer("x", "p", 0, Outcome::ConnectFailed);
    assert_eq!(sent(&d.ask("y", 5)), [] as [&str; 0]);
}

/// Errors that come at once emptied the budget for further attempts, which is there against an overload.
#[test]
fn a_further_attempt_costs_what_the_failed_one_took() {
    let second = |elapsed: f64| {
        let mut d = pair(settings());
        let again = (0..200).filter(|i| {
            let id = format!("a{i}");
            let first = d.ask(&id, 3);
            let goal = sent(&first)[0].to_string();
            let next = failed(&mut d, &id, &goal, 0, elapsed);
            let other = sent(&next).first().map(|m| m.to_string());
            if let Some(other) = &other {
                d.told(&id, other, 1, Outcome::Ok, None, None);
            }
            other.is_some()
        });
        again.count()
    };
    assert_eq!(second(0.0005), 200);
    let slow = second(1.0);
    assert!(slow < 60, "{slow} of 200 after long ones");
}
