//! `dewferry registry`: looks at the list in a registry, and drains members there.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use buffer::{Budget, Fill, Ring};
use http1::{Answer, Piece, Request as Http};
use operator::Registry as Settings;
use registry::schema::Members;
use registry::wire::{self, after, Range};
use registry::{Entry, View};
use routing::interface::Phase;

use super::fail;
use crate::files;

/// Keys in a page, and pages at most: more than a pooler would follow.
const PAGE: u64 = 1_000;
const PAGES: usize = 200;
/// Longest answer that is read (bytes).
const LONGEST: usize = 16 * 1024 * 1024;

/// Look at the list in the registry that an operator's file names, and drain members there.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "registry",
    example = "dewferry registry view --operator dewferry.toml",
    example = "dewferry registry drain s-7 --operator dewferry.toml --note 'disk is failing'",
    error_code(0, "done"),
    error_code(1, "a value cannot be understood, or the key was changed by somebody else meanwhile"),
    error_code(2, "wrong usage, a file that cannot be read, or no endpoint that answers")
)]
pub(super) struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    View(ViewArgs),
    Check(Check),
    Drain(Drain),
    Undrain(Undrain),
}

/// List the members as a pooler would understand them.
#[derive(FromArgs)]
#[argh(subcommand, name = "view")]
struct ViewArgs {
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Say which values cannot be understood, and why; exit code 1 where there are any.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
}

/// Have a member complete its work and get nothing new, until it is undrained.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// the member's name
    #[argh(positional)]
    member: String,
    /// why, for other people
    #[argh(option, default = "String::new()")]
    note: String,
    /// say what would be written, and write nothing
    #[argh(switch)]
    dry_run: bool,
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
}

/// Take a drain back.
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
struct Undrain {
    /// the member's name
    #[argh(positional)]
    member: String,
    /// say what would be written, and write nothing
    #[argh(switch)]
    dry_run: bool,
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
}

/// Runs one of the commands.
pub(super) fn run(args: Args) -> ExitCode {
    let result = match args.command {
        Command::View(ViewArgs { operator, json }) => view(&operator, json),
        Command::Check(Check { operator }) => check(&operator),
        Command::Drain(Drain { member, note, dry_run, operator }) => {
            write(&operator, &member, Some(note.as_bytes()), dry_run)
        }
        Command::Undrain(Undrain { member, dry_run, operator }) => write(&operator, &member, None, dry_run),
    };
    result.unwrap_or_else(|fault| fail(&fault))
}

fn settings(operator: &Path) -> Result<Settings, String> {
    let registry = files::document(operator)?.1.registry;
    if registry.endpoints.is_empty() {
        return Err(format!("{}: registry.endpoints: names no registry", operator.display()));
    }
    Ok(registry)
}

fn view(operator: &Path, json: bool) -> Result<ExitCode, String> {
    let settings = settings(operator)?;
    let view = read(&settings)?;
    let mut members = Members::default();
    members.take(&settings.prefix, &view, None);
    let status = |phase: Phase| if phase == Phase::Active { "serving" } else { "draining" };
    if json {
        let list: Vec<serde_json::Value> = members
            .all()
            .map(|m| {
                serde_json::json!({"name": &*m.name, "address": m.address, "zone": m.zone, "group": m.group,
                    "status": status(m.phase)})
            })
            .collect();
        println!("{}", serde_json::json!({"revision": view.revision, "members": list}));
        return Ok(ExitCode::SUCCESS);
    }
    println!("revision {}, {} members", view.revision, members.all().count());
    println!("{:24} {:22} {:12} {:>6}  status", "name", "address", "zone", "group");
    for m in members.all() {
        println!("{:24} {:22} {:12} {:>6}  {}", m.name, m.address, m.zone, m.group, status(m.phase));
    }
    Ok(ExitCode::SUCCESS)
}

fn check(operator: &Path) -> Result<ExitCode, String> {
    let settings = settings(operator)?;
    let view = read(&settings)?;
    let mut members = Members::default();
    members.take(&settings.prefix, &view, None);
    members.poisoned().for_each(|(name, why)| println!("{name}: {why}"));
    let (good, bad) = (members.all().count(), members.poisoned().count());
    println!("{good} members are understood, {bad} are not");
    Ok(ExitCode::from(u8::from(bad > 0)))
}

