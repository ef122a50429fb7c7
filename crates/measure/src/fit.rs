//! Ordinary least squares in one variable: a straight line, or a line with a square term.

use serde::Serialize;
use std::fmt;

/// A pivot below this share of the largest entry of the matrix counts as zero: the sizes do not determine the
/// model.
const SINGULAR: f64 = 1e-12;

/// One measurement: the size of the run and the measured value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

impl Point {
    pub fn new(size: f64, value: f64) -> Point {
        Point { size, value }
    }
}

/// The model of the curve to fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Model {
    /// `intercept + slope * size`
    Linear,
    /// `intercept + slope * size + square * size^2`
    Square,
}

impl Model {
    /// Returns the number of coefficients.
    pub fn terms(self) -> usize {
        match self {
            Model::Linear => 2,
            Model::Square => 3,
        }
    }
}

/// A coefficient and its standard error, both in the unit of the value over the unit of the term.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Coefficient {
    pub value: f64,
    /// Not finite if there are as many points as coefficients, since no degree of freedom is left to estimate
    /// it.
    pub error: f64,
}

impl Coefficient {
    /// Returns true if this and `other` differ by at most `errors` times their combined standard error.
    pub fn agrees_with(&self, other: &Coefficient, errors: f64) -> bool {
        (self.value - other.value).abs() <= errors * self.error.hypot(other.error)
    }

    /// Returns true if the coefficient is further from zero than `errors` times its standard error.
    pub fn differs_from_zero(&self, errors: f64) -> bool {
        self.value.abs() > errors * self.error
    }
}

impl fmt::Display for Coefficient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ± {}", significant(self.value), significant(self.error))
    }
}

/// Formats a value with four significant digits, without an exponent for magnitudes from 1e-4 to below 1e8.
fn significant(value: f64) -> String {
    const DIGITS: i32 = 4;
    if value == 0.0 || !value.is_finite() {
        return value.to_string();
    }
    let magnitude = value.abs().log10().floor() as i32;
    if (-4..8).contains(&magnitude) {
        let decimals = (DIGITS - 1 - magnitude).max(0) as usize;
        return format!("{value:.decimals$}");
    }
    format!("{value:.3e}")
}

/// The reason why no curve can be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FitError {
    /// There are fewer points than coefficients.
    TooFewPoints { points: usize, needed: usize },
    /// The points have fewer different sizes than there are coefficients.
    TooFewSizes { needed: usize },
    /// A size or a value is not a finite number.
    NotFinite,
}

impl fmt::Display for FitError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FitError::TooFewPoints { points, needed } => {
                write!(formatter, "{points} points are too few for a fit of {needed} coefficients")
            }
            FitError::TooFewSizes { needed } => {
                write!(formatter, "a fit of {needed} coefficients needs as many different sizes")
            }
            FitError::NotFinite => write!(formatter, "a size or a value is not a finite number"),
        }
    }
}

impl std::error::Error for FitError {}

/// A curve fitted to points, with the quality of the fit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    pub model: Model,
    pub intercept: Coefficient,
    pub slope: Coefficient,
    /// Set only if the model has a square term.
    pub square: Option<Coefficient>,
    /// The distance of each point above the curve, in the order of the points.
    pub residuals: Vec<f64>,
    /// The standard deviation of the residuals, with the remaining degrees of freedom.
    pub residual_deviation: f64,
    /// The share of the values' variance that the curve explains (R squared), or 1 if the values do not vary.
    pub explained: f64,
    /// The smallest and the largest measured size.
    pub range: (f64, f64),
}

impl Fit {
    /// Fits a straight line to the points.
    pub fn linear(points: &[Point]) -> Result<Fit, FitError> {
        Fit::of(Model::Linear, points)
    }

    /// Fits a line with a square term to the points.
    pub fn square(points: &[Point]) -> Result<Fit, FitError> {
        Fit::of(Model::Square, points)
    }

    /// Fits the curve of a model to the points.
    pub fn of(model: Model, points: &[Point]) -> Result<Fit, FitError> {
        check(model, points)?;
        let range = range(points);
        // Sizes are scaled to at most 1, so that their squares do not reduce the precision of the solution.
        let scale = range.0.abs().max(range.1.abs());
        if scale == 0.0 {
            return Err(FitError::TooFewSizes { needed: model.terms() });
        }
        let rows: Vec<Vec<f64>> = points.iter().map(|point| row(model, point.size / scale)).collect();
        let inverse = invert(normal_matrix(&rows)).ok_or(FitError::TooFewSizes { needed: model.terms() })?;
        let scaled = solve(&inverse, &rows, points);
        let residuals: Vec<f64> =
            rows.iter().zip(points).map(|(row, point)| point.value - dot(row, &scaled)).collect();
        let residual_deviation = residual_deviation(&residuals, model);
        let coefficient = |term: usize| {
            let unit = scale.powi(term as i32);
            Coefficient {
                value: scaled[term] / unit,
                error: residual_deviation * inverse[term][term].max(0.0).sqrt() / unit,
            }
        };
        Ok(Fit {
            model,
            intercept: coefficient(0),
            slope: coefficient(1),
            square: (model == Model::Square).then(|| coefficient(2)),
            explained: explained(points, &residuals),
            residuals,
            residual_deviation,
            range,
        })
    }

