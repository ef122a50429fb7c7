//! One instance among others: whose logs it has read and how far, who has read its own, and what follows for the
//! reads and writes of sessions. The argument that no session reads what is older than its own write stands in
//! docs/replication.md; the rules that it needs are marked `[R1]` to `[R7]` here and there.

mod leases;
mod logs;
mod peer;
mod roster;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use membership::{Identity, Swim, MAX_INSTANCES};

use crate::auth::{Keys, SEAL_BYTES};
use crate::fact::{session, Fact, Key, MemberStatus};
use crate::log::Log;
use crate::merge::{Join, MergedStatus, PrimaryClaim, WriteMark};
use crate::message::{
    self, Body, Coverage, Header, ReadProgress, RosterDigest, MAX_BODY_BYTES, MAX_STREAM_MESSAGE_BYTES,
    VERSION,
};
use crate::view::{AggregatedView, TenantUsage, View, Views};
use peer::{Claimed, Covering};
pub(crate) use peer::{Over, Peer};

/// A lessor's clock may run so much faster than its lessee's: his promise lasts longer by this share, and by a moment.
const RATE_ERROR: f64 = 0.1;
const MOMENT: f64 = 0.01;
/// Times that a lease is asked for while it lasts.
const ASKS_PER_LEASE: f64 = 3.0;
/// Questions a second at the most, whoever is there. Bounds the cost of a large installation.
const ASKS_PER_S: f64 = 4_000.0;
/// A question may be put so much earlier than it is due (in leases), so that many go in one turn.
const ASK_EARLY: f64 = 0.05;
/// Pause between questions while no session reads here (seconds).
const IDLE_ASK: f64 = 1.0;
/// For how long after a session's read leases are asked for (seconds).
const WANTED: f64 = 5.0;
/// Without word for so long one counts as missing, where a question is unanswered for two thirds of it (seconds).
const MISSING: f64 = 0.3;
/// One from whom nothing has come for so long (seconds) is not counted on for a majority: longer than the idle pause.
const HEARD: f64 = 1.5;
/// One that has left so many questions in a row unanswered is missing; they follow each other quickly (seconds).
const UNANSWERED: usize = 4;
const ASK_AGAIN: f64 = 0.12;
/// Most that a question names as missing; beyond it reads go to the primary.
const MOST_MISSING: usize = 16;
/// A lessee further behind than so many facts gets no lease until it has caught up: writes would wait for it.
const LEASE_BEHIND: u64 = 512;
/// An instance further behind than so many facts reads the log from a stream.
pub const MIN_FACTS_TO_STREAM: u64 = 1_000;
/// Pause before what was pushed is pushed again (seconds), doubling to the most; to one that does not answer, that far apart.
const AGAIN: f64 = 0.03;
const AGAIN_MOST: f64 = 0.12;
const AGAIN_LOST: f64 = 0.5;
/// Datagrams pushed to one instance at a time, before it says that it has read them.
const WINDOW: usize = 16;
/// Pushes are gathered for so long (seconds).
const GATHER: f64 = 0.000_5;
/// How long a session's write is stated (seconds): far past what a replica lags by, as in the decisions.
const LIFE: f64 = 60.0;
/// Sessions that an instance states at the most.
pub const MAX_SESSIONS: usize = 20_000;
/// Marks kept of instances that are over; beyond it the floor rises.
const PAST: usize = 100_000;
/// How long one that is over is still shown (seconds).
const SHOWN: f64 = 600.0;
/// Pause between questions to seeds that nobody has answered at (seconds).
const SEED: f64 = 0.25;
/// Pause between two looks at what has aged (seconds).
const SWEEP: f64 = 1.0;
/// Beats between two tellings of views to instances of other zones.
const FAR_BEATS: u64 = 4;
/// Datagrams with views for one instance in one beat.
const VIEWS_AT_ONCE: usize = 2;
/// Up to so many others each is told at once whom this one has come to know; beyond it after a while (seconds), which grows
/// by a little with each.
const FEW: usize = 64;
const WAIT_TO_TELL: f64 = 0.1;
const WAIT_EACH: f64 = 0.002;
/// Word of who is there is gathered for so long among more (seconds).
const GATHER_WHOM: f64 = 0.02;
/// Bytes a second that views and pieces may take together, and saved up at most.
pub const BYTES_PER_S: f64 = 4_000_000.0;

