//! A small stand-in for a PostgreSQL server that keeps a session's state: settings through transactions, prepared
//! statements, temporary tables, rows of one table. It understands the few statements that the tests ask.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use openssl::hash::MessageDigest;
use openssl::ssl::{Ssl, SslAcceptor, SslStream};
use scram::{ChannelBinding, Server, Verifier};

use crate::registry::Both;
use crate::{frame, list_entry, Message};

#[derive(Default)]
struct Shared {
    /// Open connections by number, with what ends what each does.
    open: Mutex<BTreeMap<u32, (TcpStream, Arc<AtomicBool>)>>,
    begun: AtomicUsize,
    rows: AtomicUsize,
    asked: Mutex<Vec<String>>,
    /// Whether writes are turned away.
    replica: AtomicBool,
    /// Connections end when they are asked to commit.
    dies: AtomicBool,
    /// Only TLS is spoken where there is this.
    acceptor: Option<SslAcceptor>,
    /// What is kept of the password that is asked for, and the mechanisms by which it was proved so far.
    password: Mutex<Option<Verifier>>,
    proved: Mutex<Vec<String>>,
}

/// A server on a loopback address.
#[derive(Clone)]
pub struct Postgres {
    pub address: SocketAddr,
    name: String,
    shared: Arc<Shared>,
}

impl Postgres {
    pub fn new(name: &str, replica: bool) -> Postgres {
        Postgres::with(name, replica, None)
    }

    /// A server that speaks TLS alone.
    pub fn with_tls(name: &str, replica: bool, acceptor: SslAcceptor) -> Postgres {
        Postgres::with(name, replica, Some(acceptor))
    }

    fn with(name: &str, replica: bool, acceptor: Option<SslAcceptor>) -> Postgres {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let shared = Arc::new(Shared { replica: replica.into(), acceptor, ..Shared::default() });
        let server = Postgres { address: listener.local_addr().unwrap(), name: name.into(), shared };
        let own = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        server
    }

    /// Its line in the list.
    pub fn list_entry(&self, status: &str) -> String {
        list_entry(self.address, &self.name, "here", status)
    }

    /// Connections that are open, and that ever were.
    pub fn connections(&self) -> (usize, usize) {
        (self.shared.open.lock().unwrap().len(), self.shared.begun.load(Ordering::SeqCst))
    }

    /// Rows that were committed.
    pub fn committed_rows(&self) -> usize {
        self.shared.rows.load(Ordering::SeqCst)
    }

    /// Statements so far that begin with this.
    pub fn statement_count(&self, start: &str) -> usize {
        self.shared.asked.lock().unwrap().iter().filter(|text| text.starts_with(start)).count()
    }

    /// Asks for this password from now on, by SCRAM-SHA-256, bound to the connection where the client likes.
    pub fn require_password(&self, password: &str) {
        *self.shared.password.lock().unwrap() = Some(Verifier::new(password, b"a salt", 2));
    }

    /// The mechanisms by which the password was proved so far.
    pub fn login_mechanisms(&self) -> Vec<String> {
        self.shared.proved.lock().unwrap().clone()
    }

