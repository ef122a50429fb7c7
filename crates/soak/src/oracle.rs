//! The rules, held against what was seen of a run. What the oracle cannot tell from outside it excuses, and says so beside each
//! rule.

use std::collections::{BTreeMap, HashMap};

use crate::fleet::Fleet;
use crate::plan::{Consistency, Effect, Plan, FALL};
use crate::record::{Answer, Event, Id, Reply};

/// All time limits are this much longer on sockets (seconds).
const SLACK: f64 = 0.05;
/// An answer is lost so long after its time (seconds).
const LATE: f64 = 0.5;
/// A change counts as told so long after discovery had it and could be reached (seconds).
const TOLD_AFTER: f64 = 6.0;
/// After the client has left an attempt may begin for so long (seconds).
const AFTER_LEAVING: f64 = 0.1;
/// Slack of the deadline that is passed on (seconds).
const PATIENCE_SLACK: f64 = 0.15;
/// The pooler may be held up for so long between reading its clock and writing (seconds).
const HELD_UP: f64 = 0.15;
/// What an answer tells counts as known so long after it was written (seconds).
const KNOWN_AFTER: f64 = 0.1;
/// Bad clients are owed their error or the end within this (seconds).
const BAD_CLIENTS: f64 = 3.0;
const MOST_ATTEMPTS: usize = 6;
/// A request that crosses the end of its connection is the client's to repeat, unless it was forwarded.
const RECENT: f64 = 0.05;
/// Share of the requests that are served at the least, however much goes wrong: who refuses all breaks no other rule.
const LEAST_SERVED: f64 = 0.2;

/// An attempt, as its machine saw it.
#[derive(Clone, Debug)]
struct Attempt {
    number: u64,
    machine: usize,
    began: f64,
    arrived: f64,
    patience: f64,
    /// When it was answered or its connection ended, and what the machine said.
    ended: Option<(f64, Option<Reply>)>,
}

impl Attempt {
    fn never_ran(&self) -> bool {
        matches!(self.ended, Some((_, Some(Reply::Missed | Reply::TurnedAway))))
    }
}

/// A request.
#[derive(Clone, Debug)]
struct Request {
    pooler: usize,
    class: usize,
    client: usize,
    sent: f64,
    patience: f64,
    /// Its answer waits for those of others.
    behind: bool,
    answer: Option<(f64, Answer)>,
    closed: Option<f64>,
    silent: bool,
    left: Option<f64>,
    attempts: Vec<Attempt>,
}

/// What a run came to.
#[derive(Debug, Default)]
pub struct Verdict {
    pub requests: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Broken rules by name, with what was seen.
    pub broken: BTreeMap<&'static str, Vec<String>>,
    /// The longest that the soak itself was late (seconds).
    pub lagged: f64,
}

impl Verdict {
    fn breaks(&mut self, rule: &'static str, what: String) {
        self.broken.entry(rule).or_default().push(what);
    }
}

/// Spans of time by pooler.
#[derive(Default)]
struct Spans(HashMap<usize, Vec<(f64, f64)>>);

impl Spans {
    fn of(&self, pooler: usize) -> &[(f64, f64)] {
        self.0.get(&pooler).map(Vec::as_slice).unwrap_or_default()
    }

    /// How much of the time between two moments lies in them (seconds).
    fn within(&self, pooler: usize, from: f64, to: f64) -> f64 {
        self.of(pooler).iter().map(|(a, b)| (b.min(to) - a.max(from)).max(0.0)).sum()
    }
}

/// Holds the rules against what was seen.
pub struct Oracle<'a> {
    plan: &'a Plan,
    requests: BTreeMap<Id, Request>,
    stopped: Spans,
    /// Times at which processes were killed, and were asked to end.
    kills: HashMap<usize, Vec<f64>>,
    /// Times at which the soak was late, and by how much.
    lags: Vec<(f64, f64)>,
    /// Changes of machines: when, which, whether usable, version.
    listed: Vec<(f64, usize, bool, u64)>,
    /// Versions told to poolers, each on a connection opened then, and starts of poolers.
    told: HashMap<usize, Vec<(f64, u64, f64)>>,
    starts: HashMap<usize, Vec<f64>>,
    ready: HashMap<usize, Vec<f64>>,
    /// Spans in which discovery could not be reached.
    down: Vec<(f64, f64)>,
    verdict: Verdict,
}

