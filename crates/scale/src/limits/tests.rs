use super::*;

fn host() -> Host {
    Host::current().expect("the host's properties")
}

fn requirements() -> Requirements {
    Requirements { poolers: 20, members: 10, processes: 4, hollow_per_process: 10 }
}

fn check(host: &Host, requirements: Requirements, seconds: u64) -> Result<Limits, ScaleError> {
    Limits::check(host, requirements, seconds, Arc::default())
}

fn rejection(host: &Host, requirements: Requirements) -> String {
    check(host, requirements, 60).err().expect("the run is rejected").to_string()
}

#[test]
fn a_run_that_exceeds_a_limit_of_the_host_is_rejected() {
    assert!(check(&host(), requirements(), 60).is_ok());
    let few_descriptors = Host { descriptors: 100, ..host() };
    assert_eq!(
        rejection(&few_descriptors, requirements()),
        "beyond this machine: the run needs 104 descriptors in a process of hollow poolers, and 100 are allowed"
    );
    let low_ports = Host { ephemeral_ports: (7_000, 60_999), ..host() };
    assert_eq!(
        rejection(&low_ports, requirements()),
        "beyond this machine: the run needs 8500 as the highest port of a listener, and 6999 are allowed"
    );
    let many_processes = Requirements { processes: MAX_PROCESSES + 1, ..requirements() };
    assert!(rejection(&host(), many_processes).contains("301 processes, and 300 are allowed"));
}

#[test]
fn a_run_that_uses_over_half_of_the_memory_is_stopped() {
    let small_host = Host { memory: 2_000_000, ..host() };
    let limits = check(&small_host, requirements(), 60).expect("a run within the limits");
    let own = std::process::id();
    let error = limits.check_usage(&[own]).expect_err("this process uses more than a megabyte").to_string();
    assert!(error.contains("and 1 MB (half of the machine's memory) are allowed"), "{error}");
    assert_eq!(limits.peaks().1, 2, "the process and the command");
}

#[test]
fn the_time_limit_and_a_signal_stop_a_run() {
    let limits = check(&host(), requirements(), 0).expect("a run within the limits");
    assert!(matches!(limits.wait(Duration::from_secs(5), &[]), Err(ScaleError::TimeLimit { limit_s: 0 })));
    let interrupted = Arc::new(AtomicBool::new(false));
    let limits =
        Limits::check(&host(), requirements(), 60, interrupted.clone()).expect("a run within the limits");
    assert!(limits.wait(Duration::ZERO, &[]).is_ok());
    interrupted.store(true, Ordering::SeqCst);
    assert!(matches!(limits.wait(Duration::from_secs(5), &[]), Err(ScaleError::Interrupted)));
}
