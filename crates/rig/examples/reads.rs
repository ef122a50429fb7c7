//! Reads of own writes by sessions that move at random over instances under kills, stops and cuts: with talk among the
//! instances, alone, or with so many control instances, which are killed and stopped as well.
//! `reads PROGRAM INSTANCES SECONDS SEED talk|alone|CONTROL SESSIONS`. Prints what came of it; the schedule is drawn by the seed.

use std::time::{Duration, Instant};

use rig::{Load, Rig, RigConfig};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |at: usize, otherwise: u64| args.get(at).and_then(|a| a.parse().ok()).unwrap_or(otherwise);
    let program = args.get(1).expect("the program");
    let (instances, seconds, seed) = (number(2, 3) as usize, number(3, 30), number(4, 1));
    let control = number(5, 0) as usize;
    let talk = args.get(5).is_none_or(|word| word != "alone");
    let sessions = number(6, 24) as usize;
    let shape = RigConfig {
        instances,
        exchange_state: talk,
        state_folders: false,
        replica_lag: Duration::from_millis(1_500),
        probes: false,
        control,
    };
    let mut rig = Rig::new(program, shape);
    if talk {
        rig.wait_until_converged(Duration::from_secs(20)).expect("they meet");
    }
    let places = rig.instances.iter().map(|seat| seat.listen).collect();
    let load = Load::new(places, sessions, Duration::from_secs(3), seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(seconds) {
        std::thread::sleep(Duration::from_millis(1_500));
        let kinds = if control > 0 { 6 } else { 4 };
        let (n, kind) = (rng.usize(..instances), rng.u8(..if talk { kinds } else { 2 }));
        let of_control = if control > 0 { rng.usize(..control) } else { 0 };
        let words = ["kill", "stop", "cut", "stop", "kill control", "stop control"][kind as usize];
        let place = if kind < 4 { format!("n{n}") } else { format!("c{of_control}") };
        println!("{:.1} s: {words} {place}", begun.elapsed().as_secs_f64());
        match (kind, &mut rig.control) {
            (0, _) => rig.kill(n),
            (2, _) => cut(&rig, n, true),
            (4, Some(control)) => control.kill(of_control),
            (5, Some(control)) => control.set_stopped(of_control, true),
            _ => rig.set_stopped(n, true),
        }
        std::thread::sleep(Duration::from_secs(2));
        match (kind, &mut rig.control) {
            (0, _) => rig.start(n),
            (2, _) => cut(&rig, n, false),
            (4, Some(control)) => control.start(of_control),
            (5, Some(control)) => control.set_stopped(of_control, false),
            _ => rig.set_stopped(n, false),
        }
    }
    let sums = load.finish();
    let count = |counter: &std::sync::atomic::AtomicU64| counter.load(std::sync::atomic::Ordering::Relaxed);
    let (near, far) = (count(&rig.store.replica_reads), count(&rig.store.primary_reads));
    println!(
        "reads at once {} stale {}; later {} stale {}",
        sums.reads, sums.stale_reads, sums.delayed_reads, sums.stale_delayed_reads
    );
    println!("at the replica {near}, at the primary {far}");
    let took = |q| sums.write_latency_us.value_at_quantile(q) as f64 / 1e3;
    println!("writes {} p50 {:.1} ms p99 {:.1} ms", sums.writes, took(0.5), took(0.99));
    println!("refused {} failed {} silent {}", sums.refused, sums.failed, sums.unanswered);
    if talk {
        println!("met after {:?}", rig.wait_until_converged(Duration::from_secs(30)));
    }
}

/// Cuts an instance off from all others, and from the control instances, or lets it be again.
fn cut(rig: &Rig, n: usize, cut: bool) {
    rig.change_faults_between(&[n], |faults| faults.block = cut);
    if let Some(control) = &rig.control {
        (0..control.count())
            .for_each(|other| control.change_faults_between(n, other, |faults| faults.block = cut));
    }
}
