//! The state machine of one client's session.

mod loss;
mod lost_transaction;
mod server_replies;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use pgwire::session as wire;
use pgwire::{error_response, sqlstate, Message};
use sql::{Change, Control, Kind, Pin, Scan};

use crate::expected::{ExpectedReply, PendingStatement};
use crate::owed::Owed;
use crate::prepared::{PreparedError, PreparedObjects};
use crate::server_state::{self, PreparedStatement, ServerSessionState, StatementDigest};
use crate::settings::{Effect, Settings, SettingsTracker};
use crate::stateless::StatelessFunctions;

/// Maximum memory of a batch that is queued until its end arrives (bytes). A longer batch is treated as one
/// that writes.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Memory that a short allocation takes (bytes).
const MIN_ALLOCATION_BYTES: usize = 32;
/// The setting with which a session selects a class.
const CLASS_SETTING: &str = "dewferry.class";

pub use loss::DetachReason;

/// How long a session keeps a server connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// For one statement; multi-statement transactions are rejected.
    Statement,
    /// For one transaction.
    #[default]
    Transaction,
    /// Until the session ends.
    Session,
}

/// A session's request for a server connection, with what routing depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRequest {
    /// Whether the request is known to be read-only.
    pub read_only: bool,
    /// The leading comment of the first text that has one.
    pub comment: Option<String>,
    /// The class that the session has selected.
    pub class: Option<String>,
    /// The current `application_name`; empty where none is set.
    pub application: String,
}

/// What happens to a server connection that a session releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Another session may use it.
    Reuse,
    /// Another session may use it once the server has discarded this session's state (`DISCARD ALL`).
    Reset,
    /// It holds state of this session and must be closed.
    Close,
}

/// An action that the driver must perform; actions are performed in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send these bytes to the client.
    SendToClient(Vec<u8>),
    /// Send these bytes to the server.
    SendToServer(Vec<u8>),
    /// Find a server connection, then call [`Session::attach`] or [`Session::server_refused`].
    RequestServer(ServerRequest),
    /// Take back the server connection.
    ReleaseServer(Disposition),
    /// Close the client's connection once all data has been sent.
    CloseClient,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Has no server connection and needs none.
    Idle,
    /// Waits for the server connection that it has requested.
    Waiting,
    Attached,
    /// In a transaction whose server connection is lost, until the client ends the transaction.
    Aborted,
}

/// One client's session.
pub struct Session {
    mode: Mode,
    stage: Stage,
    settings: SettingsTracker,
    /// The class selected by `SET dewferry.class` as a statement of its own.
    class: Option<String>,
    prepared: PreparedObjects,
    server_state: ServerSessionState,
    owed: Owed,
    /// Whether the server was asked for the replies of a batch that has no end yet, since too many are expected.
    flush_sent: bool,
    /// Messages that wait for a server connection, and the memory that they take (bytes).
    queued: Vec<Message>,
    queued_bytes: usize,
    /// Transaction status of the server's last ReadyForQuery.
    status: u8,
    /// Whether an error has arrived since then.
    failed: bool,
    /// Why the transaction was lost, until the client has received the error.
    detach_reason: Option<DetachReason>,
    /// Functions that leave nothing in the session, by the operator's word.
    stateless_functions: Rc<StatelessFunctions>,
    /// State that binds the session to its server connection, left by statements whose replies have ended.
    pins: BTreeSet<Pin>,
    /// Server settings last reported to the client.
    reported: BTreeMap<String, String>,
    /// Whether the server has rejected a write since `take_write_denied` was called last.
    write_denied: bool,
    /// Whether the client has received only a part of a server's message. Anything but the rest of that
    /// message would be taken for it.
    within_message: bool,
}

