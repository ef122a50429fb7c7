//! A client's connection: reads commands off it, keeps what it owes in order, and writes the replies.

use std::io::ErrorKind;
use std::net::Shutdown;

use buffer::{Budget, Fill, Overflow, Ring};
use exchange::Answer;
use mio::net::TcpStream;
use pgwire::{sqlstate, ClientQuery, FrameError, Message, Startup};

use super::pipeline::{AfterReply, CommandNumber, Pipeline};
use crate::net::event_loop::{Slot, TimerKind};
use crate::net::{Context, Event};

/// How long a connection that is ended from here is still read from, what comes being thrown away (seconds): a lingering close,
/// for a client that is told something, ...
const LINGER: f64 = 1.0;
/// ... and for one at rest, which is to see the end. Guards what was written last against the reset that a close over
/// unread bytes would be.
const LINGER_IDLE: f64 = 0.3;
/// Pause between two buffers that are thrown away on one that lingers (seconds): some 8 MiB a second.
const DISCARD: f64 = 0.02;
/// How long a client may take to ask for the first time, to complete a message that it has begun, and to read
/// what it is told (seconds). Guards against those who come to hold a place.
const PROMPT: f64 = 2.0;
/// Most messages taken off a connection before the others have their turn. Guards against a client that sends
/// faster than it can be told that it sends rubbish.
const TURN: usize = 32;
/// What a command takes of the memory for buffers beside its statement, for what is remembered of it until its end (bytes). Guards
/// against many small commands that are sent ahead on many connections.
const COMMAND_MEMORY: usize = 1024;

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The client's first message has not come yet.
    Startup,
    /// Commands are taken.
    Open,
    /// The end: what comes is thrown away, what was written is still sent.
    Ending,
}

/// The connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Its client has ended it, or does not read.
    Peer,
    /// It is ended from here.
    Local,
}

impl From<Overflow> for CloseReason {
    fn from(_: Overflow) -> CloseReason {
        CloseReason::Local
    }
}

/// A client's connection.
pub(super) struct Connection {
    pub stream: TcpStream,
    inbox: Ring,
    outbox: Ring,
    stage: Stage,
    /// The commands that have come and are owed a reply.
    pipeline: Pipeline,
    /// After an error in the extended protocol everything up to Sync is passed over.
    skipping: bool,
    /// Whether it has asked anything that could be carried out.
    asked: bool,
    /// There may be more to read, which no event will announce.
    more: bool,
    /// The client has ended its sending: what is unread of it is all that comes.
    pub half_closed: bool,
    /// The sending has been ended from here, and how long the connection lingers.
    shut: bool,
    ends_at: f64,
    /// By this, together with its place, it may ask on another connection for its requests to be cancelled.
    secret: u32,
    /// When it was last heard of.
    pub active: f64,
    /// Since when something has been due from the client: a first query, the rest of a message, or that it
    /// reads.
    owing: Option<f64>,
}

impl Connection {
    /// A connection that has just been accepted.
    pub fn new(stream: TcpStream, budget: &Budget, secret: u32, now: f64) -> Connection {
        Connection {
            stream,
            inbox: Ring::new(budget),
            outbox: Ring::new(budget),
            stage: Stage::Startup,
            pipeline: Pipeline::default(),
            skipping: false,
            asked: false,
            more: false,
            half_closed: false,
            shut: false,
            ends_at: f64::INFINITY,
            secret,
            active: now,
            owing: None,
        }
    }

    /// Reads, understands and writes as far as it goes without waiting.
    pub fn process(&mut self, slot: Slot, serving: bool, context: &mut Context) -> Result<(), CloseReason> {
        self.active = context.reactor.now();
        self.more = false;
        self.turn_once(slot, serving, context)?;
        // Its end may lie behind more unread bytes than a buffer holds: nothing more is begun for a client that has gone.
        if self.half_closed && self.pipeline.is_waiting() {
            return Err(CloseReason::Peer);
        }
        Ok(())
    }

