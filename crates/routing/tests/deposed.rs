//! Scenarios of a primary that is deposed without this proxy hearing of it. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

/// A site whose members answer from what they have and may be asked; the primary has just served a write.
fn served() -> Drive {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, probes: true, ..settings() });
    d.ask("first", 0);
    d.now += 0.05;
    d.told("first", "p", 0, Outcome::Ok, Some(true), Some(d.now));
    d.now += 0.1;
    d
}

fn asked(actions: &[Action]) -> Vec<&str> {
    let probes =
        actions.iter().filter_map(|a| if let Action::Probe { member } = a { Some(member) } else { None });
    probes.map(|member| &**member).collect()
}

fn reports(d: &mut Drive, member: &str, primary: bool) -> Vec<Action> {
    let report = Report { position: Some(d.now), primary: Some(primary) };
    d.feed(Event::ProbeEnded { member: member.into(), outcome: Outcome::Ok, report })
}

/// Its answer may have said that it is no primary any more, and got lost.
#[test]
fn after_a_lost_answer_a_fresh_read_waits_until_the_primary_has_said_that_it_is_one() {
    for outcome in [Outcome::Cancelled, Outcome::Reset, Outcome::Timeout] {
        let mut d = served();
        assert_eq!(sent(&d.ask("sure", 4)), ["p"], "nothing was lost");
        d.told("sure", "p", 0, Outcome::Ok, Some(true), Some(d.now));
        d.ask("lost", 5);
        d.now += 0.05;
        d.answer("lost", "p", 0, outcome);
        d.now += 0.2;
        let waits = d.ask("fresh", 4);
        assert_eq!((sent(&waits), asked(&waits)), (vec![], vec!["p"]), "{outcome:?}");
        assert_eq!(sent(&reports(&mut d, "p", true)), ["p"], "{outcome:?}");
        // A write needs no such word: who is no primary turns it away untouched.
        let mut d = served();
        d.ask("lost", 5);
        d.answer("lost", "p", 0, outcome);
        assert_eq!(sent(&d.ask("write", 0)), ["p"], "{outcome:?}");
    }
}

#[test]
fn a_fresh_read_goes_to_the_one_that_took_over_once_the_old_primary_says_so() {
    let mut d = served();
    d.ask("lost", 5);
    d.answer("lost", "p", 0, Outcome::Cancelled);
    d.now += 0.2;
    d.ask("fresh", 4);
    reports(&mut d, "p", false);
    assert_eq!(sent(&reports(&mut d, "r", true)), ["r"]);
}

/// What a read needs may be older than the word: the primary stood at the present then.
#[test]
fn a_bounded_read_goes_to_the_primary_while_its_word_is_younger_than_the_bound() {
    let mut d = served();
    d.ask("lost", 5);
    d.answer("lost", "p", 0, Outcome::Cancelled);
    d.now += 0.2;
    assert_eq!(sent(&d.ask("bounded", 1)), ["p"]);
    d.told("bounded", "p", 0, Outcome::Reset, None, None);
    d.now += 0.4;
    let waits = d.ask("later", 1);
    assert!(!sent(&waits).contains(&"p") && asked(&waits).contains(&"p"), "{waits:?}");
}

/// Where members may not be asked there is nothing to wait for.
#[test]
fn where_nobody_may_be_asked_a_fresh_read_goes_on_what_is_known() {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, ..settings() });
    d.ask("first", 0);
    d.told("first", "p", 0, Outcome::Ok, Some(true), Some(d.now));
    d.ask("lost", 5);
    d.answer("lost", "p", 0, Outcome::Reset);
    assert_eq!(sent(&d.ask("fresh", 4)), ["p"]);
}

