//! The list followed in a registry by the running program.

use std::time::{Duration, Instant};

use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const VALUE: &[u8] = b"\x9f\x00\x03";

/// Three machines that answer by themselves; the first says that it is the primary.
fn three() -> [AnsweringMember; 3] {
    ["writer", "reader", "reader"].map(|role| AnsweringMember::new(move |_| answer_with_role(VALUE, role)))
}

fn put(registry: &Registry, machines: &[AnsweringMember], name: usize, status: &str) {
    let value = Registry::member_value(machines[name].address, 2, status);
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
fn reads(pooler: &Pooler, machines: &[AnsweringMember], count: usize) -> (usize, Vec<usize>) {
    let before: Vec<usize> = machines.iter().map(AnsweringMember::count).collect();
    let mut wire = client(pooler);
    let mut served = 0;
    for n in 0..count {
        wire.send(&query(&request_sql(&format!("r{n}"), "reports")));
        served += usize::from(wire.answer().first().is_some_and(|(kind, _)| *kind == b'T'));
    }
    let by = machines.iter().zip(before).map(|(machine, before)| machine.count() - before);
    (served, by.collect())
}

/// Waits until reads go to these machines and no others.
fn until(pooler: &Pooler, machines: &[AnsweringMember], wanted: &[bool]) {
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
    let operator = OperatorFolder::new("registry", &settings(&[&registry]));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
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
    pooler.wait_for_log("registry.poisoned");
    until(&pooler, &machines, &[false, true, true]);
    put(&registry, &machines, 2, "DRAINING");
    until(&pooler, &machines, &[false, true, false]);
    // Changed and deleted at once: gone.
    let value = Registry::member_value(machines[1].address, 2, "SERVING");
    registry.write(&[("/dewferry/members/s-1", Some(&value)), ("/dewferry/members/s-1", None)]);
    until(&pooler, &machines, &[true, false, false]);
}

#[test]
fn what_happened_while_the_registry_was_away_and_compacted_is_seen() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &machines, n, "SERVING"));
    let operator = OperatorFolder::new("registry-away", &settings(&[&registry]));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    until(&pooler, &machines, &[false, true, true]);
    registry.set_close_at_once(true);
    pooler.wait_for_log("registry.lost");
    registry.write(&[("/dewferry/members/s-1", None)]);
    (0..50).for_each(|_| put(&registry, &machines, 2, "SERVING"));
    registry.compact();
    assert_eq!(reads(&pooler, &machines, 20).0, 20, "the last list holds");
    registry.set_close_at_once(false);
    pooler.wait_for_log("registry.compacted");
    until(&pooler, &machines, &[false, false, true]);
}

#[test]
fn of_three_endpoints_one_that_answers_is_enough() {
    let (machines, discovery) = (three(), Discovery::listen());
    let endpoints = [(); 3].map(|()| Registry::default());
    endpoints[..2].iter().for_each(|endpoint| endpoint.set_hang(true));
    (0..3).for_each(|n| put(&endpoints[2], &machines, n, "SERVING"));
    let operator = OperatorFolder::new("registry-three", &settings(&endpoints.each_ref()));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    until(&pooler, &machines, &[false, true, true]);
}

#[test]
fn a_list_that_comes_back_empty_is_not_believed_at_once() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &machines, n, "SERVING"));
    let more: Vec<String> = (0..3).map(|n| format!("/dewferry/drains/other-{n}")).collect();
    more.iter().for_each(|key| registry.write(&[(key, Some(""))]));
    let operator = OperatorFolder::new("registry-empty", &settings(&[&registry]));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    until(&pooler, &machines, &[false, true, true]);
    let mut all: Vec<(String, Option<&str>)> = more.into_iter().map(|key| (key, None)).collect();
    all.extend((0..3).map(|n| (format!("/dewferry/members/s-{n}"), None)));
    registry.write(&all.iter().map(|(key, value)| (key.as_str(), *value)).collect::<Vec<_>>());
    pooler.wait_for_log("registry.doubted");
    assert_eq!(reads(&pooler, &machines, 10).0, 10, "the last list holds");
    let begun = Instant::now();
    while !pooler.run_config(&["status"]).1.contains("members     0") {
        assert!(begun.elapsed() < Duration::from_secs(20), "still so after a while: believed");
    }
}

