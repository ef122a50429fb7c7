//! State exchange of a hollow pooler with its peers ([`replication::Node`]), and the socket for it.

use std::io::{self, ErrorKind};

use mio::net::UdpSocket;
use replication::{Identity, Keys, Node, NodeConfig};

use super::load::Load;
use super::timers::{Owner, TimerKind};
use super::World;
use crate::layout::{zone_name, zone_of, Distance};
use crate::settings::{pooler_name, KEY};
use crate::traffic::{Direction, MessageKind};

/// Maximum size of a datagram (bytes), as in the real pooler.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Maximum number of datagrams read in one call, so that other event sources are handled in between, as in
/// the real pooler.
const MAX_DATAGRAMS_PER_CALL: usize = 512;
/// Interval at which observations of members are sent to peers (seconds), as in the real pooler.
const REPORT_INTERVAL: f64 = 0.25;
/// Duration of a lease (seconds): 0.45 of the shortest aim of a write class, as in the real pooler.
pub(super) const LEASE: f64 = 0.45;

/// The pooler's part of the state exchange.
pub(super) struct Peers {
    pub node: Node,
    pub socket: UdpSocket,
    pub load: Load,
    next_report_at: f64,
    number: usize,
    timer_at: f64,
}

impl Peers {
    /// Binds the socket at the pooler's address.
    pub fn new(number: usize, seed: u64, world: &World) -> io::Result<Peers> {
        let (network, now) = (world.network, world.clock.now());
        let address = network.pooler(number);
        let socket = UdpSocket::bind(address)?;
        let identity = Identity {
            name: replication::message::truncated_name(&pooler_name(number)),
            zone: replication::message::truncated_name(&zone_name(zone_of(number))),
            address,
            start: replication::disk::next_start(None, now),
            renewal: 0,
        };
        let seeds = (0..world.fleet.seeds).map(|seed| network.pooler(seed)).collect();
        let config = NodeConfig { lease: LEASE, seeds, ..NodeConfig::default() };
        let keys =
            Keys::parse([KEY]).map_err(|_| io::Error::other("the shared key of the run is invalid"))?;
        let node = Node::new(identity, keys, config, seed, now, None);
        let load = Load::new(number, seed);
        Ok(Peers { node, socket, load, next_report_at: now, number, timer_at: f64::INFINITY })
    }

    /// Reads datagrams. Returns true if some may be left for the next iteration.
    pub fn read(&mut self, world: &mut World) -> bool {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_CALL {
            match self.socket.recv_from(&mut bytes) {
                Ok((count, from)) => {
                    let Some(from) = world.network.pooler_at(from) else { continue };
                    self.receive(&bytes[..count], from, world);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // Interrupted, or an error that a port is closed. Neither concerns the next datagram.
                Err(_) => {}
            }
        }
        true
    }

    fn receive(&mut self, bytes: &[u8], from: usize, world: &mut World) {
        let (zone, other_zone) = (zone_of(self.number), zone_of(from));
        if world.is_partitioned(zone, other_zone) {
            return;
        }
        let flow =
            (MessageKind::of_datagram(bytes), Distance::between(zone, other_zone), Direction::Received);
        world.traffic.count(flow, 1, bytes.len());
        self.node.receive(world.clock.now(), bytes);
    }

    /// Handles the timer.
    pub fn on_timer(&mut self, world: &World) {
        let now = world.clock.now();
        if self.timer_at <= now {
            self.timer_at = f64::INFINITY;
        }
        self.node.tick(now);
    }

    /// Returns true if observations of members are due, and schedules the next ones.
    pub fn take_report_due(&mut self, now: f64) -> bool {
        let is_due = now >= self.next_report_at;
        if is_due {
            self.next_report_at = now + REPORT_INTERVAL;
        }
        is_due
    }

    /// Advances the modelled load, sends pending datagrams and sets the timer.
    pub fn send_pending(&mut self, owner: Owner, world: &mut World) {
        let load_due_at = self.load.advance(&mut self.node, world);
        let now = world.clock.now();
        let streams = self.node.streams_to_open(now);
        world.streams_wanted += streams.len() as u64;
        streams.iter().for_each(|(name, _)| self.node.stream_ended(name));
        self.node.flush_due(now);
        for (to, bytes) in self.node.take_datagrams() {
            self.send(to, &bytes, world);
        }
        self.node.take_records();
        self.node.take_notices();
        let due_at = self.node.next_due().min(self.next_report_at).min(load_due_at);
        if due_at < self.timer_at {
            self.timer_at = due_at;
            world.timers.set(due_at, owner, TimerKind::Peers);
        }
    }

    fn send(&mut self, to: std::net::SocketAddr, bytes: &[u8], world: &mut World) {
        let Some(peer) = world.network.pooler_at(to) else { return };
        let (zone, other_zone) = (zone_of(self.number), zone_of(peer));
        let flow = (MessageKind::of_datagram(bytes), Distance::between(zone, other_zone), Direction::Sent);
        world.traffic.count(flow, 1, bytes.len());
        if !world.is_partitioned(zone, other_zone) {
            // A datagram that cannot be sent counts as lost.
            let _ = self.socket.send_to(bytes, to);
        }
    }
}
