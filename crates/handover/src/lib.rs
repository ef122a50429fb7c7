//! A daemon handed over to its successor without a gap. Both hold the same listening socket; at each moment one of them
//! takes in clients. Two machines without I/O: [`Giver`] in the daemon that runs, [`Taker`] in the one that comes;
//! [`Say`] is what they tell each other, [`Snapshot`] what the one knows.
#![warn(missing_docs)]

mod giver;
mod message;
mod snapshot;
mod taker;

pub use giver::{Act, Giver, Heard};
pub use message::{Say, LONGEST_LINE};
pub use snapshot::{Fault, Known, Member, Place, Snapshot, LONGEST, OLDEST, VERSION};
pub use taker::{Do, Seen, Taker, Trial};

/// How long one side waits for the next word of the other, the trial apart (seconds). A successor that has not come up
/// by then is given up.
pub const PATIENCE: f64 = 10.0;
