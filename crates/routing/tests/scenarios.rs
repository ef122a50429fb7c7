//! Scenarios that drive the policy by events. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;
use routing::Policy;

#[test]
fn writes_and_fresh_reads_go_to_the_primary_and_other_reads_to_the_home_replica() {
    let mut d = Drive::new(settings());
    d.report_fresh("r");
    d.report_fresh("far");
    assert_eq!(sent(&d.request("w", 0)), ["p"]);
    assert_eq!(sent(&d.request("f", 4)), ["p"]);
    assert_eq!(
        sent(&d.request("b", 1)),
        ["r"],
        "a bounded read goes to the home replica, not to the primary"
    );
    assert_eq!(sent(&d.request("a", 3)), ["r"]);
}

#[test]
fn a_read_leaves_its_zone_only_beyond_factor_and_margin() {
    let mut d = Drive::new(settings());
    d.report_fresh("r");
    d.report_fresh("far");
    let targets: Vec<String> = (0..4)
        .flat_map(|i| sent(&d.request(&format!("a{i}"), 3)).iter().map(|m| m.to_string()).collect::<Vec<_>>())
        .collect();
    assert_eq!(targets, ["r", "r", "r", "far"]);
}

#[test]
fn a_stale_home_replica_is_passed_over() {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, ..settings() });
    d.report_fresh("r");
    d.now += 0.6;
    d.report_fresh("far");
    assert_eq!(sent(&d.request("b", 1)), ["far"]);
    d.now += 0.6;
    assert_eq!(
        sent(&d.request("c", 1)),
        ["p"],
        "members that do not check positions get no speculative read"
    );
}

#[test]
fn an_impossible_position_is_ignored() {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, ..settings() });
    let report = Report { position: Some(d.now + 50.0), primary: Some(false) };
    d.handle(Event::ProbeEnded { member: "r".into(), outcome: Outcome::Ok, report });
    assert_eq!(sent(&d.request("b", 1)), ["p"]);
}

#[test]
fn a_replica_of_unknown_position_gets_one_speculative_read_and_none_after_a_miss() {
    let mut d = Drive::new(settings());
    assert_eq!(sent(&d.request("b", 1)), ["r"]);
    let next = d.ended_with("b", "r", 0, Outcome::Miss, Some(false), Some(d.now - 3.0));
    assert_ne!(sent(&next), ["r"]);
    assert_ne!(sent(&d.request("c", 1)), ["r"]);
}

#[test]
fn a_read_of_any_age_goes_to_the_home_replica_that_is_behind() {
    let mut d = Drive::new(settings());
    let mut list = vec![entry("r2", 0, false)];
    list[0].member = "r2".into();
    d.list(ListKind::Incremental, list);
    d.report_fresh("r2");
    d.now += 2.0;
    d.report_fresh("r");
    for i in 0..4 {
        let target = d.request(&format!("a{i}"), 3);
        assert_eq!(sent(&target), ["r2"]);
        d.ended(&format!("a{i}"), "r2", 0, Outcome::Ok);
    }
}

#[test]
fn a_session_read_goes_to_a_replica_only_at_its_required_position() {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, ..settings() });
    d.report_fresh("r");
    d.now += 0.2;
    let now = d.now;
    let read = |id: &str, age: f64| {
        let Event::Arrival(mut a) = Event::arrival(id, 2, 0, 1.0) else { unreachable!() };
        a.required_position = Some(now - age);
        Event::Arrival(a)
    };
    assert_eq!(sent(&d.handle(read("old", 0.3))), ["r"]);
    assert_eq!(sent(&d.handle(read("new", 0.1))), ["p"]);
}

#[test]
fn a_remembered_write_sends_the_sessions_reads_to_the_primary() {
    let mut d = Drive::new(Settings {
        when_behind: WhenBehind::ServeStale,
        requests_carry_position: false,
        ..settings()
    });
    d.report_fresh("r");
    assert_eq!(sent(&d.handle(of_session("before", 2))), ["r"]);
    d.handle(of_session("w", 0));
    d.now += 0.05;
    d.ended_with("w", "p", 0, Outcome::Ok, Some(true), Some(d.now));
    assert_eq!(sent(&d.handle(of_session("after", 2))), ["p"]);
}

