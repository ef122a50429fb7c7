//! Client connections: at rest, and with a statement that waits for its database.

use super::{Bench, Scene, GROUP_SIZE, LOOK, SETTLE, WATCH};
use crate::report::{Quantity, Report};
use crate::{MeasureError, Mix, Wire};
use std::time::{Duration, Instant};

const IDLE: [usize; 5] = [0, 500, 1_000, 2_000, 4_000];
const BUSY: [usize; 5] = [0, 100, 200, 400, 800];
/// What the pooler sends to the databases at all is there by then.
const ARRIVAL: Duration = Duration::from_secs(1);
/// The guard is asked after so many connections or statements.
const CHECKED: usize = 100;
/// Statements wait no longer than their time allows, so they are watched for less.
const WATCH_BUSY: Duration = Duration::from_millis(400);

/// Connections that have asked once and rest since; more and more of them at one process.
pub(super) fn idle(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    let sizes = bench.sizes(&IDLE);
    bench.guard.check_descriptors(most(sizes))?;
    let databases = bench.usual_databases();
    let scene = bench.scene(databases, GROUP_SIZE)?;
    // One group, so that connections to databases do not pass for connections of clients.
    let mix = Mix::short_reads(1);
    know_primaries(bench, &scene)?;
    let mut wires: Vec<Wire> = Vec::new();
    for &size in sizes {
        while wires.len() < size {
            let mut wire = Wire::connect(scene.pooler.address)?;
            wire.query(&mix.statement_in(0, &mut bench.random))?;
            wires.push(wire);
            if wires.len().is_multiple_of(CHECKED) {
                bench.guard.check(&[scene.pooler.process])?;
            }
        }
        std::thread::sleep(SETTLE);
        let (sample, share) = scene.watch(WATCH)?;
        report.add(Quantity::IdleClientMemory, size as f64, sample.anonymous as f64);
        report.add(Quantity::IdleClientProcessor, size as f64, share);
        bench.guard.check(&[scene.pooler.process])?;
    }
    let counters = scene.pooler.counters()?;
    if counters.rested > 0 {
        report.note(format!("idle-clients: {} connections were closed for resting", counters.rested));
    }
    Ok(())
}

/// Connections whose statement has been sent to a database that does not answer yet.
pub(super) fn busy(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    let sizes = bench.sizes(&BUSY);
    let databases = bench.usual_databases();
    // Each has a connection to a database, too.
    bench.guard.check_descriptors(2 * most(sizes) + databases)?;
    let scene = bench.scene(databases, GROUP_SIZE)?;
    let mix = Mix::typical(scene.databases.databases.groups());
    know_primaries(bench, &scene)?;
    std::thread::sleep(SETTLE);
    scene.databases.set_hold_answers(true);
    let mut wires: Vec<Wire> = Vec::new();
    for &size in sizes {
        while wires.len() < size {
            let mut wire = Wire::connect(scene.pooler.address)?;
            let group = wires.len() % mix.groups;
            wire.send(&mix.statement_in(group, &mut bench.random))?;
            wires.push(wire);
        }
        let held = held(&scene, size);
        if held < size {
            report.note(format!("busy-clients: {held} of {size} statements were sent to a database"));
        }
        let (sample, share) = scene.watch(WATCH_BUSY)?;
        report.add(Quantity::BusyClientMemory, held as f64, sample.anonymous as f64);
        report.add(Quantity::BusyClientProcessor, held as f64, share);
        bench.guard.check(&[scene.pooler.process])?;
    }
    scene.databases.set_hold_answers(false);
    Ok(())
}

/// Waits until so many statements wait at the databases; fewer where the pooler holds some back.
fn held(scene: &Scene, size: usize) -> usize {
    let until = Instant::now() + ARRIVAL;
    while (scene.databases.held_count() as usize) < size && Instant::now() < until {
        std::thread::sleep(LOOK);
    }
    scene.databases.held_count() as usize
}

/// One write in each group, so that the pooler has heard who is primary.
pub(super) fn know_primaries(bench: &mut Bench, scene: &Scene) -> Result<(), MeasureError> {
    let groups = scene.databases.databases.groups();
    let mix = Mix::short_writes(groups);
    let mut wire = Wire::connect(scene.pooler.address)?;
    for group in 0..groups {
        wire.query(&mix.statement_in(group, &mut bench.random))?;
        if group.is_multiple_of(CHECKED) {
            bench.guard.check(&[scene.pooler.process])?;
        }
    }
    Ok(())
}

fn most(sizes: &[usize]) -> usize {
    sizes.iter().copied().max().unwrap_or(0)
}
