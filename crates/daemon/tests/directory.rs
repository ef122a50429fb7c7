//! Several processes of the program whose sessions are kept by control instances, with faults between all of them: no session
//! reads what is older than its own write, and what cannot be proven goes to the primary or is refused.

use std::net::{TcpStream, UdpSocket};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use peers::{query, startup, Wire};
use rig::{ControlInstances, Faults, LoadTotals, Rig, RigConfig};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
/// Longer than a control instance is silent after its start, and longer than any lease.
const START: Duration = Duration::from_secs(20);
/// The longest time from the arrival of a write to its commit, where nothing is set.
const WRITE_BOUND: Duration = Duration::from_secs(3);
const LAG: Duration = Duration::from_millis(300);

fn shape(instances: usize, control: usize) -> RigConfig {
    RigConfig {
        instances,
        exchange_state: true,
        state_folders: false,
        replica_lag: LAG,
        probes: false,
        control,
    }
}

/// Poolers and control instances that have found each other.
fn started(instances: usize, control: usize) -> Rig {
    let rig = Rig::new(PROGRAM, shape(instances, control));
    assert!(rig.wait_until_converged(START).is_some(), "{:#}", rig.status(0));
    rig
}

fn control(rig: &mut Rig) -> &mut ControlInstances {
    rig.control.as_mut().expect("control instances")
}

