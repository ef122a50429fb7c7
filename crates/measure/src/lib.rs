//! What the commands that measure the program share: least-squares fits, the spread over repeats, samples of a
//! process from `/proc` and a description of the machine. Reads files only; starts nothing and writes nothing.

mod fit;
mod machine;
mod process;
mod spread;

pub use fit::{Coefficient, Fit, FitError, Model, Point};
pub use machine::Host;
pub use process::{Process, Sample, SampleError};
pub use spread::Spread;
