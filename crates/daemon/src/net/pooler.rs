//! Passes events of the connections to the [`Policy`] and carries out the actions that it returns. The only
//! decisions made here are those that the resource limits of the process require.

mod answers;
mod arrivals;
mod calls;
mod configuration;
mod departed;
mod freshness;
mod guard;
mod handover;
mod in_flight;
mod names;
mod process_lifecycle;
mod sharing;
mod sources;
mod trace;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use buffer::Budget;
use config::{Config, ListSource};
use exchange::{Answer, Statement};
use lifecycle::Input as LifecycleInput;
use mio::net::TcpListener;
use mio::{Interest, Poll, Waker};
use operator::EffectiveConfig;
use routing::interface::{self, Action, Consistency, Evidence, ListKind, Outcome, Phase, RequestId};
use routing::permission::History;
use routing::Policy;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;
use transaction::{buffer_bytes, LiveMember, LiveState, RESERVED_DESCRIPTORS};

use super::change::{self, Changes};
use super::clients::Clients;
use super::control::{ControlSocket, OwnedListener};
use super::coordination::Coordination;
use super::discovery::Discovery;
use super::event_loop::{self, Handler, Reactor, Slot, Source, TimerKind};
use super::registry::Registry;
use super::servers::{Begun, Servers};
use super::sessions::Sessions;
use super::{Context, Event, ServerTask};
use crate::counters::Counters;
use crate::files;
use crate::memory;
use crate::numbers::{ActiveClass, NumberedSettings, Numbers};
use departed::DepartedRequests;
use handover::{InheritedState, PredecessorHandover, SuccessorHandover};
use in_flight::InFlight;
use process_lifecycle::{PidFile, ProcessLifecycle};
use sharing::SharingState;

/// Exit code of a successor that has failed its trial and handed the clients back to its predecessor.
const EXIT_HANDED_BACK: u8 = 5;

/// Timers that the policy may have pending without any request, and for each request that it tracks: twice the
/// number that it sets, so that timers left behind are dropped seldom and many at a time.
const MIN_TIMER_LIMIT: usize = 1_024;
const TIMERS_PER_REQUEST: usize = 4;
/// Interval of the reports on lines that the rate limit of the log has left out (seconds).
const LOG_SUMMARY_INTERVAL: f64 = 10.0;

/// The platform kills a process that was asked to end once the longest deadline of a class has passed, but
/// counts at most this for the deadline (seconds).
const MAX_DEADLINE: f64 = 3.0;
/// The platform waits this much longer before it kills the process (seconds).
const KILL_GRACE: f64 = 0.7;
/// Part of `KILL_GRACE` that is reserved for sending the last answers (seconds).
const KILL_MARGIN: f64 = 0.15;

/// Recipient of a request's final answer.
#[derive(Clone, Copy, Debug)]
enum ReplyTarget {
    Client(Slot),
    /// An ordinary client. Once its session is attached to a server, the session answers by itself.
    Session(Slot),
}

/// A request whose final answer is pending or that still has an attempt in flight.
struct Request {
    /// Recipient of the final answer; none once it has been given or the client has left.
    reply_target: Option<ReplyTarget>,
    /// The client has left before the answer.
    client_left: bool,
    statement: Rc<Statement>,
    /// Record of what was sent and received for the request, which decides whether further actions are
    /// permitted.
    history: History,
    /// Attempts in flight, each until its end is handled: number, and server connection if it has one. More
    /// than one only if the settings allow hedging; never more than `max_attempts`.
    attempts_in_flight: Vec<(usize, Option<Slot>)>,
    /// Stable id of the class.
    class_id: u16,
    group: u32,
    repeat: bool,
    tenant: usize,
    arrived_at: f64,
    consistency: Consistency,
    /// State of the request's coordination with other instances.
    sharing: SharingState,
}

