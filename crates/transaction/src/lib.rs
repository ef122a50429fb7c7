//! Configuration changes as transactions: read, check, stage, apply, watch, confirm or roll back.
//!
//! No I/O and no clock: [`StateMachine`] takes proposals, results of steps and the time, and returns actions;
//! [`check`] determines the effect of a change on the current members and traffic; [`Health`] compares the
//! answers after a change with those before it; [`Roster`] stores the list separately from the operator's
//! overrides; [`History`] is the state that results from the recorded steps.
#![warn(missing_docs)]

mod check;
mod health;
mod history;
mod machine;
mod memory;
mod roster;

pub use check::{check, is_refused, Finding, LiveMember, LiveState, Severity, RESERVED_DESCRIPTORS};
pub use health::{Health, HealthRules, Regression, RequestFailure, Verdict, MAX_CELLS};
pub use history::{Entry, Generation, GenerationStatus, History, Record, StartupPlan, MAX_ENTRIES};
pub use machine::{
    Action, Caller, Input, Mode, Notice, Outcome, Proposal, RollbackReason, Stage, StateMachine,
    HEALTH_CHECK_INTERVAL, MAX_NOTE_BYTES,
};
pub use memory::buffer_bytes;
pub use roster::Roster;
