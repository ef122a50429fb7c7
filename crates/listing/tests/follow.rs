//! What silence means to whoever follows the list, and which of two connections counts meanwhile.

use listing::follow::{Follower, Step};

/// A follower and the steps it asked for last.
struct Drive {
    follower: Follower,
    now: f64,
    out: Vec<Step>,
}

impl Drive {
    /// One that listens on its first connection since second 100 and has been answered there.
    fn following(pushed: bool) -> Drive {
        let mut drive = Drive { follower: Follower::new(pushed, 41), now: 100.0, out: Vec::new() };
        drive.tell(|f, now, out| f.send_list_request(now, out));
        assert_eq!(drive.out[0], Step::Open(1, 41));
        drive.tell(|f, now, out| f.empty_line_received(1, now, out));
        assert!(drive.out.contains(&Step::Unchanged));
        drive
    }

    fn tell(&mut self, what: impl FnOnce(&mut Follower, f64, &mut Vec<Step>)) {
        self.out.clear();
        what(&mut self.follower, self.now, &mut self.out);
    }

    /// Passes time in hundredths; what was asked for meanwhile but timers.
    fn pass(&mut self, seconds: f64) -> Vec<Step> {
        let mut seen = Vec::new();
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.01;
            self.tell(|f, now, out| f.on_timer(now, out));
            seen.extend(self.out.drain(..).filter(|step| !matches!(step, Step::Timer(_))));
        }
        seen
    }
}

#[test]
fn silence_is_noticed_when_a_line_is_a_little_late_and_the_watch_is_kept_until_the_next_has_answered() {
    let mut drive = Drive::following(false);
    for _ in 0..5 {
        assert_eq!(drive.pass(2.0), []);
        drive.tell(|f, now, out| f.empty_line_received(1, now, out));
    }
    assert_eq!(drive.pass(2.2), [], "a line may be a little late");
    assert_eq!(drive.pass(0.3), [Step::Silent("silent")]);
    assert_eq!(drive.pass(60.0), [], "and that is told once");
    drive.tell(|f, now, out| f.send_list_request(now, out));
    assert_eq!(drive.out[0], Step::Open(2, 41), "nothing is closed for it");
    // What comes over the old one counts until the new one has answered, and not after.
    let (now, mut out) = (drive.now, Vec::new());
    assert!(drive.follower.update_received(1, now, 42, &mut out));
    assert!(drive.follower.update_received(2, now, 43, &mut out));
    assert!(out.contains(&Step::Close(1)), "{out:?}");
    assert!(!drive.follower.update_received(1, now, 42, &mut out), "it is closed");
    assert_eq!(drive.follower.version(), 43);
}

#[test]
fn a_call_that_hangs_is_told_and_kept_and_a_watch_that_speaks_again_stands_in_for_it() {
    let mut drive = Drive::following(false);
    drive.pass(2.5);
    drive.tell(|f, now, out| f.send_list_request(now, out));
    assert_eq!(drive.pass(2.9), [], "a call may wait in line");
    assert_eq!(drive.pass(0.2), [Step::Silent("a call without an answer")]);
    assert_eq!(drive.pass(3.0), [], "that is told once, and nothing is closed");
    drive.tell(|f, now, out| f.empty_line_received(1, now, out));
    assert!(drive.out.contains(&Step::Unchanged), "the old watch was only late: {:?}", drive.out);
    assert!(drive.out.contains(&Step::Close(2)), "the call is not needed any more: {:?}", drive.out);
    assert_eq!(drive.pass(2.0), []);
    assert_eq!(drive.pass(0.5), [Step::Silent("silent")], "and it is looked at like any other");
}

/// A service that took 3.5 s to begin each answer was never heard: each call was given up after 3 s and made anew.
#[test]
fn a_call_that_is_answered_late_counts_and_closes_those_made_after_it() {
    let mut drive = Drive { follower: Follower::new(false, 41), now: 100.0, out: Vec::new() };
    drive.tell(|f, now, out| f.send_list_request(now, out));
    assert_eq!(drive.pass(3.1), [Step::Silent("a call without an answer")]);
    drive.tell(|f, now, out| f.send_list_request(now, out));
    assert_eq!(drive.out[0], Step::Open(2, 41), "the first is kept");
    let (now, mut out) = (drive.now + 0.4, Vec::new());
    assert!(drive.follower.update_received(1, now, 42, &mut out));
    assert!(out.contains(&Step::Close(2)) && !out.contains(&Step::Close(1)), "{out:?}");
    assert_eq!(drive.follower.version(), 42);
    drive.now = now;
    assert_eq!(drive.pass(2.2), [], "it is the watch from now on");
}

/// Guards descriptors, and the best place in a line: only one that hangs for very long gives it up.
#[test]
fn calls_without_an_answer_are_bounded_and_the_oldest_is_kept_until_it_hangs() {
    let mut drive = Drive { follower: Follower::new(false, 41), now: 100.0, out: Vec::new() };
    let (mut open, mut most, mut first_closed) = (Vec::new(), 0, None);
    for _ in 0..15 {
        drive.tell(|f, now, out| f.send_list_request(now, out));
        let asked = drive.out.drain(..).collect::<Vec<_>>();
        for step in asked.into_iter().chain(drive.pass(4.0)) {
            match step {
                Step::Open(line, _) => open.push(line),
                Step::Close(line) => {
                    assert!(open.contains(&line), "{line} is closed twice");
                    open.retain(|other| *other != line);
                    first_closed = first_closed.or((line == 1).then_some(drive.now));
                }
                _ => {}
            }
        }
        most = most.max(open.len());
    }
    assert_eq!(most, 3);
    assert!(first_closed.is_some_and(|at| (128.0..140.0).contains(&at)), "{first_closed:?}");
}

