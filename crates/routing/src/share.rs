//! Which requests are beyond their tenant's share. The quota is told for all proxies together, and none knows what the
//! others get: where sessions come unevenly, a fifth of the proxies may get half of all requests, and the even part of
//! the quota says nothing of them.

use crate::state::Policy;

/// Multiple of its part of this proxy's own requests that a tenant may have: their mix varies by chance.
const MIX: f64 = 1.1;

impl Policy {
    /// A request of a tenant has come: whether it is beyond the tenant's share, which is this proxy's even part of the
    /// quota, and at a proxy that gets more than others the quota's part of what it gets. A tenant that is not known
    /// has no share to exceed.
    pub(crate) fn over_share(&mut self, tenant: usize) -> bool {
        self.demand.take(self.now);
        let (own, uneven) = (self.demand.rate(self.now), self.unseen());
        let quotas = &self.settings.tenant_quota;
        let (Some(share), Some(&quota)) = (self.tenants.get_mut(tenant), quotas.get(tenant)) else {
            return false;
        };
        let even = quota / f64::from(self.settings.fleet_size);
        let all: f64 = quotas.iter().sum();
        let part = if all.is_finite() && all > 0.0 { own * MIX * quota / all } else { 0.0 };
        // Few proxies get about the same each: what all of them get beyond the quota is beyond it.
        !share.take(self.now, part.clamp(even, even * uneven))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Class, Settings};

    /// How many of 500 requests, 50 a second, are taken to be beyond their tenants' shares at one of so many proxies, of
    /// which each may have 10 a second of the quota; two tenants that are entitled alike.
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

    /// A proxy that got a fifth of all requests took nearly all of them for more than their tenants' shares.
    #[test]
    fn a_busy_proxy_of_many_goes_by_the_mix_of_what_it_gets() {
        let alike = beyond(100, |i| i % 2);
        assert!(alike < 50, "{alike}");
        let one = beyond(100, |i| usize::from(i % 6 == 0));
        assert!((100..350).contains(&one), "most of what the one asks beyond its half: {one}");
        assert!(beyond(4, |i| i % 2) > 350, "few get about the same each: all of them ask too much");
    }
}
