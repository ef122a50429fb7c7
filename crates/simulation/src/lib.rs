//! Many poolers and db machines in one process on one virtual clock: the decision module itself, a model of the machines, of
//! discovery and of the network, and a schedule of troubles. The same seed gives the same run to the last event.
//! What the rules forbid is looked for from the machines' side and kept in [`RunResult::breaches`].

#![warn(missing_docs)]

pub mod fault_scenario;
pub mod instances;
mod machine;

use std::cmp::Reverse;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use listing::follow::{self, ConnectionId, Follower};
pub use machine::Member;
use routing::interface::*;
use routing::Policy;

/// One way over the network (seconds).
const WAY: f64 = 0.000_5;
/// How long a call for the list may wait in line, and how often a watch brings an empty line (seconds).
const CALL_PATIENCE: f64 = 2.0;
const BEAT: f64 = 2.0;
/// What a silent watch misses counts as told so long after it fell silent (seconds), and what discovery has, whatever became of
/// the calls for it, so long after it could be reached again.
const SILENCE_COUNTS: f64 = 6.0;
/// A silence that has lasted for so long when discovery answers again (seconds) counts by that return.
const OUTLASTED: f64 = 2.0;
/// How long after a drain was told something new may still go there, and an answer after its time (seconds).
const GRACE: f64 = 0.25;
const SLACK: f64 = 0.05;
/// A pooler serves nobody once it has turned away all that it got, so many requests at the least, for so long (seconds) with
/// no attempt in between.
const SERVES_NOBODY_REQUESTS: usize = 15;
const SERVES_NOBODY_FOR: f64 = 4.0;
/// Breaches that are kept: more of them say nothing new.
const BREACHES: usize = 100;

/// What is simulated.
pub struct WorldConfig {
    /// Seed of all streams of random numbers.
    pub seed: u64,
    /// Poolers.
    pub poolers: usize,
    /// Zones; poolers and machines are spread over them in turn.
    pub zones: u32,
    /// Groups, each with one primary.
    pub groups: u32,
    /// Replicas of each group.
    pub replicas: u32,
    /// Requests a second over all poolers, unevenly: a fifth of them get over half.
    pub requests_per_s: f64,
    /// What a request takes at a machine with nothing else to do (seconds, mean).
    pub service_time: f64,
    /// Requests a second that a warm machine can do.
    pub capacity: f64,
    /// How late a change of the list comes (seconds, at the most).
    pub list_delay: f64,
    /// Time that discovery needs for a call (seconds); it answers them in turn.
    pub list_request_time: f64,
    /// The settings of each pooler; its zone is set here.
    pub settings: Settings,
}

/// What happens to whom.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A pooler's process is killed and starts again from nothing.
    RestartPooler(usize),
    /// A machine is told to drain.
    DrainMember(usize),
    /// A machine's process ends; its group's first other machine that runs is primary after it.
    StopMember(usize),
    /// A new machine takes the place of one: same group and zone, cold.
    ReplaceMember(usize),
    /// A machine that ended starts again under its name, cold.
    RestartMember(usize),
    /// A zone is cut off from all others, or no longer.
    IsolateZone(u32, bool),
    /// A replica's copy stands still, or goes on.
    FreezeReplica(usize, bool),
    /// All connections to discovery that are open now fall silent without closing.
    SilenceDiscoveryConnections,
    /// All connections to discovery break.
    ResetDiscoveryConnections,
    /// Discovery goes down, which ends all connections to it and turns calls down, or comes back.
    DiscoveryDown(bool),
    /// Discovery takes calls and never answers them, or does again.
    DiscoveryHangs(bool),
}

/// What was seen of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunResult {
    /// Requests that came. Those that a killed pooler had in hand are in none of the next three.
    pub requests: usize,
    /// Answered by a machine in time.
    pub served: usize,
    /// Refused.
    pub refused: usize,
    /// Answered with an error.
    pub failed: usize,
    /// Attempts sent.
    pub sent: usize,
    /// Probes sent.
    pub probes: usize,
    /// Calls for the list.
    pub list_requests: usize,
    /// Pairs of a pooler's life and a machine that it had to do with: connections at the least.
    pub pooler_member_pairs: usize,
    /// Poolers that served nobody for 4 s: turned away all that they got, 15 requests at the least, with no attempt.
    pub poolers_serving_nobody: BTreeSet<usize>,
    /// Where a rule was broken, at most a hundred.
    pub breaches: Vec<String>,
    /// Of every action, in order: equal for equal runs.
    pub trace: u64,
}

