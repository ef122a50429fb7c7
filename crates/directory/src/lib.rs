//! A session directory: which pooler owns a session, kept by a few control instances (docs/session-directory.md). State
//! machines without I/O: datagrams, requests and the time go in; datagrams and answers come out.
//!
//! - [`Client`] is the side of a pooler: it holds a lease, claims sessions that arrive and hands over those that leave.
//! - [`Replica`] is the side of a control instance: a member of several groups, each of which keeps the records of a part
//!   of the sessions. It has no disk.
//!
//! Every time is in milliseconds of one clock that its caller supplies, that begins near Unix time and never goes back.
//! Positions are Unix milliseconds as well, by the clock of the databases.
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

/// A datagram to be sent: where to, and its bytes.
pub type Datagram = (std::net::SocketAddr, Vec<u8>);
