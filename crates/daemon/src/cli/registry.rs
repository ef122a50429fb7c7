//! `dewferry registry`: looks at the list in a registry, follows it, drains members there, and writes it as a whole.

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

/// Keys that one transaction writes at the most: etcd takes 128 operations.
const BATCH: usize = 100;
/// A list of fewer members may be replaced by any other.
const FEW: usize = 4;

/// Look at the list in the registry that an operator's file names, and drain members there.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "registry",
    example = "dewferry registry view --operator dewferry.toml",
    example = "dewferry registry drain s-7 --operator dewferry.toml --note 'disk is failing'",
    example = "dewferry registry import list.json --operator dewferry.toml --prune --dry-run",
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
    Watch(Watch),
    Import(Import),
    Export(Export),
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
    /// print one JSON object
    #[argh(switch)]
    json: bool,
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
    /// print one JSON object
    #[argh(switch)]
    json: bool,
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
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
}

/// Print the members and drains, then each change as it comes, until stopped.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
struct Watch {
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
    /// stop after so many seconds
    #[argh(option, long = "for")]
    seconds: Option<f64>,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Write the members and drains of a file, as `export` prints it, in transactions that somebody else's change
/// meanwhile stops; what is written already by then stays, and the same import can be run again.
#[derive(FromArgs)]
#[argh(subcommand, name = "import")]
struct Import {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// the operator's file that names the registry
    #[argh(option)]
    operator: PathBuf,
    /// delete what the file does not have, too
    #[argh(switch)]
    prune: bool,
    /// let it delete more than registry.guard_share of the members
    #[argh(switch)]
    allow_many: bool,
    /// say what would be written, and write nothing
    #[argh(switch)]
    dry_run: bool,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Print the members and drains as one JSON object that `import` takes.
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
    result.unwrap_or_else(|fault| fail(&fault))
}

fn understood(caller: &mut RegistryClient) -> Result<(View, Members), String> {
    let view = caller.read_view()?;
    let mut members = Members::default();
    members.update(&caller.settings.prefix, &view, None);
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
    let (view, members) = understood(&mut RegistryClient::from_operator_file(operator)?)?;
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
    let mut caller = RegistryClient::from_operator_file(operator)?;
    let (_, members) = understood(&mut caller)?;
    let (good, bad) = (members.all().count(), members.malformed().count());
    let warning = caller.expiry_warning();
    if json {
        let poisoned: BTreeMap<&str, &str> = members.malformed().collect();
        println!("{}", json!({"understood": good, "not_understood": poisoned, "warning": warning}));
    } else {
        members.malformed().for_each(|(name, why)| println!("{name}: {why}"));
        warning.iter().for_each(|warning| println!("{warning}"));
        println!("{good} members are understood, {bad} are not");
    }
    Ok(ExitCode::from(u8::from(bad > 0)))
}

/// One thing that a command has done, or would do.
fn say(json: bool, member: &str, state: &str, words: &str) {
    if json {
        println!("{}", json!({"member": member, "state": state}));
    } else {
        println!("{words}");
    }
}

/// Writes a drain, or takes it back, if nobody has done so meanwhile.
fn drain(
    operator: &Path,
    member: &str,
    note: Option<String>,
    dry_run: bool,
    json: bool,
) -> Result<ExitCode, String> {
    let mut caller = RegistryClient::from_operator_file(operator)?;
    let view = caller.read_view()?;
    let prefix = &caller.settings.prefix;
    if view.get(format!("{prefix}/members/{member}").as_bytes()).is_none() {
        return Err(format!("{member}: no member of that name is listed"));
    }
    let key = format!("{prefix}/drains/{member}");
    let known = view.get(key.as_bytes());
    let (state, verb) = if note.is_some() { ("drained", "write") } else { ("not drained", "delete") };
    if known.is_some() == note.is_some() {
        say(json, member, state, &format!("{member}: {state} already"));
        return Ok(ExitCode::SUCCESS);
    }
    let revision = known.map_or(0, |entry| entry.revision);
    if dry_run {
        say(json, member, "unchanged", &format!("would {verb} {key}, if it is still at revision {revision}"));
        return Ok(ExitCode::SUCCESS);
    }
    let change = Change { key: key.clone().into_bytes(), revision, value: note.map(String::into_bytes) };
    if written(&mut caller, &[change])? {
        say(json, member, state, &format!("{member}: {state}"));
        return Ok(ExitCode::SUCCESS);
    }
    say(json, member, "conflict", &format!("{key}: changed by somebody else meanwhile; nothing is written"));
    Ok(ExitCode::from(1))
}

/// Has changes written in one transaction; false where somebody else has been there meanwhile.
fn written(caller: &mut RegistryClient, changes: &[Change]) -> Result<bool, String> {
    let answer = caller.call(wire::TXN, &wire::transaction_body(changes))?;
    wire::parse_transaction(&answer).map_err(describe_refusal)
}

/// All members and drains, as they are exported and imported.
#[derive(Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Whole {
    /// Says when it was exported; not looked at by an import.
    #[serde(default)]
    revision: u64,
    members: BTreeMap<String, serde_json::Value>,
    /// With the note of each.
    #[serde(default)]
    drains: BTreeMap<String, String>,
}

