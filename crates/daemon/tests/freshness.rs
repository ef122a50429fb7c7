//! What a read must reflect counts from its last byte: reads that wait for a connection longer than the known position
//! of their replica allows go elsewhere, on the platform's front and on that for ordinary clients.

mod pool_fixture;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use peers::*;
use pool_fixture::{unique_name, PROGRAM};

/// The bound of the class `browse`.
const BOUND: Duration = Duration::from_millis(700);
const BOUND_EDIT: (&str, &str) = (r#""stalenessBound":[3,0,0,0]"#, r#""stalenessBound":[0.7,0,0,0]"#);
/// How old the replica's known position is when a read is decided on: within the bound, with some room.
const AGE_AT_DECISION: Duration = Duration::from_millis(350);
/// How long the replica then keeps the read waiting: beyond the bound, and within the time to connect.
const WAIT: Duration = Duration::from_millis(600);
/// Receive buffer and segment size of members, so that a long request does not fit into the buffers of a connection.
const RECEIVE_BUFFER_BYTES: usize = 2_048;
const SEGMENT_BYTES: u32 = 536;
/// Size of a long request, below the limit of a message.
const LONG_REQUEST_BYTES: usize = 140 * 1024;
/// By when a Sync is answered at the latest: long before anybody gives the connection up.
const SYNC_LIMIT: Duration = Duration::from_secs(5);
/// A statement that takes its member `WAIT`, and one that fails.
const SLOW: &str = "SELECT slow";
const FAILING: &str = "SELECT failing";

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

#[derive(Default)]
struct Shared {
    /// The position that the member states (Unix milliseconds).
    position: AtomicU64,
    /// How long the startup of a new connection takes (milliseconds).
    startup_ms: AtomicU64,
    /// Whether connections are closed after each answer.
    closes: AtomicBool,
    /// Whether the member waits for `WAIT` before it reads what has begun to arrive.
    reads_late: AtomicBool,
    connections: AtomicUsize,
    queries: Mutex<Vec<String>>,
}

/// A member that states its position with each answer, for platform and ordinary clients.
struct Member {
    address: SocketAddr,
    name: &'static str,
    shared: Arc<Shared>,
}

impl Member {
    fn start(name: &'static str, primary: bool) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket2::SockRef::from(&listener).set_tcp_mss(SEGMENT_BYTES).unwrap();
        let member = Member { address: listener.local_addr().unwrap(), name, shared: Arc::default() };
        let shared = member.shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                shared.connections.fetch_add(1, Ordering::SeqCst);
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, name, primary, &shared));
            }
        });
        member
    }

    fn list_entry(&self) -> String {
        list_entry(self.address, self.name, "here", "SERVING")
    }

    fn got(&self, text: &str) -> bool {
        self.shared.queries.lock().unwrap().iter().any(|sql| sql.contains(text))
    }

    fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }
}

/// Serves one connection of the pooler until it ends.
fn serve(stream: TcpStream, name: &str, primary: bool, shared: &Shared) {
    let mut wire = Wire::from_stream(stream);
    std::thread::sleep(Duration::from_millis(shared.startup_ms.load(Ordering::SeqCst)));
    complete_startup(&mut wire);
    let mut fails = false;
    while let Some((kind, body)) = next_message(&mut wire, shared) {
        let sql = String::from_utf8_lossy(&body).into_owned();
        if kind != b'Q' {
            // Of a batch only the Parse and the Sync are answered, the former with an error if it asks for one.
            fails |= kind == b'P' && sql.contains(FAILING);
            match kind {
                b'P' if fails => wire.send(&frame(b'E', b"SERROR\0C42601\0\0")),
                b'S' if std::mem::take(&mut fails) => wire.send(&frame(b'Z', b"I")),
                b'S' => wire.send(&batch_answer(name)),
                _ => {}
            }
            continue;
        }
        shared.queries.lock().unwrap().push(sql.clone());
        if sql.contains(SLOW) {
            std::thread::sleep(WAIT);
        }
        if !wire.try_send(&answer(&sql, name, primary, shared)) || shared.closes.load(Ordering::SeqCst) {
            return;
        }
    }
}

/// Returns the answer to a batch of Parse, Bind, Execute and Sync.
fn batch_answer(name: &str) -> Vec<u8> {
    let messages = row(name.as_bytes());
    let description_length = 1 + u32::from_be_bytes(messages[1..5].try_into().unwrap()) as usize;
    [&frame(b'1', b""), &frame(b'2', b""), &messages[description_length..], &frame(b'Z', b"I")].concat()
}

