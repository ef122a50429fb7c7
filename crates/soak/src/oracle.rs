//! Checks the recorded events of a run against the rules. Each rule states the cases that it excuses because
//! they cannot be distinguished from outside of the poolers.

use std::collections::{BTreeMap, HashMap};

use crate::fleet::Fleet;
use crate::plan::{Consistency, Effect, Plan, OVERLOAD_WINDOW};
use crate::record::{Answer, Event, Id, Reply};

/// Added to all time limits, for the transport over sockets (seconds).
const SLACK: f64 = 0.05;
/// An answer counts as lost this long after the request's timeout (seconds).
const LOST_AFTER: f64 = 0.5;
/// A change of the list counts as known to all poolers once discovery has had it and been reachable for this
/// long (seconds). Also the limit for a start.
const NOTIFIED_AFTER: f64 = 6.0;
/// An attempt may still begin this long after the client has left (seconds).
const CLIENT_LEFT_SLACK: f64 = 0.1;
/// Slack of the deadline that is passed on to members (seconds).
const DEADLINE_SLACK: f64 = 0.15;
/// How long a pooler may be delayed between reading its clock and writing (seconds).
const WRITE_DELAY_SLACK: f64 = 0.15;
/// The position in an answer counts as known to the pooler this long after the client received the answer
/// (seconds).
const OBSERVED_AFTER: f64 = 0.1;
/// The connection of a client that sent a truncated message must end within this time (seconds).
const TRUNCATED_MESSAGE_LIMIT: f64 = 3.0;
const MAX_ATTEMPTS: usize = 6;
/// A connection that closed without an answer is excused if its pooler was killed up to this long after
/// (seconds).
const KILL_SLACK: f64 = 0.05;
/// Minimum share of requests that are served, whatever the faults: a pooler that refuses everything violates
/// no other rule.
const MIN_SERVED_SHARE: f64 = 0.2;

/// An attempt as the member received it. Times are in seconds of the run.
#[derive(Clone, Debug)]
struct Attempt {
    number: u64,
    member: usize,
    first_byte_at: f64,
    arrived_at: f64,
    timeout: f64,
    /// When the attempt was answered or its connection closed, and the answer if there was one.
    outcome: Option<(f64, Option<Reply>)>,
}

impl Attempt {
    fn did_not_run(&self) -> bool {
        matches!(self.outcome, Some((_, Some(Reply::Miss | Reply::Full))))
    }
}

