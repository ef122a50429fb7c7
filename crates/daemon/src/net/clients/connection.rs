//! A client's connection: reads commands, keeps the pending replies in order, and writes them.

mod commands;
mod replies;
mod time_limits;

use std::io::ErrorKind;
use std::net::Shutdown;

use buffer::{Budget, Fill, Overflow, Ring};
use exchange::Answer;
use mio::net::TcpStream;
use pgwire::{sqlstate, FrameError};

use super::pipeline::{AfterReply, CommandNumber, Pipeline};
use super::request_rate::RequestRate;
use crate::net::event_loop::{EarliestTimer, Slot, Source};
use crate::net::Context;
use replies::{empty, ending, error, reply};

/// How long a connection that the pooler closes is still read from, discarding the data (seconds): a
/// lingering close, for a client that is sent a message.
const LINGER_TIMEOUT: f64 = 1.0;
/// The same for an idle connection (seconds), whose client has to see the end. Closing over unread bytes
/// would reset the connection, and the client could lose the last reply.
const IDLE_LINGER_TIMEOUT: f64 = 0.3;
/// Delay between two buffers that are discarded on a lingering connection (seconds): some 8 MiB a second.
const DISCARD_INTERVAL: f64 = 0.02;
/// Maximum number of messages taken off a connection before the requests among them are carried out. A client
/// that has sent more goes on in its next turn.
const MAX_MESSAGES_PER_STEP: usize = 8;
/// After this many bytes no further message is taken in a step, since long ones take longer to parse (bytes).
const MAX_BYTES_PER_STEP: usize = 8 * 1024;
/// A buffer with fewer bytes than this is filled again before its messages run out (bytes).
const REFILL_BYTES: usize = 16 * 1024;
/// Short replies are collected up to this size, and written together (bytes). A buffer has this size anyway.
const COLLECTED_REPLY_BYTES: usize = 1024;

/// The stage of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The client's first message has not arrived yet.
    Startup,
    /// Commands are read.
    Open,
    /// Received data is discarded, and data already written is still sent.
    Ending,
}

/// Why a connection has to be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client has closed it, or does not read.
    Peer,
    /// The pooler closes it.
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
    /// Commands that have been read and have a pending reply.
    pipeline: Pipeline,
    /// How many requests the client sends.
    request_rate: RequestRate,
    /// After an error in the extended protocol all messages up to Sync are skipped.
    skipping: bool,
    /// True once the client has sent a query that could be carried out.
    has_queried: bool,
    /// The socket may have more data, which no event will announce.
    unread_data: bool,
    /// The buffer may hold another complete message.
    unprocessed: bool,
    /// No memory is left for the rest of a message: tried again once a reply is given.
    stalled: bool,
    /// When the socket was last read.
    read_at: f64,
    /// The client has closed its sending side: no more data arrives.
    pub half_closed: bool,
    /// The pooler has closed its sending side; and until when the connection lingers.
    send_closed: bool,
    ends_at: f64,
    /// The connection ends once what has been read is answered; a message that has begun must be complete then.
    drain_until: Option<f64>,
    /// While the connection lingers: nothing is read before then.
    discard_at: f64,
    timer: EarliestTimer,
    /// Together with the connection's number, the key with which its requests can be cancelled on another
    /// connection.
    secret: u32,
    /// When the connection was last active.
    pub active: f64,
    /// Since when the client has to act: to send a first query, to complete a message, or to read.
    waiting_since: Option<f64>,
}

impl Connection {
    pub fn new(stream: TcpStream, budget: &Budget, secret: u32, now: f64) -> Connection {
        Connection {
            stream,
            inbox: Ring::new(budget),
            outbox: Ring::new(budget),
            stage: Stage::Startup,
            pipeline: Pipeline::default(),
            request_rate: RequestRate::default(),
            skipping: false,
            has_queried: false,
            unread_data: true,
            unprocessed: false,
            stalled: false,
            read_at: now,
            half_closed: false,
            send_closed: false,
            ends_at: f64::INFINITY,
            drain_until: None,
            discard_at: f64::NEG_INFINITY,
            timer: EarliestTimer::default(),
            secret,
            active: now,
            waiting_since: None,
        }
    }

    /// Reads what has arrived for the last time, and from then on only the rest of a message that has begun, until
    /// `finish_by`. Guards the shutdown against a client that never pauses.
    pub fn drain(
        &mut self,
        slot: Slot,
        serving: bool,
        finish_by: f64,
        context: &mut Context,
    ) -> Result<(), CloseReason> {
        self.active = context.reactor.now();
        if self.stage != Stage::Ending {
            self.fill()?;
        }
        self.drain_until = Some(finish_by);
        self.pipeline.finish_unready(&ending());
        self.process(slot, serving, context)
    }