impl Request {
    /// Server connection of an attempt in flight.
    fn slot_of(&self, attempt: usize) -> Option<Slot> {
        self.attempts_in_flight.iter().find(|(number, _)| *number == attempt).and_then(|(_, slot)| *slot)
    }
}

struct Pooler {
    policy: Policy,
    clients: Clients,
    servers: Servers,
    discovery: Discovery,
    /// Sessions of ordinary clients; none if the operator's file has no address for them.
    sessions: Option<Sessions>,
    /// Follows the list instead of discovery, if the operator's file names a registry.
    registry: Option<Registry>,
    /// Coordination with other instances; none if the operator's file does not configure it.
    coordination: Option<Coordination>,
    /// Requests that wait for other instances.
    awaiting_peers: Vec<RequestId>,
    /// When pending updates of the list were last read (Unix seconds).
    list_read_at: f64,
    seed: u64,
    name: String,
    signals: Signals,
    requests: HashMap<RequestId, Request>,
    departed: DepartedRequests,
    /// Requests with a pending answer, by connection of a platform client.
    in_flight: InFlight,
    /// Classes and tenants of the configuration in force, for new requests.
    classes: Vec<ActiveClass>,
    tenants: Vec<(String, usize)>,
    numbers: Numbers,
    budget: Budget,
    /// Memory that the process held before it served anybody (bytes).
    memory_at_start: usize,
    /// State of configuration changes; none without an operator's file.
    changes: Option<Box<Changes>>,
    control: Option<ControlSocket>,
    log: logging::Handle,
    /// Log lines left out by the rate limit that have been reported.
    reported_suppressed_lines: u64,
    /// Address for platform clients.
    listen: SocketAddr,
    /// The address before a change that may still be rolled back.
    previous_listen: Option<SocketAddr>,
    zones: Vec<String>,
    probe_timeout: f64,
    /// Path of the platform's configuration file, for reloads.
    path: PathBuf,
    /// Maximum delay that a refusal may ask a client to wait before it tries again (seconds).
    retry_after: f64,
    /// Time from the request to shut down until every request must have been answered (seconds).
    kill_after: f64,
    /// When that time ends; infinite before the shutdown (Unix seconds).
    kill_at: f64,
    lifecycle: ProcessLifecycle,
    /// Handover to a successor.
    successor: Option<SuccessorHandover>,
    /// Handover from the predecessor, the daemon that this one replaces.
    predecessor: Option<PredecessorHandover>,
    /// True if this process has failed its trial as a successor.
    handed_back: bool,
}

/// Options of a daemon that has an operator's file.
pub(crate) struct OperatorOptions {
    /// Path of the operator's file.
    pub file: PathBuf,
    /// Folder of the history; overrides the one that the file names.
    pub state: Option<PathBuf>,
    /// True if this process is to take over from the daemon that runs with this file.
    pub take_over: bool,
}

/// Receives the signals that end no pooler from now on: until it handles them they wait.
pub(crate) fn receive_signals() -> io::Result<Signals> {
    Signals::new([SIGHUP, SIGUSR1])
}

/// Runs the pooler until it has shut down. Returns the exit code.
pub(crate) fn serve(
    config: &Config,
    path: &Path,
    operator: Option<OperatorOptions>,
    signals: Signals,
) -> io::Result<u8> {
    let mut poll = Poll::new()?;
    let reactor = Reactor::new(&poll)?;
    let mut context = Context { reactor, events: Default::default(), counters: Counters::default() };
    let mut pooler = Pooler::new(config, path, operator, signals, &mut context)?;
    event_loop::run(&mut poll, &mut pooler, &mut context)?;
    pooler.announce_shutdown(&context);
    logging::info!(event = "ended", "{} ends: {}", config.name, context.counters);
    Ok(match pooler.lifecycle.stage() {
        _ if pooler.handed_back => EXIT_HANDED_BACK,
        lifecycle::Stage::Ended(code) => code,
        _ => lifecycle::EXIT_PENDING,
    })
}

