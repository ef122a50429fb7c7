//! The registry's side: one connection at a time to one of its endpoints, for a range or for the watch. What is
//! asked of whom, and what of the answers is believed, is decided by [`registry::RegistrySync`].

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

/// Longest answer to a range, and longest line of a watch (bytes): pages and fragments are far shorter.
const LONGEST: usize = 16 * 1024 * 1024;
/// A view that has changed is kept on disk this often at the most, one that merely stands for a later revision this
/// often (seconds).
const KEEP: f64 = 10.0;
const KEEP_PROGRESS: f64 = 300.0;

/// What is expected of a connection.
enum Taking {
    Page(FullResponse),
    Token(FullResponse),
    /// Line by line, for as long as it lives.
    Watch(ResponseReader, Lines, Charge),
    /// An answer about the pooler's own lease; true where it comes as a stream's line.
    Lease(FullResponse, bool),
}

/// What a connection has heard, for whichever machine called.
enum Heard {
    Sync(Input),
    Lease(lease::Input),
}

struct Conn {
    stream: TcpStream,
    link: Transport,
    taking: Taking,
    /// The number of the call, its machine's.
    call: u64,
    address: SocketAddr,
    /// Whether the connection was made.
    reached: bool,
    /// Whether anything has come that whoever is called must have said.
    heard: bool,
}

/// The pooler's own key in the registry.
struct Own {
    lease: Lease,
    key: Vec<u8>,
    value: Vec<u8>,
    /// The token of the call under way.
    token: Option<String>,
    /// Calls of its own, beside those that follow the list.
    current: Option<(u64, Slot)>,
}

/// What a registry is followed from.
#[derive(Default)]
pub(crate) struct KnownState {
    pub view: View,
    /// Members whose present values cannot be understood, as they were.
    pub members: Members,
    /// The members that stand by another source's word, until this one has told a whole list.
    pub provisional: BTreeSet<MemberId>,
}

/// Who follows it.
pub(crate) struct PoolerIdentity<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub seed: u64,
}

/// Follows the list in a registry.
pub(crate) struct Registry {
    settings: Settings,
    dial: Dialer,
    sync: RegistrySync,
    members: Members,
    conns: Slots<Conn>,
    current: Option<(u64, Slot)>,
    budget: Budget,
    /// Whether the whole list has been told.
    told: bool,
    /// The members that a first list would take the place of, and until when one that lacks most of them is held
    /// back.
    standing: BTreeSet<MemberId>,
    held: Option<f64>,
    /// What could not be understood when last logged.
    poisoned: usize,
    /// When the next timer fires. Each change puts the silence off: not one timer for each of them.
    timer: f64,
    own: Option<Own>,
    /// The revision that was kept on disk last, when, and whether the keys have changed since.
    kept: (u64, f64, bool),
    /// Keys that have changed since the list was last told; none where all may have.
    pending: Option<Vec<Vec<u8>>>,
}

impl Registry {
    /// Follows the registry of these settings, from what is known of the same one.
    pub fn new(
        settings: &Settings,
        who: &PoolerIdentity,
        known: KnownState,
        budget: Budget,
        now: f64,
    ) -> Registry {
        let count = settings.endpoints.len();
        let endpoints = Endpoints::new(count, Pacing::default(), who.seed, now);
        let own = settings.register.as_ref().map(|prefix| {
            // Another draw than that of the list's: the two need not call the same endpoint.
            let endpoints = Endpoints::new(count, Pacing::default(), !who.seed, now);
            let value = serde_json::json!({"v": 1, "address": who.listen, "version": env!("CARGO_PKG_VERSION"),
                "pid": std::process::id()});
            Own {
                lease: Lease::new(endpoints, settings.lease_s.into(), settings.call_s),
                key: format!("{prefix}/{}", who.name).into_bytes(),
                value: value.to_string().into_bytes(),
                token: None,
                current: None,
            }
        });
        let prefix = format!("{}/", settings.prefix).into_bytes();
        Registry {
            settings: settings.clone(),
            dial: Dialer::new(settings),
            // The first view that is read is kept at once.
            kept: (known.view.revision, if known.view.revision > 0 { now } else { f64::NEG_INFINITY }, false),
            sync: RegistrySync::new(prefix, endpoints, dial::sync_config(settings), known.view),
            members: known.members,
            own,
            conns: Slots::new(),
            current: None,
            budget,
            told: false,
            standing: known.provisional,
            held: None,
            poisoned: 0,
            timer: f64::INFINITY,
            pending: Some(Vec::new()),
        }
    }

