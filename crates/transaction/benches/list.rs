//! Times the steps of changing a list of 10,000 members: parsing, merging with the platform's configuration,
//! the differences, the check, and the intents of a rollback. Prints the median of several runs of each.

use std::hint::black_box;
use std::time::Instant;

use config::Config;
use operator::{parse, EffectiveConfig};
use transaction::{check, LiveMember, LiveState, Roster};

const MEMBERS: usize = 10_000;
const RUNS: usize = 21;
const PLATFORM: &str = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7f",
    "settings":{"classes":[{"name":"a","aim":1,"deadline":2}],"specifics":{"consistency":["write"]},
    "invariants":{"tipMultiple":2}}}"#;

fn time<T>(label: &str, mut run: impl FnMut() -> T) {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let started_at = Instant::now();
            black_box(run());
            started_at.elapsed().as_secs_f64() * 1000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    println!("{label:32} {:8.2} ms", times[RUNS / 2]);
}

fn main() {
    let platform = Config::parse(PLATFORM).unwrap();
    let list: String = (0..MEMBERS)
        .map(|n| {
            let address = format!("127.{}.{}.1:{}", n / 200, n % 200, 10_000 + n);
            format!("[member.m-{n}]\naddress = \"{address}\"\nzone = \"here\"\ngroup = {}\n", n / 5)
        })
        .collect();
    let drained: String = (0..100).map(|n| format!("m-{} = \"drain\"\n", n * 50)).collect();
    let other = format!("[limits]\nmax_attempts = 3\n[override]\n{drained}{list}");
    let (old, new) = (parse(list.as_bytes()).unwrap(), parse(other.as_bytes()).unwrap());
    println!("{MEMBERS} members, {} bytes", other.len());
    time("parse", || parse(other.as_bytes()).unwrap());
    time("canonical text and digest", || new.digest());
    time("merged with the platform's config", || EffectiveConfig::new(&platform, new.clone()).unwrap());
    time("differences of documents", || old.differences(&new));
    let (old, new) =
        (EffectiveConfig::new(&platform, old).unwrap(), EffectiveConfig::new(&platform, new).unwrap());
    time("differences of effective configs", || old.differences(&new));
    let members = (0..MEMBERS).map(|n| LiveMember {
        name: format!("m-{n}"),
        group: n as u32 / 5,
        serving: true,
        capacity_share: 1.0,
        primary: n % 5 == 0,
    });
    let traffic = (0..MEMBERS as u32 / 5).map(|group| (("a".to_string(), group), 10));
    let live = LiveState { members: members.collect(), traffic: traffic.collect(), ..LiveState::default() };
    let differences = old.differences(&new);
    time("check", || check(&old, &new, &differences, &live));
    let mut roster = Roster::default();
    roster.apply_intents(&old);
    time("intents applied and reverted", || (roster.apply_intents(&new), roster.apply_intents(&old)));
}
