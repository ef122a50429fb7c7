//! Db machines of one group, with a log that replicas apply with a delay. A machine speaks plain PostgreSQL to
//! ordinary sessions (`in_hot_standby`), or the platform's form of it (`server_role`, `commit_clock`,
//! `SHOW usage`). It knows only the statements that the cases send.

use std::collections::HashMap;
use std::io::{Error, ErrorKind, Result};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use crate::{now_ms, sleep_ms, wire, Record};

/// A committed transaction: its time (Unix ms) and its rows.
#[derive(Clone, Debug)]
pub struct Commit {
    pub at_ms: u64,
    pub rows: Vec<(String, String)>,
    /// The machine that took it.
    pub by: String,
}

/// The log of a group.
#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<Vec<Commit>>>);

impl Log {
    pub fn commits(&self) -> Vec<Commit> {
        self.0.lock().unwrap().clone()
    }

    pub fn push(&self, commit: Commit) {
        self.0.lock().unwrap().push(commit);
    }

    /// Returns the values of a key in the commits up to a position.
    pub fn values(&self, key: &str, position: u64) -> Vec<String> {
        let log = self.0.lock().unwrap();
        let rows = log.iter().filter(|commit| commit.at_ms <= position).flat_map(|commit| &commit.rows);
        rows.filter(|(known, _)| known == key).map(|(_, value)| value.clone()).collect()
    }
}

struct State {
    primary: bool,
    up: bool,
    /// How far a replica is behind (ms), and the position that it has reached.
    delay_ms: u64,
    position_ms: u64,
}

type Work = Arc<dyn Fn(&str) -> u64 + Send + Sync>;

struct Inner {
    name: String,
    address: SocketAddr,
    platform: bool,
    log: Log,
    record: Record,
    state: Mutex<State>,
    connections: Mutex<HashMap<u64, TcpStream>>,
    next_connection: AtomicU64,
    /// One in so many connections comes up late; 0 for none.
    late_one_in: AtomicU64,
    late_ms: AtomicU64,
    work: Work,
}

/// A db machine.
#[derive(Clone)]
pub struct Machine(Arc<Inner>);

impl Machine {
    /// Starts a machine. `work` returns how long a statement takes (ms).
    pub fn start(
        name: &str,
        (primary, platform): (bool, bool),
        log: &Log,
        record: &Record,
        work: impl Fn(&str) -> u64 + Send + Sync + 'static,
    ) -> Machine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::not_run(&e.to_string()));
        let address = listener.local_addr().unwrap_or_else(|e| crate::not_run(&e.to_string()));
        let _ = listener.set_nonblocking(true);
        let state = State { primary, up: true, delay_ms: 10, position_ms: 0 };
        let machine = Machine(Arc::new(Inner {
            name: name.into(),
            address,
            platform,
            log: log.clone(),
            record: record.clone(),
            state: Mutex::new(state),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(1),
            late_one_in: AtomicU64::new(0),
            late_ms: AtomicU64::new(0),
            work: Arc::new(work),
        }));
        let listening = machine.clone();
        std::thread::spawn(move || {
            while listening.is_up() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let serving = listening.clone();
                        std::thread::spawn(move || serving.serve(stream));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        machine
    }

    pub fn name(&self) -> &str {
        &self.0.name
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.state.lock().unwrap()
    }

    pub fn is_up(&self) -> bool {
        self.state().up
    }

    pub fn is_primary(&self) -> bool {
        self.state().primary
    }

    pub fn set_primary(&self, primary: bool) {
        let position = self.position();
        let mut state = self.state();
        (state.primary, state.position_ms) = (primary, state.position_ms.max(position));
        drop(state);
        self.0.record.line(format!(
            "{} is now {}",
            self.0.name,
            if primary { "the primary" } else { "a replica" }
        ));
    }

    /// Sets how far the replica is behind from now on. Its position never goes back.
    pub fn set_delay(&self, delay_ms: u64) {
        let position = self.position();
        let mut state = self.state();
        (state.delay_ms, state.position_ms) = (delay_ms, state.position_ms.max(position));
        drop(state);
        self.0.record.line(format!("{} applies the log {delay_ms} ms late", self.0.name));
    }

    /// From now on one in so many connections comes up this much later.
    pub fn set_late(&self, one_in: u64, ms: u64) {
        self.0.late_one_in.store(one_in, Ordering::SeqCst);
        self.0.late_ms.store(ms, Ordering::SeqCst);
        self.0.record.line(format!("{}: one in {one_in} connections comes up {ms} ms late", self.0.name));
    }

    /// The machine dies: its connections end and new ones are refused.
    pub fn die(&self) {
        self.state().up = false;
        self.0.record.line(format!("{} dies", self.0.name));
        self.close_connections();
    }

    /// Ends all connections; new ones are accepted.
    pub fn close_connections(&self) {
        let connections = std::mem::take(&mut *self.0.connections.lock().unwrap());
        self.0.record.line(format!("{} ends {} connections", self.0.name, connections.len()));
        connections.values().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Returns the time up to which it has applied every commit (Unix ms).
    pub fn position(&self) -> u64 {
        let now = now_ms();
        let mut state = self.state();
        let reached = if state.primary { now } else { now - state.delay_ms };
        state.position_ms = state.position_ms.max(reached);
        state.position_ms
    }

    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let startup = wire::read_startup(&mut stream)?;
        if startup.starts_with(&196_608u32.to_be_bytes()) {
            let number = self.0.next_connection.fetch_add(1, Ordering::SeqCst);
            self.0.connections.lock().unwrap().insert(number, stream.try_clone()?);
            let mut session = Session {
                machine: self.clone(),
                number,
                stream,
                output: Vec::new(),
                reported_standby: None,
                current: HashMap::new(),
                committed: HashMap::new(),
                status: b'I',
                rows: Vec::new(),
                statements: HashMap::new(),
                portals: HashMap::new(),
                skipping: false,
            };
            let result = session.run();
            self.0.connections.lock().unwrap().remove(&number);
            return result;
        }
        // A request for TLS, or a cancel: neither is served.
        Ok(())
    }
}

