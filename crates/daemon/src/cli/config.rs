//! `dewferry config`: checks operator's files, and changes a running pooler's configuration over its control
//! socket.

use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use control::{Call, Code, Request, Response, MAX_LINE_BYTES};
use operator::{schema, EffectiveConfig};
use transaction::GenerationStatus;

use super::{fail, load, print};
use crate::files;

/// Time limit for the answer to a call: longer than a disk may take to write a step.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between queries for the status of a change on probation.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Check operator's files, and change a running pooler's configuration.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "config",
    example = "dewferry config check dewferry.toml --config platform.json",
    example = "dewferry config plan dewferry.toml --socket /run/dewferry/control",
    example = "dewferry config apply dewferry.toml --confirm-within 30 --note 'new quota for acme'",
    error_code(0, "done"),
    error_code(1, "refused by the check, or another operation is in progress"),
    error_code(2, "wrong usage, or a file that cannot be read"),
    error_code(3, "the change was rolled back")
)]
pub(super) struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Defaults(Defaults),
    Check(Check),
    Diff(Diff),
    Plan(Plan),
    Apply(Apply),
    Confirm(Confirm),
    Rollback(Rollback),
    Status(Status),
    History(History),
    Show(Show),
    Sign(Sign),
    Verify(Verify),
}

/// Print a commented operator's file with every setting at its default.
#[derive(FromArgs)]
#[argh(subcommand, name = "defaults")]
struct Defaults {}

