//! One instance among its peers: whose logs it has read and how far, which peers have read its own log, and
//! what follows from this for reads and writes of sessions. docs/replication.md proves that no session reads
//! data older than its own last write; the rules that the proof needs are marked `[R1]` to `[R7]` here and in
//! the submodules.

mod leases;
mod logs;
mod peer;
mod roster;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use membership::{Identity, Swim, MAX_INSTANCES};

use crate::auth::{Keys, SEAL_BYTES};
use crate::fact::{published_session, Fact, Key, MemberStatus};
use crate::log::Log;
use crate::merge::{Join, MergedStatus, PrimaryClaim, WriteMark};
use crate::message::{
    self, Body, Coverage, Header, ReadProgress, RosterDigest, MAX_BODY_BYTES, MAX_STREAM_MESSAGE_BYTES,
    VERSION,
};
use crate::view::{AggregatedView, TenantUsage, View, Views};
pub(crate) use peer::{EndReason, Peer};
use peer::{PeerCoverage, PendingAck};

/// Share by which the clocks of lessor and lessee may differ in speed. A lessor keeps its promises longer by
/// this share, and by [`LEASE_MARGIN`].
const CLOCK_RATE_ERROR: f64 = 0.1;
/// Constant part by which a lessor extends its promises (seconds).
const LEASE_MARGIN: f64 = 0.01;
/// Number of lease requests during one lease.
const REQUESTS_PER_LEASE: f64 = 3.0;
/// Maximum number of lease requests per second to all peers together; limits the load of a large
/// installation.
const MAX_REQUESTS_PER_S: f64 = 4_000.0;
/// Share of a lease by which a request may be sent early, so that one iteration sends many.
const REQUEST_EARLY_SHARE: f64 = 0.05;
/// Interval of requests while no session reads here (seconds).
const IDLE_REQUEST_INTERVAL: f64 = 1.0;
/// Time after a session's read during which leases are requested (seconds).
const READ_ACTIVITY_TIMEOUT: f64 = 5.0;
/// Time without a message after which a peer counts as unreachable (seconds), provided that requests are
/// unanswered too: one for two thirds of this time before the peer is covered, more than [`MAX_UNANSWERED`]
/// before it is reported.
const UNREACHABLE_TIMEOUT: f64 = 0.3;
/// A peer that sent nothing for this time (seconds) does not count towards a reachable majority. Longer than
/// [`IDLE_REQUEST_INTERVAL`].
const PEER_ACTIVITY_TIMEOUT: f64 = 1.5;
/// Number of unanswered requests above which a silent peer is reported as unreachable.
const MAX_UNANSWERED: usize = 4;
/// Interval of requests to a peer that has become silent (seconds).
const REQUEST_RETRY_INTERVAL: f64 = 0.12;
/// Maximum number of unreachable instances named in a request; with more of them reads go to the primary.
const MAX_UNREACHABLE: usize = 16;
/// A peer that lags by more facts gets no lease until it has caught up, since writes would wait for it.
const MAX_LEASE_LAG: u64 = 512;
/// A peer that lags by more facts reads the log from a stream.
pub const MIN_FACTS_TO_STREAM: u64 = 1_000;
/// Initial delay before pushed facts are retransmitted (seconds); doubles up to [`MAX_RETRANSMIT_DELAY`].
const RETRANSMIT_DELAY: f64 = 0.03;
/// Maximum delay between retransmissions to a peer that answers (seconds).
const MAX_RETRANSMIT_DELAY: f64 = 0.12;
/// Maximum delay between retransmissions to a peer that does not answer (seconds).
const UNREACHABLE_RETRANSMIT_DELAY: f64 = 0.5;
/// Maximum number of datagrams pushed to one peer per flush.
const PUSH_WINDOW: usize = 16;
/// Facts are collected for this time before they are pushed (seconds).
const FLUSH_DELAY: f64 = 0.000_5;
/// How long a session's write mark is published (seconds); far longer than replicas lag, as in the routing
/// decisions.
const WRITE_MARK_RETENTION: f64 = 60.0;
/// Maximum number of sessions that an instance publishes.
pub const MAX_SESSIONS: usize = 20_000;
/// Maximum number of write marks retained from ended instances; beyond it the floor is raised.
const MAX_ENDED_MARKS: usize = 100_000;
/// How long an ended instance is still listed (seconds).
const ENDED_RETENTION: f64 = 600.0;
/// Interval of requests to seeds that have not been answered (seconds).
const SEED_REQUEST_INTERVAL: f64 = 0.25;
/// Interval of sweeps for expired state (seconds).
const SWEEP_INTERVAL: f64 = 1.0;
/// Views are sent to instances of other zones in every so many rounds.
const REMOTE_ZONE_ROUNDS: u64 = 4;
/// Maximum number of datagrams with views to one peer in one round.
const MAX_VIEW_DATAGRAMS: usize = 2;
/// Up to this number of peers, each is sent new roster entries at once.
const SMALL_INSTALLATION: usize = 64;
/// Delay before new roster entries are sent in a larger installation (seconds), plus
/// [`ROSTER_DELAY_PER_PEER`] for each peer.
const ROSTER_DELAY: f64 = 0.1;
/// Part of the delay that grows with the installation (seconds per peer).
const ROSTER_DELAY_PER_PEER: f64 = 0.002;
/// How long roster changes are collected in a larger installation before they are pushed (seconds).
const ROSTER_FLUSH_DELAY: f64 = 0.02;
/// Limit of the bytes per second sent for views and catch-up together; a quarter of it may be saved up.
pub const BYTES_PER_S: f64 = 4_000_000.0;

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// How long peers may rely on what they have read of this instance's log (seconds). At most half of the
    /// shortest latency aim of a write, so that waiting for leases never delays a write's answer beyond its
    /// aim.
    pub lease: f64,
    /// How long an instance without a majority rejects writes of sessions (seconds). Afterwards it answers
    /// them, and all other instances send the reads of all sessions to the primary.
    pub majority_timeout: f64,
    /// Maximum error of this host's clock relative to the positions that database servers report (seconds).
    pub clock_error: f64,
    /// Addresses at which other instances may be found.
    pub seeds: Vec<SocketAddr>,
    /// Addresses that override those that instances announce, by instance name.
    pub routes: BTreeMap<Arc<str>, SocketAddr>,
}

