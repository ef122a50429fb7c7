//! `dewferry config`: looks at operator's files, and drives a running daemon's changes over its control socket.

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

/// How long a daemon may take to answer a call (seconds): longer than any disk may take to write a step.
const PATIENCE: Duration = Duration::from_secs(30);
/// How often a change on probation is asked after.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// Look at operator's files, and change a running daemon's configuration.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "config",
    example = "dewferry config check dewferry.toml --config platform.json",
    example = "dewferry config plan dewferry.toml --socket /run/dewferry/control",
    example = "dewferry config apply dewferry.toml --confirm-within 30 --note 'new quota for acme'",
    error_code(0, "done"),
    error_code(1, "refused by the check, or something else is under way"),
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

/// Print a commented operator's file that holds every setting and parses to the defaults.
#[derive(FromArgs)]
#[argh(subcommand, name = "defaults")]
struct Defaults {}

/// Say whether an operator's file can be used; with the platform's configuration, whether it fits that too.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the operator's file
    #[argh(positional)]
    file: PathBuf,
    /// the platform's configuration; the variable LB_CONFIG, if set, where this is not given
    #[argh(option)]
    config: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Say in what two operator's files differ, defaults included.
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

/// Say what a file would change in a running daemon, and what its check finds; nothing is changed.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct Plan {
    /// the operator's file
    #[argh(positional)]
    file: PathBuf,
    /// the daemon's control socket; the variable DEWFERRY_CONTROL where this is not given
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Have a running daemon take a file, and wait until it stands or is rolled back.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// the operator's file
    #[argh(positional)]
    file: PathBuf,
    /// what to say of it in the history
    #[argh(option, default = "String::new()")]
    note: String,
    /// roll back unless `config confirm` comes within so many seconds; such as 30 or 30s
    #[argh(option, from_str_fn(seconds))]
    confirm_within: Option<f64>,
    /// let guarded findings of this code stand; can be given again
    #[argh(option)]
    allow: Vec<String>,
    /// return once it is in force, without waiting for the end of its probation
    #[argh(switch)]
    no_wait: bool,
    /// the daemon's control socket; the variable DEWFERRY_CONTROL where this is not given
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Let the change on probation stand.
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm")]
struct Confirm {
    /// only where it is this generation
    #[argh(option)]
    generation: Option<u64>,
    /// the daemon's control socket; the variable DEWFERRY_CONTROL where this is not given
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Undo the change on probation; without one, go back to an earlier generation by a change of its own.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
struct Rollback {
    /// back to this generation; the confirmed one before the last where this is not given
    #[argh(option)]
    to: Option<u64>,
    /// let guarded findings of this code stand; can be given again
    #[argh(option)]
    allow: Vec<String>,
    /// the daemon's control socket; the variable DEWFERRY_CONTROL where this is not given
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Say what is in force, and what is under way.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// the daemon's control socket; the variable DEWFERRY_CONTROL where this is not given
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// List the generations so far and what became of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {
    /// the daemon's control socket; the variable DEWFERRY_CONTROL where this is not given
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
    /// the daemon's control socket; the variable DEWFERRY_CONTROL where this is not given
    #[argh(option)]
    socket: Option<PathBuf>,
}

/// Print a file with a signature on its last line, in place of one that it may have.
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

/// Say whether a file's signature is that of one of the keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "verify")]
struct Verify {
    /// the operator's file
    #[argh(positional)]
    file: PathBuf,
    /// a key file; can be given again
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
            Err(fault) => fail(&fault),
        },
        Command::Apply(args) => apply(args),
        Command::Confirm(Confirm { generation, socket, json }) => {
            run_call(socket, Call::Confirm { generation }, json)
        }
        Command::Rollback(Rollback { to, allow, socket, json }) => {
            // Undone is what was asked for here: that is no failure.
            match call(socket.clone(), Call::Rollback { to, allow }) {
                Ok(response) if response.code == Code::RolledBack => {
                    print::response(&response, json);
                    ExitCode::SUCCESS
                }
                Ok(response) => ended(&response, json),
                Err(fault) => fail(&fault),
            }
        }
        Command::Status(Status { socket, json }) => run_call(socket, Call::Status {}, json),
        Command::History(History { socket, json }) => run_call(socket, Call::History {}, json),
        Command::Show(Show { socket }) => match call(socket, Call::Show {}) {
            Ok(response) => {
                print!("{}", response.text.unwrap_or_default());
                ExitCode::SUCCESS
            }
            Err(fault) => fail(&fault),
        },
        Command::Sign(Sign { file, key }) => {
            let signed = files::read_key(&key).and_then(|key| {
                let text = text(&file)?;
                bundle::sign(&text, &key).map_err(|fault| fault.to_string())
            });
            match signed {
                Ok(signed) => {
                    print!("{signed}");
                    ExitCode::SUCCESS
                }
                Err(fault) => fail(&fault),
            }
        }
        Command::Verify(Verify { file, key }) => {
            let keys = key.iter().map(|path| files::read_key(path)).collect::<Result<Vec<_>, String>>();
            match keys.and_then(|keys| Ok((text(&file)?, keys))) {
                Err(fault) => fail(&fault),
                Ok((text, keys)) => match bundle::verify(&text, &keys) {
                    Ok(id) => {
                        println!("signed with the key {id}");
                        ExitCode::SUCCESS
                    }
                    Err(fault) => {
                        eprintln!("dewferry: {}: {fault}", file.display());
                        ExitCode::from(1)
                    }
                },
            }
        }
    }
}

