//! Clients that send small, unsound or unfinished messages at full speed: the other clients of the same pooler
//! get their answers in time, memory stays under its limit, and the pooler ends in its usual time.

mod pool_fixture;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flood::{Flood, Form, Probes, Summary, Target};
use openssl::ssl::{SslConnector, SslMethod, SslVerifyMode};
use peers::*;
use pool_fixture::{Fixture, PROGRAM};
use rstest::rstest;

/// One flood at a time: floods side by side would measure how the machine shares its cores.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Clients that are measured.
const PROBES: usize = 6;
/// How long a probe's request may take (milliseconds).
const PROBE_TIMEOUT_MS: u64 = 250;
/// An answer counts as lost from this time after the request's timeout on (seconds).
const LOST_AFTER: f64 = 0.5;
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// How long a flood lasts before the pooler is asked to end, and how long it goes on then.
const FLOOD_TIME_BEFORE_SIGTERM: Duration = Duration::from_secs(1);
/// The pooler goes on for 0.75 s after SIGTERM; the last request may take its time, and its client has a second to
/// read the end.
const END_LIMIT: Duration = Duration::from_millis(2_500);
/// Timers that may be pending at once: the policy's limit with all connections at their bound of requests.
const MAX_TIMERS: u64 = 8_000;
/// How long new requests may still go to a member that is told to drain.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Requests that a member that has just started may get from one client in a second.
const MAX_COLD_REQUESTS: usize = 100;
/// How long a slow member takes for a request.
const MEMBER_WORK_TIME: Duration = Duration::from_millis(2);
/// The limit in the configuration of the tests (megabytes).
const MEMORY_LIMIT_MB: f64 = 192.0;

fn exclusive() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn target() -> Target {
    Target { class: "reports".into(), group: 2, id_prefix: "x".into() }
}

/// Starts a pooler for the platform's clients with three members that answer at once.
fn start_platform() -> (Pooler, Discovery) {
    start_platform_with(&[])
}

/// Like `start_platform`, on a configuration in which each text of `edits` is replaced.
fn start_platform_with(edits: &[(&str, &str)]) -> (Pooler, Discovery) {
    let discovery = Discovery::listen();
    let members: Vec<AnsweringMember> =
        (0..3).map(|_| AnsweringMember::new(|_| answer_with_role(b"\x9f\x00\x03", "reader"))).collect();
    let entry = |(n, member): (usize, &AnsweringMember)| member.list_entry(&format!("s-{n}"), "here");
    let entries: Vec<String> = members.iter().enumerate().map(entry).collect();
    (Pooler::start(PROGRAM, &list(41, true, &entries), &discovery, edits), discovery)
}

fn platform_probes(pooler: &Pooler) -> Probes {
    Probes::start(pooler.address, PROBES, |n| {
        flood::query(&format!(
            "/* id=a{n:x},c=reports,t=acme,d={PROBE_TIMEOUT_MS},cluster=2 */ SELECT doc FROM items WHERE id = 'p'"
        ))
    })
}

/// Returns the resident memory of a pooler (megabytes).
fn resident_mb(pooler: &Pooler) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", pooler.pid())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<f64>().unwrap() / 1024.0
}

/// Runs a flood beside the probes. Returns what the probes saw, and the largest resident memory (megabytes).
fn play(pooler: &Pooler, probes: Probes, flood: Flood, time: Duration) -> (Summary, f64) {
    let started_at = Instant::now();
    let mut most_mb: f64 = 0.0;
    while started_at.elapsed() < time {
        most_mb = most_mb.max(resident_mb(pooler));
        std::thread::sleep(Duration::from_millis(20));
    }
    let summary = probes.stop();
    flood.stop();
    (summary, most_mb)
}

fn assert_shielded(form: Form, (summary, most_mb): &(Summary, f64)) {
    let Summary { served, errors, closed, unanswered, .. } = summary;
    let limit = PROBE_TIMEOUT_MS as f64 / 1000.0 + LOST_AFTER;
    let seen = format!(
        "{form:?}: worst {:.3} s, median {:.4} s; {served} served, {errors} errors, {closed} closed, \
         {unanswered} unanswered; {most_mb:.0} MB",
        summary.worst(),
        summary.median()
    );
    println!("{seen}");
    assert!(summary.worst() <= limit, "answers after {limit} s or never: {seen}");
    assert_eq!(*closed, 0, "requests met connections that were closed: {seen}");
    assert!(*most_mb <= MEMORY_LIMIT_MB, "over {MEMORY_LIMIT_MB} MB: {seen}");
}

