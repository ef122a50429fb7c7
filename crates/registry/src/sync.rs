//! Keeps a view of all keys under a prefix that equals the registry's at some revision. Changes are applied
//! once and in order, all changes of a revision together; the view never goes back to an earlier revision.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::endpoints::Endpoints;
use crate::wire::{needs_new_token, prefix_end, Change, Kind, Page, Range, Refusal, Revision, WatchMessage};

/// Keys requested per page.
const PAGE_KEYS: u64 = 1_000;
/// Maximum number of keys, and maximum size of keys and values (bytes), in a view. Limits the memory of the
/// process.
pub(crate) const MAX_KEYS: usize = 100_000;
pub(crate) const MAX_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of changes of a fragmented watch message that are buffered until it is complete.
const MAX_PENDING_CHANGES: usize = 200_000;

/// One key of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The revision that wrote the key.
    pub revision: Revision,
    /// The value.
    pub value: Vec<u8>,
}

/// All keys, as of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The cluster id of the registry; 0 before the first view.
    pub cluster: u64,
    /// The revision of the view.
    pub revision: Revision,
    keys: BTreeMap<Vec<u8>, Entry>,
}

impl View {
    /// A view restored from storage.
    pub fn restore(
        cluster: u64,
        revision: Revision,
        keys: impl IntoIterator<Item = (Vec<u8>, Entry)>,
    ) -> View {
        View { cluster, revision, keys: keys.into_iter().collect() }
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &[u8]) -> Option<&Entry> {
        self.keys.get(key)
    }

