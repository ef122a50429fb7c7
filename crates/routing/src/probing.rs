//! Probes for positions and roles of members. A member states its position with each answer; one that gets no
//! requests has to be probed, which costs it work and the site points.

use crate::interface::Action;
use crate::state::Policy;
use crate::thresholds::{MAX_EJECTION_FACTOR, MAX_PROBE_BUDGET, PRIMARY_SEARCH_INTERVAL_FACTOR};

/// Probe budget earned by each request. A probe costs a tenth of a request, less than a read refused for lack
/// of one.
const PROBE_BUDGET_RATIO: f64 = 0.6;
/// Number of probes that all poolers together send to an unused replica within the shortest staleness bound.
const REFRESHES_PER_BOUND: f64 = 4.0;
/// Requests of a group that a pooler must expect within the shortest staleness bound for a probe in advance
/// to pay off.
const MIN_EXPECTED_REQUESTS: f64 = 3.0;
/// Minimum interval between two probes of a member, as a share of the shortest staleness bound.
const MIN_PROBE_INTERVAL_SHARE: f64 = 0.2;
/// Number of members of a group that all poolers together probe at a time for one read.
const MAX_CONCURRENT_PROBES: f64 = 16.0;

impl Policy {
    /// Adds a request's part to the probe budget.
    pub(crate) fn refill_probe_budget(&mut self) {
        self.probe_budget = (self.probe_budget + PROBE_BUDGET_RATIO).min(MAX_PROBE_BUDGET);
    }