/// Guards issue 55, picture (a): while clients flooded, the others on the platform's front were answered late
/// or never.
#[rstest]
#[case::empty_queries(Form::EmptyQueries, 8, true)]
#[case::empty_queries_of_one_client(Form::EmptyQueries, 1, true)]
#[case::empty_queries_unread(Form::EmptyQueries, 6, false)]
#[case::new_classes(Form::NewClasses, 8, true)]
#[case::new_classes_of_one_client(Form::NewClasses, 1, true)]
#[case::new_tenants(Form::NewTenants, 8, true)]
#[case::unsupported(Form::Unsupported, 6, true)]
#[case::malformed(Form::Malformed, 6, true)]
#[case::new_users(Form::NewUsers, 6, true)]
#[case::cancels(Form::Cancels, 6, true)]
#[case::many_fields(Form::ManyFields, 6, true)]
#[case::mixture(Form::Mixture, 8, true)]
fn a_flood_on_the_platforms_front_delays_no_other_client(
    #[case] form: Form,
    #[case] clients: usize,
    #[case] reads: bool,
) {
    let _exclusive = exclusive();
    let (pooler, _discovery) = start_platform();
    let probes = platform_probes(&pooler);
    std::thread::sleep(Duration::from_millis(300));
    let flood = Flood::start(pooler.address, form, clients, reads, &target());
    assert_shielded(form, &play(&pooler, probes, flood, FLOOD_TIME));
    let timers = pooler.counter("timers_most");
    assert!(timers <= MAX_TIMERS, "{timers} timers were pending at once");
}

/// Guards issue 55: a process that was asked to end did so only when the flood ended.
#[rstest]
#[case::empty_queries(Form::EmptyQueries)]
#[case::new_classes(Form::NewClasses)]
#[case::new_tenants(Form::NewTenants)]
#[case::unsupported(Form::Unsupported)]
#[case::mixture(Form::Mixture)]
fn sigterm_ends_the_pooler_in_its_usual_time_amid_a_flood(#[case] form: Form) {
    let _exclusive = exclusive();
    let (mut pooler, _discovery) = start_platform();
    let flood = Flood::start(pooler.address, form, 4, true, &target());
    std::thread::sleep(FLOOD_TIME_BEFORE_SIGTERM);
    let started_at = Instant::now();
    pooler.signal("TERM");
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    let took = started_at.elapsed();
    flood.stop();
    println!("{form:?}: ended after {took:?}");
    assert!(took <= END_LIMIT, "{form:?}: ended after {took:?}");
}

/// Guards issue 55: sound requests that some clients sent ahead at full speed filled the members' queues, and others
/// were refused or answered late.
#[test]
fn a_flood_of_sound_requests_leaves_other_clients_their_share_of_slow_members() {
    let _exclusive = exclusive();
    let discovery = Discovery::listen();
    let member = |n: usize| {
        // One request at a time, so that a queue is felt by all.
        let turn = Mutex::new(());
        let member = AnsweringMember::new(move |_| {
            let _turn = turn.lock();
            std::thread::sleep(MEMBER_WORK_TIME);
            answer_with_role(b"\x9f\x00\x03", "reader")
        });
        member.list_entry(&format!("s-{n}"), "here")
    };
    let entries: Vec<String> = (0..3).map(member).collect();
    let pooler = Pooler::start(PROGRAM, &list(41, true, &entries), &discovery, &[]);
    let probes = platform_probes(&pooler);
    std::thread::sleep(Duration::from_millis(300));
    let flood = Flood::start(pooler.address, Form::NewTenants, 8, true, &target());
    let played = play(&pooler, probes, flood, FLOOD_TIME);
    assert_shielded(Form::NewTenants, &played);
    let (Summary { served, errors, .. }, _) = played;
    assert!(served > 19 * errors, "{served} served, {errors} refused or failed");
}

