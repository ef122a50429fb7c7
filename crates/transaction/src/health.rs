//! Compares the health of each class in each group after a change with the time before it. The statistical
//! tests are chosen so that neither a few requests nor a rise of load raises an alarm.
//!
//! Shares of refused and failed requests are compared by Fisher's exact test (by its normal approximation for
//! large numbers of requests), latencies by the Mann-Whitney rank test over buckets. The probability of a
//! false alarm is divided among all comparisons of a probation (Bonferroni correction). A significant but
//! small difference does not count. If a group gets more requests than before and serves as many as before,
//! the difference is attributed to load.

use std::collections::HashMap;

use statrs::distribution::{ContinuousCDF, DiscreteCDF, Hypergeometric, Normal};

/// Maximum number of pairs of class and group that are counted separately; requests of further pairs are not
/// counted.
pub const MAX_CELLS: usize = 2_048;
/// Number of slices of the time before a change; the oldest is dropped when a new one begins.
const SLICES: usize = 4;
/// Length of a period of recent traffic (seconds). The check uses recent traffic: a group with occasional
/// writes must not count as one without writes.
const TRAFFIC_PERIOD: f64 = 300.0;
/// Number of latency buckets.
const BUCKETS: usize = 24;
/// Upper bound of the first bucket (seconds).
const FIRST_BUCKET_LIMIT: f64 = 0.000_25;
/// Ratio of the upper bounds of two adjacent buckets.
const BUCKET_FACTOR: f64 = 1.5;
/// Number of requests, of both periods together, up to which the exact test is used.
const MAX_EXACT_REQUESTS: u64 = 1_000;
/// Minimum ratio of request rates that counts as a rise of load, if the rise is significant.
const LOAD_RISE_RATIO: f64 = 1.15;
/// Maximum ratio of served rates that counts as a fall, if the fall is significant.
const SERVED_FALL_RATIO: f64 = 0.9;
/// Number of standard deviations from which on a change of a rate is significant.
const SIGNIFICANT_DEVIATIONS: f64 = 3.0;
/// Minimum probability that a latency after the change is above one before it, for an alarm.
const MIN_SLOWER_PROBABILITY: f64 = 0.65;
/// Minimum distance of the medians for an alarm (buckets): 2 buckets are a factor of 2.25.
const MIN_SLOWER_BUCKETS: usize = 2;
/// Median latency (seconds) up to which no alarm is raised: below it the host's own effects are as large,
/// since a host answers an idle caller more slowly than a busy one.
const NEGLIGIBLE_LATENCY: f64 = 0.002;

/// Outcome of a request that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    /// Refused.
    Refused,
    /// Failed.
    Failed,
}

#[derive(Clone, Default)]
struct Counts {
    served: u64,
    refused: u64,
    failed: u64,
    /// Requests that their clients did not mark as repeats: the load without the repeats that refusals cause.
    first_requests: u64,
    latency: [u32; BUCKETS],
}

impl Counts {
    fn total(&self) -> u64 {
        self.served + self.refused + self.failed
    }

    fn add(&mut self, other: &Counts) {
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.first_requests += other.first_requests;
        self.latency.iter_mut().zip(other.latency).for_each(|(sum, count)| *sum += count);
    }

    /// Bucket of the median latency.
    fn median(&self) -> usize {
        let half = self.latency.iter().map(|count| u64::from(*count)).sum::<u64>().div_ceil(2);
        let mut sum = 0;
        let reached = |count: &u32| {
            sum += u64::from(*count);
            sum >= half
        };
        self.latency.iter().position(reached).unwrap_or(0)
    }
}

/// Counts per cell: a pair of class and group.
type Cells = HashMap<(u16, u32), Counts>;

/// Thresholds of a probation.
#[derive(Clone, Copy, Debug)]
pub struct HealthRules {
    /// Probability of a false alarm over all comparisons of a probation.
    pub significance: f64,
    /// Minimum increase of the share of refused or failed requests.
    pub min_increase: f64,
    /// Minimum number of requests in each of the two periods.
    pub min_requests: u64,
    /// Number of comparisons during a probation.
    pub checks: u32,
}

