//! SCRAM-SHA-256 (RFC 5802, RFC 7677) as PostgreSQL uses it, for server and client; verifiers and files of
//! them; delays after failed logins. No I/O: texts go in and come out, and the caller supplies nonces.
#![warn(missing_docs)]

mod channel;
mod client;
mod failed_logins;
mod server;
mod users;
mod verifier;

pub use channel::ChannelBinding;
pub use client::Client;
pub use failed_logins::FailedLogins;
pub use server::{ScramError, Server};
pub use users::{Users, MAX_FILE_BYTES};
pub use verifier::{InvalidVerifier, Verifier, DEFAULT_ITERATIONS};

/// Name of the SASL mechanism.
pub const MECHANISM: &str = "SCRAM-SHA-256";
/// Name of the SASL mechanism with channel binding.
pub const MECHANISM_PLUS: &str = "SCRAM-SHA-256-PLUS";
