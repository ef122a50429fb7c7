//! Simulates many poolers and members in one process on one virtual clock. Each pooler runs the real routing
//! policy; the members, discovery and the network are models, and faults follow a schedule. Two runs with the
//! same seed are equal event by event. The simulation checks the rules from the members' side and records
//! violations in [`RunResult::breaches`].

#![warn(missing_docs)]

pub mod fault_scenario;
pub mod instances;
mod member;

use std::cmp::Reverse;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use listing::follow::{self, ConnectionId, Follower};
pub use member::Member;
use routing::interface::*;
use routing::Policy;

/// Network latency in one direction (seconds).
const ONE_WAY_LATENCY: f64 = 0.000_5;
/// How long a list request may wait in discovery's queue before it fails (seconds).
const LIST_REQUEST_TIMEOUT: f64 = 2.0;
/// Interval at which discovery sends an empty line on a watch (seconds).
const EMPTY_LINE_INTERVAL: f64 = 2.0;
/// A drain that a silent watch misses counts as known to the pooler this long after the watch fell silent
/// (seconds). A drain announced while discovery was unreachable counts as known this long after discovery's
/// return, even if the list requests made since then have failed.
const MAX_NOTICE_DELAY: f64 = 6.0;
/// Up to this duration (seconds) a silence that ends with discovery's return is counted from its start; a
/// longer one is counted from discovery's return.
const SHORT_SILENCE: f64 = 2.0;
/// How long after a drain is known a pooler may still send to the member (seconds).
const DRAIN_GRACE: f64 = 0.25;
/// How long after its deadline a request may still get its final answer (seconds).
const ANSWER_GRACE: f64 = 0.05;
/// A pooler serves nobody once it has refused at least this many requests in a row, over at least
/// [`SERVES_NOBODY_MIN_TIME`], with no attempt in between.
const SERVES_NOBODY_MIN_REQUESTS: usize = 15;
/// See [`SERVES_NOBODY_MIN_REQUESTS`] (seconds).
const SERVES_NOBODY_MIN_TIME: f64 = 4.0;
/// Maximum number of breaches that a run records.
const MAX_BREACHES: usize = 100;

/// The fleet, the load and the settings of a simulation.
pub struct WorldConfig {
    /// Seed of all random streams.
    pub seed: u64,
    /// Number of poolers.
    pub poolers: usize,
    /// Number of zones; poolers and members are assigned to them in turn.
    pub zones: u32,
    /// Number of groups, each with one primary.
    pub groups: u32,
    /// Number of replicas in each group.
    pub replicas: u32,
    /// Requests per second over all poolers. The load is uneven: a fifth of the poolers get nearly half of
    /// it.
    pub requests_per_s: f64,
    /// Mean service time of a request at an idle member (seconds).
    pub service_time: f64,
    /// Requests per second that a warm member can serve.
    pub capacity: f64,
    /// Maximum delay of a change of the list on its way to a pooler (seconds).
    pub list_delay: f64,
    /// Time that discovery needs to answer a list request (seconds); it answers requests one after another.
    pub list_request_time: f64,
    /// The settings of each pooler; [`World`] sets the zone.
    pub settings: Settings,
}

/// A fault or an operation that the schedule applies. Poolers and members are given by index.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A pooler's process is killed and restarts without any state.
    RestartPooler(usize),
    /// The list announces that a member drains.
    DrainMember(usize),
    /// A member's process ends. If it was the primary, the first running member of its group becomes primary.
    StopMember(usize),
    /// A new, cold member joins the given member's group and zone.
    ReplaceMember(usize),
    /// A stopped member restarts under its name, cold.
    RestartMember(usize),
    /// A zone is cut off from all other zones (true), or reconnected (false).
    IsolateZone(u32, bool),
    /// A replica stops applying the log (true), or resumes (false).
    FreezeReplica(usize, bool),
    /// All open connections to discovery stop carrying data without closing.
    SilenceDiscoveryConnections,
    /// All connections to discovery are reset.
    ResetDiscoveryConnections,
    /// Discovery goes down (true): its connections are reset and list requests are refused. Or it returns
    /// (false).
    DiscoveryDown(bool),
    /// Discovery accepts list requests and never answers them (true), or answers again (false).
    DiscoveryHangs(bool),
}

