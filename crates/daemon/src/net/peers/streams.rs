//! Streams among instances: a log that is far behind is read from its author in pieces, each a length and a sealed message.
//! A stream that breaks is taken up again where it stopped.

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

/// Most streams of either direction at a time; further ones wait, or are closed.
const MOST: usize = 16;
/// A stream on which nothing moves for so long (seconds) ends.
const IDLE: f64 = 5.0;
/// Pieces that wait to be written at the most.
const AHEAD: usize = 64 * 1024;

enum Role {
    /// It reads that instance's log.
    Reads(Arc<str>),
    /// It writes the own log to whoever asked, from a number on; none before he has.
    Writes(Option<(Arc<str>, u64)>),
}

struct Stream {
    socket: TcpStream,
    role: Role,
    inbox: Vec<u8>,
    outbox: VecDeque<u8>,
    moved: f64,
}

pub(super) struct Streams {
    listener: TcpListener,
    all: Slots<Stream>,
}

impl Streams {
    pub fn new(listener: TcpListener) -> Streams {
        Streams { listener, all: Slots::new() }
    }

    pub fn accept(&mut self, context: &mut Context) {
        loop {
            match self.listener.accept() {
                Ok((socket, _)) if self.all.len() < 2 * MOST => {
                    self.add(socket, Role::Writes(None), Vec::new(), context);
                }
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    /// Begins to read an instance's log.
    pub fn open(&mut self, name: Arc<str>, to: SocketAddr, node: &mut Node, context: &mut Context) {
        let reading = self.all.iter().filter(|(_, stream)| matches!(stream.role, Role::Reads(_))).count();
        let socket = TcpStream::connect(to).ok().filter(|_| reading < MOST);
        match (socket, node.stream_request(&name)) {
            (Some(socket), Some(first)) => {
                logging::debug!(event = "peers.stream", name = &*name, "reads its log from a stream");
                self.add(socket, Role::Reads(name), framed(&first), context);
            }
            _ => node.stream_ended(&name),
        }
    }

    fn add(&mut self, socket: TcpStream, role: Role, first: Vec<u8>, context: &mut Context) {
        let moved = context.reactor.now();
        let slot = self.all.insert(Stream { socket, role, inbox: Vec::new(), outbox: first.into(), moved });
        let Some(stream) = self.all.get_mut(slot) else { return };
        let both = Interest::READABLE | Interest::WRITABLE;
        let token = Source::PeerStream(slot).into();
        if context.reactor.registry.register(&mut stream.socket, token, both).is_err() {
            self.all.remove(slot);
        }
    }

    pub fn on_ready(&mut self, slot: Slot, node: &mut Node, context: &mut Context) {
        let Some(stream) = self.all.get_mut(slot) else { return };
        if stream.turn(context.reactor.now(), node).is_err() {
            self.end(slot, node);
        }
    }

    /// Time passes: what waited for room goes on, and what does not move ends.
    pub fn on_timer(&mut self, now: f64, node: &mut Node) {
        let slots: Vec<Slot> = self.all.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let Some(stream) = self.all.get_mut(slot) else { continue };
            if now - stream.moved > IDLE || stream.turn(now, node).is_err() {
                self.end(slot, node);
            }
        }
    }

    fn end(&mut self, slot: Slot, node: &mut Node) {
        if let Some(Stream { role: Role::Reads(name), .. }) = self.all.remove(slot) {
            node.stream_ended(&name);
        }
    }
}

impl Stream {
    /// Reads and writes what can be; an error where it is over.
    fn turn(&mut self, now: f64, node: &mut Node) -> io::Result<()> {
        let mut piece = [0; 16 * 1024];
        loop {
            match self.socket.read(&mut piece) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.moved = now;
                    self.inbox.extend_from_slice(&piece[..count]);
                    self.take(now, node)?;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::NotConnected => break,
                Err(error) => return Err(error),
            }
        }
        self.fill(now, node);
        while !self.outbox.is_empty() {
            match self.socket.write(self.outbox.as_slices().0) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.moved = now;
                    self.outbox.drain(..count);
                    self.fill(now, node);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::NotConnected => break,
                Err(error) => return Err(error),
            }
        }
        // All that there was has been written: the rest comes in datagrams.
        match &self.role {
            Role::Writes(Some((_, from))) if self.outbox.is_empty() && *from >= node.upto() => {
                Err(ErrorKind::ConnectionAborted.into())
            }
            _ => Ok(()),
        }
    }

    /// Takes whole messages off what has come.
    fn take(&mut self, now: f64, node: &mut Node) -> io::Result<()> {
        while let Some((length, rest)) = self.inbox.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            // Guards the memory against whoever is no instance.
            if length > MAX_STREAM_MESSAGE_BYTES {
                return Err(ErrorKind::InvalidData.into());
            }
            if rest.len() < length {
                break;
            }
            let message: Vec<u8> = rest[..length].to_vec();
            self.inbox.drain(..4 + length);
            match &mut self.role {
                Role::Reads(_) => node.receive(now, &message),
                Role::Writes(asked @ None) => match node.parse_stream_request(now, &message) {
                    Some(from) => *asked = Some(from),
                    None => return Err(ErrorKind::InvalidData.into()),
                },
                Role::Writes(Some(_)) => return Err(ErrorKind::InvalidData.into()),
            }
        }
        Ok(())
    }

    fn fill(&mut self, now: f64, node: &mut Node) {
        let Role::Writes(Some((name, from))) = &mut self.role else { return };
        while self.outbox.len() < AHEAD {
            let Some((piece, upto)) = node.stream_piece(now, name, *from) else { return };
            self.outbox.extend(framed(&piece));
            *from = upto;
        }
    }
}

fn framed(message: &[u8]) -> Vec<u8> {
    let mut bytes = (message.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(message);
    bytes
}
