//! A small stand-in for a PostgreSQL server with the state of a session: transactional settings, prepared
//! statements, temporary tables, rows of one table. It supports only the statements that the tests send.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use openssl::hash::MessageDigest;
use openssl::ssl::{Ssl, SslAcceptor, SslStream};
use scram::{ChannelBinding, Server, Verifier};

use crate::registry::ReadWrite;
use crate::{frame, list_entry, Message};

/// How a server answers DISCARD ALL.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discard {
    #[default]
    Accept,
    Reject,
    /// It never answers.
    Hang,
}

#[derive(Default)]
struct Shared {
    /// Open connections by number, each with the flag that cancels its statement.
    connections: Mutex<BTreeMap<u32, (TcpStream, Arc<AtomicBool>)>>,
    connection_count: AtomicUsize,
    committed_rows: AtomicUsize,
    statement_log: Mutex<Vec<String>>,
    /// Whether writes are rejected.
    replica: AtomicBool,
    /// Whether a connection is closed when it receives a commit.
    fail_on_commit: AtomicBool,
    discard: Mutex<Discard>,
    /// If set, only TLS connections are accepted.
    acceptor: Option<SslAcceptor>,
    /// The verifier of the required password, and the mechanisms of the logins so far.
    password: Mutex<Option<Verifier>>,
    login_mechanisms: Mutex<Vec<String>>,
}

/// A server that listens on a loopback address.
#[derive(Clone)]
pub struct Postgres {
    pub address: SocketAddr,
    name: String,
    shared: Arc<Shared>,
}

impl Postgres {
    pub fn new(name: &str, replica: bool) -> Postgres {
        Postgres::listen(name, replica, None)
    }

    /// Starts a server that accepts only TLS connections.
    pub fn with_tls(name: &str, replica: bool, acceptor: SslAcceptor) -> Postgres {
        Postgres::listen(name, replica, Some(acceptor))
    }

