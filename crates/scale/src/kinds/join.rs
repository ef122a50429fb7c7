//! Measures the start of all poolers of a fleet, at once or distributed over `--start-within`, until the
//! fleet has converged.

use super::{Kind, Measurement};
use crate::error::ScaleError;
use crate::fleet::Fleet;
use crate::traffic::Direction;

/// Starts the poolers of a fleet and measures until it has converged.
pub fn run(fleet: &mut Fleet, repeat: usize) -> Result<Measurement, ScaleError> {
    let mut measurement = Measurement::new(Kind::Join, fleet, repeat);
    let before = fleet.sample()?;
    let started_at = fleet.start_poolers(repeat)?;
    let converged_at = fleet.wait_until_converged(fleet.size)?;
    let after = fleet.sample()?;
    let interval = fleet.interval(&before, &after);
    let list_delays: Vec<f64> = fleet.list_times(1)?.iter().map(|at| at - started_at).collect();
    measurement.record_times("list_held", &list_delays);
    let poolers = fleet.hollow_poolers().len();
    measurement.check(list_delays.len() == poolers, || {
        format!("{} of {poolers} poolers have a list", list_delays.len())
    });
    match converged_at {
        Some(at) => measurement.record("settled_s", at - started_at),
        None => {
            let state = fleet.state(false)?.hollow;
            measurement.faults.push(format!("the fleet did not converge: {}", state.summary()));
        }
    }
    if poolers > 0 {
        let per_pooler = 1.0 / poolers as f64;
        measurement.traffic = interval.traffic.scaled(per_pooler);
        let sent = interval.traffic.sum(|(_, _, direction)| *direction == Direction::Sent);
        let received = interval.traffic.sum(|(_, _, direction)| *direction == Direction::Received);
        measurement.record("sent_bytes", sent.bytes * per_pooler);
        measurement.record("received_bytes", received.bytes * per_pooler);
        measurement.record("processor_s", interval.hollow_processor_s * per_pooler);
    }
    Ok(measurement)
}
