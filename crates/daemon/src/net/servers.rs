//! The db machines' side: keeps connections to them and carries attempts and probes over these.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;

use buffer::{Budget, Charge, Fill, Ring};
use listing::Listing;
use mio::net::TcpStream;
use mio::Interest;
use pgwire::{sqlstate, Message};
use routing::interface::{ListKind, MemberId, Outcome, Phase, Report, RequestId};

use super::event_loop::{Slot, Slots, Source, TimerKind};
use super::{Context, Event, ServerTask, TaskResult};
use crate::counters::Counters;

const USER: &str = "app";
const DATABASE: &str = "shop";
const ASK_LOAD: &[u8] = b"SHOW usage";
const POSITION: &str = "commit_clock";
const ROLE: &str = "server_role";
/// The load report that comes with answers where the settings say so.
const REPORT: &str = "usage";
const PRIMARY: &str = "writer";
const REPLICA: &str = "reader";
/// The fields of a load report.
const REPORT_POSITION: &str = "x0";
const REPORT_PRIMARY: &str = "x1";

/// Share of the time that a db machine keeps an idle connection after which it is closed from here: what is
/// written to one that the machine is just closing would end as a reset.
const KEEP_SHARE: f64 = 0.7;
/// Idle connections kept for one db machine.
const KEEP_MOST: usize = 48;
/// A machine off the list is forgotten after this (seconds), far past every deadline.
const FORGET_AFTER: f64 = 60.0;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    Starting,
    Idle,
    Busy,
}

/// What is being carried out over a connection.
struct Job {
    task: ServerTask,
    sent: f64,
    give_up: f64,
    /// Nothing of it is written from then on.
    write_by: f64,
}

/// What has come back so far.
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
    /// A report came that cannot be read.
    odd: bool,
}

impl Reply {
    /// Whether anything of an answer is there: the machine had the request.
    fn begun(&self) -> bool {
        self.described || self.code.is_some()
    }

    /// What it amounts to; none while that is open. A code that says that nothing ran proves it only where no part of a row
    /// came with it.
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

struct Conn {
    member: MemberId,
    address: SocketAddr,
    stream: TcpStream,
    inbox: Ring,
    outbox: Ring,
    stage: Stage,
    job: Option<Job>,
    reply: Reply,
    /// What the value takes of the memory for requests.
    held: Charge,
    /// Something came that belongs to no answer.
    spoilt: bool,
    /// Some of the answer is there: the rest is due soon.
    begun: bool,
    /// When the present stage has lasted long enough.
    until: f64,
}

/// How a step on a connection went.
enum Step {
    Waiting,
    /// The exchange is over and the connection can carry another.
    Over,
    /// The exchange has this outcome and the connection is of no further use.
    Broken(Outcome),
}

impl Conn {
    /// Reads, understands and writes as far as it goes without waiting. Once an answer has begun the rest is
    /// due within `rest`: guards against answers that say they are longer than what ever comes.
    fn turn(&mut self, now: f64, rest: f64) -> Step {
        let step = self.exchange(now);
        let answered = self.reply.described || self.reply.code.is_some() || !self.inbox.is_empty();
        if self.stage == Stage::Busy && answered && !std::mem::replace(&mut self.begun, true) {
            self.until = self.until.min(now + rest);
        }
        step
    }

    fn exchange(&mut self, now: f64) -> Step {
        if self.stage == Stage::Connecting {
            match self.connected() {
                Ok(true) => {}
                Ok(false) => return Step::Waiting,
                Err(()) => return Step::Broken(Outcome::ConnectFailed),
            }
        }
        loop {
            if self.outbox.drain(&mut self.stream).is_err() {
                return self.broken();
            }
            // What came before a reset still counts.
            let fill = self.inbox.fill(&mut self.stream).unwrap_or(Fill::Ended);
            let before = self.inbox.len();
            let asking = self.stage;
            match self.understand(now) {
                Step::Waiting => {}
                step => return step,
            }
            if fill == Fill::Ended {
                return self.broken();
            }
            // Edge-triggered: go on while a full buffer has been emptied or something new is to be written.
            if (fill == Fill::Drained || self.inbox.len() == before) && self.stage == asking {
                return Step::Waiting;
            }
        }
    }

