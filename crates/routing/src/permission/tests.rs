use super::*;
use crate::outcome::{Conclusion, Outcome};

fn history(effect: Effect) -> History {
    History::new(AttemptRules {
        effect,
        dedup_window: 2.0,
        connect_timeout: 0.25,
        max_attempts: 3,
        deadline: 10.0,
        ..AttemptRules::default()
    })
}

/// All ways in which an attempt may end.
const ENDS: [(Outcome, Conclusion, Evidence); 10] = [
    (Outcome::Ok, Conclusion::AsReceived, Evidence::Ran),
    (Outcome::Ok, Conclusion::TooOld, Evidence::Ran),
    (Outcome::Error, Conclusion::AsReceived, Evidence::MayHaveRun),
    (Outcome::Timeout, Conclusion::AsReceived, Evidence::MayHaveRun),
    (Outcome::Reset, Conclusion::AsReceived, Evidence::MayHaveRun),
    (Outcome::Cancelled, Conclusion::AsReceived, Evidence::MayHaveRun),
    (Outcome::Full, Conclusion::AsReceived, Evidence::NeverRan),
    (Outcome::Miss, Conclusion::AsReceived, Evidence::NeverRan),
    (Outcome::ConnectFailed, Conclusion::AsReceived, Evidence::NeverRan),
    (Outcome::NotSent, Conclusion::AsReceived, Evidence::NeverRan),
];

#[test]
fn a_request_that_may_have_run_is_not_retried_or_refused_if_it_could_run_twice() {
    for (outcome, conclusion, evidence) in ENDS {
        assert_eq!(Evidence::of(outcome, conclusion), evidence);
        let untouched = evidence == Evidence::NeverRan;
        for effect in [Effect::Safe, Effect::Keyed, Effect::Unsafe] {
            let mut history = history(effect);
            history.begin(0.0);
            history.end(0, evidence);
            let repeats = untouched || effect != Effect::Unsafe;
            assert_eq!(history.may_begin(1.0).is_ok(), repeats, "{effect:?} {outcome:?}");
            assert_eq!(
                history.may_refuse().is_ok(),
                untouched || effect == Effect::Safe,
                "{effect:?} {outcome:?}"
            );
            // After the window repeats are no longer dropped.
            let late = untouched || effect == Effect::Safe;
            assert_eq!(history.may_begin(1.76).is_ok(), late, "{effect:?} {outcome:?}");
        }
    }
}

#[test]
fn a_keyed_request_may_be_refused_if_all_members_drop_repeats() {
    let rules = AttemptRules { effect: Effect::Keyed, dedup: Dedup::All, ..AttemptRules::default() };
    let mut history = History::new(rules);
    history.begin(0.0);
    assert_eq!(history.may_refuse(), Ok(()));
}

#[test]
fn a_repeat_is_written_within_the_window_of_the_first_attempt_that_may_have_run() {
    let mut history = history(Effect::Keyed);
    history.begin(0.0);
    history.end(0, Evidence::NeverRan);
    history.begin(1.0);
    assert_eq!(history.write_deadline(), 10.0, "the first attempt that may run");
    history.end(1, Evidence::MayHaveRun);
    history.begin(2.0);
    assert_eq!(history.write_deadline(), 3.0 - MAX_PROCESS_PAUSE);
}

#[test]
fn an_attempt_is_denied_for_each_limit() {
    let mut history = history(Effect::Safe);
    assert_eq!(history.may_begin(10.0), Err(Denial::OutOfTime));
    for attempt in 0..3 {
        assert_eq!(history.may_begin(1.0), Ok(()));
        history.begin(1.0);
        assert_eq!(history.may_begin(1.0), Err(Denial::AlreadyInFlight));
        history.end(attempt, Evidence::MayHaveRun);
    }
    assert_eq!(history.may_begin(1.0), Err(Denial::AttemptsSpent));
    history.close();
    assert_eq!(history.may_begin(1.0), Err(Denial::Answered));
}

#[test]
fn with_hedging_at_most_two_attempts_are_in_flight() {
    let mut history = History::new(AttemptRules {
        effect: Effect::Safe,
        allow_hedging: true,
        max_attempts: 6,
        ..AttemptRules::default()
    });
    history.begin(0.0);
    assert_eq!(history.may_begin(0.1), Ok(()));
    history.begin(0.1);
    assert_eq!(history.may_begin(0.2), Err(Denial::AlreadyInFlight));
}
