//! State machine of a transaction: one change at a time goes through the stages. A change that fails in any
//! stage leaves the last confirmed generation in force.
//!
//! ```text
//! idle ── proposed ──> staging ── recorded ──> applying ── in force ──> probation ── confirmed ──> idle
//!   │                     │                       │                        │
//!   └ refused             └ not recorded          └ not applied            └ reverting: worse, not confirmed,
//!                                                                            or rollback requested
//! ```

use std::sync::Arc;

use operator::Document;

use crate::check::{is_refused, Finding};
use crate::history::{Entry, Generation, GenerationStatus, History, Record};

/// Interval of health checks during a probation (seconds): a rollback begins at most this long after a
/// regression has become significant.
pub const HEALTH_CHECK_INTERVAL: f64 = 0.25;
/// Maximum length of a note (bytes); longer ones are truncated.
pub const MAX_NOTE_BYTES: usize = 200;

/// Opaque id of a caller that waits for the outcome of a call.
pub type Caller = u64;

/// How a change is confirmed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Automatically, at the end of a probation of this length (seconds) without a regression.
    Auto(f64),
    /// By the operator, within this time (seconds).
    Manual(f64),
}

/// A change that has been read and checked.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Caller that waits for the outcome.
    pub caller: Option<Caller>,
    /// The proposed document.
    pub document: Arc<Document>,
    /// Note of the author.
    pub note: String,
    /// How the change is confirmed.
    pub mode: Mode,
    /// Findings of the check.
    pub findings: Vec<Finding>,
    /// Codes of guarded findings that are allowed.
    pub allow: Vec<String>,
}

/// Input events.
#[derive(Clone, Debug)]
pub enum Input {
    /// A change is proposed.
    Propose(Proposal),
    /// A step has been recorded, or recording it has failed.
    Persisted {
        /// Number of the step, as in [`Action::Persist`].
        step: u64,
        /// Error if the step was not recorded.
        result: Result<(), String>,
    },
    /// A generation has been put in force completely, or not at all.
    Applied {
        /// Number of the generation.
        number: u64,
        /// Error if the generation was not applied.
        result: Result<(), String>,
    },
    /// The operator confirms the change on probation.
    Confirm {
        /// Caller that waits for the outcome.
        caller: Option<Caller>,
        /// Confirm this generation only, if given.
        number: Option<u64>,
    },
    /// The operator requests the rollback of the change on probation.
    Rollback {
        /// Caller that waits for the outcome.
        caller: Option<Caller>,
    },
    /// Time has passed; carries the description of a regression, if there is one.
    Time(Option<String>),
}

/// Reason of a rollback.
#[derive(Clone, Debug, PartialEq)]
pub enum RollbackReason {
    /// Health has worsened, as described.
    HealthWorsened(String),
    /// The change was not confirmed in time.
    NotConfirmed,
    /// The operator requested the rollback.
    Requested,
    /// A step could not be recorded.
    RecordFailed(String),
}

impl std::fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RollbackReason::HealthWorsened(what) => write!(f, "health worsened: {what}"),
            RollbackReason::NotConfirmed => f.write_str("not confirmed in time"),
            RollbackReason::Requested => f.write_str("requested by the operator"),
            RollbackReason::RecordFailed(error) => write!(f, "the history cannot be written: {error}"),
        }
    }
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The check refuses the change; nothing has changed.
    Refused(Vec<Finding>),
    /// The change with this number is in progress; nothing has changed.
    Busy(u64),
    /// The document is that of this generation, which is in force or in progress already.
    Unchanged(u64),
    /// The change is in force, on probation.
    Applied {
        /// Number of the generation.
        number: u64,
        /// End of the probation (Unix seconds).
        until: f64,
    },
    /// The generation is confirmed.
    Confirmed(u64),
    /// The change was rolled back.
    RolledBack {
        /// Generation that was rolled back.
        number: u64,
        /// Generation in force again.
        to: u64,
        /// Reason of the rollback.
        why: RollbackReason,
    },
    /// The change could not be recorded or applied; nothing has changed.
    NotTaken(String),
    /// No change is in progress that could be confirmed or rolled back.
    Nothing,
}