    /// Probes replicas that may be fresh enough for a read, up to the limit: ejected ones last, home replicas
    /// first, then the one heard from most recently, since a connection to it is open. With `background`, when
    /// no request needs the answer yet, only ejected members and home replicas are probed, the latter at their
    /// own interval. Returns true if an answer is pending.
    pub(crate) fn probe_replicas(&mut self, n: u64, background: bool, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&n).filter(|_| self.settings.probes) else { return false };
        let Some(state) = self.groups.get(&request.group) else { return false };
        let required = self.required_read_position(request);
        let candidates = |m: &usize| {
            let member = &self.members[*m];
            let due = member.zone == self.settings.zone && self.now >= member.next_background_probe_at;
            let near = !background || member.ejected || due;
            Some(*m) != state.primary
                && self.usable(*m)
                && !request.was_sent_to(*m)
                && near
                && self.may_probe(*m)
        };
        let mut candidates: Vec<usize> = state.members.iter().copied().filter(candidates).collect();
        let rank = |m: &usize| {
            let member = &self.members[*m];
            (!member.ejected, member.zone == self.settings.zone, member.last_heard_at)
        };
        let order = |a: &usize, b: &usize| {
            let (a, b) = (rank(a), rank(b));
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
        };
        // Each pooler starts with a different one of the members never heard from.
        let offset = self.rng.usize(..candidates.len().max(1));
        candidates.rotate_left(offset);
        let to_probe = |m: &usize| self.may_have_caught_up(*m, required);
        let mut to_probe: Vec<usize> = candidates.iter().copied().filter(to_probe).collect();
        to_probe.sort_by(|a, b| order(b, a));
        self.probe_up_to_limit(&candidates, to_probe, out)
    }

    /// Returns true if later reads justify probing a replica although the primary takes this read. Not so for
    /// a position just written by a session, which only this read needs, nor at a pooler whose next read
    /// comes after the answer has become too old, unless the primary is overloaded.
    pub(crate) fn worth_probing(&self, n: u64, primary: usize) -> bool {
        let Some(request) = self.requests.get(&n) else { return false };
        let lasting = self.required_read_position(request) <= self.now - self.min_staleness_bound;
        let expected =
            self.demand.rate(self.now) * self.min_staleness_bound / self.groups.len().max(1) as f64;
        lasting && (expected >= MIN_EXPECTED_REQUESTS || self.too_slow_for(request, primary))
    }

    /// Probes a cold home replica whose range contains the read's sample, if it is not known to be fresh
    /// enough, even though other replicas are. Otherwise each pooler would send reads only to replicas that
    /// it knows to be fresh, and a new one would get none. Returns true if the answer is pending.
    pub(crate) fn probe_cold_replica(&mut self, n: u64, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&n).filter(|_| self.settings.probes) else { return false };
        let Some(state) = self.groups.get(&request.group) else { return false };
        let preferred = |m: &usize| {
            let member = &self.members[*m];
            let home_replica = member.zone == self.settings.zone && Some(*m) != state.primary;
            home_replica && self.cold_preferred(request, *m)
        };
        let candidates = |m: &usize| self.usable(*m) && !self.members[*m].ejected;
        let Some(m) = state.members.iter().copied().filter(candidates).find(preferred) else { return false };
        let required = self.required_read_position(request);
        if self.members[m].position >= required {
            return false;
        }
        if self.may_have_caught_up(m, required) {
            self.probe(m, out);
        }
        self.members[m].probing
    }

    /// A request needs the primary of its group, which is unknown: probes the members whose role was observed
    /// longest ago, or never.
    pub(crate) fn probe_for_primary(&mut self, group: u32, out: &mut Vec<Action>) {
        let Some(state) = self.groups.get(&group).filter(|_| self.settings.probes) else { return };
        let candidates = |m: &usize| self.usable(*m) && self.may_probe(*m);
        let mut candidates: Vec<usize> = state.members.iter().copied().filter(candidates).collect();
        let interval = self.settings.connect_timeout * PRIMARY_SEARCH_INTERVAL_FACTOR;
        let due = |m: &usize| !self.members[*m].probing && self.now - self.members[*m].probed_at >= interval;
        let role_at = |m: usize| self.members[m].role.map_or(f64::NEG_INFINITY, |(_, at)| at);
        let offset = self.rng.usize(..candidates.len().max(1));
        candidates.rotate_left(offset);
        let mut due: Vec<usize> = candidates.iter().copied().filter(due).collect();
        due.sort_by(|a, b| role_at(*a).total_cmp(&role_at(*b)));
        self.probe_up_to_limit(&candidates, due, out);
    }

    /// Probes the first of these members, up to the group's limit. The limit is low because all poolers probe
    /// at the same time. Returns true if an answer is pending.
    fn probe_up_to_limit(
        &mut self,
        candidates: &[usize],
        mut targets: Vec<usize>,
        out: &mut Vec<Action>,
    ) -> bool {
        let pending = candidates.iter().filter(|&&m| self.members[m].probing).count();
        let limit = (MAX_CONCURRENT_PROBES / f64::from(self.settings.fleet_size)).max(1.0) as usize;
        targets.truncate(limit.saturating_sub(pending));
        targets.into_iter().for_each(|m| self.probe(m, out));
        // No request waits for an ejected member.
        candidates.iter().any(|&m| self.members[m].probing && !self.members[m].ejected)
    }

    /// Returns true if it is worth probing a member that is behind a position as far as is known. A member
    /// that has just reported so gets time to catch up first.
    fn may_have_caught_up(&self, m: usize, required: f64) -> bool {
        let member = &self.members[m];
        let behind = required - member.position;
        let min_interval = if behind.is_finite() { behind } else { 0.0 };
        let min_interval =
            min_interval.clamp(self.min_staleness_bound * MIN_PROBE_INTERVAL_SHARE, self.min_staleness_bound);
        !member.probing && behind > 0.0 && self.now - member.probed_at >= min_interval
    }

    /// Returns true if a member may be probed. An ejected member is probed as often as it may be tried, since
    /// its role and position are needed for its return.
    fn may_probe(&self, m: usize) -> bool {
        let member = &self.members[m];
        let due = member.probed_at + self.settings.connect_timeout * MAX_EJECTION_FACTOR;
        !member.ejected || self.now >= member.ejected_until.max(due)
    }

    /// Interval between two background probes of a member (seconds); all poolers together then stay within
    /// the rate.
    pub(crate) fn background_probe_interval(&self) -> f64 {
        self.min_staleness_bound * f64::from(self.settings.fleet_size) / REFRESHES_PER_BOUND
    }

    /// Probes a member if the probe budget allows. The budget is earned by requests, which guards against
    /// probe storms, since all poolers search for a primary at the same moment.
    pub(crate) fn probe(&mut self, m: usize, out: &mut Vec<Action>) {
        if self.probe_budget >= 1.0 {
            self.probe_budget -= 1.0;
            let until = self.now + self.background_probe_interval();
            let member = &mut self.members[m];
            (member.probing, member.probed_at, member.next_background_probe_at) = (true, self.now, until);
            out.push(Action::Probe { member: self.members[m].id.clone() });
        }
    }
}
