//! The lifecycle state machine.

use crate::{EXIT_CLEAN, EXIT_PENDING};

/// How often pending replies are checked during shutdown (seconds).
const PENDING_CHECK_INTERVAL: f64 = 0.05;
/// How long writing the final answers may take after the drain timeout (seconds).
const FLUSH_TIMEOUT: f64 = 1.0;
/// Upper bound of the remaining drain time after a second signal (seconds).
const SECOND_SIGNAL_TIMEOUT: f64 = 1.0;

/// Stage of the pooler's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The listener is not bound yet, or no list with a serving member has been received.
    Starting,
    /// Serving clients.
    Ready,
    /// Serving clients while the configuration is being reread.
    Reloading,
    /// Shutdown requested: new connections are accepted until `accept_grace` has passed, for clients that do
    /// not know of the shutdown yet. With `refuse_waiting`, requests that wait for a server are refused.
    Draining,
    /// No new connections are accepted; requests in progress may complete.
    Closing,
    /// The drain timeout has passed: every pending request has been given its final answer, which is being
    /// written.
    Cutting,
    /// Ended, with this exit code.
    Ended(u8),
}

impl Stage {
    /// Name of the stage, as `status` prints it.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Starting => "starting",
            Stage::Ready => "ready",
            Stage::Reloading => "reloading",
            Stage::Draining => "draining",
            Stage::Closing => "closing",
            Stage::Cutting => "cutting",
            Stage::Ended(_) => "ended",
        }
    }

    /// Returns true from the first stop request on.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, Stage::Draining | Stage::Closing | Stage::Cutting | Stage::Ended(_))
    }
}

/// Time limits (seconds).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// From the stop request until no new connections are accepted. Those that were notified of the shutdown
    /// have switched to another pooler by then.
    pub accept_grace: f64,
    /// From the stop request until pending requests are ended; infinite for no limit.
    pub drain_timeout: f64,
    /// Whether requests that wait for a server are refused as soon as shutdown begins.
    pub refuse_waiting: bool,
    /// Interval at which the service manager expects a keep-alive; `None` without a watchdog.
    pub watchdog_interval: Option<f64>,
    /// A start that takes longer than this asks the service manager once for more time.
    pub start_timeout: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            accept_grace: 0.75,
            drain_timeout: f64::INFINITY,
            refuse_waiting: false,
            watchdog_interval: None,
            start_timeout: 10.0,
        }
    }
}

/// Numbers of pending requests and open client connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pending {
    /// Requests that wait for a server.
    pub waiting: usize,
    /// Requests with an attempt in flight.
    pub in_flight: usize,
    /// Client connections that are not closed yet.
    pub clients: usize,
}

impl Pending {
    /// Returns true if nothing is pending.
    pub fn is_empty(self) -> bool {
        self == Pending::default()
    }
}

/// Input events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// The listener is bound.
    ListenerBound,
    /// A list with a serving member has been received.
    ListReceived,
    /// A reload was requested, at this time of the monotonic clock (microseconds).
    ReloadRequested(u64),
    /// The reload has finished, successfully or not.
    ReloadFinished,
    /// A signal requests shutdown. A second one shortens the drain, a third one exits at once.
    StopRequested,
    /// Another process has taken over the listener: this process gets no more connections.
    ListenerHandedOver,
    /// Time has passed; carries what is pending now.
    Tick(Pending),
}

/// Actions for the driver, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this message to the service manager.
    Notify(String),
    /// Call again with [`Input::Tick`] at this time.
    Timer(f64),
    /// Refuse the requests that wait for a server, with a retry time.
    RefuseWaiting,
    /// Accept no more connections; close each client connection as soon as no reply is pending on it.
    StopAccepting,
    /// Answer each pending request with what is known of its outcome.
    AnswerPending,
    /// Reread the configuration.
    ReadConfig,
    /// The reload request is rejected, for this reason.
    ReloadRejected(&'static str),
    /// Exit with this code; unless it is [`EXIT_CLEAN`](crate::EXIT_CLEAN), log what is pending.
    Exit(u8),
}

/// Lifecycle of a pooler.
#[derive(Debug)]
pub struct StateMachine {
    limits: Limits,
    stage: Stage,
    listener_bound: bool,
    list_received: bool,
    started_at: f64,
    extended: bool,
    /// Stop requests received so far.
    stop_requests: u32,
    /// When the pooler stops accepting connections.
    stop_accepting_at: f64,
    /// When pending requests are ended, or, in [`Stage::Cutting`], until when their answers may be written.
    drain_deadline: f64,
    pending: Pending,
    /// When the last keep-alive was sent to the service manager.
    keep_alive_sent_at: f64,
    /// Earliest timer that is set; avoids setting another one on each input.
    next_timer: f64,
}

impl StateMachine {
    /// Starts the lifecycle of a new process at `now`.
    pub fn new(limits: Limits, now: f64, out: &mut Vec<Action>) -> StateMachine {
        let mut state_machine = StateMachine {
            limits,
            stage: Stage::Starting,
            listener_bound: false,
            list_received: false,
            started_at: now,
            extended: false,
            stop_requests: 0,
            stop_accepting_at: f64::INFINITY,
            drain_deadline: f64::INFINITY,
            pending: Pending::default(),
            keep_alive_sent_at: now,
            next_timer: f64::INFINITY,
        };
        state_machine.schedule(now, out);
        state_machine
    }

