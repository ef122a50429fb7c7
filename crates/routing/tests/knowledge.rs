//! Scenarios of what is known of members, and of how it is found out. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

/// Members answer reads from what they have, and may be probed.
fn unchecked() -> Settings {
    Settings { when_behind: WhenBehind::ServeStale, probes: true, ..settings() }
}

fn probed(actions: &[Action]) -> Vec<&str> {
    actions
        .iter()
        .filter_map(|a| if let Action::Probe { member } = a { Some(&**member) } else { None })
        .collect()
}

/// Primary "p" and replica "far", both in another zone; what "far" said is older than the bound of 0.5 s.
fn unheard() -> Drive {
    let mut d = Drive::new(unchecked());
    d.list(ListKind::Full, vec![entry("p", 1, true), entry("far", 1, false)]);
    d.freshen("far");
    let primary = Report { position: Some(d.now), primary: Some(true) };
    d.feed(Event::ProbeEnded { member: "p".into(), outcome: Outcome::Ok, report: primary });
    d.now += 1.0;
    d
}

#[test]
fn a_read_that_finds_no_fresh_replica_has_those_asked_that_were_not_heard_of() {
    let mut d = unheard();
    // One read now and then is worth no question: the answer would be too old for the next.
    for id in ["now", "then"] {
        assert_eq!((sent(&d.ask(id, 1)), probed(&d.acts).len()), (vec!["p"], 0));
    }
    // The primary has little to do and takes this one; the replica is asked for the sake of those to come.
    let first = d.ask("a", 1);
    assert_eq!((sent(&first), probed(&first)), (vec!["p"], vec!["far"]));
    d.freshen("far");
    assert_eq!(sent(&d.ask("b", 1)), ["far"]);
}

#[test]
fn a_read_that_nobody_could_take_waits_for_what_is_being_asked() {
    let mut d = unheard();
    d.list(ListKind::Incremental, vec![Entry { phase: Phase::Leaving, ..entry("p", 1, true) }]);
    let next = d.ask("a", 1);
    assert_eq!((probed(&next), finals(&next)), (vec!["far"], 0), "{next:?}");
    let report = Report { position: Some(d.now), primary: Some(false) };
    let told = d.feed(Event::ProbeEnded { member: "far".into(), outcome: Outcome::Ok, report });
    assert_eq!(sent(&told), ["far"]);
}

/// Guards the rule on the age of data: what is asked may turn out to be behind.
#[test]
fn a_replica_that_turns_out_to_be_behind_gets_nothing() {
    let mut d = unheard();
    d.list(ListKind::Incremental, vec![Entry { phase: Phase::Leaving, ..entry("p", 1, true) }]);
    d.ask("a", 1);
    let report = Report { position: Some(d.now - 0.6), primary: Some(false) };
    let told = d.feed(Event::ProbeEnded { member: "far".into(), outcome: Outcome::Ok, report });
    assert_eq!(sent(&told), [] as [&str; 0]);
    // It may catch up: the read waits for that, and ends in time.
    d.pass(1.8);
    assert_eq!(finals(&d.acts), 1);
}

/// Guards against waiting for ever, or at all, where nobody can be asked.
#[test]
fn without_probes_a_read_that_nobody_can_take_is_refused_at_once_or_held_for_a_primary() {
    let mut d = Drive::new(Settings { probes: false, ..unchecked() });
    d.list(ListKind::Full, vec![]);
    assert_eq!(finals(&d.ask("a", 1)), 1);
}

#[test]
fn several_that_wait_for_a_silent_member_prove_more_than_one() {
    // Each has waited for a third of what one alone would have to.
    let suspected = |together: usize| {
        let mut d = Drive::new(settings());
        for i in 0..together {
            assert_eq!(sent(&d.ask(&format!("w{i}"), 3)).len(), 1);
        }
        let acts = d.pass(0.33);
        acts.iter().any(|a| matches!(a, Action::Log(line) if line.contains("member r suspected")))
    };
    assert!(!suspected(1));
    assert!(suspected(8));
}

/// Guards the rule on the age of data to the moment: what was heard holds for the bound less its lag.
#[test]
fn a_lone_replica_at_home_serves_up_to_the_bound_and_not_past_it() {
    for (age, served) in [(0.49, true), (0.51, false)] {
        let mut d = Drive::new(Settings { probes: false, ..unchecked() });
        d.list(ListKind::Full, vec![entry("p", 1, true), entry("r", 0, false)]);
        d.freshen("r");
        d.now += age;
        assert_eq!(sent(&d.ask("a", 1)), [if served { "r" } else { "p" }]);
    }
}

/// Guards against a read that waits only because the primary has its hands full with writes.
#[test]
fn a_read_that_waits_is_not_paced_by_the_primarys_writes() {
    let mut d = unheard();
    for i in 0..10 {
        d.ask(&format!("w{i}"), 0);
    }
    d.list(ListKind::Incremental, vec![entry("late", 1, false)]);
    d.ask("a", 1);
    let report = Report { position: Some(d.now), primary: Some(false) };
    d.feed(Event::ProbeEnded { member: "late".into(), outcome: Outcome::Ok, report });
    let to_a: Vec<_> =
        d.acts.iter().filter(|a| matches!(a, Action::Send { id, .. } if &**id == "a")).collect();
    assert_eq!(to_a.len(), 1, "{to_a:?}");
}

/// A primary that was away came back as a replica, and its last word, that it was the primary, kept all reads from it.
#[test]
fn a_suspect_is_asked_where_it_stands() {
    let mut d = unheard();
    for i in 0..3 {
        d.ask(&format!("a{i}"), 1);
        d.told(&format!("a{i}"), "p", 0, Outcome::ConnectFailed, None, None);
    }
    assert!(d.acts.iter().any(|a| matches!(a, Action::Log(line) if line.contains("member p suspected"))));
    let report = Report { position: Some(d.now), primary: Some(true) };
    d.feed(Event::ProbeEnded { member: "far".into(), outcome: Outcome::Ok, report });
    let mut asked = Vec::new();
    for i in 0..12 {
        d.pass(1.0);
        let acts = d.ask(&format!("b{i}"), 1);
        asked.extend(probed(&acts).iter().map(|m| m.to_string()));
        d.told(&format!("b{i}"), "far", 0, Outcome::Ok, Some(true), Some(d.now));
    }
    assert!(asked.contains(&"p".to_string()), "{asked:?}");
}

/// Each of hundreds asked every home replica of a group at its first read, though all of them together are to ask one that
/// gets no reads four times in the shortest bound.
#[test]
fn home_replicas_that_nobody_needs_are_not_all_asked_at_the_start() {
    let asked = |fleet_size: u32, seconds: u32| {
        let mut asked = 0;
        for seed in 0..100 {
            let mut d = Drive::seeded(Settings { fleet_size, ..unchecked() }, seed);
            d.list(ListKind::Full, ["p", "r", "s"].map(|m| entry(m, 0, m == "p")).to_vec());
            for i in 0..seconds {
                d.freshen("r");
                assert_eq!(sent(&d.ask(&format!("a{i}"), 1)), ["r"]);
                d.told(&format!("a{i}"), "r", 0, Outcome::Ok, Some(false), None);
                d.pass(1.0);
            }
            asked += probed(&d.acts).len();
        }
        asked
    };
    // 0.5 s x 300 / 4 between two askings by one of 300: a home replica in 1 s by a hundred.
    assert!(asked(300, 1) <= 20, "{}", asked(300, 1));
    assert!(asked(3, 2) >= 50, "each of three asks within its pause: {}", asked(3, 2));
}
