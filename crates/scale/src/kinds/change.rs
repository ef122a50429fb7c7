//! Measures how soon a change has reached all poolers.

use super::{Kind, Measurement};
use crate::error::ScaleError;
use crate::fleet::Fleet;
use crate::protocol::Command;
use crate::settings::member_name;

/// Delay between a change that has reached all poolers and the next one, and interval between two queries for
/// reports of a new primary (seconds).
const CHANGE_INTERVAL: f64 = 0.2;

/// Alternately removes a member from the list and puts it back, as often as `--changes` says.
pub fn list_changes(fleet: &mut Fleet, repeat: usize) -> Result<Measurement, ScaleError> {
    let mut measurement = Measurement::new(Kind::ChangeList, fleet, repeat);
    let (mut delays, mut last_delays) = (Vec::new(), Vec::new());
    let poolers = fleet.hollow_poolers().len();
    for change in 0..fleet.run.options.changes {
        // Each even change removes a member; the next one puts it back.
        let (member, serving) = ((change / 2) % fleet.run.options.databases, change % 2 == 1);
        let (version, at) = fleet.change_list(member, serving)?;
        if fleet.wait_until_converged(fleet.size)?.is_none() {
            measurement
                .faults
                .push(format!("the fleet did not converge after version {version} of the list"));
        }
        let received: Vec<f64> =
            fleet.list_times(version)?.iter().map(|received_at| received_at - at).collect();
        measurement.check(received.len() == poolers, || {
            format!("{} of {poolers} poolers received version {version} of the list", received.len())
        });
        last_delays.push(received.iter().copied().fold(0.0, f64::max));
        delays.extend(received);
        fleet.wait(CHANGE_INTERVAL)?;
    }
    measurement.record_times("heard", &delays);
    measurement.record_times("last_heard", &last_delays);
    measurement.check_lists(fleet)?;
    Ok(measurement)
}

/// One pooler observes that a member is the primary of its group, for each change in another group. Measures
/// how soon all other poolers have received the report.
pub fn primary_changes(fleet: &mut Fleet, repeat: usize) -> Result<Measurement, ScaleError> {
    let mut measurement = Measurement::new(Kind::ChangePrimary, fleet, repeat);
    let (mut delays, mut last_delays) = (Vec::new(), Vec::new());
    let (databases, group_size) = (fleet.run.options.databases, fleet.run.options.group);
    let poolers = fleet.hollow_poolers();
    for change in 0..fleet.run.options.changes.min(databases.div_ceil(group_size)) {
        let name = member_name(change * group_size);
        fleet.request(&Command::ExpectPrimary(change as u32, name.clone()))?;
        let pooler = poolers.start + change % poolers.len();
        let at = fleet.run.clock.now();
        fleet.request(&Command::ObservePrimary { pooler, database: name })?;
        // The pooler that observed the primary receives no report.
        let other_poolers = poolers.len() - 1;
        let received = wait_for_reports(fleet, other_poolers)?;
        measurement.check(received.len() == other_poolers, || {
            format!("{} of {other_poolers} poolers received the report of primary {change}", received.len())
        });
        last_delays.push(received.iter().copied().fold(at, f64::max) - at);
        delays.extend(received.iter().map(|received_at| received_at - at));
    }
    measurement.record_times("heard", &delays);
    measurement.record_times("last_heard", &last_delays);
    Ok(measurement)
}

/// Waits until `poolers` poolers have received a report of the expected primary, or the time limit is over.
/// Returns the times at which the reports were received.
fn wait_for_reports(fleet: &mut Fleet, poolers: usize) -> Result<Vec<f64>, ScaleError> {
    let deadline = fleet.run.clock.now() + fleet.run.options.settle;
    loop {
        let received = fleet.collect_times(&Command::PrimaryTimes)?;
        if received.len() == poolers || fleet.run.clock.now() > deadline {
            return Ok(received);
        }
        fleet.wait(CHANGE_INTERVAL)?;
    }
}
