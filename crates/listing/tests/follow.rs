//! What a silent watch or request means to the follower, and which of its connections counts meanwhile.

use listing::follow::{Follower, Step};

/// A follower and the steps that it returned last.
struct Harness {
    follower: Follower,
    now: f64,
    out: Vec<Step>,
}

impl Harness {
    /// A follower whose first connection is opened at second 100 and has been answered.
    fn watching(pushed: bool) -> Harness {
        let mut harness = Harness { follower: Follower::new(pushed, 41), now: 100.0, out: Vec::new() };
        harness.call(|f, now, out| f.send_list_request(now, out));
        assert_eq!(harness.out[0], Step::Open(1, 41));
        harness.call(|f, now, out| f.empty_line_received(1, now, out));
        assert!(harness.out.contains(&Step::Unchanged));
        harness
    }

    fn call(&mut self, operation: impl FnOnce(&mut Follower, f64, &mut Vec<Step>)) {
        self.out.clear();
        operation(&mut self.follower, self.now, &mut self.out);
    }

    /// Advances the time in steps of 10 ms and returns all steps other than timers.
    fn advance(&mut self, seconds: f64) -> Vec<Step> {
        let mut steps = Vec::new();
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.01;
            self.call(|f, now, out| f.on_timer(now, out));
            steps.extend(self.out.drain(..).filter(|step| !matches!(step, Step::Timer(_))));
        }
        steps
    }
}

#[test]
fn a_silent_watch_is_reported_once_and_stays_open_until_the_next_has_answered() {
    let mut harness = Harness::watching(false);
    for _ in 0..5 {
        assert_eq!(harness.advance(2.0), []);
        harness.call(|f, now, out| f.empty_line_received(1, now, out));
    }
    assert_eq!(harness.advance(2.2), [], "an empty line may be slightly late");
    assert_eq!(harness.advance(0.3), [Step::Silent("no data on the watch in time")]);
    assert_eq!(harness.advance(60.0), [], "the silence is reported once");
    harness.call(|f, now, out| f.send_list_request(now, out));
    assert_eq!(harness.out[0], Step::Open(2, 41), "no connection is closed for it");
    // Updates on the old watch count until the new one has answered, and not after.
    let (now, mut out) = (harness.now, Vec::new());
    assert!(harness.follower.update_received(1, now, 42, &mut out));
    assert!(harness.follower.update_received(2, now, 43, &mut out));
    assert!(out.contains(&Step::Close(1)), "{out:?}");
    assert!(!harness.follower.update_received(1, now, 42, &mut out), "the old watch is closed");
    assert_eq!(harness.follower.version(), 43);
}

#[test]
fn an_overdue_request_stays_open_until_the_old_watch_sends_data_again() {
    let mut harness = Harness::watching(false);
    harness.advance(2.5);
    harness.call(|f, now, out| f.send_list_request(now, out));
    assert_eq!(harness.advance(2.9), [], "a request may wait in the queue of the service");
    assert_eq!(harness.advance(0.2), [Step::Silent("list request not answered in time")]);
    assert_eq!(harness.advance(3.0), [], "the delay is reported once, and nothing is closed");
    harness.call(|f, now, out| f.empty_line_received(1, now, out));
    assert!(harness.out.contains(&Step::Unchanged), "the old watch was only late: {:?}", harness.out);
    assert!(harness.out.contains(&Step::Close(2)), "the request is not needed any more: {:?}", harness.out);
    assert_eq!(harness.advance(2.0), []);
    assert_eq!(
        harness.advance(0.5),
        [Step::Silent("no data on the watch in time")],
        "the old watch is checked like any other"
    );
}

/// Guards against never accepting a service that takes 3.5 s to begin each response: each request was
/// abandoned after 3 s and sent anew.
#[test]
fn a_request_answered_late_counts_and_closes_later_requests() {
    let mut harness = Harness { follower: Follower::new(false, 41), now: 100.0, out: Vec::new() };
    harness.call(|f, now, out| f.send_list_request(now, out));
    assert_eq!(harness.advance(3.1), [Step::Silent("list request not answered in time")]);
    harness.call(|f, now, out| f.send_list_request(now, out));
    assert_eq!(harness.out[0], Step::Open(2, 41), "the first request stays open");
    let (now, mut out) = (harness.now + 0.4, Vec::new());
    assert!(harness.follower.update_received(1, now, 42, &mut out));
    assert!(out.contains(&Step::Close(2)) && !out.contains(&Step::Close(1)), "{out:?}");
    assert_eq!(harness.follower.version(), 42);
    harness.now = now;
    assert_eq!(harness.advance(2.2), [], "the connection is the watch from now on");
}

/// Guards the descriptors and the place in the service's queue: the oldest request is closed only once it
/// hangs.
#[test]
fn unanswered_requests_are_bounded_and_the_oldest_stays_open_until_it_hangs() {
    let mut harness = Harness { follower: Follower::new(false, 41), now: 100.0, out: Vec::new() };
    let (mut open, mut max_open, mut first_closed) = (Vec::new(), 0, None);
    for _ in 0..15 {
        harness.call(|f, now, out| f.send_list_request(now, out));
        let requested = harness.out.drain(..).collect::<Vec<_>>();
        for step in requested.into_iter().chain(harness.advance(4.0)) {
            match step {
                Step::Open(id, _) => open.push(id),
                Step::Close(id) => {
                    assert!(open.contains(&id), "{id} is closed twice");
                    open.retain(|other| *other != id);
                    first_closed = first_closed.or((id == 1).then_some(harness.now));
                }
                _ => {}
            }
        }
        max_open = max_open.max(open.len());
    }
    assert_eq!(max_open, 3);
    assert!(first_closed.is_some_and(|at| (128.0..140.0).contains(&at)), "{first_closed:?}");
}

