//! Connections to members, and the attempts and probes that are carried out over them.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;

use buffer::{Budget, Charge, Fill, Ring};
use listing::Listing;
use mio::net::TcpStream;
use mio::Interest;
use pgwire::{sqlstate, Message};
use routing::interface::{ListKind, MemberId, Outcome, Phase, Report, RequestId};

use super::event_loop::{EarliestTimer, Slot, Slots, Source, TimerKind};
use super::{Context, Event, ServerTask, TaskResult, WrittenAttempt};
use crate::counters::Counters;

const USER: &str = "app";
const DATABASE: &str = "shop";
const LOAD_QUERY: &[u8] = b"SHOW usage";
const POSITION_PARAMETER: &str = "commit_clock";
const ROLE_PARAMETER: &str = "server_role";
/// The name of the load report that comes with answers if the settings enable it.
const REPORT_PARAMETER: &str = "usage";
const ROLE_PRIMARY: &str = "writer";
const ROLE_REPLICA: &str = "reader";
/// The fields of a load report.
const REPORT_POSITION: &str = "x0";
const REPORT_PRIMARY: &str = "x1";

/// Maximum number of messages that are taken off a connection in a step.
const MAX_MESSAGES_PER_STEP: usize = 64;
/// Share of a member's own idle timeout after which an idle connection is closed: a request that is written
/// to a connection while the member closes it would end in a reset.
const KEEPALIVE_SHARE: f64 = 0.7;
/// Maximum number of idle connections to a member.
const MAX_IDLE_PER_MEMBER: usize = 48;
/// A member that was removed from the list is forgotten after this time (seconds), which is far longer than
/// any deadline.
const REMOVED_RETENTION: f64 = 60.0;

/// The stage of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    Starting,
    /// Ready for the request, which is written with the pooler's permission.
    Ready,
    Idle,
    Busy,
}

/// The task that is carried out over a connection.
struct Job {
    task: ServerTask,
    started_at: f64,
    deadline: f64,
    /// No part of the request is written from this time on.
    write_deadline: f64,
    /// When the connection was ready for the request (seconds).
    ready_at: f64,
    /// Whether the last byte of the request has been written, and reported.
    last_byte: LastByte,
}

/// The last byte of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastByte {
    Pending,
    Written,
    Reported,
}

/// How an attempt or a probe was begun.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Begun {
    /// This idle connection is ready for it.
    Ready(Slot),
    /// This connection is being opened for it.
    Connecting(Slot),
    /// It has ended: there was no connection to be had.
    Ended,
}

impl Begun {
    /// Returns the connection that carries the task.
    pub fn slot(self) -> Option<Slot> {
        match self {
            Begun::Ready(slot) | Begun::Connecting(slot) => Some(slot),
            Begun::Ended => None,
        }
    }
}

/// The parts of an answer that have been received.
#[derive(Default)]
struct Reply {
    value: Vec<u8>,
    described: bool,
    row: bool,
    complete: bool,
    code: Option<String>,
    position: Option<f64>,
    primary: Option<bool>,
    report: Option<Report>,
    /// A load report was received that cannot be parsed.
    malformed_report: bool,
}

impl Reply {
    /// Returns true if any part of an answer has been received: the member has received the request.
    fn has_begun(&self) -> bool {
        self.described || self.code.is_some()
    }

    /// Returns the outcome; `None` while it is open. An error code that states that nothing ran proves it
    /// only if no part of a row came with it.
    fn outcome(&self) -> Option<Outcome> {
        Some(match self.code.as_deref() {
            Some(_) if self.described => Outcome::Error,
            Some(sqlstate::TOO_MANY_CONNECTIONS) => Outcome::Full,
            Some(sqlstate::READ_ONLY_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD) => Outcome::Miss,
            Some(_) => Outcome::Error,
            None if self.complete && self.row => Outcome::Ok,
            None => return None,
        })
    }
}

