//! The machine.

use crate::{EXIT_CLEAN, EXIT_PENDING};

/// How often it is looked whether something is still owed while the daemon ends (seconds).
const LOOK: f64 = 0.05;
/// How long answers may take to be written once all that is open was cut off (seconds).
const FLUSH: f64 = 1.0;
/// What a second signal leaves of the time to drain (seconds).
const HURRY: f64 = 1.0;

/// Where a daemon is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not everything that it needs is there.
    Starting,
    /// It serves.
    Ready,
    /// It serves, and reads its configuration again.
    Reloading,
    /// It is to end: it goes on serving whoever does not know that yet, but keeps nobody waiting.
    Draining,
    /// It takes in no more; what is on its way comes to its end.
    Closing,
    /// Time is up: all that is owed has been answered with what is known, and is being written.
    Cutting,
    /// Over, with this exit code.
    Ended(u8),
}

impl Stage {
    /// Its name, for people and for `status`.
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

    /// Whether the daemon is on its way out.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, Stage::Draining | Stage::Closing | Stage::Cutting | Stage::Ended(_))
    }
}

/// Time limits (seconds).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// From the wish to end until nobody is taken in any more: those who were told to go elsewhere have done so by
    /// then.
    pub accept_grace: f64,
    /// From the wish to end until what is open is cut off; infinite where it has all the time it needs.
    pub drain_timeout: f64,
    /// Whether those that wait for a server are sent away as soon as the daemon is to end.
    pub refuse_waiting: bool,
    /// How often a service manager wants to hear that the loop turns; none where there is no such.
    pub watchdog_interval: Option<f64>,
    /// A start that takes longer than this is told to the service manager as one that goes on.
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

/// What is owed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pending {
    /// Requests that wait for a server.
    pub waiting: usize,
    /// Requests that are at one.
    pub in_flight: usize,
    /// Connections of clients that are not closed yet.
    pub clients: usize,
}

impl Pending {
    /// Whether nothing is.
    pub fn is_empty(self) -> bool {
        self == Pending::default()
    }
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// The listener is bound.
    ListenerBound,
    /// A list with a member that serves is held.
    ListReceived,
    /// The configuration is being read again; at this time of the monotonic clock (microseconds).
    ReloadRequested(u64),
    /// That has come to its end, one way or the other.
    ReloadFinished,
    /// It is to end: a signal. A second one hurries, a third one ends it.
    StopRequested,
    /// Another process has taken over the listener: nobody comes here any more.
    ListenerHandedOver,
    /// Time passes; what is owed now.
    Tick(Pending),
}

/// What the driver does, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell the service manager.
    Notify(String),
    /// Come again with [`Input::Tick`] then.
    Timer(f64),
    /// Send away those that wait for a server, with a time to come back.
    RefuseWaiting,
    /// Take nobody in any more; a client's connection ends as soon as nothing is owed on it.
    StopAccepting,
    /// Answer all that is owed with what is known of it.
    AnswerPending,
    /// Read the configuration again.
    ReadConfig,
    /// The wish to reload is not followed; why.
    ReloadRejected(&'static str),
    /// End with this exit code; what is owed is listed where it is not [`EXIT_CLEAN`](crate::EXIT_CLEAN).
    Exit(u8),
}

/// A daemon's life.
#[derive(Debug)]
pub struct StateMachine {
    terms: Limits,
    stage: Stage,
    bound: bool,
    listed: bool,
    begun: f64,
    extended: bool,
    /// Signals to end so far.
    stops: u32,
    /// When nobody is taken in any more, and when what is open is cut off, or given up.
    close_at: f64,
    cut_at: f64,
    owed: Pending,
    /// When the service manager was last told that the loop turns.
    beaten: f64,
    /// The earliest timer that is set; guards against one more with each input.
    set: f64,
}

impl StateMachine {
    /// A daemon that begins.
    pub fn new(terms: Limits, now: f64, out: &mut Vec<Action>) -> StateMachine {
        let mut machine = StateMachine {
            terms,
            stage: Stage::Starting,
            bound: false,
            listed: false,
            begun: now,
            extended: false,
            stops: 0,
            close_at: f64::INFINITY,
            cut_at: f64::INFINITY,
            owed: Pending::default(),
            beaten: now,
            set: f64::INFINITY,
        };
        machine.schedule(now, out);
        machine
    }

    /// Where it is.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Other time limits from now on. A drain that has begun goes by those that it began with.
    pub fn set_limits(&mut self, terms: Limits) {
        self.terms = Limits { watchdog_interval: self.terms.watchdog_interval, ..terms };
    }

