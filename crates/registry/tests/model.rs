//! The sync machine against a model of a registry: random histories of writes, transactions, deletions,
//! compactions, cuts, lags, leader changes, repeated messages and crashes of the client. Answers pass through
//! the wire's form.

use std::collections::{BTreeMap, VecDeque};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use proptest::prelude::*;
use registry::wire::{self, Range};
use registry::{snapshot, Action, Endpoints, Input, Notice, Pacing, RegistrySync, SyncConfig, View};
use serde_json::json;

const PREFIX: &[u8] = b"/f/";
const ENDPOINTS: usize = 3;
/// Keys in a page of the model, far fewer than are asked for: a registry may give less.
const PAGE: usize = 2;

type Keys = BTreeMap<Vec<u8>, (u64, Vec<u8>)>;
/// Changes of one revision: a key and its value, or none where it was deleted.
type Step = Vec<(Vec<u8>, Option<Vec<u8>>)>;
/// Changes with the revision of each.
type Parts = Vec<Part>;
type Part = (u64, (Vec<u8>, Option<Vec<u8>>));

#[derive(Clone, Default)]
struct Registry {
    cluster: u64,
    /// The steps from revision 2 on, as etcd counts.
    steps: Vec<Step>,
    compacted: u64,
}

impl Registry {
    fn revision(&self) -> u64 {
        self.steps.len() as u64 + 1
    }

    fn at(&self, revision: u64) -> Keys {
        let mut keys = Keys::new();
        for (n, step) in self.steps.iter().enumerate().take(revision.saturating_sub(1) as usize) {
            for (key, value) in step {
                match value {
                    Some(value) => drop(keys.insert(key.clone(), (n as u64 + 2, value.clone()))),
                    None => drop(keys.remove(key)),
                }
            }
        }
        keys
    }

    /// Writes; a deletion of what is not there is no change.
    fn write(&mut self, step: Step) {
        let mut keys = self.at(self.revision());
        let mut real = Step::new();
        for (key, value) in step {
            let known = keys.remove(&key).is_some();
            if value.is_some() || known {
                keys.extend(value.clone().map(|value| (key.clone(), (0, value))));
                real.push((key, value));
            }
        }
        if !real.is_empty() {
            self.steps.push(real);
        }
    }
}

#[derive(Clone, Debug)]
enum Move {
    Write(Vec<(u8, Option<u8>)>),
    Compact,
    Cut(u8),
    Heal(u8),
    Lag(u8, u8),
    Leader,
    /// Tokens given so far are no longer valid.
    Expire,
    /// So many messages reach the client.
    Deliver(u8),
    /// A message of before comes once more.
    Again,
    Pass(u16),
    Crash,
}

fn moves() -> impl Strategy<Value = Move> {
    let change = (0u8..6, prop::option::weighted(0.7, any::<u8>()));
    prop_oneof![
        6 => prop::collection::vec(change, 1..4).prop_map(Move::Write),
        1 => Just(Move::Compact),
        1 => (0u8..3).prop_map(Move::Cut),
        2 => (0u8..3).prop_map(Move::Heal),
        1 => (0u8..3, 0u8..6).prop_map(|(n, by)| Move::Lag(n, by)),
        1 => Just(Move::Leader),
        1 => Just(Move::Expire),
        8 => (1u8..6).prop_map(Move::Deliver),
        1 => Just(Move::Again),
        3 => (0u16..8_000).prop_map(Move::Pass),
        1 => Just(Move::Crash),
    ]
}

/// What an endpoint does for the client at present.
enum Serving {
    Login,
    Read(Range),
    /// Told up to this revision; whether the beginning was told.
    Watch {
        next: u64,
        created: bool,
        fragments: VecDeque<Vec<u8>>,
    },
}

struct World {
    registry: Registry,
    /// The token that is valid.
    token: u64,
    cut: [bool; ENDPOINTS],
    lag: [u64; ENDPOINTS],
    sync: RegistrySync,
    now: f64,
    serving: Option<(u64, usize, Serving)>,
    /// The last messages of watches that were whole, the newest last.
    last: VecDeque<Vec<u8>>,
    highest: u64,
    changes: u64,
    /// Whether what the client saw was undone by a restore: then its view is of no revision that there is.
    restored: bool,
}

