//! The acceptance criteria that no other test covers, over loopback between scripted peers.
//! `docs/acceptance.md` lists every criterion with the tests that cover it. A time asserted here is the bound
//! of its criterion.

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

/// The agent pushes the list.
const PUSHED: (&str, &str) = (r#""registryMode":"subscribe""#, r#""registryMode":"automatic""#);
/// Enough descriptors for 3 clients beside the reserve.
const THREE_CLIENTS: (&str, &str) = (r#""sockets":1024"#, r#""sockets":22"#);
/// Every class has a deadline of 1 s.
const SHORT_DEADLINES: [(&str, &str); 2] =
    [(r#""aim":8"#, r#""aim":0.8"#), (r#""deadline":9"#, r#""deadline":1"#)];
/// The platform kills the process this long after the longest deadline has passed.
const KILL_GRACE: Duration = Duration::from_millis(700);

/// After SIGHUP, a change at the new address of discovery must be in force after this time.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// A change that a silent watch misses must be in force this long after the watch fell silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);
/// With short deadlines, nine in ten restarted processes must be ready within this time.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// No process may refuse every request without an attempt in between for this long.
const MAX_REFUSING_PERIOD: Duration = Duration::from_secs(4);
/// A client that breaks the protocol gets an error or the end of its connection within this time.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// A request is lost if it is answered this long after its deadline, or never.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// The time limit sent with a further attempt exceeds the client's remaining time by at most this
/// (milliseconds).
const MAX_EXCESS_TIME_LIMIT_MS: u128 = 150;

fn source_edits(pushed: bool) -> &'static [(&'static str, &'static str)] {
    if pushed {
        &[PUSHED]
    } else {
        &[]
    }
}

/// A member that serves every request.
fn serving() -> AnsweringMember {
    AnsweringMember::new(|_| answer_with_role(VALUE, "reader"))
}

fn draining(member: &AnsweringMember, name: &str, zone: &str) -> String {
    list_entry(member.address, name, zone, "DRAINING")
}

/// Sends a read for each id, one after another; each must be served.
fn reads_are_served(client: &mut Wire, ids: std::ops::Range<u32>) {
    for id in ids {
        client.send(&query(&request_sql(&id.to_string(), "reports")));
        assert_eq!(client.answer()[0].0, b'T');
    }
}

fn send_list(watch: &mut TcpStream, list: &str) {
    write_chunk(watch, &format!("{list}\n"));
}

/// Which discovery sends the drain after a reload has changed its address.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sender {
    /// The one at the former address, before the new one has answered.
    Former,
    /// The one at the new address, in its first answer.
    New,
}

#[rstest]
fn a_drain_sent_after_a_reload_is_applied(
    #[values(false, true)] pushed: bool,
    #[values(Sender::Former, Sender::New)] sender: Sender,
) {
    let (near, far) = (serving(), serving());
    let (discovery, moved) = (Discovery::listen(), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, source_edits(pushed));
    let mut former = discovery.accept_watch();
    let mut client = client(&pooler);
    reads_are_served(&mut client, 0..1);
    assert_eq!((near.count(), far.count()), (1, 0), "the member in the pooler's zone is the first choice");
    let lists = pooler.counter("lists");
    let reloaded = Instant::now();
    pooler.reload(&discovery.address().to_string(), &moved.address().to_string());
    let (mut new, request) = moved.accept_request();
    assert!(request.contains("follow=1&since=0 "), "{request}");
    match sender {
        Sender::Former => send_list(&mut former, &list(42, false, &[draining(&near, "s-1", "here")])),
        Sender::New => {
            let full_list = [draining(&near, "s-1", "here"), far.list_entry("s-2", "there")];
            new.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
            send_list(&mut new, &list(1, true, &full_list));
        }
    }
    pooler.wait_for_counter_above("lists", lists);
    assert!(reloaded.elapsed() < RELOAD_TIMEOUT, "{:?}", reloaded.elapsed());
    reads_are_served(&mut client, 1..9);
    assert_eq!((near.count(), far.count()), (1, 8), "the draining member got new requests");
}

#[rstest]
fn a_watch_that_falls_silent_late_is_replaced_in_time(#[values(false, true)] pushed: bool) {
    let (near, far, discovery) = (serving(), serving(), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, source_edits(pushed));
    let mut watch = discovery.accept_watch();
    let mut client = client(&pooler);
    reads_are_served(&mut client, 0..1);
    // The watch has been active for a while: empty lines, and a change.
    for _ in 0..4 {
        std::thread::sleep(Duration::from_millis(300));
        write_chunk(&mut watch, "\n");
    }
    send_list(&mut watch, &list(42, false, &[far.list_entry("s-2", "there")]));
    let silent = Instant::now();
    // The connection stays open and sends nothing more.
    let (mut next, request) = discovery.accept_request();
    assert!(request.contains("follow=1&since=42 "), "{request}");
    let lists = pooler.counter("lists");
    next.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    send_list(&mut next, &list(43, false, &[draining(&near, "s-1", "here")]));
    pooler.wait_for_counter_above("lists", lists);
    assert!(silent.elapsed() < SILENCE_TIMEOUT, "{:?}", silent.elapsed());
    reads_are_served(&mut client, 1..9);
    assert_eq!((near.count(), far.count()), (1, 8), "the draining member got new requests");
}

/// A member that is missing from a full list is removed, whether the list is the first of a watch or a later
/// one.
#[rstest]
fn members_missing_from_a_full_list_get_no_requests(#[values(false, true)] pushed: bool) {
    let (drained, missing, far, discovery) = (serving(), serving(), serving(), Discovery::listen());
    let saved_list = [
        drained.list_entry("s-1", "here"),
        missing.list_entry("s-2", "here"),
        far.list_entry("s-3", "there"),
    ];
    let pooler = Pooler::start(PROGRAM, &list(41, true, &saved_list), &discovery, source_edits(pushed));
    let (mut watch, request) = discovery.accept_request();
    assert!(request.contains("follow=1&since=41 "), "{request}");
    let mut client = client(&pooler);
    let lists = pooler.counter("lists");
    watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    let full_list = [draining(&drained, "s-1", "here"), far.list_entry("s-3", "there")];
    send_list(&mut watch, &list(50, true, &full_list));
    pooler.wait_for_counter_above("lists", lists);
    reads_are_served(&mut client, 0..8);
    assert_eq!((drained.count(), missing.count(), far.count()), (0, 0, 8));
    send_list(&mut watch, &list(51, true, &[missing.list_entry("s-2", "here")]));
    pooler.wait_for_counter_above("lists", lists + 1);
    reads_are_served(&mut client, 8..16);
    assert_eq!((drained.count(), missing.count(), far.count()), (0, 8, 8));
}

/// The part of a list that arrived before a reset is not applied, with or without chunked encoding.
#[rstest]
#[case::half_a_list_in_chunks(true)]
#[case::a_list_without_a_length(false)]
fn a_list_truncated_by_a_reset_is_not_applied(#[values(false, true)] pushed: bool, #[case] chunked: bool) {
    let (near, far, discovery) = (serving(), serving(), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, source_edits(pushed));
    let mut client = client(&pooler);
    let (mut truncated, _) = discovery.accept_request();
    let lists = pooler.counter("lists");
    let other = list(50, true, &[far.list_entry("s-2", "there")]);
    if chunked {
        truncated.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
        write_chunk(&mut truncated, &other[..other.len() - 1]);
    } else {
        let head = RESPONSE_HEAD.replace("Transfer-Encoding: chunked\r\n", "");
        truncated.write_all(format!("{head}{}", &other[..other.len() - 1]).as_bytes()).unwrap();
    }
    // The pooler reads the part before the reset, which would discard it.
    pooler.counters();
    SockRef::from(&truncated).set_linger(Some(Duration::ZERO)).unwrap();
    drop(truncated);
    let (mut watch, request) = discovery.accept_request();
    assert!(request.contains("follow=1&since=41 "), "{request}");
    reads_are_served(&mut client, 0..4);
    assert_eq!((near.count(), far.count()), (4, 0), "the partial list was applied");
    watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    send_list(&mut watch, &other);
    pooler.wait_for_counter_above("lists", lists);
    reads_are_served(&mut client, 4..8);
    assert_eq!((near.count(), far.count()), (4, 4));
}

/// With short deadlines the platform kills early. Every accepted request must be answered by then, even if no
/// member ever answers.
#[test]
fn with_short_deadlines_every_accepted_request_is_answered_before_the_kill() {
    let (silent, discovery) = (AnsweringMember::new(|_| Vec::new()), Discovery::listen());
    let saved_list = list(41, true, &[silent.list_entry("s-1", "here")]);
    let mut pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &SHORT_DEADLINES);
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
        // A request that this test sent too late may find its connection closed.
        if sent < KILL_GRACE {
            assert!(client.error().0.starts_with('5'), "sent {sent:?} after the signal");
        }
    }
}

