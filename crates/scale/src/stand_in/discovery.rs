//! A stand-in for discovery: answers list requests over HTTP/1.1 and sends each change of the list on the
//! open connections, or an empty line after two seconds without a change.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::rc::Rc;
use std::time::Duration;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};

use super::list::List;
use crate::clock::Clock;
use crate::commands::{send_reply, Commands};
use crate::protocol::{Command, DiscoveryConfig, Reply, Sample, State};

/// Time without a change after which a watch is sent an empty line (seconds).
const HEARTBEAT_INTERVAL: f64 = 2.0;
/// Interval at which the watches are checked for due empty lines.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a list request (bytes).
const MAX_REQUEST_BYTES: usize = 4 * 1024;
/// Maximum number of bytes queued for a connection. A connection that exceeds it is closed.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// Maximum number of bytes per read.
const READ_BYTES: usize = 4 * 1024;
const MAX_EVENTS: usize = 1_024;
const LISTENER: Token = Token(usize::MAX);
const COMMANDS: Token = Token(usize::MAX - 1);

/// A connection of a pooler.
struct Watch {
    stream: TcpStream,
    request: Vec<u8>,
    /// The version that has been sent; `None` until the request is complete.
    sent_version: Option<u64>,
    queue: VecDeque<Rc<[u8]>>,
    /// Bytes of the first queued block that have been written.
    front_written: usize,
    /// Bytes of all queued blocks.
    queued_bytes: usize,
    heartbeat_at: f64,
}

struct Discovery {
    clock: Clock,
    list: List,
    listener: TcpListener,
    watches: Vec<Option<Watch>>,
    free_slots: Vec<usize>,
    empty_line: Rc<[u8]>,
}

/// Runs until the input with commands ends.
pub fn run(config: &DiscoveryConfig, commands: Commands) -> io::Result<()> {
    let mut poll = Poll::new()?;
    commands.set_waker(Waker::new(poll.registry(), COMMANDS)?);
    let mut listener = TcpListener::bind(config.network.discovery())?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    let mut discovery = Discovery {
        clock: Clock::default(),
        list: List::new(config.network, config.databases, config.group_size),
        listener,
        watches: Vec::new(),
        free_slots: Vec::new(),
        empty_line: peers::encode_chunks([&b"\n"[..]]).into(),
    };
    send_reply(&Reply::Ready)?;
    let mut events = Events::with_capacity(MAX_EVENTS);
    loop {
        match poll.poll(&mut events, Some(CHECK_INTERVAL)) {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            result => result?,
        }
        for event in &events {
            match event.token() {
                LISTENER => discovery.accept(&poll)?,
                COMMANDS => {}
                Token(slot) => discovery.on_ready(slot),
            }
        }
        discovery.send_heartbeats();
        while let Some(command) = commands.next() {
            send_reply(&discovery.execute(&command))?;
        }
        if commands.ended() {
            return Ok(());
        }
    }
}

