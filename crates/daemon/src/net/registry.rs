//! The registry's side: one connection at a time to one of its endpoints, for a range or for the watch. What is
//! asked of whom, and what of the answers is believed, is decided by [`registry::Sync`].

use std::net::SocketAddr;

use buffer::{Budget, Fill, Lines, Ring};
use http1::{Answer, Piece, Request};
use mio::net::TcpStream;
use mio::Interest;
use operator::Registry as Settings;
use registry::schema::Members;
use registry::{wire, Action, Endpoints, Guard, Input, Notice, Pace, Sync, View};
use routing::interface::ListKind;

use super::event_loop::{Due, Slot, Slots, Source};
use super::{Context, Event};

/// Longest answer to a range, and longest line of a watch (bytes): pages and fragments are far shorter.
const LONGEST: usize = 16 * 1024 * 1024;

struct Conn {
    stream: TcpStream,
    inbox: Ring,
    outbox: Ring,
    answer: Answer,
    /// The sync machine's number of the call.
    call: u64,
    /// A watch tells line by line, a range is one body.
    watch: bool,
    lines: Lines,
    body: Vec<u8>,
}

/// Follows the list in a registry.
pub(crate) struct Registry {
    settings: Settings,
    sync: Sync,
    members: Members,
    conns: Slots<Conn>,
    current: Option<(u64, Slot)>,
    budget: Budget,
    /// Whether the whole list has been told.
    told: bool,
    /// What could not be understood when last logged.
    poisoned: usize,
    /// When the next timer fires. Each change puts the silence off: not one timer for each of them.
    timer: f64,
    /// Keys that have changed since the list was last told; none where all may have.
    pending: Option<Vec<Vec<u8>>>,
}

impl Registry {
    /// Follows the registry of these settings, from what is known of the same one.
    pub fn new(settings: &Settings, seed: u64, known: View, budget: Budget, now: f64) -> Registry {
        let endpoints = Endpoints::new(settings.endpoints.len(), Pace::default(), seed, now);
        let guard = Guard {
            share: settings.guard_share,
            time: settings.guard_s,
            silence: settings.silence_s,
            call: settings.call_s,
            serializable: settings.serializable,
            ..Guard::default()
        };
        let prefix = format!("{}/", settings.prefix).into_bytes();
        Registry {
            settings: settings.clone(),
            sync: Sync::new(prefix, endpoints, guard, known),
            members: Members::default(),
            conns: Slots::new(),
            current: None,
            budget,
            told: false,
            poisoned: 0,
            timer: f64::INFINITY,
            pending: Some(Vec::new()),
        }
    }

    /// Whether these settings are the ones that it was made with.
    pub fn is_of(&self, settings: &Settings) -> bool {
        self.settings == *settings
    }

    /// What is known of the registry, where other settings still mean the same one.
    pub fn known(&self, settings: &Settings) -> View {
        let same = self.settings.prefix == settings.prefix && self.settings.endpoints == settings.endpoints;
        if same {
            self.sync.view().clone()
        } else {
            View::default()
        }
    }

    /// Begins.
    pub fn start(&mut self, context: &mut Context) {
        if self.sync.view().revision > 0 {
            self.pending = None;
        }
        self.input(Input::Start, context);
        self.tell(context);
    }

    /// Time that was asked for has come.
    pub fn due(&mut self, context: &mut Context) {
        self.timer = f64::INFINITY;
        self.input(Input::Time, context);
        self.tell(context);
    }