    /// All keys that begin with a prefix, in order.
    pub fn with_prefix(&self, prefix: &[u8]) -> impl Iterator<Item = (&Vec<u8>, &Entry)> {
        let end = prefix_end(prefix);
        let end = if end == [0] { Bound::Unbounded } else { Bound::Excluded(end) };
        self.keys.range::<Vec<u8>, _>((Bound::Included(prefix.to_vec()), end))
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns true if there are no keys.
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

/// Settings, among them when a suspicious view is accepted: one that lacks many keys, comes from another
/// cluster, or is older than the present view.
#[derive(Clone, Copy, Debug)]
pub struct SyncConfig {
    /// Share of the keys that may be removed in one step without confirmation.
    pub max_removed_share: f64,
    /// A view of fewer keys than this may lose all of them without confirmation.
    pub min_keys: usize,
    /// A suspicious view is accepted if another one, read after this time (seconds) and from another endpoint
    /// if there is one, confirms it.
    pub confirm_after: f64,
    /// A watch without a message for this long has failed (seconds); the registry sends progress
    /// notifications.
    pub watch_timeout: f64,
    /// Time limit of a call (seconds).
    pub call_timeout: f64,
    /// Use serializable reads, which an endpoint answers from its own state.
    pub serializable: bool,
    /// Whether calls require a token from a login.
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

/// Events that the driver reports. Each carries the number of the call that it belongs to; events of earlier
/// calls are ignored.
#[derive(Clone, Debug)]
pub enum Input {
    /// Start, or continue after a change of endpoints.
    Start,
    /// The response to a range read.
    Page(u64, Result<Page, Refusal>),
    /// The response to a login.
    Token(u64, Result<String, Refusal>),
    /// The registry rejected this token in a call made outside this state machine.
    TokenRejected(String),
    /// A message of a watch.
    WatchMessage(u64, Result<WatchMessage, Refusal>),
    /// The connection of a call or a watch was closed, or could not be opened.
    Disconnected(u64),
    /// Time has passed.
    Time,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read a range at an endpoint; report the result under this number.
    Read(u64, usize, Range),
    /// Request a token at an endpoint; report the result under this number.
    Login(u64, usize),
    /// Watch at an endpoint, starting with a revision; report its messages under this number.
    Watch(u64, usize, Revision),
    /// Cancel the call or watch of this number.
    Close(u64),
    /// The view has changed: these keys, or the complete view if none are given.
    Changed(Option<Vec<Vec<u8>>>),
    /// Log this notice.
    Notice(Notice),
}

/// Notices for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The registry cannot be followed; the last view stays in force. Holds the reason.
    Lost(String),
    /// The registry is followed, as of this revision.
    Following(Revision),
    /// The next revision to be followed has been compacted away; a full view is read.
    Compacted(Revision),
    /// An endpoint is at an earlier revision than the view; its data is not used.
    Stale(Revision),
    /// So many of so many keys would be removed at once; confirmation is required.
    Doubted(usize, usize),
}

/// The current call.
#[derive(Clone, Debug)]
enum Stage {
    /// None; the next call may be made at this time.
    Waiting(f64),
    /// A login, started at `since`.
    LoggingIn { call: u64, since: f64 },
    /// A read of a full view, page by page.
    ReadingView { call: u64, since: f64, view: View, bytes: usize },
    /// A watch: the time of its last message, and the changes of a message that is not complete yet.
    Watching { call: u64, last_message_at: f64, created: bool, pending_changes: Vec<Change> },
}

/// A suspicious view that awaits confirmation.
#[derive(Clone, Debug)]
struct UnconfirmedView {
    cluster: u64,
    /// Number of keys in it.
    keys: usize,
    revision: Revision,
    since: f64,
}

/// Follows the keys under a prefix.
pub struct RegistrySync {
    prefix: Vec<u8>,
    endpoints: Endpoints,
    config: SyncConfig,
    view: View,
    stage: Stage,
    last_call: u64,
    unconfirmed: Option<UnconfirmedView>,
    /// Whether the next call must read a full view, since the present one cannot be continued.
    needs_full_read: bool,
    following: bool,
    token: Option<String>,
    /// Whether a call has succeeded with the token. If not, a rejected token is not replaced immediately.
    token_accepted: bool,
}

impl RegistrySync {
    /// Follows the keys under a prefix, starting from a stored view or an empty one.
    pub fn new(prefix: Vec<u8>, endpoints: Endpoints, config: SyncConfig, view: View) -> RegistrySync {
        let needs_full_read = view.revision == 0;
        let stage = Stage::Waiting(f64::NEG_INFINITY);
        RegistrySync {
            prefix,
            endpoints,
            config,
            view,
            stage,
            last_call: 0,
            unconfirmed: None,
            needs_full_read,
            following: false,
            token: None,
            token_accepted: false,
        }
    }

    /// Returns the view. It stays available whatever happens to the registry.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns true if the registry is being followed.
    pub fn is_following(&self) -> bool {
        self.following
    }

    /// Returns the token for calls; none before the first login, or if no login is needed.
    pub fn token(&self) -> Option<&str> {
        self.token.as_deref()
    }

    /// Returns when [`Input::Time`] is due next.
    pub fn next_due(&self) -> f64 {
        match &self.stage {
            Stage::Waiting(until) => *until,
            Stage::LoggingIn { since, .. } | Stage::ReadingView { since, .. } => {
                since + self.config.call_timeout
            }
            Stage::Watching { last_message_at, created: false, .. } => {
                last_message_at + self.config.call_timeout
            }
            Stage::Watching { last_message_at, .. } => last_message_at + self.config.watch_timeout,
        }
    }

    /// Handles one input at the time `now` and appends the actions to `out`.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Start => self.start_call(now, out),
            Input::Page(number, page) if self.is_current_call(number) => match page {
                Ok(page) => self.handle_page(now, page, out),
                Err(refusal) => self.handle_refusal(now, refusal, out),
            },
            Input::Token(number, token) if self.is_current_call(number) => match token {
                Ok(token) => {
                    (self.token, self.token_accepted) = (Some(token), false);
                    self.start_call(now, out);
                }
                Err(refusal) => self.handle_refusal(now, refusal, out),
            },
            Input::TokenRejected(token) if self.token.as_ref() == Some(&token) => {
                self.handle_token_rejection(now, out)
            }
            Input::WatchMessage(number, result) if self.is_current_call(number) => match result {
                Ok(message) => self.handle_watch_message(now, message, out),
                Err(refusal) => self.handle_refusal(now, refusal, out),
            },
            Input::Disconnected(number) if self.is_current_call(number) => {
                self.call_failed(now, "connection closed".into(), out)
            }
            Input::Time if now >= self.next_due() => match self.stage {
                Stage::Waiting(_) => self.start_call(now, out),
                _ => self.call_failed(now, "no answer in time".into(), out),
            },
            _ => {}
        }
    }

