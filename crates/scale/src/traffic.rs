//! Messages and bytes, counted by kind, by how far they go and by direction.

use std::collections::BTreeMap;

use directory::message::Purpose;
use replication::auth::SEAL_BYTES;
use replication::message::Header;
use serde::{Deserialize, Serialize};

use crate::layout::Distance;

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A call for the list at discovery.
    ListCall,
    /// What discovery answers: the list, its changes, empty lines.
    List,
    /// A question for a lease, or for word of each other.
    Ask,
    /// The answer to such a question.
    Grant,
    /// Facts of a log.
    Push,
    /// Word of how far a log has been read.
    Read,
    /// How databases look to the speaker.
    Views,
    /// Membership's own (SWIM).
    Swim,
    /// Who is there.
    Roster,
    /// A heartbeat to a control instance.
    Heartbeat,
    /// The answer to a heartbeat.
    HeartbeatAck,
    /// A claim of a session, at a control instance.
    Claim,
    /// The answer to a claim.
    ClaimReply,
    /// A question to the former owner of a session.
    Handover,
    /// The answer to such a question.
    HandoverReply,
    /// All other kinds.
    Other,
}

impl Kind {
    /// The kind of a datagram between poolers, by the number that stands behind its head.
    pub fn of_datagram(sealed: &[u8]) -> Kind {
        let message = &sealed[..sealed.len().saturating_sub(SEAL_BYTES)];
        let number =
            postcard::take_from_bytes::<Header>(message).ok().and_then(|(_, rest)| rest.first().copied());
        match number {
            Some(1) => Kind::Ask,
            Some(2) => Kind::Grant,
            Some(3) => Kind::Push,
            Some(4) => Kind::Read,
            Some(5) => Kind::Views,
            Some(6) => Kind::Swim,
            Some(11) => Kind::Roster,
            _ => Kind::Other,
        }
    }

    /// The kind of a datagram of the session directory.
    pub fn of_directory(bytes: &[u8]) -> Kind {
        match Purpose::of_datagram(bytes) {
            Some(Purpose::Heartbeat) => Kind::Heartbeat,
            Some(Purpose::HeartbeatAck) => Kind::HeartbeatAck,
            Some(Purpose::Claim) => Kind::Claim,
            Some(Purpose::ClaimReply) => Kind::ClaimReply,
            Some(Purpose::Handover) => Kind::Handover,
            Some(Purpose::HandoverReply) => Kind::HandoverReply,
            Some(Purpose::Leave) | None => Kind::Other,
        }
    }

    /// Whether it passes between a pooler and a control instance.
    pub fn is_with_control(self) -> bool {
        matches!(self, Kind::Heartbeat | Kind::HeartbeatAck | Kind::Claim | Kind::ClaimReply)
    }

    /// The word for it in reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::ListCall => "list call",
            Kind::List => "list",
            Kind::Ask => "ask",
            Kind::Grant => "grant",
            Kind::Push => "push",
            Kind::Read => "read",
            Kind::Views => "views",
            Kind::Swim => "swim",
            Kind::Roster => "roster",
            Kind::Heartbeat => "heartbeat",
            Kind::HeartbeatAck => "heartbeat answer",
            Kind::Claim => "claim",
            Kind::ClaimReply => "claim answer",
            Kind::Handover => "handover",
            Kind::HandoverReply => "handover answer",
            Kind::Other => "other",
        }
    }
}

/// Which way a message goes, seen from the pooler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the pooler.
    Sent,
    /// To the pooler.
    Received,
}

impl Direction {
    /// The word for it in reports.
    pub fn name(self) -> &'static str {
        match self {
            Direction::Sent => "sent",
            Direction::Received => "received",
        }
    }
}

/// What is counted together.
pub type Flow = (Kind, Distance, Direction);

/// Messages and bytes of a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Messages; on a stream, documents and empty lines.
    pub messages: f64,
    /// Bytes as handed to the socket or taken from it, without the headers of IP, UDP and TCP.
    pub bytes: f64,
}

/// All flows.
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
    /// Counts messages of so many bytes together.
    pub fn count(&mut self, flow: Flow, messages: usize, bytes: usize) {
        let count = self.0.entry(flow).or_default();
        count.messages += messages as f64;
        count.bytes += bytes as f64;
    }

    /// What has come since an earlier count.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        let difference = self.0.iter().map(|(flow, count)| {
            let before = earlier.0.get(flow).copied().unwrap_or_default();
            let messages = count.messages - before.messages;
            (*flow, Count { messages, bytes: count.bytes - before.bytes })
        });
        Traffic(difference.collect())
    }

    /// Adds another's counts.
    pub fn add(&mut self, other: &Traffic) {
        for (flow, count) in &other.0 {
            let sum = self.0.entry(*flow).or_default();
            sum.messages += count.messages;
            sum.bytes += count.bytes;
        }
    }

    /// Each count times a factor: a rate of a pooler, say.
    pub fn scaled(&self, factor: f64) -> Traffic {
        let scaled = |(flow, count): (&Flow, &Count)| {
            (*flow, Count { messages: count.messages * factor, bytes: count.bytes * factor })
        };
        Traffic(self.0.iter().map(scaled).collect())
    }

    /// The sum over the flows that are chosen.
    pub fn sum(&self, chosen: impl Fn(&Flow) -> bool) -> Count {
        let counts = self.0.iter().filter(|(flow, _)| chosen(flow)).map(|(_, count)| count);
        counts.fold(Count::default(), |sum, count| Count {
            messages: sum.messages + count.messages,
            bytes: sum.bytes + count.bytes,
        })
    }

    /// All flows with their counts.
    pub fn flows(&self) -> impl Iterator<Item = (&Flow, &Count)> {
        self.0.iter()
    }
}

#[cfg(test)]
mod tests;
