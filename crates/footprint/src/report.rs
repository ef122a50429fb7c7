//! Results of the runs: points, lines fitted through them, and their output as text or JSON.

use crate::error::file_error;
use crate::MeasureError;
use measure::{Coefficient, Fit, Host, Point, Spread};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// Two slopes agree if they differ by at most this many combined standard errors, as about 95% of repeats do.
const AGREEMENT: f64 = 2.0;

/// A measured quantity.
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

/// Name, units and target size of a quantity.
pub struct Definition {
    pub name: &'static str,
    /// Unit of the slope and of scaled values.
    pub unit: &'static str,
    /// Factor that converts a measured value to `unit`.
    pub scale: f64,
    /// What a size counts.
    pub per: &'static str,
    /// Size for one of 1,300 poolers with 1,600 database servers.
    pub target: f64,
}

/// Client connections of a pooler at the target size.
const TARGET_CLIENTS: f64 = 4_385.0;
/// Statements per second of a pooler at the target size.
const TARGET_STATEMENTS: f64 = 2_692.0;
/// Database servers at the target size.
const TARGET_DATABASES: f64 = 1_600.0;
/// Changes of configuration per day at the target size.
const TARGET_CONFIGURATIONS: f64 = 1_900.0;
/// Statements that wait for a database server at a time, at 10 ms each.
const TARGET_WAITING: f64 = 27.0;
/// Probes per second of a pooler at the target size that no read causes: 200 database servers of its zone,
/// each once in 975 s.
const TARGET_PROBES: f64 = 0.205;
/// Changes of the list when one of eight zones fails or returns.
const TARGET_LIST_CHANGES: f64 = 200.0;

impl Quantity {
    /// Name, units and target size.
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

/// All points so far, and the reason if a run ended early.
#[derive(Default)]
pub struct Report {
    points: BTreeMap<Quantity, Vec<Point>>,
    /// Remarks on the runs: statements that failed, sizes not reached.
    notes: Vec<String>,
    partial: Option<String>,
}

/// The spread over the repeats at one size.
#[derive(Clone, Debug, Serialize)]
pub struct SizeSpread {
    pub size: f64,
    pub spread: Spread,
}

/// A quantity with the lines fitted through its points, in the unit of its definition.
#[derive(Clone, Debug, Serialize)]
pub struct Fitted {
    pub name: &'static str,
    pub unit: &'static str,
    pub per: &'static str,
    pub linear: Fit,
    /// None if there are too few sizes.
    pub square: Option<Fit>,
    pub sizes: Vec<SizeSpread>,
    pub target: f64,
    /// Value of the linear fit at the target size of one pooler.
    pub at_target: f64,
    /// Whether the target size is outside of the measured range.
    pub extrapolated: bool,
}

#[derive(Serialize)]
struct Document<'a> {
    #[serde(rename = "machine")]
    host: &'a Host,
    seed: u64,
    repeats: usize,
    partial: &'a Option<String>,
    notes: &'a [String],
    quantities: Vec<Fitted>,
}

impl Report {
    /// Adds one measurement.
    pub fn add(&mut self, quantity: Quantity, size: f64, value: f64) {
        self.points.entry(quantity).or_default().push(Point::new(size, value));
    }

    /// Adds a remark.
    pub fn note(&mut self, text: String) {
        self.notes.push(text);
    }

    /// Marks the report as partial, with the cause.
    pub fn record_early_end(&mut self, cause: &MeasureError) {
        self.partial = Some(cause.to_string());
    }

    /// Returns true if a run ended early.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    /// The fitted lines; omits quantities with too few points.
    pub fn fitted(&self) -> Vec<Fitted> {
        self.points.iter().filter_map(|(quantity, points)| fit_quantity(*quantity, points)).collect()
    }

    /// The report as JSON.
    pub fn json(&self, host: &Host, seed: u64, repeats: usize) -> String {
        let (partial, notes, quantities) = (&self.partial, &self.notes[..], self.fitted());
        let document = Document { host, seed, repeats, partial, notes, quantities };
        serde_json::to_string_pretty(&document).unwrap_or_default()
    }

