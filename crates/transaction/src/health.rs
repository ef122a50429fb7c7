//! Whether health has worsened since a change: each class in each group is compared with what it was before,
//! by tests that neither a handful of requests nor a rise of load can set off.
//!
//! Shares of refused and failed requests are compared by Fisher's exact test (by its normal approximation where
//! many requests make that as good), latencies by Mann and Whitney's rank test over buckets, and the chance of a
//! false alarm is divided among all comparisons of a probation (Bonferroni). A difference that is sure but small
//! does not count. Where more is asked of a group than before, and as much is served as before, load explains it.

use std::collections::HashMap;

use statrs::distribution::{ContinuousCDF, DiscreteCDF, Hypergeometric, Normal};

/// Most pairs of a class and a group that are told apart; what comes beyond goes uncounted.
pub const MAX_CELLS: usize = 2_048;
/// Periods that the time before a change is made of; the oldest is forgotten as a new one begins.
const SLICES: usize = 4;
/// Length of a period of what is told as asked of late (seconds). The check looks at it: a group that writes
/// once in a while must not count as one that never does.
const LATELY: f64 = 300.0;
/// Buckets of latency: the first ends at this (seconds), each further one is so much wider.
const BUCKETS: usize = 24;
const FIRST: f64 = 0.000_25;
const WIDER: f64 = 1.5;
/// Requests of both periods together up to which the exact test is used.
const EXACT: u64 = 1_000;
/// A rise in what is asked counts as one from this ratio on, where it is surely none of chance.
const RISE: f64 = 1.15;
/// ... and a fall in what is served from this one on.
const FALL: f64 = 0.9;
/// Standard deviations that are taken for sure, for load.
const SURE: f64 = 3.0;
/// Chance that a latency after the change is above one before it, from which on it counts as slower ...
const SLOWER: f64 = 0.65;
/// ... where the medians are so many buckets apart as well (over twice as slow).
const SLOWER_BUCKETS: usize = 2;
/// ... and the later one is above this (seconds): what is shorter is as much the host's doing, which answers a
/// quiet caller more slowly than a busy one.
const NEGLIGIBLE: f64 = 0.002;

/// How a request ended for its client, where it was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    /// Refused.
    Refused,
    /// Failed.
    Failed,
}

#[derive(Clone, Default)]
struct Counts {
    good: u64,
    refused: u64,
    failed: u64,
    /// Those that their clients did not mark as repeats: what is asked, without what refusals bring back.
    first: u64,
    latency: [u32; BUCKETS],
}

impl Counts {
    fn all(&self) -> u64 {
        self.good + self.refused + self.failed
    }

    fn add(&mut self, other: &Counts) {
        self.good += other.good;
        self.refused += other.refused;
        self.failed += other.failed;
        self.first += other.first;
        self.latency.iter_mut().zip(other.latency).for_each(|(sum, count)| *sum += count);
    }

    /// The bucket in which the median lies.
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

type Cells = HashMap<(u16, u32), Counts>;

/// By what a probation is judged.
#[derive(Clone, Copy, Debug)]
pub struct HealthRules {
    /// Chance of a false alarm, over all comparisons of a probation.
    pub significance: f64,
    /// Least rise in a share of bad answers.
    pub min_increase: f64,
    /// Least requests in each period.
    pub min_requests: u64,
    /// Looks taken in a probation.
    pub checks: u32,
}

/// What became of a comparison.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing is surely worse.
    Fine,
    /// Something is, and load does not explain it.
    Worse(Regression),
}

/// What was found worse.
#[derive(Clone, Debug, PartialEq)]
pub struct Regression {
    /// The class, by the number it was noted under.
    pub class: u16,
    /// The group.
    pub group: u32,
    /// What is worse: `refused`, `failed` or `latency`.
    pub measure: &'static str,
    /// Before: a share, or for latency the median (seconds).
    pub before: f64,
    /// Since the change.
    pub after: f64,
    /// Requests compared, before and since.
    pub requests: (u64, u64),
    /// Chance that nothing has changed.
    pub chance: f64,
}

impl Regression {
    /// The same in words, with the class's name.
    pub fn describe(&self, class: &str) -> String {
        let Regression { group, measure, before, after, requests: (old, new), chance, .. } = self;
        let unit = if *measure == "latency" { " s" } else { "" };
        format!(
            "{measure} of class {class} in group {group} went from {before:.4}{unit} to {after:.4}{unit} \
             ({old} requests before, {new} since, chance {chance:.1e})"
        )
    }
}

/// Counts how requests end, before a change and since one.
pub struct Health {
    slice: f64,
    begun: f64,
    /// The newest last; each with the time at which it began.
    slices: Vec<(f64, Cells)>,
    frozen: Option<Frozen>,
    /// What has been asked of late, whether or not a change is watched: of this period and of the one before.
    lately: [HashMap<(u16, u32), u64>; 2],
    lately_from: f64,
}

