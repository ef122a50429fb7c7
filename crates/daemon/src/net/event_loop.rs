//! Waits for sockets, signals and timers, and tells whoever they belong to.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mio::{Events, Poll, Registry, Token};
use slab::Slab;

use super::Context;

/// Events fetched in one go.
const BATCH: usize = 256;

/// A place in [`Slots`] together with its tenant's number: a late event for an earlier tenant finds nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Slot {
    index: u32,
    generation: u32,
}

/// Connections by slot. Places are used again, numbers only after 2^29 others.
pub(crate) struct Slots<T> {
    slab: Slab<(u32, T)>,
    next: u32,
}

impl Slot {
    /// The slot as a number, for those who only hand it back.
    pub fn number(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.index)
    }

    /// The slot of a number.
    pub fn from_number(number: u64) -> Slot {
        Slot { index: number as u32, generation: (number >> 32) as u32 }
    }
}

impl<T> Slots<T> {
    pub fn new() -> Self {
        Slots { slab: Slab::new(), next: 0 }
    }

    pub fn len(&self) -> usize {
        self.slab.len()
    }

    pub fn insert(&mut self, item: T) -> Slot {
        let generation = self.next;
        self.next = (self.next + 1) & GENERATIONS;
        Slot { index: self.slab.insert((generation, item)) as u32, generation }
    }

    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut T> {
        let (generation, item) = self.slab.get_mut(slot.index as usize)?;
        (*generation == slot.generation).then_some(item)
    }

    pub fn get(&self, slot: Slot) -> Option<&T> {
        let (generation, item) = self.slab.get(slot.index as usize)?;
        (*generation == slot.generation).then_some(item)
    }

    pub fn remove(&mut self, slot: Slot) -> Option<T> {
        self.get_mut(slot)?;
        self.slab.try_remove(slot.index as usize).map(|(_, item)| item)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Slot, &T)> {
        self.slab
            .iter()
            .map(|(index, (generation, item))| (Slot { index: index as u32, generation: *generation }, item))
    }
}

/// Generations fit beside the kind of the source in a token's upper half.
const GENERATIONS: u32 = (1 << 29) - 1;

/// What an event of the poll belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    ClientListener,
    Signals,
    Client(Slot),
    Server(Slot),
    Discovery(Slot),
    ControlListener,
    ControlConnection(Slot),
    Registry(Slot),
    Disk,
    /// The listener for ordinary clients, their connections, and those to the servers behind them.
    SessionListener,
    /// The listener for a successor, its connection, and that to the daemon before this one.
    SuccessorListener,
    Successor,
    Predecessor,
    SessionClient(Slot),
    SessionServer(Slot),
    /// The sockets towards other instances, and the streams to and from them.
    PeerDatagrams,
    PeerListener,
    PeerStream(Slot),
}

/// Those that there is one of come before the slots of streams among instances, which share their kind.
const SINGLE: u32 = 16;

// A token holds the kind, the generation and the index side by side.
const _: () = assert!(usize::BITS == 64);

impl From<Source> for Token {
    fn from(source: Source) -> Token {
        // Those that there is one of share a kind, told apart by the place of the index.
        let one = |index| Slot { index, generation: 0 };
        let (kind, Slot { index, generation }) = match source {
            Source::ClientListener => (0, one(0)),
            Source::Signals => (0, one(1)),
            Source::ControlListener => (0, one(2)),
            Source::Disk => (0, one(3)),
            Source::SessionListener => (0, one(4)),
            Source::SuccessorListener => (0, one(5)),
            Source::Successor => (0, one(6)),
            Source::Predecessor => (0, one(7)),
            Source::PeerDatagrams => (0, one(8)),
            Source::PeerListener => (0, one(9)),
            Source::PeerStream(slot) => (0, Slot { index: slot.index + SINGLE, ..slot }),
            Source::Client(slot) => (1, slot),
            Source::Server(slot) => (2, slot),
            Source::Discovery(slot) => (3, slot),
            Source::ControlConnection(slot) => (4, slot),
            Source::Registry(slot) => (5, slot),
            Source::SessionClient(slot) => (6, slot),
            Source::SessionServer(slot) => (7, slot),
        };
        Token(kind << 61 | (generation as usize) << 32 | index as usize)
    }
}

impl From<Token> for Source {
    fn from(Token(token): Token) -> Source {
        let slot = Slot { index: token as u32, generation: (token >> 32) as u32 & GENERATIONS };
        match (token >> 61, slot.index) {
            (0, 0) => Source::ClientListener,
            (0, 1) => Source::Signals,
            (0, 2) => Source::ControlListener,
            (0, 3) => Source::Disk,
            (0, 4) => Source::SessionListener,
            (0, 5) => Source::SuccessorListener,
            (0, 6) => Source::Successor,
            (0, 7) => Source::Predecessor,
            (0, 8) => Source::PeerDatagrams,
            (0, index) if index >= SINGLE => Source::PeerStream(Slot { index: index - SINGLE, ..slot }),
            (0, _) => Source::PeerListener,
            (1, _) => Source::Client(slot),
            (2, _) => Source::Server(slot),
            (3, _) => Source::Discovery(slot),
            (4, _) => Source::ControlConnection(slot),
            (5, _) => Source::Registry(slot),
            (6, _) => Source::SessionClient(slot),
            _ => Source::SessionServer(slot),
        }
    }
}

