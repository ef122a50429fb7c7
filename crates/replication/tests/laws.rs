//! What several words of one thing come to does not depend on their order, their grouping or how often they come, and only
//! grows: for each kind.

use std::sync::Arc;

use proptest::prelude::*;
use replication::fact::{Fact, Key, MemberStatus};
use replication::log::Log;
use replication::merge::{Join, MergedStatus, Observed, PrimaryClaim, WriteMark};

fn position() -> impl Strategy<Value = f64> {
    (0..6u8).prop_map(f64::from)
}

fn mark() -> impl Strategy<Value = WriteMark> {
    (any::<bool>(), prop::option::of(position())).prop_map(|(open, position)| WriteMark { open, position })
}

fn standing() -> impl Strategy<Value = MergedStatus> {
    let stand =
        prop_oneof![Just(MemberStatus::Serving), Just(MemberStatus::Draining), Just(MemberStatus::Gone)];
    (0..3u64, position(), 0..4u64, stand)
        .prop_map(|(source, since, version, stand)| MergedStatus::of(source, since, version, stand))
}

fn claim() -> impl Strategy<Value = PrimaryClaim> {
    (0..3u8, position()).prop_map(|(member, at)| PrimaryClaim::of(format!("m{member}").into(), at))
}

fn observed() -> impl Strategy<Value = Observed<u64>> {
    // An author's words of one number are one word.
    (0..3u64, 0..4u64).prop_map(|(start, round)| Observed { start, round, value: start * 10 + round })
}

fn joined<T: Join>(first: &T, second: &T) -> T {
    let mut all = first.clone();
    all.join(second);
    all
}

/// Commutative, associative, idempotent, and what is joined in stays in.
fn lawful<T: Join + std::fmt::Debug>(a: &T, b: &T, c: &T) -> Result<(), TestCaseError> {
    prop_assert_eq!(joined(a, b), joined(b, a));
    prop_assert_eq!(joined(&joined(a, b), c), joined(a, &joined(b, c)));
    prop_assert_eq!(joined(a, a), a.clone());
    let all = joined(&joined(a, b), c);
    for one in [a, b, c] {
        prop_assert_eq!(joined(&all, one), all.clone());
    }
    Ok(())
}

proptest! {
    #[test]
    fn a_mark_only_rises(a in mark(), b in mark(), c in mark()) {
        lawful(&a, &b, &c)?;
        prop_assert!(joined(&a, &b).position >= a.position);
    }

    #[test]
    fn a_standing_is_the_strictest_of_a_version(a in standing(), b in standing(), c in standing()) {
        lawful(&a, &b, &c)?;
    }

    #[test]
    fn claims_are_kept_apart(a in claim(), b in claim(), c in claim()) {
        lawful(&a, &b, &c)?;
        // Two who claim it are a conflict, whoever was heard last.
        let both = joined(&a, &b);
        prop_assert_eq!(both.only().is_none(), a.only() != b.only());
    }

    #[test]
    fn an_observers_newest_word_counts(a in observed(), b in observed(), c in observed()) {
        lawful(&a, &b, &c)?;
    }

    /// A copy that is brought up to date by pieces of any size, some lost, some twice, while its author goes on, is the
    /// same in the end, and never says that it knows a number whose fact, or what followed it, it lacks.
    #[test]
    fn a_copy_is_sound_as_far_as_it_says(
        steps in prop::collection::vec((0..5u8, 0..6u8, any::<bool>(), 1..4usize, 0..3u8), 1..80),
    ) {
        let (mut log, mut copy) = (Log::default(), Log::default());
        let mut stated: Vec<(u64, Key)> = Vec::new();
        let written = |session: u8, open: bool, position: f64| Fact::Written {
            session: format!("s{session}").into(), open, position: Some(position),
        };
        for (n, (what, session, open, size, fate)) in steps.iter().enumerate() {
            match what {
                0..=2 => {
                    let fact = written(*session, *open, n as f64);
                    let key = fact.key();
                    stated.push((log.state(fact), key));
                }
                3 if log.upto() > 4 => {
                    // Those that still matter are stated anew before the floor is raised over them.
                    let below = log.upto() - 3;
                    let again: Vec<Fact> = log.facts().filter(|(at, fact)| {
                        *at <= below && matches!(fact, Fact::Written { open: true, .. })
                    }).map(|(_, fact)| fact.clone()).collect();
                    for fact in again {
                        log.state(fact);
                    }
                    log.state(Fact::Floor { below, position: n as f64 });
                }
                _ => {}
            }
            // A piece of what the copy lacks; it may be lost, or come twice.
            let from = copy.upto();
            let facts: Vec<(u64, Fact)> = log.after(from).take(*size).map(|(at, f)| (at, f.clone())).collect();
            let whole = log.after(from).count() <= *size;
            let upto = if whole { log.upto() } else { facts.last().map_or(from, |(at, _)| *at) };
            for _ in 0..*fate {
                copy.take((from, upto, log.upto()), facts.clone(), |_| {});
            }
            // Whatever was stated up to where it is sound is there, or has been overtaken or closed since.
            for (number, key) in stated.iter().filter(|(number, _)| *number <= copy.sound()) {
                let known = copy.number(key).is_some_and(|at| at >= *number);
                let closed = copy.floor().is_some();
                prop_assert!(known || closed, "{key:?} of {number} is not known at {}", copy.sound());
            }
        }
        let rest: Vec<(u64, Fact)> = log.after(copy.upto()).map(|(at, fact)| (at, fact.clone())).collect();
        copy.take((copy.upto(), log.upto(), log.upto()), rest, |_| {});
        let name: Arc<str> = "a".into();
        prop_assert_eq!(copy.digest(&name), log.digest(&name));
        prop_assert_eq!(copy.sound(), log.upto());
    }

    /// Whatever bytes come: a fact is read or it is not, and none that would spoil a comparison gets in.
    #[test]
    fn any_bytes_are_a_sound_fact_or_none(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        if let Some(Fact::Written { position: Some(position), .. }) = Fact::decode(&bytes) {
            prop_assert!(position.is_finite());
        }
        let _ = replication::message::decode(&bytes);
        let _ = replication::disk::parse(&bytes);
    }
}

#[test]
fn a_word_about_an_earlier_start_is_void() {
    let word = MergedStatus::of(1, 5.0, 7, MemberStatus::Draining);
    assert_eq!(word.strictest(5.0), MemberStatus::Draining);
    assert_eq!(word.strictest(6.0), MemberStatus::Serving);
}

#[test]
fn a_later_version_of_the_same_list_lifts_a_drain_and_that_of_another_does_not() {
    let drained = MergedStatus::of(1, 0.0, 7, MemberStatus::Draining);
    let lifted = joined(&drained, &MergedStatus::of(1, 0.0, 8, MemberStatus::Serving));
    assert_eq!(lifted.strictest(0.0), MemberStatus::Serving);
    let other = joined(&drained, &MergedStatus::of(2, 0.0, 9, MemberStatus::Serving));
    assert_eq!(other.strictest(0.0), MemberStatus::Draining);
}
