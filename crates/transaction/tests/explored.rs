//! The transaction explored: random runs of proposals, words of the operator, failing disks, worsening health,
//! crashes and drains, against a model of what a daemon does. After every step the invariants are looked at.

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

/// What can happen.
#[derive(Clone, Debug)]
enum Move {
    /// A change that sets this many attempts and overrides one member; its check finds something, or not.
    Propose {
        attempts: u32,
        member: u8,
        sound: bool,
        manual: bool,
    },
    /// The disk has written what waits for it, or has not.
    Disk(bool),
    Apply(bool),
    Confirm,
    Rollback,
    Pass(u16, bool),
    /// kill -9: what is not on disk is gone; of the last record only part may be there.
    Crash {
        torn: bool,
    },
    /// The list tells a fact of a member.
    Fact(u8, bool),
}

fn moves() -> impl Strategy<Value = Move> {
    prop_oneof![
        4 => (1u32..=6, 0u8..4, prop::bool::weighted(0.8), any::<bool>())
            .prop_map(|(attempts, member, sound, manual)| Move::Propose { attempts, member, sound, manual }),
        6 => prop::bool::weighted(0.9).prop_map(Move::Disk),
        5 => prop::bool::weighted(0.9).prop_map(Move::Apply),
        2 => Just(Move::Confirm),
        1 => Just(Move::Rollback),
        4 => (0u16..3_000, prop::bool::weighted(0.1)).prop_map(|(ms, worse)| Move::Pass(ms, worse)),
        1 => any::<bool>().prop_map(|torn| Move::Crash { torn }),
        2 => (0u8..4, any::<bool>()).prop_map(|(member, drains)| Move::Fact(member, drains)),
    ]
}

/// A daemon as far as a transaction touches it.
struct Daemon {
    platform: Config,
    machine: StateMachine,
    now: f64,
    disk: Vec<Record>,
    waiting: Vec<(u64, Record)>,
    to_apply: Option<Arc<Generation>>,
    /// What is in force, each part by itself: they must always be of one generation.
    attempts: u32,
    overrides: BTreeSet<String>,
    in_force: u64,
    roster: Roster,
    facts: BTreeMap<String, bool>,
    /// Whether each member may get something new, as the decisions were told.
    told: BTreeMap<String, Phase>,
    confirmed: BTreeSet<u64>,
    replies: Vec<Outcome>,
    asked: u64,
}

fn listing(name: &str, phase: Phase) -> Listing {
    let address = "127.0.0.1:9".parse().unwrap();
    Listing { name: name.into(), address, zone: String::new(), group: 0, phase, started_at: 0.0 }
}

impl Daemon {
    fn new() -> Daemon {
        let start = History::default().plan_startup(Ok(Document::default()), 0.0);
        let mut daemon = Daemon {
            platform: Config::parse(PLATFORM).unwrap(),
            machine: StateMachine::new(History::replay(start.records.clone()), start.generation.clone()),
            now: 0.0,
            disk: start.records,
            waiting: Vec::new(),
            to_apply: None,
            attempts: 0,
            overrides: BTreeSet::new(),
            in_force: 0,
            roster: Roster::default(),
            facts: BTreeMap::new(),
            told: BTreeMap::new(),
            confirmed: BTreeSet::from([1]),
            replies: Vec::new(),
            asked: 0,
        };
        daemon.put(&start.generation);
        for member in 0..4 {
            daemon.fact(member, false);
        }
        daemon
    }

    fn put(&mut self, generation: &Generation) {
        let effective = EffectiveConfig::new(&self.platform, (*generation.document).clone()).unwrap();
        self.attempts = effective.settings.max_attempts;
        self.overrides = effective.document.overrides.keys().cloned().collect();
        self.in_force = generation.number;
        let news = self.roster.apply_intents(&effective);
        self.tell(news);
    }

    fn tell(&mut self, news: Option<(ListKind, Vec<Listing>)>) {
        let Some((kind, listings)) = news else { return };
        if kind == ListKind::Full {
            self.told.clear();
        }
        for listing in listings {
            self.told.insert(listing.name.to_string(), listing.phase);
        }
    }

    fn fact(&mut self, member: u8, drains: bool) {
        let name = format!("s-{member}");
        let phase = if drains { Phase::Leaving } else { Phase::Active };
        self.facts.insert(name.clone(), drains);
        let news = self.roster.apply_list(ListKind::Incremental, vec![listing(&name, phase)]);
        self.tell(news);
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.machine.handle(self.now, input, &mut out);
        for action in out {
            match action {
                Action::Persist { step, record } => self.waiting.push((step, record)),
                Action::Apply(generation) => self.to_apply = Some(generation),
                Action::Reply(_, outcome) => self.replies.push(outcome),
                Action::Watch | Action::EndWatch | Action::Timer(_) | Action::Notice(_) => {}
            }
        }
    }

