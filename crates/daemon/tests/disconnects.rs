//! Tests over loopback of clients that disconnect or cancel in each state of a request, of connections closed
//! while bytes are on their way, of descriptors that run out while discovery is down, and of many
//! simultaneous starts.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

/// An attempt may still begin this long after its client has left.
const BEGUN_AFTER_LEAVING: Duration = Duration::from_millis(100);
const VALUE: &[u8] = b"\x9f\x00\x03";
/// Enough descriptors for 3 clients beside the reserve.
const THREE_CLIENTS: (&str, &str) = (r#""sockets":1024"#, r#""sockets":22"#);

/// More unread bytes than a buffer can store precede the end of the client's connection.
#[test]
fn a_disconnect_behind_unread_bytes_is_noticed() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = member.accept();
    read_query(&mut wire);
    // More bytes than fit into the pooler's buffer, but fewer than into that and the system's, then the end.
    // The first of these requests runs beside the one in flight; the others have an id in use.
    let more = query(&request_sql("2", "reports"));
    client.send(&more.repeat(200 * 1024 / more.len()));
    client.0.shutdown(Shutdown::Write).unwrap();
    let started = Instant::now();
    wire.expect_closed();
    assert!(
        started.elapsed() < Duration::from_secs(4),
        "cancelled only at its deadline: {:?}",
        started.elapsed()
    );
    // No request is left in flight, and at most one further request was started before the end was seen.
    let taken = counter_value(&pooler.counters(), "taken");
    wait_for_counter(&pooler, "gone", taken);
    assert!(taken <= 2, "{taken}");
}

/// The id in a request's comment.
fn id_of(sql: &str) -> &str {
    sql.split_once("id=").and_then(|(_, rest)| rest.split(',').next()).unwrap_or_default()
}

/// Guards issue 55, picture (c): a client closed its connection with much still unread, and its requests were sent on
/// afterwards.
#[rstest]
#[case::answers_unread(false)]
#[case::answers_read(true)]
fn requests_sent_ahead_are_not_begun_after_their_client_has_left(#[case] reads: bool) {
    const ROUNDS: usize = 20;
    const REQUESTS_PER_ROUND: usize = 300;
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let recorded = arrivals.clone();
    let member = AnsweringMember::new(move |sql| {
        recorded.lock().unwrap().push((id_of(sql).to_string(), Instant::now()));
        std::thread::sleep(Duration::from_millis(2));
        answer_with_role(VALUE, "reader")
    });
    let discovery = Discovery::listen();
    let pooler =
        Pooler::start(PROGRAM, &list(41, true, &[member.list_entry("s-1", "here")]), &discovery, &[]);
    let mut left_at = Vec::new();
    for round in 0..ROUNDS {
        let mut leaving = client(&pooler);
        let request = |n| query(&request_sql(&format!("{round}-{n}"), "reports"));
        leaving.send(&(0..REQUESTS_PER_ROUND).flat_map(request).collect::<Vec<u8>>());
        std::thread::sleep(Duration::from_millis(30));
        if reads {
            // The end of the connection is then no reset.
            leaving.0.set_nonblocking(true).unwrap();
            while leaving.0.read(&mut [0; 64 * 1024]).is_ok_and(|count| count > 0) {}
        }
        drop(leaving);
        left_at.push(Instant::now());
        std::thread::sleep(Duration::from_millis(150));
    }
    let arrivals = arrivals.lock().unwrap();
    let mut ids: Vec<&str> = arrivals.iter().map(|(id, _)| id.as_str()).collect();
    ids.sort_unstable();
    let count = ids.len();
    ids.dedup();
    assert_eq!(ids.len(), count, "ids arrived more than once");
    assert!(count > ROUNDS, "{count} requests arrived");
    for (id, at) in arrivals.iter() {
        let round: usize = id.split('-').next().unwrap().parse().unwrap();
        let late = at.saturating_duration_since(left_at[round]);
        assert!(late <= BEGUN_AFTER_LEAVING, "{id} arrived {late:?} after its client had left");
    }
}

