//! The control socket: reads calls from local connections, one per line, and writes the answers. The calls
//! themselves are carried out elsewhere.

use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::{DirBuilderExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};

use ::control::{Code, Request, Response, MAX_LINE_BYTES};
use buffer::Lines;
use mio::net::{UnixListener, UnixStream};
use mio::Interest;

use super::event_loop::{EarliestTimer, Slot, Slots, Source, TimerKind};
use super::outbox::Outbox;
use super::{Context, Event};

/// Maximum number of open connections; a further one is answered with "busy" and closed.
const MAX_CONNECTIONS: usize = 8;
/// Longer lines (bytes) are read from one connection at a time, since each can need megabytes.
const LONG_CALL_BYTES: usize = 64 * 1024;
/// Bytes per read call.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of read calls in a step; a connection that has sent more goes on in its next turn.
const MAX_READS_PER_STEP: usize = 4;
/// Maximum number of connections accepted in a turn.
const MAX_ACCEPTS_PER_TURN: usize = 16;

struct Conn {
    stream: UnixStream,
    lines: Lines,
    outbox: Outbox,
    /// True while a call of this connection has no answer yet; no further call is read until then.
    awaits_answer: bool,
    /// True if the connection is to be closed once the outbox is written.
    close_after_write: bool,
    /// When the connection last sent or accepted bytes, or was given an answer (Unix seconds).
    last_active_at: f64,
    timer: EarliestTimer,
}

/// The listening socket and its connections.
pub(crate) struct ControlSocket {
    bound: OwnedListener,
    conns: Slots<Conn>,
    idle_timeout: f64,
}

impl ControlSocket {
    /// Listens at a path; only processes of the same user can connect. A socket file that a killed daemon has
    /// left behind is replaced; it is an error if another process still answers there.
    pub fn new(path: &Path, idle_timeout: f64, context: &mut Context) -> io::Result<ControlSocket> {
        ControlSocket::from_listener(OwnedListener::new(path)?, idle_timeout, context)
    }

    /// Listens at a path instead of a daemon that may still answer there.
    pub fn replace(path: &Path, idle_timeout: f64, context: &mut Context) -> io::Result<ControlSocket> {
        ControlSocket::from_listener(OwnedListener::replace(path)?, idle_timeout, context)
    }

    fn from_listener(
        mut bound: OwnedListener,
        idle_timeout: f64,
        context: &mut Context,
    ) -> io::Result<ControlSocket> {
        let token = Source::ControlListener.into();
        context.reactor.registry.register(&mut bound.listener, token, Interest::READABLE)?;
        Ok(ControlSocket { bound, conns: Slots::new(), idle_timeout })
    }

    /// Sets how long a connection may be idle until it is closed (seconds).
    pub fn set_idle_timeout(&mut self, idle_timeout: f64) {
        self.idle_timeout = idle_timeout;
    }

