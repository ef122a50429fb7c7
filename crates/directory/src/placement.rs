//! Which control instances keep the record of a session. Each of the groups has a ballot of its own for each of its sessions;
//! a session's group is found by rendezvous hashing, without asking anybody.

use std::net::SocketAddr;

use crate::identity::{hash_of, ProcessId, SessionKey};
use crate::timing::Timing;

/// Members of the largest group.
pub const MAX_GROUP_MEMBERS: usize = 5;
/// Control instances of one directory.
pub const MAX_CONTROL_INSTANCES: usize = 64;

/// A control instance, as all poolers and all control instances are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ControlInstance {
    /// Its name.
    pub name: String,
    /// Its region: members of a group are taken from different ones as far as there are.
    pub region: String,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// What is wrong with a list of control instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// Groups have 1, 3 or 5 members.
    GroupSize(usize),
    /// There are fewer machines than a group has members, or more than [`MAX_CONTROL_INSTANCES`].
    InstanceCount(usize),
    /// Two machines of one name or address; the number of the second.
    Duplicate(usize),
}

impl std::fmt::Display for PlacementError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PlacementError::GroupSize(size) => write!(f, "groups of {size}; accepted: 1, 3 or 5"),
            PlacementError::InstanceCount(count) => {
                write!(f, "{count} control instances; accepted: a group's size to {MAX_CONTROL_INSTANCES}")
            }
            PlacementError::Duplicate(number) => {
                write!(f, "control instance {number} has the name or address of another")
            }
        }
    }
}

impl std::error::Error for PlacementError {}

/// The control instances and their groups.
#[derive(Clone, Debug)]
pub struct Placement {
    machines: Vec<ControlInstance>,
    /// Machines by group, as indices.
    groups: Vec<Vec<usize>>,
    seeds: Vec<u64>,
    digest: u32,
}

impl Placement {
    /// As many groups of `size` members as there are machines; each machine is in `size` groups.
    pub fn new(
        mut machines: Vec<ControlInstance>,
        size: usize,
        terms: &Timing,
    ) -> Result<Placement, PlacementError> {
        if ![1, 3, MAX_GROUP_MEMBERS].contains(&size) {
            return Err(PlacementError::GroupSize(size));
        }
        if machines.len() < size || machines.len() > MAX_CONTROL_INSTANCES {
            return Err(PlacementError::InstanceCount(machines.len()));
        }
        let taken = |n: usize, m: &ControlInstance, other: &ControlInstance| {
            n > 0 && (m.name == other.name || m.address == other.address)
        };
        for n in 1..machines.len() {
            if machines[..n].iter().any(|other| taken(n, &machines[n], other)) {
                return Err(PlacementError::Duplicate(n));
            }
        }
        // The order of the list must not matter: two processes may be told it in different orders.
        machines.sort_by(|a, b| a.name.cmp(&b.name));
        let ring = interleaved(&machines);
        let groups =
            (0..ring.len()).map(|g| (0..size).map(|n| ring[(g + n) % ring.len()]).collect()).collect();
        let seeds = (0..ring.len() as u64).map(|g| hash_of(&g.to_be_bytes())).collect();
        let digest = digest(&machines, size, terms);
        Ok(Placement { machines, groups, seeds, digest })
    }

    /// The control instances, by name.
    pub fn instances(&self) -> &[ControlInstance] {
        &self.machines
    }

    /// How many groups there are.
    pub fn groups(&self) -> usize {
        self.groups.len()
    }

    /// The members of a group, as indices of [`Placement::instances`].
    pub fn members(&self, group: usize) -> &[usize] {
        &self.groups[group]
    }

    /// How many members are a quorum of a group.
    pub fn quorum(&self) -> usize {
        self.groups[0].len() / 2 + 1
    }

    /// The group of a session.
    pub fn group(&self, session: SessionKey) -> usize {
        let weight = |group: &usize| mixed(session.bits() ^ self.seeds[*group]);
        (0..self.groups.len()).max_by_key(weight).unwrap_or(0)
    }

    /// The index of the machine whose name has this hash.
    pub fn instance_index(&self, process: ProcessId) -> Option<usize> {
        self.machines.iter().position(|machine| hash_of(machine.name.as_bytes()) == process.name)
    }

    /// A sum over the machines, the groups and the terms: processes whose sums differ must not count each other.
    pub fn digest(&self) -> u32 {
        self.digest
    }
}

/// The machines in an order in which neighbours are of different regions, as far as there are.
fn interleaved(machines: &[ControlInstance]) -> Vec<usize> {
    let mut left: Vec<usize> = (0..machines.len()).collect();
    let mut ring: Vec<usize> = Vec::new();
    while !left.is_empty() {
        let used = |m: usize| ring.iter().filter(|n| machines[**n].region == machines[m].region).count();
        // Regions in the same order in each round, as far as there are machines left in each.
        let rank = |m: usize| (used(m), machines[m].region.as_str(), m);
        let next = (0..left.len()).min_by_key(|n| rank(left[*n])).unwrap_or(0);
        ring.push(left.remove(next));
    }
    ring
}

fn digest(machines: &[ControlInstance], size: usize, terms: &Timing) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    for machine in machines {
        let address = machine.address.to_string();
        for part in [&machine.name, &machine.region, &address] {
            hash.update(&(part.len() as u64).to_be_bytes());
            hash.update(part.as_bytes());
        }
    }
    for number in [size as u64, terms.lease, terms.heartbeat, terms.write_bound, terms.clock_error] {
        hash.update(&number.to_be_bytes());
    }
    hash.finalize()
}

/// The finalizer of SplitMix64.
fn mixed(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
