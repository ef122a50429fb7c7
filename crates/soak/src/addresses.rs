//! Loopback addresses. Each process uses its own set of networks, so that several can run at the same time.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

/// The first network of address set 0. Each set has one network per kind of address.
const FIRST_NETWORK: u8 = 80;
/// Number of address sets.
pub const ADDRESS_SETS: u8 = 40;

static SELECTED_SET: AtomicU8 = AtomicU8::new(0);

/// The users of addresses.
#[derive(Clone, Copy, Debug)]
pub enum AddressKind {
    Members,
    Discovery,
    Poolers,
    /// Members that are listed but receive no requests.
    ListedOnly,
}

/// Selects the address set of this process.
pub fn select_set(set: u8) {
    SELECTED_SET.store(set.min(ADDRESS_SETS - 1), Ordering::Relaxed);
}

/// Returns an address of a kind in the selected set.
pub fn address(kind: AddressKind, high: u8, low: u8, port: u16) -> SocketAddr {
    let network = FIRST_NETWORK + SELECTED_SET.load(Ordering::Relaxed) * 4 + kind as u8;
    SocketAddr::from((Ipv4Addr::new(127, network, high, low), port))
}
