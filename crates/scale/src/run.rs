//! A complete run: fleets of all sizes one after another, then the report.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Instant;

use measure::Host;

use crate::clock::Clock;
use crate::error::ScaleError;
use crate::fleet::{Fleet, RunContext};
use crate::kinds::{self, Kind, Measurement};
use crate::layout::Network;
use crate::limits::{Limits, Requirements};
use crate::options::Options;
use crate::plot;
use crate::protocol::Coordination;
use crate::real::Programs;
use crate::report::{Fitted, Report};

/// Figures for which plots are drawn.
const PLOTTED_FIGURES: [(Kind, &str); 13] = [
    (Kind::Join, "list_held_p99_s"),
    (Kind::Join, "settled_s"),
    (Kind::Join, "sent_bytes"),
    (Kind::Hold, "sent_bytes_per_s"),
    (Kind::Hold, "received_bytes_per_s"),
    (Kind::Hold, "processor_percent"),
    (Kind::Hold, "memory_bytes"),
    (Kind::Hold, "write_waits_p99_s"),
    (Kind::Hold, "control_processor_percent"),
    (Kind::Hold, "control_memory_bytes"),
    (Kind::Hold, "arrival_waits_p99_s"),
    (Kind::ChangeList, "heard_p99_s"),
    (Kind::ChangePrimary, "heard_p99_s"),
];
/// Processes in addition to those of the poolers: the command itself and the stand-in for discovery.
const OWN_PROCESSES: usize = 2;

/// Makes a run according to the options and writes its report. Returns true if all safety checks passed. If
/// the run was stopped, returns an error after the partial report is written.
pub fn run(options: Options) -> Result<bool, ScaleError> {
    options.check()?;
    let host = Host::current().map_err(|error| ScaleError::Process(error.to_string()))?;
    let limits = Limits::check(&host, requirements(&options), options.most_seconds, interrupt_flag()?)?;
    let (network, claim) = Network::claim().ok_or_else(|| {
        ScaleError::Process(String::from("every loopback network is in use by another run"))
    })?;
    let folder = TempFolder::new()?;
    let programs = find_programs(&options, &folder.0)?;
    let report = options.report.clone();
    let json = options.json;
    let started_at = Instant::now();
    let run = RunContext { options, limits, network, programs, clock: Clock::default() };
    let mut measurements = Vec::new();
    let result = run_fleets(&run, &mut measurements);
    drop(claim);
    let stopped_by = result.as_ref().err().map(ToString::to_string);
    let fits = Fitted::all(&measurements);
    let (peak_memory, peak_processes) = run.limits.peaks();
    let report = ReportOutput { folder: report, json }.write(Report {
        complete: result.is_ok(),
        stopped_by,
        command: command_line(),
        machine: host,
        peak_memory,
        peak_processes,
        seconds: started_at.elapsed().as_secs_f64(),
        measurements,
        fits,
    })?;
    result.map(|()| report.faults().is_empty())
}

/// Returns the maximum requirements of all fleets of the run.
fn requirements(options: &Options) -> Requirements {
    let largest = options.sizes.0.last().copied().unwrap_or_default();
    let fleets = options.sizes.0.iter().flat_map(|size| {
        options.coordinations(*size).into_iter().map(move |coordination| (*size, coordination))
    });
    let processes = |(size, coordination)| {
        options.hollow_processes(size, coordination) + options.control_instances(coordination)
    };
    let max_processes = fleets.clone().map(processes).max().unwrap_or_default();
    let hollow_per_process = fleets
        .map(|(size, coordination)| options.per_process(coordination).min(size))
        .max()
        .unwrap_or_default();
    Requirements {
        poolers: largest,
        members: options.databases,
        processes: OWN_PROCESSES + options.real + max_processes,
        hollow_per_process,
    }
}

/// Returns a flag that is set by SIGINT and SIGTERM.
fn interrupt_flag() -> Result<Arc<AtomicBool>, ScaleError> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, flag.clone())
            .map_err(|error| ScaleError::Process(format!("signal handler cannot be installed: {error}")))?;
    }
    Ok(flag)
}

