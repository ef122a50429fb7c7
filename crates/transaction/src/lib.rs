//! Changes of configuration as transactions: read, check, stage, apply, watch, confirm or roll back.
//!
//! No I/O and no clock: [`Machine`] is fed proposals, ends of steps and the time, and answers with actions;
//! [`check`] looks at what a change would do to the members and the traffic of now; [`Health`] compares what
//! follows a change with what went before it; [`Roster`] keeps what the list tells apart from what the
//! operator wants; [`History`] is what the steps on record add up to.
#![warn(missing_docs)]

mod check;
mod health;
mod history;
mod machine;
mod roster;

pub use check::{check, refused, Finding, MemberView, Severity, View, SPARES};
pub use health::{Bad, Health, Judged, Rules, Verdict, MOST_CELLS};
pub use history::{Entry, Fate, Generation, History, Record, Start, MOST_ENTRIES};
pub use machine::{
    Action, Caller, Input, Machine, Mode, Notice, Outcome, Proposal, Stage, Why, LONGEST_NOTE, TURN,
};
pub use roster::Roster;
