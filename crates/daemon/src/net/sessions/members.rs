//! The servers as the list names them, and which of them is known to be the primary.

use std::net::SocketAddr;
use std::rc::Rc;

use listing::Listing;
use pooling::{DetachReason, Key};
use routing::interface::{ListKind, MemberId, Outcome, Phase};

use super::client::ClientConnection;
use super::server::ServerState;
use super::Sessions;
use crate::net::event_loop::Slot;
use crate::net::{Context, Event};

/// How often servers are asked for the primary that somebody waits for (seconds).
pub(super) const PRIMARY_PROBE_INTERVAL: f64 = 0.5;

/// A server as the list names it.
pub(super) struct Member {
    pub(super) address: SocketAddr,
    pub(super) active: bool,
    pub(super) group: u32,
    /// Whether it is the primary, as far as it has said.
    pub(super) primary: Option<bool>,
}

impl Sessions {
    /// Takes in what the list says.
    pub fn apply_list(&mut self, kind: ListKind, listings: &[Listing], context: &mut Context) {
        if kind != ListKind::Incremental {
            self.members.values_mut().for_each(|member| member.active = false);
        }
        for Listing { name, address, phase, group, .. } in listings {
            if *phase == Phase::Left {
                self.members.remove(name);
                continue;
            }
            let (address, group, active) = (*address, *group, *phase == Phase::Active);
            let known = self.members.get(name).filter(|known| known.address == address);
            let primary = known.and_then(|known| known.primary);
            self.members.insert(name.clone(), Member { address, active, group, primary });
        }
        if kind != ListKind::Incremental {
            self.members.retain(|name, _| listings.iter().any(|listing| listing.name == *name));
        }
        let until = context.reactor.now() + self.pool.drain_s;
        let gone: Vec<Slot> = self
            .servers
            .iter()
            .filter(|(_, backend)| {
                let member = self.members.get(&backend.member);
                !member.is_some_and(|member| member.active && member.address == backend.address)
            })
            .map(|(place, _)| place)
            .collect();
        for place in gone {
            let Some(backend) = self.servers.get_mut(place) else { continue };
            backend.drain_until = backend.drain_until.or(Some(until));
            match (backend.state, backend.client) {
                (ServerState::Idle, _) => self.close_connection(place),
                (ServerState::InUse, Some(slot)) => {
                    let Some(conn) = self.conns.get_mut(slot) else { continue };
                    // Between transactions the next one would be new to it.
                    let open = conn.session.as_ref().is_some_and(|s| s.in_transaction() || s.awaits_reply());
                    if !open {
                        self.revoke_connection(slot, DetachReason::Drained, Outcome::Ok, context);
                    }
                }
                _ => {}
            }
        }
    }

    /// A server has said, or shown, what it is.
    pub(super) fn record_role(&mut self, member: &MemberId, primary: Option<bool>, context: &mut Context) {
        let Some(known) = self.members.get_mut(member) else { return };
        if let Some(primary) = primary.filter(|_| known.primary != primary) {
            context.events.push_back(Event::RoleReported(member.clone(), primary));
        }
        known.primary = primary;
    }

    /// Opens connections to servers that may be the primary which somebody waits for, where none is known to be: each
    /// says what it is as it takes a connection. They can be used by whoever comes.
    pub(super) fn probe_for_primary(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        if now < self.next_primary_probe {
            return;
        }
        let known = |group: u32| {
            let mut members = self.members.values();
            members.any(|member| member.group == group && member.active && member.primary == Some(true))
        };
        let waiting = self.conns.iter().filter_map(|(_, conn)| Some((conn, conn.pending_request.as_ref()?)));
        let waiting = waiting.filter(|(_, wanted)| wanted.primary && !known(wanted.group));
        let Some((user, database, group)) = waiting
            .map(|(conn, wanted)| (self.server_user(conn), conn.database.clone(), wanted.group))
            .next()
        else {
            return;
        };
        self.next_primary_probe = now + PRIMARY_PROBE_INTERVAL;
        let members = self.members.iter().filter(|(_, member)| member.group == group && member.active);
        let members: Vec<_> = members.map(|(name, member)| (name.clone(), member.address)).collect();
        for (member, address) in members {
            let key = Key { member: (*member).into(), user: user.clone(), database: database.clone() };
            let asked = self.servers.iter().any(|(_, b)| {
                b.key == key
                    && matches!(
                        b.state,
                        ServerState::Connecting | ServerState::NegotiatingTls | ServerState::Starting
                    )
            });
            if !asked && self.pools.can_open(&key) {
                self.open_connection(None, key, member, address, context);
            }
        }
    }

    /// As whom servers are connected to for a client.
    pub(super) fn server_user(&self, conn: &ClientConnection) -> Rc<str> {
        self.pool.server_user.as_deref().map_or_else(|| conn.user.clone(), Into::into)
    }
}
