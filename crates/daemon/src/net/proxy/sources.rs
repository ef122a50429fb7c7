//! The list of members: where it is followed, what of it is kept on disk, and the operator's intents laid over it.

use listing::Listing;
use operator::{Effective, Override};
use routing::interface::{self, Entry, ListKind, Phase};

use super::{Lived, Proxy};
use crate::net::registry::{Known, Registry, Who};
use crate::net::Context;

impl Proxy {
    /// The list tells something. It is a fact: with an operator's file his intents are laid over it, and no
    /// change that is under way holds it back.
    pub(super) fn listed(&mut self, kind: ListKind, listings: Vec<Listing>, context: &mut Context) {
        match &mut self.changes {
            None => self.members(kind, listings, context),
            Some(changes) => {
                if let Some((kind, listings)) = changes.roster.apply_list(kind, listings) {
                    self.members(kind, listings, context);
                }
            }
        }
    }

    pub(super) fn members(&mut self, kind: ListKind, listings: Vec<Listing>, context: &mut Context) {
        context.counters.lists += u64::from(kind.is_news());
        context.counters.lists_failed += u64::from(!kind.is_news());
        if kind.is_news() {
            self.servers.list(kind, &listings, context.reactor.now());
            let ending = listings.iter().filter(|listing| listing.phase != Phase::Active).count();
            if ending > 0 || kind != ListKind::Incremental {
                let (version, lines) = (self.discovery.index(), listings.len());
                logging::info!(event = "list.told", kind = ?kind, version, lines, ending);
            }
            self.sessions.iter_mut().for_each(|sessions| sessions.list(kind, &listings, context));
            self.share_list(&listings, context);
        }
        let any = listings.iter().any(|listing| listing.phase == Phase::Active);
        let entries = listings.into_iter().map(|listing| self.entry(listing)).collect();
        self.tell(interface::Event::Members { kind, entries }, context);
        if any {
            self.clients.serve(context);
            self.live(Lived::Listed, context);
        }
    }

    fn entry(&self, listing: Listing) -> Entry {
        let Listing { name, zone, group, phase, since, .. } = listing;
        let known = self.zones.iter().position(|known| *known == zone);
        // A zone that the settings do not name is at least not the own one.
        let zone = known.unwrap_or(self.zones.len());
        Entry { member: name, zone: zone as u32, group, phase, started_at: since, primary: false }
    }

    /// Follows the list where the operator's file says. Until another source has told a whole list, the one of
    /// now holds, with all that it says of drains.
    pub(super) fn source(&mut self, effective: &Effective, context: &mut Context) {
        let settings = &effective.document.registry;
        if settings.endpoints.is_empty() {
            if self.registry.take().is_some() {
                logging::info!(event = "list.source", "the list is discovery's again");
                self.discovery.move_to(effective.discovery, context);
                self.discovery.listen_afresh(context);
            }
            return;
        }
        if self.registry.as_ref().is_some_and(|registry| registry.is_of(settings)) {
            return;
        }
        let known = match self.registry.take() {
            Some(registry) => registry.known(settings),
            None => {
                let standing = self.changes.iter().flat_map(|changes| changes.roster.listed());
                let standing = standing.map(|listing| listing.name.clone()).collect();
                let kept = self.changes.as_mut().and_then(|changes| changes.kept.take());
                let view =
                    kept.map_or_else(registry::View::default, |kept| from_disk(&settings.prefix, &kept));
                Known { view, standing, ..Known::default() }
            }
        };
        self.discovery.stop(context);
        let now = context.reactor.now();
        let who = Who { name: &self.name, listen: effective.listen, seed: self.seed };
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
    pub(super) fn intend(&mut self, effective: &Effective, context: &mut Context) {
        let Some(changes) = &mut self.changes else { return };
        if let Some((kind, listings)) = changes.roster.apply_intents(effective) {
            self.members(kind, listings, context);
        }
        let excluded = effective.document.overrides.iter().filter(|(_, wish)| **wish == Override::Exclude);
        for (name, _) in excluded {
            self.servers.let_go(&name.as_str().into());
        }
    }

    /// Has the registry's view kept on disk, where it is time for that.
    pub(super) fn keep(&mut self, context: &mut Context) {
        let (Some(registry), Some(changes)) = (&mut self.registry, &mut self.changes) else { return };
        if let Some(bytes) = registry.keep(context.reactor.now(), changes.can_keep()) {
            changes.keep(bytes);
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
