//! State of members, groups and requests: plain data, no decisions.

use crate::demand::{Demand, TenantShare};
use crate::freshness::ReadAtWrite;
use crate::interface::{
    AttemptSummary, Conclusion, Consistency, Explanation, MemberId, Outcome, Phase, Reason, RequestId,
    Settings,
};
use crate::latency::Latency;
use crate::list_requests::ListRequests;
use crate::permission::{AttemptRules, History};
use crate::relative_latency::RelativeLatency;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Cookie of the housekeeping timer; requests use their own number, which starts at 1.
pub(crate) const HOUSEKEEPING_COOKIE: u64 = 0;

/// What other instances have reported about a member, if the state exchange is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReportedState {
    /// A list seen by another instance forbids new work for the member.
    pub drained: bool,
    /// The member is the only one reported as the primary of its group.
    pub primary: bool,
    /// The ejection is due to reports of others, and is therefore not reported as an own observation.
    pub ejected: bool,
    /// Requests of other instances in flight at the member, as of `received_at`.
    pub in_flight: f64,
    /// When the report was received (seconds).
    pub received_at: f64,
}

/// A member, as observed by this pooler. All times are in seconds; `NEG_INFINITY` means never.
#[derive(Default)]
pub(crate) struct Member {
    pub id: MemberId,
    pub zone: u32,
    pub group: u32,
    pub phase: Phase,
    /// Listed as leaving: it takes no new work, even if removal from the list is only advisory.
    pub leaving_listed: bool,
    pub started_at: f64,
    pub listed_primary: bool,
    pub listed_at: f64,
    /// Observed role (true for the primary) and the time for which it holds.
    pub role: Option<(bool, f64)>,
    /// The member has stated that it is not the primary: claims to be the primary that date from before this
    /// time, or are received before it without a date, are ignored.
    pub handing_over_until: f64,
    pub position: f64,
    pub position_at: f64,
    /// When the member last answered anything.
    pub last_heard_at: f64,
    /// No speculative read is sent to the member before this time.
    pub catch_up_until: f64,
    pub in_flight: u32,
    /// Abandoned requests that may still run on the member count as load until these times.
    pub abandoned_until: Vec<f64>,
    pub suspicion: f64,
    pub suspicion_updated_at: f64,
    pub ejected_until: f64,
    /// The latest suspicion is due to an error answer, not to a missing answer.
    pub answers_errors: bool,
    /// When a connection to the member last failed.
    pub connect_failed_at: f64,
    pub ejected: bool,
    /// Ejections in a row, including relapses soon after a return.
    pub ejection_count: i32,
    pub restored_at: f64,
    /// The one trial request of an ejected member is in flight.
    pub trial_in_flight: bool,
    /// Latency relative to that of the same class at other members.
    pub relative_latency: RelativeLatency,
    /// Mean number of own requests in flight at the member when one more was sent.
    pub mean_load: f64,
    /// When the member was last listed in a phase other than `Left`.
    pub last_listed_at: f64,
    /// When an attempt was last sent.
    pub last_sent_at: f64,
    /// When the latest of the attempts that ended without an answer was sent.
    pub last_unanswered_at: f64,
    pub cold_since: f64,
    pub probed_at: f64,
    pub probing: bool,
    /// No background probe is sent before this time; a probe that a request needs may be.
    pub next_background_probe_at: f64,
    /// What other instances have reported about the member.
    pub reported: ReportedState,
}

impl Member {
    /// A member whose zone and group are known, and nothing else.
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
            restored_at: never,
            connect_failed_at: never,
            last_heard_at: never,
            last_sent_at: never,
            last_unanswered_at: never,
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
    /// Numbers of the requests that wait for a member.
    pub queue: VecDeque<u64>,
    pub next_search_at: f64,
    /// Since when the group has had no usable primary.
    pub searching_since: Option<f64>,
    pub trial_write: Option<u64>,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub member: usize,
    pub sent_at: f64,
    /// What the answer must reflect, and what was known of the member, when the attempt was written.
    pub read: ReadAtWrite,
    pub open: bool,
    pub cancelled: bool,
    /// The missing answer has already been counted against the member.
    pub overdue: bool,
    /// The attempt never reached its member.
    pub unsent: bool,
    /// The attempt was not written, since its member may have been behind.
    pub withdrawn: bool,
    /// What the attempt took from the retry budget, being sent beside another one.
    pub hedging_cost: f64,
    /// How the attempt ended, and what was concluded from that.
    pub ended: Option<(Outcome, Conclusion)>,
}

impl Attempt {
    /// An attempt that is being sent.
    pub fn new(member: usize, sent_at: f64, read: ReadAtWrite) -> Attempt {
        Attempt {
            member,
            sent_at,
            read,
            open: true,
            cancelled: false,
            overdue: false,
            unsent: false,
            withdrawn: false,
            hedging_cost: 0.0,
            ended: None,
        }
    }
}

/// A request that is not finished, or still has attempts in flight.
pub(crate) struct Request {
    pub id: RequestId,
    pub class: usize,
    pub group: u32,
    pub arrived: f64,
    pub aim_at: f64,
    pub deadline: f64,
    /// Until this time the request may wait without having reached any member.
    pub queue_until: f64,
    /// Lowest position that the answer must reflect; infinite if unknown: only the primary can serve it then.
    pub required_position: f64,
    /// The part of it that other instances have reported, which members do not know.
    pub session_position: f64,
    /// The answer is passed on as it arrives, and so cannot be withheld.
    pub streams_answer: bool,
    pub over_share: bool,
    pub session: Option<Arc<str>>,
    /// Drawn once per request: decides whether it belongs to the share that a cold member may get.
    pub sample: f64,
    pub attempts: Vec<Attempt>,
    /// What is certain about the attempts, and what may still be done.
    pub history: History,
    pub queued: bool,
    /// The answer is being streamed, by a session that holds its server.
    pub streaming: bool,
    pub done: bool,
    /// Maximum back-off to send with a refusal (seconds); later changes of the settings do not affect it.
    pub backoff: f64,
}

