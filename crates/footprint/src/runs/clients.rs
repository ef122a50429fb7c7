//! Client connections: idle, and with a statement that waits for its database server.

use super::{Bench, Setup, GROUP_SIZE, OBSERVATION_TIME, POLL_INTERVAL, SETTLE_TIME};
use crate::report::{Quantity, Report};
use crate::{ClientConnection, MeasureError, Mix};
use std::time::{Duration, Instant};

const IDLE_SIZES: [usize; 5] = [0, 500, 1_000, 2_000, 4_000];
const BUSY_SIZES: [usize; 5] = [0, 100, 200, 400, 800];
/// Statements that the pooler sends to database servers have arrived there within this time.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of connections or statements between two checks of the guard.
const GUARD_INTERVAL: usize = 100;
/// Shorter than for idle connections: statements wait no longer than their timeout.
const BUSY_OBSERVATION_TIME: Duration = Duration::from_millis(400);

/// Connections that have sent one statement and are idle since; their number grows at one process.
pub(super) fn idle(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    let sizes = bench.sizes(&IDLE_SIZES);
    bench.guard.check_descriptors(largest(sizes))?;
    let members = bench.default_members();
    let setup = bench.setup(members, GROUP_SIZE)?;
    // One group, so that the memory of server connections is not attributed to client connections.
    let mix = Mix::short_reads(1);
    establish_primaries(bench, &setup)?;
    let mut connections: Vec<ClientConnection> = Vec::new();
    for &size in sizes {
        while connections.len() < size {
            let mut connection = ClientConnection::connect(setup.pooler.address)?;
            connection.query(&mix.statement_in(0, &mut bench.random))?;
            connections.push(connection);
            if connections.len().is_multiple_of(GUARD_INTERVAL) {
                bench.guard.check(&[setup.pooler.process])?;
            }
        }
        std::thread::sleep(SETTLE_TIME);
        let (sample, share) = setup.observe(OBSERVATION_TIME)?;
        report.add(Quantity::IdleClientMemory, size as f64, sample.anonymous as f64);
        report.add(Quantity::IdleClientProcessor, size as f64, share);
        bench.guard.check(&[setup.pooler.process])?;
    }
    let counters = setup.pooler.counters()?;
    if counters.closed_idle > 0 {
        report.note(format!("idle-clients: {} idle connections were closed", counters.closed_idle));
    }
    Ok(())
}

/// Connections whose statement was sent to a database server that does not answer yet.
pub(super) fn busy(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    let sizes = bench.sizes(&BUSY_SIZES);
    let members = bench.default_members();
    // Each client connection also has a server connection.
    bench.guard.check_descriptors(2 * largest(sizes) + members)?;
    let setup = bench.setup(members, GROUP_SIZE)?;
    let mix = Mix::typical(setup.servers.members.groups());
    establish_primaries(bench, &setup)?;
    std::thread::sleep(SETTLE_TIME);
    setup.servers.set_hold_answers(true);
    let mut connections: Vec<ClientConnection> = Vec::new();
    for &size in sizes {
        while connections.len() < size {
            let mut connection = ClientConnection::connect(setup.pooler.address)?;
            let group = connections.len() % mix.groups;
            connection.send(&mix.statement_in(group, &mut bench.random))?;
            connections.push(connection);
        }
        let held = wait_for_held(&setup, size);
        if held < size {
            report.note(format!("busy-clients: {held} of {size} statements were sent to a database server"));
        }
        let (sample, share) = setup.observe(BUSY_OBSERVATION_TIME)?;
        report.add(Quantity::BusyClientMemory, held as f64, sample.anonymous as f64);
        report.add(Quantity::BusyClientProcessor, held as f64, share);
        bench.guard.check(&[setup.pooler.process])?;
    }
    setup.servers.set_hold_answers(false);
    Ok(())
}

/// Waits until `size` statements wait at the database servers. Returns their number, which is lower if the
/// pooler queues some.
fn wait_for_held(setup: &Setup, size: usize) -> usize {
    let deadline = Instant::now() + ARRIVAL_TIMEOUT;
    while (setup.servers.held_count() as usize) < size && Instant::now() < deadline {
        std::thread::sleep(POLL_INTERVAL);
    }
    setup.servers.held_count() as usize
}

/// Sends one write to each group, so that the pooler knows the primaries.
pub(super) fn establish_primaries(bench: &mut Bench, setup: &Setup) -> Result<(), MeasureError> {
    let groups = setup.servers.members.groups();
    let mix = Mix::short_writes(groups);
    let mut connection = ClientConnection::connect(setup.pooler.address)?;
    for group in 0..groups {
        connection.query(&mix.statement_in(group, &mut bench.random))?;
        if group.is_multiple_of(GUARD_INTERVAL) {
            bench.guard.check(&[setup.pooler.process])?;
        }
    }
    Ok(())
}

fn largest(sizes: &[usize]) -> usize {
    sizes.iter().copied().max().unwrap_or(0)
}