/// What a node goes by.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// How long others go by what they have read of this one's log (seconds). At most half of the shortest aim of a
    /// write, so that a write's answer never waits beyond its aim.
    pub lease: f64,
    /// How long one that has no majority turns writes of sessions away; afterwards it answers them, and all others
    /// send the reads of all sessions to the primary (seconds).
    pub majority_timeout: f64,
    /// Error of this machine's clock against the positions that db machines tell (seconds).
    pub clock_error: f64,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// Where some are reached, whatever they say themselves.
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

/// A write that is under way, until its answer is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a session's read needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadRequirement {
    /// Data up to this position (seconds, as positions are told).
    AtLeast(f64),
    /// The primary: what the session wrote may not be known here.
    Primary(PrimaryReason),
}

/// Why a session's read needs the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PrimaryReason {
    /// A write of the session is under way through another instance.
    WriteInFlight,
    /// An instance does not answer, and may be answering writes.
    Unreachable,
    /// What others have stated has not been read yet.
    CatchingUp,
    /// A seed has never answered.
    SeedUnanswered,
    /// Another process runs under this one's name.
    SteppedDown,
}

impl PrimaryReason {
    /// In words.
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

/// What has happened, for the log.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Notice {
    Joined(Identity),
    Left(Identity),
    /// A later start, or an operator, has ended an earlier one; whether all that it stated was known here.
    Ended(Identity, bool),
    Unreachable(Arc<str>),
    Reachable(Arc<str>),
    /// Reads of sessions may go by what is known again, or may not.
    Complete(bool),
    /// No majority for so long that writes are answered without one, or it is there again.
    WithoutMajority(bool),
    Suspected(Arc<str>),
    /// Two instances under one name.
    Conflict(SocketAddr),
    /// Two members claim to be a group's primary.
    TwoPrimaries(u32, Arc<str>, Arc<str>),
    /// Another has called this one over: it goes on under a new start.
    Renewed(u64),
}

/// A write under way, or another fact that has to be known before something goes on.
#[derive(Debug)]
struct Waiting {
    awaited: Awaited,
    /// Whose leases from before it are not over: each until it has read the fact, or the lease has ended.
    lessees: Vec<(Arc<str>, f64)>,
    session: Option<Arc<str>>,
    /// A majority knew of it, or none was needed, when it was sent.
    sent: bool,
}

/// What has to be known to others: a fact of the own log, or one that has become known, by its place.
#[derive(Clone, Copy, Debug)]
enum Awaited {
    Fact(u64),
    Place(u64),
}

impl Awaited {
    /// Whether another knows it, as far as that counts.
    fn known_to(self, peer: &Peer) -> bool {
        match self {
            Awaited::Fact(number) => peer.read >= number,
            Awaited::Place(place) => peer.knows >= place,
        }
    }
}

/// What is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    /// To other zones, among them.
    pub far_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Not authentic, and dropped unread.
    pub forged: u64,
    /// Come before, or meant for another start.
    pub replayed: u64,
    /// Of a kind that this version does not know.
    pub unknown: u64,
}

