//! Scenarios of requests that may be out twice. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

fn copies() -> Settings {
    Settings { may_duplicate: true, ..settings() }
}

/// A read of which a second copy is out at "far" since its first, at "r", was late.
fn twice() -> Drive {
    let mut d = Drive::new(copies());
    assert_eq!(sent(&d.ask("x", 3)), ["r"]);
    assert_eq!(sent(&d.pass(0.35)), ["far"]);
    d
}

fn cancelled(actions: &[Action]) -> Vec<usize> {
    actions
        .iter()
        .filter_map(|a| if let Action::Cancel { attempt, .. } = a { Some(*attempt) } else { None })
        .collect()
}

#[test]
fn the_copy_that_loses_is_withdrawn_where_that_is_allowed() {
    let mut d = twice();
    assert_eq!(cancelled(&d.answer("x", "far", 1, Outcome::Ok)), [0]);
    // Its end, whenever it comes, is no reason for anything further.
    assert_eq!(d.answer("x", "r", 0, Outcome::Cancelled), []);
    let mut d = Drive::new(Settings { cancel: false, ..copies() });
    d.ask("x", 3);
    d.pass(0.35);
    assert_eq!(cancelled(&d.answer("x", "far", 1, Outcome::Ok)), [] as [usize; 0]);
}

/// Guards against a refusal, or a third copy, while the second may still answer.
#[test]
fn a_copy_that_fails_leaves_it_to_the_other() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Full, Outcome::ConnectFailed, Outcome::Miss] {
        for (failed, member, other) in [(0, "r", 1), (1, "far", 0)] {
            let mut d = twice();
            let next = d.answer("x", member, failed, outcome);
            assert_eq!((sent(&next), finals(&next)), (vec![], 0), "{outcome:?} of {failed}: {next:?}");
            let to = if other == 1 { "far" } else { "r" };
            assert_eq!(finals(&d.answer("x", to, other, Outcome::Ok)), 0);
            // Both ends are in: nothing of it is counted as load any more, and the next goes home.
            assert_eq!(d.policy.requests_known(), 0);
        }
    }
}

#[test]
fn a_client_that_leaves_takes_all_copies_with_it() {
    let mut d = twice();
    assert_eq!(cancelled(&d.feed(Event::Gone { id: "x".into() })), [0, 1]);
    d.answer("x", "r", 0, Outcome::Cancelled);
    d.answer("x", "far", 1, Outcome::Cancelled);
    assert_eq!(d.policy.requests_known(), 0);
}

#[test]
fn no_second_copy_of_what_must_never_run_twice() {
    let mut d = Drive::new(copies());
    for (id, class) in [("w", 0), ("u", 5)] {
        assert_eq!(sent(&d.ask(id, class)), ["p"]);
    }
    assert_eq!(sent(&d.pass(0.45)), [] as [&str; 0]);
}

/// Guards against work done twice for nothing: of one request both copies take about as long.
#[test]
fn no_second_copy_while_the_member_answers_others() {
    let mut d = Drive::new(copies());
    d.ask("long", 3);
    d.pass(0.1);
    // Sent later, answered before: the member works.
    d.ask("short", 3);
    d.pass(0.1);
    d.answer("short", "r", 0, Outcome::Ok);
    assert_eq!(sent(&d.pass(0.2)), [] as [&str; 0]);
}
