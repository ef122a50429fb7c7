//! Stand-in db machines: a primary, and a replica that is behind by so much. What they hold is a number for each key, with
//! the time at which it was written; they keep no record of who may read what.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use peers::{frame, list, list_entry, row, AnsweringMember};

type Data = Arc<Mutex<HashMap<String, Vec<(f64, u64)>>>>;

/// The data, and the machines before it.
pub struct Store {
    data: Data,
    primary: AnsweringMember,
    replica: AnsweringMember,
    /// Reads that each has answered, and writes.
    pub primary_reads: Arc<AtomicU64>,
    pub replica_reads: Arc<AtomicU64>,
    pub writes: Arc<AtomicU64>,
}

/// Unix seconds.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// What stands in the first quotes, and in the second.
fn quoted(sql: &str) -> (&str, &str) {
    let mut parts = sql.split('\'');
    (parts.nth(1).unwrap_or_default(), parts.nth(1).unwrap_or_default())
}

fn answer(value: u64, role: &str, position: f64) -> Vec<u8> {
    let told = |name: &str, value: &str| frame(b'S', format!("{name}\0{value}\0").as_bytes());
    let position = format!("{:.3}", position * 1e3);
    [row(&value.to_be_bytes()), told("server_role", role), told("commit_clock", &position), frame(b'Z', b"I")]
        .concat()
}

impl Store {
    pub fn new(lag: Duration) -> Arc<Store> {
        let data: Data = Arc::default();
        let counters: [Arc<AtomicU64>; 3] = Default::default();
        let [at_primary, at_replica, writes] = counters;
        let (kept, reads, written) = (data.clone(), at_primary.clone(), writes.clone());
        let primary = AnsweringMember::new(move |sql| {
            let (key, value) = quoted(sql);
            let Ok(mut data) = kept.lock() else { return Vec::new() };
            let at = now();
            let versions = data.entry(key.to_string()).or_default();
            if sql.contains("INSERT") {
                written.fetch_add(1, Ordering::Relaxed);
                let value = value.strip_prefix("\\x").and_then(|hex| u64::from_str_radix(hex, 16).ok());
                versions.push((at, value.unwrap_or(0)));
                // What no replica is behind any more is not needed; the newest before that stays.
                if versions.len() > 256 {
                    versions.drain(..128);
                }
            } else {
                reads.fetch_add(1, Ordering::Relaxed);
            }
            let newest = versions.iter().map(|(_, value)| *value).max().unwrap_or(0);
            answer(newest, "writer", at)
        });
        let (kept, reads) = (data.clone(), at_replica.clone());
        let replica = AnsweringMember::new(move |sql| {
            if sql.contains("INSERT") {
                return [frame(b'E', b"SERROR\0VERROR\0C25006\0Mread only\0\0"), frame(b'Z', b"I")].concat();
            }
            reads.fetch_add(1, Ordering::Relaxed);
            let position = now() - lag.as_secs_f64();
            let Ok(data) = kept.lock() else { return Vec::new() };
            let seen = data.get(quoted(sql).0).into_iter().flatten().filter(|(at, _)| *at <= position);
            let newest = seen.map(|(_, value)| *value).max().unwrap_or(0);
            answer(newest, "reader", position)
        });
        Arc::new(Store {
            data,
            primary,
            replica,
            primary_reads: at_primary,
            replica_reads: at_replica,
            writes,
        })
    }

    /// The machines as a list.
    pub fn list(&self) -> String {
        let primary = list_entry(self.primary.address, "s-primary", "here", "SERVING");
        let replica = list_entry(self.replica.address, "s-replica", "here", "SERVING");
        list(41, true, &[primary, replica])
    }

    /// The newest value of a key.
    pub fn newest_value(&self, key: &str) -> u64 {
        let data = self.data.lock().expect("the data");
        data.get(key).into_iter().flatten().map(|(_, value)| *value).max().unwrap_or(0)
    }
}