/// A batch of the extended protocol without its Sync.
fn batch(sql: &str) -> Vec<u8> {
    let parse = [b"\0", sql.as_bytes(), b"\0\0\0"].concat();
    [frame(b'P', &parse), frame(b'B', &[0; 8]), frame(b'E', &[0; 5])].concat()
}

fn next_message(wire: &mut Wire, shared: &Shared) -> Option<Message> {
    wire.0.peek(&mut [0]).ok()?;
    if shared.reads_late.load(Ordering::SeqCst) {
        std::thread::sleep(WAIT);
    }
    wire.message()
}

fn answer(sql: &str, name: &str, primary: bool, shared: &Shared) -> Vec<u8> {
    let ready = frame(b'Z', b"I");
    if sql.contains("c=order-write") && !primary {
        return [frame(b'E', b"SERROR\0C25006\0\0"), ready].concat();
    }
    let parameter = |name: &str, value: &str| frame(b'S', format!("{name}\0{value}\0").as_bytes());
    let (role, position) =
        if primary { ("writer", unix_ms()) } else { ("reader", shared.position.load(Ordering::SeqCst)) };
    let position = parameter("commit_clock", &position.to_string());
    [row(name.as_bytes()), parameter("server_role", role), position, ready].concat()
}

/// A primary and a replica behind a pooler with both fronts. The primary is known.
struct Fixture {
    primary: Member,
    replica: Member,
    pooler: Pooler,
    ordinary_address: SocketAddr,
    _discovery: Discovery,
    _operator: OperatorFolder,
}

impl Fixture {
    fn start(pool: &str) -> Fixture {
        let (primary, replica) = (Member::start("primary", true), Member::start("replica", false));
        let discovery = Discovery::listen();
        let settings = format!(
            "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\nread_class = \"browse\"\ngroup = 2\n{pool}"
        );
        let operator = OperatorFolder::new(&unique_name("freshness"), &settings);
        let saved_list = list(41, true, &[primary.list_entry(), replica.list_entry()]);
        let pooler =
            Pooler::start_with_operator_and_edits(PROGRAM, &saved_list, &discovery, &operator, &[BOUND_EDIT]);
        let line = pooler.wait_for_log("ordinary clients connect to ");
        let address = line.split("connect to ").nth(1).unwrap().split(',').next().unwrap();
        let ordinary_address = address.parse().unwrap();
        let fixture = Fixture {
            primary,
            replica,
            pooler,
            ordinary_address,
            _discovery: discovery,
            _operator: operator,
        };
        assert_eq!(served_by(&mut client(&fixture.pooler), "w", "order-write"), "primary");
        fixture
    }

    /// Has the replica state its position, then waits until that is `AGE_AT_DECISION` old.
    fn learn_position(&self) {
        self.replica.shared.position.store(unix_ms(), Ordering::SeqCst);
        let known_at = Instant::now();
        assert_eq!(served_by(&mut client(&self.pooler), "learn", "reports"), "replica");
        std::thread::sleep(AGE_AT_DECISION.saturating_sub(known_at.elapsed()));
    }

    /// Has each new connection to the replica come up late, and closes those that are open.
    fn connect_late(&self) {
        self.replica.shared.startup_ms.store(WAIT.as_millis() as u64, Ordering::SeqCst);
    }

    fn ordinary_client(&self) -> Wire {
        let mut wire = Wire::from_stream(TcpStream::connect(self.ordinary_address).unwrap());
        wire.send(&startup());
        wire.answer();
        wire
    }
}

/// Sends a request of a class. Returns the name of the member that served it.
fn served_by(client: &mut Wire, id: &str, class: &str) -> String {
    client.send(&query(&request_sql(id, class)));
    value_of(client)
}

/// Returns the value in the next answer, which the members give as their name.
fn value_of(client: &mut Wire) -> String {
    let answer = client.answer();
    let row = answer.iter().find(|(kind, _)| *kind == b'D').unwrap_or_else(|| panic!("{answer:?}"));
    String::from_utf8_lossy(&row.1[6..]).into_owned()
}

