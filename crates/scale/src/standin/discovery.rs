//! A stand-in for discovery: answers calls for the list over HTTP/1.1 and tells each change on the connections that are
//! open, an empty line every two seconds where there is none.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::rc::Rc;
use std::time::Duration;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};

use super::list::List;
use crate::clock::Clock;
use crate::commands::{answer, Commands};
use crate::protocol::{Command, DiscoveryTerms, Reply, Sample, State};

/// Time between two empty lines of a watch (seconds).
const BEAT: f64 = 2.0;
/// How often it is looked whether a watch is due an empty line.
const LOOK: Duration = Duration::from_millis(50);
/// Longest head of a call (bytes).
const LONGEST_CALL: usize = 4 * 1024;
/// Most bytes that one connection may keep waiting: one that reads nothing is closed.
const MOST_WAITING: usize = 16 << 20;
/// Bytes read at a time.
const PIECE: usize = 4 * 1024;
const BATCH: usize = 1_024;
const LISTENER: Token = Token(usize::MAX);
const COMMANDS: Token = Token(usize::MAX - 1);

/// A pooler's connection.
struct Watch {
    stream: TcpStream,
    call: Vec<u8>,
    /// The version that has been told; none until the call is whole.
    told: Option<u64>,
    waiting: VecDeque<Rc<[u8]>>,
    /// Bytes of the first that have been written, and bytes in all.
    written: usize,
    bytes: usize,
    beat_at: f64,
}

struct Discovery {
    clock: Clock,
    list: List,
    listener: TcpListener,
    watches: Vec<Option<Watch>>,
    free: Vec<usize>,
    blank: Rc<[u8]>,
}

/// Runs until the command's lines end.
pub fn run(terms: &DiscoveryTerms, commands: Commands) -> io::Result<()> {
    let mut poll = Poll::new()?;
    commands.wake(Waker::new(poll.registry(), COMMANDS)?);
    let mut listener = TcpListener::bind(terms.network.discovery())?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    let mut discovery = Discovery {
        clock: Clock::default(),
        list: List::new(terms.network, terms.databases, terms.group_size),
        listener,
        watches: Vec::new(),
        free: Vec::new(),
        blank: peers::encode_chunks([&b"\n"[..]]).into(),
    };
    answer(&Reply::Ready)?;
    let mut events = Events::with_capacity(BATCH);
    loop {
        match poll.poll(&mut events, Some(LOOK)) {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            result => result?,
        }
        for event in &events {
            match event.token() {
                LISTENER => discovery.accept(&poll)?,
                COMMANDS => {}
                Token(place) => discovery.ready(place),
            }
        }
        discovery.beat();
        while let Some(command) = commands.next() {
            answer(&discovery.command(&command))?;
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
            let place = self.free.pop().unwrap_or_else(|| {
                self.watches.push(None);
                self.watches.len() - 1
            });
            let both = Interest::READABLE | Interest::WRITABLE;
            poll.registry().register(&mut stream, Token(place), both)?;
            let beat_at = self.clock.now() + BEAT;
            let (call, waiting) = (Vec::new(), VecDeque::new());
            self.watches[place] =
                Some(Watch { stream, call, told: None, waiting, written: 0, bytes: 0, beat_at });
        }
    }

    fn ready(&mut self, place: usize) {
        let Some(Some(watch)) = self.watches.get_mut(place) else { return };
        let result = watch.read().and_then(|()| {
            if watch.told.is_none() && watch.call.ends_with(b"\r\n\r\n") {
                let since = since(&watch.call).ok_or(ErrorKind::InvalidData)?;
                watch.push(peers::RESPONSE_HEAD.as_bytes().into());
                let news = self.list.news(since).unwrap_or_else(|| self.blank.clone());
                watch.push(news);
                watch.told = Some(self.list.version());
                watch.beat_at = self.clock.now() + BEAT;
            }
            watch.write()
        });
        if result.is_err() {
            self.close(place);
        }
    }

    fn close(&mut self, place: usize) {
        self.watches[place] = None;
        self.free.push(place);
    }

    /// Tells each watch that is due it that nothing has changed.
    fn beat(&mut self) {
        let now = self.clock.now();
        for place in 0..self.watches.len() {
            let Some(watch) = self.watches[place].as_mut().filter(|w| w.told.is_some() && w.beat_at <= now)
            else {
                continue;
            };
            watch.beat_at = now + BEAT;
            watch.push(self.blank.clone());
            if watch.write().is_err() {
                self.close(place);
            }
        }
    }

    fn command(&mut self, command: &Command) -> Reply {
        match command {
            Command::List { database, serving } => match self.list.change(*database, *serving) {
                Some(version) => {
                    let at = self.clock.now();
                    self.tell_all();
                    Reply::Version(version, at)
                }
                None => Reply::Failed(format!("there is no database {database}")),
            },
            Command::Sample => Reply::Sample(Box::new(Sample { at: self.clock.now(), ..Sample::default() })),
            Command::State => Reply::State(self.state()),
            _ => Reply::Failed(String::from("discovery has no poolers")),
        }
    }

    /// The list's version, and how many connections follow it.
    fn state(&self) -> State {
        let running = self.watches.iter().flatten().filter(|watch| watch.told.is_some()).count();
        State { running, lists: vec![(self.list.version(), 0)], ..State::default() }
    }

    /// Tells each watch what has changed since it was told.
    fn tell_all(&mut self) {
        for place in 0..self.watches.len() {
            let Some((watch, told)) = self.watches[place].as_mut().and_then(|w| w.told.map(|told| (w, told)))
            else {
                continue;
            };
            self.list.news(told).into_iter().for_each(|news| watch.push(news));
            watch.told = Some(self.list.version());
            watch.beat_at = self.clock.now() + BEAT;
            if watch.write().is_err() {
                self.close(place);
            }
        }
    }
}

impl Watch {
    fn push(&mut self, bytes: Rc<[u8]>) {
        self.bytes += bytes.len();
        self.waiting.push_back(bytes);
    }

    fn read(&mut self) -> io::Result<()> {
        let mut bytes = [0; PIECE];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.call.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
            if self.call.len() > LONGEST_CALL {
                return Err(ErrorKind::InvalidData.into());
            }
        }
    }

    fn write(&mut self) -> io::Result<()> {
        if self.bytes > MOST_WAITING {
            return Err(ErrorKind::TimedOut.into());
        }
        while let Some(first) = self.waiting.front() {
            match self.stream.write(&first[self.written..]) {
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
            if self.written == first.len() {
                self.bytes -= first.len();
                self.written = 0;
                self.waiting.pop_front();
            }
        }
        Ok(())
    }
}

/// The version that a call says is held.
fn since(call: &[u8]) -> Option<u64> {
    let line = std::str::from_utf8(call).ok()?.lines().next()?;
    let target = line.split(' ').nth(1)?;
    let query = target.split_once('?').map_or("", |(_, query)| query);
    query.split('&').find_map(|pair| pair.strip_prefix("since=")).unwrap_or("0").parse().ok()
}
