//! What other instances say of members, where they talk: the one way by which it comes into the decisions. The rule: it may
//! make a decision stricter at once, and laxer only within its age and only where to be wrong costs a miss or a detour,
//! never a stale read or a write sent on their word alone.

use crate::demand::faded;
use crate::interface::{Action, Conclusion, MemberId};
use crate::observed_state::ObservedState;
use crate::state::{Policy, ReportedState};
use crate::thresholds::EJECT_AT;

/// Other observers that must have found out by themselves that a member does not answer before one that has seen
/// nothing of it believes them.
const OBSERVERS: u32 = 2;
/// Half-life of what others have in flight (seconds): it is told a few times a second.
const HALF_LIFE: f64 = 0.5;
/// How long a report holds without being renewed (seconds).
const LIFE: f64 = 3.0;

/// What others say of a member, together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerReport {
    /// The member.
    pub member: MemberId,
    /// Whether any list tells it to take nothing new.
    pub drained: bool,
    /// Requests of others there.
    pub in_flight: f64,
    /// Others that have found out by themselves that it does not answer.
    pub suspected_by: u32,
    /// Since when it has been cold (seconds, as the policy is told the time).
    pub cold_since: Option<f64>,
    /// Whether it alone is said to be the primary of its group.
    pub primary: bool,
}

/// A member as this instance has found it out by itself, to be told to others.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// What is known of it first-hand.
    pub observed: ObservedState,
    /// Its start (seconds); 0 for long ago.
    pub started_at: f64,
    /// Its group.
    pub group: u32,
    /// When its position was heard (seconds).
    pub position_at: f64,
    /// Own requests there.
    pub in_flight: u32,
    /// Whether it does not answer this instance.
    pub suspected: bool,
    /// How many times as long as elsewhere it takes.
    pub slowness: f64,
}

impl Policy {
    /// Takes in what others say. A member of which nothing is said keeps nothing of what was.
    pub fn apply_peer_reports(
        &mut self,
        now: f64,
        heard: &[PeerReport],
        instances: u32,
        out: &mut Vec<Action>,
    ) {
        self.now = self.now.max(now);
        // More instances than the settings know of share what a cold member can do; fewer are not believed.
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
        for word in heard {
            let Some(&m) = self.by_id.get(&word.member) else { continue };
            let (now, unit) = (self.now, self.settings.connect_timeout);
            let member = &mut self.members[m];
            let PeerReport { drained: told, in_flight, suspected_by, primary, .. } = *word;
            if told != drained.contains(&m) {
                groups.push(member.group);
            }
            member.reported = ReportedState {
                drained: told,
                primary,
                in_flight,
                at: now,
                ejected: member.reported.ejected,
            };
            // To be wrong only spares it.
            member.cold_since = word.cold_since.map_or(member.cold_since, |at| member.cold_since.max(at));
            // Whoever hears the member himself goes by that.
            let unheard = now - member.heard > unit;
            if suspected_by >= OBSERVERS && unheard && !member.ejected {
                member.reported.ejected = true;
                self.suspect(m, EJECT_AT, out);
            }
        }
        self.withhold(out);
        groups.extend(drained.into_iter().map(|m| self.members[m].group));
        groups.sort_unstable();
        groups.dedup();
        groups.into_iter().for_each(|group| self.reconcile_primary(group, out));
    }

    /// Members as this instance has found them out.
    pub fn observations(&self) -> Vec<Observation> {
        let learned = self.observed_state().into_iter();
        let found = learned.filter_map(|learned| {
            let member = &self.members[*self.by_id.get(&learned.member)?];
            Some(Observation {
                started_at: member.started_at,
                group: member.group,
                position_at: member.position_at,
                in_flight: member.in_flight,
                suspected: member.ejected && !member.reported.ejected,
                slowness: member.pace.ratio(self.now, self.half_life()),
                observed: learned,
            })
        });
        found.collect()
    }

    /// Whether a member is known first-hand to have come so far: its answer needs no second look.
    pub fn has_reached(&self, member: &MemberId, position: f64) -> bool {
        self.by_id.get(member).is_some_and(|&m| {
            let primary = self.groups.get(&self.members[m].group).and_then(|group| group.primary);
            primary == Some(m) || self.members[m].position >= position
        })
    }

    /// What is concluded from an answer that may have seen less than `needed`: one of a replica that tells an older position,
    /// or none, is too old. It began `elapsed` seconds ago, when the replica's data may have been as much older.
    pub fn assess_freshness(
        primary: Option<bool>,
        position: Option<f64>,
        needed: f64,
        elapsed: f64,
    ) -> Conclusion {
        let reaches = position.is_some_and(|position| position - elapsed >= needed);
        if primary == Some(true) || reaches {
            Conclusion::AsReceived
        } else {
            Conclusion::TooOld
        }
    }

    /// Requests at a member, those of other instances included as far as they tell.
    pub(crate) fn load_of_all(&self, m: usize) -> u32 {
        let said = &self.members[m].reported;
        let age = self.now - said.at;
        let others = if age < LIFE { said.in_flight * faded(age, HALF_LIFE) } else { 0.0 };
        self.load(m) + others.round() as u32
    }
}
