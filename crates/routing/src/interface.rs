//! Events, actions and settings of the policy. This module only has types and takes no decisions.
//! All times are in seconds on one monotonic clock that the pooler supplies.

use std::sync::Arc;

pub use crate::effect::{Dedup, Effect};
pub use crate::outcome::{Conclusion, Evidence, Outcome};
use crate::permission::Denial;

/// Identifies a request; opaque to the policy.
pub type RequestId = Arc<str>;
/// Identifies a member; opaque to the policy.
pub type MemberId = Arc<str>;

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Consistency {
    /// A write: only the primary accepts it.
    Write,
    /// Must see every commit made before the request arrived.
    Fresh,
    /// Must see the session's own writes.
    Session,
    /// May be at most this many seconds old when sent.
    Bounded(f64),
    /// Any member may answer.
    Any,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full value (seconds).
    pub aim: f64,
    /// The aim grows by this multiple of the request's predicted work.
    pub aim_stretch: f64,
    /// Time after which the client stops waiting (seconds).
    pub deadline: f64,
    /// How long members drop repeats of a keyed request (seconds).
    pub dedup_window: f64,
    /// Effect of running a request more than once.
    pub effect: Effect,
    /// Scope in which repeats are dropped.
    pub dedup: Dedup,
    /// Share of the value that an answer after the aim still earns.
    pub late_worth: f64,
    /// Value of one answer.
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

/// What a member does with a read that needs newer data than it has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WhenBehind {
    /// Answers from the data it has.
    ServeStale,
    /// Turns the read away without running it.
    Refuse,
    /// Waits up to this many seconds, then turns the read away without running it.
    Wait(f64),
}

/// Settings of the policy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes, by number.
    pub classes: Vec<Class>,
    /// Quota of each tenant over all poolers (requests per second); empty without tenants.
    pub tenant_quota: Vec<f64>,
    /// Factor (0 to 1) on the worth of a request beyond its tenant's share.
    pub over_share_worth: f64,
    /// Number of poolers in the fleet.
    pub fleet_size: u32,
    /// Zone of this pooler.
    pub zone: u32,
    /// Shortest time between two iterations of the event loop (seconds).
    pub tick: f64,
    /// Whether members may be probed.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether a request may have two attempts in flight (hedging).
    pub allow_hedging: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether refusals may carry a back-off.
    pub retry_after: bool,
    /// Maximum back-off that clients honour (seconds).
    pub max_retry_after: f64,
    /// Timeout for establishing a connection (seconds).
    pub connect_timeout: f64,
    /// Whether the pooler must request the member list.
    pub subscribe: bool,
    /// Maximum time without a subscription or a list request (seconds).
    pub max_list_age: f64,
    /// Share of its capacity that a member has at least when it starts.
    pub cold_start_capacity: f64,
    /// Time from a member's start until it has its full capacity (seconds).
    pub warm_up: f64,
    /// A cold member is overloaded beyond this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... if the load lasts this long (seconds).
    pub overload_window: f64,
    /// Only an entry in phase `Leaving` is binding; a member that was removed may still be used.
    pub removal_is_advisory: bool,
    /// What members do with reads that need newer data than they have.
    pub when_behind: WhenBehind,
    /// Whether session reads carry the required position; otherwise the policy remembers sessions' writes.
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

/// Phase of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Phase {
    /// Accepts requests.
    #[default]
    Active,
    /// Completes its requests and accepts no new ones.
    Leaving,
    /// Removed from the list.
    Left,
}

/// One entry of the member list.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The member.
    pub member: MemberId,
    /// Zone of the member.
    pub zone: u32,
    /// Group of the member.
    pub group: u32,
    /// Phase of the member.
    pub phase: Phase,
    /// When the member last started (seconds); 0 means long ago.
    pub started_at: f64,
    /// Whether the list names the member as the primary.
    pub primary: bool,
}

/// Kind of a list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Incremental,
    /// The full list.
    Full,
    /// The list that was saved before a restart.
    Saved,
    /// A list request failed or the subscription ended; the last list stays in force.
    Failed,
    /// The subscription has become unresponsive, or a list request got no answer; the last list stays in
    /// force. Changes made meanwhile bind this pooler shortly after, whether it receives them or not.
    Silent,
}

impl ListKind {
    /// Returns true unless the kind reports a failure; the entries may be empty.
    pub fn carries_entries(self) -> bool {
        !matches!(self, ListKind::Failed | ListKind::Silent)
    }
}

/// What a member reported about itself; may be slightly out of date.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Log position that the member has applied.
    pub position: Option<f64>,
    /// Whether the member was the primary.
    pub primary: Option<bool>,
}

/// Why a request ends without having been served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No time, or too little, is left.
    OutOfTime,
    /// The request has waited unsent for the maximum time.
    HeldTooLong,
    /// No member can answer in time.
    Overloaded,
    /// The maximum number of attempts is used up.
    AttemptsSpent,
    /// The request may have run, and its class allows no further attempt.
    MayHaveRun,
    /// The retry budget is used up.
    RetryBudget,
    /// The primary is full, and no other member accepts the request.
    PrimaryFull,
    /// The policy was about to begin an attempt that is not permitted.
    Denied,
}