/// Guards review case 3: a read whose connection came up late was answered from data past its bound.
#[test]
fn a_read_whose_connection_comes_up_late_is_not_answered_from_data_past_its_bound() {
    let fixture = Fixture::start("");
    fixture.replica.shared.closes.store(true, Ordering::SeqCst);
    fixture.learn_position();
    fixture.connect_late();
    let connections = fixture.replica.connections();
    let started_at = Instant::now();
    assert_eq!(served_by(&mut client(&fixture.pooler), "late", "browse"), "primary");
    assert!(started_at.elapsed() > BOUND - AGE_AT_DECISION, "the read did not wait for its connection");
    assert!(!fixture.replica.got("id=late,"), "the read was written to a replica that may be behind");
    let counters = fixture.pooler.counters();
    assert!(counters.contains(" withdrawn=1 withdrawn_bounded=1 too_old=0 "), "{counters}");
    // The connection is kept: the next read that any replica may serve uses it.
    assert_eq!(served_by(&mut client(&fixture.pooler), "next", "reports"), "replica");
    assert_eq!(fixture.replica.connections(), connections + 1);
}

/// Guards a long request that is written in pieces to a member that reads slowly: its last byte counts.
#[test]
fn a_long_read_is_not_completed_past_its_bound() {
    let fixture = Fixture::start("");
    fixture.learn_position();
    fixture.replica.shared.reads_late.store(true, Ordering::SeqCst);
    let long_key = "x".repeat(LONG_REQUEST_BYTES);
    let mut client = client(&fixture.pooler);
    client.send(&query(&request_sql("long", "browse").replace("7f3a", &long_key)));
    assert_eq!(value_of(&mut client), "primary");
    assert!(!fixture.replica.got("id=long,"), "the last byte was written to a replica that may be behind");
    assert_eq!(fixture.pooler.counter("withdrawn_bounded"), 1);
}

/// Guards a process that was held up while a connection came up.
#[test]
fn a_read_that_waits_in_a_process_that_is_held_up_is_not_written_past_its_bound() {
    let fixture = Fixture::start("");
    fixture.replica.shared.closes.store(true, Ordering::SeqCst);
    fixture.learn_position();
    let startup = Duration::from_millis(50);
    fixture.replica.shared.startup_ms.store(startup.as_millis() as u64, Ordering::SeqCst);
    let mut client = client(&fixture.pooler);
    client.send(&query(&request_sql("held-up", "browse")));
    std::thread::sleep(startup / 2);
    fixture.pooler.signal("STOP");
    std::thread::sleep(WAIT);
    fixture.pooler.signal("CONT");
    assert_eq!(value_of(&mut client), "primary");
    assert!(!fixture.replica.got("id=held-up,"));
}