/// A request. Times are in seconds of the run.
#[derive(Clone, Debug)]
struct Request {
    pooler: usize,
    class: usize,
    client: usize,
    sent_at: f64,
    timeout: f64,
    /// Whether its answer follows those of earlier requests on the connection.
    pipelined: bool,
    answer: Option<(f64, Answer)>,
    closed_at: Option<f64>,
    unanswered: bool,
    left_at: Option<f64>,
    attempts: Vec<Attempt>,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct Verdict {
    pub requests: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// The violations by the name of the rule, each with a description.
    pub violations: BTreeMap<&'static str, Vec<String>>,
    /// The longest delay of the soak process itself (seconds).
    pub soak_delay: f64,
}

impl Verdict {
    fn record_violation(&mut self, rule: &'static str, description: String) {
        self.violations.entry(rule).or_default().push(description);
    }
}

/// Time spans by pooler (seconds of the run).
#[derive(Default)]
struct Spans(HashMap<usize, Vec<(f64, f64)>>);

impl Spans {
    fn of(&self, pooler: usize) -> &[(f64, f64)] {
        self.0.get(&pooler).map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns how much of the time between `from` and `to` lies in a pooler's spans (seconds).
    fn within(&self, pooler: usize, from: f64, to: f64) -> f64 {
        self.of(pooler).iter().map(|(a, b)| (b.min(to) - a.max(from)).max(0.0)).sum()
    }
}

/// Checks the events of a run against the rules.
pub struct Oracle<'a> {
    plan: &'a Plan,
    requests: BTreeMap<Id, Request>,
    paused: Spans,
    /// Times at which poolers were killed, and those of them without a planned end before.
    kills: HashMap<usize, Vec<f64>>,
    sudden_kills: HashMap<usize, Vec<f64>>,
    /// Requests of flooding clients as members received them: time, member, pooler.
    flood_arrivals: Vec<(f64, usize, usize)>,
    /// Times at which a delay of the soak process was noticed, and the delays.
    soak_delays: Vec<(f64, f64)>,
    /// Changes of the list: time, member, whether it is usable, version.
    list_changes: Vec<(f64, usize, bool, u64)>,
    /// Lists sent to each pooler: time, version, and when the connection was opened.
    lists_sent: HashMap<usize, Vec<(f64, u64, f64)>>,
    /// Times at which poolers were started, and became ready.
    starts: HashMap<usize, Vec<f64>>,
    ready: HashMap<usize, Vec<f64>>,
    /// Time spans in which discovery was unreachable.
    unreachable: Vec<(f64, f64)>,
    verdict: Verdict,
}

/// Checks all rules and returns the verdict on a run.
pub fn judge(plan: &Plan, fleet: &Fleet, events: Vec<(f64, Event)>) -> Verdict {
    let mut oracle = Oracle {
        plan,
        requests: BTreeMap::new(),
        paused: Spans::default(),
        kills: HashMap::new(),
        sudden_kills: HashMap::new(),
        flood_arrivals: Vec::new(),
        soak_delays: Vec::new(),
        list_changes: Vec::new(),
        lists_sent: HashMap::new(),
        starts: HashMap::new(),
        ready: HashMap::new(),
        unreachable: Vec::new(),
        verdict: Verdict::default(),
    };
    oracle.ingest(events);
    let ids: Vec<Id> = oracle.requests.keys().copied().collect();
    for id in ids {
        let Some(request) = oracle.requests.get(&id).cloned() else { continue };
        oracle.count(&request);
        oracle.check_answered(id, &request);
        oracle.check_repeats(id, &request);
        oracle.check_drained(id, &request);
        oracle.check_freshness(id, &request);
        oracle.check_deadline(id, &request);
    }
    oracle.check_cold_start(fleet);
    oracle.finish()
}

impl Oracle<'_> {
    fn ingest(&mut self, mut events: Vec<(f64, Event)>) {
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut request_of_attempt: HashMap<u64, Id> = HashMap::new();
        let mut paused_since: HashMap<usize, f64> = HashMap::new();
        let mut unreachable_since = None;
        for (at, event) in events {
            match event {
                Event::Sent { id, pooler, class, client, timeout, pipelined } => {
                    // An attempt may be recorded before the client has recorded the request.
                    let request = self.request(id);
                    (request.pooler, request.class, request.client) = (pooler, class, client);
                    (request.sent_at, request.timeout, request.pipelined) = (at, timeout, pipelined);
                }
                Event::Answered { id, answer } => self.request(id).answer = Some((at, answer)),
                Event::ConnectionClosed { id } => self.request(id).closed_at = Some(at),
                Event::Unanswered { id } => self.request(id).unanswered = true,
                Event::ClientLeft { id } => self.request(id).left_at = Some(at),
                Event::TruncatedMessageEnded { pooler, elapsed } => {
                    let allowed = TRUNCATED_MESSAGE_LIMIT
                        + SLACK
                        + self.tolerance(at - elapsed, at)
                        + self.paused.within(pooler, at - elapsed, at);
                    if elapsed > allowed {
                        self.verdict.record_violation("bad-clients", format!("n{pooler}: {elapsed:.2} s"));
                    }
                }
                Event::AttemptArrived { id, attempt, member, first_byte_at, timeout } => {
                    request_of_attempt.insert(attempt, id);
                    let (number, outcome) = (attempt, None);
                    let attempt = Attempt { number, member, first_byte_at, arrived_at: at, timeout, outcome };
                    self.request(id).attempts.push(attempt);
                }
                Event::AttemptAnswered { attempt, reply } => {
                    self.end_attempt(&request_of_attempt, attempt, (at, Some(reply)))
                }
                Event::AttemptAbandoned { attempt } => {
                    self.end_attempt(&request_of_attempt, attempt, (at, None))
                }
                Event::ListChanged { member, usable, version } => {
                    self.list_changes.push((at, member, usable, version))
                }
                Event::ListSent { pooler, version, opened_at } => {
                    self.lists_sent.entry(pooler).or_default().push((at, version, opened_at));
                }
                Event::DiscoveryReachable(false) => unreachable_since = unreachable_since.or(Some(at)),
                Event::DiscoveryReachable(true) => {
                    self.unreachable.extend(unreachable_since.take().map(|from| (from, at)))
                }
                Event::Started { pooler } => self.starts.entry(pooler).or_default().push(at),
                Event::Ready { pooler } => self.ready.entry(pooler).or_default().push(at),
                Event::Paused { pooler, paused: true } => drop(paused_since.insert(pooler, at)),
                Event::Paused { pooler, paused: false } => {
                    let from = paused_since.remove(&pooler).unwrap_or(at);
                    self.paused.0.entry(pooler).or_default().push((from, at));
                }
                Event::Killed { pooler, planned } => {
                    self.kills.entry(pooler).or_default().push(at);
                    if !planned {
                        self.sudden_kills.entry(pooler).or_default().push(at);
                    }
                }
                Event::FloodArrived { pooler, member } => self.flood_arrivals.push((at, member, pooler)),
                Event::LogTooLong { pooler, bytes } => {
                    self.verdict.record_violation("log", format!("n{pooler}: {bytes} bytes"));
                }
                Event::ExitedUnexpectedly { pooler, status } => {
                    self.verdict.record_violation("crash", format!("n{pooler} at {at:.3}: {status}"));
                }
                Event::LogFault { pooler, line } => {
                    self.verdict.record_violation("own-check", format!("n{pooler}: {line}"));
                }
                Event::MemoryExceeded { pooler, megabytes } => {
                    self.verdict.record_violation("memory", format!("n{pooler}: {megabytes} MB"));
                }
                Event::SoakDelayed(seconds) => {
                    self.verdict.soak_delay = self.verdict.soak_delay.max(seconds);
                    self.soak_delays.push((at, seconds));
                }
            }
        }
    }

