//! All routing decisions of dewferry. Their types, events and actions are in `src/interface.rs`.
//!
//! Normal case (docs/design.md): writes and fresh reads go to the primary of their group; other reads go to a
//! replica that is fresh enough, in the own zone before other zones, and to the primary last.

use crate::check::{check, SettingsError};
use crate::demand::{decay_factor, TenantShare};
use crate::interface::*;
use crate::latency::{Latency, SAMPLE_WEIGHT};
use crate::permission::{Denial, History};
use crate::relative_latency::RelativeLatency;
pub use crate::state::Policy;
use crate::state::{Attempt, Choice, Member, Request, HOUSEKEEPING_COOKIE};
use crate::thresholds::*;

/// Housekeeping interval as a share of the shortest aim, so that late work can be retried within its aim.
const HOUSEKEEPING_AIM_SHARE: f64 = 0.1;
/// An attempt is overdue at this many mean deviations over the mean latency of its class ...
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// ... or, if earlier, at this share of its aim, which leaves time for another attempt within the aim.
const OVERDUE_AIM_SHARE: f64 = 0.6;
/// A member that answered nothing since an attempt was sent is unresponsive at this many deviations.
const UNRESPONSIVE_DEVIATIONS: f64 = 6.0;
/// Suspicion for a failure that one broken connection may explain: a second within half a second ejects.
const SINGLE_CONNECTION_SUSPICION: f64 = 0.55 * EJECTION_THRESHOLD;
/// Suspicion for a connection that broke with a request on it.
const RESET_SUSPICION: f64 = 0.25 * EJECTION_THRESHOLD;
/// First ejection time in multiples of the connect timeout; it doubles with each failed trial.
const MIN_EJECTION_FACTOR: f64 = 2.0;
/// Retry budget earned by each request: one retry in ten requests cannot amplify an overload.
const RETRY_BUDGET_RATIO: f64 = 0.1;
/// What an attempt beside another one takes from the retry budget.
const HEDGING_COST: f64 = 1.0;
/// Assumed delay of roles in a list, as a share of `max_list_age`; observed roles carry an exact time.
const LIST_DELAY_SHARE: f64 = 0.5;
/// Connections that every member accepts: idle ones of a fleet of fewer poolers cannot use them all up.
const MIN_MEMBER_CONNECTIONS: u32 = 200;
/// The sample of a client's repeat is drawn from a range this many times as wide.
const REPEAT_SAMPLE_FACTOR: f64 = 2.0;
/// Requests per second of one client up to which a cold member may get its full part of them.
const MAX_COLD_CLIENT_RATE: f64 = 10.0;
/// Share of its time for which a request may wait unsent; its client then has as long to try elsewhere.
const MAX_QUEUE_SHARE: f64 = 0.45;
/// Back-off sent with a refusal, as a share of the aim: short, so that the next try can still meet the aim.
const BACKOFF_AIM_SHARE: f64 = 0.12;
/// Retention of a member that left, in multiples of `max_list_age`: far longer than any deadline.
const MEMBER_RETENTION_FACTOR: f64 = 3.0;

