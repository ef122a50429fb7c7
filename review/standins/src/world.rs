//! The record, the list's agent, database machines and the pooler's process.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::pg::*;

/// `record.txt`: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn new(path: &Path) -> io::Result<Record> {
        Ok(Record(Arc::new((Mutex::new(File::create(path)?), Instant::now()))))
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.0 .1.elapsed().as_secs_f64());
        let _ = self.0 .0.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The agent that has the list of the database machines: the whole list, and a watch that tells no change.
pub struct Agent {
    pub address: SocketAddr,
    pub list: String,
}

impl Agent {
    pub fn start(machines: &[&Machine]) -> io::Result<Agent> {
        let entries: Vec<String> = machines.iter().map(|machine| machine.list_entry()).collect();
        let list = format!(r#"{{"index":41,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let told = list.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let told = told.clone();
                std::thread::spawn(move || serve_list(stream, &told));
            }
        });
        Ok(Agent { address, list })
    }
}

fn serve_list(mut stream: TcpStream, list: &str) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut request = String::new();
        if reader.read_line(&mut request).ok()? == 0 {
            return None;
        }
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if line.trim().is_empty() {
                break;
            }
        }
        if !request.contains("follow=1") {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                list.len()
            );
            stream.write_all(format!("{head}{list}").as_bytes()).ok()?;
            continue;
        }
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).ok()?;
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        if !request.contains("since=41") {
            stream.write_all(chunk(&format!("{list}\n")).as_bytes()).ok()?;
        }
        loop {
            stream.write_all(chunk("\n").as_bytes()).ok()?;
            std::thread::sleep(Duration::from_secs(2));
        }
    }
}

/// The rows of a set, which its members share, and what was run.
#[derive(Default)]
pub struct Rows {
    /// How often each value was committed.
    pub committed: Mutex<BTreeMap<String, u32>>,
    /// What platform reads were answered from, by the value that each got.
    pub reads: Mutex<BTreeMap<String, PlatformRead>>,
    /// A machine of the set dies when it has sent so many bytes of its next long value.
    pub death_within_value: Mutex<Option<usize>>,
    /// The set's log: the clock of each commit (Unix ms), its key and its value.
    log: Mutex<Vec<(u64, String, String)>>,
}

/// A read of the platform's form, as the machine that ran it saw it.
#[derive(Clone, Debug)]
pub struct PlatformRead {
    pub machine: String,
    pub standby: bool,
    /// When its last byte had arrived, and the position that it was answered from (Unix ms).
    pub arrived: u64,
    pub position: u64,
}

impl Rows {
    /// The oldest commit after a position.
    pub fn first_commit_after(&self, position: u64) -> Option<u64> {
        let log = self.log.lock().unwrap();
        log.iter().map(|(clock, ..)| *clock).find(|clock| *clock > position)
    }

    /// Commits a value of a key; returns the commit's clock.
    fn commit(&self, key: &str, value: &str) -> u64 {
        let mut log = self.log.lock().unwrap();
        let clock = unix_ms().max(log.last().map_or(0, |(clock, ..)| clock + 1));
        log.push((clock, key.into(), value.into()));
        clock
    }

    /// The value of a key as of a position.
    fn value(&self, key: &str, position: u64) -> String {
        let log = self.log.lock().unwrap();
        let found = log.iter().rev().find(|(clock, of, _)| of == key && *clock <= position);
        found.map_or("0".into(), |(_, _, value)| value.clone())
    }
}

/// What is drawn for a connection to a machine.
pub type Lateness = Box<dyn Fn(u64) -> Duration + Send + Sync>;

/// A database machine: an ordinary PostgreSQL server, primary or replica of a set.
pub struct Machine {
    pub address: SocketAddr,
    pub name: String,
    zone: String,
    shared: Arc<MachineShared>,
}

