//! A db machine as the simulation has it: a place, a start, a queue whose delay grows with what is there.

use std::collections::VecDeque;

use routing::interface::{Entry, MemberId, Phase, Report, Settings};

/// How far a replica's copy is behind its primary in the ordinary way (seconds).
const LAG: f64 = 0.02;
/// Time over which work at a cold machine is summed (seconds), and requests that chance may add to it.
const WINDOW: f64 = 1.0;
const CHANCE: f64 = 4.0;

/// One db machine.
pub struct Member {
    /// Its name.
    pub name: MemberId,
    /// Its zone.
    pub zone: u32,
    /// Its group.
    pub group: u32,
    /// Whether it is its group's primary.
    pub primary: bool,
    /// When it started (seconds); 0 for long ago.
    pub started: f64,
    /// What the list says of it.
    pub phase: Phase,
    /// Whether its process runs.
    pub up: bool,
    /// Requests that are in work or wait.
    pub in_flight: usize,
    /// Since when its copy has stood still.
    pub frozen: Option<f64>,
    recent: VecDeque<f64>,
}

impl Member {
    /// One that started at this time (seconds).
    pub fn new(name: MemberId, (zone, group): (u32, u32), primary: bool, started: f64) -> Member {
        let (phase, recent) = (Phase::Active, VecDeque::new());
        Member { name, zone, group, primary, started, phase, up: true, in_flight: 0, frozen: None, recent }
    }

    /// Its line on the list.
    pub fn entry(&self) -> Entry {
        Entry {
            member: self.name.clone(),
            zone: self.zone,
            group: self.group,
            phase: self.phase,
            started_at: self.started,
            primary: false,
        }
    }

    /// Up to when it has the log (seconds).
    pub fn position(&self, now: f64) -> f64 {
        match self.frozen {
            _ if self.primary => now,
            Some(since) => since - LAG,
            None => now - LAG,
        }
    }

    /// What it tells of itself.
    pub fn report(&self, now: f64) -> Report {
        Report { position: Some(self.position(now)), primary: Some(self.primary) }
    }

    /// Share of its capacity that it has by now.
    pub fn capacity_share(&self, now: f64, settings: &Settings) -> f64 {
        let part = if self.started == 0.0 { 1.0 } else { (now - self.started) / settings.warm_up };
        settings.cold_start_capacity + (1.0 - settings.cold_start_capacity) * part.clamp(0.0, 1.0)
    }

    /// Work has reached it: whether a cold one got more within a second than the rules allow, `capacity` being what it
    /// does in a second when it is warm.
    pub fn exceeds_cold_limit(&mut self, now: f64, capacity: f64, settings: &Settings) -> bool {
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| now - at > WINDOW) {
            self.recent.pop_front();
        }
        let warmth = self.capacity_share(now, settings);
        let most = settings.overload_factor * capacity * warmth * WINDOW + CHANCE;
        warmth < 1.0 && self.recent.len() as f64 > most
    }
}
