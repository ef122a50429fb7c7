//! Scenarios of requests in flight when a drain is reported: the leaving member must get nothing new.

mod drive;

use drive::*;
use routing::interface::*;

fn set_leaving(d: &mut Drive, member: &str, zone: u32) -> Vec<Action> {
    d.list(ListKind::Incremental, vec![Entry { phase: Phase::Leaving, ..entry(member, zone, member == "p") }])
}

#[test]
fn a_queued_write_is_not_sent_to_a_leaving_primary() {
    let mut d = Drive::new(settings());
    // The member has only said that it is not the primary: writes are queued.
    assert_eq!(sent(&d.request("a", 0)), ["p"]);
    d.ended_with("a", "p", 0, Outcome::Miss, Some(false), None);
    d.request("w", 0);
    set_leaving(&mut d, "p", 0);
    let mut seen = d.advance(0.3);
    seen.extend(d.ended_with("x", "p", 0, Outcome::Ok, Some(true), None));
    seen.extend(d.advance(2.0));
    assert!(!sent(&seen).contains(&"p"), "{seen:?}");
}

#[test]
fn a_retry_does_not_go_to_a_leaving_member() {
    for outcome in [Outcome::Error, Outcome::ConnectFailed, Outcome::Reset, Outcome::NotSent, Outcome::Full] {
        let mut d = Drive::new(settings());
        d.report_fresh("r");
        d.report_fresh("far");
        assert_eq!(sent(&d.request("a", 3)), ["r"]);
        set_leaving(&mut d, "far", 1);
        let mut seen = d.ended("a", "r", 0, outcome);
        seen.extend(d.advance(2.0));
        assert!(!sent(&seen).contains(&"far"), "{outcome:?}: {seen:?}");
    }
}

#[test]
fn attempts_not_yet_written_are_cancelled_when_their_member_leaves() {
    let mut d = Drive::new(settings());
    d.report_fresh("r");
    assert_eq!(sent(&d.request("a", 3)), ["r"]);
    let cancel_unsent = Action::CancelUnsent { member: "r".into() };
    assert!(set_leaving(&mut d, "r", 0).contains(&cancel_unsent));
    // The attempt was not written: another member serves the request, without a charge to the retry budget.
    assert_eq!(sent(&d.ended("a", "r", 0, Outcome::NotSent)).len(), 1);
    assert!(!set_leaving(&mut d, "r", 0).contains(&cancel_unsent), "no attempt is in flight there any more");
    // A removed member may still be used if removal is only advisory.
    let mut d = Drive::new(Settings { removal_is_advisory: true, ..settings() });
    d.report_fresh("r");
    d.request("a", 3);
    let gone = Entry { phase: Phase::Left, ..entry("r", 0, false) };
    assert!(!d.list(ListKind::Incremental, vec![gone]).contains(&cancel_unsent));
}
