//! The list followed in a registry by the running program.

use std::time::{Duration, Instant};

use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const VALUE: &[u8] = b"\x9f\x00\x03";

/// Three machines that answer by themselves; the first says that it is the primary.
fn three() -> [Answering; 3] {
    ["writer", "reader", "reader"].map(|role| Answering::new(move |_| served(VALUE, role)))
}

fn put(registry: &Registry, machines: &[Answering], name: usize, status: &str) {
    let value = Registry::member(machines[name].address, 2, status);
    registry.write(&[(&format!("/dewferry/members/s-{name}"), Some(&value))]);
}

fn settings(endpoints: &[&Registry]) -> String {
    let list: Vec<String> = endpoints.iter().map(|endpoint| format!("\"{}\"", endpoint.address)).collect();
    format!(
        "[change]\nprobation_s = 0.5\n[registry]\ncall_s = 0.5\nguard_s = 1\nendpoints = [{}]\n",
        list.join(",")
    )
}

/// How many of so many reads are served, and how many of them by each machine.
fn reads(pooler: &Pooler, machines: &[Answering], count: usize) -> (usize, Vec<usize>) {
    let before: Vec<usize> = machines.iter().map(Answering::count).collect();
    let mut wire = client(pooler);
    let mut served = 0;
    for n in 0..count {
        wire.send(&query(&ask(&format!("r{n}"), "reports")));
        served += usize::from(wire.answer().first().is_some_and(|(kind, _)| *kind == b'T'));
    }
    let by = machines.iter().zip(before).map(|(machine, before)| machine.count() - before);
    (served, by.collect())
}

/// Waits until reads go to these machines and no others.
fn until(pooler: &Pooler, machines: &[Answering], wanted: &[bool]) {
    let begun = Instant::now();
    loop {
        let (served, by) = reads(pooler, machines, 20);
        if served == 20 && by.iter().zip(wanted).all(|(count, wanted)| (*count > 0) == *wanted) {
            return;
        }
        assert!(begun.elapsed() < Duration::from_secs(20), "reads go to {by:?}, not to {wanted:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn members_and_drains_are_followed_and_a_bad_value_costs_its_change_alone() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    (0..2).for_each(|n| put(&registry, &machines, n, "SERVING"));
    let operator = Operator::new("registry", &settings(&[&registry]));
    let pooler = Pooler::operated(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    until(&pooler, &machines, &[false, true, false]);
    put(&registry, &machines, 2, "SERVING");
    until(&pooler, &machines, &[false, true, true]);
    // An operator's drain, as a key of its own, and back.
    registry.write(&[("/dewferry/drains/s-1", Some("disk"))]);
    until(&pooler, &machines, &[false, false, true]);
    registry.write(&[("/dewferry/drains/s-1", None)]);
    until(&pooler, &machines, &[false, true, true]);
    // Not JSON, another version, far too long: each member stays as it was, and the next change is seen.
    let long = "x".repeat(1_000_000);
    for bad in ["not JSON", r#"{"v":2}"#, &long] {
        registry.write(&[("/dewferry/members/s-1", Some(bad))]);
    }
    pooler.logged("registry.poisoned");
    until(&pooler, &machines, &[false, true, true]);
    put(&registry, &machines, 2, "DRAINING");
    until(&pooler, &machines, &[false, true, false]);
    // Changed and deleted at once: gone.
    let value = Registry::member(machines[1].address, 2, "SERVING");
    registry.write(&[("/dewferry/members/s-1", Some(&value)), ("/dewferry/members/s-1", None)]);
    until(&pooler, &machines, &[true, false, false]);
}

#[test]
fn what_happened_while_the_registry_was_away_and_compacted_is_seen() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &machines, n, "SERVING"));
    let operator = Operator::new("registry-away", &settings(&[&registry]));
    let pooler = Pooler::operated(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    until(&pooler, &machines, &[false, true, true]);
    registry.cut(true);
    pooler.logged("registry.lost");
    registry.write(&[("/dewferry/members/s-1", None)]);
    (0..50).for_each(|_| put(&registry, &machines, 2, "SERVING"));
    registry.compact();
    assert_eq!(reads(&pooler, &machines, 20).0, 20, "the last list holds");
    registry.cut(false);
    pooler.logged("registry.compacted");
    until(&pooler, &machines, &[false, false, true]);
}

#[test]
fn of_three_endpoints_one_that_answers_is_enough() {
    let (machines, discovery) = (three(), Discovery::listen());
    let endpoints = [(); 3].map(|()| Registry::default());
    endpoints[..2].iter().for_each(|endpoint| endpoint.hang(true));
    (0..3).for_each(|n| put(&endpoints[2], &machines, n, "SERVING"));
    let operator = Operator::new("registry-three", &settings(&endpoints.each_ref()));
    let pooler = Pooler::operated(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    until(&pooler, &machines, &[false, true, true]);
}

#[test]
fn a_list_that_comes_back_empty_is_not_believed_at_once() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &machines, n, "SERVING"));
    let more: Vec<String> = (0..3).map(|n| format!("/dewferry/drains/other-{n}")).collect();
    more.iter().for_each(|key| registry.write(&[(key, Some(""))]));
    let operator = Operator::new("registry-empty", &settings(&[&registry]));
    let pooler = Pooler::operated(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    until(&pooler, &machines, &[false, true, true]);
    let mut all: Vec<(String, Option<&str>)> = more.into_iter().map(|key| (key, None)).collect();
    all.extend((0..3).map(|n| (format!("/dewferry/members/s-{n}"), None)));
    registry.write(&all.iter().map(|(key, value)| (key.as_str(), *value)).collect::<Vec<_>>());
    pooler.logged("registry.doubted");
    assert_eq!(reads(&pooler, &machines, 10).0, 10, "the last list holds");
    let begun = Instant::now();
    while !pooler.config(&["status"]).1.contains("members     0") {
        assert!(begun.elapsed() < Duration::from_secs(20), "still so after a while: believed");
    }
}

