//! The tracked state of a server connection: its settings and prepared statements.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use sha2::{Digest as _, Sha256};

use crate::settings::Settings;

/// Digest of a prepared statement's text and parameter types.
pub type StatementDigest = [u8; 16];

/// A statement that a client has prepared.
#[derive(Debug, PartialEq, Eq)]
pub struct PreparedStatement {
    /// Digest of text and types; determines the statement's name on the servers.
    pub digest: StatementDigest,
    /// SQL text.
    pub text: String,
    /// Parameter types, as sent by the client.
    pub types: Vec<u8>,
    /// Classification of the text.
    pub scan: sql::Scan,
    /// The memory that the statement takes (bytes).
    pub memory: usize,
}

/// Memory of a prepared statement beside its text, its types and its classification: its fields, and its entries
/// in tables (bytes).
const STATEMENT_OVERHEAD: usize = 256;

impl PreparedStatement {
    /// Creates a statement from its text and parameter types.
    pub fn new(text: &str, types: &[u8]) -> Rc<PreparedStatement> {
        let hash = Sha256::new().chain_update(types).chain_update([0]).chain_update(text).finalize();
        let mut digest = StatementDigest::default();
        digest.copy_from_slice(&hash[..16]);
        let scan = sql::scan(text);
        let memory = STATEMENT_OVERHEAD + text.len() + types.len() + scan.memory();
        Rc::new(PreparedStatement { digest, text: text.into(), types: types.into(), scan, memory })
    }

    /// Returns the statement's name on the servers.
    pub fn name(&self) -> String {
        format!("dewferry_{}", hex::encode(self.digest))
    }
}

/// Returns the name on the servers of the statement with this digest.
pub(crate) fn server_name(digest: &StatementDigest) -> String {
    format!("dewferry_{}", hex::encode(digest))
}

/// Returns a hash of settings; equal settings have equal hashes.
pub(crate) fn settings_hash(settings: &Settings) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.hash(&mut hasher);
    hasher.finish()
}

/// A statement that is prepared on a server connection, or is being prepared.
#[derive(Debug)]
struct ServerStatement {
    /// The value of the connection's clock at its last use.
    last_use: u64,
    /// Whether the server has said that it is prepared.
    confirmed: bool,
}

/// The tracked state of a server connection.
#[derive(Debug, Default)]
pub struct ServerSessionState {
    /// Settings that differ from those that the connection started with.
    pub settings: Settings,
    /// Values of the settings that the server reported in ParameterStatus messages.
    pub parameters: BTreeMap<String, String>,
    /// Statements prepared on the connection.
    statements: HashMap<StatementDigest, ServerStatement>,
    /// Statements that must be closed before they can be prepared again; some may not exist.
    stale: Vec<StatementDigest>,
    /// The unnamed statement.
    pub(crate) unnamed: Option<StatementDigest>,
    /// Counts the uses of statements; orders them by their last use.
    clock: u64,
    /// Maximum number of prepared statements.
    max_statements: usize,
}

impl ServerSessionState {
    /// Creates the state of a new connection that keeps at most `max_statements` statements prepared.
    pub fn new(max_statements: usize) -> ServerSessionState {
        ServerSessionState { max_statements: max_statements.max(1), ..ServerSessionState::default() }
    }

    /// Returns true if a statement is prepared, and counts that as a use.
    pub(crate) fn is_prepared(&mut self, digest: &StatementDigest) -> bool {
        self.clock += 1;
        let clock = self.clock;
        self.statements.get_mut(digest).map(|statement| statement.last_use = clock).is_some()
    }

    /// Records that a statement is being prepared. Returns the statements that must be closed first: a stale
    /// one of the same digest, all stale ones if there are many, and the least recently used one if the limit is
    /// reached.
    pub(crate) fn add_statement(&mut self, digest: StatementDigest) -> Vec<StatementDigest> {
        let mut to_close = Vec::new();
        if let Some(at) = self.stale.iter().position(|known| *known == digest) {
            to_close.push(self.stale.swap_remove(at));
        }
        if self.stale.len() > self.max_statements {
            to_close.append(&mut self.stale);
        }
        while self.statements.len() >= self.max_statements {
            let oldest = self.statements.iter().min_by_key(|(_, statement)| statement.last_use);
            let oldest = oldest.map(|(digest, _)| *digest);
            let Some(oldest) = oldest else { break };
            self.statements.remove(&oldest);
            to_close.push(oldest);
        }
        self.clock += 1;
        self.statements.insert(digest, ServerStatement { last_use: self.clock, confirmed: false });
        to_close
    }

    /// Records that the server has prepared a statement.
    pub(crate) fn confirm_statement(&mut self, digest: &StatementDigest) {
        if let Some(statement) = self.statements.get_mut(digest) {
            statement.confirmed = true;
        }
    }

    /// Returns true if a statement is being prepared, and the server has not said yet that it is.
    pub(crate) fn is_unconfirmed(&self, digest: &StatementDigest) -> bool {
        self.statements.get(digest).is_some_and(|statement| !statement.confirmed)
    }

    /// Marks a statement as stale: it is closed and prepared again at its next use.
    pub(crate) fn mark_statement_stale(&mut self, digest: StatementDigest) {
        self.statements.remove(&digest);
        if !self.stale.contains(&digest) {
            self.stale.push(digest);
        }
    }

    /// Marks all statements as stale: each is closed and prepared again at its next use.
    pub(crate) fn mark_stale(&mut self) {
        self.stale.extend(self.statements.drain().map(|(digest, _)| digest));
        self.unnamed = None;
    }

    /// Removes all statements, after the server has deallocated them.
    pub(crate) fn clear_statements(&mut self) {
        self.statements.clear();
        self.stale.clear();
        self.unnamed = None;
    }

    /// Records that the server has discarded all state of its session.
    pub fn reset(&mut self) {
        self.settings.clear();
        self.clear_statements();
    }

    /// Returns a hash of the connection's settings.
    pub fn settings_hash(&self) -> u64 {
        settings_hash(&self.settings)
    }

    /// Returns the number of statements that exist on the server, stale ones included.
    pub fn prepared_count(&self) -> usize {
        self.statements.len() + self.stale.len()
    }
}
