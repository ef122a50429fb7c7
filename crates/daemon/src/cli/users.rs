//! `dewferry users`: edits the file of users for ordinary clients.

use std::io::{Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use scram::{Users, Verifier, DEFAULT_ITERATIONS};
use serde_json::json;

use super::fail;
use crate::files;

/// Maximum length of a password (bytes).
const MAX_PASSWORD_BYTES: u64 = 1_024;

/// Edit the file of users that pool.users names. It stores password verifiers, not passwords.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "users",
    example = "dewferry users add shop --file /etc/dewferry/users < password",
    example = "dewferry users list --file /etc/dewferry/users --json",
    error_code(0, "done"),
    error_code(1, "there is no such user"),
    error_code(2, "wrong usage, or a file that cannot be read or written")
)]
pub(super) struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Add(Add),
    Remove(Remove),
    List(List),
}

/// Add a user or change a password, which is read as one line from standard input.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct Add {
    /// the user's name
    #[argh(positional)]
    name: String,
    /// the file; created if it does not exist
    #[argh(option)]
    file: PathBuf,
}

/// Remove a user.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// the user's name
    #[argh(positional)]
    name: String,
    /// the file
    #[argh(option)]
    file: PathBuf,
}

/// List the users' names.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// the file
    #[argh(option)]
    file: PathBuf,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Runs one of the commands.
pub(super) fn run(args: Args) -> ExitCode {
    let result = match args.command {
        Command::Add(Add { name, file }) => add(&name, &file),
        Command::Remove(Remove { name, file }) => remove(&name, &file),
        Command::List(List { file, json }) => list(&file, json),
    };
    result.unwrap_or_else(|error| fail(&error))
}

fn add(name: &str, file: &Path) -> Result<ExitCode, String> {
    let mut users = if file.exists() { files::read_users(file)? } else { Users::default() };
    let mut password = String::new();
    let read = std::io::stdin().take(MAX_PASSWORD_BYTES + 1).read_to_string(&mut password);
    read.map_err(|error| format!("the password: {error}"))?;
    let password = password.strip_suffix('\n').unwrap_or(&password);
    // SASLprep is not implemented here, so a password with characters that it would change is rejected:
    // clients would derive their proof from another password.
    if password.is_empty()
        || password.len() as u64 > MAX_PASSWORD_BYTES
        || !password.chars().all(|c| (' '..='~').contains(&c))
    {
        return Err(format!(
            "the password: accepted: one line of 1 to {MAX_PASSWORD_BYTES} printable ASCII characters"
        ));
    }
    let mut salt = [0; 16];
    files::fill_random(&mut salt)?;
    if !users.insert(name, Verifier::new(password, &salt, DEFAULT_ITERATIONS)) {
        return Err(format!("{name:?}: accepted: a name of at most 63 bytes that does not begin with #"));
    }
    write(file, &users)?;
    println!("{name}: written");
    Ok(ExitCode::SUCCESS)
}

fn remove(name: &str, file: &Path) -> Result<ExitCode, String> {
    let mut users = files::read_users(file)?;
    if !users.remove(name) {
        eprintln!("dewferry: {name}: no such user");
        return Ok(ExitCode::from(1));
    }
    write(file, &users)?;
    println!("{name}: removed");
    Ok(ExitCode::SUCCESS)
}

fn list(file: &Path, json: bool) -> Result<ExitCode, String> {
    let users = files::read_users(file)?;
    if json {
        println!("{}", json!({"users": users.names().collect::<Vec<_>>()}));
    } else {
        users.names().for_each(|name| println!("{name}"));
    }
    Ok(ExitCode::SUCCESS)
}

/// Replaces the file by renaming, since a pooler may be reading it.
fn write(file: &Path, users: &Users) -> Result<(), String> {
    let with_path = |error: std::io::Error| format!("{}: {error}", file.display());
    let temporary = file.with_extension("new");
    let mut options = std::fs::OpenOptions::new();
    let mut out =
        options.create(true).truncate(true).write(true).mode(0o600).open(&temporary).map_err(with_path)?;
    out.write_all(users.to_text().as_bytes()).and_then(|()| out.sync_all()).map_err(with_path)?;
    std::fs::rename(&temporary, file).map_err(with_path)
}