#[test]
fn a_write_without_a_valid_commit_is_remembered_as_of_its_answer() {
    let mut d = Drive::new(Settings {
        when_behind: WhenBehind::ServeStale,
        requests_carry_position: false,
        ..settings()
    });
    d.report_fresh("r");
    // Without a commit, and with commits that are impossible.
    for (id, commit) in [("1", None), ("2", Some(d.now + 1e6)), ("3", Some(f64::NAN))] {
        d.now += 0.1;
        d.handle(of_session(id, 0));
        d.ended_with(id, "p", 0, Outcome::Ok, Some(true), commit);
        assert_eq!(sent(&d.handle(of_session(&format!("{id} read"), 2))), ["p"]);
        d.ended_with(&format!("{id} read"), "p", 0, Outcome::Ok, Some(true), None);
        d.report_fresh("r");
        assert_eq!(sent(&d.handle(of_session(&format!("{id} later"), 2))), ["r"]);
        d.ended_with(&format!("{id} later"), "r", 0, Outcome::Ok, Some(false), None);
    }
}

#[test]
fn the_time_of_a_request_is_capped_at_the_deadline_of_its_class() {
    let mut d = Drive::new(settings());
    let actions = d.handle(Event::arrival("w", 0, 0, 1e9));
    assert!(matches!(actions[..], [.., Action::Send { timeout, .. }] if timeout <= 2.0), "{actions:?}");
    assert_eq!(finals(&d.advance(2.0)), 1);
}

#[test]
fn an_answer_as_replica_ends_the_primary_role_at_once() {
    let mut d = Drive::new(settings());
    d.request("w", 0);
    d.ended_with("w", "p", 0, Outcome::Miss, Some(false), None);
    assert!(!sent(&d.request("f", 4)).contains(&"p"));
    let next = d.ended_with("none", "r", 0, Outcome::Ok, Some(true), Some(d.now));
    assert_eq!(
        sent(&next),
        ["r"],
        "the queued read goes to the claimed primary; the write is in flight as a trial"
    );
}

#[test]
fn the_newest_primary_claim_overrides_older_ones_and_the_list() {
    let mut d = Drive::new(settings());
    d.ended_with("x", "p", 0, Outcome::Ok, Some(true), Some(d.now));
    d.now += 1.0;
    d.ended_with("x", "r", 0, Outcome::Ok, Some(true), Some(d.now));
    d.list(ListKind::Incremental, vec![entry("p", 0, true)]);
    assert_eq!(sent(&d.request("w", 0)), ["r"]);
}

#[test]
fn every_request_gets_one_answer_within_its_deadline() {
    let mut d = Drive::new(settings());
    for (i, class) in [0, 1, 2, 3, 4, 5].into_iter().enumerate() {
        d.request(&format!("q{i}"), class);
    }
    d.advance(1.8);
    assert_eq!(finals(&d.actions), 6);
    d.advance(5.0);
    assert_eq!(finals(&d.actions), 6);
}

#[test]
fn nothing_is_sent_after_the_final_answer() {
    let mut d = Drive::new(settings());
    d.request("b", 1);
    d.handle(Event::ClientLeft { id: "b".into() });
    assert_eq!(sent(&d.ended("b", "r", 0, Outcome::Miss)).len(), 0);
}

#[test]
fn an_unsafe_write_that_may_have_run_is_neither_retried_nor_refused() {
    let mut d = Drive::new(settings());
    d.request("u", 5);
    let next = d.ended("u", "p", 0, Outcome::Error);
    assert_eq!(
        next.iter().find(|a| !matches!(a, Action::Timer { .. })),
        Some(&Action::Fail { id: "u".into() })
    );
}

#[test]
fn a_keyed_write_is_retried_only_well_inside_its_deduplication_window() {
    let mut d = Drive::new(settings());
    d.request("w", 0);
    d.now += 0.2;
    assert_eq!(sent(&d.ended("w", "p", 0, Outcome::Error)), ["p"]);
    let mut d = Drive::new(settings());
    d.request("w", 0);
    d.now += 1.0;
    let next = d.ended("w", "p", 0, Outcome::Error);
    assert_eq!(
        (sent(&next).len(), finals(&next)),
        (0, 1),
        "there is no time left to write a retry within the window"
    );
    assert!(next.contains(&Action::Fail { id: "w".into() }));
}

#[test]
fn without_hedging_a_request_has_one_attempt_in_flight() {
    let mut d = Drive::new(settings());
    d.report_fresh("r");
    d.report_fresh("far");
    d.request("b", 1);
    d.advance(1.7);
    let sends = d.actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
    assert_eq!(sends, 1);
}

#[test]
fn a_leaving_member_gets_no_new_requests() {
    for phase in [Phase::Leaving, Phase::Left] {
        let mut d = Drive::new(settings());
        d.report_fresh("r");
        d.list(ListKind::Incremental, vec![Entry { phase, ..entry("r", 0, false) }]);
        for i in 0..20 {
            assert!(!sent(&d.request(&format!("a{i}"), 3)).contains(&"r"));
        }
    }
}

