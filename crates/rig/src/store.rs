//! Stand-in members: a primary, and a replica that lags by a fixed time. Their data are numbers by key, each
//! with the time at which it was written. They do not track which session may read what.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use peers::{frame, list, list_entry, row, AnsweringMember};

type Data = Arc<Mutex<HashMap<String, Vec<(f64, u64)>>>>;

/// The data and the members that serve it.
pub struct Store {
    data: Data,
    primary: AnsweringMember,
    replica: AnsweringMember,
    /// Numbers of reads answered by each member, and of writes.
    pub primary_reads: Arc<AtomicU64>,
    pub replica_reads: Arc<AtomicU64>,
    pub writes: Arc<AtomicU64>,
}

/// Returns the current time (Unix seconds).
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// Returns the first and the second quoted string of a statement.
fn quoted_values(sql: &str) -> (&str, &str) {
    let mut parts = sql.split('\'');
    (parts.nth(1).unwrap_or_default(), parts.nth(1).unwrap_or_default())
}

fn answer(value: u64, role: &str, position: f64) -> Vec<u8> {
    let parameter = |name: &str, value: &str| frame(b'S', format!("{name}\0{value}\0").as_bytes());
    let position = format!("{:.3}", position * 1e3);
    [
        row(&value.to_be_bytes()),
        parameter("server_role", role),
        parameter("commit_clock", &position),
        frame(b'Z', b"I"),
    ]
    .concat()
}

impl Store {
    pub fn new(lag: Duration) -> Arc<Store> {
        let data: Data = Arc::default();
        let counters: [Arc<AtomicU64>; 3] = Default::default();
        let [primary_reads, replica_reads, writes] = counters;
        let (stored, read_count, write_count) = (data.clone(), primary_reads.clone(), writes.clone());
        let primary = AnsweringMember::new(move |sql| {
            let (key, value) = quoted_values(sql);
            let Ok(mut data) = stored.lock() else { return Vec::new() };
            let at = now();
            let versions = data.entry(key.to_string()).or_default();
            if sql.contains("INSERT") {
                write_count.fetch_add(1, Ordering::Relaxed);
                let value = value.strip_prefix("\\x").and_then(|hex| u64::from_str_radix(hex, 16).ok());
                versions.push((at, value.unwrap_or(0)));
                // The oldest versions are before the position of the replica and not needed.
                if versions.len() > 256 {
                    versions.drain(..128);
                }
            } else {
                read_count.fetch_add(1, Ordering::Relaxed);
            }
            let newest = versions.iter().map(|(_, value)| *value).max().unwrap_or(0);
            answer(newest, "writer", at)
        });
        let (stored, read_count) = (data.clone(), replica_reads.clone());
        let replica = AnsweringMember::new(move |sql| {
            if sql.contains("INSERT") {
                return [frame(b'E', b"SERROR\0VERROR\0C25006\0Mread only\0\0"), frame(b'Z', b"I")].concat();
            }
            read_count.fetch_add(1, Ordering::Relaxed);
            let position = now() - lag.as_secs_f64();
            let Ok(data) = stored.lock() else { return Vec::new() };
            let seen = data.get(quoted_values(sql).0).into_iter().flatten().filter(|(at, _)| *at <= position);
            let newest = seen.map(|(_, value)| *value).max().unwrap_or(0);
            answer(newest, "reader", position)
        });
        Arc::new(Store { data, primary, replica, primary_reads, replica_reads, writes })
    }

    /// Returns the list of members in the format of discovery.
    pub fn list(&self) -> String {
        let primary = list_entry(self.primary.address, "s-primary", "here", "SERVING");
        let replica = list_entry(self.replica.address, "s-replica", "here", "SERVING");
        list(41, true, &[primary, replica])
    }

    /// Returns the newest value of a key, or 0.
    pub fn newest_value(&self, key: &str) -> u64 {
        let data = self.data.lock().expect("the data");
        data.get(key).into_iter().flatten().map(|(_, value)| *value).max().unwrap_or(0)
    }
}
