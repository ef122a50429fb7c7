//! Cancel requests of clients, forwarded to the server of their session.

use mio::net::TcpStream;
use pgwire::session as wire;

use super::server::ServerState;
use super::{Sessions, MAX_CANCELS};
use crate::net::Context;

/// Time limit of a cancel request (seconds).
pub(super) const CANCEL_TIMEOUT: f64 = 2.0;

impl Sessions {
    /// Cancels the running query of the session with this key, if there is one.
    pub(super) fn cancel(&mut self, number: u32, secret: u32, context: &mut Context) {
        let cancels =
            self.servers.iter().filter(|(_, server)| server.state == ServerState::Cancelling).count();
        let found = self.clients.iter().find(|(slot, conn)| {
            slot.number() as u32 == number
                && conn.secret == secret
                && conn.session.as_ref().is_some_and(|s| s.awaits_reply())
        });
        let Some(server_slot) = found.and_then(|(_, conn)| conn.server).filter(|_| cancels < MAX_CANCELS)
        else {
            return;
        };
        let Some(server) = self.servers.get_mut(server_slot) else { return };
        server.cancel_requested = true;
        let (bytes, address) = (wire::cancel_request(server.cancel_key), server.address);
        let (key, member) = (server.key.clone(), server.member.clone());
        let Ok(stream) = TcpStream::connect(address) else { return };
        let deadline = context.reactor.now() + CANCEL_TIMEOUT;
        let mut connection = self.new_connection(stream, key, member, address, deadline);
        connection.state = ServerState::Cancelling;
        if connection.transport.outbox.push(&bytes).is_err() {
            return;
        }
        let server_slot = self.servers.insert(connection);
        if !self.register_connection(server_slot, context) {
            self.servers.remove(server_slot);
        }
    }
}
