//! Both sides of a handover: with scripted events, and against each other with either killed at any step.

use handover::*;
use proptest::prelude::*;
use rstest::rstest;

fn ask() -> PredecessorEvent {
    PredecessorEvent::Received(Message::Ask { oldest: OLDEST_READABLE_VERSION, version: VERSION, pid: 7 })
}

/// Actions of the predecessor, without timers.
fn predecessor_step(
    predecessor: &mut Predecessor,
    now: f64,
    event: PredecessorEvent,
) -> Vec<PredecessorAction> {
    let mut out = Vec::new();
    predecessor.handle(now, event, None, &mut out);
    out.retain(|action| !matches!(action, PredecessorAction::Timer(_)));
    out
}

/// Actions of the successor, without timers.
fn successor_step(successor: &mut Successor, now: f64, event: SuccessorEvent) -> Vec<SuccessorAction> {
    let mut out = Vec::new();
    successor.handle(now, event, &mut out);
    out.retain(|action| !matches!(action, SuccessorAction::Timer(_)));
    out
}

fn has_resumed(predecessor_actions: &[PredecessorAction]) -> bool {
    matches!(
        predecessor_actions,
        [
            PredecessorAction::Send(Message::Denied { .. }),
            PredecessorAction::Resume(_),
            PredecessorAction::Disconnect
        ]
    )
}

#[test]
fn successful_handover() {
    let (mut predecessor, mut successor) =
        (Predecessor::default(), Successor::new(Trial::default(), 0.0, &mut Vec::new()));
    assert_eq!(
        predecessor_step(&mut predecessor, 0.0, ask()),
        [PredecessorAction::Offer { versions: (OLDEST_READABLE_VERSION, VERSION) }]
    );
    assert!(predecessor.is_busy());
    assert_eq!(
        successor_step(&mut successor, 0.1, SuccessorEvent::ReadyToServe),
        [SuccessorAction::Send(Message::Ready)]
    );
    assert_eq!(
        predecessor_step(&mut predecessor, 0.1, PredecessorEvent::Received(Message::Ready)),
        [PredecessorAction::Pause, PredecessorAction::Send(Message::AcceptClients)]
    );
    assert_eq!(
        successor_step(&mut successor, 0.2, SuccessorEvent::Received(Message::AcceptClients)),
        [SuccessorAction::Accept]
    );
    assert_eq!(
        successor_step(&mut successor, 1.0, SuccessorEvent::Time(1_000, 500, 0)),
        [],
        "up to half of the answers may be bad"
    );
    assert_eq!(
        successor_step(&mut successor, 3.2, SuccessorEvent::Time(2_000, 500, 0)),
        [SuccessorAction::TakeOver, SuccessorAction::Send(Message::Confirmed)]
    );
    assert_eq!(
        predecessor_step(&mut predecessor, 3.2, PredecessorEvent::Received(Message::Confirmed)),
        [PredecessorAction::Succeeded]
    );
    assert_eq!(predecessor_step(&mut predecessor, 3.3, PredecessorEvent::Disconnected), []);
}

#[test]
fn handover_is_denied_while_an_obstacle_exists() {
    let (mut predecessor, mut out) = (Predecessor::default(), Vec::new());
    predecessor.handle(0.0, ask(), Some("draining"), &mut out);
    assert_eq!(
        out,
        [PredecessorAction::Send(Message::Denied { why: "draining".into() }), PredecessorAction::Disconnect]
    );
    assert!(!predecessor.is_busy());
}

#[test]
fn successor_hands_back_at_once_on_too_many_bad_answers() {
    let mut successor = Successor::new(Trial::default(), 0.0, &mut Vec::new());
    successor_step(&mut successor, 0.1, SuccessorEvent::ReadyToServe);
    successor_step(&mut successor, 0.2, SuccessorEvent::Received(Message::AcceptClients));
    assert_eq!(
        successor_step(&mut successor, 0.3, SuccessorEvent::Time(19, 19, 0)),
        [],
        "fewer answers than `min_answers`"
    );
    let why = "11 of 20 answers are refusals or failures".to_string();
    let expected =
        [SuccessorAction::Send(Message::HandBack { why: why.clone() }), SuccessorAction::Yield(why)];
    assert_eq!(successor_step(&mut successor, 0.4, SuccessorEvent::Time(20, 11, 0)), expected);
    assert_eq!(successor_step(&mut successor, 0.5, SuccessorEvent::Disconnected), [], "it has yielded");
}

