//! Poolers and control instances on a virtual network with faults, each with its own clock; a primary whose
//! commits define positions, and a replica that lags. Compares what a session's read would see with what the
//! session was answered before.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use directory::{
    Client, ControlInstance, Millis, Placement, PrimaryReason, ProcessId, ReadRequirement, Replica,
    SessionKey, Ticket, Timing, WriteOutcome,
};
use replication::Keys;

/// The key that all processes share.
pub const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Unix time at the start (µs).
pub const START_TIME: u64 = 1_000_000_000_000;
/// Bytes that IP and UDP add to a datagram.
pub const UDP_OVERHEAD: u64 = 28;

/// Size and timing of a simulated world.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    pub poolers: usize,
    pub control_instances: usize,
    pub group_size: usize,
    /// Timing of poolers and of control instances; they differ only where a test injects a fault.
    pub timing: Timing,
    pub instance_timing: Timing,
    /// The rate by which a clock runs fast and slow in turn, and the largest offset (ms), at which it turns.
    pub clock_rate: f64,
    pub clock_offset: Millis,
}

impl Default for WorldConfig {
    fn default() -> WorldConfig {
        WorldConfig {
            poolers: 4,
            control_instances: 5,
            group_size: 3,
            timing: Timing::default(),
            instance_timing: Timing::default(),
            clock_rate: 0.0,
            clock_offset: 0,
        }
    }
}

/// Faults and latency of the network.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConfig {
    /// Shares of datagrams that are lost, duplicated and delayed.
    pub loss: f64,
    pub duplication: f64,
    pub delayed_share: f64,
    /// Shortest and longest latency, and the longest extra delay of a delayed datagram (µs).
    pub latency: (u64, u64),
    pub max_extra_delay: u64,
}

impl Default for NetworkConfig {
    fn default() -> NetworkConfig {
        NetworkConfig {
            loss: 0.0,
            duplication: 0.0,
            delayed_share: 0.0,
            latency: (200, 1_000),
            max_extra_delay: 400_000,
        }
    }
}

/// Results of reads and writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionTotals {
    /// All reads, and reads of sessions whose last write was answered by another pooler.
    pub reads: u64,
    pub moved: u64,
    /// Reads that the replica served, of all and of those of moved sessions.
    pub from_replica: u64,
    pub moved_from_replica: u64,
    /// Reads that saw less than an answered write of their session.
    pub stale: u64,
    /// Writes that were answered, refused before they were sent, and sent but not answered.
    pub answered: u64,
    pub refused: u64,
    pub unanswered: u64,
}

/// Datagrams and bytes that a process sent and received, and the time spent in it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub busy: Duration,
}

enum Process {
    Pooler(Box<Client>),
    Control(Box<Replica>),
}

struct ProcessSlot {
    process: Option<Process>,
    generation: u64,
    paused: bool,
    backlog: Vec<(SocketAddr, std::rc::Rc<Vec<u8>>)>,
    /// Phase of its clock's drift, from 0 to 1.
    clock_phase: f64,
    due_at: u64,
    cost: Cost,
}

enum Event {
    Arrive { to: usize, from: SocketAddr, bytes: std::rc::Rc<Vec<u8>> },
    Timer(usize),
    Poll(u64),
    Commit(u64),
}

struct Write {
    at: usize,
    generation: u64,
    session: usize,
    ticket: Ticket,
    started_at: u64,
    sent: Option<u64>,
    committed: Option<u64>,
}

/// Time between two checks of a pending write, and the time after which an unsent write is refused (µs).
const POLL_INTERVAL: u64 = 5_000;
const MAX_HOLD: u64 = 400_000;
/// Time limit of a client's write (µs).
const WRITE_TIMEOUT: u64 = 2_500_000;

