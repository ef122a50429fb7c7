//! The registry client: connections to the registry's endpoints for ranges, the watch and the pooler's own
//! lease. [`registry::RegistrySync`] decides which endpoint is called for what, and which answers are
//! accepted.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use buffer::{Budget, Charge, Fill, Lines};
use http1::{FullResponse, Piece, ResponseReader};
use mio::net::TcpStream;
use mio::Interest;
use operator::Registry as Settings;
use registry::lease::{self, Lease, LeaseRequest};
use registry::schema::Members;
use registry::wire::Refusal;
use registry::{snapshot, wire, Action, Endpoints, Input, Notice, Pacing, RegistrySync, SyncConfig, View};
use routing::interface::{ListKind, MemberId};
use tls::Transport;

use super::event_loop::{Slot, Slots, Source, TimerKind};
use super::{Context, Event};
use crate::dial::{self, Dialer};

/// Maximum length of a response to a range, and of a line of a watch (bytes): pages and fragments are far
/// shorter.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Minimum intervals between two copies of the view on disk: for a view that has changed, and for one that
/// merely has a later revision (seconds).
const STORE_INTERVAL: f64 = 10.0;
const PROGRESS_STORE_INTERVAL: f64 = 300.0;

/// The response that is expected on a connection.
enum Expected {
    Page(FullResponse),
    Token(FullResponse),
    /// Read line by line for as long as the connection lives.
    Watch(ResponseReader, Lines, Charge),
    /// A response about the pooler's own lease; true if it is a line of a stream.
    Lease(FullResponse, bool),
}

/// Input that was received on a connection, for the state machine that made the call.
enum Received {
    Sync(Input),
    Lease(lease::Input),
}

struct Connection {
    stream: TcpStream,
    transport: Transport,
    expected: Expected,
    /// The number of the call, as given by its state machine.
    call: u64,
    address: SocketAddr,
    /// True if the connection was established.
    connected: bool,
    /// True if any data has been received that the endpoint itself must have sent.
    data_received: bool,
    /// The socket may have more data, which no event announces.
    has_unread: bool,
}

/// Maximum number of full buffers that are read from a connection in a turn.
const MAX_BUFFERS_PER_TURN: usize = 4;

/// The pooler's own key in the registry.
struct Registration {
    lease: Lease,
    key: Vec<u8>,
    value: Vec<u8>,
    /// The token of the call in flight.
    token: Option<String>,
    /// The call in flight for the own key, besides those that follow the list.
    current: Option<(u64, Slot)>,
}

/// The known state from which a registry is followed.
#[derive(Default)]
pub(crate) struct KnownState {
    pub view: View,
    /// Members whose present values are malformed, with their previous values.
    pub members: Members,
    /// Members known only from another source, until the registry has provided a full list.
    pub provisional: BTreeSet<MemberId>,
}

/// The identity of the pooler that follows the registry.
pub(crate) struct PoolerIdentity<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub seed: u64,
}

/// Follows the list in a registry.
pub(crate) struct Registry {
    settings: Settings,
    dialer: Dialer,
    sync: RegistrySync,
    members: Members,
    connections: Slots<Connection>,
    current: Option<(u64, Slot)>,
    budget: Budget,
    /// True if the full list has been reported.
    full_list_reported: bool,
    /// The members that a first list would replace, and until when a first list that lacks most of them is
    /// held back.
    provisional: BTreeSet<MemberId>,
    held_back_until: Option<f64>,
    /// The number of malformed values when it was last logged.
    malformed_count: usize,
    /// When the next timer fires. Each change postpones the watch timeout, and does not set a timer of its
    /// own.
    timer_at: f64,
    registration: Option<Registration>,
    /// The revision that was stored on disk last, when that was, and whether the keys have changed since.
    stored: (u64, f64, bool),
    /// Keys that have changed since the list was last reported; `None` if all may have.
    changed_keys: Option<Vec<Vec<u8>>>,
}

