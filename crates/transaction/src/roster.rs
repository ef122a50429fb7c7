//! Members of the list and the operator's overrides, stored separately: a change never delays an update of
//! the list, and a rollback never reverts one. Routing gets the stricter of the two for each member.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use listing::Listing;
use operator::{EffectiveConfig, Override};
use routing::interface::{ListKind, MemberId, Phase};

/// Members of the list, and the operator's overrides and static list.
#[derive(Default)]
pub struct Roster {
    /// The list as discovery or the registry reports it.
    reported: BTreeMap<MemberId, Listing>,
    /// Phase, address and group of each member as last reported to routing.
    sent: BTreeMap<MemberId, (Phase, SocketAddr, u32)>,
    overrides: BTreeMap<MemberId, Override>,
    /// The operator's static list, which replaces the reported one.
    static_list: Option<BTreeMap<MemberId, Listing>>,
}

impl Roster {
    /// Applies an update of the list and returns the update for routing. With a static list in force the
    /// update is stored and nothing is returned.
    pub fn apply_list(&mut self, kind: ListKind, listings: Vec<Listing>) -> Option<(ListKind, Vec<Listing>)> {
        if !kind.carries_entries() {
            return self.static_list.is_none().then_some((kind, Vec::new()));
        }
        if kind != ListKind::Incremental {
            self.reported.clear();
        }
        let mut update = Vec::with_capacity(listings.len());
        for listing in listings {
            if listing.phase == Phase::Left {
                self.reported.remove(&listing.name);
            } else {
                self.reported.insert(listing.name.clone(), listing.clone());
            }
            update.push(self.with_override(listing));
        }
        if self.static_list.is_some() {
            return None;
        }
        if kind != ListKind::Incremental {
            self.sent.clear();
        }
        self.record_sent(&update);
        Some((kind, update))
    }

    /// Replaces the overrides and the static list by those of a configuration and returns the update for
    /// routing, or `None` if nothing has changed for any member.
    pub fn apply_intents(&mut self, effective: &EffectiveConfig) -> Option<(ListKind, Vec<Listing>)> {
        let overrides = effective
            .document
            .overrides
            .iter()
            .map(|(name, member_override)| (name.as_str().into(), *member_override));
        self.overrides = overrides.collect();
        let static_list: BTreeMap<MemberId, Listing> =
            effective.members.iter().map(|listing| (listing.name.clone(), listing.clone())).collect();
        self.static_list = (!static_list.is_empty()).then_some(static_list);
        let entries: Vec<Listing> = self.listed().cloned().collect();
        let entries: Vec<Listing> = entries.into_iter().map(|listing| self.with_override(listing)).collect();
        let unchanged =
            entries.len() == self.sent.len() && entries.iter().all(|listing| self.is_sent(listing));
        if unchanged {
            return None;
        }
        // While the set of members stays the same, only changed entries are sent; otherwise the full list.
        let same_members =
            entries.len() == self.sent.len() && entries.iter().all(|l| self.sent.contains_key(&l.name));
        let kind = if same_members { ListKind::Incremental } else { ListKind::Full };
        let update: Vec<Listing> =
            entries.into_iter().filter(|listing| !same_members || !self.is_sent(listing)).collect();
        if !same_members {
            self.sent.clear();
        }
        self.record_sent(&update);
        Some((kind, update))
    }

    /// Returns true if the operator's static list is in force.
    pub fn has_static_list(&self) -> bool {
        self.static_list.is_some()
    }

    /// Entries of the list in force, without overrides.
    pub fn listed(&self) -> impl Iterator<Item = &Listing> {
        self.static_list.as_ref().unwrap_or(&self.reported).values()
    }

    fn is_sent(&self, listing: &Listing) -> bool {
        self.sent.get(&listing.name) == Some(&(listing.phase, listing.address, listing.group))
    }

    fn record_sent(&mut self, update: &[Listing]) {
        for listing in update {
            if listing.phase == Phase::Left {
                self.sent.remove(&listing.name);
            } else {
                let state = (listing.phase, listing.address, listing.group);
                self.sent.insert(listing.name.clone(), state);
            }
        }
    }

    /// Applies the overrides to an entry. An override can only make the phase stricter than the list's.
    fn with_override(&self, mut listing: Listing) -> Listing {
        if listing.phase == Phase::Active && self.overrides.contains_key(&listing.name) {
            listing.phase = Phase::Leaving;
        }
        listing
    }
}
