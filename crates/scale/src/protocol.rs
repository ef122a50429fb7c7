//! Messages between the command and its worker processes: one JSON document per line over the worker's
//! standard input and output. A worker exits at the end of its input, so that none outlives the command.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::layout::Network;
use crate::traffic::Traffic;

/// Role of a worker; the first line that it reads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Assignment {
    /// Hollow poolers.
    Hollow(HollowFleet),
    /// The stand-in for discovery.
    Discovery(DiscoveryConfig),
}

/// How poolers learn about the writes that sessions made through other poolers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Coordination {
    /// Not at all: poolers only follow the list.
    None,
    /// Each pooler exchanges state with every other one, as with `peers.seeds` in the operator's file.
    Peers,
    /// Control instances record which pooler owns a session, as with `peers.control`.
    Directory,
}

impl fmt::Display for Coordination {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Coordination::None => "list only",
            Coordination::Peers => "all with all",
            Coordination::Directory => "control instances",
        })
    }
}

/// Hollow poolers of one worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowFleet {
    /// The run's network.
    pub network: Network,
    /// Range of the poolers' numbers: the first one, and one past the last.
    pub poolers: (usize, usize),
    /// Number of poolers of all workers.
    pub fleet: usize,
    /// Seed of all random numbers.
    pub seed: u64,
    /// How the poolers learn about writes made through other poolers.
    pub coordination: Coordination,
    /// Number of control instances, if the coordination is [`Coordination::Directory`].
    pub control: usize,
    /// Number of poolers that are configured as seeds at all others.
    pub seeds: usize,
    /// Rate of the modelled load at each pooler (requests per second): four in ten requests are writes, the
    /// others reads. Used unless the coordination is [`Coordination::None`].
    pub requests_per_s: f64,
    /// Time over which the starts of all poolers are distributed evenly (seconds).
    pub start_within_s: f64,
}

/// Configuration of the stand-in for discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryConfig {
    /// The run's network.
    pub network: Network,
    /// Members on the list.
    pub databases: usize,
    /// Members per group.
    pub group_size: usize,
}

/// Command to a worker. Each is answered by one [`Reply`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Starts all poolers.
    Begin,
    /// Returns the counters.
    Sample,
    /// Returns the state of the poolers.
    State,
    /// Returns when each pooler received the list of this version or of a later one.
    #[serde(rename = "Heard")]
    ListTimes(u64),
    /// Removes a member from the list or puts it back; answered with the new version and its time.
    List {
        /// Number of the member.
        database: usize,
        /// Whether the member is on the list from now on.
        serving: bool,
    },
    /// Records from now on when reports of a new primary arrive: the group and the member's name.
    ExpectPrimary(u32, String),
    /// If this worker has the pooler, the pooler observes that the member is primary now.
    #[serde(rename = "FindPrimary")]
    ObservePrimary {
        /// Number of the pooler.
        pooler: usize,
        /// Name of the member.
        database: String,
    },
    /// Returns when each pooler received a report of the expected primary.
    #[serde(rename = "HeardPrimary")]
    PrimaryTimes,
    /// Cuts these zones off from all others, in both directions. An empty list ends the partition.
    Cut(Vec<usize>),
    /// Kills those of the poolers that this worker has: their state is dropped and no other pooler is
    /// notified.
    Kill(Vec<usize>),
    /// Starts those of the poolers that this worker has and that do not run.
    Start(Vec<usize>),
}

/// Reply of a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The worker is ready.
    Ready,
    /// The counters.
    Sample(Box<Sample>),
    /// The state of the poolers.
    State(State),
    /// Times at which poolers received something (Unix seconds).
    #[serde(rename = "Heard")]
    Times(Vec<f64>),
    /// Version of the list, and when discovery began to send it (Unix seconds).
    Version(u64, f64),
    /// The command succeeded.
    Done,
    /// The command failed for this reason.
    Failed(String),
}

/// Counters of a worker.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Sample {
    /// When they were read (Unix seconds).
    pub at: f64,
    /// Messages and bytes.
    pub traffic: Traffic,
    /// Maximum delay of a timer since the last sample (seconds).
    pub latest_timer_s: f64,
    /// Results of the modelled load.
    pub load: LoadCounts,
}