impl Default for NodeConfig {
    fn default() -> NodeConfig {
        NodeConfig {
            lease: 0.5,
            majority_timeout: 2.5,
            clock_error: 0.1,
            seeds: Vec::new(),
            routes: BTreeMap::new(),
        }
    }
}

/// A write in progress, until its answer is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a session's read requires.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadRequirement {
    /// Data up to this position (seconds, as positions are reported).
    AtLeast(f64),
    /// The primary, since the session's last write may not be known here.
    Primary(PrimaryReason),
}

/// Why a session's read needs the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PrimaryReason {
    /// A write of the session is in progress through another instance.
    WriteInFlight,
    /// An instance does not answer, and may be answering writes.
    Unreachable,
    /// Facts of other instances have not been read yet.
    CatchingUp,
    /// A seed has never answered.
    SeedUnanswered,
    /// Another process runs under this instance's name.
    SteppedDown,
}

impl PrimaryReason {
    /// Returns the description shown to operators.
    pub fn description(self) -> &'static str {
        match self {
            PrimaryReason::WriteInFlight => "a write of the session is under way elsewhere",
            PrimaryReason::Unreachable => "an instance does not answer and may be answering writes",
            PrimaryReason::CatchingUp => {
                "what others have stated has not been read yet, or no session reads here"
            }
            PrimaryReason::SeedUnanswered => "a seed has never answered",
            PrimaryReason::SteppedDown => "another process runs under this one's name",
        }
    }
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Notice {
    Joined(Identity),
    Left(Identity),
    /// A later start, or an operator, has ended an earlier start; true if its log was completely known here.
    Ended(Identity, bool),
    Unreachable(Arc<str>),
    Reachable(Arc<str>),
    /// Whether reads of sessions may use replicas because the logs of all peers are known.
    Complete(bool),
    /// Whether the majority has been lost for so long that writes are answered without one.
    WithoutMajority(bool),
    Suspected(Arc<str>),
    /// Another process runs under this instance's name, at this address.
    Conflict(SocketAddr),
    /// Two members claim to be the primary of one group.
    TwoPrimaries(u32, Arc<str>, Arc<str>),
    /// Another instance has declared this one ended; it continues under this new start number.
    Renewed(u64),
}

/// A write in progress, or an admission, that waits until peers know a fact or a roster entry.
#[derive(Debug)]
struct Pending {
    awaited: Awaited,
    /// Peers with leases from before, and when these leases end. A peer is removed once it knows the entry or
    /// its lease has ended.
    lessees: Vec<(Arc<str>, f64)>,
    session: Option<Arc<str>>,
    /// Whether the write was allowed to be sent: a majority knew of it, or none was needed.
    sent: bool,
}

