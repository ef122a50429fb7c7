//! Samples of this very process, and the spread of values known beforehand.

use measure::{Host, Process, SampleError, Spread};
use std::fs::File;
use std::time::{Duration, Instant};

/// No process has this number: the kernel's own limit is far lower.
const NOBODY: u32 = u32::MAX;

#[test]
fn memory_and_descriptors_that_are_taken_are_seen() {
    const TAKEN: usize = 64 << 20;
    let before = Process::current().sample().unwrap();
    let memory = vec![7_u8; TAKEN];
    let files: Vec<File> = (0..20).map(|_| File::open("/proc/self/status").unwrap()).collect();
    let after = Process::current().sample().unwrap();
    assert!(after.resident >= before.resident + TAKEN as u64 * 9 / 10, "{before:?} {after:?}");
    assert!(after.anonymous > before.anonymous && after.peak >= after.resident);
    assert!(after.descriptors >= files.len() && after.threads >= 1);
    assert_eq!(memory[TAKEN / 2], 7);
}

#[test]
fn processor_time_that_is_spent_is_seen() {
    const SPENT: Duration = Duration::from_millis(100);
    let before = Process::current().sample().unwrap();
    let patience = Instant::now() + Duration::from_secs(20);
    let mut after = before;
    while after.processor_time_since(&before) < SPENT && Instant::now() < patience {
        after = Process::current().sample().unwrap();
    }
    assert!(after.processor_time_since(&before) >= SPENT, "{before:?} {after:?}");
    assert!(after.core_share_since(&before) > 0.0);
    assert_eq!(before.core_share_since(&before), 0.0);
}

#[test]
fn a_process_that_is_not_there_is_told_by_its_file() {
    let error = Process(NOBODY).sample().unwrap_err();
    assert!(matches!(&error, SampleError::Unreadable { path, .. } if path.ends_with("status")), "{error}");
    assert!(error.to_string().starts_with("/proc/4294967295/status: "), "{error}");
}

#[test]
fn the_machine_is_described() {
    let machine = Host::current().unwrap();
    assert!(machine.cores >= 1 && machine.memory >= machine.available && machine.descriptors > 0);
    assert!(machine.ephemeral_ports.0 < machine.ephemeral_ports.1, "{machine:?}");
    assert!(machine.to_string().contains(&format!("{} cores", machine.cores)), "{machine}");
}

#[test]
fn a_spread_is_that_of_the_textbook() {
    let spread = Spread::of(&[4.0, 2.0, 9.0, 5.0]).unwrap();
    assert_eq!((spread.count, spread.mean, spread.median), (4, 5.0, 4.5));
    assert_eq!((spread.least, spread.most), (2.0, 9.0));
    assert!((spread.deviation - (26.0_f64 / 3.0).sqrt()).abs() < 1e-12);
    assert!((spread.standard_error() - spread.deviation / 2.0).abs() < 1e-12);
    assert_eq!(Spread::of(&[3.0]).unwrap().deviation, 0.0);
    assert_eq!((Spread::of(&[]), Spread::of(&[1.0, f64::NAN])), (None, None));
}