impl Discovery {
    fn accept(&mut self, poll: &Poll) -> io::Result<()> {
        loop {
            let mut stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => continue,
                Err(error) => return Err(error),
            };
            let slot = self.free_slots.pop().unwrap_or_else(|| {
                self.watches.push(None);
                self.watches.len() - 1
            });
            let interest = Interest::READABLE | Interest::WRITABLE;
            poll.registry().register(&mut stream, Token(slot), interest)?;
            let heartbeat_at = self.clock.now() + HEARTBEAT_INTERVAL;
            let (request, queue) = (Vec::new(), VecDeque::new());
            self.watches[slot] = Some(Watch {
                stream,
                request,
                sent_version: None,
                queue,
                front_written: 0,
                queued_bytes: 0,
                heartbeat_at,
            });
        }
    }

    fn on_ready(&mut self, slot: usize) {
        let Some(Some(watch)) = self.watches.get_mut(slot) else { return };
        let result = watch.read().and_then(|()| {
            if watch.sent_version.is_none() && watch.request.ends_with(b"\r\n\r\n") {
                let since = requested_version(&watch.request).ok_or(ErrorKind::InvalidData)?;
                watch.push(peers::RESPONSE_HEAD.as_bytes().into());
                let update = self.list.update_since(since).unwrap_or_else(|| self.empty_line.clone());
                watch.push(update);
                watch.sent_version = Some(self.list.version());
                watch.heartbeat_at = self.clock.now() + HEARTBEAT_INTERVAL;
            }
            watch.write()
        });
        if result.is_err() {
            self.close(slot);
        }
    }

    fn close(&mut self, slot: usize) {
        self.watches[slot] = None;
        self.free_slots.push(slot);
    }

    /// Sends an empty line to each watch for which one is due.
    fn send_heartbeats(&mut self) {
        let now = self.clock.now();
        for slot in 0..self.watches.len() {
            let Some(watch) =
                self.watches[slot].as_mut().filter(|w| w.sent_version.is_some() && w.heartbeat_at <= now)
            else {
                continue;
            };
            watch.heartbeat_at = now + HEARTBEAT_INTERVAL;
            watch.push(self.empty_line.clone());
            if watch.write().is_err() {
                self.close(slot);
            }
        }
    }

    fn execute(&mut self, command: &Command) -> Reply {
        match command {
            Command::List { database, serving } => match self.list.set_serving(*database, *serving) {
                Some(version) => {
                    let at = self.clock.now();
                    self.notify_all();
                    Reply::Version(version, at)
                }
                None => Reply::Failed(format!("no member has number {database}")),
            },
            Command::Sample => Reply::Sample(Box::new(Sample { at: self.clock.now(), ..Sample::default() })),
            Command::State => Reply::State(self.state()),
            _ => Reply::Failed(String::from("command not supported by discovery")),
        }
    }

    /// Returns the version of the list and the number of connections that follow it.
    fn state(&self) -> State {
        let running = self.watches.iter().flatten().filter(|watch| watch.sent_version.is_some()).count();
        State { running, lists: vec![(self.list.version(), 0)], ..State::default() }
    }

    /// Sends each watch the changes since the version that it has.
    fn notify_all(&mut self) {
        for slot in 0..self.watches.len() {
            let Some((watch, sent_version)) = self.watches[slot]
                .as_mut()
                .and_then(|w| w.sent_version.map(|sent_version| (w, sent_version)))
            else {
                continue;
            };
            self.list.update_since(sent_version).into_iter().for_each(|update| watch.push(update));
            watch.sent_version = Some(self.list.version());
            watch.heartbeat_at = self.clock.now() + HEARTBEAT_INTERVAL;
            if watch.write().is_err() {
                self.close(slot);
            }
        }
    }
}

impl Watch {
    fn push(&mut self, bytes: Rc<[u8]>) {
        self.queued_bytes += bytes.len();
        self.queue.push_back(bytes);
    }

    fn read(&mut self) -> io::Result<()> {
        let mut bytes = [0; READ_BYTES];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.request.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
            if self.request.len() > MAX_REQUEST_BYTES {
                return Err(ErrorKind::InvalidData.into());
            }
        }
    }

    fn write(&mut self) -> io::Result<()> {
        if self.queued_bytes > MAX_QUEUED_BYTES {
            return Err(ErrorKind::TimedOut.into());
        }
        while let Some(first) = self.queue.front() {
            match self.stream.write(&first[self.front_written..]) {
                Ok(count) => self.front_written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
            if self.front_written == first.len() {
                self.queued_bytes -= first.len();
                self.front_written = 0;
                self.queue.pop_front();
            }
        }
        Ok(())
    }
}

/// Returns the version in a list request, or 0 if it has none.
fn requested_version(request: &[u8]) -> Option<u64> {
    let line = std::str::from_utf8(request).ok()?.lines().next()?;
    let target = line.split(' ').nth(1)?;
    let query = target.split_once('?').map_or("", |(_, query)| query);
    query.split('&').find_map(|pair| pair.strip_prefix("since=")).unwrap_or("0").parse().ok()
}
