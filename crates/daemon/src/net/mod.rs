//! Network code of the pooler, with a module for each kind of remote party. This module defines the events
//! that the other modules exchange; these events do not depend on a wire protocol.

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
pub(crate) use pooler::{receive_signals, serve, OperatorOptions};

/// A write waits for at most this share of the shortest latency aim of any write class until enough other
/// instances know of it and it may be sent.
const WRITE_HOLD_AIM_SHARE: f64 = 0.5;

/// A task to send to a member.
#[derive(Clone, Debug)]
pub(crate) enum ServerTask {
    /// An attempt of a request, with the number of the attempt.
    Attempt(RequestId, usize, Rc<Statement>),
    /// A health probe of the member itself.
    Probe,
}

/// Result of a server task.
#[derive(Debug)]
pub(crate) struct TaskResult {
    task: ServerTask,
    member: MemberId,
    outcome: Outcome,
    /// Time since the task was sent (seconds).
    elapsed: f64,
    position: Option<f64>,
    primary: Option<bool>,
    report: Report,
    value: Vec<u8>,
}

/// When an attempt reached its last byte (seconds on the clock of the event loop).
#[derive(Clone, Debug)]
pub(crate) struct WrittenAttempt {
    id: RequestId,
    attempt: usize,
    member: MemberId,
    /// When the decision to send it was carried out.
    decided_at: f64,
    /// When its connection was ready for it.
    ready_at: f64,
    /// When its last byte had been written.
    written_at: f64,
}

/// Events that the connections report to the pooler.
#[derive(Debug)]
pub(crate) enum Event {
    /// A client has sent a query.
    QueryReceived(Slot, CommandNumber, Box<Query>),
    /// A request that waited for earlier requests of its connection may proceed: they have been answered.
    RequestReleased(Slot, RequestId),
    ClientLeft(Slot),
    /// A cancel request arrived, on a separate connection, for the client that has this key.
    CancelRequested((u32, u32)),
    /// A connection to a member is ready for the next bytes of its request, which need permission.
    ConnectionReady(Slot),
    /// The last byte of an attempt has been written.
    AttemptWritten(Box<WrittenAttempt>),
    /// An attempt was not written, since its member may be behind what the read must reflect.
    AttemptWithdrawn(RequestId, usize),
    TaskEnded(Box<TaskResult>),
    ListReceived(ListKind, Vec<Listing>),
    /// An ordinary client's session requests a server.
    ServerRequested(Slot, Box<sessions::RoutedServerRequest>),
    /// A connection to a server is ready for the session, which needs permission to write to it.
    SessionServerReady(Slot, Slot),
    /// The session has been attached to a server.
    SessionAttached(RequestId),
    /// The session has withdrawn its request for a server.
    ServerRequestAbandoned(RequestId),
    /// The session has been detached from its server, or could not be attached to it.
    SessionDetached(Box<sessions::Detachment>),
    /// A server has reported on an ordinary client's server connection whether it is the primary.
    RoleReported(MemberId, bool),
    /// A call has arrived on a control connection.
    ControlCallReceived(Slot, Box<Call>),
}

/// State that is passed to every callback.
pub(crate) struct Context {
    reactor: Reactor,
    /// Events not handled yet. Each is handled once the actions of the previous event have been carried out.
    events: VecDeque<Event>,
    counters: Counters,
}
