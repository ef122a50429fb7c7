//! Ring buffers, one per connection and direction, and the memory budget that they share.

mod lines;

pub use lines::{Lines, TooLong};

use std::cell::Cell;
use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::rc::Rc;

/// Size of a buffer when first used (bytes).
const INITIAL_BYTES: usize = 1024;
/// An empty buffer above this size (bytes) frees its memory. Guards against a thousand idle connections that
/// each retain the size of their largest message.
const MAX_RETAINED_BYTES: usize = 4 * 1024;
/// Maximum size of a charge for which the reserve of a budget is kept (bytes).
const MAX_SMALL_BYTES: usize = MAX_RETAINED_BYTES;
/// Maximum size of a buffer: the largest message of either protocol, with its header. A value has at most 64
/// KiB, and twice that in hexadecimal.
pub const MAX_BUFFER_BYTES: usize = 160 * 1024;

/// Why reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// The source has no more data for now.
    Drained,
    /// The source has ended.
    Ended,
    /// The buffer is at its maximum size, or the budget is exhausted.
    Full,
}

/// The data exceeds the maximum size of the buffer or the budget.
#[derive(Debug)]
pub struct Overflow;

/// The memory limit of all buffers together. Guards against many connections that are each within their limit
/// and together exceed that of the process, which would be killed.
#[derive(Clone)]
pub struct Budget(Rc<BudgetState>);

struct BudgetState {
    limit: Cell<usize>,
    used: Cell<usize>,
    /// Whether a part of the limit is kept for small buffers.
    has_reserve: bool,
}

/// The part of a limit that is kept for small buffers is one in this many.
const RESERVE_DIVISOR: usize = 8;

impl Budget {
    pub fn new(bytes: usize) -> Self {
        Budget::create(bytes, false)
    }

    /// A budget of which a part is kept for small charges and buffers, so that many large messages that are
    /// not complete leave room for the short ones of other connections.
    pub fn with_reserve(bytes: usize) -> Self {
        Budget::create(bytes, true)
    }

    fn create(bytes: usize, has_reserve: bool) -> Self {
        Budget(Rc::new(BudgetState { limit: Cell::new(bytes), used: Cell::new(0), has_reserve }))
    }

    /// Returns the limit for a charge of this size.
    fn limit_for(&self, bytes: usize) -> usize {
        let limit = self.0.limit.get();
        let reserve = if self.0.has_reserve && bytes > MAX_SMALL_BYTES { limit / RESERVE_DIVISOR } else { 0 };
        limit - reserve
    }

    /// Changes the limit. Memory above a lower limit stays allocated; no more is granted until the total is
    /// below the limit.
    pub fn resize(&self, bytes: usize) {
        self.0.limit.set(bytes);
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.0.used.get()
    }

    /// A charge against this budget, of zero bytes at first.
    pub fn charge(&self) -> Charge {
        Charge { budget: self.clone(), bytes: 0 }
    }
}

/// The share of one holder of the budget; returned when dropped.
pub struct Charge {
    budget: Budget,
    bytes: usize,
}

impl Charge {
    /// Sets the charge to `bytes` even if that exceeds the budget.
    pub fn set_over_budget(&mut self, bytes: usize) {
        let Budget(state) = &self.budget;
        state.used.set(state.used.get() - self.bytes + bytes);
        self.bytes = bytes;
    }

    /// Sets the charge to `bytes`; leaves it unchanged if that exceeds the budget.
    pub fn set(&mut self, bytes: usize) -> Result<(), Overflow> {
        let used = self.budget.used() - self.bytes + bytes;
        if bytes > self.bytes && used > self.budget.limit_for(bytes) {
            return Err(Overflow);
        }
        self.set_over_budget(bytes);
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        // Reducing a charge always succeeds.
        let _ = self.set(0);
    }
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.bytes)
    }
}

