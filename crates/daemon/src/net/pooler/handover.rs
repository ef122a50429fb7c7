//! Handover between a daemon and its successor, for both sides: carries out the actions of
//! [`handover::Predecessor`] and [`handover::Successor`], and passes file descriptors along with the offer.

use std::collections::HashMap;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;
use std::time::Duration;

use buffer::Lines;
use handover::{
    KnownState, ListedMember, Member, Message, Predecessor, PredecessorAction, PredecessorEvent, Snapshot,
    SnapshotError, Successor, SuccessorAction, SuccessorEvent, Trial, ANSWER_TIMEOUT, MAX_LINE_BYTES,
    MAX_SNAPSHOT_BYTES, OLDEST_READABLE_VERSION, VERSION,
};
use lifecycle::{Input as LifecycleInput, Stage};
use listing::Listing;
use mio::net::UnixStream;
use mio::Interest;
use routing::interface::Phase;
use routing::ObservedState;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};

use super::{ControlSocket, Pooler};
use crate::net::control::OwnedListener;
use crate::net::event_loop::{Source, TimerKind};
use crate::net::outbox::Outbox;
use crate::net::Context;

/// Maximum number of descriptors that are passed along with an offer.
const MAX_FDS: usize = 8;
/// Names of the descriptors: listener for platform clients, listener for ordinary clients, lock file of the
/// history's folder, pid file.
const LISTEN_FD: &str = "listen";
const POOL_FD: &str = "pool";
const STATE_FD: &str = "state";
const PID_FD: &str = "pid";

/// A connection between a daemon and its successor.
struct Conn {
    stream: UnixStream,
    lines: Lines,
    outbox: Outbox,
}

impl Conn {
    fn new(stream: UnixStream) -> Conn {
        Conn { stream, lines: Lines::new(MAX_LINE_BYTES), outbox: Outbox::default() }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.outbox.flush(&mut self.stream).map(drop)
    }

    fn send(&mut self, message: &Message) {
        self.outbox.push(&message.to_line());
        // The next read reports a connection error again.
        let _ = self.flush();
    }

    /// Reads the received messages. The second value is true if the connection has ended.
    fn receive(&mut self) -> (Vec<Result<Message, String>>, bool) {
        let (mut messages, mut ended, mut chunk) = (Vec::new(), self.flush().is_err(), [0; 1024]);
        while !ended {
            match self.stream.read(&mut chunk) {
                Ok(0) => ended = true,
                Ok(count) => ended = self.lines.push(&chunk[..count]).is_err(),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => ended = true,
            }
            while let Some(line) = self.lines.take() {
                messages.push(Message::parse(&line));
            }
        }
        (messages, ended)
    }
}

/// Descriptors and state that a successor has received from its predecessor.
pub(crate) struct InheritedState {
    stream: std::os::unix::net::UnixStream,
    fds: HashMap<String, OwnedFd>,
    known: Result<KnownState, SnapshotError>,
}

