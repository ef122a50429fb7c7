//! A hollow pooler with a session directory: the socket towards control instances and other poolers ([`directory::Client`]).

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use directory::{Client, ControlInstance, Placement, ProcessId, Timing};
use mio::net::UdpSocket;
use replication::Keys;

use super::load::Load;
use super::sessions::{millis, MILLISECONDS};
use super::timers::{Due, Owner};
use super::World;
use crate::layout::{control_zone, region_of, zone_of, Distance};
use crate::settings::{control_name, pooler_name, region_name, KEY};
use crate::traffic::{Direction, Kind};

/// Longest datagram that is looked at (bytes), as in the pooler.
const LONGEST: usize = 2_048;
/// Datagrams read at a time; the others have their turn first, as in the pooler.
const AT_A_TIME: usize = 512;
/// Members of a group, as in the pooler where nothing else is set.
const GROUP: usize = 3;

/// The pooler's side of the directory.
pub(super) struct Directory {
    pub client: Client,
    pub socket: UdpSocket,
    pub load: Load,
    number: usize,
    groups: usize,
    timer: f64,
}

impl Directory {
    /// Listens at the pooler's address.
    pub fn new(number: usize, seed: u64, world: &World) -> io::Result<Directory> {
        let (network, now) = (world.network, millis(world.clock.now()));
        let address = network.pooler(number);
        let machines = (0..world.fleet.control).map(|control| ControlInstance {
            name: control_name(control),
            region: region_name(region_of(control_zone(control))),
            address: network.control(control),
        });
        let terms = Timing::default();
        let placement = Placement::new(machines.collect(), GROUP, &terms).map_err(io::Error::other)?;
        let groups = placement.groups();
        let keys = Keys::parse([KEY]).map_err(|_| io::Error::other("the key of the run is none"))?;
        let me = ProcessId::new(&pooler_name(number), now);
        let client = Client::new(me, address, keys, terms, placement, now);
        let (socket, load) = (UdpSocket::bind(address)?, Load::new(number, seed));
        Ok(Directory { client, socket, load, number, groups, timer: f64::INFINITY })
    }

    /// Whether every group of control instances has a quorum for this pooler.
    pub fn is_quorate(&self, now: f64) -> bool {
        self.client.status(millis(now)).groups == self.groups
    }

    /// Datagrams may be read. Whether some are left for the next turn.
    pub fn read(&mut self, world: &mut World) -> bool {
        let mut bytes = [0; LONGEST];
        for _ in 0..AT_A_TIME {
            match self.socket.recv_from(&mut bytes) {
                Ok((count, from)) => self.receive(&bytes[..count], from, world),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // Interrupted, or word that nobody listens at a port; it says nothing of the next datagram.
                Err(_) => {}
            }
        }
        true
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr, world: &mut World) {
        let Some(other) = zone_at(from, world) else { return };
        let zone = zone_of(self.number);
        if world.apart(zone, other) {
            return;
        }
        let flow = (Kind::of_directory(bytes), Distance::between(zone, other), Direction::Received);
        world.traffic.count(flow, 1, bytes.len());
        // What is dropped is counted by the client.
        let _ = self.client.receive(millis(world.clock.now()), from, bytes);
    }

    /// Time passes.
    pub fn due(&mut self, world: &World) {
        let now = world.clock.now();
        if self.timer <= now {
            self.timer = f64::INFINITY;
        }
        self.client.tick(millis(now));
    }

    /// Goes on with the load, sends what there is to send, and sets the timer.
    pub fn carry_out(&mut self, owner: Owner, world: &mut World) {
        let load_due = self.load.go_on(&mut self.client, world);
        for (to, bytes) in self.client.take_datagrams() {
            self.send(to, &bytes, world);
        }
        let due = (self.client.next_due() as f64 / MILLISECONDS).min(load_due);
        if due < self.timer {
            self.timer = due;
            world.timers.set(due, owner, Due::Peers);
        }
    }

    fn send(&mut self, to: SocketAddr, bytes: &[u8], world: &mut World) {
        let Some(other) = zone_at(to, world) else { return };
        let zone = zone_of(self.number);
        let flow = (Kind::of_directory(bytes), Distance::between(zone, other), Direction::Sent);
        world.traffic.count(flow, 1, bytes.len());
        if !world.apart(zone, other) {
            // What does not go out is as lost as what does not arrive.
            let _ = self.socket.send_to(bytes, to);
        }
    }
}

/// The zone of the pooler or control instance at an address.
fn zone_at(address: SocketAddr, world: &World) -> Option<usize> {
    let pooler = world.network.pooler_at(address).map(zone_of);
    pooler.or_else(|| world.network.control_at(address).map(control_zone))
}
