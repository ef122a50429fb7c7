//! Tests of the running program over loopback between scripted peers. Each test covers one condition that
//! occurs with real sockets, such as a split message or a connection that breaks.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

const VALUE: &[u8] = b"\x9f\x00\x03";
/// Enough descriptors for 3 clients beside the reserve.
const THREE_CLIENTS: (&str, &str) = (r#""sockets":1024"#, r#""sockets":22"#);

/// Starts a pooler whose saved list has two members, the second in another zone. Discovery sends nothing.
fn start_with_two_members(near: &ScriptedMember, far: &ScriptedMember) -> (Pooler, Discovery) {
    let discovery = Discovery::listen();
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    (Pooler::start(PROGRAM, &saved_list, &discovery, &[]), discovery)
}

/// Sends one read, answers it on the member's next connection, and returns that connection.
fn serve_warm_up(member: &ScriptedMember, client: &mut Wire) -> Wire {
    client.send(&query(&request_sql("warm", "reports")));
    let mut wire = member.accept();
    read_query(&mut wire);
    wire.send(&answer_with_role(VALUE, "reader"));
    client.answer();
    wire
}

#[rstest]
#[case::byte_by_byte(1)]
#[case::in_odd_pieces(7)]
#[case::at_once(100_000)]
fn a_query_is_forwarded_with_a_new_d_and_its_value_unchanged(#[case] piece: usize) {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut client = client(&pooler);
    let sql = request_sql("9b1f", "reports");
    // The second query is sent before the first is answered; the answers keep the order of the queries.
    let bytes = [query(&sql), query(&request_sql("9b20", "reports"))].concat();
    bytes.chunks(piece).for_each(|piece| client.send(piece));
    let mut wire = member.accept();
    let got = read_query(&mut wire);
    let (front, rest) = got.split_once(",d=").unwrap();
    let (d, back) = rest.split_once(',').unwrap();
    assert_eq!(format!("{front},d=8500,{back}"), sql);
    assert!((1..=8500).contains(&d.parse().unwrap()), "{d}");
    // The second query is in flight at the same time, and is answered first.
    let mut second = member.accept();
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
fn the_largest_value_is_forwarded_in_both_directions() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut client = client(&pooler);
    let sql = format!("{} AND doc = '\\x{}'", request_sql("1", "reports"), "9f".repeat(64 * 1024));
    client.send(&query(&sql));
    let mut wire = member.accept();
    let got = read_query(&mut wire);
    assert!(got.split_once("*/").unwrap().1 == sql.split_once("*/").unwrap().1);
    let value = VALUE.repeat(64 * 1024 / VALUE.len());
    wire.send(&answer_with_role(&value, "reader"));
    assert!(client.answer()[1].1.ends_with(&value));
}

#[rstest]
#[case::no_comment("SELECT 1", "42601")]
#[case::unclosed_comment("/* id=1,c=reports,d=10,cluster=2", "42601")]
#[case::no_statement("/* id=1,c=reports,d=10,cluster=2 */ ;", "42601")]
#[case::no_id("/* c=reports,d=10,cluster=2 */ SELECT", "42601")]
#[case::id_given_twice("/* id=1,id=2,c=reports,d=10,cluster=2 */ SELECT", "42601")]
#[case::d_out_of_range("/* id=1,c=reports,d=99999999999999999999,cluster=2 */ SELECT", "42601")]
#[case::negative_d("/* id=1,c=reports,d=-5,cluster=2 */ SELECT", "42601")]
#[case::group_not_a_number("/* id=1,c=reports,d=10,cluster=two */ SELECT", "42601")]
#[case::unknown_class("/* id=1,c=odd,d=10,cluster=2 */ SELECT", "22023")]
#[case::no_key("/* id=1,c=order-write,d=10,cluster=2 */ SELECT", "22023")]
fn a_malformed_query_gets_an_error_and_is_not_forwarded(#[case] sql: &str, #[case] code: &str) {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut client = client(&pooler);
    client.send(&query(sql));
    assert_eq!(client.error().0, code);
    // The connection is still usable, and the first query that reaches the member is the next one.
    serve_warm_up(&member, &mut client);
    assert!(pooler.counters().contains("taken=1 malformed=1"));
}

#[rstest]
#[case::oversized(&[b'Q', 0x7f, 0xff, 0xff, 0xff], "54000")]
#[case::invalid_length(&[b'Q', 0, 0, 0, 3], "08P01")]
#[case::unknown_message_type(&[1, 0, 0, 0, 4], "08P01")]
fn a_malformed_message_ends_the_connection(#[case] bytes: &[u8], #[case] code: &str) {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut broken = client(&pooler);
    broken.send(bytes);
    assert_eq!(broken.error().0, code);
    broken.expect_closed();
    serve_warm_up(&member, &mut client(&pooler));
}

#[test]
fn the_empty_query_is_answered_only_after_a_list_has_arrived() {
    let (member, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let pooler = Pooler::start(PROGRAM, &list(0, true, &[]), &discovery, &[]);
    let mut client = Wire(std::net::TcpStream::connect(pooler.address).unwrap());
    // Encryption is declined; the query is sent together with the startup message.
    client.send(&[0, 0, 0, 8, 4, 210, 22, 47]);
    let mut byte = [0];
    std::io::Read::read_exact(&mut client.0, &mut byte).unwrap();
    assert_eq!(byte, *b"N");
    client.send(&[startup(), query("")].concat());
    client.answer();
    pooler.counters();
    client.0.set_nonblocking(true).unwrap();
    assert!(client.0.peek(&mut byte).is_err(), "the empty query was answered before a list arrived");
    client.0.set_nonblocking(false).unwrap();
    let (mut watch, line) = discovery.accept_request();
    assert_eq!(line, "GET /catalog/members?follow=1&since=0 HTTP/1.1");
    let update = list(1, true, &[member.list_entry("s-1", "here")]) + "\n";
    watch.write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([update.as_bytes()])].concat()).unwrap();
    assert_eq!(client.answer(), [(b'I', vec![])]);
}

