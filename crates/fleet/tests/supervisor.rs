//! The supervisor against instances that come up, crash, hang and answer badly.

use std::collections::BTreeMap;

use fleet::{Action, Health, Input, Release, State, Supervisor, SupervisorConfig};
use proptest::prelude::*;

/// How an instance behaves once it is started.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Well,
    Crashes,
    /// It never becomes ready.
    Hangs,
    /// It serves, and half of its answers are bad.
    Harms,
}

/// A machine on which the supervisor's actions are carried out, a step of 50 ms at a time.
struct World {
    supervisor: Supervisor,
    now: f64,
    ways: BTreeMap<(usize, Release), Way>,
    /// Processes: of which form, since when, whether told to end, what they have answered.
    running: BTreeMap<usize, (Release, f64, Option<f64>, Health)>,
    starts: Vec<(f64, usize, Release)>,
    notes: Vec<String>,
    rolled: Vec<Release>,
    most_down: usize,
}

impl World {
    fn new(terms: SupervisorConfig, seed: u64) -> World {
        World {
            supervisor: Supervisor::new(terms, seed, 0.0),
            now: 0.0,
            ways: BTreeMap::new(),
            running: BTreeMap::new(),
            starts: Vec::new(),
            notes: Vec::new(),
            rolled: Vec::new(),
            most_down: 0,
        }
    }

    fn tell(&mut self, input: Input) {
        let mut out = Vec::new();
        self.supervisor.handle(self.now, input, &mut out);
        for action in out {
            match action {
                Action::Start(n, form) => {
                    assert!(!self.running.contains_key(&n), "{n} is started twice");
                    self.starts.push((self.now, n, form));
                    self.running.insert(n, (form, self.now, None, Health::default()));
                }
                Action::Stop(n) => {
                    let process = self.running.get_mut(&n).unwrap();
                    process.2 = Some(self.now);
                }
                Action::Kill(n) => {
                    self.running.remove(&n);
                    self.tell(Input::Exited(n));
                }
                Action::Log(_, words) => self.notes.push(words),
                Action::Rolled(form) => {
                    self.rolled.push(form);
                    // What is rolled out holds from now on: who starts later starts in it under the name of the old.
                    if form == Release::New {
                        self.running.values_mut().for_each(|process| process.0 = Release::Old);
                        let ways: Vec<_> =
                            self.ways.iter().filter(|(key, _)| key.1 == Release::New).collect();
                        let ways: Vec<_> =
                            ways.into_iter().map(|(key, way)| ((key.0, Release::Old), *way)).collect();
                        self.ways.extend(ways);
                    }
                }
                Action::Timer(_) => {}
            }
        }
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.05;
            for n in self.running.keys().copied().collect::<Vec<_>>() {
                let Some(&(form, since, told, health)) = self.running.get(&n) else { continue };
                let way = self.ways.get(&(n, form)).copied().unwrap_or(Way::Well);
                if told.is_some_and(|at| self.now >= at + 0.3)
                    || way == Way::Crashes && self.now >= since + 0.2
                {
                    self.running.remove(&n);
                    self.tell(Input::Exited(n));
                } else if told.is_none() && way != Way::Hangs && self.now >= since + 0.2 {
                    self.tell(Input::Ready(n));
                    let bad = health.not_served + u64::from(way == Way::Harms) * 5;
                    let health = Health { answers: health.answers + 10, not_served: bad };
                    if let Some(process) = self.running.get_mut(&n) {
                        process.3 = health;
                    }
                    self.tell(Input::Health(n, health));
                }
            }
            self.tell(Input::Time);
            let ready = |state: &State| matches!(state, State::Ready(_));
            if self.supervisor.is_rolling() {
                let down = self.states().iter().filter(|state| !ready(state)).count();
                self.most_down = self.most_down.max(down);
            }
        }
    }

    fn states(&self) -> Vec<State> {
        self.supervisor.states().map(|(state, _, _)| state).collect()
    }

    fn forms(&self) -> Vec<Release> {
        self.running.values().map(|process| process.0).collect()
    }

    fn all_ready(&self) -> bool {
        self.states().iter().all(|state| matches!(state, State::Ready(_)))
    }
}

#[test]
fn starts_are_spread_and_the_same_for_the_same_seed() {
    let starts = |seed| {
        let mut world =
            World::new(SupervisorConfig { instances: 40, spread: 10.0, ..SupervisorConfig::default() }, seed);
        world.run(11.0);
        assert!(world.all_ready());
        world.starts
    };
    let first = starts(7);
    assert_eq!(first, starts(7));
    assert_ne!(first, starts(8));
    for second in 0..10 {
        let within = |at: &&(f64, usize, Release)| at.0 >= f64::from(second) && at.0 < f64::from(second + 1);
        let count = first.iter().filter(within).count();
        assert!((3..=5).contains(&count), "{count} in second {second}");
    }
}

