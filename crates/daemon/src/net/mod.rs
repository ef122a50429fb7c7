//! The pooler on its sockets, a module for each kind of peer. What passes between them stands here, in no
//! protocol's form.

mod change;
mod clients;
mod control;
mod control_instance;
mod coordination;
mod datagrams;
mod directory;
mod discovery;
mod event_loop;
mod outbox;
mod peers;
mod pooler;
mod registry;
mod servers;
mod sessions;

use std::collections::VecDeque;
use std::rc::Rc;

use ::control::Call;
use exchange::{Query, Statement};
use listing::Listing;
use routing::interface::{ListKind, MemberId, Outcome, Report, RequestId};

use crate::counters::Counters;
use clients::CommandNumber;
use event_loop::{Reactor, Slot};

pub(crate) use change::describe_conflicts;
pub(crate) use control::OwnedListener;
pub(crate) use control_instance::serve as serve_control;
pub(crate) use pooler::{serve, OperatorOptions};

/// Share of the shortest aim of a write for which one waits, at the most, until others know of it and it may be sent.
const WRITE_HOLD_AIM_SHARE: f64 = 0.5;

/// Something to send to a db machine.
#[derive(Clone, Debug)]
pub(crate) enum ServerTask {
    /// An attempt of a request, by its number.
    Attempt(RequestId, usize, Rc<Statement>),
    /// A question about the machine itself.
    Probe,
}

/// How a task ended.
#[derive(Debug)]
pub(crate) struct TaskResult {
    task: ServerTask,
    member: MemberId,
    outcome: Outcome,
    /// Since it was sent (seconds).
    elapsed: f64,
    position: Option<f64>,
    primary: Option<bool>,
    report: Report,
    value: Vec<u8>,
}

/// What the connections tell the pooler.
#[derive(Debug)]
pub(crate) enum Event {
    /// A client's command is a query.
    QueryReceived(Slot, CommandNumber, Box<Query>),
    /// A request has waited for earlier ones of its connection, which have their answers now.
    RequestReleased(Slot, RequestId),
    ClientLeft(Slot),
    /// On a connection of its own a client has asked for its requests to be cancelled, by this key.
    CancelRequested((u32, u32)),
    TaskEnded(Box<TaskResult>),
    ListReceived(ListKind, Vec<Listing>),
    /// An ordinary client's session wants a server, ...
    ServerRequested(Slot, Box<sessions::RoutedServerRequest>),
    /// ... is on one, ...
    SessionAttached(RequestId),
    /// ... no longer wants one, ...
    ServerRequestAbandoned(RequestId),
    /// ... or is no longer on one.
    SessionDetached(Box<sessions::Detachment>),
    /// A server has told an ordinary client's connection whether it is the primary.
    RoleReported(MemberId, bool),
    /// A control connection asks.
    ControlCallReceived(Slot, Box<Call>),
}

/// What every callback is handed.
pub(crate) struct Context {
    reactor: Reactor,
    /// Born but not yet told; each waits until the actions of the one before it are carried out.
    events: VecDeque<Event>,
    counters: Counters,
}
