//! Streams between instances: a log that is far behind is read from its author in pieces, each a length and a
//! sealed message. After a connection failure reading continues where it stopped.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use replication::message::MAX_STREAM_MESSAGE_BYTES;
use replication::Node;

use crate::net::event_loop::{Slot, Slots, Source};
use crate::net::Context;

/// Maximum number of streams per direction; further incoming ones are closed, further outgoing ones are
/// opened later.
const MAX_STREAMS: usize = 16;
/// Maximum number of connections accepted, and of reads and of writes on a stream, in a turn.
const MAX_ACCEPTS_PER_TURN: usize = 16;
const MAX_TRANSFERS_PER_TURN: usize = 8;
/// A stream without any transfer for this time (seconds) is closed.
const IDLE_TIMEOUT: f64 = 5.0;
/// Bytes in the outbox above which no further piece is added.
const MAX_OUTBOX_BYTES: usize = 64 * 1024;

enum Role {
    /// Reads the log of this peer.
    Reader(Arc<str>),
    /// Writes the own log to the peer that requested it, after a number; `None` before the request.
    Writer(Option<(Arc<str>, u64)>),
}

struct Stream {
    socket: TcpStream,
    role: Role,
    inbox: Vec<u8>,
    outbox: VecDeque<u8>,
    last_transfer_at: f64,
}

pub(super) struct Streams {
    listener: TcpListener,
    streams: Slots<Stream>,
}

impl Streams {
    pub fn new(listener: TcpListener) -> Streams {
        Streams { listener, streams: Slots::new() }
    }

    pub fn accept(&mut self, context: &mut Context) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.listener.accept() {
                Ok((socket, _)) if self.streams.len() < 2 * MAX_STREAMS => {
                    self.add(socket, Role::Writer(None), Vec::new(), context);
                }
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
        context.reactor.continue_later(Source::PeerListener);
    }

    /// Opens a stream to read a peer's log.
    pub fn open(&mut self, name: Arc<str>, to: SocketAddr, node: &mut Node, context: &mut Context) {
        let readers =
            self.streams.iter().filter(|(_, stream)| matches!(stream.role, Role::Reader(_))).count();
        let socket = TcpStream::connect(to).ok().filter(|_| readers < MAX_STREAMS);
        match (socket, node.stream_request(&name)) {
            (Some(socket), Some(first)) => {
                logging::debug!(
                    event = "peers.stream",
                    name = &*name,
                    "opens a stream to read the log of instance {name}"
                );
                self.add(socket, Role::Reader(name), frame(&first), context);
            }
            _ => node.stream_ended(&name),
        }
    }

    fn add(&mut self, socket: TcpStream, role: Role, first: Vec<u8>, context: &mut Context) {
        let last_transfer_at = context.reactor.now();
        let slot = self.streams.insert(Stream {
            socket,
            role,
            inbox: Vec::new(),
            outbox: first.into(),
            last_transfer_at,
        });
        let Some(stream) = self.streams.get_mut(slot) else { return };
        let both = Interest::READABLE | Interest::WRITABLE;
        let token = Source::PeerStream(slot).into();
        if context.reactor.registry.register(&mut stream.socket, token, both).is_err() {
            self.streams.remove(slot);
        }
    }

    pub fn on_ready(&mut self, slot: Slot, node: &mut Node, context: &mut Context) {
        let Some(stream) = self.streams.get_mut(slot) else { return };
        match stream.transfer(context.reactor.now(), node) {
            Ok(Progress::Complete) => {}
            Ok(Progress::More) => context.reactor.continue_later(Source::PeerStream(slot)),
            Err(_) => self.end(slot, node),
        }
    }

    /// Resumes streams that waited for the byte budget, and closes idle ones.
    pub fn on_timer(&mut self, now: f64, node: &mut Node) {
        let slots: Vec<Slot> = self.streams.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let Some(stream) = self.streams.get_mut(slot) else { continue };
            if now - stream.last_transfer_at > IDLE_TIMEOUT || stream.transfer(now, node).is_err() {
                self.end(slot, node);
            }
        }
    }

    fn end(&mut self, slot: Slot, node: &mut Node) {
        if let Some(Stream { role: Role::Reader(name), .. }) = self.streams.remove(slot) {
            node.stream_ended(&name);
        }
    }
}

/// How far a turn of a stream has come.
enum Progress {
    /// The socket would block.
    Complete,
    /// The turn is over, and no event announces what is left.
    More,
}

impl Stream {
    /// Reads and writes as far as a turn allows; returns an error if the stream has ended.
    fn transfer(&mut self, now: f64, node: &mut Node) -> io::Result<Progress> {
        let mut piece = [0; 16 * 1024];
        let mut progress = Progress::More;
        for _ in 0..MAX_TRANSFERS_PER_TURN {
            match self.socket.read(&mut piece) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.last_transfer_at = now;
                    self.inbox.extend_from_slice(&piece[..count]);
                    self.handle_messages(now, node)?;
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    progress = Progress::Complete;
                    break;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.fill_outbox(now, node);
        let mut writes_left = MAX_TRANSFERS_PER_TURN;
        while !self.outbox.is_empty() {
            if writes_left == 0 {
                return Ok(Progress::More);
            }
            writes_left -= 1;
            match self.socket.write(self.outbox.as_slices().0) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.last_transfer_at = now;
                    self.outbox.drain(..count);
                    self.fill_outbox(now, node);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::NotConnected => break,
                Err(error) => return Err(error),
            }
        }
        // The full log has been written; further facts are sent as datagrams.
        match &self.role {
            Role::Writer(Some((_, from))) if self.outbox.is_empty() && *from >= node.upto() => {
                Err(ErrorKind::ConnectionAborted.into())
            }
            _ => Ok(progress),
        }
    }

    /// Handles the complete messages in the inbox.
    fn handle_messages(&mut self, now: f64, node: &mut Node) -> io::Result<()> {
        while let Some((length, rest)) = self.inbox.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            // Limits the memory that an unauthenticated client can use.
            if length > MAX_STREAM_MESSAGE_BYTES {
                return Err(ErrorKind::InvalidData.into());
            }
            if rest.len() < length {
                break;
            }
            let message: Vec<u8> = rest[..length].to_vec();
            self.inbox.drain(..4 + length);
            match &mut self.role {
                Role::Reader(_) => node.receive(now, &message),
                Role::Writer(request @ None) => match node.parse_stream_request(now, &message) {
                    Some(from) => *request = Some(from),
                    None => return Err(ErrorKind::InvalidData.into()),
                },
                Role::Writer(Some(_)) => return Err(ErrorKind::InvalidData.into()),
            }
        }
        Ok(())
    }

    fn fill_outbox(&mut self, now: f64, node: &mut Node) {
        let Role::Writer(Some((name, from))) = &mut self.role else { return };
        while self.outbox.len() < MAX_OUTBOX_BYTES {
            let Some((piece, upto)) = node.stream_piece(now, name, *from) else { return };
            self.outbox.extend(frame(&piece));
            *from = upto;
        }
    }
}

fn frame(message: &[u8]) -> Vec<u8> {
    let mut bytes = (message.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(message);
    bytes
}
