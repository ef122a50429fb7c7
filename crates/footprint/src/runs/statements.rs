//! A steady load of statements, at several rates, before lists of several lengths, and beside probes.

use super::clients::know_primaries;
use super::{Bench, Scene, GROUP_SIZE};
use crate::report::{Quantity, Report};
use crate::{Load, MeasureError, Mix, Platform};
use measure::Sample;
use std::time::Duration;

const RATES: [usize; 5] = [250, 500, 1_000, 2_000, 3_000];
const LISTS: [usize; 4] = [100, 400, 800, 1_600];
/// Ages (s) that bounded reads allow while probes are measured: the shorter, the more probes; none with the first.
const BOUNDS: [f64; 5] = [0.0, 3.0, 1.0, 0.5, 0.2];
const RATE: usize = 1_000;
const CLIENTS: usize = 200;
/// The load runs so long before it is looked at, and then so long.
const WARM: Duration = Duration::from_millis(400);
const WINDOW: Duration = Duration::from_millis(1_100);

/// What a window of load came to.
struct Window {
    /// Statements served a second.
    rate: f64,
    /// Probes a second.
    probes: f64,
    /// The share of a core that was used.
    share: f64,
    sample: Sample,
    errors: u64,
}

/// Statements at several rates, each at a new process.
pub(super) fn by_rate(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for rate in bench.shuffled(&RATES) {
        let databases = bench.usual_databases();
        let scene = bench.scene(databases, GROUP_SIZE)?;
        let window = load(bench, &scene, rate)?;
        report.add(Quantity::StatementProcessor, window.rate, window.share);
        report.add(Quantity::StatementMemory, window.rate, window.sample.anonymous as f64);
        told(report, "statements", rate, &window);
    }
    Ok(())
}

/// Statements at one rate before lists of several lengths.
pub(super) fn by_list(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for databases in bench.shuffled(&LISTS) {
        let scene = bench.scene(databases, GROUP_SIZE)?;
        let window = load(bench, &scene, RATE)?;
        let each = window.share / window.rate;
        report.add(Quantity::StatementProcessorByList, databases as f64, each);
        told(report, "statements-by-list", RATE, &window);
    }
    Ok(())
}

/// Probes beside one rate of statements, at a pooler that takes itself to be alone.
pub(super) fn probes(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    let orders: Vec<usize> = (0..BOUNDS.len()).collect();
    for order in bench.shuffled(&orders) {
        let databases = bench.usual_databases();
        let bound = BOUNDS[order];
        let change = |platform: &mut Platform| {
            platform.fleet_size = 1;
            if bound > 0.0 {
                (platform.probes, platform.staleness_bound) = (true, bound);
            }
        };
        let scene = bench.scene_with(databases, GROUP_SIZE, change, None)?;
        let window = load(bench, &scene, RATE)?;
        report.add(Quantity::ProbeProcessor, window.probes, window.share);
        told(report, "probes", RATE, &window);
    }
    Ok(())
}

/// Runs a load for a window.
fn load(bench: &mut Bench, scene: &Scene, rate: usize) -> Result<Window, MeasureError> {
    know_primaries(bench, scene)?;
    let mix = Mix::typical(scene.databases.databases.groups());
    let seed = bench.random.u64(..);
    let load = Load::start(scene.pooler.address, CLIENTS, rate as f64, mix, seed)?;
    std::thread::sleep(WARM);
    let (served, probes, before) = (load.served()?, scene.databases.probes(), scene.pooler.sample()?);
    std::thread::sleep(WINDOW);
    let sample = scene.pooler.sample()?;
    let seconds = sample.at.duration_since(before.at).as_secs_f64();
    let a_second = |after: u64, before: u64| (after - before) as f64 / seconds;
    let window = Window {
        rate: a_second(load.served()?, served),
        probes: a_second(scene.databases.probes(), probes),
        share: sample.core_share_since(&before),
        sample,
        errors: load.errors(),
    };
    bench.guard.check(&[scene.pooler.process])?;
    Ok(window)
}

/// Notes what was not served, and a rate that was not reached within a twentieth.
fn told(report: &mut Report, run: &str, rate: usize, window: &Window) {
    if window.errors > 0 {
        report.note(format!("{run}: {} statements at {rate} a second ended in errors", window.errors));
    }
    if window.rate < rate as f64 * 0.95 {
        report.note(format!("{run}: {:.0} statements a second reached of {rate}", window.rate));
    }
}
