//! Both sides of a hand-over, fed by hand, and against each other with any of the two killed at any step.

use handover::*;
use proptest::prelude::*;
use rstest::rstest;

fn ask() -> PredecessorEvent {
    PredecessorEvent::Received(Message::Ask { oldest: OLDEST_READABLE_VERSION, version: VERSION, pid: 7 })
}

/// What a giver does, without its timers.
fn give(giver: &mut Predecessor, now: f64, heard: PredecessorEvent) -> Vec<PredecessorAction> {
    let mut out = Vec::new();
    giver.handle(now, heard, None, &mut out);
    out.retain(|act| !matches!(act, PredecessorAction::Timer(_)));
    out
}

fn take(taker: &mut Successor, now: f64, seen: SuccessorEvent) -> Vec<SuccessorAction> {
    let mut out = Vec::new();
    taker.handle(now, seen, &mut out);
    out.retain(|act| !matches!(act, SuccessorAction::Timer(_)));
    out
}

fn resumed(acts: &[PredecessorAction]) -> bool {
    matches!(
        acts,
        [
            PredecessorAction::Send(Message::Denied { .. }),
            PredecessorAction::Resume(_),
            PredecessorAction::Disconnect
        ]
    )
}

#[test]
fn a_hand_over_without_trouble() {
    let (mut giver, mut taker) =
        (Predecessor::default(), Successor::new(Trial::default(), 0.0, &mut Vec::new()));
    assert_eq!(
        give(&mut giver, 0.0, ask()),
        [PredecessorAction::Offer { versions: (OLDEST_READABLE_VERSION, VERSION) }]
    );
    assert!(giver.is_busy());
    assert_eq!(take(&mut taker, 0.1, SuccessorEvent::ReadyToServe), [SuccessorAction::Send(Message::Ready)]);
    assert_eq!(
        give(&mut giver, 0.1, PredecessorEvent::Received(Message::Ready)),
        [PredecessorAction::Pause, PredecessorAction::Send(Message::AcceptClients)]
    );
    assert_eq!(
        take(&mut taker, 0.2, SuccessorEvent::Received(Message::AcceptClients)),
        [SuccessorAction::Accept]
    );
    assert_eq!(take(&mut taker, 1.0, SuccessorEvent::Time(1_000, 500, 0)), [], "half of them may be bad");
    assert_eq!(
        take(&mut taker, 3.2, SuccessorEvent::Time(2_000, 500, 0)),
        [SuccessorAction::TakeOver, SuccessorAction::Send(Message::Confirmed)]
    );
    assert_eq!(
        give(&mut giver, 3.2, PredecessorEvent::Received(Message::Confirmed)),
        [PredecessorAction::Succeeded]
    );
    assert_eq!(give(&mut giver, 3.3, PredecessorEvent::Disconnected), []);
}

#[test]
fn a_daemon_that_has_something_under_way_hands_nothing_over() {
    let (mut giver, mut out) = (Predecessor::default(), Vec::new());
    giver.handle(0.0, ask(), Some("draining"), &mut out);
    assert_eq!(
        out,
        [PredecessorAction::Send(Message::Denied { why: "draining".into() }), PredecessorAction::Disconnect]
    );
    assert!(!giver.is_busy());
}

#[test]
fn a_successor_whose_answers_are_bad_hands_back_at_once() {
    let mut taker = Successor::new(Trial::default(), 0.0, &mut Vec::new());
    take(&mut taker, 0.1, SuccessorEvent::ReadyToServe);
    take(&mut taker, 0.2, SuccessorEvent::Received(Message::AcceptClients));
    assert_eq!(take(&mut taker, 0.3, SuccessorEvent::Time(19, 19, 0)), [], "too few to tell");
    let why = "11 of 20 answers are refusals or failures".to_string();
    let told = [SuccessorAction::Send(Message::HandBack { why: why.clone() }), SuccessorAction::Yield(why)];
    assert_eq!(take(&mut taker, 0.4, SuccessorEvent::Time(20, 11, 0)), told);
    assert_eq!(take(&mut taker, 0.5, SuccessorEvent::Disconnected), [], "it has yielded");
}

