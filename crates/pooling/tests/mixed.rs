//! Many sessions with settings, transactions and prepared statements over few connections to a server that keeps the
//! state of each, with clients that vanish and connections that die: nobody misses what is his or sees what is
//! another's, and each request has its one answer.
//!
//! `MIXED=1000000 cargo test --release -p pooling --test mixed` plays so many requests.

use std::collections::{BTreeMap, VecDeque};

use pgwire::session::{self as wire, Piece};
use pgwire::{error_response, Message};
use pooling::{Action, DetachReason, Disposition, Mode, ServerSessionState, Session};

/// A server's side of one connection, as far as it is asked here.
#[derive(Default)]
struct Db {
    now: BTreeMap<String, String>,
    kept: BTreeMap<String, String>,
    marks: Vec<(String, BTreeMap<String, String>)>,
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

impl Db {
    fn new() -> Db {
        Db { status: b'I', ..Db::default() }
    }

    /// What the server answers to bytes that hold whole messages.
    fn take(&mut self, mut bytes: &[u8]) -> Vec<Message> {
        let mut out = Vec::new();
        while !bytes.is_empty() {
            let length = u32::from_be_bytes(bytes[1..5].try_into().unwrap()) as usize;
            let (kind, body) = (bytes[0], &bytes[5..length + 1]);
            bytes = &bytes[length + 1..];
            self.one(kind, body, &mut out);
        }
        out
    }

    fn one(&mut self, kind: u8, body: &[u8], out: &mut Vec<Message>) {
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
                    return self.fail("42P05", out);
                }
                self.statements.insert(name.into(), sql.into());
                out.push(message(b'1', Vec::new()));
            }
            b'B' => {
                let (portal, name, _) = wire::read_bind(body).unwrap();
                match self.statements.get(name).cloned() {
                    Some(sql) => drop(self.portals.insert(portal.into(), sql)),
                    None => return self.fail("26000", out),
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

    fn fail(&mut self, code: &str, out: &mut Vec<Message>) {
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
            self.end(!failed);
        }
        out.push(message(b'Z', vec![self.status]));
    }

    fn end(&mut self, keep: bool) {
        if keep {
            self.kept = self.now.clone();
        } else {
            self.now = self.kept.clone();
        }
        self.marks.clear();
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
                let good = self.status != b'E';
                self.end(good);
                if good {
                    "COMMIT"
                } else {
                    "ROLLBACK"
                }
            }
            ["ROLLBACK"] => {
                self.end(false);
                "ROLLBACK"
            }
            ["SAVEPOINT", name] => {
                self.marks.push((name.to_string(), self.now.clone()));
                "SAVEPOINT"
            }
            ["ROLLBACK", "TO", name] => {
                let at = self.marks.iter().rposition(|(known, _)| known == name).unwrap();
                self.now = self.marks[at].1.clone();
                "ROLLBACK"
            }
            ["SET", name, "TO", value] => {
                self.now.insert(name.to_string(), value.trim_matches('\'').into());
                "SET"
            }
            ["RESET", "ALL"] => {
                self.now.clear();
                "RESET"
            }
            ["RESET", name] => {
                self.now.remove(*name);
                "RESET"
            }
            ["DISCARD", "ALL"] => {
                self.now.clear();
                self.statements.clear();
                "DISCARD ALL"
            }
            ["FAIL"] => {
                self.error("22012", out);
                return false;
            }
            ["SHOW", name] => {
                out.push(text(b'N', self.now.get(*name).map_or("", |value| value)));
                "SHOW"
            }
            // What it is, is its answer.
            _ => {
                out.push(text(b'N', sql));
                "SELECT 1"
            }
        };
        out.push(text(b'C', tag));
        true
    }
}

/// What a client knows it must find.
#[derive(Clone, Default)]
struct Model {
    now: BTreeMap<String, String>,
    kept: BTreeMap<String, String>,
    mark: Option<BTreeMap<String, String>>,
    open: bool,
    broken: bool,
    statements: BTreeMap<String, String>,
}

struct Client {
    session: Session,
    model: Model,
    /// The number of its connection, where it is on one.
    at: Option<usize>,
    wants: bool,
    /// What it was told since its last request.
    told: Vec<Message>,
}

struct World {
    clients: Vec<Client>,
    /// Each connection with what is known of it; none known while it is used.
    servers: Vec<(Db, Option<ServerSessionState>)>,
    waiting: VecDeque<usize>,
    rng: fastrand::Rng,
    answered: u64,
    /// How often a connection changed hands.
    moved: u64,
}

const NAMES: [&str; 3] = ["app.a", "app.b", "app.c"];

