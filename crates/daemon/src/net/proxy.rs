//! Feeds what the connections tell to the [`Policy`] and carries out what it answers. Nothing is decided
//! here but what the limits of the process force.

use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use buffer::Budget;
use config::Config;
use exchange::{Answer, Query, Statement};
use listing::Listing;
use mio::net::TcpListener;
use mio::{Interest, Poll};
use routing::interface::{
    self, Action, Arrival, Consistency, Done, Effect, Entry, ListKind, Outcome, Phase, RequestId,
};
use routing::Policy;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;

use super::clients::Clients;
use super::discovery::Discovery;
use super::event_loop::{self, Due, Handler, Reactor, Slot, Source};
use super::servers::Servers;
use super::{log, Context, Ended, Event, Task};
use crate::counters::{count, Counters};

/// Descriptors kept for the listener, the poll, signals, the log, discovery's watch and surprises.
const SPARES: usize = 16;
/// After SIGTERM new queries are owed an answer for 0.7 s; this much longer for what is on its way (seconds).
const LAST_CALL: f64 = 0.75;

/// A request that its client, or an attempt, has not done with yet.
struct Request {
    /// Whom its final answer is owed to; none once that is given or the client has left.
    client: Option<Slot>,
    statement: Rc<Statement>,
    attempts: usize,
    /// The attempt that is out, until its end is handled: its number and its connection, if it has one.
    out: Option<(usize, Option<Slot>)>,
}

struct Proxy {
    policy: Policy,
    clients: Clients,
    servers: Servers,
    discovery: Discovery,
    signals: Signals,
    requests: HashMap<RequestId, Request>,
    /// Which request each busy client waits for.
    asking: HashMap<Slot, RequestId>,
    classes: Vec<(String, Consistency, Effect)>,
    tenants: Vec<String>,
    zones: Vec<String>,
    probe_timeout: f64,
    /// Where the configuration is read again from.
    path: PathBuf,
    draining: bool,
    closing: bool,
}

/// Serves until told to end.
pub(crate) fn serve(config: &Config, path: &Path) -> io::Result<()> {
    let mut poll = Poll::new()?;
    let reactor = Reactor::new(&poll)?;
    let mut context = Context { reactor, events: Default::default(), counters: Counters::default() };
    let mut proxy = Proxy::new(config, path, &mut context)?;
    event_loop::run(&mut poll, &mut proxy, &mut context)?;
    log(format_args!("{} ends: {}", config.name, context.counters));
    Ok(())
}

