//! Randomized runs of real pooler processes under overlapping faults, with an oracle that checks the rules.
//! Settings, fleet and faults of a run are determined by its seed (docs/soak.md).

mod addresses;
mod clients;
mod discovery;
mod faults;
mod fleet;
mod members;
mod oracle;
mod plan;
mod poolers;
mod record;
mod wire;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use clients::Clients;
use discovery::Discovery;
use faults::Targets;
use fleet::Fleet;
use members::MemberServers;
use oracle::Verdict;
use plan::Plan;
use poolers::Poolers;
use record::{Event, Record};

/// How often the soak process measures its own delay (milliseconds).
const DELAY_CHECK_INTERVAL_MS: u64 = 10;
/// Minimum delay that is recorded (seconds).
const MIN_REPORTED_DELAY: f64 = 0.02;
/// Maximum number of violations of a rule that are printed for a run.
const MAX_PRINTED_VIOLATIONS: usize = 4;

/// Runs real pooler processes under randomized faults and checks the recorded events against the rules.
#[derive(FromArgs)]
struct Options {
    /// the pooler program under test
    #[argh(option)]
    program: PathBuf,
    /// the first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of runs, with consecutive seeds (default 1)
    #[argh(option, default = "1")]
    runs: u64,
    /// duration of each run (seconds, 8 to 600; default 20)
    #[argh(option, default = "20.0")]
    seconds: f64,
    /// maximum number of poolers (default 40)
    #[argh(option, default = "40")]
    poolers: usize,
    /// set of loopback addresses to use; runs at the same time need different sets (0 to 39, default 0)
    #[argh(option, default = "0")]
    place: u8,
    /// draw no floods, crowds and series of signals
    #[argh(switch)]
    without_floods: bool,
    /// also print the plan of each run
    #[argh(switch)]
    plan: bool,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    addresses::select_set(options.place);
    let mut failed_runs = 0;
    for seed in options.seed..options.seed + options.runs {
        let mut plan = Plan::from_seed(seed, options.seconds.clamp(8.0, 600.0));
        plan.limit_poolers(options.poolers);
        if !options.without_floods {
            plan.draw_floods();
        }
        if options.plan {
            println!("{plan:#?}");
        }
        let folder = std::env::temp_dir().join(format!("dewferry-soak-{}-{seed}", std::process::id()));
        match run_plan(&options.program, &plan, &folder) {
            Ok(verdict) => failed_runs += u64::from(print_verdict(&plan, &verdict, &folder)),
            Err(error) => {
                println!("seed {seed}: could not be played: {error}");
                failed_runs += 1;
            }
        }
    }
    println!("{} passed, {failed_runs} failed", options.runs - failed_runs);
    if failed_runs == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Prints the result of a run. Returns true if a rule was violated; the folder with the logs is kept in that
/// case.
fn print_verdict(plan: &Plan, verdict: &Verdict, folder: &Path) -> bool {
    let Verdict { requests, served, refused, failed, violations, soak_delay } = verdict;
    let (seed, poolers, members) = (plan.seed, plan.poolers, plan.member_count() + plan.listed);
    println!(
        "seed {seed}: {poolers} poolers, {members} machines, {} faults: {requests} requests, {served} served, \
         {refused} refused, {failed} failed; the soak late by {soak_delay:.2} s at most: {}",
        plan.faults.len(),
        if violations.is_empty() { "no rule broken".to_string() } else { format!("BROKEN, logs in {}", folder.display()) }
    );
    for (rule, descriptions) in violations {
        println!("  {rule}: {}", descriptions.len());
        descriptions
            .iter()
            .take(MAX_PRINTED_VIOLATIONS)
            .for_each(|description| println!("    {description}"));
    }
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(folder);
    }
    !violations.is_empty()
}