/// All processes, the network, the sessions and the databases.
pub struct World {
    /// Present Unix time (µs).
    pub now: u64,
    pub network: NetworkConfig,
    /// Blocked directions, as (sender, receiver).
    pub blocked_directions: HashSet<(usize, usize)>,
    pub totals: SessionTotals,
    /// Lag of the replica, and the usual longest time of a write (µs).
    pub replica_lag: u64,
    pub max_write_time: u64,
    /// Whether the time spent in processes is measured.
    pub measure: bool,
    config: WorldConfig,
    placement: Placement,
    slots: Vec<ProcessSlot>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, Event>,
    last_event: u64,
    rng: fastrand::Rng,
    writes: HashMap<u64, Write>,
    last_write: u64,
    /// By session: the latest answered position, and the slot of the pooler that answered.
    answered: HashMap<usize, (u64, usize)>,
}

fn address(slot: usize) -> SocketAddr {
    ([10, (slot >> 16) as u8, (slot >> 8) as u8, slot as u8], 7_000).into()
}

fn slot_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, a, b, c] = ip.octets();
            usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

pub fn keys() -> Keys {
    Keys::parse([KEY]).expect("a key")
}

pub fn session_key(session: usize) -> SessionKey {
    SessionKey::new(&format!("session-{session}"))
}

pub fn control_instances(count: usize) -> Vec<ControlInstance> {
    let instance =
        |n| ControlInstance { name: format!("c{n}"), region: format!("r{}", n % 3), address: address(n) };
    (0..count).map(instance).collect()
}