    /// Returns true if `number` is that of the current call.
    fn is_current_call(&self, number: u64) -> bool {
        match &self.stage {
            Stage::Waiting(_) => false,
            Stage::LoggingIn { call, .. }
            | Stage::ReadingView { call, .. }
            | Stage::Watching { call, .. } => *call == number,
        }
    }

    /// Starts the call that is needed next, unless it is too early.
    fn start_call(&mut self, now: f64, out: &mut Vec<Action>) {
        if let Stage::Waiting(until) = self.stage {
            if now < until {
                return;
            }
        }
        self.close_call(out);
        self.last_call += 1;
        if self.config.login && self.token.is_none() {
            self.stage = Stage::LoggingIn { call: self.last_call, since: now };
            out.push(Action::Login(self.last_call, self.endpoints.current()));
        } else if self.needs_full_read || self.unconfirmed.is_some() {
            self.stage =
                Stage::ReadingView { call: self.last_call, since: now, view: View::default(), bytes: 0 };
            let range = self.range(self.prefix.clone(), 0);
            out.push(Action::Read(self.last_call, self.endpoints.current(), range));
        } else {
            self.stage = Stage::Watching {
                call: self.last_call,
                last_message_at: now,
                created: false,
                pending_changes: Vec::new(),
            };
            out.push(Action::Watch(self.last_call, self.endpoints.current(), self.view.revision + 1));
        }
    }

    fn range(&self, from: Vec<u8>, revision: Revision) -> Range {
        // A suspicious view is not confirmed by a serializable read, which may come from a lagging endpoint.
        let serializable = self.config.serializable && self.unconfirmed.is_none();
        Range { from, to: prefix_end(&self.prefix), revision, limit: PAGE_KEYS, serializable }
    }

    fn close_call(&mut self, out: &mut Vec<Action>) {
        if let Stage::LoggingIn { call, .. }
        | Stage::ReadingView { call, .. }
        | Stage::Watching { call, .. } = &self.stage
        {
            out.push(Action::Close(*call));
        }
    }

    fn wait_until(&mut self, until: f64, out: &mut Vec<Action>) {
        self.close_call(out);
        self.stage = Stage::Waiting(until);
    }

