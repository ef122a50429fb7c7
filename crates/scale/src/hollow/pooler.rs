//! A hollow pooler: the decisions, the connections on which the list is followed, and, where poolers talk, its side
//! towards the others.

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
use super::timers::{Due, Owner};
use super::watch::Watch;
use super::World;
use crate::layout::{zone_name, zone_of, ZONES};
use crate::protocol::Coordination;
use crate::settings::platform;
use crate::traffic::{Direction, Kind};

/// Sources of a pooler: its socket towards others, and connections to discovery, of which two are open at the most
/// while a third comes up.
pub(super) const SOURCES: usize = 4;
const WATCHES: u64 = SOURCES as u64 - 1;
/// The list's name among poolers: all follow one.
const LIST: u64 = 1;

/// The pooler.
pub(super) struct Pooler {
    owner: Owner,
    zone: usize,
    policy: Policy,
    follower: Follower,
    watches: Vec<Watch>,
    pub peers: Option<Peers>,
    pub directory: Option<Directory>,
    /// The version of the list that is held, as the decisions were told.
    pub version: u64,
}

impl Pooler {
    /// Starts with an empty list and calls for it.
    pub fn start(number: usize, owner: Owner, world: &mut World) -> io::Result<Pooler> {
        let zone = zone_of(number);
        let seed = pooler_seed(world.fleet.seed, number, owner.life);
        let text = platform(world.network, number, zone, world.fleet.fleet, seed);
        let config = Config::parse(&text).map_err(io::Error::other)?;
        let policy =
            Policy::new(config.settings, seed).map_err(|fault| io::Error::other(fault.to_string()))?;
        let is = |coordination| world.fleet.coordination == coordination;
        let mut peers = is(Coordination::Peers).then(|| Peers::new(number, seed, world)).transpose()?;
        let mut directory =
            is(Coordination::Directory).then(|| Directory::new(number, seed, world)).transpose()?;
        let sockets = peers.as_mut().map(|peers| &mut peers.socket);
        let sockets = sockets.into_iter().chain(directory.as_mut().map(|directory| &mut directory.socket));
        for socket in sockets {
            let token = Token(owner.place * SOURCES);
            world.registry.register(socket, token, Interest::READABLE)?;
        }
        let (follower, watches) = (Follower::new(false, 0), Vec::new());
        let mut pooler = Pooler { owner, zone, policy, follower, watches, peers, directory, version: 0 };
        pooler.tell(Event::Members { kind: ListKind::Saved, entries: Vec::new() }, world);
        pooler.peers_due(world);
        if world.fleet.coordination != Coordination::None && world.fleet.requests_per_s > 0.0 {
            pooler.next_request(world);
        }
        Ok(pooler)
    }

    /// A sum over what the decisions hold of the list: the same for poolers that hold the same.
    pub fn list_sum(&self) -> u64 {
        let sum = |name: &str, group: u32| {
            let mut hasher = std::collections::hash_map::DefaultHasher::new();
            (name, group).hash(&mut hasher);
            hasher.finish()
        };
        self.policy.members().fold(0, |all, (name, group, _, _)| all ^ sum(name, group))
    }

    /// A source may be read from or written to.
    pub fn ready(&mut self, source: usize, world: &mut World) {
        if source == 0 {
            return self.peers_ready(world);
        }
        let line = self.watches.iter().map(|watch| watch.line).find(|line| source_of(*line) == source);
        line.into_iter().for_each(|line| self.watch_ready(line, world));
    }

    /// Looks at all connections to discovery: what was cut off may pass again.
    pub fn look_at_watches(&mut self, world: &mut World) {
        let lines: Vec<ConnectionId> = self.watches.iter().map(|watch| watch.line).collect();
        lines.into_iter().for_each(|line| self.watch_ready(line, world));
    }

    /// A timer came due.
    pub fn due(&mut self, due: Due, world: &mut World) {
        match due {
            Due::Start => {}
            Due::Policy(cookie) => self.tell(Event::Timer { cookie }, world),
            Due::Discovery => {
                // What has arrived by now still counts, though its event has not been taken up yet.
                self.look_at_watches(world);
                self.follow(world, |follower, now, out| follower.on_timer(now, out));
            }
            Due::Peers => self.peers_due(world),
            Due::Request => {
                if let Some(peers) = &mut self.peers {
                    peers.load.request(&mut peers.node, world);
                    peers.carry_out(self.owner, world);
                }
                if let Some(directory) = &mut self.directory {
                    directory.load.request(&mut directory.client, world);
                    directory.carry_out(self.owner, world);
                }
                self.next_request(world);
            }
        }
    }

