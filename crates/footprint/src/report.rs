//! What the runs found: points, lines through them, and how they are printed.

use crate::error::file;
use crate::MeasureError;
use measure::{Coefficient, Fit, Host, Point, Spread};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// Two slopes agree where they differ by no more than this many of their combined standard errors: some 95% of repeats.
const AGREEMENT: f64 = 2.0;

/// What is measured, by the name that it has in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    IdleClientMemory,
    IdleClientProcessor,
    BusyClientMemory,
    BusyClientProcessor,
    StatementProcessor,
    StatementMemory,
    StatementProcessorByList,
    ListedDatabaseMemory,
    ListedDatabaseProcessor,
    StartProcessor,
    DatabaseConnectionMemory,
    DatabaseConnectionProcessor,
    ProbeProcessor,
    WholeListProcessor,
    WholeListBytes,
    ListChangeProcessor,
    ListChangeBytes,
    ConfigurationProcessor,
    ConfigurationBytes,
}

/// How a quantity is printed and what it is worked out for.
pub struct Definition {
    pub name: &'static str,
    /// The unit of the slope, after its unit prefix was applied.
    pub unit: &'static str,
    /// What values are multiplied by to come to that unit.
    pub scale: f64,
    /// What the sizes count.
    pub per: &'static str,
    /// The size at 1,300 poolers before 1,600 databases, of one pooler.
    pub target: f64,
}

/// Client connections of a pooler at the target size.
const TARGET_CLIENTS: f64 = 4_385.0;
/// Statements a second of a pooler at the target size.
const TARGET_STATEMENTS: f64 = 2_692.0;
/// Databases at the target size.
const TARGET_DATABASES: f64 = 1_600.0;
/// Changes of configuration a day at the target size.
const TARGET_CONFIGURATIONS: f64 = 1_900.0;
/// Statements that wait for a database at a time, at 10 ms each.
const TARGET_WAITING: f64 = 27.0;
/// Probes a second of a pooler at the target size that no read needs: 200 databases of its zone, each in 975 s.
const TARGET_PROBES: f64 = 0.205;
/// Changes of the list when a zone of eight is lost or comes back.
const TARGET_LIST_CHANGES: f64 = 200.0;

impl Quantity {
    /// How this one is printed.
    pub fn definition(self) -> Definition {
        let define = |name, unit, scale, per, target| Definition { name, unit, scale, per, target };
        const MICRO: f64 = 1e6;
        match self {
            Quantity::IdleClientMemory => {
                define("idle-client.memory", "bytes", 1.0, "idle client connection", TARGET_CLIENTS)
            }
            Quantity::IdleClientProcessor => {
                define("idle-client.processor", "us/s", MICRO, "idle client connection", TARGET_CLIENTS)
            }
            Quantity::BusyClientMemory => define(
                "busy-client.memory",
                "bytes",
                1.0,
                "client whose statement waits, with its database connection",
                TARGET_WAITING,
            ),
            Quantity::BusyClientProcessor => {
                define("busy-client.processor", "us/s", MICRO, "client whose statement waits", TARGET_WAITING)
            }
            Quantity::StatementProcessor => {
                define("statement.processor", "us", MICRO, "statement", TARGET_STATEMENTS)
            }
            Quantity::StatementMemory => {
                define("statement.memory", "bytes", 1.0, "statement a second", TARGET_STATEMENTS)
            }
            Quantity::StatementProcessorByList => define(
                "statement.processor-by-list",
                "us a statement",
                MICRO,
                "listed database",
                TARGET_DATABASES,
            ),
            Quantity::ListedDatabaseMemory => {
                define("listed-database.memory", "bytes", 1.0, "listed database", TARGET_DATABASES)
            }
            Quantity::ListedDatabaseProcessor => {
                define("listed-database.processor", "us/s", MICRO, "listed database, idle", TARGET_DATABASES)
            }
            Quantity::StartProcessor => {
                define("start.processor", "us", MICRO, "listed database at a start", TARGET_DATABASES)
            }
            Quantity::DatabaseConnectionMemory => define(
                "database-connection.memory",
                "bytes",
                1.0,
                "idle connection to a database",
                TARGET_DATABASES,
            ),
            Quantity::DatabaseConnectionProcessor => define(
                "database-connection.processor",
                "us/s",
                MICRO,
                "idle connection to a database",
                TARGET_DATABASES,
            ),
            Quantity::ProbeProcessor => define("probe.processor", "us", MICRO, "probe", TARGET_PROBES),
            Quantity::WholeListProcessor => {
                define("whole-list.processor", "us", MICRO, "database in a whole list", TARGET_DATABASES)
            }
            Quantity::WholeListBytes => {
                define("whole-list.bytes", "bytes", 1.0, "database in a whole list", TARGET_DATABASES)
            }
            Quantity::ListChangeProcessor => {
                define("list-change.processor", "us", MICRO, "change of the list", TARGET_LIST_CHANGES)
            }
            Quantity::ListChangeBytes => {
                define("list-change.bytes", "bytes", 1.0, "change of the list", TARGET_LIST_CHANGES)
            }
            Quantity::ConfigurationProcessor => define(
                "configuration.processor",
                "us",
                MICRO,
                "change of configuration",
                TARGET_CONFIGURATIONS,
            ),
            Quantity::ConfigurationBytes => {
                define("configuration.bytes", "bytes", 1.0, "change of configuration", TARGET_CONFIGURATIONS)
            }
        }
    }
}