/// Guards issue 55, picture (c): an id ran twice when it came again after its client had left.
#[rstest]
#[case::never_repeated(r#""effect":"non_idempotent""#)]
#[case::keyed(r#""effect":"idempotency_key","group":"cell","dedupWindow":2"#)]
fn an_id_that_may_have_run_for_a_client_that_has_left_does_not_run_again(#[case] effect: &str) {
    let member = ScriptedMember::listen();
    let keyed = r#""effect":"idempotency_key","group":"cell","dedupWindow":2"#;
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[(keyed, effect)]);
    let mut wire = establish_primary(&member, &mut client(&pooler), VALUE);
    let mut leaving = client(&pooler);
    leaving.send(&query(&request_sql("1", "order-write")));
    assert!(read_query(&mut wire).contains("id=1,"));
    drop(leaving);
    wire.expect_closed();
    wait_for_counter(&pooler, "gone", 1);
    let mut other = client(&pooler);
    other.send(&query(&request_sql("1", "order-write")));
    assert_eq!(other.error().0, "58000");
    // Another id is carried out: nothing of the first was sent before it.
    other.send(&query(&request_sql("2", "order-write")));
    assert!(read_query(&mut member.accept()).contains("id=2,"));
}

/// No byte of a request is written if its client leaves while the connection for it is being opened.
#[rstest]
#[case::leaves(false)]
#[case::cancels(true)]
fn a_request_waiting_for_its_connection_is_not_sent_after_its_client_has_left(#[case] cancels: bool) {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let (mut client, key) = client_with_cancel_key(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = member.accept_without_startup();
    let mut first = [0; 4];
    wire.0.read_exact(&mut first).unwrap();
    if cancels {
        send_cancel_request(&pooler, &key);
        assert_eq!(client.error().0, "57014");
    } else {
        drop(client);
    }
    wait_for_counter(&pooler, "gone", 1);
    // Only the rest of the startup message and the end arrive.
    wire.0.read_exact(&mut vec![0; u32::from_be_bytes(first) as usize - 4]).unwrap();
    wire.expect_closed();
}

/// A write waits for the end of the write that looks for the primary, and is not sent if its client leaves
/// meanwhile.
#[rstest]
#[case::leaves(false)]
#[case::cancels(true)]
fn a_write_waiting_for_the_primary_is_not_sent_after_its_client_has_left(#[case] cancels: bool) {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let ((mut first, _), (mut waiting, key)) =
        (client_with_cancel_key(&pooler), client_with_cancel_key(&pooler));
    first.send(&query(&request_sql("1", "order-write")));
    let mut wire = member.accept();
    assert!(read_query(&mut wire).contains("id=1,"));
    waiting.send(&query(&request_sql("2", "order-write")));
    wait_for_counter(&pooler, "taken", 2);
    if cancels {
        send_cancel_request(&pooler, &key);
        assert_eq!(waiting.error().0, "57014");
    } else {
        drop(waiting);
    }
    wait_for_counter(&pooler, "gone", 1);
    wire.send(&answer_with_role(VALUE, "writer"));
    assert_eq!(first.answer()[0].0, b'T');
    first.send(&query(&request_sql("3", "order-write")));
    assert!(read_query(&mut wire).contains("id=3,"), "another request reached the member first");
    assert_eq!(counter_value(&pooler.counters(), "sent"), 2);
}

/// A write whose attempt has failed waits for its repeat, which is not sent if its client leaves meanwhile.
#[test]
fn a_write_waiting_for_its_repeat_is_not_sent_after_its_client_has_left() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut writer = client(&pooler);
    let mut wire = establish_primary(&member, &mut writer, VALUE);
    writer.send(&query(&request_sql("1", "order-write")));
    read_query(&mut wire);
    // The connection breaks after the last byte of the request, and no other can be opened.
    drop((wire, member));
    wait_for_counter(&pooler, "connect_failed", 1);
    drop(writer);
    wait_for_counter(&pooler, "gone", 1);
    let sent = counter_value(&pooler.counters(), "sent");
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(counter_value(&pooler.counters(), "sent"), sent);
}

