//! Splits bytes into lines of a limited length.

/// A line does not end within the limit; its sender must not be read from any more.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

/// Collects bytes and returns complete lines; stores at most `bound` bytes.
pub struct Lines {
    bound: usize,
    pending: Vec<u8>,
    /// Up to this index there is no line end.
    scanned: usize,
}

impl Lines {
    /// Stores at most `bound` bytes.
    pub fn new(bound: usize) -> Lines {
        Lines { bound, pending: Vec::new(), scanned: 0 }
    }

    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.pending.len() + bytes.len() > self.bound {
            return Err(TooLong);
        }
        self.pending.extend(bytes);
        Ok(())
    }

    /// Takes the next complete line, without its line end.
    pub fn take(&mut self) -> Option<Vec<u8>> {
        let end = self.pending[self.scanned..].iter().position(|byte| *byte == b'\n');
        let Some(end) = end.map(|end| end + self.scanned) else {
            self.scanned = self.pending.len();
            return None;
        };
        let mut line: Vec<u8> = self.pending.drain(..=end).collect();
        line.pop();
        self.scanned = 0;
        if self.pending.is_empty() {
            // Frees the memory: one long line must not occupy its size forever.
            self.pending = Vec::new();
        }
        Some(line)
    }

    /// Takes the rest as a last line, for use when no more data will come; `None` if there is none.
    pub fn take_rest(&mut self) -> Option<Vec<u8>> {
        self.scanned = 0;
        Some(std::mem::take(&mut self.pending)).filter(|rest| !rest.is_empty())
    }

    pub fn buffered_bytes(&self) -> usize {
        self.pending.len()
    }
}