struct MachineShared {
    name: String,
    standby: bool,
    rows: Arc<Rows>,
    record: Record,
    /// How late the connection with this number comes up.
    late: Lateness,
    /// How long a read works.
    work: Duration,
    /// How far a replica is behind (ms).
    behind: AtomicU64,
    /// Connections are closed after each answer, as the protocol page lets a machine do.
    closes: AtomicBool,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    last_connection: AtomicU64,
    /// The machine dies after this many rows of a long answer.
    dies_within_answer: AtomicBool,
    dead: AtomicBool,
}

impl Machine {
    pub fn start(
        name: &str,
        zone: &str,
        standby: bool,
        rows: &Arc<Rows>,
        record: &Record,
        work: Duration,
        late: Lateness,
    ) -> io::Result<Machine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(MachineShared {
            name: name.into(),
            standby,
            rows: rows.clone(),
            record: record.clone(),
            late,
            work,
            behind: AtomicU64::new(if standby { 10 } else { 0 }),
            closes: AtomicBool::new(false),
            connections: Mutex::default(),
            last_connection: AtomicU64::new(0),
            dies_within_answer: AtomicBool::new(false),
            dead: AtomicBool::new(false),
        });
        let serving = shared.clone();
        std::thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                // A process that is dead refuses connections; it comes back at the same address.
                while serving.dead.load(Ordering::SeqCst) {
                    listener = None;
                    std::thread::sleep(Duration::from_millis(5));
                }
                if listener.is_none() {
                    listener = TcpListener::bind(address).ok();
                    listener.iter().for_each(|listener| drop(listener.set_nonblocking(true)));
                }
                let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) else {
                    std::thread::sleep(Duration::from_micros(500));
                    continue;
                };
                let shared = serving.clone();
                std::thread::spawn(move || serve_connection(&shared, stream));
            }
        });
        Ok(Machine { address, name: name.into(), zone: zone.into(), shared })
    }

    pub fn list_entry(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"full-box","group":2,"status":"SERVING","weight":1.0,"since_ms":0}}"#,
            self.name, self.address, self.zone
        )
    }

    /// Has the machine close each connection after an answer.
    pub fn close_after_answers(&self) {
        self.shared.closes.store(true, Ordering::SeqCst);
    }

    /// Sets how far a replica is behind (ms).
    pub fn set_behind(&self, millis: u64) {
        self.shared.behind.store(millis, Ordering::SeqCst);
    }

    /// Closes all connections, as a server does that was told to end them or whose process died.
    pub fn close_connections(&self) {
        self.shared.connections.lock().unwrap().values().for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }

    /// The process dies in the middle of its next long answer: all its connections are reset and new ones
    /// end at once.
    pub fn die_within_answer(&self) {
        self.shared.dies_within_answer.store(true, Ordering::SeqCst);
    }

    /// The process is there again.
    pub fn revive(&self) {
        self.shared.dead.store(false, Ordering::SeqCst);
    }
}

impl MachineShared {
    /// All commits up to this time are applied (Unix ms).
    fn position(&self) -> u64 {
        unix_ms() - self.behind.load(Ordering::SeqCst)
    }
}

fn serve_connection(shared: &MachineShared, stream: TcpStream) {
    let number = shared.last_connection.fetch_add(1, Ordering::SeqCst) + 1;
    if stream.set_nonblocking(false).is_err() {
        return;
    }
    if let Ok(copy) = stream.try_clone() {
        shared.connections.lock().unwrap().insert(number, copy);
    }
    let end = Backend::new(shared, stream, number).and_then(|mut backend| backend.serve());
    if let Some(stream) = shared.connections.lock().unwrap().remove(&number) {
        let _ = stream.shutdown(Shutdown::Both);
    }
    if let Err(error) = end {
        shared.record.line(&format!("{} #{number}: ended: {error}", shared.name));
    }
}