    /// Takes in what happens.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::ListenerBound => {
                self.bound = true;
                self.starts(out);
            }
            Input::ListReceived => {
                self.listed = true;
                self.starts(out);
            }
            Input::ReloadRequested(monotonic) => match self.stage {
                Stage::Ready => {
                    self.stage = Stage::Reloading;
                    out.push(Action::Notify(crate::notify::reloading(monotonic)));
                    out.push(Action::ReadConfig);
                }
                // What it is started with is being read, or was: a second reading does no harm.
                Stage::Starting => out.push(Action::ReadConfig),
                Stage::Reloading => out.push(Action::ReloadRejected("the last one is not done with")),
                _ => out.push(Action::ReloadRejected("the daemon is to end")),
            },
            Input::ReloadFinished if self.stage == Stage::Reloading => {
                self.stage = Stage::Ready;
                out.push(Action::Notify(crate::notify::READY.into()));
            }
            Input::ReloadFinished => {}
            Input::StopRequested => self.stop(now, out),
            Input::ListenerHandedOver => {
                if !self.stage.is_shutting_down() {
                    self.stop(now, out);
                }
                self.close(now, out);
            }
            Input::Tick(owed) => {
                self.owed = owed;
                if now >= self.set {
                    self.set = f64::INFINITY;
                }
                self.time(now, out);
            }
        }
        self.schedule(now, out);
    }

    fn starts(&mut self, out: &mut Vec<Action>) {
        if self.stage == Stage::Starting && self.bound && self.listed {
            self.stage = Stage::Ready;
            let words = format!("{}\n{}", crate::notify::READY, crate::notify::status("serving"));
            out.push(Action::Notify(words));
        }
    }

    fn stop(&mut self, now: f64, out: &mut Vec<Action>) {
        if let Stage::Ended(_) = self.stage {
            return;
        }
        self.stops += 1;
        match self.stops {
            1 => {
                self.stage = Stage::Draining;
                (self.close_at, self.cut_at) =
                    (now + self.terms.accept_grace, now + self.terms.drain_timeout);
                let words = crate::notify::status("draining");
                out.push(Action::Notify(format!("{}\n{words}", crate::notify::STOPPING)));
                if self.terms.refuse_waiting {
                    out.push(Action::RefuseWaiting);
                }
            }
            2 => {
                self.cut_at = self.cut_at.min(now + HURRY);
                out.push(Action::RefuseWaiting);
                self.close(now, out);
            }
            _ => self.exit(out),
        }
    }

    fn close(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.stage == Stage::Draining {
            (self.stage, self.close_at) = (Stage::Closing, now);
            out.push(Action::StopAccepting);
        }
    }

    fn exit(&mut self, out: &mut Vec<Action>) {
        let code = if self.owed.is_empty() { EXIT_CLEAN } else { EXIT_PENDING };
        self.stage = Stage::Ended(code);
        out.push(Action::Exit(code));
    }

    fn time(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.terms.watchdog_interval.is_some_and(|every| now >= self.beaten + every) {
            self.beaten = now;
            out.push(Action::Notify(crate::notify::WATCHDOG.into()));
        }
        if self.stage == Stage::Starting && !self.extended && now >= self.begun + self.terms.start_timeout {
            self.extended = true;
            let missing = if self.bound { "waits for a list with a member that serves" } else { "binds" };
            let words = crate::notify::status(missing);
            out.push(Action::Notify(format!("{}\n{words}", crate::notify::extend_timeout(60.0))));
        }
        if self.stage == Stage::Draining && now >= self.close_at {
            self.close(now, out);
        }
        if matches!(self.stage, Stage::Draining | Stage::Closing) {
            if self.terms.refuse_waiting && self.owed.waiting > 0 {
                out.push(Action::RefuseWaiting);
            }
            if self.stage == Stage::Closing && self.owed.is_empty() {
                return self.exit(out);
            }
            if now >= self.cut_at {
                if self.stage == Stage::Draining {
                    self.close(now, out);
                }
                (self.stage, self.cut_at) = (Stage::Cutting, now + FLUSH);
                return out.push(Action::AnswerPending);
            }
        }
        if self.stage == Stage::Cutting && (self.owed.is_empty() || now >= self.cut_at) {
            self.exit(out);
        }
    }

    /// Sets a timer for what comes next, where none does for it.
    fn schedule(&mut self, now: f64, out: &mut Vec<Action>) {
        let mut next = match self.stage {
            Stage::Starting if !self.extended => self.begun + self.terms.start_timeout,
            Stage::Draining => self.close_at.min(self.cut_at).min(now + LOOK),
            Stage::Closing | Stage::Cutting => self.cut_at.min(now + LOOK),
            Stage::Ended(_) => return,
            _ => f64::INFINITY,
        };
        if let Some(every) = self.terms.watchdog_interval {
            next = next.min(self.beaten + every);
        }
        if next < self.set {
            self.set = next;
            out.push(Action::Timer(next));
        }
    }
}