    /// The report as text.
    pub fn text(&self, host: &Host, seed: u64, repeats: usize) -> String {
        let mut lines = vec![format!("machine: {host}"), format!("seed {seed}, {repeats} repeats")];
        lines.extend(self.fitted().iter().map(Fitted::to_string));
        lines.extend(self.notes.iter().map(|note| format!("note: {note}")));
        lines.extend(self.partial.iter().map(|cause| format!("PARTIAL: {cause}")));
        lines.join("\n")
    }
}

fn fit_quantity(quantity: Quantity, points: &[Point]) -> Option<Fitted> {
    let Definition { name, unit, scale, per, target } = quantity.definition();
    let scaled: Vec<Point> = points.iter().map(|point| Point::new(point.size, point.value * scale)).collect();
    let linear = Fit::linear(&scaled).ok()?;
    let (at_target, extrapolated) = (linear.value_at(target), linear.extrapolates(target));
    let square = Fit::square(&scaled).ok();
    Some(Fitted {
        name,
        unit,
        per,
        linear,
        square,
        sizes: spread_by_size(&scaled),
        target,
        at_target,
        extrapolated,
    })
}

/// The spread of the values at each size. A size that is itself measured, such as an achieved rate, has one
/// value.
fn spread_by_size(points: &[Point]) -> Vec<SizeSpread> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|a, b| a.size.total_cmp(&b.size));
    let same = sorted.chunk_by(|a, b| a.size == b.size);
    let spread = |points: &[Point]| {
        let values: Vec<f64> = points.iter().map(|point| point.value).collect();
        Spread::of(&values).map(|spread| SizeSpread { size: points[0].size, spread })
    };
    same.filter_map(spread).collect()
}

impl fmt::Display for Fitted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fitted { name, unit, per, linear, target, at_target, .. } = self;
        let (min, max) = linear.range;
        write!(formatter, "{name}: {} {unit} per {per}; ", linear.slope)?;
        write!(formatter, "intercept {}; ", linear.intercept)?;
        write!(formatter, "{} points from {min:.0} to {max:.0}; ", linear.residuals.len())?;
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

/// The slopes of one quantity in two reports.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    pub name: String,
    pub first: Coefficient,
    pub second: Coefficient,
    /// Whether the slopes differ by at most [`AGREEMENT`] combined standard errors.
    pub agree: bool,
}

impl fmt::Display for Comparison {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Comparison { name, first, second, agree } = self;
        let verdict = if *agree { "agree" } else { "DIFFER" };
        let combined_errors = (first.value - second.value).abs() / first.error.hypot(second.error);
        write!(formatter, "{name}: {first}, {second}: {verdict} ({combined_errors:.1} combined errors apart)")
    }
}

/// Compares the slopes of the quantities that both JSON reports contain.
pub fn compare(first: &Path, second: &Path) -> Result<Vec<Comparison>, MeasureError> {
    let (first, second) = (slopes(first)?, slopes(second)?);
    let comparisons = first.into_iter().filter_map(|(name, first)| {
        let second = *second.get(&name)?;
        Some(Comparison { agree: first.agrees_with(&second, AGREEMENT), name, first, second })
    });
    Ok(comparisons.collect())
}

fn slopes(path: &Path) -> Result<BTreeMap<String, Coefficient>, MeasureError> {
    let text = std::fs::read_to_string(path).map_err(file_error(path))?;
    let invalid = |cause: &str| MeasureError::Report { path: path.into(), cause: cause.into() };
    let document: Value = serde_json::from_str(&text).map_err(|error| invalid(&error.to_string()))?;
    let quantities = document["quantities"].as_array().ok_or_else(|| invalid("no 'quantities'"))?;
    let slope = |quantity: &Value| {
        let slope = &quantity["linear"]["slope"];
        let (value, error) = (slope["value"].as_f64()?, slope["error"].as_f64()?);
        Some((quantity["name"].as_str()?.to_string(), Coefficient { value, error }))
    };
    // A fit with as many points as coefficients has no error, so it cannot be compared.
    let has_error = |quantity: &&Value| !quantity["linear"]["slope"]["error"].is_null();
    let compared = quantities.iter().filter(has_error);
    compared
        .map(|quantity| slope(quantity).ok_or_else(|| invalid("a quantity without name or slope")))
        .collect()
}