    fn request(&mut self, id: Id) -> &mut Request {
        self.requests.entry(id).or_insert(Request {
            pooler: usize::MAX,
            class: 0,
            client: 0,
            sent_at: f64::INFINITY,
            timeout: 0.0,
            pipelined: false,
            answer: None,
            closed_at: None,
            unanswered: false,
            left_at: None,
            attempts: Vec::new(),
        })
    }

    fn end_attempt(
        &mut self,
        request_of_attempt: &HashMap<u64, Id>,
        number: u64,
        outcome: (f64, Option<Reply>),
    ) {
        let Some(id) = request_of_attempt.get(&number) else { return };
        let attempts = &mut self.request(*id).attempts;
        attempts.iter_mut().filter(|a| a.number == number).for_each(|a| a.outcome = Some(outcome));
    }

    /// Returns the tolerance for delays of the host between two times (seconds), from the measured delays of
    /// the soak process.
    fn tolerance(&self, from: f64, to: f64) -> f64 {
        let delays =
            self.soak_delays.iter().filter(|(at, delay)| *at >= from - 0.1 && at - delay <= to + 0.1);
        2.0 * delays.map(|(_, delay)| *delay).sum::<f64>() + 0.005
    }

    /// Returns true if a pooler was killed between two times.
    fn was_killed(&self, pooler: usize, from: f64, to: f64) -> bool {
        self.kills.get(&pooler).is_some_and(|kills| kills.iter().any(|at| (from..=to).contains(at)))
    }

    /// Returns true if a pooler was killed between two times without a planned end before.
    fn was_killed_suddenly(&self, pooler: usize, from: f64, to: f64) -> bool {
        self.sudden_kills.get(&pooler).is_some_and(|kills| kills.iter().any(|at| (from..=to).contains(at)))
    }

    fn count(&mut self, request: &Request) {
        self.verdict.requests += 1;
        match request.answer {
            Some((_, Answer::Served(_))) => self.verdict.served += 1,
            Some((_, Answer::Refused)) => self.verdict.refused += 1,
            Some((_, Answer::Failed)) => self.verdict.failed += 1,
            None => {}
        }
    }

