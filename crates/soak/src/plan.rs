//! What a seed stands for: the settings, the fleet and the faults of a run, all drawn from it.

use fastrand::Rng;
use serde_json::{json, Value};

/// What a class does when it is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    KeyedInGroup,
    KeyedEverywhere,
    Never,
}

/// What a class has to see.
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

/// What a machine does wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// Takes requests and answers none.
    Hangs,
    Errors,
    Full,
    /// Ends the connection in the middle of a row.
    CutsRows,
    /// Resets the connection once a request is there.
    Resets,
    /// Says 53300 behind a part of a row: it has run.
    Contradicts,
    /// New connections come up late.
    ConnectsLate,
}

/// What goes wrong, and for how long (seconds).
#[derive(Clone, Debug)]
pub enum Fault {
    /// A machine drains, is gone, and comes back cold.
    Drain {
        machine: usize,
        gone_after: f64,
        back_after: f64,
        stays_up: bool,
    },
    /// A machine dies at once and comes back cold and behind.
    Crash {
        machine: usize,
        lasts: f64,
    },
    Trouble {
        machine: usize,
        trouble: Trouble,
        lasts: f64,
    },
    /// A replica applies nothing.
    Lag {
        machine: usize,
        lasts: f64,
    },
    /// A primary hands over to a replica.
    Failover {
        group: usize,
        gap: f64,
    },
    DiscoveryDown {
        lasts: f64,
    },
    /// Each answer begins so much later.
    DiscoverySlow {
        by: f64,
        lasts: f64,
    },
    WatchesReset,
    WatchesSilent {
        lasts: f64,
    },
    /// A pooler is told to follow its other address.
    Reload {
        pooler: usize,
    },
    /// A process is held up so many times, each time for so long, with so much between.
    Stalls {
        pooler: usize,
        times: usize,
        lasts: f64,
        between: f64,
    },
    /// All processes are held up together, as on cores that others have.
    StallAll {
        lasts: f64,
    },
    /// A planned restart: SIGTERM, SIGKILL as early as it may come, a new process.
    Restart {
        pooler: usize,
    },
    /// SIGKILL without a word, and a new process.
    Kill {
        pooler: usize,
    },
}

/// What the library that makes system calls fail is told.
#[derive(Clone, Debug)]
pub struct Shim {
    /// One system call in so many fails for a moment.
    pub one_in: u32,
    /// Steps of the wall clock: when (seconds after the start) and by how much (seconds).
    pub steps: Vec<(f64, f64)>,
    /// Writes and syncs of files fail from when on and for how long (seconds).
    pub disk: Option<(f64, f64)>,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seconds: f64,
    pub poolers: usize,
    pub groups: usize,
    pub members: usize,
    /// Machines that are listed and never asked: they make lists long.
    pub listed: usize,
    pub clients: usize,
    /// Clients that connect and say nothing.
    pub idle: usize,
    pub classes: Vec<Class>,
    pub copies: bool,
    pub probes: bool,
    pub refuses_when_behind: bool,
    pub carried: bool,
    pub grace: f64,
    /// Time that discovery takes for each call, one after another (seconds).
    pub call_takes: f64,
    /// Whether poolers have an operator's file and a folder of history.
    pub operated: bool,
    pub shim: Option<Shim>,
    pub faults: Vec<(f64, Fault)>,
}

/// The longest time that a process is held up (seconds), as the terms of acceptance have it, and one far over it.
const STALL: f64 = 0.15;
const LONG_STALL: f64 = 0.8;
/// No fault begins in the first and last part of a run (seconds).
const QUIET_START: f64 = 2.0;
const QUIET_END: f64 = 4.0;
/// What a connection to a machine may take (seconds).
pub const CONNECT_TIMEOUT: f64 = 0.25;
/// A machine that starts has this share of its capacity ...
pub const COLD_FROM: f64 = 0.25;
/// ... and all of it after this (seconds).
pub const WARM_UP: f64 = 6.0;
/// It falls over when it is sent more than this multiple of what it can do ...
pub const TIP_MULTIPLE: f64 = 2.5;
/// ... within so long (seconds).
pub const FALL: f64 = 1.0;
/// Memory of a pooler (megabytes).
pub const MEMORY_MB: u64 = 96;

fn between(rng: &mut Rng, least: f64, most: f64) -> f64 {
    least + (most - least) * rng.f64()
}