/// One attempt of a request, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSummary {
    /// Member that the attempt was sent to.
    pub member: MemberId,
    /// Time since the attempt was sent (seconds).
    pub age: f64,
    /// How the attempt ended and what was concluded from that; none while it is in flight.
    pub ended: Option<(Outcome, Conclusion)>,
}

/// Why a request is refused or failed, with its attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The request.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Time since the request arrived (seconds).
    pub waited: f64,
    /// Why the request is given up.
    pub reason: Reason,
    /// Its attempts in order, at most `max_attempts`.
    pub attempts: Vec<AttemptSummary>,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifier of the request.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Group of the request.
    pub group: u32,
    /// Time until the client stops waiting (seconds).
    pub time_left: f64,
    /// Position that the answer must reflect, if the request carries one.
    pub required_position: Option<f64>,
    /// Session of the request.
    pub session: Option<Arc<str>>,
    /// Index of the tenant.
    pub tenant: usize,
    /// Predicted work (seconds), if known.
    pub predicted_work: Option<f64>,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// Requests per second on the client's connection of late; 0 if unknown.
    pub client_rate: f64,
    /// With state exchange: position required by the session's own writes, as known to all instances.
    /// Infinite if unknown, so that only the primary can serve the request.
    pub session_position: Option<f64>,
    /// Whether the answer is passed on as it arrives, and so cannot be withheld if it is too old.
    pub streams_answer: bool,
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
    /// Outcome as received.
    pub outcome: Outcome,
    /// What is concluded from the outcome.
    pub conclusion: Conclusion,
    /// Whether the request is finished.
    pub finished: bool,
    /// Time since the attempt was sent (seconds).
    pub elapsed: f64,
    /// Position sent with the answer (for a write: of its commit).
    pub position: Option<f64>,
    /// Role sent with the answer: true for the primary.
    pub primary: Option<bool>,
    /// Report that came with the answer, if any.
    pub report: Report,
}

impl AttemptEnded {
    /// Returns true if the answer was served and may be passed on to the client.
    pub fn is_served(&self) -> bool {
        self.outcome == Outcome::Ok && self.conclusion == Conclusion::AsReceived
    }

    /// What the end of the attempt proves about its effect.
    pub fn evidence(&self) -> Evidence {
        Evidence::of(self.outcome, self.conclusion)
    }
}

/// What the pooler reports to the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// Update of the member list, or its failure.
    Members {
        /// Kind of the update.
        kind: ListKind,
        /// Changed or all entries.
        entries: Vec<Entry>,
    },
    /// A client's request.
    Arrival(Arrival),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// An attempt was not written, since [`Policy::may_write`](crate::Policy::may_write) denied it.
    WriteDenied {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: usize,
    },
    /// A probe ended.
    ProbeEnded {
        /// The member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// What it reported.
        report: Report,
    },
    /// A streamed answer has begun: the policy takes no further decisions on the request.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// The client has left.
    ClientLeft {
        /// The request.
        id: RequestId,
    },
    /// A timer has expired.
    Timer {
        /// Cookie that the timer was set with.
        cookie: u64,
    },
}

impl Event {
    /// An arrival without session, tenant or optional values.
    pub fn arrival(id: &str, class: usize, group: u32, time_left: f64) -> Event {
        Event::Arrival(Arrival {
            id: id.into(),
            class,
            group,
            time_left,
            required_position: None,
            session: None,
            tenant: 0,
            predicted_work: None,
            repeat: false,
            client_rate: 0.0,
            session_position: None,
            streams_answer: false,
        })
    }
}

/// What the pooler has to do, in the order of the actions.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Member to send the attempt to.
        member: MemberId,
        /// Timeout of the attempt (seconds).
        timeout: f64,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: refused; another try by the client is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before another try (seconds); 0 for no advice.
        backoff: f64,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Set a timer.
    Timer {
        /// When it expires.
        at: f64,
        /// Cookie to return with the timer event.
        cookie: u64,
    },
    /// Probe a member for its position and role.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Close idle connections to a member.
    CloseIdle {
        /// The member.
        member: MemberId,
    },
    /// End the attempts at a member that are not written yet: the member must get nothing new.
    CancelUnsent {
        /// The member.
        member: MemberId,
    },
    /// Subscribe to changes of the member list.
    Subscribe,
    /// The policy was about to do something that is not permitted, and did not do it. This is a defect of
    /// the policy, to be counted.
    Denied {
        /// The request.
        id: RequestId,
        /// Rule that forbids it.
        denial: Denial,
    },
    /// Explains a final answer that is a refusal or a failure, for the log.
    Explain(Box<Explanation>),
    /// A state transition for the operator's log.
    Log(String),
}
