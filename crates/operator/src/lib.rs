//! The operator's file, `dewferry.toml`: every setting with its unit, range and default ([`schema`]), what is
//! wrong with a file and where ([`DocumentError`]), the document it holds ([`Document`]), and what it makes of the
//! platform's configuration ([`EffectiveConfig`]). No I/O: text goes in.
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
