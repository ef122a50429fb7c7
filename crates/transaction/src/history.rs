//! What the steps on record add up to, and on which generation a daemon comes up.

use std::collections::VecDeque;
use std::sync::Arc;

use operator::{Digest, Document};
use serde::{Deserialize, Serialize};

/// Most generations that are remembered, and of how many confirmed ones the document is kept.
pub const MAX_ENTRIES: usize = 64;
const MOST_DOCUMENTS: usize = 4;

/// One configuration with its number.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Counts up from 1; a number is never used for a second document.
    pub number: u64,
    /// The digest of its document.
    pub digest: Digest,
    /// What its author says of it.
    pub note: String,
    /// When it was staged (Unix seconds).
    pub at: f64,
    /// What it says.
    pub document: Arc<Document>,
}

impl Generation {
    /// A generation of that document.
    pub fn new(number: u64, document: Arc<Document>, note: String, at: f64) -> Arc<Generation> {
        Arc::new(Generation { number, digest: document.digest(), note, at, document })
    }
}

/// What became of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GenerationStatus {
    /// On record, not in force yet.
    Staged,
    /// In force, on probation.
    Applied,
    /// Has stood its probation, or was confirmed by the operator.
    Confirmed,
    /// Undone, or never came into force.
    RolledBack,
}

/// A line of the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number.
    pub number: u64,
    /// Its digest, in hexadecimal.
    pub digest: String,
    /// Its author's note.
    pub note: String,
    /// When it was staged (Unix seconds).
    pub at: f64,
    /// What became of it.
    pub fate: GenerationStatus,
    /// Why it was undone; empty where it was not.
    pub why: String,
}

/// One step, as it is put on record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)] // The fields are those of `Entry`; `text` is the document.
pub enum Record {
    Staged {
        number: u64,
        at: f64,
        note: String,
        text: String,
    },
    Applied {
        number: u64,
    },
    Confirmed {
        number: u64,
    },
    RolledBack {
        number: u64,
        why: String,
    },
    /// All that is remembered, in place of the steps before it.
    Snapshot {
        entries: Vec<Entry>,
        documents: Vec<(u64, String)>,
        next: u64,
    },
}

/// The generations so far.
#[derive(Clone, Debug, Default)]
pub struct History {
    entries: VecDeque<Entry>,
    /// Confirmed ones, the newest last.
    confirmed: VecDeque<Arc<Generation>>,
    /// One that is staged or on probation.
    open: Option<Arc<Generation>>,
    last: u64,
}

/// On what a daemon comes up.
#[derive(Clone, Debug)]
pub struct StartupPlan {
    /// The generation.
    pub generation: Arc<Generation>,
    /// Steps to be put on record for it; none for one that stands there already.
    pub records: Vec<Record>,
    /// What the operator must be told, if anything.
    pub warning: Option<String>,
}

impl History {
    /// Adds up steps in their order. A step that cannot follow from those before it changes nothing.
    pub fn replay(records: impl IntoIterator<Item = Record>) -> History {
        let mut history = History::default();
        records.into_iter().for_each(|record| history.apply(&record));
        history
    }

