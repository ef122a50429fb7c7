//! A hollow pooler among others: the socket towards them, and what is said and believed ([`replication::Node`]).

use std::io::{self, ErrorKind};

use mio::net::UdpSocket;
use replication::{Identity, Keys, Node, NodeConfig};

use super::load::Load;
use super::timers::{Due, Owner};
use super::World;
use crate::layout::{zone_name, zone_of, Distance};
use crate::settings::{pooler_name, KEY};
use crate::traffic::{Direction, Kind};

/// Longest datagram that is looked at (bytes), as in the pooler.
const LONGEST: usize = 2_048;
/// Datagrams read at a time; the others have their turn first, as in the pooler.
const AT_A_TIME: usize = 512;
/// Time between two tellings of how databases look (seconds), as in the pooler.
const BEAT: f64 = 0.25;
/// For how long others go by what they have read (seconds): 0.45 of the shortest aim of a write, as in the pooler.
pub(super) const LEASE: f64 = 0.45;

/// The pooler's side towards others.
pub(super) struct Peers {
    pub node: Node,
    pub socket: UdpSocket,
    pub load: Load,
    next_beat: f64,
    number: usize,
    timer: f64,
}

impl Peers {
    /// Listens at the pooler's address.
    pub fn new(number: usize, seed: u64, world: &World) -> io::Result<Peers> {
        let (network, now) = (world.network, world.clock.now());
        let address = network.pooler(number);
        let socket = UdpSocket::bind(address)?;
        let me = Identity {
            name: replication::message::truncated_name(&pooler_name(number)),
            zone: replication::message::truncated_name(&zone_name(zone_of(number))),
            address,
            start: replication::disk::next_start(None, now),
            renewal: 0,
        };
        let seeds = (0..world.fleet.seeds).map(|seed| network.pooler(seed)).collect();
        let terms = NodeConfig { lease: LEASE, seeds, ..NodeConfig::default() };
        let keys = Keys::parse([KEY]).map_err(|_| io::Error::other("the key of the run is none"))?;
        let node = Node::new(me, keys, terms, seed, now, None);
        let load = Load::new(number, seed);
        Ok(Peers { node, socket, load, next_beat: now, number, timer: f64::INFINITY })
    }

    /// Datagrams may be read. Whether some are left for the next turn.
    pub fn read(&mut self, world: &mut World) -> bool {
        let mut bytes = [0; LONGEST];
        for _ in 0..AT_A_TIME {
            match self.socket.recv_from(&mut bytes) {
                Ok((count, from)) => {
                    let Some(from) = world.network.pooler_at(from) else { continue };
                    self.receive(&bytes[..count], from, world);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // Interrupted, or word that nobody listens at a port; it says nothing of the next datagram.
                Err(_) => {}
            }
        }
        true
    }

    fn receive(&mut self, bytes: &[u8], from: usize, world: &mut World) {
        let (zone, other) = (zone_of(self.number), zone_of(from));
        if world.apart(zone, other) {
            return;
        }
        let flow = (Kind::of_datagram(bytes), Distance::between(zone, other), Direction::Received);
        world.traffic.count(flow, 1, bytes.len());
        self.node.receive(world.clock.now(), bytes);
    }

    /// Time passes.
    pub fn due(&mut self, world: &World) {
        let now = world.clock.now();
        if self.timer <= now {
            self.timer = f64::INFINITY;
        }
        self.node.tick(now);
    }

    /// Whether it is time to tell how databases look.
    pub fn beats(&mut self, now: f64) -> bool {
        let beats = now >= self.next_beat;
        if beats {
            self.next_beat = now + BEAT;
        }
        beats
    }

    /// Goes on with the writes under way, sends what there is to send, and sets the timer.
    pub fn carry_out(&mut self, owner: Owner, world: &mut World) {
        let load_due = self.load.go_on(&mut self.node, world);
        let now = world.clock.now();
        let wanted = self.node.streams_to_open(now);
        world.streams_wanted += wanted.len() as u64;
        wanted.iter().for_each(|(name, _)| self.node.stream_ended(name));
        self.node.flush_due(now);
        for (to, bytes) in self.node.take_datagrams() {
            self.send(to, &bytes, world);
        }
        self.node.take_records();
        self.node.take_notices();
        let due = self.node.next_due().min(self.next_beat).min(load_due);
        if due < self.timer {
            self.timer = due;
            world.timers.set(due, owner, Due::Peers);
        }
    }

    fn send(&mut self, to: std::net::SocketAddr, bytes: &[u8], world: &mut World) {
        let Some(other) = world.network.pooler_at(to) else { return };
        let (zone, other) = (zone_of(self.number), zone_of(other));
        let flow = (Kind::of_datagram(bytes), Distance::between(zone, other), Direction::Sent);
        world.traffic.count(flow, 1, bytes.len());
        if !world.apart(zone, other) {
            // What does not go out is as lost as what does not arrive.
            let _ = self.socket.send_to(bytes, to);
        }
    }
}
