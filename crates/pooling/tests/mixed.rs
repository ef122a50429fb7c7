//! Many sessions with settings, transactions and prepared statements share a few connections to a simulated
//! server, while clients disconnect and connections fail. Each session must find its own state and never that
//! of another session, and each request must get exactly one answer.
//!
//! `MIXED=1000000 cargo test --release -p pooling --test mixed` runs that many requests.

use std::collections::{BTreeMap, VecDeque};

use pgwire::session::{self as wire, Piece};
use pgwire::{error_response, Message};
use pooling::{Action, DetachReason, Disposition, Mode, ServerSessionState, Session};

/// Simulates the server's side of one connection, as far as this test uses it.
#[derive(Default)]
struct SimulatedServer {
    current: BTreeMap<String, String>,
    committed: BTreeMap<String, String>,
    savepoints: Vec<(String, BTreeMap<String, String>)>,
    statements: BTreeMap<String, String>,
    portals: BTreeMap<String, String>,
    status: u8,
    skipping: bool,
    failed: bool,
}

fn message(kind: u8, body: Vec<u8>) -> Message {
    Message { kind, body }
}

fn text(kind: u8, text: &str) -> Message {
    message(kind, [text.as_bytes(), b"\0"].concat())
}

impl SimulatedServer {
    fn new() -> SimulatedServer {
        SimulatedServer { status: b'I', ..SimulatedServer::default() }
    }

    /// Returns the server's replies to bytes that hold complete messages.
    fn receive(&mut self, mut bytes: &[u8]) -> Vec<Message> {
        let mut out = Vec::new();
        while !bytes.is_empty() {
            let length = u32::from_be_bytes(bytes[1..5].try_into().unwrap()) as usize;
            let (kind, body) = (bytes[0], &bytes[5..length + 1]);
            bytes = &bytes[length + 1..];
            self.handle(kind, body, &mut out);
        }
        out
    }

    fn handle(&mut self, kind: u8, body: &[u8], out: &mut Vec<Message>) {
        match kind {
            b'Q' => {
                let sql = wire::read_query(body).unwrap().to_string();
                for part in sql.split(';') {
                    if !self.run(part.trim(), out) {
                        break;
                    }
                }
                self.ready(out);
            }
            b'S' => {
                self.skipping = false;
                self.ready(out);
            }
            _ if self.skipping => {}
            b'P' => {
                let (name, sql, _) = wire::read_parse(body).unwrap();
                if !name.is_empty() && self.statements.contains_key(name) {
                    return self.fail_batch("42P05", out);
                }
                self.statements.insert(name.into(), sql.into());
                out.push(message(b'1', Vec::new()));
            }
            b'B' => {
                let (portal, name, _) = wire::read_bind(body).unwrap();
                match self.statements.get(name).cloned() {
                    Some(sql) => drop(self.portals.insert(portal.into(), sql)),
                    None => return self.fail_batch("26000", out),
                }
                out.push(message(b'2', Vec::new()));
            }
            b'E' => {
                let sql = self.portals[wire::read_execute(body).unwrap()].clone();
                if !self.run(&sql, out) {
                    self.skipping = true;
                }
            }
            b'C' => {
                let (_, name) = wire::read_target(body).unwrap();
                self.statements.remove(name);
                out.push(message(b'3', Vec::new()));
            }
            other => panic!("{}", other as char),
        }
    }

    /// Fails a batch: messages up to Sync are skipped.
    fn fail_batch(&mut self, code: &str, out: &mut Vec<Message>) {
        self.skipping = true;
        self.error(code, out);
    }

    fn error(&mut self, code: &str, out: &mut Vec<Message>) {
        let bytes = error_response("ERROR", code, "no", None);
        out.push(message(b'E', bytes[5..].to_vec()));
        self.failed = true;
        if self.status == b'T' {
            self.status = b'E';
        }
    }

    fn ready(&mut self, out: &mut Vec<Message>) {
        let failed = std::mem::take(&mut self.failed);
        if self.status == b'I' {
            self.end_transaction(!failed);
        }
        out.push(message(b'Z', vec![self.status]));
    }

    fn end_transaction(&mut self, commit: bool) {
        if commit {
            self.committed = self.current.clone();
        } else {
            self.current = self.committed.clone();
        }
        self.savepoints.clear();
        self.status = b'I';
    }