#[test]
fn one_that_crashes_waits_longer_each_time_and_is_left_alone_in_the_end() {
    let mut world = World::new(SupervisorConfig { instances: 200, ..SupervisorConfig::default() }, 3);
    world.ways.insert((17, Release::Old), Way::Crashes);
    world.run(60.0);
    let starts: Vec<f64> = world.starts.iter().filter(|start| start.1 == 17).map(|start| start.0).collect();
    assert_eq!((starts.len(), world.states()[17]), (5, State::Broken));
    let waits: Vec<f64> = starts.windows(2).map(|pair| pair[1] - pair[0] - 0.2).collect();
    for (wait, most) in waits.iter().zip([0.5, 1.0, 2.0, 4.0]) {
        assert!((most * 0.5..most + 0.15).contains(wait), "{waits:?}");
    }
    assert_eq!(world.starts.len(), 204, "the others are not touched");
    assert!(world.notes.iter().any(|note| note.contains("left alone")));
    // Mended and asked for, it is tried again.
    world.ways.clear();
    world.tell(Input::Retry(17));
    world.run(1.0);
    assert!(world.all_ready());
}

#[test]
fn one_that_does_not_come_up_is_killed_and_counts_as_a_crash() {
    let mut world =
        World::new(SupervisorConfig { instances: 2, ready_timeout: 1.0, ..SupervisorConfig::default() }, 3);
    world.ways.insert((1, Release::Old), Way::Hangs);
    world.run(30.0);
    assert_eq!(world.states()[1], State::Broken);
    assert!(matches!(world.states()[0], State::Ready(_)));
}

#[test]
fn a_roll_replaces_all_and_never_more_than_a_batch_is_down() {
    let mut world =
        World::new(SupervisorConfig { instances: 50, batch: 5, ..SupervisorConfig::default() }, 3);
    world.run(5.0);
    world.tell(Input::Roll);
    world.tell(Input::Roll);
    assert!(world.notes.pop().unwrap().contains("under way"));
    world.run(60.0);
    assert_eq!((world.rolled.clone(), world.most_down), (vec![Release::New], 5));
    assert!(world.all_ready());
    let new = world.starts.iter().filter(|(_, _, form)| *form == Release::New).count();
    assert_eq!((world.starts.len(), new), (100, 50));
    // What was rolled out is what holds: one that ends is started in that form.
    assert!(world.supervisor.states().all(|(_, form, _)| form == Release::Old));
}

#[test]
fn a_roll_that_harms_in_the_third_batch_is_undone() {
    for way in [Way::Harms, Way::Crashes, Way::Hangs] {
        let terms =
            SupervisorConfig { instances: 20, batch: 4, ready_timeout: 1.0, ..SupervisorConfig::default() };
        let mut world = World::new(terms, 3);
        for n in 8..12 {
            world.ways.insert((n, Release::New), way);
        }
        world.run(5.0);
        world.tell(Input::Roll);
        world.run(60.0);
        assert_eq!(world.rolled, [Release::Old], "{way:?}: {:?}", world.notes);
        assert!(world.all_ready(), "{way:?}: {:?}", world.states());
        assert!(world.forms().iter().all(|form| *form == Release::Old));
        let touched = |n: usize| world.starts.iter().any(|start| start.1 == n && start.2 == Release::New);
        assert!((0..12).all(touched) && !(12..20).any(touched), "{way:?}: the rest was left");
        assert!(
            world.notes.iter().any(|note| note.contains("stopped and undone in 12")),
            "{:?}",
            world.notes
        );
    }
}

#[test]
fn a_supervisor_that_comes_back_starts_only_what_is_not_there() {
    let mut world = World::new(SupervisorConfig { instances: 5, ..SupervisorConfig::default() }, 3);
    for n in [0, 1, 3] {
        world.running.insert(n, (Release::Old, 0.0, None, Health::default()));
        world.tell(Input::AlreadyRunning(n));
    }
    world.run(3.0);
    let mut started: Vec<usize> = world.starts.iter().map(|start| start.1).collect();
    started.sort();
    assert_eq!(started, [2, 4]);
    world.tell(Input::Stop);
    world.run(3.0);
    assert!(world.supervisor.has_stopped() && world.running.is_empty());
}

proptest! {
    /// Whatever instances do and whatever is asked when: none is started twice (the world looks), a roll comes to its
    /// end, and where the old form is sound all are ready after an undo.
    #[test]
    fn every_roll_ends(
        ways in prop::collection::vec(0..4u8, 6),
        batch in 1..4usize,
        at in 0.0..6.0f64,
        crash in prop::option::of((0..6usize, 0.0..8.0f64)),
    ) {
        let terms = SupervisorConfig { instances: 6, batch, ready_timeout: 1.0, batch_observation: 0.5, ..SupervisorConfig::default() };
        let mut world = World::new(terms, 1);
        let kinds = [Way::Well, Way::Crashes, Way::Hangs, Way::Harms];
        for (n, way) in ways.iter().enumerate() {
            world.ways.insert((n, Release::New), kinds[usize::from(*way)]);
        }
        world.run(3.0 + at);
        world.tell(Input::Roll);
        if let Some((n, after)) = crash {
            world.run(after);
            if world.running.remove(&n).is_some() {
                world.tell(Input::Exited(n));
            }
        }
        world.run(120.0);
        prop_assert!(!world.supervisor.is_rolling());
        prop_assert!(world.all_ready(), "{:?} {:?}", world.states(), world.notes);
        let form = world.rolled[0];
        prop_assert!(world.forms().iter().all(|one| *one == Release::Old), "{form:?} {:?}", world.forms());
        if ways.iter().all(|way| *way == 0) && crash.is_none() {
            prop_assert_eq!(form, Release::New);
        }
    }
}
