//! Counters of the pooler.

use std::fmt;

use routing::interface::{Consistency, Outcome};
use routing::permission::Denial;

/// Counts of what was received, sent and answered since the start.
#[derive(Default)]
pub(crate) struct Counters {
    pub clients: u64,
    pub requests: u64,
    pub malformed: u64,
    /// Clients that did not send a request, complete a message or read an answer in time.
    pub clients_timed_out: u64,
    /// Client connections that were closed because they had been idle for too long.
    pub idle_clients_closed: u64,
    /// Client connections whose unfinished message was refused, to make room for a new connection.
    pub unfinished_closed: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub requests_abandoned: u64,
    /// Requests that arrived while an earlier request of their connection was still unanswered.
    pub pipelined: u64,
    pub attempts_sent: u64,
    pub probes_sent: u64,
    /// Answers of members that broke the protocol.
    pub malformed_answers: u64,
    /// Times that a member sent data after an answer, or without a request.
    pub unexpected_data: u64,
    /// Reports of members that could not be parsed.
    pub unreadable_reports: u64,
    pub connected: u64,
    /// Attempts and probes by outcome, in the order of [`OUTCOMES`].
    pub attempt_outcomes: [u64; OUTCOMES.len()],
    pub probe_outcomes: [u64; OUTCOMES.len()],
    pub lists: u64,
    pub lists_failed: u64,
    /// Reloads of the configuration that succeeded and that failed.
    pub reloads: u64,
    pub reloads_failed: u64,
    /// Reads that were not written to the member that was chosen, since it may have been behind by then.
    pub withdrawn: ReadCounts,
    /// Answers that may have been read from older data than the read allows.
    pub too_old: ReadCounts,
    /// Actions of the policy that the permission check denied: `violations` are faults of the policy,
    /// `withheld` are attempts whose conditions changed between the decision and the check.
    pub violations: Denials,
    pub withheld: Denials,
    /// Times that the process was not scheduled, or one iteration of the event loop took, for at least
    /// [`LOOP_DELAY_THRESHOLD`], and the longest such delay (seconds).
    pub loop_delays: u64,
    pub longest_loop_delay: f64,
    pub event_loop: EventLoopMetrics,
}

/// What the iterations of the event loop took at most since the start.
#[derive(Default)]
pub(crate) struct EventLoopMetrics {
    /// The longest iteration (seconds).
    pub longest_iteration: f64,
    /// The longest time between the poll that reported a source as ready and its turn (seconds).
    pub longest_ready_wait: f64,
    /// The largest number of pending timers.
    pub most_timers: usize,
    /// The largest number of events handled in a turn of one source or timer.
    pub most_events_per_turn: u64,
}

/// The work of one iteration of the event loop.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IterationWork {
    /// Sources that had a turn.
    pub sources: u64,
    /// Timers that fired.
    pub timers: u64,
}

/// Number of reads by what they require.
#[derive(Default)]
pub(crate) struct ReadCounts([u64; READ_REQUIREMENTS.len()]);

/// The names of what reads require.
const READ_REQUIREMENTS: [&str; 4] = ["bounded", "session", "fresh", "any"];

impl ReadCounts {
    pub fn count(&mut self, consistency: Consistency) {
        let index = match consistency {
            Consistency::Bounded(_) => 0,
            Consistency::Session => 1,
            Consistency::Fresh => 2,
            Consistency::Any => 3,
            Consistency::Write => return,
        };
        self.0[index] += 1;
    }

    /// Writes the total as `name=total`, and the count of each requirement that occurred.
    fn write(&self, name: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_counts(name, READ_REQUIREMENTS.iter().copied().zip(self.0), f)
    }
}

/// Writes the total as `name=total`, and each count but 0 as `name_kind=count`.
fn write_counts<'a>(
    name: &str,
    counts: impl Iterator<Item = (&'a str, u64)> + Clone,
    f: &mut fmt::Formatter<'_>,
) -> fmt::Result {
    write!(f, " {name}={}", counts.clone().map(|(_, count)| count).sum::<u64>())?;
    for (kind, count) in counts.filter(|(_, count)| *count > 0) {
        write!(f, " {name}_{kind}={count}")?;
    }
    Ok(())
}

/// Number of occurrences of each denial.
#[derive(Default)]
pub(crate) struct Denials([u64; Denial::ALL.len()]);

impl Denials {
    pub fn count(&mut self, denial: Denial) {
        if let Some(index) = Denial::ALL.iter().position(|known| *known == denial) {
            self.0[index] += 1;
        }
    }

