//! Pipelines of a client, a server that answers them, and a judge of what the client receives.

pub mod client;
pub mod judge;
pub mod server;
