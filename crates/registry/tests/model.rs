//! The sync state machine against a model of a registry, with random sequences of writes, transactions,
//! deletions, compactions, partitions, lags, leader changes, repeated messages and client crashes. Responses
//! pass through the wire format.

use std::collections::{BTreeMap, VecDeque};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use proptest::prelude::*;
use registry::wire::{self, Range};
use registry::{snapshot, Action, Endpoints, Input, Notice, Pacing, RegistrySync, SyncConfig, View};
use serde_json::json;

const PREFIX: &[u8] = b"/f/";
const ENDPOINTS: usize = 3;
/// Keys per page in the model, far fewer than requested: a registry may return fewer.
const PAGE: usize = 2;

type Keys = BTreeMap<Vec<u8>, (u64, Vec<u8>)>;
/// Changes of one revision: a key and its value, or none if it was deleted.
type RevisionChanges = Vec<(Vec<u8>, Option<Vec<u8>>)>;
/// Changes, each with its revision.
type Changes = Vec<Change>;
type Change = (u64, (Vec<u8>, Option<Vec<u8>>));

#[derive(Clone, Default)]
struct Registry {
    cluster: u64,
    /// The changes of each revision from 2 on, as etcd counts.
    revisions: Vec<RevisionChanges>,
    compacted: u64,
}

impl Registry {
    fn revision(&self) -> u64 {
        self.revisions.len() as u64 + 1
    }

    fn at(&self, revision: u64) -> Keys {
        let mut keys = Keys::new();
        for (n, changes) in self.revisions.iter().enumerate().take(revision.saturating_sub(1) as usize) {
            for (key, value) in changes {
                match value {
                    Some(value) => drop(keys.insert(key.clone(), (n as u64 + 2, value.clone()))),
                    None => drop(keys.remove(key)),
                }
            }
        }
        keys
    }

