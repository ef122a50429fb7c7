//! Discovery: one list, one line of callers, and two addresses for each pooler, so that it is known who was told what.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::fleet::{Fleet, Phase};
use crate::place::{self, Kind};
use crate::record::{Event, Record};

/// Port of all addresses.
const PORT: u16 = 15_500;
/// An empty line comes so often on a watch on which nothing changes (seconds).
const EMPTY_LINE: f64 = 2.0;
/// A call that has waited so long (seconds) is turned down.
const LONGEST_WAIT: f64 = 8.0;
/// What was written last is left to be read for so long before a reset (milliseconds): what never arrived was not told.
const READ_BEFORE_RESET_MS: u64 = 60;
/// How often a watch looks at what is wrong (milliseconds).
const LOOK_MS: u64 = 20;
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
const TURNED_DOWN: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Where a pooler finds discovery; the second address is that of another configuration.
pub fn address(pooler: usize, second: bool) -> SocketAddr {
    place::address(Kind::Discovery, pooler as u8, 1 + u8::from(second), PORT)
}

/// The list and what is wrong with discovery.
struct State {
    version: u64,
    /// The machines changed by each version, from the first on.
    changes: Vec<usize>,
    down: bool,
    slow: f64,
    /// Watches that are older than this are reset, or say nothing until then.
    reset_before: f64,
    silent_until: f64,
}

/// The service.
pub struct Discovery {
    state: Mutex<State>,
    changed: Condvar,
    /// Calls are handled in turn.
    line: Mutex<()>,
    call_takes: f64,
    /// Lines of machines that are listed and never asked.
    padding: Vec<String>,
    fleet: Arc<Mutex<Fleet>>,
    record: Arc<Record>,
    ends: AtomicBool,
}

impl Discovery {
    /// A service that takes so long (seconds) for each call; `listed` more machines than there are stand in its list.
    pub fn new(
        fleet: Arc<Mutex<Fleet>>,
        record: Arc<Record>,
        call_takes: f64,
        listed: usize,
    ) -> Arc<Discovery> {
        let padding = |n: usize| {
            let (high, low, group) = ((n / 250) as u8, (n % 250 + 1) as u8, 1_000 + n / 4);
            let address = place::address(Kind::Listed, high, low, PORT);
            format!(
                r#"{{"name":"p-{n}","address":"{address}","zone":"a","type":"m2","group":{group},"status":"SERVING","weight":1.0,"since_ms":0}}"#
            )
        };
        let (down, slow, reset_before, silent_until) = (false, 0.0, 0.0, 0.0);
        let state = State { version: 1, changes: Vec::new(), down, slow, reset_before, silent_until };
        Arc::new(Discovery {
            state: Mutex::new(state),
            changed: Condvar::new(),
            line: Mutex::new(()),
            call_takes,
            padding: (0..listed).map(padding).collect(),
            fleet,
            record,
            ends: AtomicBool::new(false),
        })
    }

    /// Listens at both addresses of a pooler.
    pub fn listen(self: &Arc<Discovery>, pooler: usize) -> std::io::Result<()> {
        for second in [false, true] {
            let listener = TcpListener::bind(address(pooler, second))?;
            let own = self.clone();
            std::thread::spawn(move || own.accept(pooler, &listener));
        }
        Ok(())
    }

    fn accept(self: Arc<Discovery>, pooler: usize, listener: &TcpListener) {
        for stream in listener.incoming().map_while(Result::ok) {
            if self.ends.load(Ordering::Relaxed) {
                return;
            }
            let own = self.clone();
            std::thread::spawn(move || own.serve(pooler, stream));
        }
    }

