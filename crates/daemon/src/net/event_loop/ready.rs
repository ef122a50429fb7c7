//! The sources that are ready, in the order of their turns. Every source, whatever remote party is behind it,
//! gets its turns from here.

use std::collections::{HashMap, VecDeque};

use super::source::Source;

/// Sources of one kind wait in one queue, so that many of one kind cannot delay those of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lane {
    /// Signals, the list of members, operators, other instances, and clients that have left.
    Control,
    /// Connections to servers.
    Server,
    /// Clients.
    Client,
    /// Listeners for clients: new clients must not wait behind all that are connected.
    Listener,
}

/// Number of lanes.
pub(super) const LANES: usize = 4;

/// A source that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReadySource {
    pub source: Source,
    /// The remote side has shut down its sending direction.
    pub half_closed: bool,
    /// Since when the source has waited (Unix seconds).
    pub since: f64,
}

/// Ready sources that wait for their turn, each at most once.
#[derive(Default)]
pub(super) struct ReadyQueue {
    lanes: [VecDeque<Source>; LANES],
    waiting: HashMap<Source, Waiting>,
}

#[derive(Clone, Copy)]
struct Waiting {
    half_closed: bool,
    since: f64,
    lane: Lane,
}

impl ReadyQueue {
    /// Adds a source behind those that wait already. A source that waits keeps its place, unless its remote
    /// side has left meanwhile: what is known of that must not wait behind other clients.
    pub fn push(&mut self, source: Source, half_closed: bool, now: f64) {
        let lane = lane_of(source, half_closed);
        let waiting = self.waiting.entry(source).or_insert_with(|| {
            self.lanes[lane as usize].push_back(source);
            Waiting { half_closed, since: now, lane }
        });
        waiting.half_closed |= half_closed;
        if lane != waiting.lane && lane == Lane::Control {
            // Its entry in the other lane finds nothing any more.
            waiting.lane = lane;
            self.lanes[lane as usize].push_back(source);
        }
    }

    /// Returns true if no source waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of entries of a lane.
    pub fn lane_len(&self, lane: usize) -> usize {
        self.lanes[lane].len()
    }

    /// Removes the source of a lane that has waited longest; `None` for an entry that has moved.
    pub fn pop(&mut self, lane: usize) -> Option<ReadySource> {
        let source = self.lanes[lane].pop_front()?;
        let waiting = *self.waiting.get(&source).filter(|waiting| waiting.lane as usize == lane)?;
        self.waiting.remove(&source);
        Some(ReadySource { source, half_closed: waiting.half_closed, since: waiting.since })
    }

    /// Removes a source that has just been added behind all others of its lane. Returns false if it does not
    /// wait there.
    pub fn take_last(&mut self, source: Source) -> bool {
        let Some(waiting) = self.waiting.get(&source) else { return false };
        let lane = &mut self.lanes[waiting.lane as usize];
        if lane.back() != Some(&source) {
            return false;
        }
        lane.pop_back();
        self.waiting.remove(&source).is_some()
    }
}

/// Returns true if a source goes on until the time of its lane is over, not only that of a turn.
pub(super) fn has_lane_time(source: Source) -> bool {
    lane_of(source, false) == Lane::Listener
}

fn lane_of(source: Source, half_closed: bool) -> Lane {
    match source {
        Source::Server(_) | Source::SessionServer(_) => Lane::Server,
        Source::Client(_) if half_closed => Lane::Control,
        Source::Client(_) | Source::SessionClient(_) => Lane::Client,
        Source::ClientListener | Source::SessionListener => Lane::Listener,
        _ => Lane::Control,
    }
}
