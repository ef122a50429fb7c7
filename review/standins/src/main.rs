//! The stand-ins of the review and what is played with them: `standins CASE ROOT RECORD`. Exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
//!
//! `row`, `foreign` and `lag` are the cases 1, 2 and 3. `late`, `upgrade`, `undone`, `settings` and `abort` are further
//! faults, which the report names.

mod pg;
mod world;

mod abort;
mod foreign;
mod lag;
mod late;
mod row;
mod settings;
mod undone;
mod upgrade;

use std::path::Path;
use std::process::ExitCode;

use world::Record;

/// What a case found: the lines that say how the rule was broken.
pub type Found = Result<Vec<String>, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &args[..] else {
        eprintln!("usage: standins CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::new(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let root = Path::new(root);
    let found = match case.as_str() {
        "late" => late::run(root, &record, trouble),
        "foreign" => foreign::run(root, &record, trouble),
        "lag" => lag::run(root, &record, trouble),
        "abort" => abort::run(root, &record, trouble),
        "row" => row::run(root, &record, trouble),
        "undone" => undone::run(root, &record, trouble),
        "upgrade" => upgrade::run(root, &record, trouble),
        "settings" => settings::run(root, &record, trouble),
        other => Err(format!("no case {other}")),
    };
    let say = |text: &str| {
        record.line(text);
        println!("{text}");
    };
    match found {
        Err(why) => {
            say(&format!("couldn't run: {why}"));
            ExitCode::from(2)
        }
        Ok(broken) if broken.is_empty() => {
            say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            broken.iter().for_each(|line| say(&format!("broken: {line}")));
            say("the rule was broken");
            ExitCode::from(1)
        }
    }
}

/// The platform's file of a small deployment of the first site, `kolkata-parts`.
pub fn kolkata(agent: &world::Agent) -> String {
    platform(
        agent,
        r#""classes":[
{"name":"browse","aim":0.75,"deadline":2.5,"effect":"read_like","group":"all","lateWorth":0.0,"streamed":false,"value":2.0,"dedupWindow":5.0},
{"name":"own-orders","aim":0.4,"deadline":1.5,"effect":"read_like","group":"all","lateWorth":0.2,"streamed":false,"value":3.0,"dedupWindow":5.0},
{"name":"reports","aim":0.75,"deadline":3.0,"effect":"read_like","group":"all","lateWorth":0.0,"streamed":false,"value":3.0,"dedupWindow":5.0},
{"name":"stock-check","aim":0.3,"deadline":0.75,"effect":"read_like","group":"all","lateWorth":0.0,"streamed":false,"value":1.0,"dedupWindow":5.0},
{"name":"order-write","aim":1.0,"deadline":3.0,"effect":"idempotency_key","group":"cell","lateWorth":0.5,"streamed":false,"value":4.0,"dedupWindow":2.0}],
"customers":[{"name":"kolkata-shops","quotaPerS":108.0,"share":0.44},{"name":"north-dealers","quotaPerS":84.0,"share":0.34},{"name":"sundarban-garages","quotaPerS":54.0,"share":0.22}],
"overShareWorth":0.1,"flavors":["full-box","slow-box"],
"invariants":{"answerSlack":0.02,"askWithin":10.0,"coldFrom":0.24,"drainGrace":0.25,"fall":1.0,"tipMultiple":2.5,"warmUp":18.0},
"limits":{"cancel":true,"connectTimeout":0.25,"cpuUsPerRequest":0.0,"cpuUsPerS":88681,"keepalive":15.0,"maxAttempts":6,"maxOpen":22170,"maxRetryAfter":0.5,"maxStreams":1,"mayDuplicate":false,"mayTell":false,"probes":true,"retryAfter":true},
"loadInfo":{"fields":["x0","x1","queue","inflight"],"how":"pull"},
"registryMode":"subscribe","tiers":["catalogue-db"],"zones":["salt-lake","howrah"],
"specifics":{"baseTime":0.0,"consistency":["bounded","session","any","fresh","write"],"listRole":"silent","stalenessBound":[3.0,0.0,0.0,0.0,0.0],"synchronous":false,"tellsPosition":true,"wait":0.0,"whenBehind":"silent","writeMarks":"remembered"}"#,
    )
}

/// The platform's file of a small deployment of the second site, `bergen-tiles`.
pub fn bergen(agent: &world::Agent) -> String {
    platform(
        agent,
        r#""classes":[
{"name":"tile-read","aim":0.75,"deadline":3.0,"effect":"read_like","group":"all","lateWorth":0.0,"streamed":false,"value":1.0,"dedupWindow":5.0},
{"name":"export-order","aim":1.2,"deadline":5.0,"effect":"non_idempotent","group":"cell","lateWorth":0.3,"streamed":false,"value":6.0,"dedupWindow":0.0}],
"customers":[],"overShareWorth":1.0,"flavors":["std4"],
"invariants":{"answerSlack":0.02,"askWithin":10.0,"coldFrom":0.26,"drainGrace":1.0,"fall":1.5,"tipMultiple":2.5,"warmUp":16.0},
"limits":{"cancel":true,"connectTimeout":0.25,"cpuUsPerRequest":0.0,"cpuUsPerS":50000,"keepalive":30.0,"maxAttempts":6,"maxOpen":22170,"maxRetryAfter":0.5,"maxStreams":1,"mayDuplicate":true,"mayTell":false,"probes":true,"retryAfter":true},
"loadInfo":{"fields":["x0","x1"],"how":"piggyback"},
"registryMode":"automatic","tiers":["tile-db"],"zones":["hall-a","hall-b","hall-c"],
"specifics":{"baseTime":0.0,"consistency":["bounded","write"],"listRole":"silent","stalenessBound":[1.5,0.0],"synchronous":false,"tellsPosition":true,"wait":0.0,"whenBehind":"silent","writeMarks":"carried"}"#,
    )
}

fn platform(agent: &world::Agent, site: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},
"settings":{{{site},
"clients":{{"marksRetry":true}},"domainType":"replicas","fleetSize":3,"myNumber":1,
"tick":0.005,"tier":0,"weights":"silent","worthBy":"request","zone":0}}}}"#,
        agent.address, agent.list
    )
}
