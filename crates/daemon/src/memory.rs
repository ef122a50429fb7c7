//! The memory of the process, as the system counts it.

/// Bytes in one of the kilobytes in which the system states sizes.
const KILOBYTE: usize = 1024;

/// Returns how much memory the process holds (bytes); 0 where the system doesn't tell.
pub(crate) fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let size = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = size.and_then(|size| size.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or_default() * KILOBYTE
}
