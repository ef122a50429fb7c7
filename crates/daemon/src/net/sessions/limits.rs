//! Time limits of sessions and connections.

use pgwire::{error_response, sqlstate};
use pooling::Cut;
use routing::interface::Outcome;

use super::client::Stage;
use super::server::ServerState;
use super::Sessions;
use crate::net::event_loop::{Due, Slot};
use crate::net::Context;

/// How often time limits are looked at (seconds).
pub(super) const SWEEP_INTERVAL: f64 = 0.1;
/// How long a client may take to say who it is, and to read why it is sent away (seconds).
pub(super) const LOGIN_TIMEOUT: f64 = 2.0;

impl Sessions {
    /// Looks at all that time limits.
    pub fn sweep(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        context.reactor.timer(now + SWEEP_INTERVAL, Due::Pools);
        let (mut overdue, mut held) = (Vec::new(), Vec::new());
        for (slot, conn) in self.conns.iter() {
            let lasted = now - conn.since;
            let session = conn.session.as_ref().filter(|session| session.is_attached());
            match (conn.stage, session) {
                (Stage::First | Stage::Login | Stage::Ending, _) if lasted > LOGIN_TIMEOUT => {
                    overdue.push((slot, None))
                }
                (Stage::Held, _) if now >= conn.until => held.push(slot),
                (Stage::Running, Some(session)) => {
                    let idle =
                        session.in_transaction() && !conn.busy && lasted > self.pool.idle_in_transaction_s;
                    let long = conn.busy && lasted > self.pool.statement_s;
                    let drained =
                        conn.backend.and_then(|place| self.backends.get(place)).and_then(|b| b.drain);
                    if drained.is_some_and(|until| now >= until) {
                        overdue.push((slot, Some((Cut::Drained, Outcome::Ok))));
                    } else if idle {
                        overdue.push((slot, Some((Cut::IdleInTransaction, Outcome::Ok))));
                    } else if long {
                        overdue.push((slot, Some((Cut::Statement, Outcome::Timeout))));
                    }
                }
                _ => {}
            }
        }
        for slot in held {
            let Some(conn) = self.conns.get_mut(slot) else { continue };
            (conn.stage, conn.since) = (Stage::Ending, now);
            let what = "password authentication failed";
            let _ = conn.link.outbox.push(&error_response("FATAL", sqlstate::INVALID_PASSWORD, what, None));
            self.ready(slot, context);
        }
        for (slot, cut) in overdue {
            match cut {
                Some((cut, outcome)) => self.cut(slot, cut, outcome, context),
                None => self.remove(slot, context),
            }
        }
        let late = self
            .conns
            .iter()
            .filter(|(_, conn)| conn.job.as_ref().is_some_and(|job| !job.begun && now > job.give_up));
        let late: Vec<Slot> = late.map(|(slot, _)| slot).collect();
        late.into_iter().for_each(|slot| self.abandon_attempt(slot, context));
        let slow: Vec<(Slot, ServerState)> = self
            .backends
            .iter()
            .filter(|(_, b)| now > b.until && !matches!(b.state, ServerState::Idle | ServerState::Used))
            .map(|(place, backend)| (place, backend.state))
            .collect();
        for (place, at) in slow {
            if at == ServerState::Cancelling {
                self.backends.remove(place);
            } else {
                self.fail(place, Outcome::ConnectFailed, context);
            }
        }
        for number in self.pools.due(now) {
            self.close(Slot::of(number));
        }
        self.turns(context);
        self.probe_for_primary(context);
        self.accept(context);
    }
}
