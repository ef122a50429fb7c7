//! What the list tells, and what the operator wants, kept apart: a fact is never held back by a change nor
//! undone by a rollback, and what reaches the decisions is whichever of the two forbids more.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use listing::Listing;
use operator::{EffectiveConfig, Override};
use routing::interface::{ListKind, MemberId, Phase};

/// Members on the list, and those that are off it but were lately on it.
#[derive(Default)]
pub struct Roster {
    facts: BTreeMap<MemberId, Listing>,
    /// What the decisions were last told of each member.
    told: BTreeMap<MemberId, (Phase, SocketAddr, u32)>,
    overrides: BTreeMap<MemberId, Override>,
    /// The operator's own list, in place of discovery's.
    fixed: Option<BTreeMap<MemberId, Listing>>,
}

impl Roster {
    /// Takes in what discovery tells; what the decisions are to be told of it. With a static list in force
    /// that is nothing, but it is remembered.
    pub fn apply_list(&mut self, kind: ListKind, listings: Vec<Listing>) -> Option<(ListKind, Vec<Listing>)> {
        if !kind.carries_entries() {
            return self.fixed.is_none().then_some((kind, Vec::new()));
        }
        if kind != ListKind::Incremental {
            self.facts.clear();
        }
        let mut told = Vec::with_capacity(listings.len());
        for listing in listings {
            if listing.phase == Phase::Left {
                self.facts.remove(&listing.name);
            } else {
                self.facts.insert(listing.name.clone(), listing.clone());
            }
            told.push(self.laid_over(listing));
        }
        if self.fixed.is_some() {
            return None;
        }
        if kind != ListKind::Incremental {
            self.told.clear();
        }
        self.note(&told);
        Some((kind, told))
    }

    /// Takes the intents of a configuration in place of those before; what the decisions are to be told.
    /// Nothing where nothing has changed for any member.
    pub fn apply_intents(&mut self, effective: &EffectiveConfig) -> Option<(ListKind, Vec<Listing>)> {
        let wanted = effective.document.overrides.iter().map(|(name, wish)| (name.as_str().into(), *wish));
        self.overrides = wanted.collect();
        let fixed: BTreeMap<MemberId, Listing> =
            effective.members.iter().map(|listing| (listing.name.clone(), listing.clone())).collect();
        self.fixed = (!fixed.is_empty()).then_some(fixed);
        let now: Vec<Listing> = self.listed().cloned().collect();
        let now: Vec<Listing> = now.into_iter().map(|listing| self.laid_over(listing)).collect();
        let same = now.len() == self.told.len() && now.iter().all(|listing| self.told_as(listing));
        if same {
            return None;
        }
        // Only what has changed is told while the same members stay; else the list as a whole.
        let stay = now.len() == self.told.len() && now.iter().all(|l| self.told.contains_key(&l.name));
        let kind = if stay { ListKind::Incremental } else { ListKind::Full };
        let news: Vec<Listing> = now.into_iter().filter(|listing| !stay || !self.told_as(listing)).collect();
        if !stay {
            self.told.clear();
        }
        self.note(&news);
        Some((kind, news))
    }

    /// Whether the operator's own list is in force.
    pub fn has_static_list(&self) -> bool {
        self.fixed.is_some()
    }

    /// The members that the list in force names, as it names them.
    pub fn listed(&self) -> impl Iterator<Item = &Listing> {
        self.fixed.as_ref().unwrap_or(&self.facts).values()
    }

    fn told_as(&self, listing: &Listing) -> bool {
        self.told.get(&listing.name) == Some(&(listing.phase, listing.address, listing.group))
    }

    fn note(&mut self, told: &[Listing]) {
        for listing in told {
            if listing.phase == Phase::Left {
                self.told.remove(&listing.name);
            } else {
                let place = (listing.phase, listing.address, listing.group);
                self.told.insert(listing.name.clone(), place);
            }
        }
    }

    /// A line of the list as the operator wants it: an intent can only forbid more than the list does.
    fn laid_over(&self, mut listing: Listing) -> Listing {
        if listing.phase == Phase::Active && self.overrides.contains_key(&listing.name) {
            listing.phase = Phase::Leaving;
        }
        listing
    }
}