    /// A client's login; none where it fails.
    fn login(&self, stream: &mut (dyn Both + 'static), verifier: &Verifier) -> Option<()> {
        // The library's own hash of its own certificate: what the other side makes of it must be the same.
        let endpoint = self.shared.acceptor.as_ref().and_then(|acceptor| {
            let certificate = acceptor.context().certificate()?.digest(MessageDigest::sha256()).ok()?;
            Some(certificate.to_vec())
        });
        let plus = if endpoint.is_some() { "SCRAM-SHA-256-PLUS\0" } else { "" };
        let ask = |code: u32, text: &str| frame(b'R', &[&code.to_be_bytes()[..], text.as_bytes()].concat());
        stream.write_all(&ask(10, &format!("{plus}SCRAM-SHA-256\0\0"))).ok()?;
        let take = |stream: &mut dyn Both| {
            let mut head = [0; 5];
            stream.read_exact(&mut head).ok()?;
            let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().ok()?) as usize - 4];
            stream.read_exact(&mut body).ok()?;
            String::from_utf8(body).ok()
        };
        let first = take(stream)?;
        let (mechanism, rest) = first.split_once('\0')?;
        let channel = match (&endpoint, mechanism) {
            (Some(bytes), "SCRAM-SHA-256-PLUS") => ChannelBinding::Bound(bytes),
            (Some(_), _) => ChannelBinding::NotUsed,
            (None, _) => ChannelBinding::Unsupported,
        };
        let begun = Server::begin(&rest[4..], "", Some(verifier), "nonce", b"", channel);
        let (server, told) = begun.ok()?;
        stream.write_all(&ask(11, &told)).ok()?;
        let told = server.finish(&take(stream)?).ok()?;
        self.shared.proved.lock().unwrap().push(mechanism.to_string());
        stream.write_all(&ask(12, &told)).ok()
    }

    /// Ends all connections.
    pub fn close_connections(&self) {
        let open = self.shared.open.lock().unwrap();
        open.values().for_each(|(stream, _)| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Whether connections end when they are asked to commit.
    pub fn set_fail_on_commit(&self, dies: bool) {
        self.shared.dies.store(dies, Ordering::SeqCst);
    }

    fn serve(&self, socket: TcpStream) -> Option<()> {
        socket.set_nodelay(true).ok()?;
        let mut stream: Box<dyn Both> = Box::new(socket.try_clone().ok()?);
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
            let open = self.shared.open.lock().unwrap();
            open.get(&number).iter().for_each(|(_, ends)| ends.store(true, Ordering::SeqCst));
            return None;
        }
        let verifier = self.shared.password.lock().unwrap().clone();
        if let Some(verifier) = verifier {
            self.login(&mut *stream, &verifier)?;
        }
        let number = self.shared.begun.fetch_add(1, Ordering::SeqCst) as u32 + 1;
        let ends = Arc::new(AtomicBool::new(false));
        let own = (socket, ends.clone());
        self.shared.open.lock().unwrap().insert(number, own);
        let standby = if self.shared.replica.load(Ordering::SeqCst) { "on" } else { "off" };
        let mut welcome = frame(b'R', &[0; 4]);
        for (name, value) in
            [("server_version", "16.4"), ("client_encoding", "UTF8"), ("in_hot_standby", standby)]
        {
            welcome.extend(frame(b'S', format!("{name}\0{value}\0").as_bytes()));
        }
        welcome.extend(frame(b'K', &[number.to_be_bytes(), [7; 4]].concat()));
        welcome.extend(frame(b'Z', b"I"));
        let mut session = Session {
            server: self.clone(),
            number,
            stream,
            ends,
            now: Kept::default(),
            kept: Kept::default(),
            marks: Vec::new(),
            status: b'I',
            temporary: false,
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            out: welcome,
            skipping: false,
        };
        if session.flush().is_some() {
            session.run();
        }
        self.shared.open.lock().unwrap().remove(&number);
        None
    }
}

#[derive(Clone, Default)]
struct Kept {
    settings: BTreeMap<String, String>,
    rows: usize,
}

struct Session {
    server: Postgres,
    number: u32,
    stream: Box<dyn Both>,
    ends: Arc<AtomicBool>,
    now: Kept,
    kept: Kept,
    marks: Vec<(String, Kept)>,
    status: u8,
    temporary: bool,
    statements: BTreeMap<String, String>,
    portals: BTreeMap<String, (String, Vec<String>)>,
    out: Vec<u8>,
    skipping: bool,
}

