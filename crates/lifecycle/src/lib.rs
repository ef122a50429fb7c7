//! A daemon's life: starting, ready, reloading, draining, closing, ended. What each stage waits for, how long it may
//! take, what a service manager is told, and what becomes of those to whom an answer is owed when it ends. No I/O:
//! the driver tells what happens and the time, and carries out the actions.
#![warn(missing_docs)]

mod machine;
pub mod notify;

pub use machine::{Action, Input, Limits, Pending, Stage, StateMachine};

/// Ended with nothing owed.
pub const EXIT_CLEAN: u8 = 0;
/// Ended by a signal or a time limit while answers were owed; the log lists them.
pub const EXIT_PENDING: u8 = 4;
