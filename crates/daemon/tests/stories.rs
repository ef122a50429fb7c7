//! Stories over loopback: the program between scripted peers. Each guards against one thing that real
//! sockets do.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

const VALUE: &[u8] = b"\x9f\x00\x03";
/// Room for 3 clients beside the spares.
const THREE_CLIENTS: (&str, &str) = (r#""sockets":1024"#, r#""sockets":22"#);

/// A pooler that knows two machines, the second in another zone, and discovery, which has nothing to say.
fn with_two(near: &ScriptedMember, far: &ScriptedMember) -> (Pooler, Discovery) {
    let discovery = Discovery::listen();
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    (Pooler::start(PROGRAM, &known, &discovery, &[]), discovery)
}

/// One query of any class that reads, answered by the machine's next connection, which is given back.
fn warm(db: &ScriptedMember, client: &mut Wire) -> Wire {
    client.send(&query(&request_sql("warm", "reports")));
    let mut wire = db.accept();
    read_query(&mut wire);
    wire.send(&answer_with_role(VALUE, "reader"));
    client.answer();
    wire
}

#[rstest]
#[case::byte_by_byte(1)]
#[case::in_odd_pieces(7)]
#[case::at_once(100_000)]
fn a_query_passes_with_another_d_and_its_value_as_it_came(#[case] piece: usize) {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut client = client(&pooler);
    let sql = request_sql("9b1f", "reports");
    // Two queries, one sent ahead of the other's answer: the answers keep their order.
    let bytes = [query(&sql), query(&request_sql("9b20", "reports"))].concat();
    bytes.chunks(piece).for_each(|piece| client.send(piece));
    let mut wire = db.accept();
    let got = read_query(&mut wire);
    let (front, rest) = got.split_once(",d=").unwrap();
    let (d, back) = rest.split_once(',').unwrap();
    assert_eq!(format!("{front},d=8500,{back}"), sql);
    assert!((1..=8500).contains(&d.parse().unwrap()), "{d}");
    // The second is out beside it, and is answered first.
    let mut second = db.accept();
    assert!(read_query(&mut second).contains("id=9b20,"));
    second.send(&answer_with_role(b"second", "reader"));
    wait_for_counter(&pooler, "served", 1);
    answer_with_role(VALUE, "reader").chunks(piece).for_each(|piece| wire.send(piece));
    assert_eq!(client.answer().iter().map(|(k, b)| frame(*k, b)).collect::<Vec<_>>().concat(), row(VALUE));
    assert!(client.answer()[1].1.ends_with(b"second"));
    assert!(pooler
        .counters()
        .contains("taken=2 malformed=0 served=2 refused=0 failed=0 gone=0 overdue=0 rested=0 connected=2"));
}

#[test]
fn the_largest_value_passes_both_ways() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut client = client(&pooler);
    let sql = format!("{} AND doc = '\\x{}'", request_sql("1", "reports"), "9f".repeat(64 * 1024));
    client.send(&query(&sql));
    let mut wire = db.accept();
    let got = read_query(&mut wire);
    assert!(got.split_once("*/").unwrap().1 == sql.split_once("*/").unwrap().1);
    let value = VALUE.repeat(64 * 1024 / VALUE.len());
    wire.send(&answer_with_role(&value, "reader"));
    assert!(client.answer()[1].1.ends_with(&value));
}

#[rstest]
#[case::no_comment("SELECT 1", "42601")]
#[case::no_end("/* id=1,c=reports,d=10,cluster=2", "42601")]
#[case::no_statement("/* id=1,c=reports,d=10,cluster=2 */ ;", "42601")]
#[case::no_id("/* c=reports,d=10,cluster=2 */ SELECT", "42601")]
#[case::twice("/* id=1,id=2,c=reports,d=10,cluster=2 */ SELECT", "42601")]
#[case::huge_d("/* id=1,c=reports,d=99999999999999999999,cluster=2 */ SELECT", "42601")]
#[case::signed_d("/* id=1,c=reports,d=-5,cluster=2 */ SELECT", "42601")]
#[case::group_is_no_number("/* id=1,c=reports,d=10,cluster=two */ SELECT", "42601")]
#[case::unknown_class("/* id=1,c=odd,d=10,cluster=2 */ SELECT", "22023")]
#[case::no_key("/* id=1,c=order-write,d=10,cluster=2 */ SELECT", "22023")]
fn a_malformed_query_gets_an_error_and_goes_nowhere(#[case] sql: &str, #[case] code: &str) {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut client = client(&pooler);
    client.send(&query(sql));
    assert_eq!(client.error().0, code);
    // The connection goes on, and the first thing that the machine gets is the next query.
    warm(&db, &mut client);
    assert!(pooler.counters().contains("taken=1 malformed=1"));
}

