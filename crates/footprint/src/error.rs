//! Errors that end a run.

use measure::{FitError, SampleError};
use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a run ended early. Measurements taken before the error are still reported.
#[derive(Debug)]
pub enum MeasureError {
    /// The measured program does not exist or cannot be started.
    Program {
        path: PathBuf,
        cause: io::Error,
    },
    /// The process ended or did not listen in time. Holds the last lines of its log.
    NotListening {
        log: String,
    },
    /// The process did not do in time what `what` names.
    NoAnswer {
        what: &'static str,
    },
    /// A call over the control socket was refused, or its answer could not be read.
    Refused {
        what: String,
    },
    Sample(SampleError),
    Fit(FitError),
    Socket {
        what: &'static str,
        cause: io::Error,
    },
    File {
        path: PathBuf,
        cause: io::Error,
    },
    /// The file is not a report of this command.
    Report {
        path: PathBuf,
        cause: String,
    },
    /// The run would take more than its share of the host.
    TooLarge {
        what: &'static str,
        needed: u64,
        allowed: u64,
    },
    /// The time limit of the command has passed.
    OutOfTime {
        seconds: u64,
    },
    /// SIGINT or SIGTERM was received.
    Interrupted,
    /// No port below the ephemeral range is free on all addresses needed.
    NoPort {
        first: u16,
        last: u16,
    },
}

impl fmt::Display for MeasureError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MeasureError::Program { path, cause } => {
                write!(formatter, "{}: the program cannot be started: {cause}", path.display())
            }
            MeasureError::NotListening { log } => write!(formatter, "the pooler does not listen: {log}"),
            MeasureError::NoAnswer { what } => {
                write!(formatter, "the pooler does not answer in time: {what}")
            }
            MeasureError::Refused { what } => write!(formatter, "the pooler refused a change: {what}"),
            MeasureError::Sample(cause) => write!(formatter, "{cause}"),
            MeasureError::Fit(cause) => write!(formatter, "{cause}"),
            MeasureError::Socket { what, cause } => write!(formatter, "{what}: {cause}"),
            MeasureError::File { path, cause } => write!(formatter, "{}: {cause}", path.display()),
            MeasureError::Report { path, cause } => {
                write!(formatter, "{}: not a report of this command: {cause}", path.display())
            }
            MeasureError::TooLarge { what, needed, allowed } => {
                write!(formatter, "{what}: {needed} needed, {allowed} allowed")
            }
            MeasureError::OutOfTime { seconds } => write!(formatter, "time limit of {seconds} s exceeded"),
            MeasureError::Interrupted => write!(formatter, "interrupted"),
            MeasureError::NoPort { first, last } => {
                write!(formatter, "no port from {first} to {last} is free on all loopback addresses needed")
            }
        }
    }
}

impl std::error::Error for MeasureError {}

impl From<SampleError> for MeasureError {
    fn from(cause: SampleError) -> MeasureError {
        MeasureError::Sample(cause)
    }
}

impl From<FitError> for MeasureError {
    fn from(cause: FitError) -> MeasureError {
        MeasureError::Fit(cause)
    }
}

/// Wraps an I/O error of a socket with what was attempted.
pub(crate) fn socket_error(what: &'static str) -> impl Fn(io::Error) -> MeasureError {
    move |cause| MeasureError::Socket { what, cause }
}

/// Wraps an I/O error with the path of the file.
pub(crate) fn file_error(path: &std::path::Path) -> impl Fn(io::Error) -> MeasureError + '_ {
    move |cause| MeasureError::File { path: path.into(), cause }
}
