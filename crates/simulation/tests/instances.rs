//! Instances that talk, through crashes, stops and cuts: no session reads what is older than its own write.

use replication::ReadRequirement;
use rstest::rstest;
use simulation::fault_scenario::FaultScenario;
use simulation::instances::{Instances, NetworkConfig};

fn rough() -> NetworkConfig {
    NetworkConfig { loss: 0.1, duplication: 0.1, latency: (0.000_2, 0.003), extra_delay: (0.05, 0.4) }
}

/// Random sessions over random instances under random faults, drawn by the seed.
fn storm(seed: u64, count: usize, net: NetworkConfig, seconds: f64, faults: bool) -> Instances {
    let shape = FaultScenario { instances: count, seeds: count.min(3), sessions: 200, seconds, faults };
    simulation::fault_scenario::run_fault_scenario(seed, net, shape)
}

#[test]
fn without_faults_reads_stay_near_and_writes_wait_for_nobody() {
    let all = storm(1, 5, NetworkConfig::default(), 20.0, false);
    let tally = all.totals;
    assert_eq!((tally.stale, tally.refused, tally.lost), (0, 0, 0), "{tally:?}");
    assert!(tally.reads > 3_000 && tally.waited * 50 < tally.answered, "{tally:?}");
}

#[rstest]
fn no_session_reads_what_is_older_than_its_own_write(#[values(3, 5)] count: usize) {
    for seed in 0..12 {
        let net = if seed % 2 == 0 { rough() } else { NetworkConfig::default() };
        let all = storm(seed, count, net, 30.0, true);
        println!("{count} instances, seed {seed}: {:?}", all.totals);
        assert!(all.breaches.is_empty(), "seed {seed}: {:#?}", all.breaches);
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || storm(5, 4, rough(), 5.0, true).trace();
    assert_eq!(run(), run());
}

/// Guards against a start of many that grows with the cube of their number: each named all that it met to all.
#[test]
fn many_that_start_together_know_each_other_without_naming_all_to_all() {
    let count = 80;
    let mut all = Instances::new(1, count, 3, 3, NetworkConfig { loss: 0.1, ..NetworkConfig::default() });
    for n in 0..count {
        all.start(n);
        all.run(0.5 / count as f64);
    }
    let begun = all.now;
    while !all.is_converged() && all.now - begun < 10.0 {
        all.run(0.1);
    }
    assert!(all.is_converged(), "they know the same");
    let each = all.sent_bytes().0 as f64 / (count * count) as f64;
    // And that is enough for leases: a read of a session goes by what is known.
    let knows = |all: &mut Instances| {
        all.with_node(7, |node, now| matches!(node.read_requirement(now, "s"), ReadRequirement::AtLeast(_)))
    };
    while knows(&mut all) != Some(true) && all.now - begun < 10.0 {
        all.run(0.05);
    }
    assert_eq!(knows(&mut all), Some(true));
    println!("{each:.0} bytes for each pair, equal after {:.1} s", all.now - begun);
    assert!(each < 4_200.0, "{each:.0} bytes for each pair");
}
