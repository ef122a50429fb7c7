//! Several instances that exchange state, with faults between them: no session reads data older than its own
//! write, and the state of all instances converges.

use std::time::Duration;

use rig::{Faults, Load, LoadTotals, Rig, RigConfig};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

fn rig_config(instances: usize) -> RigConfig {
    RigConfig {
        instances,
        exchange_state: true,
        state_folders: false,
        replica_lag: Duration::from_millis(600),
        probes: false,
        control: 0,
    }
}

fn listen_addresses(rig: &Rig) -> Vec<std::net::SocketAddr> {
    rig.instances.iter().map(|instance| instance.listen).collect()
}

fn pause(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

#[test]
fn moving_sessions_read_their_own_writes_through_kills_stops_and_partitions() {
    let mut rig = Rig::new(PROGRAM, rig_config(3));
    assert!(rig.wait_until_converged(Duration::from_secs(20)).is_some(), "{:#}", rig.status(0));
    let load = Load::new(listen_addresses(&rig), 8, Duration::from_millis(1_500), 1);
    pause(1_000);
    for round in 0..4 {
        let n = round % 3;
        match round {
            0 => {
                rig.kill(n);
                pause(700);
                rig.start(n);
            }
            1 => {
                rig.set_stopped(n, true);
                pause(1_500);
                rig.set_stopped(n, false);
            }
            2 => {
                rig.change_faults_between(&[n], |faults| faults.block = true);
                pause(4_000);
                rig.change_faults_between(&[n], |faults| faults.block = false);
            }
            _ => {
                rig.change_all_faults(|f| (f.loss, f.duplication, f.corruption) = (0.3, 0.2, 0.05));
                pause(1_500);
                rig.change_all_faults(|f| *f = Default::default());
            }
        }
        pause(800);
    }
    let totals = load.finish();
    assert!(totals.reads > 200 && totals.writes > 200, "{} reads, {} writes", totals.reads, totals.writes);
    assert_eq!(
        (totals.stale_reads, totals.stale_delayed_reads),
        (0, 0),
        "of {} and {}",
        totals.reads,
        totals.delayed_reads
    );
    assert!(rig.wait_until_converged(Duration::from_secs(30)).is_some(), "{:#}", rig.status(0));
}

#[test]
fn an_instance_without_peers_listens_and_datagrams_under_another_key_are_dropped() {
    let mut rig = Rig::new(PROGRAM, rig_config(2));
    assert!(rig.wait_until_converged(Duration::from_secs(20)).is_some(), "{:#}", rig.status(0));
    rig.kill(1);
    rig.write_key("ff".repeat(32).as_str());
    rig.start(1);
    rig.wait_until_listening(1);
    pause(500);
    let status = rig.status(1);
    assert_eq!(status["instances"].as_array().map(Vec::len), Some(1), "{status:#}");
    assert!(rig.status(0)["forged"].as_u64() > Some(0), "{:#}", rig.status(0));
}

/// Runs sessions under load during `action`. Checks that no read is stale and that the instances converge at
/// the end.
fn run_under_load(rig: &mut Rig, seed: u64, action: impl FnOnce(&mut Rig)) -> LoadTotals {
    assert!(rig.wait_until_converged(Duration::from_secs(20)).is_some(), "{:#}", rig.status(0));
    rig.run_under_load(seed, Duration::from_secs(30), action)
}

#[test]
fn a_partition_with_writes_on_both_sides_and_a_zone_restart_leave_nothing_stale() {
    let mut rig = Rig::new(PROGRAM, rig_config(5));
    run_under_load(&mut rig, 2, |rig| {
        rig.change_faults_between(&[1, 3], |faults| faults.block = true);
        // Longer than the time that instances without a majority wait before they accept writes, so both
        // sides do.
        pause(5_000);
        rig.change_faults_between(&[1, 3], |faults| faults.block = false);
        pause(1_000);
        // Both instances of the second zone at once.
        for n in [1, 3] {
            rig.kill(n);
        }
        for n in [1, 3] {
            rig.start(n);
        }
        (0..5).for_each(|n| rig.wait_until_listening(n));
    });
}

#[test]
fn a_rolling_restart_and_starts_from_old_or_truncated_state_leave_nothing_stale() {
    let mut rig = Rig::new(PROGRAM, RigConfig { state_folders: true, ..rig_config(3) });
    run_under_load(&mut rig, 3, |rig| {
        let (state_file, old_copy) = (rig.state_folder(0).join("instances"), rig.state_folder(0).join("old"));
        std::fs::copy(&state_file, &old_copy).unwrap();
        for n in 0..3 {
            rig.terminate(n);
            rig.start(n);
            rig.wait_until_listening(n);
            pause(300);
        }
        // Killed, then started with an older copy of its state file, and then with a truncated one.
        for length in [u64::MAX, 7] {
            rig.kill(0);
            std::fs::copy(&old_copy, &state_file).unwrap();
            let file = std::fs::OpenOptions::new().write(true).open(&state_file).unwrap();
            file.set_len(length.min(file.metadata().unwrap().len())).unwrap();
            rig.start(0);
            rig.wait_until_listening(0);
            pause(300);
        }
    });
}

#[test]
fn one_way_partitions_delayed_datagrams_and_noise_leave_nothing_stale() {
    let mut rig = Rig::new(PROGRAM, rig_config(3));
    run_under_load(&mut rig, 4, |rig| {
        rig.relays[0].iter().flatten().for_each(|relay| relay.change_faults(|faults| faults.block = true));
        pause(1_500);
        rig.change_all_faults(|faults| {
            *faults = Faults {
                loss: 0.5,
                duplication: 0.5,
                delayed_share: 0.5,
                delay: Duration::from_millis(400),
                ..*faults
            };
        });
        pause(1_500);
        rig.change_all_faults(|faults| *faults = Faults::default());
        let noise = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for n in 0..2_000u32 {
            let relay = rig.relays[0][1 + n as usize % 2].as_ref().unwrap();
            noise.send_to(&n.to_be_bytes().repeat(1 + n as usize % 200), relay.address).unwrap();
        }
    });
    assert!(rig.status(1)["forged"].as_u64() > Some(100), "{:#}", rig.status(1));
}

#[test]
fn peers_commands_answer_and_a_forgotten_instance_can_rejoin() {
    let mut rig = Rig::new(PROGRAM, rig_config(2));
    assert!(rig.wait_until_converged(Duration::from_secs(20)).is_some(), "{:#}", rig.status(0));
    let status = rig.status(0);
    assert_eq!((status["self"].as_str(), status["instances"][1]["name"].as_str()), (Some("n0"), Some("n1")));
    assert!(status["instances"][1]["behind_s"].as_f64() < Some(5.0), "{status:#}");
    assert!(rig.run_peers_command(0, &["explain", "session", "k"]).contains("reads_need"));
    assert!(rig.run_peers_command(0, &["explain", "member", "s-replica"]).contains("told: serving"));
    assert!(rig.run_peers_command(0, &["explain", "colour", "k"]).contains("accepted: member, session"));
    // Members are reported at intervals, which are longer between zones.
    let started = std::time::Instant::now();
    while !rig.run_peers_command(0, &["members"]).contains("s-primary") {
        assert!(started.elapsed() < Duration::from_secs(20), "{}", rig.run_peers_command(0, &["members"]));
        pause(50);
    }
    rig.kill(1);
    assert!(rig.run_peers_command(0, &["forget", "n7"]).contains("no instance n7"));
    assert!(rig.run_peers_command(0, &["forget", "n1"]).contains("n1 is over"));
    assert_eq!(rig.status(0)["instances"][1]["state"], "dead");
    rig.start(1);
    rig.wait_until_listening(1);
    assert!(rig.wait_until_converged(Duration::from_secs(20)).is_some(), "{:#}", rig.status(0));
    rig.terminate(1);
    assert_eq!(rig.status(0)["instances"][1]["state"], "left");
}
