//! State that a policy has observed, for a successor.

use std::sync::Arc;

use crate::interface::{Action, MemberId, Phase};
use crate::state::Policy;

/// Observed state of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedState {
    /// The member.
    pub member: MemberId,
    /// Whether it is its group's primary, and the time for which that holds (seconds on the policy's clock).
    pub primary: Option<(bool, f64)>,
    /// Its position in the log.
    pub position: Option<f64>,
    /// When it last became cold (seconds).
    pub cold_since: Option<f64>,
}

impl Policy {
    /// Returns the observed state of each listed member.
    pub fn observed_state(&self) -> Vec<ObservedState> {
        let finite = |value: f64| value.is_finite().then_some(value);
        let listed = self.by_id.iter().filter(|(_, m)| self.members[**m].phase != Phase::Left);
        let mut states: Vec<ObservedState> = listed
            .map(|(id, &m)| {
                let known = &self.members[m];
                let (position, cold_since) = (finite(known.position), finite(known.cold_since));
                ObservedState { member: id.clone(), primary: known.role, position, cold_since }
            })
            .collect();
        states.sort_by(|a, b| a.member.cmp(&b.member));
        states
    }

    /// Adopts the state that another process observed of listed members. Newer observations of this policy
    /// stay. A report that a member is cold is always adopted, since an error there only reduces the member's
    /// load.
    pub fn adopt_observed_state(
        &mut self,
        now: f64,
        observed_states: &[ObservedState],
        actions: &mut Vec<Action>,
    ) {
        self.now = self.now.max(now);
        for observed in observed_states {
            let Some(&m) = self.by_id.get(&observed.member) else { continue };
            let known = &mut self.members[m];
            if let Some((primary, at)) = observed.primary {
                if known.role.is_none_or(|(_, own)| at > own) {
                    known.role = Some((primary, at));
                }
            }
            if let Some(position) = observed.position.filter(|position| *position > known.position) {
                (known.position, known.position_at) =
                    (position, observed.primary.map_or(position, |(_, at)| at));
            }
            known.cold_since = observed.cold_since.map_or(known.cold_since, |at| known.cold_since.max(at));
        }
        let groups: Vec<u32> = self.groups.keys().copied().collect();
        groups.into_iter().for_each(|group| self.reconcile_primary(group, actions));
    }

    /// Any session may have written until now through another process, unknown to this one: the remembered
    /// writes of single sessions are no longer valid.
    pub fn invalidate_session_writes(&mut self, now: f64) {
        self.sessions.clear();
        self.session_order.clear();
        self.unknown_session_position = self.unknown_session_position.max(now);
    }

    /// Returns the last write of each session, the earliest first, and the position up to which any other
    /// session may have written.
    pub fn export_session_writes(&self) -> (Vec<(Arc<str>, f64)>, f64) {
        let last = |(session, commit): &&(Arc<str>, f64)| {
            self.sessions.get(session).is_some_and(|last| *last == *commit)
        };
        (self.session_order.iter().filter(last).cloned().collect(), self.unknown_session_position)
    }

    /// Adds the writes that sessions made through another process.
    pub fn import_session_writes(
        &mut self,
        sessions: impl IntoIterator<Item = (Arc<str>, f64)>,
        forgotten: f64,
    ) {
        self.unknown_session_position = self.unknown_session_position.max(forgotten);
        for (session, commit) in sessions {
            self.retain_session_write(session, commit);
        }
    }
}