#[test]
fn a_successor_that_keeps_all_waiting_hands_back() {
    for (waiting, gives_back) in [(4, true), (3, false)] {
        let mut taker = Successor::new(Trial::default(), 0.0, &mut Vec::new());
        take(&mut taker, 0.1, SuccessorEvent::ReadyToServe);
        take(&mut taker, 0.2, SuccessorEvent::Received(Message::AcceptClients));
        assert_eq!(take(&mut taker, 3.0, SuccessorEvent::Time(3, 0, waiting)), []);
        let does = take(&mut taker, 3.3, SuccessorEvent::Time(3, 0, waiting));
        assert_eq!(
            matches!(does[..], [SuccessorAction::Send(Message::HandBack { .. }), SuccessorAction::Yield(_)]),
            gives_back,
            "{does:?}"
        );
    }
}

#[rstest]
#[case::it_is_gone(PredecessorEvent::Disconnected)]
#[case::it_says_what_makes_no_sense(PredecessorEvent::Received(Message::AcceptClients))]
#[case::it_gives_up(PredecessorEvent::Received(Message::HandBack { why: "no".into() }))]
fn a_successor_that_fails_leaves_the_old_daemon_as_it_was(
    #[case] heard: PredecessorEvent,
    #[values(1, 2)] steps: usize,
) {
    let mut giver = Predecessor::default();
    for heard in [ask(), PredecessorEvent::Received(Message::Ready)].into_iter().take(steps) {
        give(&mut giver, 0.0, heard);
    }
    assert!(resumed(&give(&mut giver, 0.1, heard)));
    // The next may try.
    assert_eq!(give(&mut giver, 0.2, ask()).len(), 1);
}

#[test]
fn nobody_waits_for_ever() {
    let mut giver = Predecessor::default();
    give(&mut giver, 0.0, ask());
    assert_eq!(give(&mut giver, 9.9, PredecessorEvent::Time), []);
    assert!(resumed(&give(&mut giver, 10.0, PredecessorEvent::Time)), "it does not come up");
    give(&mut giver, 20.0, ask());
    give(&mut giver, 21.0, PredecessorEvent::Received(Message::Ready));
    assert!(resumed(&give(&mut giver, 141.0, PredecessorEvent::Time)), "it does not say how it goes");
    for first in [None, Some(SuccessorEvent::ReadyToServe)] {
        let mut taker = Successor::new(Trial::default(), 0.0, &mut Vec::new());
        first.into_iter().for_each(|seen| drop(take(&mut taker, 0.0, seen)));
        assert!(matches!(
            take(&mut taker, 10.0, SuccessorEvent::Time(0, 0, 0))[..],
            [SuccessorAction::Send(Message::HandBack { .. }), SuccessorAction::Yield(_)]
        ));
    }
}