    /// Rule "lost": each request gets one final answer in time. Excused: requests pending in a pooler that
    /// was killed, and requests on a connection that closed before any attempt of theirs was forwarded.
    fn check_answered(&mut self, id: Id, request: &Request) {
        let Request { pooler, sent_at, timeout, .. } = *request;
        if request.left_at.is_some() || pooler == usize::MAX {
            return;
        }
        let answer_due = sent_at + timeout + LOST_AFTER + SLACK;
        let slack =
            |oracle: &Self, to| oracle.paused.within(pooler, sent_at, to) + oracle.tolerance(sent_at, to);
        match (request.answer, request.closed_at) {
            // The time spent waiting for earlier answers on the connection does not count.
            (Some(_), _) if request.pipelined => {}
            (Some((at, _)), _) => {
                let allowed = answer_due + slack(self, at);
                if at > allowed {
                    let late = at - sent_at - timeout;
                    self.verdict.record_violation(
                        "lost",
                        format!("{id:016x} at n{pooler}: answered {late:.2} s late"),
                    );
                }
            }
            (None, Some(at)) if !self.was_killed_suddenly(pooler, sent_at, at + KILL_SLACK) => {
                let forwarded = request.attempts.iter().any(|attempt| attempt.first_byte_at <= at);
                if forwarded {
                    let description =
                        format!("{id:016x} at n{pooler}: closed at {at:.3} with no answer, forwarded");
                    self.verdict.record_violation("lost", description);
                }
            }
            // Excused only if the pooler was killed without SIGTERM: a planned shutdown answers whatever it reads,
            // and ends its connections before it is killed.
            (None, _)
                if request.unanswered && !self.was_killed_suddenly(pooler, sent_at, answer_due + 3.0) =>
            {
                self.verdict.record_violation("lost", format!("{id:016x} at n{pooler}: no answer"));
            }
            _ => {}
        }
    }

    /// Rule "duplicate": a request is repeated only as its class allows, and refused only if no attempt can
    /// have run.
    fn check_repeats(&mut self, id: Id, request: &Request) {
        if request.pooler == usize::MAX {
            return;
        }
        let class = &self.plan.classes[request.class];
        let attempts = &request.attempts;
        if attempts.len() > MAX_ATTEMPTS {
            self.verdict.record_violation("duplicate", format!("{id:016x}: {} attempts", attempts.len()));
        }
        for (n, later) in attempts.iter().enumerate() {
            for earlier in &attempts[..n] {
                let in_flight =
                    earlier.outcome.is_none_or(|(at, _)| at > later.arrived_at + WRITE_DELAY_SLACK);
                if in_flight && !self.plan.copies {
                    self.verdict.record_violation(
                        "duplicate",
                        format!("{id:016x}: two attempts out at {:.3}", later.arrived_at),
                    );
                }
                if earlier.did_not_run() {
                    continue;
                }
                let window = class.window + SLACK + self.tolerance(earlier.arrived_at, later.arrived_at);
                let over = later.first_byte_at - earlier.first_byte_at > window;
                let forbidden = match class.effect {
                    Effect::Safe => false,
                    Effect::Never => true,
                    Effect::KeyedInGroup | Effect::KeyedEverywhere => over,
                };
                if forbidden {
                    let description =
                        format!("{id:016x} ({:?}): again at {:.3}", class.effect, later.arrived_at);
                    self.verdict.record_violation("duplicate", description);
                }
            }
        }
        let refused = matches!(request.answer, Some((_, Answer::Refused)));
        let refused_only_if_not_run = matches!(class.effect, Effect::Never | Effect::KeyedInGroup);
        let ran = attempts.iter().find(|attempt| !attempt.did_not_run());
        if let Some(ran) = ran.filter(|_| refused && refused_only_if_not_run) {
            let description = format!(
                "{id:016x} ({:?}, {:?}) at n{}: refused, though s-{} had it at {:.3}",
                class.effect, class.consistency, request.pooler, ran.member, ran.arrived_at
            );
            self.verdict.record_violation("duplicate", description);
        }
    }

    /// Returns when a pooler counts as informed that a member accepts no new requests, as known at `at`.
    /// Returns `None` if the pooler may use the member.
    fn drain_known_at(&self, pooler: usize, member: usize, at: f64) -> Option<f64> {
        let mut known_at = None;
        for &(changed, of, usable, version) in &self.list_changes {
            if of != member || changed > at {
                continue;
            }
            // A pooler that started after the change knows it from its configuration.
            let start = self.starts.get(&pooler).into_iter().flatten().copied().filter(|start| *start <= at);
            let start = start.fold(f64::NEG_INFINITY, f64::max);
            let received = self.lists_sent.get(&pooler).into_iter().flatten();
            let received = received.filter(|(when, up_to, opened_at)| {
                // A list sent to an earlier process of the pooler does not count.
                *when >= changed && *opened_at >= start && *up_to >= version
            });
            let received = received.map(|(when, ..)| *when).fold(f64::INFINITY, f64::min);
            let change_known_at =
                if start >= changed { start } else { received.min(self.reachability_deadline(changed)) };
            if usable {
                // The pooler may use the member from here on, whether or not it knows that it is back.
                known_at = None;
            } else if change_known_at <= at {
                known_at = known_at.or(Some(change_known_at));
            }
        }
        known_at
    }