/// One connection of a machine.
struct Backend<'a> {
    shared: &'a MachineShared,
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    number: u64,
    out: Vec<u8>,
    status: u8,
    /// Values inserted by the open transaction.
    pending: Vec<String>,
    settings: BTreeMap<String, String>,
    committed_settings: BTreeMap<String, String>,
}

impl<'a> Backend<'a> {
    fn new(shared: &'a MachineShared, stream: TcpStream, number: u64) -> io::Result<Backend<'a>> {
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Backend {
            shared,
            stream,
            reader,
            number,
            out: Vec::new(),
            status: b'I',
            pending: Vec::new(),
            settings: BTreeMap::new(),
            committed_settings: BTreeMap::new(),
        })
    }

    fn note(&self, text: &str) {
        self.shared.record.line(&format!("{} #{}: {text}", self.shared.name, self.number));
    }

    fn flush(&mut self) -> io::Result<()> {
        let bytes = std::mem::take(&mut self.out);
        self.stream.write_all(&bytes)
    }

    fn serve(&mut self) -> io::Result<()> {
        let first = read_first(&mut self.reader)?;
        if first.starts_with(&80_877_102u32.to_be_bytes()) {
            return Ok(());
        }
        let late = (self.shared.late)(self.number);
        if !late.is_zero() {
            self.note(&format!("this connection comes up {} ms late", late.as_millis()));
            std::thread::sleep(late);
        }
        let standby = if self.shared.standby { "on" } else { "off" };
        self.out.extend(frame(b'R', &[0; 4]));
        for (name, value) in [
            ("server_version", "15.4"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
            ("in_hot_standby", standby),
        ] {
            self.out.extend(status(name, value));
        }
        let key = [(self.number as u32).to_be_bytes(), 7u32.to_be_bytes()].concat();
        self.out.extend(frame(b'K', &key));
        self.out.extend(ready(b'I'));
        self.flush()?;
        loop {
            match read_message(&mut self.reader) {
                Ok((b'Q', body)) => {
                    let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
                    self.query(&text)?;
                }
                Ok((b'X', _)) => return Ok(()),
                Ok(_) => return Err(io::Error::other("only simple queries are served by this stand-in")),
                Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }

    /// Runs a query of the platform's form, by the protocol page.
    fn platform_query(&mut self, text: &str) -> io::Result<()> {
        let arrived = unix_ms();
        let quoted: Vec<&str> = text.split('\'').collect();
        let key = quoted.get(1).copied().unwrap_or_default();
        std::thread::sleep(self.shared.work);
        let (role, clock, value) = if text.contains("INSERT INTO") {
            if self.shared.standby {
                self.note("refused: 25006");
                self.out.extend(error("ERROR", "25006", "not the primary"));
                self.out.extend(status("server_role", "reader"));
                self.out.extend(status("commit_clock", &self.shared.position().to_string()));
                self.out.extend(ready(b'I'));
                return self.flush();
            }
            let value = quoted.get(3).copied().unwrap_or_default().trim_start_matches("\\x").to_string();
            ("writer", self.shared.rows.commit(key, &value), value)
        } else {
            let position = self.shared.position();
            let role = if self.shared.standby { "reader" } else { "writer" };
            let seen = if self.shared.standby { position } else { u64::MAX };
            let value = if key.starts_with("tile") {
                // Each read gets a value of its own, by which its answer is found again.
                let mut reads = self.shared.rows.reads.lock().unwrap();
                let value = format!("{}-{}", self.shared.name, reads.len());
                let (machine, standby) = (self.shared.name.clone(), self.shared.standby);
                reads.insert(value.clone(), PlatformRead { machine, standby, arrived, position });
                value
            } else {
                self.shared.rows.value(key, seen)
            };
            (role, position, value)
        };
        self.note(&format!("run: {key} is {value}, {role}, clock {clock}"));
        self.out.extend(row_description("doc"));
        self.out.extend(data_row(&value));
        self.out.extend(complete(if text.contains("INSERT INTO") { "INSERT 0 1" } else { "SELECT 1" }));
        self.out.extend(status("server_role", role));
        self.out.extend(status("commit_clock", &clock.to_string()));
        self.out.extend(ready(b'I'));
        self.flush()?;
        if self.shared.closes.load(Ordering::SeqCst) {
            return Err(io::Error::other("closed after the answer"));
        }
        Ok(())
    }

    /// Runs a simple query, which may hold several statements.
    fn query(&mut self, text: &str) -> io::Result<()> {
        self.note(&format!("asked: {text}"));
        if text.starts_with("/* id=") {
            return self.platform_query(text);
        }
        for sql in split(text) {
            match self.statement(sql)? {
                Ok(tag) => {
                    self.note(&format!("run: {sql} -> {tag}"));
                    self.out.extend(complete(&tag));
                }
                Err((code, text)) => {
                    self.note(&format!("refused: {sql} -> {code} {text}"));
                    self.out.extend(error("ERROR", code, &text));
                    if self.status == b'T' {
                        self.status = b'E';
                    }
                    self.settings = self.committed_settings.clone();
                    break;
                }
            }
        }
        self.out.extend(ready(self.status));
        self.flush()?;
        Ok(())
    }

    fn commit(&mut self) {
        let mut committed = self.shared.rows.committed.lock().unwrap();
        for value in self.pending.drain(..) {
            *committed.entry(value).or_insert(0) += 1;
        }
        self.committed_settings = self.settings.clone();
    }

    fn statement(&mut self, sql: &str) -> io::Result<Result<String, (&'static str, String)>> {
        let lower = sql.to_lowercase();
        let words: Vec<&str> = lower.split_whitespace().collect();
        let ends = matches!(words.as_slice(), ["commit" | "end" | "rollback" | "abort", ..]);
        if self.status == b'E' && !ends {
            return Ok(Err(("25P02", "current transaction is aborted".into())));
        }
        let tag = match words.as_slice() {
            ["begin" | "start", ..] => {
                self.status = b'T';
                "BEGIN".into()
            }
            ["commit" | "end", ..] if self.status != b'E' => {
                self.commit();
                self.status = b'I';
                "COMMIT".into()
            }
            ["commit" | "end" | "rollback" | "abort", ..] => {
                self.pending.clear();
                self.settings = self.committed_settings.clone();
                self.status = b'I';
                "ROLLBACK".into()
            }
            ["insert", ..] if self.shared.standby => {
                return Ok(Err(("25006", "cannot execute INSERT in a read-only transaction".into())));
            }
            ["insert", ..] => {
                std::thread::sleep(self.shared.work);
                self.pending.push(sql.split('\'').nth(1).unwrap_or_default().to_string());
                if self.status == b'I' {
                    self.commit();
                }
                "INSERT 0 1".into()
            }
            ["set", name, "to" | "=", ..] => {
                let value = sql.splitn(4, char::is_whitespace).nth(3).unwrap_or_default();
                self.settings.insert(name.to_string(), constant(value));
                if self.status == b'I' {
                    self.committed_settings = self.settings.clone();
                }
                "SET".into()
            }
            ["reset", name] => {
                self.settings.remove(*name);
                if self.status == b'I' {
                    self.committed_settings = self.settings.clone();
                }
                "RESET".into()
            }
            // The platform's probe: the position in the log, in seconds, and whether this is the primary.
            ["show", "usage"] => {
                let position = self.shared.position() as f64 / 1000.0;
                self.out.extend(row_description("usage"));
                let primary = u8::from(!self.shared.standby);
                self.out.extend(data_row(&format!("x0={position:.3},x1={primary},queue=0,inflight=0")));
                "SHOW".into()
            }
            ["show", name] => {
                let value = self.settings.get(*name).cloned().unwrap_or_default();
                self.out.extend(row_description(name));
                self.out.extend(data_row(&value));
                "SHOW".into()
            }
            ["select", "report", ..] => {
                // A long answer: sent on as the buffer fills, as a server does.
                self.out.extend(row_description("doc"));
                for row in 0..64 {
                    self.out.extend(data_row(&format!("{row:04} {}", "x".repeat(1_000))));
                    if self.out.len() > 8_192 {
                        self.flush()?;
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    if row == 32 && self.shared.dies_within_answer.swap(false, Ordering::SeqCst) {
                        self.note("the process dies");
                        self.shared.dead.store(true, Ordering::SeqCst);
                        let connections = self.shared.connections.lock().unwrap();
                        connections.values().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
                        return Err(io::Error::other("the process died"));
                    }
                }
                "SELECT 64".into()
            }
            // Functions of the application, on the primary: what they set holds for the server's session.
            ["select", call, ..] if call.starts_with("login(") => {
                let tenant = sql.split('\'').nth(1).unwrap_or_default().to_string();
                self.settings.insert("app.tenant".into(), tenant.clone());
                if self.status == b'I' {
                    self.committed_settings = self.settings.clone();
                }
                self.out.extend(row_description("login"));
                self.out.extend(data_row(&tenant));
                "SELECT 1".into()
            }
            ["select", "my_orders()"] => {
                let tenant = self.settings.get("app.tenant").cloned().unwrap_or_default();
                self.out.extend(row_description("my_orders"));
                if !tenant.is_empty() {
                    self.out.extend(data_row(&format!("an order of {tenant}")));
                }
                format!("SELECT {}", u8::from(!tenant.is_empty()))
            }
            // A long value, written as the network takes it.
            ["select", "map", ..] => {
                let key = sql.split('\'').nth(1).unwrap_or_default();
                let bytes = [row_description("map"), data_row(&long_value(key))].concat();
                let death = self.shared.rows.death_within_value.lock().unwrap().take();
                let end = death.map_or(bytes.len(), |left| bytes.len() - left.min(bytes.len()));
                for part in bytes[..end].chunks(4_096) {
                    self.stream.write_all(part)?;
                    std::thread::sleep(Duration::from_millis(2));
                }
                if death.is_some() {
                    self.note(&format!(
                        "the process dies, {} bytes before the end of the row",
                        bytes.len() - end
                    ));
                    self.shared.dead.store(true, Ordering::SeqCst);
                    let connections = self.shared.connections.lock().unwrap();
                    connections.values().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
                    return Err(io::Error::other("the process died"));
                }
                "SELECT 1".into()
            }
            ["select", ..] => {
                std::thread::sleep(self.shared.work);
                let value = sql.split('\'').nth(1).unwrap_or_default().to_string();
                self.out.extend(row_description("doc"));
                self.out.extend(data_row(&value));
                "SELECT 1".into()
            }
            _ => return Ok(Err(("0A000", "not known to this stand-in".into()))),
        };
        Ok(Ok(tag))
    }
}

/// The long value of a key: 48 KiB, of which the key decides each part.
pub fn long_value(key: &str) -> String {
    (0..48 * 64).map(|n| format!("{key:>8}-{n:06};")).collect()
}

/// The value of a constant, also of an E'' one.
fn constant(text: &str) -> String {
    let text = text.trim();
    match text.strip_prefix("E'").or(text.strip_prefix("e'")).and_then(|rest| rest.strip_suffix('\'')) {
        Some(inside) => {
            let (mut out, mut chars) = (String::new(), inside.chars());
            while let Some(c) = chars.next() {
                match c {
                    '\\' => match chars.next() {
                        Some('n') => out.push('\n'),
                        Some('t') => out.push('\t'),
                        Some(other) => out.push(other),
                        None => {}
                    },
                    other => out.push(other),
                }
            }
            out
        }
        None => text.trim_matches('\'').replace("''", "'"),
    }
}

/// Splits a text into statements, outside of quotes.
fn split(text: &str) -> Vec<&str> {
    let (mut parts, mut start, mut quoted, mut escaped) = (Vec::new(), 0, false, false);
    for (at, c) in text.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '\'' => quoted = !quoted,
            ';' if !quoted => {
                parts.push(text[start..at].trim());
                start = at + 1;
            }
            _ => {}
        }
    }
    parts.push(text[start..].trim());
    parts.retain(|part| !part.is_empty());
    parts
}

/// The pooler's process, started by the command of the deploy file.
pub struct Pooler {
    child: Child,
    log: Receiver<String>,
    pub listen: Option<SocketAddr>,
    /// Where ordinary clients connect.
    pub pool: Option<SocketAddr>,
}

impl Pooler {
    /// Starts it from the repository's root, and waits until it listens.
    pub fn start(
        root: &Path,
        dir: &Path,
        platform: &str,
        operator: &str,
        record: &Record,
    ) -> io::Result<Pooler> {
        fs::write(dir.join("config.json"), platform)?;
        fs::write(dir.join("dewferry.toml"), operator)?;
        let mut pooler = Pooler::launch(root, dir, "", "pooler", record)?;
        let after = if operator.contains("[pool]") { "connect to " } else { "listens on " };
        let address = pooler.address_after(after)?;
        if after == "connect to " {
            pooler.pool = Some(address);
        } else {
            pooler.listen = Some(address);
        }
        Ok(pooler)
    }

    /// Starts it without an operator's file.
    pub fn start_plain(root: &Path, dir: &Path, platform: &str, record: &Record) -> io::Result<Pooler> {
        fs::write(dir.join("config.json"), platform)?;
        let mut pooler = Pooler::run(root, dir, "exec target/release/dewferry serve", "pooler", record)?;
        pooler.listen = Some(pooler.address_after("listens on ")?);
        Ok(pooler)
    }

    /// Starts the program on the files in the folder, with further options.
    pub fn launch(root: &Path, dir: &Path, options: &str, name: &str, record: &Record) -> io::Result<Pooler> {
        let run = format!("exec target/release/dewferry serve --operator \"$OPERATOR_FILE\"{options}");
        Pooler::run(root, dir, &run, name, record)
    }

    fn run(root: &Path, dir: &Path, run: &str, name: &str, record: &Record) -> io::Result<Pooler> {
        let (config, file) = (dir.join("config.json"), dir.join("dewferry.toml"));
        record.line(&format!("{name}: started by: {run}"));
        let mut child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("LB_NAME", "n1")
            .env("LB_CONFIG", &config)
            .env("OPERATOR_FILE", &file)
            .env("TMPDIR", dir)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let (lines, log) = channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (logged, name) = (record.clone(), name.to_string());
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                logged.line(&format!("{name} log: {line}"));
                if lines.send(line).is_err() {
                    // Nobody waits for a line any more; the record goes on.
                }
            }
        });
        Ok(Pooler { child, log, listen: None, pool: None })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a log line with this text.
    pub fn wait_for(&mut self, text: &str, patience: Duration) -> io::Result<String> {
        let until = Instant::now() + patience;
        while let Ok(line) = self.log.recv_timeout(until.saturating_duration_since(Instant::now())) {
            if line.contains(text) {
                return Ok(line);
            }
        }
        Err(io::Error::other(format!("no log line with \"{text}\"")))
    }

    fn address_after(&mut self, text: &str) -> io::Result<SocketAddr> {
        let until = Instant::now() + Duration::from_secs(10);
        while let Ok(line) = self.log.recv_timeout(until.saturating_duration_since(Instant::now())) {
            let word =
                |text: &str| line.split(text).nth(1).and_then(|rest| rest.split(',').next()?.parse().ok());
            if let Some(address) = word("listens on ") {
                self.listen = Some(address);
            }
            if let Some(address) = word(text) {
                return Ok(address);
            }
        }
        Err(io::Error::other(format!("no log line with an address after \"{text}\"")))
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
