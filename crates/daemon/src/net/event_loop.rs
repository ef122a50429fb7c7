//! Event loop: waits for sockets, signals and timers, and gives each source that is ready its turns.
//!
//! The work of an iteration is bounded in time, whatever remote parties send: a source has a share, and waits
//! behind the other ready sources with what it has left unread. Each lane of sources, and the timers, have a
//! part of each iteration.

mod ready;
mod source;
mod timers;

use std::io::{self, ErrorKind};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mio::{Events, Poll, Registry};

use super::Context;
use crate::counters::IterationWork;
use ready::{has_lane_time, ReadyQueue, ReadySource, LANES};
use timers::TimerQueue;

pub(crate) use source::{Slot, Slots, Source};
pub(crate) use timers::{EarliestTimer, TimerKind};

/// Maximum number of events fetched by one poll.
const MAX_EVENTS_PER_POLL: usize = 256;
/// A source that has more to do goes on until its turn has lasted this long (seconds), then waits for its next.
const TURN_TIME: f64 = 0.000_25;
/// Time after which no further turn of a lane, and no further timer, is begun in an iteration (seconds).
const LANE_TIME: f64 = 0.002;

/// Registers sockets, sets timers and provides the time: Unix seconds, read from the system clock at the
/// start and advanced by the monotonic clock, so that setting the system clock neither delays nor fires a
/// timer.
pub(crate) struct Reactor {
    pub registry: Registry,
    timers: TimerQueue,
    ready: ReadyQueue,
    epoch: f64,
    start: Instant,
}

impl Reactor {
    pub fn new(poll: &Poll) -> io::Result<Reactor> {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let registry = poll.registry().try_clone()?;
        let (timers, ready) = (TimerQueue::default(), ReadyQueue::default());
        Ok(Reactor { registry, timers, ready, epoch, start: Instant::now() })
    }

    pub fn now(&self) -> f64 {
        self.epoch + self.start.elapsed().as_secs_f64()
    }

    pub fn set_timer(&mut self, at: f64, kind: TimerKind) {
        self.timers.set(at, kind);
    }

    /// Drops timers of the policy that `is_needed` does not accept, once there are more than `limit`. Requests that
    /// are answered at once leave timers behind, which must not grow in number with what clients send.
    pub fn limit_policy_timers(&mut self, limit: usize, is_needed: impl Fn(u64) -> bool) {
        if self.timers.policy_timers() > limit {
            self.timers.retain_policy_timers(is_needed);
        }
    }

    /// Gives a source another turn, behind the other sources that are ready: there is more to do for it,
    /// which no event of its socket announces.
    pub fn continue_later(&mut self, source: Source) {
        self.ready.push(source, false, self.now());
    }

    /// Time until the next timer, or none if a source waits for its turn; `None` without either.
    fn poll_timeout(&self) -> Option<Duration> {
        if !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        let next = self.timers.next_at()?;
        Some(Duration::try_from_secs_f64(next - self.now()).unwrap_or(Duration::ZERO))
    }
}

/// Receiver of the loop's events.
pub(crate) trait Handler {
    /// A source may be readable or writable. `half_closed` is true if the remote side has shut down its
    /// sending direction: the bytes that can still be read are the last ones.
    fn on_ready(&mut self, source: Source, half_closed: bool, context: &mut Context);
    /// A timer has fired.
    fn on_timer(&mut self, kind: TimerKind, context: &mut Context);
    /// Returns true once the loop is to end.
    fn finished(&self) -> bool;
}

/// Runs until the handler has finished.
pub(crate) fn run(poll: &mut Poll, handler: &mut impl Handler, context: &mut Context) -> io::Result<()> {
    let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
    while !handler.finished() {
        let (timeout, polled_at) = (context.reactor.poll_timeout(), context.reactor.now());
        match poll.poll(&mut events, timeout) {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            result => result?,
        }
        let woken_at = context.reactor.now();
        if let Some(timeout) = timeout {
            context.counters.record_late_wake(woken_at - polled_at - timeout.as_secs_f64());
        }
        for event in &events {
            context.reactor.ready.push(event.token().into(), event.is_read_closed(), woken_at);
        }
        let mut work = IterationWork::default();
        for lane in 0..LANES {
            work.sources += run_lane(lane, handler, context);
        }
        context.counters.event_loop.record_timers(context.reactor.timers.len());
        work.timers = run_timers(handler, context);
        context.counters.record_iteration(context.reactor.now() - woken_at, work);
    }
    Ok(())
}

/// Gives each source that waits in a lane a turn, as far as the lane's time allows. Returns how many had one.
fn run_lane(lane: usize, handler: &mut impl Handler, context: &mut Context) -> u64 {
    let end_at = context.reactor.now() + LANE_TIME;
    // Sources that are added meanwhile wait for the next iteration.
    let waiting = context.reactor.ready.lane_len(lane);
    let mut turns = 0;
    for _ in 0..waiting {
        let Some(ready) = context.reactor.ready.pop(lane) else { continue };
        turns += 1;
        if run_turn(ready, handler, context) >= end_at {
            break;
        }
    }
    turns
}

/// Gives a source its turn. Returns when that ended.
fn run_turn(ready: ReadySource, handler: &mut impl Handler, context: &mut Context) -> f64 {
    let ReadySource { source, half_closed, since } = ready;
    let started_at = context.reactor.now();
    let turn_time = if has_lane_time(source) { LANE_TIME } else { TURN_TIME };
    context.counters.event_loop.record_ready_wait(started_at - since);
    handler.on_ready(source, half_closed, context);
    loop {
        let now = context.reactor.now();
        if now - started_at >= turn_time || !context.reactor.ready.take_last(source) {
            return now;
        }
        handler.on_ready(source, false, context);
    }
}

/// Runs the timers that are due, as far as their time allows. Returns how many have fired.
fn run_timers(handler: &mut impl Handler, context: &mut Context) -> u64 {
    // Timers that are set meanwhile wait for the next iteration, so that sockets are handled in between.
    let now = context.reactor.now();
    let mut fired = 0;
    while let Some(kind) = context.reactor.timers.pop_expired(now) {
        handler.on_timer(kind, context);
        fired += 1;
        if context.reactor.now() >= now + LANE_TIME {
            break;
        }
    }
    fired
}

#[cfg(test)]
mod tests;
