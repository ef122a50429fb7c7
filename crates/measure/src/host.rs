//! The host on which a measurement ran, for the head of a report.

use crate::process::{number_after, SampleError};
use serde::Serialize;
use std::fmt;
use std::path::Path;

const KIBIBYTE: u64 = 1024;
const MEBIBYTE: u64 = 1024 * 1024;
const UNKNOWN: &str = "unknown";

/// Processors, memory and kernel of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Host {
    /// Processors that this process may use.
    pub cores: usize,
    /// The processor's name as the kernel reports it, or "unknown".
    pub processor: String,
    /// Memory in bytes.
    pub memory: u64,
    /// Memory in bytes that was available without swapping when the host was described.
    pub available: u64,
    /// The kernel's release, or "unknown".
    pub kernel: String,
    /// The first and the last ephemeral port.
    pub ephemeral_ports: (u16, u16),
    /// The maximum number of descriptors that this process may open.
    pub descriptors: u64,
}

impl Host {
    /// Describes the host of this process.
    pub fn current() -> Result<Host, SampleError> {
        Ok(Host {
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            processor: processor(),
            memory: memory("MemTotal:")?,
            available: memory("MemAvailable:")?,
            kernel: first_line("/proc/sys/kernel/osrelease"),
            ephemeral_ports: ephemeral_ports()?,
            descriptors: descriptor_limit()?,
        })
    }
}

impl fmt::Display for Host {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} cores ({}), {} MiB of memory, kernel {}",
            self.cores,
            self.processor,
            self.memory / MEBIBYTE,
            self.kernel
        )
    }
}

fn read(path: &str) -> Result<String, SampleError> {
    std::fs::read_to_string(path).map_err(|cause| SampleError::Unreadable { path: path.into(), cause })
}

fn first_line(path: &str) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().next().map_or(UNKNOWN, str::trim).to_string()
}

fn processor() -> String {
    let text = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("model name"));
    line.and_then(|line| line.split_once(':')).map_or(UNKNOWN, |(_, name)| name.trim()).to_string()
}

fn memory(field: &'static str) -> Result<u64, SampleError> {
    const PATH: &str = "/proc/meminfo";
    Ok(number_after(Path::new(PATH), &read(PATH)?, field)? * KIBIBYTE)
}

fn ephemeral_ports() -> Result<(u16, u16), SampleError> {
    const PATH: &str = "/proc/sys/net/ipv4/ip_local_port_range";
    let text = read(PATH)?;
    let mut ports = text.split_whitespace().map(|word| word.parse().ok());
    match (ports.next().flatten(), ports.next().flatten()) {
        (Some(first), Some(last)) => Ok((first, last)),
        _ => Err(SampleError::NoField { path: PATH.into(), field: "first and last port" }),
    }
}

/// Returns the soft limit, which applies when a descriptor is opened.
fn descriptor_limit() -> Result<u64, SampleError> {
    const PATH: &str = "/proc/self/limits";
    number_after(Path::new(PATH), &read(PATH)?, "Max open files")
}