impl Pooler {
    fn new(
        config: &Config,
        path: &Path,
        operator: Option<OperatorOptions>,
        mut signals: Signals,
        context: &mut Context,
    ) -> io::Result<Pooler> {
        let invalid = |fault: String| io::Error::new(io::ErrorKind::InvalidInput, fault);
        let now = context.reactor.now();
        let mut alerts = Vec::new();
        let mut inherited = match operator.as_ref().filter(|operator| operator.take_over) {
            Some(operator) => Some(request_handover(operator, now).map_err(invalid)?),
            None => None,
        };
        let lock = inherited.as_mut().and_then(InheritedState::take_state_lock);
        let startup = operator.map(|operator| {
            change::load_startup_config(&operator.file, (operator.state, lock), config, now, &mut alerts)
        });
        let startup = startup.transpose().map_err(invalid)?;
        let effective = match &startup {
            Some(startup) => startup.effective.clone(),
            // The platform's configuration alone.
            None => EffectiveConfig::new(config, Default::default())
                .map_err(|conflicts| invalid(change::describe_conflicts(&conflicts)))?,
        };
        let log = logging::start(effective.document.log.level, effective.document.log.format);
        for alert in alerts {
            logging::error!(event = "config.loud", "{alert}");
        }
        let mut numbers = Numbers::default();
        let NumberedSettings { settings, classes, tenants } =
            numbers.assign(&effective, |_| false).map_err(invalid)?;
        let (connect_timeout, keepalive) = (settings.connect_timeout, effective.keepalive);
        let retry_after = max_retry_after(&settings);
        let kill_after = kill_after(&settings);
        let policy = Policy::new(settings, config.seed).map_err(|fault| invalid(fault.to_string()))?;
        // The pid file is locked before any socket is bound: the process that holds it also has the sockets.
        let daemon = &effective.document.daemon;
        let pid_file = daemon.pid_file.as_ref().map(|path| {
            match inherited.as_mut().and_then(InheritedState::take_pid_file) {
                Some(file) => Ok(PidFile::inherit(file, path)),
                None => PidFile::take(path),
            }
        });
        let pid_file = pid_file.transpose()?;
        let lifecycle_limits =
            process_lifecycle::lifecycle_limits(startup.as_ref().map(|_| &effective.document.daemon));
        // Until here these end the process at once: it has taken nothing over yet.
        signals.add_signal(SIGTERM)?;
        signals.add_signal(SIGINT)?;
        context.reactor.registry.register(&mut signals, Source::Signals.into(), Interest::READABLE)?;
        // Most clients have one attempt in flight, so that half the sockets are enough for server
        // connections. They may be too few if clients pipeline requests or hedging is allowed; then an
        // attempt ends as not sent, without other consequences. A part of the memory is for buffers, statements
        // and values, shared by all connections; it is set once it is known what the process itself takes.
        let sockets = effective.sockets.saturating_sub(RESERVED_DESCRIPTORS + session_sockets(&effective));
        let max_clients = sockets / 2;
        if max_clients == 0 {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "the limit of sockets leaves none for clients",
            ));
        }
        let budget = Budget::with_reserve(effective.memory / 2);
        let control = &effective.document.control;
        // A successor binds these sockets when it completes the takeover; until then its predecessor owns
        // them.
        let is_successor = inherited.is_some();
        let successor = daemon.handover.as_ref().filter(|_| !is_successor).map(|path| {
            let bound = OwnedListener::new(path).and_then(|bound| SuccessorHandover::new(bound, context));
            bound.map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", path.display())))
        });
        let successor = successor.transpose()?;
        let control = control.socket.as_ref().filter(|_| !is_successor).map(|path| {
            ControlSocket::new(path, control.idle_s, context)
                .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", path.display())))
        });
        // The control socket exists before the log line "listens on" is written.
        let control = control.transpose()?;
        // Sockets that a service manager has bound take precedence: the manager chooses the address.
        let mut activated = listenfd::ListenFd::from_env();
        let mut bind = |inherited: &mut Option<InheritedState>, pool: bool, address: SocketAddr| {
            if let Some(listener) = activated.take_tcp_listener(usize::from(pool))? {
                listener.set_nonblocking(true)?;
                return Ok(TcpListener::from_std(listener));
            }
            match inherited.as_mut().and_then(|inherited| inherited.take_listener(pool, address)) {
                Some(listener) => Ok(listener),
                None => TcpListener::bind(address),
            }
        };
        let listener = bind(&mut inherited, false, effective.listen)?;
        let address = listener.local_addr()?;
        logging::info!(
            event = "listening",
            "{} listens on {address}, for {max_clients} clients",
            config.name
        );
        let registry = &context.reactor.registry;
        let waker = || Waker::new(registry, Source::Disk.into());
        let changes = startup.map(|startup| Changes::new(startup, config.clone(), waker, now)).transpose()?;
        let pool = &effective.document.pool;
        let sessions = pool.listen.map(|address| {
            let listener = bind(&mut inherited, true, address)?;
            let (address, mode) = (listener.local_addr()?, format!("{:?}", pool.mode).to_lowercase());
            logging::info!(
                event = "pool.listening",
                "ordinary clients connect to {address}, pooled by {mode}"
            );
            let resources = (budget.clone(), connect_timeout, config.seed);
            Sessions::new(listener, pool, effective.route_table(), resources, context)
        });
        let sessions = sessions.transpose()?;
        let coordination = Coordination::new(&effective, config, context).map_err(invalid)?;
        let (lifecycle, lifecycle_actions) =
            ProcessLifecycle::new(lifecycle_limits, pid_file, config.seed, context);
        let inherited_list = inherited.as_ref().and_then(InheritedState::list);
        let (list_version, listings) = inherited_list
            .filter(|(version, _)| *version >= config.saved_list.version)
            .unwrap_or_else(|| (config.saved_list.version, config.saved_list.listings.clone()));
        let trial_s = effective.document.daemon.trial_s;
        let predecessor = inherited.map(|inherited| PredecessorHandover::new(inherited, trial_s, context));
        let (predecessor, handover_actions) = predecessor
            .transpose()?
            .map_or((None, Vec::new()), |(predecessor, actions)| (Some(predecessor), actions));
        let pushed = config.list_source == ListSource::Pushed;
        let mut pooler = Pooler {
            policy,
            sessions,
            clients: Clients::new(listener, max_clients, (budget.clone(), config.seed), context)?,
            servers: Servers::new(sockets - max_clients, budget.clone(), keepalive, connect_timeout),
            discovery: Discovery::new(effective.discovery, list_version, pushed),
            registry: None,
            coordination,
            awaiting_peers: Vec::new(),
            list_read_at: f64::NEG_INFINITY,
            seed: config.seed,
            name: config.name.clone(),
            signals,
            requests: HashMap::new(),
            departed: DepartedRequests::default(),
            in_flight: InFlight::default(),
            classes,
            tenants,
            numbers,
            budget,
            memory_at_start: 0,
            changes: changes.map(Box::new),
            control,
            log,
            reported_suppressed_lines: 0,
            listen: effective.listen,
            previous_listen: None,
            zones: effective.zones.clone(),
            probe_timeout: connect_timeout,
            path: path.to_path_buf(),
            retry_after,
            kill_after,
            kill_at: f64::INFINITY,
            lifecycle,
            successor,
            predecessor,
            handed_back: false,
        };
        pooler.carry_out_lifecycle(lifecycle_actions, context);
        if pooler.predecessor.is_some() {
            pooler.set_paused(true, context);
        }
        pooler.advance_lifecycle(LifecycleInput::ListenerBound, context);
        context.reactor.set_timer(now + LOG_SUMMARY_INTERVAL, TimerKind::LogSummary);
        context.events.push_back(Event::ListReceived(ListKind::Saved, listings));
        pooler.handle_events(context);
        pooler.adopt_predecessor_state(context);
        pooler.carry_out_handover(handover_actions, context);
        pooler.apply_overrides(&effective, context);
        pooler.select_list_source(&effective, context);
        pooler.follow_pushed_list(context);
        pooler.handle_events(context);
        pooler.memory_at_start = memory::resident_bytes();
        pooler.budget.resize(buffer_bytes(effective.memory, pooler.memory_at_start));
        Ok(pooler)
    }

    /// Handles the queued events in order, each after all actions that result from the previous one.
    fn handle_events(&mut self, context: &mut Context) {
        let mut handled = 0;
        while let Some(event) = context.events.pop_front() {
            handled += 1;
            match event {
                Event::QueryReceived(client, command, query) => {
                    self.handle_query((client, command), *query, context)
                }
                Event::RequestReleased(client, id) => self.handle_release(client, &id, context),
                Event::ClientLeft(client) => self.handle_client_left(client, context),
                Event::CancelRequested(key) => {
                    // A request that has not been accepted yet, or is already answered, cannot be cancelled.
                    let client =
                        self.clients.find_by_key(key).filter(|client| self.in_flight.has_requests(*client));
                    if let Some(client) = client {
                        self.handle_client_left(client, context);
                        self.clients.finish_cancelled(client, context);
                    }
                }
                Event::ConnectionReady(slot) => self.write_if_permitted(slot, context),
                Event::AttemptWritten(written) => self.handle_written(*written, context),
                Event::AttemptWithdrawn(id, attempt) => self.handle_withdrawn(id, attempt, context),
                Event::TaskEnded(result) => self.handle_task_result(*result, context),
                Event::ListReceived(kind, listings) => self.apply_list(kind, listings, context),
                Event::ServerRequested(slot, request) => self.handle_server_request(slot, *request, context),
                Event::SessionServerReady(slot, server) => self.attach_if_permitted(slot, server, context),
                Event::SessionAttached(id) => {
                    if let Some(request) = self.requests.get_mut(&id) {
                        request.reply_target = None;
                        request.history.close();
                    }
                    self.notify_policy(interface::Event::ResponseStarted { id }, context);
                }
                Event::ServerRequestAbandoned(id) => {
                    if let Some(request) = self.requests.get_mut(&id) {
                        context.counters.requests_abandoned += 1;
                        request.reply_target = None;
                    }
                    self.notify_policy(interface::Event::ClientLeft { id: id.clone() }, context);
                    self.remove_if_finished(&id, context.reactor.now());
                }
                Event::RoleReported(member, primary) => {
                    let report = interface::Report { position: None, primary: Some(primary) };
                    self.notify_policy(
                        interface::Event::ProbeEnded { member, outcome: Outcome::Ok, report },
                        context,
                    );
                }
                Event::SessionDetached(detachment) => self.handle_detachment(*detachment, context),
                Event::ControlCallReceived(caller, call) => self.handle_control_call(caller, *call, context),
            }
        }
        context.counters.event_loop.record_events(handled);
    }

    /// Follows a list that discovery pushes, unless the operator's file contains a list or names a registry.
    fn follow_pushed_list(&mut self, context: &mut Context) {
        let fixed = self.changes.as_ref().is_some_and(|changes| changes.roster.has_static_list());
        if !fixed && self.registry.is_none() {
            self.discovery.follow_pushed(context);
        }
    }

    /// Passes an event to the policy and carries out the resulting actions in order.
    fn notify_policy(&mut self, event: interface::Event, context: &mut Context) {
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
                    let permitted = self.may_begin(&id, context);
                    let Some(request) = self.requests.get_mut(&id) else { continue };
                    let number = request.history.begin(context.reactor.now());
                    if let Err(denial) = permitted {
                        request.attempts_in_flight.push((number, None));
                        self.end_unsent_attempt(id, number, member, denial, context);
                        continue;
                    }
                    context.counters.attempts_sent += 1;
                    trace::attempt_sent(&id, number, &member, timeout);
                    let Some(request) = self.requests.get_mut(&id) else { continue };
                    if let (Some(ReplyTarget::Session(slot)), Some(sessions)) =
                        (request.reply_target, &mut self.sessions)
                    {
                        request.attempts_in_flight.push((number, None));
                        // Nothing is sent for this attempt before the session is attached to a server
                        // connection, and then the session answers by itself: for the permission checks the
                        // attempt has never run.
                        request.history.end(number, Evidence::NeverRan);
                        sessions.assign_server(slot, &id, number, &member, timeout, context);
                        continue;
                    }
                    let task = ServerTask::Attempt(id, number, request.statement.clone());
                    let limits = (timeout, request.history.write_deadline());
                    let begun = self.servers.send(task, &member, limits, context);
                    request.attempts_in_flight.push((number, begun.slot()));
                    if let Begun::Ready(slot) = begun {
                        self.write_if_permitted(slot, context);
                    }
                }
                Action::Cancel { id, attempt } => {
                    let request = self.requests.get(&id);
                    if let (Some(ReplyTarget::Session(slot)), Some(sessions)) =
                        (request.and_then(|request| request.reply_target), &mut self.sessions)
                    {
                        sessions.withdraw_attempt(slot, attempt, context);
                    } else if let Some(slot) = request.and_then(|request| request.slot_of(attempt)) {
                        self.servers.cancel(slot, &id, attempt, context);
                    }
                }
                Action::Refuse { id, backoff } => self.answer(&id, Answer::Refused(backoff), context),
                Action::Fail { id } => self.answer(&id, Answer::Failed, context),
                Action::Timer { at, cookie } => {
                    context.reactor.set_timer(at, TimerKind::Policy(cookie));
                    let limit = MIN_TIMER_LIMIT + TIMERS_PER_REQUEST * self.policy.tracked_requests();
                    let policy = &self.policy;
                    context.reactor.limit_policy_timers(limit, |cookie| policy.awaits_timer(cookie));
                }
                Action::Probe { member } => {
                    context.counters.probes_sent += 1;
                    let limits = (self.probe_timeout, f64::INFINITY);
                    if let Begun::Ready(slot) = self.servers.send(ServerTask::Probe, &member, limits, context)
                    {
                        self.servers.write(slot, context);
                    }
                }
                Action::CloseIdle { member } => self.servers.close_idle(&member),
                Action::CancelUnsent { member } => self.servers.cancel_unsent(&member, context),
                // If the operator's file contains the list, there may be no discovery at all.
                Action::Subscribe
                    if self.changes.as_ref().is_some_and(|changes| changes.roster.has_static_list()) => {}
                // A registry is followed continuously, without a subscription by the policy.
                Action::Subscribe if self.registry.is_some() => {}
                Action::Subscribe => self.discovery.subscribe(context),
                Action::Denied { id, denial } => guard::report_violation(&id, denial, context),
                Action::Explain(explanation) => trace::request_given_up(&explanation, &self.numbers),
                Action::Log(text) => logging::info!(event = "decided", "{text}"),
            }
        }
    }

    /// Returns the live state that a configuration change is checked against.
    fn live_state(&self) -> LiveState {
        let Some(changes) = &self.changes else { return LiveState::default() };
        let known: BTreeMap<&str, (f64, bool)> =
            self.policy.members().map(|(id, _, share, primary)| (&**id, (share, primary))).collect();
        let members = changes.roster.listed().map(|listing| {
            let (capacity_share, primary) = known.get(&*listing.name).copied().unwrap_or((1.0, false));
            let (name, group) = (listing.name.to_string(), listing.group);
            LiveMember { name, group, serving: listing.phase == Phase::Active, capacity_share, primary }
        });
        let mut state = LiveState { members: members.collect(), ..LiveState::default() };
        for ((class, group), count) in changes.health.traffic() {
            *state
                .traffic
                .entry((self.numbers.class_name_by_stable_id(class).to_string(), group))
                .or_insert(0) += count;
        }
        let tenants: HashMap<usize, &String> = self.tenants.iter().map(|(name, n)| (*n, name)).collect();
        for request in self.requests.values() {
            let class = self.numbers.class_name_by_stable_id(request.class_id).to_string();
            *state.traffic.entry((class.clone(), request.group)).or_insert(0) += 1;
            *state.classes_in_flight.entry(class).or_insert(0) += 1;
            if let Some(tenant) = tenants.get(&request.tenant) {
                *state.tenants_in_flight.entry(tenant.to_string()).or_insert(0) += 1;
            }
        }
        state.clients_busy = self.in_flight.client_count();
        state.servers_busy = self.servers.busy_count();
        state.memory_in_use = self.budget.used();
        state.memory_at_start = self.memory_at_start;
        state
    }

    /// Logs how many lines the rate limit has left out since the last report, if there are any.
    fn report_suppressed_lines(&mut self, context: &mut Context) {
        context.reactor.set_timer(context.reactor.now() + LOG_SUMMARY_INTERVAL, TimerKind::LogSummary);
        let total = self.log.suppressed_lines();
        let lines = total - std::mem::replace(&mut self.reported_suppressed_lines, total);
        if lines > 0 {
            logging::warn!(event = "log.left_out", lines, "the rate limit of the log left out lines");
        }
    }

    fn handle_signals(&mut self, context: &mut Context) {
        let pending: Vec<i32> = self.signals.pending().collect();
        for signal in pending {
            if signal == SIGUSR1 {
                logging::info!(
                    event = "counters",
                    left_out = self.log.suppressed_lines(),
                    "{}",
                    context.counters
                );
            } else if signal == SIGHUP {
                self.advance_lifecycle(
                    LifecycleInput::ReloadRequested(process_lifecycle::monotonic_us()),
                    context,
                );
            } else {
                if !self.lifecycle.stage().is_shutting_down() {
                    logging::info!(event = "ending", "asked to end");
                    if self.changes.is_none() {
                        self.kill_at = context.reactor.now() + self.kill_after;
                    }
                    self.registry.iter_mut().for_each(|registry| registry.deregister(context));
                    self.sessions.iter_mut().for_each(|sessions| sessions.end_sessions(false, context));
                }
                // Pending replies are counted now: a third signal ends the process at once.
                self.on_lifecycle_timer(context);
                self.advance_lifecycle(LifecycleInput::StopRequested, context);
            }
        }
    }
}

