//! The spread of a value over repeats.

use serde::Serialize;

/// The spread of repeated measurements, in the unit of the values.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    pub count: usize,
    pub mean: f64,
    pub median: f64,
    pub least: f64,
    pub most: f64,
    /// The sample standard deviation, or 0 for a single value.
    pub deviation: f64,
}

impl Spread {
    /// Computes the spread of values. Returns `None` if there are no values or one is not finite.
    pub fn of(values: &[f64]) -> Option<Spread> {
        if values.is_empty() || !values.iter().all(|value| value.is_finite()) {
            return None;
        }
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let count = sorted.len();
        let mean = sorted.iter().sum::<f64>() / count as f64;
        let squares: f64 = sorted.iter().map(|value| (value - mean).powi(2)).sum();
        let deviation = if count < 2 { 0.0 } else { (squares / (count - 1) as f64).sqrt() };
        let median = (sorted[(count - 1) / 2] + sorted[count / 2]) / 2.0;
        Some(Spread { count, mean, median, least: sorted[0], most: sorted[count - 1], deviation })
    }

    /// Returns the standard error of the mean.
    pub fn standard_error(&self) -> f64 {
        self.deviation / (self.count as f64).sqrt()
    }
}
