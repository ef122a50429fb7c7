//! Session directory of a hollow pooler ([`directory::Client`]): its socket for control instances and other
//! poolers.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use directory::{Client, ControlInstance, Placement, ProcessId, Timing};
use mio::net::UdpSocket;
use replication::Keys;

use super::load::Load;
use super::sessions::{millis, MILLIS_PER_SECOND};
use super::timers::{Owner, TimerKind};
use super::World;
use crate::layout::{control_zone, region_of, zone_of, Distance};
use crate::settings::{control_name, pooler_name, region_name, KEY};
use crate::traffic::{Direction, MessageKind};

/// Maximum size of a datagram (bytes), as in the real pooler.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Maximum number of datagrams read in one call, so that other event sources are handled in between, as in
/// the real pooler.
const MAX_DATAGRAMS_PER_CALL: usize = 512;
/// Number of control instances of a group, as in the real pooler by default.
const GROUP_MEMBERS: usize = 3;

/// The pooler's client of the directory.
pub(super) struct Directory {
    pub client: Client,
    pub socket: UdpSocket,
    pub load: Load,
    number: usize,
    groups: usize,
    timer_at: f64,
}

impl Directory {
    /// Binds the socket at the pooler's address.
    pub fn new(number: usize, seed: u64, world: &World) -> io::Result<Directory> {
        let (network, now) = (world.network, millis(world.clock.now()));
        let address = network.pooler(number);
        let instances = (0..world.fleet.control).map(|control| ControlInstance {
            name: control_name(control),
            region: region_name(region_of(control_zone(control))),
            address: network.control(control),
        });
        let timing = Timing::default();
        let placement =
            Placement::new(instances.collect(), GROUP_MEMBERS, &timing).map_err(io::Error::other)?;
        let groups = placement.groups();
        let keys =
            Keys::parse([KEY]).map_err(|_| io::Error::other("the shared key of the run is invalid"))?;
        let process_id = ProcessId::new(&pooler_name(number), now);
        let client = Client::new(process_id, address, keys, timing, placement, now);
        let (socket, load) = (UdpSocket::bind(address)?, Load::new(number, seed));
        Ok(Directory { client, socket, load, number, groups, timer_at: f64::INFINITY })
    }

    /// Returns true if this pooler has a quorum of every group of control instances.
    pub fn is_quorate(&self, now: f64) -> bool {
        self.client.status(millis(now)).groups == self.groups
    }

    /// Reads datagrams. Returns true if some may be left for the next iteration.
    pub fn read(&mut self, world: &mut World) -> bool {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_CALL {
            match self.socket.recv_from(&mut bytes) {
                Ok((count, from)) => self.receive(&bytes[..count], from, world),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // Interrupted, or an error that a port is closed. Neither concerns the next datagram.
                Err(_) => {}
            }
        }
        true
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr, world: &mut World) {
        let Some(other_zone) = zone_at(from, world) else { return };
        let zone = zone_of(self.number);
        if world.is_partitioned(zone, other_zone) {
            return;
        }
        let flow =
            (MessageKind::of_directory(bytes), Distance::between(zone, other_zone), Direction::Received);
        world.traffic.count(flow, 1, bytes.len());
        // The client counts the datagrams that it drops.
        let _ = self.client.receive(millis(world.clock.now()), from, bytes);
    }

    /// Handles the timer.
    pub fn on_timer(&mut self, world: &World) {
        let now = world.clock.now();
        if self.timer_at <= now {
            self.timer_at = f64::INFINITY;
        }
        self.client.tick(millis(now));
    }

    /// Advances the modelled load, sends pending datagrams and sets the timer.
    pub fn send_pending(&mut self, owner: Owner, world: &mut World) {
        let load_due_at = self.load.advance(&mut self.client, world);
        for (to, bytes) in self.client.take_datagrams() {
            self.send(to, &bytes, world);
        }
        let due_at = (self.client.next_due() as f64 / MILLIS_PER_SECOND).min(load_due_at);
        if due_at < self.timer_at {
            self.timer_at = due_at;
            world.timers.set(due_at, owner, TimerKind::Peers);
        }
    }

    fn send(&mut self, to: SocketAddr, bytes: &[u8], world: &mut World) {
        let Some(other_zone) = zone_at(to, world) else { return };
        let zone = zone_of(self.number);
        let flow = (MessageKind::of_directory(bytes), Distance::between(zone, other_zone), Direction::Sent);
        world.traffic.count(flow, 1, bytes.len());
        if !world.is_partitioned(zone, other_zone) {
            // A datagram that cannot be sent counts as lost.
            let _ = self.socket.send_to(bytes, to);
        }
    }
}

/// Returns the zone of the pooler or control instance with this address.
fn zone_at(address: SocketAddr, world: &World) -> Option<usize> {
    let pooler = world.network.pooler_at(address).map(zone_of);
    pooler.or_else(|| world.network.control_at(address).map(control_zone))
}