/// Several calls are out: one that is turned down is no word on the others.
#[test]
fn only_the_newest_call_tells_that_the_list_is_lost() {
    let mut drive = Drive { follower: Follower::new(false, 41), now: 100.0, out: Vec::new() };
    drive.tell(|f, now, out| f.send_list_request(now, out));
    drive.pass(3.1);
    drive.tell(|f, now, out| f.send_list_request(now, out));
    drive.tell(|f, now, out| f.connection_failed(1, now, "turned down", out));
    assert_eq!(drive.out, [Step::Close(1)]);
    drive.tell(|f, now, out| f.connection_failed(2, now, "turned down", out));
    assert_eq!(drive.out, [Step::Close(2), Step::Failed("turned down")]);
}

#[test]
fn a_call_turned_down_changes_nothing_for_a_watch_that_has_spoken_again() {
    let mut drive = Drive::following(false);
    drive.pass(2.5);
    drive.tell(|f, now, out| f.send_list_request(now, out));
    drive.tell(|f, now, out| f.empty_line_received(1, now, out));
    drive.tell(|f, now, out| f.connection_failed(2, now, "turned down", out));
    assert_eq!(drive.out, [Step::Close(2)]);
    drive.tell(|f, now, out| f.connection_failed(1, now, "reset", out));
    assert_eq!(drive.out, [Step::Close(1), Step::Failed("reset")], "then there is none left");
}

#[test]
fn a_list_that_stops_in_the_middle_is_silence() {
    let mut drive = Drive::following(false);
    drive.pass(1.0);
    let now = drive.now;
    for step in 0..100 {
        drive.follower.bytes_received(1, now + f64::from(step) / 100.0, true);
    }
    assert_eq!(drive.pass(2.2), [], "the rest has as long as any line");
    assert_eq!(drive.pass(0.3), [Step::Silent("silent")], "a trickle is no list");
}

#[test]
fn an_agent_is_asked_again_at_once_and_as_long_as_it_says_nothing() {
    let mut drive = Drive::following(true);
    let seen = drive.pass(2.4);
    assert_eq!(seen, [Step::Silent("silent"), Step::Open(2, 41)]);
    // It is below any grace, and told once.
    let seen = drive.pass(10.0);
    let calls = seen.iter().filter(|step| matches!(step, Step::Open(..))).count();
    assert!((45..55).contains(&calls), "{calls}");
    assert!(seen.iter().all(|step| matches!(step, Step::Open(..) | Step::Close(_))), "{seen:?}");
    // What it says on the watch that was open first counts as what it says on a new one.
    drive.tell(|f, now, out| f.empty_line_received(1, now, out));
    assert!(drive.out.contains(&Step::Unchanged));
    assert_eq!(drive.pass(1.0).len(), 1, "the call that is out is given up, and none is made");
}

#[test]
fn an_agent_that_takes_longer_than_others_to_answer_is_heard() {
    let mut drive = Drive { follower: Follower::new(true, 41), now: 100.0, out: Vec::new() };
    drive.tell(|f, now, out| f.ensure_followed(now, out));
    assert_eq!(drive.pass(0.25), [Step::Open(2, 41), Step::Silent("a call without an answer")]);
    drive.pass(0.5);
    let (now, mut out) = (drive.now, Vec::new());
    assert!(drive.follower.update_received(1, now, 42, &mut out), "the first call is open still");
    assert_eq!(drive.follower.version(), 42);
}

/// Guards a watch at the service before: its versions mean nothing to the next, and it must not stand in for it.
#[test]
fn a_service_that_is_left_is_listened_to_until_the_next_has_answered() {
    let mut drive = Drive::following(false);
    drive.tell(|f, now, out| f.request_full_list(now, out));
    assert_eq!(drive.out[0], Step::Open(2, 0));
    let (now, mut out) = (drive.now, Vec::new());
    assert!(drive.follower.update_received(1, now, 99, &mut out));
    assert_eq!(drive.follower.version(), 0);
    drive.tell(|f, now, out| f.connection_failed(2, now, "turned down", out));
    assert_eq!(drive.out, [Step::Close(2), Step::Close(1), Step::Failed("turned down")]);
}

/// Guards the pause against a timer of the call before, which comes sooner.
#[test]
fn an_agent_that_ends_the_connection_is_asked_again() {
    for after in [0.0, 0.1] {
        let mut drive = Drive { follower: Follower::new(true, 41), now: 100.0, out: Vec::new() };
        drive.tell(|f, now, out| f.ensure_followed(now, out));
        drive.pass(after);
        drive.tell(|f, now, out| f.connection_failed(1, now, "reset", out));
        assert_eq!(drive.pass(0.4)[0], Step::Open(2, 41));
    }
}

/// Guards timers against adding up, call by call.
#[test]
fn one_timer_is_set_at_a_time() {
    let mut drive = Drive::following(false);
    let mut timers = vec![];
    for _ in 0..200 {
        drive.tell(|f, now, out| f.send_list_request(now, out));
        timers
            .extend(drive.out.iter().filter_map(|s| if let Step::Timer(at) = s { Some(*at) } else { None }));
        drive.now += 0.01;
    }
    assert!(timers.len() <= 2, "{timers:?}");
}

/// Guards against a look that comes a rounding too early and is the last.
#[test]
fn a_timer_that_comes_early_by_its_rounding_is_not_lost() {
    let mut drive = Drive::following(false);
    drive.tell(|f, now, out| f.empty_line_received(1, now, out));
    drive.now = 102.3 - 1e-9;
    drive.tell(|f, now, out| f.on_timer(now, out));
    assert_eq!(drive.out, [Step::Silent("silent")]);
}
