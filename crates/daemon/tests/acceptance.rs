//! The terms of acceptance that no other test holds, over loopback between scripted peers. `docs/acceptance.md` lists
//! every term with the tests that hold it. A time that is asserted here is the bound of its term.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;
use socket2::{Domain, SockRef, Socket, Type};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

const VALUE: &[u8] = b"\x9f\x00\x03";

/// The list comes from an agent, unasked.
const PUSHED: (&str, &str) = (r#""registryMode":"subscribe""#, r#""registryMode":"automatic""#);
/// Room for 3 clients beside the spares.
const THREE_CLIENTS: (&str, &str) = (r#""sockets":1024"#, r#""sockets":22"#);
/// Every class has a deadline of 1 s.
const SHORT_DEADLINES: [(&str, &str); 2] =
    [(r#""aim":8"#, r#""aim":0.8"#), (r#""deadline":9"#, r#""deadline":1"#)];
/// What the platform waits beyond the longest deadline before it kills.
const KILL_GRACE: Duration = Duration::from_millis(700);

/// After SIGHUP, what the new address of discovery has counts as told so much later.
const RELOAD_COUNTS_AS_TOLD: Duration = Duration::from_secs(4);
/// What a silent watch misses counts as told so long after it fell silent.
const SILENCE_COUNTS_AS_TOLD: Duration = Duration::from_secs(6);
/// Nine in ten restarted processes are ready within this on short days.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// No process may turn away all that it gets, with no attempt in between, for so long.
const SERVES_NOBODY: Duration = Duration::from_secs(4);
/// A client that does not keep to the protocol has an error or the end of its connection within this.
const BAD_CLIENT_ENDS_WITHIN: Duration = Duration::from_secs(3);
/// A request is lost if it is answered so much later than its time, or never.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// A further attempt tells its machine at most this beyond what is left to the client (milliseconds).
const TOLD_BEYOND_WHAT_IS_LEFT: u128 = 150;

fn edits(pushed: bool) -> &'static [(&'static str, &'static str)] {
    if pushed {
        &[PUSHED]
    } else {
        &[]
    }
}

/// A machine that serves every request.
fn serving() -> AnsweringMember {
    AnsweringMember::new(|_| answer_with_role(VALUE, "reader"))
}

fn draining(machine: &AnsweringMember, name: &str, zone: &str) -> String {
    list_entry(machine.address, name, zone, "DRAINING")
}

/// Sends so many reads, one after another; each has to be served.
fn reads_are_served(client: &mut Wire, ids: std::ops::Range<u32>) {
    for id in ids {
        client.send(&query(&request_sql(&id.to_string(), "reports")));
        assert_eq!(client.answer()[0].0, b'T');
    }
}

fn tell_list(watch: &mut TcpStream, list: &str) {
    write_chunk(watch, &format!("{list}\n"));
}

/// Which discovery tells of the drain after a reload has moved it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Teller {
    /// The one at the address before, while the new one has not answered.
    Former,
    /// The one at the new address, in its first answer.
    New,
}

#[rstest]
fn a_drain_told_after_a_reload_is_kept(
    #[values(false, true)] pushed: bool,
    #[values(Teller::Former, Teller::New)] teller: Teller,
) {
    let (near, far) = (serving(), serving());
    let (discovery, moved) = (Discovery::listen(), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, edits(pushed));
    let mut former = discovery.accept_watch();
    let mut client = client(&pooler);
    reads_are_served(&mut client, 0..1);
    assert_eq!((near.count(), far.count()), (1, 0), "the machine at home is the first choice");
    let lists = pooler.counter("lists");
    let reloaded = Instant::now();
    pooler.reload(&discovery.address().to_string(), &moved.address().to_string());
    let (mut new, request) = moved.accept_request();
    assert!(request.contains("follow=1&since=0 "), "{request}");
    match teller {
        Teller::Former => tell_list(&mut former, &list(42, false, &[draining(&near, "s-1", "here")])),
        Teller::New => {
            let whole = [draining(&near, "s-1", "here"), far.list_entry("s-2", "there")];
            new.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
            tell_list(&mut new, &list(1, true, &whole));
        }
    }
    pooler.wait_for_counter_above("lists", lists);
    assert!(reloaded.elapsed() < RELOAD_COUNTS_AS_TOLD, "{:?}", reloaded.elapsed());
    reads_are_served(&mut client, 1..9);
    assert_eq!((near.count(), far.count()), (1, 8), "nothing new to the machine that drains");
}

#[rstest]
fn a_watch_that_falls_silent_late_is_replaced_before_its_silence_counts(#[values(false, true)] pushed: bool) {
    let (near, far, discovery) = (serving(), serving(), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, edits(pushed));
    let mut watch = discovery.accept_watch();
    let mut client = client(&pooler);
    reads_are_served(&mut client, 0..1);
    // It has been heard for a while: empty lines, and a change.
    for _ in 0..4 {
        std::thread::sleep(Duration::from_millis(300));
        write_chunk(&mut watch, "\n");
    }
    tell_list(&mut watch, &list(42, false, &[far.list_entry("s-2", "there")]));
    let silent = Instant::now();
    // The connection stays open and says nothing more.
    let (mut next, request) = discovery.accept_request();
    assert!(request.contains("follow=1&since=42 "), "{request}");
    let lists = pooler.counter("lists");
    next.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    tell_list(&mut next, &list(43, false, &[draining(&near, "s-1", "here")]));
    pooler.wait_for_counter_above("lists", lists);
    assert!(silent.elapsed() < SILENCE_COUNTS_AS_TOLD, "{:?}", silent.elapsed());
    reads_are_served(&mut client, 1..9);
    assert_eq!((near.count(), far.count()), (1, 8), "nothing new to the machine that drains");
}

/// A whole list tells of machines that are missing from it, too: as the first answer of a watch, and later on the same one.
#[rstest]
fn machines_missing_from_a_whole_list_get_nothing(#[values(false, true)] pushed: bool) {
    let (drains, missing, far, discovery) = (serving(), serving(), serving(), Discovery::listen());
    let known =
        [drains.list_entry("s-1", "here"), missing.list_entry("s-2", "here"), far.list_entry("s-3", "there")];
    let pooler = Pooler::start(PROGRAM, &list(41, true, &known), &discovery, edits(pushed));
    let (mut watch, request) = discovery.accept_request();
    assert!(request.contains("follow=1&since=41 "), "{request}");
    let mut client = client(&pooler);
    let lists = pooler.counter("lists");
    watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    let whole = [draining(&drains, "s-1", "here"), far.list_entry("s-3", "there")];
    tell_list(&mut watch, &list(50, true, &whole));
    pooler.wait_for_counter_above("lists", lists);
    reads_are_served(&mut client, 0..8);
    assert_eq!((drains.count(), missing.count(), far.count()), (0, 0, 8));
    tell_list(&mut watch, &list(51, true, &[missing.list_entry("s-2", "here")]));
    pooler.wait_for_counter_above("lists", lists + 1);
    reads_are_served(&mut client, 8..16);
    assert_eq!((drains.count(), missing.count(), far.count()), (0, 8, 8));
}

/// A reset is no end: what has come of a list before it is not taken, with or without chunks.
#[rstest]
#[case::half_a_list_in_chunks(true)]
#[case::a_list_without_a_length(false)]
fn a_list_cut_off_by_a_reset_is_not_taken(#[values(false, true)] pushed: bool, #[case] chunked: bool) {
    let (near, far, discovery) = (serving(), serving(), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, edits(pushed));
    let mut client = client(&pooler);
    let (mut cut, _) = discovery.accept_request();
    let lists = pooler.counter("lists");
    let other = list(50, true, &[far.list_entry("s-2", "there")]);
    if chunked {
        cut.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
        write_chunk(&mut cut, &other[..other.len() - 1]);
    } else {
        let head = RESPONSE_HEAD.replace("Transfer-Encoding: chunked\r\n", "");
        cut.write_all(format!("{head}{}", &other[..other.len() - 1]).as_bytes()).unwrap();
    }
    // Read by the pooler before the reset, which would throw it away.
    pooler.counters();
    SockRef::from(&cut).set_linger(Some(Duration::ZERO)).unwrap();
    drop(cut);
    let (mut watch, request) = discovery.accept_request();
    assert!(request.contains("follow=1&since=41 "), "{request}");
    reads_are_served(&mut client, 0..4);
    assert_eq!((near.count(), far.count()), (4, 0), "the list that is held stays in force");
    watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    tell_list(&mut watch, &other);
    pooler.wait_for_counter_above("lists", lists);
    reads_are_served(&mut client, 4..8);
    assert_eq!((near.count(), far.count()), (4, 4));
}

/// With short deadlines the platform kills early. What was taken is answered by then, though no machine ever answers.
#[test]
fn with_short_deadlines_all_that_was_taken_is_answered_before_the_kill() {
    let (hung, discovery) = (AnsweringMember::new(|_| Vec::new()), Discovery::listen());
    let known = list(41, true, &[hung.list_entry("s-1", "here")]);
    let mut pooler = Pooler::start(PROGRAM, &known, &discovery, &SHORT_DEADLINES);
    let mut clients: Vec<Wire> = (0..6).map(|_| client(&pooler)).collect();
    let signalled = Instant::now();
    pooler.signal("TERM");
    let mut sent = Vec::new();
    for (number, client) in clients.iter_mut().enumerate() {
        let at = Duration::from_millis(130 * number as u64);
        std::thread::sleep(at.saturating_sub(signalled.elapsed()));
        client.send(&query(&request_sql(&number.to_string(), "reports").replace("d=8500", "d=1000")));
        sent.push(signalled.elapsed());
    }
    let kill = Duration::from_secs(1) + KILL_GRACE;
    std::thread::sleep(kill.saturating_sub(signalled.elapsed()));
    pooler.kill();
    for (client, sent) in clients.iter_mut().zip(sent) {
        // What this test itself sent too late may find the end of its connection.
        if sent < KILL_GRACE {
            assert!(client.error().0.starts_with('5'), "sent {sent:?} after the signal");
        }
    }
}

/// Connections of the killed process are open at that moment, and the next one takes its address.
#[test]
fn processes_that_are_killed_and_started_anew_without_a_list_are_ready_in_time() {
    const PROCESSES: usize = 20;
    let (machine, discovery) = (serving(), Discovery::listen());
    let fleet = format!(r#""fleetSize":{PROCESSES}"#);
    let start = |known: &str, listen: &str| {
        let edits = [(r#""fleetSize":1"#, &*fleet), ("127.0.0.1:0", listen)];
        Pooler::start(PROGRAM, known, &discovery, &edits)
    };
    let whole = list(41, true, &[machine.list_entry("s-1", "here")]);
    let mut poolers: Vec<Pooler> = (0..PROCESSES).map(|_| start(&whole, "127.0.0.1:0")).collect();
    let mut clients: Vec<Wire> = poolers.iter().map(client).collect();
    clients.iter_mut().enumerate().for_each(|(n, client)| {
        reads_are_served(client, n as u32..n as u32 + 1);
    });
    let addresses: Vec<SocketAddr> = poolers.iter().map(|pooler| pooler.address).collect();
    poolers.iter_mut().for_each(Pooler::kill);
    let killed = Instant::now();
    let starting: Vec<Pooler> =
        addresses.iter().map(|address| start(&list(0, true, &[]), &address.to_string())).collect();
    // A call takes discovery a while, and it answers one after another; those of the killed ones come first.
    discovery.answer_sequentially(&whole, Duration::from_millis(20));
    let ready: Vec<Duration> = std::thread::scope(|scope| {
        let fronts: Vec<_> = starting
            .iter()
            .map(|pooler| {
                scope.spawn(|| {
                    let mut front = client(pooler);
                    front.send(&query(""));
                    assert_eq!(front.answer(), [(b'I', vec![])]);
                    let ready = killed.elapsed();
                    reads_are_served(&mut front, 0..1);
                    ready
                })
            })
            .collect();
        fronts.into_iter().map(|front| front.join().unwrap()).collect()
    });
    let in_time = ready.iter().filter(|ready| **ready < READY_WITHIN).count();
    assert!(in_time * 10 >= PROCESSES * 9, "{in_time} of {PROCESSES} in time: {ready:?}");
}

/// The time of a request runs from its last byte, however long the others took.
#[test]
fn a_request_that_comes_in_pieces_has_its_time_from_its_last_byte() {
    let (db, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let pooler = Pooler::start(PROGRAM, &list(41, true, &[db.list_entry("s-1", "here")]), &discovery, &[]);
    let mut client = client(&pooler);
    let bytes = query(&request_sql("1", "reports").replace("d=8500", "d=1500"));
    // Within the head of the message, within the comment, before the last byte.
    let cuts = [0, 3, 20, bytes.len() - 1, bytes.len()];
    for (number, part) in cuts.windows(2).enumerate() {
        if number > 0 {
            std::thread::sleep(Duration::from_millis(300));
        }
        client.send(&bytes[part[0]..part[1]]);
    }
    let mut wire = db.accept();
    read_query(&mut wire);
    std::thread::sleep(Duration::from_millis(800));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T', "served 1.7 s after its first byte and 0.8 s after its last");
}

#[test]
fn a_request_half_sent_at_sigterm_is_answered_once_it_is_whole() {
    let (db, discovery) = (serving(), Discovery::listen());
    let mut pooler =
        Pooler::start(PROGRAM, &list(41, true, &[db.list_entry("s-1", "here")]), &discovery, &[]);
    let mut client = client(&pooler);
    let bytes = query(&request_sql("1", "reports"));
    client.send(&bytes[..bytes.len() / 2]);
    // It has been read before the signal comes.
    pooler.counters();
    pooler.signal("TERM");
    // Nobody is taken in any more by then.
    std::thread::sleep(Duration::from_millis(1000));
    client.send(&bytes[bytes.len() / 2..]);
    assert_eq!(client.answer()[0].0, b'T');
    client.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}

#[test]
fn a_request_half_sent_keeps_its_connection_when_places_run_out() {
    let (db, discovery) = (serving(), Discovery::listen());
    let known = list(41, true, &[db.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[THREE_CLIENTS]);
    let mut writing = client(&pooler);
    let bytes = query(&request_sql("1", "reports"));
    writing.send(&bytes[..bytes.len() / 2]);
    let mut resting: Vec<Wire> = (0..2).map(|_| client(&pooler)).collect();
    // It has been there for longest, and the next to come needs a place.
    let _late = client(&pooler);
    resting[0].expect_closed();
    writing.send(&bytes[bytes.len() / 2..]);
    assert_eq!(writing.answer()[0].0, b'T');
}

/// How the first attempt comes to nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstAttempt {
    Error,
    Reset,
    /// The connection for it comes up and its startup is never answered.
    StartupHangs,
    /// Nothing: its startup is answered late, and this attempt is the one that is looked at.
    StartupIsLate,
}

/// The time that a statement tells its machine (milliseconds).
fn told(sql: &str) -> u128 {
    sql.split_once(",d=").unwrap().1.split(',').next().unwrap().parse().unwrap()
}

#[rstest]
fn an_attempt_tells_its_machine_the_time_that_is_left(
    #[values(
        FirstAttempt::Error,
        FirstAttempt::Reset,
        FirstAttempt::StartupHangs,
        FirstAttempt::StartupIsLate
    )]
    first: FirstAttempt,
) {
    const GIVEN: u128 = 8500;
    /// The settings' time-out for a connection, after which it is given up.
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = near.accept_without_startup();
    // It was taken before now: what has passed since then has passed of its time.
    let taken_by = Instant::now();
    let pause = || std::thread::sleep(Duration::from_millis(700));
    let (passed, sql) = match first {
        FirstAttempt::Error | FirstAttempt::Reset => {
            complete_startup(&mut wire);
            let sql = read_query(&mut wire);
            assert!((1..=GIVEN).contains(&told(&sql)), "{sql}");
            pause();
            let passed = taken_by.elapsed();
            if first == FirstAttempt::Error {
                wire.send(&[frame(b'E', b"SERROR\0CXX000\0\0"), frame(b'Z', b"I")].concat());
            } else {
                drop(wire);
            }
            (passed, read_query(&mut far.accept()))
        }
        FirstAttempt::StartupHangs => (CONNECT_TIMEOUT, read_query(&mut far.accept())),
        FirstAttempt::StartupIsLate => {
            pause();
            let passed = taken_by.elapsed();
            complete_startup(&mut wire);
            (passed, read_query(&mut wire))
        }
    };
    let left = GIVEN - passed.as_millis();
    assert!((1..=left + TOLD_BEYOND_WHAT_IS_LEFT).contains(&told(&sql)), "{left} ms are left: {sql}");
}

/// What every machine answers for a while.
fn fails(how: Failing) -> Vec<u8> {
    let error =
        |code: &str| [frame(b'E', format!("SERROR\0C{code}\0\0").as_bytes()), frame(b'Z', b"I")].concat();
    match how {
        Failing::Errors => error("XX000"),
        Failing::Full => error("53300"),
        Failing::Silent => Vec::new(),
        Failing::Spoilt => b"\x9f\x03\x00\xfe\xc1".to_vec(),
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failing {
    Errors,
    Full,
    Silent,
    Spoilt,
}

/// A process that turned away all that it gets would not find out that its machines work again.
#[rstest]
fn requests_are_served_soon_after_all_machines_recover(
    #[values(Failing::Errors, Failing::Full, Failing::Silent, Failing::Spoilt)] how: Failing,
    #[values("reports", "order-write")] class: &str,
) {
    let failing = Arc::new(AtomicBool::new(false));
    let machine = |role: &'static str| {
        let failing = failing.clone();
        AnsweringMember::new(move |_| {
            if failing.load(Ordering::SeqCst) {
                fails(how)
            } else {
                answer_with_role(VALUE, role)
            }
        })
    };
    let (near, far, discovery) = (machine("writer"), machine("reader"), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[]);
    let mut clients: Vec<Wire> = (0..8).map(|_| client(&pooler)).collect();
    let mut number = 0;
    // Eight requests at once; whether any of them is served.
    let mut round = || {
        for client in &mut clients {
            number += 1;
            client.send(&query(&request_sql(&number.to_string(), class).replace("d=8500", "d=300")));
        }
        // All answers are read.
        clients
            .iter_mut()
            .filter_map(|client| client.answer().first().map(|first| first.0))
            .any(|kind| kind == b'T')
    };
    assert!(round(), "it is served while the machines work");
    failing.store(true, Ordering::SeqCst);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(1500) {
        round();
        std::thread::sleep(Duration::from_millis(100));
    }
    failing.store(false, Ordering::SeqCst);
    let recovered = Instant::now();
    while !round() {
        assert!(recovered.elapsed() < SERVES_NOBODY, "nobody is served for {:?}", recovered.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[rstest]
#[case::says_nothing(&[], None)]
#[case::half_a_startup(&startup()[..7], None)]
#[case::a_startup_alone(&startup(), None)]
#[case::half_a_query(&[startup(), query(&request_sql("1", "reports"))[..40].to_vec()].concat(), None)]
#[case::what_asks_nothing(&[startup(), frame(b'H', b"")].concat(), None)]
#[case::too_long(&[startup(), b"Q\x7f\xff\xff\xff".to_vec()].concat(), None)]
#[case::not_the_protocol(b"GET / HTTP/1.1\r\n\r\n", None)]
#[case::byte_after_byte(&[startup(), b"Q\0\0\xff\xff".to_vec()].concat(), Some(Duration::from_millis(50)))]
fn a_client_that_keeps_to_no_protocol_is_ended_in_time(
    #[case] bytes: &[u8],
    #[case] trickle: Option<Duration>,
) {
    let (db, discovery) = (serving(), Discovery::listen());
    let pooler = Pooler::start(PROGRAM, &list(41, true, &[db.list_entry("s-1", "here")]), &discovery, &[]);
    let mut bad = TcpStream::connect(pooler.address).unwrap();
    let begun = Instant::now();
    bad.write_all(bytes).unwrap();
    if let Some(pause) = trickle {
        let mut more = bad.try_clone().unwrap();
        std::thread::spawn(move || {
            while more.write_all(b" ").is_ok() {
                std::thread::sleep(pause)
            }
        });
    }
    // To the end, or the reset that answers what still came after it.
    let _ = bad.read_to_end(&mut Vec::new());
    assert!(begun.elapsed() < BAD_CLIENT_ENDS_WITHIN, "{:?}", begun.elapsed());
    reads_are_served(&mut client(&pooler), 0..1);
}

/// Its answers fill what the system holds for it, and then wait here. No time is asserted: the system takes more of them by
/// itself for a while, which looks like a client that reads slowly.
#[test]
fn a_client_that_reads_no_answer_is_ended() {
    let value = vec![0x9f; 64 * 1024];
    let (db, discovery) =
        (AnsweringMember::new(move |_| answer_with_role(&value, "reader")), Discovery::listen());
    let pooler = Pooler::start(PROGRAM, &list(41, true, &[db.list_entry("s-1", "here")]), &discovery, &[]);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&pooler.address.into()).unwrap();
    let mut unread = TcpStream::from(socket);
    // Far more than the system holds, were it all answered.
    let requests = (0..400).flat_map(|id| query(&request_sql(&id.to_string(), "reports")));
    unread.write_all(&startup().into_iter().chain(requests).collect::<Vec<u8>>()).unwrap();
    pooler.wait_for_counter_above("overdue", 0);
    assert!(db.count() < 400, "what it does not read is not fetched for it");
    reads_are_served(&mut client(&pooler), 1000..1001);
}

#[test]
fn every_request_to_a_silent_machine_is_answered_when_its_time_is_over() {
    let (hung, discovery) = (AnsweringMember::new(|_| Vec::new()), Discovery::listen());
    let known = list(41, true, &[hung.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[]);
    let given = Duration::from_millis(500);
    let ask_one = |number: usize| {
        let mut client = client(&pooler);
        let sent = Instant::now();
        client.send(&query(&request_sql(&number.to_string(), "reports").replace("d=8500", "d=500")));
        assert!(client.error().0.starts_with('5'));
        sent.elapsed()
    };
    let took: Vec<Duration> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..16).map(|number| scope.spawn(move || ask_one(number))).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    });
    assert!(took.iter().all(|took| *took < given + LOST_AFTER), "{took:?}");
}

/// No list is cut off at less than what the fleet is to grow to.
#[test]
fn one_of_1300_processes_before_1600_machines_serves() {
    let (machine, discovery) = (serving(), Discovery::listen());
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    let others = (1..1600).map(|n| {
        let other = list_entry(unreachable, &format!("s-{n}"), "here", "SERVING");
        other.replace("\"group\":2", &format!("\"group\":{}", 1000 + n))
    });
    let whole: Vec<String> = others.chain([machine.list_entry("s-1600", "here")]).collect();
    let fleet = (r#""fleetSize":1"#, r#""fleetSize":1300"#);
    let pooler = Pooler::start(PROGRAM, &list(41, true, &whole), &discovery, &[fleet]);
    reads_are_served(&mut client(&pooler), 0..8);
    assert_eq!(machine.count(), 8);
}

/// The platform's signals go to what it started, and the bench's library is loaded into it.
#[test]
fn the_deployment_runs_one_dynamically_linked_process() {
    let deployment = include_str!("../../../deploy/balancer.toml");
    let run = deployment.lines().find(|line| line.starts_with("run = "));
    assert!(run.is_some_and(|run| run.starts_with("run = \"exec ")), "{run:?}");
    let (machine, discovery) = (serving(), Discovery::listen());
    let known = list(41, true, &[machine.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[]);
    reads_are_served(&mut client(&pooler), 0..1);
    let process = format!("/proc/{}", pooler.pid());
    let mapped = std::fs::read_to_string(format!("{process}/maps")).unwrap();
    assert!(mapped.contains("/libc.so"), "linked against no C library: {mapped}");
    for task in std::fs::read_dir(format!("{process}/task")).unwrap() {
        let children = std::fs::read_to_string(task.unwrap().path().join("children")).unwrap();
        assert_eq!(children, "", "it has started other programs");
    }
}