    fn run(&mut self, sql: &str, out: &mut Vec<Message>) -> bool {
        let words: Vec<&str> = sql.split_whitespace().collect();
        if self.status == b'E' && !matches!(words[0], "COMMIT" | "ROLLBACK") {
            self.error("25P02", out);
            return false;
        }
        let tag = match words.as_slice() {
            ["BEGIN"] => {
                self.status = b'T';
                "BEGIN"
            }
            ["COMMIT"] => {
                let succeeded = self.status != b'E';
                self.end_transaction(succeeded);
                if succeeded {
                    "COMMIT"
                } else {
                    "ROLLBACK"
                }
            }
            ["ROLLBACK"] => {
                self.end_transaction(false);
                "ROLLBACK"
            }
            ["SAVEPOINT", name] => {
                self.savepoints.push((name.to_string(), self.current.clone()));
                "SAVEPOINT"
            }
            ["ROLLBACK", "TO", name] => {
                let index = self.savepoints.iter().rposition(|(known, _)| known == name).unwrap();
                self.current = self.savepoints[index].1.clone();
                "ROLLBACK"
            }
            ["SET", name, "TO", value] => {
                self.current.insert(name.to_string(), value.trim_matches('\'').into());
                "SET"
            }
            ["RESET", "ALL"] => {
                self.current.clear();
                "RESET"
            }
            ["RESET", name] => {
                self.current.remove(*name);
                "RESET"
            }
            ["DISCARD", "ALL"] => {
                self.current.clear();
                self.statements.clear();
                "DISCARD ALL"
            }
            ["SELECT", "fail"] => {
                self.error("22012", out);
                return false;
            }
            ["SHOW", name] => {
                out.push(text(b'N', self.current.get(*name).map_or("", |value| value)));
                "SHOW"
            }
            // Any other statement is answered with its own text.
            _ => {
                out.push(text(b'N', sql));
                "SELECT 1"
            }
        };
        out.push(text(b'C', tag));
        true
    }
}

/// The state that a client must find.
#[derive(Clone, Default)]
struct Model {
    current: BTreeMap<String, String>,
    committed: BTreeMap<String, String>,
    savepoint: Option<BTreeMap<String, String>>,
    open: bool,
    broken: bool,
    statements: BTreeMap<String, String>,
}

struct Client {
    session: Session,
    model: Model,
    /// Index of its server connection, where it has one.
    server: Option<usize>,
    waiting: bool,
    /// Messages received since its last request.
    received: Vec<Message>,
}

struct World {
    clients: Vec<Client>,
    /// Each connection with its tracked state, which is absent while a session uses it.
    servers: Vec<(SimulatedServer, Option<ServerSessionState>)>,
    waiting: VecDeque<usize>,
    rng: fastrand::Rng,
    answered: u64,
    /// How often a connection was assigned to a session.
    assignments: u64,
}

const NAMES: [&str; 3] = ["app.a", "app.b", "app.c"];

impl World {
    fn client(&mut self) -> Client {
        let start = BTreeMap::from([("app.c".to_string(), "'start'".to_string())]);
        let current = BTreeMap::from([("app.c".to_string(), "start".to_string())]);
        let model = Model { current: current.clone(), committed: current, ..Model::default() };
        let session = Session::new(Mode::Transaction, start, BTreeMap::new());
        Client { session, model, server: None, waiting: false, received: Vec::new() }
    }