fn export(operator: &Path) -> Result<ExitCode, String> {
    let mut caller = RegistryClient::from_operator_file(operator)?;
    let view = caller.read_view()?;
    let mut whole = Whole { revision: view.revision, ..Whole::default() };
    let (members, drains) =
        (format!("{}/members/", caller.settings.prefix), format!("{}/drains/", caller.settings.prefix));
    let named = |prefix: &str, key: &[u8]| String::from_utf8_lossy(&key[prefix.len()..]).into_owned();
    let mut lost = 0;
    for (key, entry) in view.with_prefix(members.as_bytes()) {
        let name = named(&members, key);
        match schema::parse_member(&name, &entry.value)
            .and_then(|_| serde_json::from_slice(&entry.value).map_err(|error| error.to_string()))
        {
            Ok(value) => drop(whole.members.insert(name, value)),
            Err(fault) => {
                lost += 1;
                eprintln!("dewferry: {name}: left out: {fault}");
            }
        }
    }
    for (key, entry) in view.with_prefix(drains.as_bytes()) {
        let note = String::from_utf8_lossy(&entry.value).into_owned();
        whole.drains.insert(named(&drains, key), note);
    }
    println!("{}", serde_json::to_string_pretty(&whole).map_err(|error| error.to_string())?);
    Ok(ExitCode::from(u8::from(lost > 0)))
}

fn import(args: &Import) -> Result<ExitCode, String> {
    let named = |fault: String| format!("{}: {fault}", args.file.display());
    let bytes = files::read(&args.file, MAX_ANSWER_BYTES)?;
    let whole: Whole = serde_json::from_slice(&bytes).map_err(|error| named(error.to_string()))?;
    let mut values = BTreeMap::new();
    for (name, value) in &whole.members {
        let value = value.to_string().into_bytes();
        schema::parse_member(name, &value).map_err(|fault| named(format!("members.{name}: {fault}")))?;
        values.insert(name.clone(), value);
    }
    if let Some(name) = whole.drains.keys().find(|name| !values.contains_key(*name)) {
        return Err(named(format!("drains.{name}: no member of that name in the file")));
    }
    let mut caller = RegistryClient::from_operator_file(&args.operator)?;
    let view = caller.read_view()?;
    let prefix = caller.settings.prefix.clone();
    let drains = whole.drains.into_iter().map(|(name, note)| (name, note.into_bytes())).collect();
    let (mut changes, mut gone) = (Vec::new(), 0);
    for (folder, wanted) in [("members", values), ("drains", drains)] {
        let (found, lost) = differences(&view, &format!("{prefix}/{folder}/"), wanted, args.prune);
        changes.extend(found);
        gone += if folder == "members" { lost } else { 0 };
    }
    let listed = view.with_prefix(format!("{prefix}/members/").as_bytes()).count();
    if listed >= FEW && gone as f64 > caller.settings.guard_share * listed as f64 && !args.allow_many {
        return Err(format!("{gone} of {listed} members would be deleted; --allow-many lets that be"));
    }
    let count = changes.len();
    let mut done = 0;
    if args.dry_run && !args.json {
        for change in &changes {
            let verb = if change.value.is_some() { "write" } else { "delete" };
            println!("would {verb} {}", String::from_utf8_lossy(&change.key));
        }
    }
    for batch in changes.chunks(BATCH).filter(|_| !args.dry_run) {
        if !written(&mut caller, batch)? {
            break;
        }
        done += batch.len();
    }
    let whole = args.dry_run || done == count;
    if args.json {
        println!("{}", json!({"changes": count, "written": done, "conflict": !whole}));
    } else {
        let end = if whole { "" } else { "; the next were changed by somebody else meanwhile: run it again" };
        println!("{done} of {count} keys written{end}");
    }
    Ok(ExitCode::from(u8::from(!whole)))
}

