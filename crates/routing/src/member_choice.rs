//! Chooses the member for a request: the primary for writes and fresh reads; for any other read a fresh replica of the
//! own zone, then one of another zone, then the primary (docs/design.md). Members that cannot answer in time are passed
//! over.

use crate::interface::*;
use crate::latency::Latency;
use crate::state::{Choice, Policy, Request};
use crate::thresholds::{FLEET_MIN_IN_FLIGHT, MAX_EJECTION_FACTOR};

/// A read leaves its zone if the home replica has more than this multiple of the requests in flight at the
/// least loaded remote one, and at least `ZONE_EXIT_MARGIN` more. Both are fixed by docs/design.md.
const ZONE_EXIT_FACTOR: u32 = 2;
const ZONE_EXIT_MARGIN: u32 = 3;
/// Share of the trial writes that a cold member may get, in multiples of its present capacity.
const COLD_TRIAL_FACTOR: f64 = 0.5;
/// Limit of the expected latency as a share of the aim, for the class of least and of greatest worth.
const MIN_ADMISSION_AIM_SHARE: f64 = 0.35;
const MAX_ADMISSION_AIM_SHARE: f64 = 0.75;
/// Relative error of a latency expected from about ten answers, with up to `FLEET_MIN_IN_FLIGHT` poolers.
const PREDICTION_ERROR_RATIO: f64 = 0.3;
/// A read may overflow to the primary up to this multiple of its class's latency without load ...
const OVERFLOW_LATENCY_FACTOR: f64 = 1.5;
/// ... or, if that is more, this share of the usual admission limit: the primary's own work comes first.
const OVERFLOW_AIM_SHARE: f64 = 0.35;

impl Policy {
    /// Chooses a member for a request that needs the primary.
    pub(crate) fn pick_primary(&mut self, n: u64) -> Choice {
        let Some(request) = self.requests.get(&n) else { return Choice::Refuse };
        let Some(state) = self.groups.get(&request.group) else { return Choice::Refuse };
        if state.members.is_empty() {
            return Choice::Refuse;
        }
        let Some(m) = state.primary else {
            return self.pick_trial_member(n, false).map_or(Choice::Wait, Choice::To);
        };
        // A primary that answers with errors still gets requests: no other member can replace it.
        if !self.healthy(m) && !self.members[m].answers_errors {
            return if self.trial_due(m) { Choice::To(m) } else { Choice::Wait };
        }
        if !self.cold_admits_write(request, m, self.cold_load_factor()) {
            return Choice::Wait;
        }
        self.admit(request, m, 1.0)
    }

    /// Chooses a member to try with a write while the primary is unknown, one write at a time. A miss proves
    /// that nothing ran, and costs less than a probe. Outside rounds only members of unknown role qualify;
    /// in a round the one with the highest position, since that one takes over.
    pub(crate) fn pick_trial_member(&mut self, n: u64, round: bool) -> Option<usize> {
        let draw = self.rng.usize(..);
        let request = self.requests.get(&n)?;
        let state = self.groups.get(&request.group)?;
        let in_flight = |n: &u64| self.requests.get(n).is_some_and(|r| r.attempts.iter().any(|a| a.open));
        let write = self.settings.classes[request.class].consistency == Consistency::Write;
        if !write || request.history.may_have_run() || state.trial_write.as_ref().is_some_and(in_flight) {
            return None;
        }
        // A cold member is unlikely to have taken over, and a trial costs it as much as any request.
        let cold = if round { COLD_TRIAL_FACTOR } else { 0.0 };
        let candidates = |m: &usize| {
            let available = self.usable(*m) && self.healthy(*m) && self.cold_admits(request, *m, cold);
            available && !request.was_sent_to(*m) && (round || self.members[*m].role.is_none())
        };
        let candidates: Vec<usize> = state.members.iter().copied().filter(candidates).collect();
        if round {
            let by_position =
                |a: &usize, b: &usize| self.members[*a].position.total_cmp(&self.members[*b].position);
            return candidates.into_iter().max_by(by_position);
        }
        let reported = candidates.iter().copied().find(|&m| self.members[m].reported.primary);
        reported.or_else(|| candidates.get(draw % candidates.len().max(1)).copied())
    }

