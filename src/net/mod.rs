//! The pooler on its sockets, a module for each kind of peer. What passes between them stands here, in no
//! protocol's form.

mod clients;
pub(crate) mod discovery;
mod event_loop;
mod pg;
mod proxy;
mod ring;
mod servers;

use std::collections::VecDeque;
use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;

use crate::counters::Counters;
use crate::interface::{ListKind, MemberId, Outcome, Phase, Report, RequestId};
use event_loop::{Reactor, Slot};
use ring::Charge;

pub(crate) use proxy::serve;

/// A statement as the client wrote it, and where in it the time that the sender will wait stands.
#[derive(Debug)]
pub(crate) struct Statement {
    text: Box<str>,
    patience: Range<usize>,
    /// What it takes of the memory for requests, once that is granted.
    charge: Option<Charge>,
}

impl Statement {
    fn len(&self) -> usize {
        self.text.len()
    }

    /// The same statement with another time to wait (seconds; told in whole milliseconds, at least one).
    fn with_patience(&self, seconds: f64) -> Vec<u8> {
        let millis = ((seconds * 1000.0) as u64).max(1).to_string();
        [&self.text[..self.patience.start], &millis, &self.text[self.patience.end..]].concat().into_bytes()
    }
}

/// What a client's query says of itself.
#[derive(Debug)]
pub(crate) struct Query {
    id: String,
    class: String,
    tenant: String,
    group: u32,
    /// How long the client will wait (seconds).
    patience: f64,
    keyed: bool,
    repeat: bool,
    /// The quoted key, where there is one: names the session.
    key: Option<String>,
    statement: Statement,
}

/// The final answer to a query.
#[derive(Debug)]
pub(crate) enum Answer {
    /// The value, in the form in which the db machine gave it.
    Served(Vec<u8>),
    /// Another try is harmless, after so many seconds; 0 for no advice.
    Refused(f64),
    /// It may have run.
    Failed,
    /// Not a query that can be carried out: it went nowhere.
    Invalid(&'static str),
}

/// The list of db machines, or what has changed in it.
#[derive(Clone, Debug, Default)]
pub(crate) struct News {
    index: u64,
    whole: bool,
    listings: Vec<Listing>,
}

/// One line of the list.
#[derive(Clone, Debug)]
pub(crate) struct Listing {
    name: MemberId,
    address: SocketAddr,
    zone: String,
    group: u32,
    phase: Phase,
    /// When it last started (Unix seconds); 0 means long ago.
    since: f64,
}

/// Something to send to a db machine.
#[derive(Clone, Debug)]
pub(crate) enum Task {
    /// An attempt of a request, by its number.
    Attempt(RequestId, usize, Rc<Statement>),
    /// A question about the machine itself.
    Probe,
}

/// How a task ended.
#[derive(Debug)]
pub(crate) struct Ended {
    task: Task,
    member: MemberId,
    outcome: Outcome,
    /// Since it was sent (seconds).
    elapsed: f64,
    position: Option<f64>,
    primary: Option<bool>,
    report: Report,
    value: Vec<u8>,
}

/// What the connections tell the proxy.
#[derive(Debug)]
pub(crate) enum Event {
    Asked(Slot, Box<Query>),
    Gone(Slot),
    Ended(Box<Ended>),
    Members(ListKind, Vec<Listing>),
}

/// What every callback is handed.
pub(crate) struct Context {
    reactor: Reactor,
    /// Born but not yet told; each waits until the actions of the one before it are carried out.
    events: VecDeque<Event>,
    counters: Counters,
}

/// Writes a line to the log. A log that nobody reads any more is no reason to end.
fn log(line: fmt::Arguments) {
    let _ = writeln!(io::stderr(), "{line}");
}
