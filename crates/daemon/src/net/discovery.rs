//! Discovery's side: the connections on which the list of db machines is followed, over HTTP/1.1. What silence means
//! and which connection counts is decided by [`listing::follow`].

use std::net::SocketAddr;

use buffer::Budget;
use listing::connection::{Connection, ConnectionError};
use listing::follow::{self, ConnectionId, Follower, Step};
use mio::net::TcpStream;
use mio::Interest;
use routing::interface::ListKind;

use super::event_loop::{Slot, Slots, Source, TimerKind};
use super::{Context, Event};

/// Memory for the buffers of all connections to discovery (bytes), of its own: what clients and machines take of theirs must not
/// keep the list from being read.
const MEMORY: usize = 2 * follow::MAX_CONNECTIONS * buffer::MAX_BUFFER_BYTES;

struct Watch {
    line: ConnectionId,
    /// When it was called.
    opened: f64,
    /// It has come up.
    connected: bool,
    /// Something has been heard.
    answered: bool,
    stream: TcpStream,
    connection: Connection,
}

impl Watch {
    /// Reads and writes as far as it goes; what is whole of the answer.
    fn turn(&mut self, pieces: &mut Vec<json::Piece>) -> Result<(), ConnectionError> {
        // One that was reset has no peer any more, though what came before is there to be read.
        self.connected |= self.stream.peer_addr().is_ok();
        if !self.connected {
            return match self.stream.take_error() {
                Ok(None) => Ok(()),
                _ => Err("no connection"),
            };
        }
        self.connection.transfer(&mut self.stream, pieces)
    }
}

/// The connections to discovery: at most one that is listened to and one that is to take its place.
pub(crate) struct Discovery {
    address: SocketAddr,
    follower: Follower,
    watches: Slots<Watch>,
    budget: Budget,
    /// What is wrong at present; logged when it changes, not with each call that fails.
    trouble: Option<ConnectionError>,
}

impl Discovery {
    /// Holds the list of that index, and no watch yet. Where it is `pushed`, an agent is listened to from the start;
    /// elsewhere the decisions say when to call.
    pub fn new(address: SocketAddr, index: u64, pushed: bool) -> Discovery {
        let (follower, watches) = (Follower::new(pushed, index), Slots::new());
        let budget = Budget::new(MEMORY);
        Discovery { address, follower, watches, budget, trouble: None }
    }

