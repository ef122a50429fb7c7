//! A relay on loopback: datagrams and the answers to them, streams both ways, with faults.

use std::collections::BinaryHeap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a relay does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Nothing passes.
    pub block: bool,
    /// No answer to a datagram passes.
    pub block_replies: bool,
    /// Share of the datagrams that is lost, comes twice, has a byte spoilt.
    pub loss: f64,
    pub duplication: f64,
    pub corruption: f64,
    /// Share that comes so much later, and how much.
    pub delayed_share: f64,
    pub delay: Duration,
}

/// A relay to one instance, for one other.
pub struct Relay {
    pub address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    over: Arc<AtomicBool>,
    /// Bytes that were passed on.
    pub bytes: Arc<AtomicU64>,
}

/// A datagram that is to be passed on at a time, and where to.
struct Later(Instant, Vec<u8>, SocketAddr);

impl PartialEq for Later {
    fn eq(&self, other: &Later) -> bool {
        self.0 == other.0
    }
}

impl Eq for Later {}

impl PartialOrd for Later {
    fn partial_cmp(&self, other: &Later) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Later {
    // The soonest is the greatest.
    fn cmp(&self, other: &Later) -> std::cmp::Ordering {
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
        let (over, bytes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let relay = Relay { address, faults: faults.clone(), over: over.clone(), bytes: bytes.clone() };
        let (seen, ends) = (faults.clone(), over.clone());
        std::thread::spawn(move || datagrams(&udp, to, seed, &seen, &ends, &bytes));
        tcp.set_nonblocking(true).expect("a listener");
        std::thread::spawn(move || streams(&tcp, to, &faults, &over));
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
        self.over.store(true, Ordering::Relaxed);
    }
}

fn datagrams(
    udp: &UdpSocket,
    to: SocketAddr,
    seed: u64,
    faults: &Mutex<Faults>,
    over: &AtomicBool,
    passed: &AtomicU64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut later: BinaryHeap<Later> = BinaryHeap::new();
    let mut bytes = [0; 2_048];
    // Who spoke last: answers go there.
    let mut speaker = None;
    while !over.load(Ordering::Relaxed) {
        let now = Instant::now();
        while later.peek().is_some_and(|Later(at, ..)| *at <= now) {
            if let Some(Later(_, bytes, to)) = later.pop() {
                let _ = udp.send_to(&bytes, to);
            }
        }
        let wait = later.peek().map_or(Duration::from_millis(50), |Later(at, ..)| at.duration_since(now));
        let _ = udp.set_read_timeout(Some(wait.clamp(Duration::from_millis(1), Duration::from_millis(50))));
        let Ok((count, from)) = udp.recv_from(&mut bytes) else { continue };
        let is_answer = from == to;
        if !is_answer {
            speaker = Some(from);
        }
        let Some(to) = (if is_answer { speaker } else { Some(to) }) else { continue };
        let does = faults.lock().map(|faults| *faults).unwrap_or_default();
        if does.block || (does.block_replies && is_answer) || rng.f64() < does.loss {
            continue;
        }
        let mut datagram = bytes[..count].to_vec();
        if rng.f64() < does.corruption {
            let at = rng.usize(..count.max(1));
            datagram[at] ^= 1 << rng.u32(..8);
        }
        passed.fetch_add(count as u64, Ordering::Relaxed);
        let late = if rng.f64() < does.delayed_share { does.delay } else { Duration::ZERO };
        if rng.f64() < does.duplication {
            let at = Instant::now() + late + Duration::from_millis(rng.u64(..50));
            later.push(Later(at, datagram.clone(), to));
        }
        if late.is_zero() {
            let _ = udp.send_to(&datagram, to);
        } else {
            later.push(Later(Instant::now() + late, datagram, to));
        }
    }
}

fn streams(tcp: &TcpListener, to: SocketAddr, faults: &Arc<Mutex<Faults>>, over: &Arc<AtomicBool>) {
    while !over.load(Ordering::Relaxed) {
        match tcp.accept() {
            Ok((from, _)) => {
                let Ok(to) = TcpStream::connect(to) else { continue };
                let _ = from.set_nonblocking(false);
                for (from, to) in [(from.try_clone(), to.try_clone()), (to.try_clone(), from.try_clone())] {
                    if let (Ok(from), Ok(to)) = (from, to) {
                        let (faults, over) = (faults.clone(), over.clone());
                        std::thread::spawn(move || pass(from, to, &faults, &over));
                    }
                }
            }
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, faults: &Mutex<Faults>, over: &AtomicBool) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut bytes = [0; 16 * 1024];
    while !over.load(Ordering::Relaxed) {
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => {
                // A cut stream is silent, and goes on where it stopped.
                while faults.lock().is_ok_and(|faults| faults.block) && !over.load(Ordering::Relaxed) {
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
