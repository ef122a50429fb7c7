//! Members in the list, and server connections.

use super::{Bench, OBSERVATION_TIME, SETTLE_TIME};
use crate::report::{Quantity, Report};
use crate::{ClientConnection, MeasureError, Mix};

const LIST_LENGTHS: [usize; 4] = [100, 400, 800, 1_600];
const CONNECTIONS: [usize; 5] = [0, 200, 400, 800, 1_600];
/// Size of groups without replicas: each write opens its own server connection.
const PRIMARY_ONLY: usize = 1;
/// Number of statements between two checks of the guard.
const GUARD_INTERVAL: usize = 100;

/// Lists of several lengths, without statements.
pub(super) fn listed(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for members in bench.shuffled(&LIST_LENGTHS) {
        let setup = bench.setup(members, super::GROUP_SIZE)?;
        let started = setup.pooler.sample()?;
        report.add(Quantity::StartProcessor, members as f64, started.processor_time().as_secs_f64());
        let (sample, share) = setup.observe(OBSERVATION_TIME)?;
        report.add(Quantity::ListedDatabaseMemory, members as f64, sample.anonymous as f64);
        report.add(Quantity::ListedDatabaseProcessor, members as f64, share);
    }
    Ok(())
}

/// A growing number of server connections, idle since their one write.
pub(super) fn connections(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    let sizes = bench.sizes(&CONNECTIONS);
    let members = sizes.iter().copied().max().unwrap_or(0);
    // The stand-ins' listeners and their connections.
    bench.guard.check_descriptors(2 * members)?;
    let setup = bench.setup(members, PRIMARY_ONLY)?;
    let mix = Mix::short_writes(members);
    let mut connection = ClientConnection::connect(setup.pooler.address)?;
    let mut sent = 0;
    for &size in sizes {
        while sent < size {
            connection.query(&mix.statement_in(sent, &mut bench.random))?;
            sent += 1;
            if sent.is_multiple_of(GUARD_INTERVAL) {
                bench.guard.check(&[setup.pooler.process])?;
            }
        }
        std::thread::sleep(SETTLE_TIME);
        let (sample, share) = setup.observe(OBSERVATION_TIME)?;
        let open = setup.servers.connections() as f64;
        report.add(Quantity::DatabaseConnectionMemory, open, sample.anonymous as f64);
        report.add(Quantity::DatabaseConnectionProcessor, open, share);
        bench.guard.check(&[setup.pooler.process])?;
    }
    Ok(())
}
