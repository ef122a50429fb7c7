//! What an instance keeps on disk, where it has a folder: the number of its start, and whom it has seen, so that it knows
//! at its next start whom to wait for even where the list of seeds is short. Its own marks are not kept for itself: what is
//! lost with the end of a log would have to be taken for written anyway. The form only; the caller writes.
//!
//! A file is a row of records, each its length, a CRC-32 and its bytes. What is torn at the end is cut off; a record that is
//! spoilt ends what is believed.

use std::collections::BTreeMap;
use std::sync::Arc;

use membership::Identity;
use serde::{Deserialize, Serialize};

/// Longest file (bytes) before it is written anew without what is no longer needed.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Longest record (bytes).
const LONGEST_RECORD: usize = 1024;

/// What is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A start of this instance.
    Start(u64),
    /// Another has been seen.
    Seen(Identity),
    /// Another is over.
    Ended(Identity),
}

/// What is known from before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The highest start of this instance.
    pub start: u64,
    /// Others that were there.
    pub seen: Vec<Identity>,
    /// Bytes at the end that were not whole.
    pub torn_bytes: usize,
}

impl Record {
    /// Its bytes as they stand in the file.
    pub fn encode(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.extend(crc32fast::hash(&body).to_be_bytes());
        bytes.extend(body);
        bytes
    }
}

/// Reads a file, as far as it is whole.
pub fn parse(bytes: &[u8]) -> StoredState {
    let mut seen: BTreeMap<Arc<str>, Identity> = BTreeMap::new();
    let mut kept = StoredState::default();
    let mut rest = bytes;
    while let Some((record, left)) = first(rest) {
        match record {
            Record::Start(start) => kept.start = kept.start.max(start),
            Record::Seen(who) => {
                seen.insert(who.name.clone(), who);
            }
            Record::Ended(who) => {
                if seen.get(&who.name).is_some_and(|known| known.start <= who.start) {
                    seen.remove(&who.name);
                }
            }
        }
        rest = left;
    }
    kept.torn_bytes = rest.len();
    kept.seen = seen.into_values().collect();
    kept
}

fn first(bytes: &[u8]) -> Option<(Record, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_be_bytes(*length) as usize;
    let (body, rest) = rest.split_at_checked(length).filter(|_| length <= LONGEST_RECORD)?;
    let sound = crc32fast::hash(body) == u32::from_be_bytes(*sum);
    let record = postcard::from_bytes(body).ok().filter(|_| sound)?;
    Some((record, rest))
}

/// A file that says the same in as few bytes.
pub fn compacted(kept: &StoredState) -> Vec<u8> {
    let seen = kept.seen.iter().cloned().map(Record::Seen);
    [Record::Start(kept.start)].into_iter().chain(seen).flat_map(|record| record.encode()).collect()
}

/// The number of a start at the time `now` (Unix seconds): above all that were used before, though the clock went back.
pub fn next_start(kept: Option<&StoredState>, now: f64) -> u64 {
    let clock = (now.max(0.0) * 1e6) as u64;
    clock.max(kept.map_or(0, |kept| kept.start + 1)).max(1)
}
