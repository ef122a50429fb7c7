//! Samples of the test process itself, and the spread of known values.

use measure::{Host, Process, SampleError, Spread};
use std::fs::File;
use std::time::{Duration, Instant};

/// A process id that no process has: the kernel's limit is far lower.
const UNUSED_PID: u32 = u32::MAX;

#[test]
fn samples_show_allocated_memory_and_open_descriptors() {
    const ALLOCATED_BYTES: usize = 64 << 20;
    let before = Process::current().sample().unwrap();
    let memory = vec![7_u8; ALLOCATED_BYTES];
    let files: Vec<File> = (0..20).map(|_| File::open("/proc/self/status").unwrap()).collect();
    let after = Process::current().sample().unwrap();
    assert!(after.resident >= before.resident + ALLOCATED_BYTES as u64 * 9 / 10, "{before:?} {after:?}");
    assert!(after.anonymous > before.anonymous && after.peak >= after.resident);
    assert!(after.descriptors >= files.len() && after.threads >= 1);
    assert_eq!(memory[ALLOCATED_BYTES / 2], 7);
}

#[test]
fn samples_show_spent_processor_time() {
    const MIN_SPENT: Duration = Duration::from_millis(100);
    let before = Process::current().sample().unwrap();
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut after = before;
    while after.processor_time_since(&before) < MIN_SPENT && Instant::now() < deadline {
        after = Process::current().sample().unwrap();
    }
    assert!(after.processor_time_since(&before) >= MIN_SPENT, "{before:?} {after:?}");
    assert!(after.core_share_since(&before) > 0.0);
    assert_eq!(before.core_share_since(&before), 0.0);
}

#[test]
fn error_for_a_missing_process_names_its_file() {
    let error = Process(UNUSED_PID).sample().unwrap_err();
    assert!(matches!(&error, SampleError::Unreadable { path, .. } if path.ends_with("status")), "{error}");
    assert!(error.to_string().starts_with("/proc/4294967295/status: "), "{error}");
}

#[test]
fn host_is_described() {
    let host = Host::current().unwrap();
    assert!(host.cores >= 1 && host.memory >= host.available && host.descriptors > 0);
    assert!(host.ephemeral_ports.0 < host.ephemeral_ports.1, "{host:?}");
    assert!(host.to_string().contains(&format!("{} cores", host.cores)), "{host}");
}

#[test]
fn spread_matches_hand_computed_values() {
    let spread = Spread::of(&[4.0, 2.0, 9.0, 5.0]).unwrap();
    assert_eq!((spread.count, spread.mean, spread.median), (4, 5.0, 4.5));
    assert_eq!((spread.least, spread.most), (2.0, 9.0));
    assert!((spread.deviation - (26.0_f64 / 3.0).sqrt()).abs() < 1e-12);
    assert!((spread.standard_error() - spread.deviation / 2.0).abs() < 1e-12);
    assert_eq!(Spread::of(&[3.0]).unwrap().deviation, 0.0);
    assert_eq!((Spread::of(&[]), Spread::of(&[1.0, f64::NAN])), (None, None));
}
