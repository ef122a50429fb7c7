//! The clients' side: takes connections in, reads queries off them and writes the answers.

use std::io;
use std::net::Shutdown;

use buffer::{Budget, Fill, Overflow, Ring};
use exchange::Answer;
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use pgwire::{code, Asked, FrameError, Message, Startup};

use super::event_loop::{Due, Slot, Slots, Source};
use super::{Context, Event};

/// Pause before accepting again after the system had no descriptor or memory for a connection (seconds).
const ACCEPT_AGAIN: f64 = 0.1;
/// How long a connection that is ended from here is still read from, what comes being thrown away (seconds): a lingering close,
/// for a client that is told something, ...
const LINGER: f64 = 1.0;
/// ... and for one at rest, which is to see the end. Guards what was written last against the reset that a close over
/// unread bytes would be.
const LINGER_IDLE: f64 = 0.3;
/// Pause between two buffers that are thrown away on one that lingers (seconds): some 8 MiB a second.
const DISCARD: f64 = 0.02;
/// Connections that linger beside as many as the limit admits; each takes one of the spare descriptors.
const LINGERERS: usize = 4;
/// How long a client may take to ask for the first time, to complete a message that it has begun, and to read
/// what it is told (seconds). Guards against those who come to hold a place.
const PROMPT: f64 = 2.0;
/// How long a connection may rest between requests while more than a quarter of the places are taken, and while
/// more than half of them are, and how often that is looked at (seconds). Guards against clients that ask once
/// and keep their connection for good: when all that a front may hold are kept so, it has none left to ask on.
const IDLE_TIMEOUT: f64 = 2.0;
const IDLE_TIMEOUT_CROWDED: f64 = 0.2;
const SWEEP: f64 = 0.1;
/// Most messages taken off a connection before the others have their turn. Guards against a client that sends
/// faster than it can be told that it sends rubbish.
const TURN: usize = 32;
/// What keeps new clients out is logged again only after so long without (seconds): it comes and goes.
const QUIET: f64 = 10.0;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Startup,
    /// The next query.
    Idle,
    /// An empty query is there and the pooler cannot serve yet.
    Unready,
    /// The answer to a query.
    Busy,
    /// The end: what comes is thrown away, what was written is still sent.
    Ending,
}

/// The connection is of no further use.
struct Over;

impl From<Overflow> for Over {
    fn from(_: Overflow) -> Over {
        Over
    }
}

struct Conn {
    stream: TcpStream,
    inbox: Ring,
    outbox: Ring,
    stage: Stage,
    /// After an error in the extended protocol everything up to Sync is passed over.
    skipping: bool,
    /// Whether it has asked anything that could be carried out.
    asked: bool,
    /// There may be more to read, which no event will announce.
    more: bool,
    /// The client has ended its sending: what is unread of it is all that comes.
    half_closed: bool,
    /// The sending has been ended from here, and how long the connection lingers.
    shut: bool,
    ends_at: f64,
    /// By this, together with its place, it may ask on another connection for its request to be cancelled.
    secret: u32,
    /// When it was last heard of.
    active: f64,
    /// Since when something has been due from the client: a first query, the rest of a message, or that it
    /// reads.
    owing: Option<f64>,
}

impl Conn {
    /// Reads, understands and writes as far as it goes without waiting.
    fn turn(&mut self, slot: Slot, serving: bool, context: &mut Context) -> Result<(), Over> {
        self.active = context.reactor.now();
        self.more = false;
        self.turn_once(slot, serving, context)?;
        // Its end may lie behind more unread bytes than a buffer holds: nothing more is begun for a client that has gone.
        let waits = matches!(self.stage, Stage::Busy | Stage::Unready);
        if self.half_closed && waits {
            return Err(Over);
        }
        Ok(())
    }

