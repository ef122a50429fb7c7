//! What poolers and control instances read alike from `[peers]`, and tell the log alike.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use directory::{ControlInstance, Fault, Millis, Placement, Timing};
use operator::Peers;

/// Milliseconds of a second.
pub(crate) const MILLIS_PER_SECOND: f64 = 1e3;
/// Dropped datagrams are told at most this often (seconds).
const DROPS_EVERY: f64 = 10.0;

/// Seconds in milliseconds.
pub(crate) fn millis(seconds: f64) -> Millis {
    (seconds * MILLIS_PER_SECOND) as Millis
}

/// The control instances and their groups.
pub(crate) fn placement(settings: &Peers) -> Result<Placement, String> {
    let machines = settings.control.iter().map(|instance| ControlInstance {
        name: instance.name.clone(),
        region: instance.region.clone(),
        address: instance.address,
    });
    Placement::new(machines.collect(), settings.control_group, &terms(settings))
        .map_err(|fault| format!("peers.control: {fault}"))
}

/// What all processes of the directory go by.
pub(crate) fn terms(settings: &Peers) -> Timing {
    Timing {
        write_bound: millis(settings.write_bound_s),
        clock_error: millis(settings.clock_error_s),
        ..Timing::default()
    }
}

/// Where instances are reached that do not stand where they say.
pub(crate) struct Routes(BTreeMap<SocketAddr, SocketAddr>);

impl Routes {
    /// The routes of the settings, by the control instance's name or the address that an instance says.
    pub fn new(settings: &Peers) -> Routes {
        let said = |name: &str| {
            let control = settings.control.iter().find(|instance| instance.name == name);
            control.map(|instance| instance.address).or_else(|| name.parse().ok())
        };
        let routes = settings.route.iter();
        Routes(routes.filter_map(|route| Some((said(&route.name)?, route.address))).collect())
    }

    /// Where to send what is meant for that address.
    pub fn resolve(&self, address: SocketAddr) -> SocketAddr {
        self.0.get(&address).copied().unwrap_or(address)
    }
}

/// What has been told of datagrams that were dropped.
#[derive(Default)]
pub(crate) struct DropLog {
    told: BTreeMap<Fault, u64>,
    next: f64,
}

impl DropLog {
    /// Tells the log of drops since the last time, in one line, at most every ten seconds.
    pub fn report(&mut self, now: f64, faults: &BTreeMap<Fault, u64>) {
        if now < self.next {
            return;
        }
        // A datagram that comes twice is the network's usual doing.
        let fresh = |(fault, count): &(&Fault, &u64)| {
            **fault != Fault::Replayed && self.told.get(fault).is_none_or(|told| told < count)
        };
        let fresh: Vec<String> =
            faults.iter().filter(fresh).map(|(fault, count)| format!("{count} {fault}")).collect();
        if fresh.is_empty() {
            return;
        }
        (self.told, self.next) = (faults.clone(), now + DROPS_EVERY);
        logging::warn!(
            event = "directory.dropped",
            "datagrams dropped since the start: {}",
            fresh.join("; ")
        );
    }
}
