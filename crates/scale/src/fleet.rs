//! A fleet of one size: the stand-ins, the processes of hollow poolers and the real poolers, from their start to their
//! end, which comes when it is dropped.

use std::time::Duration;

use measure::{Process, Sample as ProcessSample};

use crate::clock::Clock;
use crate::error::ScaleError;
use crate::layout::Network;
use crate::limits::Limits;
use crate::options::Options;
use crate::process::Worker;
use crate::protocol::{
    Assignment, Command, Coordination, DiscoveryTerms, HollowFleet, LoadCounts, Reply, State,
};
use crate::real::{ControlInstance, Programs, Real, RealStatus, RealTerms};
use crate::traffic::Traffic;

/// Poolers that all others know as seeds.
const SEEDS: usize = 3;
/// Pause between two looks whether a fleet has come to rest.
const LOOK: Duration = Duration::from_millis(100);

/// What a run goes by, from its first fleet to its last.
pub struct Run {
    /// The command line.
    pub options: Options,
    /// The limits.
    pub limits: Limits,
    /// The loopback network.
    pub network: Network,
    /// Where the programs are.
    pub programs: Programs,
    /// The time.
    pub clock: Clock,
}

struct HollowProcess {
    worker: Worker,
    /// Memory of its own (heap and stacks) before the first pooler (bytes).
    empty: u64,
}

/// The fleet.
pub struct Fleet<'a> {
    /// What the run goes by.
    pub run: &'a Run,
    /// Poolers, hollow and real.
    pub size: usize,
    /// How they know what sessions wrote at each other.
    pub coordination: Coordination,
    discovery: Worker,
    /// By number; none where one does not run.
    control: Vec<Option<ControlInstance>>,
    hollow: Vec<HollowProcess>,
    real: Vec<Real>,
}

/// Counters of a fleet at one moment.
pub struct FleetSample {
    at: f64,
    hollow: Vec<ProcessSample>,
    control: Vec<ProcessSample>,
    real: Vec<ProcessSample>,
    real_status: Vec<Option<RealStatus>>,
    traffic: Traffic,
    /// By how much the latest timer since the sample before came late (seconds).
    pub latest_timer_s: f64,
    /// What came of the modelled load.
    pub load: LoadCounts,
}

/// What passed between two samples.
pub struct Interval {
    /// How long it was (seconds).
    pub seconds: f64,
    /// Messages and bytes of all hollow poolers.
    pub traffic: Traffic,
    /// Processor time of all hollow poolers (seconds).
    pub hollow_processor_s: f64,
    /// Processor time of the busiest process of hollow poolers (seconds).
    pub busiest_process_s: f64,
    /// Memory of all hollow poolers at its end, without what their processes held before (bytes).
    pub hollow_memory: f64,
    /// Processor time of each control instance (seconds).
    pub control_processor_s: Vec<f64>,
    /// Memory of its own (heap and stacks) of each control instance at its end (bytes).
    pub control_memory: Vec<f64>,
    /// Processor time of each real pooler (seconds).
    pub real_processor_s: Vec<f64>,
    /// Memory of its own of each real pooler, and its resident memory with the program's text (bytes).
    pub real_memory: Vec<(f64, f64)>,
    /// Bytes that each real pooler sent to others and received from them, where it could be asked.
    pub real_bytes: Vec<(f64, f64)>,
}

/// How things stand in a fleet.
#[derive(Debug, Default)]
pub struct Standing {
    /// Of all hollow poolers.
    pub hollow: State,
    /// Of each real pooler that talks: whom it takes for alive, and the version of its list.
    pub real: Vec<(usize, Option<u64>)>,
}

