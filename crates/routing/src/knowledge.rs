//! What is known of how recent members' data are, and whom to ask about it. A member tells where it stands
//! with each answer; one that nobody sends to is asked by a probe, which costs it work and the site points.

use crate::interface::{Action, WhenBehind};
use crate::policy::EJECT_MOST;
use crate::state::Policy;

/// Probes allowed for each request ...
const PROBE_SHARE: f64 = 0.3;
/// ... and saved up at most.
pub(crate) const PROBE_MOST: f64 = 20.0;
/// Share of the shortest staleness bound after which what was heard of a member's position is asked for anew:
/// early enough for the answer to come before what is known has grown too old to use.
const STALE: f64 = 0.7;

impl Policy {
    /// A request has come: it pays for its part of a probe.
    pub(crate) fn earn_probes(&mut self) {
        self.probes = (self.probes + PROBE_SHARE).min(PROBE_MOST);
    }

    /// Asks those of a group's members whose position is not known well enough: all of them while its primary
    /// is sought; those at home while there are requests for the group; and the others as well while reads find
    /// nobody who could take them. Each probe draws on an allowance that requests earn: guards against
    /// storms, since every proxy seeks at the same moment.
    pub(crate) fn ask_about(&mut self, group: u32, seeking: bool, out: &mut Vec<Action>) {
        let Some(state) = self.groups.get(&group) else { return };
        let wanted = self.now - state.wanted_at < self.settings.connect_timeout * EJECT_MOST;
        let short = self.now - state.short_at < self.bound;
        // Where members check reads, a read on hope asks at less cost.
        let checked = self.settings.when_behind != WhenBehind::Silent;
        for m in state.members.clone() {
            let member = &self.members[m];
            let unheard = !checked && wanted && member.position == f64::NEG_INFINITY;
            let near = member.zone == self.settings.zone || short && !checked;
            let stale = wanted && near && self.now - member.position_at > self.bound * STALE;
            let stale = (stale || unheard) && self.now - member.probed_at > self.bound;
            if self.probes >= 1.0 && self.usable(m) && !member.probing && (seeking || stale) {
                self.probes -= 1.0;
                (self.members[m].probing, self.members[m].probed_at) = (true, self.now);
                out.push(Action::Probe { member: self.members[m].id.clone() });
            }
        }
    }

    /// Reads of a group find nobody who could take them: those of its members not known to be fresh are asked.
    /// Whether an answer of one is still to come.
    pub(crate) fn asks_for(&mut self, group: u32, out: &mut Vec<Action>) -> bool {
        if !self.settings.probes {
            return false;
        }
        if let Some(state) = self.groups.get_mut(&group) {
            state.short_at = self.now;
        }
        self.ask_about(group, false, out);
        let Some(state) = self.groups.get(&group) else { return false };
        state.members.iter().any(|&m| self.members[m].probing && !self.members[m].ejected)
    }
}
