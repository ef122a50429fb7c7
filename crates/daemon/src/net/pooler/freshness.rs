//! Writes attempts with the permission of the routing policy: a read is compared with what it must reflect when its
//! connection is ready, before each further part of it, and after its last byte. A read that may not be written was
//! never sent, and goes elsewhere; its connection is kept.

use routing::interface::{self, RequestId};
use routing::permission::Denial;

use super::{trace, Pooler};
use crate::net::event_loop::Slot;
use crate::net::{Context, Event, WrittenAttempt};

impl Pooler {
    /// Writes the request that a connection is ready for, or takes it back if its member may be behind.
    pub(super) fn write_if_permitted(&mut self, slot: Slot, context: &mut Context) {
        let Some((id, attempt)) = self.servers.unwritten_attempt(slot) else {
            return self.servers.write(slot, context);
        };
        let now = context.reactor.now();
        if self.may_write(&id, attempt, now).is_ok() {
            return self.servers.write(slot, context);
        }
        if let Some(withdrawn) = self.servers.withdraw(slot, context) {
            let moments = trace::Moments {
                decided_at: withdrawn.decided_at,
                ready_at: withdrawn.ready_at,
                written_at: now,
            };
            trace::attempt_withdrawn(&id, attempt, &withdrawn.member, &moments);
            self.withdraw_attempt(id, attempt, context);
        }
    }

    /// Attaches a session to a server that is ready for it, or finds it another one if that may be behind.
    pub(super) fn attach_if_permitted(&mut self, slot: Slot, server: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let Some(sessions) = &mut self.sessions else { return };
        let Some((id, attempt)) = sessions.awaiting_permission(slot, server) else {
            return sessions.return_unclaimed(server, context);
        };
        let permission = self.may_write(&id, attempt, now);
        let Some(sessions) = &mut self.sessions else { return };
        match permission {
            Ok(fresh_until) => sessions.attach(slot, server, fresh_until, context),
            Err(_) => {
                if let Some((member, decided_at)) = sessions.withdraw_attempt_at(slot, server, context) {
                    let moments = trace::Moments { decided_at, ready_at: now, written_at: now };
                    trace::attempt_withdrawn(&id, attempt, &member, &moments);
                    self.withdraw_attempt(id, attempt, context);
                }
            }
        }
    }

    fn may_write(&mut self, id: &RequestId, attempt: usize, now: f64) -> Result<f64, Denial> {
        self.refresh_session_position(id, now);
        self.policy.may_write(id, attempt, now)
    }

    /// Counts an attempt that was not sent after all, which the policy is told of once it has taken its present decisions.
    fn withdraw_attempt(&mut self, id: RequestId, attempt: usize, context: &mut Context) {
        if let Some(request) = self.requests.get(&id) {
            context.counters.withdrawn.count(request.consistency);
            context.counters.attempts_sent -= 1;
        }
        context.events.push_back(Event::AttemptWithdrawn(id, attempt));
    }

    /// The last byte of an attempt has been written.
    pub(super) fn handle_written(&mut self, written: WrittenAttempt, context: &mut Context) {
        let WrittenAttempt { id, attempt, member, decided_at, ready_at, written_at } = written;
        self.refresh_session_position(&id, context.reactor.now());
        let known = self.policy.record_written(&id, attempt, written_at);
        trace::attempt_written(
            &id,
            attempt,
            &member,
            &trace::Moments { decided_at, ready_at, written_at },
            known,
        );
    }

    /// An attempt was not written: its request goes elsewhere.
    pub(super) fn handle_withdrawn(&mut self, id: RequestId, attempt: usize, context: &mut Context) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.history.withdraw(attempt);
            request.attempts_in_flight.retain(|(number, _)| *number != attempt);
        }
        let actions = self.decide(interface::Event::WriteDenied { id: id.clone(), attempt }, context);
        self.remove_if_finished(&id, context.reactor.now());
        self.carry_out(actions, context);
    }
}
