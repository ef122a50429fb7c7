//! Both sides of a hand-over, fed by hand, and against each other with any of the two killed at any step.

use handover::*;
use proptest::prelude::*;
use rstest::rstest;

fn ask() -> Heard {
    Heard::Said(Say::Ask { oldest: OLDEST, version: VERSION, pid: 7 })
}

/// What a giver does, without its timers.
fn give(giver: &mut Giver, now: f64, heard: Heard) -> Vec<Act> {
    let mut out = Vec::new();
    giver.handle(now, heard, None, &mut out);
    out.retain(|act| !matches!(act, Act::Timer(_)));
    out
}

fn take(taker: &mut Taker, now: f64, seen: Seen) -> Vec<Do> {
    let mut out = Vec::new();
    taker.handle(now, seen, &mut out);
    out.retain(|act| !matches!(act, Do::Timer(_)));
    out
}

fn resumed(acts: &[Act]) -> bool {
    matches!(acts, [Act::Say(Say::Denied { .. }), Act::Resume(_), Act::Hang])
}

#[test]
fn a_hand_over_without_trouble() {
    let (mut giver, mut taker) = (Giver::default(), Taker::new(Trial::default(), 0.0, &mut Vec::new()));
    assert_eq!(give(&mut giver, 0.0, ask()), [Act::Offer { versions: (OLDEST, VERSION) }]);
    assert!(giver.is_busy());
    assert_eq!(take(&mut taker, 0.1, Seen::Up), [Do::Say(Say::Ready)]);
    assert_eq!(give(&mut giver, 0.1, Heard::Said(Say::Ready)), [Act::Pause, Act::Say(Say::Yours)]);
    assert_eq!(take(&mut taker, 0.2, Seen::Said(Say::Yours)), [Do::Accept]);
    assert_eq!(take(&mut taker, 1.0, Seen::Time(1_000, 500, 0)), [], "half of them may be bad");
    assert_eq!(take(&mut taker, 3.2, Seen::Time(2_000, 500, 0)), [Do::Stand, Do::Say(Say::Stands)]);
    assert_eq!(give(&mut giver, 3.2, Heard::Said(Say::Stands)), [Act::Succeeded]);
    assert_eq!(give(&mut giver, 3.3, Heard::Gone), []);
}

#[test]
fn a_daemon_that_has_something_under_way_hands_nothing_over() {
    let (mut giver, mut out) = (Giver::default(), Vec::new());
    giver.handle(0.0, ask(), Some("draining"), &mut out);
    assert_eq!(out, [Act::Say(Say::Denied { why: "draining".into() }), Act::Hang]);
    assert!(!giver.is_busy());
}

#[test]
fn a_successor_whose_answers_are_bad_hands_back_at_once() {
    let mut taker = Taker::new(Trial::default(), 0.0, &mut Vec::new());
    take(&mut taker, 0.1, Seen::Up);
    take(&mut taker, 0.2, Seen::Said(Say::Yours));
    assert_eq!(take(&mut taker, 0.3, Seen::Time(19, 19, 0)), [], "too few to tell");
    let why = "11 of 20 answers are refusals or failures".to_string();
    let told = [Do::Say(Say::Back { why: why.clone() }), Do::Yield(why)];
    assert_eq!(take(&mut taker, 0.4, Seen::Time(20, 11, 0)), told);
    assert_eq!(take(&mut taker, 0.5, Seen::Gone), [], "it has yielded");
}

#[test]
fn a_successor_that_keeps_all_waiting_hands_back() {
    for (waiting, gives_back) in [(4, true), (3, false)] {
        let mut taker = Taker::new(Trial::default(), 0.0, &mut Vec::new());
        take(&mut taker, 0.1, Seen::Up);
        take(&mut taker, 0.2, Seen::Said(Say::Yours));
        assert_eq!(take(&mut taker, 3.0, Seen::Time(3, 0, waiting)), []);
        let does = take(&mut taker, 3.3, Seen::Time(3, 0, waiting));
        assert_eq!(matches!(does[..], [Do::Say(Say::Back { .. }), Do::Yield(_)]), gives_back, "{does:?}");
    }
}

#[rstest]
#[case::it_is_gone(Heard::Gone)]
#[case::it_says_what_makes_no_sense(Heard::Said(Say::Yours))]
#[case::it_gives_up(Heard::Said(Say::Back { why: "no".into() }))]
fn a_successor_that_fails_leaves_the_old_daemon_as_it_was(
    #[case] heard: Heard,
    #[values(1, 2)] steps: usize,
) {
    let mut giver = Giver::default();
    for heard in [ask(), Heard::Said(Say::Ready)].into_iter().take(steps) {
        give(&mut giver, 0.0, heard);
    }
    assert!(resumed(&give(&mut giver, 0.1, heard)));
    // The next may try.
    assert_eq!(give(&mut giver, 0.2, ask()).len(), 1);
}