/// Returns the value of a field of a log line.
fn field(line: &str, name: &str) -> f64 {
    let value = line.split(&format!(" {name}=")).nth(1).and_then(|rest| rest.split(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {name}: {line}"))
}

/// Guards the last byte, by which answers are judged: it is told with what was required and known then.
#[test]
fn the_last_byte_of_an_attempt_is_logged_with_its_decision_and_its_connection() {
    let fixture = Fixture::start("[log]\nlevel = \"debug\"\n");
    fixture.replica.shared.closes.store(true, Ordering::SeqCst);
    fixture.learn_position();
    let startup = Duration::from_millis(100);
    fixture.replica.shared.startup_ms.store(startup.as_millis() as u64, Ordering::SeqCst);
    assert_eq!(served_by(&mut client(&fixture.pooler), "logged", "browse"), "replica");
    let line = loop {
        let line = fixture.pooler.wait_for_log("attempt.written");
        if line.contains("logged") {
            break line;
        }
    };
    let moments = ["decided_at", "ready_at", "written_at"].map(|name| field(&line, name));
    assert!(moments[1] - moments[0] >= startup.as_secs_f64() - 0.01, "{line}");
    assert!(moments.is_sorted(), "{line}");
    assert!((moments[2] - BOUND.as_secs_f64() - field(&line, "required")).abs() < 1e-6, "{line}");
    assert_eq!(
        field(&line, "position"),
        fixture.replica.shared.position.load(Ordering::SeqCst) as f64 / 1000.0
    );
}

/// Guards the same wait where the replica states a newer position meanwhile: the read stays there.
#[test]
fn a_read_whose_connection_comes_up_late_is_written_if_its_replica_is_known_to_be_fresh_by_then() {
    let fixture = Fixture::start("");
    fixture.learn_position();
    let mut on_open_connection = client(&fixture.pooler);
    on_open_connection.send(&query(&request_sql("slow", "reports").replace("SELECT doc", SLOW)));
    std::thread::sleep(Duration::from_millis(20));
    fixture.connect_late();
    let mut late = client(&fixture.pooler);
    late.send(&query(&request_sql("late", "browse")));
    // The slow read, on the one open connection, ends just before the other connection has come up.
    fixture.replica.shared.position.store(unix_ms() + 400, Ordering::SeqCst);
    assert_eq!(
        (value_of(&mut on_open_connection), value_of(&mut late)),
        ("replica".into(), "replica".into())
    );
    assert_eq!(fixture.pooler.counter("withdrawn"), 0);
}

/// Guards review case 3 on the front for ordinary clients.
#[test]
fn an_ordinary_read_whose_connection_comes_up_late_is_not_written_past_its_bound() {
    let fixture = Fixture::start("");
    fixture.learn_position();
    fixture.connect_late();
    let mut client = fixture.ordinary_client();
    client.send(&query("SELECT late"));
    assert_eq!(value_of(&mut client), "primary");
    assert!(!fixture.replica.got("SELECT late"));
    assert_eq!(fixture.pooler.counter("withdrawn_bounded"), 1);
    let connections = fixture.replica.connections();
    fixture.learn_position();
    client.send(&query("SELECT next"));
    assert_eq!(value_of(&mut client), "replica");
    assert_eq!(fixture.replica.connections(), connections, "the late connection was not kept");
}

/// Guards a read that waits for a place in the pool until its bound has passed.
#[test]
fn an_ordinary_read_that_waits_for_a_place_in_the_pool_is_not_written_past_its_bound() {
    let fixture = Fixture::start("servers_each = 1\n");
    fixture.learn_position();
    let (mut holder, mut waiting) = (fixture.ordinary_client(), fixture.ordinary_client());
    holder.send(&query(SLOW));
    std::thread::sleep(Duration::from_millis(20));
    waiting.send(&query("SELECT waiting"));
    assert_eq!(value_of(&mut holder), "replica");
    assert_eq!(value_of(&mut waiting), "primary");
    assert!(!fixture.replica.got("SELECT waiting"));
    assert!(fixture.primary.got("SELECT waiting"));
}

/// Guards a statement that is sent ahead on a connection whose replica has passed its bound since the first.
#[test]
fn a_statement_sent_ahead_past_the_bound_waits_and_goes_elsewhere() {
    let fixture = Fixture::start("");
    fixture.learn_position();
    let mut client = fixture.ordinary_client();
    client.send(&query(SLOW));
    std::thread::sleep(BOUND - AGE_AT_DECISION + Duration::from_millis(50));
    client.send(&query("SELECT ahead"));
    assert_eq!(value_of(&mut client), "replica");
    assert_eq!(value_of(&mut client), "primary");
    assert!(!fixture.replica.got("SELECT ahead"));
}

/// Guards the end of a batch that has failed: held back past the bound, it would leave its client without an answer.
#[test]
fn the_sync_of_a_failed_batch_is_not_held_back_past_the_bound() {
    let fixture = Fixture::start("");
    fixture.learn_position();
    let mut client = fixture.ordinary_client();
    client.send(&[query(SLOW), batch(FAILING), frame(b'H', b"")].concat());
    assert_eq!(value_of(&mut client), "replica");
    assert_eq!(client.message().map(|(kind, _)| kind), Some(b'E'));
    std::thread::sleep(BOUND);
    let sent_at = Instant::now();
    client.send(&frame(b'S', b""));
    assert_eq!(client.message().map(|(kind, _)| kind), Some(b'Z'));
    assert!(sent_at.elapsed() < SYNC_LIMIT, "answered only when the connection was given up");
    client.send(&[batch("SELECT next"), frame(b'S', b"")].concat());
    assert_eq!(value_of(&mut client), "primary");
}

/// Guards batches of the extended protocol in the same way as queries.
#[test]
fn a_batch_whose_connection_comes_up_late_is_not_written_past_its_bound() {
    let fixture = Fixture::start("");
    fixture.learn_position();
    let mut client = fixture.ordinary_client();
    client.send(&[batch("SELECT known"), frame(b'S', b"")].concat());
    assert_eq!(value_of(&mut client), "replica");
    let mut holder = fixture.ordinary_client();
    holder.send(&query(SLOW));
    std::thread::sleep(Duration::from_millis(20));
    fixture.connect_late();
    client.send(&[batch("SELECT late"), frame(b'S', b"")].concat());
    assert_eq!(value_of(&mut client), "primary");
    assert!(!fixture.replica.got("SELECT late"));
}