    /// Where the list is pushed, sees to it that there is a watch: nobody else will ask for one.
    pub fn follow_pushed(&mut self, context: &mut Context) {
        self.step(context, |follower, now, out| follower.ensure_followed(now, out));
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The version of the list that is held.
    pub fn list_version(&self) -> u64 {
        self.follower.version()
    }

    /// Watches the list at another address from now on; the watch that is open is kept until that has answered.
    pub fn set_address(&mut self, address: SocketAddr, context: &mut Context) {
        if self.address != address {
            // Calls at the address before are given up: what has been written to them counts.
            self.read_pending(context);
            self.address = address;
            self.resubscribe(context);
        }
    }

    /// Watches no more.
    pub fn stop(&mut self, context: &mut Context) {
        self.step(context, |follower, _, out| follower.stop(out));
    }

    /// Opens the watch and asks for the whole list.
    pub fn resubscribe(&mut self, context: &mut Context) {
        self.step(context, |follower, now, out| follower.request_full_list(now, out));
    }

    /// Opens the watch from the list held.
    pub fn subscribe(&mut self, context: &mut Context) {
        self.step(context, |follower, now, out| follower.send_list_request(now, out));
    }

    /// Tells the follower of one thing and carries out what follows from it.
    fn step(&mut self, context: &mut Context, tell: impl FnOnce(&mut Follower, f64, &mut Vec<Step>)) {
        let mut steps = Vec::new();
        tell(&mut self.follower, context.reactor.now(), &mut steps);
        self.carry_out(steps, context);
    }

    fn carry_out(&mut self, steps: Vec<Step>, context: &mut Context) {
        for step in steps {
            match step {
                Step::Open(line, index) => {
                    if let Err(why) = self.open(line, index, context) {
                        let mut steps = Vec::new();
                        self.follower.connection_failed(line, context.reactor.now(), why, &mut steps);
                        self.carry_out(steps, context);
                    }
                }
                Step::Close(line) => {
                    let slot =
                        self.watches.iter().find(|(_, watch)| watch.line == line).map(|(slot, _)| slot);
                    if let Some(watch) = slot.and_then(|slot| self.watches.remove(slot)) {
                        let lived_s = context.reactor.now() - watch.opened;
                        logging::info!(event = "discovery.closed", line, lived_s, answered = watch.answered);
                    }
                }
                Step::Timer(at) => context.reactor.set_timer(at, TimerKind::Discovery),
                Step::Unchanged => self.tell(ListKind::Incremental, context),
                Step::Failed(why) => self.lost(why, ListKind::Failed, context),
                Step::Silent(why) => self.lost(why, ListKind::Silent, context),
            }
        }
    }

    fn tell(&mut self, kind: ListKind, context: &mut Context) {
        if kind.carries_entries() {
            self.trouble = None;
        }
        context.events.push_back(Event::ListReceived(kind, Vec::new()));
    }

    fn lost(&mut self, why: ConnectionError, kind: ListKind, context: &mut Context) {
        if self.trouble.replace(why) != Some(why) {
            logging::warn!(event = "discovery.lost", "discovery: {why}");
        }
        self.tell(kind, context);
    }

    fn open(&mut self, line: ConnectionId, index: u64, context: &mut Context) -> Result<(), ConnectionError> {
        let stream = TcpStream::connect(self.address).map_err(|_| "no connection")?;
        let connection = Connection::new(self.address, index, &self.budget)?;
        let opened = context.reactor.now();
        logging::info!(event = "discovery.call", line, index, address = %self.address, "calls for the list");
        let (connected, answered) = (false, false);
        let slot = self.watches.insert(Watch { line, opened, connected, answered, stream, connection });
        let Some(watch) = self.watches.get_mut(slot) else { return Ok(()) };
        let (token, both) = (Source::Discovery(slot).into(), Interest::READABLE | Interest::WRITABLE);
        context.reactor.registry.register(&mut watch.stream, token, both).map_err(|_| "no connection")
    }

    /// A watch may be read from or written to.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        let Some(watch) = self.watches.get_mut(slot) else { return };
        let (line, mut pieces) = (watch.line, Vec::new());
        let mut result = watch.turn(&mut pieces);
        let begun = watch.connection.in_document();
        if !pieces.is_empty() && !std::mem::replace(&mut watch.answered, true) {
            let after_s = context.reactor.now() - watch.opened;
            logging::info!(event = "discovery.answered", line, after_s);
        }
        for piece in pieces {
            if let Err(why) = self.piece(line, piece, context) {
                result = Err(why);
                break;
            }
        }
        match result {
            Ok(()) => self.follower.bytes_received(line, context.reactor.now(), begun),
            Err(why) => {
                self.step(context, |follower, now, out| follower.connection_failed(line, now, why, out))
            }
        }
    }

    /// Takes in one document or empty line.
    fn piece(
        &mut self,
        line: ConnectionId,
        piece: json::Piece,
        context: &mut Context,
    ) -> Result<(), ConnectionError> {
        let json::Piece::Document(bytes) = piece else {
            // Nothing has changed since the list held: that, too, answers a call.
            self.step(context, |follower, now, out| follower.empty_line_received(line, now, out));
            return Ok(());
        };
        let text = std::str::from_utf8(&bytes).map_err(|_| "a list that is not text")?;
        let news = listing::parse(text).ok_or("what is no list")?;
        // Guards against a list that would take away all there is: nobody could be asked any more.
        if news.is_full && news.listings.is_empty() {
            return Err("a whole list that names nobody");
        }
        let mut counts = false;
        self.step(context, |follower, now, out| {
            counts = follower.update_received(line, now, news.version, out)
        });
        if counts {
            self.trouble = None;
            let kind = if news.is_full { ListKind::Full } else { ListKind::Incremental };
            context.events.push_back(Event::ListReceived(kind, news.listings));
        }
        Ok(())
    }

    /// Takes in what has arrived on every connection, whether or not its event has been taken up.
    pub fn read_pending(&mut self, context: &mut Context) {
        let open: Vec<Slot> = self.watches.iter().map(|(slot, _)| slot).collect();
        open.into_iter().for_each(|slot| self.on_ready(slot, context));
    }

    /// Looks whether discovery has been silent for too long.
    pub fn on_timer(&mut self, context: &mut Context) {
        // What has arrived by now still counts, though its event has not been taken up yet.
        self.read_pending(context);
        self.step(context, |follower, now, out| follower.on_timer(now, out));
    }
}
