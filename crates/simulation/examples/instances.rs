//! Measures the traffic of instances that exchange state, and how soon they converge: `instances storm
//! SEEDS`, `heal COUNT LOSS SEEDS`, `drain COUNT LOSS SEEDS`, `cost COUNT`, `alarms COUNT SECONDS`. Prints
//! one line per figure.

use replication::fact::MemberStatus;
use simulation::fault_scenario::{run_fault_scenario, FaultScenario};
use simulation::instances::{Instances, NetworkConfig};

fn network(loss: f64) -> NetworkConfig {
    NetworkConfig { loss, ..NetworkConfig::default() }
}

fn print_quantiles(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let quantile =
        |q: f64| values.get(((values.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or(f64::NAN);
    println!(
        "{name}: p50 {:.3} p99 {:.3} max {:.3} of {}",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        values.len()
    );
}

/// Starts the instances within a second and runs them until they have converged, for 30 s at most.
fn start_converged(seed: u64, count: usize, loss: f64) -> Instances {
    let mut instances = Instances::new(seed, count, 3, 3, network(loss));
    for n in 0..count {
        instances.start(n);
        instances.run(1.0 / count as f64);
    }
    let started_at = instances.now;
    while !instances.is_converged() && instances.now - started_at < 30.0 {
        instances.run(0.1);
    }
    println!("  converged {:.1} s after the last start", instances.now - started_at);
    instances
}

fn heal(count: usize, loss: f64, seeds: u64) {
    let (mut times, mut bytes) = (Vec::new(), Vec::new());
    for seed in 0..seeds {
        let mut instances = start_converged(seed, count, loss);
        let partitioned: Vec<usize> = (0..count / 3).collect();
        instances.set_partitioned(&partitioned, true);
        let partition_time = if count > 100 { 8.0 } else { 30.0 };
        let until = instances.now + partition_time;
        let mut session = 0;
        while instances.now < until {
            instances.run(0.05);
            session += 1;
            instances.write(session % count, session);
        }
        instances.run(1.0);
        let (before, started_at) = (instances.sent_bytes().0, instances.now);
        instances.set_partitioned(&partitioned, false);
        while !instances.is_converged() && instances.now - started_at < 30.0 {
            instances.run(0.02);
        }
        times.push(instances.now - started_at);
        bytes.push((instances.sent_bytes().0 - before) as f64 / 1e6);
    }
    print_quantiles(&format!("heal {count} instances, loss {loss}: seconds"), times);
    print_quantiles(&format!("heal {count} instances, loss {loss}: MB sent by all"), bytes);
}

fn drain(count: usize, loss: f64, seeds: u64) {
    let mut times = Vec::new();
    let mut instances = start_converged(1, count, loss);
    for seed in 0..seeds {
        let (member, reporter) = (format!("s-{seed}"), seed as usize % count);
        let started_at = instances.now;
        instances.with_node(reporter, |node, now| {
            node.report_member_status(now, &member, 0.0, 1, seed + 1, MemberStatus::Draining)
        });
        let knows_drain = |instances: &mut Instances, n: usize| {
            instances.node(n).is_some_and(|node| node.member_status(&member, 0.0) == MemberStatus::Draining)
        };
        let mut pending: Vec<usize> = (0..count).collect();
        while !pending.is_empty() && instances.now - started_at < 10.0 {
            instances.run(0.005);
            pending.retain(|n| !knows_drain(&mut instances, *n));
        }
        times.push(instances.now - started_at);
        instances.run(0.2);
    }
    print_quantiles(
        &format!("drain {count} instances, loss {loss}: seconds until all instances know"),
        times,
    );
}

fn cost(count: usize) {
    let mut instances = start_converged(1, count, 0.0);
    for busy in [false, true] {
        let (sent_before, far_before, started_at) =
            (instances.sent_bytes().0, instances.sent_bytes().1, instances.now);
        let wall_clock = std::time::Instant::now();
        let seconds = if count > 100 { 2.0 } else { 10.0 };
        while instances.now - started_at < seconds {
            // Twelve requests per second at each instance, four of them writes.
            if busy {
                for n in 0..count {
                    let session = (instances.now * 1e3) as usize % 1_000 + n * 1_000;
                    instances.write(n, session);
                    instances.read(n, session);
                    instances.read((n + 1) % count, session);
                }
                instances.run(0.25);
            } else {
                instances.run(0.25);
            }
        }
        let instance_seconds = (instances.now - started_at) * count as f64;
        println!(
            "cost {count} instances, busy {busy}: {:.0} bytes/s an instance, {:.0} of them to other zones, {:.2}% of a core here",
            (instances.sent_bytes().0 - sent_before) as f64 / instance_seconds,
            (instances.sent_bytes().1 - far_before) as f64 / instance_seconds,
            100.0 * wall_clock.elapsed().as_secs_f64() / instance_seconds
        );
    }
}

fn alarms(count: usize, seconds: f64) {
    let mut instances = start_converged(3, count, 0.1);
    let started_at = instances.now;
    let mut rng = fastrand::Rng::with_seed(3);
    while instances.now - started_at < seconds {
        let n = rng.usize(..count);
        instances.pause(n);
        instances.run(0.5);
        instances.resume(n);
        instances.run(4.5);
    }
    let kind = |notice: &replication::Notice| match notice {
        replication::Notice::Suspected(_) => Some("called dead"),
        replication::Notice::Unreachable(_) => Some("missing"),
        _ => None,
    };
    println!(
        "alarms {count} instances, 10% loss, stops of 0.5 s every 5 s: in {seconds} s {:?}",
        instances.count_notices(kind)
    );
    let mut times = Vec::new();
    for n in 1..count.min(8) {
        instances.notices.clear();
        let started_at = instances.now;
        instances.kill(n);
        let observer_count = |instances: &Instances| {
            let name = format!("n{n}");
            let mut observers: Vec<usize> = instances
                .notices
                .iter()
                .filter(
                    |(_, _, notice)| matches!(notice, replication::Notice::Unreachable(who) if **who == *name),
                )
                .map(|(_, observer, _)| *observer)
                .collect();
            observers.sort_unstable();
            observers.dedup();
            observers.len()
        };
        while observer_count(&instances) < count - 1 && instances.now - started_at < 20.0 {
            instances.run(0.05);
        }
        times.push(instances.now - started_at);
        instances.start(n);
        instances.run(3.0);
    }
    print_quantiles(
        &format!("detection {count} instances: seconds until all others report it unreachable"),
        times,
    );
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |at: usize, default: f64| args.get(at).and_then(|a| a.parse().ok()).unwrap_or(default);
    match args.get(1).map(String::as_str) {
        Some("storm") => {
            let mut reads = 0;
            for seed in 0..number(2, 100.0) as u64 {
                let faulty_network = NetworkConfig { loss: 0.1, duplication: 0.1, latency: (0.000_2, 0.003), extra_delay: (0.05, 0.4) };
                let network = if seed % 2 == 0 { faulty_network } else { NetworkConfig::default() };
                let instances = 2 + seed as usize % 5;
                // In two of three runs at most two instances are seeds; the others find each other through
                // them.
                let seeds = if seed % 3 == 0 { instances } else { instances.min(2) };
                let scenario = FaultScenario { instances, seeds, sessions: 100, seconds: 40.0, faults: true };
                let result = run_fault_scenario(seed, network, scenario);
                reads += result.totals.reads;
                if !result.breaches.is_empty() {
                    println!("seed {seed}, {instances} instances, {seeds} seeds: {:#?}", &result.breaches[..1]);
                }
            }
            println!("{reads} reads");
        }
        Some("heal") => heal(number(2, 20.0) as usize, number(3, 0.0), number(4, 3.0) as u64),
        Some("drain") => drain(number(2, 20.0) as usize, number(3, 0.0), number(4, 20.0) as u64),
        Some("cost") => cost(number(2, 20.0) as usize),
        Some("alarms") => alarms(number(2, 10.0) as usize, number(3, 600.0)),
        _ => eprintln!("instances storm SEEDS | heal COUNT LOSS SEEDS | drain COUNT LOSS SEEDS | cost COUNT | alarms COUNT SECONDS"),
    }
}