struct Frozen {
    cells: Cells,
    length: f64,
    since: f64,
}

impl Health {
    /// Counts from `now` on; the time before a change is looked back on for `back` seconds.
    pub fn new(now: f64, back: f64) -> Health {
        Health {
            slice: back / SLICES as f64,
            begun: now,
            slices: vec![(now, Cells::new())],
            frozen: None,
            lately: Default::default(),
            lately_from: now,
        }
    }

    /// Takes in how a request ended: none for one that was served, after so long (seconds).
    pub fn record(
        &mut self,
        now: f64,
        class: u16,
        group: u32,
        repeat: bool,
        bad: Option<RequestFailure>,
        took: f64,
    ) {
        if now >= self.lately_from + LATELY {
            self.lately.swap(0, 1);
            self.lately[0].clear();
            self.lately_from = now;
        }
        if self.lately[0].len() < MAX_CELLS || self.lately[0].contains_key(&(class, group)) {
            *self.lately[0].entry((class, group)).or_insert(0) += 1;
        }
        // While a change is watched, all since it is one period.
        if self.frozen.is_none() && self.slices.last().is_none_or(|(from, _)| now >= from + self.slice) {
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
        counts.first += u64::from(!repeat);
        match bad {
            Some(RequestFailure::Refused) => counts.refused += 1,
            Some(RequestFailure::Failed) => counts.failed += 1,
            None => {
                counts.good += 1;
                counts.latency[bucket(took)] += 1;
            }
        }
    }

    /// A change is in force from now on: what came before is kept to be compared with.
    pub fn begin_comparison(&mut self, now: f64) {
        let from = self.slices.first().map_or(self.begun, |(from, _)| *from);
        let mut cells = Cells::new();
        for (_, slice) in self.slices.drain(..) {
            for (cell, counts) in slice {
                cells.entry(cell).or_default().add(&counts);
            }
        }
        self.frozen = Some(Frozen { cells, length: now - from, since: now });
        self.slices.push((now, Cells::new()));
    }

    /// The change is watched no more; what has come since it is what the next is compared with.
    pub fn end_comparison(&mut self) {
        self.frozen = None;
    }

    /// Requests of the last five to ten minutes, by class and group; a pair can come twice.
    pub fn traffic(&self) -> impl Iterator<Item = ((u16, u32), u64)> + '_ {
        self.lately.iter().flatten().map(|(cell, count)| (*cell, *count))
    }

    /// Compares what has come since the change with what came before it.
    pub fn judge(&self, now: f64, rules: &HealthRules) -> Verdict {
        let (Some(before), Some((_, after))) = (&self.frozen, self.slices.last()) else {
            return Verdict::Fine;
        };
        let lengths = (before.length.max(1e-3), (now - before.since).max(1e-3));
        let enough = |(cell, new): &(&(u16, u32), &Counts)| {
            let old = before.cells.get(*cell).map_or(0, Counts::all);
            old >= rules.min_requests && new.all() >= rules.min_requests
        };
        let compared: Vec<_> = after.iter().filter(enough).collect();
        let limit =
            rules.significance / (3.0 * compared.len().max(1) as f64 * f64::from(rules.checks.max(1)));
        let mut worst: Option<Regression> = None;
        for (&(class, group), new) in &compared {
            let Some(old) = before.cells.get(&(class, group)) else { continue };
            for (measure, was, is) in
                [("refused", old.refused, new.refused), ("failed", old.failed, new.failed)]
            {
                let shares = (was as f64 / old.all() as f64, is as f64 / new.all() as f64);
                if shares.1 - shares.0 < rules.min_increase {
                    continue;
                }
                let chance = rise(was, old.all(), is, new.all());
                if chance >= limit || self.explained(before, after, (class, group), lengths, limit) {
                    continue;
                }
                let requests = (old.all(), new.all());
                let judged =
                    Regression { class, group, measure, before: shares.0, after: shares.1, requests, chance };
                if worst.as_ref().is_none_or(|worst| judged.chance < worst.chance) {
                    worst = Some(judged);
                }
            }
            let (was, is) = (old.median(), new.median());
            if old.good >= rules.min_requests
                && new.good >= rules.min_requests
                && is >= was + SLOWER_BUCKETS
                && upper(is) > NEGLIGIBLE
            {
                let (above, chance) = slower(&old.latency, &new.latency);
                let asked = |cells: &Cells| asked(cells, group);
                let loaded = risen(asked(&before.cells), asked(after), lengths);
                if above >= SLOWER && chance < limit && !loaded && worst.is_none() {
                    let (before, after) = (upper(was), upper(is));
                    let requests = (old.good, new.good);
                    let measure = "latency";
                    worst = Some(Regression { class, group, measure, before, after, requests, chance });
                }
            }
        }
        worst.map_or(Verdict::Fine, Verdict::Worse)
    }