impl Request {
    /// A request without attempts.
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
            queue_until: deadline,
            required_position: f64::NEG_INFINITY,
            session_position: f64::NEG_INFINITY,
            streams_answer: false,
            over_share: false,
            session: None,
            sample: 0.0,
            attempts: Vec::new(),
            history: History::new(AttemptRules::default()),
            queued: false,
            streaming: false,
            done: false,
            backoff: 0.0,
        }
    }

    /// Returns true if the required position is unknown, so that only the primary can serve the request.
    pub fn position_unknown(&self) -> bool {
        self.required_position == f64::INFINITY
    }

    /// Returns true if only the primary can serve a request of this consistency.
    pub fn needs_primary(&self, consistency: Consistency) -> bool {
        let needs_it = matches!(consistency, Consistency::Write | Consistency::Fresh);
        needs_it || self.position_unknown() || self.history.withdrawals_spent()
    }

    /// Returns true if an attempt was made at the member.
    pub fn was_sent_to(&self, m: usize) -> bool {
        self.attempts.iter().any(|a| a.member == m && !a.withdrawn)
    }

    /// Returns true if an attempt was not written, since its member may have been behind.
    pub fn was_withdrawn(&self) -> bool {
        self.attempts.iter().any(|a| a.withdrawn)
    }

    /// Returns true if no attempt is known to have reached a member.
    pub fn reached_no_member(&self) -> bool {
        self.attempts.iter().all(|a| a.unsent)
    }
}

/// Decision on the next step of a request.
pub(crate) enum Choice {
    /// Send it to the member with this index.
    To(usize),
    /// Queue it.
    Wait,
    /// Refuse it.
    Refuse,
}

/// Decides where each request of one pooler goes.
pub struct Policy {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: f64,
    pub(crate) members: Vec<Member>,
    /// Indices in `members` that are free for reuse.
    pub(crate) free_slots: Vec<usize>,
    pub(crate) by_id: HashMap<MemberId, usize>,
    pub(crate) groups: BTreeMap<u32, Group>,
    pub(crate) requests: BTreeMap<u64, Request>,
    pub(crate) request_numbers: HashMap<RequestId, u64>,
    pub(crate) next_number: u64,
    /// Latency of each class.
    pub(crate) latency: Vec<Latency>,
    /// Until this time members are assumed to have no connections to spare for idle ones.
    pub(crate) no_idle_until: f64,
    pub(crate) retry_budget: f64,
    pub(crate) probe_budget: f64,
    pub(crate) tenant_shares: Vec<TenantShare>,
    /// Rate of requests at this pooler.
    pub(crate) demand: Demand,
    /// Position of the last write of each session, and the writes in their order.
    pub(crate) sessions: HashMap<Arc<str>, f64>,
    pub(crate) session_order: VecDeque<(Arc<str>, f64)>,
    /// Sessions that are not among `sessions` may have written up to this position.
    pub(crate) unknown_session_position: f64,
    /// The shortest staleness bound of any class (seconds), at most 1 s.
    pub(crate) min_staleness_bound: f64,
    pub(crate) housekeeping_interval: f64,
    pub(crate) housekeeping_scheduled: bool,
    pub(crate) list_requests: ListRequests,
    /// A refusal before this time is not logged: there was another in the second before it.
    pub(crate) next_refusal_log_at: f64,
}

impl Policy {
    /// An empty state with these settings.
    pub(crate) fn blank(settings: Settings, rng: fastrand::Rng) -> Policy {
        Policy {
            settings,
            rng,
            now: 0.0,
            members: Vec::new(),
            free_slots: Vec::new(),
            by_id: HashMap::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            request_numbers: HashMap::new(),
            next_number: 1,
            latency: Vec::new(),
            no_idle_until: f64::NEG_INFINITY,
            retry_budget: 0.0,
            probe_budget: 0.0,
            tenant_shares: Vec::new(),
            demand: Demand::default(),
            sessions: HashMap::new(),
            session_order: VecDeque::new(),
            unknown_session_position: f64::NEG_INFINITY,
            min_staleness_bound: 0.0,
            housekeeping_interval: 0.0,
            housekeeping_scheduled: false,
            list_requests: ListRequests::default(),
            next_refusal_log_at: f64::NEG_INFINITY,
        }
    }

    /// Builds the explanation of why a request is given up, with its attempts.
    pub(crate) fn explain(&self, request: &Request, reason: Reason) -> Explanation {
        let summary = |attempt: &Attempt| AttemptSummary {
            member: self.members[attempt.member].id.clone(),
            age: self.now - attempt.sent_at,
            ended: attempt.ended,
        };
        let attempts = request.attempts.iter().map(summary).collect();
        let (id, class, waited) = (request.id.clone(), request.class, self.now - request.arrived);
        Explanation { id, class, waited, reason, attempts }
    }

    /// Returns the number of member slots, including those of members that have left.
    pub fn tracked_members(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of tracked requests, including finished ones with attempts in flight.
    pub fn tracked_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns true if the timer with this cookie may still matter: it is no request's, or its request is tracked.
    pub fn awaits_timer(&self, cookie: u64) -> bool {
        cookie == HOUSEKEEPING_COOKIE || self.requests.contains_key(&cookie)
    }

    /// Returns the number of tracked groups.
    pub fn tracked_groups(&self) -> usize {
        self.groups.len()
    }
}
