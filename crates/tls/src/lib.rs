//! TLS for clients and servers. No I/O of its own: [`Session`] decrypts received bytes and encrypts bytes to
//! send, both in ring buffers; [`Transport`] does so over any stream that a driver passes in, or copies the
//! bytes without TLS.
#![warn(missing_docs)]

mod channel_binding;
mod material;
mod session;
mod transport;

pub use material::{ClientContext, ClientFiles, InvalidFile, ServerContext, MAX_FILE_BYTES};
pub use session::{Session, TlsError};
pub use transport::Transport;