    /// Ends the service.
    pub fn end(&self, poolers: usize) {
        self.ends.store(true, Ordering::Relaxed);
        self.changed.notify_all();
        for pooler in 0..poolers {
            let _ = [false, true].map(|second| TcpStream::connect(address(pooler, second)));
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Changes where a machine stands in the list.
    pub fn list(&self, machine: usize, phase: Phase) {
        self.fleet.lock().expect("no holder panics").machines[machine].phase = phase;
        let mut state = self.state();
        state.version += 1;
        state.changes.push(machine);
        let (version, usable) = (state.version, phase == Phase::Serving);
        self.record.note(Event::Listed { machine, usable, version });
        drop(state);
        self.changed.notify_all();
    }

    /// Is down from now on, or up again.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state();
        state.down = down;
        if down {
            state.reset_before = self.record.now();
        }
        drop(state);
        self.record.note(Event::Reachable(!down));
        self.changed.notify_all();
    }

    /// Answers begin so much later from now on (seconds).
    pub fn set_slow(&self, by: f64) {
        self.state().slow = by;
    }

    /// All open watches are reset.
    pub fn reset_watches(&self) {
        self.state().reset_before = self.record.now();
        self.changed.notify_all();
    }

    /// All open watches say nothing more; they stay open.
    pub fn silence_watches(&self, until: f64) {
        self.state().silent_until = until;
    }

    /// The whole list of now, for a configuration, too.
    pub fn whole(&self) -> (u64, String) {
        let version = self.state().version;
        let fleet = self.fleet.lock().expect("no holder panics");
        let all = (0..fleet.machines.len()).filter(|n| fleet.machines[*n].phase != Phase::Deleted);
        let lines: Vec<String> = all.map(|n| fleet.line(n)).chain(self.padding.iter().cloned()).collect();
        (version, document(version, true, &lines))
    }

    /// What has changed after a version.
    fn changes(&self, since: u64) -> (u64, String) {
        let (version, mut changed) = {
            let state = self.state();
            (state.version, state.changes[(since as usize - 1).min(state.changes.len())..].to_vec())
        };
        changed.sort_unstable();
        changed.dedup();
        let fleet = self.fleet.lock().expect("no holder panics");
        let lines: Vec<String> = changed.into_iter().map(|n| fleet.line(n)).collect();
        (version, document(version, false, &lines))
    }

    fn serve(&self, pooler: usize, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let Some(since) = asked(&mut stream) else { return };
        let came = self.record.now();
        if self.state().down {
            let _ = stream.write_all(TURNED_DOWN.as_bytes());
            return;
        }
        {
            let _turn = self.line.lock().expect("no holder panics");
            std::thread::sleep(Duration::from_secs_f64(self.call_takes));
        }
        let slow = self.state().slow;
        std::thread::sleep(Duration::from_secs_f64(slow));
        if self.record.now() - came > LONGEST_WAIT || self.state().down {
            let _ = stream.write_all(TURNED_DOWN.as_bytes());
            return;
        }
        let _ = self.watch((pooler, came), &mut stream, since);
    }

    /// Tells a caller what has changed, and goes on telling.
    fn watch(
        &self,
        (pooler, called): (usize, f64),
        stream: &mut TcpStream,
        since: u64,
    ) -> std::io::Result<()> {
        stream.write_all(HEAD.as_bytes())?;
        let known = self.state().version;
        let (mut version, mut text) = if since == 0 { self.whole() } else { self.changes(since.min(known)) };
        let opened = self.record.now();
        let (mut told, mut silent) = (opened, false);
        while !self.ends.load(Ordering::Relaxed) {
            if !text.is_empty() && !silent {
                self.write((pooler, called), stream, version, &text)?;
                told = self.record.now();
            }
            let state = self.state();
            let wait = Duration::from_millis(LOOK_MS);
            let (state, _) = self.changed.wait_timeout(state, wait).expect("no holder panics");
            let now = self.record.now();
            // Those that were opened before it fell silent stay so for good.
            silent |= now < state.silent_until;
            if state.down || state.reset_before > opened {
                drop(state);
                // What was written is there to be read: a reset would take it away again.
                std::thread::sleep(Duration::from_millis(READ_BEFORE_RESET_MS));
                reset(stream);
                return Ok(());
            }
            let newer = state.version > version;
            drop(state);
            text = match newer {
                true => {
                    let (now_at, text) = self.changes(version);
                    version = now_at;
                    text
                }
                false if now - told >= EMPTY_LINE => "\n".into(),
                false => String::new(),
            };
        }
        Ok(())
    }

    fn write(
        &self,
        (pooler, opened): (usize, f64),
        stream: &mut TcpStream,
        version: u64,
        text: &str,
    ) -> std::io::Result<()> {
        let bytes = [format!("{:x}\r\n", text.len()).as_bytes(), text.as_bytes(), b"\r\n"].concat();
        stream.write_all(&bytes)?;
        self.record.note(Event::Told { pooler, version, opened });
        Ok(())
    }
}

/// Has a stream end in a reset.
fn reset(stream: &TcpStream) {
    let linger = Some(Duration::ZERO);
    let _ = rustix::net::sockopt::set_socket_linger(stream, linger);
}

/// One document of the list.
fn document(version: u64, whole: bool, lines: &[String]) -> String {
    format!("{{\"index\":{version},\"snapshot\":{whole},\"endpoints\":[{}]}}\n", lines.join(","))
}

/// The version after which a caller asks.
fn asked(stream: &mut TcpStream) -> Option<u64> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    head.split("since=").nth(1)?.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
