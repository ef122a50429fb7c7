//! The control socket: takes calls off local connections, a line each, and writes the answers. What a call does
//! is not known here.

use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::{DirBuilderExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};

use ::control::{Code, Request, Response, MAX_LINE_BYTES};
use buffer::Lines;
use mio::net::{UnixListener, UnixStream};
use mio::Interest;

use super::event_loop::{Slot, Slots, Source, TimerKind};
use super::outbox::Outbox;
use super::{Context, Event};

/// Most connections at a time; a further one is closed at once.
const MOST: usize = 8;
/// A line past this (bytes) is a long one, of which one at a time is taken in: it can need megabytes.
const LONG: usize = 64 * 1024;
/// Bytes read at a time.
const PIECE: usize = 16 * 1024;

struct Conn {
    stream: UnixStream,
    lines: Lines,
    outbox: Outbox,
    /// A call of it is not answered yet; no further one is read until then.
    waits: bool,
    /// Ends once all is written.
    ending: bool,
    /// When it last asked, or read.
    heard: f64,
}

/// The socket and all connections on it.
pub(crate) struct ControlSocket {
    bound: OwnedListener,
    conns: Slots<Conn>,
    idle: f64,
}

impl ControlSocket {
    /// Listens at a path; only the owner's processes can connect. A socket that a daemon left behind when it
    /// was killed is taken over, one that answers is not.
    pub fn new(path: &Path, idle: f64, context: &mut Context) -> io::Result<ControlSocket> {
        ControlSocket::over(OwnedListener::new(path)?, idle, context)
    }

    /// Listens at a path in place of a daemon that answers there still.
    pub fn replace(path: &Path, idle: f64, context: &mut Context) -> io::Result<ControlSocket> {
        ControlSocket::over(OwnedListener::replace(path)?, idle, context)
    }

    fn over(mut bound: OwnedListener, idle: f64, context: &mut Context) -> io::Result<ControlSocket> {
        let token = Source::ControlListener.into();
        context.reactor.registry.register(&mut bound.listener, token, Interest::READABLE)?;
        Ok(ControlSocket { bound, conns: Slots::new(), idle })
    }

    /// Closes a connection that is silent for so long (seconds), from now on.
    pub fn set_idle_timeout(&mut self, idle: f64) {
        self.idle = idle;
    }

