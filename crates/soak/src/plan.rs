//! The plan of a run: settings, fleet and faults, all drawn from a seed. Names of types, fields and variants
//! here are printed with the plan.

use fastrand::Rng;
use flood::{Crowd, Form};
use serde_json::{json, Value};

/// Whether and how far a request of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    KeyedInGroup,
    KeyedEverywhere,
    Never,
}

/// The consistency that a class requires.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Consistency {
    Write,
    Fresh,
    Session,
    Bounded(f64),
    Any,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    pub effect: Effect,
    pub consistency: Consistency,
    pub deadline: f64,
    pub window: f64,
}

/// The fault of a member for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// Accepts requests and answers none.
    Hangs,
    Errors,
    Full,
    /// Closes the connection in the middle of a row.
    CutsRows,
    /// Closes the connection when a request arrives.
    Resets,
    /// Answers 53300 after a row description, so that the request counts as possibly run.
    Contradicts,
    /// New connections are established slowly.
    ConnectsLate,
}

/// A fault. All times are in seconds.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A member drains, is removed from the list, and comes back cold.
    Drain {
        machine: usize,
        gone_after: f64,
        back_after: f64,
        stays_up: bool,
    },
    /// A member stops without a drain and comes back cold and behind.
    Crash {
        machine: usize,
        lasts: f64,
    },
    Trouble {
        machine: usize,
        trouble: Trouble,
        lasts: f64,
    },
    /// A replica stops applying the log.
    Lag {
        machine: usize,
        lasts: f64,
    },
    /// The replicas of a group apply the log at a share of the usual pace, while one in some of the new connections to
    /// them comes up late by `late`.
    SlowReplay {
        group: usize,
        rate: f64,
        lasts: f64,
        one_in: usize,
        late: f64,
    },
    /// A primary is deposed, and a replica becomes primary after `gap`.
    Failover {
        group: usize,
        gap: f64,
    },
    DiscoveryDown {
        lasts: f64,
    },
    /// Each answer of discovery is delayed by `by`.
    DiscoverySlow {
        by: f64,
        lasts: f64,
    },
    WatchesReset,
    WatchesSilent {
        lasts: f64,
    },
    /// A pooler reloads a configuration with the other address of discovery.
    Reload {
        pooler: usize,
    },
    /// A pooler is paused `times` times for `lasts` each, `between` apart.
    Stalls {
        pooler: usize,
        times: usize,
        lasts: f64,
        between: f64,
    },
    /// All poolers are paused together, as on a host whose cores are taken by others.
    StallAll {
        lasts: f64,
    },
    /// A planned restart: SIGTERM, SIGKILL as early as it may follow, a new process.
    Restart {
        pooler: usize,
    },
    /// SIGKILL without SIGTERM, and a new process.
    Kill {
        pooler: usize,
    },
    /// Clients send small or unsound messages at full speed.
    Flood {
        pooler: usize,
        form: Form,
        clients: usize,
        /// Whether they read their answers.
        reads: bool,
        group: usize,
        lasts: f64,
    },
    /// Clients connect, send nothing or half of a message each, and stay.
    Crowd {
        pooler: usize,
        kind: Crowd,
        connections: usize,
        lasts: f64,
    },
    /// Reloads and requests for the counters in quick succession.
    SignalSeries {
        pooler: usize,
        times: usize,
        between: f64,
    },
}

/// Parameters of the preloaded library that makes system calls fail.
#[derive(Clone, Debug)]
pub struct Shim {
    /// One system call in this many fails.
    pub one_in: u32,
    /// Steps of the wall clock: time after the process's start (seconds) and size (seconds).
    pub steps: Vec<(f64, f64)>,
    /// Writes and syncs of files fail from this time after the process's start, for this duration (seconds).
    pub disk: Option<(f64, f64)>,
}

/// The plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seconds: f64,
    pub poolers: usize,
    pub groups: usize,
    /// Members in each group.
    pub members: usize,
    /// Members that are listed but receive no requests, which makes the list long.
    pub listed: usize,
    /// Clients of each pooler.
    pub clients: usize,
    /// Clients that connect and send nothing.
    pub idle: usize,
    pub classes: Vec<Class>,
    /// Whether hedged attempts are allowed.
    pub copies: bool,
    pub probes: bool,
    pub refuses_when_behind: bool,
    /// Whether requests carry the position of the session's last write.
    pub carried: bool,
    /// How long new requests may still go to a draining member (seconds).
    pub grace: f64,
    /// Time that discovery takes for each list request; it handles one at a time (seconds).
    pub call_takes: f64,
    /// Whether poolers have an operator's file and a state folder.
    pub operated: bool,
    pub shim: Option<Shim>,
    pub faults: Vec<(f64, Fault)>,
}

