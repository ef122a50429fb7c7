//! Unanswered requests of platform clients, by connection and in the order of their commands, and which of
//! them have to wait for an earlier request of the same connection: for the order of writes, or since their
//! connection has its share of the requests that run.

use std::collections::HashMap;

use routing::interface::{Arrival, Consistency, RequestId};

use crate::net::clients::CommandNumber;
use crate::net::event_loop::{EarliestTimer, Reactor, Slot, TimerKind};

/// A request waits for earlier requests of its connection for at most this share of its remaining time. The
/// rest is left to the policy, which may hold a request for a part of its time as well.
const WAIT_SHARE: f64 = 0.25;

/// While this many requests run, a connection may not add to more than `MAX_RUNNING_WHILE_CROWDED` of its own. Guards
/// the members' queues, and so the answers of all others, against a client that sends many requests ahead.
const CROWDED_RUNNING: usize = 64;
const MAX_RUNNING_WHILE_CROWDED: usize = 8;

/// The data that a request accesses, and how. Determines whether two requests of a connection may run
/// concurrently.
#[derive(Clone, Debug)]
pub(super) struct Access {
    pub group: u32,
    /// Key of the row that the request names; without a key it may access any row of its group.
    pub key: Option<String>,
    pub consistency: Consistency,
}

impl Access {
    /// Returns true if a later request of the same connection has to wait until this one is answered. A read
    /// that must see its client's writes waits for writes of its row; a write waits for all requests for its
    /// row.
    fn precedes(&self, later: &Access) -> bool {
        let same_row = self.key.is_none() || later.key.is_none() || self.key == later.key;
        let ordered = match later.consistency {
            Consistency::Write => true,
            Consistency::Session | Consistency::Fresh => self.consistency == Consistency::Write,
            Consistency::Any | Consistency::Bounded(_) => false,
        };
        ordered && same_row && self.group == later.group
    }
}

/// A request that waits for earlier requests of its connection.
struct Waiting {
    arrival: Arrival,
    /// When the request is refused if it still waits (Unix seconds).
    expires_at: f64,
}

struct Entry {
    command: CommandNumber,
    id: RequestId,
    access: Access,
    waiting: Option<Box<Waiting>>,
}

/// Unanswered requests by connection. A connection has at most as many as it has commands without a reply.
#[derive(Default)]
pub(super) struct InFlight {
    by_client: HashMap<Slot, Vec<Entry>>,
    /// Number of requests that do not wait.
    running: usize,
    /// Pending timers for requests that wait, one for each connection.
    timers: HashMap<Slot, EarliestTimer>,
}

impl InFlight {
    /// Returns the number of connections with unanswered requests.
    pub fn client_count(&self) -> usize {
        self.by_client.len()
    }

    /// Returns true if a connection has unanswered requests.
    pub fn has_requests(&self, client: Slot) -> bool {
        self.by_client.contains_key(&client)
    }

    /// Adds a request. Returns its arrival if it may be carried out at once; otherwise it waits until it is
    /// released or expires ([`InFlight::expired`]).
    pub fn insert(
        &mut self,
        (client, command): (Slot, CommandNumber),
        access: Access,
        arrival: Arrival,
        now: f64,
    ) -> Option<Arrival> {
        let entries = self.by_client.entry(client).or_default();
        let preceded = entries.iter().any(|earlier| earlier.access.precedes(&access));
        let id = arrival.id.clone();
        if !preceded && has_share(self.running, running_of(entries)) {
            self.running += 1;
            entries.push(Entry { command, id, access, waiting: None });
            return Some(arrival);
        }
        let expires_at = now + arrival.time_left * WAIT_SHARE;
        let waiting = Some(Box::new(Waiting { arrival, expires_at }));
        entries.push(Entry { command, id, access, waiting });
        None
    }

    /// Removes a request that is answered. Returns its command, and the requests that no longer have to wait.
    pub fn finish(&mut self, client: Slot, id: &RequestId) -> Option<(CommandNumber, Vec<RequestId>)> {
        let entries = self.by_client.get_mut(&client)?;
        let index = entries.iter().position(|entry| entry.id == *id)?;
        let Entry { command, waiting, .. } = entries.remove(index);
        self.running -= usize::from(waiting.is_none());
        let released = released(entries, self.running);
        if entries.is_empty() {
            self.by_client.remove(&client);
        }
        Some((command, released))
    }

    /// Takes the arrival of a request that no longer has to wait.
    pub fn release(&mut self, client: Slot, id: &RequestId) -> Option<Arrival> {
        let entries = self.by_client.get_mut(&client)?;
        let entry = entries.iter_mut().find(|entry| entry.id == *id)?;
        let waiting = entry.waiting.take()?;
        self.running += 1;
        Some(waiting.arrival)
    }

    /// Waiting requests of a connection whose time has expired.
    pub fn expired(&self, client: Slot, now: f64) -> Vec<RequestId> {
        let entries = self.by_client.get(&client).map(Vec::as_slice).unwrap_or_default();
        let expired =
            entries.iter().filter(|entry| entry.waiting.as_ref().is_some_and(|w| now >= w.expires_at));
        expired.map(|entry| entry.id.clone()).collect()
    }

    /// Sets the timer for the first waiting request of a connection that expires, unless an earlier one is pending.
    pub fn set_timer(&mut self, client: Slot, reactor: &mut Reactor) {
        let entries = self.by_client.get(&client).map(Vec::as_slice).unwrap_or_default();
        let waiting = entries.iter().filter_map(|entry| entry.waiting.as_ref());
        let next = waiting.map(|waiting| waiting.expires_at).fold(f64::INFINITY, f64::min);
        if next.is_finite() {
            self.timers.entry(client).or_default().set(next, TimerKind::InFlight(client), reactor);
        }
    }

    /// Records that the timer of a connection has fired.
    pub fn timer_fired(&mut self, client: Slot) {
        self.timers.remove(&client);
    }

    /// Removes all requests of a connection and returns their ids, oldest first.
    pub fn take_all(&mut self, client: Slot) -> Vec<RequestId> {
        self.timers.remove(&client);
        let entries = self.by_client.remove(&client).unwrap_or_default();
        self.running -= running_of(&entries);
        entries.into_iter().map(|entry| entry.id).collect()
    }
}

/// Returns the number of a connection's requests that do not wait.
fn running_of(entries: &[Entry]) -> usize {
    entries.iter().filter(|entry| entry.waiting.is_none()).count()
}

/// Returns true if another request of a connection may run, beside those of all and its own that do.
fn has_share(running: usize, own: usize) -> bool {
    running < CROWDED_RUNNING || own < MAX_RUNNING_WHILE_CROWDED
}

/// Returns the waiting requests of a connection that no longer have to wait, while `running` requests of all
/// connections run.
fn released(entries: &[Entry], running: usize) -> Vec<RequestId> {
    let is_free = |(index, entry): &(usize, &Entry)| {
        entry.waiting.is_some()
            && !entries[..*index].iter().any(|earlier| earlier.access.precedes(&entry.access))
    };
    let own = running_of(entries);
    let free = entries.iter().enumerate().filter(is_free).enumerate();
    let with_share = free.take_while(|(count, _)| has_share(running + count, own + count));
    with_share.map(|(_, (_, entry))| entry.id.clone()).collect()
}

#[cfg(test)]
mod tests;
