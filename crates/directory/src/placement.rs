//! Assigns sessions to groups of control instances. Each group orders the claims of its sessions by ballots.
//! Rendezvous hashing determines the group of a session without any message.

use std::net::SocketAddr;

use crate::identity::{hash_of, ProcessId, SessionKey};
use crate::timing::Timing;

/// Members of the largest group.
pub const MAX_GROUP_MEMBERS: usize = 5;
/// Maximum number of control instances in a directory.
pub const MAX_CONTROL_INSTANCES: usize = 64;

/// A control instance, as all poolers and control instances are configured with it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ControlInstance {
    /// Its name.
    pub name: String,
    /// Its region. The members of a group are in different regions as far as possible.
    pub region: String,
    /// The address at which it is reached.
    pub address: SocketAddr,
}

/// Why a list of control instances is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// Groups have 1, 3 or 5 members.
    GroupSize(usize),
    /// There are fewer control instances than a group has members, or more than [`MAX_CONTROL_INSTANCES`].
    InstanceCount(usize),
    /// Two control instances have the same name or address; holds the index of the second.
    Duplicate(usize),
}

impl std::fmt::Display for PlacementError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PlacementError::GroupSize(size) => write!(f, "groups of {size} members; accepted: 1, 3 or 5"),
            PlacementError::InstanceCount(count) => {
                write!(f, "{count} control instances; accepted: the group size to {MAX_CONTROL_INSTANCES}")
            }
            PlacementError::Duplicate(number) => {
                write!(f, "control instance {number} has the same name or address as another")
            }
        }
    }
}

impl std::error::Error for PlacementError {}

/// The control instances and their groups.
#[derive(Clone, Debug)]
pub struct Placement {
    instances: Vec<ControlInstance>,
    /// The members of each group, as indices of `instances`.
    groups: Vec<Vec<usize>>,
    seeds: Vec<u64>,
    digest: u32,
}

impl Placement {
    /// Builds as many groups of `size` members as there are control instances; each instance is in `size`
    /// groups.
    pub fn new(
        mut instances: Vec<ControlInstance>,
        size: usize,
        timing: &Timing,
    ) -> Result<Placement, PlacementError> {
        if ![1, 3, MAX_GROUP_MEMBERS].contains(&size) {
            return Err(PlacementError::GroupSize(size));
        }
        if instances.len() < size || instances.len() > MAX_CONTROL_INSTANCES {
            return Err(PlacementError::InstanceCount(instances.len()));
        }
        let duplicate = |n: usize, m: &ControlInstance, other: &ControlInstance| {
            n > 0 && (m.name == other.name || m.address == other.address)
        };
        for n in 1..instances.len() {
            if instances[..n].iter().any(|other| duplicate(n, &instances[n], other)) {
                return Err(PlacementError::Duplicate(n));
            }
        }
        // The order of the list must not matter: two processes may be configured with different orders.
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        let ring = interleaved(&instances);
        let groups =
            (0..ring.len()).map(|g| (0..size).map(|n| ring[(g + n) % ring.len()]).collect()).collect();
        let seeds = (0..ring.len() as u64).map(|g| hash_of(&g.to_be_bytes())).collect();
        let digest = digest(&instances, size, timing);
        Ok(Placement { instances, groups, seeds, digest })
    }

    /// Returns the control instances, sorted by name.
    pub fn instances(&self) -> &[ControlInstance] {
        &self.instances
    }

    /// Returns the number of groups.
    pub fn groups(&self) -> usize {
        self.groups.len()
    }

    /// Returns the members of a group, as indices of [`Placement::instances`].
    pub fn members(&self, group: usize) -> &[usize] {
        &self.groups[group]
    }

    /// Returns the number of members that form a quorum of a group.
    pub fn quorum(&self) -> usize {
        self.groups[0].len() / 2 + 1
    }

    /// Returns the group of a session.
    pub fn group(&self, session: SessionKey) -> usize {
        let weight = |group: &usize| mixed(session.bits() ^ self.seeds[*group]);
        (0..self.groups.len()).max_by_key(weight).unwrap_or(0)
    }

    /// Returns the index of the control instance with the name hash of `process`.
    pub fn instance_index(&self, process: ProcessId) -> Option<usize> {
        self.instances.iter().position(|instance| hash_of(instance.name.as_bytes()) == process.name)
    }

    /// A checksum over the instances, the group size and the timing. Processes with different checksums must
    /// not count each other.
    pub fn digest(&self) -> u32 {
        self.digest
    }
}

/// Returns the instances in an order in which neighbours are in different regions, as far as possible.
fn interleaved(instances: &[ControlInstance]) -> Vec<usize> {
    let mut remaining: Vec<usize> = (0..instances.len()).collect();
    let mut ring: Vec<usize> = Vec::new();
    while !remaining.is_empty() {
        let used = |m: usize| ring.iter().filter(|n| instances[**n].region == instances[m].region).count();
        // Takes the regions in the same order in each round, while they have instances left.
        let rank = |m: usize| (used(m), instances[m].region.as_str(), m);
        let next = (0..remaining.len()).min_by_key(|n| rank(remaining[*n])).unwrap_or(0);
        ring.push(remaining.remove(next));
    }
    ring
}

fn digest(instances: &[ControlInstance], size: usize, timing: &Timing) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    for instance in instances {
        let address = instance.address.to_string();
        for part in [&instance.name, &instance.region, &address] {
            hash.update(&(part.len() as u64).to_be_bytes());
            hash.update(part.as_bytes());
        }
    }
    for number in [size as u64, timing.lease, timing.heartbeat, timing.write_bound, timing.clock_error] {
        hash.update(&number.to_be_bytes());
    }
    hash.finalize()
}

/// Applies the finalizer of SplitMix64.
fn mixed(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
