//! `dewferry registry`: shows, checks, follows, imports and exports the list in a registry, and drains
//! members there.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use buffer::{Budget, Fill, Lines};
use http1::{Piece, ResponseReader};
use listing::Listing;
use registry::schema::{self, Members};
use registry::wire::{self, Write as Change};
use registry::{Action, Endpoints, Input, Pacing, RegistrySync, SyncConfig, View};
use routing::interface::Phase;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::fail;
use super::registry_client::{describe_refusal, now, RegistryClient, MAX_ANSWER_BYTES};
use crate::dial::sync_config;
use crate::files;

/// Maximum number of keys in a transaction: etcd accepts 128 operations.
const MAX_BATCH_KEYS: usize = 100;
/// Number of listed members from which on `registry.guard_share` limits deletions by an import.
const MIN_GUARDED_MEMBERS: usize = 4;

/// Show and edit the list in the registry that an operator's file names, and drain members there.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "registry",
    example = "dewferry registry view --operator dewferry.toml",
    example = "dewferry registry drain s-7 --operator dewferry.toml --note 'disk is failing'",
    example = "dewferry registry import list.json --operator dewferry.toml --prune --dry-run",
    error_code(0, "done"),
    error_code(1, "a value is malformed, or the key was changed concurrently"),
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
    Watch(Watch),
    Import(Import),
    Export(Export),
}

/// List the members as a pooler parses them.
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

/// List the malformed values and their errors; exit code 1 if there are any.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Drain a member: it completes its work and gets no new requests until it is undrained.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// the member's name
    #[argh(positional)]
    member: String,
    /// reason, for other operators
    #[argh(option, default = "String::new()")]
    note: String,
    /// print what would be written, and write nothing
    #[argh(switch)]
    dry_run: bool,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
}

/// Undo the drain of a member.
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
struct Undrain {
    /// the member's name
    #[argh(positional)]
    member: String,
    /// print what would be written, and write nothing
    #[argh(switch)]
    dry_run: bool,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
}

