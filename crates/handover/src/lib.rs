//! Handover of a running pooler to its successor without a gap in service. Both processes hold the same
//! listening socket, and at most one of them accepts clients at any time. [`Predecessor`] (in the running
//! process) and [`Successor`] (in the new one) are state machines without I/O. They exchange [`Message`]s,
//! and the predecessor passes on its observed state as a [`Snapshot`].
#![warn(missing_docs)]

mod message;
mod predecessor;
mod snapshot;
mod successor;

pub use message::{Message, MAX_LINE_BYTES};
pub use predecessor::{Predecessor, PredecessorAction, PredecessorEvent};
pub use snapshot::{
    KnownState, ListedMember, Member, Snapshot, SnapshotError, MAX_SNAPSHOT_BYTES, OLDEST_READABLE_VERSION,
    VERSION,
};
pub use successor::{Successor, SuccessorAction, SuccessorEvent, Trial};

/// How long one side waits for the next message of the other, except during the trial (seconds). A successor
/// that is not ready by then has failed.
pub const ANSWER_TIMEOUT: f64 = 10.0;