#[test]
fn successor_hands_back_if_more_requests_wait_than_were_served() {
    for (waiting, hands_back) in [(4, true), (3, false)] {
        let mut successor = Successor::new(Trial::default(), 0.0, &mut Vec::new());
        successor_step(&mut successor, 0.1, SuccessorEvent::ReadyToServe);
        successor_step(&mut successor, 0.2, SuccessorEvent::Received(Message::AcceptClients));
        assert_eq!(successor_step(&mut successor, 3.0, SuccessorEvent::Time(3, 0, waiting)), []);
        let successor_actions = successor_step(&mut successor, 3.3, SuccessorEvent::Time(3, 0, waiting));
        assert_eq!(
            matches!(
                successor_actions[..],
                [SuccessorAction::Send(Message::HandBack { .. }), SuccessorAction::Yield(_)]
            ),
            hands_back,
            "{successor_actions:?}"
        );
    }
}

#[rstest]
#[case::disconnects(PredecessorEvent::Disconnected)]
#[case::sends_an_unexpected_message(PredecessorEvent::Received(Message::AcceptClients))]
#[case::gives_up(PredecessorEvent::Received(Message::HandBack { why: "no".into() }))]
fn predecessor_resumes_when_the_successor_fails(
    #[case] event: PredecessorEvent,
    #[values(1, 2)] steps: usize,
) {
    let mut predecessor = Predecessor::default();
    for event in [ask(), PredecessorEvent::Received(Message::Ready)].into_iter().take(steps) {
        predecessor_step(&mut predecessor, 0.0, event);
    }
    assert!(has_resumed(&predecessor_step(&mut predecessor, 0.1, event)));
    // Another successor can begin a handover.
    assert_eq!(predecessor_step(&mut predecessor, 0.2, ask()).len(), 1);
}

#[test]
fn every_wait_has_a_time_limit() {
    let mut predecessor = Predecessor::default();
    predecessor_step(&mut predecessor, 0.0, ask());
    assert_eq!(predecessor_step(&mut predecessor, 9.9, PredecessorEvent::Time), []);
    assert!(
        has_resumed(&predecessor_step(&mut predecessor, 10.0, PredecessorEvent::Time)),
        "not ready in time"
    );
    predecessor_step(&mut predecessor, 20.0, ask());
    predecessor_step(&mut predecessor, 21.0, PredecessorEvent::Received(Message::Ready));
    assert!(
        has_resumed(&predecessor_step(&mut predecessor, 141.0, PredecessorEvent::Time)),
        "no result of the trial in time"
    );
    for first in [None, Some(SuccessorEvent::ReadyToServe)] {
        let mut successor = Successor::new(Trial::default(), 0.0, &mut Vec::new());
        first.into_iter().for_each(|event| drop(successor_step(&mut successor, 0.0, event)));
        assert!(matches!(
            successor_step(&mut successor, 10.0, SuccessorEvent::Time(0, 0, 0))[..],
            [SuccessorAction::Send(Message::HandBack { .. }), SuccessorAction::Yield(_)]
        ));
    }
}

