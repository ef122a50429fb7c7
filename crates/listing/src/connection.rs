//! A connection on which the list is followed: the call, and the answer cut into documents. Bytes come and go over
//! whatever can be read and written; no socket is known here.

use std::io::{Read, Write};
use std::net::SocketAddr;

use buffer::{Budget, Fill, Ring};
use http1::{Fault, Head, Piece, Request, ResponseReader};
use json::Documents;

const PATH: &str = "/catalog/members";
/// Longest document of an answer (bytes): some 10,000 db machines, indented.
const LONGEST: usize = 4 * 1024 * 1024;

/// Why a connection is of no further use, for the log.
pub type ConnectionError = &'static str;

/// Bytes that have passed since the last look.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByteCounts {
    /// Written.
    pub sent: usize,
    /// Read.
    pub received: usize,
}

/// The call and its answer.
pub struct Connection {
    inbox: Ring,
    outbox: Ring,
    answer: ResponseReader,
    documents: Documents,
    passed: ByteCounts,
}

impl Connection {
    /// Calls the address for what has changed since that version of the list.
    pub fn new(address: SocketAddr, since: u64, budget: &Budget) -> Result<Connection, ConnectionError> {
        let mut outbox = Ring::new(budget);
        let (target, host) = (format!("{PATH}?follow=1&since={since}"), address.to_string());
        let asked = Request { method: "GET", target: &target, host: &host, ..Request::default() };
        outbox.push(&asked.to_bytes()).map_err(|_| "no connection")?;
        let (inbox, documents) = (Ring::new(budget), Documents::new(LONGEST));
        let (answer, passed) = (ResponseReader::default(), ByteCounts::default());
        Ok(Connection { inbox, outbox, answer, documents, passed })
    }

    /// Whether a document has begun and not ended.
    pub fn in_document(&self) -> bool {
        self.documents.in_document()
    }

    /// What has passed since the last call.
    pub fn take_byte_counts(&mut self) -> ByteCounts {
        std::mem::take(&mut self.passed)
    }

    /// Writes and reads as far as it goes; `pieces` takes what is whole of the answer.
    pub fn transfer(
        &mut self,
        stream: &mut (impl Read + Write),
        pieces: &mut Vec<json::Piece>,
    ) -> Result<(), ConnectionError> {
        let waiting = self.outbox.len();
        let drained = self.outbox.drain(stream);
        self.passed.sent += waiting - self.outbox.len();
        drained.map_err(|_| "the connection broke")?;
        loop {
            let held = self.inbox.len();
            let fill = self.inbox.fill(stream);
            self.passed.received += self.inbox.len() - held;
            let before = self.inbox.len();
            // What came before a reset counts: it has been told.
            self.understand(pieces)?;
            match fill.map_err(|_| "the connection broke")? {
                Fill::Ended => return Err("the watch ended"),
                Fill::Drained => return Ok(()),
                Fill::Full if self.inbox.len() == before => return Err("an answer too long"),
                Fill::Full => {}
            }
        }
    }

    /// Takes what is there of the answer.
    fn understand(&mut self, pieces: &mut Vec<json::Piece>) -> Result<(), ConnectionError> {
        while let Some(piece) = self.answer.next(&mut self.inbox).map_err(Fault::description)? {
            match piece {
                Piece::Head(Head { status: 200, chunked: true, .. }) => {}
                Piece::Head(_) => return Err("the call was turned down"),
                Piece::Body(bytes) => {
                    self.documents.push(&bytes).map_err(|_| "a list too long")?;
                    while let Some(piece) = self.documents.take() {
                        pieces.push(piece);
                    }
                }
                Piece::End => return Err("the watch ended"),
            }
        }
        Ok(())
    }
}
