//! One instance among others: whose logs it has read and how far, who has read its own, and what follows for the
//! reads and writes of sessions. The argument that no session reads what is older than its own write stands in
//! docs/replication.md; the rules that it needs are marked `[R1]` to `[R7]` here and there.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use membership::{Identity, Swim, MOST};

use crate::auth::{Keys, SEAL};
use crate::fact::{session, Fact, Key, Stand};
use crate::log::Log;
use crate::merge::{Claim, Join, Mark, Standing};
use crate::message::{self, Body, Cover, Head, Reading, BODY, LONGEST_PIECE, VERSION};
use crate::view::{Together, Use, View, Views};

/// A lessor's clock may run so much faster than its lessee's: his promise lasts longer by this share, and by a moment.
const RATE_ERROR: f64 = 0.1;
const MOMENT: f64 = 0.01;
/// Times that a lease is asked for while it lasts.
const ASKS_PER_LEASE: f64 = 3.0;
/// Questions a second at the most, whoever is there. Bounds the cost of a large installation.
const ASKS_PER_S: f64 = 4_000.0;
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
pub const STREAM_BEHIND: u64 = 1_000;
/// Pause before what was pushed is pushed again (seconds), doubling to the most.
const AGAIN: f64 = 0.03;
const AGAIN_MOST: f64 = 0.5;
/// Datagrams pushed to one instance at a time, before it says that it has read them.
const WINDOW: usize = 16;
/// Pushes are gathered for so long (seconds).
const GATHER: f64 = 0.000_5;
/// How long a session's write is stated (seconds): far past what a replica lags by, as in the decisions.
const LIFE: f64 = 60.0;
/// Sessions that an instance states at the most.
pub const SESSIONS: usize = 20_000;
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
/// Bytes a second that views and pieces may take together, and saved up at most.
pub const BYTES_PER_S: f64 = 4_000_000.0;

/// What a node goes by.
#[derive(Clone, Debug)]
pub struct Terms {
    /// How long others go by what they have read of this one's log (seconds). At most half of the shortest aim of a
    /// write, so that a write's answer never waits beyond its aim.
    pub lease: f64,
    /// How long one that has no majority turns writes of sessions away; afterwards it answers them, and all others
    /// send the reads of all sessions to the primary (seconds).
    pub patience: f64,
    /// Error of this machine's clock against the positions that db machines tell (seconds).
    pub clock_error: f64,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// Where some are reached, whatever they say themselves.
    pub routes: BTreeMap<Arc<str>, SocketAddr>,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { lease: 0.5, patience: 2.5, clock_error: 0.1, seeds: Vec::new(), routes: BTreeMap::new() }
    }
}

/// A write that is under way, until its answer is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a session's read needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// Data up to this position (seconds, as positions are told).
    From(f64),
    /// The primary: what the session wrote may not be known here.
    Primary(Why),
}

/// Why a session's read needs the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// A write of the session is under way through another instance.
    UnderWay,
    /// An instance does not answer, and may be answering writes.
    Missing,
    /// What others have stated has not been read yet.
    CatchingUp,
    /// A seed has never answered.
    Unmet,
    /// Another process runs under this one's name.
    StoodDown,
}

impl Why {
    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            Why::UnderWay => "a write of the session is under way elsewhere",
            Why::Missing => "an instance does not answer and may be answering writes",
            Why::CatchingUp => "what others have stated has not been read yet, or no session reads here",
            Why::Unmet => "a seed has never answered",
            Why::StoodDown => "another process runs under this one's name",
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
    Missing(Arc<str>),
    Back(Arc<str>),
    /// Reads of sessions may go by what is known again, or may not.
    Whole(bool),
    /// No majority for so long that writes are answered without one, or it is there again.
    Alone(bool),
    Suspected(Arc<str>),
    /// Two instances under one name.
    Conflict(SocketAddr),
    /// Two members claim to be a group's primary.
    TwoPrimaries(u32, Arc<str>, Arc<str>),
    /// Another has called this one over: it goes on under a new start.
    Renewed(u64),
}

/// How an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Over {
    Left,
    Ended,
}

/// Another instance.
#[derive(Debug)]
pub(crate) struct Peer {
    pub who: Identity,
    /// Its log, as far as it has been read.
    pub copy: Log,
    /// Promises that count once the copy has come so far: the number, the lease's end, the end of the longer promise.
    promised: Vec<(u64, f64, f64)>,
    /// End of the lease that counts.
    pub lease: f64,
    /// Until then it answers no write without a majority.
    pub long: f64,
    /// Coverage by others while it is missing: how far they have read it, the end of that, the end of the longer
    /// promise that they have from it.
    covers: BTreeMap<Arc<str>, (u64, f64, f64)>,
    /// It has once granted this one a lease: what it stated since is known here, or known to be missing.
    pub met: bool,
    /// The highest number that it is known to have stated.
    pub told: u64,
    /// When it was last heard, and when what it said last was asked for.
    pub heard: f64,
    pub contact: f64,
    /// Questions without an answer: number, time, whether a lease was asked for.
    asked: VecDeque<(u64, f64)>,
    next_ask: f64,
    missing: bool,
    /// How far it has read this one's log, where the next piece for it begins, and what it says under conditions.
    pub read: u64,
    got: u64,
    claims: Vec<(u64, u64)>,
    /// End of the lease that it has from this one, by this one's clock.
    lent: f64,
    pushed: u64,
    pushed_at: f64,
    again: f64,
    /// It is owed word of how far it has been read.
    owed: bool,
    /// While this lasts its log counts as read only so far: others go by it.
    held: Option<(f64, u64)>,
    /// The ticket by which others get to know of it before it gets a lease.
    admission: Option<Ticket>,
    /// It counts for majorities.
    pub counted: bool,
    pub over: Option<(Over, f64)>,
    /// Numbers of its messages: the highest, and which of the 64 below have come.
    number: u64,
    window: u64,
    views_at: usize,
    /// Its log is read from a stream.
    streams: bool,
}

impl Peer {
    fn new(who: Identity, now: f64) -> Peer {
        let never = f64::NEG_INFINITY;
        Peer {
            who,
            copy: Log::default(),
            promised: Vec::new(),
            lease: never,
            long: never,
            covers: BTreeMap::new(),
            met: false,
            told: 0,
            heard: never,
            contact: never,
            asked: VecDeque::new(),
            next_ask: now,
            missing: false,
            read: 0,
            got: 0,
            claims: Vec::new(),
            lent: never,
            pushed: 0,
            pushed_at: never,
            again: AGAIN,
            owed: false,
            held: None,
            admission: None,
            counted: false,
            over: None,
            number: 0,
            window: 0,
            views_at: 0,
            streams: false,
        }
    }

    pub fn here(&self) -> bool {
        self.over.is_none()
    }