proptest! {
    /// Either side may be killed at any step, and messages arrive in order after any delay: both processes
    /// never accept clients at once, and in the end one that is alive does.
    #[test]
    fn at_most_one_accepts_clients_and_in_the_end_one_does(
        steps in prop::collection::vec((0..6u8, 0.0..0.5f64), 0..60),
        bad in 0..100u64,
        kill in prop::option::of((0..60usize, any::<bool>())),
    ) {
        let (mut predecessor, mut out) = (Predecessor::default(), Vec::new());
        let mut successor = Successor::new(Trial::default(), 0.0, &mut out);
        let (mut to_successor, mut to_predecessor) = (Vec::<Option<Message>>::new(), Vec::new());
        let (mut old_accepts, mut new_accepts, mut now) = (true, false, 0.0);
        let (mut old_alive, mut new_alive, mut old_saw_end) = (true, true, false);
        predecessor_step(&mut predecessor, 0.0, ask());
        let quiet_steps: Vec<(u8, f64)> = (0..900).map(|n| (n as u8 % 6, 0.2)).collect();
        for (number, (kind, delay)) in steps.iter().chain(&quiet_steps).copied().enumerate() {
            now += delay;
            if let Some((_, side)) = kill.filter(|(at, _)| *at == number) {
                if side { old_alive = false } else { new_alive = false }
            }
            let mut old_actions = Vec::new();
            let mut new_actions = Vec::new();
            match kind {
                0 if old_alive && !to_predecessor.is_empty() =>
                    old_actions = predecessor_step(&mut predecessor, now, PredecessorEvent::Received(to_predecessor.remove(0))),
                0 if old_alive && !new_alive && !std::mem::replace(&mut old_saw_end, true) =>
                    old_actions = predecessor_step(&mut predecessor, now, PredecessorEvent::Disconnected),
                1 if new_alive && !to_successor.is_empty() => {
                    let event = to_successor.remove(0).map_or(SuccessorEvent::Disconnected, SuccessorEvent::Received);
                    new_actions = successor_step(&mut successor, now, event);
                }
                1 if new_alive && !old_alive =>
                    new_actions = successor_step(&mut successor, now, SuccessorEvent::Disconnected),
                2 if old_alive =>
                    old_actions = predecessor_step(&mut predecessor, now, PredecessorEvent::Time),
                3 if new_alive =>
                    new_actions = successor_step(&mut successor, now, SuccessorEvent::Time(100, bad, 0)),
                4 if new_alive =>
                    new_actions = successor_step(&mut successor, now, SuccessorEvent::ReadyToServe),
                _ => {}
            }
            for action in old_actions {
                match action {
                    PredecessorAction::Send(message) => to_successor.push(Some(message)),
                    PredecessorAction::Disconnect => to_successor.push(None),
                    PredecessorAction::Pause => old_accepts = false,
                    PredecessorAction::Resume(_) => old_accepts = true,
                    PredecessorAction::Succeeded => { old_accepts = false; old_alive = false; }
                    _ => {}
                }
            }
            for action in new_actions {
                match action {
                    SuccessorAction::Send(message) => to_predecessor.push(message),
                    SuccessorAction::Accept => new_accepts = true,
                    // The successor disconnects after it has sent the message, so the predecessor reads the
                    // message first.
                    SuccessorAction::Yield(_) => { new_accepts = false; new_alive = false; }
                    _ => {}
                }
            }
            prop_assert!(!(old_accepts && old_alive && new_accepts && new_alive), "both accept clients");
        }
        prop_assert!(old_alive && old_accepts || new_alive && new_accepts || !old_alive && !new_alive);
    }

    #[test]
    fn snapshot_round_trips_and_rejects_damage(
        members in prop::collection::vec(("[a-z]{1,8}", prop::option::of((any::<bool>(), 0.0..1e9f64))), 0..20),
        sessions in prop::collection::vec(("[a-z]{1,8}", 0.0..1e9f64), 0..20),
        flip in any::<usize>(), bit in 0..8u8, cut in any::<usize>(),
    ) {
        let members = members.into_iter().map(|(name, primary)| Member { name, primary, ..Member::default() });
        let known = KnownState { members: members.collect(), sessions, ..KnownState::default() };
        let snapshot = Snapshot::new(5.0, known);
        let bytes = snapshot.encode();
        prop_assert_eq!(Snapshot::decode(&bytes, (OLDEST_READABLE_VERSION, VERSION)), Ok(snapshot));
        prop_assert!(Snapshot::decode(&bytes[..cut % bytes.len()], (OLDEST_READABLE_VERSION, VERSION)).is_err());
        let mut damaged = bytes.clone();
        damaged[flip % bytes.len()] ^= 1 << bit;
        prop_assert_eq!(Snapshot::decode(&damaged, (OLDEST_READABLE_VERSION, VERSION)), Err(SnapshotError::Damaged));
    }
}

#[test]
fn adjacent_versions_are_read_if_declared_readable() {
    let snapshot_of = |version, readable_from| Snapshot { version, readable_from, ..Snapshot::default() };
    // A newer version that declares itself readable by this one; unknown fields are ignored.
    let mut text = serde_json::to_value(snapshot_of(VERSION + 1, VERSION)).unwrap();
    text["known"]["something_new"] = 7.into();
    let body = serde_json::to_vec(&text).unwrap();
    let bytes = [&crc32fast::hash(&body).to_le_bytes()[..], &body].concat();
    assert!(Snapshot::decode(&bytes, (OLDEST_READABLE_VERSION, VERSION)).is_ok());
    let other = snapshot_of(VERSION + 1, VERSION + 1).encode();
    assert_eq!(
        Snapshot::decode(&other, (OLDEST_READABLE_VERSION, VERSION)),
        Err(SnapshotError::Version(VERSION + 1))
    );
    let current = snapshot_of(VERSION, OLDEST_READABLE_VERSION).encode();
    assert!(Snapshot::decode(&current, (VERSION, VERSION + 1)).is_ok(), "read by the next version");
    assert_eq!(Snapshot::decode(&current, (VERSION + 1, VERSION + 2)), Err(SnapshotError::Version(VERSION)));
}

#[test]
fn old_state_is_dropped_by_its_age() {
    let member =
        Member { name: "a".into(), primary: Some((true, 99.0)), position: Some(7.0), cold_since: Some(90.0) };
    let known =
        KnownState { members: vec![member], sessions: vec![("s".into(), 3.0)], ..KnownState::default() };
    let snapshot = Snapshot::new(100.0, known);
    let at = |now| snapshot.clone().usable_at(now);
    assert_eq!((at(101.0), at(99.9)), (snapshot.known.clone(), snapshot.known.clone()));
    let older = &at(130.0).members[0];
    assert_eq!((older.primary, older.position, older.cold_since), (None, None, Some(90.0)));
    assert_eq!(at(200.0).members[0].cold_since, None);
    // After the clock was set back by an hour only the list and the positions of sessions are used.
    let future = at(100.0 - 3_600.0);
    assert_eq!((future.members[0].primary, future.sessions.len()), (None, 1));
}
