//! Report of a run: figures by fleet size with their deviation, curves fitted over the sizes, and failed
//! safety checks.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use measure::{Fit, Host, Point, Spread};
use serde::Serialize;

use crate::kinds::{Kind, Measurement};
use crate::layout::Distance;
use crate::protocol::Coordination;
use crate::traffic::{Direction, Traffic};

/// Fleet size for which the fits are evaluated; an extrapolation if it is beyond the measured sizes.
const TARGET_SIZE: f64 = 1_300.0;
/// Minimum number of sizes for a fit with a square term: one more than it has coefficients.
const MIN_SIZES_FOR_SQUARE: usize = 4;
/// Minimum number of sizes for a linear fit: one more than it has coefficients.
const MIN_SIZES_FOR_LINE: usize = 3;
/// Figures without fits: counts of the complete fleet, and indicators of the host's load.
const NOT_FITTED: [&str; 11] = [
    "arrivals",
    "busiest_control_processor_percent",
    "busiest_process_percent",
    "latest_timer_s",
    "lost",
    "reads_anywhere",
    "reads_at_primary",
    "writes_answered",
    "writes_answered_without",
    "writes_refused",
    "writes_refused_without",
];

/// Key of a section of the report.
type Section = (Coordination, Kind);

fn section_of(measurement: &Measurement) -> Section {
    (measurement.coordination, measurement.kind)
}

/// Report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// True if all planned measurements were made.
    pub complete: bool,
    /// What stopped the run, if the report is partial.
    pub stopped_by: Option<String>,
    /// The command line.
    pub command: String,
    /// The host of the run.
    pub machine: Host,
    /// Maximum resident memory of all processes of the run together, as sampled (bytes).
    pub peak_memory: u64,
    /// Maximum number of processes, including the command itself.
    pub peak_processes: usize,
    /// Duration of the run (seconds).
    pub seconds: f64,
    /// All measurements.
    pub measurements: Vec<Measurement>,
    /// Curves fitted over the sizes.
    pub fits: Vec<Fitted>,
}

/// Curves of one figure, fitted over the sizes and all repeats.
#[derive(Clone, Debug, Serialize)]
pub struct Fitted {
    /// The kind of run.
    pub kind: Kind,
    /// How the poolers learned about writes made through other poolers.
    pub coordination: Coordination,
    /// Name of the figure.
    pub figure: String,
    /// The measured values.
    pub points: Vec<Point>,
    /// A straight line.
    pub linear: Fit,
    /// A line with a square term, if there are enough sizes.
    pub square: Option<Fit>,
}

impl Report {
    /// Returns the failed safety checks, each with the measurement it belongs to.
    pub fn faults(&self) -> Vec<String> {
        let describe_faults = |m: &Measurement| {
            let location =
                format!("{}, {} at {} poolers, repeat {}", m.kind, m.coordination, m.size, m.repeat);
            m.faults.iter().map(move |fault| format!("{location}: {fault}")).collect::<Vec<_>>()
        };
        self.measurements.iter().flat_map(describe_faults).collect()
    }

    /// Returns the report in Markdown.
    pub fn markdown(&self) -> String {
        let mut text = String::from("# Scale run\n\n");
        if let Some(why) = &self.stopped_by {
            let _ = writeln!(text, "**This report is partial**: {why}.\n");
        }
        self.write_run_description(&mut text);
        for section in self.sections() {
            let (coordination, kind) = section;
            let _ = writeln!(text, "\n## {kind}, {coordination}\n");
            self.write_figures(section, &mut text);
            self.write_fits(section, &mut text);
            self.write_traffic(section, &mut text);
        }
        let faults = self.faults();
        let _ = writeln!(text, "\n## Safety\n");
        if faults.is_empty() {
            let _ = writeln!(text, "No check failed.");
        }
        faults.iter().for_each(|fault| {
            let _ = writeln!(text, "- {fault}");
        });
        text
    }