impl Session {
    /// Creates a session that starts with the settings `start`, whose client has received the server settings
    /// `reported`.
    pub fn new(mode: Mode, start: Settings, reported: BTreeMap<String, String>) -> Session {
        Session {
            mode,
            stage: Stage::Idle,
            settings: SettingsTracker::new(start),
            class: None,
            prepared: PreparedObjects::default(),
            server_state: ServerSessionState::default(),
            owed: Owed::default(),
            flush_sent: false,
            queued: Vec::new(),
            queued_bytes: 0,
            status: b'I',
            failed: false,
            detach_reason: None,
            stateless_functions: Rc::default(),
            pins: BTreeSet::new(),
            reported,
            write_denied: false,
            within_message: false,
        }
    }

    /// Sets the functions whose calls do not bind the session to its server connection.
    pub fn with_stateless_functions(self, stateless_functions: Rc<StatelessFunctions>) -> Session {
        Session { stateless_functions, ..self }
    }

    /// Returns true if the client's next message may be passed in.
    pub fn accepts_message(&self) -> bool {
        self.stage != Stage::Waiting && !self.owed.replies.is_full()
    }

    /// Returns the memory that the session takes for what its client has sent (bytes).
    pub fn memory(&self) -> usize {
        self.queued_bytes + self.owed.replies.memory() + self.prepared.memory() + self.settings.memory()
    }

    /// Returns true if the session has a server connection.
    pub fn is_attached(&self) -> bool {
        self.stage == Stage::Attached
    }

    /// Returns true if the session is in a transaction.
    pub fn in_transaction(&self) -> bool {
        self.status != b'I'
    }

    /// Returns true if the client's next message would begin a new request: it is in no transaction, and in no
    /// batch but one whose rest is skipped.
    pub fn is_between_requests(&self) -> bool {
        let in_batch = self.owed.is_in_batch() && !self.owed.is_skipping();
        let busy = in_batch || self.owed.is_copying() || self.within_message;
        self.status == b'I' && !busy && self.queued.is_empty()
    }

    /// Returns true if replies are pending, and the session releases its server connection once it has them. A batch
    /// that has failed is no such: the server answers once the client has sent its Sync.
    pub fn releases_when_answered(&self) -> bool {
        let is_answered = self.stage == Stage::Attached && self.awaits_reply() && !self.owed.is_skipping();
        is_answered && self.mode != Mode::Session && self.pins().is_empty()
    }

    /// Returns true if replies are pending.
    pub fn awaits_reply(&self) -> bool {
        !self.owed.replies.is_empty()
    }

    /// Returns true if the client has received only a part of a server's message: it can be sent nothing but
    /// the rest of that message, or the end of its connection.
    pub fn is_within_message(&self) -> bool {
        self.within_message
    }

    /// Returns the reasons that bind the session to its server connection, including those of statements whose
    /// replies are pending.
    pub fn pins(&self) -> BTreeSet<Pin> {
        let mut pins = self.pins.clone();
        for reply in self.owed.replies.iter() {
            match reply {
                ExpectedReply::Execute(statement) => pins.extend(&statement.pins),
                ExpectedReply::Query(statements) => {
                    pins.extend(statements.iter().flat_map(|statement| &statement.pins))
                }
                _ => {}
            }
        }
        pins
    }

    /// Returns true if the server has rejected a write since the last call, and so is not the primary.
    pub fn take_write_denied(&mut self) -> bool {
        std::mem::take(&mut self.write_denied)
    }

    /// Takes the tracked state of the released connection.
    pub fn take_server_state(&mut self) -> ServerSessionState {
        std::mem::take(&mut self.server_state)
    }

    /// Returns a hash of the session's settings. A connection released with the same hash needs no
    /// synchronization.
    pub fn settings_hash(&self) -> u64 {
        server_state::settings_hash(self.settings.session_settings())
    }

    /// Handles a message from the client.
    pub fn handle_client_message(&mut self, message: Message, out: &mut Vec<Action>) {
        if message.kind == b'X' {
            return out.push(Action::CloseClient);
        }
        if self.within_message && self.stage != Stage::Attached {
            // The rest of the server's message is lost, and the client's connection is being closed.
            return;
        }
        match self.stage {
            Stage::Idle => self.handle_idle(message, out),
            Stage::Waiting => self.enqueue(message),
            Stage::Attached => {
                self.handle_attached(message, out);
                self.flush_long_batch(out);
            }
            Stage::Aborted => self.handle_in_lost_transaction(message, out),
        }
    }

