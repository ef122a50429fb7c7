//! The command line of the pooler's program.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dewferry")).args(args).env_remove("LB_CONFIG").output().unwrap()
}

#[test]
fn version_is_that_of_the_crate() {
    let output = run(&["version"]);
    assert!(output.status.success());
    assert_eq!(output.stdout, format!("dewferry {}\n", env!("CARGO_PKG_VERSION")).as_bytes());
}

#[test]
fn a_configuration_that_cannot_be_used_is_named_with_its_fault() {
    let file = std::env::temp_dir().join(format!("dewferry-cli-{}.json", std::process::id()));
    let path = file.to_str().unwrap();
    let whole = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7f","settings":{
        "classes":[{"name":"a","aim":1,"deadline":2}],"specifics":{"consistency":["any"]},
        "invariants":{"tipMultiple":2}}}"#;
    for (from, to, fault) in [
        ("", "", ""),
        ("127.0.0.1:1", "nowhere", "'listen' is not an address"),
        ("7f", "xyz", "'seed' is not hexadecimal"),
        (r#""aim":1"#, r#""aim":-1"#, "classes[0].aim"),
        (r#""deadline":2"#, r#""deadline":"soon""#, "'deadline' is not a number"),
        (r#"{"listen""#, "", "not JSON"),
    ] {
        std::fs::write(&file, whole.replacen(from, to, 1)).unwrap();
        let output = run(&["check-config", "--config", path]);
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.success(), fault.is_empty(), "{fault}: {message}");
        assert!(fault.is_empty() || message.contains(path) && message.contains(fault), "{fault}: {message}");
    }
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn without_a_configuration_nothing_is_served() {
    let output = run(&["serve"]);
    assert!(!output.status.success());
    assert!(String::from_utf8(output.stderr).unwrap().contains("LB_CONFIG"));
}
