//! What one instance knows and others need, kept among the instances (docs/replication.md). A state machine without
//! I/O: datagrams, what this instance does and the time go in; datagrams and answers come out.
//!
//! Each instance states facts in a log of its own, numbered by itself, and every other keeps a copy of it. Nobody
//! passes on what another has stated, so that who states a fact is always who knows it. All times are seconds on one
//! clock that the caller supplies and that never goes back.
#![warn(missing_docs)]

pub mod auth;
pub mod disk;
pub mod fact;
pub mod log;
pub mod merge;
pub mod message;
pub mod node;
pub mod reports;
pub mod status;
pub mod view;

pub use auth::Keys;
pub use fact::Fact;
pub use membership::{Identity, State, MAX_INSTANCES};
pub use node::{Node, NodeConfig, Notice, ReadRequirement, Ticket};
