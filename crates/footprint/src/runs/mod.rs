//! The runs: each varies one size and samples the process.

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

/// Members of a group: a primary and three replicas.
const GROUP_SIZE: usize = 4;
/// Number of members at the target size, in runs that do not vary it.
const DEFAULT_MEMBERS: usize = 1_600;
/// Number of members in a quick run.
const QUICK_MEMBERS: usize = 200;
/// Pause before a process is sampled.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// How long an idle process is observed.
const OBSERVATION_TIME: Duration = Duration::from_millis(700);
/// Time limit for an update or a request to arrive.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// Idle client connections.
    IdleClients,
    /// Client connections whose statements wait for a database server.
    BusyClients,
    /// Rates of statements.
    Statements,
    /// Statements at one rate, with lists of several lengths.
    StatementsByList,
    /// Lists of several lengths, without statements.
    Databases,
    /// Idle server connections.
    Connections,
    /// Rates of probes beside one rate of statements.
    Probes,
    /// Full lists and changes of the list.
    List,
    /// Changes of configuration.
    Configuration,
}

impl Run {
    /// All runs, in the order in which they are made.
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

    /// Name on the command line.
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

    /// Makes all repeats of the run and adds their points to the report.
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
                Run::List => list::full_lists(bench, report).and_then(|()| list::changes(bench, report))?,
                Run::Configuration => configuration::changes(bench, report)?,
            }
        }
        Ok(())
    }
}

impl FromStr for Run {
    type Err = String;

    fn from_str(name: &str) -> Result<Run, String> {
        let run = Run::ALL.iter().copied().find(|run| run.name() == name);
        let names: Vec<&str> = Run::ALL.iter().map(|run| run.name()).collect();
        run.ok_or_else(|| format!("'{name}' is no run; accepted: {}", names.join(", ")))
    }
}

/// State and options shared by all runs.
pub struct Bench {
    pub program: PathBuf,
    pub guard: Guard,
    pub ports: Ports,
    pub random: fastrand::Rng,
    /// Number of repeats of each run, each with new processes.
    pub repeats: usize,
    /// Only two small sizes of each run: tests that the runs work, without useful measurements.
    pub quick: bool,
}

/// A pooler and its stand-ins.
struct Setup {
    pooler: Pooler,
    servers: DatabaseServers,
    /// Lives as long as the pooler, so that the pooler has a list to follow.
    discovery: Discovery,
}

impl Bench {
    /// The sizes of a run; in a quick run the first two of them.
    fn sizes<'a>(&self, all: &'a [usize]) -> &'a [usize] {
        if self.quick {
            return &all[..2];
        }
        all
    }

    /// The sizes in random order, so that a drift of the host does not appear as a slope.
    fn shuffled(&mut self, all: &[usize]) -> Vec<usize> {
        let mut sizes = self.sizes(all).to_vec();
        self.random.shuffle(&mut sizes);
        sizes
    }

    /// Number of members in runs that do not vary it.
    fn default_members(&self) -> usize {
        if self.quick {
            return QUICK_MEMBERS;
        }
        DEFAULT_MEMBERS
    }

    /// Starts a pooler with `members` members in groups of the given size.
    fn setup(&mut self, members: usize, group_size: usize) -> Result<Setup, MeasureError> {
        self.setup_with(members, group_size, |_| {}, None)
    }

    /// Like `setup`, with changes to the platform's configuration, and with an operator's file if given.
    fn setup_with(
        &mut self,
        members: usize,
        group_size: usize,
        change: impl FnOnce(&mut Platform),
        operator: Option<&str>,
    ) -> Result<Setup, MeasureError> {
        self.guard.check(&[])?;
        let servers = DatabaseServers::start(&mut self.ports, members, group_size)?;
        let discovery = Discovery::start(&mut self.ports, servers.members.list(1).to_string())?;
        let (listen, seed) = (self.ports.free()?, self.random.u64(..));
        let mut platform = Platform::new(listen, discovery.address, servers.members.clone(), seed);
        change(&mut platform);
        let pooler = match operator {
            None => Pooler::start(&self.program, &platform)?,
            Some(operator) => Pooler::start_with_operator(&self.program, &platform, operator)?,
        };
        wait_until("discovery's list", || discovery.request_count() > 0)?;
        std::thread::sleep(SETTLE_TIME);
        self.guard.check(&[pooler.process])?;
        Ok(Setup { pooler, servers, discovery })
    }
}

impl Setup {
    /// Observes the process for the given time. Returns the sample at the end and the share of a core used.
    fn observe(&self, time: Duration) -> Result<(Sample, f64), MeasureError> {
        let before = self.pooler.sample()?;
        std::thread::sleep(time);
        let after = self.pooler.sample()?;
        Ok((after, after.core_share_since(&before)))
    }
}

/// Waits until the condition is true, for at most [`TIMEOUT`].
fn wait_until(what: &'static str, mut condition: impl FnMut() -> bool) -> Result<(), MeasureError> {
    let started_at = Instant::now();
    while !condition() {
        if started_at.elapsed() > TIMEOUT {
            return Err(MeasureError::NoAnswer { what });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
