//! The list as discovery tells it: whole, and change by change.

use super::{until, Bench, Scene, GROUP_SIZE};
use crate::report::{Quantity, Report};
use crate::MeasureError;
use std::time::Duration;

const LENGTHS: [usize; 4] = [100, 400, 800, 1_600];
const CHANGES: [usize; 5] = [0, 50, 100, 200, 400];
/// Whole lists told at each length, so that their processor time is well above what a tick is.
const WHOLE_LISTS: usize = 5;
/// The pause between two documents: they are applied one by one.
const PAUSE: Duration = Duration::from_millis(2);
/// What was told last is applied by then.
const APPLIED: Duration = Duration::from_millis(100);

/// The whole list at several lengths.
pub(super) fn whole(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for databases in bench.shuffled(&LENGTHS) {
        let scene = bench.scene(databases, GROUP_SIZE)?;
        let documents =
            (0..WHOLE_LISTS).map(|n| scene.databases.databases.list(n as u64 + 2).to_string()).collect();
        let (processor, bytes) = told(&scene, documents)?;
        let lists = WHOLE_LISTS as f64;
        report.add(Quantity::WholeListProcessor, databases as f64, processor / lists);
        report.add(Quantity::WholeListBytes, databases as f64, bytes as f64 / lists);
    }
    Ok(())
}

/// Changes of single replicas, which drain and serve again, in a list of the usual length.
pub(super) fn changes(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for count in bench.shuffled(&CHANGES) {
        let databases = bench.usual_databases();
        let scene = bench.scene(databases, GROUP_SIZE)?;
        let change = |n: usize| {
            let status = if n.is_multiple_of(2) { "DRAINING" } else { "SERVING" };
            // The last of a group is a replica.
            let replica = (n / 2 * GROUP_SIZE + GROUP_SIZE - 1) % databases;
            scene.databases.databases.change(n as u64 + 2, replica, status).to_string()
        };
        let (processor, bytes) = told(&scene, (0..count).map(change).collect())?;
        report.add(Quantity::ListChangeProcessor, count as f64, processor);
        report.add(Quantity::ListChangeBytes, count as f64, bytes as f64);
    }
    Ok(())
}

/// Tells these documents; the processor time (s) until all are applied, and the bytes on the wire.
fn told(scene: &Scene, documents: Vec<String>) -> Result<(f64, usize), MeasureError> {
    let lists = scene.pooler.counters()?.lists + documents.len() as u64;
    let before = scene.pooler.sample()?;
    let mut bytes = 0;
    for document in &documents {
        let told = scene.discovery.push_list(document);
        bytes += told.ok_or(MeasureError::NoAnswer { what: "nobody watches the list" })?;
        std::thread::sleep(PAUSE);
    }
    // Each look at the counters costs the process time: most of the work is over by the first.
    std::thread::sleep(APPLIED);
    until("changes of the list", || scene.pooler.counters().is_ok_and(|counters| counters.lists >= lists))?;
    let after = scene.pooler.sample()?;
    Ok((after.processor_time_since(&before).as_secs_f64(), bytes))
}
