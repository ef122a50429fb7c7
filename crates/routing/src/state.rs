//! What the policy keeps of members, groups and requests: plain data, no decision.

use crate::calls::Calls;
use crate::demand::{Demand, Share};
use crate::interface::{
    AttemptSummary, Conclusion, Explanation, MemberId, Outcome, Phase, Reason, RequestId, Settings,
};
use crate::latency::Latency;
use crate::pace::Pace;
use crate::permission::{AttemptRules, History};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// What other instances say of a member, where they talk.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReportedState {
    /// Whether any list tells it to take nothing new.
    pub drained: bool,
    /// Whether it alone is said to be the primary of its group.
    pub primary: bool,
    /// It was ejected by the word of others: that is no evidence for anybody else.
    pub ejected: bool,
    /// Requests of others there ...
    pub in_flight: f64,
    /// ... and when that was told (seconds).
    pub at: f64,
}

/// A member, as far as this proxy knows it.
#[derive(Default)]
pub(crate) struct Member {
    pub id: MemberId,
    pub zone: u32,
    pub group: u32,
    pub phase: Phase,
    /// Listed as leaving: binding even where being gone is only advice.
    pub bound_gone: bool,
    pub started_at: f64,
    pub listed_primary: bool,
    pub listed_at: f64,
    /// First-hand role and the time it speaks of.
    pub role: Option<(bool, f64)>,
    /// Claims to be the primary that speak of an earlier time than this, or come earlier and speak of none, are not taken: it
    /// has said that it is none.
    pub handing_over_until: f64,
    pub position: f64,
    pub position_at: f64,
    /// When the last answer came, and the last failure to get one.
    pub heard: f64,
    /// No read on hope before then.
    pub shy_until: f64,
    pub in_flight: u32,
    /// Work given up on that may still run: counts as load until these times.
    pub ghosts: Vec<f64>,
    pub suspicion: f64,
    pub suspicion_at: f64,
    pub out_until: f64,
    /// What spoke against it last was an answer: an error, which comes at once.
    pub errs: bool,
    /// When a connection to it last failed.
    pub lost_at: f64,
    pub ejected: bool,
    /// Ejections in a row, counting relapses.
    pub strikes: i32,
    pub back_at: f64,
    /// The one request that tries an ejected member is out.
    pub trial: bool,
    /// Time to answer over what the class takes elsewhere.
    pub pace: Pace,
    /// Mean own in flight when something was sent.
    pub usual_load: f64,
    /// When it was last listed as anything but left.
    pub left_at: f64,
    /// When something was last sent, and when the last that ended without an answer was.
    pub sent_at: f64,
    pub unanswered_at: f64,
    pub cold_since: f64,
    pub probed_at: f64,
    pub probing: bool,
    /// Not asked before then unless its answer is needed.
    pub quiet_until: f64,
    /// What other instances say of it, where they talk.
    pub reported: ReportedState,
}

impl Member {
    /// A member of which nothing is known but its place.
    pub fn new(id: MemberId, zone: u32, group: u32) -> Member {
        let never = f64::NEG_INFINITY;
        let (position, position_at, cold_since, probed_at) = (never, never, never, never);
        Member {
            id,
            zone,
            group,
            position,
            position_at,
            cold_since,
            probed_at,
            back_at: never,
            lost_at: never,
            heard: never,
            sent_at: never,
            unanswered_at: never,
            handing_over_until: never,
            ..Member::default()
        }
    }
}

/// A group: one primary and its replicas.
#[derive(Default)]
pub(crate) struct Group {
    pub members: Vec<usize>,
    pub primary: Option<usize>,
    pub held: VecDeque<u64>,
    pub seek_at: f64,
    pub seeking_since: Option<f64>,
    pub trial_write: Option<u64>,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub member: usize,
    pub sent: f64,
    /// The position that its answer must have seen, where its member was not known to have.
    pub needed: Option<f64>,
    pub open: bool,
    pub cancelled: bool,
    /// That its member does not answer has been counted.
    pub overdue: bool,
    /// It never reached its member.
    pub unsent: bool,
    /// How it ended, and what was concluded from that.
    pub ended: Option<(Outcome, Conclusion)>,
}

impl Attempt {
    /// An attempt just sent.
    pub fn new(member: usize, sent: f64, needed: Option<f64>) -> Attempt {
        let (open, cancelled, overdue, unsent, ended) = (true, false, false, false, None);
        Attempt { member, sent, needed, open, cancelled, overdue, unsent, ended }
    }
}