/// Result of a comparison.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing is significantly worse.
    Fine,
    /// Something is significantly worse, and load does not explain it.
    Worse(Regression),
}

/// A significant regression.
#[derive(Clone, Debug, PartialEq)]
pub struct Regression {
    /// Class, by the number that was passed to [`Health::record`].
    pub class: u16,
    /// Group.
    pub group: u32,
    /// The measure that is worse: `refused`, `failed` or `latency`.
    pub measure: &'static str,
    /// Value before the change: a share, or for latency the median (seconds).
    pub before: f64,
    /// Value since the change.
    pub after: f64,
    /// Numbers of requests compared, before the change and since.
    pub requests: (u64, u64),
    /// Probability of such a difference if nothing had changed.
    pub chance: f64,
}

impl Regression {
    /// Describes the regression, with the name of its class.
    pub fn describe(&self, class: &str) -> String {
        let Regression { group, measure, before, after, requests: (old, new), chance, .. } = self;
        let unit = if *measure == "latency" { " s" } else { "" };
        format!(
            "{measure} of class {class} in group {group} went from {before:.4}{unit} to {after:.4}{unit} \
             ({old} requests before, {new} since, p = {chance:.1e})"
        )
    }
}

/// Counts the outcomes of requests, before a change and since one.
pub struct Health {
    slice_length: f64,
    started_at: f64,
    /// Slices with the time at which each began, the newest last.
    slices: Vec<(f64, Cells)>,
    baseline: Option<Baseline>,
    /// Recent traffic of the current period and of the previous one, whether or not a change is watched.
    recent: [HashMap<(u16, u32), u64>; 2],
    recent_from: f64,
}

struct Baseline {
    cells: Cells,
    length: f64,
    change_at: f64,
}

impl Health {
    /// Starts counting at `now`. A change is compared with the `lookback` seconds before it.
    pub fn new(now: f64, lookback: f64) -> Health {
        Health {
            slice_length: lookback / SLICES as f64,
            started_at: now,
            slices: vec![(now, Cells::new())],
            baseline: None,
            recent: Default::default(),
            recent_from: now,
        }
    }

    /// Records the end of a request: `failure` is `None` for a served one, `latency` is in seconds.
    pub fn record(
        &mut self,
        now: f64,
        class: u16,
        group: u32,
        repeat: bool,
        failure: Option<RequestFailure>,
        latency: f64,
    ) {
        if now >= self.recent_from + TRAFFIC_PERIOD {
            self.recent.swap(0, 1);
            self.recent[0].clear();
            self.recent_from = now;
        }
        if self.recent[0].len() < MAX_CELLS || self.recent[0].contains_key(&(class, group)) {
            *self.recent[0].entry((class, group)).or_insert(0) += 1;
        }
        // While a change is watched, everything since then is one slice.
        if self.baseline.is_none()
            && self.slices.last().is_none_or(|(from, _)| now >= from + self.slice_length)
        {
            if self.slices.len() > SLICES {
                self.slices.remove(0);
            }
            self.slices.push((now, Cells::new()));
        }
        let Some((_, cells)) = self.slices.last_mut() else { return };
        if cells.len() >= MAX_CELLS && !cells.contains_key(&(class, group)) {
            return;
        }
        let counts = cells.entry((class, group)).or_default();
        counts.first_requests += u64::from(!repeat);
        match failure {
            Some(RequestFailure::Refused) => counts.refused += 1,
            Some(RequestFailure::Failed) => counts.failed += 1,
            None => {
                counts.served += 1;
                counts.latency[bucket(latency)] += 1;
            }
        }
    }

    /// Starts the comparison for a change in force from `now` on: the counts so far become the baseline.
    pub fn begin_comparison(&mut self, now: f64) {
        let from = self.slices.first().map_or(self.started_at, |(from, _)| *from);
        let mut cells = Cells::new();
        for (_, slice) in self.slices.drain(..) {
            for (cell, counts) in slice {
                cells.entry(cell).or_default().add(&counts);
            }
        }
        self.baseline = Some(Baseline { cells, length: now - from, change_at: now });
        self.slices.push((now, Cells::new()));
    }

    /// Ends the comparison. The counts since the change are the start of the next baseline.
    pub fn end_comparison(&mut self) {
        self.baseline = None;
    }