struct Connection {
    member: MemberId,
    address: SocketAddr,
    stream: TcpStream,
    inbox: Ring,
    outbox: Ring,
    stage: Stage,
    job: Option<Job>,
    reply: Reply,
    /// The memory charged for the value.
    value_charge: Charge,
    /// Data was received that is not part of an answer.
    malformed: bool,
    /// Part of the answer has been received: the rest is due soon.
    answer_begun: bool,
    /// The buffer or the socket may hold further messages, which no event announces.
    unprocessed: bool,
    /// The time limit of the present stage.
    deadline: f64,
    timer: EarliestTimer,
}

/// An attempt that was taken back before it was written.
pub(crate) struct WithdrawnAttempt {
    pub member: MemberId,
    /// When the decision to send it was carried out (seconds).
    pub decided_at: f64,
    /// When its connection was ready for it (seconds).
    pub ready_at: f64,
}

/// The result of a step on a connection.
enum Step {
    Waiting,
    /// The connection is ready for the request.
    Ready,
    /// The exchange is complete and the connection can be used for another.
    Complete,
    /// The exchange has this outcome and the connection cannot be used any more.
    Failed(Outcome),
}

impl Connection {
    /// Reads, processes and writes until the socket would block. Once an answer has begun, the rest is due
    /// within `rest_timeout`: guards against answers that announce more data than ever comes.
    fn process(&mut self, now: f64, rest_timeout: f64) -> Step {
        let step = self.read_and_process(now);
        let has_data = self.reply.described || self.reply.code.is_some() || !self.inbox.is_empty();
        if self.stage == Stage::Busy && has_data && !std::mem::replace(&mut self.answer_begun, true) {
            self.deadline = self.deadline.min(now + rest_timeout);
        }
        step
    }

    fn read_and_process(&mut self, now: f64) -> Step {
        if self.stage == Stage::Connecting {
            match self.finish_connecting() {
                Ok(true) => {}
                Ok(false) => return Step::Waiting,
                Err(()) => return Step::Failed(Outcome::ConnectFailed),
            }
        }
        let mut messages_left = MAX_MESSAGES_PER_STEP;
        self.unprocessed = false;
        loop {
            if self.outbox.drain(&mut self.stream).is_err() {
                return self.connection_ended();
            }
            self.note_last_byte();
            // Data received before a reset still counts.
            let fill = self.inbox.fill(&mut self.stream).unwrap_or(Fill::Ended);
            let before = self.inbox.len();
            let stage_before = self.stage;
            match self.process_messages(now, &mut messages_left) {
                Step::Waiting => {}
                Step::Ready if fill == Fill::Ended => return Step::Failed(Outcome::ConnectFailed),
                step => return step,
            }
            if messages_left == 0 {
                self.unprocessed = true;
                return Step::Waiting;
            }
            if fill == Fill::Ended {
                return self.connection_ended();
            }
            // Events are edge-triggered: continue while a full buffer has been emptied or new data is to be
            // written.
            if (fill == Fill::Drained || self.inbox.len() == before) && self.stage == stage_before {
                return Step::Waiting;
            }
        }
    }

    /// Notes that the last byte of the request has been written, if it has just been.
    fn note_last_byte(&mut self) {
        let is_written = self.stage == Stage::Busy && self.outbox.is_empty();
        if let Some(job) = self.job.as_mut().filter(|job| is_written && job.last_byte == LastByte::Pending) {
            job.last_byte = LastByte::Written;
        }
    }

    /// Returns true if bytes of a request are left to be written, and nothing has been received in reply.
    fn has_unwritten_request(&self) -> bool {
        self.stage == Stage::Busy && !self.outbox.is_empty() && !self.reply.has_begun()
    }

    /// Returns true if the connection is established; queues the startup message when it has just been.
    fn finish_connecting(&mut self) -> Result<bool, ()> {
        if self.stream.take_error().map_err(drop)?.is_some() {
            return Err(());
        }
        if self.stream.peer_addr().is_err() {
            return Ok(false);
        }
        let _ = self.stream.set_nodelay(true);
        self.stage = Stage::Starting;
        self.outbox.push(&pgwire::startup_message(USER, DATABASE)).map_err(drop)?;
        Ok(true)
    }

