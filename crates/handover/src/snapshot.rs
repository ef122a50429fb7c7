//! State passed to the successor, in a format that processes of an older or a newer version can read.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Format version that is written. It is incremented with each change of the format.
pub const VERSION: u32 = 1;
/// Oldest format version that can be read, and oldest reader that can use what is written. A reader ignores
/// fields that it does not know, and uses defaults for missing ones.
pub const OLDEST_READABLE_VERSION: u32 = 1;
/// Maximum size of a snapshot (bytes). 20,000 sessions and 10,000 members take about 5 MB.
pub const MAX_SNAPSHOT_BYTES: usize = 64 * 1024 * 1024;

/// Maximum age of roles and positions (seconds): the primary may have changed since.
const MAX_ROLE_AGE: f64 = 5.0;
/// Tolerated difference of the two processes' clocks (seconds): each reads the wall clock once and counts on
/// from there.
const MAX_CLOCK_SKEW: f64 = 1.0;
/// Maximum age of the remaining observed state of members (seconds). The list and the positions of sessions
/// have no maximum age.
const MAX_STATE_AGE: f64 = 60.0;

/// An entry of the list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
#[allow(missing_docs)] // The fields of a list entry.
pub struct ListedMember {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub group: u32,
    /// `serving` or `draining`.
    pub phase: String,
    /// When the member last started (Unix seconds).
    pub since: f64,
}

/// Observed state of a member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// Name of the member.
    pub name: String,
    /// Whether the member was its group's primary, and when that was observed (Unix seconds).
    pub primary: Option<(bool, f64)>,
    /// Its log position.
    pub position: Option<f64>,
    /// When it last became cold (Unix seconds).
    pub cold_since: Option<f64>,
}

/// The list and the observed state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct KnownState {
    /// Version of the list.
    pub index: u64,
    /// Entries of the list.
    #[serde(rename = "places")]
    pub listed: Vec<ListedMember>,
    /// Observed state of the members.
    pub members: Vec<Member>,
    /// Log position of each session's last write, by session name.
    pub sessions: Vec<(String, f64)>,
    /// Upper bound of the positions written by sessions that are not in `sessions`.
    pub forgotten: Option<f64>,
}

/// State of a pooler at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Snapshot {
    /// Format version.
    pub version: u32,
    /// Oldest format version whose readers can use the snapshot.
    pub readable_from: u32,
    /// When the snapshot was taken (Unix seconds).
    pub at: f64,
    /// The list and the observed state.
    pub known: KnownState,
}

/// Reason why a snapshot cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The snapshot is truncated, or its checksum does not match.
    Damaged,
    /// The JSON does not match the format.
    Malformed(String),
    /// The version is too old, or requires a newer reader.
    Version(u32),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::Damaged => f.write_str("truncated or checksum mismatch"),
            SnapshotError::Malformed(error) => write!(f, "malformed: {error}"),
            SnapshotError::Version(version) => {
                write!(f, "unsupported version {version}; readable: {OLDEST_READABLE_VERSION} to {VERSION}")
            }
        }
    }
}

impl std::error::Error for SnapshotError {}

impl Snapshot {
    /// A snapshot of `known`, taken at `at` (Unix seconds).
    pub fn new(at: f64, known: KnownState) -> Snapshot {
        Snapshot { version: VERSION, readable_from: OLDEST_READABLE_VERSION, at, known }
    }

    /// Encodes the snapshot: a checksum, then JSON.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Decodes a snapshot for a reader that supports the versions `oldest` to `version`.
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

    /// Returns true if a reader that supports the versions `oldest` to `version` can use the snapshot.
    pub fn is_readable_by(&self, (oldest, version): (u32, u32)) -> bool {
        self.version >= oldest && self.readable_from <= version
    }

    /// Returns the state that is still usable at `now` (Unix seconds); state that is too old is removed. The
    /// list and the positions of sessions are used at any age, since they only make reads stricter. A
    /// snapshot from the future counts as too old: a clock was set.
    pub fn usable_at(mut self, now: f64) -> KnownState {
        let age = if now >= self.at - MAX_CLOCK_SKEW { now - self.at } else { f64::INFINITY };
        for member in &mut self.known.members {
            if age > MAX_ROLE_AGE {
                (member.primary, member.position) = (None, None);
            }
            if age > MAX_STATE_AGE {
                member.cold_since = None;
            }
        }
        self.known
    }
}
