//! Starts the program as the deploy file does, with a platform's file and an operator's file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::{not_run, text, wait_until, Case, STARTED};

/// Settings of a small deployment, as the wire page shows them, with `probes` as given.
pub fn settings(probes: bool) -> String {
    let fields =
        if probes { r#""fields":["x0","x1"],"how":"pull""# } else { r#""fields":[],"how":"silent""# };
    format!(
        r#"{{"classes":[
{{"name":"browse","aim":0.75,"deadline":2.5,"effect":"read_like","group":"all","dedupWindow":5.0,"lateWorth":0,"streamed":false,"value":2}},
{{"name":"own-orders","aim":0.4,"deadline":1.5,"effect":"read_like","group":"all","dedupWindow":5.0,"lateWorth":0.2,"streamed":false,"value":3}},
{{"name":"reports","aim":0.75,"deadline":3.0,"effect":"read_like","group":"all","dedupWindow":5.0,"lateWorth":0,"streamed":false,"value":3}},
{{"name":"stock-check","aim":0.3,"deadline":0.75,"effect":"read_like","group":"all","dedupWindow":5.0,"lateWorth":0,"streamed":false,"value":1}},
{{"name":"order-write","aim":1.0,"deadline":3.0,"effect":"idempotency_key","group":"cell","dedupWindow":2.0,"lateWorth":0.5,"streamed":false,"value":4}}],
"clients":{{"marksRetry":true}},"customers":[{{"name":"kolkata-shops","quotaPerS":108.0,"share":1.0}}],"domainType":"replicas",
"flavors":["full-box"],"fleetSize":1,"worthBy":"request","overShareWorth":0.1,"registryMode":"subscribe","weights":"silent",
"invariants":{{"answerSlack":0.02,"askWithin":10.0,"coldFrom":0.24,"drainGrace":0.25,"fall":1.0,"tipMultiple":2.5,"warmUp":18.0}},
"limits":{{"cancel":true,"connectTimeout":0.25,"keepalive":15.0,"maxAttempts":6,"maxOpen":22170,"maxRetryAfter":0.5,"maxStreams":1,"mayDuplicate":false,"mayTell":false,"probes":{probes},"retryAfter":true}},
"loadInfo":{{{fields}}},"myNumber":0,"tick":0.005,"tier":0,"tiers":["catalogue-db"],"zone":0,"zones":["salt-lake","howrah"],
"specifics":{{"consistency":["bounded","session","any","fresh","write"],"listRole":"silent","stalenessBound":[3.0,0,0,0,0],"synchronous":false,"tellsPosition":true,"wait":0.0,"whenBehind":"silent","writeMarks":"remembered"}}}}"#
    )
}

/// Settings of the second deployment, as its page gives them: second copies are allowed.
pub fn bergen_settings() -> String {
    r#"{"classes":[
{"name":"tile-read","aim":0.75,"deadline":3.0,"effect":"read_like","group":"all","dedupWindow":5.0,"lateWorth":0,"streamed":false,"value":1},
{"name":"export-order","aim":1.2,"deadline":5.0,"effect":"non_idempotent","group":"cell","dedupWindow":0,"lateWorth":0.3,"streamed":false,"value":6}],
"clients":{"marksRetry":true},"customers":[],"domainType":"replicas","flavors":["std4"],"fleetSize":1,"worthBy":"request",
"registryMode":"automatic","weights":"silent",
"invariants":{"answerSlack":0.02,"askWithin":10.0,"coldFrom":0.26,"drainGrace":1.0,"fall":1.5,"tipMultiple":2.5,"warmUp":16.0},
"limits":{"cancel":true,"connectTimeout":0.25,"keepalive":30.0,"maxAttempts":6,"maxOpen":22170,"maxRetryAfter":0.5,"maxStreams":1,"mayDuplicate":true,"mayTell":false,"probes":true,"retryAfter":true},
"loadInfo":{"fields":["x0","x1"],"how":"piggyback"},"myNumber":0,"tick":0.005,"tier":0,"tiers":["tile-db"],"zone":0,"zones":["hall-a","hall-b","hall-c"],
"specifics":{"consistency":["bounded","write"],"listRole":"silent","stalenessBound":[1.5,0],"synchronous":false,"tellsPosition":true,"wait":0.0,"whenBehind":"silent","writeMarks":"carried"}}"#
        .to_string()
}

/// Returns a free port on the loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
    listener.local_addr().unwrap_or_else(|error| not_run(&error.to_string()))
}

pub struct Pooler {
    child: Child,
}

impl Pooler {
    /// Starts `dewferry serve` with these files in the case's folder, named after `name`.
    pub fn start(
        case: &Case,
        name: &str,
        (listen, discovery): (SocketAddr, SocketAddr),
        (list, settings): (&str, &str),
        operator: &str,
        more: &str,
    ) -> Pooler {
        let config = case.path(&format!("{name}.json"));
        let file = case.path("dewferry.toml");
        let platform = format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{list},"settings":{settings}}}"#
        );
        let written = std::fs::write(&config, platform).and_then(|()| std::fs::write(&file, operator));
        written.unwrap_or_else(|error| not_run(&error.to_string()));
        let log = File::create(case.path(&format!("{name}.log"))).unwrap_or_else(|e| not_run(&e.to_string()));
        let command = format!(
            "exec target/release/dewferry serve --config '{}' --operator '{}' {more}",
            text(&config),
            text(&file)
        );
        case.record.line(format!("starts: {}", command.replace(&text(&case.temporary), "TEMPORARY")));
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(&case.root)
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", listen.to_string())
            .env("LB_DISCOVERY", discovery.to_string())
            .env("LB_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| not_run(&error.to_string()));
        if let Ok(mut started) = STARTED.lock() {
            started.push(child.id());
            let ids: Vec<String> = started.iter().map(u32::to_string).collect();
            let _ = std::fs::write(case.path("processes"), ids.join("\n") + "\n");
        }
        Pooler { child }
    }

    /// Waits until something listens at an address.
    pub fn wait_for(&mut self, address: SocketAddr) {
        let up =
            wait_until(20_000, || TcpStream::connect_timeout(&address, Duration::from_millis(200)).is_ok());
        if !up || !self.is_running() {
            self.kill();
            not_run("the pooler does not listen");
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the process at once (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut started) = STARTED.lock() {
            started.retain(|id| *id != self.child.id());
        }
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the log of the pooler of this name.
pub fn log_of(case: &Case, name: &str) -> String {
    std::fs::read_to_string(case.path(&format!("{name}.log"))).unwrap_or_default()
}

/// Waits until the log has a text.
pub fn wait_for_log(case: &Case, name: &str, text: &str, limit_ms: u64) -> bool {
    wait_until(limit_ms, || log_of(case, name).contains(text))
}