/// An error's code and words.
type Fault = (&'static str, String);

fn text(bytes: &[u8]) -> (String, &[u8]) {
    let end = bytes.iter().position(|byte| *byte == 0).unwrap();
    (String::from_utf8_lossy(&bytes[..end]).into_owned(), &bytes[end + 1..])
}

fn columns() -> Vec<u8> {
    frame(b'T', b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0")
}

fn datum(value: &str) -> Vec<u8> {
    frame(b'D', &[b"\0\x01", &(value.len() as u32).to_be_bytes()[..], value.as_bytes()].concat())
}

fn done(tag: &str) -> Vec<u8> {
    frame(b'C', format!("{tag}\0").as_bytes())
}

/// Whether a statement gives rows.
fn rows(sql: &str) -> bool {
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
        let out = std::mem::take(&mut self.out);
        self.stream.write_all(&out).ok()
    }

    fn run(&mut self) -> Option<()> {
        loop {
            let (kind, body) = self.message()?;
            match kind {
                b'X' => return None,
                b'Q' => {
                    let (sql, _) = text(&body);
                    let parts: Vec<String> = sql.split(';').map(|part| part.trim().to_string()).collect();
                    let parts: Vec<String> = parts.into_iter().filter(|part| !part.is_empty()).collect();
                    self.statements.remove("");
                    let mut failed = false;
                    for part in &parts {
                        if rows(part) && self.status != b'E' {
                            self.out.extend(columns());
                        }
                        if let Err(fault) = self.execute(part, &[])? {
                            failed = true;
                            self.fail(fault);
                            break;
                        }
                    }
                    if parts.is_empty() {
                        self.out.extend(frame(b'I', b""));
                    }
                    self.settle(failed);
                    self.flush()?;
                }
                b'S' => {
                    let failed = std::mem::take(&mut self.skipping);
                    self.settle(failed);
                    self.flush()?;
                }
                _ if self.skipping => {}
                b'H' => self.flush()?,
                b'd' | b'c' | b'f' => {}
                _ => {
                    if let Err(fault) = self.extended(kind, &body)? {
                        self.skipping = true;
                        self.fail(fault);
                    }
                }
            }
        }
    }

    fn fail(&mut self, (code, words): Fault) {
        if self.status == b'T' {
            self.status = b'E';
        }
        self.out.extend(frame(b'E', format!("SERROR\0VERROR\0C{code}\0M{words}\0\0").as_bytes()));
    }

    /// What stands outside of a transaction is kept, or undone where it has failed.
    fn settle(&mut self, failed: bool) {
        if self.status == b'I' {
            self.end(!failed);
            self.portals.clear();
        }
        self.out.extend(frame(b'Z', &[self.status]));
    }

    fn end(&mut self, keep: bool) {
        if keep {
            self.server.shared.rows.fetch_add(std::mem::take(&mut self.now.rows), Ordering::SeqCst);
            self.kept = self.now.clone();
        } else {
            self.now = self.kept.clone();
        }
        self.marks.clear();
        self.status = b'I';
    }

    fn extended(&mut self, kind: u8, body: &[u8]) -> Option<Result<(), Fault>> {
        match kind {
            b'P' => {
                let (name, rest) = text(body);
                let (sql, _) = text(rest);
                if !name.is_empty() && self.statements.contains_key(&name) {
                    return Some(Err(("42P05", format!("prepared statement {name} already exists"))));
                }
                self.statements.insert(name, sql.trim().to_string());
                self.out.extend(frame(b'1', b""));
            }
            b'B' => {
                let (portal, rest) = text(body);
                let (name, rest) = text(rest);
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
                self.out.extend(frame(b'2', b""));
            }
            b'D' => {
                let (name, _) = text(&body[1..]);
                let sql = if body[0] == b'S' {
                    let Some(sql) = self.statements.get(&name).cloned() else {
                        return Some(Err(("26000", format!("prepared statement {name} does not exist"))));
                    };
                    let count = sql.matches('$').count() as u16;
                    let types =
                        [&count.to_be_bytes()[..], &25u32.to_be_bytes().repeat(count.into())].concat();
                    self.out.extend(frame(b't', &types));
                    sql
                } else {
                    self.portals.get(&name).map(|(sql, _)| sql.clone()).unwrap_or_default()
                };
                self.out.extend(if rows(&sql) { columns() } else { frame(b'n', b"") });
            }
            b'E' => {
                let (portal, _) = text(body);
                let Some((sql, values)) = self.portals.get(&portal).cloned() else {
                    return Some(Err(("34000", format!("portal {portal} does not exist"))));
                };
                return self.execute(&sql, &values);
            }
            b'C' => {
                let (name, _) = text(&body[1..]);
                if body[0] == b'S' {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.out.extend(frame(b'3', b""));
            }
            _ => return None,
        }
        Some(Ok(()))
    }

    /// Runs one statement; none where the connection is over.
    fn execute(&mut self, sql: &str, values: &[String]) -> Option<Result<(), Fault>> {
        let sql = sql.split("*/").last().unwrap().trim();
        self.server.shared.asked.lock().unwrap().push(sql.to_string());
        let low = sql.to_lowercase();
        let words: Vec<&str> = low.split_whitespace().collect();
        let ends = matches!(words.as_slice(), ["commit" | "rollback" | "end" | "abort", ..]);
        if self.status == b'E' && !ends {
            return Some(Err(("25P02", "current transaction is aborted".into())));
        }
        let tag = match words.as_slice() {
            ["begin" | "start", ..] => {
                self.status = b'T';
                "BEGIN".to_string()
            }
            ["commit" | "end", ..] => {
                if self.server.shared.dies.load(Ordering::SeqCst) {
                    return None;
                }
                let good = self.status != b'E';
                self.end(good);
                if good { "COMMIT" } else { "ROLLBACK" }.into()
            }
            ["rollback", "to", rest @ ..] => {
                let name = rest.last()?.to_string();
                let at = self.marks.iter().rposition(|(known, _)| *known == name)?;
                (self.now, self.status) = (self.marks[at].1.clone(), b'T');
                "ROLLBACK".into()
            }
            ["rollback" | "abort", ..] => {
                self.end(false);
                "ROLLBACK".into()
            }
            ["savepoint", name] => {
                self.marks.push((name.to_string(), self.now.clone()));
                "SAVEPOINT".into()
            }
            ["release", ..] => "RELEASE".into(),
            ["set", "local", ..] => "SET".into(),
            ["set", name, "to" | "=", ..] => {
                let value = sql.splitn(4, ' ').nth(3).unwrap_or_default().trim_matches('\'').to_string();
                if value == "impossible" {
                    return Some(Err(("22023", format!("invalid value for {name}"))));
                }
                self.out.extend(frame(b'S', format!("{name}\0{value}\0").as_bytes()));
                self.now.settings.insert(name.to_string(), value);
                "SET".into()
            }
            ["reset", "all"] => {
                self.now.settings.clear();
                "RESET".into()
            }
            ["reset", name] => {
                self.now.settings.remove(*name);
                "RESET".into()
            }
            ["discard", "all"] => {
                self.now.settings.clear();
                self.statements.clear();
                self.temporary = false;
                "DISCARD ALL".into()
            }
            ["show", name] => {
                let value = self.now.settings.get(*name).cloned().unwrap_or_default();
                self.out.extend(datum(&value));
                "SHOW".into()
            }
            ["insert", ..] if self.server.shared.replica.load(Ordering::SeqCst) => {
                return Some(Err(("25006", "cannot execute INSERT in a read-only transaction".into())));
            }
            ["insert", ..] => {
                self.now.rows += 1;
                "INSERT 0 1".into()
            }
            ["create", "temp", ..] => {
                self.temporary = true;
                "CREATE TABLE".into()
            }
            ["copy", _, "from", "stdin"] => {
                self.out.extend(frame(b'G', b"\0\0\x01\0\0"));
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
                self.now.rows += lines;
                format!("COPY {lines}")
            }
            ["copy", _, "to", "stdout"] => {
                self.out.extend(frame(b'H', b"\0\0\x01\0\0"));
                (0..3).for_each(|n| self.out.extend(frame(b'd', format!("line {n}\n").as_bytes())));
                self.out.extend(frame(b'c', b""));
                "COPY 3".into()
            }
            ["select", "fail"] => return Some(Err(("22012", "division by zero".into()))),
            ["select", "stale"] => {
                return Some(Err(("0A000", "cached plan must not change result type".into())));
            }
            ["select", "sleep", millis] => {
                for _ in 0..millis.parse::<u64>().ok()? / 10 {
                    std::thread::sleep(Duration::from_millis(10));
                    if self.ends.swap(false, Ordering::SeqCst) {
                        return Some(Err(("57014", "canceling statement due to user request".into())));
                    }
                }
                self.out.extend(datum("slept"));
                "SELECT 1".into()
            }
            ["select", "big", count] => {
                let value = "x".repeat(1_000);
                for _ in 0..count.parse::<usize>().ok()? {
                    self.out.extend(datum(&value));
                    if self.out.len() > 60_000 {
                        self.flush()?;
                    }
                }
                "SELECT".into()
            }
            _ => {
                let value = match words.as_slice() {
                    ["select", "who"] => self.server.name.clone(),
                    ["select", "connection"] => self.number.to_string(),
                    ["select", "temporary"] => self.temporary.to_string(),
                    ["select", "prepared"] => self.statements.len().to_string(),
                    _ => values.first().cloned().unwrap_or_else(|| sql.to_string()),
                };
                self.out.extend(datum(&value));
                "SELECT 1".into()
            }
        };
        self.out.extend(done(&tag));
        Some(Ok(()))
    }
}
