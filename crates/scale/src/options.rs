//! Command line options.

use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;

use crate::error::ScaleError;
use crate::kinds::Kind;
use crate::protocol::Coordination;

/// Maximum value of `--most-seconds`.
const MAX_RUN_SECONDS: u64 = 6 * 3_600;
/// Default number of hollow poolers per process where they do not exchange state with each other.
const POOLERS_PER_PROCESS: usize = 100;
/// Default number of hollow poolers per process where they exchange state with each other. A process has one
/// thread; with this number it uses only a part of a core in a fleet of a hundred poolers.
const SHARING_PER_PROCESS: usize = 10;
/// Accepted numbers of control instances; the minimum is one group of the directory.
const CONTROL_INSTANCES: std::ops::RangeInclusive<usize> = 3..=64;
/// Maximum number of fleets of each size.
const MAX_REPEATS: usize = 20;
/// Maximum rate of the modelled load at each pooler (requests per second).
const MAX_REQUESTS_PER_S: f64 = 1_000.0;

/// Runs fleets of hollow poolers on loopback and measures the cost of control per pooler and how soon a
/// change has reached all poolers. Kinds: join (all start at once), hold (nothing happens), change-list,
/// change-primary (with --talk), lose-one, lose-tenth, lose-zone (poolers are killed and restarted),
/// lose-region (cut off and reconnected), lose-control (with --control: one control instance is killed and
/// restarted). Every fleet joins first; the other kinds follow in the given order. The exit status is 0 if
/// the run is complete and safe, 1 if a safety check failed, 2 if it was stopped or an argument is invalid.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    example = "scale join hold change-list --sizes 50,100,200,400 --report docs/scale",
    example = "scale hold --sizes 10,20,40,80 --talk --requests 10 --databases 100",
    example = "scale hold --sizes 50,100,200,400 --talk --control 13 --requests 10 --databases 10"
)]
pub struct Options {
    /// kinds of run, in the order in which they are made
    #[argh(positional)]
    pub kinds: Vec<Kind>,
    /// numbers of poolers, as 50,100,200
    #[argh(option, default = "Sizes(vec![20])")]
    pub sizes: Sizes,
    /// number of poolers of each fleet that are processes of dewferry instead of hollow ones
    #[argh(option, default = "0")]
    pub real: usize,
    /// program of the real poolers and control instances; default: dewferry in the folder of this command
    #[argh(option)]
    pub program: Option<PathBuf>,
    /// database servers on the list
    #[argh(option, default = "1600")]
    pub databases: usize,
    /// database servers per group
    #[argh(option, default = "4")]
    pub group: usize,
    /// poolers exchange state with each other, as with peers.seeds in the operator's file
    #[argh(switch)]
    pub talk: bool,
    /// control instances (processes of dewferry) that record which pooler owns a session, as with
    /// peers.control; together with --talk every size is run both ways
    #[argh(option, default = "0")]
    pub control: usize,
    /// size of the largest fleet that is run with --talk if --control is given as well
    #[argh(option, default = "100")]
    pub talk_most: usize,
    /// requests per second at each hollow pooler, with --talk or --control; four in ten are writes
    #[argh(option, default = "0.0")]
    pub requests: f64,
    /// fleets of each size
    #[argh(option, default = "1")]
    pub repeats: usize,
    /// seconds that hold measures
    #[argh(option, default = "10.0")]
    pub window: f64,
    /// seconds over which the starts of a fleet's poolers are distributed
    #[argh(option, default = "0.0")]
    pub start_within: f64,
    /// seconds that lose-region cuts a region off
    #[argh(option, default = "60.0")]
    pub cut: f64,
    /// changes that change-list and change-primary make
    #[argh(option, default = "10")]
    pub changes: usize,
    /// seconds within which a fleet must converge; if it takes longer, the run reports a fault
    #[argh(option, default = "60.0")]
    pub settle: f64,
    /// hollow poolers per process; default: 100, or 10 with --talk
    #[argh(option)]
    pub per_process: Option<usize>,
    /// continue even if the host is too busy for meaningful times: only counts and safety checks are valid
    /// then
    #[argh(switch)]
    pub counts_only: bool,
    /// time limit of the whole run (seconds)
    #[argh(option, default = "600")]
    pub most_seconds: u64,
    /// seed of all random numbers
    #[argh(option, default = "1")]
    pub seed: u64,
    /// folder for report.md, report.json and the plots; without it the report is only printed
    #[argh(option)]
    pub report: Option<PathBuf>,
    /// print the report as a JSON document
    #[argh(switch)]
    pub json: bool,
}

/// Numbers of poolers, in ascending order without duplicates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sizes(pub Vec<usize>);

impl FromStr for Sizes {
    type Err = String;

