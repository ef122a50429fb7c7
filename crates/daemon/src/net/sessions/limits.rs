//! Time limits of sessions and connections.

use pgwire::{error_response, sqlstate};
use pooling::DetachReason;
use routing::interface::Outcome;

use super::client::Stage;
use super::server::ServerState;
use super::Sessions;
use crate::net::event_loop::{Slot, TimerKind};
use crate::net::Context;

/// How often time limits are looked at (seconds).
pub(super) const SWEEP_INTERVAL: f64 = 0.1;
/// How long a client may take to say who it is, and to read why it is sent away (seconds).
pub(super) const LOGIN_TIMEOUT: f64 = 2.0;

impl Sessions {
    /// Looks at all that time limits.
    pub fn enforce_limits(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        context.reactor.set_timer(now + SWEEP_INTERVAL, TimerKind::SessionSweep);
        let (mut overdue, mut held) = (Vec::new(), Vec::new());
        for (slot, conn) in self.conns.iter() {
            let lasted = now - conn.state_since;
            let session = conn.session.as_ref().filter(|session| session.is_attached());
            match (conn.stage, session) {
                (Stage::Startup | Stage::Login | Stage::Ending, _) if lasted > LOGIN_TIMEOUT => {
                    overdue.push((slot, None))
                }
                (Stage::Rejected, _) if now >= conn.reject_at => held.push(slot),
                (Stage::Running, Some(session)) => {
                    let idle =
                        session.in_transaction() && !conn.busy && lasted > self.pool.idle_in_transaction_s;
                    let long = conn.busy && lasted > self.pool.statement_s;
                    let drained =
                        conn.server.and_then(|place| self.servers.get(place)).and_then(|b| b.drain_until);
                    if drained.is_some_and(|until| now >= until) {
                        overdue.push((slot, Some((DetachReason::Drained, Outcome::Ok))));
                    } else if idle {
                        overdue.push((slot, Some((DetachReason::IdleInTransaction, Outcome::Ok))));
                    } else if long {
                        overdue.push((slot, Some((DetachReason::StatementTimeout, Outcome::Timeout))));
                    }
                }
                _ => {}
            }
        }
        for slot in held {
            let Some(conn) = self.conns.get_mut(slot) else { continue };
            (conn.stage, conn.state_since) = (Stage::Ending, now);
            let what = "password authentication failed";
            let _ = conn.link.outbox.push(&error_response("FATAL", sqlstate::INVALID_PASSWORD, what, None));
            self.on_ready(slot, context);
        }
        for (slot, cut) in overdue {
            match cut {
                Some((cut, outcome)) => self.revoke_connection(slot, cut, outcome, context),
                None => self.remove_client(slot, context),
            }
        }
        let late = self.conns.iter().filter(|(_, conn)| {
            conn.assignment.as_ref().is_some_and(|job| !job.attached && now > job.give_up)
        });
        let late: Vec<Slot> = late.map(|(slot, _)| slot).collect();
        late.into_iter().for_each(|slot| self.abandon_attempt(slot, context));
        let slow: Vec<(Slot, ServerState)> = self
            .servers
            .iter()
            .filter(|(_, b)| now > b.deadline && !matches!(b.state, ServerState::Idle | ServerState::InUse))
            .map(|(place, backend)| (place, backend.state))
            .collect();
        for (place, at) in slow {
            if at == ServerState::Cancelling {
                self.servers.remove(place);
            } else {
                self.fail_connection(place, Outcome::ConnectFailed, context);
            }
        }
        for number in self.pools.expired_connections(now) {
            self.close_connection(Slot::from_number(number));
        }
        self.serve_waiting_sessions(context);
        self.probe_for_primary(context);
        self.accept(context);
    }
}
