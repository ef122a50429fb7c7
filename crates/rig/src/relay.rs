//! A relay on loopback with faults, for datagrams and their replies and for TCP streams in both directions.

use std::collections::BinaryHeap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The faults of a relay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Nothing is relayed.
    pub block: bool,
    /// No reply to a datagram is relayed.
    pub block_replies: bool,
    /// Share of the datagrams that is lost, relayed twice, or relayed with one bit flipped.
    pub loss: f64,
    pub duplication: f64,
    pub corruption: f64,
    /// Share of the datagrams that is delayed, and by how much.
    pub delayed_share: f64,
    pub delay: Duration,
}

/// A relay to one instance, used by one other process.
pub struct Relay {
    pub address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    stopping: Arc<AtomicBool>,
    /// Datagram bytes relayed so far.
    pub bytes: Arc<AtomicU64>,
}

/// A datagram to be sent at a time, and its destination.
struct DelayedDatagram(Instant, Vec<u8>, SocketAddr);

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &DelayedDatagram) -> bool {
        self.0 == other.0
    }
}

impl Eq for DelayedDatagram {}

impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &DelayedDatagram) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedDatagram {
    // Reversed, so that the heap yields the earliest datagram first.
    fn cmp(&self, other: &DelayedDatagram) -> std::cmp::Ordering {
        other.0.cmp(&self.0)
    }
}

impl Relay {
    pub fn new(to: SocketAddr, seed: u64) -> Relay {
        let (udp, tcp) = loop {
            let tcp = TcpListener::bind("127.0.0.1:0").expect("a listener");
            if let Ok(udp) = UdpSocket::bind(tcp.local_addr().expect("an address")) {
                break (udp, tcp);
            }
        };
        let address = udp.local_addr().expect("an address");
        let faults = Arc::new(Mutex::new(Faults::default()));
        let (stopping, bytes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let relay =
            Relay { address, faults: faults.clone(), stopping: stopping.clone(), bytes: bytes.clone() };
        let (datagram_faults, datagrams_stopping) = (faults.clone(), stopping.clone());
        std::thread::spawn(move || {
            relay_datagrams(&udp, to, seed, &datagram_faults, &datagrams_stopping, &bytes)
        });
        tcp.set_nonblocking(true).expect("a listener");
        std::thread::spawn(move || relay_streams(&tcp, to, &faults, &stopping));
        relay
    }

    pub fn change_faults(&self, change: impl Fn(&mut Faults)) {
        if let Ok(mut faults) = self.faults.lock() {
            change(&mut faults);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

fn relay_datagrams(
    udp: &UdpSocket,
    to: SocketAddr,
    seed: u64,
    faults: &Mutex<Faults>,
    stopping: &AtomicBool,
    relayed_bytes: &AtomicU64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut delayed: BinaryHeap<DelayedDatagram> = BinaryHeap::new();
    let mut bytes = [0; 2_048];
    // The last sender other than `to`, which receives the replies.
    let mut last_sender = None;
    while !stopping.load(Ordering::Relaxed) {
        let now = Instant::now();
        while delayed.peek().is_some_and(|DelayedDatagram(at, ..)| *at <= now) {
            if let Some(DelayedDatagram(_, bytes, to)) = delayed.pop() {
                let _ = udp.send_to(&bytes, to);
            }
        }
        let wait = delayed
            .peek()
            .map_or(Duration::from_millis(50), |DelayedDatagram(at, ..)| at.duration_since(now));
        let _ = udp.set_read_timeout(Some(wait.clamp(Duration::from_millis(1), Duration::from_millis(50))));
        let Ok((count, from)) = udp.recv_from(&mut bytes) else { continue };
        let is_reply = from == to;
        if !is_reply {
            last_sender = Some(from);
        }
        let Some(to) = (if is_reply { last_sender } else { Some(to) }) else { continue };
        let active_faults = faults.lock().map(|faults| *faults).unwrap_or_default();
        if active_faults.block || (active_faults.block_replies && is_reply) || rng.f64() < active_faults.loss
        {
            continue;
        }
        let mut datagram = bytes[..count].to_vec();
        if rng.f64() < active_faults.corruption {
            let at = rng.usize(..count.max(1));
            datagram[at] ^= 1 << rng.u32(..8);
        }
        relayed_bytes.fetch_add(count as u64, Ordering::Relaxed);
        let delay =
            if rng.f64() < active_faults.delayed_share { active_faults.delay } else { Duration::ZERO };
        if rng.f64() < active_faults.duplication {
            let at = Instant::now() + delay + Duration::from_millis(rng.u64(..50));
            delayed.push(DelayedDatagram(at, datagram.clone(), to));
        }
        if delay.is_zero() {
            let _ = udp.send_to(&datagram, to);
        } else {
            delayed.push(DelayedDatagram(Instant::now() + delay, datagram, to));
        }
    }
}

fn relay_streams(tcp: &TcpListener, to: SocketAddr, faults: &Arc<Mutex<Faults>>, stopping: &Arc<AtomicBool>) {
    while !stopping.load(Ordering::Relaxed) {
        match tcp.accept() {
            Ok((from, _)) => {
                let Ok(to) = TcpStream::connect(to) else { continue };
                let _ = from.set_nonblocking(false);
                for (from, to) in [(from.try_clone(), to.try_clone()), (to.try_clone(), from.try_clone())] {
                    if let (Ok(from), Ok(to)) = (from, to) {
                        let (faults, stopping) = (faults.clone(), stopping.clone());
                        std::thread::spawn(move || copy_stream(from, to, &faults, &stopping));
                    }
                }
            }
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    }
}

fn copy_stream(mut from: TcpStream, mut to: TcpStream, faults: &Mutex<Faults>, stopping: &AtomicBool) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut bytes = [0; 16 * 1024];
    while !stopping.load(Ordering::Relaxed) {
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => {
                // A blocked stream stays open and continues where it stopped.
                while faults.lock().is_ok_and(|faults| faults.block) && !stopping.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(5));
                }
                if to.write_all(&bytes[..count]).is_err() {
                    break;
                }
            }
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}
