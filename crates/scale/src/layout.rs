//! Layout of a run: zones and regions, and the loopback address of each pooler, member and service. Each run
//! claims one network of 127.0.0.0/8 for itself, so that two runs never share an address. All ports lie below
//! the kernel's ephemeral ports.

use std::net::{IpAddr, SocketAddr, TcpListener};

use serde::{Deserialize, Serialize};

/// Number of zones of each region, as in the target deployment: three regions with eight zones.
const ZONES_PER_REGION: [usize; REGIONS] = [3, 3, 2];
/// Number of regions.
pub const REGIONS: usize = 3;
/// Number of zones of all regions.
pub const ZONES: usize = 8;
/// Maximum number of poolers or members for which a network has addresses.
pub const MAX_ADDRESSES: usize = 64 * 256;
/// Ports of all listeners of a network.
pub const PORTS: [u16; 5] = [PEER_PORT, CONTROL_PORT, CLIENT_PORT, MEMBER_PORT, DISCOVERY_PORT];
const PEER_PORT: u16 = 7_000;
const CONTROL_PORT: u16 = 7_100;
const CLIENT_PORT: u16 = 6_432;
const MEMBER_PORT: u16 = 5_432;
const DISCOVERY_PORT: u16 = 8_500;
/// Second octets of the first and the last network.
const FIRST_NETWORK: u8 = 64;
const LAST_NETWORK: u8 = 250;

/// Number of the first control instance among the services. The claim of the network and discovery come
/// before it.
const FIRST_CONTROL: usize = 2;

/// Third octets at which the blocks of 64 subnets begin.
const POOLER_BLOCK: u8 = 0;
const MEMBER_BLOCK: u8 = 64;
const CLIENT_BLOCK: u8 = 128;
const SERVICE_BLOCK: u8 = 192;

/// Loopback network of a run, by its second octet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Network(u8);

impl Network {
    /// Claims a network that no other run uses. The claim lasts until the returned listener is dropped.
    pub fn claim() -> Option<(Network, TcpListener)> {
        (FIRST_NETWORK..=LAST_NETWORK).find_map(|number| {
            let network = Network(number);
            TcpListener::bind(network.service(0, DISCOVERY_PORT)).ok().map(|claim| (network, claim))
        })
    }

    fn address(self, block: u8, number: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.0, block + (number >> 8) as u8, (number & 255) as u8], port))
    }

    fn service(self, number: usize, port: u16) -> SocketAddr {
        self.address(SERVICE_BLOCK, number, port)
    }

    /// Returns the address of the stand-in for discovery.
    pub fn discovery(self) -> SocketAddr {
        self.service(1, DISCOVERY_PORT)
    }

    /// Returns the address at which other instances reach a pooler.
    pub fn pooler(self, number: usize) -> SocketAddr {
        self.address(POOLER_BLOCK, number, PEER_PORT)
    }

    /// Returns the address at which clients reach a real pooler.
    pub fn clients(self, number: usize) -> SocketAddr {
        self.address(CLIENT_BLOCK, number, CLIENT_PORT)
    }

    /// Returns the address of a member.
    pub fn member(self, number: usize) -> SocketAddr {
        self.address(MEMBER_BLOCK, number, MEMBER_PORT)
    }

    /// Returns the address of a control instance.
    pub fn control(self, number: usize) -> SocketAddr {
        self.service(FIRST_CONTROL + number, CONTROL_PORT)
    }

    /// Returns the number of the control instance with this address, or `None` if no control instance has it.
    pub fn control_at(self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        let [_, network, block, low] = ip.octets();
        let matches = network == self.0 && block == SERVICE_BLOCK && address.port() == CONTROL_PORT;
        matches.then(|| usize::from(low).checked_sub(FIRST_CONTROL)).flatten()
    }

    /// Returns the number of the pooler with this address, or `None` if no pooler has it.
    pub fn pooler_at(self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        let [_, network, high, low] = ip.octets();
        let matches = network == self.0 && high < MEMBER_BLOCK && address.port() == PEER_PORT;
        matches.then_some(usize::from(high) << 8 | usize::from(low))
    }
}

/// Returns the zone of a pooler or member. They are distributed over the zones round-robin.
pub fn zone_of(number: usize) -> usize {
    number % ZONES
}

/// Returns the zone of a control instance. They are distributed round-robin over the regions, and over the
/// zones of each region.
pub fn control_zone(number: usize) -> usize {
    let zones = zones_of(number % REGIONS);
    zones[number / REGIONS % zones.len()]
}

/// Returns the region of a zone.
pub fn region_of(zone: usize) -> usize {
    let mut end = 0;
    let contains_zone = |zones: &usize| {
        end += zones;
        zone < end
    };
    ZONES_PER_REGION.iter().position(contains_zone).unwrap_or(REGIONS - 1)
}

/// Returns the zones of a region.
pub fn zones_of(region: usize) -> Vec<usize> {
    (0..ZONES).filter(|zone| region_of(*zone) == region).collect()
}

/// Returns the name of a zone, as in settings and lists.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// Distance between two zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Distance {
    /// The same zone.
    OwnZone,
    /// Two zones of one region.
    OtherZone,
    /// Zones of two regions.
    OtherRegion,
}

impl Distance {
    /// All distances, nearest first.
    pub const ALL: [Distance; 3] = [Distance::OwnZone, Distance::OtherZone, Distance::OtherRegion];

    /// Returns the distance between two zones.
    pub fn between(zone: usize, other: usize) -> Distance {
        if zone == other {
            Distance::OwnZone
        } else if region_of(zone) == region_of(other) {
            Distance::OtherZone
        } else {
            Distance::OtherRegion
        }
    }

    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Distance::OwnZone => "own zone",
            Distance::OtherZone => "other zones",
            Distance::OtherRegion => "other regions",
        }
    }
}

#[cfg(test)]
mod tests;