impl Registry {
    /// Follows the registry of these settings, starting from the known state of the same registry.
    pub fn new(
        settings: &Settings,
        identity: &PoolerIdentity,
        known: KnownState,
        budget: Budget,
        now: f64,
    ) -> Registry {
        let count = settings.endpoints.len();
        let endpoints = Endpoints::new(count, Pacing::default(), identity.seed, now);
        let registration = settings.register.as_ref().map(|prefix| {
            // With another seed than that of the list: the two need not call the same endpoint.
            let endpoints = Endpoints::new(count, Pacing::default(), !identity.seed, now);
            let value = serde_json::json!({"v": 1, "address": identity.listen,
                "version": env!("CARGO_PKG_VERSION"),
                "pid": std::process::id()});
            Registration {
                lease: Lease::new(endpoints, settings.lease_s.into(), settings.call_s),
                key: format!("{prefix}/{}", identity.name).into_bytes(),
                value: value.to_string().into_bytes(),
                token: None,
                current: None,
            }
        });
        let prefix = format!("{}/", settings.prefix).into_bytes();
        Registry {
            settings: settings.clone(),
            dialer: Dialer::new(settings),
            // The first view that is read is stored at once.
            stored: (
                known.view.revision,
                if known.view.revision > 0 { now } else { f64::NEG_INFINITY },
                false,
            ),
            sync: RegistrySync::new(prefix, endpoints, dial::sync_config(settings), known.view),
            members: known.members,
            registration,
            connections: Slots::new(),
            current: None,
            budget,
            full_list_reported: false,
            provisional: known.provisional,
            held_back_until: None,
            malformed_count: 0,
            timer_at: f64::INFINITY,
            changed_keys: Some(Vec::new()),
        }
    }

    /// Returns true if the registry was created with these settings.
    pub fn uses(&self, settings: &Settings) -> bool {
        self.settings == *settings
    }

    /// Returns the known state if the other settings mean the same registry.
    pub fn into_known_state(self, settings: &Settings) -> KnownState {
        let same = self.settings.prefix == settings.prefix && self.settings.endpoints == settings.endpoints;
        if same {
            let (view, provisional) = (self.sync.view().clone(), BTreeSet::new());
            KnownState { view, members: self.members, provisional }
        } else {
            KnownState::default()
        }
    }

    /// Starts following the list, and registers the pooler's own key.
    pub fn start(&mut self, context: &mut Context) {
        if self.sync.view().revision > 0 {
            self.changed_keys = None;
        }
        self.handle_input(Input::Start, context);
        self.handle_lease_input(lease::Input::Time, context);
        self.report_list(context);
    }

    /// The pooler shuts down: removes its own key.
    pub fn deregister(&mut self, context: &mut Context) {
        self.handle_lease_input(lease::Input::Leave, context);
    }

    /// Returns the encoded view if it is due to be stored on disk; postpones that if it cannot be stored now.
    pub fn take_view_to_store(&mut self, now: f64, can_store: bool) -> Option<Vec<u8>> {
        if now < self.store_due_at() {
            return None;
        }
        if !can_store {
            self.stored.1 = now;
            return None;
        }
        let view = self.sync.view();
        self.stored = (view.revision, now, false);
        Some(snapshot::encode(&self.settings.prefix, view))
    }

    /// Returns when the view is due to be stored on disk.
    fn store_due_at(&self) -> f64 {
        let (revision, stored_at, changed) = self.stored;
        match self.sync.view().revision {
            0 => f64::INFINITY,
            _ if changed => stored_at + STORE_INTERVAL,
            now if now != revision => stored_at + PROGRESS_STORE_INTERVAL,
            _ => f64::INFINITY,
        }
    }

    /// The timer has fired.
    pub fn on_timer(&mut self, context: &mut Context) {
        self.timer_at = f64::INFINITY;
        self.handle_input(Input::Time, context);
        self.handle_lease_input(lease::Input::Time, context);
        self.report_list(context);
    }

