//! What the pooler counts.

use std::fmt;

use routing::interface::Outcome;
use routing::permission::Denial;

/// What was taken in, sent and answered since the start.
#[derive(Default)]
pub(crate) struct Counters {
    pub clients: u64,
    pub requests: u64,
    pub malformed: u64,
    /// Clients that did not ask, end a message or read in time.
    pub clients_timed_out: u64,
    /// Clients whose connection was closed because it had rested for too long.
    pub idle_clients_closed: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub requests_abandoned: u64,
    /// Requests that came while an earlier one of their connection had no answer yet.
    pub pipelined: u64,
    pub attempts_sent: u64,
    pub probes_sent: u64,
    /// Answers that were none, what came behind an answer or without a request, and reports that could not be
    /// read.
    pub malformed_answers: u64,
    pub unexpected_data: u64,
    pub unreadable_reports: u64,
    pub connected: u64,
    /// How attempts and probes ended, in the order of [`OUTCOMES`].
    pub attempt_outcomes: [u64; OUTCOMES.len()],
    pub probe_outcomes: [u64; OUTCOMES.len()],
    pub lists: u64,
    pub lists_failed: u64,
    /// Times that the configuration was read again, and that it could not be used.
    pub reloads: u64,
    pub reloads_failed: u64,
    /// Answers that were served from data older than their requests may see.
    pub too_old: u64,
    /// What the decisions came to and may not be done, and what could not be done any more when it was to be.
    pub violations: Denials,
    pub withheld: Denials,
    /// Times that the process was held up, or one round of its loop took, for longer than
    /// [`LOOP_DELAY_THRESHOLD`], and the longest of these (seconds).
    pub loop_delays: u64,
    pub longest_loop_delay: f64,
}

/// How often each denial was met.
#[derive(Default)]
pub(crate) struct Denials([u64; Denial::ALL.len()]);

impl Denials {
    /// One more.
    pub fn count(&mut self, denial: Denial) {
        if let Some(index) = Denial::ALL.iter().position(|known| *known == denial) {
            self.0[index] += 1;
        }
    }

    /// Writes their number under a name, and that of each kind that was met.
    fn write(&self, name: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, " {name}={}", self.0.iter().sum::<u64>())?;
        for (denial, count) in Denial::ALL.iter().zip(self.0).filter(|(_, count)| *count > 0) {
            write!(f, " {name}_{}={count}", denial.name())?;
        }
        Ok(())
    }
}

/// A pause of the loop that is counted and logged (seconds): well below the shortest grace of a drain.
pub(crate) const LOOP_DELAY_THRESHOLD: f64 = 0.1;

impl Counters {
    /// The loop did nothing for so long though it had something to do, or took so long for one round.
    pub fn record_loop_time(&mut self, seconds: f64) {
        if seconds < LOOP_DELAY_THRESHOLD {
            return;
        }
        self.loop_delays += 1;
        self.longest_loop_delay = self.longest_loop_delay.max(seconds);
        logging::warn!(event = "loop.held_up", seconds, "the loop was held up");
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

/// Counts one outcome in `counts`.
pub(crate) fn count_outcome(counts: &mut [u64; OUTCOMES.len()], outcome: Outcome) {
    if let Some(index) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
        counts[index] += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counters {
            clients,
            requests: taken,
            malformed,
            served,
            refused,
            failed,
            requests_abandoned: gone,
            ..
        } = self;
        write!(f, "clients={clients} taken={taken} malformed={malformed} served={served} refused={refused}")?;
        write!(
            f,
            " failed={failed} gone={gone} overdue={} rested={}",
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
        write!(f, " pipelined={}", self.pipelined)?;
        write!(f, " too_old={}", self.too_old)?;
        self.violations.write("violations", f)?;
        self.withheld.write("withheld", f)?;
        write!(f, " held_up={} held_up_most_ms={:.0}", self.loop_delays, self.longest_loop_delay * 1000.0)
    }
}
