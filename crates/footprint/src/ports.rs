//! Ports for listeners. The ports are below the ephemeral range: the kernel could give an ephemeral port to a
//! connection of another process before all listeners are bound.

use crate::MeasureError;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Lowest port used.
const FIRST_PORT: u16 = 10_000;
/// Maximum number of ports tried for one set of listeners.
const MAX_ATTEMPTS: usize = 200;
/// Loopback addresses used in each of 127.1.0.0, 127.1.1.0 and so on.
const ADDRESSES_PER_BLOCK: usize = 250;

/// Draws random ports from the allowed range.
pub struct Ports {
    random: fastrand::Rng,
    last_port: u16,
}

impl Ports {
    /// Draws from port 10,000 up to the last one below `first_ephemeral`. The draws do not depend on the seed
    /// of the run: a port of the previous run may still be in use.
    pub fn below(first_ephemeral: u16) -> Ports {
        Ports { random: fastrand::Rng::new(), last_port: first_ephemeral.saturating_sub(1).max(FIRST_PORT) }
    }

    /// An address at 127.0.0.1 whose port is free at present, for a process that is started later.
    pub fn free(&mut self) -> Result<SocketAddr, MeasureError> {
        Ok(self.listen(&[IpAddr::V4(Ipv4Addr::LOCALHOST)])?.1)
    }

    /// Binds a listener at 127.0.0.1.
    pub fn listener(&mut self) -> Result<TcpListener, MeasureError> {
        Ok(self.listen(&[IpAddr::V4(Ipv4Addr::LOCALHOST)])?.0.remove(0))
    }

    /// Binds `count` listeners on one port, each on its own loopback address.
    pub fn listeners(&mut self, count: usize) -> Result<Vec<TcpListener>, MeasureError> {
        let addresses: Vec<IpAddr> = (0..count).map(loopback_address).collect();
        Ok(self.listen(&addresses)?.0)
    }

    fn listen(&mut self, addresses: &[IpAddr]) -> Result<(Vec<TcpListener>, SocketAddr), MeasureError> {
        for _ in 0..MAX_ATTEMPTS {
            let port = self.random.u16(FIRST_PORT..=self.last_port);
            let listeners: Result<Vec<TcpListener>, _> =
                addresses.iter().map(|address| TcpListener::bind((*address, port))).collect();
            if let Ok(listeners) = listeners {
                return Ok((listeners, SocketAddr::new(addresses[0], port)));
            }
        }
        Err(MeasureError::NoPort { first: FIRST_PORT, last: self.last_port })
    }
}

fn loopback_address(index: usize) -> IpAddr {
    let (block, host) = (index / ADDRESSES_PER_BLOCK, index % ADDRESSES_PER_BLOCK);
    IpAddr::V4(Ipv4Addr::new(127, 1, block as u8, host as u8 + 1))
}
