//! Scenarios of sessions that read what they wrote, or may have written. Each guards one decision.

mod drive;

use drive::*;
use routing::interface::*;

/// A site whose replicas answer from what they have, and whose sessions are remembered here; the replica at home is fresh.
fn remembered() -> Drive {
    let mut d = Drive::new(Settings {
        when_behind: WhenBehind::ServeStale,
        requests_carry_position: false,
        ..settings()
    });
    d.freshen("r");
    d
}

/// The write may have been committed and its answer lost on a connection that fell silent: nobody can tell until it ends.
#[test]
fn a_write_that_is_out_binds_its_sessions_reads() {
    let mut d = remembered();
    assert_eq!(sent(&d.feed(of_session("w", 0))), ["p"]);
    d.now += 0.05;
    assert_eq!(sent(&d.feed(of_session("at once", 2))), ["r"], "nothing can be known of it yet");
    d.answer("at once", "r", 0, Outcome::Ok);
    d.now += 0.25;
    d.freshen("r");
    assert_eq!(sent(&d.feed(of_session("near", 2))), ["r"], "it has come as far as could be known");
    d.answer("near", "r", 0, Outcome::Ok);
    d.now += 0.101;
    assert_eq!(sent(&d.feed(of_session("read", 2))), ["p"]);
    assert_eq!(sent(&d.ask("other", 2)), ["r"], "a session that wrote nothing reads at home");
}

#[test]
fn a_write_that_may_have_run_binds_its_sessions_reads() {
    for outcome in [Outcome::Reset, Outcome::Timeout, Outcome::Cancelled, Outcome::Error] {
        let mut d = remembered();
        // Never to be repeated: its end is final.
        d.feed(of_session("w", 5));
        d.now += 0.3;
        d.freshen("r");
        d.now += 0.1;
        d.answer("w", "p", 0, outcome);
        assert_eq!(sent(&d.feed(of_session("read", 2))), ["p"], "{outcome:?}");
        d.now += 0.1;
        d.freshen("r");
        assert_eq!(sent(&d.feed(of_session("later", 2))), ["r"], "{outcome:?}: it has caught up");
    }
}

#[test]
fn a_write_that_cannot_have_run_binds_nobody() {
    for outcome in [Outcome::Full, Outcome::Miss, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut d = remembered();
        d.feed(of_session("w", 5));
        d.feed(Event::ClientLeft { id: "w".into() });
        d.answer("w", "p", 0, outcome);
        assert_eq!(sent(&d.feed(of_session("read", 2))), ["r"], "{outcome:?}");
    }
}

/// What a read must see is looked up when it is sent, not when it comes.
#[test]
fn a_write_that_is_answered_while_a_read_waits_binds_the_read() {
    let mut d = remembered();
    d.freshen("far");
    d.feed(of_session("w", 0));
    d.now += 0.101;
    assert_eq!(sent(&d.feed(of_session("read", 2))), ["p"]);
    d.now += 0.1;
    d.told("w", "p", 0, Outcome::Ok, Some(true), Some(d.now));
    let next = d.answer("read", "p", 0, Outcome::Reset);
    assert!(!sent(&next).contains(&"r") && !sent(&next).contains(&"far"), "{next:?}");
}

/// Where sessions carry what they must see, they know of nothing that was not answered.
#[test]
fn nothing_is_remembered_where_positions_are_carried() {
    let mut d = Drive::new(Settings { when_behind: WhenBehind::ServeStale, ..settings() });
    d.freshen("r");
    d.feed(of_session("w", 0));
    assert_eq!(sent(&d.feed(of_session("read", 2))), ["r"]);
}
