//! Plays a policy against stand-ins on a drawn clock, in the way of a pooler's driver, and judges each answer that is
//! passed on by what its member's data were at the last byte of the read.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use routing::interface::*;
use routing::Policy;

use crate::coverage::{Coverage, Row};
use crate::member::Member;

const BOUND: f64 = 0.5;
const CONNECT_TIMEOUT: f64 = 0.25;
/// Longest time for which the process is held up between reading its clock and writing.
const MAX_PAUSE: f64 = 0.15;
/// Positions and commits are stated in whole milliseconds, commits rounded up.
const POSITION_RESOLUTION: f64 = 0.001;
const NAMES: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
const SESSIONS: usize = 3;
const DURATION: f64 = 6.0;
/// Classes: 0 writes, 1 bounded, 2 session, 3 any, 4 fresh, 5 bounded that may run only once.
const WRITE: usize = 0;
const BOUNDED: usize = 1;
const SESSION: usize = 2;
const ANY: usize = 3;
const FRESH: usize = 4;
const BOUNDED_ONCE: usize = 5;

/// What a request is, as its client knows it.
struct Request {
    class: usize,
    session: usize,
    arrived_at: f64,
    /// The position that it states.
    position: Option<f64>,
    streams: bool,
    attempts: usize,
    in_flight: BTreeSet<usize>,
    answered: bool,
    /// What happened while it waited.
    events: BTreeSet<Row>,
    withdrawals: usize,
}

/// One attempt on its way.
#[derive(Clone, Debug)]
struct Flight {
    id: RequestId,
    attempt: usize,
    member: usize,
    begun_at: f64,
    /// Bytes of a long request are left after the next write.
    in_pieces: bool,
    wait: Row,
}

/// A read at its last byte, as its member knows it.
#[derive(Clone, Debug)]
struct Written {
    position: f64,
    primary: bool,
    /// The policy took the member for the primary.
    taken_for_primary: bool,
    required: f64,
    /// When a write of this attempt has committed.
    commit: Option<f64>,
}

enum Step {
    Timer(u64),
    Arrive,
    Happen,
    Ready(Flight),
    Answer(Flight, Written),
    ProbeAnswer(usize),
}

pub struct Play {
    policy: Policy,
    rng: fastrand::Rng,
    now: f64,
    steps: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, Step>,
    scheduled: u64,
    members: [Member; 4],
    requests: BTreeMap<RequestId, Request>,
    /// The latest commit of each session that its client, and so this pooler, knows or must assume.
    commits: [f64; SESSIONS],
    /// The latest commit of each session through other instances.
    commits_elsewhere: [f64; SESSIONS],
    ejected: BTreeSet<usize>,
    serves_stale: bool,
    pub coverage: Coverage,
    pub violations: Vec<String>,
}

fn settings(serves_stale: bool, hedging: bool) -> Settings {
    let class = |consistency, effect| Class {
        aim: 0.8,
        deadline: 1.6,
        dedup_window: 1.2,
        effect,
        consistency,
        ..Class::default()
    };
    Settings {
        classes: vec![
            Class { late_worth: 0.3, ..class(Consistency::Write, Effect::Keyed) },
            class(Consistency::Bounded(BOUND), Effect::Safe),
            class(Consistency::Session, Effect::Safe),
            class(Consistency::Any, Effect::Safe),
            class(Consistency::Fresh, Effect::Safe),
            class(Consistency::Bounded(BOUND), Effect::Unsafe),
        ],
        probes: true,
        allow_hedging: hedging,
        connect_timeout: CONNECT_TIMEOUT,
        when_behind: if serves_stale { WhenBehind::ServeStale } else { WhenBehind::Refuse },
        requests_carry_position: false,
        ..Settings::default()
    }
}

impl Play {
    pub fn new(seed: u64) -> Play {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (serves_stale, hedging) = (rng.u32(..3) > 0, rng.bool());
        let now = 1000.0;
        let mut play = Play {
            policy: Policy::new(settings(serves_stale, hedging), seed).unwrap(),
            now,
            steps: BinaryHeap::new(),
            pending: BTreeMap::new(),
            scheduled: 0,
            members: [
                Member::primary(),
                Member::replica(now, 0.02),
                Member::replica(now, 0.1),
                Member::replica(now, 0.3),
            ],
            requests: BTreeMap::new(),
            commits: [f64::NEG_INFINITY; SESSIONS],
            commits_elsewhere: [f64::NEG_INFINITY; SESSIONS],
            ejected: BTreeSet::new(),
            serves_stale,
            coverage: Coverage::default(),
            violations: Vec::new(),
            rng,
        };
        play.coverage.add(if serves_stale { Row::MembersServeStale } else { Row::MembersRefuse });
        let entry = |(n, name): (usize, &&str)| Entry {
            member: (*name).into(),
            zone: u32::from(n == 3),
            primary: n == 0,
            ..Entry::default()
        };
        let entries = NAMES.iter().enumerate().map(entry).collect();
        play.handle(Event::Members { kind: ListKind::Saved, entries });
        play.after(0.05, Step::Arrive);
        play.after(0.1, Step::Happen);
        play
    }

