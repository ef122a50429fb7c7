//! Decoding of responses, members and drains, and the errors for malformed input; backoff of endpoints.

use registry::schema::{parse_member, Members};
use registry::wire::{parse_page, parse_watch_message, prefix_end, Kind, Range, Refusal};
use registry::{Action, Endpoints, Input, Pacing, RegistrySync, SyncConfig, View};
use routing::interface::Phase;

#[test]
fn responses_of_the_gateway_are_decoded() {
    let body = br#"{"header":{"cluster_id":"14841639068965178418","member_id":"1","revision":"9","raft_term":"2"},
        "kvs":[{"key":"L2YvYQ==","create_revision":"2","mod_revision":"9","version":"3","value":"eA==","lease":"0"}],
        "more":true,"count":"2"}"#;
    let page = parse_page(body).unwrap();
    assert_eq!((page.header.revision, page.more, page.kvs.len()), (9, true, 1));
    assert_eq!((page.kvs[0].key.as_slice(), page.kvs[0].value.as_slice()), (&b"/f/a"[..], &b"x"[..]));
    let line =
        br#"{"result":{"header":{"revision":"10"},"events":[{"kv":{"key":"L2YvYQ==","mod_revision":"10"}},
        {"type":"DELETE","kv":{"key":"L2YvYg==","mod_revision":"10"}}]}}"#;
    let changes = parse_watch_message(line).unwrap();
    assert_eq!((changes.events[0].kind, changes.events[1].kind), (Kind::Put, Kind::Delete));
}

