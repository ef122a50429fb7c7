//! Loopback addresses of a run: each has a network of its own, so that several can be played side by side.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

/// The networks of place 0 begin here; each place has as many as there are kinds.
const FIRST: u8 = 80;
/// Most places side by side.
pub const PLACES: u8 = 40;

static PLACE: AtomicU8 = AtomicU8::new(0);

/// Whose addresses.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    Databases,
    Discovery,
    Poolers,
    /// Machines that are listed and never asked.
    Listed,
}

/// Takes a place for this process.
pub fn take(place: u8) {
    PLACE.store(place.min(PLACES - 1), Ordering::Relaxed);
}

/// An address of that kind.
pub fn address(kind: Kind, high: u8, low: u8, port: u16) -> SocketAddr {
    let network = FIRST + PLACE.load(Ordering::Relaxed) * 4 + kind as u8;
    SocketAddr::from((Ipv4Addr::new(127, network, high, low), port))
}
