//! Runs fleets of hollow poolers on loopback and measures the cost of control per pooler and the time until a
//! change has reached all poolers, by the number of poolers. See docs/scale.md.
#![warn(missing_docs)]

mod clock;
mod commands;
mod error;
mod fleet;
mod hollow;
mod kinds;
mod layout;
mod limits;
mod options;
mod plot;
mod process;
mod protocol;
mod real;
mod report;
mod run;
mod settings;
mod stand_in;
mod traffic;

use std::ffi::OsString;
use std::process::ExitCode;

use protocol::Assignment;

/// Exit status of a run in which a safety check failed.
const EXIT_UNSAFE: u8 = 1;
/// Exit status of a run that was stopped or had invalid arguments, and of a worker process that failed.
const EXIT_STOPPED: u8 = 2;

/// Runs the command, or one of its child processes, depending on the first argument.
pub fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let first = arguments.next();
    let first_is = |subcommand: &str| first.as_deref() == Some(OsString::from(subcommand).as_os_str());
    if first_is(process::WORKER_SUBCOMMAND) {
        return match worker() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error),
        };
    }
    if first_is(process::EXEC_SUBCOMMAND) {
        return fail(&process::exec_program(arguments));
    }
    match run::run(argh::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_UNSAFE),
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("scale: {error}");
    ExitCode::from(EXIT_STOPPED)
}

/// Runs a worker process. Its first input line is its assignment.
fn worker() -> std::io::Result<()> {
    process::exit_with_parent()?;
    let (assignment, commands) = commands::Commands::read()?;
    match assignment {
        Assignment::Hollow(fleet) => hollow::run(fleet, commands),
        Assignment::Discovery(config) => stand_in::discovery::run(&config, commands),
    }
}
