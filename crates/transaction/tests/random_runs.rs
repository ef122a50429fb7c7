//! Random runs of proposals, confirmations, rollbacks, disk failures, health regressions, crashes and drains,
//! against a model of a pooler. The invariants are checked after every step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use config::Config;
use listing::Listing;
use operator::{Document, EffectiveConfig, Override};
use proptest::prelude::*;
use routing::interface::{ListKind, Phase};
use transaction::{
    Action, Finding, Generation, GenerationStatus, Health, History, Input, Mode, Outcome, Proposal, Record,
    Roster, Severity, Stage, StateMachine,
};

const PLATFORM: &str = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7f",
    "settings":{"classes":[{"name":"a","aim":1,"deadline":2}],"specifics":{"consistency":["any"]},
    "invariants":{"tipMultiple":2}}}"#;

/// A random event.
#[derive(Clone, Debug)]
enum Event {
    /// Proposes a change that sets `max_attempts` and overrides one member; the check refuses it unless
    /// `accepted`.
    Propose {
        attempts: u32,
        member: u8,
        accepted: bool,
        manual: bool,
    },
    /// The disk writes the oldest waiting record, or writing it fails.
    Disk(bool),
    /// The generation to apply is put in force, or putting it in force fails.
    Apply(bool),
    Confirm,
    Rollback,
    /// Time passes (milliseconds); a regression is found, or not.
    Pass(u16, bool),
    /// kill -9: records that are not on disk are lost; if `torn`, the record being written is lost too.
    Crash {
        torn: bool,
    },
    /// The list reports that a member drains, or serves.
    ReportPhase(u8, bool),
}

fn events() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1u32..=6, 0u8..4, prop::bool::weighted(0.8), any::<bool>())
            .prop_map(|(attempts, member, accepted, manual)| Event::Propose { attempts, member, accepted, manual }),
        6 => prop::bool::weighted(0.9).prop_map(Event::Disk),
        5 => prop::bool::weighted(0.9).prop_map(Event::Apply),
        2 => Just(Event::Confirm),
        1 => Just(Event::Rollback),
        4 => (0u16..3_000, prop::bool::weighted(0.1)).prop_map(|(ms, worse)| Event::Pass(ms, worse)),
        1 => any::<bool>().prop_map(|torn| Event::Crash { torn }),
        2 => (0u8..4, any::<bool>()).prop_map(|(member, drains)| Event::ReportPhase(member, drains)),
    ]
}

/// The parts of a pooler that a transaction affects.
struct Pooler {
    platform: Config,
    state_machine: StateMachine,
    now: f64,
    disk: Vec<Record>,
    unwritten: Vec<(u64, Record)>,
    to_apply: Option<Arc<Generation>>,
    /// Settings in force, stored separately: all of them must always be of one generation.
    attempts: u32,
    overrides: BTreeSet<String>,
    in_force: u64,
    roster: Roster,
    reported_drains: BTreeMap<String, bool>,
    /// Phase of each member as last reported to routing.
    sent: BTreeMap<String, Phase>,
    confirmed: BTreeSet<u64>,
    replies: Vec<Outcome>,
    proposals: u64,
}

fn listing(name: &str, phase: Phase) -> Listing {
    let address = "127.0.0.1:9".parse().unwrap();
    Listing { name: name.into(), address, zone: String::new(), group: 0, phase, started_at: 0.0 }
}

impl Pooler {
    fn new() -> Pooler {
        let start = History::default().plan_startup(Ok(Document::default()), 0.0);
        let mut pooler = Pooler {
            platform: Config::parse(PLATFORM).unwrap(),
            state_machine: StateMachine::new(
                History::replay(start.records.clone()),
                start.generation.clone(),
            ),
            now: 0.0,
            disk: start.records,
            unwritten: Vec::new(),
            to_apply: None,
            attempts: 0,
            overrides: BTreeSet::new(),
            in_force: 0,
            roster: Roster::default(),
            reported_drains: BTreeMap::new(),
            sent: BTreeMap::new(),
            confirmed: BTreeSet::from([1]),
            replies: Vec::new(),
            proposals: 0,
        };
        pooler.put_in_force(&start.generation);
        for member in 0..4 {
            pooler.report_phase(member, false);
        }
        pooler
    }

