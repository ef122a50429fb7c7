//! What a proxy tells the policy and what it is told back. Types only: no decision is taken here.
//! All times are seconds on one monotonic clock that the proxy supplies.

use std::sync::Arc;

pub use crate::effect::{Dedup, Effect};
pub use crate::outcome::{Conclusion, Evidence, Outcome};
use crate::permission::Denial;

/// Names a request; opaque to the policy.
pub type RequestId = Arc<str>;
/// Names a member of the fleet; opaque to the policy.
pub type MemberId = Arc<str>;

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Consistency {
    /// Only the primary takes it.
    Write,
    /// Must see every commit from before its arrival.
    Fresh,
    /// Must see the session's own writes.
    Session,
    /// Data at most this many seconds old when sent.
    Bounded(f64),
    /// Any member may answer.
    Any,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth (seconds).
    pub aim: f64,
    /// The aim grows by this multiple of the request's predicted work.
    pub aim_stretch: f64,
    /// How long a client waits in all (seconds).
    pub deadline: f64,
    /// How long repeats of a keyed request are dropped (seconds).
    pub dedup_window: f64,
    /// What a repeat can do.
    pub effect: Effect,
    /// Where repeats are dropped.
    pub dedup: Dedup,
    /// Share of the worth still earned after the aim.
    pub late_worth: f64,
    /// Worth of one answer.
    pub value: f64,
    /// How recent its data must be.
    pub consistency: Consistency,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            aim: 0.5,
            aim_stretch: 0.0,
            deadline: 1.0,
            dedup_window: 0.0,
            effect: Effect::Safe,
            dedup: Dedup::Group,
            late_worth: 0.0,
            value: 1.0,
            consistency: Consistency::Any,
        }
    }
}

/// What a member does with a read it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WhenBehind {
    /// Answers from what it has.
    ServeStale,
    /// Turns it away untouched.
    Refuse,
    /// Waits up to so many seconds, then turns it away untouched.
    Wait(f64),
}

/// Everything the policy is handed at start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes, by number.
    pub classes: Vec<Class>,
    /// Requests a second within each tenant's share, over all proxies; empty without tenants.
    pub tenant_quota: Vec<f64>,
    /// Worth of a request beyond its tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// How many proxies share the fleet.
    pub fleet_size: u32,
    /// The proxy's own zone.
    pub zone: u32,
    /// Shortest time between two turns (seconds).
    pub tick: f64,
    /// Whether members may be probed.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether one request may have two attempts out.
    pub allow_hedging: bool,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Whether refusals may carry a back-off.
    pub retry_after: bool,
    /// Longest back-off a client honours (seconds).
    pub max_retry_after: f64,
    /// A connection not made within this fails (seconds).
    pub connect_timeout: f64,
    /// Whether the member list must be asked for.
    pub subscribe: bool,
    /// Longest time without a subscription or a call (seconds).
    pub max_list_age: f64,
    /// A starting member has at least this fraction of its capacity.
    pub cold_start_capacity: f64,
    /// A starting member is warm after this (seconds).
    pub warm_up: f64,
    /// A cold member falls over beyond this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... kept up for this long (seconds).
    pub overload_window: f64,
    /// Only an entry listed as leaving binds; a member merely gone may still be used.
    pub removal_is_advisory: bool,
    /// What members do with reads they are too far behind for.
    pub when_behind: WhenBehind,
    /// Whether session reads carry the age of their last write; otherwise it is remembered.
    pub requests_carry_position: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: vec![Class::default()],
            tenant_quota: Vec::new(),
            over_share_worth: 1.0,
            fleet_size: 1,
            zone: 0,
            tick: 0.005,
            probes: false,
            cancel: true,
            allow_hedging: false,
            max_attempts: 6,
            retry_after: true,
            max_retry_after: 1.0,
            connect_timeout: 0.25,
            subscribe: false,
            max_list_age: 10.0,
            cold_start_capacity: 0.2,
            warm_up: 15.0,
            overload_factor: 3.0,
            overload_window: 2.0,
            removal_is_advisory: false,
            when_behind: WhenBehind::Refuse,
            requests_carry_position: true,
        }
    }
}

/// Where a member stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Phase {
    /// Takes work.
    #[default]
    Active,
    /// Completes its work and takes nothing new.
    Leaving,
    /// Removed.
    Left,
}

/// One line of the member list.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The member.
    pub member: MemberId,
    /// Its zone.
    pub zone: u32,
    /// Its group.
    pub group: u32,
    /// Where it stands.
    pub phase: Phase,
    /// When it last started; 0 means long ago.
    pub started_at: f64,
    /// Whether the list takes it for the primary.
    pub primary: bool,
}

/// What kind of list arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Incremental,
    /// The whole list.
    Full,
    /// The list as last held before a restart.
    Saved,
    /// A call failed or the subscription broke; the old list holds.
    Failed,
    /// The subscription has fallen silent, or a call hangs without an answer; the old list holds, but what it misses
    /// counts as told soon, heard or not.
    Silent,
}

