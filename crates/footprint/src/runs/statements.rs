//! A steady load of statements: at several rates, with lists of several lengths, and beside probes.

use super::clients::establish_primaries;
use super::{Bench, Setup, GROUP_SIZE};
use crate::report::{Quantity, Report};
use crate::{Load, MeasureError, Mix, Platform};
use measure::Sample;
use std::time::Duration;

const RATES: [usize; 5] = [250, 500, 1_000, 2_000, 3_000];
const LIST_LENGTHS: [usize; 4] = [100, 400, 800, 1_600];
/// Staleness bounds (seconds) of bounded reads in the run with probes: the shorter, the more probes. The
/// first turns probes off.
const STALENESS_BOUNDS: [f64; 5] = [0.0, 3.0, 1.0, 0.5, 0.2];
const RATE: usize = 1_000;
const CLIENTS: usize = 200;
/// How long the load runs before it is measured.
const WARM_UP: Duration = Duration::from_millis(400);
/// How long the load is measured.
const WINDOW: Duration = Duration::from_millis(1_100);

/// Measurements of one window of load.
struct Window {
    /// Statements served per second.
    rate: f64,
    /// Probes per second.
    probes: f64,
    /// Share of a core used.
    share: f64,
    sample: Sample,
    errors: u64,
}

/// Statements at several rates, each with a new process.
pub(super) fn by_rate(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for rate in bench.shuffled(&RATES) {
        let members = bench.default_members();
        let setup = bench.setup(members, GROUP_SIZE)?;
        let window = run_load(bench, &setup, rate)?;
        report.add(Quantity::StatementProcessor, window.rate, window.share);
        report.add(Quantity::StatementMemory, window.rate, window.sample.anonymous as f64);
        note_shortfall(report, "statements", rate, &window);
    }
    Ok(())
}

/// Statements at one rate, with lists of several lengths.
pub(super) fn by_list(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for members in bench.shuffled(&LIST_LENGTHS) {
        let setup = bench.setup(members, GROUP_SIZE)?;
        let window = run_load(bench, &setup, RATE)?;
        let per_statement = window.share / window.rate;
        report.add(Quantity::StatementProcessorByList, members as f64, per_statement);
        note_shortfall(report, "statements-by-list", RATE, &window);
    }
    Ok(())
}

/// Probes beside one rate of statements, with a fleet size of one.
pub(super) fn probes(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    let indices: Vec<usize> = (0..STALENESS_BOUNDS.len()).collect();
    for index in bench.shuffled(&indices) {
        let members = bench.default_members();
        let staleness_bound = STALENESS_BOUNDS[index];
        let change = |platform: &mut Platform| {
            platform.fleet_size = 1;
            if staleness_bound > 0.0 {
                (platform.probes, platform.staleness_bound) = (true, staleness_bound);
            }
        };
        let setup = bench.setup_with(members, GROUP_SIZE, change, None)?;
        let window = run_load(bench, &setup, RATE)?;
        report.add(Quantity::ProbeProcessor, window.probes, window.share);
        note_shortfall(report, "probes", RATE, &window);
    }
    Ok(())
}

/// Runs a load and measures one window of it.
fn run_load(bench: &mut Bench, setup: &Setup, rate: usize) -> Result<Window, MeasureError> {
    establish_primaries(bench, setup)?;
    let mix = Mix::typical(setup.servers.members.groups());
    let seed = bench.random.u64(..);
    let load = Load::start(setup.pooler.address, CLIENTS, rate as f64, mix, seed)?;
    std::thread::sleep(WARM_UP);
    let (served, probes, before) = (load.served()?, setup.servers.probes(), setup.pooler.sample()?);
    std::thread::sleep(WINDOW);
    let sample = setup.pooler.sample()?;
    let seconds = sample.at.duration_since(before.at).as_secs_f64();
    let per_second = |after: u64, before: u64| (after - before) as f64 / seconds;
    let window = Window {
        rate: per_second(load.served()?, served),
        probes: per_second(setup.servers.probes(), probes),
        share: sample.core_share_since(&before),
        sample,
        errors: load.errors(),
    };
    bench.guard.check(&[setup.pooler.process])?;
    Ok(window)
}

/// Adds remarks on statements that ended in errors, and on a rate that was missed by more than a twentieth.
fn note_shortfall(report: &mut Report, run: &str, rate: usize, window: &Window) {
    if window.errors > 0 {
        report.note(format!("{run}: {} statements at {rate} a second ended in errors", window.errors));
    }
    if window.rate < rate as f64 * 0.95 {
        report.note(format!("{run}: {:.0} statements a second reached of {rate}", window.rate));
    }
}