    fn write_run_description(&self, text: &mut String) {
        let host = &self.machine;
        let _ = writeln!(text, "Command: `{}`\n", self.command);
        let _ = writeln!(
            text,
            "Machine: {} cores of {}, {:.1} GB of memory, Linux {}. The run took {:.0} s, {} processes and {:.0} MB of \
             resident memory at the most.",
            host.cores,
            host.processor,
            host.memory as f64 / 1e9,
            host.kernel,
            self.seconds,
            self.peak_processes,
            self.peak_memory as f64 / 1e6
        );
        let _ = writeln!(
            text,
            "\nBytes are of the payload, without the headers of IP, UDP and TCP. Figures of traffic, processor and memory \
             are of one pooler; `processor_percent` is the share of one core."
        );
    }

    fn sections(&self) -> BTreeSet<Section> {
        self.measurements.iter().map(section_of).collect()
    }

    fn measurements_of(&self, section: Section) -> impl Iterator<Item = &Measurement> {
        self.measurements.iter().filter(move |measurement| section_of(measurement) == section)
    }

    /// Writes a row for each figure and a column for each size: the mean over the repeats and, with more than
    /// one, the deviation.
    fn write_figures(&self, section: Section, text: &mut String) {
        let sizes: BTreeSet<usize> =
            self.measurements_of(section).map(|measurement| measurement.size).collect();
        let names: BTreeSet<&String> =
            self.measurements_of(section).flat_map(|measurement| measurement.figures.keys()).collect();
        let headings: Vec<String> = sizes.iter().map(|size| format!("{size} poolers")).collect();
        let _ = writeln!(text, "| figure | {} |", headings.join(" | "));
        let _ = writeln!(text, "| --- |{}", " --- |".repeat(sizes.len()));
        for name in names {
            let cells: Vec<String> = sizes
                .iter()
                .map(|size| {
                    let at_size =
                        self.measurements_of(section).filter(|measurement| measurement.size == *size);
                    let values: Vec<f64> = at_size.filter_map(|m| m.figures.get(name).copied()).collect();
                    Spread::of(&values).map_or_else(String::new, |spread| format_spread(&spread))
                })
                .collect();
            let _ = writeln!(text, "| {name} | {} |", cells.join(" | "));
        }
    }

    fn write_fits(&self, section: Section, text: &mut String) {
        let of_section = |fitted: &&Fitted| (fitted.coordination, fitted.kind) == section;
        let fits: Vec<&Fitted> = self.fits.iter().filter(of_section).collect();
        if fits.is_empty() {
            return;
        }
        let _ = writeln!(
            text,
            "\nFitted over the sizes: the line's slope for one pooler more, the square term, each with its standard error, \
             and the residuals' deviation.\n"
        );
        let _ = writeln!(
            text,
            "| figure | slope | residuals | slope beside a square term | square term | residuals | line at {TARGET_SIZE} | curve at {TARGET_SIZE} |"
        );
        let _ = writeln!(text, "| --- | --- | --- | --- | --- | --- | --- | --- |");
        for fitted in fits {
            let _ = writeln!(text, "{}", fitted.row());
        }
    }

