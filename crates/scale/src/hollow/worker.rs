//! A process of hollow poolers: one thread with one event loop, which handles commands between two
//! iterations.

use std::io;

use buffer::Budget;
use mio::{Events, Poll, Token, Waker};

use super::pooler::{Pooler, SOURCES_PER_POOLER};
use super::timers::{Owner, TimerKind, Timers};
use super::{World, BUFFER_BUDGET_BYTES};
use crate::clock::Clock;
use crate::commands::{send_reply, Commands};
use crate::protocol::{Command, HollowFleet, LoadCounts, Reply, Sample, State};
use crate::traffic::Traffic;

/// Maximum number of events per poll.
const MAX_EVENTS: usize = 1_024;
/// Token of the waker for commands.
const COMMANDS: Token = Token(usize::MAX);

/// The poolers and what they share.
struct Worker {
    world: World,
    /// By index; `None` for a pooler that does not run.
    poolers: Vec<Option<Pooler>>,
    generations: Vec<u32>,
}

/// Runs until the input with commands ends.
pub fn run(fleet: HollowFleet, commands: Commands) -> io::Result<()> {
    let mut poll = Poll::new()?;
    commands.set_waker(Waker::new(poll.registry(), COMMANDS)?);
    let mut worker = Worker::new(fleet, &poll)?;
    send_reply(&Reply::Ready)?;
    let mut events = Events::with_capacity(MAX_EVENTS);
    loop {
        let timeout = worker.world.timers.time_to_next(worker.world.clock.now());
        match poll.poll(&mut events, timeout) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            result => result?,
        }
        for event in &events {
            worker.on_ready(event.token());
        }
        worker.process_timers()?;
        while let Some(command) = commands.next() {
            send_reply(&worker.execute(command))?;
        }
        if commands.ended() {
            return Ok(());
        }
    }
}

impl Worker {
    fn new(fleet: HollowFleet, poll: &Poll) -> io::Result<Worker> {
        let count = fleet.poolers.1 - fleet.poolers.0;
        let world = World {
            clock: Clock::default(),
            network: fleet.network,
            fleet,
            registry: poll.registry().try_clone()?,
            timers: Timers::default(),
            budget: Budget::new(BUFFER_BUDGET_BYTES),
            traffic: Traffic::default(),
            cut_zones: Vec::new(),
            list_received: Vec::new(),
            expected_primary: None,
            primary_received: Default::default(),
            load: LoadCounts::default(),
            answered_positions: Default::default(),
            streams_wanted: 0,
        };
        let poolers = (0..count).map(|_| None).collect();
        Ok(Worker { world, poolers, generations: vec![0; count] })
    }

    /// Schedules the starts of the poolers. The starts of all workers together are evenly distributed over
    /// `start_within_s`.
    fn schedule_starts(&mut self) {
        let (now, first) = (self.world.clock.now(), self.world.fleet.poolers.0);
        let interval = self.world.fleet.start_within_s / self.world.fleet.fleet as f64;
        for index in 0..self.poolers.len() {
            let at = now + interval * (first + index) as f64;
            self.world.timers.set(at, Owner { index, generation: 0 }, TimerKind::Start);
        }
    }

    fn on_ready(&mut self, token: Token) {
        if token == COMMANDS {
            return;
        }
        if let Some(Some(pooler)) = self.poolers.get_mut(token.0 / SOURCES_PER_POOLER) {
            pooler.on_ready(token.0 % SOURCES_PER_POOLER, &mut self.world);
        }
    }

    fn process_timers(&mut self) -> io::Result<()> {
        let now = self.world.clock.now();
        while let Some((owner, kind)) = self.world.timers.pop_due(now) {
            if self.generations[owner.index] != owner.generation {
                continue;
            }
            match (kind, &mut self.poolers[owner.index]) {
                (TimerKind::Start, None) => self.start(owner.index)?,
                (kind, Some(pooler)) => pooler.on_timer(kind, &mut self.world),
                _ => {}
            }
        }
        Ok(())
    }

