//! The clients' side: takes connections in, reads queries off them and writes the answers.

mod connection;
mod pipeline;

use std::io;

use buffer::Budget;
use exchange::Answer;
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use routing::permission::Denial;

use super::event_loop::{Slot, Slots, Source, TimerKind};
use super::{Context, Event};
use connection::{CloseReason, Connection};

pub(crate) use pipeline::CommandNumber;

/// Pause before accepting again after the system had no descriptor or memory for a connection (seconds).
const ACCEPT_AGAIN: f64 = 0.1;
/// Connections that linger beside as many as the limit admits; each takes one of the spare descriptors.
const LINGERERS: usize = 4;
/// How long a connection may rest between requests while more than a quarter of the places are taken, and while
/// more than half of them are, and how often that is looked at (seconds). Guards against clients that ask once
/// and keep their connection for good: when all that a front may hold are kept so, it has none left to ask on.
const IDLE_TIMEOUT: f64 = 2.0;
const IDLE_TIMEOUT_CROWDED: f64 = 0.2;
const SWEEP: f64 = 0.1;
/// What keeps new clients out is logged again only after so long without (seconds): it comes and goes.
const QUIET: f64 = 10.0;

/// All client connections and the socket that they come in by.
pub(crate) struct Clients {
    /// Gone once no more are taken in: each connection then ends as soon as nothing is owed on it.
    listener: Option<TcpListener>,
    /// The one before, while the change that replaced it may still be undone: it takes in as well.
    previous: Option<TcpListener>,
    connections: Slots<Connection>,
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
        context.reactor.registry.register(
            &mut listener,
            Source::ClientListener.into(),
            Interest::READABLE,
        )?;
        context.reactor.set_timer(context.reactor.now() + SWEEP, TimerKind::ClientSweep);
        let (listener, connections) = (Some(listener), Slots::new());
        Ok(Clients {
            listener,
            previous: None,
            connections,
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
        self.connections.len()
    }

    /// The listeners, for a successor.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Whether another process takes in who comes to the listener.
    pub fn set_paused(&mut self, paused: bool, context: &mut Context) {
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
            let full = self.connections.len() >= self.limit + lingerers.min(LINGERERS);
            let idlest = if full { self.longest_idle(context) } else { None };
            if full && idlest.is_none() && lingerers <= LINGERERS {
                self.full = true;
                let clients = self.connections.len() - lingerers;
                return self.complain(now, &format!("{clients} clients, all busy: new connections wait"));
            }
            let Some(listener) = (if previous { &self.previous } else { &self.listener }) else { return };
            match listener.accept() {
                Ok((stream, _)) => {
                    // Those that have lingered for longest go before there are too many.
                    if full && lingerers >= LINGERERS {
                        let longest = longest(&self.connections, |connection| connection.is_ending());
                        longest.map(|slot| self.connections.remove(slot));
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
                    context.reactor.set_timer(now + ACCEPT_AGAIN, TimerKind::Accept);
                    return self.complain(now, &format!("cannot accept: {error}"));
                }
            }
        }
    }

    /// Connections that linger.
    fn lingerers(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| connection.is_ending()).count()
    }

    /// The connection that has been between requests for longest. What has come on it meanwhile is looked at first: a request
    /// that was about to be read is taken up.
    fn longest_idle(&mut self, context: &mut Context) -> Option<Slot> {
        while let Some(slot) = longest(&self.connections, Connection::is_idle) {
            let connection = self.connections.get_mut(slot)?;
            let active = connection.active;
            let result = connection.process(slot, self.serving, context);
            if result.is_ok() && connection.is_idle() {
                connection.active = active;
                return Some(slot);
            }
            self.settle(slot, result, context);
        }
        None
    }

    /// Ends a connection that is between requests; it lingers.
    fn linger(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let result = connection.linger(slot, self.serving, context);
        self.settle(slot, result, context);
    }

    /// Where new clients come in, of the two addresses at most.
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

    /// Back to the address before, which has never been let go.
    pub fn revert_listener(&mut self) {
        if self.previous.is_some() {
            std::mem::swap(&mut self.listener, &mut self.previous);
        }
    }

    /// Lets go of the address before; who waits there is taken in first, and open connections live on.
    pub fn close_previous_listener(&mut self, context: &mut Context) {
        self.accept(context);
        self.previous = None;
    }

    /// So many connections at a time from now on; those between requests make room at once, the others as they
    /// come to rest.
    pub fn set_limit(&mut self, limit: usize, context: &mut Context) {
        self.limit = limit;
        while self.connections.len() > self.limit + self.lingerers() {
            let Some(slot) = self.longest_idle(context) else { break };
            self.linger(slot, context);
            context.counters.idle_clients_closed += 1;
        }
        if std::mem::replace(&mut self.full, false) {
            self.accept(context);
        }
    }

