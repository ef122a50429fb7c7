//! Model of a member: zone and group, start time, warm-up, and a response time that grows with the requests
//! in flight.

use std::collections::VecDeque;

use routing::interface::{Entry, MemberId, Phase, Report, Settings};

/// Normal lag of a replica behind its primary (seconds).
const REPLICA_LAG: f64 = 0.02;
/// Time over which the requests sent to a cold member are counted (seconds).
const COLD_WINDOW: f64 = 1.0;
/// Requests by which a cold member's limit may be exceeded by chance within a window.
const RANDOM_EXCESS: f64 = 4.0;

/// A simulated member.
pub struct Member {
    /// Name on the list.
    pub name: MemberId,
    /// Zone.
    pub zone: u32,
    /// Group.
    pub group: u32,
    /// Whether the member is its group's primary.
    pub primary: bool,
    /// Start time (seconds); 0 if the member has run long enough to be warm.
    pub started_at: f64,
    /// Phase on the list.
    pub phase: Phase,
    /// Whether the process runs.
    pub up: bool,
    /// Requests being served or queued.
    pub in_flight: usize,
    /// When the replica stopped applying the log.
    pub frozen_since: Option<f64>,
    recent: VecDeque<f64>,
}

impl Member {
    /// A running member that started at the given time (seconds).
    pub fn new(name: MemberId, (zone, group): (u32, u32), primary: bool, started_at: f64) -> Member {
        let (phase, recent) = (Phase::Active, VecDeque::new());
        Member {
            name,
            zone,
            group,
            primary,
            started_at,
            phase,
            up: true,
            in_flight: 0,
            frozen_since: None,
            recent,
        }
    }

    /// The member's entry on the list.
    pub fn entry(&self) -> Entry {
        Entry {
            member: self.name.clone(),
            zone: self.zone,
            group: self.group,
            phase: self.phase,
            started_at: self.started_at,
            primary: false,
        }
    }

    /// Log position that the member has reached (seconds).
    pub fn position(&self, now: f64) -> f64 {
        match self.frozen_since {
            _ if self.primary => now,
            Some(since) => since - REPLICA_LAG,
            None => now - REPLICA_LAG,
        }
    }

    /// The report that the member sends with its answers.
    pub fn report(&self, now: f64) -> Report {
        Report { position: Some(self.position(now)), primary: Some(self.primary) }
    }

    /// Share of the warm capacity that the member has at this time.
    pub fn capacity_share(&self, now: f64, settings: &Settings) -> f64 {
        let warm_share =
            if self.started_at == 0.0 { 1.0 } else { (now - self.started_at) / settings.warm_up };
        settings.cold_start_capacity + (1.0 - settings.cold_start_capacity) * warm_share.clamp(0.0, 1.0)
    }

    /// Counts a request that has reached the member. Returns true if the member is cold and has received more
    /// requests within the last second than the rules allow. `capacity` is the requests per second that it
    /// serves when warm.
    pub fn exceeds_cold_limit(&mut self, now: f64, capacity: f64, settings: &Settings) -> bool {
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| now - at > COLD_WINDOW) {
            self.recent.pop_front();
        }
        let capacity_share = self.capacity_share(now, settings);
        let limit = settings.overload_factor * capacity * capacity_share * COLD_WINDOW + RANDOM_EXCESS;
        capacity_share < 1.0 && self.recent.len() as f64 > limit
    }
}
