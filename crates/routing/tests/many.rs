//! Scenarios of a fleet of a hundred proxies that share nothing. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

/// Whom a probe asks.
fn goal(action: &Action) -> Option<&str> {
    if let Action::Probe { member } = action {
        Some(member)
    } else {
        None
    }
}

fn probed(actions: &[Action]) -> Vec<&str> {
    actions.iter().filter_map(goal).collect()
}

/// One proxy of a hundred, which may probe.
fn one_of_many() -> Settings {
    Settings { fleet_size: 100, probes: true, when_behind: WhenBehind::ServeStale, ..settings() }
}

/// A write with nobody known as primary cost every proxy a probe of every member before it could go out.
#[test]
fn a_held_write_looks_for_its_primary_by_itself() {
    let mut d = Drive::new(one_of_many());
    d.list(ListKind::Full, vec![entry("p", 0, false), entry("r", 0, false), entry("far", 1, false)]);
    let mut next = d.ask("w", 0);
    let mut tried = Vec::new();
    for attempt in 0..3 {
        let Some(goal) = sent(&next).first().map(|m| m.to_string()) else { break };
        let primary = goal == "p";
        let outcome = if primary { Outcome::Ok } else { Outcome::Miss };
        next = d.told("w", &goal, attempt, outcome, Some(primary), None);
        tried.push(goal);
    }
    assert_eq!(tried.last().map(String::as_str), Some("p"), "{tried:?}");
    assert_eq!(sent(&d.ask("w2", 0)), ["p"], "what it found out holds for the next");
}

/// At a hundred proxies one request in flight was taken for twice the usual crowd, and reads were refused.
#[test]
fn one_request_of_its_own_is_no_crowd() {
    let mut d = Drive::new(Settings { allow_hedging: false, ..one_of_many() });
    d.list(ListKind::Full, vec![entry("p", 0, true)]);
    for i in 0..20 {
        d.pass(1.5);
        let id = format!("a{i}");
        assert_eq!(sent(&d.ask(&id, 1)), ["p"], "read {i}");
        d.served_after(&id, "p", 0.13);
    }
    assert_eq!(sent(&d.ask("first", 1)), ["p"]);
    d.pass(0.01);
    assert_eq!(sent(&d.ask("second", 1)), ["p"], "while the first is out");
}

/// In a storm of repeats each drew a lot like a first try, and a cold machine fell over at 4.3 times what it could do;
/// repeats that drew none kept away from machines that were nearly warm.
#[test]
fn a_repeat_draws_a_lot_of_more_for_a_cold_member() {
    let mut d = Drive::new(one_of_many());
    let cold = Entry { started_at: d.now, ..entry("r", 0, false) };
    d.list(ListKind::Full, vec![entry("p", 1, true), cold]);
    d.freshen("r");
    let (mut first, mut again) = (0, 0);
    for i in 0..1_000 {
        let Event::Arrival(arrival) = Event::arrival(&format!("a{i}"), 1, 0, 2.0) else { unreachable!() };
        first += usize::from(sent(&d.feed(Event::Arrival(arrival.clone()))) == ["r"]);
        let repeat = Arrival { id: format!("b{i}").as_str().into(), repeat: true, ..arrival };
        again += usize::from(sent(&d.feed(Event::Arrival(repeat))) == ["r"]);
    }
    assert!((150..=350).contains(&first), "{first} of 1,000 at a quarter of its capacity");
    assert!((first / 4..=first * 3 / 4).contains(&again), "{again} repeats beside {first}");
}

/// How many of so many reads, asked of many proxies one after another, each member gets.
fn spread(entries: &[Entry], reads: usize) -> std::collections::BTreeMap<String, usize> {
    let mut got = std::collections::BTreeMap::new();
    for seed in 0..reads as u64 {
        let mut d = Drive::seeded(one_of_many(), seed);
        let now = d.now;
        let entries = entries.iter().map(|e| Entry { started_at: now + e.started_at, ..e.clone() });
        d.list(ListKind::Full, entries.collect());
        ["r", "s", "t"].iter().for_each(|m| d.freshen(m));
        for to in sent(&d.ask("a", 1)) {
            *got.entry(to.to_string()).or_default() += 1;
        }
    }
    got
}

/// A cold machine shared its lot with the warm ones beside it and got a third of what it could do; the warm ones were crowded.
#[test]
fn a_cold_member_has_its_fair_part_beside_warm_ones() {
    let warm = -1_000.0;
    let at = |m: &str, since: f64| Entry { started_at: since, ..entry(m, 0, false) };
    let primary = Entry { started_at: warm, ..entry("p", 1, true) };
    // At a quarter of its capacity beside two warm ones: a ninth.
    let got = spread(&[primary.clone(), at("r", 0.0), at("s", warm), at("t", warm)], 900);
    assert!((60..=140).contains(&got["r"]), "{got:?}");
    assert!(got["s"].abs_diff(got["t"]) < 120, "{got:?}");
    // Where all are cold each has its own lots, together no more than they can do.
    let got = spread(&[primary, at("r", 0.0), at("s", 0.0), at("t", 0.0)], 900);
    for m in ["r", "s", "t"] {
        assert!((160..=290).contains(&got[m]), "{m}: {got:?}");
    }
}

/// Guards discovery, probes and handshakes against a hundred proxies that start in one instant.
#[test]
fn a_hundred_that_start_together_ask_little_each() {
    let (mut probes, mut first) = (0, Vec::new());
    for seed in 0..100 {
        let mut policy = routing::Policy::new(one_of_many(), seed).unwrap();
        let entries = (0..60).map(|m| Entry { group: m / 4, ..entry(&format!("m{m}"), m % 2, false) });
        let mut acts = Vec::new();
        let saved = Event::Members { kind: ListKind::Saved, entries: entries.collect() };
        policy.handle(100.0, saved, &mut acts);
        for i in 0..15 {
            policy.handle(100.0, Event::arrival(&format!("r{i}"), 1, i, 2.0), &mut acts);
        }
        let asked = probed(&acts);
        first.extend(asked.first().map(|m| m.to_string()));
        probes += asked.len();
    }
    assert!(probes <= 1_500, "{probes} probes for 1,500 reads, one for each at the most");
    let of_group = |m: &str| first.iter().filter(|asked| *asked == m).count();
    assert!((20..=80).contains(&of_group("m0")), "of two at home each is asked by about half: {first:?}");
}

/// Hundreds sent a group's reads to a home replica that took half a second beside an idle one elsewhere: each saw a few
/// answers, and those that clients did not wait for taught nothing.
#[test]
fn answers_that_nobody_waited_for_tell_of_a_crowded_home_replica() {
    let mut d = Drive::new(Settings { allow_hedging: false, ..one_of_many() });
    d.list(ListKind::Full, vec![entry("p", 1, true), entry("r", 0, false), entry("far", 1, false)]);
    d.freshen("r");
    d.freshen("far");
    assert_eq!(sent(&d.ask("first", 1)), ["r"]);
    d.pass(0.6);
    d.feed(Event::ClientLeft { id: "first".into() });
    d.ended_after("first", "r", 0, Outcome::Cancelled, 0.6);
    d.freshen("r");
    d.freshen("far");
    assert_eq!(sent(&d.ask("next", 1)), ["far"]);
    d.pass(30.0);
    d.freshen("r");
    d.freshen("far");
    assert_eq!(sent(&d.ask("later", 1)), ["r"], "what was slow a while ago may not be now");
}
