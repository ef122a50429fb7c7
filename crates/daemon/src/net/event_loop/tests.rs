use mio::Token;

use super::*;

#[test]
fn slot_of_removed_entry_does_not_match_new_entry_of_same_index() {
    let mut slots = Slots::new();
    let old = slots.insert("old");
    for source in [Source::Server(old), Source::PeerStream(old), Source::PeerDatagrams, Source::PeerListener]
    {
        assert_eq!(Source::from(Token::from(source)), source);
    }
    slots.remove(old);
    let new = slots.insert("new");
    assert_eq!(new.index, old.index);
    assert_eq!(slots.get_mut(old), None);
    assert_eq!(slots.remove(old), None);
    assert_eq!(slots.get_mut(new), Some(&mut "new"));
}

fn reactor() -> Reactor {
    Reactor::new(&Poll::new().unwrap()).unwrap()
}

/// Guards issue 55: clients that connected and left at full speed each left a timer behind until their time limit.
#[test]
fn timers_of_owners_that_have_ended_do_not_add_up() {
    let mut reactor = reactor();
    for _ in 0..100_000 {
        EarliestTimer::default().set(1.0, TimerKind::ClientSweep, &mut reactor);
        assert!(reactor.timers.len() <= 512);
    }
    assert_eq!(reactor.timers.pop_expired(2.0), None);
}

#[test]
fn only_the_earliest_timer_of_an_owner_fires() {
    let (mut reactor, mut timer) = (reactor(), EarliestTimer::default());
    for at in [3.0, 1.0, 2.0] {
        timer.set(at, TimerKind::ClientSweep, &mut reactor);
    }
    reactor.set_timer(2.5, TimerKind::Accept);
    assert_eq!(reactor.timers.pop_expired(2.5), Some(TimerKind::ClientSweep));
    timer.fired(2.5);
    assert_eq!(reactor.timers.pop_expired(4.0), Some(TimerKind::Accept));
    assert_eq!(reactor.timers.pop_expired(4.0), None);
    timer.set(5.0, TimerKind::ClientSweep, &mut reactor);
    assert_eq!(reactor.timers.pop_expired(5.0), Some(TimerKind::ClientSweep));
}

/// Guards issue 55: the decisions' timers of requests that had been answered stayed until the requests' deadlines.
#[test]
fn timers_of_the_policy_that_are_not_needed_are_dropped_beyond_the_limit() {
    const LIMIT: usize = 100;
    let mut reactor = reactor();
    for cookie in 0..10_000 {
        reactor.set_timer(1.0, TimerKind::Policy(cookie));
        reactor.limit_policy_timers(LIMIT, |cookie| cookie < 10);
        assert!(reactor.timers.len() <= LIMIT);
    }
    let mut needed: Vec<TimerKind> = std::iter::from_fn(|| reactor.timers.pop_expired(2.0)).collect();
    needed.truncate(10);
    assert_eq!(needed, (0..10).map(TimerKind::Policy).collect::<Vec<_>>());
}
