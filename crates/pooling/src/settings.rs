//! Tracks the settings of a session and of its server connection through transactions: a rollback restores
//! both.

use std::collections::BTreeMap;

use sql::{Change, Control, Kind};

/// Settings by name, each with its value as SQL text.
pub type Settings = BTreeMap<String, String>;

/// The effect of a completed statement on settings, prepared statements and transactions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// No lasting effect.
    #[default]
    None,
    /// Sets a setting to a value.
    Set(String, String),
    /// Resets a setting to its value at the session's start.
    Reset(String),
    /// Resets all settings.
    ResetAll,
    /// Discards all state of the session.
    DiscardAll,
    /// Deallocates all prepared statements.
    DeallocateAll,
    /// Ends a transaction; it was committed only if the command tag says so.
    Commit,
    /// Rolls back a transaction.
    Rollback,
    /// Sets a savepoint.
    Savepoint(String),
    /// Rolls back to a savepoint.
    RollbackTo(String),
    /// Releases a savepoint.
    Release(String),
}

impl Effect {
    /// Returns the size of the texts in it (bytes).
    pub(crate) fn text_bytes(&self) -> usize {
        match self {
            Effect::Set(name, value) => name.len() + value.len(),
            Effect::Reset(name)
            | Effect::Savepoint(name)
            | Effect::RollbackTo(name)
            | Effect::Release(name) => name.len(),
            _ => 0,
        }
    }

    /// Returns the effect of a statement of this kind.
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
                // The first phase of a two-phase commit ends the transaction for the session.
                Control::Commit { .. } | Control::Prepare => Effect::Commit,
                Control::Rollback { .. } => Effect::Rollback,
                Control::Savepoint(name) => Effect::Savepoint(name),
                Control::RollbackTo(name) => Effect::RollbackTo(name),
                Control::Release(name) => Effect::Release(name),
            },
            Kind::Read | Kind::Write | Kind::Unknown(_) => Effect::None,
        }
    }
}

/// Maximum number of savepoints tracked in a transaction. Beyond it the oldest are dropped, and a rollback to
/// a dropped savepoint restores the settings of the transaction's start.
const MAX_SAVEPOINTS: usize = 64;

/// Maximum memory of a session's settings (bytes). A further setting is not tracked.
const MAX_SETTINGS_BYTES: usize = 16 * 1024;
/// Maximum memory of the settings that savepoints keep (bytes); beyond it the oldest are dropped, too.
const MAX_SAVEPOINT_BYTES: usize = 256 * 1024;
/// Memory of a setting beside its name and its value (bytes).
const SETTING_OVERHEAD: usize = 64;

/// Returns the memory that settings take (bytes).
fn memory_of(settings: &Settings) -> usize {
    settings.iter().map(|(name, value)| name.len() + value.len() + SETTING_OVERHEAD).sum()
}

/// The settings that the session wants, and those that its server connection has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct SettingsPair {
    session: Settings,
    server: Settings,
}

impl SettingsPair {
    fn memory(&self) -> usize {
        memory_of(&self.session) + memory_of(&self.server)
    }
}

/// The settings of a session and of its server connection.
#[derive(Clone, Debug, Default)]
pub struct SettingsTracker {
    /// Settings at the session's start, to which a reset returns.
    start: Settings,
    /// Settings as of the last commit, to which a rollback returns.
    committed: SettingsPair,
    current: SettingsPair,
    savepoints: Vec<(String, SettingsPair)>,
    /// Whether `current` may differ from `committed`.
    changed: bool,
    /// The memory that all of them take (bytes).
    memory: usize,
}

impl SettingsTracker {
    /// Creates the tracker of a session that starts with these settings.
    pub fn new(start: Settings) -> SettingsTracker {
        let committed = SettingsPair { session: start.clone(), server: Settings::new() };
        let current = committed.clone();
        let mut tracker =
            SettingsTracker { start, current, committed, savepoints: Vec::new(), changed: false, memory: 0 };
        tracker.update_memory();
        tracker
    }

    /// Returns the memory that the settings take (bytes).
    pub fn memory(&self) -> usize {
        self.memory
    }

    fn update_memory(&mut self) {
        let pairs = self.committed.memory() + self.current.memory();
        self.memory = memory_of(&self.start) + pairs + self.savepoint_memory();
    }

    fn savepoint_memory(&self) -> usize {
        self.savepoints.iter().map(|(name, pair)| name.len() + pair.memory()).sum()
    }

    /// Records that the session is attached to a server connection with these settings.
    pub fn attach(&mut self, server: Settings) {
        self.current.server = server.clone();
        self.committed.server = server;
        self.update_memory();
    }

