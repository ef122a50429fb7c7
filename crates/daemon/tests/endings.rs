//! Stories over loopback of ends that cross something: a client that leaves or cancels in each state of its request,
//! connections that are closed while bytes are on their way, places that run out while discovery is away, many starts at once.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

const VALUE: &[u8] = b"\x9f\x00\x03";
/// Room for 3 clients beside the spares.
const SOCKETS: (&str, &str) = (r#""sockets":1024"#, r#""sockets":22"#);

/// The end of its connection lies behind more unread bytes than a buffer holds.
#[test]
fn a_client_that_leaves_behind_what_nobody_has_read_has_gone() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = db.accept();
    read_query(&mut wire);
    // More than the pooler's buffer and less than the system's besides, and the end. The first of them is carried out beside
    // the one that is out, the others have an id that is in use.
    let more = query(&request_sql("2", "reports"));
    client.send(&more.repeat(200 * 1024 / more.len()));
    client.0.shutdown(Shutdown::Write).unwrap();
    let from = Instant::now();
    wire.expect_closed();
    assert!(from.elapsed() < Duration::from_secs(4), "given up at its own time only: {:?}", from.elapsed());
    // Nothing is left out, and nothing was begun but what had come before the end was seen.
    let taken = counter_value(&pooler.counters(), "taken");
    wait_for_counter(&pooler, "gone", taken);
    assert!(taken <= 2, "{taken}");
}

/// Nothing of a request is written once its client has left while the connection for it was coming up.
#[rstest]
#[case::leaves(false)]
#[case::cancels(true)]
fn what_waits_for_its_connection_is_not_written_for_a_client_that_has_gone(#[case] cancels: bool) {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let (mut client, key) = client_with_cancel_key(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = db.accept_without_startup();
    let mut first = [0; 4];
    wire.0.read_exact(&mut first).unwrap();
    if cancels {
        send_cancel_request(&pooler, &key);
        assert_eq!(client.error().0, "57014");
    } else {
        drop(client);
    }
    wait_for_counter(&pooler, "gone", 1);
    // The rest of the startup message, and the end.
    wire.0.read_exact(&mut vec![0; u32::from_be_bytes(first) as usize - 4]).unwrap();
    wire.expect_closed();
}

/// A write waits for the end of the one that looks for the primary, and is not sent for a client that has gone.
#[rstest]
#[case::leaves(false)]
#[case::cancels(true)]
fn what_is_held_is_not_sent_for_a_client_that_has_gone(#[case] cancels: bool) {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let ((mut first, _), (mut held, key)) =
        (client_with_cancel_key(&pooler), client_with_cancel_key(&pooler));
    first.send(&query(&request_sql("1", "order-write")));
    let mut wire = db.accept();
    assert!(read_query(&mut wire).contains("id=1,"));
    held.send(&query(&request_sql("2", "order-write")));
    wait_for_counter(&pooler, "taken", 2);
    if cancels {
        send_cancel_request(&pooler, &key);
        assert_eq!(held.error().0, "57014");
    } else {
        drop(held);
    }
    wait_for_counter(&pooler, "gone", 1);
    wire.send(&answer_with_role(VALUE, "writer"));
    assert_eq!(first.answer()[0].0, b'T');
    first.send(&query(&request_sql("3", "order-write")));
    assert!(read_query(&mut wire).contains("id=3,"), "the next that the machine gets");
    assert_eq!(counter_value(&pooler.counters(), "sent"), 2);
}

/// A write whose attempt has failed waits for its repeat, which is not sent for a client that has gone.
#[test]
fn what_is_to_be_repeated_is_not_sent_for_a_client_that_has_gone() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut writer = client(&pooler);
    let mut wire = establish_primary(&db, &mut writer, VALUE);
    writer.send(&query(&request_sql("1", "order-write")));
    read_query(&mut wire);
    // Its connection breaks after the last byte, and no other can be made.
    drop((wire, db));
    wait_for_counter(&pooler, "connect_failed", 1);
    drop(writer);
    wait_for_counter(&pooler, "gone", 1);
    let sent = counter_value(&pooler.counters(), "sent");
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(counter_value(&pooler.counters(), "sent"), sent);
}

#[test]
fn a_request_that_is_out_is_cancelled_by_its_key_alone() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let (mut client, mut key) = client_with_cancel_key(&pooler);
    // One that is between requests has nothing to cancel.
    send_cancel_request(&pooler, &key);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = db.accept();
    read_query(&mut wire);
    key[7] ^= 1;
    send_cancel_request(&pooler, &key);
    key[7] ^= 1;
    assert_eq!(counter_value(&pooler.counters(), "gone"), 0, "another key does nothing");
    send_cancel_request(&pooler, &key);
    assert_eq!(client.error().0, "57014");
    // The machine learns of it by the end of the connection; the client's goes on.
    wire.expect_closed();
    serve_read(&db, &mut client, "2");
    let counters = pooler.counters();
    assert_eq!((counter_value(&counters, "gone"), counter_value(&counters, "served")), (1, 1));
}

/// At the limit the one that has rested for longest makes room; a request that it has just sent is taken up first.
#[test]
fn a_request_that_crosses_its_eviction_is_served() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[SOCKETS]);
    let mut clients: Vec<Wire> = (0..3).map(|_| client(&pooler)).collect();
    wait_for_counter(&pooler, "clients", 3);
    pooler.signal("STOP");
    // The listener is ready before the first client's connection is: the eviction comes first.
    let mut late = Wire::from_stream(TcpStream::connect(pooler.address).unwrap());
    late.send(&startup());
    clients[0].send(&query(&request_sql("1", "reports")));
    pooler.signal("CONT");
    let mut wire = db.accept();
    assert!(read_query(&mut wire).contains("id=1,"));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(clients[0].answer()[0].0, b'T');
    late.answer();
    clients[1].expect_closed();
}

