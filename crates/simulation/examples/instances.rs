//! What instances that talk cost and how soon they meet: `instances storm SEEDS`, `heal COUNT LOSS SEEDS`,
//! `drain COUNT LOSS SEEDS`, `cost COUNT`, `alarms COUNT SECONDS`, `catch SESSIONS`. Prints a line for each figure.

use replication::fact::MemberStatus;
use simulation::fault_scenario::{run_fault_scenario, FaultScenario};
use simulation::instances::{Instances, NetworkConfig};

fn net(loss: f64) -> NetworkConfig {
    NetworkConfig { loss, ..NetworkConfig::default() }
}

fn quantiles(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let at =
        |q: f64| values.get(((values.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or(f64::NAN);
    println!("{name}: p50 {:.3} p99 {:.3} max {:.3} of {}", at(0.5), at(0.99), at(1.0), values.len());
}

/// Instances that have met: started within a second, writing and reading a little where it is wished.
fn met(seed: u64, count: usize, loss: f64) -> Instances {
    let mut all = Instances::new(seed, count, 3, 3, net(loss));
    for n in 0..count {
        all.start(n);
        all.run(1.0 / count as f64);
    }
    let begun = all.now;
    while !all.is_converged() && all.now - begun < 30.0 {
        all.run(0.1);
    }
    println!("  met {:.1} s after the last start", all.now - begun);
    all
}

fn heal(count: usize, loss: f64, seeds: u64) {
    let (mut times, mut bytes) = (Vec::new(), Vec::new());
    for seed in 0..seeds {
        let mut all = met(seed, count, loss);
        let some: Vec<usize> = (0..count / 3).collect();
        all.set_partitioned(&some, true);
        let lasts = if count > 100 { 8.0 } else { 30.0 };
        let until = all.now + lasts;
        let mut session = 0;
        while all.now < until {
            all.run(0.05);
            session += 1;
            all.write(session % count, session);
        }
        all.run(1.0);
        let (before, begun) = (all.sent_bytes().0, all.now);
        all.set_partitioned(&some, false);
        while !all.is_converged() && all.now - begun < 30.0 {
            all.run(0.02);
        }
        times.push(all.now - begun);
        bytes.push((all.sent_bytes().0 - before) as f64 / 1e6);
    }
    quantiles(&format!("heal {count} instances, loss {loss}: seconds"), times);
    quantiles(&format!("heal {count} instances, loss {loss}: MB sent by all"), bytes);
}

fn drain(count: usize, loss: f64, seeds: u64) {
    let mut last = Vec::new();
    let mut all = met(1, count, loss);
    for seed in 0..seeds {
        let (member, teller) = (format!("s-{seed}"), seed as usize % count);
        let begun = all.now;
        all.with_node(teller, |node, now| {
            node.report_member_status(now, &member, 0.0, 1, seed + 1, MemberStatus::Draining)
        });
        let knows = |all: &mut Instances, n: usize| {
            all.node(n).is_some_and(|node| node.member_status(&member, 0.0) == MemberStatus::Draining)
        };
        let mut left: Vec<usize> = (0..count).collect();
        while !left.is_empty() && all.now - begun < 10.0 {
            all.run(0.005);
            left.retain(|n| !knows(&mut all, *n));
        }
        last.push(all.now - begun);
        all.run(0.2);
    }
    quantiles(&format!("drain {count} instances, loss {loss}: seconds until the last knew"), last);
}

fn cost(count: usize) {
    let mut all = met(1, count, 0.0);
    for busy in [false, true] {
        let (before, far, begun) = (all.sent_bytes().0, all.sent_bytes().1, all.now);
        let real = std::time::Instant::now();
        let seconds = if count > 100 { 2.0 } else { 10.0 };
        while all.now - begun < seconds {
            // Ten requests a second at each, four writes among them.
            if busy {
                for n in 0..count {
                    let session = (all.now * 1e3) as usize % 1_000 + n * 1_000;
                    all.write(n, session);
                    all.read(n, session);
                    all.read((n + 1) % count, session);
                }
                all.run(0.25);
            } else {
                all.run(0.25);
            }
        }
        let each = (all.now - begun) * count as f64;
        println!(
            "cost {count} instances, busy {busy}: {:.0} bytes/s an instance, {:.0} of them to other zones, {:.2}% of a core here",
            (all.sent_bytes().0 - before) as f64 / each,
            (all.sent_bytes().1 - far) as f64 / each,
            100.0 * real.elapsed().as_secs_f64() / each
        );
    }
}

fn alarms(count: usize, seconds: f64) {
    let mut all = met(3, count, 0.1);
    let begun = all.now;
    let mut rng = fastrand::Rng::with_seed(3);
    while all.now - begun < seconds {
        let n = rng.usize(..count);
        all.pause(n);
        all.run(0.5);
        all.resume(n);
        all.run(4.5);
    }
    let kind = |notice: &replication::Notice| match notice {
        replication::Notice::Suspected(_) => Some("called dead"),
        replication::Notice::Unreachable(_) => Some("missing"),
        _ => None,
    };
    println!(
        "alarms {count} instances, 10% loss, stops of 0.5 s every 5 s: in {seconds} s {:?}",
        all.count_notices(kind)
    );
    let mut times = Vec::new();
    for n in 1..count.min(8) {
        all.notices.clear();
        let begun = all.now;
        all.kill(n);
        let seen = |all: &Instances| {
            let name = format!("n{n}");
            let mut by: Vec<usize> = all
                .notices
                .iter()
                .filter(
                    |(_, _, notice)| matches!(notice, replication::Notice::Unreachable(who) if **who == *name),
                )
                .map(|(_, by, _)| *by)
                .collect();
            by.sort_unstable();
            by.dedup();
            by.len()
        };
        while seen(&all) < count - 1 && all.now - begun < 20.0 {
            all.run(0.05);
        }
        times.push(all.now - begun);
        all.start(n);
        all.run(3.0);
    }
    quantiles(&format!("detection {count} instances: seconds until all others miss it"), times);
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |at: usize, otherwise: f64| args.get(at).and_then(|a| a.parse().ok()).unwrap_or(otherwise);
    match args.get(1).map(String::as_str) {
        Some("storm") => {
            let mut reads = 0;
            for seed in 0..number(2, 100.0) as u64 {
                let rough = NetworkConfig { loss: 0.1, duplication: 0.1, latency: (0.000_2, 0.003), extra_delay: (0.05, 0.4) };
                let net = if seed % 2 == 0 { rough } else { NetworkConfig::default() };
                let instances = 2 + seed as usize % 5;
                // Now and then not all are seeds: they find each other through those that are.
                let seeds = if seed % 3 == 0 { instances } else { instances.min(2) };
                let shape = FaultScenario { instances, seeds, sessions: 100, seconds: 40.0, faults: true };
                let all = run_fault_scenario(seed, net, shape);
                reads += all.totals.reads;
                if !all.breaches.is_empty() {
                    println!("seed {seed}, {instances} instances, {seeds} seeds: {:#?}", &all.breaches[..1]);
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
