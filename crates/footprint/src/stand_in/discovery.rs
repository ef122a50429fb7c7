//! A discovery service for one pooler: answers a list request with the full list and sends changes on the
//! same connection.

use crate::error::socket_error;
use crate::{MeasureError, Ports};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A watch is silent without an empty line every 2 s; this interval is well below.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two attempts to accept a connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);
/// A connection without any data for this long is closed before its request is complete.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

struct Shared {
    full_list: Mutex<Vec<u8>>,
    watch: Mutex<Option<TcpStream>>,
    requests: AtomicU64,
    stop: AtomicBool,
}

/// The service, on its own thread until this is dropped.
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Discovery {
    /// Listens, and answers each request with the given list.
    pub fn start(ports: &mut Ports, full_list: String) -> Result<Discovery, MeasureError> {
        let listener = ports.listener()?;
        listener.set_nonblocking(true).map_err(socket_error("discovery"))?;
        let address = listener.local_addr().map_err(socket_error("discovery"))?;
        let shared = Arc::new(Shared {
            full_list: Mutex::new(encode_line(&full_list)),
            watch: Mutex::default(),
            requests: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        let service = shared.clone();
        std::thread::spawn(move || service.serve(&listener));
        Ok(Discovery { address, shared })
    }

    /// Sends a document on the watch. Returns its bytes on the wire, or None if there is no watch.
    pub fn push_list(&self, document: &str) -> Option<usize> {
        let bytes = encode_line(document);
        self.shared.write_to_watch(&bytes).then_some(bytes.len())
    }

    /// Number of list requests answered so far.
    pub fn request_count(&self) -> u64 {
        self.shared.requests.load(Ordering::SeqCst)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
    }
}

impl Shared {
    fn serve(&self, listener: &TcpListener) {
        let mut next_empty_line = Instant::now() + EMPTY_LINE_INTERVAL;
        while !self.stop.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => self.answer(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => std::thread::sleep(ACCEPT_INTERVAL),
                Err(_) => return,
            }
            if Instant::now() >= next_empty_line {
                self.write_to_watch(&peers::encode_chunks([&b"\n"[..]]));
                next_empty_line = Instant::now() + EMPTY_LINE_INTERVAL;
            }
        }
    }

    /// Reads one request and answers it with the full list. Its connection is the watch from then on.
    fn answer(&self, mut stream: TcpStream) {
        let mut request = Vec::new();
        let mut byte = [0];
        let configured = stream
            .set_nonblocking(false)
            .and_then(|()| stream.set_read_timeout(Some(REQUEST_TIMEOUT)))
            .and_then(|()| stream.set_nodelay(true));
        if configured.is_err() {
            return;
        }
        while !request.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => request.push(byte[0]),
                _ => return,
            }
        }
        let full_list = self.full_list.lock().unwrap_or_else(PoisonError::into_inner);
        if stream
            .write_all(peers::RESPONSE_HEAD.as_bytes())
            .and_then(|()| stream.write_all(&full_list))
            .is_ok()
        {
            *self.watch.lock().unwrap_or_else(PoisonError::into_inner) = Some(stream);
            self.requests.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn write_to_watch(&self, bytes: &[u8]) -> bool {
        let mut watch = self.watch.lock().unwrap_or_else(PoisonError::into_inner);
        watch.as_mut().is_some_and(|stream| stream.write_all(bytes).is_ok())
    }
}

/// Encodes a document as one line in one chunk.
fn encode_line(document: &str) -> Vec<u8> {
    peers::encode_chunks([format!("{document}\n").as_bytes()])
}