#[test]
fn the_source_changes_by_a_transaction_and_back() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    let lines: Vec<String> = (0..2).map(|n| machines[n].line(&format!("s-{n}"), "here")).collect();
    let operator = Operator::new("registry-source", "change.probation_s = 0.5");
    let pooler = Pooler::operated(PROGRAM, &list(41, true, &lines), &discovery, &operator);
    until(&pooler, &machines, &[false, true, false]);
    (0..3).for_each(|n| put(&registry, &machines, n, if n == 1 { "DRAINING" } else { "SERVING" }));
    let next = operator.write("next.toml", &settings(&[&registry]));
    let (code, text) = pooler.config(&["apply", &next]);
    assert!(code == 1 && text.contains("list-unknown"), "{text}");
    assert_eq!(pooler.config(&["apply", &next, "--allow", "list-unknown"]).0, 0);
    until(&pooler, &machines, &[false, false, true]);
    let back = operator.write("back.toml", "change.probation_s = 0.5");
    assert_eq!(pooler.config(&["apply", &back, "--allow", "list-unknown"]).0, 0);
    // Until discovery has told a whole list the registry's holds, with its drain.
    assert_eq!(reads(&pooler, &machines, 20).1[1], 0);
}

#[test]
fn a_member_is_drained_from_the_command_line() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &machines, n, "SERVING"));
    let operator = Operator::new("registry-cli", &settings(&[&registry]));
    let pooler = Pooler::operated(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    until(&pooler, &machines, &[false, true, true]);
    let run = |args: &[&str]| {
        let output = std::process::Command::new(PROGRAM)
            .arg("registry")
            .args(args)
            .arg("--operator")
            .arg(operator.file())
            .output()
            .unwrap();
        (output.status.code().unwrap(), String::from_utf8([output.stdout, output.stderr].concat()).unwrap())
    };
    assert!(run(&["view"]).1.contains("3 members"));
    assert!(run(&["drain", "s-9"]).1.contains("no member of that name"));
    let (code, text) = run(&["drain", "s-1", "--dry-run"]);
    assert!(code == 0 && text.contains("would write /dewferry/drains/s-1"), "{text}");
    assert_eq!(reads(&pooler, &machines, 20).0, 20);
    assert_eq!(run(&["drain", "s-1", "--note", "disk"]).0, 0);
    until(&pooler, &machines, &[false, false, true]);
    assert!(run(&["view", "--json"]).1.contains(r#""status":"draining""#));
    assert!(run(&["drain", "s-1"]).1.contains("already"));
    assert_eq!(run(&["undrain", "s-1"]).0, 0);
    until(&pooler, &machines, &[false, true, true]);
    assert_eq!(run(&["check"]).0, 0);
    registry.write(&[("/dewferry/members/s-2", Some("{}"))]);
    let (code, text) = run(&["check"]);
    assert!(code == 1 && text.contains("s-2: missing field"), "{text}");
}
