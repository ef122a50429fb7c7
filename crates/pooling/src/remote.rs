//! What is known of the state of a server connection.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use sha2::{Digest as _, Sha256};

use crate::vars::Settings;

/// A prepared statement's content: its text and its types.
pub type StatementDigest = [u8; 16];

/// A statement that a client has prepared.
#[derive(Debug, PartialEq, Eq)]
pub struct PreparedStatement {
    /// Names it at the servers.
    pub digest: StatementDigest,
    /// Its text.
    pub text: String,
    /// The types of its parameters, as they were told.
    pub types: Vec<u8>,
    /// What its text is.
    pub scan: sql::Scan,
}

impl PreparedStatement {
    /// A statement of a text and the types of its parameters.
    pub fn new(text: &str, types: &[u8]) -> Rc<PreparedStatement> {
        let hash = Sha256::new().chain_update(types).chain_update([0]).chain_update(text).finalize();
        let mut digest = StatementDigest::default();
        digest.copy_from_slice(&hash[..16]);
        Rc::new(PreparedStatement { digest, text: text.into(), types: types.into(), scan: sql::scan(text) })
    }

    /// Its name at the servers.
    pub fn name(&self) -> String {
        format!("dewferry_{}", hex::encode(self.digest))
    }
}

/// The name at the servers of a statement of this content.
pub(crate) fn name(digest: &StatementDigest) -> String {
    format!("dewferry_{}", hex::encode(digest))
}

/// Settings as a number.
pub(crate) fn state(settings: &Settings) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.hash(&mut hasher);
    hasher.finish()
}

/// What is known of the state of a server connection.
#[derive(Debug, Default)]
pub struct ServerSessionState {
    /// Its settings, beside those that it started with.
    pub settings: Settings,
    /// What it has told of its settings.
    pub parameters: BTreeMap<String, String>,
    /// The statements that are prepared there, each with when it was used last.
    statements: HashMap<StatementDigest, u64>,
    /// Those that must be closed before they can be prepared anew.
    stale: Vec<StatementDigest>,
    /// The statement without a name.
    pub(crate) unnamed: Option<StatementDigest>,
    clock: u64,
    /// Most statements that are kept prepared.
    most: usize,
}

impl ServerSessionState {
    /// A new connection that keeps so many statements prepared at the most.
    pub fn new(most: usize) -> ServerSessionState {
        ServerSessionState { most: most.max(1), ..ServerSessionState::default() }
    }

    /// Whether a statement is prepared there; it counts as used.
    pub(crate) fn has(&mut self, digest: &StatementDigest) -> bool {
        self.clock += 1;
        let clock = self.clock;
        self.statements.get_mut(digest).map(|used| *used = clock).is_some()
    }

    /// A statement is being prepared there. Which must be closed before, for it to be so or to make room.
    pub(crate) fn add(&mut self, digest: StatementDigest) -> Vec<StatementDigest> {
        let mut close = Vec::new();
        if let Some(at) = self.stale.iter().position(|stale| *stale == digest) {
            close.push(self.stale.swap_remove(at));
        }
        while self.statements.len() >= self.most {
            let oldest = self.statements.iter().min_by_key(|(_, used)| **used).map(|(digest, _)| *digest);
            let Some(oldest) = oldest else { break };
            self.statements.remove(&oldest);
            close.push(oldest);
        }
        self.clock += 1;
        self.statements.insert(digest, self.clock);
        close
    }

    /// A statement was not prepared there after all.
    pub(crate) fn lack(&mut self, digest: &StatementDigest) {
        self.statements.remove(digest);
    }

    /// The plans there no longer hold: each statement is prepared anew when it is used next.
    pub(crate) fn stale(&mut self) {
        self.stale.extend(self.statements.drain().map(|(digest, _)| digest));
        self.unnamed = None;
    }

    /// Nothing is prepared there any more.
    pub(crate) fn forget(&mut self) {
        self.statements.clear();
        self.stale.clear();
        self.unnamed = None;
    }

    /// Its settings as a number.
    pub fn settings_hash(&self) -> u64 {
        state(&self.settings)
    }

    /// How many statements are prepared there.
    pub fn prepared_count(&self) -> usize {
        self.statements.len() + self.stale.len()
    }
}
