//! Messages among instances. A message is a head, which every version reads, and a body of a numbered kind; who does not
//! know a kind passes over it. All of it is sealed ([`crate::auth`]).

use std::sync::Arc;

use membership::Identity;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::auth::SEAL_BYTES;
use crate::fact::Fact;
use crate::view::{TenantUsage, View};

/// The version of the head. Bodies change by new kinds and by fields at their ends. Of version 1, which stated who is
/// there as facts, nothing was released.
pub const VERSION: u8 = 2;
/// Longest datagram (bytes), its seal included.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Longest message on a stream (bytes), its seal included.
pub const MAX_STREAM_MESSAGE_BYTES: usize = 32 * 1024;
/// Bytes that a head takes at the most: names of 64 bytes, an address, numbers.
pub const MAX_HEADER_BYTES: usize = 200;
/// Room for a body in a datagram.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - SEAL_BYTES - MAX_HEADER_BYTES;

/// Who speaks, and to which start of whom.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// [`VERSION`].
    pub version: u8,
    /// Who speaks.
    pub from: Identity,
    /// The number of his message; only rises.
    pub number: u64,
    /// The start of whom it is to; 0 where that is not known.
    pub to: u64,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// May I go by what I have of your log? Answered by [`Body::LeaseGrant`].
    LeaseRequest {
        /// The asker's number of this question.
        question: u64,
        /// How far he has read the log of whom he asks; 0 for another start of it.
        read: ReadProgress,
        /// Whom he knows: what he says to have read counts once they are known.
        own: RosterDigest,
        /// Whether he wants a lease: without one it is only to hear of each other.
        lease: bool,
        /// Instances that do not answer him, their starts, and how far he has read their logs.
        missing: Vec<(Arc<str>, u64, u64)>,
    },
    /// What you have of my log may be gone by for so long from the moment you asked, once it reaches this far.
    LeaseGrant {
        /// The question.
        question: u64,
        /// The highest number of the log.
        upto: u64,
        /// Whom the speaker knows: the lease counts once they are known.
        own: RosterDigest,
        /// How long (milliseconds); 0 for not at all.
        lease_ms: u32,
        /// For so long (milliseconds) after that moment the speaker answers no write without a majority.
        long_ms: u32,
        /// Of those missing, the ones that do not answer the speaker either.
        covers: Vec<Coverage>,
    },
    /// Facts of the speaker's log, of the numbers from `from`, not included, to `upto`.
    Push {
        /// See above.
        from: u64,
        /// See above.
        upto: u64,
        /// How far the log had come.
        end: u64,
        /// With their numbers, as bytes.
        facts: Vec<(u64, Vec<u8>)>,
    },
    /// The log of whom it is to has been read so far.
    ReadAck {
        /// How far.
        read: ReadProgress,
        /// As in [`Body::LeaseRequest`].
        own: RosterDigest,
    },
    /// How members look to the speaker.
    Views {
        /// The number of his round.
        round: u64,
        /// The members.
        views: Vec<View>,
        /// What tenants use of him.
        usage: Vec<TenantUsage>,
    },
    /// Membership's own.
    Swim(Vec<u8>),
    /// The speaker ends; his log ends there.
    Leave {
        /// The highest number of the log.
        upto: u64,
    },
    /// On a stream: the log from this number on, in pieces.
    Fetch {
        /// The number that the asker has read.
        from: u64,
    },
    /// This start of whom it is to has been called over.
    Ended {
        /// The start.
        start: u64,
    },
    /// Facts of another's log, who does not answer the speaker either.
    Relayed {
        /// Whose log.
        author: Identity,
        /// As in [`Body::Push`].
        from: u64,
        /// As in [`Body::Push`].
        upto: u64,
        /// As in [`Body::Push`].
        end: u64,
        /// As in [`Body::Push`].
        facts: Vec<(u64, Vec<u8>)>,
    },
    /// Instances that the speaker knows and that are there, of the numbers from `from`, not included, to `upto`.
    Roster {
        /// See above.
        from: u64,
        /// See above.
        upto: u64,
        /// They.
        instances: Vec<Identity>,
    },
}

