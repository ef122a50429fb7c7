//! The runs: what is varied in each, and what is read off the process.

mod clients;
mod configuration;
mod databases;
mod list;
mod statements;

use crate::report::Report;
use crate::stand_in::{DatabaseServers, Discovery};
use crate::{Guard, MeasureError, Platform, Pooler, Ports};
use measure::Sample;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::{Duration, Instant};

/// Databases of a group: a primary and three replicas.
const GROUP_SIZE: usize = 4;
/// Databases at the target size.
const DATABASES: usize = 1_600;
/// The same in a quick run.
const QUICK_DATABASES: usize = 200;
/// How long a process is left alone before it is looked at.
const SETTLE: Duration = Duration::from_millis(300);
/// How long an idle process is watched.
const WATCH: Duration = Duration::from_millis(700);
/// How long what was told or asked may take to arrive.
const PATIENCE: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(5);

/// A run, by its name on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// Client connections at rest.
    IdleClients,
    /// Client connections whose statements wait for a database.
    BusyClients,
    /// Statements a second.
    Statements,
    /// Statements at one rate before lists of several lengths.
    StatementsByList,
    /// Databases in the list, nothing asked.
    Databases,
    /// Connections to databases at rest.
    Connections,
    /// Probes a second beside one rate of statements.
    Probes,
    /// Whole lists and changes of the list.
    List,
    /// Changes of configuration.
    Configuration,
}

impl Run {
    /// All of them, in the order in which they are made.
    pub const ALL: [Run; 9] = [
        Run::IdleClients,
        Run::BusyClients,
        Run::Statements,
        Run::StatementsByList,
        Run::Databases,
        Run::Connections,
        Run::Probes,
        Run::List,
        Run::Configuration,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Run::IdleClients => "idle-clients",
            Run::BusyClients => "busy-clients",
            Run::Statements => "statements",
            Run::StatementsByList => "statements-by-list",
            Run::Databases => "databases",
            Run::Connections => "connections",
            Run::Probes => "probes",
            Run::List => "list",
            Run::Configuration => "configuration",
        }
    }

    /// Makes it, repeat by repeat; what is found goes into the report point by point.
    pub fn execute(self, bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
        for _ in 0..bench.repeats {
            match self {
                Run::IdleClients => clients::idle(bench, report)?,
                Run::BusyClients => clients::busy(bench, report)?,
                Run::Statements => statements::by_rate(bench, report)?,
                Run::StatementsByList => statements::by_list(bench, report)?,
                Run::Databases => databases::listed(bench, report)?,
                Run::Connections => databases::connections(bench, report)?,
                Run::Probes => statements::probes(bench, report)?,
                Run::List => list::whole(bench, report).and_then(|()| list::changes(bench, report))?,
                Run::Configuration => configuration::changes(bench, report)?,
            }
        }
        Ok(())
    }
}

impl FromStr for Run {
    type Err = String;

    fn from_str(name: &str) -> Result<Run, String> {
        let known = Run::ALL.iter().copied().find(|run| run.name() == name);
        let names: Vec<&str> = Run::ALL.iter().map(|run| run.name()).collect();
        known.ok_or_else(|| format!("'{name}' is no run; accepted: {}", names.join(", ")))
    }
}

/// What all runs need.
pub struct Bench {
    pub program: PathBuf,
    pub guard: Guard,
    pub ports: Ports,
    pub random: fastrand::Rng,
    /// How often each run is made, with a new process each time.
    pub repeats: usize,
    /// Two small sizes in place of all: shows that the runs work, and measures nothing of use.
    pub quick: bool,
}

/// One pooler with the stand-ins around it.
struct Scene {
    pooler: Pooler,
    databases: DatabaseServers,
    /// Kept so that the pooler has a list to follow.
    discovery: Discovery,
}

impl Bench {
    /// The sizes of a run, or the first two of them.
    fn sizes<'a>(&self, all: &'a [usize]) -> &'a [usize] {
        if self.quick {
            return &all[..2];
        }
        all
    }

    /// The same in an order that is drawn, so that a drift of the machine does not pass for a slope.
    fn shuffled(&mut self, all: &[usize]) -> Vec<usize> {
        let mut sizes = self.sizes(all).to_vec();
        self.random.shuffle(&mut sizes);
        sizes
    }

    /// How many databases the runs have that do not vary them.
    fn usual_databases(&self) -> usize {
        if self.quick {
            return QUICK_DATABASES;
        }
        DATABASES
    }

    /// Starts a pooler before so many databases in groups of this size.
    fn scene(&mut self, databases: usize, group_size: usize) -> Result<Scene, MeasureError> {
        self.scene_with(databases, group_size, |_| {}, None)
    }

    /// The same with changes to the platform's configuration, and an operator's file where there is one.
    fn scene_with(
        &mut self,
        databases: usize,
        group_size: usize,
        change: impl FnOnce(&mut Platform),
        operator: Option<&str>,
    ) -> Result<Scene, MeasureError> {
        self.guard.check(&[])?;
        let servers = DatabaseServers::start(&mut self.ports, databases, group_size)?;
        let discovery = Discovery::start(&mut self.ports, servers.databases.list(1).to_string())?;
        let (listen, seed) = (self.ports.free()?, self.random.u64(..));
        let mut platform = Platform::new(listen, discovery.address, servers.databases.clone(), seed);
        change(&mut platform);
        let pooler = match operator {
            None => Pooler::start(&self.program, &platform)?,
            Some(operator) => Pooler::start_with_operator(&self.program, &platform, operator)?,
        };
        until("discovery's list", || discovery.request_count() > 0)?;
        std::thread::sleep(SETTLE);
        self.guard.check(&[pooler.process])?;
        Ok(Scene { pooler, databases: servers, discovery })
    }
}

impl Scene {
    /// Watches the process for a while; the sample at the end and the share of a core that was used.
    fn watch(&self, time: Duration) -> Result<(Sample, f64), MeasureError> {
        let before = self.pooler.sample()?;
        std::thread::sleep(time);
        let after = self.pooler.sample()?;
        Ok((after, after.core_share_since(&before)))
    }
}

/// Waits until something is so.
fn until(what: &'static str, mut so: impl FnMut() -> bool) -> Result<(), MeasureError> {
    let begun = Instant::now();
    while !so() {
        if begun.elapsed() > PATIENCE {
            return Err(MeasureError::NoAnswer { what });
        }
        std::thread::sleep(LOOK);
    }
    Ok(())
}
