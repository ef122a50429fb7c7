//! Datagrams read off a socket, so many at a time.

use std::io::ErrorKind;
use std::net::SocketAddr;

use mio::net::UdpSocket;

/// Longest datagram that is looked at (bytes): a longer one is none of an instance's.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Datagrams read at a time; the others have their turn first.
const AT_A_TIME: usize = 512;

/// Hands on what has come, with where it came from. Whether some may be left.
pub(crate) fn receive(socket: &UdpSocket, mut take: impl FnMut(SocketAddr, &[u8])) -> bool {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    for _ in 0..AT_A_TIME {
        match socket.recv_from(&mut bytes) {
            Ok((count, from)) => take(from, &bytes[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
            // Interrupted, or word that nobody listens at a port; it says nothing of the next datagram.
            Err(_) => {}
        }
    }
    true
}
