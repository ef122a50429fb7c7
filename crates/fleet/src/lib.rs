//! Supervises many pooler instances on one host: decides when each is started or restarted, and when it is
//! given up because it keeps crashing. Rolling updates replace all instances a batch at a time, and are
//! stopped and undone if they do harm. No I/O: the driver passes in events and the time, and starts and stops
//! processes.
#![warn(missing_docs)]

mod supervisor;

pub use supervisor::{Action, Health, Input, Release, State, Supervisor, SupervisorConfig};