    /// Whether the connection is up; if it has just come up, the startup message is on its way.
    fn connected(&mut self) -> Result<bool, ()> {
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

    /// What it means that the connection has ended. Before the last byte of a request was written it cannot
    /// have run; after that it may have, unless the answer says otherwise.
    fn broken(&self) -> Step {
        Step::Broken(match self.stage {
            Stage::Connecting | Stage::Starting => Outcome::ConnectFailed,
            Stage::Busy if !self.outbox.is_empty() && !self.reply.begun() => Outcome::ConnectFailed,
            Stage::Busy | Stage::Idle => self.reply.outcome().unwrap_or(Outcome::Reset),
        })
    }

    /// What it means that something came that is no part of an answer: the request may have run, and nothing that came with it
    /// is to be relied on, not even that it did not run.
    fn spoil(&mut self) -> Step {
        self.spoilt = true;
        if matches!(self.stage, Stage::Connecting | Stage::Starting) {
            return Step::Broken(Outcome::ConnectFailed);
        }
        self.reply = Reply::default();
        Step::Broken(Outcome::Error)
    }

    /// Takes message by message.
    fn understand(&mut self, now: f64) -> Step {
        loop {
            match pgwire::read_server_message(&mut self.inbox) {
                Ok(None) => return Step::Waiting,
                Ok(Some(message)) => match self.message(message, now) {
                    Step::Waiting => {}
                    step => return step,
                },
                Err(_) => return self.spoil(),
            }
        }
    }

    fn message(&mut self, message: Message, now: f64) -> Step {
        match (self.stage, message.kind) {
            // Notices and the key for cancel requests are passed over.
            (_, b'N' | b'K') => {}
            (Stage::Starting, b'S') => {}
            (Stage::Starting, b'R') if message.body == [0; 4] => {}
            (Stage::Starting, b'E') => {
                let (code, _) = pgwire::error_code(&message.body);
                let full = code == sqlstate::TOO_MANY_CONNECTIONS;
                return Step::Broken(if full { Outcome::Full } else { Outcome::ConnectFailed });
            }
            (Stage::Starting, b'Z') => {
                if !self.ask(now) {
                    return Step::Broken(Outcome::NotSent);
                }
            }
            (Stage::Busy | Stage::Idle, b'S') => match pgwire::read_parameter_status(&message.body) {
                Some((POSITION, value)) => {
                    self.reply.position = value.parse::<f64>().ok().map(|millis| millis / 1000.0);
                }
                Some((ROLE, PRIMARY)) => self.reply.primary = Some(true),
                Some((ROLE, REPLICA)) => self.reply.primary = Some(false),
                Some((REPORT, fields)) => {
                    self.reply.report = report(fields.as_bytes());
                    self.reply.odd |= self.reply.report.is_none();
                }
                _ => {}
            },
            (Stage::Busy, kind @ (b'T' | b'D' | b'C')) => {
                // Each once and in this order: anything else is not the answer to one request.
                let Reply { described, row, complete, .. } = &mut self.reply;
                let next = match kind {
                    b'T' => !std::mem::replace(described, true),
                    b'D' => *described && !std::mem::replace(row, true),
                    _ => *row && !std::mem::replace(complete, true),
                };
                if !next {
                    return self.spoil();
                }
                match self.job.as_ref().map(|job| &job.task) {
                    Some(ServerTask::Probe) if kind == b'D' => {
                        self.reply.report = pgwire::read_single_column(&message.body).and_then(report);
                    }
                    Some(ServerTask::Probe) => {}
                    // Guards against many answers that are each within their bound and together are not.
                    _ if self.held.set(self.reply.value.len() + message.body.len()).is_err() => {
                        return Step::Broken(Outcome::Error);
                    }
                    _ => pgwire::append_message(&mut self.reply.value, &message),
                }
            }
            // A second error contradicts the first, or belongs to another request.
            (Stage::Busy, b'E') if self.reply.code.is_some() => return self.spoil(),
            (Stage::Busy, b'E') => {
                let (code, fatal) = pgwire::error_code(&message.body);
                self.reply.code = Some(code);
                if fatal {
                    return self.broken();
                }
            }
            (Stage::Busy, b'Z') => return Step::Over,
            // Nothing that this exchange could hold.
            _ => return self.spoil(),
        }
        Step::Waiting
    }

    /// Writes the request of the job onto a connection that is ready for one; false where memory is short or it may not be
    /// written any more, so that nothing of it is sent.
    fn ask(&mut self, now: f64) -> bool {
        let Some(job) = self.job.as_ref().filter(|job| now < job.write_by) else { return false };
        let sql = match &job.task {
            ServerTask::Attempt(_, _, statement) => statement.with_timeout(job.give_up - now),
            ServerTask::Probe => ASK_LOAD.to_vec(),
        };
        (self.stage, self.until) = (Stage::Busy, job.give_up);
        (self.reply, self.begun) = (Reply::default(), false);
        self.outbox.push(&pgwire::query(&sql)).is_ok()
    }

    /// Whether an idle connection has not ended meanwhile without that having been looked at. Guards a
    /// request from being written to a connection whose end has already arrived.
    fn alive(&mut self) -> bool {
        matches!(self.inbox.fill(&mut self.stream), Ok(Fill::Drained)) && self.inbox.is_empty()
    }
}

/// A db machine as the list names it.
struct Machine {
    address: SocketAddr,
    since: f64,
    /// When it was last on the list, in whatever phase.
    listed: f64,
    gone: bool,
    /// Connections that can take a request, the latest used last.
    idle: Vec<Slot>,
}

/// All connections to db machines.
pub(crate) struct Servers {
    machines: HashMap<MemberId, Machine>,
    conns: Slots<Conn>,
    /// Most connections at a time.
    limit: usize,
    budget: Budget,
    keepalive: f64,
    connect_timeout: f64,
}

impl Servers {
    pub fn new(limit: usize, budget: Budget, keepalive: f64, connect_timeout: f64) -> Servers {
        let (machines, conns) = (HashMap::new(), Slots::new());
        Servers { machines, conns, limit, budget, keepalive: keepalive * KEEP_SHARE, connect_timeout }
    }

