//! Hand-overs on their sockets, from both sides: what [`handover::Predecessor`] and [`handover::Successor`] say is
//! carried out, descriptors go along with the offer.

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

/// Most descriptors that go along with an offer.
const MOST_FDS: usize = 8;
/// What each of them is.
const LISTEN: &str = "listen";
const POOL: &str = "pool";
const STATE: &str = "state";
const PID: &str = "pid";

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

    fn say(&mut self, say: &Message) {
        self.outbox.push(&say.to_line());
        // A fault is found out again by reading.
        let _ = self.flush();
    }

    /// What has been said, and whether that was the last.
    fn hear(&mut self) -> (Vec<Result<Message, String>>, bool) {
        let (mut heard, mut over, mut piece) = (Vec::new(), self.flush().is_err(), [0; 1024]);
        while !over {
            match self.stream.read(&mut piece) {
                Ok(0) => over = true,
                Ok(count) => over = self.lines.push(&piece[..count]).is_err(),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => over = true,
            }
            while let Some(line) = self.lines.take() {
                heard.push(Message::parse(&line));
            }
        }
        (heard, over)
    }
}

/// What a successor has got from the daemon before it.
pub(crate) struct InheritedState {
    stream: std::os::unix::net::UnixStream,
    fds: HashMap<String, OwnedFd>,
    known: Result<KnownState, SnapshotError>,
}

impl InheritedState {
    /// Asks the daemon that listens for a successor there.
    pub fn request(path: &Path, now: f64) -> Result<InheritedState, String> {
        let named = |fault: &dyn std::fmt::Display| format!("{}: {fault}", path.display());
        let mut stream = std::os::unix::net::UnixStream::connect(path).map_err(|error| named(&error))?;
        let patience = Some(Duration::from_secs_f64(ANSWER_TIMEOUT));
        stream.set_read_timeout(patience).map_err(|error| named(&error))?;
        let ask = Message::Ask { oldest: OLDEST_READABLE_VERSION, version: VERSION, pid: std::process::id() };
        stream.write_all(&ask.to_line()).map_err(|error| named(&error))?;
        // The descriptors come with the first byte of the line; what is behind it is the snapshot.
        let (mut bytes, mut got) = (Vec::new(), Vec::new());
        let end = loop {
            let mut piece = [0; MAX_LINE_BYTES];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_FDS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut into = [IoSliceMut::new(&mut piece)];
            let count = recvmsg(&stream, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC);
            let count = count.map_err(|error| named(&error))?.bytes;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(fds) = message {
                    got.extend(fds);
                }
            }
            bytes.extend(&piece[..count]);
            match bytes.iter().position(|byte| *byte == b'\n') {
                Some(end) => break end,
                None if count == 0 || bytes.len() > MAX_LINE_BYTES => {
                    return Err(named(&"ended without an answer"))
                }
                None => {}
            }
        };
        let mut rest = bytes.split_off(end + 1);
        let (names, length) = match Message::parse(&bytes).map_err(|fault| named(&fault))? {
            Message::Offer { fds, snapshot } if fds.len() == got.len() && snapshot <= MAX_SNAPSHOT_BYTES => {
                (fds, snapshot)
            }
            Message::Denied { why } => return Err(named(&format!("no hand-over now: {why}"))),
            _ => return Err(named(&"an offer that is none")),
        };
        let before = rest.len();
        rest.resize(length.max(before), 0);
        stream.read_exact(&mut rest[before..]).map_err(|error| named(&error))?;
        let known = Snapshot::decode(&rest, (OLDEST_READABLE_VERSION, VERSION))
            .map(|snapshot| snapshot.usable_at(now));
        let _ = stream.set_read_timeout(None);
        Ok(InheritedState { stream, fds: names.into_iter().zip(got).collect(), known })
    }

    /// The listener for platform clients, or for ordinary ones, where it is at this address.
    pub fn take_listener(&mut self, pool: bool, address: SocketAddr) -> Option<mio::net::TcpListener> {
        let fd = self.fds.remove(if pool { POOL } else { LISTEN })?;
        let listener = std::net::TcpListener::from(fd);
        let own = listener.local_addr().ok()?;
        let same = own == address || address.port() == 0 && own.ip() == address.ip();
        listener.set_nonblocking(true).ok().filter(|()| same)?;
        Some(mio::net::TcpListener::from_std(listener))
    }

    /// The lock of the folder of the history.
    pub fn take_state_lock(&mut self) -> Option<std::fs::File> {
        self.fds.remove(STATE).map(Into::into)
    }

    /// The pid file.
    pub fn take_pid_file(&mut self) -> Option<std::fs::File> {
        self.fds.remove(PID).map(Into::into)
    }

    /// What the old daemon knew of the list, and its version.
    pub fn list(&self) -> Option<(u64, Vec<Listing>)> {
        let known = self.known.as_ref().ok().filter(|known| !known.places.is_empty())?;
        Some((known.index, known.places.iter().filter_map(listing).collect()))
    }
}