enum Step {
    Ask,
    Timer(usize, u32, u64),
    Told(usize, u32, Event),
    Ended(u64, usize),
    /// A pooler's follower looks after its connections to discovery.
    Look(usize, u32),
    /// On a connection to discovery: the call is answered, or turned down, an empty line is due, a change comes.
    Listed(Place),
    TurnedDown(Place),
    Beat(Place),
    Changed(Place, Entry),
    Late(u64),
    Trouble(Fault),
}

struct Pooler {
    policy: Policy,
    life: u32,
    zone: u32,
    follower: Follower,
    /// Its connections to discovery.
    lines: BTreeMap<ConnectionId, Wire>,
    /// Since when a connection has been silent, with no answer since.
    hushed: Option<f64>,
    /// When the last change that is on its way to it arrives: a watch keeps its order.
    news: f64,
    /// Machines that it was told to leave alone, and when that counts from.
    told: HashMap<MemberId, f64>,
    met: HashSet<usize>,
    /// What it has turned away since its last attempt.
    turned_away: Option<TurnedAway>,
}

/// Requests that were turned away one after another.
#[derive(Clone, Copy)]
struct TurnedAway {
    first: f64,
    requests: usize,
}

/// A connection to discovery: the pooler, its life and the number there.
type Place = (usize, u32, ConnectionId);

/// How it is with one.
#[derive(Clone, Copy, Default)]
struct Wire {
    answered: bool,
    hushed: bool,
}

struct Asked {
    pooler: usize,
    class: usize,
    id: RequestId,
    attempts: usize,
    /// Attempts that are out, by their number.
    out: BTreeMap<usize, Out>,
    done: bool,
}

struct Out {
    machine: usize,
    sent: f64,
    outcome: Outcome,
    reached: bool,
}

/// A run.
pub struct World {
    shape: WorldConfig,
    now: f64,
    order: u64,
    steps: BinaryHeap<Reverse<(u64, u64)>>,
    due: HashMap<u64, Step>,
    poolers: Vec<Pooler>,
    /// All machines that there ever were, by the order of their coming.
    pub members: Vec<Member>,
    names: HashMap<MemberId, usize>,
    requests: HashMap<u64, Asked>,
    numbers: HashMap<RequestId, u64>,
    next: u64,
    cut: HashSet<u32>,
    discovery_free: f64,
    /// Discovery is down, or takes calls and never answers; when it last came back.
    down: bool,
    hangs: bool,
    back: f64,
    arrivals: fastrand::Rng,
    work: fastrand::Rng,
    delays: fastrand::Rng,
    trace: DefaultHasher,
    seen: RunResult,
}

/// A stream of random numbers by its name, so that a change in one leaves the others as they were.
fn stream(seed: u64, name: &str) -> fastrand::Rng {
    let mut hasher = DefaultHasher::new();
    (seed, name).hash(&mut hasher);
    fastrand::Rng::with_seed(hasher.finish())
}

impl World {
    /// All poolers start at second 100 with the list as it is.
    pub fn new(shape: WorldConfig) -> World {
        let mut world = World {
            now: 100.0,
            order: 0,
            steps: BinaryHeap::new(),
            due: HashMap::new(),
            poolers: Vec::new(),
            members: Vec::new(),
            names: HashMap::new(),
            requests: HashMap::new(),
            numbers: HashMap::new(),
            next: 0,
            cut: HashSet::new(),
            discovery_free: 0.0,
            down: false,
            hangs: false,
            back: 0.0,
            arrivals: stream(shape.seed, "arrivals"),
            work: stream(shape.seed, "work"),
            delays: stream(shape.seed, "delays"),
            trace: DefaultHasher::new(),
            seen: RunResult::default(),
            shape,
        };
        for group in 0..world.shape.groups {
            for place in 0..=world.shape.replicas {
                world.add((group + place) % world.shape.zones, group, place == 0, 0.0);
            }
        }
        for n in 0..world.shape.poolers {
            let pooler = world.pooler(n, 0);
            world.poolers.push(pooler);
            world.begin(n);
        }
        world.at(world.now, Step::Ask);
        world
    }

