//! The pooler's program between scripted peers on loopback: clients, db machines and discovery, each driven
//! by the test line by line. Every wait is for an event, and ends the test if that does not come.

mod authority;
mod platform;
mod postgres;
mod registry;

pub use authority::{write_private_file, CertificateAuthority};
pub use platform::{
    client_with_cancel_key, counter_value, establish_primary, send_cancel_request, start_with_one_member,
    wait_for_counter,
};
pub use postgres::Postgres;
pub use registry::{Faults, Registry};

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Far longer than anything here takes: only a test that has failed waits so long.
const PATIENCE: Duration = Duration::from_secs(20);

/// Pause between two looks at the counters: the log leaves lines out past 200 of one kind in 10 s.
pub const COUNTERS_INTERVAL: Duration = Duration::from_millis(50);

/// How many poolers have been started: each has a configuration file of its own.
static STARTED: AtomicUsize = AtomicUsize::new(0);

/// Settings of five classes, as wide as they go, so that a slow machine changes no verdict.
const SETTINGS: &str = r#"{"classes":[
{"name":"browse","aim":8,"deadline":9,"effect":"read_like","value":1},
{"name":"own-orders","aim":8,"deadline":9,"effect":"read_like","value":1},
{"name":"reports","aim":8,"deadline":9,"effect":"read_like","value":1},
{"name":"order-write","aim":8,"deadline":9,"effect":"idempotency_key","group":"cell","dedupWindow":2,"value":1}],
"customers":[{"name":"acme","quotaPerS":1000}],"zones":["here","there"],"zone":0,"fleetSize":1,"tick":0.005,
"registryMode":"subscribe","invariants":{"askWithin":10,"coldFrom":0.2,"warmUp":1,"tipMultiple":3,"fall":1},
"limits":{"cancel":true,"connectTimeout":1,"keepalive":15,"maxAttempts":6,"maxRetryAfter":0.5,"probes":false,"retryAfter":true},
"specifics":{"consistency":["bounded","session","any","write"],"stalenessBound":[3,0,0,0],"whenBehind":"silent","writeMarks":"remembered"}}"#;

/// The platform's configuration with this list.
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
    /// The operator's folder: his file, the control socket, the history.
    folder: Option<PathBuf>,
    program: String,
    pub address: SocketAddr,
}

impl Pooler {
    /// Starts the program on a configuration in which each of `edits` is made.
    pub fn start(program: &str, list: &str, discovery: &Discovery, edits: &[(&str, &str)]) -> Pooler {
        Pooler::begin(program, list, discovery, edits, None, &[])
    }

    /// Starts the program with an operator's file as well; control socket and history are in the same folder.
    pub fn start_with_operator(
        program: &str,
        list: &str,
        discovery: &Discovery,
        operator: &OperatorFolder,
    ) -> Pooler {
        Pooler::start_with_operator_and_edits(program, list, discovery, operator, &[])
    }

    /// The same on a platform's configuration in which each of `edits` is made.
    pub fn start_with_operator_and_edits(
        program: &str,
        list: &str,
        discovery: &Discovery,
        operator: &OperatorFolder,
        edits: &[(&str, &str)],
    ) -> Pooler {
        Pooler::begin(program, list, discovery, edits, Some(operator), &[])
    }

    /// The same with more variables in its environment.
    pub fn start_with_environment(
        program: &str,
        list: &str,
        discovery: &Discovery,
        operator: &OperatorFolder,
        environment: &[(&str, &str)],
    ) -> Pooler {
        Pooler::begin(program, list, discovery, &[], Some(operator), environment)
    }

    /// A successor of the daemon that listens there with the same operator's file.
    pub fn start_successor(
        program: &str,
        list: &str,
        discovery: &Discovery,
        operator: &OperatorFolder,
        listen: &str,
    ) -> Pooler {
        let edits = [("127.0.0.1:0", listen)];
        Pooler::begin(program, list, discovery, &edits, Some(operator), &[("TAKE_OVER", "1")])
    }

    fn begin(
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
            STARTED.fetch_add(1, Ordering::SeqCst)
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

    /// Runs `dewferry config` with these arguments against this daemon; its exit code and what it prints.
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

    /// The platform's configuration file.
    pub fn platform_file(&self) -> &std::path::Path {
        &self.config
    }

    /// kill -9.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Replaces `from` in the configuration file and asks for it to be read again.
    pub fn reload(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.config).unwrap();
        assert!(text.contains(from), "{from} is not in the configuration");
        std::fs::write(&self.config, text.replace(from, to)).unwrap();
        self.signal("HUP");
    }