    /// Writes the total as `name=total`, and the count of each denial that occurred as `name_denial=count`.
    fn write(&self, name: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_counts(name, Denial::ALL.iter().map(|denial| denial.name()).zip(self.0), f)
    }
}

/// Delays of the event loop from this length on are counted and logged (seconds). Well below the shortest
/// grace period of a drain.
pub(crate) const LOOP_DELAY_THRESHOLD: f64 = 0.1;

impl Counters {
    /// Records how long the loop was late in waking.
    pub fn record_late_wake(&mut self, seconds: f64) {
        if self.count_loop_delay(seconds) {
            logging::warn!(event = "loop.held_up", seconds, "the event loop was delayed");
        }
    }

    /// Records how long one iteration of the loop took, and for what work.
    pub fn record_iteration(&mut self, seconds: f64, work: IterationWork) {
        let longest = &mut self.event_loop.longest_iteration;
        *longest = longest.max(seconds);
        if self.count_loop_delay(seconds) {
            let IterationWork { sources, timers } = work;
            logging::warn!(event = "loop.held_up", seconds, sources, timers, "the event loop was delayed");
        }
    }

    /// Counts a delay of the loop; returns true if it is long enough to be logged.
    fn count_loop_delay(&mut self, seconds: f64) -> bool {
        if seconds < LOOP_DELAY_THRESHOLD {
            return false;
        }
        self.loop_delays += 1;
        self.longest_loop_delay = self.longest_loop_delay.max(seconds);
        true
    }
}

impl EventLoopMetrics {
    /// Records how long a ready source has waited for its turn.
    pub fn record_ready_wait(&mut self, seconds: f64) {
        self.longest_ready_wait = self.longest_ready_wait.max(seconds);
    }

    /// Records the number of pending timers.
    pub fn record_timers(&mut self, count: usize) {
        self.most_timers = self.most_timers.max(count);
    }

    /// Records the number of events that were handled in one turn.
    pub fn record_events(&mut self, count: u64) {
        self.most_events_per_turn = self.most_events_per_turn.max(count);
    }
}

impl fmt::Display for EventLoopMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let EventLoopMetrics { longest_iteration, longest_ready_wait, most_timers, most_events_per_turn } =
            self;
        write!(
            f,
            "iteration_most_ms={:.0} ready_wait_most_ms={:.0}",
            longest_iteration * 1000.0,
            longest_ready_wait * 1000.0
        )?;
        write!(f, " timers_most={most_timers} events_most={most_events_per_turn}")
    }
}

const OUTCOMES: [(Outcome, &str); 9] = [
    (Outcome::Ok, "ok"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::Timeout, "timeout"),
    (Outcome::ConnectFailed, "connect_failed"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "moot"),
    (Outcome::Miss, "miss"),
];

pub(crate) fn count_outcome(counts: &mut [u64; OUTCOMES.len()], outcome: Outcome) {
    if let Some(index) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
        counts[index] += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counters { clients, requests, malformed, served, refused, failed, requests_abandoned, .. } = self;
        write!(
            f,
            "clients={clients} taken={requests} malformed={malformed} served={served} refused={refused}"
        )?;
        write!(
            f,
            " failed={failed} gone={requests_abandoned} overdue={} rested={}",
            self.clients_timed_out, self.idle_clients_closed
        )?;
        write!(f, " connected={} sent={}", self.connected, self.attempts_sent)?;
        for ((_, name), count) in OUTCOMES.iter().zip(self.attempt_outcomes) {
            write!(f, " {name}={count}")?;
        }
        write!(f, " probed={}", self.probes_sent)?;
        for ((_, name), count) in OUTCOMES.iter().zip(self.probe_outcomes).filter(|(_, count)| *count > 0) {
            write!(f, " probe_{name}={count}")?;
        }
        write!(
            f,
            " spoilt={} stray={} unreadable={}",
            self.malformed_answers, self.unexpected_data, self.unreadable_reports
        )?;
        write!(f, " lists={} lists_failed={}", self.lists, self.lists_failed)?;
        write!(f, " reloads={} reloads_failed={}", self.reloads, self.reloads_failed)?;
        write!(f, " pipelined={} unfinished_closed={}", self.pipelined, self.unfinished_closed)?;
        self.withdrawn.write("withdrawn", f)?;
        self.too_old.write("too_old", f)?;
        self.violations.write("violations", f)?;
        self.withheld.write("withheld", f)?;
        write!(f, " held_up={} held_up_most_ms={:.0}", self.loop_delays, self.longest_loop_delay * 1000.0)?;
        write!(f, " {}", self.event_loop)
    }
}