    fn act(&mut self, what: &Move) {
        match *what {
            Move::Propose { attempts, member, sound, manual } => {
                let mut document = Document::default();
                document.limits.max_attempts = Some(attempts);
                document.overrides.insert(format!("s-{member}"), Override::Drain);
                let severity = if sound { Severity::Note } else { Severity::Error };
                let findings = vec![Finding { code: "planted", severity, what: String::new() }];
                self.asked += 1;
                let before = self.state();
                self.input(Input::Propose(Proposal {
                    caller: Some(self.asked),
                    document: Arc::new(document),
                    note: "n".repeat(300),
                    mode: if manual { Mode::Manual(2.0) } else { Mode::Auto(1.0) },
                    findings,
                    allow: Vec::new(),
                }));
                if matches!(
                    self.replies.last(),
                    Some(Outcome::Refused(_) | Outcome::Busy(_) | Outcome::Unchanged(_))
                ) && *self.machine.stage() == Stage::Idle
                {
                    assert_eq!(before, self.state(), "a change that was not taken in changes nothing");
                }
            }
            Move::Disk(good) => {
                if self.waiting.is_empty() {
                    return;
                }
                let (step, record) = self.waiting.remove(0);
                let result = if good { Ok(()) } else { Err("disk full".to_string()) };
                if good {
                    if let Record::Confirmed { number } = &record {
                        self.confirmed.insert(*number);
                    }
                    self.disk.push(record);
                }
                self.input(Input::Persisted { step, result });
            }
            Move::Apply(good) => {
                let Some(generation) = self.to_apply.take() else { return };
                // Going back always succeeds: what it needs was kept.
                let good = good || generation.number == self.machine.base().number;
                if good {
                    self.put(&generation);
                }
                let result = if good { Ok(()) } else { Err("address in use".to_string()) };
                self.input(Input::Applied { number: generation.number, result });
            }
            Move::Confirm => self.input(Input::Confirm { caller: None, number: None }),
            Move::Rollback => self.input(Input::Rollback { caller: None }),
            Move::Pass(ms, worse) => {
                self.now += f64::from(ms) / 1000.0;
                self.input(Input::Time(worse.then(|| "worse".to_string())));
            }
            Move::Crash { torn } => {
                // What was being written is either all there or cut; the rest never was.
                if !torn && !self.waiting.is_empty() {
                    let (_, record) = self.waiting.remove(0);
                    self.disk.push(record);
                }
                self.waiting.clear();
                self.to_apply = None;
                let history = History::replay(self.disk.clone());
                let before = self.in_force;
                let base = self.machine.base().number;
                let start = history.plan_startup(Ok(Document::default()), self.now);
                assert!(history.confirmed().is_some());
                assert!(start.generation.number == base || start.generation.number == before);
                if let Some(Record::Confirmed { number }) = self.disk.last() {
                    self.confirmed.insert(*number);
                }
                self.disk.extend(start.records.iter().cloned());
                self.machine =
                    StateMachine::new(History::replay(self.disk.clone()), start.generation.clone());
                // The list is told anew; facts are facts.
                self.roster = Roster::default();
                self.told.clear();
                let facts: Vec<(String, bool)> = self.facts.clone().into_iter().collect();
                self.put(&start.generation);
                for (name, drains) in facts {
                    let member = name[2..].parse().unwrap();
                    self.fact(member, drains);
                }
            }
            Move::Fact(member, drains) => self.fact(member, drains),
        }
    }

    fn state(&self) -> (u32, BTreeSet<String>, u64, Vec<Record>, BTreeMap<String, Phase>) {
        (self.attempts, self.overrides.clone(), self.in_force, self.disk.clone(), self.told.clone())
    }

    fn look(&self) {
        // All parts in force are of one generation, the one that the machine takes to be in force unless it is
        // just being changed.
        let current = self.machine.current();
        if !matches!(self.machine.stage(), Stage::Applying | Stage::Reverting(_)) {
            assert_eq!(self.in_force, current.number);
            let wanted = current.document.limits.max_attempts.unwrap_or(1);
            assert_eq!(self.attempts, wanted, "half of a generation is in force");
            assert_eq!(self.overrides, current.document.overrides.keys().cloned().collect());
        }
        // Nothing under way: the last confirmed one is in force.
        if *self.machine.stage() == Stage::Idle {
            assert!(self.confirmed.contains(&self.in_force), "{} was never confirmed", self.in_force);
        }
        // What people are told stands is on disk.
        let told = self.machine.entries().filter(|entry| entry.fate == GenerationStatus::Confirmed);
        told.for_each(|entry| assert!(self.confirmed.contains(&entry.number), "{} is told", entry.number));
        // No change and no rollback makes a draining member take work again.
        for (name, drains) in &self.facts {
            if *drains || self.overrides.contains(name) {
                assert_eq!(self.told.get(name), Some(&Phase::Leaving), "{name} was revived");
            } else {
                assert_eq!(self.told.get(name), Some(&Phase::Active), "{name} was forgotten");
            }
        }
        assert!(self.machine.history().entries().count() <= transaction::MAX_ENTRIES);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn no_run_of_events_breaks_an_invariant(moves in prop::collection::vec(moves(), 1..60)) {
        let mut daemon = Daemon::new();
        for what in &moves {
            daemon.act(what);
            daemon.look();
        }
        // Whatever is under way comes to its end once time passes and the disk writes.
        for _ in 0..8 {
            daemon.act(&Move::Disk(true));
            daemon.act(&Move::Apply(true));
            daemon.act(&Move::Pass(2_500, false));
            daemon.look();
        }
        prop_assert_eq!(daemon.machine.stage(), &Stage::Idle);
    }
}

#[test]
fn health_is_counted_within_bounds() {
    let mut health = Health::new(0.0, 10.0);
    for n in 0..10_000u32 {
        health.record(f64::from(n) * 0.01, (n % 100) as u16, n, false, None, 0.01);
    }
    assert!(health.traffic().count() <= 5 * transaction::MAX_CELLS);
}
