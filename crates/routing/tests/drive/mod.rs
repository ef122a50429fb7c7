//! Shared by the scenarios: a policy that is driven by events, and queries on its actions.
#![allow(dead_code)] // Each test file uses a part of it.

use routing::interface::*;
use routing::Policy;

/// Drives one policy and records its actions.
pub struct Drive {
    pub policy: Policy,
    pub now: f64,
    pub actions: Vec<Action>,
    pub timers: Vec<(f64, u64)>,
}

pub fn class(consistency: Consistency, effect: Effect) -> Class {
    Class { aim: 0.5, deadline: 2.0, dedup_window: 1.2, effect, value: 1.0, consistency, ..Class::default() }
}

/// Classes: 0 write (keyed, late worth), 1 bounded to 0.5 s, 2 session, 3 any, 4 fresh, 5 unsafe write.
pub fn settings() -> Settings {
    let write = Class { late_worth: 0.3, ..class(Consistency::Write, Effect::Keyed) };
    Settings {
        classes: vec![
            write,
            class(Consistency::Bounded(0.5), Effect::Safe),
            class(Consistency::Session, Effect::Safe),
            class(Consistency::Any, Effect::Safe),
            class(Consistency::Fresh, Effect::Safe),
            class(Consistency::Write, Effect::Unsafe),
        ],
        ..Settings::default()
    }
}

pub fn entry(member: &str, zone: u32, primary: bool) -> Entry {
    Entry { member: member.into(), zone, primary, ..Entry::default() }
}

impl Drive {
    /// Primary "p" and replica "r" in the home zone, replica "far" in another one.
    pub fn new(settings: Settings) -> Drive {
        Drive::seeded(settings, 1)
    }

    /// The same with another seed.
    pub fn seeded(settings: Settings, seed: u64) -> Drive {
        let mut drive = Drive {
            policy: Policy::new(settings, seed).unwrap(),
            now: 100.0,
            actions: Vec::new(),
            timers: Vec::new(),
        };
        drive.list(ListKind::Saved, vec![entry("p", 0, true), entry("r", 0, false), entry("far", 1, false)]);
        drive
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { at, cookie } = action {
                self.timers.push((*at, *cookie));
            }
        }
        self.actions.extend(out.iter().cloned());
        out
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<Entry>) -> Vec<Action> {
        self.handle(Event::Members { kind, entries })
    }

    /// Advances the time and fires the timers that come due.
    pub fn advance(&mut self, seconds: f64) -> Vec<Action> {
        let (end, from) = (self.now + seconds, self.actions.len());
        while let Some(next) =
            (0..self.timers.len()).min_by(|&a, &b| self.timers[a].0.total_cmp(&self.timers[b].0))
        {
            if self.timers[next].0 > end {
                break;
            }
            let (at, cookie) = self.timers.swap_remove(next);
            self.now = self.now.max(at);
            self.handle(Event::Timer { cookie });
        }
        self.now = end;
        self.actions[from..].to_vec()
    }

    pub fn request(&mut self, id: &str, class: usize) -> Vec<Action> {
        self.handle(Event::arrival(id, class, 0, 1.8))
    }

    pub fn ended(&mut self, id: &str, member: &str, attempt: usize, outcome: Outcome) -> Vec<Action> {
        self.ended_with(id, member, attempt, outcome, None, None)
    }

    pub fn ended_with(
        &mut self,
        id: &str,
        member: &str,
        attempt: usize,
        outcome: Outcome,
        primary: Option<bool>,
        position: Option<f64>,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnded {
            id: id.into(),
            member: member.into(),
            attempt,
            outcome,
            conclusion: Conclusion::AsReceived,
            finished: outcome == Outcome::Ok,
            elapsed: 0.05,
            position,
            primary,
            report: Report::default(),
        }))
    }

    /// Ends an attempt after `elapsed` seconds; an `Ok` answer is the primary's.
    pub fn ended_after(
        &mut self,
        id: &str,
        member: &str,
        attempt: usize,
        outcome: Outcome,
        elapsed: f64,
    ) -> Vec<Action> {
        let answered = outcome == Outcome::Ok;
        self.handle(Event::AttemptEnded(AttemptEnded {
            id: id.into(),
            member: member.into(),
            attempt,
            outcome,
            conclusion: Conclusion::AsReceived,
            finished: answered,
            elapsed,
            position: None,
            primary: answered.then_some(true),
            report: Report::default(),
        }))
    }

    /// Answers the first attempt of a request as the primary, after `elapsed` seconds.
    pub fn served_after(&mut self, id: &str, member: &str, elapsed: f64) -> Vec<Action> {
        self.ended_after(id, member, 0, Outcome::Ok, elapsed)
    }

    /// Reports the replica's position as of now.
    pub fn report_fresh(&mut self, member: &str) {
        let report = Report { position: Some(self.now), primary: Some(false) };
        self.handle(Event::ProbeEnded { member: member.into(), outcome: Outcome::Ok, report });
    }
}

/// A request of the session "s".
pub fn of_session(id: &str, class: usize) -> Event {
    let Event::Arrival(mut arrival) = Event::arrival(id, class, 0, 1.0) else { unreachable!() };
    arrival.session = Some("s".into());
    Event::Arrival(arrival)
}

pub fn sent(actions: &[Action]) -> Vec<&str> {
    actions
        .iter()
        .filter_map(|a| if let Action::Send { member, .. } = a { Some(&**member) } else { None })
        .collect()
}

pub fn finals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).count()
}
