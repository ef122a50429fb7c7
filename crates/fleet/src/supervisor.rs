//! The supervisor's state machine.

/// A batch counts as worse if its share of unserved answers is above the share before the rolling update by
/// more than this.
const MAX_UNSERVED_INCREASE: f64 = 0.05;
/// Minimum number of answers, before the rolling update and in the batch, for a comparison.
const MIN_ANSWERS: u64 = 30;

/// Limits of the supervision; times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SupervisorConfig {
    /// Number of instances.
    pub instances: usize,
    /// Period over which the first starts are spread.
    pub spread: f64,
    /// Delay before the first restart; doubles with each consecutive crash, up to `max_backoff`.
    pub backoff: f64,
    /// Upper bound of the delay before a restart.
    pub max_backoff: f64,
    /// An exit within this time after the start counts as a consecutive crash; a later one starts the count
    /// again.
    pub crash_window: f64,
    /// Number of consecutive crashes after which the instance is not restarted any more.
    pub max_crashes: u32,
    /// How long an instance may take to become ready before it is killed.
    pub ready_timeout: f64,
    /// How long an instance may take to stop before it is killed.
    pub stop_timeout: f64,
    /// Number of instances that are replaced at a time.
    pub batch: usize,
    /// How long a batch is observed, once all of it is ready, before the next batch.
    pub batch_observation: f64,
}

impl Default for SupervisorConfig {
    fn default() -> Self {
        SupervisorConfig {
            instances: 1,
            spread: 1.0,
            backoff: 0.5,
            max_backoff: 30.0,
            crash_window: 10.0,
            max_crashes: 5,
            ready_timeout: 10.0,
            stop_timeout: 40.0,
            batch: 1,
            batch_observation: 2.0,
        }
    }
}

/// Files and program that an instance is started from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Release {
    /// The release in force before the current rolling update.
    #[default]
    Old,
    /// The release that is being rolled out.
    New,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Waiting to be started at this time.
    Waiting(f64),
    /// Started at this time, and not ready yet.
    Starting(f64),
    /// Ready since this time.
    Ready(f64),
    /// Requested to stop at this time.
    Stopping(f64),
    /// Not restarted any more after too many consecutive crashes.
    Broken,
    /// Stopped as requested.
    Stopped,
}

impl State {
    /// Name of the state, as `fleet status` prints it.
    pub fn name(self) -> &'static str {
        match self {
            State::Waiting(_) => "waiting",
            State::Starting(_) => "starting",
            State::Ready(_) => "ready",
            State::Stopping(_) => "stopping",
            State::Broken => "broken",
            State::Stopped => "stopped",
        }
    }
}

/// Numbers of answers of an instance since its process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// All final answers.
    pub answers: u64,
    /// Refusals and failures among them.
    pub not_served: u64,
}

impl Health {
    fn since(self, earlier: Health) -> Health {
        // A new process counts from zero.
        if self.answers < earlier.answers {
            return self;
        }
        Health {
            answers: self.answers - earlier.answers,
            not_served: self.not_served.saturating_sub(earlier.not_served),
        }
    }

    fn plus(self, other: Health) -> Health {
        Health { answers: self.answers + other.answers, not_served: self.not_served + other.not_served }
    }

    fn unserved_share(self) -> Option<f64> {
        (self.answers >= MIN_ANSWERS).then(|| self.not_served as f64 / self.answers as f64)
    }
}

/// Input events.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An instance is running already: an earlier supervisor started it.
    AlreadyRunning(usize),
    /// The instance is ready.
    Ready(usize),
    /// The instance's process has exited, or could not be started.
    Exited(usize),
    /// The instance's answers so far.
    Health(usize, Health),
    /// Start a rolling update: replace all instances by the new release, a batch at a time.
    Roll,
    /// Start an instance again that is [`State::Broken`].
    Retry(usize),
    /// Stop all instances.
    Stop,
    /// Time has passed.
    Time,
}

/// Actions for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the instance from this release.
    Start(usize, Release),
    /// Ask the instance to stop.
    Stop(usize),
    /// Kill the instance.
    Kill(usize),
    /// Call again with [`Input::Time`] at this time.
    Timer(f64),
    /// Print a message; with the number of the instance, if it is about a single one.
    Log(Option<usize>, String),
    /// The rolling update has ended: all instances run this release, which is in force from now on.
    Rolled(Release),
}

#[derive(Clone, Debug)]
struct Instance {
    state: State,
    release: Release,
    started_at: f64,
    crashes: u32,
    /// The instance was requested to stop in order to be replaced.
    replaced: bool,
    health: Health,
    /// Answers counted when the last rolling update, or its undo, began.
    baseline: Health,
}

#[derive(Clone, Debug)]
struct Roll {
    to: Release,
    /// Instances that have not been replaced yet.
    remaining: Vec<usize>,
    batch: Vec<usize>,
    /// When the observation of the batch ends; `None` while an instance of it is not ready.
    observed_until: Option<f64>,
    /// Answers of all instances between the previous rolling update and this one.
    before: Health,
    is_undo: bool,
}