    fn put_in_force(&mut self, generation: &Generation) {
        let effective = EffectiveConfig::new(&self.platform, (*generation.document).clone()).unwrap();
        self.attempts = effective.settings.max_attempts;
        self.overrides = effective.document.overrides.keys().cloned().collect();
        self.in_force = generation.number;
        let update = self.roster.apply_intents(&effective);
        self.record_sent(update);
    }

    fn record_sent(&mut self, update: Option<(ListKind, Vec<Listing>)>) {
        let Some((kind, listings)) = update else { return };
        if kind == ListKind::Full {
            self.sent.clear();
        }
        for listing in listings {
            self.sent.insert(listing.name.to_string(), listing.phase);
        }
    }

    fn report_phase(&mut self, member: u8, drains: bool) {
        let name = format!("s-{member}");
        let phase = if drains { Phase::Leaving } else { Phase::Active };
        self.reported_drains.insert(name.clone(), drains);
        let update = self.roster.apply_list(ListKind::Incremental, vec![listing(&name, phase)]);
        self.record_sent(update);
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.state_machine.handle(self.now, input, &mut out);
        for action in out {
            match action {
                Action::Persist { step, record } => self.unwritten.push((step, record)),
                Action::Apply(generation) => self.to_apply = Some(generation),
                Action::Reply(_, outcome) => self.replies.push(outcome),
                Action::Watch | Action::EndWatch | Action::Timer(_) | Action::Notice(_) => {}
            }
        }
    }

    fn handle(&mut self, event: &Event) {
        match *event {
            Event::Propose { attempts, member, accepted, manual } => {
                let mut document = Document::default();
                document.limits.max_attempts = Some(attempts);
                document.overrides.insert(format!("s-{member}"), Override::Drain);
                let severity = if accepted { Severity::Note } else { Severity::Error };
                let findings = vec![Finding { code: "planted", severity, what: String::new() }];
                self.proposals += 1;
                let before = self.state();
                self.input(Input::Propose(Proposal {
                    caller: Some(self.proposals),
                    document: Arc::new(document),
                    note: "n".repeat(300),
                    mode: if manual { Mode::Manual(2.0) } else { Mode::Auto(1.0) },
                    findings,
                    allow: Vec::new(),
                }));
                if matches!(
                    self.replies.last(),
                    Some(Outcome::Refused(_) | Outcome::Busy(_) | Outcome::Unchanged(_))
                ) && *self.state_machine.stage() == Stage::Idle
                {
                    assert_eq!(before, self.state(), "a refused change must change nothing");
                }
            }
            Event::Disk(succeeds) => {
                if self.unwritten.is_empty() {
                    return;
                }
                let (step, record) = self.unwritten.remove(0);
                let result = if succeeds { Ok(()) } else { Err("disk full".to_string()) };
                if succeeds {
                    if let Record::Confirmed { number } = &record {
                        self.confirmed.insert(*number);
                    }
                    self.disk.push(record);
                }
                self.input(Input::Persisted { step, result });
            }
            Event::Apply(succeeds) => {
                let Some(generation) = self.to_apply.take() else { return };
                // Returning to the base always succeeds: what it needs is retained.
                let succeeds = succeeds || generation.number == self.state_machine.base().number;
                if succeeds {
                    self.put_in_force(&generation);
                }
                let result = if succeeds { Ok(()) } else { Err("address in use".to_string()) };
                self.input(Input::Applied { number: generation.number, result });
            }
            Event::Confirm => self.input(Input::Confirm { caller: None, number: None }),
            Event::Rollback => self.input(Input::Rollback { caller: None }),
            Event::Pass(ms, worse) => {
                self.now += f64::from(ms) / 1000.0;
                self.input(Input::Time(worse.then(|| "worse".to_string())));
            }
            Event::Crash { torn } => {
                // The record being written is either complete or torn; later ones were never written.
                if !torn && !self.unwritten.is_empty() {
                    let (_, record) = self.unwritten.remove(0);
                    self.disk.push(record);
                }
                self.unwritten.clear();
                self.to_apply = None;
                let history = History::replay(self.disk.clone());
                let before = self.in_force;
                let base = self.state_machine.base().number;
                let start = history.plan_startup(Ok(Document::default()), self.now);
                assert!(history.confirmed().is_some());
                assert!(start.generation.number == base || start.generation.number == before);
                if let Some(Record::Confirmed { number }) = self.disk.last() {
                    self.confirmed.insert(*number);
                }
                self.disk.extend(start.records.iter().cloned());
                self.state_machine =
                    StateMachine::new(History::replay(self.disk.clone()), start.generation.clone());
                // After the restart the list is reported again, with the same phases.
                self.roster = Roster::default();
                self.sent.clear();
                let reported_drains: Vec<(String, bool)> = self.reported_drains.clone().into_iter().collect();
                self.put_in_force(&start.generation);
                for (name, drains) in reported_drains {
                    let member = name[2..].parse().unwrap();
                    self.report_phase(member, drains);
                }
            }
            Event::ReportPhase(member, drains) => self.report_phase(member, drains),
        }
    }