/// Counters, breaches and the trace of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunResult {
    /// Requests that arrived. Requests pending at a killed pooler are not counted as served, refused or
    /// failed.
    pub requests: usize,
    /// Requests answered by a member in time.
    pub served: usize,
    /// Requests that a pooler refused.
    pub refused: usize,
    /// Requests answered with an error.
    pub failed: usize,
    /// Attempts sent.
    pub sent: usize,
    /// Probes sent.
    pub probes: usize,
    /// List requests.
    pub list_requests: usize,
    /// Pairs of a pooler's incarnation and a member that it sent to: a lower bound on server connections.
    pub pooler_member_pairs: usize,
    /// Poolers that refused all of at least 15 requests over at least 4 s, with no attempt in between.
    pub poolers_serving_nobody: BTreeSet<usize>,
    /// Violations of the rules, at most 100.
    pub breaches: Vec<String>,
    /// Hash of all actions in order: equal for equal runs.
    pub trace: u64,
}

enum Step {
    Arrival,
    Timer(usize, u32, u64),
    PolicyEvent(usize, u32, Event),
    AttemptEnded(u64, usize),
    /// The timer of a pooler's follower fires.
    FollowerTimer(usize, u32),
    /// On a connection to discovery: the list request is answered or fails, an empty line is due, or a change
    /// arrives.
    ListAnswered(ConnectionKey),
    ListRequestFailed(ConnectionKey),
    EmptyLine(ConnectionKey),
    ListChange(ConnectionKey, Entry),
    AnswerDeadline(u64),
    Fault(Fault),
}

struct Pooler {
    policy: Policy,
    incarnation: u32,
    zone: u32,
    follower: Follower,
    /// Connections to discovery.
    connections: BTreeMap<ConnectionId, DiscoveryConnection>,
    /// When a connection fell silent, if no list request has been answered since.
    silent_since: Option<f64>,
    /// When the last change sent on the watch arrives; later changes arrive no earlier, since a watch keeps
    /// their order.
    last_change_at: f64,
    /// Members that drain or have left, and when the pooler counts as knowing it.
    drain_notices: HashMap<MemberId, f64>,
    /// Members that this incarnation has sent to.
    contacted: HashSet<usize>,
    /// Requests refused since the last attempt.
    refusals: Option<Refusals>,
}

/// Requests that a pooler has refused in a row.
#[derive(Clone, Copy)]
struct Refusals {
    first_at: f64,
    requests: usize,
}

/// Identifies a connection to discovery: the pooler, its incarnation and the connection's id there.
type ConnectionKey = (usize, u32, ConnectionId);

/// State of a connection to discovery.
#[derive(Clone, Copy, Default)]
struct DiscoveryConnection {
    answered: bool,
    silent: bool,
}

struct PendingRequest {
    pooler: usize,
    class: usize,
    id: RequestId,
    attempts: usize,
    /// Attempts in flight, by their number.
    in_flight: BTreeMap<usize, Attempt>,
    done: bool,
}

struct Attempt {
    member: usize,
    sent_at: f64,
    outcome: Outcome,
    reached: bool,
}

/// The simulated fleet.
pub struct World {
    config: WorldConfig,
    now: f64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: HashMap<u64, Step>,
    poolers: Vec<Pooler>,
    /// All members that ever existed, in the order in which they joined.
    pub members: Vec<Member>,
    member_index: HashMap<MemberId, usize>,
    requests: HashMap<u64, PendingRequest>,
    request_numbers: HashMap<RequestId, u64>,
    next_request: u64,
    isolated_zones: HashSet<u32>,
    discovery_free_at: f64,
    discovery_down: bool,
    /// Discovery accepts list requests and does not answer them.
    discovery_hangs: bool,
    /// When discovery last became reachable again.
    discovery_back_at: f64,
    arrival_random: fastrand::Rng,
    work_random: fastrand::Rng,
    delay_random: fastrand::Rng,
    trace: DefaultHasher,
    result: RunResult,
}

