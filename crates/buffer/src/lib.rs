//! The ring buffer that each connection has for each direction, and the memory budget of all of them.

mod lines;

pub use lines::{Lines, TooLong};

use std::cell::Cell;
use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::rc::Rc;

/// Size of a buffer when first used.
const START: usize = 1024;
/// An empty buffer above this size gives its memory back. Guards against a thousand idle connections that
/// each keep what their largest message once took.
const KEEP: usize = 4 * 1024;
/// Most bytes that one buffer holds: the largest message either protocol may carry, with its frame. A value
/// is at most 64 KiB, which written out in hexadecimal is twice that.
pub const MAX_BUFFER_BYTES: usize = 160 * 1024;

/// Why reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// The source has nothing more for now.
    Drained,
    /// The source has ended.
    Ended,
    /// The buffer is at its bound, or all buffers together are at theirs.
    Full,
}

/// More was pushed than the bound admits.
#[derive(Debug)]
pub struct Overflow;

/// The memory that all buffers together may take. Guards against many peers that are each within their
/// bound and together past the limit of the process, which would be killed for it.
#[derive(Clone)]
pub struct Budget(Rc<Pool>);

struct Pool {
    limit: Cell<usize>,
    used: Cell<usize>,
}

impl Budget {
    pub fn new(bytes: usize) -> Self {
        Budget(Rc::new(Pool { limit: Cell::new(bytes), used: Cell::new(0) }))
    }

    /// So many bytes from now on. Who holds more than that keeps it; nobody gets more until it fits again.
    pub fn resize(&self, bytes: usize) {
        self.0.limit.set(bytes);
    }

    /// Bytes that are held.
    pub fn used(&self) -> usize {
        self.0.used.get()
    }

    /// A part of it, of no size yet.
    pub fn charge(&self) -> Charge {
        Charge { budget: self.clone(), bytes: 0 }
    }
}

/// What one holder has of a budget; given back when dropped.
pub struct Charge {
    budget: Budget,
    bytes: usize,
}

impl Charge {
    /// Makes it so many bytes, whether or not the budget reaches.
    fn force(&mut self, bytes: usize) {
        let Budget(pool) = &self.budget;
        pool.used.set(pool.used.get() - self.bytes + bytes);
        self.bytes = bytes;
    }

    /// Makes it so many bytes; unchanged where the budget does not reach.
    pub fn set(&mut self, bytes: usize) -> Result<(), Overflow> {
        let Budget(pool) = &self.budget;
        let used = pool.used.get() - self.bytes + bytes;
        if bytes > self.bytes && used > pool.limit.get() {
            return Err(Overflow);
        }
        self.force(bytes);
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        // Taking less than before always succeeds.
        let _ = self.set(0);
    }
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.bytes)
    }
}

/// A queue of bytes that grows up to [`MAX_BUFFER_BYTES`], as far as its budget reaches.
pub struct Ring {
    buffer: Vec<u8>,
    head: usize,
    len: usize,
    charge: Charge,
}

impl Ring {
    pub fn new(budget: &Budget) -> Self {
        Ring { buffer: Vec::new(), head: 0, len: 0, charge: budget.charge() }
    }

