//! The command line.

mod config;
mod control;
mod fleet;
mod peers;
mod print;
mod registry;
mod registry_client;
mod route;
mod users;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use ::config::{Config, ConfigSummary};
use argh::FromArgs;

use crate::net::OperatorOptions;

/// dewferry: a pooler that routes the reads and writes of a replicated database.
#[derive(FromArgs)]
#[argh(
    example = "dewferry serve --config platform.json --operator dewferry.toml",
    example = "dewferry config apply dewferry.toml --socket /run/dewferry/control --note 'raise quota'",
    error_code(0, "done"),
    error_code(1, "refused by the check, or another operation is in progress"),
    error_code(2, "wrong usage, or a file that cannot be read"),
    error_code(3, "the change was rolled back"),
    error_code(5, "serve --take-over: the trial failed, handed back"),
    error_code(4, "serve: exited with pending replies; the log lists them")
)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Config(config::Args),
    Control(control::Args),
    Fleet(fleet::Args),
    Peers(peers::Args),
    Registry(registry::Args),
    Route(route::Args),
    Users(users::Args),
    Sessions(Sessions),
    Version(Version),
    CheckConfig(CheckConfig),
}

/// Serve until SIGTERM; SIGHUP rereads the files, SIGUSR1 prints the counters.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the platform's configuration; default: the variable LB_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// the operator's file, dewferry.toml; without it only the platform's configuration applies
    #[argh(option)]
    operator: Option<PathBuf>,
    /// folder of the history; required to start if the operator's file, which may name it, is invalid
    #[argh(option)]
    state: Option<PathBuf>,
    /// take over the listeners and the observed state from the running pooler with the same operator's file
    #[argh(switch)]
    take_over: bool,
}

/// List the sessions of ordinary clients, the longest in their state first.
#[derive(FromArgs)]
#[argh(subcommand, name = "sessions")]
struct Sessions {
    /// the pooler's control socket; default: the variable DEWFERRY_CONTROL
    #[argh(option)]
    socket: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Check the platform's configuration, and the operator's file if given, and summarize them.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// the platform's configuration; default: the variable LB_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// the operator's file
    #[argh(option)]
    operator: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Runs the command given on the command line.
pub fn run() -> ExitCode {
    let Args { command } = argh::from_env();
    let result = match command {
        Command::Serve(Serve { config, operator, state, take_over }) => {
            // Before anything is read, which may take its time.
            let signals = crate::net::receive_signals().map_err(|error| format!("cannot serve: {error}"));
            match signals.and_then(|signals| Ok((load(config)?, signals))).and_then(|((path, config), signals)| {
                if operator.is_none() && state.is_some() {
                    return Err("--state without --operator: there would be no changes to store".into());
                }
                if operator.is_none() && take_over {
                    return Err(
                        "--take-over without --operator: the operator's file names the socket of the running pooler".into()
                    );
                }
                let operator = operator.map(|file| OperatorOptions { file, state, take_over });
                crate::net::serve(&config, &path, operator, signals).map_err(|error| format!("cannot serve: {error}"))
            }) {
                Ok(code) => return ExitCode::from(code),
                Err(message) => Err(message),
            }
        }
        Command::Config(args) => return config::run(args),
        Command::Control(args) => return control::run(args),
        Command::Fleet(args) => return fleet::run(args),
        Command::Peers(args) => return peers::run(args),
        Command::Registry(args) => return registry::run(args),
        Command::Route(args) => return route::run(args),
        Command::Users(args) => return users::run(args),
        Command::Sessions(Sessions { socket, json }) => {
            return config::run_call(socket, ::control::Call::Sessions {}, json);
        }
        Command::Version(Version {}) => {
            println!("dewferry {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig(CheckConfig { config, operator: Some(file), json }) => {
            return config::check_file(&file, config, json);
        }
        Command::CheckConfig(CheckConfig { config, operator: None, json }) => {
            load(config).and_then(|(_, config)| print_summary(&config, json))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => fail(&message),
    }
}

/// Prints the summary of a platform's configuration; returns an error if it contains unsupported statements.
fn print_summary(config: &Config, json: bool) -> Result<(), String> {
    let summary = ConfigSummary::of(config);
    let usable = summary.errors.is_empty();
    let (name, listen, classes) = (&config.name, config.listen, config.classes.len());
    if json {
        let output = serde_json::json!({
            "usable": usable,
            "name": name,
            "listen": listen.to_string(),
            "meaning": summary.lines.iter().cloned().collect::<std::collections::BTreeMap<_, _>>(),
            "doubts": summary.warnings,
            "faults": summary.errors,
        });
        println!("{output}");
    } else {
        let verdict = if usable { "usable" } else { "not usable" };
        print!("{verdict}: {name} listens on {listen} for {classes} classes of requests\n{summary}");
    }
    if usable {
        Ok(())
    } else {
        Err(summary.errors.join("; "))
    }
}

/// Prints an error; returns the exit code for wrong usage and unreadable files.
fn fail(message: &str) -> ExitCode {
    eprintln!("dewferry: {message}");
    ExitCode::from(2)
}

/// Reads the platform's configuration from `path` or, without it, from the path in LB_CONFIG.
fn load(path: Option<PathBuf>) -> Result<(PathBuf, Config), String> {
    let path = path.or_else(|| std::env::var_os("LB_CONFIG").map(PathBuf::from));
    let path = path.ok_or("no configuration: give --config or set LB_CONFIG")?;
    let config = load_file(&path)?;
    Ok((path, config))
}

fn load_file(path: &Path) -> Result<Config, String> {
    Config::load(path).map_err(|error| error.to_string())
}