    /// Returns the step for a connection that has ended. A request whose last byte was not written cannot
    /// have run; otherwise it may have, unless the answer states that it did not.
    fn connection_ended(&self) -> Step {
        Step::Failed(match self.stage {
            Stage::Connecting | Stage::Starting | Stage::Ready => Outcome::ConnectFailed,
            Stage::Busy if !self.outbox.is_empty() && !self.reply.has_begun() => Outcome::ConnectFailed,
            Stage::Busy | Stage::Idle => self.reply.outcome().unwrap_or(Outcome::Reset),
        })
    }

    /// Returns the step for data that is not part of an answer: the request may have run, and nothing
    /// received with it is reliable, not even an error that states that nothing ran.
    fn reject_answer(&mut self) -> Step {
        self.malformed = true;
        if matches!(self.stage, Stage::Connecting | Stage::Starting | Stage::Ready) {
            return Step::Failed(Outcome::ConnectFailed);
        }
        self.reply = Reply::default();
        Step::Failed(Outcome::Error)
    }

    /// Processes messages one at a time, as many as are left for this step.
    fn process_messages(&mut self, now: f64, messages_left: &mut usize) -> Step {
        while *messages_left > 0 {
            *messages_left -= 1;
            match pgwire::read_server_message(&mut self.inbox) {
                Ok(None) => {
                    *messages_left += 1;
                    return Step::Waiting;
                }
                Ok(Some(message)) => match self.handle_message(message, now) {
                    Step::Waiting => {}
                    step => return step,
                },
                Err(_) => return self.reject_answer(),
            }
        }
        Step::Waiting
    }

    fn handle_message(&mut self, message: Message, now: f64) -> Step {
        match (self.stage, message.kind) {
            // Notices and the key for cancel requests are ignored.
            (_, b'N' | b'K') => {}
            (Stage::Starting, b'S') => {}
            (Stage::Starting, b'R') if message.body == [0; 4] => {}
            (Stage::Starting, b'E') => {
                let (code, _) = pgwire::error_code(&message.body);
                let full = code == sqlstate::TOO_MANY_CONNECTIONS;
                return Step::Failed(if full { Outcome::Full } else { Outcome::ConnectFailed });
            }
            (Stage::Starting, b'Z') => {
                self.become_ready(now);
                return Step::Ready;
            }
            (Stage::Busy | Stage::Idle, b'S') => match pgwire::read_parameter_status(&message.body) {
                Some((POSITION_PARAMETER, value)) => {
                    self.reply.position = value.parse::<f64>().ok().map(|millis| millis / 1000.0);
                }
                Some((ROLE_PARAMETER, ROLE_PRIMARY)) => self.reply.primary = Some(true),
                Some((ROLE_PARAMETER, ROLE_REPLICA)) => self.reply.primary = Some(false),
                Some((REPORT_PARAMETER, fields)) => {
                    self.reply.report = parse_report(fields.as_bytes());
                    self.reply.malformed_report |= self.reply.report.is_none();
                }
                _ => {}
            },
            (Stage::Busy, kind @ (b'T' | b'D' | b'C')) => {
                // Each message once and in this order: anything else is not the answer to one request.
                let Reply { described, row, complete, .. } = &mut self.reply;
                let next = match kind {
                    b'T' => !std::mem::replace(described, true),
                    b'D' => *described && !std::mem::replace(row, true),
                    _ => *row && !std::mem::replace(complete, true),
                };
                if !next {
                    return self.reject_answer();
                }
                match self.job.as_ref().map(|job| &job.task) {
                    Some(ServerTask::Probe) if kind == b'D' => {
                        self.reply.report = pgwire::read_single_column(&message.body).and_then(parse_report);
                    }
                    Some(ServerTask::Probe) => {}
                    // Guards against many answers that are each within the limit and together exceed the
                    // memory.
                    _ if self.value_charge.set(self.reply.value.len() + message.body.len()).is_err() => {
                        return Step::Failed(Outcome::Error);
                    }
                    _ => pgwire::append_message(&mut self.reply.value, &message),
                }
            }
            // A second error contradicts the first, or belongs to another request.
            (Stage::Busy, b'E') if self.reply.code.is_some() => return self.reject_answer(),
            (Stage::Busy, b'E') => {
                let (code, fatal) = pgwire::error_code(&message.body);
                self.reply.code = Some(code);
                if fatal {
                    return self.connection_ended();
                }
            }
            (Stage::Busy, b'Z') => return Step::Complete,
            // A message that is not part of this exchange.
            _ => return self.reject_answer(),
        }
        Step::Waiting
    }