/// The longest pause of a pooler that the acceptance criteria require it to tolerate (seconds).
const ACCEPTED_STALL: f64 = 0.15;
/// A pause far longer than that (seconds).
const LONG_STALL: f64 = 0.8;
/// Faults are drawn for the time between these first and last parts of a run (seconds).
const FAULT_FREE_START: f64 = 2.0;
const FAULT_FREE_END: f64 = 4.0;
/// What flooding clients send.
const FLOOD_FORMS: [Form; 11] = [
    Form::EmptyQueries,
    Form::NewClasses,
    Form::NewTenants,
    Form::Unsupported,
    Form::Malformed,
    Form::NewUsers,
    Form::Cancels,
    Form::ManyFields,
    Form::Mixture,
    Form::EmptyQueries,
    Form::NewClasses,
];
/// Distinguishes the random numbers for floods, so that seeds draw the other faults as they did without them.
const FLOOD_SEED: u64 = 0xf100d;
/// The same for replicas that apply the log slowly. The seeds of known faults draw none.
const SLOW_REPLAY_SEED: u64 = 0x1abb;
/// Connect timeout of a pooler towards a member (seconds).
pub const CONNECT_TIMEOUT: f64 = 0.25;
/// Share of its capacity that a member has when it starts.
pub const COLD_START_CAPACITY: f64 = 0.25;
/// Time after its start at which a member has its full capacity (seconds).
pub const WARM_UP: f64 = 6.0;
/// A member is overloaded by requests above this multiple of its capacity within `OVERLOAD_WINDOW`.
pub const OVERLOAD_FACTOR: f64 = 2.5;
/// The time over which the load of a member counts (seconds).
pub const OVERLOAD_WINDOW: f64 = 1.0;
/// Memory limit of a pooler (megabytes).
pub const POOLER_MEMORY_MB: u64 = 96;