    /// Returns when a change counts as known to every pooler, whether a list was sent to it or not: discovery
    /// has then been reachable for `NOTIFIED_AFTER` without interruption.
    fn reachability_deadline(&self, changed: f64) -> f64 {
        let mut known_at = changed + NOTIFIED_AFTER;
        for (from, to) in &self.unreachable {
            if *to > changed && *from < known_at {
                known_at = to.max(known_at - NOTIFIED_AFTER) + NOTIFIED_AFTER;
            }
        }
        known_at
    }

    /// Rule "drain": no new attempt goes to a member later than the grace period after the pooler knew of the
    /// drain. Excused: pauses of the pooler between the request and the attempt, since a request that arrived
    /// before a pause is handled after it, together with the update of the list.
    fn check_drained(&mut self, id: Id, request: &Request) {
        let pooler = request.pooler;
        for attempt in &request.attempts {
            let Some(known_at) = self.drain_known_at(pooler, attempt.member, attempt.first_byte_at) else {
                continue;
            };
            let pauses = self.paused.of(pooler).iter();
            let pauses = pauses.filter(|(from, to)| {
                request.sent_at < *from && *to > known_at && *from < attempt.first_byte_at
            });
            let paused_time: f64 = pauses.map(|(from, to)| to - from.max(known_at)).sum();
            let allowed =
                self.plan.grace + SLACK + paused_time + self.tolerance(known_at, attempt.first_byte_at);
            if attempt.first_byte_at - known_at > allowed {
                let description = format!(
                    "{id:016x} at n{pooler}: to s-{} at {:.3}, told at {known_at:.3}",
                    attempt.member, attempt.first_byte_at
                );
                self.verdict.record_violation("drain", description);
            }
        }
    }

    /// Rule "stale": no read is answered from data older than its class allows, counted from the last byte of the
    /// attempt that was answered. Excused: answers of a member that reported to be the primary.
    fn check_freshness(&mut self, id: Id, request: &Request) {
        let Some((_, Answer::Served(value))) = request.answer else { return };
        let class = &self.plan.classes[request.class];
        let answered = request.attempts.iter().find(|attempt| attempt.number == value.attempt);
        let Some(arrived_at) = answered.map(|attempt| attempt.arrived_at) else {
            let description =
                format!("{id:016x}: answered by attempt {}, which no member got", value.attempt);
            return self.verdict.record_violation("stale", description);
        };
        let required = match class.consistency {
            Consistency::Bounded(bound) => arrived_at - bound - SLACK,
            Consistency::Fresh => request.sent_at - OBSERVED_AFTER,
            Consistency::Session => self.last_known_commit(request),
            Consistency::Write | Consistency::Any => return,
        };
        // Delays of the host between sending and arrival may make the data older than `required` by the
        // tolerance.
        if !value.primary && value.position < required - self.tolerance(request.sent_at, arrived_at) {
            let (class, position) = (class.consistency, value.position);
            let description = format!("{id:016x} ({class:?}): position {position:.3}, needed {required:.3}");
            self.verdict.record_violation("stale", description);
        }
    }

    /// Returns the position of the client's last commit that the client and its pooler knew of when the
    /// request was sent.
    fn last_known_commit(&self, request: &Request) -> f64 {
        let known = |other: &&Request| {
            let write = self.plan.classes[other.class].consistency == Consistency::Write;
            let same_client = other.client == request.client;
            let answered = other.answer.is_some_and(|(at, _)| at + OBSERVED_AFTER <= request.sent_at);
            // Unless requests carry positions, a process knows only those of the answers that it passed on.
            write
                && same_client
                && answered
                && (self.plan.carried || !self.was_killed(request.pooler, other.sent_at, request.sent_at))
        };
        let commits = self.requests.values().filter(known).filter_map(|other| match other.answer {
            Some((_, Answer::Served(value))) => Some(value.position),
            _ => None,
        });
        commits.fold(f64::NEG_INFINITY, f64::max) - 0.002
    }