    fn state(&self) -> (u32, BTreeSet<String>, u64, Vec<Record>, BTreeMap<String, Phase>) {
        (self.attempts, self.overrides.clone(), self.in_force, self.disk.clone(), self.sent.clone())
    }

    fn check_invariants(&self) {
        // All settings in force are of one generation: the state machine's current one, unless a change is
        // just being applied or reverted.
        let current = self.state_machine.current();
        if !matches!(self.state_machine.stage(), Stage::Applying | Stage::Reverting(_)) {
            assert_eq!(self.in_force, current.number);
            let wanted = current.document.limits.max_attempts.unwrap_or(1);
            assert_eq!(self.attempts, wanted, "settings of two generations are in force");
            assert_eq!(self.overrides, current.document.overrides.keys().cloned().collect());
        }
        // While no change is in progress, a confirmed generation is in force.
        if *self.state_machine.stage() == Stage::Idle {
            assert!(self.confirmed.contains(&self.in_force), "{} was never confirmed", self.in_force);
        }
        // A generation that is shown as confirmed is on disk as confirmed.
        let confirmed =
            self.state_machine.entries().filter(|entry| entry.fate == GenerationStatus::Confirmed);
        confirmed.for_each(|entry| {
            assert!(self.confirmed.contains(&entry.number), "{} is shown as confirmed", entry.number)
        });
        // No change and no rollback makes a draining member accept new work again.
        for (name, drains) in &self.reported_drains {
            if *drains || self.overrides.contains(name) {
                assert_eq!(self.sent.get(name), Some(&Phase::Leaving), "{name} drains, but gets new work");
            } else {
                assert_eq!(self.sent.get(name), Some(&Phase::Active), "{name} serves, but gets no new work");
            }
        }
        assert!(self.state_machine.history().entries().count() <= transaction::MAX_ENTRIES);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn random_runs_preserve_the_invariants(events in prop::collection::vec(events(), 1..60)) {
        let mut pooler = Pooler::new();
        for event in &events {
            pooler.handle(event);
            pooler.check_invariants();
        }
        // A change in progress ends once time passes and the disk writes.
        for _ in 0..8 {
            pooler.handle(&Event::Disk(true));
            pooler.handle(&Event::Apply(true));
            pooler.handle(&Event::Pass(2_500, false));
            pooler.check_invariants();
        }
        prop_assert_eq!(pooler.state_machine.stage(), &Stage::Idle);
    }
}

#[test]
fn health_counters_are_bounded() {
    let mut health = Health::new(0.0, 10.0);
    for n in 0..10_000u32 {
        health.record(f64::from(n) * 0.01, (n % 100) as u16, n, false, None, 0.01);
    }
    assert!(health.traffic().count() <= 5 * transaction::MAX_CELLS);
}