    /// Whether these settings are the ones that it was made with.
    pub fn uses(&self, settings: &Settings) -> bool {
        self.settings == *settings
    }

    /// What is known of the registry, where other settings still mean the same one.
    pub fn into_known(self, settings: &Settings) -> KnownState {
        let same = self.settings.prefix == settings.prefix && self.settings.endpoints == settings.endpoints;
        if same {
            let (view, standing) = (self.sync.view().clone(), BTreeSet::new());
            KnownState { view, members: self.members, provisional: standing }
        } else {
            KnownState::default()
        }
    }

    /// Begins.
    pub fn start(&mut self, context: &mut Context) {
        if self.sync.view().revision > 0 {
            self.pending = None;
        }
        self.input(Input::Start, context);
        self.lease(lease::Input::Time, context);
        self.tell(context);
    }

    /// The pooler ends: its own key is to go.
    pub fn deregister(&mut self, context: &mut Context) {
        self.lease(lease::Input::Leave, context);
    }

    /// The view as it is to be kept on disk, where it is time for that; put off where it cannot be.
    pub fn take_view_to_store(&mut self, now: f64, can: bool) -> Option<Vec<u8>> {
        if now < self.keep_due() {
            return None;
        }
        if !can {
            self.kept.1 = now;
            return None;
        }
        let view = self.sync.view();
        self.kept = (view.revision, now, false);
        Some(snapshot::encode(&self.settings.prefix, view))
    }

    /// When the view is to be kept on disk.
    fn keep_due(&self) -> f64 {
        let (revision, at, changed) = self.kept;
        match self.sync.view().revision {
            0 => f64::INFINITY,
            _ if changed => at + KEEP,
            now if now != revision => at + KEEP_PROGRESS,
            _ => f64::INFINITY,
        }
    }

    /// Time that was asked for has come.
    pub fn on_timer(&mut self, context: &mut Context) {
        self.timer = f64::INFINITY;
        self.input(Input::Time, context);
        self.lease(lease::Input::Time, context);
        self.tell(context);
    }