impl Handler for Pooler {
    fn on_ready(&mut self, source: Source, half_closed: bool, context: &mut Context) {
        self.refresh_list(context);
        match source {
            Source::Client(slot) if half_closed => self.clients.on_half_closed(slot, context),
            Source::ClientListener => self.clients.accept(context),
            Source::Signals => self.handle_signals(context),
            Source::Client(slot) => self.clients.on_ready(slot, context),
            Source::Server(slot) => self.servers.on_ready(slot, context),
            Source::Discovery(slot) => self.discovery.on_ready(slot, context),
            Source::ControlListener => self.control.iter_mut().for_each(|control| control.accept(context)),
            Source::ControlConnection(slot) => {
                self.control.iter_mut().for_each(|control| control.on_ready(slot, context))
            }
            Source::Registry(slot) => {
                self.registry.iter_mut().for_each(|r| r.on_ready(slot, context));
                self.store_registry_view(context);
            }
            Source::Disk => self.collect_writes(context),
            Source::SuccessorListener => self.accept_successor(context),
            Source::Successor => self.read_successor(context),
            Source::Predecessor => self.read_predecessor(context),
            Source::PeerDatagrams => self.coordination.iter_mut().for_each(|c| c.on_ready(context)),
            Source::PeerListener => self.coordination.iter_mut().for_each(|c| c.accept(context)),
            Source::PeerStream(slot) => {
                self.coordination.iter_mut().for_each(|c| c.on_stream_ready(slot, context))
            }
            Source::SessionListener => self.sessions.iter_mut().for_each(|sessions| sessions.accept(context)),
            Source::SessionClient(slot) => self.sessions.iter_mut().for_each(|s| s.on_ready(slot, context)),
            Source::SessionServer(slot) => {
                self.sessions.iter_mut().for_each(|s| s.on_server_ready(slot, context))
            }
        }
        self.handle_events(context);
        self.advance_sharing(context);
        self.handle_events(context);
        self.check_lifecycle(context);
    }

