//! Stories over loopback of drains that must be heard, whatever becomes of the watch on the list, and of requests that
//! are under way when one is.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

const VALUE: &[u8] = b"\x9f\x00\x03";

#[test]
fn a_watch_that_falls_silent_is_opened_anew_in_time_and_kept_until_that_is_answered() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[]);
    let mut silent = discovery.accept_watch();
    let from = Instant::now();
    let (mut watch, line) = discovery.accept_request();
    assert!(line.contains("follow=1&since=41 "), "{line}");
    let took = from.elapsed();
    assert!(took > Duration::from_secs(2) && took < Duration::from_secs(4), "{took:?}");
    // The old one is open still, and what it says counts while nobody has answered the new call.
    write_chunk(&mut silent, &(list(42, false, &[near.draining_list_entry("s-1", "here")]) + "\n"));
    while !pooler.counters().contains(" lists=3") {}
    let mut client = client(&pooler);
    serve_read(&far, &mut client, "1");
    watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    write_chunk(&mut watch, &(list(43, false, &[far.draining_list_entry("s-2", "here")]) + "\n"));
    assert_eq!(silent.read(&mut [0]).unwrap(), 0, "it ends once the new one has answered");
    client.send(&query(&request_sql("2", "reports")));
    assert_eq!(client.error().0, "53300");
}

/// What a list may be that is of no use.
fn spoil(bad: u8, watch: &mut TcpStream, whole: &str) {
    match bad {
        // It is cut off, and the answer ends, ...
        0 => {
            write_chunk(watch, &whole[..whole.len() / 2]);
            let _ = watch.write_all(b"0\r\n\r\n");
        }
        // ... it is no list, ...
        1 => write_chunk(watch, "{\"index\":50}\n"),
        2 => write_chunk(watch, "gone fishing\n"),
        // ... it has no end, ...
        3 => {
            let part = "[".repeat(64 * 1024);
            (0..65).for_each(|_| write_chunk(watch, &part));
        }
        // ... it names nobody, ...
        4 => write_chunk(watch, &(list(50, true, &[]) + "\n")),
        // ... or it stops in the middle, and the connection stays open.
        _ => write_chunk(watch, &whole[..whole.len() / 2]),
    }
}

#[rstest]
#[case::cut_off(0)]
#[case::no_list(1)]
#[case::no_json(2)]
#[case::over_long(3)]
#[case::of_nobody(4)]
#[case::stops_in_the_middle(5)]
fn a_list_of_no_use_takes_nothing_away_and_is_asked_for_again_and_logged_once(#[case] bad: u8) {
    let (db, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let pooler = Pooler::start(PROGRAM, &list(41, true, &[db.list_entry("s-1", "here")]), &discovery, &[]);
    let mut held = Vec::new();
    for _ in 0..2 {
        let (mut watch, line) = discovery.accept_request();
        assert!(line.contains("since=41 "), "{line}");
        watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
        spoil(bad, &mut watch, &list(50, true, &[db.list_entry("s-9", "here")]));
        held.push(watch);
    }
    let mut watch = discovery.accept_watch();
    serve_read(&db, &mut client(&pooler), "1");
    write_chunk(&mut watch, &(list(42, false, &[db.draining_list_entry("s-1", "here")]) + "\n"));
    while !pooler.counters().contains(" lists=3") {}
    pooler.signal("TERM");
    let mut said = 0;
    loop {
        let line = pooler.wait_for_log("");
        said += usize::from(line.contains("discovery: "));
        if line.contains(" ends: ") {
            break;
        }
    }
    assert!(said <= 1, "{said} lines for one fault");
}

/// JSON with a line for each of its parts.
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
fn a_list_of_1024_machines_that_comes_indented_is_read_whole() {
    let (db, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let pooler = Pooler::start(PROGRAM, &list(41, true, &[]), &discovery, &[]);
    let others = (1..1024).map(|n| {
        let line = list_entry(([127, 0, 0, 1], 1).into(), &format!("s-{n}"), "here", "SERVING");
        line.replace("\"group\":2", &format!("\"group\":{}", 1000 + n))
    });
    let mut lines: Vec<String> = others.chain([db.list_entry("s-1024", "here")]).collect();
    let mut watch = discovery.accept_request().0;
    watch.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    write_chunk(&mut watch, &indented(&list(42, true, &lines)));
    while !pooler.counters().contains(" lists=2") {}
    let mut client = client(&pooler);
    serve_read(&db, &mut client, "1");
    lines[1023] = db.draining_list_entry("s-1024", "here");
    write_chunk(&mut watch, &indented(&list(43, true, &lines)));
    while !pooler.counters().contains(" lists=3") {}
    client.send(&query(&request_sql("2", "reports")));
    assert_eq!(client.error().0, "53300");
}

#[test]
fn what_waits_for_a_connection_to_a_machine_that_drains_goes_elsewhere() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[]);
    let mut watch = discovery.accept_watch();
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    // The connection is there, and its startup goes on for longer than the drain takes to be heard.
    let mut slow = near.accept_without_startup();
    write_chunk(&mut watch, &(list(42, false, &[near.draining_list_entry("s-1", "here")]) + "\n"));
    while !pooler.counters().contains(" lists=3") {}
    let _ = slow.0.write_all(&[frame(b'R', &[0; 4]), frame(b'Z', b"I")].concat());
    let mut wire = far.accept();
    assert!(read_query(&mut wire).contains("id=1,"));
    let mut written = Vec::new();
    // Its end may come as a reset: the machine has written to a connection that was closed.
    let _ = slow.0.read_to_end(&mut written);
    assert!(!String::from_utf8_lossy(&written).contains("id=1"), "only its startup was written");
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
}
