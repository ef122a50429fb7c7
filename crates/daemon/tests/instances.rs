//! Several processes of the program that talk, with faults between them: no session reads what is older than its own write,
//! and copies meet again.

use std::time::Duration;

use rig::{Load, Rig, Shape};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");

fn shape(instances: usize) -> Shape {
    Shape { instances, talk: true, folders: false, lag: Duration::from_millis(600), probes: false }
}

fn places(rig: &Rig) -> Vec<std::net::SocketAddr> {
    rig.seats.iter().map(|seat| seat.listen).collect()
}

fn pause(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

#[test]
fn sessions_that_move_read_their_own_writes_through_kills_stops_and_cuts() {
    let mut rig = Rig::new(PROGRAM, shape(3));
    assert!(rig.meet(Duration::from_secs(20)).is_some(), "{:#}", rig.status(0));
    let load = Load::new(places(&rig), 8, Duration::from_millis(1_500), 1);
    pause(1_000);
    for round in 0..4 {
        let n = round % 3;
        match round {
            0 => {
                rig.kill(n);
                pause(700);
                rig.begin(n);
            }
            1 => {
                rig.stop(n, true);
                pause(1_500);
                rig.stop(n, false);
            }
            2 => {
                rig.between(&[n], |faults| faults.cut = true);
                pause(4_000);
                rig.between(&[n], |faults| faults.cut = false);
            }
            _ => {
                rig.everywhere(|f| (f.loss, f.twice, f.spoil) = (0.3, 0.2, 0.05));
                pause(1_500);
                rig.everywhere(|f| *f = Default::default());
            }
        }
        pause(800);
    }
    let sums = load.end();
    assert!(sums.reads > 200 && sums.writes > 200, "{} reads, {} writes", sums.reads, sums.writes);
    assert_eq!((sums.stale, sums.later_stale), (0, 0), "of {} and {}", sums.reads, sums.later);
    assert!(rig.meet(Duration::from_secs(30)).is_some(), "{:#}", rig.status(0));
}

#[test]
fn one_alone_listens_and_one_with_another_key_is_not_heard() {
    let mut rig = Rig::new(PROGRAM, shape(2));
    assert!(rig.meet(Duration::from_secs(20)).is_some(), "{:#}", rig.status(0));
    rig.kill(1);
    rig.key("ff".repeat(32).as_str());
    rig.begin(1);
    rig.listens(1);
    pause(500);
    let status = rig.status(1);
    assert_eq!(status["instances"].as_array().map(Vec::len), Some(1), "{status:#}");
    assert!(rig.status(0)["forged"].as_u64() > Some(0), "{:#}", rig.status(0));
}
