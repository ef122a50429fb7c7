//! The transaction itself: one change at a time goes through its steps, and whatever breaks off on the way
//! leaves the last confirmed generation in force.
//!
//! ```text
//! idle ── proposed ──> staging ── on record ──> applying ── in force ──> probation ── confirmed ──> idle
//!   │                     │                        │                        │
//!   └ refused: nothing    └ no record: nothing     └ not taken: nothing     └ worse, no word, asked: reverted
//! ```

use std::sync::Arc;

use operator::Document;

use crate::check::{is_refused, Finding};
use crate::history::{Entry, Generation, GenerationStatus, History, Record};

/// How often health is looked at during a probation (seconds): a rollback begins this long after what it is
/// for has become sure.
pub const HEALTH_CHECK_INTERVAL: f64 = 0.25;
/// Longest note of an author (bytes); the rest is cut.
pub const MAX_NOTE_BYTES: usize = 200;

/// Whoever waits for what becomes of a call; opaque.
pub type Caller = u64;

/// Who confirms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// The end of a good probation, after so long (seconds).
    Auto(f64),
    /// The operator, within so long (seconds).
    Manual(f64),
}

/// A change that has been read and checked.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Who waits for it.
    pub caller: Option<Caller>,
    /// What it says.
    pub document: Arc<Document>,
    /// Its author's note.
    pub note: String,
    /// Who confirms it.
    pub mode: Mode,
    /// What the check has found.
    pub findings: Vec<Finding>,
    /// Codes of guarded findings that may stand.
    pub allow: Vec<String>,
}

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A change is asked for.
    Propose(Proposal),
    /// A step is on record, or cannot be.
    Persisted {
        /// The number that the step was given.
        step: u64,
        /// Why it cannot be.
        result: Result<(), String>,
    },
    /// A generation is in force as a whole, or nothing of it is.
    Applied {
        /// The generation's number.
        number: u64,
        /// Why it is not.
        result: Result<(), String>,
    },
    /// The operator's word that the change shall stand.
    Confirm {
        /// Who waits for it.
        caller: Option<Caller>,
        /// Only this generation is meant.
        number: Option<u64>,
    },
    /// The operator's word that the change on probation shall not stand.
    Rollback {
        /// Who waits for it.
        caller: Option<Caller>,
    },
    /// Time has passed; what has become worse, if anything.
    Time(Option<String>),
}

/// Why a change was undone.
#[derive(Clone, Debug, PartialEq)]
pub enum RollbackReason {
    /// Health has worsened, by this.
    HealthWorsened(String),
    /// Nobody confirmed it in time.
    NotConfirmed,
    /// The operator asked for it.
    Requested,
    /// A step cannot be put on record.
    RecordFailed(String),
}

impl std::fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RollbackReason::HealthWorsened(what) => write!(f, "health worsened: {what}"),
            RollbackReason::NotConfirmed => f.write_str("not confirmed in time"),
            RollbackReason::Requested => f.write_str("asked for"),
            RollbackReason::RecordFailed(what) => write!(f, "the history cannot be written: {what}"),
        }
    }
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The check stands in the way; nothing has changed.
    Refused(Vec<Finding>),
    /// Another change is not done with; nothing has changed.
    Busy(u64),
    /// It says what is in force already, or on probation: the generation that does.
    Unchanged(u64),
    /// In force, on probation until then (Unix seconds).
    Applied {
        /// The generation.
        number: u64,
        /// The end of its probation.
        until: f64,
    },
    /// It stands.
    Confirmed(u64),
    /// It was undone; which generation holds again, and why.
    RolledBack {
        /// What was undone.
        number: u64,
        /// What holds.
        to: u64,
        /// Why.
        why: RollbackReason,
    },
    /// It could not be taken; nothing has changed.
    NotTaken(String),
    /// There is nothing on probation to confirm or to undo.
    Nothing,
}

/// What the log is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A change is refused, with the codes of what stands in its way.
    Refused(Vec<&'static str>),
    /// On record.
    Staged(u64),
    /// In force, on probation.
    Applied(u64),
    /// It stands.
    Confirmed(u64),
    /// Undone: what, what holds again, why.
    RolledBack(u64, u64, RollbackReason),
    /// Not taken; why.
    NotTaken(u64, String),
}

/// What is to be done, in this order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Put a step on record; its end is told by that number.
    Persist {
        /// The step.
        step: u64,
        /// What goes on record.
        record: Record,
    },
    /// Put a generation in force, as a whole or not at all, and tell which.
    Apply(Arc<Generation>),
    /// Compare health from now on with what it was.
    Watch,
    /// Compare it no more, and let go of what was kept to undo the change.
    EndWatch,
    /// Tell the time at this time.
    Timer(f64),
    /// Answer a caller.
    Reply(Caller, Outcome),
    /// Tell the log.
    Notice(Notice),
}

