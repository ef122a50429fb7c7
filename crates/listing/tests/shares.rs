//! A connection to discovery is read in shares, however much arrives on it.

use std::io::{self, Read, Write};

use buffer::{Budget, MAX_BUFFER_BYTES};
use listing::connection::Connection;

/// Discovery that sends empty lines without end.
struct Endless {
    head: &'static [u8],
    read: usize,
}

impl Read for Endless {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if !self.head.is_empty() {
            return self.head.read(buffer);
        }
        let line = b"1\r\n\n\r\n";
        let whole = buffer.len() / line.len() * line.len();
        if whole == 0 {
            buffer[0] = line[self.read % line.len()];
            self.read += 1;
            return Ok(1);
        }
        let offset = self.read % line.len();
        buffer[..whole].iter_mut().enumerate().for_each(|(n, byte)| *byte = line[(offset + n) % line.len()]);
        self.read += whole;
        Ok(whole)
    }
}

impl Write for Endless {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards issue 55: an event of one source lasted for as long as its remote party sent.
#[test]
fn a_transfer_ends_though_discovery_sends_without_end() {
    let budget = Budget::new(4 * MAX_BUFFER_BYTES);
    let address = "127.0.0.1:8500".parse().unwrap();
    let mut connection = Connection::new(address, 41, &budget).unwrap();
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut discovery = Endless { head, read: 0 };
    for _ in 0..3 {
        let mut pieces = Vec::new();
        connection.transfer(&mut discovery, &mut pieces).unwrap();
        assert!(connection.has_unread());
        assert!(!pieces.is_empty());
    }
    assert!(discovery.read <= 16 * MAX_BUFFER_BYTES, "{} bytes", discovery.read);
}
