//! Reports of other instances: they make decisions stricter at once, never laxer where that costs more than a
//! miss.

use routing::interface::*;
use routing::peer_reports::PeerReport;
use routing::Policy;

fn entry(name: &str, zone: u32) -> Entry {
    Entry { member: name.into(), zone, group: 0, phase: Phase::Active, started_at: 0.0, primary: name == "p" }
}

/// A primary and two replicas in the home zone, one replica elsewhere.
/// Classes: 0 session read, 1 write, 2 read of any age.
fn policy(now: f64) -> (Policy, Vec<Action>) {
    let session = Class { consistency: Consistency::Session, ..Class::default() };
    let write = Class { consistency: Consistency::Write, effect: Effect::Keyed, ..Class::default() };
    let any = Class::default();
    let settings = Settings {
        classes: vec![session, write, any],
        requests_carry_position: false,
        ..Settings::default()
    };
    let (mut policy, mut out) = (Policy::new(settings, 1).unwrap(), Vec::new());
    let entries = vec![entry("p", 0), entry("a", 0), entry("b", 0), entry("far", 1)];
    policy.handle(now, Event::Members { kind: ListKind::Saved, entries }, &mut out);
    (policy, out)
}

fn arrive(
    policy: &mut Policy,
    now: f64,
    id: &str,
    class: usize,
    session_position: Option<f64>,
) -> Option<String> {
    let Event::Arrival(arrival) = Event::arrival(id, class, 0, 1.0) else { unreachable!() };
    let mut out = Vec::new();
    policy.handle(now, Event::Arrival(Arrival { session_position, ..arrival }), &mut out);
    out.iter().find_map(|action| match action {
        Action::Send { member, .. } => Some(member.to_string()),
        _ => None,
    })
}

fn done(policy: &mut Policy, now: f64, id: &str, member: &str, outcome: Outcome, position: Option<f64>) {
    let done = AttemptEnded {
        id: id.into(),
        member: member.into(),
        attempt: 0,
        outcome,
        conclusion: Conclusion::AsReceived,
        finished: outcome == Outcome::Ok,
        elapsed: 0.01,
        position,
        primary: Some(member == "p"),
        report: Report::default(),
    };
    policy.handle(now, Event::AttemptEnded(done), &mut Vec::new());
}

fn report(member: &str) -> PeerReport {
    PeerReport { member: member.into(), ..PeerReport::default() }
}

#[test]
fn a_read_of_unknown_position_goes_to_the_primary_and_of_a_known_one_to_a_home_replica() {
    let (mut policy, _) = policy(100.0);
    assert_eq!(arrive(&mut policy, 100.1, "1", 0, Some(f64::INFINITY)).as_deref(), Some("p"));
    done(&mut policy, 100.2, "1", "p", Outcome::Ok, Some(100.19));
    for n in 0..40 {
        let id = format!("any{n}");
        let member = arrive(&mut policy, 100.3, &id, 2, None).unwrap();
        done(&mut policy, 100.31, &id, &member, Outcome::Ok, Some(100.2));
    }
    // The replicas are known to be at 100.2: reads that need less stay in the zone. All these positions are
    // after the start, before which any session may have written.
    let near = arrive(&mut policy, 100.4, "2", 0, Some(100.1)).unwrap();
    assert!(["a", "b"].contains(&near.as_str()), "{near}");
    let seen = policy.observations().into_iter().find(|seen| *seen.observed.member == *near).unwrap();
    assert_eq!(seen.observed.position, Some(100.2));
}

#[test]
fn a_reported_drain_holds_at_once_and_until_the_report_ends() {
    let (mut policy, mut out) = policy(100.0);
    let drained = PeerReport { drained: true, ..report("a") };
    policy.apply_peer_reports(100.1, &[drained, PeerReport { drained: true, ..report("b") }], 3, &mut out);
    for n in 0..10 {
        let member = arrive(&mut policy, 100.2, &format!("{n}"), 2, None).unwrap();
        assert!(!["a", "b"].contains(&member.as_str()), "{member}");
    }
    policy.apply_peer_reports(100.3, &[], 3, &mut out);
    let members: Vec<String> =
        (0..10).map(|n| arrive(&mut policy, 100.4, &format!("m{n}"), 2, None).unwrap()).collect();
    assert!(members.iter().any(|member| member == "a" || member == "b"), "{members:?}");
}

#[test]
fn two_observers_eject_a_member_unless_it_has_just_answered() {
    let suspected = |count| PeerReport { suspected_by: count, ..report("a") };
    let ejected = |count, answers: bool| {
        let (mut policy, mut out) = policy(100.0);
        if answers {
            // The member answers this instance, whatever others observe.
            let member = (0..40).find_map(|n| {
                let id = format!("h{n}");
                let member = arrive(&mut policy, 100.1, &id, 2, None)?;
                done(&mut policy, 100.11, &id, &member, Outcome::Ok, Some(100.0));
                (member == "a").then_some(member)
            });
            assert!(member.is_some());
        }
        policy.apply_peer_reports(100.2, &[suspected(count)], 3, &mut out);
        out.iter().any(|action| matches!(action, Action::Log(text) if text.contains("a suspected")))
    };
    assert!(!ejected(1, false));
    assert!(ejected(2, false));
    assert!(!ejected(5, true));
}

#[test]
fn an_ejection_due_to_reports_is_not_reported_as_an_observation() {
    let (mut policy, mut out) = policy(100.0);
    policy.apply_peer_reports(100.2, &[PeerReport { suspected_by: 2, ..report("a") }], 3, &mut out);
    let observations = policy.observations();
    let a = observations.iter().find(|observation| &*observation.observed.member == "a").unwrap();
    assert!(!a.suspected);
}

#[test]
fn reported_load_makes_a_read_leave_its_zone() {
    let (mut policy, mut out) = policy(100.0);
    // Both home replicas are loaded by requests of other instances, which this one cannot observe itself.
    let full = |member| PeerReport { in_flight: 20.0, ..report(member) };
    policy.apply_peer_reports(100.1, &[full("a"), full("b")], 3, &mut out);
    assert_eq!(arrive(&mut policy, 100.1, "1", 2, None).as_deref(), Some("far"));
    // The reported load decays without new reports.
    assert!(["a", "b"].contains(&arrive(&mut policy, 104.0, "2", 2, None).unwrap().as_str()));
}

#[test]
fn the_reported_primary_gets_the_first_trial_write() {
    for seed in 0..5 {
        let write = Class { consistency: Consistency::Write, effect: Effect::Keyed, ..Class::default() };
        let settings = Settings { classes: vec![write], ..Settings::default() };
        let (mut policy, mut out) = (Policy::new(settings, seed).unwrap(), Vec::new());
        let entries = ["a", "b", "c", "d"].map(|name| entry(name, 0)).to_vec();
        policy.handle(100.0, Event::Members { kind: ListKind::Saved, entries }, &mut out);
        policy.apply_peer_reports(100.0, &[PeerReport { primary: true, ..report("c") }], 1, &mut out);
        assert_eq!(arrive(&mut policy, 100.1, "1", 0, None).as_deref(), Some("c"));
    }
}
