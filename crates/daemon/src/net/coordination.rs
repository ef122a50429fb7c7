//! How instances know what sessions wrote at each other: each shares with every other ([`Peers`]), or control instances keep
//! who owns a session ([`Directory`]).

use ::control::{PeersQuery as Question, Response};
use config::Config;
use operator::Effective;

use super::directory::Directory;
use super::event_loop::Slot;
use super::peers::Peers;
use super::Context;

/// The one in use.
pub(crate) enum Coordination {
    Peers(Box<Peers>),
    Directory(Box<Directory>),
}

/// A write of a session that has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WriteTicket {
    Peers(replication::Ticket),
    Directory(directory::Ticket),
}

impl Coordination {
    /// What the operator's file asks for; none where instances share nothing.
    pub fn new(
        effective: &Effective,
        config: &Config,
        context: &mut Context,
    ) -> Result<Option<Coordination>, String> {
        if let Some(directory) = Directory::new(effective, config, context)? {
            return Ok(Some(Coordination::Directory(Box::new(directory))));
        }
        let peers = Peers::new(effective, config, context)?;
        Ok(peers.map(|peers| Coordination::Peers(Box::new(peers))))
    }

    /// The others, where all share with all.
    pub fn peers(&mut self) -> Option<&mut Peers> {
        match self {
            Coordination::Peers(peers) => Some(peers),
            Coordination::Directory(_) => None,
        }
    }

    /// Datagrams may be read.
    pub fn ready(&mut self, context: &mut Context) {
        match self {
            Coordination::Peers(peers) => peers.ready(context),
            Coordination::Directory(directory) => directory.ready(context),
        }
    }

    /// The time has come for something.
    pub fn due(&mut self, context: &mut Context) {
        match self {
            Coordination::Peers(peers) => peers.due(context),
            Coordination::Directory(directory) => directory.due(context),
        }
    }

    /// A stream may be taken in, or read from and written to.
    pub fn accept(&mut self, context: &mut Context) {
        self.peers().into_iter().for_each(|peers| peers.accept(context));
    }

    pub fn stream(&mut self, slot: Slot, context: &mut Context) {
        self.peers().into_iter().for_each(|peers| peers.stream(slot, context));
    }

    /// Sends what there is to send.
    pub fn carry_out(&mut self, context: &mut Context) {
        match self {
            Coordination::Peers(peers) => peers.carry_out(context),
            Coordination::Directory(directory) => directory.carry_out(context),
        }
    }

    /// What a session's read needs, as a position (Unix seconds); infinite where only the primary will do.
    pub fn need(&mut self, now: f64, session: &str) -> f64 {
        match self {
            Coordination::Peers(peers) => peers.need(now, session),
            Coordination::Directory(directory) => directory.need(now, session),
        }
    }

    /// A write of a session has come, with so much time left (seconds). None at a bound: it must not be sent.
    pub fn write_begins(&mut self, now: f64, session: &str, left: f64) -> Option<WriteTicket> {
        match self {
            Coordination::Peers(peers) => Some(WriteTicket::Peers(peers.node.begin_write(now, session))),
            Coordination::Directory(directory) => {
                directory.write_begins(now, session, left).map(WriteTicket::Directory)
            }
        }
    }

    /// How long a write waits for leave to be sent (seconds).
    pub fn hold(&self) -> f64 {
        match self {
            Coordination::Peers(peers) => peers.hold(),
            Coordination::Directory(directory) => directory.hold(),
        }
    }

    /// Whether a write may be sent.
    pub fn may_send(&mut self, now: f64, ticket: WriteTicket) -> bool {
        match (self, ticket) {
            (Coordination::Peers(peers), WriteTicket::Peers(ticket)) => peers.may_send(now, ticket),
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.may_send(now, ticket)
            }
            _ => false,
        }
    }

    /// Whether to wait for leave to be sent is in vain.
    pub fn is_hopeless(&mut self, now: f64, ticket: WriteTicket) -> bool {
        match (self, ticket) {
            (Coordination::Peers(peers), _) => peers.node.cannot_send_writes(now),
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.is_hopeless(now, ticket)
            }
            _ => true,
        }
    }

    /// A write was committed at that position (Unix seconds).
    pub fn write_committed(&mut self, now: f64, ticket: WriteTicket, position: f64) {
        match (self, ticket) {
            (Coordination::Peers(peers), WriteTicket::Peers(ticket)) => {
                peers.node.end_write(now, ticket, Some(position));
            }
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.write_committed(now, ticket, position);
            }
            _ => {}
        }
    }

    /// Whether a write that was committed may be answered.
    pub fn may_answer(&mut self, now: f64, ticket: WriteTicket) -> bool {
        match (self, ticket) {
            (Coordination::Peers(peers), WriteTicket::Peers(ticket)) => peers.node.may_answer(now, ticket),
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.may_answer(now, ticket)
            }
            _ => false,
        }
    }

    /// When a write can no longer be answered as served (Unix seconds).
    pub fn answerable_until(&self, ticket: WriteTicket) -> f64 {
        match (self, ticket) {
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.answerable_until(ticket)
            }
            _ => f64::INFINITY,
        }
    }

    /// A write is done with.
    pub fn forget(&mut self, now: f64, ticket: WriteTicket) {
        match (self, ticket) {
            (Coordination::Peers(peers), WriteTicket::Peers(ticket)) => peers.node.forget(now, ticket),
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.forget(now, ticket);
            }
            _ => {}
        }
    }

    /// Answers what people ask.
    pub fn answer(&mut self, now: f64, question: &Question) -> Response {
        match self {
            Coordination::Peers(peers) => peers.answer(now, question),
            Coordination::Directory(directory) => directory.answer(now, question),
        }
    }

    /// This instance ends: the others are told.
    pub fn farewell(&mut self, now: impl Fn() -> f64) {
        match self {
            Coordination::Peers(peers) => peers.farewell(now),
            Coordination::Directory(directory) => directory.farewell(),
        }
    }
}
