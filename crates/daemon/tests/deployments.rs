//! Stories over loopback of what one deployment has and another has not: where the list comes from, what
//! machines tell, and whether a request may be out twice.

use std::io::Write;
use std::net::TcpStream;

use peers::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

const VALUE: &[u8] = b"\x9f\x00\x03";
/// The list comes unasked, from an agent.
const PUSHED: (&str, &str) = (r#""registryMode":"subscribe""#, r#""registryMode":"automatic""#);

/// Tells a watch that has just been opened, or one that is open, of a list.
fn tell(watch: &mut TcpStream, first: bool, news: &str) {
    let head = if first { RESPONSE_HEAD.as_bytes() } else { b"" };
    watch.write_all(&[head, &encode_chunks([news.as_bytes(), b"\n"])].concat()).unwrap();
}

#[rstest]
#[case::refuses(0)]
#[case::ends_the_watch(1)]
#[case::is_silent(2)]
fn an_agent_that_was_away_is_asked_again_by_itself_and_its_list_binds(#[case] away: u8) {
    let (drained, removed, new) =
        (ScriptedMember::listen(), ScriptedMember::listen(), ScriptedMember::listen());
    let agent = Discovery::listen();
    let known = list(41, true, &[drained.list_entry("s-1", "here"), removed.list_entry("s-2", "here")]);
    let pooler = Pooler::start(PROGRAM, &known, &agent, &[PUSHED]);
    let (mut watch, line) = agent.accept_request();
    assert!(line.contains("follow=1&since=41 "), "{line}");
    match away {
        0 => drop(watch),
        1 => watch.write_all([RESPONSE_HEAD, "0\r\n\r\n"].concat().as_bytes()).unwrap(),
        // It has been told of the call and says nothing: nobody could tell that from a cut.
        _ => {}
    }
    // Without any request, which would make the decisions look at the list.
    let (mut watch, line) = agent.accept_request();
    assert!(line.contains("follow=1&since=41 "), "{line}");
    let whole =
        [drained.list_entry("s-1", "here").replace("SERVING", "DRAINING"), new.list_entry("s-3", "here")];
    tell(&mut watch, true, &list(50, true, &whole));
    let mut client = client(&pooler);
    while !pooler.counters().contains(" lists=2") {}
    let mut wire = serve_read(&new, &mut client, "1");
    // Changes follow on the same watch.
    tell(&mut watch, false, &list(51, false, &[new.list_entry("s-3", "here").replace("SERVING", "DELETED")]));
    wire.expect_closed();
    client.send(&query(&request_sql("2", "reports")));
    assert_eq!(client.error().0, "53300");
    assert!(wire.message().is_none());
}

#[test]
fn another_agent_is_followed_while_lines_of_the_old_one_still_come() {
    let (old, new) = (ScriptedMember::listen(), ScriptedMember::listen());
    let (first, second) = (Discovery::listen(), Discovery::listen());
    let known = list(41, true, &[old.list_entry("s-1", "here")]);
    let pooler = Pooler::start(PROGRAM, &known, &first, &[PUSHED]);
    let mut watch = first.accept_request().0;
    // Half a line of the old agent's is there when the other takes its place.
    let late = list(99, true, &[old.list_entry("s-9", "here")]);
    watch.write_all(&[RESPONSE_HEAD.as_bytes(), &encode_chunks([&late.as_bytes()[..20]])].concat()).unwrap();
    pooler.reload(&first.address().to_string(), &second.address().to_string());
    let (mut news, line) = second.accept_request();
    assert!(line.contains("follow=1&since=0 "), "{line}");
    let _ = watch.write_all(&encode_chunks([&late.as_bytes()[20..], b"\n"]));
    tell(&mut news, true, &list(3, true, &[new.list_entry("s-2", "here")]));
    while !pooler.counters().contains(" lists=2") {}
    serve_read(&new, &mut client(&pooler), "1");
    // The version held is the new agent's.
    drop(news);
    assert!(second.accept_request().1.contains("follow=1&since=3 "));
}

#[test]
fn a_source_of_the_list_that_is_not_known_is_turned_away_with_what_would_be_accepted() {
    let path = std::env::temp_dir().join(format!("dewferry-source-{}.json", std::process::id()));
    let platform = platform_config(&list(0, true, &[]), &Discovery::listen());
    std::fs::write(&path, platform.replace(PUSHED.0, r#""registryMode":"gossip""#)).unwrap();
    let output = std::process::Command::new(PROGRAM).args(["check-config", "--config"]).arg(&path).output();
    let _ = std::fs::remove_file(&path);
    let output = output.unwrap();
    assert!(!output.status.success());
    let words = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    for part in ["registryMode", "gossip", "subscribe", "automatic", &*path.to_string_lossy()] {
        assert!(words.contains(part), "{part} is not in: {words}");
    }
}

/// Two copies of one request may be out; the second goes out 2.4 s after the first, at 0.6 of the aim.
const COPIES: [(&str, &str); 2] =
    [(r#""probes":false"#, r#""probes":false,"mayDuplicate":true"#), (r#""aim":8"#, r#""aim":4"#)];

/// A request with a copy out at each of two machines, neither of which has answered.
struct Twice {
    pooler: Pooler,
    client: Wire,
    near: ScriptedMember,
    _far: ScriptedMember,
    first: Wire,
    second: Wire,
    _discovery: Discovery,
}

fn twice() -> Twice {
    let (near, far, discovery) = (ScriptedMember::listen(), ScriptedMember::listen(), Discovery::listen());
    let known = list(41, true, &[near.list_entry("s-1", "here"), far.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &COPIES);
    let mut client = client(&pooler);
    client.send(&query(&request_sql("1", "reports")));
    let mut first = near.accept();
    read_query(&mut first);
    let mut second = far.accept();
    read_query(&mut second);
    Twice { pooler, client, near, _far: far, first, second, _discovery: discovery }
}

impl Twice {
    /// The client's answer is this value, once, and its connection goes on.
    fn answers(&mut self, value: &[u8]) {
        assert!(self.client.answer()[1].1.ends_with(value));
        self.client.send(&query(""));
        assert_eq!(self.client.answer(), [(b'I', vec![])]);
    }
}

#[test]
fn the_copy_that_loses_is_withdrawn_and_its_end_is_counted() {
    let mut both = twice();
    both.second.send(&answer_with_role(b"second", "reader"));
    both.answers(b"second");
    // The machine learns of it by the end of the connection; what it says after that reaches nobody.
    both.first.expect_closed();
    let counters = both.pooler.counters();
    assert!(counters.contains(" served=1 ") && counters.contains(" sent=2 ok=1 "), "{counters}");
    assert!(counters.contains(" cancelled=1 "), "{counters}");
    // Neither machine is taken for one that still holds something: the one at home gets the next.
    let Twice { mut client, near, .. } = both;
    serve_read(&near, &mut client, "2");
}

#[test]
fn two_copies_that_answer_at_once_make_one_answer() {
    let mut both = twice();
    // Both are there before either is read, as far as a stopped program can tell.
    both.pooler.signal("STOP");
    both.first.send(&answer_with_role(b"first", "reader"));
    both.second.send(&answer_with_role(b"second", "reader"));
    both.pooler.signal("CONT");
    let answer = both.client.answer();
    assert!(answer[1].1.ends_with(b"first") || answer[1].1.ends_with(b"second"));
    both.client.send(&query(""));
    assert_eq!(both.client.answer(), [(b'I', vec![])]);
    let counters = both.pooler.counters();
    assert!(counters.contains(" served=1 refused=0 failed=0 "), "{counters}");
}

#[rstest]
#[case::spoilt(true)]
#[case::dies(false)]
fn a_copy_that_comes_to_nothing_leaves_the_other_its_time(#[case] spoilt: bool) {
    let mut both = twice();
    if spoilt {
        both.first.send(b"\x9f\x03\x00\xfe\xc1");
        both.first.expect_closed();
    } else {
        let _ = both.first.0.shutdown(std::net::Shutdown::Both);
    }
    while !both.pooler.counters().contains(if spoilt { " error=1 " } else { " reset=1 " }) {}
    both.second.send(&answer_with_role(VALUE, "reader"));
    both.answers(VALUE);
    let counters = both.pooler.counters();
    assert!(
        counters.contains(" served=1 refused=0 failed=0 ") && counters.contains(" sent=2 "),
        "{counters}"
    );
}

#[test]
fn a_client_that_leaves_takes_both_copies_with_it() {
    let Twice { pooler, client, mut first, mut second, .. } = twice();
    drop(client);
    first.expect_closed();
    second.expect_closed();
    assert!(pooler.counters().contains(" cancelled=2 "));
}

/// A machine's answer with its role and the position that it stands at (Unix milliseconds).
fn at(value: &[u8], role: &str, position: u64) -> Vec<u8> {
    let told = |name: &str, value: &str| frame(b'S', format!("{name}\0{value}\0").as_bytes());
    let position = told("commit_clock", &position.to_string());
    [row(value), told("server_role", role), position, frame(b'Z', b"I")].concat()
}

/// A session read that must see this position.
fn after(id: &str, position: &str) -> Vec<u8> {
    query(&request_sql(id, "own-orders").replace("cluster=2", &format!("cluster=2,after={position}")))
}

#[rstest]
#[case::carried("carried")]
#[case::remembered("remembered")]
fn a_read_that_says_what_it_must_see_is_not_answered_from_behind_that(#[case] marks: &str) {
    let discovery = Discovery::listen();
    let stands = std::sync::Arc::new(std::sync::atomic::AtomicU64::new(0));
    let told = stands.clone();
    let replica = AnsweringMember::new(move |sql| match sql.contains("c=order-write") {
        true => [frame(b'E', b"SERROR\0C25006\0\0"), frame(b'Z', b"I")].concat(),
        false => at(b"replica", "reader", told.load(std::sync::atomic::Ordering::SeqCst)),
    });
    let primary = AnsweringMember::new(|_| answer_with_role(b"primary", "writer"));
    let known = list(41, true, &[replica.list_entry("s-1", "here"), primary.list_entry("s-2", "there")]);
    let marks = (r#""writeMarks":"remembered""#, &*format!(r#""writeMarks":"{marks}""#));
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[marks]);
    let mut client = client(&pooler);
    // A write of another session shows who the primary is, and a read where the replica stands.
    client.send(&query(&request_sql("w", "order-write").replace("7f3a", "other")));
    assert!(client.answer()[1].1.ends_with(b"primary"));
    // What was written before the pooler's start is behind it by now, to the millisecond.
    std::thread::sleep(std::time::Duration::from_millis(2));
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let position = now.as_millis() as u64;
    stands.store(position, std::sync::atomic::Ordering::SeqCst);
    client.send(&query(&request_sql("r", "reports")));
    assert!(client.answer()[1].1.ends_with(b"replica"));
    for (id, must_see, by) in [
        ("1", position, "replica"),
        ("2", position + 1, "primary"),
        // No clock is so far ahead: whoever says so is answered from the present all the same.
        ("3", position + 3_600_000, "primary"),
        ("4", 0, "replica"),
    ] {
        client.send(&after(id, &must_see.to_string()));
        let answer = client.answer();
        assert!(answer[1].1.ends_with(by.as_bytes()), "{id}: {answer:?}");
    }
    let asked = (replica.count(), primary.count());
    for wrong in ["-5", "soon", "1e3", "12.5", "99999999999999999999"] {
        client.send(&after("5", wrong));
        assert_eq!(client.error().0, "42601", "{wrong}");
    }
    assert_eq!((replica.count(), primary.count()), asked, "went nowhere");
}

/// What writes must never run twice.
const NEVER_TWICE: (&str, &str) =
    (r#""effect":"idempotency_key","group":"cell","dedupWindow":2"#, r#""effect":"non_idempotent""#);

/// A machine that has shown that it is the primary, whose connection from then is closed.
fn primary(db: &ScriptedMember, client: &mut Wire) {
    client.send(&query(&request_sql("0", "order-write")));
    let mut wire = db.accept();
    read_query(&mut wire);
    wire.send(&answer_with_role(VALUE, "writer"));
    assert_eq!(client.answer()[0].0, b'T');
    // The pooler has seen the end of the connection: what is asked next cannot be written to it.
    wire.0.shutdown(std::net::Shutdown::Write).unwrap();
    wire.expect_closed();
}

#[rstest]
#[case::before_its_first_byte(false)]
#[case::after_its_last_byte(true)]
fn a_write_that_must_never_run_twice_goes_on_only_where_it_cannot_have_run(#[case] written: bool) {
    let db = ScriptedMember::listen();
    let (discovery, known) = (Discovery::listen(), list(41, true, &[db.list_entry("s-1", "here")]));
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[NEVER_TWICE]);
    let mut client = client(&pooler);
    primary(&db, &mut client);
    client.send(&query(&request_sql("1", "order-write")));
    if !written {
        drop(db.accept_without_startup());
        let mut wire = db.accept();
        assert!(read_query(&mut wire).contains("id=1,"));
        wire.send(&answer_with_role(VALUE, "writer"));
        assert_eq!(client.answer()[0].0, b'T');
    } else {
        assert!(read_query(&mut db.accept()).contains("id=1,"));
        assert_eq!(client.error(), ("58000".to_string(), None));
        // What the machine gets next is another request.
        client.send(&query(&request_sql("2", "order-write")));
        assert!(read_query(&mut db.accept()).contains("id=2,"));
    }
}

#[test]
fn a_request_of_no_tenant_is_served_where_there_are_none_and_where_there_are() {
    for customers in [r#""customers":[{"name":"acme","quotaPerS":1000}],"#, ""] {
        let db = AnsweringMember::new(|_| answer_with_role(VALUE, "reader"));
        let (discovery, known) = (Discovery::listen(), list(41, true, &[db.list_entry("s-1", "here")]));
        let edit = (r#""customers":[{"name":"acme","quotaPerS":1000}],"#, customers);
        let pooler = Pooler::start(PROGRAM, &known, &discovery, &[edit]);
        let mut client = client(&pooler);
        client.send(&query(&request_sql("1", "reports").replace(",t=acme", "")));
        assert_eq!(client.answer()[0].0, b'T');
    }
}

#[test]
fn a_drain_told_while_a_read_waits_for_its_turn_is_kept() {
    let (drained, other) = (ScriptedMember::listen(), ScriptedMember::listen());
    let agent = Discovery::listen();
    let known = list(41, true, &[drained.list_entry("s-1", "here"), other.list_entry("s-2", "there")]);
    let pooler = Pooler::start(PROGRAM, &known, &agent, &[PUSHED]);
    let mut watch = agent.accept_request().0;
    let mut client = client(&pooler);
    // The connection to the choice is being made when the drain is told; what was sent there may end there, and
    // when it fails nothing goes there again.
    client.send(&query(&request_sql("1", "reports")));
    let connecting = drained.accept_without_startup();
    tell(
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
fn a_load_report_that_comes_with_an_answer_tells_where_a_replica_stands() {
    let db = ScriptedMember::listen();
    let (discovery, known) = (Discovery::listen(), list(41, true, &[db.list_entry("s-1", "here")]));
    let pooler = Pooler::start(PROGRAM, &known, &discovery, &[]);
    let mut client = client(&pooler);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs_f64();
    client.send(&query(&request_sql("1", "reports")));
    let mut wire = db.accept();
    read_query(&mut wire);
    let usage = |report: &str| {
        let told = frame(b'S', format!("usage\0{report}\0").as_bytes());
        [row(VALUE), told, frame(b'Z', b"I")].concat()
    };
    wire.send(&usage("x0=soon,x1=0"));
    client.answer();
    // Nobody is known to be fresh, or to be the primary: this one waits.
    let mut other = self::client(&pooler);
    other.send(&query(&request_sql("2", "browse")));
    client.send(&query(&request_sql("3", "reports")));
    assert!(read_query(&mut wire).contains("id=3,"));
    wire.send(&usage(&format!("x0={now:.3},x1=0")));
    client.answer();
    assert!(
        read_query(&mut wire).contains("id=2,"),
        "served once the report has told that the replica is fresh"
    );
    wire.send(&answer_with_role(VALUE, "reader"));
    assert_eq!(other.answer()[0].0, b'T');
    assert!(pooler.counters().contains(" unreadable=1 "));
}
