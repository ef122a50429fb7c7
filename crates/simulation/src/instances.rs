//! Instances that talk, on a virtual network with faults and one virtual clock: the very machine that the daemon drives.
//! Sessions write and read through any of them; what a read might see is held against what its session was answered.
//! The same seed gives the same run to the last datagram.

use std::cmp::Reverse;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use replication::{Identity, Keys, Node, NodeConfig, Notice, ReadRequirement, Ticket};

/// The key of all instances.
const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Unix time at the beginning.
pub const START_TIME: f64 = 1_000_000.0;
/// A request that waits for leave to be sent is refused after this (seconds).
const HOLD: f64 = 0.6;

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConfig {
    /// Share that is lost.
    pub loss: f64,
    /// Share that comes twice.
    pub duplication: f64,
    /// The shortest and the longest way (seconds); the order is as it falls out.
    pub latency: (f64, f64),
    /// Share that takes so much longer (seconds).
    pub extra_delay: (f64, f64),
}

impl Default for NetworkConfig {
    fn default() -> NetworkConfig {
        NetworkConfig { loss: 0.0, duplication: 0.0, latency: (0.000_2, 0.001), extra_delay: (0.0, 0.0) }
    }
}

/// What a read of a session came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionTotals {
    /// Reads in all, and those that a replica with its lag could serve.
    pub reads: u64,
    /// See above.
    pub servable_by_replica: u64,
    /// Reads that would have seen less than their session was answered.
    pub stale: u64,
    /// Writes answered, refused before they were sent, and of those answered the ones that waited for others.
    pub answered: u64,
    /// See above.
    pub refused: u64,
    /// See above.
    pub waited: u64,
    /// Writes whose instance ended before their answer.
    pub lost: u64,
}

enum Event {
    Arrive { to: usize, bytes: std::rc::Rc<Vec<u8>> },
    Tick(usize, u64),
    Poll(u64),
    Commit(u64),
}

struct Write {
    at: usize,
    life: u64,
    ticket: Ticket,
    session: usize,
    begun: f64,
    sent: bool,
    work: f64,
    committed: Option<f64>,
}

struct Seat {
    node: Option<Node>,
    identity: Identity,
    life: u64,
    stopped: bool,
    /// What has come while it was stopped.
    backlog: Vec<std::rc::Rc<Vec<u8>>>,
    ticks_at: f64,
    /// Its disk, where it has one.
    disk: Option<Vec<u8>>,
}

/// All instances, the network and the sessions.
pub struct Instances {
    /// Now (Unix seconds).
    pub now: f64,
    seats: Vec<Seat>,
    events: BinaryHeap<Reverse<(Key, u64)>>,
    pending: HashMap<u64, Event>,
    order: u64,
    rng: fastrand::Rng,
    /// What the network does.
    pub network: NetworkConfig,
    /// Directions that are cut: from, to.
    pub blocked_directions: HashSet<(usize, usize)>,
    terms: NodeConfig,
    writes: HashMap<u64, Write>,
    wishes: u64,
    /// The latest position that each session was answered.
    answered: HashMap<usize, f64>,
    /// Who answered it, at which start, and when.
    answerer: HashMap<usize, (usize, u64, f64)>,
    /// What went against the rule, in words.
    pub breaches: Vec<String>,
    /// What has come of reads and writes.
    pub totals: SessionTotals,
    /// What each instance has told, with the time.
    pub notices: Vec<(f64, usize, Notice)>,
    trace: DefaultHasher,
    /// How long a write takes at the most (seconds).
    pub max_write_time: f64,
    /// How far the replica is behind (seconds).
    pub replica_lag: f64,
    keep_notices: bool,
}

#[derive(Clone, Copy, PartialEq)]
struct Key(f64, u64);

impl Eq for Key {}

