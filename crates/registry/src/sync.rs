//! Keeps a view of all keys under a prefix that equals the registry's at some revision. Changes are applied once,
//! in order, and all of a revision together; the view never steps back.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::endpoints::Endpoints;
use crate::wire::{needs_new_token, prefix_end, Change, Kind, Page, Range, Refusal, Revision, WatchMessage};

/// Keys asked for in one page.
const PAGE: u64 = 1_000;
/// Most keys, and most bytes of keys and values, that a view may hold. Guards the memory of the process.
pub(crate) const MAX_KEYS: usize = 100_000;
pub(crate) const MAX_BYTES: usize = 64 * 1024 * 1024;
/// Most changes of a message in fragments that are held until it is whole.
const MOST_HELD: usize = 200_000;

/// One key of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The revision that wrote it.
    pub revision: Revision,
    /// What it holds.
    pub value: Vec<u8>,
}

/// All keys, as they were at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Which registry it is of; 0 before the first view.
    pub cluster: u64,
    /// As of this revision.
    pub revision: Revision,
    keys: BTreeMap<Vec<u8>, Entry>,
}

impl View {
    /// A view that was kept.
    pub fn restore(
        cluster: u64,
        revision: Revision,
        keys: impl IntoIterator<Item = (Vec<u8>, Entry)>,
    ) -> View {
        View { cluster, revision, keys: keys.into_iter().collect() }
    }

    /// The entry of a key.
    pub fn get(&self, key: &[u8]) -> Option<&Entry> {
        self.keys.get(key)
    }

    /// All keys that begin with a prefix, in their order.
    pub fn with_prefix(&self, prefix: &[u8]) -> impl Iterator<Item = (&Vec<u8>, &Entry)> {
        let end = prefix_end(prefix);
        let end = if end == [0] { Bound::Unbounded } else { Bound::Excluded(end) };
        self.keys.range::<Vec<u8>, _>((Bound::Included(prefix.to_vec()), end))
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn apply(&mut self, change: Change) {
        let Change { kind, kv } = change;
        match kind {
            Kind::Put => drop(self.keys.insert(kv.key, Entry { revision: kv.mod_revision, value: kv.value })),
            Kind::Delete => drop(self.keys.remove(&kv.key)),
        }
    }
}

/// When a list that has all but vanished, or a registry that is another or stands further back than it did, is
/// believed.
#[derive(Clone, Copy, Debug)]
pub struct SyncConfig {
    /// Share of the keys that may go in one step without being asked about again.
    pub max_removed_share: f64,
    /// A view of fewer keys than this may lose them all.
    pub min_keys: usize,
    /// Believed once it is still so after this long (seconds), from another endpoint where there is one.
    pub confirm_after: f64,
    /// A watch that says nothing for so long is dead (seconds): the registry tells of its progress meanwhile.
    pub watch_timeout: f64,
    /// A call that is not answered within this has failed (seconds).
    pub call_timeout: f64,
    /// Reads that an endpoint answers from what it has.
    pub serializable: bool,
    /// Whether a token is needed for all else.
    pub login: bool,
}

impl Default for SyncConfig {
    fn default() -> Self {
        SyncConfig {
            max_removed_share: 0.5,
            min_keys: 4,
            confirm_after: 5.0,
            watch_timeout: 30.0,
            call_timeout: 5.0,
            serializable: false,
            login: false,
        }
    }
}

/// How a call or a watch goes, as the driver tells it. Each carries the number of the call that it belongs to;
/// what belongs to an earlier one is not looked at.
#[derive(Clone, Debug)]
pub enum Input {
    /// Begin, or go on after a change of endpoints.
    Start,
    /// The answer to a range.
    Page(u64, Result<Page, Refusal>),
    /// The answer to a login.
    Token(u64, Result<String, Refusal>),
    /// This token was turned down, for a call that is not of this machine.
    TokenRejected(String),
    /// A message of a watch.
    WatchMessage(u64, Result<WatchMessage, Refusal>),
    /// The connection of a call or a watch has ended, or was never made.
    Disconnected(u64),
    /// Time has passed.
    Time,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call an endpoint for a range; tell its end under this number.
    Read(u64, usize, Range),
    /// Ask an endpoint for a token; tell its end under this number.
    Login(u64, usize),
    /// Watch at an endpoint, from a revision on; tell its messages under this number.
    Watch(u64, usize, Revision),
    /// End whatever this number belongs to.
    Close(u64),
    /// The view has changed: these keys of it, or it as a whole.
    Changed(Option<Vec<Vec<u8>>>),
    /// Tell the log.
    Notice(Notice),
}

/// What the log is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The registry cannot be followed; the last view holds.
    Lost(String),
    /// It is followed, as of a revision.
    Following(Revision),
    /// What was to be followed has been compacted away: a whole view is read.
    Compacted(Revision),
    /// An endpoint stands further back than what has been seen: nothing of it is taken.
    Stale(Revision),
    /// So many of so many keys would go at once: asked again before it is believed.
    Doubted(usize, usize),
}

