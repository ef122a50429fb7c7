//! What the two sides tell each other: one JSON object a line.

use serde::{Deserialize, Serialize};

/// Longest line (bytes).
pub const MAX_LINE_BYTES: usize = 4_096;

/// A word of either side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Message {
    /// The successor asks, and says which snapshots it can read: from this version up to its own.
    Ask {
        /// The oldest version of a snapshot that it can read.
        oldest: u32,
        /// Its own.
        version: u32,
        /// Its process.
        pid: u32,
    },
    /// No; why.
    Denied {
        /// In words.
        why: String,
    },
    /// The descriptors that come with this line, by name in their order, and so many bytes of a snapshot behind it.
    Offer {
        /// What each descriptor is.
        fds: Vec<String>,
        /// Bytes; 0 where the successor cannot read what there is.
        snapshot: usize,
    },
    /// The successor could take in clients now.
    Ready,
    /// The old one no longer does.
    #[serde(rename = "yours")]
    AcceptClients,
    /// The successor's first seconds were fine: the old one can go.
    #[serde(rename = "stands")]
    Confirmed,
    /// They were not: the old one takes in clients again.
    #[serde(rename = "back")]
    HandBack {
        /// In words.
        why: String,
    },
}

impl Message {
    /// Its line.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Reads a line; what is wrong with it where it is none of these.
    pub fn parse(line: &[u8]) -> Result<Message, String> {
        serde_json::from_slice(line).map_err(|error| format!("not a word of a hand-over: {error}"))
    }
}
