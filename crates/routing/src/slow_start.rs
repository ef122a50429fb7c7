//! Slow start: limits the load of a member that has just started (a cold member). Its capacity is at least
//! the share of its full capacity that the settings state; it fails if it is loaded far beyond that. Poolers
//! that exchange no state stay within the limit together by sampling: each request draws a number once, each
//! cold member gets the requests in a range of samples whose width is the part of the group's requests that
//! it can take by now.

use crate::state::{Policy, Request};

/// Width of a cold member's range at poolers of other zones, relative to that at poolers of its own zone.
const REMOTE_ZONE_SHARE: f64 = 0.5;

/// Part of the overload factor that may be used for a cold member's load. The rest is reserved for groups
/// with more requests than others, and for chance.
const COLD_LOAD_SHARE: f64 = 0.5;

/// Samples of ordinary requests, repeats included, are at most this; those of a client with very many exceed it.
const MAX_ORDINARY_SAMPLE: f64 = 2.0;

impl Policy {
    /// Load that a cold member may get, in multiples of its present capacity, if it were alone in its zone.
    pub(crate) fn cold_load_factor(&self) -> f64 {
        self.settings.overload_factor * COLD_LOAD_SHARE
    }

    /// Share of its capacity that a member has at least by now; 1 once it is warm.
    pub(crate) fn capacity_share(&self, m: usize) -> f64 {
        let s = &self.settings;
        let age = self.now - self.members[m].cold_since;
        if age >= s.warm_up {
            return 1.0;
        }
        s.cold_start_capacity + (1.0 - s.cold_start_capacity) * (age / s.warm_up).max(0.0)
    }

    /// Returns the range of samples whose reads a cold member may get, for a load of `multiple` times its
    /// present capacity. The replicas of a zone share its reads, so each gets at most all of them; poolers of
    /// zones without a replica of their own may send as many again.
    fn sample_range(&self, group: u32, m: usize, multiple: f64) -> (f64, f64) {
        let Some(state) = self.groups.get(&group) else { return (0.0, 0.0) };
        let home = |x: usize| self.members[x].zone == self.settings.zone;
        let part =
            |x: usize| multiple * self.capacity_share(x) * if home(x) { 1.0 } else { REMOTE_ZONE_SHARE };
        let cold_in_zone =
            |x: &usize| home(*x) == home(m) && self.usable(*x) && self.capacity_share(*x) < 1.0;
        let (mut before, mut total) = (0.0, 0.0);
        for x in state.members.iter().copied().filter(cold_in_zone) {
            before = if x == m { total } else { before };
            total += part(x);
        }
        // If the ranges together exceed all requests, they shrink in proportion.
        (before / total.max(1.0), (before + part(m)) / total.max(1.0))
    }

    /// Returns true if the member is warm, or may get this read although it is cold. Guards against
    /// overloading a member that has just started: hundreds of poolers with few requests each stay within its
    /// range together, even if other members of the group are away. A request is sent to it once, since
    /// turning it away is work too.
    pub(crate) fn cold_admits(&self, request: &Request, m: usize, multiple: f64) -> bool {
        if self.capacity_share(m) >= 1.0 {
            return self.warm_admits(request, m);
        }
        let (from, to) = self.sample_range(request.group, m, multiple);
        (from..to).contains(&request.sample) && !request.was_sent_to(m) && !request.was_withdrawn()
    }

    /// Returns true if a member that is warm may get this request. What arrives within an overload window that
    /// began while the member was cold still counts in full, so a client with very many requests waits for its end.
    fn warm_admits(&self, request: &Request, m: usize) -> bool {
        let settled_at = self.members[m].cold_since + self.settings.warm_up + self.settings.overload_window;
        request.sample <= MAX_ORDINARY_SAMPLE || self.now >= settled_at
    }

    /// Returns true if a read goes to a cold home replica before any warm one. The reads chosen this way are
    /// the replica's share of the capacity of all home replicas.
    pub(crate) fn cold_preferred(&self, request: &Request, m: usize) -> bool {
        let Some(state) = self.groups.get(&request.group) else { return false };
        if self.capacity_share(m) >= 1.0 || request.was_sent_to(m) || request.was_withdrawn() {
            return false;
        }
        let home_replica = |x: &usize| {
            let home = self.members[*x].zone == self.settings.zone && Some(*x) != state.primary;
            home && self.usable(*x) && !self.members[*x].ejected
        };
        let total: f64 =
            state.members.iter().copied().filter(home_replica).map(|x| self.capacity_share(x)).sum();
        let (from, to) = self.sample_range(request.group, m, self.cold_load_factor());
        let fair_share = self.capacity_share(m) / total.max(f64::MIN_POSITIVE);
        (from..to.min(from + fair_share)).contains(&request.sample)
    }

    /// Returns true if a primary may get this write although it is cold: no other member can take it.
    pub(crate) fn cold_admits_write(&self, request: &Request, m: usize, multiple: f64) -> bool {
        let capacity_share = self.capacity_share(m);
        capacity_share >= 1.0 && self.warm_admits(request, m)
            || request.sample < multiple * capacity_share && !request.was_sent_to(m)
    }
}