#[rstest]
#[case::oversized(&[b'Q', 0x7f, 0xff, 0xff, 0xff], "54000")]
#[case::shorter_than_its_length(&[b'Q', 0, 0, 0, 3], "08P01")]
#[case::unknown_kind(&[1, 0, 0, 0, 4], "08P01")]
fn a_message_that_cannot_be_followed_ends_the_connection(#[case] bytes: &[u8], #[case] code: &str) {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut broken = client(&pooler);
    broken.send(bytes);
    assert_eq!(broken.error().0, code);
    broken.expect_closed();
    warm(&db, &mut client(&pooler));
}

#[test]
fn the_empty_query_is_answered_once_there_is_a_list() {
    let (db, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let pooler = Pooler::start(PROGRAM, &list(0, true, &[]), &discovery, &[]);
    let mut client = Wire(std::net::TcpStream::connect(pooler.address).unwrap());
    // Encryption is declined; the startup message carries the query with it.
    client.send(&[0, 0, 0, 8, 4, 210, 22, 47]);
    let mut byte = [0];
    std::io::Read::read_exact(&mut client.0, &mut byte).unwrap();
    assert_eq!(byte, *b"N");
    client.send(&[startup(), query("")].concat());
    client.answer();
    pooler.counters();
    client.0.set_nonblocking(true).unwrap();
    assert!(client.0.peek(&mut byte).is_err(), "answered before there was a list");
    client.0.set_nonblocking(false).unwrap();
    let (mut watch, line) = discovery.accept_request();
    assert_eq!(line, "GET /catalog/members?follow=1&since=0 HTTP/1.1");
    let news = list(1, true, &[db.list_entry("s-1", "here")]) + "\n";
    watch.write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([news.as_bytes()])].concat()).unwrap();
    assert_eq!(client.answer(), [(b'I', vec![])]);
}

#[test]
fn the_attempt_of_a_client_that_leaves_is_given_up() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = db.accept();
    read_query(&mut wire);
    drop(client);
    wire.expect_closed();
    assert!(pooler.counters().contains(" gone=1 overdue=0 rested=0 connected=1 sent=1 ok=0"));
}

#[rstest]
#[case::refused(0, "connect_failed=1 reset=0")]
#[case::during_startup(1, "connect_failed=1 reset=0")]
#[case::after_the_last_byte(2, "connect_failed=0 reset=1")]
fn a_read_goes_on_elsewhere_when_its_connection_breaks(#[case] moment: u8, #[case] counted: &str) {
    let (near, far) = (ScriptedMember::listen(), ScriptedMember::listen());
    let (pooler, _discovery) = with_two(&near, &far);
    let mut client = client(&pooler);
    match moment {
        0 => drop(near),
        1 => drop(std::thread::spawn(move || drop(near.accept_without_startup()))),
        _ => drop(std::thread::spawn(move || read_query(&mut near.accept()))),
    }
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = far.accept();
    assert!(read_query(&mut wire).contains("id=1,"));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    let counters = pooler.counters();
    assert!(counters.contains(counted), "{counters}");
}

#[test]
fn a_write_that_may_have_run_is_repeated_within_its_class_and_then_failed() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut client = client(&pooler);
    drop(establish_primary(&db, &mut client, VALUE));
    client.send(&query(&request_sql("1", "order-write")));
    let machine = std::thread::spawn(move || {
        let mut seen = 0;
        // The end of the first is there before the second comes: never two at once.
        while seen < 6 {
            let mut wire = db.accept();
            let Some((_, body)) = wire.message() else { continue };
            let sql = String::from_utf8(body).unwrap();
            if sql.contains("id=2,") {
                wire.send(&answer_with_role(VALUE, "writer"));
                break;
            }
            assert!(sql.contains("id=1,") && sql.contains("k=5c0f,"));
            seen += 1;
        }
        seen
    });
    // Not refused: that would say that another try is harmless.
    assert_eq!(client.error(), ("58000".to_string(), None));
    client.send(&query(&request_sql("2", "reports")));
    assert_eq!(client.answer()[0].0, b'T');
    assert!((2..6).contains(&machine.join().unwrap()));
}