    /// Whether load alone explains that a cell is worse: its group is asked for surely more than before, and
    /// either the cell is served as often as before, or it fares no worse than the rest of its group, which is.
    fn explained(
        &self,
        before: &Frozen,
        after: &Cells,
        (class, group): (u16, u32),
        lengths: (f64, f64),
        limit: f64,
    ) -> bool {
        if !risen(asked(&before.cells, group), asked(after, group), lengths) {
            return false;
        }
        let (old, new) = (&before.cells[&(class, group)], &after[&(class, group)]);
        if !fallen(old.good, new.good, lengths) {
            return true;
        }
        let rest = |cells: &Cells| {
            let mut sum = Counts::default();
            let others = cells.iter().filter(|((c, g), _)| *g == group && *c != class);
            others.for_each(|(_, counts)| sum.add(counts));
            sum
        };
        let (rest_old, rest_new) = (rest(&before.cells), rest(after));
        let bad = |counts: &Counts| counts.refused + counts.failed;
        let apart = rise(bad(&rest_new), rest_new.all().max(1), bad(new), new.all()) < limit;
        rest_new.all() > 0 && !fallen(rest_old.good, rest_new.good, lengths) && !apart
    }
}

/// Requests asked for the first time in a group.
fn asked(cells: &Cells, group: u32) -> u64 {
    cells.iter().filter(|((_, g), _)| *g == group).map(|(_, counts)| counts.first).sum()
}

/// How many standard deviations the second count is above what the first one's rate would give.
fn deviation(old: u64, new: u64, (before, after): (f64, f64)) -> f64 {
    let (all, share) = ((old + new) as f64, after / (before + after));
    (new as f64 - all * share) / (all * share * (1.0 - share)).sqrt().max(1e-9)
}

/// Whether a rate has surely risen.
fn risen(old: u64, new: u64, lengths: (f64, f64)) -> bool {
    let ratio = (new as f64 / lengths.1) / (old as f64 / lengths.0).max(1e-9);
    ratio >= RISE && deviation(old, new, lengths) >= SURE
}

/// Whether a rate has surely fallen.
fn fallen(old: u64, new: u64, lengths: (f64, f64)) -> bool {
    let ratio = (new as f64 / lengths.1) / (old as f64 / lengths.0).max(1e-9);
    ratio <= FALL && deviation(old, new, lengths) <= -SURE
}

/// Chance of at least `is` bad ones among `new` where their share is that of both periods together.
fn rise(was: u64, old: u64, is: u64, new: u64) -> f64 {
    let (all, bad) = (old + new, was + is);
    if is == 0 || all == 0 {
        return 1.0;
    }
    if all <= EXACT {
        return Hypergeometric::new(all, bad, new).map_or(1.0, |chances| chances.sf(is - 1));
    }
    let share = bad as f64 / all as f64;
    let spread = (share * (1.0 - share) * (1.0 / old as f64 + 1.0 / new as f64)).sqrt();
    let z = (is as f64 / new as f64 - was as f64 / old as f64) / spread.max(1e-12);
    tail(z)
}

/// Chance that a normal variable lies so many standard deviations above its mean.
fn tail(z: f64) -> f64 {
    Normal::new(0.0, 1.0).map_or(1.0, |normal| normal.sf(z))
}

/// Chance that one of the second lies above one of the first (ties count half), and that this is chance.
fn slower(old: &[u32; BUCKETS], new: &[u32; BUCKETS]) -> (f64, f64) {
    let total = |counts: &[u32; BUCKETS]| counts.iter().map(|count| f64::from(*count)).sum::<f64>();
    let (n, m) = (total(old), total(new));
    let (mut below, mut above, mut ties) = (0.0, 0.0, 0.0);
    for (was, is) in old.iter().zip(new) {
        let (was, is) = (f64::from(*was), f64::from(*is));
        above += is * (below + was / 2.0);
        below += was;
        ties += (was + is).powi(3) - (was + is);
    }
    let all = n + m;
    let spread = (n * m / 12.0 * (all + 1.0 - ties / (all * (all - 1.0)).max(1.0))).max(1e-9).sqrt();
    (above / (n * m).max(1.0), tail((above - n * m / 2.0) / spread))
}

fn bucket(took: f64) -> usize {
    if took <= FIRST {
        return 0;
    }
    ((took / FIRST).log(WIDER).ceil() as usize).min(BUCKETS - 1)
}

/// Where a bucket ends (seconds).
fn upper(bucket: usize) -> f64 {
    FIRST * WIDER.powi(bucket as i32)
}
