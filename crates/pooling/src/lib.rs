//! Sessions of ordinary PostgreSQL clients over shared server connections. No I/O: messages go in, messages
//! and requested actions come out.
//!
//! [`Session`] is one client's session: it requests a server connection when it needs one, synchronizes the
//! connection's settings with the session's, forwards messages, and releases the connection when no state of
//! the session depends on it. [`ServerSessionState`] is the tracked state of a server connection,
//! [`SettingsTracker`] follows the settings of both through transactions, and [`Pools`] decides when a
//! connection is opened, reused or closed, and who waits for one.
#![warn(missing_docs)]

mod expected;
mod owed;
mod pool;
mod prepared;
mod server_state;
mod session;
mod settings;
mod stateless;

pub use pool::{Acquisition, Key, PoolLimits, Pools};
pub use server_state::{PreparedStatement, ServerSessionState, StatementDigest};
pub use session::{can_run_on_replica, Action, DetachReason, Disposition, Mode, ServerRequest, Session};
pub use settings::{Effect, SettingsTracker};
pub use stateless::StatelessFunctions;