#[test]
fn the_source_changes_by_a_transaction_and_back() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    let lines: Vec<String> = (0..2).map(|n| machines[n].list_entry(&format!("s-{n}"), "here")).collect();
    let operator = OperatorFolder::new("registry-source", "change.probation_s = 0.5");
    let pooler = Pooler::start_with_operator(PROGRAM, &list(41, true, &lines), &discovery, &operator);
    until(&pooler, &machines, &[false, true, false]);
    (0..3).for_each(|n| put(&registry, &machines, n, if n == 1 { "DRAINING" } else { "SERVING" }));
    let next = operator.write("next.toml", &settings(&[&registry]));
    let (code, text) = pooler.run_config(&["apply", &next]);
    assert!(code == 1 && text.contains("list-unknown"), "{text}");
    assert_eq!(pooler.run_config(&["apply", &next, "--allow", "list-unknown"]).0, 0);
    until(&pooler, &machines, &[false, false, true]);
    let back = operator.write("back.toml", "change.probation_s = 0.5");
    assert_eq!(pooler.run_config(&["apply", &back, "--allow", "list-unknown"]).0, 0);
    // Until discovery has told a whole list the registry's holds, with its drain.
    assert_eq!(reads(&pooler, &machines, 20).1[1], 0);
}

#[test]
fn a_member_is_drained_from_the_command_line() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &machines, n, "SERVING"));
    let operator = OperatorFolder::new("registry-cli", &settings(&[&registry]));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
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

#[test]
fn an_endpoint_that_lags_and_answers_in_single_bytes_or_twice_takes_nothing_back() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &machines, n, "SERVING"));
    let lagging = registry.add_endpoint();
    for endpoint in [&registry, &lagging] {
        endpoint.change_faults(|faults| (faults.byte_by_byte, faults.duplicate_events) = (true, true));
    }
    lagging.set_close_at_once(true);
    let both = settings(&[&registry, &lagging]);
    let operator = OperatorFolder::new("registry-lag", &format!("{both}serializable = true\n"));
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    until(&pooler, &machines, &[false, true, true]);
    put(&registry, &machines, 1, "DRAINING");
    until(&pooler, &machines, &[false, false, true]);
    // The drain is not known at the endpoint that is left.
    lagging.change_faults(|faults| (faults.revisions_behind, faults.close_at_once) = (1, false));
    registry.set_close_at_once(true);
    pooler.wait_for_log("registry.stale");
    assert_eq!(reads(&pooler, &machines, 20), (20, vec![0, 0, 20]));
    lagging.change_faults(|faults| faults.revisions_behind = 0);
    put(&registry, &machines, 1, "SERVING");
    until(&pooler, &machines, &[false, true, true]);
}

#[test]
fn errors_that_are_no_json_slow_answers_and_silent_watches_are_got_over() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    (0..3).for_each(|n| put(&registry, &machines, n, "SERVING"));
    registry.change_faults(|faults| faults.status = 503);
    let text = settings(&[&registry]).replace("call_s", "silence_s = 1\ncall_s");
    let operator = OperatorFolder::new("registry-errors", &text);
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    assert!(pooler.wait_for_log("registry.lost").contains("not of the agreed form"));
    registry.change_faults(|faults| (faults.status, faults.delay) = (0, Duration::from_millis(200)));
    until(&pooler, &machines, &[false, true, true]);
    // A watch that tells nothing is given up for another, which tells what the first did not.
    registry.change_faults(|faults| faults.stall_watches = true);
    put(&registry, &machines, 1, "DRAINING");
    assert!(pooler.wait_for_log("registry.lost").contains("no answer in time"));
    registry.change_faults(|faults| faults.stall_watches = false);
    until(&pooler, &machines, &[false, false, true]);
}

#[test]
fn a_source_changed_under_load_fails_nothing_and_keeps_drains() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    let mut lines: Vec<String> = (0..3).map(|n| machines[n].list_entry(&format!("s-{n}"), "here")).collect();
    lines[1] = list_entry(machines[1].address, "s-1", "here", "DRAINING");
    let operator = OperatorFolder::new("registry-load", "change.probation_s = 0.5");
    let pooler = Pooler::start_with_operator(PROGRAM, &list(41, true, &lines), &discovery, &operator);
    until(&pooler, &machines, &[false, false, true]);
    (0..3).for_each(|n| put(&registry, &machines, n, "SERVING"));
    registry.write(&[("/dewferry/drains/s-1", Some("still"))]);
    let next = operator.write("next.toml", &settings(&[&registry]));
    let over = std::sync::atomic::AtomicBool::new(false);
    let drained = machines[1].count();
    std::thread::scope(|scope| {
        let load = (0..4).map(|n| {
            let (pooler, over) = (&pooler, &over);
            scope.spawn(move || {
                let (mut wire, mut asked) = (client(pooler), 0);
                while !over.load(std::sync::atomic::Ordering::SeqCst) {
                    wire.send(&query(&request_sql(&format!("load{n}-{asked}"), "reports")));
                    assert_eq!(wire.answer().first().map(|(kind, _)| *kind), Some(b'T'), "{n}, {asked}");
                    asked += 1;
                }
                asked
            })
        });
        let load: Vec<_> = load.collect();
        assert_eq!(pooler.run_config(&["apply", &next, "--allow", "list-unknown"]).0, 0);
        pooler.wait_for_log("registry.following");
        over.store(true, std::sync::atomic::Ordering::SeqCst);
        let asked: usize = load.into_iter().map(|one| one.join().unwrap()).sum();
        assert!(asked > 0);
    });
    assert_eq!(machines[1].count(), drained, "drained before, meanwhile and after");
    registry.write(&[("/dewferry/drains/s-1", None)]);
    until(&pooler, &machines, &[false, true, true]);
}

