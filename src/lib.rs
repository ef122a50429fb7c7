//! dewferry is a pooler that decides where each read and write of a replicated database goes, and sends it
//! there. [`cli`] runs it; the network code behind that is private.
//!
//! [`Policy`] takes every decision; [`interface`] holds the types it speaks in. A proxy feeds it
//! events and carries out the actions it gets back:
//!
//! ```
//! use dewferry::interface::{Action, Entry, Event, ListKind, Phase, Settings};
//! use dewferry::Policy;
//!
//! let mut policy = Policy::new(Settings::default(), 7).expect("the defaults are in range");
//! let mut actions = Vec::new();
//! let entry = Entry { member: "10.0.0.1:9000".into(), phase: Phase::Active, primary: true, ..Entry::default() };
//! policy.handle(0.0, Event::Members { kind: ListKind::Saved, entries: vec![entry] }, &mut actions);
//! policy.handle(0.1, Event::arrival("r1", 0, 0, 1.0), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;
pub mod cli;
pub mod config;
mod counters;
pub mod interface;
mod net;
mod policy;
mod state;

pub use check::SettingsError;
pub use policy::Policy;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