impl PartialOrd for Key {
    fn partial_cmp(&self, other: &Key) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Key {
    fn cmp(&self, other: &Key) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

fn address(n: usize) -> SocketAddr {
    ([127, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7_000).into()
}

fn seat_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, a, b, c] = ip.octets();
            usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

impl Instances {
    /// So many instances in so many zones; the first `seeds` are known to all.
    pub fn new(seed: u64, count: usize, zones: usize, seeds: usize, net: NetworkConfig) -> Instances {
        let terms = NodeConfig { seeds: (0..seeds).map(address).collect(), ..NodeConfig::default() };
        let mut all = Instances {
            now: START_TIME,
            seats: Vec::new(),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            order: 0,
            rng: fastrand::Rng::with_seed(seed),
            network: net,
            blocked_directions: HashSet::new(),
            terms,
            writes: HashMap::new(),
            wishes: 0,
            answered: HashMap::new(),
            answerer: HashMap::new(),
            breaches: Vec::new(),
            totals: SessionTotals::default(),
            notices: Vec::new(),
            trace: DefaultHasher::new(),
            max_write_time: 0.05,
            replica_lag: 1.5,
            keep_notices: count <= 64,
        };
        for n in 0..count {
            let identity = Identity {
                name: format!("n{n}").into(),
                zone: format!("z{}", n % zones).into(),
                address: address(n),
                start: 0,
                renewal: 0,
            };
            let seat = Seat {
                node: None,
                identity,
                life: 0,
                stopped: false,
                backlog: Vec::new(),
                ticks_at: f64::INFINITY,
                disk: None,
            };
            all.seats.push(seat);
        }
        all
    }

    /// Gives each a disk.
    pub fn add_disks(&mut self) {
        self.seats.iter_mut().for_each(|seat| seat.disk = Some(Vec::new()));
    }

    /// What instances go by; takes effect at their next start.
    pub fn set_terms(&mut self, change: impl Fn(&mut NodeConfig)) {
        change(&mut self.terms);
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.order += 1;
        self.pending.insert(self.order, event);
        self.events.push(Reverse((Key(at, self.order), self.order)));
    }

    /// Starts an instance, anew if it was there before.
    pub fn start(&mut self, n: usize) {
        let seat = &mut self.seats[n];
        let kept = seat.disk.as_deref().map(replication::disk::parse);
        seat.life += 1;
        seat.identity.start = replication::disk::next_start(kept.as_ref(), self.now).max(seat.life);
        seat.stopped = false;
        seat.backlog.clear();
        let keys = Keys::parse([KEY]).expect("a key");
        let seed = self.rng.u64(..);
        seat.node = Some(Node::new(seat.identity.clone(), keys, self.terms.clone(), seed, self.now, kept));
        seat.ticks_at = f64::INFINITY;
        self.after(n);
    }

    /// Kills an instance: what it has not sent is gone.
    pub fn kill(&mut self, n: usize) {
        let seat = &mut self.seats[n];
        seat.node = None;
        seat.life += 1;
        let life = seat.life;
        let lost = self.writes.values().filter(|w| w.at == n && w.life < life).count();
        self.totals.lost += lost as u64;
        self.writes.retain(|_, w| w.at != n || w.life >= life);
    }

    /// Ends an instance as it should: its writes are answered first, then it says so until all have read it, for 0.3 s at
    /// the most.
    pub fn leave(&mut self, n: usize) {
        let begun = self.now;
        while self.writes.values().any(|write| write.at == n) && self.now - begun < 1.0 {
            self.run(0.005);
        }
        if self.writes.values().any(|write| write.at == n) || !self.is_running(n) {
            return self.kill(n);
        }
        let until = self.now + 0.3;
        while self.now < until && self.with_node(n, |node, now| node.leave(now)) == Some(false) {
            self.run(0.01);
        }
        self.kill(n);
    }

    /// Stops an instance's process, which goes on later as if nothing had been.
    pub fn pause(&mut self, n: usize) {
        self.seats[n].stopped = true;
    }

    /// Lets a stopped process go on; what came for it meanwhile is there.
    pub fn resume(&mut self, n: usize) {
        self.seats[n].stopped = false;
        let backlog = std::mem::take(&mut self.seats[n].backlog);
        let now = self.now;
        if let Some(node) = &mut self.seats[n].node {
            backlog.iter().for_each(|bytes| node.receive(now, bytes));
        }
        self.seats[n].ticks_at = f64::INFINITY;
        self.after(n);
        let waiting: Vec<u64> = self.writes.iter().filter(|(_, w)| w.at == n).map(|(id, _)| *id).collect();
        waiting.into_iter().for_each(|id| self.schedule(now, Event::Poll(id)));
    }

    /// Cuts all ways between two sets, or lets them be again.
    pub fn set_partitioned(&mut self, some: &[usize], apart: bool) {
        for a in 0..self.seats.len() {
            for b in 0..self.seats.len() {
                if some.contains(&a) != some.contains(&b) {
                    if apart {
                        self.blocked_directions.insert((a, b));
                    } else {
                        self.blocked_directions.remove(&(a, b));
                    }
                }
            }
        }
    }

    /// Whether an instance runs.
    pub fn is_running(&self, n: usize) -> bool {
        self.seats[n].node.is_some() && !self.seats[n].stopped
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.seats.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }

    /// An instance.
    pub fn node(&mut self, n: usize) -> Option<&mut Node> {
        self.seats[n].node.as_mut()
    }

    /// Does something at an instance, and sends what follows.
    pub fn with_node<T>(&mut self, n: usize, what: impl FnOnce(&mut Node, f64) -> T) -> Option<T> {
        let now = self.now;
        let result = self.seats[n].node.as_mut().map(|node| what(node, now));
        self.after(n);
        result
    }

    /// Carries out what an instance wants after a call.
    fn after(&mut self, n: usize) {
        let now = self.now;
        let life = self.seats[n].life;
        let Some(node) = self.seats[n].node.as_mut() else { return };
        let (out, notices, due) = (node.take_datagrams(), node.take_notices(), node.next_due());
        let records = node.take_records();
        if let Some(disk) = &mut self.seats[n].disk {
            disk.extend(records.iter().flat_map(replication::disk::Record::encode));
        }
        if self.keep_notices {
            self.notices.extend(notices.into_iter().map(|notice| (now, n, notice)));
        }
        if due < self.seats[n].ticks_at {
            self.seats[n].ticks_at = due;
            self.schedule(due.max(now), Event::Tick(n, life));
        }
        for (to, bytes) in out {
            let to = seat_of(to);
            (now.to_bits(), n, to, bytes.len()).hash(&mut self.trace);
            if to >= self.seats.len()
                || self.blocked_directions.contains(&(n, to))
                || self.rng.f64() < self.network.loss
            {
                continue;
            }
            let copies = 1 + usize::from(self.rng.f64() < self.network.duplication);
            let bytes = std::rc::Rc::new(bytes);
            for _ in 0..copies {
                let (least, most) = self.network.latency;
                let late = if self.rng.f64() < self.network.extra_delay.0 {
                    self.network.extra_delay.1
                } else {
                    0.0
                };
                let at = now + least + (most - least) * self.rng.f64() + late;
                self.schedule(at, Event::Arrive { to, bytes: bytes.clone() });
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while let Some(Reverse((Key(at, _), id))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            let Some(event) = self.pending.remove(&id) else { continue };
            self.happen(event);
        }
        self.now = until;
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        match event {
            // What is on the way to one that ends meanwhile reaches its next start, as on a real port.
            Event::Arrive { to, bytes } => {
                let seat = &mut self.seats[to];
                if seat.stopped {
                    if seat.backlog.len() < 200 {
                        seat.backlog.push(bytes);
                    }
                } else if let Some(node) = &mut seat.node {
                    node.receive(now, &bytes);
                    self.after(to);
                }
            }
            Event::Tick(n, life) => {
                let seat = &mut self.seats[n];
                if seat.life != life || seat.stopped {
                    return;
                }
                if now < seat.ticks_at {
                    return;
                }
                seat.ticks_at = f64::INFINITY;
                if let Some(node) = &mut seat.node {
                    node.tick(now);
                }
                self.after(n);
            }
            Event::Commit(id) => {
                // At the db machine, whatever its pooler is doing.
                if let Some(write) = self.writes.get_mut(&id) {
                    write.committed = Some(now);
                }
                self.schedule(now, Event::Poll(id));
            }
            Event::Poll(id) => self.poll(id),
        }
    }

    fn poll(&mut self, id: u64) {
        let now = self.now;
        let Some(write) = self.writes.get(&id) else { return };
        let (n, ticket, session, begun) = (write.at, write.ticket, write.session, write.begun);
        if self.seats[n].stopped || self.seats[n].life != write.life {
            return;
        }
        let (sent, committed, work) = (write.sent, write.committed, write.work);
        if !sent {
            let may = self.with_node(n, |node, now| node.may_send(now, ticket)).unwrap_or(false);
            if may {
                if let Some(write) = self.writes.get_mut(&id) {
                    write.sent = true;
                }
                self.schedule(now + work, Event::Commit(id));
            } else if now - begun > HOLD {
                self.with_node(n, |node, now| node.forget(now, ticket));
                self.writes.remove(&id);
                self.totals.refused += 1;
            } else {
                self.schedule(now + 0.001, Event::Poll(id));
            }
            return;
        }
        let Some(position) = committed else { return };
        self.with_node(n, |node, now| node.end_write(now, ticket, Some(position)));
        let may = self.with_node(n, |node, now| node.may_answer(now, ticket)).unwrap_or(false);
        if !may {
            self.schedule(now + 0.001, Event::Poll(id));
            return;
        }
        self.with_node(n, |node, now| node.forget(now, ticket));
        self.writes.remove(&id);
        self.totals.answered += 1;
        self.totals.waited += u64::from(now - begun > work + 0.005);
        let known = self.answered.entry(session).or_insert(position);
        if position >= *known {
            *known = position;
            self.answerer.insert(session, (n, self.seats[n].life, now - START_TIME));
        }
    }

    /// A session writes through an instance.
    pub fn write(&mut self, n: usize, session: usize) {
        if !self.is_running(n) {
            return;
        }
        self.wishes += 1;
        let (id, now) = (self.wishes, self.now);
        let name = format!("s{session}");
        let Some(ticket) = self.with_node(n, |node, now| node.begin_write(now, &name)) else { return };
        let work = self.rng.f64() * self.max_write_time;
        let life = self.seats[n].life;
        let write = Write { at: n, life, ticket, session, begun: now, sent: false, work, committed: None };
        self.writes.insert(id, write);
        self.schedule(now, Event::Poll(id));
    }

    /// A session reads through an instance: what it may see is held against what it was answered.
    pub fn read(&mut self, n: usize, session: usize) {
        if !self.is_running(n) {
            return;
        }
        let name = format!("s{session}");
        let own = self.answered.get(&session).copied().unwrap_or(f64::NEG_INFINITY);
        let Some(need) = self.with_node(n, |node, now| node.read_requirement(now, &name)) else { return };
        self.totals.reads += 1;
        if let ReadRequirement::AtLeast(position) = need {
            if position < own {
                self.totals.stale += 1;
                let by = self.answerer.get(&session).copied();
                let known = self.seats[n].node.as_ref().map(|node| node.explain(self.now, &name));
                self.breaches.push(format!(
                    "{:.4}: n{n} reads {name} from {position:.4}, answered {own:.4} by {by:?}: {known:?}",
                    self.now - START_TIME
                ));
            }
            self.totals.servable_by_replica += u64::from(position <= self.now - self.replica_lag);
        }
    }

    /// The time between a session's answered write and now (seconds).
    pub fn time_since_write(&self, session: usize) -> f64 {
        self.now - self.answered.get(&session).copied().unwrap_or(f64::NEG_INFINITY)
    }

    /// Whether all that run hold the same.
    pub fn is_converged(&mut self) -> bool {
        let running: Vec<usize> = (0..self.seats.len()).filter(|n| self.is_running(*n)).collect();
        let mut digests = running.iter().filter_map(|n| self.seats[*n].node.as_ref().map(Node::digest));
        let Some(first) = digests.next() else { return true };
        digests.all(|digest| digest == first)
    }

    /// Bytes sent by all together, and those to other zones among them.
    pub fn sent_bytes(&self) -> (u64, u64) {
        let counts = self.seats.iter().filter_map(|seat| seat.node.as_ref()).map(Node::counts);
        counts.fold((0, 0), |sum, counts| (sum.0 + counts.sent_bytes, sum.1 + counts.far_bytes))
    }

    /// A sum over all that was sent: two runs of one seed have the same.
    pub fn trace(&self) -> u64 {
        self.trace.finish()
    }

    /// How many notices there were of each kind that `which` names.
    pub fn count_notices(
        &self,
        which: impl Fn(&Notice) -> Option<&'static str>,
    ) -> BTreeMap<&'static str, usize> {
        let mut all = BTreeMap::new();
        for kind in self.notices.iter().filter_map(|(_, _, notice)| which(notice)) {
            *all.entry(kind).or_insert(0) += 1;
        }
        all
    }
}