    /// Admission control: refuses requests that cannot be answered in time, those of least worth and of
    /// tenants over their share first. `share` scales the latency limit.
    fn admit(&self, request: &Request, m: usize, share: f64) -> Choice {
        let class = &self.settings.classes[request.class];
        // Worth is divided by the root of the class's latency: of two classes of equal worth the quicker one
        // has priority, without starving the slower one.
        let priority = |(c, l): (&Class, &Latency)| c.value / l.mean.max(1e-3).sqrt();
        let highest = self.settings.classes.iter().zip(&self.latency).map(priority).fold(1e-9, f64::max);
        let worth = priority((class, &self.latency[request.class])) / highest;
        let worth = worth * if request.over_share { self.settings.over_share_worth } else { 1.0 };
        // A request past its aim may take until its deadline, but at most another aim (see `limit`):
        // otherwise it would delay requests that are still in time.
        let left = if self.now < request.aim_at { request.aim_at } else { request.deadline } - self.now;
        // The error of the expected latency grows with the root of the unobserved load: the limit allows it.
        let margin = 1.0 + PREDICTION_ERROR_RATIO * (self.unobserved_factor().sqrt() - 1.0);
        let aim_share = MIN_ADMISSION_AIM_SHARE + (MAX_ADMISSION_AIM_SHARE - MIN_ADMISSION_AIM_SHARE) * worth;
        let limit = left.min(class.aim) * share * aim_share * margin;
        // Without this, reads whose latency is a large part of their aim would never overflow.
        let usual_latency =
            if share < 1.0 { self.latency[request.class].base * OVERFLOW_LATENCY_FACTOR } else { 0.0 };
        let limit = limit.max(usual_latency);
        let predicted = self.expected_latency(m, request.class);
        // A few requests always pass, or a recovery would go unnoticed. Their rate is divided by the fleet
        // size: many poolers that each let some through would overload a member.
        let fleet_share = FLEET_MIN_IN_FLIGHT / f64::from(self.settings.fleet_size);
        let trickle = f64::from(self.load(m) + 1) <= fleet_share
            || self.now - self.members[m].last_sent_at > predicted / fleet_share;
        // Nothing is refused because of an initial estimate.
        if predicted > limit && !trickle && self.latency[request.class].answers > 0 {
            return Choice::Refuse;
        }
        Choice::To(m)
    }

    /// Chooses a member for any other read: a fresh replica of the own zone, another zone's, the primary.
    pub(crate) fn pick_read(&mut self, n: u64) -> Choice {
        let pair = (self.rng.usize(..), self.rng.usize(..));
        let Some(request) = self.requests.get(&n) else { return Choice::Refuse };
        let Some(state) = self.groups.get(&request.group) else { return Choice::Refuse };
        let class = request.class;
        let primary = state.primary;
        let required = self.required_write_position(request);
        let any_age = self.settings.classes[class].consistency == Consistency::Any;
        let candidates: Vec<usize> =
            state.members.iter().copied().filter(|&m| self.usable(m) && !request.was_sent_to(m)).collect();
        let replicas: Vec<usize> = candidates.iter().copied().filter(|&m| Some(m) != primary).collect();
        let available = |m: &usize| {
            (self.healthy(*m) || self.trial_due(*m)) && self.cold_admits(request, *m, self.cold_load_factor())
        };
        let zone = self.settings.zone;
        let maybe_fresh = |m: usize| self.may_be_fresh(request, m, required);
        // A home replica with no request in flight gets a speculative read, one at a time: otherwise it
        // would get no reads because its position is unknown, and its position would stay unknown.
        let fresh = replicas.iter().copied().filter(|&m| {
            let member = &self.members[m];
            let speculative = member.zone == zone && member.in_flight == 0 && maybe_fresh(m);
            (member.position >= required || speculative) && available(&m)
        });
        let fresh: Vec<usize> = fresh.collect();
        let (mut local, remote): (Vec<usize>, Vec<usize>) =
            fresh.iter().partition(|m| self.members[**m].zone == zone);
        // A read without a freshness bound prefers, of the two drawn, a replica that is behind, which leaves
        // fresh ones to reads that need them. A class so slow that it may hold up replay beyond the
        // staleness bound goes to the replica that is most behind, so that few replicas are held up.
        let behind = |m: &usize| self.members[*m].position < self.now - self.min_staleness_bound;
        if any_age && self.latency[class].mean > self.min_staleness_bound && fresh.iter().any(behind) {
            let by_position =
                |a: &&usize, b: &&usize| self.members[**a].position.total_cmp(&self.members[**b].position);
            local = fresh.iter().min_by(by_position).copied().into_iter().collect();
        }
        let pick_of_two = |from: &[usize]| {
            let (a, b) = (pair.0 % from.len(), pair.1 % (from.len() - 1).max(1));
            let b = if from.len() > 1 && b >= a { b + 1 } else { b };
            let (a, b) = (from[a], from[b.min(from.len() - 1)]);
            *[a, b].iter().min_by_key(|m| (self.load(**m), any_age && !behind(m))).unwrap_or(&a)
        };
        // A cold replica gets its fair part before the warm ones, and beyond it what they cannot take.
        match local.iter().copied().find(|m| self.cold_preferred(request, *m)) {
            Some(cold) => local = vec![cold],
            None if local.iter().any(|m| self.capacity_share(*m) >= 1.0) => {
                local.retain(|m| self.capacity_share(*m) >= 1.0)
            }
            None => {}
        }
        let idlest = remote.iter().copied().min_by_key(|&m| self.load(m));
        let choice = match (!local.is_empty()).then(|| pick_of_two(&local)) {
            Some(home) => idlest.filter(|&away| self.leaves_zone(home, away)).or(Some(home)),
            None => (!remote.is_empty()).then(|| pick_of_two(&remote)),
        };
        // If the choice cannot answer in time, the fastest fresh replica is tried: before the choice if its
        // latency is much lower, after the choice if this pooler has less load there.
        let soonest = |a: &usize, b: &usize| {
            self.expected_latency(*a, class).total_cmp(&self.expected_latency(*b, class))
        };
        let fastest = fresh.iter().copied().min_by(soonest);
        let diversion = fastest.filter(|&m| choice.is_some_and(|home| self.should_divert(request, home, m)));
        let fastest = fastest.filter(|&m| choice.is_some_and(|home| self.load(home) > self.load(m)));
        let mut decision = Choice::Wait;
        for m in diversion.into_iter().chain(choice).chain(fastest) {
            decision = self.admit(request, m, 1.0);
            if let Choice::To(_) = decision {
                return decision;
            }
        }
        // Where members check positions, a replica that may be fresh is tried: a miss costs one round trip.
        let unconfirmed = replicas.iter().copied().filter(|m| maybe_fresh(*m) && available(m));
        let key = |m: &usize| (self.members[*m].zone != zone, self.load(*m));
        if let Some(m) = unconfirmed.min_by_key(key).filter(|_| choice.is_none()) {
            if let Choice::To(m) = self.admit(request, m, 1.0) {
                return Choice::To(m);
            }
        }
        if let Some(m) = primary.filter(|m| candidates.contains(m) && available(m)) {
            // The primary is the last choice and takes no overflow once its own work fills it. A read that
            // may depend on a write in flight counts as the primary's own work.
            let primary_only = self.has_uncertain_write(request, self.now);
            decision = self.admit(request, m, if primary_only { 1.0 } else { OVERFLOW_AIM_SHARE });
            if let Choice::To(_) = decision {
                return decision;
            }
        }
        match self.pick_fallback(request, required, &candidates) {
            Some(m) => self.admit(request, m, 1.0),
            None if candidates.is_empty() => Choice::Refuse,
            None => decision,
        }
    }

