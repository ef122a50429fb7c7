//! Reports of other instances about members, and the only way in which they affect decisions. A report may
//! make a decision stricter at once. It may make one laxer only within its lifetime, and only if an error
//! costs a miss or a detour, never a stale read, and never a write sent because of reports alone.

use crate::demand::decay_factor;
use crate::interface::{Action, MemberId};
use crate::observed_state::ObservedState;
use crate::state::{Policy, ReportedState};
use crate::thresholds::EJECTION_THRESHOLD;

/// Number of other instances that must have observed a member as unresponsive before an instance without
/// observations of its own ejects the member.
const MIN_OBSERVERS: u32 = 2;
/// Half-life of the reported number of requests in flight (seconds); reports come a few times per second.
const PEER_LOAD_HALF_LIFE: f64 = 0.5;
/// Lifetime of a report that is not renewed (seconds).
const PEER_REPORT_TTL: f64 = 3.0;

/// Merged reports of other instances about a member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerReport {
    /// The member.
    pub member: MemberId,
    /// A list seen by another instance forbids new work for the member.
    pub drained: bool,
    /// Requests of other instances in flight at the member.
    pub in_flight: f64,
    /// Number of other instances that observed the member as unresponsive.
    pub suspected_by: u32,
    /// Since when the member has been cold (seconds on the policy's clock).
    pub cold_since: Option<f64>,
    /// Whether the member is the only one reported as the primary of its group.
    pub primary: bool,
}

/// This instance's own observations of a member, to be reported to others.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Observed role, position and start.
    pub observed: ObservedState,
    /// When the member last started (seconds); 0 for long ago.
    pub started_at: f64,
    /// Group of the member.
    pub group: u32,
    /// When the position was observed (seconds).
    pub position_at: f64,
    /// Own requests in flight at the member.
    pub in_flight: u32,
    /// Whether the member is unresponsive to this instance.
    pub suspected: bool,
    /// Latency of the member relative to that of others.
    pub slowness: f64,
}

impl Policy {
    /// Applies a full set of reports. For a member without a report, earlier reports no longer hold.
    pub fn apply_peer_reports(
        &mut self,
        now: f64,
        reports: &[PeerReport],
        instances: u32,
        out: &mut Vec<Action>,
    ) {
        self.now = self.now.max(now);
        // More instances than the settings state share a cold member's capacity; a lower number is ignored.
        self.settings.fleet_size = self.settings.fleet_size.max(instances);
        let mut groups = Vec::new();
        let mut drained: Vec<usize> = Vec::new();
        for member in &mut self.members {
            if member.reported != ReportedState::default() {
                drained
                    .extend(member.reported.drained.then(|| self.by_id.get(&member.id).copied()).flatten());
                member.reported =
                    ReportedState { ejected: member.reported.ejected, ..ReportedState::default() };
            }
        }
        for report in reports {
            let Some(&m) = self.by_id.get(&report.member) else { continue };
            let (now, connect_timeout) = (self.now, self.settings.connect_timeout);
            let member = &mut self.members[m];
            let PeerReport { drained: reported_drain, in_flight, suspected_by, primary, .. } = *report;
            if reported_drain != drained.contains(&m) {
                groups.push(member.group);
            }
            member.reported = ReportedState {
                drained: reported_drain,
                primary,
                in_flight,
                received_at: now,
                ejected: member.reported.ejected,
            };
            // An error here only reduces the load of the member.
            member.cold_since = report.cold_since.map_or(member.cold_since, |at| member.cold_since.max(at));
            // An instance that hears from the member itself relies on that.
            let unheard = now - member.last_heard_at > connect_timeout;
            if suspected_by >= MIN_OBSERVERS && unheard && !member.ejected {
                member.reported.ejected = true;
                self.suspect(m, EJECTION_THRESHOLD, out);
            }
        }
        self.cancel_unsent(out);
        groups.extend(drained.into_iter().map(|m| self.members[m].group));
        groups.sort_unstable();
        groups.dedup();
        groups.into_iter().for_each(|group| self.reconcile_primary(group, out));
    }

    /// Returns this instance's own observations of members.
    pub fn observations(&self) -> Vec<Observation> {
        let state = self.observed_state().into_iter();
        let observations = state.filter_map(|state| {
            let member = &self.members[*self.by_id.get(&state.member)?];
            Some(Observation {
                started_at: member.started_at,
                group: member.group,
                position_at: member.position_at,
                in_flight: member.in_flight,
                suspected: member.ejected && !member.reported.ejected,
                slowness: member.relative_latency.ratio(self.now, self.half_life()),
                observed: state,
            })
        });
        observations.collect()
    }

    /// Requests at a member, including those that other instances report.
    pub(crate) fn fleet_load(&self, m: usize) -> u32 {
        let reported = &self.members[m].reported;
        let age = self.now - reported.received_at;
        let others = if age < PEER_REPORT_TTL {
            reported.in_flight * decay_factor(age, PEER_LOAD_HALF_LIFE)
        } else {
            0.0
        };
        self.load(m) + others.round() as u32
    }
}
