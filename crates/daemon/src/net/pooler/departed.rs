//! Requests whose clients left before the answer and which may have run. If such an id comes again, on another
//! connection, it must not run once more: members do not drop repeats of every class.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

/// How long an id is remembered (seconds): longer than any deduplication window or deadline.
const RETENTION: f64 = 60.0;
/// Maximum number of ids remembered; beyond it the oldest are forgotten.
const MAX_IDS: usize = 20_000;

/// Ids of departed clients' requests, as hashes: clients choose ids of any length.
#[derive(Default)]
pub(super) struct DepartedRequests {
    hasher: RandomState,
    hashes: HashSet<u64>,
    /// The hashes in the order in which they were added, each with its time.
    order: VecDeque<(f64, u64)>,
}

impl DepartedRequests {
    /// Remembers a request that may have run.
    pub fn insert(&mut self, id: &str, now: f64) {
        let hash = self.hasher.hash_one(id);
        if self.hashes.insert(hash) {
            self.order.push_back((now, hash));
        }
        self.forget_old(now);
    }

    /// Returns true if a request with this id may have run.
    pub fn contains(&mut self, id: &str, now: f64) -> bool {
        self.forget_old(now);
        !self.hashes.is_empty() && self.hashes.contains(&self.hasher.hash_one(id))
    }

    fn forget_old(&mut self, now: f64) {
        while let Some(&(added_at, hash)) = self.order.front() {
            if self.order.len() <= MAX_IDS && now < added_at + RETENTION {
                return;
            }
            self.order.pop_front();
            self.hashes.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
