//! A connection on which a hollow pooler follows the list, as in the real pooler.

use std::net::SocketAddr;

use buffer::Budget;
use listing::connection::{ByteCounts, Connection, ConnectionError};
use listing::follow::ConnectionId;
use mio::net::TcpStream;

/// A connection to discovery.
pub(super) struct Watch {
    pub id: ConnectionId,
    pub stream: TcpStream,
    connection: Connection,
}

impl Watch {
    /// Connects and requests the changes since version `since`.
    pub fn open(
        id: ConnectionId,
        address: SocketAddr,
        since: u64,
        budget: &Budget,
    ) -> Result<Watch, ConnectionError> {
        let stream = TcpStream::connect(address).map_err(|_| "no connection")?;
        Ok(Watch { id, stream, connection: Connection::new(address, since, budget)? })
    }

    /// Returns true if a document has begun and not ended.
    pub fn in_document(&self) -> bool {
        self.connection.in_document()
    }

    /// Returns the bytes sent and received since the last call.
    pub fn take_byte_counts(&mut self) -> ByteCounts {
        self.connection.take_byte_counts()
    }

    /// Writes and reads until it would block. Appends the complete documents and empty lines to `pieces`.
    pub fn transfer(&mut self, pieces: &mut Vec<json::Piece>) -> Result<(), ConnectionError> {
        if self.stream.peer_addr().is_err() {
            return match self.stream.take_error() {
                Ok(None) => Ok(()),
                _ => Err("no connection"),
            };
        }
        self.connection.transfer(&mut self.stream, pieces)?;
        while self.connection.has_unread() {
            self.connection.transfer(&mut self.stream, pieces)?;
        }
        Ok(())
    }
}
