//! Follows the member list in a key-value registry with the JSON form of etcd v3's API. No I/O: a driver
//! carries out calls and reports how they end.
//!
//! [`wire`] encodes calls and decodes responses. [`RegistrySync`] keeps a view of all keys under a prefix
//! that equals the registry's at some revision and never goes back. [`Endpoints`] selects the endpoint and
//! the time of the next call. [`schema`] converts keys and values to members. [`snapshot`] serializes a view.
//! [`lease::Lease`] keeps a key of the pooler itself in the registry.
#![warn(missing_docs)]

mod endpoints;
pub mod lease;
pub mod schema;
pub mod snapshot;
mod sync;
pub mod wire;

pub use endpoints::{Endpoints, Pacing};
pub use sync::{Action, Entry, Input, Notice, RegistrySync, SyncConfig, View};