    fn input(&mut self, input: Input, context: &mut Context) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let (now, mut actions) = (context.reactor.now(), Vec::new());
            self.sync.handle(now, input, &mut actions);
            for action in actions {
                match action {
                    Action::Login(call, endpoint) => {
                        let opened = self.dial.login_body().and_then(|body| {
                            let taking = Taking::Token(FullResponse::new(LONGEST, self.budget.charge()));
                            self.open(call, endpoint, wire::AUTHENTICATE, &body, taking, context)
                        });
                        inputs.extend(self.opened(call, opened));
                    }
                    Action::Read(call, endpoint, range) => {
                        let taking = Taking::Page(FullResponse::new(LONGEST, self.budget.charge()));
                        let opened = self.open(call, endpoint, wire::RANGE, &range.body(), taking, context);
                        inputs.extend(self.opened(call, opened));
                    }
                    Action::Watch(call, endpoint, revision) => {
                        let prefix = format!("{}/", self.settings.prefix).into_bytes();
                        let body = wire::watch_body(&prefix, &wire::prefix_end(&prefix), revision);
                        let lines = Lines::new(LONGEST);
                        let taking = Taking::Watch(ResponseReader::default(), lines, self.budget.charge());
                        let opened = self.open(call, endpoint, wire::WATCH, &body, taking, context);
                        inputs.extend(self.opened(call, opened));
                    }
                    Action::Close(call) => self.close(call),
                    Action::Changed(Some(keys)) => {
                        self.kept.2 = true;
                        self.pending.iter_mut().for_each(|pending| pending.extend(keys.clone()))
                    }
                    Action::Changed(None) => (self.kept.2, self.pending) = (true, None),
                    Action::Notice(notice) => self.noticed(&notice, context),
                }
            }
        }
        self.wake(context);
    }

    /// Sets a timer for whatever is due first.
    fn wake(&mut self, context: &mut Context) {
        let lease = self.own.as_ref().map_or(f64::INFINITY, |own| own.lease.next_due());
        let held = self.held.unwrap_or(f64::INFINITY);
        let due = self.sync.next_due().min(lease).min(self.keep_due()).min(held);
        if due < self.timer {
            self.timer = due;
            context.reactor.set_timer(due, TimerKind::Registry);
        }
    }

    fn lease(&mut self, input: lease::Input, context: &mut Context) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(own) = &mut self.own else { return };
            if let (lease::Input::Answer(_, Err(Refusal::Unauthenticated)), Some(token)) =
                (&input, &own.token)
            {
                let denied = Input::TokenRejected(token.clone());
                self.input(denied, context);
            }
            let Some(own) = &mut self.own else { return };
            let mut actions = Vec::new();
            own.lease.handle(context.reactor.now(), input, &mut actions);
            for action in actions {
                let Some(own) = &mut self.own else { return };
                match action {
                    lease::Action::Call(call, endpoint, ask) => {
                        own.token = self.sync.token().map(String::from);
                        let (path, body) = match ask {
                            LeaseRequest::Grant => {
                                (wire::GRANT, wire::grant_body(self.settings.lease_s.into()))
                            }
                            LeaseRequest::Put(id) => (wire::PUT, wire::put_body(&own.key, &own.value, id)),
                            LeaseRequest::KeepAlive(id) => (wire::KEEP_ALIVE, wire::lease_body(id)),
                            LeaseRequest::Revoke(id) => (wire::REVOKE, wire::lease_body(id)),
                        };
                        let whole = FullResponse::new(LONGEST, self.budget.charge());
                        let taking = Taking::Lease(whole, matches!(ask, LeaseRequest::KeepAlive(_)));
                        if let Err(fault) = self.open(call, endpoint, path, &body, taking, context) {
                            logging::warn!(event = "registry.call", "{fault}");
                            inputs.push(lease::Input::Disconnected(call));
                        }
                    }
                    lease::Action::Close(call) => {
                        if let Some((_, slot)) = own.current.take_if(|(asked, _)| *asked == call) {
                            self.conns.remove(slot);
                        }
                    }
                    lease::Action::Registered => {
                        logging::info!(
                            event = "registry.registered",
                            "the pooler's own key stands in the registry"
                        );
                    }
                    lease::Action::Lost(why) => {
                        logging::warn!(
                            event = "registry.unregistered",
                            "the pooler's own key may be gone: {why}"
                        );
                    }
                }
            }
        }
        self.wake(context);
    }

    /// What the sync machine is to be told of a call that could not even be made.
    fn opened(&self, call: u64, opened: Result<(), String>) -> Option<Input> {
        let fault = opened.err()?;
        logging::warn!(event = "registry.call", "{fault}");
        Some(Input::Disconnected(call))
    }

    /// Calls an endpoint.
    fn open(
        &mut self,
        call: u64,
        at: usize,
        path: &str,
        body: &[u8],
        taking: Taking,
        context: &mut Context,
    ) -> Result<(), String> {
        let of_lease = matches!(taking, Taking::Lease(..));
        let old =
            if of_lease { self.own.as_mut().and_then(|own| own.current.take()) } else { self.current.take() };
        old.map(|(_, slot)| self.conns.remove(slot));
        let Some(&address) = self.settings.endpoints.get(at) else { return Err("no such endpoint".into()) };
        let named = |error: std::io::Error| format!("{address}: {error}");
        let now = context.reactor.now();
        let link =
            self.dial.transport_with_request(address, path, body, self.sync.token(), &self.budget, now)?;
        if let Some(warning) = self.dial.expiry_warning(now) {
            logging::warn!(event = "registry.expiring", "{warning}");
        }
        let stream = TcpStream::connect(address).map_err(named)?;
        let slot =
            self.conns.insert(Conn { stream, link, taking, call, address, reached: false, heard: false });
        match &mut self.own {
            Some(own) if of_lease => own.current = Some((call, slot)),
            _ => self.current = Some((call, slot)),
        }
        let Some(conn) = self.conns.get_mut(slot) else { return Err("no place".into()) };
        let (token, both) = (Source::Registry(slot).into(), Interest::READABLE | Interest::WRITABLE);
        context.reactor.registry.register(&mut conn.stream, token, both).map_err(named)
    }

    fn close(&mut self, call: u64) {
        if let Some((_, slot)) = self.current.take_if(|(own, _)| *own == call) {
            self.conns.remove(slot);
        }
    }

    /// Takes in what has arrived on every connection, whether or not its event has been taken up.
    pub fn read_pending(&mut self, context: &mut Context) {
        let open: Vec<Slot> = self.conns.iter().map(|(slot, _)| slot).collect();
        open.into_iter().for_each(|slot| self.on_ready(slot, context));
    }

    /// A connection may be read from or written to.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let mut heard = Vec::new();
        let call = conn.call;
        if let Err(fault) = conn.turn(&mut heard) {
            // One that was reset has no peer any more: that it had one is remembered.
            if conn.link.has_tls() && conn.reached && !conn.heard {
                let address = conn.address;
                logging::warn!(event = "registry.tls", "{address}: nothing came over TLS: {fault}");
                self.dial.mark_files_stale();
            }
            heard.push(match self.current {
                Some((_, own)) if own == slot => Heard::Sync(Input::Disconnected(call)),
                _ => Heard::Lease(lease::Input::Disconnected(call)),
            });
        }
        for heard in heard {
            match heard {
                Heard::Sync(input) => self.input(input, context),
                Heard::Lease(input) => {
                    // An answer is all that such a connection is for.
                    if let Some(own) = &mut self.own {
                        let _ = own.current.take_if(|(_, at)| *at == slot);
                    }
                    self.conns.remove(slot);
                    self.lease(input, context);
                }
            }
        }
        self.tell(context);
    }

    /// Tells the list, as a whole at first, then what is different: once for all that a turn has brought, since
    /// each telling costs the decisions a look at all groups. A burst is told in as many pieces as it takes turns.
    fn tell(&mut self, context: &mut Context) {
        let keys = self.pending.replace(Vec::new());
        if keys.as_ref().is_some_and(Vec::is_empty) {
            return;
        }
        let changes = self.members.update(&self.settings.prefix, self.sync.view(), keys.as_deref());
        let poisoned = self.members.malformed().count();
        if poisoned != std::mem::replace(&mut self.poisoned, poisoned) {
            for (name, why) in self.members.malformed().take(8) {
                logging::warn!(event = "registry.poisoned", member = name, "kept as it was: {why}");
            }
        }
        if !self.told && self.holds_back(context.reactor.now()) {
            // All of it is looked at again, with what has come by then.
            self.pending = None;
            return self.wake(context);
        }
        if !std::mem::replace(&mut self.told, true) {
            (self.held, self.standing) = (None, BTreeSet::new());
            let all = self.members.all().cloned().collect();
            context.events.push_back(Event::ListReceived(ListKind::Full, all));
        } else if !changes.is_empty() {
            context.events.push_back(Event::ListReceived(ListKind::Incremental, changes));
        }
    }

    /// Whether a first list is held back for now: it lacks most of the members that stand.
    fn holds_back(&mut self, now: f64) -> bool {
        let listed: BTreeSet<&MemberId> = self.members.all().map(|listing| &listing.name).collect();
        let gone = self.standing.iter().filter(|name| !listed.contains(name)).count();
        let of = self.standing.len();
        if of < SyncConfig::default().min_keys || gone as f64 <= self.settings.guard_share * of as f64 {
            return false;
        }
        let until = *self.held.get_or_insert_with(|| {
            logging::error!(
                event = "registry.doubted",
                gone,
                of,
                "the first list lacks {gone} of the {of} members that stand: held back"
            );
            now + self.settings.guard_s
        });
        now < until
    }

    fn noticed(&mut self, notice: &Notice, context: &mut Context) {
        match notice {
            Notice::Lost(why) => {
                logging::warn!(event = "registry.lost", "the last list holds: {why}");
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
                    "compacted away: a whole view is read"
                );
            }
            Notice::Stale(revision) => {
                logging::warn!(event = "registry.stale", revision, "an endpoint that lags is passed over");
            }
            Notice::Doubted(gone, of) => {
                logging::error!(
                    event = "registry.doubted",
                    gone,
                    of,
                    "{gone} of {of} keys would go at once: asked again"
                );
            }
        }
    }

    /// Where it is followed.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.settings.endpoints
    }
}