/// Results of the modelled load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadCounts {
    /// Answered writes.
    pub answered: u64,
    /// Writes refused before they were sent.
    pub refused: u64,
    /// Reads that may go to a replica.
    pub reads_anywhere: u64,
    /// Reads that only the primary may serve.
    pub reads_at_primary: u64,
    /// Reads that might have missed an answered write of their session. Must be 0.
    pub stale: u64,
    /// Time that each answered write waited for other instances before it was sent and before it was
    /// answered, since the last sample (microseconds).
    pub waits_us: Vec<u64>,
    /// Time for which each session that moved here from another pooler had to read at the primary, since the
    /// last sample (microseconds).
    pub arrivals_us: Vec<u64>,
}

/// State of the poolers of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Number of running poolers.
    pub running: usize,
    /// For each running pooler: the version of its list, and a checksum of the members in its policy.
    pub lists: Vec<(u64, u64)>,
    /// For each running pooler that exchanges state: the number of instances it considers alive, including
    /// itself.
    pub alive: Vec<usize>,
    /// For each running pooler that exchanges state: whether reads of sessions may use replicas.
    #[serde(rename = "whole")]
    pub can_read_replicas: Vec<bool>,
    /// For each running pooler with a session directory: whether it has a quorum of every group of control
    /// instances.
    pub quorate: Vec<bool>,
    /// Number of logs to be fetched over streams, which hollow poolers do not support. Must be 0.
    pub streams_wanted: u64,
}

impl LoadCounts {
    /// Adds the counts of another worker.
    pub fn add(&mut self, other: LoadCounts) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.reads_anywhere += other.reads_anywhere;
        self.reads_at_primary += other.reads_at_primary;
        self.stale += other.stale;
        self.waits_us.extend(other.waits_us);
        self.arrivals_us.extend(other.arrivals_us);
    }
}

impl State {
    /// Returns true if reads of sessions may use replicas at all poolers. Only meaningful under load:
    /// without reads, no leases are requested.
    pub fn all_can_read_replicas(&self) -> bool {
        self.can_read_replicas.iter().all(|confirmed| *confirmed)
    }

    /// Adds the poolers of another worker.
    pub fn add(&mut self, other: State) {
        self.running += other.running;
        self.lists.extend(other.lists);
        self.alive.extend(other.alive);
        self.can_read_replicas.extend(other.can_read_replicas);
        self.quorate.extend(other.quorate);
        self.streams_wanted += other.streams_wanted;
    }

    /// Returns true if `running` poolers run, all have version `version` of the list, those that exchange
    /// state each consider `alive` instances alive, and those with a directory have a quorum of every group.
    pub fn has_converged(&self, running: usize, alive: usize, version: u64) -> bool {
        self.running == running
            && self.lists.iter().all(|(list_version, _)| *list_version == version)
            && self.alive.iter().all(|count| *count == alive)
            && self.quorate.iter().all(|quorate| *quorate)
    }

    /// Describes the state in one line.
    pub fn summary(&self) -> String {
        let range = |values: &mut dyn Iterator<Item = u64>| {
            let values: Vec<u64> = values.collect();
            format!("{} to {}", values.iter().min().unwrap_or(&0), values.iter().max().unwrap_or(&0))
        };
        let mut text = format!(
            "{} poolers run, list versions {}",
            self.running,
            range(&mut self.lists.iter().map(|(list_version, _)| *list_version))
        );
        if !self.alive.is_empty() {
            let confirmed = self.can_read_replicas.iter().filter(|confirmed| **confirmed).count();
            let alive = range(&mut self.alive.iter().map(|alive| *alive as u64));
            text += &format!(", each considers {alive} instances alive, {confirmed} can read from replicas");
        }
        if !self.quorate.is_empty() {
            let quorate = self.quorate.iter().filter(|quorate| **quorate).count();
            text += &format!(", {quorate} have a quorum of every control group");
        }
        text
    }
}