    pub fn accept(&mut self, context: &mut Context) {
        loop {
            let mut stream = match self.bound.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) =>
                {
                    continue
                }
                // Without a descriptor what waits is announced again with the next that comes.
                Err(_) => return,
            };
            if self.conns.len() >= MOST {
                let full = Response::new(Code::Busy, format!("{MOST} control connections are open"));
                let _ = stream.write(&full.to_line());
                continue;
            }
            let heard = context.reactor.now();
            let conn = Conn {
                stream,
                lines: Lines::new(MAX_LINE_BYTES),
                outbox: Outbox::default(),
                waits: false,
                ending: false,
                heard,
            };
            let slot = self.conns.insert(conn);
            let Some(conn) = self.conns.get_mut(slot) else { return };
            let (token, both) =
                (Source::ControlConnection(slot).into(), Interest::READABLE | Interest::WRITABLE);
            if context.reactor.registry.register(&mut conn.stream, token, both).is_err() {
                self.conns.remove(slot);
                continue;
            }
            context.reactor.set_timer(heard + self.idle, TimerKind::ControlConnection(slot));
            self.on_ready(slot, context);
        }
    }

    /// A connection may be read from or written to.
    pub fn on_ready(&mut self, slot: Slot, context: &mut Context) {
        if self.turn(slot, context).is_err() {
            self.conns.remove(slot);
        }
    }

    fn turn(&mut self, slot: Slot, context: &mut Context) -> io::Result<()> {
        let others = self
            .conns
            .iter()
            .filter(|(other, conn)| *other != slot && conn.lines.buffered_bytes() > LONG)
            .count();
        let Some(conn) = self.conns.get_mut(slot) else { return Ok(()) };
        conn.flush(context.reactor.now())?;
        let mut piece = [0; PIECE];
        while !conn.waits && !conn.ending && conn.outbox.is_empty() {
            if let Some(line) = conn.lines.take() {
                match Request::parse(&line) {
                    Ok(request) => {
                        conn.waits = true;
                        context.events.push_back(Event::ControlCallReceived(slot, Box::new(request.call)));
                    }
                    Err(fault) => conn.last_word(Code::Malformed, fault, context.reactor.now())?,
                }
                continue;
            }
            match conn.stream.read(&mut piece) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    conn.heard = context.reactor.now();
                    let long = conn.lines.buffered_bytes() + count > LONG;
                    if long && others > 0 {
                        conn.last_word(Code::Busy, "another long call is being taken in".into(), conn.heard)?;
                    } else if conn.lines.push(&piece[..count]).is_err() {
                        conn.last_word(Code::Malformed, "the call is too long".into(), conn.heard)?;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Answers the call of a connection; it may have left meanwhile.
    pub fn answer(&mut self, slot: Slot, response: &Response, context: &mut Context) {
        let now = context.reactor.now();
        let Some(conn) = self.conns.get_mut(slot).filter(|conn| conn.waits) else { return };
        (conn.waits, conn.heard) = (false, now);
        conn.outbox.push(&response.to_line());
        context.reactor.set_timer(now + self.idle, TimerKind::ControlConnection(slot));
        self.on_ready(slot, context);
    }

    /// A connection may have been silent for long enough.
    pub fn on_timer(&mut self, slot: Slot, context: &mut Context) {
        let now = context.reactor.now();
        let until = match self.conns.get_mut(slot) {
            Some(conn) if !conn.waits => conn.heard + self.idle,
            _ => return,
        };
        if now >= until {
            self.conns.remove(slot);
        } else {
            context.reactor.set_timer(until, TimerKind::ControlConnection(slot));
        }
    }
}

/// A listener at a path, which goes with it.
pub(crate) struct OwnedListener {
    pub listener: UnixListener,
    path: PathBuf,
    /// The file that was made: another may have taken its place.
    file: Option<(u64, u64)>,
}

impl OwnedListener {
    /// Listens at a path that no other process answers at; a file that one has left behind is taken over.
    pub fn new(path: &Path) -> io::Result<OwnedListener> {
        if path.exists() {
            if std::os::unix::net::UnixStream::connect(path).is_ok() {
                return Err(io::Error::new(ErrorKind::AddrInUse, "another daemon answers there"));
            }
            std::fs::remove_file(path)?;
        }
        OwnedListener::replace(path)
    }

    /// Listens at a path whoever answers there until now. Bound inside a folder that only the owner may enter, and
    /// moved out once its mode is set: at no time can another user connect.
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
        Ok(OwnedListener { listener: bound?, path: path.to_path_buf(), file: file(path) })
    }
}

/// Which file stands at a path.
fn file(path: &Path) -> Option<(u64, u64)> {
    std::fs::symlink_metadata(path).ok().map(|metadata| (metadata.dev(), metadata.ino()))
}

impl Drop for OwnedListener {
    fn drop(&mut self) {
        if self.file.is_some() && file(&self.path) == self.file {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

impl Conn {
    fn flush(&mut self, now: f64) -> io::Result<()> {
        if self.outbox.flush(&mut self.stream)? {
            self.heard = now;
        }
        if !self.outbox.is_empty() {
            return Ok(());
        }
        if self.ending {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Says what is wrong and ends the connection once that is written.
    fn last_word(&mut self, code: Code, fault: String, now: f64) -> io::Result<()> {
        self.outbox.push(&Response::new(code, fault).to_line());
        self.ending = true;
        self.flush(now)
    }
}
