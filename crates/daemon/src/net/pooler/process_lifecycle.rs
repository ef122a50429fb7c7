//! Lifecycle of the process: carries out the actions of [`lifecycle::StateMachine`], notifies the service
//! manager, and owns the pid file.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};
use std::path::{Path, PathBuf};

use exchange::Answer;
use lifecycle::{notify, Action, Input, Limits, Pending, Stage, StateMachine};
use routing::interface::{self, RequestId};

use super::names::for_log;
use super::{Pooler, ReplyTarget};
use crate::net::event_loop::TimerKind;
use crate::net::sessions::Sessions;
use crate::net::Context;

/// Maximum number of unanswered requests whose ids are logged at the exit.
const MAX_NAMED_REQUESTS: usize = 20;

/// Notification socket of the service manager.
struct ServiceManager(UnixDatagram);

impl ServiceManager {
    /// Connects to the address in `NOTIFY_SOCKET`: a path, or `@` and a name in the abstract namespace.
    fn connect(name: &str) -> io::Result<ServiceManager> {
        let socket = UnixDatagram::unbound()?;
        match name.strip_prefix('@') {
            Some(name) => socket.connect_addr(&SocketAddr::from_abstract_name(name)?)?,
            None => socket.connect(name)?,
        }
        socket.set_nonblocking(true)?;
        Ok(ServiceManager(socket))
    }
}

/// The file that contains the process id. It is locked while the process runs, so that two daemons cannot
/// share one.
pub(super) struct PidFile {
    file: File,
    path: PathBuf,
}

impl PidFile {
    /// Creates or reuses the file, locks it and writes the process id. Fails if another process has locked
    /// it.
    pub fn take(path: &Path) -> io::Result<PidFile> {
        let with_path =
            |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", path.display()));
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(with_path)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let mut pid = String::new();
                let _ = Read::by_ref(&mut file).take(32).read_to_string(&mut pid);
                let text = format!("process {} runs with it", pid.trim());
                return Err(with_path(io::Error::new(io::ErrorKind::AddrInUse, text)));
            }
            Err(TryLockError::Error(error)) => return Err(with_path(error)),
        }
        let mut pid_file = PidFile { file, path: path.to_path_buf() };
        pid_file.write().map_err(with_path)?;
        Ok(pid_file)
    }

    /// Wraps the locked file of the predecessor. It belongs to this process once [`PidFile::write`] has been
    /// called.
    pub fn inherit(file: File, path: &Path) -> PidFile {
        PidFile { file, path: path.to_path_buf() }
    }

    /// Writes the id of this process.
    fn write(&mut self) -> io::Result<()> {
        // The file is truncated last, so that it is never empty.
        let text = format!("{}\n", std::process::id());
        self.file.rewind()?;
        self.file.write_all(text.as_bytes())?;
        self.file.set_len(text.len() as u64)
    }
}