    fn add(&mut self, zone: u32, group: u32, primary: bool, started: f64) {
        let name: MemberId = format!("m{}", self.members.len()).into();
        self.names.insert(name.clone(), self.members.len());
        self.members.push(Member::new(name, (zone, group), primary, started));
    }

    fn pooler(&self, n: usize, life: u32) -> Pooler {
        let zone = n as u32 % self.shape.zones;
        let settings = Settings { zone, ..self.shape.settings.clone() };
        let seed = stream(self.shape.seed, &format!("pooler {n} {life}")).u64(..);
        let policy = Policy::new(settings, seed).expect("the shape's settings are in range");
        let follower = Follower::new(false, 0);
        Pooler {
            policy,
            life,
            zone,
            follower,
            lines: BTreeMap::new(),
            hushed: None,
            news: 0.0,
            told: HashMap::new(),
            met: HashSet::new(),
            turned_away: None,
        }
    }

    fn begin(&mut self, n: usize) {
        let entries = self.listed();
        self.feed(n, Event::Members { kind: ListKind::Saved, entries });
    }

    fn listed(&self) -> Vec<Entry> {
        self.members.iter().filter(|m| m.phase != Phase::Left).map(Member::entry).collect()
    }

    fn at(&mut self, at: f64, step: Step) {
        self.order += 1;
        self.steps.push(Reverse(((at.max(self.now) * 1e9) as u64, self.order)));
        self.due.insert(self.order, step);
    }

    /// Lets a trouble happen so many seconds after the start.
    pub fn schedule_fault(&mut self, after: f64, trouble: Fault) {
        self.at(100.0 + after, Step::Trouble(trouble));
    }