    /// Adds a message to those that wait for a server connection.
    fn enqueue(&mut self, message: Message) {
        self.queued_bytes += size_of::<Message>() + MIN_ALLOCATION_BYTES.max(message.body.len());
        self.queued.push(message);
    }

    /// Takes the messages that wait for a server connection.
    fn take_queued(&mut self) -> Vec<Message> {
        self.queued_bytes = 0;
        std::mem::take(&mut self.queued)
    }

    /// Asks the server for the replies to a batch that has no end yet and is not continued before they come.
    fn flush_long_batch(&mut self, out: &mut Vec<Action>) {
        let waits = self.owed.replies.is_full() && self.owed.is_in_batch() && !self.owed.is_copying();
        if waits && !self.flush_sent {
            out.push(Action::SendToServer(wire::empty_message(b'H')));
        }
        self.flush_sent = waits;
    }

    /// Handles a client message while the session has no server connection.
    fn handle_idle(&mut self, message: Message, out: &mut Vec<Action>) {
        match message.kind {
            b'S' if self.owed.is_skipping() || self.queued.is_empty() => {
                self.owed.end_batch();
                out.push(Action::SendToClient(wire::ready_for_query(b'I')));
            }
            _ if self.owed.is_skipping() => {}
            b'H' if self.queued.is_empty() => {}
            // Data of a COPY that has already ended.
            b'd' | b'c' | b'f' if self.queued.is_empty() => {}
            b'Q' if self.queued.is_empty() => {
                self.owed.end_batch();
                let Some(text) = wire::read_query(&message.body) else { return self.protocol_violation(out) };
                let scan = sql::scan(text);
                if scan.statements.is_empty() {
                    return out.push(Action::SendToClient(
                        [wire::empty_message(b'I'), wire::ready_for_query(b'I')].concat(),
                    ));
                }
                if let Some(answer) = self.answer_locally(&scan) {
                    return out.push(Action::SendToClient([answer, wire::ready_for_query(b'I')].concat()));
                }
                self.enqueue(message);
                self.request_server(out);
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'd' | b'c' | b'f' => {
                self.enqueue(message);
                if self.queued_bytes > MAX_QUEUED_BYTES {
                    self.request_server(out);
                }
            }
            b'Q' | b'S' | b'H' | b'F' => {
                self.enqueue(message);
                self.request_server(out);
            }
            _ => self.protocol_violation(out),
        }
    }

    /// Returns the reply to a statement that needs no server: one that selects a class, or one that begins a
    /// transaction where the mode permits none.
    fn answer_locally(&mut self, scan: &Scan) -> Option<Vec<u8>> {
        let [statement] = &scan.statements[..] else {
            return self.begins_forbidden_transaction(scan).then(no_transactions_error);
        };
        match &statement.kind {
            Kind::Session(Change::Set { name, value, local: false }) if name == CLASS_SETTING => {
                self.class = Some(value.trim_matches('\'').to_string());
                Some(wire::message_of_strings(b'C', &["SET"], &[]))
            }
            Kind::Session(Change::Reset(name)) if name == CLASS_SETTING => {
                self.class = None;
                Some(wire::message_of_strings(b'C', &["RESET"], &[]))
            }
            _ => self.begins_forbidden_transaction(scan).then(no_transactions_error),
        }
    }

    /// Returns true if a statement begins a transaction and the mode permits none.
    fn begins_forbidden_transaction(&self, scan: &Scan) -> bool {
        let begins = |s: &sql::Statement| matches!(s.kind, Kind::Control(Control::Begin { .. }));
        self.mode == Mode::Statement && scan.statements.iter().any(begins)
    }

    fn protocol_violation(&mut self, out: &mut Vec<Action>) {
        self.end_with_error(sqlstate::PROTOCOL_VIOLATION, "malformed message", out);
    }

    /// Ends the client's connection, with an error unless the client is within a message of the server.
    pub fn end_with_error(&mut self, code: &str, text: &str, out: &mut Vec<Action>) {
        if !self.within_message {
            out.push(Action::SendToClient(error_response("FATAL", code, text, None)));
        }
        out.push(Action::CloseClient);
    }

    /// Requests a server connection for the queued messages.
    fn request_server(&mut self, out: &mut Vec<Action>) {
        self.stage = Stage::Waiting;
        let mut comment = None;
        // Messages that follow a Flush, or the maximum that is queued, are not known yet.
        let complete = matches!(self.queued.last(), Some(Message { kind: b'Q' | b'S', .. }));
        let mut read_only = complete && self.pins.is_empty() && self.mode != Mode::Session;
        let mut parsed: HashMap<&str, Scan> = HashMap::new();
        for message in &self.queued {
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
                        .or_else(|| self.prepared.statement(name).map(|known| known.scan.clone()))
                }),
                b'D' | b'E' | b'C' | b'S' | b'H' => continue,
                _ => None,
            };
            read_only &= scan.as_ref().is_some_and(can_run_on_replica);
            comment = comment.or(scan.and_then(|scan| scan.comment));
        }
        let application = self
            .settings
            .session_settings()
            .get("application_name")
            .map(|name| name.trim_matches('\'').to_string());
        let application = application.unwrap_or_default();
        // The class is selected by a simple statement of its own, or in a batch like any other setting.
        let set = self
            .settings
            .session_settings()
            .get(CLASS_SETTING)
            .map(|class| class.trim_matches('\'').to_string());
        let class = self.class.clone().or(set);
        out.push(Action::RequestServer(ServerRequest { read_only, comment, class, application }));
    }

    /// Attaches the session to a server connection with this tracked state.
    pub fn attach(&mut self, mut server_state: ServerSessionState, out: &mut Vec<Action>) {
        self.stage = Stage::Attached;
        self.settings.attach(std::mem::take(&mut server_state.settings));
        self.server_state = server_state;
        self.synchronize(out);
        for message in self.take_queued() {
            self.handle_attached(message, out);
        }
        self.flush_long_batch(out);
    }

    /// Sends the SQL that changes the connection's settings to the session's, ahead of further messages.
    fn synchronize(&mut self, out: &mut Vec<Action>) {
        match self.settings.sync_sql() {
            Some(text) => {
                out.push(Action::SendToServer(pgwire::query(text.as_bytes())));
                self.owed.replies.push_back(ExpectedReply::Setup);
                self.settings.mark_synchronized();
            }
            None => self.report_parameters(out),
        }
    }

    /// Reports the server settings that differ from those last reported to the client.
    fn report_parameters(&mut self, out: &mut Vec<Action>) {
        for (name, value) in &self.server_state.parameters {
            if self.reported.get(name) != Some(value) {
                self.reported.insert(name.clone(), value.clone());
                out.push(Action::SendToClient(wire::message_of_strings(b'S', &[name, value], &[])));
            }
        }
    }

    /// Handles that no server connection is available: the client receives this error.
    pub fn server_refused(&mut self, code: &str, text: &str, detail: Option<&str>, out: &mut Vec<Action>) {
        if self.stage != Stage::Waiting {
            return;
        }
        self.stage = Stage::Idle;
        let queued = self.take_queued();
        out.push(Action::SendToClient(error_response("ERROR", code, text, detail)));
        let ended = matches!(queued.last(), Some(Message { kind: b'Q' | b'S' | b'F', .. }));
        if ended {
            self.owed.end_batch();
            out.push(Action::SendToClient(wire::ready_for_query(b'I')));
        } else {
            self.owed.skip_batch();
        }
    }

    /// Answers a message of a batch with an error of the session itself, after the replies that are pending.
    fn reply_error(&mut self, code: &str, text: &str, out: &mut Vec<Action>) {
        self.owed.skip_batch();
        self.owed.replies.push_back(ExpectedReply::LocalError(error_response("ERROR", code, text, None)));
        self.send_local_replies(out);
    }

    /// Answers a message of a batch without the server, after the replies that are pending.
    fn reply_locally(&mut self, bytes: Vec<u8>, out: &mut Vec<Action>) {
        self.owed.replies.push_back(ExpectedReply::LocalReply(bytes));
        self.send_local_replies(out);
    }

    /// Sends the session's own replies that no server reply precedes any more.
    fn send_local_replies(&mut self, out: &mut Vec<Action>) {
        while let Some(reply) = self.owed.replies.pop_front_local() {
            let bytes = match reply {
                ExpectedReply::LocalReply(bytes) | ExpectedReply::LocalError(bytes) => bytes,
                ExpectedReply::LocalAnswer(bytes) => [bytes, wire::ready_for_query(self.status)].concat(),
                _ => continue,
            };
            out.push(Action::SendToClient(bytes));
        }
    }

    /// Handles a client message while the session has a server connection.
    fn handle_attached(&mut self, message: Message, out: &mut Vec<Action>) {
        if self.owed.is_settled() && self.status == b'I' {
            // A session that keeps its connection is synchronized again after a RESET ALL.
            self.synchronize(out);
        }
        let body = &message.body;
        match message.kind {
            b'S' => {
                self.owed.sync_sent();
                out.push(Action::SendToServer(wire::empty_message(b'S')));
                if self.owed.needs_empty_query() {
                    self.send_empty_query(out);
                }
            }
            // Whether the server skips it as well depends on whether it has ignored a Sync.
            b'P' | b'B' | b'D' | b'E' | b'C' | b'Q' | b'F'
                if self.owed.is_skipping() && self.owed.is_ambiguous() =>
            {
                self.end_unresolved(out);
            }
            _ if self.owed.is_skipping() => {}
            b'Q' => {
                let Some(text) = wire::read_query(body) else { return self.protocol_violation(out) };
                let scan = sql::scan(text);
                if let Some(answer) = self.answer_locally(&scan) {
                    self.owed.replies.push_back(ExpectedReply::LocalAnswer(answer));
                    return self.send_local_replies(out);
                }
                let statements = scan.statements.iter().map(|statement| self.pending_statement(statement));
                let statements = statements.collect();
                self.server_state.unnamed = None;
                self.owed.query_sent(statements);
                out.push(Action::SendToServer(wire::copy_message(&message)));
            }
            b'F' => {
                // The function is given by a number, which tells nothing of it.
                let call = PendingStatement { effect: Effect::None, pins: vec![Pin::Unknown] };
                self.owed.query_sent(VecDeque::from([call]));
                out.push(Action::SendToServer(wire::copy_message(&message)));
            }
            b'H' => out.push(Action::SendToServer(wire::empty_message(b'H'))),
            // Data of a COPY that is in progress, or may be begun by what the client has sent ahead of it. Data of none
            // is ignored by the server.
            b'd' | b'c' | b'f' if !self.owed.replies.is_empty() => {
                if message.kind != b'd' {
                    self.owed.data_end_sent();
                }
                out.push(Action::SendToServer(wire::copy_message(&message)));
            }
            b'd' | b'c' | b'f' => {}
            b'P' => match wire::read_parse(body) {
                Some((name, text, types)) => self.parse(name, text, types, out),
                None => self.protocol_violation(out),
            },
            b'B' => match wire::read_bind(body) {
                Some((portal, name, rest)) => self.bind(portal, name, rest, out),
                None => self.protocol_violation(out),
            },
            b'D' | b'C' => match wire::read_target(body) {
                Some((b'S', name)) if message.kind == b'D' => self.describe(name, out),
                Some((b'S', name)) => {
                    self.owed.begin_batch();
                    self.prepared.remove_statement(name);
                    // It stays prepared on the server, where other sessions may use it.
                    self.reply_locally(wire::empty_message(b'3'), out);
                }
                Some((_, portal)) => {
                    self.owed.begin_batch();
                    if message.kind == b'C' {
                        self.prepared.remove_portal(portal);
                        self.owed.replies.push_back(ExpectedReply::Close);
                    } else {
                        self.owed.replies.push_back(ExpectedReply::Describe);
                    }
                    out.push(Action::SendToServer(wire::copy_message(&message)));
                }
                None => self.protocol_violation(out),
            },
            b'E' => match wire::read_execute(body) {
                Some(portal) => {
                    self.owed.begin_batch();
                    let pending = self.pending_execution(portal);
                    self.owed.replies.push_back(ExpectedReply::Execute(pending));
                    out.push(Action::SendToServer(wire::copy_message(&message)));
                }
                None => self.protocol_violation(out),
            },
            _ => self.protocol_violation(out),
        }
    }

    /// Returns the statement of a portal that is being executed. One that is not known may be an SQL cursor, or
    /// may have been bound before the reply to an earlier batch ended all portals.
    fn pending_execution(&self, portal: &str) -> PendingStatement {
        match self.prepared.portal(portal) {
            Some(prepared) => {
                let statement = prepared.scan.statements.first();
                statement.map(|statement| self.pending_statement(statement)).unwrap_or_default()
            }
            None => PendingStatement { effect: Effect::None, pins: vec![Pin::Unknown] },
        }
    }

    /// Returns a statement that is being sent, with what it will leave in the server's session.
    fn pending_statement(&self, statement: &sql::Statement) -> PendingStatement {
        let mut pins = statement.pins.clone();
        if !self.stateless_functions.contain_all(&statement.unknown_functions) {
            pins.push(Pin::Unknown);
        }
        PendingStatement { effect: Effect::of(&statement.kind), pins }
    }

    fn parse(&mut self, name: &str, text: &str, types: &[u8], out: &mut Vec<Action>) {
        self.owed.begin_batch();
        let prepared = match self.add_statement(name, text, types) {
            Ok(prepared) => prepared,
            Err(PreparedError { code, text }) => return self.reply_error(code, &text, out),
        };
        if name.is_empty() || self.is_uncertain(&prepared.digest) {
            return self.send_unnamed(&prepared, true, out);
        }
        if self.server_state.is_prepared(&prepared.digest) {
            return self.reply_locally(wire::empty_message(b'1'), out);
        }
        self.send_named(&prepared, true, out);
    }

    /// Adds a statement to those that the session has prepared.
    fn add_statement(
        &mut self,
        name: &str,
        text: &str,
        types: &[u8],
    ) -> Result<Rc<PreparedStatement>, PreparedError> {
        self.prepared.check_name(name)?;
        let prepared = PreparedStatement::new(text, types);
        if self.begins_forbidden_transaction(&prepared.scan) {
            let text = NO_TRANSACTIONS.to_string();
            return Err(PreparedError { code: sqlstate::FEATURE_NOT_SUPPORTED, text });
        }
        self.prepared.add_statement(name, &prepared)?;
        Ok(prepared)
    }

    /// Returns true if a statement is being prepared in an earlier batch, which may fail without the current one.
    fn is_uncertain(&self, digest: &StatementDigest) -> bool {
        self.server_state.is_unconfirmed(digest) && self.owed.replies.earlier_batch_contains_parse(digest)
    }

    fn send_unnamed(&mut self, prepared: &PreparedStatement, forward: bool, out: &mut Vec<Action>) {
        self.server_state.unnamed = Some(prepared.digest);
        self.owed.replies.push_back(ExpectedReply::Parse { digest: prepared.digest, forward, named: false });
        out.push(Action::SendToServer(wire::message_of_strings(
            b'P',
            &["", &prepared.text],
            &prepared.types,
        )));
    }

    fn send_named(&mut self, prepared: &PreparedStatement, forward: bool, out: &mut Vec<Action>) {
        for old in self.server_state.add_statement(prepared.digest) {
            self.owed.replies.push_back(ExpectedReply::CloseStatement(old));
            out.push(Action::SendToServer(wire::target_message(
                b'C',
                b'S',
                &server_state::server_name(&old),
            )));
        }
        self.owed.replies.push_back(ExpectedReply::Parse { digest: prepared.digest, forward, named: true });
        out.push(Action::SendToServer(wire::message_of_strings(
            b'P',
            &[&prepared.name(), &prepared.text],
            &prepared.types,
        )));
    }

    /// Prepares a statement on the server unless it is prepared there. Returns its name on the server, and
    /// the statement.
    fn ensure_prepared(
        &mut self,
        name: &str,
        out: &mut Vec<Action>,
    ) -> Option<(String, Rc<PreparedStatement>)> {
        let Some(prepared) = self.prepared.statement(name).cloned() else {
            self.reply_error(
                sqlstate::INVALID_STATEMENT_NAME,
                &format!("prepared statement \"{name}\" does not exist"),
                out,
            );
            return None;
        };
        if name.is_empty() || self.is_uncertain(&prepared.digest) {
            self.ensure_unnamed(&prepared, out);
            return Some((String::new(), prepared));
        }
        if !self.server_state.is_prepared(&prepared.digest) {
            self.send_named(&prepared, false, out);
        }
        Some((prepared.name(), prepared))
    }

    /// Makes a statement the unnamed one on the server, unless it is that whatever becomes of earlier batches.
    fn ensure_unnamed(&mut self, prepared: &PreparedStatement, out: &mut Vec<Action>) {
        let is_current = self.server_state.unnamed == Some(prepared.digest);
        if !is_current || self.owed.replies.last_unnamed_parse_is_of_earlier_batch() {
            self.send_unnamed(prepared, false, out);
        }
    }

    fn bind(&mut self, portal: &str, name: &str, rest: &[u8], out: &mut Vec<Action>) {
        self.owed.begin_batch();
        let Some((server_name, prepared)) = self.ensure_prepared(name, out) else { return };
        if let Err(PreparedError { code, text }) = self.prepared.add_portal(portal, prepared) {
            return self.reply_error(code, &text, out);
        }
        self.owed.replies.push_back(ExpectedReply::Bind);
        out.push(Action::SendToServer(wire::message_of_strings(b'B', &[portal, &server_name], rest)));
    }

    fn describe(&mut self, name: &str, out: &mut Vec<Action>) {
        self.owed.begin_batch();
        let Some((server_name, _)) = self.ensure_prepared(name, out) else { return };
        self.owed.replies.push_back(ExpectedReply::Describe);
        out.push(Action::SendToServer(wire::target_message(b'D', b'S', &server_name)));
    }

    /// Detaches the session from its server connection.
    fn detach(&mut self) {
        self.stage = Stage::Idle;
        self.server_state.settings = self.settings.detach();
        self.prepared.clear_portals();
        self.owed.clear();
        (self.status, self.failed) = (b'I', false);
    }

    /// Handles that the client has disconnected. Returns what happens to the server connection, if there is
    /// one.
    pub fn client_disconnected(&mut self) -> Option<Disposition> {
        if self.stage != Stage::Attached {
            return None;
        }
        let at_rest = self.owed.is_settled() && self.status == b'I' && !self.within_message;
        self.detach();
        Some(match self.mode {
            _ if !at_rest || !self.pins.iter().all(|pin| pin.is_unknown()) => Disposition::Close,
            // In this mode the connection may have state that no text tells of, such as a trigger's.
            Mode::Session => Disposition::Reset,
            _ if self.pins.is_empty() => Disposition::Reuse,
            _ => Disposition::Reset,
        })
    }
}

const NO_TRANSACTIONS: &str = "transactions of several statements need pool.mode transaction or session";

fn no_transactions_error() -> Vec<u8> {
    error_response("ERROR", sqlstate::FEATURE_NOT_SUPPORTED, NO_TRANSACTIONS, None)
}

/// Returns true if a text may be sent to a server that accepts no writes.
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
