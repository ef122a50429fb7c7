//! A daemon's life, fed by hand and by chance.

use lifecycle::notify::watchdog_interval;
use lifecycle::{Action, Input, Limits, Pending, Stage, StateMachine, EXIT_CLEAN, EXIT_PENDING};
use proptest::prelude::*;
use rstest::rstest;

const TERMS: Limits = Limits {
    accept_grace: 0.75,
    drain_timeout: 30.0,
    refuse_waiting: true,
    watchdog_interval: None,
    start_timeout: 10.0,
};
const BUSY: Pending = Pending { waiting: 0, in_flight: 3, clients: 5 };

/// A daemon that serves, and what it did since it was last looked at.
struct Life(StateMachine, Vec<Action>);

impl Life {
    fn new(terms: Limits) -> Life {
        let mut out = Vec::new();
        Life(StateMachine::new(terms, 0.0, &mut out), out)
    }

    fn ready(terms: Limits) -> Life {
        let mut life = Life::new(terms);
        life.at(0.1, Input::ListenerBound);
        life.at(0.2, Input::ListReceived);
        life.1.clear();
        life
    }

    /// What it does, without its timers.
    fn at(&mut self, now: f64, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.0.handle(now, input, &mut out);
        self.1.extend(out.clone());
        out.retain(|action| !matches!(action, Action::Timer(_)));
        out
    }
}

#[test]
fn it_is_ready_once_it_listens_and_has_a_list() {
    for order in [[Input::ListenerBound, Input::ListReceived], [Input::ListReceived, Input::ListenerBound]] {
        let mut life = Life::new(TERMS);
        assert_eq!(life.at(0.1, order[0]), []);
        assert_eq!(life.0.stage(), Stage::Starting);
        assert_eq!(life.at(0.2, order[1]), [Action::Notify("READY=1\nSTATUS=serving".into())]);
    }
    let mut life = Life::new(TERMS);
    life.at(0.1, Input::ListenerBound);
    let told = life.at(10.0, Input::Tick(Pending::default()));
    let words = "EXTEND_TIMEOUT_USEC=60000000\nSTATUS=waits for a list with a member that serves";
    assert_eq!(told, [Action::Notify(words.into())]);
    assert_eq!(life.at(20.0, Input::Tick(Pending::default())), [], "told once");
}

#[test]
fn those_that_wait_are_sent_away_at_once_and_what_is_out_has_its_time() {
    let mut life = Life::ready(TERMS);
    let told = life.at(1.0, Input::StopRequested);
    assert_eq!(told, [Action::Notify("STOPPING=1\nSTATUS=draining".into()), Action::RefuseWaiting]);
    // One that comes within the last call and has to wait is sent away as well.
    assert_eq!(life.at(1.1, Input::Tick(Pending { waiting: 1, ..BUSY })), [Action::RefuseWaiting]);
    assert_eq!(life.at(1.2, Input::Tick(BUSY)), []);
    assert_eq!(life.at(1.75, Input::Tick(BUSY)), [Action::StopAccepting]);
    assert_eq!(life.at(20.0, Input::Tick(BUSY)), []);
    assert_eq!(life.at(20.1, Input::Tick(Pending::default())), [Action::Exit(EXIT_CLEAN)]);
}

#[test]
fn what_outlasts_its_time_is_answered_before_the_end() {
    let mut life = Life::ready(TERMS);
    life.at(1.0, Input::StopRequested);
    life.at(2.0, Input::Tick(BUSY));
    assert_eq!(life.at(31.0, Input::Tick(BUSY)), [Action::AnswerPending]);
    assert_eq!(life.at(31.1, Input::Tick(Pending { clients: 1, ..Pending::default() })), []);
    assert_eq!(life.at(31.2, Input::Tick(Pending::default())), [Action::Exit(EXIT_CLEAN)]);
    // A client that does not read its answer does not keep the daemon.
    let mut life = Life::ready(TERMS);
    life.at(1.0, Input::StopRequested);
    life.at(31.0, Input::Tick(BUSY));
    assert_eq!(
        life.at(32.0, Input::Tick(Pending { clients: 1, ..Pending::default() })),
        [Action::Exit(EXIT_PENDING)]
    );
}

#[test]
fn a_second_signal_hurries_and_a_third_ends() {
    let mut life = Life::ready(TERMS);
    life.at(1.0, Input::StopRequested);
    life.at(1.1, Input::Tick(BUSY));
    assert_eq!(life.at(1.2, Input::StopRequested), [Action::RefuseWaiting, Action::StopAccepting]);
    assert_eq!(life.at(2.2, Input::Tick(BUSY)), [Action::AnswerPending]);
    assert_eq!(life.at(2.3, Input::StopRequested), [Action::Exit(EXIT_PENDING)]);
    assert_eq!(life.at(2.4, Input::StopRequested), []);
    assert_eq!(life.0.stage(), Stage::Ended(EXIT_PENDING));
}