    /// Requests of the last five to ten minutes, by class and group; a pair may be returned twice.
    pub fn traffic(&self) -> impl Iterator<Item = ((u16, u32), u64)> + '_ {
        self.recent.iter().flatten().map(|(cell, count)| (*cell, *count))
    }

    /// Compares the counts since the change with the baseline.
    pub fn judge(&self, now: f64, rules: &HealthRules) -> Verdict {
        let (Some(before), Some((_, after))) = (&self.baseline, self.slices.last()) else {
            return Verdict::Fine;
        };
        let lengths = (before.length.max(1e-3), (now - before.change_at).max(1e-3));
        let has_enough = |(cell, new): &(&(u16, u32), &Counts)| {
            let old = before.cells.get(*cell).map_or(0, Counts::total);
            old >= rules.min_requests && new.total() >= rules.min_requests
        };
        let compared: Vec<_> = after.iter().filter(has_enough).collect();
        let p_limit =
            rules.significance / (3.0 * compared.len().max(1) as f64 * f64::from(rules.checks.max(1)));
        let mut worst: Option<Regression> = None;
        for (&(class, group), new) in &compared {
            let Some(old) = before.cells.get(&(class, group)) else { continue };
            for (measure, was, is) in
                [("refused", old.refused, new.refused), ("failed", old.failed, new.failed)]
            {
                let shares = (was as f64 / old.total() as f64, is as f64 / new.total() as f64);
                if shares.1 - shares.0 < rules.min_increase {
                    continue;
                }
                let chance = increase_p_value(was, old.total(), is, new.total());
                if chance >= p_limit
                    || self.is_explained_by_load(before, after, (class, group), lengths, p_limit)
                {
                    continue;
                }
                let requests = (old.total(), new.total());
                let regression =
                    Regression { class, group, measure, before: shares.0, after: shares.1, requests, chance };
                if worst.as_ref().is_none_or(|worst| regression.chance < worst.chance) {
                    worst = Some(regression);
                }
            }
            let (was, is) = (old.median(), new.median());
            if old.served >= rules.min_requests
                && new.served >= rules.min_requests
                && is >= was + MIN_SLOWER_BUCKETS
                && bucket_limit(is) > NEGLIGIBLE_LATENCY
            {
                let (probability_slower, chance) = latency_test(&old.latency, &new.latency);
                let load = |cells: &Cells| first_request_count(cells, group);
                let load_has_risen = has_risen(load(&before.cells), load(after), lengths);
                if probability_slower >= MIN_SLOWER_PROBABILITY
                    && chance < p_limit
                    && !load_has_risen
                    && worst.is_none()
                {
                    let (before, after) = (bucket_limit(was), bucket_limit(is));
                    let requests = (old.served, new.served);
                    let measure = "latency";
                    worst = Some(Regression { class, group, measure, before, after, requests, chance });
                }
            }
        }
        worst.map_or(Verdict::Fine, Verdict::Worse)
    }

    /// Returns true if load alone explains a regression: the request rate of the group has risen
    /// significantly, and either the cell is served as often as before, or the rest of the group is served as
    /// often as before and the cell is not significantly worse than the rest.
    fn is_explained_by_load(
        &self,
        before: &Baseline,
        after: &Cells,
        (class, group): (u16, u32),
        lengths: (f64, f64),
        p_limit: f64,
    ) -> bool {
        if !has_risen(first_request_count(&before.cells, group), first_request_count(after, group), lengths) {
            return false;
        }
        let (old, new) = (&before.cells[&(class, group)], &after[&(class, group)]);
        if !has_fallen(old.served, new.served, lengths) {
            return true;
        }
        let rest = |cells: &Cells| {
            let mut sum = Counts::default();
            let others = cells.iter().filter(|((c, g), _)| *g == group && *c != class);
            others.for_each(|(_, counts)| sum.add(counts));
            sum
        };
        let (rest_old, rest_new) = (rest(&before.cells), rest(after));
        let not_served = |counts: &Counts| counts.refused + counts.failed;
        let worse_than_rest =
            increase_p_value(not_served(&rest_new), rest_new.total().max(1), not_served(new), new.total())
                < p_limit;
        rest_new.total() > 0 && !has_fallen(rest_old.served, rest_new.served, lengths) && !worse_than_rest
    }
}

