//! Errors that end a run early.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Error that ended a run.
#[derive(Debug)]
pub enum ScaleError {
    /// Invalid value of an option: the option, the value, and the accepted values.
    Option(&'static str, String, String),
    /// The run needs more of a resource than this host allows.
    ExceedsHost { resource: &'static str, needed: u64, max: u64 },
    /// The resident memory of all processes of the run exceeded the limit (bytes).
    Memory { used: u64, max: u64 },
    /// The host was too busy for meaningful figures.
    Overloaded { size: usize, late_s: f64, busy_percent: f64 },
    /// The run reached its time limit.
    TimeLimit { limit_s: u64 },
    /// A signal ended the run.
    Interrupted,
    /// A process of the run could not be started, ended early or sent an invalid reply.
    Process(String),
    /// A file could not be read or written.
    File(PathBuf, io::Error),
}

/// Maximum delay of a timer (seconds). It is half a lease: with longer delays a pooler's own state becomes
/// uncertain, and the figures would measure that instead.
pub const MAX_TIMER_DELAY: f64 = 0.225;
/// Maximum share of a core that a process of hollow poolers may use (percent). Above it, the process falls
/// behind its own load.
pub const MAX_PROCESS_PERCENT: f64 = 80.0;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

impl fmt::Display for ScaleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScaleError::Option(name, value, accepted) => {
                write!(f, "{name}: '{value}' is not accepted; accepted: {accepted}")
            }
            ScaleError::ExceedsHost { resource, needed, max } => {
                write!(f, "beyond this machine: the run needs {needed} {resource}, and {max} are allowed")
            }
            ScaleError::Memory { used, max } => write!(
                f,
                "stopped: the run's processes hold {} MB, and {} MB (half of the machine's memory) are allowed",
                used / BYTES_PER_MEGABYTE,
                max / BYTES_PER_MEGABYTE
            ),
            ScaleError::Overloaded { size, late_s, busy_percent } => write!(
                f,
                "size {size} is beyond this machine: a timer came {late_s:.3} s late ({MAX_TIMER_DELAY} s are allowed), and a \
                 process of hollow poolers took {busy_percent:.0}% of a core ({MAX_PROCESS_PERCENT}% are allowed; see --per-process)"
            ),
            ScaleError::TimeLimit { limit_s } => {
                write!(f, "stopped: the run has taken the {limit_s} s that --most-seconds allows")
            }
            ScaleError::Interrupted => f.write_str("stopped by a signal"),
            ScaleError::Process(text) => f.write_str(text),
            ScaleError::File(path, error) => write!(f, "{}: {error}", path.display()),
        }
    }
}

impl std::error::Error for ScaleError {}
