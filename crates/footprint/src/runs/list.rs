//! Updates from discovery: full lists, and single changes.

use super::{wait_until, Bench, Setup, GROUP_SIZE};
use crate::report::{Quantity, Report};
use crate::MeasureError;
use std::time::Duration;

const LIST_LENGTHS: [usize; 4] = [100, 400, 800, 1_600];
const CHANGES: [usize; 5] = [0, 50, 100, 200, 400];
/// Full lists pushed at each length, so that their processor time is well above the clock tick.
const FULL_LISTS: usize = 5;
/// Interval between two documents, so that the pooler applies them one by one.
const PUSH_INTERVAL: Duration = Duration::from_millis(2);
/// The last document is normally applied within this time.
const APPLY_TIME: Duration = Duration::from_millis(100);

/// Full lists of several lengths.
pub(super) fn full_lists(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for members in bench.shuffled(&LIST_LENGTHS) {
        let setup = bench.setup(members, GROUP_SIZE)?;
        let documents =
            (0..FULL_LISTS).map(|n| setup.servers.members.list(n as u64 + 2).to_string()).collect();
        let (processor, bytes) = push_all(&setup, documents)?;
        let list_count = FULL_LISTS as f64;
        report.add(Quantity::WholeListProcessor, members as f64, processor / list_count);
        report.add(Quantity::WholeListBytes, members as f64, bytes as f64 / list_count);
    }
    Ok(())
}

/// Changes of single replicas, which drain and serve again, in a list of the default length.
pub(super) fn changes(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for count in bench.shuffled(&CHANGES) {
        let members = bench.default_members();
        let setup = bench.setup(members, GROUP_SIZE)?;
        let change = |n: usize| {
            let status = if n.is_multiple_of(2) { "DRAINING" } else { "SERVING" };
            // The last member of a group is a replica.
            let replica = (n / 2 * GROUP_SIZE + GROUP_SIZE - 1) % members;
            setup.servers.members.change(n as u64 + 2, replica, status).to_string()
        };
        let (processor, bytes) = push_all(&setup, (0..count).map(change).collect())?;
        report.add(Quantity::ListChangeProcessor, count as f64, processor);
        report.add(Quantity::ListChangeBytes, count as f64, bytes as f64);
    }
    Ok(())
}

/// Pushes the documents. Returns the processor time (seconds) until all are applied, and the bytes on the
/// wire.
fn push_all(setup: &Setup, documents: Vec<String>) -> Result<(f64, usize), MeasureError> {
    let expected = setup.pooler.counters()?.lists + documents.len() as u64;
    let before = setup.pooler.sample()?;
    let mut bytes = 0;
    for document in &documents {
        let pushed = setup.discovery.push_list(document);
        bytes += pushed.ok_or(MeasureError::NoAnswer { what: "no connection watches the list" })?;
        std::thread::sleep(PUSH_INTERVAL);
    }
    // Reading the counters costs the process time, so the first read waits until most of the work is done.
    std::thread::sleep(APPLY_TIME);
    wait_until("changes of the list", || {
        setup.pooler.counters().is_ok_and(|counters| counters.lists >= expected)
    })?;
    let after = setup.pooler.sample()?;
    Ok((after.processor_time_since(&before).as_secs_f64(), bytes))
}
