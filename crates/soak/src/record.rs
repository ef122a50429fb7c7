//! What is seen of a run from outside the program, with times: by clients, db machines, discovery and whoever sends signals.

use std::sync::Mutex;
use std::time::Instant;

/// The most events that a run keeps: some ten minutes of the largest one.
const MOST: usize = 4_000_000;

/// What a served answer says of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Value {
    /// Where its data stand (seconds of the run).
    pub position: f64,
    /// Whether its machine said that it was the primary.
    pub primary: bool,
}

/// How a client's request ended for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Served(Value),
    Refused,
    Failed,
}

/// What a db machine did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Served,
    /// 25006 or 72000: nothing ran.
    Missed,
    /// 53300: nothing ran.
    TurnedAway,
    /// It may have run: an error, an answer that was cut, a reset, silence.
    Doubtful,
}

/// A request, by number.
pub type Id = u64;

/// What was seen.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client's last byte was written; it waits for so long (seconds), and for the answers to what it sent before on the same
    /// connection where there are any.
    Sent {
        id: Id,
        pooler: usize,
        class: usize,
        client: usize,
        patience: f64,
        behind: bool,
    },
    Answered {
        id: Id,
        answer: Answer,
    },
    /// The connection ended without an answer.
    Closed {
        id: Id,
    },
    /// No answer came long after the client's time.
    Silent {
        id: Id,
    },
    /// The client closed its connection without waiting for the end.
    Left {
        id: Id,
    },
    /// A client that sent half a message was told or closed after so long (seconds).
    BadClientEnded {
        pooler: usize,
        after: f64,
    },
    /// A request's first byte came to a machine, and its last one now.
    Arrived {
        id: Id,
        attempt: u64,
        machine: usize,
        began: f64,
        patience: f64,
    },
    Replied {
        attempt: u64,
        reply: Reply,
    },
    /// The connection of an attempt was ended by the pooler.
    Abandoned {
        attempt: u64,
    },
    /// Discovery knows that a machine takes nothing new, or takes work again.
    Listed {
        machine: usize,
        usable: bool,
        version: u64,
    },
    /// A pooler has been written everything up to this version, on a connection that it opened then.
    Told {
        pooler: usize,
        version: u64,
        opened: f64,
    },
    /// Whether discovery can be reached.
    Reachable(bool),
    Started {
        pooler: usize,
    },
    Ready {
        pooler: usize,
    },
    Stopped {
        pooler: usize,
        stopped: bool,
    },
    Killed {
        pooler: usize,
    },
    /// A process ended that nobody had killed or asked to end.
    Died {
        pooler: usize,
        how: String,
    },
    /// A line of a pooler's log that tells of a fault of its own.
    LogFault {
        pooler: usize,
        line: String,
    },
    /// Resident memory over its limit (megabytes).
    TooLarge {
        pooler: usize,
        megabytes: u64,
    },
    /// The soak itself was late by so much (seconds): nothing is held against others that is within it.
    Lagged(f64),
}

/// All of it, in the order in which it was noted.
pub struct Record {
    begun: Instant,
    events: Mutex<Vec<(f64, Event)>>,
}

impl Default for Record {
    fn default() -> Self {
        Record { begun: Instant::now(), events: Mutex::default() }
    }
}

impl Record {
    /// Seconds since the beginning of the run.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Notes what happened now.
    pub fn note(&self, event: Event) {
        self.note_at(self.now(), event);
    }

    /// Notes what happened at that time.
    pub fn note_at(&self, at: f64, event: Event) {
        let mut events = self.events.lock().expect("no holder panics");
        if events.len() < MOST {
            events.push((at, event));
        }
    }

    /// Takes all that was noted.
    pub fn take(&self) -> Vec<(f64, Event)> {
        std::mem::take(&mut self.events.lock().expect("no holder panics"))
    }
}