    /// Accepts waiting connections; those beyond a turn's share wait for the next turn.
    pub fn accept(&mut self, context: &mut Context) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let mut stream = match self.bound.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) =>
                {
                    continue
                }
                // Without a free descriptor, waiting connections are reported again with the next one that
                // arrives.
                Err(_) => return,
            };
            if self.conns.len() >= MAX_CONNECTIONS {
                let full =
                    Response::new(Code::Busy, format!("{MAX_CONNECTIONS} control connections are open"));
                let _ = stream.write(&full.to_line());
                continue;
            }
            let now = context.reactor.now();
            let conn = Conn {
                stream,
                lines: Lines::new(MAX_LINE_BYTES),
                outbox: Outbox::default(),
                awaits_answer: false,
                close_after_write: false,
                last_active_at: now,
                timer: EarliestTimer::default(),
            };
            let slot = self.conns.insert(conn);
            let Some(conn) = self.conns.get_mut(slot) else { return };
            let (token, both) =
                (Source::ControlConnection(slot).into(), Interest::READABLE | Interest::WRITABLE);
            if context.reactor.registry.register(&mut conn.stream, token, both).is_err() {
                self.conns.remove(slot);
                continue;
            }
            let close_at = now + self.idle_timeout;
            conn.timer.set(close_at, TimerKind::ControlConnection(slot), &mut context.reactor);
            self.on_ready(slot, context);
        }
        context.reactor.continue_later(Source::ControlListener);
    }

    /// Handles a connection that may be readable or writable, or has its next turn.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        if self.process(slot, context).is_err() {
            self.conns.remove(slot);
        }
    }

    fn process(&mut self, slot: Slot, context: &mut Context) -> io::Result<()> {
        let other_long_calls = self
            .conns
            .iter()
            .filter(|(other, conn)| *other != slot && conn.lines.buffered_bytes() > LONG_CALL_BYTES)
            .count();
        let Some(conn) = self.conns.get_mut(slot) else { return Ok(()) };
        conn.flush(context.reactor.now())?;
        let (mut chunk, mut reads) = ([0; READ_CHUNK_BYTES], 0);
        while !conn.awaits_answer && !conn.close_after_write && conn.outbox.is_empty() {
            if let Some(line) = conn.lines.take() {
                match Request::parse(&line) {
                    Ok(request) => {
                        conn.awaits_answer = true;
                        context.events.push_back(Event::ControlCallReceived(slot, Box::new(request.call)));
                    }
                    Err(fault) => conn.send_error_and_close(Code::Malformed, fault, context.reactor.now())?,
                }
                continue;
            }
            if reads == MAX_READS_PER_STEP {
                context.reactor.continue_later(Source::ControlConnection(slot));
                return Ok(());
            }
            reads += 1;
            match conn.stream.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    conn.last_active_at = context.reactor.now();
                    let long = conn.lines.buffered_bytes() + count > LONG_CALL_BYTES;
                    if long && other_long_calls > 0 {
                        conn.send_error_and_close(
                            Code::Busy,
                            "another connection is sending a long call; try again later".into(),
                            conn.last_active_at,
                        )?;
                    } else if conn.lines.push(&chunk[..count]).is_err() {
                        conn.send_error_and_close(
                            Code::Malformed,
                            "the call is too long".into(),
                            conn.last_active_at,
                        )?;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Answers the pending call of a connection; does nothing if the connection has been closed meanwhile. The next
    /// call is read in the connection's next turn: an answer must not lead straight to it.
    pub fn answer(&mut self, slot: Slot, response: &Response, context: &mut Context) {
        let now = context.reactor.now();
        let Some(conn) = self.conns.get_mut(slot).filter(|conn| conn.awaits_answer) else { return };
        (conn.awaits_answer, conn.last_active_at) = (false, now);
        conn.outbox.push(&response.to_line());
        let close_at = now + self.idle_timeout;
        conn.timer.set(close_at, TimerKind::ControlConnection(slot), &mut context.reactor);
        if conn.flush(now).is_err() {
            self.conns.remove(slot);
            return;
        }
        context.reactor.continue_later(Source::ControlConnection(slot));
    }

    /// Closes a connection whose idle timeout has passed.
    pub fn on_timer(&mut self, slot: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let Some(conn) = self.conns.get_mut(slot) else { return };
        conn.timer.fired(now);
        if conn.awaits_answer {
            return;
        }
        let close_at = conn.last_active_at + self.idle_timeout;
        if now >= close_at {
            self.conns.remove(slot);
        } else {
            conn.timer.set(close_at, TimerKind::ControlConnection(slot), &mut context.reactor);
        }
    }
}

/// A listener on a socket file, which is removed when the listener is dropped.
pub(crate) struct OwnedListener {
    pub listener: UnixListener,
    path: PathBuf,
    /// Device and inode of the socket file that was created: another process may have replaced the file.
    file_id: Option<(u64, u64)>,
}

impl OwnedListener {
    /// Listens at a path if no other process answers there; a socket file that was left behind is replaced.
    pub fn new(path: &Path) -> io::Result<OwnedListener> {
        if path.exists() {
            if std::os::unix::net::UnixStream::connect(path).is_ok() {
                return Err(io::Error::new(ErrorKind::AddrInUse, "another process answers there"));
            }
            std::fs::remove_file(path)?;
        }
        OwnedListener::replace(path)
    }

    /// Listens at a path even if another process answers there. The socket is bound inside a folder that only
    /// its owner may enter, and moved out once its mode is set: at no time can another user connect.
    pub fn replace(path: &Path) -> io::Result<OwnedListener> {
        let name = path.file_name().ok_or(ErrorKind::InvalidInput)?;
        let private = path.with_extension(format!("{}.new", std::process::id()));
        std::fs::DirBuilder::new().mode(0o700).create(&private)?;
        let inside = private.join(name);
        let bound = UnixListener::bind(&inside).and_then(|listener| {
            std::fs::set_permissions(&inside, PermissionsExt::from_mode(0o600))?;
            std::fs::rename(&inside, path)?;
            Ok(listener)
        });
        let _ = std::fs::remove_dir_all(&private);
        Ok(OwnedListener { listener: bound?, path: path.to_path_buf(), file_id: file_id(path) })
    }
}

/// Device and inode of the file at a path.
fn file_id(path: &Path) -> Option<(u64, u64)> {
    std::fs::symlink_metadata(path).ok().map(|metadata| (metadata.dev(), metadata.ino()))
}

impl Drop for OwnedListener {
    fn drop(&mut self) {
        if self.file_id.is_some() && file_id(&self.path) == self.file_id {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

impl Conn {
    fn flush(&mut self, now: f64) -> io::Result<()> {
        if self.outbox.flush(&mut self.stream)? {
            self.last_active_at = now;
        }
        if !self.outbox.is_empty() {
            return Ok(());
        }
        if self.close_after_write {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Sends an error and closes the connection once that is written.
    fn send_error_and_close(&mut self, code: Code, fault: String, now: f64) -> io::Result<()> {
        self.outbox.push(&Response::new(code, fault).to_line());
        self.close_after_write = true;
        self.flush(now)
    }
}
