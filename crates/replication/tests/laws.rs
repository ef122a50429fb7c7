//! Merging is a join: the result does not depend on the order, the grouping or the repetition of reports, and
//! values only grow. Checked for each type.

use std::sync::Arc;

use proptest::prelude::*;
use replication::fact::{Fact, Key, MemberStatus};
use replication::log::Log;
use replication::merge::{Join, MergedStatus, Observed, PrimaryClaim, WriteMark};

fn position() -> impl Strategy<Value = f64> {
    (0..6u8).prop_map(f64::from)
}

fn write_mark() -> impl Strategy<Value = WriteMark> {
    (any::<bool>(), prop::option::of(position())).prop_map(|(open, position)| WriteMark { open, position })
}

fn merged_status() -> impl Strategy<Value = MergedStatus> {
    let status =
        prop_oneof![Just(MemberStatus::Serving), Just(MemberStatus::Draining), Just(MemberStatus::Gone)];
    (0..3u64, position(), 0..4u64, status)
        .prop_map(|(source, since, version, status)| MergedStatus::from_list(source, since, version, status))
}

fn claim() -> impl Strategy<Value = PrimaryClaim> {
    (0..3u8, position()).prop_map(|(member, at)| PrimaryClaim::new(format!("m{member}").into(), at))
}

fn observed() -> impl Strategy<Value = Observed<u64>> {
    // An author publishes one value per start and round.
    (0..3u64, 0..4u64).prop_map(|(start, round)| Observed { start, round, value: start * 10 + round })
}

fn joined<T: Join>(first: &T, second: &T) -> T {
    let mut all = first.clone();
    all.join(second);
    all
}

/// Checks that join is commutative, associative and idempotent, and that joined values stay included.
fn check_laws<T: Join + std::fmt::Debug>(a: &T, b: &T, c: &T) -> Result<(), TestCaseError> {
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
    fn write_mark_join_is_lawful_and_monotonic(a in write_mark(), b in write_mark(), c in write_mark()) {
        check_laws(&a, &b, &c)?;
        prop_assert!(joined(&a, &b).position >= a.position);
    }

    #[test]
    fn merged_status_join_is_lawful(a in merged_status(), b in merged_status(), c in merged_status()) {
        check_laws(&a, &b, &c)?;
    }

    #[test]
    fn claims_of_two_members_conflict(a in claim(), b in claim(), c in claim()) {
        check_laws(&a, &b, &c)?;
        // Claims of two members are a conflict, whichever was observed last.
        let both = joined(&a, &b);
        prop_assert_eq!(both.only().is_none(), a.only() != b.only());
    }

    #[test]
    fn observed_join_is_lawful(a in observed(), b in observed(), c in observed()) {
        check_laws(&a, &b, &c)?;
    }

    /// A copy that is updated by pieces of any size, some lost, some duplicated, while its author continues,
    /// is equal to the log in the end. It never reports to be complete up to a number whose fact, or
    /// replacement, it lacks.
    #[test]
    fn copy_knows_all_facts_up_to_its_complete_number(
        steps in prop::collection::vec((0..5u8, 0..6u8, any::<bool>(), 1..4usize, 0..3u8), 1..80),
    ) {
        let (mut log, mut copy) = (Log::default(), Log::default());
        let mut published: Vec<(u64, Key)> = Vec::new();
        let written = |session: u8, open: bool, position: f64| Fact::Written {
            session: format!("s{session}").into(), open, position: Some(position),
        };
        for (n, (action, session, open, size, deliveries)) in steps.iter().enumerate() {
            match action {
                0..=2 => {
                    let fact = written(*session, *open, n as f64);
                    let key = fact.key();
                    published.push((log.append(fact), key));
                }
                3 if log.upto() > 4 => {
                    // Facts that still hold are published again before the floor is raised above them.
                    let below = log.upto() - 3;
                    let reappended: Vec<Fact> = log.facts().filter(|(at, fact)| {
                        *at <= below && matches!(fact, Fact::Written { open: true, .. })
                    }).map(|(_, fact)| fact.clone()).collect();
                    for fact in reappended {
                        log.append(fact);
                    }
                    log.append(Fact::Floor { below, position: n as f64 });
                }
                _ => {}
            }
            // A piece of what the copy lacks; it may be lost or duplicated.
            let from = copy.upto();
            let facts: Vec<(u64, Fact)> = log.after(from).take(*size).map(|(at, f)| (at, f.clone())).collect();
            let complete = log.after(from).count() <= *size;
            let upto = if complete { log.upto() } else { facts.last().map_or(from, |(at, _)| *at) };
            for _ in 0..*deliveries {
                copy.apply((from, upto, log.upto()), facts.clone(), |_| {});
            }
            // Every fact up to the number to which the copy is complete is known, or has been replaced or
            // removed by a floor.
            for (number, key) in published.iter().filter(|(number, _)| *number <= copy.complete_upto()) {
                let known = copy.number(key).is_some_and(|at| at >= *number);
                let removed = copy.floor().is_some();
                prop_assert!(known || removed, "{key:?} of {number} is not known at {}", copy.complete_upto());
            }
        }
        let rest: Vec<(u64, Fact)> = log.after(copy.upto()).map(|(at, fact)| (at, fact.clone())).collect();
        copy.apply((copy.upto(), log.upto(), log.upto()), rest, |_| {});
        let name: Arc<str> = "a".into();
        prop_assert_eq!(copy.digest(&name), log.digest(&name));
        prop_assert_eq!(copy.complete_upto(), log.upto());
    }

    /// Decoding arbitrary bytes never panics, and no position that breaks comparisons is accepted.
    #[test]
    fn arbitrary_bytes_decode_to_a_valid_fact_or_none(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        if let Some(Fact::Written { position: Some(position), .. }) = Fact::decode(&bytes) {
            prop_assert!(position.is_finite());
        }
        let _ = replication::message::decode(&bytes);
        let _ = replication::disk::parse(&bytes);
    }
}

#[test]
fn status_of_an_earlier_start_is_ignored() {
    let status = MergedStatus::from_list(1, 5.0, 7, MemberStatus::Draining);
    assert_eq!(status.strictest(5.0), MemberStatus::Draining);
    assert_eq!(status.strictest(6.0), MemberStatus::Serving);
}

#[test]
fn later_version_lifts_a_drain_of_the_same_list_only() {
    let drained = MergedStatus::from_list(1, 0.0, 7, MemberStatus::Draining);
    let lifted = joined(&drained, &MergedStatus::from_list(1, 0.0, 8, MemberStatus::Serving));
    assert_eq!(lifted.strictest(0.0), MemberStatus::Serving);
    let other = joined(&drained, &MergedStatus::from_list(2, 0.0, 9, MemberStatus::Serving));
    assert_eq!(other.strictest(0.0), MemberStatus::Draining);
}