    // --- the decisions ---------------------------------------------------------------------------------------------

    fn tell(&mut self, event: Event, world: &mut World) {
        let mut actions = Vec::new();
        self.policy.handle(world.clock.now(), event, &mut actions);
        self.carry_out(actions, world);
    }

    fn carry_out(&mut self, actions: Vec<Action>, world: &mut World) {
        for action in actions {
            match action {
                Action::Timer { at, cookie } => world.timers.set(at, self.owner, Due::Policy(cookie)),
                Action::Subscribe => {
                    self.follow(world, |follower, now, out| follower.send_list_request(now, out))
                }
                // Without requests the decisions neither send nor probe; a hollow pooler has no connections to close.
                _ => {}
            }
        }
    }

    // --- the list --------------------------------------------------------------------------------------------------

    fn follow(&mut self, world: &mut World, tell: impl FnOnce(&mut Follower, f64, &mut Vec<Step>)) {
        let mut steps = Vec::new();
        tell(&mut self.follower, world.clock.now(), &mut steps);
        for step in steps {
            self.step(step, world);
        }
    }

    fn step(&mut self, step: Step, world: &mut World) {
        match step {
            Step::Open(line, since) => {
                if let Err(why) = self.open(line, since, world) {
                    self.follow(world, |follower, now, out| follower.connection_failed(line, now, why, out));
                }
            }
            Step::Close(line) => self.watches.retain(|watch| watch.line != line),
            Step::Timer(at) => world.timers.set(at, self.owner, Due::Discovery),
            Step::Unchanged => self.members(ListKind::Incremental, Vec::new(), world),
            Step::Failed(_) => self.members(ListKind::Failed, Vec::new(), world),
            Step::Silent(_) => self.members(ListKind::Silent, Vec::new(), world),
        }
    }

    fn open(&mut self, line: ConnectionId, since: u64, world: &mut World) -> Result<(), ConnectionError> {
        let mut watch = Watch::open(line, world.network.discovery(), since, &world.budget)?;
        let token = Token(self.owner.place * SOURCES + source_of(line));
        let both = Interest::READABLE | Interest::WRITABLE;
        world.registry.register(&mut watch.stream, token, both).map_err(|_| "no connection")?;
        self.watches.push(watch);
        Ok(())
    }

    fn watch_ready(&mut self, line: ConnectionId, world: &mut World) {
        let Some(watch) = self.watches.iter_mut().find(|watch| watch.line == line) else { return };
        if world.apart(self.zone, super::DISCOVERY_ZONE) {
            return;
        }
        let mut pieces = Vec::new();
        let mut result = watch.turn(&mut pieces);
        let (passed, begun, way) = (watch.take_passed(), watch.begun(), World::way_to_discovery(self.zone));
        let call = usize::from(passed.sent > 0);
        world.traffic.count((Kind::ListCall, way, Direction::Sent), call, passed.sent);
        world.traffic.count((Kind::List, way, Direction::Received), pieces.len(), passed.received);
        for piece in pieces {
            if let Err(why) = self.piece(line, piece, world) {
                result = Err(why);
                break;
            }
        }
        match result {
            Ok(()) => self.follower.bytes_received(line, world.clock.now(), begun),
            Err(why) => {
                self.follow(world, |follower, now, out| follower.connection_failed(line, now, why, out))
            }
        }
    }

    /// Takes in one document or empty line.
    fn piece(
        &mut self,
        line: ConnectionId,
        piece: json::Piece,
        world: &mut World,
    ) -> Result<(), ConnectionError> {
        let json::Piece::Document(bytes) = piece else {
            self.follow(world, |follower, now, out| follower.empty_line_received(line, now, out));
            return Ok(());
        };
        let text = std::str::from_utf8(&bytes).map_err(|_| "a list that is not text")?;
        let news = listing::parse(text).ok_or("what is no list")?;
        let mut counts = false;
        self.follow(world, |follower, now, out| {
            counts = follower.update_received(line, now, news.version, out)
        });
        if counts {
            self.version = news.version;
            let kind = if news.is_full { ListKind::Full } else { ListKind::Incremental };
            self.members(kind, news.listings, world);
            world.heard.push((self.version, self.owner.place, world.clock.now()));
        }
        Ok(())
    }