#[test]
fn with_advisory_removal_only_the_phase_leaving_is_binding() {
    let advice = Settings { removal_is_advisory: true, ..settings() };
    let mut d = Drive::new(advice.clone());
    d.list(ListKind::Full, vec![entry("p", 0, true)]);
    assert_eq!(sent(&d.request("a", 3)), ["r"]);
    let mut d = Drive::new(advice);
    d.list(ListKind::Incremental, vec![Entry { phase: Phase::Leaving, ..entry("r", 0, false) }]);
    d.list(ListKind::Incremental, vec![Entry { phase: Phase::Left, ..entry("r", 0, false) }]);
    assert_ne!(sent(&d.request("a", 3)), ["r"]);
}

#[test]
fn a_cold_member_gets_a_share_within_half_its_overload_factor() {
    let mut d = Drive::new(settings());
    d.list(ListKind::Incremental, vec![Entry { started_at: d.now, ..entry("r", 0, false) }]);
    let (mut cold, mut all) = (0u32, 0u32);
    for i in 0..200 {
        d.advance(0.01);
        let target = d.request(&format!("a{i}"), 3);
        let target = sent(&target).first().map(|m| m.to_string());
        if let Some(target) = target {
            all += 1;
            cold += u32::from(target == "r");
            d.ended(&format!("a{i}"), &target, 0, Outcome::Ok);
        }
    }
    // The capacity reaches 0.307 by the end; at most half of the load that would overload it is sent.
    let most = 0.5 * settings().overload_factor * 0.307 * f64::from(all);
    assert!(all > 150 && cold > 0 && f64::from(cold) < most, "{cold} of {all}");
}

#[test]
fn queued_writes_are_released_to_a_new_primary_in_small_numbers() {
    let mut d = Drive::new(settings());
    d.request("first", 0);
    d.ended_with("first", "p", 0, Outcome::ConnectFailed, None, None);
    for i in 0..30 {
        assert_eq!(sent(&d.request(&format!("w{i}"), 0)).len(), 0, "queued while the primary is down");
    }
    let next = d.ended_with("none", "r", 0, Outcome::Ok, Some(true), Some(d.now));
    let count = sent(&next).iter().filter(|m| **m == "r").count();
    assert!((1..=8).contains(&count), "{count}");
}

#[test]
fn without_probes_one_write_is_tried_to_find_the_primary() {
    let mut d = Drive::new(settings());
    d.request("w0", 0);
    let trial = d.ended_with("w0", "p", 0, Outcome::Miss, Some(false), None);
    assert_eq!(sent(&trial).len(), 1);
    assert_eq!(sent(&d.request("w1", 0)), [] as [&str; 0], "one at a time");
    assert_eq!(sent(&d.advance(0.15)), [] as [&str; 0]);
}

#[test]
fn with_probes_the_members_are_probed_for_the_primary() {
    let mut d = Drive::new(Settings { probes: true, ..settings() });
    d.advance(0.3);
    for m in ["p", "r", "far"] {
        d.handle(Event::ProbeEnded { member: m.into(), outcome: Outcome::Ok, report: Report::default() });
    }
    d.request("f", 4);
    let mut actions = d.ended_with("f", "p", 0, Outcome::ConnectFailed, None, None);
    actions.extend(d.advance(0.3));
    let probes = actions.iter().filter(|a| matches!(a, Action::Probe { .. })).count();
    assert!(probes >= 2, "{probes}");
}

#[test]
fn a_failed_member_is_ejected_and_then_gets_one_trial_request() {
    let mut d = Drive::new(settings());
    d.report_fresh("r");
    d.report_fresh("far");
    d.request("a", 3);
    d.ended("a", "r", 0, Outcome::ConnectFailed);
    assert_ne!(sent(&d.request("b", 3)), ["r"]);
    d.advance(20.0);
    let targets: Vec<_> = (0..2)
        .flat_map(|i| sent(&d.request(&format!("c{i}"), 3)).iter().map(|m| m.to_string()).collect::<Vec<_>>())
        .collect();
    assert_eq!(targets.iter().filter(|m| *m == "r").count(), 1, "{targets:?}");
}

#[test]
fn with_all_members_ejected_a_request_is_still_sent() {
    let mut d = Drive::new(settings());
    for (i, m) in ["r", "far", "p"].iter().enumerate() {
        d.report_fresh(m);
        let id = format!("a{i}");
        let target = d.request(&id, 3);
        let target = sent(&target)[0].to_string();
        d.ended(&id, &target, 0, Outcome::ConnectFailed);
    }
    let from = d.actions.len();
    d.request("last", 3);
    d.advance(0.35);
    let last = |a: &&Action| matches!(a, Action::Send { .. });
    let tries = d.actions[from..].iter().filter(last).count();
    assert!((1..=3).contains(&tries), "each member soon gets another trial, one request at a time: {tries}");
}