impl InheritedState {
    /// Requests a handover from the daemon that listens for a successor at `path`.
    pub fn request(path: &Path, now: f64) -> Result<InheritedState, String> {
        let with_path = |fault: &dyn std::fmt::Display| format!("{}: {fault}", path.display());
        let mut stream = std::os::unix::net::UnixStream::connect(path).map_err(|error| with_path(&error))?;
        let timeout = Some(Duration::from_secs_f64(ANSWER_TIMEOUT));
        stream.set_read_timeout(timeout).map_err(|error| with_path(&error))?;
        let ask = Message::Ask { oldest: OLDEST_READABLE_VERSION, version: VERSION, pid: std::process::id() };
        stream.write_all(&ask.to_line()).map_err(|error| with_path(&error))?;
        // The descriptors arrive with the first byte of the line; the snapshot follows the line.
        let (mut bytes, mut received_fds) = (Vec::new(), Vec::new());
        let end = loop {
            let mut chunk = [0; MAX_LINE_BYTES];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_FDS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut into = [IoSliceMut::new(&mut chunk)];
            let count = recvmsg(&stream, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC);
            let count = count.map_err(|error| with_path(&error))?.bytes;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(fds) = message {
                    received_fds.extend(fds);
                }
            }
            bytes.extend(&chunk[..count]);
            match bytes.iter().position(|byte| *byte == b'\n') {
                Some(end) => break end,
                None if count == 0 || bytes.len() > MAX_LINE_BYTES => {
                    return Err(with_path(&"no complete answer from the running daemon"))
                }
                None => {}
            }
        };
        let mut rest = bytes.split_off(end + 1);
        let (names, length) = match Message::parse(&bytes).map_err(|fault| with_path(&fault))? {
            Message::Offer { fds, snapshot }
                if fds.len() == received_fds.len() && snapshot <= MAX_SNAPSHOT_BYTES =>
            {
                (fds, snapshot)
            }
            Message::Denied { why } => return Err(with_path(&format!("handover denied: {why}"))),
            _ => return Err(with_path(&"invalid offer from the running daemon")),
        };
        let before = rest.len();
        rest.resize(length.max(before), 0);
        stream.read_exact(&mut rest[before..]).map_err(|error| with_path(&error))?;
        let known = Snapshot::decode(&rest, (OLDEST_READABLE_VERSION, VERSION))
            .map(|snapshot| snapshot.usable_at(now));
        let _ = stream.set_read_timeout(None);
        Ok(InheritedState { stream, fds: names.into_iter().zip(received_fds).collect(), known })
    }

    /// Takes the listener for platform clients, or for ordinary clients if `pool` is true, if it has this
    /// address.
    pub fn take_listener(&mut self, pool: bool, address: SocketAddr) -> Option<mio::net::TcpListener> {
        let fd = self.fds.remove(if pool { POOL_FD } else { LISTEN_FD })?;
        let listener = std::net::TcpListener::from(fd);
        let bound = listener.local_addr().ok()?;
        let same = bound == address || address.port() == 0 && bound.ip() == address.ip();
        listener.set_nonblocking(true).ok().filter(|()| same)?;
        Some(mio::net::TcpListener::from_std(listener))
    }

    /// Takes the lock file of the history's folder.
    pub fn take_state_lock(&mut self) -> Option<std::fs::File> {
        self.fds.remove(STATE_FD).map(Into::into)
    }

    /// Takes the pid file.
    pub fn take_pid_file(&mut self) -> Option<std::fs::File> {
        self.fds.remove(PID_FD).map(Into::into)
    }

    /// Version and members of the predecessor's list.
    pub fn list(&self) -> Option<(u64, Vec<Listing>)> {
        let known = self.known.as_ref().ok().filter(|known| !known.listed.is_empty())?;
        Some((known.index, known.listed.iter().filter_map(from_listed_member).collect()))
    }
}

fn to_listed_member(listing: &Listing) -> ListedMember {
    ListedMember {
        name: listing.name.to_string(),
        address: listing.address.to_string(),
        zone: listing.zone.clone(),
        group: listing.group,
        phase: if listing.phase == Phase::Active { "serving" } else { "draining" }.into(),
        since: listing.started_at,
    }
}

fn from_listed_member(member: &ListedMember) -> Option<Listing> {
    Some(Listing {
        name: member.name.as_str().into(),
        address: member.address.parse().ok()?,
        zone: member.zone.clone(),
        group: member.group,
        phase: if member.phase == "serving" { Phase::Active } else { Phase::Leaving },
        started_at: member.since,
    })
}

/// Handover to a successor, as seen by the predecessor.
pub(super) struct SuccessorHandover {
    bound: OwnedListener,
    state_machine: Predecessor,
    conn: Option<Conn>,
}

impl SuccessorHandover {
    pub fn new(mut bound: OwnedListener, context: &mut Context) -> io::Result<SuccessorHandover> {
        let token = Source::SuccessorListener.into();
        context.reactor.registry.register(&mut bound.listener, token, Interest::READABLE)?;
        Ok(SuccessorHandover { bound, state_machine: Predecessor::default(), conn: None })
    }

    /// Returns true while a handover is in progress.
    pub fn is_busy(&self) -> bool {
        self.state_machine.is_busy()
    }
}

/// Handover from the predecessor, as seen by the successor.
pub(super) struct PredecessorHandover {
    state_machine: Successor,
    conn: Conn,
    /// State of the predecessor, until it is adopted.
    known: Option<Result<KnownState, SnapshotError>>,
    /// Number of answers, and of refusals and failures among them, when this process began to accept clients.
    initial_answers: (u64, u64),
}

