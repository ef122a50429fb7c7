//! Merging what several authors report about the same thing. Each type is a join semilattice: the result does
//! not depend on the order, the grouping or the repetition of reports (`tests/laws.rs`). Reports are never
//! ordered by the clocks of two hosts, but by log positions, by versions of one list and by an author's own
//! numbers.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::fact::MemberStatus;

/// A value that can be joined with another report of the same thing.
pub trait Join: Clone + PartialEq {
    /// Joins another report into this one.
    fn join(&mut self, other: &Self);
}

/// The last write of a session over all instances: the later position; open if any instance has a write of
/// the session in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WriteMark {
    /// Whether a write may be answered at any moment.
    pub open: bool,
    /// Position of the latest commit that was answered.
    pub position: Option<f64>,
}

impl Join for WriteMark {
    fn join(&mut self, other: &WriteMark) {
        self.open |= other.open;
        self.position = later_position(self.position, other.position);
    }
}

/// What the lists say about a member. Within one list the report about the latest start of the member counts,
/// then the latest version, then the strictest status. Versions of different lists can't be compared, so the
/// strictest status of all lists counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedStatus(BTreeMap<u64, (f64, u64, MemberStatus)>);

impl MergedStatus {
    /// Creates the status that one list reports.
    pub fn from_list(source: u64, since: f64, version: u64, status: MemberStatus) -> MergedStatus {
        MergedStatus([(source, (since, version, status))].into())
    }

    /// Returns the strictest status over all lists for the member's start `since`; reports about earlier
    /// starts are ignored.
    pub fn strictest(&self, since: f64) -> MemberStatus {
        let applicable = self.0.values().filter(|(start, _, _)| *start >= since);
        applicable.map(|(_, _, status)| *status).max().unwrap_or(MemberStatus::Serving)
    }
}

impl Join for MergedStatus {
    fn join(&mut self, other: &MergedStatus) {
        for (source, report) in &other.0 {
            let known = self.0.entry(*source).or_insert(*report);
            let later =
                report.0.total_cmp(&known.0).then(report.1.cmp(&known.1)).then(report.2.cmp(&known.2));
            if later.is_gt() {
                *known = *report;
            }
        }
    }
}

/// Members that claim to be the primary of a group, as several instances have observed. The newest claim by
/// log position counts; claims of two members are a conflict, and neither is used until the members have been
/// asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrimaryClaim(BTreeMap<Arc<str>, f64>);

impl PrimaryClaim {
    /// Creates the claim that one instance reports.
    pub fn new(member: Arc<str>, position: f64) -> PrimaryClaim {
        PrimaryClaim([(member, position)].into())
    }

    /// Returns the only member that claims to be the primary; `None` if there is no claim or more than one.
    pub fn only(&self) -> Option<&Arc<str>> {
        self.0.keys().next().filter(|_| self.0.len() == 1)
    }

    /// Returns all claims, the newest first.
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

/// An observer's newest report about one thing, ordered by the observer's start and round. Reports are stored
/// per observer: they are evidence, not facts.
#[derive(Clone, Debug, PartialEq)]
pub struct Observed<T> {
    /// Start number of the observer.
    pub start: u64,
    /// Round in which the observer reported.
    pub round: u64,
    /// The reported value.
    pub value: T,
}

impl<T: Clone + PartialEq> Join for Observed<T> {
    fn join(&mut self, other: &Observed<T>) {
        if (other.start, other.round) > (self.start, self.round) {
            *self = other.clone();
        }
    }
}

/// Returns the later of two positions.
pub fn later_position(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.max(b)),
        (a, b) => a.or(b),
    }
}