    fn on_timer(&mut self, kind: TimerKind, context: &mut Context) {
        self.refresh_list(context);
        match kind {
            TimerKind::Policy(cookie) => self.notify_policy(interface::Event::Timer { cookie }, context),
            TimerKind::Accept => self.clients.accept(context),
            TimerKind::LogSummary => self.report_suppressed_lines(context),
            TimerKind::ClientSweep => self.clients.close_idle(context),
            TimerKind::Client(slot) => self.clients.on_timer(slot, context),
            TimerKind::InFlight(client) => self.refuse_expired(client, context),
            TimerKind::Server(slot) => self.servers.on_timer(slot, context),
            TimerKind::Discovery => self.discovery.on_timer(context),
            TimerKind::ControlConnection(slot) => {
                self.control.iter_mut().for_each(|control| control.on_timer(slot, context))
            }
            TimerKind::Registry => {
                // The view is stored first, since the registry computes its next timer from that.
                self.store_registry_view(context);
                self.registry.iter_mut().for_each(|r| r.on_timer(context));
            }
            TimerKind::ConfigChange => self.check_probation(context),
            TimerKind::Peers => self.coordination.iter_mut().for_each(|c| c.on_timer(context)),
            TimerKind::SessionSweep => {
                self.sessions.iter_mut().for_each(|sessions| sessions.enforce_limits(context))
            }
            TimerKind::Lifecycle => self.on_lifecycle_timer(context),
            TimerKind::Handover => self.on_handover_timer(context),
        }
        self.handle_events(context);
        self.advance_sharing(context);
        self.handle_events(context);
        self.check_lifecycle(context);
    }

