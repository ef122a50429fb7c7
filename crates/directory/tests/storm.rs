//! Sessions that move at random over poolers, with control instances and poolers that are killed, stopped and cut at random:
//! no read of a session sees less than it was answered.

mod network;

use directory::Timing;
use network::{Net, Shape, Tally, World};
use rstest::rstest;

/// What a storm is made of.
#[derive(Clone, Copy)]
struct Storm {
    sessions: usize,
    seconds: u64,
    faults: bool,
}

enum Mend {
    Start(usize),
    GoOn(usize),
    Rejoin(usize),
}

fn storm(seed: u64, shape: Shape, net: Net, storm: Storm) -> World {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5707);
    let mut world = World::new(seed, shape, net);
    world.start_all();
    let until = world.now + storm.seconds * 1_000_000;
    let mut fault_at = world.now + 500_000;
    let mut mends: Vec<(u64, Mend)> = Vec::new();
    let seats = world.machines() + world.poolers();
    while world.now < until {
        world.run(rng.u64(500..4_000));
        // Half of the requests of a session go through one pooler, the others through any.
        let session = rng.usize(..storm.sessions);
        let home = session % world.poolers();
        let pooler = if rng.bool() { home } else { rng.usize(..world.poolers()) };
        match rng.u8(..4) {
            0 => world.write(pooler, session),
            1 => drop(world.read(pooler, session)),
            _ => drop(world.read_patiently(pooler, session, 5_000)),
        }
        let due = mends.iter().position(|(at, _)| *at <= world.now);
        if let Some(due) = due {
            match mends.swap_remove(due).1 {
                Mend::Start(seat) => world.start(seat),
                Mend::GoOn(seat) => world.go_on(seat),
                Mend::Rejoin(seat) => world.rejoin(seat),
            }
        }
        if storm.faults && world.now >= fault_at {
            fault_at = world.now + rng.u64(300_000..2_500_000);
            let seat = rng.usize(..seats);
            let busy = mends.iter().any(|(_, mend)| match mend {
                Mend::Start(n) | Mend::GoOn(n) | Mend::Rejoin(n) => *n == seat,
            });
            if busy {
                continue;
            }
            let mend = match rng.u8(..4) {
                0 => {
                    world.kill(seat);
                    Mend::Start(seat)
                }
                1 => {
                    world.stop(seat);
                    Mend::GoOn(seat)
                }
                2 => {
                    world.isolate(seat, true);
                    Mend::Rejoin(seat)
                }
                _ => {
                    world.isolate(seat, false);
                    Mend::Rejoin(seat)
                }
            };
            mends.push((world.now + rng.u64(50_000..6_000_000), mend));
        }
    }
    world
}

const ROUGH: Net = Net { loss: 0.1, twice: 0.1, late: 0.05, way: (200, 2_000), lateness: 1_500_000 };

fn added(sum: &mut Tally, tally: Tally) {
    sum.reads += tally.reads;
    sum.moved += tally.moved;
    sum.near += tally.near;
    sum.moved_near += tally.moved_near;
    sum.stale += tally.stale;
    sum.answered += tally.answered;
    sum.refused += tally.refused;
    sum.unanswered += tally.unanswered;
}

#[test]
fn no_read_of_a_moved_session_is_stale() {
    let mut sum = Tally::default();
    for seed in 0..SEEDS {
        let shape = Shape {
            poolers: 2 + (seed % 4) as usize,
            machines: 3 + (seed % 5) as usize,
            group_size: 3,
            clock_rate: 0.04,
            clock_offset: 80,
            ..Shape::default()
        };
        let net = if seed % 3 == 0 { Net::default() } else { ROUGH };
        let sessions = [20, 400, 2_000][(seed % 3) as usize];
        let world = storm(seed, shape, net, Storm { sessions, seconds: 60, faults: true });
        assert_eq!(world.tally.stale, 0, "seed {seed}: {:?}", world.tally);
        added(&mut sum, world.tally);
    }
    println!("{sum:?}");
    assert!(sum.moved >= 100_000, "{sum:?}");
    assert!(sum.near * 8 > sum.reads, "the replica serves something: {sum:?}");
}

/// Storms, each of another seed.
const SEEDS: u64 = 24;

#[test]
fn without_faults_moved_sessions_are_served_near() {
    let net = Net::default();
    let calm = Storm { sessions: 5_000, seconds: 60, faults: false };
    let world = storm(1, Shape::default(), net, calm);
    println!("{:?}", world.tally);
    let tally = world.tally;
    assert_eq!((tally.stale, tally.refused), (0, 0));
    assert!(tally.near * 2 > tally.reads, "{tally:?}");
}

/// Faults that are planted by terms which do not keep what the others rely on.
#[rstest]
// A control instance forgets leases before they are over, and answers right after a start.
#[case("short grants", Timing { lease: 700, ..Timing::default() }, Timing::default())]
// A pooler goes by its lease for longer than it was granted.
#[case("long leases", Timing::default(), Timing { lease: 8_000, ..Timing::default() })]
fn a_broken_promise_is_found(#[case] what: &str, #[case] machine_terms: Timing, #[case] terms: Timing) {
    let mut stale = 0;
    let mut seeds = 0..SEEDS;
    while let Some(seed) = seeds.next().filter(|_| stale == 0) {
        let shape = Shape { machine_terms, terms, clock_rate: 0.04, clock_offset: 80, ..Shape::default() };
        stale = storm(seed, shape, ROUGH, Storm { sessions: 1_000, seconds: 60, faults: true }).tally.stale;
    }
    println!("{what}: {stale} stale reads with seed {}", seeds.start - 1);
    assert!(stale > 0, "{what} is not found");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || storm(5, Shape::default(), ROUGH, Storm { sessions: 40, seconds: 20, faults: true }).tally;
    assert_eq!(run(), run());
}
