//! A connection on which a hollow pooler follows the list, as the pooler has it.

use std::net::SocketAddr;

use buffer::Budget;
use listing::connection::{ByteCounts, Connection, ConnectionError};
use listing::follow::ConnectionId;
use mio::net::TcpStream;

/// The connection.
pub(super) struct Watch {
    pub line: ConnectionId,
    pub stream: TcpStream,
    connection: Connection,
}

impl Watch {
    /// Calls for what has changed since that version.
    pub fn open(
        line: ConnectionId,
        address: SocketAddr,
        since: u64,
        budget: &Budget,
    ) -> Result<Watch, ConnectionError> {
        let stream = TcpStream::connect(address).map_err(|_| "no connection")?;
        Ok(Watch { line, stream, connection: Connection::new(address, since, budget)? })
    }

    /// Whether a document has begun and not ended.
    pub fn begun(&self) -> bool {
        self.connection.in_document()
    }

    /// What has passed since the last call.
    pub fn take_passed(&mut self) -> ByteCounts {
        self.connection.take_byte_counts()
    }

    /// Writes and reads as far as it goes; `pieces` takes what is whole of the answer.
    pub fn turn(&mut self, pieces: &mut Vec<json::Piece>) -> Result<(), ConnectionError> {
        if self.stream.peer_addr().is_err() {
            return match self.stream.take_error() {
                Ok(None) => Ok(()),
                _ => Err("no connection"),
            };
        }
        self.connection.transfer(&mut self.stream, pieces)
    }
}
