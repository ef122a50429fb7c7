//! Instances that exchange state, through crashes, pauses and partitions: a session never reads data older
//! than its own write.

use replication::ReadRequirement;
use rstest::rstest;
use simulation::fault_scenario::FaultScenario;
use simulation::instances::{Instances, NetworkConfig};

fn faulty_network() -> NetworkConfig {
    NetworkConfig { loss: 0.1, duplication: 0.1, latency: (0.000_2, 0.003), extra_delay: (0.05, 0.4) }
}

/// Runs random sessions on random instances with random faults; the seed determines the run.
fn run_scenario(seed: u64, count: usize, network: NetworkConfig, seconds: f64, faults: bool) -> Instances {
    let scenario = FaultScenario { instances: count, seeds: count.min(3), sessions: 200, seconds, faults };
    simulation::fault_scenario::run_fault_scenario(seed, network, scenario)
}

#[test]
fn without_faults_nothing_is_refused_and_few_writes_wait() {
    let instances = run_scenario(1, 5, NetworkConfig::default(), 20.0, false);
    let totals = instances.totals;
    assert_eq!((totals.stale, totals.refused, totals.lost), (0, 0, 0), "{totals:?}");
    assert!(totals.reads > 3_000 && totals.waited * 50 < totals.answered, "{totals:?}");
}

#[rstest]
fn sessions_read_their_own_writes_under_faults(#[values(3, 5)] count: usize) {
    for seed in 0..12 {
        let network = if seed % 2 == 0 { faulty_network() } else { NetworkConfig::default() };
        let instances = run_scenario(seed, count, network, 30.0, true);
        println!("{count} instances, seed {seed}: {:?}", instances.totals);
        assert!(instances.breaches.is_empty(), "seed {seed}: {:#?}", instances.breaches);
    }
}

#[test]
fn same_seed_gives_same_run() {
    let run = || run_scenario(5, 4, faulty_network(), 5.0, true).trace();
    assert_eq!(run(), run());
}

/// Guards against start-up traffic that grows with the cube of the number of instances, which came about when
/// each instance announced every instance that it met to all others.
#[test]
fn simultaneous_start_converges_with_bounded_traffic() {
    let count = 80;
    let mut instances =
        Instances::new(1, count, 3, 3, NetworkConfig { loss: 0.1, ..NetworkConfig::default() });
    for n in 0..count {
        instances.start(n);
        instances.run(0.5 / count as f64);
    }
    let started_at = instances.now;
    while !instances.is_converged() && instances.now - started_at < 10.0 {
        instances.run(0.1);
    }
    assert!(instances.is_converged(), "all instances hold the same facts");
    let bytes_per_pair = instances.sent_bytes().0 as f64 / (count * count) as f64;
    // Convergence is enough for leases: a read of a session then gets a position.
    let can_read_at_position = |instances: &mut Instances| {
        instances
            .with_node(7, |node, now| matches!(node.read_requirement(now, "s"), ReadRequirement::AtLeast(_)))
    };
    while can_read_at_position(&mut instances) != Some(true) && instances.now - started_at < 10.0 {
        instances.run(0.05);
    }
    assert_eq!(can_read_at_position(&mut instances), Some(true));
    println!("{bytes_per_pair:.0} bytes per pair, converged after {:.1} s", instances.now - started_at);
    assert!(bytes_per_pair < 4_200.0, "{bytes_per_pair:.0} bytes per pair");
}