#[test]
fn the_retry_budget_limits_retries_to_half_of_the_requests() {
    let mut d = Drive::new(settings());
    d.report_fresh("r");
    d.report_fresh("far");
    let mut sends = 0;
    for i in 0..300 {
        let id = format!("a{i}");
        let mut target = sent(&d.request(&id, 3)).first().map(|m| m.to_string());
        let mut attempt = 0;
        while let Some(member) = target {
            sends += 1;
            target = sent(&d.ended(&id, &member, attempt, Outcome::Error)).first().map(|m| m.to_string());
            attempt += 1;
        }
    }
    assert!(sends < 300 * 3 / 2, "{sends}");
}

#[test]
fn a_refusal_is_immediate_and_carries_a_back_off() {
    let mut d = Drive::new(settings());
    let next = d.handle(Event::arrival("x", 1, 77, 1.0));
    assert!(next.iter().any(|a| matches!(a, Action::Refuse { backoff, .. } if *backoff > 0.0)));
}

#[test]
fn a_lost_list_is_requested_again_and_the_last_one_stays_in_use() {
    let mut d = Drive::new(Settings { subscribe: true, ..settings() });
    assert!(d.advance(0.2).contains(&Action::Subscribe));
    d.list(ListKind::Failed, vec![]);
    assert_eq!(sent(&d.request("w", 0)), ["p"]);
    assert!(d.advance(5.0).contains(&Action::Subscribe));
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut d = Drive::new(settings());
        for i in 0..50 {
            d.request(&format!("q{i}"), i % 6);
            d.advance(0.03);
        }
        d.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn unusual_but_legal_events_are_answered_or_ignored() {
    let mut d = Drive::new(settings());
    d.handle(Event::arrival("zero", 0, 0, 0.0));
    d.handle(Event::arrival("below", 1, 0, -1.0));
    d.handle(Event::arrival("class", 99, 0, 1.0));
    d.ended("unknown", "nobody", 5, Outcome::Ok);
    d.ended("zero", "p", 9, Outcome::Timeout);
    d.list(ListKind::Full, vec![]);
    d.request("none", 0);
    d.list(ListKind::Full, vec![entry("p", 0, true), entry("r", 1, true)]);
    d.request("two", 0);
    d.handle(Event::Timer { cookie: 12345 });
    d.advance(3.0);
    assert_eq!(finals(&d.actions), 5);
}

/// Incident ice9193: broken connections made all members count as cold, and all requests were refused.
#[test]
fn broken_connections_do_not_make_a_member_cold() {
    let mut d = Drive::new(settings());
    d.report_fresh("r");
    for i in 0..3 {
        let id = format!("a{i}");
        let target = d.request(&id, 3);
        if let Some(target) = sent(&target).first().map(|m| m.to_string()) {
            d.ended(&id, &target, 0, Outcome::Reset);
        }
    }
    d.advance(4.0);
    d.request("trial", 3);
    d.ended("trial", "r", 0, Outcome::Ok);
    let targets: Vec<_> = (0..3).map(|i| sent(&d.request(&format!("b{i}"), 3)).join("")).collect();
    assert_eq!(targets, ["r", "r", "r"]);
}

/// Incident i18a21c: without a primary no position advances; trying each member in turn only adds work.
#[test]
fn members_known_to_be_behind_are_not_tried_in_turn() {
    let mut d = Drive::new(settings());
    for m in ["r", "far"] {
        d.report_fresh(m);
    }
    d.request("w", 0);
    d.ended_with("w", "p", 0, Outcome::ConnectFailed, None, None);
    d.now += 3.0;
    let before = d.actions.len();
    for i in 0..5 {
        let id = format!("b{i}");
        let mut target = sent(&d.request(&id, 1)).first().map(|m| m.to_string());
        let mut attempt = 0;
        while let Some(member) = target {
            let position = Some(d.now - 3.0);
            let next = d.ended_with(&id, &member, attempt, Outcome::Miss, Some(false), position);
            target = sent(&next).first().map(|m| m.to_string());
            attempt += 1;
        }
    }
    let reads = sent(&d.actions[before..]).len();
    assert!(reads <= 4, "{reads} attempts for five reads that no member can answer");
}

/// Incident ic2205a: long reads that hold up replay, spread over the replicas, left few of them fresh.
#[test]
fn long_reads_of_any_age_go_to_the_replica_most_behind() {
    let mut d = Drive::new(settings());
    d.report_fresh("r");
    for i in 0..40 {
        d.advance(0.1);
        d.report_fresh("r");
        d.request(&format!("a{i}"), 3);
        let target = sent(&d.actions).last().map(|m| m.to_string()).unwrap();
        d.handle(Event::AttemptEnded(AttemptEnded {
            id: format!("a{i}").as_str().into(),
            member: target.as_str().into(),
            attempt: 0,
            outcome: Outcome::Ok,
            conclusion: Conclusion::AsReceived,
            finished: true,
            elapsed: 3.0,
            position: None,
            primary: None,
            report: Report::default(),
        }));
    }
    assert_eq!(sent(&d.request("last", 3)), ["far"], "the home replica is fresh, the far one behind");
}

/// Incident ife869a: the few requests that each pooler of a large fleet always admits overloaded a member.
#[test]
fn requests_admitted_in_spite_of_overload_decrease_with_the_fleet_size() {
    let admitted = |fleet_size: u32| {
        let mut d = Drive::new(Settings { fleet_size, ..settings() });
        d.list(ListKind::Full, vec![entry("p", 0, true)]);
        // Latencies are near the deadline, so that no answer is expected in time.
        for i in 0..60 {
            d.advance(2.5);
            let id = format!("slow{i}");
            d.request(&id, 0);
            d.served_after(&id, "p", 1.7);
        }
        let from = d.actions.len();
        for i in 0..50 {
            d.request(&format!("w{i}"), 0);
            d.advance(0.02);
        }
        sent(&d.actions[from..]).len()
    };
    let (small, large) = (admitted(2), admitted(16));
    assert!(small >= 3 && large <= 2, "{small} at two poolers, {large} at sixteen");
}

/// Incident i506d06: some members hung, and each of many poolers had few requests there.
#[test]
fn one_unanswered_request_ejects_its_member() {
    let mut d = Drive::new(settings());
    d.report_fresh("r");
    for i in 0..40 {
        let id = format!("a{i}");
        let target = sent(&d.request(&id, 3))[0].to_string();
        d.advance(0.05);
        d.ended(&id, &target, 0, Outcome::Ok);
    }
    d.advance(0.01);
    assert_eq!(sent(&d.request("hangs", 3)), ["r"]);
    d.advance(0.3);
    assert_ne!(sent(&d.request("next", 3)), ["r"]);
}

/// No other member can replace a primary: one silent connection, or one that could not be made, does not hold
/// up its requests; a second one does.
#[test]
fn one_failed_connection_does_not_eject_a_primary() {
    let warm = || {
        let mut d = Drive::new(settings());
        for i in 0..40 {
            d.request(&format!("w{i}"), 0);
            d.advance(0.05);
            d.ended_with(&format!("w{i}"), "p", 0, Outcome::Ok, Some(true), None);
        }
        d.advance(0.01);
        d
    };
    let mut d = warm();
    for (id, targets) in [("1", vec!["p"]), ("2", vec!["p"]), ("3", vec![])] {
        assert_eq!(sent(&d.request(id, 0)), targets, "{id}");
        d.advance(0.25);
    }
    let mut d = warm();
    d.request("1", 0);
    for (attempt, targets) in [(0, vec!["p"]), (1, vec![])] {
        d.now += 0.25;
        let done = AttemptEnded {
            id: "1".into(),
            member: "p".into(),
            attempt,
            outcome: Outcome::ConnectFailed,
            conclusion: Conclusion::AsReceived,
            finished: false,
            elapsed: 0.25,
            position: None,
            primary: None,
            report: Report::default(),
        };
        assert_eq!(sent(&d.handle(Event::AttemptEnded(done))), targets, "{attempt}");
    }
}

/// A member that answers keeps its requests although connections break; one that stops answering does not.
#[test]
fn broken_connections_to_a_member_that_answers_do_not_eject_it() {
    for (broken, tolerated) in [(Outcome::Reset, 3), (Outcome::ConnectFailed, 1)] {
        let mut d = Drive::new(settings());
        d.request("w", 0);
        d.ended_with("w", "p", 0, Outcome::Ok, Some(true), None);
        for i in 0..=tolerated {
            let id = format!("{i}");
            assert_eq!(sent(&d.request(&id, 0)), ["p"], "{broken:?} {id}");
            d.handle(Event::ClientLeft { id: id.as_str().into() });
            d.ended_with(&id, "p", 0, broken, None, None);
        }
        assert_eq!(sent(&d.request("held", 0)), [""; 0], "{broken:?}");
    }
}

/// Incident if72e0f: a full member turns requests away at once, and therefore looked idle.
#[test]
fn a_full_member_counts_as_loaded() {
    let mut d = Drive::new(settings());
    d.list(ListKind::Incremental, vec![entry("r2", 0, false)]);
    d.report_fresh("r");
    d.report_fresh("r2");
    let mut to_r = 0;
    for i in 0..20 {
        let id = format!("b{i}");
        let target = sent(&d.request(&id, 1)).join("");
        if target == "r" {
            to_r += 1;
            let next = sent(&d.ended(&id, "r", 0, Outcome::Full)).join("");
            d.ended(&id, &next, 1, Outcome::Ok);
        } else {
            d.ended(&id, &target, 0, Outcome::Ok);
        }
    }
    assert!(to_r <= 3, "{to_r} of 20 went to the full member");
}

/// Incident i8232be, and the restart of a whole group: hundreds of poolers sent a first request each at once.
#[test]
fn many_poolers_together_keep_to_the_capacity_of_a_cold_member() {
    let mut cold = 0;
    for seed in 0..200 {
        let mut d = Drive::new(Settings { fleet_size: 200, ..settings() });
        d.policy = Policy::new(Settings { fleet_size: 200, ..settings() }, seed).unwrap();
        let fresh = Entry { started_at: d.now, ..entry("r", 0, false) };
        d.list(ListKind::Saved, vec![entry("p", 0, true), fresh, entry("far", 1, false)]);
        cold += usize::from(sent(&d.request("first", 3)) == ["r"]);
    }
    assert!((10..=70).contains(&cold), "{cold} of 200 first reads, at a fifth of the capacity");
}

/// Incident if92ddc: all poolers probed all members repeatedly, and took a full answer for a failure.
#[test]
fn requests_earn_the_probe_budget_and_full_answers_do_not_eject() {
    let mut d = Drive::new(Settings { probes: true, ..settings() });
    let probes = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Probe { .. })).count();
    d.advance(5.0);
    assert_eq!(probes(&d.actions), 0, "no request needs a probe");
    d.request("w", 4);
    d.ended_with("w", "p", 0, Outcome::Miss, Some(false), None);
    d.request("w2", 4);
    for _ in 0..40 {
        for action in d.advance(0.2) {
            if let Action::Probe { member } = action {
                d.handle(Event::ProbeEnded { member, outcome: Outcome::Full, report: Report::default() });
            }
        }
        d.request("more", 4);
    }
    let count = probes(&d.actions);
    assert!((3..=40).contains(&count), "{count}");
    assert!(!d.actions.iter().any(|a| matches!(a, Action::Log(text) if text.contains("suspected"))));
}

