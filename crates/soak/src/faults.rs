//! Carries out the faults of a plan, each on its own thread.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use flood::{Flood, Target};

use crate::clients;
use crate::discovery::Discovery;
use crate::fleet::{Fleet, Phase};
use crate::plan::{Fault, Trouble};
use crate::poolers::Poolers;
use crate::record::Record;

/// The targets of faults.
#[derive(Clone)]
pub struct Targets {
    pub fleet: Arc<Mutex<Fleet>>,
    pub discovery: Arc<Discovery>,
    pub poolers: Arc<Poolers>,
    pub record: Arc<Record>,
}

/// The class of sound requests in floods: reads without a freshness bound.
const FLOODED_CLASS: &str = "class-4";
/// The ids of flooding clients' requests begin with this; no other id does.
const FLOOD_ID_MARK: char = 'x';
const FLOOD_ID_SEPARATOR: char = '-';

/// Returns the beginning of the ids of flooding clients at a pooler.
fn flood_id_prefix(pooler: usize) -> String {
    format!("{FLOOD_ID_MARK}{pooler}{FLOOD_ID_SEPARATOR}")
}

/// Returns the pooler of a flooding client's request by its id; `None` if the id is no such client's.
pub fn flooded_pooler(id: &str) -> Option<usize> {
    id.strip_prefix(FLOOD_ID_MARK)?.split(FLOOD_ID_SEPARATOR).next()?.parse().ok()
}

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

impl Targets {
    /// Carries out a fault and ends it after its time.
    pub fn carry_out(&self, fault: &Fault) {
        match *fault {
            Fault::Drain { machine: member, gone_after, back_after, stays_up } => {
                self.drain_member(member, (gone_after, back_after), stays_up);
            }
            Fault::Crash { machine: member, lasts } => self.crash_member(member, lasts),
            Fault::Trouble { machine: member, trouble, lasts } => {
                self.with_fleet(|fleet, _| fleet.members[member].trouble = trouble);
                pause(lasts);
                self.with_fleet(|fleet, _| fleet.members[member].trouble = Trouble::None);
            }
            Fault::Lag { machine: member, lasts } => self.with_fleet(|fleet, now| {
                if !fleet.members[member].primary {
                    fleet.freeze(member, now, lasts);
                }
            }),
            Fault::SlowReplay { group, rate, lasts, one_in, late } => {
                self.with_fleet(|fleet, now| fleet.slow_replay(group, now, (rate, lasts), (one_in, late)))
            }
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
                    self.poolers.pause(pooler, lasts);
                    pause(between);
                }
            }
            Fault::StallAll { lasts } => std::thread::scope(|scope| {
                for pooler in 0..self.poolers.count() {
                    scope.spawn(move || self.poolers.pause(pooler, lasts));
                }
            }),
            Fault::Restart { pooler } => self.poolers.restart(pooler),
            Fault::Flood { pooler, form, clients, reads, group, lasts } => {
                let id_prefix = flood_id_prefix(pooler);
                let target = Target { class: FLOODED_CLASS.into(), group: group as u32, id_prefix };
                let flood = Flood::start(clients::address(pooler), form, clients, reads, &target);
                pause(lasts);
                flood.stop();
            }
            Fault::Crowd { pooler, kind, connections, lasts } => {
                let opened = kind.open(clients::address(pooler), connections);
                pause(lasts);
                drop(opened);
            }
            Fault::SignalSeries { pooler, times, between } => {
                for _ in 0..times {
                    self.poolers.reload(pooler);
                    self.poolers.print_counters(pooler);
                    pause(between);
                }
            }
            Fault::Kill { pooler } => self.poolers.kill(pooler),
        }
    }

    fn with_fleet<T>(&self, action: impl FnOnce(&mut Fleet, f64) -> T) -> T {
        action(&mut self.fleet.lock().expect("no holder panics"), self.record.now())
    }

    /// Returns true if a member is up and listed as serving. Other members are left alone.
    fn is_serving(&self, member: usize) -> bool {
        self.with_fleet(|fleet, _| fleet.members[member].up && fleet.members[member].phase == Phase::Serving)
    }

    fn drain_member(&self, member: usize, (gone_after, back_after): (f64, f64), stays_up: bool) {
        if !self.is_serving(member) {
            return;
        }
        self.discovery.set_status(member, Phase::Draining);
        pause(gone_after);
        self.discovery.set_status(member, Phase::Deleted);
        let group = self.with_fleet(|fleet, now| {
            let member = &mut fleet.members[member];
            let (primary, group) = (member.primary, member.group);
            member.up = stays_up;
            primary.then(|| fleet.depose(group, now)).map(|_| group)
        });
        pause(back_after / 2.0);
        self.with_fleet(|fleet, now| group.into_iter().for_each(|group| fleet.elect(group, now)));
        pause(back_after / 2.0);
        self.restart_member(member);
    }

    fn crash_member(&self, member: usize, lasts: f64) {
        if !self.is_serving(member) {
            return;
        }
        let group = self.with_fleet(|fleet, now| {
            let (primary, group) = (fleet.members[member].primary, fleet.members[member].group);
            fleet.members[member].up = false;
            primary.then(|| fleet.depose(group, now)).map(|_| group)
        });
        pause(lasts / 2.0);
        self.with_fleet(|fleet, now| group.into_iter().for_each(|group| fleet.elect(group, now)));
        pause(lasts / 2.0);
        // A member that started to drain meanwhile is restarted by that fault.
        if self.with_fleet(|fleet, _| fleet.members[member].phase == Phase::Serving) {
            self.restart_member(member);
        }
    }

    fn restart_member(&self, member: usize) {
        self.with_fleet(|fleet, now| fleet.restart(member, now));
        self.discovery.set_status(member, Phase::Serving);
    }

    fn fail_over(&self, group: usize, gap: f64) {
        if self.with_fleet(|fleet, now| fleet.depose(group, now)) {
            pause(gap);
            self.with_fleet(|fleet, now| fleet.elect(group, now));
        }
    }
}
