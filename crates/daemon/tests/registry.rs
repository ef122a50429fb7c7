//! The running program with its list of members in a registry.

use std::time::{Duration, Instant};

use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const VALUE: &[u8] = b"\x9f\x00\x03";

/// Three members that answer every request; the first reports that it is the primary.
fn three_members() -> [AnsweringMember; 3] {
    ["writer", "reader", "reader"].map(|role| AnsweringMember::new(move |_| answer_with_role(VALUE, role)))
}

fn put(registry: &Registry, members: &[AnsweringMember], name: usize, status: &str) {
    let value = Registry::member_value(members[name].address, 2, status);
    registry.write(&[(&format!("/dewferry/members/s-{name}"), Some(&value))]);
}

fn settings(endpoints: &[&Registry]) -> String {
    let list: Vec<String> = endpoints.iter().map(|endpoint| format!("\"{}\"", endpoint.address)).collect();
    format!(
        "[change]\nprobation_s = 0.5\n[registry]\ncall_s = 0.5\nguard_s = 1\nendpoints = [{}]\n",
        list.join(",")
    )
}

/// Sends `count` reads; returns how many are served, and how many requests each member got.
fn reads(pooler: &Pooler, members: &[AnsweringMember], count: usize) -> (usize, Vec<usize>) {
    let before: Vec<usize> = members.iter().map(AnsweringMember::count).collect();
    let mut wire = client(pooler);
    let mut served = 0;
    for n in 0..count {
        wire.send(&query(&request_sql(&format!("r{n}"), "reports")));
        served += usize::from(wire.answer().first().is_some_and(|(kind, _)| *kind == b'T'));
    }
    let by = members.iter().zip(before).map(|(member, before)| member.count() - before);
    (served, by.collect())
}

