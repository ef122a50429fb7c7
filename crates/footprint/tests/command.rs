//! Output and exit codes of the command: usage errors, programs that cannot be measured, and comparing two
//! reports.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

const COMMAND: &str = env!("CARGO_BIN_EXE_footprint");

fn footprint(arguments: &[&str]) -> Output {
    Command::new(COMMAND).args(arguments).output().unwrap()
}

/// Runs the command. Returns its exit code, standard output and standard error.
fn run_footprint(arguments: &[&str]) -> (i32, String, String) {
    let output = footprint(arguments);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn help_names_every_option_and_run() {
    let (code, text, _) = run_footprint(&["measure", "--help"]);
    assert_eq!(code, 0);
    for word in
        ["--json", "--seed", "--repeats", "--limit-s", "--program", "--quick", "idle-clients", "probes"]
    {
        assert!(text.contains(word), "{word}: {text}");
    }
    assert!(run_footprint(&["--help"]).1.contains("compare"));
}

#[test]
fn usage_errors_name_the_accepted_values() {
    for (arguments, expected) in [
        (&["measure", "--sed", "1"][..], "--sed"),
        (&["measure", "everything"][..], "accepted: idle-clients, busy-clients, statements"),
        (&["measure", "--repeats", "0"][..], "--repeats is 0; accepted: 1 to 50"),
        (&["measure", "--limit-s", "0"][..], "--limit-s is 0; accepted: 1 to 3600 seconds"),
        (&["measure", "--seed", "one"][..], "seed"),
        (&[][..], "help"),
    ] {
        let (code, text, error) = run_footprint(arguments);
        assert_eq!((code, text.as_str()), (2, ""), "{arguments:?}: {error}");
        assert!(error.contains(expected), "{arguments:?}: {error}");
    }
}

#[test]
fn missing_program_yields_a_partial_report() {
    let (code, text, error) =
        run_footprint(&["measure", "databases", "--quick", "--program", "/no/such/program"]);
    assert_eq!(code, 1);
    assert!(error.contains("/no/such/program: the program cannot be started"), "{error}");
    assert!(text.contains("PARTIAL: /no/such/program"), "{text}");
}

#[test]
fn program_that_exits_before_listening_is_reported_at_once() {
    let started_at = Instant::now();
    let (code, text, error) =
        run_footprint(&["measure", "list", "--quick", "--json", "--program", "/bin/false"]);
    assert!(code == 1 && error.contains("the pooler does not listen"), "{error}");
    let report: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert!(report["partial"].as_str().unwrap().contains("does not listen"), "{report}");
    assert_eq!(report["quantities"].as_array().map(Vec::len), Some(0));
    assert!(started_at.elapsed() < Duration::from_secs(20));
}

/// Writes a report with one slope to its own file.
fn report(name: &str, value: f64, error: f64) -> PathBuf {
    let path = std::env::temp_dir().join(format!("footprint-{}-{name}.json", std::process::id()));
    let slope = serde_json::json!({ "value": value, "error": error });
    let quantity = serde_json::json!({ "name": "idle-client.memory", "linear": { "slope": slope } });
    std::fs::write(&path, serde_json::json!({ "quantities": [quantity] }).to_string()).unwrap();
    path
}

fn run_compare(first: &Path, second: &Path) -> (i32, String, String) {
    run_footprint(&["compare", first.to_str().unwrap(), second.to_str().unwrap()])
}

#[test]
fn compare_reports_slopes_that_differ_by_more_than_their_errors() {
    let (one, near, far) =
        (report("one", 1000.0, 3.0), report("near", 1009.0, 4.0), report("far", 1011.0, 4.0));
    let (code, text, _) = run_compare(&one, &near);
    assert!(code == 0 && text.contains("agree (1.8 combined errors apart)"), "{text}");
    let (code, text, _) = run_compare(&one, &far);
    assert!(code == 1 && text.contains("DIFFER (2.2 combined errors apart)"), "{text}");
    std::fs::write(&near, "[]").unwrap();
    let (code, _, error) = run_compare(&one, &near);
    assert!(code == 2 && error.contains("not a report of this command: no 'quantities'"), "{error}");
    [one, near, far].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}