    /// Plays to the end.
    pub fn run(&mut self) {
        let end = self.now + DURATION;
        while let Some(Reverse((at, number))) = self.steps.pop() {
            let at = at as f64 / 1e6;
            if at > end {
                return;
            }
            self.now = self.now.max(at);
            match self.pending.remove(&number) {
                Some(Step::Timer(cookie)) => self.handle(Event::Timer { cookie }),
                Some(Step::Arrive) => self.arrive(),
                Some(Step::Happen) => self.happen(),
                Some(Step::Ready(flight)) => self.ready(flight),
                Some(Step::Answer(flight, written)) => self.answer(flight, written),
                Some(Step::ProbeAnswer(m)) => self.probe_answer(m),
                None => {}
            }
        }
    }

    fn after(&mut self, delay: f64, step: Step) {
        self.scheduled += 1;
        let at = ((self.now + delay) * 1e6).ceil() as u64;
        self.steps.push(Reverse((at, self.scheduled)));
        self.pending.insert(self.scheduled, step);
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, member, .. } => self.send(id, &member),
                Action::Timer { at, cookie } => self.after((at - self.now).max(0.0), Step::Timer(cookie)),
                Action::Probe { member } => {
                    let delay = 0.01 + 0.09 * self.rng.f64();
                    self.after(delay, Step::ProbeAnswer(index_of(&member)));
                }
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    self.requests.get_mut(&id).into_iter().for_each(|request| request.answered = true)
                }
                Action::Cancel { id, attempt } => self.cancel(&id, attempt),
                Action::Log(text) => self.note_ejection(&text),
                Action::Denied { id, denial } => self.violations.push(format!("{id}: {denial:?}")),
                _ => {}
            }
        }
    }

    fn note_ejection(&mut self, text: &str) {
        let Some(m) = NAMES.iter().position(|name| text.contains(&format!("member {name} "))) else { return };
        if text.contains("suspected") {
            self.ejected.insert(m);
        } else if text.contains("is back") {
            self.ejected.remove(&m);
        }
    }

    /// A client sends a request.
    fn arrive(&mut self) {
        let delay = 0.004 + 0.03 * self.rng.f64();
        self.after(delay, Step::Arrive);
        let class =
            [WRITE, BOUNDED, BOUNDED, SESSION, SESSION, ANY, FRESH, BOUNDED_ONCE][self.rng.usize(..8)];
        let session = self.rng.usize(..SESSIONS);
        let position = (class == ANY && self.rng.bool() || self.rng.u32(..8) == 0)
            .then(|| self.now - 0.6 * self.rng.f64())
            .filter(|_| class != WRITE);
        let streams = class != WRITE && self.rng.u32(..4) == 0;
        let id: RequestId = format!("{}", self.scheduled).into();
        let uses_session = matches!(class, WRITE | SESSION);
        let elsewhere = self.commits_elsewhere[session];
        let session_position = (class == SESSION && elsewhere.is_finite()).then_some(elsewhere);
        let arrival = Arrival {
            id: id.clone(),
            class,
            group: 0,
            time_left: 1.5,
            required_position: position,
            session: uses_session.then(|| format!("session-{session}").into()),
            tenant: 0,
            predicted_work: None,
            repeat: false,
            client_rate: 0.0,
            session_position,
            streams_answer: streams,
        };
        let request = Request {
            class,
            session,
            arrived_at: self.now,
            position,
            streams,
            attempts: 0,
            in_flight: BTreeSet::new(),
            answered: false,
            events: BTreeSet::new(),
            withdrawals: 0,
        };
        self.requests.insert(id, request);
        self.handle(Event::Arrival(arrival));
    }

    /// Marks what happens for all reads that wait to be written.
    fn mark(&mut self, row: Row, concerns: impl Fn(&Request) -> bool) {
        let waiting = self.requests.values_mut().filter(|r| !r.answered && !r.in_flight.is_empty());
        waiting.filter(|request| concerns(request)).for_each(|request| {
            request.events.insert(row);
        });
    }

    /// Something happens at a member, or at another instance.
    fn happen(&mut self) {
        let delay = 0.02 + 0.15 * self.rng.f64();
        self.after(delay, Step::Happen);
        let m = self.rng.usize(..NAMES.len());
        match self.rng.u32(..12) {
            0..=3 if !self.members[m].primary => {
                let rate = [0.0, 0.0, 0.125, 1.0, 5.0][self.rng.usize(..5)];
                self.members[m].set_rate(self.now, rate);
                if rate == 0.0 {
                    self.mark(Row::ReplicaStops, |_| true);
                }
            }
            4..=7 if !self.members[m].primary => self.members[m].set_rate(self.now, 6.0),
            8 if self.rng.u32(..4) == 0 => {
                let now = self.now;
                self.members.iter_mut().filter(|m| m.primary).for_each(|m| m.set_primary(now, false));
                self.members[m].set_primary(now, true);
                self.mark(Row::PrimaryChanges, |_| true);
            }
            9 | 10 => {
                let session = self.rng.usize(..SESSIONS);
                self.commits_elsewhere[session] = self.now;
                self.mark(Row::WriteElsewhere, |request| {
                    request.class == SESSION && request.session == session
                });
            }
            _ => self.probe_answer(m),
        }
    }

    /// A member reports its position and role.
    fn probe_answer(&mut self, m: usize) {
        self.mark(Row::PositionBecomesNewer, |_| true);
        let member = self.members[m];
        let report = Report {
            position: Some(member.stated_position(self.now - 0.002)),
            primary: Some(member.primary),
        };
        self.handle(Event::ProbeEnded { member: NAMES[m].into(), outcome: Outcome::Ok, report });
    }

    /// An attempt is to be sent: draws what it has to wait for.
    fn send(&mut self, id: RequestId, member: &MemberId) {
        let m = index_of(member);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts;
        request.attempts += 1;
        let row = match (request.in_flight.is_empty(), attempt) {
            (false, _) => Row::SecondCopy,
            (true, 0) => Row::FirstAttempt,
            _ => Row::Retry,
        };
        request.in_flight.insert(attempt);
        let streams = request.streams;
        self.coverage.add(row);
        if self.ejected.contains(&m) {
            self.coverage.add(Row::Trial);
        }
        let (wait, delay) = match self.rng.u32(..10) {
            0..=3 => (Row::IdleConnection, 0.0),
            4 if streams => (Row::PlaceInPool, 0.7 * self.rng.f64()),
            _ => (Row::LateConnection, 0.99 * CONNECT_TIMEOUT * self.rng.f64()),
        };
        let in_pieces = !streams && self.rng.u32(..8) == 0;
        let flight = Flight { id, attempt, member: m, begun_at: self.now, in_pieces, wait };
        // Some connections fail, so that there are retries and trials.
        if self.rng.u32(..25) == 0 {
            return self.end(&flight, Outcome::ConnectFailed, Conclusion::AsReceived, Stated::default());
        }
        if delay > 0.0 {
            return self.after(delay, Step::Ready(flight));
        }
        self.after(0.0, Step::Ready(flight));
    }

    fn cancel(&mut self, id: &RequestId, attempt: usize) {
        let is_out = self.requests.get(id).is_some_and(|request| request.in_flight.contains(&attempt));
        if is_out {
            let flight = Flight {
                id: id.clone(),
                attempt,
                member: 0,
                begun_at: self.now,
                in_pieces: false,
                wait: Row::IdleConnection,
            };
            self.end(&flight, Outcome::Cancelled, Conclusion::AsReceived, Stated::default());
        }
    }

    /// What the read must reflect at its last byte by the promise alone.
    fn required(&self, id: &RequestId, last_byte_at: f64) -> f64 {
        let request = &self.requests[id];
        let own = match request.class {
            BOUNDED | BOUNDED_ONCE => last_byte_at - BOUND,
            SESSION => self.commits[request.session].max(self.commits_elsewhere[request.session]),
            FRESH => request.arrived_at,
            _ => f64::NEG_INFINITY,
        };
        own.max(request.position.unwrap_or(f64::NEG_INFINITY))
    }

    /// A connection is ready for an attempt, or for the rest of it.
    fn ready(&mut self, mut flight: Flight) {
        let Some(request) = self.requests.get(&flight.id) else { return };
        if !request.in_flight.contains(&flight.attempt) {
            return;
        }
        let (class, streams, session) = (request.class, request.streams, request.session);
        if class == SESSION && self.commits_elsewhere[session].is_finite() {
            self.policy.raise_session_position(&flight.id, self.commits_elsewhere[session]);
        }
        if self.policy.may_write(&flight.id, flight.attempt, self.now).is_err() {
            return self.withdraw(&flight);
        }
        // The process is held up: nothing is handled until it writes, and again until it reads its clock.
        if self.rng.u32(..5) == 0 {
            self.now += MAX_PAUSE * self.rng.f64();
            self.coverage.add(Row::ProcessHeldUp);
        }
        if std::mem::take(&mut flight.in_pieces) {
            self.coverage.add(Row::RequestInPieces);
            let delay = 0.3 * self.rng.f64();
            return self.after(delay, Step::Ready(flight));
        }
        let last_byte_at = self.now;
        let member = self.members[flight.member];
        let written = Written {
            position: member.position(last_byte_at),
            primary: member.primary,
            taken_for_primary: self.was_primary(flight.member),
            required: self.required(&flight.id, last_byte_at),
            commit: (class == WRITE && member.primary).then_some(last_byte_at),
        };
        if self.rng.u32(..10) == 0 {
            self.now += MAX_PAUSE * self.rng.f64();
        }
        if class != WRITE && streams {
            self.handle(Event::ResponseStarted { id: flight.id.clone() });
            self.pass_on(&flight, &written, Stated::default());
        } else {
            self.policy.record_written(&flight.id, flight.attempt, self.now);
        }
        let work = 0.003 + 0.15 * self.rng.f64() * self.rng.f64();
        self.after(work, Step::Answer(flight, written));
    }

    fn withdraw(&mut self, flight: &Flight) {
        self.coverage.add(Row::Withdrawn);
        let Some(request) = self.requests.get_mut(&flight.id) else { return };
        request.in_flight.remove(&flight.attempt);
        request.withdrawals += 1;
        if request.withdrawals > 12 {
            self.violations.push(format!("{}: withdrawn {} times", flight.id, request.withdrawals));
        }
        self.handle(Event::WriteDenied { id: flight.id.clone(), attempt: flight.attempt });
    }

    /// A member answers.
    fn answer(&mut self, flight: Flight, written: Written) {
        let Some(request) = self.requests.get(&flight.id) else { return };
        if !request.in_flight.contains(&flight.attempt) {
            return self.learn_commit(&flight, &written, false);
        }
        let (class, streams) = (request.class, request.streams);
        let member = self.members[flight.member];
        let (row, mut stated) = match self.rng.u32(..8) {
            0 => (Row::StatesNothing, Stated::default()),
            1 => (Row::StatesRole, Stated { position: None, primary: Some(member.primary) }),
            // The position is that of the end of the answer, which may be newer than the data.
            _ => (
                Row::StatesAll,
                Stated { position: Some(member.stated_position(self.now)), primary: Some(member.primary) },
            ),
        };
        self.coverage.add(row);
        if class == WRITE {
            let Some(commit) = written.commit else {
                let stated = Stated { primary: Some(false), ..stated };
                return self.end(&flight, Outcome::Miss, Conclusion::AsReceived, stated);
            };
            if self.rng.u32(..6) == 0 {
                self.learn_commit(&flight, &written, true);
                self.mark_own(Row::WriteUnknown, &flight);
                return self.end(&flight, Outcome::Reset, Conclusion::AsReceived, Stated::default());
            }
            self.learn_commit(&flight, &written, true);
            self.mark_own(Row::WriteAnsweredHere, &flight);
            stated = Stated { position: Some((commit * 1000.0).ceil() / 1000.0), primary: Some(true) };
            return self.end(&flight, Outcome::Ok, Conclusion::AsReceived, stated);
        }
        if streams {
            return self.end(&flight, Outcome::Ok, Conclusion::AsReceived, Stated::default());
        }
        let refuses = self.is_refused(&flight, &written);
        let outcome = match self.rng.u32(..30) {
            _ if refuses => Outcome::Miss,
            0 => Outcome::Reset,
            1 => Outcome::Error,
            _ => Outcome::Ok,
        };
        if outcome == Outcome::Error {
            self.coverage.add(Row::Spoilt);
        }
        let elapsed = self.now - flight.begun_at;
        let conclusion = self.policy.assess_answer(
            &flight.id,
            (flight.attempt, elapsed),
            outcome,
            (stated.position, stated.primary),
        );
        if conclusion == Conclusion::TooOld {
            self.coverage.add(Row::TooOld);
        } else if outcome == Outcome::Ok {
            self.pass_on(&flight, &written, stated);
        }
        self.end(&flight, outcome, conclusion, stated);
    }

    /// Returns true if a member turns a read away, since it checks positions and is behind. It does not know what an
    /// ordinary client's statement requires.
    fn is_refused(&self, flight: &Flight, written: &Written) -> bool {
        let checks = !self.serves_stale && !self.requests[&flight.id].streams;
        checks && !written.primary && written.position < self.known_to_members(flight, written)
    }

    /// The requirement that members know: not what a session wrote through other instances.
    fn known_to_members(&self, flight: &Flight, written: &Written) -> f64 {
        let request = &self.requests[&flight.id];
        if request.class == SESSION {
            return self.commits[request.session].max(request.position.unwrap_or(f64::NEG_INFINITY));
        }
        written.required
    }

    fn mark_own(&mut self, row: Row, flight: &Flight) {
        let session = self.requests[&flight.id].session;
        self.mark(row, |request| request.class == SESSION && request.session == session);
    }

    /// A write has ended: its session's reads must see it if it has committed. One that was called off ended then.
    fn learn_commit(&mut self, flight: &Flight, written: &Written, ended_now: bool) {
        let Some(request) = self.requests.get(&flight.id).filter(|_| ended_now) else { return };
        if let Some(commit) = written.commit {
            let known = &mut self.commits[request.session];
            *known = known.max(commit);
        }
    }

    /// An answer reaches the client: judges it by the promise.
    fn pass_on(&mut self, flight: &Flight, written: &Written, stated: Stated) {
        let Some(request) = self.requests.get_mut(&flight.id) else { return };
        if std::mem::replace(&mut request.answered, true) || request.class == WRITE {
            return;
        }
        let rows = [
            flight.wait,
            match request.class {
                BOUNDED => Row::Bounded,
                BOUNDED_ONCE => Row::BoundedOnce,
                SESSION => Row::Session,
                FRESH => Row::Fresh,
                _ => Row::PassedOn,
            },
            if request.streams { Row::OrdinaryFront } else { Row::PlatformFront },
            if request.position.is_some() { Row::PositionInRequest } else { Row::PassedOn },
            if request.class == SESSION && self.commits_elsewhere[request.session].is_finite() {
                Row::PositionOfPeers
            } else {
                Row::PassedOn
            },
            if request.events.is_empty() { Row::TimeAlone } else { Row::PassedOn },
            if request.withdrawals > 0 && written.primary { Row::EndedAtPrimary } else { Row::PassedOn },
        ];
        let events = request.events.clone();
        rows.into_iter().chain(events).for_each(|row| self.coverage.add(row));
        // What is written to a member that was the primary is excused until an answer has said that it is none. An
        // answer that does not say is held to what is known by then.
        let is_still_primary = stated.primary.unwrap_or_else(|| self.was_primary(flight.member));
        let excused = written.taken_for_primary && is_still_primary;
        if !written.primary && written.position < written.required - POSITION_RESOLUTION && !excused {
            let request = &self.requests[&flight.id];
            self.violations.push(format!(
                "{} (class {}, {:?}): {} answered from {:.4}, needed {:.4}, {:?}, {stated:?}",
                flight.id,
                request.class,
                flight.wait,
                NAMES[flight.member],
                written.position,
                written.required,
                request.events
            ));
        }
    }

    /// Returns true if a member is the primary as far as the policy knows.
    fn was_primary(&self, m: usize) -> bool {
        self.policy.members().any(|(name, _, _, primary)| primary && **name == *NAMES[m])
    }

    fn end(&mut self, flight: &Flight, outcome: Outcome, conclusion: Conclusion, stated: Stated) {
        let Some(request) = self.requests.get_mut(&flight.id) else { return };
        if !request.in_flight.remove(&flight.attempt) {
            return;
        }
        let served = outcome == Outcome::Ok && conclusion == Conclusion::AsReceived;
        request.answered |= served;
        let ended = AttemptEnded {
            id: flight.id.clone(),
            member: NAMES[flight.member].into(),
            attempt: flight.attempt,
            outcome,
            conclusion,
            finished: request.answered,
            elapsed: self.now - flight.begun_at,
            position: stated.position,
            primary: stated.primary,
            report: Report::default(),
        };
        self.handle(Event::AttemptEnded(ended));
    }
}

/// What an answer states of its member.
#[derive(Clone, Copy, Debug, Default)]
struct Stated {
    position: Option<f64>,
    primary: Option<bool>,
}

fn index_of(member: &MemberId) -> usize {
    NAMES.iter().position(|name| **member == **name).expect("a member of the list")
}
