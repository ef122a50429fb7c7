//! Stories over loopback from the incident of 2026-12-02 (docs/incidents): a request that has run is not refused, and nothing
//! goes to a machine whose drain has been told, however slow discovery is and however long the process was held up.

use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

const VALUE: &[u8] = b"\x9f\x00\x03";
/// The class `reports` must see every commit and may not run twice.
const FRESH_ONCE: [(&str, &str); 2] = [
    (
        r#""deadline":9,"effect":"read_like","value":1},
{"name":"order-write""#,
        r#""deadline":9,"effect":"non_idempotent","value":1},
{"name":"order-write""#,
    ),
    (r#"["bounded","session","any","write"]"#, r#"["bounded","session","fresh","write"]"#),
];
/// Far past the grace of a drain.
const HELD_UP: Duration = Duration::from_millis(700);
/// After this a change counts as told, heard or not.
const TOLD_AFTER: Duration = Duration::from_secs(6);

#[test]
fn a_read_that_has_run_and_may_not_run_twice_is_failed_where_its_answer_is_too_old() {
    let (db, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let known = list(41, true, &[db.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &FRESH_ONCE);
    let mut client = client(&pooler);
    let mut wire = establish_primary(&db, &mut client, VALUE);
    client.send(&query(&request_sql("1", "reports")));
    assert!(read_query(&mut wire).contains("id=1,"));
    // It was the primary when it was asked, and says now that it is none: its answer may lack a commit.
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.error().0, "58000", "another try would run it once more");
    let counters = pooler.counters();
    assert!(counters.contains(" refused=0 failed=1 ") && counters.contains(" sent=2 "), "{counters}");
}

/// What a machine may say that does not prove that nothing ran, though a code in it says so.
#[rstest]
#[case::behind_part_of_a_row([&row(VALUE)[..27], &refusal()].concat())]
#[case::behind_a_whole_row([row(VALUE), refusal()].concat())]
#[case::behind_another_error([error("XX000"), refusal()].concat())]
#[case::before_noise([error("53300"), b"\x9f\x03\x00\xfe\xc1".to_vec()].concat())]
fn a_code_that_says_that_nothing_ran_is_not_believed_where_the_answer_contradicts_it(
    #[case] answer: Vec<u8>,
) {
    let (db, discovery) = (ScriptedMember::listen(), Discovery::listen());
    let known = list(41, true, &[db.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &FRESH_ONCE);
    let mut client = client(&pooler);
    let mut wire = establish_primary(&db, &mut client, VALUE);
    client.send(&query(&request_sql("1", "reports")));
    read_query(&mut wire);
    wire.send(&answer);
    assert_eq!(client.error().0, "58000");
    assert!(pooler.counters().contains(" violations=0 "));
}

/// The message of an error.
fn error(code: &str) -> Vec<u8> {
    frame(b'E', format!("SERROR\0VERROR\0C{code}\0M\0\0").as_bytes())
}

#[test]
fn a_list_that_takes_longer_to_come_than_any_call_waited_is_heard() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[]);
    drop(discovery.accept_watch());
    // Every call is answered, and each after 3.5 s: a call that is given up before is never heard of.
    let drained = [near.draining_list_entry("s-1", "here"), far.list_entry("s-2", "there")];
    discovery.answer_sequentially(&list(42, true, &drained), Duration::from_millis(3_500));
    let from = Instant::now();
    while !pooler.counters().contains(" lists=3 ") {
        assert!(from.elapsed() < TOLD_AFTER, "{}", pooler.counters());
        std::thread::sleep(COUNTERS_INTERVAL);
    }
    serve_read(&far, &mut client(&pooler), "1");
}

/// The client's request 2 is answered by `far`; the connection to the machine that drains ends without having got it.
fn goes_elsewhere(far: &ScriptedMember, client: &mut Wire, drained: &mut Wire) {
    let mut wire = far.accept();
    assert!(read_query(&mut wire).contains("id=2,"), "it went to the machine that drains");
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    drained.expect_closed();
}

#[test]
fn what_was_told_while_the_process_was_held_up_is_taken_in_before_anything_is_sent() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[]);
    let mut watch = discovery.accept_watch();
    let mut client = client(&pooler);
    // A connection to the machine is open: a request would be written to it at once.
    let mut open = serve_read(&near, &mut client, "1");
    // The request is there first, so that its event is the first to be taken up.
    pooler.signal("STOP");
    client.send(&query(&request_sql("2", "reports")));
    std::thread::sleep(HELD_UP);
    write_chunk(&mut watch, &(list(42, false, &[near.draining_list_entry("s-1", "here")]) + "\n"));
    std::thread::sleep(HELD_UP);
    pooler.signal("CONT");
    goes_elsewhere(&far, &mut client, &mut open);
}

#[test]
fn the_list_is_read_and_answers_are_given_though_clients_have_used_up_the_memory() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let small = [(r#""memory_mb":192"#, r#""memory_mb":2"#)];
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &small);
    let watch = discovery.accept_watch();
    let mut asking = client(&pooler);
    asking.send(&query(&request_sql("1", "reports")));
    let mut wire = near.accept();
    read_query(&mut wire);
    // Half of the longest message that may come, of more clients than the memory has room for.
    let whole = query(&"x".repeat(150 * 1024));
    let mut holding: Vec<Wire> = (0..12).map(|_| client(&pooler)).collect();
    for wire in &mut holding {
        let _ = wire.try_send(&whole[..140 * 1024]);
    }
    // What is left is taken by many that have asked for little.
    let _many: Vec<Wire> = (0..200).map(|_| client(&pooler)).collect();
    // A new connection to discovery needs memory of its own.
    drop(watch);
    let mut watch = discovery.accept_watch();
    let drained = [near.draining_list_entry("s-1", "here"), far.list_entry("s-2", "there")];
    write_chunk(&mut watch, &(list(42, true, &drained) + "\n"));
    while !pooler.counters().contains(" lists=4 ") {}
    assert_eq!(pooler.counter("lists_failed"), 1, "the end of the first watch alone");
    wire.send(&answer_with_role(VALUE, "reader"));
    assert!(["T", "E"].contains(&&*char::from(asking.answer()[0].0).to_string()), "some answer is given");
    assert!(pooler.counters().contains(" violations=0 "));
}

/// What was written to a watch was told, also where a reset comes right behind it.
#[test]
fn what_came_before_a_reset_of_the_watch_is_taken_in() {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[]);
    let mut watch = discovery.accept_watch();
    let mut client = client(&pooler);
    let mut open = serve_read(&near, &mut client, "1");
    // Both have arrived before either is looked at, as far as a stopped program can tell.
    pooler.signal("STOP");
    write_chunk(&mut watch, &(list(42, false, &[near.draining_list_entry("s-1", "here")]) + "\n"));
    socket2::SockRef::from(&watch).set_linger(Some(Duration::ZERO)).unwrap();
    drop(watch);
    client.send(&query(&request_sql("2", "reports")));
    pooler.signal("CONT");
    goes_elsewhere(&far, &mut client, &mut open);
    // The version that came last is the one that is gone on from.
    assert!(discovery.accept_request().1.contains("since=42 "));
}
