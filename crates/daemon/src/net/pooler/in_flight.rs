//! The requests of platform clients that have no final answer yet, by connection and in the order of their commands; which of
//! them wait for an earlier one of the same connection.

use std::collections::HashMap;

use routing::interface::{Arrival, Consistency, RequestId};

use crate::net::clients::CommandNumber;
use crate::net::event_loop::Slot;

/// Share of a request's time for which it waits for earlier ones of its connection. What is left is for the decisions, which hold
/// a request for a part of its time themselves.
const WAIT_SHARE: f64 = 0.25;

/// What decides whether two requests of one connection may be carried out side by side.
#[derive(Clone, Debug)]
pub(super) struct Access {
    pub group: u32,
    /// The row that the request names; without one it may be any row of its group.
    pub key: Option<String>,
    pub consistency: Consistency,
}

impl Access {
    /// Whether a later request of the same connection has to wait until this one has its answer. A read that promises to see what
    /// its client has written waits for writes of its row; a write waits for all that concerns its row.
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

/// A request that waits for earlier ones of its connection.
struct Waiting {
    arrival: Arrival,
    /// When it is turned away if it still waits (seconds).
    until: f64,
}

struct Entry {
    command: CommandNumber,
    id: RequestId,
    access: Access,
    waiting: Option<Box<Waiting>>,
}

/// The requests without a final answer, by connection. A connection has as many at the most as commands without a reply.
#[derive(Default)]
pub(super) struct InFlight {
    by_client: HashMap<Slot, Vec<Entry>>,
}

impl InFlight {
    /// Connections with requests.
    pub fn client_count(&self) -> usize {
        self.by_client.len()
    }

    /// Whether a connection has requests.
    pub fn has_requests(&self, client: Slot) -> bool {
        self.by_client.contains_key(&client)
    }

    /// A request has come. Hands it back where it may be carried out at once; else tells when it is to be looked at again
    /// ([`InFlight::expired`]).
    pub fn insert(
        &mut self,
        (client, command): (Slot, CommandNumber),
        access: Access,
        arrival: Arrival,
        now: f64,
    ) -> Result<Arrival, f64> {
        let entries = self.by_client.entry(client).or_default();
        let waits = entries.iter().any(|earlier| earlier.access.precedes(&access));
        let id = arrival.id.clone();
        if !waits {
            entries.push(Entry { command, id, access, waiting: None });
            return Ok(arrival);
        }
        let until = now + arrival.time_left * WAIT_SHARE;
        let waiting = Some(Box::new(Waiting { arrival, until }));
        entries.push(Entry { command, id, access, waiting });
        Err(until)
    }

    /// A request has its final answer. Tells its command, and the requests that need not wait any more.
    pub fn finish(&mut self, client: Slot, id: &RequestId) -> Option<(CommandNumber, Vec<RequestId>)> {
        let entries = self.by_client.get_mut(&client)?;
        let index = entries.iter().position(|entry| entry.id == *id)?;
        let command = entries.remove(index).command;
        let released = released(entries);
        if entries.is_empty() {
            self.by_client.remove(&client);
        }
        Some((command, released))
    }

    /// Takes the arrival of a request that need not wait any more.
    pub fn release(&mut self, client: Slot, id: &RequestId) -> Option<Arrival> {
        let entries = self.by_client.get_mut(&client)?;
        let entry = entries.iter_mut().find(|entry| entry.id == *id)?;
        entry.waiting.take().map(|waiting| waiting.arrival)
    }

    /// The requests of a connection that have waited for as long as they may.
    pub fn expired(&self, client: Slot, now: f64) -> Vec<RequestId> {
        let entries = self.by_client.get(&client).map(Vec::as_slice).unwrap_or_default();
        let expired = entries.iter().filter(|entry| entry.waiting.as_ref().is_some_and(|w| now >= w.until));
        expired.map(|entry| entry.id.clone()).collect()
    }

    /// Takes all requests of a connection, the oldest first.
    pub fn take_all(&mut self, client: Slot) -> Vec<RequestId> {
        let entries = self.by_client.remove(&client).unwrap_or_default();
        entries.into_iter().map(|entry| entry.id).collect()
    }
}

/// Of the requests of a connection, those that wait and that no earlier one precedes.
fn released(entries: &[Entry]) -> Vec<RequestId> {
    let free = |(index, entry): &(usize, &Entry)| {
        entry.waiting.is_some()
            && !entries[..*index].iter().any(|earlier| earlier.access.precedes(&entry.access))
    };
    entries.iter().enumerate().filter(free).map(|(_, entry)| entry.id.clone()).collect()
}

#[cfg(test)]
mod tests;
