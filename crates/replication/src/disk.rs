//! State that an instance stores on disk if a folder is configured: the number of its start, and the
//! instances it has seen, so that after a restart it knows which ones to wait for even if the list of seeds
//! is short. Write marks of its own are not stored: marks lost with the end of a log would have to be assumed
//! written anyway. This module defines the format only; the caller writes the file.
//!
//! A file is a sequence of records, each with its length, a CRC-32 and its bytes. An incomplete record at the
//! end is cut off; a malformed record ends the part that is used.

use std::collections::BTreeMap;
use std::sync::Arc;

use membership::Identity;
use serde::{Deserialize, Serialize};

/// Size of a file (bytes) above which it is compacted.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Maximum size of a record (bytes).
const MAX_RECORD_BYTES: usize = 1024;

/// A stored record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A start of this instance.
    Start(u64),
    /// Another instance has been seen.
    Seen(Identity),
    /// Another instance has ended.
    Ended(Identity),
}

/// State that earlier starts have stored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The highest start number of this instance.
    pub start: u64,
    /// Other instances that had been seen and had not ended.
    pub seen: Vec<Identity>,
    /// Bytes at the end of the file that are not complete, valid records.
    pub torn_bytes: usize,
}

impl Record {
    /// Encodes the record as it is stored in the file.
    pub fn encode(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.extend(crc32fast::hash(&body).to_be_bytes());
        bytes.extend(body);
        bytes
    }
}

/// Parses a file up to the first incomplete or malformed record.
pub fn parse(bytes: &[u8]) -> StoredState {
    let mut seen: BTreeMap<Arc<str>, Identity> = BTreeMap::new();
    let mut stored = StoredState::default();
    let mut rest = bytes;
    while let Some((record, remaining)) = parse_record(rest) {
        match record {
            Record::Start(start) => stored.start = stored.start.max(start),
            Record::Seen(identity) => {
                seen.insert(identity.name.clone(), identity);
            }
            Record::Ended(identity) => {
                if seen.get(&identity.name).is_some_and(|known| known.start <= identity.start) {
                    seen.remove(&identity.name);
                }
            }
        }
        rest = remaining;
    }
    stored.torn_bytes = rest.len();
    stored.seen = seen.into_values().collect();
    stored
}

fn parse_record(bytes: &[u8]) -> Option<(Record, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_be_bytes(*length) as usize;
    let (body, rest) = rest.split_at_checked(length).filter(|_| length <= MAX_RECORD_BYTES)?;
    let valid = crc32fast::hash(body) == u32::from_be_bytes(*sum);
    let record = postcard::from_bytes(body).ok().filter(|_| valid)?;
    Some((record, rest))
}

/// Returns the contents of a file that holds the same state without outdated records.
pub fn compacted(stored: &StoredState) -> Vec<u8> {
    let seen = stored.seen.iter().cloned().map(Record::Seen);
    [Record::Start(stored.start)].into_iter().chain(seen).flat_map(|record| record.encode()).collect()
}

/// Returns the number of a start at `now` (Unix seconds). It is higher than all stored ones, even if the
/// clock was set back.
pub fn next_start(stored: Option<&StoredState>, now: f64) -> u64 {
    let clock = (now.max(0.0) * 1e6) as u64;
    clock.max(stored.map_or(0, |stored| stored.start + 1)).max(1)
}
