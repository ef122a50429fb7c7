//! Simulates instances that exchange state over a virtual network with faults, on one virtual clock. The
//! instances run the same state machine as the program. Sessions write and read through any instance; the
//! position that a read may start from is checked against the latest write answered to its session. Two runs
//! with the same seed are equal datagram by datagram.

use std::cmp::Reverse;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use replication::{Identity, Keys, Node, NodeConfig, Notice, ReadRequirement, Ticket};

/// The key shared by all instances.
const SHARED_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Unix time at the start of a run (seconds).
pub const START_TIME: f64 = 1_000_000.0;
/// A write that may not be sent yet is refused after this time (seconds).
const MAX_SEND_WAIT: f64 = 0.6;

/// Loss, duplication and delay of datagrams.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConfig {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that arrive twice.
    pub duplication: f64,
    /// Minimum and maximum latency (seconds). Datagrams may be reordered.
    pub latency: (f64, f64),
    /// Share of datagrams that are delayed further, and by how much (seconds).
    pub extra_delay: (f64, f64),
}

impl Default for NetworkConfig {
    fn default() -> NetworkConfig {
        NetworkConfig { loss: 0.0, duplication: 0.0, latency: (0.000_2, 0.001), extra_delay: (0.0, 0.0) }
    }
}

/// Counts of the reads and writes of all sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionTotals {
    /// All reads.
    pub reads: u64,
    /// Reads that a replica lagging by [`Instances::replica_lag`] could serve.
    pub servable_by_replica: u64,
    /// Reads that might have missed a write answered to their session.
    pub stale: u64,
    /// Writes that were answered.
    pub answered: u64,
    /// Writes that were refused before they were sent.
    pub refused: u64,
    /// Answered writes whose answer had to wait for other instances.
    pub waited: u64,
    /// Writes whose instance was killed before the answer.
    pub lost: u64,
}

enum Event {
    DatagramArrived { to: usize, bytes: std::rc::Rc<Vec<u8>> },
    Tick(usize, u64),
    PollWrite(u64),
    CommitWrite(u64),
}

struct Write {
    instance: usize,
    incarnation: u64,
    ticket: Ticket,
    session: usize,
    started_at: f64,
    sent: bool,
    duration: f64,
    committed_at: Option<f64>,
}

struct SimulatedInstance {
    node: Option<Node>,
    identity: Identity,
    incarnation: u64,
    paused: bool,
    /// Datagrams that arrived while the instance was paused.
    backlog: Vec<std::rc::Rc<Vec<u8>>>,
    next_tick_at: f64,
    /// Contents of the disk, if the instance has one.
    disk: Option<Vec<u8>>,
}

/// The simulated instances, the network between them and the sessions.
pub struct Instances {
    /// Current time (Unix seconds).
    pub now: f64,
    instances: Vec<SimulatedInstance>,
    queue: BinaryHeap<Reverse<(EventOrder, u64)>>,
    scheduled: HashMap<u64, Event>,
    sequence: u64,
    rng: fastrand::Rng,
    /// Faults and delays of the network.
    pub network: NetworkConfig,
    /// Blocked directions, as (from, to).
    pub blocked_directions: HashSet<(usize, usize)>,
    node_config: NodeConfig,
    writes: HashMap<u64, Write>,
    last_write: u64,
    /// Position of the latest answered write of each session.
    answered_positions: HashMap<usize, f64>,
    /// Which instance and incarnation answered that write, and when (seconds since the start of the run).
    answered_by: HashMap<usize, (usize, u64, f64)>,
    /// Description of each stale read.
    pub breaches: Vec<String>,
    /// Counts of reads and writes.
    pub totals: SessionTotals,
    /// Notices of the instances: time, instance and notice.
    pub notices: Vec<(f64, usize, Notice)>,
    trace: DefaultHasher,
    /// Maximum duration of a write (seconds).
    pub max_write_time: f64,
    /// Lag of the replica (seconds).
    pub replica_lag: f64,
    retain_notices: bool,
}

#[derive(Clone, Copy, PartialEq)]
struct EventOrder(f64, u64);

impl Eq for EventOrder {}

