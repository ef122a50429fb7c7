//! How members look to one observer: evidence, told now and then and never acknowledged, that fades with its age and is gone
//! with its observer.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::merge::{Join, Observed};

/// How long a word of an observer is taken into account (seconds).
pub const VIEW_TTL: f64 = 3.0;
/// Half-life of what he says is in flight (seconds).
const HALF_LIFE: f64 = 0.5;
/// Most members of which an observer's words are kept.
pub const MAX_MEMBERS: usize = 10_000;
/// Most tenants of which an observer's words are kept.
pub const MAX_TENANTS: usize = 256;

/// A member, as one observer sees it. Ages are told, not times, since clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The member.
    pub member: Arc<str>,
    /// Its start that this is of.
    pub since: f64,
    /// Its position as first heard from it, and how long ago (seconds).
    pub position: Option<(f64, f32)>,
    /// Whether it has said to be the primary, and how long ago (seconds).
    pub primary: Option<(bool, f32)>,
    /// The observer's requests there.
    pub in_flight: u16,
    /// Whether the observer has found out by himself that it does not answer.
    pub suspected: bool,
    /// How many times as long as others it takes.
    pub slowness: f32,
    /// For how long it has been up from cold (seconds), where that matters still.
    pub cold: Option<f32>,
}

/// A tenant's use, as one observer sees it: requests a second.
pub type TenantUsage = (Arc<str>, f32);

/// What all observers together say of a member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AggregatedView {
    /// The member's start that this is of.
    pub since: f64,
    /// Requests of others there, faded by age.
    pub in_flight: f64,
    /// How many others have found out by themselves that it does not answer.
    pub suspected_by: u32,
    /// How many others have said anything of it within [`VIEW_TTL`].
    pub seen_by: u32,
    /// The best position that anybody has heard, and how long ago at most (seconds).
    pub position: Option<(f64, f64)>,
    /// Since when it has been cold, by the caller's clock, as late as anybody says.
    pub cold_since: Option<f64>,
}

/// An observer's words, by what they are of, with when each came.
type Words<T> = HashMap<Arc<str>, (f64, Observed<T>)>;

/// The words of all observers.
#[derive(Debug, Default)]
pub struct Views {
    /// By observer: when his word came, and the word.
    by: BTreeMap<Arc<str>, Words<View>>,
    uses: BTreeMap<Arc<str>, Words<f32>>,
}

impl Views {
    /// Takes in an observer's words of a round.
    pub fn record(&mut self, now: f64, observer: &Arc<str>, start: u64, round: u64, views: Vec<View>) {
        let kept = self.by.entry(observer.clone()).or_default();
        for view in views {
            let word = Observed { start, round, value: view };
            let member = word.value.member.clone();
            if kept.len() >= MAX_MEMBERS && !kept.contains_key(&member) {
                continue;
            }
            let known = kept.entry(member).or_insert_with(|| (now, word.clone()));
            let before = known.1.clone();
            known.1.join(&word);
            if known.1 != before {
                known.0 = now;
            }
        }
    }

    /// Takes in an observer's words of what tenants use of him.
    pub fn record_usage(
        &mut self,
        now: f64,
        observer: &Arc<str>,
        start: u64,
        round: u64,
        uses: Vec<TenantUsage>,
    ) {
        let kept = self.uses.entry(observer.clone()).or_default();
        for (tenant, rate) in uses {
            if kept.len() >= MAX_TENANTS && !kept.contains_key(&tenant) {
                continue;
            }
            let word = Observed { start, round, value: rate };
            let known = kept.entry(tenant).or_insert_with(|| (now, word.clone()));
            if (word.start, word.round) > (known.1.start, known.1.round) {
                *known = (now, word);
            }
        }
    }

    /// An observer is gone, and his words with him.
    pub fn remove_observer(&mut self, observer: &str) {
        self.by.remove(observer);
        self.uses.remove(observer);
    }

    /// Forgets what is too old to be taken into account.
    pub fn expire(&mut self, now: f64) {
        for words in self.by.values_mut() {
            words.retain(|_, (came, _)| now - *came < VIEW_TTL);
        }
        for words in self.uses.values_mut() {
            words.retain(|_, (came, _)| now - *came < VIEW_TTL);
        }
        self.by.retain(|_, words| !words.is_empty());
        self.uses.retain(|_, words| !words.is_empty());
    }

    /// What all observers together say of each member.
    pub fn aggregated_views(&self, now: f64) -> BTreeMap<Arc<str>, AggregatedView> {
        let mut all: BTreeMap<Arc<str>, AggregatedView> = BTreeMap::new();
        for words in self.by.values() {
            for (member, (came, Observed { value: word, .. })) in words {
                let age = now - came;
                if age >= VIEW_TTL {
                    continue;
                }
                let known = all.entry(member.clone()).or_default();
                if word.since > known.since {
                    // A later start: what was said of the one before is void.
                    *known = AggregatedView { since: word.since, ..AggregatedView::default() };
                } else if word.since < known.since {
                    continue;
                }
                known.in_flight += f64::from(word.in_flight) * 0.5f64.powf(age / HALF_LIFE);
                known.seen_by += 1;
                known.suspected_by += u32::from(word.suspected);
                if let Some((position, told)) = word.position {
                    let told = f64::from(told) + age;
                    if known.position.is_none_or(|(best, _)| position > best) {
                        known.position = Some((position, told));
                    }
                }
                if let Some(up) = word.cold {
                    let since = came - f64::from(up);
                    known.cold_since = Some(known.cold_since.map_or(since, |known| known.max(since)));
                }
            }
        }
        all
    }

    /// What each tenant uses of all others together (requests a second).
    pub fn tenant_usage(&self, now: f64) -> BTreeMap<Arc<str>, f64> {
        let mut all = BTreeMap::new();
        for words in self.uses.values() {
            for (tenant, (came, word)) in words {
                if now - came < VIEW_TTL {
                    *all.entry(tenant.clone()).or_insert(0.0) += f64::from(word.value);
                }
            }
        }
        all
    }

    /// Each observer's word of a member, with its age (seconds).
    pub fn of(&self, now: f64, member: &str) -> Vec<(Arc<str>, f64, View)> {
        let word = |(observer, words): (&Arc<str>, &Words<View>)| {
            words.get(member).map(|(came, word)| (observer.clone(), now - came, word.value.clone()))
        };
        self.by.iter().filter_map(word).collect()
    }
}