    /// The connection is ready for the request of its job.
    fn become_ready(&mut self, now: f64) {
        self.stage = Stage::Ready;
        if let Some(job) = &mut self.job {
            (self.deadline, job.ready_at) = (job.deadline, now);
        }
    }

    /// Queues the request of the job on a connection that is ready for one. Returns false if memory is short
    /// or the write deadline is over; nothing has been sent then.
    fn send_request(&mut self, now: f64) -> bool {
        let Some(job) = self.job.as_ref().filter(|job| now < job.write_deadline) else { return false };
        let sql = match &job.task {
            ServerTask::Attempt(_, _, statement) => statement.with_timeout(job.deadline - now),
            ServerTask::Probe => LOAD_QUERY.to_vec(),
        };
        (self.stage, self.deadline) = (Stage::Busy, job.deadline);
        (self.reply, self.answer_begun) = (Reply::default(), false);
        self.outbox.push(&pgwire::query(&sql)).is_ok()
    }

    /// Returns true if an idle connection has not ended. Guards against writing a request to a connection
    /// whose end has arrived and has not been processed.
    fn is_alive(&mut self) -> bool {
        matches!(self.inbox.fill(&mut self.stream), Ok(Fill::Drained)) && self.inbox.is_empty()
    }
}

/// A member as the list describes it.
struct Member {
    address: SocketAddr,
    started_at: f64,
    /// When the member was last on the list, in any phase.
    listed_at: f64,
    removed: bool,
    /// Connections that can be used for a request, the most recently used last.
    idle: Vec<Slot>,
}

/// All connections to members.
pub(crate) struct Servers {
    members: HashMap<MemberId, Member>,
    connections: Slots<Connection>,
    /// Maximum number of connections.
    limit: usize,
    budget: Budget,
    keepalive: f64,
    connect_timeout: f64,
}

impl Servers {
    pub fn new(limit: usize, budget: Budget, keepalive: f64, connect_timeout: f64) -> Servers {
        let (members, connections) = (HashMap::new(), Slots::new());
        Servers {
            members,
            connections,
            limit,
            budget,
            keepalive: keepalive * KEEPALIVE_SHARE,
            connect_timeout,
        }
    }

    /// Changes the limits; busy connections end under the limits that they began with.
    pub fn set_limits(&mut self, limit: usize, keepalive: f64, connect_timeout: f64) {
        (self.limit, self.keepalive, self.connect_timeout) =
            (limit, keepalive * KEEPALIVE_SHARE, connect_timeout);
        while self.connections.len() > self.limit && self.evict() {}
    }

