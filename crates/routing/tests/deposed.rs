//! Scenarios of a primary that is deposed without this pooler's knowledge. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

/// Members answer from the data they have and may be probed; the primary has just served a write.
fn with_served_write() -> Drive {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, probes: true, ..settings() });
    d.request("first", 0);
    d.now += 0.05;
    d.ended_with("first", "p", 0, Outcome::Ok, Some(true), Some(d.now));
    d.now += 0.1;
    d
}

fn probed(actions: &[Action]) -> Vec<&str> {
    let probes =
        actions.iter().filter_map(|a| if let Action::Probe { member } = a { Some(member) } else { None });
    probes.map(|member| &**member).collect()
}

fn probe_answer(d: &mut Drive, member: &str, primary: bool) -> Vec<Action> {
    let report = Report { position: Some(d.now), primary: Some(primary) };
    d.handle(Event::ProbeEnded { member: member.into(), outcome: Outcome::Ok, report })
}

/// The lost answer may have said that the member is no longer the primary.
#[test]
fn after_a_lost_answer_a_fresh_read_waits_for_the_primary_to_confirm_its_role() {
    for outcome in [Outcome::Cancelled, Outcome::Reset, Outcome::Timeout] {
        let mut d = with_served_write();
        assert_eq!(sent(&d.request("sure", 4)), ["p"], "no answer was lost");
        d.ended_with("sure", "p", 0, Outcome::Ok, Some(true), Some(d.now));
        d.request("lost", 5);
        d.now += 0.05;
        d.ended("lost", "p", 0, outcome);
        d.now += 0.2;
        let waits = d.request("fresh", 4);
        assert_eq!((sent(&waits), probed(&waits)), (vec![], vec!["p"]), "{outcome:?}");
        assert_eq!(sent(&probe_answer(&mut d, "p", true)), ["p"], "{outcome:?}");
        // A write needs no confirmation: a member that is not the primary turns it away without running it.
        let mut d = with_served_write();
        d.request("lost", 5);
        d.ended("lost", "p", 0, outcome);
        assert_eq!(sent(&d.request("write", 0)), ["p"], "{outcome:?}");
    }
}

#[test]
fn a_fresh_read_goes_to_the_new_primary_once_the_old_one_denies_its_role() {
    let mut d = with_served_write();
    d.request("lost", 5);
    d.ended("lost", "p", 0, Outcome::Cancelled);
    d.now += 0.2;
    d.request("fresh", 4);
    probe_answer(&mut d, "p", false);
    assert_eq!(sent(&probe_answer(&mut d, "r", true)), ["r"]);
}

/// The read's required position is older than the role: a primary had all commits when it stated its role.
#[test]
fn a_bounded_read_relies_on_a_role_younger_than_its_bound() {
    let mut d = with_served_write();
    d.request("lost", 5);
    d.ended("lost", "p", 0, Outcome::Cancelled);
    d.now += 0.2;
    assert_eq!(sent(&d.request("bounded", 1)), ["p"]);
    d.ended_with("bounded", "p", 0, Outcome::Reset, None, None);
    d.now += 0.4;
    let waits = d.request("later", 1);
    assert!(!sent(&waits).contains(&"p") && probed(&waits).contains(&"p"), "{waits:?}");
}

/// Without probes a read cannot wait for a confirmation.
#[test]
fn without_probes_a_fresh_read_relies_on_the_known_role() {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, ..settings() });
    d.request("first", 0);
    d.ended_with("first", "p", 0, Outcome::Ok, Some(true), Some(d.now));
    d.request("lost", 5);
    d.ended("lost", "p", 0, Outcome::Reset);
    assert_eq!(sent(&d.request("fresh", 4)), ["p"]);
}

/// An answer begun before its member was deposed claims to be from the primary, and arrives after a denial.
#[test]
fn a_primary_role_dates_from_the_sending_of_its_attempt() {
    let mut d = with_served_write();
    d.request("long", 0);
    d.now += 0.3;
    d.request("quick", 0);
    d.ended_with("quick", "p", 0, Outcome::Miss, Some(false), Some(d.now));
    d.now += 0.05;
    d.handle(Event::AttemptEnded(AttemptEnded {
        id: "long".into(),
        member: "p".into(),
        attempt: 0,
        outcome: Outcome::Ok,
        conclusion: Conclusion::AsReceived,
        finished: true,
        elapsed: 0.35,
        position: Some(d.now),
        primary: Some(true),
        report: Report::default(),
    }));
    assert_eq!(sent(&d.request("fresh", 4)), [] as [&str; 0]);
    assert_eq!(sent(&probe_answer(&mut d, "r", true))[0], "r");
}