/// Carries out a run.
fn run_plan(program: &Path, plan: &Plan, folder: &Path) -> std::io::Result<Verdict> {
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder)?;
    let shim = plan.shim.as_ref().map(|_| build_shim(folder)).transpose()?;
    let record = Arc::new(Record::default());
    let fleet = Arc::new(Fleet::new(plan));
    let (classes, seed) = (plan.classes.clone(), plan.seed);
    let servers = MemberServers::new(fleet.clone(), record.clone(), classes, plan.probes, seed)?;
    let stopping = Arc::new(AtomicBool::new(false));
    let stop = stopping.clone();
    let server_thread = std::thread::spawn(move || servers.run(&stop));
    let discovery = Discovery::new(fleet.clone(), record.clone(), plan.call_takes, plan.listed);
    (0..plan.poolers).try_for_each(|n| discovery.listen(n))?;
    let unix_at_start = fleet.lock().expect("no holder panics").unix_at_start;
    let clients = Clients::new(plan.clone(), record.clone(), unix_at_start);
    let shared = (record.clone(), discovery.clone(), clients.clone());
    let poolers = Poolers::new(program, folder, shim, plan.clone(), shared);
    std::thread::scope(|scope| {
        for n in 0..plan.poolers {
            let poolers = &poolers;
            scope.spawn(move || poolers.start(n));
        }
    });
    let targets =
        Targets { fleet: fleet.clone(), discovery: discovery.clone(), poolers: poolers.clone(), record };
    run_workload(plan, &clients, &targets);
    poolers.stop_all();
    discovery.stop(plan.poolers);
    stopping.store(true, Ordering::Relaxed);
    let _ = server_thread.join();
    let fleet = fleet.lock().expect("no holder panics");
    Ok(oracle::judge(plan, &fleet, targets.record.take()))
}

/// Runs the clients and carries out the faults until the time is over.
fn run_workload(plan: &Plan, clients: &Clients, targets: &Targets) {
    let started_at = Instant::now();
    let idle: Vec<_> =
        (0..plan.idle).map(|n| std::net::TcpStream::connect(clients::address(n % plan.poolers))).collect();
    std::thread::scope(|scope| {
        scope.spawn(|| record_own_delays(&targets.record, &clients.stopping));
        scope.spawn(|| {
            while !clients.stopping.load(Ordering::Relaxed) {
                targets.poolers.check_processes();
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        for client in 0..plan.poolers * plan.clients {
            scope.spawn(move || clients.run(client % plan.poolers, client));
        }
        for (at, fault) in &plan.faults {
            let wait = Duration::from_secs_f64(*at).saturating_sub(started_at.elapsed());
            std::thread::sleep(wait);
            scope.spawn(|| targets.carry_out(fault));
        }
        std::thread::sleep(Duration::from_secs_f64(plan.seconds).saturating_sub(started_at.elapsed()));
        clients.stopping.store(true, Ordering::Relaxed);
    });
    drop(idle);
}

/// Records delays of the soak process itself, which the oracle allows for.
fn record_own_delays(record: &Record, stopping: &AtomicBool) {
    while !stopping.load(Ordering::Relaxed) {
        let before = record.now();
        std::thread::sleep(Duration::from_millis(DELAY_CHECK_INTERVAL_MS));
        let delay = record.now() - before - DELAY_CHECK_INTERVAL_MS as f64 / 1000.0;
        if delay > MIN_REPORTED_DELAY {
            record.add(Event::SoakDelayed(delay));
        }
    }
}

/// Builds the library that makes system calls of the poolers fail.
fn build_shim(folder: &Path) -> std::io::Result<PathBuf> {
    let path = folder.join("faults.so");
    let source = folder.join("faults.c");
    std::fs::write(&source, include_str!("../shim/faults.c"))?;
    let built = std::process::Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .args([&path, &source])
        .arg("-ldl")
        .status()?;
    if built.success() {
        Ok(path)
    } else {
        Err(std::io::Error::other("cannot build the library for system call faults"))
    }
}