    fn turn_once(&mut self, slot: Slot, serving: bool, context: &mut Context) -> Result<(), CloseReason> {
        while self.stage != Stage::Ending {
            let fill = self.inbox.fill(&mut self.stream).map_err(|_| CloseReason::Peer)?;
            if fill == Fill::Ended {
                return Err(CloseReason::Peer);
            }
            let before = self.inbox.len();
            self.understand(slot, serving, context)?;
            if self.more {
                context.reactor.set_timer(self.active, TimerKind::Client(slot));
                return Ok(());
            }
            // The event is edge-triggered: what a full buffer left in the socket must be read now that there
            // is room, since nothing will announce it again.
            if fill == Fill::Drained {
                return Ok(());
            }
            if self.inbox.len() == before {
                // A message whose rest will never fit must not hold its memory and its client for ever. While replies are
                // owed, the next of them looks again.
                let stuck = self.stage != Stage::Ending && self.pipeline.is_empty() && self.outbox.is_empty();
                return if stuck {
                    self.fatal(sqlstate::OUT_OF_MEMORY, "no memory", slot, context)
                } else {
                    Ok(())
                };
            }
        }
        self.discard(slot, context)
    }

    /// Throws away what comes on a connection that lingers, a buffer at a time with a pause between: guards the loop against a
    /// sender that does not stop.
    fn discard(&mut self, slot: Slot, context: &mut Context) -> Result<(), CloseReason> {
        self.flush()?;
        let fill = self.inbox.fill(&mut self.stream).map_err(|_| CloseReason::Peer)?;
        if fill == Fill::Ended {
            return Err(CloseReason::Peer);
        }
        self.inbox.skip(self.inbox.len());
        if fill == Fill::Full {
            self.more = true;
            context.reactor.set_timer(self.active + DISCARD, TimerKind::Client(slot));
        }
        Ok(())
    }

    /// Takes message by message. The next is looked at only when the replies so far are written: a client
    /// that sends and does not read gets no further than its buffers.
    fn understand(&mut self, slot: Slot, serving: bool, context: &mut Context) -> Result<(), CloseReason> {
        for _ in 0..TURN {
            if !self.deliver(slot, context)? || !self.pipeline.takes_commands() {
                return Ok(());
            }
            let taken = match self.stage {
                Stage::Startup => self.take_startup(slot, context)?,
                Stage::Open => self.take_message(slot, serving, context)?,
                Stage::Ending => return Ok(()),
            };
            match taken {
                // Guards against one that holds its place by messages that ask for nothing: until it has asked its time runs on.
                Ok(true) if self.asked => self.owing = None,
                Ok(true) => {}
                Ok(false) => return Ok(()),
                Err(FrameError::Malformed) => {
                    self.fatal(sqlstate::PROTOCOL_VIOLATION, "malformed message", slot, context)?;
                }
                Err(FrameError::TooLong) => {
                    self.fatal(sqlstate::PROGRAM_LIMIT_EXCEEDED, "message too long", slot, context)?;
                }
            }
        }
        self.more = true;
        Ok(())
    }

    /// Takes the client's first message; false while it is not there in full.
    fn take_startup(
        &mut self,
        slot: Slot,
        context: &mut Context,
    ) -> Result<Result<bool, FrameError>, CloseReason> {
        match pgwire::read_startup(&mut self.inbox) {
            Ok(Some(first)) => self.startup(first, slot, context).map(|()| Ok(true)),
            Ok(None) => Ok(Ok(false)),
            Err(fault) => Ok(Err(fault)),
        }
    }

    /// Takes the next message; false while it is not there in full.
    fn take_message(
        &mut self,
        slot: Slot,
        serving: bool,
        context: &mut Context,
    ) -> Result<Result<bool, FrameError>, CloseReason> {
        match pgwire::read_message(&mut self.inbox) {
            Ok(Some(message)) => self.message(message, slot, serving, context).map(|()| Ok(true)),
            Ok(None) => Ok(Ok(false)),
            Err(fault) => Ok(Err(fault)),
        }
    }