fn find_programs(options: &Options, folder: &Path) -> Result<Programs, ScaleError> {
    let command = std::env::current_exe().map_err(|error| ScaleError::File("scale".into(), error))?;
    let pooler = options.program.clone().unwrap_or_else(|| command.with_file_name("dewferry"));
    if (options.real > 0 || options.control > 0) && !pooler.is_file() {
        let accepted = String::from("the program dewferry, built");
        return Err(ScaleError::Option("--program", pooler.display().to_string(), accepted));
    }
    Ok(Programs { command, pooler, folder: folder.to_path_buf() })
}

fn command_line() -> String {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    format!("scale {}", arguments.join(" "))
}

/// Runs all fleets: each size once, then all sizes again, so that a drift of the host's state shows in the
/// deviation.
fn run_fleets(run: &RunContext, measurements: &mut Vec<Measurement>) -> Result<(), ScaleError> {
    for repeat in 0..run.options.repeats {
        for size in &run.options.sizes.0 {
            for coordination in run.options.coordinations(*size) {
                run_fleet(run, (*size, coordination), repeat, measurements)?;
            }
        }
    }
    progress("");
    Ok(())
}

fn run_fleet(
    run: &RunContext,
    (size, coordination): (usize, Coordination),
    repeat: usize,
    measurements: &mut Vec<Measurement>,
) -> Result<(), ScaleError> {
    let label = format!("repeat {} of {}: {size} poolers, {coordination}", repeat + 1, run.options.repeats);
    progress(&format!("{label}, start"));
    let mut fleet = Fleet::start(run, (size, coordination), repeat)?;
    record(measurements, kinds::join(&mut fleet, repeat)?);
    for kind in &run.options.kinds {
        progress(&format!("{label}, {kind}"));
        let measurement = kinds::run(*kind, &mut fleet, repeat)?;
        measurement.into_iter().for_each(|measurement| record(measurements, measurement));
    }
    Ok(())
}

fn record(measurements: &mut Vec<Measurement>, measurement: Measurement) {
    for fault in &measurement.faults {
        eprintln!("scale: {} at {} poolers: {fault}", measurement.kind, measurement.size);
    }
    measurements.push(measurement);
}

/// Shows the progress, if standard error is a terminal.
fn progress(text: &str) {
    let mut out = std::io::stderr();
    if out.is_terminal() {
        let _ = write!(out, "\r\x1b[K{text}");
        let _ = out.flush();
    }
}

/// Destinations of a report.
struct ReportOutput {
    folder: Option<PathBuf>,
    json: bool,
}

impl ReportOutput {
    /// Prints a report, and writes it with its plots if a folder is given.
    fn write(&self, report: Report) -> Result<Report, ScaleError> {
        let json = serde_json::to_string(&report).map_err(|error| ScaleError::Process(error.to_string()))?;
        let markdown = report.markdown();
        println!("{}", if self.json { &json } else { &markdown });
        let Some(folder) = &self.folder else { return Ok(report) };
        let failed = |path: &Path, error| ScaleError::File(path.to_path_buf(), error);
        std::fs::create_dir_all(folder).map_err(|error| failed(folder, error))?;
        let mut with_plots = markdown;
        for (kind, figure) in PLOTTED_FIGURES {
            for fitted in report.fits.iter().filter(|fitted| fitted.kind == kind && fitted.figure == figure) {
                let name = plot_name(fitted);
                plot::draw(fitted, &folder.join(&name))?;
                with_plots += &format!("\n![{kind}, {}: {figure}]({name})\n", fitted.coordination);
            }
        }
        for (name, text) in [("report.md", &with_plots), ("report.json", &json)] {
            let path = folder.join(name);
            std::fs::write(&path, text).map_err(|error| failed(&path, error))?;
        }
        Ok(report)
    }
}

/// Returns the file name of a plot.
fn plot_name(fitted: &Fitted) -> String {
    let (kind, figure) = (fitted.kind, fitted.figure.replace('_', "-"));
    match fitted.coordination {
        Coordination::Directory => format!("control-{kind}-{figure}.svg"),
        Coordination::None | Coordination::Peers => format!("{kind}-{figure}.svg"),
    }
}

/// Temporary folder for the files of a run's processes, removed when this value is dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> Result<TempFolder, ScaleError> {
        let path = std::env::temp_dir().join(format!("dewferry-scale-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| ScaleError::File(path.clone(), error))?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
