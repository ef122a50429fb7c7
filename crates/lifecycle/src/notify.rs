//! Messages to the service manager in the format of `sd_notify(3)`: lines of `NAME=value` in one datagram.

/// The service is ready.
pub const READY: &str = "READY=1";
/// The service is shutting down.
pub const STOPPING: &str = "STOPPING=1";
/// Keep-alive for the watchdog.
pub const WATCHDOG: &str = "WATCHDOG=1";

/// Status text for people. Line breaks are replaced by spaces, since they would begin another assignment.
pub fn status(text: &str) -> String {
    format!("STATUS={}", text.replace(['\n', '\r'], " "))
}

/// A reload has begun at `monotonic_us` (microseconds of the monotonic clock). `Type=notify-reload` requires
/// the time to distinguish this reload from an earlier one.
pub fn reloading(monotonic_us: u64) -> String {
    format!("RELOADING=1\nMONOTONIC_USEC={monotonic_us}")
}

/// Asks for `seconds` more time for the current start, reload or stop.
pub fn extend_timeout(seconds: f64) -> String {
    format!("EXTEND_TIMEOUT_USEC={}", (seconds * 1e6) as u64)
}

/// Interval between keep-alives (seconds): half of `WATCHDOG_USEC`. Returns `None` if `usec` is missing, zero
/// or not a number, or if `WATCHDOG_PID` is set and is not this process (`own`).
pub fn watchdog_interval(usec: Option<&str>, pid: Option<&str>, own: u32) -> Option<f64> {
    if pid.is_some_and(|pid| pid.parse() != Ok(own)) {
        return None;
    }
    let usec: u64 = usec?.parse().ok().filter(|usec| *usec > 0)?;
    Some(usec as f64 / 2e6)
}
