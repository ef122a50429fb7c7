//! A fleet of one size: the stand-in for discovery, the control instances, the processes of hollow poolers
//! and the real poolers. Its processes are killed when it is dropped.

use std::time::Duration;

use measure::{Process, Sample as ProcessSample};

use crate::clock::Clock;
use crate::error::ScaleError;
use crate::layout::Network;
use crate::limits::Limits;
use crate::options::Options;
use crate::process::Worker;
use crate::protocol::{
    Assignment, Command, Coordination, DiscoveryConfig, HollowFleet, LoadCounts, Reply, State,
};
use crate::real::{ControlInstance, Programs, RealPooler, RealPoolerConfig, RealStatus};
use crate::traffic::Traffic;

/// Maximum number of poolers that are configured as seeds.
const MAX_SEEDS: usize = 3;
/// Interval between two checks whether a fleet has converged.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What all fleets of a run share.
pub struct RunContext {
    /// The command line options.
    pub options: Options,
    /// The limits on resources.
    pub limits: Limits,
    /// The loopback network.
    pub network: Network,
    /// Paths of the programs.
    pub programs: Programs,
    /// The clock.
    pub clock: Clock,
}

struct HollowProcess {
    worker: Worker,
    /// Anonymous memory (heap and stacks) before the first pooler starts (bytes).
    base_memory: u64,
}

/// A running fleet.
pub struct Fleet<'a> {
    /// What all fleets of the run share.
    pub run: &'a RunContext,
    /// Number of poolers, hollow and real.
    pub size: usize,
    /// How the poolers learn about writes made through other poolers.
    pub coordination: Coordination,
    discovery: Worker,
    /// By number; `None` if the instance does not run.
    control: Vec<Option<ControlInstance>>,
    hollow: Vec<HollowProcess>,
    real: Vec<RealPooler>,
}

/// Counters of a fleet at one point in time.
pub struct FleetSample {
    at: f64,
    hollow: Vec<ProcessSample>,
    control: Vec<ProcessSample>,
    real: Vec<ProcessSample>,
    real_status: Vec<Option<RealStatus>>,
    traffic: Traffic,
    /// Maximum delay of a timer since the previous sample (seconds).
    pub latest_timer_s: f64,
    /// Results of the modelled load.
    pub load: LoadCounts,
}

/// Difference between two samples.
pub struct Interval {
    /// Time between the samples (seconds).
    pub seconds: f64,
    /// Messages and bytes of all hollow poolers.
    pub traffic: Traffic,
    /// Processor time of all hollow poolers (seconds).
    pub hollow_processor_s: f64,
    /// Processor time of the busiest process of hollow poolers (seconds).
    pub busiest_process_s: f64,
    /// Anonymous memory of all hollow poolers at the end, without the base memory of their processes (bytes).
    pub hollow_memory: f64,
    /// Processor time of each control instance (seconds).
    pub control_processor_s: Vec<f64>,
    /// Anonymous memory (heap and stacks) of each control instance at the end (bytes).
    pub control_memory: Vec<f64>,
    /// Processor time of each real pooler (seconds).
    pub real_processor_s: Vec<f64>,
    /// Anonymous memory of each real pooler, and its resident memory including program text (bytes).
    pub real_memory: Vec<(f64, f64)>,
    /// Bytes that each real pooler sent to peers and received from them, for poolers that reported both
    /// times.
    pub real_bytes: Vec<(f64, f64)>,
}

/// State of a fleet.
#[derive(Debug, Default)]
pub struct FleetState {
    /// State of all hollow poolers.
    pub hollow: State,
    /// For each real pooler that exchanges state: the number of instances it considers alive, and the lowest
    /// version of the list that it reports of any instance. Empty unless real poolers were queried.
    pub real: Vec<(usize, Option<u64>)>,
}

