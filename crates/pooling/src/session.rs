//! One client's session.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use pgwire::session::{self as wire, Piece};
use pgwire::{error_code, error_response, sqlstate, Message};
use sql::{Change, Control, Kind, Pin, Scan};

use crate::remote::{self, PreparedStatement, ServerSessionState, StatementDigest};
use crate::vars::{Effect, Settings, SettingsTracker};

/// Most statements that a session keeps prepared, and most bytes of their texts.
const MOST_STATEMENTS: usize = 1_000;
const MOST_TEXT: usize = 1024 * 1024;
/// Most bytes of a batch that are held until its end is seen; a longer one is taken for one that writes.
const MOST_HELD: usize = 256 * 1024;
/// The setting by which a session asks for a class.
const CLASS: &str = "dewferry.class";

/// For how long a session keeps a server connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// For a statement; there are no transactions of several.
    Statement,
    /// For a transaction.
    #[default]
    Transaction,
    /// Until it ends.
    Session,
}

/// What a session needs a server for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRequest {
    /// Whether it is known to read only.
    pub read_only: bool,
    /// The leading comment of its first statement.
    pub comment: Option<String>,
    /// The class that the session has asked for.
    pub class: Option<String>,
    /// The application's present name.
    pub application: String,
}

/// What becomes of the server connection that a session lets go of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Another session may have it.
    Reuse,
    /// It has what belongs to this session alone: it is closed.
    Close,
}

/// What the driver is to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this to the client.
    SendToClient(Vec<u8>),
    /// Send this to the server.
    SendToServer(Vec<u8>),
    /// Find a server; tell of it by [`Session::attach`] or [`Session::server_refused`].
    RequestServer(ServerRequest),
    /// The server connection is no longer needed.
    ReleaseServer(Disposition),
    /// End the client's connection once all is sent.
    CloseClient,
}

/// Why a server connection is taken from a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetachReason {
    /// It ended, or told what it must not.
    Lost,
    /// Its server is drained, and the time for open transactions is over.
    Drained,
    /// The client left its transaction idle for too long.
    IdleInTransaction,
    /// A statement took too long.
    StatementTimeout,
}

impl DetachReason {
    fn told(self) -> (&'static str, &'static str) {
        match self {
            DetachReason::Lost => (
                sqlstate::CONNECTION_FAILURE,
                "the server's connection was lost; what the transaction did is undone",
            ),
            DetachReason::Drained => {
                (sqlstate::ADMIN_SHUTDOWN, "the server is drained; what the transaction did is undone")
            }
            DetachReason::IdleInTransaction => (
                sqlstate::IDLE_IN_TRANSACTION_TIMEOUT,
                "the transaction was idle for too long; what it did is undone",
            ),
            DetachReason::StatementTimeout => {
                (sqlstate::QUERY_CANCELED, "the statement took too long; what the transaction did is undone")
            }
        }
    }
}

