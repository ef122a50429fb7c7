//! Identifiers of the protocol: processes, sessions, and the ballots that order the claims of a session.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// One start of a process (a pooler or a control instance).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// A hash of the process's name.
    pub name: u64,
    /// The number of the start; rises with each start.
    pub incarnation: u64,
}

impl ProcessId {
    /// The process called `name` in its start `incarnation`.
    pub fn new(name: &str, incarnation: u64) -> ProcessId {
        ProcessId { name: hash_of(name.as_bytes()), incarnation }
    }
}

/// Identifies a session: a hash of 128 bits of its name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey([u8; 16]);

impl SessionKey {
    /// The key of the session called `name`.
    pub fn new(name: &str) -> SessionKey {
        let mut key = [0; 16];
        key.copy_from_slice(&Sha256::digest(name.as_bytes())[..16]);
        SessionKey(key)
    }

    /// 64 of its bits, for placement.
    pub fn bits(&self) -> u64 {
        let mut eight = [0; 8];
        eight.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(eight)
    }
}

impl fmt::Debug for SessionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.bits())
    }
}

/// Orders the claims of one session; the owner makes a ballot unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than the counter of any claim that the owner knew of.
    pub counter: u64,
    /// The claimant.
    pub owner: ProcessId,
}

/// Returns the first 64 bits of the SHA-256 of `bytes`.
pub(crate) fn hash_of(bytes: &[u8]) -> u64 {
    let mut eight = [0; 8];
    eight.copy_from_slice(&Sha256::digest(bytes)[..8]);
    u64::from_be_bytes(eight)
}