/// During a handover the old primary accepts no writes, but still claims with reads to be the primary.
#[test]
fn claims_of_a_primary_during_its_handover_are_ignored() {
    let mut d = with_served_write();
    d.request("write", 0);
    d.ended_with("write", "p", 0, Outcome::Miss, Some(false), Some(d.now));
    for _ in 0..4 {
        d.now += 0.2;
        let (id, position) = (format!("fresh-{}", d.now), d.now);
        assert!(!sent(&probe_answer(&mut d, "p", true)).contains(&"p"));
        assert!(
            !sent(&d.request(&id, 4)).contains(&"p"),
            "the member may have been deposed since its claim at {position}"
        );
    }
    // No other member has taken over within the longest duration of a handover: it is still the primary.
    d.now += 0.3;
    probe_answer(&mut d, "p", true);
    assert_eq!(sent(&d.request("over", 4)), ["p"]);
}

/// A claim without a time counts, unless the member has just turned a request away as not the primary.
#[test]
fn an_undated_primary_claim_counts_until_the_member_denies_its_role() {
    let claims_role = |d: &mut Drive| {
        let report = Report { position: None, primary: Some(true) };
        d.handle(Event::ProbeEnded { member: "p".into(), outcome: Outcome::Ok, report });
    };
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, probes: true, ..settings() });
    claims_role(&mut d);
    assert_eq!(sent(&d.request("write", 0)), ["p"]);
    d.ended_with("write", "p", 0, Outcome::Miss, Some(false), Some(d.now));
    d.now += 0.2;
    claims_role(&mut d);
    assert!(!sent(&d.request("fresh", 4)).contains(&"p"));
}

/// A member that got a write before it was elected has handed nothing over.
#[test]
fn the_claim_of_a_new_primary_counts_at_once() {
    let mut d = with_served_write();
    d.ended_with("none", "r", 0, Outcome::Miss, Some(false), Some(d.now));
    d.request("write", 0);
    d.ended_with("write", "p", 0, Outcome::Miss, Some(false), Some(d.now));
    let tried = d.request("seeks", 0);
    for member in sent(&tried).iter().filter(|member| **member != "p") {
        d.ended_with("seeks", member, 0, Outcome::Miss, Some(false), Some(d.now));
    }
    d.now += 0.2;
    probe_answer(&mut d, "r", true);
    assert_eq!(sent(&d.request("fresh", 4)), ["r"]);
}

/// An answer is compared with the required position if the member was not known to have reached it.
#[test]
fn an_answer_of_a_former_primary_below_the_required_position_is_too_old() {
    let mut d = with_served_write();
    d.request("fresh", 4);
    let at = |position, primary| (Some(position), Some(primary));
    let now = d.now;
    let assess = |d: &Drive, stated| d.policy.assess_answer(&"fresh".into(), (0, 0.05), Outcome::Ok, stated);
    assert_eq!(assess(&d, at(now, true)), Conclusion::AsReceived);
    assert_eq!(assess(&d, at(now, false)), Conclusion::TooOld);
    assert_eq!(
        assess(&d, (None, None)),
        Conclusion::AsReceived,
        "an answer without position and role is not checked"
    );
    // It has run, which is harmless for a read: the next attempt goes elsewhere.
    d.now += 0.05;
    assert!(!sent(&d.ended_with("fresh", "p", 0, Outcome::Miss, Some(false), Some(now))).contains(&"p"));
    // A replica known to have reached the position needs no check, however long the answer takes.
    d.report_fresh("r");
    assert_eq!(sent(&d.request("bounded", 1)), ["r"]);
    let stated = at(d.now - 0.4, false);
    assert_eq!(
        d.policy.assess_answer(&"bounded".into(), (0, 0.3), Outcome::Ok, stated),
        Conclusion::AsReceived
    );
}
