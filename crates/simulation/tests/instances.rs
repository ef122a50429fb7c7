//! Instances that talk, through crashes, stops and cuts: no session reads what is older than its own write.

use rstest::rstest;
use simulation::instances::{Instances, Net};

fn rough() -> Net {
    Net { loss: 0.1, twice: 0.1, way: (0.000_2, 0.003), late: (0.05, 0.4) }
}

/// Random sessions over random instances under random faults, drawn by the seed.
fn storm(seed: u64, count: usize, net: Net, seconds: f64, faults: bool) -> Instances {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut all = Instances::new(seed, count, 2, count.min(3), net);
    for n in 0..count {
        all.start(n);
        all.run(0.02 * rng.f64());
    }
    all.run(1.0);
    let until = all.now + seconds;
    let (mut fault_at, mut mend): (f64, Vec<(f64, usize, u8)>) = (all.now + 0.5, Vec::new());
    while all.now < until {
        all.run(0.001 + 0.004 * rng.f64());
        let session = rng.usize(..200);
        let (a, b) = (rng.usize(..count), rng.usize(..count));
        match rng.u8(..4) {
            0 => all.write(a, session),
            _ => all.read(b, session),
        }
        let now = all.now;
        let due: Vec<(f64, usize, u8)> = mend.iter().filter(|(at, _, _)| *at <= now).copied().collect();
        mend.retain(|(at, _, _)| *at > now);
        for (_, n, kind) in due {
            match kind {
                0 => all.start(n),
                1 => all.go_on(n),
                2 => all.split(&[n], false),
                _ => all.cut.retain(|(a, _)| *a != n),
            }
        }
        if faults && now >= fault_at {
            fault_at = now + 0.5 + 2.0 * rng.f64();
            let (n, kind) = (rng.usize(..count), rng.u8(..4));
            if mend.iter().any(|(_, other, _)| *other == n) {
                continue;
            }
            match kind {
                0 => all.kill(n),
                1 => all.stop(n),
                2 => all.split(&[n], true),
                _ => (0..count).filter(|m| *m != n).for_each(|m| {
                    all.cut.insert((n, m));
                }),
            }
            mend.push((now + 0.1 + 5.0 * rng.f64(), n, kind));
        }
    }
    all
}

#[test]
fn without_faults_reads_stay_near_and_writes_wait_for_nobody() {
    let all = storm(1, 5, Net::default(), 20.0, false);
    let tally = all.tally;
    assert_eq!((tally.stale, tally.refused, tally.lost), (0, 0, 0), "{tally:?}");
    assert!(tally.reads > 3_000 && tally.waited * 50 < tally.answered, "{tally:?}");
}

#[rstest]
fn no_session_reads_what_is_older_than_its_own_write(#[values(3, 5)] count: usize) {
    for seed in 0..12 {
        let net = if seed % 2 == 0 { rough() } else { Net::default() };
        let all = storm(seed, count, net, 30.0, true);
        println!("{count} instances, seed {seed}: {:?}", all.tally);
        assert!(all.breaches.is_empty(), "seed {seed}: {:#?}", all.breaches);
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || storm(5, 4, rough(), 5.0, true).trace();
    assert_eq!(run(), run());
}
