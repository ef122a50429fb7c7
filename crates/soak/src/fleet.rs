//! The actual state of the members: whether each is up, whether it is the primary, and its log position.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::addresses::{self, AddressKind};
use crate::plan::{Consistency, Plan, Trouble, COLD_START_CAPACITY, OVERLOAD_FACTOR, WARM_UP};

/// How far a replica is behind without faults (seconds).
const NORMAL_LAG: f64 = 0.01;
/// How long a member that was deposed or restarted applies nothing (seconds).
const CATCH_UP_DELAY: f64 = 1.5;
/// Capacity of a warm member (requests per second).
pub const CAPACITY: f64 = 150.0;
/// Port of every member. Each member has its own address.
const PORT: u16 = 15_432;
/// Start time in the list of members that have not restarted during the run (Unix milliseconds).
const INITIAL_START_MS: u64 = 0;

/// How fast a replica catches up after it has applied the log slowly, in multiples of the usual pace.
const CATCH_UP_RATE: f64 = 5.0;

/// A replica applies the log more slowly for a while, then catches up.
#[derive(Clone, Copy, Debug)]
struct SlowReplay {
    /// Its position when that began, and when it did (seconds of the run).
    position: f64,
    since: f64,
    /// Its pace as a share of the usual one, and until when (seconds of the run).
    rate: f64,
    until: f64,
}

impl SlowReplay {
    fn position(&self, now: f64) -> f64 {
        let slow_until = now.min(self.until);
        let caught_up = CATCH_UP_RATE * (now - self.until).max(0.0);
        self.position + self.rate * (slow_until - self.since) + caught_up
    }
}

/// Some of a member's new connections come up late for a while.
#[derive(Clone, Copy, Debug)]
struct LateConnections {
    one_in: usize,
    by: f64,
    until: f64,
}

/// The status of a member in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Serving,
    Draining,
    Deleted,
}

impl Phase {
    /// Returns the status as the list has it.
    pub fn list_status(self) -> &'static str {
        match self {
            Phase::Serving => "SERVING",
            Phase::Draining => "DRAINING",
            Phase::Deleted => "DELETED",
        }
    }
}

/// A member.
#[derive(Clone, Debug)]
pub struct Member {
    pub group: usize,
    pub phase: Phase,
    pub up: bool,
    pub trouble: Trouble,
    pub primary: bool,
    /// The position past which the member applies nothing, and until when (seconds of the run).
    frozen: Option<(f64, f64)>,
    slow_replay: Option<SlowReplay>,
    late_connections: Option<LateConnections>,
    /// When the member last restarted (seconds of the run). `None` if it has not restarted during the run.
    pub started_at: Option<f64>,
}

impl Member {
    /// Returns the member's log position (seconds of the run).
    pub fn position(&self, now: f64) -> f64 {
        match self.frozen {
            Some((at, until)) if now < until => at,
            _ if self.primary => now,
            _ => {
                let slow = self.slow_replay.map_or(f64::INFINITY, |replay| replay.position(now));
                slow.min(now - NORMAL_LAG)
            }
        }
    }

    /// Returns how long a new connection, by its number, takes to come up, if it comes up late (seconds).
    pub fn connects_late(&self, now: f64, number: usize) -> Option<f64> {
        let late = self.late_connections.filter(|late| now < late.until)?;
        number.is_multiple_of(late.one_in).then_some(late.by)
    }

    /// Returns the share of its full capacity that the member has at `now`.
    pub fn capacity_share(&self, now: f64) -> f64 {
        let age = self.started_at.map_or(WARM_UP, |at| now - at);
        (COLD_START_CAPACITY + (1.0 - COLD_START_CAPACITY) * age / WARM_UP).clamp(COLD_START_CAPACITY, 1.0)
    }

    /// Returns the maximum number of requests that may be sent to the member within `seconds` from `now`
    /// while it is cold, as the acceptance criteria define it.
    pub fn cold_budget(&self, now: f64, seconds: f64) -> f64 {
        let n = CAPACITY * self.capacity_share(now) * OVERLOAD_FACTOR * seconds;
        if n < 30.0 {
            n + 3.0 * n.sqrt() + 3.0
        } else {
            n + 2.0 * n.sqrt() + 2.0
        }
    }
}

/// All members, and the commits of sessions.
pub struct Fleet {
    pub members: Vec<Member>,
    /// The last commit of each session (seconds of the run).
    pub commits: HashMap<String, f64>,
    pub unix_at_start: f64,
    refuses_when_behind: bool,
}

