//! Members and drains as keys and values. A member stands under `PREFIX/members/NAME`, an operator's drain of it
//! under `PREFIX/drains/NAME`; what the drain's value says is for people.
//!
//! ```json
//! {"v":1,"address":"10.1.0.18:5432","zone":"a","group":3,"status":"SERVING","since_ms":0}
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddr;

use listing::Listing;
use routing::interface::Phase;
use serde::Deserialize;

use crate::sync::View;

/// The version of the values that are understood.
pub const VERSION: u32 = 1;
/// Longest value that is read (bytes); a member's line has some hundred.
pub const LONGEST: usize = 4 * 1024;

#[derive(Deserialize)]
struct Value {
    v: u32,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    group: u32,
    #[serde(default)]
    status: Status,
    #[serde(default)]
    since_ms: f64,
}

#[derive(Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Status {
    #[default]
    Serving,
    Draining,
}

/// Reads a member's value; what is wrong with it where it is none.
pub fn member(name: &str, value: &[u8]) -> Result<Listing, String> {
    if value.len() > LONGEST {
        return Err(format!("{} bytes; at most {LONGEST} are read", value.len()));
    }
    let value: Value = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    if value.v != VERSION {
        return Err(format!("version {}; accepted: {VERSION}", value.v));
    }
    Ok(Listing {
        name: name.into(),
        address: value.address,
        zone: value.zone,
        group: value.group,
        phase: if value.status == Status::Draining { Phase::Leaving } else { Phase::Active },
        since: value.since_ms / 1000.0,
    })
}

/// The members that a view holds, each as it was last understood.
#[derive(Default)]
pub struct Members {
    understood: BTreeMap<String, Listing>,
    /// What could not be understood, and why; with the value's revision, so that each is told once.
    poisoned: BTreeMap<String, (u64, String)>,
}

impl Members {
    /// Takes in a view under a prefix. What has changed for the list: members that are new, changed or gone.
    /// A value that cannot be understood costs that change alone: its member stays as it was.
    pub fn take(&mut self, prefix: &str, view: &View) -> Vec<Listing> {
        let (members, drains) = (format!("{prefix}/members/"), format!("{prefix}/drains/"));
        let mut now = BTreeMap::new();
        let mut poisoned = BTreeMap::new();
        for (key, entry) in view.under(members.as_bytes()) {
            let Ok(name) = std::str::from_utf8(&key[members.len()..]) else { continue };
            if name.is_empty() || name.len() > 64 {
                poisoned.insert(
                    name.chars().take(64).collect(),
                    (entry.revision, "not a member's name".to_string()),
                );
                continue;
            }
            let listing = match member(name, &entry.value) {
                Ok(listing) => Some(listing),
                Err(fault) => {
                    poisoned.insert(name.to_string(), (entry.revision, fault));
                    self.understood.get(name).cloned()
                }
            };
            let Some(mut listing) = listing else { continue };
            let drained = view.get([drains.as_bytes(), name.as_bytes()].concat().as_slice()).is_some();
            if drained {
                listing.phase = Phase::Leaving;
            }
            now.insert(name.to_string(), listing);
        }
        let mut changes: Vec<Listing> = now
            .iter()
            .filter(|(name, new)| self.understood.get(*name) != Some(new))
            .map(|(_, l)| l.clone())
            .collect();
        let gone = self.understood.iter().filter(|(name, _)| !now.contains_key(*name));
        changes.extend(gone.map(|(_, listing)| Listing { phase: Phase::Left, ..listing.clone() }));
        (self.understood, self.poisoned) = (now, poisoned);
        changes
    }

    /// All members, as they were last understood.
    pub fn all(&self) -> impl Iterator<Item = &Listing> {
        self.understood.values()
    }

    /// What could not be understood, by name, and why.
    pub fn poisoned(&self) -> impl Iterator<Item = (&str, &str)> {
        self.poisoned.iter().map(|(name, (_, why))| (name.as_str(), why.as_str()))
    }
}