proptest! {
    /// With either side killed at any step, and words that arrive as late as they like but in their order: never do two
    /// take in clients at once, and in the end one of those that live does.
    #[test]
    fn one_of_them_takes_in_clients(
        steps in prop::collection::vec((0..6u8, 0.0..0.5f64), 0..60),
        bad in 0..100u64,
        kill in prop::option::of((0..60usize, any::<bool>())),
    ) {
        let (mut giver, mut out) = (Predecessor::default(), Vec::new());
        let mut taker = Successor::new(Trial::default(), 0.0, &mut out);
        let (mut to_taker, mut to_giver) = (Vec::<Option<Message>>::new(), Vec::new());
        let (mut old, mut new, mut now) = (true, false, 0.0);
        let (mut old_lives, mut new_lives, mut old_heard) = (true, true, false);
        give(&mut giver, 0.0, ask());
        let settle: Vec<(u8, f64)> = (0..900).map(|n| (n as u8 % 6, 0.2)).collect();
        for (number, (what, after)) in steps.iter().chain(&settle).copied().enumerate() {
            now += after;
            if let Some((_, side)) = kill.filter(|(at, _)| *at == number) {
                if side { old_lives = false } else { new_lives = false }
            }
            let mut acts = Vec::new();
            let mut does = Vec::new();
            match what {
                0 if old_lives && !to_giver.is_empty() => acts = give(&mut giver, now, PredecessorEvent::Received(to_giver.remove(0))),
                0 if old_lives && !new_lives && !std::mem::replace(&mut old_heard, true) => acts = give(&mut giver, now, PredecessorEvent::Disconnected),
                1 if new_lives && !to_taker.is_empty() => {
                    let seen = to_taker.remove(0).map_or(SuccessorEvent::Disconnected, SuccessorEvent::Received);
                    does = take(&mut taker, now, seen);
                }
                1 if new_lives && !old_lives => does = take(&mut taker, now, SuccessorEvent::Disconnected),
                2 if old_lives => acts = give(&mut giver, now, PredecessorEvent::Time),
                3 if new_lives => does = take(&mut taker, now, SuccessorEvent::Time(100, bad, 0)),
                4 if new_lives => does = take(&mut taker, now, SuccessorEvent::ReadyToServe),
                _ => {}
            }
            for act in acts {
                match act {
                    PredecessorAction::Send(say) => to_taker.push(Some(say)),
                    PredecessorAction::Disconnect => to_taker.push(None),
                    PredecessorAction::Pause => old = false,
                    PredecessorAction::Resume(_) => old = true,
                    PredecessorAction::Succeeded => { old = false; old_lives = false; }
                    _ => {}
                }
            }
            for act in does {
                match act {
                    SuccessorAction::Send(say) => to_giver.push(say),
                    SuccessorAction::Accept => new = true,
                    // It closes its connection once the word is out: the old daemon hears the word first.
                    SuccessorAction::Yield(_) => { new = false; new_lives = false; }
                    _ => {}
                }
            }
            prop_assert!(!(old && old_lives && new && new_lives), "both take in clients");
        }
        prop_assert!(old_lives && old || new_lives && new || !old_lives && !new_lives);
    }

    #[test]
    fn a_snapshot_is_read_as_it_was_written_or_not_at_all(
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
fn a_version_more_or_less_is_read_where_it_says_so() {
    let with = |version, readable_from| Snapshot { version, readable_from, ..Snapshot::default() };
    // A newer daemon that can be followed by this one; fields that are not known are passed over.
    let mut text = serde_json::to_value(with(VERSION + 1, VERSION)).unwrap();
    text["known"]["something_new"] = 7.into();
    let body = serde_json::to_vec(&text).unwrap();
    let bytes = [&crc32fast::hash(&body).to_le_bytes()[..], &body].concat();
    assert!(Snapshot::decode(&bytes, (OLDEST_READABLE_VERSION, VERSION)).is_ok());
    let other = with(VERSION + 1, VERSION + 1).encode();
    assert_eq!(
        Snapshot::decode(&other, (OLDEST_READABLE_VERSION, VERSION)),
        Err(SnapshotError::Version(VERSION + 1))
    );
    let old = with(VERSION, OLDEST_READABLE_VERSION).encode();
    assert!(Snapshot::decode(&old, (VERSION, VERSION + 1)).is_ok(), "read by the next version");
    assert_eq!(Snapshot::decode(&old, (VERSION + 1, VERSION + 2)), Err(SnapshotError::Version(VERSION)));
}

#[test]
fn what_is_known_is_weighed_by_its_age() {
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
    // A clock was set back an hour: nothing but what makes stricter.
    let future = at(100.0 - 3_600.0);
    assert_eq!((future.members[0].primary, future.sessions.len()), (None, 1));
}
