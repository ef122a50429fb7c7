//! Single cases of the sync state machine and of the lease.

use buffer::{Budget, Lines, Ring};
use http1::{Piece, ResponseReader};
use proptest::prelude::*;
use registry::lease::{self, Lease, LeaseRequest};
use registry::snapshot::{decode, encode, SnapshotError};
use registry::wire::{self, Header, KeyValue, LeaseGrant, Page, Refusal, WatchMessage};
use registry::{Action, Endpoints, Entry, Input, Notice, Pacing, RegistrySync, SyncConfig, View};

fn endpoints(count: usize) -> Endpoints {
    Endpoints::new(count, Pacing { jitter: false, ..Pacing::default() }, 3, 0.0)
}

fn sync_machine(config: SyncConfig, view: View) -> RegistrySync {
    RegistrySync::new(b"/f/".to_vec(), endpoints(2), config, view)
}

fn handle(sync: &mut RegistrySync, now: f64, input: Input) -> Vec<Action> {
    let mut out = Vec::new();
    sync.handle(now, input, &mut out);
    out
}

/// The call among the actions: its number, its kind (l login, r read, w watch) and its endpoint.
fn find_call(actions: &[Action]) -> Option<(u64, char, usize)> {
    actions.iter().find_map(|action| match action {
        Action::Login(number, at) => Some((*number, 'l', *at)),
        Action::Read(number, at, _) => Some((*number, 'r', *at)),
        Action::Watch(number, at, _) => Some((*number, 'w', *at)),
        _ => None,
    })
}

fn key(n: usize) -> Vec<u8> {
    format!("/f/{n:05}").into_bytes()
}

fn page(keys: std::ops::Range<usize>, revision: u64, more: bool) -> Page {
    let kvs = keys.map(|n| KeyValue { key: key(n), value: b"v".to_vec(), mod_revision: 2 }).collect();
    Page { header: Header { cluster_id: 7, revision }, kvs, more }
}

fn header(revision: u64) -> Header {
    Header { cluster_id: 7, revision }
}

fn created(revision: u64) -> WatchMessage {
    WatchMessage { header: header(revision), created: true, ..WatchMessage::default() }
}

fn login() -> SyncConfig {
    SyncConfig { login: true, ..SyncConfig::default() }
}

#[test]
fn an_expired_token_is_renewed_and_the_watch_continues() {
    let mut sync = sync_machine(login(), View::default());
    let (number, kind, _) = find_call(&handle(&mut sync, 0.0, Input::Start)).unwrap();
    assert_eq!((kind, sync.token()), ('l', None));
    let actions = handle(&mut sync, 0.0, Input::Token(number, Ok("one".into())));
    let (number, kind, _) = find_call(&actions).unwrap();
    assert_eq!((kind, sync.token()), ('r', Some("one")));
    let (number, kind, _) =
        find_call(&handle(&mut sync, 0.1, Input::Page(number, Ok(page(0..3, 9, false))))).unwrap();
    assert_eq!(kind, 'w');
    handle(&mut sync, 0.2, Input::WatchMessage(number, Ok(created(9))));
    assert!(sync.is_following());
    // A registry reports an expired token in the middle of a watch in two ways.
    let reason = "rpc error: code = Unauthenticated desc = etcdserver: invalid auth token".to_string();
    let message = WatchMessage { canceled: true, cancel_reason: reason, ..created(9) };
    for (n, input) in [Ok(message), Err(Refusal::Unauthenticated)].into_iter().enumerate() {
        let watch = watch_call(&mut sync, n);
        let actions = handle(&mut sync, 1.0 + n as f64, Input::WatchMessage(watch, input));
        let (number, kind, _) = find_call(&actions).unwrap();
        assert_eq!((kind, sync.token()), ('l', None));
        assert!(
            !actions.iter().any(|action| matches!(action, Action::Notice(_))),
            "renewing a token is not a loss"
        );
        let actions = handle(&mut sync, 1.1 + n as f64, Input::Token(number, Ok(format!("two-{n}"))));
        assert!(actions.iter().any(|action| matches!(action, Action::Watch(_, _, 10))), "{actions:?}");
        let (number, ..) = find_call(&actions).unwrap();
        handle(&mut sync, 1.2 + n as f64, Input::WatchMessage(number, Ok(created(9))));
    }
}

