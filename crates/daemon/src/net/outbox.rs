//! Bytes that are still to be written to a local connection.

use std::io::{self, ErrorKind, Write};

/// Unwritten bytes. The buffer has no limit of its own: the callers bound what they push.
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

    /// Writes as much as possible without blocking. Returns true if at least one byte was written.
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
