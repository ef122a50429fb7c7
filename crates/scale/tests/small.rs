//! Runs the command on fleets that are small enough for any host. Checks counts and safety, but no times.

use std::process::{Command, Output};

use serde_json::Value;

/// Number of poolers of the small fleets.
const POOLERS: usize = 20;

/// Returns true if the program of the control instances is in the folder of the command, as after a build of
/// the workspace.
fn pooler_is_built() -> bool {
    std::path::Path::new(env!("CARGO_BIN_EXE_scale")).with_file_name("dewferry").is_file()
}

fn scale(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_scale")).args(arguments).output().expect("the command runs")
}

/// Makes a run, which must be complete and safe, and returns its report.
fn report(arguments: &[&str]) -> Value {
    let output = scale(&[arguments, &["--json", "--counts-only"]].concat());
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(0), "{errors}");
    let report: Value = serde_json::from_slice(&output.stdout).expect("a report");
    assert_eq!(report["complete"], Value::Bool(true));
    report
}

/// Returns the measurement of a kind of run.
fn measurement<'a>(report: &'a Value, kind: &str) -> &'a Value {
    let measurements = report["measurements"].as_array().expect("measurements");
    measurements
        .iter()
        .find(|measurement| measurement["kind"] == kind)
        .unwrap_or_else(|| panic!("no {kind}: {report}"))
}

fn figure(report: &Value, kind: &str, name: &str) -> f64 {
    let value = &measurement(report, kind)["figures"][name];
    value.as_f64().unwrap_or_else(|| panic!("{kind} has no {name}: {report}"))
}

/// Runs a command that must fail before it starts a run, and returns its error.
fn rejection(arguments: &[&str]) -> String {
    let output = scale(arguments);
    assert!(!output.status.success());
    assert!(output.stdout.is_empty(), "a rejected command prints no report");
    String::from_utf8(output.stderr).expect("text")
}

#[test]
fn all_poolers_receive_each_change_of_the_list_and_have_equal_lists() {
    let report = report(&["change-list", "--sizes", "20", "--databases", "60", "--changes", "6"]);
    for kind in ["join", "change-list"] {
        assert_eq!(measurement(&report, kind)["faults"], serde_json::json!([]));
    }
    assert!(figure(&report, "change-list", "heard_max_s") > 0.0);
}

#[test]
fn no_read_is_stale_when_poolers_that_exchange_state_are_lost() {
    let arguments = ["hold", "lose-tenth", "lose-zone", "lose-region", "--talk", "--requests", "10"];
    let sizes = ["--sizes", "20", "--databases", "10", "--window", "2", "--cut", "3", "--per-process", "10"];
    let report = report(&[&arguments[..], &sizes].concat());
    assert!(figure(&report, "hold", "writes_answered") > 0.0);
    assert!(figure(&report, "hold", "reads_anywhere") > 0.0);
    let traffic = measurement(&report, "hold")["traffic"].as_array().expect("flows");
    let has_traffic = |kind: &str, distance: &str, direction: &str| {
        let flow = serde_json::json!([kind, distance, direction]);
        traffic.iter().any(|entry| entry[0] == flow && entry[1]["bytes"].as_f64() > Some(0.0))
    };
    for kind in ["ask", "grant", "push", "views", "swim"] {
        for distance in ["OwnZone", "OtherZone", "OtherRegion"] {
            assert!(has_traffic(kind, distance, "sent"), "{kind} to {distance}: {traffic:?}");
            assert!(has_traffic(kind, distance, "received"), "{kind} from {distance}: {traffic:?}");
        }
    }
    // If no datagram is lost, each one that a pooler of the fleet sends is received by another.
    let (sent, received) =
        (figure(&report, "hold", "sent_messages_per_s"), figure(&report, "hold", "received_messages_per_s"));
    assert!((sent - received).abs() < 0.2 * sent, "sent {sent}, received {received}");
}

#[test]
fn no_read_is_stale_and_no_write_refused_when_control_instances_or_poolers_are_lost() {
    assert!(pooler_is_built(), "dewferry must be in the folder of scale: run cargo build");
    let arguments =
        ["hold", "lose-control", "lose-tenth", "lose-region", "--control", "5", "--requests", "10"];
    let sizes = ["--sizes", "20", "--databases", "10", "--window", "2", "--cut", "4"];
    let report = report(&[&arguments[..], &sizes].concat());
    for kind in ["join", "hold", "lose-control", "lose-tenth", "lose-region"] {
        let measurement = measurement(&report, kind);
        assert_eq!(measurement["faults"], serde_json::json!([]), "{kind}");
        assert_eq!(measurement["coordination"], "directory");
    }
    assert!(figure(&report, "hold", "writes_answered") > 0.0);
    assert!(figure(&report, "hold", "arrivals") > 0.0);
    assert_eq!(figure(&report, "lose-control", "writes_refused_without"), 0.0);
    let traffic = measurement(&report, "hold")["traffic"].as_array().expect("flows");
    for kind in ["heartbeat", "heartbeat_ack", "claim", "claim_reply", "handover", "handover_reply"] {
        let counted =
            traffic.iter().any(|entry| entry[0][0] == kind && entry[1]["bytes"].as_f64() > Some(0.0));
        assert!(counted, "{kind}: {traffic:?}");
    }
}

