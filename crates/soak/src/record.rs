//! The events of a run, with their times, as observed from outside of the poolers: by clients, members,
//! discovery and the threads that control the processes.

use std::sync::Mutex;
use std::time::Instant;

/// Maximum number of events of a run: enough for about ten minutes of the largest run.
const MAX_EVENTS: usize = 4_000_000;

/// The value of a served answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Value {
    /// The position of its data (seconds since the start of the run).
    pub position: f64,
    /// Whether the member that answered was the primary.
    pub primary: bool,
    /// Number of the attempt that was answered.
    pub attempt: u64,
}

/// The answer that a client received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Served(Value),
    Refused,
    Failed,
}

/// What a member did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Served,
    /// Answered 25006 or 72000: the request did not run.
    Miss,
    /// Answered 53300: the request did not run.
    Full,
    /// The request may have run: the member answered with another error, sent a truncated answer, reset the
    /// connection, or did not answer.
    Unknown,
}

/// The number of a request.
pub type Id = u64;

/// An observed event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client wrote the last byte of a request with this timeout (seconds). A pipelined request is answered
    /// after those sent before it on the same connection.
    Sent {
        id: Id,
        pooler: usize,
        class: usize,
        client: usize,
        timeout: f64,
        pipelined: bool,
    },
    Answered {
        id: Id,
        answer: Answer,
    },
    /// The connection was closed without an answer.
    ConnectionClosed {
        id: Id,
    },
    /// No answer came until long after the request's timeout.
    Unanswered {
        id: Id,
    },
    /// The client closed its connection without waiting for the answer.
    ClientLeft {
        id: Id,
    },
    /// The connection of a client that sent a truncated message ended after this time (seconds).
    TruncatedMessageEnded {
        pooler: usize,
        elapsed: f64,
    },
    /// A member received the last byte of an attempt. `first_byte_at` is when it received the first byte
    /// (seconds of the run), `timeout` is the deadline that was passed on (seconds).
    AttemptArrived {
        id: Id,
        attempt: u64,
        member: usize,
        first_byte_at: f64,
        timeout: f64,
    },
    /// A member received a request of a flooding client.
    FloodArrived {
        pooler: usize,
        member: usize,
    },
    AttemptAnswered {
        attempt: u64,
        reply: Reply,
    },
    /// The pooler closed the connection of an attempt.
    AttemptAbandoned {
        attempt: u64,
    },
    /// Discovery changed the status of a member. `usable` is true if the member accepts new requests.
    ListChanged {
        member: usize,
        usable: bool,
        version: u64,
    },
    /// Discovery wrote all changes up to this version to a pooler, on a connection that was opened at
    /// `opened_at`.
    ListSent {
        pooler: usize,
        version: u64,
        opened_at: f64,
    },
    /// Discovery became reachable or unreachable.
    DiscoveryReachable(bool),
    Started {
        pooler: usize,
    },
    Ready {
        pooler: usize,
    },
    /// A pooler was paused by SIGSTOP or resumed by SIGCONT.
    Paused {
        pooler: usize,
        paused: bool,
    },
    /// A pooler was killed; `planned` if it was asked to end as long before as a planned restart allows.
    Killed {
        pooler: usize,
        planned: bool,
    },
    /// A pooler's log is longer than it may be.
    LogTooLong {
        pooler: usize,
        bytes: u64,
    },
    /// A pooler exited that was neither killed nor asked to exit.
    ExitedUnexpectedly {
        pooler: usize,
        status: String,
    },
    /// A line of a pooler's log that reports a fault of the pooler.
    LogFault {
        pooler: usize,
        line: String,
    },
    /// Resident memory exceeded its limit.
    MemoryExceeded {
        pooler: usize,
        megabytes: u64,
    },
    /// The soak process was itself delayed by this time (seconds), which the oracle allows for.
    SoakDelayed(f64),
}

/// All events in the order in which they were recorded.
pub struct Record {
    started_at: Instant,
    events: Mutex<Vec<(f64, Event)>>,
}

impl Default for Record {
    fn default() -> Self {
        Record { started_at: Instant::now(), events: Mutex::default() }
    }
}

impl Record {
    /// Returns the time since the start of the run (seconds).
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Records an event that happens now.
    pub fn add(&self, event: Event) {
        self.add_at(self.now(), event);
    }

    /// Records an event that happened at `at`.
    pub fn add_at(&self, at: f64, event: Event) {
        let mut events = self.events.lock().expect("no holder panics");
        if events.len() < MAX_EVENTS {
            events.push((at, event));
        }
    }

    /// Removes and returns all events.
    pub fn take(&self) -> Vec<(f64, Event)> {
        std::mem::take(&mut self.events.lock().expect("no holder panics"))
    }
}