impl PredecessorHandover {
    pub fn new(
        inherited: InheritedState,
        trial_s: f64,
        context: &mut Context,
    ) -> io::Result<(Self, Vec<SuccessorAction>)> {
        let InheritedState { stream, known, .. } = inherited;
        stream.set_nonblocking(true)?;
        let mut stream = UnixStream::from_std(stream);
        let both = Interest::READABLE | Interest::WRITABLE;
        context.reactor.registry.register(&mut stream, Source::Predecessor.into(), both)?;
        let mut actions = Vec::new();
        let trial = Trial { seconds: trial_s, ..Trial::default() };
        let state_machine = Successor::new(trial, context.reactor.now(), &mut actions);
        let handover = PredecessorHandover {
            state_machine,
            conn: Conn::new(stream),
            known: Some(known),
            initial_answers: (0, 0),
        };
        Ok((handover, actions))
    }
}

impl Pooler {
    /// Adopts the predecessor's state; called once the members are known from the list.
    pub(super) fn adopt_predecessor_state(&mut self, context: &mut Context) {
        let known = match self.predecessor.as_mut().and_then(|predecessor| predecessor.known.take()) {
            Some(Ok(known)) => known,
            Some(Err(fault)) => {
                // This process has the predecessor's listeners, but otherwise starts without state.
                return logging::warn!(
                    event = "handover.cold",
                    "the predecessor's state is not used: {fault}"
                );
            }
            None => return,
        };
        let members = known.members.iter().map(|member| ObservedState {
            member: member.name.as_str().into(),
            primary: member.primary,
            position: member.position,
            cold_since: member.cold_since,
        });
        let (now, mut actions) = (context.reactor.now(), Vec::new());
        self.policy.adopt_observed_state(now, &members.collect::<Vec<_>>(), &mut actions);
        let (sessions, members) = (known.sessions.len(), known.members.len());
        let written = known.sessions.into_iter().map(|(name, commit)| (name.into(), commit));
        self.policy.import_session_writes(written, known.forgotten.unwrap_or(f64::NEG_INFINITY));
        logging::info!(
            event = "handover.known",
            members,
            sessions,
            "continuing with the predecessor's state"
        );
        self.carry_out(actions, context);
    }

    /// Returns the state of this daemon, for a successor.
    fn known_state(&self) -> KnownState {
        let finite = |value: f64| value.is_finite().then_some(value);
        let (sessions, forgotten) = self.policy.export_session_writes();
        let listed = self.changes.iter().flat_map(|changes| changes.roster.listed());
        let members = self.policy.observed_state().into_iter().map(|observed| Member {
            name: observed.member.to_string(),
            primary: observed.primary,
            position: observed.position,
            cold_since: observed.cold_since,
        });
        KnownState {
            index: self.discovery.list_version(),
            listed: listed.filter(|listing| listing.phase != Phase::Left).map(to_listed_member).collect(),
            members: members.collect(),
            sessions: sessions.into_iter().map(|(name, commit)| (name.to_string(), commit)).collect(),
            forgotten: finite(forgotten),
        }
    }

    /// Accepts the connection of a successor; a second successor is denied.
    pub(super) fn accept_successor(&mut self, context: &mut Context) {
        let Some(successor) = &mut self.successor else { return };
        while let Ok((mut stream, _)) = successor.bound.listener.accept() {
            if successor.conn.is_some() {
                let denied = Message::Denied { why: "a handover to another successor is in progress".into() };
                let _ = stream.write(&denied.to_line());
                continue;
            }
            let (token, both) = (Source::Successor.into(), Interest::READABLE | Interest::WRITABLE);
            if context.reactor.registry.register(&mut stream, token, both).is_ok() {
                successor.conn = Some(Conn::new(stream));
            }
        }
        self.read_successor(context);
    }

    /// Handles messages from the successor, and the end of its connection.
    pub(super) fn read_successor(&mut self, context: &mut Context) {
        let Some((messages, ended)) =
            self.successor.as_mut().and_then(|successor| successor.conn.as_mut()).map(Conn::receive)
        else {
            return;
        };
        for message in messages {
            match message {
                Ok(message) => self.handle_successor_input(PredecessorEvent::Received(message), context),
                Err(why) => self
                    .handle_successor_input(PredecessorEvent::Received(Message::HandBack { why }), context),
            }
        }
        if ended {
            if let Some(successor) = &mut self.successor {
                successor.conn = None;
            }
            self.handle_successor_input(PredecessorEvent::Disconnected, context);
        }
    }

