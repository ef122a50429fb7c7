//! Runs the pooler between scripted peers on loopback: clients, members and discovery, which a test drives
//! step by step. Every wait is for an event, and the test fails if the event does not happen.

mod authority;
mod platform;
mod postgres;
mod registry;

pub use authority::{write_private_file, CertificateAuthority};
pub use platform::{
    client_with_cancel_key, counter_value, establish_primary, send_cancel_request, start_with_one_member,
    wait_for_counter,
};
pub use postgres::{Discard, Postgres};
pub use registry::{Faults, ReadWrite, Registry};

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time limit of a wait: far longer than any event takes, so that only a failing test reaches it.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two requests for the counters: the log suppresses lines of one kind above 200 in 10 s.
pub const COUNTERS_INTERVAL: Duration = Duration::from_millis(50);

/// Number of poolers started so far, for the names of their configuration files.
static STARTED_POOLERS: AtomicUsize = AtomicUsize::new(0);

/// Settings with long time limits, so that a slow host does not fail a test.
const SETTINGS: &str = r#"{"classes":[
{"name":"browse","aim":8,"deadline":9,"effect":"read_like","value":1},
{"name":"own-orders","aim":8,"deadline":9,"effect":"read_like","value":1},
{"name":"reports","aim":8,"deadline":9,"effect":"read_like","value":1},
{"name":"order-write","aim":8,"deadline":9,"effect":"idempotency_key","group":"cell","dedupWindow":2,"value":1}],
"customers":[{"name":"acme","quotaPerS":1000}],"zones":["here","there"],"zone":0,"fleetSize":1,"tick":0.005,
"registryMode":"subscribe","invariants":{"askWithin":10,"coldFrom":0.2,"warmUp":1,"tipMultiple":3,"fall":1},
"limits":{"cancel":true,"connectTimeout":1,"keepalive":15,"maxAttempts":6,"maxRetryAfter":0.5,"probes":false,"retryAfter":true},
"specifics":{"consistency":["bounded","session","any","write"],"stalenessBound":[3,0,0,0],"whenBehind":"silent","writeMarks":"remembered"}}"#;

/// Returns the platform's configuration with this saved list.
pub fn platform_config(list: &str, discovery: &Discovery) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964",
        "limits":{{"memory_mb":192,"sockets":1024}},"known":{list},"settings":{SETTINGS}}}"#,
        discovery.address()
    )
}

pub struct Pooler {
    child: Child,
    log: Mutex<Receiver<String>>,
    config: PathBuf,
    /// The operator's folder, with the operator's file, the control socket and the history.
    folder: Option<PathBuf>,
    program: String,
    pub address: SocketAddr,
}

impl Pooler {
    /// Starts the program on a configuration in which each text of `edits` is replaced.
    pub fn start(program: &str, list: &str, discovery: &Discovery, edits: &[(&str, &str)]) -> Pooler {
        Pooler::launch(program, list, discovery, edits, None, &[])
    }

    /// Starts the program with an operator's file, too. The control socket and the history are in the
    /// operator's folder.
    pub fn start_with_operator(
        program: &str,
        list: &str,
        discovery: &Discovery,
        operator: &OperatorFolder,
    ) -> Pooler {
        Pooler::start_with_operator_and_edits(program, list, discovery, operator, &[])
    }

    /// Like `start_with_operator`, on a configuration in which each text of `edits` is replaced.
    pub fn start_with_operator_and_edits(
        program: &str,
        list: &str,
        discovery: &Discovery,
        operator: &OperatorFolder,
        edits: &[(&str, &str)],
    ) -> Pooler {
        Pooler::launch(program, list, discovery, edits, Some(operator), &[])
    }

    /// Like `start_with_operator`, with additional environment variables.
    pub fn start_with_environment(
        program: &str,
        list: &str,
        discovery: &Discovery,
        operator: &OperatorFolder,
        environment: &[(&str, &str)],
    ) -> Pooler {
        Pooler::launch(program, list, discovery, &[], Some(operator), environment)
    }

    /// Starts a successor of the pooler that listens at `listen`, with the same operator's file.
    pub fn start_successor(
        program: &str,
        list: &str,
        discovery: &Discovery,
        operator: &OperatorFolder,
        listen: &str,
    ) -> Pooler {
        let edits = [("127.0.0.1:0", listen)];
        Pooler::launch(program, list, discovery, &edits, Some(operator), &[("TAKE_OVER", "1")])
    }