/// Events for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A change was refused, with the codes of its findings.
    Refused(Vec<&'static str>),
    /// The generation is recorded.
    Staged(u64),
    /// The generation is in force, on probation.
    Applied(u64),
    /// The generation is confirmed.
    Confirmed(u64),
    /// A generation was rolled back; the generation in force again; the reason.
    RolledBack(u64, u64, RollbackReason),
    /// The generation could not be recorded or applied, for this reason.
    NotTaken(u64, String),
}

/// Actions for the driver, in this order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Record a step, and report the result by [`Input::Persisted`].
    Persist {
        /// Number of the step.
        step: u64,
        /// Content of the step.
        record: Record,
    },
    /// Put a generation in force, completely or not at all, and report the result by [`Input::Applied`].
    Apply(Arc<Generation>),
    /// Start comparing health with the time before the change.
    Watch,
    /// Stop comparing health, and release what was retained for a rollback.
    EndWatch,
    /// Call again with [`Input::Time`] at this time.
    Timer(f64),
    /// Answer a caller.
    Reply(Caller, Outcome),
    /// Log an event.
    Notice(Notice),
}

/// Stage of the change in progress.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// No change is in progress.
    Idle,
    /// The change is being recorded.
    Staging,
    /// The change is being put in force.
    Applying,
    /// The change is in force; its health is compared until this time (Unix seconds).
    Probation(f64),
    /// The confirmation is being recorded.
    Confirming,
    /// The change is being rolled back, for this reason.
    Reverting(RollbackReason),
}

struct Candidate {
    generation: Arc<Generation>,
    mode: Mode,
    /// Caller that waits until the change is in force.
    caller: Option<Caller>,
    /// Caller that waits for the confirmation or the rollback.
    end_caller: Option<Caller>,
    /// Number of the step whose result is awaited.
    step: u64,
}

/// State machine of configuration changes, one at a time.
pub struct StateMachine {
    history: History,
    /// The last confirmed generation, which stays in force if a change fails.
    base: Arc<Generation>,
    candidate: Option<Candidate>,
    stage: Stage,
    steps: u64,
}

impl StateMachine {
    /// Starts with no change in progress; `base` is in force and confirmed.
    pub fn new(history: History, base: Arc<Generation>) -> StateMachine {
        StateMachine { history, base, candidate: None, stage: Stage::Idle, steps: 0 }
    }

    /// Stage of the change in progress.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Returns the generation in force.
    pub fn current(&self) -> &Arc<Generation> {
        match (&self.stage, &self.candidate) {
            (Stage::Probation(_) | Stage::Confirming | Stage::Reverting(_), Some(c)) => &c.generation,
            _ => &self.base,
        }
    }

    /// Returns the last confirmed generation.
    pub fn base(&self) -> &Arc<Generation> {
        &self.base
    }