impl<'a> Fleet<'a> {
    /// Starts the processes of a fleet; its poolers start with [`Fleet::begin`].
    pub fn start(
        run: &'a Run,
        (size, coordination): (usize, Coordination),
        repeat: usize,
    ) -> Result<Fleet<'a>, ScaleError> {
        let options = &run.options;
        let terms =
            DiscoveryTerms { network: run.network, databases: options.databases, group_size: options.group };
        let discovery = Worker::start(&run.programs.command, "discovery", &Assignment::Discovery(terms))?;
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

    /// Starts a control instance that does not run.
    pub fn start_control(&mut self, number: usize) -> Result<(), ScaleError> {
        let Run { programs, network, options, .. } = self.run;
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

    fn seeds(&self) -> usize {
        self.size.min(SEEDS)
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
            seeds: self.seeds(),
            requests_per_s: options.requests,
            start_within_s: options.start_within,
        });
        let name = format!("hollow poolers {} to {}", poolers.0, poolers.1 - 1);
        let worker = Worker::start(&self.run.programs.command, &name, &assignment)?;
        let empty = sample_of(worker.pid(), &format!("process {number}"))?.anonymous;
        Ok(HollowProcess { worker, empty })
    }

    /// Starts all poolers; when that was (Unix seconds).
    pub fn begin(&mut self, repeat: usize) -> Result<f64, ScaleError> {
        let begun = self.run.clock.now();
        for process in &mut self.hollow {
            process.worker.send(&Command::Begin)?;
        }
        for number in 0..self.run.options.real {
            let terms = RealTerms {
                network: self.run.network,
                number,
                fleet: self.size,
                seed: self.seed(repeat).wrapping_add(number as u64).max(1),
                coordination: self.coordination,
                control: self.run.options.control_instances(self.coordination),
                seeds: self.seeds(),
            };
            self.real.push(Real::start(&self.run.programs, &terms)?);
        }
        for process in &mut self.hollow {
            process.worker.reply()?;
        }
        Ok(begun)
    }

    /// Numbers of the hollow poolers.
    pub fn hollow_poolers(&self) -> std::ops::Range<usize> {
        self.run.options.real..self.size
    }

    /// All processes but the command itself.
    fn pids(&self) -> Vec<u32> {
        let hollow = self.hollow.iter().map(|process| process.worker.pid());
        let control = self.control.iter().flatten().map(ControlInstance::pid);
        let others = control.chain(self.real.iter().map(Real::pid));
        hollow.chain(others).chain([self.discovery.pid()]).collect()
    }

    /// Lets time pass.
    pub fn wait(&self, seconds: f64) -> Result<(), ScaleError> {
        self.run.limits.wait(Duration::from_secs_f64(seconds), &self.pids())
    }

    /// Asks all processes of hollow poolers at once; their answers.
    pub fn ask(&mut self, command: &Command) -> Result<Vec<Reply>, ScaleError> {
        for process in &mut self.hollow {
            process.worker.send(command)?;
        }
        self.hollow.iter_mut().map(|process| process.worker.reply()).collect()
    }

    /// Takes a database off the list or puts it back; the new version, and since when it is told.
    pub fn change_list(&mut self, database: usize, serving: bool) -> Result<(u64, f64), ScaleError> {
        match self.discovery.ask(&Command::List { database, serving })? {
            Reply::Version(version, at) => Ok((version, at)),
            other => Err(unexpected(&other)),
        }
    }

    /// The version of the list at discovery.
    pub fn version(&mut self) -> Result<u64, ScaleError> {
        match self.discovery.ask(&Command::State)? {
            Reply::State(state) => Ok(state.lists.first().map_or(0, |(version, _)| *version)),
            other => Err(unexpected(&other)),
        }
    }

    /// When each hollow pooler first heard of that version or a later one (Unix seconds).
    pub fn heard(&mut self, version: u64) -> Result<Vec<f64>, ScaleError> {
        self.gather(&Command::Heard(version))
    }

    /// The times (Unix seconds) that all processes of hollow poolers tell for a command.
    pub fn gather(&mut self, command: &Command) -> Result<Vec<f64>, ScaleError> {
        let mut all = Vec::new();
        for reply in self.ask(command)? {
            match reply {
                Reply::Heard(times) => all.extend(times),
                other => return Err(unexpected(&other)),
            }
        }
        Ok(all)
    }

    /// How things stand; `real` tells whether the real poolers are asked as well, which takes each some milliseconds.
    pub fn standing(&mut self, real: bool) -> Result<Standing, ScaleError> {
        let mut standing = Standing::default();
        for reply in self.ask(&Command::State)? {
            match reply {
                Reply::State(state) => standing.hollow.add(state),
                other => return Err(unexpected(&other)),
            }
        }
        if real && self.coordination == Coordination::Peers {
            standing.real = self.real.iter().map(|real| standing_of(real.status())).collect();
        }
        Ok(standing)
    }

    /// Waits until the hollow poolers that run hold the latest list and, where they talk, each takes all of those that
    /// run for alive and, under a load, goes by what it knows; since when that is so (Unix seconds). None where that
    /// does not come.
    pub fn settle(&mut self, running: usize) -> Result<Option<f64>, ScaleError> {
        let until = self.run.clock.now() + self.run.options.settle;
        let version = self.version()?;
        loop {
            let now = self.run.clock.now();
            let hollow = self.standing(false)?.hollow;
            let whole = self.run.options.requests == 0.0 || hollow.all_whole();
            if whole && hollow.settled(running - self.real.len(), running, version) {
                return Ok(Some(now));
            }
            if now > until {
                return Ok(None);
            }
            self.wait(LOOK.as_secs_f64())?;
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
        for reply in self.ask(&Command::Sample)? {
            let Reply::Sample(worker) = reply else { return Err(unexpected(&reply)) };
            sample.traffic.add(&worker.traffic);
            sample.latest_timer_s = sample.latest_timer_s.max(worker.latest_timer_s);
            sample.load.add(worker.load);
        }
        for process in &self.hollow {
            sample.hollow.push(sample_of(process.worker.pid(), "a process of hollow poolers")?);
        }
        for control in self.control.iter().flatten() {
            sample.control.push(sample_of(control.pid(), "a control instance")?);
        }
        for real in &self.real {
            sample.real.push(sample_of(real.pid(), "a real pooler")?);
            let talks = self.coordination == Coordination::Peers;
            sample.real_status.push(real.status().filter(|_| talks));
        }
        Ok(sample)
    }

    /// What passed between two samples.
    pub fn interval(&self, before: &FleetSample, after: &FleetSample) -> Interval {
        let processor = |before: &[ProcessSample], after: &[ProcessSample]| -> Vec<f64> {
            let pairs = before.iter().zip(after);
            pairs.map(|(before, after)| after.processor_time_since(before).as_secs_f64()).collect()
        };
        let empty: u64 = self.hollow.iter().map(|process| process.empty).sum();
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
            hollow_memory: memory.saturating_sub(empty) as f64,
            control_processor_s: processor(&before.control, &after.control),
            control_memory: after.control.iter().map(|sample| sample.anonymous as f64).collect(),
            real_processor_s: processor(&before.real, &after.real),
            real_memory: after.real.iter().map(|s| (s.anonymous as f64, s.resident as f64)).collect(),
            real_bytes: real_bytes.collect(),
        }
    }
}

fn standing_of(status: Option<RealStatus>) -> (usize, Option<u64>) {
    let Some(status) = status else { return (0, None) };
    let versions = status.instances.iter().filter_map(|instance| instance.versions.as_ref());
    (status.alive(), versions.map(|versions| versions.list).min())
}

fn sample_of(pid: u32, name: &str) -> Result<ProcessSample, ScaleError> {
    Process(pid).sample().map_err(|error| ScaleError::Process(format!("{name}: {error}")))
}

fn unexpected(reply: &Reply) -> ScaleError {
    ScaleError::Process(format!("an unexpected answer of a worker: {reply:?}"))
}
