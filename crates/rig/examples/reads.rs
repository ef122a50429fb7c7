//! Sessions that move at random over instances read their own writes while instances are killed, paused and
//! isolated. The instances exchange state (`talk`), run without it (`alone`), or use a number of control
//! instances (CONTROL), which are killed and paused as well.
//!
//! `reads PROGRAM INSTANCES SECONDS SEED talk|alone|CONTROL SESSIONS`. Prints the faults and the results; the
//! schedule is drawn from the seed.

use std::time::{Duration, Instant};

use rig::{Load, Rig, RigConfig};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |at: usize, default: u64| args.get(at).and_then(|a| a.parse().ok()).unwrap_or(default);
    let program = args.get(1).expect("the program");
    let (instances, seconds, seed) = (number(2, 3) as usize, number(3, 30), number(4, 1));
    let control = number(5, 0) as usize;
    let exchange_state = args.get(5).is_none_or(|word| word != "alone");
    let sessions = number(6, 24) as usize;
    let config = RigConfig {
        instances,
        exchange_state,
        state_folders: false,
        replica_lag: Duration::from_millis(1_500),
        probes: false,
        control,
    };
    let mut rig = Rig::new(program, config);
    if exchange_state {
        rig.wait_until_converged(Duration::from_secs(20)).expect("the instances converge");
    }
    let addresses = rig.instances.iter().map(|instance| instance.listen).collect();
    let load = Load::new(addresses, sessions, Duration::from_secs(3), seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(seconds) {
        std::thread::sleep(Duration::from_millis(1_500));
        let fault_kinds = if control > 0 { 6 } else { 4 };
        let (n, kind) = (rng.usize(..instances), rng.u8(..if exchange_state { fault_kinds } else { 2 }));
        let control_index = if control > 0 { rng.usize(..control) } else { 0 };
        let action = ["kill", "stop", "cut", "stop", "kill control", "stop control"][kind as usize];
        let target = if kind < 4 { format!("n{n}") } else { format!("c{control_index}") };
        println!("{:.1} s: {action} {target}", started_at.elapsed().as_secs_f64());
        match (kind, &mut rig.control) {
            (0, _) => rig.kill(n),
            (2, _) => set_isolated(&rig, n, true),
            (4, Some(control)) => control.kill(control_index),
            (5, Some(control)) => control.set_stopped(control_index, true),
            _ => rig.set_stopped(n, true),
        }
        std::thread::sleep(Duration::from_secs(2));
        match (kind, &mut rig.control) {
            (0, _) => rig.start(n),
            (2, _) => set_isolated(&rig, n, false),
            (4, Some(control)) => control.start(control_index),
            (5, Some(control)) => control.set_stopped(control_index, false),
            _ => rig.set_stopped(n, false),
        }
    }
    let totals = load.finish();
    let count = |counter: &std::sync::atomic::AtomicU64| counter.load(std::sync::atomic::Ordering::Relaxed);
    let (replica_reads, primary_reads) = (count(&rig.store.replica_reads), count(&rig.store.primary_reads));
    println!(
        "reads at once {} stale {}; later {} stale {}",
        totals.reads, totals.stale_reads, totals.delayed_reads, totals.stale_delayed_reads
    );
    println!("at the replica {replica_reads}, at the primary {primary_reads}");
    let latency_ms = |q| totals.write_latency_us.value_at_quantile(q) as f64 / 1e3;
    println!("writes {} p50 {:.1} ms p99 {:.1} ms", totals.writes, latency_ms(0.5), latency_ms(0.99));
    println!("refused {} failed {} silent {}", totals.refused, totals.failed, totals.unanswered);
    if exchange_state {
        println!("met after {:?}", rig.wait_until_converged(Duration::from_secs(30)));
    }
}

/// Isolates an instance from all others and from the control instances, or ends the isolation.
fn set_isolated(rig: &Rig, n: usize, isolated: bool) {
    rig.change_faults_between(&[n], |faults| faults.block = isolated);
    if let Some(control) = &rig.control {
        (0..control.count())
            .for_each(|other| control.change_faults_between(n, other, |faults| faults.block = isolated));
    }
}