impl<'a> Fleet<'a> {
    /// Starts the processes of a fleet. Its poolers start with [`Fleet::start_poolers`].
    pub fn start(
        run: &'a RunContext,
        (size, coordination): (usize, Coordination),
        repeat: usize,
    ) -> Result<Fleet<'a>, ScaleError> {
        let options = &run.options;
        let config =
            DiscoveryConfig { network: run.network, databases: options.databases, group_size: options.group };
        let discovery = Worker::start(&run.programs.command, "discovery", &Assignment::Discovery(config))?;
        let (control, hollow, real) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet = Fleet { run, size, coordination, discovery, control, hollow, real };
        for number in 0..options.control_instances(coordination) {
            fleet.control.push(None);
            fleet.start_control(number)?;
        }
        let per_process = options.per_process(coordination);
        for number in 0..options.hollow_processes(size, coordination) {
            let first = options.real + number * per_process;
            let poolers = (first, (first + per_process).min(size));
            let process = fleet.start_hollow(number, poolers, repeat)?;
            fleet.hollow.push(process);
        }
        Ok(fleet)
    }

    /// Starts a control instance that is not running.
    pub fn start_control(&mut self, number: usize) -> Result<(), ScaleError> {
        let RunContext { programs, network, options, .. } = self.run;
        self.control[number] = Some(ControlInstance::start(programs, *network, number, options.control)?);
        Ok(())
    }

    /// Kills a control instance.
    pub fn kill_control(&mut self, number: usize) {
        self.control[number] = None;
    }

    fn seed(&self, repeat: usize) -> u64 {
        self.run.options.seed.wrapping_mul(1_000_003).wrapping_add(repeat as u64)
    }

    fn seed_count(&self) -> usize {
        self.size.min(MAX_SEEDS)
    }

    fn start_hollow(
        &self,
        number: usize,
        poolers: (usize, usize),
        repeat: usize,
    ) -> Result<HollowProcess, ScaleError> {
        let options = &self.run.options;
        let assignment = Assignment::Hollow(HollowFleet {
            network: self.run.network,
            poolers,
            fleet: self.size,
            seed: self.seed(repeat),
            coordination: self.coordination,
            control: options.control_instances(self.coordination),
            seeds: self.seed_count(),
            requests_per_s: options.requests,
            start_within_s: options.start_within,
        });
        let name = format!("hollow poolers {} to {}", poolers.0, poolers.1 - 1);
        let worker = Worker::start(&self.run.programs.command, &name, &assignment)?;
        let base_memory = sample_process(worker.pid(), &format!("process {number}"))?.anonymous;
        Ok(HollowProcess { worker, base_memory })
    }

    /// Starts all poolers. Returns when the start began (Unix seconds).
    pub fn start_poolers(&mut self, repeat: usize) -> Result<f64, ScaleError> {
        let started_at = self.run.clock.now();
        for process in &mut self.hollow {
            process.worker.send(&Command::Begin)?;
        }
        for number in 0..self.run.options.real {
            let config = RealPoolerConfig {
                network: self.run.network,
                number,
                fleet: self.size,
                seed: self.seed(repeat).wrapping_add(number as u64).max(1),
                coordination: self.coordination,
                control: self.run.options.control_instances(self.coordination),
                seeds: self.seed_count(),
            };
            self.real.push(RealPooler::start(&self.run.programs, &config)?);
        }
        for process in &mut self.hollow {
            process.worker.reply()?;
        }
        Ok(started_at)
    }

    /// Returns the numbers of the hollow poolers.
    pub fn hollow_poolers(&self) -> std::ops::Range<usize> {
        self.run.options.real..self.size
    }

    /// Returns the process ids of all processes except the command itself.
    fn pids(&self) -> Vec<u32> {
        let hollow = self.hollow.iter().map(|process| process.worker.pid());
        let control = self.control.iter().flatten().map(ControlInstance::pid);
        let control_and_real = control.chain(self.real.iter().map(RealPooler::pid));
        hollow.chain(control_and_real).chain([self.discovery.pid()]).collect()
    }

    /// Sleeps for this time and checks the limits of the run meanwhile.
    pub fn wait(&self, seconds: f64) -> Result<(), ScaleError> {
        self.run.limits.wait(Duration::from_secs_f64(seconds), &self.pids())
    }

    /// Sends a command to all processes of hollow poolers, then collects their replies.
    pub fn request(&mut self, command: &Command) -> Result<Vec<Reply>, ScaleError> {
        for process in &mut self.hollow {
            process.worker.send(command)?;
        }
        self.hollow.iter_mut().map(|process| process.worker.reply()).collect()
    }

    /// Removes a member from the list or puts it back. Returns the new version and when discovery began to
    /// send it.
    pub fn change_list(&mut self, database: usize, serving: bool) -> Result<(u64, f64), ScaleError> {
        match self.discovery.request(&Command::List { database, serving })? {
            Reply::Version(version, at) => Ok((version, at)),
            other => Err(unexpected_reply(&other)),
        }
    }

    /// Returns the version of the list at discovery.
    pub fn list_version(&mut self) -> Result<u64, ScaleError> {
        match self.discovery.request(&Command::State)? {
            Reply::State(state) => Ok(state.lists.first().map_or(0, |(version, _)| *version)),
            other => Err(unexpected_reply(&other)),
        }
    }

    /// Returns when each hollow pooler first received this version of the list or a later one (Unix seconds).
    pub fn list_times(&mut self, version: u64) -> Result<Vec<f64>, ScaleError> {
        self.collect_times(&Command::ListTimes(version))
    }

    /// Returns the times (Unix seconds) with which all processes of hollow poolers reply to a command.
    pub fn collect_times(&mut self, command: &Command) -> Result<Vec<f64>, ScaleError> {
        let mut all = Vec::new();
        for reply in self.request(command)? {
            match reply {
                Reply::Times(times) => all.extend(times),
                other => return Err(unexpected_reply(&other)),
            }
        }
        Ok(all)
    }

    /// Returns the state of the fleet. With `real`, the real poolers are queried as well, which takes some
    /// milliseconds each.
    pub fn state(&mut self, real: bool) -> Result<FleetState, ScaleError> {
        let mut state = FleetState::default();
        for reply in self.request(&Command::State)? {
            match reply {
                Reply::State(hollow) => state.hollow.add(hollow),
                other => return Err(unexpected_reply(&other)),
            }
        }
        if real && self.coordination == Coordination::Peers {
            state.real = self.real.iter().map(|real| state_of_real_pooler(real.status())).collect();
        }
        Ok(state)
    }

    /// Waits until the fleet has converged: all running hollow poolers have the latest list; those that
    /// exchange state consider all running poolers alive and, under load, may read from replicas; those with
    /// a session directory have a quorum of every group of control instances. Returns when that was found
    /// (Unix seconds), or `None` after the time limit `--settle`.
    pub fn wait_until_converged(&mut self, running: usize) -> Result<Option<f64>, ScaleError> {
        let deadline = self.run.clock.now() + self.run.options.settle;
        let version = self.list_version()?;
        loop {
            let now = self.run.clock.now();
            let hollow = self.state(false)?.hollow;
            let confirmed = self.run.options.requests == 0.0 || hollow.all_can_read_replicas();
            if confirmed && hollow.has_converged(running - self.real.len(), running, version) {
                return Ok(Some(now));
            }
            if now > deadline {
                return Ok(None);
            }
            self.wait(CHECK_INTERVAL.as_secs_f64())?;
        }
    }

    /// Reads all counters.
    pub fn sample(&mut self) -> Result<FleetSample, ScaleError> {
        let at = self.run.clock.now();
        let mut sample = FleetSample {
            at,
            hollow: Vec::new(),
            control: Vec::new(),
            real: Vec::new(),
            real_status: Vec::new(),
            traffic: Traffic::default(),
            latest_timer_s: 0.0,
            load: LoadCounts::default(),
        };
        for reply in self.request(&Command::Sample)? {
            let Reply::Sample(worker) = reply else { return Err(unexpected_reply(&reply)) };
            sample.traffic.add(&worker.traffic);
            sample.latest_timer_s = sample.latest_timer_s.max(worker.latest_timer_s);
            sample.load.add(worker.load);
        }
        for process in &self.hollow {
            sample.hollow.push(sample_process(process.worker.pid(), "a process of hollow poolers")?);
        }
        for control in self.control.iter().flatten() {
            sample.control.push(sample_process(control.pid(), "a control instance")?);
        }
        for real in &self.real {
            sample.real.push(sample_process(real.pid(), "a real pooler")?);
            let shares_state = self.coordination == Coordination::Peers;
            sample.real_status.push(real.status().filter(|_| shares_state));
        }
        Ok(sample)
    }

    /// Returns the difference between two samples.
    pub fn interval(&self, before: &FleetSample, after: &FleetSample) -> Interval {
        let processor = |before: &[ProcessSample], after: &[ProcessSample]| -> Vec<f64> {
            let pairs = before.iter().zip(after);
            pairs.map(|(before, after)| after.processor_time_since(before).as_secs_f64()).collect()
        };
        let base_memory: u64 = self.hollow.iter().map(|process| process.base_memory).sum();
        let hollow_processor = processor(&before.hollow, &after.hollow);
        let memory: u64 = after.hollow.iter().map(|sample| sample.anonymous).sum();
        let status = before.real_status.iter().zip(&after.real_status);
        let real_bytes = status.filter_map(|(before, after)| {
            let (before, after) = (before.as_ref()?, after.as_ref()?);
            let sent = after.sent_bytes.saturating_sub(before.sent_bytes) as f64;
            Some((sent, after.received_bytes.saturating_sub(before.received_bytes) as f64))
        });
        Interval {
            seconds: after.at - before.at,
            traffic: after.traffic.since(&before.traffic),
            hollow_processor_s: hollow_processor.iter().sum(),
            busiest_process_s: hollow_processor.iter().copied().fold(0.0, f64::max),
            hollow_memory: memory.saturating_sub(base_memory) as f64,
            control_processor_s: processor(&before.control, &after.control),
            control_memory: after.control.iter().map(|sample| sample.anonymous as f64).collect(),
            real_processor_s: processor(&before.real, &after.real),
            real_memory: after.real.iter().map(|s| (s.anonymous as f64, s.resident as f64)).collect(),
            real_bytes: real_bytes.collect(),
        }
    }
}

fn state_of_real_pooler(status: Option<RealStatus>) -> (usize, Option<u64>) {
    let Some(status) = status else { return (0, None) };
    let versions = status.instances.iter().filter_map(|instance| instance.versions.as_ref());
    (status.alive(), versions.map(|versions| versions.list).min())
}

fn sample_process(pid: u32, name: &str) -> Result<ProcessSample, ScaleError> {
    Process(pid).sample().map_err(|error| ScaleError::Process(format!("{name}: {error}")))
}

fn unexpected_reply(reply: &Reply) -> ScaleError {
    ScaleError::Process(format!("unexpected reply of a worker: {reply:?}"))
}