/// Writes a drain, or takes it back, if nobody has done so meanwhile.
fn write(operator: &Path, member: &str, value: Option<&[u8]>, dry_run: bool) -> Result<ExitCode, String> {
    let settings = settings(operator)?;
    let view = read(&settings)?;
    if view.get(format!("{}/members/{member}", settings.prefix).as_bytes()).is_none() {
        return Err(format!("{member}: no member of that name is listed"));
    }
    let key = format!("{}/drains/{member}", settings.prefix);
    let known = view.get(key.as_bytes());
    if known.is_some() == value.is_some() {
        println!("{member}: {} already", if value.is_some() { "drained" } else { "not drained" });
        return Ok(ExitCode::SUCCESS);
    }
    let revision = known.map_or(0, |entry| entry.revision);
    if dry_run {
        println!(
            "would {} {key}, if it is still at revision {revision}",
            if value.is_some() { "write" } else { "delete" }
        );
        return Ok(ExitCode::SUCCESS);
    }
    let body = call(&settings, wire::TXN, &wire::write_if(key.as_bytes(), revision, value))?;
    match wire::written(&body) {
        Ok(true) => {
            println!("{member}: {}", if value.is_some() { "drained" } else { "no longer drained" });
            Ok(ExitCode::SUCCESS)
        }
        Ok(false) => {
            eprintln!("dewferry: {key}: changed by somebody else meanwhile; nothing is written");
            Ok(ExitCode::from(1))
        }
        Err(refusal) => Err(format!("turned down: {refusal:?}")),
    }
}

/// Reads all keys, page by page at one revision.
fn read(settings: &Settings) -> Result<View, String> {
    let prefix = format!("{}/", settings.prefix).into_bytes();
    let (mut from, mut revision, mut cluster, mut keys) = (prefix.clone(), 0, 0, Vec::new());
    for _ in 0..PAGES {
        let range =
            Range { from, to: after(&prefix), revision, limit: PAGE, serializable: settings.serializable };
        let page = wire::page(&call(settings, wire::RANGE, &range.body())?);
        let page = page.map_err(|refusal| format!("turned down: {refusal:?}"))?;
        if revision == 0 {
            (revision, cluster) = (page.header.revision, page.header.cluster_id);
        }
        let last = page.kvs.last().map(|kv| kv.key.clone());
        keys.extend(
            page.kvs.into_iter().map(|kv| (kv.key, Entry { revision: kv.mod_revision, value: kv.value })),
        );
        match last.filter(|_| page.more) {
            Some(mut key) => {
                key.push(0);
                from = key;
            }
            None => return Ok(View::kept(cluster, revision, keys)),
        }
    }
    Err(format!("over {} keys", PAGES as u64 * PAGE))
}

/// Calls the first endpoint that answers.
fn call(settings: &Settings, path: &str, body: &[u8]) -> Result<Vec<u8>, String> {
    let mut fault = String::new();
    for endpoint in &settings.endpoints {
        match exchange(*endpoint, path, body, Duration::from_secs_f64(settings.call_s)) {
            Ok(answer) => return Ok(answer),
            Err(error) => fault = format!("{endpoint}: {error}"),
        }
    }
    Err(format!("no endpoint answers; the last: {fault}"))
}

fn exchange(endpoint: SocketAddr, path: &str, body: &[u8], patience: Duration) -> std::io::Result<Vec<u8>> {
    let bad = |what: &'static str| std::io::Error::new(ErrorKind::InvalidData, what);
    let mut stream = TcpStream::connect_timeout(&endpoint, patience)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    let host = endpoint.to_string();
    let request = Http { method: "POST", target: path, host: &host, json: Some(body), ..Http::default() };
    stream.write_all(&request.bytes())?;
    let (mut inbox, mut answer, mut whole) =
        (Ring::new(&Budget::new(LONGEST)), Answer::default(), Vec::new());
    loop {
        let fill = inbox.fill(&mut stream)?;
        while let Some(piece) = answer.next(&mut inbox).map_err(|fault| bad(fault.words()))? {
            match piece {
                Piece::Head(_) => {}
                Piece::Body(bytes) if whole.len() + bytes.len() > LONGEST => {
                    return Err(bad("an answer too long"))
                }
                Piece::Body(bytes) => whole.extend(bytes),
                Piece::End => return Ok(whole),
            }
        }
        match fill {
            Fill::Ended => return answer.ended().map(|()| whole).map_err(|fault| bad(fault.words())),
            Fill::Drained => return Err(ErrorKind::TimedOut.into()),
            Fill::Full => {}
        }
    }
}
