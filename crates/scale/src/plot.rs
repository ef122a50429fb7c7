//! Plots of figures over the sizes, with the fitted curve, as SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::error::ScaleError;
use crate::report::Fitted;

const WIDTH: u32 = 720;
const HEIGHT: u32 = 420;
const MARGIN: u32 = 14;
const LABELS: u32 = 74;
/// Room above the largest value, as a factor.
const HEADROOM: f64 = 1.1;
/// Points of a drawn curve.
const STEPS: usize = 100;
const POINT: i32 = 3;

/// Draws one figure: each measurement as a point, the fitted line and, where there is one, the curve with a square
/// term.
pub fn draw(fitted: &Fitted, path: &Path) -> Result<(), ScaleError> {
    render(fitted, path).map_err(|error| ScaleError::File(path.to_path_buf(), std::io::Error::other(error)))
}

fn render(fitted: &Fitted, path: &Path) -> Result<(), String> {
    let failed = |error: &dyn std::fmt::Display| error.to_string();
    let area = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let most_size = fitted.points.iter().map(|point| point.size).fold(1.0, f64::max) * HEADROOM;
    let most = fitted.points.iter().map(|point| point.value).fold(0.0, f64::max) * HEADROOM;
    let most = if most > 0.0 { most } else { 1.0 };
    let title = format!("{}, {}: {}", fitted.kind, fitted.coordination, fitted.figure);
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .caption(title, ("sans-serif", 18))
        .x_label_area_size(LABELS / 2)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..most_size, 0.0..most)
        .map_err(|error| failed(&error))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("poolers").y_desc(fitted.figure.as_str()).draw().map_err(|error| failed(&error))?;
    let curves = [(Some(&fitted.linear), BLUE), (fitted.square.as_ref(), RED)];
    for (fit, colour) in curves {
        let Some(fit) = fit else { continue };
        let steps = (0..=STEPS).map(|step| most_size * step as f64 / STEPS as f64);
        let shown =
            steps.map(|size| (size, fit.value_at(size))).filter(|(_, value)| (0.0..=most).contains(value));
        chart.draw_series(LineSeries::new(shown, colour)).map_err(|error| failed(&error))?;
    }
    let points =
        fitted.points.iter().map(|point| Circle::new((point.size, point.value), POINT, BLACK.filled()));
    chart.draw_series(points).map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
