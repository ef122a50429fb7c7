//! The resource usage of a process, from `/proc`.

use serde::Serialize;
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The unit of processor time in `/proc/PID/stat`: the kernel's USER_HZ, 100 a second on every usual
/// architecture.
const TICK: Duration = Duration::from_millis(10);
/// Index of the user time among the fields after the command's name, from 0. System time is the next field.
const USER_TIME: usize = 11;
const KIBIBYTE: u64 = 1024;

/// Why a process cannot be sampled.
#[derive(Debug)]
pub enum SampleError {
    /// The file cannot be read: the process has ended, or belongs to another user.
    Unreadable { path: PathBuf, cause: io::Error },
    /// The file does not contain the field, or it is not a number.
    NoField { path: PathBuf, field: &'static str },
}

impl fmt::Display for SampleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SampleError::Unreadable { path, cause } => write!(formatter, "{}: {cause}", path.display()),
            SampleError::NoField { path, field } => {
                write!(formatter, "{}: no field '{field}' with a number", path.display())
            }
        }
    }
}

impl std::error::Error for SampleError {}

/// A process to sample, by its process id. It need not be a child of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process(pub u32);

/// The resource usage of a process at one time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// When the sample was taken.
    #[serde(skip)]
    pub at: Instant,
    /// Resident memory in bytes, including files and shared memory.
    pub resident: u64,
    /// Anonymous resident memory in bytes: heap and stacks.
    pub anonymous: u64,
    /// The maximum of the resident memory so far, in bytes.
    pub peak: u64,
    /// Processor time in user mode since the start of the process, in steps of 10 ms.
    pub user: Duration,
    /// Processor time in the kernel since the start of the process, in steps of 10 ms.
    pub system: Duration,
    /// Time for which the threads that still run have been scheduled, with a resolution of 1 ns.
    pub scheduled: Duration,
    /// Open file descriptors.
    pub descriptors: usize,
    pub threads: usize,
}

impl Sample {
    /// Returns user and system time together. Uses the exact time of the scheduler, which leaves out threads
    /// that have ended, but never less than the coarser sum of both times, which includes them.
    pub fn processor_time(&self) -> Duration {
        self.scheduled.max(self.user + self.system)
    }

    /// Returns the processor time spent since an earlier sample of the same process.
    pub fn processor_time_since(&self, earlier: &Sample) -> Duration {
        self.processor_time().saturating_sub(earlier.processor_time())
    }

    /// Returns the share of one core used since an earlier sample of the same process, or 0 if no time has
    /// passed.
    pub fn core_share_since(&self, earlier: &Sample) -> f64 {
        let passed = self.at.saturating_duration_since(earlier.at).as_secs_f64();
        if passed == 0.0 {
            return 0.0;
        }
        self.processor_time_since(earlier).as_secs_f64() / passed
    }
}

impl Process {
    /// Returns the calling process.
    pub fn current() -> Process {
        Process(std::process::id())
    }

    /// Samples the process. Takes some tens of microseconds, and more with many open descriptors.
    pub fn sample(&self) -> Result<Sample, SampleError> {
        let (status_path, status) = self.read("status")?;
        let kibibytes = |field| number_after(&status_path, &status, field).map(|number| number * KIBIBYTE);
        let (user, system) = self.processor_times()?;
        Ok(Sample {
            at: Instant::now(),
            resident: kibibytes("VmRSS:")?,
            anonymous: kibibytes("RssAnon:")?,
            peak: kibibytes("VmHWM:")?,
            user,
            system,
            scheduled: self.scheduled()?,
            descriptors: self.descriptors()?,
            threads: number_after(&status_path, &status, "Threads:")? as usize,
        })
    }

    /// Returns user and system time from `stat`. The command's name may contain blanks and parentheses, so
    /// fields are counted from the last closing parenthesis.
    fn processor_times(&self) -> Result<(Duration, Duration), SampleError> {
        let (path, text) = self.read("stat")?;
        let fields: Vec<&str> =
            text.rsplit_once(')').map_or(Vec::new(), |(_, rest)| rest.split_whitespace().collect());
        let ticks = |index: usize, field| {
            let number: Option<u32> = fields.get(index).and_then(|text| text.parse().ok());
            number.map(|count| TICK * count).ok_or(SampleError::NoField { path: path.clone(), field })
        };
        Ok((ticks(USER_TIME, "utime")?, ticks(USER_TIME + 1, "stime")?))
    }

    /// Returns the sum of the first field of each thread's `schedstat`. A thread that ends meanwhile is left
    /// out.
    fn scheduled(&self) -> Result<Duration, SampleError> {
        let path = self.path("task");
        let threads = match std::fs::read_dir(&path) {
            Ok(entries) => entries.filter_map(Result::ok),
            Err(cause) => return Err(SampleError::Unreadable { path, cause }),
        };
        let nanoseconds = threads.filter_map(|thread| {
            let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse::<u64>().ok()
        });
        Ok(Duration::from_nanos(nanoseconds.sum()))
    }

    fn descriptors(&self) -> Result<usize, SampleError> {
        let path = self.path("fd");
        match std::fs::read_dir(&path) {
            Ok(entries) => Ok(entries.count()),
            Err(cause) => Err(SampleError::Unreadable { path, cause }),
        }
    }

    fn read(&self, name: &str) -> Result<(PathBuf, String), SampleError> {
        let path = self.path(name);
        match std::fs::read_to_string(&path) {
            Ok(text) => Ok((path, text)),
            Err(cause) => Err(SampleError::Unreadable { path, cause }),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        ["/proc", &self.0.to_string(), name].iter().collect()
    }
}

/// Returns the number after a field's name at the start of a line.
pub(crate) fn number_after(
    path: &std::path::Path,
    text: &str,
    field: &'static str,
) -> Result<u64, SampleError> {
    let rest = text.lines().find_map(|line| line.strip_prefix(field));
    let number = rest.and_then(|rest| rest.split_whitespace().next()).and_then(|word| word.parse().ok());
    number.ok_or(SampleError::NoField { path: path.to_path_buf(), field })
}
