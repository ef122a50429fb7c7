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

/// dewferry: a pooler that sends each read and write of a replicated database where it belongs.
#[derive(FromArgs)]
#[argh(
    example = "dewferry serve --config platform.json --operator dewferry.toml",
    example = "dewferry config apply dewferry.toml --socket /run/dewferry/control --note 'raise quota'",
    error_code(0, "done"),
    error_code(1, "refused by the check, or something else is under way"),
    error_code(2, "wrong usage, or a file that cannot be read"),
    error_code(3, "the change was rolled back"),
    error_code(5, "serve --take-over: the first seconds went badly, handed back"),
    error_code(4, "serve: ended while answers were owed; the log lists them")
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
    /// the platform's configuration; the variable LB_CONFIG where this is not given
    #[argh(option)]
    config: Option<PathBuf>,
    /// the operator's file, dewferry.toml; without it nothing but the platform's word holds
    #[argh(option)]
    operator: Option<PathBuf>,
    /// folder of the history; needed to come up where the operator's file, which may name it, is bad
    #[argh(option)]
    state: Option<PathBuf>,
    /// take over the listeners, and what is known, from the daemon that runs with the same operator's file
    #[argh(switch)]
    take_over: bool,
}

/// List the sessions of ordinary clients, those that have lasted longest in their state first.
#[derive(FromArgs)]
#[argh(subcommand, name = "sessions")]
struct Sessions {
    /// the daemon's control socket; the variable DEWFERRY_CONTROL where this is not given
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

/// Read the platform's configuration, and the operator's file where given; say whether they can be used and what
/// they mean.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// the platform's configuration; the variable LB_CONFIG where this is not given
    #[argh(option)]
    config: Option<PathBuf>,
    /// the operator's file
    #[argh(option)]
    operator: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Runs the program as its command line says.
pub fn run() -> ExitCode {
    let Args { command } = argh::from_env();
    let result = match command {
        Command::Serve(Serve { config, operator, state, take_over }) => {
            match load(config).and_then(|(path, config)| {
                if operator.is_none() && state.is_some() {
                    return Err("--state without --operator: there would be no changes to keep".into());
                }
                if operator.is_none() && take_over {
                    return Err(
                        "--take-over without --operator: it names the socket of the running daemon".into()
                    );
                }
                let operator = operator.map(|file| OperatorOptions { file, state, take_over });
                crate::net::serve(&config, &path, operator).map_err(|error| format!("cannot serve: {error}"))
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
            load(config).and_then(|(_, config)| meant(&config, json))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => fail(&message),
    }
}

/// Says what a platform's configuration means; the fault where something in it can't be honoured.
fn meant(config: &Config, json: bool) -> Result<(), String> {
    let meaning = ConfigSummary::of(config);
    let usable = meaning.errors.is_empty();
    let (name, listen, classes) = (&config.name, config.listen, config.classes.len());
    if json {
        let told = serde_json::json!({
            "usable": usable,
            "name": name,
            "listen": listen.to_string(),
            "meaning": meaning.lines.iter().cloned().collect::<std::collections::BTreeMap<_, _>>(),
            "doubts": meaning.warnings,
            "faults": meaning.errors,
        });
        println!("{told}");
    } else {
        let verdict = if usable { "usable" } else { "not usable" };
        print!("{verdict}: {name} listens on {listen} for {classes} classes of requests\n{meaning}");
    }
    if usable {
        Ok(())
    } else {
        Err(meaning.errors.join("; "))
    }
}

/// Says why nothing was done.
fn fail(message: &str) -> ExitCode {
    eprintln!("dewferry: {message}");
    ExitCode::from(2)
}

/// The platform's configuration: of the path given, or of the variable's.
fn load(path: Option<PathBuf>) -> Result<(PathBuf, Config), String> {
    let path = path.or_else(|| std::env::var_os("LB_CONFIG").map(PathBuf::from));
    let path = path.ok_or("no configuration: give --config or set LB_CONFIG")?;
    let config = read(&path)?;
    Ok((path, config))
}

fn read(path: &Path) -> Result<Config, String> {
    Config::load(path).map_err(|error| error.to_string())
}
