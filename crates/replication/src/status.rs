//! Status of an instance and its peers as shown to operators.

use std::sync::Arc;

use membership::State;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::node::{EndReason, Node};

/// A peer, or this instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub address: String,
    pub start: u64,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Time since the peer's state was last confirmed to be current (seconds); absent if it never was.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub behind_s: Option<f64>,
    /// Number of facts of its log that have not been read here.
    pub to_read: u64,
    /// Number of facts of this instance's log that it has not read.
    pub unread: u64,
    /// Whether it counts for majorities.
    pub counted: bool,
    /// The versions that it reports to use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub versions: Option<Versions>,
}

/// Versions that an instance uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Versions {
    pub list: u64,
    pub generation: u64,
    pub program: String,
}

/// Status of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Status {
    #[serde(rename = "self")]
    pub own: String,
    pub instances: Vec<Instance>,
    /// Equal on two instances if they know the same facts.
    pub digest: String,
    /// Whether reads of sessions may use replicas; if false, `why` says why they go to the primary.
    #[serde(rename = "whole")]
    pub complete: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
    /// Seeds at which no instance has answered.
    pub unmet: Vec<String>,
    /// Whether writes are answered without a majority.
    pub alone: bool,
    pub facts: usize,
    pub sessions: usize,
    pub sent_bytes: u64,
    pub far_bytes: u64,
    pub received_bytes: u64,
    pub forged: u64,
    pub replayed: u64,
    pub unknown: u64,
}

impl Node {
    /// Returns the status.
    pub fn status(&mut self, now: f64) -> Status {
        let why = self.primary_reason(now);
        let swim = self.swim.instances();
        let end = self.upto();
        let mut instances = vec![Instance {
            name: self.identity.name.to_string(),
            zone: self.identity.zone.to_string(),
            address: self.identity.address.to_string(),
            start: self.identity.start,
            state: "alive".into(),
            behind_s: Some(0.0),
            to_read: 0,
            unread: 0,
            counted: true,
            versions: versions(&self.log),
        }];
        for peer in self.peers.values() {
            let membership_state =
                swim.get(&peer.identity.name).filter(|(identity, _)| identity.start >= peer.identity.start);
            let silence = now - peer.last_heard_at;
            let state = match (peer.ended, membership_state.map(|(_, state)| *state)) {
                (Some((EndReason::Left, _)), _) => "left",
                (Some((EndReason::Ended, _)), _) => "dead",
                // A message that has just arrived from the peer outweighs the membership protocol.
                (None, Some(State::Dead)) if silence > 2.0 => "dead",
                (None, Some(State::Alive) | None) if silence < 5.0 => "alive",
                (None, Some(State::Alive) | None) => "dead",
                (None, _) if silence < 1.0 => "alive",
                (None, _) => "suspect",
            };
            instances.push(Instance {
                name: peer.identity.name.to_string(),
                zone: peer.identity.zone.to_string(),
                address: peer.identity.address.to_string(),
                start: peer.identity.start,
                state: state.into(),
                behind_s: peer.confirmed_at.is_finite().then_some(now - peer.confirmed_at),
                to_read: peer.announced_upto.saturating_sub(peer.copy.upto()),
                unread: end.saturating_sub(peer.acked_upto),
                counted: peer.counted,
                versions: versions(&peer.copy),
            });
        }
        let counts = self.counts;
        Status {
            own: self.identity.name.to_string(),
            instances,
            digest: self.digest(),
            complete: why.is_none(),
            why: why.map(|why| why.description().into()),
            unmet: self.unanswered_seeds.iter().map(ToString::to_string).collect(),
            alone: self.is_without_majority(),
            facts: self.log.len() + self.peers.values().map(|peer| peer.copy.len()).sum::<usize>(),
            sessions: self.tracked_sessions(),
            sent_bytes: counts.sent_bytes,
            far_bytes: counts.far_bytes,
            received_bytes: counts.received_bytes,
            forged: counts.forged,
            replayed: counts.replayed,
            unknown: counts.unknown,
        }
    }

    /// Explains the routing of a session's reads: a line for each author and each peer that affects it.
    pub fn explain(&self, now: f64, session: &str) -> Vec<String> {
        let mut lines = vec![format!("any session may have written up to position {:.3}", self.floor())];
        for (author, mark) in self.session_marks(session) {
            let position = mark
                .position
                .map_or("no answered write".into(), |position| format!("last write at {position:.3}"));
            let open = if mark.open { ", and a write is in progress" } else { "" };
            lines.push(format!("{author}: {position}{open}"));
        }
        for peer in self.peers.values() {
            let state = match peer.ended {
                Some((_, at)) => format!("ended {:.3} s ago", now - at),
                None if now < peer.lease_until => {
                    format!("its log is current for another {:.3} s", peer.lease_until - now)
                }
                None if self.is_covered(now, peer) => {
                    "unreachable, but all that it published is known".into()
                }
                None => format!("its log was last confirmed current {:.3} s ago", now - peer.confirmed_at),
            };
            lines.push(format!("{} (start {}): {state}", peer.identity.name, peer.identity.start));
        }
        lines
    }

    /// Returns a digest over the facts of all running instances; equal on two instances that know the same.
    pub fn digest(&self) -> String {
        let mut all =
            vec![(self.identity.name.clone(), self.identity.start, self.log.digest(&self.identity.name))];
        let peers = self.active_peers();
        all.extend(
            peers.map(|p| (p.identity.name.clone(), p.identity.start, p.copy.digest(&p.identity.name))),
        );
        all.sort();
        let mut hash = Sha256::new();
        for (name, start, digest) in all {
            hash.update(name.as_bytes());
            hash.update([0]);
            hash.update(start.to_be_bytes());
            hash.update(digest);
        }
        hex::encode(&hash.finalize()[..16])
    }

    /// Returns the digest of each author's facts, which shows in which logs two instances differ.
    pub fn digests(&self) -> Vec<(Arc<str>, String)> {
        let mut all = vec![(self.identity.name.clone(), hex::encode(self.log.digest(&self.identity.name)))];
        let peers = self.active_peers();
        all.extend(peers.map(|p| (p.identity.name.clone(), hex::encode(p.copy.digest(&p.identity.name)))));
        all.sort();
        all
    }
}

fn versions(log: &crate::log::Log) -> Option<Versions> {
    match log.get(&crate::fact::Key::Versions) {
        Some(crate::Fact::Versions { list, generation, program }) => {
            Some(Versions { list: *list, generation: *generation, program: program.to_string() })
        }
        _ => None,
    }
}