#[test]
fn the_attempt_of_a_client_that_disconnects_is_cancelled() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = member.accept();
    read_query(&mut wire);
    drop(client);
    wire.expect_closed();
    assert!(pooler.counters().contains(" gone=1 overdue=0 rested=0 connected=1 sent=1 ok=0"));
}

#[rstest]
#[case::refused(0, "connect_failed=1 reset=0")]
#[case::during_startup(1, "connect_failed=1 reset=0")]
#[case::after_the_last_byte(2, "connect_failed=0 reset=1")]
fn a_read_is_sent_to_another_member_when_its_connection_breaks(
    #[case] moment: u8,
    #[case] expected_counters: &str,
) {
    let (near, far) = (ScriptedMember::listen(), ScriptedMember::listen());
    let (pooler, _discovery) = start_with_two_members(&near, &far);
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
    assert!(counters.contains(expected_counters), "{counters}");
}

#[test]
fn a_write_that_may_have_run_is_repeated_as_its_class_allows_and_then_fails() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut client = client(&pooler);
    drop(establish_primary(&member, &mut client, VALUE));
    client.send(&query(&request_sql("1", "order-write")));
    let member_thread = std::thread::spawn(move || {
        let mut attempts = 0;
        // The first connection has ended before the second is opened, so the attempts never overlap.
        while attempts < 6 {
            let mut wire = member.accept();
            let Some((_, body)) = wire.message() else { continue };
            let sql = String::from_utf8(body).unwrap();
            if sql.contains("id=2,") {
                wire.send(&answer_with_role(VALUE, "writer"));
                break;
            }
            assert!(sql.contains("id=1,") && sql.contains("k=5c0f,"));
            attempts += 1;
        }
        attempts
    });
    // The error is not a refusal, which would mean that a further try is harmless.
    assert_eq!(client.error(), ("58000".to_string(), None));
    client.send(&query(&request_sql("2", "reports")));
    assert_eq!(client.answer()[0].0, b'T');
    assert!((2..6).contains(&member_thread.join().unwrap()));
}

#[rstest]
#[case::full("53300", "full=1")]
#[case::not_the_primary("25006", "miss=1")]
#[case::snapshot_too_old("72000", "miss=1")]
#[case::internal_error("XX000", "error=1")]
fn the_sqlstate_of_a_member_decides_the_outcome_of_an_attempt(
    #[case] code: &str,
    #[case] expected_counters: &str,
) {
    let (near, far) = (ScriptedMember::listen(), ScriptedMember::listen());
    let (pooler, _discovery) = start_with_two_members(&near, &far);
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
    assert!(counters.contains(expected_counters), "{counters}");
}

#[test]
fn a_refusal_carries_a_retry_delay() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports").replace("cluster=2", "cluster=9")));
    let (code, detail) = client.error();
    assert_eq!(code, "53300");
    assert!((1..=500).contains(&detail.unwrap().parse().unwrap()));
}

