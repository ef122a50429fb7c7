//! Load of a member as one pooler of a fleet can estimate it: from its own requests there and from their
//! latency.

use crate::state::{Policy, Request};
use crate::thresholds::FLEET_MIN_IN_FLIGHT;

/// Half-life of observations of health and latency, in multiples of the connect timeout: a slow member may
/// recover soon.
const HALF_LIFE_FACTOR: f64 = 8.0;
/// A read is diverted to a replica whose relative latency is lower by this factor ...
const SLOW_REPLICA_FACTOR: f64 = 2.0;
/// ... if the expected latency exceeds this share of its time: of exponentially distributed times 5 % exceed
/// three means.
const SLOW_AIM_SHARE: f64 = 1.0 / 3.0;

impl Policy {
    /// Half-life of observations of a member's health and latency (seconds).
    pub(crate) fn half_life(&self) -> f64 {
        self.settings.connect_timeout * HALF_LIFE_FACTOR
    }

    /// Returns the member's latency relative to that of other members.
    pub(crate) fn slowness(&self, m: usize) -> f64 {
        self.members[m].relative_latency.ratio(self.now, self.half_life())
    }

    /// Records that a request of a class took `elapsed` seconds or, if it was abandoned before its member
    /// `ended` it, longer: an abandoned attempt counts only if it makes the member slower.
    pub(crate) fn record_latency(&mut self, m: usize, class: usize, elapsed: f64, ended: bool) {
        let ratio = elapsed / self.latency[class].mean;
        if ended || ratio > self.slowness(m) {
            let half_life = self.half_life();
            self.members[m].relative_latency.record(self.now, half_life, ratio);
        }
    }

    /// Returns true if the member is too slow to be likely to answer the request within its aim. Own requests
    /// in flight are not considered: `leaves_zone` handles these, as docs/design.md requires.
    pub(crate) fn too_slow_for(&self, request: &Request, m: usize) -> bool {
        let limit = (request.aim_at - self.now).max(0.0) * SLOW_AIM_SHARE;
        self.latency[request.class].mean * self.slowness(m) > limit
    }

    /// Returns true if a read goes to `other`, which is more than twice as fast, since `choice` is too slow
    /// for it.
    pub(crate) fn should_divert(&self, request: &Request, choice: usize, other: usize) -> bool {
        let (here, there) = (self.slowness(choice), self.slowness(other).max(1.0));
        here > SLOW_REPLICA_FACTOR * there && self.too_slow_for(request, choice)
    }

    /// Own requests at a member, including abandoned ones that may still run there.
    pub(crate) fn load(&self, m: usize) -> u32 {
        let member = &self.members[m];
        member.in_flight + member.abandoned_until.iter().filter(|until| **until > self.now).count() as u32
    }

    /// Returns the ratio of the fleet's requests at a member to those that this pooler can observe: 1 for up
    /// to FLEET_MIN_IN_FLIGHT poolers; at a hundred poolers each observes hardly one of the requests.
    pub(crate) fn unobserved_factor(&self) -> f64 {
        (f64::from(self.settings.fleet_size) / FLEET_MIN_IN_FLIGHT).max(1.0)
    }

    /// Returns the expected latency of one more request at a member, from the recent latency and the load.
    pub(crate) fn expected_latency(&self, m: usize, class: usize) -> f64 {
        let member = &self.members[m];
        // This pooler observes only its own part of the load: in a large fleet one request more or less
        // hardly changes the estimate of the total.
        let unobserved_factor = self.unobserved_factor();
        let load_factor =
            (f64::from(self.load(m)) + unobserved_factor) / (member.mean_load + unobserved_factor);
        self.latency[class].mean * self.slowness(m).max(0.5) * load_factor.max(1.0)
    }
}
