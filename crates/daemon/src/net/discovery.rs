//! The connections on which the list is followed at discovery, over HTTP/1.1. [`listing::follow`] decides
//! what silence means and which connection counts.

use std::net::SocketAddr;

use buffer::Budget;
use listing::connection::{Connection, ConnectionError};
use listing::follow::{self, ConnectionId, Follower, Step};
use mio::net::TcpStream;
use mio::Interest;
use routing::interface::ListKind;

use super::event_loop::{Slot, Slots, Source, TimerKind};
use super::{Context, Event};

/// Memory for the buffers of all connections to discovery (bytes). It has a budget of its own, so that the
/// buffers of clients and server connections cannot keep the list from being read.
const BUFFER_BYTES: usize = 2 * follow::MAX_CONNECTIONS * buffer::MAX_BUFFER_BYTES;

struct Watch {
    id: ConnectionId,
    /// When the connection was opened.
    opened_at: f64,
    /// The connection is established.
    connected: bool,
    /// Data has been received.
    answered: bool,
    stream: TcpStream,
    connection: Connection,
}

impl Watch {
    /// Reads and writes until the socket would block, or a share of what it has is read; appends the complete pieces of the response to
    /// `pieces`.
    fn transfer(&mut self, pieces: &mut Vec<json::Piece>) -> Result<(), ConnectionError> {
        // A connection that was reset has no peer address any more, though data received before is still
        // readable.
        self.connected |= self.stream.peer_addr().is_ok();
        if !self.connected {
            return match self.stream.take_error() {
                Ok(None) => Ok(()),
                _ => Err("connection failed"),
            };
        }
        self.connection.transfer(&mut self.stream, pieces)
    }
}

/// The connections to discovery: at most one watch, and the requests that may replace it.
pub(crate) struct Discovery {
    address: SocketAddr,
    follower: Follower,
    watches: Slots<Watch>,
    budget: Budget,
    /// The present error; logged when it changes, not for each request that fails.
    last_error: Option<ConnectionError>,
}

impl Discovery {
    /// Starts from that version of the list, without a connection. If the list is `pushed` by an agent, it is
    /// followed from the start; otherwise the routing policy decides when to send a request.
    pub fn new(address: SocketAddr, version: u64, pushed: bool) -> Discovery {
        let (follower, watches) = (Follower::new(pushed, version), Slots::new());
        let budget = Budget::new(BUFFER_BYTES);
        Discovery { address, follower, watches, budget, last_error: None }
    }