/// What would make the keys under a prefix what is wanted, and how many of them would be deleted.
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
    let gone = changes.len();
    for (name, value) in wanted {
        let key = format!("{prefix}{name}").into_bytes();
        let known = view.get(&key);
        // Spaces and the order of keys in a JSON value are no difference.
        let read = |bytes: &[u8]| serde_json::from_slice::<serde_json::Value>(bytes).ok();
        let same =
            |known: &[u8]| known == value || read(known).is_some_and(|known| read(&value) == Some(known));
        if !known.is_some_and(|entry| same(&entry.value)) {
            let revision = known.map_or(0, |entry| entry.revision);
            changes.push(Change { key, revision, value: Some(value) });
        }
    }
    (changes, gone)
}

/// Follows the list with the same machine as a pooler does.
fn watch(args: &Watch) -> Result<ExitCode, String> {
    let mut caller = RegistryClient::from_operator_file(&args.operator)?;
    let settings = caller.settings.clone();
    let seed = now().to_bits() ^ u64::from(std::process::id());
    let endpoints = Endpoints::new(settings.endpoints.len(), Pacing::default(), seed, now());
    // Whoever looks is shown what is there, however much has gone.
    let guard = SyncConfig { max_removed_share: 1.0, ..sync_config(&settings) };
    let prefix = format!("{}/", settings.prefix).into_bytes();
    let mut sync = RegistrySync::new(prefix.clone(), endpoints, guard, View::default());
    let (mut members, budget) = (Members::default(), Budget::new(4 * MAX_ANSWER_BYTES));
    let begun = Instant::now();
    let mut inputs = vec![Input::Start];
    let mut open = None;
    loop {
        let mut actions = Vec::new();
        inputs.drain(..).for_each(|input| sync.handle(now(), input, &mut actions));
        for action in actions {
            match action {
                Action::Login(call, _) => {
                    let token = caller.login();
                    inputs
                        .push(token.map_or(Input::Disconnected(call), |token| Input::Token(call, Ok(token))));
                }
                Action::Read(call, at, range) => {
                    let answer = caller.call_endpoint(at, wire::RANGE, &range.body());
                    inputs.push(answer.map_or(Input::Disconnected(call), |body| {
                        Input::Page(call, wire::parse_page(&body))
                    }));
                }
                Action::Watch(call, at, revision) => {
                    let body = wire::watch_body(&prefix, &wire::prefix_end(&prefix), revision);
                    match caller.connect(at, wire::WATCH, &body, &budget) {
                        Ok(link) => {
                            open = Some((call, link, ResponseReader::default(), Lines::new(MAX_ANSWER_BYTES)))
                        }
                        Err(_) => inputs.push(Input::Disconnected(call)),
                    }
                }
                Action::Close(call) => drop(open.take_if(|(own, ..)| *own == call)),
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
        if args.seconds.is_some_and(|seconds| begun.elapsed().as_secs_f64() >= seconds) {
            return Ok(ExitCode::SUCCESS);
        }
        if !inputs.is_empty() {
            continue;
        }
        let left = args.seconds.map_or(f64::INFINITY, |seconds| seconds - begun.elapsed().as_secs_f64());
        let wait = Duration::from_secs_f64((sync.next_due() - now()).min(left).clamp(0.0, 1.0));
        match &mut open {
            None => std::thread::sleep(wait),
            Some((call, (patient, link), answer, lines)) => {
                let turned = patient.set_timeout(wait).and_then(|()| patient.turn(link));
                let told = turned.and_then(|fill| {
                    while let Some(piece) =
                        answer.next(&mut link.inbox).map_err(|f| f.description().to_string())?
                    {
                        if let Piece::Body(bytes) = piece {
                            lines.push(&bytes).map_err(|_| "a line too long".to_string())?;
                        }
                        while let Some(line) = lines.take() {
                            inputs.push(Input::WatchMessage(*call, wire::parse_watch_message(&line)));
                        }
                    }
                    Ok(fill == Fill::Ended)
                });
                if told != Ok(false) {
                    inputs.push(Input::Disconnected(*call));
                }
            }
        }
        inputs.push(Input::Time);
    }
}