#[test]
fn each_size_up_to_talk_most_is_run_with_peers_and_with_control_instances() {
    let sizes = ["--sizes", "4,8", "--talk", "--talk-most", "4", "--control", "3", "--databases", "10"];
    let report = report(&[&["hold", "--requests", "5", "--window", "1"], &sizes[..]].concat());
    let measurements = report["measurements"].as_array().expect("measurements");
    let hold_measurements = measurements.iter().filter(|measurement| measurement["kind"] == "hold");
    let coordinations: Vec<(u64, &str)> = hold_measurements
        .map(|m| (m["size"].as_u64().unwrap_or(0), m["coordination"].as_str().unwrap_or("")))
        .collect();
    assert_eq!(coordinations, [(4, "peers"), (4, "directory"), (8, "directory")]);
}

#[test]
fn all_poolers_that_exchange_state_receive_each_new_primary() {
    let report =
        report(&["change-primary", "--talk", "--sizes", "20", "--databases", "12", "--changes", "3"]);
    assert_eq!(measurement(&report, "change-primary")["faults"], serde_json::json!([]));
}

#[test]
fn report_option_writes_the_report_and_plots_to_the_folder() {
    let folder = std::env::temp_dir().join(format!("dewferry-scale-report-{}", std::process::id()));
    let path = folder.to_str().expect("a path");
    let sizes = ["--sizes", "4,8,12,16", "--databases", "10", "--changes", "1", "--report", path];
    let report = report(&[&["change-list"], &sizes[..]].concat());
    let fits = report["fits"].as_array().expect("fits");
    let fit = fits.iter().find(|fit| fit["figure"] == "received_bytes").expect("a fit");
    assert_eq!(fit["points"].as_array().map(Vec::len), Some(4));
    assert!(fit["square"].is_object() && fit["linear"]["residuals"].as_array().is_some_and(|r| r.len() == 4));
    let text = std::fs::read_to_string(folder.join("report.md")).expect("a report");
    assert!(text.contains("No check failed."), "{text}");
    let plot = std::fs::read_to_string(folder.join("change-list-heard-p99-s.svg")).expect("a plot");
    assert!(plot.starts_with("<svg"), "{plot}");
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

#[test]
fn invalid_arguments_and_runs_beyond_the_host_are_rejected_with_an_error() {
    assert!(rejection(&["hold", "--poolers", "3"]).contains("Unrecognized argument: --poolers"));
    assert!(rejection(&["stand"]).contains("'stand' is no kind of run; accepted: join, hold"));
    assert!(rejection(&["hold", "--sizes", "3,x"]).contains("'3,x' is not accepted; accepted: numbers"));
    assert!(rejection(&["hold", "--sizes", "20", "--real", "21"]).contains("--real: '21' is not accepted"));
    let error = rejection(&["hold", "--sizes", "400", "--per-process", "1"]);
    assert!(
        error.contains("beyond this machine: the run needs 402 processes, and 300 are allowed"),
        "{error}"
    );
    assert!(rejection(&["hold", "--sizes", "20000"]).contains("20000 addresses of poolers"));
    assert!(rejection(&["hold", "--requests", "10"]).contains("only together with --talk or --control"));
    assert!(rejection(&["hold", "--control", "2"])
        .contains("--control: '2' is not accepted; accepted: 0, or 3 to 64"));
    assert!(rejection(&["lose-control"]).contains("only together with --control"));
    let error = rejection(&["hold", "--control", "3", "--program", "/nowhere"]);
    assert!(error.contains("--program: '/nowhere' is not accepted"), "{error}");
}

#[test]
fn a_stopped_run_writes_a_partial_report() {
    let arguments = [
        "hold",
        "--sizes",
        "20",
        "--databases",
        "10",
        "--window",
        "60",
        "--most-seconds",
        "4",
        "--json",
        "--counts-only",
    ];
    let output = scale(&arguments);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(errors.trim(), "scale: stopped: the run has taken the 4 s that --most-seconds allows");
    let report: Value = serde_json::from_slice(&output.stdout).expect("a report");
    assert_eq!(report["complete"], Value::Bool(false));
    assert!(report["stopped_by"].as_str().is_some_and(|why| why.contains("--most-seconds")));
    assert_eq!(measurement(&report, "join")["size"], POOLERS);
}

#[test]
fn no_process_outlives_a_killed_command() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_scale"))
        .args(["hold", "--sizes", "20", "--databases", "10", "--window", "60"])
        .stdout(std::process::Stdio::null())
        .spawn()
        .expect("the command runs");
    let children = || children_of(command.id());
    let begun = std::time::Instant::now();
    while children().len() < 2 {
        assert!(begun.elapsed().as_secs() < 20, "the processes of the run do not start");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    let started = children();
    command.kill().expect("the command can be killed");
    command.wait().expect("the command ends");
    while started.iter().any(|child| is_running(*child)) {
        assert!(begun.elapsed().as_secs() < 40, "a process outlives the command");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

/// Returns the children of a process.
fn children_of(parent: u32) -> Vec<u32> {
    let path = format!("/proc/{parent}/task/{parent}/children");
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace().filter_map(|pid| pid.parse().ok()).collect()
}

/// Returns true if a process exists and is not a zombie.
fn is_running(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(')').next().and_then(|rest| rest.trim().chars().next()).is_some_and(|state| state != 'Z')
}