#[test]
fn a_request_to_a_silent_member_is_refused_at_its_deadline() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports").replace("d=8500", "d=400")));
    let mut wire = member.accept();
    read_query(&mut wire);
    assert_eq!(client.error().0, "53300");
    wire.expect_closed();
}

#[test]
fn a_request_with_an_id_in_use_is_rejected() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let (mut one, mut two) = (client(&pooler), client(&pooler));
    one.send(&query(&request_sql("1", "reports")));
    let mut wire = member.accept();
    read_query(&mut wire);
    two.send(&query(&request_sql("1", "reports")));
    assert_eq!(two.error().0, "22023");
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(one.answer()[0].0, b'T');
}

#[test]
fn only_readable_probe_reports_show_a_replica_as_fresh() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) =
        start_with_one_member(PROGRAM, &member, &[(r#""probes":false"#, r#""probes":true"#)]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "browse")));
    let mut wire = member.accept();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64();
    // The readable fields of a malformed report may be wrong too, so no field of it is used.
    for rest in ["x1=0,queue=\u{fffd}", "x1=0x", "}{", "x1=0,queue=0,inflight=1"] {
        assert_eq!(read_query(&mut wire), "SHOW usage");
        wire.send(&answer_with_role(format!("x0={:.3},{rest}", now - 0.5).as_bytes(), "reader"));
    }
    // The read waited until a replica was known to be fresh enough.
    assert!(read_query(&mut wire).contains("id=1,"));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    assert!(pooler.counters().contains(" unreadable=3 "));
}

#[rstest]
#[case::noise(b"\x9f\x03\x00\xfe\xc1".to_vec())]
#[case::text_line(b"HTTP/1.1 500 odd\r\n".to_vec())]
#[case::length_of_three_gigabytes(row(VALUE)[..27].iter().chain(b"D\xb2\xd0\x5e\0\0\x01\xb2\xd0\x5d\xf6").copied().collect())]
#[case::value_shorter_than_its_row(row(VALUE).iter().map(|b| if *b == 3 { 2 } else { *b }).collect())]
#[case::row_without_a_description(row(VALUE)[27..].to_vec())]
#[case::two_rows([row(VALUE), row(VALUE)].concat())]
#[case::incomplete_answer(row(VALUE)[..30].to_vec())]
fn a_malformed_answer_fails_the_attempt(#[case] answer: Vec<u8>) {
    let (near, far) = (ScriptedMember::listen(), ScriptedMember::listen());
    let (pooler, _discovery) = start_with_two_members(&near, &far);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut malformed_wire = near.accept();
    read_query(&mut malformed_wire);
    malformed_wire.send(&answer);
    // The connection is closed, and the read is sent to another member well within its 8.5 s.
    malformed_wire.expect_closed();
    let mut wire = far.accept();
    assert!(read_query(&mut wire).contains("id=1,"));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer().iter().map(|(k, b)| frame(*k, b)).collect::<Vec<_>>().concat(), row(VALUE));
    let counters = pooler.counters();
    assert!(counters.contains(" ok=1 error=1 ") && counters.contains(" spoilt=1 stray=0 "), "{counters}");
}

#[rstest]
#[case::second_answer(&answer_with_role(b"stray", "reader"))]
#[case::noise(b"\x9f\x03\x00\xfe\xc1")]
fn data_after_an_answer_does_not_reach_the_next_request(
    #[case] stray: &[u8],
    #[values(false, true)] late: bool,
) {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = member.accept();
    read_query(&mut wire);
    let behind: &[u8] = if late { &[] } else { stray };
    wire.send(&[&answer_with_role(VALUE, "reader"), behind].concat());
    assert!(client.answer()[1].1.ends_with(VALUE));
    if late {
        wire.send(stray);
    }
    wire.expect_closed();
    serve_warm_up(&member, &mut client);
    assert!(pooler.counters().contains(" spoilt=0 stray=1 "));
}

#[rstest]
#[case::busy("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into())]
#[case::not_http("SSH-2.0-odd\r\n".into())]
#[case::not_a_list([RESPONSE_HEAD, "3\r\n{}\n\r\n"].concat())]
#[case::not_a_chunk([RESPONSE_HEAD, "zz\r\n"].concat())]
#[case::too_deeply_nested([RESPONSE_HEAD, "100000\r\n", &"[".repeat(0x100000 - 1), "\n\r\n"].concat())]
fn a_failed_list_request_is_repeated(#[case] answer: String) {
    let (old, new, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let pooler = Pooler::start(PROGRAM, &list(41, true, &[old.list_entry("s-1", "here")]), &discovery, &[]);
    let mut client = client(&pooler);
    let mut idle_connection = serve_warm_up(&old, &mut client);
    let (mut watch, line) = discovery.accept_request();
    assert!(line.contains("follow=1&since=41 "), "{line}");
    watch.write_all(answer.as_bytes()).unwrap();
    let (mut watch, line) = discovery.accept_request();
    assert!(line.contains("follow=1&since=41 "), "{line}");
    // The member has another address, and each byte is a chunk of its own.
    let update = format!("\n{}\n", list(43, false, &[new.list_entry("s-1", "here")]));
    watch
        .write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks(update.as_bytes().chunks(1))].concat())
        .unwrap();
    idle_connection.expect_closed();
    serve_warm_up(&new, &mut client);
    // After the watch ends, the next one is opened from the last version received.
    watch.write_all(b"0\r\n\r\n").unwrap();
    assert!(discovery.accept_request().1.contains("follow=1&since=43 "));
}