fn uniform(rng: &mut Rng, min: f64, max: f64) -> f64 {
    min + (max - min) * rng.f64()
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn from_seed(seed: u64, seconds: f64) -> Plan {
        let mut rng = Rng::with_seed(seed);
        let poolers = rng.usize(10..=40);
        let long_list = rng.usize(..3) == 0;
        let mut plan = Plan {
            seed,
            seconds,
            poolers,
            groups: rng.usize(3..=6),
            members: rng.usize(3..=5),
            listed: if long_list { rng.usize(1_000..3_200) } else { rng.usize(..100) },
            clients: rng.usize(3..=6),
            idle: if rng.usize(..4) == 0 { rng.usize(100..200) } else { 0 },
            classes: classes(&mut rng),
            copies: rng.bool(),
            probes: rng.usize(..4) != 0,
            refuses_when_behind: rng.bool(),
            carried: rng.bool(),
            grace: if rng.bool() { 0.25 } else { 1.0 },
            call_takes: if rng.bool() { uniform(&mut rng, 0.0, 0.05) } else { 0.002 },
            operated: rng.usize(..3) == 0,
            shim: None,
            faults: Vec::new(),
        };
        if rng.bool() {
            let step = [-3600.0, -5.0, 3.0, 3600.0][rng.usize(..4)];
            let at = uniform(&mut rng, 2.0, seconds);
            let disk = plan.operated.then(|| (uniform(&mut rng, 3.0, 6.0), uniform(&mut rng, 1.0, 4.0)));
            plan.shim = Some(Shim { one_in: rng.u32(100..2_000), steps: vec![(at, step)], disk });
        }
        plan.draw_faults(&mut rng);
        plan.draw_slow_replay();
        plan
    }

    /// Draws groups whose replicas fall behind while connections to them come up late, in a part of the runs.
    fn draw_slow_replay(&mut self) {
        let mut rng = Rng::with_seed(self.seed ^ SLOW_REPLAY_SEED);
        if rng.usize(..3) != 0 {
            return;
        }
        for group in 0..self.groups {
            let at = uniform(&mut rng, FAULT_FREE_START, self.seconds - FAULT_FREE_END);
            let (rate, lasts) = (1.0 / uniform(&mut rng, 4.0, 20.0), uniform(&mut rng, 2.0, 9.0));
            let (one_in, late) = (rng.usize(2..=4), CONNECT_TIMEOUT * uniform(&mut rng, 0.2, 0.9));
            self.faults.push((at, Fault::SlowReplay { group, rate, lasts, one_in, late }));
        }
        self.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    }

    fn draw_faults(&mut self, rng: &mut Rng) {
        let end = self.seconds - FAULT_FREE_END;
        let mut at = FAULT_FREE_START;
        // Faults are meant to overlap: several begin in each second.
        while at < end {
            at += uniform(rng, 0.05, 0.7);
            let fault = self.draw_fault(rng);
            self.faults.push((at, fault));
        }
        for _ in 0..rng.usize(1..=3) {
            let at = uniform(rng, FAULT_FREE_START, end);
            self.draw_drain_wave(at, rng);
        }
        let restarts = rng.usize(1..=self.poolers / 3);
        for _ in 0..restarts {
            let pooler = rng.usize(..self.poolers);
            self.faults.push((uniform(rng, FAULT_FREE_START, end), Fault::Restart { pooler }));
        }
        self.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    }

    /// Draws floods, crowds and series of signals beside the other faults.
    pub fn draw_floods(&mut self) {
        let mut rng = Rng::with_seed(self.seed ^ FLOOD_SEED);
        let end = self.seconds - FAULT_FREE_END;
        for _ in 0..rng.usize(1..=3) {
            let (at, pooler) = (uniform(&mut rng, FAULT_FREE_START, end), rng.usize(..self.poolers));
            let flood = Fault::Flood {
                pooler,
                form: FLOOD_FORMS[rng.usize(..FLOOD_FORMS.len())],
                clients: [1, 6, 8][rng.usize(..3)],
                reads: rng.usize(..4) != 0,
                group: rng.usize(..self.groups),
                lasts: uniform(&mut rng, 3.0, 8.0),
            };
            self.faults.push((at, flood));
            if rng.bool() {
                self.faults.push((at + uniform(&mut rng, 0.5, 2.5), Fault::Restart { pooler }));
            }
        }
        if rng.usize(..3) == 0 {
            let (at, pooler) = (uniform(&mut rng, FAULT_FREE_START, end), rng.usize(..self.poolers));
            let (connections, lasts) = (rng.usize(100..400), uniform(&mut rng, 2.0, 5.0));
            // No random number of its own: seeds draw the other faults as they did before there were kinds.
            let kind = Crowd::ALL[connections % Crowd::ALL.len()];
            self.faults.push((at, Fault::Crowd { pooler, kind, connections, lasts }));
        }
        for _ in 0..rng.usize(0..=2) {
            let (at, pooler) = (uniform(&mut rng, FAULT_FREE_START, end), rng.usize(..self.poolers));
            let (times, between) = (rng.usize(2..=6), uniform(&mut rng, 0.005, 0.3));
            self.faults.push((at, Fault::SignalSeries { pooler, times, between }));
        }
        self.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    }

    /// Draws a drain of one member per group at about the same time, possibly while discovery is slow or
    /// unreachable, watches are reset, or poolers are paused.
    fn draw_drain_wave(&mut self, at: f64, rng: &mut Rng) {
        if rng.bool() {
            let (by, lasts) = (uniform(rng, 1.0, 3.9), uniform(rng, 8.0, 14.0));
            self.faults.push((at - 1.0, Fault::DiscoverySlow { by, lasts }));
        }
        if rng.bool() {
            self.faults.push((at - uniform(rng, 0.0, 0.5), Fault::WatchesReset));
        }
        if rng.usize(..3) == 0 {
            self.faults.push((at - 0.5, Fault::DiscoveryDown { lasts: uniform(rng, 0.3, 3.0) }));
        }
        if rng.bool() {
            self.faults
                .push((at - 0.03, Fault::StallAll { lasts: uniform(rng, ACCEPTED_STALL, LONG_STALL) }));
        }
        for group in 0..self.groups {
            let machine = group * self.members + rng.usize(..self.members);
            let (gone_after, back_after) = (uniform(rng, 3.0, 12.0), uniform(rng, 0.5, 2.0));
            let drain = Fault::Drain { machine, gone_after, back_after, stays_up: true };
            self.faults.push((at + 0.2 * rng.f64(), drain));
        }
    }

    fn draw_fault(&self, rng: &mut Rng) -> Fault {
        let machine = rng.usize(..self.groups * self.members);
        let pooler = rng.usize(..self.poolers);
        let lasts = uniform(rng, 0.5, 4.0);
        match rng.usize(..23) {
            0..=4 => Fault::Drain {
                machine,
                gone_after: uniform(rng, 0.5, 9.0),
                back_after: uniform(rng, 0.5, 3.0),
                stays_up: rng.bool(),
            },
            5 | 6 => Fault::Crash { machine, lasts },
            7..=9 => {
                let troubles = [
                    Trouble::Hangs,
                    Trouble::Errors,
                    Trouble::Full,
                    Trouble::CutsRows,
                    Trouble::Resets,
                    Trouble::Contradicts,
                    Trouble::ConnectsLate,
                ];
                Fault::Trouble { machine, trouble: troubles[rng.usize(..troubles.len())], lasts }
            }
            10 | 11 => Fault::Lag { machine, lasts: lasts + 2.0 },
            12 | 13 => Fault::Failover { group: rng.usize(..self.groups), gap: uniform(rng, 0.05, 1.5) },
            14 => Fault::DiscoveryDown { lasts },
            15 => Fault::DiscoverySlow { by: uniform(rng, 0.3, 3.8), lasts: lasts + 5.0 },
            16 => Fault::WatchesReset,
            17 => Fault::WatchesSilent { lasts },
            18 => Fault::Reload { pooler },
            19 => Fault::Stalls {
                pooler,
                times: rng.usize(1..8),
                lasts: ACCEPTED_STALL,
                between: uniform(rng, 0.05, 0.4),
            },
            20 => Fault::Stalls {
                pooler,
                times: 1,
                lasts: uniform(rng, ACCEPTED_STALL, LONG_STALL),
                between: 0.0,
            },
            21 => Fault::StallAll { lasts: uniform(rng, 0.05, ACCEPTED_STALL) },
            _ => Fault::Kill { pooler },
        }
    }

    /// Limits the number of poolers and removes the faults of the others.
    pub fn limit_poolers(&mut self, max_poolers: usize) {
        self.poolers = self.poolers.min(max_poolers.max(2));
        let poolers = self.poolers;
        self.faults.retain(|(_, fault)| match fault {
            Fault::Reload { pooler }
            | Fault::Stalls { pooler, .. }
            | Fault::Restart { pooler }
            | Fault::Flood { pooler, .. }
            | Fault::Crowd { pooler, .. }
            | Fault::SignalSeries { pooler, .. }
            | Fault::Kill { pooler } => *pooler < poolers,
            _ => true,
        });
    }

    /// Returns the number of members that receive requests.
    pub fn member_count(&self) -> usize {
        self.groups * self.members
    }

    /// Returns a pooler's settings.
    pub fn settings(&self, pooler: usize) -> Value {
        let classes = self.classes.iter().enumerate().map(|(n, class)| {
            let (effect, group) = match class.effect {
                Effect::Safe => ("read_like", "all"),
                Effect::KeyedInGroup => ("idempotency_key", "cell"),
                Effect::KeyedEverywhere => ("idempotency_key", "all"),
                Effect::Never => ("non_idempotent", "all"),
            };
            json!({"name": format!("class-{n}"), "aim": class.deadline * 0.4, "deadline": class.deadline,
                "effect": effect, "group": group, "dedupWindow": class.window, "lateWorth": 0.3, "value": 1.0})
        });
        let consistencies = self.classes.iter().map(|class| match class.consistency {
            Consistency::Write => "write",
            Consistency::Fresh => "fresh",
            Consistency::Session => "session",
            Consistency::Bounded(_) => "bounded",
            Consistency::Any => "any",
        });
        let bounds = self.classes.iter().map(|class| match class.consistency {
            Consistency::Bounded(bound) => bound,
            _ => 0.0,
        });
        json!({
            "classes": classes.collect::<Vec<_>>(),
            "customers": [{"name": "acme", "quotaPerS": 100000.0, "share": 1.0}],
            "zones": ["a", "b"], "zone": pooler % 2, "fleetSize": self.poolers, "myNumber": pooler,
            "tick": 0.005, "registryMode": "subscribe", "overShareWorth": 0.1, "domainType": "replicas",
            "invariants": {"askWithin": 10.0, "coldFrom": COLD_START_CAPACITY, "warmUp": WARM_UP,
                "tipMultiple": OVERLOAD_FACTOR, "fall": OVERLOAD_WINDOW, "drainGrace": self.grace, "answerSlack": 0.02},
            "limits": {"cancel": true, "connectTimeout": CONNECT_TIMEOUT, "keepalive": 10.0, "maxAttempts": 6,
                "maxRetryAfter": 0.5, "probes": self.probes, "retryAfter": true, "mayDuplicate": self.copies},
            "specifics": {"consistency": consistencies.collect::<Vec<_>>(),
                "stalenessBound": bounds.collect::<Vec<_>>(),
                "whenBehind": if self.refuses_when_behind { "refuse" } else { "silent" }, "wait": 0.0,
                "tellsPosition": true, "listRole": "silent",
                "writeMarks": if self.carried { "carried" } else { "remembered" }},
        })
    }
}

/// Draws classes of every consistency, each with a random effect. This includes combinations that no
/// deployment has.
fn classes(rng: &mut Rng) -> Vec<Class> {
    let consistencies = [
        Consistency::Write,
        Consistency::Fresh,
        Consistency::Session,
        Consistency::Bounded(uniform(rng, 0.3, 3.0)),
        Consistency::Any,
        Consistency::Bounded(uniform(rng, 0.2, 1.0)),
    ];
    let effects = [Effect::Safe, Effect::KeyedInGroup, Effect::KeyedEverywhere, Effect::Never];
    let mut class = |consistency| Class {
        effect: effects[rng.usize(..effects.len())],
        consistency,
        deadline: uniform(rng, 0.4, 2.5),
        window: uniform(rng, 0.8, 3.0),
    };
    consistencies.into_iter().map(&mut class).collect()
}
