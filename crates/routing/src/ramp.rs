//! How much of the work a member that has just started may be given. Its capacity is a share of the full that is only
//! known to be no less than what the settings tell; pushed far over it, it falls over. Proxies that share
//! nothing keep to it together by lots: each request draws one, and each cold member has a part of all lots, as wide
//! as the part of its group's requests that it can take by now.

use crate::state::{Policy, Request};

/// Part of a cold member's lots that another zone's proxies have.
const ELSEWHERE: f64 = 0.5;

/// Part of the tipping multiple that what is sent to a cold member may use: the rest is for a group that is asked for
/// more than others, and for chance.
const OF_TIPPING: f64 = 0.5;

impl Policy {
    /// Work open to a cold member, in multiples of what it can do now, were it all that there is for its zone.
    pub(crate) fn cold_most(&self) -> f64 {
        self.settings.overload_factor * OF_TIPPING
    }

    /// Share of its capacity that a member has at the least by now; 1 once it is warm.
    pub(crate) fn warmth(&self, m: usize) -> f64 {
        let s = &self.settings;
        let age = self.now - self.members[m].cold_since;
        if age >= s.warm_up {
            return 1.0;
        }
        s.cold_start_capacity + (1.0 - s.cold_start_capacity) * (age / s.warm_up).max(0.0)
    }

    /// Where a cold member's lots begin and end, as a part of this proxy's reads of its group, in multiples of what it can
    /// do now. A zone's replicas share its reads, so that one of them takes no more than all of these by itself; another
    /// zone's proxies come to it where they have none, with as many reads again.
    fn lots(&self, group: u32, m: usize, multiple: f64) -> (f64, f64) {
        let Some(state) = self.groups.get(&group) else { return (0.0, 0.0) };
        let home = |x: usize| self.members[x].zone == self.settings.zone;
        let part = |x: usize| multiple * self.warmth(x) * if home(x) { 1.0 } else { ELSEWHERE };
        let alike = |x: &usize| home(*x) == home(m) && self.usable(*x) && self.warmth(*x) < 1.0;
        let (mut before, mut all) = (0.0, 0.0);
        for x in state.members.iter().copied().filter(alike) {
            before = if x == m { all } else { before };
            all += part(x);
        }
        // More than all there is: the parts shrink alike.
        (before / all.max(1.0), (before + part(m)) / all.max(1.0))
    }

    /// Whether a cold member may have this read. Guards against pushing over one that has just started: hundreds of
    /// proxies with a request now and then keep to its part of all lots together, whoever else of the group is away. It
    /// is sent there once: work turned away weighs as well.
    pub(crate) fn cold_room(&self, request: &Request, m: usize, multiple: f64) -> bool {
        if self.warmth(m) >= 1.0 {
            return true;
        }
        let (from, to) = self.lots(request.group, m, multiple);
        (from..to).contains(&request.lot) && !request.tried(m)
    }

    /// Whether a read that may go to a cold replica at home does so before any warm one: as many as are its fair part
    /// among the replicas there.
    pub(crate) fn cold_first(&self, request: &Request, m: usize) -> bool {
        let Some(state) = self.groups.get(&request.group) else { return false };
        if self.warmth(m) >= 1.0 || request.tried(m) {
            return false;
        }
        let beside = |x: &usize| {
            let home = self.members[*x].zone == self.settings.zone && Some(*x) != state.primary;
            home && self.usable(*x) && !self.members[*x].ejected
        };
        let all: f64 = state.members.iter().copied().filter(beside).map(|x| self.warmth(x)).sum();
        let (from, to) = self.lots(request.group, m, self.cold_most());
        let fair = self.warmth(m) / all.max(f64::MIN_POSITIVE);
        (from..to.min(from + fair)).contains(&request.lot)
    }

    /// Whether a cold primary may have this write: only it can take it.
    pub(crate) fn cold_write(&self, request: &Request, m: usize, multiple: f64) -> bool {
        let warmth = self.warmth(m);
        warmth >= 1.0 || request.lot < multiple * warmth && !request.tried(m)
    }
}