/// A random stream with its own seed, derived from the name: more draws from one stream do not change the
/// others.
fn random_stream(seed: u64, name: &str) -> fastrand::Rng {
    let mut hasher = DefaultHasher::new();
    (seed, name).hash(&mut hasher);
    fastrand::Rng::with_seed(hasher.finish())
}

impl World {
    /// Starts all poolers at second 100 with the current list as their saved list.
    pub fn new(config: WorldConfig) -> World {
        let mut world = World {
            now: 100.0,
            sequence: 0,
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            poolers: Vec::new(),
            members: Vec::new(),
            member_index: HashMap::new(),
            requests: HashMap::new(),
            request_numbers: HashMap::new(),
            next_request: 0,
            isolated_zones: HashSet::new(),
            discovery_free_at: 0.0,
            discovery_down: false,
            discovery_hangs: false,
            discovery_back_at: 0.0,
            arrival_random: random_stream(config.seed, "arrivals"),
            work_random: random_stream(config.seed, "work"),
            delay_random: random_stream(config.seed, "delays"),
            trace: DefaultHasher::new(),
            result: RunResult::default(),
            config,
        };
        for group in 0..world.config.groups {
            for index in 0..=world.config.replicas {
                world.add_member((group + index) % world.config.zones, group, index == 0, 0.0);
            }
        }
        for n in 0..world.config.poolers {
            let pooler = world.new_pooler(n, 0);
            world.poolers.push(pooler);
            world.start_pooler(n);
        }
        world.schedule(world.now, Step::Arrival);
        world
    }

    fn add_member(&mut self, zone: u32, group: u32, primary: bool, started: f64) {
        let name: MemberId = format!("m{}", self.members.len()).into();
        self.member_index.insert(name.clone(), self.members.len());
        self.members.push(Member::new(name, (zone, group), primary, started));
    }

    fn new_pooler(&self, n: usize, incarnation: u32) -> Pooler {
        let zone = n as u32 % self.config.zones;
        let settings = Settings { zone, ..self.config.settings.clone() };
        let seed = random_stream(self.config.seed, &format!("pooler {n} {incarnation}")).u64(..);
        let policy = Policy::new(settings, seed).expect("the settings are in range");
        let follower = Follower::new(false, 0);
        Pooler {
            policy,
            incarnation,
            zone,
            follower,
            connections: BTreeMap::new(),
            silent_since: None,
            last_change_at: 0.0,
            drain_notices: HashMap::new(),
            contacted: HashSet::new(),
            refusals: None,
        }
    }

    fn start_pooler(&mut self, n: usize) {
        let entries = self.list_entries();
        self.handle_event(n, Event::Members { kind: ListKind::Saved, entries });
    }

    fn list_entries(&self) -> Vec<Entry> {
        self.members.iter().filter(|m| m.phase != Phase::Left).map(Member::entry).collect()
    }

    fn schedule(&mut self, at: f64, step: Step) {
        self.sequence += 1;
        self.queue.push(Reverse(((at.max(self.now) * 1e9) as u64, self.sequence)));
        self.scheduled.insert(self.sequence, step);
    }

    /// Schedules a fault at a time relative to the start (seconds).
    pub fn schedule_fault(&mut self, after: f64, fault: Fault) {
        self.schedule(100.0 + after, Step::Fault(fault));
    }

