//! Scenarios of hedged attempts. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

fn with_hedging() -> Settings {
    Settings { allow_hedging: true, ..settings() }
}

/// A read with a hedged attempt at "far", sent because the first, at "r", was late.
fn hedged() -> Drive {
    let mut d = Drive::new(with_hedging());
    assert_eq!(sent(&d.request("x", 3)), ["r"]);
    assert_eq!(sent(&d.advance(0.35)), ["far"]);
    d
}

fn cancelled(actions: &[Action]) -> Vec<usize> {
    actions
        .iter()
        .filter_map(|a| if let Action::Cancel { attempt, .. } = a { Some(*attempt) } else { None })
        .collect()
}

#[test]
fn the_losing_attempt_is_cancelled_if_allowed() {
    let mut d = hedged();
    assert_eq!(cancelled(&d.ended("x", "far", 1, Outcome::Ok)), [0]);
    // The end of the other attempt triggers nothing further.
    assert_eq!(d.ended("x", "r", 0, Outcome::Cancelled), []);
    let mut d = Drive::new(Settings { cancel: false, ..with_hedging() });
    d.request("x", 3);
    d.advance(0.35);
    assert_eq!(cancelled(&d.ended("x", "far", 1, Outcome::Ok)), [] as [usize; 0]);
}

/// Guards against a refusal, or a third attempt, while the second may still answer.
#[test]
fn after_a_failed_attempt_the_other_one_decides() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Full, Outcome::ConnectFailed, Outcome::Miss] {
        for (failed, member, other) in [(0, "r", 1), (1, "far", 0)] {
            let mut d = hedged();
            let next = d.ended("x", member, failed, outcome);
            assert_eq!((sent(&next), finals(&next)), (vec![], 0), "{outcome:?} of {failed}: {next:?}");
            let to = if other == 1 { "far" } else { "r" };
            assert_eq!(finals(&d.ended("x", to, other, Outcome::Ok)), 0);
            // Both attempts have ended: neither counts as load any more.
            assert_eq!(d.policy.tracked_requests(), 0);
        }
    }
}

#[test]
fn all_attempts_are_cancelled_when_the_client_leaves() {
    let mut d = hedged();
    assert_eq!(cancelled(&d.handle(Event::ClientLeft { id: "x".into() })), [0, 1]);
    d.ended("x", "r", 0, Outcome::Cancelled);
    d.ended("x", "far", 1, Outcome::Cancelled);
    assert_eq!(d.policy.tracked_requests(), 0);
}

#[test]
fn writes_are_not_hedged() {
    let mut d = Drive::new(with_hedging());
    for (id, class) in [("w", 0), ("u", 5)] {
        assert_eq!(sent(&d.request(id, class)), ["p"]);
    }
    assert_eq!(sent(&d.advance(0.45)), [] as [&str; 0]);
}

/// Guards against useless double work: both attempts of a slow request take about as long.
#[test]
fn no_hedged_attempt_while_the_member_answers_others() {
    let mut d = Drive::new(with_hedging());
    d.request("long", 3);
    d.advance(0.1);
    // Sent later and answered earlier: the member is working.
    d.request("short", 3);
    d.advance(0.1);
    d.ended("short", "r", 0, Outcome::Ok);
    assert_eq!(sent(&d.advance(0.2)), [] as [&str; 0]);
}

/// At most two attempts may be in flight. Guards against a third while both are late.
#[test]
fn no_third_attempt_while_two_are_in_flight() {
    for seed in 0..20 {
        let mut settings = with_hedging();
        settings.classes[3] = Class { aim: 1.5, deadline: 4.0, ..settings.classes[3].clone() };
        let mut d = Drive::seeded(settings, seed);
        d.list(ListKind::Incremental, vec![entry("far-2", 1, false), entry("far-3", 1, false)]);
        // Answers are usually quick, so that hedged attempts are sent early.
        for n in 0..40 {
            let id = format!("quick-{n}");
            let member = sent(&d.handle(Event::arrival(&id, 3, 0, 3.8)))[0].to_string();
            d.now += 0.02;
            d.ended_after(&id, &member, 0, Outcome::Ok, 0.02);
        }
        d.actions.clear();
        d.handle(Event::arrival("x", 3, 0, 3.8));
        d.advance(3.0);
        let began = d.actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
        assert_eq!(began, 2, "seed {seed}");
        let denied = d.actions.iter().filter(|a| matches!(a, Action::Denied { .. })).count();
        assert_eq!(denied, 0, "seed {seed}: no third attempt was decided on");
    }
}
