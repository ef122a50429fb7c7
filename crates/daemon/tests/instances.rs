//! Several processes of the program that talk, with faults between them: no session reads what is older than its own write,
//! and copies meet again.

use std::time::Duration;

use rig::{Faults, Load, LoadTotals, Rig, RigConfig};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

fn shape(instances: usize) -> RigConfig {
    RigConfig {
        instances,
        exchange_state: true,
        state_folders: false,
        replica_lag: Duration::from_millis(600),
        probes: false,
        control: 0,
    }
}

fn places(rig: &Rig) -> Vec<std::net::SocketAddr> {
    rig.instances.iter().map(|seat| seat.listen).collect()
}

fn pause(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

#[test]
fn sessions_that_move_read_their_own_writes_through_kills_stops_and_cuts() {
    let mut rig = Rig::new(PROGRAM, shape(3));
    assert!(rig.wait_until_converged(Duration::from_secs(20)).is_some(), "{:#}", rig.status(0));
    let load = Load::new(places(&rig), 8, Duration::from_millis(1_500), 1);
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
    let sums = load.finish();
    assert!(sums.reads > 200 && sums.writes > 200, "{} reads, {} writes", sums.reads, sums.writes);
    assert_eq!(
        (sums.stale_reads, sums.stale_delayed_reads),
        (0, 0),
        "of {} and {}",
        sums.reads,
        sums.delayed_reads
    );
    assert!(rig.wait_until_converged(Duration::from_secs(30)).is_some(), "{:#}", rig.status(0));
}

#[test]
fn one_alone_listens_and_one_with_another_key_is_not_heard() {
    let mut rig = Rig::new(PROGRAM, shape(2));
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

/// Sessions at work through what is done; nothing stale, and copies equal in the end.
fn through(rig: &mut Rig, seed: u64, does: impl FnOnce(&mut Rig)) -> LoadTotals {
    assert!(rig.wait_until_converged(Duration::from_secs(20)).is_some(), "{:#}", rig.status(0));
    rig.run_under_load(seed, Duration::from_secs(30), does)
}

#[test]
fn three_against_two_with_writes_on_both_sides_and_then_all_of_a_zone_anew() {
    let mut rig = Rig::new(PROGRAM, shape(5));
    through(&mut rig, 2, |rig| {
        rig.change_faults_between(&[1, 3], |faults| faults.block = true);
        // Past the patience of those that have no majority: both sides take writes.
        pause(5_000);
        rig.change_faults_between(&[1, 3], |faults| faults.block = false);
        pause(1_000);
        // Those of the second zone, at once.
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
fn a_roll_of_all_during_writes_and_starts_from_an_older_folder() {
    let mut rig = Rig::new(PROGRAM, RigConfig { state_folders: true, ..shape(3) });
    through(&mut rig, 3, |rig| {
        let (kept, old) = (rig.state_folder(0).join("instances"), rig.state_folder(0).join("old"));
        std::fs::copy(&kept, &old).unwrap();
        for n in 0..3 {
            rig.terminate(n);
            rig.start(n);
            rig.wait_until_listening(n);
            pause(300);
        }
        // Killed, and started with its folder as it was long ago, then with one that is cut off in the middle.
        for length in [u64::MAX, 7] {
            rig.kill(0);
            std::fs::copy(&old, &kept).unwrap();
            let file = std::fs::OpenOptions::new().write(true).open(&kept).unwrap();
            file.set_len(length.min(file.metadata().unwrap().len())).unwrap();
            rig.start(0);
            rig.wait_until_listening(0);
            pause(300);
        }
    });
}

#[test]
fn one_way_cuts_late_datagrams_and_noise_at_the_port() {
    let mut rig = Rig::new(PROGRAM, shape(3));
    through(&mut rig, 4, |rig| {
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
fn what_people_ask_is_answered_and_the_written_off_comes_back() {
    let mut rig = Rig::new(PROGRAM, shape(2));
    assert!(rig.wait_until_converged(Duration::from_secs(20)).is_some(), "{:#}", rig.status(0));
    let status = rig.status(0);
    assert_eq!((status["self"].as_str(), status["instances"][1]["name"].as_str()), (Some("n0"), Some("n1")));
    assert!(status["instances"][1]["behind_s"].as_f64() < Some(5.0), "{status:#}");
    assert!(rig.run_peers_command(0, &["explain", "session", "k"]).contains("reads_need"));
    assert!(rig.run_peers_command(0, &["explain", "member", "s-replica"]).contains("told: serving"));
    assert!(rig.run_peers_command(0, &["explain", "colour", "k"]).contains("accepted: member, session"));
    // Told now and then, to another zone less often.
    let begun = std::time::Instant::now();
    while !rig.run_peers_command(0, &["members"]).contains("s-primary") {
        assert!(begun.elapsed() < Duration::from_secs(20), "{}", rig.run_peers_command(0, &["members"]));
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