    /// History of the generations.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Entries of the history for operators, the newest last. A confirmation that is not recorded yet is
    /// shown as applied, since an operator who sees it may propose the next change, which would be refused as
    /// busy.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = Entry> + '_ {
        let open = self.candidate.as_ref().map(|candidate| candidate.generation.number);
        self.history.entries().cloned().map(move |entry| {
            let unrecorded = entry.fate == GenerationStatus::Confirmed && open == Some(entry.number);
            Entry { fate: if unrecorded { GenerationStatus::Applied } else { entry.fate }, ..entry }
        })
    }

    /// Handles one input at the time `now` and appends the actions to `out`.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Propose(proposal) => self.propose(now, proposal, out),
            Input::Persisted { step, result } => self.on_persisted(step, result, out),
            Input::Applied { number, result } => self.on_applied(now, number, result, out),
            Input::Confirm { caller, number } => self.confirm(caller, number, out),
            Input::Rollback { caller } => {
                if !matches!(self.stage, Stage::Probation(_)) {
                    let in_progress = self.candidate.as_ref().map(|c| c.generation.number);
                    return reply(caller, in_progress.map_or(Outcome::Nothing, Outcome::Busy), out);
                }
                if let Some(candidate) = &mut self.candidate {
                    candidate.end_caller = caller;
                }
                self.revert(RollbackReason::Requested, out);
            }
            Input::Time(worse) => {
                let Stage::Probation(until) = self.stage else { return };
                if let Some(regression) = worse {
                    return self.revert(RollbackReason::HealthWorsened(regression), out);
                }
                if now < until {
                    return out.push(Action::Timer((now + HEALTH_CHECK_INTERVAL).min(until)));
                }
                match self.candidate.as_ref().map(|candidate| candidate.mode) {
                    Some(Mode::Manual(_)) => self.revert(RollbackReason::NotConfirmed, out),
                    _ => self.record_confirmation(out),
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
        self.candidate = Some(Candidate { generation, mode, caller, end_caller: None, step: 0 });
        self.stage = Stage::Staging;
        self.persist(Record::Staged { number, at: now, note, text }, out);
    }

    /// Records a step of the candidate; its result is awaited.
    fn persist(&mut self, record: Record, out: &mut Vec<Action>) {
        self.steps += 1;
        // A staged generation is in the history already, without being parsed from its text.
        if !matches!(record, Record::Staged { .. }) {
            self.history.apply(&record);
        }
        if let Some(candidate) = &mut self.candidate {
            candidate.step = self.steps;
        }
        out.push(Action::Persist { step: self.steps, record });
    }

    fn on_persisted(&mut self, step: u64, result: Result<(), String>, out: &mut Vec<Action>) {
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
            (Stage::Staging, Err(error)) => {
                self.drop_candidate(format!("the history cannot be written: {error}"), out)
            }
            (Stage::Probation(until), Ok(())) => {
                let until = *until;
                reply(candidate.caller.take(), Outcome::Applied { number, until }, out);
            }
            (Stage::Confirming, Ok(())) => {
                let end_caller = candidate.end_caller.take();
                (self.base, self.candidate, self.stage) = (generation, None, Stage::Idle);
                out.push(Action::EndWatch);
                out.push(Action::Notice(Notice::Confirmed(number)));
                reply(end_caller, Outcome::Confirmed(number), out);
            }
            // A step that is not recorded would be lost in a crash, so the change is rolled back.
            (Stage::Probation(_) | Stage::Confirming, Err(error)) => {
                self.revert(RollbackReason::RecordFailed(error), out)
            }
            _ => {}
        }
    }

    fn on_applied(&mut self, now: f64, number: u64, result: Result<(), String>, out: &mut Vec<Action>) {
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
                Err(error) => self.drop_candidate(error, out),
            },
            Stage::Reverting(why) if self.base.number == number => {
                let why = match result {
                    Ok(()) => why.clone(),
                    // The old generation could not be restored completely: the reason states this.
                    Err(error) => RollbackReason::RecordFailed(format!(
                        "{why}; and part of the old generation could not be restored: {error}"
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
                reply(candidate.end_caller, outcome, out);
            }
            _ => {}
        }
    }

    /// Drops a candidate that could not be recorded or applied.
    fn drop_candidate(&mut self, error: String, out: &mut Vec<Action>) {
        let Some(candidate) = self.candidate.take() else { return };
        let number = candidate.generation.number;
        self.stage = Stage::Idle;
        self.persist(Record::RolledBack { number, why: error.clone() }, out);
        out.push(Action::Notice(Notice::NotTaken(number, error.clone())));
        reply(candidate.caller, Outcome::NotTaken(error), out);
    }

    fn confirm(&mut self, caller: Option<Caller>, number: Option<u64>, out: &mut Vec<Action>) {
        let Some(candidate) = &mut self.candidate else { return reply(caller, Outcome::Nothing, out) };
        let candidate_number = candidate.generation.number;
        if number.is_some_and(|number| number != candidate_number)
            || !matches!(self.stage, Stage::Probation(_))
        {
            return reply(caller, Outcome::Busy(candidate_number), out);
        }
        candidate.end_caller = caller;
        self.record_confirmation(out);
    }

    /// Records the confirmation; the change is confirmed once that has succeeded.
    fn record_confirmation(&mut self, out: &mut Vec<Action>) {
        let Some(candidate) = &mut self.candidate else { return };
        let number = candidate.generation.number;
        // A caller that still waits for the change to be in force is answered with its end instead.
        if candidate.end_caller.is_none() {
            candidate.end_caller = candidate.caller.take();
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
