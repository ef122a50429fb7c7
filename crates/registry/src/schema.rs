//! Members and drains as keys and values. A member's key is `PREFIX/members/NAME`, an operator's drain of it
//! `PREFIX/drains/NAME`; the value of a drain is only for people.
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

/// The supported version of the values.
pub const VERSION: u32 = 1;
/// Maximum length of a value that is parsed (bytes); a member's value has some hundred.
pub const MAX_VALUE_BYTES: usize = 4 * 1024;
/// Maximum number of malformed members that are stored with their errors.
const MAX_MALFORMED: usize = 1_000;

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

/// Parses a member's value; the error describes what is wrong with it.
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

/// The members of a view, each with its last valid value.
#[derive(Default)]
pub struct Members {
    /// The parsed members with the operators' drains applied.
    effective: BTreeMap<String, Listing>,
    /// The parsed values of the members.
    parsed: BTreeMap<String, Listing>,
    /// Malformed members, each with its error.
    malformed: BTreeMap<String, String>,
}

impl Members {
    /// Applies a view under a prefix, or only the given keys of it. Returns the members that are new, changed
    /// or removed. If a value is malformed, its member keeps its last valid value.
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
                now.chain(self.effective.keys().cloned()).collect()
            }
        };
        names.iter().filter_map(|name| self.update_member(name, &members, &drains, view)).collect()
    }

    /// Updates one member from a view; returns it if it has changed.
    fn update_member(&mut self, name: &str, members: &str, drains: &str, view: &View) -> Option<Listing> {
        let known = self.effective.get(name);
        let Some(entry) = view.get(format!("{members}{name}").as_bytes()) else {
            self.malformed.remove(name);
            self.parsed.remove(name);
            return self.effective.remove(name).map(|listing| Listing { phase: Phase::Left, ..listing });
        };
        let valid_name = (1..=64).contains(&name.len());
        let parsed = if valid_name {
            parse_member(name, &entry.value)
        } else {
            Err("member name is not 1 to 64 bytes long".into())
        };
        let mut listing = match parsed {
            Ok(listing) => {
                self.malformed.remove(name);
                listing
            }
            Err(error) => {
                if self.malformed.len() < MAX_MALFORMED {
                    self.malformed.insert(name.chars().take(64).collect(), error);
                }
                // The last valid value stays; the operator's drain is applied nevertheless.
                self.parsed.get(name).cloned()?
            }
        };
        self.parsed.insert(name.to_string(), listing.clone());
        if view.get(format!("{drains}{name}").as_bytes()).is_some() {
            listing.phase = Phase::Leaving;
        }
        let changed = known != Some(&listing);
        self.effective.insert(name.to_string(), listing.clone());
        changed.then_some(listing)
    }

    /// All members, each with its last valid value.
    pub fn all(&self) -> impl Iterator<Item = &Listing> {
        self.effective.values()
    }

    /// Returns the malformed members by name, each with its error.
    pub fn malformed(&self) -> impl Iterator<Item = (&str, &str)> {
        self.malformed.iter().map(|(name, error)| (name.as_str(), error.as_str()))
    }
}
