//! The report of a run: figures by size with their spread, curves fitted over the sizes, what went against safety.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use measure::{Fit, Host, Point, Spread};
use serde::Serialize;

use crate::kinds::{Kind, Measurement};
use crate::layout::Distance;
use crate::protocol::Coordination;
use crate::traffic::{Direction, Traffic};

/// The size that the fits are carried to, as an extrapolation where it was not measured.
const TARGET: f64 = 1_300.0;
/// Sizes that a fit with a square term needs at the least: one more than it has coefficients.
const SIZES_OF_SQUARE: usize = 4;
const SIZES_OF_LINE: usize = 3;
/// Counts of a whole fleet, and signs of how busy the machine was.
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

/// What stands together in a report.
type Section = (Coordination, Kind);

fn section_of(measured: &Measurement) -> Section {
    (measured.coordination, measured.kind)
}

/// All of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Whether all that was planned was measured.
    pub complete: bool,
    /// What stopped the run, where it is partial.
    pub stopped_by: Option<String>,
    /// The command line.
    pub command: String,
    /// Where it ran.
    pub machine: Host,
    /// The most resident memory that the run's processes held together when it was looked at (bytes), and the most
    /// processes, the command itself included.
    pub peak_memory: u64,
    /// See above.
    pub peak_processes: usize,
    /// How long it took (seconds).
    pub seconds: f64,
    /// Each measurement.
    pub measurements: Vec<Measurement>,
    /// Curves over the sizes.
    pub fits: Vec<Fitted>,
}

/// Curves of one figure over the sizes, all repeats together.
#[derive(Clone, Debug, Serialize)]
pub struct Fitted {
    /// The kind of run.
    pub kind: Kind,
    /// How the poolers knew what sessions wrote at each other.
    pub coordination: Coordination,
    /// The figure.
    pub figure: String,
    /// What was measured.
    pub points: Vec<Point>,
    /// A straight line.
    pub linear: Fit,
    /// A line with a square term, where there are sizes enough.
    pub square: Option<Fit>,
}

impl Report {
    /// What went against safety, with where.
    pub fn faults(&self) -> Vec<String> {
        let of = |m: &Measurement| {
            let place = format!("{}, {} at {} poolers, repeat {}", m.kind, m.coordination, m.size, m.repeat);
            m.faults.iter().map(move |fault| format!("{place}: {fault}")).collect::<Vec<_>>()
        };
        self.measurements.iter().flat_map(of).collect()
    }

