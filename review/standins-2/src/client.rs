//! A client that speaks PostgreSQL's protocol.

use std::io::Result;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::wire;

/// The answer to one query, or to one batch up to its Sync.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The first value.
    pub value: Option<String>,
    /// Command tags.
    pub tags: Vec<String>,
    /// Code and text of an error.
    pub error: Option<(String, String)>,
    /// True if the connection ended before ReadyForQuery.
    pub ended: bool,
    /// True if nothing more came in time.
    pub silent: bool,
}

impl Answer {
    pub fn is_ok(&self) -> bool {
        self.error.is_none() && !self.ended && !self.silent
    }

    pub fn text(&self) -> String {
        match (&self.error, &self.value) {
            _ if self.silent => "no answer".into(),
            (Some((code, text)), _) => {
                format!("error {code} ({text}){}", if self.ended { ", end" } else { "" })
            }
            _ if self.ended => "end of the connection".into(),
            (None, Some(value)) => format!("'{value}' {}", self.tags.join(", ")),
            (None, None) => format!("ok {}", self.tags.join(", ")),
        }
    }
}

pub struct Client(pub TcpStream);

impl Client {
    /// Connects as this user, and waits until the session has begun.
    pub fn connect(address: SocketAddr, user: &str, database: &str) -> Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
        stream.set_nodelay(true)?;
        let mut client = Client(stream);
        client.send(&wire::startup(user, database))?;
        let answer = client.answer(5_000);
        if answer.is_ok() {
            Ok(client)
        } else {
            Err(std::io::Error::other(answer.text()))
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        wire::write_all(&mut self.0, bytes)
    }

    /// Reads up to the next ReadyForQuery.
    pub fn answer(&mut self, limit_ms: u64) -> Answer {
        let mut answer = Answer::default();
        let _ = self.0.set_read_timeout(Some(Duration::from_millis(limit_ms)));
        loop {
            match wire::read_message(&mut self.0) {
                Ok((b'Z', _)) => return answer,
                Ok((b'E', body)) => answer.error = Some(wire::read_error(&body)),
                Ok((b'C', body)) => answer.tags.push(wire::cut_string(&body).0),
                Ok((b'D', body)) if answer.value.is_none() => {
                    answer.value = Some(String::from_utf8_lossy(body.get(6..).unwrap_or(b"")).into_owned())
                }
                Ok(_) => {}
                Err(error) => {
                    use std::io::ErrorKind::{TimedOut, WouldBlock};
                    let silent = matches!(error.kind(), TimedOut | WouldBlock);
                    (answer.silent, answer.ended) = (silent, !silent);
                    return answer;
                }
            }
        }
    }

    /// Sends a simple query and waits for its answer.
    pub fn query(&mut self, sql: &str, limit_ms: u64) -> Answer {
        match self.send(&wire::query(sql)) {
            Ok(()) => self.answer(limit_ms),
            Err(_) => Answer { ended: true, ..Answer::default() },
        }
    }
}
