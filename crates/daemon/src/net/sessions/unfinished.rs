//! Clients that begin a login or a message and do not finish it: their time limit, and how they make room for new
//! clients.

use pgwire::{error_response, sqlstate};

use super::client::{ClientConnection, Stage, Step};
use super::Sessions;
use crate::net::event_loop::{Slot, Source};
use crate::net::Context;

/// Time limit for the rest of a message that a client begins between two requests (seconds). In a transaction, a batch
/// or a copy, clients may send parts of messages as their buffers fill.
const MESSAGE_TIMEOUT: f64 = 2.0;
/// Maximum number of clients that are read, in search of one that can make room, for a new one.
const MAX_READ_PER_ACCEPT: usize = 16;

/// What a client has not finished; those that come first make room first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Unfinished {
    /// It is sent the error that ends its connection.
    Ending,
    /// It has not completed its first message.
    Startup,
    /// It has begun a message between two requests.
    Message,
    /// It has not proven who it is.
    Login,
}

impl ClientConnection {
    /// Records since when a message has been incomplete that the client has begun between two requests. The time
    /// counts anew after a message that was complete.
    pub(super) fn update_unfinished(&mut self, completed: bool, now: f64) {
        if completed || !self.has_unfinished_message() {
            self.unfinished_since = None;
        }
        if self.has_unfinished_message() {
            self.unfinished_since.get_or_insert(now);
        }
    }

    /// Returns true if the time limit of a message that the client has begun is over.
    pub(super) fn message_timed_out(&self, now: f64) -> bool {
        self.unfinished_since.is_some_and(|since| now - since > MESSAGE_TIMEOUT)
    }

    fn has_unfinished_message(&self) -> bool {
        let inbox = &self.transport.inbox;
        let incomplete = || !inbox.is_empty() && pgwire::message_length(inbox) > inbox.len();
        let at_rest = self.session.as_ref().is_some_and(|s| s.is_between_requests() && !s.awaits_reply());
        self.stage == Stage::Running && at_rest && incomplete()
    }

    /// Returns what the client has not finished, and since when.
    fn unfinished(&self) -> Option<(Unfinished, f64)> {
        match self.stage {
            Stage::Ending => Some((Unfinished::Ending, self.state_since)),
            Stage::Startup => Some((Unfinished::Startup, self.state_since)),
            Stage::Login => Some((Unfinished::Login, self.state_since)),
            Stage::Running => self.unfinished_since.map(|since| (Unfinished::Message, since)),
            // The delay of its answer guards the passwords.
            Stage::Rejected => None,
        }
    }
}

impl Sessions {
    /// Returns a client that can make room for a new one: it has not finished a login or a message.
    pub(super) fn replaceable(&mut self, context: &mut Context) -> Option<Slot> {
        for _ in 0..MAX_READ_PER_ACCEPT {
            let slot = self.longest_unfinished()?;
            // What has arrived meanwhile may complete it.
            let before = self.clients.get(slot).and_then(ClientConnection::unfinished);
            self.on_ready(slot, context);
            if self.clients.get(slot).and_then(ClientConnection::unfinished) == before {
                return Some(slot);
            }
        }
        context.reactor.continue_later(Source::SessionListener);
        None
    }

    fn longest_unfinished(&self) -> Option<Slot> {
        let unfinished =
            self.clients.iter().filter_map(|(slot, conn)| conn.unfinished().map(|state| (state, slot)));
        let first = unfinished
            .min_by(|((a, a_since), _), ((b, b_since), _)| a.cmp(b).then(a_since.total_cmp(b_since)));
        first.map(|(_, slot)| slot)
    }

    /// Closes the connection of a client that makes room for another.
    pub(super) fn refuse_unfinished(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.clients.get_mut(slot) else { return };
        if conn.stage != Stage::Ending {
            context.counters.unfinished_closed += 1;
            let text = "too many clients: message not completed";
            let error = error_response("FATAL", sqlstate::TOO_MANY_CONNECTIONS, text, None);
            let _ = conn.transport.outbox.push(&error);
            let _ = conn.transport.process_io(&mut conn.stream);
        }
        self.remove_client(slot, context);
    }

    /// Ends a session whose client has not completed a message in time.
    pub(super) fn end_unfinished(&mut self, slot: Slot, context: &mut Context) {
        let Some(conn) = self.clients.get_mut(slot) else { return };
        let Some(session) = &mut conn.session else { return };
        context.counters.clients_timed_out += 1;
        let (mut actions, text) = (Vec::new(), "message not completed in time");
        session.end_with_error(sqlstate::PROTOCOL_VIOLATION, text, &mut actions);
        match self.carry_out(slot, actions, context) {
            Step::Closed => self.remove_client(slot, context),
            _ => context.reactor.continue_later(Source::SessionClient(slot)),
        }
    }
}