/// Guards against sending each queued write up to eight times to a former primary that came back cold.
#[test]
fn a_trial_write_goes_to_each_member_once() {
    let mut d = Drive::new(settings());
    d.report_fresh("r");
    d.report_fresh("far");
    d.request("w", 0);
    d.ended_with("w", "p", 0, Outcome::Miss, Some(false), None);
    let mut tried = Vec::new();
    for attempt in 1..6 {
        let target = sent(&d.advance(0.4)).first().map(|m| m.to_string());
        if let Some(target) = target {
            d.ended_with("w", &target, attempt, Outcome::Miss, Some(false), None);
            tried.push(target);
        }
    }
    tried.sort();
    assert_eq!(tried, ["far", "r"], "each once, and not the member that denied its role");
}

/// Incident i8232be: the same write was sent to a full primary ten times within milliseconds.
#[test]
fn a_write_is_refused_by_a_full_primary_without_a_retry() {
    let mut d = Drive::new(settings());
    d.request("w", 0);
    let next = d.ended("w", "p", 0, Outcome::Full);
    assert_eq!((sent(&next).len(), finals(&next)), (0, 1));
    assert!(next.iter().any(|a| matches!(a, Action::Refuse { backoff, .. } if *backoff > 0.0)));
}

/// Guards against an overload in which, of two classes of equal worth, the slower one kept the members busy.
#[test]
fn under_load_the_slower_of_two_equal_classes_is_refused_first() {
    let mut d = Drive::new(Settings { fleet_size: 16, ..settings() });
    d.list(ListKind::Full, vec![entry("p", 0, true)]);
    let (long, quick) = (0, 4);
    for i in 0..80 {
        d.advance(2.5);
        let (id, class) = (format!("a{i}"), if i % 2 == 0 { long } else { quick });
        assert_eq!(sent(&d.request(&id, class)), ["p"]);
        d.served_after(&id, "p", if class == long { 0.32 } else { 0.05 });
    }
    assert_eq!(sent(&d.request("long", long)).len(), 0);
    assert_eq!(sent(&d.request("quick", quick)), ["p"]);
}

