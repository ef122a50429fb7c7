//! Databases in the list, and connections to them.

use super::{Bench, SETTLE, WATCH};
use crate::report::{Quantity, Report};
use crate::{MeasureError, Mix, Wire};

const LISTED: [usize; 4] = [100, 400, 800, 1_600];
const CONNECTIONS: [usize; 5] = [0, 200, 400, 800, 1_600];
/// Groups of a primary alone: each write opens a connection of its own.
const ALONE: usize = 1;
/// The guard is asked after so many statements.
const CHECKED: usize = 100;

/// Lists of several lengths, nothing asked.
pub(super) fn listed(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for databases in bench.shuffled(&LISTED) {
        let scene = bench.scene(databases, super::GROUP_SIZE)?;
        let started = scene.pooler.sample()?;
        report.add(Quantity::StartProcessor, databases as f64, started.processor_time().as_secs_f64());
        let (sample, share) = scene.watch(WATCH)?;
        report.add(Quantity::ListedDatabaseMemory, databases as f64, sample.anonymous as f64);
        report.add(Quantity::ListedDatabaseProcessor, databases as f64, share);
    }
    Ok(())
}

/// Connections to more and more databases, at rest since their one write.
pub(super) fn connections(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    let sizes = bench.sizes(&CONNECTIONS);
    let databases = sizes.iter().copied().max().unwrap_or(0);
    // The stand-ins' listeners and their connections.
    bench.guard.check_descriptors(2 * databases)?;
    let scene = bench.scene(databases, ALONE)?;
    let mix = Mix::short_writes(databases);
    let mut wire = Wire::connect(scene.pooler.address)?;
    let mut asked = 0;
    for &size in sizes {
        while asked < size {
            wire.query(&mix.statement_in(asked, &mut bench.random))?;
            asked += 1;
            if asked.is_multiple_of(CHECKED) {
                bench.guard.check(&[scene.pooler.process])?;
            }
        }
        std::thread::sleep(SETTLE);
        let (sample, share) = scene.watch(WATCH)?;
        let open = scene.databases.connections() as f64;
        report.add(Quantity::DatabaseConnectionMemory, open, sample.anonymous as f64);
        report.add(Quantity::DatabaseConnectionProcessor, open, share);
        bench.guard.check(&[scene.pooler.process])?;
    }
    Ok(())
}