/// The number of the open watch: three calls at first, and two more for each renewal of the token.
fn watch_call(_: &mut RegistrySync, renewals: usize) -> u64 {
    3 + 2 * renewals as u64
}

#[test]
fn rejected_tokens_and_passwords_are_retried_with_backoff() {
    let mut sync = sync_machine(login(), View::default());
    let (mut now, mut logins) = (0.0, 0);
    let mut actions = handle(&mut sync, now, Input::Start);
    while now < 60.0 {
        actions = match find_call(&actions) {
            Some((number, 'l', _)) => {
                logins += 1;
                handle(&mut sync, now, Input::Token(number, Ok("useless".into())))
            }
            Some((number, ..)) => handle(&mut sync, now, Input::Page(number, Err(Refusal::Unauthenticated))),
            None => {
                now = sync.next_due().max(now + 0.001);
                handle(&mut sync, now, Input::Time)
            }
        };
    }
    assert!((5..60).contains(&logins), "{logins} logins in a minute");
    let mut sync = sync_machine(login(), View::default());
    let (number, ..) = find_call(&handle(&mut sync, 0.0, Input::Start)).unwrap();
    let wrong = Refusal::Other("authentication failed, invalid user ID or password".into());
    let actions = handle(&mut sync, 0.0, Input::Token(number, Err(wrong)));
    assert!(actions
        .iter()
        .any(|a| matches!(a, Action::Notice(Notice::Lost(why)) if why.contains("password"))));
}

#[test]
fn a_token_rejected_in_another_call_is_renewed_once() {
    let mut sync = sync_machine(login(), View::default());
    let (number, ..) = find_call(&handle(&mut sync, 0.0, Input::Start)).unwrap();
    let (number, ..) = find_call(&handle(&mut sync, 0.0, Input::Token(number, Ok("one".into())))).unwrap();
    let (number, ..) =
        find_call(&handle(&mut sync, 0.0, Input::Page(number, Ok(page(0..3, 9, false))))).unwrap();
    handle(&mut sync, 0.0, Input::WatchMessage(number, Ok(created(9))));
    let (number, kind, _) = find_call(&handle(&mut sync, 1.0, Input::TokenRejected("one".into()))).unwrap();
    assert_eq!(kind, 'l');
    handle(&mut sync, 1.0, Input::Token(number, Ok("two".into())));
    assert_eq!(
        find_call(&handle(&mut sync, 1.1, Input::TokenRejected("one".into()))),
        None,
        "a rejection of an earlier token is ignored"
    );
}

#[test]
fn an_empty_list_is_accepted_only_after_confirmation() {
    let keys = (0..10_000).map(|n| (key(n), Entry { revision: 2, value: b"v".to_vec() }));
    let mut sync =
        sync_machine(SyncConfig { confirm_after: 5.0, ..SyncConfig::default() }, View::restore(7, 10, keys));
    let (number, kind, first) = find_call(&handle(&mut sync, 0.0, Input::Start)).unwrap();
    assert_eq!(kind, 'w');
    let message = WatchMessage { compact_revision: 40, canceled: true, ..created(50) };
    let (mut number, kind, _) =
        find_call(&handle(&mut sync, 0.0, Input::WatchMessage(number, Ok(message)))).unwrap();
    assert_eq!(kind, 'r');
    let (mut now, mut endpoints_asked) = (0.0, vec![first]);
    let accepted_at = loop {
        let actions = handle(&mut sync, now, Input::Page(number, Ok(page(0..0, 50, false))));
        if sync.view().is_empty() {
            break now;
        }
        assert_eq!(sync.view().len(), 10_000);
        assert!(!actions.iter().any(|action| matches!(action, Action::Changed(_))));
        let mut again = find_call(&actions);
        while again.is_none() {
            now = sync.next_due();
            again = find_call(&handle(&mut sync, now, Input::Time));
        }
        let (next, kind, at) = again.unwrap();
        assert_eq!(kind, 'r');
        (number, endpoints_asked) = (next, [endpoints_asked, vec![at]].concat());
    };
    assert!((5.0..30.0).contains(&accepted_at), "{accepted_at}");
    assert!(
        endpoints_asked.contains(&0) && endpoints_asked.contains(&1),
        "both endpoints are asked: {endpoints_asked:?}"
    );
}

