//! Discovery's side: one watch on the list of db machines, over HTTP/1.1.

use std::net::SocketAddr;

use buffer::{Budget, Fill, Lines, Ring};
use http1::{Answer, Fault, Head, Piece, Request};
use mio::net::TcpStream;
use mio::Interest;
use routing::interface::ListKind;

use super::event_loop::{Due, Slot, Slots, Source};
use super::{Context, Event};

const PATH: &str = "/catalog/members";
/// A watch that says nothing for so long is given up (seconds): an empty line is due every 2 s. An agent costs
/// nothing to ask and what it holds counts as told, so it is asked again sooner.
const SILENCE: f64 = 5.0;
const SILENCE_OF_AGENT: f64 = 3.0;
/// Longest line of a watch (bytes).
const LONGEST_LINE: usize = 1024 * 1024;

/// The watch is of no further use; why, for the log.
type Broken = &'static str;

struct Watch {
    stream: TcpStream,
    inbox: Ring,
    outbox: Ring,
    answer: Answer,
    lines: Lines,
    /// Whether any news, or word that there is none, has come over it.
    told: bool,
    heard: f64,
}

impl Watch {
    /// Reads and writes as far as it goes; the lines that are whole.
    fn turn(&mut self, lines: &mut Vec<Vec<u8>>) -> Result<(), Broken> {
        if self.stream.peer_addr().is_err() {
            return match self.stream.take_error() {
                Ok(None) => Ok(()),
                _ => Err("no connection"),
            };
        }
        self.outbox.drain(&mut self.stream).map_err(|_| "the connection broke")?;
        loop {
            let fill = self.inbox.fill(&mut self.stream).map_err(|_| "the connection broke")?;
            let before = self.inbox.len();
            self.understand(lines)?;
            match fill {
                Fill::Ended => return Err("the watch ended"),
                Fill::Drained => return Ok(()),
                Fill::Full if self.inbox.len() == before => return Err("an answer too long"),
                Fill::Full => {}
            }
        }
    }

    /// Takes what is there of the answer.
    fn understand(&mut self, lines: &mut Vec<Vec<u8>>) -> Result<(), Broken> {
        while let Some(piece) = self.answer.next(&mut self.inbox).map_err(Fault::words)? {
            match piece {
                Piece::Head(Head { status: 200, chunked: true, .. }) => {}
                Piece::Head(_) => return Err("the call was turned down"),
                Piece::Body(bytes) => {
                    self.lines.push(&bytes).map_err(|_| "a line too long")?;
                    while let Some(line) = self.lines.take() {
                        lines.push(line);
                    }
                }
                Piece::End => return Err("the watch ended"),
            }
        }
        Ok(())
    }
}

/// The watch on the list, and how far it has come.
pub(crate) struct Discovery {
    address: SocketAddr,
    watches: Slots<Watch>,
    current: Option<Slot>,
    budget: Budget,
    index: u64,
    /// Where the list is pushed: how long after a failure the agent is asked again (seconds). None where the
    /// decisions say when to ask.
    follow: Option<f64>,
    /// What is wrong at present; logged when it changes, not with each call that fails.
    trouble: Option<Broken>,
}

impl Discovery {
    /// Holds the list of that index, and no watch yet.
    pub fn new(address: SocketAddr, index: u64, follow: Option<f64>, budget: Budget) -> Discovery {
        Discovery { address, watches: Slots::new(), current: None, budget, index, follow, trouble: None }
    }

    /// Where the list is pushed, sees to it that there is a watch: nobody else will ask for one.
    pub fn follow(&mut self, context: &mut Context) {
        if self.follow.is_some() && self.current.is_none() {
            self.listen(context);
        }
    }

    fn silence(&self) -> f64 {
        if self.follow.is_some() {
            SILENCE_OF_AGENT
        } else {
            SILENCE
        }
    }