fn place(listing: &Listing) -> ListedMember {
    ListedMember {
        name: listing.name.to_string(),
        address: listing.address.to_string(),
        zone: listing.zone.clone(),
        group: listing.group,
        phase: if listing.phase == Phase::Active { "serving" } else { "draining" }.into(),
        since: listing.started_at,
    }
}

fn listing(place: &ListedMember) -> Option<Listing> {
    Some(Listing {
        name: place.name.as_str().into(),
        address: place.address.parse().ok()?,
        zone: place.zone.clone(),
        group: place.group,
        phase: if place.phase == "serving" { Phase::Active } else { Phase::Leaving },
        started_at: place.since,
    })
}

/// Hand-overs to a successor.
pub(super) struct SuccessorHandover {
    bound: OwnedListener,
    giver: Predecessor,
    conn: Option<Conn>,
}

impl SuccessorHandover {
    pub fn new(mut bound: OwnedListener, context: &mut Context) -> io::Result<SuccessorHandover> {
        let token = Source::SuccessorListener.into();
        context.reactor.registry.register(&mut bound.listener, token, Interest::READABLE)?;
        Ok(SuccessorHandover { bound, giver: Predecessor::default(), conn: None })
    }

    /// Whether a successor is at it.
    pub fn is_busy(&self) -> bool {
        self.giver.is_busy()
    }
}

/// The hand-over from the daemon before this one.
pub(super) struct PredecessorHandover {
    taker: Successor,
    conn: Conn,
    /// What the old daemon knew, until it is taken over.
    known: Option<Result<KnownState, SnapshotError>>,
    /// Answers, and bad ones among them, when clients were first taken in.
    base: (u64, u64),
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
        let mut out = Vec::new();
        let trial = Trial { seconds: trial_s, ..Trial::default() };
        let taker = Successor::new(trial, context.reactor.now(), &mut out);
        Ok((PredecessorHandover { taker, conn: Conn::new(stream), known: Some(known), base: (0, 0) }, out))
    }
}

