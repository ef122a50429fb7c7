//! Measures the memory and processor time of one real pooler process, with stand-ins on loopback: database
//! servers that answer at once, a discovery service, and clients. Each run measures several sizes with
//! repeats and fits a line through the points.

mod clients;
mod error;
mod guard;
mod platform;
mod pooler;
mod ports;
pub mod report;
pub mod runs;
pub mod stand_in;

pub use clients::{ClientConnection, Load, Mix};
pub use error::MeasureError;
pub use guard::Guard;
pub use platform::{Members, Platform};
pub use pooler::{Counters, Pooler};
pub use ports::Ports;
