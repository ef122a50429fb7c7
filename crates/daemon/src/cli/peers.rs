//! `dewferry peers`: the state exchange between instances, as one instance sees it.

use std::path::PathBuf;
use std::process::ExitCode;

use ::control::{Call, Code, PeersQuery as Query, Response};
use argh::FromArgs;
use serde_json::Value;

use super::config::call;
use super::fail;

/// Inspect the state exchange: peers, differences, and the reasons of a value.
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

/// List the peers, how far behind each is, and whether all hold the same state.
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

/// Show the members as the peers report them.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct Members {
    /// the pooler's control socket; default: the variable DEWFERRY_CONTROL
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// List the instances whose state differs between two instances; exit code 1 if there are any.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// the control socket of the first instance
    #[argh(positional)]
    a: PathBuf,
    /// the control socket of the second instance
    #[argh(positional)]
    b: PathBuf,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Explain the state of a member or a session.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// member or session
    #[argh(positional)]
    what: String,
    /// name of the member or session
    #[argh(positional)]
    name: String,
    /// the pooler's control socket; default: the variable DEWFERRY_CONTROL
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Remove an instance, or a seed by its address, for good; its process must be known not to run.
#[derive(FromArgs)]
#[argh(subcommand, name = "forget")]
struct Forget {
    /// name of the instance, or address of the seed
    #[argh(positional)]
    name: String,
    /// the pooler's control socket; default: the variable DEWFERRY_CONTROL
    #[argh(option)]
    socket: Option<PathBuf>,
}

/// Runs the command.
pub(super) fn run(args: Args) -> ExitCode {
    let (socket, json, query) = match args.command {
        Command::Diff(Diff { a, b, json }) => return diff(a, b, json),
        Command::Status(Status { socket, json }) => (socket, json, Query::Status),
        Command::Members(Members { socket, json }) => (socket, json, Query::Members),
        Command::Forget(Forget { name, socket }) => (socket, false, Query::Forget(name)),
        Command::Explain(Explain { what, name, socket, json }) => match what.as_str() {
            "member" => (socket, json, Query::Member(name)),
            "session" => (socket, json, Query::Session(name)),
            other => return fail(&format!("explain {other}: accepted: member, session")),
        },
    };
    match call(socket, Call::Peers { what: query }) {
        Ok(response) => print_answer(&response, json),
        Err(error) => fail(&error),
    }
}

fn print_answer(response: &Response, json: bool) -> ExitCode {
    match &response.peers {
        Some(value) if json => println!("{value}"),
        Some(value) => print_text(value),
        None if response.code == Code::Ok => println!("{}", response.message),
        None => eprintln!("dewferry: {}", response.message),
    }
    ExitCode::from(response.code.exit_code())
}

/// Compares the digests of two instances.
fn diff(a: PathBuf, b: PathBuf, json: bool) -> ExitCode {
    let fetch_digests = |socket: PathBuf| {
        let response = call(Some(socket), Call::Peers { what: Query::Digests })?;
        response.peers.ok_or(response.message)
    };
    let (a, b) = match (fetch_digests(a), fetch_digests(b)) {
        (Ok(a), Ok(b)) => (a, b),
        (Err(error), _) | (_, Err(error)) => return fail(&error),
    };
    let empty = serde_json::Map::new();
    let digests_of = |of: &Value| of["authors"].as_object().unwrap_or(&empty).clone();
    let (a, b) = (digests_of(&a), digests_of(&b));
    let names: std::collections::BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    let differing: Vec<&String> = names.into_iter().filter(|name| a.get(*name) != b.get(*name)).collect();
    if json {
        println!("{}", serde_json::json!({ "equal": differing.is_empty(), "differ": differing }));
    } else if differing.is_empty() {
        println!("equal");
    } else {
        differing.iter().for_each(|name| println!("{name}: its state is not the same at both"));
    }
    ExitCode::from(u8::from(!differing.is_empty()))
}

/// Prints an answer as text, one line per value.
fn print_text(value: &Value) {
    let format_value = |value: &Value| match value {
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
                            let fields =
                                fields.iter().map(|(key, value)| format!("{key}={}", format_value(value)));
                            fields.collect::<Vec<_>>().join(" ")
                        }
                        None => format_value(item),
                    };
                    println!("  {line}");
                }
            }
            value => println!("{key}: {}", format_value(value)),
        }
    }
}