impl Conn {
    /// Reads and writes as far as it goes; what the sync machine is to be told.
    fn turn(&mut self, heard: &mut Vec<Heard>) -> Result<(), String> {
        // One that was reset has no peer any more, though what came before is there to be read.
        if !self.reached && self.stream.peer_addr().is_err() {
            return match self.stream.take_error() {
                Ok(None) => Ok(()),
                _ => Err("not reached".into()),
            };
        }
        self.reached = true;
        loop {
            let turned = self.link.process_io(&mut self.stream).map_err(|fault| fault.to_string());
            let before = self.link.inbox.len();
            self.heard |= before > 0;
            if self.take(heard)? {
                return Ok(());
            }
            match turned? {
                Fill::Ended => return Err("ended".into()),
                Fill::Drained => return Ok(()),
                Fill::Full if self.link.inbox.len() == before => return Err("no memory left".into()),
                Fill::Full => {}
            }
        }
    }

    /// Takes what is whole; true where nothing more is to come. What an error's body says is told like any other
    /// answer: some come with status 200.
    fn take(&mut self, heard: &mut Vec<Heard>) -> Result<bool, String> {
        let (inbox, call) = (&mut self.link.inbox, self.call);
        let told = |fault: http1::Fault| fault.description().to_string();
        match &mut self.taking {
            Taking::Page(whole) => {
                let whole = whole.next(inbox).map_err(told)?;
                heard.extend(
                    whole.as_ref().map(|(_, body)| Heard::Sync(Input::Page(call, wire::parse_page(body)))),
                );
                Ok(whole.is_some())
            }
            Taking::Token(whole) => {
                let whole = whole.next(inbox).map_err(told)?;
                heard.extend(
                    whole.as_ref().map(|(_, body)| Heard::Sync(Input::Token(call, wire::parse_token(body)))),
                );
                Ok(whole.is_some())
            }
            Taking::Lease(whole, stream) => {
                let whole = whole.next(inbox).map_err(told)?;
                let answer = whole.as_ref().map(|(_, body)| wire::parse_lease(body.trim_ascii(), *stream));
                heard.extend(answer.map(|answer| Heard::Lease(lease::Input::Answer(call, answer))));
                Ok(whole.is_some())
            }
            Taking::Watch(answer, lines, charge) => {
                while let Some(piece) = answer.next(inbox).map_err(told)? {
                    match piece {
                        Piece::Head(_) => {}
                        Piece::Body(bytes) => {
                            lines.push(&bytes).map_err(|_| "a line too long")?;
                            charge.set(lines.buffered_bytes()).map_err(|_| "no memory left")?;
                            while let Some(line) = lines.take() {
                                if !line.trim_ascii().is_empty() {
                                    heard.push(Heard::Sync(Input::WatchMessage(
                                        call,
                                        wire::parse_watch_message(&line),
                                    )));
                                }
                            }
                            let _ = charge.set(lines.buffered_bytes());
                        }
                        Piece::End => {
                            // Guards against a refusal that is not told: its body need not end with a line end.
                            let rest = lines.take_rest().filter(|line| !line.trim_ascii().is_empty());
                            heard.extend(rest.map(|line| {
                                Heard::Sync(Input::WatchMessage(call, wire::parse_watch_message(&line)))
                            }));
                            return Err("the watch ended".into());
                        }
                    }
                }
                Ok(false)
            }
        }
    }
}
