//! How observers see members: evidence that is sent periodically and never acknowledged, loses weight with
//! age and is removed with its observer.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::merge::{Join, Observed};

/// How long an observer's report is used (seconds).
pub const VIEW_TTL: f64 = 3.0;
/// Half-life of the reported requests in flight (seconds).
const HALF_LIFE: f64 = 0.5;
/// Maximum number of members for which an observer's reports are stored.
pub const MAX_MEMBERS: usize = 10_000;
/// Maximum number of tenants for which an observer's reports are stored.
pub const MAX_TENANTS: usize = 256;

/// A member as one observer sees it. Contains ages instead of times, since clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The member.
    pub member: Arc<str>,
    /// Start of the member that the view is about.
    pub since: f64,
    /// Position that the member reported to the observer, and its age (seconds).
    pub position: Option<(f64, f32)>,
    /// Whether the member reported to be the primary, and the age of that report (seconds).
    pub primary: Option<(bool, f32)>,
    /// The observer's requests in flight to the member.
    pub in_flight: u16,
    /// Whether the observer itself found that the member does not answer.
    pub suspected: bool,
    /// Response time as a multiple of the other members'.
    pub slowness: f32,
    /// Time since the member started cold (seconds), while that still matters.
    pub cold: Option<f32>,
}

/// Usage by a tenant at one observer: name and requests per second.
pub type TenantUsage = (Arc<str>, f32);

/// What all observers together report about a member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AggregatedView {
    /// Start of the member that the reports are about.
    pub since: f64,
    /// Requests in flight from other instances, discounted by age.
    pub in_flight: f64,
    /// Number of other instances that found by themselves that the member does not answer.
    pub suspected_by: u32,
    /// Number of other instances that reported on the member within [`VIEW_TTL`].
    pub seen_by: u32,
    /// The highest position that an observer reported, and the maximum age of it (seconds).
    pub position: Option<(f64, f64)>,
    /// The latest reported start from cold, on the caller's clock.
    pub cold_since: Option<f64>,
}

/// Reports of an observer by subject, with the time of arrival.
type Reports<T> = HashMap<Arc<str>, (f64, Observed<T>)>;

/// The reports of all observers.
#[derive(Debug, Default)]
pub struct Views {
    /// Views by observer.
    views: BTreeMap<Arc<str>, Reports<View>>,
    usage: BTreeMap<Arc<str>, Reports<f32>>,
}

impl Views {
    /// Records an observer's views of a round.
    pub fn record(&mut self, now: f64, observer: &Arc<str>, start: u64, round: u64, views: Vec<View>) {
        let reports = self.views.entry(observer.clone()).or_default();
        for view in views {
            let report = Observed { start, round, value: view };
            let member = report.value.member.clone();
            if reports.len() >= MAX_MEMBERS && !reports.contains_key(&member) {
                continue;
            }
            let known = reports.entry(member).or_insert_with(|| (now, report.clone()));
            let before = known.1.clone();
            known.1.join(&report);
            if known.1 != before {
                known.0 = now;
            }
        }
    }

    /// Records the usage by tenants that an observer reported in a round.
    pub fn record_usage(
        &mut self,
        now: f64,
        observer: &Arc<str>,
        start: u64,
        round: u64,
        usage: Vec<TenantUsage>,
    ) {
        let reports = self.usage.entry(observer.clone()).or_default();
        for (tenant, rate) in usage {
            if reports.len() >= MAX_TENANTS && !reports.contains_key(&tenant) {
                continue;
            }
            let report = Observed { start, round, value: rate };
            let known = reports.entry(tenant).or_insert_with(|| (now, report.clone()));
            if (report.start, report.round) > (known.1.start, known.1.round) {
                *known = (now, report);
            }
        }
    }

    /// Removes the reports of an instance that has ended.
    pub fn remove_observer(&mut self, observer: &str) {
        self.views.remove(observer);
        self.usage.remove(observer);
    }

    /// Removes reports that are too old to be used.
    pub fn expire(&mut self, now: f64) {
        for reports in self.views.values_mut() {
            reports.retain(|_, (received_at, _)| now - *received_at < VIEW_TTL);
        }
        for reports in self.usage.values_mut() {
            reports.retain(|_, (received_at, _)| now - *received_at < VIEW_TTL);
        }
        self.views.retain(|_, reports| !reports.is_empty());
        self.usage.retain(|_, reports| !reports.is_empty());
    }

    /// Returns what all observers together report about each member.
    pub fn aggregated_views(&self, now: f64) -> BTreeMap<Arc<str>, AggregatedView> {
        let mut all: BTreeMap<Arc<str>, AggregatedView> = BTreeMap::new();
        for reports in self.views.values() {
            for (member, (received_at, Observed { value: report, .. })) in reports {
                let age = now - received_at;
                if age >= VIEW_TTL {
                    continue;
                }
                let known = all.entry(member.clone()).or_default();
                if report.since > known.since {
                    // A later start of the member: reports about earlier starts are dropped.
                    *known = AggregatedView { since: report.since, ..AggregatedView::default() };
                } else if report.since < known.since {
                    continue;
                }
                known.in_flight += f64::from(report.in_flight) * 0.5f64.powf(age / HALF_LIFE);
                known.seen_by += 1;
                known.suspected_by += u32::from(report.suspected);
                if let Some((position, position_age)) = report.position {
                    let position_age = f64::from(position_age) + age;
                    if known.position.is_none_or(|(best, _)| position > best) {
                        known.position = Some((position, position_age));
                    }
                }
                if let Some(cold_age) = report.cold {
                    let since = received_at - f64::from(cold_age);
                    known.cold_since = Some(known.cold_since.map_or(since, |known| known.max(since)));
                }
            }
        }
        all
    }

    /// Returns the usage of each tenant at all observers together (requests per second).
    pub fn tenant_usage(&self, now: f64) -> BTreeMap<Arc<str>, f64> {
        let mut all = BTreeMap::new();
        for reports in self.usage.values() {
            for (tenant, (received_at, report)) in reports {
                if now - received_at < VIEW_TTL {
                    *all.entry(tenant.clone()).or_insert(0.0) += f64::from(report.value);
                }
            }
        }
        all
    }

    /// Returns each observer's view of a member, with its age (seconds).
    pub fn for_member(&self, now: f64, member: &str) -> Vec<(Arc<str>, f64, View)> {
        let entry = |(observer, reports): (&Arc<str>, &Reports<View>)| {
            reports
                .get(member)
                .map(|(received_at, entry)| (observer.clone(), now - received_at, entry.value.clone()))
        };
        self.views.iter().filter_map(entry).collect()
    }
}