fn guard() -> SyncConfig {
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
            cut: [false; ENDPOINTS],
            lag: [0; ENDPOINTS],
            sync: RegistrySync::new(PREFIX.to_vec(), endpoints(1, 0.0), guard(), View::default()),
            now: 0.0,
            serving: None,
            last: VecDeque::new(),
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

    /// What an endpoint knows of: one that lags, less.
    fn revision(&self, endpoint: usize) -> u64 {
        self.registry.revision().saturating_sub(self.lag[endpoint]).max(1).max(self.registry.compacted)
    }

    /// The next message reaches the client, if there is one.
    fn deliver(&mut self) {
        let Some((call, endpoint, serving)) = self.serving.take() else { return };
        if self.cut[endpoint] {
            // Says nothing and never ends.
            self.serving = Some((call, endpoint, serving));
            return;
        }
        let seen = self.revision(endpoint);
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
                let words = r#","canceled":true,"cancel_reason":"etcdserver: invalid auth token""#;
                let line = self.line(seen, &[], false, words);
                self.input(Input::WatchMessage(call, wire::parse_watch_message(&line)));
            }
            Serving::Read(range) => {
                // Only what an endpoint may answer by itself can be behind.
                let present = if range.serializable { seen } else { self.registry.revision() };
                let body = self.page(&range, present);
                self.input(Input::Page(call, wire::parse_page(body.as_bytes())));
            }
            Serving::Watch { mut next, mut created, mut fragments } => {
                let line = if !created {
                    created = true;
                    let gone = next <= self.registry.compacted;
                    let compacted = if gone { self.registry.compacted } else { 0 };
                    Some(self.line(
                        seen,
                        &[],
                        false,
                        &format!(r#","created":true,"canceled":{gone},"compact_revision":"{compacted}""#),
                    ))
                } else if let Some(rest) = fragments.pop_front() {
                    Some(rest)
                } else if next <= seen {
                    let step: Vec<Step> = self.registry.steps[next as usize - 2..=seen as usize - 2].to_vec();
                    let mut parts: Parts = Vec::new();
                    for (n, step) in step.into_iter().enumerate() {
                        parts.extend(step.into_iter().map(|change| (next + n as u64, change)));
                    }
                    next = seen + 1;
                    // One change a fragment: the last one says that the message is whole.
                    let count = parts.len();
                    let lines =
                        parts.chunks(1).enumerate().map(|(n, part)| self.line(seen, part, n + 1 < count, ""));
                    fragments = lines.collect();
                    fragments.pop_front()
                } else {
                    Some(self.line(seen, &[], false, ""))
                        .filter(|_| seen.is_multiple_of(3) && next == seen + 1)
                };
                self.serving = Some((call, endpoint, Serving::Watch { next, created, fragments }));
                if let Some(line) = line {
                    // Only whole ones come again: half of one would make up a revision that never was.
                    if !String::from_utf8_lossy(&line).contains("fragment") {
                        self.last.push_back(line.clone());
                        self.last.drain(..self.last.len().saturating_sub(4));
                    }
                    self.input(Input::WatchMessage(call, wire::parse_watch_message(&line)));
                }
            }
        }
    }

    fn page(&self, range: &Range, present: u64) -> String {
        let revision = if range.revision == 0 { present } else { range.revision };
        if revision < self.registry.compacted {
            return r#"{"error":"etcdserver: mvcc: required revision has been compacted","code":11,"message":"etcdserver: mvcc: required revision has been compacted"}"#.into();
        }
        if revision > present {
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
        let header =
            json!({"cluster_id": self.registry.cluster.to_string(), "revision": present.to_string()});
        json!({"header": header, "kvs": kvs, "more": found.len() > PAGE, "count": found.len().to_string()})
            .to_string()
    }

    fn line(&self, seen: u64, parts: &[Part], more: bool, rest: &str) -> Vec<u8> {
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
        format!(r#"{{"result":{{"header":{{"cluster_id":"{cluster}","revision":"{seen}"}}{rest}{fragment},"events":{events}}}}}"#)
            .into_bytes()
    }

    fn act(&mut self, what: &Move) {
        match what {
            Move::Write(changes) => {
                let key = |key: &u8| [PREFIX, &[b'a' + key]].concat();
                let step =
                    changes.iter().map(|(k, value)| (key(k), value.map(|value| vec![value]))).collect();
                self.registry.write(step);
            }
            Move::Compact => {
                let most = (0..ENDPOINTS).map(|n| self.registry.revision().saturating_sub(self.lag[n])).min();
                self.registry.compacted = self.registry.compacted.max(most.unwrap_or(0).max(1) - 1);
            }
            Move::Cut(n) => self.cut[usize::from(*n)] = true,
            Move::Heal(n) => (self.cut[usize::from(*n)], self.lag[usize::from(*n)]) = (false, 0),
            Move::Lag(n, by) => self.lag[usize::from(*n)] = u64::from(*by),
            Move::Leader => {
                if let Some((call, _, Serving::Watch { .. })) = &self.serving {
                    let (call, line) =
                        (*call, self.line(1, &[], false, r#","canceled":true,"cancel_reason":"no leader""#));
                    self.input(Input::WatchMessage(call, wire::parse_watch_message(&line)));
                }
            }
            Move::Expire => self.token += 1,
            Move::Deliver(count) => (0..*count).for_each(|_| self.deliver()),
            Move::Again => {
                let open = match &self.serving {
                    Some((call, _, Serving::Watch { created: true, fragments, .. }))
                        if fragments.is_empty() =>
                    {
                        *call
                    }
                    _ => return,
                };
                if let Some(line) = self.last.front().cloned() {
                    self.input(Input::WatchMessage(open, wire::parse_watch_message(&line)));
                }
            }
            Move::Pass(ms) => self.pass(f64::from(*ms) / 1000.0),
            Move::Crash => {
                // As it comes back from the disk.
                let prefix = std::str::from_utf8(PREFIX).unwrap();
                let view = snapshot::decode(prefix, &snapshot::encode(prefix, self.sync.view())).unwrap();
                assert_eq!(&view, self.sync.view());
                self.serving = None;
                self.sync =
                    RegistrySync::new(PREFIX.to_vec(), endpoints(self.changes, self.now), guard(), view);
                self.input(Input::Start);
            }
        }
    }

    fn pass(&mut self, seconds: f64) {
        self.now += seconds;
        self.input(Input::Time);
    }

    fn look(&mut self) {
        let view = self.sync.view();
        assert!(
            view.revision >= self.highest || self.restored,
            "from {} back to {}",
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

    /// All endpoints are well and time passes: the view must come to equal the registry's.
    fn settle(&mut self) {
        (self.cut, self.lag) = ([false; ENDPOINTS], [0; ENDPOINTS]);
        for _ in 0..80 {
            (0..30).for_each(|_| self.deliver());
            self.look();
            self.pass(0.7);
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
    fn the_view_is_always_the_registrys_at_some_revision_and_never_steps_back(moves in prop::collection::vec(moves(), 1..60)) {
        let mut world = World::new();
        for what in &moves {
            world.act(what);
            world.look();
        }
        world.settle();
    }
}

fn written(count: u8) -> World {
    let mut world = World::new();
    for key in 0..count {
        world.act(&Move::Write(vec![(key, Some(1))]));
    }
    world.act(&Move::Deliver(40));
    world.look();
    assert_eq!(world.sync.view().len(), usize::from(count));
    world
}

#[test]
fn deletions_in_a_gap_that_was_compacted_away_are_seen() {
    let mut world = written(6);
    world.cut = [true; ENDPOINTS];
    world.act(&Move::Write(vec![(2, None)]));
    world.act(&Move::Write(vec![(3, None)]));
    world.act(&Move::Write(vec![(3, Some(9))]));
    world.act(&Move::Compact);
    world.act(&Move::Pass(31_000));
    world.settle();
    assert!(world.sync.view().get(b"/f/c").is_none());
    assert_eq!(world.sync.view().get(b"/f/d").unwrap().value, [9]);
}

#[test]
fn a_list_that_vanishes_at_once_is_asked_about_again_and_one_that_goes_key_by_key_is_not() {
    let mut world = written(6);
    world.act(&Move::Write((0..6).map(|key| (key, None)).collect()));
    world.act(&Move::Deliver(10));
    assert_eq!(world.sync.view().len(), 6, "not believed yet");
    world.settle();
    assert_eq!(world.sync.view().len(), 0, "still so after a while");
    let mut world = written(6);
    for key in 0..6 {
        world.act(&Move::Write(vec![(key, None)]));
        world.act(&Move::Deliver(1));
        assert_eq!(world.sync.view().len(), 5 - usize::from(key), "taken at once");
    }
}

#[test]
fn a_registry_back_from_a_copy_is_believed_only_after_a_while() {
    let mut world = written(6);
    let kept = world.registry.clone();
    for value in 0..5 {
        world.act(&Move::Write(vec![(0, Some(value))]));
    }
    world.act(&Move::Deliver(10));
    let before = world.sync.view().clone();
    (world.registry, world.serving, world.restored) = (kept, None, true);
    world.act(&Move::Pass(31_000));
    (0..5).for_each(|_| world.deliver());
    assert_eq!(world.sync.view(), &before);
    world.settle();
    assert_eq!(world.sync.view().revision, world.registry.revision());
}

#[test]
fn a_burst_of_a_thousand_changes_is_applied_once_each() {
    let mut world = written(6);
    for n in 0..1_000u32 {
        world.act(&Move::Write(vec![((n % 6) as u8, Some((n % 251) as u8))]));
    }
    for _ in 0..1_100 {
        world.deliver();
        world.act(&Move::Again);
    }
    world.look();
    assert_eq!(world.sync.view().revision, world.registry.revision());
}

#[test]
fn silence_of_all_endpoints_leaves_the_view_and_brings_calls_that_thin_out() {
    let mut world = written(4);
    let before = world.sync.view().clone();
    world.cut = [true; ENDPOINTS];
    let mut calls = 0;
    for _ in 0..600 {
        let number = world.serving.as_ref().map(|(call, ..)| *call);
        world.pass(0.1);
        calls +=
            u32::from(world.serving.as_ref().map(|(call, ..)| *call) != number && world.serving.is_some());
    }
    assert_eq!(world.sync.view(), &before);
    // A minute of it: the watch is given up at 30 s, then a call each 5 s and its back-off.
    assert!((2..=10).contains(&calls), "{calls}");
    let mut out = Vec::new();
    world.sync.handle(world.now, Input::Disconnected(u64::MAX), &mut out);
    assert_eq!(out, [], "an end of something else is nothing");
    assert!(!out.contains(&Action::Notice(Notice::Following(0))));
}
