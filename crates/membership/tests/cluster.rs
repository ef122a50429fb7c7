//! Clusters on a virtual network, without sockets or sleeping.

use std::collections::BTreeMap;
use std::sync::Arc;

use membership::{Identity, Notice, State, Swim};
use rstest::rstest;

fn identity(n: usize, start: u64) -> Identity {
    let address = ([127, 0, 0, 1], 7000 + n as u16).into();
    Identity { name: format!("n{n}").into(), zone: "here".into(), address, start, renewal: 0 }
}

struct Cluster {
    now: f64,
    all: Vec<Option<Swim>>,
    /// Instances in the isolated part of the network.
    isolated: Vec<bool>,
    /// Instances whose event loop does not run.
    stopped: Vec<bool>,
    in_transit: Vec<(f64, usize, Vec<u8>)>,
    loss: f64,
    rng: u64,
    declared_dead: Vec<(f64, usize, Arc<str>)>,
}

impl Cluster {
    fn new(count: usize, loss: f64) -> Cluster {
        let mut all: Vec<Option<Swim>> =
            (0..count).map(|n| Some(Swim::new(identity(n, 1), n as u64))).collect();
        for swim in all.iter_mut().flatten().skip(1) {
            swim.announce_to(0.0, &identity(0, 1));
        }
        let (isolated, stopped) = (vec![false; count], vec![false; count]);
        Cluster {
            now: 0.0,
            all,
            isolated,
            stopped,
            in_transit: Vec::new(),
            loss,
            rng: 1,
            declared_dead: Vec::new(),
        }
    }

    fn random(&mut self) -> f64 {
        self.rng = self.rng.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.01;
            if ((self.now * 100.0).round() as u64).is_multiple_of(100) {
                let now = self.now;
                self.all.iter_mut().flatten().skip(1).for_each(|swim| swim.announce_to(now, &identity(0, 1)));
            }
            for n in 0..self.all.len() {
                if self.stopped[n] {
                    continue;
                }
                let arrived: Vec<Vec<u8>> = self
                    .in_transit
                    .iter()
                    .filter(|(at, to, _)| *to == n && *at <= self.now)
                    .map(|(_, _, bytes)| bytes.clone())
                    .collect();
                let now = self.now;
                self.in_transit.retain(|(at, to, _)| *to != n || *at > now);
                let Some(swim) = &mut self.all[n] else { continue };
                arrived.iter().for_each(|bytes| swim.receive(now, bytes));
                swim.tick(now);
                let (outgoing, notices) = swim.take_output();
                for notice in notices {
                    if let Notice::Down(identity) = notice {
                        self.declared_dead.push((now, n, identity.name));
                    }
                }
                for (to, bytes) in outgoing {
                    let to: usize = to.name[1..].parse().unwrap();
                    if self.isolated[n] == self.isolated[to] && self.random() >= self.loss {
                        self.in_transit.push((now + 0.002, to, bytes));
                    }
                }
            }
        }
    }

    fn states_seen_by(&self, by: usize) -> BTreeMap<Arc<str>, State> {
        let known = self.all[by].as_ref().unwrap().instances();
        known.into_iter().map(|(name, (_, state))| (name, state)).collect()
    }
}

#[rstest]
#[case(0.0)]
#[case(0.1)]
fn all_instances_join_and_none_is_declared_dead(#[case] loss: f64) {
    let mut cluster = Cluster::new(12, loss);
    cluster.run(20.0);
    for n in 0..12 {
        assert_eq!(
            cluster.states_seen_by(n).values().filter(|state| **state != State::Dead).count(),
            11,
            "by {n}"
        );
    }
    assert!(cluster.declared_dead.is_empty(), "{:?}", cluster.declared_dead);
}

#[test]
fn isolated_instance_is_declared_dead_and_rejoins() {
    let mut cluster = Cluster::new(6, 0.0);
    cluster.run(5.0);
    cluster.isolated[5] = true;
    cluster.run(15.0);
    for n in 0..5 {
        assert_eq!(cluster.states_seen_by(n)["n5"], State::Dead, "by {n}");
    }
    cluster.isolated[5] = false;
    cluster.run(20.0);
    for n in 0..6 {
        assert!(
            cluster.states_seen_by(n).values().all(|state| *state == State::Alive),
            "{:?}",
            cluster.states_seen_by(n)
        );
    }
}

#[test]
fn stopped_instance_does_not_declare_others_dead() {
    let mut cluster = Cluster::new(6, 0.0);
    cluster.run(5.0);
    cluster.stopped[2] = true;
    cluster.run(10.0);
    cluster.stopped[2] = false;
    let before = cluster.declared_dead.len();
    cluster.run(3.0);
    let by_itself: Vec<_> = cluster.declared_dead[before..].iter().filter(|(_, by, _)| *by == 2).collect();
    assert!(by_itself.is_empty(), "it declared others dead after its own pause: {by_itself:?}");
    assert!(cluster.all[2].as_ref().unwrap().slowness() > 0);
}

#[test]
fn later_start_replaces_an_earlier_one() {
    let mut cluster = Cluster::new(4, 0.0);
    cluster.run(5.0);
    let mut restarted = Swim::new(identity(3, 2), 77);
    restarted.announce_to(cluster.now, &identity(0, 1));
    cluster.all[3] = Some(restarted);
    cluster.run(10.0);
    for n in 0..3 {
        let known = cluster.all[n].as_ref().unwrap().instances();
        assert_eq!((known["n3"].0.start, known["n3"].1), (2, State::Alive), "by {n}");
    }
}

#[test]
fn earlier_start_steps_down_on_a_name_conflict() {
    let mut earlier = Swim::new(identity(1, 5), 1);
    earlier.resolve_name_conflict(1.0, &Identity { address: ([127, 0, 0, 1], 9).into(), ..identity(1, 6) });
    assert!(earlier.has_stepped_down());
    assert_eq!(earlier.take_output().1, [Notice::Conflict]);
    let mut later = Swim::new(identity(1, 6), 1);
    later.resolve_name_conflict(1.0, &identity(1, 5));
    assert!(!later.has_stepped_down());
}
