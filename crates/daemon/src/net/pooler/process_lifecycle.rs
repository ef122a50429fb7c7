//! The daemon's life on its sockets: carries out what [`lifecycle::StateMachine`] says, tells a service manager, holds the
//! pid file.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};
use std::path::{Path, PathBuf};

use exchange::Answer;
use lifecycle::{notify, Action, Input, Limits, Pending, Stage, StateMachine};
use routing::interface::{self, RequestId};

use super::{Pooler, ReplyTarget};
use crate::net::event_loop::TimerKind;
use crate::net::sessions::Sessions;
use crate::net::Context;

/// Most requests that the log names of those that are owed an answer at the end.
const MOST_NAMED: usize = 20;

/// The service manager's socket, where there is one.
struct Manager(UnixDatagram);

impl Manager {
    /// Of the variable `NOTIFY_SOCKET`: a path, or a name behind `@` in the abstract space.
    fn of(name: &str) -> io::Result<Manager> {
        let socket = UnixDatagram::unbound()?;
        match name.strip_prefix('@') {
            Some(name) => socket.connect_addr(&SocketAddr::from_abstract_name(name)?)?,
            None => socket.connect(name)?,
        }
        socket.set_nonblocking(true)?;
        Ok(Manager(socket))
    }
}

/// The file with the process's number, locked for as long as it runs: two daemons cannot hold one.
pub(super) struct PidFile {
    file: File,
    path: PathBuf,
}

impl PidFile {
    /// Takes the file; an old one that nobody holds is taken over.
    pub fn take(path: &Path) -> io::Result<PidFile> {
        let named = |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", path.display()));
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(named)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let mut pid = String::new();
                let _ = Read::by_ref(&mut file).take(32).read_to_string(&mut pid);
                let what = format!("process {} runs with it", pid.trim());
                return Err(named(io::Error::new(io::ErrorKind::AddrInUse, what)));
            }
            Err(TryLockError::Error(error)) => return Err(named(error)),
        }
        let mut pid = PidFile { file, path: path.to_path_buf() };
        pid.write().map_err(named)?;
        Ok(pid)
    }

    /// The file of the daemon before this one, which holds it still; this process's once it is written.
    pub fn inherit(file: File, path: &Path) -> PidFile {
        PidFile { file, path: path.to_path_buf() }
    }

    /// Puts this process's number into it.
    fn write(&mut self) -> io::Result<()> {
        // Cut off last: at no time is there nothing in it.
        let text = format!("{}\n", std::process::id());
        self.file.rewind()?;
        self.file.write_all(text.as_bytes())?;
        self.file.set_len(text.len() as u64)
    }
}

