//! A discovery service for one pooler: answers a call with the whole list and tells changes on the same connection.

use crate::error::socket;
use crate::{MeasureError, Ports};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// An empty line is due every 2 s on a watch; this is well within.
const BEAT: Duration = Duration::from_millis(500);
const TURN: Duration = Duration::from_millis(5);
/// A caller that sends its request more slowly is dropped.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

struct Shared {
    whole: Mutex<Vec<u8>>,
    watch: Mutex<Option<TcpStream>>,
    calls: AtomicU64,
    over: AtomicBool,
}

/// The service, on a thread of its own until this goes.
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Discovery {
    /// Listens, and answers each call with this list.
    pub fn start(ports: &mut Ports, whole: String) -> Result<Discovery, MeasureError> {
        let listener = ports.listener()?;
        listener.set_nonblocking(true).map_err(socket("discovery"))?;
        let address = listener.local_addr().map_err(socket("discovery"))?;
        let shared = Arc::new(Shared {
            whole: Mutex::new(line(&whole)),
            watch: Mutex::default(),
            calls: AtomicU64::new(0),
            over: AtomicBool::new(false),
        });
        let own = shared.clone();
        std::thread::spawn(move || own.serve(&listener));
        Ok(Discovery { address, shared })
    }

    /// Tells the pooler that watches one document; false where nobody watches. Its length on the wire in bytes.
    pub fn push_list(&self, document: &str) -> Option<usize> {
        let bytes = line(document);
        self.shared.write(&bytes).then_some(bytes.len())
    }

    /// Calls that were answered so far.
    pub fn request_count(&self) -> u64 {
        self.shared.calls.load(Ordering::SeqCst)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
    }
}

impl Shared {
    fn serve(&self, listener: &TcpListener) {
        let mut beat = Instant::now() + BEAT;
        while !self.over.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => self.answer(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => std::thread::sleep(TURN),
                Err(_) => return,
            }
            if Instant::now() >= beat {
                self.write(&peers::encode_chunks([&b"\n"[..]]));
                beat = Instant::now() + BEAT;
            }
        }
    }

    /// Reads one request and answers it with the whole list; its connection is the watch from now on.
    fn answer(&self, mut stream: TcpStream) {
        let mut head = Vec::new();
        let mut byte = [0];
        let ready = stream
            .set_nonblocking(false)
            .and_then(|()| stream.set_read_timeout(Some(CALL_TIMEOUT)))
            .and_then(|()| stream.set_nodelay(true));
        if ready.is_err() {
            return;
        }
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => head.push(byte[0]),
                _ => return,
            }
        }
        let whole = self.whole.lock().unwrap_or_else(PoisonError::into_inner);
        if stream.write_all(peers::RESPONSE_HEAD.as_bytes()).and_then(|()| stream.write_all(&whole)).is_ok() {
            *self.watch.lock().unwrap_or_else(PoisonError::into_inner) = Some(stream);
            self.calls.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn write(&self, bytes: &[u8]) -> bool {
        let mut watch = self.watch.lock().unwrap_or_else(PoisonError::into_inner);
        watch.as_mut().is_some_and(|stream| stream.write_all(bytes).is_ok())
    }
}

/// A document as one line, in a chunk.
fn line(document: &str) -> Vec<u8> {
    peers::encode_chunks([format!("{document}\n").as_bytes()])
}