#[test]
fn a_stop_during_a_reload_goes_first_and_a_reload_during_a_stop_is_not_followed() {
    let mut life = Life::ready(TERMS);
    let told = life.at(1.0, Input::ReloadRequested(77));
    assert_eq!(told, [Action::Notify("RELOADING=1\nMONOTONIC_USEC=77".into()), Action::ReadConfig]);
    assert_eq!(
        life.at(1.1, Input::ReloadRequested(78)),
        [Action::ReloadRejected("the last one is not done with")]
    );
    life.at(1.2, Input::StopRequested);
    assert_eq!(life.at(1.3, Input::ReloadFinished), [], "not ready again");
    assert_eq!(life.at(1.4, Input::ReloadRequested(79)), [Action::ReloadRejected("the daemon is to end")]);
    assert_eq!(life.0.stage(), Stage::Draining);
}

#[test]
fn on_the_platform_nothing_is_cut_off_or_sent_away() {
    let mut life = Life::ready(Limits::default());
    assert_eq!(life.at(1.0, Input::StopRequested).len(), 1, "no more than told");
    assert_eq!(life.at(1.75, Input::Tick(Pending { waiting: 2, ..BUSY })), [Action::StopAccepting]);
    assert_eq!(life.at(1e6, Input::Tick(BUSY)), []);
    assert_eq!(life.at(1e6, Input::Tick(Pending::default())), [Action::Exit(EXIT_CLEAN)]);
}

#[test]
fn who_is_succeeded_takes_in_nobody_from_then_on() {
    let mut life = Life::ready(TERMS);
    let told = life.at(1.0, Input::ListenerHandedOver);
    assert_eq!(told[1..], [Action::RefuseWaiting, Action::StopAccepting]);
    assert_eq!(life.at(1.05, Input::Tick(Pending::default())), [Action::Exit(EXIT_CLEAN)]);
}

#[test]
fn the_watchdog_hears_of_a_loop_that_turns_and_of_no_other() {
    let mut life = Life::ready(Limits { watchdog_interval: Some(0.5), ..TERMS });
    assert_eq!(life.at(0.4, Input::Tick(BUSY)), []);
    assert_eq!(life.at(0.5, Input::Tick(BUSY)), [Action::Notify("WATCHDOG=1".into())]);
    // The loop stood still: one word, not one for each that was missed.
    assert_eq!(life.at(9.0, Input::Tick(BUSY)), [Action::Notify("WATCHDOG=1".into())]);
    assert_eq!(life.at(9.1, Input::Tick(BUSY)), []);
}

#[rstest]
#[case(Some("2000000"), None, Some(1.0))]
#[case(Some("2000000"), Some("7"), Some(1.0))]
#[case(Some("2000000"), Some("8"), None)]
#[case(Some("0"), None, None)]
#[case(Some("soon"), None, None)]
#[case(None, None, None)]
fn a_watchdog_is_one_where_it_is_meant_for_this_process(
    #[case] usec: Option<&str>,
    #[case] pid: Option<&str>,
    #[case] every: Option<f64>,
) {
    assert_eq!(watchdog_interval(usec, pid, 7), every);
}

proptest! {
    /// Whatever happens in whatever order: it takes in nobody again once it has closed, ends once, never cleanly with
    /// something owed, and within its time once it is to end.
    #[test]
    fn every_life_comes_to_its_end(steps in prop::collection::vec((0..8u8, 0.0..2.0f64, 0..3usize), 1..80)) {
        let mut life = Life::ready(TERMS);
        let (mut now, mut stopped, mut owed) = (1.0, None, Pending::default());
        let run = |life: &mut Life, now: f64, input| {
            let was = life.0.stage();
            let actions = life.at(now, input);
            if let Stage::Ended(_) = was {
                let told = |action: &Action| matches!(action, Action::ReloadRejected(_));
                prop_assert!(actions.iter().all(told), "{actions:?} after the end");
            }
            if actions.contains(&Action::Exit(EXIT_CLEAN)) {
                prop_assert!(matches!(input, Input::Tick(owed) if owed.is_empty()) || input == Input::StopRequested);
            }
            Ok(())
        };
        for (what, after, count) in steps {
            now += after;
            owed = Pending { waiting: count, in_flight: count / 2, clients: count };
            let input = match what {
                0 => Input::StopRequested,
                1 => Input::ReloadRequested(1),
                2 => Input::ReloadFinished,
                3 if stopped.is_some() => Input::ListenerHandedOver,
                _ => Input::Tick(owed),
            };
            if input == Input::StopRequested {
                stopped.get_or_insert(now);
            }
            run(&mut life, now, input)?;
        }
        if let Some(begun) = stopped {
            let mut last = now;
            for tick in 0..2_000 {
                last = now + f64::from(tick) * 0.05;
                run(&mut life, last, Input::Tick(owed))?;
                if let Stage::Ended(_) = life.0.stage() {
                    break;
                }
            }
            prop_assert!(matches!(life.0.stage(), Stage::Ended(_)));
            prop_assert!(last <= now.max(begun + TERMS.drain_timeout) + 1.2, "{last} for {begun}");
            let (closes, exits) = (|a: &&Action| **a == Action::StopAccepting, |a: &&Action| matches!(a, Action::Exit(_)));
            prop_assert!(life.1.iter().filter(closes).count() <= 1);
            prop_assert_eq!(life.1.iter().filter(exits).count(), 1);
        }
    }
}
