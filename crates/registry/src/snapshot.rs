//! A view as bytes, to be kept on disk: a later process goes on from it without reading the whole list.
//!
//! ```text
//! "dewferry view 1\n"  cluster u64  revision u64  prefix: length u32, bytes  keys u32
//! each key: revision u64, length u32, bytes; value: length u32, bytes          CRC-32 of all before u32
//! ```
//! Numbers are little-endian.

use std::fmt;

use crate::sync::{Entry, View, MAX_BYTES, MAX_KEYS};

const HEAD: &[u8] = b"dewferry view 1\n";
/// Longest snapshot there can be (bytes).
pub const MAX_SNAPSHOT_BYTES: usize = MAX_BYTES + MAX_KEYS * 32;

/// Why bytes are no view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// Not of this form, or of another version of it.
    Format,
    /// Cut off, or changed since.
    Damaged,
    /// Of another prefix.
    WrongPrefix,
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SnapshotError::Format => "not a snapshot of this version",
            SnapshotError::Damaged => "damaged or cut off",
            SnapshotError::WrongPrefix => "of another prefix",
        })
    }
}

impl std::error::Error for SnapshotError {}

/// The bytes of a view of the keys under a prefix.
pub fn encode(prefix: &str, view: &View) -> Vec<u8> {
    let mut bytes = HEAD.to_vec();
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
    let check = crc32fast::hash(&bytes);
    bytes.extend(check.to_le_bytes());
    bytes
}

/// The view of bytes, where it is one of this prefix.
pub fn decode(prefix: &str, bytes: &[u8]) -> Result<View, SnapshotError> {
    let rest = bytes.strip_prefix(HEAD).ok_or(SnapshotError::Format)?;
    let (_, check) = bytes.split_last_chunk::<4>().ok_or(SnapshotError::Damaged)?;
    if crc32fast::hash(&bytes[..bytes.len() - 4]) != u32::from_le_bytes(*check) {
        return Err(SnapshotError::Damaged);
    }
    let mut from = Reader(&rest[..rest.len().saturating_sub(4)]);
    let read = |from: &mut Reader| -> Option<(bool, View)> {
        let (cluster, revision) = (from.long()?, from.long()?);
        let same = from.text()? == prefix.as_bytes();
        let count = from.short()?;
        let mut keys = Vec::new();
        for _ in 0..count {
            let revision = from.long()?;
            let (key, value) = (from.text()?.to_vec(), from.text()?.to_vec());
            keys.push((key, Entry { revision, value }));
        }
        Some((same, View::restore(cluster, revision, keys)))
    };
    match read(&mut from) {
        Some((true, view)) if from.0.is_empty() && view.len() <= MAX_KEYS => Ok(view),
        Some((false, _)) => Err(SnapshotError::WrongPrefix),
        _ => Err(SnapshotError::Damaged),
    }
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn chunk<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (chunk, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*chunk)
    }

    fn long(&mut self) -> Option<u64> {
        self.chunk().map(u64::from_le_bytes)
    }

    fn short(&mut self) -> Option<u32> {
        self.chunk().map(u32::from_le_bytes)
    }

    fn text(&mut self) -> Option<&'a [u8]> {
        let length = self.short()? as usize;
        let (text, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        Some(text)
    }
}
