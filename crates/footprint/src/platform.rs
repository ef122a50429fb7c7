//! The platform's configuration of the measured pooler, and the list of members in it.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// Number of zones of the members; the pooler runs in the first.
const ZONES: usize = 8;
/// Fleet size in the settings: the size that the capacity page works out.
const FLEET_SIZE: usize = 1_300;
/// Quota of the tenant (requests per second): more than any run sends.
const QUOTA: f64 = 1e7;
const MEMORY_MB: usize = 4_096;
/// Limit of descriptors. The pooler reserves half of them for clients, and closes idle client connections
/// after 2 s once more than a quarter of the client slots are in use: with this limit, 5,000 idle connections
/// stay open.
const SOCKETS: usize = 40_200;

/// Members in groups of one primary and its replicas.
#[derive(Clone, Debug)]
pub struct Members {
    pub addresses: Vec<SocketAddr>,
    /// Number of members of one group, its primary included.
    pub group_size: usize,
}

impl Members {
    /// Number of groups.
    pub fn groups(&self) -> usize {
        self.addresses.len().div_ceil(self.group_size)
    }

    /// List entry of one member with the given status ("SERVING", "DRAINING").
    pub fn entry(&self, index: usize, status: &str) -> Value {
        let group = index / self.group_size;
        json!({
            "name": format!("s-{index:04}"),
            "address": self.addresses[index],
            "zone": zone((group + index % self.group_size) % ZONES),
            "type": "m2",
            "group": group,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        })
    }

    /// The full list in discovery's format.
    pub fn list(&self, version: u64) -> Value {
        let entries: Vec<Value> =
            (0..self.addresses.len()).map(|index| self.entry(index, "SERVING")).collect();
        json!({ "index": version, "snapshot": true, "endpoints": entries })
    }

    /// A change of one member in discovery's format.
    pub fn change(&self, version: u64, index: usize, status: &str) -> Value {
        json!({ "index": version, "snapshot": false, "endpoints": [self.entry(index, status)] })
    }
}

fn zone(number: usize) -> String {
    format!("z{number}")
}

/// The parts of the platform's configuration that differ between runs.
#[derive(Clone, Debug)]
pub struct Platform {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub members: Members,
    pub seed: u64,
    /// Whether the pooler may probe members besides sending clients' statements.
    pub probes: bool,
    /// Staleness bound of bounded reads (seconds).
    pub staleness_bound: f64,
    /// Fleet size in the settings. The fewer poolers, the more often each of them probes.
    pub fleet_size: usize,
}

impl Platform {
    /// Settings for the target size, without probes.
    pub fn new(listen: SocketAddr, discovery: SocketAddr, members: Members, seed: u64) -> Platform {
        let (probes, staleness_bound, fleet_size) = (false, 3.0, FLEET_SIZE);
        Platform { listen, discovery, members, seed, probes, staleness_bound, fleet_size }
    }

    /// Contents of the configuration file.
    pub fn text(&self) -> String {
        let saved_list = self.members.list(1);
        let limits = json!({ "memory_mb": MEMORY_MB, "sockets": SOCKETS });
        json!({
            "name": "n0",
            "listen": self.listen,
            "discovery": self.discovery,
            "seed": format!("{:x}", self.seed | 1),
            "limits": limits,
            "known": saved_list,
            "settings": self.settings(),
        })
        .to_string()
    }

    fn settings(&self) -> Value {
        let read =
            |name: &str| json!({ "name": name, "aim": 8, "deadline": 9, "effect": "read_like", "value": 1 });
        let write = json!({ "name": "order-write", "aim": 8, "deadline": 9, "effect": "idempotency_key",
            "group": "cell", "dedupWindow": 2, "value": 1 });
        json!({
            "classes": [read("browse"), read("own-orders"), write],
            "customers": [{ "name": "acme", "quotaPerS": QUOTA }],
            "zones": (0..ZONES).map(zone).collect::<Vec<String>>(),
            "zone": 0,
            "fleetSize": self.fleet_size,
            "tick": 0.005,
            "registryMode": "subscribe",
            "invariants": { "askWithin": 10, "coldFrom": 0.2, "warmUp": 1, "tipMultiple": 3, "fall": 1 },
            "limits": { "cancel": true, "connectTimeout": 1, "keepalive": 15, "maxAttempts": 6,
                "maxRetryAfter": 0.5, "probes": self.probes, "retryAfter": true },
            "specifics": { "consistency": ["bounded", "session", "write"],
                "stalenessBound": [self.staleness_bound, 0, 0], "whenBehind": "silent",
                "writeMarks": "remembered" },
        })
    }
}
