//! The supervisor with instances that serve, crash, never become ready, or answer badly.

use std::collections::BTreeMap;

use fleet::{Action, Health, Input, Release, State, Supervisor, SupervisorConfig};
use proptest::prelude::*;

/// Behaviour of an instance once it is started.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Serves,
    Crashes,
    /// Never becomes ready.
    Hangs,
    /// Becomes ready, but half of its answers are failures.
    Harms,
}

/// Simulated host that carries out the supervisor's actions, in steps of 50 ms.
struct World {
    supervisor: Supervisor,
    now: f64,
    behaviours: BTreeMap<(usize, Release), Behaviour>,
    /// Processes: release, start time, when they were told to stop, and answers.
    running: BTreeMap<usize, (Release, f64, Option<f64>, Health)>,
    starts: Vec<(f64, usize, Release)>,
    messages: Vec<String>,
    rolled: Vec<Release>,
    max_down: usize,
}

impl World {
    fn new(config: SupervisorConfig, seed: u64) -> World {
        World {
            supervisor: Supervisor::new(config, seed, 0.0),
            now: 0.0,
            behaviours: BTreeMap::new(),
            running: BTreeMap::new(),
            starts: Vec::new(),
            messages: Vec::new(),
            rolled: Vec::new(),
            max_down: 0,
        }
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.supervisor.handle(self.now, input, &mut out);
        for action in out {
            match action {
                Action::Start(n, release) => {
                    assert!(!self.running.contains_key(&n), "{n} is started twice");
                    self.starts.push((self.now, n, release));
                    self.running.insert(n, (release, self.now, None, Health::default()));
                }
                Action::Stop(n) => {
                    let process = self.running.get_mut(&n).unwrap();
                    process.2 = Some(self.now);
                }
                Action::Kill(n) => {
                    self.running.remove(&n);
                    self.input(Input::Exited(n));
                }
                Action::Log(_, message) => self.messages.push(message),
                Action::Rolled(release) => {
                    self.rolled.push(release);
                    // The release that was rolled out is in force now: later starts use it as `Release::Old`.
                    if release == Release::New {
                        self.running.values_mut().for_each(|process| process.0 = Release::Old);
                        let behaviours: Vec<_> =
                            self.behaviours.iter().filter(|(key, _)| key.1 == Release::New).collect();
                        let behaviours: Vec<_> = behaviours
                            .into_iter()
                            .map(|(key, behaviour)| ((key.0, Release::Old), *behaviour))
                            .collect();
                        self.behaviours.extend(behaviours);
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
                let Some(&(release, started_at, told_at, health)) = self.running.get(&n) else { continue };
                let behaviour = self.behaviours.get(&(n, release)).copied().unwrap_or(Behaviour::Serves);
                if told_at.is_some_and(|at| self.now >= at + 0.3)
                    || behaviour == Behaviour::Crashes && self.now >= started_at + 0.2
                {
                    self.running.remove(&n);
                    self.input(Input::Exited(n));
                } else if told_at.is_none() && behaviour != Behaviour::Hangs && self.now >= started_at + 0.2 {
                    self.input(Input::Ready(n));
                    let not_served = health.not_served + u64::from(behaviour == Behaviour::Harms) * 5;
                    let health = Health { answers: health.answers + 10, not_served };
                    if let Some(process) = self.running.get_mut(&n) {
                        process.3 = health;
                    }
                    self.input(Input::Health(n, health));
                }
            }
            self.input(Input::Time);
            let ready = |state: &State| matches!(state, State::Ready(_));
            if self.supervisor.is_rolling() {
                let down = self.states().iter().filter(|state| !ready(state)).count();
                self.max_down = self.max_down.max(down);
            }
        }
    }

    fn states(&self) -> Vec<State> {
        self.supervisor.states().map(|(state, _, _)| state).collect()
    }

    fn releases(&self) -> Vec<Release> {
        self.running.values().map(|process| process.0).collect()
    }

    fn all_ready(&self) -> bool {
        self.states().iter().all(|state| matches!(state, State::Ready(_)))
    }
}

#[test]
fn starts_are_spread_evenly_and_reproducible_by_seed() {
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
fn restart_delay_doubles_until_the_instance_is_given_up() {
    let mut world = World::new(SupervisorConfig { instances: 200, ..SupervisorConfig::default() }, 3);
    world.behaviours.insert((17, Release::Old), Behaviour::Crashes);
    world.run(60.0);
    let starts: Vec<f64> = world.starts.iter().filter(|start| start.1 == 17).map(|start| start.0).collect();
    assert_eq!((starts.len(), world.states()[17]), (5, State::Broken));
    let delays: Vec<f64> = starts.windows(2).map(|pair| pair[1] - pair[0] - 0.2).collect();
    for (delay, limit) in delays.iter().zip([0.5, 1.0, 2.0, 4.0]) {
        assert!((limit * 0.5..limit + 0.15).contains(delay), "{delays:?}");
    }
    assert_eq!(world.starts.len(), 204, "the other instances are not restarted");
    assert!(world.messages.iter().any(|message| message.contains("not restarted any more")));
    // Once the cause is gone, `Input::Retry` starts the instance again.
    world.behaviours.clear();
    world.input(Input::Retry(17));
    world.run(1.0);
    assert!(world.all_ready());
}

#[test]
fn instance_that_is_not_ready_in_time_is_killed_and_counts_as_crashed() {
    let mut world =
        World::new(SupervisorConfig { instances: 2, ready_timeout: 1.0, ..SupervisorConfig::default() }, 3);
    world.behaviours.insert((1, Release::Old), Behaviour::Hangs);
    world.run(30.0);
    assert_eq!(world.states()[1], State::Broken);
    assert!(matches!(world.states()[0], State::Ready(_)));
}

#[test]
fn rolling_update_replaces_all_with_at_most_one_batch_down() {
    let mut world =
        World::new(SupervisorConfig { instances: 50, batch: 5, ..SupervisorConfig::default() }, 3);
    world.run(5.0);
    world.input(Input::Roll);
    world.input(Input::Roll);
    assert!(world.messages.pop().unwrap().contains("under way"));
    world.run(60.0);
    assert_eq!((world.rolled.clone(), world.max_down), (vec![Release::New], 5));
    assert!(world.all_ready());
    let new_starts = world.starts.iter().filter(|(_, _, release)| *release == Release::New).count();
    assert_eq!((world.starts.len(), new_starts), (100, 50));
    // The release that was rolled out is in force: a restart uses it.
    assert!(world.supervisor.states().all(|(_, release, _)| release == Release::Old));
}

#[test]
fn rolling_update_that_harms_in_the_third_batch_is_undone() {
    for behaviour in [Behaviour::Harms, Behaviour::Crashes, Behaviour::Hangs] {
        let config =
            SupervisorConfig { instances: 20, batch: 4, ready_timeout: 1.0, ..SupervisorConfig::default() };
        let mut world = World::new(config, 3);
        for n in 8..12 {
            world.behaviours.insert((n, Release::New), behaviour);
        }
        world.run(5.0);
        world.input(Input::Roll);
        world.run(60.0);
        assert_eq!(world.rolled, [Release::Old], "{behaviour:?}: {:?}", world.messages);
        assert!(world.all_ready(), "{behaviour:?}: {:?}", world.states());
        assert!(world.releases().iter().all(|release| *release == Release::Old));
        let touched = |n: usize| world.starts.iter().any(|start| start.1 == n && start.2 == Release::New);
        assert!(
            (0..12).all(touched) && !(12..20).any(touched),
            "{behaviour:?}: instances of later batches were touched"
        );
        assert!(
            world.messages.iter().any(|message| message.contains("stopped and undone in 12")),
            "{:?}",
            world.messages
        );
    }
}

#[test]
fn restarted_supervisor_starts_only_instances_that_are_not_running() {
    let mut world = World::new(SupervisorConfig { instances: 5, ..SupervisorConfig::default() }, 3);
    for n in [0, 1, 3] {
        world.running.insert(n, (Release::Old, 0.0, None, Health::default()));
        world.input(Input::AlreadyRunning(n));
    }
    world.run(3.0);
    let mut started: Vec<usize> = world.starts.iter().map(|start| start.1).collect();
    started.sort();
    assert_eq!(started, [2, 4]);
    world.input(Input::Stop);
    world.run(3.0);
    assert!(world.supervisor.has_stopped() && world.running.is_empty());
}

proptest! {
    /// For any behaviour of the new release: no instance is started twice (asserted by `World`), the rolling
    /// update ends, and since the old release works, all instances are ready after an undo.
    #[test]
    fn every_rolling_update_ends(
        behaviours in prop::collection::vec(0..4u8, 6),
        batch in 1..4usize,
        at in 0.0..6.0f64,
        crash in prop::option::of((0..6usize, 0.0..8.0f64)),
    ) {
        let config = SupervisorConfig { instances: 6, batch, ready_timeout: 1.0, batch_observation: 0.5, ..SupervisorConfig::default() };
        let mut world = World::new(config, 1);
        let all_behaviours = [Behaviour::Serves, Behaviour::Crashes, Behaviour::Hangs, Behaviour::Harms];
        for (n, behaviour) in behaviours.iter().enumerate() {
            world.behaviours.insert((n, Release::New), all_behaviours[usize::from(*behaviour)]);
        }
        world.run(3.0 + at);
        world.input(Input::Roll);
        if let Some((n, delay)) = crash {
            world.run(delay);
            if world.running.remove(&n).is_some() {
                world.input(Input::Exited(n));
            }
        }
        world.run(120.0);
        prop_assert!(!world.supervisor.is_rolling());
        prop_assert!(world.all_ready(), "{:?} {:?}", world.states(), world.messages);
        let release = world.rolled[0];
        prop_assert!(
            world.releases().iter().all(|running| *running == Release::Old),
            "{release:?} {:?}",
            world.releases()
        );
        if behaviours.iter().all(|behaviour| *behaviour == 0) && crash.is_none() {
            prop_assert_eq!(release, Release::New);
        }
    }
}
