//! Runs routing policies behind a simulator's wire protocol: reads and writes lines, and flushes once per
//! batch.

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = wire::Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(error) => {
                eprintln!("dewferry-adapter: line {number}: cannot read: {error}");
                return ExitCode::from(2);
            }
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match host.handle_line(&line, &mut output) {
            Ok(false) => {}
            Ok(true) => {
                if output.flush().is_err() {
                    return ExitCode::SUCCESS;
                }
            }
            Err(message) => {
                eprintln!("dewferry-adapter: line {number}: {message}");
                return ExitCode::from(2);
            }
        }
    }
}
