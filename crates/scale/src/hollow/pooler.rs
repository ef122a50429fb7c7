//! A hollow pooler: its policy, the connections on which it follows the list and, depending on the fleet's
//! coordination, its state exchange with peers or its client of the session directory.

use std::hash::{Hash, Hasher};
use std::io;

use ::config::Config;
use listing::connection::ConnectionError;
use listing::follow::{ConnectionId, Follower, Step};
use listing::Listing;
use mio::{Interest, Token};
use replication::reports;
use routing::interface::{Action, Entry, Event, ListKind, Outcome, Report};
use routing::Policy;

use super::directory::Directory;
use super::peers::Peers;
use super::timers::{Owner, TimerKind};
use super::watch::Watch;
use super::World;
use crate::layout::{zone_name, zone_of, ZONES};
use crate::protocol::Coordination;
use crate::settings::platform_config;
use crate::traffic::{Direction, MessageKind};

/// Event sources of a pooler: its socket for peers or the directory, and connections to discovery, of which
/// at most two are open while a third one connects.
pub(super) const SOURCES_PER_POOLER: usize = 4;
const WATCHES_PER_POOLER: u64 = SOURCES_PER_POOLER as u64 - 1;
/// Identifies the list in reports between poolers; all follow the same one.
const LIST_ID: u64 = 1;

/// A running hollow pooler.
pub(super) struct Pooler {
    owner: Owner,
    zone: usize,
    policy: Policy,
    follower: Follower,
    watches: Vec<Watch>,
    pub peers: Option<Peers>,
    pub directory: Option<Directory>,
    /// Version of the list, as given to the policy.
    pub version: u64,
}

impl Pooler {
    /// Starts with an empty list and requests it.
    pub fn start(number: usize, owner: Owner, world: &mut World) -> io::Result<Pooler> {
        let zone = zone_of(number);
        let seed = pooler_seed(world.fleet.seed, number, owner.generation);
        let text = platform_config(world.network, number, zone, world.fleet.fleet, seed);
        let config = Config::parse(&text).map_err(io::Error::other)?;
        let policy =
            Policy::new(config.settings, seed).map_err(|error| io::Error::other(error.to_string()))?;
        let has = |coordination| world.fleet.coordination == coordination;
        let mut peers = has(Coordination::Peers).then(|| Peers::new(number, seed, world)).transpose()?;
        let mut directory =
            has(Coordination::Directory).then(|| Directory::new(number, seed, world)).transpose()?;
        let sockets = peers.as_mut().map(|peers| &mut peers.socket);
        let sockets = sockets.into_iter().chain(directory.as_mut().map(|directory| &mut directory.socket));
        for socket in sockets {
            let token = Token(owner.index * SOURCES_PER_POOLER);
            world.registry.register(socket, token, Interest::READABLE)?;
        }
        let (follower, watches) = (Follower::new(false, 0), Vec::new());
        let mut pooler = Pooler { owner, zone, policy, follower, watches, peers, directory, version: 0 };
        pooler.handle_event(Event::Members { kind: ListKind::Saved, entries: Vec::new() }, world);
        pooler.on_peers_timer(world);
        if world.fleet.coordination != Coordination::None && world.fleet.requests_per_s > 0.0 {
            pooler.schedule_request(world);
        }
        Ok(pooler)
    }

    /// Returns a checksum of the members in the policy, equal for poolers with the same members.
    pub fn list_checksum(&self) -> u64 {
        let hash = |name: &str, group: u32| {
            let mut hasher = std::collections::hash_map::DefaultHasher::new();
            (name, group).hash(&mut hasher);
            hasher.finish()
        };
        self.policy.members().fold(0, |checksum, (name, group, _, _)| checksum ^ hash(name, group))
    }

    /// Handles an event source that is readable or writable.
    pub fn on_ready(&mut self, source: usize, world: &mut World) {
        if source == 0 {
            return self.process_peers(world);
        }
        let id = self.watches.iter().map(|watch| watch.id).find(|id| source_of(*id) == source);
        id.into_iter().for_each(|id| self.process_watch(id, world));
    }

    /// Processes all connections to discovery; needed after a partition has ended.
    pub fn process_watches(&mut self, world: &mut World) {
        let ids: Vec<ConnectionId> = self.watches.iter().map(|watch| watch.id).collect();
        ids.into_iter().for_each(|id| self.process_watch(id, world));
    }