impl Proxy {
    fn new(config: &Config, path: &Path, context: &mut Context) -> io::Result<Proxy> {
        let settings = &config.settings;
        let policy = Policy::new(settings.clone(), config.seed)
            .map_err(|fault| io::Error::new(io::ErrorKind::InvalidInput, fault))?;
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP, SIGUSR1])?;
        context.reactor.registry.register(&mut signals, Source::Signals.into(), Interest::READABLE)?;
        // A client has at most one attempt out, so half the sockets are enough for the db machines' side.
        // Half the memory is for buffers, statements and values, whoever needs them at the time.
        let sockets = config.sockets.saturating_sub(SPARES);
        let clients = sockets / 2;
        if clients == 0 {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "too few sockets"));
        }
        let budget = Budget::new(config.memory / 2);
        let listener = TcpListener::bind(config.listen)?;
        log(format_args!("{} listens on {}, for {clients} clients", config.name, listener.local_addr()?));
        let names = config.classes.iter().cloned();
        let mut proxy = Proxy {
            policy,
            clients: Clients::new(listener, clients, budget.clone(), context)?,
            servers: Servers::new(
                sockets - clients,
                budget.clone(),
                config.keepalive,
                settings.connect_timeout,
            ),
            discovery: Discovery::new(config.discovery, config.known.index, budget),
            signals,
            requests: HashMap::new(),
            asking: HashMap::new(),
            classes: names.zip(&settings.classes).map(|(n, c)| (n, c.consistency, c.effect)).collect(),
            tenants: config.tenants.clone(),
            zones: config.zones.clone(),
            probe_timeout: settings.connect_timeout,
            path: path.to_path_buf(),
            draining: false,
            closing: false,
        };
        context.events.push_back(Event::Members(ListKind::Saved, config.known.listings.clone()));
        proxy.drain(context);
        Ok(proxy)
    }

    /// Takes event after event, each only when all that follows from the one before it is carried out.
    fn drain(&mut self, context: &mut Context) {
        while let Some(event) = context.events.pop_front() {
            match event {
                Event::Asked(client, query) => self.asked(client, *query, context),
                Event::Gone(client) => self.gone(client, context),
                Event::Ended(ended) => self.ended(*ended, context),
                Event::Members(kind, listings) => self.members(kind, listings, context),
            }
        }
    }

    /// Tells the policy and carries out its actions in their order.
    fn tell(&mut self, event: interface::Event, context: &mut Context) {
        let actions = self.decide(event, context);
        self.carry_out(actions, context);
    }

    fn decide(&mut self, event: interface::Event, context: &mut Context) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(context.reactor.now(), event, &mut actions);
        actions
    }

    fn carry_out(&mut self, actions: Vec<Action>, context: &mut Context) {
        for action in actions {
            match action {
                Action::Send { id, member, timeout } => {
                    let Some(request) = self.requests.get_mut(&id) else { continue };
                    let number = request.attempts;
                    request.attempts += 1;
                    context.counters.sent += 1;
                    let task = Task::Attempt(id, number, request.statement.clone());
                    request.out = Some((number, self.servers.send(task, &member, timeout, context)));
                }
                Action::Cancel { id, attempt } => {
                    let out = self.requests.get(&id).and_then(|request| request.out);
                    if let Some((_, Some(slot))) = out.filter(|(number, _)| *number == attempt) {
                        self.servers.cancel(slot, context);
                    }
                }
                Action::Refuse { id, backoff } => self.answer(&id, Answer::Refused(backoff), context),
                Action::Fail { id } => self.answer(&id, Answer::Failed, context),
                Action::Timer { at, cookie } => context.reactor.timer(at, Due::Policy(cookie)),
                Action::Probe { member } => {
                    context.counters.probed += 1;
                    self.servers.send(Task::Probe, &member, self.probe_timeout, context);
                }
                Action::LetGo { member } => self.servers.let_go(&member),
                Action::Listen => self.discovery.listen(context),
                Action::Log(text) => log(format_args!("{text}")),
            }
        }
    }

    fn asked(&mut self, client: Slot, query: Query, context: &mut Context) {
        let class = self.classes.iter().position(|(name, ..)| *name == query.class);
        let Some((class, (_, consistency, effect))) = class.map(|class| (class, &self.classes[class])) else {
            return self.clients.answer(client, Answer::Invalid("unknown class"), context);
        };
        if *effect == Effect::Keyed && !query.keyed {
            return self.clients.answer(client, Answer::Invalid("this class needs a key"), context);
        }
        let id = RequestId::from(query.id);
        // Two requests of one id could not be told apart, and the db machine would see a second copy.
        if self.requests.contains_key(&id) {
            return self.clients.answer(client, Answer::Invalid("this id is in use"), context);
        }
        context.counters.taken += 1;
        let sessions = matches!(consistency, Consistency::Write | Consistency::Session);
        let tenant = self.tenants.iter().position(|name| *name == query.tenant);
        let arrival = Arrival {
            id: id.clone(),
            class,
            group: query.group,
            left: query.patience,
            token_age: None,
            session: query.key.filter(|_| sessions).map(Into::into),
            tenant: tenant.unwrap_or(self.tenants.len()),
            predicted: None,
            repeat: query.repeat,
        };
        let request =
            Request { client: Some(client), statement: Rc::new(query.statement), attempts: 0, out: None };
        self.requests.insert(id.clone(), request);
        self.asking.insert(client, id);
        self.tell(interface::Event::Arrival(arrival), context);
    }

    /// A client has left: nobody waits for its answer any more, and its attempt is given up.
    fn gone(&mut self, client: Slot, context: &mut Context) {
        let Some(id) = self.asking.remove(&client) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        context.counters.gone += 1;
        request.client = None;
        let out = request.out;
        self.tell(interface::Event::Gone { id: id.clone() }, context);
        if let Some((_, Some(slot))) = out {
            self.servers.cancel(slot, context);
        }
        self.forget(&id);
    }

    /// Gives a request its final answer, unless it has had one.
    fn answer(&mut self, id: &RequestId, answer: Answer, context: &mut Context) {
        let client = self.requests.get_mut(id).and_then(|request| request.client.take());
        if let Some(client) = client {
            self.asking.remove(&client);
            self.clients.answer(client, answer, context);
        }
        self.forget(id);
    }

    /// Forgets a request that neither a client nor an attempt waits for.
    fn forget(&mut self, id: &RequestId) {
        if self.requests.get(id).is_some_and(|request| request.client.is_none() && request.out.is_none()) {
            self.requests.remove(id);
        }
    }

    fn ended(&mut self, ended: Ended, context: &mut Context) {
        let Ended { task, member, outcome, elapsed, position, primary, report, value } = ended;
        let Task::Attempt(id, attempt, _) = task else {
            count(&mut context.counters.probes, outcome);
            return self.tell(interface::Event::Probed { member, outcome, report }, context);
        };
        count(&mut context.counters.attempts, outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.out = None;
        let served = outcome == Outcome::Ok;
        let finished = served || request.client.is_none();
        let done =
            Done { id: id.clone(), member, attempt, outcome, finished, elapsed, position, primary, report };
        // What the answer tells of the machine is taken in before the client can act on the answer.
        let actions = self.decide(interface::Event::Done(done), context);
        if served {
            self.answer(&id, Answer::Served(value), context);
        } else {
            self.forget(&id);
        }
        self.carry_out(actions, context);
    }

    fn members(&mut self, kind: ListKind, listings: Vec<Listing>, context: &mut Context) {
        context.counters.lists += u64::from(kind != ListKind::Failed);
        context.counters.lists_failed += u64::from(kind == ListKind::Failed);
        if kind != ListKind::Failed {
            self.servers.list(kind, &listings, context.reactor.now());
        }
        let any = listings.iter().any(|listing| listing.phase == Phase::Active);
        let entries = listings.into_iter().map(|listing| self.entry(listing)).collect();
        self.tell(interface::Event::Members { kind, entries }, context);
        if any {
            self.clients.serve(context);
        }
    }

    fn entry(&self, listing: Listing) -> Entry {
        let Listing { name, zone, group, phase, since, .. } = listing;
        let known = self.zones.iter().position(|known| *known == zone);
        // A zone that the settings do not name is at least not the own one.
        let zone = known.unwrap_or(self.zones.len());
        Entry { member: name, zone: zone as u32, group, phase, started_at: since, primary: false }
    }

    /// Reads the configuration again. Only discovery's address is taken from it: the rest is what requests
    /// in hand were taken in under, and holds from the next start. A file that cannot be used changes nothing.
    fn reload(&mut self, context: &mut Context) {
        match Config::load(&self.path) {
            Ok(config) => {
                context.counters.reloads += 1;
                log(format_args!("configuration read again: discovery at {}", config.discovery));
                self.discovery.move_to(config.discovery, context);
            }
            Err(error) => {
                context.counters.reloads_failed += 1;
                log(format_args!("configuration kept as it was: {error}"));
            }
        }
    }

    fn signal(&mut self, context: &mut Context) {
        let pending: Vec<i32> = self.signals.pending().collect();
        for signal in pending {
            if signal == SIGUSR1 {
                log(format_args!("{}", context.counters));
            } else if signal == SIGHUP {
                self.reload(context);
            } else if !std::mem::replace(&mut self.draining, true) {
                log(format_args!("asked to end"));
                context.reactor.timer(context.reactor.now() + LAST_CALL, Due::Drained);
            }
        }
    }
}

impl Handler for Proxy {
    fn ready(&mut self, source: Source, context: &mut Context) {
        match source {
            Source::Listener => self.clients.accept(context),
            Source::Signals => self.signal(context),
            Source::Client(slot) => self.clients.ready(slot, context),
            Source::Server(slot) => self.servers.ready(slot, context),
            Source::Discovery(slot) => self.discovery.ready(slot, context),
        }
        self.drain(context);
    }

    fn due(&mut self, due: Due, context: &mut Context) {
        match due {
            Due::Policy(cookie) => self.tell(interface::Event::Timer { cookie }, context),
            Due::Accept => self.clients.accept(context),
            Due::Rested => self.clients.sweep(context),
            Due::Client(slot) => self.clients.due(slot, context),
            Due::Server(slot) => self.servers.due(slot, context),
            Due::Discovery(slot) => self.discovery.due(slot, context),
            Due::Drained => {
                self.closing = true;
                self.clients.close(context);
            }
        }
        self.drain(context);
    }

    fn finished(&self) -> bool {
        self.closing && self.clients.is_empty()
    }
}
