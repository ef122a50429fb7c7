//! A whole run: fleets of all sizes one after another, and the report.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Instant;

use measure::Host;

use crate::clock::Clock;
use crate::error::ScaleError;
use crate::fleet::{Fleet, Run};
use crate::kinds::{self, Kind, Measurement};
use crate::layout::Network;
use crate::limits::{Limits, Needs};
use crate::options::Options;
use crate::plot;
use crate::protocol::Coordination;
use crate::real::Programs;
use crate::report::{Fitted, Report};

/// Figures that are drawn.
const PLOTTED: [(Kind, &str); 13] = [
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
/// Processes beside those of the poolers: the command itself and the stand-in for discovery.
const OWN_PROCESSES: usize = 2;

/// Runs what the options say and reports it. Whether the run was safe; an error where it was stopped, after its partial
/// report.
pub fn run(options: Options) -> Result<bool, ScaleError> {
    options.check()?;
    let machine = Host::current().map_err(|error| ScaleError::Process(error.to_string()))?;
    let limits = Limits::check(&machine, needs(&options), options.most_seconds, interrupted()?)?;
    let (network, claim) = Network::claim()
        .ok_or_else(|| ScaleError::Process(String::from("every loopback network is taken by another run")))?;
    let folder = Folder::new()?;
    let programs = programs(&options, &folder.0)?;
    let report = options.report.clone();
    let json = options.json;
    let begun = Instant::now();
    let run = Run { options, limits, network, programs, clock: Clock::default() };
    let mut measurements = Vec::new();
    let result = fleets(&run, &mut measurements);
    drop(claim);
    let stopped_by = result.as_ref().err().map(ToString::to_string);
    let fits = Fitted::all(&measurements);
    let (peak_memory, peak_processes) = run.limits.peaks();
    let report = Written { folder: report, json }.of(Report {
        complete: result.is_ok(),
        stopped_by,
        command: command_line(),
        machine,
        peak_memory,
        peak_processes,
        seconds: begun.elapsed().as_secs_f64(),
        measurements,
        fits,
    })?;
    result.map(|()| report.faults().is_empty())
}

/// What the largest fleet needs.
fn needs(options: &Options) -> Needs {
    let largest = options.sizes.0.last().copied().unwrap_or_default();
    let fleets = options
        .sizes
        .0
        .iter()
        .flat_map(|size| options.coordinations(*size).into_iter().map(move |way| (*size, way)));
    let processes = |(size, way)| options.hollow_processes(size, way) + options.control_instances(way);
    let most = fleets.clone().map(processes).max().unwrap_or_default();
    let each = fleets.map(|(size, way)| options.per_process(way).min(size)).max().unwrap_or_default();
    Needs {
        poolers: largest,
        databases: options.databases,
        processes: OWN_PROCESSES + options.real + most,
        hollow_per_process: each,
    }
}

/// Set once a signal asks the run to end.
fn interrupted() -> Result<Arc<AtomicBool>, ScaleError> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, flag.clone())
            .map_err(|error| ScaleError::Process(format!("signals cannot be waited for: {error}")))?;
    }
    Ok(flag)
}

fn programs(options: &Options, folder: &Path) -> Result<Programs, ScaleError> {
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

/// All fleets: each size once, then all again, so that a machine whose state drifts shows in the spread.
fn fleets(run: &Run, measurements: &mut Vec<Measurement>) -> Result<(), ScaleError> {
    for repeat in 0..run.options.repeats {
        for size in &run.options.sizes.0 {
            for coordination in run.options.coordinations(*size) {
                one_fleet(run, (*size, coordination), repeat, measurements)?;
            }
        }
    }
    progress("");
    Ok(())
}

fn one_fleet(
    run: &Run,
    (size, coordination): (usize, Coordination),
    repeat: usize,
    measurements: &mut Vec<Measurement>,
) -> Result<(), ScaleError> {
    let place = format!("repeat {} of {}: {size} poolers, {coordination}", repeat + 1, run.options.repeats);
    progress(&format!("{place}, start"));
    let mut fleet = Fleet::start(run, (size, coordination), repeat)?;
    note(measurements, kinds::join(&mut fleet, repeat)?);
    for kind in &run.options.kinds {
        progress(&format!("{place}, {kind}"));
        let measured = kinds::run(*kind, &mut fleet, repeat)?;
        measured.into_iter().for_each(|measured| note(measurements, measured));
    }
    Ok(())
}

fn note(measurements: &mut Vec<Measurement>, measured: Measurement) {
    for fault in &measured.faults {
        eprintln!("scale: {} at {} poolers: {fault}", measured.kind, measured.size);
    }
    measurements.push(measured);
}

/// Shows on a terminal what is going on.
fn progress(text: &str) {
    let mut out = std::io::stderr();
    if out.is_terminal() {
        let _ = write!(out, "\r\x1b[K{text}");
        let _ = out.flush();
    }
}

/// Where a report goes.
struct Written {
    folder: Option<PathBuf>,
    json: bool,
}

impl Written {
    /// Prints a report, and writes it with its plots where a folder is given.
    fn of(&self, report: Report) -> Result<Report, ScaleError> {
        let json = serde_json::to_string(&report).map_err(|error| ScaleError::Process(error.to_string()))?;
        let markdown = report.markdown();
        println!("{}", if self.json { &json } else { &markdown });
        let Some(folder) = &self.folder else { return Ok(report) };
        let failed = |path: &Path, error| ScaleError::File(path.to_path_buf(), error);
        std::fs::create_dir_all(folder).map_err(|error| failed(folder, error))?;
        let mut with_plots = markdown;
        for (kind, figure) in PLOTTED {
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

/// The name of a plot's file.
fn plot_name(fitted: &Fitted) -> String {
    let (kind, figure) = (fitted.kind, fitted.figure.replace('_', "-"));
    match fitted.coordination {
        Coordination::Directory => format!("control-{kind}-{figure}.svg"),
        Coordination::None | Coordination::Peers => format!("{kind}-{figure}.svg"),
    }
}

/// A folder for the files of a run's processes, removed with them.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Result<Folder, ScaleError> {
        let path = std::env::temp_dir().join(format!("dewferry-scale-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| ScaleError::File(path.clone(), error))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
