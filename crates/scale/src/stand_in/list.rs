//! The versioned list of members that the stand-in for discovery sends.

use std::rc::Rc;

use crate::layout::{zone_name, zone_of, Network};
use crate::settings::member_name;

/// Version of the list at the start.
const FIRST_VERSION: u64 = 1;

/// The list, and its changes since the start.
pub struct List {
    network: Network,
    group_size: usize,
    /// By number: whether the member is on the list.
    serving: Vec<bool>,
    version: u64,
    /// The changed members with the versions of the changes.
    changes: Vec<(u64, usize)>,
    /// Cached document of the full list; `None` after a change.
    full_document: Option<Rc<[u8]>>,
}

impl List {
    /// Returns a list with all members.
    pub fn new(network: Network, members: usize, group_size: usize) -> List {
        let (serving, changes) = (vec![true; members], Vec::new());
        List {
            network,
            group_size: group_size.max(1),
            serving,
            version: FIRST_VERSION,
            changes,
            full_document: None,
        }
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Removes a member from the list or puts it back. Returns the new version, or `None` if no member has
    /// this number.
    pub fn set_serving(&mut self, member: usize, serving: bool) -> Option<u64> {
        *self.serving.get_mut(member)? = serving;
        self.version += 1;
        self.changes.push((self.version, member));
        self.full_document = None;
        Some(self.version)
    }

    /// Returns the document for a client with version `since`: the full list if the client has none or the
    /// version is unknown, `None` if it has the latest version, otherwise the members that have changed.
    pub fn update_since(&mut self, since: u64) -> Option<Rc<[u8]>> {
        if since == self.version {
            return None;
        }
        if since < FIRST_VERSION || since > self.version {
            return Some(self.full());
        }
        let mut changed: Vec<usize> =
            self.changes.iter().filter(|(version, _)| *version > since).map(|(_, member)| *member).collect();
        changed.sort_unstable();
        changed.dedup();
        Some(self.document(false, &changed))
    }

    fn full(&mut self) -> Rc<[u8]> {
        if let Some(full) = &self.full_document {
            return full.clone();
        }
        let serving: Vec<usize> = (0..self.serving.len()).filter(|member| self.serving[*member]).collect();
        let full = self.document(true, &serving);
        self.full_document = Some(full.clone());
        full
    }

    fn document(&self, full: bool, members: &[usize]) -> Rc<[u8]> {
        let entries: Vec<String> = members.iter().map(|member| self.entry(*member)).collect();
        let text = format!("{}\n", peers::list(self.version, full, &entries));
        peers::encode_chunks([text.as_bytes()]).into()
    }

    fn entry(&self, member: usize) -> String {
        let status = if self.serving[member] { "SERVING" } else { "DELETED" };
        let (address, zone) = (self.network.member(member), zone_name(zone_of(member)));
        let name = member_name(member);
        // `peers::list_entry` writes a fixed group; it is replaced with the member's own group.
        let group = member / self.group_size;
        peers::list_entry(address, &name, &zone, status).replace("\"group\":2", &format!("\"group\":{group}"))
    }
}

#[cfg(test)]
mod tests;
