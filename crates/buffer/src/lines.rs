//! Cuts bytes into lines, within a bound.

/// A line that does not end within the bound: what sends it is of no further use.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

/// Bytes of which whole lines are taken. Holds at most so many bytes.
pub struct Lines {
    bound: usize,
    pending: Vec<u8>,
    /// Up to here there is no line end.
    looked: usize,
}

impl Lines {
    /// Holds at most `bound` bytes.
    pub fn new(bound: usize) -> Lines {
        Lines { bound, pending: Vec::new(), looked: 0 }
    }

    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.pending.len() + bytes.len() > self.bound {
            return Err(TooLong);
        }
        self.pending.extend(bytes);
        Ok(())
    }

    /// Takes the next whole line, without its end.
    pub fn take(&mut self) -> Option<Vec<u8>> {
        let end = self.pending[self.looked..].iter().position(|byte| *byte == b'\n');
        let Some(end) = end.map(|end| end + self.looked) else {
            self.looked = self.pending.len();
            return None;
        };
        let mut line: Vec<u8> = self.pending.drain(..=end).collect();
        line.pop();
        self.looked = 0;
        if self.pending.is_empty() {
            // Not kept for the next: one long line should not cost its size for ever.
            self.pending = Vec::new();
        }
        Some(line)
    }

    /// Takes what is held as a last line, where nothing more is to come; none where nothing is held.
    pub fn take_rest(&mut self) -> Option<Vec<u8>> {
        self.looked = 0;
        Some(std::mem::take(&mut self.pending)).filter(|rest| !rest.is_empty())
    }

    /// Bytes held.
    pub fn buffered_bytes(&self) -> usize {
        self.pending.len()
    }
}