    fn finished(&self) -> bool {
        matches!(self.lifecycle.stage(), lifecycle::Stage::Ended(_))
    }
}

/// Maximum delay that a refusal may ask a client to wait before it tries again (seconds); 0 without such
/// delays.
fn max_retry_after(settings: &interface::Settings) -> f64 {
    if settings.retry_after {
        settings.max_retry_after
    } else {
        0.0
    }
}

/// Time from the platform's request to shut down until every request must have been answered (seconds). The
/// platform kills the process `KILL_GRACE` after the longest deadline. Guards requests that arrive late
/// during the shutdown, whose own deadlines would end after that.
fn kill_after(settings: &interface::Settings) -> f64 {
    let longest_deadline = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    longest_deadline.min(MAX_DEADLINE) + KILL_GRACE - KILL_MARGIN
}

/// Requests descriptors and state from the daemon that runs with the operator's file.
fn request_handover(operator: &OperatorOptions, now: f64) -> Result<InheritedState, String> {
    let (_, document) = files::read_document(&operator.file)?;
    let path = document.daemon.handover.ok_or("--take-over: the operator's file has no daemon.handover")?;
    InheritedState::request(&path, now)
}

/// Returns the number of descriptors reserved for ordinary clients and their server connections.
fn session_sockets(effective: &EffectiveConfig) -> usize {
    let pool = &effective.document.pool;
    pool.listen.map_or(0, |_| (pool.clients + pool.servers) as usize + super::sessions::MAX_CANCELS + 1)
}