    /// Returns the number of connections that carry an attempt or a probe, or are being opened for one.
    pub fn busy_count(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| connection.stage != Stage::Idle).count()
    }

    /// Applies addresses from the list. Closes connections to a member's former address and those opened
    /// before its last start: a member that was cut off would leave them open and silent.
    pub fn apply_list(&mut self, kind: ListKind, listings: &[Listing], now: f64) {
        if kind != ListKind::Incremental {
            self.members.values_mut().for_each(|entry| entry.removed = true);
        }
        for Listing { name, address, phase, started_at, .. } in listings {
            let (address, started_at, listed_at) = (*address, *started_at, now);
            let new_entry = || Member { address, started_at, listed_at, removed: false, idle: Vec::new() };
            let entry = self.members.entry(name.clone()).or_insert_with(new_entry);
            let changed =
                entry.address != address || entry.started_at != started_at || *phase != Phase::Active;
            let idle = if changed { std::mem::take(&mut entry.idle) } else { Vec::new() };
            let removed = *phase == Phase::Left;
            (entry.address, entry.started_at, entry.listed_at, entry.removed) =
                (address, started_at, listed_at, removed);
            idle.into_iter().for_each(|slot| drop(self.connections.remove(slot)));
        }
        let removed: Vec<MemberId> =
            self.members.iter().filter(|(_, entry)| entry.removed).map(|(name, _)| name.clone()).collect();
        for name in removed {
            self.close_idle(&name);
        }
        self.members.retain(|_, entry| !entry.removed || now - entry.listed_at < REMOVED_RETENTION);
    }

    /// Ends the attempts and probes that wait for a connection to the member to be established: nothing of
    /// them has been written.
    pub fn cancel_unsent(&mut self, member: &MemberId, context: &mut Context) {
        let unsent = |connection: &Connection| {
            matches!(connection.stage, Stage::Connecting | Stage::Starting | Stage::Ready)
        };
        let unsent_slots = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.member == *member && unsent(connection));
        let unsent_slots: Vec<Slot> = unsent_slots.map(|(slot, _)| slot).collect();
        for slot in unsent_slots {
            self.finish_step(slot, Step::Failed(Outcome::NotSent), context);
        }
    }

    /// Closes the idle connections to a member.
    pub fn close_idle(&mut self, member: &MemberId) {
        let idle = self.members.get_mut(member).map(|entry| std::mem::take(&mut entry.idle));
        idle.into_iter().flatten().for_each(|slot| drop(self.connections.remove(slot)));
    }

    /// Begins an attempt or a probe, whose end is reported by an event. It is written by [`Servers::write`].
    pub fn send(
        &mut self,
        task: ServerTask,
        member: &MemberId,
        (timeout, write_deadline): (f64, f64),
        context: &mut Context,
    ) -> Begun {
        let started_at = context.reactor.now();
        let job = Job {
            task,
            started_at,
            deadline: started_at + timeout,
            write_deadline,
            ready_at: started_at,
            last_byte: LastByte::Pending,
        };
        while let Some(slot) = self.members.get_mut(member).and_then(|entry| entry.idle.pop()) {
            let Some(connection) = self.connections.get_mut(slot) else { continue };
            if !connection.is_alive() {
                self.connections.remove(slot);
                continue;
            }
            connection.job = Some(job);
            connection.become_ready(started_at);
            return Begun::Ready(slot);
        }
        self.open(job, member, context).map_or(Begun::Ended, Begun::Connecting)
    }

    /// Returns the attempt whose request waits for permission to be written to a connection, with its number.
    pub fn unwritten_attempt(&self, slot: Slot) -> Option<(RequestId, usize)> {
        let connection = self.connections.get(slot)?;
        let is_waiting = connection.stage == Stage::Ready || connection.has_unwritten_request();
        match connection.job.as_ref().filter(|_| is_waiting).map(|job| &job.task) {
            Some(ServerTask::Attempt(id, attempt, _)) => Some((id.clone(), *attempt)),
            _ => None,
        }
    }

    /// Writes the request that a connection is ready for, or the rest of it.
    pub fn write(&mut self, slot: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if connection.stage == Stage::Ready && !connection.send_request(now) {
            return self.finish_step(slot, Step::Failed(Outcome::NotSent), context);
        }
        self.advance(slot, context);
    }

    /// Takes back a request that may not be written. The connection is kept for another one, unless a part of the
    /// request has been written. Returns when the attempt was begun, and its member.
    pub fn withdraw(&mut self, slot: Slot, context: &mut Context) -> Option<WithdrawnAttempt> {
        let connection = self.connections.get_mut(slot)?;
        let job = connection.job.take()?;
        let member = connection.member.clone();
        if connection.stage == Stage::Ready {
            self.rest(slot, context);
        } else {
            self.remove(slot);
        }
        Some(WithdrawnAttempt { member, decided_at: job.started_at, ready_at: job.ready_at })
    }

    fn open(&mut self, job: Job, member: &MemberId, context: &mut Context) -> Option<Slot> {
        let (address, stream) = match self.connect(member) {
            Ok(connection) => connection,
            Err(outcome) => {
                report_end(job, member, outcome, Reply::default(), context);
                return None;
            }
        };
        context.counters.connected += 1;
        let deadline = (job.started_at + self.connect_timeout).min(job.deadline);
        let slot = self.connections.insert(Connection {
            member: member.clone(),
            address,
            stream,
            inbox: Ring::new(&self.budget),
            outbox: Ring::new(&self.budget),
            stage: Stage::Connecting,
            job: Some(job),
            reply: Reply::default(),
            value_charge: self.budget.charge(),
            malformed: false,
            answer_begun: false,
            unprocessed: false,
            deadline,
            timer: EarliestTimer::default(),
        });
        let connection = self.connections.get_mut(slot)?;
        let (token, both) = (Source::Server(slot).into(), Interest::READABLE | Interest::WRITABLE);
        connection.timer.set(deadline, TimerKind::Server(slot), &mut context.reactor);
        if context.reactor.registry.register(&mut connection.stream, token, both).is_err() {
            self.finish_step(slot, Step::Failed(Outcome::ConnectFailed), context);
        }
        Some(slot)
    }

    /// Starts connecting; returns the outcome of the task if that is impossible. A request that the pooler's
    /// own limits prevent was not sent, and does not count against the member.
    fn connect(&mut self, member: &MemberId) -> Result<(SocketAddr, TcpStream), Outcome> {
        let address = self.members.get(member).map(|entry| entry.address).ok_or(Outcome::NotSent)?;
        if self.connections.len() >= self.limit && !self.evict() {
            return Err(Outcome::NotSent);
        }
        let stream = TcpStream::connect(address).map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::TimedOut => Outcome::ConnectFailed,
            _ => Outcome::NotSent,
        })?;
        Ok((address, stream))
    }

    /// Closes the idle connection whose timeout ends next.
    fn evict(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.stage == Stage::Idle);
        let oldest = idle.min_by(|(_, a), (_, b)| a.deadline.total_cmp(&b.deadline)).map(|(slot, _)| slot);
        oldest.is_some_and(|slot| self.remove(slot).is_some())
    }

    fn remove(&mut self, slot: Slot) -> Option<Connection> {
        let connection = self.connections.remove(slot)?;
        if let Some(entry) = self.members.get_mut(&connection.member) {
            entry.idle.retain(|idle| *idle != slot);
        }
        Some(connection)
    }

    /// A connection is readable or writable.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        if self.connections.get_mut(slot).is_some_and(|connection| connection.has_unwritten_request()) {
            return context.events.push_back(Event::ConnectionReady(slot));
        }
        self.advance(slot, context);
    }

    /// Reads, processes and writes as far as possible.
    fn advance(&mut self, slot: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let step = connection.process(now, self.connect_timeout);
        report_last_byte(connection, context);
        self.finish_step(slot, step, context);
    }

    /// Reports the end of an exchange; the connection becomes idle or is closed.
    fn finish_step(&mut self, slot: Slot, step: Step, context: &mut Context) {
        match step {
            Step::Waiting => {
                let Some(connection) = self.connections.get_mut(slot) else { return };
                connection.timer.set(connection.deadline, TimerKind::Server(slot), &mut context.reactor);
                if connection.unprocessed {
                    context.reactor.continue_later(Source::Server(slot));
                }
            }
            Step::Ready => {
                let Some(connection) = self.connections.get_mut(slot) else { return };
                connection.timer.set(connection.deadline, TimerKind::Server(slot), &mut context.reactor);
                context.events.push_back(Event::ConnectionReady(slot));
            }
            Step::Failed(outcome) => {
                let Some(connection) = self.remove(slot) else { return };
                let Counters { malformed_answers, unexpected_data, .. } = &mut context.counters;
                *(if connection.job.is_some() { malformed_answers } else { unexpected_data }) +=
                    u64::from(connection.malformed);
                if let Some(job) = connection.job {
                    report_end(job, &connection.member, outcome, connection.reply, context);
                }
            }
            Step::Complete => {
                let Some(connection) = self.connections.get_mut(slot) else { return };
                let reply = std::mem::take(&mut connection.reply);
                // The answer is incomplete, for instance without a row, though the request may have run.
                let outcome = reply.outcome().unwrap_or(Outcome::Error);
                let _ = connection.value_charge.set(0);
                context.counters.unexpected_data += u64::from(!connection.inbox.is_empty());
                let Some(job) = connection.job.take() else { return };
                let member = connection.member.clone();
                self.rest(slot, context);
                report_end(job, &member, outcome, reply, context);
            }
        }
    }

    /// Keeps a connection that carries nothing for the next task, or closes it if it can't be used for one.
    fn rest(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        (connection.stage, connection.deadline) = (Stage::Idle, context.reactor.now() + self.keepalive);
        connection.timer.set(connection.deadline, TimerKind::Server(slot), &mut context.reactor);
        let reusable = connection.outbox.is_empty() && connection.inbox.is_empty();
        let address = connection.address;
        let entry = self.members.get_mut(&connection.member).filter(|entry| !entry.removed && reusable);
        match entry.filter(|m| m.address == address && m.idle.len() < MAX_IDLE_PER_MEMBER) {
            Some(entry) => entry.idle.push(slot),
            None => drop(self.connections.remove(slot)),
        }
    }

    /// Cancels an attempt by closing its connection. Does nothing if the attempt has just ended, its end
    /// still on the way to the pooler, and its connection carries another request already.
    pub fn cancel(&mut self, slot: Slot, id: &RequestId, attempt: usize, context: &mut Context) {
        let task = self
            .connections
            .get_mut(slot)
            .and_then(|connection| connection.job.as_ref())
            .map(|job| &job.task);
        if matches!(task, Some(ServerTask::Attempt(of, number, _)) if of == id && *number == attempt) {
            self.finish_step(slot, Step::Failed(Outcome::Cancelled), context);
        }
    }

    /// The time limit of a stage may be over.
    pub fn on_timer(&mut self, slot: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let connect_timeout = self.connect_timeout;
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.timer.fired(now);
        // The timer may belong to an earlier stage.
        if connection.deadline > now {
            return connection.timer.set(connection.deadline, TimerKind::Server(slot), &mut context.reactor);
        }
        // Data that has arrived by now still counts, even if its event has not been processed.
        self.on_ready(slot, context);
        let Some(connection) = self.connections.get_mut(slot).filter(|connection| connection.deadline <= now)
        else {
            return;
        };
        let connect_expired =
            connection.job.as_ref().is_some_and(|job| now >= job.started_at + connect_timeout);
        let step = match connection.stage {
            Stage::Connecting | Stage::Starting if connect_expired => Step::Failed(Outcome::ConnectFailed),
            Stage::Ready => Step::Failed(Outcome::NotSent),
            Stage::Busy if !connection.outbox.is_empty() && !connection.reply.has_begun() => {
                Step::Failed(Outcome::ConnectFailed)
            }
            Stage::Busy if connection.answer_begun => connection.reject_answer(),
            _ => Step::Failed(connection.reply.outcome().unwrap_or(Outcome::Timeout)),
        };
        self.finish_step(slot, step, context);
    }
}

