//! Measures the loss and the return of instances: poolers that are killed and restarted, a region that is cut
//! off for a while, and a control instance that is killed and restarted.

use super::{Kind, Measurement};
use crate::error::ScaleError;
use crate::fleet::{Fleet, FleetSample};
use crate::layout::{region_of, zone_of, zones_of, REGIONS};
use crate::protocol::{Command, Coordination};
use crate::traffic::Direction;

/// The zone and the region that are lost. Neither contains discovery.
const LOST_ZONE: usize = 1;
const LOST_REGION: usize = REGIONS - 1;
/// Time between the kill and the restart of poolers whose loss the others cannot notice, since they exchange
/// no state, and of a control instance; also the time for which a restarted control instance is observed
/// (seconds).
const DOWNTIME: f64 = 10.0;
/// Interval between two checks whether a loss has been noticed (seconds).
const CHECK_INTERVAL: f64 = 0.1;

/// Kills poolers and restarts them once all others have noticed, or after [`DOWNTIME`] if the poolers
/// exchange no state.
pub fn restart_poolers(kind: Kind, fleet: &mut Fleet, repeat: usize) -> Result<Measurement, ScaleError> {
    let mut measurement = Measurement::new(kind, fleet, repeat);
    let lost = poolers_to_kill(kind, fleet);
    measurement.record("lost", lost.len() as f64);
    let killed_at = fleet.run.clock.now();
    fleet.request(&Command::Kill(lost.clone()))?;
    let remaining = fleet.size - lost.len();
    if fleet.coordination == Coordination::Peers {
        match wait_until_noticed(fleet, remaining)? {
            Some(at) => measurement.record("noticed_s", at - killed_at),
            None => measurement.faults.push(String::from(
                "not all remaining poolers noticed the loss within the time limit --settle",
            )),
        }
    } else {
        fleet.wait(DOWNTIME)?;
    }
    let before = fleet.sample()?;
    let restored_at = fleet.run.clock.now();
    fleet.request(&Command::Start(lost))?;
    record_recovery(&mut measurement, fleet, &before, restored_at)?;
    Ok(measurement)
}

/// Cuts a region off from all others and from discovery, changes the list meanwhile, then ends the partition.
pub fn cut_off_region(fleet: &mut Fleet, repeat: usize) -> Result<Measurement, ScaleError> {
    let mut measurement = Measurement::new(Kind::LoseRegion, fleet, repeat);
    let cut_off = fleet.hollow_poolers().filter(|number| region_of(zone_of(*number)) == LOST_REGION).count();
    measurement.record("lost", cut_off as f64);
    fleet.request(&Command::Cut(zones_of(LOST_REGION)))?;
    fleet.change_list(0, false)?;
    fleet.wait(fleet.run.options.cut)?;
    fleet.change_list(0, true)?;
    let before = fleet.sample()?;
    let restored_at = fleet.run.clock.now();
    fleet.request(&Command::Cut(Vec::new()))?;
    record_recovery(&mut measurement, fleet, &before, restored_at)?;
    Ok(measurement)
}

/// Kills a control instance and restarts it. Measures the modelled load without it, and the time until the
/// fleet has converged with it.
pub fn restart_control(fleet: &mut Fleet, repeat: usize) -> Result<Measurement, ScaleError> {
    let mut measurement = Measurement::new(Kind::LoseControl, fleet, repeat);
    let before = fleet.sample()?;
    fleet.kill_control(0);
    fleet.wait(DOWNTIME)?;
    let without = fleet.sample()?;
    let restored_at = fleet.run.clock.now();
    fleet.start_control(0)?;
    fleet.wait(DOWNTIME)?;
    measurement.record("writes_refused_without", (without.load.refused - before.load.refused) as f64);
    measurement.record("writes_answered_without", (without.load.answered - before.load.answered) as f64);
    measurement.check(without.load.refused == before.load.refused, || {
        String::from("writes were refused although every control group had a quorum")
    });
    record_recovery(&mut measurement, fleet, &without, restored_at)?;
    Ok(measurement)
}

/// Returns the poolers that are killed in this kind of run.
fn poolers_to_kill(kind: Kind, fleet: &Fleet) -> Vec<usize> {
    let poolers = fleet.hollow_poolers();
    match kind {
        Kind::LoseTenth => poolers.filter(|number| number % 10 == 5).collect(),
        Kind::LoseZone => poolers.filter(|number| zone_of(*number) == LOST_ZONE).collect(),
        _ => poolers.last().into_iter().collect(),
    }
}

/// Waits until all remaining poolers consider exactly `remaining` instances alive. Returns when that was
/// found, or `None` after the time limit `--settle`.
fn wait_until_noticed(fleet: &mut Fleet, remaining: usize) -> Result<Option<f64>, ScaleError> {
    let deadline = fleet.run.clock.now() + fleet.run.options.settle;
    loop {
        let now = fleet.run.clock.now();
        if fleet.state(false)?.hollow.alive.iter().all(|alive| *alive == remaining) {
            return Ok(Some(now));
        }
        if now > deadline {
            return Ok(None);
        }
        fleet.wait(CHECK_INTERVAL)?;
    }
}

/// Waits until the fleet has converged again, and records the time and the cost.
fn record_recovery(
    measurement: &mut Measurement,
    fleet: &mut Fleet,
    before: &FleetSample,
    restored_at: f64,
) -> Result<(), ScaleError> {
    match fleet.wait_until_converged(fleet.size)? {
        Some(at) => measurement.record("back_s", at - restored_at),
        None => {
            let state = fleet.state(false)?.hollow;
            measurement.faults.push(format!("the fleet did not converge: {}", state.summary()));
        }
    }
    let after = fleet.sample()?;
    let interval = fleet.interval(before, &after);
    let per_pooler = 1.0 / (fleet.hollow_poolers().len() as f64 * interval.seconds);
    let sent = interval.traffic.sum(|(_, _, direction)| *direction == Direction::Sent);
    measurement.record("back_sent_bytes_per_s", sent.bytes * per_pooler);
    measurement.record("back_processor_percent", 100.0 * interval.hollow_processor_s * per_pooler);
    measurement.traffic = interval.traffic.scaled(per_pooler);
    measurement.check(after.load.stale == 0, || {
        format!("{} reads might have missed a write of their session", after.load.stale)
    });
    measurement.check_lists(fleet)
}
