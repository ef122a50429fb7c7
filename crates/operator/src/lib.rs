//! The operator's file, `dewferry.toml`: every setting with its unit, range and default ([`schema`]), the
//! errors of a file with their locations ([`DocumentError`]), the parsed file ([`Document`]), and the
//! configuration that results from it and the platform's ([`EffectiveConfig`]). No I/O: the caller passes in
//! the text.
#![warn(missing_docs)]

mod document;
mod effective;
mod peers;
mod read;
pub mod schema;

pub use document::{
    Access, ChangePolicy, ClassEdit, Confirm, Control, ControlInstance, Daemon, Digest, Document, Limits,
    Log, LogFormat, LogLevel, MemberEntry, Override, PeerRoute, Peers, Pool, PoolMode, Reads, Registry,
    Repeats, RouteEntry, Scope, State, TenantEdit,
};
pub use effective::{Conflict, Difference, EffectiveConfig};
pub use read::{parse, DocumentError, DocumentErrors, MAX_FILE_BYTES};
