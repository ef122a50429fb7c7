//! Reads datagrams from a socket in bounded batches.

use std::io::ErrorKind;
use std::net::SocketAddr;

use mio::net::UdpSocket;

/// Maximum size of a datagram (bytes). Instances send none that are longer; a longer one is truncated and
/// then rejected.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Maximum number of datagrams read in one call, so that other event sources are handled in between.
const MAX_DATAGRAMS_PER_CALL: usize = 64;

/// Passes each received datagram with its sender to `take`. Returns true if more datagrams may be waiting.
pub(crate) fn receive(socket: &UdpSocket, mut take: impl FnMut(SocketAddr, &[u8])) -> bool {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    for _ in 0..MAX_DATAGRAMS_PER_CALL {
        match socket.recv_from(&mut bytes) {
            Ok((count, from)) => take(from, &bytes[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
            // Interrupted, or an ICMP "port unreachable" for a datagram sent earlier: the next read may
            // succeed.
            Err(_) => {}
        }
    }
    true
}
