//! `dewferry peers`: other instances, as one of them sees them.

use std::path::PathBuf;
use std::process::ExitCode;

use ::control::{Call, Code, PeersQuery as What, Response};
use argh::FromArgs;
use serde_json::Value;

use super::config::call;
use super::fail;

/// Other instances: who is there, what differs, why a value is believed.
#[derive(FromArgs)]
#[argh(subcommand, name = "peers")]
pub(super) struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Status(Status),
    Members(Members),
    Diff(Diff),
    Explain(Explain),
    Forget(Forget),
}

/// Who is there, how far behind each is, and whether all hold the same.
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

/// How db machines look to the other instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct Members {
    /// the daemon's control socket; the variable DEWFERRY_CONTROL where this is not given
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Whose facts two instances hold differently; exit code 1 where there are any.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// the control socket of one
    #[argh(positional)]
    a: PathBuf,
    /// the control socket of the other
    #[argh(positional)]
    b: PathBuf,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Why a member, or a session, is taken for what it is taken for.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// member or session
    #[argh(positional)]
    what: String,
    /// its name
    #[argh(positional)]
    name: String,
    /// the daemon's control socket; the variable DEWFERRY_CONTROL where this is not given
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Say that an instance, or a seed by its address, is over and does not come back: only once its process is known not to
/// run.
#[derive(FromArgs)]
#[argh(subcommand, name = "forget")]
struct Forget {
    /// its name, or the seed's address
    #[argh(positional)]
    name: String,
    /// the daemon's control socket; the variable DEWFERRY_CONTROL where this is not given
    #[argh(option)]
    socket: Option<PathBuf>,
}

/// Runs the command.
pub(super) fn run(args: Args) -> ExitCode {
    let (socket, json, what) = match args.command {
        Command::Diff(Diff { a, b, json }) => return diff(a, b, json),
        Command::Status(Status { socket, json }) => (socket, json, What::Status),
        Command::Members(Members { socket, json }) => (socket, json, What::Members),
        Command::Forget(Forget { name, socket }) => (socket, false, What::Forget(name)),
        Command::Explain(Explain { what, name, socket, json }) => match what.as_str() {
            "member" => (socket, json, What::Member(name)),
            "session" => (socket, json, What::Session(name)),
            other => return fail(&format!("explain {other}: accepted: member, session")),
        },
    };
    match call(socket, Call::Peers { what }) {
        Ok(response) => told(&response, json),
        Err(fault) => fail(&fault),
    }
}

fn told(response: &Response, json: bool) -> ExitCode {
    match &response.peers {
        Some(value) if json => println!("{value}"),
        Some(value) => print(value),
        None if response.code == Code::Ok => println!("{}", response.message),
        None => eprintln!("dewferry: {}", response.message),
    }
    ExitCode::from(response.code.exit_code())
}

/// What can be told of both, held against each other.
fn diff(a: PathBuf, b: PathBuf, json: bool) -> ExitCode {
    let ask = |socket: PathBuf| {
        let response = call(Some(socket), Call::Peers { what: What::Digests })?;
        response.peers.ok_or(response.message)
    };
    let (a, b) = match (ask(a), ask(b)) {
        (Ok(a), Ok(b)) => (a, b),
        (Err(fault), _) | (_, Err(fault)) => return fail(&fault),
    };
    let empty = serde_json::Map::new();
    let authors = |of: &Value| of["authors"].as_object().unwrap_or(&empty).clone();
    let (a, b) = (authors(&a), authors(&b));
    let names: std::collections::BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    let differ: Vec<&String> = names.into_iter().filter(|name| a.get(*name) != b.get(*name)).collect();
    if json {
        println!("{}", serde_json::json!({ "equal": differ.is_empty(), "differ": differ }));
    } else if differ.is_empty() {
        println!("equal");
    } else {
        differ.iter().for_each(|name| println!("{name}: its facts are not the same at both"));
    }
    ExitCode::from(u8::from(!differ.is_empty()))
}

/// An answer for people: a line each.
fn print(value: &Value) {
    let word = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Number(number) => {
            number.as_f64().map_or(number.to_string(), |n| format!("{}", (n * 1e3).round() / 1e3))
        }
        other => other.to_string(),
    };
    let Some(object) = value.as_object() else { return };
    for (key, value) in object {
        match value {
            Value::Array(items) => {
                println!("{key}:");
                for item in items {
                    let line = match item.as_object() {
                        Some(fields) => {
                            let fields = fields.iter().map(|(key, value)| format!("{key}={}", word(value)));
                            fields.collect::<Vec<_>>().join(" ")
                        }
                        None => word(item),
                    };
                    println!("  {line}");
                }
            }
            value => println!("{key}: {}", word(value)),
        }
    }
}
