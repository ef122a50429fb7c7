//! `dewferry control`: runs a control instance of the session directory.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use super::fail;
use crate::files;

/// Serve as a control instance of the session directory until SIGTERM; SIGUSR1 prints the counters.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "control",
    example = "dewferry control --operator /etc/dewferry/dewferry.toml --name c1"
)]
pub(super) struct Args {
    /// the operator's file, with the same peers.control, peers.keys and related settings as at the poolers
    #[argh(option)]
    operator: PathBuf,
    /// name of this instance, one of those in peers.control
    #[argh(option)]
    name: String,
    /// the address to listen on, if it differs from the one in peers.control
    #[argh(option)]
    listen: Option<SocketAddr>,
}

/// Runs the command.
pub(super) fn run(args: Args) -> ExitCode {
    let result = files::read_document(&args.operator)
        .and_then(|(_, document)| crate::net::serve_control(&document, &args.name, args.listen));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}
