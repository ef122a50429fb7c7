//! The lifecycle state machine with scripted and with random inputs.

use lifecycle::notify::watchdog_interval;
use lifecycle::{Action, Input, Limits, Pending, Stage, StateMachine, EXIT_CLEAN, EXIT_PENDING};
use proptest::prelude::*;
use rstest::rstest;

const LIMITS: Limits = Limits {
    accept_grace: 0.75,
    drain_timeout: 30.0,
    refuse_waiting: true,
    watchdog_interval: None,
    start_timeout: 10.0,
};
const BUSY: Pending = Pending { waiting: 0, in_flight: 3, clients: 5 };

/// A state machine, and the actions that it has returned since the list was last cleared.
struct Lifecycle(StateMachine, Vec<Action>);

impl Lifecycle {
    fn new(limits: Limits) -> Lifecycle {
        let mut out = Vec::new();
        Lifecycle(StateMachine::new(limits, 0.0, &mut out), out)
    }

    fn ready(limits: Limits) -> Lifecycle {
        let mut lifecycle = Lifecycle::new(limits);
        lifecycle.at(0.1, Input::ListenerBound);
        lifecycle.at(0.2, Input::ListReceived);
        lifecycle.1.clear();
        lifecycle
    }

    /// Handles one input; returns the actions without timers.
    fn at(&mut self, now: f64, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.0.handle(now, input, &mut out);
        self.1.extend(out.clone());
        out.retain(|action| !matches!(action, Action::Timer(_)));
        out
    }
}

#[test]
fn ready_once_listener_is_bound_and_list_received() {
    for order in [[Input::ListenerBound, Input::ListReceived], [Input::ListReceived, Input::ListenerBound]] {
        let mut lifecycle = Lifecycle::new(LIMITS);
        assert_eq!(lifecycle.at(0.1, order[0]), []);
        assert_eq!(lifecycle.0.stage(), Stage::Starting);
        assert_eq!(lifecycle.at(0.2, order[1]), [Action::Notify("READY=1\nSTATUS=serving".into())]);
    }
    let mut lifecycle = Lifecycle::new(LIMITS);
    lifecycle.at(0.1, Input::ListenerBound);
    let actions = lifecycle.at(10.0, Input::Tick(Pending::default()));
    let message = "EXTEND_TIMEOUT_USEC=60000000\nSTATUS=waiting for a list with a serving member";
    assert_eq!(actions, [Action::Notify(message.into())]);
    assert_eq!(lifecycle.at(20.0, Input::Tick(Pending::default())), [], "notified once");
}

#[test]
fn waiting_requests_are_refused_at_once_and_attempts_in_flight_may_complete() {
    let mut lifecycle = Lifecycle::ready(LIMITS);
    let actions = lifecycle.at(1.0, Input::StopRequested);
    assert_eq!(actions, [Action::Notify("STOPPING=1\nSTATUS=draining".into()), Action::RefuseWaiting]);
    // A request that arrives within the accept grace and has to wait is refused as well.
    assert_eq!(lifecycle.at(1.1, Input::Tick(Pending { waiting: 1, ..BUSY })), [Action::RefuseWaiting]);
    assert_eq!(lifecycle.at(1.2, Input::Tick(BUSY)), []);
    assert_eq!(lifecycle.at(1.75, Input::Tick(BUSY)), [Action::StopAccepting]);
    assert_eq!(lifecycle.at(20.0, Input::Tick(BUSY)), []);
    assert_eq!(lifecycle.at(20.1, Input::Tick(Pending::default())), [Action::Exit(EXIT_CLEAN)]);
}

#[test]
fn pending_requests_are_answered_at_the_drain_timeout() {
    let mut lifecycle = Lifecycle::ready(LIMITS);
    lifecycle.at(1.0, Input::StopRequested);
    lifecycle.at(2.0, Input::Tick(BUSY));
    assert_eq!(lifecycle.at(31.0, Input::Tick(BUSY)), [Action::AnswerPending]);
    assert_eq!(lifecycle.at(31.1, Input::Tick(Pending { clients: 1, ..Pending::default() })), []);
    assert_eq!(lifecycle.at(31.2, Input::Tick(Pending::default())), [Action::Exit(EXIT_CLEAN)]);
    // A client that does not read its answer does not delay the exit.
    let mut lifecycle = Lifecycle::ready(LIMITS);
    lifecycle.at(1.0, Input::StopRequested);
    lifecycle.at(31.0, Input::Tick(BUSY));
    assert_eq!(
        lifecycle.at(32.0, Input::Tick(Pending { clients: 1, ..Pending::default() })),
        [Action::Exit(EXIT_PENDING)]
    );
}

#[test]
fn second_signal_shortens_the_drain_and_third_exits() {
    let mut lifecycle = Lifecycle::ready(LIMITS);
    lifecycle.at(1.0, Input::StopRequested);
    lifecycle.at(1.1, Input::Tick(BUSY));
    assert_eq!(lifecycle.at(1.2, Input::StopRequested), [Action::RefuseWaiting, Action::StopAccepting]);
    assert_eq!(lifecycle.at(2.2, Input::Tick(BUSY)), [Action::AnswerPending]);
    assert_eq!(lifecycle.at(2.3, Input::StopRequested), [Action::Exit(EXIT_PENDING)]);
    assert_eq!(lifecycle.at(2.4, Input::StopRequested), []);
    assert_eq!(lifecycle.0.stage(), Stage::Ended(EXIT_PENDING));
}