#[test]
fn a_request_in_flight_is_cancelled_only_by_its_own_key() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let (mut client, mut key) = client_with_cancel_key(&pooler);
    // An idle connection has nothing to cancel.
    send_cancel_request(&pooler, &key);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = member.accept();
    read_query(&mut wire);
    key[7] ^= 1;
    send_cancel_request(&pooler, &key);
    key[7] ^= 1;
    assert_eq!(counter_value(&pooler.counters(), "gone"), 0, "a cancel request with another key took effect");
    send_cancel_request(&pooler, &key);
    assert_eq!(client.error().0, "57014");
    // The member's connection is closed; the client's connection stays usable.
    wire.expect_closed();
    serve_read(&member, &mut client, "2");
    let counters = pooler.counters();
    assert_eq!((counter_value(&counters, "gone"), counter_value(&counters, "served")), (1, 1));
}

/// At the limit the client that has been idle for the longest time is closed, unless it has just sent a
/// request, which is accepted.
#[test]
fn a_request_that_arrives_during_its_client_s_eviction_is_served() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[THREE_CLIENTS]);
    let mut clients: Vec<Wire> = (0..3).map(|_| client(&pooler)).collect();
    wait_for_counter(&pooler, "clients", 3);
    pooler.signal("STOP");
    // The listener becomes ready before the first client's connection does, so the eviction is handled first.
    let mut late = Wire::from_stream(TcpStream::connect(pooler.address).unwrap());
    late.send(&startup());
    clients[0].send(&query(&request_sql("1", "reports")));
    pooler.signal("CONT");
    let mut wire = member.accept();
    assert!(read_query(&mut wire).contains("id=1,"));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(clients[0].answer()[0].0, b'T');
    late.answer();
    clients[1].expect_closed();
}

/// Closing a socket with unread bytes would send a reset, so bytes that arrive after the end was sent are
/// read and discarded, and not forwarded.
#[test]
fn bytes_received_after_closing_are_neither_forwarded_nor_answered_with_a_reset() {
    let member = ScriptedMember::listen();
    let (mut pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let (mut idle, mut busy) = (client(&pooler), client(&pooler));
    let mut wire = serve_read(&member, &mut idle, "0");
    busy.send(&query(&request_sql("1", "reports")));
    read_query(&mut wire);
    pooler.signal("TERM");
    assert_eq!(idle.0.read(&mut [0]).unwrap(), 0, "the idle connection was not closed");
    // A reset would make the second send fail.
    idle.send(&query(&request_sql("2", "reports")));
    idle.send(&query(&request_sql("3", "reports")));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(busy.answer()[0].0, b'T');
    drop((idle, busy));
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    assert!(pooler.wait_for_log(" ends: ").contains("taken=2 "));
}

/// A request that arrives just before the listener is closed has a deadline after the platform's kill.
#[test]
fn a_late_request_after_sigterm_is_answered_before_the_platform_kills() {
    let member = ScriptedMember::listen();
    let (mut pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut late = client(&pooler);
    let started = Instant::now();
    pooler.signal("TERM");
    pooler.wait_for_log("asked to end");
    std::thread::sleep(Duration::from_millis(300));
    // The platform may kill the process 3.7 s after the signal, since the longest deadline is over 3 s.
    late.send(&query(&request_sql("1", "reports")));
    let mut wire = member.accept();
    read_query(&mut wire);
    assert!(late.error().0.starts_with('5'));
    assert!(started.elapsed() < Duration::from_millis(3700), "{:?}", started.elapsed());
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}

/// Each check of a lingering connection shut down its sending side again, which woke the event loop for it
/// without end.
#[test]
fn a_lingering_connection_does_not_keep_the_event_loop_busy() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let ticks = |pooler: &Pooler| -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", pooler.pid())).unwrap();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    };
    let mut broken: Vec<Wire> = (0..4).map(|_| client(&pooler)).collect();
    let before = ticks(&pooler);
    for wire in &mut broken {
        wire.send(b"Q\x7f\xff\xff\xff");
        assert_eq!(wire.error().0, "54000");
        // The connection lingers until the pooler closes it after a second.
        wire.expect_closed();
    }
    while pooler.counters().contains("clients=0") {}
    std::thread::sleep(Duration::from_millis(1500));
    let spent = ticks(&pooler) - before;
    assert!(spent < 40, "{spent} hundredths of a second of processor time");
}

/// Clients that wait for the first list use all client descriptors; those for discovery and the members are
/// reserved.
#[test]
fn clients_may_use_all_their_descriptors_while_discovery_is_down() {
    let member = ScriptedMember::listen();
    let first_discovery = Discovery::listen();
    let address = first_discovery.address();
    let pooler = Pooler::start(PROGRAM, &list(0, true, &[]), &first_discovery, &[THREE_CLIENTS]);
    drop(first_discovery);
    let descriptors = || std::fs::read_dir(format!("/proc/{}/fd", pooler.pid())).unwrap().count();
    let mut clients: Vec<Wire> = (0..12)
        .map(|_| {
            let mut wire = Wire::from_stream(TcpStream::connect(pooler.address).unwrap());
            wire.send(&[startup(), query("")].concat());
            wire
        })
        .collect();
    clients[..3].iter_mut().for_each(|wire| drop(wire.answer()));
    pooler.wait_for_log("all busy: new connections wait");
    assert!(descriptors() <= 22, "{} descriptors", descriptors());
    let discovery = Discovery::listen_at(address);
    let (mut watch, _) = discovery.accept_request();
    let text = list(1, true, &[member.list_entry("s-1", "here")]) + "\n";
    watch.write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([text.as_bytes()])].concat()).unwrap();
    // The waiting clients are answered, and their descriptors become free for the others.
    for wire in &mut clients[..3] {
        assert_eq!(wire.answer(), [(b'I', vec![])]);
    }
    for wire in &mut clients[3..] {
        wire.answer();
        assert_eq!(wire.answer(), [(b'I', vec![])]);
        assert!(descriptors() <= 22, "{} descriptors", descriptors());
    }
    serve_read(&member, clients.last_mut().unwrap(), "1");
}