/// Where a change stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// None is under way.
    Idle,
    /// Being put on record.
    Staging,
    /// Being put in force.
    Applying,
    /// In force, and watched, until then (Unix seconds).
    Probation(f64),
    /// Its confirmation is being put on record.
    Confirming,
    /// Being undone.
    Reverting(RollbackReason),
}

struct Candidate {
    generation: Arc<Generation>,
    mode: Mode,
    /// Who waits to hear that it is in force.
    caller: Option<Caller>,
    /// Who waits to hear of its confirmation, or of its undoing.
    ender: Option<Caller>,
    /// The step that is awaited.
    step: u64,
}

/// One change at a time.
pub struct StateMachine {
    history: History,
    /// The generation that holds whatever breaks off.
    base: Arc<Generation>,
    candidate: Option<Candidate>,
    stage: Stage,
    steps: u64,
}

impl StateMachine {
    /// Nothing under way; `base` is in force and confirmed.
    pub fn new(history: History, base: Arc<Generation>) -> StateMachine {
        StateMachine { history, base, candidate: None, stage: Stage::Idle, steps: 0 }
    }

    /// Where the change under way stands.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// The generation in force.
    pub fn current(&self) -> &Arc<Generation> {
        match (&self.stage, &self.candidate) {
            (Stage::Probation(_) | Stage::Confirming | Stage::Reverting(_), Some(c)) => &c.generation,
            _ => &self.base,
        }
    }

    /// The last confirmed generation.
    pub fn base(&self) -> &Arc<Generation> {
        &self.base
    }

