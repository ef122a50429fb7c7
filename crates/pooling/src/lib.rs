//! Sessions of ordinary PostgreSQL clients over server connections that they share. No I/O: messages go in, messages
//! and wishes come out.
//!
//! [`Session`] is one client's session: it asks for a server when it needs one, brings the server's connection to the
//! session's state, passes messages on, and lets go of it when nothing of the session hangs on it.
//! [`ServerSessionState`] is what is known of a server connection's state, [`SettingsTracker`] the settings of both
//! through transactions, [`Pools`] says when a connection is opened, used again, waited for or closed.
#![warn(missing_docs)]

mod pool;
mod remote;
mod session;
mod vars;

pub use pool::{Acquisition, Key, PoolLimits, Pools};
pub use remote::{PreparedStatement, ServerSessionState, StatementDigest};
pub use session::{can_run_on_replica, Action, DetachReason, Disposition, Mode, ServerRequest, Session};
pub use vars::{Effect, SettingsTracker};