/// Judges a run.
pub fn judge(plan: &Plan, fleet: &Fleet, events: Vec<(f64, Event)>) -> Verdict {
    let mut oracle = Oracle {
        plan,
        requests: BTreeMap::new(),
        stopped: Spans::default(),
        kills: HashMap::new(),
        lags: Vec::new(),
        listed: Vec::new(),
        told: HashMap::new(),
        starts: HashMap::new(),
        ready: HashMap::new(),
        down: Vec::new(),
        verdict: Verdict::default(),
    };
    oracle.take(events);
    let ids: Vec<Id> = oracle.requests.keys().copied().collect();
    for id in ids {
        let Some(request) = oracle.requests.get(&id).cloned() else { continue };
        oracle.count(&request);
        oracle.answered(id, &request);
        oracle.repeated(id, &request);
        oracle.drained(id, &request);
        oracle.stale(id, &request);
        oracle.patience(id, &request);
    }
    oracle.cold(fleet);
    oracle.whole()
}

impl Oracle<'_> {
    fn take(&mut self, mut events: Vec<(f64, Event)>) {
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut of_attempt: HashMap<u64, Id> = HashMap::new();
        let mut since: HashMap<usize, f64> = HashMap::new();
        let mut down_since = None;
        for (at, event) in events {
            match event {
                Event::Sent { id, pooler, class, client, patience, behind } => {
                    // An attempt may be noted before the client has noted that it sent.
                    let request = self.request(id);
                    (request.pooler, request.class, request.client) = (pooler, class, client);
                    (request.sent, request.patience, request.behind) = (at, patience, behind);
                }
                Event::Answered { id, answer } => self.request(id).answer = Some((at, answer)),
                Event::Closed { id } => self.request(id).closed = Some(at),
                Event::Silent { id } => self.request(id).silent = true,
                Event::Left { id } => self.request(id).left = Some(at),
                Event::BadClientEnded { pooler, after } => {
                    let allowed = BAD_CLIENTS
                        + SLACK
                        + self.tolerance(at - after, at)
                        + self.stopped.within(pooler, at - after, at);
                    if after > allowed {
                        self.verdict.breaks("bad-clients", format!("n{pooler}: {after:.2} s"));
                    }
                }
                Event::Arrived { id, attempt, machine, began, patience } => {
                    of_attempt.insert(attempt, id);
                    let (number, ended) = (attempt, None);
                    let attempt = Attempt { number, machine, began, arrived: at, patience, ended };
                    self.request(id).attempts.push(attempt);
                }
                Event::Replied { attempt, reply } => self.end(&of_attempt, attempt, (at, Some(reply))),
                Event::Abandoned { attempt } => self.end(&of_attempt, attempt, (at, None)),
                Event::Listed { machine, usable, version } => {
                    self.listed.push((at, machine, usable, version))
                }
                Event::Told { pooler, version, opened } => {
                    self.told.entry(pooler).or_default().push((at, version, opened));
                }
                Event::Reachable(false) => down_since = down_since.or(Some(at)),
                Event::Reachable(true) => self.down.extend(down_since.take().map(|from| (from, at))),
                Event::Started { pooler } => self.starts.entry(pooler).or_default().push(at),
                Event::Ready { pooler } => self.ready.entry(pooler).or_default().push(at),
                Event::Stopped { pooler, stopped: true } => drop(since.insert(pooler, at)),
                Event::Stopped { pooler, stopped: false } => {
                    let from = since.remove(&pooler).unwrap_or(at);
                    self.stopped.0.entry(pooler).or_default().push((from, at));
                }
                Event::Killed { pooler } => self.kills.entry(pooler).or_default().push(at),
                Event::Died { pooler, how } => {
                    self.verdict.breaks("crash", format!("n{pooler} at {at:.3}: {how}"));
                }
                Event::LogFault { pooler, line } => {
                    self.verdict.breaks("own-check", format!("n{pooler}: {line}"));
                }
                Event::TooLarge { pooler, megabytes } => {
                    self.verdict.breaks("memory", format!("n{pooler}: {megabytes} MB"));
                }
                Event::Lagged(seconds) => {
                    self.verdict.lagged = self.verdict.lagged.max(seconds);
                    self.lags.push((at, seconds));
                }
            }
        }
    }

    fn request(&mut self, id: Id) -> &mut Request {
        self.requests.entry(id).or_insert(Request {
            pooler: usize::MAX,
            class: 0,
            client: 0,
            sent: f64::INFINITY,
            patience: 0.0,
            behind: false,
            answer: None,
            closed: None,
            silent: false,
            left: None,
            attempts: Vec::new(),
        })
    }

    fn end(&mut self, of_attempt: &HashMap<u64, Id>, number: u64, ended: (f64, Option<Reply>)) {
        let Some(id) = of_attempt.get(&number) else { return };
        let attempts = &mut self.request(*id).attempts;
        attempts.iter_mut().filter(|a| a.number == number).for_each(|a| a.ended = Some(ended));
    }

    /// What the machine that all of this runs on may have held up between two moments (seconds).
    fn tolerance(&self, from: f64, to: f64) -> f64 {
        let lags = self.lags.iter().filter(|(at, lag)| *at >= from - 0.1 && at - lag <= to + 0.1);
        2.0 * lags.map(|(_, lag)| *lag).sum::<f64>() + 0.005
    }

    /// Whether a process was killed between two moments.
    fn killed(&self, pooler: usize, from: f64, to: f64) -> bool {
        self.kills.get(&pooler).is_some_and(|kills| kills.iter().any(|at| (from..=to).contains(at)))
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

    /// One final answer in time. Excused: what a process that was killed held, and what it was sent after its connection had begun
    /// to end and nothing was forwarded of it.
    fn answered(&mut self, id: Id, request: &Request) {
        let Request { pooler, sent, patience, .. } = *request;
        if request.left.is_some() || pooler == usize::MAX {
            return;
        }
        let by = sent + patience + LATE + SLACK;
        let slack = |oracle: &Self, to| oracle.stopped.within(pooler, sent, to) + oracle.tolerance(sent, to);
        match (request.answer, request.closed) {
            // The time spent waiting for the answers before it does not count.
            (Some(_), _) if request.behind => {}
            (Some((at, _)), _) => {
                let allowed = by + slack(self, at);
                if at > allowed {
                    let late = at - sent - patience;
                    self.verdict.breaks("lost", format!("{id:016x} at n{pooler}: answered {late:.2} s late"));
                }
            }
            (None, Some(at)) if !self.killed(pooler, sent, at + RECENT) => {
                let forwarded = request.attempts.iter().any(|attempt| attempt.began <= at);
                if forwarded {
                    let what = format!("{id:016x} at n{pooler}: closed at {at:.3} with no answer, forwarded");
                    self.verdict.breaks("lost", what);
                }
            }
            // The process that had it was killed without a word, or as early as it may be: a planned end has answered all that
            // came in time to be answered.
            (None, _) if request.silent && !self.killed(pooler, sent, by + 3.0) => {
                self.verdict.breaks("lost", format!("{id:016x} at n{pooler}: no answer"));
            }
            _ => {}
        }
    }

    /// A request is carried out again only as its class allows, and refused only where nothing can have run.
    fn repeated(&mut self, id: Id, request: &Request) {
        if request.pooler == usize::MAX {
            return;
        }
        let class = &self.plan.classes[request.class];
        let attempts = &request.attempts;
        if attempts.len() > MOST_ATTEMPTS {
            self.verdict.breaks("duplicate", format!("{id:016x}: {} attempts", attempts.len()));
        }
        for (n, later) in attempts.iter().enumerate() {
            for earlier in &attempts[..n] {
                let out = earlier.ended.is_none_or(|(at, _)| at > later.arrived + HELD_UP);
                if out && !self.plan.copies {
                    self.verdict
                        .breaks("duplicate", format!("{id:016x}: two attempts out at {:.3}", later.arrived));
                }
                if earlier.never_ran() {
                    continue;
                }
                let window = class.window + SLACK + self.tolerance(earlier.arrived, later.arrived);
                let over = later.began - earlier.began > window;
                let forbidden = match class.effect {
                    Effect::Safe => false,
                    Effect::Never => true,
                    Effect::KeyedInGroup | Effect::KeyedEverywhere => over,
                };
                if forbidden {
                    let what = format!("{id:016x} ({:?}): again at {:.3}", class.effect, later.arrived);
                    self.verdict.breaks("duplicate", what);
                }
            }
        }
        let refused = matches!(request.answer, Some((_, Answer::Refused)));
        let bound = matches!(class.effect, Effect::Never | Effect::KeyedInGroup);
        let ran = attempts.iter().find(|attempt| !attempt.never_ran());
        if let Some(ran) = ran.filter(|_| refused && bound) {
            let what = format!(
                "{id:016x} ({:?}, {:?}) at n{}: refused, though s-{} had it at {:.3}",
                class.effect, class.consistency, request.pooler, ran.machine, ran.arrived
            );
            self.verdict.breaks("duplicate", what);
        }
    }

    /// When a pooler counts as told that a machine takes nothing new, as of some moment; none where it may be used.
    fn told_of_drain(&self, pooler: usize, machine: usize, at: f64) -> Option<f64> {
        let mut told = None;
        for &(changed, of, usable, version) in &self.listed {
            if of != machine || changed > at {
                continue;
            }
            // A process that started later knows it from its start.
            let start = self.starts.get(&pooler).into_iter().flatten().copied().filter(|start| *start <= at);
            let start = start.fold(f64::NEG_INFINITY, f64::max);
            let heard = self.told.get(&pooler).into_iter().flatten();
            let heard = heard.filter(|(when, up_to, opened)| {
                // What was written to a process that is no more was told to nobody.
                *when >= changed && *opened >= start && *up_to >= version
            });
            let heard = heard.map(|(when, ..)| *when).fold(f64::INFINITY, f64::min);
            let counts = if start >= changed { start } else { heard.min(self.reachable_after(changed)) };
            if usable {
                // Whoever has not heard that it is back need not use it, and may.
                told = None;
            } else if counts <= at {
                told = told.or(Some(counts));
            }
        }
        told
    }

    /// When a change counts as told, heard or not: discovery could be reached for so long since.
    fn reachable_after(&self, changed: f64) -> f64 {
        let mut by = changed + TOLD_AFTER;
        for (from, to) in &self.down {
            if *to > changed && *from < by {
                by = to.max(by - TOLD_AFTER) + TOLD_AFTER;
            }
        }
        by
    }

    /// Nothing new to a machine past the grace after its drain was told. A process that was held up is excused for what it had
    /// read before: a request that came while it was held up was taken up after it, beside the list's news.
    fn drained(&mut self, id: Id, request: &Request) {
        let pooler = request.pooler;
        for attempt in &request.attempts {
            let Some(told) = self.told_of_drain(pooler, attempt.machine, attempt.began) else { continue };
            let held = self.stopped.of(pooler).iter();
            let held = held.filter(|(from, to)| request.sent < *from && *to > told && *from < attempt.began);
            let excused: f64 = held.map(|(from, to)| to - from.max(told)).sum();
            let allowed = self.plan.grace + SLACK + excused + self.tolerance(told, attempt.began);
            if attempt.began - told > allowed {
                let what = format!(
                    "{id:016x} at n{pooler}: to s-{} at {:.3}, told at {told:.3}",
                    attempt.machine, attempt.began
                );
                self.verdict.breaks("drain", what);
            }
        }
    }

    /// No read is answered from data older than its class allows. Excused: an answer whose machine said that it was the primary.
    fn stale(&mut self, id: Id, request: &Request) {
        let Some((_, Answer::Served(value))) = request.answer else { return };
        let class = &self.plan.classes[request.class];
        let arrived = request.attempts.iter().map(|attempt| attempt.arrived).fold(f64::INFINITY, f64::min);
        let needed = match class.consistency {
            Consistency::Bounded(bound) => arrived - bound - SLACK,
            Consistency::Fresh => request.sent - KNOWN_AFTER,
            Consistency::Session => self.own_writes(request),
            Consistency::Write | Consistency::Any => return,
        };
        // What was sent later may be older than what was sent first by as much.
        if !value.primary && value.position < needed - self.tolerance(request.sent, arrived) {
            let (class, position) = (class.consistency, value.position);
            let what = format!("{id:016x} ({class:?}): position {position:.3}, needed {needed:.3}");
            self.verdict.breaks("stale", what);
        }
    }

    /// The last commit that a client's process had been told of when it asked.
    fn own_writes(&self, request: &Request) -> f64 {
        let known = |other: &&Request| {
            let write = self.plan.classes[other.class].consistency == Consistency::Write;
            let same = other.client == request.client;
            // Answered by this very process.
            let heard = other.answer.is_some_and(|(at, _)| at + KNOWN_AFTER <= request.sent);
            write
                && same
                && heard
                && (self.plan.carried || !self.killed(request.pooler, other.sent, request.sent))
        };
        let commits = self.requests.values().filter(known).filter_map(|other| match other.answer {
            Some((_, Answer::Served(value))) => Some(value.position),
            _ => None,
        });
        commits.fold(f64::NEG_INFINITY, f64::max) - 0.002
    }

    /// The deadline that is passed on is at most what the client has left, and nothing is begun for a client that has gone.
    fn patience(&mut self, id: Id, request: &Request) {
        for attempt in &request.attempts {
            let left = request.sent + request.patience - attempt.arrived;
            let held = self.stopped.within(request.pooler, request.sent, attempt.arrived);
            let slack = SLACK + held + self.tolerance(request.sent, attempt.arrived);
            if attempt.patience > left + PATIENCE_SLACK + slack {
                let what = format!("{id:016x}: {:.3} s told, {left:.3} s left", attempt.patience);
                self.verdict.breaks("deadline", what);
            }
            if request.left.is_some_and(|at| attempt.began - at > AFTER_LEAVING + slack) {
                let what = format!("{id:016x} at n{}: begun {:.3}", request.pooler, attempt.began);
                self.verdict.breaks("after-leaving", what);
            }
        }
    }

    /// No cold machine is sent over its multiple by all together, two thirds of it by processes that had been told of its start.
    fn cold(&mut self, fleet: &Fleet) {
        for (n, machine) in fleet.machines.iter().enumerate() {
            let Some(start) = machine.started else { continue };
            let came = self.requests.values().flat_map(|request| {
                let attempts = request.attempts.iter().filter(|a| a.machine == n && a.arrived >= start);
                attempts.map(|attempt| (attempt.arrived, request.pooler))
            });
            let came: Vec<(f64, usize)> = came.collect();
            for (from, _) in &came {
                let within = came.iter().filter(|(at, _)| (*from..from + FALL).contains(at));
                let within: Vec<&(f64, usize)> = within.collect();
                let told =
                    within.iter().filter(|(at, pooler)| self.told_of_start(*pooler, n, start, *at)).count();
                let over = within.len() as f64 > machine.cold_budget(*from, FALL);
                if machine.warmth(*from) < 1.0 && over && told * 3 > within.len() * 2 {
                    let what = format!("s-{n}: {} requests from {from:.3} on, {told} told", within.len());
                    self.verdict.breaks("failback", what);
                    break;
                }
            }
        }
    }

    /// Whether a pooler had been told that a machine started then.
    fn told_of_start(&self, pooler: usize, machine: usize, start: f64, at: f64) -> bool {
        let listed =
            self.listed.iter().find(|(when, of, usable, _)| *of == machine && *usable && *when >= start);
        let Some(&(changed, _, _, version)) = listed else { return false };
        let began = self.starts.get(&pooler).is_some_and(|all| all.iter().any(|s| (changed..at).contains(s)));
        let heard = self.told.get(&pooler).is_some_and(|all| {
            all.iter().any(|(when, up_to, _)| (changed..at).contains(when) && *up_to >= version)
        });
        began || heard || self.reachable_after(changed) <= at
    }

    fn whole(mut self) -> Verdict {
        let starts: Vec<(usize, f64)> =
            self.starts.iter().flat_map(|(n, starts)| starts.iter().map(|at| (*n, *at))).collect();
        let mut late = 0;
        for (pooler, start) in &starts {
            let ready = self.ready.get(pooler).into_iter().flatten().find(|at| *at >= start);
            late += usize::from(ready.is_none_or(|at| at - start > TOLD_AFTER));
        }
        if late * 10 > starts.len() {
            self.verdict
                .breaks("ready", format!("{late} of {} starts took over {TOLD_AFTER} s", starts.len()));
        }
        if (self.verdict.served as f64) < LEAST_SERVED * self.verdict.requests as f64 {
            let Verdict { served, requests, .. } = self.verdict;
            self.verdict.breaks("served", format!("{served} of {requests}"));
        }
        self.verdict
    }
}
