//! Seals outgoing messages and opens incoming ones. A message is accepted only if it belongs to this
//! directory, comes from a process that has the key, is addressed to this incarnation and has not been
//! received before. Others are dropped and counted by their [`Fault`].

use std::collections::BTreeMap;
use std::fmt;

use replication::Keys;

use crate::identity::ProcessId;
use crate::message::{self, Body, DecodeError, Header};
use crate::timing::{bounds, Millis};

/// Words of 64 bits in a replay window.
const WINDOW_WORDS: usize = 4;
/// Message numbers below the highest that a replay window covers; lower numbers count as replayed.
const WINDOW: u64 = WINDOW_WORDS as u64 * 64;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// Longer than [`bounds::MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Sealed with none of the keys of this process.
    Key,
    /// Malformed, though the seal is valid.
    Malformed,
    /// Of an unsupported version.
    Version,
    /// Its sender has another list of control instances, or other timing.
    Directory,
    /// Of an earlier incarnation of its sender, or addressed to an earlier incarnation of this process.
    Incarnation,
    /// Received before (replayed or duplicated).
    Replayed,
    /// From a process whose role does not permit this message.
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

/// Replay window: the message numbers received from one sender.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    seen: [u64; WINDOW_WORDS],
    last_heard_at: Millis,
}

impl ReplayWindow {
    fn new(incarnation: u64) -> ReplayWindow {
        ReplayWindow { incarnation, highest: 0, seen: [0; WINDOW_WORDS], last_heard_at: 0 }
    }

    /// Records a message number. Returns false if it was received before, or is too old for the window.
    fn accept(&mut self, number: u64) -> bool {
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
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }
}

/// Seals and opens the messages that one process exchanges with all others.
#[derive(Debug)]
pub struct Channel {
    process: ProcessId,
    directory: u32,
    keys: Keys,
    last_number: u64,
    replay_windows: BTreeMap<u64, ReplayWindow>,
    faults: BTreeMap<Fault, u64>,
}

impl Channel {
    /// A channel for the process `me`.
    pub fn new(process: ProcessId, directory: u32, keys: Keys) -> Channel {
        Channel {
            process,
            directory,
            keys,
            last_number: 0,
            replay_windows: BTreeMap::new(),
            faults: BTreeMap::new(),
        }
    }

    /// Returns the identity of this process.
    pub fn process_id(&self) -> ProcessId {
        self.process
    }

    /// Seals a message to incarnation `to` of another process, 0 for any incarnation. Returns its number and
    /// its bytes.
    pub fn seal(&mut self, to: u64, body: &Body) -> (u64, Vec<u8>) {
        self.last_number += 1;
        let header = Header {
            version: message::VERSION,
            directory: self.directory,
            from: self.process,
            to,
            number: self.last_number,
        };
        (self.last_number, self.keys.seal(message::encode(&header, body)))
    }

    /// Opens and checks a datagram.
    pub fn open(&mut self, now: Millis, bytes: &[u8]) -> Result<(Header, Body), Fault> {
        let result = self.open_checked(now, bytes);
        if let Err(fault) = result {
            self.count(fault);
        }
        result
    }

    /// Counts a dropped datagram.
    pub fn count(&mut self, fault: Fault) {
        *self.faults.entry(fault).or_default() += 1;
    }

    /// Returns the number of dropped datagrams by fault.
    pub fn faults(&self) -> &BTreeMap<Fault, u64> {
        &self.faults
    }

    fn open_checked(&mut self, now: Millis, bytes: &[u8]) -> Result<(Header, Body), Fault> {
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
        if header.to != 0 && header.to != self.process.incarnation {
            return Err(Fault::Incarnation);
        }
        self.check_replay(now, &header)?;
        Ok((header, body))
    }

    /// Guards against datagrams that the network duplicates or an attacker has recorded and replays.
    fn check_replay(&mut self, now: Millis, header: &Header) -> Result<(), Fault> {
        let incarnation = header.from.incarnation;
        if !self.replay_windows.contains_key(&header.from.name)
            && self.replay_windows.len() >= bounds::SENDERS
        {
            let oldest = self
                .replay_windows
                .iter()
                .min_by_key(|(_, window)| window.last_heard_at)
                .map(|(name, _)| *name);
            oldest.and_then(|name| self.replay_windows.remove(&name));
        }
        let window =
            self.replay_windows.entry(header.from.name).or_insert_with(|| ReplayWindow::new(incarnation));
        if incarnation < window.incarnation {
            return Err(Fault::Incarnation);
        }
        if incarnation > window.incarnation {
            *window = ReplayWindow::new(incarnation);
        }
        window.last_heard_at = now;
        if window.accept(header.number) {
            Ok(())
        } else {
            Err(Fault::Replayed)
        }
    }
}
