//! The settings of a session and of the server connection that it is on, through transactions: what is rolled back is
//! undone at both.

use std::collections::BTreeMap;

use sql::{Change, Control, Kind};

/// Settings by name, each with its value as SQL.
pub type Settings = BTreeMap<String, String>;

/// What a statement does to settings and transactions once it has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing that is kept.
    None,
    /// A setting has this value.
    Set(String, String),
    /// A setting is what it was at the start.
    Reset(String),
    /// All settings are.
    ResetAll,
    /// All that the session has is gone.
    DiscardAll,
    /// All prepared statements are.
    DeallocateAll,
    /// A transaction has ended, well if its tag says so.
    Commit,
    /// A transaction has been undone.
    Rollback,
    /// A mark is set.
    Savepoint(String),
    /// What came after a mark is undone.
    RollbackTo(String),
    /// A mark is forgotten.
    Release(String),
}

impl Effect {
    /// What a statement of this kind does.
    pub fn of(kind: &Kind) -> Effect {
        match kind {
            Kind::Session(change) => match change.clone() {
                Change::Set { local: true, .. } => Effect::None,
                Change::Set { name, value, .. } => Effect::Set(name, value),
                Change::Reset(name) => Effect::Reset(name),
                Change::ResetAll => Effect::ResetAll,
                Change::DiscardAll => Effect::DiscardAll,
                Change::DeallocateAll => Effect::DeallocateAll,
            },
            Kind::Control(control) => match control.clone() {
                Control::Begin { .. } => Effect::None,
                // The first phase of two ends the session's part.
                Control::Commit | Control::Prepare => Effect::Commit,
                Control::Rollback => Effect::Rollback,
                Control::Savepoint(name) => Effect::Savepoint(name),
                Control::RollbackTo(name) => Effect::RollbackTo(name),
                Control::Release(name) => Effect::Release(name),
            },
            Kind::Read | Kind::Write | Kind::Unknown(_) => Effect::None,
        }
    }
}

/// Most marks of one transaction that are told apart. Past it the oldest are forgotten, and going back to one of them
/// then goes back to the transaction's start.
const MOST_MARKS: usize = 64;

/// What the session means its settings to be, and what the server connection has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Both {
    ours: Settings,
    theirs: Settings,
}

/// The settings of a session and of the server connection that it is on.
#[derive(Clone, Debug, Default)]
pub struct SettingsTracker {
    /// Those of the session's start, to which a reset goes back.
    start: Settings,
    kept: Both,
    now: Both,
    marks: Vec<(String, Both)>,
}

impl SettingsTracker {
    /// A session that starts with these.
    pub fn new(start: Settings) -> SettingsTracker {
        let kept = Both { ours: start.clone(), theirs: Settings::new() };
        SettingsTracker { start, now: kept.clone(), kept, marks: Vec::new() }
    }

    /// The session is on a server connection that has these.
    pub fn attach(&mut self, theirs: Settings) {
        self.now.theirs = theirs.clone();
        self.kept.theirs = theirs;
    }

    /// It is so no longer; what the connection has.
    pub fn detach(&mut self) -> Settings {
        self.marks.clear();
        self.now = self.kept.clone();
        std::mem::take(&mut self.now.theirs)
    }

    /// What the session's settings are.
    pub fn session_settings(&self) -> &Settings {
        &self.now.ours
    }

    /// The SQL that brings the connection to what the session's settings are; none where it is there.
    pub fn sync_sql(&self) -> Option<String> {
        let Both { ours, theirs } = &self.now;
        let stale =
            theirs.keys().filter(|name| !ours.contains_key(*name)).map(|name| format!("RESET {name}"));
        let other = ours.iter().filter(|(name, value)| theirs.get(*name) != Some(value));
        let other = other.map(|(name, value)| format!("SET {name} TO {value}"));
        let all: Vec<String> = stale.chain(other).collect();
        (!all.is_empty()).then(|| all.join(";"))
    }

    /// That SQL has been carried out.
    pub fn mark_synchronized(&mut self) {
        self.now.theirs = self.now.ours.clone();
        self.kept.theirs = self.now.theirs.clone();
    }

    /// A statement has run; `tag` is what the server calls it.
    pub fn apply(&mut self, effect: &Effect, tag: &str) {
        match effect {
            Effect::None | Effect::DeallocateAll => {}
            Effect::Set(name, value) => {
                self.now.ours.insert(name.clone(), value.clone());
                self.now.theirs.insert(name.clone(), value.clone());
            }
            Effect::Reset(name) => {
                self.now.theirs.remove(name);
                match self.start.get(name) {
                    Some(value) => drop(self.now.ours.insert(name.clone(), value.clone())),
                    None => drop(self.now.ours.remove(name)),
                }
            }
            Effect::ResetAll | Effect::DiscardAll => {
                self.now = Both { ours: self.start.clone(), theirs: Settings::new() };
            }
            // What had failed ends in a rollback, whatever it was asked to do.
            Effect::Commit if tag == "COMMIT" || tag == "PREPARE TRANSACTION" => self.keep(),
            Effect::Commit | Effect::Rollback => self.undo(),
            Effect::Savepoint(name) => {
                self.marks.push((name.clone(), self.now.clone()));
                if self.marks.len() > MOST_MARKS {
                    self.marks.remove(0);
                }
            }
            Effect::RollbackTo(name) => match self.marks.iter().rposition(|(known, _)| known == name) {
                Some(at) => {
                    self.now = self.marks[at].1.clone();
                    self.marks.truncate(at + 1);
                }
                None => self.now = self.kept.clone(),
            },
            Effect::Release(name) => {
                if let Some(at) = self.marks.iter().rposition(|(known, _)| known == name) {
                    self.marks.truncate(at);
                }
            }
        }
    }

    /// The server is outside of a transaction; whether what came before it failed.
    pub fn end_transaction(&mut self, failed: bool) {
        if failed {
            self.undo();
        } else {
            self.keep();
        }
    }

    fn keep(&mut self) {
        self.marks.clear();
        self.kept = self.now.clone();
    }

    fn undo(&mut self) {
        self.marks.clear();
        self.now = self.kept.clone();
    }
}