/// Connections of the killed process are open at the kill, and the next process listens at the same address.
#[test]
fn killed_processes_restarted_without_a_saved_list_are_ready_in_time() {
    const PROCESSES: usize = 20;
    let (member, discovery) = (serving(), Discovery::listen());
    let fleet = format!(r#""fleetSize":{PROCESSES}"#);
    let start = |saved_list: &str, listen: &str| {
        let edits = [(r#""fleetSize":1"#, &*fleet), ("127.0.0.1:0", listen)];
        Pooler::start(PROGRAM, saved_list, &discovery, &edits)
    };
    let full_list = list(41, true, &[member.list_entry("s-1", "here")]);
    let mut poolers: Vec<Pooler> = (0..PROCESSES).map(|_| start(&full_list, "127.0.0.1:0")).collect();
    let mut clients: Vec<Wire> = poolers.iter().map(client).collect();
    clients.iter_mut().enumerate().for_each(|(n, client)| {
        reads_are_served(client, n as u32..n as u32 + 1);
    });
    let addresses: Vec<SocketAddr> = poolers.iter().map(|pooler| pooler.address).collect();
    poolers.iter_mut().for_each(Pooler::kill);
    let killed = Instant::now();
    let starting: Vec<Pooler> =
        addresses.iter().map(|address| start(&list(0, true, &[]), &address.to_string())).collect();
    // Discovery takes 20 ms for a list request and answers sequentially; those of the killed processes come
    // first.
    discovery.answer_sequentially(&full_list, Duration::from_millis(20));
    let ready: Vec<Duration> = std::thread::scope(|scope| {
        let threads: Vec<_> = starting
            .iter()
            .map(|pooler| {
                scope.spawn(|| {
                    let mut client_wire = client(pooler);
                    client_wire.send(&query(""));
                    assert_eq!(client_wire.answer(), [(b'I', vec![])]);
                    let ready = killed.elapsed();
                    reads_are_served(&mut client_wire, 0..1);
                    ready
                })
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let in_time = ready.iter().filter(|ready| **ready < READY_TIMEOUT).count();
    assert!(in_time * 10 >= PROCESSES * 9, "{in_time} of {PROCESSES} in time: {ready:?}");
}

/// The deadline of a request runs from its last byte, however long the earlier bytes took.
#[test]
fn the_deadline_of_a_request_sent_in_pieces_runs_from_its_last_byte() {
    let (member, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let pooler =
        Pooler::start(PROGRAM, &list(41, true, &[member.list_entry("s-1", "here")]), &discovery, &[]);
    let mut client = client(&pooler);
    let bytes = query(&request_sql("1", "reports").replace("d=8500", "d=1500"));
    // Split within the header of the message, within the comment, and before the last byte.
    let cuts = [0, 3, 20, bytes.len() - 1, bytes.len()];
    for (number, part) in cuts.windows(2).enumerate() {
        if number > 0 {
            std::thread::sleep(Duration::from_millis(300));
        }
        client.send(&bytes[part[0]..part[1]]);
    }
    let mut wire = member.accept();
    read_query(&mut wire);
    std::thread::sleep(Duration::from_millis(800));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T', "served 1.7 s after its first byte and 0.8 s after its last");
}

#[test]
fn a_request_half_sent_at_sigterm_is_answered_once_it_is_complete() {
    let (member, discovery) = (serving(), Discovery::listen());
    let mut pooler =
        Pooler::start(PROGRAM, &list(41, true, &[member.list_entry("s-1", "here")]), &discovery, &[]);
    let mut client = client(&pooler);
    let bytes = query(&request_sql("1", "reports"));
    client.send(&bytes[..bytes.len() / 2]);
    // The pooler reads the first half before the signal arrives.
    pooler.counters();
    pooler.signal("TERM");
    // By then the pooler accepts no more connections.
    std::thread::sleep(Duration::from_millis(1000));
    client.send(&bytes[bytes.len() / 2..]);
    assert_eq!(client.answer()[0].0, b'T');
    client.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}

#[test]
fn a_client_with_a_half_sent_request_keeps_its_connection_when_descriptors_run_out() {
    let (member, discovery) = (serving(), Discovery::listen());
    let saved_list = list(41, true, &[member.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[THREE_CLIENTS]);
    let mut writing = client(&pooler);
    let bytes = query(&request_sql("1", "reports"));
    writing.send(&bytes[..bytes.len() / 2]);
    let mut idle: Vec<Wire> = (0..2).map(|_| client(&pooler)).collect();
    // `writing` has been connected for the longest time, and the next client needs a descriptor.
    let _late = client(&pooler);
    idle[0].expect_closed();
    writing.send(&bytes[bytes.len() / 2..]);
    assert_eq!(writing.answer()[0].0, b'T');
}

/// How the first attempt fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstAttempt {
    Error,
    Reset,
    /// The connection is opened and its startup is never answered.
    StartupHangs,
    /// It doesn't fail: the startup is answered late, and the time limit of this attempt is checked.
    StartupIsLate,
}

/// The time limit in a statement (milliseconds).
fn sent_time_limit(sql: &str) -> u128 {
    sql.split_once(",d=").unwrap().1.split(',').next().unwrap().parse().unwrap()
}

#[rstest]
fn an_attempt_sends_its_member_the_remaining_time(
    #[values(
        FirstAttempt::Error,
        FirstAttempt::Reset,
        FirstAttempt::StartupHangs,
        FirstAttempt::StartupIsLate
    )]
    first: FirstAttempt,
) {
    const CLIENT_TIME_LIMIT_MS: u128 = 8500;
    /// The connect timeout of the settings.
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = near.accept_without_startup();
    // The request arrived before this moment, so the time since then is part of its elapsed time.
    let arrived_before = Instant::now();
    let pause = || std::thread::sleep(Duration::from_millis(700));
    let (elapsed, sql) = match first {
        FirstAttempt::Error | FirstAttempt::Reset => {
            complete_startup(&mut wire);
            let sql = read_query(&mut wire);
            assert!((1..=CLIENT_TIME_LIMIT_MS).contains(&sent_time_limit(&sql)), "{sql}");
            pause();
            let elapsed = arrived_before.elapsed();
            if first == FirstAttempt::Error {
                wire.send(&[frame(b'E', b"SERROR\0CXX000\0\0"), frame(b'Z', b"I")].concat());
            } else {
                drop(wire);
            }
            (elapsed, read_query(&mut far.accept()))
        }
        FirstAttempt::StartupHangs => (CONNECT_TIMEOUT, read_query(&mut far.accept())),
        FirstAttempt::StartupIsLate => {
            pause();
            let elapsed = arrived_before.elapsed();
            complete_startup(&mut wire);
            (elapsed, read_query(&mut wire))
        }
    };
    let remaining = CLIENT_TIME_LIMIT_MS - elapsed.as_millis();
    assert!(
        (1..=remaining + MAX_EXCESS_TIME_LIMIT_MS).contains(&sent_time_limit(&sql)),
        "{remaining} ms are left: {sql}"
    );
}

/// The answer of every member while it fails.
fn failing_answer(how: Failure) -> Vec<u8> {
    let error =
        |code: &str| [frame(b'E', format!("SERROR\0C{code}\0\0").as_bytes()), frame(b'Z', b"I")].concat();
    match how {
        Failure::Errors => error("XX000"),
        Failure::Full => error("53300"),
        Failure::Silent => Vec::new(),
        Failure::Malformed => b"\x9f\x03\x00\xfe\xc1".to_vec(),
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Errors,
    Full,
    Silent,
    Malformed,
}

/// A process that refused every request would not notice that its members work again.
#[rstest]
fn requests_are_served_soon_after_all_members_recover(
    #[values(Failure::Errors, Failure::Full, Failure::Silent, Failure::Malformed)] how: Failure,
    #[values("reports", "order-write")] class: &str,
) {
    let failing = Arc::new(AtomicBool::new(false));
    let member = |role: &'static str| {
        let failing = failing.clone();
        AnsweringMember::new(move |_| {
            if failing.load(Ordering::SeqCst) {
                failing_answer(how)
            } else {
                answer_with_role(VALUE, role)
            }
        })
    };
    let (near, far, discovery) = (member("writer"), member("reader"), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[]);
    let mut clients: Vec<Wire> = (0..8).map(|_| client(&pooler)).collect();
    let mut number = 0;
    // Sends eight requests at once; returns whether any of them is served.
    let mut any_served = || {
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
    assert!(any_served(), "no request is served while the members work");
    failing.store(true, Ordering::SeqCst);
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(1500) {
        any_served();
        std::thread::sleep(Duration::from_millis(100));
    }
    failing.store(false, Ordering::SeqCst);
    let recovered = Instant::now();
    while !any_served() {
        assert!(
            recovered.elapsed() < MAX_REFUSING_PERIOD,
            "no request is served for {:?}",
            recovered.elapsed()
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[rstest]
#[case::sends_nothing(&[], None)]
#[case::half_a_startup(&startup()[..7], None)]
#[case::startup_without_a_query(&startup(), None)]
#[case::half_a_query(&[startup(), query(&request_sql("1", "reports"))[..40].to_vec()].concat(), None)]
#[case::message_without_a_query(&[startup(), frame(b'H', b"")].concat(), None)]
#[case::oversized_message(&[startup(), b"Q\x7f\xff\xff\xff".to_vec()].concat(), None)]
#[case::another_protocol(b"GET / HTTP/1.1\r\n\r\n", None)]
#[case::byte_by_byte(&[startup(), b"Q\0\0\xff\xff".to_vec()].concat(), Some(Duration::from_millis(50)))]
fn a_client_that_breaks_the_protocol_is_closed_in_time(
    #[case] bytes: &[u8],
    #[case] trickle: Option<Duration>,
) {
    let (member, discovery) = (serving(), Discovery::listen());
    let pooler =
        Pooler::start(PROGRAM, &list(41, true, &[member.list_entry("s-1", "here")]), &discovery, &[]);
    let mut malformed_client = TcpStream::connect(pooler.address).unwrap();
    let started = Instant::now();
    malformed_client.write_all(bytes).unwrap();
    if let Some(pause) = trickle {
        let mut more = malformed_client.try_clone().unwrap();
        std::thread::spawn(move || {
            while more.write_all(b" ").is_ok() {
                std::thread::sleep(pause)
            }
        });
    }
    // Reads to the end, or to the reset that answers bytes sent after the end.
    let _ = malformed_client.read_to_end(&mut Vec::new());
    assert!(started.elapsed() < BAD_CLIENT_TIMEOUT, "{:?}", started.elapsed());
    reads_are_served(&mut client(&pooler), 0..1);
}

/// The answers fill the socket buffers and then wait in the pooler. No time is asserted: the system grows its
/// buffers for a while, which looks like a client that reads slowly.
#[test]
fn a_client_that_reads_no_answers_is_closed() {
    let value = vec![0x9f; 64 * 1024];
    let (member, discovery) =
        (AnsweringMember::new(move |_| answer_with_role(&value, "reader")), Discovery::listen());
    let pooler =
        Pooler::start(PROGRAM, &list(41, true, &[member.list_entry("s-1", "here")]), &discovery, &[]);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&pooler.address.into()).unwrap();
    let mut unread = TcpStream::from(socket);
    // All answers together are far larger than the socket buffers.
    let requests = (0..400).flat_map(|id| query(&request_sql(&id.to_string(), "reports")));
    unread.write_all(&startup().into_iter().chain(requests).collect::<Vec<u8>>()).unwrap();
    pooler.wait_for_counter_above("overdue", 0);
    assert!(member.count() < 400, "requests were sent for a client that reads no answer");
    reads_are_served(&mut client(&pooler), 1000..1001);
}

#[test]
fn every_request_to_a_silent_member_is_answered_at_its_deadline() {
    let (silent, discovery) = (AnsweringMember::new(|_| Vec::new()), Discovery::listen());
    let saved_list = list(41, true, &[silent.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[]);
    let time_limit = Duration::from_millis(500);
    let request_time = |number: usize| {
        let mut client = client(&pooler);
        let sent = Instant::now();
        client.send(&query(&request_sql(&number.to_string(), "reports").replace("d=8500", "d=500")));
        assert!(client.error().0.starts_with('5'));
        sent.elapsed()
    };
    let times: Vec<Duration> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..16).map(|number| scope.spawn(move || request_time(number))).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    });
    assert!(times.iter().all(|time| *time < time_limit + MAX_ANSWER_DELAY), "{times:?}");
}

/// The list must not be limited to fewer members than the fleet is to grow to.
#[test]
fn a_process_of_a_fleet_of_1300_serves_with_a_list_of_1600_members() {
    let (member, discovery) = (serving(), Discovery::listen());
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    let others = (1..1600).map(|n| {
        let other = list_entry(unreachable, &format!("s-{n}"), "here", "SERVING");
        other.replace("\"group\":2", &format!("\"group\":{}", 1000 + n))
    });
    let full_list: Vec<String> = others.chain([member.list_entry("s-1600", "here")]).collect();
    let fleet = (r#""fleetSize":1"#, r#""fleetSize":1300"#);
    let pooler = Pooler::start(PROGRAM, &list(41, true, &full_list), &discovery, &[fleet]);
    reads_are_served(&mut client(&pooler), 0..8);
    assert_eq!(member.count(), 8);
}

/// The platform signals the process that it started, and the test platform preloads a library into that
/// process.
#[test]
fn the_deployment_runs_one_dynamically_linked_process() {
    let deployment = include_str!("../../../deploy/balancer.toml");
    let run = deployment.lines().find(|line| line.starts_with("run = "));
    assert!(run.is_some_and(|run| run.starts_with("run = \"exec ")), "{run:?}");
    let (member, discovery) = (serving(), Discovery::listen());
    let saved_list = list(41, true, &[member.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[]);
    reads_are_served(&mut client(&pooler), 0..1);
    let process = format!("/proc/{}", pooler.pid());
    let mapped = std::fs::read_to_string(format!("{process}/maps")).unwrap();
    assert!(mapped.contains("/libc.so"), "not dynamically linked with the C library: {mapped}");
    for task in std::fs::read_dir(format!("{process}/task")).unwrap() {
        let children = std::fs::read_to_string(task.unwrap().path().join("children")).unwrap();
        assert_eq!(children, "", "the pooler has started other programs");
    }
}