    fn turn_once(&mut self, slot: Slot, serving: bool, context: &mut Context) -> Result<(), Over> {
        while self.stage != Stage::Ending {
            let fill = self.inbox.fill(&mut self.stream).map_err(|_| Over)?;
            if fill == Fill::Ended {
                return Err(Over);
            }
            let before = self.inbox.len();
            self.understand(slot, serving, context)?;
            if self.more {
                context.reactor.timer(self.active, Due::Client(slot));
                return Ok(());
            }
            // The event is edge-triggered: what a full buffer left in the socket must be read now that there
            // is room, since nothing will announce it again.
            if fill == Fill::Drained {
                return Ok(());
            }
            if self.inbox.len() == before {
                // A message whose rest will never fit must not hold its memory and its client for ever.
                let stuck = matches!(self.stage, Stage::Startup | Stage::Idle) && self.outbox.is_empty();
                return if stuck { self.fatal(slot, code::NO_MEMORY, "no memory", context) } else { Ok(()) };
            }
        }
        // A buffer at a time is thrown away, with a pause between: guards the loop against a sender that does not stop.
        self.flush()?;
        let fill = self.inbox.fill(&mut self.stream).map_err(|_| Over)?;
        if fill == Fill::Ended {
            return Err(Over);
        }
        self.inbox.skip(self.inbox.len());
        if fill == Fill::Full {
            self.more = true;
            context.reactor.timer(self.active + DISCARD, Due::Client(slot));
        }
        Ok(())
    }

    /// Takes message by message. The next is looked at only when the answers so far are written: a client
    /// that sends and does not read gets no further than its buffers.
    fn understand(&mut self, slot: Slot, serving: bool, context: &mut Context) -> Result<(), Over> {
        for _ in 0..TURN {
            if !self.flush()? {
                return Ok(());
            }
            let result = match self.stage {
                Stage::Startup => match pgwire::startup(&mut self.inbox) {
                    Ok(None) => return Ok(()),
                    Ok(Some(first)) => self.startup(first, slot, context).map(Ok)?,
                    Err(fault) => Err(fault),
                },
                Stage::Idle => match pgwire::message(&mut self.inbox) {
                    Ok(None) => return Ok(()),
                    Ok(Some(message)) => self.message(message, slot, serving, context).map(Ok)?,
                    Err(fault) => Err(fault),
                },
                Stage::Busy | Stage::Unready | Stage::Ending => return Ok(()),
            };
            match result {
                Ok(()) => {}
                Err(FrameError::Malformed) => {
                    self.fatal(slot, code::VIOLATION, "malformed message", context)?
                }
                Err(FrameError::TooLong) => {
                    self.fatal(slot, code::TOO_LARGE, "message too long", context)?;
                }
            }
        }
        self.more = true;
        Ok(())
    }