/// All points so far, and why there are no more where the run ended early.
#[derive(Default)]
pub struct Report {
    points: BTreeMap<Quantity, Vec<Point>>,
    /// What is worth knowing of a run beside its points: statements refused, sizes not reached.
    notes: Vec<String>,
    partial: Option<String>,
}

/// The spread over the repeats at one size.
#[derive(Clone, Debug, Serialize)]
pub struct SizeSpread {
    pub size: f64,
    pub spread: Spread,
}

/// A quantity with the lines through its points, in the unit of its definition.
#[derive(Clone, Debug, Serialize)]
pub struct Fitted {
    pub name: &'static str,
    pub unit: &'static str,
    pub per: &'static str,
    pub linear: Fit,
    /// None where there are too few sizes.
    pub square: Option<Fit>,
    pub sizes: Vec<SizeSpread>,
    pub target: f64,
    /// The linear fit at the target size, of one pooler.
    pub at_target: f64,
    /// Whether the target lies outside of what was measured.
    pub extrapolated: bool,
}

#[derive(Serialize)]
struct Document<'a> {
    machine: &'a Host,
    seed: u64,
    repeats: usize,
    partial: &'a Option<String>,
    notes: &'a [String],
    quantities: Vec<Fitted>,
}

impl Report {
    /// Takes one measurement.
    pub fn add(&mut self, quantity: Quantity, size: f64, value: f64) {
        self.points.entry(quantity).or_default().push(Point::new(size, value));
    }

    /// Takes a remark.
    pub fn note(&mut self, text: String) {
        self.notes.push(text);
    }

    /// Says that the report is partial, and why.
    pub fn record_early_end(&mut self, cause: &MeasureError) {
        self.partial = Some(cause.to_string());
    }

    /// Whether the run ended early.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    /// The lines through all points; a quantity with too few is left out.
    pub fn fitted(&self) -> Vec<Fitted> {
        self.points.iter().filter_map(|(quantity, points)| fitted(*quantity, points)).collect()
    }

    /// The whole report as JSON.
    pub fn json(&self, machine: &Host, seed: u64, repeats: usize) -> String {
        let (partial, notes, quantities) = (&self.partial, &self.notes[..], self.fitted());
        let document = Document { machine, seed, repeats, partial, notes, quantities };
        serde_json::to_string_pretty(&document).unwrap_or_default()
    }

    /// The whole report for people.
    pub fn text(&self, machine: &Host, seed: u64, repeats: usize) -> String {
        let mut lines = vec![format!("machine: {machine}"), format!("seed {seed}, {repeats} repeats")];
        lines.extend(self.fitted().iter().map(Fitted::to_string));
        lines.extend(self.notes.iter().map(|note| format!("note: {note}")));
        lines.extend(self.partial.iter().map(|cause| format!("PARTIAL: {cause}")));
        lines.join("\n")
    }
}