impl Drop for PidFile {
    fn drop(&mut self) {
        // The file is removed while it is locked, so that the next process creates a new one. A file that a
        // successor has written remains.
        let own =
            std::fs::read_to_string(&self.path).is_ok_and(|pid| pid.trim() == std::process::id().to_string());
        if own {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// The lifecycle's state machine, with the service manager and the pid file.
pub(super) struct ProcessLifecycle {
    state_machine: StateMachine,
    manager: Option<ServiceManager>,
    pid_file: Option<PidFile>,
    rng: fastrand::Rng,
}

/// Time limits from the operator's file; the platform's without such a file.
pub(super) fn lifecycle_limits(daemon: Option<&operator::Daemon>) -> Limits {
    let env = |name: &str| std::env::var(name).ok();
    let watchdog_interval = notify::watchdog_interval(
        env("WATCHDOG_USEC").as_deref(),
        env("WATCHDOG_PID").as_deref(),
        std::process::id(),
    );
    let limits = Limits { watchdog_interval, ..Limits::default() };
    daemon.map_or(limits, |daemon| Limits {
        accept_grace: daemon.last_call_s,
        drain_timeout: daemon.drain_for_s,
        refuse_waiting: true,
        ..limits
    })
}

impl ProcessLifecycle {
    /// Starts the lifecycle. Returns the first actions as well.
    pub fn new(
        limits: Limits,
        pid_file: Option<PidFile>,
        seed: u64,
        context: &mut Context,
    ) -> (ProcessLifecycle, Vec<Action>) {
        let mut actions = Vec::new();
        let state_machine = StateMachine::new(limits, context.reactor.now(), &mut actions);
        let manager = std::env::var("NOTIFY_SOCKET").ok().filter(|name| !name.is_empty()).and_then(|name| {
            let manager = ServiceManager::connect(&name);
            manager
                .map_err(|error| {
                    logging::warn!(event = "notify.lost", "NOTIFY_SOCKET: {name}: {error}");
                })
                .ok()
        });
        (
            ProcessLifecycle {
                state_machine,
                manager,
                pid_file,
                rng: fastrand::Rng::with_seed(seed ^ 0x11fe),
            },
            actions,
        )
    }

    pub fn stage(&self) -> Stage {
        self.state_machine.stage()
    }

    /// A delay with jitter, from half of `max` to `max` (seconds), so that clients do not return at the same
    /// time.
    pub fn jittered_backoff(&mut self, max: f64) -> f64 {
        max * (0.5 + 0.5 * self.rng.f64())
    }

    pub fn set_limits(&mut self, limits: Limits) {
        self.state_machine.set_limits(limits);
    }

    /// Returns the pid file, to be passed to a successor.
    pub fn pid_file(&self) -> Option<&File> {
        self.pid_file.as_ref().map(|pid_file| &pid_file.file)
    }

    /// Writes the pid file and notifies the service manager that this process has replaced its predecessor.
    pub fn announce_takeover(&mut self) {
        if let Some(Err(error)) = self.pid_file.as_mut().map(PidFile::write) {
            logging::error!(event = "pid.unwritten", "{error}");
        }
        self.notify_manager(&format!("MAINPID={}\n{}", std::process::id(), notify::READY));
    }

    fn notify_manager(&self, text: &str) {
        if let Some(ServiceManager(socket)) = &self.manager {
            // The socket does not block: the event loop must not wait for a manager that does not read.
            if let Err(error) = socket.send(text.as_bytes()) {
                logging::debug!(event = "notify.lost", "service manager: {error}");
            }
        }
    }
}

/// Returns the time of the monotonic clock (microseconds), as service managers expect it.
pub(super) fn monotonic_us() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

impl Pooler {
    /// Counts the pending replies and the open connections.
    pub(super) fn pending_replies(&self) -> Pending {
        let mut pending = Pending::default();
        for request in self.requests.values().filter(|request| request.reply_target.is_some()) {
            *if !request.attempts_in_flight.is_empty() {
                &mut pending.in_flight
            } else {
                &mut pending.waiting
            } += 1;
        }
        pending.clients = self.clients.len() + self.sessions.as_ref().map_or(0, Sessions::len);
        pending
    }

    /// Passes an input to the lifecycle's state machine and carries out its actions.
    pub(super) fn advance_lifecycle(&mut self, input: Input, context: &mut Context) {
        let mut actions = Vec::new();
        self.lifecycle.state_machine.handle(context.reactor.now(), input, &mut actions);
        self.carry_out_lifecycle(actions, context);
    }

    pub(super) fn carry_out_lifecycle(&mut self, actions: Vec<Action>, context: &mut Context) {
        for action in actions {
            match action {
                Action::Notify(text) => self.lifecycle.notify_manager(&text),
                Action::Timer(at) => context.reactor.set_timer(at, TimerKind::Lifecycle),
                Action::RefuseWaiting => self.refuse_waiting(context),
                Action::StopAccepting => {
                    self.sessions.iter_mut().for_each(|sessions| sessions.end_sessions(false, context));
                    self.clients.close(self.kill_at, context);
                }
                Action::AnswerPending => self.answer_pending(context),
                Action::ReadConfig => self.reload(context),
                Action::ReloadRejected(why) => {
                    context.counters.reloads_failed += 1;
                    logging::warn!(event = "config.kept", "not read again: {why}");
                }
                Action::Exit(code) => {
                    let unanswered =
                        self.requests.iter().filter(|(_, request)| request.reply_target.is_some());
                    let unanswered: Vec<String> =
                        unanswered.map(|(id, _)| for_log(id).to_string()).take(MAX_NAMED_REQUESTS).collect();
                    if code != lifecycle::EXIT_CLEAN {
                        let (pending, first) = (self.pending_replies(), unanswered.join(" "));
                        logging::error!(
                            event = "ending.owed",
                            waiting = pending.waiting,
                            out = pending.in_flight,
                            clients = pending.clients,
                            first,
                            "exits with pending replies"
                        );
                    }
                }
            }
        }
    }

    /// Advances the lifecycle if the events handled so far have completed its current stage.
    pub(super) fn check_lifecycle(&mut self, context: &mut Context) {
        if self.predecessor.is_some() && self.lifecycle.stage() == Stage::Ready {
            self.handle_predecessor_input(handover::SuccessorEvent::ReadyToServe, context);
        }
        match self.lifecycle.stage() {
            Stage::Reloading => {
                let finished = self.changes.as_ref().is_none_or(|changes| {
                    use transaction::Stage as At;
                    matches!(changes.transaction.stage(), At::Idle | At::Probation(_))
                });
                if finished {
                    self.advance_lifecycle(Input::ReloadFinished, context);
                }
            }
            Stage::Closing | Stage::Cutting => {
                let pending = self.pending_replies();
                if pending.is_empty() {
                    self.advance_lifecycle(Input::Tick(pending), context);
                }
            }
            _ => {}
        }
    }

    /// Handles a timer of the lifecycle.
    pub(super) fn on_lifecycle_timer(&mut self, context: &mut Context) {
        if self.lifecycle.stage() == Stage::Closing {
            // Closes sessions that have become idle since the last timer.
            self.sessions.iter_mut().for_each(|sessions| sessions.end_sessions(false, context));
        }
        let pending = self.pending_replies();
        self.advance_lifecycle(Input::Tick(pending), context);
    }

    /// Refuses the requests that have no attempt in flight, with a jittered backoff.
    fn refuse_waiting(&mut self, context: &mut Context) {
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
                "waiting requests refused: the pooler shuts down"
            );
        }
        for id in waiting {
            let backoff = self.lifecycle.jittered_backoff(self.retry_after);
            // A request that waits for its next attempt may have run already. A refusal would wrongly permit
            // a repeat.
            let may_refuse = self.policy.may_refuse(&id);
            self.answer(&id, if may_refuse { Answer::Refused(backoff) } else { Answer::Failed }, context);
            self.notify_policy(interface::Event::ClientLeft { id }, context);
        }
    }

    /// Answers all pending requests at the end of the drain timeout, and cancels their attempts.
    fn answer_pending(&mut self, context: &mut Context) {
        self.refuse_waiting(context);
        let unanswered = self.requests.iter().filter(|(_, request)| request.reply_target.is_some());
        let unanswered: Vec<RequestId> = unanswered.map(|(id, _)| id.clone()).collect();
        if !unanswered.is_empty() {
            logging::warn!(
                event = "ending.cut",
                requests = unanswered.len(),
                "pending requests ended: the drain timeout has passed"
            );
        }
        for id in unanswered {
            let is_session = self
                .requests
                .get(&id)
                .is_some_and(|r| matches!(r.reply_target, Some(ReplyTarget::Session(_))));
            // A platform client's request may have run at a member, so it fails. A session that still waits
            // for its answer is not attached to a server: nothing of it was sent.
            self.answer(&id, if is_session { Answer::Refused(0.0) } else { Answer::Failed }, context);
            self.notify_policy(interface::Event::ClientLeft { id: id.clone() }, context);
            self.cancel_attempts(&id, context);
        }
        self.sessions.iter_mut().for_each(|sessions| sessions.end_sessions(true, context));
    }
}
