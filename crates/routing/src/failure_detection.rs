//! Weighs missing answers as evidence of a failure. A member that answers others meanwhile is only slow. One
//! that has answered nothing since attempts were sent may hang, be cut off, or just be busy with long
//! requests.

use crate::latency::Latency;
use crate::state::Policy;

/// An attempt without an answer is late at this many mean deviations over the mean latency.
const LATE_DEVIATIONS: f64 = 2.0;
/// Total waiting time of a member's attempts, in multiples of their usual latency, at which it counts as
/// unresponsive. With exponentially distributed latencies a working member is silent for so long once in
/// 3,000 times.
const FAILURE_WAIT: f64 = 8.0;

/// Attempts at a member that were sent since it last answered anything.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Unanswered {
    /// Number of attempts that are late.
    pub late: usize,
    /// Total waiting time of the attempts, in multiples of the usual latency at that member.
    pub waited: f64,
}

impl Unanswered {
    /// Returns true if the waiting time is longer than chance explains.
    pub fn indicates_failure(self) -> bool {
        self.waited > FAILURE_WAIT
    }
}

impl Policy {
    /// Returns the unanswered attempts of each member, by index.
    pub(crate) fn unanswered(&self) -> Vec<Unanswered> {
        let mut by_member = vec![Unanswered::default(); self.members.len()];
        for request in self.requests.values() {
            let Latency { mean, deviation, .. } = self.latency[request.class];
            for attempt in request.attempts.iter().filter(|attempt| attempt.open) {
                let member = &self.members[attempt.member];
                if member.last_heard_at >= attempt.sent_at {
                    continue;
                }
                let (age, unanswered) = (self.now - attempt.sent_at, &mut by_member[attempt.member]);
                unanswered.late += usize::from(age > mean + LATE_DEVIATIONS * deviation);
                // A member that has been slow recently gets more time in proportion.
                unanswered.waited +=
                    age / (mean * self.slowness(attempt.member).max(1.0)).max(f64::MIN_POSITIVE);
            }
        }
        by_member
    }
}