/// What a timer belongs to. Timers are not withdrawn: whoever is told looks whether it still matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerKind {
    Policy(u64),
    Accept,
    ClientSweep,
    Client(Slot),
    /// A request of a client may have waited for earlier ones for long enough.
    InFlight(Slot),
    Server(Slot),
    Discovery,
    ControlConnection(Slot),
    Registry,
    /// A change of configuration is to be looked at.
    ConfigChange,
    /// The daemon's life goes on.
    Lifecycle,
    Handover,
    /// A session of an ordinary client has its turn.
    Session(Slot),
    SessionSweep,
    /// Other instances are to be asked, answered or looked at.
    Peers,
}

struct Timer {
    at: f64,
    /// Keeps timers of the same time in the order in which they were set.
    number: u64,
    due: TimerKind,
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Timer {}

/// Registers sockets, sets timers and tells the time: Unix seconds, fixed at the start and monotonic from
/// then on, so that a clock set meanwhile neither stops nor fires a timer.
pub(crate) struct Reactor {
    pub registry: Registry,
    timers: BinaryHeap<Reverse<Timer>>,
    timers_set: u64,
    epoch: f64,
    start: Instant,
}

impl Reactor {
    pub fn new(poll: &Poll) -> io::Result<Reactor> {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let registry = poll.registry().try_clone()?;
        Ok(Reactor { registry, timers: BinaryHeap::new(), timers_set: 0, epoch, start: Instant::now() })
    }

    pub fn now(&self) -> f64 {
        self.epoch + self.start.elapsed().as_secs_f64()
    }

    pub fn set_timer(&mut self, at: f64, due: TimerKind) {
        self.timers_set += 1;
        self.timers.push(Reverse(Timer { at, number: self.timers_set, due }));
    }

    /// How long until the next timer.
    fn patience(&self) -> Option<Duration> {
        let Reverse(next) = self.timers.peek()?;
        Some(Duration::try_from_secs_f64(next.at - self.now()).unwrap_or(Duration::ZERO))
    }

    /// What came due by `now`. A timer that is set meanwhile waits for the next round, so that sockets are
    /// looked at in between.
    fn due(&mut self, now: f64) -> Option<TimerKind> {
        if self.timers.peek().is_none_or(|Reverse(next)| next.at > now) {
            return None;
        }
        self.timers.pop().map(|Reverse(timer)| timer.due)
    }
}

/// The earliest timer that its owner waits for. Guards against a timer for each event: one is set only where none goes off
/// before it.
pub(crate) struct EarliestTimer(f64);

impl Default for EarliestTimer {
    fn default() -> EarliestTimer {
        EarliestTimer(f64::INFINITY)
    }
}

impl EarliestTimer {
    /// A timer of the owner's has gone off.
    pub fn fired(&mut self, now: f64) {
        if self.0 <= now {
            self.0 = f64::INFINITY;
        }
    }

    /// Has the owner told at that time, or before.
    pub fn set(&mut self, at: f64, due: TimerKind, reactor: &mut Reactor) {
        if at < self.0 {
            self.0 = at;
            reactor.set_timer(at, due);
        }
    }
}

/// Whom the loop tells.
pub(crate) trait Handler {
    /// A source may be read from or written to. Where it is a connection `half_closed` by its peer, what that still sends lies
    /// before the end and is all that will come.
    fn on_ready(&mut self, source: Source, half_closed: bool, context: &mut Context);
    /// A timer came due.
    fn on_timer(&mut self, due: TimerKind, context: &mut Context);
    /// Whether there is nothing left to wait for.
    fn finished(&self) -> bool;
}

/// Runs until the handler has finished.
pub(crate) fn run(poll: &mut Poll, handler: &mut impl Handler, context: &mut Context) -> io::Result<()> {
    let mut events = Events::with_capacity(BATCH);
    while !handler.finished() {
        let (patience, asked) = (context.reactor.patience(), context.reactor.now());
        match poll.poll(&mut events, patience) {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            result => result?,
        }
        let woke = context.reactor.now();
        if let Some(patience) = patience {
            context.counters.record_loop_time(woke - asked - patience.as_secs_f64());
        }
        for event in &events {
            handler.on_ready(event.token().into(), event.is_read_closed(), context);
        }
        let now = context.reactor.now();
        while let Some(due) = context.reactor.due(now) {
            handler.on_timer(due, context);
        }
        context.counters.record_loop_time(context.reactor.now() - woke);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