#[test]
fn settings_out_of_range_are_refused_by_name() {
    let refused = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Policy::new(s, 1).err().map(|e| e.field)
    };
    assert_eq!(refused(|_| ()), None);
    type Change = fn(&mut Settings);
    let cases: [(Change, &str); 9] = [
        (|s| s.classes.clear(), "classes"),
        (|s| s.fleet_size = 0, "fleet_size"),
        (|s| s.max_attempts = 0, "max_attempts"),
        (|s| s.connect_timeout = f64::NAN, "connect_timeout"),
        (|s| s.warm_up = f64::INFINITY, "warm_up"),
        (|s| s.cold_start_capacity = 0.0, "cold_from"),
        (|s| s.overload_factor = -1.0, "tip_multiple"),
        (|s| s.tenant_quota = vec![-1.0], "tenant_quota[0]"),
        (|s| s.classes[2].late_worth = 1.5, "classes[2].late_worth"),
    ];
    for (change, field) in cases {
        assert_eq!(refused(change).as_deref(), Some(field));
    }
}

/// Guards against a leak when thousands of members are replaced, as in waves of drains.
#[test]
fn members_that_left_are_removed() {
    let mut d = Drive::new(settings());
    for i in 0..2000 {
        let (new, old) = (format!("n{i}"), format!("n{}", i - 1));
        let gone = Entry { phase: Phase::Left, ..entry(&old, 0, false) };
        d.list(ListKind::Incremental, vec![entry(&new, 0, false), gone]);
        d.report_fresh(&new);
        d.advance(0.5);
    }
    assert!(d.policy.tracked_members() <= 80, "{}", d.policy.tracked_members());
    d.report_fresh("n1999");
    assert_ne!(sent(&d.request("a", 3)).len(), 0);
    d.list(ListKind::Incremental, vec![Entry { phase: Phase::Left, ..entry("n3", 0, false) }]);
    assert!(d.policy.tracked_members() <= 80);
}

