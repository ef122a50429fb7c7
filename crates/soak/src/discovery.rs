//! Stand-in for discovery: one list, requests handled one at a time, and two addresses per pooler, so that
//! the oracle knows which pooler received which version.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::addresses::{self, AddressKind};
use crate::fleet::{Fleet, Phase};
use crate::record::{Event, Record};

/// Port of all addresses of discovery.
const PORT: u16 = 15_500;
/// Interval of the empty lines on a watch without changes (seconds).
const KEEP_ALIVE_INTERVAL: f64 = 2.0;
/// A list request that has waited longer than this (seconds) is answered with 503.
const MAX_REQUEST_TIME: f64 = 8.0;
/// Delay between the last write and a reset (milliseconds), so that the pooler can read what was written: a
/// reset discards unread data, which the record would still count as sent.
const RESET_DELAY_MS: u64 = 60;
/// How often a watch checks the faults (milliseconds).
const FAULT_CHECK_INTERVAL_MS: u64 = 20;
const RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Returns the address of discovery for a pooler. A reload of the pooler switches between the first and the
/// second.
pub fn address(pooler: usize, second: bool) -> SocketAddr {
    addresses::address(AddressKind::Discovery, pooler as u8, 1 + u8::from(second), PORT)
}

/// The version of the list and the current faults of discovery.
struct State {
    version: u64,
    /// The member that each version after the first changed.
    changes: Vec<usize>,
    down: bool,
    slow: f64,
    /// Watches opened before this time are reset (seconds of the run).
    reset_before: f64,
    /// Watches that are open before this time send nothing more (seconds of the run).
    silent_until: f64,
}

/// The stand-in.
pub struct Discovery {
    state: Mutex<State>,
    changed: Condvar,
    /// Held while a list request is handled, so that one is handled at a time.
    request_queue: Mutex<()>,
    request_duration: f64,
    /// Entries of members that are listed but receive no requests.
    padding: Vec<String>,
    fleet: Arc<Mutex<Fleet>>,
    record: Arc<Record>,
    stopping: AtomicBool,
}

impl Discovery {
    /// Creates a stand-in that takes `request_duration` (seconds) for each list request. `listed` is the
    /// number of entries in its list beside the members of the fleet.
    pub fn new(
        fleet: Arc<Mutex<Fleet>>,
        record: Arc<Record>,
        request_duration: f64,
        listed: usize,
    ) -> Arc<Discovery> {
        let padding = |n: usize| {
            let (high, low, group) = ((n / 250) as u8, (n % 250 + 1) as u8, 1_000 + n / 4);
            let address = addresses::address(AddressKind::ListedOnly, high, low, PORT);
            format!(
                r#"{{"name":"p-{n}","address":"{address}","zone":"a","type":"m2","group":{group},"status":"SERVING","weight":1.0,"since_ms":0}}"#
            )
        };
        let (down, slow, reset_before, silent_until) = (false, 0.0, 0.0, 0.0);
        let state = State { version: 1, changes: Vec::new(), down, slow, reset_before, silent_until };
        Arc::new(Discovery {
            state: Mutex::new(state),
            changed: Condvar::new(),
            request_queue: Mutex::new(()),
            request_duration,
            padding: (0..listed).map(padding).collect(),
            fleet,
            record,
            stopping: AtomicBool::new(false),
        })
    }

    /// Listens on both addresses of a pooler.
    pub fn listen(self: &Arc<Discovery>, pooler: usize) -> std::io::Result<()> {
        for second in [false, true] {
            let listener = TcpListener::bind(address(pooler, second))?;
            let discovery = self.clone();
            std::thread::spawn(move || discovery.accept(pooler, &listener));
        }
        Ok(())
    }

    fn accept(self: Arc<Discovery>, pooler: usize, listener: &TcpListener) {
        for stream in listener.incoming().map_while(Result::ok) {
            if self.stopping.load(Ordering::Relaxed) {
                return;
            }
            let discovery = self.clone();
            std::thread::spawn(move || discovery.serve(pooler, stream));
        }
    }

