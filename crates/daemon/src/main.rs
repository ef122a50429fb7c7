//! Entry point of the pooler's executable.

use std::process::ExitCode;

fn main() -> ExitCode {
    dewferry::cli::run()
}