    fn perform(&mut self, n: usize, actions: Vec<Action>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::SendToClient(mut bytes) => {
                    while !bytes.is_empty() {
                        let length = u32::from_be_bytes(bytes[1..5].try_into().unwrap()) as usize;
                        let rest = bytes.split_off(length + 1);
                        self.clients[n].received.push(message(bytes[0], bytes[5..].to_vec()));
                        bytes = rest;
                    }
                }
                Action::SendToServer(bytes) => {
                    let server = self.clients[n].server.unwrap();
                    for answer in self.servers[server].0.receive(&bytes) {
                        let mut more = Vec::new();
                        self.clients[n].session.handle_server_piece(Piece::Message(answer), &mut more);
                        queue.extend(more);
                    }
                }
                Action::RequestServer(_) => {
                    self.clients[n].waiting = true;
                    self.waiting.push_back(n);
                }
                Action::ReleaseServer(disposition) => self.release(n, disposition),
                Action::CloseClient => panic!("a client was disconnected"),
            }
        }
    }

    fn release(&mut self, n: usize, disposition: Disposition) {
        let server = self.clients[n].server.take().unwrap();
        let state = self.clients[n].session.take_server_state();
        self.servers[server].1 = match disposition {
            Disposition::Reuse => Some(state),
            Disposition::Close | Disposition::Reset => {
                self.servers[server].0 = SimulatedServer::new();
                Some(ServerSessionState::new(4))
            }
        };
    }

    /// Assigns free connections to waiting sessions.
    fn assign(&mut self) {
        while let Some(server) = self.servers.iter().position(|(_, state)| state.is_some()) {
            let Some(n) = self.waiting.pop_front() else { return };
            let state = self.servers[server].1.take().unwrap();
            (self.clients[n].server, self.clients[n].waiting) = (Some(server), false);
            self.assignments += 1;
            let mut actions = Vec::new();
            self.clients[n].session.attach(state, &mut actions);
            self.perform(n, actions);
        }
    }

    fn send(&mut self, n: usize, messages: Vec<Message>) {
        for message in messages {
            let mut actions = Vec::new();
            self.clients[n].session.handle_client_message(message, &mut actions);
            self.perform(n, actions);
        }
    }

    /// Returns the answer once ReadyForQuery has arrived: the texts of rows, and the SQLSTATEs of errors.
    fn answer(&mut self, n: usize) -> Option<(Vec<String>, Vec<String>)> {
        let received = &self.clients[n].received;
        let complete = received.last().is_some_and(|message| message.kind == b'Z');
        if !complete {
            return None;
        }
        let received = std::mem::take(&mut self.clients[n].received);
        assert_eq!(received.iter().filter(|message| message.kind == b'Z').count(), 1, "one answer");
        let rows = received
            .iter()
            .filter(|m| m.kind == b'N')
            .map(|m| wire::read_query(&m.body).unwrap().to_string());
        let codes = received.iter().filter(|m| m.kind == b'E').map(|m| pgwire::error_code(&m.body).0);
        self.answered += 1;
        Some((rows.collect(), codes.collect()))
    }

    fn query(&mut self, n: usize, sql: &str) -> Option<(Vec<String>, Vec<String>)> {
        self.send(n, vec![text(b'Q', sql)]);
        self.assign();
        self.answer(n)
    }

    /// Makes a request; if no connection is free, other clients end their transactions first.
    fn ask(&mut self, n: usize, sql: &str) -> (Vec<String>, Vec<String>) {
        if let Some(answer) = self.query(n, sql) {
            return answer;
        }
        self.free_connections();
        self.answer(n).expect("an answer")
    }

    /// Ends the transactions that keep waiting sessions from getting a connection.
    fn free_connections(&mut self) {
        while let Some(holder) = self.clients.iter().position(|client| client.server.is_some()) {
            if self.waiting.is_empty() {
                return;
            }
            let (rows, codes) = self.query(holder, "ROLLBACK").expect("the session has a connection");
            assert!(rows.is_empty() && codes.is_empty());
            let model = &mut self.clients[holder].model;
            (model.open, model.broken, model.savepoint, model.current) =
                (false, false, None, model.committed.clone());
        }
    }

    fn step(&mut self) {
        let n = self.rng.usize(..self.clients.len());
        let name = NAMES[self.rng.usize(..NAMES.len())];
        let model = self.clients[n].model.clone();
        match self.rng.u32(..20) {
            0..=3 => {
                let value = format!("v{}", self.rng.u32(..50));
                let (_, codes) = self.ask(n, &format!("SET {name} TO '{value}'"));
                let model = &mut self.clients[n].model;
                if model.broken {
                    return assert_eq!(codes, ["25P02"]);
                }
                model.current.insert(name.into(), value);
                if !model.open {
                    model.committed = model.current.clone();
                }
            }
            4..=8 => {
                let (rows, codes) = self.ask(n, &format!("SHOW {name}"));
                if model.broken {
                    return assert_eq!(codes, ["25P02"]);
                }
                assert_eq!(rows, [model.current.get(name).cloned().unwrap_or_default()], "{name} of {n}");
            }
            9..=10 if !model.open => {
                self.ask(n, "BEGIN");
                self.clients[n].model.open = true;
            }
            9..=10 => {
                self.ask(n, "COMMIT");
                let model = &mut self.clients[n].model;
                if model.broken {
                    model.current = model.committed.clone();
                } else {
                    model.committed = model.current.clone();
                }
                (model.open, model.broken, model.savepoint) = (false, false, None);
            }
            11 if model.open => {
                self.ask(n, "ROLLBACK");
                let model = &mut self.clients[n].model;
                (model.open, model.broken, model.savepoint, model.current) =
                    (false, false, None, model.committed.clone());
            }
            12 if model.open && !model.broken && model.savepoint.is_none() => {
                self.ask(n, "SAVEPOINT a");
                self.clients[n].model.savepoint = Some(model.current);
            }
            12 if model.open && !model.broken => {
                self.ask(n, "ROLLBACK TO a");
                self.clients[n].model.current = model.savepoint.unwrap();
            }
            13 => {
                // Several statements in one text: outside of a transaction, an error rolls back all of them.
                let (_, codes) = self.ask(n, &format!("SET {name} TO 'gone'; SELECT fail"));
                assert_eq!(codes.len(), 1);
                let model = &mut self.clients[n].model;
                model.broken = model.open;
            }
            14 if !model.open => {
                let discard = self.rng.bool();
                self.ask(n, if discard { "DISCARD ALL" } else { "RESET ALL" });
                let model = &mut self.clients[n].model;
                model.current = BTreeMap::from([("app.c".to_string(), "start".to_string())]);
                model.committed = model.current.clone();
                if discard {
                    model.statements.clear();
                }
            }
            15 => self.disconnect(n),
            16 if self.rng.u32(..4) == 0 => self.fail_server(n),
            _ => self.use_prepared(n),
        }
    }

    /// Uses a prepared statement under one of a few names, and prepares it at its first use.
    fn use_prepared(&mut self, n: usize) {
        let name = format!("p{}", self.rng.u32(..3));
        let model = self.clients[n].model.clone();
        let mut batch = Vec::new();
        let sql = match model.statements.get(&name) {
            Some(sql) => sql.clone(),
            None => {
                let sql = format!("SELECT {} of {}", self.rng.u32(..6), self.rng.u32(..2));
                batch.push(message(b'P', [name.as_bytes(), b"\0", sql.as_bytes(), b"\0\0\0"].concat()));
                sql
            }
        };
        batch.push(message(b'B', [b"\0", name.as_bytes(), b"\0\0\0\0\0\0\0"].concat()));
        batch.push(message(b'E', b"\0\0\0\0\0".to_vec()));
        batch.push(message(b'S', Vec::new()));
        self.send(n, batch);
        self.assign();
        let answer = self.answer(n).or_else(|| {
            self.free_connections();
            self.answer(n)
        });
        let (rows, codes) = answer.expect("an answer");
        // The session keeps the statement even in a failed transaction.
        self.clients[n].model.statements.insert(name, sql.clone());
        if model.broken {
            return assert_eq!(codes, ["25P02"]);
        }
        assert_eq!((rows, codes), (vec![sql], Vec::new()), "of {n}");
    }

    /// Disconnects a client, and connects a new one in its place.
    fn disconnect(&mut self, n: usize) {
        if let Some(disposition) = self.clients[n].session.client_disconnected() {
            self.release(n, disposition);
        }
        self.clients[n] = self.client();
        self.assign();
    }

    /// Makes the server connection of a session fail.
    fn fail_server(&mut self, n: usize) {
        let Some(server) = self.clients[n].server else { return };
        let mut actions = Vec::new();
        self.clients[n].session.server_detached(DetachReason::Lost, &mut actions);
        self.servers[server] = (SimulatedServer::new(), Some(ServerSessionState::new(4)));
        self.clients[n].server = None;
        self.perform(n, actions);
        assert!(self.clients[n].received.is_empty(), "no request was pending");
        let (_, codes) = self.ask(n, "SELECT 1");
        assert_eq!(codes, ["08006"]);
        let (_, codes) = self.ask(n, "SHOW app.a");
        assert_eq!(codes, ["25P02"]);
        assert_eq!(self.ask(n, "COMMIT").1, Vec::<String>::new());
        let model = &mut self.clients[n].model;
        (model.open, model.broken, model.savepoint, model.current) =
            (false, false, None, model.committed.clone());
    }
}

#[test]
fn sessions_find_their_own_state_and_no_other() {
    let requests: u64 = std::env::var("MIXED").ok().and_then(|count| count.parse().ok()).unwrap_or(60_000);
    let (seeds, mut answered, mut assignments) = (20, 0, 0);
    for seed in 0..seeds {
        let rng = fastrand::Rng::with_seed(seed);
        let servers = (0..3).map(|_| (SimulatedServer::new(), Some(ServerSessionState::new(4)))).collect();
        let mut world = World {
            clients: Vec::new(),
            servers,
            waiting: VecDeque::new(),
            rng,
            answered: 0,
            assignments: 0,
        };
        for _ in 0..8 {
            let client = world.client();
            world.clients.push(client);
        }
        while world.answered < requests / seeds {
            world.step();
        }
        (answered, assignments) = (answered + world.answered, assignments + world.assignments);
    }
    println!("{answered} requests in {seeds} seeds; connections were assigned {assignments} times");
    assert!(assignments > answered / 4);
}