/// Sixty processes that start at once with a saved list answer a client although discovery never answers list
/// requests.
#[test]
fn many_poolers_started_at_once_are_ready_without_discovery() {
    let (member, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let saved_list = list(41, true, &[member.list_entry("s-1", "here")]);
    let started = Instant::now();
    let started_poolers: Vec<_> = std::thread::scope(|scope| {
        let start = || {
            let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[]);
            let mut client_wire = client(&pooler);
            client_wire.send(&query(""));
            assert_eq!(client_wire.answer(), [(b'I', vec![])]);
            (pooler, started.elapsed())
        };
        let threads: Vec<_> = (0..60).map(|_| scope.spawn(start)).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let in_time = started_poolers.iter().filter(|(_, took)| *took < Duration::from_secs(10)).count();
    assert!(in_time >= 54, "{in_time} of 60 within 10 s");
}

/// Settings that differ between customers are read at the start alone; a reload changes only the address of
/// discovery.
#[test]
fn settings_of_one_customer_do_not_carry_over_to_another_start() {
    let member = ScriptedMember::listen();
    let (mut pooler, discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut wire = serve_read(&member, &mut client(&pooler), "1");
    pooler.reload("\"reports\"", "\"ledgers\"");
    pooler.wait_for_log("configuration read again");
    let mut client_after_reload = client(&pooler);
    client_after_reload.send(&query(&request_sql("2", "ledgers")));
    assert_eq!(
        client_after_reload.error().0,
        "22023",
        "a reload changed the classes, which stay until the next start"
    );
    client_after_reload.send(&query(&request_sql("3", "reports")));
    assert!(read_query(&mut wire).contains("id=3,"));
    pooler.kill();
    let saved_list = list(41, true, &[member.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[("\"reports\"", "\"ledgers\"")]);
    let mut client_after_restart = client(&pooler);
    client_after_restart.send(&query(&request_sql("4", "reports")));
    assert_eq!(client_after_restart.error().0, "22023");
    client_after_restart.send(&query(&request_sql("5", "ledgers")));
    assert!(read_query(&mut member.accept()).contains("id=5,"));
}