impl Pooler {
    /// Takes over what the old daemon knew, once the members are listed.
    pub(super) fn adopt_predecessor_state(&mut self, context: &mut Context) {
        let known = match self.predecessor.as_mut().and_then(|predecessor| predecessor.known.take()) {
            Some(Ok(known)) => known,
            Some(Err(fault)) => {
                // It starts like one that has nobody before it, with the listeners.
                return logging::warn!(
                    event = "handover.cold",
                    "what the old daemon knows is not used: {fault}"
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
        logging::info!(event = "handover.known", members, sessions, "goes on with what the old daemon knew");
        self.carry_out(actions, context);
    }

    /// What this daemon knows.
    fn known(&self) -> KnownState {
        let finite = |value: f64| value.is_finite().then_some(value);
        let (sessions, forgotten) = self.policy.export_session_writes();
        let listed = self.changes.iter().flat_map(|changes| changes.roster.listed());
        let members = self.policy.observed_state().into_iter().map(|learned| Member {
            name: learned.member.to_string(),
            primary: learned.primary,
            position: learned.position,
            cold_since: learned.cold_since,
        });
        KnownState {
            index: self.discovery.list_version(),
            places: listed.filter(|listing| listing.phase != Phase::Left).map(place).collect(),
            members: members.collect(),
            sessions: sessions.into_iter().map(|(name, commit)| (name.to_string(), commit)).collect(),
            forgotten: finite(forgotten),
        }
    }

    /// A successor knocks.
    pub(super) fn accept_successor(&mut self, context: &mut Context) {
        let Some(successor) = &mut self.successor else { return };
        while let Ok((mut stream, _)) = successor.bound.listener.accept() {
            if successor.conn.is_some() {
                let denied = Message::Denied { why: "another successor is at it".into() };
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

    /// The successor has said something, or is gone.
    pub(super) fn read_successor(&mut self, context: &mut Context) {
        let Some((heard, over)) =
            self.successor.as_mut().and_then(|successor| successor.conn.as_mut()).map(Conn::hear)
        else {
            return;
        };
        for said in heard {
            match said {
                Ok(say) => self.give(PredecessorEvent::Received(say), context),
                Err(why) => self.give(PredecessorEvent::Received(Message::HandBack { why }), context),
            }
        }
        if over {
            if let Some(successor) = &mut self.successor {
                successor.conn = None;
            }
            self.give(PredecessorEvent::Disconnected, context);
        }
    }

    fn give(&mut self, heard: PredecessorEvent, context: &mut Context) {
        use transaction::Stage as At;
        let hindrance = match (self.lifecycle.stage(), &self.changes) {
            (Stage::Ready, Some(changes)) if !matches!(changes.transaction.stage(), At::Idle) => {
                Some("a change of configuration is under way")
            }
            (Stage::Ready, _) => None,
            (stage, _) => Some(stage.name()),
        };
        let Some(successor) = &mut self.successor else { return };
        let mut acts = Vec::new();
        successor.giver.handle(context.reactor.now(), heard, hindrance, &mut acts);
        for act in acts {
            match act {
                PredecessorAction::Send(say) => {
                    self.successor_conn().into_iter().for_each(|conn| conn.say(&say))
                }
                PredecessorAction::Offer { versions } => self.offer(versions, context),
                PredecessorAction::Pause => {
                    logging::info!(event = "handover.given", "a successor takes in clients, on trial");
                    self.set_paused(true, context);
                }
                PredecessorAction::Resume(why) => {
                    logging::warn!(event = "handover.back", "takes in clients again: {why}");
                    if let Some(changes) = &mut self.changes {
                        changes.rewrite_history();
                    }
                    self.set_paused(false, context);
                }
                PredecessorAction::Succeeded => {
                    logging::info!(event = "handover.over", "the successor stands");
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

    /// Sends the descriptors, and what is known to a reader of these versions.
    fn offer(&mut self, versions: (u32, u32), context: &mut Context) {
        let snapshot = Snapshot::new(context.reactor.now(), self.known());
        let bytes = if snapshot.is_readable_by(versions) { snapshot.encode() } else { Vec::new() };
        let bytes = if bytes.len() > MAX_SNAPSHOT_BYTES { Vec::new() } else { bytes };
        let state = self.changes.as_ref().and_then(|changes| changes.lock());
        let fds: Vec<(&str, BorrowedFd)> = [
            (LISTEN, self.clients.listener().map(AsFd::as_fd)),
            (POOL, self.sessions.as_ref().and_then(|sessions| sessions.listener()).map(AsFd::as_fd)),
            (STATE, state.map(AsFd::as_fd)),
            (PID, self.lifecycle.pid().map(AsFd::as_fd)),
        ]
        .into_iter()
        .filter_map(|(name, fd)| Some((name, fd?)))
        .collect();
        let names = fds.iter().map(|(name, _)| name.to_string()).collect();
        let line = Message::Offer { fds: names, snapshot: bytes.len() }.to_line();
        let fds: Vec<BorrowedFd> = fds.into_iter().map(|(_, fd)| fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_FDS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let room = control.push(SendAncillaryMessage::ScmRights(&fds));
        let Some(conn) = self.successor.as_mut().and_then(|successor| successor.conn.as_mut()) else {
            return;
        };
        // Nothing was said to it before: the line fits into the socket whole.
        let sent = sendmsg(&conn.stream, &[IoSlice::new(&line)], &mut control, SendFlags::NOSIGNAL);
        if room && sent == Ok(line.len()) {
            conn.outbox.push(&bytes);
            let _ = conn.flush();
        } else {
            logging::error!(event = "handover.back", "the descriptors cannot be sent: {sent:?}");
            self.successor.iter_mut().for_each(|successor| successor.conn = None);
            self.give(PredecessorEvent::Disconnected, context);
        }
    }

    /// The daemon before this one has said something, or is gone.
    pub(super) fn read_predecessor(&mut self, context: &mut Context) {
        let Some(predecessor) = &mut self.predecessor else { return };
        let (heard, over) = predecessor.conn.hear();
        for said in heard.into_iter().flatten() {
            self.handle_predecessor_input(SuccessorEvent::Received(said), context);
        }
        if over {
            self.handle_predecessor_input(SuccessorEvent::Disconnected, context);
            // From here on there is no write that this daemon does not hear of.
            self.invalidate_writes_beside_predecessor(context);
            self.predecessor = None;
        }
    }

    /// While the old daemon is there, sessions that it serves still may write through it.
    pub(super) fn invalidate_writes_beside_predecessor(&mut self, context: &mut Context) {
        if self.predecessor.is_some() {
            self.policy.invalidate_session_writes(context.reactor.now());
        }
    }

    /// Time passes for a hand-over.
    pub(super) fn on_handover_timer(&mut self, context: &mut Context) {
        self.give(PredecessorEvent::Time, context);
        let Some(predecessor) = &self.predecessor else { return };
        let (answers, bad) = answers(context);
        let (all, worse) = (answers - predecessor.base.0, bad - predecessor.base.1);
        let waiting = self.pending_replies().waiting as u64;
        self.handle_predecessor_input(SuccessorEvent::Time(all, worse, waiting), context);
    }

    pub(super) fn handle_predecessor_input(&mut self, seen: SuccessorEvent, context: &mut Context) {
        let Some(predecessor) = &mut self.predecessor else { return };
        let mut does = Vec::new();
        predecessor.taker.handle(context.reactor.now(), seen, &mut does);
        self.carry_out_handover(does, context);
    }

    pub(super) fn carry_out_handover(&mut self, does: Vec<SuccessorAction>, context: &mut Context) {
        for act in does {
            match act {
                SuccessorAction::Send(say) => {
                    self.predecessor.iter_mut().for_each(|predecessor| predecessor.conn.say(&say))
                }
                SuccessorAction::Accept => {
                    logging::info!(event = "handover.taken", "takes in clients, on trial");
                    self.predecessor.iter_mut().for_each(|predecessor| predecessor.base = answers(context));
                    self.set_paused(false, context);
                }
                SuccessorAction::Yield(why) => {
                    logging::error!(event = "handover.yielded", "hands back to the old daemon: {why}");
                    self.handed_back = true;
                    self.set_paused(true, context);
                    self.advance_lifecycle(LifecycleInput::ListenerHandedOver, context);
                }
                SuccessorAction::TakeOver => self.complete_takeover(context),
                SuccessorAction::Timer(at) => context.reactor.set_timer(at, TimerKind::Handover),
            }
        }
    }

    /// This is the daemon now: what only one may have is its own.
    fn complete_takeover(&mut self, context: &mut Context) {
        self.lifecycle.announce_takeover();
        let document = self.changes.as_ref().map(|changes| changes.effective.document.clone());
        let document = document.unwrap_or_default();
        let (control, daemon) = (document.control, document.daemon);
        if let Some(path) = &control.socket {
            match ControlSocket::replace(path, control.idle_s, context) {
                Ok(controls) => self.control = Some(controls),
                Err(error) => logging::error!(event = "handover.control", "{}: {error}", path.display()),
            }
        }
        if let Some(path) = &daemon.handover {
            match OwnedListener::replace(path).and_then(|bound| SuccessorHandover::new(bound, context)) {
                Ok(successor) => self.successor = Some(successor),
                Err(error) => logging::error!(event = "handover.successor", "{}: {error}", path.display()),
            }
        }
        logging::info!(event = "handover.stands", "stands in the old daemon's place");
    }
}

/// Final answers so far, and how many of them were refusals or failures.
fn answers(context: &Context) -> (u64, u64) {
    let counters = &context.counters;
    let bad = counters.refused + counters.failed;
    (counters.served + bad, bad)
}
