//! What poolers and control instances share: reading `[peers]`, and logging dropped datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use directory::{ControlInstance, Fault, Millis, Placement, Timing};
use operator::Peers;

/// Milliseconds per second.
pub(crate) const MILLIS_PER_SECOND: f64 = 1e3;
/// Interval at which dropped datagrams are logged at most (seconds).
const DROP_LOG_INTERVAL: f64 = 10.0;

/// Converts seconds to milliseconds.
pub(crate) fn millis(seconds: f64) -> Millis {
    (seconds * MILLIS_PER_SECOND) as Millis
}

/// Returns the control instances and their groups.
pub(crate) fn placement(settings: &Peers) -> Result<Placement, String> {
    let instances = settings.control.iter().map(|instance| ControlInstance {
        name: instance.name.clone(),
        region: instance.region.clone(),
        address: instance.address,
    });
    Placement::new(instances.collect(), settings.control_group, &timing(settings))
        .map_err(|fault| format!("peers.control: {fault}"))
}

/// Returns the timing that all processes of the directory share.
pub(crate) fn timing(settings: &Peers) -> Timing {
    Timing {
        write_bound: millis(settings.write_bound_s),
        clock_error: millis(settings.clock_error_s),
        ..Timing::default()
    }
}

/// Addresses that override those that instances announce.
pub(crate) struct Routes(BTreeMap<SocketAddr, SocketAddr>);

impl Routes {
    /// Reads the routes from the settings, by the control instance's name or by the address that an instance
    /// announces.
    pub fn new(settings: &Peers) -> Routes {
        let announced = |name: &str| {
            let control = settings.control.iter().find(|instance| instance.name == name);
            control.map(|instance| instance.address).or_else(|| name.parse().ok())
        };
        let routes = settings.route.iter();
        Routes(routes.filter_map(|route| Some((announced(&route.name)?, route.address))).collect())
    }

    /// Returns the address to send to instead of `address`.
    pub fn resolve(&self, address: SocketAddr) -> SocketAddr {
        self.0.get(&address).copied().unwrap_or(address)
    }
}

/// The dropped datagrams that have been logged.
#[derive(Default)]
pub(crate) struct DropLog {
    logged: BTreeMap<Fault, u64>,
    next_log_at: f64,
}

impl DropLog {
    /// Logs drops since the last time, in one line, at most every ten seconds.
    pub fn report(&mut self, now: f64, faults: &BTreeMap<Fault, u64>) {
        if now < self.next_log_at {
            return;
        }
        // Replayed datagrams are not logged: networks duplicate datagrams in normal operation.
        let new = |(fault, count): &(&Fault, &u64)| {
            **fault != Fault::Replayed && self.logged.get(fault).is_none_or(|logged| logged < count)
        };
        let new: Vec<String> =
            faults.iter().filter(new).map(|(fault, count)| format!("{count} {fault}")).collect();
        if new.is_empty() {
            return;
        }
        (self.logged, self.next_log_at) = (faults.clone(), now + DROP_LOG_INTERVAL);
        logging::warn!(event = "directory.dropped", "datagrams dropped since the start: {}", new.join("; "));
    }
}
