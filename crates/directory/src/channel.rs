//! Seals what is sent and opens what has come: of this directory, of a process that holds the key, to this start, and not
//! seen before. What is not is dropped and counted by its [`Fault`].

use std::collections::BTreeMap;
use std::fmt;

use replication::Keys;

use crate::identity::ProcessId;
use crate::message::{self, Body, DecodeError, Header};
use crate::timing::{bounds, Millis};

/// Words of a window: numbers so many times 64 below the highest are told apart.
const WINDOW_WORDS: usize = 4;
/// Numbers that a window tells apart; older ones count as seen.
const WINDOW: u64 = WINDOW_WORDS as u64 * 64;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// Longer than [`bounds::MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Sealed by no key that is held here.
    Key,
    /// Of no known form, though the seal is right.
    Malformed,
    /// Of another version.
    Version,
    /// Its sender has another list of control instances, or other terms.
    Directory,
    /// Of an earlier start of its sender, or to an earlier start of this process.
    Incarnation,
    /// Seen before.
    Replayed,
    /// From a process that has no part in what it says.
    Sender,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::TooLong => "longer than a datagram of the directory",
            Fault::Key => "sealed by no key that is held here",
            Fault::Malformed => "of no known form",
            Fault::Version => "of another version of the directory",
            Fault::Directory => "its sender has another list of control instances, or other terms",
            Fault::Incarnation => "of, or to, an earlier start",
            Fault::Replayed => "seen before",
            Fault::Sender => "from a process that has no part in it",
        })
    }
}

impl std::error::Error for Fault {}

/// Message numbers of one sender.
#[derive(Debug)]
struct Window {
    incarnation: u64,
    highest: u64,
    seen: [u64; WINDOW_WORDS],
    heard: Millis,
}

impl Window {
    fn new(incarnation: u64) -> Window {
        Window { incarnation, highest: 0, seen: [0; WINDOW_WORDS], heard: 0 }
    }

    /// Notes a number; false where it was seen, or is too old to tell.
    fn take(&mut self, number: u64) -> bool {
        let slot = |number: u64| ((number / 64) as usize % WINDOW_WORDS, 1u64 << (number % 64));
        if number > self.highest {
            let passed = (self.highest + 1)..=number;
            if number - self.highest >= WINDOW {
                self.seen = [0; WINDOW_WORDS];
            } else {
                for number in passed {
                    let (word, bit) = slot(number);
                    self.seen[word] &= !bit;
                }
            }
            self.highest = number;
        } else if self.highest - number >= WINDOW {
            return false;
        }
        let (word, bit) = slot(number);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }
}

/// The way to and from all other processes.
#[derive(Debug)]
pub struct Channel {
    me: ProcessId,
    directory: u32,
    keys: Keys,
    sent: u64,
    windows: BTreeMap<u64, Window>,
    faults: BTreeMap<Fault, u64>,
}

impl Channel {
    /// The channel of a process.
    pub fn new(me: ProcessId, directory: u32, keys: Keys) -> Channel {
        Channel { me, directory, keys, sent: 0, windows: BTreeMap::new(), faults: BTreeMap::new() }
    }

    /// Whose it is.
    pub fn process_id(&self) -> ProcessId {
        self.me
    }

    /// Seals a message to a start of another process, 0 for any; its number and its bytes.
    pub fn seal(&mut self, to: u64, body: &Body) -> (u64, Vec<u8>) {
        self.sent += 1;
        let header = Header {
            version: message::VERSION,
            directory: self.directory,
            from: self.me,
            to,
            number: self.sent,
        };
        (self.sent, self.keys.seal(message::encode(&header, body)))
    }

    /// Opens a datagram.
    pub fn open(&mut self, now: Millis, bytes: &[u8]) -> Result<(Header, Body), Fault> {
        let opened = self.opened(now, bytes);
        if let Err(fault) = opened {
            self.count(fault);
        }
        opened
    }

    /// Notes that a datagram was dropped.
    pub fn count(&mut self, fault: Fault) {
        *self.faults.entry(fault).or_default() += 1;
    }

    /// How many datagrams were dropped, by their faults.
    pub fn faults(&self) -> &BTreeMap<Fault, u64> {
        &self.faults
    }

    fn opened(&mut self, now: Millis, bytes: &[u8]) -> Result<(Header, Body), Fault> {
        if bytes.len() > bounds::MAX_DATAGRAM_BYTES {
            return Err(Fault::TooLong);
        }
        let message = self.keys.open(bytes).ok_or(Fault::Key)?;
        let (header, body) = message::decode(message).map_err(|error| match error {
            DecodeError::Malformed => Fault::Malformed,
            DecodeError::Version(_) => Fault::Version,
        })?;
        if header.directory != self.directory {
            return Err(Fault::Directory);
        }
        if header.to != 0 && header.to != self.me.incarnation {
            return Err(Fault::Incarnation);
        }
        self.note(now, &header)?;
        Ok((header, body))
    }

    /// Guards against what is sent again by the network, or by somebody who has recorded it.
    fn note(&mut self, now: Millis, header: &Header) -> Result<(), Fault> {
        let incarnation = header.from.incarnation;
        if !self.windows.contains_key(&header.from.name) && self.windows.len() >= bounds::SENDERS {
            let oldest = self.windows.iter().min_by_key(|(_, window)| window.heard).map(|(name, _)| *name);
            oldest.and_then(|name| self.windows.remove(&name));
        }
        let window = self.windows.entry(header.from.name).or_insert_with(|| Window::new(incarnation));
        if incarnation < window.incarnation {
            return Err(Fault::Incarnation);
        }
        if incarnation > window.incarnation {
            *window = Window::new(incarnation);
        }
        window.heard = now;
        if window.take(header.number) {
            Ok(())
        } else {
            Err(Fault::Replayed)
        }
    }
}
