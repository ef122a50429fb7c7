//! A connection as whoever speaks over it sees it: plain bytes in, plain bytes out, with or without TLS beneath.

use std::io::{ErrorKind, Read, Write};
use std::sync::Arc;

use buffer::{Budget, Fill, Ring};

use crate::session::{Session, TlsError};

/// Plain bytes both ways, over a stream that is handed in.
pub struct Transport {
    /// What has come.
    pub inbox: Ring,
    /// What is to go.
    pub outbox: Ring,
    /// The session, with what has come and what is to go in records.
    tls: Option<(Session, Ring, Ring)>,
}

impl Transport {
    /// Without TLS, or with a session.
    pub fn new(session: Option<Session>, budget: &Budget) -> Transport {
        let ring = || Ring::new(budget);
        Transport { inbox: ring(), outbox: ring(), tls: session.map(|session| (session, ring(), ring())) }
    }

    /// Writes what is to go and reads what has come, as far as the stream goes: drained where there is nothing more
    /// for now, full where the inbox must be taken from first, ended where the other side has ended.
    pub fn process_io(&mut self, stream: &mut (impl Read + Write)) -> Result<Fill, TlsError> {
        let Some((session, came, wire)) = &mut self.tls else {
            self.outbox.drain(stream)?;
            return Ok(self.inbox.fill(stream)?);
        };
        loop {
            session.seal(&mut self.outbox, wire)?;
            wire.drain(stream)?;
            let read = came.fill(stream)?;
            let any = !came.is_empty();
            let opened = session.open(came, &mut self.inbox, wire);
            // What the session answers goes out at once, an alert too, before its fault is told.
            let written = wire.drain(stream);
            let opened = opened?;
            let written = written?;
            match (opened, read) {
                (Fill::Ended | Fill::Full, _) => return Ok(opened),
                // What came before the end is taken first: it may be an answer that is whole by its own word.
                (Fill::Drained, Fill::Ended) if !self.inbox.is_empty() => return Ok(Fill::Full),
                // An end without the other side's last word: it may have been cut off by anybody.
                (Fill::Drained, Fill::Ended) => return Err(TlsError::Io(ErrorKind::UnexpectedEof)),
                (Fill::Drained, Fill::Full) if any && came.is_empty() => {}
                (Fill::Drained, _) if written && session.is_established() && !self.outbox.is_empty() => {}
                (Fill::Drained, _) => return Ok(Fill::Drained),
            }
        }
    }

    /// Goes on with a session beneath. What has come until now must have been taken: it came in the clear.
    pub fn start_tls(&mut self, session: Session, budget: &Budget) {
        self.tls = Some((session, Ring::new(budget), Ring::new(budget)));
    }

    /// Whether all that was to go has gone.
    pub fn is_flushed(&self) -> bool {
        self.outbox.is_empty() && self.tls.as_ref().is_none_or(|(_, _, wire)| wire.is_empty())
    }

    /// What a login can be bound to, where there is TLS beneath; see [`Session::channel_binding`].
    pub fn channel_binding(&self) -> Option<Arc<[u8]>> {
        self.tls.as_ref()?.0.channel_binding()
    }

    /// Whether there is TLS beneath.
    pub fn has_tls(&self) -> bool {
        self.tls.is_some()
    }
}
