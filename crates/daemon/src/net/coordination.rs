//! How instances know what sessions wrote at each other: each shares with every other ([`Peers`]), or control instances keep
//! who owns a session ([`Directory`]).

use ::control::{PeersQuery as Question, Response};
use config::Config;
use operator::EffectiveConfig;

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
        effective: &EffectiveConfig,
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
    pub fn on_ready(&mut self, context: &mut Context) {
        match self {
            Coordination::Peers(peers) => peers.on_ready(context),
            Coordination::Directory(directory) => directory.on_ready(context),
        }
    }

    /// The time has come for something.
    pub fn on_timer(&mut self, context: &mut Context) {
        match self {
            Coordination::Peers(peers) => peers.on_timer(context),
            Coordination::Directory(directory) => directory.on_timer(context),
        }
    }

    /// A stream may be taken in, or read from and written to.
    pub fn accept(&mut self, context: &mut Context) {
        self.peers().into_iter().for_each(|peers| peers.accept(context));
    }

    pub fn on_stream_ready(&mut self, slot: Slot, context: &mut Context) {
        self.peers().into_iter().for_each(|peers| peers.on_stream_ready(slot, context));
    }

    /// Sends what there is to send.
    pub fn send_pending(&mut self, context: &mut Context) {
        match self {
            Coordination::Peers(peers) => peers.send_pending(context),
            Coordination::Directory(directory) => directory.send_pending(context),
        }
    }

    /// What a session's read needs, as a position (Unix seconds); infinite where only the primary will do.
    pub fn required_position(&mut self, now: f64, session: &str) -> f64 {
        match self {
            Coordination::Peers(peers) => peers.required_position(now, session),
            Coordination::Directory(directory) => directory.required_position(now, session),
        }
    }

    /// A write of a session has come, with so much time left (seconds). None at a bound: it must not be sent.
    pub fn begin_write(&mut self, now: f64, session: &str, left: f64) -> Option<WriteTicket> {
        match self {
            Coordination::Peers(peers) => Some(WriteTicket::Peers(peers.node.begin_write(now, session))),
            Coordination::Directory(directory) => {
                directory.begin_write(now, session, left).map(WriteTicket::Directory)
            }
        }
    }

    /// How long a write waits for leave to be sent (seconds).
    pub fn max_write_hold(&self) -> f64 {
        match self {
            Coordination::Peers(peers) => peers.max_write_hold(),
            Coordination::Directory(directory) => directory.max_write_hold(),
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
    pub fn cannot_be_sent(&mut self, now: f64, ticket: WriteTicket) -> bool {
        match (self, ticket) {
            (Coordination::Peers(peers), _) => peers.node.cannot_send_writes(now),
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.cannot_be_sent(now, ticket)
            }
            _ => true,
        }
    }

    /// A write was committed at that position (Unix seconds).
    pub fn record_commit(&mut self, now: f64, ticket: WriteTicket, position: f64) {
        match (self, ticket) {
            (Coordination::Peers(peers), WriteTicket::Peers(ticket)) => {
                peers.node.end_write(now, ticket, Some(position));
            }
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.record_commit(now, ticket, position);
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
    pub fn answer_deadline(&self, ticket: WriteTicket) -> f64 {
        match (self, ticket) {
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.answer_deadline(ticket)
            }
            _ => f64::INFINITY,
        }
    }

    /// A write is done with.
    pub fn end_write(&mut self, now: f64, ticket: WriteTicket) {
        match (self, ticket) {
            (Coordination::Peers(peers), WriteTicket::Peers(ticket)) => peers.node.forget(now, ticket),
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.end_write(now, ticket);
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
    pub fn announce_shutdown(&mut self, now: impl Fn() -> f64) {
        match self {
            Coordination::Peers(peers) => peers.announce_shutdown(now),
            Coordination::Directory(directory) => directory.announce_shutdown(),
        }
    }
}