/// What peers have to know: a fact of the own log, or an entry of the roster, by number.
#[derive(Clone, Copy, Debug)]
enum Awaited {
    Fact(u64),
    RosterEntry(u64),
}

impl Awaited {
    /// Returns true if the peer has acknowledged it and the acknowledgement counts.
    fn known_to(self, peer: &Peer) -> bool {
        match self {
            Awaited::Fact(number) => peer.acked_upto >= number,
            Awaited::RosterEntry(number) => peer.acked_roster >= number,
        }
    }
}

/// Counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    /// Part of `sent_bytes` sent to other zones.
    pub far_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Dropped because no valid key sealed them.
    pub forged: u64,
    /// Dropped because they arrived before, or were meant for another start.
    pub replayed: u64,
    /// Malformed, or of a kind that this version does not know.
    pub unknown: u64,
}

/// An instance.
pub struct Node {
    pub(crate) identity: Identity,
    keys: Keys,
    pub(crate) config: NodeConfig,
    pub(crate) log: Log,
    pub(crate) peers: BTreeMap<Arc<str>, Peer>,
    pub(crate) swim: Swim,
    views: Views,
    own_views: Vec<View>,
    own_usage: Vec<TenantUsage>,
    round: u64,
    /// Seeds at which no instance has answered, and the requests sent there.
    pub(crate) unanswered_seeds: BTreeSet<SocketAddr>,
    seed_requests: VecDeque<(u64, SocketAddr)>,
    next_seed_request: f64,
    next_sweep: f64,
    next_flush: Option<f64>,
    last_flush_at: f64,
    /// When the next call of [`Node::tick`] is due, apart from the next flush.
    next_tick: f64,
    pending: BTreeMap<Ticket, Pending>,
    last_ticket: u64,
    /// Number of writes in progress by session.
    open_writes: HashMap<Arc<str>, u32>,
    /// Numbers of own facts and when they were published, the oldest first; expired ones are swept from here.
    published: VecDeque<(u64, f64)>,
    /// Write marks in the copies of the peers' logs: session to author and mark.
    write_marks: HashMap<Arc<str>, Vec<(Arc<str>, WriteMark)>>,
    /// Status of members by member and author, as peers report it.
    member_statuses: BTreeMap<Arc<str>, BTreeMap<Arc<str>, MergedStatus>>,
    /// Claims to be primary by group and author, as peers have observed them.
    claims: BTreeMap<u32, BTreeMap<Arc<str>, PrimaryClaim>>,
    /// Write marks of ended instances: position and expiry time.
    ended_marks: HashMap<Arc<str>, (f64, f64)>,
    /// Expiry times of `ended_marks`, the earliest first.
    ended_marks_expiry: VecDeque<(f64, Arc<str>)>,
    /// Any session may have written up to this position.
    pub(crate) floor: f64,
    /// Number of entries added to the roster so far.
    roster_upto: u64,
    /// Names of the instances on the roster, by their numbers.
    roster_names: BTreeMap<u64, Arc<str>>,
    /// Sum of the hashes of the running instances, including this one.
    roster_sum: u64,
    /// Number of the latest request.
    last_request: u64,
    /// Number of the latest message.
    last_number: u64,
    /// Whether this start is known to peers; no write is answered before.
    admitted: bool,
    /// When this start counts as admitted even without a grant: one lease after `admitted` was reset.
    admit_by: f64,
    /// Whether this instance has never been admitted; until then every instance it hears of counts for
    /// majorities.
    never_admitted: bool,
    /// From this time on writes may be answered without a majority, since no promise to a peer is valid any
    /// more.
    majority_required_until: f64,
    without_majority: bool,
    started_at: f64,
    last_call_at: f64,
    /// When a session last read here.
    last_read_at: f64,
    /// Until when the logs of all peers are known to be complete, unless the roster changes.
    complete_until: f64,
    /// The state that the last [`Notice::Complete`] reported.
    was_complete: bool,
    /// Whether another process has taken over the name.
    stepped_down: bool,
    /// Bytes that may be sent, and when that was computed.
    byte_budget: (f64, f64),
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
    notices: Vec<Notice>,
    pub(crate) counts: Counts,
    rng: u64,
    /// Whether peers have published facts about members or primaries since [`Node::take_changed`].
    changed: bool,
    /// Records to be written to disk.
    records: Vec<crate::disk::Record>,
    stores_records: bool,
}

