//! Shared by the commands that measure the pooler: least-squares fits, the spread over repeats, samples of a
//! process from `/proc` and a description of the host. This package only reads files; it starts no process
//! and writes nothing.

mod fit;
mod host;
mod process;
mod spread;

pub use fit::{Coefficient, Fit, FitError, Model, Point};
pub use host::Host;
pub use process::{Process, Sample, SampleError};
pub use spread::Spread;
