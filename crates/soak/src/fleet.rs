//! The db machines as they truly are: who is up, who is the primary, how far each has applied the log.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::place::{self, Kind};
use crate::plan::{Consistency, Plan, Trouble, COLD_FROM, TIP_MULTIPLE, WARM_UP};

/// How far a replica is behind when all is well (seconds).
const USUAL_LAG: f64 = 0.01;
/// How long a machine that was deposed or has come back applies nothing (seconds).
const CATCHES_UP_AFTER: f64 = 1.5;
/// What a warm machine can do (requests a second).
pub const CAPACITY: f64 = 150.0;
/// Port of every machine; each has an address of its own.
const PORT: u16 = 15_432;
/// Time before the run at which unremarkable machines started, as lists tell it (Unix milliseconds).
const LONG_AGO: u64 = 0;

/// Where a machine stands in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Serving,
    Draining,
    Deleted,
}

impl Phase {
    /// Its word in the list.
    pub fn word(self) -> &'static str {
        match self {
            Phase::Serving => "SERVING",
            Phase::Draining => "DRAINING",
            Phase::Deleted => "DELETED",
        }
    }
}

/// A machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub group: usize,
    pub phase: Phase,
    pub up: bool,
    pub trouble: Trouble,
    pub primary: bool,
    /// It applies nothing past this position until then (seconds of the run).
    frozen: Option<(f64, f64)>,
    /// When it started last (seconds of the run); none for long ago.
    pub started: Option<f64>,
}

impl Machine {
    /// How far it has applied the log.
    pub fn position(&self, now: f64) -> f64 {
        match self.frozen {
            Some((at, until)) if now < until => at,
            _ if self.primary => now,
            _ => now - USUAL_LAG,
        }
    }

    /// How many requests a second it can do now, as a share.
    pub fn warmth(&self, now: f64) -> f64 {
        let age = self.started.map_or(WARM_UP, |at| now - at);
        (COLD_FROM + (1.0 - COLD_FROM) * age / WARM_UP).clamp(COLD_FROM, 1.0)
    }

    /// The most requests that it may be sent within so long (seconds) from now on while it is cold, as the terms of acceptance
    /// count it.
    pub fn cold_budget(&self, now: f64, seconds: f64) -> f64 {
        let n = CAPACITY * self.warmth(now) * TIP_MULTIPLE * seconds;
        if n < 30.0 {
            n + 3.0 * n.sqrt() + 3.0
        } else {
            n + 2.0 * n.sqrt() + 2.0
        }
    }
}

/// All machines, and what sessions have committed.
pub struct Fleet {
    pub machines: Vec<Machine>,
    /// Last commit of each session (seconds of the run).
    pub commits: HashMap<String, f64>,
    pub unix_at_start: f64,
    refuses_when_behind: bool,
}

impl Fleet {
    /// The fleet of a plan at the beginning.
    pub fn new(plan: &Plan) -> Mutex<Fleet> {
        let machine = |n: usize| Machine {
            group: n / plan.members,
            phase: Phase::Serving,
            up: true,
            trouble: Trouble::None,
            primary: n.is_multiple_of(plan.members),
            frozen: None,
            started: None,
        };
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Mutex::new(Fleet {
            machines: (0..plan.machines()).map(machine).collect(),
            commits: HashMap::new(),
            unix_at_start: unix.as_secs_f64(),
            refuses_when_behind: plan.refuses_when_behind,
        })
    }

    /// The line of a machine in the list.
    pub fn line(&self, n: usize) -> String {
        let machine = &self.machines[n];
        let since = machine.started.map_or(LONG_AGO, |at| ((self.unix_at_start + at) * 1000.0) as u64);
        let zone = if n.is_multiple_of(2) { "a" } else { "b" };
        let (address, group, status) = (address(n), machine.group, machine.phase.word());
        format!(
            r#"{{"name":"s-{n}","address":"{address}","zone":"{zone}","type":"m2","group":{group},"status":"{status}","weight":1.0,"since_ms":{since}}}"#
        )
    }

    /// A replica, or one that was the primary, applies nothing for so long.
    pub fn freeze(&mut self, n: usize, now: f64, lasts: f64) {
        let position = self.machines[n].position(now);
        self.machines[n].frozen = Some((position, now + lasts));
    }

    /// A machine starts anew: cold, and behind for a while.
    pub fn starts(&mut self, n: usize, now: f64) {
        self.freeze(n, now, CATCHES_UP_AFTER);
        let machine = &mut self.machines[n];
        machine.started = Some(now);
        (machine.up, machine.phase, machine.primary) = (true, Phase::Serving, false);
    }

    /// The primary of a group is none any more. Whether there was one.
    pub fn depose(&mut self, group: usize, now: f64) -> bool {
        let primary = self.machines.iter().position(|m| m.group == group && m.primary);
        if let Some(n) = primary {
            self.freeze(n, now, CATCHES_UP_AFTER);
            self.machines[n].primary = false;
        }
        primary.is_some()
    }

    /// Another machine of a group takes over, the one that has most of the log.
    pub fn elect(&mut self, group: usize, now: f64) {
        if self.machines.iter().any(|m| m.group == group && m.primary) {
            return;
        }
        let able = |m: &Machine| m.group == group && m.up && m.phase == Phase::Serving;
        let able = (0..self.machines.len()).filter(|n| able(&self.machines[*n]));
        let most = |a: &usize, b: &usize| {
            self.machines[*a].position(now).total_cmp(&self.machines[*b].position(now))
        };
        if let Some(n) = able.max_by(most) {
            self.machines[n].primary = true;
            self.machines[n].frozen = None;
        }
    }

    /// Whether a machine turns a request away untouched.
    pub fn misses(&self, n: usize, consistency: Consistency, session: &str, now: f64) -> bool {
        let machine = &self.machines[n];
        let behind = |needed: f64| self.refuses_when_behind && machine.position(now) < needed;
        match consistency {
            Consistency::Write => !machine.primary,
            Consistency::Bounded(bound) => behind(now - bound),
            Consistency::Session => self.commits.get(session).is_some_and(|commit| behind(*commit)),
            Consistency::Fresh | Consistency::Any => false,
        }
    }
}

/// Where a machine listens.
pub fn address(n: usize) -> SocketAddr {
    place::address(Kind::Databases, (n / 250) as u8, (n % 250 + 1) as u8, PORT)
}
