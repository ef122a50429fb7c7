//! Scenarios of probes for positions and roles. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

/// Members answer reads from the data they have, and may be probed.
fn without_position_checks() -> Settings {
    Settings { when_behind: WhenBehind::ServeStale, probes: true, ..settings() }
}

fn probed(actions: &[Action]) -> Vec<&str> {
    actions
        .iter()
        .filter_map(|a| if let Action::Probe { member } = a { Some(&**member) } else { None })
        .collect()
}

/// Primary "p" and replica "far", both in another zone. The position of "far" is too old for the 0.5 s bound.
fn position_outdated() -> Drive {
    let mut d = Drive::new(without_position_checks());
    d.list(ListKind::Full, vec![entry("p", 1, true), entry("far", 1, false)]);
    d.report_fresh("far");
    let primary = Report { position: Some(d.now), primary: Some(true) };
    d.handle(Event::ProbeEnded { member: "p".into(), outcome: Outcome::Ok, report: primary });
    d.now += 1.0;
    d
}

#[test]
fn a_read_without_a_fresh_replica_probes_replicas_of_unknown_position() {
    let mut d = position_outdated();
    // Rare reads justify no probe: the answer would be too old for the next one.
    for id in ["now", "then"] {
        assert_eq!((sent(&d.request(id, 1)), probed(&d.actions).len()), (vec!["p"], 0));
    }
    // The primary has little load and takes this read; the replica is probed for later reads.
    let first = d.request("a", 1);
    assert_eq!((sent(&first), probed(&first)), (vec!["p"], vec!["far"]));
    d.report_fresh("far");
    assert_eq!(sent(&d.request("b", 1)), ["far"]);
}

#[test]
fn a_read_that_no_member_can_serve_waits_for_pending_probes() {
    let mut d = position_outdated();
    d.list(ListKind::Incremental, vec![Entry { phase: Phase::Leaving, ..entry("p", 1, true) }]);
    let next = d.request("a", 1);
    assert_eq!((probed(&next), finals(&next)), (vec!["far"], 0), "{next:?}");
    let report = Report { position: Some(d.now), primary: Some(false) };
    let actions = d.handle(Event::ProbeEnded { member: "far".into(), outcome: Outcome::Ok, report });
    assert_eq!(sent(&actions), ["far"]);
}

/// Guards the staleness bound: a probed replica may be too far behind.
#[test]
fn a_replica_probed_as_too_far_behind_gets_no_read() {
    let mut d = position_outdated();
    d.list(ListKind::Incremental, vec![Entry { phase: Phase::Leaving, ..entry("p", 1, true) }]);
    d.request("a", 1);
    let report = Report { position: Some(d.now - 0.6), primary: Some(false) };
    let actions = d.handle(Event::ProbeEnded { member: "far".into(), outcome: Outcome::Ok, report });
    assert_eq!(sent(&actions), [] as [&str; 0]);
    // The replica may catch up: the read waits for that, and ends in time.
    d.advance(1.8);
    assert_eq!(finals(&d.actions), 1);
}

/// Guards against waiting where no member can be probed.
#[test]
fn without_probes_and_members_a_read_is_refused_at_once() {
    let mut d = Drive::new(Settings { probes: false, ..without_position_checks() });
    d.list(ListKind::Full, vec![]);
    assert_eq!(finals(&d.request("a", 1)), 1);
}

#[test]
fn several_unanswered_attempts_eject_a_member_sooner_than_one() {
    // Each has waited for a third of the time that a single attempt would need.
    let suspected = |together: usize| {
        let mut d = Drive::new(settings());
        for i in 0..together {
            assert_eq!(sent(&d.request(&format!("w{i}"), 3)).len(), 1);
        }
        let actions = d.advance(0.33);
        actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("member r suspected")))
    };
    assert!(!suspected(1));
    assert!(suspected(8));
}

/// Guards the staleness bound exactly: an observed position is valid for the bound minus the lag.
#[test]
fn a_home_replica_serves_reads_up_to_the_staleness_bound() {
    for (age, served) in [(0.49, true), (0.51, false)] {
        let mut d = Drive::new(Settings { probes: false, ..without_position_checks() });
        d.list(ListKind::Full, vec![entry("p", 1, true), entry("r", 0, false)]);
        d.report_fresh("r");
        d.now += age;
        assert_eq!(sent(&d.request("a", 1)), [if served { "r" } else { "p" }]);
    }
}

/// Guards against queueing a read only because the primary is busy with writes.
#[test]
fn a_queued_read_is_not_delayed_by_the_primarys_writes() {
    let mut d = position_outdated();
    for i in 0..10 {
        d.request(&format!("w{i}"), 0);
    }
    d.list(ListKind::Incremental, vec![entry("late", 1, false)]);
    d.request("a", 1);
    let report = Report { position: Some(d.now), primary: Some(false) };
    d.handle(Event::ProbeEnded { member: "late".into(), outcome: Outcome::Ok, report });
    let to_a: Vec<_> =
        d.actions.iter().filter(|a| matches!(a, Action::Send { id, .. } if &**id == "a")).collect();
    assert_eq!(to_a.len(), 1, "{to_a:?}");
}

/// Guards against a former primary that got no reads as a replica, since its last known role was primary.
#[test]
fn an_ejected_member_is_probed_for_its_position() {
    let mut d = position_outdated();
    for i in 0..3 {
        d.request(&format!("a{i}"), 1);
        d.ended_with(&format!("a{i}"), "p", 0, Outcome::ConnectFailed, None, None);
    }
    assert!(d.actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("member p suspected"))));
    let report = Report { position: Some(d.now), primary: Some(true) };
    d.handle(Event::ProbeEnded { member: "far".into(), outcome: Outcome::Ok, report });
    let mut probed_members = Vec::new();
    for i in 0..12 {
        d.advance(1.0);
        let actions = d.request(&format!("b{i}"), 1);
        probed_members.extend(probed(&actions).iter().map(|m| m.to_string()));
        d.ended_with(&format!("b{i}"), "far", 0, Outcome::Ok, Some(true), Some(d.now));
    }
    assert!(probed_members.contains(&"p".to_string()), "{probed_members:?}");
}

/// Guards against a probe of every home replica by each of hundreds of poolers at its first read. All poolers
/// together probe an unused replica four times within the shortest staleness bound.
#[test]
fn background_probes_of_home_replicas_are_spread_over_the_fleet() {
    let probe_count = |fleet_size: u32, seconds: u32| {
        let mut probe_count = 0;
        for seed in 0..100 {
            let mut d = Drive::seeded(Settings { fleet_size, ..without_position_checks() }, seed);
            d.list(ListKind::Full, ["p", "r", "s"].map(|m| entry(m, 0, m == "p")).to_vec());
            for i in 0..seconds {
                d.report_fresh("r");
                assert_eq!(sent(&d.request(&format!("a{i}"), 1)), ["r"]);
                d.ended_with(&format!("a{i}"), "r", 0, Outcome::Ok, Some(false), None);
                d.advance(1.0);
            }
            probe_count += probed(&d.actions).len();
        }
        probe_count
    };
    // At 300 poolers each probes a home replica every 0.5 s x 300 / 4 = 37.5 s; a hundred of them run for 1 s.
    assert!(probe_count(300, 1) <= 20, "{}", probe_count(300, 1));
    assert!(probe_count(3, 2) >= 50, "each of three poolers probes at its interval: {}", probe_count(3, 2));
}