    /// What has been.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// What has been, for people, the newest last: a confirmation that is not on record yet is not told, since whoever
    /// hears of it may propose the next change.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = Entry> + '_ {
        let open = self.candidate.as_ref().map(|candidate| candidate.generation.number);
        self.history.entries().cloned().map(move |entry| {
            let early = entry.fate == GenerationStatus::Confirmed && open == Some(entry.number);
            Entry { fate: if early { GenerationStatus::Applied } else { entry.fate }, ..entry }
        })
    }

    /// Takes one input at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Propose(proposal) => self.propose(now, proposal, out),
            Input::Persisted { step, result } => self.persisted(step, result, out),
            Input::Applied { number, result } => self.applied(now, number, result, out),
            Input::Confirm { caller, number } => self.confirm(caller, number, out),
            Input::Rollback { caller } => {
                if !matches!(self.stage, Stage::Probation(_)) {
                    let busy = self.candidate.as_ref().map(|c| c.generation.number);
                    return reply(caller, busy.map_or(Outcome::Nothing, Outcome::Busy), out);
                }
                if let Some(candidate) = &mut self.candidate {
                    candidate.ender = caller;
                }
                self.revert(RollbackReason::Requested, out);
            }
            Input::Time(worse) => {
                let Stage::Probation(until) = self.stage else { return };
                if let Some(what) = worse {
                    return self.revert(RollbackReason::HealthWorsened(what), out);
                }
                if now < until {
                    return out.push(Action::Timer((now + HEALTH_CHECK_INTERVAL).min(until)));
                }
                match self.candidate.as_ref().map(|candidate| candidate.mode) {
                    Some(Mode::Manual(_)) => self.revert(RollbackReason::NotConfirmed, out),
                    _ => self.seal(out),
                }
            }
        }
    }

    fn propose(&mut self, now: f64, proposal: Proposal, out: &mut Vec<Action>) {
        let Proposal { caller, document, note, mode, findings, allow } = proposal;
        let digest = document.digest();
        if let Some(candidate) = &self.candidate {
            let number = candidate.generation.number;
            let same = candidate.generation.digest == digest && !matches!(self.stage, Stage::Reverting(_));
            return reply(caller, if same { Outcome::Unchanged(number) } else { Outcome::Busy(number) }, out);
        }
        if digest == self.base.digest {
            return reply(caller, Outcome::Unchanged(self.base.number), out);
        }
        if is_refused(&findings, &allow) {
            let codes = findings.iter().map(|finding| finding.code).collect();
            out.push(Action::Notice(Notice::Refused(codes)));
            return reply(caller, Outcome::Refused(findings), out);
        }
        let mut note = note;
        note.truncate((0..=MAX_NOTE_BYTES).rev().find(|at| note.is_char_boundary(*at)).unwrap_or(0));
        let (number, text) = (self.history.next_number(), document.canonical_toml());
        let generation = Arc::new(Generation { number, digest, note: note.clone(), at: now, document });
        self.history.stage(generation.clone());
        self.candidate = Some(Candidate { generation, mode, caller, ender: None, step: 0 });
        self.stage = Stage::Staging;
        self.persist(Record::Staged { number, at: now, note, text }, out);
    }

    /// Puts a step of the candidate on record and awaits that.
    fn persist(&mut self, record: Record, out: &mut Vec<Action>) {
        self.steps += 1;
        // What is staged has been added as it is, without being read back from its text.
        if !matches!(record, Record::Staged { .. }) {
            self.history.apply(&record);
        }
        if let Some(candidate) = &mut self.candidate {
            candidate.step = self.steps;
        }
        out.push(Action::Persist { step: self.steps, record });
    }

    fn persisted(&mut self, step: u64, result: Result<(), String>, out: &mut Vec<Action>) {
        let Some(candidate) = self.candidate.as_mut().filter(|candidate| candidate.step == step) else {
            return;
        };
        let generation = candidate.generation.clone();
        let number = generation.number;
        match (&self.stage, result) {
            (Stage::Staging, Ok(())) => {
                self.stage = Stage::Applying;
                out.push(Action::Notice(Notice::Staged(number)));
                out.push(Action::Apply(generation));
            }
            (Stage::Staging, Err(what)) => {
                self.drop_candidate(format!("the history cannot be written: {what}"), out)
            }
            (Stage::Probation(until), Ok(())) => {
                let until = *until;
                reply(candidate.caller.take(), Outcome::Applied { number, until }, out);
            }
            (Stage::Confirming, Ok(())) => {
                let ender = candidate.ender.take();
                (self.base, self.candidate, self.stage) = (generation, None, Stage::Idle);
                out.push(Action::EndWatch);
                out.push(Action::Notice(Notice::Confirmed(number)));
                reply(ender, Outcome::Confirmed(number), out);
            }
            // What is not on record would not be there after a crash: it does not stand.
            (Stage::Probation(_) | Stage::Confirming, Err(what)) => {
                self.revert(RollbackReason::RecordFailed(what), out)
            }
            _ => {}
        }
    }

    fn applied(&mut self, now: f64, number: u64, result: Result<(), String>, out: &mut Vec<Action>) {
        let Some(candidate) = &self.candidate else { return };
        match &self.stage {
            Stage::Applying if candidate.generation.number == number => match result {
                Ok(()) => {
                    let (Mode::Auto(time) | Mode::Manual(time)) = candidate.mode;
                    self.stage = Stage::Probation(now + time);
                    out.push(Action::Watch);
                    out.push(Action::Notice(Notice::Applied(number)));
                    out.push(Action::Timer(now + time.min(HEALTH_CHECK_INTERVAL)));
                    self.persist(Record::Applied { number }, out);
                }
                Err(what) => self.drop_candidate(what, out),
            },
            Stage::Reverting(why) if self.base.number == number => {
                let why = match result {
                    Ok(()) => why.clone(),
                    // The old one cannot be had back: told, since the new one would be no better.
                    Err(what) => RollbackReason::RecordFailed(format!(
                        "{why}; and part of the old one is not back: {what}"
                    )),
                };
                let Some(candidate) = self.candidate.take() else { return };
                let (undone, to) = (candidate.generation.number, self.base.number);
                self.stage = Stage::Idle;
                self.persist(Record::RolledBack { number: undone, why: why.to_string() }, out);
                out.push(Action::EndWatch);
                out.push(Action::Notice(Notice::RolledBack(undone, to, why.clone())));
                let outcome = Outcome::RolledBack { number: undone, to, why };
                reply(candidate.caller, outcome.clone(), out);
                reply(candidate.ender, outcome, out);
            }
            _ => {}
        }
    }

    /// The candidate never came into force.
    fn drop_candidate(&mut self, what: String, out: &mut Vec<Action>) {
        let Some(candidate) = self.candidate.take() else { return };
        let number = candidate.generation.number;
        self.stage = Stage::Idle;
        self.persist(Record::RolledBack { number, why: what.clone() }, out);
        out.push(Action::Notice(Notice::NotTaken(number, what.clone())));
        reply(candidate.caller, Outcome::NotTaken(what), out);
    }

    fn confirm(&mut self, caller: Option<Caller>, number: Option<u64>, out: &mut Vec<Action>) {
        let Some(candidate) = &mut self.candidate else { return reply(caller, Outcome::Nothing, out) };
        let own = candidate.generation.number;
        if number.is_some_and(|number| number != own) || !matches!(self.stage, Stage::Probation(_)) {
            return reply(caller, Outcome::Busy(own), out);
        }
        candidate.ender = caller;
        self.seal(out);
    }

    /// Puts the confirmation on record; the change stands once that is done.
    fn seal(&mut self, out: &mut Vec<Action>) {
        let Some(candidate) = &mut self.candidate else { return };
        let number = candidate.generation.number;
        // Who still waits for word that it is in force hears of the end instead.
        if candidate.ender.is_none() {
            candidate.ender = candidate.caller.take();
        }
        self.stage = Stage::Confirming;
        self.persist(Record::Confirmed { number }, out);
    }

    fn revert(&mut self, why: RollbackReason, out: &mut Vec<Action>) {
        self.stage = Stage::Reverting(why);
        out.push(Action::Apply(self.base.clone()));
    }
}

fn reply(caller: Option<Caller>, outcome: Outcome, out: &mut Vec<Action>) {
    out.extend(caller.map(|caller| Action::Reply(caller, outcome)));
}