    /// Writes; the deletion of a missing key is no change.
    fn write(&mut self, changes: RevisionChanges) {
        let mut keys = self.at(self.revision());
        let mut effective = RevisionChanges::new();
        for (key, value) in changes {
            let known = keys.remove(&key).is_some();
            if value.is_some() || known {
                keys.extend(value.clone().map(|value| (key.clone(), (0, value))));
                effective.push((key, value));
            }
        }
        if !effective.is_empty() {
            self.revisions.push(effective);
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Write(Vec<(u8, Option<u8>)>),
    Compact,
    Block(u8),
    Heal(u8),
    Lag(u8, u8),
    LeaderChange,
    /// Invalidates all tokens issued so far.
    ExpireTokens,
    /// Delivers this many messages to the client.
    Deliver(u8),
    /// Repeats an earlier message.
    Repeat,
    Advance(u16),
    Crash,
}

fn events() -> impl Strategy<Value = Event> {
    let change = (0u8..6, prop::option::weighted(0.7, any::<u8>()));
    prop_oneof![
        6 => prop::collection::vec(change, 1..4).prop_map(Event::Write),
        1 => Just(Event::Compact),
        1 => (0u8..3).prop_map(Event::Block),
        2 => (0u8..3).prop_map(Event::Heal),
        1 => (0u8..3, 0u8..6).prop_map(|(n, by)| Event::Lag(n, by)),
        1 => Just(Event::LeaderChange),
        1 => Just(Event::ExpireTokens),
        8 => (1u8..6).prop_map(Event::Deliver),
        1 => Just(Event::Repeat),
        3 => (0u16..8_000).prop_map(Event::Advance),
        1 => Just(Event::Crash),
    ]
}

/// The request that an endpoint is serving.
enum Serving {
    Login,
    Read(Range),
    /// Changes up to this revision were sent; whether the watch was confirmed.
    Watch {
        next: u64,
        created: bool,
        fragments: VecDeque<Vec<u8>>,
    },
}

struct World {
    registry: Registry,
    /// The valid token.
    token: u64,
    blocked: [bool; ENDPOINTS],
    lag: [u64; ENDPOINTS],
    sync: RegistrySync,
    now: f64,
    serving: Option<(u64, usize, Serving)>,
    /// The last complete watch messages, the newest last.
    recent_messages: VecDeque<Vec<u8>>,
    highest: u64,
    changes: u64,
    /// Whether a restore has undone what the client saw: its view then equals no revision of the registry.
    restored: bool,
}

fn config() -> SyncConfig {
    SyncConfig { confirm_after: 1.0, min_keys: 4, serializable: true, login: true, ..SyncConfig::default() }
}

fn endpoints(seed: u64, now: f64) -> Endpoints {
    Endpoints::new(ENDPOINTS, Pacing { rate: 50.0, max_delay: 2.0, ..Pacing::default() }, seed, now)
}

impl World {
    fn new() -> World {
        let mut world = World {
            registry: Registry { cluster: 7, ..Registry::default() },
            token: 0,
            blocked: [false; ENDPOINTS],
            lag: [0; ENDPOINTS],
            sync: RegistrySync::new(PREFIX.to_vec(), endpoints(1, 0.0), config(), View::default()),
            now: 0.0,
            serving: None,
            recent_messages: VecDeque::new(),
            highest: 0,
            changes: 0,
            restored: false,
        };
        world.input(Input::Start);
        world
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.sync.handle(self.now, input, &mut out);
        for action in out {
            match action {
                Action::Login(call, endpoint) => self.serving = Some((call, endpoint, Serving::Login)),
                Action::Read(call, endpoint, range) => {
                    self.serving = Some((call, endpoint, Serving::Read(range)))
                }
                Action::Watch(call, endpoint, next) => {
                    let watch = Serving::Watch { next, created: false, fragments: VecDeque::new() };
                    self.serving = Some((call, endpoint, watch));
                }
                Action::Close(call) => {
                    if self.serving.as_ref().is_some_and(|(own, ..)| *own == call) {
                        self.serving = None;
                    }
                }
                Action::Changed(_) => self.changes += 1,
                Action::Notice(_) => {}
            }
        }
    }

    /// The latest revision that an endpoint has; an endpoint that lags has fewer.
    fn revision(&self, endpoint: usize) -> u64 {
        self.registry.revision().saturating_sub(self.lag[endpoint]).max(1).max(self.registry.compacted)
    }

    /// Delivers the next message to the client, if there is one.
    fn deliver(&mut self) {
        let Some((call, endpoint, serving)) = self.serving.take() else { return };
        if self.blocked[endpoint] {
            // A blocked endpoint sends nothing and does not close the connection.
            self.serving = Some((call, endpoint, serving));
            return;
        }
        let known_revision = self.revision(endpoint);
        let valid = self.sync.token() == Some(&self.token.to_string());
        match serving {
            Serving::Login => {
                let body = json!({"token": self.token.to_string()}).to_string();
                self.input(Input::Token(call, wire::parse_token(body.as_bytes())));
            }
            Serving::Read(_) if !valid => {
                let body = br#"{"code":16,"message":"etcdserver: invalid auth token"}"#;
                self.input(Input::Page(call, wire::parse_page(body)));
            }
            Serving::Watch { .. } if !valid => {
                let fields = r#","canceled":true,"cancel_reason":"etcdserver: invalid auth token""#;
                let line = self.line(known_revision, &[], false, fields);
                self.input(Input::WatchMessage(call, wire::parse_watch_message(&line)));
            }
            Serving::Read(range) => {
                // Only serializable reads may be behind.
                let current_revision =
                    if range.serializable { known_revision } else { self.registry.revision() };
                let body = self.page(&range, current_revision);
                self.input(Input::Page(call, wire::parse_page(body.as_bytes())));
            }
            Serving::Watch { mut next, mut created, mut fragments } => {
                let line = if !created {
                    created = true;
                    let compacted_away = next <= self.registry.compacted;
                    let compacted = if compacted_away { self.registry.compacted } else { 0 };
                    Some(self.line(
                        known_revision,
                        &[],
                        false,
                        &format!(
                            r#","created":true,"canceled":{compacted_away},"compact_revision":"{compacted}""#
                        ),
                    ))
                } else if let Some(fragment) = fragments.pop_front() {
                    Some(fragment)
                } else if next <= known_revision {
                    let revisions: Vec<RevisionChanges> =
                        self.registry.revisions[next as usize - 2..=known_revision as usize - 2].to_vec();
                    let mut parts: Changes = Vec::new();
                    for (n, changes) in revisions.into_iter().enumerate() {
                        parts.extend(changes.into_iter().map(|change| (next + n as u64, change)));
                    }
                    next = known_revision + 1;
                    // One change per fragment; the last fragment completes the message.
                    let count = parts.len();
                    let lines = parts
                        .chunks(1)
                        .enumerate()
                        .map(|(n, part)| self.line(known_revision, part, n + 1 < count, ""));
                    fragments = lines.collect();
                    fragments.pop_front()
                } else {
                    Some(self.line(known_revision, &[], false, ""))
                        .filter(|_| known_revision.is_multiple_of(3) && next == known_revision + 1)
                };
                self.serving = Some((call, endpoint, Serving::Watch { next, created, fragments }));
                if let Some(line) = line {
                    // Only complete messages are repeated: part of one would make up a revision that never
                    // existed.
                    if !String::from_utf8_lossy(&line).contains("fragment") {
                        self.recent_messages.push_back(line.clone());
                        self.recent_messages.drain(..self.recent_messages.len().saturating_sub(4));
                    }
                    self.input(Input::WatchMessage(call, wire::parse_watch_message(&line)));
                }
            }
        }
    }

    fn page(&self, range: &Range, current_revision: u64) -> String {
        let revision = if range.revision == 0 { current_revision } else { range.revision };
        if revision < self.registry.compacted {
            return r#"{"error":"etcdserver: mvcc: required revision has been compacted","code":11,"message":"etcdserver: mvcc: required revision has been compacted"}"#.into();
        }
        if revision > current_revision {
            return r#"{"code":11,"message":"etcdserver: mvcc: required revision is a future revision"}"#
                .into();
        }
        let keys = self.registry.at(revision);
        let found: Vec<_> = keys.range(range.from.clone()..range.to.clone()).collect();
        let kvs: Vec<_> = found
            .iter()
            .take(PAGE)
            .map(|(key, (revision, value))| {
                json!({"key": STANDARD.encode(key), "value": STANDARD.encode(value), "mod_revision": revision.to_string()})
            })
            .collect();
        let header = json!({"cluster_id": self.registry.cluster.to_string(), "revision": current_revision.to_string()});
        json!({"header": header, "kvs": kvs, "more": found.len() > PAGE, "count": found.len().to_string()})
            .to_string()
    }

    fn line(&self, known_revision: u64, parts: &[Change], more: bool, fields: &str) -> Vec<u8> {
        let events: Vec<_> = parts
            .iter()
            .map(|(revision, (key, value))| {
                let kv = json!({"key": STANDARD.encode(key), "mod_revision": revision.to_string(),
                    "value": STANDARD.encode(value.clone().unwrap_or_default())});
                match value {
                    Some(_) => json!({ "kv": kv }),
                    None => json!({"type": "DELETE", "kv": kv}),
                }
            })
            .collect();
        let (cluster, events) = (self.registry.cluster, serde_json::to_string(&events).unwrap());
        let fragment = if more { r#","fragment":true"# } else { "" };
        format!(r#"{{"result":{{"header":{{"cluster_id":"{cluster}","revision":"{known_revision}"}}{fields}{fragment},"events":{events}}}}}"#)
            .into_bytes()
    }

    fn apply_event(&mut self, event: &Event) {
        match event {
            Event::Write(changes) => {
                let key = |key: &u8| [PREFIX, &[b'a' + key]].concat();
                let changes =
                    changes.iter().map(|(k, value)| (key(k), value.map(|value| vec![value]))).collect();
                self.registry.write(changes);
            }
            Event::Compact => {
                let min_revision =
                    (0..ENDPOINTS).map(|n| self.registry.revision().saturating_sub(self.lag[n])).min();
                self.registry.compacted = self.registry.compacted.max(min_revision.unwrap_or(0).max(1) - 1);
            }
            Event::Block(n) => self.blocked[usize::from(*n)] = true,
            Event::Heal(n) => (self.blocked[usize::from(*n)], self.lag[usize::from(*n)]) = (false, 0),
            Event::Lag(n, by) => self.lag[usize::from(*n)] = u64::from(*by),
            Event::LeaderChange => {
                if let Some((call, _, Serving::Watch { .. })) = &self.serving {
                    let (call, line) =
                        (*call, self.line(1, &[], false, r#","canceled":true,"cancel_reason":"no leader""#));
                    self.input(Input::WatchMessage(call, wire::parse_watch_message(&line)));
                }
            }
            Event::ExpireTokens => self.token += 1,
            Event::Deliver(count) => (0..*count).for_each(|_| self.deliver()),
            Event::Repeat => {
                let open = match &self.serving {
                    Some((call, _, Serving::Watch { created: true, fragments, .. }))
                        if fragments.is_empty() =>
                    {
                        *call
                    }
                    _ => return,
                };
                if let Some(line) = self.recent_messages.front().cloned() {
                    self.input(Input::WatchMessage(open, wire::parse_watch_message(&line)));
                }
            }
            Event::Advance(ms) => self.advance(f64::from(*ms) / 1000.0),
            Event::Crash => {
                // Restarts from the stored snapshot.
                let prefix = std::str::from_utf8(PREFIX).unwrap();
                let view = snapshot::decode(prefix, &snapshot::encode(prefix, self.sync.view())).unwrap();
                assert_eq!(&view, self.sync.view());
                self.serving = None;
                self.sync =
                    RegistrySync::new(PREFIX.to_vec(), endpoints(self.changes, self.now), config(), view);
                self.input(Input::Start);
            }
        }
    }

    fn advance(&mut self, seconds: f64) {
        self.now += seconds;
        self.input(Input::Time);
    }

    fn check_view(&mut self) {
        let view = self.sync.view();
        assert!(
            view.revision >= self.highest || self.restored,
            "revision went back from {} to {}",
            self.highest,
            view.revision
        );
        self.highest = view.revision;
        if view.revision > 0 && !self.restored {
            let keys: Keys =
                view.with_prefix(PREFIX).map(|(k, e)| (k.clone(), (e.revision, e.value.clone()))).collect();
            assert_eq!(keys, self.registry.at(view.revision), "the view of revision {}", view.revision);
        }
    }

    /// With all endpoints available, the view must become equal to the registry's.
    fn converge(&mut self) {
        (self.blocked, self.lag) = ([false; ENDPOINTS], [0; ENDPOINTS]);
        for _ in 0..80 {
            (0..30).for_each(|_| self.deliver());
            self.check_view();
            self.advance(0.7);
        }
        let view = self.sync.view();
        let keys: Keys =
            view.with_prefix(PREFIX).map(|(k, e)| (k.clone(), (e.revision, e.value.clone()))).collect();
        assert_eq!(keys, self.registry.at(self.registry.revision()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn the_view_always_equals_some_revision_of_the_registry_and_never_goes_back(events in prop::collection::vec(events(), 1..60)) {
        let mut world = World::new();
        for event in &events {
            world.apply_event(event);
            world.check_view();
        }
        world.converge();
    }
}

fn world_with_keys(count: u8) -> World {
    let mut world = World::new();
    for key in 0..count {
        world.apply_event(&Event::Write(vec![(key, Some(1))]));
    }
    world.apply_event(&Event::Deliver(40));
    world.check_view();
    assert_eq!(world.sync.view().len(), usize::from(count));
    world
}

#[test]
fn deletions_in_a_compacted_gap_are_applied() {
    let mut world = world_with_keys(6);
    world.blocked = [true; ENDPOINTS];
    world.apply_event(&Event::Write(vec![(2, None)]));
    world.apply_event(&Event::Write(vec![(3, None)]));
    world.apply_event(&Event::Write(vec![(3, Some(9))]));
    world.apply_event(&Event::Compact);
    world.apply_event(&Event::Advance(31_000));
    world.converge();
    assert!(world.sync.view().get(b"/f/c").is_none());
    assert_eq!(world.sync.view().get(b"/f/d").unwrap().value, [9]);
}

#[test]
fn removal_of_all_keys_at_once_requires_confirmation_and_removal_one_by_one_does_not() {
    let mut world = world_with_keys(6);
    world.apply_event(&Event::Write((0..6).map(|key| (key, None)).collect()));
    world.apply_event(&Event::Deliver(10));
    assert_eq!(world.sync.view().len(), 6, "not confirmed yet");
    world.converge();
    assert_eq!(world.sync.view().len(), 0, "confirmed");
    let mut world = world_with_keys(6);
    for key in 0..6 {
        world.apply_event(&Event::Write(vec![(key, None)]));
        world.apply_event(&Event::Deliver(1));
        assert_eq!(world.sync.view().len(), 5 - usize::from(key), "applied immediately");
    }
}

#[test]
fn a_registry_restored_from_a_backup_is_accepted_only_after_confirmation() {
    let mut world = world_with_keys(6);
    let backup = world.registry.clone();
    for value in 0..5 {
        world.apply_event(&Event::Write(vec![(0, Some(value))]));
    }
    world.apply_event(&Event::Deliver(10));
    let previous = world.sync.view().clone();
    (world.registry, world.serving, world.restored) = (backup, None, true);
    world.apply_event(&Event::Advance(31_000));
    (0..5).for_each(|_| world.deliver());
    assert_eq!(world.sync.view(), &previous);
    world.converge();
    assert_eq!(world.sync.view().revision, world.registry.revision());
}

#[test]
fn each_change_of_a_burst_is_applied_once() {
    let mut world = world_with_keys(6);
    for n in 0..1_000u32 {
        world.apply_event(&Event::Write(vec![((n % 6) as u8, Some((n % 251) as u8))]));
    }
    for _ in 0..1_100 {
        world.deliver();
        world.apply_event(&Event::Repeat);
    }
    world.check_view();
    assert_eq!(world.sync.view().revision, world.registry.revision());
}

#[test]
fn unreachable_endpoints_keep_the_view_and_are_called_with_backoff() {
    let mut world = world_with_keys(4);
    let previous = world.sync.view().clone();
    world.blocked = [true; ENDPOINTS];
    let mut calls = 0;
    for _ in 0..600 {
        let number = world.serving.as_ref().map(|(call, ..)| *call);
        world.advance(0.1);
        calls +=
            u32::from(world.serving.as_ref().map(|(call, ..)| *call) != number && world.serving.is_some());
    }
    assert_eq!(world.sync.view(), &previous);
    // Within a minute: the watch fails after 30 s, then a call every 5 s plus backoff.
    assert!((2..=10).contains(&calls), "{calls}");
    let mut out = Vec::new();
    world.sync.handle(world.now, Input::Disconnected(u64::MAX), &mut out);
    assert_eq!(out, [], "events of other calls are ignored");
    assert!(!out.contains(&Action::Notice(Notice::Following(0))));
}