    /// Notes that an event has announced data, or that the client is to be looked at.
    pub fn note_readable(&mut self) {
        self.unread_data = true;
    }

    /// Takes a step: reads, processes some of the messages that have arrived, and writes. Gets another turn if
    /// there is more to do.
    pub fn process(&mut self, slot: Slot, serving: bool, context: &mut Context) -> Result<(), CloseReason> {
        self.active = context.reactor.now();
        self.stalled = false;
        self.read_and_process(slot, serving, context)?;
        self.end_turn(slot, context)
    }

    /// Writes the replies that are available.
    pub fn write(&mut self, slot: Slot, context: &mut Context) -> Result<(), CloseReason> {
        self.active = context.reactor.now();
        self.stalled = false;
        self.deliver(context)?;
        if self.stage == Stage::Ending {
            self.discard()?;
        }
        self.end_turn(slot, context)
    }

    fn end_turn(&mut self, slot: Slot, context: &mut Context) -> Result<(), CloseReason> {
        // The end of the data may lie behind more unread bytes than a buffer stores: no more commands are
        // begun for a client that has left.
        if self.half_closed && self.pipeline.is_waiting() {
            return Err(CloseReason::Peer);
        }
        if self.can_continue() {
            context.reactor.continue_later(Source::Client(slot));
        }
        Ok(())
    }

    fn read_and_process(
        &mut self,
        slot: Slot,
        serving: bool,
        context: &mut Context,
    ) -> Result<(), CloseReason> {
        let refills = self.stage != Stage::Ending && self.drain_until.is_none();
        // With all its commands under way the client's end is looked for behind what it has sent.
        let short = self.inbox.len() < REFILL_BYTES || !self.pipeline.takes_commands();
        if refills && self.unread_data && short {
            self.fill()?;
        }
        self.process_messages(slot, serving, context)?;
        if self.stage != Stage::Ending && self.unread_data && !self.unprocessed {
            self.read_rest(context)?;
        }
        if self.stage == Stage::Ending {
            return self.discard();
        }
        Ok(())
    }

    /// Reads more of a message that is incomplete.
    fn read_rest(&mut self, context: &mut Context) -> Result<(), CloseReason> {
        let before = self.inbox.len();
        let fill = self.fill()?;
        self.unprocessed = self.inbox.len() > before;
        if fill != Fill::Full || self.unprocessed {
            return Ok(());
        }
        // A message whose rest never fits must not occupy its memory and its connection forever.
        self.stalled = true;
        if self.pipeline.is_empty() && self.outbox.is_empty() {
            self.fatal(sqlstate::OUT_OF_MEMORY, "no memory", context)?;
        }
        Ok(())
    }

    /// Reads what has arrived, as far as the buffer has room; while the connection is drained only what its
    /// incomplete message needs.
    fn fill(&mut self) -> Result<Fill, CloseReason> {
        let wanted = match self.drain_until {
            Some(_) if self.stage != Stage::Ending => self.missing_message_bytes(),
            _ => usize::MAX,
        };
        self.read_at = self.active;
        let fill = self.inbox.fill_up_to(&mut self.stream, wanted).map_err(|_| CloseReason::Peer)?;
        self.unread_data = fill == Fill::Full;
        if fill == Fill::Ended {
            return Err(CloseReason::Peer);
        }
        Ok(fill)
    }

    /// Returns how many bytes the message that has begun needs, or its header; 0 if none has begun.
    fn missing_message_bytes(&self) -> usize {
        if self.inbox.is_empty() {
            return 0;
        }
        let length = match self.stage {
            Stage::Startup => pgwire::startup_length(&self.inbox),
            _ => pgwire::message_length(&self.inbox),
        };
        length.saturating_sub(self.inbox.len())
    }

    /// Returns true if the next turn can make progress without an event of the socket.
    fn can_continue(&self) -> bool {
        self.stage != Stage::Ending
            && (self.unread_data || self.unprocessed)
            && !self.stalled
            && self.pipeline.takes_commands()
            && self.outbox.is_empty()
    }

    /// Discards the data of a lingering connection, one buffer at a time with a delay between. Guards the
    /// event loop against a client that sends without end.
    fn discard(&mut self) -> Result<(), CloseReason> {
        if self.flush()? {
            self.outbox.clear();
        }
        if self.active < self.discard_at {
            return Ok(());
        }
        self.inbox.clear();
        let fill = self.fill()?;
        self.inbox.clear();
        if fill == Fill::Full {
            self.discard_at = self.active + DISCARD_INTERVAL;
        }
        Ok(())
    }

