//! Delays after failed logins: each failure doubles the delay of the next answer to its address, up to a
//! maximum. A successful login resets the delay, and so does the passing of time.

use std::collections::HashMap;
use std::net::IpAddr;

/// Delay after the first failure (seconds); doubles with each further one.
const FIRST_DELAY: f64 = 0.1;
/// Maximum delay (seconds).
const MAX_DELAY: f64 = 5.0;
/// Time after the last failure at which an address is forgotten (seconds).
const RETENTION: f64 = 60.0;
/// Maximum number of addresses stored. Beyond it the one whose last failure is oldest is dropped.
const MAX_ADDRESSES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    last_at: f64,
}

/// Failed logins by address.
#[derive(Debug, Default)]
pub struct FailedLogins(HashMap<IpAddr, Failures>);

impl FailedLogins {
    /// Records a failed login from an address. Returns the delay of the answer (seconds).
    pub fn record_failure(&mut self, now: f64, from: IpAddr) -> f64 {
        if self.0.len() >= MAX_ADDRESSES && !self.0.contains_key(&from) {
            self.0.retain(|_, failures| now < failures.last_at + RETENTION);
            let oldest =
                self.0.iter().min_by(|a, b| a.1.last_at.total_cmp(&b.1.last_at)).map(|(address, _)| *address);
            if let Some(oldest) = oldest.filter(|_| self.0.len() >= MAX_ADDRESSES) {
                self.0.remove(&oldest);
            }
        }
        let failures = self.0.entry(from).or_insert(Failures { count: 0, last_at: now });
        if now >= failures.last_at + RETENTION {
            failures.count = 0;
        }
        (failures.count, failures.last_at) = (failures.count.saturating_add(1), now);
        (FIRST_DELAY * f64::from(1u32 << (failures.count - 1).min(16))).min(MAX_DELAY)
    }

    /// Records a successful login from an address.
    pub fn record_success(&mut self, from: IpAddr) {
        self.0.remove(&from);
    }

    /// Returns the number of addresses stored.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns true if no address is stored.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