/// An instance.
pub struct Node {
    pub(crate) me: Identity,
    keys: Keys,
    pub(crate) terms: NodeConfig,
    pub(crate) log: Log,
    pub(crate) peers: BTreeMap<Arc<str>, Peer>,
    pub(crate) swim: Swim,
    views: Views,
    own_views: Vec<View>,
    own_uses: Vec<TenantUsage>,
    round: u64,
    /// Seeds that nobody has answered at, and the questions put there.
    pub(crate) unmet: BTreeSet<SocketAddr>,
    seed_asked: VecDeque<(u64, SocketAddr)>,
    next_seed: f64,
    next_sweep: f64,
    next_flush: Option<f64>,
    flushed: f64,
    /// When the next turn is due but for what gathers.
    due: f64,
    waiting: BTreeMap<Ticket, Waiting>,
    tickets: u64,
    /// Writes under way by session.
    open: HashMap<Arc<str>, u32>,
    /// When facts were stated, the oldest first: what has aged is swept from here.
    stated: VecDeque<(u64, f64)>,
    /// What the copies say of sessions, by author.
    sessions: HashMap<Arc<str>, Vec<(Arc<str>, WriteMark)>>,
    /// What others say of members' standing and of primaries, by author.
    standings: BTreeMap<Arc<str>, BTreeMap<Arc<str>, MergedStatus>>,
    roles: BTreeMap<u32, BTreeMap<Arc<str>, PrimaryClaim>>,
    /// Marks of instances that are over, and until when they matter.
    past: HashMap<Arc<str>, (f64, f64)>,
    past_order: VecDeque<(f64, Arc<str>)>,
    /// Any session may have written up to here.
    pub(crate) floor: f64,
    /// How many have become known so far, their names by their places, and the sum over those that are there, this one
    /// included.
    roster: u64,
    places: BTreeMap<u64, Arc<str>>,
    sum: u64,
    question: u64,
    number: u64,
    /// Whether this start is known to others: nothing is answered before.
    admitted: bool,
    admit_by: f64,
    /// It has not been admitted at all yet: whoever it hears of counts.
    fresh: bool,
    /// From then on writes are answered without a majority, as far as nobody has been promised otherwise.
    free_at: f64,
    alone: bool,
    started: f64,
    last_turn: f64,
    wanted: f64,
    whole_until: f64,
    was_whole: bool,
    stood_down: bool,
    budget: (f64, f64),
    out: Vec<(SocketAddr, Vec<u8>)>,
    notices: Vec<Notice>,
    pub(crate) counts: Counts,
    rng: u64,
    /// The strict facts of others have changed since the last look.
    news: bool,
    /// What is to be written to disk.
    records: Vec<crate::disk::Record>,
    keeps: bool,
}

impl Node {
    /// An instance that has just started, at the time `now`. `kept` is what an earlier start has left on disk.
    pub fn new(
        me: Identity,
        keys: Keys,
        terms: NodeConfig,
        seed: u64,
        now: f64,
        kept: Option<crate::disk::StoredState>,
    ) -> Node {
        let unmet: BTreeSet<SocketAddr> =
            terms.seeds.iter().copied().filter(|seed| *seed != me.address).collect();
        let mut node = Node {
            swim: Swim::new(me.clone(), seed),
            keys,
            log: Log::default(),
            peers: BTreeMap::new(),
            views: Views::default(),
            own_views: Vec::new(),
            own_uses: Vec::new(),
            round: 0,
            seed_asked: VecDeque::new(),
            next_seed: now,
            next_sweep: now + SWEEP,
            next_flush: None,
            flushed: f64::NEG_INFINITY,
            due: now,
            waiting: BTreeMap::new(),
            tickets: 0,
            open: HashMap::new(),
            stated: VecDeque::new(),
            sessions: HashMap::new(),
            standings: BTreeMap::new(),
            roles: BTreeMap::new(),
            past: HashMap::new(),
            past_order: VecDeque::new(),
            // One that has just started remembers nothing: any session may have written until now, here too.
            floor: now + terms.clock_error,
            roster: 0,
            places: BTreeMap::new(),
            sum: message::identity_hash(&me),
            question: 0,
            number: 0,
            admitted: unmet.is_empty(),
            admit_by: now + terms.lease,
            fresh: true,
            // [R5] An earlier start may have promised it.
            free_at: now,
            alone: false,
            started: now,
            last_turn: now,
            wanted: f64::NEG_INFINITY,
            whole_until: f64::NEG_INFINITY,
            was_whole: unmet.is_empty(),
            stood_down: false,
            budget: (BYTES_PER_S, now),
            out: Vec::new(),
            notices: Vec::new(),
            counts: Counts::default(),
            rng: seed | 1,
            news: false,
            records: Vec::new(),
            keeps: kept.is_some(),
            unmet,
            me,
            terms,
        };
        node.state(now, Fact::Floor { below: 0, position: f64::NEG_INFINITY });
        for who in kept.into_iter().flat_map(|kept| kept.seen) {
            node.know(now, &who);
        }
        node.free_at = lessor_end(now, node.long());
        node
    }