impl ListKind {
    /// Whether entries come with it, or word that there are none.
    pub fn carries_entries(self) -> bool {
        !matches!(self, ListKind::Failed | ListKind::Silent)
    }
}

/// What a member reported about itself, somewhat old.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Applied position.
    pub position: Option<f64>,
    /// Whether it was the primary.
    pub primary: Option<bool>,
}

/// Why a request is ended without having been served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its time, or what is left of it, is over.
    OutOfTime,
    /// It has waited unsent for as long as it may.
    HeldTooLong,
    /// No member can answer it in time.
    Overloaded,
    /// It has had as many attempts as the settings allow.
    AttemptsSpent,
    /// It may have run, and its class allows no further attempt.
    MayHaveRun,
    /// Too much has been repeated of late.
    RetryBudget,
    /// The only member that takes it is full.
    PrimaryFull,
    /// A further attempt was begun that may not be.
    Denied,
}

/// One attempt of a request, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSummary {
    /// Where it went.
    pub member: MemberId,
    /// How long ago it was sent (seconds).
    pub age: f64,
    /// How it ended and what was concluded from that; none while it is out.
    pub ended: Option<(Outcome, Conclusion)>,
}

/// Why a request is refused or failed, and what has become of its attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The request.
    pub id: RequestId,
    /// The number of its class.
    pub class: usize,
    /// How long it has been there (seconds).
    pub waited: f64,
    /// Why it is given up.
    pub reason: Reason,
    /// Its attempts, in their order; at most as many as the settings allow.
    pub attempts: Vec<AttemptSummary>,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its group.
    pub group: u32,
    /// Time until the client gives up (seconds).
    pub time_left: f64,
    /// The position that its answer must see, where the request says which.
    pub required_position: Option<f64>,
    /// The session.
    pub session: Option<Arc<str>>,
    /// The tenant.
    pub tenant: usize,
    /// Predicted work (seconds), where known.
    pub predicted_work: Option<f64>,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// Where instances talk: the position that the session's own writes need, as all of them know it; infinite where
    /// that is not known, which only the primary can serve.
    pub session_position: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// The member.
    pub member: MemberId,
    /// Number of the attempt, from 0.
    pub attempt: usize,
    /// How it ended, as received.
    pub outcome: Outcome,
    /// What is concluded from that.
    pub conclusion: Conclusion,
    /// Whether the request is finished.
    pub finished: bool,
    /// How long ago it was sent (seconds).
    pub elapsed: f64,
    /// Position told with the answer (for a write: its commit).
    pub position: Option<f64>,
    /// Role told with the answer: true from a primary.
    pub primary: Option<bool>,
    /// A report, if one came along.
    pub report: Report,
}

impl AttemptEnded {
    /// Whether it was served with an answer that may be passed on.
    pub fn is_served(&self) -> bool {
        self.outcome == Outcome::Ok && self.conclusion == Conclusion::AsReceived
    }

    /// What it proves.
    pub fn evidence(&self) -> Evidence {
        Evidence::of(self.outcome, self.conclusion)
    }
}

/// What the proxy tells the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the members.
    Members {
        /// What kind of list.
        kind: ListKind,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A client's request.
    Arrival(Arrival),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A probe ended.
    ProbeEnded {
        /// The member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// What it reported.
        report: Report,
    },
    /// A streamed answer has begun: the request is no longer the policy's.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// The client left.
    ClientLeft {
        /// The request.
        id: RequestId,
    },
    /// A timer came due.
    Timer {
        /// The cookie it was set with.
        cookie: u64,
    },
}

impl Event {
    /// A plain arrival, without session, tenant or hints.
    pub fn arrival(id: &str, class: usize, group: u32, left: f64) -> Event {
        Event::Arrival(Arrival {
            id: id.into(),
            class,
            group,
            time_left: left,
            required_position: None,
            session: None,
            tenant: 0,
            predicted_work: None,
            repeat: false,
            session_position: None,
        })
    }
}

/// What the proxy is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        member: MemberId,
        /// Time-out of the attempt (seconds).
        timeout: f64,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: refused; another try is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away (seconds); 0 for no advice.
        backoff: f64,
    },
    /// Final answer: failed; it may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Ask for a timer event.
    Timer {
        /// When.
        at: f64,
        /// What it shall bring back.
        cookie: u64,
    },
    /// Ask a member about itself.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Close idle connections to a member.
    CloseIdle {
        /// The member.
        member: MemberId,
    },
    /// End what was to go to a member and of which nothing has been written: it would be new there.
    CancelUnsent {
        /// The member.
        member: MemberId,
    },
    /// Ask for changes of the member list from now on.
    Subscribe,
    /// Something was about to be done that may not be: it is not done. A fault of the decisions, to be counted.
    Denied {
        /// The request.
        id: RequestId,
        /// What forbids it.
        denial: Denial,
    },
    /// Why the final answer that was just given is none that served, for the log.
    Explain(Box<Explanation>),
    /// A state transition for the operator's log.
    Log(String),
}
