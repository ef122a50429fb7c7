//! Queries and answers between the client connections and the pooler, independent of any wire protocol.
#![warn(missing_docs)]

use std::ops::Range;

use buffer::Charge;

/// A statement as the client wrote it, and the position of the client's timeout in it.
#[derive(Debug)]
pub struct Statement {
    text: Box<str>,
    timeout_range: Range<usize>,
    /// The statement's share of the memory for requests, once charged.
    charge: Option<Charge>,
}

impl Statement {
    /// A statement whose memory is not charged yet; `timeout_range` is the position of the timeout in its
    /// text.
    pub fn new(text: Box<str>, timeout_range: Range<usize>) -> Statement {
        Statement { text, timeout_range, charge: None }
    }

    /// Keeps the charge for its memory until the statement is dropped.
    pub fn set_charge(&mut self, charge: Charge) {
        self.charge = Some(charge);
    }

    /// Bytes of its text.
    #[allow(clippy::len_without_is_empty)] // A statement is never empty.
    pub fn len(&self) -> usize {
        self.text.len()
    }

    /// Returns the statement with another timeout (seconds; written in whole milliseconds, at least 1).
    pub fn with_timeout(&self, seconds: f64) -> Vec<u8> {
        let millis = ((seconds * 1000.0) as u64).max(1).to_string();
        [&self.text[..self.timeout_range.start], &millis, &self.text[self.timeout_range.end..]]
            .concat()
            .into_bytes()
    }
}

/// A client's query and the properties that it states.
#[derive(Debug)]
pub struct Query {
    /// Its identifier, new with each attempt of the client.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant; empty if there is none.
    pub tenant: String,
    /// Its group of members.
    pub group: u32,
    /// How long the client waits for the answer (seconds).
    pub timeout: f64,
    /// True if it carries an idempotency key.
    pub has_idempotency_key: bool,
    /// True if the client marked it as a repeat.
    pub repeat: bool,
    /// The position that the answer must include, if the client names one (Unix seconds).
    pub required_position: Option<f64>,
    /// The quoted key, if there is one; it identifies the session.
    pub session_key: Option<String>,
    /// The statement to be executed.
    pub statement: Statement,
}

impl Query {
    /// Returns the memory for the names that the client has chosen, which are kept beside the statement (bytes). A
    /// session's key is kept twice.
    pub fn name_bytes(&self) -> usize {
        let session_key = self.session_key.as_ref().map_or(0, String::len);
        self.id.len() + self.class.len() + self.tenant.len() + 2 * session_key
    }
}

/// The final answer to a query.
#[derive(Debug)]
pub enum Answer {
    /// The value, as encoded by the member.
    Served(Vec<u8>),
    /// A retry is harmless, after that many seconds; 0 for no advice.
    Refused(f64),
    /// The query may have run.
    Failed,
    /// The query is invalid and was not sent.
    Invalid(&'static str),
}
