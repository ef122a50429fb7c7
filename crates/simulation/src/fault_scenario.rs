//! Random sessions on instances that are killed, paused, shut down and partitioned at random; one seed
//! determines the run.

use crate::instances::{Instances, NetworkConfig};

/// Size and duration of a random run.
#[derive(Clone, Copy, Debug)]
pub struct FaultScenario {
    /// Number of instances.
    pub instances: usize,
    /// Number of instances that are seeds of all instances.
    pub seeds: usize,
    /// Number of sessions.
    pub sessions: usize,
    /// Duration (seconds).
    pub seconds: f64,
    /// Whether instances fail, besides the network's loss and delay.
    pub faults: bool,
}

/// Runs the scenario and returns the instances at its end.
pub fn run_fault_scenario(seed: u64, network: NetworkConfig, scenario: FaultScenario) -> Instances {
    let FaultScenario { instances: count, seeds, sessions, seconds, faults } = scenario;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut instances = Instances::new(seed, count, 2, seeds, network);
    if seeds < count {
        // Instances that are not seeds have to be found again after a restart: each stores its peers on disk.
        instances.add_disks();
    }
    for n in 0..count {
        instances.start(n);
        instances.run(0.02 * rng.f64());
    }
    instances.run(1.0);
    let until = instances.now + seconds;
    let (mut fault_at, mut repairs): (f64, Vec<(f64, usize, u8)>) = (instances.now + 0.5, Vec::new());
    while instances.now < until {
        instances.run(0.001 + 0.004 * rng.f64());
        let session = rng.usize(..sessions);
        let (a, b) = (rng.usize(..count), rng.usize(..count));
        match rng.u8(..4) {
            0 => instances.write(a, session),
            _ => instances.read(b, session),
        }
        let now = instances.now;
        let due_repairs: Vec<(f64, usize, u8)> =
            repairs.iter().filter(|(at, _, _)| *at <= now).copied().collect();
        repairs.retain(|(at, _, _)| *at > now);
        for (_, n, kind) in due_repairs {
            match kind {
                0 => instances.start(n),
                4 => {
                    // The others do not wait for an instance that has left. If it restarted behind a
                    // partition, it would work alone and no other instance could know (docs/replication.md,
                    // 'What is not covered').
                    instances.blocked_directions.clear();
                    instances.start(n);
                    fault_at = fault_at.max(now + 1.5);
                }
                1 => instances.resume(n),
                2 => instances.set_partitioned(&[n], false),
                _ => instances.blocked_directions.retain(|(a, _)| *a != n),
            }
        }
        if faults && now >= fault_at {
            fault_at = now + 0.5 + 2.0 * rng.f64();
            let (n, kind) = (rng.usize(..count), rng.u8(..5));
            if repairs.iter().any(|(_, other, _)| *other == n) {
                continue;
            }
            match kind {
                0 => instances.kill(n),
                1 => instances.pause(n),
                2 => instances.set_partitioned(&[n], true),
                3 => (0..count).filter(|m| *m != n).for_each(|m| {
                    instances.blocked_directions.insert((n, m));
                }),
                // A regular shutdown: the instance announces its leave until all others have acknowledged it
                // or the time limit of [`Instances::leave`] has passed.
                _ => {
                    instances.leave(n);
                }
            }
            repairs.push((now + 0.1 + 5.0 * rng.f64(), n, kind));
        }
    }
    instances
}