    /// Whether it is between requests, with nothing on its way from here.
    fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Startup | Stage::Idle) && self.inbox.is_empty() && self.outbox.is_empty()
    }

    /// Whether something is due from the client.
    fn owes(&self) -> bool {
        match self.stage {
            Stage::Startup => true,
            Stage::Idle => !self.asked || !self.inbox.is_empty() || !self.outbox.is_empty(),
            Stage::Busy | Stage::Unready | Stage::Ending => false,
        }
    }

    fn startup(&mut self, first: Startup, slot: Slot, context: &mut Context) -> Result<(), Over> {
        match first {
            Startup::Encryption => self.outbox.push(b"N")?,
            Startup::Session => {
                self.outbox.push(&pgwire::welcome((slot.number() as u32, self.secret)))?;
                self.stage = Stage::Idle;
            }
            Startup::Cancel(key) => {
                context.events.push_back(Event::Cancel(key));
                return Err(Over);
            }
            Startup::Unknown => self.fatal(slot, code::UNSUPPORTED, "unknown protocol", context)?,
        }
        Ok(())
    }

    fn message(
        &mut self,
        message: Message,
        slot: Slot,
        serving: bool,
        context: &mut Context,
    ) -> Result<(), Over> {
        match message.kind {
            b'X' => return Err(Over),
            b'S' => {
                self.skipping = false;
                self.outbox.push(&pgwire::ready())?;
            }
            _ if self.skipping => {}
            b'Q' => match pgwire::asked(&message.body) {
                Ok(Asked::Nothing) if serving => self.empty()?,
                Ok(Asked::Nothing) => self.stage = Stage::Unready,
                Ok(Asked::Query(mut query)) => {
                    // Guards against many statements that are each within their bound and together are not.
                    let Ok(charge) = self.inbox.charge(query.statement.len()) else {
                        context.counters.refused += 1;
                        return self.error(code::TURNED_AWAY, "no memory", None);
                    };
                    query.statement.granted(charge);
                    (self.stage, self.asked) = (Stage::Busy, true);
                    context.events.push_back(Event::Asked(slot, query));
                }
                Err(what) => {
                    context.counters.malformed += 1;
                    self.error(code::SYNTAX, what, None)?;
                }
            },
            b'P' | b'B' | b'D' | b'E' | b'C' => {
                self.skipping = true;
                let what = "only simple queries are served";
                self.outbox.push(&pgwire::error("ERROR", code::UNSUPPORTED, what, None))?;
            }
            b'F' => self.error(code::UNSUPPORTED, "function calls are not served", None)?,
            // Flush asks for nothing here; the rest belongs to exchanges that are over or were never begun.
            b'H' | b'p' | b'd' | b'c' | b'f' => {}
            _ => self.fatal(slot, code::VIOLATION, "unknown message", context)?,
        }
        Ok(())
    }

    fn empty(&mut self) -> Result<(), Over> {
        (self.stage, self.asked) = (Stage::Idle, true);
        Ok(self.outbox.push(&[pgwire::empty_response(), pgwire::ready()].concat())?)
    }

    fn error(&mut self, code: &str, what: &str, detail: Option<&str>) -> Result<(), Over> {
        Ok(self.outbox.push(&[pgwire::error("ERROR", code, what, detail), pgwire::ready()].concat())?)
    }

    /// Says what is wrong and ends the connection once that is read.
    fn fatal(&mut self, slot: Slot, code: &str, what: &str, context: &mut Context) -> Result<(), Over> {
        context.counters.malformed += 1;
        self.outbox.push(&pgwire::error("FATAL", code, what, None))?;
        self.end(slot, LINGER, context);
        Ok(())
    }

    /// From now on the client is only given the time to read what it was told, and to see that this is all: nothing that comes
    /// is taken up any more.
    fn end(&mut self, slot: Slot, within: f64, context: &mut Context) {
        (self.stage, self.ends_at) = (Stage::Ending, context.reactor.now() + within);
        context.reactor.timer(self.ends_at, Due::Client(slot));
    }

    /// Ends a connection on which nothing is owed.
    fn linger(&mut self, slot: Slot, serving: bool, context: &mut Context) -> Result<(), Over> {
        let within = if self.outbox.is_empty() { LINGER_IDLE } else { LINGER };
        self.end(slot, within, context);
        self.turn(slot, serving, context)
    }

    /// Writes what there is to write; true when all is written.
    fn flush(&mut self) -> Result<bool, Over> {
        let before = self.outbox.len();
        let written = self.outbox.drain(&mut self.stream).map_err(|_| Over)?;
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

    fn answer(&mut self, answer: Answer) -> Result<(), Over> {
        self.stage = Stage::Idle;
        match answer {
            Answer::Served(mut value) => {
                value.extend(pgwire::ready());
                self.outbox.push(&value)?;
            }
            Answer::Refused(backoff) => {
                let millis = Some((backoff * 1000.0).ceil()).filter(|millis| *millis > 0.0);
                let detail = millis.map(|millis| (millis as u64).to_string());
                self.error(code::TURNED_AWAY, "refused: try again later", detail.as_deref())?;
            }
            Answer::Failed => self.error(code::FAILED, "failed: it may have run", None)?,
            Answer::Invalid(what) => self.error(code::BAD_VALUE, what, None)?,
        }
        Ok(())
    }
}

/// All client connections and the socket that they come in by.
pub(crate) struct Clients {
    /// Gone once no more are taken in: each connection then ends as soon as nothing is owed on it.
    listener: Option<TcpListener>,
    /// The one before, while the change that replaced it may still be undone: it takes in as well.
    previous: Option<TcpListener>,
    conns: Slots<Conn>,
    budget: Budget,
    /// Most connections at a time.
    limit: usize,
    /// Connections wait in the listener's queue until there is room.
    full: bool,
    /// What keeps new ones out is not logged again before then.
    quiet_until: f64,
    /// Whether queries can be carried out.
    serving: bool,
    /// Another process takes in who comes to the listener.
    paused: bool,
    rng: fastrand::Rng,
}

