//! TLS from both sides. No I/O of its own: [`Session`] turns what came over a connection into plain bytes and
//! plain bytes into what is to go, both in ring buffers; [`Link`] does so, or passes bytes on as they are, over any
//! stream that a driver hands it.
#![warn(missing_docs)]

mod endpoint;
mod link;
mod material;
mod session;

pub use link::Link;
pub use material::{Client, Files, Server, Unusable, LONGEST};
pub use session::{Fault, Session};