impl Node {
    /// Creates an instance that starts at `now`. `stored` is the state that earlier starts have written to
    /// disk.
    pub fn new(
        identity: Identity,
        keys: Keys,
        config: NodeConfig,
        seed: u64,
        now: f64,
        stored: Option<crate::disk::StoredState>,
    ) -> Node {
        let unanswered_seeds: BTreeSet<SocketAddr> =
            config.seeds.iter().copied().filter(|seed| *seed != identity.address).collect();
        let mut node = Node {
            swim: Swim::new(identity.clone(), seed),
            keys,
            log: Log::default(),
            peers: BTreeMap::new(),
            views: Views::default(),
            own_views: Vec::new(),
            own_usage: Vec::new(),
            round: 0,
            seed_requests: VecDeque::new(),
            next_seed_request: now,
            next_sweep: now + SWEEP_INTERVAL,
            next_flush: None,
            last_flush_at: f64::NEG_INFINITY,
            next_tick: now,
            pending: BTreeMap::new(),
            last_ticket: 0,
            open_writes: HashMap::new(),
            published: VecDeque::new(),
            write_marks: HashMap::new(),
            member_statuses: BTreeMap::new(),
            claims: BTreeMap::new(),
            ended_marks: HashMap::new(),
            ended_marks_expiry: VecDeque::new(),
            // A new instance has no memory: any session may have written until now, through this instance
            // too.
            floor: now + config.clock_error,
            roster_upto: 0,
            roster_names: BTreeMap::new(),
            roster_sum: message::identity_hash(&identity),
            last_request: 0,
            last_number: 0,
            admitted: unanswered_seeds.is_empty(),
            admit_by: now + config.lease,
            never_admitted: true,
            // [R5] An earlier start may have promised not to answer without a majority. The value is set
            // below.
            majority_required_until: now,
            without_majority: false,
            started_at: now,
            last_call_at: now,
            last_read_at: f64::NEG_INFINITY,
            complete_until: f64::NEG_INFINITY,
            was_complete: unanswered_seeds.is_empty(),
            stepped_down: false,
            byte_budget: (BYTES_PER_S, now),
            outgoing: Vec::new(),
            notices: Vec::new(),
            counts: Counts::default(),
            rng: seed | 1,
            changed: false,
            records: Vec::new(),
            stores_records: stored.is_some(),
            unanswered_seeds,
            identity,
            config,
        };
        node.publish(now, Fact::Floor { below: 0, position: f64::NEG_INFINITY });
        for identity in stored.into_iter().flat_map(|stored| stored.seen) {
            node.add_instance(now, &identity);
        }
        node.majority_required_until = lessor_end(now, node.majority_only_time());
        node
    }

    /// Returns the identity of this instance.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    // --- local events ---

    /// Begins a write of a session.
    pub fn begin_write(&mut self, now: f64, name: &str) -> Ticket {
        self.begin_call(now);
        let session = published_session(name);
        let open = self.open_writes.entry(session.clone()).or_insert(0);
        *open += 1;
        let key = Key::Written(session.clone());
        // [R1] A write is published before it can be answered. A fact that is already open covers this write
        // too.
        let number = match self.log.number(&key).filter(|_| *open > 1) {
            Some(number) => number,
            None => {
                let position = self.own_mark(&key).position;
                self.publish(now, Fact::Written { session: session.clone(), open: true, position })
            }
        };
        self.issue_ticket(now, Awaited::Fact(number), Some(session))
    }

    /// Ends a write. `position` is that of its commit, or `None` if no commit will be reported to the client.
    pub fn end_write(&mut self, now: f64, ticket: Ticket, position: Option<f64>) {
        self.begin_call(now);
        let Some(session) = self.pending.get_mut(&ticket).and_then(|pending| pending.session.take()) else {
            return;
        };
        let key = Key::Written(session.clone());
        let left = self.open_writes.get(&session).map_or(0, |open| open - 1);
        if left == 0 {
            self.open_writes.remove(&session);
        } else {
            self.open_writes.insert(session.clone(), left);
        }
        let position = crate::merge::later_position(self.own_mark(&key).position, position);
        self.publish(now, Fact::Written { session, open: left > 0, position });
    }

    /// Removes a write that no client waits for any more, or that has been answered.
    pub fn forget(&mut self, now: f64, ticket: Ticket) {
        self.end_write(now, ticket, None);
        self.pending.remove(&ticket);
    }

    fn own_mark(&self, key: &Key) -> WriteMark {
        match self.log.get(key) {
            Some(Fact::Written { open, position, .. }) => WriteMark { open: *open, position: *position },
            _ => WriteMark::default(),
        }
    }