    fn input(&mut self, input: Input, context: &mut Context) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let (now, mut actions) = (context.reactor.now(), Vec::new());
            self.sync.handle(now, input, &mut actions);
            for action in actions {
                match action {
                    Action::Read(call, endpoint, range) => {
                        let opened = self.open(call, endpoint, wire::RANGE, &range.body(), false, context);
                        inputs.extend((!opened).then_some(Input::Broken(call)));
                    }
                    Action::Watch(call, endpoint, revision) => {
                        let prefix = format!("{}/", self.settings.prefix).into_bytes();
                        let body = wire::watch(&prefix, &wire::after(&prefix), revision);
                        let opened = self.open(call, endpoint, wire::WATCH, &body, true, context);
                        inputs.extend((!opened).then_some(Input::Broken(call)));
                    }
                    Action::Close(call) => self.close(call),
                    Action::Changed(Some(keys)) => {
                        self.pending.iter_mut().for_each(|pending| pending.extend(keys.clone()))
                    }
                    Action::Changed(None) => self.pending = None,
                    Action::Notice(notice) => self.noticed(&notice, context),
                }
            }
        }
        let due = self.sync.due();
        if due < self.timer {
            self.timer = due;
            context.reactor.timer(due, Due::Registry);
        }
    }

    /// Calls an endpoint; false where there can be no connection.
    fn open(
        &mut self,
        call: u64,
        at: usize,
        path: &str,
        body: &[u8],
        watch: bool,
        context: &mut Context,
    ) -> bool {
        if let Some((old, _)) = self.current {
            self.close(old);
        }
        let Some(&address) = self.settings.endpoints.get(at) else { return false };
        let Ok(stream) = TcpStream::connect(address) else { return false };
        let (inbox, mut outbox) = (Ring::new(&self.budget), Ring::new(&self.budget));
        let host = address.to_string();
        let request =
            Request { method: "POST", target: path, host: &host, json: Some(body), ..Request::default() };
        if outbox.push(&request.bytes()).is_err() {
            return false;
        }
        let (answer, lines, body) = (Answer::default(), Lines::new(LONGEST), Vec::new());
        let slot = self.conns.insert(Conn { stream, inbox, outbox, answer, call, watch, lines, body });
        self.current = Some((call, slot));
        let Some(conn) = self.conns.get_mut(slot) else { return false };
        let (token, both) = (Source::Registry(slot).into(), Interest::READABLE | Interest::WRITABLE);
        context.reactor.registry.register(&mut conn.stream, token, both).is_ok()
    }

    fn close(&mut self, call: u64) {
        if let Some((_, slot)) = self.current.take_if(|(own, _)| *own == call) {
            self.conns.remove(slot);
        }
    }

    /// A connection may be read from or written to.
    pub fn ready(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let mut inputs = Vec::new();
        let call = conn.call;
        if conn.turn(&mut inputs).is_err() {
            inputs.push(Input::Broken(call));
        }
        for input in inputs {
            self.input(input, context);
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
        let changes = self.members.take(&self.settings.prefix, self.sync.view(), keys.as_deref());
        let poisoned = self.members.poisoned().count();
        if poisoned != std::mem::replace(&mut self.poisoned, poisoned) {
            for (name, why) in self.members.poisoned().take(8) {
                logging::warn!(event = "registry.poisoned", member = name, "kept as it was: {why}");
            }
        }
        if !std::mem::replace(&mut self.told, true) {
            let all = self.members.all().cloned().collect();
            context.events.push_back(Event::Members(ListKind::Full, all));
        } else if !changes.is_empty() {
            context.events.push_back(Event::Members(ListKind::Incremental, changes));
        }
    }

    fn noticed(&mut self, notice: &Notice, context: &mut Context) {
        match notice {
            Notice::Lost(why) => {
                logging::warn!(event = "registry.lost", "the last list holds: {why}");
                context.events.push_back(Event::Members(ListKind::Failed, Vec::new()));
            }
            Notice::Following(revision) => {
                logging::info!(event = "registry.following", revision, "the registry is followed");
                context.events.push_back(Event::Members(ListKind::Incremental, Vec::new()));
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
    fn turn(&mut self, inputs: &mut Vec<Input>) -> Result<(), ()> {
        if self.stream.peer_addr().is_err() {
            return match self.stream.take_error() {
                Ok(None) => Ok(()),
                _ => Err(()),
            };
        }
        self.outbox.drain(&mut self.stream).map_err(drop)?;
        loop {
            let fill = self.inbox.fill(&mut self.stream).map_err(drop)?;
            let before = self.inbox.len();
            while let Some(piece) = self.answer.next(&mut self.inbox).map_err(drop)? {
                match piece {
                    // What an error's body says is told like any other answer: some come with status 200.
                    Piece::Head(_) => {}
                    Piece::Body(bytes) if self.watch => {
                        self.lines.push(&bytes).map_err(drop)?;
                        while let Some(line) = self.lines.take() {
                            if !line.trim_ascii().is_empty() {
                                inputs.push(Input::Told(self.call, wire::told(&line)));
                            }
                        }
                    }
                    Piece::Body(bytes) => {
                        if self.body.len() + bytes.len() > LONGEST {
                            return Err(());
                        }
                        self.body.extend(bytes);
                    }
                    Piece::End if self.watch => return Err(()),
                    Piece::End => {
                        let page = wire::page(&std::mem::take(&mut self.body));
                        inputs.push(Input::Page(self.call, page));
                        return Ok(());
                    }
                }
            }
            match fill {
                Fill::Ended => return Err(()),
                Fill::Drained => return Ok(()),
                Fill::Full if self.inbox.len() == before => return Err(()),
                Fill::Full => {}
            }
        }
    }
}
