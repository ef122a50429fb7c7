//! Sources of events: slots of connections, and the tokens under which they are registered.

use mio::Token;
use slab::Slab;

/// Index in [`Slots`] and generation of the entry there: a late event for an earlier entry of that index
/// finds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Slot {
    pub(super) index: u32,
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
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
