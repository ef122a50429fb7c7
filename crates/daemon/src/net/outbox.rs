//! What is to go over a local connection, as far as it has not gone yet.

use std::io::{self, ErrorKind, Write};

/// Bytes that wait. Grows with what is said: whoever says it bounds that.
#[derive(Default)]
pub(crate) struct Outbox {
    bytes: Vec<u8>,
    written: usize,
}

impl Outbox {
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Writes as far as it goes without waiting; whether anything went.
    pub fn flush(&mut self, stream: &mut impl Write) -> io::Result<bool> {
        let before = self.written;
        while self.written < self.bytes.len() {
            match stream.write(&self.bytes[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(self.written > before),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        let any = self.written > before;
        *self = Outbox::default();
        Ok(any)
    }
}