    /// Runs until so many seconds after the start; what was seen up to then.
    pub fn run(&mut self, until: f64) -> RunResult {
        let end = ((100.0 + until) * 1e9) as u64;
        while let Some(Reverse((at, order))) = self.steps.peek().copied().filter(|step| step.0 .0 <= end) {
            self.steps.pop();
            self.now = at as f64 / 1e9;
            if let Some(step) = self.due.remove(&order) {
                self.step(step);
            }
        }
        RunResult { trace: self.trace.finish(), ..self.seen.clone() }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask => self.ask(),
            Step::Timer(n, life, cookie) if self.poolers[n].life == life => {
                self.feed(n, Event::Timer { cookie });
            }
            Step::Told(n, life, event) if self.poolers[n].life == life => self.feed(n, event),
            Step::Ended(request, attempt) => self.ended(request, attempt, None),
            Step::Timer(..) | Step::Told(..) => {}
            Step::Look(n, life) if self.poolers[n].life == life => {
                self.follow(n, |follower, now, out| follower.on_timer(now, out));
            }
            Step::Look(..) => {}
            Step::Listed(place) => self.answered(place),
            Step::TurnedDown(place) if self.speaks(place) => {
                self.follow(place.0, |follower, now, out| {
                    follower.connection_failed(place.2, now, "turned down", out)
                });
            }
            Step::Beat(place) if self.speaks(place) => {
                self.follow(place.0, |follower, now, out| follower.empty_line_received(place.2, now, out));
                self.at(self.now + BEAT, Step::Beat(place));
            }
            Step::Changed(place, entry) if self.speaks(place) => {
                self.news(place, ListKind::Incremental, vec![entry]);
            }
            Step::TurnedDown(_) | Step::Beat(_) | Step::Changed(..) => {}
            Step::Late(request) => {
                if self.requests.get(&request).is_some_and(|r| !r.done) {
                    self.breach(format!("request {request} has no final answer"));
                }
                self.forget(request);
            }
            Step::Trouble(trouble) => self.befall(trouble),
        }
    }

    fn breach(&mut self, what: String) {
        if self.seen.breaches.len() < BREACHES {
            self.seen.breaches.push(format!("{:.3}: {what}", self.now - 100.0));
        }
    }

    fn ask(&mut self) {
        let rng = &mut self.arrivals;
        let wait = -(1.0 - rng.f64()).ln() / self.shape.requests_per_s;
        // The square of a draw: a fifth of the poolers get nearly half, as sessions do.
        let n = (rng.f64().powi(2) * self.poolers.len() as f64) as usize % self.poolers.len();
        let group = rng.u32(..self.shape.groups);
        let class = rng.usize(..self.shape.settings.classes.len());
        self.at(self.now + wait, Step::Ask);
        let deadline = self.shape.settings.classes[class].deadline;
        let request = self.next;
        self.next += 1;
        let id: RequestId = Arc::from(format!("r{request}").as_str());
        self.numbers.insert(id.clone(), request);
        let (attempts, out, done) = (0, BTreeMap::new(), false);
        self.requests.insert(request, Asked { pooler: n, class, id: id.clone(), attempts, out, done });
        self.seen.requests += 1;
        self.at(self.now + deadline + SLACK, Step::Late(request));
        let Event::Arrival(arrival) = Event::arrival(&id, class, group, deadline) else { return };
        let session = Some(Arc::from(format!("s{}", request % 997).as_str()));
        self.feed(n, Event::Arrival(Arrival { session, ..arrival }));
    }

    fn feed(&mut self, n: usize, event: Event) {
        if let Event::Members { kind, entries } = &event {
            // A whole list tells of what is not on it that it is gone.
            let gone = self.members.iter().filter(|m| *kind == ListKind::Full && m.phase == Phase::Left);
            for name in gone.map(|m| m.name.clone()) {
                self.poolers[n].told.entry(name).or_insert(self.now);
            }
            for entry in entries {
                let told = &mut self.poolers[n].told;
                if entry.phase == Phase::Active {
                    told.remove(&entry.member);
                } else {
                    let at = told.entry(entry.member.clone()).or_insert(self.now);
                    *at = at.min(self.now);
                }
            }
        }
        let mut actions = Vec::new();
        let pooler = &mut self.poolers[n];
        pooler.policy.handle(self.now, event, &mut actions);
        let life = pooler.life;
        for action in actions {
            (n, format!("{action:?}")).hash(&mut self.trace);
            self.act(n, life, action);
        }
    }

    fn act(&mut self, n: usize, life: u32, action: Action) {
        match action {
            Action::Timer { at, cookie } => self.at(at, Step::Timer(n, life, cookie)),
            Action::Send { id, member, timeout } => self.send(n, &id, &member, timeout),
            Action::Probe { member } => self.probe(n, life, member),
            Action::Refuse { id, .. } => {
                self.turned_away(n);
                self.seen.refused += usize::from(self.finish(&id));
            }
            Action::Fail { id } => {
                self.seen.failed += usize::from(self.finish(&id));
            }
            Action::Cancel { id, attempt } => {
                if let Some(&request) = self.numbers.get(&id) {
                    self.ended(request, attempt, Some(Outcome::Cancelled));
                }
            }
            Action::Subscribe => self.follow(n, |follower, now, out| follower.send_list_request(now, out)),
            _ => {}
        }
    }

    /// A pooler turns a request away.
    fn turned_away(&mut self, n: usize) {
        let fresh = TurnedAway { first: self.now, requests: 0 };
        let turned_away = self.poolers[n].turned_away.get_or_insert(fresh);
        turned_away.requests += 1;
        let long = self.now - turned_away.first >= SERVES_NOBODY_FOR;
        if long && turned_away.requests >= SERVES_NOBODY_REQUESTS {
            self.seen.poolers_serving_nobody.insert(n);
        }
    }

    fn finish(&mut self, id: &RequestId) -> bool {
        let request = self.numbers.get(id).and_then(|request| self.requests.get_mut(request));
        request.is_some_and(|r| !std::mem::replace(&mut r.done, true))
    }

    fn apart(&self, zone: u32, m: usize) -> bool {
        let other = self.members[m].zone;
        zone != other && (self.cut.contains(&zone) || self.cut.contains(&other))
    }

    fn meets(&mut self, n: usize, m: usize, what: &str) {
        let pooler = &mut self.poolers[n];
        self.seen.pooler_member_pairs += usize::from(pooler.met.insert(m));
        let told = pooler.told.get(&self.members[m].name).copied();
        if told.is_some_and(|at| self.now > at + GRACE) {
            let late = told.map_or(0.0, |at| self.now - at);
            self.breach(format!(
                "{what} of pooler {n} to {} {late:.2} s after its drain was told",
                self.members[m].name
            ));
        }
    }

    fn send(&mut self, n: usize, id: &RequestId, member: &MemberId, timeout: f64) {
        let (Some(&request), Some(&m)) = (self.numbers.get(id), self.names.get(member)) else { return };
        self.meets(n, m, "a request");
        self.poolers[n].turned_away = None;
        self.seen.sent += 1;
        let zone = self.poolers[n].zone;
        let (apart, settings) = (self.apart(zone, m), &self.shape.settings);
        let Some(asked) = self.requests.get_mut(&request) else { return };
        let attempt = asked.attempts;
        asked.attempts += 1;
        let class = &settings.classes[asked.class];
        let machine = &mut self.members[m];
        let (mut reached, mut stale) = (false, false);
        let (after, outcome) = if apart {
            (settings.connect_timeout, Outcome::ConnectFailed)
        } else if !machine.up {
            (2.0 * WAY, Outcome::ConnectFailed)
        } else if matches!(class.consistency, Consistency::Write | Consistency::Fresh) && !machine.primary {
            (2.0 * WAY, Outcome::Miss)
        } else {
            reached = true;
            machine.in_flight += 1;
            let able =
                self.shape.capacity * machine.capacity_share(self.now, settings) * self.shape.service_time;
            let crowd = (machine.in_flight as f64 / able).max(1.0);
            let took = -(1.0 - self.work.f64()).ln() * self.shape.service_time * crowd;
            let bound =
                if let Consistency::Bounded(bound) = class.consistency { bound } else { f64::INFINITY };
            stale = machine.position(self.now) < self.now - bound;
            (took + 2.0 * WAY, Outcome::Ok)
        };
        let tipped = reached && machine.exceeds_cold_limit(self.now, self.shape.capacity, settings);
        let (after, outcome) = if after > timeout { (timeout, Outcome::Timeout) } else { (after, outcome) };
        asked.out.insert(attempt, Out { machine: m, sent: self.now, outcome, reached });
        if attempt >= settings.max_attempts as usize {
            self.breach(format!("request {request} was sent more often than is allowed"));
        }
        if stale {
            self.breach(format!("{member} is too far behind for a read"));
        }
        if tipped {
            self.breach(format!("{member} is cold and got too much"));
        }
        self.at(self.now + after, Step::Ended(request, attempt));
    }

    /// An attempt is over, as it was going to or as it is `told`.
    fn ended(&mut self, request: u64, attempt: usize, told: Option<Outcome>) {
        let Some(asked) = self.requests.get_mut(&request) else { return };
        let Some(out) = asked.out.remove(&attempt) else { return };
        let (pooler, id) = (asked.pooler, asked.id.clone());
        let mut outcome = told.unwrap_or(out.outcome);
        let machine = &mut self.members[out.machine];
        if out.reached {
            machine.in_flight = machine.in_flight.saturating_sub(1);
            if outcome == Outcome::Ok && !machine.up {
                outcome = Outcome::Reset;
            }
        }
        let good = outcome == Outcome::Ok;
        let finished = good && !asked.done;
        asked.done |= good;
        self.seen.served += usize::from(finished);
        let heard = matches!(outcome, Outcome::Ok | Outcome::Miss).then(|| machine.report(self.now));
        let event = Event::AttemptEnded(AttemptEnded {
            id,
            member: machine.name.clone(),
            attempt,
            outcome,
            conclusion: Conclusion::AsReceived,
            finished,
            elapsed: self.now - out.sent,
            position: heard.as_ref().and_then(|r| r.position),
            primary: heard.as_ref().and_then(|r| r.primary),
            report: Report::default(),
        });
        let life = self.poolers[pooler].life;
        self.at(self.now, Step::Told(pooler, life, event));
    }

    fn forget(&mut self, request: u64) {
        let Some(asked) = self.requests.remove(&request) else { return };
        self.numbers.remove(&asked.id);
        for out in asked.out.values().filter(|out| out.reached) {
            let machine = &mut self.members[out.machine];
            machine.in_flight = machine.in_flight.saturating_sub(1);
        }
    }

    fn probe(&mut self, n: usize, life: u32, member: MemberId) {
        let Some(&m) = self.names.get(&member) else { return };
        self.seen.probes += 1;
        self.meets(n, m, "a probe");
        let up = self.members[m].up;
        let apart = self.apart(self.poolers[n].zone, m);
        let (after, outcome) = match (apart, up) {
            (true, _) => (self.shape.settings.connect_timeout, Outcome::ConnectFailed),
            (_, false) => (2.0 * WAY, Outcome::ConnectFailed),
            _ => (4.0 * WAY, Outcome::Ok),
        };
        let good = outcome == Outcome::Ok;
        let report = if good { self.members[m].report(self.now) } else { Report::default() };
        self.at(self.now + after, Step::Told(n, life, Event::ProbeEnded { member, outcome, report }));
    }

    /// Tells a pooler's follower of something and carries out what follows from it.
    fn follow(&mut self, n: usize, tell: impl FnOnce(&mut Follower, f64, &mut Vec<follow::Step>)) {
        let mut steps = Vec::new();
        tell(&mut self.poolers[n].follower, self.now, &mut steps);
        let life = self.poolers[n].life;
        for step in steps {
            let kind = match step {
                follow::Step::Open(line, _) => {
                    self.call(n, line);
                    continue;
                }
                follow::Step::Close(line) => {
                    self.poolers[n].lines.remove(&line);
                    continue;
                }
                follow::Step::Timer(at) => {
                    self.at(at, Step::Look(n, life));
                    continue;
                }
                follow::Step::Unchanged => ListKind::Incremental,
                follow::Step::Failed(_) => ListKind::Failed,
                follow::Step::Silent(_) => ListKind::Silent,
            };
            self.feed(n, Event::Members { kind, entries: Vec::new() });
        }
    }

    /// Discovery answers calls in turn; one that waits too long has failed and takes its time all the same.
    fn call(&mut self, n: usize, line: ConnectionId) {
        self.seen.list_requests += 1;
        let wire = Wire { answered: false, hushed: self.hangs };
        let pooler = &mut self.poolers[n];
        pooler.lines.insert(line, wire);
        let place = (n, pooler.life, line);
        if self.hangs {
            pooler.hushed.get_or_insert(self.now);
        } else if self.down {
            self.at(self.now + 2.0 * WAY, Step::TurnedDown(place));
        } else {
            self.discovery_free = self.discovery_free.max(self.now) + self.shape.list_request_time;
            if self.discovery_free - self.now <= CALL_PATIENCE {
                self.at(self.discovery_free, Step::Listed(place));
            } else {
                self.at(self.now + CALL_PATIENCE, Step::TurnedDown(place));
            }
        }
    }

    /// Whether what discovery writes on a connection arrives.
    fn speaks(&self, (n, life, line): Place) -> bool {
        let pooler = &self.poolers[n];
        pooler.life == life && pooler.lines.get(&line).is_some_and(|wire| !wire.hushed)
    }

    /// A call is answered, with the list as it is now.
    fn answered(&mut self, place: Place) {
        if self.speaks(place) {
            let pooler = &mut self.poolers[place.0];
            pooler.hushed = None;
            pooler.lines.insert(place.2, Wire { answered: true, hushed: false });
            self.at(self.now + BEAT, Step::Beat(place));
            let entries = self.listed();
            self.news(place, ListKind::Full, entries);
        }
    }

    fn news(&mut self, (n, _, line): Place, kind: ListKind, entries: Vec<Entry>) {
        let mut counts = false;
        self.follow(n, |follower, now, out| counts = follower.update_received(line, now, 0, out));
        if counts {
            self.feed(n, Event::Members { kind, entries });
        }
    }

    /// A change of a machine's line is on its way to those that follow the list. To those that hear nothing it counts
    /// as told later.
    fn list(&mut self, m: usize) {
        let entry = self.members[m].entry();
        for n in 0..self.poolers.len() {
            let late = self.now + self.shape.list_delay * self.delays.f64();
            let pooler = &mut self.poolers[n];
            let open = pooler.lines.iter().filter(|(_, wire)| wire.answered && !wire.hushed);
            let open: Vec<ConnectionId> = open.map(|(line, _)| *line).collect();
            if open.is_empty() && entry.phase != Phase::Active {
                let anew = self.now.max(self.back) + SILENCE_COUNTS;
                let counts = match pooler.hushed {
                    // Not before it can be reached: see `reachable`.
                    _ if self.down || self.hangs => f64::INFINITY,
                    Some(at) => self.now.max(at + SILENCE_COUNTS),
                    None => anew,
                };
                pooler.told.entry(entry.member.clone()).or_insert(counts);
            }
            if let Some(&line) = open.last() {
                pooler.news = pooler.news.max(late);
                let (news, life) = (pooler.news, pooler.life);
                self.at(news, Step::Changed((n, life, line), entry.clone()));
            }
        }
    }

    /// Discovery can be reached again: what it had to tell meanwhile counts from now on.
    fn reachable(&mut self) {
        self.back = self.now;
        for pooler in &mut self.poolers {
            let counts = match pooler.hushed {
                Some(at) if at + OUTLASTED >= self.now => at + SILENCE_COUNTS,
                _ => self.now + SILENCE_COUNTS,
            };
            pooler.told.values_mut().filter(|at| **at == f64::INFINITY).for_each(|at| *at = counts);
        }
    }

    /// Ends all connections to discovery. What was on its way over them counts as told all the same.
    fn part(&mut self) {
        let counts = if self.down { f64::INFINITY } else { self.now + SILENCE_COUNTS };
        let unlisted: Vec<MemberId> =
            self.members.iter().filter(|m| m.phase != Phase::Active).map(|m| m.name.clone()).collect();
        for pooler in &mut self.poolers {
            for name in &unlisted {
                pooler.told.entry(name.clone()).or_insert(counts);
            }
        }

        for n in 0..self.poolers.len() {
            let lines: Vec<ConnectionId> = self.poolers[n].lines.keys().copied().collect();
            for line in lines {
                self.follow(n, |follower, now, out| {
                    follower.connection_failed(line, now, "the connection broke", out)
                });
            }
        }
    }

    fn befall(&mut self, trouble: Fault) {
        match trouble {
            Fault::RestartPooler(n) => {
                let life = self.poolers[n].life + 1;
                self.poolers[n] = self.pooler(n, life);
                // What it had taken in is its clients' to repeat.
                let mut lost: Vec<u64> =
                    self.requests.iter().filter(|(_, r)| r.pooler == n).map(|(k, _)| *k).collect();
                lost.sort_unstable();
                lost.into_iter().for_each(|request| self.forget(request));
                self.begin(n);
            }
            Fault::DrainMember(m) => {
                self.members[m].phase = Phase::Leaving;
                self.list(m);
            }
            Fault::StopMember(m) => {
                let machine = &mut self.members[m];
                (machine.up, machine.phase) = (false, Phase::Left);
                if std::mem::replace(&mut machine.primary, false) {
                    let group = machine.group;
                    if let Some(next) = self.members.iter_mut().find(|x| x.group == group && x.up) {
                        next.primary = true;
                    }
                }
                self.list(m);
            }
            Fault::ReplaceMember(m) => {
                let (zone, group) = (self.members[m].zone, self.members[m].group);
                self.add(zone, group, false, self.now);
                self.list(self.members.len() - 1);
            }
            Fault::RestartMember(m) => {
                let now = self.now;
                let machine = &mut self.members[m];
                (machine.up, machine.phase, machine.started) = (true, Phase::Active, now);
                self.list(m);
            }
            Fault::SilenceDiscoveryConnections => {
                for pooler in self.poolers.iter_mut().filter(|pooler| !pooler.lines.is_empty()) {
                    pooler.hushed.get_or_insert(self.now);
                    pooler.lines.values_mut().for_each(|wire| wire.hushed = true);
                }
            }
            Fault::ResetDiscoveryConnections => self.part(),
            Fault::DiscoveryDown(down) => {
                self.down = down;
                if down {
                    self.part();
                } else {
                    self.reachable();
                }
            }
            Fault::DiscoveryHangs(hangs) => {
                self.hangs = hangs;
                if !hangs {
                    self.reachable();
                }
            }
            Fault::FreezeReplica(m, on) => self.members[m].frozen = on.then_some(self.now),
            Fault::IsolateZone(zone, true) => drop(self.cut.insert(zone)),
            Fault::IsolateZone(zone, false) => drop(self.cut.remove(&zone)),
        }
    }
}
