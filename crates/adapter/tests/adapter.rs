//! Runs the adapter on short transcripts.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const OPEN: &str = r#"["turn",1.0]
["openInstance",3,42,{"classes":[{"aim":0.4,"deadline":1.0,"effect":"read_like","value":1.0,"odd":[1]}],
"#;

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dewferry-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit at a malformed line before it has read the whole input.
    let _ = child.stdin.take().expect("a pipe").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn opening() -> String {
    OPEN.trim_end().to_string()
        + r#""specifics":{"consistency":["any"],"baseTime":0,"whenBehind":"refuse"},"unknown":{"a":1}}]
["inventory",0,[["a:1",0,0,0,"active",1,null,1],["b:1",0,0,0,"active",1,null,0,"extra"]]]
["members",3,"SAVED",1,0]
"#
}

#[test]
fn a_batch_gets_one_reply_with_the_ids_unchanged() {
    let input = opening() + "[\"arrival\",3,\"t/x\",0.9,0,null,0,0,null,0,0]\n[\"yourTurn\"]\n";
    let output = run_adapter(&input);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.contains(r#"["forward",3,"t/x","b:1","#), "{text}");
    assert_eq!(text.matches("[\"finished\"]").count(), 1);
    assert!(text.ends_with("[\"finished\"]\n"));
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run_adapter("[\"turn\",8.4]\n[\"yourTurn\"]\n");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"[\"finished\"]\n");
}

#[test]
fn a_killed_instance_sends_no_replies() {
    let input = opening() + "[\"arrival\",3,\"t/x\",0.9,0,null,0,0,null,0,0]\n[\"kill\",3]\n[\"yourTurn\"]\n";
    assert_eq!(run_adapter(&input).stdout, b"[\"finished\"]\n");
}

#[test]
fn malformed_lines_are_named_by_number() {
    for bad in [
        "{nonsense",
        "[]",
        "7",
        "[\"arrival\",3,\"t/x\",\"soon\",0,null,0,0,null,0,0]",
        "[\"unheardOf\",3]",
        "[\"done\",3,\"t/x\",0,\"a:1\",false,0.1,0,99,null]",
        "[\"members\",3,\"FULL\",1,9]",
    ] {
        let output = run_adapter(&(opening() + bad + "\n[\"yourTurn\"]\n"));
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{bad}");
        assert!(message.contains("line 5:") && !message.contains("panicked"), "{bad}: {message}");
    }
}

#[test]
fn settings_out_of_range_are_named_with_their_line() {
    for (from, to, field) in [
        (r#""deadline":1.0"#, r#""deadline":-1.0"#, "classes[0].deadline"),
        (r#"["any"]"#, r#"["any","write"]"#, "differ in length"),
        (r#""unknown""#, r#""fleetSize":0,"unknown""#, "fleet_size"),
    ] {
        let output = run_adapter(&opening().replace(from, to));
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{to}");
        assert!(message.contains("line 2:") && message.contains(field), "{message}");
    }
}
