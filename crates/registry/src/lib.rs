//! The member list followed in a key-value registry that speaks etcd v3's JSON form. No I/O: a driver carries out
//! calls and tells how they end.
//!
//! [`wire`] is the form of calls and answers, [`RegistrySync`] keeps a view of all keys under a prefix that equals the
//! registry's at some revision and never steps back, [`Endpoints`] says whom to call and when, [`schema`] makes
//! members of keys and values, [`snapshot`] bytes of a view, and [`lease::Lease`] keeps a key of the pooler's own there.
#![warn(missing_docs)]

mod endpoints;
pub mod lease;
pub mod schema;
pub mod snapshot;
mod sync;
pub mod wire;

pub use endpoints::{Endpoints, Pacing};
pub use sync::{Action, Entry, Input, Notice, RegistrySync, SyncConfig, View};