    /// Writes the messages and bytes of one pooler by kind, direction and distance, at the largest size.
    fn write_traffic(&self, section: Section, text: &mut String) {
        let Some(largest) = self.measurements_of(section).map(|measurement| measurement.size).max() else {
            return;
        };
        let measurements: Vec<&Measurement> =
            self.measurements_of(section).filter(|measurement| measurement.size == largest).collect();
        let mut mean = Traffic::default();
        measurements
            .iter()
            .for_each(|measurement| mean.add(&measurement.traffic.scaled(1.0 / measurements.len() as f64)));
        if mean.flows().next().is_none() {
            return;
        }
        let unit = if section.1 == Kind::Join { "until it had joined" } else { "a second" };
        let _ = writeln!(text, "\nTraffic of one pooler {unit} at {largest} poolers:\n");
        let _ = writeln!(text, "| message | direction | where | messages | bytes |");
        let _ = writeln!(text, "| --- | --- | --- | --- | --- |");
        for ((message, distance, direction), count) in mean.flows() {
            let _ = writeln!(
                text,
                "| {} | {} | {} | {} | {} |",
                message.name(),
                direction.name(),
                distance.name(),
                format_number(count.messages),
                format_number(count.bytes)
            );
        }
        for direction in [Direction::Sent, Direction::Received] {
            for distance in Distance::ALL {
                let sum = mean.sum(|(_, flow_distance, flow_direction)| {
                    *flow_distance == distance && *flow_direction == direction
                });
                let (messages, bytes) = (format_number(sum.messages), format_number(sum.bytes));
                let (direction, distance) = (direction.name(), distance.name());
                let _ = writeln!(text, "| all | {direction} | {distance} | {messages} | {bytes} |");
            }
        }
    }
}

impl Fitted {
    /// Fits curves to each figure of each section that has enough sizes.
    pub fn all(measurements: &[Measurement]) -> Vec<Fitted> {
        let mut points: BTreeMap<(Section, &String), Vec<Point>> = BTreeMap::new();
        for measurement in measurements {
            for (name, value) in measurement.figures.iter().filter(|(name, _)| is_fitted(name)) {
                let values = points.entry((section_of(measurement), name)).or_default();
                values.push(Point::new(measurement.size as f64, *value));
            }
        }
        points
            .into_iter()
            .filter_map(|((section, figure), points)| Fitted::of(section, figure, points))
            .collect()
    }

    fn of((coordination, kind): Section, figure: &str, points: Vec<Point>) -> Option<Fitted> {
        let mut sizes: Vec<u64> = points.iter().map(|point| point.size as u64).collect();
        sizes.sort_unstable();
        sizes.dedup();
        if sizes.len() < MIN_SIZES_FOR_LINE {
            return None;
        }
        let linear = Fit::linear(&points).ok()?;
        let square = (sizes.len() >= MIN_SIZES_FOR_SQUARE).then(|| Fit::square(&points).ok()).flatten();
        Some(Fitted { kind, coordination, figure: figure.to_string(), points, linear, square })
    }

    fn row(&self) -> String {
        let with_error = |coefficient: measure::Coefficient| {
            format!("{} ± {}", format_number(coefficient.value), format_number(coefficient.error))
        };
        let linear = &self.linear;
        let line = format!(
            "| {} | {} | {} |",
            self.figure,
            with_error(linear.slope),
            format_number(linear.residual_deviation)
        );
        let at_target = |fit: &Fit| {
            let note = if fit.extrapolates(TARGET_SIZE) { " (extrapolated)" } else { "" };
            format!("{}{note}", format_number(fit.value_at(TARGET_SIZE)))
        };
        match &self.square {
            Some(square) => format!(
                "{line} {} | {} | {} | {} | {} |",
                with_error(square.slope),
                square.square.map_or_else(String::new, with_error),
                format_number(square.residual_deviation),
                at_target(linear),
                at_target(square)
            ),
            None => format!("{line} | | | {} | |", at_target(linear)),
        }
    }
}

/// Returns true if curves are fitted to this figure.
fn is_fitted(figure: &str) -> bool {
    !NOT_FITTED.contains(&figure)
}

fn format_spread(spread: &Spread) -> String {
    match spread.count {
        1 => format_number(spread.mean),
        _ => format!("{} ± {}", format_number(spread.mean), format_number(spread.deviation)),
    }
}

/// Formats a number with about four significant digits.
fn format_number(value: f64) -> String {
    match value.abs() {
        _ if !value.is_finite() => String::from("unknown"),
        magnitude if magnitude >= 1_000.0 => format!("{value:.0}"),
        magnitude if magnitude >= 10.0 => format!("{value:.1}"),
        magnitude if magnitude >= 0.01 || magnitude == 0.0 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}
