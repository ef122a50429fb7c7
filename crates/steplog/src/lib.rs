//! The form of the log in which the steps of configuration changes are kept: a head that names the version,
//! then records, each its length, its CRC-32 and its JSON text. What does not check out ends the log: a torn or
//! corrupt tail is cut, never believed. No I/O.
//!
//! ```text
//! "dewferry steps 1\n"  { length: u32 LE, crc: u32 LE, JSON: length bytes }*
//! ```
#![warn(missing_docs)]

use transaction::{History, Record};

/// What a log begins with.
pub const HEADER: &[u8] = b"dewferry steps 1\n";
/// Longest record (bytes): a snapshot of four documents, each as long as may be, written out as JSON.
pub const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

/// What stands in a log.
#[derive(Debug, PartialEq)]
pub struct Scan {
    /// The steps that check out, in their order.
    pub records: Vec<Record>,
    /// How many bytes of the log they take, its head included; 0 where the head is not there.
    pub valid_bytes: usize,
    /// Why what follows is cut; none where nothing follows.
    pub cut_reason: Option<&'static str>,
}

/// One record in its form.
pub fn encode_record(record: &Record) -> Vec<u8> {
    // The steps hold texts and numbers only, which JSON can always say.
    let text = serde_json::to_vec(record).unwrap_or_default();
    let mut out = Vec::with_capacity(text.len() + 8);
    out.extend((text.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&text).to_le_bytes());
    out.extend(text);
    out
}

/// A whole log that says what a history holds, and nothing of how it came about.
pub fn compacted_log(history: &History) -> Vec<u8> {
    let records = std::iter::once(history.snapshot()).chain(history.open_steps());
    HEADER.iter().copied().chain(records.flat_map(|record| encode_record(&record))).collect()
}

/// Reads a log as far as it checks out. A file of another version, or of something else, is told by its head.
pub fn scan(bytes: &[u8]) -> Result<Scan, &'static str> {
    let Some(mut rest) = bytes.strip_prefix(HEADER) else {
        // A crash may have cut the head itself; what is there must then be the beginning of it.
        return match HEADER.starts_with(bytes) {
            true => Ok(Scan {
                records: Vec::new(),
                valid_bytes: 0,
                cut_reason: (!bytes.is_empty()).then_some("a torn head"),
            }),
            false => Err("not a log of steps, or one of another version"),
        };
    };
    let (mut records, mut sound, mut cut) = (Vec::new(), HEADER.len(), None);
    while !rest.is_empty() {
        match record(rest) {
            Ok((next, length)) => {
                records.push(next);
                sound += length;
                rest = &rest[length..];
            }
            Err(why) => {
                cut = Some(why);
                break;
            }
        }
    }
    Ok(Scan { records, valid_bytes: sound, cut_reason: cut })
}

fn record(bytes: &[u8]) -> Result<(Record, usize), &'static str> {
    let (Some(length), Some(crc)) = (word(bytes, 0), word(bytes, 4)) else { return Err("a torn record") };
    let length = length as usize;
    if length > MAX_RECORD_BYTES {
        return Err("a record of impossible length");
    }
    let text = bytes.get(8..8 + length).ok_or("a torn record")?;
    if crc32fast::hash(text) != crc {
        return Err("a record that does not check out");
    }
    let record = serde_json::from_slice(text).map_err(|_| "a record of unknown form")?;
    Ok((record, 8 + length))
}

fn word(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(*bytes.get(at..)?.first_chunk()?))
}