impl Drop for PidFile {
    fn drop(&mut self) {
        // Removed while it is held: who takes it next makes a new one. A successor's is left.
        let own =
            std::fs::read_to_string(&self.path).is_ok_and(|pid| pid.trim() == std::process::id().to_string());
        if own {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// The machine, and whom it speaks to.
pub(super) struct ProcessLifecycle {
    machine: StateMachine,
    manager: Option<Manager>,
    pid: Option<PidFile>,
    rng: fastrand::Rng,
}

/// The time limits that an operator's file sets; the platform's where there is none.
pub(super) fn lifecycle_limits(daemon: Option<&operator::Daemon>) -> Limits {
    let env = |name: &str| std::env::var(name).ok();
    let watchdog = notify::watchdog_interval(
        env("WATCHDOG_USEC").as_deref(),
        env("WATCHDOG_PID").as_deref(),
        std::process::id(),
    );
    let terms = Limits { watchdog_interval: watchdog, ..Limits::default() };
    daemon.map_or(terms, |daemon| Limits {
        accept_grace: daemon.last_call_s,
        drain_timeout: daemon.drain_for_s,
        refuse_waiting: true,
        ..terms
    })
}

impl ProcessLifecycle {
    /// A life that begins.
    pub fn new(
        terms: Limits,
        pid: Option<PidFile>,
        seed: u64,
        context: &mut Context,
    ) -> (ProcessLifecycle, Vec<Action>) {
        let mut actions = Vec::new();
        let machine = StateMachine::new(terms, context.reactor.now(), &mut actions);
        let manager = std::env::var("NOTIFY_SOCKET").ok().filter(|name| !name.is_empty()).and_then(|name| {
            let manager = Manager::of(&name);
            manager
                .map_err(|error| {
                    logging::warn!(event = "notify.lost", "NOTIFY_SOCKET: {name}: {error}");
                })
                .ok()
        });
        (ProcessLifecycle { machine, manager, pid, rng: fastrand::Rng::with_seed(seed ^ 0x11fe) }, actions)
    }

    pub fn stage(&self) -> Stage {
        self.machine.stage()
    }

    /// A time for someone to stay away: not the same for all (seconds, up to `most`).
    pub fn jittered_backoff(&mut self, most: f64) -> f64 {
        most * (0.5 + 0.5 * self.rng.f64())
    }

    pub fn set_limits(&mut self, terms: Limits) {
        self.machine.set_limits(terms);
    }

    /// The pid file's descriptor, for a successor.
    pub fn pid(&self) -> Option<&File> {
        self.pid.as_ref().map(|pid| &pid.file)
    }

    /// This process is the daemon in another's place.
    pub fn announce_takeover(&mut self) {
        if let Some(Err(error)) = self.pid.as_mut().map(PidFile::write) {
            logging::error!(event = "pid.unwritten", "{error}");
        }
        self.tell(&format!("MAINPID={}\n{}", std::process::id(), notify::READY));
    }

    fn tell(&self, text: &str) {
        if let Some(Manager(socket)) = &self.manager {
            // A manager that does not read is its own trouble: the loop does not wait for it.
            if let Err(error) = socket.send(text.as_bytes()) {
                logging::debug!(event = "notify.lost", "service manager: {error}");
            }
        }
    }
}

/// The monotonic clock (microseconds), as service managers read it.
pub(super) fn monotonic_us() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

impl Pooler {
    /// What is owed now.
    pub(super) fn pending_replies(&self) -> Pending {
        let mut owed = Pending::default();
        for request in self.requests.values().filter(|request| request.reply_target.is_some()) {
            *if !request.attempts_in_flight.is_empty() { &mut owed.in_flight } else { &mut owed.waiting } +=
                1;
        }
        owed.clients = self.clients.len() + self.sessions.as_ref().map_or(0, Sessions::len);
        owed
    }

    /// The life goes on by what has happened.
    pub(super) fn advance_lifecycle(&mut self, input: Input, context: &mut Context) {
        let mut actions = Vec::new();
        self.lifecycle.machine.handle(context.reactor.now(), input, &mut actions);
        self.carry_out_lifecycle(actions, context);
    }

    pub(super) fn carry_out_lifecycle(&mut self, actions: Vec<Action>, context: &mut Context) {
        for action in actions {
            match action {
                Action::Notify(text) => self.lifecycle.tell(&text),
                Action::Timer(at) => context.reactor.set_timer(at, TimerKind::Lifecycle),
                Action::RefuseWaiting => self.send_away(context),
                Action::StopAccepting => {
                    self.sessions.iter_mut().for_each(|sessions| sessions.end_sessions(false, context));
                    self.clients.close(context);
                }
                Action::AnswerPending => self.cut(context),
                Action::ReadConfig => self.reload(context),
                Action::ReloadRejected(why) => {
                    context.counters.reloads_failed += 1;
                    logging::warn!(event = "config.kept", "not read again: {why}");
                }
                Action::Exit(code) => {
                    let left = self.requests.iter().filter(|(_, request)| request.reply_target.is_some());
                    let left: Vec<String> = left.map(|(id, _)| id.to_string()).take(MOST_NAMED).collect();
                    if code != lifecycle::EXIT_CLEAN {
                        let (owed, first) = (self.pending_replies(), left.join(" "));
                        logging::error!(
                            event = "ending.owed",
                            waiting = owed.waiting,
                            out = owed.in_flight,
                            clients = owed.clients,
                            first,
                            "ends with answers owed"
                        );
                    }
                }
            }
        }
    }

    /// Looks whether the life has come further by what has been carried out.
    pub(super) fn check_lifecycle(&mut self, context: &mut Context) {
        if self.predecessor.is_some() && self.lifecycle.stage() == Stage::Ready {
            self.handle_predecessor_input(handover::SuccessorEvent::ReadyToServe, context);
        }
        match self.lifecycle.stage() {
            Stage::Reloading => {
                let settled = self.changes.as_ref().is_none_or(|changes| {
                    use transaction::Stage as At;
                    matches!(changes.transaction.stage(), At::Idle | At::Probation(_))
                });
                if settled {
                    self.advance_lifecycle(Input::ReloadFinished, context);
                }
            }
            Stage::Closing | Stage::Cutting => {
                let owed = self.pending_replies();
                if owed.is_empty() {
                    self.advance_lifecycle(Input::Tick(owed), context);
                }
            }
            _ => {}
        }
    }

    /// Time passes.
    pub(super) fn on_lifecycle_timer(&mut self, context: &mut Context) {
        if self.lifecycle.stage() == Stage::Closing {
            // Sessions that have come to rest since the last look.
            self.sessions.iter_mut().for_each(|sessions| sessions.end_sessions(false, context));
        }
        let owed = self.pending_replies();
        self.advance_lifecycle(Input::Tick(owed), context);
    }

    /// Those that wait for a server are told when to come back: not all at once.
    fn send_away(&mut self, context: &mut Context) {
        let waiting = self.requests.iter().filter(|(_, request)| {
            request.reply_target.is_some()
                && request.attempts_in_flight.is_empty()
                && !request.sharing.is_served()
        });
        let waiting: Vec<RequestId> = waiting.map(|(id, _)| id.clone()).collect();
        if !waiting.is_empty() {
            logging::info!(
                event = "ending.sent_away",
                requests = waiting.len(),
                "sent away: the pooler ends"
            );
        }
        for id in waiting {
            let backoff = self.lifecycle.jittered_backoff(self.retry_after);
            // One that waits for its repeat may have run: to say that another try is harmless would be wrong.
            let harmless = self.policy.may_refuse(&id);
            self.answer(&id, if harmless { Answer::Refused(backoff) } else { Answer::Failed }, context);
            self.notify_policy(interface::Event::ClientLeft { id }, context);
        }
    }

    /// Time is up: whoever is owed an answer gets what is known.
    fn cut(&mut self, context: &mut Context) {
        self.send_away(context);
        let out = self.requests.iter().filter(|(_, request)| request.reply_target.is_some());
        let out: Vec<RequestId> = out.map(|(id, _)| id.clone()).collect();
        if !out.is_empty() {
            logging::warn!(event = "ending.cut", requests = out.len(), "cut off: the time to drain is over");
        }
        for id in out {
            let session = self
                .requests
                .get(&id)
                .is_some_and(|r| matches!(r.reply_target, Some(ReplyTarget::Session(_))));
            // It has reached a server: whether it ran there is not known.
            self.answer(&id, if session { Answer::Refused(0.0) } else { Answer::Failed }, context);
            self.notify_policy(interface::Event::ClientLeft { id: id.clone() }, context);
            self.cancel_attempts(&id, context);
        }
        self.sessions.iter_mut().for_each(|sessions| sessions.end_sessions(true, context));
    }
}
