//! Clients that send small, unsound or unfinished messages at full speed, and probes that measure how long
//! other clients of the same pooler wait meanwhile. For tests only.
#![warn(missing_docs)]

mod crowd;
mod form;
mod probe;
mod sender;
mod wire;

pub use crowd::Crowd;
pub use form::{Form, Target};
pub use probe::{Probes, Summary};
pub use sender::{Connect, Flood, Stream};
pub use wire::{query, startup};
