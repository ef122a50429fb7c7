//! What an instance states. Each fact has a key, and the newest statement of a key is the one that holds of its author.

use std::sync::Arc;

use membership::Identity;
use serde::{Deserialize, Serialize};

/// Longest name of a session that is stated as it is (bytes); a longer one is stated by its hash.
pub const MAX_SESSION_BYTES: usize = 64;

/// Where a member is told to stand; the later in this order is the stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It takes work.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is off the list.
    Gone,
}

/// A fact, with its key. New kinds are added at the end, new fields at a kind's end: who does not know a kind passes over
/// it, who does not know a field does not read it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// A session writes through this instance, or has written.
    Written {
        /// The session.
        session: Arc<str>,
        /// Whether writes of it are under way: their answers may come at any moment.
        open: bool,
        /// The latest commit that was answered (seconds, as positions are told).
        position: Option<f64>,
    },
    /// Facts of numbers up to this one are no longer stated; sessions not stated wrote at this position at the latest.
    Floor {
        /// The number.
        below: u64,
        /// The position.
        position: f64,
    },
    /// This start of another instance is over: left, followed by a later start, or forgotten by an operator. Who is there
    /// is no fact but told by sums, [`crate::message::RosterDigest`].
    Ended {
        /// Who.
        who: Identity,
    },
    /// What the list says of a member that does not simply serve.
    MemberStatus {
        /// The member.
        member: Arc<str>,
        /// Its start that this is said of (Unix seconds; 0 for long ago).
        since: f64,
        /// Which list says so.
        source: u64,
        /// Its version of the list.
        version: u64,
        /// Where it stands.
        stand: MemberStatus,
    },
    /// A member has said itself that it is the primary of its group.
    Role {
        /// The group.
        group: u32,
        /// The member.
        member: Arc<str>,
        /// Its position in the log when it said so: claims are held against each other by it.
        position: f64,
    },
    /// What this instance works by.
    Versions {
        /// The version of the list.
        list: u64,
        /// The generation of the operator's file.
        generation: u64,
        /// The program's version.
        program: Arc<str>,
    },
}

/// What a fact is about.
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
    /// What it is about.
    pub fn key(&self) -> Key {
        match self {
            Fact::Written { session, .. } => Key::Written(session.clone()),
            Fact::Floor { .. } => Key::Floor,
            Fact::Ended { who } => Key::Ended(who.name.clone()),
            Fact::MemberStatus { member, .. } => Key::MemberStatus(member.clone()),
            Fact::Role { group, .. } => Key::Role(*group),
            Fact::Versions { .. } => Key::Versions,
        }
    }

    /// Its bytes, which stand behind their length so that who does not know the kind can pass over it.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads the bytes of a fact; none where its kind is not known here. Fields behind the known ones are not read.
    pub fn decode(bytes: &[u8]) -> Option<Fact> {
        let (fact, _) = postcard::take_from_bytes::<Fact>(bytes).ok()?;
        let sound = match &fact {
            Fact::Written { session, position, .. } => {
                session.len() <= MAX_SESSION_BYTES && position.is_none_or(f64::is_finite)
            }
            Fact::Floor { position, .. } => !position.is_nan(),
            Fact::MemberStatus { since, .. } => since.is_finite(),
            Fact::Role { position, .. } => position.is_finite(),
            Fact::Ended { .. } | Fact::Versions { .. } => true,
        };
        sound.then_some(fact)
    }
}

/// A session's name as it is stated.
pub fn session(name: &str) -> Arc<str> {
    use sha2::Digest;
    if name.len() <= MAX_SESSION_BYTES {
        return name.into();
    }
    // A name as long as any is cut to what tells it apart from others.
    hex::encode(&sha2::Sha256::digest(name.as_bytes())[..16]).into()
}