impl Fleet {
    /// Creates the fleet of a plan as it is at the start.
    pub fn new(plan: &Plan) -> Mutex<Fleet> {
        let member = |n: usize| Member {
            group: n / plan.members,
            phase: Phase::Serving,
            up: true,
            trouble: Trouble::None,
            primary: n.is_multiple_of(plan.members),
            frozen: None,
            slow_replay: None,
            late_connections: None,
            started_at: None,
        };
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Mutex::new(Fleet {
            members: (0..plan.member_count()).map(member).collect(),
            commits: HashMap::new(),
            unix_at_start: unix.as_secs_f64(),
            refuses_when_behind: plan.refuses_when_behind,
        })
    }

    /// Returns a member's entry in the list.
    pub fn list_entry(&self, n: usize) -> String {
        let member = &self.members[n];
        let started_ms =
            member.started_at.map_or(INITIAL_START_MS, |at| ((self.unix_at_start + at) * 1000.0) as u64);
        let zone = if n.is_multiple_of(2) { "a" } else { "b" };
        let (address, group, status) = (address(n), member.group, member.phase.list_status());
        format!(
            r#"{{"name":"s-{n}","address":"{address}","zone":"{zone}","type":"m2","group":{group},"status":"{status}","weight":1.0,"since_ms":{started_ms}}}"#
        )
    }

    /// Stops a member from applying the log for `duration` (seconds).
    pub fn freeze(&mut self, n: usize, now: f64, duration: f64) {
        let position = self.members[n].position(now);
        self.members[n].frozen = Some((position, now + duration));
    }

    /// Has the replicas of a group apply the log at `rate` for `duration` (seconds), while one in `one_in` of the new
    /// connections to them comes up late by `by` (seconds).
    pub fn slow_replay(&mut self, group: usize, now: f64, (rate, duration): (f64, f64), late: (usize, f64)) {
        let (until, (one_in, by)) = (now + duration, late);
        for member in self.members.iter_mut().filter(|member| member.group == group && !member.primary) {
            let position = member.position(now);
            member.slow_replay = Some(SlowReplay { position, since: now, rate, until });
            member.late_connections = Some(LateConnections { one_in, by, until });
        }
    }

    /// Restarts a member: it is cold, and behind for a while.
    pub fn restart(&mut self, n: usize, now: f64) {
        self.freeze(n, now, CATCH_UP_DELAY);
        let member = &mut self.members[n];
        member.started_at = Some(now);
        (member.up, member.phase, member.primary) = (true, Phase::Serving, false);
    }

    /// Deposes the primary of a group. Returns true if the group had one.
    pub fn depose(&mut self, group: usize, now: f64) -> bool {
        let primary = self.members.iter().position(|m| m.group == group && m.primary);
        if let Some(n) = primary {
            self.freeze(n, now, CATCH_UP_DELAY);
            self.members[n].primary = false;
        }
        primary.is_some()
    }

    /// Makes the serving member of a group with the highest position the primary, unless the group has a
    /// primary.
    pub fn elect(&mut self, group: usize, now: f64) {
        if self.members.iter().any(|m| m.group == group && m.primary) {
            return;
        }
        let is_eligible = |m: &Member| m.group == group && m.up && m.phase == Phase::Serving;
        let eligible = (0..self.members.len()).filter(|n| is_eligible(&self.members[*n]));
        let by_position =
            |a: &usize, b: &usize| self.members[*a].position(now).total_cmp(&self.members[*b].position(now));
        if let Some(n) = eligible.max_by(by_position) {
            self.members[n].primary = true;
            (self.members[n].frozen, self.members[n].slow_replay) = (None, None);
        }
    }

    /// Returns true if a member rejects a request without running it.
    pub fn rejects(&self, n: usize, consistency: Consistency, session: &str, now: f64) -> bool {
        let member = &self.members[n];
        let behind = |required: f64| self.refuses_when_behind && member.position(now) < required;
        match consistency {
            Consistency::Write => !member.primary,
            Consistency::Bounded(bound) => behind(now - bound),
            Consistency::Session => self.commits.get(session).is_some_and(|commit| behind(*commit)),
            Consistency::Fresh | Consistency::Any => false,
        }
    }
}

/// Returns the address at which a member listens.
pub fn address(n: usize) -> SocketAddr {
    addresses::address(AddressKind::Members, (n / 250) as u8, (n % 250 + 1) as u8, PORT)
}
