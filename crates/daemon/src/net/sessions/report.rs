//! What is told of sessions on the control socket.

use super::client::{Conn, Stage};
use super::Sessions;

impl Sessions {
    /// What the sessions do.
    pub fn tell(&self, now: f64) -> control::Sessions {
        let one = |conn: &Conn| {
            let attached = conn.session.as_ref().filter(|session| session.is_attached());
            let state = match (conn.stage, attached) {
                (Stage::First | Stage::Login | Stage::Held, _) => "login",
                (Stage::Ending, _) => "ending",
                (Stage::Running, Some(session)) if session.is_busy() => "busy",
                (Stage::Running, Some(session)) if session.in_transaction() => "transaction",
                (Stage::Running, _) if conn.wanted.is_some() => "waiting",
                (Stage::Running, _) => "idle",
            };
            let backend = conn.backend.and_then(|place| self.backends.get(place));
            let pins = conn.session.iter().flat_map(|session| session.pins());
            control::Session {
                user: conn.user.to_string(),
                database: conn.database.to_string(),
                from: conn.from.to_string(),
                state: state.into(),
                lasts_s: now - conn.since,
                member: backend.map(|backend| backend.member.to_string()),
                bound_by: pins.map(|pin| pin.words().to_string()).collect(),
            }
        };
        let mut list: Vec<control::Session> = self.conns.iter().map(|(_, conn)| one(conn)).collect();
        list.sort_by(|a, b| b.lasts_s.total_cmp(&a.lasts_s));
        let more = list.len().saturating_sub(control::MAX_SESSIONS);
        list.truncate(control::MAX_SESSIONS);
        control::Sessions { list, more, servers: self.pools.count(), waiting: self.pools.waiting() }
    }
}