    /// Processes some of the messages that have arrived, and writes the replies that are available. A client
    /// that sends without reading gets no further than its buffers.
    fn process_messages(
        &mut self,
        slot: Slot,
        serving: bool,
        context: &mut Context,
    ) -> Result<(), CloseReason> {
        self.unprocessed = true;
        if !self.deliver(context)? {
            return Ok(());
        }
        let before = self.inbox.len();
        for _ in 0..MAX_MESSAGES_PER_STEP {
            let enough = before - self.inbox.len() >= MAX_BYTES_PER_STEP;
            if enough || !self.pipeline.takes_commands() || !self.take_next(slot, serving, context)? {
                break;
            }
        }
        self.deliver(context).map(|_| ())
    }

    /// Takes the next message and begins what it asks for; returns false if there is none.
    fn take_next(&mut self, slot: Slot, serving: bool, context: &mut Context) -> Result<bool, CloseReason> {
        let result = match self.stage {
            Stage::Startup => self.take_startup(slot, context)?,
            Stage::Open => self.take_message(slot, serving, context)?,
            Stage::Ending => return Ok(false),
        };
        match result {
            // The time limit for a first query continues until there is one: messages without a query must
            // not hold a connection open.
            Ok(true) if self.has_queried => self.waiting_since = None,
            Ok(true) => {}
            Ok(false) => {
                self.unprocessed = false;
                return Ok(false);
            }
            Err(FrameError::Malformed) => {
                self.fatal(sqlstate::PROTOCOL_VIOLATION, "malformed message", context)?;
            }
            Err(FrameError::TooLong) => {
                self.fatal(sqlstate::PROGRAM_LIMIT_EXCEEDED, "message too long", context)?;
            }
        }
        Ok(true)
    }

    /// Reads the client's first message; returns false while it is incomplete.
    fn take_startup(
        &mut self,
        slot: Slot,
        context: &mut Context,
    ) -> Result<Result<bool, FrameError>, CloseReason> {
        match pgwire::read_startup(&mut self.inbox) {
            Ok(Some(first)) => self.startup(first, slot, context).map(|()| Ok(true)),
            Ok(None) => Ok(Ok(false)),
            Err(error) => Ok(Err(error)),
        }
    }

    /// Reads the next message; returns false while it is incomplete.
    fn take_message(
        &mut self,
        slot: Slot,
        serving: bool,
        context: &mut Context,
    ) -> Result<Result<bool, FrameError>, CloseReason> {
        match pgwire::read_message(&mut self.inbox) {
            Ok(Some(message)) => self.message(message, slot, serving, context).map(|()| Ok(true)),
            Ok(None) => Ok(Ok(false)),
            Err(error) => Ok(Err(error)),
        }
    }

    /// Writes the available replies in the order of their commands; returns true if all of them were written.
    fn deliver(&mut self, context: &mut Context) -> Result<bool, CloseReason> {
        while let Some(length) = self.pipeline.next_reply_length() {
            // One long reply at a time: each may use the full buffer.
            let collected = self.outbox.len() + length <= COLLECTED_REPLY_BYTES;
            if !self.outbox.is_empty() && !collected && !self.flush()? {
                return Ok(false);
            }
            let Some(reply) = self.pipeline.next_reply() else { break };
            // If memory is short, the client at least receives an error.
            if self.outbox.push_over_budget(&reply.bytes).is_err() {
                self.outbox.push_over_budget(&error(
                    sqlstate::SYSTEM_ERROR,
                    "no memory for the answer: it may have run",
                    None,
                ))?;
            }
            match reply.after {
                AfterReply::Continue => {}
                AfterReply::Linger => self.end(LINGER_TIMEOUT, context),
                AfterReply::Close => {
                    self.flush()?;
                    return Err(CloseReason::Peer);
                }
            }
        }
        self.flush()
    }

    /// Returns true if the connection lingers.
    pub fn is_ending(&self) -> bool {
        self.stage == Stage::Ending
    }

    /// Returns true if the linger time is over.
    pub fn linger_expired(&self, now: f64) -> bool {
        now >= self.ends_at
    }

    /// Returns true if no reply is pending and no data is buffered in either direction.
    pub fn is_idle(&self) -> bool {
        self.is_quiet() && self.inbox.is_empty() && self.outbox.is_empty()
    }

    /// Returns true if the client has begun a message and not finished it, and waits for nothing.
    pub fn is_unfinished(&self) -> bool {
        self.is_quiet() && !self.inbox.is_empty() && !self.unprocessed && self.outbox.is_empty()
    }

    /// Returns since when the client has to act, or else when it was last active.
    pub fn must_act_since(&self) -> f64 {
        self.waiting_since.unwrap_or(self.active)
    }

    /// Returns true if no reply is pending and the connection does not linger.
    fn is_quiet(&self) -> bool {
        self.stage != Stage::Ending && self.pipeline.is_empty()
    }

    /// Returns true if none of its requests is being carried out.
    pub fn is_free(&self) -> bool {
        !self.pipeline.is_running()
    }

