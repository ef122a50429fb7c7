//! Carries out the faults of a plan, each on a thread of its own from its time on.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::discovery::Discovery;
use crate::fleet::{Fleet, Phase};
use crate::plan::{Fault, Trouble};
use crate::poolers::Poolers;
use crate::record::Record;

/// What faults are done to.
#[derive(Clone)]
pub struct Targets {
    pub fleet: Arc<Mutex<Fleet>>,
    pub discovery: Arc<Discovery>,
    pub poolers: Arc<Poolers>,
    pub record: Arc<Record>,
}

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

impl Targets {
    /// Does what a fault says, and undoes it.
    pub fn carry_out(&self, fault: &Fault) {
        match *fault {
            Fault::Drain { machine, gone_after, back_after, stays_up } => {
                self.drain(machine, (gone_after, back_after), stays_up);
            }
            Fault::Crash { machine, lasts } => self.crash(machine, lasts),
            Fault::Trouble { machine, trouble, lasts } => {
                self.with(|fleet, _| fleet.machines[machine].trouble = trouble);
                pause(lasts);
                self.with(|fleet, _| fleet.machines[machine].trouble = Trouble::None);
            }
            Fault::Lag { machine, lasts } => self.with(|fleet, now| {
                if !fleet.machines[machine].primary {
                    fleet.freeze(machine, now, lasts);
                }
            }),
            Fault::Failover { group, gap } => self.fail_over(group, gap),
            Fault::DiscoveryDown { lasts } => {
                self.discovery.set_down(true);
                pause(lasts);
                self.discovery.set_down(false);
            }
            Fault::DiscoverySlow { by, lasts } => {
                self.discovery.set_slow(by);
                pause(lasts);
                self.discovery.set_slow(0.0);
            }
            Fault::WatchesReset => self.discovery.reset_watches(),
            Fault::WatchesSilent { lasts } => self.discovery.silence_watches(self.record.now() + lasts),
            Fault::Reload { pooler } => self.poolers.reload(pooler),
            Fault::Stalls { pooler, times, lasts, between } => {
                for _ in 0..times {
                    self.poolers.stall(pooler, lasts);
                    pause(between);
                }
            }
            Fault::StallAll { lasts } => std::thread::scope(|scope| {
                for pooler in 0..self.poolers.count() {
                    scope.spawn(move || self.poolers.stall(pooler, lasts));
                }
            }),
            Fault::Restart { pooler } => self.poolers.restart(pooler),
            Fault::Kill { pooler } => self.poolers.kill(pooler),
        }
    }

    fn with<T>(&self, does: impl FnOnce(&mut Fleet, f64) -> T) -> T {
        does(&mut self.fleet.lock().expect("no holder panics"), self.record.now())
    }

    /// Whether a machine is as usual; one that is not is left alone.
    fn serves(&self, machine: usize) -> bool {
        self.with(|fleet, _| fleet.machines[machine].up && fleet.machines[machine].phase == Phase::Serving)
    }

    fn drain(&self, machine: usize, (gone_after, back_after): (f64, f64), stays_up: bool) {
        if !self.serves(machine) {
            return;
        }
        self.discovery.list(machine, Phase::Draining);
        pause(gone_after);
        self.discovery.list(machine, Phase::Deleted);
        let group = self.with(|fleet, now| {
            let machine = &mut fleet.machines[machine];
            let (primary, group) = (machine.primary, machine.group);
            machine.up = stays_up;
            primary.then(|| fleet.depose(group, now)).map(|_| group)
        });
        pause(back_after / 2.0);
        self.with(|fleet, now| group.into_iter().for_each(|group| fleet.elect(group, now)));
        pause(back_after / 2.0);
        self.come_back(machine);
    }

    fn crash(&self, machine: usize, lasts: f64) {
        if !self.serves(machine) {
            return;
        }
        let group = self.with(|fleet, now| {
            let (primary, group) = (fleet.machines[machine].primary, fleet.machines[machine].group);
            fleet.machines[machine].up = false;
            primary.then(|| fleet.depose(group, now)).map(|_| group)
        });
        pause(lasts / 2.0);
        self.with(|fleet, now| group.into_iter().for_each(|group| fleet.elect(group, now)));
        pause(lasts / 2.0);
        // One that drained meanwhile is brought back by whoever drained it.
        if self.with(|fleet, _| fleet.machines[machine].phase == Phase::Serving) {
            self.come_back(machine);
        }
    }

    fn come_back(&self, machine: usize) {
        self.with(|fleet, now| fleet.starts(machine, now));
        self.discovery.list(machine, Phase::Serving);
    }

    fn fail_over(&self, group: usize, gap: f64) {
        if self.with(|fleet, now| fleet.depose(group, now)) {
            pause(gap);
            self.with(|fleet, now| fleet.elect(group, now));
        }
    }
}