/// A request that is not finished, or still has attempts out.
pub(crate) struct Request {
    pub id: RequestId,
    pub class: usize,
    pub group: u32,
    pub arrived: f64,
    pub aim_at: f64,
    pub deadline: f64,
    /// Until then it may wait without having reached any member.
    pub hold_until: f64,
    /// Position a session read needs.
    pub token: f64,
    pub over_share: bool,
    pub session: Option<Arc<str>>,
    /// Drawn once from 0 to 1: decides where only a share of all requests may go.
    pub lot: f64,
    pub attempts: Vec<Attempt>,
    /// What is certain of its attempts, and what may still be done about it.
    pub history: History,
    pub held: bool,
    pub done: bool,
    /// The longest back-off that its refusal may tell (seconds), whatever the settings become meanwhile.
    pub backoff: f64,
}

impl Request {
    /// A request that nothing has been done for yet.
    pub fn new(
        id: RequestId,
        (class, group): (usize, u32),
        (arrived, aim_at, deadline): (f64, f64, f64),
    ) -> Request {
        Request {
            id,
            class,
            group,
            arrived,
            aim_at,
            deadline,
            hold_until: deadline,
            token: f64::NEG_INFINITY,
            over_share: false,
            session: None,
            lot: 0.0,
            attempts: Vec::new(),
            history: History::new(AttemptRules::default()),
            held: false,
            done: false,
            backoff: 0.0,
        }
    }

    /// Whether only the primary can serve it, whatever its class: what it must see is not known here.
    pub fn unknown(&self) -> bool {
        self.token == f64::INFINITY
    }

    /// Whether it has been sent to a member.
    pub fn tried(&self, m: usize) -> bool {
        self.attempts.iter().any(|a| a.member == m)
    }

    /// Whether no member has got it, as far as is known.
    pub fn untried(&self) -> bool {
        self.attempts.iter().all(|a| a.unsent)
    }
}

/// What to do with a request now.
pub(crate) enum Choice {
    To(usize),
    Hold,
    Refuse,
}

/// Decides where each request of one proxy goes.
pub struct Policy {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: f64,
    pub(crate) members: Vec<Member>,
    /// Places of members that are forgotten.
    pub(crate) free: Vec<usize>,
    pub(crate) by_id: HashMap<MemberId, usize>,
    pub(crate) groups: BTreeMap<u32, Group>,
    pub(crate) requests: BTreeMap<u64, Request>,
    pub(crate) numbers: HashMap<RequestId, u64>,
    pub(crate) next: u64,
    /// What each class usually takes.
    pub(crate) latency: Vec<Latency>,
    /// Until then members are taken to have no room for idle connections.
    pub(crate) no_idle_until: f64,
    pub(crate) retries: f64,
    pub(crate) probes: f64,
    pub(crate) tenants: Vec<Share>,
    /// Requests a second that this proxy gets.
    pub(crate) demand: Demand,
    pub(crate) sessions: HashMap<Arc<str>, f64>,
    pub(crate) session_order: VecDeque<(Arc<str>, f64)>,
    pub(crate) forgotten: f64,
    /// The shortest staleness bound of any class.
    pub(crate) bound: f64,
    pub(crate) tick: f64,
    pub(crate) ticking: bool,
    pub(crate) calls: Calls,
    pub(crate) refusing_until: f64,
}

impl Policy {
    /// An empty state around these settings.
    pub(crate) fn blank(settings: Settings, rng: fastrand::Rng) -> Policy {
        Policy {
            settings,
            rng,
            now: 0.0,
            members: Vec::new(),
            free: Vec::new(),
            by_id: HashMap::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            numbers: HashMap::new(),
            next: 1,
            latency: Vec::new(),
            no_idle_until: f64::NEG_INFINITY,
            retries: 0.0,
            probes: 0.0,
            tenants: Vec::new(),
            demand: Demand::default(),
            sessions: HashMap::new(),
            session_order: VecDeque::new(),
            forgotten: f64::NEG_INFINITY,
            bound: 0.0,
            tick: 0.0,
            ticking: false,
            calls: Calls::default(),
            refusing_until: f64::NEG_INFINITY,
        }
    }

    /// Why a request is given up, and what has become of its attempts.
    pub(crate) fn explain(&self, request: &Request, reason: Reason) -> Explanation {
        let summary = |attempt: &Attempt| AttemptSummary {
            member: self.members[attempt.member].id.clone(),
            age: self.now - attempt.sent,
            ended: attempt.ended,
        };
        let attempts = request.attempts.iter().map(summary).collect();
        let (id, class, waited) = (request.id.clone(), request.class, self.now - request.arrived);
        Explanation { id, class, waited, reason, attempts }
    }

    /// How many members are kept in mind, those that left lately included.
    pub fn tracked_members(&self) -> usize {
        self.members.len()
    }

    /// How many requests are kept in mind, those answered whose attempts have not all ended included.
    pub fn tracked_requests(&self) -> usize {
        self.requests.len()
    }

    /// How many groups are kept in mind.
    pub fn tracked_groups(&self) -> usize {
        self.groups.len()
    }
}