    /// Other limits from now on; connections that are busy end under those that they began with.
    pub fn set_limits(&mut self, limit: usize, keepalive: f64, connect_timeout: f64) {
        (self.limit, self.keepalive, self.connect_timeout) = (limit, keepalive * KEEP_SHARE, connect_timeout);
        while self.conns.len() > self.limit && self.evict() {}
    }

    /// Connections that carry an attempt or a probe, or are being made for one.
    pub fn busy_count(&self) -> usize {
        self.conns.iter().filter(|(_, conn)| conn.stage != Stage::Idle).count()
    }

    /// Takes in what the list says of addresses. Connections to where a machine no longer is, or made before
    /// it last started, are closed: a machine that was cut off would leave them open and silent.
    pub fn apply_list(&mut self, kind: ListKind, listings: &[Listing], now: f64) {
        if kind != ListKind::Incremental {
            self.machines.values_mut().for_each(|machine| machine.gone = true);
        }
        for Listing { name, address, phase, started_at: since, .. } in listings {
            let (address, since, listed) = (*address, *since, now);
            let fresh = || Machine { address, since, listed, gone: false, idle: Vec::new() };
            let machine = self.machines.entry(name.clone()).or_insert_with(fresh);
            let moved = machine.address != address || machine.since != since || *phase != Phase::Active;
            let idle = if moved { std::mem::take(&mut machine.idle) } else { Vec::new() };
            let gone = *phase == Phase::Left;
            (machine.address, machine.since, machine.listed, machine.gone) = (address, since, listed, gone);
            idle.into_iter().for_each(|slot| drop(self.conns.remove(slot)));
        }
        let gone: Vec<MemberId> =
            self.machines.iter().filter(|(_, machine)| machine.gone).map(|(name, _)| name.clone()).collect();
        for name in gone {
            self.close_idle(&name);
        }
        self.machines.retain(|_, machine| !machine.gone || now - machine.listed < FORGET_AFTER);
    }

