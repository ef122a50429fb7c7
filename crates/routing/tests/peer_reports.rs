//! What other instances say of members: stricter at once, never laxer where it would cost more than a miss.

use routing::interface::*;
use routing::peer_reports::PeerReport;
use routing::Policy;

fn entry(name: &str, zone: u32) -> Entry {
    Entry { member: name.into(), zone, group: 0, phase: Phase::Active, started_at: 0.0, primary: name == "p" }
}

/// A primary and two replicas at home, one elsewhere; classes: a session's reads, writes.
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

fn arrive(policy: &mut Policy, now: f64, id: &str, class: usize, own: Option<f64>) -> Option<String> {
    let Event::Arrival(arrival) = Event::arrival(id, class, 0, 1.0) else { unreachable!() };
    let mut out = Vec::new();
    policy.handle(now, Event::Arrival(Arrival { session_position: own, ..arrival }), &mut out);
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

fn heard(member: &str) -> PeerReport {
    PeerReport { member: member.into(), ..PeerReport::default() }
}

#[test]
fn a_read_of_what_is_not_known_goes_to_the_primary_and_one_of_what_is_known_stays_near() {
    let (mut policy, _) = policy(100.0);
    assert_eq!(arrive(&mut policy, 100.1, "1", 0, Some(f64::INFINITY)).as_deref(), Some("p"));
    done(&mut policy, 100.2, "1", "p", Outcome::Ok, Some(100.19));
    for n in 0..40 {
        let id = format!("any{n}");
        let member = arrive(&mut policy, 100.3, &id, 2, None).unwrap();
        done(&mut policy, 100.31, &id, &member, Outcome::Ok, Some(100.2));
    }
    // Known to have come to 100.2: what needs less stays near. All of it is past what was forgotten at the start.
    let near = arrive(&mut policy, 100.4, "2", 0, Some(100.1)).unwrap();
    assert!(["a", "b"].contains(&near.as_str()), "{near}");
    assert!(
        policy.has_reached(&near.as_str().into(), 100.1) && !policy.has_reached(&near.as_str().into(), 100.3)
    );
}

#[test]
fn an_answer_that_may_have_seen_less_is_too_old() {
    let at = |primary, position| Policy::assess_freshness(primary, position, 50.0, 0.2);
    assert_eq!(at(Some(false), Some(50.1)), Conclusion::TooOld);
    assert_eq!(at(Some(false), Some(50.3)), Conclusion::AsReceived);
    assert_eq!(at(None, None), Conclusion::TooOld);
    assert_eq!(at(Some(true), None), Conclusion::AsReceived);
}

#[test]
fn a_drain_heard_of_holds_at_once_and_ends_with_its_word() {
    let (mut policy, mut out) = policy(100.0);
    let drained = PeerReport { drained: true, ..heard("a") };
    policy.apply_peer_reports(100.1, &[drained, PeerReport { drained: true, ..heard("b") }], 3, &mut out);
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
fn one_observer_alone_ejects_nobody_and_two_do_unless_it_has_just_been_heard() {
    let suspected = |count| PeerReport { suspected_by: count, ..heard("a") };
    let ejected = |count, hears: bool| {
        let (mut policy, mut out) = policy(100.0);
        if hears {
            // It answers this one: whoever else does not hear it.
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
fn a_report_that_ejected_is_no_evidence_for_others() {
    let (mut policy, mut out) = policy(100.0);
    policy.apply_peer_reports(100.2, &[PeerReport { suspected_by: 2, ..heard("a") }], 3, &mut out);
    let found = policy.observations();
    let a = found.iter().find(|found| &*found.observed.member == "a").unwrap();
    assert!(!a.suspected);
}

#[test]
fn the_load_of_others_makes_a_read_leave_its_zone() {
    let (mut policy, mut out) = policy(100.0);
    // Both at home are full of what others sent there, which this one does not see by itself.
    let full = |member| PeerReport { in_flight: 20.0, ..heard(member) };
    policy.apply_peer_reports(100.1, &[full("a"), full("b")], 3, &mut out);
    assert_eq!(arrive(&mut policy, 100.1, "1", 2, None).as_deref(), Some("far"));
    // It fades where nobody renews it.
    assert!(["a", "b"].contains(&arrive(&mut policy, 104.0, "2", 2, None).unwrap().as_str()));
}

#[test]
fn who_is_said_to_be_the_primary_is_tried_first_where_nobody_is_known() {
    for seed in 0..5 {
        let write = Class { consistency: Consistency::Write, effect: Effect::Keyed, ..Class::default() };
        let settings = Settings { classes: vec![write], ..Settings::default() };
        let (mut policy, mut out) = (Policy::new(settings, seed).unwrap(), Vec::new());
        let entries = ["a", "b", "c", "d"].map(|name| entry(name, 0)).to_vec();
        policy.handle(100.0, Event::Members { kind: ListKind::Saved, entries }, &mut out);
        policy.apply_peer_reports(100.0, &[PeerReport { primary: true, ..heard("c") }], 1, &mut out);
        assert_eq!(arrive(&mut policy, 100.1, "1", 0, None).as_deref(), Some("c"));
    }
}