/// Print the members and drains, then each change, until stopped.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
struct Watch {
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
    /// stop after this many seconds
    #[argh(option, long = "for")]
    seconds: Option<f64>,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Write the members and drains of a file in the format of `export`, in transactions that fail if a key was
/// changed concurrently. What was written before a failure stays; the import can be run again.
#[derive(FromArgs)]
#[argh(subcommand, name = "import")]
struct Import {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
    /// delete members and drains that are not in the file
    #[argh(switch)]
    prune: bool,
    /// allow deleting more than registry.guard_share of the members
    #[argh(switch)]
    allow_many: bool,
    /// print what would be written, and write nothing
    #[argh(switch)]
    dry_run: bool,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Print the members and drains as one JSON object in the format of `import`.
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
struct Export {
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
}

/// Runs one of the commands.
pub(super) fn run(args: Args) -> ExitCode {
    let result = match args.command {
        Command::View(ViewArgs { operator, json }) => view(&operator, json),
        Command::Check(Check { operator, json }) => check(&operator, json),
        Command::Drain(Drain { member, note, dry_run, json, operator }) => {
            drain(&operator, &member, Some(note), dry_run, json)
        }
        Command::Undrain(Undrain { member, dry_run, json, operator }) => {
            drain(&operator, &member, None, dry_run, json)
        }
        Command::Watch(args) => watch(&args),
        Command::Import(args) => import(&args),
        Command::Export(Export { operator }) => export(&operator),
    };
    result.unwrap_or_else(|error| fail(&error))
}

fn read_members(client: &mut RegistryClient) -> Result<(View, Members), String> {
    let view = client.read_view()?;
    let mut members = Members::default();
    members.update(&client.settings.prefix, &view, None);
    Ok((view, members))
}

fn status(listing: &Listing) -> &'static str {
    match listing.phase {
        Phase::Active => "serving",
        Phase::Leaving => "draining",
        Phase::Left => "gone",
    }
}

fn object(m: &Listing) -> serde_json::Value {
    json!({"name": &*m.name, "address": m.address, "zone": m.zone, "group": m.group, "status": status(m)})
}

fn row(m: &Listing) -> String {
    format!("{:24} {:22} {:12} {:>6}  {}", m.name, m.address, m.zone, m.group, status(m))
}

fn view(operator: &Path, json: bool) -> Result<ExitCode, String> {
    let (view, members) = read_members(&mut RegistryClient::from_operator_file(operator)?)?;
    if json {
        let list: Vec<_> = members.all().map(object).collect();
        println!("{}", json!({"revision": view.revision, "members": list}));
        return Ok(ExitCode::SUCCESS);
    }
    println!("revision {}, {} members", view.revision, members.all().count());
    println!("{:24} {:22} {:12} {:>6}  status", "name", "address", "zone", "group");
    members.all().for_each(|m| println!("{}", row(m)));
    Ok(ExitCode::SUCCESS)
}

fn check(operator: &Path, json: bool) -> Result<ExitCode, String> {
    let mut client = RegistryClient::from_operator_file(operator)?;
    let (_, members) = read_members(&mut client)?;
    let (parsed, malformed) = (members.all().count(), members.malformed().count());
    let warning = client.expiry_warning();
    if json {
        let malformed: BTreeMap<&str, &str> = members.malformed().collect();
        println!("{}", json!({"understood": parsed, "not_understood": malformed, "warning": warning}));
    } else {
        members.malformed().for_each(|(name, why)| println!("{name}: {why}"));
        warning.iter().for_each(|warning| println!("{warning}"));
        println!("{parsed} members are understood, {malformed} are not");
    }
    Ok(ExitCode::from(u8::from(malformed > 0)))
}

/// Prints what a command has done, or would do.
fn report(json: bool, member: &str, state: &str, text: &str) {
    if json {
        println!("{}", json!({"member": member, "state": state}));
    } else {
        println!("{text}");
    }
}

/// Writes or deletes a drain, unless it was changed concurrently.
fn drain(
    operator: &Path,
    member: &str,
    note: Option<String>,
    dry_run: bool,
    json: bool,
) -> Result<ExitCode, String> {
    let mut client = RegistryClient::from_operator_file(operator)?;
    let view = client.read_view()?;
    let prefix = &client.settings.prefix;
    if view.get(format!("{prefix}/members/{member}").as_bytes()).is_none() {
        return Err(format!("{member}: no member of that name is listed"));
    }
    let key = format!("{prefix}/drains/{member}");
    let existing = view.get(key.as_bytes());
    let (state, verb) = if note.is_some() { ("drained", "write") } else { ("not drained", "delete") };
    if existing.is_some() == note.is_some() {
        report(json, member, state, &format!("{member}: {state} already"));
        return Ok(ExitCode::SUCCESS);
    }
    let revision = existing.map_or(0, |entry| entry.revision);
    if dry_run {
        report(
            json,
            member,
            "unchanged",
            &format!("would {verb} {key}, if it is still at revision {revision}"),
        );
        return Ok(ExitCode::SUCCESS);
    }
    let change = Change { key: key.clone().into_bytes(), revision, value: note.map(String::into_bytes) };
    if write_transaction(&mut client, &[change])? {
        report(json, member, state, &format!("{member}: {state}"));
        return Ok(ExitCode::SUCCESS);
    }
    report(json, member, "conflict", &format!("{key}: changed concurrently; nothing was written"));
    Ok(ExitCode::from(1))
}

/// Writes changes in one transaction. Returns false if a key was changed concurrently.
fn write_transaction(client: &mut RegistryClient, changes: &[Change]) -> Result<bool, String> {
    let answer = client.call(wire::TXN, &wire::transaction_body(changes))?;
    wire::parse_transaction(&answer).map_err(describe_refusal)
}

/// Exported members and drains.
#[derive(Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExportedList {
    /// Revision of the export; ignored by an import.
    #[serde(default)]
    revision: u64,
    members: BTreeMap<String, serde_json::Value>,
    /// Note of each drain, by member.
    #[serde(default)]
    drains: BTreeMap<String, String>,
}