/// Waits until exactly those members that `expected` marks get reads.
fn wait_for_reads_at(pooler: &Pooler, members: &[AnsweringMember], expected: &[bool]) {
    let started = Instant::now();
    loop {
        let (served, by) = reads(pooler, members, 20);
        if served == 20 && by.iter().zip(expected).all(|(count, expected)| (*count > 0) == *expected) {
            return;
        }
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "{served} of 20 reads are served, by {by:?}; expected {expected:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn members_and_drains_are_followed_and_a_malformed_value_affects_only_its_key() {
    let (members, registry, discovery) = (three_members(), Registry::default(), Discovery::listen());
    (0..2).for_each(|n| put(&registry, &members, n, "SERVING"));
    let operator = OperatorFolder::new("registry", &settings(&[&registry]));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    wait_for_reads_at(&pooler, &members, &[false, true, false]);
    put(&registry, &members, 2, "SERVING");
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
    // An operator's drain is a key of its own; deleting the key ends the drain.
    registry.write(&[("/dewferry/drains/s-1", Some("disk"))]);
    wait_for_reads_at(&pooler, &members, &[false, false, true]);
    registry.write(&[("/dewferry/drains/s-1", None)]);
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
    // Values that are not JSON, of another version, or too long: the member stays as it was, and the next
    // change is applied.
    let long = "x".repeat(1_000_000);
    for malformed in ["not JSON", r#"{"v":2}"#, &long] {
        registry.write(&[("/dewferry/members/s-1", Some(malformed))]);
    }
    pooler.wait_for_log("registry.poisoned");
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
    put(&registry, &members, 2, "DRAINING");
    wait_for_reads_at(&pooler, &members, &[false, true, false]);
    // A member that is changed and deleted in one transaction is removed.
    let value = Registry::member_value(members[1].address, 2, "SERVING");
    registry.write(&[("/dewferry/members/s-1", Some(&value)), ("/dewferry/members/s-1", None)]);
    wait_for_reads_at(&pooler, &members, &[true, false, false]);
}

#[test]
fn changes_during_an_outage_with_compaction_are_applied() {
    let (members, registry, discovery) = (three_members(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &members, n, "SERVING"));
    let operator = OperatorFolder::new("registry-away", &settings(&[&registry]));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
    registry.set_close_at_once(true);
    pooler.wait_for_log("registry.lost");
    registry.write(&[("/dewferry/members/s-1", None)]);
    (0..50).for_each(|_| put(&registry, &members, 2, "SERVING"));
    registry.compact();
    assert_eq!(reads(&pooler, &members, 20).0, 20, "the last list is not in force");
    registry.set_close_at_once(false);
    pooler.wait_for_log("registry.compacted");
    wait_for_reads_at(&pooler, &members, &[false, false, true]);
}

#[test]
fn one_answering_endpoint_of_three_is_enough() {
    let (members, discovery) = (three_members(), Discovery::listen());
    let endpoints = [(); 3].map(|()| Registry::default());
    endpoints[..2].iter().for_each(|endpoint| endpoint.set_hang(true));
    (0..3).for_each(|n| put(&endpoints[2], &members, n, "SERVING"));
    let operator = OperatorFolder::new("registry-three", &settings(&endpoints.each_ref()));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
}

#[test]
fn a_list_that_becomes_empty_is_applied_only_after_a_delay() {
    let (members, registry, discovery) = (three_members(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &members, n, "SERVING"));
    let drains: Vec<String> = (0..3).map(|n| format!("/dewferry/drains/other-{n}")).collect();
    drains.iter().for_each(|key| registry.write(&[(key, Some(""))]));
    let operator = OperatorFolder::new("registry-empty", &settings(&[&registry]));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
    let mut deletions: Vec<(String, Option<&str>)> = drains.into_iter().map(|key| (key, None)).collect();
    deletions.extend((0..3).map(|n| (format!("/dewferry/members/s-{n}"), None)));
    registry.write(&deletions.iter().map(|(key, value)| (key.as_str(), *value)).collect::<Vec<_>>());
    pooler.wait_for_log("registry.doubted");
    assert_eq!(reads(&pooler, &members, 10).0, 10, "the last list is not in force");
    let started = Instant::now();
    while !pooler.run_config(&["status"]).1.contains("members     0") {
        assert!(started.elapsed() < Duration::from_secs(20), "the empty list is not applied after 20 s");
    }
}

#[test]
fn the_list_source_changes_to_the_registry_and_back() {
    let (members, registry, discovery) = (three_members(), Registry::default(), Discovery::listen());
    let lines: Vec<String> = (0..2).map(|n| members[n].list_entry(&format!("s-{n}"), "here")).collect();
    let operator = OperatorFolder::new("registry-source", "change.probation_s = 0.5");
    let pooler = Pooler::start_with_operator(PROGRAM, &list(41, true, &lines), &discovery, &operator);
    wait_for_reads_at(&pooler, &members, &[false, true, false]);
    (0..3).for_each(|n| put(&registry, &members, n, if n == 1 { "DRAINING" } else { "SERVING" }));
    let next = operator.write("next.toml", &settings(&[&registry]));
    let (code, text) = pooler.run_config(&["apply", &next]);
    assert!(code == 1 && text.contains("list-unknown"), "{text}");
    assert_eq!(pooler.run_config(&["apply", &next, "--allow", "list-unknown"]).0, 0);
    wait_for_reads_at(&pooler, &members, &[false, false, true]);
    let back = operator.write("back.toml", "change.probation_s = 0.5");
    assert_eq!(pooler.run_config(&["apply", &back, "--allow", "list-unknown"]).0, 0);
    // Until discovery has sent a full list, the list of the registry stays in force with its drain.
    assert_eq!(reads(&pooler, &members, 20).1[1], 0);
}

#[test]
fn a_member_is_drained_and_undrained_from_the_command_line() {
    let (members, registry, discovery) = (three_members(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &members, n, "SERVING"));
    let operator = OperatorFolder::new("registry-cli", &settings(&[&registry]));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
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
    assert_eq!(reads(&pooler, &members, 20).0, 20);
    assert_eq!(run(&["drain", "s-1", "--note", "disk"]).0, 0);
    wait_for_reads_at(&pooler, &members, &[false, false, true]);
    assert!(run(&["view", "--json"]).1.contains(r#""status":"draining""#));
    assert!(run(&["drain", "s-1"]).1.contains("already"));
    assert_eq!(run(&["undrain", "s-1"]).0, 0);
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
    assert_eq!(run(&["check"]).0, 0);
    registry.write(&[("/dewferry/members/s-2", Some("{}"))]);
    let (code, text) = run(&["check"]);
    assert!(code == 1 && text.contains("s-2: missing field"), "{text}");
}

#[test]
fn a_lagging_endpoint_with_split_and_duplicate_answers_reverts_no_change() {
    let (members, registry, discovery) = (three_members(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &members, n, "SERVING"));
    let lagging = registry.add_endpoint();
    for endpoint in [&registry, &lagging] {
        endpoint.change_faults(|faults| (faults.byte_by_byte, faults.duplicate_events) = (true, true));
    }
    lagging.set_close_at_once(true);
    let both = settings(&[&registry, &lagging]);
    let operator = OperatorFolder::new("registry-lag", &format!("{both}serializable = true\n"));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
    put(&registry, &members, 1, "DRAINING");
    wait_for_reads_at(&pooler, &members, &[false, false, true]);
    // The remaining endpoint does not have the drain yet.
    lagging.change_faults(|faults| (faults.revisions_behind, faults.close_at_once) = (1, false));
    registry.set_close_at_once(true);
    pooler.wait_for_log("registry.stale");
    assert_eq!(reads(&pooler, &members, 20), (20, vec![0, 0, 20]));
    lagging.change_faults(|faults| faults.revisions_behind = 0);
    put(&registry, &members, 1, "SERVING");
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
}

#[test]
fn the_pooler_recovers_from_malformed_errors_slow_answers_and_silent_watches() {
    let (members, registry, discovery) = (three_members(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &members, n, "SERVING"));
    registry.change_faults(|faults| faults.status = 503);
    let text = settings(&[&registry]).replace("call_s", "silence_s = 1\ncall_s");
    let operator = OperatorFolder::new("registry-errors", &text);
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    assert!(pooler.wait_for_log("registry.lost").contains("not of the agreed form"));
    registry.change_faults(|faults| (faults.status, faults.delay) = (0, Duration::from_millis(200)));
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
    // A silent watch is replaced by another, which delivers the missed change.
    registry.change_faults(|faults| faults.stall_watches = true);
    put(&registry, &members, 1, "DRAINING");
    assert!(pooler.wait_for_log("registry.lost").contains("no answer in time"));
    registry.change_faults(|faults| faults.stall_watches = false);
    wait_for_reads_at(&pooler, &members, &[false, false, true]);
}

#[test]
fn a_change_of_list_source_under_load_fails_no_request_and_keeps_drains() {
    let (members, registry, discovery) = (three_members(), Registry::default(), Discovery::listen());
    let mut lines: Vec<String> = (0..3).map(|n| members[n].list_entry(&format!("s-{n}"), "here")).collect();
    lines[1] = list_entry(members[1].address, "s-1", "here", "DRAINING");
    let operator = OperatorFolder::new("registry-load", "change.probation_s = 0.5");
    let pooler = Pooler::start_with_operator(PROGRAM, &list(41, true, &lines), &discovery, &operator);
    wait_for_reads_at(&pooler, &members, &[false, false, true]);
    (0..3).for_each(|n| put(&registry, &members, n, "SERVING"));
    registry.write(&[("/dewferry/drains/s-1", Some("still"))]);
    let next = operator.write("next.toml", &settings(&[&registry]));
    let stop = std::sync::atomic::AtomicBool::new(false);
    let count_before = members[1].count();
    std::thread::scope(|scope| {
        let load = (0..4).map(|n| {
            let (pooler, stop) = (&pooler, &stop);
            scope.spawn(move || {
                let (mut wire, mut sent) = (client(pooler), 0);
                while !stop.load(std::sync::atomic::Ordering::SeqCst) {
                    wire.send(&query(&request_sql(&format!("load{n}-{sent}"), "reports")));
                    assert_eq!(wire.answer().first().map(|(kind, _)| *kind), Some(b'T'), "{n}, {sent}");
                    sent += 1;
                }
                sent
            })
        });
        let load: Vec<_> = load.collect();
        assert_eq!(pooler.run_config(&["apply", &next, "--allow", "list-unknown"]).0, 0);
        pooler.wait_for_log("registry.following");
        stop.store(true, std::sync::atomic::Ordering::SeqCst);
        let sent: usize = load.into_iter().map(|one| one.join().unwrap()).sum();
        assert!(sent > 0);
    });
    assert_eq!(
        members[1].count(),
        count_before,
        "the drained member got requests during the change of source"
    );
    registry.write(&[("/dewferry/drains/s-1", None)]);
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
}

#[test]
fn export_and_import_transfer_a_full_list() {
    let (members, registry) = (three_members(), Registry::default());
    (0..3).for_each(|n| put(&registry, &members, n, "SERVING"));
    registry.write(&[("/dewferry/drains/s-1", Some("disk"))]);
    let operator = OperatorFolder::new("registry-whole", &settings(&[&registry]));
    let run = |args: &[&str]| {
        let mut command = std::process::Command::new(PROGRAM);
        command.arg("registry").args(args).arg("--operator").arg(operator.file());
        let output = command.output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
    };
    let (code, full_list, _) = run(&["export"]);
    assert_eq!(code, 0);
    let path = operator.0.join("list.json");
    let file = path.to_str().unwrap();
    std::fs::write(&path, &full_list).unwrap();
    assert_eq!(run(&["import", file]).1, "0 of 0 keys written\n", "unchanged keys were written");
    // 150 more members take two transactions.
    let more: String =
        (0..150).map(|n| format!(r#""n-{n}":{{"v":1,"address":"10.0.0.1:{}"}},"#, 1000 + n)).collect();
    std::fs::write(&path, full_list.replacen("\"members\": {", &format!("\"members\": {{{more}"), 1))
        .unwrap();
    let (code, output, _) = run(&["import", file, "--dry-run"]);
    assert!(
        code == 0 && output.contains("would write /dewferry/members/n-149") && output.contains("0 of 150"),
        "{output}"
    );
    assert_eq!(
        run(&["import", file, "--json"]).1.trim(),
        r#"{"changes":150,"conflict":false,"written":150}"#
    );
    assert!(run(&["view"]).1.contains("153 members"));
    // Without --prune nothing is deleted; with it, a file that would delete most members is rejected.
    std::fs::write(&path, r#"{"members":{}}"#).unwrap();
    assert_eq!(run(&["import", file]).1, "0 of 0 keys written\n");
    let (code, _, output) = run(&["import", file, "--prune"]);
    assert!(code == 2 && output.contains("153 of 153 members would be deleted"), "{output}");
    std::fs::write(&path, &full_list).unwrap();
    assert_eq!(run(&["import", file, "--prune", "--allow-many"]).0, 0);
    assert_eq!(run(&["export"]).1.replace(char::is_numeric, ""), full_list.replace(char::is_numeric, ""));
    for (malformed, expected) in [
        (r#"{"members":{"s-1":{"v":2}}}"#, "members.s-1"),
        (r#"{"members":{},"drains":{"s-9":""}}"#, "drains.s-9"),
        (r#"{"memberz":{}}"#, "memberz"),
    ] {
        std::fs::write(&path, malformed).unwrap();
        let (code, _, output) = run(&["import", file]);
        assert!(code == 2 && output.contains(expected), "{output}");
    }
    let watched = std::thread::scope(|scope| {
        let watch = scope.spawn(|| run(&["watch", "--json", "--for", "3"]).1);
        let started = Instant::now();
        let mut status = ["DRAINING", "SERVING"].iter().cycle();
        while !watch.is_finished() && started.elapsed() < Duration::from_secs(20) {
            put(&registry, &members, 2, status.next().unwrap());
            std::thread::sleep(Duration::from_millis(300));
        }
        watch.join().unwrap()
    });
    let lines_with = |expected: &str| {
        watched.lines().filter(|line| line.contains("s-2") && line.contains(expected)).count()
    };
    assert!(lines_with("draining") > 0 && lines_with("serving") > 0, "{watched}");
}

#[test]
fn a_first_list_that_lacks_most_members_is_applied_only_after_a_delay() {
    let (members, registry, discovery) = (three_members(), Registry::default(), Discovery::listen());
    let mut lines: Vec<String> = (0..3).map(|n| members[n].list_entry(&format!("s-{n}"), "here")).collect();
    lines.push(list_entry("127.0.0.1:1".parse().unwrap(), "s-3", "here", "DRAINING"));
    let operator = OperatorFolder::new("registry-first", "change.probation_s = 0.3");
    let pooler = Pooler::start_with_operator(PROGRAM, &list(41, true, &lines), &discovery, &operator);
    wait_for_reads_at(&pooler, &members, &[false, true, true]);
    put(&registry, &members, 0, "SERVING");
    let next = operator.write("next.toml", &settings(&[&registry]));
    assert_eq!(pooler.run_config(&["apply", &next, "--allow", "list-unknown"]).0, 0);
    pooler.wait_for_log("lacks 3 of the 4 members");
    assert_eq!(reads(&pooler, &members, 10).1[0], 0, "the previous list is not in force");
    wait_for_reads_at(&pooler, &members, &[true, false, false]);
}