/// Returns the number of requests of a group, without repeats.
fn first_request_count(cells: &Cells, group: u32) -> u64 {
    cells.iter().filter(|((_, g), _)| *g == group).map(|(_, counts)| counts.first_requests).sum()
}

/// Returns the number of standard deviations by which `new` exceeds the share of the total count that its
/// period should have at a constant rate.
fn deviation(old: u64, new: u64, (before, after): (f64, f64)) -> f64 {
    let (total, share) = ((old + new) as f64, after / (before + after));
    (new as f64 - total * share) / (total * share * (1.0 - share)).sqrt().max(1e-9)
}

/// Returns true if a rate has risen significantly.
fn has_risen(old: u64, new: u64, lengths: (f64, f64)) -> bool {
    let ratio = (new as f64 / lengths.1) / (old as f64 / lengths.0).max(1e-9);
    ratio >= LOAD_RISE_RATIO && deviation(old, new, lengths) >= SIGNIFICANT_DEVIATIONS
}

/// Returns true if a rate has fallen significantly.
fn has_fallen(old: u64, new: u64, lengths: (f64, f64)) -> bool {
    let ratio = (new as f64 / lengths.1) / (old as f64 / lengths.0).max(1e-9);
    ratio <= SERVED_FALL_RATIO && deviation(old, new, lengths) <= -SIGNIFICANT_DEVIATIONS
}

/// Probability of at least `bad_new` bad requests among `new`, if the true share is that of both periods
/// together.
fn increase_p_value(bad_old: u64, old: u64, bad_new: u64, new: u64) -> f64 {
    let (total, bad) = (old + new, bad_old + bad_new);
    if bad_new == 0 || total == 0 {
        return 1.0;
    }
    if total <= MAX_EXACT_REQUESTS {
        return Hypergeometric::new(total, bad, new).map_or(1.0, |distribution| distribution.sf(bad_new - 1));
    }
    let share = bad as f64 / total as f64;
    let standard_error = (share * (1.0 - share) * (1.0 / old as f64 + 1.0 / new as f64)).sqrt();
    let z = (bad_new as f64 / new as f64 - bad_old as f64 / old as f64) / standard_error.max(1e-12);
    upper_tail(z)
}

/// Probability that a normal variable lies at least `z` standard deviations above its mean.
fn upper_tail(z: f64) -> f64 {
    Normal::new(0.0, 1.0).map_or(1.0, |normal| normal.sf(z))
}

/// Probability that a latency of `new` is above one of `old` (ties count half), and the p-value of the rank
/// test.
fn latency_test(old: &[u32; BUCKETS], new: &[u32; BUCKETS]) -> (f64, f64) {
    let total = |counts: &[u32; BUCKETS]| counts.iter().map(|count| f64::from(*count)).sum::<f64>();
    let (n, m) = (total(old), total(new));
    let (mut below, mut pairs_above, mut ties) = (0.0, 0.0, 0.0);
    for (old_count, new_count) in old.iter().zip(new) {
        let (old_count, new_count) = (f64::from(*old_count), f64::from(*new_count));
        pairs_above += new_count * (below + old_count / 2.0);
        below += old_count;
        ties += (old_count + new_count).powi(3) - (old_count + new_count);
    }
    let total = n + m;
    let standard_deviation =
        (n * m / 12.0 * (total + 1.0 - ties / (total * (total - 1.0)).max(1.0))).max(1e-9).sqrt();
    (pairs_above / (n * m).max(1.0), upper_tail((pairs_above - n * m / 2.0) / standard_deviation))
}

fn bucket(latency: f64) -> usize {
    if latency <= FIRST_BUCKET_LIMIT {
        return 0;
    }
    ((latency / FIRST_BUCKET_LIMIT).log(BUCKET_FACTOR).ceil() as usize).min(BUCKETS - 1)
}

/// Upper bound of a bucket (seconds).
fn bucket_limit(bucket: usize) -> f64 {
    FIRST_BUCKET_LIMIT * BUCKET_FACTOR.powi(bucket as i32)
}
