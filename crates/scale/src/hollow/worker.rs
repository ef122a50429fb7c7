//! A process of hollow poolers: one thread, one poll, the command's lines between turns.

use std::io;

use buffer::Budget;
use mio::{Events, Poll, Token, Waker};

use super::pooler::{Pooler, SOURCES};
use super::timers::{Due, Owner, Timers};
use super::{World, BUFFERS};
use crate::clock::Clock;
use crate::commands::{answer, Commands};
use crate::protocol::{Command, HollowFleet, LoadCounts, Reply, Sample, State};
use crate::traffic::Traffic;

/// Events fetched in one go.
const BATCH: usize = 1_024;
/// The token of the command's lines.
const COMMANDS: Token = Token(usize::MAX);

/// The poolers and what they share.
struct Worker {
    world: World,
    /// By place; none where one does not run.
    poolers: Vec<Option<Pooler>>,
    lives: Vec<u32>,
}

/// Runs until the command's lines end.
pub fn run(fleet: HollowFleet, commands: Commands) -> io::Result<()> {
    let mut poll = Poll::new()?;
    commands.wake(Waker::new(poll.registry(), COMMANDS)?);
    let mut worker = Worker::new(fleet, &poll)?;
    answer(&Reply::Ready)?;
    let mut events = Events::with_capacity(BATCH);
    loop {
        let patience = worker.world.timers.patience(worker.world.clock.now());
        match poll.poll(&mut events, patience) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            result => result?,
        }
        for event in &events {
            worker.ready(event.token());
        }
        worker.timers()?;
        while let Some(command) = commands.next() {
            answer(&worker.command(command))?;
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
            budget: Budget::new(BUFFERS),
            traffic: Traffic::default(),
            cut: Vec::new(),
            heard: Vec::new(),
            expected: None,
            heard_primary: Default::default(),
            load: LoadCounts::default(),
            answered: Default::default(),
            streams_wanted: 0,
        };
        let poolers = (0..count).map(|_| None).collect();
        Ok(Worker { world, poolers, lives: vec![0; count] })
    }

    /// The poolers of all workers start evenly over the time that is given.
    fn schedule_starts(&mut self) {
        let (now, first) = (self.world.clock.now(), self.world.fleet.poolers.0);
        let step = self.world.fleet.start_within_s / self.world.fleet.fleet as f64;
        for place in 0..self.poolers.len() {
            let at = now + step * (first + place) as f64;
            self.world.timers.set(at, Owner { place, life: 0 }, Due::Start);
        }
    }

    fn ready(&mut self, token: Token) {
        if token == COMMANDS {
            return;
        }
        if let Some(Some(pooler)) = self.poolers.get_mut(token.0 / SOURCES) {
            pooler.ready(token.0 % SOURCES, &mut self.world);
        }
    }

    fn timers(&mut self) -> io::Result<()> {
        let now = self.world.clock.now();
        while let Some((owner, due)) = self.world.timers.due(now) {
            if self.lives[owner.place] != owner.life {
                continue;
            }
            match (due, &mut self.poolers[owner.place]) {
                (Due::Start, None) => self.start(owner.place)?,
                (due, Some(pooler)) => pooler.due(due, &mut self.world),
                _ => {}
            }
        }
        Ok(())
    }

    fn start(&mut self, place: usize) -> io::Result<()> {
        let number = self.world.fleet.poolers.0 + place;
        self.lives[place] += 1;
        let owner = Owner { place, life: self.lives[place] };
        self.poolers[place] = Some(Pooler::start(number, owner, &mut self.world)?);
        Ok(())
    }

    fn command(&mut self, command: Command) -> Reply {
        match command {
            Command::Begin => {
                self.schedule_starts();
                Reply::Done
            }
            Command::Sample => Reply::Sample(Box::new(self.sample())),
            Command::State => Reply::State(self.state()),
            Command::Heard(version) => Reply::Heard(self.heard(version)),
            Command::ExpectPrimary(group, database) => {
                self.world.expected = Some((group, database));
                self.world.heard_primary.clear();
                Reply::Done
            }
            Command::FindPrimary { pooler, database } => {
                let place = self.places(&[pooler]).first().copied();
                if let Some(pooler) = place.and_then(|place| self.poolers[place].as_mut()) {
                    pooler.finds_primary(&database, &mut self.world);
                }
                Reply::Done
            }
            Command::HeardPrimary => Reply::Heard(self.world.heard_primary.values().copied().collect()),
            Command::Cut(zones) => {
                self.world.cut = zones;
                // What waits at a socket is not told again: it is looked at now.
                let running = self.poolers.iter_mut().flatten();
                running.for_each(|pooler| pooler.look_at_watches(&mut self.world));
                Reply::Done
            }
            Command::Kill(numbers) => {
                for place in self.places(&numbers) {
                    self.poolers[place] = None;
                    self.lives[place] += 1;
                }
                Reply::Done
            }
            Command::Start(numbers) => self.start_all(&numbers),
            Command::List { .. } => Reply::Failed(String::from("hollow poolers have no list to change")),
        }
    }

    fn start_all(&mut self, numbers: &[usize]) -> Reply {
        for place in self.places(numbers) {
            if self.poolers[place].is_some() {
                continue;
            }
            if let Err(error) = self.start(place) {
                return Reply::Failed(error.to_string());
            }
        }
        Reply::Done
    }

    /// The places of those numbers that are here.
    fn places(&self, numbers: &[usize]) -> Vec<usize> {
        let (first, last) = self.world.fleet.poolers;
        numbers.iter().filter(|n| (first..last).contains(n)).map(|n| n - first).collect()
    }

    fn sample(&mut self) -> Sample {
        let latest_timer_s = self.world.timers.take_latest();
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
            state.lists.push((pooler.version, pooler.list_sum()));
            if let Some(peers) = &mut pooler.peers {
                state.alive.push(peers.node.reachable_instances());
                state.whole.push(peers.node.primary_reason(now).is_none());
            }
            if let Some(directory) = &pooler.directory {
                state.quorate.push(directory.is_quorate(now));
            }
        }
        state
    }

    /// When each pooler first heard of that version, or of a later one. Earlier versions are forgotten.
    fn heard(&mut self, version: u64) -> Vec<f64> {
        self.world.heard.retain(|(of, _, _)| *of >= version);
        let mut first = std::collections::BTreeMap::new();
        for (_, place, at) in &self.world.heard {
            first.entry(*place).or_insert(*at);
        }
        first.into_values().collect()
    }
}
