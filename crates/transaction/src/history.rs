//! State that results from the recorded steps, and the generation that a pooler starts with.

use std::collections::VecDeque;
use std::sync::Arc;

use operator::{Digest, Document};
use serde::{Deserialize, Serialize};

/// Maximum number of entries in the history.
pub const MAX_ENTRIES: usize = 64;
/// Maximum number of confirmed generations whose documents are retained.
const MAX_DOCUMENTS: usize = 4;

/// A numbered version of the configuration.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Increments from 1; a number is never reused for another document.
    pub number: u64,
    /// Digest of the document.
    pub digest: Digest,
    /// Note of the author.
    pub note: String,
    /// When the generation was staged (Unix seconds).
    pub at: f64,
    /// The operator's file.
    pub document: Arc<Document>,
}

impl Generation {
    /// Creates a generation of `document`.
    pub fn new(number: u64, document: Arc<Document>, note: String, at: f64) -> Arc<Generation> {
        Arc::new(Generation { number, digest: document.digest(), note, at, document })
    }
}

/// Status of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GenerationStatus {
    /// Recorded, but not in force yet.
    Staged,
    /// In force, on probation.
    Applied,
    /// Has passed its probation, or was confirmed by the operator.
    Confirmed,
    /// Rolled back, or never in force.
    RolledBack,
}

/// An entry of the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Number of the generation.
    pub number: u64,
    /// Digest of the document, in hexadecimal.
    pub digest: String,
    /// Note of the author.
    pub note: String,
    /// When it was staged (Unix seconds).
    pub at: f64,
    /// Status of the generation.
    pub fate: GenerationStatus,
    /// Why the generation was rolled back; empty if it was not.
    pub why: String,
}

/// A step, as it is recorded.
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
    /// The full history, which replaces all steps before it.
    Snapshot {
        entries: Vec<Entry>,
        documents: Vec<(u64, String)>,
        next: u64,
    },
}

/// History of the generations.
#[derive(Clone, Debug, Default)]
pub struct History {
    entries: VecDeque<Entry>,
    /// Confirmed generations whose documents are retained, the newest last.
    confirmed: VecDeque<Arc<Generation>>,
    /// The generation that is staged or on probation.
    open: Option<Arc<Generation>>,
    last: u64,
}

/// Configuration that a pooler starts with.
#[derive(Clone, Debug)]
pub struct StartupPlan {
    /// Generation to put in force.
    pub generation: Arc<Generation>,
    /// Steps to record for it; empty if it is recorded already.
    pub records: Vec<Record>,
    /// Warning for the operator, if there is one.
    pub warning: Option<String>,
}

impl History {
    /// Replays steps in their order. A step that cannot follow the steps before it is ignored.
    pub fn replay(records: impl IntoIterator<Item = Record>) -> History {
        let mut history = History::default();
        records.into_iter().for_each(|record| history.apply(&record));
        history
    }

    /// Applies one step; ignores it if it cannot follow the steps before it.
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
                while self.confirmed.len() > MAX_DOCUMENTS {
                    self.confirmed.pop_front();
                }
            }
            Record::RolledBack { number, why } if self.is_open(*number) => {
                self.mark(*number, GenerationStatus::RolledBack, why);
                self.open = None;
            }
            // Revokes a confirmation that may not have been written to disk.
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

    /// Applies the staging of a generation with the next number, without parsing its document again.
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

    /// Returns the history as one step, without the open generation: if no steps follow the snapshot, the
    /// open generation is gone after a restart.
    pub fn snapshot(&self) -> Record {
        let closed = self.entries.iter().filter(|entry| !self.is_open(entry.number));
        Record::Snapshot {
            entries: closed.cloned().collect(),
            documents: self.confirmed.iter().map(|g| (g.number, g.document.canonical_toml())).collect(),
            next: self.open.as_ref().map_or(self.last, |open| open.number - 1),
        }
    }

    /// Steps of the open generation, to be recorded after a snapshot.
    pub fn open_steps(&self) -> Vec<Record> {
        let Some(open) = &self.open else { return Vec::new() };
        let text = open.document.canonical_toml();
        let staged = Record::Staged { number: open.number, at: open.at, note: open.note.clone(), text };
        let applied = self.entries.back().is_some_and(|entry| entry.fate == GenerationStatus::Applied);
        let applied = applied.then_some(Record::Applied { number: open.number });
        std::iter::once(staged).chain(applied).collect()
    }

    /// Entries, the newest last.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns the last confirmed generation, which a restart after a crash uses.
    pub fn confirmed(&self) -> Option<&Arc<Generation>> {
        self.confirmed.back()
    }

    /// A confirmed generation whose document is retained: the one with this number, or the second newest.
    pub fn rollback_target(&self, number: Option<u64>) -> Option<&Arc<Generation>> {
        match number {
            Some(number) => self.confirmed.iter().find(|generation| generation.number == number),
            None => self.confirmed.iter().rev().nth(1),
        }
    }

    /// Returns the number of the next generation.
    pub fn next_number(&self) -> u64 {
        self.last + 1
    }

    /// Chooses the generation to start with: the last confirmed one, unless the file holds a document that is
    /// not in the history. A file is ignored if it cannot be read, or if its document was rolled back, was
    /// never confirmed because a crash ended its probation, or was replaced by a later change.
    pub fn plan_startup(&self, file: Result<Document, String>, now: f64) -> StartupPlan {
        let new = |document: Document, note: &str| {
            let generation = Generation::new(self.next_number(), Arc::new(document), note.into(), now);
            let (number, text) = (generation.number, generation.document.canonical_toml());
            let staged = Record::Staged { number, at: now, note: note.into(), text };
            StartupPlan { records: vec![staged, Record::Confirmed { number }], generation, warning: None }
        };
        let keep = |confirmed: &Arc<Generation>, warning: Option<String>| StartupPlan {
            generation: confirmed.clone(),
            records: Vec::new(),
            warning,
        };
        match (file, self.confirmed()) {
            (Ok(document), None) => new(document, "first start"),
            (Err(error), None) => StartupPlan {
                warning: Some(format!(
                    "the operator file is not used, and no earlier one is stored: {error}"
                )),
                ..new(Document::default(), "defaults: the file is not used")
            },
            (Err(error), Some(confirmed)) => {
                let number = confirmed.number;
                keep(
                    confirmed,
                    Some(format!("the operator file is not used; generation {number} is in force: {error}")),
                )
            }
            (Ok(document), Some(confirmed)) => {
                let digest = document.digest();
                if digest == confirmed.digest {
                    return keep(confirmed, None);
                }
                let entry_of_file =
                    self.entries.iter().rev().find(|entry| entry.digest == digest.to_string());
                let number = confirmed.number;
                let why = match entry_of_file.map(|entry| (entry.number, entry.fate)) {
                    None => return new(document, "changed while the daemon was down"),
                    Some((n, GenerationStatus::Confirmed)) => {
                        format!("holds generation {n}, which generation {number} has replaced")
                    }
                    Some((n, GenerationStatus::RolledBack)) => {
                        format!("holds generation {n}, which was rolled back")
                    }
                    Some((n, _)) => format!("holds generation {n}, which was never confirmed"),
                };
                keep(confirmed, Some(format!("the operator file {why}; generation {number} is in force")))
            }
        }
    }
}