    /// Ends what waits for a connection to a machine to come up: nothing of it has been written.
    pub fn cancel_unsent(&mut self, member: &MemberId, context: &mut Context) {
        let unsent = |conn: &Conn| matches!(conn.stage, Stage::Connecting | Stage::Starting);
        let waiting = self.conns.iter().filter(|(_, conn)| conn.member == *member && unsent(conn));
        let waiting: Vec<Slot> = waiting.map(|(slot, _)| slot).collect();
        for slot in waiting {
            self.settle(slot, Step::Broken(Outcome::NotSent), context);
        }
    }

    /// Closes the idle connections to a machine.
    pub fn close_idle(&mut self, member: &MemberId) {
        let idle = self.machines.get_mut(member).map(|machine| std::mem::take(&mut machine.idle));
        idle.into_iter().flatten().for_each(|slot| drop(self.conns.remove(slot)));
    }

    /// Begins an attempt or a probe; its end is told by an event. The connection that it is on, if any.
    pub fn send(
        &mut self,
        task: ServerTask,
        member: &MemberId,
        (timeout, write_by): (f64, f64),
        context: &mut Context,
    ) -> Option<Slot> {
        let sent = context.reactor.now();
        let job = Job { task, sent, give_up: sent + timeout, write_by };
        while let Some(slot) = self.machines.get_mut(member).and_then(|machine| machine.idle.pop()) {
            let Some(conn) = self.conns.get_mut(slot) else { continue };
            if !conn.alive() {
                self.conns.remove(slot);
                continue;
            }
            conn.job = Some(job);
            let step = if conn.ask(sent) {
                conn.turn(sent, self.connect_timeout)
            } else {
                Step::Broken(Outcome::NotSent)
            };
            context.reactor.set_timer(conn.until, TimerKind::Server(slot));
            self.settle(slot, step, context);
            return Some(slot);
        }
        self.open(job, member, context)
    }

    fn open(&mut self, job: Job, member: &MemberId, context: &mut Context) -> Option<Slot> {
        let (address, stream) = match self.connect(member) {
            Ok(connection) => connection,
            Err(outcome) => {
                ended(job, member, outcome, Reply::default(), context);
                return None;
            }
        };
        context.counters.connected += 1;
        let until = (job.sent + self.connect_timeout).min(job.give_up);
        let slot = self.conns.insert(Conn {
            member: member.clone(),
            address,
            stream,
            inbox: Ring::new(&self.budget),
            outbox: Ring::new(&self.budget),
            stage: Stage::Connecting,
            job: Some(job),
            reply: Reply::default(),
            held: self.budget.charge(),
            spoilt: false,
            begun: false,
            until,
        });
        let conn = self.conns.get_mut(slot)?;
        let (token, both) = (Source::Server(slot).into(), Interest::READABLE | Interest::WRITABLE);
        context.reactor.set_timer(until, TimerKind::Server(slot));
        if context.reactor.registry.register(&mut conn.stream, token, both).is_err() {
            self.settle(slot, Step::Broken(Outcome::ConnectFailed), context);
        }
        Some(slot)
    }

