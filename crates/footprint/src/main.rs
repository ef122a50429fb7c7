//! The command-line program `footprint`.

use argh::FromArgs;
use footprint::report::{compare, Report};
use footprint::runs::{Bench, Run};
use footprint::{Guard, MeasureError, Ports};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const EXIT_DONE: u8 = 0;
const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const DEFAULT_SEED: u64 = 1;
const DEFAULT_REPEATS: usize = 3;
const MAX_REPEATS: usize = 50;
const DEFAULT_LIMIT_S: u64 = 600;
const MAX_LIMIT_S: u64 = 3_600;

/// Measures what one process of dewferry costs: memory and processor time by connections, statements and
/// databases.
#[derive(FromArgs)]
#[argh(
    example = "footprint measure --json > first.json",
    example = "footprint measure idle-clients statements --repeats 5",
    example = "footprint compare first.json second.json",
    error_code(0, "done; compare: all slopes agree"),
    error_code(1, "a run failed or ended early, and its report is partial; compare: a slope differs"),
    error_code(2, "wrong usage, or a report that cannot be read")
)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Measure(Measure),
    Compare(Compare),
}

/// Start processes of dewferry with stand-ins on loopback and fit a line through the cost at each size.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// runs to make: idle-clients, busy-clients, statements, statements-by-list, databases, connections,
    /// probes, list, configuration; default: all
    #[argh(positional)]
    runs: Vec<Run>,
    /// path of the program dewferry; default: the one in this command's folder
    #[argh(option)]
    program: Option<PathBuf>,
    /// seed for the order of sizes, the statements and the pooler's random numbers; default: 1
    #[argh(option, default = "DEFAULT_SEED")]
    seed: u64,
    /// number of repeats of each run, 1 to 50; default: 3
    #[argh(option, default = "DEFAULT_REPEATS")]
    repeats: usize,
    /// seconds after which no further measurement begins, 1 to 3600; default: 600
    #[argh(option, default = "DEFAULT_LIMIT_S")]
    limit_s: u64,
    /// only two small sizes of each run: tests that the runs work, without useful measurements
    #[argh(switch)]
    quick: bool,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Compare the slopes of two reports that were printed with --json.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {
    /// the first report
    #[argh(positional)]
    first: PathBuf,
    /// the second report
    #[argh(positional)]
    second: PathBuf,
    /// print one JSON array
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    match Args::from_args(&["footprint"], &arguments) {
        Ok(Args { command: Command::Measure(args) }) => measure(args),
        Ok(Args { command: Command::Compare(args) }) => compare_reports(&args),
        Err(exit) => {
            let help = exit.status.is_ok();
            if help {
                println!("{}", exit.output);
            } else {
                eprintln!("{}", exit.output.trim_end());
            }
            ExitCode::from(if help { EXIT_DONE } else { EXIT_USAGE })
        }
    }
}

fn measure(args: Measure) -> ExitCode {
    if let Err(error) = validate(&args) {
        eprintln!("footprint: {error}");
        return ExitCode::from(EXIT_USAGE);
    }
    let (json, seed, repeats) = (args.json, args.seed, args.repeats);
    let mut report = Report::default();
    let mut bench = match new_bench(&args) {
        Ok(bench) => bench,
        Err(error) => {
            eprintln!("footprint: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let runs = if args.runs.is_empty() { Run::ALL.to_vec() } else { args.runs };
    for run in runs {
        print_progress(run);
        if let Err(cause) = run.execute(&mut bench, &mut report) {
            eprintln!("footprint: {}: {cause}", run.name());
            report.record_early_end(&cause);
            break;
        }
    }
    let host = bench.guard.host();
    let text = if json { report.json(host, seed, repeats) } else { report.text(host, seed, repeats) };
    println!("{text}");
    ExitCode::from(if report.is_partial() { EXIT_FAILED } else { EXIT_DONE })
}

fn validate(args: &Measure) -> Result<(), String> {
    if !(1..=MAX_REPEATS).contains(&args.repeats) {
        return Err(format!("--repeats is {}; accepted: 1 to {MAX_REPEATS}", args.repeats));
    }
    if !(1..=MAX_LIMIT_S).contains(&args.limit_s) {
        return Err(format!("--limit-s is {}; accepted: 1 to {MAX_LIMIT_S} seconds", args.limit_s));
    }
    Ok(())
}

fn new_bench(args: &Measure) -> Result<Bench, MeasureError> {
    let guard = Guard::new(Duration::from_secs(args.limit_s))?;
    let ports = Ports::below(guard.host().ephemeral_ports.0);
    let program = args.program.clone().unwrap_or_else(default_program);
    let random = fastrand::Rng::with_seed(args.seed);
    Ok(Bench { program, guard, ports, random, repeats: args.repeats, quick: args.quick })
}

/// The program `dewferry` in the folder of this command.
fn default_program() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("dewferry")
}

/// Prints the current run, if standard error is a terminal.
fn print_progress(run: Run) {
    if std::io::stderr().is_terminal() {
        eprintln!("measuring {}", run.name());
    }
}

fn compare_reports(args: &Compare) -> ExitCode {
    match compare(&args.first, &args.second) {
        Ok(slopes) => {
            if args.json {
                println!("{}", serde_json::to_string_pretty(&slopes).unwrap_or_default());
            } else {
                slopes.iter().for_each(|slope| println!("{slope}"));
            }
            let agree = slopes.iter().all(|slope| slope.agree);
            ExitCode::from(if agree { EXIT_DONE } else { EXIT_FAILED })
        }
        Err(error) => {
            eprintln!("footprint: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
