//! Keeps a key of the pooler's own in the registry under a lease: it is there while the pooler lives, and gone a
//! lease's length after its last word.

use crate::endpoints::Endpoints;
use crate::wire::{LeaseGrant, Refusal};

/// Parts of a lease's length after which it is kept alive anew: a lost call or two do not end it.
const PARTS: f64 = 3.0;

/// What is asked of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// A lease.
    Grant,
    /// The key, under this lease.
    Put(u64),
    /// That this lease go on.
    KeepAlive(u64),
    /// That this lease end, and the key with it.
    Revoke(u64),
}

/// How a call goes, as the driver tells it, by the call's number.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Time,
    /// A call's answer; those to a put and a revocation say no more than that it was done.
    Answer(u64, Result<LeaseGrant, Refusal>),
    /// The connection of a call has ended, or was never made.
    Disconnected(u64),
    /// The pooler ends: the key is to go.
    Leave,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask an endpoint; tell its end under this number.
    Call(u64, usize, LeaseRequest),
    /// End the call of this number.
    Close(u64),
    /// The key stands in the registry from now on.
    Registered,
    /// It may stand there no longer.
    Lost(String),
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    Resting(f64),
    Calling { call: u64, since: f64, ask: LeaseRequest },
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    id: u64,
    /// Ends then, unless kept alive; counted from before the registry was asked.
    until: f64,
    /// Whether the key was put under it.
    put: bool,
}

/// The lease of one key.
pub struct Lease {
    endpoints: Endpoints,
    /// The lease's length, and how long a call may take (seconds).
    length: f64,
    patience: f64,
    stage: Stage,
    held: Option<Held>,
    calls: u64,
    leaving: bool,
    /// Whether the driver was told that the key stands.
    told: bool,
}

impl Lease {
    /// A lease of a length, at endpoints that are not yet called; both times in seconds.
    pub fn new(endpoints: Endpoints, length: f64, patience: f64) -> Lease {
        let stage = Stage::Resting(f64::NEG_INFINITY);
        Lease { endpoints, length, patience, stage, held: None, calls: 0, leaving: false, told: false }
    }

    /// When time must be told next; never once it has ended.
    pub fn next_due(&self) -> f64 {
        match self.stage {
            Stage::Resting(until) => until,
            Stage::Calling { since, .. } => since + self.patience,
            Stage::Ended => f64::INFINITY,
        }
    }

    /// Takes one input at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Action>) {
        match (input, self.stage) {
            (_, Stage::Ended) => {}
            (Input::Leave, _) => {
                self.leaving = true;
                self.close(out);
                self.stage = Stage::Resting(now);
                self.begin(now, out);
            }
            (Input::Time, Stage::Resting(until)) if now >= until => self.begin(now, out),
            (Input::Time, Stage::Calling { since, .. }) if now >= since + self.patience => {
                self.failed(now, "no answer in time", out)
            }
            (Input::Disconnected(number), Stage::Calling { call, .. }) if number == call => {
                self.failed(now, "the connection ended", out)
            }
            (Input::Answer(number, answer), Stage::Calling { call, since, ask }) if number == call => {
                match answer {
                    Ok(granted) => self.answered(now, since, ask, granted, out),
                    Err(Refusal::Other(what)) => self.refused(now, ask, &what, out),
                    Err(_) => self.failed(now, "turned down", out),
                }
            }
            _ => {}
        }
    }

    fn close(&self, out: &mut Vec<Action>) {
        if let Stage::Calling { call, .. } = self.stage {
            out.push(Action::Close(call));
        }
    }

    /// Asks for what comes next.
    fn begin(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.held.is_some_and(|held| now >= held.until) {
            self.gone("it ran out before it could be kept alive", out);
        }
        let ask = match self.held {
            None if self.leaving => {
                self.stage = Stage::Ended;
                return;
            }
            None => LeaseRequest::Grant,
            Some(held) if self.leaving => LeaseRequest::Revoke(held.id),
            Some(Held { id, put: false, .. }) => LeaseRequest::Put(id),
            Some(held) => LeaseRequest::KeepAlive(held.id),
        };
        self.calls += 1;
        self.stage = Stage::Calling { call: self.calls, since: now, ask };
        out.push(Action::Call(self.calls, self.endpoints.current(), ask));
    }

    fn answered(
        &mut self,
        now: f64,
        since: f64,
        ask: LeaseRequest,
        granted: LeaseGrant,
        out: &mut Vec<Action>,
    ) {
        self.endpoints.record_success();
        // Counted from when it was asked for: the registry counts from later.
        let until = since + granted.length as f64;
        match (ask, &mut self.held) {
            (LeaseRequest::Grant, held) if granted.id != 0 && granted.length > 0 => {
                *held = Some(Held { id: granted.id, until, put: false });
                self.begin(now, out);
            }
            (LeaseRequest::Put(_), Some(held)) => {
                held.put = true;
                if !std::mem::replace(&mut self.told, true) {
                    out.push(Action::Registered);
                }
                self.stage = Stage::Resting(since + self.length / PARTS);
            }
            (LeaseRequest::KeepAlive(_), Some(held)) if granted.length > 0 => {
                held.until = until;
                self.stage = Stage::Resting(since + granted.length as f64 / PARTS);
            }
            (LeaseRequest::KeepAlive(_), _) => {
                self.gone("the registry has ended it", out);
                self.stage = Stage::Resting(self.endpoints.next_call_at(now));
            }
            (LeaseRequest::Revoke(_), held) => {
                *held = None;
                self.stage = Stage::Ended;
            }
            _ => self.failed(now, "an answer without a lease", out),
        }
    }

    /// The registry says no: a lease that it does not know (any more) is no lease.
    fn refused(&mut self, now: f64, ask: LeaseRequest, what: &str, out: &mut Vec<Action>) {
        match ask {
            LeaseRequest::Put(_) | LeaseRequest::KeepAlive(_) if what.contains("lease not found") => {
                self.gone("the registry does not know it", out);
                self.stage = Stage::Resting(self.endpoints.next_call_at(now));
            }
            LeaseRequest::Revoke(_) => self.stage = Stage::Ended,
            _ => self.failed(now, what, out),
        }
    }

    fn gone(&mut self, why: &str, out: &mut Vec<Action>) {
        self.held = None;
        if std::mem::take(&mut self.told) {
            out.push(Action::Lost(why.to_string()));
        }
    }

    fn failed(&mut self, now: f64, why: &str, out: &mut Vec<Action>) {
        self.close(out);
        if self.leaving {
            // One try: the lease ends by itself.
            self.stage = Stage::Ended;
            return;
        }
        if self.held.is_some_and(|held| now >= held.until) {
            self.gone(why, out);
        }
        self.endpoints.record_failure(now);
        self.stage = Stage::Resting(self.endpoints.next_call_at(now));
    }
}
