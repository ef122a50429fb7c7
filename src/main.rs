//! The pooler's program.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    dewferry::cli::run()
}