    /// Current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Replaces the limits. The watchdog interval, and the deadlines of a drain that has begun, keep their
    /// values.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = Limits { watchdog_interval: self.limits.watchdog_interval, ..limits };
    }

    /// Handles one input at the time `now` and appends the actions to `out`.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::ListenerBound => {
                self.listener_bound = true;
                self.check_ready(out);
            }
            Input::ListReceived => {
                self.list_received = true;
                self.check_ready(out);
            }
            Input::ReloadRequested(monotonic) => match self.stage {
                Stage::Ready => {
                    self.stage = Stage::Reloading;
                    out.push(Action::Notify(crate::notify::reloading(monotonic)));
                    out.push(Action::ReadConfig);
                }
                // The configuration of the start may be stale by now; reading it once more is harmless.
                Stage::Starting => out.push(Action::ReadConfig),
                Stage::Reloading => out.push(Action::ReloadRejected("the previous reload has not finished")),
                _ => out.push(Action::ReloadRejected("the pooler is shutting down")),
            },
            Input::ReloadFinished if self.stage == Stage::Reloading => {
                self.stage = Stage::Ready;
                out.push(Action::Notify(crate::notify::READY.into()));
            }
            Input::ReloadFinished => {}
            Input::StopRequested => self.handle_stop_request(now, out),
            Input::ListenerHandedOver => {
                if !self.stage.is_shutting_down() {
                    self.handle_stop_request(now, out);
                }
                self.stop_accepting(now, out);
            }
            Input::Tick(pending) => {
                self.pending = pending;
                if now >= self.next_timer {
                    self.next_timer = f64::INFINITY;
                }
                self.on_tick(now, out);
            }
        }
        self.schedule(now, out);
    }

    fn check_ready(&mut self, out: &mut Vec<Action>) {
        if self.stage == Stage::Starting && self.listener_bound && self.list_received {
            self.stage = Stage::Ready;
            let message = format!("{}\n{}", crate::notify::READY, crate::notify::status("serving"));
            out.push(Action::Notify(message));
        }
    }

    fn handle_stop_request(&mut self, now: f64, out: &mut Vec<Action>) {
        if let Stage::Ended(_) = self.stage {
            return;
        }
        self.stop_requests += 1;
        match self.stop_requests {
            1 => {
                self.stage = Stage::Draining;
                (self.stop_accepting_at, self.drain_deadline) =
                    (now + self.limits.accept_grace, now + self.limits.drain_timeout);
                let message = crate::notify::status("draining");
                out.push(Action::Notify(format!("{}\n{message}", crate::notify::STOPPING)));
                if self.limits.refuse_waiting {
                    out.push(Action::RefuseWaiting);
                }
            }
            2 => {
                self.drain_deadline = self.drain_deadline.min(now + SECOND_SIGNAL_TIMEOUT);
                out.push(Action::RefuseWaiting);
                self.stop_accepting(now, out);
            }
            _ => self.exit(out),
        }
    }

    fn stop_accepting(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.stage == Stage::Draining {
            (self.stage, self.stop_accepting_at) = (Stage::Closing, now);
            out.push(Action::StopAccepting);
        }
    }

    fn exit(&mut self, out: &mut Vec<Action>) {
        let code = if self.pending.is_empty() { EXIT_CLEAN } else { EXIT_PENDING };
        self.stage = Stage::Ended(code);
        out.push(Action::Exit(code));
    }

    fn on_tick(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.limits.watchdog_interval.is_some_and(|interval| now >= self.keep_alive_sent_at + interval) {
            self.keep_alive_sent_at = now;
            out.push(Action::Notify(crate::notify::WATCHDOG.into()));
        }
        if self.stage == Stage::Starting
            && !self.extended
            && now >= self.started_at + self.limits.start_timeout
        {
            self.extended = true;
            let status = if self.listener_bound {
                "waiting for a list with a serving member"
            } else {
                "binding the listener"
            };
            let message = crate::notify::status(status);
            out.push(Action::Notify(format!("{}\n{message}", crate::notify::extend_timeout(60.0))));
        }
        if self.stage == Stage::Draining && now >= self.stop_accepting_at {
            self.stop_accepting(now, out);
        }
        if matches!(self.stage, Stage::Draining | Stage::Closing) {
            if self.limits.refuse_waiting && self.pending.waiting > 0 {
                out.push(Action::RefuseWaiting);
            }
            if self.stage == Stage::Closing && self.pending.is_empty() {
                return self.exit(out);
            }
            if now >= self.drain_deadline {
                if self.stage == Stage::Draining {
                    self.stop_accepting(now, out);
                }
                (self.stage, self.drain_deadline) = (Stage::Cutting, now + FLUSH_TIMEOUT);
                return out.push(Action::AnswerPending);
            }
        }
        if self.stage == Stage::Cutting && (self.pending.is_empty() || now >= self.drain_deadline) {
            self.exit(out);
        }
    }

    /// Sets a timer for the next deadline, unless one is set for that time or earlier.
    fn schedule(&mut self, now: f64, out: &mut Vec<Action>) {
        let mut next = match self.stage {
            Stage::Starting if !self.extended => self.started_at + self.limits.start_timeout,
            Stage::Draining => {
                self.stop_accepting_at.min(self.drain_deadline).min(now + PENDING_CHECK_INTERVAL)
            }
            Stage::Closing | Stage::Cutting => self.drain_deadline.min(now + PENDING_CHECK_INTERVAL),
            Stage::Ended(_) => return,
            _ => f64::INFINITY,
        };
        if let Some(interval) = self.limits.watchdog_interval {
            next = next.min(self.keep_alive_sent_at + interval);
        }
        if next < self.next_timer {
            self.next_timer = next;
            out.push(Action::Timer(next));
        }
    }
}