#[test]
fn compaction_between_the_last_page_and_the_watch_causes_another_full_read() {
    let mut sync = sync_machine(SyncConfig::default(), View::default());
    let (number, ..) = find_call(&handle(&mut sync, 0.0, Input::Start)).unwrap();
    let (number, kind, _) =
        find_call(&handle(&mut sync, 0.0, Input::Page(number, Ok(page(0..9, 9, false))))).unwrap();
    assert_eq!((kind, sync.view().len()), ('w', 9));
    let actions = handle(&mut sync, 0.1, Input::WatchMessage(number, Err(Refusal::Compacted)));
    let (number, kind, _) = find_call(&actions).unwrap();
    assert_eq!(kind, 'r');
    handle(&mut sync, 0.2, Input::Page(number, Ok(page(1..9, 30, false))));
    assert_eq!((sync.view().len(), sync.view().get(&key(0))), (8, None));
}

#[test]
fn a_leader_change_only_restarts_the_watch() {
    let keys = (0..9).map(|n| (key(n), Entry { revision: 2, value: b"v".to_vec() }));
    let mut sync = sync_machine(SyncConfig::default(), View::restore(7, 9, keys));
    let (number, _, first) = find_call(&handle(&mut sync, 0.0, Input::Start)).unwrap();
    handle(&mut sync, 0.0, Input::WatchMessage(number, Ok(created(9))));
    let message =
        WatchMessage { canceled: true, cancel_reason: "etcdserver: no leader".into(), ..created(9) };
    assert_eq!(find_call(&handle(&mut sync, 1.0, Input::WatchMessage(number, Ok(message)))), None);
    let now = sync.next_due();
    let actions = handle(&mut sync, now, Input::Time);
    let (_, kind, at) = find_call(&actions).unwrap();
    assert_eq!(kind, 'w');
    assert_ne!(at, first, "uses another endpoint");
    assert!(actions.iter().any(|action| matches!(action, Action::Watch(_, _, 10))));
}