impl Plan {
    /// The run of a seed.
    pub fn of(seed: u64, seconds: f64) -> Plan {
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
            call_takes: if rng.bool() { between(&mut rng, 0.0, 0.05) } else { 0.002 },
            operated: rng.usize(..3) == 0,
            shim: None,
            faults: Vec::new(),
        };
        if rng.bool() {
            let step = [-3600.0, -5.0, 3.0, 3600.0][rng.usize(..4)];
            let at = between(&mut rng, 2.0, seconds);
            let disk = plan.operated.then(|| (between(&mut rng, 3.0, 6.0), between(&mut rng, 1.0, 4.0)));
            plan.shim = Some(Shim { one_in: rng.u32(100..2_000), steps: vec![(at, step)], disk });
        }
        plan.draw_faults(&mut rng);
        plan
    }

    fn draw_faults(&mut self, rng: &mut Rng) {
        let end = self.seconds - QUIET_END;
        let mut at = QUIET_START;
        // Those that overlap are the point: several begin in each second.
        while at < end {
            at += between(rng, 0.05, 0.7);
            let fault = self.draw_fault(rng);
            self.faults.push((at, fault));
        }
        for _ in 0..rng.usize(1..=3) {
            let at = between(rng, QUIET_START, end);
            self.draw_wave(at, rng);
        }
        let restarts = rng.usize(1..=self.poolers / 3);
        for _ in 0..restarts {
            let pooler = rng.usize(..self.poolers);
            self.faults.push((between(rng, QUIET_START, end), Fault::Restart { pooler }));
        }
        self.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    }

    /// Several machines drain together, while whoever should hear of it is held up, or hears slowly, or has to call anew.
    fn draw_wave(&mut self, at: f64, rng: &mut Rng) {
        if rng.bool() {
            let (by, lasts) = (between(rng, 1.0, 3.9), between(rng, 8.0, 14.0));
            self.faults.push((at - 1.0, Fault::DiscoverySlow { by, lasts }));
        }
        if rng.bool() {
            self.faults.push((at - between(rng, 0.0, 0.5), Fault::WatchesReset));
        }
        if rng.usize(..3) == 0 {
            self.faults.push((at - 0.5, Fault::DiscoveryDown { lasts: between(rng, 0.3, 3.0) }));
        }
        if rng.bool() {
            self.faults.push((at - 0.03, Fault::StallAll { lasts: between(rng, STALL, LONG_STALL) }));
        }
        for group in 0..self.groups {
            let machine = group * self.members + rng.usize(..self.members);
            let (gone_after, back_after) = (between(rng, 3.0, 12.0), between(rng, 0.5, 2.0));
            let drain = Fault::Drain { machine, gone_after, back_after, stays_up: true };
            self.faults.push((at + 0.2 * rng.f64(), drain));
        }
    }

    fn draw_fault(&self, rng: &mut Rng) -> Fault {
        let machine = rng.usize(..self.groups * self.members);
        let pooler = rng.usize(..self.poolers);
        let lasts = between(rng, 0.5, 4.0);
        match rng.usize(..23) {
            0..=4 => Fault::Drain {
                machine,
                gone_after: between(rng, 0.5, 9.0),
                back_after: between(rng, 0.5, 3.0),
                stays_up: rng.bool(),
            },
            5 | 6 => Fault::Crash { machine, lasts },
            7..=9 => {
                let kinds = [
                    Trouble::Hangs,
                    Trouble::Errors,
                    Trouble::Full,
                    Trouble::CutsRows,
                    Trouble::Resets,
                    Trouble::Contradicts,
                    Trouble::ConnectsLate,
                ];
                Fault::Trouble { machine, trouble: kinds[rng.usize(..kinds.len())], lasts }
            }
            10 | 11 => Fault::Lag { machine, lasts: lasts + 2.0 },
            12 | 13 => Fault::Failover { group: rng.usize(..self.groups), gap: between(rng, 0.05, 1.5) },
            14 => Fault::DiscoveryDown { lasts },
            15 => Fault::DiscoverySlow { by: between(rng, 0.3, 3.8), lasts: lasts + 5.0 },
            16 => Fault::WatchesReset,
            17 => Fault::WatchesSilent { lasts },
            18 => Fault::Reload { pooler },
            19 => Fault::Stalls {
                pooler,
                times: rng.usize(1..8),
                lasts: STALL,
                between: between(rng, 0.05, 0.4),
            },
            20 => Fault::Stalls { pooler, times: 1, lasts: between(rng, STALL, LONG_STALL), between: 0.0 },
            21 => Fault::StallAll { lasts: between(rng, 0.05, STALL) },
            _ => Fault::Kill { pooler },
        }
    }

    /// Leaves out processes past so many, and what was to be done to them.
    pub fn limit_poolers(&mut self, most: usize) {
        self.poolers = self.poolers.min(most.max(2));
        let poolers = self.poolers;
        self.faults.retain(|(_, fault)| match fault {
            Fault::Reload { pooler }
            | Fault::Stalls { pooler, .. }
            | Fault::Restart { pooler }
            | Fault::Kill { pooler } => *pooler < poolers,
            _ => true,
        });
    }

    /// How many machines can be asked.
    pub fn machines(&self) -> usize {
        self.groups * self.members
    }

    /// The settings of a pooler.
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
        let words = self.classes.iter().map(|class| match class.consistency {
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
            "invariants": {"askWithin": 10.0, "coldFrom": COLD_FROM, "warmUp": WARM_UP, "tipMultiple": TIP_MULTIPLE,
                "fall": FALL, "drainGrace": self.grace, "answerSlack": 0.02},
            "limits": {"cancel": true, "connectTimeout": CONNECT_TIMEOUT, "keepalive": 10.0, "maxAttempts": 6,
                "maxRetryAfter": 0.5, "probes": self.probes, "retryAfter": true, "mayDuplicate": self.copies},
            "specifics": {"consistency": words.collect::<Vec<_>>(), "stalenessBound": bounds.collect::<Vec<_>>(),
                "whenBehind": if self.refuses_when_behind { "refuse" } else { "silent" }, "wait": 0.0,
                "tellsPosition": true, "listRole": "silent",
                "writeMarks": if self.carried { "carried" } else { "remembered" }},
        })
    }
}

/// Classes of every consistency, each with an effect of its own: some pair that no deployment has is among them.
fn classes(rng: &mut Rng) -> Vec<Class> {
    let consistencies = [
        Consistency::Write,
        Consistency::Fresh,
        Consistency::Session,
        Consistency::Bounded(between(rng, 0.3, 3.0)),
        Consistency::Any,
        Consistency::Bounded(between(rng, 0.2, 1.0)),
    ];
    let effects = [Effect::Safe, Effect::KeyedInGroup, Effect::KeyedEverywhere, Effect::Never];
    let mut class = |consistency| Class {
        effect: effects[rng.usize(..effects.len())],
        consistency,
        deadline: between(rng, 0.4, 2.5),
        window: between(rng, 0.8, 3.0),
    };
    consistencies.into_iter().map(&mut class).collect()
}
