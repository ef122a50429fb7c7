//! Poolers and control instances on a virtual network with faults, each with a clock of its own; a primary whose commits
//! are positions, and a replica that lags. What a session's read would see is held against what the session was answered.
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

/// The key of all processes.
pub const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Unix time at the beginning (µs).
pub const BEGIN: u64 = 1_000_000_000_000;
/// Bytes that IP and UDP add to a datagram.
pub const UDP_OVERHEAD: u64 = 28;

/// What is built.
#[derive(Clone, Debug)]
pub struct Shape {
    pub poolers: usize,
    pub machines: usize,
    pub group_size: usize,
    /// What poolers go by, and what control instances do: the same but where a fault is planted.
    pub terms: Timing,
    pub machine_terms: Timing,
    /// The part by which a clock is faster, then slower, and the offset (ms) at which it turns.
    pub clock_rate: f64,
    pub clock_offset: Millis,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            poolers: 4,
            machines: 5,
            group_size: 3,
            terms: Timing::default(),
            machine_terms: Timing::default(),
            clock_rate: 0.0,
            clock_offset: 0,
        }
    }
}

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// Shares that are lost, come twice, and are late.
    pub loss: f64,
    pub twice: f64,
    pub late: f64,
    /// Shortest and longest way, and how much longer a late one takes at the most (µs).
    pub way: (u64, u64),
    pub lateness: u64,
}

impl Default for Net {
    fn default() -> Net {
        Net { loss: 0.0, twice: 0.0, late: 0.0, way: (200, 1_000), lateness: 400_000 }
    }
}

/// What has come of reads and writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Reads, and those of sessions whose last write was answered by another pooler.
    pub reads: u64,
    pub moved: u64,
    /// Of all and of the moved ones, those that the replica served.
    pub near: u64,
    pub moved_near: u64,
    /// Reads that saw less than their session was answered.
    pub stale: u64,
    /// Writes answered, refused before they were sent, and sent without an answer.
    pub answered: u64,
    pub refused: u64,
    pub unanswered: u64,
}

/// What a process has sent and received, and the time spent in it.
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

struct Seat {
    process: Option<Process>,
    life: u64,
    stopped: bool,
    backlog: Vec<(SocketAddr, std::rc::Rc<Vec<u8>>)>,
    /// Where its clock is between its turns, from 0 to 1.
    phase: f64,
    due_at: u64,
    cost: Cost,
}

enum Event {
    Arrive { to: usize, from: SocketAddr, bytes: std::rc::Rc<Vec<u8>> },
    Due(usize),
    Poll(u64),
    Commit(u64),
}

struct Write {
    at: usize,
    life: u64,
    session: usize,
    ticket: Ticket,
    begun: u64,
    sent: Option<u64>,
    committed: Option<u64>,
}

/// A write is polled so often (µs), and refused unsent after so long (µs).
const POLL: u64 = 5_000;
const HOLD: u64 = 400_000;
/// Time that a client gives a write (µs).
const PATIENCE: u64 = 2_500_000;

/// All processes, the network, the sessions and the databases.
pub struct World {
    /// Now (Unix µs).
    pub now: u64,
    pub net: Net,
    /// Directions that are cut.
    pub cut: HashSet<(usize, usize)>,
    pub tally: Tally,
    /// How far the replica is behind (µs), and how long a write takes at the most (µs).
    pub lag: u64,
    pub work: u64,
    /// Whether the time spent in processes is measured.
    pub measure: bool,
    shape: Shape,
    placement: Placement,
    seats: Vec<Seat>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, Event>,
    order: u64,
    rng: fastrand::Rng,
    writes: HashMap<u64, Write>,
    last_write: u64,
    /// By session: the latest position that was answered, and by whom.
    answered: HashMap<usize, (u64, usize)>,
}