    fn start(&mut self, index: usize) -> io::Result<()> {
        let number = self.world.fleet.poolers.0 + index;
        self.generations[index] += 1;
        let owner = Owner { index, generation: self.generations[index] };
        self.poolers[index] = Some(Pooler::start(number, owner, &mut self.world)?);
        Ok(())
    }

    fn execute(&mut self, command: Command) -> Reply {
        match command {
            Command::Begin => {
                self.schedule_starts();
                Reply::Done
            }
            Command::Sample => Reply::Sample(Box::new(self.sample())),
            Command::State => Reply::State(self.state()),
            Command::ListTimes(version) => Reply::Times(self.list_times(version)),
            Command::ExpectPrimary(group, member) => {
                self.world.expected_primary = Some((group, member));
                self.world.primary_received.clear();
                Reply::Done
            }
            Command::ObservePrimary { pooler, database: member } => {
                let index = self.indices(&[pooler]).first().copied();
                if let Some(pooler) = index.and_then(|index| self.poolers[index].as_mut()) {
                    pooler.observe_primary(&member, &mut self.world);
                }
                Reply::Done
            }
            Command::PrimaryTimes => Reply::Times(self.world.primary_received.values().copied().collect()),
            Command::Cut(zones) => {
                self.world.cut_zones = zones;
                // Data that arrived at a socket during a partition causes no further event, so it is read
                // now.
                let running = self.poolers.iter_mut().flatten();
                running.for_each(|pooler| pooler.process_watches(&mut self.world));
                Reply::Done
            }
            Command::Kill(numbers) => {
                for index in self.indices(&numbers) {
                    self.poolers[index] = None;
                    self.generations[index] += 1;
                }
                Reply::Done
            }
            Command::Start(numbers) => self.start_all(&numbers),
            Command::List { .. } => Reply::Failed(String::from("hollow poolers have no list to change")),
        }
    }

    fn start_all(&mut self, numbers: &[usize]) -> Reply {
        for index in self.indices(numbers) {
            if self.poolers[index].is_some() {
                continue;
            }
            if let Err(error) = self.start(index) {
                return Reply::Failed(error.to_string());
            }
        }
        Reply::Done
    }

    /// Returns the indices of those poolers that this worker has.
    fn indices(&self, numbers: &[usize]) -> Vec<usize> {
        let (first, end) = self.world.fleet.poolers;
        numbers.iter().filter(|n| (first..end).contains(n)).map(|n| n - first).collect()
    }

    fn sample(&mut self) -> Sample {
        let latest_timer_s = self.world.timers.take_max_delay();
        let sample = Sample {
            at: self.world.clock.now(),
            traffic: self.world.traffic.clone(),
            latest_timer_s,
            load: self.world.load.clone(),
        };
        self.world.load.waits_us.clear();
        self.world.load.arrivals_us.clear();
        sample
    }

    fn state(&mut self) -> State {
        let mut state = State { streams_wanted: self.world.streams_wanted, ..State::default() };
        let now = self.world.clock.now();
        for pooler in self.poolers.iter_mut().flatten() {
            state.running += 1;
            state.lists.push((pooler.version, pooler.list_checksum()));
            if let Some(peers) = &mut pooler.peers {
                state.alive.push(peers.node.reachable_instances());
                state.can_read_replicas.push(peers.node.primary_reason(now).is_none());
            }
            if let Some(directory) = &pooler.directory {
                state.quorate.push(directory.is_quorate(now));
            }
        }
        state
    }

    /// Returns when each pooler first received this version of the list or a later one. Forgets earlier
    /// versions.
    fn list_times(&mut self, version: u64) -> Vec<f64> {
        self.world.list_received.retain(|(received_version, _, _)| *received_version >= version);
        let mut first = std::collections::BTreeMap::new();
        for (_, index, at) in &self.world.list_received {
            first.entry(*index).or_insert(*at);
        }
        first.into_values().collect()
    }
}
