//! Modelled load at a hollow pooler: sessions write and read without members. Each read is checked against
//! the answered writes of its session.

use std::collections::VecDeque;

use super::peers::LEASE;
use super::sessions::{Sessions, Ticket};
use super::World;

/// The kinds of ten successive requests.
const PATTERN: [Request; 10] = {
    use Request::*;
    [Write, OwnRead, OtherRead, Write, OwnRead, OtherRead, Write, OwnRead, OtherRead, Write]
};
/// Number of sessions of a pooler, which write round-robin.
const SESSIONS_PER_POOLER: u64 = 1_000;
/// Maximum time of a write at its member (seconds).
const MAX_WORK_TIME: f64 = 0.05;
/// Maximum time for which a write is held until it may be sent (seconds): 1.2 leases, as in the real pooler.
/// Then it is refused.
const MAX_HOLD: f64 = 1.2 * LEASE;
/// Maximum number of tracked arrivals; if there are more, the oldest one is dropped.
const MAX_ARRIVALS: usize = 1_000;
/// Time after which a write is not answered any more and an arrival is not tracked any more (seconds): the
/// deadline of the class of writes.
const WRITE_DEADLINE: f64 = 3.0;
const MICROS_PER_SECOND: f64 = 1e6;

#[derive(Clone, Copy)]
enum Request {
    /// A session of this pooler writes.
    Write,
    /// The session that wrote last at this pooler reads.
    OwnRead,
    /// A session of the next pooler reads at this one.
    OtherRead,
}

/// A write in progress.
struct Write {
    ticket: Ticket,
    session: u64,
    begun_at: f64,
    /// How long it was held until it might be sent (seconds).
    hold_time: f64,
    stage: Stage,
}

enum Stage {
    /// Held until it may be sent.
    Held,
    /// In progress at the member until this time.
    Sent(f64),
    /// Committed at this position; held until it may be answered.
    Committed(f64),
}

/// The modelled load of a pooler.
pub(super) struct Load {
    number: usize,
    writes: Vec<Write>,
    /// Sessions that arrived from another pooler and still have to read at the primary, with their time of
    /// arrival.
    arrivals: VecDeque<(u64, f64)>,
    requests_made: usize,
    writes_begun: u64,
    rng: fastrand::Rng,
}

impl Load {
    pub fn new(number: usize, seed: u64) -> Load {
        let rng = fastrand::Rng::with_seed(seed);
        Load {
            number,
            writes: Vec::new(),
            arrivals: VecDeque::new(),
            requests_made: number,
            writes_begun: 0,
            rng,
        }
    }

    /// Returns the time until the next request (seconds): 0.5 to 1.5 mean intervals, so that poolers don't
    /// act in step.
    pub fn next_interval(&mut self, requests_per_s: f64) -> f64 {
        (0.5 + self.rng.f64()) / requests_per_s
    }

    /// Makes the next request.
    pub fn request(&mut self, sessions: &mut impl Sessions, world: &mut World) {
        let request = PATTERN[self.requests_made % PATTERN.len()];
        self.requests_made += 1;
        match request {
            Request::Write => self.write(sessions, world),
            Request::OwnRead => {
                let session = self.session_id(self.number, self.writes_begun.saturating_sub(1));
                read(session, sessions, world);
            }
            Request::OtherRead => {
                let (first, end) = world.fleet.poolers;
                let next = if self.number + 1 < end { self.number + 1 } else { first };
                let session = self.session_id(next, self.writes_begun.saturating_sub(1));
                self.arrive(session, sessions, world);
            }
        }
    }

    /// A session of another pooler reads here.
    fn arrive(&mut self, session: u64, sessions: &mut impl Sessions, world: &mut World) {
        let now = world.clock.now();
        read(session, sessions, world);
        if self.arrivals.len() == MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back((session, now));
        self.advance_arrivals(sessions, world);
    }

    /// Records how long arrived sessions had to read at the primary.
    fn advance_arrivals(&mut self, sessions: &mut impl Sessions, world: &mut World) {
        let now = world.clock.now();
        self.arrivals.retain(|(session, since)| {
            let at_primary = sessions.required_position(now, &session_name(*session)).is_none();
            if !at_primary {
                world.load.arrivals_us.push(((now - since) * MICROS_PER_SECOND) as u64);
            }
            at_primary && now < since + WRITE_DEADLINE
        });
    }

    fn session_id(&self, pooler: usize, writes_begun: u64) -> u64 {
        pooler as u64 * SESSIONS_PER_POOLER + writes_begun % SESSIONS_PER_POOLER
    }

    fn write(&mut self, sessions: &mut impl Sessions, world: &mut World) {
        let now = world.clock.now();
        let session = self.session_id(self.number, self.writes_begun);
        self.writes_begun += 1;
        let Some(ticket) = sessions.begin_write(now, &session_name(session)) else {
            world.load.refused += 1;
            return;
        };
        self.writes.push(Write { ticket, session, begun_at: now, hold_time: 0.0, stage: Stage::Held });
    }

    /// Advances the arrivals and the writes in progress. Returns when the next write is due.
    pub fn advance(&mut self, sessions: &mut impl Sessions, world: &mut World) -> f64 {
        self.advance_arrivals(sessions, world);
        let mut due_at = f64::INFINITY;
        let writes = std::mem::take(&mut self.writes);
        for mut write in writes {
            if let Some(at) = self.advance_write(&mut write, sessions, world) {
                due_at = due_at.min(at);
                self.writes.push(write);
            }
        }
        due_at
    }

    /// Advances a write as far as possible. Returns when it is due again, or `None` if it has ended.
    fn advance_write(
        &mut self,
        write: &mut Write,
        sessions: &mut impl Sessions,
        world: &mut World,
    ) -> Option<f64> {
        let now = world.clock.now();
        if let Stage::Held = write.stage {
            if !sessions.may_send(now, write.ticket) {
                if now < write.begun_at + MAX_HOLD && !sessions.cannot_be_sent(now) {
                    return Some(write.begun_at + MAX_HOLD);
                }
                sessions.forget(now, write.ticket);
                world.load.refused += 1;
                return None;
            }
            write.hold_time = now - write.begun_at;
            write.stage = Stage::Sent(now + MAX_WORK_TIME * self.rng.f64());
        }
        if let Stage::Sent(until) = write.stage {
            if now < until {
                return Some(until);
            }
            sessions.write_committed(now, write.ticket, now);
            write.stage = Stage::Committed(now);
        }
        let Stage::Committed(position) = write.stage else { return None };
        if !sessions.may_answer(now, write.ticket) {
            return (now < write.begun_at + WRITE_DEADLINE).then_some(write.begun_at + WRITE_DEADLINE);
        }
        sessions.forget(now, write.ticket);
        world.load.answered += 1;
        world.load.waits_us.push(((write.hold_time + now - position) * MICROS_PER_SECOND) as u64);
        let latest = world.answered_positions.entry(write.session).or_insert(position);
        *latest = latest.max(position);
        None
    }
}

fn session_name(session: u64) -> String {
    format!("s{session}")
}

/// A session reads. The position that the read requires is checked against the position of the session's
/// latest answered write at any pooler of the process.
fn read(session: u64, sessions: &mut impl Sessions, world: &mut World) {
    let answered = world.answered_positions.get(&session).copied().unwrap_or(f64::NEG_INFINITY);
    match sessions.required_position(world.clock.now(), &session_name(session)) {
        Some(position) => {
            world.load.reads_anywhere += 1;
            world.load.stale += u64::from(position < answered);
        }
        None => world.load.reads_at_primary += 1,
    }
}