    fn members(&mut self, kind: ListKind, listings: Vec<Listing>, world: &mut World) {
        if let Some(peers) = self.peers.as_mut().filter(|_| kind.carries_entries()) {
            let databases =
                listings.iter().map(|listing| (&*listing.name, listing.started_at, listing.phase));
            reports::report_list(&mut peers.node, world.clock.now(), (LIST, self.version), databases);
        }
        let entries = listings.into_iter().map(entry).collect();
        self.tell(Event::Members { kind, entries }, world);
    }

    /// An answer of a database tells that it is primary now.
    pub fn finds_primary(&mut self, database: &str, world: &mut World) {
        let report = Report { position: Some(world.clock.now()), primary: Some(true) };
        let probed = Event::ProbeEnded { member: database.into(), outcome: Outcome::Ok, report };
        self.tell(probed, world);
    }

    /// Notes when word of the primary that is expected has come.
    fn look_for_primary(&mut self, world: &mut World) {
        let (Some(peers), Some((group, name))) = (&self.peers, &world.expected) else { return };
        if world.heard_primary.contains_key(&self.owner.place) {
            return;
        }
        let claims = peers.node.primary_claims();
        if claims.get(group).and_then(|claim| claim.only()).is_some_and(|known| **known == **name) {
            world.heard_primary.insert(self.owner.place, world.clock.now());
        }
    }

    // --- other poolers ---------------------------------------------------------------------------------------------

    fn peers_ready(&mut self, world: &mut World) {
        if let Some(directory) = &mut self.directory {
            if directory.read(world) {
                world.timers.set(world.clock.now(), self.owner, Due::Peers);
            }
            return directory.carry_out(self.owner, world);
        }
        let Some(peers) = &mut self.peers else { return };
        if peers.read(world) {
            world.timers.set(world.clock.now(), self.owner, Due::Peers);
        }
        let now = world.clock.now();
        let beats = peers.beats(now);
        if beats || peers.node.take_changed() {
            self.exchange(beats, world);
        }
        if let Some(peers) = &mut self.peers {
            peers.carry_out(self.owner, world);
        }
        self.look_for_primary(world);
    }

    fn peers_due(&mut self, world: &mut World) {
        if let Some(peers) = &mut self.peers {
            peers.due(world);
        }
        if let Some(directory) = &mut self.directory {
            directory.due(world);
        }
        self.peers_ready(world);
    }

    /// Tells the others how databases look, and takes in what they say.
    fn exchange(&mut self, tells: bool, world: &mut World) {
        let now = world.clock.now();
        let found = self.policy.observations();
        let Some(peers) = &mut self.peers else { return };
        if tells {
            reports::report_views(&mut peers.node, now, &found);
            peers.node.report_versions(now, self.follower.version(), 0, env!("CARGO_PKG_VERSION"));
        }
        let heard = reports::peer_reports(&peers.node, now, &found);
        let others = peers.node.reachable_instances() as u32;
        let mut actions = Vec::new();
        self.policy.apply_peer_reports(now, &heard, others, &mut actions);
        self.carry_out(actions, world);
    }

    fn next_request(&mut self, world: &mut World) {
        let load = match (&mut self.peers, &mut self.directory) {
            (Some(peers), _) => &mut peers.load,
            (None, Some(directory)) => &mut directory.load,
            (None, None) => return,
        };
        let pause = load.pause(world.fleet.requests_per_s);
        world.timers.set(world.clock.now() + pause, self.owner, Due::Request);
    }
}

/// The source of a connection to discovery.
fn source_of(line: ConnectionId) -> usize {
    1 + (line % WATCHES) as usize
}

/// A line of the list as the decisions are told it.
fn entry(listing: Listing) -> Entry {
    let Listing { name, zone, group, phase, started_at: since, .. } = listing;
    // A zone that the settings do not name is at least not the own one.
    let zone = (0..ZONES).find(|number| zone_name(*number) == zone).unwrap_or(ZONES);
    Entry { member: name, zone: zone as u32, group, phase, started_at: since, primary: false }
}

/// A seed for one life of a pooler.
fn pooler_seed(seed: u64, number: usize, life: u32) -> u64 {
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    (seed, number, life).hash(&mut hasher);
    hasher.finish()
}
