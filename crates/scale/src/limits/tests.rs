use super::*;

fn machine() -> Host {
    Host::current().expect("a machine")
}

fn needs() -> Needs {
    Needs { poolers: 20, databases: 10, processes: 4, hollow_per_process: 10 }
}

fn check(machine: &Host, needs: Needs, seconds: u64) -> Result<Limits, ScaleError> {
    Limits::check(machine, needs, seconds, Arc::default())
}

fn refused(machine: &Host, needs: Needs) -> String {
    check(machine, needs, 60).err().expect("it is refused").to_string()
}

#[test]
fn a_plan_beyond_the_machine_is_refused() {
    assert!(check(&machine(), needs(), 60).is_ok());
    let few = Host { descriptors: 100, ..machine() };
    assert_eq!(
        refused(&few, needs()),
        "beyond this machine: the run needs 104 descriptors in a process of hollow poolers, and 100 are allowed"
    );
    let low = Host { ephemeral_ports: (7_000, 60_999), ..machine() };
    assert_eq!(
        refused(&low, needs()),
        "beyond this machine: the run needs 8500 as the highest port of a listener, and 6999 are allowed"
    );
    let many = Needs { processes: MOST_PROCESSES + 1, ..needs() };
    assert!(refused(&machine(), many).contains("301 processes, and 300 are allowed"));
}

#[test]
fn a_run_that_takes_over_half_of_the_memory_is_stopped() {
    let small = Host { memory: 2_000_000, ..machine() };
    let limits = check(&small, needs(), 60).expect("a plan");
    let own = std::process::id();
    let error = limits.look(&[own]).expect_err("this process holds more than a megabyte").to_string();
    assert!(error.contains("and 1 MB (half of the machine's memory) are allowed"), "{error}");
    assert_eq!(limits.peaks().1, 2, "the process and the command");
}

#[test]
fn a_run_is_stopped_by_its_time_and_by_a_signal() {
    let limits = check(&machine(), needs(), 0).expect("a plan");
    assert!(matches!(limits.wait(Duration::from_secs(5), &[]), Err(ScaleError::Time { most_s: 0 })));
    let interrupted = Arc::new(AtomicBool::new(false));
    let limits = Limits::check(&machine(), needs(), 60, interrupted.clone()).expect("a plan");
    assert!(limits.wait(Duration::ZERO, &[]).is_ok());
    interrupted.store(true, Ordering::SeqCst);
    assert!(matches!(limits.wait(Duration::from_secs(5), &[]), Err(ScaleError::Interrupted)));
}