    /// The report as text in Markdown.
    pub fn markdown(&self) -> String {
        let mut text = String::from("# Scale run\n\n");
        if let Some(why) = &self.stopped_by {
            let _ = writeln!(text, "**This report is partial**: {why}.\n");
        }
        self.describe(&mut text);
        for section in self.sections() {
            let (coordination, kind) = section;
            let _ = writeln!(text, "\n## {kind}, {coordination}\n");
            self.figures(section, &mut text);
            self.fitted(section, &mut text);
            self.traffic(section, &mut text);
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

    fn describe(&self, text: &mut String) {
        let machine = &self.machine;
        let _ = writeln!(text, "Command: `{}`\n", self.command);
        let _ = writeln!(
            text,
            "Machine: {} cores of {}, {:.1} GB of memory, Linux {}. The run took {:.0} s, {} processes and {:.0} MB of \
             resident memory at the most.",
            machine.cores,
            machine.processor,
            machine.memory as f64 / 1e9,
            machine.kernel,
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

    fn of(&self, section: Section) -> impl Iterator<Item = &Measurement> {
        self.measurements.iter().filter(move |measured| section_of(measured) == section)
    }

    /// A line for each figure, a column for each size: the mean over repeats and, with several, its deviation.
    fn figures(&self, section: Section, text: &mut String) {
        let sizes: BTreeSet<usize> = self.of(section).map(|measured| measured.size).collect();
        let names: BTreeSet<&String> =
            self.of(section).flat_map(|measured| measured.figures.keys()).collect();
        let heads: Vec<String> = sizes.iter().map(|size| format!("{size} poolers")).collect();
        let _ = writeln!(text, "| figure | {} |", heads.join(" | "));
        let _ = writeln!(text, "| --- |{}", " --- |".repeat(sizes.len()));
        for name in names {
            let cells: Vec<String> = sizes
                .iter()
                .map(|size| {
                    let at_size = self.of(section).filter(|measured| measured.size == *size);
                    let values: Vec<f64> = at_size.filter_map(|m| m.figures.get(name).copied()).collect();
                    Spread::of(&values).map_or_else(String::new, |spread| shown(&spread))
                })
                .collect();
            let _ = writeln!(text, "| {name} | {} |", cells.join(" | "));
        }
    }

    fn fitted(&self, section: Section, text: &mut String) {
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
            "| figure | slope | residuals | slope beside a square term | square term | residuals | line at {TARGET} | curve at {TARGET} |"
        );
        let _ = writeln!(text, "| --- | --- | --- | --- | --- | --- | --- | --- |");
        for fitted in fits {
            let _ = writeln!(text, "{}", fitted.row());
        }
    }

    /// Messages and bytes a second of a pooler by kind, direction and distance, at the largest size.
    fn traffic(&self, section: Section, text: &mut String) {
        let Some(largest) = self.of(section).map(|measured| measured.size).max() else { return };
        let at_largest: Vec<&Measurement> =
            self.of(section).filter(|measured| measured.size == largest).collect();
        let mut mean = Traffic::default();
        at_largest
            .iter()
            .for_each(|measured| mean.add(&measured.traffic.scaled(1.0 / at_largest.len() as f64)));
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
                number(count.messages),
                number(count.bytes)
            );
        }
        for direction in [Direction::Sent, Direction::Received] {
            for distance in Distance::ALL {
                let sum = mean.sum(|(_, way, of)| *way == distance && *of == direction);
                let (messages, bytes) = (number(sum.messages), number(sum.bytes));
                let (direction, distance) = (direction.name(), distance.name());
                let _ = writeln!(text, "| all | {direction} | {distance} | {messages} | {bytes} |");
            }
        }
    }
}

impl Fitted {
    /// Curves over the measurements of each kind and figure that has sizes enough.
    pub fn all(measurements: &[Measurement]) -> Vec<Fitted> {
        let mut points: BTreeMap<(Section, &String), Vec<Point>> = BTreeMap::new();
        for measured in measurements {
            for (name, value) in measured.figures.iter().filter(|(name, _)| is_fitted(name)) {
                let of = points.entry((section_of(measured), name)).or_default();
                of.push(Point::new(measured.size as f64, *value));
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
        if sizes.len() < SIZES_OF_LINE {
            return None;
        }
        let linear = Fit::linear(&points).ok()?;
        let square = (sizes.len() >= SIZES_OF_SQUARE).then(|| Fit::square(&points).ok()).flatten();
        Some(Fitted { kind, coordination, figure: figure.to_string(), points, linear, square })
    }

    fn row(&self) -> String {
        let error = |of: measure::Coefficient| format!("{} ± {}", number(of.value), number(of.error));
        let linear = &self.linear;
        let line =
            format!("| {} | {} | {} |", self.figure, error(linear.slope), number(linear.residual_deviation));
        let target = |fit: &Fit| {
            let mark = if fit.extrapolates(TARGET) { " (extrapolated)" } else { "" };
            format!("{}{mark}", number(fit.value_at(TARGET)))
        };
        match &self.square {
            Some(square) => format!(
                "{line} {} | {} | {} | {} | {} |",
                error(square.slope),
                square.square.map_or_else(String::new, error),
                number(square.residual_deviation),
                target(linear),
                target(square)
            ),
            None => format!("{line} | | | {} | |", target(linear)),
        }
    }
}

/// Whether a figure is one whose growth with the size says something.
fn is_fitted(figure: &str) -> bool {
    !NOT_FITTED.contains(&figure)
}

fn shown(spread: &Spread) -> String {
    match spread.count {
        1 => number(spread.mean),
        _ => format!("{} ± {}", number(spread.mean), number(spread.deviation)),
    }
}

/// A number with some four significant digits.
fn number(value: f64) -> String {
    match value.abs() {
        _ if !value.is_finite() => String::from("unknown"),
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.01 || size == 0.0 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}