#[test]
fn a_connection_closed_by_the_member_is_not_reused() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut client = client(&pooler);
    let mut wire = serve_warm_up(&member, &mut client);
    wire.0.shutdown(std::net::Shutdown::Write).unwrap();
    wire.expect_closed();
    client.send(&query(&request_sql("2", "reports")));
    let mut wire = member.accept();
    assert!(read_query(&mut wire).contains("id=2,"));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    assert!(pooler.counters().contains("sent=2 ok=2"));
}

#[test]
fn an_idle_connection_is_closed_before_the_member_s_keepalive_ends() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) =
        start_with_one_member(PROGRAM, &member, &[(r#""keepalive":15"#, r#""keepalive":0.5"#)]);
    serve_warm_up(&member, &mut client(&pooler)).expect_closed();
}

#[test]
fn at_the_connection_limit_idle_clients_are_closed_and_busy_ones_are_not() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[THREE_CLIENTS]);
    let mut clients: Vec<Wire> = (0..3).map(|_| client(&pooler)).collect();
    // Three clients fit, so none is closed before a fourth connects.
    assert!(pooler.counters().contains("clients=3"));
    clients.push(client(&pooler));
    // The first client has been idle for the longest time.
    clients.remove(0).expect_closed();
    let mut wires = Vec::new();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&query(&request_sql(&number.to_string(), "reports")));
        wires.push(member.accept());
        read_query(&mut wires[number]);
    }
    let mut late = Wire(std::net::TcpStream::connect(pooler.address).unwrap());
    late.send(&startup());
    pooler.wait_for_log("all busy: new connections wait");
    wires[1].send(&answer_with_role(VALUE, "reader"));
    assert_eq!(clients[1].answer()[0].0, b'T');
    // The late client is accepted once the idle one has been closed.
    late.answer();
    clients[1].expect_closed();
}

#[rstest]
#[case::no_bytes(vec![], None)]
#[case::half_a_startup(startup()[..7].to_vec(), Some("08P01"))]
#[case::startup_without_a_query(startup(), None)]
#[case::half_a_query([&startup(), &query(&request_sql("1", "reports"))[..40]].concat(), Some("08P01"))]
#[case::message_without_a_query([startup(), frame(b'H', b"")].concat(), None)]
fn a_client_that_sends_no_query_is_closed(#[case] sent: Vec<u8>, #[case] code: Option<&str>) {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let mut ordinary = client(&pooler);
    serve_warm_up(&member, &mut ordinary);
    let mut silent = Wire(std::net::TcpStream::connect(pooler.address).unwrap());
    silent.send(&sent);
    if sent.len() >= startup().len() {
        silent.answer();
    }
    if let Some(code) = code {
        assert_eq!(silent.error().0, code);
    }
    silent.expect_closed();
    // A client that has sent a query may be idle.
    serve_warm_up(&member, &mut ordinary);
    assert!(pooler.counters().contains(" overdue=1 "));
}

#[test]
fn an_idle_client_is_closed_once_descriptors_run_out() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[THREE_CLIENTS]);
    let (mut idle, mut busy) = (client(&pooler), client(&pooler));
    busy.send(&query(&request_sql("1", "reports")));
    let mut wire = member.accept();
    read_query(&mut wire);
    serve_warm_up(&member, &mut idle);
    idle.expect_closed();
    assert!(pooler.counters().contains(" overdue=0 rested=1 "));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(busy.answer()[0].0, b'T');
}