/// Guards issue 55: a client that sent sound requests at full speed overloaded a member that had just started.
#[rstest]
#[case::answers_read(true)]
#[case::answers_unread(false)]
fn a_flood_of_sound_requests_does_not_overload_a_cold_member(#[case] reads: bool) {
    let _exclusive = exclusive();
    let discovery = Discovery::listen();
    let members = [(); 3].map(|()| AnsweringMember::new(|_| answer_with_role(b"\x9f\x00\x03", "reader")));
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let entry = |n: usize| members[n].list_entry(&format!("s-{n}"), "here");
    let cold = entry(2).replace("\"since_ms\":0", &format!("\"since_ms\":{now_ms}"));
    let edits = [(r#""warmUp":1"#, r#""warmUp":60"#)];
    let pooler = Pooler::start(PROGRAM, &list(41, true, &[entry(0), entry(1), cold]), &discovery, &edits);
    let flood = Flood::start(pooler.address, Form::NewTenants, 1, reads, &target());
    std::thread::sleep(Duration::from_secs(1));
    let (cold_count, warm_count) = (members[2].count(), members[0].count() + members[1].count());
    flood.stop();
    println!("{cold_count} to the cold member beside {warm_count}");
    assert!(cold_count <= MAX_COLD_REQUESTS, "{cold_count} in a second, {warm_count} to the others");
}

/// Guards issue 55, picture (b): with hundreds of clients that stop half way through a large request, no memory and
/// no connection was left for the others.
#[rstest]
#[case::much_memory("192")]
#[case::little_memory("24")]
fn a_crowd_of_unfinished_queries_takes_nothing_from_other_clients(#[case] memory_mb: &str) {
    let _exclusive = exclusive();
    let limit = format!(r#""memory_mb":{memory_mb}"#);
    let (pooler, _discovery) = start_platform_with(&[(r#""memory_mb":192"#, &limit)]);
    let probes = platform_probes(&pooler);
    std::thread::sleep(Duration::from_millis(300));
    let flood = Flood::start(pooler.address, Form::HalfQueries, 2, true, &target());
    let (summary, most_mb) = play(&pooler, probes, flood, FLOOD_TIME);
    assert!(most_mb <= memory_mb.parse().unwrap(), "{most_mb:.0} MB");
    assert_eq!(summary.errors, 0, "refused or failed, of {} requests", summary.latencies.len());
    assert_shielded(Form::HalfQueries, &(summary, most_mb));
    println!("{}", pooler.counters());
}

/// Guards issue 55: a list or a reload that came while clients flooded was acted on late.
#[rstest]
#[case::new_classes(Form::NewClasses)]
#[case::new_tenants(Form::NewTenants)]
#[case::empty_queries_unread(Form::EmptyQueries)]
fn a_drain_and_a_reload_are_acted_on_in_time_amid_a_flood(#[case] form: Form) {
    let _exclusive = exclusive();
    let discovery = Discovery::listen();
    let members = [(); 2].map(|()| AnsweringMember::new(|_| answer_with_role(b"\x9f\x00\x03", "reader")));
    let entry = |n: usize| members[n].list_entry(&format!("s-{n}"), "here");
    let pooler = Pooler::start(PROGRAM, &list(41, true, &[entry(0), entry(1)]), &discovery, &[]);
    let mut watch = discovery.accept_watch();
    let probes = platform_probes(&pooler);
    let reads = form != Form::EmptyQueries;
    let flood = Flood::start(pooler.address, form, 6, reads, &target());
    std::thread::sleep(FLOOD_TIME_BEFORE_SIGTERM);
    assert!(members[0].count() > 0);
    let draining = entry(0).replace("SERVING", "DRAINING");
    write_chunk(&mut watch, &(list(42, false, &[draining]) + "\n"));
    std::thread::sleep(DRAIN_GRACE);
    let count = members[0].count();
    let reloaded_at = Instant::now();
    pooler.reload("\"seed\":\"8c1f", "\"seed\":\"8c1e");
    while pooler.counter("reloads") == 0 {
        assert!(reloaded_at.elapsed() < Duration::from_secs(1), "not reloaded");
    }
    std::thread::sleep(FLOOD_TIME_BEFORE_SIGTERM);
    assert_eq!(members[0].count(), count, "a draining member got new requests");
    let summary = probes.stop();
    flood.stop();
    assert_shielded(form, &(summary, resident_mb(&pooler)));
}

fn start_sessions(name: &str) -> Fixture {
    Fixture::with_known_primary(name, "mode = \"transaction\"\n")
}

fn session_probes(fixture: &Fixture) -> Probes {
    Probes::start(fixture.address, PROBES, |_| flood::query("SELECT who"))
}

/// Guards issue 55, picture (a), for ordinary clients: others waited, and memory passed its limit.
#[rstest]
#[case::empty_queries(Form::EmptyQueries)]
#[case::reads(Form::Reads)]
#[case::one_setting(Form::SetOne)]
#[case::new_settings(Form::SetNew)]
#[case::new_statements(Form::NewStatements)]
#[case::endless_batch(Form::EndlessBatch)]
#[case::new_users(Form::NewUsers)]
#[case::cancels(Form::Cancels)]
fn a_flood_of_ordinary_clients_delays_no_other_client(#[case] form: Form) {
    let _exclusive = exclusive();
    let fixture = start_sessions("flood");
    let probes = session_probes(&fixture);
    std::thread::sleep(Duration::from_millis(300));
    let flood = Flood::start(fixture.address, form, 4, true, &target());
    assert_shielded(form, &play(&fixture.pooler, probes, flood, FLOOD_TIME));
    println!("{}", fixture.pooler.counters());
}

/// Guards issue 55: the sessions of clients that sent statements ahead counted as single requests that had taken as long
/// as the flood, so that the servers seemed slow and other clients were refused.
#[test]
fn a_flood_of_ordinary_clients_leaves_no_refusals_behind() {
    let _exclusive = exclusive();
    // Every session needs the only server, as a write.
    let (server, discovery) = (Postgres::new("s-0", false), Discovery::listen());
    let settings = "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\ngroup = 2\n";
    let operator = OperatorFolder::new("flood-after", settings);
    let list = list(41, true, &[server.list_entry("SERVING")]);
    let pooler = Pooler::start_with_operator(PROGRAM, &list, &discovery, &operator);
    let line = pooler.wait_for_log("ordinary clients connect to ");
    let address = line.split("connect to ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    let (mut served, mut errors) = (0, 0);
    for (form, time) in [(Form::Reads, 2 * FLOOD_TIME), (Form::SetOne, FLOOD_TIME)] {
        let probes = Probes::start(address, PROBES, |_| flood::query("SELECT who"));
        let flood = Flood::start(address, form, 8, true, &target());
        let played = play(&pooler, probes, flood, time);
        assert_shielded(form, &played);
        served += played.0.served;
        errors += played.0.errors;
    }
    assert_eq!(errors, 0, "refused or failed, beside {served} served");
}

/// Guards issue 55 in the other modes.
#[rstest]
#[case::session("session", Form::Reads)]
#[case::session_settings("session", Form::SetNew)]
#[case::session_statements("session", Form::NewStatements)]
#[case::statement("statement", Form::Reads)]
#[case::statement_empty("statement", Form::EmptyQueries)]
fn a_flood_delays_no_other_client_in_any_mode(#[case] mode: &str, #[case] form: Form) {
    let _exclusive = exclusive();
    let fixture =
        Fixture::new("flood-mode", &format!("mode = \"{mode}\"\nservers = 40\nservers_each = 20\n"));
    let probes = session_probes(&fixture);
    std::thread::sleep(Duration::from_millis(300));
    let flood = Flood::start(fixture.address, form, 4, true, &target());
    assert_shielded(form, &play(&fixture.pooler, probes, flood, FLOOD_TIME));
}

/// Sends calls on a control connection without a pause, and reads the answers, until it is told to stop.
fn flood_control(path: &Path, stopping: &AtomicBool) {
    let calls = "{\"v\":1,\"do\":\"status\"}\n".repeat(1_000);
    let mut stream = UnixStream::connect(path).unwrap();
    stream.set_nonblocking(true).unwrap();
    let (mut written, mut chunk) = (0, [0; 64 * 1024]);
    while !stopping.load(Ordering::Relaxed) {
        written = (written + stream.write(&calls.as_bytes()[written..]).unwrap_or_default()) % calls.len();
        let _ = stream.read(&mut chunk);
    }
}

/// Guards issue 55 for the control socket: each answer led straight to the next call, so that a client that sent
/// calls without a pause held up all others.
#[test]
fn a_flood_of_control_calls_delays_no_client() {
    let _exclusive = exclusive();
    let fixture = start_sessions("flood-control");
    let stopping = Arc::new(AtomicBool::new(false));
    let (path, stopped) = (fixture.operator.0.join("control"), stopping.clone());
    let flooding = std::thread::spawn(move || flood_control(&path, &stopped));
    let probes = session_probes(&fixture);
    std::thread::sleep(FLOOD_TIME);
    let played = (probes.stop(), resident_mb(&fixture.pooler));
    stopping.store(true, Ordering::Relaxed);
    flooding.join().unwrap();
    assert_shielded(Form::Mixture, &played);
    let timers = fixture.pooler.counter("timers_most");
    assert!(timers <= MAX_TIMERS, "{timers} timers were pending at once");
}

/// Opens a connection over TLS that does not block, before the startup message.
fn connect_over_tls(address: SocketAddr) -> std::io::Result<Box<dyn flood::Stream>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.write_all(&[8, 80_877_103].map(u32::to_be_bytes).concat())?;
    stream.read_exact(&mut [0])?;
    let mut builder = SslConnector::builder(SslMethod::tls())?;
    builder.set_verify(SslVerifyMode::NONE);
    let stream = builder.build().connect("127.0.0.1", stream).map_err(std::io::Error::other)?;
    stream.get_ref().set_nonblocking(true)?;
    Ok(Box::new(stream))
}

/// Guards issue 55 over TLS.
#[rstest]
#[case::empty_queries(Form::EmptyQueries, true)]
#[case::reads(Form::Reads, true)]
#[case::reads_unread(Form::Reads, false)]
#[case::new_statements(Form::NewStatements, true)]
#[case::new_connections(Form::NewUsers, true)]
fn a_flood_over_tls_delays_no_other_client(#[case] form: Form, #[case] reads: bool) {
    let _exclusive = exclusive();
    let authority = CertificateAuthority::default();
    let folder = OperatorFolder::new("flood-tls-files", "");
    let (cert, key) = authority.issue("127.0.0.1", 2040);
    let (cert, key) =
        (write_private_file(&folder.0, "cert.pem", &cert), write_private_file(&folder.0, "key.pem", &key));
    let fixture = Fixture::with_known_primary("flood-tls", &format!("tls_cert = {cert}\ntls_key = {key}\n"));
    let probes = session_probes(&fixture);
    std::thread::sleep(Duration::from_millis(300));
    let address = fixture.address;
    let connect: flood::Connect = Arc::new(move || connect_over_tls(address));
    let flood = Flood::start_over(connect, form, 4, reads, &target());
    assert_shielded(form, &play(&fixture.pooler, probes, flood, FLOOD_TIME));
}

/// Guards issue 55: a process with flooding ordinary clients did not end when it was asked to.
#[rstest]
#[case::empty_queries(Form::EmptyQueries, true)]
#[case::reads(Form::Reads, true)]
#[case::reads_unread(Form::Reads, false)]
#[case::one_setting(Form::SetOne, true)]
#[case::new_statements(Form::NewStatements, true)]
#[case::endless_batch(Form::EndlessBatch, true)]
fn sigterm_ends_the_pooler_in_its_usual_time_amid_a_flood_of_ordinary_clients(
    #[case] form: Form,
    #[case] reads: bool,
) {
    let _exclusive = exclusive();
    let mut fixture = start_sessions("flood-end");
    let flood = Flood::start(fixture.address, form, 4, reads, &target());
    std::thread::sleep(FLOOD_TIME_BEFORE_SIGTERM);
    let started_at = Instant::now();
    fixture.pooler.signal("TERM");
    assert_eq!(fixture.pooler.wait_for_exit().code(), Some(0));
    let took = started_at.elapsed();
    flood.stop();
    println!("{form:?}: ended after {took:?}");
    assert!(took <= END_LIMIT, "{form:?}: ended after {took:?}");
}
