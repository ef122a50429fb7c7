//! The facts of one author: the author's own log, or another instance's copy of it. Only the newest fact of
//! each key matters, so a copy is updated with the facts that have higher numbers than it has seen, however
//! many earlier ones were replaced meanwhile. No log is ever too far behind for this: the full log is the
//! difference from an empty one.
//!
//! A copy that has received only part of such a difference lacks keys that were published again beyond that
//! part. It is complete only once it has reached the number that the log had when the part was made.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::fact::{Fact, Key};

/// A log, or a copy of one: facts by number, and the number of the newest fact of each key.
#[derive(Clone, Debug, Default)]
pub struct Log {
    facts: BTreeMap<u64, Fact>,
    newest: HashMap<Key, u64>,
    /// All numbers up to this one have been published, or received.
    upto: u64,
    /// End of the author's log when the last received range was made; the copy is incomplete before it
    /// reaches this number.
    required_upto: u64,
    /// All facts published up to this number are known, or facts that have replaced them.
    complete_upto: u64,
    /// Sessions without a fact wrote at this position at the latest.
    floor: Option<f64>,
}

impl Log {
    /// Returns the highest number.
    pub fn upto(&self) -> u64 {
        self.upto
    }

    /// Returns the number up to which all published facts, or facts that have replaced them, are known.
    pub fn complete_upto(&self) -> u64 {
        self.complete_upto
    }

    /// Returns the end of the author's log, as far as known here.
    pub fn end(&self) -> u64 {
        self.required_upto.max(self.upto)
    }

    /// Returns the position at which a session without a fact wrote at the latest; `None` if every session
    /// has its fact.
    pub fn floor(&self) -> Option<f64> {
        self.floor
    }

    /// Returns the number of current facts.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Returns true if there are no facts.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Returns the current fact of a key.
    pub fn get(&self, key: &Key) -> Option<&Fact> {
        self.facts.get(self.newest.get(key)?)
    }

    /// Returns the number of the current fact of a key.
    pub fn number(&self, key: &Key) -> Option<u64> {
        self.newest.get(key).copied()
    }

    /// Returns all current facts, the oldest first.
    pub fn facts(&self) -> impl Iterator<Item = (u64, &Fact)> {
        self.facts.iter().map(|(number, fact)| (*number, fact))
    }

    /// Returns the facts with numbers above `number`, in order.
    pub fn after(&self, number: u64) -> impl Iterator<Item = (u64, &Fact)> {
        self.facts.range(number.saturating_add(1)..).map(|(number, fact)| (*number, fact))
    }

    /// Appends a fact and returns its number. A fact that an earlier floor has removed is not restored: facts
    /// that remain valid are appended again before the floor is raised above them.
    pub fn append(&mut self, fact: Fact) -> u64 {
        let number = self.upto + 1;
        self.insert(number, fact);
        (self.upto, self.complete_upto) = (number, number);
        number
    }

    /// Applies facts of another instance's log: those with numbers above `from` up to `upto`, taken when the
    /// log ended at `end`. Returns false, without applying any, if there is a gap between `from` and what has
    /// been received. Calls `changed` for each changed key.
    pub fn apply(
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
            for key in self.insert(number, fact) {
                changed(key);
            }
        }
        if upto > self.upto {
            (self.upto, self.required_upto) = (upto, self.required_upto.max(end));
        }
        if self.upto >= self.required_upto {
            self.complete_upto = self.upto;
        }
        true
    }

    /// Inserts a fact; returns the keys of the facts that a floor has removed.
    fn insert(&mut self, number: u64, fact: Fact) -> Vec<Key> {
        let key = fact.key();
        let mut removed = Vec::new();
        if let Fact::Floor { below, position } = fact {
            let above = self.facts.split_off(&below.saturating_add(1));
            for fact in std::mem::replace(&mut self.facts, above).into_values() {
                self.newest.remove(&fact.key());
                removed.push(fact.key());
            }
            self.floor = Some(self.floor.map_or(position, |floor| floor.max(position)));
        }
        if let Some(old) = self.newest.insert(key, number) {
            self.facts.remove(&old);
        }
        self.facts.insert(number, fact);
        removed
    }

    /// Returns a digest that is equal for two copies with equal facts: a sum over the facts, independent of
    /// their order and numbers.
    pub fn digest(&self, author: &Arc<str>) -> [u8; 8] {
        let mut sum = 0u64;
        for fact in self.facts.values() {
            // A floor contains a number; numbers are left out of the digest.
            let fact = match fact {
                Fact::Floor { position, .. } => Fact::Floor { below: 0, position: *position },
                other => other.clone(),
            };
            let mut hash = Sha256::new();
            hash.update(author.as_bytes());
            hash.update([0]);
            hash.update(fact.encode());
            let mut prefix = [0; 8];
            prefix.copy_from_slice(&hash.finalize()[..8]);
            sum = sum.wrapping_add(u64::from_be_bytes(prefix));
        }
        sum.to_be_bytes()
    }
}