    /// Records that the session is detached. Returns the committed settings of the connection.
    pub fn detach(&mut self) -> Settings {
        self.savepoints.clear();
        self.current = self.committed.clone();
        let server = std::mem::take(&mut self.current.server);
        self.update_memory();
        server
    }

    /// Returns the session's current settings.
    pub fn session_settings(&self) -> &Settings {
        &self.current.session
    }

    /// Returns the SQL that changes the connection's settings to the session's, or none if they are equal.
    pub fn sync_sql(&self) -> Option<String> {
        let SettingsPair { session, server } = &self.current;
        let resets =
            server.keys().filter(|name| !session.contains_key(*name)).map(|name| format!("RESET {name}"));
        let changed = session.iter().filter(|(name, value)| server.get(*name) != Some(value));
        let sets = changed.map(|(name, value)| format!("SET {name} TO {value}"));
        let all: Vec<String> = resets.chain(sets).collect();
        (!all.is_empty()).then(|| all.join(";"))
    }

    /// Records that the SQL of [`SettingsTracker::sync_sql`] has been sent.
    pub fn mark_synchronized(&mut self) {
        self.current.server = self.current.session.clone();
        self.committed.server = self.current.server.clone();
        self.update_memory();
    }

    /// Applies the effect of a completed statement; `tag` is the server's command tag. Returns false for a
    /// setting that is not tracked, since there are too many: the connection has it, and no other can get it.
    pub fn apply(&mut self, effect: &Effect, tag: &str) -> bool {
        let changes = !matches!(effect, Effect::None | Effect::DeallocateAll);
        self.changed |= changes;
        let tracked = self.apply_tracked(effect, tag);
        if changes {
            self.update_memory();
        }
        tracked
    }

    fn apply_tracked(&mut self, effect: &Effect, tag: &str) -> bool {
        match effect {
            Effect::None | Effect::DeallocateAll => {}
            Effect::Set(name, value) if !self.has_room_for(name, value) => return false,
            Effect::Set(name, value) => {
                self.current.session.insert(name.clone(), value.clone());
                self.current.server.insert(name.clone(), value.clone());
            }
            Effect::Reset(name) => {
                self.current.server.remove(name);
                match self.start.get(name) {
                    Some(value) => drop(self.current.session.insert(name.clone(), value.clone())),
                    None => drop(self.current.session.remove(name)),
                }
            }
            Effect::ResetAll | Effect::DiscardAll => {
                self.current = SettingsPair { session: self.start.clone(), server: Settings::new() };
            }
            // A failed transaction is rolled back, even by a COMMIT.
            Effect::Commit if tag == "COMMIT" || tag == "PREPARE TRANSACTION" => self.commit(),
            Effect::Commit | Effect::Rollback => self.rollback(),
            Effect::Savepoint(name) => {
                self.savepoints.push((name.clone(), self.current.clone()));
                while self.savepoints.len() > MAX_SAVEPOINTS || self.savepoint_memory() > MAX_SAVEPOINT_BYTES
                {
                    self.savepoints.remove(0);
                }
            }
            Effect::RollbackTo(name) => match self.savepoints.iter().rposition(|(known, _)| known == name) {
                Some(at) => {
                    self.current = self.savepoints[at].1.clone();
                    self.savepoints.truncate(at + 1);
                }
                None => self.current = self.committed.clone(),
            },
            Effect::Release(name) => {
                if let Some(at) = self.savepoints.iter().rposition(|(known, _)| known == name) {
                    self.savepoints.truncate(at);
                }
            }
        }
        true
    }

    /// Returns true if a setting can be tracked beside the others.
    fn has_room_for(&self, name: &str, value: &str) -> bool {
        let known = self.current.session.get(name).map_or(0, |old| name.len() + old.len() + SETTING_OVERHEAD);
        let needed = name.len() + value.len() + SETTING_OVERHEAD;
        memory_of(&self.current.session) - known + needed <= MAX_SETTINGS_BYTES
    }

    /// Records that the server is outside of a transaction: commits the settings, or restores the committed
    /// ones if the batch or query before it failed.
    pub fn end_transaction(&mut self, failed: bool) {
        // Most transactions change no setting: nothing is copied for them.
        if !self.changed {
            return;
        }
        if failed {
            self.rollback();
        } else {
            self.commit();
        }
        self.update_memory();
    }

    fn commit(&mut self) {
        self.changed = false;
        self.savepoints.clear();
        self.committed = self.current.clone();
    }

    fn rollback(&mut self) {
        self.changed = false;
        self.savepoints.clear();
        self.current = self.committed.clone();
    }
}