    /// Handles a timer.
    pub fn on_timer(&mut self, kind: TimerKind, world: &mut World) {
        match kind {
            TimerKind::Start => {}
            TimerKind::Policy(cookie) => self.handle_event(Event::Timer { cookie }, world),
            TimerKind::Discovery => {
                // Data that has already arrived counts, even if its event has not been handled yet.
                self.process_watches(world);
                self.with_follower(world, |follower, now, out| follower.on_timer(now, out));
            }
            TimerKind::Peers => self.on_peers_timer(world),
            TimerKind::Request => {
                if let Some(peers) = &mut self.peers {
                    peers.load.request(&mut peers.node, world);
                    peers.send_pending(self.owner, world);
                }
                if let Some(directory) = &mut self.directory {
                    directory.load.request(&mut directory.client, world);
                    directory.send_pending(self.owner, world);
                }
                self.schedule_request(world);
            }
        }
    }

    // --- policy --------------------------------------------------------------------------------------------

    fn handle_event(&mut self, event: Event, world: &mut World) {
        let mut actions = Vec::new();
        self.policy.handle(world.clock.now(), event, &mut actions);
        self.execute(actions, world);
    }

    fn execute(&mut self, actions: Vec<Action>, world: &mut World) {
        for action in actions {
            match action {
                Action::Timer { at, cookie } => world.timers.set(at, self.owner, TimerKind::Policy(cookie)),
                Action::Subscribe => {
                    self.with_follower(world, |follower, now, out| follower.send_list_request(now, out))
                }
                // Without requests the policy sends no attempts and no probes, and a hollow pooler has no
                // server connections to close.
                _ => {}
            }
        }
    }

    // --- list ----------------------------------------------------------------------------------------------

    fn with_follower(&mut self, world: &mut World, call: impl FnOnce(&mut Follower, f64, &mut Vec<Step>)) {
        let mut steps = Vec::new();
        call(&mut self.follower, world.clock.now(), &mut steps);
        for step in steps {
            self.execute_step(step, world);
        }
    }

    fn execute_step(&mut self, step: Step, world: &mut World) {
        match step {
            Step::Open(id, since) => {
                if let Err(why) = self.open_watch(id, since, world) {
                    self.with_follower(world, |follower, now, out| {
                        follower.connection_failed(id, now, why, out)
                    });
                }
            }
            Step::Close(id) => self.watches.retain(|watch| watch.id != id),
            Step::Timer(at) => world.timers.set(at, self.owner, TimerKind::Discovery),
            Step::Unchanged => self.apply_members(ListKind::Incremental, Vec::new(), world),
            Step::Failed(_) => self.apply_members(ListKind::Failed, Vec::new(), world),
            Step::Silent(_) => self.apply_members(ListKind::Silent, Vec::new(), world),
        }
    }

    fn open_watch(&mut self, id: ConnectionId, since: u64, world: &mut World) -> Result<(), ConnectionError> {
        let mut watch = Watch::open(id, world.network.discovery(), since, &world.budget)?;
        let token = Token(self.owner.index * SOURCES_PER_POOLER + source_of(id));
        let interest = Interest::READABLE | Interest::WRITABLE;
        world.registry.register(&mut watch.stream, token, interest).map_err(|_| "no connection")?;
        self.watches.push(watch);
        Ok(())
    }

    fn process_watch(&mut self, id: ConnectionId, world: &mut World) {
        let Some(watch) = self.watches.iter_mut().find(|watch| watch.id == id) else { return };
        if world.is_partitioned(self.zone, super::DISCOVERY_ZONE) {
            return;
        }
        let mut pieces = Vec::new();
        let mut result = watch.transfer(&mut pieces);
        let (bytes, in_document, distance) =
            (watch.take_byte_counts(), watch.in_document(), World::distance_to_discovery(self.zone));
        let requests = usize::from(bytes.sent > 0);
        world.traffic.count((MessageKind::ListCall, distance, Direction::Sent), requests, bytes.sent);
        world.traffic.count((MessageKind::List, distance, Direction::Received), pieces.len(), bytes.received);
        for piece in pieces {
            if let Err(why) = self.handle_piece(id, piece, world) {
                result = Err(why);
                break;
            }
        }
        match result {
            Ok(()) => self.follower.bytes_received(id, world.clock.now(), in_document),
            Err(why) => {
                self.with_follower(world, |follower, now, out| follower.connection_failed(id, now, why, out))
            }
        }
    }

    /// Handles one document or empty line.
    fn handle_piece(
        &mut self,
        id: ConnectionId,
        piece: json::Piece,
        world: &mut World,
    ) -> Result<(), ConnectionError> {
        let json::Piece::Document(bytes) = piece else {
            self.with_follower(world, |follower, now, out| follower.empty_line_received(id, now, out));
            return Ok(());
        };
        let text = std::str::from_utf8(&bytes).map_err(|_| "list is not UTF-8")?;
        let update = listing::parse(text).ok_or("malformed list")?;
        let mut is_current = false;
        self.with_follower(world, |follower, now, out| {
            is_current = follower.update_received(id, now, update.version, out)
        });
        if is_current {
            self.version = update.version;
            let kind = if update.is_full { ListKind::Full } else { ListKind::Incremental };
            self.apply_members(kind, update.listings, world);
            world.list_received.push((self.version, self.owner.index, world.clock.now()));
        }
        Ok(())
    }