    /// Writes the replies that are known, in the order of their commands; true when all that could be was written.
    fn deliver(&mut self, slot: Slot, context: &mut Context) -> Result<bool, CloseReason> {
        loop {
            // One reply at a time: each has the whole of the buffer to itself.
            if !self.flush()? {
                return Ok(false);
            }
            let Some(reply) = self.pipeline.next_reply() else { return Ok(true) };
            // Guards an answer that is owed against short memory: the client is told at least that it failed.
            if self.outbox.push_over_budget(&reply.bytes).is_err() {
                self.outbox.push_over_budget(&error(
                    sqlstate::SYSTEM_ERROR,
                    "no memory for the answer: it may have run",
                    None,
                ))?;
            }
            match reply.afterwards {
                AfterReply::Continue => {}
                AfterReply::Linger => self.end(slot, LINGER, context),
                AfterReply::Close => return Err(CloseReason::Peer),
            }
        }
    }

    /// Whether the connection lingers.
    pub fn is_ending(&self) -> bool {
        self.stage == Stage::Ending
    }

    /// Whether the connection has lingered for as long as it may.
    pub fn linger_expired(&self, now: f64) -> bool {
        now >= self.ends_at
    }

    /// Whether it is between requests, with nothing on its way from here.
    pub fn is_idle(&self) -> bool {
        self.is_quiet() && self.inbox.is_empty() && self.outbox.is_empty()
    }

    /// Whether no reply is owed and its end has not begun.
    fn is_quiet(&self) -> bool {
        self.stage != Stage::Ending && self.pipeline.is_empty()
    }

    /// Whether no request of it is being carried out.
    pub fn is_free(&self) -> bool {
        !self.pipeline.is_running()
    }

    /// Whether it is to end where all are to end: nothing is owed on it, and no message has begun. Guards a message of which a
    /// part has been read here already.
    pub fn can_close(&self) -> bool {
        self.is_quiet() && (self.stage == Stage::Startup || self.inbox.is_empty())
    }

    /// Whether it has asked something, is at rest, and has been for so long (seconds).
    pub fn idle_longer_than(&self, now: f64, rest: f64) -> bool {
        self.asked && self.is_idle() && now >= self.active + rest
    }