struct Session {
    machine: Machine,
    number: u64,
    stream: TcpStream,
    output: Vec<u8>,
    reported_standby: Option<bool>,
    current: HashMap<String, String>,
    committed: HashMap<String, String>,
    status: u8,
    rows: Vec<(String, String)>,
    statements: HashMap<String, String>,
    portals: HashMap<String, String>,
    skipping: bool,
}

type Fault = (&'static str, String);

impl Session {
    fn line(&self, text: &str) {
        self.machine.0.record.line(format!("{}#{} {text}", self.machine.0.name, self.number));
    }

    fn flush(&mut self) -> Result<()> {
        if !self.machine.is_up() {
            return Err(Error::from(ErrorKind::ConnectionReset));
        }
        let output = std::mem::take(&mut self.output);
        wire::write_all(&mut self.stream, &output)
    }

    /// Reports the role and, on the platform, the position, ahead of ReadyForQuery.
    fn ready(&mut self) -> Result<()> {
        let primary = self.machine.is_primary();
        if self.machine.0.platform {
            let role = if primary { "writer" } else { "reader" };
            self.output.extend(wire::strings(b'S', &["server_role", role]));
        } else if self.reported_standby != Some(!primary) {
            self.reported_standby = Some(!primary);
            let standby = if primary { "off" } else { "on" };
            self.output.extend(wire::strings(b'S', &["in_hot_standby", standby]));
        }
        self.output.extend(wire::frame(b'Z', &[self.status]));
        self.flush()
    }

    fn run(&mut self) -> Result<()> {
        let one_in = self.machine.0.late_one_in.load(Ordering::SeqCst);
        if one_in > 0 && self.number % one_in == 0 {
            let ms = self.machine.0.late_ms.load(Ordering::SeqCst);
            self.line(&format!("comes up {ms} ms late"));
            sleep_ms(ms);
        }
        self.output.extend(wire::frame(b'R', &[0; 4]));
        if !self.machine.0.platform {
            for (name, value) in
                [("server_version", "16.4"), ("client_encoding", "UTF8"), ("TimeZone", "UTC")]
            {
                self.output.extend(wire::strings(b'S', &[name, value]));
            }
            let key = [(self.number as u32).to_be_bytes(), [7; 4]].concat();
            self.output.extend(wire::frame(b'K', &key));
        }
        self.ready()?;
        loop {
            let (kind, body) = wire::read_message(&mut self.stream)?;
            match kind {
                b'X' => return Ok(()),
                b'Q' => self.simple(&wire::cut_string(&body).0)?,
                b'S' => {
                    let failed = std::mem::take(&mut self.skipping);
                    let commits = !failed && self.status == b'I' && !self.rows.is_empty();
                    self.end_implicit(failed);
                    if commits {
                        // As where a commit waits for a replica.
                        sleep_ms((self.machine.0.work)("COMMIT"));
                    }
                    self.ready()?;
                }
                _ if self.skipping => {}
                b'H' => self.flush()?,
                _ => {
                    if let Err((code, text)) = self.extended(kind, &body) {
                        self.skipping = true;
                        self.fail(code, &text);
                    }
                }
            }
        }
    }

    fn fail(&mut self, code: &str, text: &str) {
        self.line(&format!("error {code} {text}"));
        self.output.extend(wire::error("ERROR", code, text));
        if self.status == b'T' {
            self.status = b'E';
        }
    }

    /// Outside of a transaction block, what was done is committed or undone.
    fn end_implicit(&mut self, failed: bool) {
        if self.status == b'I' {
            if failed {
                self.rows.clear();
                self.current = self.committed.clone();
            } else {
                let _ = self.commit();
            }
        }
    }

    fn simple(&mut self, sql: &str) -> Result<()> {
        self.line(&format!("runs: {sql}"));
        self.statements.remove("");
        let text = match (sql.trim_start().strip_prefix("/*"), sql.split_once("*/")) {
            (Some(_), Some((_, rest))) => rest.to_string(),
            _ => sql.to_string(),
        };
        let mut failed = false;
        let parts: Vec<String> =
            text.split(';').map(|part| part.trim().to_string()).filter(|part| !part.is_empty()).collect();
        if parts.is_empty() {
            self.output.extend(wire::frame(b'I', b""));
        }
        for part in parts {
            if let Err((code, text)) = self.execute(&part, true) {
                self.fail(code, &text);
                failed = true;
                break;
            }
        }
        self.end_implicit(failed);
        self.ready()
    }

    fn extended(&mut self, kind: u8, body: &[u8]) -> std::result::Result<(), Fault> {
        match kind {
            b'P' => {
                let (name, rest) = wire::cut_string(body);
                let (sql, _) = wire::cut_string(rest);
                if !name.is_empty() && self.statements.contains_key(&name) {
                    return Err(("42P05", format!("prepared statement \"{name}\" already exists")));
                }
                self.line(&format!("prepares '{name}': {sql}"));
                self.statements.insert(name, sql);
                self.output.extend(wire::frame(b'1', b""));
            }
            b'B' => {
                let (portal, rest) = wire::cut_string(body);
                let (name, _) = wire::cut_string(rest);
                let Some(prepared) = self.statements.get(&name).cloned() else {
                    return Err(("26000", format!("prepared statement \"{name}\" does not exist")));
                };
                self.portals.insert(portal, prepared);
                self.output.extend(wire::frame(b'2', b""));
            }
            b'E' => {
                let (portal, _) = wire::cut_string(body);
                let Some(prepared) = self.portals.get(&portal).cloned() else {
                    return Err(("34000", "no such portal".into()));
                };
                self.line(&format!("executes: {prepared}"));
                self.execute(&prepared, false)?;
            }
            b'D' => self.output.extend(wire::frame(b'n', b"")),
            b'C' => {
                let (name, _) = wire::cut_string(body.get(1..).unwrap_or(b""));
                if body.first() == Some(&b'S') {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.output.extend(wire::frame(b'3', b""));
            }
            _ => return Err(("08P01", "unknown message".into())),
        }
        Ok(())
    }

    fn tag(&mut self, tag: &str) {
        self.output.extend(wire::strings(b'C', &[tag]));
    }

    fn row(&mut self, value: &str, describe: bool) {
        if describe {
            let (oid, binary) = if self.machine.0.platform { (17, true) } else { (25, false) };
            self.output.extend(wire::row_description("v", oid, binary));
        }
        self.output.extend(wire::data_row(value.as_bytes()));
        self.tag("SELECT 1");
    }

    /// Commits the rows and the settings of the transaction; returns the commit's time.
    fn commit(&mut self) -> std::result::Result<u64, Fault> {
        self.committed = self.current.clone();
        let rows = std::mem::take(&mut self.rows);
        if rows.is_empty() {
            return Ok(0);
        }
        let mut log = self.machine.0.log.0.lock().unwrap();
        let state = self.machine.0.state.lock().unwrap();
        if !state.up || !state.primary {
            return Err(("25006", "not the primary any more".into()));
        }
        let at_ms = now_ms().max(log.last().map_or(0, |last| last.at_ms + 1));
        log.push(Commit { at_ms, rows: rows.clone(), by: self.machine.0.name.clone() });
        drop((state, log));
        self.line(&format!("commits {rows:?}"));
        Ok(at_ms)
    }

    fn execute(&mut self, statement: &str, describe: bool) -> std::result::Result<(), Fault> {
        let sql = statement.trim();
        let upper = sql.to_uppercase();
        let ends = upper.starts_with("COMMIT") || upper.starts_with("ROLLBACK");
        if self.status == b'E' && !ends {
            return Err(("25P02", "current transaction is aborted".into()));
        }
        sleep_ms((self.machine.0.work)(sql));
        if !self.machine.is_up() {
            return Ok(());
        }
        if upper.starts_with("BEGIN") {
            self.status = b'T';
            self.tag("BEGIN");
        } else if upper.starts_with("COMMIT") {
            let failed = self.status == b'E';
            self.status = b'I';
            if failed {
                self.rows.clear();
                self.current = self.committed.clone();
                self.tag("ROLLBACK");
            } else {
                self.commit()?;
                self.tag("COMMIT");
            }
        } else if upper.starts_with("ROLLBACK") {
            self.status = b'I';
            self.rows.clear();
            self.current = self.committed.clone();
            self.tag("ROLLBACK");
        } else if upper.starts_with("SET ") {
            let words: Vec<&str> = sql.split_whitespace().collect();
            let value = words.get(3).map_or("", |value| value.trim_matches('\''));
            self.current.insert(words.get(1).map_or(String::new(), |n| n.to_lowercase()), value.into());
            self.tag("SET");
        } else if upper.starts_with("RESET ") {
            let name = sql.split_whitespace().nth(1).unwrap_or("").to_lowercase();
            self.current.remove(&name);
            self.tag("RESET");
        } else if upper.starts_with("DISCARD ALL") {
            self.current.clear();
            self.statements.clear();
            self.tag("DISCARD ALL");
        } else if upper.starts_with("INSERT") {
            if !self.machine.is_primary() {
                return Err(("25006", "cannot execute INSERT in a read-only transaction".into()));
            }
            let texts: Vec<&str> = sql.split('\'').collect();
            let key = texts.get(1).copied().unwrap_or("").to_string();
            let value = texts.get(3).copied().unwrap_or("").to_string();
            self.rows.push((key, value.clone()));
            if self.machine.0.platform {
                let at = self.commit()?;
                self.row(&value, describe);
                self.output.extend(wire::strings(b'S', &["commit_clock", &at.to_string()]));
            } else {
                self.tag("INSERT 0 1");
            }
        } else if upper.starts_with("SHOW USAGE") {
            let position = self.machine.position();
            let primary = u8::from(self.machine.is_primary());
            self.row(&format!("x0={}.{:03},x1={primary}", position / 1000, position % 1000), describe);
        } else if upper.starts_with("SELECT DOC") {
            let key = sql.split('\'').nth(1).unwrap_or("").to_string();
            let position = self.machine.position();
            let value = self.machine.0.log.values(&key, position).pop().unwrap_or_default();
            self.line(&format!("answers {key} = '{value}' as of {position}"));
            self.row(&value, describe);
            self.output.extend(wire::strings(b'S', &["commit_clock", &position.to_string()]));
        } else {
            // A constant, or the machine's name.
            let value = sql.split('\'').nth(1).map_or(self.machine.0.name.clone(), String::from);
            self.row(&value, describe);
        }
        Ok(())
    }
}