/// Guards against a leak when groups come and go with their members.
#[test]
fn groups_without_members_are_removed() {
    let mut d = Drive::new(settings());
    for group in 1..500 {
        let member = |group: u32, phase| Entry { group, phase, ..entry(&format!("n{group}"), 0, false) };
        d.list(ListKind::Incremental, vec![member(group, Phase::Active), member(group - 1, Phase::Left)]);
        d.advance(0.5);
    }
    assert!(d.policy.tracked_groups() <= 80, "{}", d.policy.tracked_groups());
}

/// With remembered writes, a pooler that has just started knows none: any session may have written before.
#[test]
fn after_a_restart_an_unknown_session_reads_positions_since_the_start() {
    let mut d = Drive::new(Settings {
        when_behind: WhenBehind::ServeStale,
        requests_carry_position: false,
        ..settings()
    });
    let report = Report { position: Some(d.now - 0.3), primary: Some(false) };
    d.handle(Event::ProbeEnded { member: "r".into(), outcome: Outcome::Ok, report });
    assert_eq!(sent(&d.handle(of_session("early", 2))), ["p"]);
    d.report_fresh("r");
    assert_eq!(sent(&d.handle(of_session("later", 2))), ["r"]);
}

/// At a hundred poolers a tenant's part is below one request per second: single requests are within its
/// share.
#[test]
fn a_request_within_a_share_below_one_per_second_is_not_over_share() {
    let few = Settings { fleet_size: 100, tenant_quota: vec![40.0], over_share_worth: 0.0, ..settings() };
    let mut d = Drive::new(few);
    d.list(ListKind::Full, vec![entry("p", 0, true)]);
    for i in 0..60 {
        d.advance(2.6);
        let id = format!("w{i}");
        assert_eq!(sent(&d.request(&id, 0)), ["p"], "request {i}");
        d.served_after(&id, "p", 0.36);
    }
    d.request("one", 0);
    d.ended("one", "p", 0, Outcome::Full);
    assert_eq!(sent(&d.request("two", 0)).len(), 0, "a request beyond the share is refused");
}

/// Incident ib6439d: idle connections of 1367 poolers used up every member's connections, and all refused new
/// ones.
#[test]
fn a_large_fleet_closes_idle_connections_after_a_refused_connection() {
    let closes_idle = |fleet_size: u32| {
        let mut d = Drive::new(Settings { fleet_size, ..settings() });
        d.report_fresh("r");
        d.report_fresh("far");
        d.request("a", 3);
        let next = d.ended("a", "r", 0, Outcome::ConnectFailed);
        assert_eq!(sent(&next), ["far"]);
        d.ended("a", "far", 1, Outcome::Ok).contains(&Action::CloseIdle { member: "far".into() })
    };
    assert!(closes_idle(1000));
    assert!(!closes_idle(20), "a small fleet keeps idle connections: new ones can be slow");
}

