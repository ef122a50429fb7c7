//! Keeps a key of the pooler in the registry under a lease: the key exists while the pooler runs, and
//! disappears one lease TTL after the pooler's last keep-alive.

use crate::endpoints::Endpoints;
use crate::wire::{LeaseGrant, Refusal};

/// Keep-alive calls per lease TTL: the lease survives one or two lost calls.
const KEEP_ALIVES_PER_TTL: f64 = 3.0;

/// Calls to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Grant a lease.
    Grant,
    /// Put the key under this lease.
    Put(u64),
    /// Keep this lease alive.
    KeepAlive(u64),
    /// Revoke this lease, which deletes the key.
    Revoke(u64),
}

/// Events that the driver reports; calls are identified by their number.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Time,
    /// The response to a call; empty for a put and a revocation.
    Answer(u64, Result<LeaseGrant, Refusal>),
    /// The connection of a call was closed, or could not be opened.
    Disconnected(u64),
    /// The pooler shuts down: the key must be deleted.
    Leave,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call an endpoint and report the result under this number.
    Call(u64, usize, LeaseRequest),
    /// Cancel the call of this number.
    Close(u64),
    /// The key is in the registry from now on.
    Registered,
    /// The key may no longer be in the registry; holds the reason.
    Lost(String),
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    Waiting(f64),
    Calling { call: u64, since: f64, request: LeaseRequest },
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    id: u64,
    /// When the lease ends unless kept alive; counted from before the request for it was sent.
    until: f64,
    /// Whether the key was put under the lease.
    put: bool,
}

/// Maintains the lease of one key.
pub struct Lease {
    endpoints: Endpoints,
    /// The lease's TTL and the time limit of a call (seconds).
    ttl: f64,
    call_timeout: f64,
    stage: Stage,
    lease: Option<GrantedLease>,
    last_call: u64,
    leaving: bool,
    /// Whether `Registered` was reported to the driver.
    registered: bool,
}

impl Lease {
    /// A lease with the given TTL at endpoints that have not been called yet; both times in seconds.
    pub fn new(endpoints: Endpoints, ttl: f64, call_timeout: f64) -> Lease {
        let stage = Stage::Waiting(f64::NEG_INFINITY);
        Lease {
            endpoints,
            ttl,
            call_timeout,
            stage,
            lease: None,
            last_call: 0,
            leaving: false,
            registered: false,
        }
    }

    /// Returns when [`Input::Time`] is due next; never after the end.
    pub fn next_due(&self) -> f64 {
        match self.stage {
            Stage::Waiting(until) => until,
            Stage::Calling { since, .. } => since + self.call_timeout,
            Stage::Ended => f64::INFINITY,
        }
    }

    /// Handles one input at the time `now` and appends the actions to `out`.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Action>) {
        match (input, self.stage) {
            (_, Stage::Ended) => {}
            (Input::Leave, _) => {
                self.leaving = true;
                self.close_call(out);
                self.stage = Stage::Waiting(now);
                self.start_call(now, out);
            }
            (Input::Time, Stage::Waiting(until)) if now >= until => self.start_call(now, out),
            (Input::Time, Stage::Calling { since, .. }) if now >= since + self.call_timeout => {
                self.call_failed(now, "no answer in time", out)
            }
            (Input::Disconnected(number), Stage::Calling { call, .. }) if number == call => {
                self.call_failed(now, "connection closed", out)
            }
            (Input::Answer(number, answer), Stage::Calling { call, since, request }) if number == call => {
                match answer {
                    Ok(granted) => self.handle_response(now, since, request, granted, out),
                    Err(Refusal::Other(what)) => self.handle_refusal(now, request, &what, out),
                    Err(_) => self.call_failed(now, "rejected by the registry", out),
                }
            }
            _ => {}
        }
    }

    fn close_call(&self, out: &mut Vec<Action>) {
        if let Stage::Calling { call, .. } = self.stage {
            out.push(Action::Close(call));
        }
    }

    /// Starts the next call.
    fn start_call(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.lease.is_some_and(|lease| now >= lease.until) {
            self.lease_lost("the lease expired before it could be kept alive", out);
        }
        let request = match self.lease {
            None if self.leaving => {
                self.stage = Stage::Ended;
                return;
            }
            None => LeaseRequest::Grant,
            Some(lease) if self.leaving => LeaseRequest::Revoke(lease.id),
            Some(GrantedLease { id, put: false, .. }) => LeaseRequest::Put(id),
            Some(lease) => LeaseRequest::KeepAlive(lease.id),
        };
        self.last_call += 1;
        self.stage = Stage::Calling { call: self.last_call, since: now, request };
        out.push(Action::Call(self.last_call, self.endpoints.current(), request));
    }

    fn handle_response(
        &mut self,
        now: f64,
        since: f64,
        request: LeaseRequest,
        granted: LeaseGrant,
        out: &mut Vec<Action>,
    ) {
        self.endpoints.record_success();
        // Counted from the start of the call: the registry's TTL begins later, when it handles the call.
        let until = since + granted.ttl as f64;
        match (request, &mut self.lease) {
            (LeaseRequest::Grant, lease) if granted.id != 0 && granted.ttl > 0 => {
                *lease = Some(GrantedLease { id: granted.id, until, put: false });
                self.start_call(now, out);
            }
            (LeaseRequest::Put(_), Some(lease)) => {
                lease.put = true;
                if !std::mem::replace(&mut self.registered, true) {
                    out.push(Action::Registered);
                }
                self.stage = Stage::Waiting(since + self.ttl / KEEP_ALIVES_PER_TTL);
            }
            (LeaseRequest::KeepAlive(_), Some(lease)) if granted.ttl > 0 => {
                lease.until = until;
                self.stage = Stage::Waiting(since + granted.ttl as f64 / KEEP_ALIVES_PER_TTL);
            }
            (LeaseRequest::KeepAlive(_), _) => {
                self.lease_lost("the registry has ended the lease", out);
                self.stage = Stage::Waiting(self.endpoints.next_call_at(now));
            }
            (LeaseRequest::Revoke(_), lease) => {
                *lease = None;
                self.stage = Stage::Ended;
            }
            _ => self.call_failed(now, "response without a lease", out),
        }
    }

    /// Handles a refusal: a lease that the registry does not know has ended.
    fn handle_refusal(&mut self, now: f64, request: LeaseRequest, what: &str, out: &mut Vec<Action>) {
        match request {
            LeaseRequest::Put(_) | LeaseRequest::KeepAlive(_) if what.contains("lease not found") => {
                self.lease_lost("the registry does not know the lease", out);
                self.stage = Stage::Waiting(self.endpoints.next_call_at(now));
            }
            LeaseRequest::Revoke(_) => self.stage = Stage::Ended,
            _ => self.call_failed(now, what, out),
        }
    }

    fn lease_lost(&mut self, reason: &str, out: &mut Vec<Action>) {
        self.lease = None;
        if std::mem::take(&mut self.registered) {
            out.push(Action::Lost(reason.to_string()));
        }
    }

    fn call_failed(&mut self, now: f64, reason: &str, out: &mut Vec<Action>) {
        self.close_call(out);
        if self.leaving {
            // Only one attempt: the lease expires by itself.
            self.stage = Stage::Ended;
            return;
        }
        if self.lease.is_some_and(|lease| now >= lease.until) {
            self.lease_lost(reason, out);
        }
        self.endpoints.record_failure(now);
        self.stage = Stage::Waiting(self.endpoints.next_call_at(now));
    }
}
