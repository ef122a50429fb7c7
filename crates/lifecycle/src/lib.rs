//! Lifecycle of a pooler: starting, ready, reloading, draining, closing, ended. Decides what each stage waits
//! for, how long it may take, what the service manager is notified of, and how pending requests are answered
//! at shutdown. No I/O: the driver passes in events and the time, and carries out the actions.
#![warn(missing_docs)]

mod machine;
pub mod notify;

pub use machine::{Action, Input, Limits, Pending, Stage, StateMachine};

/// Exited with no pending replies.
pub const EXIT_CLEAN: u8 = 0;
/// Exited by a signal or a time limit with replies still pending; the log lists them.
pub const EXIT_PENDING: u8 = 4;