    /// Follows a pushed list: no other part of the pooler requests it.
    pub fn follow_pushed(&mut self, context: &mut Context) {
        self.call_follower(context, |follower, now, out| follower.ensure_followed(now, out));
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the version of the list last received.
    pub fn list_version(&self) -> u64 {
        self.follower.version()
    }

    /// Follows the list at another address from now on; the open watch stays until the new address has
    /// answered.
    pub fn set_address(&mut self, address: SocketAddr, context: &mut Context) {
        if self.address != address {
            // Requests at the previous address are closed: responses that have arrived on them still count.
            self.read_pending(context);
            self.address = address;
            self.resubscribe(context);
        }
    }

    /// Stops following the list.
    pub fn stop(&mut self, context: &mut Context) {
        self.call_follower(context, |follower, _, out| follower.stop(out));
    }

    /// Opens a connection and requests the full list.
    pub fn resubscribe(&mut self, context: &mut Context) {
        self.call_follower(context, |follower, now, out| follower.request_full_list(now, out));
    }

    /// Opens a connection and requests the changes since the stored version.
    pub fn subscribe(&mut self, context: &mut Context) {
        self.call_follower(context, |follower, now, out| follower.send_list_request(now, out));
    }

    /// Calls the follower and carries out the resulting steps.
    fn call_follower(
        &mut self,
        context: &mut Context,
        operation: impl FnOnce(&mut Follower, f64, &mut Vec<Step>),
    ) {
        let mut steps = Vec::new();
        operation(&mut self.follower, context.reactor.now(), &mut steps);
        self.carry_out(steps, context);
    }

    fn carry_out(&mut self, steps: Vec<Step>, context: &mut Context) {
        for step in steps {
            match step {
                Step::Open(id, version) => {
                    if let Err(reason) = self.open(id, version, context) {
                        let mut steps = Vec::new();
                        self.follower.connection_failed(id, context.reactor.now(), reason, &mut steps);
                        self.carry_out(steps, context);
                    }
                }
                Step::Close(id) => {
                    let slot = self.watches.iter().find(|(_, watch)| watch.id == id).map(|(slot, _)| slot);
                    if let Some(watch) = slot.and_then(|slot| self.watches.remove(slot)) {
                        let lived_s = context.reactor.now() - watch.opened_at;
                        logging::info!(
                            event = "discovery.closed",
                            line = watch.id,
                            lived_s,
                            answered = watch.answered
                        );
                    }
                }
                Step::Timer(at) => context.reactor.set_timer(at, TimerKind::Discovery),
                Step::Unchanged => self.report_list(ListKind::Incremental, context),
                Step::Failed(reason) => self.report_loss(reason, ListKind::Failed, context),
                Step::Silent(reason) => self.report_loss(reason, ListKind::Silent, context),
            }
        }
    }

    fn report_list(&mut self, kind: ListKind, context: &mut Context) {
        if kind.carries_entries() {
            self.last_error = None;
        }
        context.events.push_back(Event::ListReceived(kind, Vec::new()));
    }

    fn report_loss(&mut self, reason: ConnectionError, kind: ListKind, context: &mut Context) {
        if self.last_error.replace(reason) != Some(reason) {
            logging::warn!(event = "discovery.lost", "discovery: {reason}");
        }
        self.report_list(kind, context);
    }

    fn open(&mut self, id: ConnectionId, version: u64, context: &mut Context) -> Result<(), ConnectionError> {
        let stream = TcpStream::connect(self.address).map_err(|_| "connection failed")?;
        let connection = Connection::new(self.address, version, &self.budget)?;
        let opened_at = context.reactor.now();
        logging::info!(
            event = "discovery.call",
            line = id,
            index = version,
            address = %self.address,
            "requesting the list"
        );
        let (connected, answered) = (false, false);
        let slot = self.watches.insert(Watch { id, opened_at, connected, answered, stream, connection });
        let Some(watch) = self.watches.get_mut(slot) else { return Ok(()) };
        let (token, both) = (Source::Discovery(slot).into(), Interest::READABLE | Interest::WRITABLE);
        context.reactor.registry.register(&mut watch.stream, token, both).map_err(|_| "connection failed")
    }

    /// A connection is readable or writable.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        let Some(watch) = self.watches.get_mut(slot) else { return };
        let (id, mut pieces) = (watch.id, Vec::new());
        let mut result = watch.transfer(&mut pieces);
        if watch.connection.has_unread() {
            context.reactor.continue_later(Source::Discovery(slot));
        }
        let in_document = watch.connection.in_document();
        if !pieces.is_empty() && !std::mem::replace(&mut watch.answered, true) {
            let after_s = context.reactor.now() - watch.opened_at;
            logging::info!(event = "discovery.answered", line = id, after_s);
        }
        // Empty lines in a row say the same, however many there are.
        pieces.dedup_by(|next, piece| !is_document(next) && !is_document(piece));
        for piece in pieces {
            if let Err(reason) = self.handle_piece(id, piece, context) {
                result = Err(reason);
                break;
            }
        }
        match result {
            Ok(()) => self.follower.bytes_received(id, context.reactor.now(), in_document),
            Err(reason) => self.call_follower(context, |follower, now, out| {
                follower.connection_failed(id, now, reason, out)
            }),
        }
    }

    /// Processes one document or empty line.
    fn handle_piece(
        &mut self,
        id: ConnectionId,
        piece: json::Piece,
        context: &mut Context,
    ) -> Result<(), ConnectionError> {
        let json::Piece::Document(bytes) = piece else {
            // Nothing has changed since the stored version; that also answers a request.
            self.call_follower(context, |follower, now, out| follower.empty_line_received(id, now, out));
            return Ok(());
        };
        let text = std::str::from_utf8(&bytes).map_err(|_| "list is not UTF-8")?;
        let update = listing::parse(text).ok_or("list is malformed")?;
        // Guards against a list that would remove all members: no request could be sent any more.
        if update.is_full && update.listings.is_empty() {
            return Err("full list is empty");
        }
        let mut accepted = false;
        self.call_follower(context, |follower, now, out| {
            accepted = follower.update_received(id, now, update.version, out)
        });
        if accepted {
            self.last_error = None;
            let kind = if update.is_full { ListKind::Full } else { ListKind::Incremental };
            context.events.push_back(Event::ListReceived(kind, update.listings));
        }
        Ok(())
    }

    /// Reads the data that has arrived on every connection, even if its event has not been processed.
    pub fn read_pending(&mut self, context: &mut Context) {
        let open: Vec<Slot> = self.watches.iter().map(|(slot, _)| slot).collect();
        open.into_iter().for_each(|slot| self.on_ready(slot, context));
    }

    /// Checks whether discovery has been silent for too long.
    pub fn on_timer(&mut self, context: &mut Context) {
        // Data that has arrived by now still counts, even if its event has not been processed.
        self.read_pending(context);
        self.call_follower(context, |follower, now, out| follower.on_timer(now, out));
    }
}

fn is_document(piece: &json::Piece) -> bool {
    matches!(piece, json::Piece::Document(_))
}
