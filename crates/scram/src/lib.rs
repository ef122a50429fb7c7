//! SCRAM-SHA-256 (RFC 5802, RFC 7677) as PostgreSQL speaks it, from the server's side and the client's; verifiers and
//! files of them; how long a guesser has to wait. No I/O: texts go in and come out, nonces are handed in.
#![warn(missing_docs)]

mod channel;
mod client;
mod guess;
mod server;
mod users;
mod verifier;

pub use channel::ChannelBinding;
pub use client::Client;
pub use guess::FailedLogins;
pub use server::{ScramError, Server};
pub use users::{Users, MAX_FILE_BYTES};
pub use verifier::{InvalidVerifier, Verifier, DEFAULT_ITERATIONS};

/// The mechanism's name.
pub const MECHANISM: &str = "SCRAM-SHA-256";
/// The name of the same mechanism with the login bound to the TLS connection.
pub const MECHANISM_PLUS: &str = "SCRAM-SHA-256-PLUS";
