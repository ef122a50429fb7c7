//! Counts of messages and bytes by kind, distance and direction.

use std::collections::BTreeMap;

use directory::message::Purpose;
use replication::auth::SEAL_BYTES;
use replication::message::Header;
use serde::{Deserialize, Serialize};

use crate::layout::Distance;

/// Kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageKind {
    /// A request to discovery for the list.
    ListCall,
    /// A response of discovery: the list, a change of it, or an empty line.
    List,
    /// A lease request, or a heartbeat in the form of a request without a lease.
    Ask,
    /// The answer to a lease request or heartbeat.
    Grant,
    /// Facts of a log.
    Push,
    /// Position up to which a log has been read.
    Read,
    /// The sender's observations of members.
    Views,
    /// A message of the membership protocol (SWIM).
    Swim,
    /// A part of the list of known instances.
    Roster,
    /// A heartbeat to a control instance.
    Heartbeat,
    /// The answer to a heartbeat.
    HeartbeatAck,
    /// A claim of a session, sent to a control instance.
    Claim,
    /// The answer to a claim.
    ClaimReply,
    /// A handover request to the former owner of a session.
    Handover,
    /// The answer to a handover request.
    HandoverReply,
    /// Any other message.
    Other,
}

impl MessageKind {
    /// Returns the kind of a datagram between poolers, from the kind byte that follows its header.
    pub fn of_datagram(sealed: &[u8]) -> MessageKind {
        let message = &sealed[..sealed.len().saturating_sub(SEAL_BYTES)];
        let kind =
            postcard::take_from_bytes::<Header>(message).ok().and_then(|(_, rest)| rest.first().copied());
        match kind {
            Some(1) => MessageKind::Ask,
            Some(2) => MessageKind::Grant,
            Some(3) => MessageKind::Push,
            Some(4) => MessageKind::Read,
            Some(5) => MessageKind::Views,
            Some(6) => MessageKind::Swim,
            Some(11) => MessageKind::Roster,
            _ => MessageKind::Other,
        }
    }

    /// Returns the kind of a datagram of the session directory.
    pub fn of_directory(bytes: &[u8]) -> MessageKind {
        match Purpose::of_datagram(bytes) {
            Some(Purpose::Heartbeat) => MessageKind::Heartbeat,
            Some(Purpose::HeartbeatAck) => MessageKind::HeartbeatAck,
            Some(Purpose::Claim) => MessageKind::Claim,
            Some(Purpose::ClaimReply) => MessageKind::ClaimReply,
            Some(Purpose::Handover) => MessageKind::Handover,
            Some(Purpose::HandoverReply) => MessageKind::HandoverReply,
            Some(Purpose::Leave) | None => MessageKind::Other,
        }
    }

    /// Returns true if messages of this kind pass between a pooler and a control instance.
    pub fn is_with_control(self) -> bool {
        matches!(
            self,
            MessageKind::Heartbeat | MessageKind::HeartbeatAck | MessageKind::Claim | MessageKind::ClaimReply
        )
    }

    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            MessageKind::ListCall => "list call",
            MessageKind::List => "list",
            MessageKind::Ask => "ask",
            MessageKind::Grant => "grant",
            MessageKind::Push => "push",
            MessageKind::Read => "read",
            MessageKind::Views => "views",
            MessageKind::Swim => "swim",
            MessageKind::Roster => "roster",
            MessageKind::Heartbeat => "heartbeat",
            MessageKind::HeartbeatAck => "heartbeat answer",
            MessageKind::Claim => "claim",
            MessageKind::ClaimReply => "claim answer",
            MessageKind::Handover => "handover",
            MessageKind::HandoverReply => "handover answer",
            MessageKind::Other => "other",
        }
    }
}

/// Direction of a message, as seen from the pooler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the pooler.
    Sent,
    /// To the pooler.
    Received,
}

impl Direction {
    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Direction::Sent => "sent",
            Direction::Received => "received",
        }
    }
}

/// Messages that are counted together.
pub type Flow = (MessageKind, Distance, Direction);

/// Messages and bytes of a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Number of messages; on a stream, of documents and empty lines.
    pub messages: f64,
    /// Bytes written to or read from sockets, without the headers of IP, UDP and TCP.
    pub bytes: f64,
}

/// Counts of all flows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<(Flow, Count)>", into = "Vec<(Flow, Count)>")]
pub struct Traffic(BTreeMap<Flow, Count>);

impl From<Vec<(Flow, Count)>> for Traffic {
    fn from(flows: Vec<(Flow, Count)>) -> Traffic {
        Traffic(flows.into_iter().collect())
    }
}

impl From<Traffic> for Vec<(Flow, Count)> {
    fn from(traffic: Traffic) -> Vec<(Flow, Count)> {
        traffic.0.into_iter().collect()
    }
}

impl Traffic {
    /// Adds `messages` messages with `bytes` bytes in total.
    pub fn count(&mut self, flow: Flow, messages: usize, bytes: usize) {
        let count = self.0.entry(flow).or_default();
        count.messages += messages as f64;
        count.bytes += bytes as f64;
    }

    /// Returns the difference from earlier counts.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        let difference = self.0.iter().map(|(flow, count)| {
            let earlier_count = earlier.0.get(flow).copied().unwrap_or_default();
            let messages = count.messages - earlier_count.messages;
            (*flow, Count { messages, bytes: count.bytes - earlier_count.bytes })
        });
        Traffic(difference.collect())
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Traffic) {
        for (flow, count) in &other.0 {
            let sum = self.0.entry(*flow).or_default();
            sum.messages += count.messages;
            sum.bytes += count.bytes;
        }
    }

    /// Returns all counts multiplied by a factor, for example to get the rate of one pooler.
    pub fn scaled(&self, factor: f64) -> Traffic {
        let scaled = |(flow, count): (&Flow, &Count)| {
            (*flow, Count { messages: count.messages * factor, bytes: count.bytes * factor })
        };
        Traffic(self.0.iter().map(scaled).collect())
    }

    /// Returns the sum over the selected flows.
    pub fn sum(&self, selected: impl Fn(&Flow) -> bool) -> Count {
        let counts = self.0.iter().filter(|(flow, _)| selected(flow)).map(|(_, count)| count);
        counts.fold(Count::default(), |sum, count| Count {
            messages: sum.messages + count.messages,
            bytes: sum.bytes + count.bytes,
        })
    }

    /// Returns all flows with their counts.
    pub fn flows(&self) -> impl Iterator<Item = (&Flow, &Count)> {
        self.0.iter()
    }
}

#[cfg(test)]
mod tests;
