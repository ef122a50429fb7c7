//! Stand-ins for the services around a pooler.

mod databases;
mod discovery;

pub use databases::DatabaseServers;
pub use discovery::Discovery;