    /// Rules "deadline" and "after-leaving": the deadline passed on to a member is at most the time that the
    /// client has left, and no attempt begins after the client has left.
    fn check_deadline(&mut self, id: Id, request: &Request) {
        for attempt in &request.attempts {
            let time_left = request.sent_at + request.timeout - attempt.arrived_at;
            let paused = self.paused.within(request.pooler, request.sent_at, attempt.arrived_at);
            let slack = SLACK + paused + self.tolerance(request.sent_at, attempt.arrived_at);
            if attempt.timeout > time_left + DEADLINE_SLACK + slack {
                let description = format!("{id:016x}: {:.3} s told, {time_left:.3} s left", attempt.timeout);
                self.verdict.record_violation("deadline", description);
            }
            if request.left_at.is_some_and(|at| attempt.first_byte_at - at > CLIENT_LEFT_SLACK + slack) {
                let description =
                    format!("{id:016x} at n{}: begun {:.3}", request.pooler, attempt.first_byte_at);
                self.verdict.record_violation("after-leaving", description);
            }
        }
    }

    /// Rule "failback": a cold member does not receive more requests than it can take. Excused: an excess of
    /// which a third or more comes from poolers that did not know of its start.
    fn check_cold_start(&mut self, fleet: &Fleet) {
        for (n, member) in fleet.members.iter().enumerate() {
            let Some(start) = member.started_at else { continue };
            let arrivals = self.requests.values().flat_map(|request| {
                let attempts = request.attempts.iter().filter(|a| a.member == n && a.arrived_at >= start);
                attempts.map(|attempt| (attempt.arrived_at, request.pooler))
            });
            let of_floods = self.flood_arrivals.iter().filter(|(at, to, _)| *to == n && *at >= start);
            let of_floods: Vec<(f64, usize)> = of_floods.map(|(at, _, pooler)| (*at, *pooler)).collect();
            let arrivals: Vec<(f64, usize)> = arrivals.chain(of_floods.iter().copied()).collect();
            for (from, _) in &arrivals {
                let within = arrivals.iter().filter(|(at, _)| (*from..from + OVERLOAD_WINDOW).contains(at));
                let within: Vec<&(f64, usize)> = within.collect();
                let from_informed =
                    within.iter().filter(|(at, pooler)| self.knows_start(*pooler, n, start, *at)).count();
                let over = within.len() as f64 > member.cold_budget(*from, OVERLOAD_WINDOW);
                if member.capacity_share(*from) < 1.0 && over && from_informed * 3 > within.len() * 2 {
                    let flooding = of_floods
                        .iter()
                        .filter(|(at, _)| (*from..from + OVERLOAD_WINDOW).contains(at))
                        .count();
                    let budget = member.cold_budget(*from, OVERLOAD_WINDOW);
                    let description = format!(
                        "s-{n} (started at {start:.3}): {} requests from {from:.3} on, {budget:.0} allowed, \
                         {from_informed} told, {flooding} of floods",
                        within.len()
                    );
                    self.verdict.record_violation("failback", description);
                    break;
                }
            }
        }
    }

    /// Returns true if a pooler knew at `at` that a member started at `start`.
    fn knows_start(&self, pooler: usize, member: usize, start: f64, at: f64) -> bool {
        let change =
            self.list_changes.iter().find(|(when, of, usable, _)| *of == member && *usable && *when >= start);
        let Some(&(changed, _, _, version)) = change else { return false };
        let started_since =
            self.starts.get(&pooler).is_some_and(|all| all.iter().any(|s| (changed..at).contains(s)));
        let received = self.lists_sent.get(&pooler).is_some_and(|all| {
            all.iter().any(|(when, up_to, _)| (changed..at).contains(when) && *up_to >= version)
        });
        started_since || received || self.reachability_deadline(changed) <= at
    }

    /// Checks the rules on the whole run, "ready" and "served", and returns the verdict.
    fn finish(mut self) -> Verdict {
        let starts: Vec<(usize, f64)> =
            self.starts.iter().flat_map(|(n, starts)| starts.iter().map(|at| (*n, *at))).collect();
        let mut late = 0;
        for (pooler, start) in &starts {
            let ready = self.ready.get(pooler).into_iter().flatten().find(|at| *at >= start);
            late += usize::from(ready.is_none_or(|at| at - start > NOTIFIED_AFTER));
        }
        if late * 10 > starts.len() {
            self.verdict.record_violation(
                "ready",
                format!("{late} of {} starts took over {NOTIFIED_AFTER} s", starts.len()),
            );
        }
        if (self.verdict.served as f64) < MIN_SERVED_SHARE * self.verdict.requests as f64 {
            let Verdict { served, requests, .. } = self.verdict;
            self.verdict.record_violation("served", format!("{served} of {requests}"));
        }
        self.verdict
    }
}
