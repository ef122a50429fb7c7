//! The report of the sessions on the control socket.

use super::client::{ClientConnection, Stage};
use super::Sessions;

impl Sessions {
    /// Returns the state of all sessions.
    pub fn report(&self, now: f64) -> control::Sessions {
        let describe = |conn: &ClientConnection| {
            let attached = conn.session.as_ref().filter(|session| session.is_attached());
            let state = match (conn.stage, attached) {
                (Stage::Startup | Stage::Login | Stage::Rejected, _) => "login",
                (Stage::Ending, _) => "ending",
                (Stage::Running, Some(session)) if session.awaits_reply() => "busy",
                (Stage::Running, Some(session)) if session.in_transaction() => "transaction",
                (Stage::Running, _) if conn.pending_request.is_some() => "waiting",
                (Stage::Running, _) => "idle",
            };
            let server = conn.server.and_then(|server_slot| self.servers.get(server_slot));
            let pins = conn.session.iter().flat_map(|session| session.pins());
            control::Session {
                user: conn.user.to_string(),
                database: conn.database.to_string(),
                from: conn.peer_ip.to_string(),
                state: state.into(),
                lasts_s: now - conn.state_since,
                member: server.map(|server| server.member.to_string()),
                bound_by: pins.map(|pin| pin.describe().to_string()).collect(),
            }
        };
        let mut list: Vec<control::Session> = self.clients.iter().map(|(_, conn)| describe(conn)).collect();
        list.sort_by(|a, b| b.lasts_s.total_cmp(&a.lasts_s));
        let more = list.len().saturating_sub(control::MAX_SESSIONS);
        list.truncate(control::MAX_SESSIONS);
        control::Sessions { list, more, servers: self.pools.count(), waiting: self.pools.waiting() }
    }
}