    /// Stops the stand-in.
    pub fn stop(&self, poolers: usize) {
        self.stopping.store(true, Ordering::Relaxed);
        self.changed.notify_all();
        for pooler in 0..poolers {
            let _ = [false, true].map(|second| TcpStream::connect(address(pooler, second)));
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Changes the status of a member in the list.
    pub fn set_status(&self, member: usize, phase: Phase) {
        self.fleet.lock().expect("no holder panics").members[member].phase = phase;
        let mut state = self.state();
        state.version += 1;
        state.changes.push(member);
        let (version, usable) = (state.version, phase == Phase::Serving);
        self.record.add(Event::ListChanged { member, usable, version });
        drop(state);
        self.changed.notify_all();
    }

    /// Makes discovery unavailable or available.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state();
        state.down = down;
        if down {
            state.reset_before = self.record.now();
        }
        drop(state);
        self.record.add(Event::DiscoveryReachable(!down));
        self.changed.notify_all();
    }

    /// Sets the additional delay of answers (seconds).
    pub fn set_slow(&self, by: f64) {
        self.state().slow = by;
    }

    /// Resets all open watches.
    pub fn reset_watches(&self) {
        self.state().reset_before = self.record.now();
        self.changed.notify_all();
    }

    /// Silences all watches that are open before `until` (seconds of the run). They stay open and send
    /// nothing more.
    pub fn silence_watches(&self, until: f64) {
        self.state().silent_until = until;
    }

    /// Returns the full list and its version.
    pub fn full_list(&self) -> (u64, String) {
        let version = self.state().version;
        let fleet = self.fleet.lock().expect("no holder panics");
        let all = (0..fleet.members.len()).filter(|n| fleet.members[*n].phase != Phase::Deleted);
        let entries: Vec<String> =
            all.map(|n| fleet.list_entry(n)).chain(self.padding.iter().cloned()).collect();
        (version, document(version, true, &entries))
    }

    /// Returns the entries that changed after a version, and the version up to which they go.
    fn changes(&self, since: u64) -> (u64, String) {
        let (version, mut changed) = {
            let state = self.state();
            (state.version, state.changes[(since as usize - 1).min(state.changes.len())..].to_vec())
        };
        changed.sort_unstable();
        changed.dedup();
        let fleet = self.fleet.lock().expect("no holder panics");
        let entries: Vec<String> = changed.into_iter().map(|n| fleet.list_entry(n)).collect();
        (version, document(version, false, &entries))
    }

    fn serve(&self, pooler: usize, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let Some(since) = read_requested_version(&mut stream) else { return };
        let received_at = self.record.now();
        if self.state().down {
            let _ = stream.write_all(UNAVAILABLE.as_bytes());
            return;
        }
        {
            let _serving = self.request_queue.lock().expect("no holder panics");
            std::thread::sleep(Duration::from_secs_f64(self.request_duration));
        }
        let slow = self.state().slow;
        std::thread::sleep(Duration::from_secs_f64(slow));
        if self.record.now() - received_at > MAX_REQUEST_TIME || self.state().down {
            let _ = stream.write_all(UNAVAILABLE.as_bytes());
            return;
        }
        let _ = self.watch((pooler, received_at), &mut stream, since);
    }

    /// Answers a list request and sends changes until the watch ends.
    fn watch(
        &self,
        (pooler, opened_at): (usize, f64),
        stream: &mut TcpStream,
        since: u64,
    ) -> std::io::Result<()> {
        stream.write_all(RESPONSE_HEAD.as_bytes())?;
        let current = self.state().version;
        let (mut version, mut text) =
            if since == 0 { self.full_list() } else { self.changes(since.min(current)) };
        let started_at = self.record.now();
        let (mut last_write_at, mut silenced) = (started_at, false);
        while !self.stopping.load(Ordering::Relaxed) {
            if !text.is_empty() && !silenced {
                self.send((pooler, opened_at), stream, version, &text)?;
                last_write_at = self.record.now();
            }
            let state = self.state();
            let wait = Duration::from_millis(FAULT_CHECK_INTERVAL_MS);
            let (state, _) = self.changed.wait_timeout(state, wait).expect("no holder panics");
            let now = self.record.now();
            // A watch that was open during the silence stays silent.
            silenced |= now < state.silent_until;
            if state.down || state.reset_before > started_at {
                drop(state);
                // Gives the pooler time to read what was written.
                std::thread::sleep(Duration::from_millis(RESET_DELAY_MS));
                reset(stream);
                return Ok(());
            }
            let newer = state.version > version;
            drop(state);
            text = match newer {
                true => {
                    let (new_version, text) = self.changes(version);
                    version = new_version;
                    text
                }
                false if now - last_write_at >= KEEP_ALIVE_INTERVAL => "\n".into(),
                false => String::new(),
            };
        }
        Ok(())
    }

    fn send(
        &self,
        (pooler, opened_at): (usize, f64),
        stream: &mut TcpStream,
        version: u64,
        text: &str,
    ) -> std::io::Result<()> {
        let bytes = [format!("{:x}\r\n", text.len()).as_bytes(), text.as_bytes(), b"\r\n"].concat();
        stream.write_all(&bytes)?;
        self.record.add(Event::ListSent { pooler, version, opened_at });
        Ok(())
    }
}

/// Makes a stream end in a reset.
fn reset(stream: &TcpStream) {
    let linger = Some(Duration::ZERO);
    let _ = rustix::net::sockopt::set_socket_linger(stream, linger);
}

/// Encodes one document of the list.
fn document(version: u64, is_full: bool, entries: &[String]) -> String {
    format!("{{\"index\":{version},\"snapshot\":{is_full},\"endpoints\":[{}]}}\n", entries.join(","))
}

/// Reads a list request and returns the version after which it asks for changes.
fn read_requested_version(stream: &mut TcpStream) -> Option<u64> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    head.split("since=").nth(1)?.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
