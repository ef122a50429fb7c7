//! A connection on which the list is followed: sends the list request and splits the response into documents.
//! Reads from and writes to any stream; it does not depend on sockets.

use std::io::{Read, Write};
use std::net::SocketAddr;

use buffer::{Budget, Fill, Ring};
use http1::{Fault, Head, Piece, Request, ResponseReader};
use json::Documents;

const PATH: &str = "/catalog/members";
/// Maximum length of one document of a response (bytes): an indented list of about 10,000 members.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// Why a connection cannot be used any more, for the log.
pub type ConnectionError = &'static str;

/// Bytes transferred since the previous [`Connection::take_byte_counts`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ByteCounts {
    /// Bytes written.
    pub sent: usize,
    /// Bytes read.
    pub received: usize,
}

/// A list request and its response.
pub struct Connection {
    inbox: Ring,
    outbox: Ring,
    response: ResponseReader,
    documents: Documents,
    byte_counts: ByteCounts,
    /// The stream may have more data.
    has_unread: bool,
}

/// Maximum number of full buffers that are read in a transfer.
const MAX_BUFFERS_PER_TRANSFER: usize = 4;

impl Connection {
    /// Prepares a request for the changes since version `since` of the list.
    pub fn new(address: SocketAddr, since: u64, budget: &Budget) -> Result<Connection, ConnectionError> {
        let mut outbox = Ring::new(budget);
        let (target, host) = (format!("{PATH}?follow=1&since={since}"), address.to_string());
        let request = Request { method: "GET", target: &target, host: &host, ..Request::default() };
        outbox.push(&request.to_bytes()).map_err(|_| "no memory for the list request")?;
        let (inbox, documents) = (Ring::new(budget), Documents::new(MAX_DOCUMENT_BYTES));
        let (response, byte_counts) = (ResponseReader::default(), ByteCounts::default());
        Ok(Connection { inbox, outbox, response, documents, byte_counts, has_unread: false })
    }

    /// Returns true if a document has begun and not ended.
    pub fn in_document(&self) -> bool {
        self.documents.in_document()
    }

    /// Returns true if the last transfer stopped before the stream would block: no event announces what is left.
    pub fn has_unread(&self) -> bool {
        self.has_unread
    }

    /// Returns the bytes transferred since the previous call.
    pub fn take_byte_counts(&mut self) -> ByteCounts {
        std::mem::take(&mut self.byte_counts)
    }

    /// Writes and reads until the stream would block, or a share of what it has is read; appends the complete
    /// pieces of the response to `pieces`.
    pub fn transfer(
        &mut self,
        stream: &mut (impl Read + Write),
        pieces: &mut Vec<json::Piece>,
    ) -> Result<(), ConnectionError> {
        let unsent = self.outbox.len();
        let drained = self.outbox.drain(stream);
        self.byte_counts.sent += unsent - self.outbox.len();
        drained.map_err(|_| "connection lost")?;
        self.has_unread = false;
        for _ in 0..MAX_BUFFERS_PER_TRANSFER {
            let buffered = self.inbox.len();
            let fill = self.inbox.fill(stream);
            self.byte_counts.received += self.inbox.len() - buffered;
            let before = self.inbox.len();
            // Data received before a reset is still processed: discovery has sent it.
            self.parse_response(pieces)?;
            match fill.map_err(|_| "connection lost")? {
                Fill::Ended => return Err("watch closed by discovery"),
                Fill::Drained => return Ok(()),
                Fill::Full if self.inbox.len() == before => return Err("response exceeds the buffer"),
                Fill::Full => {}
            }
        }
        self.has_unread = true;
        Ok(())
    }

    /// Parses the buffered part of the response.
    fn parse_response(&mut self, pieces: &mut Vec<json::Piece>) -> Result<(), ConnectionError> {
        while let Some(piece) = self.response.next(&mut self.inbox).map_err(Fault::description)? {
            match piece {
                Piece::Head(Head { status: 200, chunked: true, .. }) => {}
                Piece::Head(_) => return Err("list request refused"),
                Piece::Body(bytes) => {
                    self.documents.push(&bytes).map_err(|_| "list document too long")?;
                    while let Some(piece) = self.documents.take() {
                        pieces.push(piece);
                    }
                }
                Piece::End => return Err("watch closed by discovery"),
            }
        }
        Ok(())
    }
}
