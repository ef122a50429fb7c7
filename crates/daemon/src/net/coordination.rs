//! Coordination of sessions between instances, so that a session's reads include its writes through other
//! instances: either all instances exchange their state ([`Peers`]), or control instances store the owner of
//! each session ([`Directory`]).

use ::control::{PeersQuery, Response};
use config::Config;
use operator::EffectiveConfig;

use super::directory::Directory;
use super::event_loop::Slot;
use super::peers::Peers;
use super::Context;

/// The configured kind of coordination.
pub(crate) enum Coordination {
    Peers(Box<Peers>),
    Directory(Box<Directory>),
}

/// A write of a session in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WriteTicket {
    Peers(replication::Ticket),
    Directory(directory::Ticket),
}

impl Coordination {
    /// Starts the coordination that the operator's file configures; `None` if there is none.
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

    /// Returns the exchange between peers, if it is the configured kind.
    pub fn peers(&mut self) -> Option<&mut Peers> {
        match self {
            Coordination::Peers(peers) => Some(peers),
            Coordination::Directory(_) => None,
        }
    }

    /// Reads datagrams.
    pub fn on_ready(&mut self, context: &mut Context) {
        match self {
            Coordination::Peers(peers) => peers.on_ready(context),
            Coordination::Directory(directory) => directory.on_ready(context),
        }
    }

    /// Runs what is due.
    pub fn on_timer(&mut self, context: &mut Context) {
        match self {
            Coordination::Peers(peers) => peers.on_timer(context),
            Coordination::Directory(directory) => directory.on_timer(context),
        }
    }

    /// Accepts streams of peers.
    pub fn accept(&mut self, context: &mut Context) {
        self.peers().into_iter().for_each(|peers| peers.accept(context));
    }

    pub fn on_stream_ready(&mut self, slot: Slot, context: &mut Context) {
        self.peers().into_iter().for_each(|peers| peers.on_stream_ready(slot, context));
    }

    /// Sends pending messages.
    pub fn send_pending(&mut self, context: &mut Context) {
        match self {
            Coordination::Peers(peers) => peers.send_pending(context),
            Coordination::Directory(directory) => directory.send_pending(context),
        }
    }

    /// Returns the position (Unix seconds) that a session's read requires; infinite if only the primary may
    /// serve it.
    pub fn required_position(&mut self, now: f64, session: &str) -> f64 {
        match self {
            Coordination::Peers(peers) => peers.required_position(now, session),
            Coordination::Directory(directory) => directory.required_position(now, session),
        }
    }

    /// Begins a write of a session with `time_left` (seconds). Returns `None` if a limit is reached: the
    /// write must not be sent.
    pub fn begin_write(&mut self, now: f64, session: &str, time_left: f64) -> Option<WriteTicket> {
        match self {
            Coordination::Peers(peers) => Some(WriteTicket::Peers(peers.node.begin_write(now, session))),
            Coordination::Directory(directory) => {
                directory.begin_write(now, session, time_left).map(WriteTicket::Directory)
            }
        }
    }

    /// Returns the maximum time that a write is held until it may be sent (seconds).
    pub fn max_write_hold(&self) -> f64 {
        match self {
            Coordination::Peers(peers) => peers.max_write_hold(),
            Coordination::Directory(directory) => directory.max_write_hold(),
        }
    }

    /// Returns true if a write may be sent.
    pub fn may_send(&mut self, now: f64, ticket: WriteTicket) -> bool {
        match (self, ticket) {
            (Coordination::Peers(peers), WriteTicket::Peers(ticket)) => peers.may_send(now, ticket),
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.may_send(now, ticket)
            }
            _ => false,
        }
    }

    /// Returns true if a held write has no prospect of being sent soon.
    pub fn cannot_be_sent(&mut self, now: f64, ticket: WriteTicket) -> bool {
        match (self, ticket) {
            (Coordination::Peers(peers), _) => peers.node.cannot_send_writes(now),
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.cannot_be_sent(now, ticket)
            }
            _ => true,
        }
    }

    /// Records that a write was committed at a position (Unix seconds).
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

    /// Returns true if a committed write may be answered.
    pub fn may_answer(&mut self, now: f64, ticket: WriteTicket) -> bool {
        match (self, ticket) {
            (Coordination::Peers(peers), WriteTicket::Peers(ticket)) => peers.node.may_answer(now, ticket),
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.may_answer(now, ticket)
            }
            _ => false,
        }
    }

    /// Returns when a write can no longer be answered as served (Unix seconds).
    pub fn answer_deadline(&self, ticket: WriteTicket) -> f64 {
        match (self, ticket) {
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.answer_deadline(ticket)
            }
            _ => f64::INFINITY,
        }
    }

    /// Ends a write.
    pub fn end_write(&mut self, now: f64, ticket: WriteTicket) {
        match (self, ticket) {
            (Coordination::Peers(peers), WriteTicket::Peers(ticket)) => peers.node.forget(now, ticket),
            (Coordination::Directory(directory), WriteTicket::Directory(ticket)) => {
                directory.end_write(now, ticket);
            }
            _ => {}
        }
    }

    /// Answers an operator's query.
    pub fn answer(&mut self, now: f64, query: &PeersQuery) -> Response {
        match self {
            Coordination::Peers(peers) => peers.answer(now, query),
            Coordination::Directory(directory) => directory.answer(now, query),
        }
    }

    /// Announces the shutdown to other instances.
    pub fn announce_shutdown(&mut self, now: impl Fn() -> f64) {
        match self {
            Coordination::Peers(peers) => peers.announce_shutdown(now),
            Coordination::Directory(directory) => directory.announce_shutdown(),
        }
    }
}