    fn handle_input(&mut self, input: Input, context: &mut Context) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let (now, mut actions) = (context.reactor.now(), Vec::new());
            self.sync.handle(now, input, &mut actions);
            for action in actions {
                match action {
                    Action::Login(call, endpoint) => {
                        let opened = self.dialer.login_body().and_then(|body| {
                            let expected =
                                Expected::Token(FullResponse::new(MAX_RESPONSE_BYTES, self.budget.charge()));
                            self.open(call, endpoint, wire::AUTHENTICATE, &body, expected, context)
                        });
                        inputs.extend(self.open_failure(call, opened));
                    }
                    Action::Read(call, endpoint, range) => {
                        let expected =
                            Expected::Page(FullResponse::new(MAX_RESPONSE_BYTES, self.budget.charge()));
                        let opened = self.open(call, endpoint, wire::RANGE, &range.body(), expected, context);
                        inputs.extend(self.open_failure(call, opened));
                    }
                    Action::Watch(call, endpoint, revision) => {
                        let prefix = format!("{}/", self.settings.prefix).into_bytes();
                        let body = wire::watch_body(&prefix, &wire::prefix_end(&prefix), revision);
                        let lines = Lines::new(MAX_RESPONSE_BYTES);
                        let expected =
                            Expected::Watch(ResponseReader::default(), lines, self.budget.charge());
                        let opened = self.open(call, endpoint, wire::WATCH, &body, expected, context);
                        inputs.extend(self.open_failure(call, opened));
                    }
                    Action::Close(call) => self.close(call),
                    Action::Changed(Some(keys)) => {
                        self.stored.2 = true;
                        self.changed_keys
                            .iter_mut()
                            .for_each(|changed_keys| changed_keys.extend(keys.clone()))
                    }
                    Action::Changed(None) => (self.stored.2, self.changed_keys) = (true, None),
                    Action::Notice(notice) => self.log_notice(&notice, context),
                }
            }
        }
        self.schedule_timer(context);
    }

    /// Sets a timer for whatever is due first.
    fn schedule_timer(&mut self, context: &mut Context) {
        let lease =
            self.registration.as_ref().map_or(f64::INFINITY, |registration| registration.lease.next_due());
        let held_back_until = self.held_back_until.unwrap_or(f64::INFINITY);
        let due = self.sync.next_due().min(lease).min(self.store_due_at()).min(held_back_until);
        if due < self.timer_at {
            self.timer_at = due;
            context.reactor.set_timer(due, TimerKind::Registry);
        }
    }

    fn handle_lease_input(&mut self, input: lease::Input, context: &mut Context) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(registration) = &mut self.registration else { return };
            if let (lease::Input::Answer(_, Err(Refusal::Unauthenticated)), Some(token)) =
                (&input, &registration.token)
            {
                let denied = Input::TokenRejected(token.clone());
                self.handle_input(denied, context);
            }
            let Some(registration) = &mut self.registration else { return };
            let mut actions = Vec::new();
            registration.lease.handle(context.reactor.now(), input, &mut actions);
            for action in actions {
                let Some(registration) = &mut self.registration else { return };
                match action {
                    lease::Action::Call(call, endpoint, request) => {
                        registration.token = self.sync.token().map(String::from);
                        let (path, body) = match request {
                            LeaseRequest::Grant => {
                                (wire::GRANT, wire::grant_body(self.settings.lease_s.into()))
                            }
                            LeaseRequest::Put(id) => {
                                (wire::PUT, wire::put_body(&registration.key, &registration.value, id))
                            }
                            LeaseRequest::KeepAlive(id) => (wire::KEEP_ALIVE, wire::lease_body(id)),
                            LeaseRequest::Revoke(id) => (wire::REVOKE, wire::lease_body(id)),
                        };
                        let response = FullResponse::new(MAX_RESPONSE_BYTES, self.budget.charge());
                        let expected =
                            Expected::Lease(response, matches!(request, LeaseRequest::KeepAlive(_)));
                        if let Err(fault) = self.open(call, endpoint, path, &body, expected, context) {
                            logging::warn!(event = "registry.call", "{fault}");
                            inputs.push(lease::Input::Disconnected(call));
                        }
                    }
                    lease::Action::Close(call) => {
                        if let Some((_, slot)) = registration.current.take_if(|(current, _)| *current == call)
                        {
                            self.connections.remove(slot);
                        }
                    }
                    lease::Action::Registered => {
                        logging::info!(event = "registry.registered", "the pooler's own key is registered");
                    }
                    lease::Action::Lost(why) => {
                        logging::warn!(
                            event = "registry.unregistered",
                            "the pooler's own key may have been removed: {why}"
                        );
                    }
                }
            }
        }
        self.schedule_timer(context);
    }

    /// Returns the input for the sync state machine if a call could not be made.
    fn open_failure(&self, call: u64, opened: Result<(), String>) -> Option<Input> {
        let fault = opened.err()?;
        logging::warn!(event = "registry.call", "{fault}");
        Some(Input::Disconnected(call))
    }

    /// Calls an endpoint.
    fn open(
        &mut self,
        call: u64,
        endpoint: usize,
        path: &str,
        body: &[u8],
        expected: Expected,
        context: &mut Context,
    ) -> Result<(), String> {
        let is_lease = matches!(expected, Expected::Lease(..));
        let previous = if is_lease {
            self.registration.as_mut().and_then(|registration| registration.current.take())
        } else {
            self.current.take()
        };
        previous.map(|(_, slot)| self.connections.remove(slot));
        let Some(&address) = self.settings.endpoints.get(endpoint) else {
            return Err("no such endpoint".into());
        };
        let with_address = |error: std::io::Error| format!("{address}: {error}");
        let now = context.reactor.now();
        let transport =
            self.dialer.transport_with_request(address, path, body, self.sync.token(), &self.budget, now)?;
        if let Some(warning) = self.dialer.expiry_warning(now) {
            logging::warn!(event = "registry.expiring", "{warning}");
        }
        let stream = TcpStream::connect(address).map_err(with_address)?;
        let slot = self.connections.insert(Connection {
            stream,
            transport,
            expected,
            call,
            address,
            connected: false,
            data_received: false,
            has_unread: false,
        });
        match &mut self.registration {
            Some(registration) if is_lease => registration.current = Some((call, slot)),
            _ => self.current = Some((call, slot)),
        }
        let Some(connection) = self.connections.get_mut(slot) else {
            return Err("connection not found".into());
        };
        let (token, both) = (Source::Registry(slot).into(), Interest::READABLE | Interest::WRITABLE);
        context.reactor.registry.register(&mut connection.stream, token, both).map_err(with_address)
    }

    fn close(&mut self, call: u64) {
        if let Some((_, slot)) = self.current.take_if(|(current, _)| *current == call) {
            self.connections.remove(slot);
        }
    }

    /// Reads the data that has arrived on every connection, even if its event has not been processed.
    pub fn read_pending(&mut self, context: &mut Context) {
        let open: Vec<Slot> = self.connections.iter().map(|(slot, _)| slot).collect();
        open.into_iter().for_each(|slot| self.on_ready(slot, context));
    }

    /// A connection is readable or writable.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let mut received = Vec::new();
        let call = connection.call;
        let result = connection.process(&mut received);
        if connection.has_unread {
            context.reactor.continue_later(Source::Registry(slot));
        }
        if let Err(fault) = result {
            // A connection that was reset has no peer address any more; that it was established is
            // remembered.
            if connection.transport.has_tls() && connection.connected && !connection.data_received {
                let address = connection.address;
                logging::warn!(event = "registry.tls", "{address}: no data received over TLS: {fault}");
                self.dialer.mark_files_stale();
            }
            received.push(match self.current {
                Some((_, current)) if current == slot => Received::Sync(Input::Disconnected(call)),
                _ => Received::Lease(lease::Input::Disconnected(call)),
            });
        }
        for received in received {
            match received {
                Received::Sync(input) => self.handle_input(input, context),
                Received::Lease(input) => {
                    // Such a connection carries only one response.
                    if let Some(registration) = &mut self.registration {
                        let _ = registration.current.take_if(|(_, current)| *current == slot);
                    }
                    self.connections.remove(slot);
                    self.handle_lease_input(input, context);
                }
            }
        }
        self.report_list(context);
    }

    /// Reports the full list at first, and then the changes: once for all that an iteration has brought,
    /// since each report makes the routing policy look at all groups. A burst is reported in as many parts as
    /// it takes iterations.
    fn report_list(&mut self, context: &mut Context) {
        let keys = self.changed_keys.replace(Vec::new());
        if keys.as_ref().is_some_and(Vec::is_empty) {
            return;
        }
        let changes = self.members.update(&self.settings.prefix, self.sync.view(), keys.as_deref());
        let malformed_count = self.members.malformed().count();
        if malformed_count != std::mem::replace(&mut self.malformed_count, malformed_count) {
            for (name, why) in self.members.malformed().take(8) {
                logging::warn!(
                    event = "registry.poisoned",
                    member = name,
                    "malformed value, the previous one stays in use: {why}"
                );
            }
        }
        if !self.full_list_reported && self.holds_back(context.reactor.now()) {
            // The full list is evaluated again, with the changes received by then.
            self.changed_keys = None;
            return self.schedule_timer(context);
        }
        if !std::mem::replace(&mut self.full_list_reported, true) {
            (self.held_back_until, self.provisional) = (None, BTreeSet::new());
            let all = self.members.all().cloned().collect();
            context.events.push_back(Event::ListReceived(ListKind::Full, all));
        } else if !changes.is_empty() {
            context.events.push_back(Event::ListReceived(ListKind::Incremental, changes));
        }
    }

    /// Returns true while a first list is held back, because it lacks most of the provisional members.
    fn holds_back(&mut self, now: f64) -> bool {
        let listed: BTreeSet<&MemberId> = self.members.all().map(|listing| &listing.name).collect();
        let gone = self.provisional.iter().filter(|name| !listed.contains(name)).count();
        let of = self.provisional.len();
        if of < SyncConfig::default().min_keys || gone as f64 <= self.settings.guard_share * of as f64 {
            return false;
        }
        let until = *self.held_back_until.get_or_insert_with(|| {
            logging::error!(
                event = "registry.doubted",
                gone,
                of,
                "the first list lacks {gone} of the {of} members known so far: held back"
            );
            now + self.settings.guard_s
        });
        now < until
    }

    fn log_notice(&mut self, notice: &Notice, context: &mut Context) {
        match notice {
            Notice::Lost(why) => {
                logging::warn!(event = "registry.lost", "the last list stays in use: {why}");
                context.events.push_back(Event::ListReceived(ListKind::Failed, Vec::new()));
            }
            Notice::Following(revision) => {
                logging::info!(event = "registry.following", revision, "the registry is followed");
                context.events.push_back(Event::ListReceived(ListKind::Incremental, Vec::new()));
            }
            Notice::Compacted(revision) => {
                logging::info!(
                    event = "registry.compacted",
                    revision,
                    "revision compacted: reading the full view"
                );
            }
            Notice::Stale(revision) => {
                logging::warn!(event = "registry.stale", revision, "endpoint lags behind: skipped");
            }
            Notice::Doubted(gone, of) => {
                logging::error!(
                    event = "registry.doubted",
                    gone,
                    of,
                    "{gone} of {of} keys would be removed at once: reading them again"
                );
            }
        }
    }

    /// Returns the addresses of the endpoints.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.settings.endpoints
    }
}

