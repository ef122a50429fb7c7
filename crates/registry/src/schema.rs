//! Members and drains as keys and values. A member stands under `PREFIX/members/NAME`, an operator's drain of it
//! under `PREFIX/drains/NAME`; what the drain's value says is for people.
//!
//! ```json
//! {"v":1,"address":"10.1.0.18:5432","zone":"a","group":3,"status":"SERVING","since_ms":0}
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use listing::Listing;
use routing::interface::Phase;
use serde::Deserialize;

use crate::sync::View;

/// The version of the values that are understood.
pub const VERSION: u32 = 1;
/// Longest value that is read (bytes); a member's line has some hundred.
pub const MAX_VALUE_BYTES: usize = 4 * 1024;
/// Most members whose values could not be understood that are told apart.
const MOST_POISONED: usize = 1_000;

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
pub fn parse_member(name: &str, value: &[u8]) -> Result<Listing, String> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(format!("{} bytes; at most {MAX_VALUE_BYTES} are read", value.len()));
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
        started_at: value.since_ms / 1000.0,
    })
}

/// The members that a view holds, each as it was last understood.
#[derive(Default)]
pub struct Members {
    /// With the operators' drains laid over what the members' own values say.
    understood: BTreeMap<String, Listing>,
    /// What the members' own values say.
    read: BTreeMap<String, Listing>,
    /// What could not be understood, and why.
    poisoned: BTreeMap<String, String>,
}

impl Members {
    /// Takes in a view under a prefix, or only these keys of it. What has changed for the list: members that are
    /// new, changed or gone. A value that cannot be understood costs that change alone: its member stays as it
    /// was.
    pub fn update(&mut self, prefix: &str, view: &View, keys: Option<&[Vec<u8>]>) -> Vec<Listing> {
        let (members, drains) = (format!("{prefix}/members/"), format!("{prefix}/drains/"));
        let name = |key: &[u8]| {
            let name =
                key.strip_prefix(members.as_bytes()).or_else(|| key.strip_prefix(drains.as_bytes()))?;
            std::str::from_utf8(name).ok().map(String::from)
        };
        let names: BTreeSet<String> = match keys {
            Some(keys) => keys.iter().filter_map(|key| name(key)).collect(),
            None => {
                let now = view.with_prefix(members.as_bytes()).filter_map(|(key, _)| name(key));
                now.chain(self.understood.keys().cloned()).collect()
            }
        };
        names.iter().filter_map(|name| self.one(name, &members, &drains, view)).collect()
    }

    /// Takes in what a view says of one member; what has changed for the list, if anything.
    fn one(&mut self, name: &str, members: &str, drains: &str, view: &View) -> Option<Listing> {
        let known = self.understood.get(name);
        let Some(entry) = view.get(format!("{members}{name}").as_bytes()) else {
            self.poisoned.remove(name);
            self.read.remove(name);
            return self.understood.remove(name).map(|listing| Listing { phase: Phase::Left, ..listing });
        };
        let sound = (1..=64).contains(&name.len());
        let read = if sound { parse_member(name, &entry.value) } else { Err("not a member's name".into()) };
        let mut listing = match read {
            Ok(listing) => {
                self.poisoned.remove(name);
                listing
            }
            Err(fault) => {
                if self.poisoned.len() < MOST_POISONED {
                    self.poisoned.insert(name.chars().take(64).collect(), fault);
                }
                // As it was; a drain of the operator's is looked at all the same.
                self.read.get(name).cloned()?
            }
        };
        self.read.insert(name.to_string(), listing.clone());
        if view.get(format!("{drains}{name}").as_bytes()).is_some() {
            listing.phase = Phase::Leaving;
        }
        let changed = known != Some(&listing);
        self.understood.insert(name.to_string(), listing.clone());
        changed.then_some(listing)
    }

    /// All members, as they were last understood.
    pub fn all(&self) -> impl Iterator<Item = &Listing> {
        self.understood.values()
    }

    /// What could not be understood, by name, and why.
    pub fn malformed(&self) -> impl Iterator<Item = (&str, &str)> {
        self.poisoned.iter().map(|(name, why)| (name.as_str(), why.as_str()))
    }
}
