//! What wrong passwords cost: each makes its address wait longer for the next answer, up to a bound; a right one, and
//! time, make it good again.

use std::collections::HashMap;
use std::net::IpAddr;

/// Wait after a first wrong password (seconds); doubles with each, up to the most.
const FIRST: f64 = 0.1;
const MOST: f64 = 5.0;
/// A wrong password is forgotten after so long (seconds).
const FORGET: f64 = 60.0;
/// Most addresses that are remembered. Past it the one that was wrong longest ago is forgotten.
const ADDRESSES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Wrong {
    count: u32,
    last: f64,
}

/// Wrong passwords by address.
#[derive(Debug, Default)]
pub struct FailedLogins(HashMap<IpAddr, Wrong>);

impl FailedLogins {
    /// A wrong password has come from an address; how long its answer is held back (seconds).
    pub fn record_failure(&mut self, now: f64, from: IpAddr) -> f64 {
        if self.0.len() >= ADDRESSES && !self.0.contains_key(&from) {
            self.0.retain(|_, wrong| now < wrong.last + FORGET);
            let oldest =
                self.0.iter().min_by(|a, b| a.1.last.total_cmp(&b.1.last)).map(|(address, _)| *address);
            if let Some(oldest) = oldest.filter(|_| self.0.len() >= ADDRESSES) {
                self.0.remove(&oldest);
            }
        }
        let wrong = self.0.entry(from).or_insert(Wrong { count: 0, last: now });
        if now >= wrong.last + FORGET {
            wrong.count = 0;
        }
        (wrong.count, wrong.last) = (wrong.count.saturating_add(1), now);
        (FIRST * f64::from(1u32 << (wrong.count - 1).min(16))).min(MOST)
    }

    /// A right password has come from an address.
    pub fn record_success(&mut self, from: IpAddr) {
        self.0.remove(&from);
    }

    /// How many addresses are remembered.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