    /// Who this is.
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    // --- what this instance does -----------------------------------------------------------------------------------

    /// A write of a session has come.
    pub fn begin_write(&mut self, now: f64, name: &str) -> Ticket {
        self.turn(now);
        let session = session(name);
        let open = self.open.entry(session.clone()).or_insert(0);
        *open += 1;
        let key = Key::Written(session.clone());
        // [R1] What is under way is stated before it can be answered. One that is open already covers this one too.
        let number = match self.log.number(&key).filter(|_| *open > 1) {
            Some(number) => number,
            None => {
                let position = self.own_mark(&key).position;
                self.state(now, Fact::Written { session: session.clone(), open: true, position })
            }
        };
        self.wait_for(now, Awaited::Fact(number), Some(session))
    }

    /// That write has ended: with a commit at this position, or without one that its client will hear of.
    pub fn end_write(&mut self, now: f64, ticket: Ticket, position: Option<f64>) {
        self.turn(now);
        let Some(session) = self.waiting.get_mut(&ticket).and_then(|waiting| waiting.session.take()) else {
            return;
        };
        let key = Key::Written(session.clone());
        let left = self.open.get(&session).map_or(0, |open| open - 1);
        if left == 0 {
            self.open.remove(&session);
        } else {
            self.open.insert(session.clone(), left);
        }
        let position = crate::merge::later(self.own_mark(&key).position, position);
        self.state(now, Fact::Written { session, open: left > 0, position });
    }

    /// Nobody waits for that write any more, or its answer is given.
    pub fn forget(&mut self, now: f64, ticket: Ticket) {
        self.end_write(now, ticket, None);
        self.waiting.remove(&ticket);
    }

    fn own_mark(&self, key: &Key) -> WriteMark {
        match self.log.get(key) {
            Some(Fact::Written { open, position, .. }) => WriteMark { open: *open, position: *position },
            _ => WriteMark::default(),
        }
    }

    /// Whether a write may go to the primary: a majority knows that it is under way, or this one answers without one.
    pub fn may_send(&mut self, now: f64, ticket: Ticket) -> bool {
        self.turn(now);
        let Some(waiting) = self.waiting.get(&ticket) else { return true };
        let may =
            self.admitted(now) && !self.stood_down && (self.by_majority(waiting.awaited) || self.free(now));
        if let Some(waiting) = self.waiting.get_mut(&ticket).filter(|_| may) {
            waiting.sent = true;
        }
        may
    }

    /// Whether there is no hope that a write may soon be sent: too few others are heard.
    pub fn cannot_send_writes(&mut self, now: f64) -> bool {
        self.turn(now);
        let begins = now - self.started < self.terms.lease;
        self.stood_down || (!begins && !self.has_majority(now) && !self.free(now))
    }

    /// Whether a write may be answered: whoever may go by an older copy of this one's log has read that it is under way, or
    /// may no longer go by it.
    pub fn may_answer(&mut self, now: f64, ticket: Ticket) -> bool {
        self.turn(now);
        let Some(waiting) = self.waiting.get(&ticket) else { return true };
        // [R2]
        waiting.sent && self.admitted(now) && self.all_know(now, ticket)
    }