    fn apply_members(&mut self, kind: ListKind, listings: Vec<Listing>, world: &mut World) {
        if let Some(peers) = self.peers.as_mut().filter(|_| kind.carries_entries()) {
            let members = listings.iter().map(|listing| (&*listing.name, listing.started_at, listing.phase));
            reports::report_list(&mut peers.node, world.clock.now(), (LIST_ID, self.version), members);
        }
        let entries = listings.into_iter().map(entry).collect();
        self.handle_event(Event::Members { kind, entries }, world);
    }

    /// Gives the policy the answer of a member that reports itself as primary.
    pub fn observe_primary(&mut self, member: &str, world: &mut World) {
        let report = Report { position: Some(world.clock.now()), primary: Some(true) };
        let event = Event::ProbeEnded { member: member.into(), outcome: Outcome::Ok, report };
        self.handle_event(event, world);
    }

    /// Records when the first report of the expected primary arrives.
    fn record_expected_primary(&mut self, world: &mut World) {
        let (Some(peers), Some((group, name))) = (&self.peers, &world.expected_primary) else { return };
        if world.primary_received.contains_key(&self.owner.index) {
            return;
        }
        let claims = peers.node.primary_claims();
        if claims.get(group).and_then(|claim| claim.only()).is_some_and(|known| **known == **name) {
            world.primary_received.insert(self.owner.index, world.clock.now());
        }
    }

    // --- state exchange and directory ----------------------------------------------------------------------

    fn process_peers(&mut self, world: &mut World) {
        if let Some(directory) = &mut self.directory {
            if directory.read(world) {
                world.timers.set(world.clock.now(), self.owner, TimerKind::Peers);
            }
            return directory.send_pending(self.owner, world);
        }
        let Some(peers) = &mut self.peers else { return };
        if peers.read(world) {
            world.timers.set(world.clock.now(), self.owner, TimerKind::Peers);
        }
        let now = world.clock.now();
        let send_reports = peers.take_report_due(now);
        if send_reports || peers.node.take_changed() {
            self.exchange_reports(send_reports, world);
        }
        if let Some(peers) = &mut self.peers {
            peers.send_pending(self.owner, world);
        }
        self.record_expected_primary(world);
    }

    fn on_peers_timer(&mut self, world: &mut World) {
        if let Some(peers) = &mut self.peers {
            peers.on_timer(world);
        }
        if let Some(directory) = &mut self.directory {
            directory.on_timer(world);
        }
        self.process_peers(world);
    }

    /// Sends observations of members to peers if `send_reports` is set, and applies the reports of peers.
    fn exchange_reports(&mut self, send_reports: bool, world: &mut World) {
        let now = world.clock.now();
        let observations = self.policy.observations();
        let Some(peers) = &mut self.peers else { return };
        if send_reports {
            reports::report_views(&mut peers.node, now, &observations);
            peers.node.report_versions(now, self.follower.version(), 0, env!("CARGO_PKG_VERSION"));
        }
        let reports_received = reports::peer_reports(&peers.node, now, &observations);
        let reachable = peers.node.reachable_instances() as u32;
        let mut actions = Vec::new();
        self.policy.apply_peer_reports(now, &reports_received, reachable, &mut actions);
        self.execute(actions, world);
    }

    fn schedule_request(&mut self, world: &mut World) {
        let load = match (&mut self.peers, &mut self.directory) {
            (Some(peers), _) => &mut peers.load,
            (None, Some(directory)) => &mut directory.load,
            (None, None) => return,
        };
        let interval = load.next_interval(world.fleet.requests_per_s);
        world.timers.set(world.clock.now() + interval, self.owner, TimerKind::Request);
    }
}

/// Returns the event source of a connection to discovery.
fn source_of(id: ConnectionId) -> usize {
    1 + (id % WATCHES_PER_POOLER) as usize
}

/// Converts an entry of the list for the policy.
fn entry(listing: Listing) -> Entry {
    let Listing { name, zone, group, phase, started_at, .. } = listing;
    // A zone that is not in the settings gets an index that differs from the pooler's own zone.
    let zone = (0..ZONES).find(|number| zone_name(*number) == zone).unwrap_or(ZONES);
    Entry { member: name, zone: zone as u32, group, phase, started_at, primary: false }
}

/// Derives the seed for one generation of a pooler.
fn pooler_seed(seed: u64, number: usize, generation: u32) -> u64 {
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    (seed, number, generation).hash(&mut hasher);
    hasher.finish()
}
