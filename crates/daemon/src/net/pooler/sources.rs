//! The list of members: selects its source, stores a registry's view on disk, and applies the operator's
//! overrides.

use listing::Listing;
use operator::{EffectiveConfig, Override};
use routing::interface::{self, Entry, ListKind, Phase};

use super::{LifecycleInput, Pooler};
use crate::net::registry::{KnownState, PoolerIdentity, Registry};
use crate::net::Context;

impl Pooler {
    /// Handles an update of the list. The operator's overrides, if any, are applied to it. A configuration
    /// change in progress does not delay it.
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

    /// Passes members with overrides applied to the connections, the policy and the peers.
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
        let any_active = listings.iter().any(|listing| listing.phase == Phase::Active);
        let entries = listings.into_iter().map(|listing| self.policy_entry(listing)).collect();
        self.notify_policy(interface::Event::Members { kind, entries }, context);
        if any_active {
            self.clients.start_serving(context);
            self.advance_lifecycle(LifecycleInput::ListReceived, context);
        }
    }

    fn policy_entry(&self, listing: Listing) -> Entry {
        let Listing { name, zone, group, phase, started_at, .. } = listing;
        let index = self.zones.iter().position(|known| *known == zone);
        // A zone that the settings do not name cannot be the pooler's own one.
        let zone = index.unwrap_or(self.zones.len());
        Entry { member: name, zone: zone as u32, group, phase, started_at, primary: false }
    }

    /// Follows the list at the source that the operator's file configures. Until a new source has sent a full
    /// list, the current list remains in force, including its draining members.
    pub(super) fn select_list_source(&mut self, effective: &EffectiveConfig, context: &mut Context) {
        let settings = &effective.document.registry;
        if settings.endpoints.is_empty() {
            if self.registry.take().is_some() {
                logging::info!(event = "list.source", "following the list of discovery again");
                self.discovery.set_address(effective.discovery, context);
                self.discovery.resubscribe(context);
            }
            return;
        }
        if self.registry.as_ref().is_some_and(|registry| registry.uses(settings)) {
            return;
        }
        let known = match self.registry.take() {
            Some(registry) => registry.into_known_state(settings),
            None => {
                let listed = self.changes.iter().flat_map(|changes| changes.roster.listed());
                let provisional = listed.map(|listing| listing.name.clone()).collect();
                let stored = self.changes.as_mut().and_then(|changes| changes.stored_view.take());
                let view = stored.map_or_else(registry::View::default, |bytes| {
                    decode_stored_view(&settings.prefix, &bytes)
                });
                KnownState { view, provisional, ..KnownState::default() }
            }
        };
        self.discovery.stop(context);
        let now = context.reactor.now();
        let identity = PoolerIdentity { name: &self.name, listen: effective.listen, seed: self.seed };
        let mut registry = Registry::new(settings, &identity, known, self.budget.clone(), now);
        logging::info!(
            event = "list.source",
            "following the list of the registry at {:?}",
            registry.addresses()
        );
        registry.start(context);
        self.registry = Some(registry);
    }

    /// Applies the operator's overrides to the current list.
    pub(super) fn apply_overrides(&mut self, effective: &EffectiveConfig, context: &mut Context) {
        let Some(changes) = &mut self.changes else { return };
        if let Some((kind, listings)) = changes.roster.apply_intents(effective) {
            self.apply_members(kind, listings, context);
        }
        let excluded =
            effective.document.overrides.iter().filter(|(_, choice)| **choice == Override::Exclude);
        for (name, _) in excluded {
            self.servers.close_idle(&name.as_str().into());
        }
    }

    /// Stores the registry's view on disk if that is due.
    pub(super) fn store_registry_view(&mut self, context: &mut Context) {
        let (Some(registry), Some(changes)) = (&mut self.registry, &mut self.changes) else { return };
        if let Some(bytes) = registry.take_view_to_store(context.reactor.now(), changes.can_store_view()) {
            changes.store_view(bytes);
        }
    }
}

/// Decodes the stored view; an empty view if the bytes are invalid or belong to another key prefix.
fn decode_stored_view(prefix: &str, bytes: &[u8]) -> registry::View {
    match registry::snapshot::decode(prefix, bytes) {
        Ok(view) => {
            let (revision, keys) = (view.revision, view.len());
            logging::info!(
                event = "registry.kept",
                revision,
                keys,
                "continuing from the view stored on disk"
            );
            view
        }
        Err(fault) => {
            logging::warn!(event = "registry.kept", "the view stored on disk is not used: {fault}");
            registry::View::default()
        }
    }
}