    /// Closes those that have rested for too long, the one that did for longest first.
    pub fn close_idle(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        context.reactor.set_timer(now + SWEEP, TimerKind::ClientSweep);
        loop {
            let rest = match self.connections.len() - self.lingerers() {
                places if places > self.limit / 2 => IDLE_TIMEOUT_CROWDED,
                places if places > self.limit / 4 => IDLE_TIMEOUT,
                _ => return,
            };
            // Those who have not asked yet have their own time limit.
            let rested = |connection: &Connection| connection.idle_longer_than(now, rest);
            let Some(slot) = longest(&self.connections, rested) else { return };
            // A request that has come meanwhile is taken up: it is no longer at rest then.
            self.on_ready(slot, context);
            if self.connections.get(slot).is_some_and(Connection::is_idle) {
                self.linger(slot, context);
                context.counters.idle_clients_closed += 1;
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

    /// A connection may be read from or written to.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let result = connection.process(slot, self.serving, context);
        self.settle(slot, result, context);
    }

    /// A client has ended its sending, or its connection is reset: it waits for nothing any more.
    pub fn on_half_closed(&mut self, slot: Slot, context: &mut Context) {
        self.connections.get_mut(slot).into_iter().for_each(|connection| connection.half_closed = true);
        self.on_ready(slot, context);
    }

    /// Whether a client has ended its connection, as far as can be seen now; one that was heard of since then is not looked at.
    pub fn has_left(&self, slot: Slot, since: f64) -> bool {
        self.connections.get(slot).is_none_or(|connection| connection.active < since && connection.has_left())
    }

    /// The connection that has been given this key, by which its request may be cancelled.
    pub fn find_by_key(&self, (number, secret): (u32, u32)) -> Option<Slot> {
        let own = |(slot, connection): &(Slot, &Connection)| {
            slot.number() as u32 == number && connection.has_secret(secret)
        };
        self.connections.iter().find(own).map(|(slot, _)| slot)
    }

    /// The requests of a connection have been cancelled by its client, which is told so.
    pub fn finish_cancelled(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.finish_cancelled();
        self.on_ready(slot, context);
    }

    /// Ends a connection that is over, or that is between requests while all are to end.
    fn settle(&mut self, slot: Slot, result: Result<(), CloseReason>, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let free = connection.is_free();
        // An answer that is still to be written is, but not for ever: whoever does not read would keep the end.
        let closing = self.listener.is_none() && connection.can_close();
        let result =
            if closing && result.is_ok() { connection.linger(slot, self.serving, context) } else { result };
        connection.update_timeout(slot, context);
        if let Err(over) = result {
            if over == CloseReason::Local && !free {
                context.counters.violations.count(Denial::ReplyPending);
                logging::error!(event = "rule.violation", denial = "answer_owed", "a connection is closed");
            }
            // What it has asked and nobody has looked at yet is not begun.
            context
                .events
                .retain(|event| !matches!(event, Event::QueryReceived(client, ..) if *client == slot));
            if !free {
                context.events.push_back(Event::ClientLeft(slot));
            }
            self.connections.remove(slot);
        }
        // Whoever waits at the door was announced once: now that there is room, it must be looked for.
        if self.full && (free || result.is_err()) {
            self.full = false;
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
            self.on_ready(slot, context);
        }
    }

    /// From now on queries can be carried out: those who asked are told.
    pub fn start_serving(&mut self, context: &mut Context) {
        if std::mem::replace(&mut self.serving, true) {
            return;
        }
        let unready = self.connections.iter().filter(|(_, connection)| connection.is_unready());
        let unready: Vec<Slot> = unready.map(|(slot, _)| slot).collect();
        for slot in unready {
            let Some(connection) = self.connections.get_mut(slot) else { continue };
            connection.answer_unready();
            self.on_ready(slot, context);
        }
    }

    /// Ends every connection as soon as nothing is owed on it, and takes in no more.
    pub fn close(&mut self, context: &mut Context) {
        // What has come in until now is still read, and owed an answer.
        self.accept(context);
        (self.listener, self.previous) = (None, None);
        let all: Vec<Slot> = self.connections.iter().map(|(slot, _)| slot).collect();
        for slot in all {
            self.on_ready(slot, context);
        }
    }

    /// A connection has more to read, or what is due from its client may be overdue.
    pub fn on_timer(&mut self, slot: Slot, context: &mut Context) {
        let now = context.reactor.now();
        if self.connections.get(slot).is_some_and(Connection::has_unread) {
            self.on_ready(slot, context);
        }
        // Guards a request that has come in this instant: it is taken up before it is looked at what is overdue.
        if self.connections.get(slot).is_some_and(|connection| connection.is_overdue(now)) {
            self.on_ready(slot, context);
        }
        let Some(connection) = self.connections.get_mut(slot) else { return };
        // Timers are not withdrawn: this one may belong to what the client has done meanwhile.
        let result = if connection.is_ending() {
            if !connection.linger_expired(now) {
                return;
            }
            Err(CloseReason::Local)
        } else if connection.is_overdue(now) {
            connection.end_overdue(slot, self.serving, context)
        } else {
            return;
        };
        self.settle(slot, result, context);
    }
}

/// Of the connections that will do, the one not heard of for longest.
fn longest(connections: &Slots<Connection>, will_do: impl Fn(&Connection) -> bool) -> Option<Slot> {
    let those = connections.iter().filter(|(_, connection)| will_do(connection));
    those.min_by(|(_, a), (_, b)| a.active.total_cmp(&b.active)).map(|(slot, _)| slot)
}