impl World {
    fn client(&mut self) -> Client {
        let start = BTreeMap::from([("app.c".to_string(), "'start'".to_string())]);
        let now = BTreeMap::from([("app.c".to_string(), "start".to_string())]);
        let model = Model { now: now.clone(), kept: now, ..Model::default() };
        let session = Session::new(Mode::Transaction, start, BTreeMap::new());
        Client { session, model, at: None, wants: false, told: Vec::new() }
    }

    fn act(&mut self, n: usize, actions: Vec<Action>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::SendToClient(mut bytes) => {
                    while !bytes.is_empty() {
                        let length = u32::from_be_bytes(bytes[1..5].try_into().unwrap()) as usize;
                        let rest = bytes.split_off(length + 1);
                        self.clients[n].told.push(message(bytes[0], bytes[5..].to_vec()));
                        bytes = rest;
                    }
                }
                Action::SendToServer(bytes) => {
                    let at = self.clients[n].at.unwrap();
                    for answer in self.servers[at].0.take(&bytes) {
                        let mut more = Vec::new();
                        self.clients[n].session.handle_server_piece(Piece::Message(answer), &mut more);
                        queue.extend(more);
                    }
                }
                Action::RequestServer(_) => {
                    self.clients[n].wants = true;
                    self.waiting.push_back(n);
                }
                Action::ReleaseServer(ended) => self.release(n, ended),
                Action::CloseClient => panic!("no client is sent away here"),
            }
        }
    }

    fn release(&mut self, n: usize, ended: Disposition) {
        let at = self.clients[n].at.take().unwrap();
        let remote = self.clients[n].session.take_server_state();
        self.servers[at].1 = match ended {
            Disposition::Reuse => Some(remote),
            Disposition::Close => {
                self.servers[at].0 = Db::new();
                Some(ServerSessionState::new(4))
            }
        };
    }

    /// Gives connections to those who wait, as long as there are any.
    fn serve(&mut self) {
        while let Some(at) = self.servers.iter().position(|(_, remote)| remote.is_some()) {
            let Some(n) = self.waiting.pop_front() else { return };
            let remote = self.servers[at].1.take().unwrap();
            (self.clients[n].at, self.clients[n].wants) = (Some(at), false);
            self.moved += 1;
            let mut actions = Vec::new();
            self.clients[n].session.attach(remote, &mut actions);
            self.act(n, actions);
        }
    }

    fn send(&mut self, n: usize, messages: Vec<Message>) {
        for message in messages {
            let mut actions = Vec::new();
            self.clients[n].session.handle_client_message(message, &mut actions);
            self.act(n, actions);
        }
    }

    /// What a client was told once it is ready again: the texts of rows, and the codes of errors.
    fn answer(&mut self, n: usize) -> Option<(Vec<String>, Vec<String>)> {
        let told = &self.clients[n].told;
        let last = told.last().is_some_and(|message| message.kind == b'Z');
        if !last {
            return None;
        }
        let told = std::mem::take(&mut self.clients[n].told);
        assert_eq!(told.iter().filter(|message| message.kind == b'Z').count(), 1, "one answer");
        let rows =
            told.iter().filter(|m| m.kind == b'N').map(|m| wire::read_query(&m.body).unwrap().to_string());
        let codes = told.iter().filter(|m| m.kind == b'E').map(|m| pgwire::error_code(&m.body).0);
        self.answered += 1;
        Some((rows.collect(), codes.collect()))
    }

    fn query(&mut self, n: usize, sql: &str) -> Option<(Vec<String>, Vec<String>)> {
        self.send(n, vec![text(b'Q', sql)]);
        self.serve();
        self.answer(n)
    }

    /// One request of a client's, whose connection may have to be waited for: then others end theirs first.
    fn ask(&mut self, n: usize, sql: &str) -> (Vec<String>, Vec<String>) {
        if let Some(answer) = self.query(n, sql) {
            return answer;
        }
        self.free();
        self.answer(n).expect("an answer")
    }

    /// Ends the transactions that hold up those who wait.
    fn free(&mut self) {
        while let Some(holder) = self.clients.iter().position(|client| client.at.is_some()) {
            if self.waiting.is_empty() {
                return;
            }
            let (rows, codes) = self.query(holder, "ROLLBACK").expect("it is on a connection");
            assert!(rows.is_empty() && codes.is_empty());
            let model = &mut self.clients[holder].model;
            (model.open, model.broken, model.mark, model.now) = (false, false, None, model.kept.clone());
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
                model.now.insert(name.into(), value);
                if !model.open {
                    model.kept = model.now.clone();
                }
            }
            4..=8 => {
                let (rows, codes) = self.ask(n, &format!("SHOW {name}"));
                if model.broken {
                    return assert_eq!(codes, ["25P02"]);
                }
                assert_eq!(rows, [model.now.get(name).cloned().unwrap_or_default()], "{name} of {n}");
            }
            9..=10 if !model.open => {
                self.ask(n, "BEGIN");
                self.clients[n].model.open = true;
            }
            9..=10 => {
                self.ask(n, "COMMIT");
                let model = &mut self.clients[n].model;
                if model.broken {
                    model.now = model.kept.clone();
                } else {
                    model.kept = model.now.clone();
                }
                (model.open, model.broken, model.mark) = (false, false, None);
            }
            11 if model.open => {
                self.ask(n, "ROLLBACK");
                let model = &mut self.clients[n].model;
                (model.open, model.broken, model.mark, model.now) = (false, false, None, model.kept.clone());
            }
            12 if model.open && !model.broken && model.mark.is_none() => {
                self.ask(n, "SAVEPOINT a");
                self.clients[n].model.mark = Some(model.now);
            }
            12 if model.open && !model.broken => {
                self.ask(n, "ROLLBACK TO a");
                self.clients[n].model.now = model.mark.unwrap();
            }
            13 => {
                // Several in one text: what fails takes the whole of it with it, outside of a transaction.
                let (_, codes) = self.ask(n, &format!("SET {name} TO 'gone'; FAIL"));
                assert_eq!(codes.len(), 1);
                let model = &mut self.clients[n].model;
                model.broken = model.open;
            }
            14 if !model.open => {
                let discard = self.rng.bool();
                self.ask(n, if discard { "DISCARD ALL" } else { "RESET ALL" });
                let model = &mut self.clients[n].model;
                model.now = BTreeMap::from([("app.c".to_string(), "start".to_string())]);
                model.kept = model.now.clone();
                if discard {
                    model.statements.clear();
                }
            }
            15 => self.vanish(n),
            16 if self.rng.u32(..4) == 0 => self.die(n),
            _ => self.prepared(n),
        }
    }

    /// A statement that is prepared once and used ever after, under one of few names.
    fn prepared(&mut self, n: usize) {
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
        self.serve();
        let answer = self.answer(n).or_else(|| {
            self.free();
            self.answer(n)
        });
        let (rows, codes) = answer.expect("an answer");
        // In a failed transaction the statement is known to the session all the same.
        self.clients[n].model.statements.insert(name, sql.clone());
        if model.broken {
            return assert_eq!(codes, ["25P02"]);
        }
        assert_eq!((rows, codes), (vec![sql], Vec::new()), "of {n}");
    }

    /// A client leaves without a word, and another comes.
    fn vanish(&mut self, n: usize) {
        if let Some(ended) = self.clients[n].session.client_disconnected() {
            self.release(n, ended);
        }
        self.clients[n] = self.client();
        self.serve();
    }

    /// A connection dies under its session.
    fn die(&mut self, n: usize) {
        let Some(at) = self.clients[n].at else { return };
        let mut actions = Vec::new();
        self.clients[n].session.server_detached(DetachReason::Lost, &mut actions);
        self.servers[at] = (Db::new(), Some(ServerSessionState::new(4)));
        self.clients[n].at = None;
        self.act(n, actions);
        assert!(self.clients[n].told.is_empty(), "nothing was asked");
        let (_, codes) = self.ask(n, "SELECT 1");
        assert_eq!(codes, ["08006"]);
        let (_, codes) = self.ask(n, "SHOW app.a");
        assert_eq!(codes, ["25P02"]);
        assert_eq!(self.ask(n, "COMMIT").1, Vec::<String>::new());
        let model = &mut self.clients[n].model;
        (model.open, model.broken, model.mark, model.now) = (false, false, None, model.kept.clone());
    }
}

#[test]
fn nobody_misses_what_is_his_or_sees_what_is_another_s() {
    let most: u64 = std::env::var("MIXED").ok().and_then(|most| most.parse().ok()).unwrap_or(60_000);
    let (seeds, mut answered, mut moved) = (20, 0, 0);
    for seed in 0..seeds {
        let rng = fastrand::Rng::with_seed(seed);
        let servers = (0..3).map(|_| (Db::new(), Some(ServerSessionState::new(4)))).collect();
        let mut world =
            World { clients: Vec::new(), servers, waiting: VecDeque::new(), rng, answered: 0, moved: 0 };
        for _ in 0..8 {
            let client = world.client();
            world.clients.push(client);
        }
        while world.answered < most / seeds {
            world.step();
        }
        (answered, moved) = (answered + world.answered, moved + world.moved);
    }
    println!("{answered} requests in {seeds} seeds; connections changed hands {moved} times");
    assert!(moved > answered / 4);
}
