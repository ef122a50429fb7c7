//! The command `footprint`.

use argh::FromArgs;
use footprint::report::{compare, Report};
use footprint::runs::{Bench, Run};
use footprint::{Guard, MeasureError, Ports};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const DONE: u8 = 0;
const FAILED: u8 = 1;
const USAGE: u8 = 2;
const DEFAULT_SEED: u64 = 1;
const DEFAULT_REPEATS: usize = 3;
const MOST_REPEATS: usize = 50;
const DEFAULT_LIMIT_S: u64 = 600;
const MOST_LIMIT_S: u64 = 3_600;

/// Measures what one process of dewferry costs: memory and processor time by connections, statements and databases.
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

/// Start processes of dewferry before stand-ins on loopback and fit a line through what each size costs.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// which runs: idle-clients, busy-clients, statements, statements-by-list, databases, connections, probes, list,
    /// configuration; all where none is named
    #[argh(positional)]
    runs: Vec<Run>,
    /// the program dewferry; the one beside this command where this is not given
    #[argh(option)]
    program: Option<PathBuf>,
    /// order of sizes, statements and the pooler's own draws; 1 where this is not given
    #[argh(option, default = "DEFAULT_SEED")]
    seed: u64,
    /// times that each run is made, 1 to 50; 3 where this is not given
    #[argh(option, default = "DEFAULT_REPEATS")]
    repeats: usize,
    /// seconds after which no further measurement begins, 1 to 3600; 600 where this is not given
    #[argh(option, default = "DEFAULT_LIMIT_S")]
    limit_s: u64,
    /// two small sizes of each run: shows that the runs work, and measures nothing of use
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
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().skip(1).map(String::as_str).collect();
    match Args::from_args(&["footprint"], &words) {
        Ok(Args { command: Command::Measure(args) }) => measure(args),
        Ok(Args { command: Command::Compare(args) }) => compared(&args),
        Err(exit) => {
            let help = exit.status.is_ok();
            if help {
                println!("{}", exit.output);
            } else {
                eprintln!("{}", exit.output.trim_end());
            }
            ExitCode::from(if help { DONE } else { USAGE })
        }
    }
}

fn measure(args: Measure) -> ExitCode {
    if let Err(fault) = checked(&args) {
        eprintln!("footprint: {fault}");
        return ExitCode::from(USAGE);
    }
    let (json, seed, repeats) = (args.json, args.seed, args.repeats);
    let mut report = Report::default();
    let mut bench = match bench(&args) {
        Ok(bench) => bench,
        Err(fault) => {
            eprintln!("footprint: {fault}");
            return ExitCode::from(FAILED);
        }
    };
    let all = if args.runs.is_empty() { Run::ALL.to_vec() } else { args.runs };
    for run in all {
        progress(run);
        if let Err(cause) = run.execute(&mut bench, &mut report) {
            eprintln!("footprint: {}: {cause}", run.name());
            report.record_early_end(&cause);
            break;
        }
    }
    let machine = bench.guard.machine();
    let text = if json { report.json(machine, seed, repeats) } else { report.text(machine, seed, repeats) };
    println!("{text}");
    ExitCode::from(if report.is_partial() { FAILED } else { DONE })
}

fn checked(args: &Measure) -> Result<(), String> {
    if !(1..=MOST_REPEATS).contains(&args.repeats) {
        return Err(format!("--repeats is {}; accepted: 1 to {MOST_REPEATS}", args.repeats));
    }
    if !(1..=MOST_LIMIT_S).contains(&args.limit_s) {
        return Err(format!("--limit-s is {}; accepted: 1 to {MOST_LIMIT_S} seconds", args.limit_s));
    }
    Ok(())
}

fn bench(args: &Measure) -> Result<Bench, MeasureError> {
    let guard = Guard::new(Duration::from_secs(args.limit_s))?;
    let ports = Ports::below(guard.machine().ephemeral_ports.0);
    let program = args.program.clone().unwrap_or_else(beside);
    let random = fastrand::Rng::with_seed(args.seed);
    Ok(Bench { program, guard, ports, random, repeats: args.repeats, quick: args.quick })
}

/// The program in the folder of this command.
fn beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("dewferry")
}

/// Says on a terminal what is being measured.
fn progress(run: Run) {
    if std::io::stderr().is_terminal() {
        eprintln!("measuring {}", run.name());
    }
}

fn compared(args: &Compare) -> ExitCode {
    match compare(&args.first, &args.second) {
        Ok(slopes) => {
            if args.json {
                println!("{}", serde_json::to_string_pretty(&slopes).unwrap_or_default());
            } else {
                slopes.iter().for_each(|slope| println!("{slope}"));
            }
            let agree = slopes.iter().all(|slope| slope.agree);
            ExitCode::from(if agree { DONE } else { FAILED })
        }
        Err(fault) => {
            eprintln!("footprint: {fault}");
            ExitCode::from(USAGE)
        }
    }
}