#[rstest]
#[case::full("53300", "full=1")]
#[case::not_the_primary("25006", "miss=1")]
#[case::behind("72000", "miss=1")]
#[case::fault("XX000", "error=1")]
fn what_a_machine_says_decides_the_outcome(#[case] code: &str, #[case] counted: &str) {
    let (near, far) = (ScriptedMember::listen(), ScriptedMember::listen());
    let (pooler, _discovery) = with_two(&near, &far);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = near.accept();
    read_query(&mut wire);
    wire.send(&[frame(b'E', format!("SERROR\0C{code}\0\0").as_bytes()), frame(b'Z', b"I")].concat());
    let mut wire = far.accept();
    read_query(&mut wire);
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    let counters = pooler.counters();
    assert!(counters.contains(counted), "{counters}");
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports").replace("cluster=2", "cluster=9")));
    let (code, detail) = client.error();
    assert_eq!(code, "53300");
    assert!((1..=500).contains(&detail.unwrap().parse().unwrap()));
}

#[test]
fn a_silent_machine_does_not_keep_a_request_past_its_time() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports").replace("d=8500", "d=400")));
    let mut wire = db.accept();
    read_query(&mut wire);
    assert_eq!(client.error().0, "53300");
    wire.expect_closed();
}

#[test]
fn an_id_that_is_in_use_is_not_taken_twice() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let (mut one, mut two) = (client(&pooler), client(&pooler));
    one.send(&query(&request_sql("1", "reports")));
    let mut wire = db.accept();
    read_query(&mut wire);
    two.send(&query(&request_sql("1", "reports")));
    assert_eq!(two.error().0, "22023");
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(one.answer()[0].0, b'T');
}

#[test]
fn a_probe_tells_who_is_fresh_if_its_report_can_be_read() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) =
        start_with_one_member(PROGRAM, &db, &[(r#""probes":false"#, r#""probes":true"#)]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "browse")));
    let mut wire = db.accept();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64();
    // What is legible in a report that is not whole may be wrong too: nothing is learnt from it.
    for rest in ["x1=0,queue=\u{fffd}", "x1=0x", "}{", "x1=0,queue=0,inflight=1"] {
        assert_eq!(read_query(&mut wire), "SHOW usage");
        wire.send(&answer_with_role(format!("x0={:.3},{rest}", now - 0.5).as_bytes(), "reader"));
    }
    // The read was held until some replica was known to be fresh enough.
    assert!(read_query(&mut wire).contains("id=1,"));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    assert!(pooler.counters().contains(" unreadable=3 "));
}

#[rstest]
#[case::noise(b"\x9f\x03\x00\xfe\xc1".to_vec())]
#[case::a_line(b"HTTP/1.1 500 odd\r\n".to_vec())]
#[case::of_three_gigabytes(row(VALUE)[..27].iter().chain(b"D\xb2\xd0\x5e\0\0\x01\xb2\xd0\x5d\xf6").copied().collect())]
#[case::a_value_shorter_than_its_row(row(VALUE).iter().map(|b| if *b == 3 { 2 } else { *b }).collect())]
#[case::a_row_without_a_description(row(VALUE)[27..].to_vec())]
#[case::two_rows([row(VALUE), row(VALUE)].concat())]
#[case::an_end_that_never_comes(row(VALUE)[..30].to_vec())]
fn a_spoilt_answer_is_a_failed_attempt(#[case] answer: Vec<u8>) {
    let (near, far) = (ScriptedMember::listen(), ScriptedMember::listen());
    let (pooler, _discovery) = with_two(&near, &far);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut spoilt = near.accept();
    read_query(&mut spoilt);
    spoilt.send(&answer);
    // The connection is of no further use, and the read goes on elsewhere well within its 8.5 s.
    spoilt.expect_closed();
    let mut wire = far.accept();
    assert!(read_query(&mut wire).contains("id=1,"));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer().iter().map(|(k, b)| frame(*k, b)).collect::<Vec<_>>().concat(), row(VALUE));
    let counters = pooler.counters();
    assert!(counters.contains(" ok=1 error=1 ") && counters.contains(" spoilt=1 stray=0 "), "{counters}");
}

#[rstest]
#[case::a_second_copy(&answer_with_role(b"stray", "reader"))]
#[case::noise(b"\x9f\x03\x00\xfe\xc1")]
fn what_comes_behind_an_answer_does_not_reach_the_next_request(
    #[case] stray: &[u8],
    #[values(false, true)] late: bool,
) {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = db.accept();
    read_query(&mut wire);
    let behind: &[u8] = if late { &[] } else { stray };
    wire.send(&[&answer_with_role(VALUE, "reader"), behind].concat());
    assert!(client.answer()[1].1.ends_with(VALUE));
    if late {
        wire.send(stray);
    }
    wire.expect_closed();
    warm(&db, &mut client);
    assert!(pooler.counters().contains(" spoilt=0 stray=1 "));
}

#[rstest]
#[case::busy("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into())]
#[case::not_http("SSH-2.0-odd\r\n".into())]
#[case::not_a_list([RESPONSE_HEAD, "3\r\n{}\n\r\n"].concat())]
#[case::not_a_chunk([RESPONSE_HEAD, "zz\r\n"].concat())]
#[case::deeper_than_any_stack([RESPONSE_HEAD, "100000\r\n", &"[".repeat(0x100000 - 1), "\n\r\n"].concat())]
fn a_call_that_fails_is_made_again(#[case] answer: String) {
    let (old, new, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let pooler = Pooler::start(PROGRAM, &list(41, true, &[old.list_entry("s-1", "here")]), &discovery, &[]);
    let mut client = client(&pooler);
    let mut idle = warm(&old, &mut client);
    let (mut watch, line) = discovery.accept_request();
    assert!(line.contains("follow=1&since=41 "), "{line}");
    watch.write_all(answer.as_bytes()).unwrap();
    let (mut watch, line) = discovery.accept_request();
    assert!(line.contains("follow=1&since=41 "), "{line}");
    // The machine has another address, and the chunks are split at every byte.
    let news = format!("\n{}\n", list(43, false, &[new.list_entry("s-1", "here")]));
    watch.write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks(news.as_bytes().chunks(1))].concat()).unwrap();
    idle.expect_closed();
    warm(&new, &mut client);
    // The watch ends: the next is opened from what is held.
    watch.write_all(b"0\r\n\r\n").unwrap();
    assert!(discovery.accept_request().1.contains("follow=1&since=43 "));
}