impl World {
    /// Creates a world in which nothing runs yet. Control instances have the first slots, poolers the
    /// following ones.
    pub fn new(seed: u64, config: WorldConfig, network: NetworkConfig) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let placement =
            Placement::new(control_instances(config.control_instances), config.group_size, &config.timing)
                .expect("a placement");
        let slots = (0..config.control_instances + config.poolers)
            .map(|_| ProcessSlot {
                process: None,
                generation: 0,
                paused: false,
                backlog: Vec::new(),
                clock_phase: rng.f64(),
                due_at: u64::MAX,
                cost: Cost::default(),
            })
            .collect();
        World {
            now: START_TIME,
            network,
            blocked_directions: HashSet::new(),
            totals: SessionTotals::default(),
            replica_lag: 1_500_000,
            max_write_time: 50_000,
            measure: false,
            placement,
            config,
            slots,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            last_event: 0,
            rng,
            writes: HashMap::new(),
            last_write: 0,
            answered: HashMap::new(),
        }
    }

    /// The slot of a pooler.
    pub fn pooler(&self, n: usize) -> usize {
        self.config.control_instances + n
    }

    pub fn control_instances(&self) -> usize {
        self.config.control_instances
    }

    pub fn poolers(&self) -> usize {
        self.config.poolers
    }

    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    pub fn cost(&self, slot: usize) -> Cost {
        self.slots[slot].cost
    }

    pub fn reset_costs(&mut self) {
        self.slots.iter_mut().for_each(|slot| slot.cost = Cost::default());
    }

    /// The clock of a process (ms).
    pub fn clock(&self, slot: usize) -> Millis {
        let WorldConfig { clock_rate, clock_offset, .. } = self.config;
        let largest = 1_000.0 * clock_offset as f64;
        let clock_phase = self.slots[slot].clock_phase;
        let passed =
            if largest > 0.0 { (self.now - START_TIME) as f64 * clock_rate / (4.0 * largest) } else { 0.0 };
        let cycle = (passed + clock_phase).fract();
        // A triangle wave between -1 and 1.
        let swing = 1.0 - 4.0 * (cycle - 0.5).abs();
        self.now.saturating_add_signed((swing * largest) as i64) / 1_000
    }

    pub fn start(&mut self, slot: usize) {
        let now = self.clock(slot);
        let generation = self.slots[slot].generation + 1;
        let incarnation = self.now / 1_000 * 10 + generation % 10;
        let process = if slot < self.config.control_instances {
            let me = ProcessId::new(&format!("c{slot}"), incarnation);
            let replica = Replica::new(me, keys(), self.config.instance_timing, self.placement.clone(), now);
            Process::Control(Box::new(replica.expect("a member")))
        } else {
            let me = ProcessId::new(&format!("p{slot}"), incarnation);
            let placement = self.placement.clone();
            Process::Pooler(Box::new(Client::new(
                me,
                address(slot),
                keys(),
                self.config.timing,
                placement,
                now,
            )))
        };
        let process_slot = &mut self.slots[slot];
        (process_slot.process, process_slot.generation, process_slot.paused) =
            (Some(process), generation, false);
        process_slot.backlog.clear();
        process_slot.due_at = u64::MAX;
        self.advance_process(slot);
    }

    /// Starts all processes and runs until they have leases.
    pub fn start_all(&mut self) {
        (0..self.slots.len()).for_each(|slot| self.start(slot));
        let silence = self.config.instance_timing.startup_silence();
        self.run(1_000 * (silence + 2 * self.config.timing.heartbeat + 500));
    }

    pub fn kill(&mut self, slot: usize) {
        self.slots[slot].process = None;
        self.slots[slot].generation += 1;
        let generation = self.slots[slot].generation;
        let lost = self
            .writes
            .values()
            .filter(|w| w.at == slot && w.generation < generation && w.sent.is_some())
            .count();
        self.totals.unanswered += lost as u64;
        self.writes.retain(|_, write| write.at != slot || write.generation >= generation);
    }

    pub fn pause(&mut self, slot: usize) {
        self.slots[slot].paused = true;
    }

    pub fn resume(&mut self, slot: usize) {
        self.slots[slot].paused = false;
        for (from, bytes) in std::mem::take(&mut self.slots[slot].backlog) {
            self.deliver(slot, from, &bytes);
        }
        self.advance_process(slot);
        let waiting: Vec<u64> =
            self.writes.iter().filter(|(_, write)| write.at == slot).map(|(id, _)| *id).collect();
        waiting.into_iter().for_each(|id| self.schedule(self.now, Event::Poll(id)));
    }

    pub fn is_running(&self, slot: usize) -> bool {
        self.slots[slot].process.is_some() && !self.slots[slot].paused
    }

    pub fn is_alive(&self, slot: usize) -> bool {
        self.slots[slot].process.is_some()
    }

    /// Blocks all traffic of a process, or only what it sends.
    pub fn isolate(&mut self, slot: usize, both_ways: bool) {
        for other in (0..self.slots.len()).filter(|other| *other != slot) {
            self.blocked_directions.insert((slot, other));
            if both_ways {
                self.blocked_directions.insert((other, slot));
            }
        }
    }

    pub fn rejoin(&mut self, slot: usize) {
        self.blocked_directions.retain(|(from, to)| *from != slot && *to != slot);
    }

    /// Calls a pooler, if it is running.
    pub fn with_client<T>(&mut self, slot: usize, what: impl FnOnce(&mut Client, Millis) -> T) -> Option<T> {
        if !self.is_running(slot) {
            return None;
        }
        let now = self.clock(slot);
        let started_at = self.measure.then(Instant::now);
        let result = match &mut self.slots[slot].process {
            Some(Process::Pooler(client)) => what(client, now),
            _ => return None,
        };
        self.slots[slot].cost.busy += started_at.map_or(Duration::ZERO, |started_at| started_at.elapsed());
        self.advance_process(slot);
        Some(result)
    }

    pub fn client(&self, slot: usize) -> Option<&Client> {
        match &self.slots[slot].process {
            Some(Process::Pooler(client)) => Some(client),
            _ => None,
        }
    }

    pub fn replica(&self, slot: usize) -> Option<&Replica> {
        match &self.slots[slot].process {
            Some(Process::Control(replica)) => Some(replica),
            _ => None,
        }
    }

    /// Runs for `time` microseconds.
    pub fn run(&mut self, time: u64) {
        let until = self.now + time;
        while let Some(Reverse((at, event_id))) =
            self.events.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.events.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.pending.remove(&event_id) {
                self.handle_event(event);
            }
        }
        self.now = until;
    }

    /// Like [`World::read`], but waits for the session to be owned, for at most `timeout` (µs).
    pub fn read_when_owned(&mut self, pooler: usize, session: usize, timeout: u64) -> Option<bool> {
        let until = self.now + timeout;
        let slot = self.pooler(pooler);
        let waits = |requirement: ReadRequirement| {
            matches!(
                requirement,
                ReadRequirement::Primary(PrimaryReason::Claiming | PrimaryReason::FormerOwner)
            )
        };
        while self.now < until
            && self
                .with_client(slot, |client, now| client.read_requirement(now, session_key(session)))
                .is_some_and(waits)
        {
            self.run(500);
        }
        self.read(pooler, session)
    }

    /// Reads a session through a pooler. Returns whether the replica served the read; none if the pooler is
    /// not running.
    pub fn read(&mut self, pooler: usize, session: usize) -> Option<bool> {
        let slot = self.pooler(pooler);
        let requirement =
            self.with_client(slot, |client, now| client.read_requirement(now, session_key(session)))?;
        let replica_at = self.now - self.replica_lag;
        let from_replica =
            matches!(requirement, ReadRequirement::AtLeast(position) if 1_000 * position <= replica_at);
        let answered = self.answered.get(&session).copied();
        let moved = answered.is_some_and(|(_, by)| by != slot);
        self.totals.reads += 1;
        self.totals.moved += u64::from(moved);
        self.totals.from_replica += u64::from(from_replica);
        self.totals.moved_from_replica += u64::from(from_replica && moved);
        if from_replica && answered.is_some_and(|(position, _)| position > replica_at) {
            self.totals.stale += 1;
        }
        Some(from_replica)
    }

    /// Writes a session through a pooler.
    pub fn write(&mut self, pooler: usize, session: usize) {
        let slot = self.pooler(pooler);
        let begins =
            |client: &mut Client, now| client.begin_write(now, session_key(session), WRITE_TIMEOUT / 1_000);
        let Some(Some(ticket)) = self.with_client(slot, begins) else { return };
        self.last_write += 1;
        let (id, generation) = (self.last_write, self.slots[slot].generation);
        let write = Write {
            at: slot,
            generation,
            session,
            ticket,
            started_at: self.now,
            sent: None,
            committed: None,
        };
        self.writes.insert(id, write);
        self.poll_write(id);
    }

    fn poll_write(&mut self, id: u64) {
        let Some(write) = self.writes.get(&id) else { return };
        let Write { at, session, ticket, started_at, sent, committed, .. } = *write;
        if !self.is_running(at) {
            return;
        }
        let timed_out = self.now >= started_at + WRITE_TIMEOUT;
        if let Some(position) = committed {
            if self.with_client(at, |client, now| client.may_answer(now, ticket)) == Some(true) && !timed_out
            {
                self.totals.answered += 1;
                let known = self.answered.entry(session).or_insert((0, at));
                if position >= known.0 {
                    *known = (position, at);
                }
                return self.finish(id);
            }
        } else if sent.is_none() {
            if self.now >= started_at + MAX_HOLD {
                self.totals.refused += 1;
                return self.finish(id);
            }
            if self.with_client(at, |client, now| client.may_send(now, ticket)) == Some(true) {
                // Some writes commit late, up to the longest time that a write may take.
                let longest = started_at + WRITE_TIMEOUT - self.now;
                let max_time =
                    if self.rng.u8(..20) == 0 { longest } else { self.max_write_time.min(longest) };
                let write_time = self.rng.u64(1..=max_time);
                if let Some(write) = self.writes.get_mut(&id) {
                    write.sent = Some(self.now);
                }
                self.schedule(self.now + write_time, Event::Commit(id));
            }
        }
        if timed_out {
            self.totals.unanswered += 1;
            return self.finish(id);
        }
        self.schedule(self.now + POLL_INTERVAL, Event::Poll(id));
    }

    fn commit(&mut self, id: u64) {
        let Some(write) = self.writes.get(&id) else { return };
        let (at, ticket, position) = (write.at, write.ticket, self.now);
        if !self.is_running(at) {
            // The database's answer waits for the paused pooler.
            return self.schedule(self.now + POLL_INTERVAL, Event::Commit(id));
        }
        // Rounded up, so that a position in whole milliseconds covers the commit.
        let reported = position.div_ceil(1_000);
        if self.rng.u8(..50) == 0 {
            // The database's answer is lost.
            self.with_client(at, |client, now| client.end_write(now, ticket, WriteOutcome::InDoubt));
            self.totals.unanswered += 1;
            return self.finish(id);
        }
        self.with_client(at, |client, now| client.end_write(now, ticket, WriteOutcome::Committed(reported)));
        if let Some(write) = self.writes.get_mut(&id) {
            write.committed = Some(position);
        }
        self.poll_write(id);
    }

    fn finish(&mut self, id: u64) {
        if let Some(write) = self.writes.remove(&id) {
            self.with_client(write.at, |client, now| client.forget(now, write.ticket));
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.pending.insert(self.last_event, event);
        self.events.push(Reverse((at, self.last_event)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive { to, from, bytes } => {
                if self.slots[to].paused {
                    if self.slots[to].backlog.len() < 4_096 {
                        self.slots[to].backlog.push((from, bytes));
                    }
                } else {
                    self.deliver(to, from, &bytes);
                    self.advance_process(to);
                }
            }
            Event::Timer(slot) => {
                if self.slots[slot].due_at <= self.now {
                    self.slots[slot].due_at = u64::MAX;
                    self.advance_process(slot);
                }
            }
            Event::Poll(id) => self.poll_write(id),
            Event::Commit(id) => self.commit(id),
        }
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.clock(to);
        let slot = &mut self.slots[to];
        slot.cost.received += 1;
        slot.cost.received_bytes += bytes.len() as u64 + UDP_OVERHEAD;
        let started_at = self.measure.then(Instant::now);
        // The process counts dropped datagrams itself.
        let _ = match &mut slot.process {
            Some(Process::Pooler(client)) => client.receive(now, from, bytes),
            Some(Process::Control(replica)) => replica.receive(now, from, bytes),
            None => Ok(()),
        };
        slot.cost.busy += started_at.map_or(Duration::ZERO, |started_at| started_at.elapsed());
    }

    /// Carries out what a process has pending: its timers and its outgoing datagrams.
    fn advance_process(&mut self, slot: usize) {
        if !self.is_running(slot) {
            return;
        }
        let now = self.clock(slot);
        let started_at = self.measure.then(Instant::now);
        let process_slot = &mut self.slots[slot];
        let (out, due) = match &mut process_slot.process {
            Some(Process::Pooler(client)) => {
                client.tick(now);
                (client.take_datagrams(), client.next_due())
            }
            Some(Process::Control(replica)) => {
                replica.tick(now);
                (replica.take_datagrams(), replica.next_due())
            }
            None => return,
        };
        process_slot.cost.busy += started_at.map_or(Duration::ZERO, |started_at| started_at.elapsed());
        out.into_iter().for_each(|(to, bytes)| self.send(slot, to, bytes));
        if due != Millis::MAX {
            let wait = due.saturating_sub(now).max(1) as f64 * 1_000.0;
            let at = self.now + wait as u64 + 1;
            if at < self.slots[slot].due_at {
                self.slots[slot].due_at = at;
                self.schedule(at, Event::Timer(slot));
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let cost = &mut self.slots[from].cost;
        cost.sent += 1;
        cost.sent_bytes += bytes.len() as u64 + UDP_OVERHEAD;
        assert!(
            bytes.len() <= directory::timing::bounds::MAX_DATAGRAM_BYTES,
            "a datagram of {} bytes",
            bytes.len()
        );
        let to = slot_of(to);
        if to >= self.slots.len()
            || self.blocked_directions.contains(&(from, to))
            || self.rng.f64() < self.network.loss
        {
            return;
        }
        let bytes = std::rc::Rc::new(bytes);
        let copies = 1 + usize::from(self.rng.f64() < self.network.duplication);
        for _ in 0..copies {
            let (shortest, longest) = self.network.latency;
            let mut latency = self.rng.u64(shortest..=longest);
            if self.rng.f64() < self.network.delayed_share {
                latency += self.rng.u64(..=self.network.max_extra_delay);
            }
            let arrive = Event::Arrive { to, from: address(from), bytes: bytes.clone() };
            self.schedule(self.now + latency, arrive);
        }
    }
}