impl Policy {
    /// Creates a policy; the seed determines all its randomness. Returns an error for settings out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Policy, SettingsError> {
        check(&settings)?;
        let mut policy = Policy::blank(settings, fastrand::Rng::with_seed(seed));
        policy.derive();
        (policy.retry_budget, policy.probe_budget) = (MAX_RETRY_BUDGET / 2.0, MAX_PROBE_BUDGET);
        Ok(policy)
    }

    /// Updates the state that depends on the settings; keeps what is known of existing classes and tenants.
    pub(crate) fn derive(&mut self) {
        let classes = &self.settings.classes;
        self.latency.extend(classes.iter().skip(self.latency.len()).map(|c| Latency::initial(c.aim)));
        self.tenant_shares.resize(self.settings.tenant_quota.len(), TenantShare::new(self.now));
        let bound = |c: &Class| if let Consistency::Bounded(b) = c.consistency { b } else { 1.0 };
        self.min_staleness_bound = classes.iter().map(bound).fold(1.0, f64::min);
        self.housekeeping_interval =
            (classes.iter().map(|c| c.aim).fold(1.0, f64::min) * HOUSEKEEPING_AIM_SHARE).clamp(0.01, 0.1);
    }

    /// Handles one event at time `now` and appends the actions that the pooler has to carry out.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Members { kind, entries } => self.apply_list(kind, entries, out),
            Event::Arrival(arrival) if arrival.class >= self.settings.classes.len() => {
                out.push(Action::Refuse { id: arrival.id, backoff: 0.0 });
            }
            Event::Arrival(arrival) => self.on_arrival(arrival, out),
            Event::AttemptEnded(done) => {
                let Some(&m) = self.by_id.get(&done.member) else { return };
                // The answer may have begun before the member was deposed: its role dates from the sending.
                let at = if done.primary == Some(true) { self.now - done.elapsed } else { self.now };
                self.record_deposed(m, &done);
                self.observe(m, done.position, done.primary, Some(at));
                self.observe(m, done.report.position, done.report.primary, None);
                self.on_attempt_ended(m, &done, out);
                self.reconcile_primary(self.members[m].group, out);
            }
            Event::ProbeEnded { member, outcome, report } => {
                let Some(&m) = self.by_id.get(&member) else { return };
                self.members[m].probing = false;
                if outcome == Outcome::Ok {
                    // Not a sign of health: even a member whose requests hang answers probes.
                    self.observe(m, report.position, report.primary, None);
                } else if !matches!(outcome, Outcome::Full | Outcome::NotSent) {
                    // Members limit the probes that they answer, so a rejected probe is no failure.
                    self.suspect(m, 1.0, out);
                }
                self.reconcile_primary(self.members[m].group, out);
            }
            Event::WriteDenied { id, attempt } => self.on_write_denied(&id, attempt, out),
            Event::ResponseStarted { id } => {
                if let Some(&n) = self.request_numbers.get(&id) {
                    self.requests.get_mut(&n).into_iter().for_each(|request| request.streaming = true);
                    self.finish(n, out);
                }
            }
            Event::ClientLeft { id } => {
                if let Some(&n) = self.request_numbers.get(&id) {
                    self.finish(n, out);
                }
            }
            Event::Timer { cookie: HOUSEKEEPING_COOKIE } => self.housekeep(out),
            Event::Timer { cookie } => {
                // Fires when the time to wait unsent is over, and again just before the deadline.
                let horizon = self.now + 2.0 * self.settings.tick;
                let given_up = |r: &Request| !r.done && (horizon >= r.deadline || r.reached_no_member());
                if self.requests.get(&cookie).is_some_and(given_up) {
                    let late = self.requests.get(&cookie).is_some_and(|r| horizon >= r.deadline);
                    let reason = if late { Reason::OutOfTime } else { Reason::HeldTooLong };
                    self.give_up(cookie, reason, out);
                }
            }
        }
        if !self.housekeeping_scheduled {
            self.housekeeping_scheduled = true;
            let at = self.now + self.housekeeping_interval * (0.5 + self.rng.f64());
            out.push(Action::Timer { at, cookie: HOUSEKEEPING_COOKIE });
        }
    }

    fn apply_list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if !kind.carries_entries() {
            // The last list stays in use; it is requested again with exponential back-off and jitter.
            let (max_list_age, fleet_size, sample) =
                (self.settings.max_list_age, self.settings.fleet_size, self.rng.f64());
            let lost = match kind {
                ListKind::Silent => self.list_requests.on_silence(self.now, fleet_size, sample),
                _ => self.list_requests.on_failure(self.now, max_list_age, sample),
            };
            if lost {
                out.push(Action::Log(self.describe_list_loss(kind)));
            }
            return;
        }
        if kind == ListKind::Saved {
            let sample = self.rng.f64();
            self.list_requests.on_start(self.now, self.settings.fleet_size, sample);
        } else if self.list_requests.on_update(self.now) {
            out.push(Action::Log(format!("member list is back: {} entries received", entries.len())));
        }
        let is_full = kind != ListKind::Incremental;
        let mut listed = vec![!is_full; self.members.len()];
        let probe_interval = self.background_probe_interval();
        for entry in entries {
            if entry.phase == Phase::Left && !self.by_id.contains_key(&entry.member) {
                continue;
            }
            let m = *self.by_id.entry(entry.member.clone()).or_insert_with(|| {
                let m = self.free_slots.pop().unwrap_or(self.members.len());
                self.members.resize_with(self.members.len().max(m + 1), Member::default);
                self.members[m] = Member::new(entry.member.clone(), entry.zone, entry.group);
                self.members[m].next_background_probe_at = self.now + probe_interval * self.rng.f64();
                self.groups.entry(entry.group).or_default().members.push(m);
                m
            });
            if m < listed.len() {
                listed[m] = true;
            }
            if self.members[m].group != entry.group {
                let old = self.members[m].group;
                self.groups.entry(old).or_default().members.retain(|&x| x != m);
                self.groups.entry(entry.group).or_default().members.push(m);
            }
            let member = &mut self.members[m];
            (member.zone, member.group) = (entry.zone, entry.group);
            if entry.started_at > member.started_at {
                // The member has restarted: its health starts anew, and it is cold.
                member.started_at = entry.started_at;
                member.cold_since = member.cold_since.max(entry.started_at.min(self.now));
                (member.suspicion, member.ejected_until, member.ejected) = (0.0, 0.0, false);
            }
            if entry.primary != member.listed_primary || kind == ListKind::Saved {
                member.listed_primary = entry.primary;
                member.listed_at = self.now;
            }
            member.leaving_listed =
                entry.phase == Phase::Leaving || entry.phase == Phase::Left && member.leaving_listed;
            member.phase = entry.phase;
        }
        for (m, _) in listed.iter().enumerate().filter(|(_, listed)| !**listed) {
            self.members[m].phase = Phase::Left;
        }
        for member in self.members.iter_mut().filter(|m| m.phase != Phase::Left) {
            member.last_listed_at = self.now;
        }
        self.cancel_unsent(out);
        if kind == ListKind::Saved {
            // A pooler that has just started knows of no writes: any session may have written until now.
            self.unknown_session_position = self.unknown_session_position.max(self.now);
        }
        let groups: Vec<u32> = self.groups.keys().copied().collect();
        for group in groups {
            self.reconcile_primary(group, out);
        }
    }

    /// Removes members that left and have been unused for the retention period. Guards against a leak.
    fn forget_departed_members(&mut self, group: u32) {
        let cutoff = self.now - self.settings.max_list_age * MEMBER_RETENTION_FACTOR;
        let Some(state) = self.groups.get_mut(&group) else { return };
        let members = &mut self.members;
        state.members.retain(|&m| {
            let member = &mut members[m];
            let unused = member.in_flight == 0 && member.last_sent_at.max(member.last_listed_at) < cutoff;
            let forget = member.phase == Phase::Left && unused;
            if forget {
                self.by_id.remove(&member.id);
                self.free_slots.push(m);
            }
            !forget
        });
    }

    /// Cancels attempts at members that take no new work, as far as they have not been written yet.
    pub(crate) fn cancel_unsent(&self, out: &mut Vec<Action>) {
        let unusable = (0..self.members.len()).filter(|&m| self.members[m].in_flight > 0 && !self.usable(m));
        out.extend(unusable.map(|m| Action::CancelUnsent { member: self.members[m].id.clone() }));
    }

    /// Records a position and a role. Positions never decrease and cannot lie in the future. A role in an
    /// answer has that answer's time; one in a report, of unknown age, has the time of its position.
    fn observe(&mut self, m: usize, position: Option<f64>, primary: Option<bool>, answered_at: Option<f64>) {
        let now = self.now;
        let member = &mut self.members[m];
        let position = position.filter(|p| p.is_finite() && *p <= now + 0.001);
        if let Some(position) = position.filter(|p| *p > member.position) {
            member.position = position;
            member.position_at = now;
        }
        if let Some(primary) = primary {
            let dated_at = answered_at.or(position);
            let at = dated_at.unwrap_or(f64::NEG_INFINITY);
            let plausible = !primary || dated_at.unwrap_or(now) >= member.handing_over_until;
            if plausible && member.role.is_none_or(|(_, known_at)| at >= known_at) {
                member.role = Some((primary, at));
            }
        }
    }

    /// Determines the group's primary, then re-evaluates queued requests. The newest claim wins; a claim of
    /// the list counts as older than it is, since list roles arrive late.
    pub(crate) fn reconcile_primary(&mut self, group: u32, out: &mut Vec<Action>) {
        let delay = self.settings.max_list_age * LIST_DELAY_SHARE;
        let Some(state) = self.groups.get(&group) else { return };
        let claim = |m: usize| {
            let member = &self.members[m];
            let listed = member.listed_primary.then_some(member.listed_at - delay);
            match member.role {
                Some((true, at)) => Some(listed.map_or(at, |l| l.max(at))),
                Some((false, at)) => listed.filter(|l| *l > at),
                None => listed,
            }
        };
        let best = state.members.iter().filter(|&&m| self.usable(m));
        let best = best.filter_map(|&m| claim(m).map(|at| (at, m))).max_by(|a, b| a.0.total_cmp(&b.0));
        let best = best.map(|(_, m)| m);
        if best != state.primary {
            out.push(Action::Log(self.describe_primary(group, best)));
            self.groups.entry(group).or_default().primary = best;
        }
        let primary_usable = best.is_some_and(|m| self.healthy(m));
        let state = self.groups.entry(group).or_default();
        if primary_usable {
            state.searching_since = None;
        } else if state.searching_since.is_none() && !state.members.is_empty() {
            state.searching_since = Some(self.now);
            state.next_search_at = self.now;
        }
        self.release_queue(group, out);
    }

    pub(crate) fn healthy(&self, m: usize) -> bool {
        !self.members[m].ejected
    }

    /// Returns true if an ejected member may get one trial request now.
    pub(crate) fn trial_due(&self, m: usize) -> bool {
        let member = &self.members[m];
        member.ejected && self.now >= member.ejected_until && !member.trial_in_flight
    }

    pub(crate) fn suspect(&mut self, m: usize, weight: f64, out: &mut Vec<Action>) {
        let now = self.now;
        let (unit, half_life) = (self.settings.connect_timeout, self.half_life());
        let member = &mut self.members[m];
        member.answers_errors = false;
        let suspicion = member.suspicion * decay_factor(now - member.suspicion_updated_at, half_life);
        member.suspicion = suspicion + weight;
        member.suspicion_updated_at = now;
        if member.suspicion >= EJECTION_THRESHOLD && (now >= member.ejected_until || !member.ejected) {
            // A relapse soon after a return continues the ejection sequence: one good trial does not clear
            // a member that fails now and then, which would seem the least loaded because it fails fast.
            let relapse = member.ejected || now - member.restored_at < unit * MAX_EJECTION_FACTOR;
            member.ejection_count = if relapse { (member.ejection_count + 1).min(5) } else { 1 };
            let doublings = member.ejection_count - 1;
            let duration = (MIN_EJECTION_FACTOR * f64::from(1 << doublings)).min(MAX_EJECTION_FACTOR) * unit;
            member.ejected_until = now + duration * (0.75 + 0.5 * self.rng.f64());
            if !std::mem::replace(&mut member.ejected, true) {
                out.push(Action::Log(member.describe_ejection(now)));
            }
        }
    }

    fn clear_suspicion(&mut self, m: usize, out: &mut Vec<Action>) {
        let member = &mut self.members[m];
        member.suspicion *= 0.5;
        if std::mem::replace(&mut member.ejected, false) {
            member.suspicion = 0.0;
            member.restored_at = self.now;
            member.reported.ejected = false;
            member.relative_latency = RelativeLatency::default();
            out.push(Action::Log(member.describe_return()));
        }
    }

    fn on_arrival(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let Arrival {
            id,
            class,
            group,
            time_left,
            required_position,
            session,
            tenant,
            predicted_work,
            repeat,
            client_rate,
            session_position,
            streams_answer,
        } = arrival;
        let now = self.now;
        let c = &self.settings.classes[class];
        // A position in the request applies on every site; the session's remembered writes add to it.
        let session_position = session_position.unwrap_or(f64::NEG_INFINITY);
        let required_position = required_position.unwrap_or(f64::NEG_INFINITY).max(session_position);
        // Capped at the class's deadline: guards against a request that claims more time.
        let time_left = time_left.clamp(0.0, c.deadline);
        let aim = (c.aim + c.aim_stretch * predicted_work.unwrap_or(0.0)).min(time_left);
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_RATIO).min(MAX_RETRY_BUDGET);
        self.refill_probe_budget();
        let over_share = self.over_share(tenant);
        let n = self.next_number;
        self.next_number += 1;
        self.request_numbers.insert(id.clone(), n);
        let times = (now, now + aim, now + time_left);
        let backoff = if self.settings.retry_after { self.settings.max_retry_after } else { 0.0 };
        // Each repeat draws anew, from a wider range: otherwise many repeats would all reach a cold member.
        // So do those of a client with very many: what it sends must not overload a cold member either.
        let repeat_factor = if repeat { REPEAT_SAMPLE_FACTOR } else { 1.0 };
        let sample = self.rng.f64() * repeat_factor * (client_rate / MAX_COLD_CLIENT_RATE).max(1.0);
        let history = History::new(self.attempt_rules(class, now + time_left));
        let request =
            Request { sample, session, backoff, history, ..Request::new(id, (class, group), times) };
        let queue_until = now + (time_left * MAX_QUEUE_SHARE - self.settings.tick).max(0.0);
        let request = Request { required_position, session_position, streams_answer, ..request };
        self.requests.insert(n, Request { over_share, queue_until, ..request });
        out.push(Action::Timer { at: queue_until, cookie: n });
        // This timer ends every request just before its deadline, whatever else happens.
        out.push(Action::Timer { at: (now + time_left - self.settings.tick).max(now), cookie: n });
        self.advance(n, out);
    }

    /// Marks a request as finished and cancels its attempts in flight, since their work would only delay
    /// others'. The request stays tracked until they have ended.
    pub(crate) fn finish(&mut self, n: u64, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&n) {
            request.done = true;
            let unanswered = request.attempts.iter_mut().enumerate().filter(|(_, a)| a.open && !a.cancelled);
            for (attempt, a) in unanswered.filter(|_| self.settings.cancel) {
                a.cancelled = true;
                out.push(Action::Cancel { id: request.id.clone(), attempt });
            }
            if request.attempts.iter().all(|a| !a.open) {
                self.request_numbers.remove(&request.id);
                self.requests.remove(&n);
            }
        }
    }

    /// Gives the final answer to an unserved request: a refusal if another try is harmless, else a failure.
    pub(crate) fn give_up(&mut self, n: u64, reason: Reason, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&n) else { return };
        let class = &self.settings.classes[request.class];
        let id = request.id.clone();
        let explanation = self.explain(request, reason);
        if request.history.may_refuse().is_ok() {
            let late = class.late_worth == 0.0 && self.now >= request.aim_at - self.settings.tick;
            let wait = if late { class.deadline } else { class.aim * BACKOFF_AIM_SHARE };
            let backoff = (wait * (0.5 + self.rng.f64())).min(request.backoff);
            out.push(Action::Refuse { id, backoff });
        } else {
            out.push(Action::Fail { id });
        }
        out.push(Action::Explain(Box::new(explanation)));
        self.finish(n, out);
    }

    /// Takes the next step of a request that has no attempt in flight.
    pub(crate) fn advance(&mut self, n: u64, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&n) else { return };
        if request.attempts.iter().any(|a| a.open) {
            return;
        }
        let class = request.class;
        let settings = &self.settings.classes[class];
        let (group, consistency) = (request.group, settings.consistency);
        let cutoff = if settings.late_worth > 0.0 { request.deadline } else { request.aim_at };
        // Whether a request that may have run may be attempted again depends on its class.
        let reason = match request.history.may_begin(self.now) {
            Err(Denial::NotRepeatable | Denial::DedupWindowOver) => Some(Reason::MayHaveRun),
            Err(Denial::AttemptsSpent) => Some(Reason::AttemptsSpent),
            Err(_) => Some(Reason::OutOfTime),
            Ok(()) if self.now >= cutoff => Some(Reason::OutOfTime),
            Ok(()) => None,
        };
        if let Some(reason) = reason {
            return self.give_up(n, reason, out);
        }
        let needs_primary = request.needs_primary(consistency);
        let waited_too_long = self.now >= request.queue_until && request.reached_no_member();
        let probing_cold = !needs_primary && !waited_too_long && self.probe_cold_replica(n, out);
        let choice = match (needs_primary, probing_cold) {
            (true, _) => self.pick_primary(n),
            (_, true) => Choice::Refuse,
            _ => self.pick_read(n),
        };
        let probing = match choice {
            _ if probing_cold => true,
            Choice::To(_) => false,
            Choice::Wait if needs_primary => {
                self.probe_for_primary(group, out);
                false
            }
            _ => !needs_primary && self.probe_replicas(n, false, out),
        };
        let primary = self.groups.get(&group).and_then(|g| g.primary);
        match choice {
            Choice::To(m) if primary == Some(m) && self.awaits_role_confirmation(n, m, out) => {
                self.enqueue(n, group)
            }
            Choice::To(m) => {
                let Some(g) = self.groups.get_mut(&group) else { return };
                let trial = needs_primary && g.primary.is_none();
                let no_replica = g.primary == Some(m);
                if trial {
                    g.trial_write = Some(n);
                }
                // No replica was found for a read that goes to the primary: probe for the reads to come.
                if !needs_primary {
                    let wanted = no_replica && self.worth_probing(n, m);
                    self.probe_replicas(n, !wanted, out);
                }
                self.send(n, m, out);
            }
            // A member that might serve the request is being probed: wait for its answer, which is fast.
            Choice::Refuse if probing && !waited_too_long => self.enqueue(n, group),
            Choice::Wait if waited_too_long => self.give_up(n, Reason::HeldTooLong, out),
            Choice::Wait => self.enqueue(n, group),
            Choice::Refuse => {
                if self.now >= self.next_refusal_log_at {
                    out.push(Action::Log(self.describe_refusal(group, class)));
                }
                self.next_refusal_log_at = self.now + 1.0;
                self.give_up(n, Reason::Overloaded, out);
            }
        }
    }

    fn send(&mut self, n: u64, m: usize, out: &mut Vec<Action>) {
        let now = self.now;
        if let Err(denial) = self.may_send(n, m) {
            return self.deny(n, denial, out);
        }
        let Some(request) = self.requests.get(&n) else { return };
        let read = self.read_at_write(request, m);
        let Some(request) = self.requests.get_mut(&n) else { return };
        let member = &mut self.members[m];
        if member.ejected {
            member.trial_in_flight = true;
        }
        member.mean_load += SAMPLE_WEIGHT * (f64::from(member.in_flight) - member.mean_load);
        member.in_flight += 1;
        member.last_sent_at = now;
        request.queued = false;
        request.attempts.push(Attempt::new(m, now, read));
        // A repeat of a keyed request must not wait in the member's queue past its deduplication window.
        let keyed = self.settings.classes[request.class].effect == Effect::Keyed;
        let window_end = if keyed { request.history.window_end() } else { f64::INFINITY };
        request.history.begin(now);
        let timeout = (request.deadline.min(window_end) - now).max(self.settings.tick);
        out.push(Action::Send { id: request.id.clone(), member: member.id.clone(), timeout });
    }

    /// Sends a request to another member beside the one that it waits for.
    fn send_beside(&mut self, n: u64, m: usize, out: &mut Vec<Action>) {
        let earlier = self.requests.get(&n).map_or(0, |request| request.attempts.len());
        self.send(n, m, out);
        if let Some(attempt) = self.requests.get_mut(&n).and_then(|r| r.attempts.get_mut(earlier)) {
            attempt.hedging_cost = HEDGING_COST;
            self.retry_budget -= HEDGING_COST;
        }
    }

    fn on_attempt_ended(&mut self, m: usize, done: &AttemptEnded, out: &mut Vec<Action>) {
        let AttemptEnded { ref id, attempt, outcome, conclusion, finished, elapsed, position, .. } = *done;
        let (evidence, served) = (done.evidence(), done.is_served());
        let Some(&n) = self.request_numbers.get(id) else { return };
        let Some(request) = self.requests.get_mut(&n) else { return };
        let (class, group) = (request.class, request.group);
        let Some(a) = request.attempts.get_mut(attempt).filter(|a| a.open) else { return };
        a.open = false;
        a.ended = Some((outcome, conclusion));
        a.unsent = matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent);
        let (sent_at, cancelled, overdue) = (a.sent_at, a.cancelled, a.overdue);
        let write = self.settings.classes[class].consistency == Consistency::Write;
        request.history.end(attempt, evidence);
        let session = request.session.clone().filter(|_| write);
        let Latency { mean, deviation, .. } = self.latency[class];
        let member = &mut self.members[m];
        member.in_flight = member.in_flight.saturating_sub(1);
        member.abandoned_until.retain(|until| *until > self.now);
        if matches!(outcome, Outcome::Ok | Outcome::Full | Outcome::Miss | Outcome::Error) {
            member.last_heard_at = self.now;
        } else if !evidence.proves_not_run() {
            member.last_unanswered_at = member.last_unanswered_at.max(sent_at);
        }
        member.trial_in_flight = false;
        match outcome {
            Outcome::Ok if served => {
                self.record_latency(m, class, elapsed, true);
                self.latency[class].record(elapsed);
                self.clear_suspicion(m, out);
            }
            // Rejected, or answered from data too old: the member is healthy, but behind. It gets no
            // speculative reads for as long as it was behind.
            Outcome::Ok | Outcome::Miss => {
                let lag = (self.now - member.position).clamp(0.0, self.settings.warm_up);
                member.catch_up_until = self.now + lag.max(self.settings.connect_timeout);
            }
            // A full member answers at once and would look idle: the request counts as load for a while.
            Outcome::Full => member.abandoned_until.push(self.now + mean),
            Outcome::Error => {
                self.suspect(m, 1.0, out);
                self.members[m].answers_errors = true;
            }
            Outcome::ConnectFailed => {
                member.connect_failed_at = self.now;
                let refused_at_once = elapsed < self.settings.connect_timeout / 2.0;
                if refused_at_once && self.settings.fleet_size > MIN_MEMBER_CONNECTIONS {
                    self.no_idle_until = self.now + self.settings.max_list_age;
                }
                // If the member has just answered others, one connection may be to blame. The failure of an
                // attempt already counted as overdue counts again only if it came at once.
                let answered_lately = self.now - member.last_heard_at < self.settings.connect_timeout;
                if refused_at_once || !overdue {
                    let single = !refused_at_once || answered_lately;
                    let weight = if single { SINGLE_CONNECTION_SUSPICION } else { EJECTION_THRESHOLD };
                    self.suspect(m, weight, out);
                }
            }
            // One broken connection is no proof of a dead process: network paths and single queries fail
            // too. If the process is dead, the next connections are refused at once.
            Outcome::Reset => self.suspect(m, RESET_SUSPICION, out),
            Outcome::Timeout | Outcome::Cancelled => {
                member.abandoned_until.push(self.now + mean + deviation);
                let unheard = member.last_heard_at < sent_at;
                // Clients stop waiting for slow members: an attempt without an answer shows latency as well.
                self.record_latency(m, class, elapsed, false);
                if outcome == Outcome::Timeout && !cancelled {
                    // A member that answers others meanwhile is overloaded, not dead: ejecting it would only
                    // overload the rest. The latency ratio and admission control handle it.
                    if unheard {
                        self.suspect(m, 1.0, out);
                    }
                }
            }
            Outcome::NotSent => {}
        }
        // Refused at once: the process is down, or all its connections are in use, most of them idle ones of
        // other poolers. This pooler then keeps no idle connections for a while.
        if self.now < self.no_idle_until && self.members[m].in_flight == 0 {
            out.push(Action::CloseIdle { member: self.members[m].id.clone() });
        }
        if let Some(session) = session {
            self.record_session_write(session, evidence, position);
        }
        if finished || self.requests.get(&n).is_none_or(|r| r.done) {
            return self.finish(n, out);
        }
        // A hedged attempt is still in flight: its end decides.
        if self.requests.get(&n).is_some_and(|r| r.attempts.iter().any(|a| a.open)) {
            return;
        }
        // A retry after work may have been done is charged to the retry budget. No other member can replace
        // a full primary: retries would meet the same load within milliseconds, up to the last attempt.
        let primary_full =
            outcome == Outcome::Full && Some(m) == self.groups.get(&group).and_then(|g| g.primary);
        // The charge is the work done: an attempt that failed after a tenth of the usual latency costs a
        // tenth. An answer that was too old costs nothing, like a request that was rejected.
        let no_work = evidence.proves_not_run() || conclusion == Conclusion::TooOld;
        let cost = if no_work { 0.0 } else { (elapsed / mean).min(1.0) };
        if primary_full {
            return self.give_up(n, Reason::PrimaryFull, out);
        }
        if self.retry_budget < cost {
            return self.give_up(n, Reason::RetryBudget, out);
        }
        self.retry_budget -= cost;
        if outcome == Outcome::Miss || conclusion == Conclusion::TooOld {
            let group = self.members[m].group;
            self.reconcile_primary(group, out);
        }
        self.advance(n, out);
    }

    /// Periodic work: unresponsive members, overdue attempts, queued requests, probes and list requests.
    fn housekeep(&mut self, out: &mut Vec<Action>) {
        self.housekeeping_scheduled = false;
        let settings = &self.settings;
        if settings.subscribe && self.list_requests.take_due(self.now) {
            out.push(Action::Subscribe);
        }
        let unanswered = self.unanswered();
        let mut overdue = Vec::new();
        for (&n, request) in &self.requests {
            let class = &settings.classes[request.class];
            let Latency { mean, deviation, .. } = self.latency[request.class];
            let limit = (mean + OVERDUE_DEVIATIONS * deviation).min(class.aim * OVERDUE_AIM_SHARE);
            for (index, attempt) in request.attempts.iter().enumerate() {
                let (age, m) = (self.now - attempt.sent_at, attempt.member);
                if !attempt.open || attempt.overdue {
                    continue;
                }
                let unheard = self.members[m].last_heard_at < attempt.sent_at;
                // Several waiting attempts prove a failure sooner, but not before the connect timeout: where
                // answers take milliseconds, any pause of a host seems long.
                let too_long = age > mean + UNRESPONSIVE_DEVIATIONS * deviation;
                let proven = unanswered[m].indicates_failure() && age > mean.max(settings.connect_timeout);
                let unresponsive = unheard && (too_long || proven);
                if unresponsive || age > limit {
                    overdue.push((n, index, m, unresponsive));
                }
            }
        }
        for (n, index, m, unresponsive) in overdue {
            // Unresponsive: no answer at all since this attempt was sent, as from a member that hangs or is
            // cut off. A primary has no replacement: it is ejected only once a second attempt is late, since
            // a single connection can fail by itself.
            if unresponsive {
                let primary = self.groups.get(&self.members[m].group).and_then(|g| g.primary);
                let single = primary == Some(m) && unanswered[m].late < 2;
                let weight = if single { SINGLE_CONNECTION_SUSPICION } else { EJECTION_THRESHOLD };
                self.suspect(m, weight, out);
            }
            let Some(request) = self.requests.get_mut(&n).filter(|r| !r.done) else { continue };
            request.attempts[index].overdue |= unresponsive;
            let class = &self.settings.classes[request.class];
            let enough_time = request.aim_at - self.now > self.latency[request.class].mean;
            let repeatable =
                class.effect == Effect::Safe && request.attempts[index + 1..].iter().all(|a| a.withdrawn);
            let permitted = !self.settings.allow_hedging || request.history.may_begin(self.now).is_ok();
            if !repeatable || !enough_time || !permitted || self.retry_budget < HEDGING_COST || index > 2 {
                continue;
            }
            let unheard = self.members[m].last_heard_at < request.attempts[index].sent_at;
            if self.settings.allow_hedging && unheard && class.consistency != Consistency::Fresh {
                if let Choice::To(other) = self.pick_read(n) {
                    self.send_beside(n, other, out);
                }
            } else if unresponsive && self.settings.cancel {
                if let Some(request) = self.requests.get_mut(&n) {
                    request.attempts[index].cancelled = true;
                    out.push(Action::Cancel { id: request.id.clone(), attempt: index });
                }
            }
        }
        // Removes groups without members: lists may name new groups without end.
        self.groups.retain(|_, state| !state.members.is_empty() || !state.queue.is_empty());
        let groups: Vec<u32> = self.groups.keys().copied().collect();
        for group in groups {
            self.forget_departed_members(group);
            self.search_primary(group, out);
            self.reconcile_primary(group, out);
        }
    }

    /// Searches for the primary of a group in rounds while requests are queued for it.
    fn search_primary(&mut self, group: u32, out: &mut Vec<Action>) {
        let interval = self.settings.connect_timeout * PRIMARY_SEARCH_INTERVAL_FACTOR;
        let Some(state) = self.groups.get_mut(&group) else { return };
        if state.searching_since.is_none() || self.now < state.next_search_at || state.queue.is_empty() {
            return;
        }
        state.next_search_at = self.now + interval * (0.5 + self.rng.f64());
        let may_be_sent = |n: &u64| {
            let Some(r) = self.requests.get(n) else { return false };
            !r.done && r.history.may_begin(self.now).is_ok()
        };
        let queue: Vec<u64> = state.queue.iter().copied().filter(may_be_sent).collect();
        match queue.into_iter().find_map(|n| self.pick_trial_member(n, true).map(|m| (n, m))) {
            Some((n, m)) => {
                let Some(state) = self.groups.get_mut(&group) else { return };
                state.queue.retain(|&x| x != n);
                state.trial_write = Some(n);
                self.send(n, m, out);
            }
            None => self.probe_for_primary(group, out),
        }
    }
}