#[test]
fn a_whole_list_goes_out_and_in_again_from_the_command_line() {
    let (machines, registry) = (three(), Registry::default());
    (0..3).for_each(|n| put(&registry, &machines, n, "SERVING"));
    registry.write(&[("/dewferry/drains/s-1", Some("disk"))]);
    let operator = OperatorFolder::new("registry-whole", &settings(&[&registry]));
    let run = |args: &[&str]| {
        let mut command = std::process::Command::new(PROGRAM);
        command.arg("registry").args(args).arg("--operator").arg(operator.file());
        let output = command.output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
    };
    let (code, whole, _) = run(&["export"]);
    assert_eq!(code, 0);
    let path = operator.0.join("list.json");
    let file = path.to_str().unwrap();
    std::fs::write(&path, &whole).unwrap();
    assert_eq!(run(&["import", file]).1, "0 of 0 keys written\n", "what is the same is not written");
    // 150 more members take two transactions.
    let more: String =
        (0..150).map(|n| format!(r#""n-{n}":{{"v":1,"address":"10.0.0.1:{}"}},"#, 1000 + n)).collect();
    std::fs::write(&path, whole.replacen("\"members\": {", &format!("\"members\": {{{more}"), 1)).unwrap();
    let (code, said, _) = run(&["import", file, "--dry-run"]);
    assert!(
        code == 0 && said.contains("would write /dewferry/members/n-149") && said.contains("0 of 150"),
        "{said}"
    );
    assert_eq!(
        run(&["import", file, "--json"]).1.trim(),
        r#"{"changes":150,"conflict":false,"written":150}"#
    );
    assert!(run(&["view"]).1.contains("153 members"));
    // A file with next to nothing in it is held up; without --prune nothing goes.
    std::fs::write(&path, r#"{"members":{}}"#).unwrap();
    assert_eq!(run(&["import", file]).1, "0 of 0 keys written\n");
    let (code, _, said) = run(&["import", file, "--prune"]);
    assert!(code == 2 && said.contains("153 of 153 members would be deleted"), "{said}");
    std::fs::write(&path, &whole).unwrap();
    assert_eq!(run(&["import", file, "--prune", "--allow-many"]).0, 0);
    assert_eq!(run(&["export"]).1.replace(char::is_numeric, ""), whole.replace(char::is_numeric, ""));
    for (bad, words) in [
        (r#"{"members":{"s-1":{"v":2}}}"#, "members.s-1"),
        (r#"{"members":{},"drains":{"s-9":""}}"#, "drains.s-9"),
        (r#"{"memberz":{}}"#, "memberz"),
    ] {
        std::fs::write(&path, bad).unwrap();
        let (code, _, said) = run(&["import", file]);
        assert!(code == 2 && said.contains(words), "{said}");
    }
    let seen = std::thread::scope(|scope| {
        let watch = scope.spawn(|| run(&["watch", "--json", "--for", "3"]).1);
        let begun = Instant::now();
        let mut status = ["DRAINING", "SERVING"].iter().cycle();
        while !watch.is_finished() && begun.elapsed() < Duration::from_secs(20) {
            put(&registry, &machines, 2, status.next().unwrap());
            std::thread::sleep(Duration::from_millis(300));
        }
        watch.join().unwrap()
    });
    let of = |words: &str| seen.lines().filter(|line| line.contains("s-2") && line.contains(words)).count();
    assert!(of("draining") > 0 && of("serving") > 0, "{seen}");
}

#[test]
fn a_first_list_that_lacks_most_of_what_stands_is_held_back_for_a_while() {
    let (machines, registry, discovery) = (three(), Registry::default(), Discovery::listen());
    let mut lines: Vec<String> = (0..3).map(|n| machines[n].list_entry(&format!("s-{n}"), "here")).collect();
    lines.push(list_entry("127.0.0.1:1".parse().unwrap(), "s-3", "here", "DRAINING"));
    let operator = OperatorFolder::new("registry-first", "change.probation_s = 0.3");
    let pooler = Pooler::start_with_operator(PROGRAM, &list(41, true, &lines), &discovery, &operator);
    until(&pooler, &machines, &[false, true, true]);
    put(&registry, &machines, 0, "SERVING");
    let next = operator.write("next.toml", &settings(&[&registry]));
    assert_eq!(pooler.run_config(&["apply", &next, "--allow", "list-unknown"]).0, 0);
    pooler.wait_for_log("lacks 3 of the 4 members");
    assert_eq!(reads(&pooler, &machines, 10).1[0], 0, "the list of before holds");
    until(&pooler, &machines, &[true, false, false]);
}