    fn listen(name: &str, replica: bool, acceptor: Option<SslAcceptor>) -> Postgres {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let shared = Arc::new(Shared { replica: replica.into(), acceptor, ..Shared::default() });
        let server = Postgres { address: listener.local_addr().unwrap(), name: name.into(), shared };
        let listening = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let server = listening.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Returns its entry in the list.
    pub fn list_entry(&self, status: &str) -> String {
        list_entry(self.address, &self.name, "here", status)
    }

    /// Returns the numbers of connections open now and opened so far.
    pub fn connections(&self) -> (usize, usize) {
        (self.shared.connections.lock().unwrap().len(), self.shared.connection_count.load(Ordering::SeqCst))
    }

    /// Returns the number of rows committed so far.
    pub fn committed_rows(&self) -> usize {
        self.shared.committed_rows.load(Ordering::SeqCst)
    }

    /// Returns how many statements so far began with `start`.
    pub fn statement_count(&self, start: &str) -> usize {
        self.shared.statement_log.lock().unwrap().iter().filter(|sql| sql.starts_with(start)).count()
    }

    /// Requires this password from now on, by SCRAM-SHA-256, with channel binding if the client chooses it.
    pub fn require_password(&self, password: &str) {
        *self.shared.password.lock().unwrap() = Some(Verifier::new(password, b"a salt", 2));
    }

    /// Returns the mechanisms of the successful logins so far.
    pub fn login_mechanisms(&self) -> Vec<String> {
        self.shared.login_mechanisms.lock().unwrap().clone()
    }

    /// Authenticates a client. Returns `None` if that fails.
    fn login(&self, stream: &mut (dyn ReadWrite + 'static), verifier: &Verifier) -> Option<()> {
        // The hash of the server's certificate as OpenSSL computes it, which the pooler's must equal.
        let endpoint = self.shared.acceptor.as_ref().and_then(|acceptor| {
            let certificate = acceptor.context().certificate()?.digest(MessageDigest::sha256()).ok()?;
            Some(certificate.to_vec())
        });
        let plus = if endpoint.is_some() { "SCRAM-SHA-256-PLUS\0" } else { "" };
        let ask = |code: u32, text: &str| frame(b'R', &[&code.to_be_bytes()[..], text.as_bytes()].concat());
        stream.write_all(&ask(10, &format!("{plus}SCRAM-SHA-256\0\0"))).ok()?;
        let read_message = |stream: &mut dyn ReadWrite| {
            let mut head = [0; 5];
            stream.read_exact(&mut head).ok()?;
            let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().ok()?) as usize - 4];
            stream.read_exact(&mut body).ok()?;
            String::from_utf8(body).ok()
        };
        let first = read_message(stream)?;
        let (mechanism, rest) = first.split_once('\0')?;
        let channel = match (&endpoint, mechanism) {
            (Some(bytes), "SCRAM-SHA-256-PLUS") => ChannelBinding::Bound(bytes),
            (Some(_), _) => ChannelBinding::NotUsed,
            (None, _) => ChannelBinding::Unsupported,
        };
        let started = Server::begin(&rest[4..], "", Some(verifier), "nonce", b"", channel);
        let (server, challenge) = started.ok()?;
        stream.write_all(&ask(11, &challenge)).ok()?;
        let server_final = server.finish(&read_message(stream)?).ok()?;
        self.shared.login_mechanisms.lock().unwrap().push(mechanism.to_string());
        stream.write_all(&ask(12, &server_final)).ok()
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        let connections = self.shared.connections.lock().unwrap();
        connections.values().for_each(|(stream, _)| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Sets whether a connection is closed when it receives a commit.
    pub fn set_fail_on_commit(&self, fail_on_commit: bool) {
        self.shared.fail_on_commit.store(fail_on_commit, Ordering::SeqCst);
    }

    /// Sets how DISCARD ALL is answered.
    pub fn set_discard(&self, discard: Discard) {
        *self.shared.discard.lock().unwrap() = discard;
    }

    fn serve(&self, socket: TcpStream) -> Option<()> {
        socket.set_nodelay(true).ok()?;
        let mut stream: Box<dyn ReadWrite> = Box::new(socket.try_clone().ok()?);
        if let Some(acceptor) = &self.shared.acceptor {
            stream.read_exact(&mut [0; 8]).ok()?;
            stream.write_all(b"S").ok()?;
            let mut secured =
                SslStream::new(Ssl::new(acceptor.context()).ok()?, socket.try_clone().ok()?).ok()?;
            secured.accept().ok()?;
            stream = Box::new(secured);
        }
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        stream.read_exact(&mut body).ok()?;
        if body.starts_with(&80_877_102u32.to_be_bytes()) {
            let number = u32::from_be_bytes(body[4..8].try_into().ok()?);
            let connections = self.shared.connections.lock().unwrap();
            connections
                .get(&number)
                .iter()
                .for_each(|(_, cancelled)| cancelled.store(true, Ordering::SeqCst));
            return None;
        }
        let verifier = self.shared.password.lock().unwrap().clone();
        if let Some(verifier) = verifier {
            self.login(&mut *stream, &verifier)?;
        }
        let number = self.shared.connection_count.fetch_add(1, Ordering::SeqCst) as u32 + 1;
        let cancelled = Arc::new(AtomicBool::new(false));
        let connection = (socket, cancelled.clone());
        self.shared.connections.lock().unwrap().insert(number, connection);
        let standby = if self.shared.replica.load(Ordering::SeqCst) { "on" } else { "off" };
        let mut startup_response = frame(b'R', &[0; 4]);
        for (name, value) in
            [("server_version", "16.4"), ("client_encoding", "UTF8"), ("in_hot_standby", standby)]
        {
            startup_response.extend(frame(b'S', format!("{name}\0{value}\0").as_bytes()));
        }
        startup_response.extend(frame(b'K', &[number.to_be_bytes(), [7; 4]].concat()));
        startup_response.extend(frame(b'Z', b"I"));
        let mut session = Session {
            server: self.clone(),
            number,
            stream,
            cancelled,
            current: SessionState::default(),
            committed: SessionState::default(),
            savepoints: Vec::new(),
            status: b'I',
            temporary: false,
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            output: startup_response,
            skip_until_sync: false,
        };
        if session.flush().is_some() {
            session.run();
        }
        self.shared.connections.lock().unwrap().remove(&number);
        None
    }
}

/// The transactional state of a session.
#[derive(Clone, Default)]
struct SessionState {
    settings: BTreeMap<String, String>,
    /// Rows inserted in the current transaction.
    inserted_rows: usize,
}

struct Session {
    server: Postgres,
    number: u32,
    stream: Box<dyn ReadWrite>,
    cancelled: Arc<AtomicBool>,
    current: SessionState,
    committed: SessionState,
    savepoints: Vec<(String, SessionState)>,
    status: u8,
    temporary: bool,
    statements: BTreeMap<String, String>,
    portals: BTreeMap<String, (String, Vec<String>)>,
    output: Vec<u8>,
    skip_until_sync: bool,
}

/// The code and the message of an error.
type SqlError = (&'static str, String);

fn read_string(bytes: &[u8]) -> (String, &[u8]) {
    let end = bytes.iter().position(|byte| *byte == 0).unwrap();
    (String::from_utf8_lossy(&bytes[..end]).into_owned(), &bytes[end + 1..])
}

fn row_description() -> Vec<u8> {
    frame(b'T', b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0")
}

fn data_row(value: &str) -> Vec<u8> {
    frame(b'D', &[b"\0\x01", &(value.len() as u32).to_be_bytes()[..], value.as_bytes()].concat())
}

fn command_complete(tag: &str) -> Vec<u8> {
    frame(b'C', format!("{tag}\0").as_bytes())
}

/// Returns the value of a constant; an E'' constant may have escaped quotes and backslashes.
fn constant_value(text: &str) -> String {
    match text.strip_prefix("E'").and_then(|rest| rest.strip_suffix('\'')) {
        Some(escaped) => escaped.replace("\\'", "'").replace("\\\\", "\\"),
        None => text.trim_start_matches("$$").trim_end_matches("$$").trim_matches('\'').to_string(),
    }
}

/// Returns true if a statement returns rows.
fn returns_rows(sql: &str) -> bool {
    ["select", "show", "values"].iter().any(|word| sql.to_lowercase().starts_with(word))
}

impl Session {
    fn message(&mut self) -> Option<Message> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head).ok()?;
        let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
        self.stream.read_exact(&mut body).ok()?;
        Some((head[0], body))
    }

    fn flush(&mut self) -> Option<()> {
        let output = std::mem::take(&mut self.output);
        self.stream.write_all(&output).ok()
    }

    fn run(&mut self) -> Option<()> {
        loop {
            let (kind, body) = self.message()?;
            match kind {
                b'X' => return None,
                b'Q' => {
                    let (sql, _) = read_string(&body);
                    let parts: Vec<String> = sql.split(';').map(|part| part.trim().to_string()).collect();
                    let parts: Vec<String> = parts.into_iter().filter(|part| !part.is_empty()).collect();
                    self.statements.remove("");
                    let mut failed = false;
                    for part in &parts {
                        if returns_rows(part) && self.status != b'E' {
                            self.output.extend(row_description());
                        }
                        if let Err(fault) = self.execute(part, &[])? {
                            failed = true;
                            self.send_error(fault);
                            break;
                        }
                    }
                    if parts.is_empty() {
                        self.output.extend(frame(b'I', b""));
                    }
                    self.finish_query(failed);
                    self.flush()?;
                }
                b'S' => {
                    let failed = std::mem::take(&mut self.skip_until_sync);
                    self.finish_query(failed);
                    self.flush()?;
                }
                _ if self.skip_until_sync => {}
                b'H' => self.flush()?,
                b'd' | b'c' | b'f' => {}
                _ => {
                    if let Err(fault) = self.handle_extended(kind, &body)? {
                        self.skip_until_sync = true;
                        self.send_error(fault);
                    }
                }
            }
        }
    }

    /// Sends a message without its last `missing` bytes, then waits for the end of the connection.
    fn send_incomplete(&mut self, message: &[u8], missing: usize) -> Option<Result<(), SqlError>> {
        self.output.extend(&message[..message.len() - missing]);
        self.flush()?;
        while self.message().is_some() {}
        None
    }

    fn send_error(&mut self, (code, message): SqlError) {
        if self.status == b'T' {
            self.status = b'E';
        }
        self.output.extend(frame(b'E', format!("SERROR\0VERROR\0C{code}\0M{message}\0\0").as_bytes()));
    }

    /// Ends a query: outside of a transaction block its changes are committed, or rolled back if it failed.
    /// Sends ReadyForQuery.
    fn finish_query(&mut self, failed: bool) {
        if self.status == b'I' {
            self.end_transaction(!failed);
            self.portals.clear();
        }
        self.output.extend(frame(b'Z', &[self.status]));
    }

    fn end_transaction(&mut self, commit: bool) {
        if commit {
            self.server
                .shared
                .committed_rows
                .fetch_add(std::mem::take(&mut self.current.inserted_rows), Ordering::SeqCst);
            self.committed = self.current.clone();
        } else {
            self.current = self.committed.clone();
        }
        self.savepoints.clear();
        self.status = b'I';
    }

    fn handle_extended(&mut self, kind: u8, body: &[u8]) -> Option<Result<(), SqlError>> {
        match kind {
            b'P' => {
                let (name, rest) = read_string(body);
                let (sql, _) = read_string(rest);
                if !name.is_empty() && self.statements.contains_key(&name) {
                    return Some(Err(("42P05", format!("prepared statement {name} already exists"))));
                }
                self.statements.insert(name, sql.trim().to_string());
                self.output.extend(frame(b'1', b""));
            }
            b'B' => {
                let (portal, rest) = read_string(body);
                let (name, rest) = read_string(rest);
                let Some(sql) = self.statements.get(&name).cloned() else {
                    return Some(Err(("26000", format!("prepared statement {name} does not exist"))));
                };
                let word = |at: usize| usize::from(u16::from_be_bytes([rest[at], rest[at + 1]]));
                let mut at = 2 + 2 * word(0);
                let count = word(at);
                at += 2;
                let mut values = Vec::new();
                for _ in 0..count {
                    let length = u32::from_be_bytes(rest[at..at + 4].try_into().unwrap()) as usize;
                    values.push(String::from_utf8_lossy(&rest[at + 4..at + 4 + length]).into_owned());
                    at += 4 + length;
                }
                self.portals.insert(portal, (sql, values));
                self.output.extend(frame(b'2', b""));
            }
            b'D' => {
                let (name, _) = read_string(&body[1..]);
                let sql = if body[0] == b'S' {
                    let Some(sql) = self.statements.get(&name).cloned() else {
                        return Some(Err(("26000", format!("prepared statement {name} does not exist"))));
                    };
                    let count = sql.matches('$').count() as u16;
                    let types =
                        [&count.to_be_bytes()[..], &25u32.to_be_bytes().repeat(count.into())].concat();
                    self.output.extend(frame(b't', &types));
                    sql
                } else {
                    self.portals.get(&name).map(|(sql, _)| sql.clone()).unwrap_or_default()
                };
                self.output.extend(if returns_rows(&sql) { row_description() } else { frame(b'n', b"") });
            }
            b'E' => {
                let (portal, _) = read_string(body);
                let Some((sql, values)) = self.portals.get(&portal).cloned() else {
                    return Some(Err(("34000", format!("portal {portal} does not exist"))));
                };
                return self.execute(&sql, &values);
            }
            b'C' => {
                let (name, _) = read_string(&body[1..]);
                if body[0] == b'S' {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.output.extend(frame(b'3', b""));
            }
            _ => return None,
        }
        Some(Ok(()))
    }

    /// Runs one statement. Returns `None` if the connection is to be closed.
    fn execute(&mut self, sql: &str, values: &[String]) -> Option<Result<(), SqlError>> {
        let sql = sql.split("*/").last().unwrap().trim();
        self.server.shared.statement_log.lock().unwrap().push(sql.to_string());
        let lowercase = sql.to_lowercase();
        let tokens: Vec<&str> = lowercase.split_whitespace().collect();
        let ends_transaction = matches!(tokens.as_slice(), ["commit" | "rollback" | "end" | "abort", ..]);
        if self.status == b'E' && !ends_transaction {
            return Some(Err(("25P02", "current transaction is aborted".into())));
        }
        let tag = match tokens.as_slice() {
            ["begin" | "start", ..] => {
                self.status = b'T';
                "BEGIN".to_string()
            }
            ["commit" | "end", ..] => {
                if self.server.shared.fail_on_commit.load(Ordering::SeqCst) {
                    return None;
                }
                let succeeded = self.status != b'E';
                self.end_transaction(succeeded);
                if succeeded { "COMMIT" } else { "ROLLBACK" }.into()
            }
            ["rollback", "to", rest @ ..] => {
                let name = rest.last()?.to_string();
                let at = self.savepoints.iter().rposition(|(savepoint, _)| *savepoint == name)?;
                (self.current, self.status) = (self.savepoints[at].1.clone(), b'T');
                "ROLLBACK".into()
            }
            ["rollback" | "abort", ..] => {
                self.end_transaction(false);
                "ROLLBACK".into()
            }
            ["savepoint", name] => {
                self.savepoints.push((name.to_string(), self.current.clone()));
                "SAVEPOINT".into()
            }
            ["release", ..] => "RELEASE".into(),
            ["set", "local", ..] => "SET".into(),
            ["set", name, "to" | "=", ..] => {
                let value = constant_value(sql.splitn(4, ' ').nth(3).unwrap_or_default());
                if value == "impossible" {
                    return Some(Err(("22023", format!("invalid value for {name}"))));
                }
                self.output.extend(frame(b'S', format!("{name}\0{value}\0").as_bytes()));
                self.current.settings.insert(name.to_string(), value);
                "SET".into()
            }
            ["reset", "all"] => {
                self.current.settings.clear();
                "RESET".into()
            }
            ["reset", name] => {
                self.current.settings.remove(*name);
                "RESET".into()
            }
            ["discard", "all"] => {
                let discard = *self.server.shared.discard.lock().unwrap();
                match discard {
                    Discard::Accept => {}
                    Discard::Reject => return Some(Err(("0A000", "DISCARD is not supported".into()))),
                    Discard::Hang => while self.message().is_some() {},
                }
                self.current.settings.clear();
                self.statements.clear();
                self.temporary = false;
                "DISCARD ALL".into()
            }
            ["show", name] => {
                let value = self.current.settings.get(*name).cloned().unwrap_or_default();
                self.output.extend(data_row(&value));
                "SHOW".into()
            }
            ["insert", ..] if self.server.shared.replica.load(Ordering::SeqCst) => {
                return Some(Err(("25006", "cannot execute INSERT in a read-only transaction".into())));
            }
            ["insert", ..] => {
                self.current.inserted_rows += 1;
                "INSERT 0 1".into()
            }
            ["create", "temp", ..] | ["create", "table", "pg_temp.x", ..] => {
                self.temporary = true;
                "CREATE TABLE".into()
            }
            ["copy", _, "from", "stdin"] => {
                self.output.extend(frame(b'G', b"\0\0\x01\0\0"));
                self.flush()?;
                let mut lines = 0;
                loop {
                    match self.message()? {
                        (b'd', data) => lines += data.iter().filter(|byte| **byte == b'\n').count(),
                        (b'c', _) => break,
                        (b'f', _) => return Some(Err(("57014", "COPY failed".into()))),
                        _ => {}
                    }
                }
                self.current.inserted_rows += lines;
                format!("COPY {lines}")
            }
            ["copy", _, "to", "stdout"] => {
                self.output.extend(frame(b'H', b"\0\0\x01\0\0"));
                (0..3).for_each(|n| self.output.extend(frame(b'd', format!("line {n}\n").as_bytes())));
                self.output.extend(frame(b'c', b""));
                "COPY 3".into()
            }
            // Functions of an application, whose effects on the session no text of a client tells.
            ["select", call] if call.starts_with("login(") || call.starts_with("\"login\"(") => {
                let tenant = sql.split('\'').nth(1).unwrap_or_default().to_string();
                self.current.settings.insert("app.tenant".into(), tenant.clone());
                self.output.extend(data_row(&tenant));
                "SELECT 1".into()
            }
            ["select", "make_temporary()"] => {
                self.temporary = true;
                self.output.extend(data_row(""));
                "SELECT 1".into()
            }
            ["do", ..] => {
                self.current.settings.insert("app.tenant".into(), "done".into());
                "DO".into()
            }
            ["select", "fail"] => return Some(Err(("22012", "division by zero".into()))),
            ["select", "stale"] => {
                return Some(Err(("0A000", "cached plan must not change result type".into())));
            }
            ["select", "sleep", millis] => {
                for _ in 0..millis.parse::<u64>().ok()? / 10 {
                    std::thread::sleep(Duration::from_millis(10));
                    if self.cancelled.swap(false, Ordering::SeqCst) {
                        return Some(Err(("57014", "canceling statement due to user request".into())));
                    }
                }
                self.output.extend(data_row("slept"));
                "SELECT 1".into()
            }
            ["select", "cut", size, missing] => {
                let row = data_row(&"x".repeat(size.parse().ok()?));
                return self.send_incomplete(&row, missing.parse().ok()?);
            }
            ["copy", "cut", size, missing, "to", "stdout"] => {
                self.output.extend(frame(b'H', b"\0\0\x01\0\0"));
                let data = frame(b'd', "x".repeat(size.parse().ok()?).as_bytes());
                return self.send_incomplete(&data, missing.parse().ok()?);
            }
            ["select", "big", count] => {
                let value = "x".repeat(1_000);
                for _ in 0..count.parse::<usize>().ok()? {
                    self.output.extend(data_row(&value));
                    if self.output.len() > 60_000 {
                        self.flush()?;
                    }
                }
                "SELECT".into()
            }
            _ => {
                let value = match tokens.as_slice() {
                    ["select", "who"] => self.server.name.clone(),
                    ["select", "connection"] => self.number.to_string(),
                    ["select", "temporary"] => self.temporary.to_string(),
                    ["select", "prepared"] => self.statements.len().to_string(),
                    _ => values.first().cloned().unwrap_or_else(|| sql.to_string()),
                };
                self.output.extend(data_row(&value));
                "SELECT 1".into()
            }
        };
        self.output.extend(command_complete(&tag));
        Some(Ok(()))
    }
}
