//! Messages between predecessor and successor: one JSON object per line.

use serde::{Deserialize, Serialize};

/// Maximum length of a line (bytes).
pub const MAX_LINE_BYTES: usize = 4_096;

/// A message of either side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Message {
    /// The successor requests the handover, and states which snapshot versions it can read.
    Ask {
        /// Oldest snapshot version that it can read.
        oldest: u32,
        /// Newest snapshot version that it can read: its own.
        version: u32,
        /// Its process id.
        pid: u32,
    },
    /// The predecessor denies or aborts the handover.
    Denied {
        /// The reason, as text.
        why: String,
    },
    /// The predecessor's offer: file descriptors are attached to this line, and a snapshot follows it.
    Offer {
        /// Names of the attached descriptors, in their order.
        fds: Vec<String>,
        /// Length of the snapshot (bytes); 0 if the successor cannot read its version.
        snapshot: usize,
    },
    /// The successor is ready to accept clients.
    Ready,
    /// The predecessor has stopped accepting clients: the successor may start.
    #[serde(rename = "yours")]
    AcceptClients,
    /// The successor has passed its trial: the predecessor can shut down.
    #[serde(rename = "stands")]
    Confirmed,
    /// The successor hands back: the predecessor accepts clients again.
    #[serde(rename = "back")]
    HandBack {
        /// The reason, as text.
        why: String,
    },
}

impl Message {
    /// Encodes the message as a line.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Decodes a line.
    pub fn parse(line: &[u8]) -> Result<Message, String> {
        serde_json::from_slice(line).map_err(|error| format!("not a handover message: {error}"))
    }
}