    /// Returns true if a write may go to the primary: a majority knows of it, or no majority is needed.
    pub fn may_send(&mut self, now: f64, ticket: Ticket) -> bool {
        self.begin_call(now);
        let Some(pending) = self.pending.get(&ticket) else { return true };
        let may = self.is_admitted(now)
            && !self.stepped_down
            && (self.known_to_majority(pending.awaited) || self.needs_no_majority(now));
        if let Some(pending) = self.pending.get_mut(&ticket).filter(|_| may) {
            pending.sent = true;
        }
        may
    }

    /// Returns true if no write can be sent soon, because too few peers are reachable.
    pub fn cannot_send_writes(&mut self, now: f64) -> bool {
        self.begin_call(now);
        let starting = now - self.started_at < self.config.lease;
        self.stepped_down || (!starting && !self.has_majority(now) && !self.needs_no_majority(now))
    }

    /// Returns true if a write may be answered: every peer that may rely on an older copy of this instance's
    /// log has read that the write is in progress, or its lease has ended.
    pub fn may_answer(&mut self, now: f64, ticket: Ticket) -> bool {
        self.begin_call(now);
        let Some(pending) = self.pending.get(&ticket) else { return true };
        // [R2]
        pending.sent && self.is_admitted(now) && self.known_to_lessees(now, ticket)
    }

    /// Returns what a read of a session requires.
    pub fn read_requirement(&mut self, now: f64, name: &str) -> ReadRequirement {
        self.begin_call(now);
        self.last_read_at = now;
        if self.stepped_down {
            return ReadRequirement::Primary(PrimaryReason::SteppedDown);
        }
        if let Some(reason) = self.incomplete_reason(now) {
            return ReadRequirement::Primary(reason);
        }
        let session = published_session(name);
        let mut mark = WriteMark::default();
        for (_, other) in self.write_marks.get(&session).into_iter().flatten() {
            mark.join(other);
        }
        if mark.open {
            return ReadRequirement::Primary(PrimaryReason::WriteInFlight);
        }
        let ended = self.ended_marks.get(&session).map(|(position, _)| *position);
        let own = self.own_mark(&Key::Written(session)).position;
        let position = crate::merge::later_position(crate::merge::later_position(mark.position, ended), own);
        ReadRequirement::AtLeast(position.map_or(self.floor, |position| position.max(self.floor)))
    }

    /// Publishes what the list says about a member.
    pub fn report_member_status(
        &mut self,
        now: f64,
        member: &str,
        since: f64,
        source: u64,
        version: u64,
        status: MemberStatus,
    ) {
        let member: Arc<str> = message::truncated_name(member);
        let key = Key::MemberStatus(member.clone());
        let known = match self.log.get(&key) {
            Some(Fact::MemberStatus { since, status, source, .. }) => Some((*since, *status, *source)),
            _ => None,
        };
        // A member that simply serves is published only to replace another status.
        if known == Some((since, status, source)) || (known.is_none() && status == MemberStatus::Serving) {
            return;
        }
        self.publish(now, Fact::MemberStatus { member, since, source, version, status });
    }

    /// Publishes that a member has reported to be the primary of its group at this log position.
    pub fn record_primary_claim(&mut self, now: f64, group: u32, member: &str, position: f64) {
        let member: Arc<str> = message::truncated_name(member);
        if let Some(Fact::Role { member: known, .. }) = self.log.get(&Key::Role(group)) {
            if *known == member {
                return;
            }
        }
        self.publish(now, Fact::Role { group, member, position });
    }

    /// Publishes the versions that this instance uses.
    pub fn report_versions(&mut self, now: f64, list: u64, generation: u64, program: &str) {
        let program: Arc<str> = message::truncated_name(program);
        let fact = Fact::Versions { list, generation, program };
        if self.log.get(&Key::Versions) != Some(&fact) {
            self.publish(now, fact);
        }
    }