fn pause(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

/// Sessions at work, moving at random, through what is done; nothing stale, and every group has its quorum in the end.
fn through(rig: &mut Rig, seed: u64, does: impl FnOnce(&mut Rig)) -> LoadTotals {
    rig.run_under_load(seed, START, does)
}

#[test]
fn sessions_that_move_read_their_own_writes() {
    let mut rig = started(3, 3);
    let sums = through(&mut rig, 1, |_| pause(4_000));
    assert_eq!((sums.refused, sums.failed), (0, 0), "{:?}", sums.first_failure);
    let status = rig.status(0);
    assert!(status["handovers"].as_u64() > Some(0), "{status:#}");
}

/// A session's first read at another pooler goes to the primary, and does not wait; those behind it are served near.
#[test]
fn a_session_that_has_arrived_reads_near_once_its_former_owner_has_answered() {
    const READS: u64 = 20;
    let rig = started(2, 3);
    let ask = |n: usize, class: &str, statement: &str| {
        let mut wire = Wire::from_stream(TcpStream::connect(rig.instances[n].listen).unwrap());
        let id = format!("{:016x}", fastrand::u64(1..));
        let about = format!("/* id={id},c={class},t=acme,d=1500,k={id},cluster=2 */ {statement}");
        wire.send(&[startup(), query(&about)].concat());
        wire.answer();
        let answer = wire.answer();
        assert_eq!(answer.first().map(|(kind, _)| *kind), Some(b'T'), "{answer:?}");
    };
    let read = |n| ask(n, "own-orders", "SELECT doc FROM items WHERE id = 'moves'");
    let at_replica = || rig.store.replica_reads.load(Ordering::Relaxed);
    let write = |n, session| {
        let values = format!("('{session}', '\\x0000000000000001')");
        ask(n, "order-write", &format!("INSERT INTO items (id, doc) VALUES {values} RETURNING doc"));
    };
    // Both learn who the primary is.
    write(1, "stays");
    write(0, "moves");
    // Whatever sessions wrote before the control instances started is behind the replica by then.
    std::thread::sleep(WRITE_BOUND + LAG * 3);
    read(1);
    assert_eq!(at_replica(), 0, "what has arrived a moment ago is read at the primary");
    pause(200);
    (0..READS).for_each(|_| read(1));
    assert_eq!(at_replica(), READS, "{:#}", rig.status(1));
}

#[test]
fn a_control_instance_that_is_killed_stopped_or_started_anew_costs_nothing() {
    let mut rig = started(3, 5);
    let sums = through(&mut rig, 2, |rig| {
        control(rig).kill(0);
        pause(3_000);
        control(rig).start(0);
        pause(3_500);
        control(rig).set_stopped(1, true);
        pause(3_000);
        control(rig).set_stopped(1, false);
        pause(1_000);
    });
    assert_eq!(sums.refused, 0, "a quorum of each group was there throughout");
}

#[test]
fn without_a_majority_of_control_instances_writes_are_refused_and_come_back_with_it() {
    let mut rig = started(2, 3);
    let sums = through(&mut rig, 3, |rig| {
        control(rig).kill(0);
        control(rig).kill(1);
        // Until the leases there are over.
        pause(4_500);
        let status = rig.status(0);
        assert_eq!(status["groups_with_quorum"].as_u64(), Some(0), "{status:#}");
        assert!(rig.run_peers_command(0, &["explain", "session", "k"]).contains("there is no quorum"));
        control(rig).start(0);
        control(rig).start(1);
        assert!(rig.wait_until_converged(START).is_some(), "{:#}", rig.status(0));
    });
    assert!(sums.refused > 0, "writes without a quorum are refused");
    let log = std::fs::read_to_string(rig.log_file(0)).unwrap();
    assert!(log.contains("directory.lost") && log.contains("directory.whole"), "{log}");
    let sums = through(&mut rig, 4, |_| pause(1_500));
    assert_eq!(sums.refused, 0, "writes are taken again");
}

#[test]
fn owners_that_are_killed_or_stopped_right_after_their_answers_leave_nothing_stale() {
    let mut rig = started(3, 3);
    through(&mut rig, 5, |rig| {
        for round in 0..4 {
            let n = round % 3;
            rig.kill(n);
            pause(300);
            rig.start(n);
            rig.wait_until_listening(n);
            pause(700);
        }
        // Longer than a lease: others own its sessions by the time it goes on.
        rig.set_stopped(1, true);
        pause(5_000);
        rig.set_stopped(1, false);
        pause(1_000);
    });
}

#[test]
fn cuts_one_way_and_both_and_bad_datagrams_leave_nothing_stale() {
    let mut rig = started(3, 3);
    through(&mut rig, 6, |rig| {
        // Heartbeats of one arrive, their answers do not.
        (0..3).for_each(|n| control(rig).change_faults_between(0, n, |faults| faults.block_replies = true));
        pause(3_500);
        (0..3).for_each(|n| control(rig).change_faults_between(0, n, |faults| *faults = Faults::default()));
        // One is cut off from the other poolers alone, then from control as well.
        rig.change_faults_between(&[1], |faults| faults.block = true);
        pause(2_500);
        (0..3).for_each(|n| control(rig).change_faults_between(1, n, |faults| faults.block = true));
        pause(3_500);
        rig.change_all_faults(|faults| *faults = Faults::default());
        control(rig).change_all_faults(|faults| *faults = Faults::default());
        pause(1_000);
        let bad = |faults: &mut Faults| {
            let late_by = Duration::from_millis(700);
            *faults = Faults {
                loss: 0.2,
                duplication: 0.2,
                corruption: 0.05,
                delayed_share: 0.2,
                delay: late_by,
                ..Faults::default()
            };
        };
        rig.change_all_faults(bad);
        control(rig).change_all_faults(bad);
        pause(4_000);
        rig.change_all_faults(|faults| *faults = Faults::default());
        control(rig).change_all_faults(|faults| *faults = Faults::default());
    });
}

#[test]
fn poolers_that_are_restarted_one_after_another_leave_nothing_stale() {
    let mut rig = started(3, 3);
    const RESTARTS: usize = 9;
    let sums = through(&mut rig, 7, |rig| {
        for round in 0..RESTARTS {
            rig.terminate(round % 3);
            rig.start(round % 3);
            rig.wait_until_listening(round % 3);
            pause(200);
        }
    });
    // A write that was sent while its session's former owner had not answered, and whose session has moved on since, cannot be
    // told from one that is not known of: it fails as one that may have run. A restart leaves one such session at the most.
    assert!(sums.failed <= RESTARTS as u64, "{} failed: {:?}", sums.failed, sums.first_failure);
    let words = sums.first_failure.unwrap_or_default();
    assert!(words.is_empty() || words.contains("58000"), "{words}");
}

#[test]
fn noise_at_the_ports_and_another_key_are_dropped_and_told_in_few_lines() {
    let mut rig = started(2, 3);
    let noise = UdpSocket::bind("127.0.0.1:0").unwrap();
    let ports: Vec<_> = rig.relays.iter().flatten().flatten().map(|relay| relay.address).collect();
    for n in 0..2_000u32 {
        let bytes = n.to_be_bytes().repeat(1 + n as usize % 400);
        noise.send_to(&bytes, ports[n as usize % ports.len()]).unwrap();
    }
    through(&mut rig, 8, |_| pause(1_000));
    let dropped = &rig.status(0)["dropped"];
    assert!(dropped["sealed by no key that is held here"].as_u64() > Some(100), "{dropped:#}");
    // One that starts with another key is alone, and refuses writes of sessions.
    rig.kill(1);
    rig.write_key("ff".repeat(32).as_str());
    rig.start(1);
    rig.wait_until_listening(1);
    pause(1_500);
    assert_eq!(rig.status(1)["groups_with_quorum"].as_u64(), Some(0));
    for n in [0, 1] {
        let log = std::fs::read_to_string(rig.log_file(n)).unwrap();
        let told = log.lines().filter(|line| line.contains("directory.dropped")).count();
        assert!(told <= 2, "{told} lines:\n{log}");
    }
}

#[test]
fn what_cannot_be_a_control_instance_is_one_clear_error() {
    let folder = std::env::temp_dir().join(format!("dewferry-control-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("control.toml");
    let run = |text: &str, name: &str| {
        std::fs::write(&file, text).unwrap();
        let mut command = Command::new(PROGRAM);
        let output = command.args(["control", "--name", name, "--operator"]).arg(&file).output().unwrap();
        (output.status.code(), String::from_utf8(output.stderr).unwrap())
    };
    let listed = "[peers]\ncontrol = [{ name = \"c1\", region = \"r\", address = \"127.0.0.1:1\" }]\n";
    for (text, name, words) in [
        (listed, "c2", "--name c2: not in peers.control; accepted: c1"),
        ("", "c1", "--name c1: not in peers.control"),
        (
            "[peers]\ncontrol = 3",
            "c1",
            "line 2, column 11: peers.control: is a whole number; accepted: at most 64",
        ),
        ("[peers]\ncontrols = []", "c1", "peers.controls: unknown key"),
    ] {
        let (code, told) = run(text, name);
        assert!(code == Some(2) && told.contains(words), "{words}: {code:?}: {told}");
    }
    // Where its port is taken, or it has no key, it says so and ends.
    let taken = UdpSocket::bind("127.0.0.1:0").unwrap();
    let text = listed.replace("127.0.0.1:1", &taken.local_addr().unwrap().to_string());
    let (code, told) = run(&text, "c1");
    assert!(code == Some(2) && told.contains("Address already in use"), "{code:?}: {told}");
    drop(taken);
    let (code, told) = run(&text, "c1");
    assert!(code == Some(2) && told.contains("peers.keys"), "{code:?}: {told}");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn one_that_ends_gives_its_sessions_back_at_once() {
    let mut rig = started(2, 3);
    through(&mut rig, 9, |rig| {
        rig.terminate(1);
        let begun = Instant::now();
        rig.start(1);
        rig.wait_until_listening(1);
        assert!(begun.elapsed() < Duration::from_secs(2));
    });
}
