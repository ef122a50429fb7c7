//! Messages between instances. A message is a header, which every version can read, and a body with a kind
//! number; receivers skip kinds that they don't know. Every message is sealed ([`crate::auth`]).

use std::sync::Arc;

use membership::Identity;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::auth::SEAL_BYTES;
use crate::fact::Fact;
use crate::view::{TenantUsage, View};

/// Version of the header. Bodies change by new kinds and by additional trailing fields. Version 1, which
/// published the running instances as facts, was never released.
pub const VERSION: u8 = 2;
/// Maximum size of a datagram (bytes), including its seal.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum size of a message on a stream (bytes), including its seal.
pub const MAX_STREAM_MESSAGE_BYTES: usize = 32 * 1024;
/// Maximum size of a header (bytes): names of 64 bytes, an address, numbers.
pub const MAX_HEADER_BYTES: usize = 200;
/// Space for a body in a datagram (bytes).
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - SEAL_BYTES - MAX_HEADER_BYTES;

/// Sender of a message, and the recipient's start that it is meant for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// [`VERSION`].
    pub version: u8,
    /// The sender.
    pub from: Identity,
    /// Number of the message; the sender only increases it.
    pub number: u64,
    /// Start number of the recipient; 0 if unknown.
    pub to: u64,
}

/// Body of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a lease on the recipient's log, as far as the sender has read it. Answered by
    /// [`Body::LeaseGrant`].
    LeaseRequest {
        /// Identifies the request; chosen by the sender.
        request: u64,
        /// How far the sender has read the recipient's log; 0 if it has read another start's log.
        read: ReadProgress,
        /// Digest of the instances that the sender knows: its read progress counts once the recipient knows
        /// them too.
        roster: RosterDigest,
        /// Whether the sender asks for a lease; without one the request is only a heartbeat.
        lease: bool,
        /// Instances that do not answer the sender, with their start numbers and how far the sender has read
        /// their logs.
        unreachable: Vec<(Arc<str>, u64, u64)>,
    },
    /// Allows the recipient to rely on its copy of the sender's log for a time that begins when the request
    /// was sent, once the copy has reached `upto`.
    LeaseGrant {
        /// The answered request.
        request: u64,
        /// The highest number of the sender's log.
        upto: u64,
        /// Digest of the instances that the sender knows: the lease counts once the recipient knows them too.
        roster: RosterDigest,
        /// Duration of the lease (milliseconds); 0 if none is granted.
        lease_ms: u32,
        /// The sender answers no write without a majority for so long (milliseconds) after the request was
        /// sent.
        majority_only_ms: u32,
        /// Coverage of the unreachable instances that do not answer the sender either.
        coverage: Vec<Coverage>,
    },
    /// Facts of the sender's log with numbers above `from` up to `upto`.
    Push {
        /// Number after which the range begins.
        from: u64,
        /// Last number of the range.
        upto: u64,
        /// The highest number of the log.
        end: u64,
        /// The encoded facts with their numbers.
        facts: Vec<(u64, Vec<u8>)>,
    },
    /// Acknowledges how far the recipient's log has been read.
    ReadAck {
        /// How far the log has been read.
        read: ReadProgress,
        /// As in [`Body::LeaseRequest`].
        roster: RosterDigest,
    },
    /// How the sender sees members.
    Views {
        /// Number of the sender's round.
        round: u64,
        /// The members.
        views: Vec<View>,
        /// Usage by tenants at the sender.
        usage: Vec<TenantUsage>,
    },
    /// A message of the membership protocol.
    Swim(Vec<u8>),
    /// The sender shuts down; its log ends here.
    Leave {
        /// The highest number of the log.
        upto: u64,
    },
    /// On a stream: requests the log after this number, in pieces.
    Fetch {
        /// The number up to which the sender has read.
        from: u64,
    },
    /// This start of the recipient has been declared ended.
    Ended {
        /// The start number.
        start: u64,
    },
    /// Facts of another instance's log that answers neither the sender nor the recipient.
    Relayed {
        /// The author of the log.
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
    /// Running instances that the sender knows, with roster numbers above `from` up to `upto`.
    Roster {
        /// Number after which the range begins.
        from: u64,
        /// Last number of the range.
        upto: u64,
        /// The instances.
        instances: Vec<Identity>,
    },
}

/// Digest of the running instances that the sender knows, including itself. Two instances with equal sums
/// know the same instances and need not exchange names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDigest {
    /// Number of instances that have been added to the sender's roster so far; never decreases.
    pub upto: u64,
    /// Sum of the hashes of names and start numbers.
    pub sum: u64,
}

/// Returns the hash that one instance adds to [`RosterDigest::sum`].
pub fn identity_hash(identity: &Identity) -> u64 {
    let mut hash = Sha256::new();
    hash.update(identity.name.as_bytes());
    hash.update([0]);
    hash.update(identity.start.to_be_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.finalize()[..8]);
    u64::from_be_bytes(prefix)
}

/// How far a log and its author's roster have been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadProgress {
    /// All facts up to this number are acknowledged as known.
    pub acked_upto: u64,
    /// The log has been received up to this number; the next range begins after it.
    pub received_upto: u64,
    /// All instances up to this number of the author's roster are acknowledged as known.
    pub acked_roster: u64,
    /// The roster has been received up to this number; the next range begins after it.
    pub received_roster: u64,
}

/// What the sender knows of an instance that answers neither the sender nor the recipient. While the coverage
/// lasts, the sender acknowledges no further facts of that instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Coverage {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Start number of the instance.
    pub start: u64,
    /// How far the sender has read the log of the instance.
    pub upto: u64,
    /// Remaining time (milliseconds) during which the instance answers no write without a majority.
    pub majority_only_ms: u32,
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

/// Encodes a message; the result is not sealed.
pub fn encode(header: &Header, body: &Body) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(header).unwrap_or_default();
    bytes.push(body.kind());
    bytes.extend(postcard::to_stdvec(body).unwrap_or_default());
    bytes
}

/// Decodes a message: the header, and the body if its kind is known. Returns `None` if the bytes are
/// malformed.
pub fn decode(bytes: &[u8]) -> Option<(Header, Option<Body>)> {
    let (header, rest) = postcard::take_from_bytes::<Header>(bytes).ok()?;
    if header.version != VERSION || header.from.name.is_empty() || header.from.name.len() > 64 {
        return None;
    }
    let (kind, body) = rest.split_first()?;
    if !(1..=11).contains(kind) {
        return Some((header, None));
    }
    let (body, _) = postcard::take_from_bytes::<Body>(body).ok()?;
    Some((header, Some(body)))
}

/// Encoded facts with their numbers.
pub type Facts = Vec<(u64, Vec<u8>)>;

/// Takes the facts after number `from` that fit into `room` bytes; returns the last number that they cover
/// and the encoded facts. Returns `None` if there are none.
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

/// Decodes pushed facts and skips those of unknown kinds.
pub fn facts(encoded: Vec<(u64, Vec<u8>)>) -> impl Iterator<Item = (u64, Fact)> {
    encoded.into_iter().filter_map(|(number, bytes)| Fact::decode(&bytes).map(|fact| (number, fact)))
}

/// Truncates a name to the length for which a header has space.
pub fn truncated_name(name: &str) -> Arc<str> {
    let end = name.char_indices().map(|(at, c)| at + c.len_utf8()).take_while(|end| *end <= 64).last();
    name[..end.unwrap_or(0)].into()
}
