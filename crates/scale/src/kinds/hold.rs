//! Measures the cost of control per pooler while nothing happens except the modelled load.

use super::{Kind, Measurement, MICROS_PER_SECOND};
use crate::error::{ScaleError, MAX_PROCESS_PERCENT, MAX_TIMER_DELAY};
use crate::fleet::{Fleet, FleetSample, Interval};
use crate::layout::Distance;
use crate::traffic::Direction;

/// Time before the measurement begins (seconds), so that it doesn't include the effects of the start.
const STABILIZATION_TIME: f64 = 2.0;

/// Measures the fleet for the time `--window`.
pub fn run(fleet: &mut Fleet, repeat: usize) -> Result<Measurement, ScaleError> {
    let mut measurement = Measurement::new(Kind::Hold, fleet, repeat);
    fleet.wait(STABILIZATION_TIME)?;
    let before = fleet.sample()?;
    fleet.wait(fleet.run.options.window)?;
    let after = fleet.sample()?;
    let interval = fleet.interval(&before, &after);
    let busy_percent = 100.0 * interval.busiest_process_s / interval.seconds;
    let overloaded = after.latest_timer_s > MAX_TIMER_DELAY || busy_percent > MAX_PROCESS_PERCENT;
    if overloaded && !fleet.run.options.counts_only {
        let (size, late_s) = (fleet.size, after.latest_timer_s);
        return Err(ScaleError::Overloaded { size, late_s, busy_percent });
    }
    measurement.record("busiest_process_percent", busy_percent);
    record_hollow(&mut measurement, fleet.hollow_poolers().len(), &interval);
    record_real(&mut measurement, &interval);
    measurement.record("latest_timer_s", after.latest_timer_s);
    record_control(&mut measurement, &interval);
    if fleet.run.options.requests > 0.0 {
        record_load(&mut measurement, &before, &after);
    }
    measurement.check_lists(fleet)?;
    Ok(measurement)
}

fn record_hollow(measurement: &mut Measurement, poolers: usize, interval: &Interval) {
    if poolers == 0 {
        return;
    }
    let per_pooler = 1.0 / (poolers as f64 * interval.seconds);
    measurement.traffic = interval.traffic.scaled(per_pooler);
    for direction in [Direction::Sent, Direction::Received] {
        let all = interval.traffic.sum(|(_, _, flow_direction)| *flow_direction == direction);
        measurement.record(&format!("{}_bytes_per_s", direction.name()), all.bytes * per_pooler);
        measurement.record(&format!("{}_messages_per_s", direction.name()), all.messages * per_pooler);
        for distance in Distance::ALL {
            let at_distance = interval.traffic.sum(|(_, flow_distance, flow_direction)| {
                *flow_direction == direction && *flow_distance == distance
            });
            let name = format!("{}_{}_bytes_per_s", direction.name(), distance.name().replace(' ', "_"));
            measurement.record(&name, at_distance.bytes * per_pooler);
        }
    }
    measurement.record("processor_percent", 100.0 * interval.hollow_processor_s * per_pooler);
    measurement.record("memory_bytes", interval.hollow_memory / poolers as f64);
}

fn record_real(measurement: &mut Measurement, interval: &Interval) {
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    if interval.real_processor_s.is_empty() {
        return;
    }
    measurement.record("real_processor_percent", 100.0 * mean(&interval.real_processor_s) / interval.seconds);
    let (anonymous, resident): (Vec<f64>, Vec<f64>) = interval.real_memory.iter().copied().unzip();
    measurement.record("real_memory_bytes", mean(&anonymous));
    measurement.record("real_resident_bytes", mean(&resident));
    if !interval.real_bytes.is_empty() {
        let (sent, received): (Vec<f64>, Vec<f64>) = interval.real_bytes.iter().copied().unzip();
        measurement.record("real_sent_bytes_per_s", mean(&sent) / interval.seconds);
        measurement.record("real_received_bytes_per_s", mean(&received) / interval.seconds);
    }
}

/// Records the cost of one control instance. Its traffic is what all poolers counted, in the opposite
/// direction.
fn record_control(measurement: &mut Measurement, interval: &Interval) {
    let count = interval.control_processor_s.len() as f64;
    if count == 0.0 {
        return;
    }
    let percent = |seconds: f64| 100.0 * seconds / interval.seconds;
    let all: f64 = interval.control_processor_s.iter().sum();
    let busiest = interval.control_processor_s.iter().copied().fold(0.0, f64::max);
    measurement.record("control_processor_percent", percent(all / count));
    measurement.record("busiest_control_processor_percent", percent(busiest));
    measurement.record("control_memory_bytes", interval.control_memory.iter().sum::<f64>() / count);
    let per_instance = 1.0 / (count * interval.seconds);
    for (name, direction) in [("sent", Direction::Received), ("received", Direction::Sent)] {
        let sum = interval
            .traffic
            .sum(|(kind, _, flow_direction)| kind.is_with_control() && *flow_direction == direction);
        measurement.record(&format!("control_{name}_bytes_per_s"), sum.bytes * per_instance);
        measurement.record(&format!("control_{name}_messages_per_s"), sum.messages * per_instance);
    }
}

fn record_load(measurement: &mut Measurement, before: &FleetSample, after: &FleetSample) {
    let (earlier, later) = (&before.load, &after.load);
    let waits: Vec<f64> = later.waits_us.iter().map(|wait| *wait as f64 / MICROS_PER_SECOND).collect();
    measurement.record_times("write_waits", &waits);
    let arrivals: Vec<f64> = later.arrivals_us.iter().map(|wait| *wait as f64 / MICROS_PER_SECOND).collect();
    measurement.record_times("arrival_waits", &arrivals);
    measurement.record("arrivals", arrivals.len() as f64);
    measurement.record("writes_answered", (later.answered - earlier.answered) as f64);
    measurement.record("writes_refused", (later.refused - earlier.refused) as f64);
    measurement.record("reads_anywhere", (later.reads_anywhere - earlier.reads_anywhere) as f64);
    measurement.record("reads_at_primary", (later.reads_at_primary - earlier.reads_at_primary) as f64);
    measurement.check(later.stale == 0, || {
        format!("{} reads might have missed a write of their session", later.stale)
    });
    measurement.check(later.answered > earlier.answered, || String::from("no write was answered"));
}
