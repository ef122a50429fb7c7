//! Randomized runs of real processes under faults that overlap, with the rules as oracle. A seed stands for a run: its settings,
//! its fleet and its faults (docs/soak.md).

mod clients;
mod databases;
mod discovery;
mod faults;
mod fleet;
mod oracle;
mod place;
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
use databases::Databases;
use discovery::Discovery;
use faults::Targets;
use fleet::Fleet;
use oracle::Verdict;
use plan::Plan;
use poolers::Poolers;
use record::{Event, Record};

/// How often it is looked whether the soak itself is late (milliseconds), and what counts as late (seconds).
const LAG_LOOK_MS: u64 = 10;
const LAG: f64 = 0.02;
/// Most breaks of a rule that are printed for a run.
const MOST_PRINTED: usize = 4;

/// Plays randomized runs of real processes under faults and holds the rules against what was seen.
#[derive(FromArgs)]
struct Options {
    /// the program that is put to the test
    #[argh(option)]
    program: PathBuf,
    /// the first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds, one after another (default 1)
    #[argh(option, default = "1")]
    runs: u64,
    /// how long each run lasts (seconds, 8 to 600; default 20)
    #[argh(option, default = "20.0")]
    seconds: f64,
    /// at most so many processes of the program (default 40)
    #[argh(option, default = "40")]
    poolers: usize,
    /// which loopback addresses are used: runs side by side need places of their own (0 to 39, default 0)
    #[argh(option, default = "0")]
    place: u8,
    /// prints the plan of each run as well
    #[argh(switch)]
    plan: bool,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    place::take(options.place);
    let mut broken = 0;
    for seed in options.seed..options.seed + options.runs {
        let mut plan = Plan::of(seed, options.seconds.clamp(8.0, 600.0));
        plan.limit_poolers(options.poolers);
        if options.plan {
            println!("{plan:#?}");
        }
        let folder = std::env::temp_dir().join(format!("dewferry-soak-{}-{seed}", std::process::id()));
        match play(&options.program, &plan, &folder) {
            Ok(verdict) => broken += u64::from(tell(&plan, &verdict, &folder)),
            Err(error) => {
                println!("seed {seed}: could not be played: {error}");
                broken += 1;
            }
        }
    }
    println!("{} passed, {broken} failed", options.runs - broken);
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Prints what a run came to. Whether a rule was broken; then the folder with the logs is kept.
fn tell(plan: &Plan, verdict: &Verdict, folder: &Path) -> bool {
    let Verdict { requests, served, refused, failed, broken, lagged } = verdict;
    let (seed, poolers, machines) = (plan.seed, plan.poolers, plan.machines() + plan.listed);
    println!(
        "seed {seed}: {poolers} poolers, {machines} machines, {} faults: {requests} requests, {served} served, \
         {refused} refused, {failed} failed; the soak late by {lagged:.2} s at most: {}",
        plan.faults.len(),
        if broken.is_empty() { "no rule broken".to_string() } else { format!("BROKEN, logs in {}", folder.display()) }
    );
    for (rule, seen) in broken {
        println!("  {rule}: {}", seen.len());
        seen.iter().take(MOST_PRINTED).for_each(|what| println!("    {what}"));
    }
    if broken.is_empty() {
        let _ = std::fs::remove_dir_all(folder);
    }
    !broken.is_empty()
}

/// Plays a run.
fn play(program: &Path, plan: &Plan, folder: &Path) -> std::io::Result<Verdict> {
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder)?;
    let shim = plan.shim.as_ref().map(|_| build_shim(folder)).transpose()?;
    let record = Arc::new(Record::default());
    let fleet = Arc::new(Fleet::new(plan));
    let (classes, seed) = (plan.classes.clone(), plan.seed);
    let databases = Databases::new(fleet.clone(), record.clone(), classes, plan.probes, seed)?;
    let ends = Arc::new(AtomicBool::new(false));
    let stop = ends.clone();
    let machines = std::thread::spawn(move || databases.run(&stop));
    let discovery = Discovery::new(fleet.clone(), record.clone(), plan.call_takes, plan.listed);
    (0..plan.poolers).try_for_each(|n| discovery.listen(n))?;
    let unix = fleet.lock().expect("no holder panics").unix_at_start;
    let clients = Clients::new(plan.clone(), record.clone(), unix);
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
    carry_on(plan, &clients, &targets);
    poolers.end();
    discovery.end(plan.poolers);
    ends.store(true, Ordering::Relaxed);
    let _ = machines.join();
    let fleet = fleet.lock().expect("no holder panics");
    Ok(oracle::judge(plan, &fleet, targets.record.take()))
}

/// Clients ask and faults happen until the time is over.
fn carry_on(plan: &Plan, clients: &Clients, targets: &Targets) {
    let begun = Instant::now();
    let idle: Vec<_> =
        (0..plan.idle).map(|n| std::net::TcpStream::connect(clients::address(n % plan.poolers))).collect();
    std::thread::scope(|scope| {
        scope.spawn(|| watch_lag(&targets.record, &clients.ends));
        scope.spawn(|| {
            while !clients.ends.load(Ordering::Relaxed) {
                targets.poolers.look();
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        for client in 0..plan.poolers * plan.clients {
            scope.spawn(move || clients.run(client % plan.poolers, client));
        }
        for (at, fault) in &plan.faults {
            let left = Duration::from_secs_f64(*at).saturating_sub(begun.elapsed());
            std::thread::sleep(left);
            scope.spawn(|| targets.carry_out(fault));
        }
        std::thread::sleep(Duration::from_secs_f64(plan.seconds).saturating_sub(begun.elapsed()));
        clients.ends.store(true, Ordering::Relaxed);
    });
    drop(idle);
}

/// Notes when this process was itself held up: nothing that lies within that is held against the program.
fn watch_lag(record: &Record, ends: &AtomicBool) {
    while !ends.load(Ordering::Relaxed) {
        let before = record.now();
        std::thread::sleep(Duration::from_millis(LAG_LOOK_MS));
        let late = record.now() - before - LAG_LOOK_MS as f64 / 1000.0;
        if late > LAG {
            record.note(Event::Lagged(late));
        }
    }
}

/// Builds the library that makes system calls fail.
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
        Err(std::io::Error::other("the library of faults cannot be built"))
    }
}