impl Connection {
    /// Reads and writes until the socket would block, or a share of what it has is read; appends the input for the
    /// state machines.
    fn process(&mut self, received: &mut Vec<Received>) -> Result<(), String> {
        // A connection that was reset has no peer address any more, though data received before is still
        // readable.
        if !self.connected && self.stream.peer_addr().is_err() {
            return match self.stream.take_error() {
                Ok(None) => Ok(()),
                _ => Err("connection failed".into()),
            };
        }
        self.connected = true;
        self.has_unread = false;
        for _ in 0..MAX_BUFFERS_PER_TURN {
            let fill = self.transport.process_io(&mut self.stream).map_err(|fault| fault.to_string());
            let before = self.transport.inbox.len();
            self.data_received |= before > 0;
            if self.take_responses(received)? {
                return Ok(());
            }
            match fill? {
                Fill::Ended => return Err("connection closed by the endpoint".into()),
                Fill::Drained => return Ok(()),
                Fill::Full if self.transport.inbox.len() == before => return Err("no memory".into()),
                Fill::Full => {}
            }
        }
        self.has_unread = true;
        Ok(())
    }

    /// Takes the complete responses; returns true if no more are expected. The body of an error is processed
    /// like any other response: some errors come with status 200.
    fn take_responses(&mut self, received: &mut Vec<Received>) -> Result<bool, String> {
        let (inbox, call) = (&mut self.transport.inbox, self.call);
        let describe = |fault: http1::Fault| fault.description().to_string();
        match &mut self.expected {
            Expected::Page(response) => {
                let response = response.next(inbox).map_err(describe)?;
                received.extend(
                    response
                        .as_ref()
                        .map(|(_, body)| Received::Sync(Input::Page(call, wire::parse_page(body)))),
                );
                Ok(response.is_some())
            }
            Expected::Token(response) => {
                let response = response.next(inbox).map_err(describe)?;
                received.extend(
                    response
                        .as_ref()
                        .map(|(_, body)| Received::Sync(Input::Token(call, wire::parse_token(body)))),
                );
                Ok(response.is_some())
            }
            Expected::Lease(response, stream) => {
                let response = response.next(inbox).map_err(describe)?;
                let answer = response.as_ref().map(|(_, body)| wire::parse_lease(body.trim_ascii(), *stream));
                received.extend(answer.map(|answer| Received::Lease(lease::Input::Answer(call, answer))));
                Ok(response.is_some())
            }
            Expected::Watch(reader, lines, charge) => {
                while let Some(piece) = reader.next(inbox).map_err(describe)? {
                    match piece {
                        Piece::Head(_) => {}
                        Piece::Body(bytes) => {
                            lines.push(&bytes).map_err(|_| "watch line too long")?;
                            charge.set(lines.buffered_bytes()).map_err(|_| "no memory")?;
                            while let Some(line) = lines.take() {
                                if !line.trim_ascii().is_empty() {
                                    received.push(Received::Sync(Input::WatchMessage(
                                        call,
                                        wire::parse_watch_message(&line),
                                    )));
                                }
                            }
                            let _ = charge.set(lines.buffered_bytes());
                        }
                        Piece::End => {
                            // Guards against a refusal that is lost, since its body need not end with a line
                            // end.
                            let rest = lines.take_rest().filter(|line| !line.trim_ascii().is_empty());
                            received.extend(rest.map(|line| {
                                Received::Sync(Input::WatchMessage(call, wire::parse_watch_message(&line)))
                            }));
                            return Err("watch closed by the endpoint".into());
                        }
                    }
                }
                Ok(false)
            }
        }
    }
}
