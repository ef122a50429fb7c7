//! A connection that exchanges plain bytes with its user, with or without TLS on the wire.

use std::io::{ErrorKind, Read, Write};
use std::sync::Arc;

use buffer::{Budget, Fill, Ring};

use crate::session::{Session, TlsError};

/// Plain bytes in both directions over a stream that the caller passes in.
pub struct Transport {
    /// Received plain bytes.
    pub inbox: Ring,
    /// Plain bytes to send.
    pub outbox: Ring,
    /// The TLS session, with the received TLS records and those to send.
    tls: Option<(Session, Ring, Ring)>,
    /// Whether the stream has ended without a close_notify alert.
    truncated: bool,
}

impl Transport {
    /// Creates a transport, with TLS if a session is given.
    pub fn new(session: Option<Session>, budget: &Budget) -> Transport {
        let ring = || Ring::new(budget);
        Transport {
            inbox: ring(),
            outbox: ring(),
            tls: session.map(|session| (session, ring(), ring())),
            truncated: false,
        }
    }

    /// Writes pending bytes and reads available ones until the stream would block. Returns `Drained` if
    /// nothing more is available now, `Full` if the inbox must be emptied first, and `Ended` if the peer has
    /// closed the connection.
    pub fn process_io(&mut self, stream: &mut (impl Read + Write)) -> Result<Fill, TlsError> {
        let Some((session, received, to_send)) = &mut self.tls else {
            self.outbox.drain(stream)?;
            return Ok(self.inbox.fill(stream)?);
        };
        loop {
            session.seal(&mut self.outbox, to_send)?;
            to_send.drain(stream)?;
            let read = received.fill(stream)?;
            let had_bytes = !received.is_empty();
            let opened = session.open(received, &mut self.inbox, to_send);
            // The session's answer, which may be an alert, is sent before an error is returned.
            let written = to_send.drain(stream);
            let opened = opened?;
            let written = written?;
            match (opened, read) {
                (Fill::Ended | Fill::Full, _) => return Ok(opened),
                // Bytes received before the end are delivered first: they may be a complete answer by its own
                // length.
                // The stream ended without a close_notify alert, so anybody may have truncated it.
                (Fill::Drained, Fill::Ended) => {
                    self.truncated = true;
                    if self.inbox.is_empty() {
                        return Err(TlsError::Io(ErrorKind::UnexpectedEof));
                    }
                    return Ok(Fill::Full);
                }
                (Fill::Drained, Fill::Full) if had_bytes && received.is_empty() => {}
                (Fill::Drained, _) if written && session.is_established() && !self.outbox.is_empty() => {}
                (Fill::Drained, _) => return Ok(Fill::Drained),
            }
        }
    }

    /// Switches to TLS. The inbox must be empty, since bytes received so far were not encrypted.
    pub fn start_tls(&mut self, session: Session, budget: &Budget) {
        self.tls = Some((session, Ring::new(budget), Ring::new(budget)));
    }

    /// Returns true if the stream has ended without a close_notify alert: nothing will follow the bytes in the
    /// inbox.
    pub fn is_truncated(&self) -> bool {
        self.truncated
    }

    /// Returns true if no bytes are waiting to be sent.
    pub fn is_flushed(&self) -> bool {
        self.outbox.is_empty() && self.tls.as_ref().is_none_or(|(_, _, to_send)| to_send.is_empty())
    }

    /// Returns the channel binding data if TLS is in use; see [`Session::channel_binding`].
    pub fn channel_binding(&self) -> Option<Arc<[u8]>> {
        self.tls.as_ref()?.0.channel_binding()
    }

    /// Returns true if TLS is in use.
    pub fn has_tls(&self) -> bool {
        self.tls.is_some()
    }
}
