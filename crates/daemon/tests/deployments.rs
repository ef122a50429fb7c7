//! Tests over loopback of the differences between deployments: the source of the list, the information in the
//! members' answers, and whether hedged attempts are allowed.

use std::io::Write;
use std::net::TcpStream;

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

const VALUE: &[u8] = b"\x9f\x00\x03";
/// An agent pushes the list.
const PUSHED: (&str, &str) = (r#""registryMode":"subscribe""#, r#""registryMode":"automatic""#);

/// Sends a list on a watch; `first` adds the head of the response.
fn send_update(watch: &mut TcpStream, first: bool, update: &str) {
    let head = if first { RESPONSE_HEAD.as_bytes() } else { b"" };
    watch.write_all(&[head, &encode_chunks([update.as_bytes(), b"\n"])].concat()).unwrap();
}

#[rstest]
#[case::refuses(0)]
#[case::ends_the_watch(1)]
#[case::is_silent(2)]
fn an_agent_that_was_unavailable_is_asked_again_and_its_list_is_applied(#[case] failure: u8) {
    let (drained, removed, new) =
        (ScriptedMember::listen(), ScriptedMember::listen(), ScriptedMember::listen());
    let agent = Discovery::listen();
    let saved_list = list(41, true, &[drained.list_entry("s-1", "here"), removed.list_entry("s-2", "here")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &agent, &[PUSHED]);
    let (mut watch, line) = agent.accept_request();
    assert!(line.contains("follow=1&since=41 "), "{line}");
    match failure {
        0 => drop(watch),
        1 => watch.write_all([RESPONSE_HEAD, "0\r\n\r\n"].concat().as_bytes()).unwrap(),
        // The agent has received the list request and stays silent, as after a network failure.
        _ => {}
    }
    // No client request is needed for the next list request.
    let (mut watch, line) = agent.accept_request();
    assert!(line.contains("follow=1&since=41 "), "{line}");
    let full_list =
        [drained.list_entry("s-1", "here").replace("SERVING", "DRAINING"), new.list_entry("s-3", "here")];
    send_update(&mut watch, true, &list(50, true, &full_list));
    let mut client = client(&pooler);
    while !pooler.counters().contains(" lists=2") {}
    let mut wire = serve_read(&new, &mut client, "1");
    // Changes follow on the same watch.
    send_update(
        &mut watch,
        false,
        &list(51, false, &[new.list_entry("s-3", "here").replace("SERVING", "DELETED")]),
    );
    wire.expect_closed();
    client.send(&query(&request_sql("2", "reports")));
    assert_eq!(client.error().0, "53300");
    assert!(wire.message().is_none());
}

#[test]
fn a_new_agent_is_followed_and_late_lines_of_the_old_one_are_ignored() {
    let (old, new) = (ScriptedMember::listen(), ScriptedMember::listen());
    let (first, second) = (Discovery::listen(), Discovery::listen());
    let saved_list = list(41, true, &[old.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &first, &[PUSHED]);
    let mut watch = first.accept_request().0;
    // Half of a line from the old agent has arrived when the new agent replaces it.
    let late = list(99, true, &[old.list_entry("s-9", "here")]);
    watch.write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([&late.as_bytes()[..20]])].concat()).unwrap();
    pooler.reload(&first.address().to_string(), &second.address().to_string());
    let (mut new_watch, line) = second.accept_request();
    assert!(line.contains("follow=1&since=0 "), "{line}");
    let _ = watch.write_all(&encode_chunks([&late.as_bytes()[20..], b"\n"]));
    send_update(&mut new_watch, true, &list(3, true, &[new.list_entry("s-2", "here")]));
    while !pooler.counters().contains(" lists=2") {}
    serve_read(&new, &mut client(&pooler), "1");
    // The stored version is that of the new agent.
    drop(new_watch);
    assert!(second.accept_request().1.contains("follow=1&since=3 "));
}

#[test]
fn an_unknown_registry_mode_is_rejected_with_the_accepted_values() {
    let path = std::env::temp_dir().join(format!("dewferry-source-{}.json", std::process::id()));
    let platform = platform_config(&list(0, true, &[]), &Discovery::listen());
    std::fs::write(&path, platform.replace(PUSHED.0, r#""registryMode":"gossip""#)).unwrap();
    let output = std::process::Command::new(PROGRAM).args(["check-config", "--config"]).arg(&path).output();
    let _ = std::fs::remove_file(&path);
    let output = output.unwrap();
    assert!(!output.status.success());
    let output_text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    for part in ["registryMode", "gossip", "subscribe", "automatic", &*path.to_string_lossy()] {
        assert!(output_text.contains(part), "{part} is not in: {output_text}");
    }
}

/// Hedging is allowed; the hedged attempt is sent 2.4 s after the first, at 0.6 of the aim.
const HEDGING: [(&str, &str); 2] =
    [(r#""probes":false"#, r#""probes":false,"mayDuplicate":true"#), (r#""aim":8"#, r#""aim":4"#)];

/// A request with an attempt in flight at each of two members, neither of which has answered.
struct HedgedRequest {
    pooler: Pooler,
    client: Wire,
    near: ScriptedMember,
    _far: ScriptedMember,
    first: Wire,
    second: Wire,
    _discovery: Discovery,
}

fn start_hedged_request() -> HedgedRequest {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let saved_list = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &HEDGING);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut first = near.accept();
    read_query(&mut first);
    let mut second = far.accept();
    read_query(&mut second);
    HedgedRequest { pooler, client, near, _far: far, first, second, _discovery: discovery }
}

impl HedgedRequest {
    /// Checks that the client gets this value exactly once and that its connection is still usable.
    fn expect_single_answer(&mut self, value: &[u8]) {
        assert!(self.client.answer()[1].1.ends_with(value));
        self.client.send(&query(""));
        assert_eq!(self.client.answer(), [(b'I', vec![])]);
    }
}

#[test]
fn the_slower_of_two_hedged_attempts_is_cancelled_and_counted() {
    let mut hedged = start_hedged_request();
    hedged.second.send(&answer_with_role(b"second", "reader"));
    hedged.expect_single_answer(b"second");
    // The member's connection is closed; data that the member sends later is not forwarded.
    hedged.first.expect_closed();
    let counters = hedged.pooler.counters();
    assert!(counters.contains(" served=1 ") && counters.contains(" sent=2 ok=1 "), "{counters}");
    assert!(counters.contains(" cancelled=1 "), "{counters}");
    // Neither member counts as busy: the one in the pooler's zone gets the next request.
    let HedgedRequest { mut client, near, .. } = hedged;
    serve_read(&near, &mut client, "2");
}

#[test]
fn two_hedged_attempts_that_answer_at_once_give_one_answer() {
    let mut hedged = start_hedged_request();
    // Both answers arrive while the pooler is stopped, so that it finds both when it resumes.
    hedged.pooler.signal("STOP");
    hedged.first.send(&answer_with_role(b"first", "reader"));
    hedged.second.send(&answer_with_role(b"second", "reader"));
    hedged.pooler.signal("CONT");
    let answer = hedged.client.answer();
    assert!(answer[1].1.ends_with(b"first") || answer[1].1.ends_with(b"second"));
    hedged.client.send(&query(""));
    assert_eq!(hedged.client.answer(), [(b'I', vec![])]);
    let counters = hedged.pooler.counters();
    assert!(counters.contains(" served=1 refused=0 failed=0 "), "{counters}");
}

#[rstest]
#[case::malformed_answer(true)]
#[case::reset(false)]
fn a_failed_hedged_attempt_leaves_the_other_in_flight(#[case] malformed: bool) {
    let mut hedged = start_hedged_request();
    if malformed {
        hedged.first.send(b"\x9f\x03\x00\xfe\xc1");
        hedged.first.expect_closed();
    } else {
        let _ = hedged.first.0.shutdown(std::net::Shutdown::Both);
    }
    while !hedged.pooler.counters().contains(if malformed { " error=1 " } else { " reset=1 " }) {}
    hedged.second.send(&answer_with_role(VALUE, "reader"));
    hedged.expect_single_answer(VALUE);
    let counters = hedged.pooler.counters();
    assert!(
        counters.contains(" served=1 refused=0 failed=0 ") && counters.contains(" sent=2 "),
        "{counters}"
    );
}

#[test]
fn both_hedged_attempts_are_cancelled_when_the_client_disconnects() {
    let HedgedRequest { pooler, client, mut first, mut second, .. } = start_hedged_request();
    drop(client);
    first.expect_closed();
    second.expect_closed();
    assert!(pooler.counters().contains(" cancelled=2 "));
}

/// A member's answer with its role and its position (Unix milliseconds).
fn answer_with_position(value: &[u8], role: &str, position: u64) -> Vec<u8> {
    let parameter = |name: &str, value: &str| frame(b'S', format!("{name}\0{value}\0").as_bytes());
    let position = parameter("commit_clock", &position.to_string());
    [row(value), parameter("server_role", role), position, frame(b'Z', b"I")].concat()
}

/// A session read that requires this position.
fn read_requiring(id: &str, position: &str) -> Vec<u8> {
    query(&request_sql(id, "own-orders").replace("cluster=2", &format!("cluster=2,after={position}")))
}

#[rstest]
#[case::carried("carried")]
#[case::remembered("remembered")]
fn a_read_with_a_required_position_is_not_answered_by_a_replica_behind_it(#[case] marks: &str) {
    let discovery = Discovery::listen();
    let replica_position = std::sync::Arc::new(std::sync::atomic::AtomicU64::new(0));
    let shared_position = replica_position.clone();
    let replica = AnsweringMember::new(move |sql| match sql.contains("c=order-write") {
        true => [frame(b'E', b"SERROR\0C25006\0\0"), frame(b'Z', b"I")].concat(),
        false => answer_with_position(
            b"replica",
            "reader",
            shared_position.load(std::sync::atomic::Ordering::SeqCst),
        ),
    });
    let primary_member = AnsweringMember::new(|_| answer_with_role(b"primary", "writer"));
    let saved_list =
        list(41, true, &[replica.list_entry("s-1", "here"), primary_member.list_entry("s-2", "there")]);
    let marks = (r#""writeMarks":"remembered""#, &*format!(r#""writeMarks":"{marks}""#));
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[marks]);
    let mut client = client(&pooler);
    // A write of another session shows which member is the primary, and a read shows the position of the
    // replica.
    client.send(&query(&request_sql("w", "order-write").replace("7f3a", "other")));
    assert!(client.answer()[1].1.ends_with(b"primary"));
    // After this wait the clock is past every write from before the start of the pooler, to the millisecond.
    std::thread::sleep(std::time::Duration::from_millis(2));
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let position = now.as_millis() as u64;
    replica_position.store(position, std::sync::atomic::Ordering::SeqCst);
    client.send(&query(&request_sql("r", "reports")));
    assert!(client.answer()[1].1.ends_with(b"replica"));
    for (id, required, answered_by) in [
        ("1", position, "replica"),
        ("2", position + 1, "primary"),
        // A position an hour ahead cannot exist; such a read is answered by the primary.
        ("3", position + 3_600_000, "primary"),
        ("4", 0, "replica"),
    ] {
        client.send(&read_requiring(id, &required.to_string()));
        let answer = client.answer();
        assert!(answer[1].1.ends_with(answered_by.as_bytes()), "{id}: {answer:?}");
    }
    let counts_before = (replica.count(), primary_member.count());
    for malformed in ["-5", "soon", "1e3", "12.5", "99999999999999999999"] {
        client.send(&read_requiring("5", malformed));
        assert_eq!(client.error().0, "42601", "{malformed}");
    }
    assert_eq!((replica.count(), primary_member.count()), counts_before, "a malformed request was forwarded");
}

/// Writes of the class must never run twice.
const NON_IDEMPOTENT_WRITES: (&str, &str) =
    (r#""effect":"idempotency_key","group":"cell","dedupWindow":2"#, r#""effect":"non_idempotent""#);

/// Lets the member show that it is the primary, and closes the connection used for that.
fn establish_closed_primary(member: &ScriptedMember, client: &mut Wire) {
    client.send(&query(&request_sql("0", "order-write")));
    let mut wire = member.accept();
    read_query(&mut wire);
    wire.send(&answer_with_role(VALUE, "writer"));
    assert_eq!(client.answer()[0].0, b'T');
    // The pooler has seen the end of the connection, so the next request cannot be written to it.
    wire.0.shutdown(std::net::Shutdown::Write).unwrap();
    wire.expect_closed();
}

#[rstest]
#[case::before_its_first_byte(false)]
#[case::after_its_last_byte(true)]
fn a_non_idempotent_write_is_repeated_only_if_it_cannot_have_run(#[case] written: bool) {
    let member = ScriptedMember::listen();
    let (discovery, saved_list) = (Discovery::listen(), list(41, true, &[member.list_entry("s-1", "here")]));
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[NON_IDEMPOTENT_WRITES]);
    let mut client = client(&pooler);
    establish_closed_primary(&member, &mut client);
    client.send(&query(&request_sql("1", "order-write")));
    if !written {
        drop(member.accept_without_startup());
        let mut wire = member.accept();
        assert!(read_query(&mut wire).contains("id=1,"));
        wire.send(&answer_with_role(VALUE, "writer"));
        assert_eq!(client.answer()[0].0, b'T');
    } else {
        assert!(read_query(&mut member.accept()).contains("id=1,"));
        assert_eq!(client.error(), ("58000".to_string(), None));
        // The member's next query is another request.
        client.send(&query(&request_sql("2", "order-write")));
        assert!(read_query(&mut member.accept()).contains("id=2,"));
    }
}

#[test]
fn a_request_without_a_tenant_is_served_with_and_without_configured_tenants() {
    for customers in [r#""customers":[{"name":"acme","quotaPerS":1000}],"#, ""] {
        let member = AnsweringMember::new(|_| answer_with_role(VALUE, "reader"));
        let (discovery, saved_list) =
            (Discovery::listen(), list(41, true, &[member.list_entry("s-1", "here")]));
        let edit = (r#""customers":[{"name":"acme","quotaPerS":1000}],"#, customers);
        let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[edit]);
        let mut client = client(&pooler);
        client.send(&query(&request_sql("1", "reports").replace(",t=acme", "")));
        assert_eq!(client.answer()[0].0, b'T');
    }
}

#[test]
fn a_drain_that_arrives_while_a_read_waits_for_its_connection_is_kept() {
    let (drained, other) = (ScriptedMember::listen(), ScriptedMember::listen());
    let agent = Discovery::listen();
    let saved_list = list(41, true, &[drained.list_entry("s-1", "here"), other.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &saved_list, &agent, &[PUSHED]);
    let mut watch = agent.accept_request().0;
    let mut client = client(&pooler);
    // The connection to the chosen member is being opened when the drain arrives. The attempt may finish
    // there, but after it fails the member gets nothing more.
    client.send(&query(&request_sql("1", "reports")));
    let connecting = drained.accept_without_startup();
    send_update(
        &mut watch,
        true,
        &list(42, false, &[drained.list_entry("s-1", "here").replace("SERVING", "DRAINING")]),
    );
    while !pooler.counters().contains(" lists=2") {}
    drop(connecting);
    let mut wire = other.accept();
    assert!(read_query(&mut wire).contains("id=1,"));
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(client.answer()[0].0, b'T');
    client.send(&query(&request_sql("2", "reports")));
    assert!(read_query(&mut wire).contains("id=2,"));
}

#[test]
fn a_load_report_in_an_answer_shows_the_position_of_a_replica() {
    let member = ScriptedMember::listen();
    let (discovery, saved_list) = (Discovery::listen(), list(41, true, &[member.list_entry("s-1", "here")]));
    let pooler = Pooler::start(PROGRAM, &saved_list, &discovery, &[]);
    let mut client = client(&pooler);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs_f64();
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = member.accept();
    read_query(&mut wire);
    let usage = |report: &str| {
        let parameter = frame(b'S', format!("usage\0{report}\0").as_bytes());
        [row(VALUE), parameter, frame(b'Z', b"I")].concat()
    };
    wire.send(&usage("x0=soon,x1=0"));
    client.answer();
    // No member is known to be fresh or to be the primary, so this request waits.
    let mut other = self::client(&pooler);
    other.send(&query(&request_sql("2", "browse")));
    client.send(&query(&request_sql("3", "reports")));
    assert!(read_query(&mut wire).contains("id=3,"));
    wire.send(&usage(&format!("x0={now:.3},x1=0")));
    client.answer();
    assert!(
        read_query(&mut wire).contains("id=2,"),
        "not served after the report showed the replica as fresh"
    );
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(other.answer()[0].0, b'T');
    assert!(pooler.counters().contains(" unreadable=1 "));
}
