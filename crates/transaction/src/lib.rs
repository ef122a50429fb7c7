//! Changes of configuration as transactions: read, check, stage, apply, watch, confirm or roll back.
//!
//! No I/O and no clock: [`StateMachine`] is fed proposals, ends of steps and the time, and answers with actions;
//! [`check`] looks at what a change would do to the members and the traffic of now; [`Health`] compares what
//! follows a change with what went before it; [`Roster`] keeps what the list tells apart from what the
//! operator wants; [`History`] is what the steps on record add up to.
#![warn(missing_docs)]

mod check;
mod health;
mod history;
mod machine;
mod roster;

pub use check::{check, is_refused, Finding, LiveMember, LiveState, Severity, RESERVED_DESCRIPTORS};
pub use health::{Health, HealthRules, Regression, RequestFailure, Verdict, MAX_CELLS};
pub use history::{Entry, Generation, GenerationStatus, History, Record, StartupPlan, MAX_ENTRIES};
pub use machine::{
    Action, Caller, Input, Mode, Notice, Outcome, Proposal, RollbackReason, Stage, StateMachine,
    HEALTH_CHECK_INTERVAL, MAX_NOTE_BYTES,
};
pub use roster::Roster;
