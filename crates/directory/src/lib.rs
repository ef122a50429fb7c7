//! A session directory: records which pooler owns a session. A few control instances keep the records, under
//! leases (docs/session-directory.md). State machines without I/O: datagrams, requests and the time are
//! inputs; datagrams and answers are outputs.
//!
//! - [`Client`] runs in a pooler: it holds leases, claims sessions that arrive and hands over those that move
//!   to another pooler.
//! - [`Replica`] runs in a control instance: it is a member of several groups, each of which keeps the
//!   records of a part of the sessions. It has no disk.
//!
//! All times are in milliseconds of one clock that the caller supplies; it starts near Unix time and never
//! goes back. Positions are Unix milliseconds as well, by the clock of the databases.
#![warn(missing_docs)]

pub mod channel;
pub mod client;
pub mod identity;
pub mod lease;
pub mod message;
pub mod placement;
pub mod replica;
pub mod session;
pub mod timing;

pub use channel::Fault;
pub use client::{Client, PrimaryReason, ReadRequirement, Status, Ticket, WriteOutcome};
pub use identity::{Ballot, ProcessId, SessionKey};
pub use placement::{ControlInstance, Placement};
pub use replica::Replica;
pub use timing::{Millis, Timing};

/// A datagram to be sent: its destination and its bytes.
pub type Datagram = (std::net::SocketAddr, Vec<u8>);
