//! Settings of hollow and real poolers, in the format of the platform's configuration.

use crate::layout::{zone_name, Network, ZONES};

/// Shared key of all instances of a run: 32 bytes in hexadecimal. Used only for runs on loopback.
pub const KEY: &str = "3d1c5f0a9b7e42688f14c6d2a05be37791e84b6c20fd4a1d8e5370b9c2f6a148";
/// Example classes of requests: reads with a staleness bound, session reads, reads without a bound, and
/// writes.
const CLASSES: &str = r#"[{"name":"browse","aim":0.75,"deadline":2.5,"effect":"read_like","value":1},
{"name":"own-orders","aim":0.4,"deadline":1.5,"effect":"read_like","value":1},
{"name":"reports","aim":0.75,"deadline":3,"effect":"read_like","value":1},
{"name":"order-write","aim":1,"deadline":3,"effect":"idempotency_key","group":"cell","dedupWindow":2,"value":1}]"#;
const INVARIANTS: &str = r#"{"askWithin":10,"coldFrom":0.2,"warmUp":1,"tipMultiple":3,"fall":1}"#;
const LIMITS: &str = r#"{"cancel":true,"connectTimeout":0.25,"keepalive":15,"maxAttempts":6,"maxRetryAfter":0.5,"probes":true,"retryAfter":true}"#;
const SPECIFICS: &str = r#"{"consistency":["bounded","session","any","write"],"stalenessBound":[3,0,0,0],"whenBehind":"refuse","writeMarks":"remembered"}"#;

/// Returns the platform's configuration of a pooler, as JSON.
pub fn platform_config(network: Network, pooler: usize, zone: usize, fleet: usize, seed: u64) -> String {
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("\"{}\"", zone_name(zone))).collect();
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
"limits":{{"memory_mb":192,"sockets":512}},
"settings":{{"classes":{CLASSES},"customers":[{{"name":"acme","quotaPerS":100000}}],"zones":[{zones}],"zone":{zone},
"fleetSize":{fleet},"tick":0.005,"registryMode":"subscribe","invariants":{INVARIANTS},"limits":{LIMITS},"specifics":{SPECIFICS}}}}}"#,
        name = pooler_name(pooler),
        listen = network.clients(pooler),
        discovery = network.discovery(),
        zones = zones.join(",")
    )
}

/// Returns the name of a member.
pub fn member_name(member: usize) -> String {
    format!("db-{member}")
}

/// Returns the name of a control instance.
pub fn control_name(number: usize) -> String {
    format!("control-{number}")
}

/// Returns the name of a region.
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

/// Returns the name of a pooler.
pub fn pooler_name(pooler: usize) -> String {
    format!("pooler-{pooler}")
}