fn address(seat: usize) -> SocketAddr {
    ([10, (seat >> 16) as u8, (seat >> 8) as u8, seat as u8], 7_000).into()
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

pub fn keys() -> Keys {
    Keys::parse([KEY]).expect("a key")
}

pub fn session_key(session: usize) -> SessionKey {
    SessionKey::new(&format!("session-{session}"))
}

pub fn machines(count: usize) -> Vec<ControlInstance> {
    let machine =
        |n| ControlInstance { name: format!("c{n}"), region: format!("r{}", n % 3), address: address(n) };
    (0..count).map(machine).collect()
}

impl World {
    /// Nothing runs yet. The control instances have the first seats, the poolers those after.
    pub fn new(seed: u64, shape: Shape, net: Net) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let placement =
            Placement::new(machines(shape.machines), shape.group_size, &shape.terms).expect("a placement");
        let seats = (0..shape.machines + shape.poolers)
            .map(|_| Seat {
                process: None,
                life: 0,
                stopped: false,
                backlog: Vec::new(),
                phase: rng.f64(),
                due_at: u64::MAX,
                cost: Cost::default(),
            })
            .collect();
        World {
            now: BEGIN,
            net,
            cut: HashSet::new(),
            tally: Tally::default(),
            lag: 1_500_000,
            work: 50_000,
            measure: false,
            placement,
            shape,
            seats,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            order: 0,
            rng,
            writes: HashMap::new(),
            last_write: 0,
            answered: HashMap::new(),
        }
    }

    /// The seat of a pooler.
    pub fn pooler(&self, n: usize) -> usize {
        self.shape.machines + n
    }

    pub fn machines(&self) -> usize {
        self.shape.machines
    }

    pub fn poolers(&self) -> usize {
        self.shape.poolers
    }

    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    pub fn cost(&self, seat: usize) -> Cost {
        self.seats[seat].cost
    }

    pub fn reset_costs(&mut self) {
        self.seats.iter_mut().for_each(|seat| seat.cost = Cost::default());
    }

    /// The clock of a seat (ms).
    pub fn clock(&self, seat: usize) -> Millis {
        let Shape { clock_rate, clock_offset, .. } = self.shape;
        let largest = 1_000.0 * clock_offset as f64;
        let phase = self.seats[seat].phase;
        let passed =
            if largest > 0.0 { (self.now - BEGIN) as f64 * clock_rate / (4.0 * largest) } else { 0.0 };
        let turn = (passed + phase).fract();
        // A triangle between -1 and 1.
        let swing = 1.0 - 4.0 * (turn - 0.5).abs();
        self.now.saturating_add_signed((swing * largest) as i64) / 1_000
    }

    pub fn start(&mut self, seat: usize) {
        let now = self.clock(seat);
        let life = self.seats[seat].life + 1;
        let incarnation = self.now / 1_000 * 10 + life % 10;
        let process = if seat < self.shape.machines {
            let me = ProcessId::new(&format!("c{seat}"), incarnation);
            let replica = Replica::new(me, keys(), self.shape.machine_terms, self.placement.clone(), now);
            Process::Control(Box::new(replica.expect("a member")))
        } else {
            let me = ProcessId::new(&format!("p{seat}"), incarnation);
            let placement = self.placement.clone();
            Process::Pooler(Box::new(Client::new(
                me,
                address(seat),
                keys(),
                self.shape.terms,
                placement,
                now,
            )))
        };
        let place = &mut self.seats[seat];
        (place.process, place.life, place.stopped) = (Some(process), life, false);
        place.backlog.clear();
        place.due_at = u64::MAX;
        self.after(seat);
    }

    /// Starts all, and lets them meet.
    pub fn start_all(&mut self) {
        (0..self.seats.len()).for_each(|seat| self.start(seat));
        let silence = self.shape.machine_terms.startup_silence();
        self.run(1_000 * (silence + 2 * self.shape.terms.heartbeat + 500));
    }

    pub fn kill(&mut self, seat: usize) {
        self.seats[seat].process = None;
        self.seats[seat].life += 1;
        let life = self.seats[seat].life;
        let lost = self.writes.values().filter(|w| w.at == seat && w.life < life && w.sent.is_some()).count();
        self.tally.unanswered += lost as u64;
        self.writes.retain(|_, write| write.at != seat || write.life >= life);
    }

    pub fn stop(&mut self, seat: usize) {
        self.seats[seat].stopped = true;
    }

    pub fn go_on(&mut self, seat: usize) {
        self.seats[seat].stopped = false;
        for (from, bytes) in std::mem::take(&mut self.seats[seat].backlog) {
            self.deliver(seat, from, &bytes);
        }
        self.after(seat);
        let waiting: Vec<u64> =
            self.writes.iter().filter(|(_, write)| write.at == seat).map(|(id, _)| *id).collect();
        waiting.into_iter().for_each(|id| self.schedule(self.now, Event::Poll(id)));
    }

    pub fn runs(&self, seat: usize) -> bool {
        self.seats[seat].process.is_some() && !self.seats[seat].stopped
    }

    pub fn is_alive(&self, seat: usize) -> bool {
        self.seats[seat].process.is_some()
    }

    /// Cuts a seat off from all others, or only one way: what it sends.
    pub fn isolate(&mut self, seat: usize, both_ways: bool) {
        for other in (0..self.seats.len()).filter(|other| *other != seat) {
            self.cut.insert((seat, other));
            if both_ways {
                self.cut.insert((other, seat));
            }
        }
    }

    pub fn rejoin(&mut self, seat: usize) {
        self.cut.retain(|(from, to)| *from != seat && *to != seat);
    }

    /// Has a pooler do something, if it runs.
    pub fn with<T>(&mut self, seat: usize, what: impl FnOnce(&mut Client, Millis) -> T) -> Option<T> {
        if !self.runs(seat) {
            return None;
        }
        let now = self.clock(seat);
        let begun = self.measure.then(Instant::now);
        let done = match &mut self.seats[seat].process {
            Some(Process::Pooler(client)) => what(client, now),
            _ => return None,
        };
        self.seats[seat].cost.busy += begun.map_or(Duration::ZERO, |begun| begun.elapsed());
        self.after(seat);
        Some(done)
    }

    pub fn client(&self, seat: usize) -> Option<&Client> {
        match &self.seats[seat].process {
            Some(Process::Pooler(client)) => Some(client),
            _ => None,
        }
    }

    pub fn replica(&self, seat: usize) -> Option<&Replica> {
        match &self.seats[seat].process {
            Some(Process::Control(replica)) => Some(replica),
            _ => None,
        }
    }

    /// Lets so many microseconds pass.
    pub fn run(&mut self, time: u64) {
        let until = self.now + time;
        while let Some(Reverse((at, order))) =
            self.events.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.events.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.pending.remove(&order) {
                self.happen(event);
            }
        }
        self.now = until;
    }

    /// The same, but the read waits for its session to be owned, for so long at the most (µs).
    pub fn read_patiently(&mut self, pooler: usize, session: usize, patience: u64) -> Option<bool> {
        let until = self.now + patience;
        let seat = self.pooler(pooler);
        let waits = |need: ReadRequirement| {
            matches!(need, ReadRequirement::Primary(PrimaryReason::Claiming | PrimaryReason::FormerOwner))
        };
        while self.now < until
            && self
                .with(seat, |client, now| client.read_requirement(now, session_key(session)))
                .is_some_and(waits)
        {
            self.run(500);
        }
        self.read(pooler, session)
    }

    /// A session reads through a pooler. Whether the replica served it; none where the pooler does not run.
    pub fn read(&mut self, pooler: usize, session: usize) -> Option<bool> {
        let seat = self.pooler(pooler);
        let need = self.with(seat, |client, now| client.read_requirement(now, session_key(session)))?;
        let replica_at = self.now - self.lag;
        let near = matches!(need, ReadRequirement::AtLeast(position) if 1_000 * position <= replica_at);
        let answered = self.answered.get(&session).copied();
        let moved = answered.is_some_and(|(_, by)| by != seat);
        self.tally.reads += 1;
        self.tally.moved += u64::from(moved);
        self.tally.near += u64::from(near);
        self.tally.moved_near += u64::from(near && moved);
        if near && answered.is_some_and(|(position, _)| position > replica_at) {
            self.tally.stale += 1;
        }
        Some(near)
    }

    /// A session writes through a pooler.
    pub fn write(&mut self, pooler: usize, session: usize) {
        let seat = self.pooler(pooler);
        let begins =
            |client: &mut Client, now| client.begin_write(now, session_key(session), PATIENCE / 1_000);
        let Some(Some(ticket)) = self.with(seat, begins) else { return };
        self.last_write += 1;
        let (id, life) = (self.last_write, self.seats[seat].life);
        let write = Write { at: seat, life, session, ticket, begun: self.now, sent: None, committed: None };
        self.writes.insert(id, write);
        self.poll(id);
    }

    fn poll(&mut self, id: u64) {
        let Some(write) = self.writes.get(&id) else { return };
        let Write { at, session, ticket, begun, sent, committed, .. } = *write;
        if !self.runs(at) {
            return;
        }
        let over = self.now >= begun + PATIENCE;
        if let Some(position) = committed {
            if self.with(at, |client, now| client.may_answer(now, ticket)) == Some(true) && !over {
                self.tally.answered += 1;
                let known = self.answered.entry(session).or_insert((0, at));
                if position >= known.0 {
                    *known = (position, at);
                }
                return self.finish(id);
            }
        } else if sent.is_none() {
            if self.now >= begun + HOLD {
                self.tally.refused += 1;
                return self.finish(id);
            }
            if self.with(at, |client, now| client.may_send(now, ticket)) == Some(true) {
                // Some commit late, up to the longest time that a write may take.
                let longest = begun + PATIENCE - self.now;
                let work = if self.rng.u8(..20) == 0 { longest } else { self.work.min(longest) };
                let takes = self.rng.u64(1..=work);
                if let Some(write) = self.writes.get_mut(&id) {
                    write.sent = Some(self.now);
                }
                self.schedule(self.now + takes, Event::Commit(id));
            }
        }
        if over {
            self.tally.unanswered += 1;
            return self.finish(id);
        }
        self.schedule(self.now + POLL, Event::Poll(id));
    }

    fn commit(&mut self, id: u64) {
        let Some(write) = self.writes.get(&id) else { return };
        let (at, ticket, position) = (write.at, write.ticket, self.now);
        if !self.runs(at) {
            // The answer of the database waits at the stopped pooler.
            return self.schedule(self.now + POLL, Event::Commit(id));
        }
        // Rounded up: a position of a whole millisecond covers the commit.
        let told = position.div_ceil(1_000);
        if self.rng.u8(..50) == 0 {
            // The answer is lost on its way.
            self.with(at, |client, now| client.end_write(now, ticket, WriteOutcome::InDoubt));
            self.tally.unanswered += 1;
            return self.finish(id);
        }
        self.with(at, |client, now| client.end_write(now, ticket, WriteOutcome::Committed(told)));
        if let Some(write) = self.writes.get_mut(&id) {
            write.committed = Some(position);
        }
        self.poll(id);
    }

    fn finish(&mut self, id: u64) {
        if let Some(write) = self.writes.remove(&id) {
            self.with(write.at, |client, now| client.forget(now, write.ticket));
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.pending.insert(self.order, event);
        self.events.push(Reverse((at, self.order)));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive { to, from, bytes } => {
                if self.seats[to].stopped {
                    if self.seats[to].backlog.len() < 4_096 {
                        self.seats[to].backlog.push((from, bytes));
                    }
                } else {
                    self.deliver(to, from, &bytes);
                    self.after(to);
                }
            }
            Event::Due(seat) => {
                if self.seats[seat].due_at <= self.now {
                    self.seats[seat].due_at = u64::MAX;
                    self.after(seat);
                }
            }
            Event::Poll(id) => self.poll(id),
            Event::Commit(id) => self.commit(id),
        }
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.clock(to);
        let seat = &mut self.seats[to];
        seat.cost.received += 1;
        seat.cost.received_bytes += bytes.len() as u64 + UDP_OVERHEAD;
        let begun = self.measure.then(Instant::now);
        // What is dropped is counted by the process.
        let _ = match &mut seat.process {
            Some(Process::Pooler(client)) => client.receive(now, from, bytes),
            Some(Process::Control(replica)) => replica.receive(now, from, bytes),
            None => Ok(()),
        };
        seat.cost.busy += begun.map_or(Duration::ZERO, |begun| begun.elapsed());
    }

    /// What a process wants done after it was called.
    fn after(&mut self, seat: usize) {
        if !self.runs(seat) {
            return;
        }
        let now = self.clock(seat);
        let begun = self.measure.then(Instant::now);
        let place = &mut self.seats[seat];
        let (out, due) = match &mut place.process {
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
        place.cost.busy += begun.map_or(Duration::ZERO, |begun| begun.elapsed());
        out.into_iter().for_each(|(to, bytes)| self.send(seat, to, bytes));
        if due != Millis::MAX {
            let wait = due.saturating_sub(now).max(1) as f64 * 1_000.0;
            let at = self.now + wait as u64 + 1;
            if at < self.seats[seat].due_at {
                self.seats[seat].due_at = at;
                self.schedule(at, Event::Due(seat));
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let cost = &mut self.seats[from].cost;
        cost.sent += 1;
        cost.sent_bytes += bytes.len() as u64 + UDP_OVERHEAD;
        assert!(
            bytes.len() <= directory::timing::bounds::MAX_DATAGRAM_BYTES,
            "a datagram of {} bytes",
            bytes.len()
        );
        let to = seat_of(to);
        if to >= self.seats.len() || self.cut.contains(&(from, to)) || self.rng.f64() < self.net.loss {
            return;
        }
        let bytes = std::rc::Rc::new(bytes);
        let copies = 1 + usize::from(self.rng.f64() < self.net.twice);
        for _ in 0..copies {
            let (shortest, longest) = self.net.way;
            let mut way = self.rng.u64(shortest..=longest);
            if self.rng.f64() < self.net.late {
                way += self.rng.u64(..=self.net.lateness);
            }
            let arrive = Event::Arrive { to, from: address(from), bytes: bytes.clone() };
            self.schedule(self.now + way, arrive);
        }
    }
}