#[test]
fn a_connection_that_the_machine_has_closed_is_not_used_again() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut client = client(&pooler);
    let mut wire = warm(&db, &mut client);
    wire.0.shutdown(std::net::Shutdown::Write).unwrap();
    wire.expect_closed();
    client.send(&query(&request_sql("2", "reports")));
    let mut wire = db.accept();
    assert!(read_query(&mut wire).contains("id=2,"));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    assert!(pooler.counters().contains("sent=2 ok=2"));
}

#[test]
fn an_idle_connection_is_closed_before_the_machine_would() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) =
        start_with_one_member(PROGRAM, &db, &[(r#""keepalive":15"#, r#""keepalive":0.5"#)]);
    warm(&db, &mut client(&pooler)).expect_closed();
}

#[test]
fn at_the_limit_idle_clients_make_room_and_busy_ones_do_not() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[THREE_CLIENTS]);
    let mut clients: Vec<Wire> = (0..3).map(|_| client(&pooler)).collect();
    // Three are as many as there is room for: none has to leave before a fourth is there.
    assert!(pooler.counters().contains("clients=3"));
    clients.push(client(&pooler));
    // The first has been idle for longest.
    clients.remove(0).expect_closed();
    let mut wires = Vec::new();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&query(&request_sql(&number.to_string(), "reports")));
        wires.push(db.accept());
        read_query(&mut wires[number]);
    }
    let mut late = Wire(std::net::TcpStream::connect(pooler.address).unwrap());
    late.send(&startup());
    pooler.wait_for_log("all busy: new connections wait");
    wires[1].send(&answer_with_role(VALUE, "reader"));
    assert_eq!(clients[1].answer()[0].0, b'T');
    // The late one takes the place of the one that is idle now.
    late.answer();
    clients[1].expect_closed();
}

#[rstest]
#[case::nothing(vec![], None)]
#[case::half_a_startup(startup()[..7].to_vec(), Some("08P01"))]
#[case::a_startup(startup(), None)]
#[case::half_a_query([&startup(), &query(&request_sql("1", "reports"))[..40]].concat(), Some("08P01"))]
#[case::what_asks_nothing([startup(), frame(b'H', b"")].concat(), None)]
fn who_holds_a_place_and_does_not_ask_is_closed(#[case] sent: Vec<u8>, #[case] code: Option<&str>) {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let mut usual = client(&pooler);
    warm(&db, &mut usual);
    let mut silent = Wire(std::net::TcpStream::connect(pooler.address).unwrap());
    silent.send(&sent);
    if sent.len() >= startup().len() {
        silent.answer();
    }
    if let Some(code) = code {
        assert_eq!(silent.error().0, code);
    }
    silent.expect_closed();
    // Whoever has asked may rest.
    warm(&db, &mut usual);
    assert!(pooler.counters().contains(" overdue=1 "));
}

