//! Time limits of sessions and connections.

use pgwire::{error_response, sqlstate};
use pooling::DetachReason;
use routing::interface::Outcome;

use super::client::Stage;
use super::server::ServerState;
use super::Sessions;
use crate::net::event_loop::{Slot, TimerKind};
use crate::net::Context;

/// Interval of the checks of time limits (seconds).
pub(super) const SWEEP_INTERVAL: f64 = 0.1;
/// Time limit of a client for reading what it was sent, once the process shuts down (seconds).
const UNREAD_TIMEOUT: f64 = 1.0;
/// Time limit of a client for its login, and for reading the error that ends its connection (seconds).
pub(super) const LOGIN_TIMEOUT: f64 = 2.0;

impl Sessions {
    /// Enforces the time limits of sessions and connections.
    pub fn enforce_limits(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        context.reactor.set_timer(now + SWEEP_INTERVAL, TimerKind::SessionSweep);
        let (mut timed_out, mut rejected, mut unfinished) = (Vec::new(), Vec::new(), Vec::new());
        for (slot, conn) in self.clients.iter() {
            if conn.message_timed_out(now) {
                unfinished.push(slot);
                continue;
            }
            let lasted = now - conn.state_since;
            let session = conn.session.as_ref().filter(|session| session.is_attached());
            match (conn.stage, session) {
                (Stage::Startup | Stage::Login | Stage::Ending, _) if lasted > LOGIN_TIMEOUT => {
                    timed_out.push((slot, None))
                }
                (Stage::Rejected, _) if now >= conn.reject_at => rejected.push(slot),
                (Stage::Running, Some(session)) => {
                    let idle =
                        session.in_transaction() && !conn.busy && lasted > self.pool.idle_in_transaction_s;
                    let long = conn.busy && lasted > self.pool.statement_s;
                    let drained = conn
                        .server
                        .and_then(|server_slot| self.servers.get(server_slot))
                        .and_then(|server| server.drain_until);
                    if drained.is_some_and(|until| now >= until) {
                        timed_out.push((slot, Some((DetachReason::Drained, Outcome::Ok))));
                    } else if idle {
                        timed_out.push((slot, Some((DetachReason::IdleInTransaction, Outcome::Ok))));
                    } else if long {
                        timed_out.push((slot, Some((DetachReason::StatementTimeout, Outcome::Timeout))));
                    }
                }
                _ => {}
            }
        }
        unfinished.into_iter().for_each(|slot| self.end_unfinished(slot, context));
        for slot in rejected {
            let Some(conn) = self.clients.get_mut(slot) else { continue };
            (conn.stage, conn.state_since) = (Stage::Ending, now);
            let text = "password authentication failed";
            let _ =
                conn.transport.outbox.push(&error_response("FATAL", sqlstate::INVALID_PASSWORD, text, None));
            self.on_ready(slot, context);
        }
        if self.ending {
            self.end_clients_that_do_not_read(now, context);
        }
        for (slot, detach) in timed_out {
            match detach {
                Some((reason, outcome)) => self.revoke_connection(slot, reason, outcome, context),
                None => self.remove_client(slot, context),
            }
        }
        let expired_assignments = self.clients.iter().filter(|(_, conn)| {
            conn.assignment
                .as_ref()
                .is_some_and(|assignment| !assignment.attached && now > assignment.attach_deadline)
        });
        let expired_assignments: Vec<Slot> = expired_assignments.map(|(slot, _)| slot).collect();
        expired_assignments.into_iter().for_each(|slot| self.abandon_attempt(slot, context));
        let expired_handshakes: Vec<(Slot, ServerState)> = self
            .servers
            .iter()
            .filter(|(_, server)| {
                now > server.deadline && !matches!(server.state, ServerState::Idle | ServerState::InUse)
            })
            .map(|(server_slot, server)| (server_slot, server.state))
            .collect();
        for (server_slot, state) in expired_handshakes {
            match state {
                ServerState::Cancelling => drop(self.servers.remove(server_slot)),
                ServerState::Resetting => self.abandon_reset(server_slot, context),
                _ => self.fail_connection(server_slot, Outcome::ConnectFailed, context),
            }
        }
        for number in self.pools.expired_connections(now) {
            self.close_connection(Slot::from_number(number));
        }
        self.serve_waiting_sessions(context);
        self.probe_for_primary(context);
        self.accept(context);
    }

    /// Closes the connections of clients that have not read for a time. Guards the shutdown.
    fn end_clients_that_do_not_read(&mut self, now: f64, context: &mut Context) {
        let slots: Vec<Slot> = self.clients.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let Some(conn) = self.clients.get_mut(slot) else { continue };
            if conn.transport.is_flushed() {
                conn.unread_since = None;
            } else if now - *conn.unread_since.get_or_insert(now) > UNREAD_TIMEOUT {
                self.remove_client(slot, context);
            }
        }
    }
}