#[test]
fn errors_are_recognized_by_their_body() {
    let compacted = br#"{"error":"etcdserver: mvcc: required revision has been compacted","code":11,
        "message":"etcdserver: mvcc: required revision has been compacted"}"#;
    assert_eq!(parse_page(compacted), Err(Refusal::Compacted));
    let future = br#"{"code":11,"message":"etcdserver: mvcc: required revision is a future revision"}"#;
    assert!(matches!(parse_page(future), Err(Refusal::Other(_))));
    let token = br#"{"error":{"grpc_code":16,"code":16,"message":"etcdserver: invalid auth token"}}"#;
    assert_eq!(parse_watch_message(token), Err(Refusal::Unauthenticated));
    for malformed in
        [&b"<html>"[..], b"\xff", b"[]", br#"{"header":{"revision":"x"}}"#, br#"{"kvs":[{"key":"!"}]}"#]
    {
        assert!(
            matches!(parse_page(malformed), Err(Refusal::Malformed(_))),
            "{}",
            String::from_utf8_lossy(malformed)
        );
    }
    assert!(matches!(parse_watch_message(br#"{"other":1}"#), Err(Refusal::Malformed(_))));
}

#[test]
fn prefix_end_increments_the_last_byte_below_ff() {
    assert_eq!(prefix_end(b"/f/"), b"/f0");
    assert_eq!(prefix_end(b"a\xff\xff"), b"b");
    assert_eq!(prefix_end(b"\xff"), [0]);
    let range =
        Range { from: b"/f/".to_vec(), to: prefix_end(b"/f/"), revision: 3, limit: 9, serializable: true };
    let body = String::from_utf8(range.body()).unwrap();
    for part in [r#""key":"L2Yv""#, r#""range_end":"L2Yw""#, r#""revision":"3""#, r#""limit":"9""#] {
        assert!(body.contains(part), "{body}");
    }
}

#[test]
fn members_are_parsed_or_rejected_with_the_error() {
    let value =
        br#"{"v":1,"address":"10.1.0.18:5432","zone":"a","group":3,"status":"DRAINING","since_ms":1500}"#;
    let listing = parse_member("s-1", value).unwrap();
    assert_eq!((listing.group, listing.phase, listing.started_at), (3, Phase::Leaving, 1.5));
    for (malformed, text) in [
        (&b"x"[..], "expected value"),
        (b"\xff", "expected value"),
        (br#"{"v":2,"address":"10.1.0.18:5432"}"#, "version 2; accepted: 1"),
        (br#"{"v":1,"address":"shop:5432"}"#, "invalid socket address"),
        (br#"{"v":1}"#, "missing field `address`"),
        (br#"{"v":1,"address":"10.1.0.18:5432","status":"ASLEEP"}"#, "unknown variant `ASLEEP`"),
        (&[b' '; 5_000], "5000 bytes; at most 4096"),
    ] {
        let error = parse_member("s-1", malformed).unwrap_err();
        assert!(error.contains(text), "{error}");
    }
}

/// A state machine that has read a view of these keys.
fn sync_with_view(keys: &[(&str, &str)]) -> RegistrySync {
    let endpoints = Endpoints::new(1, Pacing::default(), 1, 0.0);
    let mut sync = RegistrySync::new(b"/f/".to_vec(), endpoints, SyncConfig::default(), View::default());
    let mut out = Vec::new();
    sync.handle(0.0, Input::Start, &mut out);
    let Action::Read(call, ..) = out[0] else { panic!("{out:?}") };
    let kvs: Vec<serde_json::Value> = keys
        .iter()
        .map(|(key, value)| {
            use base64::Engine;
            let code = |text: &str| base64::engine::general_purpose::STANDARD.encode(text);
            serde_json::json!({"key": code(key), "value": code(value), "mod_revision": "2"})
        })
        .collect();
    let body = serde_json::json!({"header": {"cluster_id": "7", "revision": "2"}, "kvs": kvs}).to_string();
    sync.handle(0.0, Input::Page(call, parse_page(body.as_bytes())), &mut out);
    sync
}

#[test]
fn drains_override_members_and_a_malformed_value_keeps_the_last_valid_one() {
    let valid = r#"{"v":1,"address":"127.0.0.1:1"}"#;
    let mut members = Members::default();
    let view = sync_with_view(&[("/f/members/a", valid), ("/f/members/b", valid), ("/f/drains/b", "why")]);
    let changes = members.update("/f", view.view(), None);
    let phases: Vec<(String, Phase)> = changes.iter().map(|l| (l.name.to_string(), l.phase)).collect();
    assert_eq!(phases, [("a".into(), Phase::Active), ("b".into(), Phase::Leaving)]);
    // The value of b becomes malformed and its drain is removed at the same time: b is active, as its last
    // valid value says.
    let view = sync_with_view(&[("/f/members/a", valid), ("/f/members/b", "malformed")]);
    let changes = members.update("/f", view.view(), None);
    assert_eq!(
        changes.iter().map(|l| (l.name.to_string(), l.phase)).collect::<Vec<_>>(),
        [("b".into(), Phase::Active)]
    );
    assert_eq!(members.malformed().count(), 1);
    // A drain without a member, and a member that was removed: only the latter is reported.
    let view = sync_with_view(&[("/f/members/b", valid), ("/f/drains/c", "")]);
    let changes = members.update("/f", view.view(), None);
    assert_eq!(
        changes.iter().map(|l| (l.name.to_string(), l.phase)).collect::<Vec<_>>(),
        [("a".into(), Phase::Left)]
    );
    assert_eq!((members.malformed().count(), members.all().count()), (0, 1));
}

#[test]
fn full_jitter_covers_the_whole_delay_and_the_budget_is_kept() {
    let pacing = Pacing { first_delay: 1.0, max_delay: 8.0, burst: 2.0, rate: 0.5, jitter: true };
    let mut delays = Vec::new();
    for seed in 0..400 {
        let mut endpoints = Endpoints::new(1, pacing, seed, 0.0);
        (0..4).for_each(|_| endpoints.record_failure(0.0));
        delays.push(endpoints.next_call_at(0.0));
    }
    let mean = delays.iter().sum::<f64>() / delays.len() as f64;
    assert!((3.5..4.5).contains(&mean) && delays.iter().all(|delay| *delay <= 8.0), "{mean}");
    let mut endpoints = Endpoints::new(3, pacing, 1, 0.0);
    let times: Vec<f64> = (0..6).map(|_| endpoints.next_call_at(0.0)).collect();
    assert_eq!(times, [0.0, 0.0, 2.0, 4.0, 6.0, 8.0], "a burst of two, then one every two seconds");
}