/// The response to a watch, as bytes of HTTP.
fn watch_response() -> Vec<u8> {
    let event = |n: usize, revision: u64, kind: &str| {
        let key = base64::Engine::encode(&base64::engine::general_purpose::STANDARD, key(n));
        format!(r#"{{"type":"{kind}","kv":{{"key":"{key}","value":"dg==","mod_revision":"{revision}"}}}}"#)
    };
    let line = |fields: &str| {
        format!("{{\"result\":{{\"header\":{{\"cluster_id\":\"7\",\"revision\":\"13\"}},{fields}}}}}\n")
    };
    let lines = [
        line(r#""created":true"#),
        line(&format!(r#""events":[{},{}]"#, event(1, 10, "PUT"), event(2, 10, "DELETE"))),
        line(&format!(r#""fragment":true,"events":[{},{}]"#, event(3, 11, "PUT"), event(1, 12, "DELETE"))),
        line(&format!(r#""events":[{}]"#, event(4, 12, "PUT"))),
        line(&format!(r#""events":[{},{}]"#, event(5, 13, "PUT"), event(5, 13, "DELETE"))),
    ];
    let chunks = lines.iter().map(|line| format!("{:x}\r\n{line}\r\n", line.len())).collect::<String>();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into_bytes()
}

/// Feeds bytes of a watch response, then closes the connection.
fn feed_response(sync: &mut RegistrySync, now: f64, number: u64, bytes: &[u8]) {
    let (mut inbox, mut reader, mut lines) =
        (Ring::new(&Budget::new(1 << 20)), ResponseReader::default(), Lines::new(1 << 16));
    inbox.push(bytes).unwrap();
    while let Some(piece) = reader.next(&mut inbox).unwrap() {
        if let Piece::Body(bytes) = piece {
            lines.push(&bytes).unwrap();
        }
        while let Some(line) = lines.take() {
            handle(sync, now, Input::WatchMessage(number, wire::parse_watch_message(&line)));
        }
    }
    handle(sync, now, Input::Disconnected(number));
}

#[test]
fn a_watch_truncated_at_any_byte_resumes_without_gaps_or_partial_revisions() {
    let bytes = watch_response();
    let initial_keys = || (0..4).map(|n| (key(n), Entry { revision: 2, value: b"v".to_vec() }));
    let keys_of = |sync: &RegistrySync| -> Vec<Vec<u8>> {
        sync.view().with_prefix(b"").map(|(key, _)| key.clone()).collect()
    };
    // The keys after each revision.
    let states = [
        (9, vec![0, 1, 2, 3]),
        (10, vec![0, 1, 3]),
        (11, vec![0, 1, 3]),
        (12, vec![0, 3, 4]),
        (13, vec![0, 3, 4]),
    ];
    for length in 0..=bytes.len() {
        let mut sync = sync_machine(
            SyncConfig { max_removed_share: 1.0, ..SyncConfig::default() },
            View::restore(7, 9, initial_keys()),
        );
        let (number, ..) = find_call(&handle(&mut sync, 0.0, Input::Start)).unwrap();
        feed_response(&mut sync, 0.0, number, &bytes[..length]);
        let (_, expected) = states.iter().find(|(revision, _)| *revision == sync.view().revision).unwrap();
        assert_eq!(keys_of(&sync), expected.iter().map(|n| key(*n)).collect::<Vec<_>>(), "cut at {length}");
        let now = sync.next_due().max(0.0);
        let actions = handle(&mut sync, now, Input::Time);
        let next = sync.view().revision + 1;
        let (number, ..) = find_call(&actions).unwrap();
        assert!(
            actions.iter().any(|a| matches!(a, Action::Watch(_, _, from) if *from == next)),
            "{actions:?}"
        );
        // The registry repeats all changes: those already applied are skipped.
        feed_response(&mut sync, now, number, &bytes);
        assert_eq!(sync.view().revision, 13, "cut at {length}");
        assert_eq!(keys_of(&sync), [0, 3, 4].map(key), "cut at {length}");
    }
}

#[test]
fn a_snapshot_is_restored_completely_or_rejected() {
    let keys = (0..50).map(|n| (key(n), Entry { revision: n as u64, value: vec![n as u8; n] }));
    let view = View::restore(7, 99, keys);
    let bytes = encode("/f", &view);
    assert_eq!(decode("/f", &bytes), Ok(view));
    assert_eq!(decode("/g", &bytes), Err(SnapshotError::WrongPrefix));
    assert_eq!(decode("/f", b"something else"), Err(SnapshotError::Format));
    for offset in 0..bytes.len() {
        assert!(decode("/f", &bytes[..offset]).is_err(), "cut at {offset}");
        let mut altered = bytes.clone();
        altered[offset] ^= 0x10;
        assert!(decode("/f", &altered).is_err(), "altered at {offset}");
    }
}

fn lease() -> Lease {
    Lease::new(endpoints(2), 15.0, 5.0)
}

fn handle_lease(lease: &mut Lease, now: f64, input: lease::Input) -> Vec<lease::Action> {
    let mut out = Vec::new();
    lease.handle(now, input, &mut out);
    out
}

fn find_request(actions: &[lease::Action]) -> Option<(u64, LeaseRequest)> {
    actions.iter().find_map(|action| match action {
        lease::Action::Call(number, _, request) => Some((*number, *request)),
        _ => None,
    })
}

const GRANTED: LeaseGrant = LeaseGrant { id: 5, ttl: 15 };
const DONE: LeaseGrant = LeaseGrant { id: 0, ttl: 0 };

/// A lease whose key was registered at time 0.
fn registered_lease() -> Lease {
    let mut lease = lease();
    let (number, request) = find_request(&handle_lease(&mut lease, 0.0, lease::Input::Time)).unwrap();
    assert_eq!(request, LeaseRequest::Grant);
    let (number, request) =
        find_request(&handle_lease(&mut lease, 0.0, lease::Input::Answer(number, Ok(GRANTED)))).unwrap();
    assert_eq!(request, LeaseRequest::Put(5));
    assert_eq!(
        handle_lease(&mut lease, 0.0, lease::Input::Answer(number, Ok(DONE))),
        [lease::Action::Registered]
    );
    lease
}

#[test]
fn a_key_is_kept_alive_and_gets_a_new_lease_when_the_first_has_ended() {
    let mut lease = registered_lease();
    for n in 1..=20 {
        let now = lease.next_due();
        assert_eq!(now, f64::from(n) * 5.0);
        let (number, request) = find_request(&handle_lease(&mut lease, now, lease::Input::Time)).unwrap();
        assert_eq!(request, LeaseRequest::KeepAlive(5));
        assert!(handle_lease(&mut lease, now, lease::Input::Answer(number, Ok(GRANTED))).is_empty());
    }
    let now = lease.next_due();
    let (number, _) = find_request(&handle_lease(&mut lease, now, lease::Input::Time)).unwrap();
    let lost = handle_lease(&mut lease, now, lease::Input::Answer(number, Ok(DONE)));
    assert!(matches!(&lost[..], [lease::Action::Lost(_)]));
    let now = lease.next_due();
    assert_eq!(
        find_request(&handle_lease(&mut lease, now, lease::Input::Time)).unwrap().1,
        LeaseRequest::Grant
    );
}

#[test]
fn the_key_is_reported_lost_when_the_registry_is_unreachable_beyond_the_ttl() {
    let mut lease = registered_lease();
    let (mut lost, mut requests) = (None, Vec::new());
    for _ in 0..100 {
        let now = lease.next_due();
        for action in handle_lease(&mut lease, now, lease::Input::Time) {
            match action {
                lease::Action::Lost(_) => lost = lost.or(Some(now)),
                lease::Action::Call(_, _, request) => requests.push((now, request)),
                _ => {}
            }
        }
    }
    let lost = lost.unwrap();
    assert!((15.0..30.0).contains(&lost), "{lost}");
    assert!(
        requests.iter().all(|(now, request)| (*request == LeaseRequest::KeepAlive(5)) == (*now < 15.0)),
        "{requests:?}"
    );
    let rate = requests.len() as f64 / requests.last().unwrap().0;
    assert!(rate < 2.0, "{rate} calls per second");
}

#[test]
fn shutdown_revokes_the_lease_with_a_single_attempt() {
    let mut lease = registered_lease();
    let (number, request) = find_request(&handle_lease(&mut lease, 1.0, lease::Input::Leave)).unwrap();
    assert_eq!(request, LeaseRequest::Revoke(5));
    handle_lease(&mut lease, 1.0, lease::Input::Disconnected(number));
    assert_eq!(lease.next_due(), f64::INFINITY);
    let mut lease = self::lease();
    assert!(handle_lease(&mut lease, 0.0, lease::Input::Leave).is_empty(), "no lease to revoke");
    assert!(handle_lease(&mut lease, 9.0, lease::Input::Time).is_empty());
}

proptest! {
    /// For any sequence of responses, the lease always has a next call, and calls no more often than its
    /// budget allows.
    #[test]
    fn a_lease_always_continues_within_its_call_budget(answers in prop::collection::vec(0..6u8, 1..200)) {
        let mut lease = self::lease();
        let (mut now, mut calls) = (0.0f64, 0usize);
        let mut actions = handle_lease(&mut lease, now, lease::Input::Time);
        for answer in answers {
            let mut request = find_request(&actions);
            if request.is_none() {
                prop_assert!(lease.next_due().is_finite());
                now = now.max(lease.next_due());
                actions = handle_lease(&mut lease, now, lease::Input::Time);
                request = find_request(&actions);
            }
            let Some((number, _)) = request else { continue };
            calls += 1;
            let input = match answer {
                0 => lease::Input::Disconnected(number),
                1 => lease::Input::Answer(number, Ok(GRANTED)),
                2 => lease::Input::Answer(number, Ok(DONE)),
                3 => lease::Input::Answer(number, Err(Refusal::Other("requested lease not found".into()))),
                4 => lease::Input::Answer(number, Err(Refusal::Unauthenticated)),
                _ => lease::Input::Answer(number + 1, Ok(GRANTED)),
            };
            actions = handle_lease(&mut lease, now, input);
        }
        // The budget's burst and its rate afterwards; each budgeted call may be followed by two more.
        prop_assert!(calls as f64 <= 3.0 * (20.0 + 2.0 * now) + 3.0, "{} calls in {} s", calls, now);
    }
}
