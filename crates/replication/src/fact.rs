//! Facts that an instance publishes. Each fact has a key; the newest fact of a key replaces the author's
//! earlier ones.

use std::sync::Arc;

use membership::Identity;
use serde::{Deserialize, Serialize};

/// Maximum length of a session's name (bytes); longer names are replaced by a hash.
pub const MAX_SESSION_BYTES: usize = 64;

/// Status of a member according to the list; variants are ordered by strictness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// The member takes requests.
    Serving,
    /// The member finishes its requests and gets no new ones.
    Draining,
    /// The member is off the list.
    Gone,
}

/// A fact. New kinds are added at the end of the enum, new fields at the end of a kind: an instance skips
/// kinds that it doesn't know and ignores trailing fields that it doesn't know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// A session is writing, or has written, through this instance.
    Written {
        /// The session.
        session: Arc<str>,
        /// Whether writes of the session are in progress, so that their answers may be given at any moment.
        open: bool,
        /// Position of the latest commit that was answered (seconds, as positions are reported).
        position: Option<f64>,
    },
    /// Facts up to a number are no longer published; sessions without a fact wrote at this position at the
    /// latest.
    Floor {
        /// The highest number of the removed facts.
        below: u64,
        /// The latest position of writes of the removed sessions.
        position: f64,
    },
    /// This start of another instance has ended: it left, was followed by a later start, or was forgotten by
    /// an operator. The set of running instances is not published as facts but compared by digest,
    /// [`crate::message::RosterDigest`].
    Ended {
        /// The instance that has ended.
        identity: Identity,
    },
    /// Status of a member according to the list, unless it is serving.
    MemberStatus {
        /// The member.
        member: Arc<str>,
        /// Start of the member to which the status applies (Unix seconds; 0 if long ago).
        since: f64,
        /// Identifies the list.
        source: u64,
        /// Version of that list.
        version: u64,
        /// Status of the member.
        status: MemberStatus,
    },
    /// A member has reported that it is the primary of its group.
    Role {
        /// The group.
        group: u32,
        /// The member.
        member: Arc<str>,
        /// Log position of the member when it reported; claims are compared by it.
        position: f64,
    },
    /// Versions of list, configuration and program that this instance uses.
    Versions {
        /// Version of the list.
        list: u64,
        /// Generation of the operator's file.
        generation: u64,
        /// Version of the program.
        program: Arc<str>,
    },
}

/// Key of a fact.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[allow(missing_docs)]
pub enum Key {
    Written(Arc<str>),
    Floor,
    Ended(Arc<str>),
    MemberStatus(Arc<str>),
    Role(u32),
    Versions,
}

impl Fact {
    /// Returns the key of the fact.
    pub fn key(&self) -> Key {
        match self {
            Fact::Written { session, .. } => Key::Written(session.clone()),
            Fact::Floor { .. } => Key::Floor,
            Fact::Ended { identity } => Key::Ended(identity.name.clone()),
            Fact::MemberStatus { member, .. } => Key::MemberStatus(member.clone()),
            Fact::Role { group, .. } => Key::Role(*group),
            Fact::Versions { .. } => Key::Versions,
        }
    }

    /// Encodes the fact. The encoding is sent with its length, so that a receiver can skip a kind that it
    /// doesn't know.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a fact. Returns `None` if its kind is unknown or a value is invalid; bytes after the known
    /// fields are ignored.
    pub fn decode(bytes: &[u8]) -> Option<Fact> {
        let (fact, _) = postcard::take_from_bytes::<Fact>(bytes).ok()?;
        let valid = match &fact {
            Fact::Written { session, position, .. } => {
                session.len() <= MAX_SESSION_BYTES && position.is_none_or(f64::is_finite)
            }
            Fact::Floor { position, .. } => !position.is_nan(),
            Fact::MemberStatus { since, .. } => since.is_finite(),
            Fact::Role { position, .. } => position.is_finite(),
            Fact::Ended { .. } | Fact::Versions { .. } => true,
        };
        valid.then_some(fact)
    }
}

/// Returns a session's name as it is published: the name itself, or its hash if it is too long.
pub fn published_session(name: &str) -> Arc<str> {
    use sha2::Digest;
    if name.len() <= MAX_SESSION_BYTES {
        return name.into();
    }
    // The first 16 bytes of the hash are enough to distinguish sessions.
    hex::encode(&sha2::Sha256::digest(name.as_bytes())[..16]).into()
}
