//! Decides where each read and write of a replicated database goes. It does no I/O: a pooler passes events
//! and the time to [`Policy`], and carries out the actions that it returns. [`interface`] has the types of
//! both.
//!
//! ```
//! use routing::interface::{Action, Entry, Event, ListKind, Phase, Settings};
//! use routing::Policy;
//!
//! let mut policy = Policy::new(Settings::default(), 7).expect("the defaults are in range");
//! let mut actions = Vec::new();
//! let entry = Entry { member: "10.0.0.1:9000".into(), phase: Phase::Active, primary: true, ..Entry::default() };
//! policy.handle(0.0, Event::Members { kind: ListKind::Saved, entries: vec![entry] }, &mut actions);
//! policy.handle(0.1, Event::arrival("r1", 0, 0, 1.0), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! ```
#![warn(missing_docs)]

mod check;
mod demand;
mod deposed;
mod effect;
mod failure_detection;
mod freshness;
mod guard;
pub mod interface;
mod latency;
mod list_requests;
mod load;
mod member_choice;
mod messages;
mod observed_state;
mod outcome;
mod own_writes;
pub mod peer_reports;
pub mod permission;
mod policy;
mod probing;
mod queue;
mod read_checks;
mod reconfigure;
mod relative_latency;
mod share;
mod slow_start;
mod state;
mod thresholds;
mod withdrawal;

pub use check::{check, SettingsError};
pub use observed_state::ObservedState;
pub use policy::Policy;