    /// Adds one step.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Staged { number, at, note, text } if *number > self.last => {
                let Ok(document) = operator::parse(text.as_bytes()) else { return };
                self.stage(Generation::new(*number, Arc::new(document), note.clone(), *at));
            }
            Record::Applied { number } if self.is_open(*number) => {
                self.mark(*number, GenerationStatus::Applied, "")
            }
            Record::Confirmed { number } if self.is_open(*number) => {
                self.mark(*number, GenerationStatus::Confirmed, "");
                self.confirmed.extend(self.open.take());
                while self.confirmed.len() > MOST_DOCUMENTS {
                    self.confirmed.pop_front();
                }
            }
            Record::RolledBack { number, why } if self.is_open(*number) => {
                self.mark(*number, GenerationStatus::RolledBack, why);
                self.open = None;
            }
            // A confirmation whose record was not sure, and which therefore does not stand.
            Record::RolledBack { number, why } if self.open.is_none() && self.is_newest(*number) => {
                self.mark(*number, GenerationStatus::RolledBack, why);
                self.confirmed.pop_back();
            }
            Record::Snapshot { entries, documents, next } => {
                let generation = |(number, text): &(u64, String)| {
                    let entry = entries.iter().find(|entry| entry.number == *number)?;
                    let document = Arc::new(operator::parse(text.as_bytes()).ok()?);
                    Some(Generation::new(*number, document, entry.note.clone(), entry.at))
                };
                self.entries = entries.iter().rev().take(MAX_ENTRIES).rev().cloned().collect();
                self.confirmed = documents.iter().filter_map(generation).collect();
                (self.open, self.last) = (None, *next);
            }
            _ => {}
        }
    }

    /// Adds the step that stages a generation, of the next number, whose document need not be read again.
    pub fn stage(&mut self, generation: Arc<Generation>) {
        self.close("a later change was staged");
        self.last = generation.number;
        self.entries.push_back(Entry {
            number: generation.number,
            digest: generation.digest.to_string(),
            note: generation.note.clone(),
            at: generation.at,
            fate: GenerationStatus::Staged,
            why: String::new(),
        });
        while self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.open = Some(generation);
    }

    fn is_open(&self, number: u64) -> bool {
        self.open.as_ref().is_some_and(|open| open.number == number)
    }

    fn is_newest(&self, number: u64) -> bool {
        self.confirmed.len() > 1 && self.confirmed().is_some_and(|newest| newest.number == number)
    }

    fn mark(&mut self, number: u64, fate: GenerationStatus, why: &str) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.number == number) {
            (entry.fate, entry.why) = (fate, why.into());
        }
    }

    fn close(&mut self, why: &str) {
        if let Some(open) = self.open.take() {
            self.mark(open.number, GenerationStatus::RolledBack, why);
        }
    }

    /// All of it as one step. What is open is not part of it: it is undone by whoever reads that back.
    pub fn snapshot(&self) -> Record {
        let closed = self.entries.iter().filter(|entry| !self.is_open(entry.number));
        Record::Snapshot {
            entries: closed.cloned().collect(),
            documents: self.confirmed.iter().map(|g| (g.number, g.document.canonical_toml())).collect(),
            next: self.open.as_ref().map_or(self.last, |open| open.number - 1),
        }
    }

    /// The steps of what is open, to follow a snapshot.
    pub fn open_steps(&self) -> Vec<Record> {
        let Some(open) = &self.open else { return Vec::new() };
        let text = open.document.canonical_toml();
        let staged = Record::Staged { number: open.number, at: open.at, note: open.note.clone(), text };
        let applied = self.entries.back().is_some_and(|entry| entry.fate == GenerationStatus::Applied);
        let applied = applied.then_some(Record::Applied { number: open.number });
        std::iter::once(staged).chain(applied).collect()
    }

    /// The entries, the newest last.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// The generation that a crash would come back to.
    pub fn confirmed(&self) -> Option<&Arc<Generation>> {
        self.confirmed.back()
    }

    /// A confirmed generation whose document is still kept: that of a number, or the one before the newest.
    pub fn rollback_target(&self, number: Option<u64>) -> Option<&Arc<Generation>> {
        match number {
            Some(number) => self.confirmed.iter().find(|generation| generation.number == number),
            None => self.confirmed.iter().rev().nth(1),
        }
    }

    /// The number that comes next.
    pub fn next_number(&self) -> u64 {
        self.last + 1
    }

    /// On which generation to come up: the last confirmed one, unless the file says something that history has
    /// never seen. A file that is bad, that was undone, or whose probation a crash cut short, does not count,
    /// nor does one that a later change has taken the place of.
    pub fn plan_startup(&self, file: Result<Document, String>, now: f64) -> StartupPlan {
        let new = |document: Document, note: &str| {
            let generation = Generation::new(self.next_number(), Arc::new(document), note.into(), now);
            let (number, text) = (generation.number, generation.document.canonical_toml());
            let staged = Record::Staged { number, at: now, note: note.into(), text };
            StartupPlan { records: vec![staged, Record::Confirmed { number }], generation, warning: None }
        };
        let kept = |confirmed: &Arc<Generation>, loud: Option<String>| StartupPlan {
            generation: confirmed.clone(),
            records: Vec::new(),
            warning: loud,
        };
        match (file, self.confirmed()) {
            (Ok(document), None) => new(document, "first start"),
            (Err(fault), None) => StartupPlan {
                warning: Some(format!("the operator file is not used, and no earlier one is kept: {fault}")),
                ..new(Document::default(), "defaults: the file is not used")
            },
            (Err(fault), Some(confirmed)) => {
                let number = confirmed.number;
                kept(
                    confirmed,
                    Some(format!("the operator file is not used; generation {number} holds: {fault}")),
                )
            }
            (Ok(document), Some(confirmed)) => {
                let digest = document.digest();
                if digest == confirmed.digest {
                    return kept(confirmed, None);
                }
                let known = self.entries.iter().rev().find(|entry| entry.digest == digest.to_string());
                let number = confirmed.number;
                let why = match known.map(|entry| (entry.number, entry.fate)) {
                    None => return new(document, "changed while the daemon was down"),
                    Some((n, GenerationStatus::Confirmed)) => {
                        format!("holds generation {n}, which {number} has replaced")
                    }
                    Some((n, GenerationStatus::RolledBack)) => {
                        format!("holds generation {n}, which was rolled back")
                    }
                    Some((n, _)) => format!("holds generation {n}, which was never confirmed"),
                };
                kept(confirmed, Some(format!("the operator file {why}; generation {number} holds")))
            }
        }
    }
}