/// Reports the last byte of an attempt, if it has just been written. The clock is read after that: a bound counts
/// from the last byte.
fn report_last_byte(connection: &mut Connection, context: &mut Context) {
    let Some(job) = connection.job.as_mut().filter(|job| job.last_byte == LastByte::Written) else { return };
    job.last_byte = LastByte::Reported;
    let ServerTask::Attempt(id, attempt, _) = &job.task else { return };
    context.events.push_back(Event::AttemptWritten(Box::new(WrittenAttempt {
        id: id.clone(),
        attempt: *attempt,
        member: connection.member.clone(),
        decided_at: job.started_at,
        ready_at: job.ready_at,
        written_at: context.reactor.now(),
    })));
}

/// Reports the end of a job.
fn report_end(job: Job, member: &MemberId, outcome: Outcome, reply: Reply, context: &mut Context) {
    let unreadable =
        matches!(job.task, ServerTask::Probe) && outcome == Outcome::Ok && reply.report.is_none();
    context.counters.unreadable_reports += u64::from(unreadable || reply.malformed_report);
    context.events.push_back(Event::TaskEnded(Box::new(TaskResult {
        task: job.task,
        member: member.clone(),
        outcome,
        elapsed: context.reactor.now() - job.started_at,
        position: reply.position,
        primary: reply.primary,
        report: reply.report.unwrap_or_default(),
        value: reply.value,
    })));
}

