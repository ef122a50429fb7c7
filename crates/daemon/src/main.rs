//! The pooler's program.

use std::process::ExitCode;

fn main() -> ExitCode {
    dewferry::cli::run()
}