    fn launch(
        program: &str,
        list: &str,
        discovery: &Discovery,
        edits: &[(&str, &str)],
        operator: Option<&OperatorFolder>,
        environment: &[(&str, &str)],
    ) -> Pooler {
        let mut text = platform_config(list, discovery);
        for (from, to) in edits {
            assert!(text.contains(from), "{from} is not in the configuration");
            text = text.replace(from, to);
        }
        let number = discovery.address().port();
        let path = std::env::temp_dir().join(format!(
            "dewferry-{}-{number}-{}.json",
            std::process::id(),
            STARTED_POOLERS.fetch_add(1, Ordering::SeqCst)
        ));
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(program);
        command.args(["serve", "--config"]).arg(&path).stderr(Stdio::piped());
        command.envs(environment.iter().copied());
        if environment.contains(&("TAKE_OVER", "1")) {
            command.arg("--take-over");
        }
        if let Some(operator) = operator {
            command.arg("--operator").arg(operator.file()).arg("--state").arg(operator.0.join("state"));
        }
        let mut child = command.spawn().expect("the pooler starts");
        let (lines, log) = channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| lines.send(line))
        });
        let folder = operator.map(|operator| operator.0.clone());
        let (program, address) = (program.to_string(), ([127, 0, 0, 1], 0).into());
        let mut pooler = Pooler { child, log: Mutex::new(log), config: path, folder, program, address };
        let line = pooler.wait_for_log("listens on ");
        let address = line.split("listens on ").nth(1).and_then(|rest| rest.split(',').next());
        pooler.address = address.unwrap().parse().unwrap();
        pooler
    }

    /// Runs `dewferry config` with these arguments against this pooler. Returns its exit code and its output.
    pub fn run_config(&self, args: &[&str]) -> (i32, String) {
        let folder = self.folder.as_ref().expect("an operator's folder");
        let output = Command::new(&self.program)
            .arg("config")
            .args(args)
            .env("DEWFERRY_CONTROL", folder.join("control"))
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap(), String::from_utf8(text).unwrap())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the path of the platform's configuration file.
    pub fn platform_file(&self) -> &std::path::Path {
        &self.config
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Replaces `from` in the configuration file and sends SIGHUP.
    pub fn reload(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.config).unwrap();
        assert!(text.contains(from), "{from} is not in the configuration");
        std::fs::write(&self.config, text.replace(from, to)).unwrap();
        self.signal("HUP");
    }

    /// Waits for a log line that contains `text` and returns it.
    pub fn wait_for_log(&self, text: &str) -> String {
        let mut others = Vec::new();
        loop {
            let line = self.log.lock().unwrap().recv_timeout(EVENT_TIMEOUT);
            let line = line.unwrap_or_else(|end| panic!("'{text}' is not logged ({end}): {others:#?}"));
            if line.contains(text) {
                return line;
            }
            others.push(line);
        }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    /// Returns the value of a counter.
    pub fn counter(&self, name: &str) -> u64 {
        counter_value(&self.counters(), name)
    }

    /// Waits until a counter is greater than `value`.
    pub fn wait_for_counter_above(&self, name: &str, value: u64) {
        let started_at = std::time::Instant::now();
        while self.counter(name) <= value {
            assert!(started_at.elapsed() < EVENT_TIMEOUT, "{name} stays at {value}");
            std::thread::sleep(COUNTERS_INTERVAL);
        }
    }

    /// Returns the line of counters. The pooler writes it after it has handled all earlier events.
    pub fn counters(&self) -> String {
        self.signal("USR1");
        self.wait_for_log("taken=")
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let started_at = std::time::Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(started_at.elapsed() < EVENT_TIMEOUT, "the pooler does not exit");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// An operator's folder for one test, removed when dropped.
pub struct OperatorFolder(pub PathBuf);

impl OperatorFolder {
    /// Creates a folder with an operator's file of these settings, which places the control socket in the
    /// folder.
    pub fn new(name: &str, settings: &str) -> OperatorFolder {
        let folder = std::env::temp_dir().join(format!("dewferry-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let operator = OperatorFolder(folder);
        operator.write("dewferry.toml", settings);
        operator
    }

    pub fn file(&self) -> PathBuf {
        self.0.join("dewferry.toml")
    }

    /// Writes a file of these settings into the folder atomically. Returns its path.
    pub fn write(&self, name: &str, settings: &str) -> String {
        let (path, new) = (self.0.join(name), self.0.join("new"));
        let socket = self.0.join("control");
        std::fs::write(&new, format!("control.socket = \"{}\"\n{settings}\n", socket.display())).unwrap();
        std::fs::rename(&new, &path).unwrap();
        path.to_str().unwrap().to_string()
    }
}

impl Drop for OperatorFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub type Message = (u8, Vec<u8>);

/// Either end of a connection that uses PostgreSQL's protocol.
pub struct Wire(pub TcpStream);

impl Wire {
    pub fn from_stream(stream: TcpStream) -> Wire {
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Wire(stream)
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// Returns true if the bytes could be sent.
    pub fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).is_ok()
    }

    /// Returns the next message, or `None` if the connection has ended.
    pub fn message(&mut self) -> Option<Message> {
        let mut head = [0; 5];
        self.0.read_exact(&mut head).ok()?;
        let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
        self.0.read_exact(&mut body).ok()?;
        Some((head[0], body))
    }

    /// Returns all messages before the next ReadyForQuery, or before the end of the connection.
    pub fn answer(&mut self) -> Vec<Message> {
        let mut messages = Vec::new();
        while let Some(message) = self.message().filter(|message| message.0 != b'Z') {
            messages.push(message);
        }
        messages
    }

    /// Returns the code and the detail of the next answer, which must be a single error.
    pub fn error(&mut self) -> (String, Option<String>) {
        let answer = self.answer();
        assert_eq!((answer.len(), answer[0].0), (1, b'E'), "{answer:?}");
        let text = String::from_utf8(answer[0].1.clone()).unwrap();
        let field = |kind| text.split('\0').find_map(|f| f.strip_prefix(kind).map(String::from));
        (field('C').unwrap(), field('D'))
    }

    /// Waits for the end of the connection. Panics if data arrive before it.
    pub fn expect_closed(&mut self) {
        match self.0.read(&mut [0]) {
            Ok(0) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            other => panic!("expected the end of the connection, got {other:?}"),
        }
    }
}

pub fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

pub fn query(sql: &str) -> Vec<u8> {
    frame(b'Q', &[sql.as_bytes(), b"\0"].concat())
}

pub fn startup() -> Vec<u8> {
    let parameters = b"\0\x03\0\0user\0app\0database\0shop\0\0";
    [&(parameters.len() as u32 + 4).to_be_bytes()[..], parameters].concat()
}

/// Returns a query of a class with the comment that the pooler reads.
pub fn request_sql(id: &str, class: &str) -> String {
    format!("/* id={id},c={class},t=acme,d=8500,k=5c0f,cluster=2 */ SELECT doc FROM items WHERE id = '7f3a'")
}

/// Connects a client and completes its startup.
pub fn client(pooler: &Pooler) -> Wire {
    let mut wire = Wire::from_stream(TcpStream::connect(pooler.address).unwrap());
    wire.send(&startup());
    wire.answer();
    wire
}

/// Returns a listener whose `accept` times out after `EVENT_TIMEOUT`.
fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&listener).set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    listener
}

/// A member whose connections the test accepts and drives.
pub struct ScriptedMember(TcpListener);

impl ScriptedMember {
    pub fn listen() -> ScriptedMember {
        ScriptedMember(listener())
    }

    /// Returns its entry in the list.
    pub fn list_entry(&self, name: &str, zone: &str) -> String {
        list_entry(self.0.local_addr().unwrap(), name, zone, "SERVING")
    }

    /// Returns its entry in the list while it is draining.
    pub fn draining_list_entry(&self, name: &str, zone: &str) -> String {
        list_entry(self.0.local_addr().unwrap(), name, zone, "DRAINING")
    }

    /// Accepts the next connection, without its startup.
    pub fn accept_without_startup(&self) -> Wire {
        Wire::from_stream(self.0.accept().expect("the pooler connects").0)
    }

    /// Accepts the next connection and completes its startup.
    pub fn accept(&self) -> Wire {
        let mut wire = self.accept_without_startup();
        complete_startup(&mut wire);
        wire
    }
}

/// Sends one read, which the member answers on the next connection from the pooler. Returns that connection.
pub fn serve_read(member: &ScriptedMember, client: &mut Wire, id: &str) -> Wire {
    client.send(&query(&request_sql(id, "reports")));
    let mut wire = member.accept();
    assert!(read_query(&mut wire).contains(&format!("id={id},")));
    wire.send(&answer_with_role(b"\x9f\x00\x03", "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    wire
}

/// Reads the next query from a pooler on a connection.
pub fn read_query(wire: &mut Wire) -> String {
    let (kind, body) = wire.message().expect("a query");
    assert_eq!(kind, b'Q');
    String::from_utf8(body[..body.len() - 1].to_vec()).unwrap()
}

/// Encodes the row of a member's answer, with a binary value.
pub fn row(value: &[u8]) -> Vec<u8> {
    let column = [&(value.len() as u32).to_be_bytes()[..], value].concat();
    [
        frame(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"),
        frame(b'D', &[b"\0\x01", &column[..]].concat()),
        frame(b'C', b"SELECT 1\0"),
    ]
    .concat()
}

/// Encodes a complete answer: the row, the role and ReadyForQuery.
pub fn answer_with_role(value: &[u8], role: &str) -> Vec<u8> {
    let role = frame(b'S', format!("server_role\0{role}\0").as_bytes());
    [row(value), role, frame(b'Z', b"I")].concat()
}

/// A member that answers all queries, with a thread per connection, until the process exits.
pub struct AnsweringMember {
    pub address: SocketAddr,
    pub query_count: Arc<AtomicUsize>,
}

impl AnsweringMember {
    /// Starts a member that answers each query with the result of `answer`.
    pub fn new(answer: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static) -> AnsweringMember {
        let member = ScriptedMember::listen();
        let address = member.0.local_addr().unwrap();
        let (answer, query_count) = (Arc::new(answer), Arc::new(AtomicUsize::new(0)));
        let count = query_count.clone();
        std::thread::spawn(move || {
            // Continues after a time-out of `accept`.
            loop {
                let Ok((stream, _)) = member.0.accept() else { continue };
                let (answer, count) = (answer.clone(), count.clone());
                std::thread::spawn(move || {
                    let mut wire = Wire::from_stream(stream);
                    wire.0.set_read_timeout(None).unwrap();
                    complete_startup(&mut wire);
                    while let Some((b'Q', body)) = wire.message() {
                        count.fetch_add(1, Ordering::Relaxed);
                        let sql = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
                        if wire.0.write_all(&answer(&sql)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        AnsweringMember { address, query_count }
    }

    /// Returns its entry in the list.
    pub fn list_entry(&self, name: &str, zone: &str) -> String {
        list_entry(self.address, name, zone, "SERVING")
    }

    pub fn count(&self) -> usize {
        self.query_count.load(Ordering::Relaxed)
    }
}

/// Returns the entry of a member in the list.
pub fn list_entry(address: SocketAddr, name: &str, zone: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"m2","group":2,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// Reads a pooler's startup message and answers it.
pub fn complete_startup(wire: &mut Wire) {
    let mut length = [0; 4];
    if wire.0.read_exact(&mut length).is_ok() {
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        let _ = wire.0.read_exact(&mut body);
        let _ = wire.0.write_all(&[frame(b'R', &[0; 4]), frame(b'Z', b"I")].concat());
    }
}

/// Encodes the error by which a member rejects a request at its limit of requests.
pub fn refusal() -> Vec<u8> {
    [frame(b'E', b"SERROR\0VERROR\0C53300\0Mfull\0\0"), frame(b'Z', b"I")].concat()
}

/// Discovery whose requests the test answers.
pub struct Discovery(TcpListener);

impl Discovery {
    pub fn listen() -> Discovery {
        Discovery(listener())
    }

    /// Listens again at an address that was in use before. Retries, since a child process that is just being
    /// started may hold a copy of the old socket for a moment.
    pub fn listen_at(address: SocketAddr) -> Discovery {
        let started_at = std::time::Instant::now();
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(error) => assert!(started_at.elapsed() < EVENT_TIMEOUT, "{error}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        socket2::SockRef::from(&listener).set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        Discovery(listener)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Accepts the next request. Returns its connection and its first line.
    pub fn accept_request(&self) -> (TcpStream, String) {
        let mut stream = self.0.accept().expect("the pooler connects to discovery").0;
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        (stream, String::from_utf8(head).unwrap().lines().next().unwrap().to_string())
    }

    /// Answers the next request without changes. Returns its connection, over which the pooler follows the
    /// list from then on.
    pub fn accept_watch(&self) -> TcpStream {
        let mut watch = self.accept_request().0;
        watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
        write_chunk(&mut watch, "\n");
        watch
    }

    /// Answers every request with this list until the process exits: one request at a time, and each after
    /// the time `each`.
    pub fn answer_sequentially(self, list: &str, each: Duration) {
        let answer = [RESPONSE_HEAD.as_bytes(), &encode_chunks([list.as_bytes(), b"\n"])].concat();
        std::thread::spawn(move || {
            let mut watches = Vec::new();
            // Continues after a time-out of `accept`.
            loop {
                let Ok((mut watch, _)) = self.0.accept() else { continue };
                std::thread::sleep(each);
                // A pooler that has disconnected or was killed meanwhile gets no answer.
                if watch.write_all(&answer).is_ok() {
                    watches.push(watch);
                }
            }
        });
    }
}

/// Writes a document of the list, or an empty line, to a watch. Does nothing if the watch has ended.
pub fn write_chunk(watch: &mut TcpStream, text: &str) {
    let _ = watch.write_all(&encode_chunks([text.as_bytes()]));
}

/// Encodes a list in the format of discovery.
pub fn list(index: u64, snapshot: bool, lines: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, lines.join(","))
}

pub const RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Encodes each piece as a chunk.
pub fn encode_chunks<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Vec<u8> {
    let chunk = |piece: &[u8]| [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
    pieces.into_iter().flat_map(chunk).collect()
}
