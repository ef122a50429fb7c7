//! The list of members: its entries, and the form in which discovery and the configuration provide it.
#![warn(missing_docs)]

pub mod connection;
pub mod follow;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use json::Node;
use routing::interface::{MemberId, Phase};

const UNSPECIFIED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The list of members, or what has changed in it.
#[derive(Clone, Debug, Default)]
pub struct ListUpdate {
    /// The version of the list, as counted by its source.
    pub version: u64,
    /// True if it is the full list.
    pub is_full: bool,
    /// Its entries.
    pub listings: Vec<Listing>,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The member's name, the same at every pooler.
    pub name: MemberId,
    /// The address that the member listens on.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The group that it belongs to.
    pub group: u32,
    /// Its phase: serving, draining or removed.
    pub phase: Phase,
    /// When the member last started (Unix seconds); 0 means long ago.
    pub started_at: f64,
}

/// Parses one message of the list from its JSON text; `None` if it is malformed.
pub fn parse(text: &str) -> Option<ListUpdate> {
    json::parse(text).ok().and_then(|value| parse_update(Node::new(&value)))
}

/// Parses one message of the list; `None` if it is malformed. A single entry that cannot be parsed is left
/// out, since the other entries are usable without it.
pub fn parse_update(root: Node) -> Option<ListUpdate> {
    let listings = root.at("endpoints").items()?.iter().filter_map(|entry| parse_entry(Node::new(entry)));
    Some(ListUpdate {
        version: root.at("index").number()? as u64,
        is_full: root.at("snapshot").flag(),
        listings: listings.collect(),
    })
}

fn parse_entry(entry: Node) -> Option<Listing> {
    let phase = match entry.at("status").text()? {
        "SERVING" => Phase::Active,
        "DRAINING" => Phase::Leaving,
        "DELETED" => Phase::Left,
        _ => return None,
    };
    let address = entry.at("address").text().and_then(|address| address.parse().ok());
    Some(Listing {
        name: entry.at("name").text()?.into(),
        // A removed member may have no address any more; its removal must be recorded all the same.
        address: address.or((phase == Phase::Left).then_some(UNSPECIFIED_ADDRESS))?,
        zone: entry.at("zone").text()?.to_string(),
        group: entry.at("group").number()? as u32,
        phase,
        started_at: entry.at("since_ms").number().unwrap_or(0.0) / 1000.0,
    })
}
