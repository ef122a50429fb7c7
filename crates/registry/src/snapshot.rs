//! Serializes a view to be stored on disk, so that a later process can continue from it without reading the
//! full list.
//!
//! ```text
//! "dewferry view 1\n"  cluster u64  revision u64  prefix: length u32, bytes  keys u32
//! each key: revision u64, length u32, bytes; value: length u32, bytes          CRC-32 of all before u32
//! ```
//! Numbers are little-endian.

use std::fmt;

use crate::sync::{Entry, View, MAX_BYTES, MAX_KEYS};

const HEADER: &[u8] = b"dewferry view 1\n";
/// Maximum size of a snapshot (bytes).
pub const MAX_SNAPSHOT_BYTES: usize = MAX_BYTES + MAX_KEYS * 32;

/// Why bytes are not a usable snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// Not a snapshot, or of an unsupported version.
    Format,
    /// Truncated or altered.
    Damaged,
    /// Of another key prefix.
    WrongPrefix,
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SnapshotError::Format => "not a snapshot of this version",
            SnapshotError::Damaged => "damaged or truncated",
            SnapshotError::WrongPrefix => "snapshot of another key prefix",
        })
    }
}

impl std::error::Error for SnapshotError {}

/// Serializes a view of the keys under a prefix.
pub fn encode(prefix: &str, view: &View) -> Vec<u8> {
    let mut bytes = HEADER.to_vec();
    let text = |bytes: &mut Vec<u8>, text: &[u8]| {
        bytes.extend((text.len() as u32).to_le_bytes());
        bytes.extend(text);
    };
    bytes.extend(view.cluster.to_le_bytes());
    bytes.extend(view.revision.to_le_bytes());
    text(&mut bytes, prefix.as_bytes());
    bytes.extend((view.len() as u32).to_le_bytes());
    for (key, entry) in view.with_prefix(b"") {
        bytes.extend(entry.revision.to_le_bytes());
        text(&mut bytes, key);
        text(&mut bytes, &entry.value);
    }
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

/// Deserializes a view; its prefix must equal `prefix`.
pub fn decode(prefix: &str, bytes: &[u8]) -> Result<View, SnapshotError> {
    let rest = bytes.strip_prefix(HEADER).ok_or(SnapshotError::Format)?;
    let (_, checksum) = bytes.split_last_chunk::<4>().ok_or(SnapshotError::Damaged)?;
    if crc32fast::hash(&bytes[..bytes.len() - 4]) != u32::from_le_bytes(*checksum) {
        return Err(SnapshotError::Damaged);
    }
    let mut from = Reader(&rest[..rest.len().saturating_sub(4)]);
    let read = |from: &mut Reader| -> Option<(bool, View)> {
        let (cluster, revision) = (from.read_u64()?, from.read_u64()?);
        let prefix_matches = from.read_bytes()? == prefix.as_bytes();
        let count = from.read_u32()?;
        let mut keys = Vec::new();
        for _ in 0..count {
            let revision = from.read_u64()?;
            let (key, value) = (from.read_bytes()?.to_vec(), from.read_bytes()?.to_vec());
            keys.push((key, Entry { revision, value }));
        }
        Some((prefix_matches, View::restore(cluster, revision, keys)))
    };
    match read(&mut from) {
        Some((true, view)) if from.0.is_empty() && view.len() <= MAX_KEYS => Ok(view),
        Some((false, _)) => Err(SnapshotError::WrongPrefix),
        _ => Err(SnapshotError::Damaged),
    }
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn read_array<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (array, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*array)
    }

    fn read_u64(&mut self) -> Option<u64> {
        self.read_array().map(u64::from_le_bytes)
    }

    fn read_u32(&mut self) -> Option<u32> {
        self.read_array().map(u32::from_le_bytes)
    }

    fn read_bytes(&mut self) -> Option<&'a [u8]> {
        let length = self.read_u32()? as usize;
        let (bytes, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        Some(bytes)
    }
}
