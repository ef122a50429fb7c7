//! The list of databases that a stand-in tells, with its versions.

use std::rc::Rc;

use crate::layout::{zone_name, zone_of, Network};
use crate::settings::database_name;

/// The version of the list when a run begins.
const FIRST_VERSION: u64 = 1;

/// The list as it is, and what has changed since it began.
pub struct List {
    network: Network,
    group_size: usize,
    /// By number: whether the database is there.
    serving: Vec<bool>,
    version: u64,
    /// Databases by the version at which they changed.
    changes: Vec<(u64, usize)>,
    /// The whole list as a document, until it changes.
    whole: Option<Rc<[u8]>>,
}

impl List {
    /// Databases that all serve.
    pub fn new(network: Network, databases: usize, group_size: usize) -> List {
        let (serving, changes) = (vec![true; databases], Vec::new());
        List { network, group_size: group_size.max(1), serving, version: FIRST_VERSION, changes, whole: None }
    }

    /// The version at present.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes a database off the list or puts it back; the new version. None where there is no such database.
    pub fn change(&mut self, database: usize, serving: bool) -> Option<u64> {
        *self.serving.get_mut(database)? = serving;
        self.version += 1;
        self.changes.push((self.version, database));
        self.whole = None;
        Some(self.version)
    }

    /// What one that holds that version is told: all where it holds none, nothing (none) where it holds the latest, else
    /// what has changed.
    pub fn news(&mut self, since: u64) -> Option<Rc<[u8]>> {
        if since == self.version {
            return None;
        }
        if since < FIRST_VERSION || since > self.version {
            return Some(self.whole());
        }
        let mut changed: Vec<usize> = self
            .changes
            .iter()
            .filter(|(version, _)| *version > since)
            .map(|(_, database)| *database)
            .collect();
        changed.sort_unstable();
        changed.dedup();
        Some(self.document(false, &changed))
    }

    fn whole(&mut self) -> Rc<[u8]> {
        if let Some(whole) = &self.whole {
            return whole.clone();
        }
        let all: Vec<usize> = (0..self.serving.len()).filter(|database| self.serving[*database]).collect();
        let whole = self.document(true, &all);
        self.whole = Some(whole.clone());
        whole
    }

    fn document(&self, whole: bool, databases: &[usize]) -> Rc<[u8]> {
        let lines: Vec<String> = databases.iter().map(|database| self.line(*database)).collect();
        let text = format!("{}\n", peers::list(self.version, whole, &lines));
        peers::encode_chunks([text.as_bytes()]).into()
    }

    fn line(&self, database: usize) -> String {
        let status = if self.serving[database] { "SERVING" } else { "DELETED" };
        let (address, zone) = (self.network.database(database), zone_name(zone_of(database)));
        let name = database_name(database);
        // The group is the stand-in's own: the line of the tests has a fixed one.
        let group = database / self.group_size;
        peers::list_entry(address, &name, &zone, status).replace("\"group\":2", &format!("\"group\":{group}"))
    }
}

#[cfg(test)]
mod tests;
