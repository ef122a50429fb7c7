//! The supervisor.

/// Health counts as worse where the share of bad answers rises by more than this ...
const WORSE_BY: f64 = 0.05;
/// ... over at least so many answers before and after.
const LEAST: u64 = 30;

/// How instances are looked after; times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SupervisorConfig {
    /// How many there are.
    pub instances: usize,
    /// Over how long the first starts are spread.
    pub spread: f64,
    /// The wait before a first restart; doubles with each crash in a row, up to the most.
    pub backoff: f64,
    /// See above.
    pub max_backoff: f64,
    /// An end within so long after the start is one more crash in a row.
    pub crash_window: f64,
    /// So many crashes in a row, and the instance is left alone.
    pub max_crashes: u32,
    /// How long an instance may take until it is ready.
    pub ready_timeout: f64,
    /// How long one may take to end before it is killed.
    pub stop_timeout: f64,
    /// How many are replaced at a time.
    pub batch: usize,
    /// For how long a batch is looked at before the next.
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

/// Of which files and which program an instance is started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Release {
    /// Those that held before the present roll.
    #[default]
    Old,
    /// Those that are being rolled out.
    New,
}

/// Where an instance stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Started at this time.
    Waiting(f64),
    /// Started, and not ready yet, since then.
    Starting(f64),
    /// It serves, since then.
    Ready(f64),
    /// Told to end, since then.
    Stopping(f64),
    /// Left alone: it has crashed too often in a row.
    Broken,
    /// Ended, as it was told.
    Stopped,
}

impl State {
    /// Its name, for people.
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

/// Answers of an instance since it was started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// All final answers.
    pub answers: u64,
    /// Refusals and failures among them.
    pub not_served: u64,
}

impl Health {
    fn since(self, earlier: Health) -> Health {
        // A new process counts from nothing.
        if self.answers < earlier.answers {
            return self;
        }
        Health {
            answers: self.answers - earlier.answers,
            not_served: self.not_served.saturating_sub(earlier.not_served),
        }
    }

    fn and(self, other: Health) -> Health {
        Health { answers: self.answers + other.answers, not_served: self.not_served + other.not_served }
    }

    fn share(self) -> Option<f64> {
        (self.answers >= LEAST).then(|| self.not_served as f64 / self.answers as f64)
    }
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An instance runs already: this supervisor was not the one that started it.
    AlreadyRunning(usize),
    /// It is ready.
    Ready(usize),
    /// Its process has ended, or could not be started.
    Exited(usize),
    /// What it has answered so far.
    Health(usize, Health),
    /// Replace all by the new form, a batch at a time.
    Roll,
    /// An instance that was left alone shall be tried again.
    Retry(usize),
    /// End all.
    Stop,
    /// Time passes.
    Time,
}

/// What the driver does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start it.
    Start(usize, Release),
    /// Tell it to end.
    Stop(usize),
    /// Kill it.
    Kill(usize),
    /// Come again then.
    Timer(f64),
    /// Tell people: an instance, if it is about one, and words.
    Log(Option<usize>, String),
    /// The roll is over: all instances are of this form, which holds from now on.
    Rolled(Release),
}

#[derive(Clone, Debug)]
struct Instance {
    state: State,
    form: Release,
    started: f64,
    crashes: u32,
    /// It ends because it is to be replaced, not by itself.
    replaced: bool,
    health: Health,
    /// What it had answered when it was last looked at, and what came between that look and the one before.
    mark: Health,
}

#[derive(Clone, Debug)]
struct Roll {
    to: Release,
    /// Instances whose turn has not come.
    left: Vec<usize>,
    batch: Vec<usize>,
    /// When the batch has been looked at for long enough; none while it is not ready.
    settled: Option<f64>,
    /// What all answered before the roll.
    before: Health,
    undoes: bool,
}

/// The supervisor.
#[derive(Debug)]
pub struct Supervisor {
    terms: SupervisorConfig,
    all: Vec<Instance>,
    roll: Option<Roll>,
    ending: bool,
    rng: fastrand::Rng,
}