impl PartialOrd for EventOrder {
    fn partial_cmp(&self, other: &EventOrder) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for EventOrder {
    fn cmp(&self, other: &EventOrder) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

fn address(n: usize) -> SocketAddr {
    ([127, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7_000).into()
}

fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, a, b, c] = ip.octets();
            usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

impl Instances {
    /// Creates `count` instances in `zones` zones, none started. The first `seeds` of them are every
    /// instance's seeds.
    pub fn new(seed: u64, count: usize, zones: usize, seeds: usize, network: NetworkConfig) -> Instances {
        let node_config = NodeConfig { seeds: (0..seeds).map(address).collect(), ..NodeConfig::default() };
        let mut simulation = Instances {
            now: START_TIME,
            instances: Vec::new(),
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            sequence: 0,
            rng: fastrand::Rng::with_seed(seed),
            network,
            blocked_directions: HashSet::new(),
            node_config,
            writes: HashMap::new(),
            last_write: 0,
            answered_positions: HashMap::new(),
            answered_by: HashMap::new(),
            breaches: Vec::new(),
            totals: SessionTotals::default(),
            notices: Vec::new(),
            trace: DefaultHasher::new(),
            max_write_time: 0.05,
            replica_lag: 1.5,
            retain_notices: count <= 64,
        };
        for n in 0..count {
            let identity = Identity {
                name: format!("n{n}").into(),
                zone: format!("z{}", n % zones).into(),
                address: address(n),
                start: 0,
                renewal: 0,
            };
            let instance = SimulatedInstance {
                node: None,
                identity,
                incarnation: 0,
                paused: false,
                backlog: Vec::new(),
                next_tick_at: f64::INFINITY,
                disk: None,
            };
            simulation.instances.push(instance);
        }
        simulation
    }

    /// Gives each instance an empty disk.
    pub fn add_disks(&mut self) {
        self.instances.iter_mut().for_each(|instance| instance.disk = Some(Vec::new()));
    }

    /// Changes the configuration of the instances. An instance uses it from its next start.
    pub fn set_node_config(&mut self, change: impl Fn(&mut NodeConfig)) {
        change(&mut self.node_config);
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.scheduled.insert(self.sequence, event);
        self.queue.push(Reverse((EventOrder(at, self.sequence), self.sequence)));
    }

    /// Starts or restarts an instance.
    pub fn start(&mut self, n: usize) {
        let instance = &mut self.instances[n];
        let stored = instance.disk.as_deref().map(replication::disk::parse);
        instance.incarnation += 1;
        instance.identity.start =
            replication::disk::next_start(stored.as_ref(), self.now).max(instance.incarnation);
        instance.paused = false;
        instance.backlog.clear();
        let keys = Keys::parse([SHARED_KEY]).expect("a key");
        let seed = self.rng.u64(..);
        instance.node = Some(Node::new(
            instance.identity.clone(),
            keys,
            self.node_config.clone(),
            seed,
            self.now,
            stored,
        ));
        instance.next_tick_at = f64::INFINITY;
        self.process_output(n);
    }

    /// Kills an instance; its unanswered writes are lost.
    pub fn kill(&mut self, n: usize) {
        let instance = &mut self.instances[n];
        instance.node = None;
        instance.incarnation += 1;
        let incarnation = instance.incarnation;
        let lost = self.writes.values().filter(|w| w.instance == n && w.incarnation < incarnation).count();
        self.totals.lost += lost as u64;
        self.writes.retain(|_, w| w.instance != n || w.incarnation >= incarnation);
    }

    /// Shuts an instance down: waits up to 1 s for its writes to be answered, then lets it announce its leave
    /// for up to 0.3 s, until all others have acknowledged it.
    pub fn leave(&mut self, n: usize) {
        let started_at = self.now;
        while self.writes.values().any(|write| write.instance == n) && self.now - started_at < 1.0 {
            self.run(0.005);
        }
        if self.writes.values().any(|write| write.instance == n) || !self.is_running(n) {
            return self.kill(n);
        }
        let until = self.now + 0.3;
        while self.now < until && self.with_node(n, |node, now| node.leave(now)) == Some(false) {
            self.run(0.01);
        }
        self.kill(n);
    }

    /// Pauses an instance's process, as SIGSTOP does; it keeps its state.
    pub fn pause(&mut self, n: usize) {
        self.instances[n].paused = true;
    }

    /// Resumes a paused instance, which then receives the datagrams that arrived meanwhile.
    pub fn resume(&mut self, n: usize) {
        self.instances[n].paused = false;
        let backlog = std::mem::take(&mut self.instances[n].backlog);
        let now = self.now;
        if let Some(node) = &mut self.instances[n].node {
            backlog.iter().for_each(|bytes| node.receive(now, bytes));
        }
        self.instances[n].next_tick_at = f64::INFINITY;
        self.process_output(n);
        let waiting: Vec<u64> =
            self.writes.iter().filter(|(_, w)| w.instance == n).map(|(id, _)| *id).collect();
        waiting.into_iter().for_each(|id| self.schedule(now, Event::PollWrite(id)));
    }

    /// Blocks both directions between the given instances and all others, or unblocks them.
    pub fn set_partitioned(&mut self, indices: &[usize], partitioned: bool) {
        for a in 0..self.instances.len() {
            for b in 0..self.instances.len() {
                if indices.contains(&a) != indices.contains(&b) {
                    if partitioned {
                        self.blocked_directions.insert((a, b));
                    } else {
                        self.blocked_directions.remove(&(a, b));
                    }
                }
            }
        }
    }

    /// Returns true if an instance is started and not paused.
    pub fn is_running(&self, n: usize) -> bool {
        self.instances[n].node.is_some() && !self.instances[n].paused
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Returns true if there are no instances.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// The state machine of an instance that is started.
    pub fn node(&mut self, n: usize) -> Option<&mut Node> {
        self.instances[n].node.as_mut()
    }

    /// Calls an instance with the current time, then sends its datagrams. Returns None if it is not started.
    pub fn with_node<T>(&mut self, n: usize, call: impl FnOnce(&mut Node, f64) -> T) -> Option<T> {
        let now = self.now;
        let result = self.instances[n].node.as_mut().map(|node| call(node, now));
        self.process_output(n);
        result
    }

    /// Sends the datagrams, stores the records and schedules the timer that an instance asks for after a
    /// call.
    fn process_output(&mut self, n: usize) {
        let now = self.now;
        let incarnation = self.instances[n].incarnation;
        let Some(node) = self.instances[n].node.as_mut() else { return };
        let (datagrams, notices, due) = (node.take_datagrams(), node.take_notices(), node.next_due());
        let records = node.take_records();
        if let Some(disk) = &mut self.instances[n].disk {
            disk.extend(records.iter().flat_map(replication::disk::Record::encode));
        }
        if self.retain_notices {
            self.notices.extend(notices.into_iter().map(|notice| (now, n, notice)));
        }
        if due < self.instances[n].next_tick_at {
            self.instances[n].next_tick_at = due;
            self.schedule(due.max(now), Event::Tick(n, incarnation));
        }
        for (to, bytes) in datagrams {
            let to = index_of(to);
            (now.to_bits(), n, to, bytes.len()).hash(&mut self.trace);
            if to >= self.instances.len()
                || self.blocked_directions.contains(&(n, to))
                || self.rng.f64() < self.network.loss
            {
                continue;
            }
            let copies = 1 + usize::from(self.rng.f64() < self.network.duplication);
            let bytes = std::rc::Rc::new(bytes);
            for _ in 0..copies {
                let (min, max) = self.network.latency;
                let extra_delay = if self.rng.f64() < self.network.extra_delay.0 {
                    self.network.extra_delay.1
                } else {
                    0.0
                };
                let at = now + min + (max - min) * self.rng.f64() + extra_delay;
                self.schedule(at, Event::DatagramArrived { to, bytes: bytes.clone() });
            }
        }
    }

    /// Advances the clock (seconds).
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while let Some(Reverse((EventOrder(at, _), id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let Some(event) = self.scheduled.remove(&id) else { continue };
            self.run_event(event);
        }
        self.now = until;
    }

    fn run_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            // A datagram in transit while the instance restarts reaches the next incarnation, as on a real
            // port.
            Event::DatagramArrived { to, bytes } => {
                let instance = &mut self.instances[to];
                if instance.paused {
                    if instance.backlog.len() < 200 {
                        instance.backlog.push(bytes);
                    }
                } else if let Some(node) = &mut instance.node {
                    node.receive(now, &bytes);
                    self.process_output(to);
                }
            }
            Event::Tick(n, incarnation) => {
                let instance = &mut self.instances[n];
                if instance.incarnation != incarnation || instance.paused {
                    return;
                }
                if now < instance.next_tick_at {
                    return;
                }
                instance.next_tick_at = f64::INFINITY;
                if let Some(node) = &mut instance.node {
                    node.tick(now);
                }
                self.process_output(n);
            }
            Event::CommitWrite(id) => {
                // The member commits even while the instance is paused.
                if let Some(write) = self.writes.get_mut(&id) {
                    write.committed_at = Some(now);
                }
                self.schedule(now, Event::PollWrite(id));
            }
            Event::PollWrite(id) => self.poll_write(id),
        }
    }

    fn poll_write(&mut self, id: u64) {
        let now = self.now;
        let Some(write) = self.writes.get(&id) else { return };
        let (n, ticket, session, started_at) =
            (write.instance, write.ticket, write.session, write.started_at);
        if self.instances[n].paused || self.instances[n].incarnation != write.incarnation {
            return;
        }
        let (sent, committed_at, duration) = (write.sent, write.committed_at, write.duration);
        if !sent {
            let allowed = self.with_node(n, |node, now| node.may_send(now, ticket)).unwrap_or(false);
            if allowed {
                if let Some(write) = self.writes.get_mut(&id) {
                    write.sent = true;
                }
                self.schedule(now + duration, Event::CommitWrite(id));
            } else if now - started_at > MAX_SEND_WAIT {
                self.with_node(n, |node, now| node.forget(now, ticket));
                self.writes.remove(&id);
                self.totals.refused += 1;
            } else {
                self.schedule(now + 0.001, Event::PollWrite(id));
            }
            return;
        }
        let Some(position) = committed_at else { return };
        self.with_node(n, |node, now| node.end_write(now, ticket, Some(position)));
        let allowed = self.with_node(n, |node, now| node.may_answer(now, ticket)).unwrap_or(false);
        if !allowed {
            self.schedule(now + 0.001, Event::PollWrite(id));
            return;
        }
        self.with_node(n, |node, now| node.forget(now, ticket));
        self.writes.remove(&id);
        self.totals.answered += 1;
        self.totals.waited += u64::from(now - started_at > duration + 0.005);
        let known = self.answered_positions.entry(session).or_insert(position);
        if position >= *known {
            *known = position;
            self.answered_by.insert(session, (n, self.instances[n].incarnation, now - START_TIME));
        }
    }

    /// Starts a write of a session through an instance. Does nothing if the instance does not run.
    pub fn write(&mut self, n: usize, session: usize) {
        if !self.is_running(n) {
            return;
        }
        self.last_write += 1;
        let (id, now) = (self.last_write, self.now);
        let name = format!("s{session}");
        let Some(ticket) = self.with_node(n, |node, now| node.begin_write(now, &name)) else { return };
        let duration = self.rng.f64() * self.max_write_time;
        let incarnation = self.instances[n].incarnation;
        let write = Write {
            instance: n,
            incarnation,
            ticket,
            session,
            started_at: now,
            sent: false,
            duration,
            committed_at: None,
        };
        self.writes.insert(id, write);
        self.schedule(now, Event::PollWrite(id));
    }

    /// Reads through an instance, and records a breach if the read may start before the session's latest
    /// answered write.
    pub fn read(&mut self, n: usize, session: usize) {
        if !self.is_running(n) {
            return;
        }
        let name = format!("s{session}");
        let answered_position = self.answered_positions.get(&session).copied().unwrap_or(f64::NEG_INFINITY);
        let Some(requirement) = self.with_node(n, |node, now| node.read_requirement(now, &name)) else {
            return;
        };
        self.totals.reads += 1;
        if let ReadRequirement::AtLeast(position) = requirement {
            if position < answered_position {
                self.totals.stale += 1;
                let answered_by = self.answered_by.get(&session).copied();
                let known = self.instances[n].node.as_ref().map(|node| node.explain(self.now, &name));
                self.breaches.push(format!(
                    "{:.4}: n{n} reads {name} from {position:.4}, answered {answered_position:.4} by {answered_by:?}: {known:?}",
                    self.now - START_TIME
                ));
            }
            self.totals.servable_by_replica += u64::from(position <= self.now - self.replica_lag);
        }
    }

    /// Time since the commit of a session's latest answered write (seconds).
    pub fn time_since_write(&self, session: usize) -> f64 {
        self.now - self.answered_positions.get(&session).copied().unwrap_or(f64::NEG_INFINITY)
    }

    /// Returns true if all running instances hold the same facts.
    pub fn is_converged(&mut self) -> bool {
        let running: Vec<usize> = (0..self.instances.len()).filter(|n| self.is_running(*n)).collect();
        let mut digests = running.iter().filter_map(|n| self.instances[*n].node.as_ref().map(Node::digest));
        let Some(first) = digests.next() else { return true };
        digests.all(|digest| digest == first)
    }

    /// Bytes sent by all instances, and the bytes among them that went to other zones.
    pub fn sent_bytes(&self) -> (u64, u64) {
        let counts = self.instances.iter().filter_map(|instance| instance.node.as_ref()).map(Node::counts);
        counts.fold((0, 0), |sum, counts| (sum.0 + counts.sent_bytes, sum.1 + counts.far_bytes))
    }

    /// Hash of all datagrams sent (time, instances, length): equal for two runs with the same seed.
    pub fn trace(&self) -> u64 {
        self.trace.finish()
    }

    /// Counts the notices by the kind that `kind_of` returns.
    pub fn count_notices(
        &self,
        kind_of: impl Fn(&Notice) -> Option<&'static str>,
    ) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for kind in self.notices.iter().filter_map(|(_, _, notice)| kind_of(notice)) {
            *counts.entry(kind).or_insert(0) += 1;
        }
        counts
    }
}
