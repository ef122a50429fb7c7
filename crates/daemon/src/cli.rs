//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use config::Config;

/// dewferry: a pooler that sends each read and write of a replicated database where it belongs.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Version(Version),
    CheckConfig(CheckConfig),
}

/// Serve until SIGTERM; SIGHUP rereads the configuration, SIGUSR1 prints the counters.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration file; the variable LB_CONFIG where this is not given
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Read the configuration, say whether it can be used, and stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// the configuration file; the variable LB_CONFIG where this is not given
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Runs the program as its command line says.
pub fn run() -> ExitCode {
    let Args { command } = argh::from_env();
    let result = match command {
        Command::Serve(Serve { config }) => load(config).and_then(|(path, config)| {
            crate::net::serve(&config, &path).map_err(|error| format!("cannot serve: {error}"))
        }),
        Command::Version(Version {}) => {
            println!("dewferry {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig(CheckConfig { config }) => load(config).map(|(_, config)| {
            println!(
                "usable: {} listens on {} for {} classes of requests, discovery at {}",
                config.name,
                config.listen,
                config.classes.len(),
                config.discovery
            );
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("dewferry: {message}");
            ExitCode::from(2)
        }
    }
}

fn load(path: Option<PathBuf>) -> Result<(PathBuf, Config), String> {
    let path = path.or_else(|| std::env::var_os("LB_CONFIG").map(PathBuf::from));
    let path = path.ok_or("no configuration: give --config or set LB_CONFIG")?;
    let config = Config::load(&path).map_err(|error| error.to_string())?;
    Ok((path, config))
}
