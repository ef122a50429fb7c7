//! Scenarios of requests that may be out twice. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

fn copies() -> Settings {
    Settings { allow_hedging: true, ..settings() }
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
            assert_eq!(d.policy.tracked_requests(), 0);
        }
    }
}

#[test]
fn a_client_that_leaves_takes_all_copies_with_it() {
    let mut d = twice();
    assert_eq!(cancelled(&d.feed(Event::ClientLeft { id: "x".into() })), [0, 1]);
    d.answer("x", "r", 0, Outcome::Cancelled);
    d.answer("x", "far", 1, Outcome::Cancelled);
    assert_eq!(d.policy.tracked_requests(), 0);
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

/// Two at a time is all that is allowed: while both are late, a third went out.
#[test]
fn a_third_copy_is_not_begun_while_two_are_out() {
    for seed in 0..20 {
        let mut settings = copies();
        settings.classes[3] = Class { aim: 1.5, deadline: 4.0, ..settings.classes[3].clone() };
        let mut d = Drive::seeded(settings, seed);
        d.list(ListKind::Incremental, vec![entry("far-2", 1, false), entry("far-3", 1, false)]);
        // Answers usually come at once, so that copies are begun early in the time that there is.
        for n in 0..40 {
            let id = format!("quick-{n}");
            let member = sent(&d.feed(Event::arrival(&id, 3, 0, 3.8)))[0].to_string();
            d.now += 0.02;
            d.ended_after(&id, &member, 0, Outcome::Ok, 0.02);
        }
        d.acts.clear();
        d.feed(Event::arrival("x", 3, 0, 3.8));
        d.pass(3.0);
        let began = d.acts.iter().filter(|a| matches!(a, Action::Send { .. })).count();
        assert_eq!(began, 2, "seed {seed}");
        let denied = d.acts.iter().filter(|a| matches!(a, Action::Denied { .. })).count();
        assert_eq!(denied, 0, "seed {seed}: it was not even tried");
    }
}