impl Supervisor {
    /// Looks after instances from now on; those that run already are told by [`Input::AlreadyRunning`] before the first
    /// [`Input::Time`].
    pub fn new(terms: SupervisorConfig, seed: u64, now: f64) -> Supervisor {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Each in its share of the spread, at a place drawn in it: no two beats fall together, and none is empty.
        let share = terms.spread / terms.instances.max(1) as f64;
        let all = (0..terms.instances)
            .map(|n| Instance {
                state: State::Waiting(now + share * (n as f64 + rng.f64())),
                form: Release::Old,
                started: now,
                crashes: 0,
                replaced: false,
                health: Health::default(),
                mark: Health::default(),
            })
            .collect();
        Supervisor { terms, all, roll: None, ending: false, rng }
    }

    /// Where each stands, and of which form it is.
    pub fn states(&self) -> impl Iterator<Item = (State, Release, u32)> + '_ {
        self.all.iter().map(|instance| (instance.state, instance.form, instance.crashes))
    }

    /// Whether a roll is under way.
    pub fn is_rolling(&self) -> bool {
        self.roll.is_some()
    }

    /// Whether all have ended, as they were told.
    pub fn has_stopped(&self) -> bool {
        let over = |one: &Instance| matches!(one.state, State::Stopped | State::Broken);
        self.ending && self.all.iter().all(over)
    }

    /// Takes in what happens.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::AlreadyRunning(n) => {
                if let Some(one) = self.all.get_mut(n) {
                    (one.state, one.started) = (State::Ready(now), now);
                }
            }
            Input::Ready(n) => {
                if let Some(one) = self.all.get_mut(n).filter(|one| matches!(one.state, State::Starting(_))) {
                    one.state = State::Ready(now);
                }
            }
            Input::Exited(n) => self.ended(now, n, out),
            Input::Health(n, health) => {
                if let Some(one) = self.all.get_mut(n) {
                    one.health = health;
                }
            }
            Input::Roll if self.ending || self.roll.is_some() => {
                out.push(Action::Log(None, "no roll is begun: one is under way, or all are to end".into()));
            }
            Input::Roll => self.begin(Release::New, (0..self.all.len()).collect(), false),
            Input::Retry(n) => {
                if let Some(one) = self.all.get_mut(n).filter(|one| one.state == State::Broken) {
                    (one.state, one.crashes) = (State::Waiting(now), 0);
                }
            }
            Input::Stop => {
                (self.ending, self.roll) = (true, None);
                for n in 0..self.all.len() {
                    match self.all[n].state {
                        State::Starting(_) | State::Ready(_) => self.stop(now, n, out),
                        State::Waiting(_) => self.all[n].state = State::Stopped,
                        _ => {}
                    }
                }
            }
            Input::Time => {}
        }
        self.look(now, out);
    }

    fn stop(&mut self, now: f64, n: usize, out: &mut Vec<Action>) {
        self.all[n].state = State::Stopping(now);
        out.push(Action::Stop(n));
    }

    fn ended(&mut self, now: f64, n: usize, out: &mut Vec<Action>) {
        let terms = self.terms;
        let jitter = 0.5 + 0.5 * self.rng.f64();
        let ending = self.ending;
        let Some(one) = self.all.get_mut(n) else { return };
        (one.health, one.mark) = (Health::default(), Health::default());
        if let State::Stopping(_) = one.state {
            one.state = if ending || !one.replaced { State::Stopped } else { State::Waiting(now) };
            one.replaced = false;
            return;
        }
        if ending {
            one.state = State::Stopped;
            return;
        }
        // One that ran for long enough begins to count anew.
        one.crashes = if now - one.started < terms.crash_window { one.crashes + 1 } else { 1 };
        if one.crashes >= terms.max_crashes {
            one.state = State::Broken;
            let words =
                format!("ended {} times in a row within {} s: left alone", one.crashes, terms.crash_window);
            return out.push(Action::Log(Some(n), words));
        }
        let wait = (terms.backoff * f64::from(1u32 << (one.crashes - 1).min(16))).min(terms.max_backoff);
        one.state = State::Waiting(now + wait * jitter);
        out.push(Action::Log(Some(n), format!("ended; started again in {:.1} s", wait * jitter)));
    }

    fn begin(&mut self, to: Release, left: Vec<usize>, undoes: bool) {
        let before = self.all.iter().fold(Health::default(), |sum, one| sum.and(one.health.since(one.mark)));
        self.all.iter_mut().for_each(|one| one.mark = one.health);
        self.roll = Some(Roll { to, left, batch: Vec::new(), settled: None, before, undoes });
    }

    /// Does what is due.
    fn look(&mut self, now: f64, out: &mut Vec<Action>) {
        let terms = self.terms;
        let mut next = f64::INFINITY;
        for n in 0..self.all.len() {
            let one = &mut self.all[n];
            match one.state {
                State::Waiting(at) if now >= at => {
                    (one.state, one.started) = (State::Starting(now), now);
                    out.push(Action::Start(n, one.form));
                    next = next.min(now + terms.ready_timeout);
                }
                State::Waiting(at) => next = next.min(at),
                State::Starting(since) if now >= since + terms.ready_timeout => {
                    // Its end is told, and counts as a crash.
                    out.push(Action::Log(Some(n), format!("not ready within {} s", terms.ready_timeout)));
                    out.push(Action::Kill(n));
                    one.state = State::Starting(f64::INFINITY);
                }
                State::Starting(since) => next = next.min(since + terms.ready_timeout),
                State::Stopping(since) if now >= since + terms.stop_timeout => {
                    out.push(Action::Kill(n));
                    one.state = State::Stopping(f64::INFINITY);
                }
                State::Stopping(since) => next = next.min(since + terms.stop_timeout),
                State::Ready(_) | State::Broken | State::Stopped => {}
            }
        }
        self.roll_on(now, &mut next, out);
        if next.is_finite() {
            out.push(Action::Timer(next));
        }
    }

    /// Goes on with a roll.
    fn roll_on(&mut self, now: f64, next: &mut f64, out: &mut Vec<Action>) {
        let Some(mut roll) = self.roll.take() else { return };
        if let Some(why) = self.harm(&roll) {
            let done: Vec<usize> = (0..self.all.len()).filter(|n| self.all[*n].form == roll.to).collect();
            out.push(Action::Log(
                None,
                format!("the roll is stopped and undone in {} instances: {why}", done.len()),
            ));
            for n in &done {
                // What was broken by the new form is tried again with the old.
                let one = &mut self.all[*n];
                if one.state == State::Broken {
                    (one.state, one.crashes) = (State::Stopped, 0);
                }
            }
            self.begin(Release::Old, done, true);
            return self.roll_on(now, next, out);
        }
        let ready = roll.batch.iter().all(|n| matches!(self.all[*n].state, State::Ready(_)));
        if !roll.batch.is_empty() && ready {
            let until = *roll.settled.get_or_insert(now + self.terms.batch_observation);
            if now < until {
                *next = next.min(until);
                self.roll = Some(roll);
                return;
            }
            roll.batch.clear();
        }
        if roll.batch.is_empty() {
            if roll.left.is_empty() {
                if !roll.undoes {
                    // From here on it is what holds.
                    self.all.iter_mut().for_each(|one| one.form = Release::Old);
                }
                out.push(Action::Log(None, if roll.undoes { "undone" } else { "rolled out" }.into()));
                return out.push(Action::Rolled(roll.to));
            }
            let size = self.terms.batch.clamp(1, roll.left.len());
            roll.batch = roll.left.drain(..size).collect();
            roll.settled = None;
            for n in roll.batch.clone() {
                let one = &mut self.all[n];
                (one.form, one.replaced) = (roll.to, true);
                match one.state {
                    State::Starting(_) | State::Ready(_) => self.stop(now, n, out),
                    // It has ended already, or was never there: started in its new form at once.
                    State::Stopped | State::Broken | State::Waiting(_) => {
                        (one.state, one.replaced, one.crashes) = (State::Waiting(now), false, 0);
                        *next = next.min(now);
                    }
                    State::Stopping(_) => {}
                }
            }
        }
        self.roll = Some(roll);
    }

    /// What harm a roll does, if it does any. An undo is not held up by what it undoes.
    fn harm(&self, roll: &Roll) -> Option<String> {
        if roll.undoes || roll.batch.is_empty() {
            return None;
        }
        if let Some(n) = roll.batch.iter().find(|n| self.all[**n].crashes > 0) {
            return Some(format!("instance {n} does not come up"));
        }
        let after = roll.batch.iter().filter(|n| matches!(self.all[**n].state, State::Ready(_)));
        let after = after.fold(Health::default(), |sum, n| sum.and(self.all[*n].health));
        let (before, after) = (roll.before.share()?, after.share()?);
        (after > before + WORSE_BY).then(|| {
            format!(
                "{:.0}% of the batch's answers are bad, {:.0}% were before",
                after * 100.0,
                before * 100.0
            )
        })
    }
}