/// What the server is to answer next.
#[derive(Debug)]
enum Expect {
    /// To what brings it to the session's state.
    Setup,
    /// A ParseComplete, which the client is told of or not; of a statement with a name, or of the one without.
    Parse {
        digest: StatementDigest,
        told: bool,
        named: bool,
    },
    /// A CloseComplete.
    Close {
        told: bool,
    },
    Bind,
    Describe,
    Execute(Effect),
    /// ReadyForQuery behind a batch.
    Sync,
    /// All answers to a simple query; the effects of its statements.
    Query(VecDeque<Effect>),
    /// Nothing: the client has ended its data here.
    DataEnd,
    /// Nothing: this is told once all before it is, with ReadyForQuery behind it or not.
    Local(Vec<u8>, bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Without a server, and without need of one.
    Idle,
    Wanting,
    Attached,
    /// In a transaction whose server is gone, until the client ends it.
    Aborted,
}

/// One client's session.
pub struct Session {
    mode: Mode,
    stage: Stage,
    vars: SettingsTracker,
    class: Option<String>,
    statements: HashMap<String, Rc<PreparedStatement>>,
    text: usize,
    portals: HashMap<String, Rc<PreparedStatement>>,
    remote: ServerSessionState,
    expected: VecDeque<Expect>,
    held: Vec<Message>,
    /// The state of the transaction as the server told it last.
    status: u8,
    /// Whether something has failed since.
    failed: bool,
    /// Whether a batch has begun that no Sync has ended.
    open: bool,
    /// After an error in a batch everything up to Sync is passed over.
    skipping: bool,
    /// In a lost transaction, whether the batch ends it.
    ending: bool,
    /// Why the transaction was lost, until the client is told.
    cut: Option<DetachReason>,
    pins: BTreeSet<Pin>,
    /// What the client knows of the server's settings.
    told: BTreeMap<String, String>,
    denied: bool,
    /// Whether the server takes data of a COPY in a batch, and passes over all else, Sync too.
    copying: bool,
}

impl Session {
    /// A session of these options, whose client was told these settings of the server.
    pub fn new(mode: Mode, start: Settings, told: BTreeMap<String, String>) -> Session {
        Session {
            mode,
            stage: Stage::Idle,
            vars: SettingsTracker::new(start),
            class: None,
            statements: HashMap::new(),
            text: 0,
            portals: HashMap::new(),
            remote: ServerSessionState::default(),
            expected: VecDeque::new(),
            held: Vec::new(),
            status: b'I',
            failed: false,
            open: false,
            skipping: false,
            ending: false,
            cut: None,
            pins: BTreeSet::new(),
            told,
            denied: false,
            copying: false,
        }
    }

    /// Whether the client's next message may be given.
    pub fn accepts_message(&self) -> bool {
        self.stage != Stage::Wanting
    }

    /// Whether it is on a server connection.
    pub fn is_attached(&self) -> bool {
        self.stage == Stage::Attached
    }

    /// Whether it is in a transaction.
    pub fn in_transaction(&self) -> bool {
        self.status != b'I'
    }

    /// Whether the server owes it an answer.
    pub fn awaits_reply(&self) -> bool {
        !self.expected.is_empty()
    }

    /// What binds it to its server connection.
    pub fn pins(&self) -> impl Iterator<Item = Pin> + '_ {
        self.pins.iter().copied()
    }

    /// Whether the server has turned a write away since this was asked last: it is no primary.
    pub fn take_write_denied(&mut self) -> bool {
        std::mem::take(&mut self.denied)
    }

    /// What is known of the connection that was let go of.
    pub fn take_server_state(&mut self) -> ServerSessionState {
        std::mem::take(&mut self.remote)
    }

    /// Its settings as a number: connections that were left with the same need nothing to be brought to them.
    pub fn settings_hash(&self) -> u64 {
        remote::state(self.vars.session_settings())
    }

    /// Takes a message of the client's.
    pub fn handle_client_message(&mut self, message: Message, out: &mut Vec<Action>) {
        if message.kind == b'X' {
            return out.push(Action::CloseClient);
        }
        match self.stage {
            Stage::Idle => self.idle(message, out),
            Stage::Wanting => self.held.push(message),
            Stage::Attached => self.forward(message, out),
            Stage::Aborted => self.aborted(message, out),
        }
    }

    fn idle(&mut self, message: Message, out: &mut Vec<Action>) {
        match message.kind {
            b'S' if self.skipping || self.held.is_empty() => {
                self.skipping = false;
                out.push(Action::SendToClient(wire::ready_for_query(b'I')));
            }
            _ if self.skipping => {}
            b'H' if self.held.is_empty() => {}
            // Of a COPY that is over.
            b'd' | b'c' | b'f' => {}
            b'Q' if self.held.is_empty() => {
                let Some(text) = wire::read_query(&message.body) else { return self.violation(out) };
                let scan = sql::scan(text);
                if scan.statements.is_empty() {
                    return out.push(Action::SendToClient(
                        [wire::empty_message(b'I'), wire::ready_for_query(b'I')].concat(),
                    ));
                }
                if let Some(answer) = self.own(&scan) {
                    return out.push(Action::SendToClient([answer, wire::ready_for_query(b'I')].concat()));
                }
                self.held.push(message);
                self.want(out);
            }
            b'P' | b'B' | b'D' | b'E' | b'C' => {
                self.held.push(message);
                if self.held.iter().map(|message| message.body.len()).sum::<usize>() > MOST_HELD {
                    self.want(out);
                }
            }
            b'Q' | b'S' | b'H' | b'F' => {
                self.held.push(message);
                self.want(out);
            }
            _ => self.violation(out),
        }
    }