    /// Waits for a line of the log that holds `text`.
    pub fn wait_for_log(&self, text: &str) -> String {
        let mut others = Vec::new();
        loop {
            let line = self.log.lock().unwrap().recv_timeout(PATIENCE);
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

    /// The value of one counter.
    pub fn counter(&self, name: &str) -> u64 {
        counter_value(&self.counters(), name)
    }

    /// Waits until a counter is past this value.
    pub fn wait_for_counter_above(&self, name: &str, value: u64) {
        let begun = std::time::Instant::now();
        while self.counter(name) <= value {
            assert!(begun.elapsed() < PATIENCE, "{name} stays at {value}");
            std::thread::sleep(COUNTERS_INTERVAL);
        }
    }

    /// The counters, which also shows that all that came before is dealt with.
    pub fn counters(&self) -> String {
        self.signal("USR1");
        self.wait_for_log("taken=")
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let begun = std::time::Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(begun.elapsed() < PATIENCE, "the pooler does not end");
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

/// An operator's folder for one test; gone with it.
pub struct OperatorFolder(pub PathBuf);

impl OperatorFolder {
    /// A folder with a file of these settings, and with the control socket.
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

    /// Puts a file of these settings into the folder, as a whole; its path.
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

/// A connection that speaks in PostgreSQL's messages, from either end.
pub struct Wire(pub TcpStream);

impl Wire {
    pub fn from_stream(stream: TcpStream) -> Wire {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Wire(stream)
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// Whether it could be sent.
    pub fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).is_ok()
    }

    /// The next message; none where the connection has ended.
    pub fn message(&mut self) -> Option<Message> {
        let mut head = [0; 5];
        self.0.read_exact(&mut head).ok()?;
        let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
        self.0.read_exact(&mut body).ok()?;
        Some((head[0], body))
    }

    /// All messages up to ReadyForQuery, without that; what the pooler tells at startup is passed over.
    pub fn answer(&mut self) -> Vec<Message> {
        let mut messages = Vec::new();
        while let Some(message) = self.message().filter(|message| message.0 != b'Z') {
            messages.push(message);
        }
        messages
    }

    /// The code and the detail of the error that the answer has to be.
    pub fn error(&mut self) -> (String, Option<String>) {
        let answer = self.answer();
        assert_eq!((answer.len(), answer[0].0), (1, b'E'), "{answer:?}");
        let text = String::from_utf8(answer[0].1.clone()).unwrap();
        let field = |kind| text.split('\0').find_map(|f| f.strip_prefix(kind).map(String::from));
        (field('C').unwrap(), field('D'))
    }

    /// Waits for the end of the connection, with nothing before it.
    pub fn expect_closed(&mut self) {
        match self.0.read(&mut [0]) {
            Ok(0) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            other => panic!("{other:?} in place of the end"),
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
    let words = b"\0\x03\0\0user\0app\0database\0shop\0\0";
    [&(words.len() as u32 + 4).to_be_bytes()[..], words].concat()
}

/// A query of a class, in the agreed form.
pub fn request_sql(id: &str, class: &str) -> String {
    format!("/* id={id},c={class},t=acme,d=8500,k=5c0f,cluster=2 */ SELECT doc FROM items WHERE id = '7f3a'")
}

/// A client whose startup is done.
pub fn client(pooler: &Pooler) -> Wire {
    let mut wire = Wire::from_stream(TcpStream::connect(pooler.address).unwrap());
    wire.send(&startup());
    wire.answer();
    wire
}

/// A socket that waits for connections, for so long at the most.
fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&listener).set_read_timeout(Some(PATIENCE)).unwrap();
    listener
}

pub struct ScriptedMember(TcpListener);

impl ScriptedMember {
    pub fn listen() -> ScriptedMember {
        ScriptedMember(listener())
    }

    /// Its line in the list.
    pub fn list_entry(&self, name: &str, zone: &str) -> String {
        list_entry(self.0.local_addr().unwrap(), name, zone, "SERVING")
    }

    /// Its line in the list while it drains.
    pub fn draining_list_entry(&self, name: &str, zone: &str) -> String {
        list_entry(self.0.local_addr().unwrap(), name, zone, "DRAINING")
    }

    /// The next connection, before its startup.
    pub fn accept_without_startup(&self) -> Wire {
        Wire::from_stream(self.0.accept().expect("the pooler connects").0)
    }

    /// The next connection, once its startup is done.
    pub fn accept(&self) -> Wire {
        let mut wire = self.accept_without_startup();
        complete_startup(&mut wire);
        wire
    }
}

/// One read, answered by the next connection of this machine.
pub fn serve_read(db: &ScriptedMember, client: &mut Wire, id: &str) -> Wire {
    client.send(&query(&request_sql(id, "reports")));
    let mut wire = db.accept();
    assert!(read_query(&mut wire).contains(&format!("id={id},")));
    wire.send(&answer_with_role(b"\x9f\x00\x03", "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    wire
}

/// The next query that a db machine gets on a connection.
pub fn read_query(wire: &mut Wire) -> String {
    let (kind, body) = wire.message().expect("a query");
    assert_eq!(kind, b'Q');
    String::from_utf8(body[..body.len() - 1].to_vec()).unwrap()
}

/// The row with which a db machine answers; the value is binary.
pub fn row(value: &[u8]) -> Vec<u8> {
    let column = [&(value.len() as u32).to_be_bytes()[..], value].concat();
    [
        frame(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"),
        frame(b'D', &[b"\0\x01", &column[..]].concat()),
        frame(b'C', b"SELECT 1\0"),
    ]
    .concat()
}

/// A whole answer: the row, the role and ReadyForQuery.
pub fn answer_with_role(value: &[u8], role: &str) -> Vec<u8> {
    let role = frame(b'S', format!("server_role\0{role}\0").as_bytes());
    [row(value), role, frame(b'Z', b"I")].concat()
}

/// A db machine that answers by itself, a thread a connection, until the test ends.
pub struct AnsweringMember {
    pub address: SocketAddr,
    pub query_count: Arc<AtomicUsize>,
}

impl AnsweringMember {
    /// Answers each query with what `answer` makes of it.
    pub fn new(answer: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static) -> AnsweringMember {
        let db = ScriptedMember::listen();
        let address = db.0.local_addr().unwrap();
        let (answer, asked) = (Arc::new(answer), Arc::new(AtomicUsize::new(0)));
        let count = asked.clone();
        std::thread::spawn(move || {
            // Goes on for as long as the process does, however long nobody calls.
            loop {
                let Ok((stream, _)) = db.0.accept() else { continue };
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
        AnsweringMember { address, query_count: asked }
    }

    /// Its line in the list.
    pub fn list_entry(&self, name: &str, zone: &str) -> String {
        list_entry(self.address, name, zone, "SERVING")
    }

    pub fn count(&self) -> usize {
        self.query_count.load(Ordering::Relaxed)
    }
}

/// A machine's line in the list.
pub fn list_entry(address: SocketAddr, name: &str, zone: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"m2","group":2,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// Takes a pooler's startup message and answers it.
pub fn complete_startup(wire: &mut Wire) {
    let mut length = [0; 4];
    if wire.0.read_exact(&mut length).is_ok() {
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        let _ = wire.0.read_exact(&mut body);
        let _ = wire.0.write_all(&[frame(b'R', &[0; 4]), frame(b'Z', b"I")].concat());
    }
}

/// The error with which a db machine turns a request away.
pub fn refusal() -> Vec<u8> {
    [frame(b'E', b"SERROR\0VERROR\0C53300\0Mfull\0\0"), frame(b'Z', b"I")].concat()
}

pub struct Discovery(TcpListener);

impl Discovery {
    pub fn listen() -> Discovery {
        Discovery(listener())
    }

    /// One that is back where it was before. A process that is just being started may hold a copy of the old socket for
    /// a moment.
    pub fn listen_at(address: SocketAddr) -> Discovery {
        let begun = std::time::Instant::now();
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(error) => assert!(begun.elapsed() < PATIENCE, "{error}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        socket2::SockRef::from(&listener).set_read_timeout(Some(PATIENCE)).unwrap();
        Discovery(listener)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// The next call and its first line.
    pub fn accept_request(&self) -> (TcpStream, String) {
        let mut stream = self.0.accept().expect("the pooler calls").0;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        (stream, String::from_utf8(head).unwrap().lines().next().unwrap().to_string())
    }

    /// Answers the next call with nothing new: the list is followed from then on over the watch that is returned.
    pub fn accept_watch(&self) -> TcpStream {
        let mut watch = self.accept_request().0;
        watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
        write_chunk(&mut watch, "\n");
        watch
    }

    /// Answers every call with this list, one call after another and each after this time, until the test ends.
    pub fn answer_sequentially(self, list: &str, each: Duration) {
        let answer = [RESPONSE_HEAD.as_bytes(), &encode_chunks([list.as_bytes(), b"\n"])].concat();
        std::thread::spawn(move || {
            let mut watches = Vec::new();
            // Goes on for as long as the process does, however long nobody calls.
            loop {
                let Ok((mut watch, _)) = self.0.accept() else { continue };
                std::thread::sleep(each);
                // A caller that has given up or was killed meanwhile hears nothing.
                if watch.write_all(&answer).is_ok() {
                    watches.push(watch);
                }
            }
        });
    }
}

/// Writes a piece of the list, or an empty line, to a watch; one that has ended takes nothing.
pub fn write_chunk(watch: &mut TcpStream, text: &str) {
    let _ = watch.write_all(&encode_chunks([text.as_bytes()]));
}

/// A list in discovery's form.
pub fn list(index: u64, snapshot: bool, lines: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, lines.join(","))
}

pub const RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The pieces as a chunk each.
pub fn encode_chunks<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Vec<u8> {
    let chunk = |piece: &[u8]| [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
    pieces.into_iter().flat_map(chunk).collect()
}
