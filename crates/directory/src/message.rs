//! Messages of the directory. A message is a header, a body and a CRC-32 over both, in the form of `postcard`; the whole is
//! sealed by [`crate::channel`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::{Ballot, ProcessId, SessionKey};

/// The version of the form.
pub const VERSION: u8 = 1;

/// Who speaks to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Header {
    /// [`VERSION`].
    pub version: u8,
    /// [`crate::Placement::digest`] of who speaks.
    pub directory: u32,
    /// Who speaks.
    pub from: ProcessId,
    /// The start of whom it is to; 0 where that is not known.
    pub to: u64,
    /// The number of the message; rises with each that its sender sends to anybody.
    pub number: u64,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// A pooler to a control instance: it is there, and wants its lease renewed.
    Heartbeat {
        /// Where other poolers reach it.
        address: SocketAddr,
        /// Its lease there, as far as it knows; its answers to revocations are of that one.
        term: u32,
        /// Revocations up to this number have been carried out.
        revoked_up_to: u64,
        /// What it has to tell besides.
        notices: Vec<Notice>,
    },
    /// The answer.
    HeartbeatAck {
        /// The number of the heartbeat's message.
        heartbeat: u64,
        /// The pooler's lease, which is another one where it had ended meanwhile.
        term: u32,
        /// Sessions that others have claimed and whose revocation the pooler has not confirmed.
        revocations: Vec<Revocation>,
        /// Whether these are all. The lease is renewed only then.
        complete: bool,
    },
    /// A pooler to each member of a session's group: it wants to own the session.
    Claim {
        /// The session.
        session: SessionKey,
        /// The counter of its ballot.
        counter: u64,
    },
    /// The answer.
    ClaimReply {
        /// The session.
        session: SessionKey,
        /// As in [`Body::Claim`].
        counter: u64,
        /// What it came to.
        verdict: ClaimVerdict,
    },
    /// A pooler that claims a session to one of its former owners.
    Handover {
        /// The session.
        session: SessionKey,
        /// The counter of the claim.
        counter: u64,
        /// The ballot of the former owner.
        former: Ballot,
    },
    /// The answer.
    HandoverReply {
        /// The session.
        session: SessionKey,
        /// As in [`Body::Handover`].
        counter: u64,
        /// As in [`Body::Handover`].
        former: Ballot,
        /// What it came to.
        verdict: HandoverVerdict,
    },
    /// A pooler that ends in order to a control instance. It answers no request any more, and no write of it is under way.
    Leave,
}

/// What a message is for, without what it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// [`Body::Heartbeat`].
    Heartbeat,
    /// [`Body::HeartbeatAck`].
    HeartbeatAck,
    /// [`Body::Claim`].
    Claim,
    /// [`Body::ClaimReply`].
    ClaimReply,
    /// [`Body::Handover`].
    Handover,
    /// [`Body::HandoverReply`].
    HandoverReply,
    /// [`Body::Leave`].
    Leave,
}

impl Purpose {
    /// The purpose of a datagram, by the number that stands behind its header; nothing of it is checked. None where there is
    /// no such number.
    pub fn of_datagram(bytes: &[u8]) -> Option<Purpose> {
        let (_, rest) = postcard::take_from_bytes::<Header>(bytes).ok()?;
        Some(match rest.first()? {
            0 => Purpose::Heartbeat,
            1 => Purpose::HeartbeatAck,
            2 => Purpose::Claim,
            3 => Purpose::ClaimReply,
            4 => Purpose::Handover,
            5 => Purpose::HandoverReply,
            6 => Purpose::Leave,
            _ => return None,
        })
    }
}

/// What a pooler tells a control instance with its next heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Notice {
    /// The pooler owns the session by this claim; all former owners that it was told of are settled.
    Settled {
        /// The session.
        session: SessionKey,
        /// The counter of the claim.
        counter: u64,
    },
    /// The pooler gives the session up; nobody has to be asked for it.
    Released {
        /// The session.
        session: SessionKey,
        /// The counter of the claim.
        counter: u64,
        /// How long ago its last write was (ms).
        age: i64,
    },
}

/// Whoever owned a session by a lower ballot does not any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revocation {
    /// Its number within the lease.
    pub number: u64,
    /// The session.
    pub session: SessionKey,
    /// The ballot of the new claim.
    pub below: Ballot,
}

/// What a member says to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// It is recorded.
    Accepted {
        /// The claimant's lease at this member; the record holds as long as that lease does.
        term: u32,
        /// Who claimed the session before and may own it.
        formers: Vec<FormerOwner>,
        /// Of sessions without a record the last write was so long ago (ms), or will be.
        floor_age: i64,
    },
    /// There is a later claim.
    Rejected {
        /// Its ballot.
        by: Ballot,
    },
    /// The claimant has no lease here.
    NoLease,
    /// A bound of this member is reached.
    Full,
}

/// A former owner of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FormerOwner {
    /// Its claim.
    pub ballot: Ballot,
    /// Where it is reached.
    pub address: SocketAddr,
    /// How long its lease at this member lasts at the most (ms).
    pub lease: u32,
}

/// What a former owner says to a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HandoverVerdict {
    /// It does not own the session any more.
    Marks {
        /// The commit of the session's last write (Unix ms); 0 for none.
        position: u64,
        /// Writes of the session may commit, and be answered, for so long (ms).
        open: u32,
    },
    /// It has claimed the session by a later ballot.
    Superseded {
        /// That ballot.
        by: Ballot,
    },
}

/// What is wrong with the bytes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The checksum is another one, or the bytes are of no message.
    Malformed,
    /// The version is not [`VERSION`].
    Version(u8),
}

/// Bytes of a checksum.
const CHECKSUM: usize = 4;

/// The bytes of a message, not sealed yet.
pub fn encode(header: &Header, body: &Body) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(&(header, body)).unwrap_or_default();
    bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
    bytes
}

/// Reads a message.
pub fn decode(bytes: &[u8]) -> Result<(Header, Body), DecodeError> {
    let (message, sum) = bytes.split_last_chunk::<CHECKSUM>().ok_or(DecodeError::Malformed)?;
    if crc32fast::hash(message).to_be_bytes() != *sum {
        return Err(DecodeError::Malformed);
    }
    match message.first() {
        Some(&VERSION) => {}
        Some(&version) => return Err(DecodeError::Version(version)),
        None => return Err(DecodeError::Malformed),
    }
    let (decoded, rest) = postcard::take_from_bytes(message).map_err(|_| DecodeError::Malformed)?;
    if rest.is_empty() {
        Ok(decoded)
    } else {
        Err(DecodeError::Malformed)
    }
}
