//! Client connections: accepts them, reads queries and writes the answers.

mod connection;
mod eviction;
mod pipeline;
mod request_rate;

use std::io;

use buffer::Budget;
use exchange::Answer;
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use routing::permission::Denial;

use super::event_loop::{Slot, Slots, Source, TimerKind};
use super::{Context, Event};
use connection::{CloseReason, Connection};
use eviction::least_recently_active;

pub(crate) use pipeline::CommandNumber;

/// Delay before accepting again after the system had no descriptor or memory for a connection (seconds).
const ACCEPT_RETRY_DELAY: f64 = 0.1;
/// Maximum number of connections accepted from a listener in a turn.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// Maximum number of connections accepted from a listener that is being closed: more than wait in its queue.
const MAX_LAST_ACCEPTS: usize = 2_048;
/// Maximum number of lingering connections beyond the connection limit; each uses one of the reserved
/// descriptors.
const MAX_LINGERING: usize = 4;
/// Idle timeouts while connections on which requests were sent are more than a quarter and more than half of those
/// permitted, and the interval of the check (seconds). Guards against clients that send one request and keep the
/// connection open for good: if a client application keeps all the connections that it may open in this way, it has none left
/// for further requests.
const IDLE_TIMEOUT: f64 = 2.0;
const IDLE_TIMEOUT_CROWDED: f64 = 0.2;
const IDLE_CHECK_INTERVAL: f64 = 0.1;
/// A reason that keeps new clients out is logged again only after this time without it (seconds), since it
/// comes and goes.
const LOG_INTERVAL: f64 = 10.0;

/// All client connections and their listeners.
pub(crate) struct Clients {
    /// `None` once no more connections are accepted; each connection then ends as soon as it has no pending
    /// reply.
    listener: Option<TcpListener>,
    /// The listener before the current one, while the change that replaced it may still be undone;
    /// connections are accepted on both.
    previous: Option<TcpListener>,
    connections: Slots<Connection>,
    budget: Budget,
    /// Maximum number of connections.
    limit: usize,
    /// New connections wait in the listener's queue for room.
    at_limit: bool,
    /// Until then, the reason that keeps new clients out is not logged again.
    log_after: f64,
    /// True if queries can be carried out.
    serving: bool,
    /// True while another process accepts from the listener.
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
        context.reactor.registry.register(
            &mut listener,
            Source::ClientListener.into(),
            Interest::READABLE,
        )?;
        context.reactor.set_timer(context.reactor.now() + IDLE_CHECK_INTERVAL, TimerKind::ClientSweep);
        let (listener, connections) = (Some(listener), Slots::new());
        Ok(Clients {
            listener,
            previous: None,
            connections,
            budget,
            limit,
            at_limit: false,
            log_after: 0.0,
            serving: false,
            paused: false,
            rng: fastrand::Rng::with_seed(seed ^ 0x5ec2e7),
        })
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the current listener, for the successor process.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Sets whether another process accepts from the listener.
    pub fn set_paused(&mut self, paused: bool, context: &mut Context) {
        self.paused = paused;
        self.accept(context);
    }

    /// Accepts waiting connections; those beyond a turn's share wait for the next turn.
    pub fn accept(&mut self, context: &mut Context) {
        if self.paused {
            return;
        }
        for previous in [false, true] {
            if self.accept_from(previous, MAX_ACCEPTS_PER_TURN, context) {
                context.reactor.continue_later(Source::ClientListener);
            }
        }
    }

    /// Accepts the connections that wait on listeners about to be closed.
    fn accept_last(&mut self, context: &mut Context) {
        if !self.paused {
            self.accept_from(false, MAX_LAST_ACCEPTS, context);
            self.accept_from(true, MAX_LAST_ACCEPTS, context);
        }
    }