    /// Chooses a member for a read that would be refused otherwise: an ejected member that still answers some requests,
    /// or, if no member is healthy, any without a recent connection failure. Members known to be behind are excluded:
    /// trying each of them in turn would add work for nothing. If no other member is left, one that answered with an
    /// error may serve the next attempt.
    fn pick_fallback(&self, request: &Request, required: f64, candidates: &[usize]) -> Option<usize> {
        let state = self.groups.get(&request.group)?;
        let primary = state.primary;
        let has_reached = |m: usize| self.members[m].position >= required || Some(m) == primary;
        let none_healthy = !candidates.iter().any(|&m| self.healthy(m));
        let recent = self.now - self.settings.connect_timeout * MAX_EJECTION_FACTOR;
        let fallback = candidates.iter().copied().filter(|&m| {
            let eligible = has_reached(m) || self.may_be_fresh(request, m, required);
            let member = &self.members[m];
            let answers = member.last_heard_at > recent.max(member.connect_failed_at) && Some(m) != primary;
            let due = !member.trial_in_flight
                && self.now - member.connect_failed_at > self.settings.connect_timeout;
            let has_room = self.cold_admits(request, m, self.cold_load_factor());
            !self.healthy(m) && eligible && ((none_healthy && due) || answers) && has_room
        });
        let retry_same = state.members.iter().copied().filter(|&m| {
            let erring = self.members[m].answers_errors && request.was_sent_to(m);
            has_reached(m) && self.usable(m) && erring && self.capacity_share(m) >= 1.0
        });
        let key = |m: &usize| {
            self.members[*m].ejected_until.max(self.now) + self.expected_latency(*m, request.class)
        };
        let soonest = |a: &usize, b: &usize| key(a).total_cmp(&key(b));
        fallback.min_by(soonest).or(retry_same.min_by(soonest))
    }

    /// Returns true if a read goes to the remote replica `away` instead of the home replica.
    fn leaves_zone(&self, home: usize, away: usize) -> bool {
        let (here, there) = (self.fleet_load(home), self.fleet_load(away));
        here > ZONE_EXIT_FACTOR * there && here >= there + ZONE_EXIT_MARGIN
    }
}
