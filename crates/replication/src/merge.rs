//! What several authors' words of one thing come to. Each kind is a join: it does not matter in which order words come, how
//! they are grouped or how often (`tests/laws.rs`). Words about time are never held against each other by the clocks of
//! two machines, but by positions in the log, by versions of one list and by an author's own numbers.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::fact::MemberStatus;

/// Something that two words of can be joined.
pub trait Join: Clone + PartialEq {
    /// Takes in another's word.
    fn join(&mut self, other: &Self);
}

/// A session's last write, over all instances: the later position; open while any has a write of it under way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WriteMark {
    /// Whether a write may be answered at any moment.
    pub open: bool,
    /// The latest commit that was answered.
    pub position: Option<f64>,
}

impl Join for WriteMark {
    fn join(&mut self, other: &WriteMark) {
        self.open |= other.open;
        self.position = later(self.position, other.position);
    }
}

/// What the lists say of a member: of one list the later version, of one version the strictest word; of several lists,
/// whose versions say nothing of each other, the strictest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedStatus(BTreeMap<u64, (f64, u64, MemberStatus)>);

impl MergedStatus {
    /// The word of one list.
    pub fn of(source: u64, since: f64, version: u64, stand: MemberStatus) -> MergedStatus {
        MergedStatus([(source, (since, version, stand))].into())
    }

    /// Where it stands by all of them, for the member's start that a caller knows: words about an earlier one are void.
    pub fn strictest(&self, since: f64) -> MemberStatus {
        let of_it = self.0.values().filter(|(of, _, _)| *of >= since);
        of_it.map(|(_, _, stand)| *stand).max().unwrap_or(MemberStatus::Serving)
    }
}

impl Join for MergedStatus {
    fn join(&mut self, other: &MergedStatus) {
        for (source, word) in &other.0 {
            let known = self.0.entry(*source).or_insert(*word);
            let later = word.0.total_cmp(&known.0).then(word.1.cmp(&known.1)).then(word.2.cmp(&known.2));
            if later.is_gt() {
                *known = *word;
            }
        }
    }
}

/// Who says of himself to be a group's primary, as several instances have heard it. The newest claim, by the log, counts; two
/// members at once are a conflict, on which nobody acts before he has asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrimaryClaim(BTreeMap<Arc<str>, f64>);

impl PrimaryClaim {
    /// One instance's word.
    pub fn of(member: Arc<str>, position: f64) -> PrimaryClaim {
        PrimaryClaim([(member, position)].into())
    }

    /// The only member that claims it; none where nobody does, or several.
    pub fn only(&self) -> Option<&Arc<str>> {
        self.0.keys().next().filter(|_| self.0.len() == 1)
    }

    /// Those who claim it, the newest claim first.
    pub fn all(&self) -> Vec<(&Arc<str>, f64)> {
        let mut all: Vec<(&Arc<str>, f64)> = self.0.iter().map(|(member, at)| (member, *at)).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(b.0)));
        all
    }
}

impl Join for PrimaryClaim {
    fn join(&mut self, other: &PrimaryClaim) {
        for (member, position) in &other.0 {
            let known = self.0.entry(member.clone()).or_insert(*position);
            *known = known.max(*position);
        }
    }
}

/// One observer's words of one thing: his newest, by his own start and number. Kept by observer: evidence, not fact.
#[derive(Clone, Debug, PartialEq)]
pub struct Observed<T> {
    /// The observer's start.
    pub start: u64,
    /// The number of his word.
    pub round: u64,
    /// The word.
    pub value: T,
}

impl<T: Clone + PartialEq> Join for Observed<T> {
    fn join(&mut self, other: &Observed<T>) {
        if (other.start, other.round) > (self.start, self.round) {
            *self = other.clone();
        }
    }
}

/// The later of two positions.
pub fn later(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.max(b)),
        (a, b) => a.or(b),
    }
}