    /// Answers to what the session does by itself: asking for a class, or being told that there is no such thing as a
    /// transaction here.
    fn own(&mut self, scan: &Scan) -> Option<Vec<u8>> {
        let [statement] = &scan.statements[..] else {
            return self.begins(scan).then(no_transactions);
        };
        match &statement.kind {
            Kind::Session(Change::Set { name, value, local: false }) if name == CLASS => {
                self.class = Some(value.trim_matches('\'').to_string());
                Some(wire::message_of_strings(b'C', &["SET"], &[]))
            }
            Kind::Session(Change::Reset(name)) if name == CLASS => {
                self.class = None;
                Some(wire::message_of_strings(b'C', &["RESET"], &[]))
            }
            _ => self.begins(scan).then(no_transactions),
        }
    }

    fn begins(&self, scan: &Scan) -> bool {
        let begins = |s: &sql::Statement| matches!(s.kind, Kind::Control(Control::Begin { .. }));
        self.mode == Mode::Statement && scan.statements.iter().any(begins)
    }

    fn violation(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SendToClient(error_response(
            "FATAL",
            sqlstate::PROTOCOL_VIOLATION,
            "malformed message",
            None,
        )));
        out.push(Action::CloseClient);
    }

    fn want(&mut self, out: &mut Vec<Action>) {
        self.stage = Stage::Wanting;
        let mut comment = None;
        // What comes behind a Flush, or behind what is held at most, is not known yet.
        let whole = matches!(self.held.last(), Some(Message { kind: b'Q' | b'S', .. }));
        let mut reads = whole && self.pins.is_empty() && self.mode != Mode::Session;
        let mut parsed: HashMap<&str, Scan> = HashMap::new();
        for message in &self.held {
            let scan = match message.kind {
                b'Q' => wire::read_query(&message.body).map(sql::scan),
                b'P' => wire::read_parse(&message.body).map(|(name, text, _)| {
                    let scan = sql::scan(text);
                    parsed.insert(name, scan.clone());
                    scan
                }),
                b'B' => wire::read_bind(&message.body).and_then(|(_, name, _)| {
                    parsed
                        .get(name)
                        .cloned()
                        .or_else(|| self.statements.get(name).map(|known| known.scan.clone()))
                }),
                b'D' | b'E' | b'C' | b'S' | b'H' => continue,
                _ => None,
            };
            reads &= scan.as_ref().is_some_and(can_run_on_replica);
            comment = comment.or(scan.and_then(|scan| scan.comment));
        }
        let application = self
            .vars
            .session_settings()
            .get("application_name")
            .map(|name| name.trim_matches('\'').to_string());
        let application = application.unwrap_or_default();
        // Asked for by a simple statement of its own, or within a batch like any other setting.
        let set = self.vars.session_settings().get(CLASS).map(|class| class.trim_matches('\'').to_string());
        let class = self.class.clone().or(set);
        out.push(Action::RequestServer(ServerRequest { read_only: reads, comment, class, application }));
    }

    /// There is a server connection; `remote` is what is known of it.
    pub fn attach(&mut self, mut remote: ServerSessionState, out: &mut Vec<Action>) {
        self.stage = Stage::Attached;
        self.vars.attach(std::mem::take(&mut remote.settings));
        self.remote = remote;
        self.bring(out);
        for message in std::mem::take(&mut self.held) {
            self.forward(message, out);
        }
    }

    /// Brings the connection to the session's state, ahead of what follows.
    fn bring(&mut self, out: &mut Vec<Action>) {
        match self.vars.sync_sql() {
            Some(text) => {
                out.push(Action::SendToServer(pgwire::query(text.as_bytes())));
                self.expected.push_back(Expect::Setup);
                self.vars.mark_synchronized();
            }
            None => self.tell(out),
        }
    }

    /// Tells the client what is different in the server's settings from what it knows.
    fn tell(&mut self, out: &mut Vec<Action>) {
        for (name, value) in &self.remote.parameters {
            if self.told.get(name) != Some(value) {
                self.told.insert(name.clone(), value.clone());
                out.push(Action::SendToClient(wire::message_of_strings(b'S', &[name, value], &[])));
            }
        }
    }

    /// No server is to be had; the client is told why.
    pub fn server_refused(&mut self, code: &str, what: &str, detail: Option<&str>, out: &mut Vec<Action>) {
        if self.stage != Stage::Wanting {
            return;
        }
        self.stage = Stage::Idle;
        let held = std::mem::take(&mut self.held);
        out.push(Action::SendToClient(error_response("ERROR", code, what, detail)));
        let ended = matches!(held.last(), Some(Message { kind: b'Q' | b'S' | b'F', .. }));
        self.skipping = !ended;
        if ended {
            out.push(Action::SendToClient(wire::ready_for_query(b'I')));
        }
    }

    /// An error of the session's own in a batch, behind all that was asked before.
    fn fault(&mut self, code: &str, what: &str, out: &mut Vec<Action>) {
        self.skipping = true;
        self.expected.push_back(Expect::Local(error_response("ERROR", code, what, None), false));
        self.advance(out);
    }

    fn local(&mut self, bytes: Vec<u8>, out: &mut Vec<Action>) {
        self.expected.push_back(Expect::Local(bytes, false));
        self.advance(out);
    }

    /// Tells the client what is its turn and needs no server.
    fn advance(&mut self, out: &mut Vec<Action>) {
        while let Some(Expect::Local(..) | Expect::DataEnd) = self.expected.front() {
            let Some(Expect::Local(mut bytes, ready)) = self.expected.pop_front() else { continue };
            if ready {
                bytes.extend(wire::ready_for_query(self.status));
            }
            out.push(Action::SendToClient(bytes));
        }
    }

    fn forward(&mut self, message: Message, out: &mut Vec<Action>) {
        if self.expected.is_empty() && self.status == b'I' && !self.open {
            // What RESET ALL has taken from a session that stays is given back.
            self.bring(out);
        }
        let body = &message.body;
        match message.kind {
            b'S' => {
                (self.open, self.skipping) = (false, false);
                if !self.copying {
                    self.expected.push_back(Expect::Sync);
                }
                out.push(Action::SendToServer(wire::empty_message(b'S')));
            }
            _ if self.skipping => {}
            b'Q' => {
                let Some(text) = wire::read_query(body) else { return self.violation(out) };
                let scan = sql::scan(text);
                if let Some(answer) = self.own(&scan) {
                    self.expected.push_back(Expect::Local(answer, true));
                    return self.advance(out);
                }
                self.pins.extend(scan.statements.iter().flat_map(|statement| statement.pins.iter().copied()));
                let effects = scan.statements.iter().map(|statement| Effect::of(&statement.kind)).collect();
                self.remote.unnamed = None;
                self.open = false;
                self.expected.push_back(Expect::Query(effects));
                out.push(Action::SendToServer(wire::copy_message(&message)));
            }
            b'F' => {
                self.expected.push_back(Expect::Query(VecDeque::new()));
                out.push(Action::SendToServer(wire::copy_message(&message)));
            }
            b'H' => out.push(Action::SendToServer(wire::empty_message(b'H'))),
            // Data of a COPY, as long as one may be under way.
            b'd' | b'c' | b'f'
                if matches!(self.expected.front(), Some(Expect::Query(_) | Expect::Execute(_))) =>
            {
                if message.kind != b'd' {
                    self.copying = false;
                    self.expected.push_back(Expect::DataEnd);
                }
                out.push(Action::SendToServer(wire::copy_message(&message)));
            }
            b'd' | b'c' | b'f' => {}
            b'P' => match wire::read_parse(body) {
                Some((name, text, types)) => self.parse(name, text, types, out),
                None => self.violation(out),
            },
            b'B' => match wire::read_bind(body) {
                Some((portal, name, rest)) => self.bind(portal, name, rest, out),
                None => self.violation(out),
            },
            b'D' | b'C' => match wire::read_target(body) {
                Some((b'S', name)) if message.kind == b'D' => self.describe(name, out),
                Some((b'S', name)) => {
                    self.open = true;
                    if let Some(known) = self.statements.remove(name) {
                        self.text -= known.text.len();
                    }
                    // It stays prepared at the server, where others may use it.
                    self.local(wire::empty_message(b'3'), out);
                }
                Some((_, portal)) => {
                    self.open = true;
                    if message.kind == b'C' {
                        self.portals.remove(portal);
                        self.expected.push_back(Expect::Close { told: true });
                    } else {
                        self.expected.push_back(Expect::Describe);
                    }
                    out.push(Action::SendToServer(wire::copy_message(&message)));
                }
                None => self.violation(out),
            },
            b'E' => match wire::read_execute(body) {
                Some(portal) => {
                    self.open = true;
                    let scan = self.portals.get(portal).map(|prepared| &prepared.scan);
                    let statement = scan.and_then(|scan| scan.statements.first());
                    let effect = statement.map_or(Effect::None, |statement| Effect::of(&statement.kind));
                    self.expected.push_back(Expect::Execute(effect));
                    out.push(Action::SendToServer(wire::copy_message(&message)));
                }
                None => self.violation(out),
            },
            _ => self.violation(out),
        }
    }

    fn parse(&mut self, name: &str, text: &str, types: &[u8], out: &mut Vec<Action>) {
        self.open = true;
        if !name.is_empty() && self.statements.contains_key(name) {
            return self.fault(
                sqlstate::DUPLICATE_STATEMENT,
                &format!("prepared statement \"{name}\" already exists"),
                out,
            );
        }
        let prepared = PreparedStatement::new(text, types);
        let begins = self.begins(&prepared.scan);
        if begins {
            return self.fault(sqlstate::FEATURE_NOT_SUPPORTED, NO_TRANSACTIONS, out);
        }
        if let Some(old) = self.statements.remove(name) {
            self.text -= old.text.len();
        }
        if self.statements.len() >= MOST_STATEMENTS || self.text + text.len() > MOST_TEXT {
            let what = format!("over {MOST_STATEMENTS} prepared statements, or {MOST_TEXT} bytes of them");
            return self.fault(sqlstate::CONFIGURATION_LIMIT_EXCEEDED, &what, out);
        }
        self.text += text.len();
        self.statements.insert(name.to_string(), prepared.clone());
        if name.is_empty() {
            return self.send_unnamed(&prepared, true, out);
        }
        if self.remote.has(&prepared.digest) {
            return self.local(wire::empty_message(b'1'), out);
        }
        self.send_named(&prepared, true, out);
    }

    fn send_unnamed(&mut self, prepared: &PreparedStatement, told: bool, out: &mut Vec<Action>) {
        self.remote.unnamed = Some(prepared.digest);
        self.expected.push_back(Expect::Parse { digest: prepared.digest, told, named: false });
        out.push(Action::SendToServer(wire::message_of_strings(
            b'P',
            &["", &prepared.text],
            &prepared.types,
        )));
    }

    fn send_named(&mut self, prepared: &PreparedStatement, told: bool, out: &mut Vec<Action>) {
        for old in self.remote.add(prepared.digest) {
            self.expected.push_back(Expect::Close { told: false });
            out.push(Action::SendToServer(wire::target_message(b'C', b'S', &remote::name(&old))));
        }
        self.expected.push_back(Expect::Parse { digest: prepared.digest, told, named: true });
        out.push(Action::SendToServer(wire::message_of_strings(
            b'P',
            &[&prepared.name(), &prepared.text],
            &prepared.types,
        )));
    }

    /// Sees to it that a statement is prepared at the server; its name there.
    fn ensure(&mut self, name: &str, out: &mut Vec<Action>) -> Option<(String, Rc<PreparedStatement>)> {
        let Some(prepared) = self.statements.get(name).cloned() else {
            self.fault(
                sqlstate::INVALID_STATEMENT_NAME,
                &format!("prepared statement \"{name}\" does not exist"),
                out,
            );
            return None;
        };
        if name.is_empty() {
            if self.remote.unnamed != Some(prepared.digest) {
                self.send_unnamed(&prepared, false, out);
            }
            return Some((String::new(), prepared));
        }
        if !self.remote.has(&prepared.digest) {
            self.send_named(&prepared, false, out);
        }
        Some((prepared.name(), prepared))
    }

    fn bind(&mut self, portal: &str, name: &str, rest: &[u8], out: &mut Vec<Action>) {
        self.open = true;
        let Some((there, prepared)) = self.ensure(name, out) else { return };
        self.pins
            .extend(prepared.scan.statements.iter().flat_map(|statement| statement.pins.iter().copied()));
        if self.portals.len() >= MOST_STATEMENTS && !self.portals.contains_key(portal) {
            return self.fault(
                sqlstate::CONFIGURATION_LIMIT_EXCEEDED,
                &format!("over {MOST_STATEMENTS} portals"),
                out,
            );
        }
        self.portals.insert(portal.to_string(), prepared);
        self.expected.push_back(Expect::Bind);
        out.push(Action::SendToServer(wire::message_of_strings(b'B', &[portal, &there], rest)));
    }

    fn describe(&mut self, name: &str, out: &mut Vec<Action>) {
        self.open = true;
        let Some((there, _)) = self.ensure(name, out) else { return };
        self.expected.push_back(Expect::Describe);
        out.push(Action::SendToServer(wire::target_message(b'D', b'S', &there)));
    }

    /// Takes what comes from the server.
    pub fn handle_server_piece(&mut self, piece: Piece, out: &mut Vec<Action>) {
        let message = match piece {
            Piece::Part(bytes) => return out.push(Action::SendToClient(bytes)),
            Piece::Message(message) => message,
        };
        let setup = matches!(self.expected.front(), Some(Expect::Setup));
        match message.kind {
            b'S' => {
                if let Some((name, value)) = pgwire::read_parameter_status(&message.body) {
                    self.remote.parameters.insert(name.into(), value.into());
                }
                if !setup {
                    self.tell(out);
                }
            }
            b'A' if !self.pins.contains(&Pin::Listen) => {}
            b'Z' => self.ready(message.body.first().copied().unwrap_or(b'I'), out),
            b'E' if setup => {
                // A setting that the server does not take (any more).
                out.push(Action::SendToClient(error_response(
                    "FATAL",
                    sqlstate::INVALID_PARAMETER_VALUE,
                    &wire::read_error_text(&message.body),
                    None,
                )));
                out.push(Action::ReleaseServer(Disposition::Close));
                self.leave();
                out.push(Action::CloseClient);
            }
            b'E' => self.error(&message, out),
            _ if setup => {}
            kind @ (b'1' | b'2' | b'3') => {
                let told = match (kind, self.expected.front()) {
                    (b'1', Some(Expect::Parse { told, .. })) | (b'3', Some(Expect::Close { told })) => *told,
                    (b'2', Some(Expect::Bind)) => true,
                    _ => return self.foreign(out),
                };
                self.expected.pop_front();
                if told {
                    out.push(Action::SendToClient(wire::empty_message(kind)));
                }
            }
            b'C' => {
                self.complete(wire::read_command_tag(&message.body));
                out.push(Action::SendToClient(wire::copy_message(&message)));
            }
            kind => {
                if kind == b'G' && matches!(self.expected.front(), Some(Expect::Execute(_))) {
                    self.copies();
                }
                let over = match self.expected.front() {
                    Some(Expect::Describe) => matches!(kind, b'T' | b'n'),
                    Some(Expect::Execute(_)) => matches!(kind, b's' | b'I'),
                    _ => false,
                };
                if over {
                    self.expected.pop_front();
                }
                out.push(Action::SendToClient(wire::copy_message(&message)));
            }
        }
        self.advance(out);
    }

    /// The server has told what nobody asked for: nothing on the connection can be relied on any more.
    fn foreign(&mut self, out: &mut Vec<Action>) {
        out.push(Action::ReleaseServer(Disposition::Close));
        self.server_detached(DetachReason::Lost, out);
    }

    /// The server takes data from now on: each Sync that comes before the data's end is passed over there.
    fn copies(&mut self) {
        let end = self.expected.iter().position(|expect| matches!(expect, Expect::DataEnd));
        self.copying = end.is_none();
        let mut at = 0;
        self.expected.retain(|expect| {
            at += 1;
            !matches!(expect, Expect::Sync) || end.is_some_and(|end| at > end)
        });
    }

    /// A statement has run.
    fn complete(&mut self, tag: &str) {
        let effect = match self.expected.front_mut() {
            Some(Expect::Execute(_)) => match self.expected.pop_front() {
                Some(Expect::Execute(effect)) => effect,
                _ => return,
            },
            Some(Expect::Query(effects)) => effects.pop_front().unwrap_or(Effect::None),
            _ => return,
        };
        if matches!(effect, Effect::DiscardAll | Effect::DeallocateAll) {
            self.statements.clear();
            self.text = 0;
            self.remote.forget();
        }
        if effect == Effect::DiscardAll {
            self.portals.clear();
            self.pins.clear();
            self.class = None;
        }
        self.vars.apply(&effect, tag);
    }

    fn error(&mut self, message: &Message, out: &mut Vec<Action>) {
        let (number, _) = error_code(&message.body);
        (self.failed, self.copying) = (true, false);
        self.denied |= number == sqlstate::READ_ONLY_TRANSACTION;
        if number == sqlstate::INVALID_STATEMENT_NAME
            || wire::read_error_text(&message.body).contains("cached plan must not change")
        {
            self.remote.stale();
        }
        out.push(Action::SendToClient(wire::copy_message(message)));
        if matches!(self.expected.front(), None | Some(Expect::Query(_))) {
            return;
        }
        // The server passes over all up to the next Sync.
        while let Some(expect) = self.expected.front() {
            match expect {
                Expect::Sync => return,
                Expect::Parse { digest, named: true, .. } => {
                    let digest = *digest;
                    self.remote.lack(&digest);
                }
                Expect::Parse { .. } => self.remote.unnamed = None,
                _ => {}
            }
            self.expected.pop_front();
        }
        self.skipping = true;
    }

    fn ready(&mut self, status: u8, out: &mut Vec<Action>) {
        match self.expected.front() {
            Some(Expect::Setup) => {
                self.expected.pop_front();
                return self.tell(out);
            }
            Some(Expect::Query(_) | Expect::Sync) => drop(self.expected.pop_front()),
            _ => return self.foreign(out),
        }
        self.status = status;
        let failed = std::mem::take(&mut self.failed);
        if status == b'I' {
            self.vars.end_transaction(failed);
            self.portals.clear();
        }
        out.push(Action::SendToClient(wire::ready_for_query(status)));
        self.advance(out);
        let free = self.status == b'I' && self.expected.is_empty() && !self.open;
        if free && self.pins.is_empty() && self.mode != Mode::Session {
            self.leave();
            out.push(Action::ReleaseServer(Disposition::Reuse));
        }
    }

    /// Is without a server from now on.
    fn leave(&mut self) {
        self.stage = Stage::Idle;
        self.remote.settings = self.vars.detach();
        self.portals.clear();
        self.expected.clear();
        (self.status, self.failed, self.open, self.copying) = (b'I', false, false, false);
    }

    /// The client has left; what becomes of the server connection, where it is on one.
    pub fn client_disconnected(&mut self) -> Option<Disposition> {
        if self.stage != Stage::Attached {
            return None;
        }
        let clean = self.status == b'I' && self.expected.is_empty() && !self.open && self.pins.is_empty();
        self.leave();
        Some(if clean { Disposition::Reuse } else { Disposition::Close })
    }

    /// The server connection is gone, or is taken away. What cannot have run is told as such, and what may have is
    /// not.
    pub fn server_detached(&mut self, cut: DetachReason, out: &mut Vec<Action>) {
        if self.stage != Stage::Attached {
            return;
        }
        let in_transaction = self.in_transaction();
        let commits = |effect: &Effect| *effect == Effect::Commit;
        let (mut points, mut unknown) = (0, false);
        for expect in &self.expected {
            match expect {
                Expect::Query(effects) => {
                    points += 1;
                    // What stands outside of a transaction commits by itself.
                    unknown |= !in_transaction || effects.iter().any(commits);
                }
                Expect::Execute(effect) => unknown |= !in_transaction || commits(effect),
                Expect::Sync => points += 1,
                _ => {}
            }
        }
        let (mut number, mut what) = cut.told();
        if unknown && cut != DetachReason::StatementTimeout {
            (number, what) = (
                sqlstate::TRANSACTION_RESOLUTION_UNKNOWN,
                "the server's connection was lost: what was asked may have run or not",
            );
        }
        let open = self.open && !self.skipping;
        let bound = !self.pins.is_empty();
        let aborted = in_transaction && !unknown;
        self.leave();
        if bound {
            // What bound the session to its connection is lost with it.
            out.push(Action::SendToClient(error_response("FATAL", number, what, None)));
            return out.push(Action::CloseClient);
        }
        if aborted {
            (self.stage, self.status, self.ending) = (Stage::Aborted, b'E', false);
        }
        for _ in 0..points {
            out.push(Action::SendToClient(error_response("ERROR", number, what, None)));
            out.push(Action::SendToClient(wire::ready_for_query(self.status)));
        }
        if open {
            self.skipping = true;
            out.push(Action::SendToClient(error_response("ERROR", number, what, None)));
        } else if points == 0 && aborted {
            self.cut = Some(cut);
        }
    }

    /// In a transaction whose server is gone there is nothing to be done but to end it.
    fn aborted(&mut self, message: Message, out: &mut Vec<Action>) {
        let ends = |scan: &Scan| {
            let first = scan.statements.first().map(|statement| &statement.kind);
            matches!(first, Some(Kind::Control(Control::Commit | Control::Rollback)))
        };
        match message.kind {
            b'Q' if wire::read_query(&message.body).is_some_and(|text| ends(&sql::scan(text))) => {
                out.push(Action::SendToClient(
                    [wire::message_of_strings(b'C', &["ROLLBACK"], &[]), wire::ready_for_query(b'I')]
                        .concat(),
                ));
                self.end_aborted();
            }
            b'S' => {
                self.skipping = false;
                if std::mem::take(&mut self.ending) {
                    self.end_aborted();
                }
                out.push(Action::SendToClient(wire::ready_for_query(self.status)));
            }
            _ if self.skipping => {}
            b'P' if wire::read_parse(&message.body).is_some_and(|(_, text, _)| ends(&sql::scan(text))) => {
                self.ending = true;
                out.push(Action::SendToClient(wire::empty_message(b'1')));
            }
            b'B' if self.ending => out.push(Action::SendToClient(wire::empty_message(b'2'))),
            b'D' if self.ending => out.push(Action::SendToClient(wire::empty_message(b'n'))),
            b'E' if self.ending => {
                out.push(Action::SendToClient(wire::message_of_strings(b'C', &["ROLLBACK"], &[])))
            }
            // Drivers close statements when it suits them; that is no use of the transaction.
            b'C' => out.push(Action::SendToClient(wire::empty_message(b'3'))),
            b'H' | b'd' | b'c' | b'f' => {}
            kind => {
                let aborted = (
                    sqlstate::IN_FAILED_TRANSACTION,
                    "the transaction was lost with its server: ROLLBACK ends it",
                );
                let (number, what) = self.cut.take().map_or(aborted, DetachReason::told);
                out.push(Action::SendToClient(error_response("ERROR", number, what, None)));
                if kind == b'Q' || kind == b'F' {
                    out.push(Action::SendToClient(wire::ready_for_query(b'E')));
                } else {
                    self.skipping = true;
                }
            }
        }
    }

    fn end_aborted(&mut self) {
        (self.stage, self.status, self.cut) = (Stage::Idle, b'I', None);
    }
}

const NO_TRANSACTIONS: &str = "transactions of several statements need pool.mode transaction or session";

fn no_transactions() -> Vec<u8> {
    error_response("ERROR", sqlstate::FEATURE_NOT_SUPPORTED, NO_TRANSACTIONS, None)
}

/// Whether a text may go to a server that takes no writes.
pub fn can_run_on_replica(scan: &Scan) -> bool {
    let read_only = |kind: &Kind| matches!(kind, Kind::Control(Control::Begin { read_only: Some(true) }));
    match &scan.statements[..] {
        [one] if read_only(&one.kind) => true,
        all => all.iter().all(|statement| {
            statement.pins.is_empty()
                && matches!(statement.kind, Kind::Read | Kind::Session(Change::Set { .. }))
        }),
    }
}
