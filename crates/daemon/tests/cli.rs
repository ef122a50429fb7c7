//! The command line of the pooler's program.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dewferry")).args(args).env_remove("LB_CONFIG").output().unwrap()
}

#[test]
fn version_prints_the_crate_s_version() {
    let output = run(&["version"]);
    assert!(output.status.success());
    assert_eq!(output.stdout, format!("dewferry {}\n", env!("CARGO_PKG_VERSION")).as_bytes());
}

#[test]
fn an_invalid_configuration_is_reported_with_its_file_and_error() {
    let file = std::env::temp_dir().join(format!("dewferry-cli-{}.json", std::process::id()));
    let path = file.to_str().unwrap();
    let valid_config = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7f","settings":{
        "classes":[{"name":"a","aim":1,"deadline":2}],"specifics":{"consistency":["any"]},
        "invariants":{"tipMultiple":2}}}"#;
    for (from, to, expected_error) in [
        ("", "", ""),
        ("127.0.0.1:1", "nowhere", "'listen' is not an address"),
        ("7f", "xyz", "'seed' is not hexadecimal"),
        (r#""aim":1"#, r#""aim":-1"#, "classes[0].aim"),
        (r#""deadline":2"#, r#""deadline":"soon""#, "'deadline' is not a number"),
        (r#"{"listen""#, "", "not JSON"),
    ] {
        std::fs::write(&file, valid_config.replacen(from, to, 1)).unwrap();
        let output = run(&["check-config", "--config", path]);
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.success(), expected_error.is_empty(), "{expected_error}: {message}");
        assert!(
            expected_error.is_empty() || message.contains(path) && message.contains(expected_error),
            "{expected_error}: {message}"
        );
    }
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn serve_fails_without_a_configuration() {
    let output = run(&["serve"]);
    assert!(!output.status.success());
    assert!(String::from_utf8(output.stderr).unwrap().contains("LB_CONFIG"));
}

/// The platform's file of a deployment with a pushed list and a non-idempotent class.
const PLATFORM_FILE: &str = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7f","settings":{
    "registryMode":"automatic","domainType":"replicas","fleetSize":4,
    "classes":[{"name":"tiles","aim":0.75,"deadline":3,"effect":"read_like"},
               {"name":"export","aim":1.2,"deadline":5,"effect":"non_idempotent"}],
    "limits":{"probes":true,"cancel":true,"mayDuplicate":true,"retryAfter":true,"maxRetryAfter":0.5,"maxAttempts":6},
    "loadInfo":{"how":"piggyback","fields":["x0","x1"]},
    "specifics":{"consistency":["bounded","write"],"stalenessBound":[1.5,0],"tellsPosition":true,"writeMarks":"carried"},
    "invariants":{"tipMultiple":2.5,"drainGrace":1,"fall":1.5,"coldFrom":0.26,"warmUp":16}}}"#;

/// Runs check-config on the platform's file with `from` replaced by `to`; returns the exit code and the
/// output.
fn check(from: &str, to: &str, json: bool) -> (Option<i32>, String) {
    let name = format!("dewferry-meaning-{}-{}.json", std::process::id(), to.len() + from.len() * 1000);
    let file = std::env::temp_dir().join(name);
    assert!(PLATFORM_FILE.contains(from));
    std::fs::write(&file, PLATFORM_FILE.replacen(from, to, 1)).unwrap();
    let mut args = vec!["check-config", "--config", file.to_str().unwrap()];
    args.extend(json.then_some("--json"));
    let output = run(&args);
    std::fs::remove_file(&file).unwrap();
    (output.status.code(), String::from_utf8([output.stdout, output.stderr].concat()).unwrap())
}

#[test]
fn check_config_describes_the_platform_s_file() {
    let (code, output_text) = check("", "", false);
    assert_eq!(code, Some(0), "{output_text}");
    for part in [
        "pushed: the agent at 127.0.0.1:2",
        "the grace is 1 s",
        "answers tell role and position, and carry load reports; a member that nobody sends to is probed",
        "the one that loses is withdrawn",
        "repeated freely        tiles\n",
        "repeated under a key   none\n",
        "never sent twice       export\n",
        "0.5 s at most; 6 attempts",
        "4 poolers together stay under 2.5 times",
    ] {
        assert!(output_text.contains(part), "'{part}' is not in: {output_text}");
    }
    assert!(!output_text.contains("look at"), "{output_text}");
    let (code, json) = check("", "", true);
    let summary: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(
        (code, &summary["usable"], &summary["meaning"]["never sent twice"]),
        (Some(0), &true.into(), &"export".into())
    );
}

#[test]
fn check_config_warns_of_unknown_values_and_rejects_unsupported_ones() {
    for (from, to, rejected, part) in [
        (r#""replicas""#, r#""shards""#, true, "domainType is \"shards\"; accepted: \"replicas\""),
        (r#""automatic""#, r#""gossip""#, true, "accepted: \"subscribe\""),
        (
            r#""non_idempotent""#,
            r#""odd""#,
            false,
            "classes[1].effect is \"odd\", which is not known; taken as: never sent twice",
        ),
        (
            r#""bounded""#,
            r#""lucky""#,
            false,
            "consistency[0] is \"lucky\", which is not known; taken as: only the primary",
        ),
        (r#"[1.5,0]"#, r#"[0,0]"#, false, "class tiles: a bound of 0 s"),
        (r#""probes":true"#, r#""probes":false"#, false, "probes are not allowed"),
        (r#""aim":1.2"#, r#""aim":6"#, false, "class export: its aim of 6 s is past its deadline"),
    ] {
        let (code, output_text) = check(from, to, false);
        assert_eq!(code, Some(if rejected { 2 } else { 0 }), "{output_text}");
        assert!(output_text.contains(part), "'{part}' is not in: {output_text}");
    }
}