/// Whom the speaker knows, himself included, as far as they are there. Where the sums of two are equal they know the same,
/// and nobody has to be named.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDigest {
    /// How many he has come to know so far; rises by one with each.
    pub upto: u64,
    /// A sum over their names and starts.
    pub sum: u64,
}

/// What one instance adds to a sum.
pub fn identity_hash(who: &Identity) -> u64 {
    let mut hash = Sha256::new();
    hash.update(who.name.as_bytes());
    hash.update([0]);
    hash.update(who.start.to_be_bytes());
    let mut eight = [0; 8];
    eight.copy_from_slice(&hash.finalize()[..8]);
    u64::from_be_bytes(eight)
}

/// How far a log has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadProgress {
    /// All up to this number is known.
    pub sound: u64,
    /// The next piece begins here.
    pub got: u64,
    /// Those whom its author knows are known up to this number of his.
    pub whom: u64,
    /// The next of them begin here.
    pub met: u64,
}

/// What the speaker knows of one who answers neither him nor the asker. While it lasts, the speaker acknowledges nothing
/// further of that one's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Coverage {
    /// Who.
    pub name: Arc<str>,
    /// His start.
    pub start: u64,
    /// How far the speaker has read his log.
    pub upto: u64,
    /// For how much longer (milliseconds) he answers no write without a majority.
    pub long_ms: u32,
}

impl Body {
    fn kind(&self) -> u8 {
        match self {
            Body::LeaseRequest { .. } => 1,
            Body::LeaseGrant { .. } => 2,
            Body::Push { .. } => 3,
            Body::ReadAck { .. } => 4,
            Body::Views { .. } => 5,
            Body::Swim(_) => 6,
            Body::Leave { .. } => 7,
            Body::Fetch { .. } => 8,
            Body::Relayed { .. } => 9,
            Body::Ended { .. } => 10,
            Body::Roster { .. } => 11,
        }
    }
}

/// A message's bytes, not sealed yet.
pub fn encode(head: &Header, body: &Body) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(head).unwrap_or_default();
    bytes.push(body.kind());
    bytes.extend(postcard::to_stdvec(body).unwrap_or_default());
    bytes
}

/// Reads a message: its head, and its body where the kind is known here. None where it is not of this form.
pub fn decode(bytes: &[u8]) -> Option<(Header, Option<Body>)> {
    let (head, rest) = postcard::take_from_bytes::<Header>(bytes).ok()?;
    if head.version != VERSION || head.from.name.is_empty() || head.from.name.len() > 64 {
        return None;
    }
    let (kind, body) = rest.split_first()?;
    if !(1..=11).contains(kind) {
        return Some((head, None));
    }
    let (body, _) = postcard::take_from_bytes::<Body>(body).ok()?;
    Some((head, Some(body)))
}

/// Facts with their numbers, as bytes.
pub type Facts = Vec<(u64, Vec<u8>)>;

/// The facts of a log after a number, as many as fit into so many bytes, and up to which number they go. None where
/// there are none.
pub fn piece<'a>(
    from: u64,
    end: u64,
    facts: impl Iterator<Item = (u64, &'a Fact)>,
    room: usize,
) -> Option<(u64, Facts)> {
    if end <= from {
        return None;
    }
    let (mut upto, mut taken, mut used) = (end, Vec::new(), 32);
    let mut last = from;
    for (number, fact) in facts {
        let bytes = fact.encode();
        used += bytes.len() + 12;
        if used > room && !taken.is_empty() {
            upto = last;
            break;
        }
        last = number;
        taken.push((number, bytes));
    }
    Some((upto, taken))
}

/// The facts of a push that are known here.
pub fn facts(pushed: Vec<(u64, Vec<u8>)>) -> impl Iterator<Item = (u64, Fact)> {
    pushed.into_iter().filter_map(|(number, bytes)| Fact::decode(&bytes).map(|fact| (number, fact)))
}

/// A name within what a head has room for.
pub fn truncated_name(name: &str) -> Arc<str> {
    let end = name.char_indices().map(|(at, c)| at + c.len_utf8()).take_while(|end| *end <= 64).last();
    name[..end.unwrap_or(0)].into()
}
