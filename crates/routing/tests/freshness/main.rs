//! A property of the policy and stand-ins on a drawn clock: no answer from data older than its read allows at the last
//! byte is passed on, whatever the read waits for, whatever happens meanwhile, and whatever the answer states.

mod coverage;
mod member;
mod play;

use coverage::Coverage;
use play::Play;

/// Number of plays; `FRESHNESS_PLAYS` and `FRESHNESS_SEED` play others.
const PLAYS: u64 = 1_500;

fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// Guards review case 3 and its related paths.
#[test]
fn no_answer_from_data_older_than_the_read_allows_at_its_last_byte_is_passed_on() {
    let mut coverage = Coverage::default();
    let first = from_environment("FRESHNESS_SEED", 1);
    for seed in first..first + from_environment("FRESHNESS_PLAYS", PLAYS) {
        let mut play = Play::new(seed);
        play.run();
        assert!(
            play.violations.is_empty(),
            "seed {seed}: {} violations: {:#?}",
            play.violations.len(),
            play.violations
        );
        coverage.merge(play.coverage);
    }
    println!("{coverage:?}");
    assert_eq!(coverage.missing(), [], "rows that were never played");
}
