//! Which connection makes room for a new one when clients hold all places.

use super::connection::Connection;
use super::Clients;
use crate::net::event_loop::{Slot, Slots, Source};
use crate::net::Context;

/// Maximum number of connections that are read, in search of one that can make room, for a new connection. What
/// remains is read in the listener's next turn.
const MAX_READ_PER_ACCEPT: usize = 16;

impl Clients {
    /// Returns the connection that makes room for a new one. Places of clients that neither have a request
    /// running nor begin one in time are given up first, so that new clients that do are not kept waiting:
    ///
    /// 1. Where unfinished messages hold more than half of all places, the one begun first.
    /// 2. An idle connection: one that has sent no request yet, else the one that has been idle for longest. Clients
    ///    that have sent requests make no room for ever more that have not, once these hold more than half.
    /// 3. Any other unfinished message, the one begun first.
    pub(super) fn replaceable(&mut self, context: &mut Context) -> Option<Slot> {
        let half = self.limit / 2;
        let prefers_unfinished = self.count(Connection::is_unfinished) > half;
        if let Some(slot) = prefers_unfinished.then(|| self.longest_unfinished(context)).flatten() {
            return Some(slot);
        }
        let unproven = |connection: &Connection| !connection.is_ending() && !connection.has_queried();
        let spares_proven = self.count(unproven) > half;
        let eligible = |connection: &Connection| !spares_proven || !connection.has_queried();
        let idle = self.longest_idle(eligible, MAX_READ_PER_ACCEPT, context);
        idle.or_else(|| self.longest_unfinished(context))
    }

    /// Returns the connection that has been idle for longest among those that `eligible` accepts. Reads at most
    /// `max_read` in search of it.
    pub(super) fn longest_idle(
        &mut self,
        eligible: impl Fn(&Connection) -> bool,
        max_read: usize,
        context: &mut Context,
    ) -> Option<Slot> {
        let is_eligible = |connection: &Connection| connection.is_idle() && eligible(connection);
        self.first_still_eligible(is_eligible, |connection| connection.active, max_read, context)
    }

    /// Returns the connection whose unfinished message was begun first.
    fn longest_unfinished(&mut self, context: &mut Context) -> Option<Slot> {
        self.first_still_eligible(
            Connection::is_unfinished,
            Connection::must_act_since,
            MAX_READ_PER_ACCEPT,
            context,
        )
    }

    /// Returns the connection that is first in the order of `since` among those that `eligible` accepts. Reads what
    /// has arrived on it meanwhile, so that a request is carried out instead.
    fn first_still_eligible(
        &mut self,
        eligible: impl Fn(&Connection) -> bool,
        since: impl Fn(&Connection) -> f64,
        max_read: usize,
        context: &mut Context,
    ) -> Option<Slot> {
        for _ in 0..max_read {
            let slot = first_by(&self.connections, &eligible, &since)?;
            let connection = self.connections.get_mut(slot)?;
            let active = connection.active;
            connection.note_readable();
            let result = connection.process(slot, self.serving, context);
            if result.is_ok() && eligible(connection) {
                connection.active = active;
                return Some(slot);
            }
            self.finish_step(slot, result, context);
        }
        context.reactor.continue_later(Source::ClientListener);
        None
    }

    /// Closes a connection that makes room for another; with an error if its client has begun a message.
    pub(super) fn make_room(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if !connection.is_unfinished() {
            return self.linger(slot, context);
        }
        context.counters.unfinished_closed += 1;
        let result = connection.refuse_unfinished(slot, self.serving, context);
        self.finish_step(slot, result, context);
    }

    /// Returns the number of connections that `eligible` accepts.
    pub(super) fn count(&self, eligible: impl Fn(&Connection) -> bool) -> usize {
        self.connections.iter().filter(|(_, connection)| eligible(connection)).count()
    }
}

/// Returns the least recently active connection among those that `eligible` accepts.
pub(super) fn least_recently_active(
    connections: &Slots<Connection>,
    eligible: impl Fn(&Connection) -> bool,
) -> Option<Slot> {
    first_by(connections, eligible, |connection| connection.active)
}

fn first_by(
    connections: &Slots<Connection>,
    eligible: impl Fn(&Connection) -> bool,
    since: impl Fn(&Connection) -> f64,
) -> Option<Slot> {
    let candidates = connections.iter().filter(|(_, connection)| eligible(connection));
    candidates.min_by(|(_, a), (_, b)| since(a).total_cmp(&since(b))).map(|(slot, _)| slot)
}