/// Guards against queueing a request that no member has got until its client has no time left.
#[test]
fn a_request_that_reached_no_member_is_given_up_at_half_its_time() {
    let mut d = Drive::new(settings());
    // Connections to the primary fail: a write waits for another primary.
    for id in ["x", "y"] {
        d.request(id, 0);
        d.ended(id, "p", 0, Outcome::ConnectFailed);
    }
    assert_eq!(sent(&d.request("w", 0)), [] as [&str; 0]);
    assert_eq!(finals(&d.advance(0.75)), 0, "less than 0.45 of 1.8 s has passed");
    let over = d.advance(0.1);
    let refused = |a: &Action| matches!(a, Action::Refuse { id, backoff } if &**id == "w" && *backoff > 0.0);
    assert!(over.iter().any(refused), "{over:?}");
}

/// Guards against giving up a request before its deadline although a member is working on it.
#[test]
fn a_request_that_reached_a_member_keeps_its_full_time() {
    let mut d = Drive::new(settings());
    d.request("w", 0);
    assert_eq!(finals(&d.advance(1.7)), 0);
    assert_eq!(finals(&d.advance(0.1)), 1);
}

/// New settings apply to requests that arrive later; a request in flight ends under those it arrived with.
#[test]
fn a_request_ends_under_the_settings_it_arrived_with() {
    let entry = |name: &str| Entry { member: name.into(), ..Entry::default() };
    let settings = |classes: usize, attempts, aim| Settings {
        classes: (0..classes)
            .map(|n| Class { aim: if n == 0 { 0.5 } else { aim }, ..Class::default() })
            .collect(),
        max_attempts: attempts,
        ..Settings::default()
    };
    let mut policy = Policy::new(settings(2, 2, 0.5), 7).unwrap();
    let mut out = Vec::new();
    let entries = (0..6).map(|n| entry(&format!("s-{n}"))).collect();
    policy.handle(0.0, Event::Members { kind: ListKind::Full, entries }, &mut out);
    policy.handle(0.1, Event::arrival("old", 1, 0, 1.0), &mut out);
    // A class with a request in flight can neither be changed nor removed.
    let fault = policy.reconfigure(settings(2, 4, 0.3)).unwrap_err();
    assert_eq!(fault.field, "classes[1]");
    assert!(policy.reconfigure(settings(1, 4, 0.5)).is_err());
    assert!(policy.reconfigure(Settings { tick: 0.0, ..settings(3, 4, 0.5) }).is_err());
    assert!(policy.class_has_requests(1) && !policy.class_has_requests(0));
    assert!(policy.reconfigure(settings(3, 4, 0.5)).is_ok());
    let mut later = Vec::new();
    policy.handle(0.1, Event::arrival("new", 2, 0, 1.0), &mut later);
    assert_eq!(turned_away(&mut policy, "old", out), 2);
    assert_eq!(turned_away(&mut policy, "new", later), 4);
}

/// Number of attempts for a request that all members turn away; the first is among `actions`.
fn turned_away(policy: &mut Policy, id: &str, mut actions: Vec<Action>) -> usize {
    let sent = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { id: to, member, .. } if &**to == id => Some(member.clone()),
            _ => None,
        })
    };
    let mut attempt = 0;
    while let Some(member) = sent(&actions) {
        actions.clear();
        let (outcome, report) = (Outcome::Full, Report::default());
        let (finished, elapsed, position, primary) = (false, 0.001, None, None);
        let id = id.into();
        let done = AttemptEnded {
            id,
            member,
            attempt,
            outcome,
            conclusion: Conclusion::AsReceived,
            finished,
            elapsed,
            position,
            primary,
            report,
        };
        policy.handle(0.11, Event::AttemptEnded(done), &mut actions);
        attempt += 1;
    }
    attempt
}

/// Guards against work for an answer that earns nothing, and against giving up one that still earns
/// something.
#[test]
fn only_classes_with_late_worth_are_retried_past_their_aim() {
    for (class, first, then) in [(3, "r", vec![]), (0, "p", vec!["p"])] {
        let mut d = Drive::new(settings());
        assert_eq!(sent(&d.request("x", class)), [first]);
        d.advance(0.55);
        let next = d.ended("x", first, 0, Outcome::Error);
        assert_eq!((sent(&next), finals(&next)), (then.clone(), usize::from(then.is_empty())), "{next:?}");
    }
}