/// The failure of an older request says nothing about the newer ones.
#[test]
fn only_the_failure_of_the_newest_request_reports_the_list_as_lost() {
    let mut harness = Harness { follower: Follower::new(false, 41), now: 100.0, out: Vec::new() };
    harness.call(|f, now, out| f.send_list_request(now, out));
    harness.advance(3.1);
    harness.call(|f, now, out| f.send_list_request(now, out));
    harness.call(|f, now, out| f.connection_failed(1, now, "refused", out));
    assert_eq!(harness.out, [Step::Close(1)]);
    harness.call(|f, now, out| f.connection_failed(2, now, "refused", out));
    assert_eq!(harness.out, [Step::Close(2), Step::Failed("refused")]);
}

#[test]
fn a_refused_request_does_not_affect_a_watch_that_has_sent_data_again() {
    let mut harness = Harness::watching(false);
    harness.advance(2.5);
    harness.call(|f, now, out| f.send_list_request(now, out));
    harness.call(|f, now, out| f.empty_line_received(1, now, out));
    harness.call(|f, now, out| f.connection_failed(2, now, "refused", out));
    assert_eq!(harness.out, [Step::Close(2)]);
    harness.call(|f, now, out| f.connection_failed(1, now, "reset", out));
    assert_eq!(harness.out, [Step::Close(1), Step::Failed("reset")], "no connection is left");
}

#[test]
fn a_document_that_stops_in_the_middle_counts_as_silence() {
    let mut harness = Harness::watching(false);
    harness.advance(1.0);
    let now = harness.now;
    for step in 0..100 {
        harness.follower.bytes_received(1, now + f64::from(step) / 100.0, true);
    }
    assert_eq!(harness.advance(2.2), [], "the rest has the full time limit");
    assert_eq!(
        harness.advance(0.3),
        [Step::Silent("no data on the watch in time")],
        "single bytes do not extend the time limit"
    );
}

#[test]
fn a_silent_agent_is_polled_repeatedly() {
    let mut harness = Harness::watching(true);
    let steps = harness.advance(2.4);
    assert_eq!(steps, [Step::Silent("no data on the watch in time"), Step::Open(2, 41)]);
    // The interval is below any grace period, and the silence is reported once.
    let steps = harness.advance(10.0);
    let requests = steps.iter().filter(|step| matches!(step, Step::Open(..))).count();
    assert!((45..55).contains(&requests), "{requests}");
    assert!(steps.iter().all(|step| matches!(step, Step::Open(..) | Step::Close(_))), "{steps:?}");
    // Data on the first watch counts as much as data on a new one.
    harness.call(|f, now, out| f.empty_line_received(1, now, out));
    assert!(harness.out.contains(&Step::Unchanged));
    assert_eq!(harness.advance(1.0).len(), 1, "the request in flight is closed, and none is sent");
}

#[test]
fn a_late_answer_of_an_agent_counts() {
    let mut harness = Harness { follower: Follower::new(true, 41), now: 100.0, out: Vec::new() };
    harness.call(|f, now, out| f.ensure_followed(now, out));
    assert_eq!(harness.advance(0.25), [Step::Open(2, 41), Step::Silent("list request not answered in time")]);
    harness.advance(0.5);
    let (now, mut out) = (harness.now, Vec::new());
    assert!(harness.follower.update_received(1, now, 42, &mut out), "the first request is still open");
    assert_eq!(harness.follower.version(), 42);
}

/// Guards against a watch at the previous address: its versions cannot be compared, and it must not replace
/// the new one.
#[test]
fn the_watch_at_the_previous_address_counts_until_the_next_has_answered() {
    let mut harness = Harness::watching(false);
    harness.call(|f, now, out| f.request_full_list(now, out));
    assert_eq!(harness.out[0], Step::Open(2, 0));
    let (now, mut out) = (harness.now, Vec::new());
    assert!(harness.follower.update_received(1, now, 99, &mut out));
    assert_eq!(harness.follower.version(), 0);
    harness.call(|f, now, out| f.connection_failed(2, now, "refused", out));
    assert_eq!(harness.out, [Step::Close(2), Step::Close(1), Step::Failed("refused")]);
}

/// Guards the delay against a timer of the previous request, which fires sooner.
#[test]
fn an_agent_that_ends_the_connection_is_polled_again() {
    for delay in [0.0, 0.1] {
        let mut harness = Harness { follower: Follower::new(true, 41), now: 100.0, out: Vec::new() };
        harness.call(|f, now, out| f.ensure_followed(now, out));
        harness.advance(delay);
        harness.call(|f, now, out| f.connection_failed(1, now, "reset", out));
        assert_eq!(harness.advance(0.4)[0], Step::Open(2, 41));
    }
}

/// Guards against timers that add up, one for each request.
#[test]
fn one_timer_is_set_at_a_time() {
    let mut harness = Harness::watching(false);
    let mut timers = vec![];
    for _ in 0..200 {
        harness.call(|f, now, out| f.send_list_request(now, out));
        timers.extend(
            harness.out.iter().filter_map(|s| if let Step::Timer(at) = s { Some(*at) } else { None }),
        );
        harness.now += 0.01;
    }
    assert!(timers.len() <= 2, "{timers:?}");
}

/// Guards against a timer that fires early by a rounding error and is not set again.
#[test]
fn a_timer_that_fires_early_by_its_rounding_is_not_lost() {
    let mut harness = Harness::watching(false);
    harness.call(|f, now, out| f.empty_line_received(1, now, out));
    harness.now = 102.3 - 1e-9;
    harness.call(|f, now, out| f.on_timer(now, out));
    assert_eq!(harness.out, [Step::Silent("no data on the watch in time")]);
}