    /// So many bytes more of the same budget, for something that was in this buffer.
    pub fn charge(&self, bytes: usize) -> Result<Charge, Overflow> {
        let mut charge = self.charge.budget.charge();
        charge.set(bytes).map(|()| charge)
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Makes room for `more` bytes, if the bound allows.
    fn reserve(&mut self, more: usize) -> Result<(), Overflow> {
        let need = self.len + more;
        if need > MAX_BUFFER_BYTES {
            return Err(Overflow);
        }
        if need > self.buffer.len() {
            let size = need.next_power_of_two().clamp(START, MAX_BUFFER_BYTES);
            self.charge.set(size)?;
            let mut buffer = vec![0; size];
            self.copy(0, &mut buffer[..self.len]);
            (self.buffer, self.head) = (buffer, 0);
        }
        Ok(())
    }

    /// Reads until the source would block, has ended, or the bound is reached.
    pub fn fill(&mut self, source: &mut impl Read) -> io::Result<Fill> {
        loop {
            if self.len == self.buffer.len() && self.reserve(1).is_err() {
                return Ok(Fill::Full);
            }
            let size = self.buffer.len();
            let tail = (self.head + self.len) % size;
            let end = if tail < self.head { self.head } else { size };
            match source.read(&mut self.buffer[tail..end]) {
                Ok(0) => return Ok(Fill::Ended),
                Ok(count) => self.len += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.release();
                    return Ok(Fill::Drained);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Writes until all is gone or the sink would block; true when all is gone.
    pub fn drain(&mut self, sink: &mut impl Write) -> io::Result<bool> {
        while self.len > 0 {
            let end = (self.head + self.len).min(self.buffer.len());
            match sink.write(&self.buffer[self.head..end]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.skip(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Pushes a short message that is owed whatever is left of the budget. A buffer goes past the budget by [`START`] at the
    /// most for it, so all together by that for each connection.
    pub fn push_over_budget(&mut self, bytes: &[u8]) -> Result<(), Overflow> {
        if self.push(bytes).is_ok() {
            return Ok(());
        }
        if !self.is_empty() || bytes.len() > START {
            return Err(Overflow);
        }
        self.charge.force(START);
        (self.buffer, self.head) = (vec![0; START], 0);
        self.push(bytes)
    }

    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Overflow> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.reserve(bytes.len())?;
        let size = self.buffer.len();
        let tail = (self.head + self.len) % size;
        let first = bytes.len().min(size - tail);
        self.buffer[tail..tail + first].copy_from_slice(&bytes[..first]);
        self.buffer[..bytes.len() - first].copy_from_slice(&bytes[first..]);
        self.len += bytes.len();
        Ok(())
    }

    /// Copies what stands at `from` without taking it; the caller has seen that there is so much.
    fn copy(&self, from: usize, into: &mut [u8]) {
        if into.is_empty() {
            return;
        }
        let start = (self.head + from) % self.buffer.len();
        let first = into.len().min(self.buffer.len() - start);
        let rest = into.len() - first;
        into[..first].copy_from_slice(&self.buffer[start..start + first]);
        into[first..].copy_from_slice(&self.buffer[..rest]);
    }

    /// The first bytes, left where they are; none while there are fewer.
    pub fn peek<const N: usize>(&self) -> Option<[u8; N]> {
        let mut bytes = [0; N];
        (self.len >= N).then(|| self.copy(0, &mut bytes))?;
        Some(bytes)
    }

    /// A copy of what stands first, `most` bytes at the most, left where it is.
    pub fn peek_up_to(&self, most: usize) -> Vec<u8> {
        let mut bytes = vec![0; most.min(self.len)];
        self.copy(0, &mut bytes);
        bytes
    }

    /// Takes as many bytes as are there, `count` at the most.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        let bytes = self.peek_up_to(count);
        self.skip(bytes.len());
        bytes
    }

    pub fn skip(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        self.head = if self.len == 0 { 0 } else { (self.head + count) % self.buffer.len() };
        self.release();
    }

    fn release(&mut self) {
        if self.len == 0 && self.buffer.len() > KEEP {
            self.buffer = Vec::new();
            // Taking less than before always succeeds.
            let _ = self.charge.set(0);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_come_out_in_their_order_however_they_lie() {
        let mut ring = Ring::new(&Budget::new(MAX_BUFFER_BYTES));
        let (mut put, mut got): (u8, u8) = (0, 0);
        // Odd sizes put the seam at every place, and more goes in than out, so it grows meanwhile.
        let mut check = |bytes: Vec<u8>| {
            for byte in bytes {
                assert_eq!(byte, got);
                got = got.wrapping_add(1);
            }
            got
        };
        for round in 0..2000 {
            let bytes: Vec<u8> = (0..round % 37).map(|n| put.wrapping_add(n as u8)).collect();
            ring.push(&bytes).unwrap();
            put = put.wrapping_add(bytes.len() as u8);
            check(ring.take(round % 31));
        }
        let mut rest = Vec::new();
        assert!(ring.drain(&mut rest).unwrap());
        assert_eq!(check(rest), put);
    }

    #[test]
    fn a_short_message_that_is_owed_goes_past_the_budget_and_gives_it_back() {
        let budget = Budget::new(START);
        let (mut full, mut owing) = (Ring::new(&budget), Ring::new(&budget));
        full.push(&[1; START]).unwrap();
        assert!(owing.push(&[2; 10]).is_err());
        owing.push_over_budget(&[2; 10]).unwrap();
        assert!(owing.push_over_budget(&[2; START]).is_err(), "once, and short");
        assert_eq!(budget.used(), 2 * START);
        assert_eq!(owing.take(20), [2; 10]);
        drop((full, owing));
        assert_eq!(budget.used(), 0);
    }

    #[test]
    fn all_buffers_share_their_budget_and_give_it_back() {
        let budget = Budget::new(MAX_BUFFER_BYTES + START);
        let (mut one, mut two) = (Ring::new(&budget), Ring::new(&budget));
        one.push(&vec![1; MAX_BUFFER_BYTES]).unwrap();
        assert!(one.push(&[1]).is_err(), "past its own bound");
        two.push(&[2]).unwrap();
        assert!(two.push(&vec![2; START]).is_err(), "past the budget of both");
        assert_eq!(two.fill(&mut &[3; MAX_BUFFER_BYTES][..]).unwrap(), Fill::Full);
        one.skip(MAX_BUFFER_BYTES);
        assert_eq!(two.fill(&mut &[3; START][..]).unwrap(), Fill::Ended);
        drop((one, two));
        assert_eq!(budget.used(), 0);
    }
}