fn fitted(quantity: Quantity, points: &[Point]) -> Option<Fitted> {
    let Definition { name, unit, scale, per, target } = quantity.definition();
    let scaled: Vec<Point> = points.iter().map(|point| Point::new(point.size, point.value * scale)).collect();
    let linear = Fit::linear(&scaled).ok()?;
    let (at_target, extrapolated) = (linear.value_at(target), linear.extrapolates(target));
    let square = Fit::square(&scaled).ok();
    Some(Fitted { name, unit, per, linear, square, sizes: spreads(&scaled), target, at_target, extrapolated })
}

/// The spread at each size; sizes that were measured (a rate that was reached) stand alone.
fn spreads(points: &[Point]) -> Vec<SizeSpread> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|one, other| one.size.total_cmp(&other.size));
    let same = sorted.chunk_by(|one, other| one.size == other.size);
    let spread = |points: &[Point]| {
        let values: Vec<f64> = points.iter().map(|point| point.value).collect();
        Spread::of(&values).map(|spread| SizeSpread { size: points[0].size, spread })
    };
    same.filter_map(spread).collect()
}

impl fmt::Display for Fitted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fitted { name, unit, per, linear, target, at_target, .. } = self;
        let (least, most) = linear.range;
        write!(formatter, "{name}: {} {unit} per {per}; ", linear.slope)?;
        write!(formatter, "intercept {}; ", linear.intercept)?;
        write!(formatter, "{} points from {least:.0} to {most:.0}; ", linear.residuals.len())?;
        write!(formatter, "residuals ± {:.4}; ", linear.residual_deviation)?;
        match self.square.as_ref().and_then(|fit| fit.square) {
            Some(square) if square.differs_from_zero(AGREEMENT) => {
                write!(formatter, "square term {square}; ")?
            }
            Some(_) => write!(formatter, "no square term beyond its error; ")?,
            None => {}
        }
        let extrapolated = if self.extrapolated { ", extrapolated" } else { "" };
        write!(formatter, "at {target} {at_target:.1} {unit}{extrapolated}")
    }
}

/// A slope of two reports.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    pub name: String,
    pub first: Coefficient,
    pub second: Coefficient,
    /// Whether they differ by no more than twice their combined standard error.
    pub agree: bool,
}

impl fmt::Display for Comparison {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Comparison { name, first, second, agree } = self;
        let verdict = if *agree { "agree" } else { "DIFFER" };
        let errors = (first.value - second.value).abs() / first.error.hypot(second.error);
        write!(formatter, "{name}: {first}, {second}: {verdict} ({errors:.1} combined errors apart)")
    }
}

/// Compares the slopes of two reports in JSON, by the names that both have.
pub fn compare(first: &Path, second: &Path) -> Result<Vec<Comparison>, MeasureError> {
    let (first, second) = (slopes(first)?, slopes(second)?);
    let both = first.into_iter().filter_map(|(name, first)| {
        let second = *second.get(&name)?;
        Some(Comparison { agree: first.agrees_with(&second, AGREEMENT), name, first, second })
    });
    Ok(both.collect())
}

fn slopes(path: &Path) -> Result<BTreeMap<String, Coefficient>, MeasureError> {
    let text = std::fs::read_to_string(path).map_err(file(path))?;
    let wrong = |cause: &str| MeasureError::Report { path: path.into(), cause: cause.into() };
    let document: Value = serde_json::from_str(&text).map_err(|error| wrong(&error.to_string()))?;
    let quantities = document["quantities"].as_array().ok_or_else(|| wrong("no 'quantities'"))?;
    let slope = |quantity: &Value| {
        let slope = &quantity["linear"]["slope"];
        let (value, error) = (slope["value"].as_f64()?, slope["error"].as_f64()?);
        Some((quantity["name"].as_str()?.to_string(), Coefficient { value, error }))
    };
    // With as many points as coefficients there is no error, and nothing to compare.
    let has_error = |quantity: &&Value| !quantity["linear"]["slope"]["error"].is_null();
    let compared = quantities.iter().filter(has_error);
    compared
        .map(|quantity| slope(quantity).ok_or_else(|| wrong("a quantity without name or slope")))
        .collect()
}