impl Clients {
    pub fn new(
        mut listener: TcpListener,
        limit: usize,
        (budget, seed): (Budget, u64),
        context: &mut Context,
    ) -> io::Result<Clients> {
        context.reactor.registry.register(&mut listener, Source::Listener.into(), Interest::READABLE)?;
        context.reactor.timer(context.reactor.now() + SWEEP, Due::Rested);
        let (listener, conns) = (Some(listener), Slots::new());
        Ok(Clients {
            listener,
            previous: None,
            conns,
            budget,
            limit,
            full: false,
            quiet_until: 0.0,
            serving: false,
            paused: false,
            rng: fastrand::Rng::with_seed(seed ^ 0x5ec2e7),
        })
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// The listeners, for a successor.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Whether another process takes in who comes to the listener.
    pub fn pause(&mut self, paused: bool, context: &mut Context) {
        self.paused = paused;
        self.accept(context);
    }

    /// Takes in all that wait.
    pub fn accept(&mut self, context: &mut Context) {
        if self.paused {
            return;
        }
        self.accept_from(false, context);
        self.accept_from(true, context);
    }

    fn accept_from(&mut self, previous: bool, context: &mut Context) {
        self.full = false;
        loop {
            // At the limit a connection between requests makes room; where all are busy, new ones wait. It
            // does so only once a new one is there: one descriptor of the spares is used for that moment.
            let now = context.reactor.now();
            let lingerers = self.lingerers();
            let full = self.conns.len() >= self.limit + lingerers.min(LINGERERS);
            let idlest = if full { self.longest_idle(context) } else { None };
            if full && idlest.is_none() && lingerers <= LINGERERS {
                self.full = true;
                let clients = self.conns.len() - lingerers;
                return self.complain(now, &format!("{clients} clients, all busy: new connections wait"));
            }
            let Some(listener) = (if previous { &self.previous } else { &self.listener }) else { return };
            match listener.accept() {
                Ok((stream, _)) => {
                    // Those that have lingered for longest go before there are too many.
                    if full && lingerers >= LINGERERS {
                        let longest = longest(&self.conns, |conn| conn.stage == Stage::Ending);
                        longest.map(|slot| self.conns.remove(slot));
                    }
                    if let Some(slot) = idlest.filter(|_| full && lingerers <= LINGERERS) {
                        self.linger(slot, context);
                    }
                    self.admit(stream, context);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The peer has left the queue again.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // No descriptor or no memory: what waits is taken in when there is some again.
                    context.reactor.timer(now + ACCEPT_AGAIN, Due::Accept);
                    return self.complain(now, &format!("cannot accept: {error}"));
                }
            }
        }
    }

    /// Connections that linger.
    fn lingerers(&self) -> usize {
        self.conns.iter().filter(|(_, conn)| conn.stage == Stage::Ending).count()
    }

    /// The connection that has been between requests for longest. What has come on it meanwhile is looked at first: a request
    /// that was about to be read is taken up.
    fn longest_idle(&mut self, context: &mut Context) -> Option<Slot> {
        while let Some(slot) = longest(&self.conns, Conn::is_idle) {
            let conn = self.conns.get_mut(slot)?;
            let active = conn.active;
            let result = conn.turn(slot, self.serving, context);
            if result.is_ok() && conn.is_idle() {
                conn.active = active;
                return Some(slot);
            }
            self.settle(slot, result, context);
        }
        None
    }

    /// Ends a connection that is between requests; it lingers.
    fn linger(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let result = conn.linger(slot, self.serving, context);
        self.settle(slot, result, context);
    }

    /// Where new clients come in, of the two addresses at most.
    pub fn listen_on(&mut self, mut listener: TcpListener, context: &mut Context) -> io::Result<()> {
        context.reactor.registry.register(&mut listener, Source::Listener.into(), Interest::READABLE)?;
        self.previous = self.listener.replace(listener);
        self.accept(context);
        Ok(())
    }

    /// Back to the address before, which has never been let go.
    pub fn listen_again(&mut self) {
        if self.previous.is_some() {
            std::mem::swap(&mut self.listener, &mut self.previous);
        }
    }

    /// Lets go of the address before; who waits there is taken in first, and open connections live on.
    pub fn let_go(&mut self, context: &mut Context) {
        self.accept(context);
        self.previous = None;
    }

    /// So many connections at a time from now on; those between requests make room at once, the others as they
    /// come to rest.
    pub fn set_limit(&mut self, limit: usize, context: &mut Context) {
        self.limit = limit;
        while self.conns.len() > self.limit + self.lingerers() {
            let Some(slot) = self.longest_idle(context) else { break };
            self.linger(slot, context);
            context.counters.rested += 1;
        }
        if std::mem::replace(&mut self.full, false) {
            self.accept(context);
        }
    }

    /// Closes those that have rested for too long, the one that did for longest first.
    pub fn sweep(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        context.reactor.timer(now + SWEEP, Due::Rested);
        loop {
            let rest = match self.conns.len() - self.lingerers() {
                places if places > self.limit / 2 => IDLE_TIMEOUT_CROWDED,
                places if places > self.limit / 4 => IDLE_TIMEOUT,
                _ => return,
            };
            // Those who have not asked yet have their own time limit.
            let rested = |conn: &Conn| conn.asked && conn.is_idle() && now >= conn.active + rest;
            let Some(slot) = longest(&self.conns, rested) else { return };
            // A request that has come meanwhile is taken up: it is no longer at rest then.
            self.ready(slot, context);
            if self.conns.get(slot).is_some_and(Conn::is_idle) {
                self.linger(slot, context);
                context.counters.rested += 1;
            }
        }
    }

    fn complain(&mut self, now: f64, line: &str) {
        if now >= self.quiet_until {
            logging::warn!(event = "clients.held_up", "{line}");
        }
        self.quiet_until = now + QUIET;
    }

    fn admit(&mut self, stream: TcpStream, context: &mut Context) {
        let _ = stream.set_nodelay(true);
        let active = context.reactor.now();
        let (inbox, outbox) = (Ring::new(&self.budget), Ring::new(&self.budget));
        let conn = Conn {
            stream,
            inbox,
            outbox,
            stage: Stage::Startup,
            skipping: false,
            asked: false,
            more: false,
            half_closed: false,
            shut: false,
            ends_at: f64::INFINITY,
            secret: self.rng.u32(..),
            active,
            owing: None,
        };
        let slot = self.conns.insert(conn);
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let (token, both) = (Source::Client(slot).into(), Interest::READABLE | Interest::WRITABLE);
        if context.reactor.registry.register(&mut conn.stream, token, both).is_err() {
            self.conns.remove(slot);
            return;
        }
        context.counters.clients += 1;
        self.ready(slot, context);
    }

    /// A connection may be read from or written to.
    pub fn ready(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let result = conn.turn(slot, self.serving, context);
        self.settle(slot, result, context);
    }

    /// A client has ended its sending, or its connection is reset: it waits for nothing any more.
    pub fn half_closed(&mut self, slot: Slot, context: &mut Context) {
        self.conns.get_mut(slot).into_iter().for_each(|conn| conn.half_closed = true);
        self.ready(slot, context);
    }

    /// The connection that has been given this key, by which its request may be cancelled.
    pub fn of_key(&self, (number, secret): (u32, u32)) -> Option<Slot> {
        let own = |(slot, conn): &(Slot, &Conn)| slot.number() as u32 == number && conn.secret == secret;
        self.conns.iter().find(own).map(|(slot, _)| slot)
    }

    /// The request of a connection has been cancelled by its client, which is told so.
    pub fn cancelled(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot).filter(|conn| conn.stage == Stage::Busy) else { return };
        conn.stage = Stage::Idle;
        let told = conn.error(code::CANCELLED, "cancelled on request", None);
        let result = told.and_then(|()| conn.turn(slot, self.serving, context));
        self.settle(slot, result, context);
    }