    /// Whether the client has ended it, though that may not have been read yet. What it sent before its end hides the end.
    pub fn has_left(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Whether the connection may be cancelled by this secret.
    pub fn has_secret(&self, secret: u32) -> bool {
        self.secret == secret
    }

    /// Whether there may be more to read, which no event will announce.
    pub fn has_unread(&self) -> bool {
        self.more
    }

    /// Whether something is due from the client.
    fn owes(&self) -> bool {
        match self.stage {
            Stage::Startup => true,
            Stage::Open => {
                let unasked = !self.asked && self.pipeline.is_empty();
                let unfinished = !self.inbox.is_empty() && self.pipeline.takes_commands();
                unasked || unfinished || !self.outbox.is_empty()
            }
            Stage::Ending => false,
        }
    }

    /// Looks whether something is due from the client, and has that looked at again when its time is up.
    pub fn update_timeout(&mut self, slot: Slot, context: &mut Context) {
        if !self.owes() {
            self.owing = None;
        } else if self.owing.is_none() {
            self.owing = Some(self.active);
            context.reactor.set_timer(self.active + PROMPT, TimerKind::Client(slot));
        }
    }

    /// Whether what is due from the client is overdue.
    pub fn is_overdue(&self, now: f64) -> bool {
        self.owing.is_some_and(|since| now >= since + PROMPT)
    }

    /// Ends a connection whose client has not sent or read in time. A message that does not end is answered; one that was never
    /// begun is not, since the end of a connection is no answer to a request that crosses it.
    pub fn end_overdue(
        &mut self,
        slot: Slot,
        serving: bool,
        context: &mut Context,
    ) -> Result<(), CloseReason> {
        context.counters.clients_timed_out += 1;
        if !self.outbox.is_empty() {
            return Err(CloseReason::Peer);
        }
        if self.inbox.is_empty() {
            return self.linger(slot, serving, context);
        }
        self.fatal(sqlstate::PROTOCOL_VIOLATION, "message not completed in time", slot, context)?;
        self.process(slot, serving, context)
    }

    fn startup(&mut self, first: Startup, slot: Slot, context: &mut Context) -> Result<(), CloseReason> {
        match first {
            Startup::Encryption => self.outbox.push(b"N")?,
            Startup::Session => {
                self.outbox
                    .push_over_budget(&pgwire::startup_response((slot.number() as u32, self.secret)))?;
                self.stage = Stage::Open;
            }
            Startup::Cancel(key) => {
                context.events.push_back(Event::CancelRequested(key));
                return Err(CloseReason::Peer);
            }
            Startup::Unknown => {
                self.fatal(sqlstate::FEATURE_NOT_SUPPORTED, "unknown protocol", slot, context)?
            }
        }
        Ok(())
    }

    fn message(
        &mut self,
        message: Message,
        slot: Slot,
        serving: bool,
        context: &mut Context,
    ) -> Result<(), CloseReason> {
        match message.kind {
            b'X' => self.pipeline.reply_last(Vec::new(), AfterReply::Close),
            b'S' => {
                self.skipping = false;
                self.pipeline.reply(pgwire::ready_for_query());
            }
            _ if self.skipping => {}
            b'Q' => self.query(&message.body, slot, serving, context),
            b'P' | b'B' | b'D' | b'E' | b'C' => {
                self.skipping = true;
                let what = "only simple queries are served";
                self.pipeline.reply(pgwire::error_response(
                    "ERROR",
                    sqlstate::FEATURE_NOT_SUPPORTED,
                    what,
                    None,
                ));
            }
            b'F' => self.pipeline.reply(error(
                sqlstate::FEATURE_NOT_SUPPORTED,
                "function calls are not served",
                None,
            )),
            // Flush asks for nothing here; the rest belongs to exchanges that are over or were never begun.
            b'H' | b'p' | b'd' | b'c' | b'f' => {}
            _ => self.fatal(sqlstate::PROTOCOL_VIOLATION, "unknown message", slot, context)?,
        }
        Ok(())
    }

    fn query(&mut self, body: &[u8], slot: Slot, serving: bool, context: &mut Context) {
        match pgwire::parse_client_query(body) {
            Ok(ClientQuery::Empty) if serving => {
                self.asked = true;
                self.pipeline.reply(empty());
            }
            Ok(ClientQuery::Empty) => self.pipeline.begin_unready(),
            Ok(ClientQuery::Query(mut query)) => {
                // Guards against many statements that are each within their bound and together are not.
                let Ok(charge) = self.inbox.charge(query.statement.len() + COMMAND_MEMORY) else {
                    context.counters.refused += 1;
                    return self.pipeline.reply(error(sqlstate::TOO_MANY_CONNECTIONS, "no memory", None));
                };
                query.statement.set_charge(charge);
                self.asked = true;
                context.counters.pipelined += u64::from(!self.pipeline.is_empty());
                context.events.push_back(Event::QueryReceived(slot, self.pipeline.begin(), query));
            }
            Err(what) => {
                context.counters.malformed += 1;
                self.pipeline.reply(error(sqlstate::SYNTAX_ERROR, what, None));
            }
        }
    }

    /// Says what is wrong, behind the replies that are owed, and ends the connection once that is read.
    fn fatal(
        &mut self,
        code: &str,
        what: &str,
        slot: Slot,
        context: &mut Context,
    ) -> Result<(), CloseReason> {
        context.counters.malformed += 1;
        self.pipeline.reply_last(pgwire::error_response("FATAL", code, what, None), AfterReply::Linger);
        self.deliver(slot, context).map(|_| ())
    }

    /// From now on the client is only given the time to read what it was told, and to see that this is all: nothing that comes
    /// is taken up any more.
    fn end(&mut self, slot: Slot, within: f64, context: &mut Context) {
        (self.stage, self.ends_at) = (Stage::Ending, context.reactor.now() + within);
        context.reactor.set_timer(self.ends_at, TimerKind::Client(slot));
    }

    /// Ends a connection on which nothing is owed.
    pub fn linger(&mut self, slot: Slot, serving: bool, context: &mut Context) -> Result<(), CloseReason> {
        let within = if self.outbox.is_empty() { LINGER_IDLE } else { LINGER };
        self.end(slot, within, context);
        self.process(slot, serving, context)
    }

    /// Writes what there is to write; true when all is written.
    fn flush(&mut self) -> Result<bool, CloseReason> {
        let before = self.outbox.len();
        let written = self.outbox.drain(&mut self.stream).map_err(|_| CloseReason::Peer)?;
        if !written && self.outbox.len() < before && self.stage != Stage::Ending {
            // Who reads slowly reads all the same: its time starts anew.
            self.owing = None;
        }
        // Once: each further time wakes the loop for this very connection again, without end.
        if written && self.stage == Stage::Ending && !std::mem::replace(&mut self.shut, true) {
            // Ends the sending only: closing with input unread would reset the connection, and the client
            // might lose the message that says why.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        Ok(written)
    }

    /// The final answer to a command that is being carried out; false where it is not.
    pub fn answer(&mut self, number: CommandNumber, answer: Answer) -> bool {
        let bytes = reply(answer);
        if self.pipeline.is_first(number) {
            return self.pipeline.finish(number, bytes, None);
        }
        // It waits for others. Guards against many answers that are each within their bound and together are not.
        match self.inbox.charge(bytes.len()) {
            Ok(charge) => self.pipeline.finish(number, bytes, Some(charge)),
            Err(Overflow) => {
                let bytes = error(sqlstate::SYSTEM_ERROR, "no memory for the answer: it may have run", None);
                self.pipeline.finish(number, bytes, None)
            }
        }
    }

    /// Tells the client that all its commands that were being carried out are cancelled.
    pub fn finish_cancelled(&mut self) {
        self.pipeline.finish_running(&error(sqlstate::QUERY_CANCELED, "cancelled on request", None));
    }

    /// Whether an empty query waits until the pooler can serve.
    pub fn is_unready(&self) -> bool {
        self.pipeline.is_unready()
    }

    /// The pooler can serve from now on.
    pub fn answer_unready(&mut self) {
        self.asked = true;
        self.pipeline.finish_unready(&empty());
    }
}

/// The reply to an empty query.
fn empty() -> Vec<u8> {
    [pgwire::empty_response(), pgwire::ready_for_query()].concat()
}

/// The reply to a command that has failed.
fn error(code: &str, what: &str, detail: Option<&str>) -> Vec<u8> {
    [pgwire::error_response("ERROR", code, what, detail), pgwire::ready_for_query()].concat()
}

/// The reply that a final answer is.
fn reply(answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Served(mut value) => {
            value.extend(pgwire::ready_for_query());
            value
        }
        Answer::Refused(backoff) => {
            let millis = Some((backoff * 1000.0).ceil()).filter(|millis| *millis > 0.0);
            let detail = millis.map(|millis| (millis as u64).to_string());
            error(sqlstate::TOO_MANY_CONNECTIONS, "refused: try again later", detail.as_deref())
        }
        Answer::Failed => error(sqlstate::SYSTEM_ERROR, "failed: it may have run", None),
        Answer::Invalid(what) => error(sqlstate::INVALID_PARAMETER_VALUE, what, None),
    }
}
