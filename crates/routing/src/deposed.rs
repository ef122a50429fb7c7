//! Detects that the primary may have been deposed without this pooler's knowledge. Any answer of a deposed
//! member states its new role. If an answer got lost, it may have stated that, and reads that need the
//! primary's data must not rely on the member's last known role.

use crate::interface::{Action, AttemptEnded, Conclusion, Consistency, Outcome};
use crate::state::{Policy, Request};

/// Minimum interval between two probes for a member's role, in multiples of the connect timeout; also their
/// validity.
const ROLE_PROBE_INTERVAL_FACTOR: f64 = 0.4;
/// An attempt is late at this many mean deviations over the mean latency of its class.
const LATE_DEVIATIONS: f64 = 4.0;

/// Maximum duration of a handover by a primary (seconds).
const MAX_HANDOVER_DURATION: f64 = 1.0;

impl Policy {
    /// Records that a member known as the primary has rejected a request and states that it is not the
    /// primary. During a handover the member accepts no writes, but still claims with each read to be the
    /// primary. Such claims are ignored for the maximum duration of a handover, since the moment at which
    /// another member takes over is not reported.
    pub(crate) fn record_deposed(&mut self, m: usize, done: &AttemptEnded) {
        let member = &mut self.members[m];
        let rejected = done.outcome == Outcome::Miss || done.conclusion == Conclusion::TooOld;
        let deposed = rejected && done.primary == Some(false);
        if deposed && member.role.is_some_and(|(primary, _)| primary) {
            member.handing_over_until = self.now + MAX_HANDOVER_DURATION;
        }
    }

    /// Returns true if a read would rely on the primary's last known role alone, although an attempt sent
    /// there since the role was reported has ended without an answer or is late.
    fn role_is_uncertain(&self, request: &Request, m: usize) -> bool {
        let member = &self.members[m];
        let read = self.settings.classes[request.class].consistency != Consistency::Write;
        let role_at = member.role.map_or(f64::NEG_INFINITY, |(_, at)| at);
        let late = |r: &Request| {
            let latency = &self.latency[r.class];
            let limit = latency.mean + LATE_DEVIATIONS * latency.deviation;
            r.attempts
                .iter()
                .any(|a| a.open && a.member == m && a.sent_at > role_at && self.now - a.sent_at > limit)
        };
        // When it reported its role, a primary had all commits up to that time.
        read && member.position.max(role_at) < self.required_read_position(request)
            && (member.last_unanswered_at > role_at || self.requests.values().any(late))
    }

    /// Returns true if a read has to wait until the primary confirms its role. Probes it if the probe budget
    /// allows.
    pub(crate) fn awaits_role_confirmation(&mut self, n: u64, m: usize, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&n).filter(|_| self.settings.probes) else { return false };
        if !self.role_is_uncertain(request, m) || self.now >= request.queue_until {
            return false;
        }
        let member = &self.members[m];
        if !member.probing
            && self.now - member.probed_at >= self.settings.connect_timeout * ROLE_PROBE_INTERVAL_FACTOR
        {
            self.probe(m, out);
        }
        let member = &self.members[m];
        member.probing
            || self.now - member.probed_at < self.settings.connect_timeout * ROLE_PROBE_INTERVAL_FACTOR
    }
}
