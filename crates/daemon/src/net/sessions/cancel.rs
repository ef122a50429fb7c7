//! Requests to cancel what a session does, passed on to its server.

use mio::net::TcpStream;
use pgwire::session as wire;

use super::server::ServerState;
use super::{Sessions, MAX_CANCELS};
use crate::net::Context;

/// How long a request to cancel may take (seconds).
pub(super) const CANCEL_TIMEOUT: f64 = 2.0;

impl Sessions {
    /// What a session does is to end. It must be the one whose key is given, and do something.
    pub(super) fn cancel(&mut self, number: u32, secret: u32, context: &mut Context) {
        let cancels =
            self.servers.iter().filter(|(_, backend)| backend.state == ServerState::Cancelling).count();
        let found = self.conns.iter().find(|(slot, conn)| {
            slot.number() as u32 == number
                && conn.secret == secret
                && conn.session.as_ref().is_some_and(|s| s.awaits_reply())
        });
        let Some(place) = found.and_then(|(_, conn)| conn.server).filter(|_| cancels < MAX_CANCELS) else {
            return;
        };
        let Some(backend) = self.servers.get_mut(place) else { return };
        backend.tainted = true;
        let (bytes, address) = (wire::cancel_request(backend.cancel_key), backend.address);
        let (key, member) = (backend.key.clone(), backend.member.clone());
        let Ok(stream) = TcpStream::connect(address) else { return };
        let until = context.reactor.now() + CANCEL_TIMEOUT;
        let mut asking = self.new_connection(stream, key, member, address, until);
        asking.state = ServerState::Cancelling;
        if asking.link.outbox.push(&bytes).is_err() {
            return;
        }
        let place = self.servers.insert(asking);
        if !self.register_connection(place, context) {
            self.servers.remove(place);
        }
    }
}
