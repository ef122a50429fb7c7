//! How the memory that a process may use is divided.

use transaction::buffer_bytes;

const MB: usize = 1_000_000;

/// Guards against a process that took half of its limit for buffers, whatever it held at its start: 27 MB of 24.
#[test]
fn buffers_get_half_of_the_limit_where_the_process_leaves_as_much() {
    assert_eq!(buffer_bytes(192 * MB, 14 * MB), 96 * MB);
    assert_eq!(buffer_bytes(24 * MB, 4 * MB), 12 * MB);
    assert_eq!(buffer_bytes(24 * MB, 14 * MB), 7_500_000);
    for limit in (16..200).map(|mb| mb * MB) {
        let held = 14 * MB;
        assert!(held + buffer_bytes(limit, held) <= limit, "{limit}");
    }
}

#[test]
fn a_limit_below_what_the_process_holds_leaves_the_least_that_serves() {
    assert_eq!(buffer_bytes(10 * MB, 14 * MB), MB);
    assert_eq!(buffer_bytes(MB, 14 * MB), MB / 2);
}
