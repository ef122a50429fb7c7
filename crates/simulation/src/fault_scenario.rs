//! Sessions that move at random over instances that are killed, stopped and cut at random, all drawn by one seed.

use crate::instances::{Instances, NetworkConfig};

/// A storm's bounds.
#[derive(Clone, Copy, Debug)]
pub struct FaultScenario {
    /// Instances, those of them that all know as seeds, and sessions.
    pub instances: usize,
    /// See above.
    pub seeds: usize,
    /// See above.
    pub sessions: usize,
    /// How long it lasts (seconds).
    pub seconds: f64,
    /// Whether there are faults besides the network's.
    pub faults: bool,
}

/// Plays it.
pub fn run_fault_scenario(seed: u64, net: NetworkConfig, shape: FaultScenario) -> Instances {
    let FaultScenario { instances: count, seeds, sessions, seconds, faults } = shape;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut all = Instances::new(seed, count, 2, seeds, net);
    if seeds < count {
        // Those that are no seeds of anybody's are remembered on disk.
        all.add_disks();
    }
    for n in 0..count {
        all.start(n);
        all.run(0.02 * rng.f64());
    }
    all.run(1.0);
    let until = all.now + seconds;
    let (mut fault_at, mut mend): (f64, Vec<(f64, usize, u8)>) = (all.now + 0.5, Vec::new());
    while all.now < until {
        all.run(0.001 + 0.004 * rng.f64());
        let session = rng.usize(..sessions);
        let (a, b) = (rng.usize(..count), rng.usize(..count));
        match rng.u8(..4) {
            0 => all.write(a, session),
            _ => all.read(b, session),
        }
        let now = all.now;
        let due: Vec<(f64, usize, u8)> = mend.iter().filter(|(at, _, _)| *at <= now).copied().collect();
        mend.retain(|(at, _, _)| *at > now);
        for (_, n, kind) in due {
            match kind {
                0 => all.start(n),
                4 => {
                    // One that has left is nobody's concern any more: should it start again where nobody hears of it, and
                    // go on alone, nobody could know (docs/replication.md, 'What is not covered').
                    all.blocked_directions.clear();
                    all.start(n);
                    fault_at = fault_at.max(now + 1.5);
                }
                1 => all.resume(n),
                2 => all.set_partitioned(&[n], false),
                _ => all.blocked_directions.retain(|(a, _)| *a != n),
            }
        }
        if faults && now >= fault_at {
            fault_at = now + 0.5 + 2.0 * rng.f64();
            let (n, kind) = (rng.usize(..count), rng.u8(..5));
            if mend.iter().any(|(_, other, _)| *other == n) {
                continue;
            }
            match kind {
                0 => all.kill(n),
                1 => all.pause(n),
                2 => all.set_partitioned(&[n], true),
                3 => (0..count).filter(|m| *m != n).for_each(|m| {
                    all.blocked_directions.insert((n, m));
                }),
                // It ends as it should: it says so until all have read it, or its patience ends.
                _ => {
                    all.leave(n);
                }
            }
            mend.push((now + 0.1 + 5.0 * rng.f64(), n, kind));
        }
    }
    all
}