/// What is asked for at present.
#[derive(Clone, Debug)]
enum Stage {
    /// Nothing, until then.
    Resting(f64),
    /// A token, since then.
    Entering { call: u64, since: f64 },
    /// A whole view, page by page.
    Reading { call: u64, since: f64, view: View, bytes: usize },
    /// Changes; heard of last at that time, with those of a message that is not whole.
    Watching { call: u64, heard: f64, created: bool, held: Vec<Change> },
}

/// A view that is not believed yet.
#[derive(Clone, Debug)]
struct Doubt {
    cluster: u64,
    /// The keys it has.
    keys: usize,
    revision: Revision,
    since: f64,
}

/// Follows the keys under a prefix.
pub struct RegistrySync {
    prefix: Vec<u8>,
    endpoints: Endpoints,
    guard: SyncConfig,
    view: View,
    stage: Stage,
    calls: u64,
    doubt: Option<Doubt>,
    /// Whether the next try reads a whole view, since the one held cannot be gone on from.
    afresh: bool,
    following: bool,
    token: Option<String>,
    /// Whether the token has been taken for a call: one that never was is not worth asking for again at once.
    proven: bool,
}

impl RegistrySync {
    /// Follows the keys under a prefix, from a view that was kept, or from none.
    pub fn new(prefix: Vec<u8>, endpoints: Endpoints, guard: SyncConfig, view: View) -> RegistrySync {
        let afresh = view.revision == 0;
        let stage = Stage::Resting(f64::NEG_INFINITY);
        RegistrySync {
            prefix,
            endpoints,
            guard,
            view,
            stage,
            calls: 0,
            doubt: None,
            afresh,
            following: false,
            token: None,
            proven: false,
        }
    }

    /// The view. Holds whatever the registry does.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Whether the registry is followed at present.
    pub fn is_following(&self) -> bool {
        self.following
    }

    /// The token that calls go with; none before one was given, or where none is needed.
    pub fn token(&self) -> Option<&str> {
        self.token.as_deref()
    }

    /// When time must be told next.
    pub fn next_due(&self) -> f64 {
        match &self.stage {
            Stage::Resting(until) => *until,
            Stage::Entering { since, .. } | Stage::Reading { since, .. } => since + self.guard.call_timeout,
            Stage::Watching { heard, created: false, .. } => heard + self.guard.call_timeout,
            Stage::Watching { heard, .. } => heard + self.guard.watch_timeout,
        }
    }

