//! The facts of one author: his own log, or another's copy of it. What matters is the newest statement of each key, so a
//! copy is brought up to date by the facts of higher numbers than it has seen, however many were overtaken meanwhile:
//! there is no log to be behind of, and the whole is the difference from nothing.
//!
//! A copy that has got a part of such a difference lacks the keys that were stated anew beyond that part: it is sound
//! only once it has come as far as the log had come when the part was made.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::fact::{Fact, Key};

/// Facts by number, and the number of each key's newest.
#[derive(Clone, Debug, Default)]
pub struct Log {
    facts: BTreeMap<u64, Fact>,
    newest: HashMap<Key, u64>,
    /// All numbers up to this one have been stated, or seen.
    upto: u64,
    /// How far the log had come when what was taken in last was made: not sound before.
    needs: u64,
    /// All that was stated up to this number is known, or what has taken its place since.
    sound: u64,
    /// Sessions that are not stated wrote at this position at the latest.
    floor: Option<f64>,
}

impl Log {
    /// The highest number.
    pub fn upto(&self) -> u64 {
        self.upto
    }

    /// All that was stated up to this number is known, or what has taken its place since.
    pub fn sound(&self) -> u64 {
        self.sound
    }

    /// How far its author's log had come, as far as known here.
    pub fn end(&self) -> u64 {
        self.needs.max(self.upto)
    }

    /// The position at which a session that is not stated wrote at the latest; none where all are stated.
    pub fn floor(&self) -> Option<f64> {
        self.floor
    }

    /// How many facts hold.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether no fact holds.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// The fact of a key.
    pub fn get(&self, key: &Key) -> Option<&Fact> {
        self.facts.get(self.newest.get(key)?)
    }

    /// The number of a key's fact.
    pub fn number(&self, key: &Key) -> Option<u64> {
        self.newest.get(key).copied()
    }

    /// All that holds, the oldest first.
    pub fn facts(&self) -> impl Iterator<Item = (u64, &Fact)> {
        self.facts.iter().map(|(number, fact)| (*number, fact))
    }

    /// Facts of higher numbers than this one, in their order.
    pub fn after(&self, number: u64) -> impl Iterator<Item = (u64, &Fact)> {
        self.facts.range(number.saturating_add(1)..).map(|(number, fact)| (*number, fact))
    }

    /// States a fact under the next number, which it returns. What an earlier floor has closed is not stated again by
    /// itself: facts that shall go on are stated anew before the floor is raised over them.
    pub fn state(&mut self, fact: Fact) -> u64 {
        let number = self.upto + 1;
        self.put(number, fact);
        (self.upto, self.sound) = (number, number);
        number
    }

    /// Takes in facts of another's log: those of the numbers from `from`, not included, to `upto`, as they were when it had
    /// come to `end`. Whether they follow on what was seen; where they do not, nothing is taken. The keys that have
    /// changed are handed on.
    pub fn take(
        &mut self,
        (from, upto, end): (u64, u64, u64),
        facts: impl IntoIterator<Item = (u64, Fact)>,
        mut changed: impl FnMut(Key),
    ) -> bool {
        if from > self.upto {
            return false;
        }
        for (number, fact) in facts {
            if number <= self.upto || number > upto || number <= from {
                continue;
            }
            changed(fact.key());
            for key in self.put(number, fact) {
                changed(key);
            }
        }
        if upto > self.upto {
            (self.upto, self.needs) = (upto, self.needs.max(end));
        }
        if self.upto >= self.needs {
            self.sound = self.upto;
        }
        true
    }

    /// Puts a fact in its place; the keys of those that a floor has closed.
    fn put(&mut self, number: u64, fact: Fact) -> Vec<Key> {
        let key = fact.key();
        let mut closed = Vec::new();
        if let Fact::Floor { below, position } = fact {
            let above = self.facts.split_off(&below.saturating_add(1));
            for fact in std::mem::replace(&mut self.facts, above).into_values() {
                self.newest.remove(&fact.key());
                closed.push(fact.key());
            }
            self.floor = Some(self.floor.map_or(position, |floor| floor.max(position)));
        }
        if let Some(old) = self.newest.insert(key, number) {
            self.facts.remove(&old);
        }
        self.facts.insert(number, fact);
        closed
    }

    /// What tells whether two copies hold the same, whatever their numbers are: a sum over the facts, whose order it does
    /// not depend on.
    pub fn digest(&self, author: &Arc<str>) -> [u8; 8] {
        let mut sum = 0u64;
        for fact in self.facts.values() {
            // Numbers are told by floors too, and are their author's own affair.
            let fact = match fact {
                Fact::Floor { position, .. } => Fact::Floor { below: 0, position: *position },
                other => other.clone(),
            };
            let mut hash = Sha256::new();
            hash.update(author.as_bytes());
            hash.update([0]);
            hash.update(fact.encode());
            let mut eight = [0; 8];
            eight.copy_from_slice(&hash.finalize()[..8]);
            sum = sum.wrapping_add(u64::from_be_bytes(eight));
        }
        sum.to_be_bytes()
    }
}