/// The supervisor.
#[derive(Debug)]
pub struct Supervisor {
    config: SupervisorConfig,
    instances: Vec<Instance>,
    roll: Option<Roll>,
    stopping: bool,
    rng: fastrand::Rng,
}

impl Supervisor {
    /// Starts the supervision. Report instances that are running already by [`Input::AlreadyRunning`] before
    /// the first [`Input::Time`].
    pub fn new(config: SupervisorConfig, seed: u64, now: f64) -> Supervisor {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Each instance starts at a random time within its own slot of the period, so that the starts are
        // evenly spread.
        let slot = config.spread / config.instances.max(1) as f64;
        let instances = (0..config.instances)
            .map(|n| Instance {
                state: State::Waiting(now + slot * (n as f64 + rng.f64())),
                release: Release::Old,
                started_at: now,
                crashes: 0,
                replaced: false,
                health: Health::default(),
                baseline: Health::default(),
            })
            .collect();
        Supervisor { config, instances, roll: None, stopping: false, rng }
    }

    /// State, release and number of consecutive crashes of each instance.
    pub fn states(&self) -> impl Iterator<Item = (State, Release, u32)> + '_ {
        self.instances.iter().map(|instance| (instance.state, instance.release, instance.crashes))
    }

    /// Returns true during a rolling update or its undo.
    pub fn is_rolling(&self) -> bool {
        self.roll.is_some()
    }

    /// Returns true once all instances have stopped after [`Input::Stop`].
    pub fn has_stopped(&self) -> bool {
        let is_down = |instance: &Instance| matches!(instance.state, State::Stopped | State::Broken);
        self.stopping && self.instances.iter().all(is_down)
    }

    /// Handles one event at the time `now` and appends the actions to `out`.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::AlreadyRunning(n) => {
                if let Some(instance) = self.instances.get_mut(n) {
                    (instance.state, instance.started_at) = (State::Ready(now), now);
                }
            }
            Input::Ready(n) => {
                if let Some(instance) =
                    self.instances.get_mut(n).filter(|instance| matches!(instance.state, State::Starting(_)))
                {
                    instance.state = State::Ready(now);
                }
            }
            Input::Exited(n) => self.handle_exit(now, n, out),
            Input::Health(n, health) => {
                if let Some(instance) = self.instances.get_mut(n) {
                    instance.health = health;
                }
            }
            Input::Roll if self.stopping || self.roll.is_some() => {
                out.push(Action::Log(
                    None,
                    "no rolling update started: one is under way, or the fleet is stopping".into(),
                ));
            }
            Input::Roll => self.start_roll(Release::New, (0..self.instances.len()).collect(), false),
            Input::Retry(n) => {
                if let Some(instance) =
                    self.instances.get_mut(n).filter(|instance| instance.state == State::Broken)
                {
                    (instance.state, instance.crashes) = (State::Waiting(now), 0);
                }
            }
            Input::Stop => {
                (self.stopping, self.roll) = (true, None);
                for n in 0..self.instances.len() {
                    match self.instances[n].state {
                        State::Starting(_) | State::Ready(_) => self.stop(now, n, out),
                        State::Waiting(_) => self.instances[n].state = State::Stopped,
                        _ => {}
                    }
                }
            }
            Input::Time => {}
        }
        self.advance(now, out);
    }

    fn stop(&mut self, now: f64, n: usize, out: &mut Vec<Action>) {
        self.instances[n].state = State::Stopping(now);
        out.push(Action::Stop(n));
    }

    fn handle_exit(&mut self, now: f64, n: usize, out: &mut Vec<Action>) {
        let config = self.config;
        let jitter = 0.5 + 0.5 * self.rng.f64();
        let stopping = self.stopping;
        let Some(instance) = self.instances.get_mut(n) else { return };
        (instance.health, instance.baseline) = (Health::default(), Health::default());
        if let State::Stopping(_) = instance.state {
            instance.state =
                if stopping || !instance.replaced { State::Stopped } else { State::Waiting(now) };
            instance.replaced = false;
            return;
        }
        if stopping {
            instance.state = State::Stopped;
            return;
        }
        // An instance that ran longer than the crash window starts the count again.
        instance.crashes =
            if now - instance.started_at < config.crash_window { instance.crashes + 1 } else { 1 };
        if instance.crashes >= config.max_crashes {
            instance.state = State::Broken;
            let message = format!(
                "exited {} times in a row within {} s of its start: not restarted any more",
                instance.crashes, config.crash_window
            );
            return out.push(Action::Log(Some(n), message));
        }
        let delay =
            (config.backoff * f64::from(1u32 << (instance.crashes - 1).min(16))).min(config.max_backoff);
        instance.state = State::Waiting(now + delay * jitter);
        out.push(Action::Log(Some(n), format!("exited; restart in {:.1} s", delay * jitter)));
    }

    fn start_roll(&mut self, to: Release, remaining: Vec<usize>, is_undo: bool) {
        let before = self
            .instances
            .iter()
            .fold(Health::default(), |sum, instance| sum.plus(instance.health.since(instance.baseline)));
        self.instances.iter_mut().for_each(|instance| instance.baseline = instance.health);
        self.roll = Some(Roll { to, remaining, batch: Vec::new(), observed_until: None, before, is_undo });
    }

    /// Carries out everything that is due, and sets a timer for the next deadline.
    fn advance(&mut self, now: f64, out: &mut Vec<Action>) {
        let config = self.config;
        let mut next = f64::INFINITY;
        for n in 0..self.instances.len() {
            let instance = &mut self.instances[n];
            match instance.state {
                State::Waiting(at) if now >= at => {
                    (instance.state, instance.started_at) = (State::Starting(now), now);
                    out.push(Action::Start(n, instance.release));
                    next = next.min(now + config.ready_timeout);
                }
                State::Waiting(at) => next = next.min(at),
                State::Starting(since) if now >= since + config.ready_timeout => {
                    // The exit is reported by the driver, and counts as a crash.
                    out.push(Action::Log(Some(n), format!("not ready within {} s", config.ready_timeout)));
                    out.push(Action::Kill(n));
                    instance.state = State::Starting(f64::INFINITY);
                }
                State::Starting(since) => next = next.min(since + config.ready_timeout),
                State::Stopping(since) if now >= since + config.stop_timeout => {
                    out.push(Action::Kill(n));
                    instance.state = State::Stopping(f64::INFINITY);
                }
                State::Stopping(since) => next = next.min(since + config.stop_timeout),
                State::Ready(_) | State::Broken | State::Stopped => {}
            }
        }
        self.advance_roll(now, &mut next, out);
        if next.is_finite() {
            out.push(Action::Timer(next));
        }
    }

    /// Advances a rolling update.
    fn advance_roll(&mut self, now: f64, next: &mut f64, out: &mut Vec<Action>) {
        let Some(mut roll) = self.roll.take() else { return };
        if let Some(why) = self.find_harm(&roll) {
            let updated: Vec<usize> =
                (0..self.instances.len()).filter(|n| self.instances[*n].release == roll.to).collect();
            out.push(Action::Log(
                None,
                format!("the rolling update is stopped and undone in {} instances: {why}", updated.len()),
            ));
            for n in &updated {
                // An instance that the new release broke is started again from the old one.
                let instance = &mut self.instances[*n];
                if instance.state == State::Broken {
                    (instance.state, instance.crashes) = (State::Stopped, 0);
                }
            }
            self.start_roll(Release::Old, updated, true);
            return self.advance_roll(now, next, out);
        }
        let ready = roll.batch.iter().all(|n| matches!(self.instances[*n].state, State::Ready(_)));
        if !roll.batch.is_empty() && ready {
            let until = *roll.observed_until.get_or_insert(now + self.config.batch_observation);
            if now < until {
                *next = next.min(until);
                self.roll = Some(roll);
                return;
            }
            roll.batch.clear();
        }
        if roll.batch.is_empty() {
            if roll.remaining.is_empty() {
                if !roll.is_undo {
                    // The new release is in force now, and is the old one of the next update.
                    self.instances.iter_mut().for_each(|instance| instance.release = Release::Old);
                }
                out.push(Action::Log(
                    None,
                    if roll.is_undo { "the rolling update is undone" } else { "rolled out" }.into(),
                ));
                return out.push(Action::Rolled(roll.to));
            }
            let size = self.config.batch.clamp(1, roll.remaining.len());
            roll.batch = roll.remaining.drain(..size).collect();
            roll.observed_until = None;
            for n in roll.batch.clone() {
                let instance = &mut self.instances[n];
                (instance.release, instance.replaced) = (roll.to, true);
                match instance.state {
                    State::Starting(_) | State::Ready(_) => self.stop(now, n, out),
                    // The instance is not running: it is started from the new release at once.
                    State::Stopped | State::Broken | State::Waiting(_) => {
                        (instance.state, instance.replaced, instance.crashes) =
                            (State::Waiting(now), false, 0);
                        *next = next.min(now);
                    }
                    State::Stopping(_) => {}
                }
            }
        }
        self.roll = Some(roll);
    }

    /// Returns the reason for undoing a rolling update, if there is one. An undo itself is never undone.
    fn find_harm(&self, roll: &Roll) -> Option<String> {
        if roll.is_undo || roll.batch.is_empty() {
            return None;
        }
        if let Some(n) = roll.batch.iter().find(|n| self.instances[**n].crashes > 0) {
            return Some(format!("instance {n} crashed or was not ready in time"));
        }
        let after = roll.batch.iter().filter(|n| matches!(self.instances[**n].state, State::Ready(_)));
        let after = after.fold(Health::default(), |sum, n| sum.plus(self.instances[*n].health));
        let (before, after) = (roll.before.unserved_share()?, after.unserved_share()?);
        (after > before + MAX_UNSERVED_INCREASE).then(|| {
            format!(
                "{:.0}% of the batch's answers are refusals or failures, {:.0}% were before",
                after * 100.0,
                before * 100.0
            )
        })
    }
}
