//! TLS from both sides. No I/O of its own: [`Session`] turns what came over a connection into plain bytes and
//! plain bytes into what is to go, both in ring buffers; [`Transport`] does so, or passes bytes on as they are, over any
//! stream that a driver hands it.
#![warn(missing_docs)]

mod endpoint;
mod link;
mod material;
mod session;

pub use link::Transport;
pub use material::{ClientContext, ClientFiles, InvalidFile, ServerContext, MAX_FILE_BYTES};
pub use session::{Session, TlsError};