fn export(operator: &Path) -> Result<ExitCode, String> {
    let mut client = RegistryClient::from_operator_file(operator)?;
    let view = client.read_view()?;
    let mut export = ExportedList { revision: view.revision, ..ExportedList::default() };
    let (members, drains) =
        (format!("{}/members/", client.settings.prefix), format!("{}/drains/", client.settings.prefix));
    let name_of = |prefix: &str, key: &[u8]| String::from_utf8_lossy(&key[prefix.len()..]).into_owned();
    let mut skipped = 0;
    for (key, entry) in view.with_prefix(members.as_bytes()) {
        let name = name_of(&members, key);
        match schema::parse_member(&name, &entry.value)
            .and_then(|_| serde_json::from_slice(&entry.value).map_err(|error| error.to_string()))
        {
            Ok(value) => drop(export.members.insert(name, value)),
            Err(error) => {
                skipped += 1;
                eprintln!("dewferry: {name}: not exported: {error}");
            }
        }
    }
    for (key, entry) in view.with_prefix(drains.as_bytes()) {
        let note = String::from_utf8_lossy(&entry.value).into_owned();
        export.drains.insert(name_of(&drains, key), note);
    }
    println!("{}", serde_json::to_string_pretty(&export).map_err(|error| error.to_string())?);
    Ok(ExitCode::from(u8::from(skipped > 0)))
}

fn import(args: &Import) -> Result<ExitCode, String> {
    let with_path = |error: String| format!("{}: {error}", args.file.display());
    let bytes = files::read(&args.file, MAX_ANSWER_BYTES)?;
    let import: ExportedList =
        serde_json::from_slice(&bytes).map_err(|error| with_path(error.to_string()))?;
    let mut values = BTreeMap::new();
    for (name, value) in &import.members {
        let value = value.to_string().into_bytes();
        schema::parse_member(name, &value).map_err(|error| with_path(format!("members.{name}: {error}")))?;
        values.insert(name.clone(), value);
    }
    if let Some(name) = import.drains.keys().find(|name| !values.contains_key(*name)) {
        return Err(with_path(format!("drains.{name}: no member of that name in the file")));
    }
    let mut client = RegistryClient::from_operator_file(&args.operator)?;
    let view = client.read_view()?;
    let prefix = client.settings.prefix.clone();
    let drains = import.drains.into_iter().map(|(name, note)| (name, note.into_bytes())).collect();
    let (mut changes, mut deletions) = (Vec::new(), 0);
    for (folder, wanted) in [("members", values), ("drains", drains)] {
        let (found, deleted) = differences(&view, &format!("{prefix}/{folder}/"), wanted, args.prune);
        changes.extend(found);
        deletions += if folder == "members" { deleted } else { 0 };
    }
    let listed = view.with_prefix(format!("{prefix}/members/").as_bytes()).count();
    if listed >= MIN_GUARDED_MEMBERS
        && deletions as f64 > client.settings.guard_share * listed as f64
        && !args.allow_many
    {
        return Err(format!("{deletions} of {listed} members would be deleted; --allow-many allows that"));
    }
    let count = changes.len();
    let mut written = 0;
    if args.dry_run && !args.json {
        for change in &changes {
            let verb = if change.value.is_some() { "write" } else { "delete" };
            println!("would {verb} {}", String::from_utf8_lossy(&change.key));
        }
    }
    for batch in changes.chunks(MAX_BATCH_KEYS).filter(|_| !args.dry_run) {
        if !write_transaction(&mut client, batch)? {
            break;
        }
        written += batch.len();
    }
    let complete = args.dry_run || written == count;
    if args.json {
        println!("{}", json!({"changes": count, "written": written, "conflict": !complete}));
    } else {
        let end = if complete {
            ""
        } else {
            "; a key of the next batch was changed concurrently: run the import again"
        };
        println!("{written} of {count} keys written{end}");
    }
    Ok(ExitCode::from(u8::from(!complete)))
}

/// Returns the changes that turn the keys under `prefix` into `wanted`, and the number of deletions among
/// them.
fn differences(
    view: &View,
    prefix: &str,
    wanted: BTreeMap<String, Vec<u8>>,
    prune: bool,
) -> (Vec<Change>, usize) {
    let mut changes = Vec::new();
    for (key, entry) in view.with_prefix(prefix.as_bytes()).filter(|_| prune) {
        let name = String::from_utf8_lossy(&key[prefix.len()..]);
        if !wanted.contains_key(&*name) {
            changes.push(Change { key: key.clone(), revision: entry.revision, value: None });
        }
    }
    let deletions = changes.len();
    for (name, value) in wanted {
        let key = format!("{prefix}{name}").into_bytes();
        let existing = view.get(&key);
        // JSON values are compared without regard to white space and the order of keys.
        let read = |bytes: &[u8]| serde_json::from_slice::<serde_json::Value>(bytes).ok();
        let same = |existing: &[u8]| {
            existing == value || read(existing).is_some_and(|existing| read(&value) == Some(existing))
        };
        if !existing.is_some_and(|entry| same(&entry.value)) {
            let revision = existing.map_or(0, |entry| entry.revision);
            changes.push(Change { key, revision, value: Some(value) });
        }
    }
    (changes, deletions)
}