/// Parses a load report: names and values such as `x0=1767225600.123,x1=1`. If any part is malformed, the
/// full report is rejected, since the other parts may be wrong too.
fn parse_report(text: &[u8]) -> Option<Report> {
    let mut report = Report::default();
    for pair in std::str::from_utf8(text).ok()?.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite())?;
        match name.trim() {
            REPORT_POSITION => report.position = Some(value),
            REPORT_PRIMARY => report.primary = Some(value == 1.0),
            _ => {}
        }
    }
    Some(report)
}

#[cfg(test)]
mod tests {
    use std::io::Read;
    use std::rc::Rc;

    use exchange::Statement;

    use super::*;

    /// Returns a connection that has begun to write a statement to a member with a nearly full receive
    /// buffer, and the member's end of it.
    fn connection_with_partial_write(bytes: usize) -> (Connection, std::net::TcpStream) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        socket2::SockRef::from(&listener).set_recv_buffer_size(2048).unwrap();
        let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        socket2::SockRef::from(&stream).set_send_buffer_size(4096).unwrap();
        stream.set_nonblocking(true).unwrap();
        let budget = Budget::new(1 << 20);
        let text = format!("/* d=10 */ {}", "x".repeat(bytes));
        let task = ServerTask::Attempt("1".into(), 0, Rc::new(Statement::new(text.into(), 5..7)));
        let mut connection = Connection {
            member: "s-1".into(),
            address: listener.local_addr().unwrap(),
            stream: TcpStream::from_std(stream),
            inbox: Ring::new(&budget),
            outbox: Ring::new(&budget),
            stage: Stage::Idle,
            job: Some(Job {
                task,
                started_at: 0.0,
                deadline: 10.0,
                write_deadline: 10.0,
                ready_at: 0.0,
                last_byte: LastByte::Pending,
            }),
            reply: Reply::default(),
            value_charge: budget.charge(),
            malformed: false,
            answer_begun: false,
            unprocessed: false,
            deadline: 10.0,
            timer: EarliestTimer::default(),
        };
        assert!(connection.send_request(0.0));
        assert!(matches!(connection.process(0.0, 1.0), Step::Waiting));
        (connection, listener.accept().unwrap().0)
    }

    /// Processes the end of the connection.
    fn outcome_at_end(mut connection: Connection) -> Outcome {
        loop {
            match connection.process(0.0, 1.0) {
                Step::Failed(outcome) => return outcome,
                _ => std::thread::yield_now(),
            }
        }
    }

    /// Guards requests that must never run twice: only a request that the member received completely may have
    /// run there.
    #[test]
    fn a_request_without_its_last_byte_written_cannot_have_run() {
        let (connection, mut member_end) = connection_with_partial_write(140 * 1024);
        assert!(!connection.outbox.is_empty(), "part of the request is still buffered");
        member_end.read_exact(&mut [0; 100]).unwrap();
        drop(member_end);
        assert_eq!(outcome_at_end(connection), Outcome::ConnectFailed);
        let (connection, member_end) = connection_with_partial_write(100);
        assert!(connection.outbox.is_empty());
        drop(member_end);
        assert_eq!(outcome_at_end(connection), Outcome::Reset);
    }

    /// Guards the bound of a read, which counts from the last byte of its request.
    #[test]
    fn the_last_byte_is_noted_once_the_whole_request_is_written() {
        let (mut connection, mut member_end) = connection_with_partial_write(140 * 1024);
        let last_byte = |connection: &Connection| connection.job.as_ref().unwrap().last_byte;
        assert!(connection.has_unwritten_request());
        assert_eq!(last_byte(&connection), LastByte::Pending);
        member_end.set_nonblocking(true).unwrap();
        while connection.has_unwritten_request() {
            let _ = member_end.read(&mut [0; 4096]);
            assert!(matches!(connection.process(0.0, 1.0), Step::Waiting));
        }
        assert_eq!(last_byte(&connection), LastByte::Written);
        let (connection, _member_end) = connection_with_partial_write(100);
        assert_eq!(last_byte(&connection), LastByte::Written);
    }
}