#[test]
fn a_client_that_floods_the_pooler_does_not_block_others() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let (mut ordinary, mut flood) = (client(&pooler), client(&pooler));
    let mut answers = flood.0.try_clone().unwrap();
    std::thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
    std::thread::spawn(move || while flood.0.write_all(&query("SELECT 1").repeat(1000)).is_ok() {});
    // Waits until the flood has reached the pooler.
    let malformed = |counters: String| -> u64 {
        counters.split("malformed=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap()
    };
    while malformed(pooler.counters()) < 1000 {}
    serve_warm_up(&member, &mut ordinary);
}

#[test]
fn statements_beyond_the_memory_limit_are_refused() {
    let member = ScriptedMember::listen();
    let (pooler, _discovery) =
        start_with_one_member(PROGRAM, &member, &[(r#""memory_mb":192"#, r#""memory_mb":1"#)]);
    let (mut clients, mut wires) = (Vec::new(), Vec::new());
    let sql = |n: usize| {
        format!("{} AND doc = '\\x{}'", request_sql(&n.to_string(), "reports"), "9f".repeat(64 * 1024))
    };
    // All statements share half a megabyte: two of the largest, with the buffers that forward them, use it
    // up.
    for n in 0..2 {
        clients.push(client(&pooler));
        clients[n].send(&query(&sql(n)));
        wires.push(member.accept());
        read_query(&mut wires[n]);
    }
    let mut third = client(&pooler);
    third.send(&query(&sql(2)));
    assert_eq!(third.error().0, "53300");
    wires[0].send(&answer_with_role(VALUE, "reader"));
    assert_eq!(clients[0].answer()[0].0, b'T');
    // No part of the refused statement was sent: the member's next query is another one.
    third.send(&query(&sql(3)));
    assert!(read_query(&mut wires[0]).contains("id=3,"));
}

#[test]
fn requests_that_arrive_in_time_after_sigterm_are_answered() {
    let member = ScriptedMember::listen();
    let (mut pooler, _discovery) = start_with_one_member(PROGRAM, &member, &[]);
    let (mut busy, mut idle) = (client(&pooler), client(&pooler));
    busy.send(&query(&request_sql("1", "reports")));
    let mut first = member.accept();
    read_query(&mut first);
    pooler.signal("TERM");
    pooler.wait_for_log("asked to end");
    idle.send(&query(&request_sql("2", "reports")));
    let mut new = client(&pooler);
    new.send(&query(&request_sql("3", "reports")));
    for _ in 0..2 {
        let mut wire = member.accept();
        read_query(&mut wire);
        wire.send(&answer_with_role(VALUE, "reader"));
    }
    assert_eq!((idle.answer()[0].0, new.answer()[0].0), (b'T', b'T'));
    // Idle connections are closed; the pending reply is still sent.
    idle.expect_closed();
    new.expect_closed();
    first.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(busy.answer()[0].0, b'T');
    busy.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    assert!(pooler.wait_for_log(" ends: ").contains("served=3"));
}

#[test]
fn a_reload_moves_the_watch_and_drops_no_request() {
    let (old, new, new_discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let (mut pooler, discovery) = start_with_one_member(PROGRAM, &old, &[]);
    let mut client = client(&pooler);
    let mut watch = discovery.accept_request().0;
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = old.accept();
    read_query(&mut wire);
    // An invalid file changes nothing, and the pooler keeps serving.
    pooler.reload("{\"name\"", "{name");
    pooler.wait_for_log("configuration kept as it was");
    pooler.reload("{name", "{\"name\"");
    pooler.wait_for_log("configuration read again");
    assert!(pooler.counters().contains(" reloads=1 reloads_failed=1"));
    pooler.reload(&discovery.address().to_string(), &new_discovery.address().to_string());
    // The new discovery has versions of its own. The old watch ends only now, not with the two reloads
    // before.
    let (mut new_watch, line) = new_discovery.accept_request();
    assert!(line.contains("follow=1&since=0 "), "{line}");
    assert_eq!(std::io::Read::read(&mut watch, &mut [0]).unwrap(), 0);
    let text = list(1, true, &[new.list_entry("s-1", "here")]) + "\n";
    new_watch.write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([text.as_bytes()])].concat()).unwrap();
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    wire.expect_closed();
    serve_warm_up(&new, &mut client);
    // A reload beside the shutdown does not disturb it.
    pooler.signal("TERM");
    pooler.signal("HUP");
    client.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}