    /// Returns true if it can be closed when all connections are: no reply is pending, and no part of a
    /// message other than the startup message has been read. Guards a request of which a part has arrived
    /// already.
    pub fn can_close(&self) -> bool {
        self.is_quiet() && (self.stage == Stage::Startup || self.inbox.is_empty())
    }

    /// Returns the requests per second of late.
    pub fn request_rate(&self, now: f64) -> f64 {
        self.request_rate.per_second(now)
    }

    /// Returns true if the client has sent a query that could be carried out.
    pub fn has_queried(&self) -> bool {
        self.has_queried
    }

    /// Returns true if the client has sent a query, and the connection has been idle for `rest` seconds.
    pub fn idle_longer_than(&self, now: f64, timeout: f64) -> bool {
        self.has_queried && self.is_idle() && now >= self.active + timeout
    }

    /// Returns true if the client has closed the connection, even if that has not been read yet. Unread data
    /// before the end hides it, until an event tells of it.
    pub fn has_left(&self) -> bool {
        self.half_closed || self.end_has_arrived()
    }

    /// Returns true if the socket was read after `since`.
    pub fn was_read_after(&self, since: f64) -> bool {
        self.read_at >= since
    }

    fn end_has_arrived(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Returns true if this is the secret of the connection's cancel key.
    pub fn has_secret(&self, secret: u32) -> bool {
        self.secret == secret
    }

    /// Closes a connection whose client has not finished a message, with an error that permits a repeat.
    pub fn refuse_unfinished(
        &mut self,
        slot: Slot,
        serving: bool,
        context: &mut Context,
    ) -> Result<(), CloseReason> {
        self.fatal(sqlstate::TOO_MANY_CONNECTIONS, "too many clients: message not completed", context)?;
        self.process(slot, serving, context)
    }

    /// Sends a fatal error after the pending replies, and closes the connection once the client has read it.
    fn fatal(&mut self, code: &str, text: &str, context: &mut Context) -> Result<(), CloseReason> {
        context.counters.malformed += 1;
        self.pipeline.reply_last(pgwire::error_response("FATAL", code, text, None), AfterReply::Linger);
        self.deliver(context).map(|_| ())
    }

    /// Starts the lingering close: the client has time to read what it was sent and to see the end. Received
    /// data is discarded.
    fn end(&mut self, timeout: f64, context: &mut Context) {
        (self.stage, self.ends_at) = (Stage::Ending, context.reactor.now() + timeout);
    }

    /// Closes a connection that has no pending reply.
    pub fn linger(&mut self, slot: Slot, serving: bool, context: &mut Context) -> Result<(), CloseReason> {
        let timeout = if self.outbox.is_empty() { IDLE_LINGER_TIMEOUT } else { LINGER_TIMEOUT };
        self.end(timeout, context);
        self.process(slot, serving, context)
    }

    /// Writes the buffered data; returns true if all of it was written.
    fn flush(&mut self) -> Result<bool, CloseReason> {
        let before = self.outbox.len();
        let written = self.outbox.drain(&mut self.stream).map_err(|_| CloseReason::Peer)?;
        if !written && self.outbox.len() < before && self.stage != Stage::Ending {
            // A client that reads slowly still reads: its time limit starts anew.
            self.waiting_since = None;
        }
        // Only once: each further shutdown would wake the event loop for this connection again, without end.
        if written && self.stage == Stage::Ending && !std::mem::replace(&mut self.send_closed, true) {
            // Closes the sending side only: closing with unread input would reset the connection, and the
            // client could lose the message that gives the reason.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        Ok(written)
    }

    /// Gives the final answer to a command; returns false if the command is not being carried out.
    pub fn answer(&mut self, number: CommandNumber, answer: Answer) -> bool {
        let bytes = reply(answer);
        if self.pipeline.is_first(number) {
            return self.pipeline.finish(number, bytes, None);
        }
        // The reply waits for earlier ones. Guards against many answers that are each within the limit and
        // together exceed the memory.
        match self.inbox.charge(bytes.len()) {
            Ok(charge) => self.pipeline.finish(number, bytes, Some(charge)),
            Err(Overflow) => {
                let bytes = error(sqlstate::SYSTEM_ERROR, "no memory for the answer: it may have run", None);
                self.pipeline.finish(number, bytes, None)
            }
        }
    }

    /// Tells the client that all its running commands are cancelled.
    pub fn finish_cancelled(&mut self) {
        self.pipeline.finish_running(&error(sqlstate::QUERY_CANCELED, "cancelled on request", None));
    }

    /// Returns true if an empty query waits until the pooler can serve.
    pub fn is_unready(&self) -> bool {
        self.pipeline.is_unready()
    }

    /// The pooler can serve from now on: answers the waiting empty queries.
    pub fn answer_unready(&mut self) {
        self.has_queried = true;
        self.pipeline.finish_unready(&empty());
    }
}