    /// Returns the value of the curve at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        let square = self.square.map_or(0.0, |square| square.value * size * size);
        self.intercept.value + self.slope.value * size + square
    }

    /// Returns true if a size lies outside the measured range.
    pub fn extrapolates(&self, size: f64) -> bool {
        size < self.range.0 || size > self.range.1
    }
}

fn check(model: Model, points: &[Point]) -> Result<(), FitError> {
    let needed = model.terms();
    if points.len() < needed {
        return Err(FitError::TooFewPoints { points: points.len(), needed });
    }
    if !points.iter().all(|point| point.size.is_finite() && point.value.is_finite()) {
        return Err(FitError::NotFinite);
    }
    let mut sizes: Vec<f64> = points.iter().map(|point| point.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    if sizes.len() < needed {
        return Err(FitError::TooFewSizes { needed });
    }
    Ok(())
}

fn range(points: &[Point]) -> (f64, f64) {
    points.iter().fold((f64::INFINITY, f64::NEG_INFINITY), |(min, max), point| {
        (min.min(point.size), max.max(point.size))
    })
}

/// Returns one row of the design matrix: the powers of a size.
fn row(model: Model, size: f64) -> Vec<f64> {
    (0..model.terms()).map(|term| size.powi(term as i32)).collect()
}

fn dot(one: &[f64], other: &[f64]) -> f64 {
    one.iter().zip(other).map(|(left, right)| left * right).sum()
}

/// Returns the normal matrix: the transpose of the design matrix times the design matrix.
fn normal_matrix(rows: &[Vec<f64>]) -> Vec<Vec<f64>> {
    let terms = rows[0].len();
    let entry = |line: usize, column: usize| rows.iter().map(|row| row[line] * row[column]).sum();
    (0..terms).map(|line| (0..terms).map(|column| entry(line, column)).collect()).collect()
}

fn solve(inverse: &[Vec<f64>], rows: &[Vec<f64>], points: &[Point]) -> Vec<f64> {
    let moments: Vec<f64> = (0..inverse.len())
        .map(|term| rows.iter().zip(points).map(|(row, point)| row[term] * point.value).sum())
        .collect();
    inverse.iter().map(|line| dot(line, &moments)).collect()
}

/// Inverts a matrix by Gauss-Jordan elimination with partial pivoting. Returns `None` if the matrix is
/// singular.
fn invert(mut matrix: Vec<Vec<f64>>) -> Option<Vec<Vec<f64>>> {
    let size = matrix.len();
    let unit = |line: usize, column: usize| f64::from(u8::from(line == column));
    let mut inverse: Vec<Vec<f64>> =
        (0..size).map(|line| (0..size).map(|column| unit(line, column)).collect()).collect();
    let largest = matrix.iter().flatten().fold(0.0_f64, |max, entry| max.max(entry.abs()));
    for column in 0..size {
        let pivot = (column..size)
            .max_by(|&one, &two| matrix[one][column].abs().total_cmp(&matrix[two][column].abs()))?;
        if matrix[pivot][column].abs() <= SINGULAR * largest {
            return None;
        }
        matrix.swap(column, pivot);
        inverse.swap(column, pivot);
        let divisor = matrix[column][column];
        for entry in 0..size {
            matrix[column][entry] /= divisor;
            inverse[column][entry] /= divisor;
        }
        for line in (0..size).filter(|&line| line != column) {
            let factor = matrix[line][column];
            for entry in 0..size {
                matrix[line][entry] -= factor * matrix[column][entry];
                inverse[line][entry] -= factor * inverse[column][entry];
            }
        }
    }
    Some(inverse)
}

fn residual_deviation(residuals: &[f64], model: Model) -> f64 {
    let freedom = residuals.len() - model.terms();
    if freedom == 0 {
        return f64::NAN;
    }
    (residuals.iter().map(|residual| residual * residual).sum::<f64>() / freedom as f64).sqrt()
}

fn explained(points: &[Point], residuals: &[f64]) -> f64 {
    let mean = points.iter().map(|point| point.value).sum::<f64>() / points.len() as f64;
    let total: f64 = points.iter().map(|point| (point.value - mean).powi(2)).sum();
    let left: f64 = residuals.iter().map(|residual| residual * residual).sum();
    if total == 0.0 {
        return 1.0;
    }
    1.0 - left / total
}
