//! What a daemon knows, in a form that its successor reads though it is a version older or newer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The version that is written. It rises with each change of what is written.
pub const VERSION: u32 = 1;
/// The oldest version that is read, and the oldest reader that this one is meant for: fields that a reader does not know
/// it passes over, those that it misses it does without.
pub const OLDEST_READABLE_VERSION: u32 = 1;
/// Longest snapshot (bytes): 20,000 sessions and 10,000 members take some 5 MB.
pub const MAX_SNAPSHOT_BYTES: usize = 64 * 1024 * 1024;

/// Knowledge of roles and positions older than this is not used (seconds): a primary may have changed since.
const ROLES: f64 = 5.0;
/// Two processes' clocks may differ by so much (seconds), each being read once and counted on from there.
const SKEW: f64 = 1.0;
/// Knowledge of any kind older than this is not used (seconds), but for what sessions wrote.
const ANY: f64 = 60.0;

/// A line of the list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
#[allow(missing_docs)] // As in the list.
pub struct ListedMember {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub group: u32,
    /// `serving` or `draining`.
    pub phase: String,
    /// When it last started (Unix seconds).
    pub since: f64,
}

/// What is known of a member first-hand.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Whether it is its group's primary, and when that was so (Unix seconds).
    pub primary: Option<(bool, f64)>,
    /// Its position in the log.
    pub position: Option<f64>,
    /// When it was last cold (Unix seconds).
    pub cold_since: Option<f64>,
}

/// What is known.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct KnownState {
    /// The version of the list.
    pub index: u64,
    /// The list.
    pub places: Vec<ListedMember>,
    /// The members.
    pub members: Vec<Member>,
    /// What sessions wrote last, by name: a position in the log.
    pub sessions: Vec<(String, f64)>,
    /// Up to which position a session that is not among them may have written.
    pub forgotten: Option<f64>,
}

/// What is known, and when.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Snapshot {
    /// The version of this form.
    pub version: u32,
    /// The oldest reader that can use it.
    pub readable_from: u32,
    /// When it was taken (Unix seconds).
    pub at: f64,
    /// The rest.
    pub known: KnownState,
}

/// Why a snapshot is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// It was damaged on the way, or is cut off.
    Damaged,
    /// Not of the agreed form.
    Malformed(String),
    /// Of a version that is too old, or meant for newer readers.
    Version(u32),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::Damaged => f.write_str("damaged or cut off"),
            SnapshotError::Malformed(what) => write!(f, "not of the agreed form: {what}"),
            SnapshotError::Version(version) => {
                write!(f, "of version {version}; read are {OLDEST_READABLE_VERSION} to {VERSION}")
            }
        }
    }
}

impl std::error::Error for SnapshotError {}

impl Snapshot {
    /// Of what is known at this time (Unix seconds).
    pub fn new(at: f64, known: KnownState) -> Snapshot {
        Snapshot { version: VERSION, readable_from: OLDEST_READABLE_VERSION, at, known }
    }

    /// Its bytes: a checksum, then JSON.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Reads bytes as a reader of `version`, which can read from `oldest` on.
    pub fn decode(bytes: &[u8], (oldest, version): (u32, u32)) -> Result<Snapshot, SnapshotError> {
        let (crc, body) = bytes.split_first_chunk::<4>().ok_or(SnapshotError::Damaged)?;
        if bytes.len() > MAX_SNAPSHOT_BYTES || crc32fast::hash(body) != u32::from_le_bytes(*crc) {
            return Err(SnapshotError::Damaged);
        }
        let snapshot: Snapshot =
            serde_json::from_slice(body).map_err(|error| SnapshotError::Malformed(error.to_string()))?;
        if !snapshot.is_readable_by((oldest, version)) {
            return Err(SnapshotError::Version(snapshot.version));
        }
        Ok(snapshot)
    }

    /// Whether a reader of `version`, which can read from `oldest` on, can use it.
    pub fn is_readable_by(&self, (oldest, version): (u32, u32)) -> bool {
        self.version >= oldest && self.readable_from <= version
    }

    /// What is of use at this time (Unix seconds), weighed by its age. The list and what sessions wrote hold at any
    /// age: they are facts that only make stricter. One from the future is taken for old: a clock was set.
    pub fn usable_at(mut self, now: f64) -> KnownState {
        let age = if now >= self.at - SKEW { now - self.at } else { f64::INFINITY };
        for member in &mut self.known.members {
            if age > ROLES {
                (member.primary, member.position) = (None, None);
            }
            if age > ANY {
                member.cold_since = None;
            }
        }
        self.known
    }
}
