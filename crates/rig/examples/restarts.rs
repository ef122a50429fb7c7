//! Sessions that move at random over instances read their own writes while the instances are killed and
//! restarted, one after another: `restarts PROGRAM INSTANCES CONTROL COUNT SESSIONS`. Prints the results;
//! exits with 1 if a read was stale.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use rig::{Load, Rig, RigConfig};

/// Delay between two restarts.
const RESTART_INTERVAL: Duration = Duration::from_millis(150);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let number = |at: usize, default: usize| args.get(at).and_then(|a| a.parse().ok()).unwrap_or(default);
    let program = args.get(1).expect("the program");
    let (instances, control, count) = (number(2, 5), number(3, 5), number(4, 300));
    let lag = Duration::from_millis(1_500);
    let config = RigConfig {
        instances,
        exchange_state: true,
        state_folders: false,
        replica_lag: lag,
        probes: false,
        control,
    };
    let mut rig = Rig::new(program, config);
    rig.wait_until_converged(Duration::from_secs(20)).expect("the instances converge");
    let addresses = rig.instances.iter().map(|instance| instance.listen).collect();
    let load = Load::new(addresses, number(5, 24), Duration::from_secs(3), 1);
    let started_at = Instant::now();
    for restart in 0..count {
        let n = restart % instances;
        rig.kill(n);
        rig.start(n);
        rig.wait_until_listening(n);
        std::thread::sleep(RESTART_INTERVAL);
    }
    let seconds = started_at.elapsed().as_secs_f64();
    let totals = load.finish();
    println!("{count} restarts in {seconds:.1} s");
    println!(
        "reads {} stale {}; later {} stale {}",
        totals.reads, totals.stale_reads, totals.delayed_reads, totals.stale_delayed_reads
    );
    println!(
        "writes {} refused {} failed {} silent {}",
        totals.writes, totals.refused, totals.failed, totals.unanswered
    );
    println!("met after {:?}", rig.wait_until_converged(Duration::from_secs(30)));
    ExitCode::from(u8::from(totals.stale_reads + totals.stale_delayed_reads > 0))
}