    /// What a read of a session needs.
    pub fn read_requirement(&mut self, now: f64, name: &str) -> ReadRequirement {
        self.turn(now);
        self.wanted = now;
        if self.stood_down {
            return ReadRequirement::Primary(PrimaryReason::SteppedDown);
        }
        if let Some(why) = self.not_whole(now) {
            return ReadRequirement::Primary(why);
        }
        let session = session(name);
        let mut mark = WriteMark::default();
        for (_, other) in self.sessions.get(&session).into_iter().flatten() {
            mark.join(other);
        }
        if mark.open {
            return ReadRequirement::Primary(PrimaryReason::WriteInFlight);
        }
        let past = self.past.get(&session).map(|(position, _)| *position);
        let own = self.own_mark(&Key::Written(session)).position;
        let position = crate::merge::later(crate::merge::later(mark.position, past), own);
        ReadRequirement::AtLeast(position.map_or(self.floor, |position| position.max(self.floor)))
    }

    /// What the list says of a member.
    pub fn report_member_status(
        &mut self,
        now: f64,
        member: &str,
        since: f64,
        source: u64,
        version: u64,
        stand: MemberStatus,
    ) {
        let member: Arc<str> = message::truncated_name(member);
        let key = Key::MemberStatus(member.clone());
        let known = match self.log.get(&key) {
            Some(Fact::MemberStatus { since, stand, source, .. }) => Some((*since, *stand, *source)),
            _ => None,
        };
        // Of those that simply serve nothing is said, unless something else was.
        if known == Some((since, stand, source)) || (known.is_none() && stand == MemberStatus::Serving) {
            return;
        }
        self.state(now, Fact::MemberStatus { member, since, source, version, stand });
    }

    /// A member has said that it is the primary of its group, at this position of the log.
    pub fn record_primary_claim(&mut self, now: f64, group: u32, member: &str, position: f64) {
        let member: Arc<str> = message::truncated_name(member);
        if let Some(Fact::Role { member: known, .. }) = self.log.get(&Key::Role(group)) {
            if *known == member {
                return;
            }
        }
        self.state(now, Fact::Role { group, member, position });
    }

    /// What this instance works by.
    pub fn report_versions(&mut self, now: f64, list: u64, generation: u64, program: &str) {
        let program: Arc<str> = message::truncated_name(program);
        let fact = Fact::Versions { list, generation, program };
        if self.log.get(&Key::Versions) != Some(&fact) {
            self.state(now, fact);
        }
    }

