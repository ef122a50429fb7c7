//! Hollow poolers: the state machines of a pooler ([`routing::Policy`], [`listing::follow`],
//! [`replication::Node`], [`directory::Client`]) over real sockets on loopback, many in a process, without
//! clients and server connections.

mod directory;
mod load;
mod peers;
mod pooler;
mod sessions;
mod timers;
mod watch;
mod worker;

pub use worker::run;

use std::collections::{BTreeMap, HashMap};

use buffer::Budget;
use mio::Registry;

use crate::clock::Clock;
use crate::layout::{Distance, Network};
use crate::protocol::{HollowFleet, LoadCounts};
use crate::traffic::Traffic;
use timers::Timers;

/// Maximum size of the buffers of all poolers of a process together (bytes).
const BUFFER_BUDGET_BYTES: usize = 2 << 30;
/// The zone of discovery.
const DISCOVERY_ZONE: usize = 0;

/// State shared by all poolers of a process.
struct World {
    clock: Clock,
    network: Network,
    fleet: HollowFleet,
    registry: Registry,
    timers: Timers,
    budget: Budget,
    traffic: Traffic,
    /// Zones that are cut off from all others.
    cut_zones: Vec<usize>,
    /// When each pooler received each version of the list: the version, the pooler's index, and Unix seconds.
    list_received: Vec<(u64, usize, f64)>,
    /// The primary of which reports are expected: its group and name.
    expected_primary: Option<(u32, String)>,
    /// When each pooler received a report of it: the pooler's index, and Unix seconds.
    primary_received: BTreeMap<usize, f64>,
    load: LoadCounts,
    /// Position of each session's latest answered write at any pooler of the process.
    answered_positions: HashMap<u64, f64>,
    streams_wanted: u64,
}

impl World {
    /// Returns true if a partition separates two zones.
    fn is_partitioned(&self, zone: usize, other: usize) -> bool {
        self.cut_zones.contains(&zone) != self.cut_zones.contains(&other)
    }

    /// Returns the distance from a zone to discovery.
    fn distance_to_discovery(zone: usize) -> Distance {
        Distance::between(zone, DISCOVERY_ZONE)
    }
}