/// A file's text, once it is sure to be an operator's file.
fn text(file: &Path) -> Result<String, String> {
    files::read_document(file).map(|(text, _)| text)
}

/// Whether a file can be used.
pub(super) fn check_file(file: &Path, platform: Option<PathBuf>, json: bool) -> ExitCode {
    let document = match files::read_document(file) {
        Ok((_, document)) => document,
        Err(fault) => {
            if json {
                print::response(&Response::new(Code::Unreadable, fault), true);
                return ExitCode::from(2);
            }
            return fail(&fault);
        }
    };
    let digest = document.digest();
    let asked = platform.is_some() || std::env::var_os("LB_CONFIG").is_some();
    if asked {
        let platform = match load(platform) {
            Ok((_, platform)) => platform,
            Err(fault) => return fail(&fault),
        };
        if let Err(conflicts) = EffectiveConfig::new(&platform, document) {
            let mut response = Response::new(Code::Refused, "does not fit the platform's configuration");
            response.findings = conflicts
                .into_iter()
                .map(|c| control::Found {
                    code: "conflict".into(),
                    severity: "error".into(),
                    what: c.to_string(),
                })
                .collect();
            return ended(&response, json);
        }
    }
    let fits = if asked { "and fits the platform's configuration" } else { "by itself" };
    ended(&Response::new(Code::Ok, format!("usable {fits}; digest {}", digest.abbreviated())), json)
}

fn diff(old: &Path, new: &Path, json: bool) -> ExitCode {
    match files::read_document(old).and_then(|old| Ok((old.1, files::read_document(new)?.1))) {
        Ok((old, new)) => {
            let differences = old.differences(&new);
            let mut response = Response::new(Code::Ok, format!("{} values differ", differences.len()));
            response.changes = differences.iter().map(control::Change::from).collect();
            ended(&response, json)
        }
        Err(fault) => fail(&fault),
    }
}

fn apply(args: Apply) -> ExitCode {
    let Apply { file, note, confirm_within, allow, no_wait, socket, json } = args;
    let text = match text(&file) {
        Ok(text) => text,
        Err(fault) => return fail(&fault),
    };
    let call_apply = Call::Apply { text, note, confirm_within_s: confirm_within, allow };
    let response = match call(socket.clone(), call_apply) {
        Ok(response) => response,
        Err(fault) => return fail(&fault),
    };
    let (Code::Applied, Some(number), Some(until)) = (response.code, response.generation, response.until)
    else {
        return ended(&response, json);
    };
    if no_wait || confirm_within.is_some() {
        return ended(&response, json);
    }
    if !json {
        println!("{}; waiting for its end", response.message);
    }
    // Past its end it can only be some moments more: the disk has to write.
    let begun = Instant::now();
    let patience = PATIENCE + Duration::from_secs_f64((until - now()).clamp(0.0, 86_400.0));
    while begun.elapsed() < patience {
        std::thread::sleep(ASK_AGAIN);
        let history = match call(socket.clone(), Call::History {}) {
            Ok(response) => response.history.unwrap_or_default(),
            Err(fault) => return fail(&fault),
        };
        let Some(entry) = history.iter().find(|entry| entry.number == number) else { break };
        let end = match entry.fate {
            GenerationStatus::Confirmed => {
                Response::new(Code::Confirmed, format!("generation {number} stands"))
            }
            GenerationStatus::RolledBack => {
                let message = format!("generation {number} was rolled back: {}", entry.why);
                Response::new(Code::RolledBack, message)
            }
            GenerationStatus::Staged | GenerationStatus::Applied => continue,
        };
        return ended(&Response { generation: Some(number), ..end }, json);
    }
    fail(&format!("no word of what became of generation {number}"))
}

fn now() -> f64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_secs_f64()
}

/// Makes a call, prints the answer and ends as it says.
pub(super) fn run_call(socket: Option<PathBuf>, request: Call, json: bool) -> ExitCode {
    match call(socket, request) {
        Ok(response) => ended(&response, json),
        Err(fault) => fail(&fault),
    }
}

fn ended(response: &Response, json: bool) -> ExitCode {
    print::response(response, json);
    ExitCode::from(response.code.exit_code())
}

/// Makes a call on a daemon's control socket.
pub(super) fn call(socket: Option<PathBuf>, request: Call) -> Result<Response, String> {
    let path = socket.or_else(|| std::env::var_os("DEWFERRY_CONTROL").map(PathBuf::from));
    let path = path.ok_or("no control socket: give --socket or set DEWFERRY_CONTROL")?;
    let named = |fault: &dyn std::fmt::Display| format!("{}: {fault}", path.display());
    let mut stream = UnixStream::connect(&path).map_err(|error| named(&error))?;
    let bounded =
        stream.set_read_timeout(Some(PATIENCE)).and_then(|()| stream.set_write_timeout(Some(PATIENCE)));
    bounded.map_err(|error| named(&error))?;
    // A daemon that turns a call down may not read all of it: what it says counts, not that.
    let written = stream.write_all(&Request::new(request).to_line());
    let mut line = Vec::new();
    let read = BufReader::new(stream.take(MAX_LINE_BYTES as u64)).read_until(b'\n', &mut line);
    match (written, read) {
        (Err(error), _) if line.is_empty() => Err(named(&error)),
        (_, Err(error)) => Err(named(&error)),
        _ if line.is_empty() => Err(named(&"the daemon closed the connection without an answer")),
        _ => serde_json::from_slice(&line).map_err(|error| named(&format!("not an answer: {error}"))),
    }
}