    /// Begins a connection; the outcome of what it was for, if there can be none. What the own limits forbid
    /// was never sent, and is not held against the machine.
    fn connect(&mut self, member: &MemberId) -> Result<(SocketAddr, TcpStream), Outcome> {
        let address = self.machines.get(member).map(|machine| machine.address).ok_or(Outcome::NotSent)?;
        if self.conns.len() >= self.limit && !self.evict() {
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

    /// Closes the idle connection that would be closed next anyway.
    fn evict(&mut self) -> bool {
        let idle = self.conns.iter().filter(|(_, conn)| conn.stage == Stage::Idle);
        let oldest = idle.min_by(|(_, a), (_, b)| a.until.total_cmp(&b.until)).map(|(slot, _)| slot);
        oldest.is_some_and(|slot| self.remove(slot).is_some())
    }

    fn remove(&mut self, slot: Slot) -> Option<Conn> {
        let conn = self.conns.remove(slot)?;
        if let Some(machine) = self.machines.get_mut(&conn.member) {
            machine.idle.retain(|idle| *idle != slot);
        }
        Some(conn)
    }

    /// A connection may be read from or written to.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let until = conn.until;
        let step = conn.turn(now, self.connect_timeout);
        if conn.until != until {
            context.reactor.set_timer(conn.until, TimerKind::Server(slot));
        }
        self.settle(slot, step, context);
    }

    /// Tells of an exchange that is over; the connection waits for the next, or ends.
    fn settle(&mut self, slot: Slot, step: Step, context: &mut Context) {
        match step {
            Step::Waiting => {}
            Step::Broken(outcome) => {
                let Some(conn) = self.remove(slot) else { return };
                let Counters { malformed_answers: spoilt, unexpected_data: stray, .. } =
                    &mut context.counters;
                *(if conn.job.is_some() { spoilt } else { stray }) += u64::from(conn.spoilt);
                if let Some(job) = conn.job {
                    ended(job, &conn.member, outcome, conn.reply, context);
                }
            }
            Step::Over => {
                let Some(conn) = self.conns.get_mut(slot) else { return };
                let reply = std::mem::take(&mut conn.reply);
                // A row is missing, say: it is no answer, though it may have run.
                let outcome = reply.outcome().unwrap_or(Outcome::Error);
                let _ = conn.held.set(0);
                context.counters.unexpected_data += u64::from(!conn.inbox.is_empty());
                let Some(job) = conn.job.take() else { return };
                let member = conn.member.clone();
                (conn.stage, conn.until) = (Stage::Idle, context.reactor.now() + self.keepalive);
                context.reactor.set_timer(conn.until, TimerKind::Server(slot));
                let keep = conn.outbox.is_empty() && conn.inbox.is_empty();
                let address = conn.address;
                let machine = self.machines.get_mut(&member).filter(|machine| !machine.gone && keep);
                match machine.filter(|m| m.address == address && m.idle.len() < KEEP_MOST) {
                    Some(machine) => machine.idle.push(slot),
                    None => drop(self.conns.remove(slot)),
                }
                ended(job, &member, outcome, reply, context);
            }
        }
    }

    /// Gives up an attempt: the machine learns of it by the end of the connection. Guards against one that has
    /// just ended, its end still on the way to the pooler, while its connection carries another request already.
    pub fn cancel(&mut self, slot: Slot, id: &RequestId, attempt: usize, context: &mut Context) {
        let task = self.conns.get_mut(slot).and_then(|conn| conn.job.as_ref()).map(|job| &job.task);
        if matches!(task, Some(ServerTask::Attempt(of, number, _)) if of == id && *number == attempt) {
            self.settle(slot, Step::Broken(Outcome::Cancelled), context);
        }
    }

    /// A stage may have lasted long enough.
    pub fn on_timer(&mut self, slot: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let connect_timeout = self.connect_timeout;
        // Timers are not withdrawn: this one may belong to a stage that is over.
        if self.conns.get_mut(slot).is_none_or(|conn| conn.until > now) {
            return;
        }
        // What has arrived by now still counts, though its event has not been taken up yet.
        self.on_ready(slot, context);
        let Some(conn) = self.conns.get_mut(slot).filter(|conn| conn.until <= now) else { return };
        let unmade = conn.job.as_ref().is_some_and(|job| now >= job.sent + connect_timeout);
        let step = match conn.stage {
            Stage::Connecting | Stage::Starting if unmade => Step::Broken(Outcome::ConnectFailed),
            Stage::Busy if !conn.outbox.is_empty() && !conn.reply.begun() => {
                Step::Broken(Outcome::ConnectFailed)
            }
            Stage::Busy if conn.begun => conn.spoil(),
            _ => Step::Broken(conn.reply.outcome().unwrap_or(Outcome::Timeout)),
        };
        self.settle(slot, step, context);
    }
}

/// Tells of the end of a job.
fn ended(job: Job, member: &MemberId, outcome: Outcome, reply: Reply, context: &mut Context) {
    let unreadable =
        matches!(job.task, ServerTask::Probe) && outcome == Outcome::Ok && reply.report.is_none();
    context.counters.unreadable_reports += u64::from(unreadable || reply.odd);
    context.events.push_back(Event::TaskEnded(Box::new(TaskResult {
        task: job.task,
        member: member.clone(),
        outcome,
        elapsed: context.reactor.now() - job.sent,
        position: reply.position,
        primary: reply.primary,
        report: reply.report.unwrap_or_default(),
        value: reply.value,
    })));
}

/// Reads a load report: names and values such as `x0=1767225600.123,x1=1`. One that cannot be read as a whole
/// tells nothing: what is legible in it may be wrong too.
fn report(text: &[u8]) -> Option<Report> {
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

    /// A connection that has begun to write a statement to a machine that has next to no room for it, and the
    /// machine's end.
    fn writing(bytes: usize) -> (Conn, std::net::TcpStream) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        socket2::SockRef::from(&listener).set_recv_buffer_size(2048).unwrap();
        let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        socket2::SockRef::from(&stream).set_send_buffer_size(4096).unwrap();
        stream.set_nonblocking(true).unwrap();
        let budget = Budget::new(1 << 20);
        let text = format!("/* d=10 */ {}", "x".repeat(bytes));
        let task = ServerTask::Attempt("1".into(), 0, Rc::new(Statement::new(text.into(), 5..7)));
        let mut conn = Conn {
            member: "s-1".into(),
            address: listener.local_addr().unwrap(),
            stream: TcpStream::from_std(stream),
            inbox: Ring::new(&budget),
            outbox: Ring::new(&budget),
            stage: Stage::Idle,
            job: Some(Job { task, sent: 0.0, give_up: 10.0, write_by: 10.0 }),
            reply: Reply::default(),
            held: budget.charge(),
            spoilt: false,
            begun: false,
            until: 10.0,
        };
        assert!(conn.ask(0.0));
        assert!(matches!(conn.turn(0.0, 1.0), Step::Waiting));
        (conn, listener.accept().unwrap().0)
    }

    /// Takes in how the connection ended.
    fn end(mut conn: Conn) -> Outcome {
        loop {
            match conn.turn(0.0, 1.0) {
                Step::Broken(outcome) => return outcome,
                _ => std::thread::yield_now(),
            }
        }
    }

    /// Guards a request that must never run twice: only what a machine had whole may have run there.
    #[test]
    fn a_request_of_which_the_last_byte_was_not_written_cannot_have_run() {
        let (conn, mut machine) = writing(140 * 1024);
        assert!(!conn.outbox.is_empty(), "some of it is still here");
        machine.read_exact(&mut [0; 100]).unwrap();
        drop(machine);
        assert_eq!(end(conn), Outcome::ConnectFailed);
        let (conn, machine) = writing(100);
        assert!(conn.outbox.is_empty());
        drop(machine);
        assert_eq!(end(conn), Outcome::Reset);
    }
}
