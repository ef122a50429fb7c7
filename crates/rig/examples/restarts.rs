//! Reads of own writes by sessions that move at random while instances are killed and started again, one after another:
//! `restarts PROGRAM INSTANCES CONTROL COUNT SESSIONS`. Prints what came of it; ends with 1 where a read was stale.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use rig::{Load, Rig, RigConfig};

/// Pause between two restarts.
const PAUSE: Duration = Duration::from_millis(150);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let number = |at: usize, otherwise: usize| args.get(at).and_then(|a| a.parse().ok()).unwrap_or(otherwise);
    let program = args.get(1).expect("the program");
    let (instances, control, count) = (number(2, 5), number(3, 5), number(4, 300));
    let lag = Duration::from_millis(1_500);
    let shape = RigConfig {
        instances,
        exchange_state: true,
        state_folders: false,
        replica_lag: lag,
        probes: false,
        control,
    };
    let mut rig = Rig::new(program, shape);
    rig.wait_until_converged(Duration::from_secs(20)).expect("they meet");
    let places = rig.instances.iter().map(|seat| seat.listen).collect();
    let load = Load::new(places, number(5, 24), Duration::from_secs(3), 1);
    let begun = Instant::now();
    for restart in 0..count {
        let n = restart % instances;
        rig.kill(n);
        rig.start(n);
        rig.wait_until_listening(n);
        std::thread::sleep(PAUSE);
    }
    let seconds = begun.elapsed().as_secs_f64();
    let sums = load.finish();
    println!("{count} restarts in {seconds:.1} s");
    println!(
        "reads {} stale {}; later {} stale {}",
        sums.reads, sums.stale_reads, sums.delayed_reads, sums.stale_delayed_reads
    );
    println!(
        "writes {} refused {} failed {} silent {}",
        sums.writes, sums.refused, sums.failed, sums.unanswered
    );
    println!("met after {:?}", rig.wait_until_converged(Duration::from_secs(30)));
    ExitCode::from(u8::from(sums.stale_reads + sums.stale_delayed_reads > 0))
}