    fn from_str(text: &str) -> Result<Sizes, String> {
        let accepted = || format!("'{text}' is not accepted; accepted: numbers from 1 on, as 50,100,200");
        let parsed: Result<Vec<usize>, _> = text.split(',').map(str::parse).collect();
        let mut sizes = parsed.map_err(|_| accepted())?;
        sizes.sort_unstable();
        sizes.dedup();
        (sizes.first() > Some(&0)).then_some(Sizes(sizes)).ok_or_else(accepted)
    }
}

impl Options {
    /// Checks the options' ranges and combinations.
    pub fn check(&self) -> Result<(), ScaleError> {
        let smallest = self.sizes.0.first().copied().unwrap_or_default();
        let invalid = |name, value: &dyn ToString, accepted: String| {
            Err(ScaleError::Option(name, value.to_string(), accepted))
        };
        let is_duration = |value: f64| value.is_finite() && value >= 0.0;
        if self.kinds.is_empty() {
            return invalid("kinds", &"", format!("one or more of {}", Kind::all_names()));
        }
        if self.real > smallest {
            return invalid("--real", &self.real, format!("up to the smallest size, {smallest}"));
        }
        if self.databases == 0 {
            return invalid("--databases", &self.databases, String::from("from 1 on"));
        }
        if !(1..=MAX_REPEATS).contains(&self.repeats) {
            return invalid("--repeats", &self.repeats, format!("1 to {MAX_REPEATS}"));
        }
        if !(1..=MAX_RUN_SECONDS).contains(&self.most_seconds) {
            return invalid("--most-seconds", &self.most_seconds, format!("1 to {MAX_RUN_SECONDS}"));
        }
        if self.per_process == Some(0) {
            return invalid("--per-process", &0, String::from("from 1 on"));
        }
        if !(0.0..=MAX_REQUESTS_PER_S).contains(&self.requests) {
            return invalid("--requests", &self.requests, format!("0 to {MAX_REQUESTS_PER_S}"));
        }
        if self.kinds.contains(&Kind::ChangePrimary) && (!self.talk || self.real == smallest) {
            let accepted = String::from("only together with --talk, and with hollow poolers");
            return invalid("kinds", &Kind::ChangePrimary, accepted);
        }
        if self.group == 0 {
            return invalid("--group", &self.group, String::from("from 1 on"));
        }
        if self.requests > 0.0 && !self.talk && self.control == 0 {
            let accepted = String::from("only together with --talk or --control");
            return invalid("--requests", &self.requests, accepted);
        }
        if self.control != 0 && !CONTROL_INSTANCES.contains(&self.control) {
            let accepted = format!("0, or {} to {}", CONTROL_INSTANCES.start(), CONTROL_INSTANCES.end());
            return invalid("--control", &self.control, accepted);
        }
        if self.kinds.contains(&Kind::LoseControl) && self.control == 0 {
            return invalid("kinds", &Kind::LoseControl, String::from("only together with --control"));
        }
        let durations = [("--window", self.window), ("--settle", self.settle)];
        for (name, value) in durations {
            if !is_duration(value) || value == 0.0 {
                return invalid(name, &value, String::from("seconds above 0"));
            }
        }
        for (name, value) in [("--start-within", self.start_within), ("--cut", self.cut)] {
            if !is_duration(value) {
                return invalid(name, &value, String::from("seconds from 0 on"));
            }
        }
        Ok(())
    }

    /// Returns the kinds of coordination with which a fleet of this size is run, in order.
    pub fn coordinations(&self, size: usize) -> Vec<Coordination> {
        let with_peers = self.talk && (self.control == 0 || size <= self.talk_most);
        let mut coordinations = Vec::new();
        if with_peers {
            coordinations.push(Coordination::Peers);
        }
        if self.control > 0 {
            coordinations.push(Coordination::Directory);
        }
        if coordinations.is_empty() {
            coordinations.push(Coordination::None);
        }
        coordinations
    }

    /// Returns the number of hollow poolers per process.
    pub fn per_process(&self, coordination: Coordination) -> usize {
        self.per_process.unwrap_or(match coordination {
            Coordination::Peers => SHARING_PER_PROCESS,
            Coordination::None | Coordination::Directory => POOLERS_PER_PROCESS,
        })
    }

    /// Returns the number of processes of hollow poolers of a fleet of this size.
    pub fn hollow_processes(&self, size: usize, coordination: Coordination) -> usize {
        (size - self.real).div_ceil(self.per_process(coordination))
    }

    /// Returns the number of control instances of a fleet.
    pub fn control_instances(&self, coordination: Coordination) -> usize {
        if coordination == Coordination::Directory {
            self.control
        } else {
            0
        }
    }
}