/// Check an operator's file; with the platform's configuration, check that it fits that too.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the operator's file
    #[argh(positional)]
    file: PathBuf,
    /// the platform's configuration; default: the variable LB_CONFIG, if set
    #[argh(option)]
    config: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Show the differences of two operator's files, defaults included.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// the old file
    #[argh(positional)]
    old: PathBuf,
    /// the new file
    #[argh(positional)]
    new: PathBuf,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Show what a file would change in a running pooler, and the findings of the check; change nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct Plan {
    /// the operator's file
    #[argh(positional)]
    file: PathBuf,
    /// the pooler's control socket; default: the variable DEWFERRY_CONTROL
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Apply a file to a running pooler, and wait until it is confirmed or rolled back.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// the operator's file
    #[argh(positional)]
    file: PathBuf,
    /// note for the history
    #[argh(option, default = "String::new()")]
    note: String,
    /// roll back unless `config confirm` follows within this many seconds, such as 30 or 30s
    #[argh(option, from_str_fn(seconds))]
    confirm_within: Option<f64>,
    /// allow guarded findings of this code; repeatable
    #[argh(option)]
    allow: Vec<String>,
    /// return once the file is in force, without waiting for the end of the probation
    #[argh(switch)]
    no_wait: bool,
    /// the pooler's control socket; default: the variable DEWFERRY_CONTROL
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Confirm the change on probation.
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm")]
struct Confirm {
    /// confirm this generation only
    #[argh(option)]
    generation: Option<u64>,
    /// the pooler's control socket; default: the variable DEWFERRY_CONTROL
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Roll back the change on probation; without one, return to an earlier generation by a new change.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
struct Rollback {
    /// generation to return to; default: the confirmed one before the current
    #[argh(option)]
    to: Option<u64>,
    /// allow guarded findings of this code; repeatable
    #[argh(option)]
    allow: Vec<String>,
    /// the pooler's control socket; default: the variable DEWFERRY_CONTROL
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Show the configuration in force, and the change in progress.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// the pooler's control socket; default: the variable DEWFERRY_CONTROL
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// List the generations and their status.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {
    /// the pooler's control socket; default: the variable DEWFERRY_CONTROL
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Print the operator's file in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// the pooler's control socket; default: the variable DEWFERRY_CONTROL
    #[argh(option)]
    socket: Option<PathBuf>,
}

/// Print a file with a signature on its last line; replaces an existing signature.
#[derive(FromArgs)]
#[argh(subcommand, name = "sign")]
struct Sign {
    /// the operator's file
    #[argh(positional)]
    file: PathBuf,
    /// the key file: at least 32 bytes in hexadecimal, mode 0600 or stricter
    #[argh(option)]
    key: PathBuf,
}

/// Check that a file is signed with one of the keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "verify")]
struct Verify {
    /// the operator's file
    #[argh(positional)]
    file: PathBuf,
    /// a key file; repeatable
    #[argh(option)]
    key: Vec<PathBuf>,
}

fn seconds(text: &str) -> Result<f64, String> {
    let number = text.strip_suffix('s').unwrap_or(text).parse::<f64>();
    number
        .ok()
        .filter(|s| (0.1..=86_400.0).contains(s))
        .ok_or("accepted: 0.1 to 86400 seconds, such as 30s".into())
}

/// Runs one of the commands.
pub(super) fn run(args: Args) -> ExitCode {
    match args.command {
        Command::Defaults(Defaults {}) => {
            print!("{}", schema::defaults());
            ExitCode::SUCCESS
        }
        Command::Check(Check { file, config, json }) => check_file(&file, config, json),
        Command::Diff(Diff { old, new, json }) => diff(&old, &new, json),
        Command::Plan(Plan { file, socket, json }) => match text(&file) {
            Ok(text) => run_call(socket, Call::Plan { text }, json),
            Err(error) => fail(&error),
        },
        Command::Apply(args) => apply(args),
        Command::Confirm(Confirm { generation, socket, json }) => {
            run_call(socket, Call::Confirm { generation }, json)
        }
        Command::Rollback(Rollback { to, allow, socket, json }) => {
            // A rollback is what was requested here, so it is not a failure.
            match call(socket.clone(), Call::Rollback { to, allow }) {
                Ok(response) if response.code == Code::RolledBack => {
                    print::response(&response, json);
                    ExitCode::SUCCESS
                }
                Ok(response) => print_response(&response, json),
                Err(error) => fail(&error),
            }
        }
        Command::Status(Status { socket, json }) => run_call(socket, Call::Status {}, json),
        Command::History(History { socket, json }) => run_call(socket, Call::History {}, json),
        Command::Show(Show { socket }) => match call(socket, Call::Show {}) {
            Ok(response) => {
                print!("{}", response.text.unwrap_or_default());
                ExitCode::SUCCESS
            }
            Err(error) => fail(&error),
        },
        Command::Sign(Sign { file, key }) => {
            let signed = files::read_key(&key).and_then(|key| {
                let text = text(&file)?;
                bundle::sign(&text, &key).map_err(|error| error.to_string())
            });
            match signed {
                Ok(signed) => {
                    print!("{signed}");
                    ExitCode::SUCCESS
                }
                Err(error) => fail(&error),
            }
        }
        Command::Verify(Verify { file, key }) => {
            let keys = key.iter().map(|path| files::read_key(path)).collect::<Result<Vec<_>, String>>();
            match keys.and_then(|keys| Ok((text(&file)?, keys))) {
                Err(error) => fail(&error),
                Ok((text, keys)) => match bundle::verify(&text, &keys) {
                    Ok(id) => {
                        println!("signed with the key {id}");
                        ExitCode::SUCCESS
                    }
                    Err(error) => {
                        eprintln!("dewferry: {}: {error}", file.display());
                        ExitCode::from(1)
                    }
                },
            }
        }
    }
}

/// Text of a file that has been checked to be an operator's file.
fn text(file: &Path) -> Result<String, String> {
    files::read_document(file).map(|(text, _)| text)
}

/// Checks an operator's file, by itself or against the platform's configuration.
pub(super) fn check_file(file: &Path, platform: Option<PathBuf>, json: bool) -> ExitCode {
    let document = match files::read_document(file) {
        Ok((_, document)) => document,
        Err(error) => {
            if json {
                print::response(&Response::new(Code::Unreadable, error), true);
                return ExitCode::from(2);
            }
            return fail(&error);
        }
    };
    let digest = document.digest();
    let has_platform = platform.is_some() || std::env::var_os("LB_CONFIG").is_some();
    if has_platform {
        let platform = match load(platform) {
            Ok((_, platform)) => platform,
            Err(error) => return fail(&error),
        };
        if let Err(conflicts) = EffectiveConfig::new(&platform, document) {
            let mut response = Response::new(Code::Refused, "does not fit the platform's configuration");
            response.findings = conflicts
                .into_iter()
                .map(|conflict| control::Found {
                    code: "conflict".into(),
                    severity: "error".into(),
                    what: conflict.to_string(),
                })
                .collect();
            return print_response(&response, json);
        }
    }
    let extent = if has_platform { "and fits the platform's configuration" } else { "by itself" };
    print_response(
        &Response::new(Code::Ok, format!("usable {extent}; digest {}", digest.abbreviated())),
        json,
    )
}

fn diff(old: &Path, new: &Path, json: bool) -> ExitCode {
    match files::read_document(old).and_then(|old| Ok((old.1, files::read_document(new)?.1))) {
        Ok((old, new)) => {
            let differences = old.differences(&new);
            let mut response = Response::new(Code::Ok, format!("{} values differ", differences.len()));
            response.changes = differences.iter().map(control::Change::from).collect();
            print_response(&response, json)
        }
        Err(error) => fail(&error),
    }
}

fn apply(args: Apply) -> ExitCode {
    let Apply { file, note, confirm_within, allow, no_wait, socket, json } = args;
    let text = match text(&file) {
        Ok(text) => text,
        Err(error) => return fail(&error),
    };
    let call_apply = Call::Apply { text, note, confirm_within_s: confirm_within, allow };
    let response = match call(socket.clone(), call_apply) {
        Ok(response) => response,
        Err(error) => return fail(&error),
    };
    let (Code::Applied, Some(number), Some(probation_end)) =
        (response.code, response.generation, response.until)
    else {
        return print_response(&response, json);
    };
    if no_wait || confirm_within.is_some() {
        return print_response(&response, json);
    }
    if !json {
        println!("{}; waiting for the end of its probation", response.message);
    }
    // After the end of the probation only the record of the result has to be written to disk.
    let started_at = Instant::now();
    let timeout = CALL_TIMEOUT + Duration::from_secs_f64((probation_end - now()).clamp(0.0, 86_400.0));
    while started_at.elapsed() < timeout {
        std::thread::sleep(POLL_INTERVAL);
        let history = match call(socket.clone(), Call::History {}) {
            Ok(response) => response.history.unwrap_or_default(),
            Err(error) => return fail(&error),
        };
        let Some(entry) = history.iter().find(|entry| entry.number == number) else { break };
        let result = match entry.fate {
            GenerationStatus::Confirmed => {
                Response::new(Code::Confirmed, format!("generation {number} is confirmed"))
            }
            GenerationStatus::RolledBack => {
                let message = format!("generation {number} was rolled back: {}", entry.why);
                Response::new(Code::RolledBack, message)
            }
            GenerationStatus::Staged | GenerationStatus::Applied => continue,
        };
        return print_response(&Response { generation: Some(number), ..result }, json);
    }
    fail(&format!("the result of generation {number} is not known"))
}

fn now() -> f64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_secs_f64()
}

/// Makes a call and prints the answer; returns the exit code of the answer.
pub(super) fn run_call(socket: Option<PathBuf>, request: Call, json: bool) -> ExitCode {
    match call(socket, request) {
        Ok(response) => print_response(&response, json),
        Err(error) => fail(&error),
    }
}

fn print_response(response: &Response, json: bool) -> ExitCode {
    print::response(response, json);
    ExitCode::from(response.code.exit_code())
}

/// Makes a call over a pooler's control socket.
pub(super) fn call(socket: Option<PathBuf>, request: Call) -> Result<Response, String> {
    let path = socket.or_else(|| std::env::var_os("DEWFERRY_CONTROL").map(PathBuf::from));
    let path = path.ok_or("no control socket: give --socket or set DEWFERRY_CONTROL")?;
    let with_path = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let mut stream = UnixStream::connect(&path).map_err(|error| with_path(&error))?;
    let timeouts_set = stream
        .set_read_timeout(Some(CALL_TIMEOUT))
        .and_then(|()| stream.set_write_timeout(Some(CALL_TIMEOUT)));
    timeouts_set.map_err(|error| with_path(&error))?;
    // A pooler that rejects a call may not read all of it: its answer counts, not the failed write.
    let written = stream.write_all(&Request::new(request).to_line());
    let mut line = Vec::new();
    let read = BufReader::new(stream.take(MAX_LINE_BYTES as u64)).read_until(b'\n', &mut line);
    match (written, read) {
        (Err(error), _) if line.is_empty() => Err(with_path(&error)),
        (_, Err(error)) => Err(with_path(&error)),
        _ if line.is_empty() => Err(with_path(&"the pooler closed the connection without an answer")),
        _ => serde_json::from_slice(&line).map_err(|error| with_path(&format!("not an answer: {error}"))),
    }
}