/// An answer that began before its member was deposed said that it is the primary, and came after one that said no.
#[test]
fn a_role_is_as_old_as_the_work_that_its_answer_took() {
    let mut d = served();
    d.ask("long", 0);
    d.now += 0.3;
    d.ask("quick", 0);
    d.told("quick", "p", 0, Outcome::Miss, Some(false), Some(d.now));
    d.now += 0.05;
    d.feed(Event::AttemptEnded(AttemptEnded {
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
    assert_eq!(sent(&d.ask("fresh", 4)), [] as [&str; 0]);
    assert_eq!(sent(&reports(&mut d, "r", true))[0], "r");
}

/// It takes no writes while it hands over, and still says with reads that it is the primary, until another takes over.
#[test]
fn a_primary_that_hands_over_is_not_believed_before_that_is_over() {
    let mut d = served();
    d.ask("write", 0);
    d.told("write", "p", 0, Outcome::Miss, Some(false), Some(d.now));
    for _ in 0..4 {
        d.now += 0.2;
        let (id, position) = (format!("fresh-{}", d.now), d.now);
        assert!(!sent(&reports(&mut d, "p", true)).contains(&"p"));
        assert!(
            !sent(&d.ask(&id, 4)).contains(&"p"),
            "it may have been deposed since it said so at {position}"
        );
    }
    // Nobody has taken over within the time of a handover: it is the primary.
    d.now += 0.3;
    reports(&mut d, "p", true);
    assert_eq!(sent(&d.ask("over", 4)), ["p"]);
}

/// A front that is told a role without a time goes by it, unless the member has just turned something away as none.
#[test]
fn a_claim_without_a_time_is_taken_until_the_member_has_said_that_it_is_none() {
    let says = |d: &mut Drive| {
        let report = Report { position: None, primary: Some(true) };
        d.feed(Event::ProbeEnded { member: "p".into(), outcome: Outcome::Ok, report });
    };
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, probes: true, ..settings() });
    says(&mut d);
    assert_eq!(sent(&d.ask("write", 0)), ["p"]);
    d.told("write", "p", 0, Outcome::Miss, Some(false), Some(d.now));
    d.now += 0.2;
    says(&mut d);
    assert!(!sent(&d.ask("fresh", 4)).contains(&"p"));
}

/// One that was asked for a write before it was elected has handed nothing over.
#[test]
fn one_that_takes_over_is_believed_at_once() {
    let mut d = served();
    d.told("none", "r", 0, Outcome::Miss, Some(false), Some(d.now));
    d.ask("write", 0);
    d.told("write", "p", 0, Outcome::Miss, Some(false), Some(d.now));
    let tried = d.ask("seeks", 0);
    for member in sent(&tried).iter().filter(|member| **member != "p") {
        d.told("seeks", member, 0, Outcome::Miss, Some(false), Some(d.now));
    }
    d.now += 0.2;
    reports(&mut d, "r", true);
    assert_eq!(sent(&d.ask("fresh", 4)), ["r"]);
}

/// An answer is held against what it must have seen where its member was not known to have.
#[test]
fn an_answer_of_one_that_is_no_primary_any_more_is_too_old_for_what_it_has_not_seen() {
    let mut d = served();
    d.ask("fresh", 4);
    let at = |position, primary| (Some(position), Some(primary));
    let now = d.now;
    let checked = |d: &Drive, told| d.policy.assess_answer(&"fresh".into(), (0, 0.05), Outcome::Ok, told);
    assert_eq!(checked(&d, at(now, true)), Conclusion::AsReceived);
    assert_eq!(checked(&d, at(now, false)), Conclusion::TooOld);
    assert_eq!(
        checked(&d, (None, None)),
        Conclusion::AsReceived,
        "one that tells nothing says nothing against itself"
    );
    // It has run, which does a read no harm: the next try goes elsewhere.
    d.now += 0.05;
    assert!(!sent(&d.told("fresh", "p", 0, Outcome::Miss, Some(false), Some(now))).contains(&"p"));
    // A replica known to have come so far answers for that, however long it takes.
    d.freshen("r");
    assert_eq!(sent(&d.ask("bounded", 1)), ["r"]);
    let told = at(d.now - 0.4, false);
    assert_eq!(
        d.policy.assess_answer(&"bounded".into(), (0, 0.3), Outcome::Ok, told),
        Conclusion::AsReceived
    );
}