#[test]
fn who_has_asked_and_stays_is_closed_once_places_run_out() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[THREE_CLIENTS]);
    let (mut once, mut busy) = (client(&pooler), client(&pooler));
    busy.send(&query(&request_sql("1", "reports")));
    let mut wire = db.accept();
    read_query(&mut wire);
    warm(&db, &mut once);
    once.expect_closed();
    assert!(pooler.counters().contains(" overdue=0 rested=1 "));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(busy.answer()[0].0, b'T');
}

#[test]
fn a_client_that_sends_without_pause_does_not_keep_the_others_waiting() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let (mut usual, mut flood) = (client(&pooler), client(&pooler));
    let mut answers = flood.0.try_clone().unwrap();
    std::thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
    std::thread::spawn(move || while flood.0.write_all(&query("SELECT 1").repeat(1000)).is_ok() {});
    // Not before it is in full flow.
    let malformed = |counters: String| -> u64 {
        counters.split("malformed=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap()
    };
    while malformed(pooler.counters()) < 1000 {}
    warm(&db, &mut usual);
}

#[test]
fn statements_that_the_memory_cannot_hold_are_refused() {
    let db = ScriptedMember::listen();
    let (pooler, _discovery) =
        start_with_one_member(PROGRAM, &db, &[(r#""memory_mb":192"#, r#""memory_mb":1"#)]);
    let (mut held, mut wires) = (Vec::new(), Vec::new());
    let sql = |n: usize| {
        format!("{} AND doc = '\\x{}'", request_sql(&n.to_string(), "reports"), "9f".repeat(64 * 1024))
    };
    // Half a megabyte is for all: two of the largest, and what it takes to pass them on, leave no room.
    for n in 0..2 {
        held.push(client(&pooler));
        held[n].send(&query(&sql(n)));
        wires.push(db.accept());
        read_query(&mut wires[n]);
    }
    let mut third = client(&pooler);
    third.send(&query(&sql(2)));
    assert_eq!(third.error().0, "53300");
    wires[0].send(&answer_with_role(VALUE, "reader"));
    assert_eq!(held[0].answer()[0].0, b'T');
    // Nothing of it was sent: what the machine gets next is another.
    third.send(&query(&sql(3)));
    assert!(read_query(&mut wires[0]).contains("id=3,"));
}

#[test]
fn after_sigterm_all_that_comes_in_time_is_answered() {
    let db = ScriptedMember::listen();
    let (mut pooler, _discovery) = start_with_one_member(PROGRAM, &db, &[]);
    let (mut busy, mut idle) = (client(&pooler), client(&pooler));
    busy.send(&query(&request_sql("1", "reports")));
    let mut first = db.accept();
    read_query(&mut first);
    pooler.signal("TERM");
    pooler.wait_for_log("asked to end");
    idle.send(&query(&request_sql("2", "reports")));
    let mut new = client(&pooler);
    new.send(&query(&request_sql("3", "reports")));
    for _ in 0..2 {
        let mut wire = db.accept();
        read_query(&mut wire);
        wire.send(&answer_with_role(VALUE, "reader"));
    }
    assert_eq!((idle.answer()[0].0, new.answer()[0].0), (b'T', b'T'));
    // Those between requests are closed; what is owed is still given.
    idle.expect_closed();
    new.expect_closed();
    first.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(busy.answer()[0].0, b'T');
    busy.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    assert!(pooler.wait_for_log(" ends: ").contains("served=3"));
}

#[test]
fn a_reload_moves_the_watch_and_drops_nothing() {
    let (old, new, moved) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let (mut pooler, discovery) = start_with_one_member(PROGRAM, &old, &[]);
    let mut client = client(&pooler);
    let mut watch = discovery.accept_request().0;
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = old.accept();
    read_query(&mut wire);
    // A file that cannot be used changes nothing, and the pooler goes on.
    pooler.reload("{\"name\"", "{name");
    pooler.wait_for_log("configuration kept as it was");
    pooler.reload("{name", "{\"name\"");
    pooler.wait_for_log("configuration read again");
    assert!(pooler.counters().contains(" reloads=1 reloads_failed=1"));
    pooler.reload(&discovery.address().to_string(), &moved.address().to_string());
    // Versions are the new service's own. The old watch, which neither reload before has touched, ends.
    let (mut news, line) = moved.accept_request();
    assert!(line.contains("follow=1&since=0 "), "{line}");
    assert_eq!(std::io::Read::read(&mut watch, &mut [0]).unwrap(), 0);
    let text = list(1, true, &[new.list_entry("s-1", "here")]) + "\n";
    news.write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([text.as_bytes()])].concat()).unwrap();
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    wire.expect_closed();
    warm(&new, &mut client);
    // Beside the end it is no obstacle.
    pooler.signal("TERM");
    pooler.signal("HUP");
    client.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}