    /// Runs until the given time after the start (seconds) and returns the result so far.
    pub fn run(&mut self, until: f64) -> RunResult {
        let end = ((100.0 + until) * 1e9) as u64;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied().filter(|step| step.0 .0 <= end) {
            self.queue.pop();
            self.now = at as f64 / 1e9;
            if let Some(step) = self.scheduled.remove(&sequence) {
                self.run_step(step);
            }
        }
        RunResult { trace: self.trace.finish(), ..self.result.clone() }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.generate_request(),
            Step::Timer(n, incarnation, cookie) if self.poolers[n].incarnation == incarnation => {
                self.handle_event(n, Event::Timer { cookie });
            }
            Step::PolicyEvent(n, incarnation, event) if self.poolers[n].incarnation == incarnation => {
                self.handle_event(n, event)
            }
            Step::AttemptEnded(request, attempt) => self.end_attempt(request, attempt, None),
            Step::Timer(..) | Step::PolicyEvent(..) => {}
            Step::FollowerTimer(n, incarnation) if self.poolers[n].incarnation == incarnation => {
                self.with_follower(n, |follower, now, out| follower.on_timer(now, out));
            }
            Step::FollowerTimer(..) => {}
            Step::ListAnswered(key) => self.answer_list_request(key),
            Step::ListRequestFailed(key) if self.delivers(key) => {
                self.with_follower(key.0, |follower, now, out| {
                    follower.connection_failed(key.2, now, "request refused", out)
                });
            }
            Step::EmptyLine(key) if self.delivers(key) => {
                self.with_follower(key.0, |follower, now, out| follower.empty_line_received(key.2, now, out));
                self.schedule(self.now + EMPTY_LINE_INTERVAL, Step::EmptyLine(key));
            }
            Step::ListChange(key, entry) if self.delivers(key) => {
                self.deliver_update(key, ListKind::Incremental, vec![entry]);
            }
            Step::ListRequestFailed(_) | Step::EmptyLine(_) | Step::ListChange(..) => {}
            Step::AnswerDeadline(request) => {
                if self.requests.get(&request).is_some_and(|r| !r.done) {
                    self.breach(format!("request {request} has no final answer"));
                }
                self.remove_request(request);
            }
            Step::Fault(fault) => self.apply_fault(fault),
        }
    }

    fn breach(&mut self, what: String) {
        if self.result.breaches.len() < MAX_BREACHES {
            self.result.breaches.push(format!("{:.3}: {what}", self.now - 100.0));
        }
    }

    fn generate_request(&mut self) {
        let rng = &mut self.arrival_random;
        let wait = -(1.0 - rng.f64()).ln() / self.config.requests_per_s;
        // Squaring the sample skews the load: a fifth of the poolers get nearly half of the requests, as with
        // sessions.
        let n = (rng.f64().powi(2) * self.poolers.len() as f64) as usize % self.poolers.len();
        let group = rng.u32(..self.config.groups);
        let class = rng.usize(..self.config.settings.classes.len());
        self.schedule(self.now + wait, Step::Arrival);
        let deadline = self.config.settings.classes[class].deadline;
        let request = self.next_request;
        self.next_request += 1;
        let id: RequestId = Arc::from(format!("r{request}").as_str());
        self.request_numbers.insert(id.clone(), request);
        let (attempts, in_flight, done) = (0, BTreeMap::new(), false);
        self.requests
            .insert(request, PendingRequest { pooler: n, class, id: id.clone(), attempts, in_flight, done });
        self.result.requests += 1;
        self.schedule(self.now + deadline + ANSWER_GRACE, Step::AnswerDeadline(request));
        let Event::Arrival(arrival) = Event::arrival(&id, class, group, deadline) else { return };
        let session = Some(Arc::from(format!("s{}", request % 997).as_str()));
        self.handle_event(n, Event::Arrival(Arrival { session, ..arrival }));
    }

    fn handle_event(&mut self, n: usize, event: Event) {
        if let Event::Members { kind, entries } = &event {
            // A full list tells the pooler which members have left: those that it does not name.
            let removed = self.members.iter().filter(|m| *kind == ListKind::Full && m.phase == Phase::Left);
            for name in removed.map(|m| m.name.clone()) {
                self.poolers[n].drain_notices.entry(name).or_insert(self.now);
            }
            for entry in entries {
                let notices = &mut self.poolers[n].drain_notices;
                if entry.phase == Phase::Active {
                    notices.remove(&entry.member);
                } else {
                    let at = notices.entry(entry.member.clone()).or_insert(self.now);
                    *at = at.min(self.now);
                }
            }
        }
        let mut actions = Vec::new();
        let pooler = &mut self.poolers[n];
        pooler.policy.handle(self.now, event, &mut actions);
        let incarnation = pooler.incarnation;
        for action in actions {
            (n, format!("{action:?}")).hash(&mut self.trace);
            self.perform(n, incarnation, action);
        }
    }

    fn perform(&mut self, n: usize, incarnation: u32, action: Action) {
        match action {
            Action::Timer { at, cookie } => self.schedule(at, Step::Timer(n, incarnation, cookie)),
            Action::Send { id, member, timeout } => self.send_attempt(n, &id, &member, timeout),
            Action::Probe { member } => self.send_probe(n, incarnation, member),
            Action::Refuse { id, .. } => {
                self.record_refusal(n);
                self.result.refused += usize::from(self.mark_done(&id));
            }
            Action::Fail { id } => {
                self.result.failed += usize::from(self.mark_done(&id));
            }
            Action::Cancel { id, attempt } => {
                if let Some(&request) = self.request_numbers.get(&id) {
                    self.end_attempt(request, attempt, Some(Outcome::Cancelled));
                }
            }
            Action::Subscribe => {
                self.with_follower(n, |follower, now, out| follower.send_list_request(now, out))
            }
            _ => {}
        }
    }

    /// Records a refused request, and the pooler once it counts as serving nobody.
    fn record_refusal(&mut self, n: usize) {
        let first_refusal = Refusals { first_at: self.now, requests: 0 };
        let refusals = self.poolers[n].refusals.get_or_insert(first_refusal);
        refusals.requests += 1;
        let long_enough = self.now - refusals.first_at >= SERVES_NOBODY_MIN_TIME;
        if long_enough && refusals.requests >= SERVES_NOBODY_MIN_REQUESTS {
            self.result.poolers_serving_nobody.insert(n);
        }
    }

    fn mark_done(&mut self, id: &RequestId) -> bool {
        let request = self.request_numbers.get(id).and_then(|request| self.requests.get_mut(request));
        request.is_some_and(|r| !std::mem::replace(&mut r.done, true))
    }

    fn is_cut_off(&self, zone: u32, m: usize) -> bool {
        let member_zone = self.members[m].zone;
        zone != member_zone
            && (self.isolated_zones.contains(&zone) || self.isolated_zones.contains(&member_zone))
    }

    fn record_contact(&mut self, n: usize, m: usize, what: &str) {
        let pooler = &mut self.poolers[n];
        self.result.pooler_member_pairs += usize::from(pooler.contacted.insert(m));
        let noticed_at = pooler.drain_notices.get(&self.members[m].name).copied();
        if noticed_at.is_some_and(|at| self.now > at + DRAIN_GRACE) {
            let late = noticed_at.map_or(0.0, |at| self.now - at);
            self.breach(format!(
                "{what} of pooler {n} to {} {late:.2} s after its drain counted as known",
                self.members[m].name
            ));
        }
    }

    fn send_attempt(&mut self, n: usize, id: &RequestId, member: &MemberId, timeout: f64) {
        let (Some(&request), Some(&m)) = (self.request_numbers.get(id), self.member_index.get(member)) else {
            return;
        };
        self.record_contact(n, m, "a request");
        self.poolers[n].refusals = None;
        self.result.sent += 1;
        let zone = self.poolers[n].zone;
        let (cut_off, settings) = (self.is_cut_off(zone, m), &self.config.settings);
        let Some(pending) = self.requests.get_mut(&request) else { return };
        let attempt = pending.attempts;
        pending.attempts += 1;
        let class = &settings.classes[pending.class];
        let target = &mut self.members[m];
        let (mut reached, mut too_stale) = (false, false);
        let (after, outcome) = if cut_off {
            (settings.connect_timeout, Outcome::ConnectFailed)
        } else if !target.up {
            (2.0 * ONE_WAY_LATENCY, Outcome::ConnectFailed)
        } else if matches!(class.consistency, Consistency::Write | Consistency::Fresh) && !target.primary {
            (2.0 * ONE_WAY_LATENCY, Outcome::Miss)
        } else {
            reached = true;
            target.in_flight += 1;
            let parallel_capacity =
                self.config.capacity * target.capacity_share(self.now, settings) * self.config.service_time;
            let slowdown = (target.in_flight as f64 / parallel_capacity).max(1.0);
            let duration = -(1.0 - self.work_random.f64()).ln() * self.config.service_time * slowdown;
            let staleness_bound = if let Consistency::Bounded(staleness_bound) = class.consistency {
                staleness_bound
            } else {
                f64::INFINITY
            };
            too_stale = target.position(self.now) < self.now - staleness_bound;
            (duration + 2.0 * ONE_WAY_LATENCY, Outcome::Ok)
        };
        let overloaded = reached && target.exceeds_cold_limit(self.now, self.config.capacity, settings);
        let (after, outcome) = if after > timeout { (timeout, Outcome::Timeout) } else { (after, outcome) };
        pending.in_flight.insert(attempt, Attempt { member: m, sent_at: self.now, outcome, reached });
        if attempt >= settings.max_attempts as usize {
            self.breach(format!("request {request} was sent more often than max_attempts"));
        }
        if too_stale {
            self.breach(format!("{member} is further behind than the staleness bound of a read"));
        }
        if overloaded {
            self.breach(format!("{member} is cold and got more requests than its limit"));
        }
        self.schedule(self.now + after, Step::AttemptEnded(request, attempt));
    }

    /// Ends an attempt with the `reported` outcome, or with the outcome drawn when it was sent.
    fn end_attempt(&mut self, request: u64, attempt: usize, reported: Option<Outcome>) {
        let Some(pending) = self.requests.get_mut(&request) else { return };
        let Some(ended) = pending.in_flight.remove(&attempt) else { return };
        let (pooler, id) = (pending.pooler, pending.id.clone());
        let mut outcome = reported.unwrap_or(ended.outcome);
        let member = &mut self.members[ended.member];
        if ended.reached {
            member.in_flight = member.in_flight.saturating_sub(1);
            if outcome == Outcome::Ok && !member.up {
                outcome = Outcome::Reset;
            }
        }
        let succeeded = outcome == Outcome::Ok;
        let finished = succeeded && !pending.done;
        pending.done |= succeeded;
        self.result.served += usize::from(finished);
        let report = matches!(outcome, Outcome::Ok | Outcome::Miss).then(|| member.report(self.now));
        let event = Event::AttemptEnded(AttemptEnded {
            id,
            member: member.name.clone(),
            attempt,
            outcome,
            conclusion: Conclusion::AsReceived,
            finished,
            elapsed: self.now - ended.sent_at,
            position: report.as_ref().and_then(|r| r.position),
            primary: report.as_ref().and_then(|r| r.primary),
            report: Report::default(),
        });
        let incarnation = self.poolers[pooler].incarnation;
        self.schedule(self.now, Step::PolicyEvent(pooler, incarnation, event));
    }

    fn remove_request(&mut self, request: u64) {
        let Some(pending) = self.requests.remove(&request) else { return };
        self.request_numbers.remove(&pending.id);
        for ended in pending.in_flight.values().filter(|attempt| attempt.reached) {
            let member = &mut self.members[ended.member];
            member.in_flight = member.in_flight.saturating_sub(1);
        }
    }

    fn send_probe(&mut self, n: usize, incarnation: u32, member: MemberId) {
        let Some(&m) = self.member_index.get(&member) else { return };
        self.result.probes += 1;
        self.record_contact(n, m, "a probe");
        let up = self.members[m].up;
        let cut_off = self.is_cut_off(self.poolers[n].zone, m);
        let (after, outcome) = match (cut_off, up) {
            (true, _) => (self.config.settings.connect_timeout, Outcome::ConnectFailed),
            (_, false) => (2.0 * ONE_WAY_LATENCY, Outcome::ConnectFailed),
            _ => (4.0 * ONE_WAY_LATENCY, Outcome::Ok),
        };
        let succeeded = outcome == Outcome::Ok;
        let report = if succeeded { self.members[m].report(self.now) } else { Report::default() };
        self.schedule(
            self.now + after,
            Step::PolicyEvent(n, incarnation, Event::ProbeEnded { member, outcome, report }),
        );
    }

    /// Calls a pooler's follower and carries out the steps that it returns.
    fn with_follower(&mut self, n: usize, call: impl FnOnce(&mut Follower, f64, &mut Vec<follow::Step>)) {
        let mut steps = Vec::new();
        call(&mut self.poolers[n].follower, self.now, &mut steps);
        let incarnation = self.poolers[n].incarnation;
        for step in steps {
            let kind = match step {
                follow::Step::Open(id, _) => {
                    self.receive_list_request(n, id);
                    continue;
                }
                follow::Step::Close(id) => {
                    self.poolers[n].connections.remove(&id);
                    continue;
                }
                follow::Step::Timer(at) => {
                    self.schedule(at, Step::FollowerTimer(n, incarnation));
                    continue;
                }
                follow::Step::Unchanged => ListKind::Incremental,
                follow::Step::Failed(_) => ListKind::Failed,
                follow::Step::Silent(_) => ListKind::Silent,
            };
            self.handle_event(n, Event::Members { kind, entries: Vec::new() });
        }
    }

    /// Discovery answers list requests one after another. A request that waits too long fails and still uses
    /// its time.
    fn receive_list_request(&mut self, n: usize, id: ConnectionId) {
        self.result.list_requests += 1;
        let connection = DiscoveryConnection { answered: false, silent: self.discovery_hangs };
        let pooler = &mut self.poolers[n];
        pooler.connections.insert(id, connection);
        let key = (n, pooler.incarnation, id);
        if self.discovery_hangs {
            pooler.silent_since.get_or_insert(self.now);
        } else if self.discovery_down {
            self.schedule(self.now + 2.0 * ONE_WAY_LATENCY, Step::ListRequestFailed(key));
        } else {
            self.discovery_free_at = self.discovery_free_at.max(self.now) + self.config.list_request_time;
            if self.discovery_free_at - self.now <= LIST_REQUEST_TIMEOUT {
                self.schedule(self.discovery_free_at, Step::ListAnswered(key));
            } else {
                self.schedule(self.now + LIST_REQUEST_TIMEOUT, Step::ListRequestFailed(key));
            }
        }
    }

    /// Returns true if data that discovery writes on the connection arrives.
    fn delivers(&self, (n, incarnation, id): ConnectionKey) -> bool {
        let pooler = &self.poolers[n];
        pooler.incarnation == incarnation
            && pooler.connections.get(&id).is_some_and(|connection| !connection.silent)
    }

    /// Answers a list request with the current list.
    fn answer_list_request(&mut self, key: ConnectionKey) {
        if self.delivers(key) {
            let pooler = &mut self.poolers[key.0];
            pooler.silent_since = None;
            pooler.connections.insert(key.2, DiscoveryConnection { answered: true, silent: false });
            self.schedule(self.now + EMPTY_LINE_INTERVAL, Step::EmptyLine(key));
            let entries = self.list_entries();
            self.deliver_update(key, ListKind::Full, entries);
        }
    }

    fn deliver_update(&mut self, (n, _, id): ConnectionKey, kind: ListKind, entries: Vec<Entry>) {
        let mut apply = false;
        self.with_follower(n, |follower, now, out| apply = follower.update_received(id, now, 0, out));
        if apply {
            self.handle_event(n, Event::Members { kind, entries });
        }
    }

    /// Sends a member's changed entry to all poolers with an open watch. For a pooler without one, a drain
    /// counts as known only later.
    fn announce_change(&mut self, m: usize) {
        let entry = self.members[m].entry();
        for n in 0..self.poolers.len() {
            let arrives_at = self.now + self.config.list_delay * self.delay_random.f64();
            let pooler = &mut self.poolers[n];
            let open =
                pooler.connections.iter().filter(|(_, connection)| connection.answered && !connection.silent);
            let open: Vec<ConnectionId> = open.map(|(id, _)| *id).collect();
            if open.is_empty() && entry.phase != Phase::Active {
                let after_return = self.now.max(self.discovery_back_at) + MAX_NOTICE_DELAY;
                let noticed_at = match pooler.silent_since {
                    // Not before discovery is reachable again: see `discovery_returned`.
                    _ if self.discovery_down || self.discovery_hangs => f64::INFINITY,
                    Some(at) => self.now.max(at + MAX_NOTICE_DELAY),
                    None => after_return,
                };
                pooler.drain_notices.entry(entry.member.clone()).or_insert(noticed_at);
            }
            if let Some(&id) = open.last() {
                pooler.last_change_at = pooler.last_change_at.max(arrives_at);
                let (arrives_at, incarnation) = (pooler.last_change_at, pooler.incarnation);
                self.schedule(arrives_at, Step::ListChange((n, incarnation, id), entry.clone()));
            }
        }
    }

    /// Discovery is reachable again: sets when the drains announced meanwhile count as known.
    fn discovery_returned(&mut self) {
        self.discovery_back_at = self.now;
        for pooler in &mut self.poolers {
            let noticed_at = match pooler.silent_since {
                Some(at) if at + SHORT_SILENCE >= self.now => at + MAX_NOTICE_DELAY,
                _ => self.now + MAX_NOTICE_DELAY,
            };
            pooler
                .drain_notices
                .values_mut()
                .filter(|at| **at == f64::INFINITY)
                .for_each(|at| *at = noticed_at);
        }
    }

    /// Resets all connections to discovery. Drains whose change was on its way still count as known later.
    fn reset_discovery_connections(&mut self) {
        let noticed_at = if self.discovery_down { f64::INFINITY } else { self.now + MAX_NOTICE_DELAY };
        let leaving: Vec<MemberId> =
            self.members.iter().filter(|m| m.phase != Phase::Active).map(|m| m.name.clone()).collect();
        for pooler in &mut self.poolers {
            for name in &leaving {
                pooler.drain_notices.entry(name.clone()).or_insert(noticed_at);
            }
        }

        for n in 0..self.poolers.len() {
            let connections: Vec<ConnectionId> = self.poolers[n].connections.keys().copied().collect();
            for id in connections {
                self.with_follower(n, |follower, now, out| {
                    follower.connection_failed(id, now, "connection reset", out)
                });
            }
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::RestartPooler(n) => {
                let incarnation = self.poolers[n].incarnation + 1;
                self.poolers[n] = self.new_pooler(n, incarnation);
                // Requests pending at the killed pooler are dropped: their clients have to repeat them.
                let mut unfinished: Vec<u64> =
                    self.requests.iter().filter(|(_, r)| r.pooler == n).map(|(k, _)| *k).collect();
                unfinished.sort_unstable();
                unfinished.into_iter().for_each(|request| self.remove_request(request));
                self.start_pooler(n);
            }
            Fault::DrainMember(m) => {
                self.members[m].phase = Phase::Leaving;
                self.announce_change(m);
            }
            Fault::StopMember(m) => {
                let member = &mut self.members[m];
                (member.up, member.phase) = (false, Phase::Left);
                if std::mem::replace(&mut member.primary, false) {
                    let group = member.group;
                    if let Some(next) = self.members.iter_mut().find(|x| x.group == group && x.up) {
                        next.primary = true;
                    }
                }
                self.announce_change(m);
            }
            Fault::ReplaceMember(m) => {
                let (zone, group) = (self.members[m].zone, self.members[m].group);
                self.add_member(zone, group, false, self.now);
                self.announce_change(self.members.len() - 1);
            }
            Fault::RestartMember(m) => {
                let now = self.now;
                let member = &mut self.members[m];
                (member.up, member.phase, member.started_at) = (true, Phase::Active, now);
                self.announce_change(m);
            }
            Fault::SilenceDiscoveryConnections => {
                for pooler in self.poolers.iter_mut().filter(|pooler| !pooler.connections.is_empty()) {
                    pooler.silent_since.get_or_insert(self.now);
                    pooler.connections.values_mut().for_each(|connection| connection.silent = true);
                }
            }
            Fault::ResetDiscoveryConnections => self.reset_discovery_connections(),
            Fault::DiscoveryDown(down) => {
                self.discovery_down = down;
                if down {
                    self.reset_discovery_connections();
                } else {
                    self.discovery_returned();
                }
            }
            Fault::DiscoveryHangs(hangs) => {
                self.discovery_hangs = hangs;
                if !hangs {
                    self.discovery_returned();
                }
            }
            Fault::FreezeReplica(m, on) => self.members[m].frozen_since = on.then_some(self.now),
            Fault::IsolateZone(zone, true) => drop(self.isolated_zones.insert(zone)),
            Fault::IsolateZone(zone, false) => drop(self.isolated_zones.remove(&zone)),
        }
    }
}