    /// How members look to this instance, and what tenants use here: told to the others at once, those of the own zone
    /// first.
    pub fn publish_views(&mut self, now: f64, views: Vec<View>, uses: Vec<TenantUsage>) {
        self.turn(now);
        (self.own_views, self.own_uses) = (views, uses);
        self.round += 1;
        let (round, zone) = (self.round, self.me.zone.clone());
        let names: Vec<Arc<str>> = self.peers.keys().cloned().collect();
        for name in names {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            let near = peer.who.zone == zone;
            if !peer.here() || peer.missing || (!near && !round.is_multiple_of(FAR_BEATS)) {
                continue;
            }
            let mut at = peer.views_at;
            let mut uses = self.own_uses.clone();
            for _ in 0..VIEWS_AT_ONCE {
                let (mut taken, mut used) = (Vec::new(), 32 + uses.len() * 24);
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
                if taken.is_empty() && uses.is_empty() {
                    break;
                }
                let body = Body::Views { round, views: taken, usage: std::mem::take(&mut uses) };
                if !self.send(now, &name, &body, true) || done {
                    break;
                }
            }
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.views_at = if self.own_views.is_empty() { 0 } else { at % self.own_views.len() };
            }
        }
    }

    // --- what is known ---------------------------------------------------------------------------------------------

    /// What the lists say of members, as other instances have stated it: the strictest word about the start that is
    /// given.
    pub fn member_status(&self, member: &str, since: f64) -> MemberStatus {
        let mut all = MergedStatus::default();
        for word in self.standings.get(member).into_iter().flat_map(|words| words.values()) {
            all.join(word);
        }
        // This one's own word is as good: a later version of its list lifts what an earlier one said.
        if let Some(Fact::MemberStatus { since, source, version, stand, .. }) =
            self.log.get(&Key::MemberStatus(member.into()))
        {
            all.join(&MergedStatus::of(*source, *since, *version, *stand));
        }
        all.strictest(since)
    }

    /// All members that any other instance has said something of.
    pub fn members_with_status(&self) -> impl Iterator<Item = &Arc<str>> {
        self.standings.keys()
    }

    /// Who claims to be the primary of which group, as other instances have heard it.
    pub fn primary_claims(&self) -> BTreeMap<u32, PrimaryClaim> {
        let all = |words: &BTreeMap<Arc<str>, PrimaryClaim>| {
            let mut all = PrimaryClaim::default();
            words.values().for_each(|word| all.join(word));
            all
        };
        self.roles.iter().map(|(group, words)| (*group, all(words))).collect()
    }

    /// What all others together say of members.
    pub fn aggregated_views(&self, now: f64) -> BTreeMap<Arc<str>, AggregatedView> {
        self.views.aggregated_views(now)
    }

    /// What tenants use of all others together (requests a second).
    pub fn tenant_usage(&self, now: f64) -> BTreeMap<Arc<str>, f64> {
        self.views.tenant_usage(now)
    }

    /// What each other says of a member, with its age (seconds).
    pub fn views_of(&self, now: f64, member: &str) -> Vec<(Arc<str>, f64, View)> {
        self.views.of(now, member)
    }

    /// Instances that are there, this one included.
    pub fn reachable_instances(&self) -> usize {
        1 + self.here().filter(|peer| !peer.missing).count()
    }

    /// Whether others have stated something new since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.news)
    }

    pub(crate) fn here(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.here())
    }

    /// What a session wrote, by author.
    pub fn session_marks(&self, name: &str) -> Vec<(Arc<str>, WriteMark)> {
        let session = session(name);
        let mut all: Vec<(Arc<str>, WriteMark)> = self.sessions.get(&session).cloned().unwrap_or_default();
        if let Some((position, _)) = self.past.get(&session) {
            all.push(("(over)".into(), WriteMark { open: false, position: Some(*position) }));
        }
        let own = self.own_mark(&Key::Written(session));
        if own != WriteMark::default() {
            all.push((self.me.name.clone(), own));
        }
        all
    }

    /// Any session may have written up to this position (seconds, as positions are told).
    pub fn floor(&self) -> f64 {
        self.floor
    }

    /// Whether this one answers writes without a majority.
    pub fn is_without_majority(&self) -> bool {
        self.alone
    }

    // --- time and messages -----------------------------------------------------------------------------------------

    /// When [`Node::tick`] is due next.
    pub fn next_due(&self) -> f64 {
        self.next_flush.map_or(self.due, |flush| flush.min(self.due))
    }

    fn look_ahead(&self) -> f64 {
        let asks = self.here().map(|peer| peer.next_ask);
        let again = self.here().filter(|p| p.got < p.pushed).map(|p| p.pushed_at + p.again);
        let held = self.here().filter_map(|p| p.held.map(|(until, _, _)| until));
        let met = |p: &&Peer| p.met_got < self.roster && p.heard > f64::NEG_INFINITY;
        let whom = self.here().filter(met).map(|p| p.tell_whom);
        let seeds = (!self.unmet.is_empty()).then_some(self.next_seed);
        let waits = self.waiting.values().flat_map(|w| w.lessees.iter().map(|(_, until)| *until));
        let waits = waits.filter(|until| *until > self.last_turn).min_by(f64::total_cmp);
        let free = (self.free_at > self.last_turn).then_some(self.free_at);
        let admit = (!self.admitted).then_some(self.admit_by);
        let all =
            asks.chain(again).chain(whom).chain(held).chain(seeds).chain(waits).chain(free).chain(admit);
        let all = all.chain(self.swim.next_due()).chain([self.next_sweep]);
        // A loop that is late by half a lease doubts itself: it turns often enough not to.
        all.fold(self.last_turn + self.terms.lease / 4.0, f64::min).max(self.last_turn + GATHER)
    }

    /// Time passes.
    pub fn tick(&mut self, now: f64) {
        self.turn(now);
        self.swim.tick(now);
        if now >= self.next_seed && !self.unmet.is_empty() {
            self.next_seed = now + SEED;
            for seed in self.unmet.clone() {
                self.question += 1;
                let question = self.question;
                self.seed_asked.push_back((question, seed));
                self.seed_asked.truncate(4 * self.terms.seeds.len().max(1));
                let body = Body::LeaseRequest {
                    question,
                    read: ReadProgress::default(),
                    own: self.whom(),
                    lease: false,
                    missing: Vec::new(),
                };
                let head = self.head(0);
                let sealed = self.keys.seal(message::encode(&head, &body));
                self.post(seed, sealed, false);
            }
        }
        // Those due soon go along: each turn looks at all that there are.
        let soon = now + self.terms.lease * ASK_EARLY;
        let due: Vec<Arc<str>> =
            self.here().filter(|peer| soon >= peer.next_ask).map(|peer| peer.who.name.clone()).collect();
        for name in due {
            self.ask(now, &name);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP;
            self.sweep(now);
        }
        self.notice_alone(now);
        self.settle(now);
        self.flush(now);
        self.due = self.look_ahead();
    }

    /// A datagram has come. Nothing that is not authentic is looked at.
    pub fn receive(&mut self, now: f64, bytes: &[u8]) {
        self.turn(now);
        let Some(opened) = self.keys.open(bytes) else {
            self.counts.forged += 1;
            return;
        };
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        match message::decode(opened) {
            Some((head, Some(body))) => self.hear(now, head, body),
            Some((_, None)) => self.counts.unknown += 1,
            None => self.counts.unknown += 1,
        }
        self.settle(now);
    }

    /// What is to be sent, where to, since the last call.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// What has happened since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// What is to be written to disk since the last call.
    pub fn take_records(&mut self) -> Vec<crate::disk::Record> {
        std::mem::take(&mut self.records)
    }

    /// Whether there is room for so many bytes that can wait, and takes them.
    fn room(&mut self, now: f64, bytes: usize) -> bool {
        let (saved, at) = self.budget;
        let saved = (saved + (now - at).max(0.0) * BYTES_PER_S).min(BYTES_PER_S / 4.0);
        let bytes = bytes as f64;
        self.budget = (if saved >= bytes { saved - bytes } else { saved }, now);
        saved >= bytes
    }

    // --- inner -----------------------------------------------------------------------------------------------------

    /// Each call begins here. A loop that comes back after a while doubts itself: it may have been called over.
    fn turn(&mut self, now: f64) {
        if now - self.last_turn > self.terms.lease / 2.0 && (!self.peers.is_empty() || !self.unmet.is_empty())
        {
            // [R6]
            (self.admitted, self.admit_by) = (false, now + self.terms.lease);
            for peer in self.peers.values_mut() {
                peer.asked.clear();
                peer.next_ask = peer.next_ask.min(now);
            }
        }
        self.last_turn = self.last_turn.max(now);
    }

    fn admitted(&self, now: f64) -> bool {
        self.admitted || now >= self.admit_by
    }

    fn draw(&mut self) -> f64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Instances that majorities are of, as far as known.
    fn electorate(&self) -> usize {
        1 + self.here().filter(|peer| peer.counted).count() + self.unmet.len()
    }

    fn majority(&self) -> usize {
        self.electorate() / 2 + 1
    }

    fn by_majority(&self, awaited: Awaited) -> bool {
        1 + self.here().filter(|peer| peer.counted && awaited.known_to(peer)).count() >= self.majority()
    }

    /// How long this one promises to answer no write without a majority. Of two, one that is lost leaves no majority, and
    /// patience would gain nothing.
    fn long(&self) -> f64 {
        let all = 1 + self.here().count() + self.unmet.len();
        if all <= 2 {
            self.terms.lease
        } else {
            self.terms.majority_timeout.max(self.terms.lease)
        }
    }

    fn state(&mut self, now: f64, fact: Fact) -> u64 {
        let number = self.log.state(fact);
        self.stated.push_back((number, now));
        self.flush_soon(now);
        number
    }

    fn wait_for(&mut self, now: f64, awaited: Awaited, session: Option<Arc<str>>) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        // [R2] Leases that are granted from now on reach up to this fact and need not be waited for.
        let lent = self.here().filter(|peer| peer.lent > now && !awaited.known_to(peer));
        let lessees = lent.map(|peer| (peer.who.name.clone(), peer.lent)).collect();
        self.waiting.insert(ticket, Waiting { awaited, lessees, session, sent: false });
        ticket
    }

    fn head(&mut self, to: u64) -> Header {
        self.number += 1;
        Header { version: VERSION, from: self.swim.identity().clone(), number: self.number, to }
    }

    fn post(&mut self, to: SocketAddr, sealed: Vec<u8>, far: bool) {
        self.counts.sent += 1;
        self.counts.sent_bytes += sealed.len() as u64;
        self.counts.far_bytes += if far { sealed.len() as u64 } else { 0 };
        self.out.push((to, sealed));
    }

    /// Sends a message to one that is known. Where it can wait, the bound of bytes must have room for it.
    fn send(&mut self, now: f64, name: &str, body: &Body, can_wait: bool) -> bool {
        let Some((who, start)) = self.peers.get(name).map(|peer| (peer.who.clone(), peer.who.start)) else {
            return false;
        };
        let head = self.head(start);
        let sealed = self.keys.seal(message::encode(&head, body));
        if can_wait && !self.room(now, sealed.len()) {
            return false;
        }
        let to = self.terms.routes.get(&who.name).copied().unwrap_or(who.address);
        self.post(to, sealed, who.zone != self.me.zone);
        true
    }

    /// Why reads of sessions go to the primary now; none where they go by what is known. Unlike a read's question it does
    /// not ask for leases.
    pub fn primary_reason(&mut self, now: f64) -> Option<PrimaryReason> {
        if self.stood_down {
            Some(PrimaryReason::SteppedDown)
        } else {
            self.not_whole(now)
        }
    }

    /// Sessions of which others have stated a write.
    pub fn tracked_sessions(&self) -> usize {
        self.sessions.len() + self.past.len()
    }

    /// What is counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }
}

/// When what was promised for so long is over by the clock of whoever promised it.
fn lessor_end(now: f64, lasts: f64) -> f64 {
    now + lasts * (1.0 + RATE_ERROR) + MOMENT
}

/// Puts an author's word of a thing in its place, or takes it away.
fn place<K: Ord, V>(
    all: &mut BTreeMap<K, BTreeMap<Arc<str>, V>>,
    key: K,
    author: &Arc<str>,
    word: Option<V>,
) {
    match word {
        Some(word) => {
            all.entry(key).or_default().insert(author.clone(), word);
        }
        None => {
            if let Some(words) = all.get_mut(&key) {
                words.remove(author);
                if words.is_empty() {
                    all.remove(&key);
                }
            }
        }
    }
}
