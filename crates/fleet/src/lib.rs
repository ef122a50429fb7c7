//! Looks after many instances of a daemon on one machine: when each is started, started again, or left alone because it
//! does not come up; how all are replaced a batch at a time, and how that is stopped and undone where it does harm. No
//! I/O: the driver tells what happens and the time, and starts and ends processes.
#![warn(missing_docs)]

mod supervisor;

pub use supervisor::{Action, Health, Input, Release, State, Supervisor, SupervisorConfig};
