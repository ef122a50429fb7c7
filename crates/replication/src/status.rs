//! What people are told of an instance and the others.

use std::sync::Arc;

use membership::State;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::node::{Node, Over};

/// Another instance, or this one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub address: String,
    pub start: u64,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// For how long nothing that it said has been known to be current (seconds); absent where it never was.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub behind_s: Option<f64>,
    /// Facts of its log that have not been read here, and of this one's log that it has not read.
    pub to_read: u64,
    pub unread: u64,
    /// Whether it counts for majorities.
    pub counted: bool,
    /// What it works by, as it says.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub versions: Option<Versions>,
}

/// What an instance works by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Versions {
    pub list: u64,
    pub generation: u64,
    pub program: String,
}

/// Where an instance stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Status {
    #[serde(rename = "self")]
    pub own: String,
    pub instances: Vec<Instance>,
    /// Equal where copies are equal.
    pub digest: String,
    /// Whether reads of sessions go by what is known; else why they go to the primary.
    pub whole: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
    /// Seeds that nobody has answered at.
    pub unmet: Vec<String>,
    /// Whether writes are answered though no majority is there.
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
    /// Where it stands.
    pub fn status(&mut self, now: f64) -> Status {
        let why = self.primary_reason(now);
        let swim = self.swim.instances();
        let end = self.upto();
        let mut instances = vec![Instance {
            name: self.me.name.to_string(),
            zone: self.me.zone.to_string(),
            address: self.me.address.to_string(),
            start: self.me.start,
            state: "alive".into(),
            behind_s: Some(0.0),
            to_read: 0,
            unread: 0,
            counted: true,
            versions: versions(&self.log),
        }];
        for peer in self.peers.values() {
            let known = swim.get(&peer.who.name).filter(|(who, _)| who.start >= peer.who.start);
            let silent = now - peer.heard;
            let state = match (peer.over, known.map(|(_, state)| *state)) {
                (Some((Over::Left, _)), _) => "left",
                (Some((Over::Ended, _)), _) => "dead",
                // What has just been heard from itself goes before what others think.
                (None, Some(State::Dead)) if silent > 2.0 => "dead",
                (None, Some(State::Alive) | None) if silent < 5.0 => "alive",
                (None, Some(State::Alive) | None) => "dead",
                (None, _) if silent < 1.0 => "alive",
                (None, _) => "suspect",
            };
            instances.push(Instance {
                name: peer.who.name.to_string(),
                zone: peer.who.zone.to_string(),
                address: peer.who.address.to_string(),
                start: peer.who.start,
                state: state.into(),
                behind_s: peer.contact.is_finite().then_some(now - peer.contact),
                to_read: peer.told.saturating_sub(peer.copy.upto()),
                unread: end.saturating_sub(peer.read),
                counted: peer.counted,
                versions: versions(&peer.copy),
            });
        }
        let counts = self.counts;
        Status {
            own: self.me.name.to_string(),
            instances,
            digest: self.digest(),
            whole: why.is_none(),
            why: why.map(|why| why.description().into()),
            unmet: self.unmet.iter().map(ToString::to_string).collect(),
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

    /// Why a session's read goes where it goes, a line for each that has a say.
    pub fn explain(&self, now: f64, session: &str) -> Vec<String> {
        let mut lines = vec![format!("any session may have written up to {:.3}", self.floor())];
        for (author, mark) in self.session_marks(session) {
            let position = mark.position.map_or("nothing".into(), |position| format!("{position:.3}"));
            let open = if mark.open { ", and a write is under way" } else { "" };
            lines.push(format!("{author}: has written at {position}{open}"));
        }
        for peer in self.peers.values() {
            let what = match peer.over {
                Some((_, at)) => format!("over since {:.3} s", now - at),
                None if now < peer.lease => format!("its log is current for {:.3} s more", peer.lease - now),
                None if self.covered(now, peer) => "answers nobody, and all it stated is known".into(),
                None => format!("nothing is known of it since {:.3} s", now - peer.contact),
            };
            lines.push(format!("{} (start {}): {what}", peer.who.name, peer.who.start));
        }
        lines
    }

    /// Tells whether two instances hold the same: over all facts of all that are there.
    pub fn digest(&self) -> String {
        let mut all = vec![(self.me.name.clone(), self.me.start, self.log.digest(&self.me.name))];
        let here = self.here();
        all.extend(here.map(|p| (p.who.name.clone(), p.who.start, p.copy.digest(&p.who.name))));
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

    /// The digest of each author's facts: what differs between two instances is looked for by these.
    pub fn digests(&self) -> Vec<(Arc<str>, String)> {
        let mut all = vec![(self.me.name.clone(), hex::encode(self.log.digest(&self.me.name)))];
        let here = self.here();
        all.extend(here.map(|p| (p.who.name.clone(), hex::encode(p.copy.digest(&p.who.name)))));
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
