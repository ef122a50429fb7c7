//! State that instances share about sessions, members and each other (docs/replication.md). A state machine
//! without I/O: datagrams, local events and the time go in; datagrams and answers come out.
//!
//! Each instance publishes facts in a log of its own, with its own numbering, and every other instance keeps
//! a copy of that log. No instance publishes another's facts in its own log, so the author of a fact is
//! always the instance that observed it. All times are seconds on one monotonic clock that the caller
//! supplies.
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
