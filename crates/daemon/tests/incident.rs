//! Tests over loopback from the incident of 2026-12-02 (docs/incidents): a request that has run is not
//! refused, and no request goes to a member whose drain has been sent, however slow discovery is and however
//! long the process was paused.

use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

const VALUE: &[u8] = b"\x9f\x00\x03";
/// The class `reports` must read every commit and is not idempotent.
const FRESH_ONCE: [(&str, &str); 2] = [
    (
        r#""deadline":9,"effect":"read_like","value":1},
{"name":"order-write""#,
        r#""deadline":9,"effect":"non_idempotent","value":1},
{"name":"order-write""#,
    ),
    (r#"["bounded","session","any","write"]"#, r#"["bounded","session","fresh","write"]"#),
];
/// Much longer than the grace of a drain.
const PAUSE: Duration = Duration::from_millis(700);
/// A change must be in force after this time.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(6);

#[test]
fn a_non_idempotent_read_fails_if_its_answer_may_be_stale() {
    let (member, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let saved_list = list(41, true, &[member.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &FRESH_ONCE);
    let mut client = client(&pooler);
    let mut wire = establish_primary(&member, &mut client, VALUE);
    client.send(&query(&request_sql("1", "reports")));
    assert!(read_query(&mut wire).contains("id=1,"));
    // The member was the primary when the request was sent, and answers as a replica: its answer may lack a
    // commit.
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.error().0, "58000", "a refusal would let the client run the request again");
    let counters = pooler.counters();
    assert!(counters.contains(" refused=0 failed=1 ") && counters.contains(" sent=2 "), "{counters}");
}

/// Answers with an error code that says that nothing ran, where the rest of the answer contradicts the code.
#[rstest]
#[case::after_part_of_a_row([&row(VALUE)[..27], &refusal()].concat())]
#[case::after_a_complete_row([row(VALUE), refusal()].concat())]
#[case::after_another_error([error("XX000"), refusal()].concat())]
#[case::before_noise([error("53300"), b"\x9f\x03\x00\xfe\xc1".to_vec()].concat())]
fn an_error_code_for_not_run_is_ignored_if_the_answer_contradicts_it(#[case] answer: Vec<u8>) {
    let (member, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let saved_list = list(41, true, &[member.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &FRESH_ONCE);
    let mut client = client(&pooler);
    let mut wire = establish_primary(&member, &mut client, VALUE);
    client.send(&query(&request_sql("1", "reports")));
    read_query(&mut wire);
    wire.send(&answer);
    assert_eq!(client.error().0, "58000");
    assert!(pooler.counters().contains(" violations=0 "));
}

/// An ErrorResponse message with this code.
fn error(code: &str) -> Vec<u8> {
    frame(b'E', format!("SERROR\0VERROR\0C{code}\0M\0\0").as_bytes())
}

#[test]
fn a_list_that_takes_longer_than_the_earlier_request_timeout_is_applied() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[]);
    drop(discovery.accept_watch());
    // Every list request is answered after 3.5 s; one that times out earlier would never be answered.
    let drained = [near.draining_list_entry("s-1", "here"), far.list_entry("s-2", "there")];
    discovery.answer_sequentially(&list(42, true, &drained), Duration::from_millis(3_500));
    let started = Instant::now();
    while !pooler.counters().contains(" lists=3 ") {
        assert!(started.elapsed() < UPDATE_TIMEOUT, "{}", pooler.counters());
        std::thread::sleep(COUNTERS_INTERVAL);
    }
    serve_read(&far, &mut client(&pooler), "1");
}

/// Checks that `far` answers the client's request 2, and that the connection to the draining member ends
/// without it.
fn expect_served_by_other_member(far: &ScriptedMember, client: &mut Wire, drained: &mut Wire) {
    let mut wire = far.accept();
    assert!(read_query(&mut wire).contains("id=2,"), "the request went to the draining member");
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    drained.expect_closed();
}

#[test]
fn updates_received_during_a_pause_are_applied_before_any_request_is_sent() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[]);
    let mut watch = discovery.accept_watch();
    let mut client = client(&pooler);
    // A connection to the member is open, so a request would be written to it at once.
    let mut near_connection = serve_read(&near, &mut client, "1");
    // The request arrives first, so that its event is handled first.
    pooler.signal("STOP");
    client.send(&query(&request_sql("2", "reports")));
    std::thread::sleep(PAUSE);
    write_chunk(&mut watch, &(list(42, false, &[near.draining_list_entry("s-1", "here")]) + "\n"));
    std::thread::sleep(PAUSE);
    pooler.signal("CONT");
    expect_served_by_other_member(&far, &mut client, &mut near_connection);
}

#[test]
fn the_list_and_answers_are_handled_when_clients_have_used_up_the_memory() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let low_memory_limit = [(r#""memory_mb":192"#, r#""memory_mb":2"#)];
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &low_memory_limit);
    let watch = discovery.accept_watch();
    let mut first_client = client(&pooler);
    first_client.send(&query(&request_sql("1", "reports")));
    let mut wire = near.accept();
    read_query(&mut wire);
    // Nearly all of a 150 KiB message, from more clients than fit into the memory limit.
    let message = query(&"x".repeat(150 * 1024));
    let mut large_clients: Vec<Wire> = (0..12).map(|_| client(&pooler)).collect();
    for wire in &mut large_clients {
        let _ = wire.try_send(&message[..140 * 1024]);
    }
    // Many small clients use the remaining memory.
    let _small_clients: Vec<Wire> = (0..200).map(|_| client(&pooler)).collect();
    // A new connection to discovery needs memory of its own.
    drop(watch);
    let mut watch = discovery.accept_watch();
    let drained = [near.draining_list_entry("s-1", "here"), far.list_entry("s-2", "there")];
    write_chunk(&mut watch, &(list(42, true, &drained) + "\n"));
    while !pooler.counters().contains(" lists=4 ") {}
    assert_eq!(pooler.counter("lists_failed"), 1, "only the end of the first watch counts as a failed list");
    wire.send(&answer_with_role(VALUE, "reader"));
    assert!(
        ["T", "E"].contains(&&*char::from(first_client.answer()[0].0).to_string()),
        "the first client got no answer"
    );
    assert!(pooler.counters().contains(" violations=0 "));
}

/// An update written to a watch counts as delivered, even if a reset follows at once.
#[test]
fn an_update_received_before_a_reset_of_the_watch_is_applied() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[]);
    let mut watch = discovery.accept_watch();
    let mut client = client(&pooler);
    let mut near_connection = serve_read(&near, &mut client, "1");
    // The update and the reset arrive while the pooler is stopped, so that it finds both when it resumes.
    pooler.signal("STOP");
    write_chunk(&mut watch, &(list(42, false, &[near.draining_list_entry("s-1", "here")]) + "\n"));
    socket2::SockRef::from(&watch).set_linger(Some(Duration::ZERO)).unwrap();
    drop(watch);
    client.send(&query(&request_sql("2", "reports")));
    pooler.signal("CONT");
    expect_served_by_other_member(&far, &mut client, &mut near_connection);
    // The next watch starts from the last version received.
    assert!(discovery.accept_request().1.contains("since=42 "));
}
