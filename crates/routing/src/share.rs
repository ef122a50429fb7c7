//! Which requests are beyond their tenant's share. The quota is told for all proxies together, and none knows what the
//! others get: where sessions come unevenly, a fifth of the proxies may get half of all requests, and the even part of
//! the quota says nothing of them.

use crate::state::Policy;

/// Half-life of what is known of the rate of requests (seconds).
const HALF_LIFE: f64 = 2.0;
/// Requests that a tenant may save up at least: at many proxies a second's part of its share is under one.
const LEAST: f64 = 2.0;
/// Multiple of its part of this proxy's own requests that a tenant may have: their mix varies by chance.
const MIX: f64 = 1.1;

/// The rate of requests that a proxy gets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Demand {
    /// Requests, those of long ago faded.
    count: f64,
    at: f64,
    /// When the first came.
    begun: Option<f64>,
}

impl Demand {
    /// A request has come.
    fn take(&mut self, now: f64) {
        let begun = self.begun.unwrap_or(now);
        *self = Demand { count: self.count * faded(now - self.at) + 1.0, at: now, begun: Some(begun) };
    }

    /// How many come in a second by now.
    pub fn rate(&self, now: f64) -> f64 {
        // A proxy that has just started has counted for a short time only.
        let counted = 1.0 - faded((now - self.begun.unwrap_or(now)).max(HALF_LIFE / 4.0));
        self.count * faded(now - self.at) * std::f64::consts::LN_2 / HALF_LIFE / counted
    }
}

/// What is left after a time (seconds) of what counted as 1.
fn faded(time: f64) -> f64 {
    0.5f64.powf(time.max(0.0) / HALF_LIFE)
}

/// What a tenant has saved up of its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Share {
    /// Requests.
    saved: f64,
    at: f64,
}

impl Share {
    /// That of a tenant which is new now.
    pub fn new(now: f64) -> Share {
        Share { saved: LEAST, at: now }
    }

    /// Takes one request out of a share of so many a second; whether it was there.
    fn take(&mut self, now: f64, rate: f64) -> bool {
        let earned = (now - self.at).max(0.0) * rate;
        let saved = (self.saved + earned).min(rate.max(LEAST));
        *self = Share { saved: (saved - 1.0).max(0.0), at: now };
        saved >= 1.0
    }
}

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