/// A byte queue that grows up to [`MAX_BUFFER_BYTES`] within its budget.
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

    /// Charges `bytes` to the same budget, for data that was taken from this buffer.
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

    /// Makes room for `more` bytes within the maximum size and the budget.
    fn reserve(&mut self, more: usize) -> Result<(), Overflow> {
        let need = self.len + more;
        if need > MAX_BUFFER_BYTES {
            return Err(Overflow);
        }
        if need > self.buffer.len() {
            let size = need.next_power_of_two().clamp(INITIAL_BYTES, MAX_BUFFER_BYTES);
            self.charge.set(size)?;
            let mut buffer = vec![0; size];
            self.copy(0, &mut buffer[..self.len]);
            (self.buffer, self.head) = (buffer, 0);
        }
        Ok(())
    }

    /// Reads until the source would block, has ended, or the buffer is full.
    pub fn fill(&mut self, source: &mut impl Read) -> io::Result<Fill> {
        self.fill_up_to(source, usize::MAX)
    }

    /// Reads at most `wanted` bytes; returns `Drained` once they are read, otherwise like [`Ring::fill`].
    pub fn fill_up_to(&mut self, source: &mut impl Read, wanted: usize) -> io::Result<Fill> {
        let mut left = wanted;
        loop {
            if left == 0 {
                return Ok(Fill::Drained);
            }
            if self.len == self.buffer.len() && self.reserve(1).is_err() {
                return Ok(Fill::Full);
            }
            let size = self.buffer.len();
            let tail = (self.head + self.len) % size;
            let end = if tail < self.head { self.head } else { size };
            let end = end.min(tail.saturating_add(left));
            match source.read(&mut self.buffer[tail..end]) {
                Ok(0) => return Ok(Fill::Ended),
                Ok(count) => {
                    self.len += count;
                    left -= count;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.release();
                    return Ok(Fill::Drained);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Writes until the buffer is empty or the sink would block; returns true if the buffer is empty.
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

    /// Pushes a short message that must be sent even if the budget is exhausted. A buffer exceeds the budget
    /// by at most [`INITIAL_BYTES`] for it, and all buffers together by that for each connection.
    pub fn push_over_budget(&mut self, bytes: &[u8]) -> Result<(), Overflow> {
        if self.push(bytes).is_ok() {
            return Ok(());
        }
        if !self.is_empty() || bytes.len() > INITIAL_BYTES {
            return Err(Overflow);
        }
        self.charge.set_over_budget(INITIAL_BYTES);
        (self.buffer, self.head) = (vec![0; INITIAL_BYTES], 0);
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

    /// Copies the data at offset `from` without taking it; the caller has checked that there is enough of it.
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

    /// Returns the first bytes without taking them; `None` if there are fewer.
    pub fn peek<const N: usize>(&self) -> Option<[u8; N]> {
        let mut bytes = [0; N];
        (self.len >= N).then(|| self.copy(0, &mut bytes))?;
        Some(bytes)
    }

    /// Returns a copy of at most `max` bytes from the front, without taking them.
    pub fn peek_up_to(&self, max: usize) -> Vec<u8> {
        let mut bytes = vec![0; max.min(self.len)];
        self.copy(0, &mut bytes);
        bytes
    }

    /// Takes at most `count` bytes.
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

    /// Discards all bytes and frees the memory, whatever its size.
    pub fn clear(&mut self) {
        (self.buffer, self.head, self.len) = (Vec::new(), 0, 0);
        // Reducing a charge always succeeds.
        let _ = self.charge.set(0);
    }

    fn release(&mut self) {
        if self.len == 0 && self.buffer.len() > MAX_RETAINED_BYTES {
            self.buffer = Vec::new();
            // Reducing a charge always succeeds.
            let _ = self.charge.set(0);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_keep_their_order_across_wrap_around_and_growth() {
        let mut ring = Ring::new(&Budget::new(MAX_BUFFER_BYTES));
        let (mut put, mut got): (u8, u8) = (0, 0);
        // Odd sizes move the wrap-around to every offset; more goes in than comes out, so that the buffer
        // also grows.
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
    fn a_short_message_may_exceed_the_budget_once_and_returns_it() {
        let budget = Budget::new(INITIAL_BYTES);
        let (mut full, mut short) = (Ring::new(&budget), Ring::new(&budget));
        full.push(&[1; INITIAL_BYTES]).unwrap();
        assert!(short.push(&[2; 10]).is_err());
        short.push_over_budget(&[2; 10]).unwrap();
        assert!(short.push_over_budget(&[2; INITIAL_BYTES]).is_err(), "only once, and only a short message");
        assert_eq!(budget.used(), 2 * INITIAL_BYTES);
        assert_eq!(short.take(20), [2; 10]);
        drop((full, short));
        assert_eq!(budget.used(), 0);
    }

    /// Guards new connections against many that have ended, each of which kept a small buffer while it lingered.
    #[test]
    fn a_cleared_buffer_holds_no_memory() {
        let budget = Budget::new(2 * MAX_RETAINED_BYTES);
        let mut ring = Ring::new(&budget);
        ring.push(&[1; MAX_RETAINED_BYTES]).unwrap();
        ring.skip(MAX_RETAINED_BYTES);
        assert_eq!(budget.used(), MAX_RETAINED_BYTES, "kept for the next message");
        ring.push(&[2; INITIAL_BYTES]).unwrap();
        ring.clear();
        assert!(ring.is_empty() && budget.used() == 0);
        ring.push(&[3]).unwrap();
        assert_eq!(ring.take(2), [3]);
    }

    /// Guards short messages against many long ones that are not complete.
    #[test]
    fn long_messages_leave_a_part_of_the_memory_to_short_ones() {
        let budget = Budget::with_reserve(RESERVE_DIVISOR * MAX_BUFFER_BYTES);
        let mut long: Vec<Ring> = (0..RESERVE_DIVISOR).map(|_| Ring::new(&budget)).collect();
        let filled = long.iter_mut().filter_map(|ring| ring.push(&[1; MAX_BUFFER_BYTES]).ok()).count();
        assert_eq!(filled, RESERVE_DIVISOR - 1);
        let mut short: Vec<Ring> =
            (0..MAX_BUFFER_BYTES / INITIAL_BYTES).map(|_| Ring::new(&budget)).collect();
        assert!(short.iter_mut().all(|ring| ring.push(&[2; INITIAL_BYTES]).is_ok()));
        assert!(Ring::new(&budget).push(&[2]).is_err(), "beyond the budget of all");
    }

    #[test]
    fn buffers_share_a_budget_and_return_it() {
        let budget = Budget::new(MAX_BUFFER_BYTES + INITIAL_BYTES);
        let (mut one, mut two) = (Ring::new(&budget), Ring::new(&budget));
        one.push(&vec![1; MAX_BUFFER_BYTES]).unwrap();
        assert!(one.push(&[1]).is_err(), "beyond its own maximum size");
        two.push(&[2]).unwrap();
        assert!(two.push(&vec![2; INITIAL_BYTES]).is_err(), "beyond the budget of both");
        assert_eq!(two.fill(&mut &[3; MAX_BUFFER_BYTES][..]).unwrap(), Fill::Full);
        one.skip(MAX_BUFFER_BYTES);
        assert_eq!(two.fill(&mut &[3; INITIAL_BYTES][..]).unwrap(), Fill::Ended);
        drop((one, two));
        assert_eq!(budget.used(), 0);
    }
}