#[test]
fn nobody_waits_for_ever() {
    let mut giver = Giver::default();
    give(&mut giver, 0.0, ask());
    assert_eq!(give(&mut giver, 9.9, Heard::Time), []);
    assert!(resumed(&give(&mut giver, 10.0, Heard::Time)), "it does not come up");
    give(&mut giver, 20.0, ask());
    give(&mut giver, 21.0, Heard::Said(Say::Ready));
    assert!(resumed(&give(&mut giver, 141.0, Heard::Time)), "it does not say how it goes");
    for first in [None, Some(Seen::Up)] {
        let mut taker = Taker::new(Trial::default(), 0.0, &mut Vec::new());
        first.into_iter().for_each(|seen| drop(take(&mut taker, 0.0, seen)));
        assert!(matches!(
            take(&mut taker, 10.0, Seen::Time(0, 0, 0))[..],
            [Do::Say(Say::Back { .. }), Do::Yield(_)]
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
        let (mut giver, mut out) = (Giver::default(), Vec::new());
        let mut taker = Taker::new(Trial::default(), 0.0, &mut out);
        let (mut to_taker, mut to_giver) = (Vec::<Option<Say>>::new(), Vec::new());
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
                0 if old_lives && !to_giver.is_empty() => acts = give(&mut giver, now, Heard::Said(to_giver.remove(0))),
                0 if old_lives && !new_lives && !std::mem::replace(&mut old_heard, true) => acts = give(&mut giver, now, Heard::Gone),
                1 if new_lives && !to_taker.is_empty() => {
                    let seen = to_taker.remove(0).map_or(Seen::Gone, Seen::Said);
                    does = take(&mut taker, now, seen);
                }
                1 if new_lives && !old_lives => does = take(&mut taker, now, Seen::Gone),
                2 if old_lives => acts = give(&mut giver, now, Heard::Time),
                3 if new_lives => does = take(&mut taker, now, Seen::Time(100, bad, 0)),
                4 if new_lives => does = take(&mut taker, now, Seen::Up),
                _ => {}
            }
            for act in acts {
                match act {
                    Act::Say(say) => to_taker.push(Some(say)),
                    Act::Hang => to_taker.push(None),
                    Act::Pause => old = false,
                    Act::Resume(_) => old = true,
                    Act::Succeeded => { old = false; old_lives = false; }
                    _ => {}
                }
            }
            for act in does {
                match act {
                    Do::Say(say) => to_giver.push(say),
                    Do::Accept => new = true,
                    // It closes its connection once the word is out: the old daemon hears the word first.
                    Do::Yield(_) => { new = false; new_lives = false; }
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
        let known = Known { members: members.collect(), sessions, ..Known::default() };
        let snapshot = Snapshot::new(5.0, known);
        let bytes = snapshot.encode();
        prop_assert_eq!(Snapshot::decode(&bytes, (OLDEST, VERSION)), Ok(snapshot));
        prop_assert!(Snapshot::decode(&bytes[..cut % bytes.len()], (OLDEST, VERSION)).is_err());
        let mut damaged = bytes.clone();
        damaged[flip % bytes.len()] ^= 1 << bit;
        prop_assert_eq!(Snapshot::decode(&damaged, (OLDEST, VERSION)), Err(Fault::Damaged));
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
    assert!(Snapshot::decode(&bytes, (OLDEST, VERSION)).is_ok());
    let other = with(VERSION + 1, VERSION + 1).encode();
    assert_eq!(Snapshot::decode(&other, (OLDEST, VERSION)), Err(Fault::Version(VERSION + 1)));
    let old = with(VERSION, OLDEST).encode();
    assert!(Snapshot::decode(&old, (VERSION, VERSION + 1)).is_ok(), "read by the next version");
    assert_eq!(Snapshot::decode(&old, (VERSION + 1, VERSION + 2)), Err(Fault::Version(VERSION)));
}

#[test]
fn what_is_known_is_weighed_by_its_age() {
    let member =
        Member { name: "a".into(), primary: Some((true, 99.0)), position: Some(7.0), cold_since: Some(90.0) };
    let known = Known { members: vec![member], sessions: vec![("s".into(), 3.0)], ..Known::default() };
    let snapshot = Snapshot::new(100.0, known);
    let at = |now| snapshot.clone().at(now);
    assert_eq!((at(101.0), at(99.9)), (snapshot.known.clone(), snapshot.known.clone()));
    let older = &at(130.0).members[0];
    assert_eq!((older.primary, older.position, older.cold_since), (None, None, Some(90.0)));
    assert_eq!(at(200.0).members[0].cold_since, None);
    // A clock was set back an hour: nothing but what makes stricter.
    let future = at(100.0 - 3_600.0);
    assert_eq!((future.members[0].primary, future.sessions.len()), (None, 1));
}
