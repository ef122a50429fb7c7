//! Single cases of the sync machine and of the lease, fed by hand.

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

fn machine(guard: SyncConfig, view: View) -> RegistrySync {
    RegistrySync::new(b"/f/".to_vec(), endpoints(2), guard, view)
}

fn give(sync: &mut RegistrySync, now: f64, input: Input) -> Vec<Action> {
    let mut out = Vec::new();
    sync.handle(now, input, &mut out);
    out
}

/// The number of the call among actions, and whether it is a login, a read or a watch, with its endpoint.
fn call(actions: &[Action]) -> Option<(u64, char, usize)> {
    actions.iter().find_map(|action| match action {
        Action::Login(call, at) => Some((*call, 'l', *at)),
        Action::Read(call, at, _) => Some((*call, 'r', *at)),
        Action::Watch(call, at, _) => Some((*call, 'w', *at)),
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
fn a_token_that_runs_out_is_renewed_and_the_watch_goes_on_from_where_it_was() {
    let mut sync = machine(login(), View::default());
    let (number, kind, _) = call(&give(&mut sync, 0.0, Input::Start)).unwrap();
    assert_eq!((kind, sync.token()), ('l', None));
    let actions = give(&mut sync, 0.0, Input::Token(number, Ok("one".into())));
    let (number, kind, _) = call(&actions).unwrap();
    assert_eq!((kind, sync.token()), ('r', Some("one")));
    let (number, kind, _) =
        call(&give(&mut sync, 0.1, Input::Page(number, Ok(page(0..3, 9, false))))).unwrap();
    assert_eq!(kind, 'w');
    give(&mut sync, 0.2, Input::WatchMessage(number, Ok(created(9))));
    assert!(sync.is_following());
    // Both ways in which a registry tells of it in the middle of a watch.
    let words = "rpc error: code = Unauthenticated desc = etcdserver: invalid auth token".to_string();
    let told = WatchMessage { canceled: true, cancel_reason: words, ..created(9) };
    for (n, input) in [Ok(told), Err(Refusal::Unauthenticated)].into_iter().enumerate() {
        let watch = sync_call(&mut sync, n);
        let actions = give(&mut sync, 1.0 + n as f64, Input::WatchMessage(watch, input));
        let (number, kind, _) = call(&actions).unwrap();
        assert_eq!((kind, sync.token()), ('l', None));
        assert!(!actions.iter().any(|action| matches!(action, Action::Notice(_))), "nothing is lost");
        let actions = give(&mut sync, 1.1 + n as f64, Input::Token(number, Ok(format!("two-{n}"))));
        assert!(actions.iter().any(|action| matches!(action, Action::Watch(_, _, 10))), "{actions:?}");
        let (number, ..) = call(&actions).unwrap();
        give(&mut sync, 1.2 + n as f64, Input::WatchMessage(number, Ok(created(9))));
    }
}

/// The number of the watch under way: the calls so far, of which each renewal takes two.
fn sync_call(_: &mut RegistrySync, renewals: usize) -> u64 {
    3 + 2 * renewals as u64
}

#[test]
fn a_token_that_is_never_taken_and_a_wrong_password_are_backed_off_from() {
    let mut sync = machine(login(), View::default());
    let (mut now, mut logins) = (0.0, 0);
    let mut actions = give(&mut sync, now, Input::Start);
    while now < 60.0 {
        actions = match call(&actions) {
            Some((number, 'l', _)) => {
                logins += 1;
                give(&mut sync, now, Input::Token(number, Ok("useless".into())))
            }
            Some((number, ..)) => give(&mut sync, now, Input::Page(number, Err(Refusal::Unauthenticated))),
            None => {
                now = sync.next_due().max(now + 0.001);
                give(&mut sync, now, Input::Time)
            }
        };
    }
    assert!((5..60).contains(&logins), "{logins} logins in a minute");
    let mut sync = machine(login(), View::default());
    let (number, ..) = call(&give(&mut sync, 0.0, Input::Start)).unwrap();
    let wrong = Refusal::Other("authentication failed, invalid user ID or password".into());
    let actions = give(&mut sync, 0.0, Input::Token(number, Err(wrong)));
    assert!(actions
        .iter()
        .any(|a| matches!(a, Action::Notice(Notice::Lost(why)) if why.contains("password"))));
}

#[test]
fn another_call_s_denied_token_counts_once() {
    let mut sync = machine(login(), View::default());
    let (number, ..) = call(&give(&mut sync, 0.0, Input::Start)).unwrap();
    let (number, ..) = call(&give(&mut sync, 0.0, Input::Token(number, Ok("one".into())))).unwrap();
    let (number, ..) = call(&give(&mut sync, 0.0, Input::Page(number, Ok(page(0..3, 9, false))))).unwrap();
    give(&mut sync, 0.0, Input::WatchMessage(number, Ok(created(9))));
    let (number, kind, _) = call(&give(&mut sync, 1.0, Input::TokenRejected("one".into()))).unwrap();
    assert_eq!(kind, 'l');
    give(&mut sync, 1.0, Input::Token(number, Ok("two".into())));
    assert_eq!(call(&give(&mut sync, 1.1, Input::TokenRejected("one".into()))), None, "an old one");
}

#[test]
fn ten_thousand_members_that_come_back_empty_stay_until_it_is_so_for_long_enough() {
    let keys = (0..10_000).map(|n| (key(n), Entry { revision: 2, value: b"v".to_vec() }));
    let mut sync =
        machine(SyncConfig { confirm_after: 5.0, ..SyncConfig::default() }, View::restore(7, 10, keys));
    let (number, kind, first) = call(&give(&mut sync, 0.0, Input::Start)).unwrap();
    assert_eq!(kind, 'w');
    let told = WatchMessage { compact_revision: 40, canceled: true, ..created(50) };
    let (mut number, kind, _) = call(&give(&mut sync, 0.0, Input::WatchMessage(number, Ok(told)))).unwrap();
    assert_eq!(kind, 'r');
    let (mut now, mut asked) = (0.0, vec![first]);
    let believed = loop {
        let actions = give(&mut sync, now, Input::Page(number, Ok(page(0..0, 50, false))));
        if sync.view().is_empty() {
            break now;
        }
        assert_eq!(sync.view().len(), 10_000);
        assert!(!actions.iter().any(|action| matches!(action, Action::Changed(_))));
        let mut again = call(&actions);
        while again.is_none() {
            now = sync.next_due();
            again = call(&give(&mut sync, now, Input::Time));
        }
        let (next, kind, at) = again.unwrap();
        assert_eq!(kind, 'r');
        (number, asked) = (next, [asked, vec![at]].concat());
    };
    assert!((5.0..30.0).contains(&believed), "{believed}");
    assert!(asked.contains(&0) && asked.contains(&1), "a second endpoint has its say: {asked:?}");
}

#[test]
fn compaction_between_the_last_page_and_the_watch_costs_another_view() {
    let mut sync = machine(SyncConfig::default(), View::default());
    let (number, ..) = call(&give(&mut sync, 0.0, Input::Start)).unwrap();
    let (number, kind, _) =
        call(&give(&mut sync, 0.0, Input::Page(number, Ok(page(0..9, 9, false))))).unwrap();
    assert_eq!((kind, sync.view().len()), ('w', 9));
    let actions = give(&mut sync, 0.1, Input::WatchMessage(number, Err(Refusal::Compacted)));
    let (number, kind, _) = call(&actions).unwrap();
    assert_eq!(kind, 'r');
    give(&mut sync, 0.2, Input::Page(number, Ok(page(1..9, 30, false))));
    assert_eq!((sync.view().len(), sync.view().get(&key(0))), (8, None));
}

#[test]
fn a_leader_that_changes_ends_the_watch_and_nothing_else() {
    let keys = (0..9).map(|n| (key(n), Entry { revision: 2, value: b"v".to_vec() }));
    let mut sync = machine(SyncConfig::default(), View::restore(7, 9, keys));
    let (number, _, first) = call(&give(&mut sync, 0.0, Input::Start)).unwrap();
    give(&mut sync, 0.0, Input::WatchMessage(number, Ok(created(9))));
    let told = WatchMessage { canceled: true, cancel_reason: "etcdserver: no leader".into(), ..created(9) };
    assert_eq!(call(&give(&mut sync, 1.0, Input::WatchMessage(number, Ok(told)))), None);
    let now = sync.next_due();
    let actions = give(&mut sync, now, Input::Time);
    let (_, kind, at) = call(&actions).unwrap();
    assert_eq!(kind, 'w');
    assert_ne!(at, first, "another endpoint");
    assert!(actions.iter().any(|action| matches!(action, Action::Watch(_, _, 10))));
}

/// A watch's whole answer as it goes over the wire.
fn answer() -> Vec<u8> {
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

/// Feeds bytes of a watch's answer, then its end.
fn feed(sync: &mut RegistrySync, now: f64, number: u64, bytes: &[u8]) {
    let (mut inbox, mut answer, mut lines) =
        (Ring::new(&Budget::new(1 << 20)), ResponseReader::default(), Lines::new(1 << 16));
    inbox.push(bytes).unwrap();
    while let Some(piece) = answer.next(&mut inbox).unwrap() {
        if let Piece::Body(bytes) = piece {
            lines.push(&bytes).unwrap();
        }
        while let Some(line) = lines.take() {
            give(sync, now, Input::WatchMessage(number, wire::parse_watch_message(&line)));
        }
    }
    give(sync, now, Input::Disconnected(number));
}

#[test]
fn a_watch_cut_at_every_byte_goes_on_with_nothing_missed_and_no_half_revision() {
    let bytes = answer();
    let keys = || (0..4).map(|n| (key(n), Entry { revision: 2, value: b"v".to_vec() }));
    let whole = |sync: &RegistrySync| -> Vec<Vec<u8>> {
        sync.view().with_prefix(b"").map(|(key, _)| key.clone()).collect()
    };
    // What stands after each revision.
    let states = [
        (9, vec![0, 1, 2, 3]),
        (10, vec![0, 1, 3]),
        (11, vec![0, 1, 3]),
        (12, vec![0, 3, 4]),
        (13, vec![0, 3, 4]),
    ];
    for cut in 0..=bytes.len() {
        let mut sync = machine(
            SyncConfig { max_removed_share: 1.0, ..SyncConfig::default() },
            View::restore(7, 9, keys()),
        );
        let (number, ..) = call(&give(&mut sync, 0.0, Input::Start)).unwrap();
        feed(&mut sync, 0.0, number, &bytes[..cut]);
        let (_, at) = states.iter().find(|(revision, _)| *revision == sync.view().revision).unwrap();
        assert_eq!(whole(&sync), at.iter().map(|n| key(*n)).collect::<Vec<_>>(), "cut at {cut}");
        let now = sync.next_due().max(0.0);
        let actions = give(&mut sync, now, Input::Time);
        let next = sync.view().revision + 1;
        let (number, ..) = call(&actions).unwrap();
        assert!(
            actions.iter().any(|a| matches!(a, Action::Watch(_, _, from) if *from == next)),
            "{actions:?}"
        );
        // The registry tells all again: what is known already is passed over.
        feed(&mut sync, now, number, &bytes);
        assert_eq!(sync.view().revision, 13, "cut at {cut}");
        assert_eq!(whole(&sync), [0, 3, 4].map(key), "cut at {cut}");
    }
}

#[test]
fn a_kept_view_comes_back_whole_or_not_at_all() {
    let keys = (0..50).map(|n| (key(n), Entry { revision: n as u64, value: vec![n as u8; n] }));
    let view = View::restore(7, 99, keys);
    let bytes = encode("/f", &view);
    assert_eq!(decode("/f", &bytes), Ok(view));
    assert_eq!(decode("/g", &bytes), Err(SnapshotError::WrongPrefix));
    assert_eq!(decode("/f", b"something else"), Err(SnapshotError::Format));
    for cut in 0..bytes.len() {
        assert!(decode("/f", &bytes[..cut]).is_err(), "cut at {cut}");
        let mut spoilt = bytes.clone();
        spoilt[cut] ^= 0x10;
        assert!(decode("/f", &spoilt).is_err(), "spoilt at {cut}");
    }
}

fn lease() -> Lease {
    Lease::new(endpoints(2), 15.0, 5.0)
}

fn tell(lease: &mut Lease, now: f64, input: lease::Input) -> Vec<lease::Action> {
    let mut out = Vec::new();
    lease.handle(now, input, &mut out);
    out
}

fn ask(actions: &[lease::Action]) -> Option<(u64, LeaseRequest)> {
    actions.iter().find_map(|action| match action {
        lease::Action::Call(number, _, ask) => Some((*number, *ask)),
        _ => None,
    })
}

const GRANTED: LeaseGrant = LeaseGrant { id: 5, length: 15 };
const DONE: LeaseGrant = LeaseGrant { id: 0, length: 0 };

/// A lease whose key stands, at time 0.
fn held() -> Lease {
    let mut lease = lease();
    let (number, asked) = ask(&tell(&mut lease, 0.0, lease::Input::Time)).unwrap();
    assert_eq!(asked, LeaseRequest::Grant);
    let (number, asked) = ask(&tell(&mut lease, 0.0, lease::Input::Answer(number, Ok(GRANTED)))).unwrap();
    assert_eq!(asked, LeaseRequest::Put(5));
    assert_eq!(tell(&mut lease, 0.0, lease::Input::Answer(number, Ok(DONE))), [lease::Action::Registered]);
    lease
}

#[test]
fn a_key_is_kept_alive_and_put_anew_under_another_lease_when_the_first_is_gone() {
    let mut lease = held();
    for n in 1..=20 {
        let now = lease.next_due();
        assert_eq!(now, f64::from(n) * 5.0);
        let (number, asked) = ask(&tell(&mut lease, now, lease::Input::Time)).unwrap();
        assert_eq!(asked, LeaseRequest::KeepAlive(5));
        assert!(tell(&mut lease, now, lease::Input::Answer(number, Ok(GRANTED))).is_empty());
    }
    let now = lease.next_due();
    let (number, _) = ask(&tell(&mut lease, now, lease::Input::Time)).unwrap();
    let lost = tell(&mut lease, now, lease::Input::Answer(number, Ok(DONE)));
    assert!(matches!(&lost[..], [lease::Action::Lost(_)]));
    let now = lease.next_due();
    assert_eq!(ask(&tell(&mut lease, now, lease::Input::Time)).unwrap().1, LeaseRequest::Grant);
}

#[test]
fn a_registry_out_of_reach_for_longer_than_the_lease_has_lost_the_key() {
    let mut lease = held();
    let (mut lost, mut asked) = (None, Vec::new());
    for _ in 0..100 {
        let now = lease.next_due();
        for action in tell(&mut lease, now, lease::Input::Time) {
            match action {
                lease::Action::Lost(_) => lost = lost.or(Some(now)),
                lease::Action::Call(_, _, ask) => asked.push((now, ask)),
                _ => {}
            }
        }
    }
    let lost = lost.unwrap();
    assert!((15.0..30.0).contains(&lost), "{lost}");
    assert!(
        asked.iter().all(|(now, ask)| (*ask == LeaseRequest::KeepAlive(5)) == (*now < 15.0)),
        "{asked:?}"
    );
    let rate = asked.len() as f64 / asked.last().unwrap().0;
    assert!(rate < 2.0, "{rate} calls a second");
}

#[test]
fn one_that_ends_takes_its_key_back_in_one_try() {
    let mut lease = held();
    let (number, asked) = ask(&tell(&mut lease, 1.0, lease::Input::Leave)).unwrap();
    assert_eq!(asked, LeaseRequest::Revoke(5));
    tell(&mut lease, 1.0, lease::Input::Disconnected(number));
    assert_eq!(lease.next_due(), f64::INFINITY);
    let mut lease = self::lease();
    assert!(tell(&mut lease, 0.0, lease::Input::Leave).is_empty(), "nothing to take back");
    assert!(tell(&mut lease, 9.0, lease::Input::Time).is_empty());
}

proptest! {
    /// Whatever answers come in whatever order, it is never silent for good, and asks no more often than its pace.
    #[test]
    fn a_lease_never_stops_and_never_hurries(answers in prop::collection::vec(0..6u8, 1..200)) {
        let mut lease = self::lease();
        let (mut now, mut calls) = (0.0f64, 0usize);
        let mut actions = tell(&mut lease, now, lease::Input::Time);
        for answer in answers {
            let mut asked = ask(&actions);
            if asked.is_none() {
                prop_assert!(lease.next_due().is_finite());
                now = now.max(lease.next_due());
                actions = tell(&mut lease, now, lease::Input::Time);
                asked = ask(&actions);
            }
            let Some((number, _)) = asked else { continue };
            calls += 1;
            let input = match answer {
                0 => lease::Input::Disconnected(number),
                1 => lease::Input::Answer(number, Ok(GRANTED)),
                2 => lease::Input::Answer(number, Ok(DONE)),
                3 => lease::Input::Answer(number, Err(Refusal::Other("requested lease not found".into()))),
                4 => lease::Input::Answer(number, Err(Refusal::Unauthenticated)),
                _ => lease::Input::Answer(number + 1, Ok(GRANTED)),
            };
            actions = tell(&mut lease, now, input);
        }
        // The budget's burst, each step of which may be three calls long, and its rate from then on.
        prop_assert!(calls as f64 <= 3.0 * (20.0 + 2.0 * now) + 3.0, "{} calls in {} s", calls, now);
    }
}
