//! Requests that are under way when a drain is told: nothing of them may be new to the machine that leaves.

mod drive;

use drive::*;
use routing::interface::*;

fn drains(d: &mut Drive, member: &str, zone: u32) -> Vec<Action> {
    d.list(ListKind::Incremental, vec![Entry { phase: Phase::Leaving, ..entry(member, zone, member == "p") }])
}

#[test]
fn a_request_that_waits_for_a_primary_is_not_sent_to_one_that_drains() {
    let mut d = Drive::new(settings());
    // Its only word is that it is no primary: writes are held.
    assert_eq!(sent(&d.ask("a", 0)), ["p"]);
    d.told("a", "p", 0, Outcome::Miss, Some(false), None);
    d.ask("w", 0);
    drains(&mut d, "p", 0);
    let mut seen = d.pass(0.3);
    seen.extend(d.told("x", "p", 0, Outcome::Ok, Some(true), None));
    seen.extend(d.pass(2.0));
    assert!(!sent(&seen).contains(&"p"), "{seen:?}");
}

#[test]
fn a_request_that_is_tried_again_does_not_go_to_one_that_drains() {
    for outcome in [Outcome::Error, Outcome::ConnectFailed, Outcome::Reset, Outcome::NotSent, Outcome::Full] {
        let mut d = Drive::new(settings());
        d.freshen("r");
        d.freshen("far");
        assert_eq!(sent(&d.ask("a", 3)), ["r"]);
        drains(&mut d, "far", 1);
        let mut seen = d.answer("a", "r", 0, outcome);
        seen.extend(d.pass(2.0));
        assert!(!sent(&seen).contains(&"far"), "{outcome:?}: {seen:?}");
    }
}

#[test]
fn what_is_out_when_a_drain_is_told_is_withheld_if_it_is_not_written_yet() {
    let mut d = Drive::new(settings());
    d.freshen("r");
    assert_eq!(sent(&d.ask("a", 3)), ["r"]);
    let withheld = Action::CancelUnsent { member: "r".into() };
    assert!(drains(&mut d, "r", 0).contains(&withheld));
    // It was not: another serves it, at no cost to what may be tried again.
    assert_eq!(sent(&d.answer("a", "r", 0, Outcome::NotSent)).len(), 1);
    assert!(!drains(&mut d, "r", 0).contains(&withheld), "nothing is out there any more");
    // One that is gone where that is only advice may still be used.
    let mut d = Drive::new(Settings { removal_is_advisory: true, ..settings() });
    d.freshen("r");
    d.ask("a", 3);
    let gone = Entry { phase: Phase::Left, ..entry("r", 0, false) };
    assert!(!d.list(ListKind::Incremental, vec![gone]).contains(&withheld));
}
