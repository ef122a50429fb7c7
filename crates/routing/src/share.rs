//! Requests beyond their tenant's share. A quota applies to all poolers together, and none knows what the
//! others get. If sessions are spread unevenly, a fifth of the poolers may get half of all requests, so that
//! an equal part of the quota is no measure there.

use crate::state::Policy;

/// Multiple of its part of this pooler's requests that a tenant may have: the mix of tenants varies by
/// chance.
const TENANT_MIX_FACTOR: f64 = 1.1;

impl Policy {
    /// Records a request of a tenant. Returns true if it is beyond the tenant's share: this pooler's equal
    /// part of the quota or, if the pooler gets more requests than others, the same part of its requests as
    /// the quota is of all quotas. An unknown tenant has no limit.
    pub(crate) fn over_share(&mut self, tenant: usize) -> bool {
        self.demand.record(self.now);
        let (rate, unobserved) = (self.demand.rate(self.now), self.unobserved_factor());
        let quotas = &self.settings.tenant_quota;
        let (Some(share), Some(&quota)) = (self.tenant_shares.get_mut(tenant), quotas.get(tenant)) else {
            return false;
        };
        let equal_part = quota / f64::from(self.settings.fleet_size);
        let total: f64 = quotas.iter().sum();
        let mix_part =
            if total.is_finite() && total > 0.0 { rate * TENANT_MIX_FACTOR * quota / total } else { 0.0 };
        // In a small fleet poolers get about equal parts, so there the equal part of the quota is the limit.
        !share.try_take(self.now, mix_part.clamp(equal_part, equal_part * unobserved))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Class, Settings};

    /// Number of requests, of 500 at 50 per second, that are beyond their tenants' shares at one pooler of a
    /// fleet. Each of two tenants has a quota of 5 requests per second and pooler (10 together).
    fn beyond(fleet_size: u32, tenant: fn(usize) -> usize) -> usize {
        let quota = 5.0 * f64::from(fleet_size);
        let tenant_quota = vec![quota; 2];
        let settings =
            Settings { tenant_quota, fleet_size, classes: vec![Class::default()], ..Settings::default() };
        let mut policy = Policy::new(settings, 1).unwrap();
        let beyond = (0..500).filter(|i| {
            policy.now = 100.0 + 0.02 * *i as f64;
            policy.over_share(tenant(*i))
        });
        beyond.count()
    }

    /// A pooler that got a fifth of all requests classified nearly all of them as beyond their tenants'
    /// shares.
    #[test]
    fn a_busy_pooler_of_a_large_fleet_measures_shares_by_its_own_mix() {
        let equal = beyond(100, |i| i % 2);
        assert!(equal < 50, "{equal}");
        let one = beyond(100, |i| usize::from(i % 6 == 0));
        assert!((100..350).contains(&one), "the tenant's requests beyond its half: {one}");
        assert!(beyond(4, |i| i % 2) > 350, "at few poolers both tenants exceed their equal parts");
    }
}
