//! Event loop: waits for sockets, signals and timers, and passes each event to the handler.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mio::{Events, Poll, Registry, Token};
use slab::Slab;

use super::Context;
use crate::counters::IterationWork;

/// Maximum number of events fetched by one poll.
const MAX_EVENTS_PER_POLL: usize = 256;

/// Index in [`Slots`] and generation of the entry there: a late event for an earlier entry of that index
/// finds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Slot {
    index: u32,
    generation: u32,
}

/// Connections by slot. Indices are reused at once, generations only after 2^29 insertions.
pub(crate) struct Slots<T> {
    slab: Slab<(u32, T)>,
    next_generation: u32,
}

impl Slot {
    /// Returns the slot as a number, for callers that only store it and pass it back.
    pub fn number(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.index)
    }

    /// Returns the slot for a number from [`Slot::number`].
    pub fn from_number(number: u64) -> Slot {
        Slot { index: number as u32, generation: (number >> 32) as u32 }
    }
}

impl<T> Slots<T> {
    pub fn new() -> Self {
        Slots { slab: Slab::new(), next_generation: 0 }
    }

    pub fn len(&self) -> usize {
        self.slab.len()
    }

    pub fn insert(&mut self, item: T) -> Slot {
        let generation = self.next_generation;
        self.next_generation = (self.next_generation + 1) & GENERATION_MASK;
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

/// Mask for the 29 bits of a generation: the upper half of a token holds it beside the source's kind (3
/// bits).
const GENERATION_MASK: u32 = (1 << 29) - 1;

/// Source of an event of the poll.
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
    /// Listener for ordinary clients.
    SessionListener,
    /// Listener for a successor process.
    SuccessorListener,
    /// Connection from a successor.
    Successor,
    /// Connection to the predecessor, the process that this one takes over from.
    Predecessor,
    /// Connection from an ordinary client.
    SessionClient(Slot),
    /// Server connection for ordinary clients.
    SessionServer(Slot),
    /// Sockets and streams for the state exchange with peers.
    PeerDatagrams,
    PeerListener,
    PeerStream(Slot),
}

/// Offset of the indices of peer streams: sources with a single socket have the same kind and use the indices
/// below.
const FIRST_STREAM_INDEX: u32 = 16;

// A token holds the kind, the generation and the index side by side.
const _: () = assert!(usize::BITS == 64);

impl From<Source> for Token {
    fn from(source: Source) -> Token {
        // Sources with a single socket share kind 0 and differ in the index.
        let single = |index| Slot { index, generation: 0 };
        let (kind, Slot { index, generation }) = match source {
            Source::ClientListener => (0, single(0)),
            Source::Signals => (0, single(1)),
            Source::ControlListener => (0, single(2)),
            Source::Disk => (0, single(3)),
            Source::SessionListener => (0, single(4)),
            Source::SuccessorListener => (0, single(5)),
            Source::Successor => (0, single(6)),
            Source::Predecessor => (0, single(7)),
            Source::PeerDatagrams => (0, single(8)),
            Source::PeerListener => (0, single(9)),
            Source::PeerStream(slot) => (0, Slot { index: slot.index + FIRST_STREAM_INDEX, ..slot }),
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
        let slot = Slot { index: token as u32, generation: (token >> 32) as u32 & GENERATION_MASK };
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
            (0, index) if index >= FIRST_STREAM_INDEX => {
                Source::PeerStream(Slot { index: index - FIRST_STREAM_INDEX, ..slot })
            }
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

/// Owner of a timer. Timers cannot be cancelled: the owner checks, when the timer fires, whether it is still
/// relevant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerKind {
    Policy(u64),
    Accept,
    /// The lines that the log's rate limit has left out are to be reported.
    LogSummary,
    ClientSweep,
    Client(Slot),
    /// A request of a client may have waited for earlier requests of its connection for the maximum time.
    InFlight(Slot),
    Server(Slot),
    Discovery,
    ControlConnection(Slot),
    Registry,
    /// A configuration change is to be re-evaluated.
    ConfigChange,
    /// The state machine of the process lifecycle is to be advanced.
    Lifecycle,
    Handover,
    /// A session of an ordinary client is to be processed.
    Session(Slot),
    SessionSweep,
    /// The state exchange with peers is to be advanced.
    Peers,
}

struct Timer {
    at: f64,
    /// Sequence number: timers that fire at the same time do so in the order in which they were set.
    number: u64,
    kind: TimerKind,
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

/// Registers sockets, sets timers and provides the time: Unix seconds, read from the system clock at the
/// start and advanced by the monotonic clock, so that setting the system clock neither delays nor fires a
/// timer.
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

    pub fn set_timer(&mut self, at: f64, kind: TimerKind) {
        self.timers_set += 1;
        self.timers.push(Reverse(Timer { at, number: self.timers_set, kind }));
    }

    /// Time until the next timer; none without a timer.
    fn poll_timeout(&self) -> Option<Duration> {
        let Reverse(next) = self.timers.peek()?;
        Some(Duration::try_from_secs_f64(next.at - self.now()).unwrap_or(Duration::ZERO))
    }

    /// Removes the next timer that is due by `now`. The caller fixes `now` for an iteration, so that timers
    /// set meanwhile wait for the next one and sockets are handled in between.
    fn pop_expired(&mut self, now: f64) -> Option<TimerKind> {
        if self.timers.peek().is_none_or(|Reverse(next)| next.at > now) {
            return None;
        }
        self.timers.pop().map(|Reverse(timer)| timer.kind)
    }
}

/// The earliest pending timer of an owner. Guards against one timer per event: a timer is set only if none
/// that is pending fires before it.
pub(crate) struct EarliestTimer(f64);

impl Default for EarliestTimer {
    fn default() -> EarliestTimer {
        EarliestTimer(f64::INFINITY)
    }
}

impl EarliestTimer {
    /// Records that a timer of the owner has fired.
    pub fn fired(&mut self, now: f64) {
        if self.0 <= now {
            self.0 = f64::INFINITY;
        }
    }

    /// Ensures that a timer of the owner fires at the time `at` or earlier.
    pub fn set(&mut self, at: f64, kind: TimerKind, reactor: &mut Reactor) {
        if at < self.0 {
            self.0 = at;
            reactor.set_timer(at, kind);
        }
    }
}

/// Receiver of the loop's events.
pub(crate) trait Handler {
    /// A source may be readable or writable. `half_closed` is true if the remote side has shut down its
    /// sending direction: the bytes that can still be read are the last ones.
    fn on_ready(&mut self, source: Source, half_closed: bool, context: &mut Context);
    /// A timer has fired.
    fn on_timer(&mut self, kind: TimerKind, context: &mut Context);
    /// Returns true once the loop is to end.
    fn finished(&self) -> bool;
}

/// Runs until the handler has finished.
pub(crate) fn run(poll: &mut Poll, handler: &mut impl Handler, context: &mut Context) -> io::Result<()> {
    let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
    while !handler.finished() {
        let (timeout, polled_at) = (context.reactor.poll_timeout(), context.reactor.now());
        match poll.poll(&mut events, timeout) {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            result => result?,
        }
        let woken_at = context.reactor.now();
        if let Some(timeout) = timeout {
            context.counters.record_late_wake(woken_at - polled_at - timeout.as_secs_f64());
        }
        let mut work = IterationWork::default();
        for event in &events {
            let waited = context.reactor.now() - woken_at;
            context.counters.event_loop.record_ready_wait(waited);
            handler.on_ready(event.token().into(), event.is_read_closed(), context);
            work.sources += 1;
        }
        context.counters.event_loop.record_timers(context.reactor.timers.len());
        let now = context.reactor.now();
        while let Some(kind) = context.reactor.pop_expired(now) {
            handler.on_timer(kind, context);
            work.timers += 1;
        }
        context.counters.record_iteration(context.reactor.now() - woken_at, work);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
