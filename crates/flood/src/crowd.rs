//! Connections whose clients hold places without asking.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use crate::wire::{query, startup};

/// Length of the statement of which a client sends the first half (bytes).
const STATEMENT_BYTES: usize = 60 * 1024;

/// What each connection of a crowd sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crowd {
    /// Half of a large query.
    HalfQueries,
    /// An empty query, and half of a large one.
    HalfQueriesAfterAnEmptyOne,
    /// Half of a startup message.
    HalfStartups,
    /// A startup message alone.
    Silent,
}

impl Crowd {
    /// All kinds.
    pub const ALL: [Crowd; 4] =
        [Crowd::HalfQueries, Crowd::HalfQueriesAfterAnEmptyOne, Crowd::HalfStartups, Crowd::Silent];

    /// Opens connections that send this and stay open until they are dropped.
    pub fn open(self, address: SocketAddr, connections: usize) -> Vec<TcpStream> {
        let bytes = self.bytes();
        let open = |_| {
            let mut stream = TcpStream::connect(address).ok()?;
            stream.set_nonblocking(true).ok()?;
            // What the system does not take at once is missing anyway.
            let _ = stream.write(&bytes);
            Some(stream)
        };
        (0..connections).filter_map(open).collect()
    }

    fn bytes(self) -> Vec<u8> {
        let half = |bytes: Vec<u8>| bytes[..bytes.len() / 2].to_vec();
        let half_query = || half(query(&"x".repeat(STATEMENT_BYTES)));
        match self {
            Crowd::HalfQueries => [startup("app"), half_query()].concat(),
            Crowd::HalfQueriesAfterAnEmptyOne => [startup("app"), query(""), half_query()].concat(),
            Crowd::HalfStartups => half(startup("app")),
            Crowd::Silent => startup("app"),
        }
    }
}
