//! Tests over loopback of drains from discovery: they must arrive when the watch on the list is silent, cut
//! off or malformed, and requests in flight must not go to a draining member.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

const VALUE: &[u8] = b"\x9f\x00\x03";

#[test]
fn a_silent_watch_is_replaced_in_time_and_used_until_the_new_one_is_answered() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[]);
    let mut old_watch = discovery.accept_watch();
    let started = Instant::now();
    let (mut watch, line) = discovery.accept_request();
    assert!(line.contains("follow=1&since=41 "), "{line}");
    let elapsed = started.elapsed();
    assert!(elapsed > Duration::from_secs(2) && elapsed < Duration::from_secs(4), "{elapsed:?}");
    // The old watch is still open, and its updates are applied until the new list request is answered.
    write_chunk(&mut old_watch, &(list(42, false, &[near.draining_list_entry("s-1", "here")]) + "\n"));
    while !pooler.counters().contains(" lists=3") {}
    let mut client = client(&pooler);
    serve_read(&far, &mut client, "1");
    watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    write_chunk(&mut watch, &(list(43, false, &[far.draining_list_entry("s-2", "here")]) + "\n"));
    assert_eq!(old_watch.read(&mut [0]).unwrap(), 0, "the old watch is open after the new one was answered");
    client.send(&query(&request_sql("2", "reports")));
    assert_eq!(client.error().0, "53300");
}

/// Sends a list that cannot be used.
fn send_malformed_list(fault: u8, watch: &mut TcpStream, full_list: &str) {
    match fault {
        // The list is truncated and the response ends.
        0 => {
            write_chunk(watch, &full_list[..full_list.len() / 2]);
            let _ = watch.write_all(b"0\r\n\r\n");
        }
        // The document is no list.
        1 => write_chunk(watch, "{\"index\":50}\n"),
        2 => write_chunk(watch, "gone fishing\n"),
        // The document is too long.
        3 => {
            let part = "[".repeat(64 * 1024);
            (0..65).for_each(|_| write_chunk(watch, &part));
        }
        // The list has no members.
        4 => write_chunk(watch, &(list(50, true, &[]) + "\n")),
        // The list stops in the middle, and the connection stays open.
        _ => write_chunk(watch, &full_list[..full_list.len() / 2]),
    }
}

#[rstest]
#[case::truncated(0)]
#[case::not_a_list(1)]
#[case::not_json(2)]
#[case::too_long(3)]
#[case::without_members(4)]
#[case::stops_in_the_middle(5)]
fn an_unusable_list_changes_nothing_is_requested_again_and_is_logged_once(#[case] fault: u8) {
    let (member, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let pooler =
        Pooler::start(PROGRAM, &list(41, true, &[member.list_entry("s-1", "here")]), &discovery, &[]);
    let mut watches = Vec::new();
    for _ in 0..2 {
        let (mut watch, line) = discovery.accept_request();
        assert!(line.contains("since=41 "), "{line}");
        watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
        send_malformed_list(fault, &mut watch, &list(50, true, &[member.list_entry("s-9", "here")]));
        watches.push(watch);
    }
    let mut watch = discovery.accept_watch();
    serve_read(&member, &mut client(&pooler), "1");
    write_chunk(&mut watch, &(list(42, false, &[member.draining_list_entry("s-1", "here")]) + "\n"));
    while !pooler.counters().contains(" lists=3") {}
    pooler.signal("TERM");
    let mut logged = 0;
    loop {
        let line = pooler.wait_for_log("");
        logged += usize::from(line.contains("discovery: "));
        if line.contains(" ends: ") {
            break;
        }
    }
    assert!(logged <= 1, "{logged} log lines for one fault");
}

/// Reformats JSON with a line break after each element.
fn indented(text: &str) -> String {
    let mut out = String::new();
    let mut depth = 0;
    for part in text.chars() {
        match part {
            '{' | '[' => depth += 1,
            '}' | ']' => depth -= 1,
            _ => {}
        }
        let line = format!("\n{}", "  ".repeat(depth));
        match part {
            '{' | '[' | ',' => out += &format!("{part}{line}"),
            '}' | ']' => out += &format!("{line}{part}"),
            _ => out.push(part),
        }
    }
    out + "\n"
}

#[test]
fn an_indented_list_of_1024_members_is_read_completely() {
    let (member, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let pooler = Pooler::start(PROGRAM, &list(41, true, &[]), &discovery, &[]);
    let others = (1..1024).map(|n| {
        let line = list_entry(([127, 0, 0, 1], 1).into(), &format!("s-{n}"), "here", "SERVING");
        line.replace("\"group\":2", &format!("\"group\":{}", 1000 + n))
    });
    let mut lines: Vec<String> = others.chain([member.list_entry("s-1024", "here")]).collect();
    let mut watch = discovery.accept_request().0;
    watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    write_chunk(&mut watch, &indented(&list(42, true, &lines)));
    while !pooler.counters().contains(" lists=2") {}
    let mut client = client(&pooler);
    serve_read(&member, &mut client, "1");
    lines[1023] = member.draining_list_entry("s-1024", "here");
    write_chunk(&mut watch, &indented(&list(43, true, &lines)));
    while !pooler.counters().contains(" lists=3") {}
    client.send(&query(&request_sql("2", "reports")));
    assert_eq!(client.error().0, "53300");
}

#[test]
fn a_request_waiting_for_a_connection_to_a_draining_member_goes_to_another_member() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[]);
    let mut watch = discovery.accept_watch();
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    // The connection is open, and its startup takes until after the drain has arrived.
    let mut starting = near.accept_without_startup();
    write_chunk(&mut watch, &(list(42, false, &[near.draining_list_entry("s-1", "here")]) + "\n"));
    while !pooler.counters().contains(" lists=3") {}
    let _ = starting.0.write_all(&[frame(b'R', &[0; 4]), frame(b'Z', b"I")].concat());
    let mut wire = far.accept();
    assert!(read_query(&mut wire).contains("id=1,"));
    let mut written = Vec::new();
    // The end may come as a reset, since the member has written to a closed connection.
    let _ = starting.0.read_to_end(&mut written);
    assert!(
        !String::from_utf8_lossy(&written).contains("id=1"),
        "the request was written to the draining member"
    );
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
}
