//! A daemon handed over to its successor without a gap. Both hold the same listening socket; at each moment one of them
//! takes in clients. Two machines without I/O: [`Predecessor`] in the daemon that runs, [`Successor`] in the one that comes;
//! [`Message`] is what they tell each other, [`Snapshot`] what the one knows.
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

/// How long one side waits for the next word of the other, the trial apart (seconds). A successor that has not come up
/// by then is given up.
pub const ANSWER_TIMEOUT: f64 = 10.0;
