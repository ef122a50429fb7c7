//! The list of members: where it is followed, what of it is kept on disk, and the operator's intents laid over it.

use listing::Listing;
use operator::{EffectiveConfig, Override};
use routing::interface::{self, Entry, ListKind, Phase};

use super::{LifecycleInput, Pooler};
use crate::net::registry::{KnownState, PoolerIdentity, Registry};
use crate::net::Context;

impl Pooler {
    /// The list tells something. It is a fact: with an operator's file his intents are laid over it, and no
    /// change that is under way holds it back.
    pub(super) fn apply_list(&mut self, kind: ListKind, listings: Vec<Listing>, context: &mut Context) {
        match &mut self.changes {
            None => self.apply_members(kind, listings, context),
            Some(changes) => {
                if let Some((kind, listings)) = changes.roster.apply_list(kind, listings) {
                    self.apply_members(kind, listings, context);
                }
            }
        }
    }

    pub(super) fn apply_members(&mut self, kind: ListKind, listings: Vec<Listing>, context: &mut Context) {
        context.counters.lists += u64::from(kind.carries_entries());
        context.counters.lists_failed += u64::from(!kind.carries_entries());
        if kind.carries_entries() {
            self.servers.apply_list(kind, &listings, context.reactor.now());
            let ending = listings.iter().filter(|listing| listing.phase != Phase::Active).count();
            if ending > 0 || kind != ListKind::Incremental {
                let (version, lines) = (self.discovery.list_version(), listings.len());
                logging::info!(event = "list.told", kind = ?kind, version, lines, ending);
            }
            self.sessions.iter_mut().for_each(|sessions| sessions.apply_list(kind, &listings, context));
            self.share_list(&listings, context);
        }
        let any = listings.iter().any(|listing| listing.phase == Phase::Active);
        let entries = listings.into_iter().map(|listing| self.entry(listing)).collect();
        self.notify_policy(interface::Event::Members { kind, entries }, context);
        if any {
            self.clients.start_serving(context);
            self.advance_lifecycle(LifecycleInput::ListReceived, context);
        }
    }

    fn entry(&self, listing: Listing) -> Entry {
        let Listing { name, zone, group, phase, started_at: since, .. } = listing;
        let known = self.zones.iter().position(|known| *known == zone);
        // A zone that the settings do not name is at least not the own one.
        let zone = known.unwrap_or(self.zones.len());
        Entry { member: name, zone: zone as u32, group, phase, started_at: since, primary: false }
    }

    /// Follows the list where the operator's file says. Until another source has told a whole list, the one of
    /// now holds, with all that it says of drains.
    pub(super) fn select_list_source(&mut self, effective: &EffectiveConfig, context: &mut Context) {
        let settings = &effective.document.registry;
        if settings.endpoints.is_empty() {
            if self.registry.take().is_some() {
                logging::info!(event = "list.source", "the list is discovery's again");
                self.discovery.set_address(effective.discovery, context);
                self.discovery.resubscribe(context);
            }
            return;
        }
        if self.registry.as_ref().is_some_and(|registry| registry.uses(settings)) {
            return;
        }
        let known = match self.registry.take() {
            Some(registry) => registry.into_known(settings),
            None => {
                let standing = self.changes.iter().flat_map(|changes| changes.roster.listed());
                let standing = standing.map(|listing| listing.name.clone()).collect();
                let kept = self.changes.as_mut().and_then(|changes| changes.stored_view.take());
                let view =
                    kept.map_or_else(registry::View::default, |kept| from_disk(&settings.prefix, &kept));
                KnownState { view, provisional: standing, ..KnownState::default() }
            }
        };
        self.discovery.stop(context);
        let now = context.reactor.now();
        let who = PoolerIdentity { name: &self.name, listen: effective.listen, seed: self.seed };
        let mut registry = Registry::new(settings, &who, known, self.budget.clone(), now);
        logging::info!(
            event = "list.source",
            "the list is that of the registry at {:?}",
            registry.addresses()
        );
        registry.start(context);
        self.registry = Some(registry);
    }

    /// Lays the operator's intents over the list.
    pub(super) fn apply_overrides(&mut self, effective: &EffectiveConfig, context: &mut Context) {
        let Some(changes) = &mut self.changes else { return };
        if let Some((kind, listings)) = changes.roster.apply_intents(effective) {
            self.apply_members(kind, listings, context);
        }
        let excluded = effective.document.overrides.iter().filter(|(_, wish)| **wish == Override::Exclude);
        for (name, _) in excluded {
            self.servers.close_idle(&name.as_str().into());
        }
    }

    /// Has the registry's view kept on disk, where it is time for that.
    pub(super) fn store_registry_view(&mut self, context: &mut Context) {
        let (Some(registry), Some(changes)) = (&mut self.registry, &mut self.changes) else { return };
        if let Some(bytes) = registry.take_view_to_store(context.reactor.now(), changes.can_store_view()) {
            changes.store_view(bytes);
        }
    }
}

/// The view that was kept on disk; none where it is not one of these keys.
fn from_disk(prefix: &str, bytes: &[u8]) -> registry::View {
    match registry::snapshot::decode(prefix, bytes) {
        Ok(view) => {
            let (revision, keys) = (view.revision, view.len());
            logging::info!(event = "registry.kept", revision, keys, "goes on from the view kept on disk");
            view
        }
        Err(fault) => {
            logging::warn!(event = "registry.kept", "the view kept on disk is not used: {fault}");
            registry::View::default()
        }
    }
}