    /// How far it may be told that its log has been read.
    fn read_so_far(&self, now: f64) -> u64 {
        match self.held {
            // [R3] Who goes by leases from here has to know of it before its writes count on this one.
            _ if self.admission.is_some() => 0,
            Some((until, upto)) if now < until => upto.min(self.copy.sound()),
            _ => self.copy.sound(),
        }
    }

    fn reading(&self, now: f64) -> Reading {
        Reading { sound: self.read_so_far(now), got: self.copy.upto() }
    }

    /// Whether a message of this number has not come before.
    fn fresh(&mut self, number: u64) -> bool {
        if number > self.number {
            let by = number - self.number;
            self.window = if by >= 64 { 0 } else { self.window << by } | 1;
            self.number = number;
            return true;
        }
        let back = self.number - number;
        if back >= 64 || self.window & (1 << back) != 0 {
            return false;
        }
        self.window |= 1 << back;
        true
    }
}

/// A write under way, or another fact that has to be known before something goes on.
#[derive(Debug)]
struct Waiting {
    number: u64,
    /// Whose leases from before it are not over: each until it has read the fact, or the lease has ended.
    lessees: Vec<(Arc<str>, f64)>,
    session: Option<Arc<str>>,
    /// A majority knew of it, or none was needed, when it was sent.
    sent: bool,
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
    pub(crate) terms: Terms,
    pub(crate) log: Log,
    pub(crate) peers: BTreeMap<Arc<str>, Peer>,
    pub(crate) swim: Swim,
    views: Views,
    own_views: Vec<View>,
    own_uses: Vec<Use>,
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
    sessions: HashMap<Arc<str>, Vec<(Arc<str>, Mark)>>,
    /// What others say of members' standing and of primaries, by author.
    standings: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Standing>>,
    roles: BTreeMap<u32, BTreeMap<Arc<str>, Claim>>,
    /// Marks of instances that are over, and until when they matter.
    past: HashMap<Arc<str>, (f64, f64)>,
    past_order: VecDeque<(f64, Arc<str>)>,
    /// Any session may have written up to here.
    pub(crate) floor: f64,
    /// The newest word in the own log on who is there.
    roster: u64,
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
        terms: Terms,
        seed: u64,
        now: f64,
        kept: Option<crate::disk::Kept>,
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
        node.free_at = now + node.long() * (1.0 + RATE_ERROR) + MOMENT;
        node
    }

    /// Who this is.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    // --- what this instance does -----------------------------------------------------------------------------------

    /// A write of a session has come.
    pub fn write_begins(&mut self, now: f64, name: &str) -> Ticket {
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
        self.wait_for(now, number, Some(session))
    }

    /// That write has ended: with a commit at this position, or without one that its client will hear of.
    pub fn write_ends(&mut self, now: f64, ticket: Ticket, position: Option<f64>) {
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
        self.write_ends(now, ticket, None);
        self.waiting.remove(&ticket);
    }

    fn own_mark(&self, key: &Key) -> Mark {
        match self.log.get(key) {
            Some(Fact::Written { open, position, .. }) => Mark { open: *open, position: *position },
            _ => Mark::default(),
        }
    }

    /// Whether a write may go to the primary: a majority knows that it is under way, or this one answers without one.
    pub fn may_send(&mut self, now: f64, ticket: Ticket) -> bool {
        self.turn(now);
        let Some(waiting) = self.waiting.get(&ticket) else { return true };
        let may =
            self.admitted(now) && !self.stood_down && (self.by_majority(waiting.number) || self.free(now));
        if let Some(waiting) = self.waiting.get_mut(&ticket).filter(|_| may) {
            waiting.sent = true;
        }
        may
    }

    /// Whether there is no hope that a write may soon be sent: too few others are heard.
    pub fn hopeless(&mut self, now: f64) -> bool {
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
    pub fn need(&mut self, now: f64, name: &str) -> Need {
        self.turn(now);
        self.wanted = now;
        if self.stood_down {
            return Need::Primary(Why::StoodDown);
        }
        if let Some(why) = self.not_whole(now) {
            return Need::Primary(why);
        }
        let session = session(name);
        let mut mark = Mark::default();
        for (_, other) in self.sessions.get(&session).into_iter().flatten() {
            mark.join(other);
        }
        if mark.open {
            return Need::Primary(Why::UnderWay);
        }
        let past = self.past.get(&session).map(|(position, _)| *position);
        let own = self.own_mark(&Key::Written(session)).position;
        let position = crate::merge::later(crate::merge::later(mark.position, past), own);
        Need::From(position.map_or(self.floor, |position| position.max(self.floor)))
    }

    /// What the list says of a member.
    pub fn tell(&mut self, now: f64, member: &str, since: f64, source: u64, version: u64, stand: Stand) {
        let member: Arc<str> = message::name(member);
        let key = Key::Told(member.clone());
        let known = match self.log.get(&key) {
            Some(Fact::Told { since, stand, source, .. }) => Some((*since, *stand, *source)),
            _ => None,
        };
        // Of those that simply serve nothing is said, unless something else was.
        if known == Some((since, stand, source)) || (known.is_none() && stand == Stand::Serving) {
            return;
        }
        self.state(now, Fact::Told { member, since, source, version, stand });
    }

    /// A member has said that it is the primary of its group, at this position of the log.
    pub fn claimed(&mut self, now: f64, group: u32, member: &str, position: f64) {
        let member: Arc<str> = message::name(member);
        if let Some(Fact::Role { member: known, .. }) = self.log.get(&Key::Role(group)) {
            if *known == member {
                return;
            }
        }
        self.state(now, Fact::Role { group, member, position });
    }

    /// What this instance works by.
    pub fn works_by(&mut self, now: f64, list: u64, generation: u64, program: &str) {
        let program: Arc<str> = message::name(program);
        let fact = Fact::Versions { list, generation, program };
        if self.log.get(&Key::Versions) != Some(&fact) {
            self.state(now, fact);
        }
    }

    /// How members look to this instance, and what tenants use here: told to the others at once, those of the own zone
    /// first.
    pub fn observe(&mut self, now: f64, views: Vec<View>, uses: Vec<Use>) {
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
                    if used > BODY {
                        break;
                    }
                    taken.push(view.clone());
                    at += 1;
                }
                let done = taken.len() == self.own_views.len();
                if taken.is_empty() && uses.is_empty() {
                    break;
                }
                let body = Body::Views { round, views: taken, uses: std::mem::take(&mut uses) };
                if !self.send(now, &name, &body, true) || done {
                    break;
                }
            }
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.views_at = if self.own_views.is_empty() { 0 } else { at % self.own_views.len() };
            }
        }
    }

    /// An operator says that an instance is over and does not come back: by its name, or the address of a seed that never
    /// answered. Whether there is one.
    pub fn write_off(&mut self, now: f64, name: &str) -> bool {
        if let Some(seed) = name.parse().ok().filter(|seed| self.unmet.contains(seed)) {
            self.unmet.remove(&seed);
            return true;
        }
        match self.peers.get(name).filter(|peer| peer.here()) {
            Some(peer) => {
                let (name, start) = (peer.who.name.clone(), peer.who.start);
                self.end(now, &name, start, Over::Ended);
                true
            }
            None => false,
        }
    }

    /// This instance ends: all its writes are answered. Said to all, and to be called again until it returns true or
    /// patience ends.
    pub fn leave(&mut self, now: f64) -> bool {
        self.turn(now);
        let upto = self.log.upto();
        let names: Vec<Arc<str>> = self.here().map(|peer| peer.who.name.clone()).collect();
        let mut all = true;
        for name in names {
            let lags = self.peers.get(&name).is_some_and(|peer| peer.read < upto && !peer.missing);
            all &= !lags;
            self.send(now, &name, &Body::Leave { upto }, false);
        }
        self.flush(now);
        if all {
            self.swim.leave(now);
        }
        all
    }

    // --- what is known ---------------------------------------------------------------------------------------------

    /// What the lists say of members, as other instances have stated it: the strictest word about the start that is
    /// given.
    pub fn told(&self, member: &str, since: f64) -> Stand {
        let mut all = Standing::default();
        for word in self.standings.get(member).into_iter().flat_map(|words| words.values()) {
            all.join(word);
        }
        // This one's own word is as good: a later version of its list lifts what an earlier one said.
        if let Some(Fact::Told { since, source, version, stand, .. }) =
            self.log.get(&Key::Told(member.into()))
        {
            all.join(&Standing::of(*source, *since, *version, *stand));
        }
        all.strictest(since)
    }

    /// All members that any other instance has said something of.
    pub fn told_of(&self) -> impl Iterator<Item = &Arc<str>> {
        self.standings.keys()
    }

    /// Who claims to be the primary of which group, as other instances have heard it.
    pub fn claims(&self) -> BTreeMap<u32, Claim> {
        let all = |words: &BTreeMap<Arc<str>, Claim>| {
            let mut all = Claim::default();
            words.values().for_each(|word| all.join(word));
            all
        };
        self.roles.iter().map(|(group, words)| (*group, all(words))).collect()
    }

    /// What all others together say of members.
    pub fn together(&self, now: f64) -> BTreeMap<Arc<str>, Together> {
        self.views.together(now)
    }

    /// What tenants use of all others together (requests a second).
    pub fn uses(&self, now: f64) -> BTreeMap<Arc<str>, f64> {
        self.views.uses(now)
    }

    /// What each other says of a member, with its age (seconds).
    pub fn views_of(&self, now: f64, member: &str) -> Vec<(Arc<str>, f64, View)> {
        self.views.of(now, member)
    }

    /// Instances that are there, this one included.
    pub fn alive(&self) -> usize {
        1 + self.here().filter(|peer| !peer.missing).count()
    }

    /// Whether others have stated something new since the last call.
    pub fn news(&mut self) -> bool {
        std::mem::take(&mut self.news)
    }

    pub(crate) fn here(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.here())
    }

    /// What a session wrote, by author.
    pub fn marks(&self, name: &str) -> Vec<(Arc<str>, Mark)> {
        let session = session(name);
        let mut all: Vec<(Arc<str>, Mark)> = self.sessions.get(&session).cloned().unwrap_or_default();
        if let Some((position, _)) = self.past.get(&session) {
            all.push(("(over)".into(), Mark { open: false, position: Some(*position) }));
        }
        let own = self.own_mark(&Key::Written(session));
        if own != Mark::default() {
            all.push((self.me.name.clone(), own));
        }
        all
    }

    /// Any session may have written up to this position (seconds, as positions are told).
    pub fn floor(&self) -> f64 {
        self.floor
    }

    /// Whether this one answers writes without a majority.
    pub fn is_alone(&self) -> bool {
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
        let held = self.here().filter_map(|p| p.held.map(|(until, _)| until));
        let seeds = (!self.unmet.is_empty()).then_some(self.next_seed);
        let waits = self.waiting.values().flat_map(|w| w.lessees.iter().map(|(_, until)| *until));
        let waits = waits.filter(|until| *until > self.last_turn).min_by(f64::total_cmp);
        let free = (self.free_at > self.last_turn).then_some(self.free_at);
        let admit = (!self.admitted).then_some(self.admit_by);
        let all = asks.chain(again).chain(held).chain(seeds).chain(waits).chain(free).chain(admit);
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
                let body = Body::Ask {
                    question,
                    read: Reading::default(),
                    own: self.roster,
                    lease: false,
                    missing: Vec::new(),
                };
                let head = self.head(0);
                let sealed = self.keys.seal(message::encode(&head, &body));
                self.post(seed, sealed, false);
            }
        }
        let due: Vec<Arc<str>> =
            self.here().filter(|peer| now >= peer.next_ask).map(|peer| peer.who.name.clone()).collect();
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
    pub fn take_out(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
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

    /// Pushes what is new to those who have not read it, and says how far they have been read.
    pub fn flush(&mut self, now: f64) {
        (self.next_flush, self.flushed) = (None, now);
        let names: Vec<Arc<str>> = self.here().map(|peer| peer.who.name.clone()).collect();
        for name in names {
            self.admit(now, &name);
            self.push(now, &name);
            let own = self.roster;
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            if peer.held.is_some_and(|(until, _)| now >= until) {
                (peer.held, peer.owed) = (None, true);
            }
            if std::mem::take(&mut peer.owed) {
                let read = peer.reading(now);
                self.send(now, &name, &Body::Read { read, own }, false);
            }
        }
    }

    /// Pushes what has gathered for long enough.
    pub fn flush_due(&mut self, now: f64) {
        if self.next_flush.is_some_and(|at| at <= now) {
            self.flush(now);
        }
    }

    /// Facts gather for a moment, so that many writes go in few datagrams.
    fn flush_soon(&mut self, now: f64) {
        if self.next_flush.is_none() {
            self.next_flush = Some(now.max(self.flushed + GATHER));
        }
    }

    // --- streams ---------------------------------------------------------------------------------------------------

    /// Instances whose logs are better read from a stream than by datagrams, and where they are.
    pub fn to_stream(&mut self, now: f64) -> Vec<(Arc<str>, SocketAddr)> {
        let terms = &self.terms;
        let far = |p: &&mut Peer| {
            p.here()
                && !p.streams
                && !p.missing
                && now - p.heard < MISSING
                && p.told > p.copy.upto() + STREAM_BEHIND
        };
        let mut all = Vec::new();
        for peer in self.peers.values_mut().filter(far) {
            peer.streams = true;
            let to = terms.routes.get(&peer.who.name).copied().unwrap_or(peer.who.address);
            all.push((peer.who.name.clone(), to));
        }
        all
    }

    /// The first message on a stream to an instance: it goes on from what has been read.
    pub fn fetch(&mut self, name: &str) -> Option<Vec<u8>> {
        let (start, from) = self.peers.get(name).map(|peer| (peer.who.start, peer.copy.upto()))?;
        let head = self.head(start);
        Some(self.keys.seal(message::encode(&head, &Body::Fetch { from })))
    }

    /// The stream to an instance has ended; what came of it stays.
    pub fn stream_ended(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.streams = false;
        }
    }

    /// A message on a stream that another has opened: from which number on it wants the log. None where it is not
    /// authentic, or asks for something else.
    pub fn fetched(&mut self, now: f64, bytes: &[u8]) -> Option<(Arc<str>, u64)> {
        let Some(opened) = self.keys.open(bytes) else {
            self.counts.forged += 1;
            return None;
        };
        let (head, body) = message::decode(opened)?;
        // A replayed one would make this one write its log to a stranger who can't make use of it.
        let fresh = head.to == self.me.start && self.numbered(now, &head);
        match body {
            Some(Body::Fetch { from }) if fresh => Some((head.from.name, from)),
            _ => None,
        }
    }

    /// The next piece of the own log for a stream, and up to which number it goes; none where it has all, or where the
    /// bound of bytes has no room for now.
    pub fn stream_piece(&mut self, now: f64, name: &str, from: u64) -> Option<(Vec<u8>, u64)> {
        let start = self.peers.get(name).filter(|peer| peer.here())?.who.start;
        if !self.room(now, LONGEST_PIECE) {
            return None;
        }
        let room = LONGEST_PIECE - SEAL - message::HEAD;
        let (upto, facts) = message::piece(from, self.log.upto(), self.log.after(from), room)?;
        let head = self.head(start);
        let sealed =
            self.keys.seal(message::encode(&head, &Body::Push { from, upto, end: self.log.upto(), facts }));
        self.counts.sent_bytes += sealed.len() as u64;
        Some((sealed, upto))
    }

    /// The highest number of the own log.
    pub fn upto(&self) -> u64 {
        self.log.upto()
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

    fn by_majority(&self, number: u64) -> bool {
        1 + self.here().filter(|peer| peer.counted && peer.read >= number).count() >= self.majority()
    }

    /// How long this one promises to answer no write without a majority. Of two, one that is lost leaves no majority, and
    /// patience would gain nothing.
    fn long(&self) -> f64 {
        let all = 1 + self.here().count() + self.unmet.len();
        if all <= 2 {
            self.terms.lease
        } else {
            self.terms.patience.max(self.terms.lease)
        }
    }

    /// Whether a majority has been heard lately.
    fn has_majority(&self, now: f64) -> bool {
        1 + self.here().filter(|p| p.counted && now - p.heard < HEARD).count() >= self.majority()
    }

    /// Whether writes may be answered without a majority: nobody has been promised otherwise. [R5]
    fn free(&self, now: f64) -> bool {
        now >= self.free_at
    }

    /// Tells when a majority is lost for good, and when it is back.
    fn notice_alone(&mut self, now: f64) {
        let alone = self.free(now) && !self.has_majority(now);
        if alone != self.alone {
            self.alone = alone;
            self.notices.push(Notice::Alone(alone));
        }
    }

    fn state(&mut self, now: f64, fact: Fact) -> u64 {
        let roster = matches!(fact, Fact::Seen { .. });
        let number = self.log.state(fact);
        if roster {
            self.roster = number;
        }
        self.stated.push_back((number, now));
        self.flush_soon(now);
        number
    }

    fn wait_for(&mut self, now: f64, number: u64, session: Option<Arc<str>>) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        // [R2] Leases that are granted from now on reach up to this fact and need not be waited for.
        let lent = self.here().filter(|peer| peer.lent > now && peer.read < number);
        let lessees = lent.map(|peer| (peer.who.name.clone(), peer.lent)).collect();
        self.waiting.insert(ticket, Waiting { number, lessees, session, sent: false });
        ticket
    }

    /// Takes in who is there: from himself, or from what others have stated.
    fn know(&mut self, now: f64, who: &Identity) {
        if who.name == self.me.name {
            self.namesake(now, who);
            return;
        }
        if let Some(peer) = self.peers.get_mut(&who.name) {
            if who.start < peer.who.start || (who.start == peer.who.start && !peer.here()) {
                return;
            }
            if who.start == peer.who.start {
                peer.who = who.clone();
                return;
            }
            let start = peer.who.start;
            self.end(now, &who.name, start, Over::Ended);
        } else if self.peers.len() >= MOST {
            return;
        }
        let counted = self.peers.get(&who.name).is_some_and(|old| old.counted) || self.fresh;
        let mut peer = Peer::new(who.clone(), now);
        // [R4] Who joins counts once a majority knows of him; who has just started himself counts all that he hears
        // of. One that comes back under its name takes its own place.
        peer.counted = counted;
        self.peers.insert(who.name.clone(), peer);
        self.due = self.due.min(now);
        self.whole_until = f64::NEG_INFINITY;
        let number = self.state(now, Fact::Seen { who: who.clone(), over: false });
        // [R3]
        let admission = self.wait_for(now, number, None);
        if let Some(peer) = self.peers.get_mut(&who.name) {
            peer.admission = Some(admission);
        }
        self.notices.push(Notice::Joined(who.clone()));
        if self.keeps {
            self.records.push(crate::disk::Record::Seen(who.clone()));
        }
        self.swim.met(now, who);
    }

    /// Somebody has this one's name. Of an earlier start it is old word; a later one, elsewhere, has taken the name.
    fn namesake(&mut self, now: f64, who: &Identity) {
        if who.start == self.me.start {
            return;
        }
        if who.start > self.me.start && !self.stood_down {
            self.swim.contested(now, who);
            self.stood_down = true;
            self.notices.push(Notice::Conflict(who.address));
        }
    }

    /// An instance, or an earlier start of it, is over.
    fn end(&mut self, now: f64, name: &Arc<str>, start: u64, how: Over) {
        // Looked at first: what is known now of what it stated decides what becomes of it.
        let known = self.known_whole(now, name);
        let Some(peer) = self.peers.get_mut(name).filter(|peer| peer.here() && peer.who.start == start)
        else {
            return;
        };
        peer.over = Some((how, now));
        let copy = std::mem::take(&mut peer.copy);
        let who = peer.who.clone();
        // [R7] What it may have answered and this one has not read raises the floor: for the sessions that it had
        // writes of under way, where all that it stated is known, else for all.
        let until_now = now + self.terms.clock_error;
        let mut unread = !known;
        for (_, fact) in copy.facts() {
            if let Fact::Written { session, open, position } = fact {
                self.unlist(session, name);
                let position = if *open { Some(until_now) } else { *position };
                if let (true, Some(position)) = (known, position) {
                    unread |= !self.remember_past(now, session.clone(), position);
                }
            }
        }
        for words in self.standings.values_mut() {
            words.remove(name);
        }
        for words in self.roles.values_mut() {
            words.remove(name);
        }
        self.standings.retain(|_, words| !words.is_empty());
        self.roles.retain(|_, words| !words.is_empty());
        if let Some(floor) = copy.floor() {
            self.floor = self.floor.max(floor);
        }
        if unread {
            self.floor = self.floor.max(until_now);
        }
        self.whole_until = f64::NEG_INFINITY;
        self.views.gone(name);
        self.news = true;
        self.state(now, Fact::Seen { who: who.clone(), over: true });
        if self.keeps {
            self.records.push(crate::disk::Record::Over(who.clone()));
        }
        self.notices.push(if how == Over::Left { Notice::Left(who) } else { Notice::Ended(who, !unread) });
    }

    fn remember_past(&mut self, now: f64, session: Arc<str>, position: f64) -> bool {
        while self.past_order.front().is_some_and(|(until, _)| *until <= now) {
            let Some((until, old)) = self.past_order.pop_front() else { break };
            if self.past.get(&old).is_some_and(|(_, kept)| *kept <= until) {
                self.past.remove(&old);
            }
        }
        if self.past.len() >= PAST {
            return false;
        }
        let until = now + LIFE;
        let kept = self.past.entry(session.clone()).or_insert((position, until));
        *kept = (kept.0.max(position), until);
        self.past_order.push_back((until, session));
        true
    }

    fn unlist(&mut self, session: &Arc<str>, author: &Arc<str>) {
        if let Some(marks) = self.sessions.get_mut(session) {
            marks.retain(|(name, _)| name != author);
            if marks.is_empty() {
                self.sessions.remove(session);
            }
        }
    }

    /// Whether all that an instance can have answered by now is known here: it says so itself, or all others that
    /// answer say that it answers nobody.
    fn known_whole(&self, now: f64, name: &str) -> bool {
        let Some(peer) = self.peers.get(name) else { return true };
        now < peer.lease || self.covered(now, peer)
    }

    /// Whether all that answer cover one that does not, and they are a majority. [R3]
    pub(crate) fn covered(&self, now: f64, missing: &Peer) -> bool {
        if !missing.met || !self.unmet.is_empty() {
            return false;
        }
        let (mut lost, mut all, mut long) = (0, 1, missing.long);
        for other in self.here() {
            all += 1;
            if now >= other.lease {
                lost += 1;
                continue;
            }
            let cover = missing.covers.get(&other.who.name);
            match cover {
                Some((upto, until, promise)) if now < *until && missing.copy.sound() >= *upto => {
                    long = long.max(*promise);
                }
                _ => return false,
            }
        }
        2 * lost < all && now < long
    }

    /// Why reads of sessions may not go by what is known here; none where they may.
    fn not_whole(&mut self, now: f64) -> Option<Why> {
        if now < self.whole_until {
            return None;
        }
        let why = self.look_whole(now);
        let whole = why.is_none();
        if whole != self.was_whole {
            self.was_whole = whole;
            self.notices.push(Notice::Whole(whole));
        }
        why
    }

    fn look_whole(&mut self, now: f64) -> Option<Why> {
        if !self.unmet.is_empty() {
            return Some(Why::Unmet);
        }
        let mut until = f64::INFINITY;
        for peer in self.here() {
            if now < peer.lease {
                until = until.min(peer.lease);
                continue;
            }
            if !self.covered(now, peer) {
                return Some(if peer.missing { Why::Missing } else { Why::CatchingUp });
            }
            let ends = peer.covers.values().flat_map(|(_, end, long)| [*end, *long]).chain([peer.long]);
            until = ends.filter(|end| *end > now).fold(until, f64::min);
        }
        // What holds now holds until the first of these ends.
        self.whole_until = until;
        None
    }

    fn head(&mut self, to: u64) -> Head {
        self.number += 1;
        Head { version: VERSION, from: self.swim.own().clone(), number: self.number, to }
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

    /// Looks whether all who go by leases from here know of another by now.
    fn admit(&mut self, now: f64, name: &Arc<str>) {
        let Some(ticket) = self.peers.get(name).and_then(|peer| peer.admission) else { return };
        if self.all_know(now, ticket) {
            self.waiting.remove(&ticket);
            if let Some(peer) = self.peers.get_mut(name) {
                (peer.admission, peer.owed) = (None, true);
            }
        }
    }

    fn ask(&mut self, now: f64, name: &Arc<str>) {
        self.admit(now, name);
        let jitter = 0.85 + 0.3 * self.draw();
        let (lease, count) = (self.terms.lease, self.peers.len() as f64);
        let wanted = now - self.wanted < WANTED || !self.admitted;
        // Leases that end soon: whoever does not answer is to be covered before.
        let missing: Vec<(Arc<str>, u64, u64)> = self
            .here()
            .filter(|p| wanted && p.who.name != *name && p.met && p.lease - now < lease * 0.6)
            .map(|p| (p.who.name.clone(), p.who.start, p.copy.upto()))
            .take(MOST_MISSING + 1)
            .collect();
        let missing = if missing.len() > MOST_MISSING { Vec::new() } else { missing };
        self.question += 1;
        let (question, own) = (self.question, self.roster);
        let Some(peer) = self.peers.get_mut(name) else { return };
        let every = (lease / ASKS_PER_LEASE).max(count / ASKS_PER_S);
        // One that has not answered for long is asked at the idle pace.
        let gone = peer.heard.is_finite() && now - peer.heard > 10.0 * lease.max(1.0);
        peer.next_ask = now + jitter * if wanted && !gone { every } else { IDLE_ASK };
        peer.asked.push_back((question, now));
        if peer.asked.len() > 32 {
            peer.asked.pop_front();
        }
        let silent = peer.heard.is_finite() && now - peer.heard > MISSING;
        if silent && !gone && peer.asked.len() > 1 {
            peer.next_ask = peer.next_ask.min(now + jitter * ASK_AGAIN.max(count / ASKS_PER_S));
        }
        if !peer.missing && silent && peer.asked.len() > UNANSWERED {
            peer.missing = true;
            self.notices.push(Notice::Missing(name.clone()));
        }
        let Some(peer) = self.peers.get(name) else { return };
        let read = peer.reading(now);
        self.send(now, name, &Body::Ask { question, read, own, lease: wanted, missing }, false);
    }

    /// Whether a message's number is new; takes in who speaks.
    fn numbered(&mut self, now: f64, head: &Head) -> bool {
        if head.from.name == self.me.name {
            self.namesake(now, &head.from);
            return false;
        }
        let earlier = self.peers.get(&head.from.name).is_some_and(|peer| {
            head.from.start < peer.who.start || (head.from.start == peer.who.start && !peer.here())
        });
        if earlier {
            // One that has been written off and lives has to hear of it: it goes on under a new start.
            let ended = |p: &&Peer| {
                p.who.start == head.from.start && p.over.is_some_and(|(how, _)| how == Over::Ended)
            };
            if self.peers.get(&head.from.name).filter(ended).is_some() && head.number.is_multiple_of(4) {
                let name = head.from.name.clone();
                self.send(now, &name, &Body::Over { start: head.from.start }, true);
            }
            return false;
        }
        self.know(now, &head.from);
        let Some(peer) = self.peers.get_mut(&head.from.name) else { return false };
        if !peer.fresh(head.number) {
            return false;
        }
        peer.heard = now;
        if std::mem::take(&mut peer.missing) {
            self.notices.push(Notice::Back(head.from.name.clone()));
            if let Some(peer) = self.peers.get_mut(&head.from.name) {
                (peer.again, peer.next_ask) = (AGAIN, peer.next_ask.min(now));
            }
        }
        true
    }

    fn hear(&mut self, now: f64, head: Head, body: Body) {
        // A seed that is this one itself answers to no question.
        if head.from.name == self.me.name && head.from.start == self.me.start {
            if let Body::Ask { question, .. } = body {
                if let Some((_, seed)) = self.seed_asked.iter().find(|(asked, _)| *asked == question).copied()
                {
                    self.unmet.remove(&seed);
                    self.admitted |= self.unmet.is_empty() && self.peers.is_empty();
                }
            }
            return;
        }
        if (head.to != 0 && head.to != self.me.start) || !self.numbered(now, &head) {
            self.counts.replayed += 1;
            return;
        }
        let name = head.from.name.clone();
        match body {
            Body::Ask { question, read, own, lease, missing } => {
                if head.to == self.me.start {
                    self.has_read(now, &name, read, own);
                }
                self.grant(now, &name, question, lease, &missing);
            }
            Body::Grant { question, upto, lease_ms, long_ms, covers } => {
                self.granted(now, &name, question, (upto, lease_ms, long_ms), covers);
            }
            Body::Push { from, upto, end, facts } => {
                self.read(now, &name, (from, upto, end), facts);
                if let Some(peer) = self.peers.get_mut(&name) {
                    peer.owed = true;
                }
                self.flush_soon(now);
            }
            Body::Passed { author, from, upto, end, facts } => {
                // Only of the start that is known, and never what this one could read itself.
                let fits = |p: &Peer| p.who.start == author.start && p.here() && now >= p.lease;
                if self.peers.get(&author.name).is_some_and(fits) {
                    self.read(now, &author.name, (from, upto, end), facts);
                }
            }
            Body::Read { read, own } => self.has_read(now, &name, read, own),
            Body::Views { round, views, uses } => {
                let start = head.from.start;
                self.views.take(now, &name, start, round, views);
                self.views.take_uses(now, &name, start, round, uses);
            }
            Body::Swim(bytes) => self.swim.receive(now, &bytes),
            Body::Leave { upto } => {
                let whole = self.peers.get(&name).is_some_and(|peer| peer.copy.sound() >= upto);
                // It says so again until all is read; who goes without waiting leaves the rest to the floor.
                if whole {
                    let start = head.from.start;
                    if let Some(peer) = self.peers.get_mut(&name) {
                        peer.lease = f64::INFINITY;
                    }
                    let own = self.roster;
                    let read = Reading { sound: upto, got: upto };
                    self.send(now, &name, &Body::Read { read, own }, false);
                    self.end(now, &name, start, Over::Left);
                }
            }
            Body::Over { start } if start == self.me.start => self.renew(now),
            Body::Over { .. } | Body::Fetch { .. } => {}
        }
    }

    /// Another has read this one's log so far.
    fn has_read(&mut self, now: f64, name: &Arc<str>, read: Reading, own: u64) {
        let end = self.log.upto();
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.told = peer.told.max(own);
        if read.got.min(end) > peer.got {
            (peer.got, peer.again) = (read.got.min(end), AGAIN);
            peer.pushed = peer.pushed.max(peer.got);
        }
        peer.claims.push((read.sound.min(end), own));
        if peer.claims.len() > 64 {
            peer.claims.remove(0);
        }
        self.count_reads(now, name);
    }

    /// What another says to have read counts once this one knows whom that one knows of. [R4]
    fn count_reads(&mut self, now: f64, name: &Arc<str>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let known = peer.copy.sound();
        let read = peer.claims.iter().filter(|(_, own)| known >= *own).map(|(upto, _)| *upto).max();
        peer.claims.retain(|(_, own)| known < *own);
        let Some(read) = read.filter(|read| *read > peer.read) else { return };
        peer.read = read;
        self.flush_soon(now);
        self.count_joined();
    }

    /// Who has joined counts for majorities once one knows of him. [R4]
    fn count_joined(&mut self) {
        let waiting: Vec<Arc<str>> =
            self.here().filter(|peer| !peer.counted).map(|peer| peer.who.name.clone()).collect();
        for name in waiting {
            let number = self.log.number(&Key::Seen(name.clone()));
            if number.is_some_and(|number| self.by_majority(number)) {
                if let Some(peer) = self.peers.get_mut(&name) {
                    peer.counted = true;
                }
            }
        }
    }

    fn grant(
        &mut self,
        now: f64,
        name: &Arc<str>,
        question: u64,
        lease: bool,
        missing: &[(Arc<str>, u64, u64)],
    ) {
        let upto = self.log.upto();
        self.admit(now, name);
        let admitted = self.peers.get(name).is_some_and(|peer| peer.admission.is_none());
        let behind = self.peers.get(name).map_or(u64::MAX, |peer| upto - peer.read.min(upto));
        let lends = lease && admitted && behind <= LEASE_BEHIND && !self.stood_down;
        // [R5] Without a majority nothing is promised beyond the lease: nobody here can go by it.
        let long = if self.has_majority(now) { self.long() } else { 0.0 };
        let term = self.terms.lease;
        let mut covers = Vec::new();
        if lends {
            let until = now + term * (1.0 + RATE_ERROR) + MOMENT;
            self.free_at = self.free_at.max(now + long * (1.0 + RATE_ERROR) + MOMENT);
            if let Some(peer) = self.peers.get_mut(name) {
                peer.lent = peer.lent.max(until);
            }
            for (other, start, read) in missing.iter().take(MOST_MISSING) {
                covers.extend(self.cover(now, other, *start, until));
                self.pass_on(now, name, other, *start, *read);
            }
        }
        let milliseconds = |s: f64| (s * 1_000.0).clamp(0.0, f64::from(u32::MAX)) as u32;
        let lease_ms = if lends { milliseconds(term) } else { 0 };
        let body = Body::Grant { question, upto, lease_ms, long_ms: milliseconds(long), covers };
        self.send(now, name, &body, false);
    }

    /// Says of one that does not answer here either how far its log has been read, and holds to it: for as long as the asker
    /// goes by that, nothing further of it is acknowledged. [R3]
    fn cover(&mut self, now: f64, name: &Arc<str>, start: u64, until: f64) -> Option<Cover> {
        let peer = self.peers.get_mut(name).filter(|peer| peer.here() && peer.who.start == start)?;
        // One that was never met here may have stated anything.
        if !peer.met {
            return None;
        }
        if now - peer.heard > MISSING / 2.0 && peer.asked.is_empty() {
            peer.next_ask = now;
        }
        let unanswered = peer.asked.front().is_some_and(|(_, at)| now - at > MISSING * 2.0 / 3.0);
        if now - peer.heard <= MISSING || !unanswered {
            return None;
        }
        let upto = peer.read_so_far(now);
        let kept = peer.held.map_or(until, |(held, _)| held.max(until));
        peer.held = Some((kept, upto));
        let long_ms = ((peer.long - now).max(0.0) * 1_000.0) as u32;
        // One that has a part only does not know how far it knows.
        let sound = peer.copy.sound() == peer.copy.upto();
        sound.then(|| Cover { name: name.clone(), start, upto: peer.copy.upto(), long_ms })
    }

    /// Passes on what the asker lacks of one that answers neither.
    fn pass_on(&mut self, now: f64, to: &Arc<str>, of: &Arc<str>, start: u64, read: u64) {
        let missing = |peer: &&Peer| peer.here() && peer.who.start == start && now - peer.heard > MISSING;
        let Some(peer) = self.peers.get(of).filter(missing) else { return };
        let author = peer.who.clone();
        let Some((upto, facts)) = message::piece(read, peer.copy.upto(), peer.copy.after(read), BODY - 64)
        else {
            return;
        };
        let end = peer.copy.end();
        self.send(now, to, &Body::Passed { author, from: read, upto, end, facts }, true);
    }

    /// Whether all who go by an older copy know of a fact, or go by it no more.
    fn all_know(&self, now: f64, ticket: Ticket) -> bool {
        let Some(waiting) = self.waiting.get(&ticket) else { return true };
        waiting.lessees.iter().all(|(name, until)| {
            now >= *until || self.peers.get(name).is_none_or(|p| !p.here() || p.read >= waiting.number)
        })
    }

    fn granted(
        &mut self,
        now: f64,
        name: &Arc<str>,
        question: u64,
        (upto, lease_ms, long_ms): (u64, u32, u32),
        covers: Vec<Cover>,
    ) {
        if let Some(at) = self.seed_asked.iter().position(|(asked, _)| *asked == question) {
            // Who answers at a seed takes its place among those that count.
            if let Some((_, seed)) = self.seed_asked.remove(at) {
                if self.unmet.remove(&seed) {
                    if let Some(peer) = self.peers.get_mut(name) {
                        peer.counted = true;
                        peer.next_ask = now;
                    }
                }
            }
            return;
        }
        let seconds = |ms: u32| f64::from(ms) / 1_000.0;
        let own = self.terms.lease;
        let Some(peer) = self.peers.get_mut(name) else { return };
        let Some(at) = peer.asked.iter().position(|(asked, _)| *asked == question) else { return };
        let Some((_, asked)) = peer.asked.remove(at) else { return };
        // Older questions are answered by this as well: only the newest counts for being missing.
        peer.asked.drain(..at);
        peer.contact = peer.contact.max(asked);
        peer.told = peer.told.max(upto);
        if lease_ms == 0 {
            return;
        }
        // [R2] From the moment of the question, by this one's own clock.
        let until = asked + seconds(lease_ms).min(own);
        peer.promised.push((upto, until, asked + seconds(long_ms)));
        if peer.promised.len() > 8 {
            peer.promised.remove(0);
        }
        for Cover { name: other, start, upto, long_ms } in covers {
            let fits = |p: &&mut Peer| p.who.start == start && p.here();
            if let Some(missing) = self.peers.get_mut(&other).filter(fits) {
                missing.covers.insert(name.clone(), (upto, until, asked + seconds(long_ms)));
                missing.told = missing.told.max(upto);
            }
        }
        self.count_leases(name);
    }

    fn count_leases(&mut self, name: &Arc<str>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let read = peer.copy.sound();
        let (counts, waits): (Vec<_>, Vec<_>) =
            std::mem::take(&mut peer.promised).into_iter().partition(|(upto, _, _)| read >= *upto);
        peer.promised = waits;
        for (_, until, long) in counts {
            peer.met = true;
            peer.lease = peer.lease.max(until);
            // Only with what it had stated by then: what it answered alone before is no part of the promise.
            peer.long = peer.long.max(long);
            // Whom that one knows of is known here by now. [R4]
            (self.admitted, self.fresh) = (true, false);
        }
    }

    /// Takes in facts of another's log.
    fn read(&mut self, now: f64, name: &Arc<str>, (from, upto, end): (u64, u64, u64), facts: message::Facts) {
        let Some(peer) = self.peers.get_mut(name).filter(|peer| peer.here()) else { return };
        peer.told = peer.told.max(end);
        let mut changed = BTreeSet::new();
        let mut copy = std::mem::take(&mut peer.copy);
        let taken = copy.take((from, upto, end), message::facts(facts), |key| {
            changed.insert(key);
        });
        if let Some(floor) = copy.floor() {
            self.floor = self.floor.max(floor);
        }
        let (mut seen, mut roles) = (Vec::new(), false);
        for key in &changed {
            match (key, copy.get(key)) {
                (Key::Written(session), Some(Fact::Written { open, position, .. })) => {
                    let mark = Mark { open: *open, position: *position };
                    self.unlist(session, name);
                    self.sessions.entry(session.clone()).or_default().push((name.clone(), mark));
                }
                (Key::Written(session), _) => self.unlist(session, name),
                (Key::Seen(_), Some(Fact::Seen { who, over })) => seen.push((who.clone(), *over)),
                (Key::Told(member), fact) => {
                    let word = match fact {
                        Some(Fact::Told { since, source, version, stand, .. }) => {
                            Some(Standing::of(*source, *since, *version, *stand))
                        }
                        _ => None,
                    };
                    place(&mut self.standings, member.clone(), name, word);
                    self.news = true;
                }
                (Key::Role(group), fact) => {
                    let word = match fact {
                        Some(Fact::Role { member, position, .. }) => {
                            Some(Claim::of(member.clone(), *position))
                        }
                        _ => None,
                    };
                    place(&mut self.roles, *group, name, word);
                    (self.news, roles) = (true, true);
                }
                _ => {}
            }
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.copy = copy;
        }
        for (who, over) in seen {
            if !over {
                self.know(now, &who);
            } else if who.name == self.me.name && who.start == self.me.start {
                self.renew(now);
            } else if who.name != self.me.name {
                let earlier = self.peers.get(&who.name).is_some_and(|peer| peer.who.start <= who.start);
                if earlier {
                    let start = self.peers.get(&who.name).map_or(0, |peer| peer.who.start);
                    self.end(now, &who.name, start, Over::Ended);
                }
            }
        }
        if taken {
            self.count_leases(name);
            self.count_reads(now, name);
        }
        if roles {
            self.conflicts();
        }
    }

    /// Two members that claim to be one group's primary are told of.
    fn conflicts(&mut self) {
        for (group, claim) in self.claims() {
            if let [(first, _), (second, _), ..] = claim.all()[..] {
                let notice = Notice::TwoPrimaries(group, first.clone(), second.clone());
                if !self.notices.contains(&notice) {
                    self.notices.push(notice);
                }
            }
        }
    }

    /// Others have called this start over: it goes on as a new one, whose writes wait until they know of it.
    fn renew(&mut self, now: f64) {
        self.me.start += 1;
        let own = Identity { renewal: 0, ..self.me.clone() };
        self.swim = Swim::new(own, self.rng);
        (self.admitted, self.admit_by) = (false, now + self.terms.lease);
        self.free_at = self.free_at.max(now + self.long() * (1.0 + RATE_ERROR) + MOMENT);
        for peer in self.peers.values_mut() {
            (peer.read, peer.got, peer.pushed) = (0, 0, 0);
            (peer.lent, peer.next_ask) = (f64::NEG_INFINITY, now);
            peer.claims.clear();
            peer.asked.clear();
        }
        // All that is under way is stated anew: who knew it of the earlier start has dropped it.
        let open: Vec<Arc<str>> = self.open.keys().cloned().collect();
        for session in open {
            let position = self.own_mark(&Key::Written(session.clone())).position;
            let number = self.state(now, Fact::Written { session: session.clone(), open: true, position });
            for waiting in self.waiting.values_mut().filter(|w| w.session.as_ref() == Some(&session)) {
                waiting.number = number;
            }
        }
        let known: Vec<Identity> = self.here().map(|peer| peer.who.clone()).collect();
        known.iter().for_each(|who| self.swim.met(now, who));
        self.notices.push(Notice::Renewed(self.me.start));
        if self.keeps {
            self.records.push(crate::disk::Record::Start(self.me.start));
        }
    }

    fn push(&mut self, now: f64, name: &Arc<str>) {
        let end = self.log.upto();
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.got >= end || peer.heard == f64::NEG_INFINITY {
            return;
        }
        // To one that does not answer a piece is sent now and then; questions go on beside it.
        let lost = peer.missing || now - peer.heard > 1.0;
        if peer.pushed > peer.got && now >= peer.pushed_at + peer.again {
            peer.again = (peer.again * 2.0).min(AGAIN_MOST);
            peer.pushed = peer.got;
        } else if lost && now < peer.pushed_at + AGAIN_MOST {
            return;
        }
        // Far behind: it reads from a stream, and is asked of nothing here but what keeps a lease.
        let far = end - peer.got > STREAM_BEHIND;
        let window = if lost || far { 1 } else { WINDOW };
        let mut from = peer.pushed.max(peer.got);
        let mut sent = false;
        for _ in 0..window {
            let Some((upto, facts)) = message::piece(from, end, self.log.after(from), BODY) else { break };
            // What is strict and new goes at once; what is caught up with keeps to the bound.
            let old = end - from > LEASE_BEHIND;
            if !self.send(now, name, &Body::Push { from, upto, end, facts }, old) {
                break;
            }
            (from, sent) = (upto, true);
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.pushed = from;
            if sent {
                peer.pushed_at = now;
            }
        }
    }

    /// Facts that have aged: sessions are no longer stated, what still holds is stated anew.
    fn sweep(&mut self, now: f64) {
        self.views.age(now);
        let known: Vec<Identity> = self.here().map(|peer| peer.who.clone()).collect();
        known.iter().for_each(|who| self.swim.met(now, who));
        let mut position = f64::NEG_INFINITY;
        let mut below = 0;
        while let Some((number, at)) = self.stated.front().copied() {
            let crowded = self.log.len() > SESSIONS + MOST;
            if now - at < LIFE && !crowded {
                break;
            }
            self.stated.pop_front();
            let fact =
                self.log.after(number - 1).next().filter(|(n, _)| *n == number).map(|(_, f)| f.clone());
            below = number;
            match fact {
                Some(Fact::Written { open: false, position: written, .. }) => {
                    position = written.map_or(position, |written| position.max(written));
                }
                Some(Fact::Told { stand: Stand::Serving, .. }) | Some(Fact::Floor { .. }) | None => {}
                Some(Fact::Seen { who, over: true }) if !self.shown(now, &who.name) => {}
                Some(fact) => {
                    self.state(now, fact);
                }
            }
        }
        if below > 0 {
            let known = self.log.floor().unwrap_or(f64::NEG_INFINITY);
            self.state(now, Fact::Floor { below, position: position.max(known) });
            self.floor = self.floor.max(position);
        }
        let old: Vec<Arc<str>> = self
            .peers
            .values()
            .filter(|peer| peer.over.is_some_and(|(_, at)| now - at > SHOWN))
            .map(|peer| peer.who.name.clone())
            .collect();
        for name in old {
            self.peers.remove(&name);
        }
    }

    fn shown(&self, now: f64, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.over.is_some_and(|(_, at)| now - at <= SHOWN))
    }

    /// Carries out what membership wants.
    fn settle(&mut self, now: f64) {
        let (out, notices) = self.swim.take();
        for (to, bytes) in out {
            let name = to.name.clone();
            if self.peers.contains_key(&name) {
                self.send(now, &name, &Body::Swim(bytes), false);
            }
        }
        for notice in notices {
            match notice {
                membership::Notice::Up(who) => self.know(now, &who),
                membership::Notice::Down(who) => self.notices.push(Notice::Suspected(who.name)),
                membership::Notice::Rejoined => {}
                membership::Notice::Conflict => {}
            }
        }
    }

    /// Why reads of sessions go to the primary now; none where they go by what is known. Unlike a read's question it does
    /// not ask for leases.
    pub fn why(&mut self, now: f64) -> Option<Why> {
        if self.stood_down {
            Some(Why::StoodDown)
        } else {
            self.not_whole(now)
        }
    }

    /// Sessions of which others have stated a write.
    pub fn sessions_known(&self) -> usize {
        self.sessions.len() + self.past.len()
    }

    /// Since when this start runs (seconds).
    pub fn started(&self) -> f64 {
        self.started
    }

    /// What is counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }
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
