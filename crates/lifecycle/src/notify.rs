//! What a service manager is told, in the form of `sd_notify(3)`: lines of `NAME=value` in one datagram.

/// A service that can be used.
pub const READY: &str = "READY=1";
/// It ends.
pub const STOPPING: &str = "STOPPING=1";
/// It is alive.
pub const WATCHDOG: &str = "WATCHDOG=1";

/// A line for people. Line ends would begin another assignment.
pub fn status(text: &str) -> String {
    format!("STATUS={}", text.replace(['\n', '\r'], " "))
}

/// It reads its configuration again; since when (microseconds of the monotonic clock), which `Type=notify-reload`
/// wants to tell this reload from an earlier one.
pub fn reloading(monotonic_us: u64) -> String {
    format!("RELOADING=1\nMONOTONIC_USEC={monotonic_us}")
}

/// It needs so much longer (seconds) for what it is at.
pub fn extend_timeout(seconds: f64) -> String {
    format!("EXTEND_TIMEOUT_USEC={}", (seconds * 1e6) as u64)
}

/// How often to say that one is alive (seconds): half of what `WATCHDOG_USEC` asks for, where `WATCHDOG_PID`, if it is
/// there, is this process. None for words that are no number, and for 0.
pub fn watchdog_interval(usec: Option<&str>, pid: Option<&str>, own: u32) -> Option<f64> {
    if pid.is_some_and(|pid| pid.parse() != Ok(own)) {
        return None;
    }
    let usec: u64 = usec?.parse().ok().filter(|usec| *usec > 0)?;
    Some(usec as f64 / 2e6)
}