/// Follows the list with the state machine that poolers use.
fn watch(args: &Watch) -> Result<ExitCode, String> {
    let mut client = RegistryClient::from_operator_file(&args.operator)?;
    let settings = client.settings.clone();
    let seed = now().to_bits() ^ u64::from(std::process::id());
    let endpoints = Endpoints::new(settings.endpoints.len(), Pacing::default(), seed, now());
    // Shows each list as it is, however many members were removed.
    let guard = SyncConfig { max_removed_share: 1.0, ..sync_config(&settings) };
    let prefix = format!("{}/", settings.prefix).into_bytes();
    let mut sync = RegistrySync::new(prefix.clone(), endpoints, guard, View::default());
    let (mut members, budget) = (Members::default(), Budget::new(4 * MAX_ANSWER_BYTES));
    let started_at = Instant::now();
    let mut inputs = vec![Input::Start];
    let mut open = None;
    loop {
        let mut actions = Vec::new();
        inputs.drain(..).for_each(|input| sync.handle(now(), input, &mut actions));
        for action in actions {
            match action {
                Action::Login(call, _) => {
                    let token = client.login();
                    inputs
                        .push(token.map_or(Input::Disconnected(call), |token| Input::Token(call, Ok(token))));
                }
                Action::Read(call, at, range) => {
                    let answer = client.call_endpoint(at, wire::RANGE, &range.body());
                    inputs.push(answer.map_or(Input::Disconnected(call), |body| {
                        Input::Page(call, wire::parse_page(&body))
                    }));
                }
                Action::Watch(call, at, revision) => {
                    let body = wire::watch_body(&prefix, &wire::prefix_end(&prefix), revision);
                    match client.connect(at, wire::WATCH, &body, &budget) {
                        Ok(transport) => {
                            open = Some((
                                call,
                                transport,
                                ResponseReader::default(),
                                Lines::new(MAX_ANSWER_BYTES),
                            ))
                        }
                        Err(_) => inputs.push(Input::Disconnected(call)),
                    }
                }
                Action::Close(call) => drop(open.take_if(|(open_call, ..)| *open_call == call)),
                Action::Changed(keys) => {
                    let revision = sync.view().revision;
                    for listing in members.update(&settings.prefix, sync.view(), keys.as_deref()) {
                        if args.json {
                            println!("{}", json!({"revision": revision, "member": object(&listing)}));
                        } else {
                            println!("{revision:>8}  {}", row(&listing));
                        }
                    }
                }
                Action::Notice(notice) => eprintln!("dewferry: {notice:?}"),
            }
        }
        if args.seconds.is_some_and(|seconds| started_at.elapsed().as_secs_f64() >= seconds) {
            return Ok(ExitCode::SUCCESS);
        }
        if !inputs.is_empty() {
            continue;
        }
        let time_left =
            args.seconds.map_or(f64::INFINITY, |seconds| seconds - started_at.elapsed().as_secs_f64());
        let wait = Duration::from_secs_f64((sync.next_due() - now()).min(time_left).clamp(0.0, 1.0));
        match &mut open {
            None => std::thread::sleep(wait),
            Some((call, (stream, transport), reader, lines)) => {
                let stepped = stream.set_timeout(wait).and_then(|()| stream.step(transport));
                let ended = stepped.and_then(|fill| {
                    while let Some(piece) =
                        reader.next(&mut transport.inbox).map_err(|f| f.description().to_string())?
                    {
                        if let Piece::Body(bytes) = piece {
                            lines.push(&bytes).map_err(|_| "line too long".to_string())?;
                        }
                        while let Some(line) = lines.take() {
                            inputs.push(Input::WatchMessage(*call, wire::parse_watch_message(&line)));
                        }
                    }
                    Ok(fill == Fill::Ended)
                });
                if ended != Ok(false) {
                    inputs.push(Input::Disconnected(*call));
                }
            }
        }
        inputs.push(Input::Time);
    }
}
