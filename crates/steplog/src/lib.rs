//! Format of the append-only log that stores the steps of configuration changes: a header with the version,
//! then records, each of which consists of its length, its CRC-32 and its JSON text. The first torn or corrupt
//! record ends the log: it and everything after it is discarded. No I/O.
//!
//! ```text
//! "dewferry steps 1\n"  { length: u32 LE, crc: u32 LE, JSON: length bytes }*
//! ```
#![warn(missing_docs)]

use transaction::{History, Record};

/// Header of a log.
pub const HEADER: &[u8] = b"dewferry steps 1\n";
/// Maximum length of a record (bytes): a snapshot of four documents of the maximum length, encoded as JSON.
pub const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

/// Content of a log.
#[derive(Debug, PartialEq)]
pub struct Scan {
    /// Valid records, in their order.
    pub records: Vec<Record>,
    /// Length of the valid part of the log, header included (bytes); 0 if the header is incomplete.
    pub valid_bytes: usize,
    /// Why the rest of the log is discarded; `None` if nothing follows the valid part.
    pub cut_reason: Option<&'static str>,
}

/// Encodes a record.
pub fn encode_record(record: &Record) -> Vec<u8> {
    // The steps consist of strings and numbers only, so the encoding cannot fail.
    let text = serde_json::to_vec(record).unwrap_or_default();
    let mut out = Vec::with_capacity(text.len() + 8);
    out.extend((text.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&text).to_le_bytes());
    out.extend(text);
    out
}

/// A complete log of the current state of a history, without the steps that led to it.
pub fn compacted_log(history: &History) -> Vec<u8> {
    let records = std::iter::once(history.snapshot()).chain(history.open_steps());
    HEADER.iter().copied().chain(records.flat_map(|record| encode_record(&record))).collect()
}

/// Reads the valid part of a log. Returns an error if the header is that of another version or of another
/// kind of file.
pub fn scan(bytes: &[u8]) -> Result<Scan, &'static str> {
    let Some(mut rest) = bytes.strip_prefix(HEADER) else {
        // A crash may have truncated the header itself; the file is then a prefix of the header.
        return match HEADER.starts_with(bytes) {
            true => Ok(Scan {
                records: Vec::new(),
                valid_bytes: 0,
                cut_reason: (!bytes.is_empty()).then_some("a torn header"),
            }),
            false => Err("not a log of steps, or one of another version"),
        };
    };
    let (mut records, mut valid_bytes, mut cut_reason) = (Vec::new(), HEADER.len(), None);
    while !rest.is_empty() {
        match read_record(rest) {
            Ok((next, length)) => {
                records.push(next);
                valid_bytes += length;
                rest = &rest[length..];
            }
            Err(why) => {
                cut_reason = Some(why);
                break;
            }
        }
    }
    Ok(Scan { records, valid_bytes, cut_reason })
}

fn read_record(bytes: &[u8]) -> Result<(Record, usize), &'static str> {
    let (Some(length), Some(crc)) = (read_u32(bytes, 0), read_u32(bytes, 4)) else {
        return Err("a torn record");
    };
    let length = length as usize;
    if length > MAX_RECORD_BYTES {
        return Err("a record of impossible length");
    }
    let text = bytes.get(8..8 + length).ok_or("a torn record")?;
    if crc32fast::hash(text) != crc {
        return Err("a record with a wrong checksum");
    }
    let record = serde_json::from_slice(text).map_err(|_| "a record of unknown form")?;
    Ok((record, 8 + length))
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(*bytes.get(at..)?.first_chunk()?))
}
