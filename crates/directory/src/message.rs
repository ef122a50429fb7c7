//! Messages of the directory. A message is a header, a body and a CRC-32 over both, encoded with `postcard`;
//! [`crate::channel`] seals the result.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::{Ballot, ProcessId, SessionKey};

/// The version of the message format.
pub const VERSION: u8 = 1;

/// Sender, receiver and number of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Header {
    /// [`VERSION`].
    pub version: u8,
    /// [`crate::Placement::digest`] of the sender.
    pub directory: u32,
    /// The sender.
    pub from: ProcessId,
    /// The incarnation of the receiver; 0 where the sender does not know it.
    pub to: u64,
    /// The number of the message; rises with each message that its sender sends to any receiver.
    pub number: u64,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Sent by a pooler to a control instance: the pooler is alive and requests the renewal of its lease.
    Heartbeat {
        /// The address at which other poolers reach the sender.
        address: SocketAddr,
        /// The number of the sender's lease at the receiver, as far as the sender knows it; `revoked_up_to`
        /// refers to this lease.
        term: u32,
        /// Revocations up to this number have been carried out.
        revoked_up_to: u64,
        /// Notices for the receiver.
        notices: Vec<Notice>,
    },
    /// The reply to [`Body::Heartbeat`].
    HeartbeatAck {
        /// The message number of the heartbeat.
        heartbeat: u64,
        /// The number of the pooler's lease; a new one if the lease in the heartbeat has ended.
        term: u32,
        /// Sessions that other poolers have claimed and whose revocation the pooler has not confirmed.
        revocations: Vec<Revocation>,
        /// Whether `revocations` holds all of them. The lease is renewed only then.
        complete: bool,
    },
    /// Sent by a pooler to each member of a session's group: the pooler claims the session.
    Claim {
        /// The session.
        session: SessionKey,
        /// The counter of the claim's ballot.
        counter: u64,
    },
    /// The reply to [`Body::Claim`].
    ClaimReply {
        /// The session.
        session: SessionKey,
        /// The counter of the claim.
        counter: u64,
        /// The decision.
        verdict: ClaimVerdict,
    },
    /// Sent by a pooler that claims a session to one of its former owners.
    Handover {
        /// The session.
        session: SessionKey,
        /// The counter of the claim.
        counter: u64,
        /// The ballot of the former owner.
        former: Ballot,
    },
    /// The reply to [`Body::Handover`].
    HandoverReply {
        /// The session.
        session: SessionKey,
        /// The counter of the claim.
        counter: u64,
        /// The ballot of the former owner.
        former: Ballot,
        /// The decision.
        verdict: HandoverVerdict,
    },
    /// Sent by a pooler that shuts down to a control instance. The pooler answers no more requests and has no
    /// write in flight.
    Leave,
}

/// The kind of a message, without its content.
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
    /// Returns the purpose of a datagram, read from the variant number that follows its header. Nothing is
    /// verified. None if there is no such number.
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

/// What a pooler reports to a control instance with its next heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Notice {
    /// The pooler owns the session by this claim, and all former owners that were named to it are resolved.
    ClaimCompleted {
        /// The session.
        session: SessionKey,
        /// The counter of the claim.
        counter: u64,
    },
    /// The pooler releases its claim to the session; no handover needs to be requested from it.
    Released {
        /// The session.
        session: SessionKey,
        /// The counter of the claim.
        counter: u64,
        /// Time since the session's last write (ms).
        write_age: i64,
    },
}

/// Ends the ownership of a session by any ballot lower than `below`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revocation {
    /// Its number within the lease.
    pub number: u64,
    /// The session.
    pub session: SessionKey,
    /// The ballot of the new claim.
    pub below: Ballot,
}

/// A group member's decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim is recorded.
    Accepted {
        /// The number of the claimant's lease at this member; the record is valid only under this lease.
        term: u32,
        /// Earlier claimants that may still own the session.
        former_owners: Vec<FormerOwner>,
        /// Time since the newest write (ms) that a session without a record may have had; negative if such a
        /// write may still commit.
        floor_age: i64,
    },
    /// There is a later claim.
    Rejected {
        /// The ballot of the later claim.
        by: Ballot,
    },
    /// The claimant has no lease at this member.
    NoLease,
    /// A limit of this member is reached.
    Full,
}

/// A former owner of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FormerOwner {
    /// The ballot of its claim.
    pub ballot: Ballot,
    /// The address at which it is reached.
    pub address: SocketAddr,
    /// The longest remaining time of its lease at this member (ms).
    pub remaining_lease: u32,
}

/// A former owner's answer to a handover request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HandoverVerdict {
    /// It no longer owns the session.
    Relinquished {
        /// Position of the session's last commit (Unix ms); 0 for none.
        position: u64,
        /// For this long (ms), writes of the session may still commit and be answered.
        open_for: u32,
    },
    /// It has claimed the session by a later ballot.
    Superseded {
        /// The later ballot.
        by: Ballot,
    },
}

/// Why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The checksum is wrong, or the bytes do not decode.
    Malformed,
    /// The version is not [`VERSION`].
    Version(u8),
}

/// Length of the checksum (bytes).
const CHECKSUM_BYTES: usize = 4;

/// Encodes a message; the result is not sealed yet.
pub fn encode(header: &Header, body: &Body) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(&(header, body)).unwrap_or_default();
    bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
    bytes
}

/// Decodes a message and verifies its checksum.
pub fn decode(bytes: &[u8]) -> Result<(Header, Body), DecodeError> {
    let (message, sum) = bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or(DecodeError::Malformed)?;
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
