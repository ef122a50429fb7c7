//! What a policy has learned first-hand, for another that takes its place.

use std::sync::Arc;

use crate::interface::{Action, MemberId, Phase};
use crate::state::Policy;

/// What is known of a member first-hand.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedState {
    /// The member.
    pub member: MemberId,
    /// Whether it is its group's primary, and when that was so (seconds, as the policy is told the time).
    pub primary: Option<(bool, f64)>,
    /// Its position in the log.
    pub position: Option<f64>,
    /// When it was last cold.
    pub cold_since: Option<f64>,
}

impl Policy {
    /// What is known of each member that is on the list.
    pub fn observed_state(&self) -> Vec<ObservedState> {
        let finite = |value: f64| value.is_finite().then_some(value);
        let listed = self.by_id.iter().filter(|(_, m)| self.members[**m].phase != Phase::Left);
        let mut learned: Vec<ObservedState> = listed
            .map(|(id, &m)| {
                let known = &self.members[m];
                let (position, cold_since) = (finite(known.position), finite(known.cold_since));
                ObservedState { member: id.clone(), primary: known.role, position, cold_since }
            })
            .collect();
        learned.sort_by(|a, b| a.member.cmp(&b.member));
        learned
    }

    /// Takes over what another has learned, of members that are on this one's list. Newer first-hand knowledge of
    /// this one's own stays; that a member is cold is believed at once, since to be wrong there only spares it.
    pub fn adopt_observed_state(&mut self, now: f64, learned: &[ObservedState], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for other in learned {
            let Some(&m) = self.by_id.get(&other.member) else { continue };
            let known = &mut self.members[m];
            if let Some((primary, at)) = other.primary {
                if known.role.is_none_or(|(_, own)| at > own) {
                    known.role = Some((primary, at));
                }
            }
            if let Some(position) = other.position.filter(|position| *position > known.position) {
                (known.position, known.position_at) =
                    (position, other.primary.map_or(position, |(_, at)| at));
            }
            known.cold_since = other.cold_since.map_or(known.cold_since, |at| known.cold_since.max(at));
        }
        let groups: Vec<u32> = self.groups.keys().copied().collect();
        groups.into_iter().for_each(|group| self.reconcile_primary(group, actions));
    }

    /// Any session may have written until now, through another process that this one does not hear of: what is known
    /// of single sessions says nothing any more.
    pub fn invalidate_session_writes(&mut self, now: f64) {
        self.sessions.clear();
        self.session_order.clear();
        self.forgotten = self.forgotten.max(now);
    }

    /// What each session wrote last, the one that was written longest ago first, and up to which position one that is
    /// not among them may have written.
    pub fn export_session_writes(&self) -> (Vec<(Arc<str>, f64)>, f64) {
        let last = |(session, commit): &&(Arc<str>, f64)| {
            self.sessions.get(session).is_some_and(|last| *last == *commit)
        };
        (self.session_order.iter().filter(last).cloned().collect(), self.forgotten)
    }

    /// Takes over what sessions wrote with another.
    pub fn import_session_writes(
        &mut self,
        sessions: impl IntoIterator<Item = (Arc<str>, f64)>,
        forgotten: f64,
    ) {
        self.forgotten = self.forgotten.max(forgotten);
        for (session, commit) in sessions {
            self.remember(session, commit);
        }
    }
}
