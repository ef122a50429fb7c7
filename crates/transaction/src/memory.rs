//! How the memory that a process may use is divided.

/// Memory that buffers, statements and values may always take, where half of the limit allows it (bytes): with
/// less the process could hardly serve.
const MIN_BUFFER_BYTES: usize = 1_000_000;

/// Returns how much memory buffers, statements and values may take together (bytes): half of the limit, and at most
/// three quarters of what the process leaves of it. `held_at_start` is what it had in memory before it served anybody.
pub fn buffer_bytes(limit: usize, held_at_start: usize) -> usize {
    let least = MIN_BUFFER_BYTES.min(limit / 2);
    (limit.saturating_sub(held_at_start) / 4 * 3).min(limit / 2).max(least)
}