    /// Accepts up to `max_accepts` connections. Returns true if more may wait that can be accepted now.
    fn accept_from(&mut self, previous: bool, max_accepts: usize, context: &mut Context) -> bool {
        self.at_limit = false;
        for _ in 0..max_accepts {
            // At the limit, a new connection replaces an idle or unfinished one; if all are busy, new ones wait. The
            // replaced connection is closed only once a new one has arrived, which uses one reserved descriptor for
            // that moment.
            let now = context.reactor.now();
            let lingering = self.lingering();
            let at_limit = self.connections.len() >= self.limit + lingering.min(MAX_LINGERING);
            let replaceable = if at_limit { self.replaceable(context) } else { None };
            if at_limit && replaceable.is_none() && lingering <= MAX_LINGERING {
                self.at_limit = true;
                let clients = self.connections.len() - lingering;
                self.log_held_up(now, &format!("{clients} clients, all busy: new connections wait"));
                return false;
            }
            let Some(listener) = (if previous { &self.previous } else { &self.listener }) else {
                return false;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    // The connections that have lingered longest are removed before there are too many.
                    if at_limit && lingering >= MAX_LINGERING {
                        let oldest =
                            least_recently_active(&self.connections, |connection| connection.is_ending());
                        oldest.map(|slot| self.connections.remove(slot));
                    }
                    if let Some(slot) = replaceable.filter(|_| at_limit && lingering <= MAX_LINGERING) {
                        self.make_room(slot, context);
                    }
                    self.admit(stream, context);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                // The client has closed its connection while it waited in the queue.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // No descriptor or no memory: waiting connections are accepted when the timer fires.
                    context.reactor.set_timer(now + ACCEPT_RETRY_DELAY, TimerKind::Accept);
                    self.log_held_up(now, &format!("cannot accept: {error}"));
                    return false;
                }
            }
        }
        true
    }

    /// Returns the number of lingering connections.
    fn lingering(&self) -> usize {
        self.count(Connection::is_ending)
    }

    /// Starts the lingering close of a connection that has no pending reply.
    fn linger(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let result = connection.linger(slot, self.serving, context);
        self.finish_step(slot, result, context);
    }

    /// Accepts new clients on `listener` as well. At most two listeners are open.
    pub fn listen_on(&mut self, mut listener: TcpListener, context: &mut Context) -> io::Result<()> {
        context.reactor.registry.register(
            &mut listener,
            Source::ClientListener.into(),
            Interest::READABLE,
        )?;
        self.previous = self.listener.replace(listener);
        self.accept(context);
        Ok(())
    }

    /// Makes the previous listener, which was never closed, the current one again.
    pub fn revert_listener(&mut self) {
        if self.previous.is_some() {
            std::mem::swap(&mut self.listener, &mut self.previous);
        }
    }

    /// Closes the previous listener after accepting the connections that wait on it; open connections
    /// continue.
    pub fn close_previous_listener(&mut self, context: &mut Context) {
        self.accept_last(context);
        self.previous = None;
    }

    /// Changes the connection limit. Idle connections above it are closed at once, the others when they
    /// become idle.
    pub fn set_limit(&mut self, limit: usize, context: &mut Context) {
        self.limit = limit;
        while self.connections.len() > self.limit + self.lingering() {
            let Some(slot) = self.longest_idle(|_| true, usize::MAX, context) else { break };
            self.linger(slot, context);
            context.counters.idle_clients_closed += 1;
        }
        if std::mem::replace(&mut self.at_limit, false) {
            self.accept(context);
        }
    }

    /// Closes connections that have been idle for too long, starting with the longest idle.
    pub fn close_idle(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        context.reactor.set_timer(now + IDLE_CHECK_INTERVAL, TimerKind::ClientSweep);
        loop {
            let proven = |connection: &Connection| !connection.is_ending() && connection.has_queried();
            let timeout = match self.count(proven) {
                open if open > self.limit / 2 => IDLE_TIMEOUT_CROWDED,
                open if open > self.limit / 4 => IDLE_TIMEOUT,
                _ => return,
            };
            // A client that has sent no request yet has a time limit of its own.
            let timed_out = |connection: &Connection| connection.idle_longer_than(now, timeout);
            let Some(slot) = least_recently_active(&self.connections, timed_out) else { return };
            // A request that has arrived meanwhile is carried out; the connection is not idle then.
            self.on_ready(slot, context);
            if self.connections.get(slot).is_some_and(Connection::is_idle) {
                self.linger(slot, context);
                context.counters.idle_clients_closed += 1;
            }
        }
    }

    fn log_held_up(&mut self, now: f64, line: &str) {
        if now >= self.log_after {
            logging::warn!(event = "clients.held_up", "{line}");
        }
        self.log_after = now + LOG_INTERVAL;
    }

    fn admit(&mut self, stream: TcpStream, context: &mut Context) {
        let _ = stream.set_nodelay(true);
        let active = context.reactor.now();
        let connection = Connection::new(stream, &self.budget, self.rng.u32(..), active);
        let slot = self.connections.insert(connection);
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let (token, both) = (Source::Client(slot).into(), Interest::READABLE | Interest::WRITABLE);
        if context.reactor.registry.register(&mut connection.stream, token, both).is_err() {
            self.connections.remove(slot);
            return;
        }
        context.counters.clients += 1;
        self.on_ready(slot, context);
    }

    /// A connection is readable or writable, or has its next turn.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.note_readable();
        let result = connection.process(slot, self.serving, context);
        self.finish_step(slot, result, context);
    }

    /// A client has closed its sending side, or its connection was reset: it does not wait for replies any
    /// more.
    pub fn on_half_closed(&mut self, slot: Slot, context: &mut Context) {
        self.connections.get_mut(slot).into_iter().for_each(|connection| connection.half_closed = true);
        self.on_ready(slot, context);
    }

    /// Returns true if the client is known to have closed its connection. A connection that was active after
    /// `since` is not checked.
    pub fn has_left(&self, slot: Slot, since: f64) -> bool {
        self.connections
            .get(slot)
            .is_none_or(|connection| !connection.was_read_after(since) && connection.has_left())
    }

    /// Returns the requests per second of a connection of late.
    pub fn request_rate(&self, slot: Slot, now: f64) -> f64 {
        self.connections.get(slot).map_or(0.0, |connection| connection.request_rate(now))
    }

    /// Returns the connection to which this cancel key was given.
    pub fn find_by_key(&self, (number, secret): (u32, u32)) -> Option<Slot> {
        let has_key = |(slot, connection): &(Slot, &Connection)| {
            slot.number() as u32 == number && connection.has_secret(secret)
        };
        self.connections.iter().find(has_key).map(|(slot, _)| slot)
    }

    /// Tells a client that its requests have been cancelled at its own request.
    pub fn finish_cancelled(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.finish_cancelled();
        self.write(slot, context);
    }

    /// Removes a connection that has ended, and closes an idle one if all are to be closed.
    fn finish_step(&mut self, slot: Slot, result: Result<(), CloseReason>, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let free = connection.is_free();
        // A pending write is completed within the linger time; a client that does not read cannot delay the
        // shutdown forever.
        let closing = self.listener.is_none() && connection.can_close();
        let result =
            if closing && result.is_ok() { connection.linger(slot, self.serving, context) } else { result };
        connection.update_timeout(slot, context);
        if let Err(reason) = result {
            if reason == CloseReason::Local && !free {
                context.counters.violations.count(Denial::ReplyPending);
                logging::error!(
                    event = "rule.violation",
                    denial = "answer_owed",
                    "connection closed with a pending reply"
                );
            }
            // A query that has not been processed yet is not begun.
            context
                .events
                .retain(|event| !matches!(event, Event::QueryReceived(client, ..) if *client == slot));
            if !free {
                context.events.push_back(Event::ClientLeft(slot));
            }
            self.connections.remove(slot);
        }
        // Waiting connections were announced by one event only: accept them now that there is room.
        if self.at_limit && (free || result.is_err()) {
            self.at_limit = false;
            self.accept(context);
        }
    }

    /// Gives the final answer to a command of a connection.
    pub fn answer(&mut self, slot: Slot, number: CommandNumber, answer: Answer, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let counter = match answer {
            Answer::Served(_) => &mut context.counters.served,
            Answer::Refused(_) => &mut context.counters.refused,
            Answer::Failed => &mut context.counters.failed,
            Answer::Invalid(_) => &mut context.counters.malformed,
        };
        if connection.answer(number, answer) {
            *counter += 1;
            self.write(slot, context);
        }
    }

    /// Writes the replies of a connection that are available. What its client has sent meanwhile is read in the
    /// connection's next turn: an answer must not lead straight to the next request.
    fn write(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let result = connection.write(slot, context);
        self.finish_step(slot, result, context);
    }

    /// Queries can be carried out from now on: answers the pending empty queries.
    pub fn start_serving(&mut self, context: &mut Context) {
        if std::mem::replace(&mut self.serving, true) {
            return;
        }
        let unready = self.connections.iter().filter(|(_, connection)| connection.is_unready());
        let unready: Vec<Slot> = unready.map(|(slot, _)| slot).collect();
        for slot in unready {
            let Some(connection) = self.connections.get_mut(slot) else { continue };
            connection.answer_unready();
            self.write(slot, context);
        }
    }

    /// Accepts no more connections, and closes each one as soon as what it has sent by now is answered. A message
    /// that has begun must be complete at `finish_by`.
    pub fn close(&mut self, finish_by: f64, context: &mut Context) {
        // Requests that have arrived by now are still read and answered.
        self.accept_last(context);
        (self.listener, self.previous) = (None, None);
        let all: Vec<Slot> = self.connections.iter().map(|(slot, _)| slot).collect();
        for slot in all {
            let Some(connection) = self.connections.get_mut(slot) else { continue };
            let result = connection.drain(slot, self.serving, finish_by, context);
            self.finish_step(slot, result, context);
        }
    }

    /// A client may have exceeded a time limit, or a lingering connection is to be read again.
    pub fn on_timer(&mut self, slot: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.timer_fired(now);
        // A request that has just arrived is read before the time limit is checked.
        if connection.is_ending() || connection.is_overdue(now) {
            self.on_ready(slot, context);
        }
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let result = if connection.is_ending() && connection.linger_expired(now) {
            Err(CloseReason::Local)
        } else if connection.is_overdue(now) {
            connection.end_overdue(slot, self.serving, context)
        } else {
            Ok(())
        };
        self.finish_step(slot, result, context);
    }
}