    /// Ends a connection that is over, or that is between requests while all are to end.
    fn settle(&mut self, slot: Slot, result: Result<(), Over>, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let busy = conn.stage == Stage::Busy;
        // An answer that is still to be written is, but not for ever: whoever does not read would keep the end. A message that
        // has begun is waited for, as long as ever: a part of it has been read here already.
        let begun = conn.stage == Stage::Idle && !conn.inbox.is_empty();
        let closing = self.listener.is_none() && !busy && !begun && conn.stage != Stage::Ending;
        let result =
            if closing && result.is_ok() { conn.linger(slot, self.serving, context) } else { result };
        if !conn.owes() {
            conn.owing = None;
        } else if conn.owing.is_none() {
            conn.owing = Some(conn.active);
            context.reactor.timer(conn.active + PROMPT, Due::Client(slot));
        }
        if result.is_err() {
            if busy {
                context.events.push_back(Event::Gone(slot));
            }
            self.conns.remove(slot);
        }
        // Whoever waits at the door was announced once: now that there is room, it must be looked for.
        if self.full && (!busy || result.is_err()) {
            self.full = false;
            self.accept(context);
        }
    }

    /// Gives the final answer to the query of a connection.
    pub fn answer(&mut self, slot: Slot, answer: Answer, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot).filter(|conn| conn.stage == Stage::Busy) else { return };
        *match answer {
            Answer::Served(_) => &mut context.counters.served,
            Answer::Refused(_) => &mut context.counters.refused,
            Answer::Failed => &mut context.counters.failed,
            Answer::Invalid(_) => &mut context.counters.malformed,
        } += 1;
        let result = conn.answer(answer).and_then(|()| conn.turn(slot, self.serving, context));
        self.settle(slot, result, context);
    }

    /// From now on queries can be carried out: those who asked are told.
    pub fn serve(&mut self, context: &mut Context) {
        if std::mem::replace(&mut self.serving, true) {
            return;
        }
        let unready = self.conns.iter().filter(|(_, conn)| conn.stage == Stage::Unready);
        let unready: Vec<Slot> = unready.map(|(slot, _)| slot).collect();
        for slot in unready {
            let Some(conn) = self.conns.get_mut(slot) else { continue };
            let result = conn.empty().and_then(|()| conn.turn(slot, true, context));
            self.settle(slot, result, context);
        }
    }

    /// Ends every connection as soon as nothing is owed on it, and takes in no more.
    pub fn close(&mut self, context: &mut Context) {
        // What has come in until now is still read, and owed an answer.
        self.accept(context);
        (self.listener, self.previous) = (None, None);
        let all: Vec<Slot> = self.conns.iter().map(|(slot, _)| slot).collect();
        for slot in all {
            self.ready(slot, context);
        }
    }

    /// A connection has more to read, or what is due from its client may be overdue.
    pub fn due(&mut self, slot: Slot, context: &mut Context) {
        let now = context.reactor.now();
        if self.conns.get_mut(slot).is_some_and(|conn| conn.more) {
            self.ready(slot, context);
        }
        // Guards a request that has come in this instant: it is taken up before it is looked at what is overdue.
        if self.conns.get(slot).is_some_and(|conn| conn.owing.is_some_and(|since| now >= since + PROMPT)) {
            self.ready(slot, context);
        }
        let Some(conn) = self.conns.get_mut(slot) else { return };
        // Timers are not withdrawn: this one may belong to what the client has done meanwhile.
        if conn.stage == Stage::Ending {
            if now >= conn.ends_at {
                self.settle(slot, Err(Over), context);
            }
            return;
        }
        if conn.owing.is_none_or(|since| now < since + PROMPT) {
            return;
        }
        context.counters.overdue += 1;
        // A message that does not end is answered; one that was never begun is not, since the end of a
        // connection is no answer to a request that crosses it.
        let unfinished = !conn.inbox.is_empty() && conn.outbox.is_empty();
        let result = if unfinished {
            conn.fatal(slot, code::VIOLATION, "message not completed in time", context)
                .and_then(|()| conn.turn(slot, self.serving, context))
        } else if conn.outbox.is_empty() {
            conn.linger(slot, self.serving, context)
        } else {
            Err(Over)
        };
        self.settle(slot, result, context);
    }
}

/// Of the connections that will do, the one not heard of for longest.
fn longest(conns: &Slots<Conn>, will_do: impl Fn(&Conn) -> bool) -> Option<Slot> {
    let those = conns.iter().filter(|(_, conn)| will_do(conn));
    those.min_by(|(_, a), (_, b)| a.active.total_cmp(&b.active)).map(|(slot, _)| slot)
}