#[test]
fn stop_overrides_reload_and_reload_during_stop_is_rejected() {
    let mut lifecycle = Lifecycle::ready(LIMITS);
    let actions = lifecycle.at(1.0, Input::ReloadRequested(77));
    assert_eq!(actions, [Action::Notify("RELOADING=1\nMONOTONIC_USEC=77".into()), Action::ReadConfig]);
    assert_eq!(
        lifecycle.at(1.1, Input::ReloadRequested(78)),
        [Action::ReloadRejected("the previous reload has not finished")]
    );
    lifecycle.at(1.2, Input::StopRequested);
    assert_eq!(lifecycle.at(1.3, Input::ReloadFinished), [], "not ready again");
    assert_eq!(
        lifecycle.at(1.4, Input::ReloadRequested(79)),
        [Action::ReloadRejected("the pooler is shutting down")]
    );
    assert_eq!(lifecycle.0.stage(), Stage::Draining);
}

#[test]
fn default_limits_neither_refuse_nor_end_pending_requests() {
    let mut lifecycle = Lifecycle::ready(Limits::default());
    assert_eq!(lifecycle.at(1.0, Input::StopRequested).len(), 1, "only the notification");
    assert_eq!(lifecycle.at(1.75, Input::Tick(Pending { waiting: 2, ..BUSY })), [Action::StopAccepting]);
    assert_eq!(lifecycle.at(1e6, Input::Tick(BUSY)), []);
    assert_eq!(lifecycle.at(1e6, Input::Tick(Pending::default())), [Action::Exit(EXIT_CLEAN)]);
}

#[test]
fn stops_accepting_once_the_listener_is_handed_over() {
    let mut lifecycle = Lifecycle::ready(LIMITS);
    let actions = lifecycle.at(1.0, Input::ListenerHandedOver);
    assert_eq!(actions[1..], [Action::RefuseWaiting, Action::StopAccepting]);
    assert_eq!(lifecycle.at(1.05, Input::Tick(Pending::default())), [Action::Exit(EXIT_CLEAN)]);
}

#[test]
fn keep_alive_is_sent_once_per_interval_of_a_running_loop() {
    let mut lifecycle = Lifecycle::ready(Limits { watchdog_interval: Some(0.5), ..LIMITS });
    assert_eq!(lifecycle.at(0.4, Input::Tick(BUSY)), []);
    assert_eq!(lifecycle.at(0.5, Input::Tick(BUSY)), [Action::Notify("WATCHDOG=1".into())]);
    // After a blocked loop one keep-alive is sent, not one for each that was missed.
    assert_eq!(lifecycle.at(9.0, Input::Tick(BUSY)), [Action::Notify("WATCHDOG=1".into())]);
    assert_eq!(lifecycle.at(9.1, Input::Tick(BUSY)), []);
}

#[rstest]
#[case(Some("2000000"), None, Some(1.0))]
#[case(Some("2000000"), Some("7"), Some(1.0))]
#[case(Some("2000000"), Some("8"), None)]
#[case(Some("0"), None, None)]
#[case(Some("soon"), None, None)]
#[case(None, None, None)]
fn watchdog_interval_applies_to_this_process_only(
    #[case] usec: Option<&str>,
    #[case] pid: Option<&str>,
    #[case] interval: Option<f64>,
) {
    assert_eq!(watchdog_interval(usec, pid, 7), interval);
}

proptest! {
    /// For any sequence of inputs: accepting stops at most once, the pooler exits once and within its time
    /// limits after a stop request, and never with `EXIT_CLEAN` while something is pending.
    #[test]
    fn every_run_exits_within_its_limits(steps in prop::collection::vec((0..8u8, 0.0..2.0f64, 0..3usize), 1..80)) {
        let mut lifecycle = Lifecycle::ready(LIMITS);
        let (mut now, mut stopped_at, mut pending) = (1.0, None, Pending::default());
        let step = |lifecycle: &mut Lifecycle, now: f64, input| {
            let stage_before = lifecycle.0.stage();
            let actions = lifecycle.at(now, input);
            if let Stage::Ended(_) = stage_before {
                let is_rejection = |action: &Action| matches!(action, Action::ReloadRejected(_));
                prop_assert!(actions.iter().all(is_rejection), "{actions:?} after the end");
            }
            if actions.contains(&Action::Exit(EXIT_CLEAN)) {
                prop_assert!(matches!(input, Input::Tick(pending) if pending.is_empty()) || input == Input::StopRequested);
            }
            Ok(())
        };
        for (kind, delay, count) in steps {
            now += delay;
            pending = Pending { waiting: count, in_flight: count / 2, clients: count };
            let input = match kind {
                0 => Input::StopRequested,
                1 => Input::ReloadRequested(1),
                2 => Input::ReloadFinished,
                3 if stopped_at.is_some() => Input::ListenerHandedOver,
                _ => Input::Tick(pending),
            };
            if input == Input::StopRequested {
                stopped_at.get_or_insert(now);
            }
            step(&mut lifecycle, now, input)?;
        }
        if let Some(stop_requested_at) = stopped_at {
            let mut last = now;
            for tick in 0..2_000 {
                last = now + f64::from(tick) * 0.05;
                step(&mut lifecycle, last, Input::Tick(pending))?;
                if let Stage::Ended(_) = lifecycle.0.stage() {
                    break;
                }
            }
            prop_assert!(matches!(lifecycle.0.stage(), Stage::Ended(_)));
            prop_assert!(last <= now.max(stop_requested_at + LIMITS.drain_timeout) + 1.2, "{last} for {stop_requested_at}");
            let (is_stop_accepting, is_exit) = (|a: &&Action| **a == Action::StopAccepting, |a: &&Action| matches!(a, Action::Exit(_)));
            prop_assert!(lifecycle.1.iter().filter(is_stop_accepting).count() <= 1);
            prop_assert_eq!(lifecycle.1.iter().filter(is_exit).count(), 1);
        }
    }
}
