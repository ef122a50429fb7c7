//! The members as the list describes them, and their roles as far as they are known.

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

/// Interval of the probes for a primary that a session waits for (seconds).
pub(super) const PRIMARY_PROBE_INTERVAL: f64 = 0.5;

/// A member as the list describes it.
pub(super) struct Member {
    pub(super) address: SocketAddr,
    pub(super) active: bool,
    pub(super) group: u32,
    /// Whether it is the primary, as last reported by it.
    pub(super) primary: Option<bool>,
}

impl Sessions {
    /// Applies an update of the list.
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
        let drain_until = context.reactor.now() + self.pool.drain_s;
        let drained: Vec<Slot> = self
            .servers
            .iter()
            .filter(|(_, server)| {
                let member = self.members.get(&server.member);
                !member.is_some_and(|member| member.active && member.address == server.address)
            })
            .map(|(server_slot, _)| server_slot)
            .collect();
        for server_slot in drained {
            let Some(server) = self.servers.get_mut(server_slot) else { continue };
            server.drain_until = server.drain_until.or(Some(drain_until));
            match (server.state, server.client) {
                (ServerState::Idle, _) => self.close_connection(server_slot),
                (ServerState::InUse, Some(slot)) => {
                    let Some(conn) = self.clients.get_mut(slot) else { continue };
                    // Between transactions the session can continue on another member.
                    let open = conn.session.as_ref().is_some_and(|s| s.in_transaction() || s.awaits_reply());
                    if !open {
                        self.revoke_connection(slot, DetachReason::Drained, Outcome::Ok, context);
                    }
                }
                _ => {}
            }
        }
    }

    /// Records the role that a member has reported or shown.
    pub(super) fn record_role(&mut self, member: &MemberId, primary: Option<bool>, context: &mut Context) {
        let Some(entry) = self.members.get_mut(member) else { return };
        if let Some(primary) = primary.filter(|_| entry.primary != primary) {
            context.events.push_back(Event::RoleReported(member.clone(), primary));
        }
        entry.primary = primary;
    }

    /// Opens connections to the members that may be the primary which a session waits for, if no primary is
    /// known: each reports its role during startup. Any session can use these connections.
    pub(super) fn probe_for_primary(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        if now < self.next_primary_probe {
            return;
        }
        let has_primary = |group: u32| {
            let mut members = self.members.values();
            members.any(|member| member.group == group && member.active && member.primary == Some(true))
        };
        let waiting =
            self.clients.iter().filter_map(|(_, conn)| Some((conn, conn.pending_request.as_ref()?)));
        let waiting = waiting.filter(|(_, pending)| pending.primary && !has_primary(pending.group));
        let Some((user, database, group)) = waiting
            .map(|(conn, pending)| (self.server_user(conn), conn.database.clone(), pending.group))
            .next()
        else {
            return;
        };
        self.next_primary_probe = now + PRIMARY_PROBE_INTERVAL;
        let members = self.members.iter().filter(|(_, member)| member.group == group && member.active);
        let members: Vec<_> = members.map(|(name, member)| (name.clone(), member.address)).collect();
        for (member, address) in members {
            let key = Key { member: (*member).into(), user: user.clone(), database: database.clone() };
            let already_opening = self.servers.iter().any(|(_, server)| {
                server.key == key
                    && matches!(
                        server.state,
                        ServerState::Connecting | ServerState::NegotiatingTls | ServerState::Starting
                    )
            });
            if !already_opening && self.pools.can_open(&key) {
                self.open_connection(None, key, member, address, context);
            }
        }
    }

    /// Returns the user name with which servers are connected to for a client.
    pub(super) fn server_user(&self, conn: &ClientConnection) -> Rc<str> {
        self.pool.server_user.as_deref().map_or_else(|| conn.user.clone(), Into::into)
    }
}