    fn handle_successor_input(&mut self, event: PredecessorEvent, context: &mut Context) {
        use transaction::Stage as At;
        let obstacle = match (self.lifecycle.stage(), &self.changes) {
            (Stage::Ready, Some(changes)) if !matches!(changes.transaction.stage(), At::Idle) => {
                Some("a configuration change is in progress")
            }
            (Stage::Ready, _) => None,
            (stage, _) => Some(stage.name()),
        };
        let Some(successor) = &mut self.successor else { return };
        let mut actions = Vec::new();
        successor.state_machine.handle(context.reactor.now(), event, obstacle, &mut actions);
        for action in actions {
            match action {
                PredecessorAction::Send(message) => {
                    self.successor_conn().into_iter().for_each(|conn| conn.send(&message))
                }
                PredecessorAction::Offer { versions } => self.send_offer(versions, context),
                PredecessorAction::Pause => {
                    logging::info!(event = "handover.given", "the successor accepts clients, on trial");
                    self.set_paused(true, context);
                }
                PredecessorAction::Resume(why) => {
                    logging::warn!(event = "handover.back", "accepting clients again: {why}");
                    if let Some(changes) = &mut self.changes {
                        changes.rewrite_history();
                    }
                    self.set_paused(false, context);
                }
                PredecessorAction::Succeeded => {
                    logging::info!(event = "handover.over", "the successor has completed the takeover");
                    self.registry.iter_mut().for_each(|registry| registry.deregister(context));
                    self.advance_lifecycle(LifecycleInput::ListenerHandedOver, context);
                }
                PredecessorAction::Disconnect => {
                    self.successor.iter_mut().for_each(|successor| successor.conn = None)
                }
                PredecessorAction::Timer(at) => context.reactor.set_timer(at, TimerKind::Handover),
            }
        }
    }

    fn successor_conn(&mut self) -> Option<&mut Conn> {
        self.successor.as_mut().and_then(|successor| successor.conn.as_mut())
    }

    pub(super) fn set_paused(&mut self, paused: bool, context: &mut Context) {
        self.clients.set_paused(paused, context);
        self.sessions.iter_mut().for_each(|sessions| sessions.set_paused(paused, context));
    }