    /// The version of the list that is held.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn index(&self) -> u64 {
        self.index
    }

    /// Watches the list at another address from now on; the watch that is open there is left as it is.
    pub fn move_to(&mut self, address: SocketAddr, context: &mut Context) {
        if std::mem::replace(&mut self.address, address) != address {
            // The versions of one service mean nothing to another: the whole list is asked for.
            self.index = 0;
            self.listen(context);
        }
    }

    /// Watches no more.
    pub fn stop(&mut self) {
        if let Some(slot) = self.current.take() {
            self.watches.remove(slot);
        }
    }

    /// Opens the watch and asks for the whole list.
    pub fn listen_afresh(&mut self, context: &mut Context) {
        self.index = 0;
        self.listen(context);
    }

    /// Opens the watch from the list held, in place of one that may still be there.
    pub fn listen(&mut self, context: &mut Context) {
        if let Some(slot) = self.current.take() {
            self.watches.remove(slot);
        }
        let Ok(stream) = TcpStream::connect(self.address) else {
            return self.failed("no connection", context);
        };
        let (mut outbox, heard) = (Ring::new(&self.budget), context.reactor.now());
        let (index, host) = (self.index, self.address);
        let target = format!("{PATH}?follow=1&since={index}");
        let asked = Request { method: "GET", target: &target, host: &host.to_string(), ..Request::default() };
        let pushed = outbox.push(&asked.bytes());
        let (inbox, lines, answer) = (Ring::new(&self.budget), Lines::new(LONGEST_LINE), Answer::default());
        let watch = Watch { stream, inbox, outbox, answer, lines, told: false, heard };
        let slot = self.watches.insert(watch);
        self.current = Some(slot);
        let Some(watch) = self.watches.get_mut(slot) else { return };
        let (token, both) = (Source::Discovery(slot).into(), Interest::READABLE | Interest::WRITABLE);
        let registered = context.reactor.registry.register(&mut watch.stream, token, both);
        if pushed.is_err() || registered.is_err() {
            return self.failed("no connection", context);
        }
        context.reactor.timer(heard + self.silence(), Due::Discovery(slot));
    }

    fn failed(&mut self, why: Broken, context: &mut Context) {
        if let Some(slot) = self.current.take() {
            self.watches.remove(slot);
        }
        if self.trouble.replace(why) != Some(why) {
            logging::warn!(event = "discovery.lost", "discovery: {why}");
        }
        if let Some(wait) = self.follow {
            context.reactor.timer(context.reactor.now() + wait, Due::Follow);
        }
        context.events.push_back(Event::Members(ListKind::Failed, Vec::new()));
    }

    /// The watch may be read from or written to.
    pub fn ready(&mut self, slot: Slot, context: &mut Context) {
        let Some(watch) = self.watches.get_mut(slot) else { return };
        let mut lines = Vec::new();
        let mut result = watch.turn(&mut lines);
        if !lines.is_empty() {
            watch.heard = context.reactor.now();
        }
        for line in lines {
            self.trouble = None;
            let Ok(text) = std::str::from_utf8(&line) else {
                result = Err("a line that is not text");
                break;
            };
            if text.trim().is_empty() {
                // Nothing has changed since the list held: that, too, answers the call.
                if !std::mem::replace(&mut watch.told, true) {
                    context.events.push_back(Event::Members(ListKind::Incremental, Vec::new()));
                }
                continue;
            }
            let Some(news) = listing::parse(text) else {
                result = Err("a line that is no list");
                break;
            };
            (watch.told, self.index) = (true, news.index);
            let kind = if news.whole { ListKind::Full } else { ListKind::Incremental };
            context.events.push_back(Event::Members(kind, news.listings));
        }
        if let Err(why) = result {
            self.failed(why, context);
        }
    }

    /// Looks whether the watch has been silent for too long: one that is cut off would stay open for ever.
    pub fn due(&mut self, slot: Slot, context: &mut Context) {
        let silence = self.silence();
        let Some(watch) = self.watches.get_mut(slot) else { return };
        let until = watch.heard + silence;
        if context.reactor.now() >= until {
            self.failed("silent", context);
        } else {
            context.reactor.timer(until, Due::Discovery(slot));
        }
    }
}