    /// Sends how this instance sees members, and its usage by tenants: to peers of the own zone in each
    /// round, to others in every fourth round.
    pub fn publish_views(&mut self, now: f64, views: Vec<View>, usage: Vec<TenantUsage>) {
        self.begin_call(now);
        (self.own_views, self.own_usage) = (views, usage);
        self.round += 1;
        let (round, zone) = (self.round, self.identity.zone.clone());
        let names: Vec<Arc<str>> = self.peers.keys().cloned().collect();
        for name in names {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            let near = peer.identity.zone == zone;
            if !peer.is_active() || peer.unreachable || (!near && !round.is_multiple_of(REMOTE_ZONE_ROUNDS)) {
                continue;
            }
            let mut at = peer.next_view;
            let mut usage = self.own_usage.clone();
            for _ in 0..MAX_VIEW_DATAGRAMS {
                let (mut taken, mut used) = (Vec::new(), 32 + usage.len() * 24);
                while taken.len() < self.own_views.len() {
                    let view = &self.own_views[at % self.own_views.len()];
                    used += view.member.len() + 40;
                    if used > MAX_BODY_BYTES {
                        break;
                    }
                    taken.push(view.clone());
                    at += 1;
                }
                let done = taken.len() == self.own_views.len();
                if taken.is_empty() && usage.is_empty() {
                    break;
                }
                let body = Body::Views { round, views: taken, usage: std::mem::take(&mut usage) };
                if !self.send(now, &name, &body, true) || done {
                    break;
                }
            }
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.next_view = if self.own_views.is_empty() { 0 } else { at % self.own_views.len() };
            }
        }
    }

    // --- shared state ---

    /// Returns the strictest status that the lists of all instances report for the given start of a member.
    pub fn member_status(&self, member: &str, since: f64) -> MemberStatus {
        let mut all = MergedStatus::default();
        for report in self.member_statuses.get(member).into_iter().flat_map(|reports| reports.values()) {
            all.join(report);
        }
        // The own report is included: a later version of the own list supersedes the report of an earlier
        // one.
        if let Some(Fact::MemberStatus { since, source, version, status, .. }) =
            self.log.get(&Key::MemberStatus(member.into()))
        {
            all.join(&MergedStatus::from_list(*source, *since, *version, *status));
        }
        all.strictest(since)
    }

    /// Returns all members whose status a peer has reported.
    pub fn members_with_status(&self) -> impl Iterator<Item = &Arc<str>> {
        self.member_statuses.keys()
    }

    /// Returns the claims to be primary by group, as peers have observed them.
    pub fn primary_claims(&self) -> BTreeMap<u32, PrimaryClaim> {
        let all = |reports: &BTreeMap<Arc<str>, PrimaryClaim>| {
            let mut all = PrimaryClaim::default();
            reports.values().for_each(|claim| all.join(claim));
            all
        };
        self.claims.iter().map(|(group, reports)| (*group, all(reports))).collect()
    }

    /// Returns what all peers together report about members.
    pub fn aggregated_views(&self, now: f64) -> BTreeMap<Arc<str>, AggregatedView> {
        self.views.aggregated_views(now)
    }

    /// Returns the usage by tenants of all peers together (requests per second).
    pub fn tenant_usage(&self, now: f64) -> BTreeMap<Arc<str>, f64> {
        self.views.tenant_usage(now)
    }

    /// Returns what each peer reports about a member, with its age (seconds).
    pub fn views_of(&self, now: f64, member: &str) -> Vec<(Arc<str>, f64, View)> {
        self.views.for_member(now, member)
    }

    /// Returns the number of reachable instances, including this one.
    pub fn reachable_instances(&self) -> usize {
        1 + self.active_peers().filter(|peer| !peer.unreachable).count()
    }

    /// Returns true if peers have published facts about members or primaries since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    pub(crate) fn active_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.is_active())
    }

    /// Returns the write marks of a session by author.
    pub fn session_marks(&self, name: &str) -> Vec<(Arc<str>, WriteMark)> {
        let session = published_session(name);
        let mut all: Vec<(Arc<str>, WriteMark)> = self.write_marks.get(&session).cloned().unwrap_or_default();
        if let Some((position, _)) = self.ended_marks.get(&session) {
            all.push(("(ended instances)".into(), WriteMark { open: false, position: Some(*position) }));
        }
        let own = self.own_mark(&Key::Written(session));
        if own != WriteMark::default() {
            all.push((self.identity.name.clone(), own));
        }
        all
    }

    /// Returns the position up to which any session may have written (seconds, as positions are reported).
    pub fn floor(&self) -> f64 {
        self.floor
    }

    /// Returns true if this instance answers writes without a majority.
    pub fn is_without_majority(&self) -> bool {
        self.without_majority
    }

    // --- time and messages ---

    /// Returns when [`Node::tick`] is due next.
    pub fn next_due(&self) -> f64 {
        self.next_flush.map_or(self.next_tick, |flush| flush.min(self.next_tick))
    }

    fn compute_next_tick(&self) -> f64 {
        let requests = self.active_peers().map(|peer| peer.next_request_at);
        let retransmits = self
            .active_peers()
            .filter(|p| p.received_upto < p.pushed_upto)
            .map(|p| p.pushed_at + p.retransmit_delay);
        let ack_limits = self.active_peers().filter_map(|p| p.ack_limit.map(|(until, _, _)| until));
        let needs_roster =
            |p: &&Peer| p.received_roster < self.roster_upto && p.last_heard_at > f64::NEG_INFINITY;
        let rosters = self.active_peers().filter(needs_roster).map(|p| p.next_roster_at);
        let seeds = (!self.unanswered_seeds.is_empty()).then_some(self.next_seed_request);
        let lessees = self.pending.values().flat_map(|w| w.lessees.iter().map(|(_, until)| *until));
        let lessees = lessees.filter(|until| *until > self.last_call_at).min_by(f64::total_cmp);
        let majority_end =
            (self.majority_required_until > self.last_call_at).then_some(self.majority_required_until);
        let admission = (!self.admitted).then_some(self.admit_by);
        let all = requests
            .chain(retransmits)
            .chain(rosters)
            .chain(ack_limits)
            .chain(seeds)
            .chain(lessees)
            .chain(majority_end)
            .chain(admission);
        let all = all.chain(self.swim.next_due()).chain([self.next_sweep]);
        // A call that is late by half a lease makes the instance ask for admission again; ticks are frequent
        // enough to avoid that.
        all.fold(self.last_call_at + self.config.lease / 4.0, f64::min).max(self.last_call_at + FLUSH_DELAY)
    }

    /// Runs everything that is due at `now`.
    pub fn tick(&mut self, now: f64) {
        self.begin_call(now);
        self.swim.tick(now);
        if now >= self.next_seed_request && !self.unanswered_seeds.is_empty() {
            self.next_seed_request = now + SEED_REQUEST_INTERVAL;
            for seed in self.unanswered_seeds.clone() {
                self.last_request += 1;
                let request = self.last_request;
                self.seed_requests.push_back((request, seed));
                self.seed_requests.truncate(4 * self.config.seeds.len().max(1));
                let body = Body::LeaseRequest {
                    request,
                    read: ReadProgress::default(),
                    roster: self.roster_digest(),
                    lease: false,
                    unreachable: Vec::new(),
                };
                let header = self.next_header(0);
                let sealed = self.keys.seal(message::encode(&header, &body));
                self.queue_datagram(seed, sealed, false);
            }
        }
        // Sends requests that are due soon as well, since each iteration visits all peers.
        let soon = now + self.config.lease * REQUEST_EARLY_SHARE;
        let due: Vec<Arc<str>> = self
            .active_peers()
            .filter(|peer| soon >= peer.next_request_at)
            .map(|peer| peer.identity.name.clone())
            .collect();
        for name in due {
            self.request_lease(now, &name);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
        self.notice_majority(now);
        self.apply_membership_output(now);
        self.flush(now);
        self.next_tick = self.compute_next_tick();
    }

    /// Handles a datagram. A datagram that is not authentic is dropped before it is parsed.
    pub fn receive(&mut self, now: f64, bytes: &[u8]) {
        self.begin_call(now);
        let Some(opened) = self.keys.open(bytes) else {
            self.counts.forged += 1;
            return;
        };
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        match message::decode(opened) {
            Some((header, Some(body))) => self.handle_message(now, header, body),
            Some((_, None)) => self.counts.unknown += 1,
            None => self.counts.unknown += 1,
        }
        self.apply_membership_output(now);
    }

    /// Returns the datagrams to send, with their destinations, since the last call.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the events since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns the records to write to disk since the last call.
    pub fn take_records(&mut self) -> Vec<crate::disk::Record> {
        std::mem::take(&mut self.records)
    }

    /// Takes `bytes` from the byte budget; returns false if there are not enough.
    fn take_from_budget(&mut self, now: f64, bytes: usize) -> bool {
        let (saved, at) = self.byte_budget;
        let saved = (saved + (now - at).max(0.0) * BYTES_PER_S).min(BYTES_PER_S / 4.0);
        let bytes = bytes as f64;
        self.byte_budget = (if saved >= bytes { saved - bytes } else { saved }, now);
        saved >= bytes
    }

    // --- internals ---

    /// Called first by each public method. If the last call is more than half a lease ago, peers may have
    /// declared this instance ended, so it has to be admitted again.
    fn begin_call(&mut self, now: f64) {
        if now - self.last_call_at > self.config.lease / 2.0
            && (!self.peers.is_empty() || !self.unanswered_seeds.is_empty())
        {
            // [R6]
            (self.admitted, self.admit_by) = (false, now + self.config.lease);
            for peer in self.peers.values_mut() {
                peer.pending_requests.clear();
                peer.next_request_at = peer.next_request_at.min(now);
            }
        }
        self.last_call_at = self.last_call_at.max(now);
    }

    fn is_admitted(&self, now: f64) -> bool {
        self.admitted || now >= self.admit_by
    }

    fn random(&mut self) -> f64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the size of the electorate: this instance, the counted peers and the unanswered seeds.
    fn electorate(&self) -> usize {
        1 + self.active_peers().filter(|peer| peer.counted).count() + self.unanswered_seeds.len()
    }

    fn majority(&self) -> usize {
        self.electorate() / 2 + 1
    }

    fn known_to_majority(&self, awaited: Awaited) -> bool {
        1 + self.active_peers().filter(|peer| peer.counted && awaited.known_to(peer)).count()
            >= self.majority()
    }

    /// Returns how long this instance promises not to answer writes without a majority (seconds). With two
    /// instances the loss of one leaves no majority, so a longer promise would gain nothing.
    fn majority_only_time(&self) -> f64 {
        let all = 1 + self.active_peers().count() + self.unanswered_seeds.len();
        if all <= 2 {
            self.config.lease
        } else {
            self.config.majority_timeout.max(self.config.lease)
        }
    }

    fn publish(&mut self, now: f64, fact: Fact) -> u64 {
        let number = self.log.append(fact);
        self.published.push_back((number, now));
        self.flush_soon(now);
        number
    }

    fn issue_ticket(&mut self, now: f64, awaited: Awaited, session: Option<Arc<str>>) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        // [R2] Leases that are granted from now on include this entry and need not be awaited.
        let holders = self.active_peers().filter(|peer| peer.granted_until > now && !awaited.known_to(peer));
        let lessees = holders.map(|peer| (peer.identity.name.clone(), peer.granted_until)).collect();
        self.pending.insert(ticket, Pending { awaited, lessees, session, sent: false });
        ticket
    }

    fn next_header(&mut self, to: u64) -> Header {
        self.last_number += 1;
        Header { version: VERSION, from: self.swim.identity().clone(), number: self.last_number, to }
    }

    fn queue_datagram(&mut self, to: SocketAddr, sealed: Vec<u8>, far: bool) {
        self.counts.sent += 1;
        self.counts.sent_bytes += sealed.len() as u64;
        self.counts.far_bytes += if far { sealed.len() as u64 } else { 0 };
        self.outgoing.push((to, sealed));
    }

    /// Sends a message to a known peer; returns false if it was not sent. If `can_wait`, the message is
    /// charged to the byte budget.
    fn send(&mut self, now: f64, name: &str, body: &Body, can_wait: bool) -> bool {
        let Some((identity, start)) =
            self.peers.get(name).map(|peer| (peer.identity.clone(), peer.identity.start))
        else {
            return false;
        };
        let header = self.next_header(start);
        let sealed = self.keys.seal(message::encode(&header, body));
        if can_wait && !self.take_from_budget(now, sealed.len()) {
            return false;
        }
        let to = self.config.routes.get(&identity.name).copied().unwrap_or(identity.address);
        self.queue_datagram(to, sealed, identity.zone != self.identity.zone);
        true
    }

    /// Returns why reads of sessions go to the primary now; `None` if they may use replicas. Unlike
    /// [`Node::read_requirement`], this does not cause lease requests.
    pub fn primary_reason(&mut self, now: f64) -> Option<PrimaryReason> {
        if self.stepped_down {
            Some(PrimaryReason::SteppedDown)
        } else {
            self.incomplete_reason(now)
        }
    }

    /// Returns the number of sessions with write marks of other instances.
    pub fn tracked_sessions(&self) -> usize {
        self.write_marks.len() + self.ended_marks.len()
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }
}

/// Returns when a promise of this duration has ended on the clock of the lessor.
fn lessor_end(now: f64, lasts: f64) -> f64 {
    now + lasts * (1.0 + CLOCK_RATE_ERROR) + LEASE_MARGIN
}

/// Sets the report of an author about a thing, or removes it.
fn set_report<K: Ord, V>(
    all: &mut BTreeMap<K, BTreeMap<Arc<str>, V>>,
    key: K,
    author: &Arc<str>,
    report: Option<V>,
) {
    match report {
        Some(report) => {
            all.entry(key).or_default().insert(author.clone(), report);
        }
        None => {
            if let Some(reports) = all.get_mut(&key) {
                reports.remove(author);
                if reports.is_empty() {
                    all.remove(&key);
                }
            }
        }
    }
}