    fn call_failed(&mut self, now: f64, reason: String, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.following) || self.view.revision == 0 {
            out.push(Action::Notice(Notice::Lost(reason)));
        }
        self.endpoints.record_failure(now);
        let until = self.endpoints.next_call_at(now);
        self.wait_until(until, out);
    }

    fn handle_refusal(&mut self, now: f64, refusal: Refusal, out: &mut Vec<Action>) {
        match refusal {
            Refusal::Compacted => self.handle_compaction(now, self.view.revision + 1, out),
            Refusal::Unauthenticated => self.handle_token_rejection(now, out),
            Refusal::Other(what) => self.call_failed(now, format!("rejected by the registry: {what}"), out),
            Refusal::Malformed(what) => self.call_failed(now, format!("not of the agreed form: {what}"), out),
        }
    }

    /// The token was rejected: requests another one, after which the interrupted work continues where it was.
    fn handle_token_rejection(&mut self, now: f64, out: &mut Vec<Action>) {
        self.token = None;
        if !self.config.login || !std::mem::take(&mut self.token_accepted) {
            return self.call_failed(now, "no valid token".into(), out);
        }
        let until = self.endpoints.next_call_at(now);
        self.wait_until(until, out);
        self.start_call(now, out);
    }

    /// The revisions to be followed have been compacted away: only a full view shows which keys were deleted
    /// meanwhile.
    fn handle_compaction(&mut self, now: f64, revision: Revision, out: &mut Vec<Action>) {
        out.push(Action::Notice(Notice::Compacted(revision)));
        self.needs_full_read = true;
        let until = self.endpoints.next_call_at(now);
        self.wait_until(until, out);
        self.start_call(now, out);
    }

    fn handle_page(&mut self, now: f64, page: Page, out: &mut Vec<Action>) {
        let Stage::ReadingView { view, bytes, since, call } = &mut self.stage else { return };
        self.token_accepted = true;
        let first = view.revision == 0;
        if first {
            (view.cluster, view.revision) = (page.header.cluster_id, page.header.revision);
        } else if view.cluster != page.header.cluster_id {
            return self.call_failed(now, "the pages of one view have different cluster ids".into(), out);
        }
        let (revision, last) = (view.revision, page.kvs.last().map(|kv| kv.key.clone()));
        *bytes += page.kvs.iter().map(|kv| kv.key.len() + kv.value.len()).sum::<usize>();
        for kv in page.kvs {
            view.keys.insert(kv.key, Entry { revision: kv.mod_revision, value: kv.value });
        }
        if view.len() > MAX_KEYS || *bytes > MAX_BYTES {
            return self.call_failed(
                now,
                format!("the list has more than {MAX_KEYS} keys or {MAX_BYTES} bytes"),
                out,
            );
        }
        if revision == 0 {
            return self.call_failed(now, "response without a revision".into(), out);
        }
        match last.filter(|_| page.more) {
            Some(mut key) => {
                // The smallest key that is greater.
                key.push(0);
                self.last_call += 1;
                (*call, *since) = (self.last_call, now);
                let range = self.range(key, revision);
                out.push(Action::Read(self.last_call, self.endpoints.current(), range));
            }
            None => {
                let view = std::mem::take(view);
                self.handle_full_view(now, view, out);
            }
        }
    }

    /// Handles a full view.
    fn handle_full_view(&mut self, now: f64, view: View, out: &mut Vec<Action>) {
        let same_cluster = view.cluster == self.view.cluster || self.view.revision == 0;
        let older = view.revision < self.view.revision;
        let removed = self.view.keys.keys().filter(|key| !view.keys.contains_key(*key)).count();
        if same_cluster && older && self.config.serializable && self.unconfirmed.is_none() {
            // The endpoint may only lag; another one is asked, without a serializable read.
            out.push(Action::Notice(Notice::Stale(view.revision)));
        }
        if !same_cluster || older || self.removes_too_many(removed) {
            return self.confirm_or_defer(now, view, removed, out);
        }
        self.adopt(now, view, out);
    }

    /// Returns true if the removal of so many keys at once requires confirmation.
    fn removes_too_many(&self, removed: usize) -> bool {
        self.view.len() >= self.config.min_keys
            && removed as f64 > self.config.max_removed_share * self.view.len() as f64
    }

    /// Accepts a suspicious view if it confirms one that was read at least `confirm_after` earlier: it has the
    /// same cluster, the same or a later revision, and at most twice as many keys. Otherwise schedules another
    /// read.
    fn confirm_or_defer(&mut self, now: f64, view: View, removed: usize, out: &mut Vec<Action>) {
        let candidate =
            UnconfirmedView { cluster: view.cluster, keys: view.len(), revision: view.revision, since: now };
        let confirmed = self.unconfirmed.as_ref().filter(|unconfirmed| {
            unconfirmed.cluster == candidate.cluster
                && candidate.revision >= unconfirmed.revision
                && candidate.keys <= unconfirmed.keys.max(1) * 2
        });
        match confirmed.map(|unconfirmed| unconfirmed.since) {
            Some(since) if now >= since + self.config.confirm_after => return self.adopt(now, view, out),
            Some(_) => {}
            None => {
                out.push(Action::Notice(Notice::Doubted(removed, self.view.len())));
                self.unconfirmed = Some(candidate);
            }
        }
        self.endpoints.use_next();
        let since = self.unconfirmed.as_ref().map_or(now, |unconfirmed| unconfirmed.since);
        let until = self
            .endpoints
            .next_call_at(now)
            .max(now + self.config.confirm_after / 4.0)
            .max((since + self.config.confirm_after).min(now + self.config.confirm_after));
        self.wait_until(until, out);
    }

    /// Replaces the view and starts to follow the registry from it.
    fn adopt(&mut self, now: f64, view: View, out: &mut Vec<Action>) {
        (self.unconfirmed, self.needs_full_read) = (None, false);
        let changed = self.view.keys != view.keys || self.view.revision == 0;
        self.view = view;
        self.endpoints.record_success();
        if changed {
            out.push(Action::Changed(None));
        }
        self.stage = Stage::Waiting(now);
        self.start_call(now, out);
    }

    fn handle_watch_message(&mut self, now: f64, message: WatchMessage, out: &mut Vec<Action>) {
        let Stage::Watching { last_message_at, created, pending_changes, .. } = &mut self.stage else {
            return;
        };
        *last_message_at = now;
        if message.header.cluster_id != 0
            && self.view.cluster != 0
            && message.header.cluster_id != self.view.cluster
        {
            self.needs_full_read = true;
            return self.call_failed(now, "the registry has another cluster id than the view".into(), out);
        }
        if message.compact_revision > self.view.revision {
            return self.handle_compaction(now, message.compact_revision, out);
        }
        if message.canceled && needs_new_token(&message.cancel_reason) {
            return self.handle_token_rejection(now, out);
        }
        if message.canceled {
            return self.call_failed(now, format!("watch cancelled: {}", message.cancel_reason), out);
        }
        self.token_accepted = true;
        if message.created
            && !std::mem::replace(created, true)
            && message.header.revision < self.view.revision
        {
            // The endpoint is at an earlier revision than the view and would repeat known changes: it lags,
            // or was restored from a backup. A full view shows which.
            out.push(Action::Notice(Notice::Stale(message.header.revision)));
            self.needs_full_read = true;
            return self.call_failed(now, "the endpoint is at an earlier revision than the view".into(), out);
        }
        if pending_changes.len() + message.events.len() > MAX_PENDING_CHANGES {
            self.needs_full_read = true;
            return self.call_failed(
                now,
                format!("more than {MAX_PENDING_CHANGES} changes in one watch message"),
                out,
            );
        }
        pending_changes.extend(message.events);
        if message.fragment {
            return;
        }
        let changes = std::mem::take(pending_changes);
        // A progress notification: all changes up to its revision have been received.
        let progress = (changes.is_empty() && !message.created).then_some(message.header.revision);
        if !std::mem::replace(&mut self.following, true) {
            out.push(Action::Notice(Notice::Following(message.header.revision)));
        }
        self.endpoints.record_success();
        self.apply(now, changes, out);
        self.view.revision = self.view.revision.max(progress.unwrap_or(0));
    }

    /// Applies changes, each revision at once; changes that are already in the view are skipped.
    fn apply(&mut self, now: f64, changes: Vec<Change>, out: &mut Vec<Action>) {
        let known = self.view.revision;
        let new_changes: Vec<Change> =
            changes.into_iter().filter(|change| change.kv.mod_revision > known).collect();
        if new_changes.is_empty() {
            return;
        }
        if new_changes.windows(2).any(|pair| pair[0].kv.mod_revision > pair[1].kv.mod_revision) {
            self.needs_full_read = true;
            return self.call_failed(now, "watch events out of revision order".into(), out);
        }
        // The changes of one revision are one transaction: if it would remove too many keys, confirmation is
        // required. Separate removals are applied immediately.
        let (mut from, mut keys) = (0, Vec::new());
        while from < new_changes.len() {
            let revision = new_changes[from].kv.mod_revision;
            let to = from + new_changes[from..].iter().take_while(|c| c.kv.mod_revision == revision).count();
            let removed = new_changes[from..to]
                .iter()
                .filter(|c| c.kind == Kind::Delete && self.view.get(&c.kv.key).is_some());
            let removed = removed.count();
            if removed > 1 && self.removes_too_many(removed) {
                let candidate = UnconfirmedView {
                    cluster: self.view.cluster,
                    keys: self.view.len() - removed,
                    revision,
                    since: now,
                };
                out.push(Action::Notice(Notice::Doubted(removed, self.view.len())));
                self.unconfirmed = Some(candidate);
                self.endpoints.use_next();
                let until = self.endpoints.next_call_at(now).max(now + self.config.confirm_after);
                if from > 0 {
                    out.push(Action::Changed(Some(keys)));
                }
                return self.wait_until(until, out);
            }
            for change in &new_changes[from..to] {
                keys.push(change.kv.key.clone());
                self.view.apply(change.clone());
            }
            self.view.revision = revision;
            from = to;
        }
        out.push(Action::Changed(Some(keys)));
        if self.view.len() > MAX_KEYS {
            self.needs_full_read = true;
            self.call_failed(now, format!("the list has more than {MAX_KEYS} keys"), out);
        }
    }
}
