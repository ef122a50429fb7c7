//! What passes between a front and the proxy, in no protocol's form.
#![warn(missing_docs)]

use std::ops::Range;

use buffer::Charge;

/// A statement as the client wrote it, and where in it the time that the sender will wait stands.
#[derive(Debug)]
pub struct Statement {
    text: Box<str>,
    patience: Range<usize>,
    /// What it takes of the memory for requests, once that is granted.
    charge: Option<Charge>,
}

impl Statement {
    /// A statement that has been granted no memory yet; `patience` is where the time to wait stands in it.
    pub fn new(text: Box<str>, patience: Range<usize>) -> Statement {
        Statement { text, patience, charge: None }
    }

    /// Holds its part of the memory for as long as it lives.
    pub fn set_charge(&mut self, charge: Charge) {
        self.charge = Some(charge);
    }

    /// Bytes of its text.
    #[allow(clippy::len_without_is_empty)] // A statement is never empty.
    pub fn len(&self) -> usize {
        self.text.len()
    }

    /// The same statement with another time to wait (seconds; told in whole milliseconds, at least one).
    pub fn with_timeout(&self, seconds: f64) -> Vec<u8> {
        let millis = ((seconds * 1000.0) as u64).max(1).to_string();
        [&self.text[..self.patience.start], &millis, &self.text[self.patience.end..]].concat().into_bytes()
    }
}

/// What a client's query says of itself.
#[derive(Debug)]
pub struct Query {
    /// Its name, new with each try.
    pub id: String,
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name; empty without one.
    pub tenant: String,
    /// Its group of machines.
    pub group: u32,
    /// How long the client will wait (seconds).
    pub timeout: f64,
    /// Whether it carries an idempotency key.
    pub has_idempotency_key: bool,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// The position that the answer must see, where the client says which (Unix seconds).
    pub required_position: Option<f64>,
    /// The quoted key, where there is one: names the session.
    pub session_key: Option<String>,
    /// What is to be carried out.
    pub statement: Statement,
}

/// The final answer to a query.
#[derive(Debug)]
pub enum Answer {
    /// The value, in the form in which the db machine gave it.
    Served(Vec<u8>),
    /// Another try is harmless, after so many seconds; 0 for no advice.
    Refused(f64),
    /// It may have run.
    Failed,
    /// Not a query that can be carried out: it went nowhere.
    Invalid(&'static str),
}
