//! The list of db machines: its lines, and the form in which discovery and the configuration tell it.
#![warn(missing_docs)]

pub mod connection;
pub mod follow;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use json::Node;
use routing::interface::{MemberId, Phase};

const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The list of db machines, or what has changed in it.
#[derive(Clone, Debug, Default)]
pub struct ListUpdate {
    /// The version of the list, as its source counts them.
    pub version: u64,
    /// Whether it is the whole list.
    pub is_full: bool,
    /// Its lines.
    pub listings: Vec<Listing>,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The machine's name, the same at every pooler.
    pub name: MemberId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// Its group.
    pub group: u32,
    /// Where it stands in its life.
    pub phase: Phase,
    /// When it last started (Unix seconds); 0 means long ago.
    pub started_at: f64,
}

/// Reads one message of the list from its JSON text; none where it is not of the agreed form.
pub fn parse(text: &str) -> Option<ListUpdate> {
    json::parse(text).ok().and_then(|value| parse_update(Node::new(&value)))
}

/// Reads one message of the list; none where it is not of the agreed form. A single entry that cannot be
/// read is left out: the others are of use without it.
pub fn parse_update(root: Node) -> Option<ListUpdate> {
    let listings = root.at("endpoints").items()?.iter().filter_map(|entry| listing(Node::new(entry)));
    Some(ListUpdate {
        version: root.at("index").number()? as u64,
        is_full: root.at("snapshot").flag(),
        listings: listings.collect(),
    })
}

fn listing(entry: Node) -> Option<Listing> {
    let phase = match entry.at("status").text()? {
        "SERVING" => Phase::Active,
        "DRAINING" => Phase::Leaving,
        "DELETED" => Phase::Left,
        _ => return None,
    };
    let address = entry.at("address").text().and_then(|address| address.parse().ok());
    Some(Listing {
        name: entry.at("name").text()?.into(),
        // One that is gone may have no address any more; it must be known to be gone all the same.
        address: address.or((phase == Phase::Left).then_some(NOWHERE))?,
        zone: entry.at("zone").text()?.to_string(),
        group: entry.at("group").number()? as u32,
        phase,
        started_at: entry.at("since_ms").number().unwrap_or(0.0) / 1000.0,
    })
}