    /// Takes one input at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Start => self.begin(now, out),
            Input::Page(number, page) if self.is(number) => match page {
                Ok(page) => self.page(now, page, out),
                Err(refusal) => self.refused(now, refusal, out),
            },
            Input::Token(number, token) if self.is(number) => match token {
                Ok(token) => {
                    (self.token, self.proven) = (Some(token), false);
                    self.begin(now, out);
                }
                Err(refusal) => self.refused(now, refusal, out),
            },
            Input::TokenRejected(token) if self.token.as_ref() == Some(&token) => self.denied(now, out),
            Input::WatchMessage(number, told) if self.is(number) => match told {
                Ok(told) => self.told(now, told, out),
                Err(refusal) => self.refused(now, refusal, out),
            },
            Input::Disconnected(number) if self.is(number) => {
                self.failed(now, "the connection ended".into(), out)
            }
            Input::Time if now >= self.next_due() => match self.stage {
                Stage::Resting(_) => self.begin(now, out),
                _ => self.failed(now, "no answer in time".into(), out),
            },
            _ => {}
        }
    }

    /// Whether a number is that of what is asked for at present.
    fn is(&self, number: u64) -> bool {
        match &self.stage {
            Stage::Resting(_) => false,
            Stage::Entering { call, .. } | Stage::Reading { call, .. } | Stage::Watching { call, .. } => {
                *call == number
            }
        }
    }

    /// Asks for what is missing, once it may.
    fn begin(&mut self, now: f64, out: &mut Vec<Action>) {
        if let Stage::Resting(until) = self.stage {
            if now < until {
                return;
            }
        }
        self.close(out);
        self.calls += 1;
        if self.guard.login && self.token.is_none() {
            self.stage = Stage::Entering { call: self.calls, since: now };
            out.push(Action::Login(self.calls, self.endpoints.current()));
        } else if self.afresh || self.doubt.is_some() {
            self.stage = Stage::Reading { call: self.calls, since: now, view: View::default(), bytes: 0 };
            let range = self.range(self.prefix.clone(), 0);
            out.push(Action::Read(self.calls, self.endpoints.current(), range));
        } else {
            self.stage = Stage::Watching { call: self.calls, heard: now, created: false, held: Vec::new() };
            out.push(Action::Watch(self.calls, self.endpoints.current(), self.view.revision + 1));
        }
    }

    fn range(&self, from: Vec<u8>, revision: Revision) -> Range {
        // Doubts are not settled by what an endpoint has by itself.
        let serializable = self.guard.serializable && self.doubt.is_none();
        Range { from, to: prefix_end(&self.prefix), revision, limit: PAGE, serializable }
    }

    fn close(&mut self, out: &mut Vec<Action>) {
        if let Stage::Entering { call, .. } | Stage::Reading { call, .. } | Stage::Watching { call, .. } =
            &self.stage
        {
            out.push(Action::Close(*call));
        }
    }

    fn rest(&mut self, until: f64, out: &mut Vec<Action>) {
        self.close(out);
        self.stage = Stage::Resting(until);
    }

    fn failed(&mut self, now: f64, why: String, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.following) || self.view.revision == 0 {
            out.push(Action::Notice(Notice::Lost(why)));
        }
        self.endpoints.record_failure(now);
        let until = self.endpoints.next_call_at(now);
        self.rest(until, out);
    }

    fn refused(&mut self, now: f64, refusal: Refusal, out: &mut Vec<Action>) {
        match refusal {
            Refusal::Compacted => self.compacted(now, self.view.revision + 1, out),
            Refusal::Unauthenticated => self.denied(now, out),
            Refusal::Other(what) => self.failed(now, format!("turned down: {what}"), out),
            Refusal::Malformed(what) => self.failed(now, format!("not of the agreed form: {what}"), out),
        }
    }

    /// The token has run out: another is asked for, and what was under way goes on from where it was.
    fn denied(&mut self, now: f64, out: &mut Vec<Action>) {
        self.token = None;
        if !self.guard.login || !std::mem::take(&mut self.proven) {
            return self.failed(now, "no valid token".into(), out);
        }
        let until = self.endpoints.next_call_at(now);
        self.rest(until, out);
        self.begin(now, out);
    }

    /// What was asked for is gone: only a whole view shows what has been deleted meanwhile.
    fn compacted(&mut self, now: f64, revision: Revision, out: &mut Vec<Action>) {
        out.push(Action::Notice(Notice::Compacted(revision)));
        self.afresh = true;
        let until = self.endpoints.next_call_at(now);
        self.rest(until, out);
        self.begin(now, out);
    }

    fn page(&mut self, now: f64, page: Page, out: &mut Vec<Action>) {
        let Stage::Reading { view, bytes, since, call } = &mut self.stage else { return };
        self.proven = true;
        let first = view.revision == 0;
        if first {
            (view.cluster, view.revision) = (page.header.cluster_id, page.header.revision);
        } else if view.cluster != page.header.cluster_id {
            return self.failed(now, "another registry answered within a view".into(), out);
        }
        let (revision, last) = (view.revision, page.kvs.last().map(|kv| kv.key.clone()));
        *bytes += page.kvs.iter().map(|kv| kv.key.len() + kv.value.len()).sum::<usize>();
        for kv in page.kvs {
            view.keys.insert(kv.key, Entry { revision: kv.mod_revision, value: kv.value });
        }
        if view.len() > MAX_KEYS || *bytes > MAX_BYTES {
            return self.failed(now, format!("over {MAX_KEYS} keys or {MAX_BYTES} bytes"), out);
        }
        if revision == 0 {
            return self.failed(now, "an answer without a revision".into(), out);
        }
        match last.filter(|_| page.more) {
            Some(mut key) => {
                // The next key there can be.
                key.push(0);
                self.calls += 1;
                (*call, *since) = (self.calls, now);
                let range = self.range(key, revision);
                out.push(Action::Read(self.calls, self.endpoints.current(), range));
            }
            None => {
                let view = std::mem::take(view);
                self.whole(now, view, out);
            }
        }
    }

    /// A whole view has been read.
    fn whole(&mut self, now: f64, view: View, out: &mut Vec<Action>) {
        let same = view.cluster == self.view.cluster || self.view.revision == 0;
        let back = view.revision < self.view.revision;
        let gone = self.view.keys.keys().filter(|key| !view.keys.contains_key(*key)).count();
        if same && back && self.guard.serializable && self.doubt.is_none() {
            // One endpoint may simply lag; another is asked, in a way that no endpoint answers by itself.
            out.push(Action::Notice(Notice::Stale(view.revision)));
        }
        if !same || back || self.doubtful(gone) {
            return self.weigh(now, view, gone, out);
        }
        self.adopt(now, view, out);
    }

    /// Whether so many keys at once are too many to believe it at first.
    fn doubtful(&self, gone: usize) -> bool {
        self.view.len() >= self.guard.min_keys
            && gone as f64 > self.guard.max_removed_share * self.view.len() as f64
    }

    /// Believes a view that is hard to believe only once it is still so after a while.
    fn weigh(&mut self, now: f64, view: View, gone: usize, out: &mut Vec<Action>) {
        let found = Doubt { cluster: view.cluster, keys: view.len(), revision: view.revision, since: now };
        let confirmed = self.doubt.as_ref().filter(|doubt| {
            doubt.cluster == found.cluster
                && found.revision >= doubt.revision
                && found.keys <= doubt.keys.max(1) * 2
        });
        match confirmed.map(|doubt| doubt.since) {
            Some(since) if now >= since + self.guard.confirm_after => return self.adopt(now, view, out),
            Some(_) => {}
            None => {
                out.push(Action::Notice(Notice::Doubted(gone, self.view.len())));
                self.doubt = Some(found);
            }
        }
        self.endpoints.use_next();
        let since = self.doubt.as_ref().map_or(now, |doubt| doubt.since);
        let until = self
            .endpoints
            .next_call_at(now)
            .max(now + self.guard.confirm_after / 4.0)
            .max((since + self.guard.confirm_after).min(now + self.guard.confirm_after));
        self.rest(until, out);
    }

    /// The view holds from now on, and is followed.
    fn adopt(&mut self, now: f64, view: View, out: &mut Vec<Action>) {
        (self.doubt, self.afresh) = (None, false);
        let changed = self.view.keys != view.keys || self.view.revision == 0;
        self.view = view;
        self.endpoints.record_success();
        if changed {
            out.push(Action::Changed(None));
        }
        self.stage = Stage::Resting(now);
        self.begin(now, out);
    }

    fn told(&mut self, now: f64, told: WatchMessage, out: &mut Vec<Action>) {
        let Stage::Watching { heard, created, held, .. } = &mut self.stage else { return };
        *heard = now;
        if told.header.cluster_id != 0
            && self.view.cluster != 0
            && told.header.cluster_id != self.view.cluster
        {
            self.afresh = true;
            return self.failed(now, "another registry answers".into(), out);
        }
        if told.compact_revision > self.view.revision {
            return self.compacted(now, told.compact_revision, out);
        }
        if told.canceled && needs_new_token(&told.cancel_reason) {
            return self.denied(now, out);
        }
        if told.canceled {
            return self.failed(now, format!("the watch was ended: {}", told.cancel_reason), out);
        }
        self.proven = true;
        if told.created && !std::mem::replace(created, true) && told.header.revision < self.view.revision {
            // It stands further back than what has been seen, and would tell again what is known: it lags, or
            // was restored from a copy. A whole view tells which.
            out.push(Action::Notice(Notice::Stale(told.header.revision)));
            self.afresh = true;
            return self.failed(now, "an endpoint that lags".into(), out);
        }
        if held.len() + told.events.len() > MOST_HELD {
            self.afresh = true;
            return self.failed(now, format!("over {MOST_HELD} changes in one message"), out);
        }
        held.extend(told.events);
        if told.fragment {
            return;
        }
        let changes = std::mem::take(held);
        // Word of progress without changes: all up to there has been told, and need not be asked for again.
        let progress = (changes.is_empty() && !told.created).then_some(told.header.revision);
        if !std::mem::replace(&mut self.following, true) {
            out.push(Action::Notice(Notice::Following(told.header.revision)));
        }
        self.endpoints.record_success();
        self.apply(now, changes, out);
        self.view.revision = self.view.revision.max(progress.unwrap_or(0));
    }

    /// Applies changes, each revision as a whole; those that are known already are passed over.
    fn apply(&mut self, now: f64, changes: Vec<Change>, out: &mut Vec<Action>) {
        let known = self.view.revision;
        let fresh: Vec<Change> =
            changes.into_iter().filter(|change| change.kv.mod_revision > known).collect();
        if fresh.is_empty() {
            return;
        }
        if fresh.windows(2).any(|pair| pair[0].kv.mod_revision > pair[1].kv.mod_revision) {
            self.afresh = true;
            return self.failed(now, "changes out of order".into(), out);
        }
        // What goes within one revision is one decision of somebody's: where it would empty the list, it is asked
        // about again. What goes one by one is taken at once.
        let (mut from, mut keys) = (0, Vec::new());
        while from < fresh.len() {
            let revision = fresh[from].kv.mod_revision;
            let to = from + fresh[from..].iter().take_while(|c| c.kv.mod_revision == revision).count();
            let gone = fresh[from..to]
                .iter()
                .filter(|c| c.kind == Kind::Delete && self.view.get(&c.kv.key).is_some());
            let gone = gone.count();
            if gone > 1 && self.doubtful(gone) {
                let found =
                    Doubt { cluster: self.view.cluster, keys: self.view.len() - gone, revision, since: now };
                out.push(Action::Notice(Notice::Doubted(gone, self.view.len())));
                self.doubt = Some(found);
                self.endpoints.use_next();
                let until = self.endpoints.next_call_at(now).max(now + self.guard.confirm_after);
                if from > 0 {
                    out.push(Action::Changed(Some(keys)));
                }
                return self.rest(until, out);
            }
            for change in &fresh[from..to] {
                keys.push(change.kv.key.clone());
                self.view.apply(change.clone());
            }
            self.view.revision = revision;
            from = to;
        }
        out.push(Action::Changed(Some(keys)));
        if self.view.len() > MAX_KEYS {
            self.afresh = true;
            self.failed(now, format!("over {MAX_KEYS} keys"), out);
        }
    }
}