/// A close over unread bytes would be a reset: what comes after the end was told is read, thrown away and never sent on.
#[test]
fn what_crosses_the_end_of_a_connection_is_neither_sent_on_nor_answered_with_a_reset() {
    let db = ScriptedMember::listen();
    let (mut pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let (mut resting, mut busy) = (client(&pooler), client(&pooler));
    let mut wire = serve_read(&db, &mut resting, "0");
    busy.send(&query(&request_sql("1", "reports")));
    read_query(&mut wire);
    pooler.signal("TERM");
    assert_eq!(resting.0.read(&mut [0]).unwrap(), 0, "told of the end");
    // A reset would fail the second of them.
    resting.send(&query(&request_sql("2", "reports")));
    resting.send(&query(&request_sql("3", "reports")));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(busy.answer()[0].0, b'T');
    drop((resting, busy));
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    assert!(pooler.wait_for_log(" ends: ").contains("taken=2 "));
}

/// What comes last before the listener is closed has its own time still, past the moment at which the platform kills.
#[test]
fn what_comes_late_after_sigterm_is_answered_before_the_platform_kills() {
    let db = ScriptedMember::listen();
    let (mut pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut late = client(&pooler);
    let from = Instant::now();
    pooler.signal("TERM");
    pooler.wait_for_log("asked to end");
    std::thread::sleep(Duration::from_millis(300));
    // The longest deadline is over 3 s, so that it may be killed after 3.7 s.
    late.send(&query(&request_sql("1", "reports")));
    let mut wire = db.accept();
    read_query(&mut wire);
    assert!(late.error().0.starts_with('5'));
    assert!(from.elapsed() < Duration::from_millis(3700), "{:?}", from.elapsed());
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}

/// The sending of a connection that lingers was ended anew at each look, which wakes the loop for it again, without end.
#[test]
fn a_connection_that_lingers_does_not_keep_the_loop_busy() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
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
        // It rests until the pooler ends it, which takes a second.
        wire.expect_closed();
    }
    while pooler.counters().contains("clients=0") {}
    std::thread::sleep(Duration::from_millis(1500));
    let spent = ticks(&pooler) - before;
    assert!(spent < 40, "{spent} hundredths of a second of processor time");
}

/// Clients that wait for the first list take all places; those that discovery and the db machines need are kept.
#[test]
fn clients_may_fill_their_places_while_discovery_is_down() {
    let db = ScriptedMember::listen();
    let gone = Discovery::listen();
    let address = gone.address();
    let pooler = Pooler::start(PROGRAM, &list(0, true, &[]), &gone, &[SOCKETS]);
    drop(gone);
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
    let text = list(1, true, &[db.list_entry("s-1", "here")]) + "\n";
    watch.write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([text.as_bytes()])].concat()).unwrap();
    // Those that waited are told, and make room for the others.
    for wire in &mut clients[..3] {
        assert_eq!(wire.answer(), [(b'I', vec![])]);
    }
    for wire in &mut clients[3..] {
        wire.answer();
        assert_eq!(wire.answer(), [(b'I', vec![])]);
        assert!(descriptors() <= 22, "{} descriptors", descriptors());
    }
    serve_read(&db, clients.last_mut().unwrap(), "1");
}

/// Sixty that start in one instant with a list at hand answer a front, though discovery takes their calls and says nothing.
#[test]
fn many_that_are_restarted_at_once_are_ready_without_discovery() {
    let (db, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let known = list(41, true, &[db.list_entry("s-1", "here")]);
    let begun = Instant::now();
    let starts: Vec<_> = std::thread::scope(|scope| {
        let start = || {
            let pooler = Pooler::start(PROGRAM, &known, &discovery, &[]);
            let mut front = client(&pooler);
            front.send(&query(""));
            assert_eq!(front.answer(), [(b'I', vec![])]);
            (pooler, begun.elapsed())
        };
        let starts: Vec<_> = (0..60).map(|_| scope.spawn(start)).collect();
        starts.into_iter().map(|start| start.join().unwrap()).collect()
    });
    let in_time = starts.iter().filter(|(_, took)| *took < Duration::from_secs(10)).count();
    assert!(in_time >= 54, "{in_time} of 60 within 10 s");
}

/// What differs between customers is read from the settings of this start alone; a reload takes the address of discovery only.
#[test]
fn nothing_of_one_customers_settings_is_left_in_another_start() {
    let db = ScriptedMember::listen();
    let (mut pooler, discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut wire = serve_read(&db, &mut client(&pooler), "1");
    pooler.reload("\"reports\"", "\"ledgers\"");
    pooler.wait_for_log("configuration read again");
    let mut still = client(&pooler);
    still.send(&query(&request_sql("2", "ledgers")));
    assert_eq!(
        still.error().0,
        "22023",
        "what requests in hand were taken in under holds until the next start"
    );
    still.send(&query(&request_sql("3", "reports")));
    assert!(read_query(&mut wire).contains("id=3,"));
    pooler.kill();
    let known = list(41, true, &[db.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[("\"reports\"", "\"ledgers\"")]);
    let mut other = client(&pooler);
    other.send(&query(&request_sql("4", "reports")));
    assert_eq!(other.error().0, "22023");
    other.send(&query(&request_sql("5", "ledgers")));
    assert!(read_query(&mut db.accept()).contains("id=5,"));
}