    /// Sends the descriptors, and a snapshot of the state if a reader of these versions can use it.
    fn send_offer(&mut self, versions: (u32, u32), context: &mut Context) {
        let snapshot = Snapshot::new(context.reactor.now(), self.known_state());
        let bytes = if snapshot.is_readable_by(versions) { snapshot.encode() } else { Vec::new() };
        let bytes = if bytes.len() > MAX_SNAPSHOT_BYTES { Vec::new() } else { bytes };
        let state_lock = self.changes.as_ref().and_then(|changes| changes.state_lock());
        let fds: Vec<(&str, BorrowedFd)> = [
            (LISTEN_FD, self.clients.listener().map(AsFd::as_fd)),
            (POOL_FD, self.sessions.as_ref().and_then(|sessions| sessions.listener()).map(AsFd::as_fd)),
            (STATE_FD, state_lock.map(AsFd::as_fd)),
            (PID_FD, self.lifecycle.pid_file().map(AsFd::as_fd)),
        ]
        .into_iter()
        .filter_map(|(name, fd)| Some((name, fd?)))
        .collect();
        let names = fds.iter().map(|(name, _)| name.to_string()).collect();
        let line = Message::Offer { fds: names, snapshot: bytes.len() }.to_line();
        let fds: Vec<BorrowedFd> = fds.into_iter().map(|(_, fd)| fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_FDS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let fits = control.push(SendAncillaryMessage::ScmRights(&fds));
        let Some(conn) = self.successor.as_mut().and_then(|successor| successor.conn.as_mut()) else {
            return;
        };
        // This is the first message on the connection: the socket's buffer takes the complete line.
        let sent = sendmsg(&conn.stream, &[IoSlice::new(&line)], &mut control, SendFlags::NOSIGNAL);
        if fits && sent == Ok(line.len()) {
            conn.outbox.push(&bytes);
            let _ = conn.flush();
        } else {
            logging::error!(event = "handover.back", "failed to send the descriptors: {sent:?}");
            self.successor.iter_mut().for_each(|successor| successor.conn = None);
            self.handle_successor_input(PredecessorEvent::Disconnected, context);
        }
    }

    /// Handles messages from the predecessor, and the end of its connection.
    pub(super) fn read_predecessor(&mut self, context: &mut Context) {
        let Some(predecessor) = &mut self.predecessor else { return };
        let (messages, ended) = predecessor.conn.receive();
        for message in messages.into_iter().flatten() {
            self.handle_predecessor_input(SuccessorEvent::Received(message), context);
        }
        if ended {
            self.handle_predecessor_input(SuccessorEvent::Disconnected, context);
            // Until now the predecessor may have executed writes that are not known here; from now on it
            // executes none.
            self.invalidate_writes_beside_predecessor(context);
            self.predecessor = None;
        }
    }

    /// Invalidates what is known of sessions' writes while the predecessor is connected: sessions may still
    /// write through it.
    pub(super) fn invalidate_writes_beside_predecessor(&mut self, context: &mut Context) {
        if self.predecessor.is_some() {
            self.policy.invalidate_session_writes(context.reactor.now());
        }
    }

    /// Handles a timer of the handover, for both sides.
    pub(super) fn on_handover_timer(&mut self, context: &mut Context) {
        self.handle_successor_input(PredecessorEvent::Time, context);
        let Some(predecessor) = &self.predecessor else { return };
        let (answers, failures) = count_answers(context);
        let (initial_answers, initial_failures) = predecessor.initial_answers;
        let (answers, failures) = (answers - initial_answers, failures - initial_failures);
        let waiting = self.pending_replies().waiting as u64;
        self.handle_predecessor_input(SuccessorEvent::Time(answers, failures, waiting), context);
    }

    pub(super) fn handle_predecessor_input(&mut self, event: SuccessorEvent, context: &mut Context) {
        let Some(predecessor) = &mut self.predecessor else { return };
        let mut actions = Vec::new();
        predecessor.state_machine.handle(context.reactor.now(), event, &mut actions);
        self.carry_out_handover(actions, context);
    }

    pub(super) fn carry_out_handover(&mut self, actions: Vec<SuccessorAction>, context: &mut Context) {
        for action in actions {
            match action {
                SuccessorAction::Send(message) => {
                    self.predecessor.iter_mut().for_each(|predecessor| predecessor.conn.send(&message))
                }
                SuccessorAction::Accept => {
                    logging::info!(event = "handover.taken", "accepting clients, on trial");
                    self.predecessor
                        .iter_mut()
                        .for_each(|predecessor| predecessor.initial_answers = count_answers(context));
                    self.set_paused(false, context);
                }
                SuccessorAction::Yield(why) => {
                    logging::error!(event = "handover.yielded", "handing back to the predecessor: {why}");
                    self.handed_back = true;
                    self.set_paused(true, context);
                    self.advance_lifecycle(LifecycleInput::ListenerHandedOver, context);
                }
                SuccessorAction::TakeOver => self.complete_takeover(context),
                SuccessorAction::Timer(at) => context.reactor.set_timer(at, TimerKind::Handover),
            }
        }
    }

    /// Completes the takeover: binds the control socket and the handover socket in place of the predecessor.
    fn complete_takeover(&mut self, context: &mut Context) {
        self.lifecycle.announce_takeover();
        let document = self.changes.as_ref().map(|changes| changes.effective.document.clone());
        let document = document.unwrap_or_default();
        let (control, daemon) = (document.control, document.daemon);
        if let Some(path) = &control.socket {
            match ControlSocket::replace(path, control.idle_s, context) {
                Ok(control) => self.control = Some(control),
                Err(error) => logging::error!(event = "handover.control", "{}: {error}", path.display()),
            }
        }
        if let Some(path) = &daemon.handover {
            match OwnedListener::replace(path).and_then(|bound| SuccessorHandover::new(bound, context)) {
                Ok(successor) => self.successor = Some(successor),
                Err(error) => logging::error!(event = "handover.successor", "{}: {error}", path.display()),
            }
        }
        logging::info!(event = "handover.stands", "takeover from the predecessor completed");
    }
}

/// Returns the number of final answers since the start, and of refusals and failures among them.
fn count_answers(context: &Context) -> (u64, u64) {
    let counters = &context.counters;
    let failures = counters.refused + counters.failed;
    (counters.served + failures, failures)
}
